"""Guards the order in which an agent starts requests."""

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
    """Guards the places that other arrivals need during a team's flood."""
    queue = queueing_fair.PriorityFairQueue()
    for number in range(20):
        queue.push(item(f"f{number}", team="flood", priority=priority))
    assert drain(queue, capacity) == []
    guests = [item(f"g{p}", team=f"g{p}", priority=p) for p in (2, 1, 0)]
    for guest in guests:
        queue.push(guest)
    assert drain(queue, capacity) == ["g0", "g1", "g2"]


def test_guest_starts_long_prompt_beside_that_of_a_flood() -> None:
    """Guards against a wait of a whole long prefill that a flood started."""
    queue = queueing_fair.PriorityFairQueue()
    for number in range(20):
        queue.push(item(f"f{number}", team="flood", tokens=LONG))
    queue.push(item("guest", team="guest", tokens=LONG))
    busy = IDLE._replace(prefills=1, long_prefills=1)
    assert drain(queue, busy) == ["guest"]


def test_class_below_its_floor_leaves_no_headroom() -> None:
    """Guards the floor of batch: headroom for urgent took it away once."""
    queue = queueing_fair.PriorityFairQueue()
    full = IDLE._replace(slots_free=1, kv_tokens_free=50_000)
    served = [0, 0, 0]
    for number in range(3000):
        queue.push(item(f"u{number}", priority=0, team=f"t{number % 10}"))
        queue.push(item(f"b{number}", priority=2))
        one = queue.pop(full, 0.0)
        if one is not None:
            served[one.priority] += queueing_fair.cost_tokens(one)
    assert served[2] / sum(served) >= 0.05 * 0.95


def test_observed_rate_follows_an_engine_that_is_held_up() -> None:
    """Guards admission against a prefill rate that memory doesn't allow."""
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
    """Guards against prefill spent on a request that ends at its deadline."""
    queue = queueing.FifoQueue()
    one = item("r", tokens=tokens)._replace(max_tokens=output, deadline=limit_s)
    assert queue.can_meet_deadline(one, IDLE, 0.0) is expected


@pytest.mark.parametrize(
    ("priority", "tokens", "expected"),
    [(0, 1, 0), (2, 4096, 2), (0, LONG, 3), (2, LONG, 5)],
)
def test_engine_runs_short_requests_first(
    priority: int, tokens: int, expected: int
) -> None:
    """Guards short requests on engines that schedule by priority."""
    one = item("r", priority=priority, tokens=tokens)
    assert queueing_fair.engine_priority(one) == expected


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


@pytest.mark.parametrize("slots", [1, 2, 8, 64])
@pytest.mark.parametrize("kv_tokens", [700, 65_536, 490_000])
@pytest.mark.parametrize("items", [1, 7, 8, 40])
def test_backlog_drains_on_an_engine_of_any_size(
    slots: int, kv_tokens: int, items: int
) -> None:
    """A fixed headroom of 12 slots once stalled a backlog for good."""
    queue = queueing_fair.PriorityFairQueue()
    for number in range(items):
        queue.push(item(f"r{number}", tokens=620))
    capacity = queueing.Capacity(
        slots, slots, kv_tokens, kv_tokens, 0, 20_000.0
    )
    # Each request ends before the next is asked for.
    started = [queue.pop(capacity, 1.0 * number) for number in range(items)]
    later = drain(queue, capacity, 1e6)
    assert len([one for one in started if one]) + len(later) == items
