"""Tests of what the caller of an exchange gets when upstreams fail."""

import asyncio
import tracemalloc
from collections.abc import Callable
from typing import Any, Literal, NamedTuple

import pytest

from apricottrestle import memory_account
from apricottrestle.gateway import (
    accept,
    calls,
    crash_evidence,
    exchange,
    exchange_host,
    fleet_config,
    retry_policy,
    upstream_response,
)
from apricottrestle_standins.platform import virtual_time
from tests import gateway_parts


class _Caller(calls.Responder):
    """Records the response."""

    def __init__(self) -> None:
        self.closed = False
        self.endings: list[str] = []
        self.status: int | None = None
        self.body = b""
        self.retry_after_s: float | None = None
        self.leave: Callable[[], None] = lambda: None

    def on_close(self, callback: Callable[[], None]) -> None:
        self.leave = callback

    def begin(
        self, status: int, headers: calls.Headers, length: int | None = None
    ) -> None:
        assert self.status is None
        self.status = status

    def write(self, data: bytes) -> None:
        self.body += data

    def finish(self) -> None:
        self.endings.append("complete")

    def refuse(
        self, status: int, message: str, retry_after_s: float | None = None
    ) -> None:
        assert self.status is None
        self.status = status
        self.retry_after_s = retry_after_s
        self.endings.append("refused")

    def abort(self) -> None:
        self.endings.append("closed")


class _Transfer(calls.Transfer):
    def __init__(self, sink: calls.ResponseSink) -> None:
        self.cancelled = False
        self.paused = False
        self.sink = sink

    def pause(self) -> None:
        self.paused = True

    def resume(self) -> None:
        self.paused = False

    def cancel(self) -> None:
        if not self.cancelled:
            self.cancelled = True
            asyncio.get_running_loop().call_soon(
                self.sink.on_end, "cancelled", ""
            )


PARTS = ("first", "bad")
OWN_PART = crash_evidence.request_part(gateway_parts.request())
AT_HEAD = crash_evidence.Suspect((*PARTS, OWN_PART), True)
WAITING = crash_evidence.Suspect((*PARTS, OWN_PART), False)
PAST_BEGINNING = crash_evidence.Suspect((OWN_PART,), True, True)


class _Host(exchange_host.ExchangeHost):
    """Places attempt n at the upstream up-n."""

    def __init__(
        self, *, has_budget: bool = True, account_bytes: int = 1 << 30
    ) -> None:
        self.account = memory_account.MemoryAccount(
            memory_account.Limits(account_bytes, 100)
        )
        self.calls_started: list[calls.UpstreamCall] = []
        self.transfers: list[_Transfer] = []
        self.results: list[retry_policy.AttemptResult | None] = []
        self.outcomes: list[str] = []
        self.begun = 0
        self.answered = 0
        self.suspects: list[crash_evidence.Suspect] = []
        self.probe_result: calls.ProbeResult = "running"
        self.probes = 0
        self.places_at_one = False
        self.second_place: Literal["at once", "later", "none"] = "at once"
        self.withdrawn = 0
        self.stalls: list[str] = []
        self._has_budget = has_budget

    def start_call(
        self, sink: calls.ResponseSink, call: calls.UpstreamCall
    ) -> calls.Transfer:
        self.calls_started.append(call)
        self.transfers.append(_Transfer(sink))
        return self.transfers[-1]

    def withdraw_request(self, request: exchange.Exchange) -> None:
        self.withdrawn += 1

    def place_request(self, request: exchange.Exchange) -> None:
        if self.calls_started and self.second_place != "at once":
            if self.second_place == "none":
                request.refuse(503, "too_late", 0.2)
            return
        number = 1 if self.places_at_one else len(self.calls_started) + 1
        request.send_to(
            exchange_host.Attempt(
                f"up-{number}", f"127.0.0.1:{number}", "r", 0.0, 0.1
            ),
            priority=0,
            helpers=(),
        )

    def on_response_head(
        self, attempt: exchange_host.Attempt, head: calls.ResponseHead
    ) -> None:
        pass

    def on_first_event(
        self,
        request: exchange.Exchange,
        attempt: exchange_host.Attempt,
    ) -> None:
        pass

    def on_event(
        self,
        request: exchange.Exchange,
        attempt: exchange_host.Attempt,
        gap_s: float | None,
    ) -> None:
        pass

    def on_attempt_ended(
        self,
        request: exchange.Exchange,
        attempt: exchange_host.Attempt,
        result: retry_policy.AttemptResult | None,
        fault_address: str | None,
    ) -> None:
        self.results.append(result)

    def on_stalled(
        self, request: exchange.Exchange, attempt: exchange_host.Attempt
    ) -> None:
        self.stalls.append(attempt.upstream_id)

    def on_answer_begun(self, request: exchange.Exchange) -> None:
        self.begun += 1

    def on_answered(self, request: exchange.Exchange) -> None:
        self.answered += 1

    def on_connection_lost(
        self,
        request: exchange.Exchange,
        attempt: exchange_host.Attempt,
        suspect: crash_evidence.Suspect,
    ) -> None:
        self.suspects.append(suspect)

    def probe_upstream(
        self,
        attempt: exchange_host.Attempt,
        callback: Callable[[calls.ProbeResult], None],
    ) -> None:
        self.probes += 1
        asyncio.get_running_loop().call_soon(callback, self.probe_result)

    def consume_retry(self, request: exchange.Exchange) -> bool:
        return self._has_budget

    def has_retry(self, request: exchange.Exchange) -> bool:
        return self._has_budget

    def retry_after_s(self, request: exchange.Exchange) -> float:
        return 0.2

    def on_exchange_ended(
        self,
        request: exchange.Exchange,
        outcome: exchange_host.Outcome,
    ) -> None:
        self.outcomes.append(outcome)


HEAD = calls.ResponseHead(200, (), "request-1", True, False, False, None)


def _events(first: int, last: int) -> bytes:
    return b"".join(
        f"id: {n}\ndata: {n}\n\n".encode() for n in range(first, last + 1)
    )


class Response(NamedTuple):
    """A scripted upstream response and how its transfer ends."""

    end: calls.EndKind
    head: calls.ResponseHead | None = None
    data: bytes = b""


LOST = Response("broken")
OTHER_REQUEST_HEAD = HEAD._replace(request_id="other")
REFUSED = Response(
    "complete", HEAD._replace(status=503, signed=False, not_run=True)
)
ERROR = Response("complete", HEAD._replace(status=500), b"error")
WHOLE = Response("complete", HEAD, b"body")
WHOLE_STREAM = Response("complete", HEAD, _events(1, 3))


async def _run_exchange(
    route: fleet_config.Route,
    responses: list[Response],
    host: _Host,
    **request: Any,
) -> _Caller:
    """Runs an exchange against scripted responses and returns its caller."""
    caller = _Caller()
    now = asyncio.get_running_loop().time()
    accepted = accept.Accepted(
        route,
        None,
        fleet_config.Service("s", 1, None),
        0,
        now + route.timeout_s,
        1,
    )
    req = gateway_parts.request(arrived_at=now, **request)
    exchange_under_test = exchange.Exchange(host, req, accepted, caller)
    exchange_under_test.start()
    for number, response in enumerate(responses):
        assert len(host.calls_started) == number + 1
        sink = host.transfers[number].sink
        if response.head is not None:
            sink.on_head(response.head)
        if response.data:
            sink.on_data(response.data)
        if not host.transfers[number].cancelled:
            sink.on_end(response.end, "")
        await asyncio.sleep(0.01)
    return caller


@pytest.mark.parametrize(
    ("route", "responses", "status", "ending", "body"),
    [
        (gateway_parts.SAFE, [WHOLE], 200, "complete", b"body"),
        (gateway_parts.SAFE, [LOST, WHOLE], 200, "complete", b"body"),
        (gateway_parts.SAFE, [ERROR, WHOLE], 200, "complete", b"body"),
        (gateway_parts.SAFE, [ERROR, ERROR], 500, "complete", b"error"),
        (gateway_parts.SAFE, [LOST, LOST], 502, "refused", b""),
        (gateway_parts.SAFE, [REFUSED, REFUSED], 503, "refused", b""),
        (gateway_parts.UNSAFE, [WHOLE], 200, "complete", b"body"),
        (gateway_parts.UNSAFE, [LOST], 502, "refused", b""),
        (gateway_parts.UNSAFE, [REFUSED], 503, "refused", b""),
        (gateway_parts.UNSAFE, [ERROR], 500, "complete", b"error"),
        (
            gateway_parts.UNSAFE,
            [Response("not_sent"), WHOLE],
            200,
            "complete",
            b"body",
        ),
        (
            gateway_parts.STREAM,
            [Response("broken", HEAD, _events(1, 2) + b"id: 3\nda"), Response(
                "complete", HEAD, _events(3, 4))],
            200,
            "complete",
            _events(1, 4),
        ),
        # Repeated events are dropped; a gap between events ends the response.
        (
            gateway_parts.STREAM,
            [Response("broken", HEAD, _events(1, 2)), Response(
                "complete", HEAD, _events(1, 4))],
            200,
            "complete",
            _events(1, 4),
        ),
        (
            gateway_parts.STREAM,
            [Response("broken", HEAD, _events(1, 2)), Response(
                "complete", HEAD, _events(4, 5))],
            200,
            "closed",
            _events(1, 2),
        ),
        (
            gateway_parts.STREAM,
            [Response("broken", HEAD, _events(1, 2)), LOST],
            200,
            "closed",
            _events(1, 2),
        ),
        # A stream that ends within an event is incomplete and is resumed.
        (
            gateway_parts.STREAM,
            [Response("complete", HEAD, _events(1, 2) + b"id: 3"), Response(
                "complete", HEAD, _events(3, 3))],
            200,
            "complete",
            _events(1, 3),
        ),
        # Responses that fail authentication are never forwarded.
        (
            gateway_parts.SAFE,
            [Response("complete", OTHER_REQUEST_HEAD, b"x"), WHOLE],
            200,
            "complete",
            b"body",
        ),
        (
            gateway_parts.SAFE,
            [Response("complete", HEAD._replace(signed=False), b"x"), WHOLE],
            200,
            "complete",
            b"body",
        ),
        (
            gateway_parts.SAFE,
            [Response("complete", HEAD._replace(encoded=True), b"x"), WHOLE],
            200,
            "complete",
            b"body",
        ),
        (
            gateway_parts.UNSAFE,
            [Response("complete", HEAD._replace(request_id=None), b"x")],
            502,
            "refused",
            b"",
        ),
    ],
)  # fmt: skip
def test_caller_gets_complete_authentic_response(
    route: fleet_config.Route,
    responses: list[Response],
    status: int,
    ending: str,
    body: bytes,
) -> None:
    """Guards against incomplete, repeated, foreign or unsigned responses."""
    host = _Host()
    caller = virtual_time.run(_run_exchange(route, responses, host))
    assert (caller.status, caller.endings, caller.body) == (
        status,
        [ending],
        body,
    )
    assert len(host.calls_started) == len(responses)
    assert len(host.outcomes) == 1
    if status == 503:
        assert caller.retry_after_s is not None


def test_no_retry_without_budget() -> None:
    """Guards against retries beyond the fleet's retry budget."""
    host = _Host(has_budget=False)
    caller = virtual_time.run(_run_exchange(gateway_parts.SAFE, [ERROR], host))
    assert (caller.status, caller.body) == (500, b"error")


def test_resume_names_the_last_event() -> None:
    """Guards against a resumed stream that starts from its first event."""
    host = _Host()
    responses = [Response("broken", HEAD, _events(5, 7)), LOST]
    virtual_time.run(
        _run_exchange(gateway_parts.STREAM, responses, host, resume_after="4")
    )
    assert [call.resume_after for call in host.calls_started] == ["4", "7"]


def test_unsafe_calls_forbid_retransmission() -> None:
    """Guards against retransmission of unsafe requests by the transport."""
    for route, new_connection in (
        (gateway_parts.UNSAFE, True),
        (gateway_parts.STREAM._replace(resumable=False), True),
        (gateway_parts.SAFE, False),
        (gateway_parts.STREAM, False),
    ):
        host = _Host()
        virtual_time.run(_run_exchange(route, [], host))
        assert host.calls_started[0].new_connection == new_connection


def test_caller_disconnect_cancels_upstream_call() -> None:
    """Guards against upstream work for a caller that has disconnected."""

    async def main() -> None:
        host = _Host()
        caller = await _run_exchange(gateway_parts.STREAM, [], host)
        caller.leave()
        assert host.transfers[0].cancelled
        assert host.outcomes == ["caller_left"]
        assert caller.endings == []

    virtual_time.run(main())


@pytest.mark.parametrize(
    ("route", "data", "status", "ending"),
    [
        (gateway_parts.UNSAFE, b"", 504, "refused"),
        (gateway_parts.STREAM, _events(1, 1), 200, "closed"),
    ],
)
def test_deadline_ends_the_response(
    route: fleet_config.Route, data: bytes, status: int, ending: str
) -> None:
    """Guards against responses after the deadline and false "not run"."""

    async def main() -> _Caller:
        host = _Host()
        route_once = route._replace(max_attempts=1)
        caller = await _run_exchange(route_once, [], host)
        if data:
            sink = host.transfers[0].sink
            sink.on_head(HEAD)
            sink.on_data(data)
        await asyncio.sleep(route.timeout_s + 0.01)
        assert host.transfers[0].cancelled
        return caller

    caller = virtual_time.run(main())
    assert (caller.status, caller.endings) == (status, [ending])


def test_silent_stream_moves_before_its_caller_leaves() -> None:
    """Guards against waiting for a dead engine until the caller leaves."""

    async def main() -> None:
        host = _Host()
        await _run_exchange(gateway_parts.STREAM, [], host)
        await asyncio.sleep(exchange.MIN_ABANDON_S / 2)
        assert len(host.calls_started) == 2
        assert host.stalls == ["up-1"]
        assert host.transfers[0].cancelled
        assert not host.transfers[1].cancelled
        assert host.results == [retry_policy.AttemptResult.STALLED]

    virtual_time.run(main())


def test_silence_does_not_cancel_unsafe_call() -> None:
    """Guards against cancelling a non-repeatable call to a slow upstream."""

    async def main() -> None:
        host = _Host()
        caller = await _run_exchange(gateway_parts.UNSAFE, [], host)
        await asyncio.sleep(gateway_parts.UNSAFE.timeout_s * 0.9)
        assert caller.endings == []
        assert not host.transfers[0].cancelled

    virtual_time.run(main())


@pytest.mark.parametrize(
    ("route", "limit", "statuses"),
    [
        (gateway_parts.SAFE, upstream_response.MAX_PLAIN_BODY_BYTES, []),
        (gateway_parts.UNSAFE, upstream_response.MAX_PLAIN_BODY_BYTES, [502]),
    ],
)
def test_body_without_end_is_given_up_at_its_limit(
    route: fleet_config.Route, limit: int, statuses: list[int]
) -> None:
    """Guards against reading a body without end until the deadline.

    A repeatable request goes to another upstream; an order gets an answer that
    doesn't promise that it has not run.
    """

    async def main() -> None:
        host = _Host()
        caller = await _run_exchange(route, [], host)
        sink = host.transfers[0].sink
        sink.on_head(HEAD)
        chunk = b"x" * (1 << 16)
        for _ in range(limit // len(chunk)):
            sink.on_data(chunk)
        assert not host.transfers[0].cancelled
        for _ in range(3):
            sink.on_data(chunk)
        assert host.transfers[0].cancelled
        await asyncio.sleep(0.001)
        assert host.account.held_bytes == 0
        assert [caller.status] * bool(caller.endings) == statuses
        assert len(host.calls_started) == (1 if statuses else 2)
        assert host.results == [retry_policy.AttemptResult.LOST]

    virtual_time.run(main())


@pytest.mark.parametrize(
    "sizes", [(2,), (2, 100), (2, 4_095), (2, 4_096), (3_000,), (1 << 14,)]
)
def test_body_in_small_parts_costs_what_is_counted(
    sizes: tuple[int, ...],
) -> None:
    """Guards against small parts that take a gateway over its memory.

    Its account counted two bytes where two bytes and an object were held.
    """

    async def main() -> tuple[_Caller, int, int]:
        host = _Host()
        caller = await _run_exchange(gateway_parts.UNSAFE, [], host)
        sink = host.transfers[0].sink
        sink.on_head(HEAD)
        tracemalloc.start()
        try:
            for number in range(20_000):
                if host.account.held_bytes >= 1 << 18:
                    break
                sink.on_data(bytes(sizes[number % len(sizes)]))
            held_bytes, _ = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
        counted_bytes = host.account.held_bytes
        sink.on_end("complete", "")
        return caller, held_bytes, counted_bytes

    caller, held_bytes, counted_bytes = virtual_time.run(main())
    assert len(caller.body) == counted_bytes
    assert caller.endings == ["complete"]
    assert held_bytes <= memory_account.COPIES * counted_bytes


@pytest.mark.parametrize("length", [None, 1 << 20])
@pytest.mark.parametrize("ends_by", ["room", "deadline"])
def test_answer_waits_while_memory_is_full(
    ends_by: str, length: int | None
) -> None:
    """Guards against an answer that fills the memory, or that is dropped.

    The transfer waits. It goes on as soon as others have freed their memory,
    and otherwise ends at the deadline, with an answer that doesn't promise that
    the request has not run.
    """

    async def main() -> tuple[_Host, _Caller]:
        host = _Host(account_bytes=1 << 20)
        other = memory_account.Holder(is_connection=True)
        host.account.hold(other, 1 << 19, "complete", 0.0)
        another = memory_account.Holder(is_connection=True)
        host.account.hold(another, 1 << 10, "complete", 0.0)
        caller = await _run_exchange(gateway_parts.UNSAFE, [], host)
        transfer = host.transfers[0]
        transfer.sink.on_head(HEAD._replace(length=length))
        chunk = b"x" * (1 << 16)
        for _ in range(16):
            if not transfer.paused:
                transfer.sink.on_data(chunk)
        assert transfer.paused
        assert host.account.held_bytes <= 1 << 20
        if ends_by == "deadline":
            await asyncio.sleep(gateway_parts.UNSAFE.timeout_s)
            assert transfer.cancelled
            return host, caller
        host.account.release(other, 1.0)
        assert not transfer.paused
        transfer.sink.on_data(chunk)
        transfer.sink.on_end("complete", "")
        return host, caller

    host, caller = virtual_time.run(main())
    served = ends_by == "room"
    assert caller.status == (200 if served else 504)
    assert caller.body == b"" or len(caller.body) % (1 << 16) == 0
    assert bool(caller.body) == served
    assert host.outcomes == ["served" if served else "timeout"]
    assert host.account.held_bytes == 1 << 10 if served else 1 << 19


@pytest.mark.parametrize(
    ("event_bytes", "has_room", "counted", "ends"),
    [
        (10_000, True, 0, False),
        (10_000, False, 0, False),
        (100_000, True, 100_000, False),
        (100_000, False, 0, True),
    ],
)
def test_unfinished_events_need_room(
    event_bytes: int, has_room: bool, counted: int, ends: bool
) -> None:
    """Guards against events without end that fill the memory together.

    Small ones always have room, and an event that ends is counted no longer.
    """

    async def main() -> None:
        host = _Host(account_bytes=1 << 20)
        other = memory_account.Holder(is_connection=True)
        held = 1 << 10 if has_room else 1 << 20
        host.account.hold(other, held, "complete", 0.0)
        another = memory_account.Holder(is_connection=True)
        host.account.hold(another, 1, "complete", 0.0)
        route = gateway_parts.STREAM._replace(resumable=False, max_attempts=1)
        caller = await _run_exchange(route, [], host)
        transfer = host.transfers[0]
        transfer.sink.on_head(HEAD)
        part = b"id: 1\ndata: " + b"x" * (event_bytes - 12)
        transfer.sink.on_data(part)
        assert host.account.held_bytes == held + 1 + counted
        assert transfer.cancelled == ends
        if not ends:
            transfer.sink.on_data(b"\n\n")
            assert caller.body == part + b"\n\n"
        assert host.account.held_bytes == held + 1

    virtual_time.run(main())


@pytest.mark.parametrize("has_budget", [True, False])
def test_slow_body_of_a_repeatable_request_is_moved(
    has_budget: bool,
) -> None:
    """Guards against an upstream that sends one byte at a time.

    Without retry budget the first attempt is the only one, so it goes on; it
    also goes on until the second one has an answer.
    """

    async def main() -> None:
        host = _Host(has_budget=has_budget)
        await _run_exchange(gateway_parts.SAFE, [], host)
        sink = host.transfers[0].sink
        sink.on_head(HEAD)
        for _ in range(50):
            sink.on_data(b"x")
            await asyncio.sleep(0.01)
        assert not host.transfers[0].cancelled
        assert len(host.calls_started) == 1 + has_budget
        if has_budget:
            second = host.transfers[1].sink
            second.on_head(HEAD)
            second.on_data(b"body")
            second.on_end("complete", "")
            assert host.transfers[0].cancelled
            assert host.outcomes == ["served"]

    virtual_time.run(main())


@pytest.mark.parametrize(
    "data",
    [
        pytest.param(b"\x00\x01\x02", id="control bytes"),
        pytest.param(b"data: x" * 60_000, id="long line"),
    ],
)
def test_bytes_that_are_no_event_stream_end_the_attempt(data: bytes) -> None:
    """Guards against waiting for an event in bytes that can't be one."""

    async def main() -> None:
        host = _Host()
        await _run_exchange(gateway_parts.STREAM, [], host)
        sink = host.transfers[0].sink
        sink.on_head(HEAD)
        sink.on_data(_events(1, 1))
        sink.on_data(data)
        assert host.transfers[0].cancelled
        await asyncio.sleep(0.001)
        assert host.calls_started[1].resume_after == "1"

    virtual_time.run(main())


def test_event_without_end_is_moved_before_the_caller_leaves() -> None:
    """Guards against an event that arrives one byte at a time, without end."""

    async def main() -> None:
        host = _Host()
        await _run_exchange(gateway_parts.STREAM, [], host)
        sink = host.transfers[0].sink
        sink.on_head(HEAD)
        sink.on_data(_events(1, 1))
        for _ in range(90):
            sink.on_data(b"x")
            await asyncio.sleep(0.01)
        assert host.calls_started[1].resume_after == "1"
        second = host.transfers[1].sink
        second.on_head(HEAD)
        second.on_data(_events(2, 2))
        assert host.transfers[0].cancelled

    virtual_time.run(main())


def test_stalled_stream_is_kept_while_the_retry_budget_is_used_up() -> None:
    """Guards against cancelling a late answer that can't be sent again."""

    async def main() -> None:
        host = _Host(has_budget=False)
        caller = await _run_exchange(gateway_parts.STREAM, [], host)
        await asyncio.sleep(exchange.MIN_ABANDON_S * 0.9)
        assert not host.transfers[0].cancelled
        sink = host.transfers[0].sink
        sink.on_head(HEAD)
        sink.on_data(_events(1, 3))
        sink.on_end("complete", "")
        assert caller.endings == ["complete"]

    virtual_time.run(main())


UNFRAMED = HEAD._replace(framed=False)


@pytest.mark.parametrize(
    ("responses", "probe_result", "ending", "body"),
    [
        pytest.param(
            [Response("complete", UNFRAMED, _events(1, 3))],
            "running",
            "complete",
            _events(1, 3),
            id="whole",
        ),
        pytest.param(
            [
                Response("complete", UNFRAMED, _events(1, 3)),
                Response("complete", HEAD),
            ],
            "unknown",
            "complete",
            _events(1, 3),
            id="whole, engine not reached",
        ),
        pytest.param(
            [
                Response("complete", UNFRAMED, _events(1, 3)),
                Response("complete", HEAD, _events(4, 5)),
            ],
            "unknown",
            "complete",
            _events(1, 5),
            id="cut between events, engine not reached",
        ),
        pytest.param(
            [
                Response("complete", UNFRAMED, _events(1, 3)),
                Response("complete", HEAD, _events(4, 5)),
            ],
            "ended",
            "complete",
            _events(1, 5),
            id="cut between events",
        ),
        pytest.param(
            [
                Response("complete", UNFRAMED, _events(1, 2) + b"id: 3\nd"),
                Response("complete", HEAD, _events(3, 4)),
            ],
            "running",
            "complete",
            _events(1, 4),
            id="cut inside an event",
        ),
        pytest.param(
            [Response("complete", UNFRAMED), WHOLE_STREAM],
            "running",
            "complete",
            _events(1, 3),
            id="cut before the first event",
        ),
        pytest.param(
            [
                Response("broken", HEAD, _events(1, 3)),
                Response("complete", UNFRAMED),
            ],
            "running",
            "complete",
            _events(1, 3),
            id="resumed after the last event",
        ),
    ],
)
def test_stream_without_length_is_whole_only_if_its_engine_runs(
    responses: list[Response],
    probe_result: calls.ProbeResult,
    ending: str,
    body: bytes,
) -> None:
    """Guards against taking a crash between two events for a stream's end."""
    host = _Host()
    host.probe_result = probe_result
    caller = virtual_time.run(
        _run_exchange(gateway_parts.STREAM, responses, host)
    )
    assert (caller.endings, caller.body) == ([ending], body)


@pytest.mark.parametrize(
    ("probe_result", "ending"),
    [("running", "complete"), ("unknown", "closed"), ("ended", "closed")],
)
def test_stream_that_cannot_be_resumed_is_whole_only_if_its_engine_runs(
    probe_result: calls.ProbeResult, ending: str
) -> None:
    """Guards against a part of a stream that looks complete."""
    host = _Host()
    host.probe_result = probe_result
    route = gateway_parts.STREAM._replace(resumable=False)
    responses = [Response("complete", UNFRAMED, _events(1, 3))]
    caller = virtual_time.run(_run_exchange(route, responses, host))
    assert (caller.endings, caller.body) == ([ending], _events(1, 3))


UNFRAMED_PART = Response("complete", UNFRAMED, b"par")


@pytest.mark.parametrize(
    ("route", "responses", "probe_result", "status", "body"),
    [
        (gateway_parts.SAFE, [UNFRAMED_PART], "running", 200, b"par"),
        (gateway_parts.SAFE, [UNFRAMED_PART, WHOLE], "ended", 200, b"body"),
        (gateway_parts.SAFE, [UNFRAMED_PART, WHOLE], "unknown", 200, b"body"),
        (gateway_parts.SAFE, [UNFRAMED_PART] * 2, "ended", 502, b""),
        (gateway_parts.UNSAFE, [UNFRAMED_PART], "running", 200, b"par"),
        (gateway_parts.UNSAFE, [UNFRAMED_PART], "ended", 502, b""),
        (gateway_parts.UNSAFE, [UNFRAMED_PART], "unknown", 502, b""),
    ],
)
def test_plain_answer_without_length_is_whole_only_if_its_upstream_runs(
    route: fleet_config.Route,
    responses: list[Response],
    probe_result: calls.ProbeResult,
    status: int,
    body: bytes,
) -> None:
    """Guards against a part of a body that gets a length of its own."""
    host = _Host()
    host.probe_result = probe_result
    caller = virtual_time.run(_run_exchange(route, responses, host))
    assert (caller.status, caller.body) == (status, body)
    assert host.answered == (probe_result == "running" or body == b"body")


UNFRAMED_ERROR = Response(
    "complete", UNFRAMED._replace(status=500, signed=False), b"par"
)


@pytest.mark.parametrize(
    ("route", "responses", "has_budget", "probe_result", "probes", "status"),
    [
        (gateway_parts.UNSAFE, [UNFRAMED_ERROR], True, "running", 1, 500),
        (gateway_parts.UNSAFE, [UNFRAMED_ERROR], True, "ended", 1, 502),
        (gateway_parts.SAFE, [UNFRAMED_ERROR, WHOLE], True, "ended", 0, 200),
        (gateway_parts.SAFE, [UNFRAMED_ERROR] * 2, True, "ended", 1, 502),
        (gateway_parts.SAFE, [UNFRAMED_ERROR] * 2, True, "running", 1, 500),
        (gateway_parts.SAFE, [UNFRAMED_ERROR], False, "ended", 1, 502),
        (gateway_parts.SAFE, [UNFRAMED_ERROR], False, "running", 1, 500),
    ],
)
def test_upstream_is_asked_only_for_an_error_that_is_passed_on(
    route: fleet_config.Route,
    responses: list[Response],
    has_budget: bool,
    probe_result: calls.ProbeResult,
    probes: int,
    status: int,
) -> None:
    """Guards against a second attempt that waits for a needless answer."""
    host = _Host(has_budget=has_budget)
    host.probe_result = probe_result
    caller = virtual_time.run(_run_exchange(route, responses, host))
    assert (caller.status, host.probes) == (status, probes)


@pytest.mark.parametrize(
    ("response", "suspects", "begun", "answered"),
    [
        (Response("complete", HEAD, _events(1, 2)), [], 1, 1),
        (Response("complete", HEAD, _events(1, 9)), [], 1, 1),
        (Response("broken", HEAD, _events(1, 9)), [PAST_BEGINNING], 1, 0),
        (Response("broken", HEAD, _events(1, 2)), [AT_HEAD], 0, 0),
        (Response("broken", HEAD), [AT_HEAD], 0, 0),
        (Response("broken"), [WAITING], 0, 0),
        (Response("complete", UNFRAMED), [AT_HEAD], 0, 0),
        (Response("complete", UNFRAMED, _events(1, 2)), [], 0, 1),
        (Response("complete", UNFRAMED, b"id: 1"), [AT_HEAD], 0, 0),
        (Response("not_sent"), [], 0, 0),
        (Response("timeout", HEAD), [], 0, 0),
        (REFUSED, [], 0, 0),
    ],
)
def test_progress_of_an_answer_is_reported(
    response: Response,
    suspects: list[crash_evidence.Suspect],
    begun: int,
    answered: int,
) -> None:
    """Guards against sound requests as suspects, and bad ones as sound.

    A suspect is reported with how far its answer had got.
    """
    host = _Host(has_budget=False)
    route = gateway_parts.STREAM._replace(max_attempts=1)
    virtual_time.run(_run_exchange(route, [response], host, shared_parts=PARTS))
    assert host.suspects == suspects
    assert (host.begun, host.answered) == (begun, answered)


@pytest.mark.parametrize(
    ("response", "suspects", "answered"),
    [
        (Response("complete", HEAD, b"whole"), 0, 1),
        (Response("broken"), 1, 0),
        (Response("broken", HEAD, b"part"), 1, 0),
        (Response("timeout"), 0, 0),
        (REFUSED, 0, 0),
    ],
)
def test_plain_call_that_ends_with_its_upstream_is_a_suspect(
    response: Response, suspects: int, answered: int
) -> None:
    """Guards against plain upstreams that one call ends one after the other."""
    host = _Host(has_budget=False)
    route = gateway_parts.UNSAFE._replace(max_attempts=1)
    virtual_time.run(_run_exchange(route, [response], host, size=None))
    assert len(host.suspects) == suspects
    assert all(suspect.begun for suspect in host.suspects)
    assert (host.begun, host.answered) == (answered, answered)


def test_refused_request_in_flight_is_not_reported_as_not_run() -> None:
    """Guards against "not run" for a prompt that was stopped at its engine."""

    async def main() -> _Caller:
        host, caller = _Host(), _Caller()
        now = asyncio.get_running_loop().time()
        accepted = accept.Accepted(
            gateway_parts.STREAM,
            None,
            fleet_config.Service("s", 1, None),
            0,
            now + 1.0,
            1,
        )
        req = gateway_parts.request(arrived_at=now)
        stopped = exchange.Exchange(host, req, accepted, caller)
        stopped.start()
        stopped.refuse(accept.UNAVAILABLE, "stopped", 1.0)
        assert host.transfers[0].cancelled
        return caller

    caller = virtual_time.run(main())
    assert (caller.status, caller.retry_after_s) == (502, None)


BEGUN = Response("broken", HEAD, _events(1, 2))
PAGE = b"<html>\n\nwrong\n\n</html>\n\n"
AS_EVENTS = (("Content-Type", "text/event-stream"),)
AS_PAGE = (("Content-Type", "text/html"),)


@pytest.mark.parametrize(
    ("head", "data"),
    [
        pytest.param(HEAD._replace(status=status), data, id=f"{status}-{name}")
        for status in (201, 204, 206, 301, 304, 400, 401, 403, 404, 409, 413)
        for name, data in (("body", b"no"), ("events", PAGE), ("empty", b""))
        if status not in (204, 304) or not data
    ]
    + [
        pytest.param(HEAD._replace(status=status, signed=signed), PAGE,
                     id=f"{status}-{'signed' if signed else 'unsigned'}")
        for status in (404, 429, 500, 502, 503)
        for signed in (True, False)
    ]
    + [
        pytest.param(HEAD._replace(headers=AS_PAGE), PAGE, id="200 page"),
        pytest.param(HEAD._replace(headers=()), PAGE, id="200 of no type"),
        pytest.param(REFUSED.head, b"", id="refusal"),
        pytest.param(REFUSED.head, PAGE, id="refusal with a page"),
    ],
)  # fmt: skip
@pytest.mark.parametrize("end", ["complete", "broken"])
@pytest.mark.parametrize("third", [False, True])
def test_only_a_stream_continues_a_stream(
    head: calls.ResponseHead, data: bytes, end: calls.EndKind, third: bool
) -> None:
    """Guards against an error of a second upstream in the middle of a stream.

    The caller gets the events so far and a closed connection, or the rest of
    the stream from a third upstream.
    """
    begun = Response("broken", HEAD._replace(headers=AS_EVENTS), _events(1, 2))
    rest = Response("complete", begun.head, _events(3, 4))
    route = gateway_parts.STREAM._replace(max_attempts=2 + third)
    host = _Host()
    responses = [begun, Response(end, head, data)] + [rest] * third
    caller = virtual_time.run(_run_exchange(route, responses, host))
    assert caller.status == 200
    assert caller.body == _events(1, 4 if third else 2)
    assert caller.endings == ["complete" if third else "closed"]
    assert host.account.held_bytes == 0


@pytest.mark.parametrize("event_type", ["text/event-stream; charset=utf-8", ""])
def test_stream_of_the_same_type_continues_a_stream(event_type: str) -> None:
    """Guards against a continuation that is dropped for its parameters."""
    first = HEAD._replace(headers=AS_EVENTS if event_type else ())
    second = HEAD._replace(
        headers=(("content-type", event_type),) if event_type else ()
    )
    responses = [
        Response("broken", first, _events(1, 2)),
        Response("complete", second, _events(3, 4)),
    ]
    caller = virtual_time.run(
        _run_exchange(gateway_parts.STREAM, responses, _Host())
    )
    assert caller.body == _events(1, 4)
    assert caller.endings == ["complete"]


@pytest.mark.parametrize("same", [True, False])
def test_second_attempt_at_an_upstream_has_its_own_connection(
    same: bool,
) -> None:
    """Guards against an answer to an earlier attempt of the same request.

    Both attempts bear the id of the caller's request.
    """
    host = _Host()
    host.places_at_one = same
    virtual_time.run(_run_exchange(gateway_parts.SAFE, [REFUSED, WHOLE], host))
    assert [call.new_connection for call in host.calls_started] == [False, same]


NAMELESS = Response(
    "complete",
    HEAD._replace(status=503, signed=False, not_run=True, request_id=None),
)


@pytest.mark.parametrize(
    ("route", "responses", "status"),
    [
        (gateway_parts.SAFE, [NAMELESS, NAMELESS], 502),
        (gateway_parts.SAFE, [NAMELESS, WHOLE], 200),
        (gateway_parts.SAFE, [NAMELESS, REFUSED], 502),
        (gateway_parts.UNSAFE, [NAMELESS], 503),
    ],
)
def test_answer_without_an_id_proves_something_on_a_new_connection_only(
    route: fleet_config.Route, responses: list[Response], status: int
) -> None:
    """Guards against the answer of another call on a kept connection."""
    caller = virtual_time.run(_run_exchange(route, responses, _Host()))
    assert caller.status == status


@pytest.mark.parametrize(
    ("route", "status"),
    [(gateway_parts.SAFE, 200), (gateway_parts.UNSAFE, 502)],
)
def test_answer_without_length_and_body_is_lost(
    route: fleet_config.Route, status: int
) -> None:
    """Guards against an empty success of an upstream that stopped answering.

    Its connection closed after the head, which announced no length.
    """
    cut = Response("complete", HEAD._replace(framed=False))
    caller = virtual_time.run(
        _run_exchange(route, [cut, WHOLE][: route.max_attempts], _Host())
    )
    assert caller.status == status
    assert caller.body in (b"body", b"")


BUSY = REFUSED
SILENCE_S = exchange.MIN_ABANDON_S * 0.42


@pytest.mark.parametrize(
    ("route", "before", "after"),
    [
        pytest.param(
            gateway_parts.STREAM, _events(1, 3), _events(4, 6), id="mid-stream"
        ),
        pytest.param(
            gateway_parts.STREAM, b"", _events(1, 6), id="before the stream"
        ),
        pytest.param(
            gateway_parts.STREAM,
            _events(1, 3) + b"id: 4",
            b"\ndata: 4\n\n" + _events(5, 6),
            id="inside an event",
        ),
        pytest.param(gateway_parts.SAFE, b"", b"body", id="plain answer"),
        pytest.param(gateway_parts.SAFE, b"bo", b"dy", id="inside a body"),
    ],
)
@pytest.mark.parametrize(
    ("second", "place"),
    [
        pytest.param(None, "at once", id="second silent, too"),
        pytest.param(BUSY, "at once", id="second busy"),
        pytest.param(LOST, "at once", id="second lost"),
        pytest.param(ERROR, "at once", id="second fails"),
        pytest.param(Response("not_sent"), "at once", id="second unreachable"),
        pytest.param(None, "later", id="second waits for a place"),
        pytest.param(None, "none", id="no place for a second"),
    ],
)
def test_silent_upstream_that_goes_on_serves_its_caller(
    route: fleet_config.Route,
    before: bytes,
    after: bytes,
    second: Response | None,
    place: Literal["at once", "later", "none"],
) -> None:
    """Guards against ending a sound answer because of a short silence."""

    async def main() -> tuple[_Host, _Caller]:
        host = _Host()
        host.second_place = place
        caller = await _run_exchange(
            route._replace(timeout_s=min(route.timeout_s, 2.0)), [], host
        )
        sink = host.transfers[0].sink
        if before:
            sink.on_head(HEAD)
            sink.on_data(before)
        await asyncio.sleep(SILENCE_S)
        assert len(host.calls_started) == (2 if place == "at once" else 1)
        if second is not None:
            other = host.transfers[1].sink
            if second.head is not None:
                other.on_head(second.head)
            other.on_end(second.end, "")
        await asyncio.sleep(exchange.ACCEPTED_S)
        # An engine that hasn't begun its answer has nothing to lose by a move.
        is_moved = (
            route.kind == "stream"
            and not before
            and (second, place) == (None, "at once")
        )
        assert host.transfers[0].cancelled == is_moved
        assert caller.endings == []
        if is_moved:
            sink = host.transfers[1].sink
        if not before:
            sink.on_head(HEAD)
        sink.on_data(after)
        sink.on_end("complete", "")
        return host, caller

    host, caller = virtual_time.run(main())
    assert (caller.status, caller.endings) == (200, ["complete"])
    assert caller.body == before + after
    assert host.outcomes == ["served"]
    assert host.withdrawn == (place == "later")
    if place == "at once" and not host.transfers[0].cancelled:
        assert host.transfers[1].cancelled == (second is None)
    assert host.account.held_bytes == 0


@pytest.mark.parametrize("first_end", ["broken", "timeout", "complete"])
def test_second_attempt_goes_on_when_the_silent_one_fails(
    first_end: calls.EndKind,
) -> None:
    """Guards against a failed first attempt that ends the second one."""

    async def main() -> tuple[_Host, _Caller]:
        host = _Host()
        caller = await _run_exchange(gateway_parts.STREAM, [], host)
        sink = host.transfers[0].sink
        sink.on_head(HEAD)
        sink.on_data(_events(1, 3) + b"id")
        await asyncio.sleep(SILENCE_S)
        sink.on_end(first_end, "")
        other = host.transfers[1].sink
        other.on_head(HEAD)
        other.on_data(_events(4, 5))
        other.on_end("complete", "")
        return host, caller

    host, caller = virtual_time.run(main())
    assert (caller.endings, caller.body) == (["complete"], _events(1, 5))
    assert host.results == [retry_policy.AttemptResult.LOST, None]


def test_both_attempts_end_with_their_caller() -> None:
    """Guards against upstreams that work on for a caller that has left."""

    async def main() -> None:
        host = _Host()
        caller = await _run_exchange(gateway_parts.STREAM, [], host)
        await asyncio.sleep(SILENCE_S)
        caller.leave()
        assert [each.cancelled for each in host.transfers] == [True, True]
        assert host.outcomes == ["caller_left"]

    virtual_time.run(main())
