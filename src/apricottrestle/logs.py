"""JSON log lines, one a line, on one stream.

Invariants: neither prompt text nor a key is logged; callers of `decision` pass
ids and counts only. `BackgroundLogWriter` never blocks its caller: a thread
writes, and lines beyond its queue are dropped and counted.
"""

import contextlib
import logging
import queue
import threading
import time
from types import TracebackType
from typing import Any, Final, Self, TextIO

from pythonjsonlogger import json as json_logger

from apricottrestle import metrics

MAX_QUEUED_LINES: Final = 10_000
"""Lines that wait for a slow reader of the output: a few megabytes, and some
seconds of a busy process."""

DROP_REPORT_INTERVAL_S: Final = 1.0
"""Least time between two lines that report dropped ones."""

FLUSH_TIMEOUT_S: Final = 0.3
"""Time at the end for the lines that are queued."""


def _formatter() -> logging.Formatter:
    return json_logger.JsonFormatter(
        ["asctime", "levelname", "name", "message"],
        rename_fields={"asctime": "time", "levelname": "level"},
    )


def _install(handler: logging.Handler, level: int) -> None:
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)


def configure(stream: TextIO, level: int = logging.INFO) -> None:
    """Sends all log records to a stream, as JSON, one line each.

    Args:
        stream: Where the lines go.
        level: Least level that is written.
    """
    handler = logging.StreamHandler(stream)
    handler.setFormatter(_formatter())
    _install(handler, level)


class _QueueingHandler(logging.Handler):
    """Formats and queues lines; drops and counts what the queue can't take."""

    def __init__(self, lines: "queue.Queue[str | None]") -> None:
        super().__init__()
        self._lines = lines
        self._dropped = 0
        self._reported_at = 0.0

    def emit(self, record: logging.LogRecord) -> None:
        """Queues a record's line without waiting."""
        try:
            if self._dropped:
                self._report_dropped()
            self._lines.put_nowait(self.format(record))
        except queue.Full:
            self._dropped += 1
            metrics.LOG_LINES_DROPPED.inc()

    def _report_dropped(self) -> None:
        """Says how many lines are missing, once there is room again."""
        now = time.monotonic()
        if now < self._reported_at + DROP_REPORT_INTERVAL_S:
            return
        line = logging.makeLogRecord(
            {
                "name": __name__,
                "levelname": "WARNING",
                "msg": "log lines dropped",
                "dropped": self._dropped,
            }
        )
        self._lines.put_nowait(self.format(line))
        self._dropped = 0
        self._reported_at = now


class BackgroundLogWriter:
    """Writes log lines from a thread while its context is open."""

    def __init__(
        self,
        stream: TextIO,
        level: int = logging.INFO,
        max_lines: int = MAX_QUEUED_LINES,
    ) -> None:
        """Prepares the output.

        Args:
            stream: Where the lines go.
            level: Least level that is written.
            max_lines: Lines that may wait for the stream.
        """
        self._stream = stream
        self._level = level
        self._lines: queue.Queue[str | None] = queue.Queue(max_lines)
        self._thread = threading.Thread(target=self._write, daemon=True)

    def __enter__(self) -> Self:
        """Takes over the root logger and starts the thread."""
        handler = _QueueingHandler(self._lines)
        handler.setFormatter(_formatter())
        _install(handler, self._level)
        self._thread.start()
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Writes what is queued, for a bounded time."""
        with contextlib.suppress(queue.Full):
            # Without room the reader has stopped: there is nothing to wait for.
            self._lines.put_nowait(None)
            self._thread.join(FLUSH_TIMEOUT_S)

    def _write(self) -> None:
        """Writes lines as they come, all that wait in one call."""
        while True:
            waiting = [self._lines.get()]
            while not self._lines.empty():
                waiting.append(self._lines.get())
            ends = None in waiting
            text = "".join(f"{line}\n" for line in waiting if line is not None)
            try:
                self._stream.write(text)
                self._stream.flush()
            except (OSError, ValueError):
                # Nobody reads the output any more; there is no place to say so.
                return
            if ends:
                return


def decision(logger: logging.Logger, kind: str, **fields: Any) -> None:
    """Logs a routing, placement or configuration decision.

    Args:
        logger: Logger of the deciding module.
        kind: Kind of decision, e.g. "route".
        **fields: What the decision rests on; nested under "decision", so that
            a field may have any name.
    """
    logger.info(kind, extra={"decision": fields})
