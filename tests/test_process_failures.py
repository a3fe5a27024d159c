"""G1, G3 and G4 with real processes that are killed, frozen or cut off."""

import itertools
import signal
from collections.abc import Iterator

import pytest

from apricottrestle_standins import client, fleet
from tests import process_harness as harness

pytestmark = pytest.mark.process

_MAX_TOKENS = 120
_PROMPT_LENGTHS = itertools.count(700)
"""Unique prompt lengths, which identify the runs of a stream in the ledgers."""


@pytest.fixture(scope="module")
def shared_deployment() -> Iterator[fleet.Fleet]:
    with harness.running_fleet(harness.FleetSize()) as deployment:
        yield deployment


@pytest.fixture
def deployment(shared_deployment: fleet.Fleet) -> fleet.Fleet:
    """Returns the module's fleet, in which all processes run."""
    harness.restart_ended_processes(shared_deployment)
    return shared_deployment


def _start_stream(
    deployment: fleet.Fleet, max_tokens: int = _MAX_TOKENS
) -> tuple[harness.BackgroundStream, int]:
    """Starts a stream; returns it after 10 tokens, with its prompt length."""
    length = next(_PROMPT_LENGTHS)
    prompt = harness.make_prompt(length, max_tokens)
    stream = harness.BackgroundStream(harness.entry_urls(deployment), prompt)
    stream.wait_tokens(10)
    return stream, length


def _agent_of(deployment: fleet.Fleet, length: int) -> fleet.Node:
    """Returns the agent of the engine that runs a prompt of a given length."""
    engine = harness.engine_running_prompt(deployment, length)
    return deployment.nodes[engine.replace("engine", "agent")]


def _finish(stream: harness.BackgroundStream) -> client.CompletionResult:
    answer = stream.answer()
    assert answer.outcome == "ok", answer
    return answer


def _wait_free(deployment: fleet.Fleet) -> None:
    fleet.wait_for(
        lambda: harness.blocks_used(deployment) == 0, "all memory is free"
    )


def test_stream_of_a_killed_entry_resumes_on_another(
    deployment: fleet.Fleet,
) -> None:
    """The caller must get the rest of its answer from the same run."""
    stream, length = _start_stream(deployment)
    deployment.nodes["entry-0"].process.send_signal(signal.SIGKILL)
    assert _finish(stream).resumes >= 1
    assert sum(map(len, harness.engine_runs(deployment, length).values())) == 1


def test_stream_survives_a_killed_engine_without_a_resume(
    deployment: fleet.Fleet,
) -> None:
    stream, length = _start_stream(deployment)
    killed_engine = harness.engine_running_prompt(deployment, length)
    deployment.nodes[killed_engine].process.send_signal(signal.SIGKILL)
    assert _finish(stream).resumes == 0
    replacement = harness.engine_running_prompt(deployment, length)
    (row,) = harness.engine_runs(deployment, length)[replacement]
    assert row["forced_tokens"] >= 10
    assert row["end"] == "finished"


def test_stream_survives_a_killed_agent_and_memory_is_freed(
    deployment: fleet.Fleet,
) -> None:
    stream, length = _start_stream(deployment)
    _agent_of(deployment, length).process.send_signal(signal.SIGKILL)
    _finish(stream)
    _wait_free(deployment)


def test_agent_frozen_mid_stream_does_not_mix_into_the_answer(
    deployment: fleet.Fleet,
) -> None:
    """Late tokens of the attempt on the frozen agent must be dropped."""
    stream, length = _start_stream(deployment, 300)
    agent = _agent_of(deployment, length)
    agent.process.send_signal(signal.SIGSTOP)
    tokens_before = stream.received_tokens
    try:
        stream.wait_tokens(tokens_before + 20)
    finally:
        agent.process.send_signal(signal.SIGCONT)
    _finish(stream)
    _wait_free(deployment)


def test_thawed_agent_runs_no_call_past_its_deadline() -> None:
    """A call reported as not_run or unknown must not run after the thaw."""
    with harness.running_fleet(
        harness.FleetSize(engines=0, services=1, entries=1)
    ) as deployment:
        url = deployment.nodes["entry-0"].url
        expired_key, next_key = harness.issue_key(url), harness.issue_key(url)
        agent = deployment.nodes["caller-0"]
        agent.process.send_signal(signal.SIGSTOP)
        try:
            answer = harness.call_with_key(
                url, expired_key, b"late", time_limit_ms=1500
            )
        finally:
            agent.process.send_signal(signal.SIGCONT)
        assert harness.reported_outcome(answer) in ("not_run", "unknown")
        fleet.wait_for(agent.ready, "the agent answers again")
        fleet.wait_for(
            lambda: (
                harness.reported_outcome(
                    harness.call_with_key(url, next_key, b"next")
                )
                == "completed"
            ),
            "a call completes after the thaw",
        )
        again = harness.call_with_key(url, expired_key, b"late")
        assert harness.reported_outcome(again) in ("not_run", "unknown")
        assert len(deployment.ledger("service-0")) == 1


def test_silent_connection_is_replaced() -> None:
    """The entry must re-attach the stream over a new connection.

    Running the prompt a second time would also complete the stream.
    """
    with harness.running_fleet(
        harness.FleetSize(engines=1, entries=0)
    ) as deployment:
        _put_relay_before(deployment, "agent-0")
        deployment.start_entry("entry-0", harness.DATA_CENTRE)
        deployment.wait_ready()
        harness.wait_until_serving(deployment)
        stream, length = _start_stream(deployment, 300)
        deployment.set_faults("relay-faults", silence=True)
        _finish(stream)
        assert deployment.ledger("relay-faults")["silent"] >= 1
        (rows,) = harness.engine_runs(deployment, length).values()
        assert len(rows) == 1


def _put_relay_before(deployment: fleet.Fleet, agent: str) -> None:
    """Makes the instance list show a relay's address as that of the agent."""
    listed = deployment.nodes["instances"].url + "/instances?after=0"
    (row,) = fleet.wait_for(
        lambda: [
            instance
            for instance in fleet.call("GET", listed).json()["rows"]
            if instance["id"] == agent
        ],
        f"{agent} is listed",
    )
    port, faults_port = fleet.free_ports(2)
    target = int(row["control"].rpartition(":")[2])
    relay = deployment.start_relay(port, target, faults_port)
    assert relay.url
    row["control"] = f"{fleet.HOST}:{port}"
    deployment.set_faults("instances", wrong_rows=[row])
