"""Guards the order in which an agent starts requests."""

import random

import hypothesis
import pytest
from hypothesis import strategies as st

from apricottrestle import queueing, queueing_fair

IDLE = queueing.Capacity(64, 10_000_000, 0, 20_000.0)
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
    """Pops until nothing fits and returns the request ids."""
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
def test_class_keeps_floor_in_urgent_flood(index: int, floor: float) -> None:
    """Guards against starvation of a class while urgent work never ends."""
    queue = queueing_fair.PriorityFairQueue()
    for number in range(2000):
        queue.push(item(f"u{number}", priority=0))
        queue.push(item(f"l{number}", priority=index))
    started = [queue.pop(IDLE, 0.0) for _ in range(1500)]
    low = sum(1 for one in started if one and one.priority == index)
    assert low / 1500 == pytest.approx(floor, rel=0.05)


@pytest.mark.parametrize("weights", [(1.0, 1.0), (1.0, 3.0), (4.0, 1.0)])
def test_teams_share_tokens_by_weight(weights: tuple[float, float]) -> None:
    """Guards against a team that gains by asking more, or larger prompts."""
    queue = queueing_fair.PriorityFairQueue()
    for number in range(1000):
        queue.push(item(f"a{number}", team="a", weight=weights[0], tokens=900))
        queue.push(item(f"b{number}", team="b", weight=weights[1], tokens=3900))
    served = {"a": 0, "b": 0}
    for _ in range(400):
        one = queue.pop(IDLE, 0.0)
        assert one is not None
        served[one.team] += queueing_fair.cost_tokens(one)
    assert served["a"] / served["b"] == pytest.approx(
        weights[0] / weights[1], rel=0.05
    )


def test_team_that_queues_one_at_a_time_gets_no_more_than_its_share() -> None:
    """Guards against a share that is forgotten when a team's queue empties."""
    queue = queueing_fair.PriorityFairQueue()
    for number in range(1000):
        queue.push(item(f"a{number}", team="a"))
    served = {"a": 0, "b": 0}
    for _ in range(400):
        queue.push(item("b", team="b", tokens=4300))
        one = queue.pop(IDLE, 0.0)
        assert one is not None
        served[one.team] += queueing_fair.cost_tokens(one)
    assert served["a"] == pytest.approx(served["b"], rel=0.05)


def test_short_passes_long_that_waits_for_its_place() -> None:
    """Guards against short requests behind a long prefill."""
    queue = queueing_fair.PriorityFairQueue()
    queue.push(item("long", tokens=LONG))
    queue.push(item("short", enqueued=1.0))
    busy = IDLE._replace(prefills=1, long_prefills=1)
    assert drain(queue, busy, 1.0) == ["short"]
    assert drain(queue, IDLE, 1.0) == ["long"]


def test_overdue_item_without_memory_holds_back_others() -> None:
    """Guards against a long prompt that never finds its memory free."""
    queue = queueing_fair.PriorityFairQueue()
    queue.push(item("long", tokens=400_000))
    queue.push(item("short", enqueued=1000.0))
    queue.push(item("urgent", priority=0, enqueued=1000.0))
    tight = IDLE._replace(kv_tokens_free=100_000)
    assert drain(queue, tight, 1e6) == ["urgent"]
    assert drain(queue, IDLE, 1e6) == ["long", "short"]


def test_less_urgent_classes_leave_headroom() -> None:
    """Guards the free places that urgent arrivals need during a flood."""
    queue = queueing_fair.PriorityFairQueue()
    for priority in (0, 1, 2):
        queue.push(item(f"p{priority}", priority=priority))
    assert drain(queue, IDLE._replace(slots_free=1)) == ["p0"]
    assert drain(queue, IDLE._replace(slots_free=3)) == ["p1"]
    assert drain(queue, IDLE._replace(slots_free=5)) == ["p2"]


def test_expected_wait_of_small_team_ignores_large_backlog() -> None:
    """Guards against refusing a small caller for a large one's backlog."""
    queue = queueing_fair.PriorityFairQueue()
    for number in range(500):
        queue.push(item(f"a{number}", team="a", tokens=20_000))
    small = queue.expected_wait_s(item("b", team="b"), IDLE)
    large = queue.expected_wait_s(item("a", team="a"), IDLE)
    assert small < 0.1
    assert large == pytest.approx(500.0)


@hypothesis.given(st.integers(0, 2**32))
def test_every_item_leaves_exactly_once(seed: int) -> None:
    """Guards the bookkeeping across push, replace, remove and pop."""
    rng = random.Random(seed)
    queue = queueing_fair.PriorityFairQueue()
    live: dict[str, queueing.QueueItem] = {}
    for step in range(120):
        action = rng.random()
        if action < 0.5:
            one = item(
                f"r{rng.randrange(40)}",
                team=f"t{rng.randrange(4)}",
                priority=rng.randrange(3),
                tokens=rng.choice([1, 5000, LONG]),
                enqueued=float(step),
            )
            queue.push(one)
            live[one.req_id] = one
        elif action < 0.7:
            req_id = f"r{rng.randrange(40)}"
            assert queue.remove(req_id) == live.pop(req_id, None)
        else:
            popped = queue.pop(IDLE, float(step))
            assert (popped is None) == (not live)
            if popped is not None:
                assert live.pop(popped.req_id) == popped
        totals = [0, 0, 0]
        for one in live.values():
            totals[one.priority] += one.prompt_tokens
        assert queue.queued_tokens() == totals
        assert len(queue) == len(live)
