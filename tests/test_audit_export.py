"""Guards against an export that omits a gap or joins the wrong rows."""

import asyncio

import pytest

from apricottrestle import audit, audit_export, platform_log
from tests import audit_rows, fake_log

_STREAM = platform_log.AUDIT_STREAM
_ALL = audit_export.Selection(0.0, 1e12)


def _writer(name: str, incarnation: str = "i1") -> audit.AuditBuffer:
    role: audit.Role = "agent" if name.startswith("a") else "entry"
    return audit.AuditBuffer(name, role, incarnation)


def _export(
    log: fake_log.FakeLog, selection: audit_export.Selection = _ALL
) -> audit_export.Export:
    return asyncio.run(audit_export.export(log, selection))


def _write(
    log: fake_log.FakeLog,
    writer: audit.AuditBuffer,
    *rows: audit.AuditRow,
    close: bool = True,
) -> None:
    for row in rows:
        writer.add(row)
    if close:
        writer.close()
    audit_rows.flush(log, writer)


def test_both_records_of_a_request_are_joined() -> None:
    log = fake_log.FakeLog()
    _write(log, _writer("e1"), audit_rows.row("r1", peer="a1"))
    _write(log, _writer("a1"), audit_rows.row("r1", peer="e1"))
    result = _export(log)
    assert result.gaps == []
    (joined,) = result.requests
    assert (joined.req_id, joined.missing) == ("r1", "")
    assert [item.writer for item in joined.entries] == ["e1"]
    assert [item.writer for item in joined.agents] == ["a1"]


@pytest.mark.parametrize(
    ("writer", "row", "missing"),
    [
        ("e1", audit_rows.row("r1", peer="a1"), "agent"),
        ("a1", audit_rows.row("r1", peer="e1"), "entry"),
        ("e1", audit_rows.row("r1", outcome="not_run"), ""),
        ("e1", audit_rows.row("r1", peer="a1", outcome="not_run"), ""),
        ("e1", audit_rows.row("r1", peer="a1", outcome="unknown"), "agent"),
    ],
)
def test_missing_row_of_the_other_side_is_reported(
    writer: str, row: audit.AuditRow, missing: str
) -> None:
    log = fake_log.FakeLog()
    _write(log, _writer(writer), row)
    (joined,) = _export(log).requests
    assert joined.missing == missing


@pytest.mark.parametrize("lost", ["", "a1", "a2"])
def test_agent_rows_of_all_attempts_are_joined(lost: str) -> None:
    """An entry writes a row for the last attempt, agents one per attempt."""
    log = fake_log.FakeLog()
    _write(log, _writer("e1"), audit_rows.row("r1", peer="a2", attempt=2))
    for attempt, name in enumerate(("a1", "a2"), start=1):
        if name != lost:
            row = audit_rows.row("r1", peer="e1", attempt=attempt)
            _write(log, _writer(name), row)
    (joined,) = _export(log).requests
    assert len(joined.agents) == (1 if lost else 2)
    assert joined.missing == ("agent" if lost == "a2" else "")


def test_attempt_numbers_of_a_call_are_not_compared() -> None:
    """The agents' rows of all calls have the attempt number 1."""
    log = fake_log.FakeLog()
    row = audit_rows.row("r1", peer="a2", attempt=2)._replace(version="")
    _write(log, _writer("e1"), row)
    row = audit_rows.row("r1", peer="e1")._replace(version="")
    _write(log, _writer("a2"), row)
    (joined,) = _export(log).requests
    assert joined.missing == ""


def test_request_resumed_at_another_entry_has_two_entry_rows() -> None:
    log = fake_log.FakeLog()
    for name, outcome in (("e1", "unknown"), ("e2", "completed")):
        row = audit_rows.row("r1", peer="a1", outcome=outcome)
        _write(log, _writer(name), row)
    _write(log, _writer("a1"), audit_rows.row("r1", peer="e1"))
    (joined,) = _export(log).requests
    assert [item.writer for item in joined.entries] == ["e1", "e2"]


def test_a_batch_appended_twice_counts_once() -> None:
    log = fake_log.FakeLog()
    log.faults = [fake_log.ANSWER_LOST]
    _write(log, _writer("e1"), audit_rows.row("r1"))
    assert len(log.streams[_STREAM]) == 2
    result = _export(log)
    assert len(result.requests) == 1
    assert len(result.requests[0].entries) == 1
    assert result.gaps == []


def test_dropped_rows_are_a_gap_of_that_many_rows() -> None:
    log = fake_log.FakeLog()
    writer = audit.AuditBuffer("e1", "entry", "i1", 1)
    _write(log, writer, audit_rows.row("r0"), close=False)
    first_time, log.now = log.now, log.now + 50
    rows = [audit_rows.row(f"r{number}") for number in range(1, 4)]
    _write(log, writer, *rows)
    assert _export(log).gaps == [
        audit_export.Gap(
            "dropped_rows", "e1", "i1", 2, 2, 2, first_time, log.now
        )
    ]


def test_a_missing_batch_is_a_gap_between_its_neighbours() -> None:
    log = fake_log.FakeLog()
    writer = _writer("e1")
    times = []
    for number in range(4):
        times.append(log.now)
        _write(log, writer, audit_rows.row(f"r{number}"), close=number == 3)
        log.now += 5
    del log.streams[_STREAM][1:3]
    assert _export(log).gaps == [
        audit_export.Gap(
            "missing_batches", "e1", "i1", 2, 3, -1, times[0], times[3]
        )
    ]


def test_killed_writer_is_a_gap_without_an_end() -> None:
    log = fake_log.FakeLog()
    _write(log, _writer("e1", "i1"), audit_rows.row("r1"), close=False)
    killed, log.now = log.now, log.now + 5
    _write(log, _writer("e1", "i2"), audit_rows.row("r2"))
    assert _export(log).gaps == [
        audit_export.Gap("open_end", "e1", "i1", 2, 0, -1, killed, 0.0)
    ]


@pytest.mark.parametrize("whole", [False, True])
def test_records_past_retention_are_a_gap(whole: bool) -> None:
    log = fake_log.FakeLog()
    writer = _writer("e1")
    _write(log, writer, audit_rows.row("r0"), close=False)
    log.now += 5
    _write(log, writer, audit_rows.row("r1"))
    log.first_offset[_STREAM] = 3 if whole else 2
    kinds = [gap.kind for gap in _export(log).gaps]
    expected = ["past_retention"]
    if not whole:
        expected.append("missing_batches")
    assert kinds == expected


def test_a_malformed_record_is_a_gap() -> None:
    log = fake_log.FakeLog()
    log.store(_STREAM, "x", "{}")
    _write(log, _writer("e1"), audit_rows.row("r1"))
    result = _export(log)
    assert [gap.kind for gap in result.gaps] == ["malformed_record"]
    assert len(result.requests) == 1


@pytest.mark.parametrize(
    ("since", "until", "found"),
    [
        (95.0, 101.0, True),
        (111.0, 113.0, True),
        (90.0, 100.0, False),
        (121.0, 130.0, False),
    ],
)
def test_all_rows_of_an_overlapping_request_are_exported(
    since: float, until: float, found: bool
) -> None:
    """The two attempts of the request are at different times."""
    log = fake_log.FakeLog()
    entry = audit_rows.row("r1", peer="a2", attempt=2, start=100.0)
    _write(log, _writer("e1"), entry._replace(end=120.5))
    _write(log, _writer("a1"), audit_rows.row("r1", start=100.5))
    second = audit_rows.row("r1", attempt=2, start=115.0)
    _write(log, _writer("a2"), second._replace(end=120.0))
    result = _export(log, audit_export.Selection(since, until))
    assert [item.missing for item in result.requests] == ([""] * found)
    assert [len(item.agents) for item in result.requests] == ([2] * found)


def test_rows_are_selected_by_time_and_gaps_by_overlap() -> None:
    log = fake_log.FakeLog()
    log.now = 1_000.0
    early, late = _writer("e1"), _writer("e2")
    _write(log, early, audit_rows.row("r1", start=900.0), close=False)
    log.now = 9_000.0
    _write(log, late, audit_rows.row("r2", start=8_900.0))
    log.store(_STREAM, "x", "{}")
    chosen = _export(log, audit_export.Selection(8_000.0, 9_000.0))
    assert [joined.req_id for joined in chosen.requests] == ["r2"]
    kinds = [gap.kind for gap in chosen.gaps]
    assert sorted(kinds) == ["malformed_record", "open_end"]
    before = _export(log, audit_export.Selection(0.0, 900.0))
    assert before.requests == []


@pytest.mark.parametrize(("until", "listed"), [(1e6, True), (9e5, False)])
def test_gap_is_listed_for_requests_that_started_a_day_before(
    until: float, listed: bool
) -> None:
    """A lost row may be that of a request that ran for a day."""
    log = fake_log.FakeLog()
    log.now = 1_050_000.0
    row = audit_rows.row("r1", start=1_049_000.0)
    _write(log, _writer("e1"), row, close=False)
    result = _export(log, audit_export.Selection(0.0, until))
    assert bool(result.gaps) == listed


def test_parts_of_an_export_contain_each_request_once() -> None:
    log = fake_log.FakeLog()
    rows = [audit_rows.row(f"r{number}") for number in range(40)]
    _write(log, _writer("e1"), *rows)
    parts = [
        _export(log, audit_export.Selection(0.0, 1e12, part, 3)).requests
        for part in range(3)
    ]
    assert all(parts)
    ids = sorted(joined.req_id for part in parts for joined in part)
    assert ids == sorted(row.req_id for row in rows)


_DAY_S = 86_400.0


def _write_hourly_rows(log: fake_log.FakeLog, days: int) -> audit.AuditBuffer:
    """Writes a row an hour with a writer that is not closed."""
    writer = _writer("e1")
    for hour in range(24 * days):
        log.now += 3600.0
        row = audit_rows.row(f"r{hour}", start=log.now - 30.0)
        _write(log, writer, row, close=False)
    return writer


@pytest.mark.parametrize("lost", [0, 3])
def test_an_export_of_a_late_time_reads_the_end_of_the_stream(
    lost: int,
) -> None:
    log = fake_log.FakeLog()
    start = log.now
    _write_hourly_rows(log, 10)
    log.first_offset[_STREAM] = lost + 1
    selection = audit_export.Selection(start + 9 * _DAY_S, 1e12)
    log.max_records_per_read = 10
    result = _export(log, selection)
    reads = log.reads
    whole = asyncio.run(audit_export.export(log, selection, read_all=True))
    assert len(result.requests) == 24
    assert result.requests == whole.requests
    assert [gap.kind for gap in result.gaps] == ["open_end"]
    # Two days of 24 records in pages of 10 are read twice, after up to 20
    # probes for the start offset.
    assert reads <= 2 * 6 + 20


def test_batches_missing_before_the_selected_time_are_a_gap() -> None:
    """The writer's batches of the day before the time are not on the log."""
    log = fake_log.FakeLog()
    start = log.now
    _write_hourly_rows(log, 4)
    records = log.streams[_STREAM]
    kept = [rec for rec in records if rec.time <= start + _DAY_S]
    late = [rec for rec in records if rec.time > start + 3 * _DAY_S + 3600]
    log.streams[_STREAM] = kept + late
    since = start + 3 * _DAY_S
    result = _export(log, audit_export.Selection(since, 1e12))
    gap = result.gaps[0]
    assert (gap.kind, gap.first_seq, gap.last_seq) == (
        "missing_batches",
        0,
        late[0].offset - 1,
    )


@pytest.mark.parametrize("count", [0, 1, 2, 7, 64, 65])
@pytest.mark.parametrize("step", [1, 3])
def test_start_offset_is_found_for_every_time(count: int, step: int) -> None:
    """The offsets of a stream can skip numbers if all streams share them."""
    log = fake_log.FakeLog()
    records = [
        platform_log.LogRecord(1 + index * step, float(index), "x", "{}")
        for index in range(count)
    ]
    log.streams[_STREAM] = records
    for border in range(count + 2):
        time = border - 0.5
        after = asyncio.run(audit_export.find_start_offset(log, time))
        left = [rec.time for rec in records if rec.offset > after]
        assert left == [rec.time for rec in records if rec.time >= time]
