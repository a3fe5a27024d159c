"""The interface between an exchange and the gateway that runs it."""

import abc
from collections.abc import Callable
from typing import TYPE_CHECKING, Literal, NamedTuple

from apricottrestle import memory_account
from apricottrestle.gateway import calls, crash_evidence, retry_policy

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


class Attempt(NamedTuple):
    """An attempt to serve a request at one upstream.

    Attributes:
        upstream_id: The upstream.
        address: Address of the upstream, as "ip:port".
        run_id: Id of the attempt in the load tables.
        started_at: Monotonic time at which the attempt started.
        first_event_s: Expected time to the first event; 0 for plain calls.
        on_probation: Whether the upstream may be busy with unknown runs.
        process_started_at_ms: Start time of the upstream's process, as listed.
    """

    upstream_id: str
    address: str
    run_id: str
    started_at: float
    first_event_s: float
    on_probation: bool = False
    process_started_at_ms: int = 0


class ExchangeHost(abc.ABC):
    """Services and callbacks that the gateway provides to its exchanges.

    Attributes:
        account: Counts the answers that are buffered.
    """

    account: memory_account.MemoryAccount

    @abc.abstractmethod
    def start_call(
        self, sink: calls.ResponseSink, call: calls.UpstreamCall
    ) -> calls.Transfer:
        """Starts an upstream call; the sink receives the response."""

    @abc.abstractmethod
    def place_request(self, request: "exchange.Exchange") -> None:
        """Chooses an upstream, now or later, and calls `Exchange.send_to`."""

    @abc.abstractmethod
    def withdraw_request(self, request: "exchange.Exchange") -> None:
        """Stops the choice of an upstream for a request."""

    @abc.abstractmethod
    def on_response_head(
        self, attempt: Attempt, head: calls.ResponseHead
    ) -> None:
        """Called when an attempt's upstream has begun its response."""

    @abc.abstractmethod
    def on_first_event(
        self, request: "exchange.Exchange", attempt: Attempt
    ) -> None:
        """Called when the first event of an attempt has arrived."""

    @abc.abstractmethod
    def on_event(
        self,
        request: "exchange.Exchange",
        attempt: Attempt,
        gap_s: float | None,
    ) -> None:
        """Called when events have arrived: the engine has ended a pass.

        Args:
            request: The exchange.
            attempt: The attempt whose events arrived.
            gap_s: Time since the attempt's previous event, or None if this is
                the first one or several events arrived together.
        """

    @abc.abstractmethod
    def on_stalled(
        self, request: "exchange.Exchange", attempt: Attempt
    ) -> None:
        """Called when an attempt's upstream has been silent for too long."""

    @abc.abstractmethod
    def on_answer_begun(self, request: "exchange.Exchange") -> None:
        """Called when an engine's answer has got past its beginning."""

    @abc.abstractmethod
    def on_answered(self, request: "exchange.Exchange") -> None:
        """Called when an upstream has answered a request in full."""

    @abc.abstractmethod
    def on_connection_lost(
        self,
        request: "exchange.Exchange",
        attempt: Attempt,
        suspect: crash_evidence.Suspect,
    ) -> None:
        """Called when an upstream closed a connection inside its answer.

        Args:
            request: The exchange.
            attempt: The attempt.
            suspect: The request, as evidence if the upstream has crashed.
        """

    @abc.abstractmethod
    def probe_upstream(
        self, attempt: Attempt, callback: Callable[[calls.ProbeResult], None]
    ) -> None:
        """Asks whether an attempt's upstream is running, for the callback."""

    @abc.abstractmethod
    def on_attempt_ended(
        self,
        request: "exchange.Exchange",
        attempt: Attempt,
        result: retry_policy.AttemptResult | None,
        fault_address: str | None,
    ) -> None:
        """Called when an attempt has ended.

        Args:
            request: The exchange.
            attempt: The attempt.
            result: How the attempt failed, or None if it succeeded or ended
                with its exchange.
            fault_address: Address of the upstream that caused the failure if
                the response names one, or None.
        """

    @abc.abstractmethod
    def consume_retry(self, request: "exchange.Exchange") -> bool:
        """Uses one retry of the retry budget; returns False if none is left."""

    @abc.abstractmethod
    def has_retry(self, request: "exchange.Exchange") -> bool:
        """Returns whether the retry budget allows another attempt."""

    @abc.abstractmethod
    def retry_after_s(self, request: "exchange.Exchange") -> float:
        """Returns the Retry-After value, in seconds, of a refusal."""

    @abc.abstractmethod
    def on_exchange_ended(
        self, request: "exchange.Exchange", outcome: Outcome
    ) -> None:
        """Called when an exchange has ended."""
