"""A fleet on loopback: stand-ins, entries and agents as separate processes.

Used by the demo and by the tests on real processes. Invariant: leaving the
`Fleet` context ends every process that it started, by process id, on failure
and on interrupt too.
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
from collections.abc import Callable, Iterator, Sequence
from types import TracebackType
from typing import Any, Final, NamedTuple, Self

import zmq

HOST: Final = "127.0.0.1"
_POLL_S: Final = 0.05
_START_TIMEOUT_S: Final = 20.0
_CALL_TIMEOUT_S: Final = 5.0
_LOG_TAIL_LINES: Final = 15
_RETENTION_S: Final = 3600.0
_FIRST_PORT: Final = 15_000
_END_PORT: Final = 32_000


class FleetError(Exception):
    """A process did not start, or an awaited state was not reached."""


class _Ports:
    """Hands out each port once.

    Ports below the ephemeral range are used, because an outgoing connection of
    another process could take an ephemeral one before its server binds it.
    """

    def __init__(self) -> None:
        self._next = random.SystemRandom().randrange(_FIRST_PORT, _END_PORT)

    def take(self) -> int:
        for _ in range(_END_PORT - _FIRST_PORT):
            port = self._next
            self._next += 1
            if self._next >= _END_PORT:
                self._next = _FIRST_PORT
            if _is_free(port):
                return port
        raise FleetError("no free port")


def _is_free(port: int) -> bool:
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind((HOST, port))
        except OSError:
            return False
    return True


_PORTS: Final = _Ports()


def free_ports(count: int) -> list[int]:
    """Returns loopback ports that are free at the moment, each once."""
    return [_PORTS.take() for _ in range(count)]


class HttpResponse(NamedTuple):
    """Status (0 when there was no answer), headers and body of a call."""

    status: int
    headers: dict[str, str]
    body: bytes

    def json(self) -> Any:
        """Returns the body as JSON."""
        return json.loads(self.body)


def call(
    method: str,
    url: str,
    body: object = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = _CALL_TIMEOUT_S,
) -> HttpResponse:
    """Makes a blocking HTTP call; bytes are sent as they are."""
    parts = urllib.parse.urlsplit(url)
    conn = http.client.HTTPConnection(parts.netloc, timeout=timeout_s)
    data = body
    if body is not None and not isinstance(body, bytes):
        data = json.dumps(body).encode()
    path = parts.path + (f"?{parts.query}" if parts.query else "")
    try:
        conn.request(method, path, data, headers or {})  # type: ignore[arg-type]
        answer = conn.getresponse()
        return HttpResponse(
            answer.status,
            {name.lower(): value for name, value in answer.getheaders()},
            answer.read(),
        )
    except (OSError, http.client.HTTPException):
        return HttpResponse(0, {}, b"")
    finally:
        conn.close()


def wait_for(
    condition: Callable[[], Any], what: str, timeout_s: float = _START_TIMEOUT_S
) -> Any:
    """Polls until the condition is true and returns its value.

    Raises:
        FleetError: The time is over.
    """
    end_s = time.monotonic() + timeout_s
    while True:
        value = condition()
        if value:
            return value
        if time.monotonic() > end_s:
            raise FleetError(f"not within {timeout_s:g} s: {what}")
        time.sleep(_POLL_S)


@contextlib.contextmanager
def signals_deferred() -> Iterator[None]:
    """Delays the handlers of SIGINT and SIGTERM, which may raise, to the end.

    An exception between the start of a process and its record would leave the
    process running for good.
    """
    if threading.current_thread() is not threading.main_thread():
        # Handlers run in the main thread only.
        yield
        return
    arrived: list[int] = []
    before = {
        signum: signal.signal(signum, lambda number, _: arrived.append(number))
        for signum in (signal.SIGINT, signal.SIGTERM)
    }
    try:
        yield
    finally:
        for signum, handler in before.items():
            signal.signal(signum, handler or signal.SIG_DFL)
        for number in arrived:
            signal.raise_signal(number)


class Process:
    """A started process with its output file."""

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
        """Process id."""
        return self._popen.pid

    def running(self) -> bool:
        """Tells whether the process has not ended."""
        return self._popen.poll() is None

    def exit_code(self) -> int | None:
        """Exit code; negative for a signal, None while running."""
        return self._popen.poll()

    def send_signal(self, signum: signal.Signals) -> None:
        """Sends a signal, unless the process has ended."""
        self._popen.send_signal(signum)

    def wait(self, timeout_s: float) -> int:
        """Waits for the end and returns the exit code.

        Raises:
            FleetError: The process still runs.
        """
        try:
            return self._popen.wait(timeout_s)
        except subprocess.TimeoutExpired as exc:
            raise FleetError(
                f"{self.name} still runs after {timeout_s:g} s"
            ) from exc

    def tail(self) -> str:
        """Returns the last lines of its output."""
        lines = self.output.read_text(errors="replace").splitlines()
        return "\n".join(lines[-_LOG_TAIL_LINES:])

    def end(self) -> None:
        """Ends the process with SIGKILL and reaps it."""
        if self.running():
            self.send_signal(signal.SIGKILL)
        self._popen.wait()


class Node(NamedTuple):
    """A running entry, agent or stand-in with its base URLs.

    Attributes:
        process: The process.
        url: Caller API of an entry, or HTTP address of a stand-in.
        ops: Health, readiness and metrics of an entry or agent.
        settings: Settings file of an entry or agent.
        upstream: Base URL of an agent's upstream.
    """

    process: Process
    url: str
    ops: str = ""
    settings: str = ""
    upstream: str = ""

    def is_entry(self) -> bool:
        """Tells whether the node is an entry."""
        return bool(self.url and self.ops)

    def ready(self) -> bool:
        """Tells whether /readyz answers 200."""
        return call("GET", self.ops + "/readyz").status == 200


class Fleet:
    """Starts processes, and ends them when the context is left."""

    def __init__(
        self, data_centres: Sequence[str], *, grace_s: float = 10.0
    ) -> None:
        """Prepares a fleet.

        Args:
            data_centres: Names of the data centres.
            grace_s: Drain grace of entries and agents in seconds.
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
        """Creates the directory for settings and output."""
        self._temp = tempfile.TemporaryDirectory(prefix="apricottrestle-")
        self.directory = pathlib.Path(self._temp.name)
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Ends all processes with SIGKILL; shows output after a FleetError."""
        if isinstance(exc, FleetError):
            self._show_output()
        for process in self._processes:
            process.end()
        self._temp.cleanup()

    def _show_output(self) -> None:
        for process in self._processes:
            print(f"--- {process.name} ({process.exit_code()})")
            print(process.tail())

    def spawn(self, name: str, *arguments: str) -> Process:
        """Starts `python -m <arguments>`; its output is kept by name."""
        with signals_deferred():
            process = Process(name, arguments, self.directory)
            self._processes.append(process)
        return process

    def start_platform(self, **log_options: Any) -> None:
        """Starts log, weight store and instance list."""
        self.start_standin("log", "log", **log_options)
        self.start_standin("weights", "weights")
        self.start_standin("instances", "instances")

    def start_standin(
        self, name: str, kind: str, *, port: int = 0, **options: Any
    ) -> Node:
        """Starts a stand-in; options are those of its command."""
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
        """Starts a TCP relay; its faults go to the node `relay-faults`."""
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
        wait_for(lambda: _answers(faults), "the relay answers")
        return node

    def wait_standins(self) -> None:
        """Waits until every HTTP stand-in answers."""
        for name, node in self.nodes.items():
            if not node.ops:
                wait_for(functools.partial(_answers, node), f"{name} answers")

    def start_entry(self, name: str, data_centre: str) -> Node:
        """Starts an entry."""
        callers, ops = free_ports(2)
        addresses = {"callers": callers, "ops": ops}
        settings = self._write_settings(name, data_centre, addresses, {})
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
            name: Instance id.
            data_centre: Data centre.
            upstream: Name of the upstream's node.
            service: Service name; empty for an engine.
            prefill_tokens_per_s: Prefill rate of an engine.
            slots: Requests that the upstream runs at the same time.
            addresses: Ports control, bulk and ops; free ones when None.
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
        settings = self._write_settings(name, data_centre, addresses, table)
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
        """Starts an ended process again with its command line."""
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
    ) -> str:
        others = [x for x in self.data_centres if x != data_centre]
        lines = [
            f"instance_id = {_toml(name)}",
            f"data_centre = {_toml(data_centre)}",
            f"data_centres = {_toml([data_centre, *others])}",
            f"grace_s = {self._grace_s}",
            "[addresses]",
            *(
                f"{key} = {_toml(f'{HOST}:{port}')}"
                for key, port in addresses.items()
            ),
            "[fleet]",
            f"public_key = {_toml(self.public_key)}",
            f"secret_key = {_toml(self.secret_key)}",
            f"hmac_secret = {_toml(self.hmac_secret)}",
            "[platform]",
            f"log = {_toml(self.nodes['log'].url)}",
            f"weights = {_toml(self.nodes['weights'].url)}",
            f"instances = {_toml(self.nodes['instances'].url)}",
            f"log_retention_s = {_RETENTION_S}",
        ]
        if upstream:
            lines.append("[upstream]")
            lines += [f"{key} = {_toml(upstream[key])}" for key in upstream]
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
            raise FleetError(f"{node.process.name} ended")
        return node.ready()

    def run_command(self, *arguments: str) -> str:
        """Runs an operator's command to its end; returns its output.

        Raises:
            FleetError: The exit code is not 0.
        """
        name = f"command-{len(self._processes)}"
        process = self.spawn(name, "apricottrestle.cli", *arguments)
        code = process.wait(_START_TIMEOUT_S)
        if code != 0:
            raise FleetError(f"{arguments} gave {code}: {process.tail()}")
        return process.tail()

    def publish_note(self, text: str) -> int:
        """Publishes a release note with the command; returns its offset."""
        path = self.directory / f"note-{len(self._processes)}.toml"
        path.write_text(text)
        log = self.nodes["log"].url
        output = self.run_command(
            "release", "publish", str(path), "--log", log, "--json"
        )
        return int(json.loads(output)["offset"])

    def set_faults(self, name: str, **settings: object) -> None:
        """Replaces the fault settings of a stand-in."""
        answer = call("POST", self.nodes[name].url + "/faults", settings)
        if answer.status != 200:
            raise FleetError(f"{name} refused the faults: {answer.body!r}")

    def ledger(self, name: str) -> Any:
        """Returns the ledger of a stand-in."""
        return call("GET", self.nodes[name].url + "/ledger").json()


def _toml(value: object) -> str:
    """Returns a string, number or list of strings as TOML."""
    return json.dumps(value)


def _answers(node: Node) -> bool:
    return call("GET", node.url + "/faults").status == 200
