"""HTTP client for upstreams: callers' requests and memory reservations.

Invariants: each sink's `on_end` is called exactly once. A call with
`new_connection` opens one, because libcurl silently repeats a request if its
reused connection fails before the response.
"""

import asyncio
import contextlib
import functools
import logging
import re
import socket
from collections.abc import Callable
from typing import Any, Final

import msgspec
import pycurl
from tornado import curl_httpclient, httpclient, httputil

from apricottrestle import errors, http_answers, http_head
from apricottrestle.gateway import calls
from apricottrestle.platform import codec, names

CONNECT_TIMEOUT_S: Final = 0.4
"""Timeout of opening a connection: a hundred round trips between data centres.

TCP retransmits a lost SYN only after one second, so a timeout between 0.4 s and
1 s would not connect more often.
"""

TCP_USER_TIMEOUT_MS: Final = 1_500
"""Time in which the upstream must acknowledge sent data, else the connection
fails."""

KEEPALIVE_INTERVAL_S: Final = 1
"""Idle time before the first keep-alive probe and interval between probes; the
shortest that TCP allows."""

KEEPALIVE_PROBES: Final = 2
"""Unanswered keep-alive probes after which a connection fails.

An unreachable upstream is thus detected in three seconds, within the four
seconds in which memory reserved for a lost run must be released.
"""

RESERVATION_TIMEOUT_S: Final = 0.5
"""Timeout of a request that reserves or releases memory."""

PROBE_TIMEOUT_S: Final = 0.4
"""Timeout of the question whether an upstream is running; as CONNECT_TIMEOUT_S,
since the answer needs no place in its queue."""

DEADLINE_MARGIN_S: Final = 3.0
"""Time by which a transfer's timeout exceeds the caller's remaining time. The
exchange cancels the transfer at the deadline; libcurl, which looks at the clock
before it reads, must not end it first after a delay of the event loop."""

MAX_BODY_BYTES: Final = 64 * 1024 * 1024

MAX_REPORT_BYTES: Final = 256 * 1024
"""Limit of the answer to a question or reservation, which is buffered; a report
with as many reservations as an engine grants is a tenth as long."""

MAX_UNDELIVERED_BYTES: Final = 32 * 1024
"""Bytes of an answer that tornado may hold before it passes them on; several
reads of libcurl. Nothing counts them, and its own limit is 1 MiB."""

MAX_KEPT_CONNECTIONS: Final = 300
"""Connections to upstreams, kept ones included, that the client doesn't close;
several for each upstream of a fleet. Descriptors are reserved for them."""

_HTTP_OK: Final = 200
_HTTP_MISDIRECTED_REQUEST: Final = 421
_HTTP_UNAVAILABLE: Final = 503
_LOG: Final = logging.getLogger(__name__)

_NOT_SENT: Final = frozenset(
    (
        pycurl.E_URL_MALFORMAT,
        pycurl.E_COULDNT_RESOLVE_HOST,
        pycurl.E_COULDNT_CONNECT,
    )
)
"""curl errors that occur before any byte of the request is sent."""


_DECIMAL: Final = re.compile(r"[0-9]{1,12}(\.[0-9]{0,12})?|\.[0-9]{1,12}")
"""A decimal number that is neither negative nor infinite."""

MAX_LOGGED_VALUES: Final = 4

MAX_LOGGED_CHARS: Final = 60
MAX_REMEMBERED_HEADERS: Final = 256
"""Bounds of the log of malformed headers: length of a value, and values that
are logged once."""


class PausableCurlClient(http_answers.StrictCurlClient):
    """The strict curl client, extended by pausing a transfer."""

    def initialize(self, *args: Any, **kwargs: Any) -> None:
        """Bounds the connections that are kept."""
        super().initialize(*args, **kwargs)
        self._multi.setopt(pycurl.M_MAXCONNECTS, MAX_KEPT_CONNECTIONS)

    def resume(self, curl: Any, req: httpclient.HTTPRequest) -> None:
        """Resumes a paused transfer, if it hasn't ended."""
        info = getattr(curl, "info", None)
        if info is None or not http_answers.is_same_request(
            info["request"], req
        ):
            return
        # A transfer that failed while it was paused says so here; its end is
        # reported as usual.
        with contextlib.suppress(pycurl.error):
            curl.pause(pycurl.PAUSE_CONT)
        self._set_timeout(0)


def set_dead_peer_timeouts(fd: int, _purpose: int = 0) -> int:
    """Bounds the time in which a socket detects an unreachable peer.

    A SOCKOPTFUNCTION of libcurl.
    """
    with socket.socket(fileno=socket.dup(fd)) as sock:
        sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS
        )
        sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES
        )
    return 0


def _use_own_connection(curl: Any) -> None:
    """Gives a call whose answer names no request a connection of its own."""
    curl.setopt(pycurl.FRESH_CONNECT, 1)
    curl.setopt(pycurl.FORBID_REUSE, 1)


class _HttpTransfer(calls.Transfer):
    """One call; passes its response to a sink."""

    def __init__(
        self,
        client: PausableCurlClient,
        call: calls.UpstreamCall,
        sink: calls.ResponseSink,
        on_ended: Callable[[], None],
    ) -> None:
        self._client = client
        self._sink = sink
        self._on_ended = on_ended
        self._call = call
        self._head_delivered = False
        self._answer: http_answers.Answer | None = None
        self._cancelled = False
        self._curl: Any = None
        self._http_req = self._make_request()
        fut = client.fetch(self._http_req, raise_error=False)
        fut.add_done_callback(self._on_done)

    def cancel(self) -> None:
        """See Transfer.cancel."""
        if not self._cancelled:
            self._cancelled = True
            self._client.cancel(self._http_req)

    def pause(self) -> None:
        """See Transfer.pause."""
        if self._answer is not None:
            self._answer.is_paused = True

    def resume(self) -> None:
        """See Transfer.resume."""
        if self._answer is not None:
            self._answer.is_paused = False
            self._client.resume(self._curl, self._http_req)

    def _make_request(self) -> httpclient.HTTPRequest:
        call = self._call
        req = call.req
        return httpclient.HTTPRequest(
            f"http://{call.address}/",
            method=req.method,
            headers=request_headers(call),
            body=req.body if call_has_body(req) else None,
            allow_nonstandard_methods=True,
            connect_timeout=CONNECT_TIMEOUT_S,
            request_timeout=call.time_left_s + DEADLINE_MARGIN_S,
            follow_redirects=False,
            decompress_response=False,
            streaming_callback=self._on_data,
            prepare_curl_callback=self._set_curl_options,
        )

    def _set_curl_options(self, curl: Any) -> None:
        self._curl = curl
        self._answer = curl.info["answer"]
        curl.info["streaming_buffer"].max_buffer_size = MAX_UNDELIVERED_BYTES
        # Sets the target verbatim; libcurl normalises dot segments of a URL.
        curl.setopt(pycurl.REQUEST_TARGET, self._call.req.target)
        curl.setopt(pycurl.SOCKOPTFUNCTION, set_dead_peer_timeouts)
        curl.setopt(pycurl.TCP_KEEPALIVE, 1)
        curl.setopt(pycurl.TCP_KEEPIDLE, KEEPALIVE_INTERVAL_S)
        curl.setopt(pycurl.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
        curl.setopt(pycurl.HTTP_VERSION, pycurl.CURL_HTTP_VERSION_1_1)
        if self._call.new_connection:
            curl.setopt(pycurl.FRESH_CONNECT, 1)

    def _deliver_head(self) -> None:
        """Passes the response head to the sink, once, before data or end."""
        head = self._answer.head if self._answer is not None else None
        if head is not None and not (self._head_delivered or self._cancelled):
            self._head_delivered = True
            self._sink.on_head(decode_head(head))

    def _on_data(self, data: bytes) -> None:
        self._deliver_head()
        if self._head_delivered and not self._cancelled:
            self._sink.on_data(data)

    def _on_done(self, fut: "asyncio.Future[httpclient.HTTPResponse]") -> None:
        exc = fut.exception()
        if exc is None:
            exc = fut.result().error
        if isinstance(exc, httpclient.HTTPError) and not isinstance(
            exc, curl_httpclient.CurlError
        ):
            # A complete response with an error status.
            exc = None
        self._deliver_head()
        kind, detail = self._classify_end(exc)
        # References in circles would keep the request until a collection.
        self._http_req.streaming_callback = None
        self._http_req.prepare_curl_callback = None
        self._on_ended()
        self._sink.on_end(kind, detail)

    def _classify_end(
        self, exc: BaseException | None
    ) -> tuple[calls.EndKind, str]:
        if exc is None and self._head_delivered and not self._cancelled:
            return "complete", ""
        detail = str(exc) if exc is not None else "no valid answer"
        if not isinstance(exc, curl_httpclient.CurlError):
            # Tornado rejects a malformed method or header before it connects.
            is_invalid_request = isinstance(exc, ValueError)
            return ("not_sent" if is_invalid_request else "broken"), detail
        if exc.errno == pycurl.E_ABORTED_BY_CALLBACK:
            return "cancelled", detail
        if exc.errno in _NOT_SENT:
            return "not_sent", detail
        if exc.errno == pycurl.E_OPERATION_TIMEDOUT:
            is_connect_timeout = "Connection timed out" in detail
            return ("not_sent" if is_connect_timeout else "timeout"), detail
        return "broken", detail


def call_has_body(req: calls.CallerRequest) -> bool:
    """Returns whether a request is sent with a body, which may be empty."""
    return bool(req.body) or req.method in ("POST", "PUT", "PATCH")


def request_headers(call: calls.UpstreamCall) -> httputil.HTTPHeaders:
    """Returns the headers of a request to an upstream."""
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
        # Without this, libcurl adds "Accept: */*".
        headers["Accept"] = ""
    return headers


def decode_head(head: http_head.Head) -> calls.ResponseHead:
    """Decodes status and headers of a response."""
    headers = head.headers
    return calls.ResponseHead(
        head.status,
        tuple(
            (name, value)
            for name, value in headers.get_all()
            if name.lower() not in names.HOP_BY_HOP_HEADERS
        ),
        headers.get(names.REQUEST_ID),
        names.SERVER_SIGNATURE in headers,
        names.NOT_RUN in headers or head.status == _HTTP_MISDIRECTED_REQUEST,
        "Content-Encoding" in headers,
        headers.get(names.FAILED_ADDRESS),
        head.framing != "close",
        _parse_limit(headers.get_list(names.REQUEST_LIMIT)),
        _parse_leaving(headers.get_list(names.LEAVING)),
        _parse_wait_s(headers.get_list(names.RETRY_AFTER))
        if head.status == _HTTP_UNAVAILABLE
        else None,
        _parse_cold_s(headers.get_list(names.COLD_MS)),
        head.length if head.framing == "length" else None,
    )


def _parse_limit(values: list[str]) -> calls.NamedLimit | None:
    """Decodes the limit that an upstream names; the least if there are several.

    Unreadable if any value isn't a plain decimal number, so that a malformed
    head neither sets a limit nor ends one.
    """
    if not values:
        return None
    if any(_DECIMAL.fullmatch(value.strip()) is None for value in values):
        _LOG.warning(
            "upstream named a limit that is not a decimal number",
            extra={"values": values[:MAX_LOGGED_VALUES]},
        )
        return calls.NamedLimit(None)
    return calls.NamedLimit(min(float(value) for value in values))


def _parse_leaving(values: list[str]) -> bool:
    """Decodes whether an upstream says that it leaves."""
    is_leaving = any(value.strip() == "1" for value in values)
    if values and not is_leaving:
        _log_ignored(names.LEAVING, values[0][:MAX_LOGGED_CHARS])
    return is_leaving


def _parse_wait_s(values: list[str]) -> float | None:
    """Decodes for how long an upstream wants no requests, in seconds.

    The longest if there are several; a date or another value says nothing.
    """
    if any(_DECIMAL.fullmatch(value.strip()) is None for value in values):
        _log_ignored(names.RETRY_AFTER, values[0][:MAX_LOGGED_CHARS])
        return None
    return max((float(value) for value in values), default=None)


def _parse_cold_s(values: list[str]) -> float | None:
    """Decodes for how long an upstream is cold, in seconds.

    The longest if there are several; None if a value is malformed.
    """
    if any(_DECIMAL.fullmatch(value.strip()) is None for value in values):
        _log_ignored(names.COLD_MS, values[0][:MAX_LOGGED_CHARS])
        return None
    longest_ms = max((float(value) for value in values), default=None)
    if longest_ms is None:
        return None
    return min(longest_ms, codec.MAX_WARM_UP_MS) / 1000


@functools.lru_cache(maxsize=MAX_REMEMBERED_HEADERS)
def _log_ignored(name: str, value: str) -> None:
    """Logs a malformed header; the cache leaves out those just logged."""
    _LOG.warning(
        "ignored a malformed header of an upstream",
        extra={"header": name, "value": value},
    )


class HttpUpstreamClient(calls.UpstreamClient):
    """Sends calls and memory reservations over HTTP/1.1."""

    def __init__(self) -> None:
        """Creates the client; must run on the event loop."""
        self._client = PausableCurlClient(
            force_instance=True,
            max_body_size=MAX_BODY_BYTES,
        )
        self._reports = http_answers.StrictCurlClient(
            force_instance=True,
            max_body_size=MAX_REPORT_BYTES,
        )

    def close(self) -> None:
        """Closes all connections; calls under way don't end."""
        self._client.close()
        self._reports.close()

    def send(
        self, call: calls.UpstreamCall, sink: calls.ResponseSink
    ) -> calls.Transfer:
        """See UpstreamClient.send."""
        transfer = _HttpTransfer(self._client, call, sink, self._tell_transfers)
        self._tell_transfers()
        return transfer

    def _tell_transfers(self) -> None:
        if self.on_transfers is not None:
            self.on_transfers(self._client.calls_under_way)

    async def probe(
        self, upstream_id: str, address: str, started_at_ms: int
    ) -> calls.ProbeResult:
        """See UpstreamClient.probe."""
        sent_at = asyncio.get_running_loop().time()
        req = httpclient.HTTPRequest(
            f"http://{address}{names.REPORT_PATH}",
            headers={names.UPSTREAM_ID: upstream_id},
            connect_timeout=CONNECT_TIMEOUT_S,
            request_timeout=PROBE_TIMEOUT_S,
            follow_redirects=False,
            decompress_response=False,
            prepare_curl_callback=_use_own_connection,
        )
        try:
            response = await self._reports.fetch(req, raise_error=False)
        except curl_httpclient.CurlError as exc:
            refused = exc.errno == pycurl.E_COULDNT_CONNECT
            return "ended" if refused else "unknown"
        is_other = (
            response.code == _HTTP_MISDIRECTED_REQUEST
            or (codec.decode_start_time_ms(response.body) or started_at_ms)
            != started_at_ms
        )
        cold_s = _parse_cold_s(response.headers.get_list(names.COLD_MS))
        if not is_other and cold_s is not None and self.on_cold is not None:
            self.on_cold(upstream_id, started_at_ms, cold_s, sent_at)
        return "ended" if is_other else "running"

    async def reserve(self, reservation: calls.Reservation) -> bool:
        """See UpstreamClient.reserve."""
        status = await self._post_reservation(
            reservation,
            {
                "op": "reserve",
                "id": reservation.reservation_id,
                "tokens": reservation.tokens,
                "hold_ms": int(reservation.hold_s * 1000),
            },
        )
        return status == _HTTP_OK

    async def release(self, reservation: calls.Reservation) -> None:
        """See UpstreamClient.release."""
        await self._post_reservation(
            reservation,
            {"op": "release", "id": reservation.reservation_id},
        )

    async def _post_reservation(
        self, reservation: calls.Reservation, body: dict[str, Any]
    ) -> int:
        """Sends a reserve or release request and returns the HTTP status."""
        req = httpclient.HTTPRequest(
            f"http://{reservation.address}{names.RESERVATION_PATH}",
            method="POST",
            headers={
                "Content-Type": "application/json",
                names.UPSTREAM_ID: reservation.upstream_id,
            },
            body=msgspec.json.encode(body),
            connect_timeout=CONNECT_TIMEOUT_S,
            request_timeout=RESERVATION_TIMEOUT_S,
            follow_redirects=False,
            decompress_response=False,
            prepare_curl_callback=_use_own_connection,
        )
        try:
            # Raises if there is no response, whatever `raise_error` is.
            response = await self._reports.fetch(req, raise_error=False)
        except curl_httpclient.CurlError as exc:
            raise errors.UpstreamError(
                f"no response to the reservation request: {exc}",
                step="reserve",
                peer=reservation.upstream_id,
            ) from exc
        return response.code
