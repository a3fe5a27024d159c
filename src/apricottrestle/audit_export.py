"""Export of the audit: joins entry and agent rows and lists what is missing.

Invariant: every batch that the stream retains is counted once, however often
it was appended; every gap that the batch numbers, the drop counts or the
retention show is listed.
"""

import collections
import zlib
from typing import Final, Literal, NamedTuple

import msgspec

from apricottrestle import audit, platform_log

_READ_LIMIT: Final = 500
_TIME_SLACK_S: Final = 60.0
"""Rows can carry times later than their record's, as clocks differ."""

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
        since: Least start, Unix seconds.
        until: Start below which a row is exported, Unix seconds.
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
        first_seq: First batch number concerned.
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
    """What entries and agent recorded of one attempt at one agent.

    Attributes:
        req_id: Request id.
        attempt: Attempt number.
        agent_id: Agent, "" for a request that reached none.
        entries: Rows of entries; two when the caller changed entries.
        agents: Rows of the agent.
        missing: "" when both sides are there (or no agent was involved), else
            the side without a record: "entry" or "agent".
    """

    req_id: str
    attempt: int
    agent_id: str
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


class Exporter:
    """Takes the records of the audit stream one by one."""

    def __init__(self, selection: Selection) -> None:
        """Starts empty."""
        self._selection = selection
        self._sides: dict[
            tuple[str, int, str], tuple[list[WrittenRow], list[WrittenRow]]
        ] = {}
        self._seen: dict[tuple[str, str], dict[int, _Seen]] = (
            collections.defaultdict(dict)
        )
        self._gaps: list[Gap] = []
        self._retained_from = 0.0

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
        try:
            batch = msgspec.json.decode(record.data, type=audit.AuditBatch)
        except (msgspec.DecodeError, UnicodeError):
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
            if self._selects(row):
                self._add_row(batch, row)

    def finish(self) -> Export:
        """Returns the export of all records added."""
        requests = [
            _joined(key, entries, agents)
            for key, (entries, agents) in self._sides.items()
        ]
        requests.sort(key=_start)
        gaps = [*self._gaps]
        for writer, seen in self._seen.items():
            gaps += _sequence_gaps(writer, seen, self._retained_from)
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

    def _selects(self, row: audit.AuditRow) -> bool:
        chosen = self._selection
        if not chosen.since <= row.start < chosen.until:
            return False
        part = zlib.crc32(row.req_id.encode()) % chosen.parts
        return part == chosen.part

    def _add_row(self, batch: audit.AuditBatch, row: audit.AuditRow) -> None:
        agent_id = batch.writer if batch.role == "agent" else row.peer
        key = (row.req_id, row.attempt, agent_id)
        entries, agents = self._sides.setdefault(key, ([], []))
        side = agents if batch.role == "agent" else entries
        side.append(WrittenRow(batch.writer, batch.incarnation, row))

    def _concerns(self, gap: Gap) -> bool:
        """Tells whether a gap may hide rows of the selected time."""
        chosen = self._selection
        if gap.until and gap.until + _TIME_SLACK_S < chosen.since:
            return False
        return gap.since - _TIME_SLACK_S < chosen.until or gap.since == 0.0


async def export(log: platform_log.LogService, selection: Selection) -> Export:
    """Reads the audit stream to its end and joins it.

    Raises:
        PlatformError: The log is not reachable; an export is never partial.
    """
    exporter = Exporter(selection)
    after = 0
    while True:
        result = await log.read(platform_log.AUDIT_STREAM, after, _READ_LIMIT)
        if result.first > after + 1:
            records = result.records
            exporter.note_lost(records[0].time if records else 0.0)
        if not result.records:
            return exporter.finish()
        for record in result.records:
            exporter.add(record)
        after = result.records[-1].offset


def _joined(
    key: tuple[str, int, str],
    entries: list[WrittenRow],
    agents: list[WrittenRow],
) -> JoinedRequest:
    req_id, attempt, agent_id = key
    missing: Literal["", "entry", "agent"] = ""
    if not entries:
        missing = "entry"
    elif agent_id and not agents:
        missing = "agent"
    return JoinedRequest(req_id, attempt, agent_id, entries, agents, missing)


def _start(joined: JoinedRequest) -> tuple[float, str, int, str]:
    rows = [*joined.entries, *joined.agents]
    start = min(item.row.start for item in rows)
    return start, joined.req_id, joined.attempt, joined.agent_id


def _sequence_gaps(
    writer: tuple[str, str], seen: dict[int, _Seen], retained_from: float
) -> list[Gap]:
    gaps = []
    expected, before = 1, retained_from
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
