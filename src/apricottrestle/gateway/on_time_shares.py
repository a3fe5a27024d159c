"""Share of requests placed on time, per route and over all routes.

Under overload the most urgent routes are scheduled first. This table detects
when a less urgent route is starved.

Invariant: the counts decay exponentially, so that the shares follow the load.
"""

from typing import Final

STARVATION_RATIO: Final = 0.65
"""A route is starved when its on-time share is below this fraction of the
share over all routes. Users require at least half; the rest is a margin for
requests that are placed on time and still end late."""

HALF_LIFE_S: Final = 20.0
"""Half-life of the counts; several waiting times of the route with the longest
prompts, whose target time to the first event is 6 to 8 s."""


class _DecayedCounts:
    """Exponentially decaying counts of placements."""

    __slots__ = ("_updated_at", "on_time", "total")

    def __init__(self) -> None:
        self.total = 0.0
        self.on_time = 0.0
        self._updated_at = 0.0

    def record(self, now: float, weight: float, *, on_time: bool) -> None:
        factor = 0.5 ** ((now - self._updated_at) / HALF_LIFE_S)
        self._updated_at = now
        self.total = self.total * factor + weight
        self.on_time = self.on_time * factor + weight * on_time

    @property
    def share(self) -> float:
        """On-time share; needs no decay to now, as both counts decay alike."""
        return self.on_time / self.total if self.total else 1.0


class OnTimeShares:
    """Table of on-time shares by route name."""

    def __init__(self) -> None:
        """Creates a table without placements."""
        self._by_route: dict[str, _DecayedCounts] = {}
        self._all_routes = _DecayedCounts()

    def record(
        self, route: str, tokens: int, now: float, *, on_time: bool
    ) -> None:
        """Records a request that was placed, or ended without a placement.

        Within a route a request is weighted by its tokens, so that the longest
        prompts of the route can't be starved by its shorter ones.
        """
        counts = self._by_route.setdefault(route, _DecayedCounts())
        counts.record(now, tokens, on_time=on_time)
        self._all_routes.record(now, 1.0, on_time=on_time)

    def is_starved(self, route: str) -> bool:
        """Returns whether a route is starved; see STARVATION_RATIO."""
        counts = self._by_route.get(route)
        return (
            counts is not None
            and counts.share < STARVATION_RATIO * self._all_routes.share
        )
