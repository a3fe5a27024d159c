"""Fits lines to costs that are measured at several sizes."""

import gc
import statistics
import time
from collections.abc import Callable
from typing import Final, NamedTuple

_REPEATS: Final = 5


class Slope(NamedTuple):
    """A cost as a linear function of a size.

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

    def extrapolate(self, size: float) -> float:
        """Returns the cost at a size according to the fitted line."""
        return self.fixed + self.per_unit * size


def fit_line(name: str, unit: str, points: dict[int, float]) -> Slope:
    """Fits a line through costs by size; needs two sizes or more."""
    sizes = list(points)
    costs = list(points.values())
    line = statistics.linear_regression(sizes, costs)
    return Slope(name, unit, sizes, costs, line.intercept, line.slope)


def cpu_us(action: Callable[[], object], calls: int) -> float:
    """Returns the processor time of one call of `action` in microseconds.

    Takes the minimum of several repeats, because other load on the machine can
    only add time.
    """
    gc.collect()
    least_s = float("inf")
    for _ in range(_REPEATS):
        start = time.process_time()
        for _ in range(calls):
            action()
        least_s = min(least_s, time.process_time() - start)
    return least_s / calls * 1e6
