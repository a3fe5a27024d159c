"""Strikes a fleet in virtual time when a request reaches a step of its path.

A day has one tracked request among others. The fault begins in the turn of the
event loop after the request has reached the step, so that the gateway holds
exactly the state of that step.
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
    # The platform allows unsafe requests a second upstream as well, once it is
    # proved that the first one did nothing.
    kinds=tuple(kind._replace(max_attempts=2) for kind in _BASE.kinds),
)
LENGTH_S: Final = 2.0
LOAD: Final = 0.5
TRACKED_AT_S: Final = 0.6
TAIL_S: Final = 17.0
"""Longer than any caller waits, and than memory may stay set aside."""

FAULT_S: Final = 2.0
RESTART_S: Final = 0.4
LATE_S: Final = 0.5
LATE_ORDER_S: Final = 3.0
UNANSWERED_S: Final = 0.4
SWAP_S: Final = (0.001, 0.02)
MID_EVENT: Final = 4

LONG: Final = workload.Arrival(
    TRACKED_AT_S, SITE.kinds[2], 0, 0, 400_000, 12, 0.0, 0.0
)
"""Above the memory of one engine: split, with memory set aside."""

ORDER: Final = workload.Arrival(
    TRACKED_AT_S, SITE.kinds[3], 0, 0, 0, 0, 0.05, 0.0
)

_Strike = Callable[[], None]


class Day(NamedTuple):
    """What a day leaves.

    Attributes:
        book: What callers and upstreams saw.
        tracked: Attempts of the tracked request.
        held: What engines and gateways still hold when all callers have left.
        struck: Whether the request reached the step.
    """

    book: ledger.Ledger
    tracked: list[ledger.Attempt]
    held: list[str]
    struck: bool


class Strike:
    """The fault, and where the tracked request is.

    Attributes:
        fleet: The fleet.
        faults: Names of the faults.
        struck: Whether they have begun.
    """

    def __init__(
        self,
        fleet: world.World,
        tracked: workload.Arrival,
        faults: tuple[str, ...],
    ) -> None:
        """Waits for the request."""
        self.fleet = fleet
        self.faults = faults
        self.struck = False
        self._tracked = tracked
        self._tasks: list[asyncio.Task[None]] = []

    def is_tracked(self, request_id: str) -> bool:
        """Whether an attempt belongs to the tracked request."""
        for row in self.fleet.gateways.values():
            return row.upstreams.arrivals.get(request_id) is self._tracked
        return False

    def sent(self, arrival: workload.Arrival) -> None:
        """Strikes while the caller's bytes are under way to a gateway."""
        if arrival is self._tracked:
            self.soon(world.CALLER_S / 2)

    def soon(self, delay_s: float = 0.0) -> None:
        """Strikes in the next turn, or after a delay; only once."""
        if not self.struck:
            self.struck = True
            loop = asyncio.get_running_loop()
            loop.call_later(delay_s, self._strike)

    def _strike(self) -> None:
        for fault in self.faults:
            work = getattr(self, "_" + fault.replace(" ", "_"))
            self._tasks.append(asyncio.ensure_future(work()))

    def _home(self) -> str:
        """Returns the gateway of the tracked request, or any."""
        for address, row in self.fleet.gateways.items():
            for one in row.node.core.active:
                if self.is_tracked(one.req.request_id):
                    return address
        return min(self.fleet.gateways)

    def _upstreams(self) -> list[virtual_upstreams.Upstream]:
        """Returns the upstreams that work for the tracked request."""
        for row in self.fleet.gateways.values():
            for one in row.node.core.active:
                if self.is_tracked(one.req.request_id) and one.tried:
                    address = one.tried[-1]
                    return [self.fleet.by_address[address]]
        return [self.fleet.engines[0], self.fleet.plain[0]]

    async def _kill(self) -> None:
        address = self._home()
        number = self.fleet.gateways[address].data_centre
        self.fleet.kill_gateway(address)
        await asyncio.sleep(RESTART_S)
        self.fleet.start_gateway(number)

    async def _kill_for_good(self) -> None:
        self.fleet.kill_gateway(self._home())

    async def _silent_connection(self) -> None:
        await self._crash(dark=True)

    async def _answer_lost_after_effect(self) -> None:
        await self._crash(dark=False)

    async def _crash(self, *, dark: bool) -> None:
        upstreams = [each for each in self._upstreams() if each.state == "up"]
        for upstream in upstreams:
            upstream.crash(dark=dark)
        await asyncio.sleep(FAULT_S)
        for upstream in upstreams:
            upstream.restart()
            self.fleet.log.list_change(
                upstream.upstream_id, self.fleet.entry(upstream)
            )

    async def _message_late(self) -> None:
        await self._frames(lambda: (LATE_S,))

    async def _message_duplicated(self) -> None:
        await self._frames(lambda: (world.FAR_S, 3 * world.FAR_S))

    async def _messages_swapped(self) -> None:
        rng = random.Random(1)
        await self._frames(lambda: (rng.choice(SWAP_S),))

    async def _load_reports_late(self) -> None:
        """No gateway hears of the others' load, and of their beats."""
        await self._frames(lambda: ())

    async def _frames(self, delays_s: Callable[[], tuple[float, ...]]) -> None:
        self.fleet.frame_delays_s = delays_s
        await asyncio.sleep(FAULT_S)
        self.fleet.frame_delays_s = world.usual_delays_s

    async def _log_down_or_slow(self) -> None:
        rows = list(self.fleet.gateways.values())
        for row in rows:
            row.store.trouble = "silent"
        await asyncio.sleep(FAULT_S)
        for row in rows:
            row.store.trouble = ""

    async def _log_records_past_retention(self) -> None:
        """The list loses its history, and a leaving is no longer in it."""
        leaver = self.fleet.engines[-1]
        self.fleet.log.list_change(leaver.upstream_id, None)
        self.fleet.log.forget()
        await asyncio.sleep(FAULT_S)
        self.fleet.log.list_change(leaver.upstream_id, self.fleet.entry(leaver))

    async def _instance_list_late_or_wrong(self) -> None:
        """Entries of upstreams that live are removed, and come back."""
        gone = [*self._upstreams(), self.fleet.engines[1]]
        for upstream in gone:
            self.fleet.log.list_change(upstream.upstream_id, None)
        await asyncio.sleep(FAULT_S)
        for upstream in gone:
            self.fleet.log.list_change(
                upstream.upstream_id, self.fleet.entry(upstream)
            )

    async def _fencing_ignored(self) -> None:
        """Orders to engines are not answered, and take effect later."""

        async def reserve(
            client: virtual_upstreams.VirtualUpstreams,
            reservation: calls.Reservation,
        ) -> bool:
            engine = client.by_address[reservation.address]
            assert isinstance(engine, virtual_upstreams.EngineUpstream)
            loop = asyncio.get_running_loop()
            loop.call_later(LATE_ORDER_S, engine.reserve, reservation)
            await asyncio.sleep(UNANSWERED_S)
            raise errors.UpstreamError(
                "no answer", step="reserve", peer=reservation.upstream_id
            )

        with mock.patch.object(
            virtual_upstreams.VirtualUpstreams, "reserve", reserve
        ):
            await asyncio.sleep(FAULT_S)

    async def _operators_racing(self) -> None:
        """Versions follow each other at once, beside a leaving engine."""
        leaver = self._upstreams()[0]
        self.fleet.publish_next()
        self.fleet.log.list_change(
            leaver.upstream_id, self.fleet.entry(leaver, draining=True)
        )
        self.fleet.publish_next()
        leaver.leaving_at = asyncio.get_running_loop().time()
        await asyncio.sleep(FAULT_S)


def _wrapped(
    owner: Any, name: str, after: Callable[..., None]
) -> contextlib.AbstractContextManager[object]:
    """Calls `after` with the arguments whenever a method has returned."""
    original = getattr(owner, name)

    @functools.wraps(original)
    def call(*args: Any, **kwargs: Any) -> Any:
        result = original(*args, **kwargs)
        after(*args, **kwargs)
        return result

    return mock.patch.object(owner, name, call)


@contextlib.contextmanager
def _watch(strike: Strike, step: str) -> Iterator[None]:
    """Strikes when the tracked request reaches a step."""

    def on(request_id: str, delay_s: float = 0.0) -> None:
        if strike.is_tracked(request_id):
            strike.soon(delay_s)

    events = 0

    def on_event(_core: Any, one: exchange.Exchange, *_rest: Any) -> None:
        nonlocal events
        if strike.is_tracked(one.req.request_id):
            events += 1
            if events >= MID_EVENT:
                strike.soon()

    def of_one(_core: Any, one: exchange.Exchange, *_: Any, **__: Any) -> None:
        on(one.req.request_id)

    def hold_once(self: Any, one: exchange.Exchange) -> None:
        """Leaves the request in the queue until the next tick."""
        if strike.is_tracked(one.req.request_id) and not strike.struck:
            self._waiting.append(one)
            strike.soon()
            return
        place(self, one)

    place = gateway.Gateway.place
    core = gateway.Gateway
    upstreams = virtual_upstreams.VirtualUpstreams
    transfer = virtual_upstreams.VirtualTransfer
    watches: dict[str, Callable[[], contextlib.AbstractContextManager[Any]]] = {
        "accept": lambda: _wrapped(
            world.World,
            "_new_attempt",
            lambda _fleet, arrival: strike.sent(arrival),
        ),
        "admit": lambda: _wrapped(
            core, "handle", lambda _core, req, _side: on(req.request_id)
        ),
        "queue": lambda: mock.patch.object(core, "place", hold_once),
        "dispatch": lambda: _wrapped(core, "send", of_one),
        "start": lambda: _wrapped(
            upstreams,
            "_deliver",
            lambda _client, each, _upstream: on(each.call.req.request_id),
        ),
        "first token": lambda: _wrapped(core, "wrote", of_one),
        "mid-stream": lambda: _wrapped(core, "saw_event", on_event),
        # The last part of the answer is on its way to the gateway.
        "last token": lambda: _wrapped(
            transfer, "end", lambda each, _kind: on(each.request_id)
        ),
        # ... and on its way to the caller.
        "acknowledge": lambda: _wrapped(core, "ended", of_one),
        # The peers and engines are being told that the run has ended.
        "clean up": lambda: _wrapped(
            core,
            "sent_ended",
            lambda _core, one, *_rest: on(one.req.request_id, 0.0005),
        ),
    }
    with watches[step]():
        yield


def _held(fleet: world.World) -> list[str]:
    """Names memory in use on engines, and runs in the gateways' tables."""
    held = [
        f"memory of {engine.upstream_id}"
        for engine in fleet.engines
        if engine.passes.kv_used or engine.passes.reservations
    ]
    for row in fleet.gateways.values():
        core = row.node.core
        held += [f"{row.address}: {one.req.request_id}" for one in core.active]
        held += [
            f"{row.address}: run on {engine.upstream_id}"
            for engine in fleet.engines
            if not core.load.state(engine.upstream_id).idle
        ]
    return held


@functools.cache
def play(tracked: workload.Arrival, step: str, faults: tuple[str, ...]) -> Day:
    """Plays a day on which the faults begin at the step of the request."""

    async def main() -> Day:
        fleet = world.World(SITE, 5)
        others = workload.draw(SITE, LENGTH_S, random.Random(5), load=LOAD)
        day = sorted([*others, tracked], key=lambda each: each.at_s)
        strike = Strike(fleet, tracked, faults)
        with _watch(strike, step):
            book = await fleet.play(day, tail_s=TAIL_S, stops=False)
        attempts = next(
            each for each in book.requests if each[0].arrival is tracked
        )
        return Day(book, attempts, _held(fleet), strike.struck)

    return virtual_time.run(main())
