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
