"""Matrix cells of requests at the entry: G1, G3, G4 and G5.

Each cell advances a request to a step, injects the fault and runs on. The
checks use the ledgers of the fake agents and independently computed answers.
"""

from typing import Final

import pytest

from apricottrestle import call_keys, entry_events
from tests import matrix_table
from tests import test_entry_fakes as fakes
from tests import test_entry_scenarios as scenarios
from tests import test_entry_world as worlds

Cell = matrix_table.Cell

_TEST_BY_GUARANTEE: Final = (
    ("G1", "test_request_ends_in_time"),
    ("G3", "test_answer_is_complete"),
    ("G4", "test_reported_outcome_is_true"),
    ("G5", "test_planned_stop_interrupts_nothing"),
)
_KILL_IS_UNPLANNED: Final = (
    "a killed agent does not stop as planned; G3 covers it"
)
_NO_RECORD: Final = "generations write no log records"
_CALL_STEPS: Final = (
    "accept",
    "queue",
    "dispatch",
    "start",
    "acknowledge",
    "clean up",
)


def _make_cell(guarantee: str, fault: str, step: str, function: str) -> Cell:
    if guarantee == "G5" and fault == "kill":
        return Cell(guarantee, fault, step, "impossible", _KILL_IS_UNPLANNED)
    return Cell(guarantee, fault, step, "proved", function)


CELLS: Final = (
    *(
        _make_cell(guarantee, fault, step, function)
        for guarantee, function in _TEST_BY_GUARANTEE
        for fault in scenarios.FAULTS
        for step in scenarios.STEPS
    ),
    *(
        Cell(
            "G4",
            "log records past retention",
            step,
            "proved",
            "test_expired_log_records_give_unknown",
        )
        for step in _CALL_STEPS
    ),
    *(
        Cell(
            guarantee,
            "log records past retention",
            step,
            "impossible",
            _NO_RECORD,
        )
        for guarantee in ("G1", "G3", "G5")
        for step in scenarios.STEPS
    ),
)
LIMIT_S: Final = 8.0
SETTLE_S: Final = 20.0


@pytest.mark.parametrize(
    "cell", matrix_table.proved_params(CELLS, "test_request_ends_in_time")
)
def test_request_ends_in_time(cell: Cell) -> None:
    """Every caller must get an end in time, even when engines hang."""
    world = worlds.World()
    caller = scenarios.reach(world, cell.step, limit_s=LIMIT_S)
    started = world.now
    if caller is None and cell.step == "accept":
        scenarios.inject(world, cell.fault, list(world.agents))
        world.run(1.0)
    if caller is None:
        started = world.now
        caller = world.entry.generate(limit_s=LIMIT_S)
    if cell.step != "accept":
        scenarios.inject(world, cell.fault, list(world.agents))
    for agent in world.agents.values():
        agent.generation_paused = True
    world.run(max(0.0, started + LIMIT_S + 0.3 - world.now))
    assert len(caller.ends) == 1
    assert not world.entry.tables.requests
    assert not world.entry.tables.callers


@pytest.mark.parametrize(
    "cell", matrix_table.proved_params(CELLS, "test_answer_is_complete")
)
def test_answer_is_complete(cell: Cell) -> None:
    """A fault must not lose, repeat or mix up tokens."""
    world = worlds.World()
    other = world.entry.generate(b"other words")
    caller = scenarios.reach(world, cell.step)
    victims = scenarios.serving_agents(world, caller)
    scenarios.inject(world, cell.fault, victims)
    if caller is None:
        caller = world.entry.generate()
    world.run(SETTLE_S)
    worlds.check_complete_answer(caller)
    worlds.check_complete_answer(other)
    assert not world.entry.tables.requests
    if cell.step == "acknowledge" and cell.fault != "kill":
        again = world.entry.resume(caller)
        world.run(SETTLE_S)
        assert again.tokens == []
        worlds.check_complete_answer(again)


def _check_outcomes(world: worlds.World, callers: list[worlds.Caller]) -> None:
    ran = world.ran()
    assert len(ran) == len(set(ran))
    starts = {req_id for req_id, _ in world.starts()}
    for caller in callers:
        assert len(caller.ends) == 1
        if caller.error is None or caller.error.outcome != "not_run":
            continue
        assert caller.key not in ran
        assert caller.req_id not in starts


def _advance_call(
    world: worlds.World, step: str, owner: fakes.FakeAgent, key: str
) -> worlds.Caller | None:
    """Advances a keyed call to a step.

    For the token steps of a generation the call waits for its result. Returns
    None for the steps before a call is accepted.
    """
    if step in ("accept", "admit"):
        return None
    if step in ("queue", "dispatch"):
        owner.frozen = True
    elif step in ("start", "first token", "mid-stream", "last token"):
        owner.withhold_results = True
    caller = world.entry.call(key, limit_s=LIMIT_S)
    if step == "clean up":
        world.run(1.0)
    if owner.frozen:
        owner.unfreeze()
    return caller


@pytest.mark.parametrize(
    "cell", matrix_table.proved_params(CELLS, "test_reported_outcome_is_true")
)
def test_reported_outcome_is_true(cell: Cell) -> None:
    """Requests reported as not_run must not run; no call may run twice."""
    world = worlds.World(engines=2, services=2)
    key = world.entry.issue_key()
    owner = world.agents[call_keys.parse(key, fakes.SECRET).agent_id]
    caller = scenarios.reach(world, cell.step, limit_s=LIMIT_S)
    call = _advance_call(world, cell.step, owner, key)
    scenarios.inject(world, cell.fault, list(world.agents))
    owner.withhold_results = False
    caller = caller or world.entry.generate(limit_s=LIMIT_S)
    call = call or world.entry.call(key, limit_s=LIMIT_S)
    again = world.entry.call(key, limit_s=LIMIT_S)
    world.run(SETTLE_S)
    for agent in world.agents.values():
        agent.alive = True
    last = world.entry.call(key, limit_s=LIMIT_S)
    world.run(SETTLE_S)
    _check_outcomes(world, [caller, call, again, last])
    assert not world.entry.tables.calls


@pytest.mark.parametrize(
    "cell",
    matrix_table.proved_params(CELLS, "test_expired_log_records_give_unknown"),
)
def test_expired_log_records_give_unknown(cell: Cell) -> None:
    """A log that lacks the records of a key must not lead to not_run."""
    world = worlds.World(engines=0, services=2)
    key = world.entry.issue_key()
    owner = world.agents[call_keys.parse(key, fakes.SECRET).agent_id]
    call = _advance_call(world, cell.step, owner, key)
    stream = f"calls/{owner.agent_id}"
    for _ in range(3):
        world.log.store_record(stream, "other", "[]")
    world.log.first[stream] = len(world.log.streams[stream])
    owner.alive = False
    calls = [call] if call else []
    calls.append(world.entry.call(key, limit_s=LIMIT_S))
    world.run(SETTLE_S)
    _check_outcomes(world, calls)
    last = calls[-1].error
    assert last is not None
    assert last.outcome == "unknown"


@pytest.mark.parametrize(
    "cell",
    matrix_table.proved_params(CELLS, "test_planned_stop_interrupts_nothing"),
)
def test_planned_stop_interrupts_nothing(cell: Cell) -> None:
    """A draining agent must get no new work and interrupt no request."""
    world = worlds.World()
    caller = scenarios.reach(world, cell.step)
    leaving = world.agents[scenarios.serving_agents(world, caller)[0]]
    name = world.entry.tables.identity.instance_id
    for conn, agent_id in list(world.entry.conns.items()):
        if agent_id == leaving.agent_id:
            leaving.drain((name, conn))
    stopped = world.now
    scenarios.inject(world, cell.fault, [leaving.agent_id])
    callers = [caller or world.entry.generate()]
    leaving.hand_back_streams()
    world.run(max(0.0, stopped + 3.0 - world.now))
    before = len(leaving.submits)
    for index in range(6):
        callers.append(world.entry.generate(b"new %d" % index))
        world.run(0.5)
    world.run(SETTLE_S)
    for each in callers:
        worlds.check_complete_answer(each)
    assert len(leaving.submits) == before


@pytest.mark.parametrize("step", scenarios.STEPS)
def test_stopping_entry_hands_over_its_streams(step: str) -> None:
    """A planned stop of the entry must not break a stream at any step."""
    world = worlds.World(entries=2, grace_s=0.2)
    caller = scenarios.reach(world, step)
    world.entries[0].post(entry_events.StartDrain())
    if caller is None:
        refused = world.entries[0].generate()
        assert refused.error is not None
        assert refused.error.outcome == "not_run"
        caller = world.entries[1].generate()
    world.run(3.0)
    if isinstance(caller.ends[0], entry_events.Reconnect):
        caller.event_id = caller.ends[0].event_id
        caller = world.entries[1].resume(caller)
        world.run(3.0)
    worlds.check_complete_answer(caller)
    assert len({req for req, _ in world.starts()}) == 1
