"""ZeroMQ sockets between gateways.

Each gateway binds one PULL socket and connects a PUSH socket to each peer.
ZMTP pings close connections that no longer answer; ZeroMQ reconnects.

Invariant: sending never blocks. A frame is dropped if the peer can't take it;
the gateways exchange what was missed when a later heartbeat gets through, see
`peer_sync`.
"""

import abc
import logging
from collections.abc import Callable
from types import TracebackType
from typing import Any, Final, Self

import zmq
from zmq.eventloop.zmqstream import ZMQStream

from apricottrestle import errors, metrics
from apricottrestle.gateway import peer_messages

ZMTP_PING_INTERVAL_MS: Final = 500
ZMTP_PING_TIMEOUT_MS: Final = 1_200
"""Interval of ZMTP pings, and the time without an answer after which ZeroMQ
closes the connection."""

RECONNECT_MIN_MS: Final = 100
RECONNECT_MAX_MS: Final = 1_000
CONNECT_TIMEOUT_MS: Final = 1_000
"""Least and longest interval of connection attempts, and their timeout: a peer
that restarts should be reachable within a second."""

MAX_QUEUED_FRAMES: Final = 512
"""Limit of frames in each queue of ZeroMQ; further frames to a peer whose queue
is full are dropped."""

MAX_FRAME_BYTES: Final = 4 * 1024 * 1024
"""Size limit of a received frame; ZeroMQ closes the connection of a sender that
exceeds it."""

_LOG: Final = logging.getLogger(__name__)

OnMessage = Callable[[peer_messages.Message], None]


class Link(abc.ABC):
    """Connections to all peers; sending never blocks."""

    @abc.abstractmethod
    def connect(self, address: str) -> bool:
        """Connects to a peer; returns False if it is already connected."""

    @abc.abstractmethod
    def disconnect(self, address: str) -> None:
        """Closes the connection to a peer."""

    @abc.abstractmethod
    def reconnect(self, address: str) -> None:
        """Connects again at once to a peer that has just become reachable."""

    @abc.abstractmethod
    def send(self, address: str, message: peer_messages.Message) -> bool:
        """Sends to one peer; returns False if the message was dropped."""

    @abc.abstractmethod
    def broadcast(self, message: peer_messages.Message) -> None:
        """Sends to all connected peers."""


class PeerLink(Link):
    """ZeroMQ sockets to all peers; a context manager that owns them."""

    def __init__(self, address: str, on_message: OnMessage) -> None:
        """Stores the address and the callback; opens no socket yet.

        Args:
            address: "ip:port" to bind.
            on_message: Called with each valid message.
        """
        self._address = address
        self._on_message = on_message
        self._ctx = zmq.Context()
        self._peers: dict[str, zmq.Socket[bytes]] = {}

    def __enter__(self) -> Self:
        """Binds the socket; must run on the event loop.

        Raises:
            ZMQError: The address can't be bound.
        """
        sock = self._ctx.socket(zmq.PULL)
        sock.setsockopt(zmq.RCVHWM, MAX_QUEUED_FRAMES)
        sock.setsockopt(zmq.MAXMSGSIZE, MAX_FRAME_BYTES)
        sock.setsockopt(zmq.LINGER, 0)
        sock.bind(f"tcp://{self._address}")
        self._stream = ZMQStream(sock)
        self._stream.on_recv(self._receive)
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Closes all sockets."""
        self._stream.close()
        for sock in self._peers.values():
            sock.close(0)
        self._ctx.destroy(0)

    def connect(self, address: str) -> bool:
        """See Link.connect."""
        if address in self._peers or address == self._address:
            return False
        sock = self._ctx.socket(zmq.PUSH)
        sock.setsockopt(zmq.SNDHWM, MAX_QUEUED_FRAMES)
        sock.setsockopt(zmq.LINGER, 0)
        sock.setsockopt(zmq.HEARTBEAT_IVL, ZMTP_PING_INTERVAL_MS)
        sock.setsockopt(zmq.HEARTBEAT_TIMEOUT, ZMTP_PING_TIMEOUT_MS)
        sock.setsockopt(zmq.RECONNECT_IVL, RECONNECT_MIN_MS)
        sock.setsockopt(zmq.RECONNECT_IVL_MAX, RECONNECT_MAX_MS)
        sock.setsockopt(zmq.CONNECT_TIMEOUT, CONNECT_TIMEOUT_MS)
        # Don't queue frames for a peer that isn't connected: they would be out
        # of date when it returns.
        sock.setsockopt(zmq.IMMEDIATE, 1)
        sock.connect(f"tcp://{address}")
        self._peers[address] = sock
        return True

    def disconnect(self, address: str) -> None:
        """See Link.disconnect."""
        sock = self._peers.pop(address, None)
        if sock is not None:
            sock.close(0)

    def reconnect(self, address: str) -> None:
        """See Link.reconnect.

        Without this, ZeroMQ would wait for its next connection attempt, while
        the peer doesn't hear of this gateway's runs.
        """
        sock = self._peers.get(address)
        if sock is None:
            return
        events = sock.getsockopt(zmq.EVENTS)
        assert isinstance(events, int)
        if not events & zmq.POLLOUT:
            self.disconnect(address)
            self.connect(address)

    def send(self, address: str, message: peer_messages.Message) -> bool:
        """See Link.send."""
        return self._send(address, peer_messages.encode(message))

    def broadcast(self, message: peer_messages.Message) -> None:
        """See Link.broadcast."""
        if not self._peers:
            return
        frame = peer_messages.encode(message)
        for address in self._peers:
            self._send(address, frame)

    def _send(self, address: str, frame: bytes) -> bool:
        sock = self._peers.get(address)
        if sock is None:
            return False
        try:
            sock.send(frame, flags=zmq.NOBLOCK)
        except zmq.Again:
            metrics.FRAMES_UNSENT.inc()
            return False
        metrics.FRAME_BYTES_SENT.inc(len(frame))
        return True

    def _receive(self, frames: list[Any]) -> None:
        metrics.FRAMES_RECEIVED.inc()
        metrics.FRAME_BYTES_RECEIVED.inc(sum(map(len, frames)))
        try:
            message = peer_messages.decode(frames[0])
        except errors.ProtocolError as exc:
            metrics.FRAMES_DROPPED.inc()
            _LOG.warning("frame dropped", extra={"reason": exc.message})
            return
        self._on_message(message)
