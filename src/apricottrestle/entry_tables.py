"""State of the entry's pure step: its tables and its configuration.

Rows are mutable and slotted; the tables are dicts keyed by id. Times are
monotonic seconds passed to the step.

Invariant: a request ends only in `entry_ending.end_request` and a call only in
module `entry_call_end`. Both also release what the row holds elsewhere.
"""

import random
from typing import Final, Literal, NamedTuple

from apricottrestle import (
    admission,
    audit,
    config_sync,
    demand,
    entry_call_row,
    entry_events,
    hashing,
    messages,
    platform_instances,
    routing,
    upstream_table,
)

TICK_INTERVAL_S: Final = 0.1
"""Interval between two runs of the timers, and so the accuracy of deadlines."""

PROCESS_PAUSE_S: Final = 1.0
"""A gap between ticks of at least this length means that this process was
paused, so that silence of peers during the gap is no sign of a failure."""

PING_INTERVAL_S: Final = 2.0
MIN_PING_INTERVAL_S: Final = 0.5
TARGET_PINGS_PER_S: Final = 68
"""Pings that an entry sends to all its peers together, so that the cost of
heartbeats does not grow with the fleet. A small fleet gets more recent load
reports: 34 agents are pinged every 0.5 s, 136 agents every 2 s."""

FRAME_OVERDUE_S: Final = 1.0
"""A peer that has been silent for this long while a stream waits for it is
pinged before its next regular ping."""

REPORT_REFRESH_S: Final = 0.5
"""Interval of pings to agents whose next load report a request waits for."""

PEER_SILENCE_TIMEOUT_S: Final = 2.0
"""After this time without a frame a second connection is opened; the peer is
lost when that one stays silent for the same time."""

RESYNC_INTERVAL_S: Final = 3.0
"""A stream that is silent for this long is attached again, even if its peer is
alive: the agent cannot send on a connection that was re-established below
ZeroMQ. The state of a silent call is queried at the same interval."""

RECONNECT_INTERVAL_S: Final = 20.0
"""A connection without any answer is closed and reopened after this time, which
drops the frames queued for a dead process."""

MAX_FAILED_ATTEMPTS: Final = 3
MAX_ATTEMPTS: Final = 16
"""Limit of all attempts, including those ended by refusals and planned moves,
which don't count as failures."""

WAIT_FOR_UPSTREAM_S: Final = 5.0
"""A new request waits this long for an upstream that serves its model version,
which covers the time in which a release note reaches all engines."""

RETRY_DELAY_S: Final = 0.25
RESUME_WINDOW_S: Final = 10.0
CALLER_STALL_TIMEOUT_S: Final = 30.0
CREDIT_WINDOW_TOKENS: Final = 4096
"""Tokens that an agent may send ahead of what the caller has read: 64 KiB at 16
bytes per token."""

GROUP_LEASE_MS: Final = 10_000
LEASE_RENEW_INTERVAL_S: Final = 3.0
MAX_GROUP_MEMBERS: Final = 8
RESERVE_TIMEOUT_S: Final = 2.0

KEY_REQUEST_TIMEOUT_S: Final = 2.0
CONNECT_TIMEOUT_S: Final = 4.0
RESOLVE_TIMEOUT_S: Final = 5.0

MAX_FULL_MESH_AGENTS: Final = 128
AGENTS_PER_UPSTREAM: Final = 8
CONFIG_REQUEST_INTERVAL_S: Final = 0.5

RequestState = Literal["waiting", "reserving", "sent", "running", "attaching"]
PeerState = Literal["connecting", "up", "suspect"]


class Identity(NamedTuple):
    """Identity and fixed settings of this entry.

    Attributes:
        instance_id: Instance id from the settings.
        data_centres: Data centres to use, own first.
        secret: HMAC secret of issued keys.
        grace_s: Time that streams have to finish after the start of a drain.
        wall_offset_s: Unix time minus monotonic time, for audit rows.
    """

    instance_id: str
    data_centres: tuple[str, ...]
    secret: bytes
    grace_s: float
    wall_offset_s: float


class PeerRow:
    """An agent that this entry is connected to, or connecting to.

    Attributes:
        agent_id: Agent id.
        instance: Its row of the instance list.
        conn: Number of the connection in use.
        second_conn: Number of the second connection, opened when the first
            fell silent, or None.
        state: "connecting" until the first answer, then "up", or "suspect"
            while a silent peer is tried on a second connection.
        incarnation: Incarnation of the agent, "" before the first answer.
        opened_at: Time at which the newest connection was opened.
        last_frame_at: Time of the last frame.
        last_ping_at: Time of the last Hello or Ping.
        unanswered_since: Time of the oldest Hello or Ping with no frame
            received since, or None.
        ping_seq: Number of the last Ping.
        cache_seq: Number of the last cache summary applied; 0 until a full
            one arrives.
        config_requested_at: Time of the last ConfigRequest to it.
        past_incarnations: Earlier incarnations, whose late frames are
            dropped.
        pinned: True when a call needs this agent, so that it stays connected
            whatever the subset and the instance list say.
    """

    __slots__ = (
        "agent_id",
        "cache_seq",
        "config_requested_at",
        "conn",
        "incarnation",
        "instance",
        "last_frame_at",
        "last_ping_at",
        "opened_at",
        "past_incarnations",
        "ping_seq",
        "pinned",
        "second_conn",
        "state",
        "unanswered_since",
    )

    def __init__(
        self, row: platform_instances.InstanceRow, conn: int, now: float
    ) -> None:
        """Creates the row of a connection just opened."""
        self.agent_id = row.instance_id
        self.instance = row
        self.conn = conn
        self.second_conn: int | None = None
        self.state: PeerState = "connecting"
        self.incarnation = ""
        self.opened_at = now
        self.last_frame_at = now
        self.last_ping_at = now
        self.unanswered_since: float | None = now
        self.ping_seq = 0
        self.cache_seq = 0
        self.config_requested_at = -CONFIG_REQUEST_INTERVAL_S
        self.past_incarnations: list[str] = []
        self.pinned = False


class RequestRow:
    """A generation in progress.

    Attributes:
        req_id: Request id.
        caller: Caller number, None while the caller is disconnected.
        spec: The validated request.
        version: Model version; may change until the first token.
        prefix_to_check: Resume point whose tokens, which the caller already
            has, are still to be compared with those received, or None.
        config_rev: Configuration revision at admission.
        admitted_at: Time of admission.
        deadline: Time by which the request must end.
        state: State of the current attempt, or of the wait for one.
        attempt: Attempt number, 0 before the first.
        failures: Attempts that ended in a failure.
        retries: Attempts that ended without success, failures included.
        logged_wait_reason: Reason for waiting that was logged last, or "".
        agent_id: Agent of the current attempt, "" when there is none.
        incarnation: Incarnation of that agent.
        maybe_ran: True when an attempt may have run on an engine.
        excluded: Agents that failed or refused the request; not chosen again
            until it has waited.
        tokens: All tokens received, in order.
        digest: Digest of `tokens`.
        finished: Finished message received before all tokens, or None.
        flushed_tokens: Offset up to which the caller's socket took tokens.
        credit: Offset up to which the agent may send tokens.
        last_message_at: Time of the last valid message of the attempt.
        last_attach_at: Time of the last Attach.
        attach_pending: True while the last Attach has not been answered.
        caller_gone_at: Time at which the caller disconnected, or None.
        flushed_at: Start of the stall timeout: the time at which the caller
            last took tokens, or at which new ones arrived for a caller that
            had read all.
        next_chunk: Number of the next body chunk to send.
        kv: KV cache to import in the next attempt, or None.
        group_id: Id of the attempt's group reservation, or "".
        wait_deadline: While waiting: time at which the request fails. While
            attaching: time at which it is rerun instead.
        retry_at: While waiting: time of the next attempt to route it.
        refusal_reason: Reason of the last refusal, or "".
        retry_after_ms: Retry-after hint of the last refusal.
    """

    __slots__ = (
        "admitted_at",
        "agent_id",
        "attach_pending",
        "attempt",
        "caller",
        "caller_gone_at",
        "config_rev",
        "credit",
        "deadline",
        "digest",
        "excluded",
        "failures",
        "finished",
        "flushed_at",
        "flushed_tokens",
        "group_id",
        "incarnation",
        "kv",
        "last_attach_at",
        "last_message_at",
        "logged_wait_reason",
        "maybe_ran",
        "next_chunk",
        "prefix_to_check",
        "refusal_reason",
        "req_id",
        "retries",
        "retry_after_ms",
        "retry_at",
        "spec",
        "state",
        "tokens",
        "version",
        "wait_deadline",
    )

    def __init__(
        self,
        req_id: str,
        caller: int,
        spec: entry_events.GenerationSpec,
        config_rev: int,
        now: float,
    ) -> None:
        """Creates the row of a request just accepted."""
        self.req_id = req_id
        self.caller: int | None = caller
        self.spec = spec
        self.version = spec.version
        self.prefix_to_check = (
            spec.resume if spec.resume and spec.resume.offset else None
        )
        self.config_rev = config_rev
        self.admitted_at = now
        self.deadline = now + spec.limit_s
        self.state: RequestState = "waiting"
        self.attempt = 0
        self.failures = 0
        self.retries = 0
        self.logged_wait_reason = ""
        self.agent_id = ""
        self.incarnation = ""
        self.maybe_ran = False
        self.excluded: set[str] = set()
        self.tokens: list[int] = []
        self.digest = hashing.StreamDigest()
        self.finished: messages.Finished | None = None
        self.flushed_tokens = spec.resume.offset if spec.resume else 0
        self.credit = 0
        self.last_message_at = now
        self.last_attach_at = -RESYNC_INTERVAL_S
        self.attach_pending = False
        self.caller_gone_at: float | None = None
        self.flushed_at = now
        self.next_chunk = 0
        self.kv: messages.KvHandle | None = None
        self.group_id = ""
        self.wait_deadline = self.deadline
        self.retry_at = now
        self.refusal_reason = ""
        self.retry_after_ms = 0


class GroupRow:
    """Reservation of several engines for one attempt.

    Attributes:
        group_id: Group id, "<request id>.<attempt>".
        req_id: Request id.
        agents: Members in ascending order of agent id; the first is the
            leader.
        tokens_per_member: KV tokens to reserve at each member; 0 when another
            entry has reserved the group.
        members: Reservations made so far, in the same order.
        reserve_sent_at: Time at which the last Reserve was sent.
        renewed_at: Time at which the leases were last renewed.
    """

    __slots__ = (
        "agents",
        "group_id",
        "members",
        "renewed_at",
        "req_id",
        "reserve_sent_at",
        "tokens_per_member",
    )

    def __init__(
        self,
        group_id: str,
        req_id: str,
        agents: list[str],
        tokens_per_member: int,
    ) -> None:
        """Creates a group in which no member is reserved yet."""
        self.group_id = group_id
        self.req_id = req_id
        self.agents = agents
        self.tokens_per_member = tokens_per_member
        self.members: list[messages.GroupMember] = []
        self.reserve_sent_at = 0.0
        self.renewed_at = 0.0


CallRow = entry_call_row.CallRow


class Tables:
    """All state of the pure step.

    Attributes:
        identity: Identity and fixed settings of this entry.
        sync: Configuration in force and its synchronisation.
        router: Routing policy.
        admission: Admission control.
        budget: Retry budgets.
        audit: Audit rows not yet written to the log.
        demand: Requested prompt tokens not yet written to the log.
        rng: Source of ids and jitter.
        upstreams: Load and cache state of agents, the input of routing.
        instances: Rows of agents in the instance list, by agent id.
        peers: Agents that are connected or being connected, by agent id.
        conns: Agent id by connection number.
        requests: Generations by request id.
        groups: Group reservations by group id.
        calls: Calls and key requests by request id.
        callers: Request id by caller number.
        drains: Incarnation to drain by agent id; "" until it is known.
        drain_started: Time at which this entry started to drain, or None.
        last_tick: Time of the last run of the timers, or None.
        next_conn: Next connection number.
        awaited_upstreams: Models and services that requests wait for, whose
            agents are asked for a new report.
        subset_checked_at: Time of the last check of the peer subset.
        commands: Commands of the current step.
    """

    def __init__(
        self,
        identity: Identity,
        sync: config_sync.ConfigSync,
        router: routing.Router,
        admit: admission.AdmissionControl,
        budget: admission.RetryBudget,
        audit_rows: audit.AuditBuffer,
        rng: random.Random,
    ) -> None:
        """Creates empty tables that use the given policies."""
        self.identity = identity
        self.sync = sync
        self.router = router
        self.admission = admit
        self.budget = budget
        self.audit = audit_rows
        self.demand = demand.DemandCounter()
        self.rng = rng
        self.upstreams = upstream_table.UpstreamTable()
        self.instances: dict[str, platform_instances.InstanceRow] = {}
        self.peers: dict[str, PeerRow] = {}
        self.conns: dict[int, str] = {}
        self.requests: dict[str, RequestRow] = {}
        self.groups: dict[str, GroupRow] = {}
        self.calls: dict[str, CallRow] = {}
        self.callers: dict[int, str] = {}
        self.drains: dict[str, str] = {}
        self.drain_started: float | None = None
        self.last_tick: float | None = None
        self.next_conn = 1
        self.awaited_upstreams: set[str] = set()
        self.subset_checked_at = -1e9
        self.commands: list[entry_events.Command] = []

    def new_req_id(self) -> str:
        """Returns a random request id that cannot be guessed."""
        return f"{self.rng.getrandbits(96):024x}"

    def add_request(self, row: RequestRow) -> None:
        """Adds a generation, and its caller if it has one."""
        self.requests[row.req_id] = row
        if row.caller is not None:
            self.callers[row.caller] = row.req_id

    def add_call(self, row: CallRow) -> None:
        """Adds a call, and its caller if it has one."""
        self.calls[row.req_id] = row
        if row.caller is not None:
            self.callers[row.caller] = row.req_id

    def emit(self, command: entry_events.Command) -> None:
        """Adds a command to those of the current step."""
        self.commands.append(command)

    def send(
        self, agent_id: str, msg: messages.Message, body: bytes = b""
    ) -> bool:
        """Sends to an agent; returns False when it is not a peer."""
        peer = self.peers.get(agent_id)
        if peer is None:
            return False
        self.emit(entry_events.Send(peer.conn, msg, body))
        return True


def remaining_ms(deadline: float, now: float) -> int:
    """Returns the time left in milliseconds, at least 0."""
    return max(0, int((deadline - now) * 1000))
