"""Cells of the fault matrix, declared by the test modules that run them.

Each `tests/test_matrix_<area>.py` has a `CELLS` tuple and parametrises its
tests with `proved_params(CELLS, "<test function>")`, so that a cell counts as
proved only when a test of that name runs it.
"""

from typing import Any, Final, Literal, NamedTuple

import pytest

REQUEST_STEPS: Final = (
    "accept",
    "admit",
    "queue",
    "dispatch",
    "start",
    "first token",
    "mid-stream",
    "last token",
    "acknowledge",
    "clean up",
)
NOTE_STEPS: Final = (
    "append",
    "acknowledge",
    "read",
    "fold",
    "order",
    "confirm",
)
FAULTS: Final = (
    "kill",
    "freeze and thaw",
    "silent connection",
    "message late",
    "message duplicated",
    "messages swapped",
    "answer lost after effect",
    "log down or slow",
    "log records past retention",
    "instance list late or wrong",
    "cache events with gaps",
    "load reports late",
    "operators racing",
    "fencing ignored",
    "data centre evacuated",
    "two faults at once",
)
GUARANTEES: Final = {
    "G1": "every admitted request finishes or fails within its time",
    "G2": "no engine loses memory permanently",
    "G3": "a caller gets the complete answer to its own request",
    "G4": "not run means not run; non-idempotent calls run at most once",
    "G5": "no new work for a leaving upstream; planned stops interrupt nothing",
    "G6": "an accepted release note is applied everywhere and never reverts",
    "G7": "the audit records what was served and lists its exact gaps",
}

State = Literal["proved", "impossible", "not proved"]


class Cell(NamedTuple):
    """One cell of the matrix.

    Attributes:
        guarantee: Key of GUARANTEES.
        fault: One of FAULTS.
        step: One of REQUEST_STEPS, or of NOTE_STEPS for G6.
        state: Whether a test runs the cell.
        evidence: Name of the test function when proved, otherwise the reason.
    """

    guarantee: str
    fault: str
    step: str
    state: State
    evidence: str


def cell_id(cell: Cell) -> str:
    """Returns the pytest parameter id of the cell."""
    return f"{cell.guarantee}-{cell.fault}-{cell.step}".replace(" ", "_")


def proved_params(cells: tuple[Cell, ...], function: str) -> list[Any]:
    """Returns the pytest parameters for the cells that a test function runs."""
    return [
        pytest.param(cell, id=cell_id(cell))
        for cell in cells
        if cell.state == "proved" and cell.evidence == function
    ]
