"""Tests the table of evacuated data centres."""

import random
from typing import NamedTuple

import hypothesis
import msgspec
import pytest
from hypothesis import strategies

from apricottrestle.gateway import evacuations

_SEED = 1


def _record(
    data_centre: str, history: int, offset: int, evacuated: bool = True
) -> evacuations.Record:
    return evacuations.Record(
        data_centre, evacuations.Stamp(history, offset), evacuated
    )


class _Read(NamedTuple):
    """A read of the store; `whole` if it covers all of the topic."""

    end: tuple[int, int]
    records: list[evacuations.Record]
    whole: bool = True


class _Told(NamedTuple):
    """A message of a peer that has made the given reads."""

    reads: list[_Read]


def _table(events: list[_Read | _Told]) -> evacuations.EvacuationTable:
    table = evacuations.EvacuationTable()
    for number, event in enumerate(events):
        if isinstance(event, _Read):
            table.apply_read(
                event.records,
                evacuations.Stamp(*event.end),
                float(number),
                whole=event.whole,
            )
        else:
            table.merge(_table([*event.reads]).report(0.0), float(number))
    return table


A5 = _record("a", 1, 5)
NO_A7 = _record("a", 1, 7, False)
B8 = _record("b", 1, 8)
A_OF_COPY = _record("a", 2, 5)
WITH_A = _Read((1, 6), [A5])
WITHOUT_A = _Read((1, 8), [])
A_ADDED = _Read((1, 6), [A5], whole=False)
A_DELETED = _Read((1, 8), [NO_A7], whole=False)


@pytest.mark.parametrize(
    ("events", "evacuated"),
    [
        pytest.param([], "", id="nothing read"),
        pytest.param([_Read((1, 4), [])], "", id="none"),
        pytest.param([_Read((1, 4), []), A_ADDED], "a", id="added"),
        pytest.param([WITH_A], "a", id="found at the start"),
        pytest.param([WITH_A, A_DELETED], "", id="deleted"),
        pytest.param([A_DELETED, WITH_A], "", id="older read after deletion"),
        pytest.param([WITH_A, WITHOUT_A], "", id="deletion missed"),
        pytest.param([WITHOUT_A, WITH_A], "", id="older read, later whole one"),
        pytest.param(
            [WITH_A, _Read((1, 5), [])], "a", id="whole read before the record"
        ),
        pytest.param(
            [A_DELETED, _Read((1, 10), [_record("a", 1, 9)], whole=False)],
            "a",
            id="evacuated again",
        ),
        pytest.param(
            [_Read((1, 8), [A5, NO_A7], whole=False)], "", id="both in one read"
        ),
        pytest.param(
            [_Read((1, 8), [NO_A7, A5], whole=False)], "", id="out of order"
        ),
        pytest.param(
            [_Read((1, 9), [A5, B8]), A_DELETED], "b", id="two data centres"
        ),
        pytest.param(
            [_Read((1, 9), [A5, B8]), _Read((2, 5), [A_OF_COPY])],
            "a",
            id="copy with one of two",
        ),
        pytest.param(
            [WITH_A, _Read((2, 9), [A_OF_COPY])], "a", id="copy with the record"
        ),
        pytest.param(
            [WITH_A, _Read((2, 4), [])], "", id="copy without the record"
        ),
        pytest.param(
            [WITH_A, _Read((2, 0), [])], "", id="empty store in a new history"
        ),
        pytest.param(
            [WITH_A, A_DELETED, _Read((2, 6), [A_OF_COPY])],
            "a",
            id="copy without the deletion",
        ),
        pytest.param(
            [_Read((2, 4), []), WITH_A], "", id="late answer of before the copy"
        ),
        pytest.param(
            [
                _Read((2, 4), []),
                _Read((2, 5), [_record("a", 2, 4)], whole=False),
                WITHOUT_A,
            ],
            "a",
            id="written again after the copy, then a late answer",
        ),
        pytest.param(
            # Pages of a whole read aren't one snapshot: the record at its end
            # may be listed.
            [_Read((1, 5), [A5]), _Read((1, 6), [A5], whole=False)],
            "a",
            id="record that came between two pages",
        ),
        pytest.param([_Told([WITH_A])], "a", id="a peer's evacuation"),
        pytest.param(
            [_Told([WITH_A]), _Told([WITH_A])], "a", id="duplicate message"
        ),
        pytest.param(
            [A_ADDED, A_DELETED, _Told([WITH_A])], "", id="late message"
        ),
        pytest.param(
            [WITH_A, _Told([WITH_A, A_DELETED])], "", id="a peer's deletion"
        ),
        pytest.param(
            [WITH_A, _Told([_Read((1, 4), [])])], "a", id="a peer behind"
        ),
        pytest.param(
            [WITH_A, _Told([WITHOUT_A])], "", id="a peer that started later"
        ),
        pytest.param(
            [WITH_A, _Told([_Read((2, 4), [])])], "", id="a peer reads the copy"
        ),
        pytest.param(
            [_Read((2, 4), []), _Told([WITH_A])],
            "",
            id="a peer that was cut off before the copy",
        ),
        pytest.param(
            [WITH_A, _Told([])], "a", id="a peer that has read nothing"
        ),
        pytest.param(
            [_Told([_Read((1, 4), []), A_ADDED]), A_DELETED],
            "",
            id="peer at the start, then the own read",
        ),
    ],
)
def test_later_record_decides(
    events: list[_Read | _Told], evacuated: str
) -> None:
    """Guards against an evacuation that is missed, or outlasts its end."""
    assert _table(events).evacuated == frozenset(evacuated)


@pytest.mark.parametrize(
    ("events", "known"),
    [
        ([], False),
        # An answer to a poll isn't the whole topic.
        ([A_ADDED], False),
        ([_Read((1, 0), [])], True),
        ([_Told([])], False),
        ([_Told([A_ADDED])], False),
        ([_Told([_Read((1, 0), [])])], True),
    ],
)
def test_table_is_known_after_a_whole_read(
    events: list[_Read | _Told], known: bool
) -> None:
    """Guards against a gateway that starts and sends before it knows."""
    assert _table(events).known is known


def _outcomes(changes: list[evacuations.Change]) -> list[tuple[str, str]]:
    return [(change.record.data_centre, change.outcome) for change in changes]


def test_changes_tell_what_became_of_each_record() -> None:
    """Guards against evacuations that the log doesn't explain."""
    table = evacuations.EvacuationTable()

    def read(end: tuple[int, int], *records: evacuations.Record) -> object:
        return _outcomes(
            table.apply_read(records, evacuations.Stamp(*end), 10.0, whole=True)
        )

    assert read((1, 6), A5) == [("a", "evacuated")]
    assert read((1, 6), A5) == []
    assert read((1, 9), A5, B8) == [("b", "evacuated")]
    assert read((1, 7), A5._replace(evacuated=False), B8) == [("a", "ignored")]
    assert read((2, 6), A_OF_COPY) == [("a", "confirmed"), ("b", "withdrawn")]
    assert _outcomes(
        table.merge(_table([_Read((1, 9), [A5, B8])]).report(0.0), 11.0)
    ) == [("b", "ignored")]


def test_age_counts_from_the_read_of_the_store() -> None:
    """Guards against ages in the log that start anew at each gateway."""
    reader = evacuations.EvacuationTable()
    reader.apply_read([A5], evacuations.Stamp(1, 6), 10.0, whole=True)
    peer = evacuations.EvacuationTable()
    (change,) = peer.merge(reader.report(12.5), 100.0)
    assert change.age_s == pytest.approx(2.5)
    (row,) = peer.report(101.0).rows
    assert row.age_s == pytest.approx(3.5)


def test_digests_are_equal_exactly_for_equal_evacuations() -> None:
    """Guards against gateways that ask each other without end, or never."""
    none = [[], [WITHOUT_A], [WITH_A, A_DELETED], [WITH_A, WITHOUT_A]]
    assert len({_table([*reads]).digest for reads in none}) == 1
    one = [
        [WITH_A],
        [_Read((1, 4), []), A_ADDED],
        [WITH_A, _Read((1, 9), [A5])],
    ]
    assert len({_table([*reads]).digest for reads in one}) == 1
    different = [
        none[0],
        one[0],
        [_Read((1, 9), [B8])],
        [_Read((2, 6), [A_OF_COPY])],
        [_Read((1, 9), [A5, B8])],
    ]
    assert len({_table([*reads]).digest for reads in different}) == 5


def test_report_survives_the_encoding_of_messages() -> None:
    """Guards against reports that peers decode as something else."""
    report = _table([_Read((1, 9), [A5, B8])]).report(1.0)
    frame = msgspec.msgpack.encode(report)
    assert msgspec.msgpack.decode(frame, type=evacuations.Report) == report


def test_mistyped_names_do_not_fill_the_memory() -> None:
    """Guards against rows that are kept for each name ever written."""
    table = evacuations.EvacuationTable()
    table.apply_read([], evacuations.Stamp(1, 0), 0.0, whole=True)
    for number in range(3 * evacuations.MAX_WITHDRAWN):
        for evacuated in (True, False):
            offset = 2 * number + (not evacuated)
            table.apply_read(
                [_record(f"x{number}", 1, offset, evacuated)],
                evacuations.Stamp(1, offset + 1),
                0.0,
                whole=False,
            )
    assert len(table.report(0.0).rows) == evacuations.MAX_WITHDRAWN
    assert table.evacuated == frozenset()


_WRITES = strategies.lists(
    strategies.tuples(strategies.sampled_from("abc"), strategies.booleans()),
    max_size=12,
)


@hypothesis.given(
    _WRITES,
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from(["read", "poll", "tell"]),
            strategies.integers(0, 3),
            strategies.integers(0, 3),
            strategies.integers(0, 12),
        ),
        max_size=40,
    ),
)
def test_gateways_agree_whatever_messages_are_lost(
    writes: list[tuple[str, bool]], steps: list[tuple[str, int, int, int]]
) -> None:
    """Guards against tables that depend on the order of what arrives.

    Gateways read prefixes of the log, late answers included, and tell each
    other, with messages that are kept back and delivered out of order. After
    one of them has read all and told the others, all have the operator's state.
    """
    tables = [evacuations.EvacuationTable() for _ in range(4)]
    reports: list[evacuations.Report] = []

    def log(end: int) -> list[evacuations.Record]:
        return [
            _record(name, 1, offset, evacuated)
            for offset, (name, evacuated) in enumerate(writes[:end])
        ]

    def state(end: int) -> list[evacuations.Record]:
        newest = {record.data_centre: record for record in log(end)}
        return [record for record in newest.values() if record.evacuated]

    rng = random.Random(_SEED)
    for kind, own, other, place in steps:
        end = min(place, len(writes))
        stamp = evacuations.Stamp(1, end)
        if kind == "read":
            tables[own].apply_read(state(end), stamp, 0.0, whole=True)
        elif kind == "poll":
            start = min(other, end)
            tables[own].apply_read(log(end)[start:], stamp, 0.0, whole=False)
        else:
            reports.append(tables[other].report(0.0))
            tables[own].merge(rng.choice(reports), 0.0)
    tables[0].apply_read(
        state(len(writes)), evacuations.Stamp(1, len(writes)), 0.0, whole=True
    )
    for table in tables[1:]:
        table.merge(tables[0].report(0.0), 0.0)
    expected = frozenset(record.data_centre for record in state(len(writes)))
    assert {table.evacuated for table in tables} == {expected}
    assert len({table.digest for table in tables}) == 1
