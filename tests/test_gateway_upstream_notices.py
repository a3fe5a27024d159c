"""Tests what gateways keep of what upstreams say of themselves."""

import math
from typing import NamedTuple

import pytest

from apricottrestle.gateway import upstream_notices


class Answer(NamedTuple):
    """What an answer says: time, start of the upstream, and statements."""

    at_s: float
    started_at_ms: int = 7
    leaves: bool = False
    wait_s: float | None = None


@pytest.mark.parametrize(
    ("answers", "started_at_ms", "at_s", "wait_s"),
    [
        pytest.param([], 7, 1.0, 0.0, id="nothing said"),
        pytest.param([Answer(1.0)], 7, 1.0, 0.0, id="silent answer"),
        pytest.param([Answer(1.0, leaves=True)], 7, 9e9, math.inf, id="leaves"),
        pytest.param(
            [Answer(1.0, leaves=True), Answer(2.0)],
            7,
            3.0,
            math.inf,
            id="leaves, silent answer later",
        ),
        pytest.param([Answer(1.0, leaves=True)], 8, 1.0, 0.0, id="later start"),
        pytest.param(
            [Answer(1.0, leaves=True)], 6, 1.0, math.inf, id="older record"
        ),
        pytest.param(
            [Answer(1.0, 8), Answer(2.0, 7, leaves=True)],
            8,
            2.0,
            0.0,
            id="late answer of an older start",
        ),
        pytest.param(
            [Answer(1.0, 8, wait_s=5.0), Answer(2.0, 7, leaves=True)],
            8,
            2.0,
            4.0,
            id="late answer beside a wait",
        ),
        pytest.param([Answer(1.0, wait_s=2.0)], 7, 2.5, 0.5, id="waits"),
        pytest.param([Answer(1.0, wait_s=2.0)], 7, 3.0, 0.0, id="wait over"),
        pytest.param([Answer(1.0, wait_s=0.0)], 7, 1.0, 0.0, id="no wait"),
        pytest.param(
            [Answer(1.0, wait_s=5.0), Answer(2.0, wait_s=1.0)],
            7,
            3.5,
            2.5,
            id="shorter after longer",
        ),
        pytest.param(
            [Answer(1.0, wait_s=5.0), Answer(2.0)],
            7,
            3.0,
            3.0,
            id="wait, silent answer later",
        ),
        pytest.param(
            [Answer(1.0, wait_s=5.0), Answer(2.0, 8, wait_s=1.0)],
            8,
            2.0,
            1.0,
            id="wait of a later start",
        ),
    ],
)
def test_statements_hold_for_their_start(
    answers: list[Answer], started_at_ms: int, at_s: float, wait_s: float
) -> None:
    """Guards against statements that end too early, or outlive their start."""
    notices = upstream_notices.UpstreamNotices()
    for answer in answers:
        notices.observe(
            "up-1",
            answer.started_at_ms,
            answer.at_s,
            leaves=answer.leaves,
            wait_s=answer.wait_s,
        )
    assert notices.wait_s("up-1", started_at_ms, at_s) == wait_s
    assert notices.wait_s("up-2", started_at_ms, at_s) == 0.0


@pytest.mark.parametrize(("started_at_ms", "wait_s"), [(0, 0.0), (7, math.inf)])
def test_departure_ends_statements_only_without_a_start_time(
    started_at_ms: int, wait_s: float
) -> None:
    """Guards against a list from an older copy that ends a statement."""
    notices = upstream_notices.UpstreamNotices()
    notices.observe("up-1", started_at_ms, 1.0, leaves=True, wait_s=None)
    notices.upstream_gone("up-1")
    assert notices.wait_s("up-1", started_at_ms, 2.0) == wait_s


def test_table_of_statements_is_bounded() -> None:
    """Guards against memory that grows with the upstreams of a long life."""
    notices = upstream_notices.UpstreamNotices()
    for number in range(2 * upstream_notices.MAX_UPSTREAMS):
        notices.observe(f"up-{number}", 7, 1.0, leaves=True, wait_s=None)
    last = 2 * upstream_notices.MAX_UPSTREAMS - 1
    assert notices.wait_s("up-0", 7, 1.0) == 0.0
    assert notices.wait_s(f"up-{last}", 7, 1.0) == math.inf
