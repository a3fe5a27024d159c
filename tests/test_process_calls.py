"""G4 with real processes: calls with an idempotency key run at most once."""

import concurrent.futures
import signal
from collections.abc import Iterator

import pytest

from apricottrestle_standins import fleet
from tests import process_harness as harness

pytestmark = pytest.mark.process


@pytest.fixture(scope="module")
def deployment() -> Iterator[fleet.Fleet]:
    with harness.running_fleet(
        harness.FleetSize(engines=0, services=2)
    ) as started:
        yield started


def _effect_count(deployment: fleet.Fleet) -> int:
    return sum(len(deployment.ledger(f"service-{index}")) for index in range(2))


def _set_faults(deployment: fleet.Fleet, **settings: object) -> None:
    for index in range(2):
        deployment.set_faults(f"service-{index}", **settings)


@pytest.mark.parametrize("caller_key", ["", "chosen-by-the-caller"])
def test_one_key_through_both_entries_runs_once(
    deployment: fleet.Fleet, caller_key: str
) -> None:
    """Concurrent and repeated attempts with one key must share one run."""
    urls = harness.entry_urls(deployment)
    key = caller_key or harness.issue_key(urls[0])
    before = _effect_count(deployment)
    _set_faults(deployment, delay_s=0.3)
    with concurrent.futures.ThreadPoolExecutor() as pool:
        attempts = [
            pool.submit(harness.call_with_key, url, key, b"once")
            for url in urls * 3
        ]
        answers = [attempt.result() for attempt in attempts]
    _set_faults(deployment)
    answers.append(harness.call_with_key(urls[1], key, b"once"))
    assert _effect_count(deployment) == before + 1
    outcomes = {harness.reported_outcome(answer) for answer in answers}
    assert "completed" in outcomes
    assert "not_run" not in outcomes


def test_call_with_a_lost_answer_is_unknown_and_not_rerun(
    deployment: fleet.Fleet,
) -> None:
    url = harness.entry_urls(deployment)[0]
    key = harness.issue_key(url)
    before = _effect_count(deployment)
    _set_faults(deployment, lose_count=1)
    for _ in range(3):
        answer = harness.call_with_key(url, key, b"lost")
        assert harness.reported_outcome(answer) == "unknown"
        _set_faults(deployment)
    assert _effect_count(deployment) == before + 1


@pytest.mark.parametrize("signal_number", [signal.SIGKILL, signal.SIGTERM])
def test_key_of_an_ended_agent_gets_the_true_outcome(
    deployment: fleet.Fleet, signal_number: signal.Signals
) -> None:
    """Fails when the reported outcome contradicts what ran.

    After SIGKILL the outcome is read from the log; after SIGTERM the agent
    waits for the answer of the service.
    """
    url = harness.entry_urls(deployment)[0]
    before = _effect_count(deployment)
    _set_faults(deployment, delay_s=2.0)
    key = harness.issue_key(url)
    name = harness.agent_of_key(key)
    with concurrent.futures.ThreadPoolExecutor() as pool:
        attempt = pool.submit(harness.call_with_key, url, key, b"x")
        fleet.wait_for(
            lambda: _has_call_in_flight(deployment, name), "the call is sent"
        )
        deployment.nodes[name].process.send_signal(signal_number)
        answer = attempt.result()
    fleet.wait_for(
        lambda: _effect_count(deployment) > before, "the call takes effect"
    )
    deployment.nodes[name].process.wait(15)
    _set_faults(deployment)
    deployment.restart(name)
    deployment.wait_ready()
    expected = "completed" if signal_number == signal.SIGTERM else "unknown"
    assert harness.reported_outcome(answer) == expected
    again = harness.reported_outcome(harness.call_with_key(url, key, b"x"))
    assert again in (expected, "unknown")
    assert _effect_count(deployment) == before + 1


def _has_call_in_flight(deployment: fleet.Fleet, agent: str) -> bool:
    """Returns whether the agent's service holds a call without effect yet."""
    answer = fleet.call("GET", deployment.nodes[agent].upstream + "/held")
    return bool(answer.json()["held"])
