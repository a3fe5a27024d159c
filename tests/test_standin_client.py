"""Tests the client that checks completions in the demo and process tests."""

import asyncio
from typing import Final

import msgspec
import pytest

from apricottrestle_standins import client, load, tokens, web

_PROMPT: Final = client.Prompt([1, 2, 3], 6, "brajda")
_EXPECTED: Final = _PROMPT.expected_tokens()


def _event(event_id: str, ids: list[int]) -> bytes:
    text = " ".join(map(str, ids))
    data = msgspec.json.encode({"choices": [{"index": 0, "text": text}]})
    return b"id: " + event_id.encode() + b"\ndata: " + data + b"\n\n"


_DONE: Final = b"data: [DONE]\n\n"
_REFUSED: Final = msgspec.json.encode(
    {"error": {"code": "busy", "message": "full", "outcome": "not_run"}}
)


class _ScriptedServer(web.Standin):
    """Responds to calls with given steps in order.

    A step is a status, a body, and whether to close the connection early.
    """

    def __init__(self, *steps: tuple[int, bytes, bool]) -> None:
        super().__init__(web.CommonFaults)
        self.steps = list(steps)
        self.last_event_ids: list[str] = []


class _Handler(web.JsonHandler):
    async def post(self) -> None:
        scripted = self.standin
        assert isinstance(scripted, _ScriptedServer)
        header = self.request.headers.get("Last-Event-ID", "")
        scripted.last_event_ids.append(header)
        status, body, cut = scripted.steps.pop(0)
        self.set_status(status)
        self.set_header("Retry-After", "0")
        self.write(body)
        if not cut:
            return
        self.set_header("Content-Length", "99999")
        await self.flush()
        self.cut()


async def _complete(
    scripted: _ScriptedServer, retries: int = 0
) -> client.CompletionResult:
    routes: list[tuple[str, type[web.JsonHandler]]] = [
        (r"/v1/completions", _Handler)
    ]
    server, port = web.make_server(scripted, routes, "127.0.0.1", 0)
    caller = client.Caller([f"http://127.0.0.1:{port}"], "key")
    try:
        return await caller.complete(_PROMPT, retries=retries)
    finally:
        caller.close()
        server.stop()


@pytest.mark.parametrize(
    ("steps", "outcome", "resumed_with"),
    [
        ([(200, _event("a", _EXPECTED) + _DONE, False)], "ok", [""]),
        ([(200, _event("a", _EXPECTED[:5]) + _DONE, False)], "wrong", [""]),
        ([(200, _event("a", _EXPECTED[::-1]) + _DONE, False)], "wrong", [""]),
        ([(403, _REFUSED, False)], "refused", [""]),
        (
            [
                (200, _event("a", _EXPECTED[:2]), True),
                (200, _event("b", _EXPECTED[2:]) + _DONE, False),
            ],
            "ok",
            ["", "a"],
        ),
        (
            [
                (
                    200,
                    _event("a", _EXPECTED[:2])
                    + b"event: reconnect\ndata: {}\n\n",
                    False,
                ),
                (200, _event("b", _EXPECTED[1:]) + _DONE, False),
            ],
            "wrong",
            ["", "a"],
        ),
        (
            [
                (429, _REFUSED, False),
                (200, _event("a", _EXPECTED) + _DONE, False),
            ],
            "ok",
            ["", ""],
        ),
    ],
)
def test_outcome_of_scripted_answers(
    steps: list[tuple[int, bytes, bool]],
    outcome: str,
    resumed_with: list[str],
) -> None:
    """A client that accepts missing or repeated tokens would hide faults."""
    scripted = _ScriptedServer(*steps)
    answer = asyncio.run(_complete(scripted, retries=len(steps) - 1))
    assert (answer.outcome, answer.detail != "") == (outcome, outcome != "ok")
    assert scripted.last_event_ids == resumed_with


@pytest.mark.parametrize("size", [1, 3, 1000])
def test_sse_parser_accepts_any_chunk_size(size: int) -> None:
    raw = _event("a", [7, 8]) + _event("b", [9]) + _DONE
    parser = client.SseParser()
    events = []
    for start in range(0, len(raw), size):
        events += parser.feed(raw[start : start + size])
    assert [event.id for event in events] == ["a", "b", ""]
    assert client.event_tokens(events[0].data) == [7, 8]
    assert events[2].data == "[DONE]"


@pytest.mark.parametrize("text", ["", "1000:0", "1000:x", ":3"])
def test_invalid_choices_are_rejected(text: str) -> None:
    with pytest.raises(ValueError, match=r"choice|convert"):
        load.parse_choices(text)


def test_table_counts_outcomes_by_length_and_class() -> None:
    answers = [
        client.CompletionResult(
            1000, "urgent", 0.0, outcome="ok", first_token_s=0.5
        ),
        client.CompletionResult(1000, "urgent", 0.0, outcome="wrong"),
        client.CompletionResult(200_000, "batch", 0.0, outcome="refused"),
    ]
    lines = load.format_table(answers).splitlines()
    assert lines[1].split() == [
        *("<4k", "urgent", "2", "0.500", "0.500", "1", "0", "0", "1", "0")
    ]
    assert lines[2].split()[:3] == ["<1000k", "batch", "1"]


def test_outputs_of_different_prompts_differ() -> None:
    """Otherwise, swapped responses would pass the check."""
    one = tokens.output_tokens([1, 2, 3], 0, 20)
    other = tokens.output_tokens([1, 2, 4], 0, 20)
    assert not set(one) & set(other)
    assert tokens.output_tokens("a b", 0, 2) != one[:2]
