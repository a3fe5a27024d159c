"""Tables of an agent: all state that its step reads and changes.

Times are monotonic seconds passed to the step; a time named `next_..._at` is
the earliest time of the next such action.
"""

import array
import collections
import enum
import random
from typing import Final, Literal, NamedTuple

from apricottrestle import (
    agent_state,
    call_log,
    config_state,
    hashing,
    messages,
    queueing,
)

MAX_ENDED_ATTEMPTS: Final = 10_000
"""Maximum number of records of ended attempts. A record prevents that a late
duplicate of the submit runs the attempt again."""

COMPLETION_DELAY_S: Final = 0.5
"""Time that a completion waits for others to share its append."""

MAX_COMPLETIONS: Final = 10_000
"""Maximum number of completions held while the log is down. The oldest are
dropped beyond it."""


class Params(NamedTuple):
    """Settings of one agent.

    Attributes:
        agent_id: Agent id.
        incarnation: Random id of this process; a restart gets a new one.
        data_centre: Data centre of the agent.
        kind: "engine" or "service".
        service: Name of the plain service, "" for an engine.
        upstream_url: Base URL of the upstream.
        secret: HMAC secret of issued keys.
        slots: Requests or calls that the upstream runs at the same time.
        kv_block_tokens: Tokens in a KV block if the engine doesn't report it.
        prefill_tokens_per_s: Prefill rate of the engine.
        grace_s: Time that running requests have to finish after the start of a
            drain.
        max_queued: Limit of queued requests or calls.
        role: Role in the configuration that the engine is sent.
    """

    agent_id: str
    incarnation: str
    data_centre: str
    kind: Literal["engine", "service"]
    service: str
    upstream_url: str
    secret: bytes
    slots: int = 64
    kv_block_tokens: int = 16
    prefill_tokens_per_s: float = 100_000.0
    grace_s: float = 30.0
    max_queued: int = 4_096
    role: str = "mixed"


class Peer:
    """A connection from an entry.

    Attributes:
        sender: Id of the entry.
        last_frame_at: Time of the last frame.
        submits_received: Submits received on this connection.
        config_requested_at: Time of the last ConfigRequest sent on it.
        send_failed: True from a failed send until the next frame arrives.
    """

    __slots__ = (
        "config_requested_at",
        "last_frame_at",
        "send_failed",
        "sender",
        "submits_received",
    )

    def __init__(self, sender: str, now: float) -> None:
        """Creates the row of a connection with a first frame at `now`."""
        self.sender = sender
        self.last_frame_at = now
        self.submits_received = 0
        self.config_requested_at = -1e9
        self.send_failed = False


class StreamPhase(enum.Enum):
    """Phase of a stream.

    BODY: The prompt is arriving in chunks. QUEUED: Waiting for the engine.
    RUNNING: Started on the engine. DONE: The engine has finished the run.
    """

    BODY = "body"
    QUEUED = "queued"
    RUNNING = "running"
    DONE = "done"


class Stream:
    """An attempt to run a generation: its request, output and flow control.

    Attributes:
        msg: The submit.
        routing_id: Connection that the output is sent on.
        sender: Id of the entry that owns the stream.
        config_rev: Configuration revision at the submit.
        accepted_at: Time of the submit.
        deadline: Time by which the stream must end.
        phase: See StreamPhase.
        body: The complete prompt, b"" before it has arrived and after the
            start.
        chunks: Chunks of the prompt by index.
        body_received: Bytes of these chunks.
        next_chunk: Index of the first chunk that is missing.
        last_chunk_at: Time of the last new chunk.
        kv_tokens: KV cache that the run needs of its own, in tokens; 0 for a
            group, whose memory is held by its leases.
        tokens: Output, forced prefix included, so that the index of a token is
            its offset.
        sent_offset: Offset of the next token to send.
        credit_offset: Offset below which tokens may be sent.
        reused_tokens: Prompt tokens that the engine took from its prefix cache.
        last_progress_at: Time of the last token, or of the start before it.
        next_flush_at: Earliest time of the next send of tokens.
        stalled_since: Time since which tokens wait for credit, or None.
        tokens_at_stall: Number of tokens at that time.
        finished_sent: True once Finished has been sent to the owner.
        retain_until: End of the retention of a finished stream.
        exporting: True while a drain waits for the export of the KV cache.
    """

    __slots__ = (
        "accepted_at",
        "body",
        "body_received",
        "chunks",
        "config_rev",
        "credit_offset",
        "deadline",
        "exporting",
        "finished_sent",
        "kv_tokens",
        "last_chunk_at",
        "last_progress_at",
        "msg",
        "next_chunk",
        "next_flush_at",
        "phase",
        "retain_until",
        "reused_tokens",
        "routing_id",
        "sender",
        "sent_offset",
        "stalled_since",
        "tokens",
        "tokens_at_stall",
    )

    def __init__(
        self,
        msg: messages.Submit,
        routing_id: bytes,
        sender: str,
        config_rev: int,
        now: float,
        deadline: float,
    ) -> None:
        """Creates a stream whose prompt has not been stored yet."""
        self.msg = msg
        self.routing_id = routing_id
        self.sender = sender
        self.config_rev = config_rev
        self.accepted_at = now
        self.deadline = deadline
        self.phase = StreamPhase.BODY
        self.body = b""
        self.chunks: dict[int, bytes] = {}
        self.body_received = 0
        self.next_chunk = 0
        self.last_chunk_at = now
        own_tokens = msg.prompt_tokens + msg.max_tokens
        self.kv_tokens = 0 if msg.group else own_tokens
        self.tokens = array.array("Q", msg.forced_prefix)
        self.sent_offset = len(msg.forced_prefix)
        self.credit_offset = msg.credit_tokens
        self.reused_tokens = 0
        self.last_progress_at = now
        self.next_flush_at = now
        self.stalled_since: float | None = None
        self.tokens_at_stall = 0
        self.finished_sent = False
        self.retain_until = float("inf")
        self.exporting = False

    @property
    def run_id(self) -> str:
        """Request id of the run in the engine."""
        return run_id(self.msg.req_id, self.msg.attempt)

    def digest(self) -> str:
        """Returns the digest of all tokens, forced prefix included."""
        digest = hashing.StreamDigest()
        digest.update(self.tokens)
        return digest.hexdigest()


class EndedAttempt(NamedTuple):
    """Record of an ended attempt, or of a call that was not run.

    Attributes:
        attempt: Attempt number.
        ran: False only if the attempt was never started on the upstream.
        reason: Why it ended.
    """

    attempt: int
    ran: bool
    reason: str


class LeaseKind(enum.Enum):
    """Purpose of a memory lease."""

    GROUP = "group"
    EXPORT = "export"


class Lease:
    """A lease on KV cache for a group reservation or an exported run.

    Attributes:
        allocation: Allocation id or export handle in the engine.
        kind: Group reservation or export.
        owner: Group id, or run id of the exported run.
        tokens: Size in tokens.
        deadline: End of the lease by the agent's clock; the engine's clock
            does not count.
        granted: True once the engine has confirmed the allocation.
        missing_lists: Consecutive allocation lists of the engine in which the
            allocation was missing.
        waiters: Connections on which a Reserved must be sent when the engine
            answers.
        routing_id: Connection of the last Reserve or Renew.
    """

    __slots__ = (
        "allocation",
        "deadline",
        "granted",
        "kind",
        "missing_lists",
        "owner",
        "routing_id",
        "tokens",
        "waiters",
    )

    def __init__(
        self,
        allocation: str,
        kind: LeaseKind,
        owner: str,
        tokens: int,
        deadline: float,
    ) -> None:
        """Creates a lease that the engine has not confirmed yet."""
        self.allocation = allocation
        self.kind = kind
        self.owner = owner
        self.tokens = tokens
        self.deadline = deadline
        self.granted = False
        self.missing_lists = 0
        self.waiters: list[bytes] = []
        self.routing_id = b""


class CallState(enum.Enum):
    """State of a call; COMPLETED, NOT_RUN and UNKNOWN are final.

    The exception is a call that is UNKNOWN because its deadline passed: a late
    answer of the service makes it COMPLETED.
    """

    ISSUED = "issued"
    APPENDING = "appending"
    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class Call:
    """A call to the plain service, or an issued key that no call uses yet.

    Attributes:
        call_id: Key id, or request id of a call without key.
        seq: Sequence number of the key; 0 for a call without key.
        key: Text of the key, "" for a call without one.
        logged: True if an intent must be on the log before the call runs.
        state: See CallState.
        msg: The submit, None until it arrives.
        sender: Id of the entry that submitted the call.
        config_rev: Configuration revision at the submit.
        body: HTTP body, of the request before the run and of the answer after
            it.
        headers: HTTP headers of the answer.
        status: HTTP status of the answer, 0 before it.
        reason: Reason for the final state, "" without one.
        waiters: Connections and request ids that wait for the result.
        deadline: Time by which the caller must have an answer.
        submitted_at: Time of the submit.
        changed_at: Time of the last change of state; the key expires some time
            after it.
    """

    __slots__ = (
        "body",
        "call_id",
        "changed_at",
        "config_rev",
        "deadline",
        "headers",
        "key",
        "logged",
        "msg",
        "reason",
        "sender",
        "seq",
        "state",
        "status",
        "submitted_at",
        "waiters",
    )

    def __init__(
        self, call_id: str, seq: int, key: str, logged: bool, now: float
    ) -> None:
        """Creates a call in the state ISSUED."""
        self.call_id = call_id
        self.seq = seq
        self.key = key
        self.logged = logged
        self.state = CallState.ISSUED
        self.msg: messages.CallSubmit | None = None
        self.sender = ""
        self.config_rev = 0
        self.body = b""
        self.headers: list[tuple[str, str]] = []
        self.status = 0
        self.reason = ""
        self.waiters: list[tuple[bytes, str]] = []
        self.deadline = float("inf")
        self.submitted_at = now
        self.changed_at = now


class CallLogPhase(enum.Enum):
    """Request to the call stream that is in progress."""

    IDLE = "idle"
    APPENDING = "appending"
    READING = "reading"


class CallLogState:
    """State of the group commit to the agent's call stream.

    One batch is in progress at a time.

    Attributes:
        available: True from a complete read of the stream until an append or
            read fails. Keys issued while it is False need no intent.
        phase: See CallLogPhase.
        batch_number: Number of the current or last batch.
        batch_seqs: Sequence numbers of the keys whose intents are in the batch.
        batch_completions: Completions in the batch.
        batch_offset: Offset at which the batch was appended, None before that
            and without intents.
        phase_started_at: Time of the last append or read request.
        position: Offset up to which the stream has been read.
        refused_seqs: Sequence numbers of the keys whose refusal was read.
        intent_seqs: Sequence numbers of the keys whose intents wait for the
            next batch.
        completions: Completions that wait for the next batch.
        completions_due_at: Time at which they are appended even if no intent
            has to be.
    """

    def __init__(self) -> None:
        """Creates the state before the first read of the stream."""
        self.available = False
        self.phase = CallLogPhase.IDLE
        self.batch_number = 0
        self.batch_seqs: list[int] = []
        self.batch_completions: list[call_log.CallEntry] = []
        self.batch_offset: int | None = None
        self.phase_started_at = 0.0
        self.position = 0
        self.refused_seqs: set[int] = set()
        self.intent_seqs: list[int] = []
        self.completions: list[call_log.CallEntry] = []
        self.next_probe_at = 0.0
        self.completions_due_at = 0.0

    def add_completion(self, entry: call_log.CallEntry, now: float) -> None:
        """Queues a completion, to be appended after a short delay."""
        if not self.completions:
            self.completions_due_at = now + COMPLETION_DELAY_S
        self.completions.append(entry)
        del self.completions[:-MAX_COMPLETIONS]


class Tables:
    """All tables of one agent.

    Attributes:
        params: Settings of the agent.
        queue: Queue policy, which holds the queued requests of single engines.
        rng: Source of jitter.
        config: Configuration in force.
        peers: Connections from entries, by routing id.
        entry_last_frame_at: Time of the last frame of each entry, by entry id.
        streams: Streams by request id.
        runs: Request ids by run id, of exactly the streams that the engine
            runs.
        started_streams: The streams that run or have finished, by request id.
        queued_groups: Queued streams of engine groups, by request id.
        deadlines: Heap of deadline and request id, with at least one item for
            each stream.
        next_scan_at: Time of the next check of the limits of all streams.
        last_expiry_at: Time of the last expiry of leases, streams and calls.
        body_bytes: Size of all prompt bodies held or still arriving.
        ended_attempts: Last ended attempt by request id, oldest first.
        leases: Memory leases by allocation id or export handle.
        group_allocations: Allocation ids by group id.
        ended_groups: Ids of ended groups, oldest first.
        calls: Calls by call id.
        live_calls: The calls that were submitted and are not yet in a final
            state, by call id.
        keys_by_seq: Issued keys by sequence number, oldest first.
        call_queue: Ids of the calls that wait for a free slot; calls that have
            ended meanwhile are skipped.
        calls_running: Calls in the state RUNNING.
        held_answer_bytes: Size of all answers held.
    """

    def __init__(
        self,
        params: Params,
        queue: queueing.RequestQueue,
        rng: random.Random,
        now: float,
    ) -> None:
        """Creates empty tables at time `now`."""
        self.params = params
        self.queue = queue
        self.rng = rng
        self.config = config_state.EMPTY
        self.peers: dict[bytes, Peer] = {}
        self.entry_last_frame_at: dict[str, float] = {}
        self.streams: dict[str, Stream] = {}
        self.runs: dict[str, str] = {}
        self.started_streams: dict[str, Stream] = {}
        self.queued_groups: dict[str, Stream] = {}
        self.deadlines: list[tuple[float, str]] = []
        self.next_scan_at = now
        self.last_expiry_at = now
        self.body_bytes = 0
        self.ended_attempts: collections.OrderedDict[str, EndedAttempt] = (
            collections.OrderedDict()
        )
        self.leases: dict[str, Lease] = {}
        self.group_allocations: dict[str, str] = {}
        self.ended_groups: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self.next_allocation_seq = 1
        self.engine = agent_state.EngineState()
        self.orders = agent_state.OrderState()
        self.catch_up = agent_state.CatchUpState(now)
        self.drain = agent_state.DrainState()
        self.cache = agent_state.CacheState()
        self.calls: dict[str, Call] = {}
        self.live_calls: dict[str, Call] = {}
        self.next_key_expiry_at = now
        self.keys_by_seq: dict[int, Call] = {}
        self.call_queue: collections.deque[str] = collections.deque()
        self.calls_running = 0
        self.next_key_seq = 1
        self.held_answer_bytes = 0
        self.call_log = CallLogState()

    def reachable_peers(self) -> list[bytes]:
        """Returns the connections on which sends do not fail."""
        return [key for key, peer in self.peers.items() if not peer.send_failed]

    def remaining_s(self, remaining_ms: int, now: float) -> float:
        """Returns the time left to a request or lease of a frame handled now.

        A frame handled just after a pause of this process may have waited in
        the socket for as long as the pause, which is subtracted.
        """
        paused = self.catch_up.pause_allowance_until > now
        return remaining_ms / 1000 - (
            self.catch_up.pause_allowance_s if paused else 0.0
        )

    def record_ended(
        self, req_id: str, attempt: int, *, ran: bool, reason: str
    ) -> None:
        """Records an ended attempt unless a later one is recorded.

        The oldest records are dropped beyond MAX_ENDED_ATTEMPTS.
        """
        previous = self.ended_attempts.pop(req_id, None)
        if previous is not None and previous.attempt > attempt:
            self.ended_attempts[req_id] = previous
            return
        self.ended_attempts[req_id] = EndedAttempt(attempt, ran, reason)
        while len(self.ended_attempts) > MAX_ENDED_ATTEMPTS:
            self.ended_attempts.popitem(last=False)


def run_id(req_id: str, attempt: int) -> str:
    """Returns the run id of an attempt, its request id in the engine."""
    return f"{req_id}.{attempt}"
