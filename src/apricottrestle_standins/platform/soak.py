"""Fault-injection soak test of real gateway processes on loopback.

`python -m apricottrestle_standins.platform.soak --seeds 50` does a run of a few
seconds for each seed. The seed determines the faults: signals, network faults,
store faults and upstream crashes. The checks use only what callers and
upstreams observe. Only processes that the soak started are killed.
"""

import argparse
import asyncio
import contextlib
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
from collections.abc import AsyncIterator, Iterator, Sequence
from typing import Any, Final, NamedTuple

from apricottrestle.platform import names
from apricottrestle_standins.platform import (
    fault_proxy,
    ledger,
    soak_callers,
    store_http,
    upstream_http,
)

GATEWAY_COUNT: Final = 3
ENGINE_COUNT: Final = 3
PLAIN_COUNT: Final = 2
CALLER_COUNT: Final = 10
GRACE_S: Final = 5.0
TRAFFIC_S: Final = 7.0
START_TIMEOUT_S: Final = 20.0
DRAIN_DURATION_S: Final = 2.5
MAX_CONFIG_DELAY_S: Final = 2.0
"""Time in which a configuration must be in force, by the platform's rules."""

PROBE_ID: Final = "probe"
"""Attempt id of the requests that check which configuration is in force."""

PLANNED: Final = ("term", "hup", "new_config", "drain")
UNPLANNED: Final = (
    "kill",
    "kill_all",
    "pause",
    "store_busy",
    "store_slow",
    "store_lost",
    "store_silent",
    "store_forgets",
    "cut_store",
    "cut_upstream",
    "delay_upstream",
    "reset_upstream",
    "crash_upstream",
    "lost_answers",
)


PROMPT_ENGINES: Final = 8
PROMPT_TRAFFIC_S: Final = 12.0
PROMPT_RESTART_S: Final = 1.0
PROMPT_FAULTS: Final = ("kill", "kill_all", "pause", "term", "store_lost")
"""Runs with prompts that crash engines: number of engines, duration, time until
an engine is back, and the faults that come beside."""

LIMIT_PER_S: Final = 1.5
LIMIT_AT_S: Final = 2.0
LIMIT_ENDS_AT_S: Final = 10.0
LIMIT_FAULTS: Final = ("kill", "pause", "term", "new_config", "store_lost")
"""Runs with upstreams that name a limit: the limit, its start and end, and the
faults that come beside."""

NOTICE_TRAFFIC_S: Final = 12.0
NOTICE_TIMES_S: Final = (0.3, 1.0, 2.0, 4.0)
DRAIN_S: Final = 2.0
NOTICE_FAULTS: Final = (
    "leave",
    "turn_away",
    "turn_away",
    "kill",
    "pause",
    "term",
    "cut_store",
    "store_silent",
)
"""Runs with upstreams that leave or turn requests away, and say so: duration,
times for which they do, time in which gateways have to heed the first, and the
faults that come."""

RETURNS: Final = 2
RETURN_LOST_S: Final = (0.5, 5.0)
RETURN_PAUSE_S: Final = 0.2
RETURN_FAULTS: Final = (
    "drain",
    "new_config",
    "kill",
    "pause",
    "term",
    "cut_store",
    "store_silent",
    "store_restored",
)
"""Runs with a store that comes back from an older copy: returns at least, age
of the copy, longest pause between two records that are written again, and the
faults that come beside."""

STOP_GRACE_S: Final = 8.0
STOP_TRAFFIC_S: Final = 20.0
STOP_ROLLS: Final = 3
STOP_PAUSE_S: Final = 1.0
STOP_FAULTS: Final = ("roll", "term", "hup", "new_config", "drain")
"""Runs with series of stops: grace period, duration, series at least, time
until the platform starts a process again, and what comes beside."""

PLANNED_TRAFFIC_S: Final = 16.0
PLANNED_FAULTS: Final = (
    "roll",
    "term",
    "hup",
    "new_config",
    "move_store",
    "silence",
    "silence",
)
MAX_SILENCE_S: Final = 1.4
FULL_SHARE: Final = 0.5
"""Runs with planned work beside sound upstreams that fall silent: duration,
what comes, longest silence, and share of silent upstreams that turn other
requests away meanwhile."""

KEPT_TRAFFIC_S: Final = 14.0
KEPT_CALLERS: Final = 30
KEPT_IDLE_S: Final = (0.3, 0.6, 1.0)
KEPT_FAULTS: Final = (
    "roll",
    "term",
    "hup",
    "new_config",
    "change_idle",
    "change_idle",
    "hold_up",
    "hold_up",
)
MAX_HOLD_UP_S: Final = 0.2
HOLD_UPS: Final = 20
"""Runs with callers that come back at the idle time: duration, callers, idle
times, and what comes; longest time for which a gateway does nothing, and how
often in a row."""

EVACUATION_TRAFFIC_S: Final = 16.0
EVACUATIONS: Final = (("dc-1", 2.0, 12.0), ("dc-2", 9.0, 14.0))
EVACUATE_S: Final = 5.0
EVACUATION_KEY: Final = "evacuate/"
EVACUATION_FAULTS: Final = (
    "kill",
    "pause",
    "term",
    "roll",
    "new_config",
    "cut_store",
    "store_silent",
    "store_busy",
    "store_restored",
)
"""Runs with evacuated data centres: duration, data centres with the beginning
and end of their evacuations, time in which they must be in force, start of
their keys in the store, and the faults that come beside."""

SETTLE_S: Final = 3.0
"""Time after a disturbance in which a gateway may act on old state, by the
platform's rules."""


class Fault(NamedTuple):
    """A fault to inject: start, kind and duration."""

    at_s: float
    kind: str
    duration_s: float


def generate_faults(
    seed: int, length_s: float, kinds: tuple[str, ...] = ()
) -> list[Fault]:
    """Returns the faults of a seed; every third seed has planned ones only.

    Args:
        seed: Seed of the random choices.
        length_s: Duration of the run.
        kinds: Kinds of faults, if not those of the usual run.
    """
    rng = random.Random(seed)
    kinds = kinds or (PLANNED if seed % 3 == 0 else PLANNED + UNPLANNED)
    count = rng.randint(2, 6)
    return sorted(
        Fault(
            rng.uniform(0.3, length_s * 0.8),
            rng.choice(kinds),
            rng.uniform(0.3, 2.5),
        )
        for _ in range(count)
    )


def _ip(number: int) -> str:
    """Returns a gateway's loopback address, which depends on the process id.

    Concurrent soak runs would otherwise share the port of the metrics.
    """
    pid = os.getpid()
    return f"127.{1 + (pid >> 8) % 250}.{pid % 256}.{number + 1}"


class _GatewayProcess:
    """A gateway process with its settings and its proxies to the store.

    Both proxies serve; the settings name the first one.
    """

    def __init__(
        self, number: int, ports: list[int], directory: pathlib.Path
    ) -> None:
        self.ip = _ip(number)
        self.number = number
        self.ports = ports
        self.settings = directory / f"gateway-{number}.toml"
        self.log = directory / f"gateway-{number}.log"
        self.proxy: fault_proxy.FaultProxy | None = None
        self.spare_proxy: fault_proxy.FaultProxy | None = None
        self.popen: subprocess.Popen[bytes] | None = None
        self.budget_slack = 100
        self.grace_s = GRACE_S
        self.start_pause_s = 0.0
        self.stopping = False

    @property
    def caller_address(self) -> str:
        return f"{self.ip}:{self.ports[0]}"

    @property
    def ready_address(self) -> str:
        return f"{self.ip}:{self.ports[1]}"

    def write_settings(self) -> None:
        assert self.proxy is not None
        seeds = [f"{_ip(n)}:{self.ports[2]}" for n in range(GATEWAY_COUNT)]
        text = f"""
node = "gateway-{self.number}"
ip = "{self.ip}"
zone = "dc-1"
internal_port_range = [{self.ports[3]}, {self.ports[3] + 1}]
seeds = {seeds}
[listen]
front = "{self.caller_address}"
ready = "{self.ready_address}"
control = "{self.ip}:{self.ports[2]}"
[bounds]
grace_s = {self.grace_s}
drain_ms = 2000
retry_budget = 0.2
budget_window_s = 10
budget_slack = {self.budget_slack}
free_ms = 4000
hold_max_ms = 20000
[platform]
address = "{self.proxy.address}"
"""
        temporary = self.settings.with_suffix(".new")
        temporary.write_text(text)
        temporary.replace(self.settings)

    def start(self) -> None:
        env = {
            "PATH": os.environ.get("PATH", ""),
            "PYTHONPATH": os.pathsep.join(path for path in sys.path if path),
            names.SETTINGS_FILE_VARIABLE: str(self.settings),
        }
        with self.log.open("ab") as out:
            self.popen = subprocess.Popen(
                [sys.executable, "-m", "apricottrestle.platform"],
                stdout=out,
                stderr=out,
                env=env,
            )

    def signal(self, number: signal.Signals) -> None:
        if self.popen is not None and self.popen.poll() is None:
            self.popen.send_signal(number)

    async def wait_exit(self, limit_s: float) -> bool:
        """Waits for the process to exit; False after the time limit."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + limit_s
        while self.popen is not None and self.popen.poll() is None:
            if loop.time() > deadline:
                return False
            await asyncio.sleep(0.02)
        return True

    def kill(self) -> None:
        if self.popen is not None and self.popen.poll() is None:
            self.popen.kill()
            self.popen.wait()


class Fleet:
    """Store, upstreams, proxies and gateway processes of a run.

    Attributes:
        run_ledger: What upstreams ran and callers received.
        problems: What went wrong besides.
        rotation: Gateways that the load balancer has in rotation.
        gateways: The gateway processes.
        upstreams: The upstreams, engines first.
        route_timeout_s: Time limit of all routes; None for that of the kinds.
        idle_timeout_s: Idle time of callers' connections; None for the default.
        spare_routes: Routes of the configuration that nobody uses.
        spare_teams: Teams of the configuration without callers.
        data_centres: Number of data centres that the upstreams are in.
    """

    def __init__(
        self,
        directory: pathlib.Path,
        rng: random.Random,
        engine_count: int = ENGINE_COUNT,
    ) -> None:
        """Creates a fleet that is not yet running."""
        self.run_ledger = ledger.Ledger()
        self.problems: list[str] = []
        self.rotation: list[str] = []
        self.route_timeout_s: float | None = None
        self.idle_timeout_s: float | None = None
        self.spare_routes = 0
        self.spare_teams = 0
        self.data_centres = 1
        self._rng = rng
        self._version = 1
        ports = _free_ports(4)
        self.gateways = [
            _GatewayProcess(n, ports, directory) for n in range(GATEWAY_COUNT)
        ]
        self.store = store_http.Store()
        self.upstreams = [
            upstream_http.Upstream(
                f"up-{n}", self.run_ledger, rng, streams=n < engine_count
            )
            for n in range(engine_count + PLAIN_COUNT)
        ]
        self.proxies: dict[str, fault_proxy.FaultProxy] = {}
        self._draining: set[upstream_http.Upstream] = set()
        self._restarts: set[asyncio.Task[None]] = set()
        self._is_direct = engine_count != ENGINE_COUNT

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """Runs the fleet; the gateways are ready inside the context."""
        async with contextlib.AsyncExitStack() as stack:
            server = stack.enter_context(store_http.StoreServer(self.store))
            for upstream in self.upstreams:
                await stack.enter_async_context(upstream)
                proxy = fault_proxy.FaultProxy(upstream.address)
                await stack.enter_async_context(proxy)
                self.proxies[upstream.upstream_id] = proxy
                self._put_list_entry(upstream, "ready")
            self.publish()
            for row in self.gateways:
                row.proxy = fault_proxy.FaultProxy(f"127.0.0.1:{server.port}")
                await stack.enter_async_context(row.proxy)
                row.spare_proxy = fault_proxy.FaultProxy(
                    f"127.0.0.1:{server.port}"
                )
                await stack.enter_async_context(row.spare_proxy)
                row.write_settings()
                row.start()
                stack.callback(row.kill)
            readiness_watcher = asyncio.ensure_future(
                soak_callers.watch_readiness(
                    {
                        row.caller_address: row.ready_address
                        for row in self.gateways
                    },
                    self.rotation,
                )
            )
            stack.callback(readiness_watcher.cancel)
            await self.wait_all_ready()
            yield

    async def wait_all_ready(self) -> None:
        """Waits until each gateway is ready.

        Raises:
            TimeoutError: A gateway isn't ready after START_TIMEOUT_S.
        """
        async with asyncio.timeout(START_TIMEOUT_S):
            while True:
                rows = [
                    await soak_callers.is_ready(row.ready_address)
                    for row in self.gateways
                ]
                if all(rows):
                    return
                await asyncio.sleep(0.05)

    def _put_list_entry(
        self, upstream: upstream_http.Upstream, state: str | None
    ) -> None:
        entry: dict[str, Any] | None = None
        if state is not None:
            entry = {
                "service": "engines" if upstream.streams else "plain",
                # A proxy accepts connections also while its engine is down.
                "address": upstream.address
                if self._is_direct
                else self.proxies[upstream.upstream_id].address,
                "zone": self.data_centre(upstream),
                "version": "v1",
                "slots": 8,
                "state": state,
                "cold_left_ms": 0,
                "seq_no": 1,
                "born": upstream.started_at_ms,
            }
        self.store.put("keyed.servers", upstream.upstream_id, entry)

    def data_centre(self, upstream: upstream_http.Upstream) -> str:
        """Returns the data centre of an upstream."""
        number = self.upstreams.index(upstream) % self.data_centres
        return f"dc-{1 + number}"

    async def evacuate(self, name: str, start_s: float, end_s: float) -> None:
        """Evacuates a data centre for a while."""
        await asyncio.sleep(start_s)
        self.store.put("keyed.op", EVACUATION_KEY + name, {})
        self._record_evacuations()
        await asyncio.sleep(end_s - start_s)
        while self.store.fault:
            # The operator repeats a write that the store has refused.
            await asyncio.sleep(0.05)
        self.store.put("keyed.op", EVACUATION_KEY + name, None)
        self._record_evacuations()

    def _record_evacuations(self) -> None:
        """Records which evacuations the store has from now on."""
        now = asyncio.get_running_loop().time()
        written = {
            key.removeprefix(EVACUATION_KEY)
            for key in self.store.topic("keyed.op").newest
            if key.startswith(EVACUATION_KEY)
        }
        current = [
            row for row in self.run_ledger.evacuations if row.ended_s > now
        ]
        for row in current:
            if row.data_centre not in written:
                row.ended_s = now
        known = {row.data_centre for row in current}
        self.run_ledger.evacuations += [
            ledger.Evacuation(name, now) for name in sorted(written - known)
        ]

    def record_placements(self) -> None:
        """Records which gateways' requests have reached which data centre."""
        centres = {
            upstream.upstream_id: self.data_centre(upstream)
            for upstream in self.upstreams
        }
        gateways = {
            attempt.request_id: attempt.gateway
            for attempts in self.run_ledger.requests
            for attempt in attempts
        }
        self.run_ledger.placements += [
            ledger.Placement(
                gateways[row.request_id],
                row.upstream_id,
                centres[row.upstream_id],
                row.at_s,
                "request",
                row.request_id,
            )
            for row in self.run_ledger.deliveries
            if row.request_id in gateways
        ]

    @contextlib.contextmanager
    def _out_of_touch(self, gateway: str = "") -> Iterator[None]:
        """Records that a gateway, or all, can't learn what the store has."""
        loop = asyncio.get_running_loop()
        start_s = loop.time()
        yield
        self.run_ledger.out_of_touch.append(
            ledger.OutOfTouch(gateway, start_s, loop.time())
        )

    def publish(self) -> None:
        """Publishes the next configuration version, which adds a route."""
        self._version += 1
        routes = [
            {
                "name": kind.name,
                "host": "fleet.example",
                "path_prefix": f"/{kind.name}/",
                "kind": kind.route_kind,
                "timeout_ms": (self.route_timeout_s or kind.timeout_s) * 1000,
                "target_latency_ms": 500,
                "gap_target_ms": 250,
                "service": (
                    "engines" if kind.route_kind == "stream" else "plain"
                ),
                "max_attempts": kind.max_attempts,
                "resumable": kind.route_kind == "stream",
            }
            for kind in soak_callers.KINDS
        ]
        routes.append(routes[-1] | {"path_prefix": f"/new-{self._version}/"})
        routes += [
            routes[-1] | {"path_prefix": f"/spare-{number}/"}
            for number in range(self.spare_routes)
        ]
        teams = [{"name": "team-1", "api_keys": ["key-1"]}]
        teams += [
            {"name": f"spare-{number}", "api_keys": [f"spare-key-{number}"]}
            for number in range(self.spare_teams)
        ]
        limits = {}
        if self.idle_timeout_s is not None:
            limits["idle_timeout_ms"] = self.idle_timeout_s * 1000
        engine = {
            "slots": 8,
            "kv_capacity": 315_000,
            "step_ms": 0.6,
            "read_per_s": 177_000.0,
            "pairs_per_m": 0.184,
            "chunk": 2048,
            "stride": 51,
        }
        self.store.put(
            "keyed.op",
            "config",
            {
                "version": self._version,
                "routes": routes,
                "services": [
                    {"name": "engines", "engine": engine},
                    {"name": "plain"},
                ],
                "tenants": teams,
                "limits": limits,
            },
        )

    async def send_requests(
        self,
        length_s: float,
        prompts: Sequence[tuple[str, ...]] = ((),) * CALLER_COUNT,
        repeated: Sequence[bytes] = (),
        caller_class: type[soak_callers.Caller] = soak_callers.Caller,
    ) -> None:
        """Lets callers send requests, one at a time each.

        Args:
            length_s: Duration of the traffic.
            prompts: Shared parts of each caller's prompts.
            repeated: Bodies of further callers that repeat one request each.
            caller_class: Behaviour of the callers.
        """
        deadline = asyncio.get_running_loop().time() + length_s
        rows = [(parts, b"") for parts in prompts]
        rows += [((), body) for body in repeated]
        await asyncio.gather(
            *(
                caller_class(
                    f"caller-{n}",
                    self.run_ledger,
                    self.rotation,
                    random.Random(n),
                    shared_parts,
                    body,
                ).run(deadline)
                for n, (shared_parts, body) in enumerate(rows)
            )
        )

    async def inject(self, faults: list[Fault]) -> None:
        """Injects faults at their start times; waits until all have ended."""
        loop = asyncio.get_running_loop()
        start = loop.time()
        running = []
        for fault in faults:
            await asyncio.sleep(max(start + fault.at_s - loop.time(), 0))
            running.append(asyncio.ensure_future(self._inject_one(fault)))
        await asyncio.gather(*running)

    async def _inject_one(self, fault: Fault) -> None:
        await getattr(self, f"_{fault.kind}")(fault.duration_s)

    def _any_gateway(self) -> _GatewayProcess:
        return self._rng.choice(self.gateways)

    def _any_upstream(self) -> upstream_http.Upstream:
        return self._rng.choice(self.upstreams)

    def _any_proxy(self) -> fault_proxy.FaultProxy:
        return self._rng.choice(list(self.proxies.values()))

    async def _kill(self, duration_s: float) -> None:
        await self._kill_and_restart([self._any_gateway()], duration_s)

    async def _kill_all(self, duration_s: float) -> None:
        await self._kill_and_restart(self.gateways, duration_s)

    async def _pause(self, duration_s: float) -> None:
        row = self._any_gateway()
        row.signal(signal.SIGSTOP)
        with self._out_of_touch(row.caller_address):
            await self._disturb([row], duration_s)
        row.signal(signal.SIGCONT)

    async def _hup(self, _duration_s: float) -> None:
        row = self._any_gateway()
        row.budget_slack += 1
        row.write_settings()
        row.signal(signal.SIGHUP)

    async def _move_store(self, _duration_s: float) -> None:
        """Changes the store's address in the settings of all gateways."""
        for row in self.gateways:
            row.proxy, row.spare_proxy = row.spare_proxy, row.proxy
            row.write_settings()
            row.signal(signal.SIGHUP)

    async def _silence(self, duration_s: float) -> None:
        """Lets upstreams fall silent for a while, and then go on."""
        loop = asyncio.get_running_loop()
        silent = self._rng.sample(self.upstreams, self._rng.randint(1, 3))
        for upstream in silent:
            upstream.silent_until = loop.time() + min(duration_s, MAX_SILENCE_S)
            upstream.is_full = self._rng.random() < FULL_SHARE
        await asyncio.sleep(min(duration_s, MAX_SILENCE_S))
        for upstream in silent:
            upstream.is_full = False

    async def _new_config(self, _duration_s: float) -> None:
        self.publish()

    async def _change_idle(self, _duration_s: float) -> None:
        """Changes the idle time of callers' connections."""
        self.idle_timeout_s = self._rng.choice(KEPT_IDLE_S)
        self.publish()

    async def _hold_up(self, _duration_s: float) -> None:
        """Holds a gateway up, as a long computation of its own would."""
        row = self._any_gateway()
        for _ in range(HOLD_UPS):
            row.signal(signal.SIGSTOP)
            await asyncio.sleep(self._rng.uniform(0.0, MAX_HOLD_UP_S))
            row.signal(signal.SIGCONT)
            await asyncio.sleep(self._rng.uniform(0.0, MAX_HOLD_UP_S))

    async def _store_forgets(self, _duration_s: float) -> None:
        for topic in ("keyed.op", "keyed.servers"):
            self.store.topic(topic).compact()

    async def _store_restored(self, duration_s: float) -> None:
        """The store loses seconds; what is lost is written again, unordered."""
        self.store.fault = "busy"
        with self._out_of_touch():
            await asyncio.sleep(duration_s)
        lost_s = duration_s + self._rng.uniform(*RETURN_LOST_S)
        lost = self.store.restore(lost_s)
        self.store.fault = ""
        self._record_evacuations()
        for name in ("keyed.op", "keyed.servers"):
            topic = self.store.topic(name)
            copied = dict(topic.newest)
            values = list(dict(lost.get(name, [])).items())
            self._rng.shuffle(values)
            for key, value in values:
                if topic.newest.get(key) == copied.get(key):
                    topic.append(key, value)
                    self.store.notify()
                    self._record_evacuations()
                await asyncio.sleep(self._rng.uniform(0.0, RETURN_PAUSE_S))

    async def _store_busy(self, duration_s: float) -> None:
        await self._set_store_fault("busy", duration_s)

    async def _store_slow(self, duration_s: float) -> None:
        await self._set_store_fault("slow", duration_s)

    async def _store_lost(self, duration_s: float) -> None:
        await self._set_store_fault("lost", duration_s)

    async def _store_silent(self, duration_s: float) -> None:
        await self._set_store_fault("silent", duration_s)

    async def _set_store_fault(self, fault: str, duration_s: float) -> None:
        self.store.fault = fault
        with self._out_of_touch():
            await asyncio.sleep(duration_s)
        self.store.fault = ""

    async def _cut_store(self, duration_s: float) -> None:
        proxy = self._any_gateway().proxy
        assert proxy is not None
        await self._set_proxy_mode(proxy, "silent", duration_s)

    async def _cut_upstream(self, duration_s: float) -> None:
        mode = self._rng.choice(("silent", "no_requests", "no_answers"))
        await self._set_proxy_mode(self._any_proxy(), mode, duration_s)

    async def _delay_upstream(self, duration_s: float) -> None:
        await self._set_proxy_mode(self._any_proxy(), "delay", duration_s)

    async def _reset_upstream(self, _duration_s: float) -> None:
        self._any_proxy().reset()

    async def _crash_upstream(self, duration_s: float) -> None:
        upstream = self._any_upstream()
        upstream.crash()
        await asyncio.sleep(duration_s)
        upstream.started_at_ms += 1
        await upstream.start()
        self._put_list_entry(upstream, "ready")

    async def _lost_answers(self, duration_s: float) -> None:
        upstream = self._any_upstream()
        upstream.answer_loss_rate = 0.3
        await asyncio.sleep(duration_s)
        upstream.answer_loss_rate = 0.0

    async def _drain(self, _duration_s: float) -> None:
        """Drains an upstream, unless it is the last ready one of a service."""
        upstream = self._any_upstream()
        others = [
            other
            for other in self.upstreams
            if other.streams == upstream.streams
            and other is not upstream
            and other not in self._draining
        ]
        if upstream in self._draining or not others:
            return
        self._draining.add(upstream)
        self._put_list_entry(upstream, "draining")
        await asyncio.sleep(DRAIN_DURATION_S)
        upstream.started_at_ms += 1
        self._put_list_entry(upstream, "ready")
        self._draining.discard(upstream)

    def drain_last_upstream(self) -> str:
        """Drains the last upstream for good; returns its id."""
        upstream = self.upstreams[-1]
        self._draining.add(upstream)
        self._put_list_entry(upstream, "draining")
        return upstream.upstream_id

    async def _leave(self, duration_s: float) -> None:
        """An upstream says that it leaves; it may be listed so, or never."""
        upstream = self._any_upstream()
        others = [
            other
            for other in self.upstreams
            if other.streams == upstream.streams
            and other is not upstream
            and not other.is_leaving
        ]
        if not others or upstream.is_leaving:
            return
        upstream.is_leaving = True
        await asyncio.sleep(duration_s)
        if self._rng.random() < 0.5:
            self._put_list_entry(upstream, "draining")
        await asyncio.sleep(DRAIN_DURATION_S)
        upstream.is_leaving = False
        upstream.started_at_ms += 1
        self._put_list_entry(upstream, "ready")

    async def _turn_away(self, _duration_s: float) -> None:
        """An upstream turns all requests away for a time, and says so."""
        upstream = self._any_upstream()
        wait_s = self._rng.choice(NOTICE_TIMES_S)
        upstream.refuses_until = asyncio.get_running_loop().time() + wait_s
        await asyncio.sleep(wait_s)

    async def _set_proxy_mode(
        self, proxy: fault_proxy.FaultProxy, mode: Any, duration_s: float
    ) -> None:
        proxy.mode = mode
        await asyncio.sleep(duration_s)
        proxy.mode = "pass"

    async def _kill_and_restart(
        self, rows: list[_GatewayProcess], pause_s: float
    ) -> None:
        for row in rows:
            row.signal(signal.SIGKILL)
        await self._disturb(rows, pause_s / 3)
        for row in rows:
            await row.wait_exit(2.0)
            if row.popen is not None and row.popen.poll() is not None:
                row.start()
        await self._disturb(rows, 0.0)

    async def _disturb(
        self, rows: list[_GatewayProcess], duration_s: float
    ) -> None:
        """Waits, and records that gateways are disturbed meanwhile."""
        loop = asyncio.get_running_loop()
        end = loop.time() + duration_s
        while True:
            now = loop.time()
            self.run_ledger.disturbed += [
                (row.caller_address, now) for row in rows
            ]
            if now >= end:
                return
            await asyncio.sleep(min(end - now, SETTLE_S / 2))

    def crash_by_prompts(
        self, *, framed: bool, bodies: frozenset[bytes] = frozenset()
    ) -> None:
        """Lets prompts with the part "bad", or with a body, crash engines."""
        for upstream in self.upstreams:
            upstream.crashing_parts = frozenset(("bad",))
            upstream.crashing_bodies = bodies
            upstream.frames_answers = framed
            upstream.on_prompt_crash = self._on_prompt_crash

    def _on_prompt_crash(
        self, upstream: upstream_http.Upstream, part: str
    ) -> None:
        now = asyncio.get_running_loop().time()
        self.run_ledger.prompt_crashes.setdefault(part, []).append(now)
        task = asyncio.ensure_future(self._replace(upstream))
        self._restarts.add(task)
        task.add_done_callback(self._restarts.discard)

    async def _replace(self, upstream: upstream_http.Upstream) -> None:
        """Starts an engine again, under another id at the same address."""
        await asyncio.sleep(PROMPT_RESTART_S)
        ended_id = upstream.upstream_id
        self.store.put("keyed.servers", ended_id, None)
        upstream.upstream_id = f"{ended_id}x"
        self.proxies[upstream.upstream_id] = self.proxies[ended_id]
        await upstream.start()
        self._put_list_entry(upstream, "ready")

    async def _term(self, _duration_s: float) -> None:
        """Stops a gateway with SIGTERM and starts it again."""
        await self._stop(self._any_gateway())

    async def _roll(self, duration_s: float) -> None:
        """Stops and starts all gateways, one shortly after the other."""
        stops = []
        for row in self.gateways:
            stops.append(asyncio.ensure_future(self._stop(row)))
            await asyncio.sleep(duration_s / 2)
        await asyncio.gather(*stops)

    async def _stop(self, row: _GatewayProcess) -> None:
        if row.stopping or row.popen is None or row.popen.poll() is not None:
            return
        row.stopping = True
        await self._disturb([row], 0.0)
        popen = row.popen
        counted = await soak_callers.is_ready(row.ready_address)
        now = asyncio.get_running_loop().time()
        self.run_ledger.stops.append((row.caller_address, now))
        row.signal(signal.SIGTERM)
        check = asyncio.ensure_future(self._check_ready_late(row, counted, now))
        ends_in_time = await row.wait_exit(row.grace_s + 1.0)
        check.cancel()
        if not ends_in_time:
            self.problems.append(
                f"gateway {row.number} exceeded its grace period"
            )
            row.kill()
        elif popen.returncode not in (0, -signal.SIGKILL) and (
            # The signal may come before a starting process can handle it.
            counted or popen.returncode != -signal.SIGTERM
        ):
            self.problems.append(
                f"gateway {row.number} exited with {popen.returncode}"
            )
        await asyncio.sleep(row.start_pause_s)
        row.stopping = False
        if row.popen is popen:
            row.start()
            await self._disturb([row], 0.0)

    async def _check_ready_late(
        self, row: _GatewayProcess, counted: bool, stopped_s: float
    ) -> None:
        """Records whether a gateway is ready some time after its signal."""
        await asyncio.sleep(ledger.READY_CHECK_AFTER_S)
        self.run_ledger.stop_checks.append(
            ledger.StopCheck(
                row.caller_address,
                stopped_s,
                counted,
                await soak_callers.is_ready(row.ready_address),
            )
        )

    async def check_configuration(self) -> None:
        """Checks that a new version is in force in time at each gateway."""
        self.publish()
        await asyncio.sleep(MAX_CONFIG_DELAY_S)
        for row in self.gateways:
            status = await _probe_status(
                row.caller_address, f"/new-{self._version}/1"
            )
            if status in (401, 404):
                self.problems.append(
                    f"CONFIG gateway {row.number}: {status} for a new route"
                )

    def forget_probes(self) -> None:
        """Removes the runs of the checks of the configuration."""
        self.run_ledger.runs = [
            run for run in self.run_ledger.runs if run.request_id != PROBE_ID
        ]


async def _probe_status(address: str, target: str) -> int:
    """Sends a probe request; returns the status of the response."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(
        f"POST {target} HTTP/1.1\r\nHost: fleet.example\r\n"
        f"Apricottrestle-Attempt-Id: {PROBE_ID}\r\n"
        "Authorization: Bearer key-1\r\nContent-Length: 0\r\n\r\n".encode()
    )
    line = await reader.readline()
    writer.close()
    return int(line.split(b" ")[1])


def _free_ports(count: int) -> list[int]:
    """Returns distinct ports that are free on the first gateway's address."""
    with contextlib.ExitStack() as stack:
        ports: list[int] = []
        while len(ports) < count:
            first = stack.enter_context(socket.socket())
            first.bind((_ip(0), 0))
            ports.append(first.getsockname()[1])
        return ports


async def run_seed(seed: int, directory: pathlib.Path) -> list[str]:
    """Does the run of a seed; returns the problems that were found."""
    rng = random.Random(seed + 1)
    fleet = Fleet(directory, rng)
    faults = generate_faults(seed, TRAFFIC_S)
    async with fleet.running():
        await asyncio.gather(
            fleet.inject(faults), fleet.send_requests(TRAFFIC_S)
        )
        await fleet.wait_all_ready()
        await fleet.check_configuration()
    fleet.forget_probes()
    problems = fleet.problems + ledger.find_violations(fleet.run_ledger)
    problems += _check_served(fleet.run_ledger, planned=seed % 3 == 0)
    return problems


async def run_prompt_seed(seed: int, directory: pathlib.Path) -> list[str]:
    """Does a run with prompts that crash engines; returns its problems.

    In each second run, answers have no length.
    """
    rng = random.Random(seed + 1)
    fleet = Fleet(directory, rng, PROMPT_ENGINES)
    fleet.crash_by_prompts(framed=seed % 2 == 0)
    faults = generate_faults(seed, PROMPT_TRAFFIC_S, PROMPT_FAULTS)
    prompts = [("first",)] * 8 + [("first", "bad")] * 3
    async with fleet.running():
        await asyncio.gather(
            fleet.inject(faults), fleet.send_requests(PROMPT_TRAFFIC_S, prompts)
        )
    problems = fleet.problems + ledger.find_violations(fleet.run_ledger)
    problems += ledger.find_prompt_violations(fleet.run_ledger, SETTLE_S)
    if not fleet.run_ledger.prompt_crashes:
        problems.append("no prompt crashed an engine")
    return problems


async def run_deadly_seed(seed: int, directory: pathlib.Path) -> list[str]:
    """Does a run with a request that crashes engines; returns its problems.

    Two callers repeat it, and one a sound request.
    """
    rng = random.Random(seed + 1)
    fleet = Fleet(directory, rng, PROMPT_ENGINES)
    fleet.crash_by_prompts(framed=seed % 2 == 0, bodies=frozenset((b"deadly",)))
    faults = generate_faults(seed, PROMPT_TRAFFIC_S, PROMPT_FAULTS)
    async with fleet.running():
        await asyncio.gather(
            fleet.inject(faults),
            fleet.send_requests(
                PROMPT_TRAFFIC_S,
                ((),) * CALLER_COUNT,
                (b"deadly", b"deadly", b"steady"),
            ),
        )
    problems = fleet.problems + ledger.find_violations(fleet.run_ledger)
    problems += ledger.find_request_violations(fleet.run_ledger, SETTLE_S)
    problems += _check_served(fleet.run_ledger, planned=False)
    if not fleet.run_ledger.prompt_crashes:
        problems.append("no request crashed an engine")
    return problems


async def run_return_seed(seed: int, directory: pathlib.Path) -> list[str]:
    """Does a run with returns of the store; returns its problems."""
    rng = random.Random(seed + 1)
    fleet = Fleet(directory, rng)
    faults = generate_faults(seed, TRAFFIC_S, RETURN_FAULTS)
    faults += [
        Fault(
            rng.uniform(0.5, TRAFFIC_S * 0.8),
            "store_restored",
            rng.uniform(0.0, 1.5),
        )
        for _ in range(RETURNS)
    ]
    async with fleet.running():
        await asyncio.gather(
            fleet.inject(sorted(faults)), fleet.send_requests(TRAFFIC_S)
        )
        await fleet.wait_all_ready()
        # A read that the store left without an answer may still be open.
        await asyncio.sleep(SETTLE_S)
        await fleet.check_configuration()
    fleet.forget_probes()
    problems = fleet.problems + ledger.find_violations(fleet.run_ledger)
    problems += _check_served(fleet.run_ledger, planned=False)
    if fleet.store.history == 1:
        problems.append("the store did not come back from a copy")
    return problems


async def run_stop_seed(seed: int, directory: pathlib.Path) -> list[str]:
    """Does a run with series of stops of all gateways; returns its problems."""
    rng = random.Random(seed + 1)
    fleet = Fleet(directory, rng)
    for row in fleet.gateways:
        row.grace_s = STOP_GRACE_S
        row.start_pause_s = STOP_PAUSE_S
    faults = generate_faults(seed, STOP_TRAFFIC_S, STOP_FAULTS)
    faults += [
        Fault(
            rng.uniform(0.5, STOP_TRAFFIC_S * 0.8),
            "roll",
            rng.uniform(0.3, 2.5),
        )
        for _ in range(STOP_ROLLS)
    ]
    async with fleet.running():
        await asyncio.gather(
            fleet.inject(sorted(faults)), fleet.send_requests(STOP_TRAFFIC_S)
        )
    problems = fleet.problems + ledger.find_violations(fleet.run_ledger)
    problems += ledger.find_cut_requests(fleet.run_ledger, STOP_GRACE_S)
    problems += _check_served(fleet.run_ledger, planned=False)
    return problems


async def run_planned_seed(seed: int, directory: pathlib.Path) -> list[str]:
    """Does a run with planned work and silent upstreams; returns its problems.

    No answer may end early, as nothing fails.
    """
    rng = random.Random(seed + 1)
    fleet = Fleet(directory, rng)
    for row in fleet.gateways:
        row.grace_s = STOP_GRACE_S
        row.start_pause_s = STOP_PAUSE_S
    faults = generate_faults(seed, PLANNED_TRAFFIC_S, PLANNED_FAULTS)
    faults += [
        Fault(rng.uniform(0.5, PLANNED_TRAFFIC_S * 0.7), kind, 1.0)
        for kind in ("silence", "move_store")
    ]
    async with fleet.running():
        await asyncio.gather(
            fleet.inject(sorted(faults)),
            fleet.send_requests(PLANNED_TRAFFIC_S),
        )
        await fleet.wait_all_ready()
        await fleet.check_configuration()
    fleet.forget_probes()
    problems = fleet.problems + ledger.find_violations(fleet.run_ledger)
    problems += ledger.find_cut_requests(fleet.run_ledger, STOP_GRACE_S)
    problems += ledger.find_unanswered_requests(fleet.run_ledger, STOP_GRACE_S)
    problems += ledger.find_ended_answers(fleet.run_ledger, STOP_GRACE_S)
    problems += _check_served(fleet.run_ledger, planned=False)
    return problems


async def run_kept_seed(seed: int, directory: pathlib.Path) -> list[str]:
    """Does a run with callers that come back at the idle time.

    Gateways are stopped, reloaded and held up meanwhile, and the idle time
    changes; no request that has been read may end without an answer.
    """
    rng = random.Random(seed + 1)
    fleet = Fleet(directory, rng)
    fleet.idle_timeout_s = soak_callers.ReturningCaller.idle_s
    for row in fleet.gateways:
        row.grace_s = STOP_GRACE_S
        row.start_pause_s = STOP_PAUSE_S
    faults = generate_faults(seed, KEPT_TRAFFIC_S, KEPT_FAULTS)
    faults += [
        Fault(rng.uniform(0.5, KEPT_TRAFFIC_S * 0.7), kind, 1.0)
        for kind in ("change_idle", "hold_up", "term")
    ]
    async with fleet.running():
        await asyncio.gather(
            fleet.inject(sorted(faults)),
            fleet.send_requests(
                KEPT_TRAFFIC_S,
                ((),) * KEPT_CALLERS,
                caller_class=soak_callers.ReturningCaller,
            ),
        )
        await fleet.wait_all_ready()
    problems = fleet.problems + ledger.find_violations(fleet.run_ledger)
    problems += ledger.find_dropped_requests(fleet.run_ledger)
    problems += _check_served(fleet.run_ledger, planned=False)
    return problems


async def run_notice_seed(seed: int, directory: pathlib.Path) -> list[str]:
    """Does a run with upstreams that say something of themselves."""
    rng = random.Random(seed + 1)
    fleet = Fleet(directory, rng)
    faults = generate_faults(seed, NOTICE_TRAFFIC_S, NOTICE_FAULTS)
    faults += [
        Fault(rng.uniform(0.5, NOTICE_TRAFFIC_S * 0.6), kind, 1.0)
        for kind in ("leave", "turn_away")
    ]
    async with fleet.running():
        await asyncio.gather(
            fleet.inject(sorted(faults)), fleet.send_requests(NOTICE_TRAFFIC_S)
        )
    problems = fleet.problems + ledger.find_violations(fleet.run_ledger)
    problems += ledger.find_notice_violations(
        fleet.run_ledger, DRAIN_S, SETTLE_S
    )
    problems += _check_served(fleet.run_ledger, planned=False)
    return problems


async def run_evacuation_seed(seed: int, directory: pathlib.Path) -> list[str]:
    """Does a run with evacuated data centres; returns its problems."""
    rng = random.Random(seed + 1)
    fleet = Fleet(directory, rng)
    fleet.data_centres = 2
    faults = generate_faults(seed, EVACUATION_TRAFFIC_S, EVACUATION_FAULTS)
    async with fleet.running():
        await asyncio.gather(
            fleet.inject(faults),
            *(fleet.evacuate(*evacuation) for evacuation in EVACUATIONS),
            fleet.send_requests(EVACUATION_TRAFFIC_S),
        )
    fleet.record_placements()
    problems = fleet.problems + ledger.find_violations(fleet.run_ledger)
    problems += ledger.find_evacuation_violations(fleet.run_ledger, EVACUATE_S)
    problems += _check_served(fleet.run_ledger, planned=False)
    problems += [
        f"{name} got nothing outside its evacuation"
        for name, _, _ in EVACUATIONS
        if not any(
            row.data_centre == name for row in fleet.run_ledger.placements
        )
    ]
    return problems


async def run_limit_seed(seed: int, directory: pathlib.Path) -> list[str]:
    """Does a run with upstreams that name a limit; returns its problems.

    All but one of the engines and of the plain upstreams name it.
    """
    rng = random.Random(seed + 1)
    fleet = Fleet(directory, rng)
    faults = generate_faults(seed, PROMPT_TRAFFIC_S, LIMIT_FAULTS)

    async def name_limit() -> None:
        limited = [*fleet.upstreams[1:ENGINE_COUNT], fleet.upstreams[-1]]
        await asyncio.sleep(LIMIT_AT_S)
        period = ledger.LimitPeriod(
            LIMIT_PER_S, [upstream.upstream_id for upstream in limited]
        )
        fleet.run_ledger.limits.append(period)
        for upstream in limited:
            upstream.limit_per_s = LIMIT_PER_S
        await asyncio.sleep(LIMIT_ENDS_AT_S - LIMIT_AT_S)
        period.ended_s = asyncio.get_running_loop().time()
        for upstream in limited:
            upstream.limit_per_s = None

    async with fleet.running():
        await asyncio.gather(
            fleet.inject(faults),
            name_limit(),
            fleet.send_requests(PROMPT_TRAFFIC_S),
        )
    problems = fleet.problems + ledger.find_violations(fleet.run_ledger)
    problems += ledger.find_limit_violations(fleet.run_ledger, SETTLE_S)
    period = fleet.run_ledger.limits[0]
    if not any(
        delivery.upstream_id in period.named_s
        and delivery.at_s > period.ended_s
        for delivery in fleet.run_ledger.deliveries
    ):
        problems.append("limited upstreams got nothing after the limit's end")
    return problems


def _check_served(run_ledger: ledger.Ledger, *, planned: bool) -> list[str]:
    """Returns requests that failed during planned operations.

    With unplanned faults, requests may fail; it is a problem only if at most a
    quarter of them were served.
    """
    if not run_ledger.requests:
        return ["no request was sent"]
    served = sum(
        any(attempt.complete for attempt in attempts)
        for attempts in run_ledger.requests
    )
    if not planned:
        return (
            []
            if served > len(run_ledger.requests) / 4
            else ["hardly any service"]
        )
    return [
        f"LOST {attempt.request_id} ({attempt.arrival.kind.name}): status "
        f"{attempt.status}, broken {attempt.broken}, "
        f"disconnected {attempt.disconnected}"
        for attempts in run_ledger.requests
        for attempt in attempts[-1:]
        if not attempt.complete
    ]


def main() -> int:
    """Runs the command line; returns 1 if a run had problems."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=50)
    parser.add_argument("--first", type=int, default=0)
    parser.add_argument(
        "--keep", type=pathlib.Path, help="directory to keep the logs in"
    )
    parser.add_argument(
        "--prompts",
        action="store_true",
        help="runs with prompts that crash engines",
    )
    parser.add_argument(
        "--deadly",
        action="store_true",
        help="runs with a request that crashes engines",
    )
    parser.add_argument(
        "--limits",
        action="store_true",
        help="runs with upstreams that name a limit of requests",
    )
    parser.add_argument(
        "--returns",
        action="store_true",
        help="runs with a store that comes back from an older copy",
    )
    parser.add_argument(
        "--notices",
        action="store_true",
        help="runs with upstreams that leave or turn requests away, and say so",
    )
    parser.add_argument(
        "--stops",
        action="store_true",
        help="runs with series of stops of all gateways",
    )
    parser.add_argument(
        "--planned",
        action="store_true",
        help="runs with planned work beside upstreams that fall silent",
    )
    parser.add_argument(
        "--kept",
        action="store_true",
        help="runs with callers that come back at the idle time",
    )
    parser.add_argument(
        "--evacuations",
        action="store_true",
        help="runs with evacuated data centres",
    )
    args = parser.parse_args()
    run, length_s = run_seed, TRAFFIC_S
    kinds: tuple[str, ...] = ()
    if args.prompts:
        run, length_s, kinds = run_prompt_seed, PROMPT_TRAFFIC_S, PROMPT_FAULTS
    elif args.deadly:
        run, length_s, kinds = run_deadly_seed, PROMPT_TRAFFIC_S, PROMPT_FAULTS
    elif args.limits:
        run, length_s, kinds = run_limit_seed, PROMPT_TRAFFIC_S, LIMIT_FAULTS
    elif args.returns:
        run, kinds = run_return_seed, RETURN_FAULTS
    elif args.notices:
        run, length_s, kinds = run_notice_seed, NOTICE_TRAFFIC_S, NOTICE_FAULTS
    elif args.stops:
        run, length_s, kinds = run_stop_seed, STOP_TRAFFIC_S, STOP_FAULTS
    elif args.planned:
        run, length_s = run_planned_seed, PLANNED_TRAFFIC_S
        kinds = PLANNED_FAULTS
    elif args.evacuations:
        run, length_s = run_evacuation_seed, EVACUATION_TRAFFIC_S
        kinds = EVACUATION_FAULTS
    elif args.kept:
        run, length_s, kinds = run_kept_seed, KEPT_TRAFFIC_S, KEPT_FAULTS
    failed = 0
    for seed in range(args.first, args.first + args.seeds):
        with tempfile.TemporaryDirectory() as temp:
            directory = pathlib.Path(temp)
            if args.keep is not None:
                directory = args.keep / str(seed)
                directory.mkdir(parents=True, exist_ok=True)
            problems = asyncio.run(run(seed, directory))
        failed += bool(problems)
        faults = [
            fault.kind for fault in generate_faults(seed, length_s, kinds)
        ]
        print(f"seed {seed}: {problems[:3] or 'ok'} {faults}", flush=True)
    print(f"{failed} of {args.seeds} runs failed")
    return min(failed, 1)


if __name__ == "__main__":
    sys.exit(main())
