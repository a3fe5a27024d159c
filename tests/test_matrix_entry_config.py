"""Matrix cells of release notes at the entry: G6 at read, fold, confirm."""

from typing import Final

import pytest

from apricottrestle import config_sync, entry_events, messages, platform_log
from tests import matrix_table, notes
from tests import test_entry_fakes as fakes
from tests import test_entry_world as worlds

Cell = matrix_table.Cell

_STEPS: Final = ("read", "fold", "confirm")
_FAULTS: Final = (
    "kill",
    "freeze and thaw",
    "silent connection",
    "message late",
    "message duplicated",
    "messages swapped",
    "answer lost after effect",
    "log down or slow",
    "log records past retention",
    "instance list late or wrong",
    "operators racing",
    "two faults at once",
)
CELLS: Final = tuple(
    Cell("G6", fault, step, "proved", "test_newest_note_stays_in_force")
    for fault in _FAULTS
    for step in _STEPS
)
IN_FORCE_S: Final = 5.0


def _record(offset: int, note_id: str, base: int) -> messages.NoteRecord:
    if offset == 1:
        return messages.NoteRecord(1, "first", notes.FIRST_NOTE)
    return messages.NoteRecord(
        offset, note_id, notes.share_note(note_id, base, float(offset))
    )


RECORDS: Final = [
    _record(1, "first", 0),
    _record(2, "second", 1),
    _record(3, "third", 2),
]


class _NoteFleet:
    """An entry, agents that can send it release notes, and a release stream."""

    def __init__(self) -> None:
        self.world = worlds.World(engines=3)
        self.published = list(RECORDS[:1])
        self.agents_sync = config_sync.ConfigSync()
        self.log_available = True
        self.revisions_seen: list[int] = []
        self.restart()

    @property
    def sync(self) -> config_sync.ConfigSync:
        return self.world.entry.tables.sync

    def restart(self) -> None:
        """Resets the entry's configuration, as a restart does."""
        self.world.entry.tables.sync = config_sync.ConfigSync()
        self.revisions_seen.clear()

    def publish(self, *records: messages.NoteRecord) -> None:
        self.published += records

    def publish_to_agents(self, agents: list[fakes.FakeAgent]) -> None:
        """Gives agents all published notes, which they send on request."""
        self.agents_sync.apply_update(messages.ConfigUpdate("", self.published))
        for agent in agents:
            agent.config_rev = self.agents_sync.revision
        request = messages.ConfigRequest(self.sync.revision)
        self.world.note_update = self.agents_sync.make_update(request)

    def read_log(self, first: int = 1) -> None:
        if not self.log_available:
            return
        after = self.sync.read_after
        records = [
            platform_log.LogRecord(r.offset, 0.0, r.note_id, r.data)
            for r in self.published
            if r.offset > after and r.offset >= first
        ]
        result = platform_log.ReadResult(
            first, len(self.published) + 1, records
        )
        self.world.entry.post(entry_events.ReleaseNotesRead(result))

    def run(self, seconds: float) -> None:
        for _ in range(round(seconds / 0.5)):
            self.world.run(0.5)
            self.read_log()
            self.revisions_seen.append(self.sync.revision)


def _delay_updates(world: worlds.World, times: int) -> worlds.FrameFilter:
    del world

    def frame_filter(
        msg: messages.Message,
    ) -> list[tuple[float, messages.Message]]:
        if isinstance(msg, messages.ConfigUpdate):
            return [(0.4 * (index + 1), msg) for index in range(times)]
        return [(0.0, msg)]

    return frame_filter


def _inject(fleet: _NoteFleet, fault: str) -> None:
    world = fleet.world
    agents = list(world.agents.values())
    match fault:
        case "kill":
            fleet.restart()
            fleet.log_available = False
        case "freeze and thaw":
            world.entry.frozen = True
            world.run(4.0)
            world.entry.frozen = False
        case "silent connection":
            world.silence("a0")
            fleet.log_available = False
        case "message late":
            world.frame_filter = _delay_updates(world, 1)
        case "message duplicated":
            world.frame_filter = _delay_updates(world, 3)
        case "messages swapped":
            # An old update arrives after the newest one.
            old = messages.ConfigUpdate("", RECORDS[:1])
            world.delayed += [
                (world.now + 1.0, world.entry, _received_frame(world, old))
            ]
        case "answer lost after effect":
            drops = {"left": 1}

            def lose(
                msg: messages.Message,
            ) -> list[tuple[float, messages.Message]]:
                if drops["left"] and isinstance(msg, messages.ConfigUpdate):
                    drops["left"] = 0
                    return []
                return [(0.0, msg)]

            world.frame_filter = lose
            fleet.log_available = False
        case "log down or slow":
            fleet.log_available = False
        case "log records past retention":
            fleet.restart()
            fleet.read_log(first=3)
            fleet.log_available = False
        case "instance list late or wrong":
            world.entry.post(entry_events.InstancesChanged(world.rows("gone")))
            fleet.log_available = False
        case "operators racing":
            loser = _record(4, "loser", 1)
            fleet.publish(loser)
        case "two faults at once":
            fleet.log_available = False
            agents[0].alive = False


def _received_frame(
    world: worlds.World, msg: messages.Message
) -> entry_events.FrameReceived:
    conn, agent_id = next(iter(world.entry.conns.items()))
    agent = world.agents[agent_id]
    received = messages.Received(agent_id, agent.incarnation, 1, msg, b"")
    return entry_events.FrameReceived(conn, received)


@pytest.mark.parametrize(
    "cell", matrix_table.proved_params(CELLS, "test_newest_note_stays_in_force")
)
def test_newest_note_stays_in_force(cell: Cell) -> None:
    """An accepted note must apply within 5 s and never be reverted."""
    fleet = _NoteFleet()
    agents = list(fleet.world.agents.values())
    fleet.publish_to_agents(agents)
    fleet.run(1.0)
    assert fleet.sync.revision == 1
    fleet.publish(*RECORDS[1:])
    if cell.step == "read":
        _inject(fleet, cell.fault)
    fleet.publish_to_agents(agents[1:])
    if cell.step == "fold":
        fleet.read_log()
        _inject(fleet, cell.fault)
    if cell.step == "confirm":
        fleet.run(1.0)
        _inject(fleet, cell.fault)
    fleet.publish_to_agents(agents)
    fleet.run(IN_FORCE_S)
    assert fleet.sync.revision == 3
    assert fleet.sync.ready
    assert fleet.revisions_seen == sorted(fleet.revisions_seen)


def test_entry_answers_an_agent_that_is_behind() -> None:
    """Agents don't read the log; entries must send them the notes they lack."""
    fleet = _NoteFleet()
    fleet.publish(*RECORDS[1:])
    fleet.read_log()
    frame = _received_frame(fleet.world, messages.ConfigRequest(1))
    fleet.world.entry.post(frame)
    agent = fleet.world.agents[fleet.world.entry.conns[frame.conn]]
    assert agent.config_updates[0].records == RECORDS[1:]


def test_drain_record_reaches_its_agent_once() -> None:
    """An instance must not be drained again after it has restarted."""
    world = worlds.World(engines=2)
    record = platform_log.LogRecord(1, 0.0, "d1", '{"instance": "a0"}')
    world.entry.post(entry_events.DrainRecordsRead([record]))
    world.run(3.0)
    assert world.agents["a0"].draining
    assert not world.agents["a1"].draining
    world.agents["a0"].restart()
    world.run(5.0)
    assert not world.agents["a0"].draining


def test_drain_record_of_this_entry_starts_its_drain() -> None:
    """`drain INSTANCE` must drain entries too; garbage must be ignored."""
    world = worlds.World()
    garbage = platform_log.LogRecord(1, 0.0, "d1", "garbage")
    world.entry.post(entry_events.DrainRecordsRead([garbage]))
    assert world.entry.tables.drain_started is None
    record = platform_log.LogRecord(2, 0.0, "d2", '{"instance": "e0"}')
    world.entry.post(entry_events.DrainRecordsRead([record]))
    assert world.entry.tables.drain_started is not None
