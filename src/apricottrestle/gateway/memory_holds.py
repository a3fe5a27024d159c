"""Memory that is set aside on engines for prompts longer than one engine's.

A hold is short and renewed while its run goes on, so that the engines free the
memory soon after the process that ordered it has died.

Invariants: the holds of a run are all granted or all released. After the end of
a run its holds are released; an order whose answer was lost may take effect
later, so its release is repeated until that can't happen any more.
"""

import asyncio
import logging
from collections.abc import Coroutine, Sequence
from typing import Any, Final

from apricottrestle import errors, logs
from apricottrestle.gateway import calls, clock

HOLD_SHARE: Final = 0.75
"""Hold time as a share of the time within which unused memory must be free."""

RENEWALS_PER_HOLD: Final = 3
"""Renewals in a hold time, so that two lost ones in a row cut nothing."""

RELEASE_RETRY_DELAY_S: Final = 0.4
"""Pause before a release without an answer is repeated."""

RELEASE_ATTEMPTS: Final = 4

LATE_RESERVE_MAX_S: Final = 13.0
"""Time after which an order without an answer takes no effect any more; the
platform's engines carry late ones out within 12 s."""

LATE_RELEASE_INTERVAL_S: Final = 1.0
"""Interval of the releases that undo orders which take effect late."""

_LOG: Final = logging.getLogger(__name__)


class MemoryHolds:
    """Holds by run."""

    def __init__(
        self, client: calls.UpstreamClient, free_s: float, hold_max_s: float
    ) -> None:
        """Starts without holds.

        Args:
            client: Sends the orders.
            free_s: Time within which unused memory must be free.
            hold_max_s: Longest hold that an engine accepts.
        """
        self._client = client
        self.configure(free_s, hold_max_s)
        self._runs: dict[str, list[calls.Reservation]] = {}
        self._renewals: dict[str, asyncio.Task[None]] = {}
        self._unanswered: dict[str, float] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def configure(self, free_s: float, hold_max_s: float) -> None:
        """Changes the times of holds to come; see __init__."""
        self.hold_s = min(HOLD_SHARE * free_s, hold_max_s)

    async def acquire(
        self, run_id: str, wanted: Sequence[calls.Reservation]
    ) -> bool:
        """Sets all memory aside, or none; renews it until `release`."""
        self._runs[run_id] = list(wanted)
        answers = await asyncio.gather(
            *(self._reserve(each) for each in wanted)
        )
        if run_id not in self._runs:
            # Freed meanwhile, maybe before the engine had the order.
            self._release_all(list(wanted))
            return False
        if not all(answers):
            self.release(run_id)
            return False
        self._renewals[run_id] = asyncio.ensure_future(self._renew(run_id))
        return True

    def release(self, run_id: str) -> None:
        """Releases the holds of a run; nothing happens if it has none."""
        renewal = self._renewals.pop(run_id, None)
        if renewal is not None:
            renewal.cancel()
        self._release_all(self._runs.pop(run_id, []))

    def close(self) -> None:
        """Ends all tasks; the engines free what is left by themselves."""
        for task in [*self._tasks, *self._renewals.values()]:
            task.cancel()

    async def wait_released(self) -> None:
        """Waits for the releases under way."""
        while self._tasks:
            await asyncio.wait(self._tasks)

    def _release_all(self, reservations: Sequence[calls.Reservation]) -> None:
        for reservation in reservations:
            self._spawn(self._release_one(reservation))

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _renew(self, run_id: str) -> None:
        while True:
            await asyncio.sleep(self.hold_s / RENEWALS_PER_HOLD)
            await asyncio.gather(
                *(self._reserve(each) for each in self._runs.get(run_id, []))
            )

    async def _reserve(self, reservation: calls.Reservation) -> bool:
        granted = False
        try:
            granted = await self._client.reserve(reservation)
            outcome = "granted" if granted else "no memory free"
        except errors.UpstreamError as exc:
            outcome = str(exc)
            self._unanswered[reservation.reservation_id] = clock.now()
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

    async def _release_one(self, reservation: calls.Reservation) -> None:
        answered = await self._send_release(reservation, RELEASE_ATTEMPTS)
        sent_at = self._unanswered.pop(reservation.reservation_id, None)
        while (
            sent_at is not None and clock.now() < sent_at + LATE_RESERVE_MAX_S
        ):
            await asyncio.sleep(LATE_RELEASE_INTERVAL_S)
            answered = await self._send_release(reservation, 1)
        logs.decision(
            _LOG,
            "release",
            reservation=reservation.reservation_id,
            upstream=reservation.upstream_id,
            order_unanswered=sent_at is not None,
            outcome="released" if answered else "left to its hold time",
        )

    async def _send_release(
        self, reservation: calls.Reservation, tries: int
    ) -> bool:
        for number in range(tries):
            if number:
                await asyncio.sleep(RELEASE_RETRY_DELAY_S)
            try:
                await self._client.release(reservation)
            except errors.UpstreamError as exc:
                _LOG.info(
                    "no answer to a release",
                    extra={
                        "reservation": reservation.reservation_id,
                        "reason": str(exc),
                    },
                )
            else:
                return True
        return False
