"""Tests limits of requests per second that upstreams name, in a simulation.

The pattern: an upstream in need names in its responses how many requests a
second it takes from all gateways together, for as long as it says so.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable
from typing import Final, NamedTuple

import pytest

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
NAMED_AT_S: Final = 4.0
ENDS_AT_S: Final = 15.0
LENGTH_S: Final = 20.0

Select = Callable[[world.World], list[virtual_upstreams.Upstream]]
Faults = Callable[[world.World], Awaitable[None]]


def _one_engine(fleet: world.World) -> list[virtual_upstreams.Upstream]:
    return [fleet.engines[0]]


def _half_of_the_engines(
    fleet: world.World,
) -> list[virtual_upstreams.Upstream]:
    return [*fleet.engines[: len(fleet.engines) // 2]]


def _all_engines(fleet: world.World) -> list[virtual_upstreams.Upstream]:
    return [*fleet.engines]


def _one_plain(fleet: world.World) -> list[virtual_upstreams.Upstream]:
    return [fleet.plain[0]]


def _all_plain(fleet: world.World) -> list[virtual_upstreams.Upstream]:
    return [*fleet.plain]


async def _no_fault(fleet: world.World) -> None:
    """Does nothing."""


class Case(NamedTuple):
    """A day on which upstreams name a limit.

    Attributes:
        per_s: The limit.
        select: Returns the upstreams that name it.
        site: Deployment.
        load: Factor on the usual load.
        plain_load: Factor on the load of the plain service.
        faults: Injects faults beside it.
    """

    per_s: float
    select: Select = _one_engine
    site: workload.Site = SMALL
    load: float = 1.5
    plain_load: float = 1.0
    faults: Faults = _no_fault


CASES: Final = {
    "engine": Case(1.0, load=2.0),
    "engine_fraction": Case(1.1, load=2.0),
    "engine_below_one": Case(0.3, load=2.0),
    "engine_nothing": Case(0.0, load=2.0),
    "half_of_the_engines": Case(1.0, _half_of_the_engines, load=1.0),
    "half_of_the_engines_overload": Case(0.5, _half_of_the_engines, load=2.0),
    "all_engines": Case(2.0, _all_engines),
    "all_engines_tight": Case(0.5, _all_engines),
    "plain": Case(0.5, _one_plain, plain_load=3.0),
    "all_plain": Case(1.0, _all_plain, plain_load=3.0),
    "all_plain_tight": Case(0.2, _all_plain, plain_load=3.0),
    "one_gateway": Case(1.0, _half_of_the_engines, SMALL._replace(gateways=1)),
    "ten_gateways": Case(
        1.0, _half_of_the_engines, GROWN._replace(gateways=10)
    ),
    "many_gateways": Case(
        1.0, _half_of_the_engines, GROWN._replace(gateways=28)
    ),
    "many_gateways_plain": Case(
        1.0, _all_plain, GROWN._replace(gateways=28), plain_load=3.0
    ),
    "gateways_restart": Case(
        1.0,
        _half_of_the_engines,
        faults=lambda fleet: world_faults.restart_each(
            fleet, NAMED_AT_S + 2.0, 0.7
        ),
    ),
    "all_gateways_restart": Case(
        1.0,
        _half_of_the_engines,
        faults=lambda fleet: world_faults.restart_all(
            fleet, NAMED_AT_S + 3.0, 0.5
        ),
    ),
    "frames_lost": Case(
        1.0, _half_of_the_engines, faults=world_faults.lose_and_repeat_frames
    ),
    "gateway_cut_off": Case(
        1.0,
        _half_of_the_engines,
        faults=lambda fleet: world_faults.cut_one_off(
            fleet, NAMED_AT_S - 1.0, 5
        ),
    ),
}


def _play(case: Case, seed: int) -> ledger.Ledger:
    async def main() -> ledger.Ledger:
        fleet = world.World(case.site, seed)

        async def name_limit() -> None:
            faults = asyncio.ensure_future(case.faults(fleet))
            await asyncio.sleep(NAMED_AT_S)
            fleet.set_limit(case.select(fleet), case.per_s)
            await asyncio.sleep(ENDS_AT_S - NAMED_AT_S)
            fleet.end_limits()
            await faults

        arrivals = workload.generate_arrivals(
            case.site,
            LENGTH_S,
            random.Random(seed),
            load=case.load,
            bursts=tuple(
                workload.Burst(kind.name, 0.0, LENGTH_S, case.plain_load)
                for kind in case.site.kinds
                if not kind.tokens
            ),
        )
        return await fleet.run_workload(arrivals, name_limit())

    return virtual_time.run(main())


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("name", CASES)
def test_upstreams_get_no_more_than_the_limit_they_name(
    name: str, seed: int
) -> None:
    """Guards against a limit that each gateway breaks, or all together do."""
    run_ledger = _play(CASES[name], seed)
    assert ledger.find_limit_violations(run_ledger, SETTLE_S) == []
    assert ledger.find_violations(run_ledger) == []
