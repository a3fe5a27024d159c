"""HTTP client of the platform's store: keyed topics of its log."""

import base64
import logging
import struct
import time
import urllib.parse
from collections.abc import Iterator
from typing import Final, NamedTuple

import msgspec

from apricottrestle import errors, metrics, platform_http
from apricottrestle.gateway import store, upstream_list
from apricottrestle.platform import codec, names

CALL_TIMEOUT_S: Final = 1.0
"""Time for an answer; the store takes some milliseconds when in order."""

WAIT_MARGIN_S: Final = 0.7
"""Time added to a long poll's wait before the connection counts as silent."""

READ_MAX_KB: Final = 1_024

_PEER: Final = "store"
_OFFSETS: Final = struct.Struct(">QQ")
_LENGTH: Final = struct.Struct(">I")
_GONE: Final = 410
_LOG: Final = logging.getLogger(__name__)


class _Item(msgspec.Struct):
    key: str
    # Base64 of the record's value.
    value: str | None = None
    offset: int = 0


class _Newest(msgspec.Struct):
    items: list[_Item]
    end: int
    has_more: bool = False


class KeyedRecord(NamedTuple):
    """A record of a keyed topic; a value of None drops the key."""

    key: str
    value: bytes | None


def decode_records(body: bytes) -> Iterator[KeyedRecord]:
    """Yields the records of a read of a keyed topic.

    A key that isn't text is decoded with replacement characters: such a
    record names nothing that is known here.

    Raises:
        PlatformError: The framing is broken.
    """
    at = _OFFSETS.size
    while at < len(body):
        if at + _LENGTH.size > len(body):
            raise _broken("length cut off")
        (size,) = _LENGTH.unpack_from(body, at)
        at += _LENGTH.size
        content = body[at : at + size]
        if len(content) < size or size < 1:
            raise _broken("record cut off")
        at += size
        end = 1 + content[0]
        key = content[1:end].decode("utf-8", "replace")
        yield KeyedRecord(key, content[end:] or None)


def encode_record(key: str, value: bytes) -> bytes:
    """Returns the framed record of a keyed topic."""
    name = key.encode()
    content = bytes([len(name)]) + name + value
    return _LENGTH.pack(len(content)) + content


class StoreClient(store.FleetStore):
    """The platform's store over HTTP."""

    def __init__(self, address: str) -> None:
        """Prepares the client; it connects at first use.

        Args:
            address: "ip:port" of the store.
        """
        self._http = platform_http.PlatformHttpClient(
            f"http://{address}", _PEER, CALL_TIMEOUT_S
        )

    def set_address(self, address: str) -> None:
        """Uses another address from the next call on."""
        self._http.close()
        self._http = platform_http.PlatformHttpClient(
            f"http://{address}", _PEER, CALL_TIMEOUT_S
        )

    async def read_config(self) -> store.ConfigRead:
        """See FleetStore.read_config."""
        records, end = await self._newest(names.CONFIG_TOPIC)
        return self._config(records, end)

    async def wait_for_config(
        self, position: int, wait_s: float
    ) -> store.ConfigRead:
        """See FleetStore.wait_for_config."""
        records, end = await self._read(names.CONFIG_TOPIC, position, wait_s)
        return self._config(records, end)

    async def read_upstreams(self) -> store.UpstreamsRead:
        """See FleetStore.read_upstreams."""
        records, end = await self._newest(names.UPSTREAMS_TOPIC)
        return store.UpstreamsRead(_entries(records), end)

    async def read_upstream_changes(self, position: int) -> store.UpstreamsRead:
        """See FleetStore.read_upstream_changes."""
        records, end = await self._read(names.UPSTREAMS_TOPIC, position, 0.0)
        return store.UpstreamsRead(_entries(records), end)

    async def announce(self, row: store.GatewayEntry) -> None:
        """See FleetStore.announce."""
        query = urllib.parse.urlencode(
            {"topic": names.GATEWAYS_TOPIC, "part": 0}
        )
        await self._call(
            "POST",
            f"{names.LOG_APPEND}?{query}",
            "announce",
            body=encode_record(row.instance_id, msgspec.json.encode(row)),
            appends=True,
        )

    async def read_gateways(self) -> list[store.GatewayEntry]:
        """See FleetStore.read_gateways."""
        records, _ = await self._newest(names.GATEWAYS_TOPIC)
        rows = []
        for record in records:
            if record.value is None:
                continue
            try:
                rows.append(
                    msgspec.json.decode(record.value, type=store.GatewayEntry)
                )
            except (msgspec.DecodeError, UnicodeDecodeError) as exc:
                _LOG.warning(
                    "gateway record dropped",
                    extra={"key": record.key, "reason": str(exc)},
                )
        return rows

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
    ) -> bytes:
        """Makes one call and measures it; see PlatformHttpClient.call."""
        started = time.monotonic()
        outcome = "failed"
        try:
            answer = await self._http.call(
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
        return answer

    async def _newest(self, topic: str) -> tuple[list[KeyedRecord], int]:
        """Returns the newest record of each key, and where to read on.

        Pages are no snapshot, so reading goes on at the end that the first
        page named: records written meanwhile are then read once more.
        """
        records: list[KeyedRecord] = []
        first_end: int | None = None
        after = ""
        while True:
            query = {"topic": topic, "part": "0"}
            if after:
                query["after"] = after
            body = await self._call(
                "GET",
                f"{names.LOG_NEWEST}?{urllib.parse.urlencode(query)}",
                "read",
            )
            page = platform_http.decode_response(body, _Newest, "read", _PEER)
            if first_end is None:
                first_end = page.end
            records += [_decoded(item) for item in page.items]
            if not page.has_more or not page.items:
                return records, first_end
            after = page.items[-1].key

    async def _read(
        self, topic: str, position: int, wait_s: float
    ) -> tuple[list[KeyedRecord], int]:
        query = urllib.parse.urlencode(
            {
                "topic": topic,
                "part": 0,
                "from": position,
                "max_kb": READ_MAX_KB,
                "wait_ms": int(wait_s * 1000),
            }
        )
        try:
            body = await self._call(
                "GET",
                f"{names.LOG_READ}?{query}",
                "read",
                timeout_s=max(CALL_TIMEOUT_S, wait_s + WAIT_MARGIN_S),
            )
        except errors.PlatformError as exc:
            if exc.status == _GONE:
                raise store.HistoryLostError(
                    exc.message, step="read", peer=_PEER
                ) from exc
            raise
        if len(body) < _OFFSETS.size:
            raise _broken("no offsets")
        records = list(decode_records(body))
        return records, position + len(records)

    def _config(
        self, records: list[KeyedRecord], position: int
    ) -> store.ConfigRead:
        newest = None
        for record in records:
            if record.key != names.CONFIG_KEY or record.value is None:
                continue
            try:
                config = codec.decode_config(record.value)
            except errors.PlatformError as exc:
                _LOG.error("configuration dropped", extra={"reason": str(exc)})
                continue
            if newest is None or config.version > newest.version:
                newest = config
        return store.ConfigRead(newest, position)


def _decoded(item: _Item) -> KeyedRecord:
    if item.value is None:
        return KeyedRecord(item.key, None)
    try:
        return KeyedRecord(item.key, base64.b64decode(item.value))
    except ValueError as exc:
        raise _broken(f"value of {item.key} isn't base64") from exc


def _entries(
    records: list[KeyedRecord],
) -> list[tuple[str, upstream_list.UpstreamEntry | None]]:
    entries: list[tuple[str, upstream_list.UpstreamEntry | None]] = []
    for record in records:
        entry = None
        if record.value is not None:
            try:
                entry = codec.decode_upstream(record.key, record.value)
            except errors.PlatformError as exc:
                _LOG.warning("upstream dropped", extra={"reason": str(exc)})
        entries.append((record.key, entry))
    return entries


def _broken(reason: str) -> errors.PlatformError:
    return errors.PlatformError(
        f"malformed answer: {reason}", step="read", peer=_PEER
    )
