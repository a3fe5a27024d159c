"""TCP relay that can go silent, cut or refuse connections.

`POST /faults` on its own HTTP port: `silence` stops forwarding on the
connections that exist at that moment, without closing them, while new ones
work; `cut` closes the existing ones; `refuse` closes new ones at once.
"""

import asyncio
import contextlib
from typing import Final

import msgspec

from apricottrestle_standins import web

_READ_BYTES: Final = 64 * 1024


class RelaySettings(
    msgspec.Struct, forbid_unknown_fields=True, kw_only=True, frozen=True
):
    """Where the relay forwards to, and its HTTP port for faults (0 is any)."""

    target_host: str = "127.0.0.1"
    target_port: int = 0
    faults_port: int = 0


class RelayFaults(web.CommonFaults):
    """Faults of the relay; see the module docstring."""

    silence: bool = False
    cut: bool = False
    refuse: bool = False


class _Link:
    """A forwarded connection; reads stop while `open` is cleared."""

    def __init__(self, writers: list[asyncio.StreamWriter]) -> None:
        self.open = asyncio.Event()
        self.open.set()
        self.forwarded_bytes = 0
        self._writers = writers

    def close(self) -> None:
        for writer in self._writers:
            writer.close()

    async def pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while data := await reader.read(_READ_BYTES):
            await self.open.wait()
            writer.write(data)
            await writer.drain()
            self.forwarded_bytes += len(data)


class Relay(web.Standin):
    """Forwards TCP connections to one address."""

    def __init__(self, settings: RelaySettings) -> None:
        """Starts without connections."""
        super().__init__(RelayFaults)
        self.settings = settings
        self.links: set[_Link] = set()
        self.faults_port = 0

    async def start(self, host: str, port: int) -> int:
        """Listens on the running event loop; returns the relayed port."""
        self.server, self.faults_port = web.make_server(
            self, _ROUTES, host, self.settings.faults_port
        )
        self._tcp = await asyncio.start_server(self._accept, host, port)
        bound: int = self._tcp.sockets[0].getsockname()[1]
        return bound

    def stop(self) -> None:
        """Closes everything."""
        self.server.stop()
        self._tcp.close()
        for link in list(self.links):
            link.close()

    def on_faults(self) -> None:
        """Applies the faults to the existing connections."""
        faults = self.faults
        assert isinstance(faults, RelayFaults)
        for link in list(self.links):
            if faults.cut:
                link.close()
            elif faults.silence:
                link.open.clear()
            else:
                link.open.set()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        assert isinstance(self.faults, RelayFaults)
        if self.faults.refuse:
            writer.close()
            return
        try:
            far_reader, far_writer = await asyncio.open_connection(
                self.settings.target_host, self.settings.target_port
            )
        except OSError:
            writer.close()
            return
        link = _Link([writer, far_writer])
        self.links.add(link)
        pumps = [
            asyncio.ensure_future(link.pump(reader, far_writer)),
            asyncio.ensure_future(link.pump(far_reader, writer)),
        ]
        try:
            await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for pump in pumps:
                pump.cancel()
            with contextlib.suppress(OSError, asyncio.CancelledError):
                await asyncio.gather(*pumps)
            link.close()
            self.links.discard(link)


class RelayLedger(msgspec.Struct):
    """Answer of `GET /ledger`."""

    connections: int
    silent: int
    forwarded_bytes: int


class LedgerHandler(web.JsonHandler):
    """`GET /ledger`: the connections that exist."""

    def get(self) -> None:
        """Answers with counts over the existing connections."""
        assert isinstance(self.standin, Relay)
        links = self.standin.links
        self.reply(
            RelayLedger(
                len(links),
                sum(not link.open.is_set() for link in links),
                sum(link.forwarded_bytes for link in links),
            )
        )


_ROUTES: Final = [(r"/ledger", LedgerHandler)]
