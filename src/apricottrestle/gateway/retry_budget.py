"""Enforces the fleet's retry budget without coordination between gateways.

Per service and time window, the fleet may retry a share of its requests plus a
fixed slack. Each gateway allows itself that share of its own requests plus an
equal part of the slack, so the sum over all gateways stays within the budget.

Invariant: in each window a gateway grants at most `share` times its own
requests plus `slack / gateways` retries.
"""

import collections
from typing import Final

BUDGET_SAFETY_FACTOR: Final = 0.8
"""Fraction of the retry budget that the gateways use. The rest covers window
boundaries and gateways that start or leave before the others have noticed."""


class RetryBudget:
    """Sliding-window count of the requests and retries of one service."""

    def __init__(self, share: float, window_s: float, slack: float) -> None:
        """Creates an empty window; see GatewaySettings for the arguments."""
        self.configure(share, window_s, slack)
        self._requests: collections.deque[float] = collections.deque()
        self._retries: collections.deque[float] = collections.deque()

    def configure(self, share: float, window_s: float, slack: float) -> None:
        """Changes the budget and keeps the counts."""
        self._share = share
        self._window_s = window_s
        self._slack = slack

    def count_request(self, now: float) -> None:
        """Counts a caller's request."""
        self._requests.append(now)
        self._drop_expired(now)

    def consume_retry(self, gateways: int, now: float) -> bool:
        """Uses one retry; returns False if the budget is exhausted.

        Args:
            gateways: Number of gateways that share the slack.
            now: Monotonic time in seconds.
        """
        if not self.has_retry(gateways, now):
            return False
        self._retries.append(now)
        return True

    def has_retry(self, gateways: int, now: float) -> bool:
        """Returns whether `consume_retry` would succeed."""
        self._drop_expired(now)
        allowed = BUDGET_SAFETY_FACTOR * (
            self._share * len(self._requests) + self._slack / max(gateways, 1)
        )
        return len(self._retries) + 1 <= allowed

    def _drop_expired(self, now: float) -> None:
        for times in (self._requests, self._retries):
            while times and times[0] <= now - self._window_s:
                times.popleft()
