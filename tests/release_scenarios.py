"""Scenarios with a fault at a step of publishing a release note.

Each scenario function is named `<step>_<fault>`. It publishes NOTE_N, or
several notes, with the fault at that step, checks the direct effects of the
fault and returns the verdicts that operators got; the test then checks every
process.
"""

from collections.abc import Callable

import pytest

from apricottrestle import messages, release_publish
from tests import fake_log, notes, release_fleet

NOTE_N = notes.share_note("n", 1, 5.0)
NOTE_O_BASE_1 = notes.share_note("o", 1, 3.0)
NOTE_O_BASE_2 = notes.share_note("o", 2, 9.0)
_STREAM = release_fleet.STREAM

Fleet = release_fleet.Fleet
Verdict = tuple[str, release_publish.PublishResult]
Results = list[Verdict]


class KilledError(Exception):
    """Raised in place of a kill of the operator's command."""


def _kill() -> None:
    raise KilledError


def _publish(
    fleet: Fleet,
    verdict: str = "accepted",
    offset: int | None = None,
    text: str = NOTE_N,
    during_wait: Callable[[], None] | None = None,
) -> Verdict:
    """Publishes a note and checks the verdict and offset of the result."""
    result = fleet.publish(text, during_wait=during_wait)[0]
    assert result.verdict == verdict
    assert offset in (None, result.offset)
    return text, result


def _publish_and_kill(fleet: Fleet) -> None:
    with pytest.raises(KilledError):
        fleet.publish(NOTE_N)


def _store_record(fleet: Fleet, note_id: str, text: str) -> None:
    fleet.log.store(_STREAM, note_id, text)


def _count_stored(fleet: Fleet) -> int:
    return sum(rec.record_id == "n" for rec in fleet.log.streams[_STREAM])


def _revision(fleet: Fleet, name: str) -> int:
    return fleet.syncs[name].revision


# Append: the command appends the record to the log.


def append_kill(fleet: Fleet) -> Results:
    fleet.log.before_append = _kill
    _publish_and_kill(fleet)
    assert _count_stored(fleet) == 0
    return [_publish(fleet)]


def append_freeze_and_thaw(fleet: Fleet) -> Results:
    """Another note is accepted between the check and the append."""
    fleet.log.before_append = lambda: _store_record(fleet, "o", NOTE_O_BASE_1)
    return [_publish(fleet, "rejected")]


def append_silent_connection(fleet: Fleet) -> Results:
    fleet.log.faults = [fake_log.NOT_STORED]
    return [_publish(fleet, "unknown", 0), _publish(fleet)]


def append_message_late(fleet: Fleet) -> Results:
    fleet.log.faults = [fake_log.STORED_LATE]
    first = _publish(fleet, "unknown")
    other = _publish(fleet, text=NOTE_O_BASE_1)
    fleet.log.store_late_appends()
    return [first, other, _publish(fleet, "rejected")]


def append_message_duplicated(fleet: Fleet) -> Results:
    fleet.log.after_append = lambda: _store_record(fleet, "n", NOTE_N)
    result = _publish(fleet, "accepted", 2)
    assert _count_stored(fleet) == 2
    return [result]


def append_messages_swapped(fleet: Fleet) -> Results:
    """The note that is based on NOTE_N is stored before it."""
    _store_record(fleet, "o", NOTE_O_BASE_2)
    _store_record(fleet, "n", NOTE_N)
    return [_publish(fleet, "accepted", 3)]


def append_answer_lost_after_effect(fleet: Fleet) -> Results:
    fleet.log.faults = [fake_log.ANSWER_LOST]
    return [_publish(fleet, "accepted", 2)]


def append_log_down_or_slow(fleet: Fleet) -> Results:
    fleet.log.down = True
    fleet.publish(NOTE_N)
    assert _count_stored(fleet) == 0
    fleet.log.down = False
    return [_publish(fleet)]


def append_log_records_past_retention(fleet: Fleet) -> Results:
    fleet.advance_past_retention()
    assert fleet.log.first_offset[_STREAM] > 1
    return [_publish(fleet)]


def append_operators_racing(
    fleet: Fleet, other: str = NOTE_O_BASE_1
) -> Results:
    results = fleet.publish(NOTE_N, other)
    assert len(fleet.log.streams[_STREAM]) == 3, (
        "both notes must pass the check before the append"
    )
    verdicts = sorted(result.verdict for result in results)
    assert verdicts == ["accepted", "rejected"]
    return list(zip((NOTE_N, other), results, strict=True))


def append_two_faults_at_once(fleet: Fleet) -> Results:
    """Operators publish two notes with one id, and both answers are lost."""
    fleet.log.faults = [fake_log.ANSWER_LOST, fake_log.ANSWER_LOST]
    return append_operators_racing(fleet, notes.share_note("n", 1, 3.0))


# Acknowledge: the operator gets the verdict on the note.


def acknowledge_kill(fleet: Fleet) -> Results:
    fleet.log.after_append = _kill
    _publish_and_kill(fleet)
    again = _publish(fleet, "accepted", 2)
    assert _count_stored(fleet) == 1
    return [again]


def acknowledge_freeze_and_thaw(fleet: Fleet) -> Results:
    """Another note follows NOTE_N before the frozen operator reads it back."""
    fleet.log.after_append = lambda: _store_record(fleet, "o", NOTE_O_BASE_2)
    return [_publish(fleet, "accepted", 2)]


def acknowledge_silent_connection(fleet: Fleet) -> Results:
    fleet.log.faults = [fake_log.ANSWER_LOST]
    fleet.log.after_append = lambda: setattr(fleet.log, "reads_down", True)
    first = _publish(fleet, "unknown", 0)
    fleet.log.reads_down = False
    return [first, _publish(fleet, "accepted", 2)]


acknowledge_answer_lost_after_effect = acknowledge_silent_connection


def acknowledge_message_late(fleet: Fleet) -> Results:
    fleet.log.faults = [fake_log.STORED_LATE]
    return [_publish(fleet, during_wait=fleet.log.store_late_appends)]


def acknowledge_log_down_or_slow(fleet: Fleet, offset: int = 2) -> Results:
    fleet.log.after_append = lambda: setattr(fleet.log, "down", True)
    first = _publish(fleet, "unknown", offset)
    fleet.log.down = False
    return [first, _publish(fleet, "accepted", 2)]


def acknowledge_log_records_past_retention(fleet: Fleet) -> Results:
    """NOTE_N has expired from the log; it must not be reported as rejected."""
    results = acknowledge_silent_connection(fleet)
    fleet.advance_past_retention()
    assert fleet.log.first_offset[_STREAM] > 2
    again = _publish(fleet, "unknown")
    assert "was accepted" in again[1].problems[0]
    assert _count_stored(fleet) == 1
    return [*results, again]


def acknowledge_operators_racing(fleet: Fleet) -> Results:
    """Two operators publish the same file."""
    results = fleet.publish(NOTE_N, NOTE_N)
    outcomes = [(result.verdict, result.offset) for result in results]
    assert outcomes == [("accepted", 2), ("accepted", 2)]
    return [(NOTE_N, result) for result in results]


def acknowledge_two_faults_at_once(fleet: Fleet) -> Results:
    """The answer is lost and the log goes down."""
    fleet.log.faults = [fake_log.ANSWER_LOST]
    return acknowledge_log_down_or_slow(fleet, 0)


# Read: an entry reads the release stream.


def _read_page(fleet: Fleet, name: str, limit: int = 1) -> None:
    sync = fleet.syncs[name]
    answer = fleet.log.read_now(_STREAM, sync.read_after, limit)
    sync.apply_records(answer)


def read_kill(fleet: Fleet) -> Results:
    result = _publish(fleet)
    fleet.restart("e0")
    _read_page(fleet, "e0")
    assert _revision(fleet, "e0") == 1
    fleet.restart("e0")
    assert not fleet.syncs["e0"].ready
    return [result]


def read_freeze_and_thaw(fleet: Fleet) -> Results:
    """The entry thaws after the log has dropped the notes that it missed."""
    fleet.frozen.add("e0")
    result = _publish(fleet)
    fleet.advance_past_retention()
    fleet.frozen.clear()
    assert fleet.log.first_offset[_STREAM] > fleet.syncs["e0"].read_after + 1
    fleet.poll_log("e0")
    assert _revision(fleet, "e0") == 2
    return [result]


def read_silent_connection(fleet: Fleet) -> Results:
    result = _publish(fleet)
    fleet.log.read_faults = [True, True]
    revisions = []
    for _ in range(3):
        fleet.poll_log("e0")
        revisions.append(_revision(fleet, "e0"))
    assert revisions == [1, 1, 2]
    return [result]


def read_message_late(fleet: Fleet) -> Results:
    old = fleet.log.read_now(_STREAM, 0, 1)
    result = _publish(fleet)
    fleet.poll_log("e0")
    fleet.syncs["e0"].apply_records(old)
    assert _revision(fleet, "e0") == 2
    return [result]


def read_message_duplicated(fleet: Fleet) -> Results:
    result = _publish(fleet)
    answer = fleet.log.read_now(_STREAM, 1, 9)
    for _ in range(2):
        fleet.syncs["e0"].apply_records(answer)
        assert _revision(fleet, "e0") == 2
    return [result]


def read_messages_swapped(fleet: Fleet) -> Results:
    """Two reads from the same offset are answered in the wrong order."""
    result = _publish(fleet)
    older = fleet.log.read_now(_STREAM, 1, 9)
    _store_record(fleet, "o", NOTE_O_BASE_2)
    newer = fleet.log.read_now(_STREAM, 1, 9)
    for answer in (newer, older):
        fleet.syncs["e0"].apply_records(answer)
        assert _revision(fleet, "e0") == 3
    return [result]


def read_answer_lost_after_effect(fleet: Fleet) -> Results:
    result = _publish(fleet)
    fleet.log.max_records_per_read = 1
    _store_record(fleet, "o", NOTE_O_BASE_2)
    fleet.log.read_faults = [False, True]
    fleet.poll_log("e0")
    assert _revision(fleet, "e0") == 2
    fleet.poll_log("e0")
    assert _revision(fleet, "e0") == 3
    return [result]


def read_log_down_or_slow(fleet: Fleet) -> Results:
    """An entry restarts; NOTE_N is on the log, but no entry has read it."""
    result = _publish(fleet)
    fleet.log.down = True
    fleet.restart("e0")
    fleet.poll_log("e0")
    assert not fleet.syncs["e0"].ready
    fleet.exchange_configs()
    assert (fleet.syncs["e0"].ready, _revision(fleet, "e0")) == (True, 1)
    return [result]


def read_log_records_past_retention(fleet: Fleet) -> Results:
    result = _publish(fleet)
    fleet.advance_past_retention()
    fleet.restart("e0")
    fleet.poll_log("e0")
    assert fleet.log.first_offset[_STREAM] > 2
    assert (fleet.syncs["e0"].ready, _revision(fleet, "e0")) == (True, 2)
    return [result]


def read_operators_racing(fleet: Fleet) -> Results:
    """Operators race while an entry is between two pages."""
    fleet.restart("e0")
    _read_page(fleet, "e0")
    results = append_operators_racing(fleet)
    _read_page(fleet, "e0")
    _read_page(fleet, "e0")
    assert fleet.syncs["e0"].position == 3
    return results


def read_two_faults_at_once(fleet: Fleet) -> Results:
    """All entries restart while the log is down; agents have the note."""
    result = _publish(fleet)
    fleet.recover()
    fleet.log.down = True
    for name in fleet.entries:
        fleet.restart(name)
    fleet.exchange_configs()
    assert [_revision(fleet, name) for name in fleet.entries] == [2, 2]
    return [result]


# Fold: processes fold the notes that they read or received.


def _publish_to_entries(fleet: Fleet) -> Verdict:
    """Publishes NOTE_N and lets the entries, but no agent, fold it."""
    result = _publish(fleet)
    for name in fleet.entries:
        fleet.poll_log(name)
    return result


def _send_newer_note(fleet: Fleet) -> None:
    """Puts an update with a newer note in flight from e0 to a0."""
    _store_record(fleet, "o", NOTE_O_BASE_2)
    fleet.poll_log("e0")
    fleet.request_config("a0", "e0")


def _request_from(fleet: Fleet, peer: str, revision: int = 2) -> None:
    """Lets agent a0 request from a peer and checks the revision it gets."""
    fleet.request_config("a0", peer)
    fleet.deliver_update(len(fleet.in_flight) - 1)
    assert _revision(fleet, "a0") == revision


def fold_kill(fleet: Fleet) -> Results:
    result = _publish_to_entries(fleet)
    fleet.request_config("a0", "e0")
    fleet.restart("a0")
    assert _revision(fleet, "a0") == 0
    _request_from(fleet, "e0")
    return [result]


def fold_freeze_and_thaw(fleet: Fleet) -> Results:
    """A thawed agent handles an old update behind a new one."""
    result = _publish_to_entries(fleet)
    fleet.request_config("a0", "e0")
    _send_newer_note(fleet)
    fleet.deliver_update(1)
    fleet.deliver_update(0)
    assert _revision(fleet, "a0") == 3
    return [result]


def fold_silent_connection(fleet: Fleet) -> Results:
    """The update of one entry is lost; another entry answers."""
    result = _publish_to_entries(fleet)
    fleet.request_config("a0", "e0")
    fleet.in_flight.clear()
    _request_from(fleet, "e1")
    return [result]


def fold_message_late(fleet: Fleet) -> Results:
    """A snapshot requested at the start arrives after newer notes."""
    result = _publish_to_entries(fleet)
    late = fleet.syncs["e1"].make_update(messages.ConfigRequest(0))
    _send_newer_note(fleet)
    fleet.deliver_update(0)
    fleet.syncs["a0"].apply_update(late)
    assert _revision(fleet, "a0") == 3
    return [result]


def fold_message_duplicated(fleet: Fleet) -> Results:
    result = _publish_to_entries(fleet)
    fleet.request_config("a0", "e0")
    fleet.deliver_update(0, keep=True)
    state = fleet.syncs["a0"].state
    fleet.deliver_update(0)
    assert fleet.syncs["a0"].state is state
    return [result]


def fold_messages_swapped(fleet: Fleet) -> Results:
    result = _publish_to_entries(fleet)
    _request_from(fleet, "e0")
    fleet.restart("a1")
    fleet.request_config("a1", "a0")
    _send_newer_note(fleet)
    fleet.request_config("a1", "e0")
    fleet.deliver_update(2)
    fleet.deliver_update(0)
    assert _revision(fleet, "a1") == 3
    return [result]


def fold_answer_lost_after_effect(fleet: Fleet) -> Results:
    result = _publish_to_entries(fleet)
    fleet.request_config("a0", "e0")
    fleet.in_flight.clear()
    assert _revision(fleet, "a0") == 1
    _request_from(fleet, "e0")
    return [result]


def fold_log_down_or_slow(fleet: Fleet) -> Results:
    """One entry has read NOTE_N before the outage; others get it from peers."""
    result = _publish(fleet)
    fleet.poll_log("e0")
    fleet.log.down = True
    fleet.exchange_configs()
    assert {sync.revision for sync in fleet.syncs.values()} == {2}
    return [result]


def fold_log_records_past_retention(fleet: Fleet) -> Results:
    """A new entry folds a snapshot and the notes after it."""
    first = _publish(fleet)
    fleet.advance_past_retention()
    second = _publish(fleet, text=NOTE_O_BASE_2)
    fleet.restart("e1")
    fleet.poll_log("e1")
    assert _revision(fleet, "e1") == second[1].offset
    return [first, second]


def fold_instance_list_late_or_wrong(fleet: Fleet) -> Results:
    """The instance list shows agent a0 to one entry only, and a1 to none."""
    result = _publish_to_entries(fleet)
    _request_from(fleet, "e1")
    assert _revision(fleet, "a1") == 1
    return [result]


def fold_operators_racing(fleet: Fleet) -> Results:
    """Entries read the racing notes in different pages."""
    results = append_operators_racing(fleet)
    _read_page(fleet, "e0")
    _read_page(fleet, "e0")
    _read_page(fleet, "e1", 2)
    assert fleet.syncs["e0"].state == fleet.syncs["e1"].state
    return results


def fold_two_faults_at_once(fleet: Fleet) -> Results:
    """An agent restarts in an outage of the log and gets an old state twice."""
    old = fleet.syncs["e1"].make_update(messages.ConfigRequest(0))
    result = _publish_to_entries(fleet)
    fleet.log.down = True
    fleet.restart("a0")
    for _ in range(2):
        fleet.syncs["a0"].apply_update(old)
    assert _revision(fleet, "a0") == 1
    _request_from(fleet, "e0")
    fleet.syncs["a0"].apply_update(old)
    assert _revision(fleet, "a0") == 2
    return [result]


Scenario = Callable[[Fleet], Results]

STEPS = ("append", "acknowledge", "read", "fold")


def scenario(fault: str, step: str) -> Scenario:
    """Returns the scenario function of a cell."""
    outcomes: Scenario = globals()[f"{step}_{fault}".replace(" ", "_")]
    return outcomes
