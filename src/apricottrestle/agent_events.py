"""Events that an agent's step consumes and commands that it returns.

The daemon turns commands into I/O and its results into events. Every event
names what it answers, so that a late or duplicated answer is recognised.
"""

from typing import NamedTuple

from apricottrestle import call_log, config_state, messages


class FrameReceived(NamedTuple):
    """A message of an entry; `routing_id` is empty for bulk frames."""

    routing_id: bytes
    received: messages.Received


class SendFailed(NamedTuple):
    """A connection is gone or its queue is full."""

    routing_id: bytes


class RunTokens(NamedTuple):
    """The engine produced tokens; offsets include the forced prefix."""

    run_id: str
    offset: int
    tokens: list[int]
    reused_tokens: int


class RunFinished(NamedTuple):
    """The engine finished a run; `total_tokens` includes the forced prefix."""

    run_id: str
    total_tokens: int


class RunFailed(NamedTuple):
    """The engine refused a run or its stream broke off."""

    run_id: str
    reason: str


class EngineLoad(NamedTuple):
    """Answer of the engine's /load; blocks are KV cache blocks.

    `block_tokens` is 0 when the engine doesn't tell its block size.
    """

    running: int
    waiting: int
    prefill_tokens_left: int
    kv_blocks_total: int
    kv_blocks_free: int
    age_s: float
    block_tokens: int = 0


class EnginePollFailed(NamedTuple):
    """A poll of the engine failed."""

    reason: str


class AllocationAnswer(NamedTuple):
    """Answer to Allocate."""

    allocation: str
    granted: bool
    reason: str


class AllocationRow(NamedTuple):
    """An allocation in the engine; `request_id` is "" without a request."""

    allocation: str
    blocks: int
    request_id: str


class AllocationList(NamedTuple):
    """All allocations of the engine."""

    rows: list[AllocationRow]


class EngineConfig(NamedTuple):
    """Read-back of the engine's configuration."""

    model: str
    versions: list[str]
    adapters: list[str]
    role: str


class OrderAnswer(NamedTuple):
    """Answer to SendOrder; `status` is 0 when the engine did not answer."""

    fence: int
    status: int


class PermitAnswer(NamedTuple):
    """Answer to RequestPermit; `retry_after_s` is 0 when granted."""

    model: str
    version: str
    retry_after_s: float


class CacheEvent(NamedTuple):
    """One change of the engine's prefix cache."""

    seq: int
    added: list[int]
    removed: list[int]


class CacheEvents(NamedTuple):
    """Answer to PollCache; a full one replaces all earlier events."""

    last_seq: int
    full: bool
    events: list[CacheEvent]


class KvExported(NamedTuple):
    """Answer to ExportKv; `handle` is "" when the engine can't export."""

    run_id: str
    handle: str


class ServiceAnswer(NamedTuple):
    """The service answered a call."""

    call_id: str
    status: int
    headers: list[tuple[str, str]]
    body: bytes


class ServiceFailed(NamedTuple):
    """No answer; `sent` is False only if no byte reached the service."""

    call_id: str
    reason: str
    sent: bool


class CallsAppended(NamedTuple):
    """The batch of call entries is on the log at `offset`."""

    batch: int
    offset: int


class CallsRead(NamedTuple):
    """Records of the call stream after the position asked for."""

    batch: int
    first_offset: int
    next_offset: int
    records: list[call_log.CallRecord]


class CallLogFailed(NamedTuple):
    """An append or read of the call stream failed or has no known outcome."""

    batch: int


class ConfigChanged(NamedTuple):
    """Folded configuration.

    Attributes:
        state: The state.
        confirmed_pause: Number of the pause after which a peer or the log was
            asked and had nothing newer; 0 when the state confirms nothing.
    """

    state: config_state.ConfigState
    confirmed_pause: int


class ModelAssigned(NamedTuple):
    """The placement gives this agent's engine a model."""

    model: str


class DrainRequested(NamedTuple):
    """SIGTERM, or the instance list shows this agent as leaving."""


Event = (
    FrameReceived
    | SendFailed
    | RunTokens
    | RunFinished
    | RunFailed
    | EngineLoad
    | EnginePollFailed
    | AllocationAnswer
    | AllocationList
    | EngineConfig
    | OrderAnswer
    | PermitAnswer
    | CacheEvents
    | KvExported
    | ServiceAnswer
    | ServiceFailed
    | CallsAppended
    | CallsRead
    | CallLogFailed
    | ConfigChanged
    | ModelAssigned
    | DrainRequested
)


class Send(NamedTuple):
    """Send a message to an entry."""

    routing_id: bytes
    msg: messages.Message
    body: bytes = b""


class StartRun(NamedTuple):
    """Start a generation.

    Attributes:
        run_id: Request id and attempt; the engine's request id.
        body: Msgpack prompt.
        max_tokens: Tokens in all, forced prefix included.
        priority: Index into messages.PRIORITIES.
        adapter: Adapter name or "".
        version: Model version.
        forced_prefix: Tokens to continue after.
        lease_ms: Lease of the memory that the engine takes for the run.
        group: Members whose reservations hold the memory, the leader's own
            included; empty for a single engine.
        kv: KV cache to import, or None.
    """

    run_id: str
    body: bytes
    max_tokens: int
    priority: int
    adapter: str
    version: str
    forced_prefix: list[int]
    lease_ms: int
    group: list[messages.GroupMember]
    kv: messages.KvHandle | None


class CancelRun(NamedTuple):
    """End a generation in the engine."""

    run_id: str


class Allocate(NamedTuple):
    """Allocate KV memory for a reservation."""

    allocation: str
    tokens: int
    lease_ms: int


class RenewAllocation(NamedTuple):
    """Extend the engine's own lease of an allocation."""

    allocation: str
    lease_ms: int


class FreeAllocation(NamedTuple):
    """Free an allocation."""

    allocation: str


class ExportKv(NamedTuple):
    """Export the KV cache of a run under a lease; ends the run."""

    run_id: str
    lease_ms: int


class FreeExport(NamedTuple):
    """Free an exported KV cache."""

    handle: str


class PollLoad(NamedTuple):
    """Read the engine's load."""


class PollAllocations(NamedTuple):
    """Read the engine's allocation list."""


class PollConfig(NamedTuple):
    """Read back the engine's configuration."""


class PollCache(NamedTuple):
    """Read the engine's cache events after a number; 0 asks for all blocks."""

    after_seq: int


class SendOrder(NamedTuple):
    """Order the engine to a configuration; `fence` is the revision."""

    fence: int
    model: str
    versions: list[str]
    adapters: list[str]
    role: str


class RequestPermit(NamedTuple):
    """Ask the weight store for the permission to load a version."""

    model: str
    version: str


class CallService(NamedTuple):
    """Call the plain service."""

    call_id: str
    method: str
    path: str
    headers: list[tuple[str, str]]
    body: bytes
    timeout_s: float


class AppendCalls(NamedTuple):
    """Append a batch of call entries to the agent's call stream."""

    batch: int
    data: str


class ReadCalls(NamedTuple):
    """Read at most `max_records` records of the call stream after an offset."""

    batch: int
    after_offset: int
    max_records: int


class SendConfigUpdate(NamedTuple):
    """Send an entry the release records after a revision."""

    routing_id: bytes
    after_revision: int


class FoldConfig(NamedTuple):
    """Fold a peer's update; see ConfigChanged for `confirmed_pause`.

    `peer_revision` is that of the peer; a fold that falls short of it confirms
    nothing.
    """

    update: messages.ConfigUpdate
    peer_revision: int
    confirmed_pause: int


class ReadReleaseStream(NamedTuple):
    """Read the release stream; answer with ConfigChanged."""

    pause: int


class WriteAuditRow(NamedTuple):
    """An audit row; `start` and `end` are monotonic seconds."""

    req_id: str
    attempt: int
    team: str
    priority: int
    upstream: str
    version: str
    config_rev: int
    peer: str
    start: float
    end: float
    outcome: str
    tokens: int


class LogDecision(NamedTuple):
    """A decision to log; fields hold no prompt text and no keys."""

    kind: str
    fields: dict[str, str | int | float]


class Exit(NamedTuple):
    """The drain is complete."""


Command = (
    Send
    | StartRun
    | CancelRun
    | Allocate
    | RenewAllocation
    | FreeAllocation
    | ExportKv
    | FreeExport
    | PollLoad
    | PollAllocations
    | PollConfig
    | PollCache
    | SendOrder
    | RequestPermit
    | CallService
    | AppendCalls
    | ReadCalls
    | SendConfigUpdate
    | FoldConfig
    | ReadReleaseStream
    | WriteAuditRow
    | LogDecision
    | Exit
)
