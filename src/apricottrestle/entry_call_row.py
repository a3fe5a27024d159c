"""Row of a call to a plain service in the entry's tables."""

from typing import Literal

from apricottrestle import call_keys, entry_events

CallState = Literal[
    "binding", "issuing", "waiting", "connecting", "sent", "resolving"
]


class CallRow:
    """A call to a plain service, or a request for an issued key.

    Attributes:
        req_id: Request id.
        caller: Caller number, None when the caller is gone.
        spec: The checked call; None when only a key is asked for.
        service: Service name.
        team: Team name.
        key_text: Issued key as text, "" before there is one.
        key: Issued key, None for a repeatable call without one.
        binding_name: Name under which a caller's own key is bound, or "".
        is_key_request: True when the caller gets the key instead of a call.
        config_rev: Configuration revision at admission.
        admitted_at: Time of admission.
        deadline: Time by which it must end.
        state: Step of its life.
        agent_id: Agent asked, "" when there is none.
        incarnation: Incarnation of that agent.
        attempt: Attempt number, 0 before the first.
        maybe_ran: True when the call may have run, here or as an earlier
            attempt under the same key.
        failures: Attempts that ended by a failure.
        excluded: Agents that failed it.
        logged_no_agent: True once the want of an agent has been logged.
        final_lookup: True while the log is read to prove that the caller's own
            key is not bound.
        state_timeout_at: Time at which the present step is given up.
        binding_failed: True when the caller gets the issued key instead of an
            answer, because the log did not take the binding.
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
