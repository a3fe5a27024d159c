"""Runs the whole test suite in phases: `python -m tests.run_suite`.

Tests without processes share nothing, so they run in as many workers as there
are processors. Tests of real processes have time limits that a busy machine
would break; few of them run at a time. Tests that judge the memory of a process
run one by one.

Each phase runs to its end, whatever the ones before found. The last line
printed is one summary of all.
"""

import os
import pathlib
import subprocess
import sys
import tempfile
import xml.etree.ElementTree
from typing import Final, NamedTuple

PROCESS_WORKERS: Final = 4
"""Tests of processes at a time. Each starts up to about ten processes, which
mostly wait."""

NO_TESTS_COLLECTED: Final = 5
"""Exit code of pytest if it has found no test."""


class Phase(NamedTuple):
    """A part of the suite.

    Attributes:
        name: Shown before its output.
        marks: Expression that selects its tests.
        workers: Tests that run at a time.
    """

    name: str
    marks: str
    workers: int


class Counts(NamedTuple):
    """Numbers of tests by their outcome."""

    passed: int = 0
    failed: int = 0
    skipped: int = 0

    def plus(self, other: "Counts") -> "Counts":
        """Returns the sums of both."""
        return Counts(
            self.passed + other.passed,
            self.failed + other.failed,
            self.skipped + other.skipped,
        )


def phases(processors: int) -> list[Phase]:
    """Returns the phases in the order in which they run.

    Args:
        processors: Number of processors that may be used.
    """
    return [
        Phase("without processes", "not process", processors),
        Phase(
            "of processes",
            "process and not alone",
            max(min(PROCESS_WORKERS, processors), 1),
        ),
        Phase("of a process's memory", "process and alone", 1),
    ]


def read_counts(report: pathlib.Path) -> Counts:
    """Returns the counts of a JUnit report.

    A report that is missing or malformed counts as one failure: pytest ended
    before it could write it.
    """
    try:
        root = xml.etree.ElementTree.parse(report).getroot()
    except (OSError, xml.etree.ElementTree.ParseError):
        return Counts(failed=1)
    counts = Counts()
    for suite in root.iter("testsuite"):
        total, errors, failures, skipped = (
            int(suite.get(name, "0"))
            for name in ("tests", "errors", "failures", "skipped")
        )
        failed = errors + failures
        counts = counts.plus(Counts(total - failed - skipped, failed, skipped))
    return counts


def run_phase(phase: Phase, arguments: list[str]) -> Counts:
    """Runs a phase and returns its counts.

    A phase that fails without a failed test, for instance as a worker has
    crashed, counts as one failure.
    """
    print(f"== Tests {phase.name}, {phase.workers} at a time", flush=True)
    command = [sys.executable, "-m", "pytest", "-m", phase.marks]
    if phase.workers > 1:
        command += ["-n", str(phase.workers), "--dist", "worksteal"]
    with tempfile.TemporaryDirectory() as directory:
        report = pathlib.Path(directory) / "report.xml"
        code = subprocess.run(
            [*command, f"--junitxml={report}", *arguments], check=False
        ).returncode
        if code == NO_TESTS_COLLECTED:
            return Counts()
        counts = read_counts(report)
    if code and not counts.failed:
        return counts.plus(Counts(failed=1))
    return counts


def main(arguments: list[str]) -> int:
    """Runs all phases; returns 0 if every test has passed or was skipped."""
    counts = Counts()
    for phase in phases(len(os.sched_getaffinity(0))):
        counts = counts.plus(run_phase(phase, arguments))
    print(
        f"{counts.passed} passed, {counts.failed} failed, "
        f"{counts.skipped} skipped",
        flush=True,
    )
    return 0 if counts.passed and not counts.failed else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
