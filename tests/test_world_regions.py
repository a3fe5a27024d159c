"""Plays requests that may use some regions only, in a simulation."""

import asyncio
import random
from typing import Final, NamedTuple

import pytest

from apricottrestle.gateway import fleet_config
from apricottrestle_standins.platform import (
    ledger,
    virtual_time,
    workload,
    world,
)
from tests import world_faults

SITE: Final = workload.SITES["zimska-trgatev"]
LENGTH_S: Final = 12.0

ROUTE_REGIONS: Final = {
    "all": (),
    "one": ("region-1",),
    "two": ("region-0", "region-2"),
    "none": ("region-9",),
}
TEAM_REGIONS: Final = {"team-0": ("region-0", "region-1")}


class Case(NamedTuple):
    """A day with regions.

    Attributes:
        route: Regions of all routes, by name.
        team: Whether a team has regions too.
        load: Factor on the usual load.
        evacuated: Data centre that is evacuated, or empty.
        restarts: Whether the gateways restart one after the other.
    """

    route: str
    team: bool = False
    load: float = 1.0
    evacuated: str = ""
    restarts: bool = False


CASES: Final = {
    "route": Case("one"),
    "route_two_regions": Case("two"),
    "route_none": Case("none"),
    "team": Case("all", team=True),
    "route_and_team": Case("two", team=True),
    "full_home": Case("one", load=4.0),
    "evacuated_home": Case("one", evacuated="dc-1"),
    "one_of_two_evacuated": Case("two", evacuated="dc-2"),
    "restarts": Case("two", team=True, restarts=True),
}


def _play(case: Case, seed: int) -> tuple[ledger.Ledger, world.World]:
    async def main() -> tuple[ledger.Ledger, world.World]:
        fleet = world.World(SITE, seed)
        assert fleet.config.teams_by_key is not None
        fleet.config = fleet.config._replace(
            version=2,
            routes=tuple(
                route._replace(allowed_regions=ROUTE_REGIONS[case.route])
                for route in fleet.config.routes
            ),
            teams_by_key={
                key: team._replace(
                    allowed_regions=TEAM_REGIONS.get(team.name, ())
                    if case.team
                    else ()
                )
                for key, team in fleet.config.teams_by_key.items()
            },
        )
        fleet.log.publish(fleet.config)

        async def events() -> None:
            if case.evacuated:
                fleet.evacuate(case.evacuated)
            if case.restarts:
                await world_faults.restart_each(fleet, 3.0, 0.7)
            await asyncio.sleep(0.0)

        arrivals = workload.generate_arrivals(
            SITE, LENGTH_S, random.Random(seed), load=case.load
        )
        return await fleet.run_workload(arrivals, events()), fleet

    return virtual_time.run(main())


def _allowed(fleet: world.World, attempt: ledger.Attempt) -> set[str]:
    """Returns the data centres that an attempt's request may use."""
    config = fleet.config
    assert config.teams_by_key is not None
    route = next(
        route
        for route in config.routes
        if route.name == attempt.arrival.kind.name
    )
    team = config.teams_by_key[f"key-{attempt.arrival.team}"]
    regions = fleet_config.allowed_regions(route, team)
    centres = {f"dc-{n}" for n in range(SITE.data_centres)}
    if regions is None:
        return centres
    return {name for name in centres if name.replace("dc", "region") in regions}


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("name", CASES)
def test_requests_stay_in_their_regions(name: str, seed: int) -> None:
    """Guards against upstreams outside, also if those inside are full."""
    case = CASES[name]
    run_ledger, fleet = _play(case, seed)
    by_id = {
        attempt.request_id: attempt
        for attempts in run_ledger.requests
        for attempt in attempts
    }
    used = [row for row in run_ledger.placements if row.what != "reservation"]
    for row in used:
        assert row.data_centre in _allowed(fleet, by_id[row.request_id])
    without = [
        attempt
        for attempt in by_id.values()
        if _allowed(fleet, attempt) <= {case.evacuated}
        and attempt.sent_s > 5.0
        and not case.restarts
    ]
    for attempt in without:
        # Refused at once, with a reason to come back.
        assert attempt.status == 503
        assert attempt.retry_after_s is not None
        assert attempt.ended_s is not None
        assert attempt.ended_s - attempt.sent_s < 0.01
    none_usable = name in ("route_none", "evacuated_home")
    assert bool(used) is not none_usable
    assert bool(without) is none_usable
    assert ledger.find_violations(run_ledger) == []
