"""Tests of calls to services: at most one run per key, correct outcomes."""

import asyncio
from collections.abc import Callable

import pytest

from apricottrestle import (
    call_keys,
    call_log,
    entry_bindings,
    entry_calls,
    entry_events,
    entry_tables,
    errors,
    messages,
)
from tests import test_entry_fakes as fakes
from tests import test_entry_world as worlds


def _world(services: int = 2, entries: int = 1) -> worlds.World:
    return worlds.World(engines=0, services=services, entries=entries)


def _owner(world: worlds.World, key: str) -> fakes.FakeAgent:
    return world.agents[call_keys.parse(key, fakes.SECRET).agent_id]


def _outcome(caller: worlds.Caller) -> str:
    return caller.error.outcome if caller.error else "completed"


def test_repeated_issued_key_returns_the_first_result() -> None:
    """A repeated key must get the result of the first run, not run again."""
    world = _world()
    key = world.entry.issue_key()
    callers = [world.entry.call(key) for _ in range(3)]
    world.run(1.0)
    assert all(caller.complete for caller in callers)
    assert world.ran() == [key]


def test_chosen_key_is_bound_once_for_two_entries() -> None:
    """Two entries that get the same key from callers must run one call."""
    world = _world(entries=2)
    callers = [entry.call("order-7") for entry in world.entries]
    world.run(1.0)
    assert all(caller.complete for caller in callers)
    assert len(world.ran()) == 1


def test_same_chosen_key_differs_between_teams_and_services() -> None:
    """A key must not return the result of another team's or service's call."""
    spec = entry_events.CallSpec(
        "t", 1, "svc", "POST", "/orders", (), b"", "k", False, 1.0
    )
    names = {
        entry_calls.binding_name(spec),
        entry_calls.binding_name(spec._replace(team="u")),
        entry_calls.binding_name(spec._replace(service="svc2")),
    }
    assert len(names) == 3


@pytest.mark.parametrize("ran", [False, True])
@pytest.mark.parametrize("logged", [False, True])
def test_outcome_at_a_lost_agent_is_what_the_log_proves(
    ran: bool, logged: bool
) -> None:
    """A call of a dead agent is "not_run" only if the log proves it."""
    world = _world()
    for agent in world.agents.values():
        agent.log_available = logged
    key = world.entry.issue_key()
    owner = _owner(world, key)
    if ran:
        owner.withhold_results = True
    else:
        owner.frozen = True
    caller = world.entry.call(key)
    owner.alive = False
    world.run_until(lambda: bool(caller.ends))
    proved = logged and not ran
    assert _outcome(caller) == ("not_run" if proved else "unknown")
    assert world.ran() == ([key] if ran else [])


def test_frozen_agent_does_not_run_a_call_reported_not_run() -> None:
    """A call refused on the log must not run when its agent resumes."""
    world = _world()
    key = world.entry.issue_key()
    owner = _owner(world, key)
    owner.frozen = True
    caller = world.entry.call(key)
    world.run_until(lambda: bool(caller.ends))
    assert _outcome(caller) == "not_run"
    owner.unfreeze()
    world.run(5.0)
    assert world.ran() == []


def test_restarted_agent_never_runs_old_keys() -> None:
    """A key must not run at an incarnation that didn't issue it."""
    world = _world()
    key = world.entry.issue_key()
    _owner(world, key).restart()
    world.run(3.0)
    caller = world.entry.call(key)
    world.run(1.0)
    assert _outcome(caller) == "not_run"
    assert world.ran() == []


def test_completion_on_the_log_is_reported() -> None:
    """A call with a completion on the log must be reported as completed."""
    world = _world()
    key = world.entry.issue_key()
    owner = _owner(world, key)
    owner.withhold_results = True
    caller = world.entry.call(key)
    parsed = call_keys.parse(key, fakes.SECRET)
    name = call_log.key_id(parsed)
    kind = call_log.EntryKind.COMPLETION
    entry = call_log.CallEntry(kind, name, 201)
    world.log.append_entry(f"calls/{owner.agent_id}", entry)
    owner.alive = False
    world.run_until(lambda: bool(caller.ends))
    assert caller.error is not None
    assert (caller.error.code, caller.error.outcome) == (
        "answer_lost",
        "completed",
    )


def test_lost_result_is_fetched_by_a_query() -> None:
    """A result lost on its way must not end in an unknown outcome."""
    world = _world()
    key = world.entry.issue_key()
    owner = _owner(world, key)
    owner.drop_results = True
    caller = world.entry.call(key)
    world.run(1.0)
    owner.drop_results = False
    world.run_until(lambda: bool(caller.ends))
    assert caller.complete
    assert world.ran() == [key]


def test_silent_connection_does_not_run_a_call_twice() -> None:
    """A second submit, on a new connection, must join the first run."""
    world = _world()
    key = world.entry.issue_key()
    owner = _owner(world, key)
    owner.withhold_results = True
    caller = world.entry.call(key)
    world.silence(owner.agent_id)
    world.run(2.0)
    owner.withhold_results = False
    world.run_until(lambda: bool(caller.ends))
    assert caller.complete
    assert world.ran() == [key]


def test_repeatable_call_is_retried_elsewhere() -> None:
    """A repeatable call must survive the loss of its agent."""
    world = _world()
    for agent in world.agents.values():
        agent.withhold_results = True
    caller = world.entry.call(repeatable=True)
    row = next(iter(world.entry.tables.calls.values()))
    world.agents[row.agent_id].alive = False
    for agent in world.agents.values():
        agent.withhold_results = False
    world.run_until(lambda: bool(caller.ends))
    assert caller.complete


@pytest.mark.parametrize("logged", [False, True])
def test_log_outage_offers_an_issued_key(logged: bool) -> None:
    """Without the log a chosen key must not run; the error offers a key."""
    world = _world()
    world.log.down = True
    for agent in world.agents.values():
        agent.log_available = logged
    caller = world.entry.call("order-7")
    world.run(1.0)
    assert caller.error is not None
    assert caller.error.code == "binding_unavailable"
    assert caller.error.outcome == "unknown"
    assert caller.error.status == 503
    assert world.ran() == []
    again = world.entry.call(caller.issued_key)
    world.run(1.0)
    assert again.complete == (not logged)
    assert _outcome(again) == ("not_run" if logged else "completed")


def test_log_outage_does_not_deny_an_earlier_run_of_a_chosen_key() -> None:
    """A key that has run must not be reported as not run in a log outage."""
    world = _world()
    first = world.entry.call("order-7")
    world.run(1.0)
    assert first.complete
    world.log.down = True
    again = world.entry.call("order-7")
    world.run(1.0)
    assert _outcome(again) == "unknown"


def test_binding_with_a_lost_append_reply_is_used() -> None:
    """A stored binding must be used even if the append's reply was lost."""
    world = _world()
    world.log.lose_append_replies = True
    caller = world.entry.call("order-7")
    world.run(1.0)
    assert caller.complete
    world.log.lose_append_replies = False
    again = world.entry.call("order-7")
    world.run(1.0)
    assert again.complete
    assert len(world.ran()) == 1


def test_first_of_two_racing_bindings_wins() -> None:
    """Two entries that found no binding must end up with the same key."""
    world = _world(entries=2)
    keys = [world.entry.issue_key(), world.entry.issue_key()]
    one, two = (entry.bindings for entry in world.entries)
    name = "0" * 64

    async def race() -> list[str]:
        assert await one.find(name) == await two.find(name) == ""
        return [await one.bind(name, keys[0]), await two.bind(name, keys[1])]

    assert asyncio.run(race()) == [keys[0], keys[0]]
    assert asyncio.run(one.find(name)) == keys[0]


def test_bindings_beyond_the_cache_are_found(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A name evicted from the cache must not be bound a second time."""
    monkeypatch.setattr(entry_bindings, "MAX_CACHED_PER_STREAM", 1)
    monkeypatch.setattr(entry_bindings, "STREAM_COUNT", 1)
    world = _world()
    for index in range(6):
        world.entry.call(f"order-{index}")
        world.run(0.2)
    for index in range(6):
        assert world.entry.call(f"order-{index}").complete
    assert len(world.ran()) == 6


@pytest.mark.parametrize(
    "forge",
    [
        lambda key: key[:-1] + ("0" if key[-1] != "0" else "1"),
        lambda key: key.replace("~s", "~x", 1),
        lambda key: "atk1~nonsense",
    ],
)
def test_forged_key_is_refused(forge: Callable[[str], str]) -> None:
    """A caller must not be able to address an agent with a forged key."""
    world = _world()
    caller = world.entry.call(forge(world.entry.issue_key()))
    assert caller.error is not None
    assert caller.error.code == "invalid_idempotency_key"
    assert world.ran() == []


def test_draining_agent_refuses_calls_and_issues_no_keys() -> None:
    """A draining agent must issue no keys, so that it gets no new calls."""
    world = _world(services=2)
    leaving = world.agents["s0"]
    leaving.draining = True
    for _ in range(6):
        key = world.entry.issue_key()
        assert _owner(world, key).agent_id == "s1"


def test_call_ends_at_its_deadline() -> None:
    """A service that doesn't respond must not keep its caller waiting."""
    world = _world()
    for agent in world.agents.values():
        agent.withhold_results = True
    key = world.entry.issue_key()
    caller = world.entry.call(key, limit_s=3.0)
    world.run(3.2)
    assert caller.error is not None
    assert caller.error.code == "deadline_exceeded"
    assert caller.error.outcome == "unknown"


def test_call_of_a_gone_caller_goes_on() -> None:
    """A call must run to its end although its caller has disconnected."""
    world = _world()
    key = world.entry.issue_key()
    owner = _owner(world, key)
    owner.withhold_results = True
    caller = world.entry.call(key)
    caller.leave()
    world.run(1.0)
    owner.withhold_results = False
    world.run(4.0)
    assert world.ran() == [key]
    assert not world.entry.tables.calls


def test_unsent_call_is_not_lost() -> None:
    """A call must not stay open when the transport refuses its submit."""
    world = _world()
    key = world.entry.issue_key()
    owner = _owner(world, key)
    owner.withhold_results = True
    caller = world.entry.call(key)
    sent = world.entry.sent[-1]
    assert isinstance(sent.msg, messages.CallSubmit)
    owner.withhold_results = False
    world.entry.post(entry_events.SendFailed(sent.conn, sent.msg))
    world.run(0.2)
    assert caller.ends


def test_outcome_is_unknown_while_the_log_is_down() -> None:
    """A log that could not be read must not prove a call not run."""
    world = _world()
    key = world.entry.issue_key()
    owner = _owner(world, key)
    owner.frozen = True
    world.log.down = True
    caller = world.entry.call(key)
    world.run(entry_tables.RESOLVE_TIMEOUT_S + 6.0)
    assert _outcome(caller) == "unknown"


def test_records_past_retention_prove_nothing() -> None:
    """A log whose oldest records are gone must not prove a call not run."""
    world = _world()
    key = world.entry.issue_key()
    owner = _owner(world, key)
    owner.frozen = True
    stream = f"calls/{owner.agent_id}"
    kind = call_log.EntryKind.INTENT
    for index in range(3):
        entry = call_log.CallEntry(kind, f"other~{index}")
        world.log.append_entry(stream, entry)
    world.log.first[stream] = 3
    caller = world.entry.call(key)
    world.run_until(lambda: bool(caller.ends))
    assert _outcome(caller) == "unknown"


def test_call_without_an_agent_is_reported_not_run() -> None:
    """A repeatable call without an agent must get a 503 and "not_run"."""
    world = _world(services=0)
    caller = world.entry.call(repeatable=True)
    world.run_until(lambda: bool(caller.ends), 6.0)
    assert isinstance(caller.error, errors.RequestError)
    assert (caller.error.status, caller.error.outcome) == (503, "not_run")


def test_chosen_key_is_read_again_before_it_is_reported_not_run() -> None:
    """An attempt must not be reported as not run after another one ran.

    The other attempt, at a second entry, binds the key while this one waits for
    an agent; only another read of the log shows the binding.
    """
    world = _world(services=1, entries=2)
    owner = world.agents["s0"]
    owner.frozen = True
    early = world.entries[0].call("order-7")
    owner.frozen = False
    late = world.entries[1].call("order-7")
    world.run(0.2)
    assert late.complete
    owner.alive = False
    world.run_until(lambda: bool(early.ends))
    assert _outcome(early) == "unknown"
    untouched = world.entries[0].call("order-8")
    world.run_until(lambda: bool(untouched.ends))
    assert _outcome(untouched) == "not_run"


@pytest.mark.parametrize("key", ["", "order-7", "issued"])
def test_draining_entry_does_not_deny_earlier_attempts(key: str) -> None:
    """A refused call with a key may have run in an earlier attempt."""
    world = _world()
    text = world.entry.issue_key() if key == "issued" else key
    world.entry.post(entry_events.StartDrain())
    caller = world.entry.call(text)
    assert _outcome(caller) == ("unknown" if key else "not_run")


def test_call_waits_for_an_agent_that_is_starting() -> None:
    """A call must not fail while the agent of its service is starting."""
    world = _world(services=1)
    agent = world.agents["s0"]
    agent.upstream = "other"
    world.run(3.0)
    caller = world.entry.call(repeatable=True)
    keyed = world.entry.call("order-7")
    world.run(1.0)
    agent.upstream = "svc"
    world.run_until(lambda: bool(caller.ends and keyed.ends), 4.0)
    assert caller.complete
    assert keyed.complete
    waits = [
        decision
        for decision in world.entry.decisions
        if decision.fields["reason"] == "no_candidate"
    ]
    assert len(waits) == 2


@pytest.mark.parametrize("list_delay_s", [0.0, 1.0, 3.0])
def test_key_of_an_agent_not_yet_listed_waits(list_delay_s: float) -> None:
    """Guards against refusing a new key because the instance list is late.

    The refusal on the log would end the key as not_run.
    """
    world = _world()
    key = world.entry.issue_key()
    late = worlds.Entry(world, "late", 30.0)
    world.entries.append(late)
    caller = late.call(key)
    world.run(list_delay_s)
    late.post(entry_events.InstancesChanged(world.rows()))
    world.run(2.0)
    assert _outcome(caller) == "completed"
    assert caller.complete
    assert world.ran() == [key]
