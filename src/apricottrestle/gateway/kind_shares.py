"""How often each kind of request is placed on time, against all kinds.

Under overload the most urgent kinds are placed first; this table tells when a
less urgent kind gets so little that it starves.

Invariant: shares forget with a half-life, so that they follow the load.
"""

from typing import Final

FLOOR: Final = 0.65
"""Part of the share of all kinds below which a kind starves: the users' bound
is half, and what is placed on time may still end late."""

HALF_LIFE_S: Final = 20.0
"""Time in which a placement counts half: several waits of the longest kind,
whose target is 6 to 8 s."""


class _Tally:
    """Decayed counts of placements."""

    __slots__ = ("_at", "on_time", "total")

    def __init__(self) -> None:
        self.total = 0.0
        self.on_time = 0.0
        self._at = 0.0

    def note(self, now: float, weight: float, *, on_time: bool) -> None:
        factor = 0.5 ** ((now - self._at) / HALF_LIFE_S)
        self._at = now
        self.total = self.total * factor + weight
        self.on_time = self.on_time * factor + weight * on_time

    @property
    def share(self) -> float:
        """Share on time; both counts decay alike, so age doesn't matter."""
        return self.on_time / self.total if self.total else 1.0


class KindShares:
    """Table of the kinds of request, by route name."""

    def __init__(self) -> None:
        """Starts without placements."""
        self._kinds: dict[str, _Tally] = {}
        self._all = _Tally()

    def note(
        self, kind: str, tokens: int, now: float, *, on_time: bool
    ) -> None:
        """Counts a request that was placed, or ended without a place.

        Within a kind a request weighs by its tokens, so that the longest
        prompts can't starve behind the shorter ones of their kind.
        """
        tally = self._kinds.setdefault(kind, _Tally())
        tally.note(now, tokens, on_time=on_time)
        self._all.note(now, 1.0, on_time=on_time)

    def starves(self, kind: str) -> bool:
        """Whether a kind gets less than its part."""
        tally = self._kinds.get(kind)
        return tally is not None and tally.share < FLOOR * self._all.share
