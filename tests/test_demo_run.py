"""Guards the demo: it passes, and leaves no process behind."""

import os
import pathlib
import re
import signal
import subprocess
import sys

import pytest

from apricottrestle_standins import fleet

pytestmark = pytest.mark.process

_DEMO = [sys.executable, "-m", "apricottrestle_standins.demo"]
_LIMIT_S = 120


def _children(pid: int) -> set[int]:
    """Returns the ids of the processes that a process started."""
    found = set()
    for stat in pathlib.Path("/proc").glob("[0-9]*/stat"):
        try:
            fields = stat.read_text().rpartition(")")[2].split()
        except OSError:
            continue
        if int(fields[1]) == pid:
            found.add(int(stat.parent.name))
    return found


def _gone(pids: set[int]) -> bool:
    return not any(pathlib.Path(f"/proc/{pid}").exists() for pid in pids)


def test_demo_passes() -> None:
    done = subprocess.run(
        _DEMO, capture_output=True, text=True, timeout=_LIMIT_S, check=False
    )
    assert done.returncode == 0, done.stdout + done.stderr
    assert "ledger check: passed" in done.stdout
    assert re.search(r"<1000k +urgent +1 ", done.stdout)


@pytest.mark.parametrize("signum", [signal.SIGINT, signal.SIGTERM])
def test_interrupted_demo_ends_its_processes(signum: signal.Signals) -> None:
    with subprocess.Popen(
        _DEMO, stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL
    ) as demo:
        fleet.wait_for(lambda: len(_children(demo.pid)) >= 12, "demo starts")
        started = _children(demo.pid)
        os.kill(demo.pid, signum)
        assert demo.wait(30) != 0
    fleet.wait_for(lambda: _gone(started), "all processes ended")
