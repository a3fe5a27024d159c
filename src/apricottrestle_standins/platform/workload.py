"""Request mixes of the deployments, and random arrivals drawn from them."""

import math
import random
from typing import Final, NamedTuple

from apricottrestle.gateway import fleet_config

EVENT_TOKENS: Final = 51
"""Number of tokens in an event of a stream."""

ENGINES: Final = "engines"
PLAIN: Final = "plain"


class ColdRule(NamedTuple):
    """What upstreams take while they are cold.

    Attributes:
        start_s: Time for which they are cold after a start.
        per_s: Requests per second, from all gateways together.
        overrun: Factor on that up to which they don't crash.
        slack: Requests per second that they take on top.
    """

    start_s: float
    per_s: float
    overrun: float
    slack: float

    @property
    def bound(self) -> float:
        """Requests in a second above which they crash."""
        return self.per_s * self.overrun + self.slack


class Kind(NamedTuple):
    """A kind of request, as the users of a deployment specify it.

    Attributes:
        name: Name of its route.
        route_kind: Kind of the route, which sets what may be retried.
        per_s: Requests per second, over all data centres.
        target_s: Latency target of the first event, or of the response of a
            plain service.
        gap_s: Latency target between events; 0 for a plain service.
        timeout_s: Timeout of the caller.
        priority: Priority; 0 is the most urgent.
        worth: Credit of a response within the targets.
        late_worth: Credit of a late response.
        tokens: Mean prompt length; 0 for a plain service.
        spread: Standard deviation of the logarithm of the prompt length.
        max_tokens: Maximum prompt length.
        events: Mean number of events of a response.
        max_attempts: Maximum number of upstreams that it is sent to.
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
    """A deployment and its load.

    Attributes:
        name: Name of the deployment.
        kinds: Kinds of request.
        engines: Number of model engines.
        plain: Number of upstreams of the plain service.
        gateways: Number of gateways.
        data_centres: Number of data centres, over which engines, upstreams and
            gateways are spread evenly.
        kv_tokens: KV memory of an engine, in tokens.
        slots: Maximum number of requests that an engine runs at a time.
    """

    name: str
    kinds: tuple[Kind, ...]
    engines: int
    plain: int
    gateways: int
    data_centres: int
    kv_tokens: int
    slots: int


def _make_kinds(
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
            _make_kinds((14.3, 0.724, 0.439, 1.5, 1.5)),
            14, 3, 4, 3, 315_000, 8,
        ),
        Site(
            "sweetbreeze",
            _make_kinds((18.4, 0.935, 0.565, 1.7, 1.5), unsafe_timeout_s=1.5),
            18, 3, 4, 3, 315_000, 8,
        ),
        Site(
            "zimska-trgatev-grown",
            _make_kinds((36.3, 2.3, 0.981, 3.37, 1.5), 220_000, 8.0),
            45, 3, 9, 3, 267_750, 6,
        ),
        Site(
            "sweetbreeze-grown",
            _make_kinds((48.3, 3.06, 1.31, 4.49, 1.8), 220_000, 8.0, 1.27),
            60, 4, 11, 4, 267_750, 6,
        ),
    )
}  # fmt: skip


class Arrival(NamedTuple):
    """A request and its arrival time.

    Attributes:
        at_s: Arrival, in seconds from the start of the traffic.
        kind: Kind of request.
        data_centre: Index of the caller's data centre.
        team: Index of the caller's team.
        tokens: Prompt length; 0 for a plain service.
        events: Number of events of the response; 0 for a plain service.
        work_s: Service time at a plain service.
        error_rate: Share of its runs at a plain service that fail.
        shared_parts: Ids of the parts of the prompt that others share.
        body: Body, the same in each attempt; if empty, one that is its own.
    """

    at_s: float
    kind: Kind
    data_centre: int
    team: int
    tokens: int
    events: int
    work_s: float
    error_rate: float
    shared_parts: tuple[str, ...] = ()
    body: bytes = b""


class Burst(NamedTuple):
    """A temporary increase of the rate of a kind of request.

    Attributes:
        kind: Name of the kind.
        at_s: Start, in seconds from the start of the traffic.
        duration_s: Duration in seconds.
        factor: Factor on the rate.
        team: Team that sends the additional requests; None for all teams.
    """

    kind: str
    at_s: float
    duration_s: float
    factor: float
    team: int | None = None


TEAMS: Final = 10
TEAM_ZIPF_EXPONENT: Final = 1.2
MAX_EVENTS_FACTOR: Final = 2.5
"""Longest answer of a kind, as a factor of the mean."""

SHARED_PARTS: Final = 60
PART_ZIPF_EXPONENT: Final = 0.5
SAFE_ERROR_RATE: Final = 0.14
MEAN_WORK_S: Final = 0.03
WORK_SPREAD: Final = 0.5


def generate_arrivals(
    site: Site,
    length_s: float,
    rng: random.Random,
    *,
    load: float = 1.0,
    bursts: tuple[Burst, ...] = (),
) -> list[Arrival]:
    """Returns random requests in order of arrival.

    Args:
        site: The deployment.
        length_s: Duration of the traffic in seconds.
        rng: Source of random choices; the same seed gives the same requests.
        load: Factor on all rates.
        bursts: Temporary increases of rates.
    """
    weights = [1 / (rank + 1) ** TEAM_ZIPF_EXPONENT for rank in range(TEAMS)]
    # A generator of its own keeps the other choices of a seed unchanged.
    part_rng = random.Random(0)
    part_weights = [
        1 / (rank + 1) ** PART_ZIPF_EXPONENT for rank in range(SHARED_PARTS)
    ]
    arrivals = []
    for kind in site.kinds:
        at = 0.0
        while True:
            factor = load
            for burst in bursts:
                if burst.kind == kind.name and (
                    burst.at_s <= at < burst.at_s + burst.duration_s
                ):
                    factor *= burst.factor
            # An approximation of thinning: with a rate that changes a few
            # times per run, the error is less than one request.
            at += rng.expovariate(kind.per_s * factor)
            if at >= length_s:
                break
            data_centre = rng.randrange(site.data_centres)
            team = rng.choices(range(TEAMS), weights)[0]
            burst_team = _burst_team(bursts, kind, at)
            if burst_team is not None and rng.random() < 1 - load / factor:
                team = burst_team
            arrivals.append(
                Arrival(
                    at,
                    kind,
                    data_centre,
                    team,
                    _draw_length(
                        kind.tokens, kind.spread, kind.max_tokens, rng
                    ),
                    _draw_length(
                        kind.events, 0.6, MAX_EVENTS_FACTOR * kind.events, rng
                    ),
                    _draw_work_s(rng),
                    SAFE_ERROR_RATE if kind.route_kind == "safe" else 0.0,
                    (_draw_part(kind, part_weights, part_rng),)
                    if kind.tokens
                    else (),
                )
            )
    return sorted(arrivals, key=lambda arrival: arrival.at_s)


def generate_prompts(
    kind: Kind,
    rng: random.Random,
    *,
    per_s: float,
    start_s: float,
    end_s: float,
    team: int,
    shared_parts: tuple[str, ...],
    data_centres: int,
    body: bytes = b"",
) -> list[Arrival]:
    """Returns requests of one team whose prompts share some parts.

    Args:
        kind: Kind of request.
        rng: Source of random choices.
        per_s: Requests per second.
        start_s: Start, in seconds from the start of the traffic.
        end_s: End, in seconds from the start of the traffic.
        team: Index of the team.
        shared_parts: Ids of the shared parts.
        data_centres: Number of data centres that the callers are in.
        body: Body of all these requests; if empty, each has its own.
    """
    arrivals = []
    at = start_s + rng.expovariate(per_s)
    while at < end_s:
        arrivals.append(
            Arrival(
                at,
                kind,
                rng.randrange(data_centres),
                team,
                _draw_length(kind.tokens, kind.spread, kind.max_tokens, rng),
                _draw_length(
                    kind.events, 0.6, MAX_EVENTS_FACTOR * kind.events, rng
                ),
                0.0,
                0.0,
                shared_parts,
                body,
            )
        )
        at += rng.expovariate(per_s)
    return arrivals


def _draw_part(kind: Kind, weights: list[float], rng: random.Random) -> str:
    """Draws the part of a prompt that other requests of its kind share."""
    return f"{kind.name}-{rng.choices(range(len(weights)), weights)[0]}"


def _burst_team(bursts: tuple[Burst, ...], kind: Kind, at: float) -> int | None:
    """Returns the team of the burst that is active at a time, or None."""
    for burst in bursts:
        is_active = burst.at_s <= at < burst.at_s + burst.duration_s
        if is_active and burst.kind == kind.name and burst.team is not None:
            return burst.team
    return None


def _draw_length(
    mean: float, spread: float, max_length: float, rng: random.Random
) -> int:
    """Draws a length from a log-normal distribution with the given mean."""
    if mean <= 0:
        return 0
    value = mean * math.exp(rng.gauss(-spread * spread / 2, spread))
    return max(int(min(value, max_length)), 1)


def _draw_work_s(rng: random.Random) -> float:
    spread = WORK_SPREAD
    return MEAN_WORK_S * math.exp(rng.gauss(-spread * spread / 2, spread))
