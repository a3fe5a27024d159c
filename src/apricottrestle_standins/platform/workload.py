"""Request tables of the users, and the requests of a day drawn from them."""

import math
import random
from typing import Final, NamedTuple

from apricottrestle.gateway import fleet_config

EVENT_TOKENS: Final = 51
"""Tokens in an event of a stream."""

ENGINES: Final = "engines"
PLAIN: Final = "plain"


class Kind(NamedTuple):
    """A kind of request, as the users' sheets state it.

    Attributes:
        name: Name of its route.
        route_kind: What may be repeated.
        per_s: Requests per second, all data centres together.
        target_s: Time to the first event or answer that is on time.
        gap_s: Pause between events that is on time; 0 for plain ones.
        timeout_s: Time that the caller waits.
        priority: Rank; 0 is the most urgent.
        worth: Credit of an answer on time.
        late_worth: Credit of a late answer.
        tokens: Mean prompt length; 0 for plain ones.
        spread: Spread of the prompt lengths.
        max_tokens: Longest prompt.
        events: Mean events of an answer.
        max_attempts: Upstreams that it may be sent to.
    """

    name: str
    route_kind: fleet_config.RequestKind
    per_s: float
    target_s: float
    gap_s: float
    timeout_s: float
    priority: int
    worth: float
    late_worth: float
    tokens: float = 0.0
    spread: float = 0.0
    max_tokens: float = 0.0
    events: float = 0.0
    max_attempts: int = 2


class Site(NamedTuple):
    """A deployment.

    Attributes:
        name: Its name.
        kinds: Kinds of request.
        engines: Model engines.
        plain: Upstreams of the plain service.
        gateways: Gateways.
        data_centres: Data centres, over which all of these are spread.
        kv_tokens: Memory of an engine.
        slots: Requests that an engine runs at a time.
    """

    name: str
    kinds: tuple[Kind, ...]
    engines: int
    plain: int
    gateways: int
    data_centres: int
    kv_tokens: int
    slots: int


def _kinds(
    rates: tuple[float, float, float, float, float],
    long_tokens: float = 154_000,
    long_target_s: float = 6.0,
    unsafe_timeout_s: float = 1.0,
) -> tuple[Kind, ...]:
    short, middle, long, unsafe, safe = rates
    return (
        Kind(
            "short", "stream", short, 0.25, 0.25, 10.0, 0, 1.8, 0.18,
            4_960, 0.9, 23_800, 33,
        ),
        Kind(
            "middle", "stream", middle, 1.5, 0.6, 10.0, 1, 3.0, 0.72,
            45_000, 0.5, 110_000, 20,
        ),
        Kind(
            "long", "stream", long, long_target_s, 1.0, 15.0, 2, 7.5, 2.8,
            long_tokens, 0.55, 700_000, 16,
        ),
        Kind(
            "order", "unsafe", unsafe, 0.2, 0.0, unsafe_timeout_s, 2, 1.0, 0.3,
            max_attempts=1,
        ),
        Kind("lookup", "safe", safe, 0.2, 0.0, unsafe_timeout_s, 2, 1.0, 0.3),
    )  # fmt: skip


SITES: Final = {
    site.name: site
    for site in (
        Site(
            "zimska-trgatev",
            _kinds((14.3, 0.724, 0.439, 1.5, 1.5)),
            14, 3, 4, 3, 315_000, 8,
        ),
        Site(
            "sweetbreeze",
            _kinds((18.4, 0.935, 0.565, 1.7, 1.5), unsafe_timeout_s=1.5),
            18, 3, 4, 3, 315_000, 8,
        ),
        Site(
            "zimska-trgatev-grown",
            _kinds((36.3, 2.3, 0.981, 3.37, 1.5), 220_000, 8.0),
            45, 3, 9, 3, 267_750, 6,
        ),
        Site(
            "sweetbreeze-grown",
            _kinds((48.3, 3.06, 1.31, 4.49, 1.8), 220_000, 8.0, 1.27),
            60, 4, 11, 4, 267_750, 6,
        ),
    )
}  # fmt: skip


class Arrival(NamedTuple):
    """A request of a day.

    Attributes:
        at_s: Arrival in seconds from the start of traffic.
        kind: Its kind.
        data_centre: Index of the caller's data centre.
        team: Index of its team.
        tokens: Prompt length; 0 for plain ones.
        events: Events of its answer; 0 for plain ones.
        work_s: Work of a plain request.
        fail_share: Share of its runs that end with an error.
    """

    at_s: float
    kind: Kind
    data_centre: int
    team: int
    tokens: int
    events: int
    work_s: float
    fail_share: float


class Burst(NamedTuple):
    """More requests of one kind for a time.

    Attributes:
        kind: Name of the kind.
        at_s: Start, from the start of the day.
        for_s: How long.
        factor: Factor on the kind's rate.
        team: Team that sends the additional requests; None for all teams.
    """

    kind: str
    at_s: float
    for_s: float
    factor: float
    team: int | None = None


TEAMS: Final = 10
TEAM_SKEW: Final = 1.2
SAFE_FAIL_SHARE: Final = 0.14
WORK_S: Final = 0.03
WORK_SPREAD: Final = 0.5


def generate_arrivals(
    site: Site,
    length_s: float,
    rng: random.Random,
    *,
    load: float = 1.0,
    bursts: tuple[Burst, ...] = (),
) -> list[Arrival]:
    """Returns the requests of a day in order of arrival.

    Args:
        site: The deployment.
        length_s: Length of the day in seconds.
        rng: Source of random choices; the same seed gives the same day.
        load: Factor on all rates.
        bursts: Times with more requests of a kind.
    """
    weights = [1 / (rank + 1) ** TEAM_SKEW for rank in range(TEAMS)]
    day = []
    for kind in site.kinds:
        at = 0.0
        while True:
            factor = load
            for burst in bursts:
                if burst.kind == kind.name and (
                    burst.at_s <= at < burst.at_s + burst.for_s
                ):
                    factor *= burst.factor
            # Thinning would be exact; steps of a rate that changes a few times
            # a day differ from it by less than a request.
            at += rng.expovariate(kind.per_s * factor)
            if at >= length_s:
                break
            data_centre = rng.randrange(site.data_centres)
            team = rng.choices(range(TEAMS), weights)[0]
            hot = _hot_team(bursts, kind, at)
            if hot is not None and rng.random() < 1 - load / factor:
                team = hot
            day.append(
                Arrival(
                    at,
                    kind,
                    data_centre,
                    team,
                    _length(kind.tokens, kind.spread, kind.max_tokens, rng),
                    _length(kind.events, 0.6, 2.5 * kind.events, rng),
                    _length_s(rng),
                    SAFE_FAIL_SHARE if kind.route_kind == "safe" else 0.0,
                )
            )
    return sorted(day, key=lambda each: each.at_s)


def _hot_team(bursts: tuple[Burst, ...], kind: Kind, at: float) -> int | None:
    """Returns the team whose burst is under way, or None."""
    for burst in bursts:
        is_on = burst.at_s <= at < burst.at_s + burst.for_s
        if is_on and burst.kind == kind.name and burst.team is not None:
            return burst.team
    return None


def _length(mean: float, spread: float, most: float, rng: random.Random) -> int:
    """Draws from a log-normal distribution with the given mean."""
    if mean <= 0:
        return 0
    value = mean * math.exp(rng.gauss(-spread * spread / 2, spread))
    return max(int(min(value, most)), 1)


def _length_s(rng: random.Random) -> float:
    spread = WORK_SPREAD
    return WORK_S * math.exp(rng.gauss(-spread * spread / 2, spread))
