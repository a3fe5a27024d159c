"""Guards against audit rows that are lost uncounted or counted twice."""

import asyncio

import pytest
from hypothesis import given
from hypothesis import strategies as st

from apricottrestle import audit, audit_export, platform_log
from tests import audit_rows, fake_log


def _buffer(max_rows: int = 5) -> audit.AuditBuffer:
    return audit.AuditBuffer("e1", "entry", "i1", max_rows)


def test_rows_beyond_the_limit_are_counted_in_the_next_batch() -> None:
    buffer = _buffer(2)
    for number in range(5):
        buffer.add(audit_rows.row(f"r{number}"))
    batch = buffer.take_batch()
    assert batch is not None
    assert [row.req_id for row in batch.rows] == ["r0", "r1"]
    assert batch.dropped == 3
    buffer.confirm(batch.seq)
    assert buffer.take_batch() is None


def test_unconfirmed_batch_is_returned_unchanged() -> None:
    buffer = _buffer()
    buffer.add(audit_rows.row("r0"))
    first = buffer.take_batch()
    buffer.add(audit_rows.row("r1"))
    assert buffer.take_batch() == first
    buffer.confirm(7)
    assert buffer.take_batch() == first
    buffer.confirm(1)
    second = buffer.take_batch()
    assert second is not None
    assert (second.seq, second.rows[0].req_id) == (2, "r1")


def test_a_clean_stop_ends_with_a_final_batch() -> None:
    buffer = _buffer()
    for number in range(3):
        buffer.add(audit_rows.row(f"r{number}"))
    buffer.close()
    finals = []
    while (batch := buffer.take_batch(2)) is not None:
        finals.append(batch.final)
        buffer.confirm(batch.seq)
    assert finals == [False, True]


def test_idle_writer_appends_an_empty_batch_per_heartbeat_interval() -> None:
    now = 100.0
    buffer = audit.AuditBuffer("e1", "entry", "i1", clock=lambda: now)
    seqs = []
    for minutes in range(25):
        now = 100.0 + 60.0 * minutes
        batch = buffer.take_batch()
        if batch is not None:
            buffer.confirm(batch.seq)
            seqs.append((minutes, batch.seq, len(batch.rows)))
    assert seqs == [(0, 1, 0), (10, 2, 0), (20, 3, 0)]


def test_an_idle_writer_closes_with_an_empty_batch() -> None:
    buffer = _buffer()
    buffer.close()
    batch = buffer.take_batch()
    assert batch is not None
    assert (batch.final, batch.rows) == (True, [])


@given(
    st.lists(
        st.sampled_from(
            ["add", "add", "take", "confirm", "lost answer", "failed append"]
        ),
        max_size=60,
    ),
    st.integers(1, 6),
)
def test_every_row_is_on_the_log_or_counted_as_dropped(
    actions: list[str], max_rows: int
) -> None:
    log = fake_log.FakeLog()
    buffer = _buffer(max_rows)
    added: list[str] = []
    for action in actions:
        if action == "add":
            added.append(f"r{len(added)}")
            buffer.add(audit_rows.row(added[-1]))
            continue
        log.faults = [fake_log.ANSWER_LOST] if action == "lost answer" else []
        log.down = action == "failed append"
        batch = buffer.take_batch(3)
        if batch is None or action == "take":
            continue
        if audit_rows.append(log, batch):
            buffer.confirm(batch.seq)
    log.down = False
    log.faults = []
    selection = audit_export.Selection(0.0, 1e12)
    buffer.close()
    audit_rows.flush(log, buffer)
    export = asyncio.run(audit_export.export(log, selection))
    exported = [joined.req_id for joined in export.requests]
    dropped = sum(gap.rows for gap in export.gaps if gap.kind == "dropped_rows")
    assert len(exported) + dropped == len(added)
    assert len(set(exported)) == len(exported)
    assert {gap.kind for gap in export.gaps} <= {"dropped_rows"}


def test_batch_round_trips_through_the_log() -> None:
    buffer = _buffer()
    buffer.add(audit_rows.row("r0"))
    batch = buffer.take_batch()
    assert batch is not None
    log = fake_log.FakeLog()
    assert audit_rows.append(log, batch)
    record = log.streams[platform_log.AUDIT_STREAM][0]
    assert record.record_id == "e1/i1/1"
    assert audit.decode(record.data) == batch


@pytest.mark.parametrize("text", ["", "{}", "[1]", "\udce4"])
def test_malformed_batch_decodes_to_none(text: str) -> None:
    assert audit.decode(text) is None
