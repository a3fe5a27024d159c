"""G2 and G6 with real processes whose engine or caller misbehaves."""

import signal
from collections.abc import Iterator

import pytest

from apricottrestle_standins import demo, fleet, load, notes
from tests import process_harness as harness

pytestmark = pytest.mark.process

_PROMPT_TOKENS = 900


@pytest.fixture(scope="module")
def shared_deployment() -> Iterator[fleet.Fleet]:
    with harness.running_fleet(
        harness.FleetSize(engines=1, entries=2)
    ) as deployment:
        yield deployment


@pytest.fixture
def deployment(shared_deployment: fleet.Fleet) -> Iterator[fleet.Fleet]:
    yield shared_deployment
    shared_deployment.set_faults("engine-0")


def test_load_tool_checks_its_answers(
    deployment: fleet.Fleet, capsys: pytest.CaptureFixture[str]
) -> None:
    urls = [f"--url={url}" for url in harness.entry_urls(deployment)]
    key = f"--key={notes.KEYS['harvest']}"
    arguments = [*urls, key, f"--model={notes.MODEL}", "--max-tokens=4"]
    lengths = ["--lengths=100,5000:2", "--rate=20", "--seconds=1"]
    assert load.main(arguments + lengths) == 0
    lines = capsys.readouterr().out.splitlines()
    assert {line.split()[0] for line in lines[1:]} == {"<4k", "<32k"}


def test_orphaned_allocations_are_freed(deployment: fleet.Fleet) -> None:
    """The agent frees allocations without owner after a grace of 10 s."""
    deployment.set_faults("engine-0", leak_allocations=True)
    for salt in range(3):
        prompt = harness.make_prompt(200, 2, salt=salt)
        answer = harness.send_prompt(
            harness.entry_urls(deployment), prompt, retries=3
        )
        assert answer.outcome == "ok", answer
    assert harness.blocks_used(deployment) > 0
    deployment.set_faults("engine-0")
    fleet.wait_for(
        lambda: harness.blocks_used(deployment) == 0, "memory is freed", 25
    )


def test_forgotten_configuration_is_ordered_again(
    deployment: fleet.Fleet,
) -> None:
    deployment.set_faults("engine-0", forget_config=True)
    assert demo.count_engines_with(deployment, "v1") == 0
    fleet.wait_for(
        lambda: demo.count_engines_with(deployment, "v1") == 1,
        "read-back corrects it",
        10,
    )


def test_caller_that_leaves_has_its_request_cancelled(
    deployment: fleet.Fleet,
) -> None:
    """The agent cancels the run after the resume window of 10 s."""
    prompt = harness.make_prompt(_PROMPT_TOKENS, 1200)
    harness.wait_until_serving(deployment)
    stream = harness.BackgroundStream(
        harness.entry_urls(deployment), prompt, timeout_s=4.0, resume=False
    )
    stream.wait_tokens(1)
    answer = stream.answer()
    assert answer.outcome == "error", answer
    fleet.wait_for(
        lambda: (
            harness.engine_runs(deployment, _PROMPT_TOKENS)["engine-0"][0][
                "end"
            ]
            == "cancelled"
        ),
        "the run on the engine is cancelled",
        25,
    )


def test_frozen_entry_does_not_disturb_the_resumed_stream(
    deployment: fleet.Fleet,
) -> None:
    """A thawed entry still holds a stream that was resumed on another entry."""
    prompt = harness.make_prompt(_PROMPT_TOKENS + 1, 200)
    urls = harness.entry_urls(deployment)
    first = harness.BackgroundStream(
        urls[:1], prompt, timeout_s=2.0, resume=False
    )
    first.wait_tokens(5)
    frozen = deployment.nodes["entry-0"].process
    frozen.send_signal(signal.SIGSTOP)
    try:
        before = first.answer()
        second = harness.BackgroundStream(
            urls[1:], prompt, continue_from=before
        )
        second.wait_tokens(len(before.tokens) + 10)
    finally:
        frozen.send_signal(signal.SIGCONT)
    answer = second.answer()
    assert answer.outcome == "ok", answer
    fleet.wait_for(deployment.nodes["entry-0"].ready, "the entry answers again")
