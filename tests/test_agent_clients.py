"""Guards the upstream clients: sent once, one end, any split of the stream."""

import asyncio
import itertools
from collections.abc import Callable
from typing import Final

import pytest
from hypothesis import given
from hypothesis import strategies as st

from apricottrestle import (
    agent_events,
    engine_client,
    errors,
    messages,
    service_client,
)

_HOST: Final = "127.0.0.1"
_OK: Final = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
_STREAM: Final = (
    b": comment\n\n"
    b'data: {"offset": 2, "tokens": [7, 8], "reused": 512}\n\n'
    b'data: {"offset": 4, "tokens": [9]}\r\n\r\n'
    b'data: {"done": true, "count": 5}\n\ndata: [DONE]\n\n'
)


@given(st.lists(st.integers(0, len(_STREAM)), max_size=8))
def test_stream_decodes_alike_however_it_is_split(cuts: list[int]) -> None:
    stream = engine_client.EventStream("r1.1")
    marks = [0, *sorted(cuts), len(_STREAM)]
    events: list[agent_events.Event] = []
    for start, stop in itertools.pairwise(marks):
        events += stream.feed(_STREAM[start:stop])
    assert events == [
        agent_events.RunTokens("r1.1", 2, [7, 8], 512),
        agent_events.RunTokens("r1.1", 4, [9], 0),
        agent_events.RunDone("r1.1", 5),
    ]
    assert stream.ended


@pytest.mark.parametrize("line", [b"data: {\n", b'data: {"tokens": 3}\n'])
def test_broken_stream_line_is_an_upstream_error(line: bytes) -> None:
    with pytest.raises(errors.UpstreamError):
        engine_client.EventStream("r1.1").feed(line)


class _Server:
    """TCP server that answers the first requests and then closes instead."""

    def __init__(self, answers: int) -> None:
        self._answers = answers
        self.requests = 0

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while True:
            try:
                await reader.readuntil(b"\r\n\r\n")
            except asyncio.IncompleteReadError:
                break
            self.requests += 1
            if self.requests > self._answers:
                break
            writer.write(_OK)
            await writer.drain()
        writer.close()


def _call(call_id: str) -> agent_events.CallService:
    return agent_events.CallService(call_id, "POST", "/book", [], b"", 5.0)


async def _calls(
    server: _Server, count: int, *, listening: bool = True
) -> list[agent_events.Event]:
    """Makes calls one after the other; returns their events."""
    events: list[agent_events.Event] = []
    sock = await asyncio.start_server(server.serve, _HOST, 0)
    port = sock.sockets[0].getsockname()[1]
    if not listening:
        sock.close()
        await sock.wait_closed()
    url = f"http://{_HOST}:{port}"
    client = service_client.ServiceClient(url, 1, events.append)
    with client:
        for index in range(count):
            assert client.execute(_call(str(index)))
            await _until(lambda want=index + 1: len(events) == want)  # type: ignore[misc]
    sock.close()
    return events


async def _until(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(10):
        while not condition():
            await asyncio.sleep(0.005)


def test_call_is_not_repeated_when_the_connection_dies() -> None:
    """Fails when libcurl repeats a request on a reused connection."""
    server = _Server(answers=1)
    events = asyncio.run(_calls(server, 2))
    assert events[0] == agent_events.ServiceAnswer("0", 200, [], b"ok")
    assert events[1] == agent_events.ServiceFailed("1", "answer_lost", True)
    assert server.requests == 2


def test_refused_connection_proves_that_nothing_was_sent() -> None:
    events = asyncio.run(_calls(_Server(0), 1, listening=False))
    assert events == [
        agent_events.ServiceFailed("0", "service_unreachable", False)
    ]


@pytest.mark.parametrize(
    ("body", "reason"),
    [(b"\xc1", "bad_prompt"), (b"\xa1a", "upstream_unreachable")],
)
def test_run_that_cannot_start_ends_once(body: bytes, reason: str) -> None:
    async def main() -> list[agent_events.Event]:
        events: list[agent_events.Event] = []
        sock = await asyncio.start_server(_Server(0).serve, _HOST, 0)
        url = f"http://{_HOST}:{sock.sockets[0].getsockname()[1]}"
        with engine_client.EngineClient(url, 1, events.append) as client:
            kv = messages.KvHandle("http://127.0.0.1:9", "h")
            client.execute(
                agent_events.StartRun(
                    "r1.1", body, 5, 1, "", "v1", [], 5_000, [], kv
                )
            )
            await client.settle(10)
        sock.close()
        return events

    assert asyncio.run(main()) == [agent_events.RunFailed("r1.1", reason)]


def test_run_cancelled_before_its_start_is_not_started() -> None:
    async def main() -> tuple[int, list[agent_events.Event]]:
        events: list[agent_events.Event] = []
        server = _Server(5)
        sock = await asyncio.start_server(server.serve, _HOST, 0)
        url = f"http://{_HOST}:{sock.sockets[0].getsockname()[1]}"
        start = agent_events.StartRun(
            "r1.1", b"\xa1a", 5, 1, "", "v1", [], 5_000, [],
            messages.KvHandle(url, "h"),
        )  # fmt: skip
        with engine_client.EngineClient(url, 1, events.append) as client:
            client.execute(start)
            client.execute(agent_events.CancelRun("r1.1"))
            await client.settle(10)
        sock.close()
        return server.requests, events

    imported_and_cancelled = 2
    requests, events = asyncio.run(main())
    assert requests == imported_and_cancelled
    assert events == [agent_events.RunFailed("r1.1", "upstream_cut")]
