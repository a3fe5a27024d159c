"""Tests the stand-ins' HTTP API: streams, faults, groups, exports, relay."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any

import msgspec
import pytest
import tornado.httpclient

from apricottrestle_standins import (
    engine,
    engine_core,
    instance_list,
    log_service,
    service,
    tcp_relay,
    tokens,
    web,
    weight_store,
)
from tests import async_helpers

_HOST = "127.0.0.1"
_SETTINGS = engine_core.EngineSettings(
    prefill_tokens_per_s=1e6, decode_tokens_per_s=1000.0, kv_blocks=64
)
_SLOW = engine_core.EngineSettings(decode_tokens_per_s=20.0, kv_blocks=64)


class _Engines:
    """Engines that listen on loopback.

    Attributes:
        exits: Number of simulated process exits.
        all: The engines.
    """

    def __init__(self, *settings: engine_core.EngineSettings) -> None:
        self.exits = 0
        self.all = [engine.Engine(row, self._exit) for row in settings]

    def _exit(self) -> None:
        self.exits += 1
        for standin in self.all:
            standin.stop()

    def __enter__(self) -> list[engine.Engine]:
        for standin in self.all:
            standin.start(_HOST, 0)
        return self.all

    def __exit__(self, *exc: object) -> None:
        for standin in self.all:
            standin.stop()


async def _call(
    method: str, url: str, body: object = None, **options: Any
) -> tornado.httpclient.HTTPResponse:
    """Returns the response; status 599 if it is cut off or too late."""
    req = tornado.httpclient.HTTPRequest(
        url,
        method=method,
        body=None if body is None else msgspec.json.encode(body),
        request_timeout=options.pop("timeout_s", 5.0),
        **options,
    )
    client = tornado.httpclient.AsyncHTTPClient()
    try:
        return await client.fetch(req, raise_error=False)
    except tornado.httpclient.HTTPError as exc:
        return tornado.httpclient.HTTPResponse(req, exc.code)


async def _json(method: str, url: str, body: object = None) -> Any:
    answer = await _call(method, url, body)
    assert answer.code == 200, answer.body
    return msgspec.json.decode(answer.body)


def _completion(request_id: str = "r1", **fields: object) -> dict[str, object]:
    body = {"prompt": [1, 2, 3], "max_tokens": 8, "request_id": request_id}
    return body | {"stream": True} | fields


def _events(body: bytes) -> list[dict[str, Any]]:
    return [
        msgspec.json.decode(line.removeprefix(b"data: "))
        for line in body.split(b"\n\n")
        if line
    ]


@pytest.mark.parametrize("forced", [0, 3])
def test_stream_carries_offsets_and_count(forced: int) -> None:
    expected = tokens.output_tokens([1, 2, 3], 0, 8)

    async def run() -> None:
        with _Engines(_SETTINGS) as (standin,):
            body = _completion(forced_prefix=expected[:forced])
            answer = await _call("POST", standin.url + "/v1/completions", body)
            *parts, last = _events(answer.body)
            assert last == {"done": True, "count": 8}
            position = forced
            for part in parts:
                assert part["offset"] == position
                stop = position + len(part["tokens"])
                assert part["tokens"] == expected[position:stop]
                position = stop
            assert position == 8
            ledger = await _json("GET", standin.url + "/ledger")
            assert ledger["runs"][0]["produced"] == 8 - forced
            assert ledger["blocks_used"] == 0

    asyncio.run(run())


@pytest.mark.parametrize(
    ("method", "path", "body", "status"),
    [
        ("POST", "/v1/completions", {"prompt": 7}, 400),
        ("POST", "/v1/completions", _completion(prompt=[]), 400),
        ("POST", "/v1/completions", _completion(max_tokens=0), 400),
        ("POST", "/v1/completions", _completion(prompt=[1] * 2000), 413),
        ("GET", "/cache_events?after=x", None, 400),
        ("POST", "/faults", {"hang": 3}, 400),
        ("POST", "/faults", {"hnag": True}, 400),
        ("DELETE", "/allocations/none", None, 404),
        ("POST", "/allocations/renew", {"id": "x", "lease_ms": 1}, 404),
        ("POST", "/kv/export", {"request_id": "x", "lease_ms": 1}, 404),
    ],
)
@async_helpers.async_test
async def test_invalid_calls_are_rejected(
    method: str, path: str, body: object, status: int
) -> None:
    with _Engines(_SETTINGS) as (standin,):
        assert (await _call(method, standin.url + path, body)).code == status


@async_helpers.async_test
async def test_cancel_ends_a_stream_with_an_error() -> None:
    with _Engines(_SLOW) as (standin,):
        stream = asyncio.ensure_future(
            _call(
                "POST",
                standin.url + "/v1/completions",
                _completion(max_tokens=200),
            )
        )
        await async_helpers.wait_until(lambda: standin.core.produced_total > 0)
        got = await _json("POST", standin.url + "/cancel", {"request_id": "r1"})
        assert got == {"cancelled": True}
        assert _events((await stream).body)[-1] == {"error": "cancelled"}
        assert standin.core.free_blocks() == 64


@async_helpers.async_test
async def test_disconnect_cancels_the_request() -> None:
    with _Engines(_SLOW) as (standin,):
        body = _completion(max_tokens=200)
        url = standin.url + "/v1/completions"
        answer = await _call("POST", url, body, timeout_s=0.3)
        assert answer.code == 599
        await async_helpers.wait_until(lambda: bool(standin.cancels))
        assert standin.cancels[0].reason == "disconnect"


@pytest.mark.parametrize(
    ("checks", "ignores", "status"),
    [(True, False, 409), (True, True, 200), (False, False, 200)],
)
@async_helpers.async_test
async def test_order_with_old_fence(
    checks: bool, ignores: bool, status: int
) -> None:
    settings = engine_core.EngineSettings(checks_fence=checks)
    with _Engines(settings) as (standin,):
        await _json("POST", standin.url + "/orders", {"fence": 5, "model": "m"})
        await _json("POST", standin.url + "/faults", {"ignore_fences": ignores})
        old = {"fence": 4, "model": "old"}
        answer = await _call("POST", standin.url + "/orders", old)
        assert answer.code == status
        config = await _json("GET", standin.url + "/config")
        assert config["model"] == ("m" if status == 409 else "old")
        assert len(standin.orders) == 2


async def _reserve(standin: engine.Engine, size: int, lease_ms: int) -> None:
    body = {"id": "g", "tokens": size, "lease_ms": lease_ms}
    await _json("POST", standin.url + "/allocations", body)


@async_helpers.async_test
async def test_group_uses_the_memory_of_other_engines() -> None:
    """The prompt needs over twice the 1,024 tokens of one engine."""
    with _Engines(_SETTINGS, _SETTINGS, _SETTINGS) as engines:
        group = []
        for standin in engines:
            await _reserve(standin, 1024, 60_000)
            group.append({"url": standin.url, "allocation": "g"})
        body = _completion(prompt=list(range(2500)), group=group)
        url = engines[0].url + "/v1/completions"
        answer = await _call("POST", url, body)
        assert _events(answer.body)[-1] == {"done": True, "count": 8}


@pytest.mark.parametrize("lease_ms", [0, 300])
@async_helpers.async_test
async def test_group_ends_with_a_member(lease_ms: int) -> None:
    with _Engines(_SLOW, _SLOW) as (leader, member):
        if lease_ms:
            await _reserve(member, 512, lease_ms)
        group = [{"url": member.url, "allocation": "g"}]
        body = _completion(max_tokens=400, group=group)
        answer = await _call("POST", leader.url + "/v1/completions", body)
        if lease_ms:
            assert _events(answer.body)[-1] == {"error": "failed"}
        else:
            assert answer.code == 409


@async_helpers.async_test
async def test_export_and_import_move_a_request() -> None:
    with _Engines(_SLOW, _SETTINGS) as (source, target):
        first = asyncio.ensure_future(
            _call("POST", source.url + "/v1/completions", _completion())
        )
        await async_helpers.wait_until(lambda: source.core.produced_total >= 2)
        export = {"request_id": "r1", "lease_ms": 5000}
        handle = (await _json("POST", source.url + "/kv/export", export))[
            "handle"
        ]
        got = _events((await first).body)
        assert got[-1] == {"error": "exported"}
        produced = [tok for part in got[:-1] for tok in part["tokens"]]
        move = {"url": source.url, "handle": handle, "request_id": "r1"}
        await _json("POST", target.url + "/kv/import", move)
        assert source.core.free_blocks() == 64
        body = _completion(forced_prefix=produced, stream=False)
        rest = await _json("POST", target.url + "/v1/completions", body)
        assert rest["reused"] == 3 + len(produced)
        assert produced + rest["tokens"] == tokens.output_tokens(
            [1, 2, 3], 0, 8
        )
        assert target.core.free_blocks() == 64


@pytest.mark.parametrize(
    "fault", [{"die_after_tokens": 3}, {"cut_after_tokens": 3}]
)
@async_helpers.async_test
async def test_stream_ends_without_done(fault: dict[str, object]) -> None:
    engines = _Engines(_SLOW)
    with engines as (standin,):
        await _json("POST", standin.url + "/faults", fault)
        url = standin.url + "/v1/completions"
        answer = await _call("POST", url, _completion(), timeout_s=1.0)
        assert answer.code == 599
        exits_process = "die_after_tokens" in fault
        assert bool(engines.exits) == exits_process


@async_helpers.async_test
async def test_cache_events_of_an_earlier_process_give_all_blocks() -> None:
    """Guards against an agent that keeps a stale summary of its engine's cache.

    It occurs if only the engine restarts: its event numbers start again.
    """
    with _Engines(_SETTINGS) as (standin,):
        body = _completion(prompt=list(range(520)))
        await _call("POST", standin.url + "/v1/completions", body)
        for after, full in ((0, True), (1, False), (7, True)):
            path = f"/cache_events?after={after}"
            answer = await _json("GET", standin.url + path)
            assert (answer["next"], answer["full"]) == (1, full)
            blocks = [len(event["added"]) for event in answer["events"]]
            assert blocks == ([1] if full else [])


@async_helpers.async_test
async def test_hang_stops_answers_and_tokens_until_it_is_off() -> None:
    with _Engines(_SETTINGS) as (standin,):
        await _json("POST", standin.url + "/faults", {"hang": True})
        answer = await _call("GET", standin.url + "/load", timeout_s=0.1)
        assert answer.code == 599
        assert (await _json("GET", standin.url + "/ledger"))["runs"] == []
        await _json("POST", standin.url + "/faults", {})
        assert (await _json("GET", standin.url + "/load"))["running"] == 0


@async_helpers.async_test
async def test_lost_answer_leaves_the_effect() -> None:
    with _Engines(_SETTINGS) as (standin,):
        fault = {"lose_path": "/allocations", "lose_count": 1}
        await _json("POST", standin.url + "/faults", fault)
        body = {"id": "a", "tokens": 16, "lease_ms": 1000}
        lost = await _call("POST", standin.url + "/allocations", body)
        assert lost.code == 599
        assert list(standin.core.allocations) == ["a"]
        await _json("POST", standin.url + "/allocations", body)


@contextlib.asynccontextmanager
async def _serving(standin: Any) -> AsyncIterator[str]:
    port = standin.start(_HOST, 0)
    try:
        yield f"http://{_HOST}:{port}"
    finally:
        standin.stop()


@pytest.mark.parametrize(
    ("fault", "status", "calls"),
    [
        ({}, 200, 1),
        ({"lose_count": 1}, 599, 1),
        ({"error_status": 500}, 500, 0),
    ],
)
@async_helpers.async_test
async def test_service_ledger_lists_the_calls_that_took_effect(
    fault: dict[str, object], status: int, calls: int
) -> None:
    plain = service.Service(service.ServiceSettings())
    async with _serving(plain) as url:
        await _json("POST", url + "/faults", fault)
        answer = await _call(
            "POST",
            url + "/rosters/7?x=1",
            {"shift": 3},
            headers={"Idempotency-Key": "k1"},
        )
        assert answer.code == status
        rows = await _json("GET", url + "/ledger")
        assert len(rows) == calls
        if rows:
            assert rows[0]["path"] == "/rosters/7?x=1"
            assert rows[0]["key"] == "k1"


@pytest.mark.parametrize("outage", ["append_outage", "read_outage"])
@async_helpers.async_test
async def test_log_outages_are_separate(outage: str) -> None:
    log = log_service.Log(log_service.LogSettings())
    async with _serving(log) as url:
        await _json("POST", url + "/faults", {outage: True})
        record = {"id": "1", "data": "x"}
        stream = url + "/streams/calls/a1"
        appended = await _call("POST", stream, record)
        read = await _call("GET", stream + "?after=0")
        down = (503, 200) if outage == "append_outage" else (200, 503)
        assert (appended.code, read.code) == down


@pytest.mark.parametrize("name", ["log", "weights"])
@async_helpers.async_test
async def test_rate_limit_sets_retry_after(name: str) -> None:
    if name == "log":
        settings = log_service.LogSettings(appends_per_s=0.1, append_burst=1.0)
        standin: web.Standin = log_service.Log(settings)
        path, body = "/streams/s", {"id": "1", "data": "x"}
    else:
        standin = weight_store.WeightStore(
            weight_store.WeightSettings(permits_per_s=0.1, burst=1.0)
        )
        path, body = "/permits", {"model": "m", "version": "v"}
    async with _serving(standin) as url:
        assert (await _call("POST", url + path, body)).code == 200
        refused = await _call("POST", url + path, body)
        assert refused.code == 429
        assert 9.0 < float(refused.headers["Retry-After"]) <= 10.0


@async_helpers.async_test
async def test_instance_rows_round_trip() -> None:
    rows = instance_list.InstanceList(instance_list.InstanceSettings())
    row = {"id": "a1", "role": "agent", "data_centre": "haloze"}
    async with _serving(rows) as url:
        await _json("PUT", url + "/instances/a1", row)
        other = await _call("PUT", url + "/instances/a2", row)
        assert other.code == 400
        got = await _json("GET", url + "/instances?after=0")
        assert got["version"] == 1
        assert got["rows"][0]["state"] == "live"


async def _with_relay(
    check: Callable[[tcp_relay.Relay, int], Awaitable[None]],
) -> None:
    async def echo(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while data := await reader.read(100):
            writer.write(data)
        writer.close()

    target = await asyncio.start_server(echo, _HOST, 0)
    port = target.sockets[0].getsockname()[1]
    relay = tcp_relay.Relay(tcp_relay.RelaySettings(target_port=port))
    relayed = await relay.start(_HOST, 0)
    try:
        await check(relay, relayed)
    finally:
        relay.stop()
        target.close()


async def _echoes(
    pair: tuple[asyncio.StreamReader, asyncio.StreamWriter],
) -> bool:
    reader, writer = pair
    writer.write(b"x")
    try:
        async with asyncio.timeout(0.3):
            return await reader.read(1) == b"x"
    except (TimeoutError, ConnectionError):
        return False


def test_relay_silences_existing_connections_only() -> None:
    async def check(relay: tcp_relay.Relay, port: int) -> None:
        old = await asyncio.open_connection(_HOST, port)
        assert await _echoes(old)
        url = f"http://{_HOST}:{relay.faults_port}"
        await _json("POST", url + "/faults", {"silence": True})
        assert not await _echoes(old)
        new = await asyncio.open_connection(_HOST, port)
        assert await _echoes(new)
        ledger = await _json("GET", url + "/ledger")
        assert (ledger["connections"], ledger["silent"]) == (2, 1)
        await _json("POST", url + "/faults", {"cut": True})
        assert not await _echoes(new)

    asyncio.run(_with_relay(check))
