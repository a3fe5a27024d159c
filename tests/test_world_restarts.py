"""Tests the seconds after gateways have started again, in a simulation.

The pattern: all gateways fail together, or one alone, and start again while the
engines are still busy with what the failed processes had sent.
"""

import asyncio
import logging
import random
from typing import Any, NamedTuple
from unittest import mock

import pytest

from apricottrestle import errors
from apricottrestle.gateway import (
    calls,
    engine_load,
    engine_probation,
    gateway,
    peers,
)
from apricottrestle_standins.platform import (
    ledger,
    virtual_time,
    virtual_upstreams,
    workload,
    world,
)
from tests import gateway_parts

SITE = workload.SITES["zimska-trgatev"]
FAULT_AT_S = 4.0
OUTAGE_S = 1.5
LOAD = 3.0
"""Factor on the usual number of short requests."""

ORPHANS = 6
"""Long prompts that the failing gateways had sent."""

MIN_WORTH = 0.55
"""Least worth in the seconds after a fault, by the target of the milestone."""


class _Responder(world.CallerConnection):
    """Records the response to a request."""

    def __init__(self) -> None:
        kind = SITE.kinds[4]
        super().__init__(
            ledger.Attempt(
                "request-1",
                workload.Arrival(0.0, kind, 0, 0, 0, 0, 0.0, 0.0),
                0.0,
            )
        )
        self.reason = ""

    def refuse(
        self, status: int, message: str, retry_after_s: float | None = None
    ) -> None:
        self.reason = message
        super().refuse(status, message, retry_after_s)


def _request(**changes: Any) -> Any:
    now = asyncio.get_running_loop().time()
    return gateway_parts.request(
        "/lookup/x", api_key="key-0", size=None, arrived_at=now, **changes
    )


def test_request_at_the_start_is_held_until_it_can_be_routed() -> None:
    """Guards against refusals between the start and the first store calls."""

    async def main() -> tuple[bool, str]:
        fleet = world.World(SITE, 1)
        await asyncio.sleep(world.WARM_UP_S)
        fleet.kill_gateway("gateway-0")
        row = fleet.start_gateway(0)
        responder = _Responder()
        fleet._arrivals["request-1"] = responder.attempt.arrival
        row.node.core.handle(_request(), responder)
        await asyncio.sleep(gateway.START_HOLD_S)
        for address in list(fleet.gateways):
            fleet.kill_gateway(address)
        return responder.attempt.status is not None, responder.reason

    answered, reason = virtual_time.run(main())
    assert (answered, reason) == (True, "")


@pytest.mark.parametrize(
    ("missing", "reason"),
    [
        ("read_config", "no_configuration"),
        ("read_upstreams", "no_upstream_list"),
    ],
)
def test_refusal_names_what_is_missing(
    monkeypatch: pytest.MonkeyPatch, missing: str, reason: str
) -> None:
    """Guards against a refusal that leads engineers to the wrong store call.

    Requests are held for a short time only, then refused at once.
    """

    async def fail(*_args: object) -> None:
        raise errors.PlatformError("no response", step="read", peer="store")

    async def main() -> list[str]:
        fleet = world.World(SITE._replace(gateways=1), 1)
        row = fleet.gateways["gateway-0"]
        monkeypatch.setattr(row.store, missing, fail)
        held, late = _Responder(), _Responder()
        row.node.core.handle(_request(), held)
        await asyncio.sleep(gateway.START_HOLD_S - 0.01)
        assert not held.reason
        await asyncio.sleep(0.02)
        row.node.core.handle(_request(), late)
        fleet.kill_gateway("gateway-0")
        return [held.reason, late.reason]

    assert virtual_time.run(main()) == [reason, reason]


def test_held_requests_are_bounded() -> None:
    """Guards against a start that keeps the bodies of a whole flood."""

    async def main() -> list[str]:
        fleet = world.World(SITE._replace(gateways=1), 1)
        row = fleet.gateways["gateway-0"]
        row.store.fault = "silent"
        responders = [
            _Responder() for _ in range(gateway.MAX_HELD_REQUESTS + 1)
        ]
        for responder in responders:
            row.node.core.handle(_request(), responder)
        reasons = [responder.reason for responder in responders]
        fleet.kill_gateway("gateway-0")
        return reasons

    reasons = virtual_time.run(main())
    assert reasons[-1] == "no_configuration"
    assert set(reasons[:-1]) == {""}


@pytest.mark.parametrize("failing", ["gateway-0", "gateway-2"])
def test_start_gets_state_from_a_peer_that_started_with_it(
    failing: str,
) -> None:
    """Guards against a gateway that waits for the store while peers are ready.

    All gateways start together, and the store refuses the calls of one.
    """

    async def main() -> float:
        fleet = world.World(SITE, 1)
        await asyncio.sleep(world.WARM_UP_S)
        for address in list(fleet.gateways):
            fleet.kill_gateway(address)
        for number in range(SITE.gateways):
            fleet.start_gateway(number)
        fleet.gateways[failing].store.fault = "refuse"
        started_at = asyncio.get_running_loop().time()
        while not fleet.gateways[failing].node.ready:
            await asyncio.sleep(0.01)
        took_s = asyncio.get_running_loop().time() - started_at
        for address in list(fleet.gateways):
            fleet.kill_gateway(address)
        return took_s

    assert virtual_time.run(main()) <= gateway.START_HOLD_S


def test_first_upstream_list_is_one_log_line(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against a start that writes a line for each upstream."""

    async def main() -> None:
        fleet = world.World(SITE._replace(gateways=1), 1)
        await asyncio.sleep(1.0)
        engine = fleet.engines[0]
        fleet.log.append_upstream_change(
            engine.upstream_id, fleet.list_entry(engine, draining=True)
        )
        await asyncio.sleep(1.0)
        fleet.kill_gateway("gateway-0")

    with caplog.at_level(logging.INFO):
        virtual_time.run(main())
    messages = [record.message for record in caplog.records]
    assert messages.count("upstream list") == 1
    assert messages.count("upstream") == 1


class _AfterRestart(NamedTuple):
    """What was observed in the second after gateways had started again.

    Attributes:
        worth: Worth of the short requests of that second.
        sent_to_busy: Sends of those requests to engines that were still busy
            with the runs of the failed processes.
        busy: Number of those engines.
    """

    worth: float
    sent_to_busy: int
    busy: int


def _simulate_power_loss(
    failing: list[int], seed: int, load: float = LOAD
) -> _AfterRestart:
    """Simulates gateways that lose power while engines read long prompts."""

    async def main() -> _AfterRestart:
        fleet = world.World(SITE, seed)
        fault_at = world.WARM_UP_S + FAULT_AT_S
        back_at = fault_at + OUTAGE_S
        busy: set[str] = set()
        sends: list[tuple[str, str]] = []
        send = virtual_upstreams.VirtualUpstreams.send

        def record_send(
            client: virtual_upstreams.VirtualUpstreams,
            call: calls.UpstreamCall,
            sink: calls.ResponseSink,
        ) -> calls.Transfer:
            sends.append((call.req.request_id, call.upstream_id))
            return send(client, call, sink)

        async def fail() -> None:
            await asyncio.sleep(FAULT_AT_S)
            for number in failing:
                fleet.power_off_gateway(f"gateway-{number}")
            await asyncio.sleep(OUTAGE_S)
            for number in failing:
                fleet.start_gateway(number)
            for engine in fleet.engines:
                for name, (_, incoming) in engine.jobs.items():
                    if incoming.transfer.unreachable:
                        helpers = engine.helpers_of[name]
                        busy.add(engine.upstream_id)
                        busy.update(each.upstream_id for each in helpers)

        short, _, long, *_ = SITE.kinds
        arrivals = workload.generate_arrivals(
            SITE._replace(kinds=(short,)), 8.0, random.Random(seed), load=load
        )
        arrivals += [
            workload.Arrival(
                FAULT_AT_S - 0.3, long, 0, 0, 300_000, 12, 0.0, 0.0
            )
            for _ in range(ORPHANS)
        ]
        with mock.patch.object(
            virtual_upstreams.VirtualUpstreams, "send", record_send
        ):
            records = await fleet.run_workload(
                sorted(arrivals, key=lambda each: each.at_s), fail()
            )
        after = ledger.Ledger()
        after.requests = [
            attempts
            for attempts in records.requests
            if back_at <= attempts[0].sent_s < back_at + 1.0
            and attempts[0].arrival.kind is short
        ]
        ids = {
            attempt.request_id
            for attempts in after.requests
            for attempt in attempts
        }
        assert ledger.find_violations(records) == []
        return _AfterRestart(
            ledger.scores(after)["all"].worth,
            sum(
                request_id in ids and upstream_id in busy
                for request_id, upstream_id in sends
            ),
            len(busy),
        )

    return virtual_time.run(main())


@pytest.mark.parametrize("seed", [4, 9, 10, 11, 17])
def test_engines_that_are_still_busy_get_few_requests(seed: int) -> None:
    """Guards against gateways that take busy engines to be idle.

    After a loss of power, engines go on with long prompts that no gateway knows
    any more. A gateway that had just started sent several requests to each of
    them, and moved them only after 0.8 s.
    """
    observed = _simulate_power_loss(list(range(SITE.gateways)), seed)
    assert observed.busy >= 1
    assert observed.sent_to_busy <= observed.busy
    assert observed.worth >= MIN_WORTH


def test_engines_of_a_silent_peer_are_on_probation_until_an_event() -> None:
    """Guards against engines taken to be idle because their gateway is gone."""

    async def main() -> list[tuple[bool, bool]]:
        fleet = world.World(SITE, 4)
        await asyncio.sleep(engine_probation.PROBATION_S + 1.0)
        now = asyncio.get_running_loop().time
        first, second, *_ = [row.node for row in fleet.gateways.values()]
        run = engine_load.Run(
            "run-1", "engine-1", ("engine-2",), 9, 9, 5.0, 0, 0.0, 6.0, False
        )
        first.core.load.add_run(run, now())
        first.peers.run_started(run)
        await asyncio.sleep(0.1)
        states = []

        def note_state() -> None:
            states.append(
                (
                    second.core.probation.contains("engine-1", now()),
                    second.core.probation.contains("engine-2", now()),
                )
            )

        note_state()
        fleet.power_off_gateway("gateway-0")
        await asyncio.sleep(peers.PEER_TIMEOUT_S + 0.2)
        note_state()
        second.core.probation.clear("engine-1")
        note_state()
        await asyncio.sleep(engine_probation.PROBATION_S)
        note_state()
        for address in list(fleet.gateways):
            fleet.kill_gateway(address)
        return states

    assert virtual_time.run(main()) == [
        (False, False),
        (True, True),
        (False, True),
        (False, False),
    ]


def test_engine_that_answers_a_peer_is_not_on_probation() -> None:
    """Guards against a restarted gateway that can't use busy engines.

    The peers' runs already fill the one slot of an engine on probation.
    """

    async def main() -> list[bool]:
        fleet = world.World(SITE, 4)
        await asyncio.sleep(world.WARM_UP_S)
        first = fleet.gateways["gateway-0"].node
        run = engine_load.Run(
            "run-1", "engine-1", (), 9, 9, 0.1, 0, 0.25, 0.2, False
        )
        first.core.load.add_run(run, asyncio.get_running_loop().time())
        first.peers.run_started(run)
        first.peers.run_first_event("run-1")
        fleet.kill_gateway("gateway-1")
        second = fleet.start_gateway(1).node
        await asyncio.sleep(0.3)
        now = asyncio.get_running_loop().time()
        states = [
            second.core.probation.contains(engine, now)
            for engine in ("engine-1", "engine-2")
        ]
        for address in list(fleet.gateways):
            fleet.kill_gateway(address)
        return states

    assert virtual_time.run(main()) == [False, True]
