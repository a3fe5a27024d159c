"""A process's replica of the configuration and its synchronisation.

A process updates its replica from the release stream of the log and from the
ConfigUpdate messages with which its peers answer its ConfigRequest. ConfigSync
does no I/O: the daemons pass it the records and updates.

Invariants: the revision never decreases. The state equals the fold of the
stream up to the offset `position`. If records are missing because they are past
the log's retention, the records after this gap are folded only onto a snapshot
that covers the gap.
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
"""Records read and folded in one step; more would block the event loop."""

MAX_UPDATE_RECORDS: Final = 100
"""A peer that lacks more notes gets a snapshot. Adopting a snapshot takes as
long as folding about ten notes, and folding an hour of notes would block the
peer's event loop."""

POLL_INTERVAL_S: Final = 1.0
MAX_RECENT_RECORDS: Final = 2_048
MAX_RECENT_BYTES: Final = 1024 * 1024
"""Bounds on the accepted notes that are kept to answer peers."""
MAX_HELD_BYTES: Final = 4 * 1024 * 1024
"""Bound on the notes held back until a snapshot covers a gap."""
SNAPSHOT_INTERVAL_NOTES: Final = 4_096
"""Accepted notes after which a snapshot is due regardless of time. This bounds
the number of notes that a process without peers folds at its start, and takes
16 snapshots a day at 67,000 changes a day."""
MAX_SNAPSHOT_DELAY_S: Final = 30.0
"""Upper bound of the random delay before a snapshot, so that usually only one
entry appends it."""

_LOG: Final = logging.getLogger(__name__)


class FoldedNote(NamedTuple):
    """A note record and the result of folding it.

    Attributes:
        record: Record of the note.
        verdict: Whether the note was accepted, rejected or repeated.
        problems: Why the note was rejected; empty otherwise.
    """

    record: messages.NoteRecord
    verdict: release_fold.Verdict
    problems: list[str]


class ConfigSync:
    """Replica of the configuration in one process.

    Attributes:
        state: Configuration in force.
        position: Offset of the release stream up to which `state` is folded.
        ready: True once the log was read to its end or a peer's newer state
            was applied.
    """

    def __init__(
        self,
        retention_s: float = 7 * 86_400.0,
        rng: random.Random | None = None,
    ) -> None:
        """Creates a replica with the empty configuration.

        Args:
            retention_s: Retention of the log in seconds; a snapshot is due
                after a third of it.
            rng: Random source for the delay before a snapshot.
        """
        self.state = config_state.EMPTY
        self.position = 0
        self.ready = False
        self._retention_s = retention_s
        self._rng = rng or random.Random()
        self._recent_notes = _RecordBuffer(MAX_RECENT_BYTES, MAX_RECENT_RECORDS)
        self._held_notes = _RecordBuffer(MAX_HELD_BYTES, None)
        self._gap_end = 0
        self._snapshot_at: float | None = None
        self._needed_since: float | None = None
        self._notes_since_snapshot = 0

    @property
    def read_after(self) -> int:
        """Offset after which to read the log next.

        It is beyond `position` while notes are held because of a gap.
        """
        return max(self.position, self._held_notes.last_offset)

    @property
    def revision(self) -> int:
        """Revision in force."""
        return self.state.revision

    def apply_records(
        self, result: platform_log.ReadResult
    ) -> list[FoldedNote]:
        """Folds the result of reading the log after `read_after`.

        Returns:
            The note records that were folded, with their verdicts, without
            snapshots and records that were folded before.
        """
        self._detect_gap(result.first)
        if self._needed_since is None and result.records:
            self._needed_since = result.records[0].time
        folded: list[FoldedNote] = []
        for record in result.records:
            folded += self._apply_record(record)
        # Only an empty result shows the end of the stream: the log may return
        # fewer records than the requested limit.
        if not result.records and not self.has_gap:
            self.ready = True
        return folded

    @property
    def has_gap(self) -> bool:
        """True while records that the state lacks are past retention."""
        return self.position < self._gap_end

    def apply_update(self, update: messages.ConfigUpdate) -> bool:
        """Applies a peer's snapshot and notes.

        A peer sends only accepted notes, each based on the previous one. A note
        that the state rejects therefore means that a note is missing: the
        rejected and all later notes are ignored, and the next ConfigRequest
        requests them again.

        Returns:
            True if the revision increased.
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
        advanced = self.revision > before
        if advanced:
            self.ready = True
            if self._needed_since is None:
                self._needed_since = release_fold.UNKNOWN_TIME
        return advanced

    def make_update(
        self, request: messages.ConfigRequest
    ) -> messages.ConfigUpdate:
        """Returns the update that the requesting process lacks.

        The update is empty if that process has this revision or a later one.
        """
        if request.after >= self.revision:
            return messages.ConfigUpdate("", [])
        records = self._recent_notes.records_after(request.after)
        if records is not None and len(records) <= MAX_UPDATE_RECORDS:
            return messages.ConfigUpdate("", records)
        return messages.ConfigUpdate(self._encoded_snapshot(), [])

    def snapshot_due(self, now: float) -> tuple[str, str] | None:
        """Returns record id and data of a snapshot to append now, or None.

        Call this method after each read. Reading another process's snapshot
        cancels the one that is due. If two processes append a snapshot at the
        same time, readers use either.

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
        # If the append fails, it is retried after a new delay.
        self._snapshot_at = None
        record_id = f"{release_fold.SNAPSHOT_PREFIX}{self.position}"
        return record_id, self._encoded_snapshot()

    def _snapshot_needed(self, now: float) -> bool:
        # A snapshot written despite a gap lacks records, yet it would make the
        # other entries postpone a complete one.
        if not self.ready or self.has_gap or self.revision == 0:
            return False
        if self._needed_since is None:
            return False
        is_old = now - self._needed_since > self._retention_s / 3
        return is_old or self._notes_since_snapshot >= SNAPSHOT_INTERVAL_NOTES

    def _encoded_snapshot(self) -> str:
        return release_fold.encode_snapshot(
            release_fold.Snapshot(
                self.position,
                self._needed_since or release_fold.UNKNOWN_TIME,
                self.state,
            )
        )

    def _detect_gap(self, first: int) -> None:
        if first <= self.read_after + 1 or first - 1 == self._gap_end:
            return
        self._gap_end = first - 1
        self._held_notes.clear()
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
            self._hold_note(note)
            return []
        return [self._fold_record(note)]

    def _hold_note(self, note: messages.NoteRecord) -> None:
        evicted_offset = self._held_notes.add(note)
        self._gap_end = max(self._gap_end, evicted_offset)

    def _read_snapshot(
        self, record: platform_log.LogRecord
    ) -> list[FoldedNote]:
        folded: list[FoldedNote] = []
        snapshot = _decode_snapshot(record.data, "log")
        if snapshot is not None and snapshot.position < record.offset:
            self._needed_since = record.time
            self._notes_since_snapshot = 0
            if self.has_gap and snapshot.position >= self._gap_end:
                folded = self._adopt_snapshot(snapshot)
            self._compare_snapshot(snapshot)
        if self.has_gap:
            self._held_notes.skip_to(record.offset)
        else:
            self.position = max(self.position, record.offset)
        return folded

    def _compare_snapshot(self, snapshot: release_fold.Snapshot) -> None:
        same_revision = snapshot.state.revision == self.revision
        if same_revision and snapshot.state != self.state:
            logs.decision(
                _LOG, "snapshot differs from the fold", revision=self.revision
            )

    def _adopt_from_peer(self, text: str) -> None:
        snapshot = _decode_snapshot(text, "peer")
        if snapshot is None:
            return
        if self._needed_since is None:
            self._needed_since = snapshot.needed_since
        self._adopt_snapshot(snapshot)

    def _adopt_snapshot(
        self, snapshot: release_fold.Snapshot
    ) -> list[FoldedNote]:
        """Adopts a snapshot that is newer and folds the notes held after it."""
        offered = (snapshot.state.revision, snapshot.position)
        if offered <= (self.revision, self.position):
            return []
        if snapshot.state.revision > self.revision:
            self._recent_notes.clear()
            self.state = snapshot.state
        self.position = max(self.position, snapshot.position)
        return self._fold_held()

    def _fold_held(self) -> list[FoldedNote]:
        if self.has_gap:
            return []
        held = self._held_notes.records()
        self._held_notes.clear()
        return [
            self._fold_record(record)
            for record in held
            if record.offset > self.position
        ]

    def _fold_record(self, record: messages.NoteRecord) -> FoldedNote:
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
        self._recent_notes.add(record, base)


def _decode_snapshot(text: str, source: str) -> release_fold.Snapshot | None:
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
    folded: list[FoldedNote] | None = None,
) -> list[FoldedNote]:
    """Reads the release stream to its end.

    Args:
        log: Log service of the platform.
        sync: Replica that folds the records.
        folded: List to which the folded note records are appended. It includes
            the records of earlier reads even if a later read fails.

    Returns:
        The list `folded`, or a new one.

    Raises:
        PlatformError: The log is not reachable; the records read before remain
            folded.
    """
    folded = [] if folded is None else folded
    while True:
        result = await log.read(
            platform_log.RELEASE_STREAM, sync.read_after, MAX_READ_RECORDS
        )
        folded += sync.apply_records(result)
        if not result.records:
            return folded


class _RecordBuffer:
    """Queue of the newest records, bounded in bytes and number.

    The oldest records are evicted first; the newest one is always kept.

    Attributes:
        last_offset: Highest offset added or skipped, 0 if there is none.
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
        """Adds a record and evicts old ones if the bounds are exceeded.

        Args:
            record: Record with the highest offset so far.
            base: Revision before the record.

        Returns:
            Offset of the newest evicted record, 0 if none was evicted.
        """
        self._records.append((base, record))
        self._bytes += len(record.data)
        self.last_offset = record.offset
        evicted_offset = 0
        while self._exceeds_bounds():
            _, old = self._records.popleft()
            self._bytes -= len(old.data)
            evicted_offset = old.offset
        return evicted_offset

    def skip_to(self, offset: int) -> None:
        """Raises `last_offset` without adding a record."""
        self.last_offset = max(self.last_offset, offset)

    def records_after(self, revision: int) -> list[messages.NoteRecord] | None:
        """Returns all records after a revision, None if some were evicted."""
        for index, (base, _) in enumerate(self._records):
            if base == revision:
                records = list(self._records)
                return [record for _, record in records[index:]]
        return None

    def records(self) -> list[messages.NoteRecord]:
        """Returns all records, oldest first."""
        return [record for _, record in self._records]

    def _exceeds_bounds(self) -> bool:
        count = len(self._records)
        too_many = self._max_records is not None and count > self._max_records
        return count > 1 and (too_many or self._bytes > self._max_bytes)
