"""Tests of the HTTP clients of engine and service.

They guard against requests that are sent twice, commands that end more than
once or never, and streams whose events depend on how the data is split.
"""

import asyncio
import contextlib
import itertools
from collections.abc import AsyncIterator
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
from tests import async_helpers

_HOST: Final = "127.0.0.1"
_CALLS_AT_ONCE: Final = 60
_OK: Final = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
_STREAM: Final = (
    b": comment\n\n"
    b'data: {"offset": 2, "tokens": [7, 8], "reused": 512}\n\n'
    b'data: {"offset": 4, "tokens": [9]}\r\n\r\n'
    b'data: {"done": true, "count": 5}\n\ndata: [DONE]\n\n'
)


@given(st.lists(st.integers(0, len(_STREAM)), max_size=8))
def test_stream_events_do_not_depend_on_how_data_is_split(
    cuts: list[int],
) -> None:
    stream = engine_client.CompletionStreamParser("r1.1")
    bounds = [0, *sorted(cuts), len(_STREAM)]
    events: list[agent_events.Event] = []
    for start, stop in itertools.pairwise(bounds):
        events += stream.feed(_STREAM[start:stop])
    assert events == [
        agent_events.RunTokens("r1.1", 2, [7, 8], 512),
        agent_events.RunTokens("r1.1", 4, [9], 0),
        agent_events.RunFinished("r1.1", 5),
    ]
    assert stream.ended


@pytest.mark.parametrize("line", [b"data: {\n", b'data: {"tokens": 3}\n'])
def test_malformed_stream_line_is_an_upstream_error(line: bytes) -> None:
    with pytest.raises(errors.UpstreamError):
        engine_client.CompletionStreamParser("r1.1").feed(line)


class _Server:
    """TCP server that answers the first requests and closes on later ones."""

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


@contextlib.asynccontextmanager
async def _serving(server: _Server) -> AsyncIterator[str]:
    """Yields the URL; the server stops listening when the context ends."""
    sock = await asyncio.start_server(server.serve, _HOST, 0)
    try:
        yield f"http://{_HOST}:{sock.sockets[0].getsockname()[1]}"
    finally:
        sock.close()


async def _calls(url: str, count: int) -> list[agent_events.Event]:
    """Executes calls one after the other; returns their events."""
    events: list[agent_events.Event] = []
    with service_client.ServiceClient(url, events.append) as client:
        for index in range(count):
            assert client.execute(_call(str(index)))
            await client.wait_for_commands(10)
            assert len(events) == index + 1
    return events


@async_helpers.async_test
async def test_no_call_waits_for_others() -> None:
    """Guards against a call that is sent after its service has left.

    It waited in the client for calls that the service still ran.
    """
    requests = 0

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        nonlocal requests
        await reader.readuntil(b"\r\n\r\n")
        requests += 1
        await reader.read()
        writer.close()

    server = await asyncio.start_server(serve, _HOST, 0)
    url = f"http://{_HOST}:{server.sockets[0].getsockname()[1]}"
    with service_client.ServiceClient(url, lambda _event: None) as client:
        for index in range(_CALLS_AT_ONCE):
            client.execute(_call(str(index)))
        await async_helpers.wait_until(lambda: requests == _CALLS_AT_ONCE)
    server.close()


async def _execute(
    url: str, *commands: agent_events.Command
) -> list[agent_events.Event]:
    """Executes engine commands concurrently; returns their events."""
    events: list[agent_events.Event] = []
    with engine_client.EngineClient(url, events.append) as client:
        for cmd in commands:
            assert client.execute(cmd)
        await client.wait_for_commands(10)
    return events


def _start(body: bytes, url: str) -> agent_events.StartRun:
    """Returns a run that imports a KV cache first."""
    kv = messages.KvHandle(url, "h")
    return agent_events.StartRun(
        "r1.1", body, 5, 1, "", "v1", [], 5_000, [], kv
    )


@async_helpers.async_test
async def test_call_is_not_repeated_when_the_connection_dies() -> None:
    """Guards against a repeat by libcurl on a reused connection that dies."""
    server = _Server(answers=1)
    async with _serving(server) as url:
        events = await _calls(url, 2)
    assert events[0] == agent_events.ServiceAnswer("0", 200, [], b"ok")
    assert events[1] == agent_events.ServiceFailed("1", "answer_lost", True)
    assert server.requests == 2


@async_helpers.async_test
async def test_refused_connection_is_reported_as_not_sent() -> None:
    async with _serving(_Server(0)) as url:
        pass
    events = await _calls(url, 1)
    assert events == [
        agent_events.ServiceFailed("0", "service_unreachable", False)
    ]


@pytest.mark.parametrize(
    ("body", "reason"),
    [(b"\xc1", "bad_prompt"), (b"\xa1a", "upstream_unreachable")],
)
@async_helpers.async_test
async def test_run_that_cannot_start_ends_exactly_once(
    body: bytes, reason: str
) -> None:
    async with _serving(_Server(0)) as url:
        events = await _execute(url, _start(body, "http://127.0.0.1:9"))
    assert events == [agent_events.RunFailed("r1.1", reason)]


@async_helpers.async_test
async def test_run_cancelled_before_its_start_is_not_started() -> None:
    # The import of the KV cache and the cancel.
    expected_requests = 2
    server = _Server(5)
    async with _serving(server) as url:
        cancel = agent_events.CancelRun("r1.1")
        events = await _execute(url, _start(b"\xa1a", url), cancel)
    assert server.requests == expected_requests
    assert events == [agent_events.RunFailed("r1.1", "upstream_cut")]
