"""Guards G1, G3 and G4 on real processes that are killed, frozen or cut off."""

import itertools
import signal
from collections.abc import Iterator

import pytest

from apricottrestle_standins import client, fleet
from tests import process_harness as harness

pytestmark = pytest.mark.process

_MAX_TOKENS = 120
_LENGTHS = itertools.count(700)
"""Prompt lengths: the ledgers tell a stream's runs by its length."""


@pytest.fixture(scope="module")
def running() -> Iterator[fleet.Fleet]:
    with harness.running_fleet(harness.Size()) as run:
        yield run


@pytest.fixture
def run(running: fleet.Fleet) -> fleet.Fleet:
    """The module's fleet, with all its processes."""
    harness.restore(running)
    return running


def _start_stream(
    run: fleet.Fleet, max_tokens: int = _MAX_TOKENS
) -> tuple[harness.Stream, int]:
    """Returns a stream that has received 10 tokens, and its prompt length."""
    length = next(_LENGTHS)
    prompt = harness.make_prompt(length, max_tokens)
    stream = harness.Stream(harness.entry_urls(run), prompt)
    stream.wait_tokens(10)
    return stream, length


def _agent_of(run: fleet.Fleet, length: int) -> fleet.Node:
    """Returns the agent whose engine runs the only prompt of a length."""
    engine = harness.engine_of(run, length)
    return run.nodes[engine.replace("engine", "agent")]


def _finish(stream: harness.Stream) -> client.CompletionResult:
    answer = stream.answer()
    assert answer.outcome == "ok", answer
    return answer


def _wait_free(run: fleet.Fleet) -> None:
    fleet.wait_for(lambda: harness.blocks_used(run) == 0, "all memory is free")


def test_killed_entry_is_replaced_by_the_other(run: fleet.Fleet) -> None:
    """The caller must get the rest of its answer, from the same run."""
    stream, length = _start_stream(run)
    run.nodes["entry-0"].process.send_signal(signal.SIGKILL)
    assert _finish(stream).resumes >= 1
    assert sum(map(len, harness.runs(run, length).values())) == 1


def test_killed_engine_is_replaced_without_the_caller_noticing(
    run: fleet.Fleet,
) -> None:
    stream, length = _start_stream(run)
    victim = harness.engine_of(run, length)
    run.nodes[victim].process.send_signal(signal.SIGKILL)
    assert _finish(stream).resumes == 0
    other = harness.engine_of(run, length)
    (row,) = harness.runs(run, length)[other]
    assert row["forced_tokens"] >= 10
    assert row["end"] == "finished"


def test_killed_agent_is_replaced_and_its_memory_freed(
    run: fleet.Fleet,
) -> None:
    stream, length = _start_stream(run)
    _agent_of(run, length).process.send_signal(signal.SIGKILL)
    _finish(stream)
    _wait_free(run)


def test_agent_frozen_mid_stream_does_not_mix_into_the_answer(
    run: fleet.Fleet,
) -> None:
    """Tokens of the frozen attempt come late; they must be dropped."""
    stream, length = _start_stream(run, 300)
    agent = _agent_of(run, length)
    agent.process.send_signal(signal.SIGSTOP)
    seen = stream.received
    try:
        stream.wait_tokens(seen + 20)
    finally:
        agent.process.send_signal(signal.SIGCONT)
    _finish(stream)
    _wait_free(run)


def test_thawed_agent_runs_no_call_whose_time_is_over() -> None:
    """A call that is told not_run or unknown must not run after the thaw."""
    with harness.running_fleet(
        harness.Size(engines=0, services=1, entries=1)
    ) as run:
        url = run.nodes["entry-0"].url
        late, next_key = harness.issue_key(url), harness.issue_key(url)
        agent = run.nodes["caller-0"]
        agent.process.send_signal(signal.SIGSTOP)
        try:
            answer = harness.call_once(url, late, b"late", time_limit_ms=1500)
        finally:
            agent.process.send_signal(signal.SIGCONT)
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


def test_silent_connection_is_replaced() -> None:
    """The entry must re-attach over a new connection, not run it anew."""
    with harness.running_fleet(harness.Size(engines=1, entries=0)) as run:
        _put_relay_before(run, "agent-0")
        run.start_entry("entry-0", harness.DATA_CENTRE)
        run.wait_ready()
        harness.wait_serving(run)
        stream, length = _start_stream(run, 300)
        run.set_faults("relay-faults", silence=True)
        _finish(stream)
        assert run.ledger("relay-faults")["silent"] >= 1
        (rows,) = harness.runs(run, length).values()
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
    run.set_faults("instances", wrong_rows=[row])
