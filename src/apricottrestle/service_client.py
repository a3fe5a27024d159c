"""HTTP client of a plain service.

Invariant: a call is sent at most once, and ends in exactly one ServiceAnswer or
ServiceFailed; `sent` is False only when no byte can have reached the service.
"""

import asyncio
from types import TracebackType
from typing import Final, Self

import pycurl
from tornado import curl_httpclient, httpclient, httputil

from apricottrestle import agent_events, engine_client

_NOT_SENT: Final = frozenset(
    (
        pycurl.E_URL_MALFORMAT,
        pycurl.E_COULDNT_RESOLVE_HOST,
        pycurl.E_COULDNT_CONNECT,
    )
)
_HOP_HEADERS: Final = frozenset(
    (
        "connection",
        "content-length",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-encoding",
        "accept-encoding",
        "x-http-reason",
    )
)
"""Headers of one connection, or added by tornado; curl decodes the content."""


class ServiceClient:
    """Runs CallService commands on the event loop. A context manager."""

    def __init__(self, url: str, slots: int, emit: engine_client.Emit) -> None:
        """Prepares the client.

        Args:
            url: Base URL of the service.
            slots: Calls at the same time.
            emit: Sink of events.
        """
        self._url = url.rstrip("/")
        self._max_clients = engine_client.max_clients(slots)
        self._emit = emit
        self._tasks: set[asyncio.Task[None]] = set()

    def __enter__(self) -> Self:
        """Opens the HTTP client; runs on the event loop."""
        self._client = curl_httpclient.CurlAsyncHTTPClient(
            force_instance=True, max_clients=self._max_clients
        )
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Ends all tasks and closes the client."""
        for task in self._tasks:
            task.cancel()
        self._client.close()

    async def settle(self, timeout_s: float) -> None:
        """Waits for calls under way, so that an exit cuts none."""
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=timeout_s)

    def execute(self, cmd: agent_events.Command) -> bool:
        """Starts a call; returns False for any other command."""
        if not isinstance(cmd, agent_events.CallService):
            return False
        task = asyncio.get_running_loop().create_task(self._call(cmd))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return True

    async def _call(self, cmd: agent_events.CallService) -> None:
        headers = httputil.HTTPHeaders()
        for name, value in _forwarded(cmd.headers):
            headers.add(name, value)
        req = httpclient.HTTPRequest(
            f"{self._url}/{cmd.path.lstrip('/')}",
            method=cmd.method,
            headers=headers,
            body=cmd.body or None,
            allow_nonstandard_methods=True,
            connect_timeout=engine_client.CONNECT_TIMEOUT_S,
            request_timeout=cmd.timeout_s,
            follow_redirects=False,
            prepare_curl_callback=engine_client.fresh_connection,
        )
        try:
            answer = await self._client.fetch(req, raise_error=False)
        except httpclient.HTTPError as exc:
            self._emit(_failure(cmd.call_id, exc))
            return
        except ValueError:
            # Tornado refuses a malformed method or header before it connects.
            self._emit(
                agent_events.ServiceFailed(cmd.call_id, "bad_request", False)
            )
            return
        self._emit(
            agent_events.ServiceAnswer(
                cmd.call_id,
                answer.code,
                _forwarded(list(answer.headers.get_all())),
                answer.body or b"",
            )
        )


def _forwarded(headers: list[tuple[str, str]]) -> list[tuple[str, str]]:
    return [
        (name, value)
        for name, value in headers
        if name.lower() not in _HOP_HEADERS
    ]


def _failure(
    call_id: str, exc: httpclient.HTTPError
) -> agent_events.ServiceFailed:
    not_sent = (
        isinstance(exc, curl_httpclient.CurlError) and exc.errno in _NOT_SENT
    )
    reason = "service_unreachable" if not_sent else "answer_lost"
    return agent_events.ServiceFailed(call_id, reason, not not_sent)
