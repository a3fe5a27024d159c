"""Tests of the order in which an agent starts queued requests."""

import random

import hypothesis
import pytest
from hypothesis import strategies as st

from apricottrestle import queueing, queueing_fair

IDLE = queueing.Capacity(64, 64, 10_000_000, 10_000_000, 0, 20_000.0)
LONG = queueing.LONG_PROMPT_TOKENS + 1


def item(
    req_id: str,
    *,
    team: str = "t0",
    weight: float = 1.0,
    priority: int = 1,
    tokens: int = 1000,
    enqueued: float = 0.0,
) -> queueing.QueueItem:
    return queueing.QueueItem(
        req_id, team, weight, priority, tokens, 100, tokens, enqueued, 1e9
    )


def drain(
    queue: queueing.RequestQueue,
    capacity: queueing.Capacity = IDLE,
    now: float = 0.0,
) -> list[str]:
    """Pops until no item can start and returns the request ids in order."""
    ids = []
    while (popped := queue.pop(capacity, now)) is not None:
        ids.append(popped.req_id)
    return ids


def test_most_urgent_class_goes_first() -> None:
    queue = queueing_fair.PriorityFairQueue()
    for priority in (2, 1, 0):
        queue.push(item(f"p{priority}", priority=priority))
    assert drain(queue) == ["p0", "p1", "p2"]


@pytest.mark.parametrize(("index", "floor"), [(1, 0.1), (2, 0.05)])
def test_class_gets_its_floor_under_urgent_overload(
    index: int, floor: float
) -> None:
    """Guards against starvation by a never empty queue of urgent requests."""
    queue = queueing_fair.PriorityFairQueue()
    for number in range(2000):
        queue.push(item(f"u{number}", priority=0))
        queue.push(item(f"l{number}", priority=index))
    started = [queue.pop(IDLE, 0.0) for _ in range(1500)]
    low = sum(1 for popped in started if popped and popped.priority == index)
    assert low / 1500 == pytest.approx(floor, rel=0.05)


@pytest.mark.parametrize("weights", [(1.0, 1.0), (1.0, 3.0), (4.0, 1.0)])
def test_teams_share_tokens_by_weight(weights: tuple[float, float]) -> None:
    """Guards against a larger share for more requests or longer prompts."""
    queue = queueing_fair.PriorityFairQueue()
    for number in range(1000):
        queue.push(item(f"a{number}", team="a", weight=weights[0], tokens=900))
        queue.push(item(f"b{number}", team="b", weight=weights[1], tokens=3900))
    served = {"a": 0, "b": 0}
    for _ in range(400):
        popped = queue.pop(IDLE, 0.0)
        assert popped is not None
        served[popped.team] += queueing_fair.cost_tokens(popped)
    assert served["a"] / served["b"] == pytest.approx(
        weights[0] / weights[1], rel=0.05
    )


def test_team_that_queues_one_at_a_time_gets_no_more_than_its_share() -> None:
    """Guards against losing a team's usage when its queue becomes empty."""
    queue = queueing_fair.PriorityFairQueue()
    for number in range(1000):
        queue.push(item(f"a{number}", team="a"))
    served = {"a": 0, "b": 0}
    for _ in range(400):
        queue.push(item("b", team="b", tokens=4300))
        popped = queue.pop(IDLE, 0.0)
        assert popped is not None
        served[popped.team] += queueing_fair.cost_tokens(popped)
    assert served["a"] == pytest.approx(served["b"], rel=0.05)


def test_short_request_overtakes_long_one_that_waits_for_prefill() -> None:
    """Guards against short requests that wait for a long prefill."""
    queue = queueing_fair.PriorityFairQueue()
    queue.push(item("long", tokens=LONG))
    queue.push(item("short", enqueued=1.0))
    busy = IDLE._replace(prefills=1, long_prefills=1)
    assert drain(queue, busy, 1.0) == ["short"]
    assert drain(queue, IDLE, 1.0) == ["long"]


def test_overdue_item_without_memory_blocks_others() -> None:
    """Guards against a long prompt that never gets enough free memory."""
    queue = queueing_fair.PriorityFairQueue()
    queue.push(item("long", tokens=400_000))
    queue.push(item("short", enqueued=1000.0))
    queue.push(item("urgent", priority=0, enqueued=1000.0))
    tight = IDLE._replace(kv_tokens_free=100_000)
    assert drain(queue, tight, 1e6) == ["urgent"]
    assert drain(queue, IDLE, 1e6) == ["long", "short"]


@pytest.mark.parametrize("priority", [0, 1, 2])
@pytest.mark.parametrize(
    "capacity",
    [
        IDLE._replace(slots_free=12),
        IDLE._replace(kv_tokens_free=2_000_500),
        IDLE._replace(prefills=1),
    ],
)
def test_team_with_backlog_leaves_headroom(
    capacity: queueing.Capacity, priority: int
) -> None:
    """Guards against a team's backlog that uses all resources.

    Requests of other teams must start at once beside it.
    """
    queue = queueing_fair.PriorityFairQueue()
    for number in range(20):
        queue.push(item(f"f{number}", team="flood", priority=priority))
    assert drain(queue, capacity) == []
    others = [item(f"g{p}", team=f"g{p}", priority=p) for p in (2, 1, 0)]
    for other in others:
        queue.push(other)
    assert drain(queue, capacity) == ["g0", "g1", "g2"]


def test_other_team_starts_long_prompt_beside_one_of_a_backlog() -> None:
    """Guards against a wait for the whole long prefill of another team."""
    queue = queueing_fair.PriorityFairQueue()
    for number in range(20):
        queue.push(item(f"f{number}", team="flood", tokens=LONG))
    queue.push(item("guest", team="guest", tokens=LONG))
    busy = IDLE._replace(prefills=1, long_prefills=1)
    assert drain(queue, busy) == ["guest"]


def test_class_below_its_floor_leaves_no_headroom() -> None:
    """Guards against headroom that keeps a class below its floor.

    The headroom that batch left for urgent requests took away batch's floor.
    """
    queue = queueing_fair.PriorityFairQueue()
    full = IDLE._replace(slots_free=1, kv_tokens_free=50_000)
    served = [0, 0, 0]
    for number in range(3000):
        queue.push(item(f"u{number}", priority=0, team=f"t{number % 10}"))
        queue.push(item(f"b{number}", priority=2))
        popped = queue.pop(full, 0.0)
        if popped is not None:
            served[popped.priority] += queueing_fair.cost_tokens(popped)
    assert served[2] / sum(served) >= 0.05 * 0.95


def test_observed_rate_follows_a_slowed_down_engine() -> None:
    """Guards against reporting a prefill rate that slots or memory prevent."""
    queue = queueing_fair.PriorityFairQueue()
    for number in range(500):
        queue.push(item(f"r{number}", tokens=1000))
    left = 0
    for step in range(400):
        left = max(left - 500, 0)
        capacity = IDLE._replace(
            prefill_tokens_left=left, slots_free=0 if left else 40
        )
        if queue.pop(capacity, step * 0.1) is not None:
            left += 1000
    rate = queue.effective_tokens_per_s(IDLE)
    assert 4_000 <= rate <= 8_000
    assert (
        queueing_fair.PriorityFairQueue().effective_tokens_per_s(IDLE) == 20_000
    )


@pytest.mark.parametrize(
    ("tokens", "output", "limit_s", "expected"),
    [
        (1_000, 100, 5.0, True),
        (1_000, 100, 4.9, False),
        (1_000, 100_000, 13.0, True),
        (200_000, 100, 20.0, False),
    ],
)
def test_item_that_cannot_finish_is_recognised(
    tokens: int, output: int, limit_s: float, expected: bool
) -> None:
    """Guards against prefill of a request that its deadline cuts off."""
    queue = queueing.FifoQueue()
    queued = item("r", tokens=tokens)._replace(
        max_tokens=output, deadline=limit_s
    )
    assert queue.can_meet_deadline(queued, IDLE, 0.0) is expected


@pytest.mark.parametrize(
    ("priority", "tokens", "expected"),
    [(0, 1, 0), (2, 4096, 2), (0, LONG, 3), (2, LONG, 5)],
)
def test_engine_priority_puts_short_requests_first(
    priority: int, tokens: int, expected: int
) -> None:
    """Guards against long prefills first on engines with priorities."""
    queued = item("r", priority=priority, tokens=tokens)
    assert queueing_fair.engine_priority(queued) == expected


def test_expected_wait_of_small_team_ignores_large_backlog() -> None:
    """Guards against refusing a small team for a large team's backlog."""
    queue = queueing_fair.PriorityFairQueue()
    for number in range(500):
        queue.push(item(f"a{number}", team="a", tokens=20_000))
    small = queue.expected_wait_s(item("b", team="b"), IDLE)
    large = queue.expected_wait_s(item("a", team="a"), IDLE)
    assert small < 0.1
    assert large == pytest.approx(500.0)


@hypothesis.given(st.integers(0, 2**32))
def test_every_item_leaves_exactly_once(seed: int) -> None:
    """Guards against lost or duplicate items after push, remove and pop."""
    rng = random.Random(seed)
    queue = queueing_fair.PriorityFairQueue()
    live: dict[str, queueing.QueueItem] = {}
    for step in range(120):
        action = rng.random()
        if action < 0.5:
            pushed = item(
                f"r{rng.randrange(40)}",
                team=f"t{rng.randrange(4)}",
                priority=rng.randrange(3),
                tokens=rng.choice([1, 5000, LONG]),
                enqueued=float(step),
            )
            queue.push(pushed)
            live[pushed.req_id] = pushed
        elif action < 0.7:
            req_id = f"r{rng.randrange(40)}"
            assert queue.remove(req_id) == live.pop(req_id, None)
        else:
            popped = queue.pop(IDLE, float(step))
            assert (popped is None) == (not live)
            if popped is not None:
                assert live.pop(popped.req_id) == popped
        totals = [0, 0, 0]
        for queued in live.values():
            totals[queued.priority] += queued.prompt_tokens
        assert queue.queued_tokens() == totals
        assert len(queue) == len(live)


@pytest.mark.parametrize("slots", [1, 2, 8, 64])
@pytest.mark.parametrize("kv_tokens", [700, 65_536, 490_000])
@pytest.mark.parametrize("items", [1, 7, 8, 40])
def test_backlog_drains_on_an_engine_of_any_size(
    slots: int, kv_tokens: int, items: int
) -> None:
    """Guards against headroom that stops a backlog on a small engine.

    A fixed headroom of 12 slots stalled a backlog permanently.
    """
    queue = queueing_fair.PriorityFairQueue()
    for number in range(items):
        queue.push(item(f"r{number}", tokens=620))
    capacity = queueing.Capacity(
        slots, slots, kv_tokens, kv_tokens, 0, 20_000.0
    )
    # Each request ends before the next pop.
    started = [queue.pop(capacity, 1.0 * number) for number in range(items)]
    later = drain(queue, capacity, 1e6)
    assert len([popped for popped in started if popped]) + len(later) == items
