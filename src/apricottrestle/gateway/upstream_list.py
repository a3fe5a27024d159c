"""Membership of upstreams, from the entries that they keep in the store.

An upstream is usable while its entry is in the ready state. Entries expire
during a store outage although their upstreams are running. Such upstreams are
in the state "lapsed" and stay usable for a grace period after the outage, in
which they can renew their entries.

A store that comes back from an older copy may list upstreams that have left
since. They are held back until a later record of theirs is read, or until the
store would have removed the entry of an upstream that doesn't renew it.

An upstream that starts again under its id may have an earlier start time than
before, as clocks step back. So may a delayed record of its previous start,
which is followed by records of the present one. A start time that is earlier
than the known one is therefore believed once it is read in a whole list, or in
two records without one of the known start in between.

Invariant: an upstream that is draining, or whose entry was removed while the
store was available, isn't usable until an entry of another start is read.
"""

import collections
from collections.abc import Iterable
from typing import Final, Literal, NamedTuple

STORE_OUTAGE_MIN_S: Final = 1.5
"""Time without an answer of the store that counts as an outage. A removal read
after an outage may be the expiry of an entry that its upstream couldn't renew.
The time is longer than one poll with its retry."""

LAPSED_GRACE_S: Final = 2.0
"""Time after a store outage in which running upstreams renew their entries, as
specified by the platform."""

DEPARTED_KEPT_S: Final = 60.0
"""Time for which the departure of an upstream is remembered: more than the age
of any copy that the store comes back from."""

MAX_DEPARTED: Final = 20_000
"""Departed upstreams remembered at most: all of the largest fleet, and as many
again."""

HELD_BACK_MARGIN_S: Final = 0.5
"""Time by which a listed upstream is held back for longer than its lease: the
delay until its removal has been read."""

State = Literal["ready", "draining", "lapsed", "gone"]


class UpstreamEntry(NamedTuple):
    """Entry that an upstream keeps in the upstream list.

    Attributes:
        upstream_id: Id; most restarts get a new one.
        service: Name of the upstream's service.
        address: Address in the form "ip:port".
        data_centre: Name of the upstream's data centre.
        draining: Whether the upstream is about to stop.
        slots: Number of requests that the upstream runs concurrently.
        warm_up_left_s: Time for which the upstream is slower after its start.
        started_at_ms: Start time in Unix milliseconds; distinguishes restarts
            under the same id.
    """

    upstream_id: str
    service: str
    address: str
    data_centre: str
    draining: bool
    slots: int
    warm_up_left_s: float
    started_at_ms: int


class Change(NamedTuple):
    """A change of an upstream's state in this process.

    Attributes:
        upstream_id: Id of the upstream.
        before: Previous state, or None for a new upstream.
        after: New state.
        restarted: Whether the upstream was restarted under the same id.
        reason: Reason of the change, for the log.
    """

    upstream_id: str
    before: State | None
    after: State
    restarted: bool
    reason: str


class _Member:
    """An upstream with its state.

    Attributes:
        entry: Latest entry.
        state: State of the upstream.
        lapses_at: Monotonic time at which a lapsed upstream is removed.
        doubted_start_ms: Start time in the latest record if it is earlier than
            that of the entry, or None.
    """

    __slots__ = ("doubted_start_ms", "entry", "lapses_at", "state")

    def __init__(self, entry: UpstreamEntry) -> None:
        self.entry = entry
        self.state: State = "draining" if entry.draining else "ready"
        self.lapses_at = 0.0
        self.doubted_start_ms: int | None = None


class _Departed(NamedTuple):
    """An upstream that has left.

    Attributes:
        started_at_ms: Start time of the process that left.
        until: Monotonic time until which the departure is remembered.
    """

    started_at_ms: int
    until: float


class _HeldBack(NamedTuple):
    """A listed upstream that had left before the store came back.

    Attributes:
        entry: Its entry in the copy.
        until: Monotonic time at which it is used if it is still listed.
    """

    entry: UpstreamEntry
    until: float


class Membership:
    """Table of the upstreams with their states.

    Attributes:
        version: Version of the table; grows with each change.
        lease_s: Time without renewal after which the store removes an entry.
    """

    def __init__(self, lease_s: float) -> None:
        """Creates an empty table, before the first answer of the store."""
        self.lease_s = lease_s
        self._departed: dict[str, _Departed] = {}
        self._held_back: dict[str, _HeldBack] = {}
        self._members: dict[str, _Member] = {}
        self._store_answered_at: float | None = None
        self._grace_ends_at = 0.0
        self.version = 0

    def usable(self, service: str) -> list[UpstreamEntry]:
        """Returns the upstreams of a service that may get new requests."""
        return [
            member.entry
            for member in self._members.values()
            if member.entry.service == service
            and member.state in ("ready", "lapsed")
        ]

    def get(self, upstream_id: str) -> UpstreamEntry | None:
        """Returns an upstream that may get new requests, or None."""
        member = self._members.get(upstream_id)
        if member is None or member.state not in ("ready", "lapsed"):
            return None
        return member.entry

    def entries(self) -> list[UpstreamEntry]:
        """Returns all known entries, to send to a starting peer."""
        return [member.entry for member in self._members.values()]

    def counts(self) -> dict[State, int]:
        """Returns the number of upstreams in each state."""
        return dict(
            collections.Counter(
                member.state for member in self._members.values()
            )
        )

    def differences(
        self, entries: Iterable[UpstreamEntry]
    ) -> list[tuple[str, UpstreamEntry | None]]:
        """Returns the updates that lead from this table to a listing."""
        listed = {entry.upstream_id: entry for entry in entries}
        updates: list[tuple[str, UpstreamEntry | None]] = [
            (upstream_id, entry)
            for upstream_id, entry in listed.items()
            if upstream_id not in self._members
            or self._members[upstream_id].entry != entry
        ]
        updates += [
            (upstream_id, None)
            for upstream_id in self._members
            if upstream_id not in listed
        ]
        return updates

    def held_back(self) -> list[str]:
        """Returns the ids of the upstreams that are listed but had left."""
        return list(self._held_back)

    def lapsed(self) -> list[str]:
        """Returns the ids of the upstreams whose entry has lapsed."""
        return [
            upstream_id
            for upstream_id, member in self._members.items()
            if member.state == "lapsed"
        ]

    def begin_history(self, now: float) -> None:
        """Starts a grace period, since the store has come back from a copy.

        Upstreams that have registered since the copy are missing in it.
        """
        self._grace_ends_at = now + LAPSED_GRACE_S

    def replace(
        self,
        entries: Iterable[UpstreamEntry],
        now: float,
        *,
        copied: bool = False,
    ) -> list[Change]:
        """Applies a complete listing, read from the store at `now`.

        Args:
            entries: The listing.
            now: Monotonic time in seconds.
            copied: Whether the store has just come back from a copy, so that
                entries may be older than what is known.
        """
        self._note_store_answer(now)
        listed = {entry.upstream_id: entry for entry in entries}
        self._held_back = {
            upstream_id: held
            for upstream_id, held in self._held_back.items()
            if upstream_id in listed
        }
        changes = [
            self._upsert(entry, settles=not copied)
            for entry in listed.values()
            if not self._hold_back(entry, now, copied=copied)
        ]
        changes += [
            self._remove(upstream_id, now, "not listed")
            for upstream_id in list(self._members)
            if upstream_id not in listed
        ]
        return self._commit(changes)

    def apply(
        self,
        updates: Iterable[tuple[str, UpstreamEntry | None]],
        now: float,
        *,
        copied: bool = False,
    ) -> list[Change]:
        """Applies updates, read from the store at `now`.

        Args:
            updates: Upstream ids with their entries; None for a removed entry.
            now: Monotonic time in seconds.
            copied: See `replace`; the updates lead to the listing of the copy.
        """
        self._note_store_answer(now)
        changes = []
        for upstream_id, entry in updates:
            if not copied:
                self._held_back.pop(upstream_id, None)
            if entry is not None and self._hold_back(entry, now, copied=copied):
                continue
            if entry is None:
                changes.append(self._remove(upstream_id, now, "entry removed"))
            else:
                changes.append(self._upsert(entry, doubts=not copied))
        return self._commit(changes)

    def merge_peer_entries(
        self, entries: Iterable[UpstreamEntry]
    ) -> list[Change]:
        """Adds unknown upstreams from a peer's list.

        Used while the store can't be read. Known upstreams keep their entries,
        because the peer's may be older.
        """
        changes = [
            self._upsert(entry)
            for entry in entries
            if entry.upstream_id not in self._members
        ]
        return self._commit(changes)

    def expire(self, now: float) -> list[Change]:
        """Removes lapsed upstreams whose grace period has ended.

        Also uses upstreams that were held back for long enough.
        """
        changes: list[Change | None] = []
        for upstream_id, held in list(self._held_back.items()):
            if now >= held.until:
                del self._held_back[upstream_id]
                self._departed.pop(upstream_id, None)
                changes.append(self._upsert(held.entry))
        for upstream_id, departed in list(self._departed.items()):
            if now < departed.until:
                break
            del self._departed[upstream_id]
        for upstream_id, member in list(self._members.items()):
            if member.state == "lapsed" and now >= member.lapses_at:
                self._depart(upstream_id, now)
                changes.append(
                    Change(upstream_id, "lapsed", "gone", False, "not renewed")
                )
        return self._commit(changes)

    def _note_store_answer(self, now: float) -> None:
        """Records a store answer; starts a grace period after an outage."""
        if (
            self._store_answered_at is not None
            and now - self._store_answered_at > STORE_OUTAGE_MIN_S
        ):
            self._grace_ends_at = now + LAPSED_GRACE_S
        self._store_answered_at = now

    def _upsert(
        self,
        entry: UpstreamEntry,
        *,
        settles: bool = False,
        doubts: bool = False,
    ) -> Change | None:
        """Adds or updates an upstream.

        Args:
            entry: Its entry.
            settles: Whether the entry is its newest record in the store.
            doubts: Whether the entry is one of its records, in their order.
        """
        member = self._members.get(entry.upstream_id)
        if member is None:
            member = self._members[entry.upstream_id] = _Member(entry)
            return Change(
                entry.upstream_id, None, member.state, False, "listed"
            )
        restarted = entry.started_at_ms != member.entry.started_at_ms
        if entry.started_at_ms < member.entry.started_at_ms and not settles:
            is_repeated = entry.started_at_ms == member.doubted_start_ms
            if doubts:
                member.doubted_start_ms = entry.started_at_ms
            if not (doubts and is_repeated):
                return None
        member.doubted_start_ms = None
        before = member.state
        if before == "draining" and not restarted and not entry.draining:
            # A delayed entry of the same start doesn't undo the draining state.
            return None
        member.entry = entry
        member.state = "draining" if entry.draining else "ready"
        if before == member.state and not restarted:
            return None
        return Change(
            entry.upstream_id, before, member.state, restarted, "entry changed"
        )

    def _remove(
        self, upstream_id: str, now: float, reason: str
    ) -> Change | None:
        member = self._members.get(upstream_id)
        if member is None or member.state == "lapsed":
            return None
        before = member.state
        if before == "ready" and now < self._grace_ends_at:
            member.state = "lapsed"
            member.lapses_at = self._grace_ends_at
            return Change(upstream_id, before, "lapsed", False, reason)
        self._depart(upstream_id, now)
        return Change(upstream_id, before, "gone", False, reason)

    def _depart(self, upstream_id: str, now: float) -> None:
        """Removes an upstream, and remembers its departure."""
        entry = self._members.pop(upstream_id).entry
        # Moves it to the end, so that the oldest departures come first.
        self._departed.pop(upstream_id, None)
        self._departed[upstream_id] = _Departed(
            entry.started_at_ms, now + DEPARTED_KEPT_S
        )
        if len(self._departed) > MAX_DEPARTED:
            del self._departed[next(iter(self._departed))]

    def _hold_back(
        self, entry: UpstreamEntry, now: float, *, copied: bool
    ) -> bool:
        """Returns whether an entry is held back because its upstream has left.

        A later record is no copy; it shows that the upstream is running.
        """
        held = self._held_back.get(entry.upstream_id)
        departed = self._departed.get(entry.upstream_id)
        if held is None and (
            not copied
            or departed is None
            or entry.started_at_ms > departed.started_at_ms
        ):
            return False
        until = now + self.lease_s + HELD_BACK_MARGIN_S
        if held is not None and not copied:
            until = held.until
        self._held_back[entry.upstream_id] = _HeldBack(entry, until)
        return True

    def _commit(self, changes: Iterable[Change | None]) -> list[Change]:
        applied = [change for change in changes if change is not None]
        if applied:
            self.version += 1
        return applied
