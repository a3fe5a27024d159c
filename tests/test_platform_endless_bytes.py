"""Tests servers in trouble that send bytes without end, over real sockets.

The bytes are no answer and go on until the gateway closes: in a status line, a
head, a body or a frame, fast or one byte at a time.
"""

import asyncio
import contextlib
import socket
from collections.abc import AsyncIterator, Awaitable, Callable

import pytest

from apricottrestle import errors
from apricottrestle.gateway import calls, peer_link, peer_messages
from apricottrestle.platform import store_client, upstream_client
from tests import async_helpers, gateway_parts, scripted_upstream

TIME_LEFT_S = 0.6
AT_ONCE_S = 0.3
"""Time within which a call must end whose bytes show that they are no answer;
half of the caller's time, so that another upstream can still answer."""

MAX_SENT_BYTES = 4 * 1024 * 1024
"""Most bytes that a server can send before the connection is closed; includes
the buffers of both sockets."""


class _Sink(calls.ResponseSink):
    def __init__(self) -> None:
        self.heads = 0
        self.ends: list[calls.EndKind] = []

    def on_head(self, head: calls.ResponseHead) -> None:
        self.heads += 1

    def on_data(self, data: bytes) -> None:
        raise AssertionError("data without a head")

    def on_end(self, end: calls.EndKind, detail: str) -> None:
        self.ends.append(end)


class _Endless:
    """Sends a start and then a repeated part, until the connection closes."""

    def __init__(self, start: bytes, part: bytes, pause_s: float) -> None:
        self.sent_bytes = 0
        self._start = start
        self._part = part
        self._pause_s = pause_s

    async def __call__(
        self,
        _received: scripted_upstream.Received,
        conn: scripted_upstream.Connection,
    ) -> None:
        await self.send(conn.writer)

    async def send(self, writer: asyncio.StreamWriter) -> None:
        """Sends until the peer closes the connection."""
        part = self._start
        with contextlib.suppress(ConnectionError):
            while True:
                writer.write(part)
                await writer.drain()
                self.sent_bytes += len(part)
                part = self._part
                await asyncio.sleep(self._pause_s)


HEAD = b"HTTP/1.1 200 OK\r\n"
FAST = 0.0
SLOW = 0.002


@pytest.mark.parametrize(
    ("start", "part", "pause_s", "limit_s"),
    [
        pytest.param(b"\x00", b"\x00" * 9000, FAST, AT_ONCE_S, id="garbage"),
        pytest.param(b"", b"x" * 9000, FAST, AT_ONCE_S, id="status line"),
        pytest.param(b"HTTP/1.1 2", b"0", SLOW, None, id="slow status line"),
        pytest.param(HEAD, b"A: b\r\n" * 900, FAST, AT_ONCE_S, id="headers"),
        pytest.param(HEAD, b"x" * 9000, FAST, AT_ONCE_S, id="header line"),
        pytest.param(HEAD, b"x", SLOW, None, id="slow header line"),
        pytest.param(HEAD, b"A: b\r\n", SLOW, None, id="slow headers"),
        pytest.param(HEAD, b"no header\r\n", SLOW, AT_ONCE_S, id="no header"),
    ],
)
@async_helpers.async_test
async def test_head_without_end_is_no_answer(
    start: bytes, part: bytes, pause_s: float, limit_s: float | None
) -> None:
    """Guards against a head that never ended but is passed on as one.

    Slow bytes that may still become a head end with the caller's time.
    """
    script = _Endless(start, part, pause_s)
    sink = _Sink()
    loop = asyncio.get_running_loop()
    async with scripted_upstream.running(script) as upstream:
        client = upstream_client.HttpUpstreamClient()
        began_at = loop.time()
        client.send(
            calls.UpstreamCall(
                gateway_parts.request(),
                "up-1",
                upstream.address,
                TIME_LEFT_S,
                "team-a",
                3,
                (),
                None,
                False,
            ),
            sink,
        )
        await async_helpers.wait_until(lambda: sink.ends)
        took_s = loop.time() - began_at
    assert sink.heads == 0
    assert script.sent_bytes <= MAX_SENT_BYTES
    if limit_s is not None:
        assert sink.ends == ["broken"]
        assert took_s <= limit_s
    else:
        assert sink.ends == ["timeout"]


@async_helpers.async_test
async def test_head_that_breaks_off_is_no_answer() -> None:
    """Guards against a truncated head that passes for a whole one."""

    async def script(
        _received: scripted_upstream.Received,
        conn: scripted_upstream.Connection,
    ) -> None:
        conn.write(HEAD + b"Apricottrestle-Server-Signature: s\r\n")
        conn.writer.close()

    sink = _Sink()
    async with scripted_upstream.running(script) as upstream:
        client = upstream_client.HttpUpstreamClient()
        client.send(
            calls.UpstreamCall(
                gateway_parts.request(), "up-1", upstream.address,
                TIME_LEFT_S, "team-a", 3, (), None, False,
            ),
            sink,
        )  # fmt: skip
        await async_helpers.wait_until(lambda: sink.ends)
    assert (sink.heads, sink.ends) == (0, ["broken"])


@contextlib.asynccontextmanager
async def _server(
    send: Callable[[asyncio.StreamWriter], Awaitable[None]],
) -> AsyncIterator[str]:
    """Runs a server that answers each connection with `send`."""

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        # Also closes the writer of a connection that the end of the event loop
        # cancels, which can't close it afterwards.
        with contextlib.closing(writer):
            await reader.readuntil(b"\r\n\r\n")
            await send(writer)

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()[:2]
    try:
        yield f"{host}:{port}"
    finally:
        server.close()


@pytest.mark.parametrize(
    ("start", "part", "pause_s"),
    [
        pytest.param(b"", b"x" * 9000, FAST, id="status line"),
        pytest.param(HEAD, b"A: b\r\n" * 900, FAST, id="headers"),
        pytest.param(HEAD + b"\r\n", b"x" * 90_000, FAST, id="body"),
        pytest.param(HEAD + b"\r\n", b"x", SLOW, id="slow body"),
    ],
)
@async_helpers.async_test
async def test_store_answer_without_end_is_an_error(
    start: bytes, part: bytes, pause_s: float
) -> None:
    """Guards against a store's answer that fills the memory of a gateway."""
    script = _Endless(start, part, pause_s)
    async with _server(script.send) as address:
        client = store_client.StoreClient(address)
        with pytest.raises(errors.PlatformError):
            await client.read_config()
        client.close()
    assert script.sent_bytes <= 8 * MAX_SENT_BYTES


@pytest.mark.parametrize("call", ["probe", "reserve", "release"])
@pytest.mark.parametrize(
    ("start", "part", "pause_s"),
    [
        pytest.param(b"", b"x" * 9000, FAST, id="status line"),
        pytest.param(HEAD, b"A: b\r\n" * 900, FAST, id="headers"),
        pytest.param(HEAD + b"\r\n", b"x" * 90_000, FAST, id="body"),
        pytest.param(HEAD + b"\r\n", b"x", SLOW, id="slow body"),
    ],
)
@async_helpers.async_test
async def test_report_or_order_without_end_is_no_answer(
    start: bytes, part: bytes, pause_s: float, call: str
) -> None:
    """Guards against an engine's report that fills the memory of a gateway."""
    script = _Endless(start, part, pause_s)
    loop = asyncio.get_running_loop()
    async with _server(script.send) as address:
        client = upstream_client.HttpUpstreamClient()
        reservation = calls.Reservation("r-1", address, "up-1", 1000, 1.0)
        began_at = loop.time()
        if call == "probe":
            assert await client.probe("up-1", address, 1) == "unknown"
        else:
            with pytest.raises(errors.UpstreamError):
                if call == "reserve":
                    await client.reserve(reservation)
                else:
                    await client.release(reservation)
        took_s = loop.time() - began_at
    assert took_s < 2 * upstream_client.RESERVATION_TIMEOUT_S
    assert script.sent_bytes <= MAX_SENT_BYTES


def _free_addresses() -> tuple[str, str]:
    """Returns two loopback addresses whose ports are free."""
    with socket.socket() as first, socket.socket() as second:
        for sock in (first, second):
            sock.bind(("127.0.0.1", 0))
        ports = [sock.getsockname()[1] for sock in (first, second)]
    return f"127.0.0.1:{ports[0]}", f"127.0.0.1:{ports[1]}"


@pytest.mark.parametrize(
    "part", [b"\x00" * 9000, b"\xff" * 9000, b"x"], ids=repr
)
@async_helpers.async_test
async def test_bytes_from_no_peer_leave_other_peers_alone(part: bytes) -> None:
    """Guards against a connection that is no gateway's and stops the others."""
    received: list[peer_messages.Message] = []
    first, second = _free_addresses()
    host, _, port = first.rpartition(":")
    with (
        peer_link.PeerLink(first, received.append),
        peer_link.PeerLink(second, received.append) as other,
    ):
        _, writer = await asyncio.open_connection(host, int(port))
        flood = asyncio.ensure_future(_Endless(b"", part, SLOW).send(writer))
        other.connect(first)
        sender = peer_messages.Sender("b", second, "i", 1)
        message = peer_messages.Heartbeat(sender)
        await async_helpers.wait_until(lambda: other.send(first, message))
        await async_helpers.wait_until(lambda: received)
        flood.cancel()
        writer.close()
    assert received[0] == message
