"""Tests that the demo passes and that it leaves no process running."""

import os
import pathlib
import re
import signal
import subprocess
import sys
from typing import Any

import pytest

from apricottrestle_standins import fleet

pytestmark = pytest.mark.process

_DEMO = [sys.executable, "-m", "apricottrestle_standins.demo"]
_TIMEOUT_S = 120


def _children(pid: int) -> set[int]:
    """Returns the process ids of a process's children."""
    found = set()
    for stat in pathlib.Path("/proc").glob("[0-9]*/stat"):
        try:
            fields = stat.read_text().rpartition(")")[2].split()
        except OSError:
            continue
        if int(fields[1]) == pid:
            found.add(int(stat.parent.name))
    return found


def _all_exited(pids: set[int]) -> bool:
    return not any(pathlib.Path(f"/proc/{pid}").exists() for pid in pids)


def test_demo_passes() -> None:
    done = subprocess.run(
        _DEMO, capture_output=True, text=True, timeout=_TIMEOUT_S, check=False
    )
    assert done.returncode == 0, done.stdout + done.stderr
    assert "ledger check: passed" in done.stdout
    assert re.search(r"<1000k +urgent +1 ", done.stdout)


_IGNORING_SIGINT = ["sh", "-c", 'trap "" INT; exec "$@"', "sh"]


@pytest.mark.parametrize(
    ("signum", "starter"),
    [
        (signal.SIGINT, []),
        (signal.SIGTERM, []),
        (signal.SIGINT, _IGNORING_SIGINT),
    ],
    ids=["SIGINT", "SIGTERM", "SIGINT ignored by its starter"],
)
def test_interrupted_demo_ends_its_processes(
    signum: signal.Signals, starter: list[str]
) -> None:
    """Guards against processes that outlive the demo.

    A shell without job control starts background commands with SIGINT ignored.
    """
    with subprocess.Popen(
        [*starter, *_DEMO],
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
    ) as demo:
        fleet.wait_for(lambda: len(_children(demo.pid)) >= 12, "demo starts")
        started = _children(demo.pid)
        os.kill(demo.pid, signum)
        assert demo.wait(30) != 0
    fleet.wait_for(lambda: _all_exited(started), "all processes ended")


@pytest.mark.parametrize("signum", [signal.SIGINT, signal.SIGTERM])
def test_interrupt_while_a_process_starts_leaves_none(
    signum: signal.Signals, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a signal between a process's start and its registration.

    On a loaded machine, such a signal left a stand-in running.
    """
    started: list[int] = []
    original_popen = subprocess.Popen

    def popen_then_signal(*args: Any, **kwargs: Any) -> subprocess.Popen[bytes]:
        process = original_popen(*args, **kwargs)
        started.append(process.pid)
        signal.raise_signal(signum)
        return process

    def raise_interrupt(_signum: int, _frame: object) -> None:
        raise KeyboardInterrupt

    previous_handler = signal.signal(signum, raise_interrupt)
    try:
        with pytest.raises(KeyboardInterrupt), fleet.Fleet(["dc"]) as processes:
            monkeypatch.setattr(subprocess, "Popen", popen_then_signal)
            processes.spawn("sleeper", "timeit", "import time; time.sleep(60)")
    finally:
        signal.signal(signum, previous_handler)
    assert len(started) == 1
    fleet.wait_for(lambda: _all_exited(set(started)), "the process ended")
