"""Matrix cells of requests at the gateway on the platform: G1 to G4.

Each cell plays a day in virtual time on which the fault begins when a tracked
request reaches the step. The ledger decides from what callers and upstreams
saw; what the gateways still hold is looked at after all callers have left.
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
    "two faults at once",
)
_PAIRS: Final = {
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
SLACK_S: Final = 0.1
"""Time that an answer may need from the gateway's end to the caller's."""


def _play(tracked: workload.Arrival, cell: Cell) -> gateway_steps.Day:
    faults = _PAIRS.get(cell.fault, (cell.fault,))
    day = gateway_steps.play(tracked, cell.step, faults)
    assert day.struck
    return day


@pytest.mark.parametrize(
    "cell", matrix_table.proved(CELLS, "test_request_ends_in_time")
)
def test_request_ends_in_time(cell: Cell) -> None:
    """Guards every caller of the day against an answer without an end."""
    day = _play(gateway_steps.LONG, cell)
    for attempts in day.book.requests:
        timeout_s = attempts[0].arrival.kind.timeout_s
        for attempt in attempts:
            if attempt.broken and attempt.ended_s is None:
                # No gateway was there to connect to.
                continue
            assert attempt.ended_s is not None, attempt.request_id
            spent_s = attempt.ended_s - attempts[0].sent_s
            assert spent_s <= timeout_s + SLACK_S, attempt.request_id


@pytest.mark.parametrize(
    "cell", matrix_table.proved(CELLS, "test_engine_memory_comes_back")
)
def test_engine_memory_comes_back(cell: Cell) -> None:
    """Guards engines and load tables against what a lost run leaves."""
    day = _play(gateway_steps.LONG, cell)
    assert day.held == []
    assert day.book.leaks == []


@pytest.mark.parametrize(
    "cell", matrix_table.proved(CELLS, "test_answer_is_whole")
)
def test_answer_is_whole(cell: Cell) -> None:
    """Guards a split prompt's answer: each event once, within one retry."""
    day = _play(gateway_steps.LONG, cell)
    assert ledger.broken_rules(day.book) == []
    last = day.tracked[-1]
    assert last.complete
    assert last.status == 200
    events = [event for each in day.tracked for event in each.event_ids]
    assert events == list(range(1, gateway_steps.LONG.events + 1))


@pytest.mark.parametrize(
    "cell", matrix_table.proved(CELLS, "test_order_runs_once_at_most")
)
def test_order_runs_once_at_most(cell: Cell) -> None:
    """Guards an unsafe request against a second run and a false refusal."""
    day = _play(gateway_steps.ORDER, cell)
    assert ledger.broken_rules(day.book) == []
    names = {attempt.request_id for attempt in day.tracked}
    runs = [run for run in day.book.runs if run.request_id in names]
    assert len(runs) <= 1
    if any(each.complete and each.status == 200 for each in day.tracked):
        assert len(runs) == 1
