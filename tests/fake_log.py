"""In-memory log with outages, lost answers, late appends and retention."""

import asyncio
import bisect
import collections
from collections.abc import Callable

from apricottrestle import (
    config_state,
    errors,
    messages,
    platform_log,
    release_fold,
)

ANSWER_LOST = "stored, answer lost"
STORED_LATE = "stored late, answer lost"
NOT_STORED = "never stored, answer lost"
RATE_LIMITED = "over the append limit"


class FakeLog(platform_log.LogService):
    """Log that keeps all records, also those past its simulated retention.

    Attributes:
        now: Time of appended records, Unix seconds.
        down: Whether all calls fail.
        reads_down: Whether reads fail.
        faults: Faults of the next appends, "" for none.
        read_faults: Whether each of the next reads fails.
        reads: Number of reads so far.
        before_append: Called once, before the next append is stored.
        after_append: Called once, after the next append was stored and before
            it is acknowledged.
        max_records_per_read: Upper bound on a read's limit.
        streams: All records of each stream.
        first_offset: Offset of the first retained record of each stream.
    """

    def __init__(self) -> None:
        self.now = 1_000_000.0
        self.down = False
        self.reads_down = False
        self.faults: list[str] = []
        self.read_faults: list[bool] = []
        self.reads = 0
        self.before_append: Callable[[], None] | None = None
        self.after_append: Callable[[], None] | None = None
        self.max_records_per_read = 1_000
        self.streams: dict[str, list[platform_log.LogRecord]] = (
            collections.defaultdict(list)
        )
        self.first_offset: dict[str, int] = collections.defaultdict(lambda: 1)
        self._late: list[tuple[str, str, str]] = []

    def store(self, stream: str, record_id: str, data: str) -> int:
        records = self.streams[stream]
        offset = len(records) + 1
        records.append(
            platform_log.LogRecord(offset, self.now, record_id, data)
        )
        return offset

    def notes(self) -> list[messages.NoteRecord]:
        """Returns all notes of the release stream, whether retained or not."""
        return [
            messages.NoteRecord(rec.offset, rec.record_id, rec.data)
            for rec in self.streams[platform_log.RELEASE_STREAM]
            if not release_fold.is_snapshot(rec.record_id)
        ]

    def store_snapshot(self, state: config_state.ConfigState) -> None:
        """Stores a snapshot of a state at the end of the release stream."""
        stream = platform_log.RELEASE_STREAM
        position = len(self.streams[stream])
        snapshot = release_fold.Snapshot(position, self.now, state)
        self.store(
            stream,
            f"{release_fold.SNAPSHOT_PREFIX}{position}",
            release_fold.encode_snapshot(snapshot),
        )

    def store_late_appends(self) -> None:
        """Stores the appends delayed by the fault STORED_LATE."""
        late, self._late = self._late, []
        for stream, record_id, data in late:
            self.store(stream, record_id, data)

    def read_now(
        self, stream: str, after: int, limit: int
    ) -> platform_log.ReadResult:
        """Returns the result of a read, without faults."""
        records = self.streams[stream]
        start = bisect.bisect_right(
            records,
            max(after, self.first_offset[stream] - 1),
            key=lambda rec: rec.offset,
        )
        found = records[start : start + min(limit, self.max_records_per_read)]
        next_offset = found[-1].offset + 1 if found else len(records) + 1
        return platform_log.ReadResult(
            self.first_offset[stream], next_offset, list(found)
        )

    async def append(self, stream: str, record_id: str, data: str) -> int:
        await asyncio.sleep(0)
        if self.down:
            raise errors.PlatformError("down", step="append", peer="log")
        callback, self.before_append = self.before_append, None
        if callback is not None:
            callback()
        fault = self.faults.pop(0) if self.faults else ""
        if fault == RATE_LIMITED:
            raise errors.RateLimitedError(
                "limit", step="append", peer="log", retry_after_s=3.0
            )
        if fault == STORED_LATE:
            self._late.append((stream, record_id, data))
        if fault in (STORED_LATE, NOT_STORED):
            raise errors.AppendUnknownError("cut", step="append", peer="log")
        offset = self.store(stream, record_id, data)
        callback, self.after_append = self.after_append, None
        if callback is not None:
            callback()
        if fault == ANSWER_LOST:
            raise errors.AppendUnknownError("cut", step="append", peer="log")
        return offset

    async def read(
        self, stream: str, after: int, limit: int
    ) -> platform_log.ReadResult:
        await asyncio.sleep(0)
        self.reads += 1
        fault = self.read_faults.pop(0) if self.read_faults else False
        if self.down or self.reads_down or fault:
            raise errors.PlatformError("down", step="read", peer="log")
        return self.read_now(stream, after, limit)


class FakeTime:
    """Monotonic clock that is advanced by `sleep`.

    Attributes:
        now: Time of the clock in seconds.
        scheduled: Callbacks that `sleep` calls when their time is reached.
    """

    def __init__(self) -> None:
        self.now = 0.0
        self.scheduled: list[tuple[float, Callable[[], None]]] = []

    def clock(self) -> float:
        return self.now

    async def sleep(self, seconds: float) -> None:
        await asyncio.sleep(0)
        self.now += seconds
        due = [
            callback for when, callback in self.scheduled if when <= self.now
        ]
        self.scheduled = [item for item in self.scheduled if item[0] > self.now]
        for callback in due:
            callback()
