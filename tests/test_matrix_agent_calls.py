"""Matrix cells of non-idempotent calls: G4 at the agent.

Each cell brings a call with an issued key to a step, applies the fault, and
then repeats and queries the key, on this agent and on its successor. The
service's ledger of side effects decides.
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


class _Play:
    """A call with an issued key, under way on a service agent."""

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
        """Keeps what callers were told of the key."""
        self.results += [
            msg
            for msg in self.world.of(messages.CallResult)
            if msg.outcome != "running"
        ]
        self.world.sent.clear()

    def outcomes(self) -> set[str]:
        return {result.outcome for result in self.results}


def _at_queue(play: _Play) -> None:
    """Waits for the service, whose slots are taken."""
    world = play.world
    world.tables.params = world.tables.params._replace(slots=0)
    play.submit()
    world.run(0.6)
    world.tables.params = world.tables.params._replace(slots=64)


def _at_dispatch(play: _Play) -> None:
    """The intent is being appended."""
    play.submit()
    play.world.tick()


def _at_start(play: _Play) -> None:
    play.world.service.mode = "hold"
    play.submit()
    play.world.until(lambda: play.world.service.effects)


def _at_mid_stream(play: _Play) -> None:
    """The service has taken the call, and its answer is under way."""
    _at_start(play)
    play.world.run(1)
    play.world.inbox.extend(play.world.service.held)
    play.world.service.held.clear()


def _at_acknowledge(play: _Play) -> None:
    play.submit()
    play.world.until(lambda: play.world.of(messages.CallResult))


def _at_clean_up(play: _Play) -> None:
    """The key has been forgotten."""
    _at_acknowledge(play)
    play.world.run(agent_calls.KEY_MEMORY_S + 5)


_REACH: Final[dict[str, Callable[[_Play], None]]] = {
    "accept": _Play.submit,
    "queue": _at_queue,
    "dispatch": _at_dispatch,
    "start": _at_start,
    "mid-stream": _at_mid_stream,
    "acknowledge": _at_acknowledge,
    "clean up": _at_clean_up,
}


def _ask_log(play: _Play) -> None:
    """An entry refuses the key on the log and tells what the log proves."""
    log = play.world.log
    log.refuse(call_log.key_id(play.issued))
    verdict = call_log.outcome(log.records, play.issued, log.first)
    play.results.append(
        messages.CallResult("log", play.key, verdict.outcome, 0, [], "log")
    )


def _kill(play: _Play) -> None:
    """The agent dies, and an entry asks the log."""
    old = play.world
    play.collect()
    _ask_log(play)
    play.world = worlds.World(
        "service",
        incarnation="inc2",
        log=old.log,
        service=old.service,
        now=old.now + 2,
    ).ready()
    # The successor issues the same sequence number.
    worlds.issue_key(play.world)


def _freeze(play: _Play) -> None:
    play.world.freeze(60)


def _silence(play: _Play) -> None:
    play.world.pinging.clear()


def _late(play: _Play) -> None:
    play.world.run(20)
    play.submit()


def _duplicate(play: _Play) -> None:
    play.world.duplicate = True
    play.submit()
    play.submit("c2")


def _swap(play: _Play) -> None:
    """A query overtakes its submit."""
    play.world.swap = True
    play.submit("c2")
    play.world.frame(messages.CallQuery("q1", play.key))


def _lose_answers(play: _Play) -> None:
    play.world.log.loses_answers = True
    play.world.service.mode = "lose_answer"


def _log_down(play: _Play) -> None:
    play.world.log.down = True


def _log_slow(play: _Play) -> None:
    """Two faults: the log stops answering, and the agent then freezes."""
    play.world.mute |= {agent_events.AppendCalls, agent_events.ReadCalls}
    play.world.run(2)
    play.world.freeze(10)


def _cut_log(play: _Play) -> None:
    """An entry refuses the key, and retention drops the records."""
    _ask_log(play)
    play.world.log.cut()


_INJECT: Final[dict[str, Callable[[_Play], None]]] = {
    "kill": _kill,
    "freeze and thaw": _freeze,
    "silent connection": _silence,
    "message late": _late,
    "message duplicated": _duplicate,
    "messages swapped": _swap,
    "answer lost after effect": _lose_answers,
    "log down or slow": _log_down,
    "log records past retention": _cut_log,
    "two faults at once": _log_slow,
}


CELLS: Final = tuple(
    Cell("G4", fault, step, "proved", "test_call_runs_at_most_once")
    for fault in _INJECT
    for step in _REACH
)


def _repeat(play: _Play) -> None:
    """The key is asked for and submitted again, with all faults gone."""
    world = play.world
    world.run(10)
    world.log.down = world.log.loses_answers = False
    world.service.mode = "answer"
    world.mute.clear()
    world.inbox.extend(world.service.held)
    world.service.held.clear()
    for req_id in ("c3", "c4"):
        world.connect(worlds.ENTRY, "entry-1")
        world.frame(messages.CallQuery("q2", play.key))
        play.submit(req_id)
        world.run(15)
    play.collect()


@pytest.mark.parametrize("logged", [True, False], ids=["logged", "unlogged"])
@pytest.mark.parametrize(
    "cell", matrix_table.proved_params(CELLS, "test_call_runs_at_most_once")
)
def test_call_runs_at_most_once(cell: Cell, logged: bool) -> None:
    """Fails on a second side effect, or one after the word `not_run`."""
    play = _Play(logged=logged)
    _REACH[cell.step](play)
    _INJECT[cell.fault](play)
    _repeat(play)
    effects = len(play.world.service.effects)
    assert effects <= 1
    assert play.results, "nobody was told an outcome"
    if "not_run" in play.outcomes():
        assert effects == 0
        assert "completed" not in play.outcomes()
    if "completed" in play.outcomes():
        assert effects == 1


def test_refusal_on_the_log_before_the_intent_wins() -> None:
    """Fails when the agent doesn't read the stream before the run."""
    play = _Play(logged=True)
    play.world.log.refuse(call_log.key_id(play.issued))
    play.submit()
    play.world.run(5)
    play.collect()
    assert play.world.service.effects == []
    assert [r.reason for r in play.results] == ["refused_on_log"]


def test_log_failure_leads_to_unlogged_keys_that_run() -> None:
    """Fails when calls can't be made while the log is down."""
    play = _Play(logged=True)
    play.world.log.down = True
    play.submit()
    play.world.run(3)
    play.collect()
    assert play.outcomes() == {"not_run"}
    key = worlds.issue_key(play.world)
    assert not call_keys.parse(key, worlds.SECRET).logged
    play.world.frame(worlds.call("c9", key))
    play.world.until(lambda: play.world.of(messages.CallResult))
    assert play.world.of(messages.CallResult)[0].outcome == "completed"
    assert len(play.world.service.effects) == 1


def test_unreachable_service_proves_not_run() -> None:
    """Fails when a refused connection is reported as unknown."""
    play = _Play(logged=True)
    play.world.service.mode = "unreachable"
    play.submit()
    play.world.run(3)
    play.collect()
    assert play.outcomes() == {"not_run"}


def test_late_answer_is_recorded_after_the_deadline() -> None:
    """Fails when the log lacks the result of a call that was not cut."""
    play = _Play(logged=True)
    _at_start(play)
    play.world.run(6)
    play.collect()
    assert play.outcomes() == {"unknown"}
    play.world.inbox.extend(play.world.service.held)
    play.world.run(3)
    log = play.world.log
    verdict = call_log.outcome(log.records, play.issued, log.first)
    assert verdict.outcome == "completed"


def test_not_repeatable_call_without_key_is_refused() -> None:
    """Fails when a call that needs a key runs without one."""
    world = worlds.World("service").ready()
    world.frame(worlds.call("c1", ""))
    world.run(2)
    assert world.of(messages.CallResult)[0].reason == "key_required"
    assert world.service.effects == []


def test_refused_repeatable_call_stays_refused() -> None:
    """Fails when a late duplicate runs a call that was called not run."""
    world = worlds.World("service").ready()
    late = worlds.call("c1", "", method="GET", remaining_ms=0)
    world.frame(late)
    world.run(1)
    world.frame(late._replace(remaining_ms=5_000))
    world.run(2)
    outcomes = [msg.outcome for msg in world.of(messages.CallResult)]
    assert outcomes == ["not_run", "not_run"]
    assert world.service.effects == []
