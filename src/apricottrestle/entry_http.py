"""Base class and handlers of the caller API, except that of completions.

Request bodies are received in chunks, so that an oversized body is not held in
memory and a caller whose body stalls gets an error.
"""

import logging
import time
import weakref
from typing import Any, Final, NamedTuple

from tornado import ioloop, iostream, web

from apricottrestle import (
    config_state,
    entry_accept,
    entry_core,
    entry_events,
    entry_render,
    errors,
    metrics,
)

BODY_STALL_TIMEOUT_S: Final = 10.0
_RETRY_AFTER_S: Final = 1.0

_LOG: Final = logging.getLogger(__name__)


class ApiContext(NamedTuple):
    """Objects and limits that all handlers share.

    Attributes:
        core: Runner of the step.
        teams: Index of teams by API key.
        max_requests: Maximum number of open requests and calls.
        busy_streams: Connections with a request in progress.
        body_stall_timeout_s: Time without a byte of the body after which a
            request is refused.
    """

    core: entry_core.StepRunner
    teams: entry_accept.TeamIndex
    max_requests: int
    busy_streams: weakref.WeakSet[iostream.IOStream]
    body_stall_timeout_s: float = BODY_STALL_TIMEOUT_S


@web.stream_request_body
class ApiHandler(web.RequestHandler):
    """Base class: body limits, authentication and errors as JSON."""

    def initialize(self, ctx: ApiContext) -> None:
        """Stores the shared context."""
        self._ctx = ctx
        self._mailbox: entry_core.Mailbox | None = None
        # One growing buffer: a list would cost a caller's small pieces many
        # times their length.
        self._body = bytearray()
        self._body_bytes = 0
        self._last_byte_at = time.monotonic()
        self._stall_timer: object | None = None
        self._busy_stream: iostream.IOStream | None = None

    def prepare(self) -> None:
        """Marks the connection as busy and starts the body's stall timer."""
        stream = getattr(self.request.connection, "stream", None)
        if stream is not None:
            self._busy_stream = stream
            self._ctx.busy_streams.add(stream)
        if self._ctx.core.tables.drain_started is not None:
            self.set_header("Connection", "close")
        self._last_byte_at = time.monotonic()
        length = self.request.headers.get("Content-Length", "0")
        if length != "0" or "Transfer-Encoding" in self.request.headers:
            self._start_stall_timer()

    def _start_stall_timer(self) -> None:
        loop = ioloop.IOLoop.current()
        self._stall_timer = loop.call_later(
            self._ctx.body_stall_timeout_s / 4, self._check_stall
        )

    def _check_stall(self) -> None:
        idle_s = time.monotonic() - self._last_byte_at
        if idle_s < self._ctx.body_stall_timeout_s:
            self._start_stall_timer()
            return
        self._stall_timer = None
        error = errors.RequestError(
            f"no data of the body for {self._ctx.body_stall_timeout_s:g} s",
            status=408,
            code="body_stalled",
            step="accept",
        )
        self.set_header("Connection", "close")
        self.finish_with_error(error)

    def _stop_stall_timer(self) -> None:
        if self._stall_timer is not None:
            ioloop.IOLoop.current().remove_timeout(self._stall_timer)
            self._stall_timer = None

    def data_received(self, chunk: bytes) -> None:
        """Collects the body; drops all of it when it is over the limit."""
        self._last_byte_at = time.monotonic()
        self._body_bytes += len(chunk)
        if self._body_bytes <= entry_accept.MAX_BODY_BYTES:
            self._body += chunk
        else:
            self._body = bytearray()

    def take_body(self) -> bytes:
        """Returns the body, which is kept no longer.

        Raises:
            RequestError: The body is over the limit (413).
        """
        self._stop_stall_timer()
        if self._body_bytes > entry_accept.MAX_BODY_BYTES:
            raise entry_accept.body_too_large_error(entry_accept.MAX_BODY_BYTES)
        body, self._body = bytes(self._body), bytearray()
        return body

    def on_connection_close(self) -> None:
        """Tells the step that the caller has disconnected."""
        # Ends Tornado's wait for the body, which would keep this handler.
        super().on_connection_close()
        self._stop_stall_timer()
        self._body = bytearray()
        self._close_mailbox()

    def on_finish(self) -> None:
        """Stops the timer and releases the connection and the mailbox."""
        self._stop_stall_timer()
        if self._busy_stream is not None:
            self._ctx.busy_streams.discard(self._busy_stream)
        self._close_mailbox()

    def _close_mailbox(self) -> None:
        if self._mailbox is not None:
            self._ctx.core.close_caller(self._mailbox.caller)
            self._mailbox = None

    @property
    def state(self) -> config_state.ConfigState:
        """Configuration in force."""
        return self._ctx.core.tables.sync.state

    def admit(self) -> config_state.TeamSpec:
        """Checks readiness, API key and the number of open requests.

        Returns:
            The team of the API key.

        Raises:
            RequestError: The request is refused (401, 429 or 503).
        """
        tables = self._ctx.core.tables
        if not tables.sync.ready:
            raise _refusal_error(
                "not_ready", "this entry has not loaded the configuration yet"
            )
        team = self._ctx.teams.find(self.state, self.request.headers)
        open_requests = len(tables.requests) + len(tables.calls)
        if open_requests >= self._ctx.max_requests:
            raise _refusal_error("overloaded", "too many open requests", 429)
        return team

    def open_mailbox(self) -> entry_core.Mailbox:
        """Registers this handler as a caller of the step."""
        self._mailbox = self._ctx.core.open_caller()
        return self._mailbox

    def finish_with_error(
        self, exc: errors.RequestError, issued_key: str = ""
    ) -> None:
        """Writes an error response unless the response is finished."""
        if self._finished:
            return
        self.set_status(exc.status)
        self.set_header("Content-Type", "application/json")
        if exc.retry_after_s is not None:
            seconds = max(1, round(exc.retry_after_s))
            self.set_header("Retry-After", str(seconds))
        if exc.status == 401:
            self.set_header("WWW-Authenticate", "Bearer")
        self.finish(entry_render.error_body(exc, issued_key))

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Writes the response for any exception as JSON."""
        exc = kwargs.get("exc_info", (None, None, None))[1]
        if isinstance(exc, errors.RequestError):
            self.finish_with_error(exc)
            return
        is_http_error = isinstance(exc, web.HTTPError)
        self.finish_with_error(
            errors.RequestError(
                self._reason if is_http_error else "internal error",
                status=status_code,
                code=f"http_{status_code}" if is_http_error else "internal",
                step="accept",
                outcome="not_run" if is_http_error else "unknown",
            )
        )

    def log_exception(self, typ: Any, value: Any, tb: Any) -> None:
        """Logs unexpected exceptions only, without data of the request."""
        if not isinstance(value, errors.RequestError | web.HTTPError):
            _LOG.error("request handler failed", exc_info=(typ, value, tb))


def _refusal_error(
    code: str, message: str, status: int = 503
) -> errors.RequestError:
    metrics.REFUSALS.labels(code).inc()
    return errors.RequestError(
        message,
        status=status,
        code=code,
        step="accept",
        retry_after_s=_RETRY_AFTER_S,
    )


class NotFoundHandler(ApiHandler):
    """Handler of all unknown paths."""

    def prepare(self) -> None:
        """Sends the error before the body is read."""
        self.finish_with_error(
            errors.RequestError(
                "unknown path", status=404, code="unknown_path", step="accept"
            )
        )


class ModelsHandler(ApiHandler):
    """GET /v1/models."""

    def get(self) -> None:
        """Lists the models of the configuration."""
        self.admit()
        models = [
            {"id": spec.name, "object": "model", "version": spec.version}
            for spec in self.state.models.values()
        ]
        self.write({"object": "list", "data": models})


class KeysHandler(ApiHandler):
    """POST /v1/idempotency-keys."""

    async def post(self) -> None:
        """Issues a key for a service."""
        body = self.take_body()
        team = self.admit()
        service = entry_accept.check_key_request(self.state, body)
        mailbox = self.open_mailbox()
        self._ctx.core.post(
            entry_events.IssueKey(mailbox.caller, service, team.name)
        )
        for command in await mailbox.get_all():
            if isinstance(command, entry_events.DeliverKey):
                self.write({"idempotency_key": command.key})
            elif isinstance(command, entry_events.Fail):
                self.finish_with_error(command.error, command.issued_key)


class ServiceHandler(ApiHandler):
    """ANY /v1/services/<name>/<path>."""

    SUPPORTED_METHODS = (
        "GET",
        "HEAD",
        "POST",
        "DELETE",
        "PATCH",
        "PUT",
        "OPTIONS",
    )

    async def _forward(self, service: str, path: str) -> None:
        body = self.take_body()
        team = self._admit_call()
        query = self.request.query
        spec = entry_accept.check_call(
            self.state,
            team,
            service,
            self.request.method or "",
            f"/{path}?{query}" if query else f"/{path}",
            self.request.headers,
            list(self.request.headers.get_all()),
            body,
        )
        mailbox = self.open_mailbox()
        self._ctx.core.post(entry_events.Call(mailbox.caller, spec))
        for command in await mailbox.get_all():
            if isinstance(command, entry_events.ServiceAnswer):
                self._write_response(command)
            elif isinstance(command, entry_events.Fail):
                self.finish_with_error(command.error, command.issued_key)

    def _admit_call(self) -> config_state.TeamSpec:
        """Checks the request as `admit` does.

        The outcome of a refused call with an idempotency key is "unknown",
        because an earlier attempt with the key may have run.

        Raises:
            RequestError: The call is refused.
        """
        try:
            return self.admit()
        except errors.RequestError as exc:
            if exc.status != 401 and "Idempotency-Key" in self.request.headers:
                exc.outcome = "unknown"
            raise

    get = head = post = delete = patch = put = options = _forward

    def _write_response(self, command: entry_events.ServiceAnswer) -> None:
        self.set_status(command.status)
        self.clear_header("Content-Type")
        self.clear_header("Server")
        self.clear_header("Date")
        for name, value in command.headers:
            if name.lower() not in _CONNECTION_HEADERS:
                self.add_header(name, value)
        if command.status not in (204, 304):
            self.write(command.body)

    def compute_etag(self) -> str | None:
        """Disables tornado's ETag; only the service sets entity tags."""
        return None


_CONNECTION_HEADERS: Final = frozenset(
    {"content-length", "transfer-encoding", "connection", "keep-alive"}
)
