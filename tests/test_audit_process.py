"""G7 with real processes: the audit export of a fleet that was stopped."""

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
def deployment() -> Iterator[fleet.Fleet]:
    with harness.running_fleet(
        harness.FleetSize(engines=1, entries=1)
    ) as started:
        yield started


def _export(deployment: fleet.Fleet) -> dict[str, Any]:
    answer = deployment.run_command(
        *("audit", "export", "--from", "0", "--to", "4000000000"),
        *("--log", deployment.nodes["log"].url, "--json"),
    )
    export: dict[str, Any] = json.loads(answer)
    return export


def _stop(deployment: fleet.Fleet, name: str) -> None:
    process = deployment.nodes[name].process
    process.send_signal(signal.SIGTERM)
    assert process.wait(20) == 0


def _send_prompts(deployment: fleet.Fleet) -> None:
    for tokens in _PROMPT_TOKENS:
        prompt = harness.make_prompt(tokens, 5)
        assert (
            harness.send_prompt(harness.entry_urls(deployment), prompt).outcome
            == "ok"
        )


def test_a_stopped_fleet_leaves_a_complete_audit(
    deployment: fleet.Fleet,
) -> None:
    """Each run must have an entry record and an agent record, without gaps."""
    _send_prompts(deployment)
    started = deployment.ledger("engine-0")["runs"]
    _stop(deployment, "agent-0")
    _stop(deployment, "entry-0")
    export = _export(deployment)
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


def test_a_killed_agent_leaves_a_gap(deployment: fleet.Fleet) -> None:
    """Lost agent rows must show as missing records and as an open end."""
    _send_prompts(deployment)
    process = deployment.nodes["agent-0"].process
    process.send_signal(signal.SIGKILL)
    process.wait(10)
    _stop(deployment, "entry-0")
    export = _export(deployment)
    missing = [item["missing"] for item in export["requests"]]
    assert missing.count("agent") >= len(_PROMPT_TOKENS)
    assert "entry" not in missing
    gaps = [(gap["kind"], gap["writer"]) for gap in export["gaps"]]
    assert gaps == [("open_end", "agent-0")]
