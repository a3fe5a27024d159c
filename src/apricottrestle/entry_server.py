"""HTTP server of the caller API and its routes."""

import socket
import weakref
from types import TracebackType
from typing import Any, Final, Self

from tornado import httpserver, iostream, netutil, web

from apricottrestle import entry_accept, entry_completions, entry_http

SWALLOWED_BODY_BYTES: Final = 64 * 1024 * 1024
"""An oversized body up to this size is read and dropped, because closing with
unread data resets the connection and the caller would not see the answer."""

SEND_BUFFER_BYTES: Final = 64 * 1024
"""Left to itself the kernel buffers megabytes for each caller that doesn't
read, and its stream would run ahead by as much."""

IDLE_S: Final = 75.0


def application(ctx: entry_http.ApiContext) -> web.Application:
    """Returns the routes of the caller API."""
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


class _Server(httpserver.HTTPServer):
    """HTTP server that knows its open connections."""

    def initialize(self, *args: Any, **kwargs: Any) -> None:
        self.streams: weakref.WeakSet[iostream.IOStream] = weakref.WeakSet()
        super().initialize(*args, **kwargs)

    def handle_stream(self, stream: iostream.IOStream, address: Any) -> None:
        self.streams.add(stream)
        super().handle_stream(stream, address)


class ApiServer:
    """HTTP server of the caller API. A context manager that owns it.

    Attributes:
        port: Port in use while open.
    """

    def __init__(self, address: str, ctx: entry_http.ApiContext) -> None:
        """Prepares the server; `address` is "ip:port"."""
        host, _, port = address.rpartition(":")
        self._host = host
        self.port = int(port)
        self._ctx = ctx
        self._app = application(ctx)

    def __enter__(self) -> Self:
        """Starts to listen.

        Raises:
            OSError: The address can't be bound.
        """
        sockets = netutil.bind_sockets(self.port, self._host)
        self.port = sockets[0].getsockname()[1]
        for sock in sockets:
            # Accepted connections inherit it.
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES
            )
        self._server = _Server(
            self._app,
            max_header_size=entry_accept.MAX_HEADER_BYTES,
            max_body_size=SWALLOWED_BODY_BYTES,
            idle_connection_timeout=IDLE_S,
        )
        self._server.add_sockets(sockets)
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Stops listening."""
        self._server.stop()

    def close_idle(self) -> None:
        """Closes the connections that no request uses."""
        for stream in list(self._server.streams):
            if stream not in self._ctx.active and not stream.closed():
                stream.close()
