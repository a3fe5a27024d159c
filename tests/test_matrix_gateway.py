"""Fault matrix cells of gateway requests: guarantees G1 to G4.

Each cell simulates traffic in virtual time and injects its fault when a tracked
request reaches its step. The checks use the ledger of what callers and
upstreams observed, and the resources still held after all callers have left.
"""

from typing import Final

import pytest

from apricottrestle_standins.platform import ledger, workload
from tests import gateway_steps, matrix_table

Cell = matrix_table.Cell

FAULTS: Final = (
    "kill",
    "silent connection",
    "message late",
    "message duplicated",
    "messages swapped",
    "answer lost after effect",
    "log down or slow",
    "log records past retention",
    "instance list late or wrong",
    "load reports late",
    "operators racing",
    "fencing ignored",
    "data centre evacuated",
    "two faults at once",
)
_FAULT_PAIRS: Final = {
    "two faults at once": ("kill for good", "answer lost after effect")
}
_ORDER_STEPS: Final = (
    "accept",
    "admit",
    "dispatch",
    "start",
    "last token",
    "acknowledge",
    "clean up",
)
_NO_CACHE_EVENTS: Final = "the platform's engines publish no cache events"
CELLS: Final = (
    *(
        Cell(guarantee, fault, step, "proved", function)
        for guarantee, function in (
            ("G1", "test_request_ends_in_time"),
            ("G2", "test_engine_memory_comes_back"),
            ("G3", "test_answer_is_whole"),
        )
        for fault in FAULTS
        for step in matrix_table.REQUEST_STEPS
    ),
    *(
        Cell("G4", fault, step, "proved", "test_order_runs_once_at_most")
        for fault in FAULTS
        for step in _ORDER_STEPS
    ),
    *(
        Cell(
            guarantee,
            "cache events with gaps",
            step,
            "impossible",
            _NO_CACHE_EVENTS,
        )
        for guarantee in ("G1", "G2", "G3", "G4")
        for step in matrix_table.REQUEST_STEPS
    ),
)
END_TOLERANCE_S: Final = 0.1
"""Allowance for the transfer of a response's end to the caller."""


def _run_scenario(
    tracked: workload.Arrival, cell: Cell
) -> gateway_steps.ScenarioResult:
    faults = _FAULT_PAIRS.get(cell.fault, (cell.fault,))
    result = gateway_steps.run_scenario(tracked, cell.step, faults)
    assert result.fault_injected
    return result


@pytest.mark.parametrize(
    "cell", matrix_table.proved_params(CELLS, "test_request_ends_in_time")
)
def test_request_ends_in_time(cell: Cell) -> None:
    """Guards against responses that never end or exceed the time limit."""
    result = _run_scenario(gateway_steps.LONG, cell)
    for attempts in result.observations.requests:
        timeout_s = attempts[0].arrival.kind.timeout_s
        for attempt in attempts:
            if attempt.broken and attempt.ended_s is None:
                # No gateway was available to connect to.
                continue
            assert attempt.ended_s is not None, attempt.request_id
            spent_s = attempt.ended_s - attempts[0].sent_s
            assert spent_s <= timeout_s + END_TOLERANCE_S, attempt.request_id


@pytest.mark.parametrize(
    "cell", matrix_table.proved_params(CELLS, "test_engine_memory_comes_back")
)
def test_engine_memory_comes_back(cell: Cell) -> None:
    """Guards against engine memory and load entries leaked by lost runs."""
    result = _run_scenario(gateway_steps.LONG, cell)
    assert result.unreleased == []
    assert result.observations.leaks == []


@pytest.mark.parametrize(
    "cell", matrix_table.proved_params(CELLS, "test_answer_is_whole")
)
def test_answer_is_whole(cell: Cell) -> None:
    """Guards against missing or repeated events of a split prompt."""
    result = _run_scenario(gateway_steps.LONG, cell)
    assert ledger.find_violations(result.observations) == []
    last = result.tracked[-1]
    assert last.complete
    assert last.status == 200
    events = [
        event for attempt in result.tracked for event in attempt.event_ids
    ]
    assert events == list(range(1, gateway_steps.LONG.events + 1))


@pytest.mark.parametrize(
    "cell", matrix_table.proved_params(CELLS, "test_order_runs_once_at_most")
)
def test_order_runs_once_at_most(cell: Cell) -> None:
    """Guards against a second run or a false refusal of an unsafe request."""
    result = _run_scenario(gateway_steps.ORDER, cell)
    assert ledger.find_violations(result.observations) == []
    request_ids = {attempt.request_id for attempt in result.tracked}
    runs = [
        run for run in result.observations.runs if run.request_id in request_ids
    ]
    assert len(runs) <= 1
    if any(
        attempt.complete and attempt.status == 200 for attempt in result.tracked
    ):
        assert len(runs) == 1
