"""Guards G1, G3 and G4 on real processes that are killed, frozen or cut off."""

import signal

import pytest

from apricottrestle_standins import fleet
from tests import process_harness as harness

pytestmark = pytest.mark.process

_PROMPT_TOKENS = 700
_MAX_TOKENS = 120


def test_killed_entry_is_replaced_by_the_other() -> None:
    """The caller must get the rest of its answer, from the same run."""
    with harness.running_fleet(harness.Size()) as run:
        prompt = harness.make_prompt(_PROMPT_TOKENS, _MAX_TOKENS)
        stream = harness.Stream(harness.entry_urls(run), prompt)
        stream.wait_tokens(10)
        run.nodes["entry-0"].process.send(signal.SIGKILL)
        answer = stream.answer()
        assert answer.outcome == "ok", answer
        assert answer.resumes >= 1
        rows = harness.runs(run, _PROMPT_TOKENS)
        assert sum(map(len, rows.values())) == 1


def test_killed_engine_is_replaced_without_the_caller_noticing() -> None:
    with harness.running_fleet(harness.Size()) as run:
        prompt = harness.make_prompt(_PROMPT_TOKENS, _MAX_TOKENS)
        stream = harness.Stream(harness.entry_urls(run), prompt)
        stream.wait_tokens(10)
        victim = harness.engine_of(run, _PROMPT_TOKENS)
        run.nodes[victim].process.send(signal.SIGKILL)
        answer = stream.answer()
        assert answer.outcome == "ok", answer
        assert answer.resumes == 0
        other = harness.engine_of(run, _PROMPT_TOKENS)
        (row,) = harness.runs(run, _PROMPT_TOKENS)[other]
        assert row["forced_tokens"] >= 10
        assert row["end"] == "finished"


def test_killed_agent_is_replaced_and_its_memory_freed() -> None:
    with harness.running_fleet(harness.Size()) as run:
        prompt = harness.make_prompt(_PROMPT_TOKENS, _MAX_TOKENS)
        stream = harness.Stream(harness.entry_urls(run), prompt)
        stream.wait_tokens(10)
        engine = harness.engine_of(run, _PROMPT_TOKENS)
        agent = engine.replace("engine", "agent")
        run.nodes[agent].process.send(signal.SIGKILL)
        answer = stream.answer()
        assert answer.outcome == "ok", answer
        fleet.wait_for(
            lambda: harness.blocks_used(run) == 0, "all memory is free"
        )


def test_thawed_agent_runs_no_call_whose_time_is_over() -> None:
    """A call that is told not_run or unknown must not run after the thaw."""
    with harness.running_fleet(
        harness.Size(engines=0, services=1, entries=1)
    ) as run:
        url = run.nodes["entry-0"].url
        late, next_key = harness.issue_key(url), harness.issue_key(url)
        agent = run.nodes["caller-0"]
        agent.process.send(signal.SIGSTOP)
        try:
            answer = harness.call_once(url, late, b"late", time_limit_ms=1500)
        finally:
            agent.process.send(signal.SIGCONT)
        assert harness.outcome(answer) in ("not_run", "unknown")
        fleet.wait_for(agent.ready, "the agent answers again")
        fleet.wait_for(
            lambda: (
                harness.outcome(harness.call_once(url, next_key, b"next"))
                == "completed"
            ),
            "a call completes after the thaw",
        )
        again = harness.call_once(url, late, b"late")
        assert harness.outcome(again) in ("not_run", "unknown")
        assert len(run.ledger("service-0")) == 1


def test_agent_frozen_mid_stream_does_not_mix_into_the_answer() -> None:
    """Tokens of the frozen attempt come late; they must be dropped."""
    with harness.running_fleet(harness.Size()) as run:
        prompt = harness.make_prompt(_PROMPT_TOKENS, 300)
        stream = harness.Stream(harness.entry_urls(run), prompt)
        stream.wait_tokens(10)
        engine = harness.engine_of(run, _PROMPT_TOKENS)
        agent = run.nodes[engine.replace("engine", "agent")]
        agent.process.send(signal.SIGSTOP)
        seen = stream.received
        try:
            stream.wait_tokens(seen + 20)
        finally:
            agent.process.send(signal.SIGCONT)
        answer = stream.answer()
        assert answer.outcome == "ok", answer
        fleet.wait_for(
            lambda: harness.blocks_used(run) == 0, "all memory is free"
        )


def test_silent_connection_is_replaced() -> None:
    """The entry must re-attach over a new connection, not run it anew."""
    with harness.running_fleet(harness.Size(engines=1, entries=0)) as run:
        _put_relay_before(run, "agent-0")
        run.start_entry("entry-0", harness.DATA_CENTRE)
        run.wait_ready()
        harness.wait_serving(run)
        prompt = harness.make_prompt(_PROMPT_TOKENS, 300)
        stream = harness.Stream(harness.entry_urls(run), prompt)
        stream.wait_tokens(10)
        run.faults("relay-faults", silence=True)
        answer = stream.answer()
        assert answer.outcome == "ok", answer
        assert run.ledger("relay-faults")["silent"] >= 1
        (rows,) = harness.runs(run, _PROMPT_TOKENS).values()
        assert len(rows) == 1


def _put_relay_before(run: fleet.Fleet, agent: str) -> None:
    """Makes the instance list show the relay's address as the agent's."""
    listed = run.nodes["instances"].url + "/instances?after=0"
    (row,) = fleet.wait_for(
        lambda: [
            one
            for one in fleet.call("GET", listed).json()["rows"]
            if one["id"] == agent
        ],
        f"{agent} is listed",
    )
    port, faults_port = fleet.free_ports(2)
    target = int(row["control"].rpartition(":")[2])
    relay = run.start_relay(port, target, faults_port)
    assert relay.url
    row["control"] = f"{fleet.HOST}:{port}"
    run.faults("instances", wrong_rows=[row])
