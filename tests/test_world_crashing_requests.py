"""Tests requests that crash each upstream which begins to run them.

The pattern: such a request comes again with the same path, caller and body, at
any gateway. Other requests share its team, its route and the parts of its
prompt, and run on the upstreams that it ends.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable
from typing import Final, Literal, NamedTuple

import pytest

from apricottrestle.gateway import gateway
from apricottrestle_standins.platform import (
    ledger,
    virtual_time,
    virtual_upstreams,
    workload,
    world,
)
from tests import world_faults

SMALL = workload.SITES["zimska-trgatev"]
GROWN = workload.SITES["zimska-trgatev-grown"]
SETTLE_S: Final = 3.0
FIRST_S: Final = 6.0
TEAM: Final = 1
SHARED: Final = "shared"
LOAD: Final = 0.4
REPEATED_EVENTS: Final = 20

Faults = Callable[[world.World], Awaitable[None]]


class Case(NamedTuple):
    """A day with requests that crash upstreams.

    Attributes:
        site: Deployment.
        kind: Index of their kind of request.
        bodies: Their bodies.
        per_s: Rate of each of them.
        parts: Shared parts of their prompts.
        length_s: Duration of the traffic.
        progress: What gateways get of an answer that crashes its engine.
        framed: Whether answers have a length or chunks.
        bad_parts: Parts of prompts that crash engines beside.
        steady: Whether a sound request with one body, too, comes each time at
            the same moment.
        faults: Injects faults, or None.
    """

    site: workload.Site = SMALL
    kind: int = 0
    bodies: tuple[bytes, ...] = (b"deadly",)
    per_s: float = 0.6
    parts: tuple[str, ...] = (SHARED,)
    length_s: float = 22.0
    progress: Literal["nothing", "head", "half_event", "event", "events"] = (
        "head"
    )
    framed: bool = True
    bad_parts: frozenset[str] = frozenset()
    steady: bool = False
    faults: Faults | None = None


def _plain_kind(route_kind: str) -> int:
    return next(
        index
        for index, kind in enumerate(SMALL.kinds)
        if kind.route_kind == route_kind
    )


CASES: Final = {
    "head": Case(),
    "nothing": Case(progress="nothing"),
    "half_event": Case(progress="half_event"),
    "event": Case(progress="event"),
    "late": Case(progress="events"),
    "unframed": Case(framed=False),
    "without_parts": Case(parts=()),
    "own_part": Case(parts=("own",)),
    "safe_call": Case(kind=_plain_kind("safe"), parts=()),
    "unsafe_call": Case(kind=_plain_kind("unsafe"), parts=(), per_s=1.5),
    "three_requests": Case(bodies=(b"first", b"second", b"third")),
    "rare": Case(per_s=0.15, length_s=45.0),
    "many": Case(per_s=15.0),
    "beside_a_bad_part": Case(bad_parts=frozenset(("bad",))),
    "sound_request_beside": Case(steady=True, per_s=1.0),
    "three_gateways": Case(site=SMALL._replace(gateways=3)),
    "ten_gateways": Case(site=GROWN._replace(gateways=10)),
    "many_gateways": Case(site=GROWN._replace(gateways=28), per_s=2.0),
    "gateways_restart": Case(
        faults=lambda fleet: world_faults.restart_each(fleet, 9.0, 1.5)
    ),
    "all_gateways_restart": Case(
        faults=lambda fleet: world_faults.restart_all(fleet, 14.0, 1.0)
    ),
    "gateway_cut_off": Case(
        faults=lambda fleet: world_faults.cut_one_off(fleet, FIRST_S - 1.0, 8)
    ),
    "frames_lost": Case(faults=world_faults.lose_and_repeat_frames),
}


def _arrivals(case: Case, rng: random.Random) -> list[workload.Arrival]:
    """Returns the usual load, and requests that share a team and a part."""
    kind = case.site.kinds[case.kind]

    def prompts(
        per_s: float, start_s: float, parts: tuple[str, ...], body: bytes
    ) -> list[workload.Arrival]:
        return workload.generate_prompts(
            kind,
            rng,
            per_s=per_s,
            start_s=start_s,
            end_s=case.length_s,
            team=TEAM,
            shared_parts=parts,
            data_centres=case.site.data_centres,
            body=body,
        )

    arrivals = workload.generate_arrivals(
        case.site, case.length_s, rng, load=LOAD
    )
    arrivals += prompts(3.0, 0.0, case.parts and (SHARED,), b"")
    for body in case.bodies:
        deadly = [
            arrival._replace(events=arrival.events and REPEATED_EVENTS)
            for arrival in prompts(case.per_s, FIRST_S, case.parts, body)
        ]
        arrivals += deadly
        if case.steady:
            arrivals += [arrival._replace(body=b"steady") for arrival in deadly]
    for part in case.bad_parts:
        arrivals += prompts(2.0, FIRST_S, (SHARED, part), b"")
    return sorted(arrivals, key=lambda arrival: arrival.at_s)


def _play(case: Case, seed: int) -> ledger.Ledger:
    async def main() -> ledger.Ledger:
        fleet = world.World(case.site, seed)
        fleet.set_prompt_fault(
            virtual_upstreams.PromptFault(
                case.bad_parts, case.progress, frozenset(case.bodies)
            )
        )
        for engine in fleet.engines:
            engine.frames_answers = case.framed
        return await fleet.run_workload(
            _arrivals(case, random.Random(seed)),
            case.faults(fleet) if case.faults else None,
        )

    return virtual_time.run(main())


def _refused_sound_requests(run_ledger: ledger.Ledger) -> list[str]:
    """Returns sound requests that are still refused like deadly ones.

    Until each deadly request has crashed enough upstreams, a sound one that
    stood beside it may be taken for the cause.
    """
    judged_s = max(
        sorted(crashes)[: ledger.TOLERATED_CRASHES][-1]
        for crashes in run_ledger.prompt_crashes.values()
    )
    causes = set(run_ledger.prompt_crashes)
    return [
        f"{attempt.request_id} at {attempt.sent_s:.2f} s"
        for attempts in run_ledger.requests
        for attempt in attempts
        if attempt.refusal == gateway.BAD_PROMPT
        and attempt.arrival.body.decode() not in causes
        and not causes.intersection(attempt.arrival.shared_parts)
        and attempt.sent_s > judged_s + 2 * SETTLE_S
    ]


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("name", CASES)
def test_requests_that_crash_upstreams_are_stopped(
    name: str, seed: int
) -> None:
    """Guards against upstreams that crash one after the other by one request.

    Sound requests of the same team, route or prompt are served.
    """
    run_ledger = _play(CASES[name], seed)
    assert run_ledger.prompt_crashes
    assert ledger.find_request_violations(run_ledger, SETTLE_S) == []
    assert ledger.find_prompt_violations(run_ledger, SETTLE_S) == []
    assert _refused_sound_requests(run_ledger) == []
    assert ledger.find_violations(run_ledger) == []


def test_sound_request_beside_deadly_ones_is_served() -> None:
    """Guards against a request that is condemned for where it ran.

    Its caller repeats it with the same body, each time with a deadly one.
    """
    run_ledger = _play(CASES["sound_request_beside"], 3)
    steady = [
        attempts
        for attempts in run_ledger.requests
        if attempts[0].arrival.body == b"steady"
        and attempts[0].sent_s > FIRST_S + 12.0
    ]
    served = [attempts for attempts in steady if attempts[-1].complete]
    assert len(steady) > 5
    assert len(served) >= 0.9 * len(steady)


def test_popular_request_is_not_condemned() -> None:
    """Guards against a request that many send and that stands at each crash.

    Engines crash for other reasons. Its answers show that it is sound.
    """
    rng = random.Random(5)
    arrivals = workload.generate_prompts(
        SMALL.kinds[0],
        rng,
        per_s=20.0,
        start_s=0.0,
        end_s=20.0,
        team=TEAM,
        shared_parts=(),
        data_centres=SMALL.data_centres,
        body=b"popular",
    )

    async def crash_engines(fleet: world.World) -> None:
        for _ in range(8):
            await asyncio.sleep(2.0)
            running = [e for e in fleet.engines if e.state == "up"]
            await asyncio.gather(
                *(
                    fleet.crash_and_replace(engine, 1.0)
                    for engine in rng.sample(running, 3)
                )
            )

    async def main() -> ledger.Ledger:
        fleet = world.World(SMALL, 5)
        return await fleet.run_workload(arrivals, crash_engines(fleet))

    run_ledger = virtual_time.run(main())
    assert not any(
        attempt.refusal == gateway.BAD_PROMPT
        for attempts in run_ledger.requests
        for attempt in attempts
    )
