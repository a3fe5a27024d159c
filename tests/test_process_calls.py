"""Guards G4 on real processes: calls that may run once, under one key."""

import concurrent.futures
import signal
from collections.abc import Iterator

import pytest

from apricottrestle_standins import fleet
from tests import process_harness as harness

pytestmark = pytest.mark.process


@pytest.fixture(scope="module")
def run() -> Iterator[fleet.Fleet]:
    with harness.running_fleet(harness.Size(engines=0, services=2)) as running:
        yield running


def _ran(run: fleet.Fleet) -> int:
    return sum(len(run.ledger(f"service-{index}")) for index in range(2))


def _faults(run: fleet.Fleet, **settings: object) -> None:
    for index in range(2):
        run.set_faults(f"service-{index}", **settings)


@pytest.mark.parametrize("chosen", ["", "chosen-by-the-caller"])
def test_one_key_through_both_entries_runs_once(
    run: fleet.Fleet, chosen: str
) -> None:
    """Racing and repeated attempts of a key must share one run."""
    urls = harness.entry_urls(run)
    key = chosen or harness.issue_key(urls[0])
    before = _ran(run)
    _faults(run, delay_s=0.3)
    with concurrent.futures.ThreadPoolExecutor() as pool:
        attempts = [
            pool.submit(harness.call_once, url, key, b"once")
            for url in urls * 3
        ]
        answers = [attempt.result() for attempt in attempts]
    _faults(run)
    answers.append(harness.call_once(urls[1], key, b"once"))
    assert _ran(run) == before + 1
    outcomes = {harness.outcome(answer) for answer in answers}
    assert "completed" in outcomes
    assert "not_run" not in outcomes


def test_lost_answer_is_unknown_and_never_run_again(run: fleet.Fleet) -> None:
    url = harness.entry_urls(run)[0]
    key = harness.issue_key(url)
    before = _ran(run)
    _faults(run, lose_count=1)
    for _ in range(3):
        answer = harness.call_once(url, key, b"lost")
        assert harness.outcome(answer) == "unknown"
        _faults(run)
    assert _ran(run) == before + 1


@pytest.mark.parametrize("number", [signal.SIGKILL, signal.SIGTERM])
def test_key_of_an_ended_agent_tells_the_truth(
    run: fleet.Fleet, number: signal.Signals
) -> None:
    """After SIGKILL the log decides; SIGTERM waits for the answer."""
    url = harness.entry_urls(run)[0]
    before = _ran(run)
    _faults(run, delay_s=2.0)
    key = harness.issue_key(url)
    name = harness.agent_of_key(key)
    with concurrent.futures.ThreadPoolExecutor() as pool:
        attempt = pool.submit(harness.call_once, url, key, b"x")
        fleet.wait_for(lambda: _in_flight(run, name), "the call is sent")
        run.nodes[name].process.send_signal(number)
        answer = attempt.result()
    fleet.wait_for(lambda: _ran(run) > before, "the call takes effect")
    run.nodes[name].process.wait(15)
    _faults(run)
    run.restart(name)
    run.wait_ready()
    expected = "completed" if number == signal.SIGTERM else "unknown"
    assert harness.outcome(answer) == expected
    again = harness.outcome(harness.call_once(url, key, b"x"))
    assert again in (expected, "unknown")
    assert _ran(run) == before + 1


def _in_flight(run: fleet.Fleet, agent: str) -> bool:
    """Tells whether the agent's service has a call that has no effect yet."""
    answer = fleet.call("GET", run.nodes[agent].upstream + "/held")
    return bool(answer.json()["held"])
