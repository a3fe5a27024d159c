"""Reads the platform's settings file into the gateway's settings."""

import os
import pathlib
import tomllib
from collections.abc import Callable
from typing import Any, Final

import msgspec

from apricottrestle import errors
from apricottrestle.gateway import settings
from apricottrestle.platform import names

_MS: Final = 1e-3


class _Listen(msgspec.Struct):
    front: str = ""
    ready: str = ""
    control: str = ""


class _Bounds(msgspec.Struct):
    grace_s: float
    drain_ms: float
    retry_budget: float
    budget_window_s: float
    budget_slack: float
    # Both only where engines set memory aside.
    free_ms: float = 4_000.0
    hold_max_ms: float = 20_000.0


class _Store(msgspec.Struct):
    address: str


class _Settings(msgspec.Struct):
    node: str
    ip: str
    zone: str
    internal_port_range: tuple[int, int]
    listen: _Listen
    bounds: _Bounds
    platform: _Store
    # Addresses of machines that may be stale or down.
    seeds: list[str] = []


def load(path: str | None = None) -> tuple[settings.GatewaySettings, str]:
    """Reads the settings and the store's "ip:port".

    Args:
        path: The file; by default the one the environment names.

    Raises:
        SettingsError: The file is missing, unreadable or incomplete.
    """
    if path is None:
        path = os.environ.get(names.SETTINGS_FILE_VARIABLE, "")
    if not path:
        raise errors.SettingsError(
            [f"environment variable {names.SETTINGS_FILE_VARIABLE} is not set"]
        )
    try:
        raw: dict[str, Any] = tomllib.loads(pathlib.Path(path).read_text())
        got = msgspec.convert(raw, _Settings)
    except (OSError, tomllib.TOMLDecodeError, msgspec.ValidationError) as exc:
        raise errors.SettingsError([f"{path}: {exc}"]) from exc
    return _translate(got), got.platform.address


class SettingsSource:
    """The settings file, read again when it changes."""

    def __init__(
        self,
        on_store_address: Callable[[str], None],
        path: str | None = None,
    ) -> None:
        """Reads nothing yet.

        Args:
            on_store_address: Called with the store's address when it changes.
            path: The file; by default the one the environment names.
        """
        self._path = path or os.environ.get(names.SETTINGS_FILE_VARIABLE, "")
        self._on_store_address = on_store_address
        self._address = ""
        self._content: bytes | None = None

    def read(self) -> settings.GatewaySettings | None:
        """Returns the settings if they have changed since the last call.

        Raises:
            SettingsError: The file is missing, unreadable or incomplete; the
                next call tries again.
        """
        try:
            content = pathlib.Path(self._path).read_bytes()
        except OSError as exc:
            raise errors.SettingsError([f"{self._path}: {exc}"]) from exc
        if content == self._content:
            return None
        cfg, address = load(self._path)
        self._content = content
        if address != self._address:
            self._address = address
            self._on_store_address(address)
        return cfg


def _translate(got: _Settings) -> settings.GatewaySettings:
    port = got.internal_port_range[0]
    seeds = tuple(
        f"{seed.rpartition(':')[0]}:{port}"
        for seed in got.seeds
        if seed.rpartition(":")[0] != got.ip
    )
    return settings.GatewaySettings(
        got.node,
        got.zone,
        got.listen.front,
        got.listen.ready,
        got.listen.control,
        f"{got.ip}:{names.METRICS_PORT}",
        f"{got.ip}:{port}",
        seeds,
        got.bounds.grace_s,
        got.bounds.retry_budget,
        got.bounds.budget_window_s,
        got.bounds.budget_slack,
        got.bounds.free_ms * _MS,
        got.bounds.hold_max_ms * _MS,
    )
