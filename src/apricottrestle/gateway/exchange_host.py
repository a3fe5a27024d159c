"""What an exchange needs of the gateway that hosts it."""

import abc
from typing import TYPE_CHECKING, Literal, NamedTuple

from apricottrestle.gateway import calls, retry_policy

if TYPE_CHECKING:
    from apricottrestle.gateway import exchange

Outcome = Literal[
    "served",
    "passed_on",
    "refused",
    "failed",
    "aborted",
    "timeout",
    "caller_left",
]


class Sent(NamedTuple):
    """A send under way.

    Attributes:
        upstream_id: Upstream that got it.
        address: Its "ip:port".
        run_id: Id in the load tables.
        started_at: Monotonic time.
        first_event_s: Expected time to the first event; 0 for plain calls.
    """

    upstream_id: str
    address: str
    run_id: str
    started_at: float
    first_event_s: float


class Host(abc.ABC):
    """What an exchange needs of the gateway."""

    @abc.abstractmethod
    def send(
        self, one: "exchange.Exchange", call: calls.UpstreamCall
    ) -> calls.Transfer:
        """Starts a call whose answer goes to the exchange."""

    @abc.abstractmethod
    def place(self, one: "exchange.Exchange") -> None:
        """Finds an upstream, now or later, and has the exchange send."""

    @abc.abstractmethod
    def wrote(self, one: "exchange.Exchange", sent: Sent) -> None:
        """Notes the first event of a send."""

    @abc.abstractmethod
    def saw_event(
        self, one: "exchange.Exchange", sent: Sent, pause_s: float | None
    ) -> None:
        """Notes that an engine has just ended a pass.

        Args:
            one: The exchange.
            sent: The send whose event came.
            pause_s: Time since the send's event before, or None.
        """

    @abc.abstractmethod
    def sent_ended(
        self,
        one: "exchange.Exchange",
        sent: Sent,
        result: retry_policy.AttemptResult | None,
        fault_address: str | None,
    ) -> None:
        """Notes the end of a send.

        `result` is None when it went well or was ended by the gateway or the
        caller.
        """

    @abc.abstractmethod
    def take_retry(self, one: "exchange.Exchange") -> bool:
        """Uses one retry of the budget, if there is one."""

    @abc.abstractmethod
    def retry_after_s(self, one: "exchange.Exchange") -> float:
        """Returns when a refused caller should come back."""

    @abc.abstractmethod
    def ended(self, one: "exchange.Exchange", outcome: Outcome) -> None:
        """Notes the end of an exchange."""
