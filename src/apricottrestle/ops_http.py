"""HTTP endpoints of a daemon for health, readiness and metrics."""

from collections.abc import Callable, Mapping
from typing import Any, Final

import prometheus_client
from tornado import httpserver, web

from apricottrestle import http_server

ReadinessCheck = Callable[[], list[str]]
"""Returns the reasons why the daemon isn't ready; empty if it is ready."""


Query = Callable[[bytes], Mapping[str, object]]
"""Answers a question of an operator, whose body it gets, with a document.

Raises ValueError if the body is malformed.
"""

_HTTP_BAD_REQUEST: Final = 400


class _QueryHandler(web.RequestHandler):
    def initialize(self, answer: Query) -> None:
        self._answer = answer

    def post(self) -> None:
        try:
            self.write(dict(self._answer(self.request.body)))
        except ValueError as exc:
            self.set_status(_HTTP_BAD_REQUEST)
            self.write({"error": str(exc)})


class _HealthHandler(web.RequestHandler):
    def get(self) -> None:
        self.write({"healthy": True})


class _ReadyHandler(web.RequestHandler):
    def initialize(self, check_readiness: ReadinessCheck) -> None:
        self._check_readiness = check_readiness

    def get(self) -> None:
        reasons = self._check_readiness()
        self.set_status(503 if reasons else 200)
        self.write({"ready": not reasons, "reasons": reasons})


class _MetricsHandler(web.RequestHandler):
    def get(self) -> None:
        self.set_header("Content-Type", prometheus_client.CONTENT_TYPE_LATEST)
        self.write(prometheus_client.generate_latest())


def make_routes(check_readiness: ReadinessCheck) -> list[Any]:
    """Returns the tornado routes of /healthz, /readyz and /metrics."""
    return [
        ("/healthz", _HealthHandler),
        ("/readyz", _ReadyHandler, {"check_readiness": check_readiness}),
        ("/metrics", _MetricsHandler),
    ]


class OpsServer(http_server.ListeningServer):
    """HTTP server for operators and monitoring; a context manager."""

    def __init__(
        self,
        address: str,
        check_readiness: ReadinessCheck,
        queries: Mapping[str, Query] | None = None,
    ) -> None:
        """Prepares the server.

        Args:
            address: "ip:port" to listen on.
            check_readiness: See ReadinessCheck.
            queries: Answers the questions of operators, by their paths.
        """
        routes = [
            *make_routes(check_readiness),
            *[
                (path, _QueryHandler, {"answer": answer})
                for path, answer in (queries or {}).items()
            ],
        ]
        app = web.Application(routes, log_function=lambda _handler: None)
        super().__init__(address, httpserver.HTTPServer(app))
