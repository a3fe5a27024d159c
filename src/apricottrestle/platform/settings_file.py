"""Reads the platform's settings file and converts it to gateway settings."""

import os
import pathlib
import resource
import sys
import tomllib
from collections.abc import Callable
from typing import Annotated, Any, Final

import msgspec

from apricottrestle import errors, memory_account
from apricottrestle.gateway import settings
from apricottrestle.platform import names

_S_PER_MS: Final = 1e-3


_ColdBound = Annotated[float, msgspec.Meta(ge=0.0, le=1e9)]


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
    # Both are present only if engines support memory reservations.
    free_ms: float = 4_000.0
    hold_max_ms: float = 20_000.0
    # Both are present only if upstreams can be cold.
    cold_overrun: _ColdBound = 1.0
    cold_slack: _ColdBound = 0.0


class _Limits(msgspec.Struct):
    # Memory of the machine, and descriptors of the process.
    memory_mb: Annotated[float, msgspec.Meta(gt=0)] = (
        memory_account.DEFAULT_MEMORY_MB
    )
    max_fds: Annotated[int, msgspec.Meta(gt=0)] = memory_account.DEFAULT_MAX_FDS


class _Platform(msgspec.Struct):
    address: str


LEASE_HEARTBEATS: Final = 3
"""Heartbeats that an upstream may miss before the store removes its entry."""


class _Settings(msgspec.Struct):
    node: str
    ip: str
    zone: str
    internal_port_range: tuple[int, int]
    listen: _Listen
    bounds: _Bounds
    platform: _Platform
    # Addresses of gateways; only the IPs are used. Some may be outdated or
    # unreachable.
    seeds: list[str] = []
    # Interval at which upstreams renew their entries in the store.
    heartbeat_ms: float = 1200.0
    # Region of each data centre.
    zones: dict[str, str] = {}
    limits: _Limits = msgspec.field(default_factory=_Limits)


def load(path: str | None = None) -> tuple[settings.GatewaySettings, str]:
    """Returns the settings and the store's "ip:port".

    Args:
        path: The file; by default the one in the environment variable.

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
        decoded = msgspec.convert(raw, _Settings)
    except (OSError, tomllib.TOMLDecodeError, msgspec.ValidationError) as exc:
        raise errors.SettingsError([f"{path}: {exc}"]) from exc
    return _convert(decoded), decoded.platform.address


class SettingsSource:
    """Reads the settings file again whenever it changes."""

    def __init__(
        self,
        on_store_address: Callable[[str], None],
        path: str | None = None,
    ) -> None:
        """Creates the source without reading the file.

        Args:
            on_store_address: Called with the store's address at the first
                read and whenever it changes.
            path: The file; by default the one in the environment variable.
        """
        self._path = path or os.environ.get(names.SETTINGS_FILE_VARIABLE, "")
        self._on_store_address = on_store_address
        self._store_address = ""
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
        cfg, store_address = load(self._path)
        self._content = content
        if store_address != self._store_address:
            self._store_address = store_address
            self._on_store_address(store_address)
        return cfg


def _convert(decoded: _Settings) -> settings.GatewaySettings:
    port = decoded.internal_port_range[0]
    seeds = tuple(
        f"{seed.rpartition(':')[0]}:{port}"
        for seed in decoded.seeds
        if seed.rpartition(":")[0] != decoded.ip
    )
    return settings.GatewaySettings(
        decoded.node,
        decoded.zone,
        decoded.listen.front,
        decoded.listen.ready,
        decoded.listen.control,
        f"{decoded.ip}:{names.METRICS_PORT}",
        f"{decoded.ip}:{port}",
        seeds,
        decoded.bounds.grace_s,
        decoded.bounds.retry_budget,
        decoded.bounds.budget_window_s,
        decoded.bounds.budget_slack,
        decoded.bounds.free_ms * _S_PER_MS,
        decoded.bounds.hold_max_ms * _S_PER_MS,
        LEASE_HEARTBEATS * decoded.heartbeat_ms * _S_PER_MS,
        decoded.zones,
        decoded.bounds.cold_overrun,
        decoded.bounds.cold_slack,
        memory_mb=decoded.limits.memory_mb,
        max_fds=min(decoded.limits.max_fds, _process_fds()),
    )


def _process_fds() -> int:
    """Returns the number of descriptors that the kernel lets the process open.

    Accepting a connection beyond it fails, and the settings may exceed it.
    """
    soft_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft_limit == resource.RLIM_INFINITY:
        return sys.maxsize
    return soft_limit
