"""Slowdown of each engine against its published cost model.

The gap between two events of a stream is at least one scheduling pass of the
engine, so the shortest of a few gaps shows the engine's speed independently of
the prefills done in between. A first event that is overdue shows a slowdown
earlier.

Invariant: a slowdown is at least 1 and decays, so that an engine that gets no
requests because it was slow is tried again.
"""

import collections
import math
from typing import Final

GAP_SAMPLES: Final = 3
"""Number of gaps of which the shortest is used; one or two of them may include
a long prefill."""

SLOWDOWN_HALF_LIFE_S: Final = 2.5
"""Half-life of a slowdown's excess over 1; an engine's slow periods last for
several seconds."""

NOISE_FACTOR: Final = 1.6
"""Factor up to which an engine counts as nominal: the estimated duration of a
pass doesn't include requests that started or ended in the meantime."""

OVERDUE_MIN_S: Final = 0.1
OVERDUE_MIN_FACTOR: Final = 2.5
"""An overdue first event counts as a slowdown if its delay exceeds the estimate
by more than OVERDUE_MIN_S, two scheduling passes, and more than
OVERDUE_MIN_FACTOR times."""

MAX_SLOWDOWN: Final = 10.0
"""Upper bound of a slowdown; bounds the time for which an engine that is no
longer slow still counts as slow."""

OWN_EVIDENCE_MAX_AGE_S: Final = 0.5
"""Maximum age at which a slowdown observed by this gateway is sent to peers.
Without a limit, gateways would keep each other's old observations alive."""


class _Observations:
    """Observations of one engine.

    Attributes:
        slowdown: Slowdown at `recorded_at`; decays from then on.
        is_own: Whether this gateway observed the slowdown; else a peer did.
        recorded_at: Monotonic time at which the slowdown was recorded.
        gap_ratios: Latest gaps between events, as multiples of a pass.
        expected: Start and expected time to the first event of each run whose
            first event is outstanding.
    """

    __slots__ = (
        "expected",
        "gap_ratios",
        "is_own",
        "recorded_at",
        "slowdown",
    )

    def __init__(self) -> None:
        self.slowdown = 1.0
        self.is_own = False
        self.recorded_at = 0.0
        self.gap_ratios: collections.deque[float] = collections.deque(
            maxlen=GAP_SAMPLES
        )
        self.expected: dict[str, tuple[float, float]] = {}


class EngineSlowdowns:
    """Table of the slowdown of each engine."""

    def __init__(self) -> None:
        """Creates a table in which all engines are nominal."""
        self._by_engine: dict[str, _Observations] = {}

    def expect_first_event(
        self, engine: str, run_id: str, expected_s: float, now: float
    ) -> None:
        """Records a run whose first event is expected after `expected_s`."""
        observations = self._by_engine.setdefault(engine, _Observations())
        observations.expected[run_id] = (now, expected_s)

    def clear_expected(self, engine: str, run_id: str) -> None:
        """Records that a first event has arrived or is no longer expected."""
        observations = self._by_engine.get(engine)
        if observations is not None:
            observations.expected.pop(run_id, None)

    def record_gap(
        self, engine: str, gap_s: float, pass_s: float, now: float
    ) -> None:
        """Records a gap between two events of a stream.

        Args:
            engine: Upstream id of the engine.
            gap_s: Measured gap.
            pass_s: Estimated duration of a scheduling pass.
            now: Monotonic time in seconds.
        """
        observations = self._by_engine.setdefault(engine, _Observations())
        observations.gap_ratios.append(gap_s / pass_s)
        if len(observations.gap_ratios) < GAP_SAMPLES:
            return
        shortest = min(observations.gap_ratios)
        if shortest > NOISE_FACTOR:
            observations.slowdown = min(shortest, MAX_SLOWDOWN)
            observations.recorded_at = now
            observations.is_own = True
        elif shortest < self._decayed(observations, now):
            observations.slowdown = 1.0

    def merge_peer(self, engine: str, slowdown: float, now: float) -> None:
        """Applies a slowdown observed by a peer if it exceeds the known one."""
        observations = self._by_engine.setdefault(engine, _Observations())
        if slowdown > self._decayed(observations, now):
            observations.slowdown = min(slowdown, MAX_SLOWDOWN)
            observations.recorded_at = now
            observations.is_own = False

    def slowdown(self, engine: str, now: float) -> float:
        """Returns the slowdown of an engine, from 1 to MAX_SLOWDOWN."""
        observations = self._by_engine.get(engine)
        if observations is None:
            return 1.0
        slowdown = self._decayed(observations, now)
        for started_at, expected_s in observations.expected.values():
            waited_s = now - started_at
            factor = waited_s / max(expected_s, 0.02)
            if (
                waited_s > expected_s + OVERDUE_MIN_S
                and factor > OVERDUE_MIN_FACTOR
            ):
                slowdown = max(slowdown, factor)
        return min(slowdown, MAX_SLOWDOWN)

    def own_slowdowns(self, now: float) -> dict[str, float]:
        """Returns the slowdowns that this gateway observed recently itself."""
        return {
            engine: round(observations.slowdown, 2)
            for engine, observations in self._by_engine.items()
            if observations.is_own
            and now < observations.recorded_at + OWN_EVIDENCE_MAX_AGE_S
        }

    def forget(self, engine: str) -> None:
        """Drops the observations of an engine that is gone or has restarted."""
        self._by_engine.pop(engine, None)

    @staticmethod
    def _decayed(observations: _Observations, now: float) -> float:
        age_s = max(now - observations.recorded_at, 0.0)
        decayed = 1.0 + (observations.slowdown - 1.0) * math.pow(
            0.5, age_s / SLOWDOWN_HALF_LIFE_S
        )
        return decayed if decayed > NOISE_FACTOR else 1.0
