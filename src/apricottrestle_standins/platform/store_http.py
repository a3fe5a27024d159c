"""The platform's store over HTTP: keyed topics, long polls and troubles."""

import asyncio
import base64
import struct
from typing import Any, Final

import msgspec
from tornado import httpserver, web

from apricottrestle import http_server

SLOW_S: Final = 0.4


class Topic:
    """Records of one keyed topic.

    Attributes:
        records: Key and value of each, from `first` on.
        first: Offset of the first record that is retained.
    """

    def __init__(self) -> None:
        """Starts empty."""
        self.records: list[tuple[str, bytes]] = []
        self.first = 0
        self.newest: dict[str, tuple[int, bytes]] = {}

    @property
    def end(self) -> int:
        """Offset after the last record."""
        return self.first + len(self.records)

    def append(self, key: str, value: bytes) -> int:
        """Adds a record; without a value the key is dropped."""
        offset = self.end
        self.records.append((key, value))
        if value:
            self.newest[key] = (offset, value)
        else:
            self.newest.pop(key, None)
        return offset

    def forget(self) -> None:
        """Drops the history; the newest record of each key stays."""
        self.first = self.end
        self.records.clear()


class Store:
    """The store's topics and its state.

    Attributes:
        trouble: "" when in order; "busy", "slow", "lost" or "silent".
        calls: Calls received.
    """

    def __init__(self) -> None:
        """Starts in order and empty."""
        self.trouble = ""
        self.calls = 0
        self._topics: dict[str, Topic] = {}
        self._changed = asyncio.Event()

    def topic(self, name: str) -> Topic:
        """Returns a topic, which is created on first use."""
        return self._topics.setdefault(name, Topic())

    def put(self, topic: str, key: str, value: Any) -> int:
        """Stores a value as JSON, or drops the key when it is None."""
        data = b"" if value is None else msgspec.json.encode(value)
        offset = self.topic(topic).append(key, data)
        self.notify()
        return offset

    def notify(self) -> None:
        """Wakes the long polls."""
        self._changed.set()
        self._changed = asyncio.Event()

    async def until_changed(self, wait_s: float) -> None:
        """Waits for a record of any topic, at most so long."""
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
        trouble = self._store.trouble
        if trouble == "busy":
            self.set_status(503)
            self.finish()
        elif trouble == "slow":
            await asyncio.sleep(SLOW_S)
        elif trouble == "silent":
            await asyncio.sleep(30.0)

    def _topic(self) -> Topic:
        return self._store.topic(self.get_query_argument("topic"))

    def _answer(self, body: bytes) -> None:
        if self._store.trouble == "lost":
            # Carried out, but the connection ends without an answer.
            self.request.connection.stream.close()  # type: ignore[union-attr]
            return
        self.finish(body)


class _Newest(_Handler):
    def get(self) -> None:
        topic = self._topic()
        items = [
            {
                "key": key,
                "value": base64.b64encode(value).decode(),
                "offset": offset,
            }
            for key, (offset, value) in topic.newest.items()
        ]
        self._answer(
            msgspec.json.encode(
                {"items": items, "has_more": False, "end": topic.end}
            )
        )


class _Read(_Handler):
    async def get(self) -> None:
        topic = self._topic()
        start = int(self.get_query_argument("from"))
        wait_s = int(self.get_query_argument("wait_ms", "0")) / 1000
        loop = asyncio.get_running_loop()
        ends = loop.time() + wait_s
        while start >= topic.end and loop.time() < ends:
            await self._store.until_changed(ends - loop.time())
        if start < topic.first:
            self.set_status(410)
            self._answer(msgspec.json.encode({"first": topic.first}))
            return
        body = struct.pack(">QQ", topic.end, topic.first)
        for key, value in topic.records[start - topic.first :]:
            name = key.encode()
            content = bytes([len(name)]) + name + value
            body += struct.pack(">I", len(content)) + content
        self._answer(body)


class _Append(_Handler):
    def post(self) -> None:
        topic = self._topic()
        body = self.request.body
        at = 0
        first = topic.end
        while at < len(body):
            (size,) = struct.unpack_from(">I", body, at)
            content = body[at + 4 : at + 4 + size]
            at += 4 + size
            end = 1 + content[0]
            topic.append(content[1:end].decode(), content[end:])
        self._store.notify()
        self._answer(msgspec.json.encode({"offset": first, "end": topic.end}))


class StoreServer(http_server.ListeningServer):
    """Serves a store. A context manager."""

    def __init__(self, store: Store) -> None:
        """Prepares the server on a free port of the loopback address."""
        args = {"store": store}
        app = web.Application(
            [
                ("/-/log-newest", _Newest, args),
                ("/-/log-read", _Read, args),
                ("/-/log-append", _Append, args),
            ],
            log_function=lambda _handler: None,
        )
        super().__init__("127.0.0.1:0", httpserver.HTTPServer(app))
