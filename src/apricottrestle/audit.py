"""Buffer of a process's audit rows, which are appended in numbered batches.

Invariant: rows added = rows in confirmed batches + rows in the buffer + dropped
rows, and each dropped row is counted in the `dropped` field of a batch. A batch
keeps its number and content until it is confirmed, so that a retried append is
recognised.
"""

import collections
import time
from collections.abc import Callable
from typing import Final, Literal, NamedTuple

import msgspec

from apricottrestle import metrics, platform_log

DEFAULT_MAX_ROWS: Final = 100_000
ENTRY_FLUSH_ROWS: Final = 512
ENTRY_FLUSH_INTERVAL_S: Final = 5.0
AGENT_FLUSH_INTERVAL_S: Final = 60.0
HEARTBEAT_INTERVAL_S: Final = 600.0
"""A writer without rows appends an empty batch after this time, so that an
export finds all writers without reading the stream from its start."""
_MAX_BATCH_ROWS: Final = 2_048

Role = Literal["entry", "agent"]


class AuditRow(NamedTuple):
    """Record of one attempt of a request or call by one process.

    Attributes:
        req_id: Request id.
        attempt: Attempt number, from 1.
        team: Team name.
        priority: Priority class name.
        upstream: Model or service name.
        version: Model version; empty for a service.
        config_rev: Configuration revision under which the request was admitted
            (entry) or accepted (agent).
        peer: Agent that served the attempt (entry's row) or entry that sent it
            (agent's row); empty if none was involved.
        start: Start, Unix seconds by the writer's clock.
        end: End, Unix seconds by the writer's clock.
        outcome: "completed", "not_run" or "unknown".
        tokens: Tokens delivered (entry) or generated (agent).
    """

    req_id: str
    attempt: int
    team: str
    priority: str
    upstream: str
    version: str
    config_rev: int
    peer: str
    start: float
    end: float
    outcome: str
    tokens: int


class AuditBatch(NamedTuple):
    """One record of the audit stream.

    Attributes:
        writer: Instance id.
        role: Role of the writer.
        incarnation: Incarnation of the writer.
        seq: Number of the batch within the incarnation, from 1 without gaps.
        dropped: Number of rows dropped since the previous batch; they are not
            recoverable.
        final: True on the last batch of a clean stop.
        rows: Rows in the order in which they were added.
    """

    writer: str
    role: Role
    incarnation: str
    seq: int
    dropped: int
    final: bool
    rows: list[AuditRow]


class AuditBuffer:
    """Bounded buffer of rows that the log hasn't acknowledged.

    It is bounded because the log may be unavailable for a long time.
    """

    def __init__(
        self,
        writer: str,
        role: Role,
        incarnation: str,
        max_rows: int = DEFAULT_MAX_ROWS,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Creates an empty buffer.

        Args:
            writer: Instance id.
            role: Role of the writer.
            incarnation: Incarnation of the writer.
            max_rows: Upper bound on the rows in the buffer; further rows are
                dropped.
            clock: Returns monotonic time in seconds.
        """
        self._clock = clock
        self._last_batch_at = clock()
        self._writer = writer
        self._role: Role = role
        self._incarnation = incarnation
        self._max_rows = max_rows
        self._rows: collections.deque[AuditRow] = collections.deque()
        self._dropped = 0
        self._seq = 0
        self._closed = False
        self._unconfirmed: AuditBatch | None = None

    def __len__(self) -> int:
        """Returns the number of rows, including the unconfirmed batch's."""
        unconfirmed = len(self._unconfirmed.rows) if self._unconfirmed else 0
        return len(self._rows) + unconfirmed

    def add(self, row: AuditRow) -> None:
        """Adds a row, or counts it as dropped when the buffer is full."""
        if len(self) >= self._max_rows:
            self._dropped += 1
            metrics.AUDIT_ROWS_DROPPED.inc()
            return
        self._rows.append(row)

    def close(self) -> None:
        """Lets the batch that empties the buffer be marked as final."""
        self._closed = True

    def take_batch(self, max_rows: int = _MAX_BATCH_ROWS) -> AuditBatch | None:
        """Returns the batch to append, or None if none is due.

        Append the first batch, which may be empty, when the process starts.
        The same batch is returned until `confirm` is called with its number.
        """
        if self._unconfirmed is None and self._is_batch_due():
            self._unconfirmed = self._make_batch(max_rows)
        return self._unconfirmed

    def confirm(self, seq: int) -> None:
        """Removes the unconfirmed batch after the log acknowledged it."""
        if self._unconfirmed is None or self._unconfirmed.seq != seq:
            return
        if self._unconfirmed.final:
            self._closed = False
        self._unconfirmed = None

    def _is_batch_due(self) -> bool:
        # The first batch is due at once, even if empty, so that an export knows
        # of a writer that dies before it appends its first rows.
        if self._seq == 0 or self._closed:
            return True
        is_idle = self._clock() - self._last_batch_at >= HEARTBEAT_INTERVAL_S
        return bool(is_idle or self._rows or self._dropped)

    def _make_batch(self, max_rows: int) -> AuditBatch:
        count = min(max_rows, len(self._rows))
        rows = [self._rows.popleft() for _ in range(count)]
        dropped, self._dropped = self._dropped, 0
        self._seq += 1
        self._last_batch_at = self._clock()
        return AuditBatch(
            self._writer,
            self._role,
            self._incarnation,
            self._seq,
            dropped,
            self._closed and not self._rows,
            rows,
        )


def encode(batch: AuditBatch) -> str:
    """Encodes a batch as the data of a log record."""
    return msgspec.json.encode(batch).decode()


def decode(text: str) -> AuditBatch | None:
    """Decodes the data of a log record; returns None if it is malformed."""
    try:
        return msgspec.json.decode(text, type=AuditBatch)
    except (msgspec.DecodeError, UnicodeError):
        return None


def record_id(batch: AuditBatch) -> str:
    """Returns the id of the batch's log record."""
    return f"{batch.writer}/{batch.incarnation}/{batch.seq}"


async def append(log: platform_log.LogService, batch: AuditBatch) -> int:
    """Appends a batch to the audit stream and returns its offset.

    Raises:
        PlatformError: The append failed or its result is unknown, as for
            LogService.append; the caller keeps the batch and retries later.
    """
    return await log.append(
        platform_log.AUDIT_STREAM, record_id(batch), encode(batch)
    )
