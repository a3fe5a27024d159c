"""Follows the store: configuration by long poll, upstream list by short polls.

Each loop goes on while the store fails, with growing pauses, and logs when it
loses and regains the store.
"""

import asyncio
import logging
import random
import time
from collections.abc import Callable
from typing import Final

from apricottrestle import errors, logs
from apricottrestle.gateway import fleet_state, store

CONFIG_WAIT_S: Final = 1.8
"""Longest wait of a long poll: bounds the time that a silent connection hides
a new configuration."""

LIST_POLL_S: Final = 0.5
"""Interval of polls of the upstream list; a quarter of the time within which
an upstream that leaves may get no more work."""

RETRY_FIRST_S: Final = 0.15
RETRY_MAX_S: Final = 0.6
"""Pauses after a failed call: doubled from the first to the longest. The
longest bounds how late the store's return is noticed."""

_LOG: Final = logging.getLogger(__name__)


class _Contact:
    """Pauses between failed calls, and log lines for loss and return."""

    def __init__(self, what: str, rng: random.Random) -> None:
        self._what = what
        self._rng = rng
        self._pause_s = 0.0
        self._lost_at: float | None = None

    def regained(self) -> None:
        self._pause_s = 0.0
        if self._lost_at is not None:
            logs.decision(
                _LOG,
                "store regained",
                what=self._what,
                after_s=round(time.monotonic() - self._lost_at, 3),
            )
            self._lost_at = None

    async def failed(self, exc: errors.PlatformError) -> None:
        if self._lost_at is None:
            self._lost_at = time.monotonic()
            logs.decision(_LOG, "store lost", what=self._what, reason=str(exc))
        self._pause_s = min(max(2 * self._pause_s, RETRY_FIRST_S), RETRY_MAX_S)
        # Spread, so that gateways don't return in step.
        await asyncio.sleep(self._pause_s * self._rng.uniform(0.7, 1.3))


class StoreSync:
    """Loops that keep the fleet state up to date from the store."""

    def __init__(
        self,
        fleet_store: store.FleetStore,
        state: fleet_state.FleetState,
        rng: random.Random,
    ) -> None:
        """Prepares the loops."""
        self._store = fleet_store
        self._state = state
        self._rng = rng
        self._tasks: list[asyncio.Task[None]] = []

    def start(
        self,
        row: store.GatewayRow,
        on_gateways: Callable[[list[store.GatewayRow]], None],
    ) -> None:
        """Starts all loops.

        Args:
            row: Row that makes this gateway known.
            on_gateways: Receives the gateways known to the store, once.
        """
        self._tasks = [
            asyncio.ensure_future(self._follow_config()),
            asyncio.ensure_future(self._follow_upstreams()),
            asyncio.ensure_future(self._announce(row, on_gateways)),
        ]

    def stop(self) -> None:
        """Ends all loops."""
        for task in self._tasks:
            task.cancel()

    async def _follow_config(self) -> None:
        contact = _Contact("configuration", self._rng)
        position: int | None = None
        while True:
            try:
                if position is None:
                    read = await self._store.read_config()
                else:
                    read = await self._store.follow_config(
                        position, CONFIG_WAIT_S
                    )
            except store.HistoryLostError as exc:
                _log_lost_history("configuration", position, exc)
                position = None
                continue
            except errors.PlatformError as exc:
                await contact.failed(exc)
                continue
            contact.regained()
            position = read.position
            if read.config is not None:
                self._state.adopt(read.config, "store")

    async def _follow_upstreams(self) -> None:
        contact = _Contact("upstream list", self._rng)
        position: int | None = None
        while True:
            try:
                if position is None:
                    read = await self._store.read_upstreams()
                else:
                    read = await self._store.follow_upstreams(position)
            except store.HistoryLostError as exc:
                _log_lost_history("upstream list", position, exc)
                position = None
                continue
            except errors.PlatformError as exc:
                await contact.failed(exc)
                self._expire()
                continue
            contact.regained()
            self._take_over(read, whole=position is None)
            position = read.position
            await asyncio.sleep(LIST_POLL_S)
            self._expire()

    def _take_over(self, read: store.UpstreamsRead, *, whole: bool) -> None:
        members = self._state.members
        now = time.monotonic()
        if whole:
            entries = [entry for _, entry in read.changes if entry is not None]
            changes = members.replace(entries, now)
        else:
            changes = members.apply(read.changes, now)
        self._state.list_known = True
        self._state.apply_upstreams(changes, "store")

    def _expire(self) -> None:
        changes = self._state.members.expire(time.monotonic())
        self._state.apply_upstreams(changes, "expiry")

    async def _announce(
        self,
        row: store.GatewayRow,
        on_gateways: Callable[[list[store.GatewayRow]], None],
    ) -> None:
        """Writes the own row, then reads those of the others, once.

        Of two gateways that start together, at least the later writer reads
        the other's row.
        """
        contact = _Contact("gateways", self._rng)
        announced = False
        while True:
            try:
                if not announced:
                    await self._store.announce(row)
                    announced = True
                rows = await self._store.read_gateways()
            except errors.PlatformError as exc:
                await contact.failed(exc)
                continue
            contact.regained()
            on_gateways(rows)
            return


def _log_lost_history(
    what: str, position: int | None, exc: errors.PlatformError
) -> None:
    logs.decision(
        _LOG, "history lost", what=what, position=position, reason=str(exc)
    )
