"""Plays the evacuation of data centres, and judges it from upstreams.

What arrives at upstreams decides, not what gateways believe.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable
from typing import Final, NamedTuple

import pytest

from apricottrestle.gateway import calls
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
LENGTH_S: Final = 24.0

EVACUATE_S: Final = 5.0
"""Time from the store's acknowledgement in which the platform requires that
requests cease."""

IN_TOUCH_S: Final = 1.0
"""Time in which they cease if the store and the links between gateways work."""

BACK_S: Final = 2.0
"""Time in which a data centre gets requests again after its evacuation."""

STARTS_S: Final = 4.0
ENDS_S: Final = 16.0

Events = Callable[[world.World], Awaitable[None]]


async def _evacuate(
    fleet: world.World, name: str, start_s: float, end_s: float
) -> None:
    await asyncio.sleep(start_s)
    fleet.evacuate(name)
    await asyncio.sleep(end_s - start_s)
    fleet.end_evacuation(name)


async def _one(fleet: world.World) -> None:
    await _evacuate(fleet, "dc-0", STARTS_S, ENDS_S)


async def _all(fleet: world.World) -> None:
    await asyncio.gather(
        *(
            _evacuate(fleet, f"dc-{number}", STARTS_S, ENDS_S)
            for number in range(fleet.site.data_centres)
        )
    )


async def _overlapping(fleet: world.World) -> None:
    await asyncio.gather(
        _evacuate(fleet, "dc-0", 3.0, 12.0),
        _evacuate(fleet, "dc-1", 8.0, 17.0),
        _evacuate(fleet, "dc-2", 14.0, 20.0),
    )


async def _short_ones(fleet: world.World) -> None:
    for number in range(8):
        await _evacuate(fleet, f"dc-{number % 2}", 0.5, 1.5)


async def _unknown_names(fleet: world.World) -> None:
    await asyncio.gather(
        _one(fleet),
        *(
            _evacuate(fleet, name, STARTS_S, ENDS_S)
            for name in ("dc-9", "", "DC-1", "dc-1 ")
        ),
    )


def _beside(fault: Callable[[world.World], Awaitable[None]]) -> Events:
    """Returns an evacuation beside a fault."""

    async def events(fleet: world.World) -> None:
        await asyncio.gather(_one(fleet), fault(fleet))

    return events


def _readers(fleet: world.World) -> list[world.Gateway]:
    """Returns the gateways in the order in which they read the store."""
    return sorted(
        fleet.gateways.values(),
        key=lambda row: row.node.peers.rank(reaches_store=True),
    )


async def _refuse_some(fleet: world.World) -> None:
    """Lets the store turn all gateways but one away."""
    await asyncio.sleep(STARTS_S - 1.0)
    for row in _readers(fleet)[:-1]:
        row.store.fault = "refuse"


async def _silent_store(fleet: world.World) -> None:
    """Lets the store not answer the readers."""
    await asyncio.sleep(STARTS_S - 1.0)
    for row in _readers(fleet)[:2]:
        row.store.fault = "silent"


async def _slow_store(fleet: world.World) -> None:
    await asyncio.sleep(STARTS_S - 1.0)
    for row in fleet.gateways.values():
        row.store.fault = "slow"
        row.store.slow_s = 0.9


async def _cut_from_all(fleet: world.World) -> None:
    """Cuts a gateway off from the store and its peers, and lets it return."""
    address, *others = sorted(fleet.gateways)
    await asyncio.sleep(STARTS_S - 1.0)
    start_s = asyncio.get_running_loop().time()
    pairs = {frozenset((address, other)) for other in others}
    fleet.partitioned |= pairs
    fleet.gateways[address].store.fault = "refuse"
    await asyncio.sleep(4.0)
    fleet.partitioned -= pairs
    fleet.gateways[address].store.fault = ""
    fleet.run_ledger.out_of_touch.append(
        ledger.OutOfTouch(address, start_s, asyncio.get_running_loop().time())
    )


async def _miss_the_message(fleet: world.World) -> None:
    """Lets a gateway that the store turns away miss the news of its peers."""
    row = _readers(fleet)[-1]
    others = [address for address in fleet.gateways if address != row.address]
    row.store.fault = "refuse"
    await asyncio.sleep(STARTS_S - 0.05)
    pairs = {frozenset((row.address, other)) for other in others}
    fleet.partitioned |= pairs
    await asyncio.sleep(0.2)
    fleet.partitioned -= pairs


async def _fail_store(fleet: world.World, start_s: float, end_s: float) -> None:
    await asyncio.sleep(start_s)
    at_s = asyncio.get_running_loop().time()
    fleet.log.down = True
    await asyncio.sleep(end_s - start_s)
    fleet.log.down = False
    fleet.run_ledger.out_of_touch.append(
        ledger.OutOfTouch("", at_s, asyncio.get_running_loop().time())
    )


async def _store_down_at_the_record(fleet: world.World) -> None:
    await _fail_store(fleet, STARTS_S + 0.001, STARTS_S + 4.0)


async def _store_down_later(fleet: world.World) -> None:
    """Fails the store while the gateways restart one after the other."""
    fleet.log.down = False
    await asyncio.sleep(STARTS_S + 2.0)
    fleet.log.down = True
    await world_faults.restart_each(fleet, 0.5, 1.0)
    fleet.log.down = False


def _copy_is_restored(
    lost_s: float, outage_s: float, away: bool = False
) -> Events:
    """Returns a return of the store from an older copy during an evacuation.

    The operator writes again what was lost a second after the return.

    Args:
        lost_s: Age of the copy; 3 s is older than the record.
        outage_s: Time for which the store fails before.
        away: Whether it turns its readers away afterwards.
    """

    async def events(fleet: world.World) -> None:
        await asyncio.sleep(STARTS_S)
        fleet.evacuate("dc-0")
        await asyncio.sleep(2.0)
        readers = _readers(fleet)[:2]
        lost = await fleet.restore_store(lost_s, outage_s)
        if away:
            for row in readers:
                row.store.fault = "refuse"
        await asyncio.sleep(1.0)
        for name, evacuated in lost.evacuations:
            assert evacuated
            fleet.evacuate(name)
        assert len(lost.evacuations) == (lost_s > 2.0)
        await asyncio.sleep(ENDS_S - STARTS_S - 3.0 - outage_s)
        fleet.end_evacuation("dc-0")

    return events


async def _deletion_is_lost(fleet: world.World) -> None:
    """Brings the store back from a copy that still has a deleted record."""
    await asyncio.sleep(2.0)
    fleet.evacuate("dc-0")
    await asyncio.sleep(4.0)
    fleet.end_evacuation("dc-0")
    await asyncio.sleep(0.5)
    await fleet.restore_store(1.5, 0.5)
    await asyncio.sleep(8.0)
    fleet.end_evacuation("dc-0")


class Case(NamedTuple):
    """A day with evacuations.

    Attributes:
        events: Evacuations and faults.
        in_touch_s: Time after each record in which requests must cease; faults
            of the store and of links may delay it up to EVACUATE_S.
        site: Deployment.
        load: Factor on the usual load.
    """

    events: Events
    in_touch_s: float = EVACUATE_S
    site: workload.Site = SMALL
    load: float = 1.0


CASES: Final = {
    "one": Case(_one, IN_TOUCH_S),
    "all": Case(_all, IN_TOUCH_S),
    "overlapping": Case(_overlapping, IN_TOUCH_S),
    "short_ones": Case(_short_ones, IN_TOUCH_S),
    "unknown_names": Case(_unknown_names, IN_TOUCH_S),
    "overload": Case(_one, IN_TOUCH_S, load=2.0),
    "one_gateway": Case(_one, IN_TOUCH_S, SMALL._replace(gateways=1)),
    "many_gateways": Case(
        _overlapping, IN_TOUCH_S, GROWN._replace(gateways=20)
    ),
    "gateways_restart": Case(
        _beside(
            lambda fleet: world_faults.restart_each(fleet, STARTS_S - 1.0, 0.7)
        ),
        IN_TOUCH_S,
    ),
    "all_gateways_restart": Case(
        _beside(
            lambda fleet: world_faults.restart_all(fleet, STARTS_S + 2.0, 0.5)
        ),
        IN_TOUCH_S,
    ),
    "all_gateways_restart_at_the_record": Case(
        _beside(
            lambda fleet: world_faults.restart_all(fleet, STARTS_S - 0.2, 0.4)
        ),
        IN_TOUCH_S,
    ),
    "gateway_cut_off_from_peers": Case(
        _beside(
            lambda fleet: world_faults.cut_one_off(fleet, STARTS_S - 1.0, 5)
        ),
    ),
    "gateway_cut_off_from_all": Case(_beside(_cut_from_all)),
    "frames_lost": Case(_beside(world_faults.lose_and_repeat_frames), 2.0),
    "message_missed": Case(_beside(_miss_the_message), 2.0),
    "store_refuses_all_but_one": Case(_beside(_refuse_some)),
    "store_silent_to_readers": Case(_beside(_silent_store)),
    "store_slow": Case(_beside(_slow_store)),
    "store_down_at_the_record": Case(_beside(_store_down_at_the_record)),
    "store_down_while_gateways_start": Case(
        _beside(_store_down_later), IN_TOUCH_S
    ),
    "copy_with_the_record": Case(_copy_is_restored(1.0, 0.5), IN_TOUCH_S),
    "copy_without_the_record": Case(_copy_is_restored(3.0, 0.5)),
    "copy_without_the_record_readers_away": Case(
        _copy_is_restored(3.0, 0.0, away=True)
    ),
    "copy_without_the_deletion": Case(_deletion_is_lost),
}


def _play(case: Case, seed: int) -> ledger.Ledger:
    async def main() -> ledger.Ledger:
        fleet = world.World(case.site, seed)
        arrivals = workload.generate_arrivals(
            case.site, LENGTH_S, random.Random(seed), load=case.load
        )
        return await fleet.run_workload(arrivals, case.events(fleet))

    return virtual_time.run(main())


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("name", CASES)
def test_nothing_arrives_in_an_evacuated_data_centre(
    name: str, seed: int
) -> None:
    """Guards against requests, helpers and reservations that still arrive."""
    case = CASES[name]
    run_ledger = _play(case, seed)
    assert run_ledger.evacuations
    assert ledger.find_evacuation_violations(run_ledger, case.in_touch_s) == []
    assert ledger.find_violations(run_ledger) == []


@pytest.mark.parametrize("name", ["one", "all", "copy_without_the_record"])
def test_data_centre_gets_requests_again_after_its_evacuation(
    name: str,
) -> None:
    """Guards against an evacuation that gateways don't end."""
    run_ledger = _play(CASES[name], 1)
    for evacuation in run_ledger.evacuations:
        assert any(
            row.data_centre == evacuation.data_centre
            and 0.0 < row.at_s - evacuation.ended_s < BACK_S
            for row in run_ledger.placements
        )


def test_work_under_way_goes_on() -> None:
    """Guards against an evacuation that ends streams of the data centre."""
    run_ledger = _play(Case(_one), 1)
    (evacuation,) = run_ledger.evacuations
    placed = {
        row.request_id: row
        for row in run_ledger.placements
        if row.what == "request" and row.data_centre == "dc-0"
    }
    under_way = [
        attempt
        for attempts in run_ledger.requests
        for attempt in attempts
        if attempt.arrival.kind.route_kind == "stream"
        and attempt.request_id in placed
        and placed[attempt.request_id].at_s < evacuation.written_s
        and attempt.ended_s is not None
        and attempt.ended_s > evacuation.written_s
    ]
    assert len(under_way) > 3
    for attempt in under_way:
        assert attempt.complete
        assert len(attempt.event_ids) == attempt.arrival.events


def test_requests_are_refused_at_once_if_all_are_evacuated() -> None:
    """Guards against callers that wait for an evacuation to end."""
    run_ledger = _play(Case(_all), 1)
    written_s = run_ledger.evacuations[0].written_s
    ended_s = run_ledger.evacuations[0].ended_s
    during = [
        attempt
        for attempts in run_ledger.requests
        for attempt in attempts
        if written_s + IN_TOUCH_S < attempt.sent_s < ended_s
    ]
    assert len(during) > 50
    for attempt in during:
        assert attempt.status == 503
        assert attempt.retry_after_s is not None
        assert attempt.ended_s is not None
        assert attempt.ended_s - attempt.sent_s < 0.01


@pytest.mark.parametrize("evacuated", ["helper", "engine", "other"])
def test_request_whose_memory_is_being_reserved_is_placed_again(
    evacuated: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a split prompt that is sent after the evacuation.

    The reservations are answered after the evacuation is known. What was
    reserved is released, and the prompt is served elsewhere.
    """
    reserve = virtual_upstreams.VirtualUpstreams.reserve

    async def slow_reserve(
        client: virtual_upstreams.VirtualUpstreams,
        reservation: calls.Reservation,
    ) -> bool:
        granted = await reserve(client, reservation)
        await asyncio.sleep(0.4)
        return granted

    monkeypatch.setattr(
        virtual_upstreams.VirtualUpstreams, "reserve", slow_reserve
    )
    kind = next(kind for kind in SMALL.kinds if kind.tokens)._replace(
        target_s=2.5, timeout_s=60.0
    )
    site = SMALL._replace(kinds=(kind,))
    prompt = workload.Arrival(0.5, kind, 0, 0, 400_000, 5, 0.0, 0.0)

    async def main() -> tuple[ledger.Ledger, list[str]]:
        fleet = world.World(site, 1)

        async def events() -> None:
            placements = fleet.run_ledger.placements
            while not placements:
                await asyncio.sleep(0.01)
            await asyncio.sleep(0.1)
            (engine,) = _engines_with_runs(fleet)
            of_helpers = [
                row.data_centre
                for row in placements
                if row.data_centre != engine.data_centre
            ]
            name = {
                "helper": of_helpers[0],
                "engine": engine.data_centre,
                "other": "dc-9",
            }[evacuated]
            fleet.evacuate(name)

        run_ledger = await fleet.run_workload(
            [prompt], events(), tail_s=40.0, stops=False
        )
        left = [
            name
            for engine in fleet.engines
            for name in engine.passes.reservations
        ]
        for address in list(fleet.gateways):
            fleet.kill_gateway(address)
        return run_ledger, left

    run_ledger, left = virtual_time.run(main())
    (evacuation,) = run_ledger.evacuations
    assert ledger.find_evacuation_violations(run_ledger, 0.05) == []
    requests = [row for row in run_ledger.placements if row.what == "request"]
    assert len(requests) == 1
    assert requests[0].at_s > evacuation.written_s
    reserved = {
        row.request_id.rpartition("-")[0]
        for row in run_ledger.placements
        if row.what == "reservation"
    }
    assert len(reserved) == (1 if evacuated == "other" else 2)
    assert left == []
    (attempts,) = run_ledger.requests
    assert attempts[0].complete


def _engines_with_runs(
    fleet: world.World,
) -> list[virtual_upstreams.EngineUpstream]:
    """Returns the engines that gateways have placed a request on."""
    return [
        engine
        for engine in fleet.engines
        if any(
            gateway.node.core.load.state(engine.upstream_id).runs
            for gateway in fleet.gateways.values()
        )
    ]
