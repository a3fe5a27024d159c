"""Events that an agent's step consumes and commands that it returns.

The daemon turns commands into I/O and its results into events. An event that
reports a result carries the id or number of the run, call, batch, allocation or
order that it belongs to, so that a late or duplicate result is recognised.
"""

from typing import NamedTuple

from apricottrestle import call_log, config_state, messages


class FrameReceived(NamedTuple):
    """A message of an entry arrived; `routing_id` is empty for bulk frames."""

    routing_id: bytes
    received: messages.Received


class SendFailed(NamedTuple):
    """A send failed: the connection is gone or its send queue is full."""

    routing_id: bytes


class RunTokens(NamedTuple):
    """The engine produced tokens.

    Attributes:
        run_id: Id of the run.
        offset: Offset of the first token, counted from the start of the forced
            prefix.
        tokens: Token ids.
        reused_tokens: Prompt tokens that the engine took from its prefix cache.
    """

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
    """Load report of the engine, read from its /load.

    Attributes:
        running: Running requests.
        waiting: Requests in the engine's own queue.
        prefill_tokens_left: Prompt tokens of these requests not yet computed.
        kv_blocks_total: KV cache blocks of the engine.
        kv_blocks_free: KV cache blocks not in use.
        age_s: Time since the engine measured the load.
        block_tokens: Tokens in a KV block, 0 if the engine doesn't report it.
    """

    running: int
    waiting: int
    prefill_tokens_left: int
    kv_blocks_total: int
    kv_blocks_free: int
    age_s: float
    block_tokens: int = 0


class EnginePollFailed(NamedTuple):
    """The engine's load could not be read."""

    reason: str


class AllocationAnswer(NamedTuple):
    """The engine granted or refused an allocation; answers Allocate."""

    allocation: str
    granted: bool
    reason: str


class AllocationRow(NamedTuple):
    """An allocation in the engine; `request_id` is "" if no run holds it."""

    allocation: str
    blocks: int
    request_id: str


class AllocationList(NamedTuple):
    """All allocations of the engine."""

    rows: list[AllocationRow]


class EngineConfig(NamedTuple):
    """The configuration that the engine runs with, read back from it."""

    model: str
    versions: list[str]
    adapters: list[str]
    role: str


class OrderAnswer(NamedTuple):
    """Answer to SendOrder.

    Attributes:
        fence: Fencing number of the order.
        status: HTTP status, 0 when the engine did not answer.
    """

    fence: int
    status: int


class PermitAnswer(NamedTuple):
    """Answer to RequestPermit; `retry_after_s` is 0 when it is granted."""

    model: str
    version: str
    retry_after_s: float


class CacheEvent(NamedTuple):
    """One change of the engine's prefix cache."""

    seq: int
    added: list[int]
    removed: list[int]


class CacheEvents(NamedTuple):
    """Answer to PollCache.

    Attributes:
        last_seq: Number of the newest event.
        full: True if `events` lists all cached blocks, not only the changes.
        events: Events in order.
    """

    last_seq: int
    full: bool
    events: list[CacheEvent]


class KvExported(NamedTuple):
    """Answer to ExportKv; `handle` is "" when the engine cannot export."""

    run_id: str
    handle: str


class ServiceAnswer(NamedTuple):
    """The service answered a call."""

    call_id: str
    status: int
    headers: list[tuple[str, str]]
    body: bytes


class ServiceFailed(NamedTuple):
    """A call got no answer; `sent` is False only if no byte was sent."""

    call_id: str
    reason: str
    sent: bool


class CallsAppended(NamedTuple):
    """A batch of call entries was appended to the call stream at `offset`."""

    batch: int
    offset: int


class CallsRead(NamedTuple):
    """Answer to ReadCalls.

    Attributes:
        batch: Batch number of the request.
        first_offset: Offset of the oldest record that the stream retains.
        next_offset: Offset after the last record read.
        records: Records after the requested offset.
    """

    batch: int
    first_offset: int
    next_offset: int
    records: list[call_log.CallRecord]


class CallLogFailed(NamedTuple):
    """An append to or read of the call stream failed or timed out.

    The records of such an append may be on the stream nevertheless.
    """

    batch: int


class ConfigChanged(NamedTuple):
    """A configuration state folded from release records.

    Attributes:
        state: The state.
        confirmed_pause: Number of the process pause after which a peer or the
            log was asked and had nothing newer; 0 if the state is unconfirmed.
    """

    state: config_state.ConfigState
    confirmed_pause: int


class ModelAssigned(NamedTuple):
    """The placement assigned a model to this agent's engine."""

    model: str


class DrainRequested(NamedTuple):
    """The agent must drain.

    The process got SIGTERM or SIGINT, or the instance list shows this agent as
    leaving.
    """


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
        run_id: Run id, which the engine gets as its request id.
        body: Msgpack prompt.
        max_tokens: Maximum number of tokens, forced prefix included.
        priority: Index into messages.PRIORITIES.
        adapter: Adapter name or "".
        version: Model version.
        forced_prefix: Tokens already generated, which the run continues.
        lease_ms: Lease of the memory that the engine takes for the run.
        group: Engines whose reservations hold the memory, the leader first;
            empty for a run on a single engine.
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
    """Cancel a run in the engine."""

    run_id: str


class Allocate(NamedTuple):
    """Allocate KV cache for a group reservation."""

    allocation: str
    tokens: int
    lease_ms: int


class RenewAllocation(NamedTuple):
    """Extend the lease that the engine keeps for an allocation."""

    allocation: str
    lease_ms: int


class FreeAllocation(NamedTuple):
    """Free an allocation in the engine."""

    allocation: str


class ExportKv(NamedTuple):
    """End a run and export its KV cache, which the engine holds for a lease."""

    run_id: str
    lease_ms: int


class FreeExport(NamedTuple):
    """Free an exported KV cache in the engine."""

    handle: str


class PollLoad(NamedTuple):
    """Read the engine's load."""


class PollAllocations(NamedTuple):
    """Read the engine's allocation list."""


class PollConfig(NamedTuple):
    """Read back the engine's configuration."""


class PollCache(NamedTuple):
    """Read the prefix cache events after a number; 0 asks for all blocks."""

    after_seq: int


class SendOrder(NamedTuple):
    """Send the engine a configuration.

    Attributes:
        fence: Fencing number: the configuration revision.
        model: Model to load.
        versions: Model versions to serve.
        adapters: Adapters to load.
        role: Role of the engine.
    """

    fence: int
    model: str
    versions: list[str]
    adapters: list[str]
    role: str


class RequestPermit(NamedTuple):
    """Ask the weight store for permission to load a model version."""

    model: str
    version: str


class CallService(NamedTuple):
    """Send a call to the plain service."""

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
    """Read up to `max_records` records of the call stream after an offset."""

    batch: int
    after_offset: int
    max_records: int


class SendConfigUpdate(NamedTuple):
    """Send an entry the release records that follow a revision."""

    routing_id: bytes
    after_revision: int


class FoldConfig(NamedTuple):
    """Fold the release records of a peer's update; answer with ConfigChanged.

    Attributes:
        update: The update.
        peer_revision: Revision of the peer. If the folded state does not reach
            it, the state counts as unconfirmed.
        confirmed_pause: See ConfigChanged.
    """

    update: messages.ConfigUpdate
    peer_revision: int
    confirmed_pause: int


class ReadReleaseStream(NamedTuple):
    """Read the release stream; answer with ConfigChanged if that succeeds.

    Attributes:
        pause: Number of the process pause that the read follows.
    """

    pause: int


class WriteAuditRow(NamedTuple):
    """Write an audit row; `start` and `end` are monotonic seconds."""

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
    """Log a decision; the fields hold no prompt text and no keys."""

    kind: str
    fields: dict[str, str | int | float]


class Exit(NamedTuple):
    """End the process: the drain is complete."""


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
