"""A simulated fleet of gateways, upstreams and callers in virtual time.

It runs the real code of the gateways with simulated connections. Tests inject
faults by calling methods and setting attributes.
"""

import asyncio
import collections
import contextvars
import math
import random
from collections.abc import Awaitable, Callable, Sequence
from typing import Final, NamedTuple

from apricottrestle.gateway import (
    assembly,
    calls,
    fleet_config,
    graceful_stop,
    peer_link,
    peer_messages,
    settings,
    upstream_list,
)
from apricottrestle_standins.platform import (
    engine_passes,
    ledger,
    load_balancer,
    virtual_store,
    virtual_time,
    virtual_upstreams,
    workload,
)

LOCAL_DELAY_S: Final = 0.0002
REMOTE_DELAY_S: Final = 0.001
CALLER_DELAY_S: Final = 0.001
WARM_UP_S: Final = 2.0
"""Time before the traffic, in which the gateways discover each other."""

DEFAULT_MAX_RETRIES: Final = 1
MIN_IDLE_TIMEOUT_S: Final = 2.0

HEARTBEAT_S: Final = 1.2
"""Interval in which upstreams that can be cold renew their entries."""

GRACE_S: Final = 8.0
"""Time between the signal that stops a gateway and the end of its process."""

LEASE_S: Final = 3.6
"""Time without a heartbeat of an upstream after which its entry expires."""

START_TIME_S: Final = 0.6
"""Time after the end of a gateway's process in which a new one starts."""


def default_frame_delays_s() -> tuple[float, ...]:
    """Returns the delay of a frame between gateways, delivered once."""
    return (REMOTE_DELAY_S,)


class VirtualLink(peer_link.Link):
    """A gateway's connections to the other gateways."""

    def __init__(self, world: "World", address: str) -> None:
        """Creates a link without connections."""
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

    def reconnect(self, address: str) -> None:
        """See Link.reconnect; a simulated connection is never waiting."""

    def send(self, address: str, message: peer_messages.Message) -> bool:
        """See Link.send."""
        if address not in self._peers:
            return False
        return self._world.send_frame(
            self._address, address, peer_messages.encode(message)
        )

    def broadcast(self, message: peer_messages.Message) -> None:
        """See Link.broadcast."""
        frame = peer_messages.encode(message)
        for address in self._peers:
            self._world.send_frame(self._address, address, frame)


class VirtualListener(graceful_stop.Listener):
    """Accepts the connections of a gateway's callers.

    Attributes:
        listening: Whether new connections are accepted.
        unread: Responses that callers haven't read to their end.
    """

    def __init__(self) -> None:
        """Creates a listener that accepts connections."""
        self.listening = True
        self.unread = 0

    @property
    def arriving(self) -> int:
        """See Listener.arriving; simulated requests arrive at once."""
        return 0

    @property
    def open_responses(self) -> int:
        """See Listener.open_responses."""
        return self.unread

    def stop_listening(self) -> None:
        """See Listener.stop_listening."""
        self.listening = False

    def close_idle(self) -> None:
        """See Listener.close_idle."""

    def check_arrivals(self) -> None:
        """See Listener.check_arrivals."""


class Gateway(NamedTuple):
    """A simulated gateway process."""

    address: str
    data_centre: int
    node: assembly.GatewayNode
    store: virtual_store.VirtualStore
    upstreams: virtual_upstreams.VirtualUpstreams
    responders: dict["CallerConnection", None]
    listener: VirtualListener
    context: contextvars.Context


class CallerConnection(calls.Responder):
    """A caller's connection to a gateway; records what it receives."""

    def __init__(self, attempt: ledger.Attempt) -> None:
        """Creates a connection without a response."""
        self.attempt = attempt
        self.closed = False
        self.finished = asyncio.Event()
        self._callback: Callable[[], None] | None = None
        self._context = contextvars.Context()
        self._rest = b""

    def on_close(self, callback: Callable[[], None]) -> None:
        """See Responder.on_close."""
        self._callback = callback
        self._context = contextvars.copy_context()

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
            self.attempt.refusal = message
            self.attempt.retry_after_s = retry_after_s
            self._end()

    def abort(self) -> None:
        """See Responder.abort."""
        if not self.closed:
            self.attempt.broken = True
            self._end()

    def disconnect(self) -> None:
        """Closes the connection, as a caller that gives up does."""
        if not self.closed:
            self.attempt.disconnected = True
            self._end()
            if self._callback is not None:
                virtual_time.enter(self._context, self._callback)

    def _end(self) -> None:
        self.closed = True
        self.attempt.ended_s = (
            asyncio.get_running_loop().time() + CALLER_DELAY_S
        )
        self.finished.set()


class World:
    """A simulated fleet.

    Attributes:
        site: The deployment.
        rng: Source of random choices.
        run_ledger: What upstreams ran and callers received.
        log: The store's records.
        gateways: Running gateways by address.
        partitioned: Pairs of gateways that don't receive each other's frames.
        frame_delays_s: Returns the delay of each copy of a frame between
            gateways; an empty tuple loses the frame.
        bytes_carried: Bytes sent between gateways.
        bytes_sent: Bytes sent to other gateways by each gateway.
        max_retries: Retries of a caller after a refusal or failure.
        honours_retry_after: Whether callers wait for the time in Retry-After.
        engines: Model engines.
        plain: Upstreams of the plain service.
        by_address: All upstreams by address.
        config: The newest configuration.
        hint_spread: Standard deviation of the logarithm of callers' estimates
            of the length of their answers; 0 for exact ones.
        balancer: Load balancer that chooses the gateways of new connections;
            None if each ready gateway gets connections at once.
        start_time_s: Time from the end of a stopped gateway's process until the
            new one discovers its peers.
        cold_rule: What upstreams take while they are cold; None if they never
            are.
    """

    def __init__(
        self,
        site: workload.Site,
        seed: int,
        cold_rule: workload.ColdRule | None = None,
        *,
        names_cold_rule: bool = True,
    ) -> None:
        """Creates the fleet; needs a running event loop in virtual time.

        Args:
            site: The deployment.
            seed: Seed of the random choices.
            cold_rule: See the attribute.
            names_cold_rule: Whether the configuration has the rule; if not,
                gateways don't know it.
        """
        self.site = site
        self.cold_rule = cold_rule
        self._names_cold_rule = names_cold_rule
        self.rng = random.Random(seed)
        self.run_ledger = ledger.Ledger()
        self.log = virtual_store.SharedLog()
        self.gateways: dict[str, Gateway] = {}
        self.partitioned: set[frozenset[str]] = set()
        self.frame_delays_s = default_frame_delays_s
        self.bytes_carried = 0
        self.bytes_sent: collections.Counter[str] = collections.Counter()
        self.max_retries = DEFAULT_MAX_RETRIES
        self.honours_retry_after = True
        self.hint_spread = 0.0
        self.start_time_s = START_TIME_S
        self._hint_rng = random.Random(0)
        self.balancer: load_balancer.LoadBalancer | None = None
        self._arrivals: dict[str, workload.Arrival] = {}
        self._start_count = 0
        self._attempt_count = 0
        self._tasks: list[asyncio.Task[None]] = []
        parameters = engine_passes.EngineParameters(
            slots=site.slots, kv_tokens=site.kv_tokens
        )
        self.engines = [
            virtual_upstreams.EngineUpstream(
                f"engine-{n}",
                self._data_centre_name(n),
                self.run_ledger,
                self.rng,
                parameters,
            )
            for n in range(site.engines)
        ]
        for engine in self.engines:
            engine.peers = self.engines
        self.plain = [
            virtual_upstreams.PlainUpstream(
                f"plain-{n}",
                self._data_centre_name(n),
                self.run_ledger,
                self.rng,
            )
            for n in range(site.plain)
        ]
        self.by_address: dict[str, virtual_upstreams.Upstream] = {
            listed.address: listed for listed in [*self.engines, *self.plain]
        }
        self.config = self._config(1)
        self.log.publish(self.config)
        for upstream in self.by_address.values():
            upstream.on_prompt_crash = self._on_prompt_crash
            upstream.on_cold_crash = self._on_cold_crash
            upstream.cold_rule = cold_rule
            self.log.append_upstream_change(
                upstream.upstream_id, self.list_entry(upstream)
            )
        for n in range(site.gateways):
            self.start_gateway(n)
        if cold_rule is not None:
            for upstream in self.by_address.values():
                self._tasks.append(
                    asyncio.ensure_future(self._renew_entry(upstream))
                )

    async def _renew_entry(self, upstream: virtual_upstreams.Upstream) -> None:
        """Writes an upstream's entry at intervals while it is up."""
        rng = random.Random(upstream.address)
        await asyncio.sleep(rng.uniform(0.0, HEARTBEAT_S))
        while True:
            if (
                upstream.state == "up"
                and upstream.draining_since is None
                and not self.log.down
            ):
                self.log.append_upstream_change(
                    upstream.upstream_id, self.list_entry(upstream)
                )
            await asyncio.sleep(HEARTBEAT_S)

    async def crash_and_restart(
        self, upstream: virtual_upstreams.Upstream, down_s: float
    ) -> None:
        """Crashes an upstream, whose next process has the same id."""
        upstream.crash(dark=False)
        await asyncio.sleep(down_s)
        upstream.restart()

    def _on_cold_crash(self, upstream: virtual_upstreams.Upstream) -> None:
        self._tasks.append(
            asyncio.ensure_future(
                self.crash_and_replace(upstream, virtual_upstreams.RESTART_S)
            )
        )

    def _data_centre_name(self, number: int) -> str:
        return f"dc-{number % self.site.data_centres}"

    def list_entry(
        self, upstream: virtual_upstreams.Upstream, *, draining: bool = False
    ) -> upstream_list.UpstreamEntry:
        """Returns the entry of an upstream in the upstream list."""
        is_engine = isinstance(upstream, virtual_upstreams.EngineUpstream)
        return upstream_list.UpstreamEntry(
            upstream.upstream_id,
            workload.ENGINES if is_engine else workload.PLAIN,
            upstream.address,
            upstream.data_centre,
            draining,
            self.site.slots if is_engine else 6,
            upstream.cold_left_s,
            upstream.started_at_ms,
        )

    async def restore_store(
        self, lost_s: float, outage_s: float
    ) -> virtual_store.Lost:
        """Takes the store away, and brings it back from an older copy.

        Args:
            lost_s: Age of the copy when the store goes away.
            outage_s: Time for which all calls fail.

        Returns:
            What the operator and the upstreams have to write again.
        """
        self.log.down = True
        await asyncio.sleep(outage_s)
        lost = self.log.restore(lost_s + outage_s)
        self.log.down = False
        for data_centre, evacuated in reversed(lost.evacuations):
            self._record_evacuation(data_centre, evacuated=not evacuated)
        return lost

    def _config(self, version: int) -> fleet_config.FleetConfig:
        cold = (0.0, 0.0)
        if self.cold_rule is not None and self._names_cold_rule:
            cold = (self.cold_rule.start_s, self.cold_rule.per_s)
        parameters = self.engines[0].parameters
        model = fleet_config.EngineCostModel(
            parameters.slots,
            parameters.kv_tokens,
            parameters.step_ms / 1e3,
            parameters.per_seq_ms / 1e3,
            parameters.ms_per_k_context / 1e6,
            parameters.prefill_tokens_per_ms * 1e3,
            parameters.ms_per_m_pairs / 1e9,
            parameters.chunk_tokens,
            parameters.steps_per_pass,
            parameters.hop_ms / 1e3,
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
                    workload.ENGINES, 400, model, (), *cold
                ),
                workload.PLAIN: fleet_config.Service(
                    workload.PLAIN, 100, None, (), *cold
                ),
            },
            fleet_config.CallerLimits(16_384, 4_194_304, 3.0, 15.0),
            {
                f"key-{n}": fleet_config.Team(f"team-{n}", None)
                for n in range(workload.TEAMS)
            },
        )

    def set_limit(
        self, upstreams: Sequence[virtual_upstreams.Upstream], per_s: float
    ) -> None:
        """Lets upstreams name a limit of requests per second."""
        self.end_limits()
        self.run_ledger.limits.append(
            ledger.LimitPeriod(per_s, [each.upstream_id for each in upstreams])
        )
        for upstream in upstreams:
            upstream.limit = calls.NamedLimit(per_s)

    def end_limits(self) -> None:
        """Lets no upstream name a limit."""
        now = asyncio.get_running_loop().time()
        for period in self.run_ledger.limits:
            period.ended_s = min(period.ended_s, now)
        for upstream in self.by_address.values():
            upstream.limit = None

    def set_prompt_fault(
        self, fault: virtual_upstreams.PromptFault | None
    ) -> None:
        """Sets which requests crash upstreams."""
        for upstream in self.by_address.values():
            upstream.prompt_fault = fault

    def _on_prompt_crash(
        self, upstream: virtual_upstreams.Upstream, cause: str
    ) -> None:
        now = asyncio.get_running_loop().time()
        self.run_ledger.prompt_crashes.setdefault(cause, []).append(now)
        self._tasks.append(
            asyncio.ensure_future(
                self.crash_and_replace(upstream, virtual_upstreams.RESTART_S)
            )
        )

    async def crash_and_replace(
        self, upstream: virtual_upstreams.Upstream, down_s: float
    ) -> None:
        """Crashes an upstream, whose next process has another id.

        Its list entry expires, and the next process has its address.
        """
        ended_id = upstream.upstream_id
        upstream.crash(dark=False)
        lease_left_s = LEASE_S * self.rng.uniform(0.67, 1.0)
        await asyncio.sleep(min(down_s, lease_left_s))
        if lease_left_s <= down_s:
            self.log.append_upstream_change(ended_id, None)
            await asyncio.sleep(down_s - lease_left_s)
        self._start_count += 1
        upstream.upstream_id = f"{upstream.address}-{self._start_count}"
        upstream.restart()
        self.log.append_upstream_change(
            upstream.upstream_id, self.list_entry(upstream)
        )
        if lease_left_s > down_s:
            await asyncio.sleep(lease_left_s - down_s)
            self.log.append_upstream_change(ended_id, None)

    def publish_next(self) -> None:
        """Publishes the same configuration as the next version."""
        self.config = self.config._replace(version=self.config.version + 1)
        self.log.publish(self.config)

    def evacuate(self, data_centre: str) -> None:
        """Writes the record that evacuates a data centre."""
        self.log.write_evacuation(data_centre, True)
        self._record_evacuation(data_centre, evacuated=True)

    def end_evacuation(self, data_centre: str) -> None:
        """Deletes the record that evacuates a data centre."""
        self.log.write_evacuation(data_centre, False)
        self._record_evacuation(data_centre, evacuated=False)

    def _record_evacuation(self, data_centre: str, *, evacuated: bool) -> None:
        """Records what the store has of an evacuation from now on."""
        now = asyncio.get_running_loop().time()
        current = [
            row
            for row in self.run_ledger.evacuations
            if row.data_centre == data_centre and row.ended_s > now
        ]
        if evacuated and not current:
            self.run_ledger.evacuations.append(
                ledger.Evacuation(data_centre, now)
            )
        for row in [] if evacuated else current:
            row.ended_s = now

    def start_gateway(self, number: int) -> Gateway:
        """Starts a gateway at the address of its number, also after a kill."""
        self._start_count += 1
        address = f"gateway-{number}"
        self.disturb(address)
        view = virtual_store.VirtualStore(self.log)
        client = virtual_upstreams.VirtualUpstreams(
            self.by_address,
            self._arrivals,
            self._data_centre_name(number),
            REMOTE_DELAY_S,
            address,
        )
        rule = self.cold_rule
        cfg = settings.GatewaySettings(
            address,
            self._data_centre_name(number),
            "",
            "",
            "",
            "",
            address,
            tuple(f"gateway-{n}" for n in range(min(3, self.site.gateways))),
            GRACE_S,
            0.2,
            10.0,
            102.0,
            virtual_upstreams.RELEASE_TIMEOUT_S,
            20.0,
            LEASE_S,
            {f"dc-{n}": f"region-{n}" for n in range(self.site.data_centres)},
            *((rule.overrun, rule.slack) if rule else (1.0, 0.0)),
        )
        node = assembly.GatewayNode(
            cfg,
            view,
            client,
            random.Random(self.rng.random()),
            f"{self._start_count:04d}",
        )
        context = virtual_time.process_context(f"{address} {self._start_count}")
        row = Gateway(
            address, number, node, view, client, {}, VirtualListener(), context
        )
        self.gateways[address] = row
        context.copy().run(node.start, VirtualLink(self, address))
        return row

    async def freeze_gateway(self, address: str, frozen_s: float) -> None:
        """Lets a gateway do nothing for a time, and then go on."""
        loop = virtual_time.running_loop()
        assert loop is not None
        row = self.gateways[address]
        name = virtual_time.process_of(row.context)
        self.disturb(address)
        loop.freeze(name)
        await asyncio.sleep(frozen_s)
        if self.gateways.get(address) is row:
            # A process that was killed meanwhile does nothing any more.
            loop.thaw(name)
            self.disturb(address)

    def disturb(self, address: str) -> None:
        """Records a disturbance of a gateway, for the checks of the ledger."""
        self.run_ledger.disturbed.append(
            (address, asyncio.get_running_loop().time())
        )

    def kill_gateway(self, address: str) -> None:
        """Kills a gateway, which closes the connections of its callers."""
        self.gateways[address].upstreams.kill()
        self._end_gateway(address)

    def power_off_gateway(self, address: str) -> None:
        """Ends a gateway; the engines don't notice and go on with its runs."""
        self.gateways[address].upstreams.power_off()
        self._end_gateway(address)

    def _end_gateway(self, address: str) -> None:
        row = self.gateways.pop(address)
        row.node.__exit__(None, None, None)
        for responder in list(row.responders):
            responder.abort()

    async def stop_gateway(self, address: str) -> None:
        """Stops a gateway gracefully, and starts it again at its address.

        A gateway that was killed in the meantime is not started again. One that
        is stopping already ignores a second signal, as the daemon does.
        """
        row = self.gateways[address]
        if row.node.peers.stop_order:
            return
        loop = asyncio.get_running_loop()
        now = loop.time()
        self.run_ledger.stops.append((address, now))
        counted = self._is_in_rotation(row)

        def check_ready() -> None:
            if self.gateways.get(address) is row:
                self.run_ledger.stop_checks.append(
                    ledger.StopCheck(
                        address, now, counted, self._is_in_rotation(row)
                    )
                )

        loop.call_later(ledger.READY_CHECK_AFTER_S, check_ready)
        stop = graceful_stop.GracefulStop(
            row.node.core, row.node.peers, row.listener, GRACE_S
        )
        try:
            async with asyncio.timeout(GRACE_S):
                await stop.run()
        except TimeoutError:
            self.run_ledger.overdue_stops.append(address)
        if self.gateways.get(address) is row:
            self.kill_gateway(address)
            await asyncio.sleep(self.start_time_s)
            self.start_gateway(row.data_centre)

    def _is_in_rotation(self, row: Gateway) -> bool:
        if self.balancer is None:
            return row.node.ready
        return self.balancer.is_in_rotation(row.address)

    def start_balancer(self) -> load_balancer.LoadBalancer:
        """Lets a load balancer with readiness checks choose the gateways."""
        addresses = list(self.gateways)
        self.balancer = load_balancer.LoadBalancer(
            lambda: {
                address: address in self.gateways
                and self.gateways[address].node.ready
                for address in addresses
            }
        )
        self._tasks.append(asyncio.ensure_future(self.balancer.run()))
        return self.balancer

    def send_frame(self, source: str, target: str, frame: bytes) -> bool:
        """Sends a frame between gateways; False if the target isn't running."""
        if target not in self.gateways:
            return False
        self.bytes_carried += len(frame)
        self.bytes_sent[source] += len(frame)
        if frozenset((source, target)) in self.partitioned:
            return True
        loop = asyncio.get_running_loop()
        for delay_s in self.frame_delays_s():
            loop.call_later(
                delay_s,
                self._receive,
                target,
                frame,
                context=contextvars.Context(),
            )
        return True

    def _receive(self, target: str, frame: bytes) -> None:
        row = self.gateways.get(target)
        if row is not None:
            virtual_time.enter(
                row.context,
                row.node.peers.receive,
                peer_messages.decode(frame),
            )

    async def run_workload(
        self,
        arrivals: list[workload.Arrival],
        faults: Awaitable[None] | None = None,
        tail_s: float = 20.0,
        *,
        stops: bool = True,
    ) -> ledger.Ledger:
        """Sends the requests and returns the ledger.

        Args:
            arrivals: Requests in order of arrival.
            faults: Injects faults; runs from the start of the traffic.
            tail_s: Time to run after the last request.
            stops: Whether to kill the gateways at the end; False keeps their
                state for inspection.
        """
        loop = asyncio.get_running_loop()
        await asyncio.sleep(WARM_UP_S)
        start = loop.time()
        fault_task = asyncio.ensure_future(faults) if faults else None
        leak_detector = asyncio.ensure_future(self._detect_leaks())
        for arrival in arrivals:
            await asyncio.sleep(max(start + arrival.at_s - loop.time(), 0))
            self._tasks.append(asyncio.ensure_future(self._call(arrival)))
        await asyncio.sleep(tail_s)
        leak_detector.cancel()
        if fault_task is not None:
            await fault_task
        for task in self._tasks:
            task.cancel()
        if stops:
            for address in list(self.gateways):
                self.kill_gateway(address)
        return self.run_ledger

    async def _call(self, arrival: workload.Arrival) -> None:
        """Sends a request and its retries."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + arrival.kind.timeout_s
        attempts: list[ledger.Attempt] = []
        self.run_ledger.requests.append(attempts)
        resume_after = 0
        for _ in range(1 + self.max_retries):
            attempt = self._new_attempt(arrival)
            attempt.resume_after = resume_after
            avoids = attempts[-1].gateway if attempts else ""
            attempts.append(attempt)
            await self._send_attempt(attempt, deadline, avoids)
            if attempt.event_ids:
                resume_after = attempt.event_ids[-1]
            if not _should_retry(attempt) or loop.time() >= deadline:
                return
            pause_s = attempt.retry_after_s or 0.0
            if not self.honours_retry_after:
                pause_s = 0.0
            if pause_s > (deadline - loop.time()) / 3:
                return
            await asyncio.sleep(pause_s)

    def _new_attempt(self, arrival: workload.Arrival) -> ledger.Attempt:
        self._attempt_count += 1
        request_id = f"request-{self._attempt_count}"
        self._arrivals[request_id] = arrival
        return ledger.Attempt(
            request_id, arrival, asyncio.get_running_loop().time()
        )

    async def _send_attempt(
        self, attempt: ledger.Attempt, deadline: float, avoids: str
    ) -> None:
        arrival = attempt.arrival
        await asyncio.sleep(CALLER_DELAY_S)
        row = self._pick_gateway(arrival, avoids)
        if row is None or not row.listener.listening:
            attempt.broken = True
            await asyncio.sleep(0.2)
            return
        attempt.gateway = row.address
        connection = CallerConnection(attempt)
        row.responders[connection] = None
        loop = asyncio.get_running_loop()
        kind = arrival.kind
        virtual_time.enter(
            row.context,
            row.node.core.handle,
            calls.CallerRequest(
                attempt.request_id,
                "POST",
                f"/{kind.name}/x",
                "fleet.example",
                (),
                arrival.body or str(arrival.at_s).encode(),
                f"key-{arrival.team}",
                max(deadline - loop.time(), 0.0),
                loop.time(),
                str(attempt.resume_after) if attempt.resume_after else None,
                self._prompt_size(arrival) if kind.tokens else None,
                arrival.shared_parts,
            ),
            connection,
        )
        await self._await_response(connection, deadline)
        row.responders.pop(connection, None)

    def _prompt_size(self, arrival: workload.Arrival) -> calls.PromptSize:
        """Returns what the caller states of its prompt and the answer."""
        output_tokens = arrival.events * workload.EVENT_TOKENS
        if not self.hint_spread:
            return calls.PromptSize(
                arrival.tokens, output_tokens, output_tokens
            )
        factor = math.exp(self._hint_rng.gauss(0.0, self.hint_spread))
        return calls.PromptSize(
            arrival.tokens,
            int(workload.MAX_EVENTS_FACTOR * arrival.kind.events)
            * workload.EVENT_TOKENS,
            int(output_tokens * factor),
        )

    async def _await_response(
        self, connection: CallerConnection, deadline: float
    ) -> None:
        """Waits for the response; disconnects after a timeout."""
        loop = asyncio.get_running_loop()
        kind = connection.attempt.arrival.kind
        idle_timeout_s = max(
            MIN_IDLE_TIMEOUT_S, 4 * kind.target_s, 8 * kind.gap_s
        )
        while not connection.finished.is_set():
            times = connection.attempt.event_times
            last = times[-1] if times else connection.attempt.sent_s
            limit = deadline
            if kind.route_kind == "stream":
                limit = min(deadline, last + idle_timeout_s)
            if loop.time() >= limit:
                connection.disconnect()
                return
            try:
                async with asyncio.timeout(limit - loop.time() + 1e-4):
                    await connection.finished.wait()
            except TimeoutError:
                continue

    def _pick_gateway(
        self, arrival: workload.Arrival, avoids: str
    ) -> Gateway | None:
        """Picks a ready gateway as the load balancer does, preferably local.

        With a balancer, a retry avoids the gateway of the attempt before.
        """
        balancer = self.balancer
        rows = [
            row
            for row in self.gateways.values()
            if len(self.gateways) == 1 or self._is_in_rotation(row)
        ] or list(self.gateways.values())
        local = [
            row
            for row in rows
            if row.data_centre % self.site.data_centres == arrival.data_centre
        ]
        choices = local or rows
        if balancer is not None:
            others = [row for row in choices if row.address != avoids]
            others = others or [row for row in rows if row.address != avoids]
            choices = others or choices
        if not choices:
            return None
        return choices[self.rng.randrange(len(choices))]

    async def _detect_leaks(self) -> None:
        """Records reservations that are not released in time after use."""
        unused: dict[tuple[str, str], float] = {}
        while True:
            await asyncio.sleep(0.25)
            now = asyncio.get_running_loop().time()
            used = {
                reservation_id
                for engine in self.engines
                for job, incoming in engine.jobs.values()
                for text in incoming.call.helpers
                if (reservation_id := text.partition("/")[2])
            }
            for engine in self.engines:
                for name in engine.passes.reservations:
                    key = (engine.upstream_id, name)
                    if name in used:
                        unused.pop(key, None)
                    elif now - unused.setdefault(key, now) > (
                        virtual_upstreams.RELEASE_TIMEOUT_S
                    ):
                        self.run_ledger.leaks.append(key)
                        unused[key] = float("inf")


def _should_retry(attempt: ledger.Attempt) -> bool:
    """Returns whether a caller retries, by the platform's rules."""
    if attempt.disconnected or attempt.complete:
        # A caller that disconnected from a silent stream resumes it.
        return (
            attempt.disconnected and attempt.arrival.kind.route_kind == "stream"
        )
    if attempt.status in (400, 401, 404, 413, 431):
        return False
    if attempt.arrival.kind.route_kind == "unsafe":
        return attempt.status in ledger.NOT_RUN_STATUSES
    return True
