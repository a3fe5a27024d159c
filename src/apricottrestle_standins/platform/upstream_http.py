"""Upstreams over HTTP: engines that stream events, and plain services.

Each records in a ledger what it runs. The engines' speed is fixed: these
stand-ins serve the checks of delivery, and `engine_passes` simulates timing.
"""

import asyncio
import contextlib
import random
import socket
import struct
from collections.abc import Callable
from types import TracebackType
from typing import Final, NamedTuple, Self

from apricottrestle_standins.platform import ledger

EVENT_INTERVAL_S: Final = 0.03
FIRST_EVENT_DELAY_S: Final = 0.02
SERVICE_TIME_S: Final = 0.02
BODY_BYTES: Final = 2
REPORT_PATH: Final = "/-/report"


class ReceivedRequest(NamedTuple):
    """A received request.

    Attributes:
        target: Path and query.
        headers: Headers by lower-case name.
        body: Body.
    """

    target: str
    headers: dict[str, str]
    body: bytes


async def read_request(reader: asyncio.StreamReader) -> ReceivedRequest:
    """Reads a request; the body needs a Content-Length.

    Raises:
        IncompleteReadError: The connection was closed.
    """
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    line, *rows = head.strip().split("\r\n")
    headers = {}
    for row in rows:
        name, _, value = row.partition(":")
        headers[name.lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return ReceivedRequest(line.split(" ")[1], headers, body)


def reset(writer: asyncio.StreamWriter) -> None:
    """Closes a connection with a TCP reset."""
    sock = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
    writer.transport.abort()


class Upstream:
    """An upstream that listens while its context is open.

    Attributes:
        upstream_id: Id in the upstream list.
        address: Its "ip:port".
        started_at_ms: Start time of its process, as listed; increases at each
            restart.
        streams: Whether it is an engine.
        answer_loss_rate: Share of a plain service's requests that run, but
            whose connection is then reset.
        service_time_s: Time that a plain service takes for a request.
        body_bytes: Length of a plain service's answers.
        frames_answers: Whether an engine's answers are chunked; if not, they
            end with their connection.
        limit_per_s: Limit that responses name, in requests per second, or None.
        is_leaving: Whether all answers say that it leaves.
        refuses_until: Time until which it turns requests away, and says so.
        silent_until: Time until which it sends nothing, and then goes on.
        is_full: Whether it turns all requests away, without a time to return.
        crashing_parts: Parts of prompts that crash the engine.
        crashing_bodies: Bodies of requests that crash the upstream.
        on_prompt_crash: Called with the part or body that has crashed it.
    """

    frames_answers = True
    limit_per_s: float | None = None
    is_leaving = False
    refuses_until = 0.0
    silent_until = 0.0
    is_full = False
    crashing_parts: frozenset[str] = frozenset()
    crashing_bodies: frozenset[bytes] = frozenset()
    on_prompt_crash: Callable[["Upstream", str], None]

    def __init__(
        self,
        upstream_id: str,
        run_ledger: ledger.Ledger,
        rng: random.Random,
        *,
        streams: bool,
    ) -> None:
        """Creates an upstream that will listen on a free port."""
        self.upstream_id = upstream_id
        self.address = ""
        self.started_at_ms = 1
        self.answer_loss_rate = 0.0
        self.service_time_s = SERVICE_TIME_S
        self.body_bytes = BODY_BYTES
        self._run_ledger = run_ledger
        self._rng = rng
        self.streams = streams
        self._port = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def __aenter__(self) -> Self:
        """Starts to listen."""
        await self.start()
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Stops listening and resets the connections."""
        self.crash()

    async def start(self) -> None:
        """Starts to listen; after a crash, at the same address."""
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", self._port
        )
        self._port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{self._port}"

    def crash(self, *, resets: bool = True) -> None:
        """Stops listening and ends the open connections.

        Args:
            resets: Whether to reset them; else they are closed after what was
                written.
        """
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            if resets:
                reset(writer)
            else:
                writer.close()
        self._writers.clear()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self._server is None:
            # Accepted before a crash, and served only after it.
            reset(writer)
            return
        self._writers.add(writer)
        try:
            while not writer.is_closing():
                received = await read_request(reader)
                if not await self._respond(received, reader, writer):
                    return
        except (
            asyncio.IncompleteReadError,
            ConnectionError,
            # Cancelled at the end of a run; asyncio would log the exception.
            asyncio.CancelledError,
        ):
            return
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _respond(
        self,
        received: ReceivedRequest,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Responds to a request; False closes the connection."""
        headers = received.headers
        request_id = headers.get("apricottrestle-attempt-id", "")
        expected = headers.get("apricottrestle-expect-instance")
        if received.target == REPORT_PATH:
            report = b'{"born":%d}' % self.started_at_ms
            writer.write(
                b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s"
                % (len(report), report)
            )
            return True
        self._run_ledger.deliveries.append(
            ledger.Delivery(
                request_id,
                self.upstream_id,
                asyncio.get_running_loop().time(),
                self.started_at_ms,
            )
        )
        if expected not in (None, self.upstream_id):
            writer.write(b"HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n")
            return True
        left_s = self.refuses_until - asyncio.get_running_loop().time()
        if left_s > 0:
            self._note(request_id, left_s)
            writer.write(
                f"HTTP/1.1 503 X\r\nRetry-After: {left_s:.3f}\r\n"
                f"Apricottrestle-Attempt-Id: {request_id}\r\n"
                "Apricottrestle-Not-Executed: 1\r\n"
                "Content-Length: 0\r\n\r\n".encode()
            )
            return True
        if self.is_full:
            writer.write(
                f"HTTP/1.1 503 X\r\nApricottrestle-Attempt-Id: {request_id}\r\n"
                "Apricottrestle-Not-Executed: 1\r\n"
                "Content-Length: 0\r\n\r\n".encode()
            )
            return True
        resume_after = int(headers.get("last-event-id", "0"))
        self._run_ledger.runs.append(
            ledger.RunRecord(
                request_id,
                self.upstream_id,
                asyncio.get_running_loop().time(),
                resume_after + 1,
            )
        )
        head = (
            "HTTP/1.1 200 OK\r\n"
            f"Apricottrestle-Attempt-Id: {request_id}\r\n"
            "Apricottrestle-Server-Signature: s\r\n"
        )
        if self.is_leaving:
            self._note(request_id, None)
            head += "Server-Leaving: 1\r\n"
        if self.limit_per_s is not None:
            head += f"Server-Limit: {self.limit_per_s}\r\n"
            self._run_ledger.limits[-1].note_named(
                self.upstream_id, asyncio.get_running_loop().time()
            )
        if not self.streams:
            await asyncio.sleep(self.service_time_s)
            await self._wait_silently()
            if self._crash_by_request(received):
                return False
            if self._rng.random() < self.answer_loss_rate:
                reset(writer)
                return False
            writer.write(
                f"{head}Content-Length: {self.body_bytes}\r\n\r\n".encode()
                + b"k" * self.body_bytes
            )
            return True
        events = int(received.target.rpartition("/")[2])
        framing = "Transfer-Encoding: chunked\r\n" * self.frames_answers
        writer.write(f"{head}{framing}\r\n".encode())
        await asyncio.sleep(FIRST_EVENT_DELAY_S)
        if self._crash_by_request(received):
            return False
        for number in range(resume_after + 1, events + 1):
            await self._wait_silently()
            self._write_body(writer, f"id: {number}\ndata: x\n\n".encode())
            await writer.drain()
            if reader.at_eof():
                return False
            await asyncio.sleep(EVENT_INTERVAL_S)
        self._write_body(writer, b"")
        return self.frames_answers

    async def _wait_silently(self) -> None:
        """Waits until the upstream is no longer silent."""
        loop = asyncio.get_running_loop()
        while loop.time() < self.silent_until:
            await asyncio.sleep(self.silent_until - loop.time())

    def _note(self, request_id: str, wait_s: float | None) -> None:
        """Records that an answer says that it leaves, or wants nothing."""
        self._run_ledger.notices.append(
            ledger.Notice(
                request_id,
                self.upstream_id,
                asyncio.get_running_loop().time(),
                wait_s,
                self.started_at_ms,
            )
        )

    def _write_body(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        """Writes a part of the body; an empty one ends a chunked body."""
        if self.frames_answers:
            data = b"%x\r\n%s\r\n" % (len(data), data)
        writer.write(data)

    def _crash_by_request(self, received: ReceivedRequest) -> bool:
        """Crashes by the request's body or one of its prompt's shared parts."""
        entries = received.headers.get(
            "apricottrestle-prompt-prefix", ""
        ).split(",")
        parts = {entry.partition(":")[0] for entry in entries[:-1]}
        causes = sorted(parts & self.crashing_parts)
        if received.body in self.crashing_bodies:
            causes.append(received.body.decode())
        if not causes:
            return False
        if self._server is not None:
            self.crash(resets=False)
            self.on_prompt_crash(self, causes[0])
        return True
