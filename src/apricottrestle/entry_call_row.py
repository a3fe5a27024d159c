"""State of a call to a plain service in the entry's tables."""

from typing import Literal

from apricottrestle import call_keys, entry_events

CallState = Literal[
    "binding", "issuing", "waiting", "connecting", "sent", "resolving"
]


class CallRow:
    """A call to a plain service, or a request for an issued key.

    Attributes:
        req_id: Request id.
        caller: Caller number, None after the caller has disconnected.
        spec: The validated call, None for a key request.
        service: Service name.
        team: Team name.
        key_text: Issued key in text form, "" when there is none.
        key: Parsed issued key to run the call with, or None.
        binding_name: Name under which a key chosen by the caller is bound,
            or "".
        is_key_request: True for a request for an issued key.
        config_rev: Configuration revision at admission.
        admitted_at: Time of admission.
        deadline: Time by which the call must end.
        state: What the call waits for. "binding": a lookup or binding of the
            caller's key on the log. "issuing": a key from an agent. "waiting":
            a usable agent. "connecting": a connection to the agent of the key.
            "sent": the result. "resolving": the outcome from the log.
        agent_id: Agent that the call or key request was sent to, or "".
        incarnation: Incarnation of the agent at the last submit.
        attempt: Attempt number, 0 before the first.
        maybe_ran: True when the call may have run, in this attempt or in an
            earlier one with the same key.
        failures: Attempts that ended in a failure.
        excluded: Agents already tried; not chosen again until the call has
            waited.
        logged_no_agent: True when the last logged decision found no agent.
        final_lookup: True while the log is read again to prove that the
            caller's key is not bound, before the call fails without an agent.
        state_timeout_at: Time at which the current state is retried or given
            up.
        binding_failed: True when the log could not be read or written, so that
            the call fails and its error offers the issued key.
    """

    __slots__ = (
        "admitted_at",
        "agent_id",
        "attempt",
        "binding_failed",
        "binding_name",
        "caller",
        "config_rev",
        "deadline",
        "excluded",
        "failures",
        "final_lookup",
        "incarnation",
        "is_key_request",
        "key",
        "key_text",
        "logged_no_agent",
        "maybe_ran",
        "req_id",
        "service",
        "spec",
        "state",
        "state_timeout_at",
        "team",
    )

    def __init__(
        self,
        req_id: str,
        caller: int,
        service: str,
        team: str,
        spec: entry_events.CallSpec | None,
        limit_s: float,
        config_rev: int,
        now: float,
    ) -> None:
        """Creates the row of a call just accepted."""
        self.req_id = req_id
        self.caller: int | None = caller
        self.spec = spec
        self.service = service
        self.team = team
        self.key_text = ""
        self.key: call_keys.IssuedKey | None = None
        self.binding_name = ""
        self.is_key_request = spec is None
        self.config_rev = config_rev
        self.admitted_at = now
        self.deadline = now + limit_s
        self.state: CallState = "issuing"
        self.agent_id = ""
        self.incarnation = ""
        self.attempt = 0
        self.maybe_ran = False
        self.failures = 0
        self.excluded: set[str] = set()
        self.state_timeout_at = self.deadline
        self.binding_failed = False
        self.final_lookup = False
        self.logged_no_agent = False
