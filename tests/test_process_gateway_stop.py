"""Tests the planned stop of a gateway's process, in calm."""

import asyncio
import contextlib
import pathlib
import random
import signal
import socket
from typing import Final, NamedTuple

import pytest

from apricottrestle_standins.platform import soak, soak_callers, workload

pytestmark = pytest.mark.process

GRACE_S: Final = 8.0
SERVICE_TIME_S: Final = 2.5
SEND_INTERVAL_S: Final = 0.2
ALLOWED_CUT_S: Final = 3.0
"""Time after the signal until which a request may be sent that is still cut at
the end of the grace period."""


class Outcome(NamedTuple):
    """What a caller got on a connection that it had opened before the stop.

    Attributes:
        request_id: Id of its only request.
        sent_s: Time after the signal at which it was sent.
        status: Status of the whole answer, or None without one.
    """

    request_id: str
    sent_s: float
    status: int | None


async def _call_late(
    address: str, kind: workload.Kind, number: int, limit_s: float | None
) -> Outcome:
    """Opens a connection, and sends a request on it some time later."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    sent_s = number * SEND_INTERVAL_S
    await asyncio.sleep(sent_s)
    request_id = f"late-{kind.name}-{number}"
    limit = ""
    if limit_s is not None:
        limit = f"Apricottrestle-Deadline-Ms: {limit_s * 1000:.0f}\r\n"
    status = None
    with contextlib.suppress(asyncio.IncompleteReadError, OSError):
        writer.write(
            f"POST /{kind.name}/5 HTTP/1.1\r\nHost: fleet.example\r\n"
            f"Apricottrestle-Attempt-Id: {request_id}\r\n{limit}"
            "Authorization: Bearer key-1\r\nContent-Length: 0\r\n\r\n".encode()
        )
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        code = int(head.split(" ")[1])
        if "chunked" in head.lower():
            await reader.readuntil(b"\r\n0\r\n\r\n")
        else:
            length = head.lower().partition("content-length: ")[2]
            await reader.readexactly(int(length.split("\r\n")[0]))
        status = code
    writer.close()
    return Outcome(request_id, sent_s, status)


@pytest.mark.parametrize(
    ("name", "route_timeout_s", "limit_s", "stops_all"),
    [
        ("order", 30.0, None, False),
        ("order", 30.0, 20.0, True),
        ("order", 4.0, 1.0, True),
        ("lookup", 4.0, None, False),
        ("short", 30.0, 20.0, False),
    ],
)
def test_requests_on_kept_connections_are_answered_or_never_passed_on(
    name: str,
    route_timeout_s: float,
    limit_s: float | None,
    stops_all: bool,
    tmp_path: pathlib.Path,
) -> None:
    """Guards against requests that are taken late and cut with the process.

    One gateway is stopped, in calm, or all of them are. Callers send on
    connections that they have had all along; a route's time limit may be longer
    than the grace period.
    """
    kind = next(kind for kind in soak_callers.KINDS if kind.name == name)

    async def main() -> tuple[soak.Fleet, list[Outcome]]:
        fleet = soak.Fleet(tmp_path, random.Random(1))
        fleet.route_timeout_s = route_timeout_s
        for upstream in fleet.upstreams:
            upstream.service_time_s = SERVICE_TIME_S
        row = fleet.gateways[0]
        stopped = fleet.gateways if stops_all else [row]
        for each in stopped:
            each.grace_s = GRACE_S
        async with fleet.running():
            calls = [
                asyncio.ensure_future(
                    _call_late(row.caller_address, kind, number, limit_s)
                )
                for number in range(int(GRACE_S / SEND_INTERVAL_S))
            ]
            await asyncio.sleep(0.1)
            for each in stopped:
                each.signal(signal.SIGTERM)
            assert await row.wait_exit(GRACE_S)
            return fleet, await asyncio.gather(*calls)

    fleet, outcomes = asyncio.run(main())
    passed_on = {
        delivery.request_id for delivery in fleet.run_ledger.deliveries
    }
    cut = [
        outcome
        for outcome in outcomes
        if outcome.status is None
        and outcome.request_id in passed_on
        and outcome.sent_s > ALLOWED_CUT_S
    ]
    assert cut == []
    assert not any(
        outcome.status == 503 and outcome.request_id in passed_on
        for outcome in outcomes
    )
    assert outcomes[0].status in (200, 504)


LARGE_BYTES: Final = 12 * 1024 * 1024
RECEIVE_BUFFER_BYTES: Final = 64 * 1024
READ_INTERVAL_S: Final = 0.1
STOP_AFTER_S: Final = 1.0


async def _read_slowly(address: str, number: int, read_s: float) -> int:
    """Requests a large answer, and returns the bytes that were received."""
    host, _, port = address.rpartition(":")
    sock = socket.socket()
    sock.setblocking(False)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    loop = asyncio.get_running_loop()
    await loop.sock_connect(sock, (host, int(port)))
    reader, writer = await asyncio.open_connection(
        sock=sock, limit=RECEIVE_BUFFER_BYTES
    )
    writer.write(
        f"GET /lookup/1 HTTP/1.1\r\nHost: fleet.example\r\n"
        f"Apricottrestle-Attempt-Id: large-{number}\r\n"
        "Apricottrestle-Deadline-Ms: 20000\r\n"
        "Authorization: Bearer key-1\r\n\r\n".encode()
    )
    received = 0
    with contextlib.suppress(OSError):
        await reader.readuntil(b"\r\n\r\n")
        started_at = loop.time()
        while received < LARGE_BYTES:
            wanted = LARGE_BYTES * (loop.time() - started_at) / read_s
            while received < wanted:
                data = await reader.read(RECEIVE_BUFFER_BYTES)
                received += len(data)
                if not data:
                    return received
            await asyncio.sleep(READ_INTERVAL_S)
    writer.close()
    return received


def test_answers_that_callers_read_slowly_are_whole(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a stop that cuts large answers out of their buffers."""

    async def main() -> list[int]:
        fleet = soak.Fleet(tmp_path, random.Random(1))
        fleet.route_timeout_s = 30.0
        for upstream in fleet.upstreams:
            upstream.body_bytes = LARGE_BYTES
        row = fleet.gateways[0]
        row.grace_s = GRACE_S
        async with fleet.running():
            reads = [
                asyncio.ensure_future(
                    _read_slowly(row.caller_address, number, read_s)
                )
                for number, read_s in enumerate((3.0, 4.0, 5.0, 6.0))
            ]
            await asyncio.sleep(STOP_AFTER_S)
            row.signal(signal.SIGTERM)
            received = await asyncio.gather(*reads)
            assert await row.wait_exit(GRACE_S)
            return received

    assert asyncio.run(main()) == [LARGE_BYTES] * 4


def test_reloads_during_a_stop_do_not_end_the_process(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a reload that ends a process while it stops."""

    async def main() -> int | None:
        fleet = soak.Fleet(tmp_path, random.Random(1))
        row = fleet.gateways[0]
        row.grace_s = GRACE_S
        async with fleet.running():
            row.signal(signal.SIGTERM)
            while not await row.wait_exit(0.0):
                row.signal(signal.SIGHUP)
                await asyncio.sleep(0.002)
            assert row.popen is not None
            return row.popen.returncode

    assert asyncio.run(main()) == 0


BODY_BYTES: Final = 50_000
PIECE_INTERVAL_S: Final = 0.1


async def _send_in_pieces(
    address: str, number: int, send_s: float, sent_share: float
) -> int | None:
    """Sends a request slowly, or a part of it, and returns the status.

    Args:
        address: The gateway.
        number: Number of the caller.
        send_s: Time in which a whole body is sent.
        sent_share: Share of the body after which the caller falls silent;
            negative for half of the head.

    Returns:
        The status, or None if the connection ended without an answer.
    """
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    head = (
        f"POST /lookup/5 HTTP/1.1\r\nHost: fleet.example\r\n"
        f"Apricottrestle-Attempt-Id: slow-{number}\r\n"
        f"Authorization: Bearer key-1\r\nContent-Length: {BODY_BYTES}\r\n\r\n"
    ).encode()

    async def send() -> None:
        if sent_share < 0:
            writer.write(head[: len(head) // 2])
            return
        writer.write(head)
        pieces = int(send_s / PIECE_INTERVAL_S)
        for _ in range(int(pieces * sent_share)):
            writer.write(b"x" * (BODY_BYTES // pieces))
            await asyncio.sleep(PIECE_INTERVAL_S)

    sending = asyncio.ensure_future(send())
    status = None
    with contextlib.suppress(asyncio.IncompleteReadError, OSError):
        answer = await reader.readuntil(b"\r\n\r\n")
        status = int(answer.split(b" ")[1])
    sending.cancel()
    writer.close()
    return status


@pytest.mark.parametrize(
    ("send_s", "sent_share"),
    [(2.0, 1.0), (5.0, 1.0), (2.0, 0.5), (2.0, -1.0)],
    ids=["body over 2 s", "body over 5 s", "half a body", "half a head"],
)
def test_requests_that_still_arrive_are_answered(
    send_s: float, sent_share: float, tmp_path: pathlib.Path
) -> None:
    """Guards against a stop that resets requests which are still sent."""

    async def main() -> list[int | None]:
        fleet = soak.Fleet(tmp_path, random.Random(1))
        row = fleet.gateways[0]
        row.grace_s = GRACE_S
        async with fleet.running():
            calls = [
                asyncio.ensure_future(
                    _send_in_pieces(
                        row.caller_address, number, send_s, sent_share
                    )
                )
                for number in range(10)
            ]
            await asyncio.sleep(STOP_AFTER_S)
            row.signal(signal.SIGTERM)
            assert await row.wait_exit(GRACE_S)
            return await asyncio.gather(*calls)

    statuses = asyncio.run(main())
    assert len(statuses) == 10
    assert set(statuses) <= {200, 503}
    if sent_share == 1.0 and send_s < ALLOWED_CUT_S:
        assert set(statuses) == {200}
