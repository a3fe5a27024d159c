"""Crowds of misbehaving callers, for tests of a process's memory."""

import asyncio
import contextlib
import os
import pathlib
import re
import socket
from collections.abc import Awaitable, Callable
from typing import Final, NamedTuple

SEND_S: Final = 4.0
"""Time after which a caller whose bytes aren't read stops sending."""

CONCURRENT: Final = 100
"""Callers that connect at the same time, less than the listener's queue."""

PIECE_BYTES: Final = 1_400
CHUNK_BYTES: Final = 8_000
KEY_LINE: Final = b"Authorization: Bearer key-1\r\n"


class Crowd(NamedTuple):
    """What the callers of a row send.

    Attributes:
        callers: Their number.
        make: Returns what one of them sends, given whether it has a key.
        in_pieces: Whether it is sent in small pieces.
        piece_bytes: Their length.
        reads_log: Whether anyone reads the log of the process.
    """

    callers: int
    make: Callable[[bool], bytes]
    in_pieces: bool = False
    reads_log: bool = True
    piece_bytes: int = PIECE_BYTES


def make_request(
    path: str,
    body_bytes: int,
    *,
    has_key: bool,
    chunked: bool = False,
    missing: int = 0,
    extra: bytes = b"",
    key_line: bytes = KEY_LINE,
) -> bytes:
    """Returns a request.

    Args:
        path: Its path.
        body_bytes: Length of its body.
        has_key: Whether it has an API key.
        chunked: Whether the body has chunks in place of a length.
        missing: Bytes of the body that are left out at the end.
        extra: Further header lines.
        key_line: The header line of its API key.
    """
    head = (
        f"POST {path} HTTP/1.1\r\nHost: fleet.example\r\n"
        f"Apricottrestle-Attempt-Id: crowd-{next(_numbers)}\r\n"
    ).encode()
    head += extra
    if has_key:
        head += key_line
    body = b"x" * (body_bytes - missing)
    if not chunked:
        return head + b"Content-Length: %d\r\n\r\n" % body_bytes + body
    chunks = b"".join(
        b"%x\r\n%s\r\n"
        % (len(body[start : start + CHUNK_BYTES]), body[start:][:CHUNK_BYTES])
        for start in range(0, len(body), CHUNK_BYTES)
    )
    end = b"" if missing else b"0\r\n\r\n"
    return head + b"Transfer-Encoding: chunked\r\n\r\n" + chunks + end


_numbers = iter(range(10**9))


def many_headers(size: int) -> bytes:
    """Returns header lines that are as short as they can be."""
    return b"".join(b"%x:\r\n" % (0x100 + n % 0xF00) for n in range(size // 6))


def make_head(size: int) -> Callable[[bool], bytes]:
    """Returns the maker of a head that lacks its end."""

    def make(has_key: bool) -> bytes:
        start = b"GET /order/1 HTTP/1.1\r\nHost: fleet.example\r\n"
        if has_key:
            start += KEY_LINE
        return start + b"X-Fill: " + b"x" * (size - len(start) - 8)

    return make


def peak_kb(pid: int) -> int:
    """Returns the peak of a process's resident memory."""
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    match = re.search(r"VmHWM:\s+(\d+) kB", status)
    assert match is not None
    return int(match[1])


def open_fds(pid: int) -> int:
    """Returns the number of a process's open descriptors."""
    return len(os.listdir(f"/proc/{pid}/fd"))


Connection = tuple[asyncio.StreamReader, asyncio.StreamWriter]


async def connect(ip: str, port: int) -> Connection:
    """Opens a connection whose caller holds little of what it gets."""
    sock = socket.socket()
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        sock.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(sock, (ip, port))
    except BaseException:
        sock.close()
        raise
    return await asyncio.open_connection(sock=sock, limit=1024)


async def _send(writer: asyncio.StreamWriter, data: bytes, step: int) -> None:
    """Sends until all is sent, refused, or not read for a time."""
    with contextlib.suppress(ConnectionError, TimeoutError):
        async with asyncio.timeout(SEND_S):
            for start in range(0, len(data), step):
                writer.write(data[start : start + step])
                await writer.drain()


async def run(
    connect: Callable[[], Awaitable[Connection]],
    crowd: Crowd,
    *,
    has_key: bool,
    writers: list[asyncio.StreamWriter],
    on_progress: Callable[[], None],
) -> None:
    """Lets all callers connect and send; their connections stay open."""
    connecting = asyncio.Semaphore(CONCURRENT)

    async def call() -> None:
        async with connecting:
            try:
                async with asyncio.timeout(SEND_S):
                    _, writer = await connect()
            except (OSError, TimeoutError):
                return
            writers.append(writer)
            writer.transport.set_write_buffer_limits(0)
            step = crowd.piece_bytes if crowd.in_pieces else 64 * 1024
            await _send(writer, crowd.make(has_key), step)
            on_progress()

    await asyncio.gather(*(call() for _ in range(crowd.callers)))
