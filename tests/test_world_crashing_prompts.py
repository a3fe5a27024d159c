"""Tests prompts with a part that crashes engines, in a simulated fleet.

The pattern: each engine that begins to answer a request with one part in its
prompt crashes and is back after some seconds. Such requests come at any
gateway, and others share their team and their other parts.
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
FIRST_BAD_S: Final = 6.0
BAD_TEAM: Final = 1

Faults = Callable[[world.World], Awaitable[None]]


class Case(NamedTuple):
    """A day with parts of prompts that crash engines.

    Attributes:
        site: Deployment.
        bad_prompts: Shared parts of each kind of prompt that crashes engines.
        sound_prompts: Shared parts of the other prompts of the same team.
        bad_parts: The parts that crash engines.
        bad_per_s: Prompts per second of each kind that crashes engines.
        length_s: Duration of the traffic.
        progress: What gateways get of an answer that crashes its engine.
        framed: Whether answers have a length or chunks.
        cut_event: What a crash sends of other answers' next event.
        faults: Injects faults, or None.
    """

    site: workload.Site = SMALL
    bad_prompts: tuple[tuple[str, ...], ...] = (("first", "bad"),)
    sound_prompts: tuple[tuple[str, ...], ...] = (("first",),)
    bad_parts: frozenset[str] = frozenset(("bad",))
    bad_per_s: float = 6.0
    length_s: float = 25.0
    progress: Literal["nothing", "head", "half_event", "event"] = "head"
    framed: bool = True
    cut_event: bytes = b"id: "
    faults: Faults | None = None


async def _restart_after_outage(fleet: world.World) -> None:
    """Kills all gateways after an outage of the store during the crashes."""
    await asyncio.sleep(FIRST_BAD_S - 1.0)
    views = [row.store for row in fleet.gateways.values()]
    for view in views:
        view.fault = "refuse"
    await asyncio.sleep(6.0)
    for view in views:
        view.fault = ""
    await world_faults.restart_all(fleet, 3.0, 1.0)


CASES: Final = {
    "head": Case(),
    "nothing": Case(progress="nothing"),
    "half_event": Case(progress="half_event"),
    "event": Case(progress="event"),
    "unframed": Case(framed=False),
    "unframed_at_edge": Case(framed=False, progress="event", cut_event=b""),
    "unframed_without_event": Case(framed=False, cut_event=b""),
    "first_part": Case(
        bad_prompts=(("bad", "second"),),
        sound_prompts=(("other", "second"), ("second",)),
    ),
    "middle_part": Case(
        bad_prompts=(("first", "bad", "third"),),
        sound_prompts=(("first", "third"), ("first",)),
    ),
    "first_parts_differ": Case(
        bad_prompts=(("a", "bad"), ("b", "bad"), ("c", "bad"), ("d", "bad")),
        sound_prompts=(("a",), ("b",), ("c",), ("d",)),
        bad_per_s=1.5,
    ),
    "two_bad_parts": Case(
        bad_prompts=(("first", "bad"), ("first", "worse")),
        bad_parts=frozenset(("bad", "worse")),
        bad_per_s=3.0,
    ),
    "rare": Case(bad_per_s=0.5, length_s=50.0),
    "many": Case(bad_per_s=40.0),
    "three_gateways": Case(site=SMALL._replace(gateways=3)),
    "ten_gateways": Case(site=GROWN._replace(gateways=10)),
    "many_gateways": Case(site=GROWN._replace(gateways=28), bad_per_s=10.0),
    "gateways_restart": Case(
        faults=lambda fleet: world_faults.restart_each(fleet, 9.0, 1.5),
        length_s=30.0,
    ),
    "all_gateways_restart": Case(
        faults=lambda fleet: world_faults.restart_all(
            fleet, FIRST_BAD_S + 4.0, 1.0
        ),
        length_s=30.0,
    ),
    "all_restart_after_outage": Case(
        faults=_restart_after_outage, length_s=30.0
    ),
    "gateway_cut_off": Case(
        faults=lambda fleet: world_faults.cut_one_off(
            fleet, FIRST_BAD_S - 1.0, 8
        ),
        length_s=30.0,
    ),
    "frames_lost": Case(faults=world_faults.lose_and_repeat_frames),
}


def _arrivals(case: Case, rng: random.Random) -> list[workload.Arrival]:
    """Returns the usual load, and prompts that share a team and parts."""
    kind = case.site.kinds[0]
    arrivals = workload.generate_arrivals(case.site, case.length_s, rng)
    for parts in case.bad_prompts:
        arrivals += workload.generate_prompts(
            kind,
            rng,
            per_s=case.bad_per_s,
            start_s=FIRST_BAD_S,
            end_s=case.length_s,
            team=BAD_TEAM,
            shared_parts=parts,
            data_centres=case.site.data_centres,
        )
    for parts in case.sound_prompts:
        arrivals += workload.generate_prompts(
            kind,
            rng,
            per_s=5.0 / len(case.sound_prompts),
            start_s=0.0,
            end_s=case.length_s,
            team=BAD_TEAM,
            shared_parts=parts,
            data_centres=case.site.data_centres,
        )
    return sorted(arrivals, key=lambda arrival: arrival.at_s)


def _play(case: Case, seed: int) -> ledger.Ledger:
    async def main() -> ledger.Ledger:
        fleet = world.World(case.site, seed)
        fleet.set_prompt_fault(
            virtual_upstreams.PromptFault(case.bad_parts, case.progress)
        )
        for engine in fleet.engines:
            engine.frames_answers = case.framed
            engine.cut_event = case.cut_event
        return await fleet.run_workload(
            _arrivals(case, random.Random(seed)),
            case.faults(fleet) if case.faults else None,
        )

    return virtual_time.run(main())


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("name", CASES)
def test_prompts_that_crash_engines_are_stopped(name: str, seed: int) -> None:
    """Guards against engines that crash one after the other by one part.

    Sound requests of the same team or with the same other parts are served.
    """
    run_ledger = _play(CASES[name], seed)
    assert run_ledger.prompt_crashes
    assert ledger.find_prompt_violations(run_ledger, SETTLE_S) == []
    assert ledger.find_violations(run_ledger) == []


@pytest.mark.parametrize("hot_share", [0.0, 0.3])
@pytest.mark.parametrize("name", ["zimska-trgatev", "zimska-trgatev-grown"])
def test_engines_that_fail_for_other_reasons_stop_no_prompt(
    name: str, hot_share: float
) -> None:
    """Guards against sound prompts that are refused after crashes.

    A sixth of the engines fail together each second or two, with a part that
    many prompts share.
    """
    site = workload.SITES[name]
    rng = random.Random(1)
    arrivals = [
        arrival._replace(shared_parts=(f"hot-{arrival.kind.name}",))
        if arrival.shared_parts and rng.random() < hot_share
        else arrival
        for arrival in workload.generate_arrivals(site, 12.0, rng)
    ]

    async def crash_engines(fleet: world.World) -> None:
        tasks = []
        for _ in range(6):
            await asyncio.sleep(1.7)
            running = [e for e in fleet.engines if e.state == "up"]
            tasks += [
                asyncio.ensure_future(fleet.crash_and_replace(engine, 1.5))
                for engine in rng.sample(running, len(fleet.engines) // 6)
            ]
        await asyncio.gather(*tasks)

    async def main() -> ledger.Ledger:
        fleet = world.World(site, 1)
        return await fleet.run_workload(arrivals, crash_engines(fleet))

    run_ledger = virtual_time.run(main())
    stopped = [
        attempt.request_id
        for attempts in run_ledger.requests
        for attempt in attempts
        if attempt.refusal == gateway.BAD_PROMPT
    ]
    assert stopped == []
    assert ledger.find_violations(run_ledger) == []


class GroupCase(NamedTuple):
    """Engines that crash together while prompts of a new kind begin on them.

    Attributes:
        crashes: Engines that crash, of those that run such prompts; None for
            all of these.
        prompts: Prompts of the new kind that are under way.
        callers_leave: Whether their callers leave after the crashes, so that no
            answer is resumed elsewhere.
        site: Deployment.
        faults: Injects faults from the moment of the crashes on, or None.
        seed: Seed of the fleet.
    """

    crashes: int | None = None
    prompts: int = 8
    callers_leave: bool = True
    site: workload.Site = SMALL
    faults: Faults | None = None
    seed: int = 1


GROUP_CASES: Final = {
    "others_under_way": GroupCase(crashes=3, prompts=24, callers_leave=False),
    "answers_resumed": GroupCase(callers_leave=False),
    "none_under_way": GroupCase(),
    "none_under_way_other_seed": GroupCase(seed=2),
    "many_gateways": GroupCase(site=GROWN._replace(gateways=28)),
    "gateways_restart": GroupCase(
        faults=lambda fleet: world_faults.restart_all(fleet, 2.0, 1.0)
    ),
}
NEW_KIND: Final = ("instructions",)
BATCH_S: Final = 3.0
LATER_S: Final = 14.0
END_S: Final = 34.0


def _new_kind_arrivals(case: GroupCase) -> list[workload.Arrival]:
    """Returns a batch of prompts with one shared part, and later ones."""
    kind = case.site.kinds[0]
    rng = random.Random(case.seed)
    later = workload.generate_prompts(
        kind,
        rng,
        per_s=3.0,
        start_s=LATER_S,
        end_s=END_S,
        team=BAD_TEAM,
        shared_parts=NEW_KIND,
        data_centres=case.site.data_centres,
    )
    batch = [
        later[0]._replace(
            at_s=BATCH_S,
            tokens=int(kind.max_tokens) // 2,
            events=40,
            data_centre=number % case.site.data_centres,
            body=f"batch-{number}".encode(),
        )
        for number in range(case.prompts)
    ]
    return sorted(
        workload.generate_arrivals(case.site, END_S, rng) + batch + later,
        key=lambda arrival: arrival.at_s,
    )


def _begun_answers(engine: virtual_upstreams.EngineUpstream) -> list[str]:
    """Returns the ids of requests of the new kind that have one event."""
    return [
        request_id
        for request_id, (job, incoming) in engine.jobs.items()
        if incoming.call.req.shared_parts == NEW_KIND and job.next_event == 2
    ]


async def _leave_soon(fleet: world.World) -> None:
    """Disconnects the callers of the batch, before an answer is resumed."""
    await asyncio.sleep(0.2)
    for row in fleet.gateways.values():
        for caller in list(row.responders):
            if caller.attempt.arrival.shared_parts == NEW_KIND:
                caller.disconnect()


async def _crash_group(fleet: world.World, case: GroupCase) -> list[str]:
    """Crashes engines at one moment, when all answers of the batch have begun.

    An engine that has begun one pauses until then, and for half a second more.

    Returns:
        The ids of the requests whose answers go on, on other engines.
    """
    loop = asyncio.get_running_loop()
    begun: dict[virtual_upstreams.EngineUpstream, list[str]] = {}
    async with asyncio.timeout(BATCH_S + 8.0):
        while sum(map(len, begun.values())) < case.prompts:
            await asyncio.sleep(0.001)
            begun = {e: _begun_answers(e) for e in fleet.engines}
            for engine, request_ids in begun.items():
                if request_ids:
                    engine.silent_until = loop.time() + 0.5
    running = [engine for engine, request_ids in begun.items() if request_ids]
    crashed = running[: case.crashes]
    assert len(crashed) >= 3
    faults = [case.faults(fleet)] if case.faults else []
    if case.callers_leave:
        faults.append(_leave_soon(fleet))
    await asyncio.gather(
        *(fleet.crash_and_replace(engine, 4.5) for engine in crashed), *faults
    )
    return [
        request_id
        for engine, request_ids in begun.items()
        if engine not in crashed
        for request_id in request_ids
    ]


@pytest.mark.parametrize("name", GROUP_CASES)
def test_prompts_are_served_after_engines_crash_together(name: str) -> None:
    """Guards against a part that is refused for ever after a rack's failure.

    All engines that crash run a prompt with the part, which isn't the cause.
    Answers that have begun on other engines go on.
    """
    case = GROUP_CASES[name]

    async def main() -> tuple[ledger.Ledger, list[str]]:
        fleet = world.World(case.site, case.seed)
        begun_elsewhere: list[str] = []

        async def crash_group() -> None:
            begun_elsewhere.extend(await _crash_group(fleet, case))

        run_ledger = await fleet.run_workload(
            _new_kind_arrivals(case), crash_group()
        )
        return run_ledger, begun_elsewhere

    run_ledger, begun_elsewhere = virtual_time.run(main())
    attempts = {
        attempt.request_id: attempt
        for attempts in run_ledger.requests
        for attempt in attempts
    }
    later = [
        attempts[-1].complete
        for attempts in run_ledger.requests
        if attempts[0].arrival.shared_parts == NEW_KIND
        and attempts[0].arrival.at_s >= LATER_S
    ]
    cut = [name for name in begun_elsewhere if not attempts[name].complete]
    assert cut == []
    assert sum(later) >= 0.9 * len(later)
    assert ledger.find_violations(run_ledger) == []
