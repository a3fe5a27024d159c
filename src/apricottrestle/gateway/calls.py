"""Requests of callers, calls to upstreams, and the interfaces of both sides.

The adapter to a platform implements `Responder` and `UpstreamClient`; it
decides nothing. Times are seconds of the monotonic clock.
"""

import abc
from collections.abc import Callable
from typing import Literal, NamedTuple

Headers = tuple[tuple[str, str], ...]


class PromptSize(NamedTuple):
    """Size of a model request.

    Attributes:
        prompt_tokens: Tokens to read.
        output_tokens: Most tokens to write.
        expected_output_tokens: The caller's estimate, or None.
    """

    prompt_tokens: int
    output_tokens: int
    expected_output_tokens: int | None


class CallerRequest(NamedTuple):
    """A request as a caller sent it, read completely.

    Attributes:
        request_id: Id of this attempt of the caller.
        method: HTTP method.
        target: Path and query, byte for byte.
        host: Host header.
        headers: Headers to pass on to an upstream.
        body: Body without transfer encoding.
        api_key: Bearer key, or None.
        time_left_s: Time the caller still waits, counted from the arrival, or
            None when it stated none.
        arrived_at: When it had been read, by the event loop's clock.
        resume_after: Id of the last event the caller has, or None.
        size: Size of the prompt, or None for other requests.
    """

    request_id: str
    method: str
    target: str
    host: str
    headers: Headers
    body: bytes
    api_key: str | None
    time_left_s: float | None
    arrived_at: float
    resume_after: str | None
    size: PromptSize | None

    @property
    def path(self) -> str:
        """Path without the query."""
        return self.target.partition("?")[0]


class Responder(abc.ABC):
    """The way back to a caller; exactly one answer is written to it.

    Attributes:
        closed: The caller has left, or the answer has ended.
    """

    closed: bool = False

    @abc.abstractmethod
    def on_close(self, callback: Callable[[], None]) -> None:
        """Calls back once when the caller leaves before the answer's end."""

    @abc.abstractmethod
    def begin(
        self, status: int, headers: Headers, length: int | None = None
    ) -> None:
        """Starts an answer of an upstream, with its headers.

        Args:
            status: HTTP status.
            headers: Headers of the upstream.
            length: Bytes of the body, or None for a stream.
        """

    @abc.abstractmethod
    def write(self, data: bytes) -> None:
        """Writes a part of the body."""

    @abc.abstractmethod
    def finish(self) -> None:
        """Ends the answer as complete."""

    @abc.abstractmethod
    def refuse(
        self, status: int, message: str, retry_after_s: float | None = None
    ) -> None:
        """Writes an error answer of the gateway's own."""

    @abc.abstractmethod
    def abort(self) -> None:
        """Closes the connection, so that the answer is not complete."""


class RequestHandler(abc.ABC):
    """Receives the requests of callers."""

    @abc.abstractmethod
    def handle(self, req: CallerRequest, responder: Responder) -> None:
        """Takes over a request; the answer goes to the responder."""


class UpstreamCall(NamedTuple):
    """One send of a caller's request to an upstream.

    Attributes:
        req: The caller's request.
        upstream_id: The only upstream that may run it.
        address: Its "ip:port".
        time_left_s: Time after which the upstream stops.
        team: Team of the caller, or None.
        priority: Rank among the upstream's waiting requests, 0 to 9.
        helpers: Engines that read parts of the prompt: "ip:port" or
            "ip:port/reservation".
        resume_after: Id of the last event already delivered, or None.
        at_most_once: The transport must never repeat the request by itself.
    """

    req: CallerRequest
    upstream_id: str
    address: str
    time_left_s: float
    team: str | None
    priority: int
    helpers: tuple[str, ...]
    resume_after: str | None
    at_most_once: bool


class ResponseHead(NamedTuple):
    """Status and headers of an upstream's answer.

    Attributes:
        status: HTTP status.
        headers: Headers to pass on to the caller.
        request_id: Id of the request that the answer names, or None.
        signed: Whether it carries the upstream's signature.
        not_run: Whether the upstream states that it did not run the request.
        encoded: Whether the body is not the upstream's plain body.
        fault_address: Upstream at fault when another one failed, or None.
    """

    status: int
    headers: Headers
    request_id: str | None
    signed: bool
    not_run: bool
    encoded: bool
    fault_address: str | None


EndKind = Literal["complete", "not_sent", "broken", "timeout", "cancelled"]
"""How a transfer ended.

not_sent: no byte of the request can have reached the upstream.
broken: the connection ended before the answer did.
"""


class ResponseSink(abc.ABC):
    """Receives an upstream's answer, on the event loop."""

    @abc.abstractmethod
    def on_head(self, head: ResponseHead) -> None:
        """Receives status and headers, once, before any data."""

    @abc.abstractmethod
    def on_data(self, data: bytes) -> None:
        """Receives a part of the body."""

    @abc.abstractmethod
    def on_end(self, end: EndKind, detail: str) -> None:
        """Receives the end, exactly once, after everything else."""


class Transfer(abc.ABC):
    """A call under way."""

    @abc.abstractmethod
    def cancel(self) -> None:
        """Closes the connection; the sink gets the end "cancelled"."""


class Reservation(NamedTuple):
    """Memory to set aside on an engine.

    Attributes:
        reservation_id: Id, unique in the fleet.
        address: The engine's "ip:port".
        upstream_id: The only upstream meant.
        tokens: Tokens of memory.
        hold_s: Time after which the engine releases it by itself.
    """

    reservation_id: str
    address: str
    upstream_id: str
    tokens: int
    hold_s: float


class UpstreamClient(abc.ABC):
    """Sends requests and orders to upstreams."""

    @abc.abstractmethod
    def send(self, call: UpstreamCall, sink: ResponseSink) -> Transfer:
        """Starts a call."""

    @abc.abstractmethod
    async def reserve(self, reservation: Reservation) -> bool:
        """Sets memory aside; False when the engine has none free.

        Raises:
            UpstreamError: No answer; the memory may be set aside.
        """

    @abc.abstractmethod
    async def release(self, reservation: Reservation) -> None:
        """Releases memory; safe to repeat.

        Raises:
            UpstreamError: No answer; the memory may still be set aside.
        """
