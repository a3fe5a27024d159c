"""HTTP server for callers, and the load balancer's readiness endpoint.

Invariants: the handler receives only requests that have been read completely.
An unfinished response never looks complete to the caller, because its
connection is closed. Whether a connection without a response may be closed is
decided by its `http_connections.CallerConnection` alone.
"""

import asyncio
import contextlib
import gc
import http
import logging
import math
import re
import socket
from collections.abc import Callable
from typing import Any, Final

from tornado import (
    http1connection,
    httpserver,
    httputil,
    iostream,
    web,
)

from apricottrestle import (
    hashing,
    http_connections,
    http_server,
    logs,
    memory_account,
    metrics,
)
from apricottrestle.gateway import calls, clock, graceful_stop
from apricottrestle.platform import codec, names

MAX_HEADER_BYTES: Final = 64 * 1024
"""Limit of a request's headers until there is a configuration, and of its limit
then."""

HEAD_SLACK_BYTES: Final = 2 * 1024
"""Length by which a head may exceed the limit in the configuration: callers may
count neither its first line nor the ends of its lines."""

MAX_BODY_BYTES: Final = 64 * 1024 * 1024
"""Limit of a request's body, above any limit in the configuration."""

CHECKED_BODY_BYTES: Final = 64 * 1024
"""Length from which the head decides on a request before its body is read. A
refusal then closes the connection, which shorter bodies don't cost."""

READING_RETRY_AFTER_S: Final = 1.0
"""Retry-After of a request that the memory account has no room for."""

MAX_RETRY_AFTER_SHARE: Final = 0.3
"""Upper bound of that Retry-After as a share of the caller's time left; callers
don't return after a third of it."""

BODY_TIMEOUT_S: Final = 20.0
"""Time in which a body must arrive; longer than callers wait for an answer."""

IDLE_TIMEOUT_S: Final = 15.0
HEAD_TIMEOUT_S: Final = 3.0
"""Time limits of idle connections and of heads until there is a configuration;
the defaults of the configuration."""

BUSY_READING: Final = "reading_too_much"
"""Reason of the refusal of a request that there is no room for."""

TOO_SLOW: Final = calls.Refusal(408, "request_too_slow")
"""Refusal of a request whose head or body doesn't arrive in its time."""

MAX_SHARED_PARTS: Final = 128
"""Number of parts of a prompt that are kept, the first ones."""

MAX_COUNT: Final = 10**12
"""Largest number of tokens that is told apart: a million times the longest
prompt. A larger one fits no engine either, and its square may be no float."""

MAX_PART_ID_CHARS: Final = 32
"""Longer ids are replaced by their hash: callers choose them, and gateways keep
and exchange them."""

_MANY_DIGITS: Final = re.compile(r"\s*\+?0*[1-9][0-9]{12,}\s*", re.ASCII)
"""A number above MAX_COUNT, whose conversion may take long or fail."""

_LOG: Final = logging.getLogger(__name__)
_BEARER_PREFIX: Final = "bearer "


def _parse_milliseconds(text: str | None) -> float | None:
    """Converts a header in milliseconds to seconds; None if unusable."""
    if text is None:
        return None
    with contextlib.suppress(ValueError):
        milliseconds = float(text)
        if not math.isnan(milliseconds):
            return max(milliseconds, 0.0) / 1000
    _LOG.info(
        "ignored a header whose value is not a time in milliseconds",
        extra={"value": text},
    )
    return None


def _parse_count(text: str | None) -> int | None:
    """Converts a header to a number up to MAX_COUNT; None if unusable."""
    if text is None:
        return None
    if _MANY_DIGITS.fullmatch(text):
        return MAX_COUNT
    try:
        return min(max(int(text), 0), MAX_COUNT)
    except ValueError:
        _LOG.info(
            "ignored a header whose value is not an integer",
            extra={"value": text},
        )
        return None


def _parse_prompt_size(
    headers: httputil.HTTPHeaders,
) -> calls.PromptSize | None:
    usage = headers.get(names.TOKEN_USAGE)
    if usage is None:
        return None
    prompt, _, output = usage.partition(",")
    prompt_tokens, output_tokens = _parse_count(prompt), _parse_count(output)
    if prompt_tokens is None or output_tokens is None:
        return None
    return calls.PromptSize(
        prompt_tokens,
        output_tokens,
        _parse_count(headers.get(names.LENGTH_HINT)),
    )


def _parse_shared_parts(headers: httputil.HTTPHeaders) -> tuple[str, ...]:
    """Returns the ids of a prompt's parts except the last, its own one."""
    entries = headers.get(names.PROMPT_PARTS, "").split(",")[:-1]
    part_ids = [
        entry.partition(":")[0].strip() for entry in entries[:MAX_SHARED_PARTS]
    ]
    # Duplicates are dropped, so that a part counts once for each request.
    return tuple(
        dict.fromkeys(
            part_id
            if len(part_id) <= MAX_PART_ID_CHARS
            else hashing.text_digest(part_id)
            for part_id in part_ids
            if part_id
        )
    )


def _parse_api_key(headers: httputil.HTTPHeaders) -> str | None:
    value = headers.get(names.AUTHORIZATION, "")
    if not value.lower().startswith(_BEARER_PREFIX):
        return None
    return value[len(_BEARER_PREFIX) :].strip()


def decode_request(
    start_line: httputil.RequestStartLine,
    headers: httputil.HTTPHeaders,
    body: bytes,
    arrived_at: float,
) -> calls.CallerRequest:
    """Decodes a caller's request.

    Args:
        start_line: Method and target.
        headers: All headers.
        body: Complete body.
        arrived_at: Monotonic time at which it had been read completely.
    """
    connection_headers = {
        name.strip().lower()
        for name in headers.get("Connection", "").split(",")
    }
    not_forwarded = (
        names.HOP_BY_HOP_HEADERS | names.RESERVED_HEADERS | connection_headers
    )
    return calls.CallerRequest(
        headers.get(names.REQUEST_ID, ""),
        start_line.method,
        start_line.path,
        headers.get("Host", ""),
        tuple(
            (name, value)
            for name, value in headers.get_all()
            if name.lower() not in not_forwarded and name != "Host"
        ),
        body,
        _parse_api_key(headers),
        _parse_milliseconds(headers.get(names.DEADLINE_MS)),
        arrived_at,
        headers.get(names.LAST_EVENT_ID),
        _parse_prompt_size(headers),
        _parse_shared_parts(headers),
    )


def _reason(status: int) -> str:
    try:
        return http.HTTPStatus(status).phrase
    except ValueError:
        return "Unknown"


def _make_refusal(
    refusal: calls.Refusal,
) -> tuple[httputil.HTTPHeaders, bytes]:
    """Returns headers and body of a refusal."""
    body = refusal.reason.encode() + b"\n"
    headers = httputil.HTTPHeaders(
        {"Content-Type": "text/plain", "Content-Length": str(len(body))}
    )
    if refusal.retry_after_s is not None:
        headers[names.RETRY_AFTER] = f"{refusal.retry_after_s:.3f}"
    return headers, body


class _HttpResponder(calls.Responder):
    """Writes one response to a caller's connection."""

    def __init__(
        self,
        conn: http1connection.HTTP1Connection,
        owner: http_connections.CallerConnection,
        method: str,
        req_id: str,
        is_last: Callable[[], bool],
    ) -> None:
        """Prepares the response.

        Args:
            conn: The caller's connection.
            owner: Counts what the caller hasn't read.
            method: Method of the request.
            req_id: Id of the request.
            is_last: Returns whether the response closes the connection.
        """
        self._conn = conn
        self._owner = owner
        self._has_body = method != "HEAD"
        self._req_id = req_id
        self._is_last = is_last
        self._close_callback: Callable[[], None] | None = None
        self.closed = False
        conn.set_close_callback(self.on_connection_lost)

    def on_close(self, callback: Callable[[], None]) -> None:
        """See Responder.on_close."""
        self._close_callback = callback

    def on_connection_lost(self) -> None:
        """Reports, once, a caller that left before the end of the response."""
        if self.closed:
            return
        self.closed = True
        callback, self._close_callback = self._close_callback, None
        if callback is not None:
            callback()

    def begin(
        self, status: int, headers: calls.Headers, length: int | None = None
    ) -> None:
        """See Responder.begin."""
        out = httputil.HTTPHeaders()
        for name, value in headers:
            out.add(name, value)
        if length is not None and status not in (204, 304):
            out["Content-Length"] = str(length)
        self._write_head(status, out)

    def write(self, data: bytes) -> None:
        """See Responder.write."""
        if data and self._has_body and not self.closed:
            self._conn.write(data)
            self._owner.note_unread(self._owner.stream.unread_bytes)

    @property
    def unread_bytes(self) -> int:
        """See Responder.unread_bytes."""
        return self._owner.stream.unread_bytes

    def finish(self) -> None:
        """See Responder.finish."""
        if not self.closed:
            self.closed = True
            # The request refers to this response.
            self._close_callback = None
            self._conn.finish()
            self._owner.answer()

    def refuse(
        self, status: int, message: str, retry_after_s: float | None = None
    ) -> None:
        """See Responder.refuse."""
        self.write_refusal(status, message, retry_after_s)
        self.finish()

    def write_refusal(
        self, status: int, message: str, retry_after_s: float | None
    ) -> None:
        """Writes an error response, but doesn't end it."""
        if self.closed:
            return
        headers, body = _make_refusal(
            calls.Refusal(status, message, retry_after_s)
        )
        headers[names.REQUEST_ID] = self._req_id
        self._write_head(status, headers)
        self.write(body)

    def abort(self) -> None:
        """See Responder.abort."""
        if not self.closed:
            self.closed = True
            self._close_callback = None
            self._conn.close()

    def _write_head(self, status: int, headers: httputil.HTTPHeaders) -> None:
        if self.closed:
            return
        if self._is_last():
            # Tornado has no public way to close a persistent connection after
            # the response that is being written.
            self._conn._disconnect_on_finish = True
        self._conn.write_headers(
            httputil.ResponseStartLine("HTTP/1.1", status, _reason(status)),
            headers,
        )


class _RequestReader(
    httputil.HTTPMessageDelegate, http_connections.ArrivingRequest
):
    """Reads one request and passes it to the handler when complete."""

    def __init__(
        self,
        server: "CallerServer",
        owner: http_connections.CallerConnection,
        conn: http1connection.HTTP1Connection,
    ) -> None:
        """Creates the reader.

        Args:
            server: The server.
            owner: Decides whether the connection may be closed.
            conn: The connection.
        """
        self._server = server
        self._owner = owner
        self._conn = conn
        # One growing buffer: a list would cost a caller's small pieces many
        # times their length.
        self._body = bytearray()
        self._checked_bytes = 0
        # The request without its body, once the head has been read.
        self._req: calls.CallerRequest | None = None
        self._request_id = ""
        self._expects_continue = False
        # Only of a refusal: a response refers to its reader.
        self._responder: _HttpResponder | None = None
        self._refused = False
        self._reads_body = False

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> None:
        """Stores the start line and the headers, and checks them."""
        if self._owner.stream.closed():
            # Tornado goes on with what it has read from a closed connection.
            self._refused = True
        if self._refused:
            return
        assert isinstance(start_line, httputil.RequestStartLine)
        self._req = decode_request(start_line, headers, b"", clock.now())
        self._request_id = self._req.request_id
        self._expects_continue = "Expect" in headers
        # Tornado refuses any other length before it reads a body.
        body_bytes = codec.decode_length(headers.get("Content-Length", "")) or 0
        header_bytes = memory_account.header_bytes(len(self._req.headers))
        if header_bytes:
            http_connections.drop_headers(headers)
        self._owner.head_read(header_bytes)
        self._check(body_bytes)
        if not self._refused and not self._owner.ensure_room(
            body_bytes + header_bytes, held=header_bytes > 0
        ):
            self.refuse_for_room(linger=True)
        self._reads_body = True

    def data_received(self, chunk: bytes) -> None:
        """Stores a chunk of the body."""
        if self._refused:
            return
        self._body += chunk
        self._check(len(self._body))

    def _make_head(self, body_bytes: int) -> calls.RequestHead | None:
        """Returns the request's head, or None before it has been read."""
        req = self._req
        if req is None:
            return None
        return calls.RequestHead(
            req.request_id,
            req.target,
            req.host,
            req.api_key,
            body_bytes,
            req.time_left_s,
        )

    def _check(self, body_bytes: int) -> None:
        """Refuses the request if its head and length are enough for that."""
        if body_bytes < self._checked_bytes + CHECKED_BODY_BYTES:
            return
        self._checked_bytes = body_bytes
        head = self._make_head(body_bytes)
        assert head is not None
        refusal = self._server.handler.check_head(head)
        if refusal is not None:
            self._refuse(refusal)

    def check_arrival(self) -> None:
        """Refuses the request if a shutdown can't wait for the rest of it."""
        refusal = self._server.handler.check_arrival(
            calls.Arrival(
                self._make_head(len(self._body)), self._owner.silent_s
            )
        )
        if refusal is not None:
            self._refuse(refusal)

    def refuse_slow(self) -> None:
        """See ArrivingRequest.refuse_slow."""
        metrics.REFUSALS.labels(TOO_SLOW.reason).inc()
        logs.decision(
            _LOG,
            "request refused",
            request_id=self._request_id,
            status=TOO_SLOW.status,
            reason=TOO_SLOW.reason,
            phase=self._owner.phase,
            body_bytes=len(self._body),
            silent_s=round(self._owner.silent_s, 3),
        )
        self._refuse(TOO_SLOW)

    def refuse_for_room(self, *, linger: bool) -> None:
        """See ArrivingRequest.refuse_for_room."""
        head = self._make_head(len(self._body))
        if self._refused or head is None:
            return
        retry_after_s = READING_RETRY_AFTER_S
        if head.time_left_s is not None:
            retry_after_s = min(
                retry_after_s, MAX_RETRY_AFTER_SHARE * head.time_left_s
            )
        account = self._server.account
        metrics.REFUSALS.labels(BUSY_READING).inc()
        logs.decision(
            _LOG,
            "request refused",
            request_id=head.request_id,
            status=503,
            reason=BUSY_READING,
            body_bytes=head.body_bytes,
            silent_s=round(self._owner.silent_s, 3),
            account_bytes=account.held_bytes,
            connections=account.connections,
        )
        self._refuse(
            calls.Refusal(503, BUSY_READING, retry_after_s), linger=linger
        )

    def _refuse(self, refusal: calls.Refusal, *, linger: bool = True) -> None:
        """Answers before the request has been read, and drops its rest."""
        self._refused = True
        req = self._req
        self._drop_request()
        self._owner.drop_request()
        if req is None:
            self._refuse_without_head(refusal)
            return
        self._responder = _HttpResponder(
            self._conn,
            self._owner,
            req.method,
            req.request_id,
            is_last=lambda: True,
        )
        self._responder.write_refusal(*refusal)
        if not linger or (self._expects_continue and not self._reads_body):
            # Tornado would ask for the body, which the caller hasn't sent.
            self._responder.finish()
            return
        asyncio.get_running_loop().call_later(
            http_connections.LINGER_S, self._responder.finish
        )

    def _refuse_without_head(self, refusal: calls.Refusal) -> None:
        """Answers a request that Tornado doesn't know of yet."""
        headers, body = _make_refusal(refusal)
        headers["Connection"] = "close"
        lines = [f"HTTP/1.1 {refusal.status} {_reason(refusal.status)}"]
        lines += [f"{name}: {value}" for name, value in headers.get_all()]
        head = "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n"
        with contextlib.suppress(iostream.StreamClosedError):
            self._owner.stream.write(head + body)
        asyncio.get_running_loop().call_later(
            http_connections.LINGER_S, self._owner.close
        )

    def _drop_request(self) -> None:
        self._body = bytearray()
        self._req = None

    def finish(self) -> None:
        """Passes the complete request to the handler."""
        if self._refused or self._owner.stream.closed():
            self._drop_request()
            if self._responder is not None:
                self._responder.finish()
            else:
                self._owner.close()
            return
        assert self._req is not None
        req = self._req._replace(body=bytes(self._body), arrived_at=clock.now())
        self._drop_request()
        responder = _HttpResponder(
            self._conn,
            self._owner,
            req.method,
            req.request_id,
            self._is_last_response,
        )
        self._owner.respond()
        self._server.handler.handle(req, responder)

    def _is_last_response(self) -> bool:
        """Returns whether a shutdown closes the connection with a response.

        Requests that have arrived behind this one are answered first.
        """
        return self._server.stopping and not self._owner.stream.has_unread

    def on_connection_close(self) -> None:
        """Drops a request whose connection closed before it was complete."""
        self._drop_request()


class _HttpServer(httpserver.HTTPServer):
    """Tornado's server; also tells its delegate of closed connections."""

    def on_close(self, server_conn: object) -> None:
        """Forgets a connection, and tells the delegate so."""
        super().on_close(server_conn)
        delegate = self.request_callback
        assert isinstance(delegate, httputil.HTTPServerConnectionDelegate)
        delegate.on_close(server_conn)


class CallerServer(
    http_server.ListeningServer,
    httputil.HTTPServerConnectionDelegate,
    graceful_stop.Listener,
):
    """HTTP server for callers; a context manager that listens while open.

    Attributes:
        handler: Receives the requests.
        connections: The open connections, by their sockets.
        stopping: Whether each response closes its connection, as it must
            during shutdown.
        account: Counts what the connections hold.
    """

    def __init__(
        self,
        address: str,
        handler: calls.RequestHandler,
        account: memory_account.MemoryAccount | None = None,
    ) -> None:
        """Prepares the server.

        Args:
            address: "ip:port" to listen on.
            handler: Receives the requests.
            account: Counts what the connections hold; one of the default size
                if there is none.
        """
        self.handler = handler
        self.account = account or memory_account.MemoryAccount(
            memory_account.compute_limits(
                memory_account.DEFAULT_MEMORY_MB,
                memory_account.DEFAULT_MAX_FDS,
            )
        )
        self.connections: dict[
            iostream.IOStream, http_connections.CallerConnection
        ] = {}
        self.stopping = False
        self._unfinished = 0
        self._limits = http_connections.ArrivalLimits(
            IDLE_TIMEOUT_S, HEAD_TIMEOUT_S, BODY_TIMEOUT_S
        )
        self._http = _HttpServer(
            self,
            chunk_size=http_connections.CHUNK_BYTES,
            max_header_size=MAX_HEADER_BYTES,
            max_body_size=MAX_BODY_BYTES,
        )
        super().__init__(address, self._http)

    def accept(self, sock: socket.socket, address: Any) -> None:
        """See ListeningServer.accept.

        Closes the connection that matters least if there are too many.
        """
        if self.account.connections >= self.account.max_connections:
            victim = self.account.choose_connection(
                lambda holder: holder.owner.is_quiet, clock.now()
            )
            if victim is None:
                logs.decision(
                    _LOG,
                    "connection closed for room",
                    held="nothing",
                    connections=self.account.connections,
                )
                metrics.CONNECTIONS_CLOSED.labels("room").inc()
                sock.close()
                return
            victim.owner.turn_away(linger=False)
        stream = http_connections.CallerStream(sock, MAX_BODY_BYTES)
        self.connections[stream] = http_connections.CallerConnection(
            stream, lambda: self._limits, self.account
        )
        self._http.handle_stream(stream, address)

    def start_request(
        self, server_conn: object, request_conn: httputil.HTTPConnection
    ) -> httputil.HTTPMessageDelegate:
        """Creates the reader of the next request of a connection.

        Tornado asks for it once the response to the previous one is written.
        """
        assert isinstance(request_conn, http1connection.HTTP1Connection)
        owner = self.connections[request_conn.stream]
        reader = _RequestReader(self, owner, request_conn)
        owner.expect(reader)
        return reader

    def on_close(self, server_conn: object) -> None:
        """Forgets a closed connection."""
        assert isinstance(server_conn, http1connection.HTTP1ServerConnection)
        owner = self.connections.pop(server_conn.stream, None)
        if owner is not None:
            self._unfinished += owner.is_unfinished
            owner.forget()

    @property
    def open_responses(self) -> int:
        """See Listener.open_responses."""
        return sum(
            conn.phase == "responding" and not conn.stream.closed()
            for conn in self.connections.values()
        )

    @property
    def arriving(self) -> int:
        """See Listener.arriving."""
        # While the server listens, new connections come without end.
        is_listening = self.is_listening
        return sum(
            conn.is_arriving
            or (not is_listening and conn.expects_first_request)
            for conn in self.connections.values()
        )

    def set_idle_timeout(self, idle_s: float) -> None:
        """Sets the time after which an idle connection is closed."""
        self._limits = self._limits._replace(idle_s=idle_s)

    def set_head_timeout(self, head_s: float) -> None:
        """Sets the time in which the head of a request must arrive."""
        self._limits = self._limits._replace(head_s=head_s)

    def set_max_head_bytes(self, limit: int) -> None:
        """Sets the length of a head above which its connection is closed.

        Reading a head takes the event loop up to a microsecond a byte.

        Args:
            limit: Limit of the configuration.
        """
        self._http.conn_params.max_header_size = min(
            limit + HEAD_SLACK_BYTES, MAX_HEADER_BYTES
        )

    def make_room(self) -> None:
        """Cuts off answers that nobody reads, while others wait for room.

        Also sets the metrics of the account, and frees what connections have
        left behind that were closed inside a request.
        """
        if self._unfinished >= http_connections.MAX_UNFINISHED:
            self._unfinished = 0
            gc.collect()
        for phase, held_bytes in self.account.bytes_by_phase.items():
            metrics.HELD_BYTES.labels(phase).set(held_bytes)
        metrics.HELD_BYTES_LIMIT.set(self.account.max_held_bytes)
        while self.account.has_waiting:
            victim = self.account.choose_unread(clock.now())
            if victim is None:
                return
            victim.owner.turn_away()

    def close_idle(self) -> None:
        """See Listener.close_idle."""
        for conn in list(self.connections.values()):
            conn.close_if_idle("stop")

    def check_arrivals(self) -> None:
        """See Listener.check_arrivals."""
        for conn in list(self.connections.values()):
            if not conn.has_part or not isinstance(
                conn.request, _RequestReader
            ):
                continue
            try:
                conn.request.check_arrival()
            except Exception:
                # One connection must not end the shutdown of the others.
                _LOG.exception("closed a connection that can't be refused")
                conn.close()


class _ReadyHandler(web.RequestHandler):
    def initialize(self, is_ready: Callable[[], bool]) -> None:
        self._is_ready = is_ready

    def get(self) -> None:
        self.set_status(200 if self._is_ready() else 503)


class ReadyServer(http_server.ListeningServer):
    """HTTP server of the load balancer's readiness endpoint.

    A context manager that listens while open.
    """

    def __init__(self, address: str, is_ready: Callable[[], bool]) -> None:
        """Prepares the server.

        Args:
            address: "ip:port" to listen on.
            is_ready: Returns whether new connections are accepted.
        """
        app = web.Application(
            [(names.READY_PATH, _ReadyHandler, {"is_ready": is_ready})],
            log_function=lambda _handler: None,
        )
        super().__init__(address, httpserver.HTTPServer(app))
