"""JSON bodies of the engine stand-in; see docs/design.md, upstream protocol."""

import msgspec

from apricottrestle_standins import engine_core, prefix_cache


class GroupPart(msgspec.Struct):
    """An allocation on an engine of the group that runs a completion."""

    url: str
    allocation: str


class CompletionBody(msgspec.Struct, kw_only=True):
    """Body of `POST /v1/completions`."""

    prompt: str | list[int]
    max_tokens: int
    request_id: str
    stream: bool = False
    priority: int = 1
    attempt: int = 0
    lease_ms: int = 0
    forced_prefix: list[int] = []
    group: list[GroupPart] = []


class CancelBody(msgspec.Struct):
    """Body of `POST /cancel`."""

    request_id: str


class AllocateBody(msgspec.Struct):
    """Body of `POST /allocations`."""

    id: str
    tokens: int
    lease_ms: int


class RenewBody(msgspec.Struct):
    """Body of `POST /allocations/renew`."""

    id: str
    lease_ms: int


class ExportBody(msgspec.Struct):
    """Body of `POST /kv/export`."""

    request_id: str
    lease_ms: int


class ImportBody(msgspec.Struct):
    """Body of `POST /kv/import`."""

    url: str
    handle: str
    request_id: str
    lease_ms: int = 10_000


class ExportRow(msgspec.Struct):
    """Response of `GET /kv/export/<handle>`."""

    handle: str
    tokens: int


class AllocationRow(msgspec.Struct):
    """Row of `GET /allocations`."""

    id: str
    blocks: int
    request_id: str
    tokens: int = 0


class OrderBody(msgspec.Struct, kw_only=True):
    """Body of `POST /orders` and response of `GET /config`."""

    fence: int = 0
    model: str = ""
    versions: list[str] = []
    adapters: list[str] = []
    role: str = ""


class OrderRow(msgspec.Struct):
    """Ledger row of an order."""

    time_s: float
    fence: int
    model: str
    accepted: bool


class CancelRow(msgspec.Struct):
    """Ledger row of a cancellation; `known` is whether it ended a request."""

    time_s: float
    request_id: str
    reason: str
    known: bool


class LoadRow(msgspec.Struct):
    """Response of `GET /load`."""

    running: int = 0
    waiting: int = 0
    prefill_tokens_left: int = 0
    kv_blocks_total: int = 0
    kv_blocks_free: int = 0
    age_ms: int = 0
    block_tokens: int = 0
    prefill_tokens_per_s: float = 0.0


class Ledger(msgspec.Struct):
    """Response of `GET /ledger`: the record of what the engine did."""

    now_s: float
    runs: list[engine_core.Run]
    cancels: list[CancelRow]
    allocations: list[engine_core.AllocationEvent]
    orders: list[OrderRow]
    blocks_used: int
    blocks_total: int


class CacheResponse(msgspec.Struct):
    """Response of `GET /cache_events`; `full` marks a complete snapshot."""

    next: int
    full: bool
    events: list[prefix_cache.CacheEvent]
