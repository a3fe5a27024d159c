"""Faults at the steps of a release note's path, one function for each.

A scenario publishes note N (or several) with a fault at its step and returns
the operators' verdicts; the test then checks every process.
"""

from collections.abc import Callable

import pytest

from apricottrestle import messages, release_publish
from tests import fake_log, notes, release_fleet

N = notes.share_note("n", 1, 5.0)
_STREAM = release_fleet.STREAM

Fleet = release_fleet.Fleet
Results = list[tuple[str, release_publish.PublishResult]]


class KilledError(Exception):
    """The operator's command is killed."""


def _kill() -> None:
    raise KilledError


def _publish(
    fleet: Fleet, text: str = N, planned: Callable[[], None] | None = None
) -> tuple[str, release_publish.PublishResult]:
    return text, fleet.publish(text, planned=planned)[0]


def _store(fleet: Fleet, note_id: str, base: int) -> None:
    text = notes.share_note(note_id, base, 9.0)
    fleet.log.store(_STREAM, note_id, text)


def _verdict(result: tuple[str, release_publish.PublishResult]) -> str:
    return result[1].verdict


def _stored(fleet: Fleet) -> int:
    return sum(rec.record_id == "n" for rec in fleet.log.streams[_STREAM])


# Append: the record reaches the log.


def append_kill(fleet: Fleet) -> Results:
    fleet.log.before_append = _kill
    with pytest.raises(KilledError):
        _publish(fleet)
    assert _stored(fleet) == 0
    again = _publish(fleet)
    assert _verdict(again) == "accepted"
    return [again]


def append_freeze(fleet: Fleet) -> Results:
    fleet.log.before_append = lambda: _store(fleet, "o", 1)
    result = _publish(fleet)
    assert _verdict(result) == "rejected"
    return [result]


def append_silent(fleet: Fleet) -> Results:
    fleet.log.faults = [fake_log.NEVER]
    first = _publish(fleet)
    assert _verdict(first) == "unknown"
    again = _publish(fleet)
    assert _verdict(again) == "accepted"
    return [first, again]


def append_late(fleet: Fleet) -> Results:
    fleet.log.faults = [fake_log.LATE]
    first = _publish(fleet)
    other = _publish(fleet, notes.share_note("o", 1, 3.0))
    fleet.log.deliver_late()
    again = _publish(fleet)
    verdicts = [_verdict(item) for item in (first, other, again)]
    assert verdicts == ["unknown", "accepted", "rejected"]
    return [first, other, again]


def append_duplicated(fleet: Fleet) -> Results:
    fleet.log.after_append = lambda: void(fleet.log.store(_STREAM, "n", N))
    result = _publish(fleet)
    assert _stored(fleet) == 2
    assert result[1].offset == 2
    return [result]


def append_swapped(fleet: Fleet) -> Results:
    """The note that builds on N is stored before it."""
    _store(fleet, "o", 2)
    fleet.log.store(_STREAM, "n", N)
    result = _publish(fleet)
    assert result[1].offset == 3
    return [result]


def append_lost_answer(fleet: Fleet) -> Results:
    fleet.log.faults = [fake_log.STORED]
    result = _publish(fleet)
    assert _verdict(result) == "accepted"
    return [result]


def append_log_down(fleet: Fleet) -> Results:
    fleet.log.down = True
    _publish(fleet)
    assert _stored(fleet) == 0
    fleet.log.down = False
    again = _publish(fleet)
    assert _verdict(again) == "accepted"
    return [again]


def append_retention(fleet: Fleet) -> Results:
    fleet.age()
    assert fleet.log.first[_STREAM] > 1
    result = _publish(fleet)
    assert _verdict(result) == "accepted"
    return [result]


def append_racing(fleet: Fleet) -> Results:
    texts = (N, notes.share_note("o", 1, 3.0))
    results = fleet.publish(*texts)
    verdicts = sorted(result.verdict for result in results)
    assert verdicts == ["accepted", "rejected"]
    return list(zip(texts, results, strict=True))


def append_two(fleet: Fleet) -> Results:
    """Operators race, and both answers are lost."""
    fleet.log.faults = [fake_log.STORED, fake_log.STORED]
    return append_racing(fleet)


# Acknowledge: the operator learns what became of the note.


def ack_kill(fleet: Fleet) -> Results:
    fleet.log.after_append = _kill
    with pytest.raises(KilledError):
        _publish(fleet)
    again = _publish(fleet)
    assert (_verdict(again), again[1].offset) == ("accepted", 2)
    assert _stored(fleet) == 1
    return [again]


def ack_freeze(fleet: Fleet) -> Results:
    """Others build on N before the frozen operator reads it back."""

    def others() -> None:
        _store(fleet, "o", 2)
        _store(fleet, "p", 3)

    fleet.log.after_append = others
    result = _publish(fleet)
    assert (_verdict(result), result[1].offset) == ("accepted", 2)
    return [result]


def ack_silent(fleet: Fleet) -> Results:
    fleet.log.faults = [fake_log.STORED]
    fleet.log.after_append = lambda: setattr(fleet.log, "reads_down", True)
    first = _publish(fleet)
    assert _verdict(first) == "unknown"
    fleet.log.reads_down = False
    again = _publish(fleet)
    assert (_verdict(again), again[1].offset) == ("accepted", 2)
    return [first, again]


def ack_late(fleet: Fleet) -> Results:
    fleet.log.faults = [fake_log.LATE]
    result = _publish(fleet, planned=fleet.log.deliver_late)
    assert _verdict(result) == "accepted"
    return [result]


def ack_log_down(fleet: Fleet) -> Results:
    fleet.log.after_append = lambda: setattr(fleet.log, "down", True)
    first = _publish(fleet)
    assert (_verdict(first), first[1].offset) == ("unknown", 2)
    fleet.log.down = False
    again = _publish(fleet)
    assert (_verdict(again), again[1].offset) == ("accepted", 2)
    return [first, again]


def ack_retention(fleet: Fleet) -> Results:
    """N can't be compared any more; it must not be called rejected."""
    fleet.log.faults = [fake_log.STORED]
    fleet.log.after_append = lambda: setattr(fleet.log, "reads_down", True)
    first = _publish(fleet)
    fleet.log.reads_down = False
    fleet.age()
    assert fleet.log.first[_STREAM] > 2
    again = _publish(fleet)
    assert _verdict(again) == "unknown"
    assert "was accepted" in again[1].problems[0]
    assert _stored(fleet) == 1
    return [first, again]


def ack_racing(fleet: Fleet) -> Results:
    """Two operators publish the same file."""
    results = fleet.publish(N, N)
    found = [(result.verdict, result.offset) for result in results]
    assert found == [("accepted", 2), ("accepted", 2)]
    return [(N, result) for result in results]


def ack_two(fleet: Fleet) -> Results:
    """The answer is lost and the log goes down."""
    fleet.log.faults = [fake_log.STORED]
    fleet.log.after_append = lambda: setattr(fleet.log, "down", True)
    first = _publish(fleet)
    assert (_verdict(first), first[1].offset) == ("unknown", 0)
    fleet.log.down = False
    again = _publish(fleet)
    assert (_verdict(again), again[1].offset) == ("accepted", 2)
    return [first, again]


# Read: an entry reads the stream.


def _read_page(fleet: Fleet, name: str, limit: int = 1) -> None:
    sync = fleet.syncs[name]
    answer = fleet.log.read_now(_STREAM, sync.read_after, limit)
    sync.apply_records(answer)


def read_kill(fleet: Fleet) -> Results:
    result = _publish(fleet)
    fleet.restart("e0")
    _read_page(fleet, "e0")
    assert fleet.syncs["e0"].revision == 1
    fleet.restart("e0")
    assert not fleet.syncs["e0"].ready
    return [result]


def read_freeze(fleet: Fleet) -> Results:
    """The frozen entry thaws after the notes that it missed are gone."""
    fleet.frozen.add("e0")
    result = _publish(fleet)
    fleet.age()
    fleet.frozen.clear()
    assert fleet.log.first[_STREAM] > fleet.syncs["e0"].read_after + 1
    fleet.poll("e0")
    assert fleet.syncs["e0"].revision == 2
    return [result]


def read_silent(fleet: Fleet) -> Results:
    result = _publish(fleet)
    fleet.log.read_faults = [True, True]
    fleet.poll("e0")
    fleet.poll("e0")
    assert fleet.syncs["e0"].revision == 1
    fleet.poll("e0")
    assert fleet.syncs["e0"].revision == 2
    return [result]


def read_late(fleet: Fleet) -> Results:
    old = fleet.log.read_now(_STREAM, 0, 1)
    result = _publish(fleet)
    fleet.poll("e0")
    fleet.syncs["e0"].apply_records(old)
    assert fleet.syncs["e0"].revision == 2
    return [result]


def read_duplicated(fleet: Fleet) -> Results:
    result = _publish(fleet)
    answer = fleet.log.read_now(_STREAM, 1, 9)
    fleet.syncs["e0"].apply_records(answer)
    fleet.syncs["e0"].apply_records(answer)
    assert fleet.syncs["e0"].revision == 2
    return [result]


def read_swapped(fleet: Fleet) -> Results:
    """Two reads from the same offset are answered in the wrong order."""
    result = _publish(fleet)
    older = fleet.log.read_now(_STREAM, 1, 9)
    _store(fleet, "o", 2)
    newer = fleet.log.read_now(_STREAM, 1, 9)
    fleet.syncs["e0"].apply_records(newer)
    fleet.syncs["e0"].apply_records(older)
    assert fleet.syncs["e0"].revision == 3
    return [result]


def read_lost_answer(fleet: Fleet) -> Results:
    result = _publish(fleet)
    fleet.log.max_answer = 1
    _store(fleet, "o", 2)
    fleet.log.read_faults = [False, True]
    fleet.poll("e0")
    assert fleet.syncs["e0"].revision == 2
    fleet.poll("e0")
    assert fleet.syncs["e0"].revision == 3
    return [result]


def read_log_down(fleet: Fleet) -> Results:
    """N is on the log, but no entry has read it; an entry restarts."""
    result = _publish(fleet)
    fleet.log.down = True
    fleet.restart("e0")
    fleet.poll("e0")
    assert not fleet.syncs["e0"].ready
    fleet.gossip()
    assert fleet.syncs["e0"].ready
    assert fleet.syncs["e0"].revision == 1
    return [result]


def read_retention(fleet: Fleet) -> Results:
    result = _publish(fleet)
    fleet.age()
    fleet.restart("e0")
    fleet.poll("e0")
    assert fleet.log.first[_STREAM] > 2
    assert (fleet.syncs["e0"].ready, fleet.syncs["e0"].revision) == (True, 2)
    return [result]


def read_racing(fleet: Fleet) -> Results:
    """Operators race while an entry is between two pages."""
    fleet.restart("e0")
    _read_page(fleet, "e0")
    results = append_racing(fleet)
    _read_page(fleet, "e0")
    _read_page(fleet, "e0")
    assert fleet.syncs["e0"].position == 3
    return results


def read_two(fleet: Fleet) -> Results:
    """All entries restart while the log is down; the agents know."""
    result = _publish(fleet)
    fleet.settle()
    fleet.log.down = True
    for name in fleet.entries:
        fleet.restart(name)
    fleet.gossip()
    assert [fleet.syncs[name].revision for name in fleet.entries] == [2, 2]
    return [result]


# Fold: processes fold what they read or were sent.


def _at_entries(fleet: Fleet) -> tuple[str, release_publish.PublishResult]:
    """N is folded by the entries, not by the agents yet."""
    result = _publish(fleet)
    for name in fleet.entries:
        fleet.poll(name)
    return result


def _newer(fleet: Fleet) -> None:
    _store(fleet, "o", 2)
    fleet.poll("e0")
    fleet.ask("a0", "e0")


def fold_kill(fleet: Fleet) -> Results:
    result = _at_entries(fleet)
    fleet.ask("a0", "e0")
    fleet.restart("a0")
    assert fleet.syncs["a0"].revision == 0
    fleet.ask("a0", "e0")
    fleet.deliver(0)
    assert fleet.syncs["a0"].revision == 2
    return [result]


def fold_freeze(fleet: Fleet) -> Results:
    """A frozen agent finds an old update behind a new one."""
    result = _at_entries(fleet)
    fleet.ask("a0", "e0")
    _newer(fleet)
    fleet.deliver(1)
    fleet.deliver(0)
    assert fleet.syncs["a0"].revision == 3
    return [result]


def fold_silent(fleet: Fleet) -> Results:
    """Nothing arrives from one entry; the other one is enough."""
    result = _at_entries(fleet)
    fleet.ask("a0", "e0")
    fleet.in_flight.clear()
    fleet.ask("a0", "e1")
    fleet.deliver(0)
    assert fleet.syncs["a0"].revision == 2
    return [result]


def fold_late(fleet: Fleet) -> Results:
    """A snapshot asked for at the start arrives after newer notes."""
    result = _at_entries(fleet)
    request = messages.ConfigRequest(0)
    late = fleet.syncs["e1"].answer(request)
    _newer(fleet)
    fleet.deliver(0)
    fleet.syncs["a0"].apply_update(late)
    assert fleet.syncs["a0"].revision == 3
    return [result]


def fold_duplicated(fleet: Fleet) -> Results:
    result = _at_entries(fleet)
    fleet.ask("a0", "e0")
    fleet.deliver(0, keep=True)
    state = fleet.syncs["a0"].state
    fleet.deliver(0)
    assert fleet.syncs["a0"].state is state
    return [result]


def fold_swapped(fleet: Fleet) -> Results:
    result = _at_entries(fleet)
    fleet.ask("a0", "e0")
    fleet.deliver(0)
    fleet.restart("a1")
    fleet.ask("a1", "a0")
    _newer(fleet)
    fleet.ask("a1", "e0")
    fleet.deliver(2)
    fleet.deliver(0)
    assert fleet.syncs["a1"].revision == 3
    return [result]


def fold_lost_answer(fleet: Fleet) -> Results:
    result = _at_entries(fleet)
    fleet.ask("a0", "e0")
    fleet.in_flight.clear()
    assert fleet.syncs["a0"].revision == 1
    fleet.ask("a0", "e0")
    fleet.deliver(0)
    assert fleet.syncs["a0"].revision == 2
    return [result]


def fold_log_down(fleet: Fleet) -> Results:
    """One entry has read N before the outage; the others get it from peers."""
    result = _publish(fleet)
    fleet.poll("e0")
    fleet.log.down = True
    fleet.gossip()
    assert {sync.revision for sync in fleet.syncs.values()} == {2}
    return [result]


def fold_retention(fleet: Fleet) -> Results:
    """A new entry folds a snapshot and the notes after it."""
    first = _publish(fleet)
    fleet.age()
    text = notes.share_note("o", 2, 6.0)
    second = _publish(fleet, text)
    fleet.restart("e1")
    fleet.poll("e1")
    assert fleet.syncs["e1"].revision == second[1].offset
    return [first, second]


def fold_wrong_list(fleet: Fleet) -> Results:
    """The list shows an agent to one entry only, and another one to none."""
    result = _at_entries(fleet)
    fleet.ask("a0", "e1")
    fleet.deliver(0)
    assert fleet.syncs["a0"].revision == 2
    assert fleet.syncs["a1"].revision == 1
    return [result]


def fold_racing(fleet: Fleet) -> Results:
    """Entries read the racing notes in different pages."""
    results = append_racing(fleet)
    _read_page(fleet, "e0")
    _read_page(fleet, "e0")
    _read_page(fleet, "e1", 2)
    assert fleet.syncs["e0"].state == fleet.syncs["e1"].state
    return results


def fold_two(fleet: Fleet) -> Results:
    """An agent restarts during an outage and gets an old state twice."""
    old = fleet.syncs["e1"].answer(messages.ConfigRequest(0))
    result = _at_entries(fleet)
    fleet.log.down = True
    fleet.restart("a0")
    for update in (old, old):
        fleet.syncs["a0"].apply_update(update)
    assert fleet.syncs["a0"].revision == 1
    fleet.ask("a0", "e0")
    fleet.deliver(0)
    fleet.syncs["a0"].apply_update(old)
    assert fleet.syncs["a0"].revision == 2
    return [result]


def void(_: object) -> None:
    """Turns an expression into a plan."""


Scenario = Callable[[Fleet], Results]

STEPS = ("append", "acknowledge", "read", "fold")

SCENARIOS: dict[str, tuple[Scenario | None, ...]] = {
    "kill": (append_kill, ack_kill, read_kill, fold_kill),
    "freeze and thaw": (append_freeze, ack_freeze, read_freeze, fold_freeze),
    "silent connection": (append_silent, ack_silent, read_silent, fold_silent),
    "message late": (append_late, ack_late, read_late, fold_late),
    "message duplicated": (
        append_duplicated,
        None,
        read_duplicated,
        fold_duplicated,
    ),
    "messages swapped": (append_swapped, None, read_swapped, fold_swapped),
    "answer lost after effect": (
        append_lost_answer,
        ack_silent,
        read_lost_answer,
        fold_lost_answer,
    ),
    "log down or slow": (
        append_log_down,
        ack_log_down,
        read_log_down,
        fold_log_down,
    ),
    "log records past retention": (
        append_retention,
        ack_retention,
        read_retention,
        fold_retention,
    ),
    "instance list late or wrong": (None, None, None, fold_wrong_list),
    "operators racing": (append_racing, ack_racing, read_racing, fold_racing),
    "two faults at once": (append_two, ack_two, read_two, fold_two),
}
"""Scenarios by fault, in the order of STEPS; None where there is none."""
