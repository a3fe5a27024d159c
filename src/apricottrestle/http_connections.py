"""Connections of an HTTP server's callers: who may close one, and when.

Several things end a connection: nobody uses it, a request takes too long to
arrive, or the process stops. All of them ask the connection's one owner,
`CallerConnection`. The event loop runs the callback of a timer before the
reader of a request gets bytes that arrived earlier, so what a reader knows is
not enough to decide.

Invariants: neither a time limit nor a shutdown closes a connection without an
answer if something of a request has been read from it or can be read. A request
that has arrived in part when its time is up is refused.
"""

import abc
import asyncio
import logging
import socket
import time
from collections.abc import Callable
from typing import Final, Literal, NamedTuple

from tornado import httputil, iostream

from apricottrestle import logs, memory_account, metrics

RECHECK_S: Final = 0.01
"""Time after which a connection whose time is up is looked at again, while
bytes are on their way to its reader."""

NEW_CONNECTION_S: Final = 0.5
"""Time for which a shutdown leaves a new connection open for its first request.
Its caller has opened it to send one."""

CHUNK_BYTES: Final = 8 * 1024
"""Size in which bodies are passed to their reader. Tornado keeps the last one
or two chunks of a body until the next ones come, beside the reader's copy."""

KEPT_BYTES: Final = 2 * CHUNK_BYTES
"""Bytes that are counted for these chunks."""

LINGER_S: Final = 2.0
"""Time for which the rest of a refused request is read and dropped. Closing
before would reset the connection, and the caller might not get the refusal."""

MAX_UNFINISHED: Final = 64
"""Connections that were closed inside a request, after which garbage is
collected. Tornado's frames of such a request, with up to 20 kB of its body,
refer to each other, and the collector would let thousands of them gather. A
collection takes 15 ms."""

_TORNADO_HEADERS: Final = frozenset(
    ("Connection", "Content-Length", "Expect", "Transfer-Encoding")
)
"""Headers that Tornado reads again after the delegate has got them."""

_LOG: Final = logging.getLogger(__name__)

Phase = Literal["waiting", "head", "body", "responding"]
"""What a connection is doing.

waiting: nothing of the next request has been read.
head: a part of its head has been read.
body: its head has been read, but not all of its body.
responding: it has been read, or refused; the response isn't written yet.
"""


def drop_headers(headers: httputil.HTTPHeaders) -> None:
    """Removes what Tornado doesn't need to read the rest of a request.

    It keeps the headers until the response is written. Removing them one by one
    would leave the size of the table as it is.
    """
    kept = httputil.HTTPHeaders()
    for name in _TORNADO_HEADERS:
        for value in headers.get_list(name):
            kept.add(name, value)
    httputil.HTTPHeaders.__init__(headers, kept)


def report_closed_for_room(
    holder: memory_account.Holder, account: memory_account.MemoryAccount
) -> None:
    """Logs and counts a connection that is about to be closed for room."""
    logs.decision(
        _LOG,
        "connection closed for room",
        held=holder.phase,
        held_bytes=holder.held_bytes,
        silent_s=round(time.monotonic() - holder.active_at, 3),
        account_bytes=account.held_bytes,
        connections=account.connections,
    )
    metrics.CONNECTIONS_CLOSED.labels("room").inc()


class ArrivalLimits(NamedTuple):
    """Time limits of the arrival of requests, in seconds.

    Attributes:
        idle_s: Time until a request begins to arrive.
        head_s: Time from its last bytes until its head is complete, if it
            isn't at the end of the idle time.
        body_s: Time from then until its body is complete.
    """

    idle_s: float
    head_s: float
    body_s: float


class StreamOwner(abc.ABC):
    """What a caller's stream belongs to: told of its bytes, and asked first."""

    @abc.abstractmethod
    def may_read(self) -> bool:
        """Returns whether bytes that have arrived may be read."""

    @abc.abstractmethod
    def note_read(self, count: int) -> None:
        """Counts bytes that have been read."""

    @abc.abstractmethod
    def note_unread(self, count: int) -> None:
        """Counts bytes that have been written, but not sent.

        Args:
            count: All of them.
        """


class CallerStream(iostream.IOStream):
    """A caller's socket, which knows of bytes that no reader has got.

    Attributes:
        last_read_at: Monotonic time at which bytes were last read.
        owner: Told of what is read and written; None if nobody is.
    """

    def __init__(
        self, sock: socket.socket, max_buffer_size: int | None
    ) -> None:
        """Wraps an accepted socket."""
        super().__init__(sock, max_buffer_size=max_buffer_size)
        self.last_read_at = time.monotonic()
        self.owner: StreamOwner | None = None

    def read_from_fd(self, buf: bytearray | memoryview) -> int | None:
        """Reads from the socket if there is room, and notes the time."""
        owner = self.owner
        if owner is not None and not owner.may_read():
            return None
        count = super().read_from_fd(buf)
        if count:
            self.last_read_at = time.monotonic()
            if owner is not None:
                owner.note_read(count)
        return count

    def write_to_fd(self, data: memoryview) -> int:
        """Writes to the socket, and tells the owner."""
        count = super().write_to_fd(data)
        if count and self.owner is not None:
            self.owner.note_unread(self.unread_bytes - count)
        return count

    @property
    def unread_bytes(self) -> int:
        """Bytes that were written, but that the kernel hasn't taken."""
        return 0 if self.closed() else len(self._write_buffer)

    @property
    def arrived_bytes(self) -> int:
        """Bytes that were read, but that no reader has got."""
        return self._read_buffer_size

    @property
    def has_partial(self) -> bool:
        """Whether bytes have been read that aren't enough for the reader."""
        return self._read_buffer_size > 0

    @property
    def is_idle(self) -> bool:
        """Whether a stream that waits for a request has got nothing of it."""
        return not (self.has_partial or self.has_arrivals)

    @property
    def has_unread(self) -> bool:
        """Whether bytes have come behind those that the reader has got."""
        return not self.closed() and (self.has_partial or self._is_readable())

    @property
    def has_arrivals(self) -> bool:
        """Whether the reader will get bytes that have arrived already.

        Bytes that a read has returned, and whose reader's callback hasn't run
        yet, are neither in the socket nor in the buffer; but then no read is
        pending.
        """
        return not self.closed() and (not self.reading() or self._is_readable())

    def _is_readable(self) -> bool:
        try:
            return bool(self.socket.recv(1, socket.MSG_PEEK))
        except OSError:
            # Nothing to read, or a connection that is broken.
            return False


class ArrivingRequest(abc.ABC):
    """A request that a connection's reader has got in part."""

    @abc.abstractmethod
    def refuse_slow(self) -> None:
        """Refuses the request, as its time is up."""

    @abc.abstractmethod
    def refuse_for_room(self, *, linger: bool) -> None:
        """Refuses the request, whose head is known, as memory is full.

        Args:
            linger: Whether to read and drop its rest for a while.
        """


class CallerConnection(StreamOwner):
    """Owns the decision whether a caller's connection may be closed.

    Attributes:
        stream: The connection's socket.
        phase: What the connection is doing.
        request: The request that is expected or arrives.
    """

    def __init__(
        self,
        stream: CallerStream,
        get_limits: Callable[[], ArrivalLimits],
        account: memory_account.MemoryAccount,
    ) -> None:
        """Takes an accepted connection, which waits for its first request.

        Args:
            stream: The connection's socket.
            get_limits: Returns the limits in force; a limit counts as it was
                when the connection began to wait for what it limits.
            account: Counts what the connection holds.
        """
        self.stream = stream
        self._account = account
        self._holder = memory_account.Holder(self, is_connection=True)
        self._request_bytes = 0
        self._head_bytes = 0
        self._unread_bytes = 0
        self._is_refused = False
        self._is_answered = False
        stream.owner = self
        self.phase: Phase = "waiting"
        self.request: ArrivingRequest | None = None
        self._get_limits = get_limits
        self._accepted_at = time.monotonic()
        self._is_new = True
        self._due_at = 0.0
        self._timer: asyncio.TimerHandle | None = None
        self._wait_until(self._accepted_at + get_limits().idle_s)
        self._hold("idle")

    def expect(self, request: ArrivingRequest) -> None:
        """Begins to wait for a request."""
        if self.stream.closed():
            return
        self.phase = "waiting"
        self.request = request
        self._is_answered = False
        # A part of the request may have come with the one before it.
        self._request_bytes = self.stream.arrived_bytes
        self._hold("incomplete" if self._request_bytes else "idle")
        self._wait_until(time.monotonic() + self._get_limits().idle_s)

    def head_read(self, header_bytes: int = 0) -> None:
        """Begins to wait for the body of a request, which may be empty.

        Args:
            header_bytes: Bytes that its headers cost beside their text.
        """
        self.phase = "body"
        self._is_new = False
        # Bytes of the body may have come with the head.
        self._head_bytes = max(
            self._request_bytes - self.stream.arrived_bytes, 0
        )
        self._request_bytes += KEPT_BYTES + header_bytes
        if header_bytes:
            self._hold("incomplete")
        self._wait_until(time.monotonic() + self._get_limits().body_s)

    def respond(self) -> None:
        """Ends the arrival of a request."""
        if self.phase == "body":
            self._request_bytes -= KEPT_BYTES
        self.phase = "responding"
        self._hold("complete")

    def drop_request(self) -> None:
        """Ends the arrival of a request that is refused, and not kept."""
        self._is_refused = True
        if self.phase == "body":
            # Tornado keeps the head until the response is written.
            self._request_bytes = min(
                self._request_bytes, self._head_bytes + KEPT_BYTES
            )
        self.phase = "responding"
        self._hold("complete")

    def answer(self) -> None:
        """Tells that the whole answer has been written.

        The request isn't kept any longer. The answer counts until its caller
        has read it.
        """
        if not self.stream.closed():
            self._is_answered = True
            self._request_bytes = 0
            self._hold("unread" if self._unread_bytes else "complete")

    # The account.

    def _hold(self, phase: memory_account.Phase) -> None:
        if self.stream.closed():
            # Its memory is released, or about to be.
            return
        self._account.hold(
            self._holder,
            memory_account.CONNECTION_BYTES
            + self._request_bytes
            + self._unread_bytes,
            phase,
            time.monotonic(),
        )

    def note_read(self, count: int) -> None:
        """See StreamOwner.note_read."""
        if self._is_refused or self._holder.phase is None:
            return
        self._request_bytes += count
        self._hold("complete" if self.phase == "responding" else "incomplete")

    def note_unread(self, count: int) -> None:
        """See StreamOwner.note_unread."""
        if (count or self._unread_bytes) and self._holder.phase is not None:
            self._unread_bytes = count
            self._hold("unread" if self._is_answered and count else "complete")

    def may_read(self) -> bool:
        """Makes room for bytes that have arrived, or refuses their request."""
        if self.phase == "responding" or self._holder.phase is None:
            return True
        room = self._make_room(self._request_bytes)
        if room == "none":
            # Not now, as the stream is about to read.
            asyncio.get_running_loop().call_soon(self.turn_away)
        return room == "room"

    def ensure_room(self, total: int, *, held: bool = False) -> bool:
        """Refuses others until there is room for a request; False if not.

        Args:
            total: Bytes of the whole request, as far as is known.
            held: Whether much of it is held already, so that it can't wait for
                the refusal of others.
        """
        room = self._make_room(total)
        return room == "room" or (room == "later" and not held)

    def _make_room(self, total: int) -> Literal["room", "later", "none"]:
        """Refuses others until there is room; "later" if that takes a moment.

        A head that has been read, but not passed on, can be refused with an
        answer once it has been.
        """
        while not self._account.has_room(self._holder, 1, total):
            victim = self._account.choose_victim(self._holder, time.monotonic())
            if victim is None:
                return "none"
            if victim.owner.has_unparsed_head:
                return "later"
            victim.owner.turn_away()
        return "room"

    @property
    def has_unparsed_head(self) -> bool:
        """Whether a head has been read, but its reader hasn't got it."""
        return (
            self.phase in ("waiting", "head")
            and not self.stream.closed()
            and not self.stream.reading()
        )

    def turn_away(self, *, linger: bool = True) -> None:
        """Refuses the request, or cuts off an unread answer, to make room.

        Args:
            linger: Whether to read and drop the rest of the request.
        """
        if self._holder.phase in (None, "complete"):
            return
        request = self.request
        if self.phase == "body" and request is not None:
            request.refuse_for_room(linger=linger)
            if self._holder.phase != "incomplete":
                return
        report_closed_for_room(self._holder, self._account)
        self._is_refused = True
        self.close()

    @property
    def is_quiet(self) -> bool:
        """Whether nothing arrives on an idle connection."""
        return not self.stream.has_arrivals

    @property
    def is_unfinished(self) -> bool:
        """Whether the last request has never been read completely."""
        return self._is_refused or self.phase in ("head", "body")

    @property
    def has_part(self) -> bool:
        """Whether a request has been read in part, but not completely."""
        if self.phase == "waiting":
            return not self.stream.closed() and self.stream.has_partial
        return self.phase != "responding"

    @property
    def is_arriving(self) -> bool:
        """Whether a request has begun to arrive."""
        if self.phase == "responding" or self.stream.closed():
            return False
        return self.has_part or self.stream.has_arrivals

    @property
    def expects_first_request(self) -> bool:
        """Whether the caller came so recently that it is about to send."""
        return (
            self._is_new
            and not self.stream.closed()
            and time.monotonic() < self._accepted_at + NEW_CONNECTION_S
        )

    @property
    def silent_s(self) -> float:
        """Time since bytes of an arriving request came; 0 if there are some."""
        if self.stream.has_arrivals:
            return 0.0
        return time.monotonic() - self.stream.last_read_at

    def close_if_idle(self, reason: str) -> None:
        """Closes the connection unless a request is on it.

        Args:
            reason: Label for the metrics.
        """
        if (
            self.phase == "waiting"
            and not self.is_arriving
            and not self.expects_first_request
        ):
            metrics.CONNECTIONS_CLOSED.labels(reason).inc()
            self.close()

    def close(self) -> None:
        """Closes the connection, whatever is on it."""
        self.stream.close()
        self.forget()

    def forget(self) -> None:
        """Stops the timer of a closed connection, and frees its memory."""
        self.phase = "responding"
        self._account.release(self._holder, time.monotonic())
        # References in circles would keep the buffers until a collection.
        self.stream.owner = None
        self._holder.owner = None
        self.request = None
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _wait_until(self, due_at: float) -> None:
        """Sets the end of the present wait.

        A timer that fires before it stays, as most waits end long before their
        limit.
        """
        self._due_at = due_at
        if self._timer is not None:
            if self._timer.when() <= due_at:
                return
            self._timer.cancel()
        self._call_at(due_at)

    def _call_at(self, when: float) -> None:
        self._timer = asyncio.get_running_loop().call_at(when, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        if self.phase == "responding" or self.stream.closed():
            return
        now = time.monotonic()
        if self.phase == "waiting" and self.stream.has_partial:
            self.phase = "head"
            self._due_at = max(
                self._due_at,
                self.stream.last_read_at + self._get_limits().head_s,
            )
        if now < self._due_at:
            self._call_at(self._due_at)
        elif self.stream.has_arrivals:
            self._call_at(now + RECHECK_S)
        elif self.phase == "waiting":
            metrics.CONNECTIONS_CLOSED.labels("idle").inc()
            self.close()
        elif self.request is not None:
            self.request.refuse_slow()
