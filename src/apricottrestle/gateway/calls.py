"""Caller requests, upstream calls, and the interfaces of both transports.

A platform adapter implements `Responder` and `UpstreamClient`; it contains no
routing or retry logic. Times are seconds of the monotonic clock.
"""

import abc
from collections.abc import Callable
from typing import Literal, NamedTuple

Headers = tuple[tuple[str, str], ...]


class PromptSize(NamedTuple):
    """Size of a model request.

    Attributes:
        prompt_tokens: Tokens of the prompt.
        max_output_tokens: Maximum number of tokens to generate.
        expected_output_tokens: The caller's estimate of the generated tokens,
            or None.
    """

    prompt_tokens: int
    max_output_tokens: int
    expected_output_tokens: int | None


class CallerRequest(NamedTuple):
    """A request that has been read completely.

    Attributes:
        request_id: Id of this attempt by the caller.
        method: HTTP method.
        target: Path and query, byte for byte.
        host: Host header.
        headers: Headers to forward to an upstream.
        body: Body without transfer encoding.
        api_key: Bearer key, or None.
        time_left_s: The caller's time limit, counted from the arrival, or None
            if the caller set none.
        arrived_at: Time at which the request had been read, by the event
            loop's clock.
        resume_after: Id of the last event that the caller has received, or
            None if the stream is not resumed.
        size: Size of a model request, or None for other requests.
        shared_parts: Ids of the parts of the prompt that other requests may
            share, in order.
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
    shared_parts: tuple[str, ...] = ()

    @property
    def path(self) -> str:
        """Path without the query string."""
        return self.target.partition("?")[0]


class RequestHead(NamedTuple):
    """What a handler may decide on before the body has been read.

    Attributes:
        request_id: Id of this attempt by the caller.
        target: Path and query, byte for byte.
        host: Host header.
        api_key: Bearer key, or None.
        body_bytes: Length of the body, or what has been read of it so far if it
            has none.
        time_left_s: The caller's time limit, or None if the caller set none.
    """

    request_id: str
    target: str
    host: str
    api_key: str | None
    body_bytes: int
    time_left_s: float | None = None

    @property
    def path(self) -> str:
        """Path without the query string."""
        return self.target.partition("?")[0]


class Arrival(NamedTuple):
    """A request that has been read in part.

    Attributes:
        head: Its head, or None if that isn't complete.
        silent_s: Time since the last bytes of it came.
    """

    head: RequestHead | None
    silent_s: float


class Refusal(NamedTuple):
    """The refusal of a request that has not run.

    Attributes:
        status: HTTP status.
        reason: Stable code for logs and the caller.
        retry_after_s: Value for Retry-After, or None if a retry would fail
            again.
    """

    status: int
    reason: str
    retry_after_s: float | None = None


class Responder(abc.ABC):
    """Writes exactly one response to a caller.

    Attributes:
        closed: Whether the caller has disconnected or the response has ended.
    """

    closed: bool = False

    @abc.abstractmethod
    def on_close(self, callback: Callable[[], None]) -> None:
        """Registers a callback for a disconnect before the response's end.

        The callback is called at most once.
        """

    @abc.abstractmethod
    def begin(
        self, status: int, headers: Headers, length: int | None = None
    ) -> None:
        """Starts to forward an upstream's response.

        Args:
            status: HTTP status.
            headers: Headers of the upstream's response.
            length: Body length in bytes, or None for a stream.
        """

    @abc.abstractmethod
    def write(self, data: bytes) -> None:
        """Writes part of the body."""

    @property
    def unread_bytes(self) -> int:
        """Bytes of the response that wait for the caller to read."""
        return 0

    @abc.abstractmethod
    def finish(self) -> None:
        """Ends the response as complete."""

    @abc.abstractmethod
    def refuse(
        self, status: int, message: str, retry_after_s: float | None = None
    ) -> None:
        """Writes an error response from the gateway."""

    @abc.abstractmethod
    def abort(self) -> None:
        """Closes the connection so that the response is seen as incomplete."""


class RequestHandler(abc.ABC):
    """Receives the requests of callers."""

    @abc.abstractmethod
    def check_head(self, head: RequestHead) -> Refusal | None:
        """Returns the refusal of a request whose body needn't be read."""

    @abc.abstractmethod
    def check_arrival(self, arrival: Arrival) -> Refusal | None:
        """Returns the refusal of a request that a shutdown can't wait for."""

    @abc.abstractmethod
    def handle(self, req: CallerRequest, responder: Responder) -> None:
        """Handles a request and writes its response to the responder."""


class UpstreamCall(NamedTuple):
    """One attempt to serve a caller's request at an upstream.

    Attributes:
        req: The caller's request.
        upstream_id: The only upstream that may run the request.
        address: Address of the upstream, as "ip:port".
        time_left_s: Time after which the upstream stops processing.
        team: Team of the caller, or None.
        priority: Priority in the upstream's queue, 0 to 9.
        helpers: Engines that prefill parts of the prompt, as "ip:port" or
            "ip:port/reservation".
        resume_after: Id of the last event already forwarded, or None.
        new_connection: Whether to open a connection for this call: the
            transport can't retransmit the request then, and no answer of an
            earlier call can arrive on it.
    """

    req: CallerRequest
    upstream_id: str
    address: str
    time_left_s: float
    team: str | None
    priority: int
    helpers: tuple[str, ...]
    resume_after: str | None
    new_connection: bool


class NamedLimit(NamedTuple):
    """A limit that an upstream names in its responses, for all its callers.

    Attributes:
        requests_per_s: Requests per second, or None if the value is unreadable.
    """

    requests_per_s: float | None


class ResponseHead(NamedTuple):
    """Status and headers of an upstream's response.

    Attributes:
        status: HTTP status.
        headers: Headers to forward to the caller.
        request_id: Request id that the response names, or None.
        signed: Whether the response carries the upstream's signature.
        not_run: Whether the upstream states that it did not run the request.
        encoded: Whether the body has a content encoding.
        fault_address: Address of the upstream that caused the failure if it
            is not the one that responded, or None.
        framed: Whether the body has a length or chunks. If not, it ends with
            its connection, whether or not it is complete.
        limit: Limit that the upstream names, or None if it names none.
        leaving: Whether the upstream says that it leaves.
        wait_s: Time for which the upstream, which refused the request, wants
            nothing from this gateway; None if it doesn't say.
        cold_s: Time for which the upstream is still cold, or None if it doesn't
            say.
        length: Length of the body, or None if the response names none.
    """

    status: int
    headers: Headers
    request_id: str | None
    signed: bool
    not_run: bool
    encoded: bool
    fault_address: str | None
    framed: bool = True
    limit: NamedLimit | None = None
    leaving: bool = False
    wait_s: float | None = None
    cold_s: float | None = None
    length: int | None = None

    @property
    def media_type(self) -> str:
        """Type of the body in lower case, without parameters; may be empty."""
        for name, value in self.headers:
            if name.lower() == "content-type":
                return value.partition(";")[0].strip().lower()
        return ""


EndKind = Literal["complete", "not_sent", "broken", "timeout", "cancelled"]
"""How a transfer ended.

not_sent: no byte of the request can have reached the upstream.
broken: the connection was closed before the response was complete.
"""


class ResponseSink(abc.ABC):
    """Receives an upstream's response, on the event loop."""

    @abc.abstractmethod
    def on_head(self, head: ResponseHead) -> None:
        """Called once, with status and headers, before any data."""

    @abc.abstractmethod
    def on_data(self, data: bytes) -> None:
        """Called with each part of the body."""

    @abc.abstractmethod
    def on_end(self, end: EndKind, detail: str) -> None:
        """Called exactly once, after all other callbacks."""


class Transfer(abc.ABC):
    """An upstream call under way."""

    @abc.abstractmethod
    def cancel(self) -> None:
        """Closes the connection; the sink's `on_end` gets "cancelled"."""

    def pause(self) -> None:  # noqa: B027
        """Reads no more of the response until `resume`.

        What has been read already is still passed to the sink. This base
        class, for transfers in memory, goes on.
        """

    def resume(self) -> None:  # noqa: B027
        """Reads the response again."""


class Reservation(NamedTuple):
    """KV cache memory to reserve on an engine.

    Attributes:
        reservation_id: Id, unique in the fleet.
        address: Address of the engine, as "ip:port".
        upstream_id: The only upstream that may grant the reservation.
        tokens: Size of the reservation in tokens.
        hold_s: Time after which the engine releases the memory by itself.
    """

    reservation_id: str
    address: str
    upstream_id: str
    tokens: int
    hold_s: float


ProbeResult = Literal["running", "ended", "unknown"]
"""What is known about the process of an upstream.

ended: nothing listens at its address, or another process does.
"""


OnCold = Callable[[str, int, float, float], None]
"""Called with an upstream's id, the listed start time of its process, the time
for which it says that it is cold, and the time at which it was asked."""


class UpstreamClient(abc.ABC):
    """Sends requests and memory reservations to upstreams.

    Attributes:
        on_cold: Called when the answer to a probe says how long the upstream is
            cold, or None.
        on_transfers: Called with the number of calls that are under way when it
            has changed, or None.
    """

    on_cold: OnCold | None = None
    on_transfers: Callable[[int], None] | None = None

    @abc.abstractmethod
    def send(self, call: UpstreamCall, sink: ResponseSink) -> Transfer:
        """Starts a call whose response goes to `sink`."""

    @abc.abstractmethod
    async def probe(
        self, upstream_id: str, address: str, started_at_ms: int
    ) -> ProbeResult:
        """Asks an engine whether a process is still running; never raises.

        Args:
            upstream_id: Id of the engine.
            address: Its address, as "ip:port".
            started_at_ms: Start time of the process, as listed.
        """

    @abc.abstractmethod
    async def reserve(self, reservation: Reservation) -> bool:
        """Reserves memory; returns False if the engine has too little free.

        Raises:
            UpstreamError: No valid response; the memory may be reserved.
        """

    @abc.abstractmethod
    async def release(self, reservation: Reservation) -> None:
        """Releases reserved memory; safe to repeat.

        Raises:
            UpstreamError: No valid response; the memory may still be reserved.
        """
