"""Matrix cells of planned stops and release notes: G5 and G6 at the agent."""

from collections.abc import Callable
from typing import Any, Final

import pytest

from apricottrestle import agent_events, messages
from tests import matrix_table
from tests import test_agent_world as worlds

Cell = matrix_table.Cell

_LONG: Final[dict[str, Any]] = {"max_tokens": 4_000, "remaining_ms": 300_000}
"""Such a request runs far longer than the grace period."""


def _drain(world: worlds.World) -> None:
    world.frame(messages.Ping(9, True))


def _freeze(world: worlds.World) -> None:
    world.run(1)
    world.freeze(8)


def _silence(world: worlds.World) -> None:
    """The connection goes silent, and the entry attaches on another."""
    world.run(1)
    world.pinging.clear()
    world.run(4)
    world.connect(b"conn-2", "entry-1")
    have = len(world.tokens("r1"))
    world.frame(
        messages.Attach("r1", "t", have, 200_000, 10_000),
        routing_id=b"conn-2",
    )


def _late(world: worlds.World) -> None:
    world.run(5)
    _drain(world)


def _duplicate(world: worlds.World) -> None:
    world.duplicate = True
    _drain(world)


def _swap(world: worlds.World) -> None:
    world.swap = True


def _lose_answers(world: worlds.World) -> None:
    world.mute.add(agent_events.ExportKv)


def _wrong_list(world: worlds.World) -> None:
    """Entries whose list is late go on sending work."""
    world.connect(b"conn-9", "entry-9")
    world.frame(worlds.submit("r9"), worlds.body_of("r9"), routing_id=b"conn-9")
    world.frame(messages.Reserve("g9", 160, 10_000), routing_id=b"conn-9")


def _two(world: worlds.World) -> None:
    world.mute.add(agent_events.ExportKv)
    world.run(1)
    world.freeze(5)
    _wrong_list(world)


_INJECT: Final[dict[str, Callable[[worlds.World], None]]] = {
    "freeze and thaw": _freeze,
    "silent connection": _silence,
    "message late": _late,
    "message duplicated": _duplicate,
    "messages swapped": _swap,
    "answer lost after effect": _lose_answers,
    "instance list late or wrong": _wrong_list,
    "two faults at once": _two,
}


STOP_CELLS: Final = tuple(
    Cell("G5", fault, step, "proved", "test_planned_stop_cuts_nothing")
    for fault in _INJECT
    for step in matrix_table.REQUEST_STEPS
    if step not in {"admit", "dispatch", "clean up"}
)


@pytest.mark.parametrize(
    "cell",
    matrix_table.proved_params(STOP_CELLS, "test_planned_stop_cuts_nothing"),
)
def test_planned_stop_cuts_nothing(cell: Cell) -> None:
    """Fails on new work after the drain began, or an end without hand-over."""
    world = worlds.World().ready()
    worlds.reach(world, cell.step, **_LONG)
    if cell.step == "start":
        world.engine.tokens_per_tick = 0
    _drain(world)
    _INJECT[cell.fault](world)
    world.tick()
    assert world.tables.drain.active
    before = list(world.engine.started)
    world.frame(messages.Credit("r1", 1, 10_000))
    was_up = not world.exited
    if was_up:
        world.submit("r2")
    world.until(lambda: world.exited, 70)
    assert world.engine.started == before
    refused = {msg.req_id: msg.reason for msg in world.of(messages.Refused)}
    assert refused.get("r2") == ("draining" if was_up else None)
    kept = [
        msg
        for msg in (*world.of(messages.Finished), *world.of(messages.Moved))
        if msg.req_id == "r1"
    ]
    assert kept or refused.get("r1") == "draining"
    assert not [m for m in world.of(messages.Failed) if m.req_id == "r1"]
    assert world.engine.held() == 0


def test_drain_hands_over_with_the_engines_cache() -> None:
    """Fails when Moved lacks the handle, or names tokens not sent."""
    world = worlds.World().ready()
    worlds.reach(world, "mid-stream", **_LONG)
    _drain(world)
    world.until(lambda: world.of(messages.Moved))
    moved = world.of(messages.Moved)[0]
    assert moved.kv == messages.KvHandle("http://127.0.0.1:1", "kv-r1.1")
    assert moved.offset == len(world.tokens("r1"))


def test_drain_waits_for_a_call_beyond_the_grace_period() -> None:
    """Fails when a planned stop cuts a call to a service."""
    world = worlds.World("service").ready()
    world.service.mode = "hold"
    key = worlds.issue_key(world)
    world.frame(worlds.call("c1", key, remaining_ms=200_000))
    world.until(lambda: world.service.effects)
    _drain(world)
    world.run(60)
    assert not world.exited
    world.inbox.extend(world.service.held)
    world.until(lambda: world.exited)
    assert world.of(messages.CallResult)[0].outcome == "completed"


def test_drain_ends_reservations_with_a_word_to_the_entry() -> None:
    """Fails when a group learns of a leaving member by its lapse only."""
    world = worlds.World().ready()
    worlds.reserve(world, "g1")
    _drain(world)
    while not world.exited:
        world.frame(messages.Renew("g1", 10_000))
        world.run(1)
    reasons = [msg.reason for msg in world.of(messages.Reserved)]
    assert "draining" in reasons
    assert world.engine.held() == 0


class _Notes:
    """An agent whose entry announces revision 6, with version v2."""

    def __init__(self) -> None:
        self.world = worlds.World().ready()
        self.world.run(6)
        self.world.config = worlds.config(6, ("v1", "v2"))
        self.newest = 6
        self.revisions: list[int] = []

    def move(self, revision: int, versions: tuple[str, ...]) -> None:
        """Another note is accepted."""
        self.newest = revision
        self.world.config = worlds.config(revision, versions)

    def run(self, seconds: float) -> None:
        """Runs with an entry that pings and answers ConfigRequests."""
        world = self.world
        for _ in range(round(seconds / worlds.TICK_S)):
            asked = bool(world.of(messages.ConfigRequest))
            world.sent.clear()
            world.frame(messages.Ping(1, False), rev=self.newest)
            if asked:
                update = messages.ConfigUpdate("", [])
                world.frame(update, rev=self.newest)
            world.tick()
            self.revisions.append(world.tables.config.revision)


def _at_read(notes: _Notes) -> None:
    notes.world.frame(messages.Ping(1, False), rev=6)


def _at_fold(notes: _Notes) -> None:
    _at_read(notes)
    notes.world.tick()
    notes.world.frame(messages.ConfigUpdate("", []), rev=6)


def _at_order(notes: _Notes) -> None:
    def ordered() -> bool:
        notes.run(worlds.TICK_S)
        return any(
            isinstance(cmd, agent_events.SendOrder)
            for cmd in notes.world.commands
        )

    while not ordered():
        assert notes.world.now < 1100


def _at_confirm(notes: _Notes) -> None:
    _at_order(notes)
    notes.run(0.2)


_NOTE_REACH: Final[dict[str, Callable[[_Notes], None]]] = {
    "read": _at_read,
    "fold": _at_fold,
    "order": _at_order,
    "confirm": _at_confirm,
}


def _kill_agent(notes: _Notes) -> None:
    old = notes.world
    notes.world = worlds.World(
        engine=old.engine, incarnation="inc2", now=old.now + 1
    )
    notes.world.config = old.config
    notes.world.ready()
    notes.revisions.clear()


def _freeze_notes(notes: _Notes) -> None:
    """While the agent is frozen, its successor orders a newer note."""
    notes.move(9, ("v3",))
    notes.world.freeze(60)
    notes.world.engine.order(
        agent_events.SendOrder(9, "m", ["v3"], [], "mixed")
    )


def _late_note(notes: _Notes) -> None:
    notes.run(3)
    old = agent_events.ConfigChanged(worlds.config(5), 0)
    notes.world.inbox.append(old)


def _duplicate_notes(notes: _Notes) -> None:
    notes.world.duplicate = True


def _swap_notes(notes: _Notes) -> None:
    """An older state arrives after the newer one."""
    notes.world.swap = True
    newer = agent_events.ConfigChanged(notes.world.config, 0)
    older = agent_events.ConfigChanged(worlds.config(5), 0)
    notes.world.inbox += [newer, older]


def _lose_order_answer(notes: _Notes) -> None:
    notes.world.mute.add(agent_events.SendOrder)


def _log_down(notes: _Notes) -> None:
    notes.world.sync_down = True


def _ignore_fence(notes: _Notes) -> None:
    """A stale order takes effect on an engine that ignores fences."""
    notes.run(4)
    engine = notes.world.engine
    engine.ignores_fence = True
    engine.order(agent_events.SendOrder(2, "m", ["v0"], [], "mixed"))


def _frozen_and_log_down(notes: _Notes) -> None:
    notes.world.sync_down = True
    notes.world.engine.ignores_fence = True
    _freeze_notes(notes)


_NOTE_INJECT: Final[dict[str, Callable[[_Notes], None]]] = {
    "kill": _kill_agent,
    "freeze and thaw": _freeze_notes,
    "message late": _late_note,
    "message duplicated": _duplicate_notes,
    "messages swapped": _swap_notes,
    "answer lost after effect": _lose_order_answer,
    "log down or slow": _log_down,
    "fencing ignored": _ignore_fence,
    "two faults at once": _frozen_and_log_down,
}


CELLS: Final = STOP_CELLS + tuple(
    Cell("G6", fault, step, "proved", "test_engine_gets_the_newest_note")
    for fault in _NOTE_INJECT
    for step in _NOTE_REACH
)


@pytest.mark.parametrize(
    "cell",
    matrix_table.proved_params(CELLS, "test_engine_gets_the_newest_note"),
)
def test_engine_gets_the_newest_note(cell: Cell) -> None:
    """Fails on an old order after a fault, or a note not in force in time.

    Each note is checked 7 s after the fault: a read-back each 5 s, the order,
    and for a paused agent 1 s in which frames may be old.
    """
    notes = _Notes()
    _NOTE_REACH[cell.step](notes)
    _NOTE_INJECT[cell.fault](notes)
    engine = notes.world.engine
    ordered = len(engine.orders)
    notes.run(7)
    assert engine.config.versions == sorted(
        row.version for row in notes.world.config.versions.values()
    )
    assert notes.revisions == sorted(notes.revisions)
    assert all(order.fence >= notes.newest for order in engine.orders[ordered:])


def test_paused_agent_sends_no_order_before_it_caught_up() -> None:
    """Fails when stale frames or a peer that is behind count as caught up."""
    notes = _Notes()
    world = notes.world
    world.sync_down = True
    world.freeze(60)
    world.engine.config = agent_events.EngineConfig("m", ["v9"], [], "mixed")
    world.engine.orders.clear()
    # An answer of before the pause, and an entry that is behind itself.
    world.frame(messages.ConfigUpdate("", []), rev=5)
    for _ in range(100):
        world.frame(messages.ConfigUpdate("", []), rev=4)
        world.tick()
    assert world.engine.orders == []
    world.frame(messages.ConfigUpdate("", []), rev=6)
    world.run(7)
    assert world.engine.orders[-1].versions == ["v1", "v2"]


def test_withdrawn_version_serves_its_running_requests_only() -> None:
    """Fails when a withdrawal cuts a stream or lets a new one in."""
    world = worlds.World().ready()
    world.engine.tokens_per_tick = 1
    world.submit(max_tokens=120, remaining_ms=60_000)
    world.until(lambda: len(world.tokens("r1")) > 4)
    world.config = worlds.config(7, ("v2",))
    world.inbox.append(agent_events.ConfigChanged(world.config, 0))
    world.run(2)
    assert world.engine.config.versions == ["v1", "v2"]
    world.submit("r2")
    world.until(lambda: world.of(messages.Finished))
    assert world.of(messages.Refused)[0].reason == "version_not_served"
    world.run(6)
    assert world.engine.config.versions == ["v2"]


def test_load_waits_for_the_weight_stores_permission() -> None:
    """Fails when a load is ordered without permission, or asked for early."""
    world = worlds.World().ready()
    world.mute.add(agent_events.RequestPermit)
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
