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
"""Lines queued for a slow reader of the output: some seconds of a busy
process."""

MAX_QUEUED_CHARS: Final = 4_000_000
"""Total length of these lines: 10,000 of 400 characters, more than a usual line
has. Callers choose the length of some fields."""

MAX_BATCH_CHARS: Final = 64 * 1024
"""Length from which lines are written together. The writer copies a batch
twice."""

MAX_LINE_CHARS: Final = 4_096
"""Length from which long texts in a line are shortened."""

MAX_TEXT_CHARS: Final = 512
"""Length that such a text keeps; longer than any id of a sound caller."""

DROP_REPORT_INTERVAL_S: Final = 1.0
"""Minimum interval between two reports of dropped lines."""

FLUSH_TIMEOUT_S: Final = 0.3
"""Time limit for writing the queued lines at shutdown."""


def _shorten(value: Any) -> Any:
    """Returns a field's value with its long texts cut off."""
    if isinstance(value, str) and len(value) > MAX_TEXT_CHARS:
        return f"{value[:MAX_TEXT_CHARS]}... ({len(value)} characters)"
    if isinstance(value, dict):
        return {name: _shorten(item) for name, item in value.items()}
    if isinstance(value, (list, tuple)):
        return [_shorten(item) for item in value]
    return value


class _LineFormatter(json_logger.JsonFormatter):
    """Formats a record as one line of JSON, of which it shortens long texts.

    Tracebacks stay whole: they are the product's own.
    """

    def jsonify_log_record(self, log_data: dict[str, Any]) -> str:
        """Returns the line."""
        line = super().jsonify_log_record(log_data)
        if len(line) <= MAX_LINE_CHARS:
            return line
        return super().jsonify_log_record(
            {
                name: value
                if name in ("exc_info", "stack_info")
                else _shorten(value)
                for name, value in log_data.items()
            }
        )


def _make_formatter() -> logging.Formatter:
    return _LineFormatter(
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


class _LineQueue:
    """Lines that wait for the writer, bounded by number and total length.

    The lines that are being written count until they have been.
    """

    def __init__(self, max_lines: int, max_chars: int) -> None:
        self._lines: queue.Queue[str | None] = queue.Queue(max_lines)
        self._max_chars = max_chars
        self._chars = 0
        self._lock = threading.Lock()

    def put(self, line: str) -> None:
        """Queues a line without blocking.

        Raises:
            queue.Full: There is no room for it.
        """
        with self._lock:
            if self._chars + len(line) > self._max_chars:
                raise queue.Full
            self._lines.put_nowait(line)
            self._chars += len(line)

    def end(self) -> None:
        """Queues the end, without blocking.

        Raises:
            queue.Full: There is no room for it.
        """
        self._lines.put_nowait(None)

    def take(self) -> tuple[list[str], bool]:
        """Waits for lines; returns a batch, and whether it is the last."""
        batch: list[str] = []
        chars = 0
        while True:
            line = self._lines.get()
            if line is None:
                return batch, True
            batch.append(line)
            chars += len(line)
            if chars >= MAX_BATCH_CHARS or self._lines.empty():
                return batch, False

    def release(self, batch: list[str]) -> None:
        """Frees the room of lines that have been written."""
        with self._lock:
            self._chars -= sum(len(line) for line in batch)


class _QueueHandler(logging.Handler):
    """Formats and queues lines; drops and counts those that don't fit."""

    def __init__(self, line_queue: _LineQueue) -> None:
        super().__init__()
        self._queue = line_queue
        self._dropped = 0
        self._reported_at = 0.0

    def emit(self, record: logging.LogRecord) -> None:
        """Formats and queues a record without blocking."""
        try:
            if self._dropped:
                self._report_dropped()
            self._queue.put(self.format(record))
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
        self._queue.put(self.format(line))
        self._dropped = 0
        self._reported_at = now


class BackgroundLogWriter:
    """Context manager whose thread writes the log lines."""

    def __init__(
        self,
        stream: TextIO,
        level: int = logging.INFO,
        max_lines: int = MAX_QUEUED_LINES,
        max_chars: int = MAX_QUEUED_CHARS,
    ) -> None:
        """Creates the writer without starting it.

        Args:
            stream: Output stream.
            level: Minimum level of the records that are written.
            max_lines: Maximum number of queued lines.
            max_chars: Maximum total length of queued lines.
        """
        self._stream = stream
        self._level = level
        self._queue = _LineQueue(max_lines, max_chars)
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
            self._queue.end()
            self._thread.join(FLUSH_TIMEOUT_S)

    def _write_lines(self) -> None:
        """Writes queued lines in batches until the end."""
        while True:
            batch, is_last = self._queue.take()
            text = "".join(f"{line}\n" for line in batch)
            try:
                self._stream.write(text)
                self._stream.flush()
            except (OSError, ValueError):
                # The output is closed, so the error can't be logged.
                return
            self._queue.release(batch)
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
