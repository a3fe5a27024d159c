"""A TCP proxy on the loopback address that disturbs connections."""

import asyncio
import contextlib
from types import TracebackType
from typing import Final, Literal, Self

from apricottrestle_standins.platform import upstream_http

READ_BYTES: Final = 64 * 1024

Mode = Literal["pass", "delay", "silent", "no_requests", "no_answers", "refuse"]
"""What happens to bytes: passed on; delayed; dropped without a close in both
directions or in one; or connections are reset at once."""

DELAY_S: Final = 0.15


class FaultProxy:
    """Forwards connections while its context is open.

    Attributes:
        address: Its "ip:port".
        mode: What happens to the bytes of connections opened from now on, and
            of those that are open.
    """

    def __init__(self, target: str) -> None:
        """Prepares the proxy on a free port.

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
        self._server = await asyncio.start_server(self._link, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Closes everything."""
        if self._server is not None:
            self._server.close()
        self.reset()

    def reset(self) -> None:
        """Resets the open connections."""
        for writer in list(self._writers):
            upstream_http.reset(writer)
        self._writers.clear()

    async def _link(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.mode == "refuse":
            upstream_http.reset(writer)
            return
        try:
            far_reader, far_writer = await asyncio.open_connection(
                *self._target
            )
        except OSError:
            upstream_http.reset(writer)
            return
        self._writers |= {writer, far_writer}
        try:
            await asyncio.gather(
                self._pump(reader, far_writer, "no_requests"),
                self._pump(far_reader, writer, "no_answers"),
            )
        except asyncio.CancelledError:
            # At the end of a day; asyncio would report the cancelled task.
            return
        finally:
            for each in (writer, far_writer):
                self._writers.discard(each)
                each.close()

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        cut_by: Mode,
    ) -> None:
        try:
            while data := await reader.read(READ_BYTES):
                if self.mode in ("silent", cut_by):
                    # This connection stays silent also when others pass again.
                    await asyncio.Event().wait()
                if self.mode == "delay":
                    await asyncio.sleep(DELAY_S)
                writer.write(data)
                await writer.drain()
        except ConnectionError:
            upstream_http.reset(writer)
            return
        with contextlib.suppress(OSError):
            writer.write_eof()
