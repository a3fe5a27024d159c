"""Tests the end of a gateway's process after its last answer."""

import contextlib
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import time
from typing import IO

import pytest

from apricottrestle.platform import names

pytestmark = pytest.mark.process

_PID = os.getpid()
IP = f"127.{1 + (_PID >> 8) % 250}.{_PID % 256}.200"
"""Loopback address of this process: the port of the metrics is fixed, and
fleets of `soak` in the same process take the first addresses."""

START_TIMEOUT_S = 30.0
EXIT_TIMEOUT_S = 30.0
"""Limits for a hanging process; no test judges how long one takes."""

TEARDOWN_MARK = b"interpreter teardown"

_RUN_WITH_MARK = f"""
import atexit, os, runpy

atexit.register(os.write, 2, {TEARDOWN_MARK!r})
runpy.run_module("apricottrestle.platform", run_name="__main__")
"""


def _free_ports(count: int) -> list[int]:
    with contextlib.ExitStack() as stack:
        socks = [stack.enter_context(socket.socket()) for _ in range(count)]
        for sock in socks:
            sock.bind((IP, 0))
        return [sock.getsockname()[1] for sock in socks]


def _stop_idle_gateway(
    directory: pathlib.Path, stdout: int | IO[bytes]
) -> tuple[int, bytes]:
    """Starts a gateway without a store, and stops it when it serves.

    Args:
        directory: For its settings.
        stdout: Its standard output.

    Returns:
        The exit code and the standard error.
    """
    callers, ready, control, internal, store = _free_ports(5)
    path = directory / "gateway.toml"
    path.write_text(f"""
node = "gateway-0"
ip = "{IP}"
zone = "dc-1"
internal_port_range = [{internal}, {internal}]
seeds = []
[listen]
front = "{IP}:{callers}"
ready = "{IP}:{ready}"
control = "{IP}:{control}"
[bounds]
grace_s = 4.0
drain_ms = 2000
retry_budget = 0.2
budget_window_s = 10
budget_slack = 100
free_ms = 4000
hold_max_ms = 20000
[platform]
address = "{IP}:{store}"
""")
    env = {
        "PYTHONPATH": os.pathsep.join(path for path in sys.path if path),
        names.SETTINGS_FILE_VARIABLE: str(path),
    }
    with subprocess.Popen(
        [sys.executable, "-c", _RUN_WITH_MARK],
        stdout=stdout,
        stderr=subprocess.PIPE,
        env=env,
    ) as process:
        try:
            deadline = time.monotonic() + START_TIMEOUT_S
            while True:
                with contextlib.suppress(ConnectionRefusedError):
                    socket.create_connection((IP, ready)).close()
                    break
                assert process.poll() is None
                assert time.monotonic() < deadline
                time.sleep(0.05)
            process.send_signal(signal.SIGTERM)
            _, stderr = process.communicate(timeout=EXIT_TIMEOUT_S)
        finally:
            process.kill()
    return process.returncode, stderr


def test_stop_with_blocked_output_exits_with_0(tmp_path: pathlib.Path) -> None:
    """Guards against a teardown that waits for the output, and aborts."""
    read_end, write_end = os.pipe()
    try:
        os.set_blocking(write_end, False)
        with contextlib.suppress(BlockingIOError):
            while True:
                os.write(write_end, b"x" * 4096)
        os.set_blocking(write_end, True)
        code, stderr = _stop_idle_gateway(tmp_path, write_end)
    finally:
        os.close(read_end)
        os.close(write_end)
    assert (code, stderr) == (0, b"")


def test_stop_ends_without_the_interpreters_teardown(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against work after the last answer, and against lost lines."""
    log = tmp_path / "gateway.log"
    with log.open("wb") as stdout:
        code, stderr = _stop_idle_gateway(tmp_path, stdout)
    lines = [json.loads(line) for line in log.read_text().splitlines()]
    assert (code, stderr) == (0, b"")
    assert lines[0]["message"] == "start"
    assert lines[-1]["message"] == "stop"
