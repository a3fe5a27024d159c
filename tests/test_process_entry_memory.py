"""Tests that one entry process stays within its memory and descriptors.

As test_process_memory.py, for the project's own caller API.
"""

import asyncio
import contextlib
import urllib.parse
from collections.abc import Callable, Iterator
from typing import Final

import pytest

from apricottrestle_standins import fleet, notes
from tests import async_helpers, crowds
from tests import process_harness as harness

pytestmark = [pytest.mark.process, pytest.mark.alone]

MEMORY_MB: Final = 128
MAX_FDS: Final = 2_000
"""Limits in the settings of the entry."""

MAX_RESIDENT_KB: Final = MEMORY_MB * 1000 * 9 // 10
"""Resident memory, in kB, that the process must not reach: a tenth is left."""

ANSWER_TIMEOUT_S: Final = 60.0
SETTLE_S: Final = 1.0
MIB: Final = 1024 * 1024
LARGEST: Final = 16 * MIB
KEY_LINE: Final = f"Authorization: Bearer {notes.KEYS['harvest']}\r\n".encode()


def _short(
    body_bytes: int, *, chunked: bool = False, extra: bytes = b""
) -> Callable[[bool], bytes]:
    """Returns the maker of a request that lacks the last byte of its body."""
    return lambda has_key: crowds.make_request(
        "/v1/completions",
        body_bytes,
        has_key=has_key,
        chunked=chunked,
        missing=1,
        extra=extra,
        key_line=KEY_LINE,
    )


CROWDS: Final = {
    "bodies-65000-length": crowds.Crowd(1_500, _short(65_000)),
    "bodies-65000-chunked": crowds.Crowd(1_500, _short(65_000, chunked=True)),
    "bodies-largest-length": crowds.Crowd(20, _short(LARGEST)),
    "bodies-largest-chunked": crowds.Crowd(20, _short(LARGEST, chunked=True)),
    "bodies-3000-pieces-of-1": crowds.Crowd(
        1_000, _short(3_000), in_pieces=True, piece_bytes=1
    ),
    "heads-15k": crowds.Crowd(1_500, crowds.make_head(15_000)),
    "headers-16k": crowds.Crowd(
        400, _short(10, extra=crowds.many_headers(16_000))
    ),
    "no-bytes": crowds.Crowd(2_500, lambda _has_key: b""),
}


@pytest.fixture(name="deployment")
def _deployment() -> Iterator[fleet.Fleet]:
    with harness.running_fleet(
        harness.FleetSize(engines=1, entries=0)
    ) as started:
        started.start_entry(
            "entry-0",
            harness.DATA_CENTRE,
            {"memory_mb": MEMORY_MB, "max_fds": MAX_FDS},
        )
        started.wait_ready()
        harness.wait_until_serving(started)
        yield started


@pytest.mark.parametrize("name", list(CROWDS))
@async_helpers.async_test
async def test_entry_stays_within_its_limits(
    name: str, deployment: fleet.Fleet
) -> None:
    """Guards against an entry that callers make too large."""
    node = deployment.nodes["entry-0"]
    url = urllib.parse.urlsplit(node.url)
    assert url.hostname is not None
    assert url.port is not None
    host, port = url.hostname, url.port
    pid = node.process.pid
    writers: list[asyncio.StreamWriter] = []
    most_fds = 0

    def note_fds() -> None:
        nonlocal most_fds
        with contextlib.suppress(OSError):
            most_fds = max(most_fds, crowds.open_fds(pid))

    idle_kb = crowds.peak_kb(pid)
    try:
        await crowds.run(
            lambda: crowds.connect(host, port),
            CROWDS[name],
            has_key=True,
            writers=writers,
            on_progress=note_fds,
        )
        await asyncio.sleep(SETTLE_S)
        note_fds()
        assert node.process.running()
        answer = await asyncio.wait_for(
            asyncio.to_thread(
                harness.send_prompt,
                [node.url],
                harness.make_prompt(20, 2),
                retries=20,
            ),
            ANSWER_TIMEOUT_S,
        )
        peak_kb = crowds.peak_kb(pid)
        print(
            f"MEASURED {name} idle {idle_kb} peak {peak_kb} of"
            f" {MAX_RESIDENT_KB} kB, fds {most_fds} of {MAX_FDS},"
            f" ordinary {answer.outcome}"
        )
    finally:
        for writer in writers:
            writer.transport.abort()
    assert answer.outcome == "ok"
    assert peak_kb < MAX_RESIDENT_KB
    assert most_fds < MAX_FDS
    assert node.process.running()
