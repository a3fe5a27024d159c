"""Claims, which keep engines free for a queued request with a long prompt.

A long prefill fits only on engines whose decoding requests it doesn't delay too
much. Under load, short prompts of more urgent request kinds take each slot as
soon as it becomes free, so that no engine ever becomes idle and long prompts
starve. A queued request that no engine can serve on time therefore claims the
engines with the fewest requests that its prefill would delay too much, because
these engines become free first; new requests are routed to other engines.

Invariants: a claim excludes new requests but never interrupts running ones; a
claim expires without a message from its holder; all claims together leave most
engines of a service to other requests.
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
"""Maximum share of a service's engines that may be claimed; the rest is left to
the request kinds that need no claim."""

DECODE_DRAIN_S: Final = 1.5
"""Time until the decoding requests of an engine are complete: about one answer
of 33 events, each a pass of 50 ms, as in the users' request tables."""

MIN_PREFILL_S: Final = 0.2
"""Minimum prefill time per engine for a claim. A shorter prefill fits between
the events of other requests."""

CLAIM_BYPASS_LEFT_S: Final = 0.15
"""Time left to the first event up to which a request may use engines claimed by
another request."""


class Claim(NamedTuple):
    """A set of engines that a queued request keeps free.

    Attributes:
        claim_id: Id, unique in the fleet.
        engines: Upstream ids of the engines.
        ttl_s: Time in seconds until the claim expires.
    """

    claim_id: str
    engines: tuple[str, ...]
    ttl_s: float


class _ClaimedEngine(NamedTuple):
    claim_id: str
    expires_at: float


class EngineClaims:
    """Table of the claims of all gateways; an engine has at most one claim."""

    def __init__(self) -> None:
        """Creates an empty table."""
        self._by_engine: dict[str, _ClaimedEngine] = {}

    def add(self, claim: Claim, now: float) -> None:
        """Adds a claim; engines under an earlier claim keep the earlier one."""
        for engine in claim.engines:
            if self.claim_id_on(engine, now) is None:
                self._by_engine[engine] = _ClaimedEngine(
                    claim.claim_id, now + claim.ttl_s
                )

    def remove(self, claim_id: str) -> None:
        """Removes a claim from all of its engines."""
        for engine, claimed in list(self._by_engine.items()):
            if claimed.claim_id == claim_id:
                del self._by_engine[engine]

    def claim_id_on(self, engine: str, now: float) -> str | None:
        """Returns the id of the claim on an engine, or None."""
        claimed = self._by_engine.get(engine)
        if claimed is None:
            return None
        if claimed.expires_at <= now:
            del self._by_engine[engine]
            return None
        return claimed.claim_id


def choose_engines(
    needs: engine_routing.RequestNeeds,
    candidates: Sequence[engine_routing.Candidate],
    is_claimed: Callable[[str], bool],
    model: fleet_config.EngineCostModel,
) -> tuple[str, ...]:
    """Returns the engines that a queued request claims, or an empty tuple.

    Args:
        needs: What the request needs.
        candidates: Engines that the request may use.
        is_claimed: Returns whether an engine is under a claim.
        model: Cost model of the engines.
    """
    unclaimed = [
        candidate
        for candidate in candidates
        if not is_claimed(candidate.engine)
    ]
    max_engines = int(len(candidates) * MAX_CLAIMED_SHARE) - (
        len(candidates) - len(unclaimed)
    )
    engine_count = _engines_needed(needs, model, max_engines)
    if not engine_count:
        return ()
    prefill_part_s = engine_costs.prefill_part_s(
        model, needs.prompt_tokens, engine_count
    )
    if prefill_part_s < MIN_PREFILL_S:
        return ()
    unclaimed.sort(
        key=lambda candidate: (
            len(_delayed_runs(candidate.state, prefill_part_s)),
            candidate.preference,
        )
    )
    return tuple(candidate.engine for candidate in unclaimed[:engine_count])


def _engines_needed(
    needs: engine_routing.RequestNeeds,
    model: fleet_config.EngineCostModel,
    max_engines: int,
) -> int:
    """Returns the number of engines to claim.

    Returns:
        The fewest engines whose combined prefill is on time and whose KV caches
        can hold the request, or 0 if that exceeds `max_engines` or is
        impossible.
    """
    left_s = (
        needs.target_left_s if needs.target_left_s > 0 else needs.abandon_left_s
    )
    prefill_left_s = left_s - DECODE_DRAIN_S
    if prefill_left_s <= 0:
        return 0
    prefill_s = engine_costs.prefill_s(model, needs.prompt_tokens)
    needed_for_kv = engine_routing.min_engines(needs, model)
    needed = max(math.ceil(prefill_s / prefill_left_s), needed_for_kv)
    return needed if needed <= max_engines else 0


def _delayed_runs(
    state: engine_load.EngineState, prefill_part_s: float
) -> Collection[engine_load.Run]:
    """Returns the runs whose `max_gap_s` is shorter than the prefill."""
    return [
        run for run in state.runs.values() if 0 < run.max_gap_s < prefill_part_s
    ]
