"""Injects faults into a virtual fleet when a request reaches a given step.

A scenario has one tracked request among others. The fault begins in the event
loop iteration after the tracked request has reached the step, so that the
gateway still holds the state of that step.
"""

import asyncio
import contextlib
import functools
import random
from collections.abc import Callable, Iterator
from typing import Any, Final, NamedTuple
from unittest import mock

from apricottrestle import errors
from apricottrestle.gateway import calls, exchange, gateway
from apricottrestle_standins.platform import (
    ledger,
    virtual_time,
    virtual_upstreams,
    workload,
    world,
)

_BASE: Final = workload.SITES["zimska-trgatev"]
SITE: Final = _BASE._replace(
    engines=8,
    gateways=3,
    # The platform also allows an unsafe request a second upstream, once it is
    # known that the first one has not run it.
    kinds=tuple(kind._replace(max_attempts=2) for kind in _BASE.kinds),
)
TRAFFIC_DURATION_S: Final = 2.0
LOAD_FACTOR: Final = 0.5
TRACKED_AT_S: Final = 0.6
DRAIN_TIME_S: Final = 17.0
"""Longer than any caller waits and than any memory reservation may last."""

FAULT_DURATION_S: Final = 2.0
RESTART_DELAY_S: Final = 0.4
LATE_FRAME_DELAY_S: Final = 0.5
LATE_RESERVE_DELAY_S: Final = 3.0
RESERVE_TIMEOUT_S: Final = 0.4
SWAP_DELAYS_S: Final = (0.001, 0.02)
MID_STREAM_EVENT: Final = 4

LONG: Final = workload.Arrival(
    TRACKED_AT_S, SITE.kinds[2], 0, 0, 400_000, 12, 0.0, 0.0
)
"""Exceeds the KV cache of one engine, so it is split over several engines, with
memory reserved on the helpers."""

ORDER: Final = workload.Arrival(
    TRACKED_AT_S, SITE.kinds[3], 0, 0, 0, 0, 0.05, 0.0
)

_FaultCallback = Callable[[], None]


class ScenarioResult(NamedTuple):
    """The outcome of a scenario.

    Attributes:
        observations: What callers and upstreams observed.
        tracked: The caller's attempts of the tracked request.
        unreleased: Resources that engines and gateways still hold after all
            callers have left.
        fault_injected: Whether the tracked request reached the step.
    """

    observations: ledger.Ledger
    tracked: list[ledger.Attempt]
    unreleased: list[str]
    fault_injected: bool


class FaultInjector:
    """Injects faults at a step of the tracked request.

    Attributes:
        fleet: The fleet.
        faults: Names of the faults.
        fault_injected: Whether the faults have begun.
    """

    def __init__(
        self,
        fleet: world.World,
        tracked: workload.Arrival,
        faults: tuple[str, ...],
    ) -> None:
        """Creates an injector that has not yet injected its faults."""
        self.fleet = fleet
        self.faults = faults
        self.fault_injected = False
        self._tracked = tracked
        self._tasks: list[asyncio.Task[None]] = []

    def is_tracked(self, request_id: str) -> bool:
        """Returns whether an attempt belongs to the tracked request."""
        for row in self.fleet.gateways.values():
            return row.upstreams.arrivals.get(request_id) is self._tracked
        return False

    def on_caller_send(self, arrival: workload.Arrival) -> None:
        """Injects the faults while the tracked request is in transit."""
        if arrival is self._tracked:
            self.schedule(world.CALLER_DELAY_S / 2)

    def schedule(self, delay_s: float = 0.0) -> None:
        """Schedules the faults, unless that has already been done.

        Args:
            delay_s: Delay; 0 for the next iteration of the event loop.
        """
        if not self.fault_injected:
            self.fault_injected = True
            loop = asyncio.get_running_loop()
            loop.call_later(delay_s, self._inject)

    def _inject(self) -> None:
        for fault in self.faults:
            fault_action = getattr(self, "_" + fault.replace(" ", "_"))
            self._tasks.append(asyncio.ensure_future(fault_action()))

    def _serving_gateway(self) -> str:
        """Returns the gateway that serves the tracked request, or any other."""
        for address, row in self.fleet.gateways.items():
            for request in row.node.core.active:
                if self.is_tracked(request.req.request_id):
                    return address
        return min(self.fleet.gateways)

    def _serving_upstreams(self) -> list[virtual_upstreams.Upstream]:
        """Returns the upstream of the tracked request's last attempt.

        If there is no attempt, returns an engine and a plain upstream.
        """
        for row in self.fleet.gateways.values():
            for request in row.node.core.active:
                if (
                    self.is_tracked(request.req.request_id)
                    and request.tried_upstreams
                ):
                    address = request.tried_upstreams[-1]
                    return [self.fleet.by_address[address]]
        return [self.fleet.engines[0], self.fleet.plain[0]]

    async def _kill(self) -> None:
        address = self._serving_gateway()
        number = self.fleet.gateways[address].data_centre
        self.fleet.kill_gateway(address)
        await asyncio.sleep(RESTART_DELAY_S)
        self.fleet.start_gateway(number)

    async def _kill_for_good(self) -> None:
        self.fleet.kill_gateway(self._serving_gateway())

    async def _silent_connection(self) -> None:
        await self._crash(dark=True)

    async def _answer_lost_after_effect(self) -> None:
        await self._crash(dark=False)

    async def _crash(self, *, dark: bool) -> None:
        upstreams = [
            each for each in self._serving_upstreams() if each.state == "up"
        ]
        for upstream in upstreams:
            upstream.crash(dark=dark)
        await asyncio.sleep(FAULT_DURATION_S)
        for upstream in upstreams:
            upstream.restart()
            self.fleet.log.append_upstream_change(
                upstream.upstream_id, self.fleet.list_entry(upstream)
            )

    async def _message_late(self) -> None:
        await self._override_frame_delays(lambda: (LATE_FRAME_DELAY_S,))

    async def _message_duplicated(self) -> None:
        await self._override_frame_delays(
            lambda: (world.REMOTE_DELAY_S, 3 * world.REMOTE_DELAY_S)
        )

    async def _messages_swapped(self) -> None:
        rng = random.Random(1)
        await self._override_frame_delays(lambda: (rng.choice(SWAP_DELAYS_S),))

    async def _load_reports_late(self) -> None:
        """Drops all frames between gateways: load reports and heartbeats."""
        await self._override_frame_delays(lambda: ())

    async def _override_frame_delays(
        self, delays_s: Callable[[], tuple[float, ...]]
    ) -> None:
        self.fleet.frame_delays_s = delays_s
        await asyncio.sleep(FAULT_DURATION_S)
        self.fleet.frame_delays_s = world.default_frame_delays_s

    async def _log_down_or_slow(self) -> None:
        rows = list(self.fleet.gateways.values())
        for row in rows:
            row.store.fault = "silent"
        await asyncio.sleep(FAULT_DURATION_S)
        for row in rows:
            row.store.fault = ""

    async def _log_records_past_retention(self) -> None:
        """Truncates the upstream list's history, including a removal."""
        leaving = self.fleet.engines[-1]
        self.fleet.log.append_upstream_change(leaving.upstream_id, None)
        self.fleet.log.compact()
        await asyncio.sleep(FAULT_DURATION_S)
        self.fleet.log.append_upstream_change(
            leaving.upstream_id, self.fleet.list_entry(leaving)
        )

    async def _instance_list_late_or_wrong(self) -> None:
        """Removes and re-adds the list entries of live upstreams."""
        removed = [*self._serving_upstreams(), self.fleet.engines[1]]
        for upstream in removed:
            self.fleet.log.append_upstream_change(upstream.upstream_id, None)
        await asyncio.sleep(FAULT_DURATION_S)
        for upstream in removed:
            self.fleet.log.append_upstream_change(
                upstream.upstream_id, self.fleet.list_entry(upstream)
            )

    async def _fencing_ignored(self) -> None:
        """Lets reservations time out and take effect later."""

        async def reserve(
            client: virtual_upstreams.VirtualUpstreams,
            reservation: calls.Reservation,
        ) -> bool:
            engine = client.by_address[reservation.address]
            assert isinstance(engine, virtual_upstreams.EngineUpstream)
            loop = asyncio.get_running_loop()
            loop.call_later(LATE_RESERVE_DELAY_S, engine.reserve, reservation)
            await asyncio.sleep(RESERVE_TIMEOUT_S)
            raise errors.UpstreamError(
                "no answer", step="reserve", peer=reservation.upstream_id
            )

        with mock.patch.object(
            virtual_upstreams.VirtualUpstreams, "reserve", reserve
        ):
            await asyncio.sleep(FAULT_DURATION_S)

    async def _data_centre_evacuated(self) -> None:
        """Evacuates the data centres that serve the request, for a while."""
        names = sorted(
            {upstream.data_centre for upstream in self._serving_upstreams()}
        )
        for name in names:
            self.fleet.evacuate(name)
        await asyncio.sleep(FAULT_DURATION_S)
        for name in names:
            self.fleet.end_evacuation(name)

    async def _operators_racing(self) -> None:
        """Publishes two configurations in a row while an upstream drains."""
        leaving = self._serving_upstreams()[0]
        self.fleet.publish_next()
        self.fleet.log.append_upstream_change(
            leaving.upstream_id, self.fleet.list_entry(leaving, draining=True)
        )
        self.fleet.publish_next()
        leaving.draining_since = asyncio.get_running_loop().time()
        await asyncio.sleep(FAULT_DURATION_S)


def _call_after(
    owner: Any, name: str, after: Callable[..., None]
) -> contextlib.AbstractContextManager[object]:
    """Patches a method to call `after` with its arguments when it returns."""
    original = getattr(owner, name)

    @functools.wraps(original)
    def call(*args: Any, **kwargs: Any) -> Any:
        result = original(*args, **kwargs)
        after(*args, **kwargs)
        return result

    return mock.patch.object(owner, name, call)


@contextlib.contextmanager
def _inject_at_step(injector: FaultInjector, step: str) -> Iterator[None]:
    """Makes the injector start when the tracked request reaches a step."""

    def on_request(request_id: str, delay_s: float = 0.0) -> None:
        if injector.is_tracked(request_id):
            injector.schedule(delay_s)

    events = 0

    def on_event(_core: Any, request: exchange.Exchange, *_rest: Any) -> None:
        nonlocal events
        if injector.is_tracked(request.req.request_id):
            events += 1
            if events >= MID_STREAM_EVENT:
                injector.schedule()

    def on_exchange(
        _core: Any, request: exchange.Exchange, *_: Any, **__: Any
    ) -> None:
        on_request(request.req.request_id)

    def queue_tracked(self: Any, request: exchange.Exchange) -> None:
        """Queues the tracked request until the next scheduling pass."""
        if (
            injector.is_tracked(request.req.request_id)
            and not injector.fault_injected
        ):
            self._queue._waiting.append(request)
            injector.schedule()
            return
        original_place(self, request)

    original_place = gateway.Gateway.place_request
    core = gateway.Gateway
    upstreams = virtual_upstreams.VirtualUpstreams
    transfer = virtual_upstreams.VirtualTransfer
    patches: dict[str, Callable[[], contextlib.AbstractContextManager[Any]]] = {
        "accept": lambda: _call_after(
            world.World,
            "_new_attempt",
            lambda _fleet, arrival: injector.on_caller_send(arrival),
        ),
        "admit": lambda: _call_after(
            core, "handle", lambda _core, req, _side: on_request(req.request_id)
        ),
        "queue": lambda: mock.patch.object(
            core, "place_request", queue_tracked
        ),
        "dispatch": lambda: _call_after(
            core,
            "start_call",
            lambda _core, _sink, call: on_request(call.req.request_id),
        ),
        "start": lambda: _call_after(
            upstreams,
            "_deliver",
            lambda _client, each, _upstream: on_request(
                each.call.req.request_id
            ),
        ),
        "first token": lambda: _call_after(core, "on_first_event", on_exchange),
        "mid-stream": lambda: _call_after(core, "on_event", on_event),
        # The last part of the response is in transit to the gateway.
        "last token": lambda: _call_after(
            transfer, "end", lambda each, _kind: on_request(each.request_id)
        ),
        # The last part of the response is in transit to the caller.
        "acknowledge": lambda: _call_after(
            core, "on_exchange_ended", on_exchange
        ),
        # The end of the run is in transit to the peers and engines.
        "clean up": lambda: _call_after(
            core,
            "on_attempt_ended",
            lambda _core, request, *_rest: on_request(
                request.req.request_id, 0.0005
            ),
        ),
    }
    with patches[step]():
        yield


def _unreleased_resources(fleet: world.World) -> list[str]:
    """Describes memory in use on engines and entries in load tables."""
    unreleased = [
        f"memory of {engine.upstream_id}"
        for engine in fleet.engines
        if engine.passes.kv_used or engine.passes.reservations
    ]
    for row in fleet.gateways.values():
        core = row.node.core
        unreleased += [
            f"{row.address}: {request.req.request_id}"
            for request in core.active
        ]
        unreleased += [
            f"{row.address}: run on {engine.upstream_id}"
            for engine in fleet.engines
            if not core.load.state(engine.upstream_id).idle
        ]
    return unreleased


@functools.cache
def run_scenario(
    tracked: workload.Arrival, step: str, faults: tuple[str, ...]
) -> ScenarioResult:
    """Simulates traffic with faults at a step of the tracked request."""

    async def main() -> ScenarioResult:
        fleet = world.World(SITE, 5)
        others = workload.generate_arrivals(
            SITE, TRAFFIC_DURATION_S, random.Random(5), load=LOAD_FACTOR
        )
        arrivals = sorted([*others, tracked], key=lambda each: each.at_s)
        injector = FaultInjector(fleet, tracked, faults)
        with _inject_at_step(injector, step):
            observations = await fleet.run_workload(
                arrivals, tail_s=DRAIN_TIME_S, stops=False
            )
        attempts = next(
            each for each in observations.requests if each[0].arrival is tracked
        )
        return ScenarioResult(
            observations,
            attempts,
            _unreleased_resources(fleet),
            injector.fault_injected,
        )

    return virtual_time.run(main())
