"""G4 and G6 with real processes while the log is down."""

import json
import signal
from collections.abc import Iterator

import pytest

from apricottrestle_standins import demo, fleet, notes
from tests import process_harness as harness

pytestmark = pytest.mark.process

_OUTAGE = {"append_outage": True, "read_outage": True}


@pytest.fixture(scope="module")
def shared_deployment() -> Iterator[fleet.Fleet]:
    with harness.running_fleet(
        harness.FleetSize(engines=1, services=1)
    ) as deployment:
        yield deployment


@pytest.fixture
def deployment(shared_deployment: fleet.Fleet) -> Iterator[fleet.Fleet]:
    yield shared_deployment
    shared_deployment.set_faults("log")


def test_processes_start_from_peers_while_the_log_is_down(
    deployment: fleet.Fleet,
) -> None:
    deployment.set_faults("log", **_OUTAGE)
    node = deployment.start_entry("entry-late", harness.DATA_CENTRE)
    deployment.start_agent(
        "caller-late", harness.DATA_CENTRE, "service-0", service=notes.SERVICE
    )
    deployment.wait_ready()
    answer = harness.send_prompt(
        [node.url], harness.make_prompt(50, 5), retries=3
    )
    assert answer.outcome == "ok", answer
    for name in ("entry-late", "caller-late"):
        process = deployment.nodes.pop(name).process
        process.send_signal(signal.SIGTERM)
        assert process.wait(15) == 0


def test_calls_complete_while_the_log_is_down(deployment: fleet.Fleet) -> None:
    """Calls with keys issued in an outage, which are unlogged, run once."""
    deployment.set_faults("log", **_OUTAGE)
    url = deployment.nodes["entry-0"].url

    def completes() -> bool:
        key = harness.issue_key(url)
        answer = harness.call_with_key(url, key, b"in the outage")
        assert harness.reported_outcome(answer) in ("completed", "not_run")
        return harness.reported_outcome(answer) == "completed"

    fleet.wait_for(completes, "a call completes in the outage")
    assert len(deployment.ledger("service-0")) == 1


def _publish(deployment: fleet.Fleet, text: str) -> tuple[int, str]:
    path = deployment.directory / "note.toml"
    path.write_text(text)
    process = deployment.spawn(
        "publish",
        "apricottrestle.cli",
        *("release", "publish", str(path)),
        *("--log", deployment.nodes["log"].url, "--json"),
    )
    code = process.wait(30)
    lines = process.tail().splitlines()
    return code, lines[-1] if lines else ""


def test_publish_exits_with_an_error_while_the_log_is_down(
    deployment: fleet.Fleet,
) -> None:
    deployment.set_faults("log", **_OUTAGE)
    code, _ = _publish(deployment, notes.second_note(1))
    assert code in (3, 4)


def test_publish_accepts_a_note_whose_append_answer_was_lost(
    deployment: fleet.Fleet,
) -> None:
    """The note must be applied once although the append got no answer."""
    deployment.set_faults("log", lose_path="/streams/release", lose_count=1)
    code, line = _publish(deployment, notes.second_note(1))
    assert (code, json.loads(line)["verdict"]) == (0, "accepted")
    fleet.wait_for(
        lambda: demo.count_engines_with(deployment, "v2") == 1,
        "the engine serves v2",
    )
    answer = harness.send_prompt(
        harness.entry_urls(deployment), harness.make_prompt(60, 5), retries=3
    )
    assert answer.outcome == "ok", answer
