"""Cost of an entry's heartbeats over real CURVE sockets, by connections.

The agent's side runs in a child process, so that the parent's processor time
and memory are the entry's alone. A counting relay stands between the two.
"""

import asyncio
import multiprocessing
import socket
import time
from multiprocessing import connection
from typing import Final, NamedTuple

import zmq

from apricottrestle import messages, transport

_CYCLES: Final = 20
_TIMEOUT_S: Final = 30.0
_CHUNK_BYTES: Final = 65_536

REPORT: Final = messages.LoadReport(
    upstream="model-07",
    kind="engine",
    version="2026-11",
    adapters=["vineyard", "ledger"],
    draining=False,
    queued_tokens=[12_000, 480_000, 1_900_000],
    running=48,
    prefill_tokens_left=310_000,
    kv_tokens_total=2_000_000,
    kv_tokens_free=350_000,
    prefill_tokens_per_s=100_000.0,
    received=1_234_567,
)


class HeartbeatCost(NamedTuple):
    """Cost of one heartbeat cycle of all connections.

    Attributes:
        connections: Number of connections.
        cpu_us: Processor time of the entry per cycle, microseconds.
        wire_bytes: TCP payload of both directions per cycle.
        memory_kb: Resident memory added by the connections.
    """

    connections: int
    cpu_us: float
    wire_bytes: float
    memory_kb: float


def resident_kb() -> int:
    """Returns the resident memory of this process."""
    with open("/proc/self/status", encoding="ascii") as status:
        for line in status:
            if line.startswith("VmRSS"):
                return int(line.split()[1])
    raise RuntimeError("no VmRSS in /proc/self/status")


def _free_address() -> str:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{sock.getsockname()[1]}"


def _serve_agent(
    control: str,
    bulk: str,
    key: transport.FleetKey,
    ready: connection.Connection,
) -> None:
    """Answers pings until the parent ends the process."""

    async def serve() -> None:
        def on_frame(routing_id: bytes, got: messages.Received) -> None:
            if isinstance(got.msg, messages.Ping):
                pong = messages.Pong(got.msg.seq, REPORT)
                agent.send(routing_id, pong, 5)

        agent = transport.AgentTransport(
            control, bulk, key, transport.Identity("agent", "i"), on_frame
        )
        with agent:
            ready.send(True)
            await asyncio.Event().wait()

    asyncio.run(serve())


class _CountingRelay:
    """Forwards TCP to an address and counts the bytes of both directions."""

    def __init__(self, target: str) -> None:
        self._host, port = target.rsplit(":", 1)
        self._port = int(port)
        self.count = 0
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> str:
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        return f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        far_reader, far_writer = await asyncio.open_connection(
            self._host, self._port
        )
        for source, sink in ((reader, far_writer), (far_reader, writer)):
            task = asyncio.create_task(self._pump(source, sink))
            self._tasks.add(task)

    async def _pump(
        self, source: asyncio.StreamReader, sink: asyncio.StreamWriter
    ) -> None:
        while data := await source.read(_CHUNK_BYTES):
            self.count += len(data)
            sink.write(data)

    def close(self) -> None:
        self._server.close()
        for task in self._tasks:
            task.cancel()


async def _cycles(
    address: str, key: transport.FleetKey, connections: int, cycles: int
) -> tuple[float, float]:
    """Returns processor microseconds per cycle and kilobytes added."""
    pongs = 0
    done = asyncio.Event()

    def on_frame(_: bytes, got: messages.Received) -> None:
        nonlocal pongs
        pongs += isinstance(got.msg, messages.Pong)
        if pongs == connections:
            done.set()

    async def ping_all(seq: int) -> None:
        nonlocal pongs
        pongs = 0
        done.clear()
        for conn in conns:
            conn.send(messages.Ping(seq, False), 5)
        await asyncio.wait_for(done.wait(), _TIMEOUT_S)

    identity = transport.Identity("entry", "i")
    with transport.EntryTransport(key, identity) as entry:
        before_kb = resident_kb()
        conns = [
            entry.connect(address, address, on_frame)
            for _ in range(connections)
        ]
        await ping_all(0)
        added_kb = resident_kb() - before_kb
        start = time.process_time()
        for seq in range(1, cycles + 1):
            await ping_all(seq)
        spent = time.process_time() - start
        for conn in conns:
            conn.close()
    return spent / cycles * 1e6, added_kb


async def _wire_bytes(
    control: str, key: transport.FleetKey, connections: int
) -> float:
    """Returns the bytes of one cycle, counted apart from the timing."""
    relay = _CountingRelay(control)
    address = await relay.start()
    await _cycles(address, key, connections, 1)
    base = relay.count
    relay.count = 0
    await _cycles(address, key, connections, 1 + _CYCLES)
    relay.close()
    return (relay.count - base) / _CYCLES


def measure(connections: int) -> HeartbeatCost:
    """Measures one size in a fresh pair of processes.

    Args:
        connections: Connections of the entry, all to one agent process.
    """
    public, secret = zmq.curve_keypair()
    key = transport.FleetKey(public.decode(), secret.decode())
    control, bulk = _free_address(), _free_address()
    ready, child_ready = multiprocessing.Pipe()
    agent = multiprocessing.Process(
        target=_serve_agent, args=(control, bulk, key, child_ready)
    )
    agent.start()
    try:
        if not ready.poll(_TIMEOUT_S):
            raise RuntimeError("the agent's side did not start in 30 s")
        cpu_us, added_kb = asyncio.run(
            _cycles(control, key, connections, _CYCLES)
        )
        wire = asyncio.run(_wire_bytes(control, key, connections))
    finally:
        agent.terminate()
        agent.join()
    return HeartbeatCost(connections, cpu_us, wire, added_kb)


def measure_fresh(connections: int) -> HeartbeatCost:
    """Runs `measure` in a new process, so that memory starts from idle."""
    ctx = multiprocessing.get_context("spawn")
    receiver, sender = ctx.Pipe(duplex=False)
    child = ctx.Process(target=_measure_into, args=(sender, connections))
    child.start()
    try:
        if not receiver.poll(4 * _TIMEOUT_S):
            raise RuntimeError(f"{connections} connections: no result")
        cost: HeartbeatCost = receiver.recv()
    finally:
        child.join()
    return cost


def _measure_into(sender: connection.Connection, connections: int) -> None:
    sender.send(measure(connections))
