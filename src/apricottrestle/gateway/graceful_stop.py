"""Graceful shutdown of a gateway within its grace period.

While the load balancer finds no other gateway, callers may still come to one
that has left the rotation. It therefore listens on until another one is in
rotation, or until it has nothing left to do; what it can't finish, it refuses
with the time to return.

Invariants: a request that has been accepted, or a response that its caller
still reads, is not cut before the end of the grace period, and none is cut that
was accepted later than ESTIMATE_S after the signal. A request without a
response gets one before the process ends, also one that has arrived in part.
"""

import abc
import asyncio
import logging
from typing import Final

from apricottrestle import logs
from apricottrestle.gateway import clock, gateway, peer_sync, rotation

ACCEPT_AFTER_LEAVING_S: Final = 2.6
"""Time for which requests are accepted in any case after a gateway has left the
rotation. The load balancer needs two readiness checks, a second apart, to stop
sending new connections."""

ESTIMATE_S: Final = 2.8
"""Time after the signal for which requests are accepted by an estimate of when
they end. An estimate may be wrong, and the platform allows a request to be cut
only if it was sent at most three seconds after the signal."""

FINAL_FLUSH_S: Final = 0.4
"""End of the grace period that is reserved for flushing the last responses."""

LAST_ARRIVALS_S: Final = 1.0
"""Time for which connections that came last are answered, if the grace period
leaves it; twice the time that a new connection has for its first request."""

CHECK_INTERVAL_S: Final = 0.05
"""Interval at which a stopping gateway checks its peers and open requests."""

_LOG: Final = logging.getLogger(__name__)


class Listener(abc.ABC):
    """The server that accepts callers' connections.

    Attributes:
        stopping: Whether each response closes its connection.
    """

    stopping: bool = False

    @property
    @abc.abstractmethod
    def arriving(self) -> int:
        """Number of connections on which a request has begun to arrive.

        Once the server doesn't listen, a new connection counts for a short
        time, as its caller has opened it to send a request.
        """

    @property
    @abc.abstractmethod
    def open_responses(self) -> int:
        """Number of requests whose response isn't written to the end.

        A response that has ended may still wait for a caller that reads slowly.
        """

    @abc.abstractmethod
    def stop_listening(self) -> None:
        """Stops accepting connections; the open ones continue."""

    @abc.abstractmethod
    def close_idle(self) -> None:
        """Closes the connections on which no request has begun to arrive."""

    @abc.abstractmethod
    def check_arrivals(self) -> None:
        """Refuses requests whose rest the shutdown can't wait for."""


class GracefulStop:
    """One shutdown: leave the rotation, accept no more, finish all requests."""

    def __init__(
        self,
        core: gateway.Gateway,
        peers: peer_sync.PeerSync,
        listener: Listener,
        grace_s: float,
        signal_at: float | None = None,
    ) -> None:
        """Prepares the shutdown of a gateway.

        Args:
            core: Serves the requests.
            peers: Tells the other gateways of the stop.
            listener: Accepts the callers' connections.
            grace_s: Time until the process is killed.
            signal_at: Monotonic time of the signal, from which the grace period
                counts; by default the shutdown begins with it.
        """
        self._signal_at = signal_at
        self._core = core
        self._peers = peers
        self._listener = listener
        self._grace_s = grace_s

    async def run(self) -> None:
        """Returns when all responses are written, or the grace period ends."""
        started_at = clock.now() if self._signal_at is None else self._signal_at
        ends_at = started_at + self._grace_s - FINAL_FLUSH_S
        self._listener.stopping = True
        self._peers.begin_stop(
            min(
                started_at + rotation.MAX_STAY_S,
                ends_at - ACCEPT_AFTER_LEAVING_S,
            )
        )
        logs.decision(
            _LOG,
            "stop requested",
            signal_delay_s=round(clock.now() - started_at, 3),
            requests=len(self._core.active),
            arriving=self._listener.arriving,
            responses=self._listener.open_responses,
            grace_s=self._grace_s,
            stop_order=self._peers.stop_order,
            peers=self._peers.gateway_count() - 1,
            stays_in_rotation=self._peers.in_rotation,
        )
        self._core.begin_stop(ends_at, started_at + ESTIMATE_S)
        await self._leave_rotation(started_at, ends_at)
        while True:
            self._stop_accepting_for_peers()
            self._listener.check_arrivals()
            if not self._is_busy() or clock.now() >= ends_at:
                break
            await asyncio.sleep(CHECK_INTERVAL_S)
        self._core.stopping = True
        self._stop_accepting_for_peers()
        self._core.end_requests()
        await self._flush(ends_at)

    async def _flush(self, ends_at: float) -> None:
        """Waits until the last responses are written, for a short time.

        Callers who find no other gateway are refused until the end, with the
        time to return, rather than not being listened to.
        """
        now = clock.now()
        await asyncio.sleep(CHECK_INTERVAL_S)
        while (
            self._listener.open_responses
            and clock.now() < now + FINAL_FLUSH_S / 2
        ):
            await asyncio.sleep(CHECK_INTERVAL_S)
        self._listener.stop_listening()
        last_until = max(
            now + FINAL_FLUSH_S / 2, min(now + LAST_ARRIVALS_S, ends_at)
        )
        while True:
            self._listener.check_arrivals()
            self._listener.close_idle()
            if not self._is_busy() or clock.now() >= last_until:
                return
            await asyncio.sleep(CHECK_INTERVAL_S)

    def _is_busy(self) -> bool:
        return (
            bool(self._core.active)
            or self._listener.open_responses > 0
            or self._listener.arriving > 0
        )

    def _stop_accepting_for_peers(self) -> None:
        """Stops accepting if callers find another gateway."""
        if self._peers.peers_in_rotation():
            self._core.stopping = True
            self._listener.stop_listening()
            self._listener.close_idle()

    async def _leave_rotation(self, started_at: float, ends_at: float) -> None:
        """Waits until the load balancer sends no more connections.

        While too few other gateways are in rotation, this one stays; see
        `rotation`.
        """
        was_in_rotation = False
        left_at = clock.now()
        while True:
            now = clock.now()
            in_rotation = self._peers.in_rotation
            if in_rotation != was_in_rotation:
                logs.decision(
                    _LOG,
                    "rotation",
                    outcome="stays" if in_rotation else "leaves",
                    peers_in_rotation=self._peers.peers_in_rotation(),
                    stop_order=self._peers.stop_order,
                    since_stop_s=round(now - started_at, 3),
                    grace_left_s=round(ends_at - now, 3),
                )
            if in_rotation:
                left_at = now
            elif now >= left_at + ACCEPT_AFTER_LEAVING_S or now >= ends_at:
                return
            was_in_rotation = in_rotation
            self._listener.check_arrivals()
            await asyncio.sleep(CHECK_INTERVAL_S)
