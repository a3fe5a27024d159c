"""Tests of the caller API over real sockets, with fake agents."""

import asyncio
import contextlib
import gc
import json
import socket
import time
import weakref
from collections.abc import AsyncIterator, Callable, Coroutine
from typing import Any, NamedTuple

import msgspec
import pytest

from apricottrestle import (
    entry_accept,
    entry_connections,
    entry_core,
    entry_events,
    entry_http,
    entry_server,
    http_connections,
    memory_account,
    messages,
    platform_instances,
)
from tests import async_helpers
from tests import test_entry_fakes as fakes
from tests import test_entry_world as worlds

_AUTH = {"Authorization": "Bearer key"}


class _FakeTransport:
    """In-process replacement of the transport, connected to fake agents."""

    def __init__(self, api: "_Api") -> None:
        self._api = api

    def connect(
        self, control: str, bulk: str, on_frame: Any
    ) -> "_FakeConnection":
        del bulk
        return _FakeConnection(
            self._api.agents[control.removeprefix("c-")], on_frame
        )


class _FakeConnection:
    def __init__(self, agent: fakes.FakeAgent, on_frame: Any) -> None:
        self.agent = agent
        self.on_frame = on_frame

    def send(
        self, msg: messages.Message, config_rev: int, body: bytes = b""
    ) -> bool:
        del config_rev
        self.agent.receive(self, msg, body)
        return True

    send_bulk = send

    def close(self) -> None:
        """Does nothing; there is no socket."""


class _Api:
    """A caller API on loopback with two engines and one service."""

    def __init__(self) -> None:
        self.log = fakes.FakeLog()
        self.agents = {
            name: fakes.FakeAgent(self, name, upstream)
            for name, upstream in (("a0", "m"), ("a1", "m"), ("s0", "svc"))
        }
        for agent in self.agents.values():
            agent.kv_tokens = 2_000_000
        world = worlds.World(engines=0)
        self.tables = world.entry.tables
        self.core = entry_core.StepRunner(self.tables, _FakeTransport(self))  # type: ignore[arg-type]
        self.tables.last_tick = None
        self.port = 0
        self.server: entry_server.ApiServer | None = None

    def to_entry(
        self,
        agent: fakes.FakeAgent,
        conn: _FakeConnection,
        msg: messages.Message,
        body: bytes,
    ) -> None:
        received = messages.Received(
            agent.agent_id, agent.incarnation, 1, msg, body
        )
        asyncio.get_running_loop().call_soon(conn.on_frame, b"", received)

    async def tick(self) -> None:
        while True:
            for agent in self.agents.values():
                agent.tick()
            self.core.post()
            await asyncio.sleep(0.005)


@contextlib.asynccontextmanager
async def _open(
    memory: memory_account.Limits | None = None, **limits: Any
) -> AsyncIterator[_Api]:
    api = _Api()
    ctx = entry_http.ApiContext(
        api.core,
        entry_accept.TeamIndex(),
        limits.pop("max_requests", 100),
        weakref.WeakSet(),
        **limits,
    )
    with entry_server.ApiServer("127.0.0.1:0", ctx, memory) as server:
        api.port = server.port
        api.server = server
        rows = [
            platform_instances.InstanceRow(
                name, "agent", "dc", f"c-{name}", "", ""
            )
            for name in api.agents
        ]
        api.core.post(entry_events.InstancesChanged(rows))
        ticker = asyncio.ensure_future(api.tick())
        while len(api.tables.upstreams.rows) < len(rows):
            await asyncio.sleep(0.005)
        try:
            yield api
        finally:
            ticker.cancel()


class _Reply(NamedTuple):
    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def error(self) -> dict[str, str]:
        got: dict[str, str] = json.loads(self.body)["error"]
        return got


def _request(
    method: str, path: str, headers: dict[str, str], body: bytes
) -> bytes:
    lines = [f"{method} {path} HTTP/1.1", "Host: x", "Connection: close"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if "Content-Length" not in headers:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body


async def _send(
    api: _Api,
    method: str,
    path: str,
    headers: dict[str, str] | None = None,
    body: bytes = b"",
) -> _Reply:
    reader, writer = await asyncio.open_connection("127.0.0.1", api.port)
    merged = _AUTH if headers is None else headers
    writer.write(_request(method, path, merged, body))
    raw = await asyncio.wait_for(reader.read(), 20)
    writer.close()
    return _parse(raw)


def _parse(raw: bytes) -> _Reply:
    head, _, rest = raw.partition(b"\r\n\r\n")
    first, *lines = head.decode().split("\r\n")
    pairs = (line.partition(": ") for line in lines)
    headers = {name.lower(): value for name, _, value in pairs}
    if headers.get("transfer-encoding") == "chunked":
        rest = _dechunk(rest)
    return _Reply(int(first.split()[1]), headers, rest)


def _dechunk(raw: bytes) -> bytes:
    out = b""
    while raw:
        size, _, raw = raw.partition(b"\r\n")
        out += raw[: int(size, 16)]
        raw = raw[int(size, 16) + 2 :]
    return out


def _completion(**fields: Any) -> bytes:
    body = {"model": "m", "prompt": "a b c", "max_tokens": 20} | fields
    return json.dumps(body).encode()


def _expected(prompt: Any, count: int = 20) -> list[int]:
    return fakes.expected_tokens(msgspec.msgpack.encode(prompt), count)


def _events(body: bytes) -> list[dict[str, str]]:
    return [
        dict(line.split(": ", 1) for line in block.split("\n"))
        for block in body.decode().strip().split("\n\n")
    ]


def _tokens(events: list[dict[str, str]]) -> list[int]:
    tokens: list[int] = []
    for event in events:
        if event["data"] != "[DONE]" and "event" not in event:
            tokens += json.loads(event["data"])["choices"][0]["token_ids"]
    return tokens


def _run(work: Callable[[_Api], Coroutine[Any, Any, None]], **kw: Any) -> None:
    async def main() -> None:
        async with _open(**kw) as api:
            await work(api)

    asyncio.run(main())


@pytest.mark.parametrize("prompt", ["a b c", [1, 2, 3]])
def test_completion_body_has_all_tokens_and_usage(prompt: Any) -> None:
    """A completion without streaming must have the OpenAI format."""

    async def work(api: _Api) -> None:
        body = _completion(prompt=prompt)
        got = await _send(api, "POST", "/v1/completions", body=body)
        assert got.status == 200
        answer = json.loads(got.body)
        assert answer["choices"][0]["token_ids"] == _expected(prompt)
        assert answer["choices"][0]["finish_reason"] == "length"
        assert answer["usage"]["prompt_tokens"] == 3

    _run(work)


def test_stream_has_ids_and_ends_in_done() -> None:
    """Clients need server-sent events and [DONE]; resuming needs ids."""

    async def work(api: _Api) -> None:
        body = _completion(stream=True)
        got = await _send(api, "POST", "/v1/completions", body=body)
        assert got.headers["content-type"].startswith("text/event-stream")
        events = _events(got.body)
        assert events[-1]["data"] == "[DONE]"
        assert all("id" in event for event in events[:-1])
        assert _tokens(events) == _expected("a b c")
        headers = _AUTH | {"Last-Event-ID": events[0]["id"]}
        rest = await _send(api, "POST", "/v1/completions", headers, body)
        first = len(_tokens(events[:1]))
        assert _tokens(_events(rest.body)) == _expected("a b c")[first:]

    _run(work)


def test_cut_connection_resumes_while_the_stream_runs() -> None:
    """A caller must get the rest of an interrupted stream on reconnection."""

    async def work(api: _Api) -> None:
        body = _completion(stream=True, max_tokens=300)
        reader, writer = await asyncio.open_connection("127.0.0.1", api.port)
        writer.write(_request("POST", "/v1/completions", _AUTH, body))
        await reader.readuntil(b"\r\n\r\n")
        raw = await reader.readuntil(b"\n\n\r\n")
        event = _events(raw.split(b"\r\n", 1)[1].strip())[0]
        writer.close()
        headers = _AUTH | {"Last-Event-ID": event["id"]}
        rest = await _send(api, "POST", "/v1/completions", headers, body)
        first = len(_tokens([event]))
        expected = _expected("a b c", 300)[first:]
        assert _tokens(_events(rest.body)) == expected
        starts = [s for a in api.agents.values() for s in a.starts]
        assert len(starts) == 1

    _run(work)


def test_mid_stream_error_is_an_event() -> None:
    """A failed stream must end with an error event, never with [DONE]."""

    async def work(api: _Api) -> None:
        # Admission refuses a time limit below the expected decode time.
        headers = _AUTH | {"X-Time-Limit-Ms": "2600"}
        body = _completion(stream=True, max_tokens=40)

        async def hold() -> None:
            while not any(a.starts for a in api.agents.values()):
                await asyncio.sleep(0.005)
            for agent in api.agents.values():
                agent.generation_paused = True

        holder = asyncio.ensure_future(hold())
        got = await _send(api, "POST", "/v1/completions", headers, body)
        assert got.status == 200, got
        await asyncio.wait_for(holder, 5)
        last = _events(got.body)[-1]
        assert last["event"] == "error"
        error = json.loads(last["data"])["error"]
        assert error["code"] == "deadline_exceeded"
        assert error["outcome"] == "unknown"

    _run(work)


_LONG = json.dumps([1] * (entry_accept.MAX_PROMPT_TOKENS + 1))


@pytest.mark.parametrize(
    ("headers", "body", "status", "code"),
    [
        ({}, _completion(), 401, "unauthorized"),
        ({"Authorization": "Bearer no"}, _completion(), 401, "unauthorized"),
        ({"Authorization": "Basic key"}, _completion(), 401, "unauthorized"),
        (_AUTH, b"{", 400, "bad_body"),
        (_AUTH, b"\xff\xfe", 400, "bad_body"),
        (_AUTH, b"", 400, "bad_body"),
        (_AUTH, _completion(prompt=3), 400, "bad_body"),
        (_AUTH, _completion(prompt=[-1]), 400, "bad_body"),
        (_AUTH, _completion(max_tokens=0), 400, "bad_body"),
        (_AUTH, _completion(stream="yes"), 400, "bad_body"),
        (_AUTH, _completion(prompt=" "), 400, "empty_prompt"),
        (_AUTH, _completion(model="x"), 404, "unknown_model"),
        (_AUTH, _completion(adapter="x"), 404, "unknown_adapter"),
        (_AUTH | {"X-Priority": "vip"}, b"", 400, "unknown_priority"),
        (_AUTH | {"X-Priority": "batch"}, b"", 403, "priority_forbidden"),
        (
            _AUTH | {"X-Time-Limit-Ms": "soon"},
            _completion(),
            400,
            "invalid_time_limit",
        ),
        (
            _AUTH | {"Last-Event-ID": "x"},
            _completion(stream=True),
            400,
            "invalid_event_id",
        ),
        (
            _AUTH,
            f'{{"model": "m", "prompt": {_LONG}}}'.encode(),
            413,
            "prompt_too_long",
        ),
        (
            _AUTH,
            b" " * (entry_accept.MAX_BODY_BYTES + 1),
            413,
            "body_too_large",
        ),
    ],
    ids=lambda value: value if isinstance(value, str) else "",
)
def test_bad_request_gets_its_error_code(
    headers: dict[str, str], body: bytes, status: int, code: str
) -> None:
    """Invalid input must be refused with its code, as "not_run"."""

    async def work(api: _Api) -> None:
        got = await _send(api, "POST", "/v1/completions", headers, body)
        assert (got.status, got.error["code"]) == (status, code)
        assert got.error["outcome"] == "not_run"
        assert not any(agent.submits for agent in api.agents.values())

    _run(work)


def test_stalling_body_gets_408() -> None:
    """A caller that stops within a body must not keep its connection."""

    async def work(api: _Api) -> None:
        headers = _AUTH | {"Content-Length": "100"}
        got = await _send(api, "POST", "/v1/completions", headers, b"{")
        assert (got.status, got.error["code"]) == (408, "body_stalled")

    _run(work, body_stall_timeout_s=0.2)


def test_too_many_requests_are_refused() -> None:
    """A request over the limit of open requests must be refused."""

    async def work(api: _Api) -> None:
        got = await _send(api, "POST", "/v1/completions", body=_completion())
        assert (got.status, got.error["code"]) == (429, "overloaded")
        assert got.headers["retry-after"] == "1"

    _run(work, max_requests=0)


def test_entry_without_configuration_answers_503() -> None:
    """Without a configuration no key may be accepted or rejected with 401."""

    async def work(api: _Api) -> None:
        api.tables.sync.ready = False
        got = await _send(api, "POST", "/v1/completions", body=_completion())
        assert (got.status, got.error["code"]) == (503, "not_ready")

    _run(work)


def test_model_list_and_errors_of_unknown_paths() -> None:
    """The models must be listed; unknown paths need a JSON error."""

    async def work(api: _Api) -> None:
        got = await _send(api, "GET", "/v1/models")
        assert [m["id"] for m in json.loads(got.body)["data"]] == ["m"]
        for method, path, status in (
            ("GET", "/v2", 404),
            ("DELETE", "/v1/models", 405),
        ):
            got = await _send(api, method, path)
            assert got.status == status
            assert got.error["outcome"] == "not_run"

    _run(work)


def test_service_call_is_passed_without_the_entry_headers() -> None:
    """The service must get the request, but not the API key of the team."""

    async def work(api: _Api) -> None:
        agent = api.agents["s0"]
        seen: list[messages.CallSubmit] = []
        original = agent.on_callsubmit

        def spy(conn: Any, msg: messages.CallSubmit, body: bytes) -> None:
            seen.append(msg)
            original(conn, msg, body)

        agent.on_callsubmit = spy  # type: ignore[method-assign]
        path = "/v1/services/svc/lists/7?full=1"
        headers = _AUTH | {"X-Custom": "v", "X-Time-Limit-Ms": "900"}
        got = await _send(api, "PUT", path, headers, b"data")
        assert (got.status, got.body) == (200, b"ok")
        msg = seen[0]
        assert (msg.method, msg.path) == ("PUT", "/lists/7?full=1")
        names = {name.lower() for name, _ in msg.headers}
        assert names == {"x-custom"}
        assert msg.remaining_ms <= 900

    _run(work)


@pytest.mark.parametrize(
    "path", ["/orders", "/orders/1", "//orders", "/a/../orders", "/%6frders"]
)
def test_non_repeatable_call_needs_a_key(path: str) -> None:
    """No variant of a path may let a non-repeatable call run without a key."""

    async def work(api: _Api) -> None:
        url = f"/v1/services/svc{path}"
        got = await _send(api, "POST", url, body=b"x")
        assert got.error["code"] == "idempotency_key_required"
        key_body = b'{"service": "svc"}'
        issued = await _send(api, "POST", "/v1/idempotency-keys", body=key_body)
        key = json.loads(issued.body)["idempotency_key"]
        headers = _AUTH | {"Idempotency-Key": key}
        for _ in range(2):
            got = await _send(api, "POST", url, headers, b"x")
            assert got.status == 200
        assert api.agents["s0"].ran == [key]

    _run(work)


def test_slow_reader_holds_back_the_credits() -> None:
    """Tokens that a caller doesn't read must stay at the agent."""

    async def work(api: _Api) -> None:
        for agent in api.agents.values():
            agent.tokens_per_tick = 2000
        body = _completion(stream=True, max_tokens=120_000)
        headers = _AUTH | {"X-Time-Limit-Ms": "3000000"}
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", api.port, limit=4096
        )
        writer.write(_request("POST", "/v1/completions", headers, body))
        previous = -1
        while previous < 1 or sent(api) != previous:
            previous = sent(api)
            await asyncio.sleep(0.3)
        assert previous < 120_000
        row = next(iter(api.tables.requests.values()))
        assert previous - row.flushed_tokens <= 4096
        raw = await asyncio.wait_for(reader.read(), 30)
        writer.close()
        assert (
            _tokens(_events(_parse(raw).body))[-1]
            == _expected("a b c", 120_000)[-1]
        )

    def sent(api: _Api) -> int:
        agents = api.agents.values()
        return sum(s.sent for a in agents for s in a.streams.values())

    _run(work)


def test_idle_connections_close_in_a_drain() -> None:
    """A draining entry must close idle connections and keep busy ones."""

    async def work(api: _Api) -> None:
        reader, writer = await asyncio.open_connection("127.0.0.1", api.port)
        head = b"GET /v1/models HTTP/1.1\r\nHost: x\r\n"
        writer.write(head + b"Authorization: Bearer key\r\n\r\n")
        await reader.readuntil(b"}]}")
        api.core.post(entry_events.StartDrain())
        assert await asyncio.wait_for(reader.read(), 5) == b""
        writer.close()

    async def main() -> None:
        async with _open() as api:
            # The daemon closes idle connections repeatedly during a drain.
            server = api_server[0]

            async def close_idle() -> None:
                while api.tables.drain_started is None:
                    await asyncio.sleep(0.01)
                server.close_idle()

            closer = asyncio.ensure_future(close_idle())
            await work(api)
            await closer

    api_server: list[entry_server.ApiServer] = []
    original = entry_server.ApiServer.__enter__

    def enter(self: entry_server.ApiServer) -> entry_server.ApiServer:
        api_server.append(self)
        return original(self)

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(entry_server.ApiServer, "__enter__", enter)
        asyncio.run(main())


@pytest.mark.parametrize("held_up_s", [0.0, 0.004, 0.12])
@async_helpers.async_test
async def test_requests_that_cross_a_drain_are_answered(
    held_up_s: float,
) -> None:
    """Guards against requests that are read, and dropped by a drain."""
    request = b"GET /v1/models HTTP/1.1\r\nHost: x\r\n" + b"".join(
        f"{name}: {value}\r\n".encode() for name, value in _AUTH.items()
    )
    loop = asyncio.get_running_loop()
    async with _open() as api:
        assert api.server is not None
        with socket.create_connection(("127.0.0.1", api.port)) as sock:
            sock.setblocking(False)
            for crosses in (False, True):
                sock.send(request + b"\r\n")
                if crosses:
                    time.sleep(held_up_s)
                    api.server.close_idle()
                async with asyncio.timeout(5):
                    got = await loop.sock_recv(sock, 65_536)
                assert got.startswith(b"HTTP/1.1 200 ")
                await asyncio.sleep(0.05)
            api.server.close_idle()
            async with asyncio.timeout(5):
                assert await loop.sock_recv(sock, 65_536) == b""


@pytest.mark.parametrize("body_bytes", [10, 1_000_000])
@async_helpers.async_test
async def test_caller_that_leaves_inside_its_body_is_forgotten(
    body_bytes: int,
) -> None:
    """Guards against handlers and bodies that are kept for ever.

    Tornado's wait for the rest of the body kept them.
    """
    async with _open() as api:
        assert api.server is not None
        for _ in range(5):
            _, writer = await asyncio.open_connection("127.0.0.1", api.port)
            writer.write(
                _request("POST", "/v1/completions", _AUTH, b"x" * body_bytes)[
                    :-1
                ]
            )
            await writer.drain()
            await asyncio.sleep(0.05)
            writer.transport.abort()
        account = api.server.account
        await async_helpers.wait_until(lambda: not account.connections)
        assert account.held_bytes == 0
        gc.collect()
        kept = [
            item
            for item in gc.get_objects()
            if isinstance(item, entry_http.ApiHandler)
        ]
    assert kept == []


@async_helpers.async_test
async def test_full_account_closes_the_silent_and_serves_the_others() -> None:
    """Guards against an entry that callers fill with unfinished requests."""
    limits = memory_account.Limits(1_000_000, 100)
    async with _open(memory=limits) as api:
        assert api.server is not None
        account = api.server.account
        writers = []
        for _ in range(20):
            _, writer = await asyncio.open_connection("127.0.0.1", api.port)
            writer.write(
                _request("POST", "/v1/completions", _AUTH, b"x" * 100_000)[:-1]
            )
            writers.append(writer)
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.1)
        assert account.held_bytes <= 1_000_000 + http_connections.KEPT_BYTES
        assert 0 < account.connections < 20
        reply = await _send(api, "GET", "/v1/models")
        assert reply.status == 200
        for writer in writers:
            writer.transport.abort()


@async_helpers.async_test
async def test_request_with_many_headers_is_served_in_calm() -> None:
    """Guards against a limit that an ordinary caller meets."""
    headers = _AUTH | {f"X-{n}": str(n) for n in range(1_000)}
    async with _open() as api:
        reply = await _send(api, "GET", "/v1/models", headers)
        assert reply.status == 200
        assert api.server is not None
        account = api.server.account
        await async_helpers.wait_until(lambda: not account.held_bytes)


@pytest.mark.parametrize("sent_behind", [b"", b"GET "])
@async_helpers.async_test
async def test_served_requests_stay_while_the_account_is_full(
    sent_behind: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against answers that are lost, or a loop that is kept busy.

    The caller's bytes behind its request stay readable if nobody reads them.
    """
    asked = 0
    may_read = entry_connections.ApiConnection.may_read

    def count(conn: entry_connections.ApiConnection) -> bool:
        nonlocal asked
        asked += 1
        return may_read(conn)

    monkeypatch.setattr(entry_connections.ApiConnection, "may_read", count)
    limits = memory_account.Limits(100_000, 100)
    async with _open(memory=limits) as api:
        assert api.server is not None
        reader, writer = await asyncio.open_connection("127.0.0.1", api.port)
        body = json.dumps(
            {"model": "m", "prompt": [1, 2, 3], "max_tokens": 4}
        ).encode()
        request = _request("POST", "/v1/completions", _AUTH, body)
        writer.write(request.replace(b"Connection: close\r\n", b""))
        account = api.server.account
        await async_helpers.wait_until(
            lambda: account.bytes_by_phase["complete"] > 0
        )
        other = memory_account.Holder(is_connection=True)
        account.hold(other, 100_000, "complete", 0.0)
        writer.write(sent_behind)
        await asyncio.sleep(0.05)
        head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 20)
        assert head.startswith(b"HTTP/1.1 200 ")
        assert asked < 10
        writer.transport.abort()
