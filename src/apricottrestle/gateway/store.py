"""What the gateway reads from and writes to the platform's store.

Implemented by the adapter. Positions are opaque to callers except that a later
one is larger.
"""

import abc
from typing import NamedTuple

from apricottrestle import errors
from apricottrestle.gateway import fleet_config, upstream_list


class HistoryLostError(errors.PlatformError):
    """The records after a position are gone; the state must be read anew."""


class ConfigRead(NamedTuple):
    """Answer to a read of the configuration.

    Attributes:
        config: The newest one read, or None when there was none.
        position: Where to read on.
    """

    config: fleet_config.FleetConfig | None
    position: int


class UpstreamsRead(NamedTuple):
    """Answer to a read of the upstream list.

    Attributes:
        changes: Entries in order; None for an entry that was removed or can't
            be read.
        position: Where to read on.
    """

    changes: list[tuple[str, upstream_list.UpstreamEntry | None]]
    position: int


class GatewayEntry(NamedTuple):
    """Where other gateways reach one.

    Attributes:
        instance_id: Its instance.
        address: "ip:port" of its peer socket.
        incarnation: Random id of the process.
    """

    instance_id: str
    address: str
    incarnation: str


class FleetStore(abc.ABC):
    """The platform's store.

    All calls raise PlatformError when the store fails, isn't reachable or
    refuses the call.
    """

    @abc.abstractmethod
    async def read_config(self) -> ConfigRead:
        """Returns the newest configuration."""

    @abc.abstractmethod
    async def wait_for_config(self, position: int, wait_s: float) -> ConfigRead:
        """Returns what came after a position, waiting for it so long.

        Raises:
            HistoryLostError: The records after the position are gone.
        """

    @abc.abstractmethod
    async def read_upstreams(self) -> UpstreamsRead:
        """Returns the whole upstream list."""

    @abc.abstractmethod
    async def read_upstream_changes(self, position: int) -> UpstreamsRead:
        """Returns the changes after a position, without waiting.

        Raises:
            HistoryLostError: The records after the position are gone.
        """

    @abc.abstractmethod
    async def announce(self, row: GatewayEntry) -> None:
        """Makes this gateway known to others."""

    @abc.abstractmethod
    async def read_gateways(self) -> list[GatewayEntry]:
        """Returns the gateways that announced themselves, also former ones."""

    @abc.abstractmethod
    def close(self) -> None:
        """Closes the connections."""
