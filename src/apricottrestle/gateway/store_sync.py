"""Keeps configuration and upstream list up to date from the store.

The configuration is read by long polls, the upstream list by short polls. The
gateways share the calls, see `store_duty`. While the store fails, each loop
retries with exponential backoff; it logs when the store is lost and regained.
"""

import abc
import asyncio
import functools
import logging
import random
from collections.abc import Callable
from typing import Final

from apricottrestle import errors, logs
from apricottrestle.gateway import (
    clock,
    evacuations,
    fleet_state,
    store,
    store_duty,
    store_history,
    upstream_list,
)

LONG_POLL_S: Final = 1.8
"""Time that the store may hold a long poll open. Bounds the delay of a new
configuration if the connection fails silently."""

RANK_CHECK_INTERVAL_S: Final = 0.05
"""Interval at which a gateway checks whether its rank requires it to read."""

RETRY_MIN_S: Final = 0.15
RETRY_MAX_S: Final = 0.6
"""Pauses after failed calls double from the least to the longest. The longest
bounds the delay until the store's recovery is detected."""

ANNOUNCE_SPREAD_S: Final = 1.0
"""Time over which the gateways announce themselves again after a return of the
store, so that they stay below its limit of writes."""

_LOG: Final = logging.getLogger(__name__)


class _StoreBackoff:
    """Backoff after failed calls to the store; logs loss and recovery."""

    def __init__(self, what: str, rng: random.Random) -> None:
        self._what = what
        self._rng = rng
        self._pause_s = 0.0
        self._lost_at: float | None = None

    def succeeded(self) -> None:
        """Resets the pause, and logs recovery after a failure."""
        self._pause_s = 0.0
        if self._lost_at is not None:
            logs.decision(
                _LOG,
                "store regained",
                what=self._what,
                after_s=round(clock.now() - self._lost_at, 3),
            )
            self._lost_at = None

    async def back_off(self, exc: errors.PlatformError) -> None:
        """Logs the first failure, and sleeps until the next attempt."""
        if self._lost_at is None:
            self._lost_at = clock.now()
            logs.decision(_LOG, "store lost", what=self._what, reason=str(exc))
        self._pause_s = min(max(2 * self._pause_s, RETRY_MIN_S), RETRY_MAX_S)
        # Jitter, so that gateways don't retry at the same time.
        await asyncio.sleep(self._pause_s * self._rng.uniform(0.7, 1.3))


class ReaderGroup(abc.ABC):
    """The gateways that share the reads of the store.

    Those with the lowest ranks read, and send the others what they read.
    """

    @abc.abstractmethod
    def rank(self, *, reaches_store: bool) -> int:
        """Returns the number of gateways that should read rather than this one.

        Args:
            reaches_store: Whether this gateway's last call was answered.
        """

    @abc.abstractmethod
    def share_upstreams(
        self, since: store.Position, upstreams_read: store.UpstreamsRead
    ) -> None:
        """Sends upstream list changes to the other gateways.

        Args:
            since: Position after which the changes were read.
            upstreams_read: The changes.
        """

    @abc.abstractmethod
    def store_reachability_changed(self) -> None:
        """Tells the other gateways that the store was lost or regained."""


class StoreSync:
    """Tasks that update the fleet state from the store.

    Attributes:
        reaches_store: Whether the last call to the store was answered.
    """

    def __init__(
        self,
        fleet_store: store.FleetStore,
        state: fleet_state.FleetState,
        readers: ReaderGroup,
        rng: random.Random,
    ) -> None:
        """Creates the synchronisation without starting its tasks.

        Args:
            fleet_store: The platform's store.
            state: State to update.
            readers: Gateways that share the reads.
            rng: Source of the jitter.
        """
        self._store = fleet_store
        self._state = state
        self._readers = readers
        self._rng = rng
        self._tasks: list[asyncio.Task[None]] = []
        self._history = store_history.HistoryTracker()
        self._on_new_history: list[Callable[[], None]] = []
        self._history_began = asyncio.Event()
        self._list_position: store.Position | None = None
        self._must_read_whole_list = True
        self._list_updated_at = 0.0
        self.reaches_store = False

    def start(
        self,
        entry: store.GatewayEntry,
        on_gateways: Callable[[list[store.GatewayEntry]], None],
    ) -> None:
        """Starts all tasks.

        Args:
            entry: Entry of this gateway to write to the store.
            on_gateways: Called once with the gateways registered in the store.
        """
        self._tasks = [
            asyncio.ensure_future(clock.keep_running(name, run))
            for name, run in (
                ("configuration", self._sync_config),
                ("upstream list", self._sync_upstreams),
                (
                    "announcement",
                    functools.partial(self._announce, entry, on_gateways),
                ),
            )
        ]

    def stop(self) -> None:
        """Cancels all tasks."""
        for task in self._tasks:
            task.cancel()

    @property
    def list_position(self) -> store.Position | None:
        """Position up to which the upstream list has been read."""
        return self._list_position

    def watch_history(self, callback: Callable[[], None]) -> None:
        """Registers a callback for each return of the store from a copy."""
        self._on_new_history.append(callback)

    def apply_shared_read(
        self,
        since: store.Position,
        upstreams_read: store.UpstreamsRead,
        source: str,
    ) -> None:
        """Applies upstream list changes that another gateway has read.

        Args:
            since: Position after which the changes were read.
            upstreams_read: The changes: one for each record, or the difference
                between the lists of two histories.
            source: Instance id of the gateway, for the log.
        """
        self.note_peer_history(upstreams_read.position.history, source)
        position = self._list_position
        if position is None or since.history != position.history:
            # This gateway's next poll reads the whole list.
            return
        changes = upstreams_read.changes
        if upstreams_read.position.history == since.history:
            if (
                position.offset < since.offset
                or upstreams_read.position.offset < position.offset
            ):
                # Records between the positions are missing, or all are known.
                # This gateway's next poll fetches missing ones.
                return
            changes = changes[position.offset - since.offset :]
        elif (
            position != since
            or upstreams_read.position.history < self._history.current
        ):
            return
        self._apply_records(
            changes, upstreams_read.position, source, is_full=False
        )

    def apply_peer_list(
        self,
        entries: list[upstream_list.UpstreamEntry],
        position: store.Position,
        source: str,
    ) -> None:
        """Applies the whole list of a peer if it is newer than the own one.

        Args:
            entries: Entries that the peer has read from the store.
            position: Position up to which it has read the list.
            source: Instance id of the peer, for the log.
        """
        self.note_peer_history(position.history, source)
        if self._list_position is None or position > self._list_position:
            self._apply_records(
                [(entry.upstream_id, entry) for entry in entries],
                position,
                source,
                is_full=True,
            )

    def note_peer_history(self, number: int, source: str) -> None:
        """Records the number of the store's history that a peer knows."""
        before = self._history.current
        if self._history.note_peer(number):
            logs.decision(
                _LOG,
                "store history",
                history=number,
                before=before,
                read_from=self._list_position,
                end=None,
                source=source,
                outcome="new",
            )
            self._begin_history(before)

    def _begin_history(self, before: int) -> None:
        """Takes account of a return of the store from an older copy."""
        if before == store_history.UNKNOWN:
            return
        self._state.members.begin_history(clock.now())
        self._history_began.set()
        for callback in self._on_new_history:
            callback()

    def _set_reaches_store(self, reaches_store: bool) -> None:
        if reaches_store != self.reaches_store:
            self.reaches_store = reaches_store
            self._readers.store_reachability_changed()

    def _rank(self) -> int:
        return self._readers.rank(reaches_store=self.reaches_store)

    async def _sync_config(self) -> None:
        backoff = _StoreBackoff("configuration", self._rng)
        position: store.Position | None = None
        while True:
            if position is not None and not store_duty.is_config_reader(
                self._rank()
            ):
                await asyncio.sleep(RANK_CHECK_INTERVAL_S)
                continue
            if position is not None and self._has_ended(position):
                position = None
            at_call = self._history.current
            try:
                if position is None:
                    config_read = await self._store.read_config()
                else:
                    config_read = await self._store.wait_for_config(
                        position, LONG_POLL_S
                    )
            except store.HistoryLostError as exc:
                _log_lost_history("configuration", position, exc)
                position = None
                continue
            except errors.PlatformError as exc:
                self._set_reaches_store(False)
                await backoff.back_off(exc)
                continue
            backoff.succeeded()
            self._set_reaches_store(True)
            if not self._is_in_time(config_read.position, at_call, position):
                position = None
                continue
            self._state.read_evacuations(
                config_read.evacuation_records,
                evacuations.Stamp(*config_read.position),
                whole=position is None,
            )
            position = config_read.position
            if config_read.config is not None:
                self._state.adopt_config(
                    config_read.config, fleet_state.STORE_SOURCE
                )

    async def _sync_upstreams(self) -> None:
        backoff = _StoreBackoff("upstream list", self._rng)
        while True:
            await self._wait_for_list_poll()
            position = known = self._list_position
            if self._must_read_whole_list or (
                position is not None and self._has_ended(position)
            ):
                position = None
            at_call = self._history.current
            try:
                if position is None:
                    upstreams_read = await self._store.read_upstreams()
                else:
                    upstreams_read = await self._store.read_upstream_changes(
                        position
                    )
            except store.HistoryLostError as exc:
                _log_lost_history("upstream list", position, exc)
                self._must_read_whole_list = True
                continue
            except errors.PlatformError as exc:
                self._set_reaches_store(False)
                await backoff.back_off(exc)
                continue
            backoff.succeeded()
            self._set_reaches_store(True)
            if not self._is_in_time(upstreams_read.position, at_call, position):
                continue
            own = self._list_position
            if position is None and own is not None and own != known:
                # A peer's update came while this gateway was reading.
                if own >= upstreams_read.position:
                    continue
                known = own
            if position is None:
                self._share_new_history(known, upstreams_read)
                self._apply_records(
                    upstreams_read.changes,
                    upstreams_read.position,
                    fleet_state.STORE_SOURCE,
                    is_full=True,
                )
            else:
                self._readers.share_upstreams(position, upstreams_read)
                self.apply_shared_read(
                    position, upstreams_read, fleet_state.STORE_SOURCE
                )

    def _share_new_history(
        self, known: store.Position | None, upstreams_read: store.UpstreamsRead
    ) -> None:
        """Sends the differences between the lists of two histories.

        They are few, while the whole list of a large fleet would have to be
        read by each gateway.
        """
        if known is None or known.history == upstreams_read.position.history:
            return
        changes = self._state.members.differences(
            entry for _, entry in upstreams_read.changes if entry is not None
        )
        self._readers.share_upstreams(
            known, upstreams_read._replace(changes=changes)
        )

    def _has_ended(self, position: store.Position) -> bool:
        """Returns whether a position is of an earlier history."""
        return position.history != self._history.current

    def _is_in_time(
        self,
        answered: store.Position,
        at_call: int,
        position: store.Position | None,
    ) -> bool:
        """Returns whether an answer is of the present history, or a new one.

        Args:
            answered: Position in the answer.
            at_call: Number of the present history when the call began.
            position: Position of the read, for the log.
        """
        before = self._history.current
        kind = self._history.note_answer(answered.history, at_call)
        if kind != "present":
            logs.decision(
                _LOG,
                "store history",
                history=answered.history,
                before=before,
                read_from=position,
                end=answered.offset,
                source=fleet_state.STORE_SOURCE,
                outcome=kind,
            )
        if kind == "new":
            self._begin_history(before)
        return kind != "late"

    async def _wait_for_list_poll(self) -> None:
        """Waits until the upstream list is old enough for this rank to poll."""
        while not self._must_read_whole_list:
            max_age_s = store_duty.list_max_age_s(self._rank())
            left_s = self._list_updated_at + max_age_s - clock.now()
            self._expire_upstreams()
            if left_s <= 0:
                return
            await asyncio.sleep(min(left_s, 4 * RANK_CHECK_INTERVAL_S))

    def _apply_records(
        self,
        records: list[tuple[str, upstream_list.UpstreamEntry | None]],
        position: store.Position,
        source: str,
        *,
        is_full: bool,
    ) -> None:
        members = self._state.members
        now = clock.now()
        known = self._list_position
        copied = known is not None and known.history != position.history
        if is_full:
            entries = [entry for _, entry in records if entry is not None]
            changes = members.replace(entries, now, copied=copied)
        else:
            changes = members.apply(records, now, copied=copied)
        if copied:
            logs.decision(
                _LOG,
                "upstream list of a new history",
                position=position,
                before=known,
                source=source,
                held_back=members.held_back(),
                lapsed=members.lapsed(),
            )
        self._list_position = position
        self._must_read_whole_list = False
        self._list_updated_at = now
        self._state.apply_upstreams(changes, source)

    def _expire_upstreams(self) -> None:
        changes = self._state.members.expire(clock.now())
        self._state.apply_upstreams(changes, fleet_state.EXPIRY_SOURCE)

    async def _announce(
        self,
        entry: store.GatewayEntry,
        on_gateways: Callable[[list[store.GatewayEntry]], None],
    ) -> None:
        """Writes this gateway's entry to the store, then reads all entries.

        If two gateways start together, at least the one that writes later
        reads the other's entry. Both calls are made again in each history,
        which may lack the entry.
        """
        backoff = _StoreBackoff("gateways", self._rng)
        written_in = store_history.UNKNOWN
        is_written = False
        while True:
            try:
                if not is_written:
                    written_in = await self._store.announce(entry)
                    is_written = True
                entries = await self._store.read_gateways()
            except errors.PlatformError as exc:
                await backoff.back_off(exc)
                continue
            backoff.succeeded()
            logs.decision(
                _LOG,
                "gateway announced",
                history=written_in,
                gateways=len(entries),
            )
            on_gateways(entries)
            self.note_peer_history(written_in, fleet_state.STORE_SOURCE)
            while written_in == self._history.current:
                self._history_began.clear()
                await self._history_began.wait()
            await asyncio.sleep(self._rng.uniform(0.0, ANNOUNCE_SPREAD_S))
            is_written = False


def _log_lost_history(
    what: str, position: store.Position | None, exc: errors.PlatformError
) -> None:
    logs.decision(
        _LOG, "history lost", what=what, position=position, reason=str(exc)
    )
