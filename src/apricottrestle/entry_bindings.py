"""Bindings of keys that callers choose to issued keys, on the log.

The first record of a name wins. Every entry reads the streams to their end
before it trusts that a name is not bound.

Invariant: the log holds no authentication code, so a reader of it can't use a
key; the code is computed again from the fleet's secret.
"""

import contextlib
from typing import Final

import msgspec

from apricottrestle import call_keys, errors, platform_log

STREAM_COUNT: Final = 16
MAX_CACHED_PER_STREAM: Final = 4_096
"""Bindings kept per stream; older ones are read from the log again."""

_READ_LIMIT_RECORDS: Final = 1_000
_DECODER: Final = msgspec.json.Decoder(call_keys.IssuedKey)


def stream_name_of(name: str) -> str:
    """Returns the stream of a binding; `name` is a hexadecimal digest."""
    return f"bindings/{int(name[:8], 16) % STREAM_COUNT}"


class _StreamCache:
    """What is known of one stream.

    Attributes:
        after: Offset up to which the stream has been read.
        bound: Records by name, oldest first.
        dropped: Offset of the newest record dropped from `bound`.
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
    """Reads and writes bindings."""

    def __init__(self, log: platform_log.LogService, secret: bytes) -> None:
        """Stores the log and the secret of issued keys."""
        self._log = log
        self._secret = secret
        self._streams: dict[str, _StreamCache] = {}

    async def find(self, name: str) -> str:
        """Returns the issued key that a name is bound to, or "".

        Raises:
            PlatformError: The log does not answer, so nothing is known.
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
        """Binds a name unless it is bound, and returns the key that it has.

        Raises:
            PlatformError: The log does not answer; the binding may be stored.
        """
        key = call_keys.parse(issued, self._secret)
        data = msgspec.json.encode(key).decode()
        # After a lost answer the read shows whether the binding was stored.
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
            # A short page isn't the end: the log may limit its answers too.
            if not result.records:
                return

    async def _find_evicted(
        self, stream_name: str, name: str, upto: int
    ) -> platform_log.LogRecord | None:
        """Looks for a name among the records that are not kept."""
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
