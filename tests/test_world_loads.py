"""Guards service under load patterns, in virtual time and without network.

Each test names the pattern it answers. Bounds are the stated targets: 0.92 of
the worth on calm days, and no kind of request below half of the whole's share.
"""

from typing import Any
from unittest import mock

import pytest
from bench import fleet_days

from apricottrestle.gateway import gateway
from apricottrestle_standins.platform import ledger, workload

CALM_WORTH = 0.92
FLOOD = fleet_days.Pattern(
    bursts=(workload.Burst("short", 0.5, 3.0, 6.0, fleet_days.HOT),)
)
FLOOD_S = 3.5
DEEP_FLOOD = fleet_days.Pattern(
    bursts=(workload.Burst("short", 0.5, 0.8, 20.0, fleet_days.HOT),)
)
MAX_LOOKS = 20
"""Looks in vain at the queue: three for each of three kinds, late or not."""
LEAST_SHARE = 0.5


def _id(pattern: str) -> str:
    return pattern.replace(" ", "-")


@pytest.mark.parametrize("site", ["zimska-trgatev", "sweetbreeze"])
@pytest.mark.parametrize("pattern", ["0.7 of the load", "the load"], ids=_id)
def test_calm_day_is_served_on_time(site: str, pattern: str) -> None:
    """Guards calm days: passes followed, runs shared, prompts split."""
    book = fleet_days.play(site, fleet_days.PATTERNS[pattern], 0)
    assert ledger.broken_rules(book) == []
    assert ledger.scores(book)["all"].worth >= CALM_WORTH


@pytest.mark.parametrize("site", ["zimska-trgatev", "sweetbreeze"])
@pytest.mark.parametrize(
    "pattern",
    [
        # Reads of one pass delay each other; gateways choose at a time.
        "burst of short",
        # Split over engines that write short answers.
        "burst of middle",
        # Helpers and memory on several engines; short ones keep theirs.
        "burst of long",
        # Engines five times slower than published.
        "slow engines",
        # Far beyond what the engines can do in time: urgent kinds first.
        "2.5 of the load",
    ],
    ids=_id,
)
def test_no_kind_starves(site: str, pattern: str) -> None:
    """Guards each kind of request against the pattern."""
    book = fleet_days.play(site, fleet_days.PATTERNS[pattern], 0)
    assert ledger.broken_rules(book) == []
    scores = ledger.scores(book)
    for name, row in scores.items():
        assert row.worth >= LEAST_SHARE * scores["all"].worth, name


def test_sharing_runs_serves_a_burst_better() -> None:
    """Guards a burst of short requests against gateways that see only theirs.

    Without shared runs several gateways fill the same engines at a time.
    """
    pattern = fleet_days.PATTERNS["burst of short"]
    shared = ledger.scores(fleet_days.play("sweetbreeze", pattern, 1))
    with fleet_days.VARIANTS["runs not shared"]():
        alone = ledger.scores(fleet_days.play("sweetbreeze", pattern, 1))
    assert shared["all"].worth > alone["all"].worth


def _flood_worth(
    pattern: fleet_days.Pattern = FLOOD, length_s: float = FLOOD_S
) -> float:
    book = fleet_days.play("zimska-trgatev", pattern, 0, length_s=length_s)
    assert ledger.broken_rules(book) == []
    return ledger.scores(book)["all"].worth


def test_late_requests_do_not_crowd_out_those_on_time() -> None:
    """Guards a hot team's flood of short requests, beyond what engines do.

    Without slots left free, late requests took each place and nearly all
    requests of the flood and beside it became late.
    """
    shipped = _flood_worth()
    with fleet_days.VARIANTS["late ones take all slots"]():
        without = _flood_worth()
    assert shipped > without


def test_look_at_a_long_queue_is_bounded() -> None:
    """Guards a gateway's time against a queue that grows with the overload.

    With a look at each waiting request, 20 s of the hot team's flood took
    minutes to play.
    """
    looks: list[int] = []
    pump, place = (
        gateway.Gateway.run_scheduling_pass,
        gateway.Gateway._place_engine_request,
    )
    calls = 0

    def counted_place(self: gateway.Gateway, *args: Any) -> None:
        nonlocal calls
        calls += 1
        before = len(self._waiting)
        place(self, *args)
        # A look that finds a place or refuses shortens the queue.
        calls -= len(self._waiting) < before

    def counted_pump(self: gateway.Gateway) -> None:
        nonlocal calls
        calls = 0
        claims = len(self._own_claims)
        pump(self)
        looks.append(calls - claims)

    with (
        mock.patch.object(
            gateway.Gateway, "_place_engine_request", counted_place
        ),
        mock.patch.object(gateway.Gateway, "run_scheduling_pass", counted_pump),
    ):
        _flood_worth(DEEP_FLOOD, 1.3)
    assert max(looks) <= MAX_LOOKS
