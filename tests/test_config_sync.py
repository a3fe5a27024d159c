"""Guards against faults of the configuration replica of a process.

The faults are a revision that decreases, a missed note, and a process that is
ready before it knows the newest configuration.
"""

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
    """Appends the first note and then notes that are each accepted."""
    if not log.streams[_STREAM]:
        log.store(_STREAM, "first", notes.FIRST_NOTE)
    for _ in range(count):
        base = _expected_state(log).revision
        note_id = f"n{len(log.streams[_STREAM]) + 1}"
        log.store(_STREAM, note_id, notes.share_note(note_id, base, base))


def _expected_state(log: fake_log.FakeLog) -> config_state.ConfigState:
    return notes.fold_all(log.notes())


def _new_sync() -> config_sync.ConfigSync:
    return config_sync.ConfigSync(_RETENTION_S, random.Random(7))


def _catch_up(log: fake_log.FakeLog, sync: config_sync.ConfigSync) -> None:
    asyncio.run(config_sync.catch_up(log, sync))


def _append_snapshot(
    log: fake_log.FakeLog, sync: config_sync.ConfigSync
) -> None:
    """Appends the snapshot of a replica for which one is due."""
    due = None
    while due is None:
        log.now += 10.0
        due = sync.snapshot_due(log.now)
    log.store(_STREAM, *due)


def _sync_with_due_snapshot(log: fake_log.FakeLog) -> config_sync.ConfigSync:
    """Returns a replica of the whole log for which a snapshot is due."""
    sync = _new_sync()
    _catch_up(log, sync)
    log.now += _RETENTION_S / 3 + 1
    return sync


@pytest.mark.parametrize("page", [1, 2, 1000])
def test_state_does_not_depend_on_the_page_size(page: int) -> None:
    log = fake_log.FakeLog()
    _publish(log, 5)
    log.store(_STREAM, "bad", "not TOML")
    log.max_records_per_read = page
    sync = _new_sync()
    _catch_up(log, sync)
    assert sync.state == _expected_state(log)
    assert sync.ready
    assert sync.position == 7


def test_nonempty_page_does_not_make_a_process_ready() -> None:
    log = fake_log.FakeLog()
    _publish(log, 5)
    sync = _new_sync()
    sync.apply_records(log.read_now(_STREAM, 0, 2))
    assert not sync.ready


def test_a_record_read_twice_is_folded_once() -> None:
    log = fake_log.FakeLog()
    _publish(log, 2)
    sync = _new_sync()
    first = sync.apply_records(log.read_now(_STREAM, 0, 9))
    again = sync.apply_records(log.read_now(_STREAM, 0, 9))
    assert [item.verdict for item in first] == ["accepted"] * 3
    assert again == []


def test_gap_without_a_snapshot_prevents_readiness() -> None:
    log = fake_log.FakeLog()
    _publish(log, 5)
    log.first_offset[_STREAM] = 3
    sync = _new_sync()
    _catch_up(log, sync)
    assert sync.has_gap
    assert not sync.ready
    assert sync.revision == 0


@pytest.mark.parametrize("lost", [0, 1, 3])
def test_a_snapshot_covers_records_past_retention(lost: int) -> None:
    log = fake_log.FakeLog()
    _publish(log, 3)
    writer = _sync_with_due_snapshot(log)
    # Published after the writer's last read, so the snapshot lacks this note.
    _publish(log, 1)
    _append_snapshot(log, writer)
    _publish(log, 2)
    log.first_offset[_STREAM] = lost + 1
    sync = _new_sync()
    _catch_up(log, sync)
    assert sync.ready
    assert sync.state == _expected_state(log)


def test_snapshot_that_lacks_lost_records_is_not_adopted() -> None:
    log = fake_log.FakeLog()
    _publish(log, 3)
    writer = _sync_with_due_snapshot(log)
    _publish(log, 2)
    _append_snapshot(log, writer)
    log.first_offset[_STREAM] = 6
    sync = _new_sync()
    _catch_up(log, sync)
    assert (sync.ready, sync.revision) == (False, 0)


def test_records_held_during_a_gap_are_bounded(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(config_sync, "MAX_HELD_BYTES", 200)
    log = fake_log.FakeLog()
    _publish(log, 3)
    writer = _sync_with_due_snapshot(log)
    _publish(log, 6)
    _append_snapshot(log, writer)
    log.first_offset[_STREAM] = 3
    sync = _new_sync()
    _catch_up(log, sync)
    # The records that the snapshot lacks were dropped, so it can't be used.
    assert sync.has_gap
    _catch_up(log, writer)
    log.now += _RETENTION_S / 3 + 1
    _append_snapshot(log, writer)
    _catch_up(log, sync)
    assert sync.state == _expected_state(log)


@pytest.mark.parametrize(
    "data", ["", "{}", "[9, 0.0, []]", "replaced by a later position"]
)
def test_invalid_snapshot_record_is_ignored(data: str) -> None:
    log = fake_log.FakeLog()
    _publish(log, 1)
    if data.startswith("replaced"):
        state = _expected_state(log)._replace(revision=40)
        data = release_fold.encode_snapshot(
            release_fold.Snapshot(50, 0.0, state)
        )
    log.store(_STREAM, "snapshot:9", data)
    sync = _new_sync()
    _catch_up(log, sync)
    assert sync.state == _expected_state(log)
    assert sync.ready
    assert sync.read_after == 3


def test_a_snapshot_is_due_after_a_third_of_retention() -> None:
    log = fake_log.FakeLog()
    _publish(log, 2)
    sync = _new_sync()
    _catch_up(log, sync)
    assert sync.snapshot_due(log.now + _RETENTION_S / 3) is None
    start = log.now + _RETENTION_S / 3 + 0.1
    due = [delay for delay in range(32) if sync.snapshot_due(start + delay)]
    assert due
    assert due[0] <= config_sync.MAX_SNAPSHOT_DELAY_S


def test_snapshot_of_another_entry_cancels_the_due_one() -> None:
    log = fake_log.FakeLog()
    _publish(log, 2)
    waiting, other = _sync_with_due_snapshot(log), _new_sync()
    _catch_up(log, other)
    waiting.snapshot_due(log.now)
    _append_snapshot(log, other)
    _catch_up(log, waiting)
    assert waiting.snapshot_due(log.now + 60.0) is None


def test_a_snapshot_is_due_after_many_notes(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(config_sync, "SNAPSHOT_INTERVAL_NOTES", 4)
    log = fake_log.FakeLog()
    _publish(log, 3)
    sync = _new_sync()
    _catch_up(log, sync)
    sync.snapshot_due(log.now)
    due = sync.snapshot_due(log.now + config_sync.MAX_SNAPSHOT_DELAY_S)
    assert due is not None
    log.store(_STREAM, *due)
    _catch_up(log, sync)
    assert sync.snapshot_due(log.now) is None
    assert sync.snapshot_due(log.now + 60.0) is None


def test_the_snapshot_stays_due_when_entries_restart_often() -> None:
    """Each entry runs for less than a third of the retention."""
    log = fake_log.FakeLog()
    _publish(log, 2)
    old = _new_sync()
    _catch_up(log, old)
    for _ in range(4):
        log.now += _RETENTION_S / 4
        new = _new_sync()
        new.apply_update(old.make_update(messages.ConfigRequest(0)))
        old = new
        _catch_up(log, old)
        old.snapshot_due(log.now)
        due = old.snapshot_due(log.now + config_sync.MAX_SNAPSHOT_DELAY_S)
        if due:
            return
    raise AssertionError("no snapshot was due within the retention")


def _log_and_peer(
    count: int,
) -> tuple[fake_log.FakeLog, config_sync.ConfigSync]:
    log = fake_log.FakeLog()
    _publish(log, count)
    sync = _new_sync()
    _catch_up(log, sync)
    return log, sync


def test_peer_provides_the_configuration_while_the_log_is_down() -> None:
    log, peer = _log_and_peer(4)
    sync = _new_sync()
    assert sync.apply_update(peer.make_update(messages.ConfigRequest(0)))
    assert sync.ready
    assert sync.state == _expected_state(log)
    _publish(log, 2)
    _catch_up(log, sync)
    assert sync.state == _expected_state(log)


def test_update_of_a_peer_without_configuration_sets_no_readiness() -> None:
    sync = _new_sync()
    assert not sync.apply_update(
        _new_sync().make_update(messages.ConfigRequest(0))
    )
    assert not sync.ready


@pytest.mark.parametrize("after", [1, 2, 4])
def test_peer_sends_only_the_missing_notes(after: int) -> None:
    _, peer = _log_and_peer(4)
    update = peer.make_update(messages.ConfigRequest(after))
    assert update.snapshot == ""
    offsets = [record.offset for record in update.records]
    assert offsets == list(range(after + 1, 6))


def test_peer_does_not_send_rejected_notes() -> None:
    log, _ = _log_and_peer(1)
    log.store(_STREAM, "bad", "not TOML")
    _publish(log, 1)
    peer = _new_sync()
    _catch_up(log, peer)
    update = peer.make_update(messages.ConfigRequest(1))
    assert [record.offset for record in update.records] == [2, 4]


def test_peer_sends_a_snapshot_if_it_evicted_notes(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(config_sync, "MAX_RECENT_RECORDS", 2)
    log, peer = _log_and_peer(5)
    update = peer.make_update(messages.ConfigRequest(1))
    assert update.snapshot
    assert update.records == []
    sync = _new_sync()
    sync.apply_update(update)
    assert sync.state == _expected_state(log)


def test_recent_notes_are_bounded_in_bytes(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(config_sync, "MAX_RECENT_BYTES", 150)
    _, peer = _log_and_peer(30)
    records = peer.make_update(messages.ConfigRequest(29)).records
    assert [record.offset for record in records] == [30, 31]
    assert peer.make_update(messages.ConfigRequest(20)).snapshot


@pytest.mark.parametrize("order", list(itertools.permutations(range(4))))
def test_updates_in_any_order_never_decrease_the_revision(
    order: tuple[int, ...],
) -> None:
    log, peer = _log_and_peer(3)
    old_snapshot = messages.ConfigUpdate(
        release_fold.encode_snapshot(
            release_fold.Snapshot(peer.position, 0.0, peer.state)
        ),
        [],
    )
    updates = [old_snapshot, peer.make_update(messages.ConfigRequest(0))]
    _publish(log, 2)
    _catch_up(log, peer)
    updates += [
        peer.make_update(messages.ConfigRequest(4)),
        peer.make_update(messages.ConfigRequest(1)),
    ]
    sync = _new_sync()
    revisions = []
    for index in order:
        sync.apply_update(updates[index])
        revisions.append(sync.revision)
    sync.apply_update(peer.make_update(messages.ConfigRequest(sync.revision)))
    assert revisions == sorted(revisions)
    assert sync.state == _expected_state(log)


def test_new_notes_of_an_overlapping_update_are_applied() -> None:
    """An update may contain notes that an earlier update contained."""
    log, peer = _log_and_peer(2)
    sync = _new_sync()
    sync.apply_update(peer.make_update(messages.ConfigRequest(0)))
    _publish(log, 1)
    _catch_up(log, peer)
    sync.apply_update(peer.make_update(messages.ConfigRequest(0)))
    assert sync.state == _expected_state(log)


def test_entry_with_a_gap_writes_no_snapshot() -> None:
    """Its snapshot would delay a complete snapshot by another entry."""
    log, peer = _log_and_peer(2)
    log.store(_STREAM, "bad", "not TOML")
    log.store(_STREAM, "bad", "not TOML")
    log.first_offset[_STREAM] = 5
    sync = _new_sync()
    sync.apply_update(peer.make_update(messages.ConfigRequest(0)))
    _catch_up(log, sync)
    assert (sync.ready, sync.has_gap) == (True, True)
    late = log.now + _RETENTION_S
    assert sync.snapshot_due(late) is None
    assert sync.snapshot_due(late + config_sync.MAX_SNAPSHOT_DELAY_S) is None


def test_a_snapshot_of_a_lower_revision_is_not_adopted() -> None:
    """The position of the snapshot is higher than that of the process."""
    log, peer = _log_and_peer(3)
    text = release_fold.encode_snapshot(
        release_fold.Snapshot(99, 0.0, notes.fold_all(log.notes()[:2]))
    )
    assert not peer.apply_update(messages.ConfigUpdate(text, []))
    assert peer.state == _expected_state(log)
    _publish(log, 1)
    _catch_up(log, peer)
    assert peer.state == _expected_state(log)


def test_notes_after_a_missing_note_are_not_applied() -> None:
    _, peer = _log_and_peer(4)
    records = peer.make_update(messages.ConfigRequest(0)).records
    sync = _new_sync()
    sync.apply_update(messages.ConfigUpdate("", [*records[:2], records[3]]))
    assert sync.revision == 2


def test_update_of_a_peer_closes_a_gap_of_the_log() -> None:
    log, peer = _log_and_peer(4)
    log.first_offset[_STREAM] = 4
    sync = _new_sync()
    _catch_up(log, sync)
    _publish(log, 1)
    sync.apply_records(log.read_now(_STREAM, sync.read_after, 9))
    sync.apply_update(peer.make_update(messages.ConfigRequest(0)))
    assert sync.state == _expected_state(log)
    assert not sync.has_gap


def test_reset_log_does_not_decrease_the_revision() -> None:
    _, sync = _log_and_peer(4)
    state = sync.state
    fresh = fake_log.FakeLog()
    fresh.store(_STREAM, "first", notes.FIRST_NOTE)
    _catch_up(fresh, sync)
    assert sync.state == state


def test_update_traffic_stays_within_the_node_budget() -> None:
    """At 67,000 changes a day, an entry sends each change to 31 agents once."""
    budget_bytes_per_s = 19_000
    changes_per_s = 67_000 / 86_400
    agents_per_entry = 11_000 / 350
    log, peer = _log_and_peer(1)
    log.store(
        _STREAM,
        "weekly-2026-12-04-0123",
        'id = "weekly-2026-12-04-0123"\nbase = 2\n'
        '[models.changed.m]\nversion = "v2"\nshare = 2.5\n'
        '[versions]\nadded = ["m@v2"]\nwithdrawn = ["m@v1"]\n',
    )
    _catch_up(log, peer)
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
    # HTTP headers of one poll a second, as sent by curl and tornado.
    poll_bytes = config_sync.POLL_INTERVAL_S * 500
    per_change = sum(sizes) * agents_per_entry + log_bytes
    assert changes_per_s * per_change + poll_bytes < budget_bytes_per_s / 2
