"""Tests of delivery, authentication and malformed frames on the sockets."""

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
    with socket.socket() as first, socket.socket() as second:
        first.bind(("127.0.0.1", 0))
        second.bind(("127.0.0.1", 0))
        ports = (first.getsockname()[1], second.getsockname()[1])
    return f"127.0.0.1:{ports[0]}", f"127.0.0.1:{ports[1]}"


def _new_key() -> transport.FleetKey:
    public, secret = zmq.curve_keypair()
    return transport.FleetKey(public.decode(), secret.decode())


async def _wait_for(condition: Callable[[], bool]) -> bool:
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
    """Returns the messages that the agent and the entry received."""
    control, bulk = _free_addresses()
    at_agent: list[messages.Received] = []
    at_entry: list[messages.Received] = []

    def on_agent_frame(routing_id: bytes, received: messages.Received) -> None:
        at_agent.append(received)
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
        conn = entry.connect(
            control, bulk, lambda _, message: at_entry.append(message)
        )
        if garbage:
            conn._control.send([b"\xffgarbage"])
        conn.send(messages.Hello("savannah"), 2)
        conn.send_bulk(messages.BodyChunk("r1", 1, 0, True), 2, b"body")
        accepted = agent_key == entry_key
        if accepted:
            assert await _wait_for(
                lambda: len(at_agent) == 2 and bool(at_entry)
            )
        else:
            await asyncio.sleep(0.5)
        conn.close()
    return at_agent, at_entry


@pytest.mark.parametrize("garbage", [False, True])
def test_messages_arrive_both_ways(garbage: bool) -> None:
    key = _new_key()
    at_agent, at_entry = asyncio.run(_exchange(key, key, garbage=garbage))
    kinds = {type(received.msg) for received in at_agent}
    assert kinds == {messages.Hello, messages.BodyChunk}
    assert [received.msg for received in at_entry] == [messages.Draining(7)]
    assert at_entry[0].config_rev == 3


def test_entry_with_another_key_exchanges_no_messages() -> None:
    at_agent, at_entry = asyncio.run(_exchange(_new_key(), _new_key()))
    assert at_agent == []
    assert at_entry == []


def test_client_with_fleet_public_key_but_other_secret_is_refused() -> None:
    fleet = _new_key()
    outsider = _new_key()
    mixed = transport.FleetKey(fleet.public, outsider.secret)
    at_agent, at_entry = asyncio.run(_exchange(fleet, mixed))
    assert at_agent == []
    assert at_entry == []


def _answer_pings(
    control: str, bulk: str, key: transport.FleetKey, ready: threading.Event
) -> None:
    """Answers pings until a Cancel, in an event loop of its own thread."""

    async def serve() -> None:
        done = asyncio.Event()

        def on_frame(routing_id: bytes, received: messages.Received) -> None:
            if isinstance(received.msg, messages.Ping):
                agent.send(routing_id, messages.Draining(7), 0)
            elif isinstance(received.msg, messages.Cancel):
                done.set()

        agent = transport.AgentTransport(
            control, bulk, key, transport.Identity("a1", "ia"), on_frame
        )
        with agent:
            ready.set()
            await asyncio.wait_for(done.wait(), _TIMEOUT_S)

    asyncio.run(serve())


def test_send_does_not_delay_a_frame_that_has_arrived() -> None:
    """Guards against a send that resets the socket's edge-triggered event.

    A frame that had arrived then waited for the next event, which delayed first
    tokens by up to a heartbeat interval.
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
        received: list[messages.Received] = []
        entry = transport.EntryTransport(key, transport.Identity("e", "i"))
        with entry:
            conn = entry.connect(
                control, bulk, lambda _, msg: received.append(msg)
            )
            conn.send(messages.Ping(1, False), 0)
            assert await _wait_for(lambda: bool(received))
            received.clear()
            conn.send(messages.Ping(2, False), 0)
            # The answer arrives while the event loop is busy.
            time.sleep(0.2)
            conn.send(messages.Credit("r", 1, 1), 0)
            arrived = await _wait_for(lambda: bool(received))
            conn.send(messages.Cancel("r", 1, ""), 0)
            await asyncio.sleep(0)
            conn.close()
        return arrived

    arrived = asyncio.run(exchange())
    thread.join()
    assert arrived
