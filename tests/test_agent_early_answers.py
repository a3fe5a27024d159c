"""Tests what an agent takes for the answer of its service or engine.

As test_gateway_early_answers.py, for the project's own interface: each row
is an order of events between an answer, the end of its connection and the
request's upload, on real sockets.
"""

import asyncio
from typing import Final, Literal

import pytest

from apricottrestle import agent_events, engine_client, service_client
from tests import async_helpers, broken_answers, gateway_on_sockets

UPLOAD: Final = b"u" * (4 * 1024 * 1024)
"""Longer than the buffers of both sockets, so that it is under way when the
answer arrives."""

WHOLE: Final = b"a whole answer"
PART: Final = WHOLE[:7]
OK: Final = "HTTP/1.1 200 OK"
LENGTH: Final = f"Content-Length: {len(WHOLE)}\r\n"

End = Literal["reset", "fin", "close"]


def _head(status_line: str = OK, framing: str = "") -> bytes:
    return f"{status_line}\r\n{framing}\r\n".encode()


async def _answer_whole(
    head: gateway_on_sockets.Head, conn: gateway_on_sockets.Connection
) -> None:
    await conn.read_body(head)
    conn.write(_head(framing=LENGTH) + WHOLE)


async def _call(
    script: gateway_on_sockets.Script, *bodies: bytes
) -> list[agent_events.Event]:
    """Calls a service; its first answer is the script's, the others whole."""
    upstream = gateway_on_sockets.Upstream([script, *[_answer_whole] * 9])
    events: list[agent_events.Event] = []
    async with gateway_on_sockets.listening(upstream) as address:
        with service_client.ServiceClient(
            f"http://{address}", events.append
        ) as client:
            for number, body in enumerate(bodies):
                client.execute(
                    agent_events.CallService(
                        str(number), "POST", "/book", [], body, 3.0
                    )
                )
                await client.wait_for_commands(10)
                assert len(events) == number + 1
    assert len(upstream.heads) == len(bodies)
    return events


LOST: Final = agent_events.ServiceFailed("0", "answer_lost", True)


def _early(end: End, delay_s: float, data: bytes) -> gateway_on_sockets.Script:
    """Returns a script that answers at once, in part, and reads nothing."""

    async def script(
        _head: gateway_on_sockets.Head, conn: gateway_on_sockets.Connection
    ) -> None:
        conn.write(data)
        await conn.writer.drain()
        await asyncio.sleep(delay_s)
        if end == "reset":
            conn.reset()
        elif end == "fin":
            await conn.send_fin()
        else:
            conn.writer.close()

    return script


@pytest.mark.parametrize("before", [b"", b"HTTP/1.1 103 X\r\nA: b\r\n\r\n"])
@pytest.mark.parametrize(
    ("status", "framing"),
    [
        ("200 X", ""),
        ("200 X", LENGTH),
        ("200 X", "Transfer-Encoding: identity\r\n"),
        ("201 X", ""),
        ("404 X", ""),
        ("500 X", ""),
    ],
)
@pytest.mark.parametrize("delay_s", [0, 0.005, 0.15, 0.4])
@pytest.mark.parametrize("end", ["reset", "fin", "close"])
@async_helpers.async_test
async def test_part_of_an_answer_to_an_upload_is_no_answer(
    end: End, delay_s: float, status: str, framing: str, before: bytes
) -> None:
    """Guards against a part that is stored and returned as a whole answer.

    The connection ends while the request is still being written.
    """
    data = before + _head(f"HTTP/1.1 {status}", framing) + PART
    assert await _call(_early(end, delay_s, data), UPLOAD) == [LOST]


@pytest.mark.parametrize("body", [b"body", UPLOAD], ids=["read", "early"])
@pytest.mark.parametrize("keeps", [False, True], ids=["closes", "keeps"])
@pytest.mark.parametrize(
    "status_line",
    [
        "HTTP/1.1 000 X",
        "HTTP/1.1 099 X",
        "HTTP/1.1 20 X",
        "HTTP/1.1 1000 X",
        "HTTP/1.1 2000 X",
        "HTTP/1.1 200X X",
        "HTTP/1.1 abc X",
        "HTTP/1.1 600 X",
        "HTTP/1.1 999 X",
        "HTTP/1.1 199 X",
        "HTTP/1.1 101 X",
        "HTTP/2 200 X",
    ],
)
@async_helpers.async_test
async def test_answer_without_a_valid_status_is_no_answer(
    status_line: str, keeps: bool, body: bytes
) -> None:
    """Guards against a status that no caller knows, or none at all."""

    async def script(
        head: gateway_on_sockets.Head, conn: gateway_on_sockets.Connection
    ) -> None:
        if body != UPLOAD:
            await conn.read_body(head)
        conn.write(_head(status_line, LENGTH) + WHOLE)
        if not keeps:
            conn.writer.close()
        elif body == UPLOAD:
            await asyncio.sleep(0.2)
            conn.writer.close()

    first, second = await _call(script, body, b"next")
    assert first == LOST
    assert second == agent_events.ServiceAnswer("1", 200, [], WHOLE)


@pytest.mark.parametrize(
    "behind",
    [b"", b"extra bytes", b"\r\n", _head(framing="Content-Length: 5\r\n")],
)
@pytest.mark.parametrize(
    ("status", "framing", "body"),
    [
        (204, "", b""),
        (204, "Content-Length: 5\r\n", b""),
        (304, "", b""),
        (304, "Content-Length: 5\r\n", b""),
        (200, LENGTH, WHOLE),
        (
            200,
            "Transfer-Encoding: chunked\r\n",
            b"%x\r\n%b\r\n0\r\n\r\n" % (len(WHOLE), WHOLE),
        ),
    ],
)
@pytest.mark.parametrize("delay_s", [0.0, 0.02])
@async_helpers.async_test
async def test_bytes_behind_a_complete_answer_belong_to_nobody(
    delay_s: float, status: int, framing: str, body: bytes, behind: bytes
) -> None:
    """Guards against leftover bytes that are read as the next answer."""

    async def script(
        head: gateway_on_sockets.Head, conn: gateway_on_sockets.Connection
    ) -> None:
        await conn.read_body(head)
        conn.write(_head(f"HTTP/1.1 {status} X", framing) + body)
        await conn.writer.drain()
        await asyncio.sleep(delay_s)
        conn.write(behind)

    first, second = await _call(script, b"body", b"next")
    assert first == agent_events.ServiceAnswer(
        "0", status, [], WHOLE if status == 200 else b""
    )
    assert second == agent_events.ServiceAnswer("1", 200, [], WHOLE)


LOAD: Final = (
    b'{"running": 1, "waiting": 2, "prefill_tokens_left": 3, '
    b'"kv_blocks_total": 4, "kv_blocks_free": 5, "age_ms": 6}'
)
OTHER: Final = LOAD.replace(b"1", b"9")


@pytest.mark.parametrize(
    "data",
    [
        pytest.param(_head() + LOAD[:40], id="part"),
        pytest.param(
            _head(framing=f"Content-Length: {len(LOAD)}\r\n") + LOAD[:40],
            id="part with a length",
        ),
        *[
            pytest.param(
                _head(f"HTTP/1.1 {code} X", f"Content-Length: {len(LOAD)}\r\n")
                + LOAD,
                id=code,
            )
            for code in ("000", "099", "20", "1000", "2000", "abc", "600")
        ],
        pytest.param(_head("HTTP/1.1 204 X") + LOAD, id="204 with a body"),
    ],
)
@pytest.mark.parametrize("end", ["reset", "fin", "close"])
@async_helpers.async_test
async def test_engine_report_that_is_cut_or_has_no_status_is_none(
    end: End, data: bytes
) -> None:
    """Guards against an engine's load that is read from a part."""
    upstream = gateway_on_sockets.Upstream([_early(end, 0.02, data)])
    events: list[agent_events.Event] = []
    async with gateway_on_sockets.listening(upstream) as address:
        with engine_client.EngineClient(
            f"http://{address}", events.append
        ) as client:
            client.execute(agent_events.PollLoad())
            await client.wait_for_commands(10)
    assert [type(event) for event in events] == [agent_events.EnginePollFailed]


@pytest.mark.parametrize("delay_s", [0.0, 0.02])
@async_helpers.async_test
async def test_report_behind_another_is_not_the_next_one(
    delay_s: float,
) -> None:
    """Guards against an old load that passes for the answer to a later poll."""
    report = _head(framing=f"Content-Length: {len(LOAD)}\r\n")

    async def first(
        _head: gateway_on_sockets.Head, conn: gateway_on_sockets.Connection
    ) -> None:
        conn.write(report + LOAD)
        await conn.writer.drain()
        await asyncio.sleep(delay_s)
        conn.write(report + LOAD)

    async def second(
        _head: gateway_on_sockets.Head, conn: gateway_on_sockets.Connection
    ) -> None:
        conn.write(report + OTHER)

    upstream = gateway_on_sockets.Upstream([first, second])
    events: list[agent_events.Event] = []
    async with gateway_on_sockets.listening(upstream) as address:
        with engine_client.EngineClient(
            f"http://{address}", events.append
        ) as client:
            for _ in range(2):
                client.execute(agent_events.PollLoad())
                await client.wait_for_commands(10)
                await asyncio.sleep(0.05)
    loads = [
        event.running
        for event in events
        if isinstance(event, agent_events.EngineLoad)
    ]
    assert loads == [1, 9]


@pytest.mark.parametrize("name", broken_answers.BROKEN)
@async_helpers.async_test
async def test_broken_answer_of_a_service_is_no_answer(name: str) -> None:
    """Guards against a broken answer that is stored and returned as whole."""
    answer = broken_answers.BROKEN[name].write(b"", WHOLE)

    async def script(
        head: gateway_on_sockets.Head, conn: gateway_on_sockets.Connection
    ) -> None:
        await conn.read_body(head)
        conn.write(answer)
        conn.writer.close()

    assert await _call(script, b"body") == [LOST]
