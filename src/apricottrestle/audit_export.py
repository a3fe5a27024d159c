"""Export of the audit: joins entry and agent rows and lists what is missing.

Invariant: every batch that the stream retains is counted once, however often
it was appended; every gap that the batch numbers, the drop counts or the
retention show is listed.
"""

import collections
import zlib
from collections.abc import AsyncIterator, Iterator, Set
from typing import Final, Literal, NamedTuple

from apricottrestle import audit, platform_log, release_note

_READ_LIMIT: Final = 500
_TIME_SLACK_S: Final = 60.0
"""Rows can carry times later than their record's, as clocks differ."""

READ_MARGIN_S: Final = (
    release_note.MAX_TIME_LIMIT_S + audit.HEARTBEAT_INTERVAL_S
)
"""An export reads from so long before its time: the longest request, and any
writer that was cut off from the log for less than a day, show up in it."""

GapKind = Literal[
    "dropped_rows",
    "missing_batches",
    "open_end",
    "past_retention",
    "malformed_record",
]


class Selection(NamedTuple):
    """Which requests to export.

    Attributes:
        since: Start of the time to export, Unix seconds.
        until: End of it, exclusive. A request is exported whole when one of
            its rows lies partly in this time.
        part: Number of the part, from 0; see `parts`.
        parts: The requests are split by id into so many parts, so that an
            export of a large fleet fits into memory.
    """

    since: float
    until: float
    part: int = 0
    parts: int = 1


class Gap(NamedTuple):
    """Something that the audit can't tell.

    Attributes:
        kind: What is missing: rows dropped by the writer, whole batches, rows
            of a writer that ended without a final batch (or still runs),
            records past retention, or a record that can't be decoded.
        writer: Instance id, or "" when all are concerned.
        incarnation: Incarnation, or "".
        first_seq: First batch number concerned; 0 when not known.
        last_seq: Last batch number concerned; 0 when open.
        rows: Rows lost; -1 when not known.
        since: Earliest time that the rows concern, Unix seconds of the log;
            0 when not known.
        until: Latest time; 0 when open.
    """

    kind: GapKind
    writer: str
    incarnation: str
    first_seq: int
    last_seq: int
    rows: int
    since: float
    until: float


class WrittenRow(NamedTuple):
    """An audit row with its writer."""

    writer: str
    incarnation: str
    row: audit.AuditRow


class JoinedRequest(NamedTuple):
    """What entries and agents recorded of one request.

    Attributes:
        req_id: Request id.
        entries: Rows of entries, one for each entry that had the request; the
            last one in order of end saw its end.
        agents: Rows of agents, one for each attempt that reached one.
        missing: "" when both sides are there, "entry" without any entry's
            record, "agent" when an entry names an agent whose record of that
            attempt is not there.
    """

    req_id: str
    entries: list[WrittenRow]
    agents: list[WrittenRow]
    missing: Literal["", "entry", "agent"]


class Export(NamedTuple):
    """The export: requests in order of start, and gaps."""

    requests: list[JoinedRequest]
    gaps: list[Gap]


class _Seen(NamedTuple):
    seq: int
    time: float
    final: bool


def selected(
    record: platform_log.LogRecord, selection: Selection
) -> Iterator[str]:
    """Yields the ids of a record's requests that are selected."""
    batch = audit.decode(record.data)
    for row in batch.rows if batch else ():
        in_time = row.start < selection.until and row.end >= selection.since
        part = zlib.crc32(row.req_id.encode()) % selection.parts
        if in_time and part == selection.part:
            yield row.req_id


class Exporter:
    """Takes the records of the audit stream one by one."""

    def __init__(self, selection: Selection, req_ids: Set[str]) -> None:
        """Starts empty.

        Args:
            selection: Decides which gaps matter.
            req_ids: Requests to export; see `selected`.
        """
        self._selection = selection
        self._req_ids = req_ids
        self._sides: dict[str, tuple[list[WrittenRow], list[WrittenRow]]] = {}
        self._seen: dict[tuple[str, str], dict[int, _Seen]] = (
            collections.defaultdict(dict)
        )
        self._gaps: list[Gap] = []
        self._retained_from = 0.0
        self._read_from = 0.0

    def read_from(self, time: float) -> None:
        """Notes that records before a time, Unix seconds, were not read."""
        self._read_from = time

    def note_lost(self, until: float) -> None:
        """Notes that records before a time are past retention.

        Args:
            until: Time of the first record retained, Unix seconds; 0 when none
                is.
        """
        self._retained_from = until
        self._gaps.append(Gap("past_retention", "", "", 0, 0, -1, 0.0, until))

    def add(self, record: platform_log.LogRecord) -> None:
        """Adds one record; one that was appended twice counts once."""
        batch = audit.decode(record.data)
        if batch is None:
            self._gaps.append(
                Gap("malformed_record", "", "", 0, 0, -1, 0.0, record.time)
            )
            return
        seen = self._seen[(batch.writer, batch.incarnation)]
        if batch.seq in seen:
            return
        seen[batch.seq] = _Seen(batch.seq, record.time, batch.final)
        if batch.dropped:
            self._note_dropped(batch, record.time)
        for row in batch.rows:
            if row.req_id in self._req_ids:
                self._add_row(batch, row)

    def finish(self) -> Export:
        """Returns the export of all records added."""
        requests = [
            _joined(req_id, entries, agents)
            for req_id, (entries, agents) in self._sides.items()
        ]
        requests.sort(key=_start)
        gaps = [*self._gaps]
        for writer, seen in self._seen.items():
            first = _first_expected(seen, self._read_from)
            gaps += _sequence_gaps(writer, seen, first, self._retained_from)
        return Export(requests, [gap for gap in gaps if self._concerns(gap)])

    def _note_dropped(self, batch: audit.AuditBatch, time: float) -> None:
        previous = self._seen[(batch.writer, batch.incarnation)].get(
            batch.seq - 1
        )
        since = previous.time if previous else 0.0
        self._gaps.append(
            Gap(
                "dropped_rows",
                batch.writer,
                batch.incarnation,
                batch.seq,
                batch.seq,
                batch.dropped,
                since,
                time,
            )
        )

    def _add_row(self, batch: audit.AuditBatch, row: audit.AuditRow) -> None:
        entries, agents = self._sides.setdefault(row.req_id, ([], []))
        side = agents if batch.role == "agent" else entries
        side.append(WrittenRow(batch.writer, batch.incarnation, row))

    def _concerns(self, gap: Gap) -> bool:
        """Tells whether a gap may hide rows of the selected time."""
        chosen = self._selection
        if gap.until and gap.until + _TIME_SLACK_S < chosen.since:
            return False
        # A row is written at the end of a request, which may have run long.
        earliest = gap.since - release_note.MAX_TIME_LIMIT_S - _TIME_SLACK_S
        return earliest < chosen.until


async def export(
    log: platform_log.LogService,
    selection: Selection,
    *,
    read_all: bool = False,
) -> Export:
    """Reads the audit stream to its end and joins it.

    The stream is read twice, because rows of one request lie apart and only
    some of them may lie in the selected time. It is read from READ_MARGIN_S
    before that time on, or whole.

    Args:
        log: The log.
        selection: What to export.
        read_all: Read all records that the log retains.

    Raises:
        PlatformError: The log is not reachable; an export is never partial.
    """
    read_from = 0.0 if read_all else selection.since - READ_MARGIN_S
    start = await find_start_offset(log, read_from)
    req_ids: set[str] = set()
    async for result in _pages(log, start):
        for record in result.records:
            req_ids.update(selected(record, selection))
    exporter = Exporter(selection, req_ids)
    if start:
        exporter.read_from(read_from)
    after = start
    async for result in _pages(log, start):
        if result.first > after + 1:
            records = result.records
            exporter.note_lost(records[0].time if records else 0.0)
        for record in result.records:
            exporter.add(record)
            after = record.offset
    return exporter.finish()


async def find_start_offset(log: platform_log.LogService, time: float) -> int:
    """Returns an offset before which all records are older than a time.

    The log gives no access by time, so single records are probed: at doubling
    offsets first, then by bisection.
    """

    async def probe(after: int) -> int:
        """Returns the next record's offset if it is too old, else 0."""
        result = await log.read(platform_log.AUDIT_STREAM, after, 1)
        if result.records and result.records[0].time < time:
            return result.records[0].offset
        return 0

    # Records up to `low` are too old, the first one after `high` is not.
    low, high = 0, 0
    while old := await probe(high):
        low, high = old, 2 * old
    while low < high:
        middle = (low + high) // 2
        old = await probe(middle)
        if old:
            low = old
        else:
            high = middle
    return low


async def _pages(
    log: platform_log.LogService, after: int
) -> AsyncIterator[platform_log.ReadResult]:
    """Yields the answers of all reads, the empty one at the end included."""
    while True:
        result = await log.read(platform_log.AUDIT_STREAM, after, _READ_LIMIT)
        yield result
        if not result.records:
            return
        after = result.records[-1].offset


def _joined(
    req_id: str, entries: list[WrittenRow], agents: list[WrittenRow]
) -> JoinedRequest:
    entries.sort(key=lambda item: item.row.end)
    agents.sort(key=lambda item: item.row.attempt)
    missing: Literal["", "entry", "agent"] = ""
    if not entries:
        missing = "entry"
    elif any(_lacks_agent(item.row, agents) for item in entries):
        missing = "agent"
    return JoinedRequest(req_id, entries, agents, missing)


def _lacks_agent(row: audit.AuditRow, agents: list[WrittenRow]) -> bool:
    # An agent keeps no record of an attempt that it refused.
    if not row.peer or row.outcome == "not_run":
        return False
    # An agent doesn't number the attempts of a call; a call has no version.
    return not any(
        item.writer == row.peer
        and (not row.version or item.row.attempt == row.attempt)
        for item in agents
    )


def _start(joined: JoinedRequest) -> tuple[float, str]:
    rows = [*joined.entries, *joined.agents]
    return min(item.row.start for item in rows), joined.req_id


def _first_expected(seen: dict[int, _Seen], read_from: float) -> int:
    """Returns the batch number from which a writer's batches must be there."""
    first = min(seen)
    if not read_from:
        return 1
    is_late = seen[first].time - read_from > READ_MARGIN_S
    # A writer appends a batch each HEARTBEAT_INTERVAL_S at least, so the one
    # before it would have been read.
    return 0 if is_late and first > 1 else first


def _sequence_gaps(
    writer: tuple[str, str],
    seen: dict[int, _Seen],
    expected: int,
    retained_from: float,
) -> list[Gap]:
    gaps = []
    before = retained_from
    for seq in sorted(seen):
        if seq > expected:
            gaps.append(
                Gap(
                    "missing_batches",
                    *writer,
                    expected,
                    seq - 1,
                    -1,
                    before if expected > 1 else 0.0,
                    seen[seq].time,
                )
            )
        expected, before = seq + 1, seen[seq].time
    if not seen[expected - 1].final:
        gaps.append(Gap("open_end", *writer, expected, 0, -1, before, 0.0))
    return gaps
