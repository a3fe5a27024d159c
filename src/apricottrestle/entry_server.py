"""HTTP server of the caller API and its routes."""

import socket
import weakref
from typing import Any, Final

from tornado import httpserver, iostream, web

from apricottrestle import (
    entry_accept,
    entry_completions,
    entry_http,
    http_connections,
    http_server,
)

MAX_DISCARDED_BODY_BYTES: Final = 64 * 1024 * 1024
"""An oversized body up to this size is read and discarded. Closing a connection
with unread data resets it, and the caller would not receive the error."""

SEND_BUFFER_BYTES: Final = 64 * 1024
"""By default the kernel buffers megabytes for a caller that doesn't read, and
that many bytes of its stream would be sent ahead of what it has read."""

IDLE_TIMEOUT_S: Final = 75.0


def make_application(ctx: entry_http.ApiContext) -> web.Application:
    """Returns the tornado application with the routes of the caller API."""
    args = {"ctx": ctx}
    return web.Application(
        [
            ("/v1/completions", entry_completions.CompletionsHandler, args),
            ("/v1/models", entry_http.ModelsHandler, args),
            ("/v1/idempotency-keys", entry_http.KeysHandler, args),
            ("/v1/services/([^/]+)/(.*)", entry_http.ServiceHandler, args),
        ],
        default_handler_class=entry_http.NotFoundHandler,
        default_handler_args=args,
        log_function=lambda _handler: None,
    )


class _TrackingServer(httpserver.HTTPServer):
    """HTTP server that records its open connections."""

    def initialize(self, *args: Any, **kwargs: Any) -> None:
        self.streams: weakref.WeakSet[http_connections.CallerStream] = (
            weakref.WeakSet()
        )
        super().initialize(*args, **kwargs)

    def handle_stream(self, stream: iostream.IOStream, address: Any) -> None:
        assert isinstance(stream, http_connections.CallerStream)
        self.streams.add(stream)
        super().handle_stream(stream, address)


class ApiServer(http_server.ListeningServer):
    """HTTP server of the caller API; a context manager."""

    def __init__(self, address: str, ctx: entry_http.ApiContext) -> None:
        """Creates the server; `address` is "ip:port"."""
        self._ctx = ctx
        self._http_server = _TrackingServer(
            make_application(ctx),
            max_header_size=entry_accept.MAX_HEADER_BYTES,
            max_body_size=MAX_DISCARDED_BODY_BYTES,
            idle_connection_timeout=IDLE_TIMEOUT_S,
        )
        super().__init__(address, self._http_server)

    def configure_socket(self, sock: socket.socket) -> None:
        """Limits the kernel's send buffer; see SEND_BUFFER_BYTES."""
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)

    def close_idle(self) -> None:
        """Closes the connections without a request in progress.

        A request may have arrived that its handler hasn't got yet.
        """
        for stream in list(self._http_server.streams):
            if (
                stream not in self._ctx.busy_streams
                and not stream.closed()
                and stream.is_idle
            ):
                stream.close()
