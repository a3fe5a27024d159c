"""A TCP proxy on loopback that injects network faults."""

import asyncio
import contextlib
from types import TracebackType
from typing import Final, Literal, Self

from apricottrestle_standins.platform import upstream_http

READ_BYTES: Final = 64 * 1024

Mode = Literal["pass", "delay", "silent", "no_requests", "no_answers", "refuse"]
"""What the proxy does: forward; forward with a delay; drop the bytes of both or
of one direction, without closing; or reset new connections."""

FORWARD_DELAY_S: Final = 0.15


class FaultProxy:
    """Forwards connections while its context is open.

    Attributes:
        address: Its "ip:port".
        mode: Mode of the existing and of new connections.
    """

    def __init__(self, target: str) -> None:
        """Creates a proxy that will listen on a free port.

        Args:
            target: "ip:port" that connections are forwarded to.
        """
        host, _, port = target.rpartition(":")
        self._target = (host, int(port))
        self.address = ""
        self.mode: Mode = "pass"
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def __aenter__(self) -> Self:
        """Starts to listen."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Stops listening and resets the connections."""
        if self._server is not None:
            self._server.close()
        self.reset()

    def reset(self) -> None:
        """Resets the open connections."""
        for writer in list(self._writers):
            upstream_http.reset(writer)
        self._writers.clear()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.mode == "refuse":
            upstream_http.reset(writer)
            return
        try:
            target_reader, target_writer = await asyncio.open_connection(
                *self._target
            )
        except OSError:
            upstream_http.reset(writer)
            return
        self._writers |= {writer, target_writer}
        try:
            await asyncio.gather(
                self._pump(reader, target_writer, "no_requests"),
                self._pump(target_reader, writer, "no_answers"),
            )
        except asyncio.CancelledError:
            # Cancelled at the end of a run; asyncio would log the exception.
            return
        finally:
            for open_writer in (writer, target_writer):
                self._writers.discard(open_writer)
                open_writer.close()

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        silenced_by: Mode,
    ) -> None:
        try:
            while data := await reader.read(READ_BYTES):
                if self.mode in ("silent", silenced_by):
                    # Stays silent even after the mode changes back.
                    await asyncio.Event().wait()
                if self.mode == "delay":
                    await asyncio.sleep(FORWARD_DELAY_S)
                writer.write(data)
                await writer.drain()
        except ConnectionError:
            upstream_http.reset(writer)
            return
        with contextlib.suppress(OSError):
            writer.write_eof()
