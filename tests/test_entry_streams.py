"""Tests of generations: retries, resume, late messages, limits, groups."""

from collections.abc import Callable

import pytest

from apricottrestle import entry_events, entry_tables, messages
from tests import test_entry_fakes as fakes
from tests import test_entry_world as worlds


def _start_stream(count: int = 10) -> tuple[worlds.World, worlds.Caller]:
    """Returns a stream of which `count` tokens have been delivered."""
    world = worlds.World()
    caller = world.entry.generate()
    world.run_until(lambda: len(caller.tokens) >= count)
    return world, caller


@pytest.mark.parametrize(
    "fault", ["fail_streams", "hand_back_streams", "kill", "restart"]
)
def test_stream_continues_on_another_agent(fault: str) -> None:
    """A failed or drained upstream must not cause lost or repeated tokens."""
    world, caller = _start_stream()
    agent = world.agent_of(caller)
    if fault == "kill":
        agent.alive = False
    else:
        getattr(agent, fault)()
    world.run_until(lambda: bool(caller.ends))
    worlds.check_complete_answer(caller)
    assert sorted(attempt for _, attempt in world.starts()) == [1, 2]


def test_lost_peer_is_noticed_within_about_four_seconds() -> None:
    """A stream must be retried soon after its agent has died."""
    world, caller = _start_stream()
    world.agent_of(caller).alive = False
    died = world.now
    world.run_until(lambda: len(world.starts()) == 2)
    assert world.now - died <= 4.5


def test_silent_connection_is_replaced_without_a_new_attempt() -> None:
    """A dead TCP connection must not be taken for a dead agent."""
    world, caller = _start_stream()
    world.silence(world.agent_of(caller).agent_id)
    world.run_until(lambda: bool(caller.ends))
    worlds.check_complete_answer(caller)
    assert len(world.starts()) == 1


@pytest.mark.parametrize(
    ("reason", "code"),
    [("queue_full", "overloaded"), ("draining", "no_upstream")],
)
def test_request_refused_by_all_agents_is_not_run(
    reason: str, code: str
) -> None:
    """Such a request must fail as not run, within a few seconds."""
    world = worlds.World()
    for agent in world.agents.values():
        agent.refusal_reason = reason
        agent.draining = reason == "draining"
    caller = world.entry.generate()
    world.run(8.0)
    assert caller.error is not None
    assert (caller.error.code, caller.error.outcome) == (code, "not_run")
    assert world.starts() == []


def test_retries_end_after_three_failures() -> None:
    """A request that crashes engines must not be retried without limit."""
    world = worlds.World(engines=5)
    caller = world.entry.generate()
    while not caller.ends:
        world.run(fakes.DT_S)
        for agent in world.agents.values():
            agent.fail_streams()
    assert caller.error is not None
    assert caller.error.code == "attempts_exhausted"
    assert caller.error.outcome == "unknown"
    assert len(world.starts()) == entry_tables.MAX_FAILED_ATTEMPTS


def test_retry_budget_bounds_the_load_of_a_failing_fleet() -> None:
    """The retries of many failing requests must not triple the load."""
    world = worlds.World(engines=2)
    callers = [world.entry.generate(b"p%d" % i) for i in range(100)]
    for _ in range(20):
        world.run(fakes.DT_S)
        for agent in world.agents.values():
            agent.fail_streams()
    assert all(caller.ends for caller in callers)
    codes = {caller.error.code for caller in callers if caller.error}
    assert "retry_budget_exhausted" in codes
    assert len(world.starts()) <= 100 + 30 + 10 + 5


@pytest.mark.parametrize("gone_entry", [True, False])
@pytest.mark.parametrize("gone_agent", [True, False])
def test_resumed_caller_gets_exactly_the_rest(
    gone_entry: bool, gone_agent: bool
) -> None:
    """A caller that resumes must get exactly the missing tokens."""
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
    resumed = target.resume(caller, max_tokens=40)
    world.run_until(lambda: bool(resumed.ends))
    worlds.check_complete_answer(resumed, 40)
    assert resumed.offset == len(caller.tokens)
    is_rerun = gone_agent
    assert len(world.starts()) == (2 if is_rerun else 1)


def test_resume_of_another_answer_is_an_error() -> None:
    """A rerun that differs from the delivered tokens must not continue them."""
    world = worlds.World(entries=2)
    caller = world.entry.generate()
    world.run_until(lambda: len(caller.tokens) >= 10)
    caller.body = b"another prompt"
    world.agent_of(caller).alive = False
    world.entry.frozen = True
    resumed = world.entries[1].resume(caller)
    world.run(10.0)
    assert resumed.tokens == []
    assert resumed.error is not None
    assert resumed.error.code == "answer_mismatch"


def test_resume_with_a_wrong_digest_on_the_same_entry_is_refused() -> None:
    """A stream must not be resumed with the event id of another one."""
    world, caller = _start_stream()
    head, _, _ = caller.event_id.rpartition(".")
    caller.event_id = f"{head}.{'0' * 16}"
    resumed = world.entry.resume(caller)
    assert resumed.error is not None
    assert resumed.error.code == "resume_mismatch"


def test_caller_gone_cancels_after_the_resume_window() -> None:
    """An abandoned stream must run until the window ends, and no longer."""
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
    """Only streams can be resumed; other answers must be cancelled at once."""
    world = worlds.World(kv_tokens=1_000_000)
    caller = world.entry.generate(stream=False, max_tokens=5000, limit_s=200.0)
    world.run(1.0)
    agent = world.agent_of(caller)
    caller.leave()
    assert not agent.streams


def test_caller_that_does_not_read_stalls_and_ends() -> None:
    """A stalled caller must get a bounded number of tokens, for 30 s only."""
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


def _wrong_count(msg: messages.Message) -> messages.Message:
    if isinstance(msg, messages.Finished):
        return msg._replace(total_tokens=msg.total_tokens - 1)
    return msg


def _wrong_token(msg: messages.Message) -> messages.Message:
    if isinstance(msg, messages.Tokens) and msg.offset == 10:
        return msg._replace(
            tokens=[fakes.expected_token(b"other", 10), *msg.tokens[1:]]
        )
    return msg


@pytest.mark.parametrize("change", [_wrong_digest, _wrong_count, _wrong_token])
def test_wrong_answer_is_an_error(
    change: Callable[[messages.Message], messages.Message],
) -> None:
    """An answer with a wrong token, count or digest must end in an error."""
    world = worlds.World()
    world.frame_filter = lambda msg: [(0.0, change(msg))]
    caller = world.entry.generate()
    world.run(5.0)
    assert not caller.complete
    assert caller.error is not None
    assert caller.error.code == "answer_mismatch"


@pytest.mark.parametrize("engines", [2, 3])
def test_group_prompt_reserves_in_order_and_releases(engines: int) -> None:
    """A prompt too large for one engine must reserve and release a group."""
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
    """The leases of 10 s must not expire during a longer attempt."""
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
    """An incomplete group must not keep memory reserved."""
    world = worlds.World(engines=2)
    world.agents["a1"].refusal_reason = "no_memory"
    caller = world.entry.generate(prompt_tokens=1500, limit_s=20.0)
    world.run(1.0)
    assert world.agents["a1"].reserve_requests
    assert not world.agents["a0"].reserved
    world.run(20.0)
    assert caller.error is not None
    assert caller.error.outcome == "not_run"
    assert not world.agents["a0"].reserved


def test_group_refused_once_is_reserved_again() -> None:
    """Agents refuse released group ids, so a retry needs a new one."""
    world = worlds.World(engines=2)
    world.agents["a1"].refusal_reason = "no_memory"
    caller = world.entry.generate(prompt_tokens=1500)
    world.run(1.0)
    world.agents["a1"].refusal_reason = ""
    world.run_until(lambda: bool(caller.ends), 10.0)
    worlds.check_complete_answer(caller)


def test_waiting_request_starts_soon_after_an_engine_is_ready() -> None:
    """A waiting request must not depend on the next regular ping."""
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
    """An attempt must end when one of its members is lost."""
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


def test_two_groups_for_the_same_engines_do_not_deadlock() -> None:
    """Reserving in ascending order must let one of two groups proceed."""
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
            agent.refusal_reason = "no_memory" if agent.reserved else ""
            original(conn, msg, body)
            agent.refusal_reason = ""

        agent.on_reserve = one_at_a_time  # type: ignore[method-assign]
    callers = [
        entry.generate(b"p%d" % index, prompt_tokens=1500)
        for index, entry in enumerate(world.entries)
    ]
    world.run_until(lambda: all(caller.ends for caller in callers))
    for caller in callers:
        worlds.check_complete_answer(caller)


def test_large_prompt_travels_in_chunks_within_the_credits() -> None:
    """A prompt over the inline size must reach the engine complete."""
    world = worlds.World()
    body = bytes(range(256)) * 5000
    caller = world.entry.generate(body, prompt_tokens=100)
    world.run_until(lambda: bool(caller.ends))
    worlds.check_complete_answer(caller)
    assert caller.tokens == fakes.expected_tokens(body, 20)


def test_upload_cut_by_a_silent_connection_starts_again() -> None:
    """A request must not hang when chunks are lost with a connection."""
    world = worlds.World()
    world.entry.post()
    body = bytes(range(256)) * 5000
    credits_to_lose = {"left": 1}

    def lose_credits(
        msg: messages.Message,
    ) -> list[tuple[float, messages.Message]]:
        if isinstance(msg, messages.BodyCredit) and credits_to_lose["left"]:
            credits_to_lose["left"] -= 1
            return []
        return [(0.0, msg)]

    world.frame_filter = lose_credits
    caller = world.entry.generate(body, prompt_tokens=100)
    world.run(0.3)
    world.silence(world.agent_of(caller).agent_id)
    world.run_until(lambda: bool(caller.ends))
    worlds.check_complete_answer(caller)


def test_drained_entry_tells_long_streams_to_resume_elsewhere() -> None:
    """A planned stop of an entry must not break off a stream."""
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
    resumed = world.entries[1].resume(caller, max_tokens=400)
    world.run_until(lambda: bool(resumed.ends))
    worlds.check_complete_answer(resumed, 400)
    assert len(world.starts()) == 1


def test_new_request_waits_for_its_version() -> None:
    """Requests must not fail while engines still change their version."""
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
    """Each decision must be logged, but never the prompt."""
    world, caller = _start_stream()
    world.agent_of(caller).fail_streams()
    world.run(1.0)
    routes = [d for d in world.entry.decisions if d.kind == "route"]
    assert [d.fields["attempt"] for d in routes] == [1, 2]
    assert all(caller.body.decode() not in str(d) for d in routes)


def test_ended_requests_leave_audit_rows() -> None:
    """Each request must have one audit row, however it ends."""
    world, caller = _start_stream()
    world.run_until(lambda: bool(caller.ends))
    for agent in world.agents.values():
        agent.generation_paused = True
    late = world.entry.generate(limit_s=1.0)
    world.run(2.0)
    assert late.error is not None
    batch = world.entry.tables.audit.take_batch()
    assert batch is not None
    rows = [(row.outcome, row.tokens, row.config_rev) for row in batch.rows]
    assert rows == [("completed", 20, 1), ("unknown", 0, 1)]


def test_drained_entry_hands_over_a_request_that_has_not_started() -> None:
    """A request without an agent must not be lost when the grace ends."""
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
    resumed = world.entries[1].resume(caller)
    world.run_until(lambda: bool(resumed.ends))
    worlds.check_complete_answer(resumed)
