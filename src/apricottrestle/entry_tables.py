"""Tables of an entry: peers, requests, calls, groups and the configuration.

All state of the pure step is here. Rows are mutable and slotted; the tables are
dicts keyed by id. Times are monotonic seconds given by the caller of the step.

Invariant: a row of `requests` or `calls` has exactly one way out, the `end`
function of its module, which also frees what the row holds elsewhere.
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
"""Interval of the systems; deadlines are met to this accuracy."""

PROCESS_PAUSE_S: Final = 1.0
"""A gap between ticks over this means that the process itself was stopped, so
silence of peers and agents during the gap proves nothing."""

PING_INTERVAL_S: Final = 2.0
MIN_PING_INTERVAL_S: Final = 0.5
TARGET_PINGS_PER_S: Final = 68
"""Pings of an entry in all, so that the cost of control does not grow with the
fleet; a small fleet gets fresher load reports: 34 agents each 0.5 s, 136
agents each 2 s."""

FRAME_OVERDUE_S: Final = 1.0
REPORT_REFRESH_S: Final = 0.5
"""Interval of pings to agents whose next report a request waits for."""

PEER_SILENCE_TIMEOUT_S: Final = 2.0
"""Without a frame for this long a second connection is opened; the peer is lost
when that one stays silent as long."""

RESYNC_INTERVAL_S: Final = 3.0
"""A stream that is silent for this long at a living peer is attached again: the
agent cannot send to a connection that was re-established below ZeroMQ."""

RECONNECT_INTERVAL_S: Final = 20.0
"""A connection that never answered is opened anew after this time, so that
frames queued for a dead process are dropped."""

MAX_FAILED_ATTEMPTS: Final = 3
MAX_ATTEMPTS: Final = 16
"""Bounds the attempts that no failure caused: refusals and planned moves."""

WAIT_FOR_UPSTREAM_S: Final = 5.0
"""A new request waits this long for an upstream that serves its version, which
covers the time in which a release note reaches all engines."""

RETRY_DELAY_S: Final = 0.25
RESUME_WINDOW_S: Final = 10.0
CALLER_STALL_TIMEOUT_S: Final = 30.0
CREDIT_WINDOW_TOKENS: Final = 4096
"""Tokens sent ahead of the caller's reading: 64 KiB at 16 bytes a token."""

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
    """Who this entry is.

    Attributes:
        instance_id: Instance id from the settings.
        data_centres: Data centres to use, own first.
        secret: HMAC secret of issued keys.
        grace_s: Time that streams get after the start of a drain.
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
        conn: Connection in use.
        second_conn: Second connection, opened when the first fell silent.
        state: "connecting" until the first answer, then "up" or "suspect".
        incarnation: Incarnation of the agent, "" before the first answer.
        opened_at: Time at which the newest connection was opened.
        last_frame_at: Time of the last frame.
        last_ping_at: Time of the last Hello or Ping.
        unanswered_since: Time of the oldest Hello or Ping with no frame
            received since, or None.
        ping_seq: Number of the last Ping.
        cache_seq: Number of the last cache summary applied, 0 before a full
            one.
        config_requested_at: Time of the last ConfigRequest to it.
        past_incarnations: Earlier incarnations, whose late frames are
            dropped.
        pinned: True when a call needs it, whatever the subset.
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
    """A generation that has not ended.

    Attributes:
        req_id: Request id.
        caller: Caller number, None while the caller is gone.
        spec: The checked request.
        version: Model version; changes only before the first token.
        prefix_to_check: Prefix that the caller has already, to be checked.
        config_rev: Configuration revision at admission.
        admitted_at: Time of admission.
        deadline: Time by which it must end.
        state: Step of its life.
        attempt: Attempt number, 0 before the first.
        failures: Attempts that ended by a failure.
        retries: Attempts that ended in any way but success.
        logged_wait_reason: Reason of the wait that was logged last, or "".
        agent_id: Agent of the current attempt, "" when there is none.
        incarnation: Incarnation of that agent.
        maybe_ran: True when an attempt may have run on an engine.
        excluded: Agents that failed or refused it.
        tokens: All tokens received, in order.
        digest: Digest over them.
        finished: Finished message not yet matched by the tokens.
        flushed_tokens: Tokens that the caller's socket has taken.
        credit: Tokens that the agent may send.
        last_message_at: Time of the last valid message of the attempt.
        last_attach_at: Time of the last Attach.
        attach_pending: True while the last Attach is unanswered.
        caller_gone_at: Time at which the caller went, or None.
        flushed_at: Time of the caller's last progress.
        next_chunk: Number of the next body chunk to send.
        kv: KV cache to import at the next attempt, or None.
        group_id: Group reservation of the attempt, or "".
        wait_deadline: While waiting: time at which waiting ends in an error.
        retry_at: While waiting: time of the next routing decision.
        refusal_reason: Reason of the last refusal, or "".
        retry_after_ms: Hint of the last refusal.
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
        agents: Members in ascending order of agent id, the leader first.
        tokens_per_member: KV tokens to reserve at each.
        members: Reservations made so far, in the same order.
        reserve_sent_at: Time of the Reserve that is not yet answered.
        renewed_at: Time of the last renewal.
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
        """Creates a reservation of which nothing is reserved yet."""
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
        identity: Who this entry is.
        sync: Configuration in force.
        router: Routing policy.
        admission: Early refusal.
        budget: Retry budgets.
        audit: Rows not yet on the log.
        demand: Prompt tokens asked for and not yet on the log.
        rng: Source of ids and jitter.
        upstreams: Agents as the router sees them.
        instances: Agents of the instance list by id.
        peers: Connected agents by id.
        conns: Agent id by connection number.
        requests: Generations by request id.
        groups: Group reservations by group id.
        calls: Calls and key requests by request id.
        callers: Request id by caller number.
        drains: Incarnation to drain by agent id; "" until it is known.
        drain_started: Time at which this entry began to drain, or None.
        last_tick: Time of the last run of the systems, or None.
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
        """Creates empty tables with their policies."""
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
        """Returns a request id that nobody can guess."""
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
        """Sends to an agent; False when there is no connection to it."""
        peer = self.peers.get(agent_id)
        if peer is None:
            return False
        self.emit(entry_events.Send(peer.conn, msg, body))
        return True


def remaining_ms(deadline: float, now: float) -> int:
    """Returns the time left in milliseconds, at least 0."""
    return max(0, int((deadline - now) * 1000))
