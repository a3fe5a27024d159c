"""Guards the agent's wiring: a whole daemon against the stand-ins over HTTP."""

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


class _Rig(NamedTuple):
    """A running agent, its upstream, and an entry's connection to it."""

    daemon: agent_daemon.AgentDaemon
    served: "asyncio.Task[None]"
    upstream: Any
    log: log_service.Log
    conn: transport.AgentConnection
    got: list[messages.Received]

    def send(self, msg: messages.Message, body: bytes = b"") -> None:
        assert self.conn.send(msg, 1, body)

    def of(self, kind: type) -> list[Any]:
        return [row.msg for row in self.got if isinstance(row.msg, kind)]


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
async def _rig(
    kind: settings.UpstreamKind, *, drains: bool = False
) -> AsyncIterator[_Rig]:
    """Yields a ready agent; with `drains` it must end by itself after."""
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
    log.append("release", log_service.AppendBody("first", notes.FIRST), 1.0)
    standins: dict[str, web.Standin] = {
        "upstream": upstream,
        "log": log,
        "weights": weight_store.WeightStore(weight_store.WeightSettings()),
        "instances": instance_list.InstanceList(
            instance_list.InstanceSettings()
        ),
    }
    urls = {
        name: f"http://{_HOST}:{one.start(_HOST, 0)}"  # type: ignore[attr-defined]
        for name, one in standins.items()
    }
    cfg = _settings(kind, urls)
    daemon = agent_daemon.AgentDaemon(cfg)
    served = asyncio.create_task(daemon.serve())
    got: list[messages.Received] = []
    entry = transport.EntryTransport(
        cfg.fleet_key, transport.Identity("entry-1", "i")
    )
    try:
        with entry:
            conn = entry.connect(
                cfg.control, cfg.bulk, lambda _, row: got.append(row)
            )
            rig = _Rig(daemon, served, upstream, log, conn, got)
            await _until(lambda: not daemon.not_ready())
            rig.send(messages.Hello("savannah"))
            yield rig
            if drains:
                daemon.emit(agent_events.DrainRequested())
                await asyncio.wait_for(served, _TIMEOUT_S)
            conn.close()
    finally:
        served.cancel()
        for one in standins.values():
            one.stop()  # type: ignore[attr-defined]


def _submit(prompt: list[int], **changes: Any) -> messages.Submit:
    return worlds.submit(
        prompt_tokens=len(prompt),
        prefix_blocks=hashing.prefix_blocks(prompt),
        body_bytes=len(msgspec.msgpack.encode(prompt)),
        **changes,
    )


async def _serves_model(rig: _Rig) -> None:
    engine_state = rig.daemon.tables.engine
    await _until(lambda: engine_state.config and engine_state.config.model)


async def _answer(rig: _Rig, prompt: list[int], msg: messages.Submit) -> None:
    await _until(lambda: rig.of(messages.Finished))
    answer: list[int] = []
    for part in rig.of(messages.Tokens):
        assert part.offset == len(answer) + len(msg.forced_prefix)
        answer += part.tokens
    want = tokens.output_tokens(prompt, len(msg.forced_prefix), msg.max_tokens)
    assert answer == want
    digest = hashing.StreamDigest()
    digest.update([*msg.forced_prefix, *answer])
    assert rig.of(messages.Finished)[0].digest == digest.hexdigest()


async def _inline(rig: _Rig) -> None:
    """An ordered model, a whole answer, a reported cache."""
    await _serves_model(rig)
    prompt = list(range(1500))
    msg = _submit(prompt)
    rig.send(msg, msgspec.msgpack.encode(prompt))
    await _answer(rig, prompt, msg)
    await _until(lambda: _summarised(rig) == set(msg.prefix_blocks))
    await _until(lambda: rig.upstream.core.free_blocks() == 8192)


def _summarised(rig: _Rig) -> set[int]:
    parts = rig.of(messages.CacheSummary)
    return {block for part in parts for block in part.added}


async def _forced(rig: _Rig) -> None:
    """Offsets and digest of a continued request include its prefix."""
    await _serves_model(rig)
    prompt = [5, 6, 7]
    prefix = tokens.output_tokens(prompt, 0, 20)
    msg = _submit(prompt, forced_prefix=prefix)
    rig.send(msg, msgspec.msgpack.encode(prompt))
    await _answer(rig, prompt, msg)


async def _bulk(rig: _Rig) -> None:
    """A prompt of several chunks arrives on the bulk connection."""
    await _serves_model(rig)
    prompt = [70_000 + index for index in range(100_000)]
    body = msgspec.msgpack.encode(prompt)
    msg = _submit(prompt, max_tokens=5)
    rig.send(msg)
    await _until(lambda: rig.of(messages.BodyCredit))
    size = messages.INLINE_BODY_BYTES
    parts = [body[at : at + size] for at in range(0, len(body), size)]
    for index, part in enumerate(parts):
        last = index == len(parts) - 1
        chunk = messages.BodyChunk("r1", 1, index, last)
        assert rig.conn.send_bulk(chunk, 1, part)
    await _answer(rig, prompt, msg)


async def _drain_moves(rig: _Rig) -> None:
    """A drain hands a long request over with its KV cache."""
    await _serves_model(rig)
    prompt = [1, 2, 3]
    msg = _submit(prompt, max_tokens=60_000, remaining_ms=200_000)
    rig.send(msg, msgspec.msgpack.encode(prompt))
    await _until(lambda: rig.of(messages.Tokens))
    rig.send(messages.Ping(1, True))
    await _until(lambda: rig.of(messages.Moved))
    moved = rig.of(messages.Moved)[0]
    last = rig.of(messages.Tokens)[-1]
    assert moved.offset == last.offset + len(last.tokens)
    assert moved.kv is not None
    run = rig.upstream.core.runs[0]
    assert run.end == "exported"


@pytest.mark.parametrize("scenario", [_inline, _forced, _bulk, _drain_moves])
@async_helpers.async_test
async def test_daemon_serves_generations(
    scenario: Callable[[_Rig], Awaitable[None]],
) -> None:
    async with _rig("engine", drains=scenario is _forced) as rig:
        await scenario(rig)


@async_helpers.async_test
async def test_daemon_runs_a_logged_call_once() -> None:
    async with _rig("service") as rig:
        await _until(lambda: rig.daemon.tables.call_log.up)
        rig.send(messages.KeyRequest("k", "ledger", 1))
        await _until(lambda: rig.of(messages.KeyIssued))
        key = rig.of(messages.KeyIssued)[0].keys[0]
        msg = worlds.call("c1", key, service="ledger", path="/entries")
        for _ in range(2):
            rig.send(msg, b"row")
        await _until(lambda: len(rig.of(messages.CallResult)) >= 1)
        assert rig.of(messages.CallResult)[0].status == 200
        await _until(lambda: len(rig.log.streams["calls/agent-1"].records) == 2)
        assert len(rig.upstream.calls) == 1


@async_helpers.async_test
async def test_unexpected_error_in_a_step_ends_the_agent() -> None:
    """Fails when the agent lives on without running its step."""
    async with _rig("engine") as rig:
        rig.daemon.emit("no event")  # type: ignore[arg-type]
        await asyncio.wait({rig.served}, timeout=_TIMEOUT_S)
        assert isinstance(rig.served.exception(), KeyError)
