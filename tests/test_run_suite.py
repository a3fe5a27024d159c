"""Tests that the suite's runner neither loses a test nor hides a failure."""

import pathlib

import pytest

from tests import run_suite

_SUITE = (
    '<testsuites><testsuite tests="{}" errors="{}" failures="{}" '
    'skipped="{}"/></testsuites>'
)


@pytest.mark.parametrize(
    ("report", "expected"),
    [
        (_SUITE.format(5, 0, 0, 0), run_suite.Counts(5, 0, 0)),
        (_SUITE.format(5, 1, 2, 1), run_suite.Counts(1, 3, 1)),
        ("<testsuites>", run_suite.Counts(0, 1, 0)),
        (None, run_suite.Counts(0, 1, 0)),
    ],
    ids=["passed", "all outcomes", "malformed", "missing"],
)
def test_report_is_counted(
    report: str | None, expected: run_suite.Counts, tmp_path: pathlib.Path
) -> None:
    """Guards against a run that ended early and counts as passed."""
    path = tmp_path / "report.xml"
    if report is not None:
        path.write_text(report)
    assert run_suite.read_counts(path) == expected


@pytest.mark.parametrize("processors", [1, 2, 7, 64])
@pytest.mark.parametrize(
    ("is_process", "is_alone"), [(False, False), (True, False), (True, True)]
)
def test_each_test_is_in_one_phase(
    processors: int, is_process: bool, is_alone: bool
) -> None:
    """Guards against tests that no phase selects, or two do."""
    selected = [
        phase
        for phase in run_suite.phases(processors)
        if eval(phase.marks, {"process": is_process, "alone": is_alone})
    ]
    assert len(selected) == 1
    assert all(phase.workers >= 1 for phase in selected)


@pytest.mark.process
@pytest.mark.parametrize(
    ("body", "expected"),
    [
        ("def test_a(): pass", run_suite.Counts(1, 0, 0)),
        ("def test_a(): assert False", run_suite.Counts(0, 1, 0)),
        ("import os\ndef test_a(): os._exit(3)", run_suite.Counts(0, 1, 0)),
    ],
    ids=["passes", "fails", "ends its process"],
)
@pytest.mark.parametrize("workers", [1, 2])
def test_failure_of_a_phase_is_counted(
    body: str,
    expected: run_suite.Counts,
    workers: int,
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a worker that ends in a test and passes for whole."""
    path = tmp_path / "test_sample.py"
    path.write_text(body)
    counts = run_suite.run_phase(
        run_suite.Phase("sample", "not process", workers), [str(path)]
    )
    assert counts == expected
