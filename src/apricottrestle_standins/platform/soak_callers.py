"""Callers of the soak test: HTTP with persistent connections and retries."""

import asyncio
import contextlib
import random
import select
import socket
from typing import Final, NamedTuple

from apricottrestle_standins.platform import ledger, workload

CONNECT_TIMEOUT_S: Final = 1.0
STREAM_IDLE_TIMEOUT_S: Final = 2.0
"""Pause in a stream after which a caller disconnects."""

REQUESTS_PER_CONNECTION: Final = 6

RETURNING_SHARE: Final = 0.5
RETURNS_S: Final = (-0.012, 0.004)
PIECES_SHARE: Final = 0.3
MAX_PIECE_PAUSE_S: Final = 0.4
"""Callers that come back at the idle time: share of such pauses, and how far
they are from it; share of requests that are sent in two pieces, and the longest
pause between them."""

REPEATED_EVENTS: Final = 5
"""Length of the answers to a caller that repeats one request, in events."""


def _make_kind(
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
    _make_kind("short", "stream", 5.0, 2),
    _make_kind("order", "unsafe", 2.0, 1),
    _make_kind("lookup", "safe", 2.0, 2),
)


class _Conn(NamedTuple):
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter


class Caller:
    """A caller that sends one request at a time."""

    def __init__(
        self,
        name: str,
        run_ledger: ledger.Ledger,
        addresses: list[str],
        rng: random.Random,
        shared_parts: tuple[str, ...] = (),
        body: bytes = b"",
    ) -> None:
        """Creates a caller without a connection.

        Args:
            name: Prefix of the attempt ids.
            run_ledger: Ledger to record the attempts in.
            addresses: Gateways in rotation; changed in place by
                `watch_readiness`.
            rng: Source of random choices.
            shared_parts: Shared parts of its prompts; a caller with any sends
                prompts only.
            body: Body of all its requests, which are equal then; if empty, each
                request has its own.
        """
        self._shared_parts = shared_parts
        self._body = body
        self._address = ""
        self._name = name
        self._run_ledger = run_ledger
        self._addresses = addresses
        self._rng = rng
        self._conn: _Conn | None = None
        self._requests_left_on_conn = 0
        self._attempt_count = 0

    async def run(self, end_s: float) -> None:
        """Sends requests until a time of the event loop."""
        loop = asyncio.get_running_loop()
        while loop.time() < end_s:
            await self._request()
            await self._pause()
        self._close()

    async def _pause(self) -> None:
        """Waits between two requests."""
        await asyncio.sleep(self._rng.uniform(0.0, 0.06))

    async def _write(self, conn: _Conn, data: bytes) -> None:
        """Sends a request."""
        conn.writer.write(data)

    async def _request(self) -> None:
        loop = asyncio.get_running_loop()
        is_prompt = bool(self._shared_parts or self._body)
        kind = self._rng.choice(KINDS[:1] if is_prompt else KINDS)
        events = self._rng.randint(2, 12) if kind.route_kind == "stream" else 1
        if self._body:
            events = REPEATED_EVENTS
        arrival = workload.Arrival(
            0.0,
            kind,
            0,
            0,
            0,
            events,
            0.0,
            0.0,
            self._shared_parts,
            self._body or f"{self._name}-{self._attempt_count}".encode(),
        )
        deadline = loop.time() + kind.timeout_s
        attempts: list[ledger.Attempt] = []
        self._run_ledger.requests.append(attempts)
        resume_after = 0
        for number in range(3):
            self._attempt_count += 1
            attempt = ledger.Attempt(
                f"{self._name}-{self._attempt_count}", arrival, loop.time()
            )
            attempt.resume_after = resume_after
            attempts.append(attempt)
            if number:
                self._close()
            await self._attempt(attempt, deadline)
            if attempt.event_ids:
                resume_after = attempt.event_ids[-1]
            left_s = deadline - loop.time()
            if not _should_retry(attempt) or left_s <= 0:
                return
            await asyncio.sleep(min(attempt.retry_after_s or 0.05, left_s / 3))

    async def _attempt(self, attempt: ledger.Attempt, deadline: float) -> None:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(max(deadline - loop.time(), 0.01)):
                conn = await self._connect()
                attempt.gateway = self._address
                await self._write(conn, self._request_head(attempt, deadline))
                await self._read_response(attempt, conn)
        except (TimeoutError, asyncio.IncompleteReadError, OSError) as exc:
            attempt.broken = not isinstance(exc, TimeoutError)
            attempt.dropped = (
                attempt.status is None
                and isinstance(exc, asyncio.IncompleteReadError)
                and self._conn is not None
                and not has_error(self._conn.writer)
            )
            attempt.disconnected = isinstance(exc, TimeoutError)
            self._close()
        attempt.ended_s = loop.time()

    async def _connect(self) -> _Conn:
        if self._conn is not None and self._requests_left_on_conn > 0:
            self._requests_left_on_conn -= 1
            return self._conn
        self._close()
        if not self._addresses:
            raise OSError("no gateway in rotation")
        self._address = self._rng.choice(self._addresses)
        host, _, port = self._address.rpartition(":")
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            self._conn = _Conn(*await asyncio.open_connection(host, int(port)))
        self._requests_left_on_conn = REQUESTS_PER_CONNECTION
        return self._conn

    def _close(self) -> None:
        if self._conn is not None:
            self._conn.writer.close()
            self._conn = None

    def _request_head(self, attempt: ledger.Attempt, end_s: float) -> bytes:
        loop = asyncio.get_running_loop()
        arrival = attempt.arrival
        lines = [
            f"POST /{arrival.kind.name}/{arrival.events} HTTP/1.1",
            "Host: fleet.example",
            f"Apricottrestle-Attempt-Id: {attempt.request_id}",
            f"Apricottrestle-Deadline-Ms: {int((end_s - loop.time()) * 1000)}",
            "Authorization: Bearer key-1",
            f"Content-Length: {len(arrival.body)}",
        ]
        if arrival.kind.route_kind == "stream":
            lines.append(f"Apricottrestle-Token-Usage: 2000,{arrival.events}")
        if arrival.shared_parts:
            entries = [f"{part}:40" for part in arrival.shared_parts]
            entries.append(f"{attempt.request_id}:1900")
            lines.append(f"Apricottrestle-Prompt-Prefix: {','.join(entries)}")
        if attempt.resume_after:
            lines.append(f"Last-Event-Id: {attempt.resume_after}")
        return "\r\n".join([*lines, "", ""]).encode() + arrival.body

    async def _read_response(
        self, attempt: ledger.Attempt, conn: _Conn
    ) -> None:
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
            async with asyncio.timeout(STREAM_IDLE_TIMEOUT_S):
                size = int((await reader.readuntil(b"\r\n")).strip(), 16)
                body += (await reader.readexactly(size + 2))[:-2]
            if not size:
                return
            *complete, body = body.split(b"\n\n")
            for event in complete:
                attempt.event_ids.append(int(event[4 : event.index(b"\n")]))
                attempt.event_times.append(loop.time())


def has_ended(writer: asyncio.StreamWriter) -> bool:
    """Returns whether the peer has closed a connection that awaits nothing.

    The event loop may not know yet.
    """
    poll = select.poll()
    poll.register(writer.get_extra_info("socket").fileno(), select.POLLIN)
    return bool(poll.poll(0))


def has_error(writer: asyncio.StreamWriter) -> bool:
    """Returns whether what was sent last has been answered with a reset.

    The end of a stream that came before is read first. A second write gets the
    error, and asyncio closes the connection.
    """
    sock = writer.get_extra_info("socket")
    return writer.is_closing() or bool(
        sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    )


class ReturningCaller(Caller):
    """Comes back at about the idle time, and sends some requests in pieces."""

    idle_s = 1.0

    async def _pause(self) -> None:
        if self._rng.random() < RETURNING_SHARE:
            await asyncio.sleep(self.idle_s + self._rng.uniform(*RETURNS_S))
        else:
            await super()._pause()

    async def _connect(self) -> _Conn:
        if self._conn is not None and has_ended(self._conn.writer):
            self._close()
        return await super()._connect()

    async def _write(self, conn: _Conn, data: bytes) -> None:
        if self._rng.random() < PIECES_SHARE:
            cut = self._rng.randrange(1, len(data))
            conn.writer.write(data[:cut])
            await asyncio.sleep(self._rng.uniform(0.0, MAX_PIECE_PAUSE_S))
            data = data[cut:]
        conn.writer.write(data)


def _should_retry(attempt: ledger.Attempt) -> bool:
    if attempt.complete or attempt.status in (400, 401, 404, 413):
        return False
    if attempt.arrival.kind.route_kind == "unsafe":
        return attempt.status in ledger.NOT_RUN_STATUSES
    return True


async def watch_readiness(
    ready: dict[str, str], rotation: list[str], interval_s: float = 0.25
) -> None:
    """Updates the rotation as the load balancer does.

    Two failed checks in a row remove a gateway, unless none would be left.

    Args:
        ready: Address of the readiness check by caller address.
        rotation: Caller addresses in rotation; changed in place.
        interval_s: Interval between checks.
    """
    failed_checks = dict.fromkeys(ready, 2)
    while True:
        for address, check in ready.items():
            is_up = await is_ready(check)
            failed_checks[address] = 0 if is_up else failed_checks[address] + 1
        rotation[:] = [
            address for address in ready if failed_checks[address] < 2
        ] or list(ready)
        await asyncio.sleep(interval_s)


async def is_ready(address: str) -> bool:
    """Returns whether a gateway's readiness check responds with 200."""
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
