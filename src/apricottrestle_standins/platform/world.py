"""A fleet of gateways, engines, plain upstreams and callers in virtual time.

Runs the gateways' real code; only sockets are replaced. Faults are methods, so
that a test or an experiment schedules them.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable
from typing import Final, NamedTuple

from apricottrestle.gateway import (
    assembly,
    calls,
    fleet_config,
    peer_link,
    peer_messages,
    settings,
    upstream_list,
)
from apricottrestle_standins.platform import (
    engine_passes,
    ledger,
    virtual_store,
    virtual_upstreams,
    workload,
)

LOCAL_DELAY_S: Final = 0.0002
REMOTE_DELAY_S: Final = 0.001
CALLER_DELAY_S: Final = 0.001
WARM_UP_S: Final = 2.0
"""Time before the traffic, in which the gateways find each other."""

DEFAULT_MAX_RETRIES: Final = 1
ABANDON_S: Final = 2.0


def default_frame_delays_s() -> tuple[float, ...]:
    """Returns the delays of a frame between gateways: one copy, in order."""
    return (REMOTE_DELAY_S,)


class VirtualLink(peer_link.Link):
    """A gateway's connections to the others."""

    def __init__(self, world: "World", address: str) -> None:
        """Starts without connections."""
        self._world = world
        self._address = address
        self._peers: dict[str, None] = {}

    def connect(self, address: str) -> bool:
        """See Link.connect."""
        if address in self._peers or address == self._address:
            return False
        self._peers[address] = None
        return True

    def disconnect(self, address: str) -> None:
        """See Link.disconnect."""
        self._peers.pop(address, None)

    def send(self, address: str, message: peer_messages.Message) -> bool:
        """See Link.send."""
        if address not in self._peers:
            return False
        return self._world.carry(
            self._address, address, peer_messages.encode(message)
        )

    def broadcast(self, message: peer_messages.Message) -> None:
        """See Link.broadcast."""
        frame = peer_messages.encode(message)
        for address in self._peers:
            self._world.carry(self._address, address, frame)


class Gateway(NamedTuple):
    """A gateway process of the world."""

    address: str
    data_centre: int
    node: assembly.GatewayNode
    store: virtual_store.VirtualStore
    upstreams: virtual_upstreams.VirtualUpstreams
    responders: dict["CallerSide", None]


class CallerSide(calls.Responder):
    """A caller's end of a connection; records what arrives."""

    def __init__(self, attempt: ledger.Attempt) -> None:
        """Starts without an answer."""
        self.attempt = attempt
        self.closed = False
        self.finished = asyncio.Event()
        self._callback: Callable[[], None] | None = None
        self._rest = b""

    def on_close(self, callback: Callable[[], None]) -> None:
        """See Responder.on_close."""
        self._callback = callback

    def begin(
        self, status: int, headers: calls.Headers, length: int | None = None
    ) -> None:
        """See Responder.begin."""
        self.attempt.status = status

    def write(self, data: bytes) -> None:
        """See Responder.write."""
        if self.closed:
            return
        now = asyncio.get_running_loop().time() + CALLER_DELAY_S
        for line in data.split(b"\n"):
            if line.startswith(b"id: "):
                self.attempt.event_ids.append(int(line[4:]))
                self.attempt.event_times.append(now)

    def finish(self) -> None:
        """See Responder.finish."""
        if not self.closed:
            self.attempt.complete = True
            self._end()

    def refuse(
        self, status: int, message: str, retry_after_s: float | None = None
    ) -> None:
        """See Responder.refuse."""
        if not self.closed:
            self.attempt.status = status
            self.attempt.retry_after_s = retry_after_s
            self._end()

    def abort(self) -> None:
        """See Responder.abort."""
        if not self.closed:
            self.attempt.broken = True
            self._end()

    def leave(self) -> None:
        """The caller closes the connection."""
        if not self.closed:
            self.attempt.left = True
            self._end()
            if self._callback is not None:
                self._callback()

    def _end(self) -> None:
        self.closed = True
        self.attempt.ended_s = (
            asyncio.get_running_loop().time() + CALLER_DELAY_S
        )
        self.finished.set()


class World:
    """The fleet.

    Attributes:
        site: The deployment.
        book: What upstreams ran and callers got.
        log: The store's records.
        gateways: Gateways alive, by address.
        partitioned: Pairs of gateways that have lost each other.
        frame_delays_s: Returns after how many seconds each copy of a frame
            between gateways arrives; an empty tuple loses the frame.
        bytes_carried: Bytes between gateways.
        max_retries: Retries of a caller after a refusal or failure.
        honours_retry_after: Whether callers wait for the time in Retry-After.
        engines: Model engines.
        plain: Upstreams of the plain service.
    """

    def __init__(self, site: workload.Site, seed: int) -> None:
        """Builds the fleet; runs on a virtual loop."""
        self.site = site
        self.rng = random.Random(seed)
        self.book = ledger.Ledger()
        self.log = virtual_store.SharedLog()
        self.gateways: dict[str, Gateway] = {}
        self.partitioned: set[frozenset[str]] = set()
        self.frame_delays_s = default_frame_delays_s
        self.bytes_carried = 0
        self.max_retries = DEFAULT_MAX_RETRIES
        self.honours_retry_after = True
        self._arrivals: dict[str, workload.Arrival] = {}
        self._starts = 0
        self._attempts = 0
        self._tasks: list[asyncio.Task[None]] = []
        figures = engine_passes.EngineFigures(
            slots=site.slots, kv_tokens=site.kv_tokens
        )
        self.engines = [
            virtual_upstreams.EngineUpstream(
                f"engine-{n}", self._dc(n), self.book, self.rng, figures
            )
            for n in range(site.engines)
        ]
        for engine in self.engines:
            engine.peers = self.engines
        self.plain = [
            virtual_upstreams.PlainUpstream(
                f"plain-{n}", self._dc(n), self.book, self.rng
            )
            for n in range(site.plain)
        ]
        self.by_address: dict[str, virtual_upstreams.Upstream] = {
            each.address: each for each in [*self.engines, *self.plain]
        }
        self.config = self._config(1)
        self.log.publish(self.config)
        for upstream in self.by_address.values():
            self.log.append_upstream_change(
                upstream.upstream_id, self.list_entry(upstream)
            )
        for n in range(site.gateways):
            self.start_gateway(n)

    def _dc(self, number: int) -> str:
        return f"dc-{number % self.site.data_centres}"

    def list_entry(
        self, upstream: virtual_upstreams.Upstream, *, draining: bool = False
    ) -> upstream_list.UpstreamEntry:
        """Returns an upstream's entry in the list."""
        is_engine = isinstance(upstream, virtual_upstreams.EngineUpstream)
        return upstream_list.UpstreamEntry(
            upstream.upstream_id,
            workload.ENGINES if is_engine else workload.PLAIN,
            upstream.address,
            upstream.data_centre,
            draining,
            self.site.slots if is_engine else 6,
            0.0,
            upstream.started_at_ms,
        )

    def _config(self, version: int) -> fleet_config.FleetConfig:
        figures = self.engines[0].figures
        model = fleet_config.EngineCostModel(
            figures.slots,
            figures.kv_tokens,
            figures.step_ms / 1e3,
            figures.per_seq_ms / 1e3,
            figures.context_per_k / 1e6,
            figures.read_per_ms * 1e3,
            figures.pairs_per_m / 1e9,
            figures.chunk,
            figures.stride,
            figures.hop_ms / 1e3,
        )
        routes = tuple(
            fleet_config.Route(
                kind.name,
                "fleet.example",
                f"/{kind.name}/",
                kind.route_kind,
                kind.timeout_s,
                kind.target_s,
                kind.gap_s,
                kind.priority,
                (
                    fleet_config.RouteTarget(
                        workload.ENGINES if kind.tokens else workload.PLAIN,
                        1.0,
                    ),
                ),
                kind.max_attempts,
                False,
                kind.route_kind == "stream",
            )
            for kind in self.site.kinds
        )
        return fleet_config.FleetConfig(
            version,
            routes,
            {
                workload.ENGINES: fleet_config.Service(
                    workload.ENGINES, 400, model
                ),
                workload.PLAIN: fleet_config.Service(workload.PLAIN, 100, None),
            },
            fleet_config.CallerLimits(16_384, 4_194_304, 3.0, 15.0),
            {
                f"key-{n}": fleet_config.Team(f"team-{n}", None)
                for n in range(workload.TEAMS)
            },
        )

    def publish_next(self) -> None:
        """Publishes the configuration again under the next version."""
        self.config = self.config._replace(version=self.config.version + 1)
        self.log.publish(self.config)

    # Gateways and the network between them.

    def start_gateway(self, number: int) -> Gateway:
        """Starts a gateway; one of a known number takes its address over."""
        self._starts += 1
        address = f"gateway-{number}"
        view = virtual_store.VirtualStore(self.log)
        client = virtual_upstreams.VirtualUpstreams(
            self.by_address, self._arrivals, self._dc(number), REMOTE_DELAY_S
        )
        cfg = settings.GatewaySettings(
            address,
            self._dc(number),
            "",
            "",
            "",
            "",
            address,
            tuple(f"gateway-{n}" for n in range(min(3, self.site.gateways))),
            8.0,
            0.2,
            10.0,
            102.0,
            virtual_upstreams.FREE_S,
            20.0,
        )
        node = assembly.GatewayNode(
            cfg,
            view,
            client,
            random.Random(self.rng.random()),
            f"{self._starts:04d}",
        )
        row = Gateway(address, number, node, view, client, {})
        self.gateways[address] = row
        node.start(VirtualLink(self, address))
        return row

    def kill_gateway(self, address: str) -> None:
        """Kills a gateway; its callers see closed connections."""
        row = self.gateways.pop(address)
        row.upstreams.kill()
        row.node.__exit__(None, None, None)
        for responder in list(row.responders):
            responder.abort()

    def carry(self, source: str, target: str, frame: bytes) -> bool:
        """Carries a frame between gateways; False when none listens."""
        if target not in self.gateways:
            return False
        self.bytes_carried += len(frame)
        if frozenset((source, target)) in self.partitioned:
            return True
        loop = asyncio.get_running_loop()
        for delay_s in self.frame_delays_s():
            loop.call_later(delay_s, self._receive, target, frame)
        return True

    def _receive(self, target: str, frame: bytes) -> None:
        row = self.gateways.get(target)
        if row is not None:
            row.node.peers.receive(peer_messages.decode(frame))

    # Callers.

    async def run_workload(
        self,
        day: list[workload.Arrival],
        faults: Awaitable[None] | None = None,
        tail_s: float = 20.0,
        *,
        stops: bool = True,
    ) -> ledger.Ledger:
        """Plays a day and returns its records.

        Args:
            day: Requests in order of arrival.
            faults: Injects faults; starts with the traffic.
            tail_s: Time after the last request.
            stops: Whether the gateways are killed at the end; else what they
                hold can be looked at.
        """
        loop = asyncio.get_running_loop()
        await asyncio.sleep(WARM_UP_S)
        start = loop.time()
        fault_task = asyncio.ensure_future(faults) if faults else None
        watch = asyncio.ensure_future(self._watch_memory())
        for arrival in day:
            await asyncio.sleep(max(start + arrival.at_s - loop.time(), 0))
            self._tasks.append(asyncio.ensure_future(self._call(arrival)))
        await asyncio.sleep(tail_s)
        watch.cancel()
        if fault_task is not None:
            await fault_task
        for task in self._tasks:
            task.cancel()
        if stops:
            for address in list(self.gateways):
                self.kill_gateway(address)
        return self.book

    async def _call(self, arrival: workload.Arrival) -> None:
        """One request of a caller, with its retries."""
        loop = asyncio.get_running_loop()
        ends = loop.time() + arrival.kind.timeout_s
        attempts: list[ledger.Attempt] = []
        self.book.requests.append(attempts)
        resume_after = 0
        for number in range(1 + self.max_retries):
            attempt = self._new_attempt(arrival)
            attempt.resume_after = resume_after
            attempts.append(attempt)
            await self._try(attempt, ends, number)
            if attempt.event_ids:
                resume_after = attempt.event_ids[-1]
            if not _retries(attempt) or loop.time() >= ends:
                return
            pause_s = attempt.retry_after_s or 0.0
            if not self.honours_retry_after:
                pause_s = 0.0
            if pause_s > (ends - loop.time()) / 3:
                return
            await asyncio.sleep(pause_s)

    def _new_attempt(self, arrival: workload.Arrival) -> ledger.Attempt:
        self._attempts += 1
        request_id = f"request-{self._attempts}"
        self._arrivals[request_id] = arrival
        return ledger.Attempt(
            request_id, arrival, asyncio.get_running_loop().time()
        )

    async def _try(
        self, attempt: ledger.Attempt, ends: float, number: int
    ) -> None:
        arrival = attempt.arrival
        await asyncio.sleep(CALLER_DELAY_S)
        row = self._balance(arrival, number)
        if row is None:
            attempt.broken = True
            await asyncio.sleep(0.2)
            return
        side = CallerSide(attempt)
        row.responders[side] = None
        loop = asyncio.get_running_loop()
        kind = arrival.kind
        row.node.core.handle(
            calls.CallerRequest(
                attempt.request_id,
                "POST",
                f"/{kind.name}/x",
                "fleet.example",
                (),
                b"",
                f"key-{arrival.team}",
                max(ends - loop.time(), 0.0),
                loop.time(),
                str(attempt.resume_after) if attempt.resume_after else None,
                calls.PromptSize(
                    arrival.tokens,
                    arrival.events * workload.EVENT_TOKENS,
                    arrival.events * workload.EVENT_TOKENS,
                )
                if kind.tokens
                else None,
            ),
            side,
        )
        await self._watch(side, ends)
        row.responders.pop(side, None)

    async def _watch(self, side: CallerSide, ends: float) -> None:
        """Waits for the answer; leaves when it takes too long."""
        loop = asyncio.get_running_loop()
        kind = side.attempt.arrival.kind
        pause_s = max(ABANDON_S, 4 * kind.target_s, 8 * kind.gap_s)
        while not side.finished.is_set():
            times = side.attempt.event_times
            last = times[-1] if times else side.attempt.sent_s
            limit = ends
            if kind.route_kind == "stream":
                limit = min(ends, last + pause_s)
            if loop.time() >= limit:
                side.leave()
                return
            try:
                async with asyncio.timeout(limit - loop.time() + 1e-4):
                    await side.finished.wait()
            except TimeoutError:
                continue

    def _balance(
        self, arrival: workload.Arrival, number: int
    ) -> Gateway | None:
        """Picks a gateway as the load balancer does: near ones first."""
        rows = [
            row
            for row in self.gateways.values()
            if row.node.ready or len(self.gateways) == 1
        ] or list(self.gateways.values())
        near = [
            row
            for row in rows
            if row.data_centre % self.site.data_centres == arrival.data_centre
        ]
        choices = near or rows
        if not choices:
            return None
        return choices[self.rng.randrange(len(choices))]

    async def _watch_memory(self) -> None:
        """Notes reservations that stay long after the last use."""
        unused: dict[tuple[str, str], float] = {}
        while True:
            await asyncio.sleep(0.25)
            now = asyncio.get_running_loop().time()
            used = {
                ticket
                for engine in self.engines
                for job, exchange in engine.jobs.values()
                for text in exchange.call.helpers
                if (ticket := text.partition("/")[2])
            }
            for engine in self.engines:
                for name in engine.passes.reservations:
                    key = (engine.upstream_id, name)
                    if name in used:
                        unused.pop(key, None)
                    elif now - unused.setdefault(key, now) > (
                        virtual_upstreams.FREE_S
                    ):
                        self.book.leaks.append(key)
                        unused[key] = float("inf")


def _retries(attempt: ledger.Attempt) -> bool:
    """Whether a caller tries again, as the platform's pages say."""
    if attempt.left or attempt.complete:
        # A caller that gave a silent stream up resumes it elsewhere.
        return attempt.left and attempt.arrival.kind.route_kind == "stream"
    if attempt.status in (400, 401, 404, 413, 431):
        return False
    if attempt.arrival.kind.route_kind == "unsafe":
        return attempt.status in ledger.NOT_RUN_STATUSES
    return True
