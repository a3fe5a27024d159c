"""Table of the other gateways of the fleet, with failure detection.

Invariant: a peer counts as alive only while its last message is at most
PEER_TIMEOUT_S old, not counting the time in which this gateway could not read
messages. `peer_sync` drops the runs of a peer that timed out.
"""

from typing import Final, NamedTuple

from apricottrestle.gateway import fleet_config

HEARTBEAT_INTERVAL_S: Final = 0.4
"""Interval of heartbeats without changes; changes are sent at once."""

PEER_TIMEOUT_S: Final = 1.2
"""Time without a message after which a peer counts as lost: three heartbeat
intervals. Another gateway must take over the peer's reads of the store early
enough that a new configuration is in force within two seconds."""

MAX_COUNTED_S: Final = 0.2
"""Part of the time between two checks that counts as silence; twice the
interval of the checks. If more has passed, the event loop was blocked or the
process suspended, and messages wait unread. After that a peer has half of
PEER_TIMEOUT_S to be heard, which is longer than a heartbeat interval and the
time in which ZeroMQ connects again."""

FORGET_AFTER_S: Final = 30.0
"""Time without a message after which the connection to a peer is closed. The
peer sends a hello when it restarts."""


class Peer(NamedTuple):
    """A gateway from which a message has arrived.

    Attributes:
        address: "ip:port" of its peer socket.
        instance_id: Id of its instance.
        incarnation: Random id of its process.
        last_heard_at: Monotonic time of its last message, moved forward by the
            time in which this gateway could not read messages since then.
        alive: Whether it counts as alive; see PEER_TIMEOUT_S.
        reaches_store: Whether its last call to the store was answered, as it
            reported.
        stop_order: Position in the sequence of stops; 0 if it isn't stopping.
        config_stamp: Stamp of its configuration, as it last reported.
        ready_since: Monotonic time since which it has reported that it can
            serve requests, or None if it can't.
    """

    address: str
    instance_id: str
    incarnation: str
    last_heard_at: float
    alive: bool
    reaches_store: bool
    stop_order: int = 0
    config_stamp: fleet_config.ConfigStamp = fleet_config.NO_CONFIG
    ready_since: float | None = None


class PeerTable:
    """Table of the peers, by address."""

    def __init__(self) -> None:
        """Starts empty."""
        self._peers: dict[str, Peer] = {}
        self._checked_at: float | None = None

    def record_message(
        self,
        address: str,
        instance_id: str,
        incarnation: str,
        now: float,
        *,
        reaches_store: bool = True,
        stop_order: int = 0,
        config_stamp: fleet_config.ConfigStamp = fleet_config.NO_CONFIG,
        ready: bool = False,
    ) -> tuple[bool, str | None]:
        """Records the arrival of a message from a peer.

        Returns:
            Whether the peer is new or was lost before, and the incarnation of
            the process that had its address before, if that was another one.
        """
        previous = self._peers.get(address)
        ready_since = now if ready else None
        if (
            ready
            and previous is not None
            and previous.alive
            and previous.incarnation == incarnation
            and previous.ready_since is not None
        ):
            ready_since = previous.ready_since
        self._peers[address] = Peer(
            address,
            instance_id,
            incarnation,
            now,
            True,
            reaches_store,
            stop_order,
            config_stamp,
            ready_since,
        )
        if previous is None:
            return True, None
        if previous.incarnation != incarnation:
            return True, previous.incarnation
        return not previous.alive, None

    def expire(self, now: float) -> tuple[list[Peer], list[str]]:
        """Removes peers without recent messages.

        A peer that is gone is lost after PEER_TIMEOUT_S / MAX_COUNTED_S calls
        at the latest.

        Returns:
            The peers that timed out since the last call, and the addresses
            whose connections should be closed.
        """
        lost = []
        forgotten = []
        self._discount_unread(now)
        for address, peer in list(self._peers.items()):
            silence_s = now - peer.last_heard_at
            if peer.alive and silence_s > PEER_TIMEOUT_S:
                self._peers[address] = peer._replace(alive=False)
                lost.append(peer)
            if silence_s > FORGET_AFTER_S:
                del self._peers[address]
                forgotten.append(address)
        return lost, forgotten

    def _discount_unread(self, now: float) -> None:
        """Leaves the time in which messages were not read out of silences."""
        checked_at, self._checked_at = self._checked_at, now
        if checked_at is None or now <= checked_at + MAX_COUNTED_S:
            return
        unread_s = now - checked_at - MAX_COUNTED_S
        for address, peer in self._peers.items():
            # A message may have been read after the delay, before this check.
            heard_at = min(peer.last_heard_at + unread_s, now)
            self._peers[address] = peer._replace(last_heard_at=heard_at)

    def alive(self) -> list[Peer]:
        """Returns the peers that count as alive."""
        return [peer for peer in self._peers.values() if peer.alive]

    def count(self) -> int:
        """Returns the number of gateways alive, including this one."""
        return 1 + sum(peer.alive for peer in self._peers.values())
