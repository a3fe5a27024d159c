"""Fault soak: real gateway processes on loopback, with faults from outside.

`python -m apricottrestle_standins.platform.soak --seeds 50` plays days of some
seconds. Faults follow from the seed: signals, proxies, store troubles, crashes.
The checks see only what callers and upstreams saw. Ends only its own processes.
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
from collections.abc import AsyncIterator
from typing import Any, Final, NamedTuple

from apricottrestle.platform import names
from apricottrestle_standins.platform import (
    fault_proxy,
    ledger,
    soak_callers,
    store_http,
    upstream_http,
)

GATEWAYS: Final = 3
ENGINES: Final = 3
PLAIN: Final = 2
CALLERS: Final = 10
GRACE_S: Final = 5.0
DAY_S: Final = 7.0
START_S: Final = 20.0
DRAIN_S: Final = 2.5
CONFIG_S: Final = 2.0
"""Time within which a configuration is in force, from the platform's pages."""

PROBE_ID: Final = "probe"
"""Id of the requests that show which configuration is in force."""

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


class Fault(NamedTuple):
    """A fault of a day: when, what, and for how long."""

    at_s: float
    kind: str
    for_s: float


def draw(seed: int, length_s: float) -> list[Fault]:
    """Returns the faults of a seed; every third day has planned work only."""
    rng = random.Random(seed)
    kinds = PLANNED if seed % 3 == 0 else PLANNED + UNPLANNED
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
    """Returns a gateway's loopback address, unlike those of other soaks.

    Two soaks at a time would otherwise share the port of the metrics.
    """
    pid = os.getpid()
    return f"127.{1 + (pid >> 8) % 250}.{pid % 256}.{number + 1}"


class _Process:
    """A gateway process with its settings and its way to the store."""

    def __init__(
        self, number: int, ports: list[int], folder: pathlib.Path
    ) -> None:
        self.ip = _ip(number)
        self.number = number
        self.ports = ports
        self.settings = folder / f"gateway-{number}.toml"
        self.log = folder / f"gateway-{number}.log"
        self.proxy: fault_proxy.FaultProxy | None = None
        self.popen: subprocess.Popen[bytes] | None = None
        self.slack = 100
        self.stopping = False

    @property
    def callers(self) -> str:
        return f"{self.ip}:{self.ports[0]}"

    @property
    def ready(self) -> str:
        return f"{self.ip}:{self.ports[1]}"

    def write_settings(self) -> None:
        assert self.proxy is not None
        seeds = [f"{_ip(n)}:{self.ports[2]}" for n in range(GATEWAYS)]
        text = f"""
node = "gateway-{self.number}"
ip = "{self.ip}"
zone = "dc-1"
internal_port_range = [{self.ports[3]}, {self.ports[3] + 1}]
seeds = {seeds}
[listen]
front = "{self.callers}"
ready = "{self.ready}"
control = "{self.ip}:{self.ports[2]}"
[bounds]
grace_s = {GRACE_S}
drain_ms = 2000
retry_budget = 0.2
budget_window_s = 10
budget_slack = {self.slack}
free_ms = 4000
hold_max_ms = 20000
[platform]
address = "{self.proxy.address}"
"""
        fresh = self.settings.with_suffix(".new")
        fresh.write_text(text)
        fresh.replace(self.settings)

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

    async def until_ended(self, limit_s: float) -> bool:
        """Waits for the process's end; False when it takes longer."""
        loop = asyncio.get_running_loop()
        ends = loop.time() + limit_s
        while self.popen is not None and self.popen.poll() is None:
            if loop.time() > ends:
                return False
            await asyncio.sleep(0.02)
        return True

    def end(self) -> None:
        if self.popen is not None and self.popen.poll() is None:
            self.popen.kill()
            self.popen.wait()


class Fleet:
    """Store, upstreams, proxies and gateway processes of a day."""

    def __init__(self, folder: pathlib.Path, rng: random.Random) -> None:
        """Prepares the fleet."""
        self.book = ledger.Ledger()
        self.problems: list[str] = []
        self.rotation: list[str] = []
        self._rng = rng
        self._version = 1
        ports = _free_ports(4)
        self.gateways = [_Process(n, ports, folder) for n in range(GATEWAYS)]
        self.store = store_http.Store()
        self.upstreams = [
            upstream_http.Upstream(
                f"up-{n}", self.book, rng, streams=n < ENGINES
            )
            for n in range(ENGINES + PLAIN)
        ]
        self.proxies: dict[str, fault_proxy.FaultProxy] = {}
        self._draining: set[upstream_http.Upstream] = set()

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """Runs everything; the gateways are ready inside."""
        async with contextlib.AsyncExitStack() as stack:
            server = stack.enter_context(store_http.StoreServer(self.store))
            for upstream in self.upstreams:
                await stack.enter_async_context(upstream)
                proxy = fault_proxy.FaultProxy(upstream.address)
                await stack.enter_async_context(proxy)
                self.proxies[upstream.upstream_id] = proxy
                self._list(upstream, "ready")
            self.publish()
            for row in self.gateways:
                row.proxy = fault_proxy.FaultProxy(f"127.0.0.1:{server.port}")
                await stack.enter_async_context(row.proxy)
                row.write_settings()
                row.start()
                stack.callback(row.end)
            watch = asyncio.ensure_future(
                soak_callers.watch_readiness(
                    {row.callers: row.ready for row in self.gateways},
                    self.rotation,
                )
            )
            stack.callback(watch.cancel)
            await self.until_all_ready()
            yield

    async def until_all_ready(self) -> None:
        """Waits until each gateway is in rotation.

        Raises:
            TimeoutError: One doesn't become ready.
        """
        async with asyncio.timeout(START_S):
            while True:
                rows = [
                    await soak_callers.is_ready(row.ready)
                    for row in self.gateways
                ]
                if all(rows):
                    return
                await asyncio.sleep(0.05)

    def _list(
        self, upstream: upstream_http.Upstream, state: str | None
    ) -> None:
        entry: dict[str, Any] | None = None
        if state is not None:
            entry = {
                "service": "engines" if upstream.streams else "plain",
                "address": self.proxies[upstream.upstream_id].address,
                "zone": "dc-1",
                "state": state,
                "slots": 8,
                "born": upstream.started_at_ms,
            }
        self.store.put("keyed.servers", upstream.upstream_id, entry)

    def publish(self) -> None:
        """Publishes the next version, with a route of its own."""
        self._version += 1
        routes = [
            {
                "name": kind.name,
                "host": "fleet.example",
                "path_prefix": f"/{kind.name}/",
                "kind": kind.route_kind,
                "timeout_ms": kind.timeout_s * 1000,
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
                "tenants": [{"name": "team-1", "api_keys": ["key-1"]}],
            },
        )

    # Faults.

    async def inject(self, faults: list[Fault]) -> None:
        """Injects faults at their times and waits for their ends."""
        loop = asyncio.get_running_loop()
        start = loop.time()
        running = []
        for fault in faults:
            await asyncio.sleep(max(start + fault.at_s - loop.time(), 0))
            running.append(asyncio.ensure_future(self._fault(fault)))
        await asyncio.gather(*running)

    async def _fault(self, fault: Fault) -> None:
        await getattr(self, f"_{fault.kind}")(fault.for_s)

    def _any_gateway(self) -> _Process:
        return self._rng.choice(self.gateways)

    def _any_upstream(self) -> upstream_http.Upstream:
        return self._rng.choice(self.upstreams)

    def _any_proxy(self) -> fault_proxy.FaultProxy:
        return self._rng.choice(list(self.proxies.values()))

    async def _kill(self, for_s: float) -> None:
        await self._kill_rows([self._any_gateway()], for_s)

    async def _kill_all(self, for_s: float) -> None:
        await self._kill_rows(self.gateways, for_s)

    async def _pause(self, for_s: float) -> None:
        row = self._any_gateway()
        row.signal(signal.SIGSTOP)
        await asyncio.sleep(for_s)
        row.signal(signal.SIGCONT)

    async def _hup(self, _for_s: float) -> None:
        row = self._any_gateway()
        row.slack += 1
        row.write_settings()
        row.signal(signal.SIGHUP)

    async def _new_config(self, _for_s: float) -> None:
        self.publish()

    async def _store_forgets(self, _for_s: float) -> None:
        for topic in ("keyed.op", "keyed.servers"):
            self.store.topic(topic).forget()

    async def _store_busy(self, for_s: float) -> None:
        await self._trouble("busy", for_s)

    async def _store_slow(self, for_s: float) -> None:
        await self._trouble("slow", for_s)

    async def _store_lost(self, for_s: float) -> None:
        await self._trouble("lost", for_s)

    async def _store_silent(self, for_s: float) -> None:
        await self._trouble("silent", for_s)

    async def _trouble(self, trouble: str, for_s: float) -> None:
        self.store.trouble = trouble
        await asyncio.sleep(for_s)
        self.store.trouble = ""

    async def _cut_store(self, for_s: float) -> None:
        proxy = self._any_gateway().proxy
        assert proxy is not None
        await self._disturb(proxy, "silent", for_s)

    async def _cut_upstream(self, for_s: float) -> None:
        mode = self._rng.choice(("silent", "no_requests", "no_answers"))
        await self._disturb(self._any_proxy(), mode, for_s)

    async def _delay_upstream(self, for_s: float) -> None:
        await self._disturb(self._any_proxy(), "delay", for_s)

    async def _reset_upstream(self, _for_s: float) -> None:
        self._any_proxy().reset()

    async def _crash_upstream(self, for_s: float) -> None:
        upstream = self._any_upstream()
        upstream.crash()
        await asyncio.sleep(for_s)
        upstream.started_at_ms += 1
        await upstream.start()
        self._list(upstream, "ready")

    async def _lost_answers(self, for_s: float) -> None:
        upstream = self._any_upstream()
        upstream.lost_share = 0.3
        await asyncio.sleep(for_s)
        upstream.lost_share = 0.0

    async def _drain(self, _for_s: float) -> None:
        """Drains an upstream, unless it is the last ready one of its kind."""
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
        self._list(upstream, "draining")
        await asyncio.sleep(DRAIN_S)
        upstream.started_at_ms += 1
        self._list(upstream, "ready")
        self._draining.discard(upstream)

    async def _disturb(
        self, proxy: fault_proxy.FaultProxy, mode: Any, for_s: float
    ) -> None:
        proxy.mode = mode
        await asyncio.sleep(for_s)
        proxy.mode = "pass"

    async def _kill_rows(self, rows: list[_Process], pause_s: float) -> None:
        for row in rows:
            row.signal(signal.SIGKILL)
        await asyncio.sleep(pause_s / 3)
        for row in rows:
            await row.until_ended(2.0)
            if row.popen is not None and row.popen.poll() is not None:
                row.start()

    async def _term(self, _for_s: float) -> None:
        """Stops a gateway as planned and starts it again."""
        row = self._any_gateway()
        if row.stopping or row.popen is None or row.popen.poll() is not None:
            return
        row.stopping = True
        popen = row.popen
        row.signal(signal.SIGTERM)
        if not await row.until_ended(GRACE_S + 1.0):
            self.problems.append(f"gateway {row.number} outlived its grace")
            row.end()
        elif popen.returncode not in (0, -signal.SIGKILL):
            self.problems.append(
                f"gateway {row.number} ended with {popen.returncode}"
            )
        row.stopping = False
        if row.popen is popen:
            row.start()

    async def check_configuration(self) -> None:
        """Checks that a new version is in force at each gateway in time."""
        self.publish()
        await asyncio.sleep(CONFIG_S)
        for row in self.gateways:
            status = await _status(row.callers, f"/new-{self._version}/1")
            if status in (401, 404):
                self.problems.append(
                    f"CONFIG gateway {row.number}: {status} for a new route"
                )


async def _status(address: str, target: str) -> int:
    """Returns the status of a request that no upstream needs to run."""
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
    """Returns ports that are free on all of the gateways' addresses."""
    with contextlib.ExitStack() as stack:
        ports: list[int] = []
        while len(ports) < count:
            first = stack.enter_context(socket.socket())
            first.bind((_ip(0), 0))
            ports.append(first.getsockname()[1])
        return ports


async def play(seed: int, folder: pathlib.Path) -> list[str]:
    """Plays the day of a seed and returns what was broken."""
    rng = random.Random(seed + 1)
    fleet = Fleet(folder, rng)
    faults = draw(seed, DAY_S)
    async with fleet.running():
        loop = asyncio.get_running_loop()
        ends = loop.time() + DAY_S
        callers = [
            soak_callers.Caller(
                f"caller-{n}", fleet.book, fleet.rotation, random.Random(n)
            ).run(ends)
            for n in range(CALLERS)
        ]
        await asyncio.gather(fleet.inject(faults), *callers)
        await fleet.until_all_ready()
        await fleet.check_configuration()
    fleet.book.runs = [
        run for run in fleet.book.runs if run.request_id != PROBE_ID
    ]
    problems = fleet.problems + ledger.find_violations(fleet.book)
    problems += _unserved(fleet.book, planned=seed % 3 == 0)
    return problems


def _unserved(book: ledger.Ledger, *, planned: bool) -> list[str]:
    """Returns the requests that planned work cut, or a day without service."""
    if not book.requests:
        return ["no request was sent"]
    served = sum(
        any(attempt.complete for attempt in attempts)
        for attempts in book.requests
    )
    if not planned:
        # Faults may cost much, but a fleet that serves nothing is broken.
        return [] if served > len(book.requests) / 4 else ["hardly any service"]
    return [
        f"LOST {attempt.request_id} ({attempt.arrival.kind.name}): status "
        f"{attempt.status}, broken {attempt.broken}, left {attempt.left}"
        for attempts in book.requests
        for attempt in attempts[-1:]
        if not attempt.complete
    ]


def main() -> int:
    """Runs the command line; returns 1 when a day was broken."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=50)
    parser.add_argument("--first", type=int, default=0)
    parser.add_argument("--keep", type=pathlib.Path, help="folder for logs")
    args = parser.parse_args()
    bad = 0
    for seed in range(args.first, args.first + args.seeds):
        with tempfile.TemporaryDirectory() as temp:
            folder = pathlib.Path(temp)
            if args.keep is not None:
                folder = args.keep / str(seed)
                folder.mkdir(parents=True, exist_ok=True)
            problems = asyncio.run(play(seed, folder))
        bad += bool(problems)
        faults = [fault.kind for fault in draw(seed, DAY_S)]
        print(f"seed {seed}: {problems[:3] or 'ok'} {faults}", flush=True)
    print(f"{bad} of {args.seeds} days broken")
    return min(bad, 1)


if __name__ == "__main__":
    sys.exit(main())
