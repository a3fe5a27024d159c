"""Events and commands of the entry's pure step.

The daemon turns what happens on sockets and at the platform into events, and
executes the commands. Commands refer to a connection or a caller by a number
that is never reused, so a late command cannot reach the wrong one.
"""

from typing import NamedTuple

from apricottrestle import (
    call_keys,
    errors,
    messages,
    platform_instances,
    platform_log,
)


class ResumePoint(NamedTuple):
    """Parsed Last-Event-ID header.

    Attributes:
        req_id: Request id of the interrupted stream.
        agent_id: Agent that ran it.
        offset: Tokens that the caller already has.
        digest: Digest of these tokens, 16 hex digits.
    """

    req_id: str
    agent_id: str
    offset: int
    digest: str


class GenerationSpec(NamedTuple):
    """A validated generation request.

    Attributes:
        team: Team name.
        weight: Fair-share weight of the team.
        priority: Index into messages.PRIORITIES.
        model: Model name.
        version: Model version in force at admission.
        adapter: Adapter name or "".
        body: Prompt as msgpack: a str or a list of token ids.
        prompt_tokens: Number of prompt tokens.
        prefix_blocks: Hashes of the prompt's first blocks.
        max_tokens: Maximum number of tokens to generate.
        limit_s: Time limit in seconds.
        stream: True when the caller reads server-sent events.
        resume: Position at which to resume, or None for a new request.
    """

    team: str
    weight: float
    priority: int
    model: str
    version: str
    adapter: str
    body: bytes
    prompt_tokens: int
    prefix_blocks: tuple[int, ...]
    max_tokens: int
    limit_s: float
    stream: bool
    resume: ResumePoint | None


class CallSpec(NamedTuple):
    """A validated call to a plain service.

    Attributes:
        team: Team name.
        priority: Index into messages.PRIORITIES.
        service: Service name.
        method: HTTP method.
        path: Path and query within the service, with a leading slash.
        headers: Headers to pass through.
        body: HTTP body.
        key: Idempotency key, issued or chosen by the caller; "" without one.
        repeatable: True when the call may run more than once.
        limit_s: Time limit in seconds.
    """

    team: str
    priority: int
    service: str
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    key: str
    repeatable: bool
    limit_s: float


class FrameReceived(NamedTuple):
    """A message arrived on a connection."""

    conn: int
    received: messages.Received


class SendFailed(NamedTuple):
    """The transport did not take a message."""

    conn: int
    msg: messages.Message


class Generate(NamedTuple):
    """A caller requests a generation."""

    caller: int
    spec: GenerationSpec


class Call(NamedTuple):
    """A caller requests a call to a service."""

    caller: int
    spec: CallSpec


class IssueKey(NamedTuple):
    """A caller requests an issued idempotency key."""

    caller: int
    service: str
    team: str


class CallerRead(NamedTuple):
    """The caller's socket took all tokens with offsets below `upto`."""

    caller: int
    upto: int


class CallerGone(NamedTuple):
    """The caller's connection closed, or its handler has finished."""

    caller: int


class InstancesChanged(NamedTuple):
    """Rows of the instance list have changed."""

    rows: list[platform_instances.InstanceRow]


class ReleaseNotesRead(NamedTuple):
    """A part of the release stream has been read from the log."""

    result: platform_log.ReadResult


class DrainRecordsRead(NamedTuple):
    """Records recent enough to act on were read from the drain stream."""

    records: list[platform_log.LogRecord]


class KeyResolved(NamedTuple):
    """The log has been read for the outcome of a call whose agent is gone."""

    req_id: str
    outcome: errors.Outcome
    status: int
    reason: str


class KeyBound(NamedTuple):
    """FindBinding or BindKey has been executed.

    Attributes:
        req_id: Request id of the call.
        issued: Issued key that the caller's key is bound to, or "".
        failed: True when the log did not answer, so that it is unknown whether
            the key is bound.
    """

    req_id: str
    issued: str
    failed: bool


class StartDrain(NamedTuple):
    """The entry must drain, because of SIGTERM or a drain record."""


CallerEvent = Generate | Call | IssueKey | CallerRead | CallerGone

PlatformEvent = (
    InstancesChanged
    | ReleaseNotesRead
    | DrainRecordsRead
    | KeyResolved
    | KeyBound
    | StartDrain
)

Event = FrameReceived | SendFailed | CallerEvent | PlatformEvent


class Connect(NamedTuple):
    """Open connection number `conn` to an agent."""

    conn: int
    agent_id: str
    control: str
    bulk: str


class Close(NamedTuple):
    """Close a connection."""

    conn: int


class Send(NamedTuple):
    """Send a message on a connection's control socket."""

    conn: int
    msg: messages.Message
    body: bytes = b""


class SendBulk(NamedTuple):
    """Send a chunk on a connection's bulk socket."""

    conn: int
    msg: messages.Message
    body: bytes


class DeliverTokens(NamedTuple):
    """Deliver tokens to a caller; `event_id` is the position after them."""

    caller: int
    offset: int
    tokens: list[int]
    event_id: str


class Complete(NamedTuple):
    """Tell a caller that its generation is complete and verified."""

    caller: int
    total_tokens: int
    prompt_tokens: int
    reused_tokens: int
    finish_reason: str
    event_id: str


class Fail(NamedTuple):
    """End a request with an error response.

    Attributes:
        caller: Caller number.
        error: Error to report to the caller.
        issued_key: Key that the caller may use instead, or "".
    """

    caller: int
    error: errors.RequestError
    issued_key: str = ""


class Reconnect(NamedTuple):
    """Tell a caller to resume at another entry, as this one is stopping."""

    caller: int
    event_id: str


class CloseCaller(NamedTuple):
    """Close a caller's connection; another one has taken over its stream."""

    caller: int


class ServiceAnswer(NamedTuple):
    """Send the response of a plain service to a caller."""

    caller: int
    status: int
    headers: list[tuple[str, str]]
    body: bytes


class DeliverKey(NamedTuple):
    """Send an issued idempotency key to a caller."""

    caller: int
    key: str


class ResolveKey(NamedTuple):
    """Append a refusal of the key to its agent's log stream; read it back."""

    req_id: str
    key: call_keys.IssuedKey


class FindBinding(NamedTuple):
    """Look up in the log which issued key a caller's key is bound to."""

    req_id: str
    name: str


class BindKey(NamedTuple):
    """Bind a caller's key to an issued one unless it is already bound."""

    req_id: str
    name: str
    issued: str


class LogDecision(NamedTuple):
    """Write the log line of a routing or placement decision."""

    kind: str
    fields: dict[str, str | int | float | list[str]]


CallerCommand = (
    DeliverTokens
    | Complete
    | Fail
    | Reconnect
    | CloseCaller
    | ServiceAnswer
    | DeliverKey
)

Command = (
    Connect
    | Close
    | Send
    | SendBulk
    | DeliverTokens
    | Complete
    | Fail
    | Reconnect
    | CloseCaller
    | ServiceAnswer
    | DeliverKey
    | ResolveKey
    | FindBinding
    | BindKey
    | LogDecision
)
