"""Interface to the platform's store of configuration and fleet membership.

Implemented by the platform adapter. The store may come back from an older copy.
A new history then begins: what was written since the copy is lost, and its
offsets are given to other records.
"""

import abc
from typing import NamedTuple

from apricottrestle import errors
from apricottrestle.gateway import (
    crash_evidence,
    evacuations,
    fleet_config,
    upstream_list,
)


class HistoryLostError(errors.PlatformError):
    """The store doesn't have the records after a position.

    They were removed, or belong to a history that has ended. The caller must
    read the whole state again.
    """


class Position(NamedTuple):
    """A place in the store's log of records.

    Offsets of two histories can't be compared.

    Attributes:
        history: Number of the store's history; grows with each one.
        offset: Number of the next record in that history.
    """

    history: int
    offset: int


class ConfigRead(NamedTuple):
    """Result of a read of the configuration and the evacuations.

    Attributes:
        config: Newest configuration read, or None if there was none.
        position: Position from which to continue.
        evacuation_records: Evacuations, and ends of evacuations, that were
            read.
    """

    config: fleet_config.FleetConfig | None
    position: Position
    evacuation_records: tuple[evacuations.Record, ...] = ()


class UpstreamsRead(NamedTuple):
    """Result of a read of the upstream list.

    Attributes:
        changes: Upstream ids with their new entries, oldest first; None for an
            entry that was removed or is malformed.
        position: Position from which to continue.
    """

    changes: list[tuple[str, upstream_list.UpstreamEntry | None]]
    position: Position


class GatewayEntry(NamedTuple):
    """Entry of a gateway in the store, by which its peers find it.

    Attributes:
        instance_id: Id of the gateway's instance.
        address: "ip:port" of its peer socket.
        incarnation: Random id of its process.
    """

    instance_id: str
    address: str
    incarnation: str


class FleetStore(abc.ABC):
    """The platform's store.

    All calls raise PlatformError if the store fails, is unreachable or rejects
    the call.
    """

    @abc.abstractmethod
    async def read_config(self) -> ConfigRead:
        """Returns the newest configuration and all evacuations."""

    @abc.abstractmethod
    async def wait_for_config(
        self, position: Position, wait_s: float
    ) -> ConfigRead:
        """Waits for a newer configuration or evacuation (long poll).

        Args:
            position: Position of the last read.
            wait_s: Longest wait; the result is empty if nothing was written.

        Raises:
            HistoryLostError: The records after the position are gone.
        """

    @abc.abstractmethod
    async def read_upstreams(self) -> UpstreamsRead:
        """Returns the whole upstream list."""

    @abc.abstractmethod
    async def read_upstream_changes(self, position: Position) -> UpstreamsRead:
        """Returns the changes after a position, without waiting.

        Raises:
            HistoryLostError: The records after the position are gone.
        """

    @abc.abstractmethod
    async def announce(self, entry: GatewayEntry) -> int:
        """Writes this gateway's entry, so that its peers find it.

        Returns:
            Number of the history that has the entry.
        """

    @abc.abstractmethod
    async def read_gateways(self) -> list[GatewayEntry]:
        """Returns the entries of all gateways, including stopped ones."""

    @abc.abstractmethod
    async def read_crashes(self) -> list[crash_evidence.CrashReport]:
        """Returns the saved crashes of engines; their age is 0."""

    @abc.abstractmethod
    async def save_crash(self, report: crash_evidence.CrashReport) -> None:
        """Saves a crash of an engine; replaces what was saved of it before."""

    @abc.abstractmethod
    async def delete_crash(self, crash_id: str) -> None:
        """Deletes a saved crash."""

    @abc.abstractmethod
    def close(self) -> None:
        """Closes the connections to the store."""
