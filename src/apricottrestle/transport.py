"""ZeroMQ sockets between entries and agents, authenticated by CURVE.

An agent binds two ROUTER sockets: a control socket, and a bulk socket for
prompt bodies, so that a prompt of several megabytes never delays heartbeats,
cancels or tokens. An entry connects a DEALER socket to each. CURVE encrypts and
authenticates both connections; the agent accepts only the fleet's public key.

Invariant: a malformed frame is counted, logged and dropped; it never ends the
process.
"""

import logging
from collections.abc import Callable
from types import TracebackType
from typing import Any, Final, NamedTuple, Self

import zmq
import zmq.auth.asyncio
from zmq.eventloop.zmqstream import ZMQStream

from apricottrestle import errors, messages, metrics

_LOG = logging.getLogger(__name__)

_CONTROL_QUEUE_FRAMES: Final = 4096
_BULK_QUEUE_FRAMES: Final = 64
_MAX_FRAME_BYTES: Final = 4 * 1024 * 1024
_LINGER_MS: Final = 500
_POLLIN: Final = int(zmq.POLLIN)
"""An int, because a bitwise operation on the enum zmq.POLLIN takes longer than
the getsockopt call whose result it tests."""

_FLUSH_MAX_FRAMES: Final = 256
"""Frames handled in one callback, so that a busy socket does not block the
event loop."""

_RECONNECT_MS: Final = 200
_RECONNECT_MAX_MS: Final = 2000


class FleetKey(NamedTuple):
    """CURVE key pair of the fleet, Z85 text of 40 characters each."""

    public: str
    secret: str


class Identity(NamedTuple):
    """Sender of messages: process id within the fleet, and its incarnation."""

    sender: str
    incarnation: str


FrameHandler = Callable[[bytes, messages.Received], None]
"""Called with the routing id for replies on the control socket, and a message.

The routing id is empty on the side of an entry. It is also empty for messages
of a bulk socket, because a routing id is valid only on the socket that received
it.
"""


class _Endpoint:
    """A socket and its ZMQStream; drops messages that it can't decode."""

    def __init__(
        self,
        sock: "zmq.Socket[bytes]",
        name: str,
        on_frame: FrameHandler,
        *,
        can_reply: bool = True,
    ) -> None:
        self._can_reply = can_reply
        self._sock = sock
        self._name = name
        self._on_frame = on_frame
        self._flush_scheduled = False
        self._is_router = sock.type == zmq.ROUTER
        self._stream = ZMQStream(sock)
        self._stream.on_recv(self._on_recv)

    def _on_recv(self, frames: list[Any]) -> None:
        routing_id = frames.pop(0) if self._is_router else b""
        if not self._can_reply:
            routing_id = b""
        metrics.FRAMES_RECEIVED.inc()
        metrics.FRAME_BYTES_RECEIVED.inc(sum(map(len, frames)))
        try:
            received = messages.decode(frames, peer=self._name)
        except errors.ProtocolError as exc:
            metrics.FRAMES_DROPPED.inc()
            _LOG.warning(
                "malformed frame dropped",
                extra={"peer": exc.peer, "reason": exc.message},
            )
            return
        self._on_frame(routing_id, received)

    def send(self, frames: list[bytes]) -> bool:
        """Sends without blocking.

        Returns:
            False if the queue is full or the peer is gone.
        """
        try:
            self._sock.send_multipart(frames, flags=zmq.NOBLOCK)
        except zmq.ZMQError as exc:
            metrics.FRAMES_UNSENT.inc()
            _LOG.info(
                "frame not sent", extra={"peer": self._name, "reason": str(exc)}
            )
            return False
        finally:
            self._schedule_flush()
        metrics.FRAME_BYTES_SENT.inc(sum(map(len, frames)))
        return True

    def _schedule_flush(self) -> None:
        """Schedules the handling of frames that arrived before a send.

        The socket's file descriptor is edge-triggered and a send resets it, so
        without this a frame that has arrived would not be handled until the
        next one arrives.
        """
        readable = int(self._sock.getsockopt(zmq.EVENTS)) & _POLLIN
        if self._flush_scheduled or not readable:
            return
        self._flush_scheduled = True
        self._stream.io_loop.add_callback(self._flush)

    def _flush(self) -> None:
        self._flush_scheduled = False
        if not self._sock.closed:
            self._stream.flush(zmq.POLLIN, limit=_FLUSH_MAX_FRAMES)
            self._schedule_flush()

    def close(self) -> None:
        self._stream.close(linger=_LINGER_MS)


class AgentTransport:
    """The two bound sockets of an agent. A context manager that owns them."""

    def __init__(
        self,
        control: str,
        bulk: str,
        key: FleetKey,
        identity: Identity,
        on_frame: FrameHandler,
    ) -> None:
        """Prepares the sockets.

        Args:
            control: "host:port" of the control socket.
            bulk: "host:port" of the bulk socket.
            key: Key pair of the fleet.
            identity: Written into every envelope.
            on_frame: Called on the event loop for each valid message of either
                socket.
        """
        self._addresses = (control, bulk)
        self._key = key
        self._identity = identity
        self._on_frame = on_frame

    def __enter__(self) -> Self:
        """Binds the sockets and starts the authenticator.

        Raises:
            zmq.ZMQError: An address can't be bound.
        """
        self._ctx = zmq.Context()
        self._auth = zmq.auth.asyncio.AsyncioAuthenticator(self._ctx, log=_LOG)
        self._auth.start()
        self._auth.configure_curve_callback(
            "*", _FleetKeyCredentials(self._key.public)
        )
        control, bulk = self._addresses
        self._control = self._bind(
            control, _CONTROL_QUEUE_FRAMES, can_reply=True
        )
        self._bulk = self._bind(bulk, _BULK_QUEUE_FRAMES, can_reply=False)
        return self

    def _bind(
        self, address: str, queue_frames: int, *, can_reply: bool
    ) -> _Endpoint:
        sock = self._ctx.socket(zmq.ROUTER)
        sock.setsockopt(zmq.ROUTER_MANDATORY, 1)
        sock.setsockopt(zmq.CURVE_SERVER, 1)
        _set_common_options(sock, self._key, queue_frames)
        sock.bind(f"tcp://{address}")
        return _Endpoint(sock, address, self._on_frame, can_reply=can_reply)

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Closes the sockets; unsent frames have _LINGER_MS to be sent."""
        self._control.close()
        self._bulk.close()
        self._auth.stop()
        self._ctx.term()

    def send(
        self,
        routing_id: bytes,
        msg: messages.Message,
        config_rev: int,
        body: bytes = b"",
    ) -> bool:
        """Sends on the control socket.

        Returns:
            False if the queue is full or the connection is gone.
        """
        frames = messages.encode(
            msg,
            sender=self._identity.sender,
            incarnation=self._identity.incarnation,
            config_rev=config_rev,
            body=body,
        )
        return self._control.send([routing_id, *frames])


class EntryTransport:
    """Owns the ZeroMQ context of an entry and opens connections to agents."""

    def __init__(self, key: FleetKey, identity: Identity) -> None:
        """Stores the key, and the identity written into every envelope."""
        self._key = key
        self._identity = identity

    def __enter__(self) -> Self:
        """Creates the context."""
        self._ctx = zmq.Context()
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Destroys the context; connections must be closed before."""
        self._ctx.destroy(linger=_LINGER_MS)

    def connect(
        self, control: str, bulk: str, on_frame: FrameHandler
    ) -> "AgentConnection":
        """Returns a connection to an agent; TCP connects in the background."""
        return AgentConnection(
            self._ctx, control, bulk, self._key, self._identity, on_frame
        )


class AgentConnection:
    """An entry's connection to one agent.

    The bulk socket is opened at its first use.
    """

    def __init__(
        self,
        ctx: "zmq.Context[zmq.Socket[bytes]]",
        control: str,
        bulk: str,
        key: FleetKey,
        identity: Identity,
        on_frame: FrameHandler,
    ) -> None:
        """Connects the control socket; see EntryTransport.connect."""
        self._ctx = ctx
        self._key = key
        self._identity = identity
        self._on_frame = on_frame
        self._bulk_address = bulk
        self._control = self._connect(control, _CONTROL_QUEUE_FRAMES)
        self._bulk: _Endpoint | None = None

    def _connect(self, address: str, queue_frames: int) -> _Endpoint:
        sock = self._ctx.socket(zmq.DEALER)
        sock.setsockopt(zmq.CURVE_SERVERKEY, self._key.public.encode())
        sock.setsockopt(zmq.RECONNECT_IVL, _RECONNECT_MS)
        sock.setsockopt(zmq.RECONNECT_IVL_MAX, _RECONNECT_MAX_MS)
        _set_common_options(sock, self._key, queue_frames)
        sock.connect(f"tcp://{address}")
        return _Endpoint(sock, address, self._on_frame)

    def send(
        self, msg: messages.Message, config_rev: int, body: bytes = b""
    ) -> bool:
        """Sends on the control socket; returns False if its queue is full."""
        return self._control.send(self._encode(msg, config_rev, body))

    def send_bulk(
        self, msg: messages.Message, config_rev: int, body: bytes
    ) -> bool:
        """Sends on the bulk socket; returns False if its queue is full."""
        if self._bulk is None:
            self._bulk = self._connect(self._bulk_address, _BULK_QUEUE_FRAMES)
        return self._bulk.send(self._encode(msg, config_rev, body))

    def _encode(
        self, msg: messages.Message, config_rev: int, body: bytes
    ) -> list[bytes]:
        return messages.encode(
            msg,
            sender=self._identity.sender,
            incarnation=self._identity.incarnation,
            config_rev=config_rev,
            body=body,
        )

    def close(self) -> None:
        """Closes both sockets."""
        self._control.close()
        if self._bulk is not None:
            self._bulk.close()


class _FleetKeyCredentials:
    """ZAP credentials provider that accepts only the fleet's key."""

    def __init__(self, public: str) -> None:
        self._public = public.encode()

    def callback(self, domain: str, key: bytes) -> bool:
        del domain
        accepted = key == self._public
        if not accepted:
            metrics.CONNECTIONS_REFUSED.inc()
            _LOG.warning("connection refused: not the fleet's public key")
        return accepted


def _set_common_options(
    sock: "zmq.Socket[bytes]", key: FleetKey, queue_frames: int
) -> None:
    sock.setsockopt(zmq.CURVE_PUBLICKEY, key.public.encode())
    sock.setsockopt(zmq.CURVE_SECRETKEY, key.secret.encode())
    sock.setsockopt(zmq.SNDHWM, queue_frames)
    sock.setsockopt(zmq.RCVHWM, queue_frames)
    sock.setsockopt(zmq.MAXMSGSIZE, _MAX_FRAME_BYTES)
    sock.setsockopt(zmq.LINGER, _LINGER_MS)
