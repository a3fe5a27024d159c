"""Structured logs: one JSON object per line, on one stream.

Invariants: neither prompt texts nor keys are logged; callers of `decision` pass
only ids and counts. `BackgroundLogWriter` never blocks the code that logs: a
thread writes the lines, and those that don't fit its queue are dropped and
counted.
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
"""Lines queued for a slow reader of the output: a few megabytes, or some
seconds of a busy process."""

DROP_REPORT_INTERVAL_S: Final = 1.0
"""Minimum interval between two reports of dropped lines."""

FLUSH_TIMEOUT_S: Final = 0.3
"""Time limit for writing the queued lines at shutdown."""


def _make_formatter() -> logging.Formatter:
    return json_logger.JsonFormatter(
        ["asctime", "levelname", "name", "message"],
        rename_fields={"asctime": "time", "levelname": "level"},
    )


def _set_root_handler(handler: logging.Handler, level: int) -> None:
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)


def configure(stream: TextIO, level: int = logging.INFO) -> None:
    """Sends all log records to a stream, as JSON, one line each.

    Args:
        stream: Output stream.
        level: Minimum level of the records that are written.
    """
    handler = logging.StreamHandler(stream)
    handler.setFormatter(_make_formatter())
    _set_root_handler(handler, level)


class _QueueHandler(logging.Handler):
    """Formats and queues lines; drops and counts those that don't fit."""

    def __init__(self, line_queue: "queue.Queue[str | None]") -> None:
        super().__init__()
        self._queue = line_queue
        self._dropped = 0
        self._reported_at = 0.0

    def emit(self, record: logging.LogRecord) -> None:
        """Formats and queues a record without blocking."""
        try:
            if self._dropped:
                self._report_dropped()
            self._queue.put_nowait(self.format(record))
        except queue.Full:
            self._dropped += 1
            metrics.LOG_LINES_DROPPED.inc()

    def _report_dropped(self) -> None:
        """Queues the number of dropped lines, if the interval has passed."""
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
        self._queue.put_nowait(self.format(line))
        self._dropped = 0
        self._reported_at = now


class BackgroundLogWriter:
    """Context manager whose thread writes the log lines."""

    def __init__(
        self,
        stream: TextIO,
        level: int = logging.INFO,
        max_lines: int = MAX_QUEUED_LINES,
    ) -> None:
        """Creates the writer without starting it.

        Args:
            stream: Output stream.
            level: Minimum level of the records that are written.
            max_lines: Maximum number of queued lines.
        """
        self._stream = stream
        self._level = level
        self._queue: queue.Queue[str | None] = queue.Queue(max_lines)
        self._thread = threading.Thread(target=self._write_lines, daemon=True)

    def __enter__(self) -> Self:
        """Replaces the root logger's handlers and starts the thread."""
        handler = _QueueHandler(self._queue)
        handler.setFormatter(_make_formatter())
        _set_root_handler(handler, self._level)
        self._thread.start()
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Writes the queued lines, for at most FLUSH_TIMEOUT_S."""
        with contextlib.suppress(queue.Full):
            # If the queue is full, the output is blocked and the thread can't
            # finish.
            self._queue.put_nowait(None)
            self._thread.join(FLUSH_TIMEOUT_S)

    def _write_lines(self) -> None:
        """Writes queued lines in batches until the stop marker None."""
        while True:
            batch = [self._queue.get()]
            while not self._queue.empty():
                batch.append(self._queue.get())
            is_last = None in batch
            text = "".join(f"{line}\n" for line in batch if line is not None)
            try:
                self._stream.write(text)
                self._stream.flush()
            except (OSError, ValueError):
                # The output is closed, so the error can't be logged.
                return
            if is_last:
                return


def decision(logger: logging.Logger, kind: str, **fields: Any) -> None:
    """Logs a routing, placement or configuration decision.

    Args:
        logger: Logger of the deciding module.
        kind: Kind of decision, e.g. "route"; the message of the line.
        **fields: Inputs and result of the decision; nested under "decision",
            so that a field may have any name.
    """
    logger.info(kind, extra={"decision": fields})
