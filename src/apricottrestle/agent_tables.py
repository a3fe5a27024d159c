"""Tables of an agent: all state that its step reads and changes.

Times are monotonic seconds. Invariants: a request id has at most one row in
`streams`; `runs` names exactly the rows that the engine runs; `active` holds
the rows that run or have finished; `live_calls` holds the calls under way;
`deadlines` is a heap with at least one entry for each row of `streams`.
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
"""Ended requests remembered, so that a late duplicate isn't run again."""


COMPLETION_DELAY_S: Final = 0.5
MAX_COMPLETIONS: Final = 10_000
"""Completions held while the log is down; the oldest are dropped."""


class Params(NamedTuple):
    """Settings of one agent.

    Attributes:
        agent_id: Agent id.
        incarnation: Incarnation of this process.
        data_centre: Data centre.
        kind: "engine" or "service".
        service: Service name, "" for an engine.
        upstream_url: Base URL of the upstream.
        secret: Fleet secret that authenticates issued keys.
        slots: Requests or calls that the upstream runs at the same time.
        kv_block_tokens: Tokens in a KV block, if the engine doesn't tell.
        prefill_tokens_per_s: Prefill rate of the engine.
        grace_s: Time that a drain leaves running requests, in seconds.
        max_queued: Requests queued at the same time.
        role: Role that orders give the engine.
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
        send_failed: A send failed, and no frame has come since.
    """

    __slots__ = (
        "config_requested_at",
        "last_frame_at",
        "send_failed",
        "sender",
        "submits_received",
    )

    def __init__(self, sender: str, now: float) -> None:
        """Starts with a first frame at `now`."""
        self.sender = sender
        self.last_frame_at = now
        self.submits_received = 0
        self.config_requested_at = -1e9
        self.send_failed = False


class StreamPhase(enum.Enum):
    """Where a stream is."""

    BODY = "body"
    QUEUED = "queued"
    RUNNING = "running"
    DONE = "done"


class Stream:
    """A generation: its request, output buffer and credit.

    `tokens` starts with the forced prefix, so that list index and token offset
    are the same. `sent_offset` and `credit_offset` are offsets. `waiting_end`
    is the time at which the engine ended the run.
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
        """Starts without body."""
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
        # A group's memory is held by its leases.
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
        """Id of the attempt in the engine."""
        return run_id(self.msg.req_id, self.msg.attempt)

    def digest(self) -> str:
        """Returns the digest over all tokens, forced prefix included."""
        digest = hashing.StreamDigest()
        digest.update(self.tokens)
        return digest.hexdigest()


class EndedAttempt(NamedTuple):
    """What is remembered of an ended attempt; `ran` unless proved not run."""

    attempt: int
    ran: bool
    reason: str


class LeaseKind(enum.Enum):
    """What holds the memory."""

    GROUP = "group"
    EXPORT = "export"


class Lease:
    """A lease on engine memory other than that of a running request.

    Attributes:
        allocation: Allocation id, or export handle.
        kind: Group reservation or export.
        owner: Group id, or run id of the exported run.
        tokens: Size.
        deadline: End of the lease; only the agent's clock decides.
        granted: The engine has confirmed the allocation.
        missing_lists: Lists of the engine in a row that lack the allocation.
        waiters: Connections that wait for Reserved.
        routing_id: Connection that reserved or renewed last.
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
        """Starts without the engine's confirmation."""
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
    """Where a call is; the last three are final."""

    ISSUED = "issued"
    APPENDING = "appending"
    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class Call:
    """A call to the plain service, or an issued key without a call yet.

    Attributes:
        call_id: Key id, or request id of a repeatable call.
        seq: Sequence number of the key; 0 for a repeatable call.
        key: Text of the key, "" for a repeatable call.
        logged: An intent goes to the log before the run.
        state: See CallState.
        msg: The submit, None while only issued.
        body: HTTP body; of the request before the run, then of the answer.
        waiters: Connections and request ids that wait for the result.
        deadline: End of the call's time.
        changed_at: Time of the last change, for forgetting.
        config_rev: Configuration revision at the submit.
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
        """Starts as issued."""
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
    """What the call log does for this agent at the moment."""

    IDLE = "idle"
    APPENDING = "appending"
    READING = "reading"


class CallLogState:
    """Group commit to the call stream; one batch at a time.

    `position` is the offset up to which the stream has been read;
    `refused_seqs` holds the sequence numbers whose refusal was found up to
    there.
    """

    def __init__(self) -> None:
        """Starts unread; keys are unlogged until the first read succeeds."""
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
        """Queues a completion; it waits shortly to share an append."""
        if not self.completions:
            self.completions_due_at = now + COMPLETION_DELAY_S
        self.completions.append(entry)
        del self.completions[:-MAX_COMPLETIONS]


class Tables:
    """All tables of one agent."""

    def __init__(
        self,
        params: Params,
        queue: queueing.RequestQueue,
        rng: random.Random,
        now: float,
    ) -> None:
        """Starts empty at time `now`; `queue` is the queue policy."""
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
        """Returns the connections that messages to all entries go to."""
        return [key for key, peer in self.peers.items() if not peer.send_failed]

    def remaining_s(self, remaining_ms: int, now: float) -> float:
        """Returns the time left of a frame that is handled at `now`.

        A frame handled just after a pause may have waited as long as the
        pause, so that time is taken off.
        """
        late = self.catch_up.pause_allowance_until > now
        return remaining_ms / 1000 - (
            self.catch_up.pause_allowance_s if late else 0.0
        )

    def record_ended(
        self, req_id: str, attempt: int, *, ran: bool, reason: str
    ) -> None:
        """Records an ended attempt; the oldest records go first."""
        known = self.ended_attempts.pop(req_id, None)
        if known is not None and known.attempt > attempt:
            self.ended_attempts[req_id] = known
            return
        self.ended_attempts[req_id] = EndedAttempt(attempt, ran, reason)
        while len(self.ended_attempts) > MAX_ENDED_ATTEMPTS:
            self.ended_attempts.popitem(last=False)


def run_id(req_id: str, attempt: int) -> str:
    """Returns the id of an attempt in the engine."""
    return f"{req_id}.{attempt}"
