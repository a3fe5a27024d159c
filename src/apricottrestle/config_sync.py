"""A process's copy of the configuration, and how it catches up.

Sources are the release stream of the log (entries) and other processes
(ConfigRequest and ConfigUpdate). The class does no I/O; the daemons feed it.

Invariants: the revision never falls. `position` is an offset such that the
state equals the fold of the stream up to it. Records beyond a hole in the
stream (past retention) are folded only onto a snapshot that covers the hole.
"""

import collections
import logging
import random
from typing import Final, NamedTuple

from apricottrestle import (
    config_state,
    errors,
    logs,
    messages,
    platform_log,
    release_fold,
)

MAX_READ_RECORDS: Final = 250
"""Records folded at once; more would hold up the event loop."""

MAX_UPDATE_RECORDS: Final = 100
"""A peer that misses more gets a snapshot: taking one costs as much as folding
some ten notes, and an hour of notes would hold up its event loop."""

POLL_INTERVAL_S: Final = 1.0
MAX_RECENT_RECORDS: Final = 2_048
MAX_RECENT_BYTES: Final = 1024 * 1024
MAX_HELD_BYTES: Final = 4 * 1024 * 1024
SNAPSHOT_INTERVAL_NOTES: Final = 4_096
"""A snapshot is due after so many accepted notes too, so that a process that
starts without peers folds a bounded number of notes: 16 snapshots a day at
67,000 changes a day."""
MAX_SNAPSHOT_DELAY_S: Final = 30.0

_LOG: Final = logging.getLogger(__name__)


class FoldedNote(NamedTuple):
    """A note record as it was folded.

    Attributes:
        record: The record.
        verdict: What became of it.
        problems: Why it was rejected.
    """

    record: messages.NoteRecord
    verdict: release_fold.Verdict
    problems: list[str]


class ConfigSync:
    """Holds the configuration of one process.

    Attributes:
        state: Configuration in force.
        position: Read the log after this offset.
        ready: True once the newest revision is known: the log was read to its
            end, or a peer gave its state.
    """

    def __init__(
        self,
        retention_s: float = 7 * 86_400.0,
        rng: random.Random | None = None,
    ) -> None:
        """Starts with the empty configuration, not ready.

        Args:
            retention_s: Retention of the log in seconds, for the snapshot rule.
            rng: Source of the delay before a snapshot.
        """
        self.state = config_state.EMPTY
        self.position = 0
        self.ready = False
        self._retention_s = retention_s
        self._rng = rng or random.Random()
        self._accepted = _RecordMemory(MAX_RECENT_BYTES, MAX_RECENT_RECORDS)
        self._held = _RecordMemory(MAX_HELD_BYTES, None)
        self._hole_until = 0
        self._snapshot_at: float | None = None
        self._needed_since: float | None = None
        self._notes_since_snapshot = 0

    @property
    def read_after(self) -> int:
        """Offset to read the log after; beyond `position` across a hole."""
        return max(self.position, self._held.last_offset)

    @property
    def revision(self) -> int:
        """Revision in force."""
        return self.state.revision

    def apply_records(
        self, result: platform_log.ReadResult
    ) -> list[FoldedNote]:
        """Folds the answer to a read after `read_after`.

        Returns:
            The note records folded, with their verdicts. Records already
            folded, and snapshots, are left out.
        """
        self._note_hole(result.first)
        if self._needed_since is None and result.records:
            self._needed_since = result.records[0].time
        applied: list[FoldedNote] = []
        for record in result.records:
            applied += self._apply_record(record)
        # Only an empty answer shows the end of the stream: the log may cut an
        # answer at a smaller limit than the one asked for.
        if not result.records and not self.has_gap:
            self.ready = True
        return applied

    @property
    def has_gap(self) -> bool:
        """True while records that may matter are past retention."""
        return self.position < self._hole_until

    def apply_update(self, update: messages.ConfigUpdate) -> bool:
        """Takes over what a peer knows; returns True when the state moved.

        A peer sends accepted notes only, each based on the one before it, so
        a note that doesn't fit shows that one is missing: it and what follows
        are left out, and the next request asks anew.
        """
        before = self.revision
        if update.snapshot:
            self._adopt_from_peer(update.snapshot)
        for record in update.records:
            if record.offset <= self.revision:
                continue
            result = release_fold.fold_note(self.state, record)
            if result.verdict != "accepted":
                break
            self._accept(result.state, record)
        self._fold_held()
        moved = self.revision > before
        if moved:
            self.ready = True
            if self._needed_since is None:
                self._needed_since = release_fold.UNKNOWN_TIME
        return moved

    def make_update(
        self, request: messages.ConfigRequest
    ) -> messages.ConfigUpdate:
        """Returns what the asking side lacks; nothing when it is ahead."""
        if request.after >= self.revision:
            return messages.ConfigUpdate("", [])
        records = self._accepted.after(request.after)
        if records is not None and len(records) <= MAX_UPDATE_RECORDS:
            return messages.ConfigUpdate("", records)
        return messages.ConfigUpdate(self._encoded_snapshot(), [])

    def snapshot_due(self, now: float) -> tuple[str, str] | None:
        """Returns id and data of a snapshot to append now, or None.

        Call it after each read. A snapshot read in the meantime cancels it;
        two that cross are harmless.

        Args:
            now: Unix seconds by the clock of the log's record times.
        """
        if not self._snapshot_needed(now):
            self._snapshot_at = None
            return None
        if self._snapshot_at is None:
            delay_s = self._rng.uniform(0.0, MAX_SNAPSHOT_DELAY_S)
            self._snapshot_at = now + delay_s
        if now < self._snapshot_at:
            return None
        # If the append fails, the next try waits for a new delay.
        self._snapshot_at = None
        record_id = f"{release_fold.SNAPSHOT_PREFIX}{self.position}"
        return record_id, self._encoded_snapshot()

    def _snapshot_needed(self, now: float) -> bool:
        # A snapshot with a hole behind it would stand in the way of a whole
        # one, because it makes the other entries wait.
        if not self.ready or self.has_gap or self.revision == 0:
            return False
        if self._needed_since is None:
            return False
        old = now - self._needed_since > self._retention_s / 3
        return old or self._notes_since_snapshot >= SNAPSHOT_INTERVAL_NOTES

    def _encoded_snapshot(self) -> str:
        return release_fold.encode_snapshot(
            release_fold.Snapshot(
                self.position,
                self._needed_since or release_fold.UNKNOWN_TIME,
                self.state,
            )
        )

    def _note_hole(self, first: int) -> None:
        if first <= self.read_after + 1 or first - 1 == self._hole_until:
            return
        self._hole_until = first - 1
        self._held.clear()
        logs.decision(
            _LOG,
            "release records lost",
            position=self.position,
            first=first,
        )

    def _apply_record(self, record: platform_log.LogRecord) -> list[FoldedNote]:
        if record.offset <= self.read_after:
            return []
        if release_fold.is_snapshot(record.record_id):
            return self._read_snapshot(record)
        note = messages.NoteRecord(record.offset, record.record_id, record.data)
        if self.has_gap:
            self._hold(note)
            return []
        return [self._fold(note)]

    def _hold(self, note: messages.NoteRecord) -> None:
        lost = self._held.add(note)
        self._hole_until = max(self._hole_until, lost)

    def _read_snapshot(
        self, record: platform_log.LogRecord
    ) -> list[FoldedNote]:
        applied: list[FoldedNote] = []
        snapshot = _decode(record.data, "log")
        if snapshot is not None and snapshot.position < record.offset:
            self._needed_since = record.time
            self._notes_since_snapshot = 0
            if self.has_gap and snapshot.position >= self._hole_until:
                applied = self._adopt(snapshot)
            self._compare(snapshot)
        if self.has_gap:
            self._held.mark(record.offset)
        else:
            self.position = max(self.position, record.offset)
        return applied

    def _compare(self, snapshot: release_fold.Snapshot) -> None:
        same_revision = snapshot.state.revision == self.revision
        if same_revision and snapshot.state != self.state:
            logs.decision(
                _LOG, "snapshot differs from the fold", revision=self.revision
            )

    def _adopt_from_peer(self, text: str) -> None:
        snapshot = _decode(text, "peer")
        if snapshot is None:
            return
        if self._needed_since is None:
            self._needed_since = snapshot.needed_since
        self._adopt(snapshot)

    def _adopt(self, snapshot: release_fold.Snapshot) -> list[FoldedNote]:
        """Takes a snapshot that is ahead; folds records held beyond it."""
        offered = (snapshot.state.revision, snapshot.position)
        if offered <= (self.revision, self.position):
            return []
        if snapshot.state.revision > self.revision:
            self._accepted.clear()
            self.state = snapshot.state
        self.position = max(self.position, snapshot.position)
        return self._fold_held()

    def _fold_held(self) -> list[FoldedNote]:
        if self.has_gap:
            return []
        held = self._held.all()
        self._held.clear()
        return [
            self._fold(record)
            for record in held
            if record.offset > self.position
        ]

    def _fold(self, record: messages.NoteRecord) -> FoldedNote:
        result = release_fold.fold_note(self.state, record)
        if result.verdict == "accepted":
            self._accept(result.state, record)
        self.position = record.offset
        logs.decision(
            _LOG,
            "release note folded",
            note_id=record.note_id,
            offset=record.offset,
            verdict=result.verdict,
            problems=result.problems,
        )
        return FoldedNote(record, result.verdict, result.problems)

    def _accept(
        self, state: config_state.ConfigState, record: messages.NoteRecord
    ) -> None:
        base = self.revision
        self.state = state
        self.position = max(self.position, record.offset)
        self._notes_since_snapshot += 1
        self._accepted.add(record, base)


def _decode(text: str, source: str) -> release_fold.Snapshot | None:
    try:
        return release_fold.decode_snapshot(text)
    except errors.ReleaseError as exc:
        logs.decision(
            _LOG, "snapshot ignored", source=source, reason=exc.message
        )
        return None


async def catch_up(
    log: platform_log.LogService,
    sync: ConfigSync,
    applied: list[FoldedNote] | None = None,
) -> list[FoldedNote]:
    """Reads the release stream to its end.

    Args:
        log: The log.
        sync: Folds what was read.
        applied: Receives the note records folded; keeps them when a later read
            fails.

    Returns:
        The note records folded, after those that `applied` held before.

    Raises:
        PlatformError: The log is not reachable; what was read before stays
            folded.
    """
    applied = [] if applied is None else applied
    while True:
        result = await log.read(
            platform_log.RELEASE_STREAM, sync.read_after, MAX_READ_RECORDS
        )
        applied += sync.apply_records(result)
        if not result.records:
            return applied


class _RecordMemory:
    """The newest records, bounded in bytes and number.

    Attributes:
        last_offset: Offset of the newest record or mark, 0 when there is none.
    """

    def __init__(self, max_bytes: int, max_records: int | None) -> None:
        self._max_bytes = max_bytes
        self._max_records = max_records
        self.clear()

    def clear(self) -> None:
        self._records: collections.deque[tuple[int, messages.NoteRecord]] = (
            collections.deque()
        )
        self._bytes = 0
        self.last_offset = 0

    def add(self, record: messages.NoteRecord, base: int = 0) -> int:
        """Adds a record; returns the offset of the newest one it pushed out.

        Args:
            record: Record with the highest offset so far.
            base: Revision before the record.
        """
        self._records.append((base, record))
        self._bytes += len(record.data)
        self.last_offset = record.offset
        lost = 0
        while self._is_over():
            _, old = self._records.popleft()
            self._bytes -= len(old.data)
            lost = old.offset
        return lost

    def mark(self, offset: int) -> None:
        """Counts an offset as seen without keeping a record."""
        self.last_offset = max(self.last_offset, offset)

    def after(self, revision: int) -> list[messages.NoteRecord] | None:
        """Returns all records after a revision, None when some are gone."""
        for index, (base, _) in enumerate(self._records):
            if base == revision:
                records = list(self._records)
                return [record for _, record in records[index:]]
        return None

    def all(self) -> list[messages.NoteRecord]:
        """Returns the records held, oldest first."""
        return [record for _, record in self._records]

    def _is_over(self) -> bool:
        count = len(self._records)
        too_many = self._max_records is not None and count > self._max_records
        return count > 1 and (too_many or self._bytes > self._max_bytes)
