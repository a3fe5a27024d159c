"""Tests of the limits in the platform's settings file."""

import pathlib
import resource

import pytest

from apricottrestle import errors, memory_account
from apricottrestle.platform import settings_file

SETTINGS = """
node = "g"
ip = "127.0.0.1"
zone = "dc-1"
internal_port_range = [1, 2]
[listen]
[bounds]
grace_s = 4.0
drain_ms = 2000
retry_budget = 0.2
budget_window_s = 10
budget_slack = 100
[platform]
address = "127.0.0.1:1"
"""


def _load(directory: pathlib.Path, limits: str) -> tuple[float, int]:
    path = directory / "gateway.toml"
    path.write_text(SETTINGS + limits)
    cfg, _ = settings_file.load(str(path))
    return cfg.memory_mb, cfg.max_fds


def test_limits_of_the_settings_apply(tmp_path: pathlib.Path) -> None:
    """Guards against a gateway that ignores the size of its machine."""
    limits = "[limits]\nmemory_mb = 200\nmax_fds = 900\n"
    assert _load(tmp_path, limits) == (200.0, 900)


def test_limits_have_defaults_within_the_kernels(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against connections for which there are no descriptors."""
    for kernel, expected in (
        (1 << 20, memory_account.DEFAULT_MAX_FDS),
        (resource.RLIM_INFINITY, memory_account.DEFAULT_MAX_FDS),
        (1_024, 1_024),
    ):
        monkeypatch.setattr(
            resource, "getrlimit", lambda _kind, soft=kernel: (soft, soft)
        )
        assert _load(tmp_path, "") == (
            memory_account.DEFAULT_MEMORY_MB,
            expected,
        )


@pytest.mark.parametrize("key", ["memory_mb", "max_fds"])
@pytest.mark.parametrize("value", ["0", "-1", '"x"'])
def test_limits_that_are_no_positive_numbers_are_invalid(
    key: str, value: str, tmp_path: pathlib.Path
) -> None:
    """Guards against a gateway that starts, and then refuses everything."""
    with pytest.raises(errors.SettingsError):
        _load(tmp_path, f"[limits]\n{key} = {value}\n")
