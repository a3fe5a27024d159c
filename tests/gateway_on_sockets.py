"""A whole gateway, its callers and its upstreams on real sockets.

Unlike `scripted_upstream`, these upstreams answer before they have read the
body of a request.
"""

import asyncio
import contextlib
import random
import re
import socket
import struct
from collections.abc import AsyncIterator, Awaitable, Callable, Iterator
from typing import Final, NamedTuple

from apricottrestle.gateway import (
    calls,
    clock,
    engine_queue,
    evacuations,
    fleet_config,
    gateway,
    settings,
    upstream_list,
)
from apricottrestle.platform import caller_server, names, upstream_client
from tests import gateway_parts

STARTED_AT_MS: Final = 5
UPSTREAM_RECEIVE_BUFFER: Final = 16 * 1024
"""Receive buffer of upstreams; a large upload doesn't fit into it and the
sender's buffer, so that it is under way while nobody reads it."""

CALLER_TIMEOUT_S: Final = 8.0

EVENTS: Final = tuple(b"id: %d\ndata: event\n\n" % n for n in range(1, 9))
WHOLE: Final = b"".join(EVENTS)
"""Body of each whole answer."""

PART: Final = b"".join(EVENTS[:4])
"""Part of it that ends between two events."""


class Head(NamedTuple):
    """The head of a request that an upstream has read.

    Attributes:
        line: Request line.
        headers: Headers by lower-case name.
    """

    line: str
    headers: dict[str, str]

    @property
    def request_id(self) -> str:
        """Id that its answer must bear."""
        return self.headers.get(names.REQUEST_ID.lower(), "")


class Connection:
    """An upstream's side of a connection."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Wraps the streams."""
        self.reader = reader
        self.writer = writer

    async def read_body(self, head: Head) -> None:
        """Reads the body of a request."""
        await self.reader.readexactly(
            int(head.headers.get("content-length", 0))
        )

    def write(self, data: bytes) -> None:
        """Writes bytes of an answer."""
        self.writer.write(data)

    def reset(self) -> None:
        """Closes the connection with a TCP reset."""
        self.writer.get_extra_info("socket").setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
        self.writer.transport.abort()

    async def send_fin(self) -> None:
        """Ends its own direction in order; reads nothing any more."""
        self.writer.write_eof()
        await asyncio.sleep(CALLER_TIMEOUT_S)


Script = Callable[[Head, Connection], Awaitable[None]]


def signed_head(
    head: Head,
    *,
    status_line: str = "HTTP/1.1 200 OK",
    framing: str = "",
) -> bytes:
    """Returns the head of an answer; `framing` has its own line ends."""
    return (
        f"{status_line}\r\n{names.REQUEST_ID}: {head.request_id}\r\n"
        f"{names.SERVER_SIGNATURE}: sig\r\n"
        f"Content-Type: text/event-stream\r\n{framing}\r\n"
    ).encode()


async def answer_whole(head: Head, conn: Connection) -> None:
    """Reads the request and answers it, as a sound upstream."""
    await conn.read_body(head)
    resume_after = int(head.headers.get("last-event-id", 0))
    body = b"".join(EVENTS[resume_after:])
    conn.write(signed_head(head, framing=f"Content-Length: {len(body)}\r\n"))
    conn.write(body)


class Upstream:
    """Answers its first requests by scripts, and all later ones soundly.

    Attributes:
        heads: Heads of the requests, in order of arrival.
        started_at_ms: Start time of its process, as it reports it.
    """

    def __init__(self, scripts: list[Script]) -> None:
        """Prepares the upstream."""
        self.heads: list[Head] = []
        self.started_at_ms = STARTED_AT_MS
        self._scripts = scripts

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves one connection."""
        conn = Connection(reader, writer)
        with (
            contextlib.closing(writer),
            contextlib.suppress(asyncio.IncompleteReadError, ConnectionError),
        ):
            while not writer.is_closing():
                await self._serve_request(conn)

    async def _serve_request(self, conn: Connection) -> None:
        text = (await conn.reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        line, *rows = text.strip().split("\r\n")
        pairs = [row.partition(":") for row in rows]
        head = Head(
            line, {name.lower(): value.strip() for name, _, value in pairs}
        )
        if names.REPORT_PATH in line:
            report = b'{"stage":"colocated","active":1,"born":%d}' % (
                self.started_at_ms
            )
            conn.write(
                b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b"
                % (len(report), report)
            )
            return
        self.heads.append(head)
        script = self._scripts.pop(0) if self._scripts else answer_whole
        await script(head, conn)


@contextlib.asynccontextmanager
async def listening(upstream: Upstream) -> AsyncIterator[str]:
    """Runs an upstream; yields its address."""
    sock = socket.socket()
    sock.setsockopt(
        socket.SOL_SOCKET, socket.SO_RCVBUF, UPSTREAM_RECEIVE_BUFFER
    )
    sock.bind(("127.0.0.1", 0))
    tasks: set[asyncio.Task[None]] = set()

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        tasks.add(task)
        with contextlib.suppress(asyncio.CancelledError):
            await upstream.serve(reader, writer)
        tasks.discard(task)

    # Small, so that a body isn't read before its script asks for it.
    server = await asyncio.start_server(serve, sock=sock, limit=8 * 1024)
    try:
        yield f"127.0.0.1:{sock.getsockname()[1]}"
    finally:
        server.close()
        for task in tasks:
            task.cancel()
        await asyncio.sleep(0)


class Received(NamedTuple):
    """What a caller has got.

    Attributes:
        status: Status, or None without a head.
        body: Body, as far as it came.
        complete: Whether the answer was complete by its own framing.
    """

    status: int | None
    body: bytes
    complete: bool


def _parse(data: bytes) -> Received:
    head, found, rest = data.partition(b"\r\n\r\n")
    if not found:
        return Received(None, b"", False)
    status = int(head.split(b" ", 2)[1])
    length = re.search(rb"(?i)\r\ncontent-length: (\d+)", head)
    if length is not None:
        return Received(status, rest, len(rest) >= int(length[1]))
    if status in (204, 304):
        return Received(status, rest, True)
    body = b""
    while True:
        size_line, found, rest = rest.partition(b"\r\n")
        if not found or not size_line:
            return Received(status, body, False)
        size = int(size_line, 16)
        if size == 0:
            return Received(status, body, True)
        body, rest = body + rest[:size], rest[size + 2 :]


class Caller:
    """Sends requests to a gateway, one after the other."""

    def __init__(self, port: int) -> None:
        """Stores the port."""
        self._port = port
        self._count = 0

    async def call(
        self,
        path: str,
        body: bytes = b"",
        *,
        chunked: bool = False,
        deadline_s: float | None = None,
    ) -> Received:
        """Sends a request on a connection of its own; returns the answer."""
        self._count += 1
        reader, writer = await asyncio.open_connection("127.0.0.1", self._port)
        framing = (
            "Transfer-Encoding: chunked"
            if chunked
            else f"Content-Length: {len(body)}"
        )
        head = (
            f"POST {path} HTTP/1.1\r\nHost: fleet.example\r\n"
            f"{names.REQUEST_ID}: request-{self._count}\r\n"
            f"{names.AUTHORIZATION}: Bearer key-a\r\n"
            f"{names.TOKEN_USAGE}: 100,50\r\n"
            f"Connection: close\r\n{framing}\r\n"
        )
        if deadline_s is not None:
            head += f"{names.DEADLINE_MS}: {int(deadline_s * 1000)}\r\n"
        writer.write(f"{head}\r\n".encode())
        if chunked:
            body = b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body)
        writer.write(body)
        received = b""
        with contextlib.suppress(ConnectionError), contextlib.closing(writer):
            async with asyncio.timeout(CALLER_TIMEOUT_S):
                while data := await reader.read(65_536):
                    received += data
        return _parse(received)


def make_gateway(
    client: calls.UpstreamClient, *upstreams: tuple[str, str]
) -> gateway.Gateway:
    """Returns a gateway that is ready; must run on the event loop.

    Args:
        client: Sends its requests.
        upstreams: Service and address of each upstream.
    """
    cfg = settings.GatewaySettings(
        "own", "dc-1", "", "", "", "", "", (), 8.0, 1.0, 10.0, 100.0, 4.0, 8.0
    )
    core = gateway.Gateway(cfg, client, random.Random(1), "own")
    core.state.adopt_config(
        gateway_parts.config(
            routes=tuple(
                route._replace(timeout_s=4.0, target_s=0.5)
                for route in gateway_parts.config().routes
            ),
            limits=fleet_config.CallerLimits(16_384, 1 << 24, 3.0, 15.0),
        ),
        "test",
    )
    core.state.read_evacuations([], evacuations.Stamp(1, 1), whole=True)
    core.state.apply_upstreams(
        core.state.members.merge_peer_entries(
            [
                upstream_list.UpstreamEntry(
                    f"up-{number}", service, address, "dc-1", False, 8, 0.0,
                    STARTED_AT_MS,
                )
                for number, (service, address) in enumerate(upstreams)
            ]
        ),
        "test",
    )  # fmt: skip
    return core


@contextlib.contextmanager
def serving(*upstreams: tuple[str, str]) -> Iterator[Caller]:
    """Runs a gateway with the given upstreams; see make_gateway."""
    client = upstream_client.HttpUpstreamClient()
    core = make_gateway(client, *upstreams)
    with (
        contextlib.closing(client),
        contextlib.closing(core),
        caller_server.CallerServer("127.0.0.1:0", core) as server,
        clock.Ticker(
            engine_queue.SCHEDULING_INTERVAL_S, core.run_scheduling_pass
        ),
    ):
        yield Caller(server.port)
