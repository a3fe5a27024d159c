"""Tests of the queue of model requests, without a network."""

import asyncio
import math
from typing import Any, cast

import pytest

from apricottrestle.gateway import (
    accept,
    calls,
    clock,
    cold_upstreams,
    engine_claims,
    engine_load,
    engine_pace,
    engine_probation,
    engine_queue,
    engine_routing,
    evacuations,
    exchange,
    run_listener,
    send_gate,
    settings,
    shortage,
    upstream_choice,
    upstream_health,
    upstream_limits,
    upstream_list,
    upstream_notices,
)
from apricottrestle.platform import caller_server
from apricottrestle_standins.platform import virtual_time
from tests import gateway_parts

CFG = settings.GatewaySettings(
    "instance-1", "dc-1", "", "", "", "", "", (), 8.0, 0.1, 10.0, 5.0, 4.0, 20.0
)  # fmt: skip


class _Host(engine_queue.QueueHost):
    """A gateway that only counts."""

    def __init__(self) -> None:
        self.listener = run_listener.RunListener()
        self.serve_until = math.inf
        self._ids = 0

    def place_request(self, request: exchange.Exchange) -> None:
        raise AssertionError("no run is cancelled")

    def is_bad_prompt(self, req: calls.CallerRequest) -> bool:
        return False

    def end_bad_prompt(self, request: exchange.Exchange) -> None:
        raise AssertionError("no prompt is bad")

    def stopping_retry_after_s(self, time_left_s: float | None) -> float:
        return 0.0

    def count_sends(self, upstream_ids: list[str], now: float) -> None:
        return

    def count_reservation(self, upstream_id: str) -> None:
        pass

    def reservation_lost(self, upstream_id: str) -> None:
        pass

    def new_run_id(self) -> str:
        self._ids += 1
        return f"run-{self._ids}"


class _Request:
    """A waiting request; records what becomes of it."""

    def __init__(self, number: int, **needs: float) -> None:
        self.req = gateway_parts.request(request_id=f"request-{number}")
        self.accepted = accept.Accepted(
            gateway_parts.STREAM,
            None,
            gateway_parts.config().services["engines"],
            0,
            self.req.arrived_at + gateway_parts.STREAM.timeout_s,
            1,
        )
        self.waiting_since = self.req.arrived_at
        self.tried_upstreams: frozenset[str] = frozenset()
        self.stalled_upstream = None
        self.done = False
        self.response_started = False
        self.needs_upstream = True
        self.sent_to: str | None = None
        self.refused: tuple[str, float | None] | None = None
        self.needs = engine_routing.RequestNeeds(
            5_000, 1_600, 0.25, 2.0, 10.0, 0.25
        )._replace(**cast(Any, needs))

    def engine_needs(self, now: float) -> engine_routing.RequestNeeds:
        return self.needs

    def send_to(self, attempt: Any, **_: Any) -> None:
        self.sent_to = attempt.upstream_id

    def refuse(
        self, status: int, reason: str, retry_after_s: float | None
    ) -> None:
        self.refused = (reason, retry_after_s)


def _make_queue(engines: int) -> engine_queue.EngineQueue:
    members = upstream_list.Membership(CFG.upstream_lease_s)
    members.replace(
        [gateway_parts.entry(f"engine-{n}") for n in range(engines)],
        clock.now(),
    )
    gate = send_gate.SendGate(
        upstream_limits.UpstreamLimits("i-1"),
        upstream_notices.UpstreamNotices(),
        cold_upstreams.ColdUpstreams("i-1", 1.0, 0.0),
        members,
        evacuations.EvacuationTable(),
        lambda _upstream_id: 0,
    )
    return engine_queue.EngineQueue(
        _Host(),
        engine_queue.Tables(
            members,
            engine_load.EngineLoad(),
            engine_pace.EngineSlowdowns(),
            engine_claims.EngineClaims(),
            engine_probation.EngineProbation(),
            gate,
            upstream_choice.UpstreamChoice(
                CFG, gate, upstream_health.UpstreamHealth()
            ),
        ),
        cast(Any, None),
        CFG,
    )


def _add(
    queue: engine_queue.EngineQueue, requests: list[_Request]
) -> list[_Request]:
    for request in requests:
        queue.add(cast(Any, request))
    return requests


def test_shortage_is_not_asked_while_there_is_room(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a change of the order where everything has a place."""

    def decide(*_args: object) -> list[shortage.Verdict]:
        raise AssertionError("there is room")

    monkeypatch.setattr(shortage, "decide", decide)

    async def main() -> list[_Request]:
        queue = _make_queue(engines=4)
        return _add(
            queue,
            [_Request(n) for n in range(4)]
            + [_Request(n, target_left_s=-0.5) for n in range(4, 8)],
        )

    assert all(request.sent_to for request in virtual_time.run(main()))


def test_requests_without_a_chance_are_refused_after_the_hold() -> None:
    """Guards against requests that wait until their callers give up.

    They are refused once, with a Retry-After within the caller's time, and only
    after the verdict has held.
    """

    async def main() -> tuple[list[_Request], list[_Request]]:
        queue = _make_queue(engines=1)
        requests = _add(queue, [_Request(n) for n in range(80)])
        assert any(request.sent_to for request in requests)
        queue.run_scheduling_pass()
        early = [request for request in requests if request.refused]
        for _ in range(12):
            await asyncio.sleep(engine_queue.SCHEDULING_INTERVAL_S)
            queue.run_scheduling_pass()
        return early, requests

    early, requests = virtual_time.run(main())
    refused = [request for request in requests if request.refused]
    waiting = [
        request
        for request in requests
        if not request.refused and not request.sent_to
    ]
    assert early == []
    assert refused
    assert waiting
    assert not any(request.sent_to for request in refused)
    for request in refused:
        assert request.refused is not None
        reason, retry_after_s = request.refused
        assert reason == engine_queue.OVERLOADED
        assert retry_after_s is not None
        assert 0 < retry_after_s <= 0.3 * request.needs.time_left_s


def test_late_requests_wait_while_their_route_is_short() -> None:
    """Guards against late requests that take slots from those on time."""

    async def main() -> tuple[_Request, _Request]:
        queue = _make_queue(engines=1)
        # A first event within the delay of an engine's pass has no place.
        short = _Request(1, target_left_s=0.06)
        late = _Request(2, target_left_s=-0.1)
        _add(queue, [short, late])
        return short, late

    short, late = virtual_time.run(main())
    assert short.sent_to is None
    assert late.sent_to is None


def test_failed_placement_ends_no_other_request(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    """Guards against one request that keeps all others from their engines.

    The exception would also end the handling of whichever request is new, whose
    caller then gets no answer.
    """
    choose = engine_routing.choose

    def fail(needs: engine_routing.RequestNeeds, *args: Any) -> Any:
        if needs.prompt_tokens == 13:
            raise OverflowError("a fault of ours")
        return choose(needs, *args)

    monkeypatch.setattr(engine_routing, "choose", fail)

    async def main() -> tuple[_Request, list[_Request]]:
        queue = _make_queue(engines=4)
        odd = _Request(0, prompt_tokens=13)
        others = [_Request(n) for n in range(1, 5)]
        _add(queue, [odd, *others])
        queue.run_scheduling_pass()
        assert cast(Any, odd) not in queue
        return odd, others

    odd, others = virtual_time.run(main())
    assert odd.refused == (engine_queue.NOT_PLACED, None)
    assert all(request.sent_to for request in others)
    assert caplog.text.count("request can't be placed") == 1


@pytest.mark.parametrize("tokens", [1, caller_server.MAX_COUNT])
@pytest.mark.parametrize("output_tokens", [1, caller_server.MAX_COUNT])
def test_largest_numbers_of_tokens_are_placed_or_refused(
    tokens: int, output_tokens: int, caplog: pytest.LogCaptureFixture
) -> None:
    """Guards against sizes that a caller names and no decision can work with.

    A prompt that fits no engine is refused at once, as if all were full.
    """

    async def main() -> tuple[_Request, _Request]:
        queue = _make_queue(engines=4)
        odd = _Request(0, prompt_tokens=tokens, output_tokens=output_tokens)
        other = _Request(1)
        _add(queue, [odd, other])
        queue.run_scheduling_pass()
        return odd, other

    odd, other = virtual_time.run(main())
    assert other.sent_to
    assert (odd.sent_to is None) == (odd.refused is not None)
    if tokens > 1:
        assert odd.refused == ("too_late", accept.OVERLOAD_RETRY_AFTER_S)
    assert caplog.text == ""
