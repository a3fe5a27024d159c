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
        text: Issued key as text, "" before there is one.
        key: Issued key, None for a repeatable call without one.
        binding: Name under which a caller's own key is bound, or "".
        key_only: True when the caller gets the key instead of a call.
        config_rev: Configuration revision at admission.
        admitted: Time of admission.
        deadline: Time by which it must end.
        state: Step of its life.
        agent_id: Agent asked, "" when there is none.
        incarnation: Incarnation of that agent.
        attempt: Attempt number, 0 before the first.
        maybe_ran: True when the call may have run, here or as an earlier
            attempt under the same key.
        failures: Attempts that ended by a failure.
        excluded: Agents that failed it.
        waits: True once the want of an agent has been logged.
        last_look: True while the log is read to prove that the caller's own
            key is not bound.
        step_until: Time at which the present step is given up.
        handout: True when the caller gets the issued key instead of an answer,
            because the log did not take the binding.
    """

    __slots__ = (
        "admitted",
        "agent_id",
        "attempt",
        "binding",
        "caller",
        "config_rev",
        "deadline",
        "excluded",
        "failures",
        "handout",
        "incarnation",
        "key",
        "key_only",
        "last_look",
        "maybe_ran",
        "req_id",
        "service",
        "spec",
        "state",
        "step_until",
        "team",
        "text",
        "waits",
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
        self.text = ""
        self.key: call_keys.IssuedKey | None = None
        self.binding = ""
        self.key_only = spec is None
        self.config_rev = config_rev
        self.admitted = now
        self.deadline = now + limit_s
        self.state: CallState = "issuing"
        self.agent_id = ""
        self.incarnation = ""
        self.attempt = 0
        self.maybe_ran = False
        self.failures = 0
        self.excluded: set[str] = set()
        self.step_until = self.deadline
        self.handout = False
        self.last_look = False
        self.waits = False
