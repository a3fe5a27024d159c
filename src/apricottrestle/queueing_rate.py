"""The rate at which an engine really gets prefill work done."""

import math
from typing import Final

from apricottrestle import queueing

RATE_WINDOW_S: Final = 20.0
"""Time constant of the observed prefill rate; about one long prefill."""


class ObservedRate:
    """Prefill tokens per second while requests were waiting, decayed."""

    __slots__ = ("_busy_s", "_done", "_left", "_time")

    def __init__(self) -> None:
        """Starts without observations."""
        self._busy_s = 0.0
        self._done = 0.0
        self._left = 0
        self._time: float | None = None

    def observe(
        self, capacity: queueing.Capacity, now: float, *, backlog: bool
    ) -> None:
        """Counts the work done since the last call."""
        if self._time is not None and backlog and now > self._time:
            elapsed = now - self._time
            decay = math.exp(-elapsed / RATE_WINDOW_S)
            done = max(self._left - capacity.prefill_tokens_left, 0)
            self._busy_s = self._busy_s * decay + elapsed
            self._done = self._done * decay + done
        self._time = now
        self._left = capacity.prefill_tokens_left

    def started(self, item: queueing.QueueItem) -> None:
        """Adds work that the engine has just got."""
        self._left += item.prompt_tokens

    def value(self, nominal: float) -> float:
        """Returns the rate, between a tenth of the nominal one and all of it.

        The nominal rate fills up the window while little has been observed.
        """
        missing_s = max(RATE_WINDOW_S - self._busy_s, 0.0)
        done = self._done + nominal * missing_s
        rate = done / max(self._busy_s, RATE_WINDOW_S)
        return min(max(rate, nominal / 10), nominal)
