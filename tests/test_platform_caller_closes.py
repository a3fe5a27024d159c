"""Tests who may close a caller's connection, and in which order of events.

The event loop is held up while bytes arrive and a time limit ends, so that the
timer's callback runs before the bytes have got to their reader.
"""

import asyncio
import contextlib
import itertools
import socket
import time
from collections.abc import Callable, Iterator
from typing import Final, NamedTuple

import pytest

from apricottrestle import http_connections, memory_account
from apricottrestle.gateway import calls
from apricottrestle.platform import caller_server
from tests import async_helpers

LIMIT_S: Final = 0.2
"""Idle time, and time limit of bodies, in these tests."""

ANSWER_TIMEOUT_S: Final = 5.0

GET: Final = b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n"
POST_HEAD: Final = b"POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\n"
CHUNKED_HEAD: Final = (
    b"POST /c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
)
LARGE: Final = 1024 * 1024
LARGE_HEAD: Final = (
    b"POST /d HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer k\r\n"
    b"Content-Length: %d\r\n\r\n" % LARGE
)


class Shape(NamedTuple):
    """How requests arrive on a connection that has served one before.

    Attributes:
        early: Bytes that the server has read some time before.
        late: Bytes that arrive while the event loop is held up.
        requests: Number of requests that these bytes make up.
    """

    early: bytes
    late: bytes
    requests: int


SHAPES: Final = {
    "head": Shape(b"", GET, 1),
    "head-in-halves": Shape(GET[:9], GET[9:], 1),
    "body": Shape(b"", POST_HEAD + b"body", 1),
    "body-in-halves": Shape(POST_HEAD + b"bo", b"dy", 1),
    "chunks-in-halves": Shape(
        CHUNKED_HEAD + b"2\r\nbo", b"\r\n2\r\ndy\r\n0\r\n\r\n", 1
    ),
    "large-body": Shape(LARGE_HEAD, b"x" * LARGE, 1),
    "pipelined": Shape(b"", GET + POST_HEAD + b"body" + GET, 3),
    "pipelined-in-halves": Shape(b"", GET + GET[:9], 1),
}

HELD_UP_S: Final = (0.004, 0.02, 0.12, 0.5)
"""Times for which the event loop is busy."""


class _Handler(calls.RequestHandler):
    """Echoes the bodies."""

    def __init__(self) -> None:
        self.handled = 0

    def check_head(self, head: calls.RequestHead) -> calls.Refusal | None:
        return None

    def check_arrival(self, arrival: "calls.Arrival") -> calls.Refusal | None:
        return None

    def handle(
        self, req: calls.CallerRequest, responder: calls.Responder
    ) -> None:
        self.handled += 1
        responder.begin(200, (), len(req.body))
        responder.write(req.body)
        responder.finish()


class _Caller:
    """A caller's side of a connection; its bytes are sent synchronously."""

    def __init__(self, port: int) -> None:
        self._sock = socket.create_connection(("127.0.0.1", port))
        self._sock.setblocking(False)
        self.received = b""

    def send(self, data: bytes) -> bytes:
        """Sends what the kernel takes; returns the rest."""
        try:
            return data[self._sock.send(data) :] if data else b""
        except BlockingIOError:
            return data

    async def send_all(self, data: bytes) -> None:
        with contextlib.suppress(OSError):
            await asyncio.get_running_loop().sock_sendall(self._sock, data)

    async def read_until(self, is_done: Callable[[bytes], bool]) -> None:
        """Reads until a condition holds, the connection ends or time is up."""
        loop = asyncio.get_running_loop()
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                while not is_done(self.received):
                    data = await loop.sock_recv(self._sock, 65_536)
                    if not data:
                        return
                    self.received += data

    def close(self) -> None:
        self._sock.close()


@contextlib.contextmanager
def _serving() -> Iterator[
    tuple[caller_server.CallerServer, _Handler, _Caller]
]:
    handler = _Handler()
    with (
        caller_server.CallerServer("127.0.0.1:0", handler) as server,
        contextlib.closing(_Caller(server.port)) as caller,
    ):
        server.set_idle_timeout(LIMIT_S)
        yield server, handler, caller


def _answers(received: bytes) -> int:
    return received.count(b"HTTP/1.1 200 OK\r\n")


async def _call_once(caller: _Caller) -> float:
    """Makes the connection a kept one; returns when its answer had come."""
    await caller.send_all(GET)
    await caller.read_until(lambda received: _answers(received) == 1)
    return asyncio.get_running_loop().time()


def _hold_up(
    caller: _Caller,
    shape: Shape,
    starts_at: float,
    held_up_s: float,
    then: Callable[[], None] = lambda: None,
) -> "asyncio.Future[bytes]":
    """Sends the rest of a shape while the loop is busy, at a time.

    Returns:
        What the kernel hasn't taken of it.
    """
    loop = asyncio.get_running_loop()
    rest: asyncio.Future[bytes] = loop.create_future()

    def hold_up() -> None:
        unsent = caller.send(shape.late)
        time.sleep(held_up_s)
        then()
        rest.set_result(unsent)

    loop.call_at(starts_at, hold_up)
    return rest


def _hold_up_timer(
    monkeypatch: pytest.MonkeyPatch,
    number: int,
    caller: _Caller,
    shape: Shape,
    held_up_s: float,
) -> "asyncio.Future[bytes]":
    """Sends the rest of a shape, and holds up the loop, before a time is up.

    The order of events is that of a loop that is busy when the time is up. It
    doesn't depend on when the process is woken: a caller that sends by a clock
    may be too late.

    Args:
        monkeypatch: Undoes the change.
        number: Number of the connection's wait whose time is up. Half of its
            time before that the early bytes are sent.
        caller: Sends the shape.
        shape: What is sent.
        held_up_s: Time for which the loop is busy.

    Returns:
        What the kernel hasn't taken of the rest.
    """
    loop = asyncio.get_running_loop()
    wait_until = http_connections.CallerConnection._wait_until
    on_timer = http_connections.CallerConnection._on_timer
    rest: asyncio.Future[bytes] = loop.create_future()
    waits = 0

    def count(conn: http_connections.CallerConnection, due_at: float) -> None:
        nonlocal waits
        wait_until(conn, due_at)
        waits += 1
        if waits == number and number == KEPT_WAIT:
            loop.call_at(due_at - LIMIT_S / 2, caller.send, shape.early)

    def hold_up(conn: http_connections.CallerConnection) -> None:
        is_due = waits >= number and loop.time() >= conn._due_at
        if is_due and not rest.done():
            unsent = caller.send(shape.late)
            time.sleep(held_up_s)
            rest.set_result(unsent)
        on_timer(conn)

    monkeypatch.setattr(http_connections.CallerConnection, "_wait_until", count)
    monkeypatch.setattr(http_connections.CallerConnection, "_on_timer", hold_up)
    return rest


KEPT_WAIT: Final = 4
"""Number of the wait after the first answer: before it came those after the
accept, for the first request and for its body."""

BODY_WAIT: Final = KEPT_WAIT + 1
"""Number of the wait for the second request's body."""


@pytest.mark.parametrize(
    ("name", "held_up_s"),
    list(
        itertools.product(
            [name for name in SHAPES if "body" not in name or name == "body"],
            HELD_UP_S,
        )
    ),
)
@async_helpers.async_test
async def test_requests_that_cross_the_idle_time_are_answered(
    name: str, held_up_s: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against requests that are read, and dropped by the idle time."""
    shape = SHAPES[name]
    with _serving() as (_, handler, caller):
        rest = _hold_up_timer(monkeypatch, KEPT_WAIT, caller, shape, held_up_s)
        await _call_once(caller)
        await caller.send_all(await rest)
        await caller.read_until(
            lambda received: _answers(received) == 1 + shape.requests
        )
    assert _answers(caller.received) == 1 + shape.requests
    assert handler.handled == 1 + shape.requests


@pytest.mark.parametrize(
    ("name", "held_up_s"),
    list(itertools.product(SHAPES, (0.0, 0.0004, *HELD_UP_S))),
)
@async_helpers.async_test
async def test_requests_that_cross_a_stop_are_answered(
    name: str, held_up_s: float
) -> None:
    """Guards against requests that are read, and dropped by a shutdown."""
    shape = SHAPES[name]
    with _serving() as (server, handler, caller):
        server.set_idle_timeout(60.0)
        await _call_once(caller)
        await caller.send_all(shape.early)
        await asyncio.sleep(0.02)

        def stop() -> None:
            server.stopping = True
            server.stop_listening()
            server.close_idle()

        rest = _hold_up(
            caller,
            shape,
            asyncio.get_running_loop().time(),
            held_up_s,
            stop,
        )
        await caller.send_all(await rest)
        await caller.read_until(
            lambda received: _answers(received) == 1 + shape.requests
        )
    assert _answers(caller.received) == 1 + shape.requests
    assert handler.handled == 1 + shape.requests


@pytest.mark.parametrize(
    ("name", "held_up_s"),
    list(
        itertools.product(
            ["body-in-halves", "chunks-in-halves", "large-body"], HELD_UP_S
        )
    ),
)
@async_helpers.async_test
async def test_bodies_that_cross_their_time_limit_are_answered(
    name: str, held_up_s: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a body that is read, and dropped as its time is up."""
    monkeypatch.setattr(caller_server, "BODY_TIMEOUT_S", LIMIT_S)
    shape = SHAPES[name]
    with _serving() as (server, handler, caller):
        server.set_idle_timeout(60.0)
        rest = _hold_up_timer(monkeypatch, BODY_WAIT, caller, shape, held_up_s)
        await _call_once(caller)
        await caller.send_all(shape.early)
        await caller.send_all(await rest)
        await caller.read_until(lambda received: _answers(received) == 2)
    assert _answers(caller.received) == 2
    assert handler.handled == 2


@pytest.mark.parametrize("held_up_s", HELD_UP_S)
@async_helpers.async_test
async def test_bodies_over_the_limit_of_memory_are_refused(
    held_up_s: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a refusal that is lost as its connection is reset."""
    monkeypatch.setattr(
        memory_account,
        "compute_limits",
        lambda *_: memory_account.Limits(LARGE // 2, 100),
    )
    shape = SHAPES["large-body"]
    with _serving() as (server, handler, caller):
        server.set_idle_timeout(60.0)
        # A request that is the only one would have room.
        server.account.hold(
            memory_account.Holder(is_connection=True), 1, "complete", 0.0
        )
        await _call_once(caller)
        await caller.send_all(shape.early)
        rest = _hold_up(
            caller, shape, asyncio.get_running_loop().time(), held_up_s
        )
        await caller.send_all(await rest)
        await caller.read_until(lambda received: b"_too_much" in received)
    assert b"HTTP/1.1 503 " in caller.received
    assert b"reading_too_much" in caller.received
    assert handler.handled == 1


@pytest.mark.parametrize("closer", ["idle", "stop"])
@async_helpers.async_test
async def test_requests_after_a_close_are_not_handled(closer: str) -> None:
    """Guards against a request that runs although its connection is closed."""
    with _serving() as (server, handler, caller):
        await _call_once(caller)
        if closer == "stop":
            server.close_idle()
        else:
            await asyncio.sleep(LIMIT_S * 1.5)
        caller.send(GET)
        await caller.read_until(lambda received: _answers(received) == 2)
    assert _answers(caller.received) == 1
    assert handler.handled == 1
