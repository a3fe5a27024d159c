"""Tests that requests are freed at their end, not at a garbage collection.

What waits for a collection counts for no limit of the process's memory.
"""

import asyncio
import gc

import pytest

from apricottrestle.gateway import calls
from tests import async_helpers, gateway_on_sockets

REQUESTS = 5


async def _reset(
    head: gateway_on_sockets.Head, conn: gateway_on_sockets.Connection
) -> None:
    await conn.read_body(head)
    conn.reset()


async def _fail(
    head: gateway_on_sockets.Head, conn: gateway_on_sockets.Connection
) -> None:
    await conn.read_body(head)
    conn.write(
        gateway_on_sockets.signed_head(
            head,
            status_line="HTTP/1.1 500 Failed",
            framing="Content-Length: 2\r\n",
        )
        + b"no"
    )


@pytest.mark.parametrize(
    ("path", "script", "chunked"),
    [
        ("/order/1", gateway_on_sockets.answer_whole, False),
        ("/lookup/1", gateway_on_sockets.answer_whole, False),
        ("/short/1", gateway_on_sockets.answer_whole, False),
        ("/order/1", gateway_on_sockets.answer_whole, True),
        ("/order/1", _reset, False),
        ("/lookup/1", _reset, False),
        ("/order/1", _fail, False),
        ("/lookup/1", _fail, False),
        ("/unknown", gateway_on_sockets.answer_whole, False),
        ("/unknown", gateway_on_sockets.answer_whole, True),
    ],
)
@async_helpers.async_test
async def test_request_is_freed_at_its_end(
    path: str, script: gateway_on_sockets.Script, chunked: bool
) -> None:
    """Guards against bodies and headers that are kept by circles."""
    upstream = gateway_on_sockets.Upstream([script] * 100)
    async with gateway_on_sockets.listening(upstream) as address:
        with gateway_on_sockets.serving(
            ("plain", address), ("engines", address)
        ) as caller:
            await caller.call(path, b"x" * 1_000, chunked=chunked)
            await asyncio.sleep(0.1)
            gc.collect()
            gc.disable()
            gc.set_debug(gc.DEBUG_SAVEALL)
            try:
                for _ in range(REQUESTS):
                    await caller.call(path, b"x" * 1_000, chunked=chunked)
                await asyncio.sleep(0.1)
                gc.collect()
                kept = [
                    item
                    for item in gc.garbage
                    if isinstance(item, calls.CallerRequest)
                ]
            finally:
                gc.set_debug(0)
                gc.garbage.clear()
                gc.enable()
    assert kept == []
