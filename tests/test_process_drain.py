"""Guards G5 on real processes: planned stops under load cut no request."""

import itertools
import signal
from collections.abc import Iterator

import pytest

from apricottrestle_standins import fleet
from tests import process_harness as harness

pytestmark = pytest.mark.process

_STREAMS = 12
_RETRIES = 5


def _start_streams(run: fleet.Fleet, max_tokens: int) -> list[harness.Stream]:
    urls = harness.entry_urls(run)
    return [
        harness.Stream(
            urls[index % len(urls) :] + urls[: index % len(urls)],
            harness.make_prompt(500 + index, max_tokens, salt=index),
            retries=_RETRIES,
        )
        for index in range(_STREAMS)
    ]


def _busiest_agent(run: fleet.Fleet) -> str:
    """Returns the agent whose engine runs most; an idle one proves nothing."""
    running = {
        name: sum(
            not row["end"]
            for row in run.ledger(name.replace("agent", "engine"))["runs"]
        )
        for name in run.nodes
        if name.startswith("agent")
    }
    name = max(running, key=lambda one: running[one])
    assert running[name], "no agent has work"
    return name


@pytest.fixture(scope="module")
def running() -> Iterator[fleet.Fleet]:
    size = harness.Size(decode_tokens_per_s=60.0, grace_s=3.0)
    with harness.running_fleet(size) as run:
        yield run


@pytest.mark.parametrize(
    ("kind", "max_tokens"),
    [("agent", 120), ("agent", 360), ("entry", 120), ("entry", 360)],
)
def test_sigterm_under_load_cuts_no_request(
    running: fleet.Fleet, kind: str, max_tokens: int
) -> None:
    """Streams of 2 s fit the grace of 3 s, those of 6 s do not."""
    run = running
    harness.restore(run)
    streams = _start_streams(run, max_tokens)
    for stream in streams:
        stream.wait_tokens(1)
    name = "entry-0" if kind == "entry" else _busiest_agent(run)
    process = run.nodes[name].process
    process.send_signal(signal.SIGTERM)
    answers = [stream.answer() for stream in streams]
    assert [answer.outcome for answer in answers] == ["ok"] * _STREAMS, [
        answer.detail for answer in answers
    ]
    assert process.wait(15) == 0
    if kind == "agent":
        assert not any(answer.resumes for answer in answers)
    fleet.wait_for(lambda: harness.blocks_used(run) == 0, "all memory is free")


def test_drained_agent_gets_no_new_work() -> None:
    with harness.running_fleet(harness.Size(entries=1)) as run:
        log = run.nodes["log"].url
        run.run_command("drain", "agent-0", "--log", log)
        process = run.nodes["agent-0"].process
        numbers = itertools.count()

        def ends_while_work_comes() -> bool:
            number = next(numbers)
            prompt = harness.make_prompt(100 + number, 2, salt=number)
            answer = harness.ask(harness.entry_urls(run), prompt, _RETRIES)
            assert answer.outcome == "ok", answer
            return not process.running()

        fleet.wait_for(ends_while_work_comes, "the drained agent ends")
        assert process.exit_code() == 0
        before = len(run.ledger("engine-0")["runs"])
        for salt in range(5):
            prompt = harness.make_prompt(300, 2, salt=salt)
            answer = harness.ask(harness.entry_urls(run), prompt, _RETRIES)
            assert answer.outcome == "ok", answer
        assert len(run.ledger("engine-0")["runs"]) == before
