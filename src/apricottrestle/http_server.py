"""Base class of the daemons' HTTP servers."""

import logging
import socket
from collections.abc import Callable
from types import TracebackType
from typing import Any, Final, Self

from tornado import httpserver, netutil

from apricottrestle import http_connections

MAX_QUEUED: Final = 1024
"""Connections that are accepted when a listener closes; several times as many
as its queue holds, as callers may come faster than they are accepted."""

_LOG: Final = logging.getLogger(__name__)


class ListeningServer:
    """HTTP server that listens at an address; a context manager.

    Attributes:
        port: Port to listen on; with 0, the port in use once it listens.
    """

    def __init__(self, address: str, server: httpserver.HTTPServer) -> None:
        """Prepares the server.

        Args:
            address: "ip:port" to listen on.
            server: Tornado server that handles the connections.
        """
        host, _, port = address.rpartition(":")
        self._host = host
        self.port = int(port)
        self._server = server
        self._accepting: dict[socket.socket, Callable[[], None]] = {}

    def __enter__(self) -> Self:
        """Starts listening; must run on the event loop.

        Raises:
            OSError: The address can't be bound.
        """
        sockets = netutil.bind_sockets(self.port, self._host)
        self.port = sockets[0].getsockname()[1]
        for sock in sockets:
            self.configure_socket(sock)
            self._accepting[sock] = netutil.add_accept_handler(
                sock, self.accept
            )
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Stops listening."""
        self.stop_listening()

    @property
    def is_listening(self) -> bool:
        """Whether new connections are accepted."""
        return bool(self._accepting)

    def accept(self, sock: socket.socket, address: Any) -> None:
        """Serves an accepted connection."""
        self._server.handle_stream(
            http_connections.CallerStream(sock, self._server.max_buffer_size),
            address,
        )

    def stop_listening(self) -> None:
        """Stops accepting connections; the open ones continue.

        Closing a listening socket resets the connections in its queue, so that
        they are accepted first.
        """
        accepting, self._accepting = self._accepting, {}
        for sock, remove_handler in accepting.items():
            remove_handler()
            self._accept_queued(sock)
            sock.close()

    def _accept_queued(self, sock: socket.socket) -> None:
        for _ in range(MAX_QUEUED):
            try:
                conn, address = sock.accept()
            except BlockingIOError:
                return
            except ConnectionAbortedError:
                # This one has left; others may be behind it.
                continue
            except OSError as exc:
                # Most likely no descriptor is left; the stop must go on.
                _LOG.warning(
                    "queued connections are reset",
                    extra={"problem": str(exc)},
                )
                return
            self.accept(conn, address)

    def configure_socket(self, sock: socket.socket) -> None:
        """Sets socket options; accepted sockets inherit them."""
