"""Guards G2 and G6 on a real agent whose engine misbehaves."""

import signal
from collections.abc import Iterator

import pytest

from apricottrestle_standins import demo, fleet, load, notes
from tests import process_harness as harness

pytestmark = pytest.mark.process

_PROMPT_TOKENS = 900


@pytest.fixture(scope="module")
def running() -> Iterator[fleet.Fleet]:
    with harness.running_fleet(harness.Size(engines=1, entries=2)) as run:
        yield run


@pytest.fixture
def run(running: fleet.Fleet) -> Iterator[fleet.Fleet]:
    yield running
    running.set_faults("engine-0")


def test_load_tool_checks_its_answers(
    run: fleet.Fleet, capsys: pytest.CaptureFixture[str]
) -> None:
    urls = [f"--url={url}" for url in harness.entry_urls(run)]
    key = f"--key={notes.KEYS['harvest']}"
    arguments = [*urls, key, f"--model={notes.MODEL}", "--max-tokens=4"]
    lengths = ["--lengths=100,5000:2", "--rate=20", "--seconds=1"]
    assert load.main(arguments + lengths) == 0
    lines = capsys.readouterr().out.splitlines()
    assert {line.split()[0] for line in lines[1:]} == {"<4k", "<32k"}


def test_leaked_memory_is_freed(run: fleet.Fleet) -> None:
    """The agent frees what has no owner, after its grace of 10 s."""
    run.set_faults("engine-0", leak_allocations=True)
    for salt in range(3):
        prompt = harness.make_prompt(200, 2, salt=salt)
        answer = harness.ask(harness.entry_urls(run), prompt, retries=3)
        assert answer.outcome == "ok", answer
    assert harness.blocks_used(run) > 0
    run.set_faults("engine-0")
    fleet.wait_for(lambda: harness.blocks_used(run) == 0, "memory is freed", 25)


def test_forgotten_configuration_is_ordered_again(run: fleet.Fleet) -> None:
    run.set_faults("engine-0", forget_config=True)
    assert demo.count_engines_with(run, "v1") == 0
    fleet.wait_for(
        lambda: demo.count_engines_with(run, "v1") == 1,
        "read-back corrects it",
        10,
    )


def test_caller_that_leaves_has_its_request_cancelled(
    run: fleet.Fleet,
) -> None:
    """Cancel reaches the engine after the resume window of 10 s."""
    prompt = harness.make_prompt(_PROMPT_TOKENS, 1200)
    harness.wait_serving(run)
    stream = harness.Stream(
        harness.entry_urls(run), prompt, timeout_s=4.0, resume=False
    )
    stream.wait_tokens(1)
    answer = stream.answer()
    assert answer.outcome == "error", answer
    fleet.wait_for(
        lambda: (
            harness.runs(run, _PROMPT_TOKENS)["engine-0"][0]["end"]
            == "cancelled"
        ),
        "the engine's run is cancelled",
        25,
    )


def test_frozen_entry_does_not_disturb_the_resumed_stream(
    run: fleet.Fleet,
) -> None:
    """The thawed entry still holds the stream that has moved on."""
    prompt = harness.make_prompt(_PROMPT_TOKENS + 1, 200)
    urls = harness.entry_urls(run)
    first = harness.Stream(urls[:1], prompt, timeout_s=2.0, resume=False)
    first.wait_tokens(5)
    frozen = run.nodes["entry-0"].process
    frozen.send_signal(signal.SIGSTOP)
    try:
        before = first.answer()
        second = harness.Stream(urls[1:], prompt, continue_from=before)
        second.wait_tokens(len(before.tokens) + 10)
    finally:
        frozen.send_signal(signal.SIGCONT)
    answer = second.answer()
    assert answer.outcome == "ok", answer
    fleet.wait_for(run.nodes["entry-0"].ready, "the entry answers again")
