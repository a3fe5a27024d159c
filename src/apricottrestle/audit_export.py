"""Export of the audit stream: joins entry and agent rows and lists the gaps.

Invariant: every batch that the stream retains is counted once, however often
it was appended; every gap that the batch numbers, the drop counts or the
retention reveal is listed.
"""

import collections
import zlib
from collections.abc import AsyncIterator, Iterator, Set
from typing import Final, Literal, NamedTuple

from apricottrestle import audit, platform_log, release_note

_MAX_READ_RECORDS: Final = 500
_MAX_CLOCK_SKEW_S: Final = 60.0
"""Assumed maximum difference between the clocks of a writer and of the log, by
which the times of a row may be later than its record's."""

READ_MARGIN_S: Final = (
    release_note.MAX_TIME_LIMIT_S + audit.HEARTBEAT_INTERVAL_S
)
"""An export starts reading this long before the selected time, to include the
rows of the longest request and all writers that could not reach the log for
less than a day."""

GapKind = Literal[
    "dropped_rows",
    "missing_batches",
    "open_end",
    "past_retention",
    "malformed_record",
]


class Selection(NamedTuple):
    """Selects the requests to export.

    Attributes:
        since: Start of the time interval, Unix seconds.
        until: End of the interval, exclusive. All rows of a request are
            exported if one of them overlaps the interval.
        part: Number of the part to export, from 0.
        parts: Number of parts into which the requests are split by a hash of
            their ids, so that an export of a large fleet fits into memory.
    """

    since: float
    until: float
    part: int = 0
    parts: int = 1


class Gap(NamedTuple):
    """Rows that are, or may be, missing from the audit stream.

    Attributes:
        kind: What is missing: rows dropped by the writer, whole batches, rows
            of a writer that ended without a final batch (or still runs),
            records past retention, or a record that can't be decoded.
        writer: Instance id, or "" if the gap affects all writers.
        incarnation: Incarnation of the writer, or "".
        first_seq: Number of the first affected batch; 0 if not known.
        last_seq: Number of the last affected batch; 0 if not known or if the
            gap has no end.
        rows: Number of lost rows; -1 if not known.
        since: Log time from which rows may be missing, Unix seconds; 0 if not
            known.
        until: Log time until which rows may be missing; 0 if the gap has no
            end.
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
    """Rows that entries and agents recorded of one request.

    Attributes:
        req_id: Request id.
        entries: Rows of entries in order of end time, one for each entry that
            handled the request; the last row is of the entry that finished it.
        agents: Rows of agents in order of attempt, one for each attempt that
            reached an agent.
        missing: "entry" if there is no entry's row, "agent" if an entry's row
            names an agent whose row of that attempt is missing, else "".
    """

    req_id: str
    entries: list[WrittenRow]
    agents: list[WrittenRow]
    missing: Literal["", "entry", "agent"]


class Export(NamedTuple):
    """Result of an export.

    Attributes:
        requests: Selected requests in order of start.
        gaps: Gaps that may affect the selected time.
    """

    requests: list[JoinedRequest]
    gaps: list[Gap]


class _BatchSummary(NamedTuple):
    """Properties of a batch that the search for gaps needs.

    Attributes:
        seq: Number of the batch.
        time: Time of the batch's log record, Unix seconds.
        final: True on the last batch of a clean stop.
    """

    seq: int
    time: float
    final: bool


def selected_request_ids(
    record: platform_log.LogRecord, selection: Selection
) -> Iterator[str]:
    """Yields the ids of the selected requests in a record's batch."""
    batch = audit.decode(record.data)
    for row in batch.rows if batch else ():
        overlaps = row.start < selection.until and row.end >= selection.since
        part = zlib.crc32(row.req_id.encode()) % selection.parts
        if overlaps and part == selection.part:
            yield row.req_id


class Exporter:
    """Builds an export from the records of the audit stream."""

    def __init__(self, selection: Selection, req_ids: Set[str]) -> None:
        """Creates an exporter without records.

        Args:
            selection: Determines which gaps are listed.
            req_ids: Ids of the requests to export, from `selected_request_ids`.
        """
        self._selection = selection
        self._req_ids = req_ids
        self._rows_by_request: dict[
            str, tuple[list[WrittenRow], list[WrittenRow]]
        ] = {}
        self._batches: dict[tuple[str, str], dict[int, _BatchSummary]] = (
            collections.defaultdict(dict)
        )
        self._gaps: list[Gap] = []
        self._retained_from = 0.0
        self._read_from = 0.0

    def set_read_start(self, time: float) -> None:
        """Sets the time, in Unix seconds, before which no record was read."""
        self._read_from = time

    def add_retention_gap(self, until: float) -> None:
        """Adds a gap for the records that are past retention.

        Args:
            until: Time of the first retained record, Unix seconds; 0 if there
                is none.
        """
        self._retained_from = until
        self._gaps.append(Gap("past_retention", "", "", 0, 0, -1, 0.0, until))

    def add(self, record: platform_log.LogRecord) -> None:
        """Adds one record; a batch that was appended twice counts once."""
        batch = audit.decode(record.data)
        if batch is None:
            self._gaps.append(
                Gap("malformed_record", "", "", 0, 0, -1, 0.0, record.time)
            )
            return
        seen = self._batches[(batch.writer, batch.incarnation)]
        if batch.seq in seen:
            return
        seen[batch.seq] = _BatchSummary(batch.seq, record.time, batch.final)
        if batch.dropped:
            self._add_dropped_rows_gap(batch, record.time)
        for row in batch.rows:
            if row.req_id in self._req_ids:
                self._add_row(batch, row)

    def finish(self) -> Export:
        """Returns the export of the added records."""
        requests = [
            _join_rows(req_id, entries, agents)
            for req_id, (entries, agents) in self._rows_by_request.items()
        ]
        requests.sort(key=_start_key)
        gaps = [*self._gaps]
        for writer, seen in self._batches.items():
            first = _first_expected(seen, self._read_from)
            gaps += _sequence_gaps(writer, seen, first, self._retained_from)
        return Export(
            requests, [gap for gap in gaps if self._may_affect_selection(gap)]
        )

    def _add_dropped_rows_gap(
        self, batch: audit.AuditBatch, time: float
    ) -> None:
        previous = self._batches[(batch.writer, batch.incarnation)].get(
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
        entries, agents = self._rows_by_request.setdefault(row.req_id, ([], []))
        rows = agents if batch.role == "agent" else entries
        rows.append(WrittenRow(batch.writer, batch.incarnation, row))

    def _may_affect_selection(self, gap: Gap) -> bool:
        """Returns whether rows of the selected time may be missing in a gap."""
        selection = self._selection
        if gap.until and gap.until + _MAX_CLOCK_SKEW_S < selection.since:
            return False
        # A row is written when its request ends, up to the longest time limit
        # after its start.
        earliest = gap.since - release_note.MAX_TIME_LIMIT_S - _MAX_CLOCK_SKEW_S
        return earliest < selection.until


async def export(
    log: platform_log.LogService,
    selection: Selection,
    *,
    read_all: bool = False,
) -> Export:
    """Reads the audit stream to its end and joins the rows of each request.

    The stream is read twice, because the rows of one request are in different
    records and only some of them may overlap the selected time: the first pass
    selects the requests, the second collects their rows. Reading starts
    READ_MARGIN_S before the selected time unless `read_all` is set.

    Args:
        log: Log service of the platform.
        selection: Requests to export.
        read_all: Whether to read all records that the log retains.

    Raises:
        PlatformError: The log is not reachable. An export is never partial.
    """
    read_from = 0.0 if read_all else selection.since - READ_MARGIN_S
    start = await find_start_offset(log, read_from)
    req_ids: set[str] = set()
    async for result in _read_pages(log, start):
        for record in result.records:
            req_ids.update(selected_request_ids(record, selection))
    exporter = Exporter(selection, req_ids)
    if start:
        exporter.set_read_start(read_from)
    after = start
    async for result in _read_pages(log, start):
        if result.first > after + 1:
            records = result.records
            exporter.add_retention_gap(records[0].time if records else 0.0)
        for record in result.records:
            exporter.add(record)
            after = record.offset
    return exporter.finish()


async def find_start_offset(log: platform_log.LogService, time: float) -> int:
    """Returns an offset up to which all records are older than a time.

    The log has no index by time, so single records are probed, first at
    doubling offsets and then by bisection.

    Args:
        log: Log service of the platform.
        time: Time in Unix seconds.
    """

    async def older_offset(after: int) -> int:
        """Returns the next record's offset if it is older, else 0."""
        result = await log.read(platform_log.AUDIT_STREAM, after, 1)
        if result.records and result.records[0].time < time:
            return result.records[0].offset
        return 0

    # Records up to `low` are older, the first one after `high` is not.
    low, high = 0, 0
    while offset := await older_offset(high):
        low, high = offset, 2 * offset
    while low < high:
        middle = (low + high) // 2
        offset = await older_offset(middle)
        if offset:
            low = offset
        else:
            high = middle
    return low


async def _read_pages(
    log: platform_log.LogService, after: int
) -> AsyncIterator[platform_log.ReadResult]:
    """Yields the results of all reads, including the empty last one."""
    while True:
        result = await log.read(
            platform_log.AUDIT_STREAM, after, _MAX_READ_RECORDS
        )
        yield result
        if not result.records:
            return
        after = result.records[-1].offset


def _join_rows(
    req_id: str, entries: list[WrittenRow], agents: list[WrittenRow]
) -> JoinedRequest:
    entries.sort(key=lambda item: item.row.end)
    agents.sort(key=lambda item: item.row.attempt)
    missing: Literal["", "entry", "agent"] = ""
    if not entries:
        missing = "entry"
    elif any(_lacks_agent_row(item.row, agents) for item in entries):
        missing = "agent"
    return JoinedRequest(req_id, entries, agents, missing)


def _lacks_agent_row(row: audit.AuditRow, agents: list[WrittenRow]) -> bool:
    # An agent writes no row for an attempt that it refused.
    if not row.peer or row.outcome == "not_run":
        return False
    # Agents don't count the attempts of calls, so attempts of calls aren't
    # compared. A row without a version is that of a call.
    return not any(
        item.writer == row.peer
        and (not row.version or item.row.attempt == row.attempt)
        for item in agents
    )


def _start_key(joined: JoinedRequest) -> tuple[float, str]:
    rows = [*joined.entries, *joined.agents]
    return min(item.row.start for item in rows), joined.req_id


def _first_expected(batches: dict[int, _BatchSummary], read_from: float) -> int:
    """Returns the batch number from which a writer's batches are expected.

    Args:
        batches: Batches of the writer by number.
        read_from: Time from which the stream was read, 0 for all of it.

    Returns:
        The number; 0 if an unknown number of batches before the first one is
        missing.
    """
    first = min(batches)
    if not read_from:
        return 1
    # A writer appends a batch at least every HEARTBEAT_INTERVAL_S. If its first
    # batch was read this late, the previous ones should have been read too.
    is_late = batches[first].time - read_from > READ_MARGIN_S
    return 0 if is_late and first > 1 else first


def _sequence_gaps(
    writer: tuple[str, str],
    batches: dict[int, _BatchSummary],
    expected: int,
    retained_from: float,
) -> list[Gap]:
    gaps = []
    previous_time = retained_from
    for seq in sorted(batches):
        if seq > expected:
            gaps.append(
                Gap(
                    "missing_batches",
                    *writer,
                    expected,
                    seq - 1,
                    -1,
                    previous_time if expected > 1 else 0.0,
                    batches[seq].time,
                )
            )
        expected, previous_time = seq + 1, batches[seq].time
    if not batches[expected - 1].final:
        gaps.append(
            Gap("open_end", *writer, expected, 0, -1, previous_time, 0.0)
        )
    return gaps
