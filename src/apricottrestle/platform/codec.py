"""Decodes configuration and upstream entries from the store's JSON.

The names of JSON fields are used in this module only. A comment explains those
that are misleading.
"""

from typing import Final, Literal

import msgspec

from apricottrestle import errors
from apricottrestle.gateway import fleet_config, upstream_list

_S_PER_MS: Final = 1e-3
_MILLION: Final = 1e6


class _Split(msgspec.Struct):
    service: str
    weight: float = 1.0


class _Route(msgspec.Struct):
    host: str
    path_prefix: str
    kind: str
    name: str = ""
    timeout_ms: float = 0.0
    # Latency up to which a response is on time, not a latency to aim for.
    target_latency_ms: float = 0.0
    priority: int = 0
    service: str = ""
    split: list[_Split] = []
    max_attempts: int = 1
    public: bool = False
    resumable: bool = False
    gap_target_ms: float = 0.0


class _Engine(msgspec.Struct):
    slots: int
    kv_capacity: int
    step_ms: float
    per_seq_ms: float = 0.0
    # Step time in milliseconds per thousand tokens of context.
    context_per_k: float = 0.0
    # Prefill rate in tokens per second, without attention.
    read_per_s: float = 0.0
    # Attention's prefill time in milliseconds per million pairs of tokens.
    pairs_per_m: float = 0.0
    # Maximum number of prompt tokens prefilled in a step.
    chunk: int = 1
    # Steps of a scheduling pass.
    stride: int = 1
    hop_ms: float = 0.0


class _Service(msgspec.Struct):
    name: str
    max_conns: int = 0
    engine: _Engine | None = None


class _Tenant(msgspec.Struct):
    name: str
    api_keys: list[str] = []
    priority: int | None = None


class _Limits(msgspec.Struct):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_ms: float = 3_000.0
    idle_timeout_ms: float = 15_000.0


class _Config(msgspec.Struct):
    version: int
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = msgspec.field(default_factory=_Limits)
    # Absent if callers need no API key; empty if no key is valid.
    tenants: list[_Tenant] | None = None


class _Upstream(msgspec.Struct):
    service: str
    address: str
    zone: str
    state: Literal["ready", "draining"]
    slots: int = fleet_config.DEFAULT_SLOTS
    # Remaining warm-up time.
    cold_left_ms: float = 0.0
    # Start time in Unix milliseconds.
    born: int = 0


class _Report(msgspec.Struct):
    # Start time in Unix milliseconds.
    born: int | None = None


def decode_config(value: bytes) -> fleet_config.FleetConfig:
    """Decodes a configuration.

    Raises:
        PlatformError: The value is malformed or lacks a field.
    """
    try:
        decoded = msgspec.json.decode(value, type=_Config)
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        raise errors.PlatformError(
            f"malformed configuration: {exc}", step="configure", peer="store"
        ) from exc
    teams = None
    if decoded.tenants is not None:
        teams = {
            key: fleet_config.Team(tenant.name, tenant.priority)
            for tenant in decoded.tenants
            for key in tenant.api_keys
        }
    return fleet_config.FleetConfig(
        decoded.version,
        tuple(_convert_route(route) for route in decoded.routes),
        {
            service.name: _convert_service(service)
            for service in decoded.services
        },
        fleet_config.CallerLimits(
            decoded.limits.max_header_bytes,
            decoded.limits.max_body_bytes,
            decoded.limits.header_timeout_ms * _S_PER_MS,
            decoded.limits.idle_timeout_ms * _S_PER_MS,
        ),
        teams,
    )


def decode_upstream(
    upstream_id: str, value: bytes
) -> upstream_list.UpstreamEntry:
    """Decodes an upstream's entry.

    Raises:
        PlatformError: A field is missing, of another type or out of range, so
            that the entry can't be used.
    """
    try:
        decoded = msgspec.json.decode(value, type=_Upstream)
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        raise _malformed_entry(upstream_id, str(exc)) from exc
    host, _, port = decoded.address.rpartition(":")
    if (
        not host
        or not port.isdigit()
        or decoded.slots < 1
        or not decoded.service
    ):
        raise _malformed_entry(upstream_id, "invalid address, slots or service")
    return upstream_list.UpstreamEntry(
        upstream_id,
        decoded.service,
        decoded.address,
        decoded.zone,
        decoded.state == "draining",
        decoded.slots,
        max(decoded.cold_left_ms, 0.0) * _S_PER_MS,
        decoded.born,
    )


def decode_start_time_ms(report: bytes) -> int | None:
    """Returns an upstream's start time in Unix milliseconds from its report.

    None if the report doesn't have it, as that of a plain service.
    """
    try:
        return msgspec.json.decode(report, type=_Report).born
    except (msgspec.DecodeError, UnicodeDecodeError):
        return None


def _malformed_entry(upstream_id: str, reason: str) -> errors.PlatformError:
    return errors.PlatformError(
        f"malformed upstream entry: {reason}", step="list", peer=upstream_id
    )


def _convert_route(route: _Route) -> fleet_config.Route:
    targets = tuple(
        fleet_config.RouteTarget(part.service, part.weight)
        for part in route.split
    ) or (fleet_config.RouteTarget(route.service, 1.0),)
    kind: fleet_config.RequestKind = "unsafe"
    if route.kind == "safe":
        kind = "safe"
    elif route.kind == "stream":
        kind = "stream"
    return fleet_config.Route(
        route.name,
        route.host,
        route.path_prefix,
        kind,
        route.timeout_ms * _S_PER_MS,
        route.target_latency_ms * _S_PER_MS,
        route.gap_target_ms * _S_PER_MS,
        route.priority,
        targets,
        max(route.max_attempts, 1),
        route.public,
        route.resumable,
    )


def _convert_service(service: _Service) -> fleet_config.Service:
    engine = service.engine
    model = None
    if engine is not None:
        model = fleet_config.EngineCostModel(
            engine.slots,
            engine.kv_capacity,
            engine.step_ms * _S_PER_MS,
            engine.per_seq_ms * _S_PER_MS,
            engine.context_per_k * _S_PER_MS / 1000,
            engine.read_per_s,
            engine.pairs_per_m * _S_PER_MS / _MILLION,
            engine.chunk,
            engine.stride,
            engine.hop_ms * _S_PER_MS,
        )
    return fleet_config.Service(service.name, service.max_conns, model)
