"""Engines that may be busy with runs that no gateway knows any more.

A gateway that starts sees all engines as idle, although an engine goes on with
the runs of gateways that failed: it notices a machine without power only when
it writes the first event, which a long prompt delays by seconds. The same holds
for the engines of a peer that has fallen silent. Until such an engine has sent
an event to any gateway it gets one request at a time, which is moved early, and
no part of a split prompt unless the other engines have no room.

Invariant: an engine is on probation for at most PROBATION_S.
"""

from collections.abc import Iterable
from typing import Final

PROBATION_S: Final = 10.0
"""Maximum time on probation: the time limit of most requests, after which an
engine has ended what a failed gateway left behind."""

SLOTS_ON_PROBATION: Final = 1
"""Requests that an engine on probation gets at a time."""


class EngineProbation:
    """Table of the engines on probation."""

    def __init__(self) -> None:
        """Creates a table without any engine on probation."""
        self._all_until = 0.0
        self._until: dict[str, float] = {}
        self._cleared: set[str] = set()

    def add_all(self, now: float) -> None:
        """Puts every engine on probation, also those not yet known."""
        self._all_until = now + PROBATION_S
        self._cleared.clear()

    def add(self, engines: Iterable[str], now: float) -> None:
        """Puts engines on probation."""
        for engine in engines:
            self._until[engine] = now + PROBATION_S

    def clear(self, engine: str) -> None:
        """Ends the probation of an engine that has sent an event."""
        self._until.pop(engine, None)
        self._cleared.add(engine)

    def contains(self, engine: str, now: float) -> bool:
        """Returns whether an engine is on probation."""
        if now < self._until.get(engine, 0.0):
            return True
        return now < self._all_until and engine not in self._cleared
