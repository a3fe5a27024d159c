"""Matrix cells of generations and group leases: G1 and G2 at the agent.

Each cell advances a request and a group reservation to a step, injects the
fault and runs the agent on. The checks use the ledger of the fake engine, which
expires no allocation by itself.
"""

from collections.abc import Callable
from typing import Final

import pytest

from apricottrestle import agent_events, messages
from tests import matrix_table
from tests import test_agent_world as worlds

Cell = matrix_table.Cell

TIME_LIMIT_S: Final = 30.0
GROUP_ID: Final = "g1"
STEPS: Final = tuple(
    step for step in matrix_table.REQUEST_STEPS if step != "admit"
)
FINAL_MESSAGES: Final = (messages.Finished, messages.Failed, messages.Refused)


def _kill(world: worlds.World) -> None:
    world.inbox.extend(world.engine.crash())


def _freeze(world: worlds.World) -> None:
    world.freeze(TIME_LIMIT_S + 20)


def _silence(world: worlds.World) -> None:
    world.pinging_entries.clear()


def _resend_late(world: worlds.World) -> None:
    """Copies of the messages arrive after the time limit."""
    world.run(TIME_LIMIT_S + 5)
    world.submit()
    world.frame(messages.Reserve(GROUP_ID, 1600, 10_000))
    world.frame(messages.Renew(GROUP_ID, 10_000))


def _duplicate(world: worlds.World) -> None:
    world.duplicate_frames = True
    world.submit()
    world.frame(messages.Reserve(GROUP_ID, 1600, 10_000))
    world.frame(messages.Release(GROUP_ID))


def _reorder(world: worlds.World) -> None:
    world.reverse_frames = True
    world.frame(messages.Reserve("g2", 1600, 10_000))
    world.frame(messages.Release("g2"))
    world.frame(messages.Renew(GROUP_ID, 10_000))
    world.frame(messages.Cancel("r2", 1, "swapped"))
    world.submit("r2")


def _lose_answers(world: worlds.World) -> None:
    """Cancels and frees are lost once, and new reserves get no answer."""
    world.unanswered_commands |= {agent_events.Allocate}
    world.dropped_commands |= {
        agent_events.CancelRun,
        agent_events.FreeAllocation,
    }
    world.frame(messages.Reserve("g2", 1600, 10_000))
    world.frame(messages.Cancel("r1", 1, "caller gone"))
    world.run(2)
    world.dropped_commands.clear()


def _late_reports(world: worlds.World) -> None:
    world.dropped_commands |= {agent_events.PollLoad}


def _freeze_and_engine_crash(world: worlds.World) -> None:
    """The engine crashes while the agent is frozen."""
    world.dropped_commands |= {
        agent_events.CancelRun,
        agent_events.FreeAllocation,
    }
    world.freeze(20)
    world.tick()
    world.dropped_commands.clear()
    world.inbox.extend(world.engine.crash())
    world.pinging_entries.clear()


def _log_down(world: worlds.World) -> None:
    """The agent pauses and can't catch up, because the log is down."""
    world.release_stream_down = True
    world.freeze(5.0)


def _reassign_model_twice(world: worlds.World) -> None:
    """A wrong instance list makes placement assign another model for 2 s."""
    world.inbox.append(agent_events.ModelAssigned("other"))
    world.run(2.0)
    world.inbox.append(agent_events.ModelAssigned("m"))


def _cache_gap(world: worlds.World) -> None:
    event = agent_events.CacheEvent(40, [7, 8], [1])
    world.engine.cache = agent_events.CacheEvents(40, False, [event])


_INJECT_FAULT: Final[dict[str, Callable[[worlds.World], None]]] = {
    "kill": _kill,
    "freeze and thaw": _freeze,
    "silent connection": _silence,
    "message late": _resend_late,
    "message duplicated": _duplicate,
    "messages swapped": _reorder,
    "answer lost after effect": _lose_answers,
    "load reports late": _late_reports,
    "log down or slow": _log_down,
    "instance list late or wrong": _reassign_model_twice,
    "cache events with gaps": _cache_gap,
    "two faults at once": _freeze_and_engine_crash,
}


CELLS = tuple(
    Cell(guarantee, fault, step, "proved", function)
    for guarantee, function in (
        ("G1", "test_request_ends_in_time"),
        ("G2", "test_engine_memory_comes_back"),
    )
    for fault in _INJECT_FAULT
    for step in STEPS
)
CELLS += tuple(
    Cell("G2", fault, "admit", "impossible", "admission allocates nothing")
    for fault in matrix_table.FAULTS
)
CELLS += tuple(
    Cell(
        "G2",
        "log records past retention",
        step,
        "impossible",
        "leases are kept in the agent's memory only, not on the log",
    )
    for step in STEPS
)


def _run_cell(cell: Cell) -> tuple[worlds.World, float]:
    """Runs a cell up to its fault; returns the world and the submit time."""
    world = worlds.World().ready()
    worlds.reserve(world, GROUP_ID)
    submitted = world.now
    worlds.advance_request(world, cell.step)
    if cell.step == "clean up":
        world.frame(messages.Cancel("r1", 1, "done"))
        world.frame(messages.Release(GROUP_ID))
        world.tick()
    _INJECT_FAULT[cell.fault](world)
    return world, submitted


@pytest.mark.parametrize(
    "cell", matrix_table.proved_params(CELLS, "test_request_ends_in_time")
)
def test_request_ends_in_time(cell: Cell) -> None:
    """Fails when a request exceeds its time limit or its entry gets no end.

    A frozen agent acts at its first step after the thaw, hence the tick.
    """
    world, submitted = _run_cell(cell)
    world.tick()
    world.until(lambda: world.now > submitted + TIME_LIMIT_S + 1.0, 120)
    assert "r1" not in world.tables.runs.values()
    row = world.tables.streams.get("r1")
    assert row is None or row.finished_sent
    endings = [
        sent
        for sent in world.sent
        if isinstance(sent.msg, FINAL_MESSAGES) and sent.msg.req_id == "r1"
    ]
    if cell.step != "clean up" and cell.fault != "answer lost after effect":
        assert endings, "the entry got no final message"
    world.run(40)
    assert not world.tables.streams
    assert world.engine.started.count("r1.1") <= 1


@pytest.mark.parametrize(
    "cell", matrix_table.proved_params(CELLS, "test_engine_memory_comes_back")
)
def test_engine_memory_comes_back(cell: Cell) -> None:
    """Fails when an allocation stays in the engine without an owner."""
    world, _ = _run_cell(cell)
    world.run(90)
    assert world.engine.used_blocks() == 0
    assert not world.tables.leases
    assert not world.tables.engine.orphans_since


@pytest.mark.parametrize("step", STEPS)
def test_restarted_agent_frees_memory_of_its_predecessor(step: str) -> None:
    """Fails when memory of a previous incarnation stays allocated."""
    world = worlds.World().ready()
    worlds.reserve(world, GROUP_ID)
    worlds.advance_request(world, step)
    world.engine.tokens_per_tick = 0
    after = worlds.World(
        engine=world.engine, incarnation="inc2", now=world.now + 3
    )
    after.run(30)
    assert world.engine.used_blocks() == 0


def test_renew_after_a_freeze_does_not_revive_a_lapsed_lease() -> None:
    """Fails when old frames are handled before lapsed leases are removed."""
    world = worlds.World().ready()
    worlds.reserve(world, GROUP_ID)
    world.frame(messages.Renew(GROUP_ID, 10_000))
    world.freeze(60)
    world.tick()
    assert world.messages_of(messages.Reserved)[-1].reason == "lapsed"
    assert world.engine.used_blocks() == 0


def test_allocation_confirmed_after_its_release_is_freed_at_once() -> None:
    """Fails when a late allocation is freed only by reconciliation."""
    world = worlds.World().ready()
    world.dropped_commands |= {agent_events.FreeAllocation}
    world.unanswered_commands |= {agent_events.Allocate}
    world.frame(messages.Reserve(GROUP_ID, 1600, 10_000))
    world.tick()
    world.frame(messages.Release(GROUP_ID))
    world.tick()
    assert world.engine.used_blocks() > 0
    world.dropped_commands.clear()
    name = next(iter(world.engine.blocks))
    world.inbox.append(agent_events.AllocationAnswer(name, True, ""))
    world.tick()
    assert world.engine.used_blocks() == 0


def test_submit_that_waited_through_a_freeze_is_not_run() -> None:
    """Fails when the time limit of a delayed frame starts at its handling."""
    world = worlds.World().ready()
    world.submit()
    world.freeze(60)
    world.run(5)
    assert world.engine.started == []
    assert world.messages_of(messages.Refused)[0].reason == "deadline"


def test_lapsed_group_lease_ends_the_leaders_run() -> None:
    """Fails when a group keeps running without one of its leases."""
    world = worlds.World().ready()
    reserved = worlds.reserve(world, GROUP_ID)
    member = messages.GroupMember(
        "agent-1", reserved.engine_url, reserved.allocation
    )
    world.engine.tokens_per_tick = 0
    world.submit(group=[member])
    world.until(lambda: world.engine.started)
    world.run(12)
    assert world.messages_of(messages.Failed)[0].reason == "group_lease_lapsed"
    assert world.engine.used_blocks() == 0
