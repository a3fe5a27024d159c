"""Measures a cost at several sizes and fits a line through the results."""

import gc
import statistics
import time
from collections.abc import Callable
from typing import Final, NamedTuple

_REPEATS: Final = 5


class Slope(NamedTuple):
    """A cost as a line over a size.

    Attributes:
        name: What was measured.
        unit: Unit of the cost.
        sizes: Sizes at which it was measured.
        costs: Cost at each size.
        fixed: Cost at size 0 by the fitted line.
        per_unit: Cost of one more unit of size.
    """

    name: str
    unit: str
    sizes: list[int]
    costs: list[float]
    fixed: float
    per_unit: float

    def at(self, size: float) -> float:
        """Returns the cost extrapolated to a size."""
        return self.fixed + self.per_unit * size


def fit(name: str, unit: str, points: dict[int, float]) -> Slope:
    """Fits a line through costs by size; needs two sizes or more."""
    sizes = list(points)
    costs = list(points.values())
    line = statistics.linear_regression(sizes, costs)
    return Slope(name, unit, sizes, costs, line.intercept, line.slope)


def cpu_us(action: Callable[[], object], times: int) -> float:
    """Returns the processor time of one call in microseconds.

    Takes the least of several repeats: what else the machine runs can only add
    to a repeat.
    """
    gc.collect()
    best = float("inf")
    for _ in range(_REPEATS):
        start = time.process_time()
        for _ in range(times):
            action()
        best = min(best, time.process_time() - start)
    return best / times * 1e6
