"""Tests that one gateway process stays within its memory and descriptors.

A crowd of callers, or upstreams, misbehaves while it keeps its connections
open. The crowds and bounds don't depend on the speed of the machine: no row
judges times, or how many of the crowd are served.
"""

import asyncio
import contextlib
import os
import pathlib
import random
import re
import socket
import subprocess
import sys
import time
from collections.abc import AsyncIterator, Callable
from typing import BinaryIO, Final

import pytest

from apricottrestle.platform import names
from apricottrestle_standins.platform import ledger, store_http, upstream_http
from tests import async_helpers, crowds

pytestmark = [pytest.mark.process, pytest.mark.alone]

MEMORY_MB: Final = 128
MAX_FDS: Final = 2_000
"""Limits in the settings of the gateway."""

MAX_RESIDENT_KB: Final = MEMORY_MB * 1000 * 9 // 10
"""Resident memory, in kB, that the process must not reach: a tenth is left."""

HANG_TIMEOUT_S: Final = 60.0
"""Limit for a hanging process; no row judges how long one takes."""

SETTLE_S: Final = 1.0
"""Time for which the crowd stays silent before the ordinary request."""

MIB: Final = 1024 * 1024
LARGEST: Final = 4 * MIB
ANSWER_BYTES: Final = 12 * MIB
EVENT_BYTES: Final = 255 * 1024
"""Part of an event, just below the limit of one."""

EVENT_SLOTS: Final = 90
"""Slots of the upstream that sends it: enough for as many calls as a gateway
has transfers at the same time."""

STREAMS: Final = ("queue", "events")
"""Routes of event streams."""

SLOTS: Final = 60
"""Slots of each plain upstream; a gateway leaves three calls outstanding for
each, which is below its number of concurrent transfers."""


def _short(
    body_bytes: int, *, chunked: bool = False, extra: bytes = b""
) -> Callable[[bool], bytes]:
    """Returns the maker of a request that lacks the last byte of its body."""
    return lambda has_key: crowds.make_request(
        "/order/1",
        body_bytes,
        has_key=has_key,
        chunked=chunked,
        missing=1,
        extra=extra,
    )


def _whole(
    path: str, body_bytes: int, extra: bytes = b""
) -> Callable[[bool], bytes]:
    return lambda has_key: crowds.make_request(
        path, body_bytes, has_key=has_key, extra=extra
    )


CROWDS: Final = {
    "bodies-65000-length": crowds.Crowd(1_500, _short(65_000)),
    "bodies-65000-chunked": crowds.Crowd(1_500, _short(65_000, chunked=True)),
    "bodies-65000-pieces": crowds.Crowd(1_500, _short(65_000), in_pieces=True),
    "bodies-64k-length": crowds.Crowd(1_500, _short(65_536)),
    "bodies-64k-chunked": crowds.Crowd(1_500, _short(65_536, chunked=True)),
    "bodies-64k-pieces": crowds.Crowd(1_500, _short(65_536), in_pieces=True),
    "bodies-largest-length": crowds.Crowd(60, _short(LARGEST)),
    "bodies-largest-chunked": crowds.Crowd(60, _short(LARGEST, chunked=True)),
    "bodies-largest-pieces": crowds.Crowd(60, _short(LARGEST), in_pieces=True),
    "heads-15k": crowds.Crowd(1_500, crowds.make_head(15_000)),
    "heads-15k-pieces": crowds.Crowd(
        1_500, crowds.make_head(15_000), in_pieces=True
    ),
    "heads-60k": crowds.Crowd(1_500, crowds.make_head(60_000)),
    "headers-16k": crowds.Crowd(
        400, _short(10, extra=crowds.many_headers(16_000))
    ),
    "headers-16k-chunked": crowds.Crowd(
        400, _short(10, chunked=True, extra=crowds.many_headers(16_000))
    ),
    "headers-16k-pieces": crowds.Crowd(
        400, _short(10, extra=crowds.many_headers(16_000)), in_pieces=True
    ),
    "headers-60k": crowds.Crowd(
        150, _short(10, extra=crowds.many_headers(60_000))
    ),
    "headers-16k-slow-upstream": crowds.Crowd(
        400, _whole("/slow/1", 10, crowds.many_headers(16_000))
    ),
    "headers-16k-full-engine": crowds.Crowd(
        400,
        _whole(
            "/queue/1",
            10,
            crowds.many_headers(16_000)
            + b"Apricottrestle-Token-Usage: 1000,9\r\n",
        ),
    ),
    "attempt-ids-15k-unread-log": crowds.Crowd(
        1_500,
        _whole(
            "/order/1",
            10,
            b"Apricottrestle-Attempt-Id: " + b"\xe9" * 15_000 + b"\r\n",
        ),
        reads_log=False,
    ),
    "no-bytes": crowds.Crowd(2_500, lambda _has_key: b""),
    "slow-upstream-1m": crowds.Crowd(150, _whole("/slow/1", MIB)),
    "slow-upstream-largest": crowds.Crowd(40, _whole("/slow/1", LARGEST)),
    "full-engine-64k": crowds.Crowd(
        1_500,
        _whole("/queue/1", 60_000, b"Apricottrestle-Token-Usage: 1000,9\r\n"),
    ),
    "unread-answers": crowds.Crowd(20, _whole("/large/1", 10)),
    "unfinished-events": crowds.Crowd(250, _whole("/events/1", 10)),
    "unread-uploads": crowds.Crowd(60, _whole("/deaf/1", LARGEST)),
}


class _DeafUpstream:
    """An upstream that accepts connections, and reads nothing."""

    def __init__(self) -> None:
        self.address = ""

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        writers: list[asyncio.StreamWriter] = []

        async def serve(
            _reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            writer.transport.pause_reading()  # type: ignore[attr-defined]
            writers.append(writer)

        server = await asyncio.start_server(serve, "127.0.0.1", 0, limit=1024)
        self.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        try:
            yield
        finally:
            server.close()
            for writer in writers:
                upstream_http.reset(writer)


class _EndlessEventUpstream:
    """An upstream whose stream is one event that doesn't end."""

    def __init__(self) -> None:
        self.address = ""

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        writers: list[asyncio.StreamWriter] = []

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            writers.append(writer)
            try:
                raw = await reader.readuntil(b"\r\n\r\n")
            except (asyncio.IncompleteReadError, ConnectionError):
                return
            head = raw.decode("latin-1")
            attempt = re.search(rf"(?i){names.REQUEST_ID}: (\S+)", head)
            assert attempt is not None
            writer.write(
                f"HTTP/1.1 200 OK\r\n{names.REQUEST_ID}: {attempt[1]}\r\n"
                f"{names.SERVER_SIGNATURE}: s\r\n"
                "Content-Type: text/event-stream\r\n\r\n"
                "id: 1\ndata: ".encode()
                + b"x" * EVENT_BYTES
            )

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        try:
            yield
        finally:
            server.close()
            for writer in writers:
                upstream_http.reset(writer)


def _ip() -> str:
    """Returns a loopback address of this process; the metrics' port is fixed.

    The fleets of other tests in the same process use the first addresses.
    """
    pid = os.getpid()
    return f"127.{1 + (pid >> 8) % 250}.{pid % 256}.201"


class _Gateway:
    """A gateway process with a store and upstreams; use `running`."""

    def __init__(
        self, directory: pathlib.Path, *, reads_log: bool = True
    ) -> None:
        self._directory = directory
        self._reads_log = reads_log
        self._ip = _ip()
        ports = self._free_ports(5)
        self._ready_port, self.caller_port = ports[0], ports[1]
        self._other_ports = ports[2:]
        self._process: subprocess.Popen[bytes] | None = None
        self._store = store_http.Store()

    def _free_ports(self, count: int) -> list[int]:
        with contextlib.ExitStack() as stack:
            socks = [stack.enter_context(socket.socket()) for _ in range(count)]
            for sock in socks:
                sock.bind((self._ip, 0))
            return [sock.getsockname()[1] for sock in socks]

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        async with contextlib.AsyncExitStack() as stack:
            server = stack.enter_context(store_http.StoreServer(self._store))
            await self._start_upstreams(stack)
            self._publish_config()
            settings = self._write_settings(server.port)
            log = self._open_log(stack)
            self._process = subprocess.Popen(
                [sys.executable, "-m", "apricottrestle.platform"],
                stdout=log,
                stderr=log,
                env={
                    "PYTHONPATH": os.pathsep.join(p for p in sys.path if p),
                    names.SETTINGS_FILE_VARIABLE: str(settings),
                },
            )
            stack.callback(self._process.wait)
            stack.callback(self._process.kill)
            await self._wait_ready()
            yield

    def _open_log(self, stack: contextlib.AsyncExitStack) -> BinaryIO:
        """Returns the output of the process; a pipe if nobody reads it."""
        if self._reads_log:
            return stack.enter_context(
                (self._directory / "gateway.log").open("wb")
            )
        read_fd, write_fd = os.pipe()
        stack.callback(os.close, read_fd)
        return stack.enter_context(open(write_fd, "wb"))

    async def _start_upstreams(self, stack: contextlib.AsyncExitStack) -> None:
        run_ledger, rng = ledger.Ledger(), random.Random(0)
        slots = {}
        for name, body_bytes, service_time_s in (
            ("good", 2, 0.0),
            ("slow", 2, 3_600.0),
            ("large", ANSWER_BYTES, 0.0),
        ):
            upstream = upstream_http.Upstream(
                f"up-{name}", run_ledger, rng, streams=False
            )
            upstream.body_bytes = body_bytes
            upstream.service_time_s = service_time_s
            await stack.enter_async_context(upstream)
            slots[name] = (upstream.address, SLOTS)
        deaf = _DeafUpstream()
        await stack.enter_async_context(deaf.running())
        slots["deaf"] = (deaf.address, SLOTS)
        slots["queue"] = (deaf.address, 1)
        endless = _EndlessEventUpstream()
        await stack.enter_async_context(endless.running())
        slots["events"] = (endless.address, EVENT_SLOTS)
        for name, (address, count) in slots.items():
            self._store.put(
                "keyed.servers",
                f"up-{name}",
                {
                    "service": name,
                    "address": address,
                    "zone": "dc-1",
                    "version": "v1",
                    "state": "ready",
                    "slots": count,
                    "cold_left_ms": 0,
                    "seq_no": 1,
                    "born": 1,
                },
            )

    def _publish_config(self) -> None:
        services = {
            "order": "good",
            "slow": "slow",
            "large": "large",
            "deaf": "deaf",
            "queue": "queue",
            "events": "events",
        }
        routes = [
            {
                "name": path,
                "host": "fleet.example",
                "path_prefix": f"/{path}/",
                "kind": "stream" if path in STREAMS else "unsafe",
                "timeout_ms": 30_000,
                "target_latency_ms": 20_000,
                "gap_target_ms": 20_000,
                "service": service,
                "max_attempts": 1,
                "resumable": False,
            }
            for path, service in services.items()
        ]
        engine = {
            "slots": 1,
            "kv_capacity": 315_000,
            "step_ms": 0.6,
            "read_per_s": 177_000.0,
            "pairs_per_m": 0.184,
            "chunk": 2048,
            "stride": 51,
        }
        config = {
            "version": 2,
            "routes": routes,
            "services": [
                {"name": name, "engine": engine}
                if name == "queue"
                else {"name": name}
                for name in sorted(services.values())
            ],
            "tenants": [{"name": "team-1", "api_keys": ["key-1"]}],
            "limits": {"max_header_bytes": 16_384, "max_body_bytes": LARGEST},
        }
        self._store.put("keyed.op", "config", config)

    def _write_settings(self, store_port: int) -> pathlib.Path:
        control, internal, _ = self._other_ports
        path = self._directory / "gateway.toml"
        path.write_text(f"""
node = "gateway-0"
ip = "{self._ip}"
zone = "dc-1"
internal_port_range = [{internal}, {internal}]
seeds = []
[listen]
front = "{self._ip}:{self.caller_port}"
ready = "{self._ip}:{self._ready_port}"
control = "{self._ip}:{control}"
[bounds]
grace_s = 4.0
drain_ms = 2000
retry_budget = 0.2
budget_window_s = 10
budget_slack = 100
[limits]
memory_mb = {MEMORY_MB}
max_fds = {MAX_FDS}
[platform]
address = "127.0.0.1:{store_port}"
""")
        return path

    async def _wait_ready(self) -> None:
        async with asyncio.timeout(HANG_TIMEOUT_S):
            while True:
                with contextlib.suppress(OSError):
                    reader, writer = await asyncio.open_connection(
                        self._ip, self._ready_port
                    )
                    writer.write(b"GET /-/ready HTTP/1.1\r\nHost: h\r\n\r\n")
                    line = await reader.readline()
                    writer.close()
                    if b" 200 " in line:
                        return
                assert self.is_alive
                await asyncio.sleep(0.05)

    @property
    def is_alive(self) -> bool:
        assert self._process is not None
        return self._process.poll() is None

    @property
    def peak_kb(self) -> int:
        """Peak of the resident memory."""
        assert self._process is not None
        return crowds.peak_kb(self._process.pid)

    @property
    def open_fds(self) -> int:
        assert self._process is not None
        return crowds.open_fds(self._process.pid)

    async def connect(
        self,
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Opens a connection whose caller holds little of what it gets."""
        return await crowds.connect(self._ip, self.caller_port)

    async def answer_ordinary(self) -> bytes:
        """Sends a request until it isn't refused for the time; its status."""
        request = crowds.make_request("/order/1", 10, has_key=True)
        async with asyncio.timeout(HANG_TIMEOUT_S):
            while True:
                status, wait_s = await self._answer_once(request)
                if status not in (b"503", b""):
                    return status
                await asyncio.sleep(wait_s)

    async def _answer_once(self, request: bytes) -> tuple[bytes, float]:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            reader, writer = await self.connect()
            with contextlib.closing(writer):
                writer.write(request)
                head = await reader.readuntil(b"\r\n\r\n")
                wait = re.search(rb"(?i)retry-after: ([0-9.]+)", head)
                return head.split(b" ")[1], float(wait[1]) if wait else 0.1
        return b"", 0.1


@pytest.mark.parametrize("has_key", [True, False], ids=["key", "no-key"])
@pytest.mark.parametrize("name", list(CROWDS))
@async_helpers.async_test
async def test_process_stays_within_its_limits(
    name: str, has_key: bool, tmp_path: pathlib.Path
) -> None:
    """Guards against a process that callers or upstreams make too large.

    The platform ends a process that exceeds its machine's memory, and one
    without descriptors accepts nobody.
    """
    gateway = _Gateway(tmp_path, reads_log=CROWDS[name].reads_log)
    most_fds = 0
    writers: list[asyncio.StreamWriter] = []

    def note_fds() -> None:
        nonlocal most_fds
        most_fds = max(most_fds, gateway.open_fds if gateway.is_alive else 0)

    async with gateway.running():
        idle_kb = gateway.peak_kb
        try:
            began_at = time.monotonic()
            await crowds.run(
                gateway.connect,
                CROWDS[name],
                has_key=has_key,
                writers=writers,
                on_progress=note_fds,
            )
            await asyncio.sleep(SETTLE_S)
            note_fds()
            assert gateway.is_alive
            peak_kb = gateway.peak_kb
            status = await gateway.answer_ordinary()
            peak_kb = max(peak_kb, gateway.peak_kb)
            print(
                f"MEASURED {name} key={has_key} idle {idle_kb} peak {peak_kb}"
                f" of {MAX_RESIDENT_KB} kB, fds {most_fds} of {MAX_FDS},"
                f" ordinary {status.decode()},"
                f" {time.monotonic() - began_at:.1f} s"
            )
        finally:
            for writer in writers:
                writer.transport.abort()
        assert status == b"200"
        assert peak_kb < MAX_RESIDENT_KB
        assert most_fds < MAX_FDS
        assert gateway.is_alive
