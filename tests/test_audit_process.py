"""Guards G7 on real processes: the export of a fleet that was stopped."""

import json
import signal
from collections.abc import Iterator
from typing import Any

import pytest

from apricottrestle_standins import fleet
from tests import process_harness as harness

pytestmark = pytest.mark.process

_PROMPT_TOKENS = (40, 50, 60)


@pytest.fixture
def run() -> Iterator[fleet.Fleet]:
    with harness.running_fleet(harness.Size(engines=1, entries=1)) as found:
        yield found


def _export(run: fleet.Fleet) -> dict[str, Any]:
    answer = run.run_command(
        *("audit", "export", "--from", "0", "--to", "4000000000"),
        *("--log", run.nodes["log"].url, "--json"),
    )
    found: dict[str, Any] = json.loads(answer)
    return found


def _stop(run: fleet.Fleet, name: str) -> None:
    process = run.nodes[name].process
    process.send_signal(signal.SIGTERM)
    assert process.wait(20) == 0


def _serve(run: fleet.Fleet) -> None:
    for tokens in _PROMPT_TOKENS:
        prompt = harness.make_prompt(tokens, 5)
        assert harness.ask(harness.entry_urls(run), prompt).outcome == "ok"


def test_a_stopped_fleet_leaves_a_whole_audit(run: fleet.Fleet) -> None:
    """Each run of the engine's ledger has both records, and no gap is left."""
    _serve(run)
    started = run.ledger("engine-0")["runs"]
    _stop(run, "agent-0")
    _stop(run, "entry-0")
    export = _export(run)
    assert export["gaps"] == []
    served = [item for item in export["requests"] if item["agents"]]
    assert len(served) == len(started)
    for item in served:
        assert item["missing"] == ""
        entry, agent = item["entries"][0]["row"], item["agents"][0]["row"]
        for field in ("team", "priority", "upstream", "version", "tokens"):
            assert entry[field] == agent[field], field
        assert entry["outcome"] == agent["outcome"] == "completed"
        assert entry["config_rev"] == agent["config_rev"] == 1
        assert abs(entry["end"] - agent["end"]) < 5.0


def test_a_killed_agent_leaves_a_gap(run: fleet.Fleet) -> None:
    """Its rows are lost; the entry's records and an open end tell of them."""
    _serve(run)
    process = run.nodes["agent-0"].process
    process.send_signal(signal.SIGKILL)
    process.wait(10)
    _stop(run, "entry-0")
    export = _export(run)
    missing = [item["missing"] for item in export["requests"]]
    assert missing.count("agent") >= len(_PROMPT_TOKENS)
    assert "entry" not in missing
    gaps = [(gap["kind"], gap["writer"]) for gap in export["gaps"]]
    assert gaps == [("open_end", "agent-0")]
