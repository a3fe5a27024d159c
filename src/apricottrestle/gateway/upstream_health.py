"""What the gateway has seen of each upstream: failures, and when to try again.

Evidence comes from the gateway's own calls only; status checks can be wrong
either way. Failures raise the estimated failure rate, which decays, and a
series of failures sets the upstream aside for a growing time, after which
single requests try it again.
"""

import math
from typing import Final

RATE_HALF_LIFE_S: Final = 4.0
"""Half-life of evidence about failures; a repair is noticed within some."""

PRIOR_SUCCESSES: Final = 4.0
"""Calls without failure that an upstream is assumed to have answered, so that
one failure doesn't weigh like a total failure."""

EJECTION_MIN_S: Final = 0.5
EJECTION_MAX_S: Final = 4.0
"""Times for which an upstream is set aside: doubled from the first to the
longest with each failed trial."""


class _Row:
    __slots__ = ("calls", "ejected_until", "ejection_s", "failures", "time")

    def __init__(self) -> None:
        self.calls = 0.0
        self.failures = 0.0
        self.time = 0.0
        self.ejected_until = 0.0
        self.ejection_s = 0.0

    def decay(self, now: float) -> None:
        factor = math.pow(0.5, max(now - self.time, 0.0) / RATE_HALF_LIFE_S)
        self.calls *= factor
        self.failures *= factor
        self.time = now


class UpstreamHealth:
    """Table of the evidence about each upstream."""

    def __init__(self) -> None:
        """Starts without evidence."""
        self._rows: dict[str, _Row] = {}

    def failure_rate(self, upstream_id: str, now: float) -> float:
        """Returns the estimated share of calls that fail, 0 to 1."""
        row = self._rows.get(upstream_id)
        if row is None:
            return 0.0
        row.decay(now)
        return row.failures / (row.calls + PRIOR_SUCCESSES)

    def is_ejected(self, upstream_id: str, now: float) -> bool:
        """Whether the upstream should get no work for now."""
        row = self._rows.get(upstream_id)
        return row is not None and now < row.ejected_until

    def record_success(self, upstream_id: str, now: float) -> None:
        """Notes a call that went well."""
        row = self._rows.setdefault(upstream_id, _Row())
        row.decay(now)
        row.calls += 1
        row.ejection_s = 0.0
        row.ejected_until = 0.0

    def record_failure(
        self, upstream_id: str, now: float, *, lost: bool
    ) -> float:
        """Notes a failure and returns the time set aside, in seconds.

        Args:
            upstream_id: The upstream.
            now: Monotonic time in seconds.
            lost: The upstream gave no answer at all, so that it may be gone;
                an error answer only raises the failure rate.
        """
        row = self._rows.setdefault(upstream_id, _Row())
        row.decay(now)
        row.calls += 1
        row.failures += 1
        if not lost:
            return 0.0
        row.ejection_s = min(
            max(2 * row.ejection_s, EJECTION_MIN_S), EJECTION_MAX_S
        )
        row.ejected_until = now + row.ejection_s
        return row.ejection_s

    def forget(self, upstream_id: str) -> None:
        """Drops the evidence: the upstream is gone or has restarted."""
        self._rows.pop(upstream_id, None)
