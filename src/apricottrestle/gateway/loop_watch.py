"""Measures for how long the event loop is busy.

While it is, no timer runs: each bound of a shutdown, and each time limit, moves
by the delay. A delay is seen if a check falls into it, so that those which are
longer than CHECK_INTERVAL_S always are.
"""

import logging
from types import TracebackType
from typing import Final, Self

from apricottrestle import logs, metrics
from apricottrestle.gateway import clock

CHECK_INTERVAL_S: Final = 0.25
"""Interval of the checks; the shortest target time to the first event."""

LOGGED_DELAY_S: Final = 0.1
"""Delay from which a line is logged; the time by which a stopping gateway may
be late in each of its steps without exceeding its grace period."""

_LOG: Final = logging.getLogger(__name__)


class LoopWatch:
    """Measures delays of the event loop while its context is open."""

    def __init__(self) -> None:
        """Prepares the checks."""
        self._due_at = 0.0
        self._ticker = clock.Ticker(CHECK_INTERVAL_S, self._check)

    def __enter__(self) -> Self:
        """Schedules the first check."""
        self._due_at = clock.now() + CHECK_INTERVAL_S
        self._ticker.__enter__()
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Ends the checks."""
        self._ticker.__exit__(exc_type, exc, traceback)

    def _check(self) -> None:
        now = clock.now()
        delay_s = max(now - self._due_at, 0.0)
        self._due_at = now + CHECK_INTERVAL_S
        metrics.LOOP_DELAY_SECONDS.observe(delay_s)
        if delay_s >= LOGGED_DELAY_S:
            logs.decision(
                _LOG,
                "event loop delayed",
                delay_s=round(delay_s, 3),
                limit_s=LOGGED_DELAY_S,
            )
