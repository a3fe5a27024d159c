"""Tests of a gateway whose event loop was blocked, on real sockets.

A timer that is due after the delay must not take messages or answers that wait
in a socket for silence.
"""

import asyncio
import contextlib
import logging
import random
import socket
import threading
import time
from collections.abc import Iterator
from typing import Final, NamedTuple
from unittest import mock

import pytest
import zmq

from apricottrestle.gateway import (
    clock,
    gateway,
    peer_link,
    peer_messages,
    peer_sync,
    peers,
    settings,
)
from tests import async_helpers, gateway_on_sockets

PEER_COUNT: Final = 4

SLACK_S: Final = 0.5
"""Time by which a busy machine may delay messages and checks."""


class _Peers:
    """Other gateways, which send heartbeats from a thread of their own.

    Attributes:
        gone: Numbers of those that send nothing any more.
    """

    def __init__(self, address: str) -> None:
        self.gone: set[int] = set()
        self._address = address
        self._ended = threading.Event()
        self._thread = threading.Thread(target=self._run)

    def __enter__(self) -> "_Peers":
        self._thread.start()
        return self

    def __exit__(self, *_args: object) -> None:
        self._ended.set()
        self._thread.join()

    def _run(self) -> None:
        with zmq.Context() as ctx, contextlib.ExitStack() as stack:
            socks = [
                stack.enter_context(ctx.socket(zmq.PUSH))
                for _ in range(PEER_COUNT)
            ]
            for sock in socks:
                sock.setsockopt(zmq.LINGER, 0)
                sock.connect(f"tcp://{self._address}")
            while not self._ended.is_set():
                for number, sock in enumerate(socks):
                    if number not in self.gone:
                        sock.send(_heartbeat(number))
                self._ended.wait(peers.HEARTBEAT_INTERVAL_S)


def _heartbeat(number: int) -> bytes:
    return peer_messages.encode(
        peer_messages.Heartbeat(
            peer_messages.Sender(
                f"gateway-{number}", f"127.0.0.1:{number + 1}", f"i{number}", 1
            )
        )
    )


class _Check(NamedTuple):
    """What a gateway knew of its peers after one of its checks.

    Attributes:
        at: Monotonic time.
        peers: Number of peers that counted as alive.
    """

    at: float
    peers: int


@contextlib.contextmanager
def _checks_of_a_gateway() -> Iterator[tuple[list[_Check], _Peers]]:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        address = f"127.0.0.1:{sock.getsockname()[1]}"
    cfg = settings.GatewaySettings(
        "own", "dc-1", "", "", "", "", address, (), 8.0, 0.1, 10.0, 10.0,
        4.0, 8.0,
    )  # fmt: skip
    rng = random.Random(1)
    core = gateway.Gateway(cfg, mock.Mock(), rng, "own")
    sync = peer_sync.PeerSync(cfg, core, "own", rng)
    checks: list[_Check] = []

    def check() -> None:
        sync.tick()
        checks.append(_Check(clock.now(), sync.gateway_count() - 1))

    with (
        peer_link.PeerLink(address, sync.receive),
        _Peers(address) as others,
        clock.Ticker(peer_sync.PEER_CHECK_INTERVAL_S, check),
    ):
        yield checks, others


@pytest.mark.parametrize("delay_s", [0.5, 1.2, 3.0])
@pytest.mark.parametrize("gone", [0, 1, PEER_COUNT])
@async_helpers.async_test
async def test_peers_are_lost_by_their_own_silence_only(
    delay_s: float, gone: int
) -> None:
    """Guards against peers that are lost while their messages wait unread.

    A gateway that was blocked for 1.2 s lost all its peers, dropped their runs
    from its load tables and put their engines on probation (3 of 3 trials).
    Peers that are gone must be lost nevertheless.
    """
    with _checks_of_a_gateway() as (checks, others):
        await async_helpers.wait_until(
            lambda: checks and checks[-1].peers == PEER_COUNT
        )
        await asyncio.sleep(peers.HEARTBEAT_INTERVAL_S)
        others.gone.update(range(gone))
        time.sleep(delay_s)
        ended_at = clock.now()
        await asyncio.sleep(peers.PEER_TIMEOUT_S + SLACK_S)
    after = [check for check in checks if check.at >= ended_at]
    assert min(check.peers for check in after) == PEER_COUNT - gone
    assert after[-1].peers == PEER_COUNT - gone


@pytest.mark.parametrize("gap_s", [0.1, 0.2, 0.6, 2.0, 30.0])
def test_silent_peer_is_lost_although_each_check_is_late(gap_s: float) -> None:
    """Guards against a peer that a busy gateway never counts as lost."""
    table = peers.PeerTable()
    table.expire(0.0)
    table.record_message("127.0.0.1:1", "gateway-1", "i1", 0.0)
    checks = 1
    while table.count() > 1:
        table.expire(gap_s * checks)
        checks += 1
    counted_s = min(gap_s, peers.MAX_COUNTED_S)
    assert (checks - 2) * counted_s <= peers.PEER_TIMEOUT_S + 1e-9


PATHS: Final = {"unsafe": "/order/x", "safe": "/lookup/x", "stream": "/short/x"}


def _answer_and_block(
    before_s: float, block_s: float
) -> gateway_on_sockets.Script:
    """Returns a script whose answer waits unread while the loop is blocked.

    The upstream runs on the gateway's event loop; its bytes are in the socket
    when it returns from the write.
    """

    async def script(
        head: gateway_on_sockets.Head, conn: gateway_on_sockets.Connection
    ) -> None:
        await conn.read_body(head)
        body = gateway_on_sockets.WHOLE
        conn.write(
            gateway_on_sockets.signed_head(
                head, framing=f"Content-Length: {len(body)}\r\n"
            )
            + body[:20]
        )
        await asyncio.sleep(before_s)
        conn.write(body[20:])
        time.sleep(block_s)

    return script


async def _call(
    script: gateway_on_sockets.Script, route: str, deadline_s: float | None
) -> tuple[gateway_on_sockets.Received, int]:
    """Returns a caller's answer, and how often its request was sent."""
    upstream = gateway_on_sockets.Upstream([script])
    service = "engines" if route == "stream" else "plain"
    async with gateway_on_sockets.listening(upstream) as address:
        with gateway_on_sockets.serving(
            (service, address), (service, address)
        ) as caller:
            answer = await caller.call(
                PATHS[route], b"body", deadline_s=deadline_s
            )
            # A second attempt that was sent too late to serve the caller.
            await asyncio.sleep(0.1)
    return answer, len(upstream.heads)


@pytest.mark.parametrize("block_s", [0.5, 1.2, 3.0])
@pytest.mark.parametrize("route", ["safe", "stream"])
@async_helpers.async_test
async def test_answer_that_waits_in_its_socket_is_not_silent(
    route: str, block_s: float, caplog: pytest.LogCaptureFixture
) -> None:
    """Guards against silences that are the gateway's own delay.

    They cost the retry budget and a place at another upstream, and set the
    first one aside.
    """
    caplog.set_level(logging.INFO)
    script = _answer_and_block(0.1, block_s)
    answer, sends = await _call(script, route, None)
    assert answer == (200, gateway_on_sockets.WHOLE, True)
    assert sends == 1
    messages = [record.getMessage() for record in caplog.records]
    assert "send stalled" not in messages
    assert "upstream silent" not in messages


@pytest.mark.parametrize("late_s", [0.1, 0.2, 0.5, 1.5])
@pytest.mark.parametrize("route", PATHS)
@async_helpers.async_test
async def test_answer_that_was_ready_before_the_deadline_is_delivered(
    route: str, late_s: float
) -> None:
    """Guards against 504 for an answer that waits in its socket."""
    script = _answer_and_block(0.1, 0.4 + late_s)
    answer, sends = await _call(script, route, 0.5)
    assert answer == (200, gateway_on_sockets.WHOLE, True)
    assert sends == 1


@pytest.mark.parametrize("block_s", [0.0, 0.5, 1.2])
@pytest.mark.parametrize("route", ["safe", "stream"])
@async_helpers.async_test
async def test_silent_upstream_gets_a_second_attempt_after_a_delay(
    route: str, block_s: float
) -> None:
    """Guards against a delay that hides a real silence."""

    async def script(
        head: gateway_on_sockets.Head, conn: gateway_on_sockets.Connection
    ) -> None:
        await conn.read_body(head)
        time.sleep(block_s)
        await asyncio.sleep(gateway_on_sockets.CALLER_TIMEOUT_S)

    answer, sends = await _call(script, route, None)
    assert answer == (200, gateway_on_sockets.WHOLE, True)
    assert sends == 2
