"""Callers of the soak: HTTP over kept connections, with retries."""

import asyncio
import contextlib
import random
from typing import Final, NamedTuple

from apricottrestle_standins.platform import ledger, workload

CONNECT_S: Final = 1.0
PAUSE_S: Final = 2.0
"""Time for a connection, and silence after which a caller leaves a stream."""

REQUESTS_PER_CONNECTION: Final = 6


def _kind(
    name: str, route_kind: str, timeout_s: float, attempts: int
) -> workload.Kind:
    return workload.Kind(
        name,
        "stream" if route_kind == "stream" else "unsafe",
        1.0,
        1.0,
        1.0,
        timeout_s,
        0,
        1.0,
        0.5,
        max_attempts=attempts,
    )._replace(route_kind=route_kind)  # type: ignore[arg-type]


KINDS: Final = (
    _kind("short", "stream", 5.0, 2),
    _kind("order", "unsafe", 2.0, 1),
    _kind("lookup", "safe", 2.0, 2),
)


class _Conn(NamedTuple):
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter


class Caller:
    """One caller: sends requests one after the other.

    Attributes:
        addresses: Gateways in rotation, set by the balancer.
    """

    def __init__(
        self,
        name: str,
        book: ledger.Ledger,
        addresses: list[str],
        rng: random.Random,
    ) -> None:
        """Starts without a connection."""
        self._name = name
        self._book = book
        self._addresses = addresses
        self._rng = rng
        self._conn: _Conn | None = None
        self._left_on_conn = 0
        self._count = 0

    async def run(self, ends_s: float) -> None:
        """Sends requests until the time."""
        loop = asyncio.get_running_loop()
        while loop.time() < ends_s:
            await self._request()
            await asyncio.sleep(self._rng.uniform(0.0, 0.06))
        self._close()

    async def _request(self) -> None:
        loop = asyncio.get_running_loop()
        kind = self._rng.choice(KINDS)
        events = self._rng.randint(2, 12) if kind.route_kind == "stream" else 1
        arrival = workload.Arrival(0.0, kind, 0, 0, 0, events, 0.0, 0.0)
        ends = loop.time() + kind.timeout_s
        attempts: list[ledger.Attempt] = []
        self._book.requests.append(attempts)
        resume_after = 0
        for number in range(3):
            self._count += 1
            attempt = ledger.Attempt(
                f"{self._name}-{self._count}", arrival, loop.time()
            )
            attempt.resume_after = resume_after
            attempts.append(attempt)
            if number:
                self._close()
            await self._attempt(attempt, ends)
            if attempt.event_ids:
                resume_after = attempt.event_ids[-1]
            left_s = ends - loop.time()
            if not _comes_back(attempt) or left_s <= 0:
                return
            await asyncio.sleep(min(attempt.retry_after_s or 0.05, left_s / 3))

    async def _attempt(self, attempt: ledger.Attempt, ends: float) -> None:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(max(ends - loop.time(), 0.01)):
                conn = await self._connect()
                conn.writer.write(self._head(attempt, ends))
                await self._read(attempt, conn)
        except (TimeoutError, asyncio.IncompleteReadError, OSError) as exc:
            attempt.broken = not isinstance(exc, TimeoutError)
            attempt.left = isinstance(exc, TimeoutError)
            self._close()
        attempt.ended_s = loop.time()

    async def _connect(self) -> _Conn:
        if self._conn is not None and self._left_on_conn > 0:
            self._left_on_conn -= 1
            return self._conn
        self._close()
        if not self._addresses:
            raise OSError("no gateway in rotation")
        host, _, port = self._rng.choice(self._addresses).rpartition(":")
        async with asyncio.timeout(CONNECT_S):
            self._conn = _Conn(*await asyncio.open_connection(host, int(port)))
        self._left_on_conn = REQUESTS_PER_CONNECTION
        return self._conn

    def _close(self) -> None:
        if self._conn is not None:
            self._conn.writer.close()
            self._conn = None

    def _head(self, attempt: ledger.Attempt, ends: float) -> bytes:
        loop = asyncio.get_running_loop()
        arrival = attempt.arrival
        lines = [
            f"POST /{arrival.kind.name}/{arrival.events} HTTP/1.1",
            "Host: fleet.example",
            f"Apricottrestle-Attempt-Id: {attempt.request_id}",
            f"Apricottrestle-Deadline-Ms: {int((ends - loop.time()) * 1000)}",
            "Authorization: Bearer key-1",
            "Content-Length: 4",
        ]
        if arrival.kind.route_kind == "stream":
            lines.append(f"Apricottrestle-Token-Usage: 2000,{arrival.events}")
        if attempt.resume_after:
            lines.append(f"Last-Event-Id: {attempt.resume_after}")
        return "\r\n".join([*lines, "", "body"]).encode()

    async def _read(self, attempt: ledger.Attempt, conn: _Conn) -> None:
        head = (await conn.reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        line, *rows = head.strip().split("\r\n")
        headers = {
            name.lower(): value.strip()
            for name, _, value in (row.partition(":") for row in rows)
        }
        attempt.status = int(line.split(" ")[1])
        if "retry-after" in headers:
            attempt.retry_after_s = float(headers["retry-after"])
        if "content-length" in headers:
            await conn.reader.readexactly(int(headers["content-length"]))
        else:
            await self._read_chunks(attempt, conn.reader)
        attempt.complete = attempt.status == 200
        if headers.get("connection", "").lower() == "close":
            self._close()

    async def _read_chunks(
        self, attempt: ledger.Attempt, reader: asyncio.StreamReader
    ) -> None:
        loop = asyncio.get_running_loop()
        body = b""
        while True:
            async with asyncio.timeout(PAUSE_S):
                size = int((await reader.readuntil(b"\r\n")).strip(), 16)
                body += (await reader.readexactly(size + 2))[:-2]
            if not size:
                return
            *whole, body = body.split(b"\n\n")
            for event in whole:
                attempt.event_ids.append(int(event[4 : event.index(b"\n")]))
                attempt.event_times.append(loop.time())


def _comes_back(attempt: ledger.Attempt) -> bool:
    if attempt.complete or attempt.status in (400, 401, 404, 413):
        return False
    if attempt.arrival.kind.route_kind == "unsafe":
        return attempt.status in ledger.NOT_RUN_STATUSES
    return True


async def watch_readiness(
    ready: dict[str, str], rotation: list[str], interval_s: float = 0.25
) -> None:
    """Keeps the rotation as the load balancer does: two misses take one out.

    Args:
        ready: For each gateway's address for callers, the one of its check.
        rotation: Addresses in rotation; changed in place.
        interval_s: Time between two checks.
    """
    misses = dict.fromkeys(ready, 2)
    while True:
        for address, check in ready.items():
            good = await is_ready(check)
            misses[address] = 0 if good else misses[address] + 1
        rotation[:] = [
            address for address in ready if misses[address] < 2
        ] or list(ready)
        await asyncio.sleep(interval_s)


async def is_ready(address: str) -> bool:
    """Returns whether a gateway answers its readiness check with 200."""
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(0.3):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(b"GET /-/ready HTTP/1.1\r\nHost: h\r\n\r\n")
            return b" 200 " in await reader.readline()
    except (TimeoutError, OSError):
        return False
    finally:
        if writer is not None:
            with contextlib.suppress(OSError):
                writer.close()
