"""Simulates config sync of entries and agents with an in-memory log."""

import asyncio
import random
from collections.abc import Callable

from apricottrestle import (
    config_state,
    config_sync,
    errors,
    messages,
    platform_log,
    release_fold,
    release_publish,
)
from tests import fake_log, notes

STREAM = platform_log.RELEASE_STREAM
RETENTION_S = 9_000.0


class Fleet:
    """Entries named "e0", "e1", ... and agents named "a0", "a1", ...

    Attributes:
        log: The log.
        entries: Names of the entries.
        agents: Names of the agents.
        syncs: Configuration of each process.
        frozen: Processes that neither send nor receive.
        in_flight: Configuration updates in transit, with their receivers.
    """

    def __init__(self, entries: int = 2, agents: int = 2) -> None:
        self.log = fake_log.FakeLog()
        self.entries = [f"e{number}" for number in range(entries)]
        self.agents = [f"a{number}" for number in range(agents)]
        self.syncs: dict[str, config_sync.ConfigSync] = {}
        self.frozen: set[str] = set()
        self.in_flight: list[tuple[str, messages.ConfigUpdate]] = []
        self._seed = 0
        self._last_revision: dict[str, int] = {}
        for name in [*self.entries, *self.agents]:
            self.restart(name)

    def restart(self, name: str) -> None:
        """Replaces a process by a new one without configuration."""
        self._seed += 1
        self.syncs[name] = config_sync.ConfigSync(
            RETENTION_S, random.Random(self._seed)
        )
        self._last_revision[name] = 0
        self.in_flight = [item for item in self.in_flight if item[0] != name]

    def poll_log(self, name: str) -> None:
        """Lets an entry read the log and append a snapshot if one is due."""
        if name in self.frozen:
            return
        asyncio.run(self._poll_log(name))

    async def _poll_log(self, name: str) -> None:
        sync = self.syncs[name]
        try:
            await config_sync.catch_up(self.log, sync)
            due = sync.snapshot_due(self.log.now)
            if due is not None:
                await self.log.append(STREAM, *due)
        except errors.PlatformError:
            pass

    def request_config(self, name: str, peer: str) -> None:
        """Sends a ConfigRequest to a peer; its answer is then in flight."""
        if {name, peer} & self.frozen:
            return
        request = messages.ConfigRequest(self.syncs[name].revision)
        self.in_flight.append((name, self.syncs[peer].make_update(request)))

    def deliver_update(self, index: int, *, keep: bool = False) -> None:
        """Delivers an update in flight.

        Args:
            index: Index in `in_flight`.
            keep: Whether the update stays in flight, to be duplicated.
        """
        name, update = self.in_flight[index]
        if not keep:
            del self.in_flight[index]
        if name not in self.frozen:
            self.syncs[name].apply_update(update)

    def exchange_configs(self) -> None:
        """Lets agents request from entries, then entries from agents."""
        for first, second in (
            (self.agents, self.entries),
            (self.entries, self.agents),
        ):
            for name in first:
                for peer in second:
                    self.request_config(name, peer)
                    while self.in_flight:
                        self.deliver_update(0)

    def recover(self) -> None:
        """Ends all faults, then polls and exchanges configurations twice."""
        self.log.down = self.log.reads_down = False
        self.log.faults.clear()
        self.log.read_faults.clear()
        self.frozen.clear()
        for _ in range(2):
            for name in self.entries:
                self.poll_log(name)
            self.exchange_configs()

    def publish(
        self, *texts: str, during_wait: Callable[[], None] | None = None
    ) -> list[release_publish.PublishResult]:
        """Publishes release notes concurrently.

        Args:
            *texts: The notes, one per operator.
            during_wait: Called after operators have waited for three seconds.

        Returns:
            A result per note; an error before the append counts as rejected.
        """
        time = fake_log.FakeTime()
        if during_wait is not None:
            time.scheduled.append((3.0, during_wait))

        async def publish_one(text: str) -> release_publish.PublishResult:
            try:
                return await release_publish.publish(
                    self.log, text, clock=time.clock, sleep=time.sleep
                )
            except errors.PlatformError as exc:
                return release_publish.PublishResult(
                    "rejected", 0, [exc.message]
                )

        async def run() -> list[release_publish.PublishResult]:
            return await asyncio.gather(*(publish_one(text) for text in texts))

        return asyncio.run(run())

    def advance_past_retention(self) -> None:
        """Advances the clock by a retention period, with occasional polls."""
        for _ in range(8):
            self.log.now += RETENTION_S / 8
            for _ in range(2):
                for name in self.entries:
                    self.poll_log(name)
                self.log.now += config_sync.MAX_SNAPSHOT_DELAY_S
            self.expire_records()

    def expire_records(self) -> None:
        """Drops the log records that are older than the retention period."""
        records = self.log.streams[STREAM]
        oldest = self.log.now - RETENTION_S
        kept = [rec.offset for rec in records if rec.time >= oldest]
        self.log.first_offset[STREAM] = kept[0] if kept else len(records) + 1

    def states_by_revision(self) -> dict[int, config_state.ConfigState]:
        """Returns the state at each revision, folded from the whole stream."""
        state = config_state.EMPTY
        states = {0: state}
        for record in self.log.notes():
            state = release_fold.fold_note(state, record).state
            states[state.revision] = state
        return states

    def check_states(self) -> None:
        """Asserts that all processes have folded states and none reverted."""
        states = self.states_by_revision()
        for name, sync in self.syncs.items():
            assert sync.state == states[sync.revision], name
            assert sync.revision >= self._last_revision[name], name
            self._last_revision[name] = sync.revision
            assert sync.revision <= sync.position

    def check_converged(self) -> None:
        """Asserts that all processes are ready and run the newest note."""
        newest = max(self.states_by_revision())
        revisions = {name: sync.revision for name, sync in self.syncs.items()}
        assert revisions == dict.fromkeys(self.syncs, newest)
        assert all(sync.ready for sync in self.syncs.values())


def publish_first(fleet: Fleet) -> None:
    """Publishes the first note and distributes it to all processes."""
    result = fleet.publish(notes.FIRST_NOTE)[0]
    assert result.verdict == "accepted"
    fleet.recover()
    fleet.check_converged()
