"""Tests which parts of prompts are found to crash engines."""

import random
from typing import NamedTuple

import pytest
from hypothesis import given
from hypothesis import strategies as st

from apricottrestle.gateway import crash_evidence


class Step(NamedTuple):
    """A crash, or an answer that got past its beginning.

    Attributes:
        at_s: Time.
        begun: Parts of prompts whose answers had just begun at a crash.
        waiting: Parts of prompts without an answer at a crash.
        sound: Parts of the prompt of an answer; empty for a crash.
    """

    at_s: float
    begun: tuple[str, ...] = ()
    waiting: tuple[str, ...] = ()
    sound: str = ""


def _parts(text: str) -> tuple[str, ...]:
    return tuple(text.split("+"))


def _report(
    number: int, step: Step, age_s: float = 0.0
) -> crash_evidence.CrashReport:
    suspects = [
        crash_evidence.Suspect(_parts(text), True) for text in step.begun
    ] + [crash_evidence.Suspect(_parts(text), False) for text in step.waiting]
    return crash_evidence.CrashReport(f"c{number}", age_s, tuple(suspects))


def _apply(steps: list[Step]) -> crash_evidence.CrashEvidence:
    evidence = crash_evidence.CrashEvidence()
    for number, step in enumerate(steps):
        if step.sound:
            evidence.record_sound(_parts(step.sound), step.at_s)
        else:
            evidence.merge(_report(number, step), step.at_s)
    return evidence


BAD = [Step(float(n), ("first+bad",)) for n in range(3)]


@pytest.mark.parametrize(
    ("steps", "verdicts"),
    [
        pytest.param(BAD[:2], [], id="too few crashes"),
        pytest.param(BAD, [{"first", "bad"}], id="parts not told apart"),
        pytest.param(
            [*BAD, Step(2.1, sound="first")], [{"bad"}], id="sound afterwards"
        ),
        pytest.param(
            [Step(-1.0, sound="first"), *BAD], [{"bad"}], id="sound before"
        ),
        pytest.param(
            [*BAD, Step(3.0, ("other+bad",))], [{"bad"}], id="parts differ"
        ),
        pytest.param(
            [*BAD[:2], Step(2.0, ("first+bad", "first"))],
            [{"first", "bad"}],
            id="sound prompt beside the bad one",
        ),
        pytest.param(
            [*BAD, Step(2.5, sound="first+bad")], [], id="all parts sound"
        ),
        pytest.param(
            [Step(0.1 * n, waiting=("bad",)) for n in range(5)],
            [],
            id="never begun, few crashes",
        ),
        pytest.param(
            [Step(0.1 * n, waiting=("bad",)) for n in range(6)],
            [{"bad"}],
            id="never begun",
        ),
        pytest.param(
            [
                step
                for n in range(4)
                for step in (
                    Step(n, ("first+bad",)),
                    Step(n + 0.5, ("first+worse",)),
                )
            ],
            [{"bad"}, {"worse"}],
            id="two bad parts",
        ),
        pytest.param(
            [
                *BAD,
                *(Step(n / 10, (f"other-{n}",)) for n in range(30)),
            ],
            [],
            id="many other crashes",
        ),
        pytest.param(
            [
                *(Step(n / 10, (f"other-{n}",)) for n in range(30)),
                *(Step(float(n), ("bad",)) for n in range(5)),
            ],
            [{"bad"}],
            id="enough crashes beside many others",
        ),
    ],
)
def test_parts_that_crash_engines_are_found(
    steps: list[Step], verdicts: list[set[str]]
) -> None:
    """Guards against refusing sound prompts, and against missing a bad part."""
    if verdicts == [{"bad"}, {"worse"}]:
        steps = [Step(-0.5, sound="first"), *steps]
    evidence = _apply(steps)
    assert sorted(sorted(v.parts) for v in evidence.verdicts) == sorted(
        sorted(parts) for parts in verdicts
    )


def test_crashes_of_a_verdict_are_no_evidence_against_other_parts() -> None:
    """Guards against refusing all prompts that share a part with a bad one."""
    evidence = _apply([*BAD, Step(3.0, ("other+bad",))])
    assert evidence.verdict_on(("first", "own")) is None
    assert evidence.verdict_on(("first", "bad")) is not None
    assert evidence.verdict_on(("new", "bad")) is not None


def test_prompt_with_only_some_of_the_parts_is_served() -> None:
    """Guards against refusing a sound part that no crash tells apart yet."""
    evidence = _apply(BAD)
    assert evidence.verdict_on(("first",)) is None
    assert evidence.verdict_on(("first", "bad")) is not None


@given(
    seed=st.integers(0, 1000),
    rows=st.lists(
        st.tuples(
            st.integers(0, 5),
            st.sampled_from(["first+bad", "bad", "first", "other"]),
            st.booleans(),
        ),
        max_size=30,
    ),
)
def test_evidence_does_not_depend_on_the_order_of_messages(
    seed: int, rows: list[tuple[int, str, bool]]
) -> None:
    """Guards against gateways that differ after lost, late or double messages.

    Each gateway knows some suspects of a crash and some sound parts.
    """
    reports = [
        crash_evidence.CrashReport(
            f"c{number}",
            10.0 - number,
            (crash_evidence.Suspect(_parts(text), begun),),
            _parts(text)[:1] if number % 3 == 0 else (),
        )
        for number, text, begun in rows
    ]
    tables = []
    for order in range(3):
        sent = reports * 2
        random.Random(seed + order).shuffle(sent)
        evidence = crash_evidence.CrashEvidence()
        for report in sent:
            evidence.merge(report, 100.0)
        # What was learned is passed on whole at the end, as after a cut.
        for report in evidence.reports(100.0):
            assert not evidence.merge(report, 100.0)
        tables.append(evidence)
    for table in tables:
        for other in tables:
            for report in other.reports(100.0):
                table.merge(report, 100.0)
    assert len({table.digest for table in tables}) == 1
    assert tables[0].verdicts == tables[1].verdicts == tables[2].verdicts
    assert len(tables[0].reports(100.0)) == len({row[0] for row in rows})


def test_verdict_outlasts_other_crashes_and_time() -> None:
    """Guards against a verdict that ends while bad prompts still come.

    Many crashes with other parts, which callers name, push nothing out that
    supports a verdict, and the table stays bounded.
    """
    evidence = _apply(BAD)
    for number in range(2 * crash_evidence.MAX_CRASHES):
        at = 100.0 + number
        step = Step(at, (f"part-{number}",))
        evidence.merge(_report(1000 + number, step), at)
    evidence.expire(100.0 * crash_evidence.RECORD_TTL_S)
    assert evidence.verdict_on(("first", "bad")) is not None
    assert {r.crash_id for r in evidence.reports(0.0)} == {"c0", "c1", "c2"}


def test_table_is_bounded() -> None:
    """Guards against memory that grows with crashes and names of parts."""
    evidence = crash_evidence.CrashEvidence()
    for number in range(2 * crash_evidence.MAX_CRASHES):
        suspects = tuple(f"part-{number}-{n}" for n in range(40))
        evidence.merge(_report(number, Step(0.0, suspects)), float(number))
        evidence.record_sound((f"sound-{number}",) * 9, float(number))
    reports = evidence.reports(0.0)
    assert len(reports) == crash_evidence.MAX_CRASHES
    assert reports[-1].crash_id == f"c{2 * crash_evidence.MAX_CRASHES - 1}"
    assert max(len(report.suspects) for report in reports) == (
        crash_evidence.MAX_SUSPECTS
    )
