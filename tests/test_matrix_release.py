"""G6 at each step of a release note's path.

Guards against a fault after which a process reverts, stays behind, holds a
state that the stream's fold never had, or an operator gets a verdict that the
fold doesn't share.
"""

import pytest

from tests import matrix_table, release_fleet, release_scenarios

_REASONS = {
    ("message duplicated", "acknowledge"): (
        "an HTTP answer is read once, on the connection of its request"
    ),
    ("messages swapped", "acknowledge"): (
        "an HTTP answer is paired with its request by the connection"
    ),
    ("instance list late or wrong", "append"): (
        "operators reach the log by its address, not by the list"
    ),
    ("instance list late or wrong", "acknowledge"): (
        "operators reach the log by its address, not by the list"
    ),
    ("instance list late or wrong", "read"): (
        "entries reach the log by its address, not by the list"
    ),
}
_UNRELATED = {
    "cache events with gaps": "notes do not pass through cache events",
    "load reports late": "notes do not depend on load reports",
    "fencing ignored": "fencing numbers appear in orders only",
}


def _cells() -> tuple[matrix_table.Cell, ...]:
    cells = []
    for fault in matrix_table.FAULTS:
        for step in release_scenarios.STEPS:
            reason = _UNRELATED.get(fault) or _REASONS.get((fault, step))
            cells.append(
                matrix_table.Cell(
                    "G6",
                    fault,
                    step,
                    "impossible" if reason else "proved",
                    reason or "test_a_note_is_in_force_everywhere",
                )
            )
    return tuple(cells)


CELLS = _cells()


@pytest.mark.parametrize(
    "cell", matrix_table.proved(CELLS, "test_a_note_is_in_force_everywhere")
)
def test_a_note_is_in_force_everywhere(cell: matrix_table.Cell) -> None:
    fleet = release_fleet.Fleet()
    release_fleet.publish_first(fleet)
    index = release_scenarios.STEPS.index(cell.step)
    scenario = release_scenarios.SCENARIOS[cell.fault][index]
    assert scenario is not None
    results = scenario(fleet)
    fleet.check()
    fleet.settle()
    fleet.check()
    fleet.check_settled()
    records = {rec.offset: rec.data for rec in fleet.log.notes()}
    in_force = {records[rev] for rev in fleet.reference() if rev}
    for text, result in results:
        if result.verdict == "accepted":
            assert records[result.offset] == text
        if result.verdict != "unknown":
            assert (text in in_force) == (result.verdict == "accepted")
