"""Which data centres the operator has evacuated.

Each row has the place of its record in the store. Gateways learn rows from
reads of the store and from each other, in any order.

Invariants: the row of the greater stamp is in force, whatever the order in
which rows arrive. Gateways that know the same rows have equal digests.
"""

from collections.abc import Iterable
from typing import Final, Literal, NamedTuple

from apricottrestle import hashing

MAX_WITHDRAWN: Final = 1_000
"""Withdrawn evacuations that are remembered against late messages; far more
than a fleet has data centres. Without a bound, names that the operator mistyped
would fill the memory."""


class Stamp(NamedTuple):
    """Place of a record in the store; the greater one was written later.

    Attributes:
        history: Number of the store's history in which it was read.
        offset: Offset of the record in that history.
    """

    history: int
    offset: int


_NOTHING_READ: Final = Stamp(-1, -1)


class Record(NamedTuple):
    """What the operator has written of a data centre.

    Attributes:
        data_centre: Name of the data centre.
        stamp: Place of the record.
        evacuated: Whether it is evacuated.
    """

    data_centre: str
    stamp: Stamp
    evacuated: bool


class Row(NamedTuple):
    """A record in a message to a peer.

    Attributes:
        record: The record.
        age_s: Time since a gateway read it from the store.
    """

    record: Record
    age_s: float


class Report(NamedTuple):
    """All that a gateway knows of evacuations.

    Attributes:
        read_to: Stamp of the last record that a read of the whole topic has
            covered. Data centres without a row weren't evacuated then.
        rows: The rows.
    """

    read_to: Stamp
    rows: list[Row]


class Change(NamedTuple):
    """What became of a record, for the log.

    Attributes:
        record: The record that was learned, or took effect by its absence.
        before: The row in force before, or None.
        age_s: Time since a gateway read it from the store.
        outcome: "evacuated" or "withdrawn" if the state of the data centre
            changed, "confirmed" if a later record says the same, "ignored" if
            the record is older than the row and says something else.
    """

    record: Record
    before: Record | None
    age_s: float
    outcome: Literal["evacuated", "withdrawn", "confirmed", "ignored"]

    @property
    def in_force(self) -> bool:
        """Whether it changed the state of its data centre."""
        return self.outcome in ("evacuated", "withdrawn")


class _Entry(NamedTuple):
    record: Record
    # Monotonic time at which a gateway read it.
    read_at: float


class EvacuationTable:
    """The evacuations that this gateway knows.

    Attributes:
        digest: Hash of the evacuations in force.
        evacuated: Data centres that are evacuated.
    """

    def __init__(self) -> None:
        """Creates the table of a gateway that has read nothing."""
        self._entries: dict[str, _Entry] = {}
        self._read_to = _NOTHING_READ
        self.evacuated: frozenset[str] = frozenset()
        self.digest = hashing.object_digest([])

    @property
    def known(self) -> bool:
        """Whether it has been read as a whole, from the store or a peer."""
        return self._read_to > _NOTHING_READ

    def apply_read(
        self, records: Iterable[Record], end: Stamp, now: float, *, whole: bool
    ) -> list[Change]:
        """Applies records that were read from the store.

        Args:
            records: The records; of a data centre that has several, the one of
                the greatest stamp counts.
            end: History and offset of the next record to read.
            now: Monotonic time in seconds.
            whole: Whether the whole topic was read, not only what was new.

        Returns:
            What is new, and what was ignored.
        """
        # The record at `end` may be of any content, the one before it was read.
        return self._apply(
            [Row(record, 0.0) for record in records],
            end._replace(offset=end.offset - 1) if whole else None,
            now,
        )

    def merge(self, report: Report, now: float) -> list[Change]:
        """Adds what a peer knows.

        Returns:
            What is new, and what was ignored.
        """
        read_to = report.read_to if report.read_to > _NOTHING_READ else None
        return self._apply(report.rows, read_to, now)

    def report(self, now: float) -> Report:
        """Returns all that this gateway knows, for its peers."""
        return Report(
            self._read_to,
            [
                Row(entry.record, max(now - entry.read_at, 0.0))
                for entry in self._entries.values()
            ],
        )

    def _apply(
        self, rows: Iterable[Row], read_to: Stamp | None, now: float
    ) -> list[Change]:
        """Applies rows, and the absence of others if a whole read listed them.

        Args:
            rows: The rows.
            read_to: Last record that a read of the whole topic has covered, or
                None.
            now: Monotonic time in seconds.
        """
        rows = list(rows)
        changes = [self._apply_row(row, now) for row in rows]
        if read_to is not None:
            listed = {row.record.data_centre for row in rows}
            changes += [
                self._apply_row(Row(Record(name, read_to, False), 0.0), now)
                for name, entry in list(self._entries.items())
                if name not in listed
                and entry.record.evacuated
                and entry.record.stamp < read_to
            ]
            self._read_to = max(self._read_to, read_to)
        self._drop_withdrawn()
        in_force = sorted(
            entry.record
            for entry in self._entries.values()
            if entry.record.evacuated
        )
        self.evacuated = frozenset(record.data_centre for record in in_force)
        self.digest = hashing.object_digest(in_force)
        return [change for change in changes if change is not None]

    def _apply_row(self, row: Row, now: float) -> Change | None:
        record = row.record
        entry = self._entries.get(record.data_centre)
        before = entry.record if entry is not None else None
        known = before or Record(record.data_centre, self._read_to, False)
        # Of two rows with the same stamp, the one that sends less is in force.
        is_newer = (record.stamp, record.evacuated) > (
            known.stamp,
            known.evacuated,
        )
        if not is_newer:
            if record.evacuated == known.evacuated:
                return None
            return Change(record, before, row.age_s, "ignored")
        self._entries[record.data_centre] = _Entry(record, now - row.age_s)
        if record.evacuated != known.evacuated:
            outcome: Literal["evacuated", "withdrawn"] = (
                "evacuated" if record.evacuated else "withdrawn"
            )
            return Change(record, before, row.age_s, outcome)
        if not record.evacuated:
            return None
        return Change(record, before, row.age_s, "confirmed")

    def _drop_withdrawn(self) -> None:
        """Drops withdrawn rows that a whole read covers, and the oldest."""
        withdrawn = sorted(
            (
                entry.record
                for entry in self._entries.values()
                if not entry.record.evacuated
            ),
            key=lambda record: record.stamp,
        )
        excess = len(withdrawn) - MAX_WITHDRAWN
        for number, record in enumerate(withdrawn):
            if number < excess or record.stamp <= self._read_to:
                del self._entries[record.data_centre]
