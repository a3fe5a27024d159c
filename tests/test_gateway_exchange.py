"""Guards one request's way: what its caller gets when an upstream fails."""

import asyncio
from collections.abc import Callable
from typing import Any, NamedTuple

import pytest

from apricottrestle.gateway import (
    accept,
    calls,
    exchange,
    exchange_host,
    fleet_config,
    retry_policy,
)
from apricottrestle_standins.platform import virtual_time
from tests import gateway_parts


class _Caller(calls.Responder):
    """Records the answer."""

    def __init__(self) -> None:
        self.closed = False
        self.ends: list[str] = []
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
        self.ends.append("complete")

    def refuse(
        self, status: int, message: str, retry_after_s: float | None = None
    ) -> None:
        assert self.status is None
        self.status = status
        self.retry_after_s = retry_after_s
        self.ends.append("refused")

    def abort(self) -> None:
        self.ends.append("closed")


class _Transfer(calls.Transfer):
    def __init__(self, sink: calls.ResponseSink) -> None:
        self.cancelled = False
        self._sink = sink

    def cancel(self) -> None:
        if not self.cancelled:
            self.cancelled = True
            asyncio.get_running_loop().call_soon(
                self._sink.on_end, "cancelled", ""
            )


class _Host(exchange_host.Host):
    """Sends to upstreams up-1, up-2 and so on."""

    def __init__(self, *, has_budget: bool = True) -> None:
        self.sends: list[calls.UpstreamCall] = []
        self.transfers: list[_Transfer] = []
        self.results: list[retry_policy.AttemptResult | None] = []
        self.outcomes: list[str] = []
        self._has_budget = has_budget

    def send(
        self, one: exchange.Exchange, call: calls.UpstreamCall
    ) -> calls.Transfer:
        self.sends.append(call)
        self.transfers.append(_Transfer(one))
        return self.transfers[-1]

    def place(self, one: exchange.Exchange) -> None:
        number = len(self.sends) + 1
        one.send(
            exchange_host.Sent(
                f"up-{number}", f"127.0.0.1:{number}", "r", 0.0, 0.1
            ),
            priority=0,
            helpers=(),
        )

    def wrote(self, one: exchange.Exchange, sent: exchange_host.Sent) -> None:
        pass

    def saw_event(
        self,
        one: exchange.Exchange,
        sent: exchange_host.Sent,
        pause_s: float | None,
    ) -> None:
        pass

    def sent_ended(
        self,
        one: exchange.Exchange,
        sent: exchange_host.Sent,
        result: retry_policy.AttemptResult | None,
        fault_address: str | None,
    ) -> None:
        self.results.append(result)

    def take_retry(self, one: exchange.Exchange) -> bool:
        return self._has_budget

    def retry_after_s(self, one: exchange.Exchange) -> float:
        return 0.2

    def ended(
        self, one: exchange.Exchange, outcome: exchange_host.Outcome
    ) -> None:
        self.outcomes.append(outcome)


HEAD = calls.ResponseHead(200, (), "request-1", True, False, False, None)


def _events(first: int, last: int) -> bytes:
    return b"".join(
        f"id: {n}\ndata: {n}\n\n".encode() for n in range(first, last + 1)
    )


class Answer(NamedTuple):
    """What an upstream answers."""

    end: calls.EndKind
    head: calls.ResponseHead | None = None
    data: bytes = b""


LOST = Answer("broken")
OTHER = HEAD._replace(request_id="other")
SHED = Answer("complete", HEAD._replace(status=503, signed=False, not_run=True))
ERROR = Answer("complete", HEAD._replace(status=500), b"error")
WHOLE = Answer("complete", HEAD, b"body")
STREAM_OK = Answer("complete", HEAD, _events(1, 3))


async def _play(
    route: fleet_config.Route,
    answers: list[Answer],
    host: _Host,
    **request: Any,
) -> _Caller:
    """Gives the answers one after the other and returns the caller's side."""
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
    one = exchange.Exchange(host, req, accepted, caller)
    one.begin()
    for number, answer in enumerate(answers):
        assert len(host.sends) == number + 1
        if answer.head is not None:
            one.on_head(answer.head)
        if answer.data:
            one.on_data(answer.data)
        if not host.transfers[number].cancelled:
            one.on_end(answer.end, "")
        await asyncio.sleep(0.01)
    return caller


@pytest.mark.parametrize(
    ("route", "answers", "status", "ends", "body"),
    [
        (gateway_parts.SAFE, [WHOLE], 200, "complete", b"body"),
        (gateway_parts.SAFE, [LOST, WHOLE], 200, "complete", b"body"),
        (gateway_parts.SAFE, [ERROR, WHOLE], 200, "complete", b"body"),
        (gateway_parts.SAFE, [ERROR, ERROR], 500, "complete", b"error"),
        (gateway_parts.SAFE, [LOST, LOST], 502, "refused", b""),
        (gateway_parts.SAFE, [SHED, SHED], 503, "refused", b""),
        (gateway_parts.UNSAFE, [WHOLE], 200, "complete", b"body"),
        (gateway_parts.UNSAFE, [LOST], 502, "refused", b""),
        (gateway_parts.UNSAFE, [SHED], 503, "refused", b""),
        (gateway_parts.UNSAFE, [ERROR], 500, "complete", b"error"),
        (
            gateway_parts.UNSAFE,
            [Answer("not_sent"), WHOLE],
            200,
            "complete",
            b"body",
        ),
        (
            gateway_parts.STREAM,
            [Answer("broken", HEAD, _events(1, 2) + b"id: 3\nda"), Answer(
                "complete", HEAD, _events(3, 4))],
            200,
            "complete",
            _events(1, 4),
        ),
        # Events that came before are dropped, a gap ends the answer.
        (
            gateway_parts.STREAM,
            [Answer("broken", HEAD, _events(1, 2)), Answer(
                "complete", HEAD, _events(1, 4))],
            200,
            "complete",
            _events(1, 4),
        ),
        (
            gateway_parts.STREAM,
            [Answer("broken", HEAD, _events(1, 2)), Answer(
                "complete", HEAD, _events(4, 5))],
            200,
            "closed",
            _events(1, 2),
        ),
        (
            gateway_parts.STREAM,
            [Answer("broken", HEAD, _events(1, 2)), LOST],
            200,
            "closed",
            _events(1, 2),
        ),
        # A stream that ends within an event isn't complete.
        (
            gateway_parts.STREAM,
            [Answer("complete", HEAD, _events(1, 2) + b"id: 3"), Answer(
                "complete", HEAD, _events(3, 3))],
            200,
            "complete",
            _events(1, 3),
        ),
        # Answers that aren't the upstream's are never passed on.
        (
            gateway_parts.SAFE,
            [Answer("complete", OTHER, b"x"), WHOLE],
            200,
            "complete",
            b"body",
        ),
        (
            gateway_parts.SAFE,
            [Answer("complete", HEAD._replace(signed=False), b"x"), WHOLE],
            200,
            "complete",
            b"body",
        ),
        (
            gateway_parts.SAFE,
            [Answer("complete", HEAD._replace(encoded=True), b"x"), WHOLE],
            200,
            "complete",
            b"body",
        ),
        (
            gateway_parts.UNSAFE,
            [Answer("complete", HEAD._replace(request_id=None), b"x")],
            502,
            "refused",
            b"",
        ),
    ],
)  # fmt: skip
def test_what_the_caller_gets(
    route: fleet_config.Route,
    answers: list[Answer],
    status: int,
    ends: str,
    body: bytes,
) -> None:
    """Guards answers against parts missing, doubled, foreign or untrue."""
    host = _Host()
    caller = virtual_time.run(_play(route, answers, host))
    assert (caller.status, caller.ends, caller.body) == (status, [ends], body)
    assert len(host.sends) == len(answers)
    assert len(host.outcomes) == 1
    if status == 503:
        assert caller.retry_after_s is not None


def test_no_repeat_without_budget() -> None:
    """Guards the fleet's retry budget."""
    host = _Host(has_budget=False)
    caller = virtual_time.run(_play(gateway_parts.SAFE, [ERROR], host))
    assert (caller.status, caller.body) == (500, b"error")


def test_resume_names_the_last_event() -> None:
    """Guards against a resumed stream that starts anew."""
    host = _Host()
    answers = [Answer("broken", HEAD, _events(5, 7)), LOST]
    virtual_time.run(
        _play(gateway_parts.STREAM, answers, host, resume_after="4")
    )
    assert [call.resume_after for call in host.sends] == ["4", "7"]


def test_unsafe_calls_are_single_sends() -> None:
    """Guards against a transport that repeats by itself."""
    for route, single in (
        (gateway_parts.UNSAFE, True),
        (gateway_parts.STREAM._replace(resumable=False), True),
        (gateway_parts.SAFE, False),
        (gateway_parts.STREAM, False),
    ):
        host = _Host()
        virtual_time.run(_play(route, [], host))
        assert host.sends[0].at_most_once == single


def test_callers_leaving_ends_the_call() -> None:
    """Guards against work for a caller that has left."""

    async def main() -> None:
        host = _Host()
        caller = await _play(gateway_parts.STREAM, [], host)
        caller.leave()
        assert host.transfers[0].cancelled
        assert host.outcomes == ["caller_left"]
        assert caller.ends == []

    virtual_time.run(main())


@pytest.mark.parametrize(
    ("route", "data", "status", "ends"),
    [
        (gateway_parts.UNSAFE, b"", 504, "refused"),
        (gateway_parts.STREAM, _events(1, 1), 200, "closed"),
    ],
)
def test_time_limit_ends_the_answer(
    route: fleet_config.Route, data: bytes, status: int, ends: str
) -> None:
    """Guards against a caller kept waiting, and against a false promise."""

    async def main() -> _Caller:
        host = _Host()
        route_once = route._replace(max_attempts=1)
        caller = await _play(route_once, [], host)
        if data:
            one = host.transfers[0]._sink
            one.on_head(HEAD)
            one.on_data(data)
        await asyncio.sleep(route.timeout_s + 0.01)
        assert host.transfers[0].cancelled
        return caller

    caller = virtual_time.run(main())
    assert (caller.status, caller.ends) == (status, [ends])


def test_silent_stream_moves_before_its_caller_leaves() -> None:
    """Guards against waiting for a dead engine until the caller gives up."""

    async def main() -> None:
        host = _Host()
        await _play(gateway_parts.STREAM, [], host)
        await asyncio.sleep(exchange.ABANDON_LEAST_S / 2)
        assert len(host.sends) == 2
        assert host.results == [retry_policy.AttemptResult.LOST]

    virtual_time.run(main())


def test_silence_does_not_end_what_may_run_once() -> None:
    """Guards against an answer cut because its upstream is slow."""

    async def main() -> None:
        host = _Host()
        caller = await _play(gateway_parts.UNSAFE, [], host)
        await asyncio.sleep(gateway_parts.UNSAFE.timeout_s * 0.9)
        assert caller.ends == []
        assert not host.transfers[0].cancelled

    virtual_time.run(main())
