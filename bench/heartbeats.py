"""Measures an entry's heartbeat cost over CURVE sockets, by connections.

The agent runs in a child process, so that the processor time and memory of the
parent are those of the entry alone. A relay counts the bytes in between.
"""

import asyncio
import multiprocessing
import socket
import time
from multiprocessing import connection
from typing import Final, NamedTuple

import zmq

from apricottrestle import messages, transport

_MEASURED_CYCLES: Final = 20
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
    """Cost of one heartbeat cycle over all connections.

    Attributes:
        connections: Number of connections.
        cpu_us: Processor time of the entry per cycle, in microseconds.
        wire_bytes: TCP payload per cycle, both directions.
        memory_kb: Resident memory added by the connections, in KB.
    """

    connections: int
    cpu_us: float
    wire_bytes: float
    memory_kb: float


def resident_kb() -> int:
    """Returns the resident memory of this process in KB."""
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
    """Runs an agent that answers pings until the process is terminated."""

    async def serve() -> None:
        def on_frame(routing_id: bytes, received: messages.Received) -> None:
            if isinstance(received.msg, messages.Ping):
                pong = messages.Pong(received.msg.seq, REPORT)
                agent.send(routing_id, pong, 5)

        agent = transport.AgentTransport(
            control, bulk, key, transport.Identity("agent", "i"), on_frame
        )
        with agent:
            ready.send(True)
            await asyncio.Event().wait()

    asyncio.run(serve())


class _CountingRelay:
    """A TCP relay that counts the bytes of both directions."""

    def __init__(self, target: str) -> None:
        self._host, port = target.rsplit(":", 1)
        self._port = int(port)
        self.byte_count = 0
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> str:
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        return f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        agent_reader, agent_writer = await asyncio.open_connection(
            self._host, self._port
        )
        for source, sink in ((reader, agent_writer), (agent_reader, writer)):
            task = asyncio.create_task(self._forward(source, sink))
            self._tasks.add(task)

    async def _forward(
        self, source: asyncio.StreamReader, sink: asyncio.StreamWriter
    ) -> None:
        while data := await source.read(_CHUNK_BYTES):
            self.byte_count += len(data)
            sink.write(data)

    def close(self) -> None:
        self._server.close()
        for task in self._tasks:
            task.cancel()


async def _run_cycles(
    address: str, key: transport.FleetKey, connections: int, cycles: int
) -> tuple[float, float]:
    """Runs heartbeat cycles.

    Returns:
        Processor time per cycle in microseconds, and added memory in KB.
    """
    pongs = 0
    done = asyncio.Event()

    def on_frame(_: bytes, received: messages.Received) -> None:
        nonlocal pongs
        pongs += isinstance(received.msg, messages.Pong)
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
        cpu_s = time.process_time() - start
        for conn in conns:
            conn.close()
    return cpu_s / cycles * 1e6, added_kb


async def _wire_bytes(
    control: str, key: transport.FleetKey, connections: int
) -> float:
    """Returns the bytes of one cycle, counted in a run without timing.

    The bytes of a run with one cycle are subtracted, so that connection set-up
    doesn't count.
    """
    relay = _CountingRelay(control)
    address = await relay.start()
    await _run_cycles(address, key, connections, 1)
    set_up_bytes = relay.byte_count
    relay.byte_count = 0
    await _run_cycles(address, key, connections, 1 + _MEASURED_CYCLES)
    relay.close()
    return (relay.byte_count - set_up_bytes) / _MEASURED_CYCLES


def measure(connections: int) -> HeartbeatCost:
    """Measures the heartbeats of an entry in this process.

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
            raise RuntimeError("the agent process did not start within 30 s")
        cpu_us, added_kb = asyncio.run(
            _run_cycles(control, key, connections, _MEASURED_CYCLES)
        )
        wire_bytes = asyncio.run(_wire_bytes(control, key, connections))
    finally:
        agent.terminate()
        agent.join()
    return HeartbeatCost(connections, cpu_us, wire_bytes, added_kb)


def measure_in_new_process(connections: int) -> HeartbeatCost:
    """Runs `measure` in a new process, whose memory holds no other results."""
    ctx = multiprocessing.get_context("spawn")
    receiver, sender = ctx.Pipe(duplex=False)
    process = ctx.Process(target=_send_measurement, args=(sender, connections))
    process.start()
    try:
        if not receiver.poll(4 * _TIMEOUT_S):
            raise RuntimeError(f"no result for {connections} connections")
        cost: HeartbeatCost = receiver.recv()
    finally:
        process.join()
    return cost


def _send_measurement(sender: connection.Connection, connections: int) -> None:
    sender.send(measure(connections))
