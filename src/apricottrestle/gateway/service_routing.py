"""Chooses an upstream of a service that isn't made of model engines.

The functions are pure: the result depends on the arguments and the random
numbers only.
"""

import random
from collections.abc import Sequence
from typing import Final, NamedTuple

FAILURE_COST_S: Final = 0.5
"""Cost of a failed call to its caller: about the time to an answer from another
upstream, and the caller's own retry."""

CALL_S: Final = 0.05
"""Assumed duration of a call, which makes queueing comparable with distance
and failures."""


MAX_OUTSTANDING_PER_SLOT: Final = 3
"""Outstanding calls per slot at which a plain upstream counts as full; calls
queued beyond that would be late."""


class Candidate(NamedTuple):
    """An upstream that may be chosen.

    Attributes:
        upstream_id: Id of the upstream.
        outstanding: Number of outstanding calls of all gateways.
        slots: Number of calls that the upstream runs concurrently.
        distance_s: One-way network delay to the upstream.
        failure_rate: Estimated share of calls that fail, from 0 to 1.
    """

    upstream_id: str
    outstanding: int
    slots: int
    distance_s: float
    failure_rate: float

    @property
    def is_full(self) -> bool:
        """Whether another call would be late."""
        return self.outstanding >= MAX_OUTSTANDING_PER_SLOT * self.slots


def expected_latency_s(candidate: Candidate) -> float:
    """Returns the expected time to an answer, with the cost of failures."""
    queued = max(candidate.outstanding + 1 - candidate.slots, 0)
    wait_s = CALL_S * queued / candidate.slots
    # Upstreams become slower as more of their slots are in use.
    busy_s = CALL_S * 0.5 * candidate.outstanding / candidate.slots
    return (
        2 * candidate.distance_s
        + wait_s
        + busy_s
        + FAILURE_COST_S * candidate.failure_rate
    )


def choose(
    candidates: Sequence[Candidate], rng: random.Random
) -> Candidate | None:
    """Returns the candidate with the lowest expected latency.

    Ties are broken at random. Returns None if there is no candidate.
    """
    if not candidates:
        return None
    return min(
        candidates,
        key=lambda candidate: (expected_latency_s(candidate), rng.random()),
    )
