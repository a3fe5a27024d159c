"""HTTP client of a plain service.

Invariant: a call is sent at most once and ends in exactly one ServiceAnswer or
ServiceFailed. `ServiceFailed.sent` is False only if no byte can have reached
the service.
"""

from collections.abc import Coroutine
from typing import Any, Final

import pycurl
from tornado import curl_httpclient, httpclient, httputil

from apricottrestle import agent_events, agent_upstream

_NOT_SENT_ERRORS: Final = frozenset(
    (
        pycurl.E_URL_MALFORMAT,
        pycurl.E_COULDNT_RESOLVE_HOST,
        pycurl.E_COULDNT_CONNECT,
    )
)
_UNFORWARDED_HEADERS: Final = frozenset(
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
        "accept-encoding",
    )
)
"""Headers that are not passed on between entry and service.

They are hop-by-hop headers and headers that curl sets. No content coding is
asked for; a service that uses one nevertheless says so to the caller.
"""


class ServiceClient(agent_upstream.UpstreamClient):
    """Executes CallService commands."""

    def _make_coroutine(
        self, cmd: agent_events.Command
    ) -> Coroutine[Any, Any, None] | None:
        if isinstance(cmd, agent_events.CallService):
            return self._send_call(cmd)
        return None

    async def _send_call(self, cmd: agent_events.CallService) -> None:
        headers = httputil.HTTPHeaders()
        for name, value in _forwardable(cmd.headers):
            headers.add(name, value)
        req = httpclient.HTTPRequest(
            f"{self._url}/{cmd.path.lstrip('/')}",
            method=cmd.method,
            headers=headers,
            body=cmd.body or None,
            allow_nonstandard_methods=True,
            connect_timeout=agent_upstream.CONNECT_TIMEOUT_S,
            request_timeout=cmd.timeout_s,
            follow_redirects=False,
            prepare_curl_callback=agent_upstream.disable_connection_reuse,
        )
        try:
            response = await self._client.fetch(req, raise_error=False)
        except httpclient.HTTPError as exc:
            self._emit(_failure_event(cmd.call_id, exc))
            return
        except ValueError:
            # Tornado rejects a malformed method or header before it connects.
            self._emit(
                agent_events.ServiceFailed(cmd.call_id, "bad_request", False)
            )
            return
        self._emit(
            agent_events.ServiceAnswer(
                cmd.call_id,
                response.code,
                _forwardable(list(response.headers.get_all())),
                response.body or b"",
            )
        )


def _forwardable(headers: list[tuple[str, str]]) -> list[tuple[str, str]]:
    return [
        (name, value)
        for name, value in headers
        if name.lower() not in _UNFORWARDED_HEADERS
    ]


def _failure_event(
    call_id: str, exc: httpclient.HTTPError
) -> agent_events.ServiceFailed:
    not_sent = (
        isinstance(exc, curl_httpclient.CurlError)
        and exc.errno in _NOT_SENT_ERRORS
    )
    reason = "service_unreachable" if not_sent else "answer_lost"
    return agent_events.ServiceFailed(call_id, reason, not not_sent)
