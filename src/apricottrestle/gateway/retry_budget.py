"""The fleet's retry budget, kept without agreement between gateways.

The fleet may send, per service and window, a share of its requests plus a fixed
slack again. Each gateway uses its own requests' share and an even part of the
slack, so the sum over all gateways stays within the budget.

Invariant: in each window a gateway grants at most `share` times its own
requests plus `slack / gateways` retries.
"""

import collections
from typing import Final

SAFETY: Final = 0.8
"""Part of the budget that is used; the rest covers gateways that start or
leave while the others still count them, and the edges of windows."""


class RetryBudget:
    """Sliding window of requests and retries of one service."""

    def __init__(self, share: float, window_s: float, slack: float) -> None:
        """Starts empty; see GatewaySettings for the arguments."""
        self.configure(share, window_s, slack)
        self._requests: collections.deque[float] = collections.deque()
        self._retries: collections.deque[float] = collections.deque()

    def configure(self, share: float, window_s: float, slack: float) -> None:
        """Changes the budget; what was counted stays."""
        self._share = share
        self._window_s = window_s
        self._slack = slack

    def count_request(self, now: float) -> None:
        """Counts a request of a caller."""
        self._requests.append(now)
        self._trim(now)

    def consume_retry(self, gateways: int, now: float) -> bool:
        """Uses one retry; False when the budget is used up.

        Args:
            gateways: Gateways that share the slack, at least 1.
            now: Monotonic time in seconds.
        """
        self._trim(now)
        allowed = SAFETY * (
            self._share * len(self._requests) + self._slack / max(gateways, 1)
        )
        if len(self._retries) + 1 > allowed:
            return False
        self._retries.append(now)
        return True

    def _trim(self, now: float) -> None:
        for times in (self._requests, self._retries):
            while times and times[0] <= now - self._window_s:
                times.popleft()
