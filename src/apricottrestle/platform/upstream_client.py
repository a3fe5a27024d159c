"""HTTP client for upstreams: callers' requests and memory orders.

Invariants: each sink gets exactly one end. A call with `single_send` uses a
new connection, because libcurl silently repeats a request whose reused
connection broke before the answer.
"""

import asyncio
import logging
import socket
from typing import Any, Final

import msgspec
import pycurl
from tornado import curl_httpclient, httpclient, httputil

from apricottrestle import errors
from apricottrestle.gateway import calls
from apricottrestle.platform import names

CONNECT_TIMEOUT_S: Final = 0.4
"""Time for a connection: a hundred round trips between data centres. A lost
opening packet is only sent again after a second, so waiting longer is vain."""

UNACKNOWLEDGED_MS: Final = 1_500
"""TCP_USER_TIMEOUT: time after which a silent upstream's connection ends."""

KEEPALIVE_INTERVAL_S: Final = 1
"""Idle time before and between keep-alive probes; TCP's least."""

KEEPALIVE_PROBES: Final = 2
"""Unanswered probes after which a connection ends: three seconds of silence,
within the four in which memory held for a lost run must be free."""

ORDER_TIMEOUT_S: Final = 0.5
"""Time for the answer to a memory order."""

DEADLINE_MARGIN_S: Final = 0.25
"""Time added to the caller's before the transfer itself times out, so that the
upstream's own answer at the deadline still arrives."""

MAX_TRANSFERS: Final = 256
MAX_BODY_BYTES: Final = 64 * 1024 * 1024

_OK: Final = 200
_MISDIRECTED: Final = 421
_LOG: Final = logging.getLogger(__name__)

_NOT_SENT: Final = frozenset(
    (
        pycurl.E_URL_MALFORMAT,
        pycurl.E_COULDNT_RESOLVE_HOST,
        pycurl.E_COULDNT_CONNECT,
    )
)
"""curl errors that arise before a byte of the request has left."""


class CancellableCurlClient(curl_httpclient.CurlAsyncHTTPClient):
    """Tornado's curl client, with a way to end a transfer."""

    def cancel(self, req: httpclient.HTTPRequest) -> None:
        """Ends a transfer; its fetch fails with E_ABORTED_BY_CALLBACK."""
        for waiting in list(self._requests):
            if _is_of(waiting[0], req):
                self._requests.remove(waiting)
                waiting[1](
                    httpclient.HTTPResponse(
                        request=req, code=599, error=_cancelled()
                    )
                )
                return
        for curl in self._curls:
            info = getattr(curl, "info", None)
            if info is not None and _is_of(info["request"], req):
                self._finish(curl, pycurl.E_ABORTED_BY_CALLBACK, "cancelled")
                self._process_queue()
                return


def _is_of(held: object, req: httpclient.HTTPRequest) -> bool:
    """Whether a request that tornado holds, maybe wrapped, is `req`."""
    return getattr(held, "request", held) is req


def _cancelled() -> curl_httpclient.CurlError:
    return curl_httpclient.CurlError(pycurl.E_ABORTED_BY_CALLBACK, "cancelled")


def set_dead_peer_timeouts(fd: int, _purpose: int = 0) -> int:
    """Sets when a socket that libcurl has just made gives up a silent peer."""
    with socket.socket(fileno=socket.dup(fd)) as sock:
        sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS
        )
        sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES
        )
    return 0


class _HttpTransfer(calls.Transfer):
    """One call; feeds its sink from the client's callbacks."""

    def __init__(
        self,
        client: CancellableCurlClient,
        call: calls.UpstreamCall,
        sink: calls.AnswerSink,
    ) -> None:
        self._client = client
        self._sink = sink
        self._call = call
        self._lines: list[str] = []
        self._has_head = False
        self._cancelled = False
        self._http_req = self._request()
        fut = client.fetch(self._http_req, raise_error=False)
        fut.add_done_callback(self._on_done)

    def cancel(self) -> None:
        """See Transfer.cancel."""
        if not self._cancelled:
            self._cancelled = True
            self._client.cancel(self._http_req)

    def _request(self) -> httpclient.HTTPRequest:
        call = self._call
        req = call.req
        has_body = bool(req.body) or req.method in ("POST", "PUT", "PATCH")
        return httpclient.HTTPRequest(
            f"http://{call.address}/",
            method=req.method,
            headers=request_headers(call),
            body=req.body if has_body else None,
            allow_nonstandard_methods=True,
            connect_timeout=CONNECT_TIMEOUT_S,
            request_timeout=call.time_left_s + DEADLINE_MARGIN_S,
            follow_redirects=False,
            decompress_response=False,
            streaming_callback=self._on_data,
            prepare_curl_callback=self._prepare,
        )

    def _prepare(self, curl: Any) -> None:
        # The exact target: libcurl would normalise dot segments of a URL.
        curl.setopt(pycurl.REQUEST_TARGET, self._call.req.target)
        # Not tornado's header callback: it runs later than the data's when an
        # answer arrives at once.
        curl.setopt(pycurl.HEADERFUNCTION, self._on_header_line)
        curl.setopt(pycurl.SOCKOPTFUNCTION, set_dead_peer_timeouts)
        curl.setopt(pycurl.TCP_KEEPALIVE, 1)
        curl.setopt(pycurl.TCP_KEEPIDLE, KEEPALIVE_INTERVAL_S)
        curl.setopt(pycurl.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
        curl.setopt(pycurl.HTTP_VERSION, pycurl.CURL_HTTP_VERSION_1_1)
        if self._call.single_send:
            curl.setopt(pycurl.FRESH_CONNECT, 1)

    def _on_header_line(self, line: bytes) -> None:
        """Collects a line; libcurl calls it, so nothing else may happen."""
        if line.startswith(b"HTTP/"):
            self._lines = []
        self._lines.append(line.decode("latin-1"))

    def _deliver_head(self) -> None:
        """Gives the sink the head, before the first data or the end."""
        if self._has_head or not self._lines or self._cancelled:
            return
        try:
            head = answer_head(self._lines)
        except (ValueError, httputil.HTTPInputError) as exc:
            _LOG.warning(
                "malformed answer",
                extra={
                    "request_id": self._call.req.request_id,
                    "upstream": self._call.upstream_id,
                    "reason": str(exc),
                },
            )
            self._lines = []
            return
        if head is not None:
            self._has_head = True
            self._sink.on_head(head)

    def _on_data(self, data: bytes) -> None:
        self._deliver_head()
        if self._has_head and not self._cancelled:
            self._sink.on_data(data)

    def _on_done(self, fut: "asyncio.Future[httpclient.HTTPResponse]") -> None:
        exc = fut.exception()
        if exc is None:
            exc = fut.result().error
        if isinstance(exc, httpclient.HTTPError) and not isinstance(
            exc, curl_httpclient.CurlError
        ):
            # A complete answer with an error status.
            exc = None
        self._deliver_head()
        kind, detail = self._end(exc)
        self._sink.on_end(kind, detail)

    def _end(self, exc: BaseException | None) -> tuple[calls.EndKind, str]:
        if exc is None and self._has_head and not self._cancelled:
            return "complete", ""
        detail = str(exc) if exc is not None else "no valid answer"
        if not isinstance(exc, curl_httpclient.CurlError):
            # Tornado refuses a malformed method or header before it connects.
            is_local = isinstance(exc, ValueError)
            return ("not_sent" if is_local else "broken"), detail
        if exc.errno == pycurl.E_ABORTED_BY_CALLBACK:
            return "cancelled", detail
        if exc.errno in _NOT_SENT:
            return "not_sent", detail
        if exc.errno == pycurl.E_OPERATION_TIMEDOUT:
            is_connect = "Connection timed out" in detail
            return ("not_sent" if is_connect else "timeout"), detail
        return "broken", detail


def request_headers(call: calls.UpstreamCall) -> httputil.HTTPHeaders:
    """Returns the headers that an upstream gets."""
    headers = httputil.HTTPHeaders()
    for name, value in call.req.headers:
        headers.add(name, value)
    headers["Host"] = call.req.host
    headers[names.REQUEST_ID] = call.req.request_id
    headers[names.DEADLINE_MS] = str(max(int(call.time_left_s * 1000), 1))
    headers[names.UPSTREAM_ID] = call.upstream_id
    if call.team is not None:
        headers[names.TEAM] = call.team
    if call.req.size is not None:
        headers[names.PRIORITY] = str(call.priority)
    if call.helpers:
        headers[names.HELPERS] = ",".join(call.helpers)
    if call.resume_after is not None:
        headers[names.LAST_EVENT_ID] = call.resume_after
    if "Accept" not in headers:
        # libcurl would add one that the caller didn't send.
        headers["Accept"] = ""
    return headers


def answer_head(lines: list[str]) -> calls.AnswerHead | None:
    """Decodes status line and headers; None for an interim answer.

    Raises:
        ValueError: The lines are malformed.
    """
    start = httputil.parse_response_start_line(lines[0].strip())
    if start.code < _OK:
        return None
    headers = httputil.HTTPHeaders.parse("".join(lines[1:]))
    return calls.AnswerHead(
        start.code,
        tuple(
            (name, value)
            for name, value in headers.get_all()
            if name.lower() not in names.HOP_HEADERS
        ),
        headers.get(names.REQUEST_ID),
        names.SIGNATURE in headers,
        names.NOT_RUN in headers or start.code == _MISDIRECTED,
        "Content-Encoding" in headers,
        headers.get(names.FAULT_ADDRESS),
    )


class HttpUpstreamClient(calls.UpstreamClient):
    """Sends calls and orders over HTTP/1.1."""

    def __init__(self) -> None:
        """Opens the client; runs on the event loop."""
        self._client = CancellableCurlClient(
            force_instance=True,
            max_clients=MAX_TRANSFERS,
            max_body_size=MAX_BODY_BYTES,
        )

    def send(
        self, call: calls.UpstreamCall, sink: calls.AnswerSink
    ) -> calls.Transfer:
        """See UpstreamClient.send."""
        return _HttpTransfer(self._client, call, sink)

    async def reserve(self, reservation: calls.Reservation) -> bool:
        """See UpstreamClient.reserve."""
        status = await self._order(
            reservation,
            {
                "op": "reserve",
                "id": reservation.reservation_id,
                "tokens": reservation.tokens,
                "hold_ms": int(reservation.hold_s * 1000),
            },
        )
        return status == _OK

    async def release(self, reservation: calls.Reservation) -> None:
        """See UpstreamClient.release."""
        await self._order(
            reservation,
            {"op": "release", "id": reservation.reservation_id},
        )

    async def _order(
        self, reservation: calls.Reservation, body: dict[str, Any]
    ) -> int:
        """Sends an order and returns the status of its answer."""
        req = httpclient.HTTPRequest(
            f"http://{reservation.address}{names.ORDER_PATH}",
            method="POST",
            headers={
                "Content-Type": "application/json",
                names.UPSTREAM_ID: reservation.upstream_id,
            },
            body=msgspec.json.encode(body),
            connect_timeout=CONNECT_TIMEOUT_S,
            request_timeout=ORDER_TIMEOUT_S,
            follow_redirects=False,
            decompress_response=False,
        )
        answer = await self._client.fetch(req, raise_error=False)
        if isinstance(answer.error, curl_httpclient.CurlError):
            raise errors.UpstreamError(
                f"no answer to the order: {answer.error}",
                step="reserve",
                peer=reservation.upstream_id,
            )
        return answer.code
