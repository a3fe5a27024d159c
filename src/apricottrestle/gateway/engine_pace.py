"""How much slower than published each engine is, from its own events.

The pause between two events of a stream is at least a pass of the engine, so
the shortest of a few pauses shows its pace whatever was read in between. A
first event that is overdue shows it earlier.

Invariant: a pace is at least 1, and evidence fades: an engine that gets no work
because it was slow is tried again.
"""

import collections
import math
from typing import Final

GAP_SAMPLES: Final = 3
"""Pauses of which the shortest counts; one or two may hold a long read."""

SLOWDOWN_HALF_LIFE_S: Final = 2.5
"""Half-life of what is above 1; slow times last some seconds."""

NOISE_FACTOR: Final = 1.6
"""Factor up to which an engine counts as sound: estimates of passes are off by
the requests that began or ended meanwhile."""

OVERDUE_MIN_S: Final = 0.1
OVERDUE_MIN_FACTOR: Final = 2.5
"""Lateness of a first event that counts as evidence: both two passes of an
engine beyond the estimate, and so many times the estimate."""

MAX_SLOWDOWN: Final = 10.0

OWN_EVIDENCE_MAX_AGE_S: Final = 0.5
"""Age up to which own evidence is told to peers, which would otherwise keep
each other's evidence alive."""


class _Row:
    __slots__ = (
        "expected",
        "gap_ratios",
        "is_own_evidence",
        "recorded_at",
        "slowdown",
    )

    def __init__(self) -> None:
        self.slowdown = 1.0
        self.is_own_evidence = False
        self.recorded_at = 0.0
        self.gap_ratios: collections.deque[float] = collections.deque(
            maxlen=GAP_SAMPLES
        )
        self.expected: dict[str, tuple[float, float]] = {}


class EngineSlowdowns:
    """Table of paces."""

    def __init__(self) -> None:
        """Starts with nominal engines."""
        self._rows: dict[str, _Row] = {}

    def expect_first_event(
        self, engine: str, run_id: str, expected_s: float, now: float
    ) -> None:
        """Notes a run whose first event is expected after `expected_s`."""
        row = self._rows.setdefault(engine, _Row())
        row.expected[run_id] = (now, expected_s)

    def clear_expected(self, engine: str, run_id: str) -> None:
        """Notes that a run's first event has come, or will not come."""
        row = self._rows.get(engine)
        if row is not None:
            row.expected.pop(run_id, None)

    def record_gap(
        self, engine: str, gap_s: float, pass_s: float, now: float
    ) -> None:
        """Notes a pause between two events, and the time of a pass."""
        row = self._rows.setdefault(engine, _Row())
        row.gap_ratios.append(gap_s / pass_s)
        if len(row.gap_ratios) < GAP_SAMPLES:
            return
        shortest = min(row.gap_ratios)
        if shortest > NOISE_FACTOR:
            row.slowdown = min(shortest, MAX_SLOWDOWN)
            row.recorded_at = now
            row.is_own_evidence = True
        elif shortest < self._decayed(row, now):
            row.slowdown = 1.0

    def merge_peer(self, engine: str, slowdown: float, now: float) -> None:
        """Takes over what a peer has seen, unless it is less."""
        row = self._rows.setdefault(engine, _Row())
        if slowdown > self._decayed(row, now):
            row.slowdown = min(slowdown, MAX_SLOWDOWN)
            row.recorded_at = now
            row.is_own_evidence = False

    def slowdown(self, engine: str, now: float) -> float:
        """Returns the factor by which an engine is slower, at least 1."""
        row = self._rows.get(engine)
        if row is None:
            return 1.0
        slowdown = self._decayed(row, now)
        for started, expected_s in row.expected.values():
            waited_s = now - started
            factor = waited_s / max(expected_s, 0.02)
            if (
                waited_s > expected_s + OVERDUE_MIN_S
                and factor > OVERDUE_MIN_FACTOR
            ):
                slowdown = max(slowdown, factor)
        return min(slowdown, MAX_SLOWDOWN)

    def own_slowdowns(self, now: float) -> dict[str, float]:
        """Returns the slow engines by this gateway's own evidence."""
        return {
            engine: round(row.slowdown, 2)
            for engine, row in self._rows.items()
            if row.is_own_evidence
            and now < row.recorded_at + OWN_EVIDENCE_MAX_AGE_S
        }

    def forget(self, engine: str) -> None:
        """Drops the evidence: the engine is gone or has restarted."""
        self._rows.pop(engine, None)

    @staticmethod
    def _decayed(row: _Row, now: float) -> float:
        age_s = max(now - row.recorded_at, 0.0)
        decayed = 1.0 + (row.slowdown - 1.0) * math.pow(
            0.5, age_s / SLOWDOWN_HALF_LIFE_S
        )
        return decayed if decayed > NOISE_FACTOR else 1.0
