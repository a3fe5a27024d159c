"""Chooses an upstream of a plain service.

Pure: the choice depends on the arguments and the random numbers only.
"""

import random
from collections.abc import Sequence
from typing import Final, NamedTuple

FAILURE_COST_S: Final = 0.5
"""Time that a failed call costs its caller: about the answer of another
upstream and the caller's own retry."""

CALL_S: Final = 0.05
"""Time of one call, to weigh a queue against the network and failures."""


class Candidate(NamedTuple):
    """An upstream that may be chosen.

    Attributes:
        upstream_id: Its id.
        outstanding: Calls under way, of this gateway and its peers.
        slots: Calls it runs at a time.
        distance_s: Time to reach it, one way.
        failure_rate: Estimated share of calls that fail, 0 to 1.
    """

    upstream_id: str
    outstanding: int
    slots: int
    distance_s: float
    failure_rate: float


def expected_latency_s(candidate: Candidate) -> float:
    """Returns the expected time to an answer, failures included."""
    queued = max(candidate.outstanding + 1 - candidate.slots, 0)
    wait_s = CALL_S * queued / candidate.slots
    # A part of each slot in use: upstreams slow down when nearly full.
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
    """Returns the candidate with the least expected time, or None."""
    if not candidates:
        return None
    return min(
        candidates, key=lambda each: (expected_latency_s(each), rng.random())
    )
