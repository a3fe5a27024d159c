"""Tests what a process takes for an answer of the platform's services.

As test_gateway_early_answers.py, for the calls of entries, agents and gateways
to the log, the instance list and the store.
"""

import asyncio
from typing import Literal

import pytest

from apricottrestle import errors, platform_http
from tests import async_helpers, gateway_on_sockets

BODY = b'{"offset": 1, "end": 2}'
LENGTH = f"Content-Length: {len(BODY)}\r\n"

End = Literal["reset", "fin", "close"]


def _head(status_line: str, framing: str) -> bytes:
    return f"{status_line}\r\n{framing}\r\n".encode()


async def _answer(
    head: gateway_on_sockets.Head, conn: gateway_on_sockets.Connection
) -> None:
    await conn.read_body(head)
    conn.write(_head("HTTP/1.1 200 OK", LENGTH) + BODY)


async def _append(client: platform_http.PlatformHttpClient) -> object:
    body = await client.call("POST", "/a", "append", body=b"x", appends=True)
    return platform_http.decode_append_response(body, dict[str, int], "log")


@pytest.mark.parametrize("end", ["reset", "fin", "close"])
@pytest.mark.parametrize(
    ("status", "framing", "body"),
    [
        ("200 X", "", BODY[:9]),
        ("200 X", LENGTH, BODY[:9]),
        ("200 X", "Transfer-Encoding: identity\r\n", BODY[:9]),
        ("204 X", "", BODY),
        ("304 X", "", BODY),
        ("101 X", LENGTH, BODY),
        ("000 X", LENGTH, BODY),
        ("099 X", LENGTH, BODY),
        ("20 X", LENGTH, BODY),
        ("1000 X", LENGTH, BODY),
        ("2000 X", LENGTH, BODY),
        ("abc X", LENGTH, BODY),
        ("600 X", LENGTH, BODY),
    ],
)
@async_helpers.async_test
async def test_append_with_an_invalid_answer_is_unknown(
    status: str, framing: str, body: bytes, end: End
) -> None:
    """Guards against an append that passes for stored, or for not stored."""

    async def script(
        head: gateway_on_sockets.Head, conn: gateway_on_sockets.Connection
    ) -> None:
        await conn.read_body(head)
        conn.write(_head(f"HTTP/1.1 {status}", framing) + body)
        await conn.writer.drain()
        await asyncio.sleep(0.02)
        if end == "reset":
            conn.reset()
        elif end == "fin":
            await conn.send_fin()
        else:
            conn.writer.close()

    upstream = gateway_on_sockets.Upstream([script, _answer])
    async with gateway_on_sockets.listening(upstream) as address:
        client = platform_http.PlatformHttpClient(
            f"http://{address}", "log", 1.0
        )
        with pytest.raises(errors.PlatformError) as info:
            await _append(client)
        assert status == "304 X" or isinstance(
            info.value, errors.AppendUnknownError
        )
        assert await _append(client) == {"offset": 1, "end": 2}
        client.close()


@async_helpers.async_test
async def test_append_is_sent_once_if_its_kept_connection_ends() -> None:
    """Guards against a record that is stored twice.

    libcurl sends a request again if its kept connection ends before the first
    byte of the answer.
    """

    async def close(
        head: gateway_on_sockets.Head, conn: gateway_on_sockets.Connection
    ) -> None:
        await conn.read_body(head)
        conn.writer.close()

    upstream = gateway_on_sockets.Upstream([_answer, close, _answer])
    async with gateway_on_sockets.listening(upstream) as address:
        client = platform_http.PlatformHttpClient(
            f"http://{address}", "log", 1.0
        )
        await _append(client)
        with pytest.raises(errors.AppendUnknownError):
            await _append(client)
        client.close()
    assert len(upstream.heads) == 2
