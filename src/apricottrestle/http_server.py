"""Base class of the daemons' HTTP servers."""

import socket
from types import TracebackType
from typing import Self

from tornado import httpserver, netutil


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

    def __enter__(self) -> Self:
        """Starts listening; must run on the event loop.

        Raises:
            OSError: The address can't be bound.
        """
        sockets = netutil.bind_sockets(self.port, self._host)
        self.port = sockets[0].getsockname()[1]
        for sock in sockets:
            self.configure_socket(sock)
        self.listen(sockets)
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Stops listening."""
        self._server.stop()

    def listen(self, sockets: list[socket.socket]) -> None:
        """Begins to accept connections of sockets that listen."""
        self._server.add_sockets(sockets)

    def configure_socket(self, sock: socket.socket) -> None:
        """Sets socket options; accepted sockets inherit them."""
