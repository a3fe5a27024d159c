"""HTTP client of the platform's store, which offers keyed topics of a log.

A record in a keyed topic replaces earlier records of the same key.
"""

import base64
import logging
import struct
import time
import urllib.parse
from collections.abc import Iterator
from typing import Final, NamedTuple, TypeVar

import msgspec
from tornado import httpclient

from apricottrestle import decoding, errors, metrics, platform_http
from apricottrestle.gateway import (
    crash_evidence,
    evacuations,
    store,
    upstream_list,
)
from apricottrestle.platform import codec, names

CALL_TIMEOUT_S: Final = 1.0
"""Timeout of a call; a healthy store responds within milliseconds."""

WAIT_MARGIN_S: Final = 0.7
"""Time by which the client's timeout of a long poll exceeds the time for which
the store may hold it open."""

READ_MAX_KB: Final = 1_024
"""Size limit of a page of records, as sent in the request to the store."""

_PEER: Final = "store"
_OFFSETS_HEADER: Final = struct.Struct(">QQ")
_LENGTH_PREFIX: Final = struct.Struct(">I")
_HTTP_GONE: Final = 410
_LOG: Final = logging.getLogger(__name__)

_Record = TypeVar("_Record")


class _Item(msgspec.Struct):
    key: str
    # Base64 of the record's value.
    value: str | None = None
    offset: int = 0


class _NewestPage(msgspec.Struct):
    items: list[_Item]
    end: int
    has_more: bool = False


class _Answer(NamedTuple):
    """Body of a response, and the number of the store's history."""

    body: bytes
    history: int


class KeyedRecord(NamedTuple):
    """A record of a keyed topic; a value of None deletes the key."""

    key: str
    value: bytes | None
    offset: int


def decode_records(body: bytes, offset: int) -> Iterator[KeyedRecord]:
    """Yields the records in the response to a read of a keyed topic.

    Args:
        body: The response.
        offset: Offset of its first record.

    Invalid UTF-8 in a key is decoded to replacement characters; such a key
    matches none that the gateway uses.

    Raises:
        PlatformError: The framing is malformed.
    """
    position = _OFFSETS_HEADER.size
    while position < len(body):
        if position + _LENGTH_PREFIX.size > len(body):
            raise _malformed_response("truncated record length")
        (size,) = _LENGTH_PREFIX.unpack_from(body, position)
        position += _LENGTH_PREFIX.size
        content = body[position : position + size]
        if len(content) < size or size < 1:
            raise _malformed_response("truncated record")
        position += size
        end = 1 + content[0]
        key = content[1:end].decode("utf-8", "replace")
        yield KeyedRecord(key, content[end:] or None, offset)
        offset += 1


def encode_record(key: str, value: bytes) -> bytes:
    """Encodes a record of a keyed topic, with its framing."""
    name = key.encode()
    content = bytes([len(name)]) + name + value
    return _LENGTH_PREFIX.pack(len(content)) + content


class StoreClient(store.FleetStore):
    """HTTP client of the platform's store."""

    def __init__(self, address: str) -> None:
        """Creates the client; it connects at first use.

        Args:
            address: "ip:port" of the store.
        """
        self._http = platform_http.PlatformHttpClient(
            f"http://{address}", _PEER, CALL_TIMEOUT_S
        )

    def set_address(self, address: str) -> None:
        """Sets the address of the store that later calls use."""
        self._http.close()
        self._http = platform_http.PlatformHttpClient(
            f"http://{address}", _PEER, CALL_TIMEOUT_S
        )

    async def read_config(self) -> store.ConfigRead:
        """See FleetStore.read_config."""
        records, end = await self._read_newest(names.CONFIG_TOPIC)
        return self._select_newest_config(records, end)

    async def wait_for_config(
        self, position: store.Position, wait_s: float
    ) -> store.ConfigRead:
        """See FleetStore.wait_for_config."""
        records, end = await self._read_from(
            names.CONFIG_TOPIC, position, wait_s
        )
        return self._select_newest_config(records, end)

    async def read_upstreams(self) -> store.UpstreamsRead:
        """See FleetStore.read_upstreams."""
        records, end = await self._read_newest(names.UPSTREAMS_TOPIC)
        return store.UpstreamsRead(_decode_upstreams(records), end)

    async def read_upstream_changes(
        self, position: store.Position
    ) -> store.UpstreamsRead:
        """See FleetStore.read_upstream_changes."""
        records, end = await self._read_from(
            names.UPSTREAMS_TOPIC, position, 0.0
        )
        return store.UpstreamsRead(_decode_upstreams(records), end)

    async def announce(self, entry: store.GatewayEntry) -> int:
        """See FleetStore.announce."""
        return await self._append(
            names.GATEWAYS_TOPIC,
            entry.instance_id,
            msgspec.json.encode(entry),
            "announce",
        )

    async def read_gateways(self) -> list[store.GatewayEntry]:
        """See FleetStore.read_gateways."""
        return await self._read_own(names.GATEWAYS_TOPIC, store.GatewayEntry)

    async def read_crashes(self) -> list[crash_evidence.CrashReport]:
        """See FleetStore.read_crashes."""
        return await self._read_own(
            names.CRASHES_TOPIC, crash_evidence.CrashReport
        )

    async def save_crash(self, report: crash_evidence.CrashReport) -> None:
        """See FleetStore.save_crash."""
        await self._append(
            names.CRASHES_TOPIC,
            report.crash_id,
            msgspec.json.encode(report),
            "save",
        )

    async def delete_crash(self, crash_id: str) -> None:
        """See FleetStore.delete_crash."""
        await self._append(names.CRASHES_TOPIC, crash_id, b"", "delete")

    async def _append(
        self, topic: str, key: str, value: bytes, step: str
    ) -> int:
        """Appends a record to a keyed topic; an empty value deletes the key.

        Returns:
            Number of the history that has the record.
        """
        query = urllib.parse.urlencode({"topic": topic, "part": 0})
        answer = await self._call(
            "POST",
            f"{names.LOG_APPEND_PATH}?{query}",
            step,
            body=encode_record(key, value),
            appends=True,
        )
        return answer.history

    async def _read_own(self, topic: str, kind: type[_Record]) -> list[_Record]:
        """Returns the records of a topic that only gateways write to."""
        records, _ = await self._read_newest(topic)
        decoded = []
        for record in records:
            if record.value is None:
                continue
            try:
                decoded.append(msgspec.json.decode(record.value, type=kind))
            except decoding.DECODE_ERRORS as exc:
                _LOG.warning(
                    "ignored a malformed record in the store",
                    extra={
                        "topic": topic,
                        "key": record.key,
                        "reason": str(exc),
                    },
                )
        return decoded

    def close(self) -> None:
        """See FleetStore.close."""
        self._http.close()

    async def _call(
        self,
        method: str,
        path: str,
        step: str,
        *,
        body: bytes | None = None,
        appends: bool = False,
        timeout_s: float | None = None,
    ) -> _Answer:
        """Makes one call and records its latency.

        See PlatformHttpClient.fetch.
        """
        started = time.monotonic()
        outcome = "failed"
        try:
            response = await self._http.fetch(
                method,
                path,
                step,
                body=body,
                appends=appends,
                timeout_s=timeout_s,
            )
            outcome = "answered"
        finally:
            metrics.STORE_SECONDS.labels(step, outcome).observe(
                time.monotonic() - started
            )
        return _Answer(response.body, _parse_history(response))

    async def _read_newest(
        self, topic: str
    ) -> tuple[list[KeyedRecord], store.Position]:
        """Returns the newest record of each key, and the position to read from.

        The pages aren't one snapshot. Later reads therefore start at the end
        position in the first page, so that no record written while the pages
        were read is missed; some records are read twice.

        Raises:
            HistoryLostError: A new history began between two pages.
        """
        records: list[KeyedRecord] = []
        start: store.Position | None = None
        after = ""
        while True:
            query = {"topic": topic, "part": "0"}
            if after:
                query["after"] = after
            answer = await self._call(
                "GET",
                f"{names.LOG_NEWEST_PATH}?{urllib.parse.urlencode(query)}",
                "read",
            )
            page = platform_http.decode_response(
                answer.body, _NewestPage, "read", _PEER
            )
            if start is None:
                start = store.Position(answer.history, page.end)
            _require_history(answer, start)
            records += [_decode_item(item) for item in page.items]
            if not page.has_more or not page.items:
                return records, start
            after = page.items[-1].key

    async def _read_from(
        self, topic: str, position: store.Position, wait_s: float
    ) -> tuple[list[KeyedRecord], store.Position]:
        query = urllib.parse.urlencode(
            {
                "topic": topic,
                "part": 0,
                "from": position.offset,
                "max_kb": READ_MAX_KB,
                "wait_ms": int(wait_s * 1000),
            }
        )
        try:
            answer = await self._call(
                "GET",
                f"{names.LOG_READ_PATH}?{query}",
                "read",
                timeout_s=max(CALL_TIMEOUT_S, wait_s + WAIT_MARGIN_S),
            )
        except errors.PlatformError as exc:
            if exc.status == _HTTP_GONE:
                raise store.HistoryLostError(
                    exc.message, step="read", peer=_PEER
                ) from exc
            raise
        _require_history(answer, position)
        if len(answer.body) < _OFFSETS_HEADER.size:
            raise _malformed_response("missing offsets")
        records = list(decode_records(answer.body, position.offset))
        return records, position._replace(offset=position.offset + len(records))

    def _select_newest_config(
        self, records: list[KeyedRecord], position: store.Position
    ) -> store.ConfigRead:
        newest = None
        for record in records:
            if record.key != names.CONFIG_KEY or record.value is None:
                continue
            try:
                config = codec.decode_config(record.value)._replace(
                    history=position.history, offset=record.offset
                )
            except errors.PlatformError as exc:
                _LOG.error(
                    "ignored a malformed configuration in the store",
                    extra={"reason": str(exc)},
                )
                continue
            if newest is None or config.stamp > newest.stamp:
                newest = config
        return store.ConfigRead(
            newest, position, _decode_evacuations(records, position)
        )


def _require_history(answer: _Answer, position: store.Position) -> None:
    """Checks that an answer belongs to the history of a position.

    Raises:
        HistoryLostError: It belongs to another one.
    """
    if answer.history != position.history:
        raise store.HistoryLostError(
            f"history {answer.history} in place of {position.history}",
            step="read",
            peer=_PEER,
        )


def _parse_history(response: httpclient.HTTPResponse) -> int:
    """Returns the number of the store's history; 0 if the store has none.

    Raises:
        PlatformError: The number is malformed, so that it isn't known to which
            history the response belongs.
    """
    text = response.headers.get(names.STORE_HISTORY, "0")
    if not (text.isascii() and text.isdigit()):
        raise _malformed_response(f"number of the history: {text[:40]!r}")
    return int(text)


def _decode_item(item: _Item) -> KeyedRecord:
    if item.value is None:
        return KeyedRecord(item.key, None, item.offset)
    try:
        return KeyedRecord(item.key, base64.b64decode(item.value), item.offset)
    except ValueError as exc:
        raise _malformed_response(
            f"value of key {item.key} is not base64"
        ) from exc


def _decode_evacuations(
    records: list[KeyedRecord], position: store.Position
) -> tuple[evacuations.Record, ...]:
    """Returns the evacuations among the records of the configuration's topic.

    The key alone names the data centre: an evacuation must not fail because of
    what else the operator wrote.
    """
    decoded = []
    for record in records:
        if not record.key.startswith(names.EVACUATION_PREFIX):
            continue
        data_centre = record.key.removeprefix(names.EVACUATION_PREFIX)
        if not 1 <= len(data_centre) <= codec.MAX_NAME_CHARS:
            _LOG.warning(
                "ignored an evacuation without a valid name",
                extra={
                    "key": record.key[: codec.MAX_NAME_CHARS],
                    "offset": record.offset,
                },
            )
            continue
        decoded.append(
            evacuations.Record(
                data_centre,
                evacuations.Stamp(position.history, record.offset),
                bool(record.value),
            )
        )
    return tuple(decoded)


def _decode_upstreams(
    records: list[KeyedRecord],
) -> list[tuple[str, upstream_list.UpstreamEntry | None]]:
    entries: list[tuple[str, upstream_list.UpstreamEntry | None]] = []
    for record in records:
        entry = None
        if record.value is not None:
            try:
                entry = codec.decode_upstream(record.key, record.value)
            except errors.PlatformError as exc:
                _LOG.warning(
                    "malformed upstream entry; treated as a removal",
                    extra={"reason": str(exc)},
                )
        entries.append((record.key, entry))
    return entries


def _malformed_response(reason: str) -> errors.PlatformError:
    return errors.PlatformError(
        f"malformed response: {reason}", step="read", peer=_PEER
    )
