"""HTTP client of the platform's services, with typed errors.

Invariants: a call with `appends` raises a plain PlatformError only if the
service can't have processed it, and is sent once. Each call ends within its
time limit, and when the client is closed. One that was given up before it began
isn't sent.
"""

import asyncio
from typing import Any, Final, TypeVar

import msgspec
import pycurl
from tornado import curl_httpclient, httpclient

from apricottrestle import decoding, errors, http_answers

_CONNECT_TIMEOUT_S: Final = 1.0
_DEFAULT_RETRY_AFTER_S: Final = 1.0
_LIMIT_MARGIN_S: Final = 0.5
"""Time after a call's limit at which it is given up if libcurl hasn't ended
it."""

MAX_CONCURRENT_CALLS: Final = 4
"""Calls under way; further ones wait, within their time limits."""

_MAX_BODY_BYTES: Final = 16 * 1024 * 1024
"""Limit of a response's body; several times the largest page of records."""

_HTTP_TOO_MANY_REQUESTS: Final = 429
_HTTP_SERVICE_UNAVAILABLE: Final = 503
_NO_RESPONSE: Final = 599
"""Tornado's status of a call without a response."""

_NOT_SENT: Final = frozenset(
    (
        pycurl.E_URL_MALFORMAT,
        pycurl.E_COULDNT_RESOLVE_HOST,
        pycurl.E_COULDNT_CONNECT,
    )
)
"""curl errors that occur before any byte of the request is sent."""

_T = TypeVar("_T")


class PlatformHttpClient:
    """HTTP client of one platform service."""

    def __init__(self, url: str, peer: str, timeout_s: float) -> None:
        """Creates the client; it connects at first use.

        Args:
            url: Base URL of the service.
            peer: Name of the service in errors.
            timeout_s: Default time limit of a call, in seconds.
        """
        self._url = url.rstrip("/")
        self._peer = peer
        self._timeout_s = timeout_s
        self._client: http_answers.StrictCurlClient | None = None
        self._closed: asyncio.Future[None] | None = None

    async def call(
        self,
        method: str,
        path: str,
        step: str,
        *,
        body: bytes | None = None,
        appends: bool = False,
        timeout_s: float | None = None,
    ) -> bytes:
        """Makes one call and returns the body of a 2xx response.

        See `fetch`.
        """
        response = await self.fetch(
            method,
            path,
            step,
            body=body,
            appends=appends,
            timeout_s=timeout_s,
        )
        return response.body

    async def fetch(
        self,
        method: str,
        path: str,
        step: str,
        *,
        body: bytes | None = None,
        appends: bool = False,
        timeout_s: float | None = None,
    ) -> httpclient.HTTPResponse:
        """Makes one call and returns the 2xx response.

        Args:
            method: HTTP method.
            path: Path and query.
            step: Name of the step in errors.
            body: Request body, or None.
            appends: Whether the call stores a record, so that its outcome is
                unknown if the response is lost.
            timeout_s: Time limit of this call; by default the client's.

        Raises:
            AppendUnknownError: `appends` is set, and the service may have
                stored the record.
            RateLimitedError: The service responded with 429.
            PlatformError: Any other failure.
        """
        req = httpclient.HTTPRequest(
            self._url + path,
            method=method,
            body=body,
            headers={"Content-Type": "application/json"} if body else None,
            connect_timeout=_CONNECT_TIMEOUT_S,
            request_timeout=timeout_s or self._timeout_s,
            follow_redirects=False,
            prepare_curl_callback=_use_new_connection if appends else None,
        )
        try:
            response = await self._fetch(req)
        except httpclient.HTTPError as exc:
            # No response: curl failed, or the call timed out.
            raise self._make_error(
                exc, step, appends and _may_have_been_sent(exc)
            ) from exc
        self._raise_for_status(response, step, appends)
        return response

    async def _fetch(
        self, req: httpclient.HTTPRequest
    ) -> httpclient.HTTPResponse:
        """Waits for a response, for the end of the time or of the client.

        Tornado drops the futures of open calls when a client is closed.

        Raises:
            HTTPError: There is no response.
        """
        client = self._get_client()
        closed = self._closed
        assert closed is not None
        fut = asyncio.ensure_future(client.fetch(req, raise_error=False))
        limit_s = (req.request_timeout or self._timeout_s) + _LIMIT_MARGIN_S
        waiters: set[asyncio.Future[Any]] = {fut, closed}
        try:
            await asyncio.wait(
                waiters,
                timeout=limit_s,
                return_when=asyncio.FIRST_COMPLETED,
            )
            if fut.done():
                return fut.result()
        finally:
            fut.cancel()
            client.cancel_waiting(req)
        reason = "client closed" if closed.done() else "no response in time"
        raise httpclient.HTTPError(_NO_RESPONSE, reason)

    def close(self) -> None:
        """Closes the connections and fails open calls.

        Later calls open new connections.
        """
        if self._client is not None:
            self._client.close()
            self._client = None
        if self._closed is not None and not self._closed.done():
            self._closed.set_result(None)

    def _get_client(self) -> http_answers.StrictCurlClient:
        # Created at first use, because the client needs the running event loop.
        if self._client is None:
            self._closed = asyncio.get_running_loop().create_future()
            self._client = http_answers.StrictCurlClient(
                force_instance=True,
                max_clients=MAX_CONCURRENT_CALLS,
                max_body_size=_MAX_BODY_BYTES,
            )
        return self._client

    def _raise_for_status(
        self, response: httpclient.HTTPResponse, step: str, appends: bool
    ) -> None:
        if 200 <= response.code < 300:
            return
        if response.code == _HTTP_TOO_MANY_REQUESTS:
            raise errors.RateLimitedError(
                "rate limit exceeded",
                step=step,
                peer=self._peer,
                retry_after_s=_parse_retry_after(response),
            )
        # The documented response to a call during an outage is 503, and nothing
        # is stored. Another 5xx may come from a proxy that lost the service's
        # response.
        may_be_stored = (
            response.code >= 500 and response.code != _HTTP_SERVICE_UNAVAILABLE
        )
        exc = self._make_error(
            f"HTTP {response.code}", step, appends and may_be_stored
        )
        exc.status = response.code
        raise exc

    def _make_error(
        self, reason: object, step: str, may_be_stored: bool
    ) -> errors.PlatformError:
        error_type = (
            errors.AppendUnknownError if may_be_stored else errors.PlatformError
        )
        return error_type(f"call failed: {reason}", step=step, peer=self._peer)


def decode_response(
    body: bytes, response_type: type[_T], step: str, peer: str
) -> _T:
    """Decodes and validates a JSON response.

    Raises:
        PlatformError: The response doesn't match `response_type`.
    """
    try:
        return msgspec.json.decode(body, type=response_type)
    except decoding.DECODE_ERRORS as exc:
        raise errors.PlatformError(
            f"malformed response: {exc}", step=step, peer=peer
        ) from exc


def decode_append_response(
    body: bytes, response_type: type[_T], peer: str
) -> _T:
    """Decodes the 2xx response to an append.

    Raises:
        AppendUnknownError: The response is malformed; the record may be stored.
    """
    try:
        return decode_response(body, response_type, "append", peer)
    except errors.PlatformError as exc:
        raise errors.AppendUnknownError(
            exc.message, step=exc.step, peer=exc.peer
        ) from exc


def _use_new_connection(curl: pycurl.Curl) -> None:
    """Keeps libcurl from sending a request twice.

    It repeats one whose kept connection ends before the first byte of the
    response, although the service may have stored the record.
    """
    curl.setopt(pycurl.FRESH_CONNECT, 1)


def _may_have_been_sent(exc: httpclient.HTTPError) -> bool:
    if isinstance(exc, curl_httpclient.CurlError):
        return exc.errno not in _NOT_SENT
    return True


def _parse_retry_after(response: httpclient.HTTPResponse) -> float:
    try:
        return max(0.0, float(response.headers.get("Retry-After", "")))
    except ValueError:
        return _DEFAULT_RETRY_AFTER_S
