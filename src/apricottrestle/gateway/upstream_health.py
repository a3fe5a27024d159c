"""Failure rate of each upstream, and ejection of upstreams that don't answer.

Only the gateway's own calls are counted, because status checks may report a
failed upstream as healthy and a healthy one as failed. Failures raise the
estimated failure rate, which decays. A call without any answer also ejects the
upstream from routing, for a time that doubles with each such call until one
succeeds. After that time requests are sent to the upstream again.

A sound upstream may be silent for a while, too. Calls that stall eject it for
as long as it has been silent already, and the next sign of life ends that.
"""

import math
from typing import Final

RATE_HALF_LIFE_S: Final = 4.0
"""Half-life of the call and failure counts; the estimate follows the repair of
an upstream within a few half-lives."""

PRIOR_SUCCESSES: Final = 4.0
"""Number of successful calls that is added to each upstream's count, so that a
single failure doesn't give a failure rate of 1."""

EJECTION_MIN_S: Final = 0.5
EJECTION_MAX_S: Final = 4.0
"""Bounds of the ejection time, which doubles with each unanswered call."""


class _CallCounts:
    """Decaying call counts and the ejection state of one upstream."""

    __slots__ = (
        "calls",
        "ejected_until",
        "ejection_s",
        "failures",
        "heard_at",
        "silent_since",
        "updated_at",
    )

    def __init__(self) -> None:
        self.calls = 0.0
        self.failures = 0.0
        self.updated_at = 0.0
        self.ejected_until = 0.0
        self.ejection_s = 0.0
        self.heard_at = -math.inf
        self.silent_since: float | None = None

    def decay(self, now: float) -> None:
        factor = math.pow(
            0.5, max(now - self.updated_at, 0.0) / RATE_HALF_LIFE_S
        )
        self.calls *= factor
        self.failures *= factor
        self.updated_at = now


class UpstreamHealth:
    """Table of the call counts and the ejection state of each upstream."""

    def __init__(self) -> None:
        """Creates an empty table."""
        self._counts: dict[str, _CallCounts] = {}

    def failure_rate(self, upstream_id: str, now: float) -> float:
        """Returns the estimated share of calls that fail, from 0 to 1."""
        counts = self._counts.get(upstream_id)
        if counts is None:
            return 0.0
        counts.decay(now)
        return counts.failures / (counts.calls + PRIOR_SUCCESSES)

    def is_ejected(self, upstream_id: str, now: float) -> bool:
        """Whether the upstream is currently ejected from routing."""
        counts = self._counts.get(upstream_id)
        return counts is not None and now < counts.ejected_until

    def record_success(self, upstream_id: str, now: float) -> None:
        """Records a successful call and ends the ejection."""
        counts = self._counts.setdefault(upstream_id, _CallCounts())
        counts.decay(now)
        counts.calls += 1
        counts.ejection_s = 0.0
        counts.ejected_until = 0.0
        counts.heard_at = now
        counts.silent_since = None

    def record_failure(
        self, upstream_id: str, now: float, *, lost: bool
    ) -> float:
        """Records a failed call.

        Args:
            upstream_id: Id of the upstream.
            now: Monotonic time in seconds.
            lost: Whether the upstream gave no answer at all and may be gone. An
                error answer only raises the failure rate.

        Returns:
            The ejection time in seconds; 0 unless `lost`.
        """
        counts = self._counts.setdefault(upstream_id, _CallCounts())
        counts.decay(now)
        counts.calls += 1
        counts.failures += 1
        if not lost:
            return 0.0
        counts.silent_since = None
        counts.ejection_s = min(
            max(2 * counts.ejection_s, EJECTION_MIN_S), EJECTION_MAX_S
        )
        counts.ejected_until = now + counts.ejection_s
        return counts.ejection_s

    def record_heard(self, upstream_id: str, now: float) -> None:
        """Records a sign of life; ends the ejection of a silent upstream."""
        counts = self._counts.setdefault(upstream_id, _CallCounts())
        counts.heard_at = now
        if counts.silent_since is not None:
            counts.silent_since = None
            counts.ejection_s = 0.0
            counts.ejected_until = 0.0

    def record_stall(
        self, upstream_id: str, started_at: float, now: float
    ) -> float:
        """Records that the upstream is silent during a call.

        Args:
            upstream_id: Id of the upstream.
            started_at: Monotonic time at which the call was sent.
            now: Monotonic time in seconds.

        Returns:
            The ejection time in seconds.
        """
        counts = self._counts.setdefault(upstream_id, _CallCounts())
        if counts.silent_since is None:
            counts.silent_since = max(started_at, counts.heard_at)
        counts.ejection_s = max(
            min(max(now - counts.silent_since, EJECTION_MIN_S), EJECTION_MAX_S),
            counts.ejected_until - now,
        )
        counts.ejected_until = now + counts.ejection_s
        return counts.ejection_s

    def forget(self, upstream_id: str) -> None:
        """Drops the counts of an upstream that is gone or has restarted."""
        self._counts.pop(upstream_id, None)
