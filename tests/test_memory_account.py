"""Tests of the account of a process's memory, with times passed in."""

import pytest

from apricottrestle import memory_account

SIZE = 1_000_000
LIMITS = memory_account.Limits(SIZE, 4)
LARGE = memory_account.SMALL_BYTES + 1
UNREAD_S = memory_account.UNREAD_S


def _account() -> memory_account.MemoryAccount:
    return memory_account.MemoryAccount(LIMITS)


def _holder(
    account: memory_account.MemoryAccount,
    count: int,
    phase: memory_account.Phase,
    now: float,
) -> memory_account.Holder:
    holder = memory_account.Holder(is_connection=True)
    account.hold(holder, count, phase, now)
    return holder


@pytest.mark.parametrize(
    ("memory_mb", "max_fds", "held_bytes", "connections"),
    [
        (128.0, 2_000, 25_100_000, 1_272),
        (200.0, 20_000, 57_500_000, 4_679),
        (512.0, 20_000, 197_900_000, 16_105),
        (10.0, 100, memory_account.MIN_BYTES, 25),
    ],
    ids=["small", "least machine", "default", "less than at rest"],
)
def test_limits_follow_from_the_settings(
    memory_mb: float, max_fds: int, held_bytes: int, connections: int
) -> None:
    """Guards against an account that is larger than its machine."""
    limits = memory_account.compute_limits(memory_mb, max_fds)
    assert limits == memory_account.Limits(held_bytes, connections)


@pytest.mark.parametrize(
    ("transfers", "held_bytes", "connections"),
    [
        (0, 57_500_000, 1_272),
        (256, 57_500_000, 1_272),
        (257, 57_467_232, 1_271),
        (1_000, 33_120_608, 528),
        (5_000, memory_account.MIN_BYTES, 1),
    ],
)
def test_many_transfers_leave_less_to_callers(
    transfers: int, held_bytes: int, connections: int
) -> None:
    """Guards against a burst that takes a process over its memory."""
    account = memory_account.MemoryAccount(
        memory_account.Limits(57_500_000, 1_272)
    )
    account.set_transfers(transfers)
    assert account.max_held_bytes == held_bytes
    assert account.max_connections == connections
    holder = _holder(account, held_bytes, "incomplete", 0.0)
    _holder(account, 0, "complete", 0.0)
    assert not account.has_room(holder, 1, 1)
    account.set_transfers(0)
    assert account.max_held_bytes == 57_500_000


def test_bytes_follow_each_holder() -> None:
    """Guards against bytes that stay counted, or that are never counted."""
    account = _account()
    first = _holder(account, 100, "incomplete", 0.0)
    second = _holder(account, 10, "idle", 0.0)
    account.hold(first, 250, "complete", 1.0)
    assert account.held_bytes == 260
    assert account.connections == 2
    assert account.bytes_by_phase == {
        "idle": 10,
        "incomplete": 0,
        "complete": 250,
        "unread": 0,
    }
    for holder in (first, second, second):
        account.release(holder, 2.0)
    assert account.held_bytes == 0
    assert account.connections == 0
    assert set(account.bytes_by_phase.values()) == {0}


def test_victims_come_in_the_order_of_what_they_cost() -> None:
    """Guards against a request that is refused in place of a cheaper one."""
    account = _account()
    served = _holder(account, 10, "complete", 0.0)
    idle = _holder(account, 10, "idle", 0.0)
    silent = [_holder(account, 10, "incomplete", at) for at in (1.0, 2.0)]
    # Activity counts, not the time at which a request began to arrive.
    account.hold(silent[0], 20, "incomplete", 2.2)
    unread = _holder(account, 10, "unread", 2.5)
    now = 2.5 + UNREAD_S
    active = [_holder(account, 10, "incomplete", now - 0.1 / n) for n in (1, 2)]
    newcomer = _holder(account, 10, "incomplete", now)
    order = []
    while (victim := account.choose_victim(newcomer, now)) is not None:
        order.append(victim)
        account.release(victim, now)
    assert order == [silent[1], silent[0], unread, *active]
    assert {served.phase, idle.phase} == {"complete", "idle"}


def test_answer_is_not_cut_off_while_its_caller_reads() -> None:
    """Guards against answers that break off because their callers are slow."""
    account = _account()
    newcomer = _holder(account, 10, "incomplete", 0.0)
    unread = _holder(account, 100, "unread", 0.0)
    account.hold(unread, 90, "unread", UNREAD_S)
    assert account.choose_victim(newcomer, UNREAD_S + 1.0) is None
    assert account.choose_victim(newcomer, 2 * UNREAD_S) is unread


@pytest.mark.parametrize(
    ("held", "total", "has_room"),
    [
        (SIZE - 2, 100, True),
        (SIZE, 100, False),
        (int(SIZE * memory_account.LARGE_SHARE) - 2, LARGE, True),
        (int(SIZE * memory_account.LARGE_SHARE), LARGE, False),
    ],
)
def test_large_requests_leave_room_for_small_ones(
    held: int, total: int, has_room: bool
) -> None:
    """Guards against large requests that keep out all others."""
    account = _account()
    _holder(account, held, "complete", 0.0)
    newcomer = memory_account.Holder(is_connection=True)
    account.hold(newcomer, 0, "incomplete", 0.0)
    assert account.has_room(newcomer, 1, total) == has_room


def test_only_request_has_room_in_any_account() -> None:
    """Guards against an account in which no legal request fits."""
    account = _account()
    _holder(account, 100, "idle", 0.0)
    only = _holder(account, 5 * SIZE, "incomplete", 0.0)
    assert account.has_room(only, 1, 6 * SIZE)
    account.hold(only, 5 * SIZE, "complete", 0.0)
    answer = memory_account.Holder(is_connection=False)
    assert account.grow_answer(answer, 3 * SIZE, lambda: None, 1.0)
    assert account.connections == 2


def test_idle_connection_is_closed_for_a_new_one() -> None:
    """Guards against a request that ends for an idle connection's sake.

    An idle connection on which something has arrived isn't idle any more.
    """
    account = _account()
    arriving, quiet = (_holder(account, 1, "idle", at) for at in (0.0, 1.0))
    part = _holder(account, 1, "incomplete", 0.5)
    _holder(account, 1, "complete", 0.0)
    order = []
    while (
        victim := account.choose_connection(
            lambda holder: holder is not arriving, 9.0
        )
    ) is not None:
        order.append(victim)
        account.release(victim, 9.0)
    assert order == [quiet, part]


def test_answers_get_room_in_their_order() -> None:
    """Guards against an answer that waits for ever, or passes another one."""
    account = _account()
    holders = [
        _holder(account, SIZE // 2 - 100, "complete", 0.0) for _ in range(2)
    ]
    served: list[str] = []
    answers = {
        name: memory_account.Holder(is_connection=False) for name in "abc"
    }
    for name, count in (("a", SIZE // 2), ("b", LARGE), ("c", 100)):
        at_once = account.grow_answer(
            answers[name],
            count,
            lambda name=name: served.append(name),  # type: ignore[misc]
            1.0,
        )
        # A small one needn't wait behind large ones.
        assert at_once == (name == "c")
    account.grow_answer(answers["a"], SIZE // 2 + 1, lambda: None, 1.0)
    assert account.held_bytes <= SIZE
    account.release(holders[0], 2.0)
    assert served == []
    account.release(answers["a"], 2.0)
    assert served == ["b"]
    assert not account.has_waiting


def test_waiting_answer_that_ends_lets_others_go_on() -> None:
    """Guards against an answer that is given up, but still waited for."""
    account = _account()
    _holder(account, SIZE // 2, "complete", 0.0)
    _holder(account, 100, "complete", 0.0)
    served: list[str] = []
    first = memory_account.Holder(is_connection=False)
    second = memory_account.Holder(is_connection=False)
    account.grow_answer(first, 100, lambda: None, 1.0)
    assert not account.grow_answer(
        first, SIZE, lambda: served.append("first"), 1.0
    )
    assert not account.grow_answer(
        second, SIZE // 4, lambda: served.append("second"), 1.0
    )
    account.release(first, 2.0)
    assert served == ["second"]
