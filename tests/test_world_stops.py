"""Tests planned stops of gateways that overlap, in a simulation.

The pattern: gateways are stopped one after the other or together, so that for
a while each of them is stopping or starting.
"""

import asyncio
import math
import random
from collections.abc import Sequence
from typing import NamedTuple

import hypothesis
import pytest
from hypothesis import strategies

from apricottrestle.gateway import rotation
from apricottrestle_standins.platform import (
    ledger,
    virtual_time,
    workload,
    world,
)

SITE = workload.SITES["zimska-trgatev"]._replace(gateways=3)
TRAFFIC_S = 22.0
READY_CHECK_AFTER_S = 4.0
"""Time after a stop signal at which the platform counts the stopping gateways
that are ready."""

SAMPLE_INTERVAL_S = 0.05

MAX_EVENTS_IN_A_STOP = 58
"""Longest answer, in events, that is served while all gateways are stopping:
2.6 s, with half as much again for other requests, in the four seconds that
remain when the first of them may have started again."""

ACCEPT_S = 2.8
"""Time after its stop signal for which a gateway takes streams: one that it
takes later than three seconds must not be cut."""

STAY_S = 1.8
"""Time after its stop signal for which a gateway may be ready: the load
balancer needs two failed checks, a second apart, and 0.2 s are left for their
delay."""

JOIN_S = 2.0
"""Time after its start within which the load balancer finds a gateway."""


class Observed(NamedTuple):
    """What was observed on a simulated day with stops.

    Attributes:
        records: The records of callers and upstreams.
        unavailable_s: Time during which callers could reach no gateway.
        needlessly_s: Time of that in which a gateway had been stopping for less
            than STAY_S, or had been running for JOIN_S.
        late_ready: For each stop, the stopping gateways that were ready
            READY_CHECK_AFTER_S later.
        staying: Gateways that were ready SAMPLE_INTERVAL_S before the end of
            STAY_S after the first stop.
    """

    records: ledger.Ledger
    unavailable_s: float
    needlessly_s: float
    late_ready: list[int]
    staying: int


def _simulate(
    site: workload.Site,
    stops: Sequence[tuple[float, int]],
    kills: Sequence[tuple[float, int]] = (),
    cuts: Sequence[tuple[int, int]] = (),
) -> Observed:
    """Simulates a day on which gateways are stopped.

    Args:
        site: The deployment.
        stops: Time and number of each gateway that is asked to stop.
        kills: Time and number of each gateway that is killed and starts again.
        cuts: Numbers of gateways that don't hear each other.
    """

    async def main() -> Observed:
        fleet = world.World(site, 3)
        balancer = fleet.start_balancer()
        stopping: set[str] = set()
        late_ready: list[int] = []
        unreachable = 0
        needlessly = 0
        staying = 0

        async def stop(at_s: float, number: int) -> None:
            await asyncio.sleep(at_s)
            address = f"gateway-{number}"
            stopping.add(address)
            row = fleet.gateways[address]
            asyncio.get_running_loop().call_later(
                READY_CHECK_AFTER_S,
                lambda: late_ready.append(
                    sum(
                        fleet.gateways[each].node.ready
                        for each in stopping
                        if each in fleet.gateways
                    )
                ),
            )
            await fleet.stop_gateway(address)
            stopping.discard(address)
            assert fleet.gateways.get(address) is not row

        async def kill(at_s: float, number: int) -> None:
            await asyncio.sleep(at_s)
            fleet.kill_gateway(f"gateway-{number}")
            await asyncio.sleep(world.START_TIME_S)
            fleet.start_gateway(number)

        def may_be_ready(address: str) -> bool:
            """Returns whether a gateway may be in rotation, by its signals."""
            now = asyncio.get_running_loop().time()
            records = fleet.run_ledger
            started_s = max(
                s for name, s in records.disturbed if name == address
            )
            stops_s = [s for name, s in records.stops if name == address]
            if stops_s and stops_s[-1] >= started_s:
                return now < stops_s[-1] + STAY_S
            return now >= started_s + JOIN_S

        async def watch() -> None:
            nonlocal unreachable, needlessly, staying
            while True:
                if len(fleet.run_ledger.stops) and (
                    asyncio.get_running_loop().time()
                    <= fleet.run_ledger.stops[0][1] + STAY_S - SAMPLE_INTERVAL_S
                ):
                    staying = sum(
                        row.node.ready for row in fleet.gateways.values()
                    )
                reachable = any(
                    row.listener.listening
                    and balancer.is_in_rotation(address)
                    and row.node.core.state.ready
                    for address, row in fleet.gateways.items()
                )
                unreachable += not reachable
                needlessly += not reachable and any(
                    map(may_be_ready, fleet.gateways)
                )
                await asyncio.sleep(SAMPLE_INTERVAL_S)

        async def faults() -> None:
            fleet.partitioned.update(
                frozenset((f"gateway-{first}", f"gateway-{second}"))
                for first, second in cuts
            )
            watcher = asyncio.ensure_future(watch())
            await asyncio.gather(
                *(stop(*each) for each in stops),
                *(kill(*each) for each in kills),
            )
            watcher.cancel()

        arrivals = workload.generate_arrivals(site, TRAFFIC_S, random.Random(3))
        records = await fleet.run_workload(arrivals, faults())
        return Observed(
            records,
            unreachable * SAMPLE_INTERVAL_S,
            needlessly * SAMPLE_INTERVAL_S,
            late_ready,
            staying,
        )

    return virtual_time.run(main())


def _unserved(records: ledger.Ledger) -> list[str]:
    """Returns the requests that planned stops must not fail.

    Requests of the plain service that fail by themselves are left out, and so
    are answers that no gateway may begin: those too long for what is left of
    the grace periods, and streams for which each gateway was starting, or had
    been stopping for too long, whenever their caller sent them. Those must have
    been refused as not run.
    """

    def may_begin(at_s: float) -> bool:
        return any(
            _takes_streams(records, address, at_s)
            for address in {address for address, _ in records.disturbed}
        )

    return [
        f"{attempts[-1].arrival.kind.name} {attempts[-1].request_id}: "
        f"{attempts[-1].status}"
        for attempts in records.requests
        if not attempts[-1].complete
        and attempts[-1].status != 500
        and not (
            attempts[-1].status == 503
            and attempts[-1].arrival.events > MAX_EVENTS_IN_A_STOP
        )
        and not (
            attempts[0].arrival.kind.route_kind == "stream"
            and all(
                attempt.status == 503 and not may_begin(attempt.sent_s)
                for attempt in attempts
            )
        )
    ]


def _takes_streams(records: ledger.Ledger, address: str, at_s: float) -> bool:
    """Returns whether a gateway may take streams, by its starts and stops."""
    started_s = max(
        (s for name, s in records.disturbed if name == address and s <= at_s),
        default=math.inf,
    )
    stopped_s = max(
        (s for name, s in records.stops if name == address and s <= at_s),
        default=-math.inf,
    )
    if stopped_s > started_s:
        return at_s <= stopped_s + ACCEPT_S
    return started_s == 0.0 or at_s >= started_s + JOIN_S


STOPS = {
    "one": [(1.0, 0)],
    "series": [(1.0, 0), (3.0, 1), (5.0, 2)],
    "close series": [(1.0, 0), (1.5, 1), (2.0, 2)],
    "two": [(1.0, 0), (1.0, 1)],
    "all at once": [(1.0, 0), (1.0, 1), (1.0, 2)],
    "within a message delay": [(1.0, 0), (1.0004, 1), (1.0008, 2)],
    "twice": [(1.0, 0), (1.0, 1), (1.2, 2), (11.0, 2), (11.1, 1), (11.2, 0)],
}


@pytest.mark.parametrize("stops", STOPS.values(), ids=STOPS)
def test_overlapping_stops_leave_a_gateway_in_rotation(
    stops: list[tuple[float, int]],
) -> None:
    """Guards against callers that needlessly reach no gateway during stops."""
    observed = _simulate(SITE, stops)
    assert ledger.find_violations(observed.records) == []
    assert observed.needlessly_s == 0
    assert max(observed.late_ready) == 0
    assert _unserved(observed.records) == []


@pytest.mark.parametrize("count", [9, 12])
def test_stops_of_a_large_fleet_keep_a_quarter_in_rotation(count: int) -> None:
    """Guards against one gateway that carries the load of a whole fleet.

    A quarter stays for as long as none of them is counted by the platform.
    """
    site = workload.SITES["zimska-trgatev-grown"]._replace(gateways=count)
    observed = _simulate(site, [(1.0, number) for number in range(count)])
    assert ledger.find_violations(observed.records) == []
    assert observed.needlessly_s == 0
    assert set(observed.late_ready) == {0}
    assert observed.staying == count // 4
    assert _unserved(observed.records) == []


def test_gateway_returns_when_the_last_one_in_rotation_is_killed() -> None:
    """Guards against stopping gateways that rely on one that has failed."""
    observed = _simulate(SITE, STOPS["close series"], kills=[(2.5, 2)])
    assert ledger.find_violations(observed.records) == []
    # The load balancer takes the killed gateway to be in rotation.
    assert observed.unavailable_s <= world.START_TIME_S + 2 * SAMPLE_INTERVAL_S


@pytest.mark.parametrize(
    "cuts", [[(0, 2)], [(0, 1), (0, 2), (1, 2)]], ids=["two", "all"]
)
def test_gateways_that_are_cut_off_leave_in_time(
    cuts: list[tuple[int, int]],
) -> None:
    """Guards against gateways that all stay, as each takes itself for the last.

    The platform counts those that are ready over all stops of a day.
    """
    observed = _simulate(SITE, STOPS["all at once"], cuts=cuts)
    assert ledger.find_violations(observed.records) == []
    assert max(observed.late_ready) == 0


_MEMBERS = strategies.lists(
    strategies.builds(
        rotation.Member,
        incarnation=strategies.text("abcd", min_size=4, max_size=4),
        stop_order=strategies.integers(0, 3),
        available=strategies.booleans(),
    ),
    unique_by=lambda member: member.incarnation,
    min_size=1,
    max_size=20,
)


@hypothesis.given(_MEMBERS)
def test_just_enough_gateways_stay(members: list[rotation.Member]) -> None:
    """Guards against too few gateways in rotation, or too many ready ones."""
    needed = rotation.min_in_rotation(len(members))
    staying = [
        own
        for own in members
        if own.stop_order
        and rotation.stays(
            own, [other for other in members if other != own], len(members)
        )
    ]
    serving = [
        member
        for member in members
        if member.available and not member.stop_order
    ]
    available = sum(member.available for member in members)
    assert len(staying) + len(serving) >= min(needed, available)
    assert len(staying) == max(
        min(needed - len(serving), available - len(serving)), 0
    )


ROLLS = [
    (3, 0.5, 1.5),
    (3, 1.5, 1.5),
    (3, 2.0, 2.5),
    (4, 1.0, 2.5),
    (6, 1.0, 2.5),
    (10, 0.5, 1.5),
]


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize(("gateways", "gap_s", "load"), ROLLS)
def test_requests_taken_late_in_a_stop_are_never_cut(
    gateways: int, gap_s: float, load: float, seed: int
) -> None:
    """Guards against answers that outlast the gateway which took them.

    All gateways are stopped one after the other. Callers' estimates of the
    length of their answers are right in the median only.
    """
    name = "zimska-trgatev" if gateways < 9 else "zimska-trgatev-grown"
    site = workload.SITES[name]._replace(gateways=gateways)

    async def main() -> ledger.Ledger:
        fleet = world.World(site, seed)
        fleet.hint_spread = 0.6
        fleet.start_balancer()

        async def roll() -> None:
            stops = []
            for number in range(gateways):
                await asyncio.sleep(gap_s)
                stops.append(
                    asyncio.ensure_future(
                        fleet.stop_gateway(f"gateway-{number}")
                    )
                )
            await asyncio.gather(*stops)

        arrivals = workload.generate_arrivals(
            site, 20.0, random.Random(seed), load=load
        )
        return await fleet.run_workload(arrivals, roll())

    records = virtual_time.run(main())
    assert ledger.find_cut_requests(records, world.GRACE_S) == []
    assert ledger.find_violations(records) == []


class Series(NamedTuple):
    """Series of stops of all gateways.

    Attributes:
        gateways: Number of gateways.
        starts_s: Start of each series.
        gap_s: Pause between the stops of a series.
        load: Factor on the traffic.
        start_time_s: Time from the end of a gateway until it starts again.
    """

    gateways: int
    starts_s: tuple[float, ...]
    gap_s: float
    load: float = 0.2
    start_time_s: float = 1.9


SERIES = {
    "3-two": Series(3, (1.0, 18.0), 1.5, 2.5, world.START_TIME_S),
    "3-three": Series(3, (1.0, 18.0, 35.0), 1.5, 2.5, world.START_TIME_S),
    "4-two": Series(4, (1.0, 18.0), 1.5, 2.5, world.START_TIME_S),
    # As on a day of the users.
    "4-four": Series(4, (2.0, 24.0, 46.0, 68.0), 0.73),
    "4-overlapping": Series(4, (2.0, 5.0, 8.0, 14.0), 0.73),
    "6-four": Series(6, (2.0, 24.0, 46.0, 68.0), 0.5),
    "10-at-once": Series(10, (2.0, 20.0), 0.0),
    "28-overlapping": Series(28, (2.0, 6.0, 12.0), 0.2),
}


@pytest.mark.parametrize("series", SERIES.values(), ids=SERIES)
def test_few_gateways_stay_ready_over_several_series_of_stops(
    series: Series,
) -> None:
    """Guards against one gateway more that stays ready in each series.

    Of all that are stopped, a quarter may be ready four seconds later, or one.
    """
    site = SITE._replace(gateways=series.gateways)

    async def main() -> ledger.Ledger:
        fleet = world.World(site, 3)
        fleet.hint_spread = 0.6
        fleet.start_time_s = series.start_time_s
        fleet.start_balancer()

        async def stop(at_s: float, number: int) -> None:
            await asyncio.sleep(at_s)
            if f"gateway-{number}" in fleet.gateways:
                await fleet.stop_gateway(f"gateway-{number}")

        async def stops() -> None:
            await asyncio.gather(
                *(
                    stop(start_s + series.gap_s * number, number)
                    for start_s in series.starts_s
                    for number in range(series.gateways)
                )
            )

        arrivals = workload.generate_arrivals(
            site,
            series.starts_s[-1] + 6.0,
            random.Random(3),
            load=series.load,
        )
        return await fleet.run_workload(arrivals, stops())

    records = virtual_time.run(main())
    assert len(records.stops) >= 2 * series.gateways
    assert ledger.find_violations(records) == []


class Queue(NamedTuple):
    """Long prompts that wait for engines when their gateway is stopped.

    Attributes:
        engines: Number of engines.
        gateways: Number of gateways.
        prompts: Number of prompts, which arrive 0.2 s apart.
        tokens: Length of each prompt.
        stop_after_s: Time from the last prompt until the stop.
        stops_all: Whether all gateways are stopped, not just the prompts'.
        hangs: Whether the engines answer nothing.
    """

    engines: int
    gateways: int
    prompts: int
    tokens: int
    stop_after_s: float
    stops_all: bool = False
    hangs: bool = False


QUEUES = {
    "two-engines": Queue(2, 2, 5, 300_000, 0.5),
    "two-engines-early": Queue(2, 2, 5, 300_000, 0.0),
    "two-engines-many": Queue(2, 2, 12, 300_000, 0.5),
    "two-engines-shorter": Queue(2, 2, 20, 150_000, 0.5),
    "three-engines-late": Queue(3, 2, 8, 300_000, 3.0),
    "alone": Queue(2, 1, 5, 300_000, 0.5),
    "all-stop": Queue(2, 2, 12, 300_000, 0.5, stops_all=True),
    "one-engine": Queue(1, 2, 8, 200_000, 0.5),
    "engines-that-hang": Queue(2, 2, 8, 100_000, 0.5, hangs=True),
}


@pytest.mark.parametrize("queue", QUEUES.values(), ids=QUEUES)
def test_requests_that_wait_for_an_engine_are_answered_in_a_stop(
    queue: Queue,
) -> None:
    """Guards against waiting requests that end with the process, unanswered."""
    kind = next(kind for kind in SITE.kinds if kind.tokens > 100_000)._replace(
        per_s=0.0, timeout_s=15.0
    )
    site = SITE._replace(
        engines=queue.engines, gateways=queue.gateways, kinds=(kind,)
    )

    async def main() -> ledger.Ledger:
        fleet = world.World(site, 3)
        fleet.max_retries = 0
        if queue.hangs:
            for engine in fleet.engines:
                engine.silent_until = math.inf

        async def stop() -> None:
            await asyncio.sleep(0.2 * queue.prompts + queue.stop_after_s)
            stopped = [*fleet.gateways] if queue.stops_all else ["gateway-0"]
            await asyncio.gather(*map(fleet.stop_gateway, stopped))

        arrivals = [
            workload.Arrival(
                0.2 * number, kind, 0, 0, queue.tokens, 16, 0.0, 0.0
            )
            for number in range(queue.prompts)
        ]
        return await fleet.run_workload(arrivals, stop())

    records = virtual_time.run(main())
    assert ledger.find_unanswered_requests(records, world.GRACE_S) == []
    assert ledger.find_violations(records) == []
    stopped_s = records.stops[0][1]
    refused_s = [
        attempt.ended_s
        for attempts in records.requests
        for attempt in attempts
        if attempt.status == 503 and attempt.ended_s is not None
    ]
    answered = [attempts[0].status is not None for attempts in records.requests]
    assert all(answered)
    if not queue.hangs:
        # What can't be served before the end is refused long before it.
        assert any(at_s < stopped_s + 1.0 for at_s in refused_s)
        assert len(refused_s) == len(
            [each for each in records.requests if not each[0].event_ids]
        )
