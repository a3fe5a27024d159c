"""The platform's store over HTTP: keyed topics, long polls and faults.

The store can come back from a copy: it loses what was written since, gives the
offsets out again, and numbers the new history in a header of each response.
"""

import asyncio
import base64
import struct
import time
from collections.abc import Callable
from typing import Any, Final

import msgspec
from tornado import httpserver, web

from apricottrestle import http_server

MAX_PAGE_ITEMS: Final = 500
SLOW_RESPONSE_S: Final = 0.4
HISTORY_HEADER: Final = "Store-Era"


class Topic:
    """Records of a keyed topic.

    Attributes:
        records: Key and value of each retained record, in offset order.
        first: Offset of the first retained record.
        newest: Offset and value of the newest record of each key.
    """

    def __init__(self) -> None:
        """Creates an empty topic."""
        self.records: list[tuple[str, bytes]] = []
        self.first = 0
        self.newest: dict[str, tuple[int, bytes]] = {}
        # Time, key and value of all records, also those not retained.
        self._written: list[tuple[float, str, bytes]] = []

    @property
    def end(self) -> int:
        """Offset after the last record."""
        return self.first + len(self.records)

    def append(self, key: str, value: bytes) -> int:
        """Appends a record, or the removal of a key; returns the offset.

        Args:
            key: Key of the record.
            value: Value; empty for a removal.
        """
        self._written.append((time.monotonic(), key, value))
        return self._append(key, value)

    def restore(self, lost_s: float) -> list[tuple[str, bytes]]:
        """Removes the records of the last seconds, and returns them."""
        copied_at = time.monotonic() - lost_s
        written, self._written = self._written, []
        lost = [record[1:] for record in written if record[0] > copied_at]
        first, self.first = self.first, 0
        self.records, self.newest = [], {}
        for record in written[: len(written) - len(lost)]:
            self._written.append(record)
            self._append(*record[1:])
        self.first = min(first, self.end)
        del self.records[: self.first]
        return lost

    def _append(self, key: str, value: bytes) -> int:
        offset = self.end
        self.records.append((key, value))
        if value:
            self.newest[key] = (offset, value)
        else:
            self.newest.pop(key, None)
        return offset

    def compact(self) -> None:
        """Removes the history; the newest record of each key stays."""
        self.first = self.end
        self.records.clear()


class Store:
    """The topics of the store, and its fault.

    Attributes:
        fault: "busy" (responds with 503), "slow", "lost" (runs a call, but
            closes the connection without a response), "silent" (responds after
            30 s only), or "".
        calls: Number of calls received.
        history: Number of the history; grows when records are lost.
        page_items: Largest number of items in a page of newest records.
        history_text: Value of the header; None leaves it out, "auto" is the
            number of the history.
        before_answer: Called before each call is answered.
    """

    def __init__(self) -> None:
        """Creates an empty store without a fault."""
        self.fault = ""
        self.history = 1
        self.page_items = MAX_PAGE_ITEMS
        self.history_text: str | None = "auto"
        self.before_answer: Callable[[], None] = lambda: None
        self.calls = 0
        self._topics: dict[str, Topic] = {}
        self._changed = asyncio.Event()

    def topic(self, name: str) -> Topic:
        """Returns a topic; creates it on first use."""
        return self._topics.setdefault(name, Topic())

    def put(self, topic: str, key: str, value: Any) -> int:
        """Stores a value as JSON; None removes the key. Returns the offset."""
        data = b"" if value is None else msgspec.json.encode(value)
        offset = self.topic(topic).append(key, data)
        self.notify()
        return offset

    def restore(self, lost_s: float) -> dict[str, list[tuple[str, bytes]]]:
        """Comes back from a copy that is `lost_s` older, in a new history.

        Returns:
            The lost records of each topic.
        """
        self.history += 1
        lost = {
            name: topic.restore(lost_s) for name, topic in self._topics.items()
        }
        self.notify()
        return lost

    def notify(self) -> None:
        """Wakes up the long polls."""
        self._changed.set()
        self._changed = asyncio.Event()

    async def wait_for_change(self, wait_s: float) -> None:
        """Waits until any topic has a new record, for at most `wait_s`."""
        try:
            async with asyncio.timeout(wait_s):
                await self._changed.wait()
        except TimeoutError:
            return


class _Handler(web.RequestHandler):
    def initialize(self, store: Store) -> None:
        self._store = store

    async def prepare(self) -> None:
        self._store.calls += 1
        self._store.before_answer()
        text = self._store.history_text
        if text is not None:
            self.set_header(
                HISTORY_HEADER,
                str(self._store.history) if text == "auto" else text,
            )
        fault = self._store.fault
        if fault == "busy":
            self.set_status(503)
            self.finish()
        elif fault == "slow":
            await asyncio.sleep(SLOW_RESPONSE_S)
        elif fault == "silent":
            await asyncio.sleep(30.0)

    def _topic(self) -> Topic:
        return self._store.topic(self.get_query_argument("topic"))

    def _respond(self, body: bytes) -> None:
        if self._store.fault == "lost":
            # The call took effect, but its response is lost.
            self.request.connection.stream.close()  # type: ignore[union-attr]
            return
        self.finish(body)


class _NewestHandler(_Handler):
    def get(self) -> None:
        topic = self._topic()
        after = self.get_query_argument("after", "")
        keys = sorted(key for key in topic.newest if key > after)
        items = []
        for key in keys[: self._store.page_items]:
            offset, value = topic.newest[key]
            items.append(
                {
                    "key": key,
                    "value": base64.b64encode(value).decode(),
                    "offset": offset,
                }
            )
        self._respond(
            msgspec.json.encode(
                {
                    "items": items,
                    "has_more": len(keys) > len(items),
                    "end": topic.end,
                }
            )
        )


class _ReadHandler(_Handler):
    async def get(self) -> None:
        topic = self._topic()
        start = int(self.get_query_argument("from"))
        wait_s = int(self.get_query_argument("wait_ms", "0")) / 1000
        loop = asyncio.get_running_loop()
        deadline = loop.time() + wait_s
        history = self._store.history
        while start == topic.end and loop.time() < deadline:
            await self._store.wait_for_change(deadline - loop.time())
        if history != self._store.history:
            self.request.connection.stream.close()  # type: ignore[union-attr]
            return
        if not topic.first <= start <= topic.end:
            self.set_status(410)
            self._respond(msgspec.json.encode({"first": topic.first}))
            return
        body = struct.pack(">QQ", topic.end, topic.first)
        for key, value in topic.records[start - topic.first :]:
            name = key.encode()
            content = bytes([len(name)]) + name + value
            body += struct.pack(">I", len(content)) + content
        self._respond(body)


class _AppendHandler(_Handler):
    def post(self) -> None:
        topic = self._topic()
        body = self.request.body
        position = 0
        first = topic.end
        while position < len(body):
            (size,) = struct.unpack_from(">I", body, position)
            content = body[position + 4 : position + 4 + size]
            position += 4 + size
            end = 1 + content[0]
            topic.append(content[1:end].decode(), content[end:])
        self._store.notify()
        self._respond(msgspec.json.encode({"offset": first, "end": topic.end}))


class StoreServer(http_server.ListeningServer):
    """HTTP server of a store, as a context manager."""

    def __init__(self, store: Store) -> None:
        """Creates a server on a free loopback port."""
        args = {"store": store}
        app = web.Application(
            [
                ("/-/log-newest", _NewestHandler, args),
                ("/-/log-read", _ReadHandler, args),
                ("/-/log-append", _AppendHandler, args),
            ],
            log_function=lambda _handler: None,
        )
        super().__init__("127.0.0.1:0", httpserver.HTTPServer(app))
