"""An HTTP upstream that answers with scripted bytes and records what it saw."""

import asyncio
import contextlib
import socket
import struct
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import NamedTuple


class Received(NamedTuple):
    """A request as it arrived.

    Attributes:
        line: Request line.
        headers: Headers by lower-case name.
        body: Body.
    """

    line: str
    headers: dict[str, str]
    body: bytes


class Connection:
    """One connection of a caller."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Wraps the streams."""
        self.reader = reader
        self.writer = writer
        self.closed = asyncio.Event()

    def write(self, data: bytes) -> None:
        """Writes bytes of an answer."""
        self.writer.write(data)

    def reset(self) -> None:
        """Closes with a reset instead of an orderly end."""
        sock = self.writer.get_extra_info("socket")
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
        self.writer.transport.abort()

    async def until_closed(self) -> None:
        """Waits until the caller has closed the connection."""
        while await self.reader.read(65536):
            pass
        self.closed.set()


Script = Callable[[Received, Connection], Awaitable[None]]


class Upstream:
    """Records requests and lets a script answer them.

    Attributes:
        address: Its "ip:port".
        received: Requests in order.
        connections: Connections accepted.
    """

    def __init__(self, script: Script) -> None:
        """Prepares the upstream."""
        self.address = ""
        self.received: list[Received] = []
        self.connections: list[Connection] = []
        self._script = script

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves one connection."""
        conn = Connection(reader, writer)
        self.connections.append(conn)
        try:
            while not writer.is_closing():
                received = await _read(reader)
                self.received.append(received)
                await self._script(received, conn)
        except (asyncio.IncompleteReadError, ConnectionError):
            conn.closed.set()
        finally:
            writer.close()


async def _read(reader: asyncio.StreamReader) -> Received:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    line, *rows = head.strip().split("\r\n")
    headers = {}
    for row in rows:
        name, _, value = row.partition(":")
        headers[name.lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return Received(line, headers, body)


@contextlib.asynccontextmanager
async def running(script: Script) -> AsyncIterator[Upstream]:
    """Runs an upstream on a free port of the loopback address."""
    upstream = Upstream(script)
    server = await asyncio.start_server(upstream.serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()[:2]
    upstream.address = f"{host}:{port}"
    try:
        yield upstream
    finally:
        server.close()
        for conn in upstream.connections:
            conn.writer.close()


def answer(
    received: Received,
    body: bytes = b"",
    *,
    status: str = "200 OK",
    headers: str = "",
    length: int | None = None,
) -> bytes:
    """Returns a signed answer of stated length."""
    request_id = received.headers.get("apricottrestle-attempt-id", "")
    return (
        f"HTTP/1.1 {status}\r\n"
        f"Apricottrestle-Attempt-Id: {request_id}\r\n"
        "Apricottrestle-Server-Signature: sig\r\n"
        f"{headers}"
        f"Content-Length: {len(body) if length is None else length}\r\n\r\n"
    ).encode() + body
