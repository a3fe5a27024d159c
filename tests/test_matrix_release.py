"""Matrix cells of release notes: G6 at each step of publishing a note.

Guards against a fault after which a process reverts, stays behind or holds a
state that differs from the fold of the stream, or after which an operator gets
a verdict that differs from the fold.
"""

import pytest

from tests import (
    matrix_table,
    order_scenarios,
    release_fleet,
    release_scenarios,
)

_IMPOSSIBLE_AT_STEP = {
    ("message duplicated", "acknowledge"): (
        "an HTTP response is read once, on the connection of its request"
    ),
    ("messages swapped", "acknowledge"): (
        "an HTTP response is matched to its request by the connection"
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
_IMPOSSIBLE_FOR_NOTES = {
    "cache events with gaps": "notes are not sent in cache events",
    "load reports late": "notes do not depend on load reports",
    "data centre evacuated": "entries and agents read no evacuations",
}
_IMPOSSIBLE_FOR_ORDERS = {
    "log records past retention": (
        "orders come from the folded state; no record is read for them"
    ),
    "instance list late or wrong": "an agent gets its engine from its settings",
    "cache events with gaps": "orders do not depend on cache events",
    "load reports late": "orders do not depend on load reports",
    "data centre evacuated": "entries and agents read no evacuations",
    "operators racing": "a note is accepted or rejected before its order",
}


def _make_cells() -> tuple[matrix_table.Cell, ...]:
    cells = []
    for fault in matrix_table.FAULTS:
        for step in release_scenarios.STEPS:
            reason = _IMPOSSIBLE_FOR_NOTES.get(
                fault
            ) or _IMPOSSIBLE_AT_STEP.get((fault, step))
            if fault == "fencing ignored":
                reason = "only orders carry fencing numbers"
            cells.append(
                _make_cell(
                    fault, step, reason, "test_a_note_is_in_force_everywhere"
                )
            )
        cells += [
            _make_cell(
                fault,
                step,
                _IMPOSSIBLE_FOR_ORDERS.get(fault),
                "test_the_engine_runs_the_newest_revision",
            )
            for step in order_scenarios.STEPS
        ]
    return tuple(cells)


def _make_cell(
    fault: str, step: str, reason: str | None, test: str
) -> matrix_table.Cell:
    state: matrix_table.State = "impossible" if reason else "proved"
    return matrix_table.Cell("G6", fault, step, state, reason or test)


CELLS = _make_cells()


@pytest.mark.parametrize(
    "cell",
    matrix_table.proved_params(CELLS, "test_a_note_is_in_force_everywhere"),
)
def test_a_note_is_in_force_everywhere(cell: matrix_table.Cell) -> None:
    fleet = release_fleet.Fleet()
    release_fleet.publish_first(fleet)
    results = release_scenarios.scenario(cell.fault, cell.step)(fleet)
    fleet.check_states()
    fleet.recover()
    fleet.check_states()
    fleet.check_converged()
    records = {rec.offset: rec.data for rec in fleet.log.notes()}
    in_force = {records[rev] for rev in fleet.states_by_revision() if rev}
    for text, result in results:
        if result.verdict == "accepted":
            assert records[result.offset] == text
        if result.verdict != "unknown":
            assert (text in in_force) == (result.verdict == "accepted")


@pytest.mark.parametrize(
    "cell",
    matrix_table.proved_params(
        CELLS, "test_the_engine_runs_the_newest_revision"
    ),
)
def test_the_engine_runs_the_newest_revision(cell: matrix_table.Cell) -> None:
    index = order_scenarios.STEPS.index(cell.step)
    world = order_scenarios.SCENARIOS[cell.fault][index](
        order_scenarios.make_world()
    )
    world.until(
        lambda: order_scenarios.is_in_force(world),
        2 * order_scenarios.IN_FORCE_S,
    )
    # No message in transit may bring the old version back.
    for _ in range(100):
        world.tick()
        assert order_scenarios.is_in_force(world)
    fences = [order.fence for order in world.engine.orders]
    assert fences[-1] == order_scenarios.NEW_REVISION
