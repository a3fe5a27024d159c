"""Tests what a caller gets if an upstream answers early, in part or wrongly.

Each row is an order of events between the upstream's answer, the end of its
connection and the upload of the request, on real sockets. The caller must not
get a part as a whole answer, a status that is none, or the answer of another
request; an unsafe request runs once at most.
"""

import asyncio
from typing import Final, Literal

import pytest

from tests import async_helpers, gateway_on_sockets

UPLOAD: Final = b"u" * (4 * 1024 * 1024 - 1024)
"""Longer than the buffers of both sockets, so that it is under way when the
answer arrives."""

End = Literal["reset", "fin", "close"]

PATHS: Final = {"unsafe": "/order/x", "safe": "/lookup/x", "stream": "/short/x"}


async def _call(
    scripts: list[gateway_on_sockets.Script],
    route: str,
    *bodies: bytes,
    chunked: bool = False,
    restarted: bool = False,
) -> tuple[list[gateway_on_sockets.Received], list[gateway_on_sockets.Head]]:
    """Sends requests with the given bodies; returns answers and requests.

    The upstream is in the list twice, so that a second attempt reaches it.
    """
    upstream = gateway_on_sockets.Upstream(scripts)
    upstream.started_at_ms += restarted
    service = "engines" if route == "stream" else "plain"
    async with gateway_on_sockets.listening(upstream) as address:
        with gateway_on_sockets.serving(
            (service, address), (service, address)
        ) as caller:
            answers = [
                await caller.call(PATHS[route], body, chunked=chunked)
                for body in bodies
            ]
    return answers, upstream.heads


def _assert_sound(
    route: str,
    answer: gateway_on_sockets.Received,
    heads: list[gateway_on_sockets.Head],
) -> None:
    """Checks the answer to a request whose first answer was none."""
    if answer.status == 200 and answer.complete:
        assert answer.body == gateway_on_sockets.WHOLE
        assert len(heads) == 2
    elif answer.status == 200:
        assert gateway_on_sockets.WHOLE.startswith(answer.body)
    else:
        assert answer.status == 502
    assert len(heads) <= (1 if route == "unsafe" else 2)


def _early(
    end: End,
    delay_s: float,
    *,
    framing: str = "",
    status_line: str = "HTTP/1.1 200 OK",
    before: bytes = b"",
    part: bytes = gateway_on_sockets.PART,
) -> gateway_on_sockets.Script:
    """Returns a script that answers at once, in part, and reads nothing."""

    async def script(
        head: gateway_on_sockets.Head, conn: gateway_on_sockets.Connection
    ) -> None:
        conn.write(before)
        conn.write(
            gateway_on_sockets.signed_head(
                head, status_line=status_line, framing=framing
            )
        )
        conn.write(part)
        await conn.writer.drain()
        await asyncio.sleep(delay_s)
        if end == "reset":
            conn.reset()
        elif end == "fin":
            await conn.send_fin()
        else:
            conn.writer.close()

    return script


@pytest.mark.parametrize("chunked", [False, True], ids=["length", "chunked"])
@pytest.mark.parametrize("route", PATHS)
@pytest.mark.parametrize("delay_s", [0, 0.005, 0.15, 0.4])
@pytest.mark.parametrize("end", ["reset", "fin", "close"])
@async_helpers.async_test
async def test_part_of_an_answer_to_an_upload_is_no_answer(
    end: End, delay_s: float, route: str, chunked: bool
) -> None:
    """Guards against a part that passes for a whole answer.

    The answer has no length, and its connection ends while the upload is still
    being written. Seen elsewhere: the failed write takes the socket's error,
    and the read after it finds an orderly end.
    """
    answers, heads = await _call(
        [_early(end, delay_s)], route, UPLOAD, chunked=chunked
    )
    _assert_sound(route, answers[0], heads)


@pytest.mark.parametrize(
    "framing",
    [
        f"Content-Length: {len(gateway_on_sockets.WHOLE)}\r\n",
        "Transfer-Encoding: identity\r\n",
        "Transfer-Encoding: gzip\r\n",
        "Connection: close\r\n",
    ],
)
@pytest.mark.parametrize("route", PATHS)
@pytest.mark.parametrize("end", ["reset", "fin", "close"])
@async_helpers.async_test
async def test_part_with_another_framing_is_no_answer(
    end: End, route: str, framing: str
) -> None:
    """Guards against a framing that hides that an answer may be cut."""
    answers, heads = await _call(
        [_early(end, 0.05, framing=framing)], route, UPLOAD
    )
    _assert_sound(route, answers[0], heads)


@pytest.mark.parametrize("status", ["201 X", "206 X", "404 X", "302 X"])
@pytest.mark.parametrize("route", PATHS)
@pytest.mark.parametrize("end", ["reset", "fin", "close"])
@async_helpers.async_test
async def test_part_of_an_answer_with_another_status_is_no_answer(
    end: End, route: str, status: str
) -> None:
    """Guards against a check that only answers with status 200 get."""
    answers, heads = await _call(
        [_early(end, 0.05, status_line=f"HTTP/1.1 {status}")], route, UPLOAD
    )
    _assert_sound(route, answers[0], heads)


@pytest.mark.parametrize(
    "framing", ["", "Transfer-Encoding: identity\r\n"], ids=["none", "identity"]
)
@pytest.mark.parametrize(
    "status", ["200 X", "201 X", "206 X", "302 X", "404 X", "500 X", "503 X"]
)
@pytest.mark.parametrize("route", PATHS)
@async_helpers.async_test
async def test_part_from_a_killed_upstream_is_no_answer(
    route: str, status: str, framing: str
) -> None:
    """Guards against a cut body that is passed on with a length of its own.

    The upstream has read the request; the kernel of a killed process closes its
    connections in order.
    """

    async def script(
        head: gateway_on_sockets.Head, conn: gateway_on_sockets.Connection
    ) -> None:
        await conn.read_body(head)
        conn.write(
            gateway_on_sockets.signed_head(
                head, status_line=f"HTTP/1.1 {status}", framing=framing
            )
            + gateway_on_sockets.PART
        )
        conn.writer.close()

    answers, heads = await _call([script], route, b"body", restarted=True)
    _assert_sound(route, answers[0], heads)


@pytest.mark.parametrize("status", ["200 X", "201 X", "404 X", "500 X"])
@async_helpers.async_test
async def test_whole_answer_that_ends_with_its_connection_is_served(
    status: str,
) -> None:
    """Guards against a sound answer that is taken for a part."""

    async def script(
        head: gateway_on_sockets.Head, conn: gateway_on_sockets.Connection
    ) -> None:
        await conn.read_body(head)
        conn.write(
            gateway_on_sockets.signed_head(
                head, status_line=f"HTTP/1.1 {status}"
            )
            + gateway_on_sockets.WHOLE
        )
        conn.writer.close()

    answers, _ = await _call([script], "unsafe", b"body")
    assert answers[0] == (
        int(status.split(maxsplit=1)[0]),
        gateway_on_sockets.WHOLE,
        True,
    )


INFORMATIONAL: Final = {
    "100": b"HTTP/1.1 100 Continue\r\n\r\n",
    "102": b"HTTP/1.1 102 Processing\r\n\r\n",
    "103": b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n",
    "100 and 103": b"HTTP/1.1 100 X\r\n\r\nHTTP/1.1 103 X\r\nA: b\r\n\r\n",
}


@pytest.mark.parametrize("before", INFORMATIONAL)
@pytest.mark.parametrize("route", PATHS)
@pytest.mark.parametrize("end", ["reset", "fin"])
@async_helpers.async_test
async def test_part_after_an_informational_answer_is_no_answer(
    end: End, route: str, before: str
) -> None:
    """Guards against an informational head that hides the next one."""
    answers, heads = await _call(
        [_early(end, 0.05, before=INFORMATIONAL[before])], route, UPLOAD
    )
    _assert_sound(route, answers[0], heads)


@pytest.mark.parametrize("before", INFORMATIONAL)
@pytest.mark.parametrize("route", PATHS)
@async_helpers.async_test
async def test_whole_answer_after_an_informational_one_is_served(
    route: str, before: str
) -> None:
    """Guards against a final answer that is lost with an informational one."""

    async def script(
        head: gateway_on_sockets.Head, conn: gateway_on_sockets.Connection
    ) -> None:
        conn.write(INFORMATIONAL[before])
        await gateway_on_sockets.answer_whole(head, conn)

    answers, heads = await _call([script], route, b"body")
    assert answers[0] == (200, gateway_on_sockets.WHOLE, True)
    assert len(heads) == 1


STATUS_LINES: Final = (
    "HTTP/1.1 000 X",
    "HTTP/1.1 099 X",
    "HTTP/1.1 20 X",
    "HTTP/1.1 1000 X",
    "HTTP/1.1 abc X",
    "HTTP/1.1 600 X",
    "HTTP/1.1 999 X",
    "HTTP/1.1 199 X",
    "HTTP/1.1 101 X",
    "HTTP/1.1 2000 X",
    "HTTP/1.1 -200 X",
    "HTTP/1.1 200X X",
    "HTTP/1.1",
    "HTTP/2 200 X",
    "HTTP/0.9 200 X",
)


def _with_status(
    status_line: str, *, keeps: bool, early: bool
) -> gateway_on_sockets.Script:
    async def script(
        head: gateway_on_sockets.Head, conn: gateway_on_sockets.Connection
    ) -> None:
        if not early:
            await conn.read_body(head)
        whole = gateway_on_sockets.WHOLE
        framing = f"Content-Length: {len(whole)}\r\n"
        conn.write(
            gateway_on_sockets.signed_head(
                head, status_line=status_line, framing=framing
            )
            + whole
        )
        if not keeps:
            conn.writer.close()
        elif early:
            await asyncio.sleep(0.2)
            conn.writer.close()

    return script


@pytest.mark.parametrize("status_line", STATUS_LINES)
@pytest.mark.parametrize("route", PATHS)
@pytest.mark.parametrize("keeps", [False, True], ids=["closes", "keeps"])
@pytest.mark.parametrize("early", [False, True], ids=["read", "early"])
@async_helpers.async_test
async def test_answer_without_a_valid_status_is_no_answer(
    early: bool, keeps: bool, route: str, status_line: str
) -> None:
    """Guards against a status that no caller knows.

    The next request gets its own answer, whatever is left on the connection.
    """
    body = UPLOAD if early else b"body"
    answers, heads = await _call(
        [_with_status(status_line, keeps=keeps, early=early)],
        route,
        body,
        b"next",
    )
    _assert_sound(route, answers[0], heads[:-1])
    assert answers[1] == (200, gateway_on_sockets.WHOLE, True)


BEHIND: Final = {
    "none": b"",
    "bytes": b"extra bytes",
    "line": b"\r\n",
    "answer of nobody": b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong",
}


def _then(
    status: str, framing: str, body: bytes, behind: bytes, delay_s: float
) -> gateway_on_sockets.Script:
    """Returns a script that goes on writing after a complete answer."""

    async def script(
        head: gateway_on_sockets.Head, conn: gateway_on_sockets.Connection
    ) -> None:
        await conn.read_body(head)
        answer = gateway_on_sockets.signed_head(
            head, status_line=f"HTTP/1.1 {status}", framing=framing
        )
        if delay_s:
            conn.write(answer + body)
            await conn.writer.drain()
            await asyncio.sleep(delay_s)
            conn.write(behind)
        else:
            conn.write(answer + body + behind)

    return script


_LENGTH: Final = f"Content-Length: {len(gateway_on_sockets.WHOLE)}\r\n"
_CHUNKS: Final = b"%x\r\n%b\r\n0\r\n\r\n" % (
    len(gateway_on_sockets.WHOLE),
    gateway_on_sockets.WHOLE,
)

COMPLETE: Final = {
    "204": ("204 X", "", b""),
    "204 with a length": ("204 X", "Content-Length: 5\r\n", b""),
    "304": ("304 X", "", b""),
    "304 with a length": ("304 X", "Content-Length: 5\r\n", b""),
    "200 with a length": ("200 X", _LENGTH, gateway_on_sockets.WHOLE),
    "200 in chunks": ("200 X", "Transfer-Encoding: chunked\r\n", _CHUNKS),
}


@pytest.mark.parametrize("behind", BEHIND)
@pytest.mark.parametrize("complete", COMPLETE)
@pytest.mark.parametrize("route", PATHS)
@pytest.mark.parametrize("delay_s", [0.0, 0.001, 0.02])
@async_helpers.async_test
async def test_bytes_behind_a_complete_answer_belong_to_nobody(
    delay_s: float, route: str, complete: str, behind: str
) -> None:
    """Guards against leftover bytes that are read as the next answer."""
    status, framing, body = COMPLETE[complete]
    answers, heads = await _call(
        [_then(status, framing, body, BEHIND[behind], delay_s)],
        route,
        b"body",
        b"next",
        b"next",
    )
    first, *others = answers
    code = int(status.split()[0])
    assert (first.status, first.complete) == (code, True)
    assert first.body == (gateway_on_sockets.WHOLE if code == 200 else b"")
    assert others == [(200, gateway_on_sockets.WHOLE, True)] * 2
    if route == "unsafe":
        assert len(heads) == 3


@pytest.mark.parametrize("route", PATHS)
@pytest.mark.parametrize("framing", ["length", "chunked"])
@async_helpers.async_test
async def test_whole_early_answer_is_served(route: str, framing: str) -> None:
    """Guards against a rule that refuses answers which are shown to be whole.

    An upstream may answer before it has read the request, for example with a
    refusal.
    """

    async def script(
        head: gateway_on_sockets.Head, conn: gateway_on_sockets.Connection
    ) -> None:
        if framing == "length":
            conn.write(gateway_on_sockets.signed_head(head, framing=_LENGTH))
            conn.write(gateway_on_sockets.WHOLE)
        else:
            conn.write(
                gateway_on_sockets.signed_head(
                    head, framing="Transfer-Encoding: chunked\r\n"
                )
                + _CHUNKS
            )
        await conn.read_body(head)

    answers, heads = await _call([script], route, UPLOAD)
    assert answers[0] == (200, gateway_on_sockets.WHOLE, True)
    assert len(heads) == 1


@pytest.mark.parametrize("end", ["reset", "fin", "close"])
@pytest.mark.parametrize(
    ("framing", "part"),
    [
        ("nothing", b""),
        ("head", b"HTTP/1.1 200 OK\r\n"),
        (_LENGTH, gateway_on_sockets.PART),
        ("Transfer-Encoding: chunked\r\n", _CHUNKS[:30]),
    ],
    ids=["nothing", "part of a head", "length", "chunks"],
)
@pytest.mark.parametrize("route", PATHS)
@pytest.mark.parametrize("upload", [b"body", UPLOAD], ids=["read", "early"])
@async_helpers.async_test
async def test_failure_on_a_kept_connection_costs_one_request_at_most(
    upload: bytes, route: str, framing: str, part: bytes, end: End
) -> None:
    """Guards against faults that reach the requests before and after.

    libcurl itself repeats a request whose kept connection ends before the first
    byte of the answer.
    """

    async def script(
        head: gateway_on_sockets.Head, conn: gateway_on_sockets.Connection
    ) -> None:
        if upload != UPLOAD:
            await conn.read_body(head)
        if part and framing != "head":
            conn.write(gateway_on_sockets.signed_head(head, framing=framing))
        conn.write(part)
        await conn.writer.drain()
        await asyncio.sleep(0.01)
        if end == "reset":
            conn.reset()
        elif end == "fin":
            await conn.send_fin()
        else:
            conn.writer.close()

    answers, heads = await _call(
        [gateway_on_sockets.answer_whole, script],
        route,
        b"first",
        upload,
        b"next",
    )
    first, second, third = answers
    assert first == third == (200, gateway_on_sockets.WHOLE, True)
    _assert_sound(route, second, heads[1:-1])
