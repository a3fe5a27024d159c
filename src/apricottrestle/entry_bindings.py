"""Bindings of caller-chosen idempotency keys to issued keys, on the log.

The first record of a name is its binding; later ones are ignored. An entry
reads a stream to its end before it treats a name as not bound.

Invariant: the log contains no authentication code of an issued key, so a reader
of the log can't use the key. Entries compute the code from the fleet's secret.
"""

import contextlib
from typing import Final

import msgspec

from apricottrestle import call_keys, errors, platform_log

STREAM_COUNT: Final = 16
MAX_CACHED_PER_STREAM: Final = 4_096
"""Bindings cached per stream; older ones are read from the log again."""

_READ_LIMIT_RECORDS: Final = 1_000
_DECODER: Final = msgspec.json.Decoder(call_keys.IssuedKey)


def stream_name_of(name: str) -> str:
    """Returns the log stream of a name, which is a hexadecimal digest."""
    return f"bindings/{int(name[:8], 16) % STREAM_COUNT}"


class _StreamCache:
    """Cache of the newest bindings of one stream.

    Attributes:
        read_offset: Offset up to which the stream has been read.
        records: Binding records by name, oldest first.
        evicted_offset: Offset of the newest record evicted from `records`, or
            0.
    """

    def __init__(self) -> None:
        self.read_offset = 0
        self.records: dict[str, platform_log.LogRecord] = {}
        self.evicted_offset = 0

    def add(self, record: platform_log.LogRecord) -> None:
        self.read_offset = record.offset
        self.records.setdefault(record.record_id, record)
        if len(self.records) > MAX_CACHED_PER_STREAM:
            oldest = next(iter(self.records))
            self.evicted_offset = self.records.pop(oldest).offset


class Bindings:
    """Reads and writes bindings on the log."""

    def __init__(self, log: platform_log.LogService, secret: bytes) -> None:
        """Stores the log service and the HMAC secret of issued keys."""
        self._log = log
        self._secret = secret
        self._streams: dict[str, _StreamCache] = {}

    async def find(self, name: str) -> str:
        """Returns the issued key that a name is bound to, or "".

        Raises:
            PlatformError: The log does not answer or the binding is malformed.
        """
        stream_name = stream_name_of(name)
        stream = self._streams.setdefault(stream_name, _StreamCache())
        await self._catch_up(stream_name, stream)
        record = stream.records.get(name)
        if stream.evicted_offset:
            older = await self._find_evicted(
                stream_name, name, stream.evicted_offset
            )
            record = older or record
        if record is None:
            return ""
        return self._issued_key_text(record)

    async def bind(self, name: str, issued: str) -> str:
        """Binds a name unless it is bound, and returns the key it is bound to.

        Raises:
            PlatformError: The log does not answer; the binding may be stored.
        """
        key = call_keys.parse(issued, self._secret)
        data = msgspec.json.encode(key).decode()
        # If it is unknown whether the binding was stored, `find` shows it.
        with contextlib.suppress(errors.AppendUnknownError):
            await self._log.append(stream_name_of(name), name, data)
        bound = await self.find(name)
        if not bound:
            raise errors.PlatformError(
                "the binding was not stored", step="bind", peer="log"
            )
        return bound

    async def _catch_up(self, name: str, stream: _StreamCache) -> None:
        while True:
            result = await self._log.read(
                name, stream.read_offset, _READ_LIMIT_RECORDS
            )
            for record in result.records:
                if record.offset > stream.read_offset:
                    stream.add(record)
            # A short page isn't the end: the log may return fewer than the
            # limit.
            if not result.records:
                return

    async def _find_evicted(
        self, stream_name: str, name: str, upto: int
    ) -> platform_log.LogRecord | None:
        """Returns the first record of a name up to an offset, or None."""
        after = 0
        while after < upto:
            result = await self._log.read(
                stream_name, after, _READ_LIMIT_RECORDS
            )
            for record in result.records:
                if record.offset <= upto and record.record_id == name:
                    return record
            if not result.records:
                return None
            after = result.records[-1].offset
        return None

    def _issued_key_text(self, record: platform_log.LogRecord) -> str:
        try:
            key = _DECODER.decode(record.data)
        except msgspec.DecodeError as exc:
            raise errors.PlatformError(
                f"malformed binding at offset {record.offset}",
                step="bind",
                peer="log",
            ) from exc
        return call_keys.issue(key, self._secret)
