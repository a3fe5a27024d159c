"""Follows the store: configuration by long poll, upstream list by short polls.

The gateways share the calls, see `store_duty`. Each loop goes on while the
store fails, with growing pauses, and logs when it loses and regains the store.
"""

import abc
import asyncio
import logging
import random
from collections.abc import Callable
from typing import Final

from apricottrestle import errors, logs
from apricottrestle.gateway import (
    clock,
    fleet_state,
    store,
    store_duty,
    upstream_list,
)

CONFIG_WAIT_S: Final = 1.8
"""Longest wait of a long poll: bounds the time that a silent connection hides
a new configuration."""

DUTY_CHECK_S: Final = 0.05
"""Interval at which a gateway looks whether it should read."""

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
                after_s=round(clock.now() - self._lost_at, 3),
            )
            self._lost_at = None

    async def failed(self, exc: errors.PlatformError) -> None:
        if self._lost_at is None:
            self._lost_at = clock.now()
            logs.decision(_LOG, "store lost", what=self._what, reason=str(exc))
        self._pause_s = min(max(2 * self._pause_s, RETRY_FIRST_S), RETRY_MAX_S)
        # Spread, so that gateways don't return in step.
        await asyncio.sleep(self._pause_s * self._rng.uniform(0.7, 1.3))


class Readers(abc.ABC):
    """The gateways that share the calls to the store."""

    @abc.abstractmethod
    def rank(self, *, reaches_store: bool) -> int:
        """Returns the number of gateways that should read before this one."""

    @abc.abstractmethod
    def share_upstreams(self, since: int, read: store.UpstreamsRead) -> None:
        """Gives the others what was read of the upstream list."""

    @abc.abstractmethod
    def contact_changed(self) -> None:
        """Tells the others that the store was lost or regained."""


class StoreSync:
    """Loops that keep the fleet state up to date from the store.

    Attributes:
        reaches_store: Whether the last call was answered.
    """

    def __init__(
        self,
        fleet_store: store.FleetStore,
        state: fleet_state.FleetState,
        readers: Readers,
        rng: random.Random,
    ) -> None:
        """Prepares the loops."""
        self._store = fleet_store
        self._state = state
        self._readers = readers
        self._rng = rng
        self._tasks: list[asyncio.Task[None]] = []
        self._list_position: int | None = None
        self._list_read_at = 0.0
        self.reaches_store = False

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

    def learn(self, since: int, read: store.UpstreamsRead, source: str) -> None:
        """Takes over what another gateway read of the upstream list.

        Args:
            since: Position after which it was read.
            read: The changes, one for each record.
            source: The gateway.
        """
        position = self._list_position
        if position is None or position < since or read.position < position:
            # Records between would be missing; the own poll fetches them.
            return
        fresh = read.changes[position - since :]
        self._take_over(fresh, read.position, source, whole=False)

    def _set_contact(self, reaches_store: bool) -> None:
        if reaches_store != self.reaches_store:
            self.reaches_store = reaches_store
            self._readers.contact_changed()

    def _rank(self) -> int:
        return self._readers.rank(reaches_store=self.reaches_store)

    async def _follow_config(self) -> None:
        contact = _Contact("configuration", self._rng)
        position: int | None = None
        while True:
            if position is not None and not store_duty.waits_for_config(
                self._rank()
            ):
                await asyncio.sleep(DUTY_CHECK_S)
                continue
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
                self._set_contact(False)
                await contact.failed(exc)
                continue
            contact.regained()
            self._set_contact(True)
            position = read.position
            if read.config is not None:
                self._state.adopt_config(read.config, fleet_state.STORE_SOURCE)

    async def _follow_upstreams(self) -> None:
        contact = _Contact("upstream list", self._rng)
        while True:
            await self._until_list_due()
            position = self._list_position
            try:
                if position is None:
                    read = await self._store.read_upstreams()
                else:
                    read = await self._store.follow_upstreams(position)
            except store.HistoryLostError as exc:
                _log_lost_history("upstream list", position, exc)
                self._list_position = None
                continue
            except errors.PlatformError as exc:
                self._set_contact(False)
                await contact.failed(exc)
                continue
            contact.regained()
            self._set_contact(True)
            if position is None:
                self._take_over(
                    read.changes, read.position, "store", whole=True
                )
            else:
                self._readers.share_upstreams(position, read)
                skipped = (self._list_position or position) - position
                self._take_over(
                    read.changes[skipped:], read.position, "store", whole=False
                )

    async def _until_list_due(self) -> None:
        """Waits until this gateway should poll the upstream list."""
        while self._list_position is not None:
            due_s = store_duty.list_due_s(self._rank())
            left_s = self._list_read_at + due_s - clock.now()
            self._expire()
            if left_s <= 0:
                return
            await asyncio.sleep(min(left_s, 4 * DUTY_CHECK_S))

    def _take_over(
        self,
        records: list[tuple[str, upstream_list.UpstreamEntry | None]],
        position: int,
        source: str,
        *,
        whole: bool,
    ) -> None:
        members = self._state.members
        now = clock.now()
        if whole:
            entries = [entry for _, entry in records if entry is not None]
            changes = members.replace(entries, now)
        else:
            changes = members.apply(records, now)
        self._list_position = max(position, self._list_position or 0)
        self._list_read_at = now
        self._state.has_upstream_list = True
        self._state.apply_upstreams(changes, source)

    def _expire(self) -> None:
        changes = self._state.members.expire(clock.now())
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
