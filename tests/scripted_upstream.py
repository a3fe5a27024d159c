"""An HTTP upstream that sends scripted bytes and records its requests."""

import asyncio
import contextlib
import socket
import struct
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import NamedTuple


class Received(NamedTuple):
    """A received request.

    Attributes:
        line: Request line.
        headers: Headers by lower-case name.
        body: Body.
    """

    line: str
    headers: dict[str, str]
    body: bytes


class Connection:
    """One connection to the upstream."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Wraps the streams."""
        self.reader = reader
        self.writer = writer
        self.closed = asyncio.Event()

    def write(self, data: bytes) -> None:
        """Writes bytes of a response."""
        self.writer.write(data)

    def reset(self) -> None:
        """Closes the connection with a TCP reset."""
        sock = self.writer.get_extra_info("socket")
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
        self.writer.transport.abort()

    async def until_closed(self) -> None:
        """Waits until the peer has closed the connection."""
        while await self.reader.read(65536):
            pass
        self.closed.set()


Script = Callable[[Received, Connection], Awaitable[None]]


class Upstream:
    """Records requests and responds with a script.

    Attributes:
        address: "ip:port" that it listens on.
        received: Requests in order of arrival.
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
    line, *header_lines = head.strip().split("\r\n")
    headers = {}
    for header_line in header_lines:
        name, _, value = header_line.partition(":")
        headers[name.lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return Received(line, headers, body)


@contextlib.asynccontextmanager
async def running(script: Script) -> AsyncIterator[Upstream]:
    """Runs an upstream on a free port of the loopback address."""
    upstream = Upstream(script)
    server = await asyncio.start_server(
        upstream.serve, "127.0.0.1", 0, backlog=1024
    )
    host, port = server.sockets[0].getsockname()[:2]
    upstream.address = f"{host}:{port}"
    try:
        yield upstream
    finally:
        server.close()
        for conn in upstream.connections:
            conn.writer.close()


def signed_response(
    received: Received,
    body: bytes = b"",
    *,
    status: str = "200 OK",
    headers: str = "",
    length: int | None = None,
) -> bytes:
    """Returns a signed response; `length` overrides its Content-Length."""
    request_id = received.headers.get("apricottrestle-attempt-id", "")
    return (
        f"HTTP/1.1 {status}\r\n"
        f"Apricottrestle-Attempt-Id: {request_id}\r\n"
        "Apricottrestle-Server-Signature: sig\r\n"
        f"{headers}"
        f"Content-Length: {len(body) if length is None else length}\r\n\r\n"
    ).encode() + body
