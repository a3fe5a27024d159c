"""KV cache reservations on helper engines, for prompts too long for one engine.

A reservation has a short hold time and is renewed while its run is active, so
that an engine frees the memory soon after the reserving process has died.

Invariants: the reservations of a run are either all granted or all released.
They are released when the run ends. A reserve request without a response may
take effect later, so its release is repeated until that is no longer possible.
"""

import asyncio
import logging
from collections.abc import Callable, Coroutine, Sequence
from typing import Any, Final

from apricottrestle import errors, logs
from apricottrestle.gateway import calls, clock

HOLD_SHARE: Final = 0.75
"""Hold time as a share of the time within which unused memory must be free."""

RENEWALS_PER_HOLD: Final = 3
"""Renewals per hold time; a reservation survives two consecutive lost ones."""

RELEASE_RETRY_DELAY_S: Final = 0.4
"""Delay before a release without a response is repeated."""

RELEASE_ATTEMPTS: Final = 4
"""Maximum number of requests for one release, while they get no response."""

LATE_RESERVE_MAX_S: Final = 13.0
"""Time after which a reserve request without a response no longer takes effect;
the platform's engines execute delayed requests within 12 s."""

LATE_RELEASE_INTERVAL_S: Final = 1.0
"""Interval of the releases that undo delayed reserve requests."""

_LOG: Final = logging.getLogger(__name__)


class MemoryHolds:
    """Makes, renews and releases the reservations of runs.

    Attributes:
        hold_s: Hold time of new reservations.
        on_send: Called with the engine's id before each request to it, or None.
        on_unanswered: Called with the id of an engine that didn't answer, or
            None.
    """

    on_send: Callable[[str], None] | None = None
    on_unanswered: Callable[[str], None] | None = None

    def __init__(
        self, client: calls.UpstreamClient, free_s: float, hold_max_s: float
    ) -> None:
        """Starts without reservations.

        Args:
            client: Sends the reserve and release requests.
            free_s: Time within which unused memory must be free.
            hold_max_s: Longest hold time that an engine accepts.
        """
        self._client = client
        self.configure(free_s, hold_max_s)
        self._reservations: dict[str, list[calls.Reservation]] = {}
        self._renewals: dict[str, asyncio.Task[None]] = {}
        self._unanswered_at: dict[str, float] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def configure(self, free_s: float, hold_max_s: float) -> None:
        """Changes the hold time of later reservations; see __init__."""
        self.hold_s = min(HOLD_SHARE * free_s, hold_max_s)

    async def acquire(
        self, run_id: str, wanted: Sequence[calls.Reservation]
    ) -> bool:
        """Makes all reservations of a run, or none.

        Granted reservations are renewed until `release` is called.

        Returns:
            Whether all reservations were granted.
        """
        self._reservations[run_id] = list(wanted)
        granted = await asyncio.gather(
            *(self._reserve(reservation) for reservation in wanted)
        )
        if run_id not in self._reservations:
            # Released in the meantime, possibly before the engine received the
            # reserve request.
            self._release_all(list(wanted))
            return False
        if not all(granted):
            self.release(run_id)
            return False
        self._renewals[run_id] = asyncio.ensure_future(self._renew(run_id))
        return True

    def release(self, run_id: str) -> None:
        """Releases the reservations of a run, if it has any."""
        renewal = self._renewals.pop(run_id, None)
        if renewal is not None:
            renewal.cancel()
        self._release_all(self._reservations.pop(run_id, []))

    def close(self) -> None:
        """Cancels all tasks; remaining reservations expire on the engines."""
        for task in [*self._tasks, *self._renewals.values()]:
            task.cancel()

    async def wait_released(self) -> None:
        """Waits for the releases in progress."""
        while self._tasks:
            await asyncio.wait(self._tasks)

    def _release_all(self, reservations: Sequence[calls.Reservation]) -> None:
        for reservation in reservations:
            self._spawn(self._release_one(reservation))

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _renew(self, run_id: str) -> None:
        while True:
            await asyncio.sleep(self.hold_s / RENEWALS_PER_HOLD)
            await asyncio.gather(
                *(
                    self._reserve(reservation)
                    for reservation in self._reservations.get(run_id, [])
                )
            )

    async def _reserve(self, reservation: calls.Reservation) -> bool:
        granted = False
        self._note_send(reservation)
        try:
            granted = await self._client.reserve(reservation)
            outcome = "granted" if granted else "no memory free"
        except errors.UpstreamError as exc:
            outcome = str(exc)
            self._unanswered_at[reservation.reservation_id] = clock.now()
            if self.on_unanswered is not None:
                self.on_unanswered(reservation.upstream_id)
        logs.decision(
            _LOG,
            "reserve",
            reservation=reservation.reservation_id,
            upstream=reservation.upstream_id,
            tokens=reservation.tokens,
            hold_s=reservation.hold_s,
            outcome=outcome,
        )
        return granted

    def _note_send(self, reservation: calls.Reservation) -> None:
        if self.on_send is not None:
            self.on_send(reservation.upstream_id)

    async def _release_one(self, reservation: calls.Reservation) -> None:
        is_released = await self._send_release(reservation, RELEASE_ATTEMPTS)
        sent_at = self._unanswered_at.pop(reservation.reservation_id, None)
        while (
            sent_at is not None and clock.now() < sent_at + LATE_RESERVE_MAX_S
        ):
            await asyncio.sleep(LATE_RELEASE_INTERVAL_S)
            is_released = await self._send_release(reservation, 1)
        logs.decision(
            _LOG,
            "release",
            reservation=reservation.reservation_id,
            upstream=reservation.upstream_id,
            order_unanswered=sent_at is not None,
            outcome="released" if is_released else "left to its hold time",
        )

    async def _send_release(
        self, reservation: calls.Reservation, attempts: int
    ) -> bool:
        for attempt in range(attempts):
            if attempt:
                await asyncio.sleep(RELEASE_RETRY_DELAY_S)
            self._note_send(reservation)
            try:
                await self._client.release(reservation)
            except errors.UpstreamError as exc:
                _LOG.info(
                    "release request failed",
                    extra={
                        "reservation": reservation.reservation_id,
                        "reason": str(exc),
                    },
                )
            else:
                return True
        return False
