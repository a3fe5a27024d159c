"""Tests the explanation of where a request would go.

It must agree with what the gateway does with that request, and change nothing.
"""

import asyncio
import json
from collections.abc import Callable
from typing import Any, Final
from unittest import mock

import msgspec
import pytest

from apricottrestle import cli, ops_http, route_query
from apricottrestle.gateway import (
    calls,
    clock,
    engine_claims,
    evacuations,
    explanation,
    gateway,
)
from tests import async_helpers, gateway_on_sockets

HOST: Final = "fleet.example"
PLAIN: Final = route_query.Query(HOST, "/lookup/x", "key-a")
MODEL: Final = route_query.Query(HOST, "/short/x", "key-a", 5_000, 1_600)

ENGINES: Final = [("engines", "127.0.0.1:1"), ("engines", "127.0.0.1:2")]
SERVICES: Final = [("plain", "127.0.0.1:3"), ("plain", "127.0.0.1:4")]


def _gateway() -> gateway.Gateway:
    return gateway_on_sockets.make_gateway(mock.Mock(), *ENGINES, *SERVICES)


class _Responder(explanation.NoResponder):
    """Records a refusal."""

    def __init__(self) -> None:
        self.refusal: tuple[int, str] | None = None

    def refuse(
        self, status: int, message: str, retry_after_s: float | None = None
    ) -> None:
        self.refusal = (status, message)


def _stop(core: gateway.Gateway) -> None:
    core.stopping = True


def _evacuate(core: gateway.Gateway) -> None:
    record = evacuations.Record("dc-1", evacuations.Stamp(1, 1), True)
    core.state.read_evacuations([record], evacuations.Stamp(1, 2), whole=False)


def _leave(*upstream_ids: str) -> Callable[[gateway.Gateway], None]:
    def leave(core: gateway.Gateway) -> None:
        for upstream_id in upstream_ids:
            core.notices.observe(
                upstream_id,
                gateway_on_sockets.STARTED_AT_MS,
                clock.now(),
                leaves=True,
                wait_s=None,
            )

    return leave


def _limit(*upstream_ids: str) -> Callable[[gateway.Gateway], None]:
    def limit(core: gateway.Gateway) -> None:
        for upstream_id in upstream_ids:
            core.notices.observe(
                upstream_id,
                gateway_on_sockets.STARTED_AT_MS,
                clock.now(),
                leaves=False,
                wait_s=3.5,
            )

    return limit


def _claim(core: gateway.Gateway) -> None:
    core.claims.add(
        engine_claims.Claim("c", ("up-0", "up-1"), 5.0), clock.now()
    )


def _nothing(_core: gateway.Gateway) -> None:
    pass


@pytest.mark.parametrize(
    ("query", "prepare", "outcome", "reason"),
    [
        (PLAIN, _nothing, "send", ""),
        (PLAIN, _stop, "refuse", "stopping"),
        (PLAIN, _evacuate, "refuse", "evacuated"),
        (PLAIN, _leave("up-2"), "send", ""),
        (PLAIN, _leave("up-2", "up-3"), "refuse", "no_upstream"),
        (PLAIN, _limit("up-2"), "send", ""),
        (PLAIN, _limit("up-2", "up-3"), "refuse", "limited"),
        (MODEL, _nothing, "send", ""),
        (MODEL, _evacuate, "refuse", "evacuated"),
        (MODEL, _leave("up-0"), "send", ""),
        (MODEL, _leave("up-0", "up-1"), "refuse", "no_upstream"),
        (MODEL, _limit("up-0"), "send", ""),
        (MODEL, _claim, "wait", "no engine serves it on time now"),
        (
            route_query.Query("other", "/x", "key-a"),
            _nothing,
            "refuse",
            None,
        ),
        (route_query.Query(HOST, "/short/x"), _nothing, "refuse", None),
    ],
)
@async_helpers.async_test
async def test_explanation_agrees_with_the_gateway(
    query: route_query.Query,
    prepare: Callable[[gateway.Gateway], None],
    outcome: str,
    reason: str | None,
) -> None:
    """Guards against an explanation of something else than what happens."""
    core = _gateway()
    prepare(core)
    before = core.explain(query)
    answer = core.explain(query)
    assert before["outcome"] == answer["outcome"] == outcome
    if reason is not None:
        assert answer["reason"] == reason
    assert not core.active

    responder = _Responder()
    core.handle(explanation.make_request(query, clock.now()), responder)
    sent: Any = core._client
    if outcome == "send":
        call: calls.UpstreamCall = sent.send.call_args.args[0]
        rows = {row["upstream"]: row for row in answer["upstreams"]}
        assert rows[call.upstream_id]["excluded"] == ""
        if query is MODEL:
            assert call.upstream_id == answer["chosen"]
    else:
        assert not sent.send.called
    if outcome == "refuse":
        assert responder.refusal == (answer["status"], answer["reason"])
    core.close()


@async_helpers.async_test
async def test_explanation_names_what_excludes_each_upstream() -> None:
    """Guards against an upstream that is left out without a reason."""
    core = _gateway()
    _leave("up-0")(core)
    _limit("up-2")(core)
    engines = core.explain(MODEL)["upstreams"]
    services = core.explain(PLAIN)["upstreams"]
    core.close()
    assert [row["excluded"] for row in engines] == ["leaves", ""]
    assert [row["excluded"] for row in services] == ["limit or pause", ""]
    assert engines[1]["first_event_s"] is not None
    assert services[0]["wait_s"] == pytest.approx(3.5, abs=0.2)


@async_helpers.async_test
async def test_command_asks_a_gateway(
    capsys: pytest.CaptureFixture[str],
) -> None:
    """Guards against a command that doesn't fit the gateway's ops address."""
    core = _gateway()

    def explain(body: bytes) -> route_query.Explanation:
        return core.explain(msgspec.json.decode(body, type=route_query.Query))

    with ops_http.OpsServer(
        "127.0.0.1:0", lambda: [], {route_query.PATH: explain}
    ) as server:
        options = ["explain", "--ops", f"127.0.0.1:{server.port}"]
        options += ["--host", HOST, "--path", "/short/x", "--key", "key-a"]
        options += ["--prompt-tokens", "5000", "--output-tokens", "100"]
        text = await asyncio.to_thread(cli.main, options)
        lines = capsys.readouterr().out.splitlines()
        as_json = await asyncio.to_thread(cli.main, [*options, "--json"])
        document = json.loads(capsys.readouterr().out)
        refused = await asyncio.to_thread(cli.main, [*options[:6], "/nothing"])
        refusal = capsys.readouterr().out.splitlines()
    core.close()
    assert (text, as_json, refused) == (0, 0, 0)
    assert lines[0].startswith(f"goes to {document['chosen']}, after ")
    assert len(document["upstreams"]) == 2
    assert refusal[0].startswith("refused with ")


@async_helpers.async_test
async def test_malformed_question_is_refused(
    capsys: pytest.CaptureFixture[str],
) -> None:
    """Guards against a stack trace, or 500, for a malformed question."""

    def explain(body: bytes) -> dict[str, object]:
        msgspec.json.decode(body, type=route_query.Query)
        return {}

    with ops_http.OpsServer(
        "127.0.0.1:0", lambda: [], {route_query.PATH: explain}
    ) as server:
        reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
        writer.write(
            b"POST /explain HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n{}"
        )
        line = await reader.readline()
        writer.close()
    assert line.startswith(b"HTTP/1.1 400 ")
