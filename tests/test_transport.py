"""Guards the ZeroMQ sockets: delivery, the fleet's key and garbage frames."""

import asyncio
import socket
import threading
import time
from collections.abc import Callable

import pytest
import zmq

from apricottrestle import messages, transport

_TIMEOUT_S = 5.0


def _free_addresses() -> tuple[str, str]:
    with socket.socket() as one, socket.socket() as two:
        one.bind(("127.0.0.1", 0))
        two.bind(("127.0.0.1", 0))
        ports = (one.getsockname()[1], two.getsockname()[1])
    return f"127.0.0.1:{ports[0]}", f"127.0.0.1:{ports[1]}"


def _new_key() -> transport.FleetKey:
    public, secret = zmq.curve_keypair()
    return transport.FleetKey(public.decode(), secret.decode())


async def _wait(condition: Callable[[], bool]) -> bool:
    deadline = asyncio.get_running_loop().time() + _TIMEOUT_S
    while not condition():
        if asyncio.get_running_loop().time() > deadline:
            return False
        await asyncio.sleep(0.01)
    return True


async def _exchange(
    agent_key: transport.FleetKey,
    entry_key: transport.FleetKey,
    *,
    garbage: bool = False,
) -> tuple[list[messages.Received], list[messages.Received]]:
    """Returns what the agent and the entry received, at most 5 s later."""
    control, bulk = _free_addresses()
    at_agent: list[messages.Received] = []
    at_entry: list[messages.Received] = []

    def on_agent_frame(routing_id: bytes, got: messages.Received) -> None:
        at_agent.append(got)
        if routing_id:
            agent.send(routing_id, messages.Draining(7), 3)

    agent = transport.AgentTransport(
        control,
        bulk,
        agent_key,
        transport.Identity("a1", "ia"),
        on_agent_frame,
    )
    entry = transport.EntryTransport(entry_key, transport.Identity("e1", "ie"))
    with agent, entry:
        conn = entry.connect(control, bulk, lambda _, got: at_entry.append(got))
        if garbage:
            conn._control.send([b"\xffgarbage"])
        conn.send(messages.Hello("savannah"), 2)
        conn.send_bulk(messages.BodyChunk("r1", 1, 0, True), 2, b"body")
        expect = agent_key == entry_key
        if expect:
            assert await _wait(lambda: len(at_agent) == 2 and bool(at_entry))
        else:
            await asyncio.sleep(0.5)
        conn.close()
    return at_agent, at_entry


@pytest.mark.parametrize("garbage", [False, True])
def test_messages_arrive_both_ways(garbage: bool) -> None:
    key = _new_key()
    at_agent, at_entry = asyncio.run(_exchange(key, key, garbage=garbage))
    kinds = {type(got.msg) for got in at_agent}
    assert kinds == {messages.Hello, messages.BodyChunk}
    assert [got.msg for got in at_entry] == [messages.Draining(7)]
    assert at_entry[0].config_rev == 3


def test_another_key_gets_no_message_through() -> None:
    at_agent, at_entry = asyncio.run(_exchange(_new_key(), _new_key()))
    assert at_agent == []
    assert at_entry == []


def test_right_server_key_with_wrong_client_key_is_refused() -> None:
    fleet = _new_key()
    outsider = _new_key()
    mixed = transport.FleetKey(fleet.public, outsider.secret)
    at_agent, at_entry = asyncio.run(_exchange(fleet, mixed))
    assert at_agent == []
    assert at_entry == []


def _answer_pings(
    control: str, bulk: str, key: transport.FleetKey, ready: threading.Event
) -> None:
    """Answers one Ping, in an event loop of its own thread."""

    async def serve() -> None:
        done = asyncio.Event()

        def on_frame(routing_id: bytes, got: messages.Received) -> None:
            if isinstance(got.msg, messages.Ping):
                agent.send(routing_id, messages.Draining(7), 0)
            elif isinstance(got.msg, messages.Cancel):
                done.set()

        agent = transport.AgentTransport(
            control, bulk, key, transport.Identity("a1", "ia"), on_frame
        )
        with agent:
            ready.set()
            await asyncio.wait_for(done.wait(), _TIMEOUT_S)

    asyncio.run(serve())


def test_send_does_not_hide_a_frame_that_has_arrived() -> None:
    """A send from outside a handler consumed the wake-up of the socket.

    The frame then waited for the next event, which made first tokens late by
    up to a heartbeat.
    """
    key = _new_key()
    control, bulk = _free_addresses()
    ready = threading.Event()
    thread = threading.Thread(
        target=_answer_pings, args=(control, bulk, key, ready)
    )
    thread.start()
    assert ready.wait(_TIMEOUT_S)

    async def exchange() -> bool:
        got: list[messages.Received] = []
        entry = transport.EntryTransport(key, transport.Identity("e", "i"))
        with entry:
            conn = entry.connect(control, bulk, lambda _, msg: got.append(msg))
            conn.send(messages.Ping(1, False), 0)
            assert await _wait(lambda: bool(got))
            got.clear()
            conn.send(messages.Ping(2, False), 0)
            # The answer arrives while the event loop is busy.
            time.sleep(0.2)
            conn.send(messages.Credit("r", 1, 1), 0)
            arrived = await _wait(lambda: bool(got))
            conn.send(messages.Cancel("r", 1, ""), 0)
            await asyncio.sleep(0)
            conn.close()
        return arrived

    arrived = asyncio.run(exchange())
    thread.join()
    assert arrived
