"""A fleet on loopback: stand-ins, entries and agents as separate processes.

The demo and the process tests use it. Invariant: leaving the `Fleet` context
kills every process that it started, also after a failure or an interrupt.
"""

import contextlib
import functools
import http.client
import json
import pathlib
import random
import secrets
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import urllib.parse
from collections.abc import Callable, Iterator, Mapping, Sequence
from types import TracebackType
from typing import Any, Final, NamedTuple, Self

import zmq

HOST: Final = "127.0.0.1"
_POLL_INTERVAL_S: Final = 0.05
_START_TIMEOUT_S: Final = 20.0
_CALL_TIMEOUT_S: Final = 5.0
_LOG_TAIL_LINES: Final = 15
_LOG_RETENTION_S: Final = 3600.0
_MIN_PORT: Final = 15_000
_END_PORT: Final = 32_000


class FleetError(Exception):
    """A process failed, or the fleet did not reach a state in time."""


class _PortAllocator:
    """Allocates ports below the ephemeral range, each at most once.

    An ephemeral port could be taken by an outgoing connection of another
    process before the server that it was allocated for binds it.
    """

    def __init__(self) -> None:
        self.use_range(_MIN_PORT, _END_PORT)

    def use_range(self, first: int, end: int) -> None:
        self._first, self._end = first, end
        self._next = random.SystemRandom().randrange(first, end)

    def allocate(self) -> int:
        for _ in range(self._end - self._first):
            port = self._next
            self._next += 1
            if self._next >= self._end:
                self._next = self._first
            if _is_free(port):
                return port
        raise FleetError("no free port on loopback")


def _is_free(port: int) -> bool:
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind((HOST, port))
        except OSError:
            return False
    return True


_PORT_ALLOCATOR: Final = _PortAllocator()


def use_ports(part: int, parts: int) -> None:
    """Limits this process to one of several equal parts of the ports.

    Args:
        part: Number of the part, from 0.
        parts: Number of processes that share the ports.
    """
    size = (_END_PORT - _MIN_PORT) // parts
    first = _MIN_PORT + part * size
    _PORT_ALLOCATOR.use_range(first, first + size)


def free_ports(count: int) -> list[int]:
    """Returns distinct loopback ports that are currently free."""
    return [_PORT_ALLOCATOR.allocate() for _ in range(count)]


class HttpResponse(NamedTuple):
    """An HTTP response; the status is 0 if no response deferred."""

    status: int
    headers: dict[str, str]
    body: bytes

    def json(self) -> Any:
        """Returns the decoded JSON body."""
        return json.loads(self.body)


def call(
    method: str,
    url: str,
    body: object = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = _CALL_TIMEOUT_S,
) -> HttpResponse:
    """Makes a blocking HTTP call; a body other than bytes is sent as JSON."""
    parts = urllib.parse.urlsplit(url)
    conn = http.client.HTTPConnection(parts.netloc, timeout=timeout_s)
    data = body
    if body is not None and not isinstance(body, bytes):
        data = json.dumps(body).encode()
    path = parts.path + (f"?{parts.query}" if parts.query else "")
    try:
        conn.request(method, path, data, headers or {})  # type: ignore[arg-type]
        response = conn.getresponse()
        return HttpResponse(
            response.status,
            {name.lower(): value for name, value in response.getheaders()},
            response.read(),
        )
    except (OSError, http.client.HTTPException):
        return HttpResponse(0, {}, b"")
    finally:
        conn.close()


def wait_for(
    condition: Callable[[], Any], what: str, timeout_s: float = _START_TIMEOUT_S
) -> Any:
    """Polls a condition until its value is true, and returns the value.

    Raises:
        FleetError: The timeout has passed.
    """
    end_s = time.monotonic() + timeout_s
    while True:
        value = condition()
        if value:
            return value
        if time.monotonic() > end_s:
            raise FleetError(
                f"timed out after {timeout_s:g} s, waiting until {what}"
            )
        time.sleep(_POLL_INTERVAL_S)


@contextlib.contextmanager
def signals_deferred() -> Iterator[None]:
    """Defers the handlers of SIGINT and SIGTERM to the end of the context.

    A handler that raises between the start of a process and its registration
    would leave the process running.
    """
    if threading.current_thread() is not threading.main_thread():
        # Signal handlers run in the main thread only.
        yield
        return
    deferred: list[int] = []
    previous_handlers = {
        signum: signal.signal(signum, lambda number, _: deferred.append(number))
        for signum in (signal.SIGINT, signal.SIGTERM)
    }
    try:
        yield
    finally:
        for signum, handler in previous_handlers.items():
            signal.signal(signum, handler or signal.SIG_DFL)
        for number in deferred:
            signal.raise_signal(number)


class Process:
    """A child process with its output file."""

    def __init__(
        self, name: str, arguments: Sequence[str], directory: pathlib.Path
    ) -> None:
        """Starts `python -m <arguments>`."""
        self.name = name
        self.arguments = tuple(arguments)
        self.output = directory / f"{name}.log"
        with self.output.open("ab") as stream:
            self._popen = subprocess.Popen(
                [sys.executable, "-m", *arguments],
                stdout=stream,
                stderr=subprocess.STDOUT,
                stdin=subprocess.DEVNULL,
                start_new_session=True,
            )

    @property
    def pid(self) -> int:
        """The process id."""
        return self._popen.pid

    def running(self) -> bool:
        """Returns whether the process is running."""
        return self._popen.poll() is None

    def exit_code(self) -> int | None:
        """Returns the exit code; negative for a signal, None while running."""
        return self._popen.poll()

    def send_signal(self, signum: signal.Signals) -> None:
        """Sends a signal, unless the process has exited."""
        self._popen.send_signal(signum)

    def wait(self, timeout_s: float) -> int:
        """Waits for the process to exit and returns its exit code.

        Raises:
            FleetError: The process is still running after the timeout.
        """
        try:
            return self._popen.wait(timeout_s)
        except subprocess.TimeoutExpired as exc:
            raise FleetError(
                f"{self.name} is still running after {timeout_s:g} s"
            ) from exc

    def tail(self) -> str:
        """Returns the last lines of the output."""
        lines = self.output.read_text(errors="replace").splitlines()
        return "\n".join(lines[-_LOG_TAIL_LINES:])

    def kill(self) -> None:
        """Kills the process with SIGKILL and reaps it."""
        if self.running():
            self.send_signal(signal.SIGKILL)
        self._popen.wait()


class Node(NamedTuple):
    """A running entry, agent or stand-in with its base URLs.

    Attributes:
        process: The process.
        url: Base URL of an entry's caller API, or of a stand-in; "" for an
            agent.
        ops: Base URL of an entry's or agent's operations endpoint.
        settings: Path of an entry's or agent's settings file.
        upstream: Base URL of an agent's upstream.
    """

    process: Process
    url: str
    ops: str = ""
    settings: str = ""
    upstream: str = ""

    def is_entry(self) -> bool:
        """Returns whether the node is an entry."""
        return bool(self.url and self.ops)

    def ready(self) -> bool:
        """Returns whether /readyz responds with 200."""
        return call("GET", self.ops + "/readyz").status == 200


class Fleet:
    """Starts processes, and kills them when the context is left."""

    def __init__(
        self, data_centres: Sequence[str], *, grace_s: float = 10.0
    ) -> None:
        """Creates a fleet without processes.

        Args:
            data_centres: Names of the data centres.
            grace_s: Drain grace period of entries and agents, in seconds.
        """
        self.data_centres = list(data_centres)
        self.nodes: dict[str, Node] = {}
        self._grace_s = grace_s
        self._processes: list[Process] = []
        public, secret = zmq.curve_keypair()
        self.public_key = public.decode()
        self.secret_key = secret.decode()
        self.hmac_secret = secrets.token_hex(32)

    def __enter__(self) -> Self:
        """Creates the directory for settings files and output."""
        self._temp = tempfile.TemporaryDirectory(prefix="apricottrestle-")
        self.directory = pathlib.Path(self._temp.name)
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Kills all processes; prints their output after a FleetError."""
        if isinstance(exc, FleetError):
            self._print_output()
        for process in self._processes:
            process.kill()
        self._temp.cleanup()

    def _print_output(self) -> None:
        for process in self._processes:
            print(f"--- {process.name} ({process.exit_code()})")
            print(process.tail())

    def spawn(self, name: str, *arguments: str) -> Process:
        """Starts `python -m <arguments>` with its output in <name>.log."""
        with signals_deferred():
            process = Process(name, arguments, self.directory)
            self._processes.append(process)
        return process

    def start_platform(self, **log_options: Any) -> None:
        """Starts the stand-ins of the log, weight store and instance list."""
        self.start_standin("log", "log", **log_options)
        self.start_standin("weights", "weights")
        self.start_standin("instances", "instances")

    def start_standin(
        self, name: str, kind: str, *, port: int = 0, **options: Any
    ) -> Node:
        """Starts a stand-in with the options of its subcommand."""
        port = port or free_ports(1)[0]
        arguments = [kind, "--port", str(port)]
        for option, value in options.items():
            flag = option.replace("_", "-")
            if isinstance(value, bool):
                arguments.append(f"--{flag}" if value else f"--no-{flag}")
            else:
                arguments += [f"--{flag}", str(value)]
        process = self.spawn(name, "apricottrestle_standins.cli", *arguments)
        node = Node(process, f"http://{HOST}:{port}")
        self.nodes[name] = node
        return node

    def start_relay(self, port: int, target: int, faults_port: int) -> Node:
        """Starts a TCP relay; the node `relay-faults` sets its faults."""
        node = self.start_standin(
            "relay",
            "relay",
            port=port,
            target_port=target,
            faults_port=faults_port,
        )
        del self.nodes["relay"]
        faults = node._replace(url=f"http://{HOST}:{faults_port}")
        self.nodes["relay-faults"] = faults
        wait_for(lambda: _responds(faults), "the relay answers")
        return node

    def wait_standins(self) -> None:
        """Waits until every HTTP stand-in responds."""
        for name, node in self.nodes.items():
            if not node.ops:
                wait_for(functools.partial(_responds, node), f"{name} answers")

    def start_entry(
        self,
        name: str,
        data_centre: str,
        limits: Mapping[str, int] | None = None,
    ) -> Node:
        """Starts an entry.

        Args:
            name: Its name.
            data_centre: Its data centre.
            limits: Settings that differ from their defaults.
        """
        callers, ops = free_ports(2)
        addresses = {"callers": callers, "ops": ops}
        settings = self._write_settings(
            name, data_centre, addresses, {}, limits or {}
        )
        return self._start_daemon(
            "entry", name, settings, f"http://{HOST}:{callers}", ops, ""
        )

    def start_agent(
        self,
        name: str,
        data_centre: str,
        upstream: str,
        *,
        service: str = "",
        prefill_tokens_per_s: float = 0.0,
        slots: int = 8,
        addresses: dict[str, int] | None = None,
    ) -> Node:
        """Starts the agent of a running upstream stand-in.

        Args:
            name: Instance id of the agent.
            data_centre: Data centre of the agent.
            upstream: Node name of the upstream.
            service: Name of the service; "" for an engine.
            prefill_tokens_per_s: Prefill rate of an engine.
            slots: Maximum number of requests that the upstream runs at the
                same time.
            addresses: Ports by the keys "control", "bulk" and "ops"; None
                allocates free ports.
        """
        if addresses is None:
            ports = free_ports(3)
            addresses = dict(
                zip(("control", "bulk", "ops"), ports, strict=True)
            )
        url = self.nodes[upstream].url
        table: dict[str, object] = {
            "kind": "service" if service else "engine",
            "url": url,
            "slots": slots,
        }
        if service:
            table["service"] = service
        else:
            table["prefill_tokens_per_s"] = prefill_tokens_per_s
        settings = self._write_settings(name, data_centre, addresses, table, {})
        return self._start_daemon(
            "agent", name, settings, "", addresses["ops"], url
        )

    def _start_daemon(
        self,
        kind: str,
        name: str,
        settings: str,
        url: str,
        ops_port: int,
        upstream: str,
    ) -> Node:
        process = self.spawn(
            name, "apricottrestle.cli", kind, "--settings", settings
        )
        ops = f"http://{HOST}:{ops_port}"
        node = Node(process, url, ops, settings, upstream)
        self.nodes[name] = node
        return node

    def restart(self, name: str) -> Node:
        """Starts a process that has exited again, with the same arguments."""
        node = self.nodes[name]
        process = self.spawn(name, *node.process.arguments)
        self.nodes[name] = node._replace(process=process)
        return self.nodes[name]

    def _write_settings(
        self,
        name: str,
        data_centre: str,
        addresses: dict[str, int],
        upstream: dict[str, object],
        limits: Mapping[str, int],
    ) -> str:
        others = [other for other in self.data_centres if other != data_centre]
        lines = [
            f"instance_id = {_to_toml(name)}",
            f"data_centre = {_to_toml(data_centre)}",
            f"data_centres = {_to_toml([data_centre, *others])}",
            f"grace_s = {self._grace_s}",
            "[addresses]",
            *(
                f"{key} = {_to_toml(f'{HOST}:{port}')}"
                for key, port in addresses.items()
            ),
            "[fleet]",
            f"public_key = {_to_toml(self.public_key)}",
            f"secret_key = {_to_toml(self.secret_key)}",
            f"hmac_secret = {_to_toml(self.hmac_secret)}",
            "[platform]",
            f"log = {_to_toml(self.nodes['log'].url)}",
            f"weights = {_to_toml(self.nodes['weights'].url)}",
            f"instances = {_to_toml(self.nodes['instances'].url)}",
            f"log_retention_s = {_LOG_RETENTION_S}",
        ]
        if limits:
            lines.append("[limits]")
            lines += [f"{key} = {value}" for key, value in limits.items()]
        if upstream:
            lines.append("[upstream]")
            lines += [f"{key} = {_to_toml(upstream[key])}" for key in upstream]
        path = self.directory / f"{name}.toml"
        path.write_text("\n".join(lines) + "\n")
        return str(path)

    def wait_ready(self, timeout_s: float = _START_TIMEOUT_S) -> None:
        """Waits until every entry and agent is ready."""
        for name, node in self.nodes.items():
            if node.ops:
                wait_for(
                    functools.partial(self._is_ready, node),
                    f"{name} is ready",
                    timeout_s,
                )

    def _is_ready(self, node: Node) -> bool:
        if not node.process.running():
            raise FleetError(f"{node.process.name} exited before it was ready")
        return node.ready()

    def run_command(self, *arguments: str) -> str:
        """Runs an operator's command and returns its last output lines.

        Raises:
            FleetError: The exit code is not 0.
        """
        name = f"command-{len(self._processes)}"
        process = self.spawn(name, "apricottrestle.cli", *arguments)
        code = process.wait(_START_TIMEOUT_S)
        if code != 0:
            raise FleetError(
                f"{arguments} exited with code {code}: {process.tail()}"
            )
        return process.tail()

    def publish_note(self, text: str) -> int:
        """Publishes a release note with the CLI; returns its offset."""
        path = self.directory / f"note-{len(self._processes)}.toml"
        path.write_text(text)
        log = self.nodes["log"].url
        output = self.run_command(
            "release", "publish", str(path), "--log", log, "--json"
        )
        return int(json.loads(output)["offset"])

    def set_faults(self, name: str, **settings: object) -> None:
        """Replaces the fault settings of a stand-in."""
        response = call("POST", self.nodes[name].url + "/faults", settings)
        if response.status != 200:
            raise FleetError(
                f"{name} rejected the fault settings: {response.body!r}"
            )

    def ledger(self, name: str) -> Any:
        """Returns the ledger of a stand-in."""
        return call("GET", self.nodes[name].url + "/ledger").json()


def _to_toml(value: object) -> str:
    """Formats a string, number or list of strings as TOML."""
    return json.dumps(value)


def _responds(node: Node) -> bool:
    return call("GET", node.url + "/faults").status == 200
