"""Tests signals that reach a gateway's process while it starts."""

import signal
import subprocess
import sys

import pytest

from apricottrestle.platform import names

pytestmark = pytest.mark.process

EXIT_INVALID_SETTINGS = 2

_SIGNAL_DURING_IMPORT = """
import os, runpy, signal, sys

class SignalOnImport:
    def find_spec(self, name, path=None, target=None):
        if name == {module!r}:
            os.kill(os.getpid(), signal.SIGHUP)

sys.meta_path.insert(0, SignalOnImport())
runpy.run_module("apricottrestle.platform", run_name="__main__")
"""


@pytest.mark.parametrize(
    "module",
    [
        "apricottrestle.errors",
        "apricottrestle.gateway.daemon",
        "apricottrestle.platform.upstream_client",
    ],
)
def test_reload_during_the_start_does_not_end_the_process(module: str) -> None:
    """Guards against a gateway that a reload ends before it handles signals."""
    result = subprocess.run(
        [sys.executable, "-c", _SIGNAL_DURING_IMPORT.format(module=module)],
        env={
            "PYTHONPATH": ":".join(path for path in sys.path if path),
            names.SETTINGS_FILE_VARIABLE: "absent.toml",
        },
        capture_output=True,
        check=False,
        timeout=30,
    )
    assert result.returncode != -signal.SIGHUP
    assert result.returncode == EXIT_INVALID_SETTINGS
    assert b"absent.toml" in result.stderr
