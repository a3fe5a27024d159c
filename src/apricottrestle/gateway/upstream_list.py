"""Membership of upstreams, from the entries that they keep in the store.

An upstream is usable while its entry says ready. Entries expire while the store
is away, although the upstreams live; these stay usable for a grace period
after the store's return, in which living upstreams renew them.

Invariant: an upstream that is draining or was removed while the store was in
order is never usable, until an entry of a later start names it again.
"""

import collections
from collections.abc import Iterable
from typing import Final, Literal, NamedTuple

STORE_OUTAGE_MIN_S: Final = 1.5
"""Time without an answer of the store after which a removal may be the lapse
of an entry that its upstream couldn't renew; above one poll with its retry."""

LAPSED_GRACE_S: Final = 2.0
"""Time after the store's return in which living upstreams renew their entries,
as the platform states it."""

State = Literal["ready", "draining", "lapsed", "gone"]


class UpstreamEntry(NamedTuple):
    """What an upstream says of itself in the list.

    Attributes:
        upstream_id: Id, new with most starts.
        service: Its service.
        address: "ip:port".
        data_centre: Its data centre.
        draining: Whether it is about to leave.
        slots: Requests it runs at a time.
        warm_up_left_s: Time for which it stays slow after its start.
        started_at_ms: Unix milliseconds of its start; tells two starts under
            one id apart.
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
    """A change of what this process believes about an upstream.

    Attributes:
        upstream_id: The upstream.
        before: State before, or None when it was unknown.
        after: State now.
        restarted: Whether it is a new start under a known id.
        reason: Why, for the log.
    """

    upstream_id: str
    before: State | None
    after: State
    restarted: bool
    reason: str


class _Row:
    __slots__ = ("entry", "lapses_at", "state")

    def __init__(self, entry: UpstreamEntry) -> None:
        self.entry = entry
        self.state: State = "draining" if entry.draining else "ready"
        self.lapses_at = 0.0


class Membership:
    """Table of the upstreams, with their states."""

    def __init__(self) -> None:
        """Starts without upstreams, and without contact to the store."""
        self._rows: dict[str, _Row] = {}
        self._store_answered_at: float | None = None
        self._lapses_until = 0.0
        self.version = 0

    def usable(self, service: str) -> list[UpstreamEntry]:
        """Returns the upstreams of a service that may get new work."""
        return [
            row.entry
            for row in self._rows.values()
            if row.entry.service == service and row.state in ("ready", "lapsed")
        ]

    def get(self, upstream_id: str) -> UpstreamEntry | None:
        """Returns the entry of an upstream that may get new work, or None."""
        row = self._rows.get(upstream_id)
        if row is None or row.state not in ("ready", "lapsed"):
            return None
        return row.entry

    def entries(self) -> list[UpstreamEntry]:
        """Returns all entries known, for a process that starts."""
        return [row.entry for row in self._rows.values()]

    def counts(self) -> dict[State, int]:
        """Returns the number of upstreams in each state."""
        return dict(
            collections.Counter(row.state for row in self._rows.values())
        )

    def replace(
        self, entries: Iterable[UpstreamEntry], now: float
    ) -> list[Change]:
        """Takes over a complete listing read at `now`."""
        self._note_store_answer(now)
        listed = {entry.upstream_id: entry for entry in entries}
        changes = [self._upsert(entry) for entry in listed.values()]
        changes += [
            self._remove(upstream_id, now, "not listed")
            for upstream_id in list(self._rows)
            if upstream_id not in listed
        ]
        return self._commit(changes)

    def apply(
        self,
        updates: Iterable[tuple[str, UpstreamEntry | None]],
        now: float,
    ) -> list[Change]:
        """Takes over updates read at `now`; None stands for a removal."""
        self._note_store_answer(now)
        changes = []
        for upstream_id, entry in updates:
            if entry is None:
                changes.append(self._remove(upstream_id, now, "entry removed"))
            else:
                changes.append(self._upsert(entry))
        return self._commit(changes)

    def merge_peer_entries(
        self, entries: Iterable[UpstreamEntry]
    ) -> list[Change]:
        """Takes over entries from a peer while the store can't be read."""
        changes = [
            self._upsert(entry)
            for entry in entries
            if entry.upstream_id not in self._rows
        ]
        return self._commit(changes)

    def expire(self, now: float) -> list[Change]:
        """Removes lapsed upstreams that did not come back in time."""
        changes: list[Change | None] = []
        for upstream_id, row in list(self._rows.items()):
            if row.state == "lapsed" and now >= row.lapses_at:
                del self._rows[upstream_id]
                changes.append(
                    Change(upstream_id, "lapsed", "gone", False, "not renewed")
                )
        return self._commit(changes)

    def _note_store_answer(self, now: float) -> None:
        """Notes an answer of the store, and the end of an outage."""
        if (
            self._store_answered_at is not None
            and now - self._store_answered_at > STORE_OUTAGE_MIN_S
        ):
            self._lapses_until = now + LAPSED_GRACE_S
        self._store_answered_at = now

    def _upsert(self, entry: UpstreamEntry) -> Change | None:
        row = self._rows.get(entry.upstream_id)
        if row is None:
            row = self._rows[entry.upstream_id] = _Row(entry)
            return Change(entry.upstream_id, None, row.state, False, "listed")
        restarted = entry.started_at_ms > row.entry.started_at_ms
        if entry.started_at_ms < row.entry.started_at_ms:
            return None
        before = row.state
        if before == "draining" and not restarted and not entry.draining:
            # A delayed record of the same start can't revoke the notice.
            return None
        row.entry = entry
        row.state = "draining" if entry.draining else "ready"
        if before == row.state and not restarted:
            return None
        return Change(
            entry.upstream_id, before, row.state, restarted, "entry changed"
        )

    def _remove(
        self, upstream_id: str, now: float, reason: str
    ) -> Change | None:
        row = self._rows.get(upstream_id)
        if row is None or row.state == "lapsed":
            return None
        before = row.state
        if before == "ready" and now < self._lapses_until:
            row.state = "lapsed"
            row.lapses_at = self._lapses_until
            return Change(upstream_id, before, "lapsed", False, reason)
        del self._rows[upstream_id]
        return Change(upstream_id, before, "gone", False, reason)

    def _commit(self, changes: Iterable[Change | None]) -> list[Change]:
        kept = [change for change in changes if change is not None]
        if kept:
            self.version += 1
        return kept
