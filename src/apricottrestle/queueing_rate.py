"""Measurement of the prefill rate that an engine achieves under backlog."""

import math
from typing import Final

from apricottrestle import queueing

RATE_TIME_CONSTANT_S: Final = 20.0
"""Time constant of the decaying average, about the time of one long prefill."""


class ObservedRate:
    """Decaying average of the prefill rate while requests are queued."""

    __slots__ = ("_done_tokens", "_last_time", "_left_tokens", "_observed_s")

    def __init__(self) -> None:
        """Creates an average without observations."""
        self._observed_s = 0.0
        self._done_tokens = 0.0
        self._left_tokens = 0
        self._last_time: float | None = None

    def observe(
        self, capacity: queueing.Capacity, now: float, *, backlog: bool
    ) -> None:
        """Adds the prefill work done since the last call.

        Args:
            capacity: Current load of the engine.
            now: Monotonic time in seconds.
            backlog: Whether requests were queued since the last call; if not,
                the interval isn't counted.
        """
        if self._last_time is not None and backlog and now > self._last_time:
            elapsed = now - self._last_time
            decay = math.exp(-elapsed / RATE_TIME_CONSTANT_S)
            computed_tokens = max(
                self._left_tokens - capacity.prefill_tokens_left, 0
            )
            self._observed_s = self._observed_s * decay + elapsed
            self._done_tokens = self._done_tokens * decay + computed_tokens
        self._last_time = now
        self._left_tokens = capacity.prefill_tokens_left

    def add_started(self, item: queueing.QueueItem) -> None:
        """Adds the prompt tokens of an item that the engine starts."""
        self._left_tokens += item.prompt_tokens

    def tokens_per_s(self, nominal: float) -> float:
        """Returns the rate, limited to between a tenth and all of `nominal`.

        While less than RATE_TIME_CONSTANT_S has been observed, the nominal
        rate counts for the rest of that time.
        """
        missing_s = max(RATE_TIME_CONSTANT_S - self._observed_s, 0.0)
        computed_tokens = self._done_tokens + nominal * missing_s
        rate = computed_tokens / max(self._observed_s, RATE_TIME_CONSTANT_S)
        return min(max(rate, nominal / 10), nominal)
