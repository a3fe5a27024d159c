"""Matrix cells of planned stops and release notes: G5 and G6 at the agent."""

from collections.abc import Callable
from typing import Any, Final

import pytest

from apricottrestle import agent_events, messages
from tests import matrix_table
from tests import test_agent_world as worlds

Cell = matrix_table.Cell

_LONG_REQUEST: Final[dict[str, Any]] = {
    "max_tokens": 4_000,
    "remaining_ms": 300_000,
}
"""Submit fields of a request that runs far longer than the grace period."""


def _drain(world: worlds.World) -> None:
    world.frame(messages.Ping(9, True))


def _freeze(world: worlds.World) -> None:
    world.run(1)
    world.freeze(8)


def _silence(world: worlds.World) -> None:
    """The connection goes silent, and the entry attaches on a new one."""
    world.run(1)
    world.pinging_entries.clear()
    world.run(4)
    world.connect(b"conn-2", "entry-1")
    have = len(world.tokens("r1"))
    world.frame(
        messages.Attach("r1", "t", have, 200_000, 10_000),
        routing_id=b"conn-2",
    )


def _drain_late(world: worlds.World) -> None:
    world.run(5)
    _drain(world)


def _duplicate(world: worlds.World) -> None:
    world.duplicate_frames = True
    _drain(world)


def _reorder(world: worlds.World) -> None:
    world.reverse_frames = True


def _lose_answers(world: worlds.World) -> None:
    world.unanswered_commands.add(agent_events.ExportKv)


def _submit_from_late_entry(world: worlds.World) -> None:
    """An entry whose instance list is late keeps sending work."""
    world.connect(b"conn-9", "entry-9")
    world.frame(worlds.submit("r9"), worlds.body_of("r9"), routing_id=b"conn-9")
    world.frame(messages.Reserve("g9", 160, 10_000), routing_id=b"conn-9")


def _freeze_with_lost_export(world: worlds.World) -> None:
    world.unanswered_commands.add(agent_events.ExportKv)
    world.run(1)
    world.freeze(5)
    _submit_from_late_entry(world)


_INJECT_FAULT: Final[dict[str, Callable[[worlds.World], None]]] = {
    "freeze and thaw": _freeze,
    "silent connection": _silence,
    "message late": _drain_late,
    "message duplicated": _duplicate,
    "messages swapped": _reorder,
    "answer lost after effect": _lose_answers,
    "instance list late or wrong": _submit_from_late_entry,
    "two faults at once": _freeze_with_lost_export,
}


STOP_CELLS: Final = tuple(
    Cell("G5", fault, step, "proved", "test_planned_stop_interrupts_nothing")
    for fault in _INJECT_FAULT
    for step in matrix_table.REQUEST_STEPS
    if step not in {"admit", "dispatch", "clean up"}
)


@pytest.mark.parametrize(
    "cell",
    matrix_table.proved_params(
        STOP_CELLS, "test_planned_stop_interrupts_nothing"
    ),
)
def test_planned_stop_interrupts_nothing(cell: Cell) -> None:
    """Fails when a draining agent starts work or drops an unfinished stream."""
    world = worlds.World().ready()
    worlds.advance_request(world, cell.step, **_LONG_REQUEST)
    if cell.step == "start":
        world.engine.tokens_per_tick = 0
    _drain(world)
    _INJECT_FAULT[cell.fault](world)
    world.tick()
    assert world.tables.drain.active
    before = list(world.engine.started)
    world.frame(messages.Credit("r1", 1, 10_000))
    was_up = not world.exited
    if was_up:
        world.submit("r2")
    world.until(lambda: world.exited, 70)
    assert world.engine.started == before
    refused = {
        msg.req_id: msg.reason for msg in world.messages_of(messages.Refused)
    }
    assert refused.get("r2") == ("draining" if was_up else None)
    endings = [
        msg
        for msg in (
            *world.messages_of(messages.Finished),
            *world.messages_of(messages.Moved),
        )
        if msg.req_id == "r1"
    ]
    assert endings or refused.get("r1") == "draining"
    assert not [
        m for m in world.messages_of(messages.Failed) if m.req_id == "r1"
    ]
    assert world.engine.used_blocks() == 0


def test_drain_hands_over_with_the_engines_cache() -> None:
    """Fails when Moved lacks the KV handle or counts tokens not sent."""
    world = worlds.World().ready()
    worlds.advance_request(world, "mid-stream", **_LONG_REQUEST)
    _drain(world)
    world.until(lambda: world.messages_of(messages.Moved))
    moved = world.messages_of(messages.Moved)[0]
    assert moved.kv == messages.KvHandle("http://127.0.0.1:1", "kv-r1.1")
    assert moved.offset == len(world.tokens("r1"))


def test_drain_waits_for_a_call_beyond_the_grace_period() -> None:
    """Fails when a planned stop interrupts a call to a service."""
    world = worlds.World("service").ready()
    world.service.mode = "hold"
    key = worlds.issue_key(world)
    world.frame(worlds.call("c1", key, remaining_ms=200_000))
    world.until(lambda: world.service.effects)
    _drain(world)
    world.run(60)
    assert not world.exited
    world.inbox.extend(world.service.held_answers)
    world.until(lambda: world.exited)
    assert world.messages_of(messages.CallResult)[0].outcome == "completed"


def test_drain_notifies_the_entry_of_ended_reservations() -> None:
    """Fails when a group detects a draining member only by a lapsed lease."""
    world = worlds.World().ready()
    worlds.reserve(world, "g1")
    _drain(world)
    while not world.exited:
        world.frame(messages.Renew("g1", 10_000))
        world.run(1)
    reasons = [msg.reason for msg in world.messages_of(messages.Reserved)]
    assert "draining" in reasons
    assert world.engine.used_blocks() == 0


class _NoteScenario:
    """An agent whose entry announces revision 6, with version v2."""

    def __init__(self) -> None:
        self.world = worlds.World().ready()
        self.world.run(6)
        self.world.config = worlds.config(6, ("v1", "v2"))
        self.newest_revision = 6
        self.revisions: list[int] = []

    def accept_note(self, revision: int, versions: tuple[str, ...]) -> None:
        """Publishes a newer revision to the entry."""
        self.newest_revision = revision
        self.world.config = worlds.config(revision, versions)

    def run(self, seconds: float) -> None:
        """Runs with an entry that sends pings and answers ConfigRequests."""
        world = self.world
        for _ in range(round(seconds / worlds.TICK_S)):
            asked = bool(world.messages_of(messages.ConfigRequest))
            world.sent.clear()
            world.frame(messages.Ping(1, False), rev=self.newest_revision)
            if asked:
                update = messages.ConfigUpdate("", [])
                world.frame(update, rev=self.newest_revision)
            world.tick()
            self.revisions.append(world.tables.config.revision)


def _at_read(scenario: _NoteScenario) -> None:
    scenario.world.frame(messages.Ping(1, False), rev=6)


def _at_fold(scenario: _NoteScenario) -> None:
    _at_read(scenario)
    scenario.world.tick()
    scenario.world.frame(messages.ConfigUpdate("", []), rev=6)


def _at_order(scenario: _NoteScenario) -> None:
    def ordered() -> bool:
        scenario.run(worlds.TICK_S)
        return any(
            isinstance(cmd, agent_events.SendOrder)
            for cmd in scenario.world.commands
        )

    while not ordered():
        assert scenario.world.now < 1100


def _at_confirm(scenario: _NoteScenario) -> None:
    _at_order(scenario)
    scenario.run(0.2)


_ADVANCE_NOTE_TO_STEP: Final[dict[str, Callable[[_NoteScenario], None]]] = {
    "read": _at_read,
    "fold": _at_fold,
    "order": _at_order,
    "confirm": _at_confirm,
}


def _kill_agent(scenario: _NoteScenario) -> None:
    old = scenario.world
    scenario.world = worlds.World(
        engine=old.engine, incarnation="inc2", now=old.now + 1
    )
    scenario.world.config = old.config
    scenario.world.ready()
    scenario.revisions.clear()


def _freeze_notes(scenario: _NoteScenario) -> None:
    """While the agent is frozen, its successor orders a newer note."""
    scenario.accept_note(9, ("v3",))
    scenario.world.freeze(60)
    scenario.world.engine.order(
        agent_events.SendOrder(9, "m", ["v3"], [], "mixed")
    )


def _receive_old_note(scenario: _NoteScenario) -> None:
    scenario.run(3)
    old = agent_events.ConfigChanged(worlds.config(5), 0)
    scenario.world.inbox.append(old)


def _duplicate_notes(scenario: _NoteScenario) -> None:
    scenario.world.duplicate_frames = True


def _reorder_notes(scenario: _NoteScenario) -> None:
    """An older state arrives after the newer one."""
    scenario.world.reverse_frames = True
    newer = agent_events.ConfigChanged(scenario.world.config, 0)
    older = agent_events.ConfigChanged(worlds.config(5), 0)
    scenario.world.inbox += [newer, older]


def _lose_order_answer(scenario: _NoteScenario) -> None:
    scenario.world.unanswered_commands.add(agent_events.SendOrder)


def _log_down(scenario: _NoteScenario) -> None:
    scenario.world.release_stream_down = True


def _ignore_fence(scenario: _NoteScenario) -> None:
    """An engine that ignores fencing numbers applies an old order."""
    scenario.run(4)
    engine = scenario.world.engine
    engine.ignores_fence = True
    engine.order(agent_events.SendOrder(2, "m", ["v0"], [], "mixed"))


def _frozen_and_log_down(scenario: _NoteScenario) -> None:
    scenario.world.release_stream_down = True
    scenario.world.engine.ignores_fence = True
    _freeze_notes(scenario)


_INJECT_NOTE_FAULT: Final[dict[str, Callable[[_NoteScenario], None]]] = {
    "kill": _kill_agent,
    "freeze and thaw": _freeze_notes,
    "message late": _receive_old_note,
    "message duplicated": _duplicate_notes,
    "messages swapped": _reorder_notes,
    "answer lost after effect": _lose_order_answer,
    "log down or slow": _log_down,
    "fencing ignored": _ignore_fence,
    "two faults at once": _frozen_and_log_down,
}


CELLS: Final = STOP_CELLS + tuple(
    Cell("G6", fault, step, "proved", "test_engine_gets_the_newest_note")
    for fault in _INJECT_NOTE_FAULT
    for step in _ADVANCE_NOTE_TO_STEP
)


@pytest.mark.parametrize(
    "cell",
    matrix_table.proved_params(CELLS, "test_engine_gets_the_newest_note"),
)
def test_engine_gets_the_newest_note(cell: Cell) -> None:
    """Fails on an old order after a fault, or a note not applied in time.

    The limit of 7 s covers a read-back every 5 s, the order, and 1 s in which
    a paused agent may still handle old frames.
    """
    scenario = _NoteScenario()
    _ADVANCE_NOTE_TO_STEP[cell.step](scenario)
    _INJECT_NOTE_FAULT[cell.fault](scenario)
    engine = scenario.world.engine
    ordered = len(engine.orders)
    scenario.run(7)
    assert engine.config.versions == sorted(
        row.version for row in scenario.world.config.versions.values()
    )
    assert scenario.revisions == sorted(scenario.revisions)
    assert all(
        order.fence >= scenario.newest_revision
        for order in engine.orders[ordered:]
    )


def test_paused_agent_sends_no_order_before_it_caught_up() -> None:
    """Fails when old frames or a peer that is behind end the catch-up."""
    scenario = _NoteScenario()
    world = scenario.world
    world.release_stream_down = True
    world.freeze(60)
    world.engine.config = agent_events.EngineConfig("m", ["v9"], [], "mixed")
    world.engine.orders.clear()
    # An answer from before the pause, and an entry that is behind.
    world.frame(messages.ConfigUpdate("", []), rev=5)
    for _ in range(100):
        world.frame(messages.ConfigUpdate("", []), rev=4)
        world.tick()
    assert world.engine.orders == []
    world.frame(messages.ConfigUpdate("", []), rev=6)
    world.run(7)
    assert world.engine.orders[-1].versions == ["v1", "v2"]


def test_withdrawn_version_serves_its_running_requests_only() -> None:
    """Fails when a withdrawal breaks a stream or a new one is accepted."""
    world = worlds.World().ready()
    world.engine.tokens_per_tick = 1
    world.submit(max_tokens=120, remaining_ms=60_000)
    world.until(lambda: len(world.tokens("r1")) > 4)
    world.config = worlds.config(7, ("v2",))
    world.inbox.append(agent_events.ConfigChanged(world.config, 0))
    world.run(2)
    assert world.engine.config.versions == ["v1", "v2"]
    world.submit("r2")
    world.until(lambda: world.messages_of(messages.Finished))
    assert world.messages_of(messages.Refused)[0].reason == "version_not_served"
    world.run(6)
    assert world.engine.config.versions == ["v2"]


def test_model_load_waits_for_a_permit() -> None:
    """Fails when a load is ordered without a permit, or retried too early."""
    world = worlds.World().ready()
    world.unanswered_commands.add(agent_events.RequestPermit)
    world.config = worlds.config(7, ("v2",))
    world.inbox.append(agent_events.ConfigChanged(world.config, 0))
    world.run(2)
    assert world.engine.orders == []
    world.inbox.append(agent_events.PermitAnswer("m", "v2", 4.0))
    asked_from = world.now
    while not any(
        isinstance(cmd, agent_events.RequestPermit) for cmd in world.commands
    ):
        world.tick()
    assert 4.0 <= world.now - asked_from <= 10.0
    world.inbox.append(agent_events.PermitAnswer("m", "v2", 0.0))
    world.run(1)
    assert world.engine.config.versions == ["v2"]
