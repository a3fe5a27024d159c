"""TCP relay that can silence, close or refuse connections.

Its faults are set with `POST /faults` on an HTTP port of their own: `silence`
stops forwarding on the existing connections without closing them, while new
connections are forwarded; `cut` closes the existing connections; `refuse`
closes each new connection immediately.
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
    """Target address of the relay, and its HTTP port for faults (0 is any)."""

    target_host: str = "127.0.0.1"
    target_port: int = 0
    faults_port: int = 0


class RelayFaults(web.CommonFaults):
    """Faults of the relay; see the module docstring."""

    silence: bool = False
    cut: bool = False
    refuse: bool = False


class _Connection:
    """A forwarded connection; forwards only while `forwarding` is set."""

    def __init__(self, writers: list[asyncio.StreamWriter]) -> None:
        self.forwarding = asyncio.Event()
        self.forwarding.set()
        self.forwarded_bytes = 0
        self._writers = writers

    def close(self) -> None:
        for writer in self._writers:
            writer.close()

    async def pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while data := await reader.read(_READ_BYTES):
            await self.forwarding.wait()
            writer.write(data)
            await writer.drain()
            self.forwarded_bytes += len(data)


class Relay(web.Standin):
    """Forwards TCP connections to the target address."""

    def __init__(self, settings: RelaySettings) -> None:
        """Creates a relay without connections."""
        super().__init__(RelayFaults)
        self.settings = settings
        self.connections: set[_Connection] = set()
        self.faults_port = 0

    async def start(self, host: str, port: int) -> int:
        """Starts to listen; returns the port of the relay."""
        self.server, self.faults_port = web.make_server(
            self, _ROUTES, host, self.settings.faults_port
        )
        self._tcp_server = await asyncio.start_server(self._accept, host, port)
        bound: int = self._tcp_server.sockets[0].getsockname()[1]
        return bound

    def stop(self) -> None:
        """Closes the listening sockets and all connections."""
        self.server.stop()
        self._tcp_server.close()
        for connection in list(self.connections):
            connection.close()

    def on_faults(self) -> None:
        """Applies the faults to the existing connections."""
        faults = self.faults
        assert isinstance(faults, RelayFaults)
        for connection in list(self.connections):
            if faults.cut:
                connection.close()
            elif faults.silence:
                connection.forwarding.clear()
            else:
                connection.forwarding.set()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        assert isinstance(self.faults, RelayFaults)
        if self.faults.refuse:
            writer.close()
            return
        try:
            target_reader, target_writer = await asyncio.open_connection(
                self.settings.target_host, self.settings.target_port
            )
        except OSError:
            writer.close()
            return
        connection = _Connection([writer, target_writer])
        self.connections.add(connection)
        pumps = [
            asyncio.ensure_future(connection.pump(reader, target_writer)),
            asyncio.ensure_future(connection.pump(target_reader, writer)),
        ]
        try:
            await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for pump in pumps:
                pump.cancel()
            with contextlib.suppress(OSError, asyncio.CancelledError):
                await asyncio.gather(*pumps)
            connection.close()
            self.connections.discard(connection)


class RelayLedger(msgspec.Struct):
    """Response of `GET /ledger`."""

    connections: int
    silent: int
    forwarded_bytes: int


class LedgerHandler(web.JsonHandler):
    """`GET /ledger`: counts over the existing connections."""

    def get(self) -> None:
        """Returns the counts."""
        assert isinstance(self.standin, Relay)
        connections = self.standin.connections
        self.reply(
            RelayLedger(
                len(connections),
                sum(
                    not connection.forwarding.is_set()
                    for connection in connections
                ),
                sum(connection.forwarded_bytes for connection in connections),
            )
        )


_ROUTES: Final = [(r"/ledger", LedgerHandler)]
