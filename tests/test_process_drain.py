"""G5 with real processes: planned stops under load interrupt no request."""

import itertools
import signal
from collections.abc import Iterator

import pytest

from apricottrestle_standins import fleet
from tests import process_harness as harness

pytestmark = pytest.mark.process

_STREAMS = 12
_MAX_RETRIES = 5


def _start_streams(
    deployment: fleet.Fleet, max_tokens: int
) -> list[harness.BackgroundStream]:
    urls = harness.entry_urls(deployment)
    return [
        harness.BackgroundStream(
            urls[index % len(urls) :] + urls[: index % len(urls)],
            harness.make_prompt(500 + index, max_tokens, salt=index),
            retries=_MAX_RETRIES,
        )
        for index in range(_STREAMS)
    ]


def _busiest_agent(deployment: fleet.Fleet) -> str:
    """Returns the agent whose engine has the most unfinished runs.

    Stopping an idle agent would test nothing.
    """
    unfinished_runs = {
        name: sum(
            not row["end"]
            for row in deployment.ledger(name.replace("agent", "engine"))[
                "runs"
            ]
        )
        for name in deployment.nodes
        if name.startswith("agent")
    }
    name = max(
        unfinished_runs, key=lambda agent_name: unfinished_runs[agent_name]
    )
    assert unfinished_runs[name], "no engine has unfinished runs"
    return name


@pytest.fixture(scope="module")
def shared_deployment() -> Iterator[fleet.Fleet]:
    size = harness.FleetSize(decode_tokens_per_s=60.0, grace_s=3.0)
    with harness.running_fleet(size) as deployment:
        yield deployment


@pytest.mark.parametrize(
    ("kind", "max_tokens"),
    [("agent", 120), ("agent", 360), ("entry", 120), ("entry", 360)],
)
def test_sigterm_under_load_interrupts_no_request(
    shared_deployment: fleet.Fleet, kind: str, max_tokens: int
) -> None:
    """Fails when a stream breaks because its entry or agent stops.

    Streams of 2 s fit into the grace period of 3 s, those of 6 s do not.
    """
    deployment = shared_deployment
    harness.restart_ended_processes(deployment)
    streams = _start_streams(deployment, max_tokens)
    for stream in streams:
        stream.wait_tokens(1)
    name = "entry-0" if kind == "entry" else _busiest_agent(deployment)
    process = deployment.nodes[name].process
    process.send_signal(signal.SIGTERM)
    answers = [stream.answer() for stream in streams]
    assert [answer.outcome for answer in answers] == ["ok"] * _STREAMS, [
        answer.detail for answer in answers
    ]
    assert process.wait(15) == 0
    if kind == "agent":
        assert not any(answer.resumes for answer in answers)
    fleet.wait_for(
        lambda: harness.blocks_used(deployment) == 0, "all memory is free"
    )


def test_drained_agent_gets_no_new_work() -> None:
    with harness.running_fleet(harness.FleetSize(entries=1)) as deployment:
        log = deployment.nodes["log"].url
        deployment.run_command("drain", "agent-0", "--log", log)
        process = deployment.nodes["agent-0"].process
        numbers = itertools.count()

        def ends_under_load() -> bool:
            number = next(numbers)
            prompt = harness.make_prompt(100 + number, 2, salt=number)
            answer = harness.send_prompt(
                harness.entry_urls(deployment), prompt, _MAX_RETRIES
            )
            assert answer.outcome == "ok", answer
            return not process.running()

        fleet.wait_for(ends_under_load, "the drained agent ends")
        assert process.exit_code() == 0
        before = len(deployment.ledger("engine-0")["runs"])
        for salt in range(5):
            prompt = harness.make_prompt(300, 2, salt=salt)
            answer = harness.send_prompt(
                harness.entry_urls(deployment), prompt, _MAX_RETRIES
            )
            assert answer.outcome == "ok", answer
        assert len(deployment.ledger("engine-0")["runs"]) == before
