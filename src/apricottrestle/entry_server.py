"""HTTP server of the caller API and its routes."""

import gc
import socket
import time
from typing import Any, Final

from tornado import (
    http1connection,
    httpserver,
    httputil,
    iostream,
    web,
)

from apricottrestle import (
    entry_accept,
    entry_completions,
    entry_connections,
    entry_http,
    http_connections,
    http_server,
    memory_account,
    metrics,
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
    """HTTP server that records its open connections, and what they hold.

    Attributes:
        connections: The open connections, by their sockets.
        account: Counts what they hold.
    """

    def initialize(self, *args: Any, **kwargs: Any) -> None:
        self.connections: dict[
            iostream.IOStream, entry_connections.ApiConnection
        ] = {}
        self.account: memory_account.MemoryAccount = kwargs.pop("account")
        self._unfinished = 0
        super().initialize(*args, **kwargs)

    def handle_stream(self, stream: iostream.IOStream, address: Any) -> None:
        assert isinstance(stream, http_connections.CallerStream)
        self.connections[stream] = entry_connections.ApiConnection(
            stream, self.account
        )
        super().handle_stream(stream, address)

    def start_request(
        self, server_conn: object, request_conn: httputil.HTTPConnection
    ) -> httputil.HTTPMessageDelegate:
        assert isinstance(request_conn, http1connection.HTTP1Connection)
        inner = super().start_request(server_conn, request_conn)
        owner = self.connections[request_conn.stream]
        owner.expect()
        return entry_connections.CountedRequest(owner, inner)

    def on_close(self, server_conn: object) -> None:
        super().on_close(server_conn)
        assert isinstance(server_conn, http1connection.HTTP1ServerConnection)
        owner = self.connections.pop(server_conn.stream, None)
        if owner is None:
            return
        # Tornado's frames of such a request refer to each other.
        self._unfinished += owner.is_unfinished
        owner.forget()
        if self._unfinished >= http_connections.MAX_UNFINISHED:
            self._unfinished = 0
            gc.collect()


class ApiServer(http_server.ListeningServer):
    """HTTP server of the caller API; a context manager.

    Attributes:
        account: Counts what the connections hold.
    """

    def __init__(
        self,
        address: str,
        ctx: entry_http.ApiContext,
        limits: memory_account.Limits | None = None,
    ) -> None:
        """Creates the server.

        Args:
            address: "ip:port" to listen on.
            ctx: What the handlers share.
            limits: Limits of the connections; those of a machine of the default
                size if there are none.
        """
        self._ctx = ctx
        self.account = memory_account.MemoryAccount(
            limits
            or memory_account.compute_limits(
                memory_account.DEFAULT_MEMORY_MB,
                memory_account.DEFAULT_MAX_FDS,
            )
        )
        self._http_server = _TrackingServer(
            make_application(ctx),
            max_header_size=entry_accept.MAX_HEADER_BYTES,
            max_body_size=MAX_DISCARDED_BODY_BYTES,
            idle_connection_timeout=IDLE_TIMEOUT_S,
            chunk_size=http_connections.CHUNK_BYTES,
            account=self.account,
        )
        super().__init__(address, self._http_server)

    def configure_socket(self, sock: socket.socket) -> None:
        """Limits the kernel's send buffer; see SEND_BUFFER_BYTES."""
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)

    def close_idle(self) -> None:
        """Closes the connections without a request in progress.

        A request may have arrived that its handler hasn't got yet.
        """
        for stream, conn in list(self._http_server.connections.items()):
            if (
                stream not in self._ctx.busy_streams
                and not stream.closed()
                and conn.is_quiet
            ):
                stream.close()

    def accept(self, sock: socket.socket, address: Any) -> None:
        """See ListeningServer.accept.

        Closes the connection that matters least if there are too many.
        """
        if self.account.connections >= self.account.limits.connections:
            victim = self.account.choose_connection(
                lambda holder: holder.owner.is_quiet, time.monotonic()
            )
            if victim is None:
                metrics.CONNECTIONS_CLOSED.labels("room").inc()
                sock.close()
                return
            victim.owner.turn_away()
        super().accept(sock, address)
