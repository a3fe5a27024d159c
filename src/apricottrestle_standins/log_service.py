"""Append-only log stand-in with rate limit, retention and outages.

Offsets start at 1. `first` is the offset after the last one that retention
removed from the stream, so a reader with `after + 1 < first` has missed
records. `next` is the offset that the next append will get, or the one after
the last record of an answer that `limit` cut short.
"""

import collections
import time
from typing import Final, NamedTuple

import msgspec

from apricottrestle_standins import web

_DEFAULT_LIMIT: Final = 1000
_FOREVER_S: Final = float("inf")


class LogSettings(
    msgspec.Struct, forbid_unknown_fields=True, kw_only=True, frozen=True
):
    """Settings of the log.

    Attributes:
        global_offsets: Offsets count over all streams, not each alone.
        appends_per_s: Append limit of the whole log; 0 is none.
        append_burst: Appends at once under the limit.
        retain_records: Records kept in each stream; 0 is all.
        retain_s: Seconds that a record is kept; 0 is forever.
        max_record_bytes: Longest record.
    """

    global_offsets: bool = False
    appends_per_s: float = 0.0
    append_burst: float = 10.0
    retain_records: int = 0
    retain_s: float = 0.0
    max_record_bytes: int = 4 * 1024 * 1024


class LogFaults(web.CommonFaults):
    """Faults of the log: outages for appends and reads separately."""

    append_outage: bool = False
    read_outage: bool = False


class AppendBody(msgspec.Struct):
    """Body of `POST /streams/<name>`."""

    id: str
    data: str


class Record(NamedTuple):
    """A record; `time` is wall-clock seconds."""

    offset: int
    time: float
    id: str
    data: str


class ReadAnswer(msgspec.Struct):
    """Answer of `GET /streams/<name>`."""

    first: int
    next: int
    records: list[dict[str, object]]


class Stream:
    """Records of one stream in offset order."""

    def __init__(self) -> None:
        """Starts empty."""
        self.records: collections.deque[Record] = collections.deque()
        self.dropped = 0
        self.last = 0

    def retain(self, max_records: int, oldest: float) -> None:
        """Drops records over the number or older than a wall-clock time."""
        rows = self.records
        while rows and (
            (max_records and len(rows) > max_records) or rows[0].time < oldest
        ):
            self.dropped = rows.popleft().offset


class Log(web.Standin):
    """All streams."""

    def __init__(self, settings: LogSettings) -> None:
        """Starts without records."""
        super().__init__(LogFaults)
        self.settings = settings
        self.streams: dict[str, Stream] = collections.defaultdict(Stream)
        self.limit = web.TokenBucket(
            settings.appends_per_s, settings.append_burst
        )
        self._last = 0

    @property
    def log_faults(self) -> LogFaults:
        """The fault settings with the log's own fields."""
        assert isinstance(self.faults, LogFaults)
        return self.faults

    def append(self, name: str, body: AppendBody, now: float) -> int:
        """Appends a record at wall-clock time `now`; returns its offset."""
        stream = self.streams[name]
        last = self._last if self.settings.global_offsets else stream.last
        offset = last + 1
        self._last = max(self._last, offset)
        stream.last = offset
        stream.records.append(Record(offset, now, body.id, body.data))
        self._retain(stream, now)
        return offset

    def _retain(self, stream: Stream, now: float) -> None:
        keep_s = self.settings.retain_s or _FOREVER_S
        stream.retain(self.settings.retain_records, now - keep_s)

    def read(self, name: str, after: int, limit: int, now: float) -> ReadAnswer:
        """Returns up to `limit` records with offsets above `after`."""
        stream = self.streams[name] if name in self.streams else Stream()
        self._retain(stream, now)
        rows = [row for row in stream.records if row.offset > after]
        last = self._last if self.settings.global_offsets else stream.last
        if len(rows) > limit:
            rows = rows[:limit]
            last = rows[-1].offset if rows else after
        return ReadAnswer(
            stream.dropped + 1, last + 1, [row._asdict() for row in rows]
        )

    def start(self, host: str, port: int) -> int:
        """Serves on the running event loop; returns the port."""
        self.server, bound = web.make_server(self, _ROUTES, host, port)
        return bound

    def stop(self) -> None:
        """Stops accepting connections."""
        self.server.stop()


class StreamHandler(web.JsonHandler):
    """`POST` and `GET /streams/<name>`."""

    @property
    def log(self) -> Log:
        """The log of this handler."""
        assert isinstance(self.standin, Log)
        return self.standin

    def post(self, name: str) -> None:
        """Appends a record."""
        body = self.read_json(AppendBody)
        if self.log.log_faults.append_outage:
            self.fail(503, "appends are out of service")
            return
        wait_s = self.log.limit.take(time.monotonic())
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
            self.fail(503, "reads are out of service")
            return
        after = self.int_argument("after", 0)
        limit = self.int_argument("limit", _DEFAULT_LIMIT)
        self.reply(self.log.read(name, after, limit, time.time()))


_ROUTES: Final = [(r"/streams/(.+)", StreamHandler)]
