"""HTTP server for callers, and the load balancer's readiness endpoint.

Invariants: the handler receives only requests that have been read completely.
An unfinished response never looks complete to the caller, because its
connection is closed.
"""

import asyncio
import http
import logging
from collections.abc import Callable
from typing import Final

from tornado import http1connection, httpserver, httputil, web

from apricottrestle import hashing, http_server
from apricottrestle.gateway import calls, clock, graceful_stop
from apricottrestle.platform import names

MAX_HEADER_BYTES: Final = 64 * 1024
"""Limit of a request's headers, above any limit in the configuration."""

MAX_BODY_BYTES: Final = 64 * 1024 * 1024
"""Limit of a request's body, above any limit in the configuration."""

CHECKED_BODY_BYTES: Final = 64 * 1024
"""Length from which the head decides on a request before its body is read. A
refusal then closes the connection, which shorter bodies don't cost."""

MAX_LENGTH_DIGITS: Final = 18
"""Digits of a body's length that are converted, which takes long for many."""

MAX_READING_BYTES: Final = 64 * 1024 * 1024
"""Limit of all bodies that are being read, so that callers which send slowly
or never finish don't exhaust the memory of a machine. Bodies that are shorter
than CHECKED_BODY_BYTES are read in any case."""

READING_RETRY_AFTER_S: Final = 1.0
"""Retry-After of a request that this limit leaves no room for."""

LINGER_S: Final = 2.0
"""Time for which the rest of a refused body is read and dropped. Closing before
would reset the connection, and the caller might not get the refusal."""

BODY_TIMEOUT_S: Final = 20.0
"""Time in which a body must arrive; longer than callers wait for an answer."""

BUSY_READING: Final = calls.Refusal(
    503, "reading_too_much", READING_RETRY_AFTER_S
)

MAX_SHARED_PARTS: Final = 128
"""Number of parts of a prompt that are kept, the first ones."""

MAX_PART_ID_CHARS: Final = 32
"""Longer ids are replaced by their hash: callers choose them, and gateways keep
and exchange them."""

_LOG: Final = logging.getLogger(__name__)
_BEARER_PREFIX: Final = "bearer "


def _parse_milliseconds(text: str | None) -> float | None:
    """Converts a header in milliseconds to seconds; None if unusable."""
    try:
        return max(float(text), 0.0) / 1000 if text is not None else None
    except ValueError:
        _LOG.info(
            "ignored a header whose value is not a time in milliseconds",
            extra={"value": text},
        )
        return None


def _parse_count(text: str | None) -> int | None:
    try:
        return max(int(text), 0) if text is not None else None
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


class _HttpResponder(calls.Responder):
    """Writes one response to a caller's connection."""

    def __init__(
        self, conn: http1connection.HTTP1Connection, req_id: str
    ) -> None:
        self._conn = conn
        self._req_id = req_id
        self._close_callback: Callable[[], None] | None = None
        self.closed = False
        self.close_after_response = False
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
        if data and not self.closed:
            self._conn.write(data)

    def finish(self) -> None:
        """See Responder.finish."""
        if not self.closed:
            self.closed = True
            self._conn.finish()

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
        body = message.encode() + b"\n"
        headers = httputil.HTTPHeaders(
            {
                "Content-Type": "text/plain",
                "Content-Length": str(len(body)),
                names.REQUEST_ID: self._req_id,
            }
        )
        if retry_after_s is not None:
            headers[names.RETRY_AFTER] = f"{retry_after_s:.3f}"
        self._write_head(status, headers)
        self.write(body)

    def abort(self) -> None:
        """See Responder.abort."""
        if not self.closed:
            self.closed = True
            self._conn.close()

    def _write_head(self, status: int, headers: httputil.HTTPHeaders) -> None:
        if self.closed:
            return
        if self.close_after_response:
            # Tornado has no public way to close a persistent connection after
            # the response that is being written.
            self._conn._disconnect_on_finish = True
        try:
            reason = http.HTTPStatus(status).phrase
        except ValueError:
            reason = "Unknown"
        self._conn.write_headers(
            httputil.ResponseStartLine("HTTP/1.1", status, reason), headers
        )


class _RequestReader(httputil.HTTPMessageDelegate):
    """Reads one request and passes it to the handler when complete."""

    def __init__(
        self,
        server: "CallerServer",
        conn: http1connection.HTTP1Connection,
        on_complete: Callable[[], None],
    ) -> None:
        """Creates the reader.

        Args:
            server: The server.
            conn: The connection.
            on_complete: Called before the request is answered.
        """
        self._server = server
        self._conn = conn
        self._on_complete = on_complete
        self._chunks: list[bytes] = []
        self._read_bytes = 0
        self._checked_bytes = 0
        self._responder: _HttpResponder | None = None
        self.is_idle = True

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> None:
        """Stores the start line and the headers, and checks them."""
        assert isinstance(start_line, httputil.RequestStartLine)
        self.is_idle = False
        self._start_line = start_line
        self._headers = headers
        # Tornado refuses any other length before it reads a body.
        length = headers.get("Content-Length", "")
        is_length = length.isdecimal() and len(length) <= MAX_LENGTH_DIGITS
        self._check(int(length) if is_length else 0)

    def data_received(self, chunk: bytes) -> None:
        """Stores a chunk of the body."""
        if self._responder is not None:
            return
        if (
            self._read_bytes + len(chunk) > CHECKED_BODY_BYTES
            and self._server.reading_bytes + len(chunk) > MAX_READING_BYTES
        ):
            _LOG.warning(
                "refused a request as too much is being read",
                extra={
                    "request_id": self._headers.get(names.REQUEST_ID, ""),
                    "reading_bytes": self._server.reading_bytes,
                },
            )
            self._refuse(BUSY_READING)
            return
        self._chunks.append(chunk)
        self._read_bytes += len(chunk)
        self._server.reading_bytes += len(chunk)
        self._check(self._read_bytes)

    def _check(self, body_bytes: int) -> None:
        """Refuses the request if its head and length are enough for that."""
        if body_bytes < self._checked_bytes + CHECKED_BODY_BYTES:
            return
        self._checked_bytes = body_bytes
        refusal = self._server.handler.check_head(
            calls.RequestHead(
                self._headers.get(names.REQUEST_ID, ""),
                self._start_line.path,
                self._headers.get("Host", ""),
                _parse_api_key(self._headers),
                body_bytes,
            )
        )
        if refusal is not None:
            self._refuse(refusal)

    def _refuse(self, refusal: calls.Refusal) -> None:
        """Answers before the body has been read, and drops the rest of it."""
        self._drop_body()
        self._server.readers.discard(self)
        self._responder = _HttpResponder(
            self._conn, self._headers.get(names.REQUEST_ID, "")
        )
        self._responder.close_after_response = True
        self._on_complete()
        self._responder.write_refusal(*refusal)
        if "Expect" in self._headers:
            # Tornado would ask for the body, which the caller hasn't sent.
            self._responder.finish()
            return
        asyncio.get_running_loop().call_later(LINGER_S, self._responder.finish)

    def _drop_body(self) -> None:
        self._chunks = []
        self._server.reading_bytes -= self._read_bytes
        self._read_bytes = 0

    def finish(self) -> None:
        """Passes the complete request to the handler."""
        if self._responder is not None:
            self._responder.finish()
            return
        req = decode_request(
            self._start_line,
            self._headers,
            b"".join(self._chunks),
            clock.now(),
        )
        self._drop_body()
        self._responder = _HttpResponder(self._conn, req.request_id)
        self._responder.close_after_response = self._server.stopping
        self._server.readers.discard(self)
        self._on_complete()
        self._server.handler.handle(req, self._responder)

    def on_connection_close(self) -> None:
        """Drops a request whose connection closed before it was complete."""
        self._drop_body()
        self._server.readers.discard(self)

    def close(self) -> None:
        """Closes the connection."""
        self._conn.close()


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
        readers: Readers of requests that are expected or partly read, one for
            each connection without an open request.
        stopping: Whether each response closes its connection, as it must
            during shutdown.
        reading_bytes: Bytes of all bodies that are being read.
    """

    def __init__(self, address: str, handler: calls.RequestHandler) -> None:
        """Prepares the server.

        Args:
            address: "ip:port" to listen on.
            handler: Receives the requests.
        """
        self.handler = handler
        self.readers: set[_RequestReader] = set()
        self.stopping = False
        self.reading_bytes = 0
        self._responding: set[object] = set()
        self._reader_of: dict[object, _RequestReader] = {}
        self._http = _HttpServer(
            self,
            max_header_size=MAX_HEADER_BYTES,
            max_body_size=MAX_BODY_BYTES,
            max_buffer_size=MAX_BODY_BYTES,
            body_timeout=BODY_TIMEOUT_S,
        )
        super().__init__(address, self._http)

    def start_request(
        self, server_conn: object, request_conn: httputil.HTTPConnection
    ) -> httputil.HTTPMessageDelegate:
        """Creates the reader of the next request of a connection."""
        assert isinstance(request_conn, http1connection.HTTP1Connection)
        # Tornado asks for the next request once a response is written.
        self._responding.discard(server_conn)
        reader = _RequestReader(
            self, request_conn, lambda: self._responding.add(server_conn)
        )
        self.readers.add(reader)
        self._reader_of[server_conn] = reader
        return reader

    def on_close(self, server_conn: object) -> None:
        """Forgets the reader and the response of a closed connection.

        Tornado doesn't tell a reader that has got nothing of a request.
        """
        self._responding.discard(server_conn)
        reader = self._reader_of.pop(server_conn, None)
        if reader is not None:
            self.readers.discard(reader)

    @property
    def open_responses(self) -> int:
        """See Listener.open_responses."""
        return len(self._responding)

    def set_idle_timeout(self, idle_s: float) -> None:
        """Sets the time after which an idle connection is closed."""
        self._http.conn_params.header_timeout = idle_s

    def stop_listening(self) -> None:
        """See Listener.stop_listening."""
        self._http.stop()

    def close_idle(self) -> None:
        """See Listener.close_idle."""
        for reader in list(self.readers):
            if reader.is_idle:
                reader.close()


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
