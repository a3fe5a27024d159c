"""Engines kept free for long prompts that wait.

A long read fits only on engines without writers that it would delay. Under
load the short prompts of more urgent kinds take each place as it becomes free,
so that no engine ever runs empty. A waiting request that found no place
therefore claims the engines that will be free of such writers first, and new
requests go elsewhere.

Invariants: a claim keeps engines, never work; it ends by itself; all claims
together leave most engines of a service to the others.
"""

import math
from collections.abc import Callable, Collection, Sequence
from typing import Final, NamedTuple

from apricottrestle.gateway import (
    engine_costs,
    engine_load,
    engine_routing,
    fleet_config,
)

MAX_CLAIMED_SHARE: Final = 1 / 3
"""Largest share of a service's engines under claim; the rest stays with the
kinds that need no claim."""

DECODE_DRAIN_S: Final = 1.5
"""Time in which the writers of an engine end: about an answer of 33 events, a
pass of 50 ms each, by the users' request tables."""

MIN_PREFILL_S: Final = 0.2
"""Least read worth a claim; a shorter one fits between the tokens of others."""

CLAIM_BYPASS_LEFT_S: Final = 0.15
"""Time left to a first event below which a request may use a claimed engine."""


class Claim(NamedTuple):
    """Engines that a waiting request keeps free.

    Attributes:
        claim_id: Unique in the fleet.
        engines: Their upstream ids.
        ttl_s: Time until it ends by itself, in seconds.
    """

    claim_id: str
    engines: tuple[str, ...]
    ttl_s: float


class _ClaimedEngine(NamedTuple):
    claim_id: str
    expires_at: float


class EngineClaims:
    """Table of the claims of all gateways; an engine has one at most."""

    def __init__(self) -> None:
        """Starts without claims."""
        self._by_engine: dict[str, _ClaimedEngine] = {}

    def add(self, claim: Claim, now: float) -> None:
        """Adds a claim; an engine claimed twice stays with the first."""
        for engine in claim.engines:
            if self.holder(engine, now) is None:
                self._by_engine[engine] = _ClaimedEngine(
                    claim.claim_id, now + claim.ttl_s
                )

    def remove(self, claim_id: str) -> None:
        """Removes a claim."""
        for engine, row in list(self._by_engine.items()):
            if row.claim_id == claim_id:
                del self._by_engine[engine]

    def holder(self, engine: str, now: float) -> str | None:
        """Returns the claim on an engine, or None."""
        row = self._by_engine.get(engine)
        if row is None:
            return None
        if row.expires_at <= now:
            del self._by_engine[engine]
            return None
        return row.claim_id


def choose_engines(
    needs: engine_routing.RequestNeeds,
    candidates: Sequence[engine_routing.Candidate],
    is_claimed: Callable[[str], bool],
    model: fleet_config.EngineCostModel,
) -> tuple[str, ...]:
    """Returns the engines that a waiting request claims; empty for none.

    Args:
        needs: The request, which found no place.
        candidates: Engines that it may use.
        is_claimed: Whether a request keeps an engine free already.
        model: Their cost model.
    """
    free = [each for each in candidates if not is_claimed(each.engine)]
    most = int(len(candidates) * MAX_CLAIMED_SHARE) - (
        len(candidates) - len(free)
    )
    engines = _engines_needed(needs, model, most)
    if not engines:
        return ()
    part_s = engine_costs.prefill_part_s(model, needs.prompt_tokens, engines)
    if part_s < MIN_PREFILL_S:
        return ()
    free.sort(
        key=lambda each: (
            len(_delayed(each.state, part_s)),
            each.preference,
        )
    )
    return tuple(each.engine for each in free[:engines])


def _engines_needed(
    needs: engine_routing.RequestNeeds,
    model: fleet_config.EngineCostModel,
    most: int,
) -> int:
    """Returns how many engines make the read on time; 0 if too many."""
    left_s = (
        needs.target_left_s
        if needs.target_left_s > 0
        else needs.patience_left_s
    )
    read_left_s = left_s - DECODE_DRAIN_S
    if read_left_s <= 0:
        return 0
    read_s = engine_costs.prefill_s(model, needs.prompt_tokens)
    least = engine_routing.min_engines(needs, model)
    needed = max(math.ceil(read_s / read_left_s), least)
    return needed if needed <= most else 0


def _delayed(
    row: engine_load.EngineState, part_s: float
) -> Collection[engine_load.Run]:
    """Returns the runs whose pauses the read would make late."""
    return [run for run in row.runs.values() if 0 < run.max_gap_s < part_s]
