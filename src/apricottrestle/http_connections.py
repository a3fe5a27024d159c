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
import socket
import time
from collections.abc import Callable
from typing import Final, Literal, NamedTuple

from tornado import iostream

from apricottrestle import metrics

RECHECK_S: Final = 0.01
"""Time after which a connection whose time is up is looked at again, while
bytes are on their way to its reader."""

NEW_CONNECTION_S: Final = 0.5
"""Time for which a shutdown leaves a new connection open for its first request.
Its caller has opened it to send one."""

LINGER_S: Final = 2.0
"""Time for which the rest of a refused request is read and dropped. Closing
before would reset the connection, and the caller might not get the refusal."""

Phase = Literal["waiting", "head", "body", "responding"]
"""What a connection is doing.

waiting: nothing of the next request has been read.
head: a part of its head has been read.
body: its head has been read, but not all of its body.
responding: it has been read, or refused; the response isn't written yet.
"""


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


class CallerStream(iostream.IOStream):
    """A caller's socket, which knows of bytes that no reader has got.

    Attributes:
        last_read_at: Monotonic time at which bytes were last read.
    """

    def __init__(
        self, sock: socket.socket, max_buffer_size: int | None
    ) -> None:
        """Wraps an accepted socket."""
        super().__init__(sock, max_buffer_size=max_buffer_size)
        self.last_read_at = time.monotonic()

    def read_from_fd(self, buf: bytearray | memoryview) -> int | None:
        """Reads from the socket, and notes the time."""
        count = super().read_from_fd(buf)
        if count:
            self.last_read_at = time.monotonic()
        return count

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


class CallerConnection:
    """Owns the decision whether a caller's connection may be closed.

    Attributes:
        stream: The connection's socket.
        phase: What the connection is doing.
        request: The request that is expected or arrives.
    """

    def __init__(
        self, stream: CallerStream, get_limits: Callable[[], ArrivalLimits]
    ) -> None:
        """Takes an accepted connection, which waits for its first request.

        Args:
            stream: The connection's socket.
            get_limits: Returns the limits in force; a limit counts as it was
                when the connection began to wait for what it limits.
        """
        self.stream = stream
        self.phase: Phase = "waiting"
        self.request: ArrivingRequest | None = None
        self._get_limits = get_limits
        self._accepted_at = time.monotonic()
        self._is_new = True
        self._due_at = 0.0
        self._timer: asyncio.TimerHandle | None = None
        self._wait_until(self._accepted_at + get_limits().idle_s)

    def expect(self, request: ArrivingRequest) -> None:
        """Begins to wait for a request."""
        self.phase = "waiting"
        self.request = request
        self._wait_until(time.monotonic() + self._get_limits().idle_s)

    def head_read(self) -> None:
        """Begins to wait for the body of a request."""
        self.phase = "body"
        self._is_new = False
        self._wait_until(time.monotonic() + self._get_limits().body_s)

    def respond(self) -> None:
        """Ends the arrival of a request."""
        self.phase = "responding"

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
        """Stops the timer of a closed connection."""
        self.phase = "responding"
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
