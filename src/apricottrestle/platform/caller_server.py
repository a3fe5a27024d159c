"""HTTP server for callers, and the answer to the load balancer's check.

Invariants: a request reaches the handler only when it has been read whole. An
answer that was not finished never looks complete: its connection is closed.
"""

import http
import logging
from collections.abc import Callable
from typing import Final

from tornado import http1connection, httpserver, httputil, web

from apricottrestle import http_server
from apricottrestle.gateway import calls, clock
from apricottrestle.platform import names

MAX_HEADER_BYTES: Final = 64 * 1024
"""Above every limit that the configuration states for callers."""

MAX_BODY_BYTES: Final = 64 * 1024 * 1024
"""Bound of a body; the configuration's limit is below it."""

_LOG: Final = logging.getLogger(__name__)
_BEARER: Final = "bearer "


def _milliseconds(text: str | None) -> float | None:
    """Returns seconds, or None when the header is missing or malformed."""
    try:
        return max(float(text), 0.0) / 1000 if text is not None else None
    except ValueError:
        _LOG.info("malformed time in a header ignored", extra={"value": text})
        return None


def _integer(text: str | None) -> int | None:
    try:
        return max(int(text), 0) if text is not None else None
    except ValueError:
        _LOG.info("malformed number in a header ignored", extra={"value": text})
        return None


def _size(headers: httputil.HTTPHeaders) -> calls.PromptSize | None:
    usage = headers.get(names.TOKEN_USAGE)
    if usage is None:
        return None
    prompt, _, output = usage.partition(",")
    prompt_tokens, output_tokens = _integer(prompt), _integer(output)
    if prompt_tokens is None or output_tokens is None:
        return None
    return calls.PromptSize(
        prompt_tokens, output_tokens, _integer(headers.get(names.LENGTH_HINT))
    )


def _api_key(headers: httputil.HTTPHeaders) -> str | None:
    value = headers.get(names.AUTHORIZATION, "")
    if not value.lower().startswith(_BEARER):
        return None
    return value[len(_BEARER) :].strip()


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
        body: The whole body.
        arrived_at: Monotonic time at which it was whole.
    """
    connection = {
        name.strip().lower()
        for name in headers.get("Connection", "").split(",")
    }
    dropped = names.HOP_HEADERS | names.SET_BY_GATEWAY | connection
    return calls.CallerRequest(
        headers.get(names.REQUEST_ID, ""),
        start_line.method,
        start_line.path,
        headers.get("Host", ""),
        tuple(
            (name, value)
            for name, value in headers.get_all()
            if name.lower() not in dropped and name != "Host"
        ),
        body,
        _api_key(headers),
        _milliseconds(headers.get(names.DEADLINE_MS)),
        arrived_at,
        headers.get(names.LAST_EVENT_ID),
        _size(headers),
    )


class _HttpResponder(calls.Responder):
    """Writes one answer to a caller's connection."""

    def __init__(
        self, conn: http1connection.HTTP1Connection, req_id: str
    ) -> None:
        self._conn = conn
        self._req_id = req_id
        self._callback: Callable[[], None] | None = None
        self.closed = False
        self.close_after = False
        conn.set_close_callback(self.on_connection_lost)

    def on_close(self, callback: Callable[[], None]) -> None:
        """See Responder.on_close."""
        self._callback = callback

    def on_connection_lost(self) -> None:
        """Tells the handler once that the caller has left."""
        if self.closed:
            return
        self.closed = True
        callback, self._callback = self._callback, None
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
        self.finish()

    def abort(self) -> None:
        """See Responder.abort."""
        if not self.closed:
            self.closed = True
            self._conn.close()

    def _write_head(self, status: int, headers: httputil.HTTPHeaders) -> None:
        if self.closed:
            return
        if self.close_after:
            # Tornado has no public way to end a kept connection after the
            # answer that is being written.
            self._conn._disconnect_on_finish = True
        try:
            reason = http.HTTPStatus(status).phrase
        except ValueError:
            reason = "Unknown"
        self._conn.write_headers(
            httputil.ResponseStartLine("HTTP/1.1", status, reason), headers
        )


class _Message(httputil.HTTPMessageDelegate):
    """Collects one request, then hands it to the handler."""

    def __init__(
        self,
        server: "CallerServer",
        conn: http1connection.HTTP1Connection,
    ) -> None:
        self._server = server
        self._conn = conn
        self._chunks: list[bytes] = []
        self._responder: _HttpResponder | None = None
        self.is_idle = True

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> None:
        """Stores the head."""
        assert isinstance(start_line, httputil.RequestStartLine)
        self.is_idle = False
        self._start_line = start_line
        self._headers = headers

    def data_received(self, chunk: bytes) -> None:
        """Stores a part of the body."""
        self._chunks.append(chunk)

    def finish(self) -> None:
        """Hands the whole request over."""
        req = decode_request(
            self._start_line,
            self._headers,
            b"".join(self._chunks),
            clock.now(),
        )
        self._chunks = []
        self._responder = _HttpResponder(self._conn, req.request_id)
        self._responder.close_after = self._server.stopping
        self._server.messages.discard(self)
        self._server.handler.handle(req, self._responder)

    def on_connection_close(self) -> None:
        """Drops a request that was not read whole."""
        self._server.messages.discard(self)

    def close(self) -> None:
        """Closes the connection on which nothing has been read."""
        self._conn.close()


class CallerServer(
    http_server.ListeningServer, httputil.HTTPServerConnectionDelegate
):
    """HTTP server of callers. A context manager that owns it.

    Attributes:
        handler: Receives the requests.
        messages: Requests that are awaited or being read.
        stopping: Answers end their connections.
    """

    def __init__(self, address: str, handler: calls.RequestHandler) -> None:
        """Prepares the server.

        Args:
            address: "ip:port" to listen on.
            handler: Receives the requests.
        """
        self.handler = handler
        self.messages: set[_Message] = set()
        self.stopping = False
        self._http = httpserver.HTTPServer(
            self,
            max_header_size=MAX_HEADER_BYTES,
            max_body_size=MAX_BODY_BYTES,
            max_buffer_size=MAX_BODY_BYTES,
        )
        super().__init__(address, self._http)

    def start_request(
        self, server_conn: object, request_conn: httputil.HTTPConnection
    ) -> httputil.HTTPMessageDelegate:
        """Awaits the next request of a connection."""
        assert isinstance(request_conn, http1connection.HTTP1Connection)
        message = _Message(self, request_conn)
        self.messages.add(message)
        return message

    def on_close(self, server_conn: object) -> None:
        """Nothing to free: the message learns of it."""

    def set_idle_timeout(self, idle_s: float) -> None:
        """Sets the time after which an idle connection is closed."""
        self._http.conn_params.header_timeout = idle_s

    def stop_listening(self) -> None:
        """Refuses new connections; open ones go on."""
        self._http.stop()

    def close_idle(self) -> None:
        """Closes the connections on which no request has begun."""
        for message in list(self.messages):
            if message.is_idle:
                message.close()


class _ReadyHandler(web.RequestHandler):
    def initialize(self, is_ready: Callable[[], bool]) -> None:
        self._is_ready = is_ready

    def get(self) -> None:
        self.set_status(200 if self._is_ready() else 503)


class ReadyServer(http_server.ListeningServer):
    """Answers the load balancer's check. A context manager."""

    def __init__(self, address: str, is_ready: Callable[[], bool]) -> None:
        """Prepares the server.

        Args:
            address: "ip:port" to listen on.
            is_ready: Whether new connections are welcome.
        """
        app = web.Application(
            [(names.READY_PATH, _ReadyHandler, {"is_ready": is_ready})],
            log_function=lambda _handler: None,
        )
        super().__init__(address, httpserver.HTTPServer(app))
