"""Append-only log stand-in with rate limit, retention and outages.

Offsets start at 1. `first` is the offset after the last record that retention
removed from the stream, so a reader with `after + 1 < first` has missed
records. `next` is the offset of the next append; if `limit` truncated the
response, it is the offset after the last record of the response.
"""

import collections
import time
from typing import Final, NamedTuple

import msgspec

from apricottrestle_standins import web

_DEFAULT_LIMIT: Final = 1000
_UNLIMITED_S: Final = float("inf")


class LogSettings(
    msgspec.Struct, forbid_unknown_fields=True, kw_only=True, frozen=True
):
    """Settings of the log.

    Attributes:
        global_offsets: Whether the streams share one sequence of offsets.
        appends_per_s: Rate limit of appends to all streams; 0 is unlimited.
        append_burst: Burst size of the rate limit.
        retain_records: Records retained in each stream; 0 is unlimited.
        retain_s: Retention time of a record in seconds; 0 is unlimited.
        max_record_bytes: Maximum size of a record.
    """

    global_offsets: bool = False
    appends_per_s: float = 0.0
    append_burst: float = 10.0
    retain_records: int = 0
    retain_s: float = 0.0
    max_record_bytes: int = 4 * 1024 * 1024


class LogFaults(web.CommonFaults):
    """Faults of the log: separate outages of appends and reads."""

    append_outage: bool = False
    read_outage: bool = False


class AppendBody(msgspec.Struct):
    """Body of `POST /streams/<name>`."""

    id: str
    data: str


class Record(NamedTuple):
    """A record; `time` is its wall-clock time in seconds."""

    offset: int
    time: float
    id: str
    data: str


class ReadResponse(msgspec.Struct):
    """Response of `GET /streams/<name>`."""

    first: int
    next: int
    records: list[dict[str, object]]


class Stream:
    """The retained records of a stream, in offset order."""

    def __init__(self) -> None:
        """Creates an empty stream."""
        self.records: collections.deque[Record] = collections.deque()
        self.last_removed = 0
        self.last_offset = 0

    def retain(self, max_records: int, oldest: float) -> None:
        """Removes records over a maximum number, or older than a time."""
        rows = self.records
        while rows and (
            (max_records and len(rows) > max_records) or rows[0].time < oldest
        ):
            self.last_removed = rows.popleft().offset


class Log(web.Standin):
    """The log with all its streams."""

    def __init__(self, settings: LogSettings) -> None:
        """Creates a log without records."""
        super().__init__(LogFaults)
        self.settings = settings
        self.streams: dict[str, Stream] = collections.defaultdict(Stream)
        self.append_limit = web.TokenBucket(
            settings.appends_per_s, settings.append_burst
        )
        self._last_offset = 0

    @property
    def log_faults(self) -> LogFaults:
        """The fault settings, with their own type."""
        assert isinstance(self.faults, LogFaults)
        return self.faults

    def append(self, name: str, body: AppendBody, now: float) -> int:
        """Appends a record at wall-clock time `now`; returns its offset."""
        stream = self.streams[name]
        last = (
            self._last_offset
            if self.settings.global_offsets
            else stream.last_offset
        )
        offset = last + 1
        self._last_offset = max(self._last_offset, offset)
        stream.last_offset = offset
        stream.records.append(Record(offset, now, body.id, body.data))
        self._retain(stream, now)
        return offset

    def _retain(self, stream: Stream, now: float) -> None:
        keep_s = self.settings.retain_s or _UNLIMITED_S
        stream.retain(self.settings.retain_records, now - keep_s)

    def read(
        self, name: str, after: int, limit: int, now: float
    ) -> ReadResponse:
        """Returns up to `limit` records with offsets above `after`."""
        stream = self.streams[name] if name in self.streams else Stream()
        self._retain(stream, now)
        rows = [row for row in stream.records if row.offset > after]
        last = (
            self._last_offset
            if self.settings.global_offsets
            else stream.last_offset
        )
        if len(rows) > limit:
            rows = rows[:limit]
            last = rows[-1].offset if rows else after
        return ReadResponse(
            stream.last_removed + 1, last + 1, [row._asdict() for row in rows]
        )

    def start(self, host: str, port: int) -> int:
        """Starts the HTTP server; returns the port."""
        self.server, bound = web.make_server(self, _ROUTES, host, port)
        return bound

    def stop(self) -> None:
        """Stops accepting connections."""
        self.server.stop()


class StreamHandler(web.JsonHandler):
    """`POST` and `GET /streams/<name>`."""

    @property
    def log(self) -> Log:
        """The log that the handler serves."""
        assert isinstance(self.standin, Log)
        return self.standin

    def post(self, name: str) -> None:
        """Appends a record."""
        body = self.read_json(AppendBody)
        if self.log.log_faults.append_outage:
            self.fail(503, "appends are unavailable")
            return
        wait_s = self.log.append_limit.take(time.monotonic())
        if wait_s:
            self.fail(429, "over the append limit", retry_after_s=wait_s)
            return
        if len(body.data) > self.log.settings.max_record_bytes:
            self.fail(413, "record too long")
            return
        self.reply({"offset": self.log.append(name, body, time.time())})

    def get(self, name: str) -> None:
        """Reads records."""
        if self.log.log_faults.read_outage:
            self.fail(503, "reads are unavailable")
            return
        after = self.int_argument("after", 0)
        limit = self.int_argument("limit", _DEFAULT_LIMIT)
        self.reply(self.log.read(name, after, limit, time.time()))


_ROUTES: Final = [(r"/streams/(.+)", StreamHandler)]
