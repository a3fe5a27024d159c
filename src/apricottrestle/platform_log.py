"""The platform's append-only log: interface and HTTP client.

Invariant: `append` raises AppendUnknownError whenever the record may have been
stored. Any other PlatformError means that it was not stored.
"""

import abc
import asyncio
import urllib.parse
from collections.abc import Awaitable, Callable
from typing import Final, NamedTuple

import msgspec

from apricottrestle import errors, platform_http

RELEASE_STREAM: Final = "release"
DRAINS_STREAM: Final = "drains"
AUDIT_STREAM: Final = "audit"

MAX_READ_ATTEMPTS: Final = 3
READ_RETRY_DELAY_S: Final = 0.5
MAX_READ_RETRY_DELAY_S: Final = 5.0

_PEER: Final = "log"

SleepFunction = Callable[[float], Awaitable[None]]


class LogRecord(NamedTuple):
    """A record of a stream.

    Attributes:
        offset: Position in the stream, from 1, ascending.
        time: Time of the append by the log's clock, Unix seconds.
        record_id: Id chosen by the writer; the log doesn't check it.
        data: Content of the record.
    """

    offset: int
    time: float
    record_id: str
    data: str


class ReadResult(NamedTuple):
    """Result of a read.

    Attributes:
        first: First offset that the log still retains.
        next_offset: The log's `next`: an offset above those of all records
            returned. It doesn't show whether more records follow; the end of
            the stream is reached when a read returns no records.
        records: Records in ascending order of offset.
    """

    first: int
    next_offset: int
    records: list[LogRecord]


class LogService(abc.ABC):
    """Interface to append-only streams with limited retention."""

    @abc.abstractmethod
    async def append(self, stream: str, record_id: str, data: str) -> int:
        """Appends a record and returns its offset.

        Raises:
            AppendUnknownError: The response was lost; the record may be stored.
            RateLimitedError: The append limit was exceeded; not stored.
            PlatformError: Any other failure; not stored.
        """

    @abc.abstractmethod
    async def read(self, stream: str, after: int, limit: int) -> ReadResult:
        """Returns at most `limit` records with offsets above `after`.

        Raises:
            RateLimitedError: The read limit was exceeded.
            PlatformError: The log is unreachable or its response is malformed.
        """


class _AppendResponse(msgspec.Struct):
    offset: int


class _Record(msgspec.Struct):
    offset: int
    time: float
    id: str
    data: str


class _ReadResponse(msgspec.Struct):
    first: int
    next: int
    records: list[_Record]


class HttpLogService(LogService):
    """HTTP client of the log service."""

    def __init__(self, url: str, *, timeout_s: float = 2.0) -> None:
        """Creates the client; it connects at first use.

        Args:
            url: Base URL, "http://<ip>:<port>".
            timeout_s: Time limit of one call in seconds.
        """
        self._http = platform_http.PlatformHttpClient(url, _PEER, timeout_s)

    async def append(self, stream: str, record_id: str, data: str) -> int:
        """See LogService.append."""
        body = msgspec.json.encode({"id": record_id, "data": data})
        response = await self._http.call(
            "POST", _stream_path(stream), "append", body=body, appends=True
        )
        return platform_http.decode_append_response(
            response, _AppendResponse, _PEER
        ).offset

    async def read(self, stream: str, after: int, limit: int) -> ReadResult:
        """See LogService.read."""
        response = await self._http.call(
            "GET", f"{_stream_path(stream)}?after={after}&limit={limit}", "read"
        )
        decoded = platform_http.decode_response(
            response, _ReadResponse, "read", _PEER
        )
        records = [
            LogRecord(record.offset, record.time, record.id, record.data)
            for record in decoded.records
        ]
        return ReadResult(decoded.first, decoded.next, records)

    def close(self) -> None:
        """Closes the client's connections."""
        self._http.close()


class ReadRetryingLog(LogService):
    """Retries failed reads, for commands, which don't poll the log.

    Appends are not retried, because only the caller knows whether a repeated
    append is harmless.
    """

    def __init__(
        self, log: LogService, sleep: SleepFunction = asyncio.sleep
    ) -> None:
        """Wraps a log service.

        Args:
            log: The log service to wrap.
            sleep: Sleeps for a number of seconds.
        """
        self._log = log
        self._sleep = sleep

    async def append(self, stream: str, record_id: str, data: str) -> int:
        """See LogService.append."""
        return await self._log.append(stream, record_id, data)

    async def read(self, stream: str, after: int, limit: int) -> ReadResult:
        """See LogService.read."""
        for _ in range(MAX_READ_ATTEMPTS - 1):
            try:
                return await self._log.read(stream, after, limit)
            except errors.RateLimitedError as exc:
                await self._sleep(
                    min(exc.retry_after_s, MAX_READ_RETRY_DELAY_S)
                )
            except errors.PlatformError:
                await self._sleep(READ_RETRY_DELAY_S)
        return await self._log.read(stream, after, limit)


def _stream_path(stream: str) -> str:
    return f"/streams/{urllib.parse.quote(stream, safe='/')}"
