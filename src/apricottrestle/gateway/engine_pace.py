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

PAUSES: Final = 3
"""Pauses of which the shortest counts; one or two may hold a long read."""

HALF_LIFE_S: Final = 2.5
"""Half-life of what is above 1; slow times last some seconds."""

NOISE: Final = 1.6
"""Factor up to which an engine counts as sound: estimates of passes are off by
the requests that began or ended meanwhile."""

OVERDUE_S: Final = 0.1
OVERDUE_FACTOR: Final = 2.5
"""Lateness of a first event that counts as evidence: both two passes of an
engine beyond the estimate, and so many times the estimate."""

MAX_PACE: Final = 10.0

OWN_S: Final = 0.5
"""Age up to which own evidence is told to peers, which would otherwise keep
each other's evidence alive."""


class _Row:
    __slots__ = ("awaited", "is_own", "noted_at", "pace", "ratios")

    def __init__(self) -> None:
        self.pace = 1.0
        self.is_own = False
        self.noted_at = 0.0
        self.ratios: collections.deque[float] = collections.deque(maxlen=PAUSES)
        self.awaited: dict[str, tuple[float, float]] = {}


class EnginePaces:
    """Table of paces."""

    def __init__(self) -> None:
        """Starts with nominal engines."""
        self._rows: dict[str, _Row] = {}

    def sent(
        self, engine: str, run_id: str, expected_s: float, now: float
    ) -> None:
        """Notes a run whose first event is expected after `expected_s`."""
        row = self._rows.setdefault(engine, _Row())
        row.awaited[run_id] = (now, expected_s)

    def answered(self, engine: str, run_id: str) -> None:
        """Notes that a run's first event has come, or will not come."""
        row = self._rows.get(engine)
        if row is not None:
            row.awaited.pop(run_id, None)

    def paused(
        self, engine: str, pause_s: float, pass_s: float, now: float
    ) -> None:
        """Notes a pause between two events, and the time of a pass."""
        row = self._rows.setdefault(engine, _Row())
        row.ratios.append(pause_s / pass_s)
        if len(row.ratios) < PAUSES:
            return
        shortest = min(row.ratios)
        if shortest > NOISE:
            row.pace = min(shortest, MAX_PACE)
            row.noted_at = now
            row.is_own = True
        elif shortest < self._faded(row, now):
            row.pace = 1.0

    def learn(self, engine: str, pace: float, now: float) -> None:
        """Takes over what a peer has seen, unless it is less."""
        row = self._rows.setdefault(engine, _Row())
        if pace > self._faded(row, now):
            row.pace = min(pace, MAX_PACE)
            row.noted_at = now
            row.is_own = False

    def pace(self, engine: str, now: float) -> float:
        """Returns the factor by which an engine is slower, at least 1."""
        row = self._rows.get(engine)
        if row is None:
            return 1.0
        pace = self._faded(row, now)
        for started, expected_s in row.awaited.values():
            waited_s = now - started
            factor = waited_s / max(expected_s, 0.02)
            if waited_s > expected_s + OVERDUE_S and factor > OVERDUE_FACTOR:
                pace = max(pace, factor)
        return min(pace, MAX_PACE)

    def seen(self, now: float) -> dict[str, float]:
        """Returns the slow engines by this gateway's own evidence."""
        return {
            engine: round(row.pace, 2)
            for engine, row in self._rows.items()
            if row.is_own and now < row.noted_at + OWN_S
        }

    def forget(self, engine: str) -> None:
        """Drops the evidence: the engine is gone or has restarted."""
        self._rows.pop(engine, None)

    @staticmethod
    def _faded(row: _Row, now: float) -> float:
        age_s = max(now - row.noted_at, 0.0)
        faded = 1.0 + (row.pace - 1.0) * math.pow(0.5, age_s / HALF_LIFE_S)
        return faded if faded > NOISE else 1.0
