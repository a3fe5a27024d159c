"""HTTP calls to the platform's services, with typed errors.

Invariant: a call with `appends` raises a plain PlatformError only when the
service can't have acted on it.
"""

from typing import Final, TypeVar

import msgspec
import pycurl
from tornado import curl_httpclient, httpclient

from apricottrestle import errors

_CONNECT_TIMEOUT_S: Final = 1.0
_DEFAULT_RETRY_AFTER_S: Final = 1.0
_MAX_CLIENTS: Final = 4
_TOO_MANY_REQUESTS: Final = 429
_UNAVAILABLE: Final = 503

_NOT_SENT: Final = frozenset(
    (
        pycurl.E_URL_MALFORMAT,
        pycurl.E_COULDNT_RESOLVE_HOST,
        pycurl.E_COULDNT_CONNECT,
    )
)
"""curl errors that arise before a byte of the request has left."""

_T = TypeVar("_T")


class PlatformHttpClient:
    """HTTP client of one platform service."""

    def __init__(self, url: str, peer: str, timeout_s: float) -> None:
        """Stores base URL, name of the service, and time limit in seconds."""
        self._url = url.rstrip("/")
        self._peer = peer
        self._timeout_s = timeout_s
        self._client: httpclient.AsyncHTTPClient | None = None

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
        """Makes one call and returns the body of a 2xx answer.

        Args:
            method: HTTP method.
            path: Path and query.
            step: Step named in errors.
            body: Request body or None.
            appends: The call stores something, so that a lost answer leaves
                its outcome unknown.
            timeout_s: Time limit of this call; by default the client's.

        Raises:
            AppendUnknownError: `appends`, and the service may have acted.
            RateLimitedError: Refused with 429.
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
        )
        try:
            answer = await self._get_client().fetch(req, raise_error=False)
        except httpclient.HTTPError as exc:
            # Without an answer: curl failed, or the client gave up waiting.
            raise self._error(exc, step, appends and _was_sent(exc)) from exc
        self._raise_for(answer, step, appends)
        return answer.body

    def close(self) -> None:
        """Closes the connections; the object can be used again."""
        if self._client is not None:
            self._client.close()
            self._client = None

    def _get_client(self) -> httpclient.AsyncHTTPClient:
        # Created late because the client binds itself to the running loop.
        if self._client is None:
            self._client = curl_httpclient.CurlAsyncHTTPClient(
                force_instance=True, max_clients=_MAX_CLIENTS
            )
        return self._client

    def _raise_for(
        self, answer: httpclient.HTTPResponse, step: str, appends: bool
    ) -> None:
        if 200 <= answer.code < 300:
            return
        if answer.code == _TOO_MANY_REQUESTS:
            raise errors.RateLimitedError(
                "refused over the rate limit",
                step=step,
                peer=self._peer,
                retry_after_s=_retry_after_s(answer),
            )
        # 503 is the published answer of an outage; another 5xx may come from a
        # gateway that lost the service's answer.
        unknown = answer.code >= 500 and answer.code != _UNAVAILABLE
        exc = self._error(f"HTTP {answer.code}", step, appends and unknown)
        exc.status = answer.code
        raise exc

    def _error(
        self, reason: object, step: str, unknown: bool
    ) -> errors.PlatformError:
        kind = errors.AppendUnknownError if unknown else errors.PlatformError
        return kind(f"the call failed: {reason}", step=step, peer=self._peer)


def decode_response(body: bytes, kind: type[_T], step: str, peer: str) -> _T:
    """Decodes and validates a JSON answer.

    Raises:
        PlatformError: The answer doesn't have the published form.
    """
    try:
        return msgspec.json.decode(body, type=kind)
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        raise errors.PlatformError(
            f"malformed answer: {exc}", step=step, peer=peer
        ) from exc


def decode_append_response(body: bytes, kind: type[_T], peer: str) -> _T:
    """Decodes the answer to an append that was acknowledged.

    Raises:
        AppendUnknownError: The answer is malformed; the record may be stored.
    """
    try:
        return decode_response(body, kind, "append", peer)
    except errors.PlatformError as exc:
        raise errors.AppendUnknownError(
            exc.message, step=exc.step, peer=exc.peer
        ) from exc


def _was_sent(exc: httpclient.HTTPError) -> bool:
    if isinstance(exc, curl_httpclient.CurlError):
        return exc.errno not in _NOT_SENT
    return True


def _retry_after_s(answer: httpclient.HTTPResponse) -> float:
    try:
        return max(0.0, float(answer.headers.get("Retry-After", "")))
    except ValueError:
        return _DEFAULT_RETRY_AFTER_S
