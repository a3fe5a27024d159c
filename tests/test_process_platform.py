"""Guards G4 and G6 on real processes while the log is down."""

import json
import signal
from collections.abc import Iterator

import pytest

from apricottrestle_standins import demo, fleet, notes
from tests import process_harness as harness

pytestmark = pytest.mark.process

_OUTAGE = {"append_outage": True, "read_outage": True}


@pytest.fixture(scope="module")
def running() -> Iterator[fleet.Fleet]:
    with harness.running_fleet(harness.Size(engines=1, services=1)) as run:
        yield run


@pytest.fixture
def run(running: fleet.Fleet) -> Iterator[fleet.Fleet]:
    yield running
    running.set_faults("log")


def test_processes_start_from_peers_while_the_log_is_down(
    run: fleet.Fleet,
) -> None:
    run.set_faults("log", **_OUTAGE)
    node = run.start_entry("entry-late", harness.DATA_CENTRE)
    run.start_agent(
        "caller-late", harness.DATA_CENTRE, "service-0", service=notes.SERVICE
    )
    run.wait_ready()
    answer = harness.ask([node.url], harness.make_prompt(50, 5), retries=3)
    assert answer.outcome == "ok", answer
    for name in ("entry-late", "caller-late"):
        process = run.nodes.pop(name).process
        process.send_signal(signal.SIGTERM)
        assert process.wait(15) == 0


def test_calls_go_on_while_the_log_is_down(run: fleet.Fleet) -> None:
    """Keys issued in the outage are unlogged; their calls still run once."""
    run.set_faults("log", **_OUTAGE)
    url = run.nodes["entry-0"].url

    def completes() -> bool:
        key = harness.issue_key(url)
        answer = harness.call_once(url, key, b"in the outage")
        assert harness.outcome(answer) in ("completed", "not_run")
        return harness.outcome(answer) == "completed"

    fleet.wait_for(completes, "a call completes in the outage")
    assert len(run.ledger("service-0")) == 1


def _publish(run: fleet.Fleet, text: str) -> tuple[int, str]:
    path = run.directory / "note.toml"
    path.write_text(text)
    process = run.spawn(
        "publish",
        "apricottrestle.cli",
        *("release", "publish", str(path)),
        *("--log", run.nodes["log"].url, "--json"),
    )
    code = process.wait(30)
    lines = process.tail().splitlines()
    return code, lines[-1] if lines else ""


def test_publish_tells_that_the_log_is_down(run: fleet.Fleet) -> None:
    run.set_faults("log", **_OUTAGE)
    code, _ = _publish(run, notes.second_note(1))
    assert code in (3, 4)


def test_publish_finds_a_note_whose_answer_was_lost(run: fleet.Fleet) -> None:
    """The note is in force once, although its append had no answer."""
    run.set_faults("log", lose_path="/streams/release", lose_count=1)
    code, line = _publish(run, notes.second_note(1))
    assert (code, json.loads(line)["verdict"]) == (0, "accepted")
    fleet.wait_for(
        lambda: demo.count_engines_with(run, "v2") == 1, "the engine serves v2"
    )
    answer = harness.ask(
        harness.entry_urls(run), harness.make_prompt(60, 5), retries=3
    )
    assert answer.outcome == "ok", answer
