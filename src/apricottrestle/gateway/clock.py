"""The event loop's monotonic clock, periodic calls and lasting tasks.

The gateway never reads the wall clock, which may jump. An event loop with a
virtual clock runs the whole gateway in virtual time.
"""

import asyncio
import logging
from collections.abc import Awaitable, Callable
from types import TracebackType
from typing import Final, Self

TASK_RETRY_S: Final = 0.5
"""Time after which a task that failed unexpectedly starts again."""

LATE_S: Final = 0.05
"""Lateness from which a timer waits for what was not read meanwhile; well above
that of a loop which is merely busy, and below each bound on an answer."""

READING_S: Final = 0.05
"""Time in which a loop that goes on again reads what waits in its sockets; many
iterations of one."""

_LOG: Final = logging.getLogger(__name__)


def now() -> float:
    """Returns the running loop's monotonic time in seconds."""
    return asyncio.get_running_loop().time()


async def keep_running(name: str, run: Callable[[], Awaitable[None]]) -> None:
    """Awaits a function that must not end, and calls it again if it fails.

    Nobody waits for the gateway's lasting tasks, so that one that ended would
    go unnoticed.

    Args:
        name: What the task does, for the log.
        run: Called without arguments.
    """
    while True:
        try:
            await run()
        except Exception:
            _LOG.exception(
                "task failed; starting it again",
                extra={"task": name, "retry_s": TASK_RETRY_S},
            )
        else:
            return
        await asyncio.sleep(TASK_RETRY_S)


class AnswerTimer:
    """Calls a function unless it is cancelled by an answer that came in time.

    After a delay of the event loop the callbacks of timers run before bytes
    that arrived earlier have got to their reader. A timer that is late
    therefore waits once for READING_S more.
    """

    def __init__(self, delay_s: float, function: Callable[[], None]) -> None:
        """Starts the timer.

        Args:
            delay_s: Time until the call in seconds.
            function: Called on the event loop.
        """
        self._function = function
        self._due_at = now() + delay_s
        self._handle = asyncio.get_running_loop().call_later(
            delay_s, self._fire
        )

    def cancel(self) -> None:
        """Prevents the call, if it hasn't begun."""
        self._handle.cancel()

    def _fire(self) -> None:
        if now() > self._due_at + LATE_S:
            self._handle = asyncio.get_running_loop().call_later(
                READING_S, self._function
            )
        else:
            self._function()


class Ticker:
    """Calls a function at intervals while its context is open.

    Unlike tornado's PeriodicCallback it doesn't use the wall clock, which would
    delay the next call if it is set back.
    """

    def __init__(self, interval_s: float, function: Callable[[], None]) -> None:
        """Stores the interval and the function; schedules nothing yet.

        Args:
            interval_s: Time between two calls in seconds.
            function: Called on the event loop. An exception is logged, and the
                calls continue.
        """
        self._interval_s = interval_s
        self._function = function
        self._handle: asyncio.TimerHandle | None = None

    def __enter__(self) -> Self:
        """Schedules the first call."""
        self._schedule()
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Cancels the next call."""
        if self._handle is not None:
            self._handle.cancel()

    def _schedule(self) -> None:
        loop = asyncio.get_running_loop()
        self._handle = loop.call_later(self._interval_s, self._call)

    def _call(self) -> None:
        self._schedule()
        try:
            self._function()
        except Exception:
            _LOG.exception("periodic call failed")
