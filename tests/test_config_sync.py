"""Guards against a process that reverts, misses a note or starts too early."""

import asyncio
import itertools
import random

import pytest

from apricottrestle import (
    config_state,
    config_sync,
    messages,
    platform_log,
    release_fold,
)
from tests import fake_log, notes

_STREAM = platform_log.RELEASE_STREAM
_RETENTION_S = 9_000.0


def _publish(log: fake_log.FakeLog, count: int) -> None:
    """Appends the first note and then notes that each fit the one before."""
    if not log.streams[_STREAM]:
        log.store(_STREAM, "first", notes.FIRST_NOTE)
    for _ in range(count):
        base = _reference(log).revision
        note_id = f"n{len(log.streams[_STREAM]) + 1}"
        log.store(_STREAM, note_id, notes.share_note(note_id, base, base))


def _reference(log: fake_log.FakeLog) -> config_state.ConfigState:
    return notes.fold_all(log.notes())


def _sync() -> config_sync.ConfigSync:
    return config_sync.ConfigSync(_RETENTION_S, random.Random(7))


def _read(log: fake_log.FakeLog, sync: config_sync.ConfigSync) -> None:
    asyncio.run(config_sync.catch_up(log, sync))


def _snapshot(log: fake_log.FakeLog, sync: config_sync.ConfigSync) -> None:
    """Appends the snapshot of a sync for which it is due."""
    due = None
    while due is None:
        log.now += 10.0
        due = sync.snapshot_due(log.now)
    log.store(_STREAM, *due)


def _aged(log: fake_log.FakeLog) -> config_sync.ConfigSync:
    """Returns a reader of the whole log for which a snapshot is due."""
    sync = _sync()
    _read(log, sync)
    log.now += _RETENTION_S / 3 + 1
    return sync


@pytest.mark.parametrize("page", [1, 2, 1000])
def test_reading_in_pages_comes_to_the_fold(page: int) -> None:
    log = fake_log.FakeLog()
    _publish(log, 5)
    log.store(_STREAM, "bad", "not TOML")
    log.max_records_per_read = page
    sync = _sync()
    _read(log, sync)
    assert sync.state == _reference(log)
    assert sync.ready
    assert sync.position == 7


def test_a_page_is_not_taken_for_the_end() -> None:
    log = fake_log.FakeLog()
    _publish(log, 5)
    sync = _sync()
    sync.apply_records(log.read_now(_STREAM, 0, 2))
    assert not sync.ready


def test_a_record_read_twice_is_folded_once() -> None:
    log = fake_log.FakeLog()
    _publish(log, 2)
    sync = _sync()
    first = sync.apply_records(log.read_now(_STREAM, 0, 9))
    again = sync.apply_records(log.read_now(_STREAM, 0, 9))
    assert [item.verdict for item in first] == ["accepted"] * 3
    assert again == []


def test_a_hole_without_a_snapshot_keeps_a_process_from_starting() -> None:
    log = fake_log.FakeLog()
    _publish(log, 5)
    log.first_offset[_STREAM] = 3
    sync = _sync()
    _read(log, sync)
    assert sync.has_gap
    assert not sync.ready
    assert sync.revision == 0


@pytest.mark.parametrize("lost", [0, 1, 3])
def test_a_snapshot_covers_records_past_retention(lost: int) -> None:
    log = fake_log.FakeLog()
    _publish(log, 3)
    writer = _aged(log)
    # Published after the writer's last read: the snapshot doesn't contain it.
    _publish(log, 1)
    _snapshot(log, writer)
    _publish(log, 2)
    log.first_offset[_STREAM] = lost + 1
    sync = _sync()
    _read(log, sync)
    assert sync.ready
    assert sync.state == _reference(log)


def test_a_snapshot_that_misses_lost_records_is_not_used() -> None:
    log = fake_log.FakeLog()
    _publish(log, 3)
    writer = _aged(log)
    _publish(log, 2)
    _snapshot(log, writer)
    log.first_offset[_STREAM] = 6
    sync = _sync()
    _read(log, sync)
    assert (sync.ready, sync.revision) == (False, 0)


def test_held_records_are_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(config_sync, "MAX_HELD_BYTES", 200)
    log = fake_log.FakeLog()
    _publish(log, 3)
    writer = _aged(log)
    _publish(log, 6)
    _snapshot(log, writer)
    log.first_offset[_STREAM] = 3
    sync = _sync()
    _read(log, sync)
    # The records that the snapshot lacks were dropped, so it can't be used.
    assert sync.has_gap
    _read(log, writer)
    log.now += _RETENTION_S / 3 + 1
    _snapshot(log, writer)
    _read(log, sync)
    assert sync.state == _reference(log)


@pytest.mark.parametrize(
    "data", ["", "{}", "[9, 0.0, []]", "replaced by a later position"]
)
def test_a_bad_snapshot_record_is_passed_over(data: str) -> None:
    log = fake_log.FakeLog()
    _publish(log, 1)
    if data.startswith("replaced"):
        state = _reference(log)._replace(revision=40)
        data = release_fold.encode_snapshot(
            release_fold.Snapshot(50, 0.0, state)
        )
    log.store(_STREAM, "snapshot:9", data)
    sync = _sync()
    _read(log, sync)
    assert sync.state == _reference(log)
    assert sync.ready
    assert sync.read_after == 3


def test_a_snapshot_is_due_after_a_third_of_retention() -> None:
    log = fake_log.FakeLog()
    _publish(log, 2)
    sync = _sync()
    _read(log, sync)
    assert sync.snapshot_due(log.now + _RETENTION_S / 3) is None
    start = log.now + _RETENTION_S / 3 + 0.1
    due = [delay for delay in range(32) if sync.snapshot_due(start + delay)]
    assert due
    assert due[0] <= config_sync.MAX_SNAPSHOT_DELAY_S


def test_a_snapshot_of_another_entry_cancels_the_own_one() -> None:
    log = fake_log.FakeLog()
    _publish(log, 2)
    waiting, other = _aged(log), _sync()
    _read(log, other)
    waiting.snapshot_due(log.now)
    _snapshot(log, other)
    _read(log, waiting)
    assert waiting.snapshot_due(log.now + 60.0) is None


def test_a_snapshot_is_due_after_many_notes(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(config_sync, "SNAPSHOT_INTERVAL_NOTES", 4)
    log = fake_log.FakeLog()
    _publish(log, 3)
    sync = _sync()
    _read(log, sync)
    sync.snapshot_due(log.now)
    due = sync.snapshot_due(log.now + config_sync.MAX_SNAPSHOT_DELAY_S)
    assert due is not None
    log.store(_STREAM, *due)
    _read(log, sync)
    assert sync.snapshot_due(log.now) is None
    assert sync.snapshot_due(log.now + 60.0) is None


def test_the_snapshot_stays_due_when_entries_restart_often() -> None:
    """Each entry lives for a shorter time than a third of retention."""
    log = fake_log.FakeLog()
    _publish(log, 2)
    old = _sync()
    _read(log, old)
    for _ in range(4):
        log.now += _RETENTION_S / 4
        new = _sync()
        new.apply_update(old.make_update(messages.ConfigRequest(0)))
        old = new
        _read(log, old)
        old.snapshot_due(log.now)
        due = old.snapshot_due(log.now + config_sync.MAX_SNAPSHOT_DELAY_S)
        if due:
            return
    raise AssertionError("no snapshot within a retention")


def _chain(count: int) -> tuple[fake_log.FakeLog, config_sync.ConfigSync]:
    log = fake_log.FakeLog()
    _publish(log, count)
    sync = _sync()
    _read(log, sync)
    return log, sync


def test_one_peer_is_enough_while_the_log_is_down() -> None:
    log, peer = _chain(4)
    sync = _sync()
    assert sync.apply_update(peer.make_update(messages.ConfigRequest(0)))
    assert sync.ready
    assert sync.state == _reference(log)
    _publish(log, 2)
    _read(log, sync)
    assert sync.state == _reference(log)


def test_a_peer_that_knows_nothing_makes_nobody_ready() -> None:
    sync = _sync()
    assert not sync.apply_update(_sync().make_update(messages.ConfigRequest(0)))
    assert not sync.ready


@pytest.mark.parametrize("after", [1, 2, 4])
def test_a_peer_sends_the_missing_notes_only(after: int) -> None:
    _, peer = _chain(4)
    update = peer.make_update(messages.ConfigRequest(after))
    assert update.snapshot == ""
    offsets = [record.offset for record in update.records]
    assert offsets == list(range(after + 1, 6))


def test_rejected_notes_do_not_travel() -> None:
    log, _ = _chain(1)
    log.store(_STREAM, "bad", "not TOML")
    _publish(log, 1)
    peer = _sync()
    _read(log, peer)
    update = peer.make_update(messages.ConfigRequest(1))
    assert [record.offset for record in update.records] == [2, 4]


def test_a_peer_sends_a_snapshot_beyond_its_memory(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(config_sync, "MAX_RECENT_RECORDS", 2)
    log, peer = _chain(5)
    update = peer.make_update(messages.ConfigRequest(1))
    assert update.snapshot
    assert update.records == []
    sync = _sync()
    sync.apply_update(update)
    assert sync.state == _reference(log)


def test_memory_of_records_is_bounded_in_bytes(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(config_sync, "MAX_RECENT_BYTES", 150)
    _, peer = _chain(30)
    records = peer.make_update(messages.ConfigRequest(29)).records
    assert [record.offset for record in records] == [30, 31]
    assert peer.make_update(messages.ConfigRequest(20)).snapshot


@pytest.mark.parametrize("order", list(itertools.permutations(range(4))))
def test_updates_in_any_order_never_revert(order: tuple[int, ...]) -> None:
    log, peer = _chain(3)
    old_snapshot = messages.ConfigUpdate(
        release_fold.encode_snapshot(
            release_fold.Snapshot(peer.position, 0.0, peer.state)
        ),
        [],
    )
    updates = [old_snapshot, peer.make_update(messages.ConfigRequest(0))]
    _publish(log, 2)
    _read(log, peer)
    updates += [
        peer.make_update(messages.ConfigRequest(4)),
        peer.make_update(messages.ConfigRequest(1)),
    ]
    sync = _sync()
    revisions = []
    for index in order:
        sync.apply_update(updates[index])
        revisions.append(sync.revision)
    sync.apply_update(peer.make_update(messages.ConfigRequest(sync.revision)))
    assert revisions == sorted(revisions)
    assert sync.state == _reference(log)


def test_an_update_that_overlaps_brings_its_new_notes() -> None:
    """A second answer may hold notes that a first one has brought already."""
    log, peer = _chain(2)
    sync = _sync()
    sync.apply_update(peer.make_update(messages.ConfigRequest(0)))
    _publish(log, 1)
    _read(log, peer)
    sync.apply_update(peer.make_update(messages.ConfigRequest(0)))
    assert sync.state == _reference(log)


def test_an_entry_with_a_hole_writes_no_snapshot() -> None:
    """It would make the entries wait that could write a whole one."""
    log, peer = _chain(2)
    log.store(_STREAM, "bad", "not TOML")
    log.store(_STREAM, "bad", "not TOML")
    log.first_offset[_STREAM] = 5
    sync = _sync()
    sync.apply_update(peer.make_update(messages.ConfigRequest(0)))
    _read(log, sync)
    assert (sync.ready, sync.has_gap) == (True, True)
    late = log.now + _RETENTION_S
    assert sync.snapshot_due(late) is None
    assert sync.snapshot_due(late + config_sync.MAX_SNAPSHOT_DELAY_S) is None


def test_a_snapshot_of_a_lower_revision_is_not_adopted() -> None:
    """Whatever position it claims."""
    log, peer = _chain(3)
    text = release_fold.encode_snapshot(
        release_fold.Snapshot(99, 0.0, notes.fold_all(log.notes()[:2]))
    )
    assert not peer.apply_update(messages.ConfigUpdate(text, []))
    assert peer.state == _reference(log)
    _publish(log, 1)
    _read(log, peer)
    assert peer.state == _reference(log)


def test_a_missing_note_stops_the_chain() -> None:
    _, peer = _chain(4)
    records = peer.make_update(messages.ConfigRequest(0)).records
    sync = _sync()
    sync.apply_update(messages.ConfigUpdate("", [*records[:2], records[3]]))
    assert sync.revision == 2


def test_a_peer_fills_a_hole_of_the_log() -> None:
    log, peer = _chain(4)
    log.first_offset[_STREAM] = 4
    sync = _sync()
    _read(log, sync)
    _publish(log, 1)
    sync.apply_records(log.read_now(_STREAM, sync.read_after, 9))
    sync.apply_update(peer.make_update(messages.ConfigRequest(0)))
    assert sync.state == _reference(log)
    assert not sync.has_gap


def test_a_reset_log_reverts_nothing() -> None:
    _, sync = _chain(4)
    state = sync.state
    fresh = fake_log.FakeLog()
    fresh.store(_STREAM, "first", notes.FIRST_NOTE)
    _read(fresh, sync)
    assert sync.state == state


def test_a_day_of_changes_stays_within_the_node_budget() -> None:
    """67,000 changes a day; an entry serves 31 agents each change once."""
    budget_bytes_per_s = 19_000
    changes_per_s = 67_000 / 86_400
    agents_per_entry = 11_000 / 350
    log, peer = _chain(1)
    log.store(
        _STREAM,
        "weekly-2026-12-04-0123",
        'id = "weekly-2026-12-04-0123"\nbase = 2\n'
        '[models.changed.m]\nversion = "v2"\nshare = 2.5\n'
        '[versions]\nadded = ["m@v2"]\nwithdrawn = ["m@v1"]\n',
    )
    _read(log, peer)
    pair = (
        messages.ConfigRequest(2),
        peer.make_update(messages.ConfigRequest(2)),
    )
    sizes = [
        len(frame)
        for msg in pair
        for frame in messages.encode(
            msg, sender="entry-1", incarnation="0123456789ab", config_rev=3
        )
    ]
    note = log.streams[_STREAM][-1]
    log_bytes = len(note.data) * 1.2 + len(note.record_id) + 80
    # HTTP heads of one poll a second, as sent by curl and tornado.
    poll_bytes = config_sync.POLL_INTERVAL_S * 500
    per_change = sum(sizes) * agents_per_entry + log_bytes
    assert changes_per_s * per_change + poll_bytes < budget_bytes_per_s / 2
