"""Stand-ins of the platform's store, workers and clients, and a launcher.

They use the standard library only. One process holds the stand-ins; each
gateway is a process of its own, started with the command of the deploy file.
"""

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import struct
import tempfile
import time
import tomllib
from collections.abc import Callable, Coroutine
from types import TracebackType
from typing import Any, NamedTuple, Self

ROOT = pathlib.Path(__file__).resolve().parents[2]
READY_TIMEOUT_S = 30.0
HEARTBEAT_S = 1.2
RECORDED_CHARS = 80
"""Of a request line, in the record."""

Head = tuple[str, dict[str, str]]


def now() -> float:
    """Returns the monotonic time in seconds."""
    return time.monotonic()


async def read_head(reader: asyncio.StreamReader) -> Head:
    """Returns the first line and the headers, by lower-case name."""
    text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    line, *rows = text[:-4].split("\r\n")
    pairs = (row.partition(":") for row in rows)
    return line, {
        name.strip().lower(): value.strip() for name, _, value in pairs
    }


def reset(writer: asyncio.StreamWriter) -> None:
    """Closes a connection with a TCP reset."""
    sock = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
    writer.transport.abort()


def free_port(ip: str) -> int:
    """Returns a port that is free at an address."""
    with socket.socket() as sock:
        sock.bind((ip, 0))
        return int(sock.getsockname()[1])


class Record:
    """The file that says what was sent, answered and run."""

    def __init__(self, folder: pathlib.Path) -> None:
        """Opens `record.txt` in a folder."""
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._began_at = now()

    def write(self, *words: object) -> None:
        """Writes a line with the time since the start."""
        text = " ".join(str(word) for word in words)
        self._file.write(f"{now() - self._began_at:8.3f} {text}\n")
        self._file.flush()


class Store:
    """The platform's store: keyed topics of a log."""

    def __init__(self) -> None:
        """Creates an empty store."""
        self.address = ""
        self._records: dict[str, list[tuple[str, bytes]]] = {}
        self._changed = asyncio.Event()

    def put(self, topic: str, key: str, value: bytes) -> None:
        """Appends a record; an empty value removes the key."""
        self._records.setdefault(topic, []).append((key, value))
        self._changed.set()
        self._changed = asyncio.Event()

    async def start(self) -> None:
        """Starts to listen."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(
            asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError
        ):
            while True:
                line, headers = await read_head(reader)
                body = await reader.readexactly(
                    int(headers.get("content-length", 0))
                )
                path, _, text = line.split(" ")[1].partition("?")
                query = dict(part.split("=", 1) for part in text.split("&"))
                status, answer = await self._answer(path, query, body)
                writer.write(
                    b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%b"
                    % (status, len(answer), answer)
                )
                await writer.drain()
        writer.close()

    async def _answer(
        self, path: str, query: dict[str, str], body: bytes
    ) -> tuple[int, bytes]:
        topic = query.get("topic", "")
        records = self._records.setdefault(topic, [])
        if path == "/-/log-newest":
            newest = {
                key: (offset, value)
                for offset, (key, value) in enumerate(records)
            }
            items = [
                {
                    "key": key,
                    "value": base64.b64encode(value).decode(),
                    "offset": offset,
                }
                for key, (offset, value) in sorted(newest.items())
                if value
            ]
            page = {"items": items, "has_more": False, "end": len(records)}
            return 200, json.dumps(page).encode()
        if path == "/-/log-read":
            start = int(query["from"])
            until = now() + int(query.get("wait_ms", "0")) / 1000
            while len(records) <= start and now() < until:
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(self._changed.wait(), until - now())
            data = struct.pack(">QQ", len(records), 0)
            for key, value in records[start:]:
                name = key.encode()
                content = bytes([len(name)]) + name + value
                data += struct.pack(">I", len(content)) + content
            return 200, data
        if path == "/-/log-append":
            first, position = len(records), 0
            while position < len(body):
                (size,) = struct.unpack_from(">I", body, position)
                content = body[position + 4 : position + 4 + size]
                position += 4 + size
                end = 1 + content[0]
                self.put(topic, content[1:end].decode(), content[end:])
            offsets = {"offset": first, "end": len(records)}
            return 200, json.dumps(offsets).encode()
        return 404, b"{}"


class Request(NamedTuple):
    """A request that a worker has read.

    Attributes:
        line: Request line.
        headers: Headers by lower-case name.
        body: Body.
    """

    line: str
    headers: dict[str, str]
    body: bytes

    @property
    def attempt_id(self) -> str:
        """Id of the client's attempt."""
        return self.headers.get("apricottrestle-attempt-id", "")


class Worker:
    """A sound worker: it runs each request at once and answers it whole.

    Attributes:
        worker_id: Its id in the store.
        service: Its service.
        address: Its "ip:port" once it listens.
        ran: The requests that it has begun to run.
    """

    def __init__(
        self,
        number: int,
        service: str,
        record: Record,
        *,
        events: int = 0,
        gap_s: float = 0.02,
    ) -> None:
        """Prepares a worker.

        Args:
            number: Number that tells workers of a service apart.
            service: Its service.
            record: Where runs are noted.
            events: Events of its answers, which are streams; 0 for a plain
                service.
            gap_s: Time before an answer, or between its events.
        """
        self.worker_id = f"i-{service}-{number}"
        self.ran: list[Request] = []
        self.service = service
        self.address = ""
        self._entries = 0
        self._record = record
        self._events = events
        self._gap_s = gap_s
        self._zone = "abc"[number % 3]
        self._born = int(time.time() * 1000)
        self._signatures = 0

    async def start(self, store: Store) -> None:
        """Starts to listen, and writes its entry at intervals."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        self._register(store)
        self._heartbeat = asyncio.create_task(self._write_entries(store))

    async def _write_entries(self, store: Store) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            self._register(store)

    def _register(self, store: Store) -> None:
        self._entries += 1
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": self._zone,
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold_left_ms": 0,
            "seq_no": self._entries,
            "born": self._born,
        }
        store.put("keyed.servers", self.worker_id, json.dumps(entry).encode())

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(
            asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError
        ):
            while True:
                line, headers = await read_head(reader)
                body = await reader.readexactly(
                    int(headers.get("content-length", 0))
                )
                await self._answer(Request(line, headers, body), writer)
                await writer.drain()
        writer.close()

    async def _answer(self, req: Request, writer: asyncio.StreamWriter) -> None:
        if req.line.split(" ")[1] == "/-/report":
            report = json.dumps({"stage": "colocated", "born": self._born})
            writer.write(
                b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b"
                % (len(report), report.encode())
            )
            return
        echo = f"Apricottrestle-Attempt-Id: {req.attempt_id}\r\n"
        expected = req.headers.get("apricottrestle-expect-instance")
        if expected not in (None, self.worker_id):
            writer.write(
                f"HTTP/1.1 421 X\r\n{echo}Content-Length: 0\r\n\r\n".encode()
            )
            return
        self.ran.append(req)
        line = req.line[:RECORDED_CHARS]
        self._record.write("run", req.attempt_id, self.worker_id, line)
        self._signatures += 1
        echo += (
            "Apricottrestle-Server-Signature: "
            f"{self.worker_id}.{self._signatures}\r\n"
        )
        await asyncio.sleep(self._gap_s)
        if not self._events:
            head = f"HTTP/1.1 200 OK\r\n{echo}Content-Length: 3\r\n\r\n"
            body = b"" if req.line.startswith("HEAD ") else b"ok\n"
            writer.write(head.encode() + body)
            return
        writer.write(
            f"HTTP/1.1 200 OK\r\n{echo}Content-Type: text/event-stream\r\n"
            "Transfer-Encoding: chunked\r\n\r\n".encode()
        )
        first = int(req.headers.get("last-event-id", "0")) + 1
        for number in range(first, self._events + 1):
            event = b"id: %d\ndata: token\n\n" % number
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(self._gap_s)
        writer.write(b"0\r\n\r\n")


class Gateway:
    """A process of the system, with the settings of a small deployment."""

    MEMORY_MB = 300
    BOUNDS = {
        "settle_window_ms": 3000,
        "drain_ms": 2000,
        "grace_s": 8,
        "loss_slack_ms": 200,
        "config_ms": 2000,
        "rollback_slack_ms": 250,
        "retry_budget": 0.2,
        "budget_window_s": 10,
        "budget_slack": 102,
        "recovery_s": 12,
        "pass_ms": 120,
        "stall_ms": 1500,
        "hold_max_ms": 20000,
        "free_ms": 4000,
        "idle_max_ms": 9000,
    }

    def __init__(self, number: int, store: Store) -> None:
        """Chooses an address of its own on the loopback network."""
        self.name = f"front-a-{number}"
        self.ip = ".".join(
            str(part)
            for part in (
                127,
                random.randint(1, 250),
                random.randint(1, 250),
                10 + number,
            )
        )
        self.port = free_port(self.ip)
        self._ready_port = free_port(self.ip)
        self._control_port = free_port(self.ip)
        self._internal_port = free_port(self.ip)
        self._store = store
        self._folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self._process: asyncio.subprocess.Process | None = None
        self._collector: asyncio.Task[None] | None = None

    @property
    def seed(self) -> str:
        """Its control address."""
        return f"{self.ip}:{self._control_port}"

    def _settings(self, seeds: list[str]) -> str:
        bounds = "\n".join(
            f"{name} = {json.dumps(value)}"
            for name, value in self.BOUNDS.items()
        )
        return f"""node = "{self.name}"
role = "gateway"
machine_class = "front"
serves = ["front","control"]
ip = "{self.ip}"
zone = "a"
region = "r"
internal_port_range = [{self._internal_port},{self._internal_port}]
seeds = {json.dumps(seeds)}
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeat_ms = 1200
[zones]
a = "r"
b = "r"
c = "r"
[listen]
front = "{self.ip}:{self.port}"
ready = "{self.ip}:{self._ready_port}"
control = "{self.seed}"
[limits]
cpu_share = 0.817
cores = 1
memory_mb = {self.MEMORY_MB}
max_fds = 4200
link_mbps = 1000.0
disk_mb = 0
[bounds]
{bounds}
[platform]
address = "{self._store.address}"
form = "log"
"""

    async def start(
        self, seeds: list[str], collector_bytes_per_s: float = 0.0
    ) -> None:
        """Starts the process and waits until it is ready; see `launch`.

        Raises:
            TimeoutError: It isn't ready in time.
        """
        await self.launch(seeds, collector_bytes_per_s)
        until = now() + READY_TIMEOUT_S
        while not await self._is_ready():
            if now() > until:
                raise TimeoutError(f"{self.name} isn't ready")
            await asyncio.sleep(0.1)

    async def launch(
        self, seeds: list[str], collector_bytes_per_s: float = 0.0
    ) -> None:
        """Starts the process.

        Args:
            seeds: Control addresses of some gateways.
            collector_bytes_per_s: Rate at which its log is read from a pipe; 0
                for a log that is written to a file.
        """
        path = self._folder / "settings.toml"
        path.write_text(self._settings(seeds))
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        env = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        env["APRICOTTRESTLE_NODE_FILE"] = str(path)
        env["PYTHONPATH"] = str(ROOT / "target/deps")
        with (self._folder / "log").open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                *deploy["roles"]["gateway"]["run"].split(),
                cwd=ROOT,
                env=env,
                stdout=asyncio.subprocess.PIPE
                if collector_bytes_per_s
                else log,
                stderr=log,
            )
        if self._process.stdout is not None:
            self._collector = asyncio.create_task(
                _collect(self._process.stdout, collector_bytes_per_s)
            )

    async def _is_ready(self) -> bool:
        with contextlib.suppress(OSError, TimeoutError):
            reader, writer = await asyncio.open_connection(
                self.ip, self._ready_port
            )
            writer.write(
                b"GET /-/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
            )
            line = await asyncio.wait_for(reader.readline(), 2.0)
            writer.close()
            return b" 200 " in line
        return False

    @property
    def is_running(self) -> bool:
        """Whether its process hasn't ended."""
        return self._process is not None and self._process.returncode is None

    @property
    def resident_bytes(self) -> int:
        """Resident memory of its process; 0 if it has ended."""
        if self._process is None:
            return 0
        status = pathlib.Path(f"/proc/{self._process.pid}/status")
        with contextlib.suppress(OSError):
            for line in status.read_text().splitlines():
                if line.startswith("VmRSS:"):
                    return int(line.split()[1]) * 1024
        return 0

    async def kill(self) -> None:
        """Kills the process."""
        if self.is_running and self._process is not None:
            self._process.send_signal(signal.SIGKILL)
            await self._process.wait()
        if self._collector is not None:
            self._collector.cancel()

    async def end(self) -> None:
        """Kills the process and removes its folder."""
        await self.kill()
        shutil.rmtree(self._folder, ignore_errors=True)


async def _collect(reader: asyncio.StreamReader, bytes_per_s: float) -> None:
    """Reads a log at a rate, and drops what it has read."""
    while data := await reader.read(1024 * 1024):
        await asyncio.sleep(len(data) / bytes_per_s)


class Answer(NamedTuple):
    """What a client has got.

    Attributes:
        status: Status, or 0 if the connection ended without one.
        headers: Headers by lower-case name.
        body: Body, as far as it came.
        complete: Whether it was complete by its own framing.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    complete: bool

    def __str__(self) -> str:
        """Returns what the record says of it."""
        if not self.status:
            return "connection closed without an answer"
        end = "complete" if self.complete else "cut off"
        return f"{self.status} {end} {self.body[:24]!r}"


NO_ANSWER = Answer(0, {}, b"", False)


class Connection:
    """A client's connection, which is kept for several requests.

    Attributes:
        answered: Number of requests that were answered on it.
    """

    def __init__(self, gateway: Gateway, record: Record) -> None:
        """Prepares a connection to a gateway."""
        self.answered = 0
        self._gateway = gateway
        self._record = record
        self._streams: (
            tuple[asyncio.StreamReader, asyncio.StreamWriter] | None
        ) = None

    async def __aenter__(self) -> Self:
        """Connects."""
        self._streams = await asyncio.open_connection(
            self._gateway.ip, self._gateway.port
        )
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Closes the connection."""
        if self._streams is not None:
            self._streams[1].close()

    async def send(
        self,
        line: str,
        headers: dict[str, str],
        body: bytes = b"",
        timeout_s: float = 12.0,
    ) -> Answer:
        """Sends a request and returns its answer; TimeoutError without one."""
        assert self._streams is not None
        reader, writer = self._streams
        if body:
            headers = headers | {"Content-Length": str(len(body))}
        rows = "".join(
            f"{name}: {value}\r\n" for name, value in headers.items()
        )
        attempt_id = headers["Apricottrestle-Attempt-Id"]
        self._record.write("sent", attempt_id, line)
        try:
            writer.write(
                f"{line} HTTP/1.1\r\n{rows}\r\n".encode("latin-1") + body
            )
            answer = await asyncio.wait_for(
                self._read(reader, line.startswith("HEAD ")), timeout_s
            )
        except (ConnectionError, asyncio.IncompleteReadError):
            answer = NO_ANSWER
        self._record.write("answered", attempt_id, answer)
        self.answered += answer.complete
        return answer

    async def _read(
        self, reader: asyncio.StreamReader, is_head: bool
    ) -> Answer:
        line, headers = await read_head(reader)
        status = int(line.split(" ")[1])
        if is_head or status in (204, 304):
            return Answer(status, headers, b"", True)
        body = b""
        try:
            if "content-length" in headers:
                body = await reader.readexactly(int(headers["content-length"]))
                return Answer(status, headers, body, True)
            while True:
                size = int(await reader.readuntil(b"\r\n"), 16)
                chunk = await reader.readexactly(size + 2)
                if not size:
                    return Answer(status, headers, body, True)
                body += chunk[:-2]
        except (ConnectionError, asyncio.IncompleteReadError):
            return Answer(status, headers, body, False)


def plain_service(name: str) -> dict[str, Any]:
    """Returns the configuration of a plain service."""
    return {"name": name, "health_path": "/health", "max_conns": 100}


def model_service(name: str) -> dict[str, Any]:
    """Returns the configuration of a service of model workers."""
    return plain_service(name) | {
        "max_conns": 424,
        "engine": {
            "slots": 8,
            "kv_capacity": 315000,
            "stride": 51,
            "step_ms": 0.85,
            "per_seq_ms": 0.0085,
            "context_per_k": 0.00285,
            "read_per_s": 177000.0,
            "pairs_per_m": 0.184,
            "chunk": 2048,
            "hop_ms": 0.05,
            "delays": [],
        },
    }


def config(
    routes: list[dict[str, Any]], services: list[dict[str, Any]]
) -> bytes:
    """Returns a configuration with the limits of a small deployment."""
    return json.dumps(
        {
            "version": 1,
            "routes": routes,
            "services": services,
            "limits": {
                "max_header_bytes": 16384,
                "max_body_bytes": 4194304,
                "header_timeout_ms": 3000,
                "idle_timeout_ms": 15000,
            },
            "tenants": [{"name": "team", "api_keys": ["key-of-team"]}],
        }
    ).encode()


class AttemptIds:
    """Makes the headers that each request of a client has."""

    def __init__(self, host: str) -> None:
        """Starts with number 1."""
        self._host = host
        self._count = 0

    def headers(self, deadline_ms: int) -> dict[str, str]:
        """Returns the headers of a new attempt."""
        self._count += 1
        return {
            "Host": self._host,
            "Apricottrestle-Attempt-Id": f"{self._count:016x}",
            "Apricottrestle-Deadline-Ms": str(deadline_ms),
            "Authorization": "Bearer key-of-team",
        }


def run_case(
    case: Callable[[bool, Record], Coroutine[Any, Any, bool]],
    folder: pathlib.Path,
) -> int:
    """Runs a case and returns its exit code: 2 if it couldn't run.

    SIGTERM and SIGINT cancel the case, which then ends its processes.

    Args:
        case: Given whether to bring the disruption about, and the record;
            returns whether the rule was broken.
        folder: Where the record is written.
    """
    record = Record(folder)
    has_trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run() -> bool:
        task = asyncio.current_task()
        assert task is not None
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        return await case(has_trouble, record)

    try:
        is_broken = asyncio.run(run())
    except (Exception, asyncio.CancelledError) as exc:
        record.write("could not run:", repr(exc))
        print("could not run:", repr(exc))
        return 2
    result = "broken" if is_broken else "held"
    record.write("the rule was", result)
    print("the rule was", result)
    return int(is_broken)
