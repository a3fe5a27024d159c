"""Tests of the HTTP clients of the platform's services.

Guards above all against an append with a lost response that is reported as not
stored.
"""

import asyncio
import contextlib
import socket
from collections.abc import AsyncIterator

import pytest

from apricottrestle import (
    errors,
    platform_http,
    platform_instances,
    platform_log,
    platform_weights,
)
from apricottrestle_standins import log_service
from tests import async_helpers, broken_answers, fake_log

_CONNECTION_CLOSED = b""


@contextlib.asynccontextmanager
async def _running_server(response: bytes | None) -> AsyncIterator[str]:
    """Runs a server that sends the bytes and closes; None never responds."""
    release = asyncio.Event()

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        head = await reader.readuntil(b"\r\n\r\n")
        size = 0
        for line in head.lower().split(b"\r\n"):
            if line.startswith(b"content-length:"):
                size = int(line.partition(b":")[2])
        await reader.readexactly(size)
        if response is None:
            await release.wait()
        else:
            writer.write(response)
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    try:
        yield f"http://127.0.0.1:{port}"
    finally:
        release.set()
        server.close()


def _http_response(status: str, body: str = "", head: str = "") -> bytes:
    return (
        f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n"
        f"Connection: close\r\n{head}\r\n{body}"
    ).encode()


async def _append_error(response: bytes | None) -> errors.PlatformError:
    async with _running_server(response) as url:
        log = platform_log.HttpLogService(url, timeout_s=0.3)
        try:
            with pytest.raises(errors.PlatformError) as info:
                await log.append("s", "id", "data")
        finally:
            log.close()
    return info.value


@pytest.mark.parametrize(
    ("response", "error_type"),
    [
        (None, errors.AppendUnknownError),
        (_CONNECTION_CLOSED, errors.AppendUnknownError),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{", None),
        (_http_response("200 OK", "nonsense"), errors.AppendUnknownError),
        (
            _http_response("200 OK", '{"offset": "x"}'),
            errors.AppendUnknownError,
        ),
        (_http_response("500 Oops"), errors.AppendUnknownError),
        (_http_response("502 Bad Gateway"), errors.AppendUnknownError),
        (_http_response("504 Gateway Timeout"), errors.AppendUnknownError),
        (_http_response("503 Service Unavailable"), errors.PlatformError),
        (_http_response("413 Too Large"), errors.PlatformError),
        (_http_response("429 Too Many", head="Retry-After: 2.5\r\n"), None),
        (_http_response("429 Too Many", head="Retry-After: x\r\n"), None),
    ],
)
def test_an_append_raises_unknown_only_if_it_may_be_stored(
    response: bytes | None, error_type: type[errors.PlatformError] | None
) -> None:
    if error_type is None:
        limited = response is not None and b" 429 " in response
        error_type = (
            errors.RateLimitedError if limited else errors.AppendUnknownError
        )
    exc = asyncio.run(_append_error(response))
    assert type(exc) is error_type
    assert (exc.step, exc.peer) == ("append", "log")
    if isinstance(exc, errors.RateLimitedError):
        expected = 2.5 if response and b": 2.5" in response else 1.0
        assert exc.retry_after_s == expected


def test_an_append_to_a_closed_port_is_not_unknown() -> None:
    with socket.create_server(("127.0.0.1", 0)) as sock:
        port = sock.getsockname()[1]

    async def run() -> None:
        log = platform_log.HttpLogService(f"http://127.0.0.1:{port}")
        try:
            with pytest.raises(errors.PlatformError) as info:
                await log.append("s", "id", "data")
        finally:
            log.close()
        assert type(info.value) is errors.PlatformError

    asyncio.run(run())


@pytest.mark.parametrize(
    "response",
    [
        None,
        _CONNECTION_CLOSED,
        _http_response("503 No"),
        _http_response("200 OK", "[]"),
    ],
)
def test_a_failed_read_is_a_platform_error(response: bytes | None) -> None:
    async def run() -> None:
        async with _running_server(response) as url:
            log = platform_log.HttpLogService(url, timeout_s=0.3)
            try:
                with pytest.raises(errors.PlatformError) as info:
                    await log.read("s", 0, 10)
            finally:
                log.close()
            assert type(info.value) is errors.PlatformError

    asyncio.run(run())


@pytest.mark.parametrize("name", broken_answers.BROKEN)
def test_a_broken_response_to_an_append_is_unknown(name: str) -> None:
    """Guards against a record that counts as stored by a broken response."""
    response = broken_answers.BROKEN[name].write(b"", b'{"offset":1,"n":12}')
    exc = asyncio.run(_append_error(response))
    assert isinstance(exc, errors.AppendUnknownError)


@pytest.mark.parametrize("global_offsets", [False, True])
def test_the_log_client_appends_and_reads(global_offsets: bool) -> None:
    async def run() -> None:
        cfg = log_service.LogSettings(global_offsets=global_offsets)
        standin = log_service.Log(cfg)
        port = standin.start("127.0.0.1", 0)
        log = platform_log.HttpLogService(f"http://127.0.0.1:{port}")
        try:
            offsets = [
                await log.append(stream, "id-ž", f"data {stream}")
                for stream in ("calls/a 1", "release", "calls/a 1")
            ]
            assert offsets == ([1, 2, 3] if global_offsets else [1, 1, 2])
            result = await log.read("calls/a 1", 0, 10)
            assert result.first == 1
            assert [
                (rec.offset, rec.record_id, rec.data) for rec in result.records
            ] == [
                (offsets[0], "id-ž", "data calls/a 1"),
                (offsets[2], "id-ž", "data calls/a 1"),
            ]
            end = await log.read("calls/a 1", offsets[2], 10)
            assert end.records == []
        finally:
            log.close()
            standin.stop()

    asyncio.run(run())


@pytest.mark.parametrize("failures", [0, 1, 2, 3])
def test_a_failed_read_is_retried(failures: int) -> None:
    """Guards against one lost response that ends an export or a publish."""
    fake = fake_log.FakeLog()
    fake.read_faults = [True] * failures
    time = fake_log.FakeTime()
    log = platform_log.ReadRetryingLog(fake, time.sleep)
    if failures < platform_log.MAX_READ_ATTEMPTS:
        assert asyncio.run(log.read("s", 0, 10)).records == []
    else:
        with pytest.raises(errors.PlatformError):
            asyncio.run(log.read("s", 0, 10))
    waits = min(failures, platform_log.MAX_READ_ATTEMPTS - 1)
    assert time.now == waits * platform_log.READ_RETRY_DELAY_S


def test_a_lost_append_is_not_retried() -> None:
    fake = fake_log.FakeLog()
    fake.faults = [fake_log.ANSWER_LOST]
    log = platform_log.ReadRetryingLog(fake)
    with pytest.raises(errors.AppendUnknownError):
        asyncio.run(log.append("s", "id", "data"))
    assert len(fake.streams["s"]) == 1


def test_the_weight_store_client_decodes_a_permit() -> None:
    async def run() -> None:
        async with _running_server(
            _http_response("200 OK", '{"bytes": 70000}')
        ) as url:
            store = platform_weights.HttpWeightStore(url)
            try:
                assert await store.request_permit("m", "v1") == 70000
            finally:
                store.close()

    asyncio.run(run())


def test_the_instance_list_client_decodes_and_registers_rows() -> None:
    row = platform_instances.InstanceRow(
        "a1", "agent", "haloze", "127.0.0.1:1", "127.0.0.1:2", "", "leaving"
    )
    body = (
        '{"version": 9, "rows": [{"id": "a1", "role": "agent",'
        ' "data_centre": "haloze", "control": "127.0.0.1:1",'
        ' "bulk": "127.0.0.1:2", "http": "", "state": "leaving"}]}'
    )

    async def run() -> None:
        async with _running_server(_http_response("200 OK", body)) as url:
            rows = platform_instances.HttpInstanceList(url)
            try:
                result = await rows.read_changes(4, "haloze")
                await rows.register(row)
            finally:
                rows.close()
            assert result == platform_instances.InstanceChanges(9, [row])

    asyncio.run(run())


def test_a_client_works_again_after_close() -> None:
    async def run() -> None:
        async with _running_server(_http_response("200 OK", "{}")) as url:
            http = platform_http.PlatformHttpClient(url, "log", 1.0)
            for _ in range(2):
                assert await http.call("GET", "/", "read") == b"{}"
                http.close()

    asyncio.run(run())


@pytest.mark.parametrize(
    ("appends", "error"),
    [(False, errors.PlatformError), (True, errors.AppendUnknownError)],
)
def test_open_call_ends_when_its_client_is_closed(
    appends: bool, error: type[errors.PlatformError]
) -> None:
    """Guards against a caller that waits for ever for a closed client."""

    async def main() -> None:
        async with _running_server(None) as url:
            client = platform_http.PlatformHttpClient(url, "store", 20.0)
            call = asyncio.ensure_future(
                client.call("POST", "/x", "read", body=b"1", appends=appends)
            )
            await asyncio.sleep(0.1)
            client.close()
            with pytest.raises(error) as info:
                await asyncio.wait_for(call, 1.0)
            assert type(info.value) is error
            client.close()

    asyncio.run(main())


def test_call_that_was_given_up_before_it_began_is_not_sent() -> None:
    """Guards against a write that reaches the store after a later one."""
    received: list[bytes] = []
    release = asyncio.Event()

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError):
            while True:
                received.append(await reader.readuntil(b"\r\n\r\n"))
                await release.wait()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
        writer.close()

    async def main() -> None:
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        client = platform_http.PlatformHttpClient(
            f"http://127.0.0.1:{port}", "store", 20.0
        )
        under_way = [
            asyncio.ensure_future(client.call("GET", "/slow", "read"))
            for _ in range(platform_http.MAX_CONCURRENT_CALLS)
        ]
        await async_helpers.wait_until(lambda: len(received) == len(under_way))
        with pytest.raises(errors.PlatformError):
            await client.call("GET", "/given-up", "read", timeout_s=0.1)
        release.set()
        await asyncio.gather(*under_way)
        await client.call("GET", "/later", "read")
        client.close()
        server.close()

    asyncio.run(main())
    paths = [head.split()[1] for head in received]
    assert paths == [b"/slow"] * platform_http.MAX_CONCURRENT_CALLS + [
        b"/later"
    ]


def test_client_works_after_it_was_closed() -> None:
    """Guards against a client that fails all calls after it was closed."""

    async def main() -> None:
        async with _running_server(_http_response("200 OK", "{}")) as url:
            client = platform_http.PlatformHttpClient(url, "store", 5.0)
            assert await client.call("GET", "/x", "read") == b"{}"
            client.close()
            assert await client.call("GET", "/x", "read") == b"{}"
            client.close()

    asyncio.run(main())
