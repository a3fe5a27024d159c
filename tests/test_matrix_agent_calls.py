"""Matrix cells of non-idempotent calls: G4 at the agent.

Each cell advances a call with an issued key to a step, injects the fault, and
then repeats and queries the key, on this agent or its successor. The checks use
the service's ledger of side effects.
"""

from collections.abc import Callable
from typing import Any, Final

import pytest

from apricottrestle import (
    agent_calls,
    agent_events,
    call_keys,
    call_log,
    messages,
)
from tests import matrix_table
from tests import test_agent_world as worlds

Cell = matrix_table.Cell


class _KeyedCall:
    """A service agent, and a call to it with an issued key."""

    def __init__(self, *, logged: bool) -> None:
        self.world = worlds.World("service").ready()
        if not logged:
            self.world.log.down = True
            self.world.run(12)
        self.key = worlds.issue_key(self.world)
        self.issued = call_keys.parse(self.key, worlds.SECRET)
        assert self.issued.logged == logged
        self.results: list[messages.CallResult] = []

    def submit(self, req_id: str = "c1", **changes: Any) -> None:
        self.world.frame(worlds.call(req_id, self.key, **changes), b"x")

    def collect(self) -> None:
        """Records the results that were sent for the key."""
        self.results += [
            msg
            for msg in self.world.messages_of(messages.CallResult)
            if msg.outcome != "running"
        ]
        self.world.sent.clear()

    def outcomes(self) -> set[str]:
        return {result.outcome for result in self.results}


def _at_queue(keyed_call: _KeyedCall) -> None:
    """The call is queued because the service has no free slot."""
    world = keyed_call.world
    world.tables.params = world.tables.params._replace(slots=0)
    keyed_call.submit()
    world.run(0.6)
    world.tables.params = world.tables.params._replace(slots=64)


def _at_dispatch(keyed_call: _KeyedCall) -> None:
    """The agent is appending the intent to its call stream."""
    keyed_call.submit()
    keyed_call.world.tick()


def _at_start(keyed_call: _KeyedCall) -> None:
    keyed_call.world.service.mode = "hold"
    keyed_call.submit()
    keyed_call.world.until(lambda: keyed_call.world.service.effects)


def _at_mid_stream(keyed_call: _KeyedCall) -> None:
    """The service has run the call, and its answer is in transit."""
    _at_start(keyed_call)
    keyed_call.world.run(1)
    keyed_call.world.inbox.extend(keyed_call.world.service.held_answers)
    keyed_call.world.service.held_answers.clear()


def _at_acknowledge(keyed_call: _KeyedCall) -> None:
    keyed_call.submit()
    keyed_call.world.until(
        lambda: keyed_call.world.messages_of(messages.CallResult)
    )


def _at_clean_up(keyed_call: _KeyedCall) -> None:
    """The agent has dropped the key after its retention period."""
    _at_acknowledge(keyed_call)
    keyed_call.world.run(agent_calls.KEY_RETENTION_S + 5)


_ADVANCE_TO_STEP: Final[dict[str, Callable[[_KeyedCall], None]]] = {
    "accept": _KeyedCall.submit,
    "queue": _at_queue,
    "dispatch": _at_dispatch,
    "start": _at_start,
    "mid-stream": _at_mid_stream,
    "acknowledge": _at_acknowledge,
    "clean up": _at_clean_up,
}


def _refuse_key_on_log(keyed_call: _KeyedCall) -> None:
    """An entry appends a refusal of the key and reports the log's outcome."""
    log = keyed_call.world.log
    log.append_refusal(call_log.key_id(keyed_call.issued))
    verdict = call_log.key_outcome(log.records, keyed_call.issued, log.first)
    keyed_call.results.append(
        messages.CallResult(
            "log", keyed_call.key, verdict.outcome, 0, [], "log"
        )
    )


def _kill(keyed_call: _KeyedCall) -> None:
    """The agent dies, and an entry refuses the key on the log."""
    old = keyed_call.world
    keyed_call.collect()
    _refuse_key_on_log(keyed_call)
    keyed_call.world = worlds.World(
        "service",
        incarnation="inc2",
        log=old.log,
        service=old.service,
        now=old.now + 2,
    ).ready()
    # The successor issues the same sequence number.
    worlds.issue_key(keyed_call.world)


def _freeze(keyed_call: _KeyedCall) -> None:
    keyed_call.world.freeze(60)


def _silence(keyed_call: _KeyedCall) -> None:
    keyed_call.world.pinging_entries.clear()


def _submit_late(keyed_call: _KeyedCall) -> None:
    keyed_call.world.run(20)
    keyed_call.submit()


def _duplicate(keyed_call: _KeyedCall) -> None:
    keyed_call.world.duplicate_frames = True
    keyed_call.submit()
    keyed_call.submit("c2")


def _reorder(keyed_call: _KeyedCall) -> None:
    """A query is handled before the submit that was sent earlier."""
    keyed_call.world.reverse_frames = True
    keyed_call.submit("c2")
    keyed_call.world.frame(messages.CallQuery("q1", keyed_call.key))


def _lose_answers(keyed_call: _KeyedCall) -> None:
    keyed_call.world.log.loses_answers = True
    keyed_call.world.service.mode = "lose_answer"


def _log_down(keyed_call: _KeyedCall) -> None:
    keyed_call.world.log.down = True


def _log_stops_then_freeze(keyed_call: _KeyedCall) -> None:
    """The log stops answering, and then the agent freezes."""
    keyed_call.world.unanswered_commands |= {
        agent_events.AppendCalls,
        agent_events.ReadCalls,
    }
    keyed_call.world.run(2)
    keyed_call.world.freeze(10)


def _expire_log(keyed_call: _KeyedCall) -> None:
    """An entry refuses the key on the log, and the log's records expire."""
    _refuse_key_on_log(keyed_call)
    keyed_call.world.log.expire_records()


_INJECT_FAULT: Final[dict[str, Callable[[_KeyedCall], None]]] = {
    "kill": _kill,
    "freeze and thaw": _freeze,
    "silent connection": _silence,
    "message late": _submit_late,
    "message duplicated": _duplicate,
    "messages swapped": _reorder,
    "answer lost after effect": _lose_answers,
    "log down or slow": _log_down,
    "log records past retention": _expire_log,
    "two faults at once": _log_stops_then_freeze,
}


CELLS: Final = tuple(
    Cell("G4", fault, step, "proved", "test_call_runs_at_most_once")
    for fault in _INJECT_FAULT
    for step in _ADVANCE_TO_STEP
)


def _repeat_call(keyed_call: _KeyedCall) -> None:
    """Ends all faults, then queries and submits the key again."""
    world = keyed_call.world
    world.run(10)
    world.log.down = world.log.loses_answers = False
    world.service.mode = "answer"
    world.unanswered_commands.clear()
    world.inbox.extend(world.service.held_answers)
    world.service.held_answers.clear()
    for req_id in ("c3", "c4"):
        world.connect(worlds.ENTRY, "entry-1")
        world.frame(messages.CallQuery("q2", keyed_call.key))
        keyed_call.submit(req_id)
        world.run(15)
    keyed_call.collect()


@pytest.mark.parametrize("logged", [True, False], ids=["logged", "unlogged"])
@pytest.mark.parametrize(
    "cell", matrix_table.proved_params(CELLS, "test_call_runs_at_most_once")
)
def test_call_runs_at_most_once(cell: Cell, logged: bool) -> None:
    """Fails on a second side effect, or on one of a call reported not_run."""
    keyed_call = _KeyedCall(logged=logged)
    _ADVANCE_TO_STEP[cell.step](keyed_call)
    _INJECT_FAULT[cell.fault](keyed_call)
    _repeat_call(keyed_call)
    effects = len(keyed_call.world.service.effects)
    assert effects <= 1
    assert keyed_call.results, "no outcome was reported"
    if "not_run" in keyed_call.outcomes():
        assert effects == 0
        assert "completed" not in keyed_call.outcomes()
    if "completed" in keyed_call.outcomes():
        assert effects == 1


def test_refusal_on_the_log_before_the_intent_wins() -> None:
    """Fails when the agent doesn't read its call stream before the run."""
    keyed_call = _KeyedCall(logged=True)
    keyed_call.world.log.append_refusal(call_log.key_id(keyed_call.issued))
    keyed_call.submit()
    keyed_call.world.run(5)
    keyed_call.collect()
    assert keyed_call.world.service.effects == []
    assert [r.reason for r in keyed_call.results] == ["refused_on_log"]


def test_log_failure_leads_to_unlogged_keys_that_run() -> None:
    """Fails when calls can't be made while the log is down."""
    keyed_call = _KeyedCall(logged=True)
    keyed_call.world.log.down = True
    keyed_call.submit()
    keyed_call.world.run(3)
    keyed_call.collect()
    assert keyed_call.outcomes() == {"not_run"}
    key = worlds.issue_key(keyed_call.world)
    assert not call_keys.parse(key, worlds.SECRET).logged
    keyed_call.world.frame(worlds.call("c9", key))
    keyed_call.world.until(
        lambda: keyed_call.world.messages_of(messages.CallResult)
    )
    assert (
        keyed_call.world.messages_of(messages.CallResult)[0].outcome
        == "completed"
    )
    assert len(keyed_call.world.service.effects) == 1


def test_unreachable_service_proves_not_run() -> None:
    """Fails when a refused connection is reported as unknown."""
    keyed_call = _KeyedCall(logged=True)
    keyed_call.world.service.mode = "unreachable"
    keyed_call.submit()
    keyed_call.world.run(3)
    keyed_call.collect()
    assert keyed_call.outcomes() == {"not_run"}


def test_late_answer_is_recorded_after_the_deadline() -> None:
    """Fails when a result after the deadline isn't appended to the log."""
    keyed_call = _KeyedCall(logged=True)
    _at_start(keyed_call)
    keyed_call.world.run(6)
    keyed_call.collect()
    assert keyed_call.outcomes() == {"unknown"}
    keyed_call.world.inbox.extend(keyed_call.world.service.held_answers)
    keyed_call.world.run(3)
    log = keyed_call.world.log
    verdict = call_log.key_outcome(log.records, keyed_call.issued, log.first)
    assert verdict.outcome == "completed"


def test_not_repeatable_call_without_key_is_refused() -> None:
    """Fails when a call that needs a key runs without one."""
    world = worlds.World("service").ready()
    world.frame(worlds.call("c1", ""))
    world.run(2)
    assert world.messages_of(messages.CallResult)[0].reason == "key_required"
    assert world.service.effects == []


def test_refused_repeatable_call_stays_refused() -> None:
    """Fails when a late duplicate runs a call that was reported not_run."""
    world = worlds.World("service").ready()
    late = worlds.call("c1", "", method="GET", remaining_ms=0)
    world.frame(late)
    world.run(1)
    world.frame(late._replace(remaining_ms=5_000))
    world.run(2)
    outcomes = [msg.outcome for msg in world.messages_of(messages.CallResult)]
    assert outcomes == ["not_run", "not_run"]
    assert world.service.effects == []
