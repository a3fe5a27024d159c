"""Tests when a prompt is sent in spite of a verdict against its parts."""

import pytest

from apricottrestle.gateway import crash_evidence, prompt_trials

PARTS = frozenset(("instructions",))
OTHER_PARTS = frozenset(("other",))
GATEWAYS = 4


def _verdict(
    failed_trials: int = 0, parts: frozenset[str] = PARTS
) -> crash_evidence.Verdict:
    crash_ids = tuple(f"engine-{number}/1" for number in range(5))
    return crash_evidence.Verdict(
        parts, crash_ids, 5.0, crash_ids[:failed_trials]
    )


def _rank_of(gateway: int) -> prompt_trials.PlacementRank:
    """Returns the rank of a gateway in an order that the keys rotate."""

    def placement_rank(key: str) -> int:
        turn = int(key.rpartition("/")[2])
        return (gateway - turn) % GATEWAYS

    return placement_rank


@pytest.mark.parametrize(
    ("failed_trials", "age_s", "turns"),
    [
        pytest.param(0, 0.0, 0, id="before the first pause"),
        pytest.param(0, 0.9, 0, id="at the end of the first pause"),
        pytest.param(0, 1.0, 1, id="first turn"),
        pytest.param(0, 3.1, 1, id="second turn"),
        pytest.param(0, 3_600.0, 1, id="after an hour"),
        pytest.param(1, 29.0, 0, id="pause after a failed trial"),
        pytest.param(1, 31.0, 1, id="turn after a failed trial"),
        pytest.param(2, 31.0, 0, id="final"),
        pytest.param(2, 3_600.0, 0, id="final after an hour"),
    ],
)
def test_one_gateway_at_a_time_may_send_a_trial(
    failed_trials: int, age_s: float, turns: int
) -> None:
    """Guards against an engine that each gateway loses to the same part."""
    own_turns = [
        prompt_trials.is_own_turn(
            _verdict(failed_trials),
            age_s,
            _rank_of(gateway),
        )
        for gateway in range(GATEWAYS)
    ]
    assert sum(own_turns) == turns


def test_all_gateways_get_a_turn() -> None:
    """Guards against a part that only callers of other gateways send."""
    with_turn = {
        gateway
        for gateway in range(GATEWAYS)
        for turn in range(GATEWAYS)
        if prompt_trials.is_own_turn(
            _verdict(),
            prompt_trials.FIRST_PAUSE_S + turn * prompt_trials.TURN_S,
            _rank_of(gateway),
        )
    }
    assert with_turn == set(range(GATEWAYS))


def test_gateway_sends_one_trial_of_a_verdict_at_a_time() -> None:
    """Guards against a batch of deadly prompts that is sent as trials."""
    trials = prompt_trials.PromptTrials()
    verdict = _verdict()
    assert trials.begin([verdict], "first", 0.0)
    assert not trials.begin([verdict], "second", 0.1)
    assert not trials.begin([_verdict(parts=OTHER_PARTS), verdict], "x", 0.1)
    assert trials.is_running(verdict, "first")
    assert not trials.is_running(_verdict(parts=OTHER_PARTS), "first")
    assert trials.end("first", 1.0, was_sent=True)
    assert not trials.end("first", 1.0, was_sent=True)
    assert not trials.is_running(verdict, "first")


@pytest.mark.parametrize(
    ("was_sent", "is_forgotten", "after_s", "may_send"),
    [
        pytest.param(True, False, 1.0, False, id="one was just sent"),
        pytest.param(True, False, 31.0, True, id="after the pause"),
        pytest.param(True, True, 1.0, True, id="another verdict since"),
        pytest.param(False, False, 1.0, True, id="it wasn't sent"),
    ],
)
def test_pause_between_trials(
    was_sent: bool, is_forgotten: bool, after_s: float, may_send: bool
) -> None:
    """Guards against trials that decide nothing, one after the other."""
    trials = prompt_trials.PromptTrials()
    assert trials.begin([_verdict()], "first", 0.0)
    trials.end("first", 0.0, was_sent=was_sent)
    if is_forgotten:
        trials.forget(PARTS)
    assert trials.begin([_verdict()], "second", after_s) is may_send


def test_crashes_by_trials_are_counted_once_however_they_are_told() -> None:
    """Guards against verdicts that stay open after failed trials.

    Peers that didn't send the trial report the same crash without it, and with
    more suspects than are kept.
    """
    evidence = crash_evidence.CrashEvidence()
    parts = tuple(PARTS)
    for number in range(4):
        others = tuple(
            crash_evidence.Suspect((f"part-{number}-{n:02}", *parts), True)
            for n in range(crash_evidence.MAX_SUSPECTS)
        )
        for on_trial in (number == 3, False):
            suspect = crash_evidence.Suspect(parts, True, on_trial=on_trial)
            evidence.merge(
                crash_evidence.CrashReport(
                    f"c{number}", 0.0, (suspect, *others)
                ),
                float(number),
            )
    verdict = evidence.verdict_on(parts)
    assert verdict is not None
    assert verdict.failed_trials == ("c3",)
    assert evidence.span_s(verdict) == 3.0
