"""Store, workers, gateways and clients on loopback for the review's cases.

The gateways are the project's own processes, started with the command of the
deploy file. Store, workers and clients are stand-ins in the process of the
case; they follow the users' pages.
"""

import asyncio
import contextlib
import json
import os
import pathlib
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any, Final, NamedTuple

from apricottrestle_standins.platform import store_http, upstream_http

ROOT: Final = pathlib.Path(__file__).resolve().parents[2]
API_KEY: Final = "key-1"
TENANT: Final = "team-1"
HOST: Final = "fleet.example"
START_TIMEOUT_S: Final = 20.0
HEARTBEAT_S: Final = 1.2
CASE_TIMEOUT_S: Final = 110.0

HELD: Final = 0
BROKEN: Final = 1
COULD_NOT_RUN: Final = 2
"""Exit codes of a case."""

ENGINE: Final = {
    "slots": 8,
    "kv_capacity": 315_000,
    "step_ms": 0.85,
    "per_seq_ms": 0.00425,
    "context_per_k": 0.00285,
    "read_per_s": 177_000.0,
    "pairs_per_m": 0.184,
    "chunk": 2048,
    "stride": 51,
    "hop_ms": 0.05,
}
"""Cost model of the engines, as on the sheet of the site."""


def has_trouble() -> bool:
    """Returns whether the case is to cause the disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """What was sent, answered and run, with times since the start."""

    def __init__(self, path: pathlib.Path | None = None) -> None:
        """Creates an empty record; `write` writes it to `path`."""
        self._path = path
        self._started_at = time.monotonic()
        self._lines: list[str] = []

    def add(self, text: str) -> None:
        """Adds a line."""
        at = time.monotonic() - self._started_at
        self._lines.append(f"{at:8.3f} s  {text}")

    def write(self) -> None:
        """Writes the file."""
        assert self._path is not None
        self._path.write_text("\n".join(self._lines) + "\n")


def free_ports(count: int) -> list[int]:
    """Returns ports that are free on all loopback addresses now."""
    with contextlib.ExitStack() as stack:
        socks = [
            stack.enter_context(contextlib.closing(socket.socket()))
            for _ in range(count)
        ]
        for sock in socks:
            sock.bind(("0.0.0.0", 0))
        return [sock.getsockname()[1] for sock in socks]


def gateway_ip(number: int) -> str:
    """Returns a gateway's loopback address, which depends on the process id."""
    pid = os.getpid()
    return f"127.{1 + (pid >> 8) % 250}.{pid % 256}.{number + 1}"


class Request(NamedTuple):
    """A request that a worker has received."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def request_id(self) -> str:
        """Id of the client attempt."""
        return self.headers.get("apricottrestle-attempt-id", "")


async def read_request(reader: asyncio.StreamReader) -> Request:
    """Reads a request whose body has a Content-Length.

    Raises:
        IncompleteReadError: The connection was closed.
    """
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    line, *rows = head.strip().split("\r\n")
    headers = {}
    for row in rows:
        name, _, value = row.partition(":")
        headers[name.lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    method, target, _ = line.split(" ")
    return Request(method, target, headers, body)


class Worker:
    """An upstream that listens while its context is open.

    Attributes:
        worker_id: Id in the list of workers.
        service: Name of its service.
        address: Its "ip:port".
        born: Start time in Unix milliseconds.
        state: State that it reports, "ready" or "draining".
        record: Where it writes what it receives and runs.
        runs: Ids of the requests that it began to run, with the time.
        arrivals: Ids of the requests that reached it, with the time.
    """

    def __init__(self, worker_id: str, service: str, record: Record) -> None:
        """Creates a worker that will listen on a free port."""
        self.worker_id = worker_id
        self.service = service
        self.address = ""
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.record = record
        self.runs: list[tuple[str, float]] = []
        self.arrivals: list[tuple[str, float]] = []
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def __aenter__(self) -> "Worker":
        """Starts to listen."""
        await self.start()
        return self

    async def __aexit__(self, *exc: object) -> None:
        """Stops listening and resets the connections."""
        await self.stop()

    async def start(self) -> None:
        """Starts to listen; after a stop, at the same address."""
        port = int(self.address.rpartition(":")[2] or 0)
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", port
        )
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    async def stop(self) -> None:
        """Stops listening and resets the connections, as in a crash."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            upstream_http.reset(writer)
        self._writers.clear()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while not writer.is_closing():
                await self._handle(await read_request(reader), reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            return
        except asyncio.CancelledError:
            return
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _handle(
        self,
        req: Request,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        if req.target == "/-/report":
            self._write(writer, 200, json.dumps(self.report()).encode())
            return
        if req.headers.get("apricottrestle-expect-instance") not in (
            None,
            self.worker_id,
        ):
            self._write(writer, 421, b"", ["Apricottrestle-Not-Executed: 1"])
            return
        if req.target == "/-/order":
            status, body = self.order(json.loads(req.body))
            self._write(writer, status, json.dumps(body).encode())
            return
        self.arrivals.append((req.request_id, time.monotonic()))
        self.record.add(f"request {req.request_id} reaches {self.worker_id}")
        left = asyncio.ensure_future(self._wait_for_close(reader))
        work = asyncio.ensure_future(self.answer(req, writer))
        await asyncio.wait({left, work}, return_when=asyncio.FIRST_COMPLETED)
        if not work.done():
            self.record.add(
                f"{self.worker_id} drops {req.request_id}: connection closed"
            )
            work.cancel()
            raise ConnectionError("the caller has left")
        left.cancel()
        work.result()

    async def _wait_for_close(self, reader: asyncio.StreamReader) -> None:
        while not reader.at_eof():
            await asyncio.sleep(0.02)

    @property
    def is_running(self) -> bool:
        """Whether it listens."""
        return self._server is not None

    def report(self) -> dict[str, Any]:
        """Returns the report of its state."""
        return {"born": self.born}

    def order(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        """Carries out an order; returns status and body."""
        del body
        return 400, {}

    def note_run(self, req: Request) -> None:
        """Records that it begins to run a request."""
        self.runs.append((req.request_id, time.monotonic()))
        self.record.add(f"{self.worker_id} runs {req.request_id}")

    async def answer(self, req: Request, writer: asyncio.StreamWriter) -> None:
        """Runs a request of a plain service and answers it."""
        self.note_run(req)
        await asyncio.sleep(0.03)
        self._write(writer, 200, b"done", self.signed(req))

    def signed(self, req: Request) -> list[str]:
        """Returns the headers of an answer of this worker to a request."""
        return [
            f"Apricottrestle-Attempt-Id: {req.request_id}",
            f"Apricottrestle-Server-Signature: sig.{self.worker_id}",
        ]

    def _write(
        self,
        writer: asyncio.StreamWriter,
        status: int,
        body: bytes,
        headers: list[str] | None = None,
    ) -> None:
        lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
        lines += headers or []
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)


class ProcessWorker(Worker):
    """A worker in a process of its own; see `worker_process`.

    Attributes:
        kind: "plain", or "stream" for a model worker.
        popen: The process, or None before its start.
    """

    kind = "plain"
    popen: subprocess.Popen[str] | None = None

    async def start(self) -> None:
        """Starts the process."""
        self.popen = subprocess.Popen(
            [
                sys.executable,
                str(ROOT / "review" / "lib" / "worker_process.py"),
                self.worker_id,
                str(self.born),
                self.kind,
            ],
            stdout=subprocess.PIPE,
            text=True,
            env=os.environ
            | {
                "PYTHONPATH": os.pathsep.join(path for path in sys.path if path)
            },
        )
        assert self.popen.stdout is not None
        loop = asyncio.get_running_loop()
        try:
            line = await loop.run_in_executor(None, self.popen.stdout.readline)
            self.address = f"127.0.0.1:{line.split()[1]}"
        except BaseException:
            # The context isn't entered, and would not end the process.
            await self.stop()
            raise
        threading.Thread(target=self._read_runs, daemon=True).start()

    def _read_runs(self) -> None:
        assert self.popen is not None and self.popen.stdout is not None
        for line in self.popen.stdout:
            request_id = line.split()[1]
            self.runs.append((request_id, time.monotonic()))
            self.record.add(f"{self.worker_id} runs {request_id}")

    async def stop(self) -> None:
        """Kills the process."""
        if self.popen is not None and self.popen.poll() is None:
            self.popen.kill()
            self.popen.wait()

    @property
    def is_running(self) -> bool:
        """Whether the process runs."""
        return self.popen is not None and self.popen.poll() is None


class Engine(Worker):
    """A model worker that takes the times of its published cost model.

    It prefills one prompt after the other, and decodes them at the same time.

    Attributes:
        reserved: Tokens and end of each reservation, by its id.
    """

    def __init__(self, worker_id: str, service: str, record: Record) -> None:
        """Creates an engine that will listen on a free port."""
        super().__init__(worker_id, service, record)
        self.reserved: dict[str, tuple[int, float]] = {}
        self._prefill_lock = asyncio.Lock()

    def order(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        """Reserves or releases memory."""
        if body["op"] == "release":
            self.reserved.pop(body["id"], None)
            return 200, {}
        until = time.monotonic() + body["hold_ms"] / 1000
        self.reserved[body["id"]] = (body["tokens"], until)
        return 200, {"free": 0}

    async def answer(self, req: Request, writer: asyncio.StreamWriter) -> None:
        """Prefills a prompt, then writes the events of its answer."""
        prompt, output = map(
            int, req.headers["apricottrestle-token-usage"].split(",")
        )
        helpers = req.headers.get("apricottrestle-helpers", "")
        parts = 1 + len([entry for entry in helpers.split(",") if entry])
        pairs_m = prompt * prompt / 2 / 1e6
        prefill_s = (
            prompt / ENGINE["read_per_s"]
            + pairs_m * ENGINE["pairs_per_m"] / 1e3
        ) / parts
        async with self._prefill_lock:
            await asyncio.sleep(prefill_s)
        self.note_run(req)
        head = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream"]
        head += [*self.signed(req), "Transfer-Encoding: chunked"]
        writer.write("\r\n".join(head).encode() + b"\r\n\r\n")
        first = int(req.headers.get("last-event-id", "0")) + 1
        last = max(output // ENGINE["stride"], 1)
        for number in range(first, last + 1):
            event = f"id: {number}\ndata: {number}/{last}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(ENGINE["step_ms"] * ENGINE["stride"] / 1e3)
        writer.write(b"0\r\n\r\n")


class Gateway:
    """A gateway process with its settings file.

    Attributes:
        name: Name of its machine.
        ip: Its loopback address.
        store_address: Address of the store in its settings.
        popen: The process, or None before its start.
    """

    def __init__(
        self, number: int, ports: list[int], ips: list[str], folder: str
    ) -> None:
        """Creates a gateway that isn't running.

        Args:
            number: Number of the gateway, from 0.
            ports: Ports for clients, readiness, control and peers.
            ips: Addresses of the first gateways.
            folder: Folder for settings and log.
        """
        self.name = f"front-{number}"
        self.ip = ips[number]
        self.store_address = ""
        self.popen: subprocess.Popen[bytes] | None = None
        self._ports = ports
        self._seeds = [f"{ip}:{ports[2]}" for ip in ips[:3]]
        self._settings = pathlib.Path(folder) / f"{self.name}.toml"
        self._log = pathlib.Path(folder) / f"{self.name}.log"

    @property
    def front_port(self) -> int:
        """Port for clients."""
        return self._ports[0]

    def write_settings(self) -> None:
        """Replaces the settings file."""
        text = f"""
node = "{self.name}"
role = "gateway"
machine_class = "front"
serves = ["front", "control"]
ip = "{self.ip}"
zone = "zone-1"
region = "region-1"
internal_port_range = [{self._ports[3]}, {self._ports[3] + 1}]
seeds = {json.dumps(self._seeds)}
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeat_ms = {int(HEARTBEAT_S * 1000)}
[zones]
zone-1 = "region-1"
[listen]
front = "{self.ip}:{self._ports[0]}"
ready = "{self.ip}:{self._ports[1]}"
control = "{self.ip}:{self._ports[2]}"
[bounds]
settle_window_ms = 3000
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_ms = 2000
retry_budget = 0.2
budget_window_s = 10
budget_slack = 100
free_ms = 4000
hold_max_ms = 20000
[platform]
address = "{self.store_address}"
form = "log"
"""
        new = self._settings.with_suffix(".new")
        new.write_text(text)
        new.replace(self._settings)

    def start(self) -> None:
        """Starts the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        env = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", ""),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "APRICOTTRESTLE_NODE_FILE": str(self._settings),
        }
        with self._log.open("ab") as out:
            self.popen = subprocess.Popen(
                deploy["roles"]["gateway"]["run"].split(" "),
                cwd=ROOT,
                env=env,
                stdout=out,
                stderr=out,
            )

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process."""
        assert self.popen is not None
        self.popen.send_signal(number)

    def kill(self) -> None:
        """Ends the process, if it runs."""
        if self.popen is not None and self.popen.poll() is None:
            self.popen.kill()
            self.popen.wait()

    def has_ended(self) -> bool:
        """Returns whether the process has ended."""
        return self.popen is not None and self.popen.poll() is not None

    async def is_ready(self) -> bool:
        """Asks for its readiness."""
        answer = await exchange(
            self.ip,
            self._ports[1],
            b"GET /-/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n",
            1.0,
        )
        return answer.status == 200

    async def send(
        self,
        method: str,
        target: str,
        request_id: str,
        deadline_ms: int,
        headers: tuple[str, ...] = (),
        body: bytes = b"",
    ) -> "Answer":
        """Sends a client's request on a new connection; see `exchange`."""
        rows = [
            f"{method} {target} HTTP/1.1",
            f"Host: {HOST}",
            f"Apricottrestle-Attempt-Id: {request_id}",
            f"Apricottrestle-Deadline-Ms: {deadline_ms}",
            f"Authorization: Bearer {API_KEY}",
            *headers,
        ]
        if method == "POST":
            rows.append(f"Content-Length: {len(body)}")
        data = "\r\n".join(rows).encode() + b"\r\n\r\n" + body
        return await exchange(
            self.ip, self._ports[0], data, deadline_ms / 1000 + 1.0
        )


class Answer(NamedTuple):
    """What a client has seen of an answer.

    Attributes:
        status: Status, or None if there was no whole head.
        headers: Headers by lower-case name.
        body: Body, as far as it came.
        complete: Whether the answer is complete.
        sent_at: Monotonic time at which the last byte was sent.
        ended_at: Monotonic time at which the answer or the connection ended.
        end: How the answer ended, in words.
    """

    status: int | None
    headers: dict[str, str]
    body: bytes
    complete: bool
    sent_at: float
    ended_at: float
    end: str


async def exchange(ip: str, port: int, data: bytes, timeout_s: float) -> Answer:
    """Sends a request and reads the answer; never raises for failures."""
    sent_at = time.monotonic()
    status: int | None = None
    headers: dict[str, str] = {}
    body = b""
    complete = False
    end = "closed without an answer"
    writer: asyncio.StreamWriter | None = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(ip, port)
            writer.write(data)
            await writer.drain()
            sent_at = time.monotonic()
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            line, *rows = head.strip().split("\r\n")
            status = int(line.split(" ")[1])
            for row in rows:
                name, _, value = row.partition(":")
                headers[name.lower()] = value.strip()
            end = "closed inside the answer"
            if headers.get("transfer-encoding") == "chunked":
                while size := int(await reader.readline(), 16):
                    body += await reader.readexactly(size)
                    await reader.readexactly(2)
                await reader.readexactly(2)
            else:
                size = int(headers.get("content-length", 0))
                body = await reader.readexactly(size)
            complete, end = True, "complete"
    except TimeoutError:
        end = "no end within the client's time"
    except ConnectionRefusedError:
        end = "connection refused"
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        pass
    finally:
        if writer is not None:
            writer.close()
    return Answer(
        status, headers, body, complete, sent_at, time.monotonic(), end
    )


class Fleet:
    """A small deployment: store, workers and gateways.

    Attributes:
        record: What was sent, answered and run.
        store: The store.
        workers: The workers.
        gateways: The gateways.
        store_ports: Ports at which the store listens.
    """

    def __init__(
        self, record: Record, workers: list[Worker], gateways: int
    ) -> None:
        """Creates a deployment that isn't running.

        Args:
            record: What was sent, answered and run.
            workers: The workers.
            gateways: Number of gateways.
        """
        self.record = record
        self.store = store_http.Store()
        self.workers = workers
        self.gateways: list[Gateway] = []
        self.store_ports: list[int] = []
        self._count = gateways
        self._beats = 0

    @contextlib.asynccontextmanager
    async def running(
        self, config: dict[str, Any], store_addresses: int = 1
    ) -> AsyncIterator[None]:
        """Runs the deployment; all gateways are ready inside the context.

        Args:
            config: The first configuration.
            store_addresses: Number of addresses of the store.
        """
        folder = tempfile.mkdtemp(prefix="review-")
        async with contextlib.AsyncExitStack() as stack:
            stack.callback(shutil.rmtree, folder, ignore_errors=True)
            for _ in range(store_addresses):
                server = store_http.StoreServer(self.store)
                stack.enter_context(server)
                self.store_ports.append(server.port)
            for worker in self.workers:
                await stack.enter_async_context(worker)
            self.put_config(config)
            beats = asyncio.ensure_future(self._write_heartbeats())
            stack.callback(beats.cancel)
            ips = [gateway_ip(number) for number in range(self._count)]
            ports = free_ports(4)
            for number in range(self._count):
                row = Gateway(number, ports, ips, folder)
                row.store_address = f"127.0.0.1:{self.store_ports[0]}"
                row.write_settings()
                row.start()
                stack.callback(row.kill)
                self.gateways.append(row)
            async with asyncio.timeout(START_TIMEOUT_S):
                for row in self.gateways:
                    while not await row.is_ready():
                        await asyncio.sleep(0.05)
            self.record.add(f"{self._count} gateways are ready")
            yield

    def put_config(self, config: dict[str, Any]) -> None:
        """Writes a configuration, as the operator does."""
        self.store.put("keyed.op", "config", config)
        self.record.add(f"the store acks config version {config['version']}")

    async def _write_heartbeats(self) -> None:
        """Writes the entries of all workers at each heartbeat."""
        while True:
            for worker in self.workers:
                if worker.is_running:
                    self.put_entry(worker)
            await asyncio.sleep(HEARTBEAT_S)

    def put_entry(self, worker: Worker) -> None:
        """Writes a worker's entry, as the worker does."""
        self._beats += 1
        entry = {
            "service": worker.service,
            "address": worker.address,
            "zone": "zone-1",
            "version": 1,
            "slots": 8,
            "state": worker.state,
            "cold_left_ms": 0,
            "seq_no": self._beats,
            "born": worker.born,
        }
        self.store.put("keyed.servers", worker.worker_id, entry)


def make_route(
    name: str, kind: str, service: str, **fields: Any
) -> dict[str, Any]:
    """Returns a route of a configuration; its path prefix is its name."""
    return {
        "name": name,
        "host": HOST,
        "path_prefix": f"/{name}/",
        "service": service,
        "kind": kind,
        "timeout_ms": 1500,
        "target_latency_ms": 150,
        "max_attempts": 2,
        "priority": 0,
        "public": False,
    } | fields


def make_config(
    version: int, routes: list[dict[str, Any]], services: list[dict[str, Any]]
) -> dict[str, Any]:
    """Returns a configuration."""
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "max_header_bytes": 16_384,
            "max_body_bytes": 4_194_304,
            "header_timeout_ms": 3_000,
            "idle_timeout_ms": 15_000,
        },
        "tenants": [{"name": TENANT, "api_keys": [API_KEY]}],
    }


def run_case(path: str, case: Callable[[Record], Awaitable[bool]]) -> None:
    """Runs a case, writes its record and exits.

    Args:
        path: File of the case.
        case: Returns whether the rule was broken.
    """
    record = Record(pathlib.Path(path).resolve().parent / "record.txt")

    async def run() -> bool:
        task = asyncio.current_task()
        assert task is not None
        # Ends the processes that the case has started.
        asyncio.get_running_loop().add_signal_handler(
            signal.SIGTERM, task.cancel
        )
        async with asyncio.timeout(CASE_TIMEOUT_S):
            return await case(record)

    code = COULD_NOT_RUN
    try:
        code = BROKEN if asyncio.run(run()) else HELD
    except (Exception, asyncio.CancelledError) as exc:
        record.add(f"the case couldn't run: {exc!r}")
    record.add(f"exit {code}")
    record.write()
    sys.exit(code)
