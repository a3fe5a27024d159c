"""Guards generations: retries, resume, late messages, limits, groups."""

from collections.abc import Callable

import pytest

from apricottrestle import entry_events, entry_tables, messages
from tests import test_entry_fakes as fakes
from tests import test_entry_world as worlds


def _mid(count: int = 10) -> tuple[worlds.World, worlds.Caller]:
    world = worlds.World()
    caller = world.entry.generate()
    world.run_until(lambda: len(caller.tokens) >= count)
    return world, caller


@pytest.mark.parametrize("harm", ["fail", "move", "kill", "restart"])
def test_stream_continues_elsewhere(harm: str) -> None:
    """An upstream that dies or leaves must not cost a token or repeat one."""
    world, caller = _mid()
    agent = world.agent_of(caller)
    if harm == "kill":
        agent.alive = False
    else:
        getattr(agent, harm)()
    world.run_until(lambda: bool(caller.ends))
    worlds.check_complete_answer(caller)
    assert sorted(attempt for _, attempt in world.starts()) == [1, 2]


def test_lost_peer_is_noticed_within_about_four_seconds() -> None:
    """Streams must not wait longer for an agent that died."""
    world, caller = _mid()
    world.agent_of(caller).alive = False
    died = world.now
    world.run_until(lambda: len(world.starts()) == 2)
    assert world.now - died <= 4.5


def test_silent_connection_is_replaced_without_a_new_attempt() -> None:
    """A dead TCP connection must not look like a dead agent."""
    world, caller = _mid()
    world.silence(world.agent_of(caller).agent_id)
    world.run_until(lambda: bool(caller.ends))
    worlds.check_complete_answer(caller)
    assert len(world.starts()) == 1


@pytest.mark.parametrize(
    ("reason", "code"),
    [("queue_full", "overloaded"), ("draining", "no_upstream")],
)
def test_refused_everywhere_is_not_run(reason: str, code: str) -> None:
    """Refusals must be told as not run, and within a few seconds."""
    world = worlds.World()
    for agent in world.agents.values():
        agent.refuse = reason
        agent.draining = reason == "draining"
    caller = world.entry.generate()
    world.run(8.0)
    assert caller.error is not None
    assert (caller.error.code, caller.error.outcome) == (code, "not_run")
    assert world.starts() == []


def test_retries_end_after_three_failures() -> None:
    """A request that kills engines must not be tried for ever."""
    world = worlds.World(engines=5)
    caller = world.entry.generate()
    while not caller.ends:
        world.run(fakes.DT_S)
        for agent in world.agents.values():
            agent.fail()
    assert caller.error is not None
    assert caller.error.code == "attempts_exhausted"
    assert caller.error.outcome == "unknown"
    assert len(world.starts()) == entry_tables.MAX_FAILED_ATTEMPTS


def test_retry_budget_bounds_the_load_of_a_failing_fleet() -> None:
    """Many failing requests must not triple the load."""
    world = worlds.World(engines=2)
    callers = [world.entry.generate(b"p%d" % i) for i in range(100)]
    for _ in range(20):
        world.run(fakes.DT_S)
        for agent in world.agents.values():
            agent.fail()
    assert all(caller.ends for caller in callers)
    codes = {caller.error.code for caller in callers if caller.error}
    assert "retry_budget_exhausted" in codes
    assert len(world.starts()) <= 100 + 30 + 10 + 5


@pytest.mark.parametrize("gone_entry", [True, False])
@pytest.mark.parametrize("gone_agent", [True, False])
def test_caller_resumes(gone_entry: bool, gone_agent: bool) -> None:
    """A caller that lost its connection must get exactly the rest."""
    world = worlds.World(entries=2)
    caller = world.entries[0].generate(max_tokens=40)
    world.run_until(lambda: len(caller.tokens) >= 10)
    if gone_agent:
        world.agent_of(caller).alive = False
    if gone_entry:
        world.entries[0].frozen = True
    else:
        caller.leave()
    target = world.entries[1] if gone_entry else world.entries[0]
    again = target.resume(caller, max_tokens=40)
    world.run_until(lambda: bool(again.ends))
    worlds.check_complete_answer(again, 40)
    assert again.offset == len(caller.tokens)
    rerun = gone_agent
    assert len(world.starts()) == (2 if rerun else 1)


def test_resume_of_another_answer_is_an_error() -> None:
    """A rerun that differs from what the caller has must not be joined."""
    world = worlds.World(entries=2)
    caller = world.entry.generate()
    world.run_until(lambda: len(caller.tokens) >= 10)
    caller.body = b"another prompt"
    world.agent_of(caller).alive = False
    world.entry.frozen = True
    again = world.entries[1].resume(caller)
    world.run(10.0)
    assert again.tokens == []
    assert again.error is not None
    assert again.error.code == "answer_mismatch"


def test_resume_with_a_wrong_digest_on_the_same_entry_is_refused() -> None:
    """Another stream's event id must not continue this one."""
    world, caller = _mid()
    head, _, _ = caller.event_id.rpartition(".")
    caller.event_id = f"{head}.{'0' * 16}"
    again = world.entry.resume(caller)
    assert again.error is not None
    assert again.error.code == "resume_mismatch"


def test_caller_gone_cancels_after_the_resume_window() -> None:
    """An engine must not work for nobody, nor stop before the window ends."""
    world = worlds.World(kv_tokens=1_000_000)
    caller = world.entry.generate(max_tokens=5000, limit_s=200.0)
    world.run(1.0)
    agent = world.agent_of(caller)
    caller.leave()
    world.run(entry_tables.RESUME_WINDOW_S - 0.5)
    assert agent.streams
    world.run(1.0)
    assert not agent.streams
    assert not world.entry.tables.requests


def test_caller_gone_without_stream_cancels_at_once() -> None:
    """Nobody can resume a whole answer, so its engine must stop at once."""
    world = worlds.World(kv_tokens=1_000_000)
    caller = world.entry.generate(stream=False, max_tokens=5000, limit_s=200.0)
    world.run(1.0)
    agent = world.agent_of(caller)
    caller.leave()
    assert not agent.streams


def test_caller_that_does_not_read_stalls_and_ends() -> None:
    """A stalled caller must hold a bounded number of tokens, for 30 s."""
    world = worlds.World(kv_tokens=1_000_000)
    for agent in world.agents.values():
        agent.tokens_per_tick = 500
    caller = world.entry.generate(max_tokens=100_000, limit_s=3000.0)
    caller.reading = False
    world.run(entry_tables.CALLER_STALL_TIMEOUT_S - 1.0)
    assert len(caller.tokens) == entry_tables.CREDIT_WINDOW_TOKENS
    assert not caller.ends
    world.run(2.0)
    assert caller.error is not None
    assert caller.error.code == "caller_stalled"
    assert not any(agent.streams for agent in world.agents.values())


def _wrong_digest(msg: messages.Message) -> messages.Message:
    if isinstance(msg, messages.Finished):
        return msg._replace(digest="0" * 16)
    return msg


def _short(msg: messages.Message) -> messages.Message:
    if isinstance(msg, messages.Finished):
        return msg._replace(total_tokens=msg.total_tokens - 1)
    return msg


def _wrong_token(msg: messages.Message) -> messages.Message:
    if isinstance(msg, messages.Tokens) and msg.offset == 10:
        return msg._replace(tokens=[fakes.token(b"other", 10), *msg.tokens[1:]])
    return msg


@pytest.mark.parametrize("change", [_wrong_digest, _short, _wrong_token])
def test_wrong_answer_is_an_error(
    change: Callable[[messages.Message], messages.Message],
) -> None:
    """An answer that fails the check must never end as a success."""
    world = worlds.World()
    world.frame_filter = lambda msg: [(0.0, change(msg))]
    caller = world.entry.generate()
    world.run(5.0)
    assert not caller.complete
    assert caller.error is not None
    assert caller.error.code == "answer_mismatch"


@pytest.mark.parametrize("engines", [2, 3])
def test_group_prompt_reserves_in_order_and_releases(engines: int) -> None:
    """A prompt over one engine's memory needs all members, and frees them."""
    world = worlds.World(engines=engines)
    tokens = 900 * engines
    caller = world.entry.generate(prompt_tokens=tokens)
    agents = sorted(world.agents.values(), key=lambda a: a.agent_id)
    assert all(agent.reserved for agent in agents)
    leader = world.agent_of(caller)
    assert leader is agents[0]
    world.run_until(lambda: bool(caller.ends))
    worlds.check_complete_answer(caller)
    assert len(world.starts()) == 1
    assert not any(agent.reserved for agent in agents)


def test_group_is_renewed_while_it_runs() -> None:
    """A lease of 10 s must not lapse under a longer run."""
    world = worlds.World(engines=2)
    caller = world.entry.generate(prompt_tokens=1500, max_tokens=400)
    world.run(8.0)
    renewals = [
        send
        for send in world.entry.sent
        if isinstance(send.msg, messages.Renew)
    ]
    assert len(renewals) == 4
    assert not caller.ends


def test_refusing_member_releases_the_others() -> None:
    """A group that is not complete must hold no memory."""
    world = worlds.World(engines=2)
    world.agents["a1"].refuse = "no_memory"
    caller = world.entry.generate(prompt_tokens=1500, limit_s=20.0)
    world.run(1.0)
    assert world.agents["a1"].log_of_reserves
    assert not world.agents["a0"].reserved
    world.run(20.0)
    assert caller.error is not None
    assert caller.error.outcome == "not_run"
    assert not world.agents["a0"].reserved


def test_group_refused_once_is_reserved_again() -> None:
    """Agents remember released groups, so each try needs an id of its own."""
    world = worlds.World(engines=2)
    world.agents["a1"].refuse = "no_memory"
    caller = world.entry.generate(prompt_tokens=1500)
    world.run(1.0)
    world.agents["a1"].refuse = ""
    world.run_until(lambda: bool(caller.ends), 10.0)
    worlds.check_complete_answer(caller)


def test_waiting_request_learns_soon_that_an_engine_is_ready() -> None:
    """A request must not wait for the next regular ping."""
    world = worlds.World()
    for agent in world.agents.values():
        agent.version = "v0"
    world.run(3.0)
    caller = world.entry.generate()
    world.run(2.0)
    for agent in world.agents.values():
        agent.version = "v1"
    changed = world.now
    world.run_until(lambda: bool(world.starts()))
    assert world.now - changed <= 1.0
    waits = [
        decision
        for decision in world.entry.decisions
        if decision.fields["reason"] == "no_candidate"
    ]
    assert len(waits) == 1
    assert not caller.ends


@pytest.mark.parametrize("member", ["a0", "a1"])
def test_group_member_lost_ends_the_whole_group(member: str) -> None:
    """A run whose memory is partly gone must not go on."""
    world = worlds.World(engines=3)
    caller = world.entry.generate(prompt_tokens=1500, max_tokens=400)
    world.run(1.0)
    names = [name for name, a in world.agents.items() if a.reserved]
    assert member in names or member not in world.agents
    if member in names:
        world.agents[member].alive = False
    world.run_until(lambda: bool(caller.ends), 60.0)
    worlds.check_complete_answer(caller, 400)
    alive = [agent for agent in world.agents.values() if agent.alive]
    assert not any(agent.reserved for agent in alive)


def test_two_groups_cannot_hold_what_the_other_waits_for() -> None:
    """Ascending order must let one of two racing groups through."""
    world = worlds.World(engines=2, entries=2)
    for agent in world.agents.values():
        original = agent.on_reserve

        def one_at_a_time(
            conn: object,
            msg: messages.Reserve,
            body: bytes,
            agent: fakes.FakeAgent = agent,
            original: Callable[..., None] = original,
        ) -> None:
            agent.refuse = "no_memory" if agent.reserved else ""
            original(conn, msg, body)
            agent.refuse = ""

        agent.on_reserve = one_at_a_time  # type: ignore[method-assign]
    callers = [
        entry.generate(b"p%d" % index, prompt_tokens=1500)
        for index, entry in enumerate(world.entries)
    ]
    world.run_until(lambda: all(caller.ends for caller in callers))
    for caller in callers:
        worlds.check_complete_answer(caller)


def test_large_prompt_travels_in_chunks_within_the_credits() -> None:
    """A prompt over the inline size must reach the engine whole."""
    world = worlds.World()
    body = bytes(range(256)) * 5000
    caller = world.entry.generate(body, prompt_tokens=100)
    world.run_until(lambda: bool(caller.ends))
    worlds.check_complete_answer(caller)
    assert caller.tokens == fakes.answer(body, 20)


def test_upload_cut_by_a_silent_connection_starts_again() -> None:
    """Chunks lost with a connection must not hang the request."""
    world = worlds.World()
    world.entry.post()
    body = bytes(range(256)) * 5000
    busy = {"left": 1}

    def lose_credits(
        msg: messages.Message,
    ) -> list[tuple[float, messages.Message]]:
        if isinstance(msg, messages.BodyCredit) and busy["left"]:
            busy["left"] -= 1
            return []
        return [(0.0, msg)]

    world.frame_filter = lose_credits
    caller = world.entry.generate(body, prompt_tokens=100)
    world.run(0.3)
    world.silence(world.agent_of(caller).agent_id)
    world.run_until(lambda: bool(caller.ends))
    worlds.check_complete_answer(caller)


def test_drained_entry_tells_long_streams_to_resume_elsewhere() -> None:
    """A planned stop of an entry must cut no stream."""
    world = worlds.World(entries=2, grace_s=2.0)
    caller = world.entries[0].generate(max_tokens=400)
    world.run(0.5)
    world.entries[0].post(entry_events.StartDrain())
    late = world.entries[0].generate()
    assert late.error is not None
    assert (late.error.code, late.error.outcome) == ("draining", "not_run")
    world.run_until(lambda: bool(caller.ends))
    assert isinstance(caller.ends[0], entry_events.Reconnect)
    assert not world.entries[0].tables.requests
    again = world.entries[1].resume(caller, max_tokens=400)
    world.run_until(lambda: bool(again.ends))
    worlds.check_complete_answer(again, 400)
    assert len(world.starts()) == 1


def test_new_request_waits_for_its_version() -> None:
    """A note that engines have not carried out yet must not fail requests."""
    world = worlds.World()
    for agent in world.agents.values():
        agent.version = "v0"
    world.run(3.0)
    caller = world.entry.generate()
    world.run(1.0)
    assert not caller.ends
    for agent in world.agents.values():
        agent.version = "v1"
    world.run_until(lambda: bool(caller.ends))
    worlds.check_complete_answer(caller)


def test_every_routing_decision_is_logged_without_the_prompt() -> None:
    """Operators must see why; nobody may see the prompt."""
    world, caller = _mid()
    world.agent_of(caller).fail()
    world.run(1.0)
    routes = [d for d in world.entry.decisions if d.kind == "route"]
    assert [d.fields["attempt"] for d in routes] == [1, 2]
    assert all(caller.body.decode() not in str(d) for d in routes)


def test_ended_requests_leave_audit_rows() -> None:
    """Each request must have one row, whatever its end."""
    world, caller = _mid()
    world.run_until(lambda: bool(caller.ends))
    for agent in world.agents.values():
        agent.hold = True
    late = world.entry.generate(limit_s=1.0)
    world.run(2.0)
    assert late.error is not None
    batch = world.entry.tables.audit.take_batch()
    assert batch is not None
    rows = [(row.outcome, row.tokens, row.config_rev) for row in batch.rows]
    assert rows == [("completed", 20, 1), ("unknown", 0, 1)]


def test_drained_entry_hands_over_a_request_that_has_not_started() -> None:
    """A request without an agent at the end of the grace must not be lost."""
    world = worlds.World(entries=2, grace_s=1.0)
    for agent in world.agents.values():
        agent.version = "v0"
    world.run(3.0)
    caller = world.entries[0].generate()
    world.entries[0].post(entry_events.StartDrain())
    world.run_until(lambda: bool(caller.ends))
    for agent in world.agents.values():
        agent.version = "v1"
    caller.event_id = caller.ends[0].event_id
    again = world.entries[1].resume(caller)
    world.run_until(lambda: bool(again.ends))
    worlds.check_complete_answer(again)
