"""Guards the ZeroMQ sockets: delivery, the fleet's key and garbage frames."""

import asyncio
import socket
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


async def _receive_beside_a_send(rounds: int) -> int:
    """Returns how many of the agent's messages reached the entry in 0.5 s.

    Each arrives in ZeroMQ's thread before the entry sends, so that the send
    uses up the notification of its arrival.
    """
    control, bulk = _free_addresses()
    key = _new_key()
    routing: list[bytes] = []
    at_entry: list[messages.Received] = []
    agent = transport.AgentTransport(
        control,
        bulk,
        key,
        transport.Identity("a1", "ia"),
        lambda routing_id, _: routing.append(routing_id),
    )
    entry = transport.EntryTransport(key, transport.Identity("e1", "ie"))
    with agent, entry:
        conn = entry.connect(control, bulk, lambda _, got: at_entry.append(got))
        conn.send(messages.Hello("savannah"), 1)
        assert await _wait(lambda: bool(routing))
        for number in range(rounds):
            agent.send(routing[0], messages.Draining(number), 1)
            time.sleep(0.05)
            conn.send(messages.Ping(number, False), 1)
            await asyncio.sleep(0)
            await asyncio.sleep(0.5 / rounds)
        conn.close()
    return len(at_entry)


def test_message_that_arrives_beside_a_send_is_not_held_back() -> None:
    """Without the check after a send it waited for the next Ping, up to 2 s."""
    assert asyncio.run(_receive_beside_a_send(1)) == 1
