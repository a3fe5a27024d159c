"""Decodes configuration and upstream entries from the store's JSON.

The names of JSON fields are used in this module only. A comment explains those
that are misleading.
"""

import re
from typing import Annotated, Final, Literal

import msgspec

from apricottrestle import decoding, errors
from apricottrestle.gateway import fleet_config, upstream_list

_S_PER_MS: Final = 1e-3
_MILLION: Final = 1e6

MAX_INTEGER: Final = 2**63 - 1
"""Largest integer that gateways can send to each other."""

MAX_SLOTS: Final = 100_000
MAX_WARM_UP_MS: Final = 24 * 3_600_000.0
"""Bounds of what an upstream may say of itself, far above any real one."""

MAX_COLD_PER_S: Final = 1e9
"""Bound of the requests per second to a cold upstream."""

MAX_NAME_CHARS: Final = 200
"""Longest name of an upstream, a host, a service or a data centre."""

MAX_PORT: Final = 65_535

_ID: Final = re.compile(rf"[!-~]{{1,{MAX_NAME_CHARS}}}", re.ASCII)
"""Ids are sent as headers."""

_ADDRESS: Final = re.compile(
    rf"([A-Za-z0-9._-]{{1,{MAX_NAME_CHARS}}}):([0-9]{{1,5}})", re.ASCII
)

_Integer = Annotated[int, msgspec.Meta(ge=-MAX_INTEGER, le=MAX_INTEGER)]
_Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_INTEGER)]
_Name = Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_NAME_CHARS)]


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
    priority: _Integer = 0
    service: str = ""
    split: list[_Split] = []
    max_attempts: _Count = 1
    public: bool = False
    resumable: bool = False
    gap_target_ms: float = 0.0
    allowed_regions: list[str] | None = None


class _Delay(msgspec.Struct):
    # The data centres at both ends of a link; the second one isn't a version.
    zone: str = msgspec.field(name="from")
    other: str = msgspec.field(name="target_version")
    delay_ms: Annotated[float, msgspec.Meta(ge=0.0)]


class _Engine(msgspec.Struct):
    slots: _Count
    kv_capacity: _Count
    step_ms: float
    per_seq_ms: float = 0.0
    # Step time in milliseconds per thousand tokens of context.
    context_per_k: float = 0.0
    # Prefill rate in tokens per second, without attention.
    read_per_s: float = 0.0
    # Attention's prefill time in milliseconds per million pairs of tokens.
    pairs_per_m: float = 0.0
    # Maximum number of prompt tokens prefilled in a step.
    chunk: _Count = 1
    # Steps of a scheduling pass.
    stride: _Count = 1
    hop_ms: float = 0.0
    delays: list[_Delay] = []


class _Service(msgspec.Struct):
    name: str
    max_conns: _Count = 0
    engine: _Engine | None = None
    cold_start_s: float = 0.0
    cold_per_s: float = 0.0


class _Tenant(msgspec.Struct):
    name: str
    api_keys: list[str] = []
    priority: _Integer | None = None
    allowed_regions: list[str] | None = None


class _Limits(msgspec.Struct):
    max_header_bytes: _Count = 16_384
    max_body_bytes: _Count = 4 * 1024 * 1024
    header_timeout_ms: float = 3_000.0
    idle_timeout_ms: float = 15_000.0


class _Config(msgspec.Struct):
    version: _Count
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = msgspec.field(default_factory=_Limits)
    # Absent if callers need no API key; empty if no key is valid.
    tenants: list[_Tenant] | None = None


class _Upstream(msgspec.Struct):
    # Every upstream writes all fields up to `seq_no`, used here or not. An
    # entry without one of them isn't an upstream's own.
    service: _Name
    address: str
    zone: Annotated[str, msgspec.Meta(max_length=MAX_NAME_CHARS)]
    version: str
    state: Literal["ready", "draining"]
    slots: Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)]
    # Remaining warm-up time.
    cold_left_ms: Annotated[float, msgspec.Meta(le=MAX_WARM_UP_MS)]
    seq_no: _Integer
    # Start time in Unix milliseconds.
    born: _Count = 0


class _Report(msgspec.Struct):
    # Start time in Unix milliseconds.
    born: _Count | None = None


MAX_LENGTH_DIGITS: Final = 18
"""Digits of a body's length that are converted, which takes long for many."""


def decode_length(value: str) -> int | None:
    """Returns the length of a body; None if the value is no plain number."""
    is_length = value.isdecimal() and len(value) <= MAX_LENGTH_DIGITS
    return int(value) if is_length else None


def decode_config(value: bytes) -> fleet_config.FleetConfig:
    """Decodes a configuration.

    Raises:
        PlatformError: The value is malformed or lacks a field.
    """
    try:
        decoded = msgspec.json.decode(value, type=_Config)
    except decoding.DECODE_ERRORS as exc:
        raise errors.PlatformError(
            f"malformed configuration: {exc}", step="configure", peer="store"
        ) from exc
    teams = None
    if decoded.tenants is not None:
        teams = {
            key: fleet_config.Team(
                tenant.name,
                tenant.priority,
                tuple(tenant.allowed_regions or ()),
            )
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
    except decoding.DECODE_ERRORS as exc:
        raise _malformed_entry(upstream_id, str(exc)) from exc
    if _ID.fullmatch(upstream_id) is None:
        raise _malformed_entry(upstream_id, "invalid id")
    address = _ADDRESS.fullmatch(decoded.address)
    if address is None or not 1 <= int(address[2]) <= MAX_PORT:
        raise _malformed_entry(upstream_id, "invalid address")
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
    except decoding.DECODE_ERRORS:
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
        tuple(route.allowed_regions or ()),
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
    return fleet_config.Service(
        service.name,
        service.max_conns,
        model,
        tuple(
            fleet_config.LinkDelay(
                delay.zone, delay.other, delay.delay_ms * _S_PER_MS
            )
            for delay in (engine.delays if engine is not None else ())
        ),
        min(max(service.cold_start_s, 0.0), MAX_WARM_UP_MS * _S_PER_MS),
        min(max(service.cold_per_s, 0.0), MAX_COLD_PER_S),
    )
