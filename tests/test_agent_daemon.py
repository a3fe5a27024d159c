"""Tests of a whole agent daemon against the stand-ins over HTTP."""

import asyncio
import contextlib
import functools
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any, NamedTuple

import msgspec
import pytest
import zmq

from apricottrestle import (
    agent_daemon,
    agent_events,
    hashing,
    messages,
    settings,
    transport,
)
from apricottrestle_standins import (
    engine,
    engine_core,
    fleet,
    instance_list,
    log_service,
    service,
    tokens,
    web,
    weight_store,
)
from tests import async_helpers, notes
from tests import test_agent_world as worlds

_HOST = "127.0.0.1"
_TIMEOUT_S = 15.0
_until = functools.partial(async_helpers.wait_until, timeout_s=_TIMEOUT_S)


class _Harness(NamedTuple):
    """A running agent, its upstream, and an entry's connection to it."""

    daemon: agent_daemon.AgentDaemon
    serve_task: "asyncio.Task[None]"
    upstream: Any
    log: log_service.Log
    conn: transport.AgentConnection
    received: list[messages.Received]

    def send(self, msg: messages.Message, body: bytes = b"") -> None:
        assert self.conn.send(msg, 1, body)

    def messages_of(self, kind: type) -> list[Any]:
        return [row.msg for row in self.received if isinstance(row.msg, kind)]


def _settings(
    kind: settings.UpstreamKind, urls: dict[str, str]
) -> settings.AgentSettings:
    public, secret = zmq.curve_keypair()
    ports = fleet.free_ports(3)
    control, bulk, ops = (f"{_HOST}:{port}" for port in ports)
    return settings.AgentSettings(
        "agent-1",
        "savannah",
        ("savannah",),
        control,
        bulk,
        ops,
        transport.FleetKey(public.decode(), secret.decode()),
        b"fleet secret 16b",
        settings.PlatformSettings(
            urls["log"], urls["weights"], urls["instances"], 3600.0
        ),
        settings.UpstreamSettings(
            kind,
            urls["upstream"],
            "ledger" if kind == "service" else "",
            8,
            1e6,
        ),
        grace_s=3.0,
        max_queued=100,
        audit_rows=100,
    )


@contextlib.asynccontextmanager
async def _harness(
    kind: settings.UpstreamKind, *, drains: bool = False
) -> AsyncIterator[_Harness]:
    """Yields a ready agent; with `drains`, a drain must end it afterwards."""
    upstream: Any
    if kind == "engine":
        upstream = engine.Engine(
            engine_core.EngineSettings(
                prefill_tokens_per_s=1e6, decode_tokens_per_s=400.0
            )
        )
    else:
        upstream = service.Service(service.ServiceSettings())
    log = log_service.Log(log_service.LogSettings())
    log.append(
        "release", log_service.AppendBody("first", notes.FIRST_NOTE), 1.0
    )
    standins: dict[str, web.Standin] = {
        "upstream": upstream,
        "log": log,
        "weights": weight_store.WeightStore(weight_store.WeightSettings()),
        "instances": instance_list.InstanceList(
            instance_list.InstanceSettings()
        ),
    }
    urls = {
        name: f"http://{_HOST}:{standin.start(_HOST, 0)}"  # type: ignore[attr-defined]
        for name, standin in standins.items()
    }
    cfg = _settings(kind, urls)
    daemon = agent_daemon.AgentDaemon(cfg)
    serve_task = asyncio.create_task(daemon.serve())
    received: list[messages.Received] = []
    entry = transport.EntryTransport(
        cfg.fleet_key, transport.Identity("entry-1", "i")
    )
    try:
        with entry:
            conn = entry.connect(
                cfg.control,
                cfg.bulk,
                lambda _, message: received.append(message),
            )
            harness = _Harness(
                daemon, serve_task, upstream, log, conn, received
            )
            await _until(lambda: not daemon.not_ready())
            harness.send(messages.Hello("savannah"))
            yield harness
            if drains:
                daemon.emit(agent_events.DrainRequested())
                await asyncio.wait_for(serve_task, _TIMEOUT_S)
            conn.close()
    finally:
        serve_task.cancel()
        for standin in standins.values():
            standin.stop()  # type: ignore[attr-defined]


def _submit(prompt: list[int], **changes: Any) -> messages.Submit:
    return worlds.submit(
        prompt_tokens=len(prompt),
        prefix_blocks=hashing.prefix_blocks(prompt),
        body_bytes=len(msgspec.msgpack.encode(prompt)),
        **changes,
    )


async def _wait_for_model(harness: _Harness) -> None:
    engine_state = harness.daemon.tables.engine
    await _until(lambda: engine_state.config and engine_state.config.model)


async def _check_answer(
    harness: _Harness, prompt: list[int], msg: messages.Submit
) -> None:
    await _until(lambda: harness.messages_of(messages.Finished))
    answer: list[int] = []
    for part in harness.messages_of(messages.Tokens):
        assert part.offset == len(answer) + len(msg.forced_prefix)
        answer += part.tokens
    expected = tokens.output_tokens(
        prompt, len(msg.forced_prefix), msg.max_tokens
    )
    assert answer == expected
    digest = hashing.StreamDigest()
    digest.update([*msg.forced_prefix, *answer])
    assert (
        harness.messages_of(messages.Finished)[0].digest == digest.hexdigest()
    )


async def _inline_prompt(harness: _Harness) -> None:
    """The agent orders the model, serves a request and reports the cache."""
    await _wait_for_model(harness)
    prompt = list(range(1500))
    msg = _submit(prompt)
    harness.send(msg, msgspec.msgpack.encode(prompt))
    await _check_answer(harness, prompt, msg)
    await _until(lambda: _reported_blocks(harness) == set(msg.prefix_blocks))
    await _until(lambda: harness.upstream.core.free_blocks() == 8192)


def _reported_blocks(harness: _Harness) -> set[int]:
    parts = harness.messages_of(messages.CacheSummary)
    return {block for part in parts for block in part.added}


async def _forced_prefix(harness: _Harness) -> None:
    """Offsets and digest of a continued request include its forced prefix."""
    await _wait_for_model(harness)
    prompt = [5, 6, 7]
    prefix = tokens.output_tokens(prompt, 0, 20)
    msg = _submit(prompt, forced_prefix=prefix)
    harness.send(msg, msgspec.msgpack.encode(prompt))
    await _check_answer(harness, prompt, msg)


async def _bulk_prompt(harness: _Harness) -> None:
    """A prompt of several chunks arrives on the bulk connection."""
    await _wait_for_model(harness)
    prompt = [70_000 + index for index in range(100_000)]
    body = msgspec.msgpack.encode(prompt)
    msg = _submit(prompt, max_tokens=5)
    harness.send(msg)
    await _until(lambda: harness.messages_of(messages.BodyCredit))
    size = messages.INLINE_BODY_BYTES
    parts = [body[at : at + size] for at in range(0, len(body), size)]
    for index, part in enumerate(parts):
        last = index == len(parts) - 1
        chunk = messages.BodyChunk("r1", 1, index, last)
        assert harness.conn.send_bulk(chunk, 1, part)
    await _check_answer(harness, prompt, msg)


async def _drain_moves_run(harness: _Harness) -> None:
    """A drain moves a long request with its KV cache."""
    await _wait_for_model(harness)
    prompt = [1, 2, 3]
    msg = _submit(prompt, max_tokens=60_000, remaining_ms=200_000)
    harness.send(msg, msgspec.msgpack.encode(prompt))
    await _until(lambda: harness.messages_of(messages.Tokens))
    harness.send(messages.Ping(1, True))
    await _until(lambda: harness.messages_of(messages.Moved))
    moved = harness.messages_of(messages.Moved)[0]
    last = harness.messages_of(messages.Tokens)[-1]
    assert moved.offset == last.offset + len(last.tokens)
    assert moved.kv is not None
    run = harness.upstream.core.runs[0]
    assert run.end == "exported"


@pytest.mark.parametrize(
    "scenario", [_inline_prompt, _forced_prefix, _bulk_prompt, _drain_moves_run]
)
@async_helpers.async_test
async def test_daemon_serves_generations(
    scenario: Callable[[_Harness], Awaitable[None]],
) -> None:
    async with _harness("engine", drains=scenario is _forced_prefix) as harness:
        await scenario(harness)


@async_helpers.async_test
async def test_daemon_runs_a_repeated_call_once() -> None:
    async with _harness("service") as harness:
        await _until(lambda: harness.daemon.tables.call_log.available)
        harness.send(messages.KeyRequest("k", "ledger", 1))
        await _until(lambda: harness.messages_of(messages.KeyIssued))
        key = harness.messages_of(messages.KeyIssued)[0].keys[0]
        msg = worlds.call("c1", key, service="ledger", path="/entries")
        for _ in range(2):
            harness.send(msg, b"row")
        await _until(lambda: len(harness.messages_of(messages.CallResult)) >= 1)
        assert harness.messages_of(messages.CallResult)[0].status == 200
        await _until(
            lambda: len(harness.log.streams["calls/agent-1"].records) == 2
        )
        assert len(harness.upstream.calls) == 1


@async_helpers.async_test
async def test_unexpected_error_in_a_step_ends_the_agent() -> None:
    """Guards against an agent that runs on although its step failed."""
    async with _harness("engine") as harness:
        harness.daemon.emit("no event")  # type: ignore[arg-type]
        await asyncio.wait({harness.serve_task}, timeout=_TIMEOUT_S)
        assert isinstance(harness.serve_task.exception(), KeyError)
