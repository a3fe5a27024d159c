"""Gateways that this one knows, and whether they are alive.

Invariant: a peer counts as alive only while it has been heard within
SILENCE_S; all that it told of its runs ends with it.
"""

from typing import Final, NamedTuple

BEAT_S: Final = 0.4
"""Interval of beats without news."""

SILENCE_S: Final = 1.2
"""Silence after which a peer counts as gone: three beats. What a gone peer did
for the fleet must be taken over within the two seconds in which a new
configuration comes into force."""

FORGET_S: Final = 30.0
"""Silence after which the connection to a peer is given up. It says hello by
itself when it starts again."""


class Peer(NamedTuple):
    """A gateway that was heard.

    Attributes:
        address: "ip:port" of its peer socket.
        instance_id: Its instance.
        incarnation: Random id of its process.
        heard_at: Monotonic time of its last message.
        alive: Whether it counts as alive.
        reaches_store: Whether it says that the store answers it.
    """

    address: str
    instance_id: str
    incarnation: str
    heard_at: float
    alive: bool
    reaches_store: bool


class PeerTable:
    """Table of the peers, by address."""

    def __init__(self) -> None:
        """Starts empty."""
        self._rows: dict[str, Peer] = {}

    def heard(
        self,
        address: str,
        instance_id: str,
        incarnation: str,
        now: float,
        *,
        reaches_store: bool = True,
    ) -> tuple[bool, str | None]:
        """Notes a message of a peer.

        Returns:
            Whether it is new or came back, and the incarnation that ended, if
            another process was at its address before.
        """
        before = self._rows.get(address)
        self._rows[address] = Peer(
            address, instance_id, incarnation, now, True, reaches_store
        )
        if before is None:
            return True, None
        if before.incarnation != incarnation:
            return True, before.incarnation
        return not before.alive, None

    def leave(self, address: str) -> Peer | None:
        """Notes that a peer has left; returns its row."""
        row = self._rows.get(address)
        if row is None or not row.alive:
            return None
        self._rows[address] = row._replace(alive=False)
        return row

    def expire(self, now: float) -> tuple[list[Peer], list[str]]:
        """Returns the peers that have just gone, and addresses to give up."""
        gone = []
        given_up = []
        for address, row in list(self._rows.items()):
            silence_s = now - row.heard_at
            if row.alive and silence_s > SILENCE_S:
                self._rows[address] = row._replace(alive=False)
                gone.append(row)
            if silence_s > FORGET_S:
                del self._rows[address]
                given_up.append(address)
        return gone, given_up

    def alive(self) -> list[Peer]:
        """Returns the peers that count as alive."""
        return [row for row in self._rows.values() if row.alive]

    def count(self) -> int:
        """Returns the gateways alive, this one included."""
        return 1 + sum(row.alive for row in self._rows.values())
