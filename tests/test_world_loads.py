"""Tests the quality of service under load patterns, in a simulation.

The gateways run their real code in virtual time, without network. The bounds
are the stated targets: a worth (credit earned over credit owed, see
`ledger.Score`) of 0.92 at nominal load, and for each kind of request at least
half of the overall worth.
"""

from typing import Any
from unittest import mock

import pytest
from bench import fleet_days

from apricottrestle.gateway import engine_queue
from apricottrestle_standins.platform import ledger, workload

NOMINAL_LOAD_WORTH = 0.92
FLOOD = fleet_days.LoadPattern(
    bursts=(workload.Burst("short", 0.5, 3.0, 6.0, fleet_days.HOT_TEAM),)
)
FLOOD_S = 3.5
SEVERE_FLOOD = fleet_days.LoadPattern(
    bursts=(workload.Burst("short", 0.5, 0.8, 20.0, fleet_days.HOT_TEAM),)
)
MAX_FAILED_PLACEMENTS = 20
"""Most failed attempts to place a request in one scheduling pass: three for
each of three kinds, and as many for late requests."""
MIN_KIND_SHARE = 0.5


def _id(pattern: str) -> str:
    return pattern.replace(" ", "-")


@pytest.mark.parametrize("site", ["zimska-trgatev", "sweetbreeze"])
@pytest.mark.parametrize("pattern", ["0.7 of the load", "the load"], ids=_id)
def test_nominal_load_is_served_on_time(site: str, pattern: str) -> None:
    """Guards against late answers while the engines have capacity.

    This takes the model of the engines' passes, the exchange of runs between
    gateways and the split of long prompts over engines.
    """
    records = fleet_days.simulate_day(
        site, fleet_days.LOAD_PATTERNS[pattern], 0
    )
    assert ledger.find_violations(records) == []
    assert ledger.scores(records)["all"].worth >= NOMINAL_LOAD_WORTH


@pytest.mark.parametrize("site", ["zimska-trgatev", "sweetbreeze"])
@pytest.mark.parametrize(
    "pattern",
    [
        # Prefills in one engine pass delay each other, and several
        # gateways choose engines at the same time.
        "burst of short",
        # Prompts are split over engines that decode short answers.
        "burst of middle",
        # Long prompts take memory and prefill time on several engines;
        # short requests must keep their share of engines.
        "burst of long",
        # Engines five times slower than published.
        "slow engines",
        # Far more load than capacity: urgent kinds go first.
        "2.5 of the load",
    ],
    ids=_id,
)
def test_no_kind_starves(site: str, pattern: str) -> None:
    """Guards against a load pattern that starves one kind of request."""
    records = fleet_days.simulate_day(
        site, fleet_days.LOAD_PATTERNS[pattern], 0
    )
    assert ledger.find_violations(records) == []
    scores = ledger.scores(records)
    for name, row in scores.items():
        assert row.worth >= MIN_KIND_SHARE * scores["all"].worth, name


def test_sharing_runs_serves_a_burst_better() -> None:
    """Guards against an overload of few engines by several gateways.

    Without the runs of their peers, several gateways send a burst of short
    requests to the same engines at the same time.
    """
    pattern = fleet_days.LOAD_PATTERNS["burst of short"]
    shared = ledger.scores(fleet_days.simulate_day("sweetbreeze", pattern, 1))
    with fleet_days.VARIANTS["runs not shared"]():
        alone = ledger.scores(
            fleet_days.simulate_day("sweetbreeze", pattern, 1)
        )
    assert shared["all"].worth > alone["all"].worth


def _flood_worth(
    pattern: fleet_days.LoadPattern = FLOOD, length_s: float = FLOOD_S
) -> float:
    records = fleet_days.simulate_day(
        "zimska-trgatev", pattern, 0, length_s=length_s
    )
    assert ledger.find_violations(records) == []
    return ledger.scores(records)["all"].worth


def test_late_requests_do_not_crowd_out_those_on_time() -> None:
    """Guards against late requests that make all others late in an overload.

    One team sends more short requests than the engines can serve. If no slots
    are reserved for requests that are still on time, late requests take every
    slot, and nearly all requests of all teams become late.
    """
    default = _flood_worth()
    with fleet_days.VARIANTS["late ones take all slots"]():
        without = _flood_worth()
    assert default > without


def test_scheduling_pass_over_a_long_queue_is_bounded() -> None:
    """Guards against scheduling passes that slow down with the queue's length.

    With an attempt to place each waiting request in every pass, 20 s of one
    team's overload took minutes to simulate.
    """
    failed_by_pass: list[int] = []
    pump, place = (
        engine_queue.EngineQueue.run_scheduling_pass,
        engine_queue.EngineQueue._place_engine_request,
    )
    failed = 0

    def counted_place(self: engine_queue.EngineQueue, *args: Any) -> None:
        nonlocal failed
        failed += 1
        before = len(self._waiting)
        place(self, *args)
        # A request that was placed or refused has left the queue.
        failed -= len(self._waiting) < before

    def counted_pump(self: engine_queue.EngineQueue) -> None:
        nonlocal failed
        failed = 0
        claims = len(self._own_claims)
        pump(self)
        failed_by_pass.append(failed - claims)

    with (
        mock.patch.object(
            engine_queue.EngineQueue, "_place_engine_request", counted_place
        ),
        mock.patch.object(
            engine_queue.EngineQueue, "run_scheduling_pass", counted_pump
        ),
    ):
        _flood_worth(SEVERE_FLOOD, 1.3)
    assert max(failed_by_pass) <= MAX_FAILED_PLACEMENTS
