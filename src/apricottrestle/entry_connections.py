"""Connections of the caller API, and the memory that they hold.

Invariant: a connection whose request has been read completely is closed for
room only if its caller has read nothing of the answer for a while.
"""

import asyncio
import time
from collections.abc import Awaitable

from tornado import httputil

from apricottrestle import http_connections, memory_account


class ApiConnection(http_connections.StreamOwner):
    """Counts what a caller's connection holds, and closes it for room.

    Attributes:
        is_complete: Whether the present request has been read completely.
    """

    def __init__(
        self,
        stream: http_connections.CallerStream,
        account: memory_account.MemoryAccount,
    ) -> None:
        """Takes an accepted connection.

        Args:
            stream: The connection's socket.
            account: Counts what the connection holds.
        """
        self.is_complete = False
        self._stream = stream
        self._account = account
        self._holder = memory_account.Holder(self, is_connection=True)
        self._request_bytes = 0
        self._unread_bytes = 0
        self._headers: httputil.HTTPHeaders | None = None
        stream.owner = self
        self._hold()

    def expect(self) -> None:
        """Begins to wait for a request; the one before it isn't kept."""
        self.is_complete = False
        self._headers = None
        # A part of the request may have come with the one before it.
        self._request_bytes = self._stream.arrived_bytes
        self._hold()

    def head_read(self, headers: httputil.HTTPHeaders) -> bool:
        """Counts what the headers of a request cost beside their text.

        Returns:
            Whether there is room for them. If not, the connection is closed as
            soon as Tornado has done with it.
        """
        count = sum(1 for _ in headers.get_all())
        header_bytes = memory_account.header_bytes(count)
        self._request_bytes += http_connections.KEPT_BYTES + header_bytes
        self._hold()
        if not header_bytes:
            return True
        self._headers = headers
        # The rest of the request may have been read already, so that nothing
        # asks for room again.
        has_room = self.may_read()
        if not has_room:
            self._drop_headers()
        return has_room

    def _drop_headers(self) -> None:
        """Frees the headers; Tornado would keep them for a moment.

        In that time many others may come.
        """
        if self._headers is not None:
            http_connections.drop_headers(self._headers)
            self._headers = None

    def complete(self) -> None:
        """Ends the arrival of a request."""
        self._request_bytes -= http_connections.KEPT_BYTES
        self.is_complete = True
        self._hold()

    def _hold(self) -> None:
        if self._stream.closed():
            return
        phase: memory_account.Phase = "idle"
        if self._unread_bytes:
            phase = "unread"
        elif self.is_complete:
            phase = "complete"
        elif self._request_bytes:
            phase = "incomplete"
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
        self._request_bytes += count
        self._hold()

    def note_unread(self, count: int) -> None:
        """See StreamOwner.note_unread."""
        if count or self._unread_bytes:
            self._unread_bytes = count
            self._hold()

    def may_read(self) -> bool:
        """See StreamOwner.may_read."""
        if self.is_complete:
            # Tornado reads once more, to notice that the caller leaves.
            return True
        while not self._account.has_room(self._holder, 1, self._request_bytes):
            victim = self._account.choose_victim(self._holder, time.monotonic())
            if victim is None:
                # Not now, as the stream is about to read.
                asyncio.get_running_loop().call_soon(self.turn_away)
                return False
            victim.owner.turn_away()
        return True

    @property
    def is_unfinished(self) -> bool:
        """Whether a request has arrived in part only."""
        return not self.is_complete and self._request_bytes > 0

    @property
    def is_quiet(self) -> bool:
        """Whether nothing arrives on an idle connection."""
        return self._stream.is_idle

    def turn_away(self) -> None:
        """Closes the connection, so that others have room."""
        if self._stream.closed() or self._holder.phase in (None, "complete"):
            return
        http_connections.report_closed_for_room(self._holder, self._account)
        self._drop_headers()
        self._stream.close()
        self.forget()

    def forget(self) -> None:
        """Frees the memory of a closed connection."""
        self._account.release(self._holder, time.monotonic())
        # References in circles would keep the buffers until a collection.
        self._stream.owner = None
        self._holder.owner = None


class CountedRequest(httputil.HTTPMessageDelegate):
    """Passes a request on, and tells its connection how far it has come."""

    def __init__(
        self, owner: ApiConnection, inner: httputil.HTTPMessageDelegate
    ) -> None:
        """Creates the delegate of one request.

        Args:
            owner: The request's connection.
            inner: Handles the request.
        """
        self._owner = owner
        self._inner = inner
        self._is_dropped = False

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> Awaitable[None] | None:
        """Passes the head on if there is room for it."""
        self._is_dropped = not self._owner.head_read(headers)
        if self._is_dropped:
            return None
        return self._inner.headers_received(start_line, headers)

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        """Passes a part of the body on."""
        return None if self._is_dropped else self._inner.data_received(chunk)

    def finish(self) -> None:
        """Passes on that the request is complete."""
        if not self._is_dropped:
            self._owner.complete()
            self._inner.finish()

    def on_connection_close(self) -> None:
        """Passes on that the rest of the request doesn't come."""
        if not self._is_dropped:
            self._inner.on_connection_close()
