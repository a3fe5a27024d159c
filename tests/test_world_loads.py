"""Guards service under load patterns, in virtual time and without network.

Each test names the pattern it answers. Bounds are the stated targets: 0.92 of
the worth on calm days, and no kind of request below half of the whole's share.
"""

import pytest
from bench import fleet_days

from apricottrestle_standins.platform import ledger

CALM_WORTH = 0.92
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
