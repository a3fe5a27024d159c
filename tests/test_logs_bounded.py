"""Tests of the background log writer: non-blocking, bounded and complete."""

import io
import json
import logging
import os
import threading
import time
from collections.abc import Iterator

import pytest

from apricottrestle import logs


@pytest.fixture(autouse=True)
def _restore_root_logger() -> Iterator[None]:
    root = logging.getLogger()
    handlers, level = root.handlers[:], root.level
    yield
    root.handlers[:], root.level = handlers, level


def test_lines_arrive_in_order_as_json() -> None:
    """Guards against lines lost or merged at shutdown."""
    stream = io.StringIO()
    with logs.BackgroundLogWriter(stream):
        for number in range(500):
            logs.decision(logging.getLogger("x"), "route", number=number)
    lines = [json.loads(line) for line in stream.getvalue().splitlines()]
    assert [line["decision"]["number"] for line in lines] == list(range(500))
    assert set(lines[0]) == {"time", "level", "name", "message", "decision"}


def test_blocked_output_drops_and_counts_lines() -> None:
    """Guards against a process that blocks because its output isn't read."""
    read_end, write_end = os.pipe()
    stream = os.fdopen(write_end, "w")
    lines: list[dict[str, object]] = []

    def read() -> None:
        with os.fdopen(read_end) as source:
            lines.extend(json.loads(line) for line in source)

    reader = threading.Thread(target=read)
    logger = logging.getLogger("x")
    with logs.BackgroundLogWriter(stream, max_lines=50):
        for number in range(5_000):
            logs.decision(logger, "route", number=number)
        reader.start()
        time.sleep(logs.DROP_REPORT_INTERVAL_S + 0.1)
        logs.decision(logger, "route", number=5_000)
    stream.close()
    reader.join()
    dropped = sum(int(str(line.get("dropped", 0))) for line in lines)
    written = sum(line["message"] == "route" for line in lines)
    assert dropped > 0
    assert written + dropped == 5_001


def test_exit_does_not_wait_for_a_blocked_output() -> None:
    """Guards against a shutdown that blocks on an output that isn't read."""
    read_end, write_end = os.pipe()
    stream = os.fdopen(write_end, "w")
    started = time.monotonic()
    with logs.BackgroundLogWriter(stream, max_lines=50):
        for number in range(5_000):
            logs.decision(logging.getLogger("x"), "route", number=number)
    assert time.monotonic() - started < 5.0
    os.close(read_end)


class _BlockedStream(io.StringIO):
    """An output that takes nothing until it is opened."""

    def __init__(self) -> None:
        super().__init__()
        self.opened = threading.Event()

    def write(self, text: str) -> int:
        self.opened.wait()
        return super().write(text)


@pytest.mark.parametrize("text", ["x" * 15_000, "\xe9" * 15_000])
@pytest.mark.parametrize("max_chars", [50_000, 1_000_000])
def test_queue_is_bounded_by_the_length_of_its_lines(
    text: str, max_chars: int
) -> None:
    """Guards against callers' long ids that fill the memory with log lines."""
    stream = _BlockedStream()
    logger = logging.getLogger("x")
    with logs.BackgroundLogWriter(stream, max_chars=max_chars):
        for number in range(5_000):
            logs.decision(logger, "request refused", id=text, number=number)
        stream.opened.set()
    lines = stream.getvalue().splitlines()
    assert lines
    assert sum(map(len, lines)) <= max_chars


def test_room_of_written_lines_is_used_again() -> None:
    """Guards against a queue that drops lines although they are read."""
    stream = io.StringIO()
    with logs.BackgroundLogWriter(stream, max_chars=2_000):
        for number in range(200):
            logs.decision(logging.getLogger("x"), "route", number=number)
            time.sleep(0.001)
    count = len(stream.getvalue().splitlines())
    assert count > 100, "a queue holds fewer than 20 of these lines"


@pytest.mark.parametrize(
    ("fields", "expected"),
    [
        ({"id": "a" * 400}, {"id": "a" * 400}),
        (
            {"id": "a" * 15_000, "n": 1},
            {"id": "a" * 512 + "... (15000 characters)", "n": 1},
        ),
        (
            {"parts": ["b" * 5_000, "c"]},
            {"parts": ["b" * 512 + "... (5000 characters)", "c"]},
        ),
        (
            {"by_id": {"d": "\xe9" * 5_000}},
            {"by_id": {"d": "\xe9" * 512 + "... (5000 characters)"}},
        ),
        (
            {"engines": [f"engine-{n}" for n in range(1_000)]},
            {"engines": [f"engine-{n}" for n in range(1_000)]},
        ),
    ],
)
def test_long_texts_of_a_line_are_shortened(
    fields: dict[str, object], expected: dict[str, object]
) -> None:
    """Guards against lines whose length callers choose."""
    stream = io.StringIO()
    with logs.BackgroundLogWriter(stream):
        logs.decision(logging.getLogger("x"), "request refused", **fields)
    assert json.loads(stream.getvalue())["decision"] == expected


def test_tracebacks_stay_whole() -> None:
    """Guards against errors that can't be traced because of a long field."""
    stream = io.StringIO()
    with logs.BackgroundLogWriter(stream):
        try:
            raise ValueError("e" * 6_000)
        except ValueError:
            logging.getLogger("x").exception(
                "failed", extra={"value": "v" * 6_000}
            )
    line = json.loads(stream.getvalue())
    assert "e" * 6_000 in line["exc_info"]
    assert line["value"].startswith("v" * 512 + "... ")
