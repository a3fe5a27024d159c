"""Claims, which keep engines free for a queued request with a long prompt.

A long prefill fits only on engines whose decoding requests it doesn't delay too
much. Under load, short prompts of more urgent request kinds take each slot as
soon as it becomes free, so that no engine ever becomes idle and long prompts
starve. A queued request that no engine can serve on time therefore claims the
engines on which the requests that its prefill would delay too much end soonest;
new requests are routed to other engines.

Invariants: a claim excludes new requests but never interrupts running ones; a
claim expires without a message from its holder; all claims together leave most
engines of a service to other requests.
"""

from collections.abc import Callable, Sequence
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

    def is_current(self, claim_id: str, now: float) -> bool:
        """Whether a claim still keeps an engine free."""
        return any(
            claimed.claim_id == claim_id and now < claimed.expires_at
            for claimed in self._by_engine.values()
        )

    def claim_id_on(self, engine: str, now: float) -> str | None:
        """Returns the id of the claim on an engine, or None."""
        claimed = self._by_engine.get(engine)
        if claimed is None:
            return None
        if claimed.expires_at <= now:
            del self._by_engine[engine]
            return None
        return claimed.claim_id


class ClaimChoice(NamedTuple):
    """The engines that a queued request should claim.

    Attributes:
        engines: Upstream ids of the engines.
        ttl_s: Time in seconds after which a prefill on these engines would
            start too late.
    """

    engines: tuple[str, ...]
    ttl_s: float


def choose_engines(
    needs: engine_routing.RequestNeeds,
    candidates: Sequence[engine_routing.Candidate],
    is_claimed: Callable[[str], bool],
    model: fleet_config.EngineCostModel,
) -> ClaimChoice | None:
    """Returns the engines that a queued request claims, or None.

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
    left_s = _prefill_left_s(needs, model)
    prefill_s = engine_costs.prefill_s(model, needs.prompt_tokens)
    for engine_count in range(
        engine_routing.min_engines(needs, model), max_engines + 1
    ):
        prefill_part_s = prefill_s / engine_count
        if prefill_part_s < MIN_PREFILL_S:
            return None
        latest_start_s = left_s - prefill_part_s
        drains = sorted(
            (
                _drain_s(candidate.state, prefill_part_s, model),
                candidate.preference,
                candidate.engine,
            )
            for candidate in unclaimed
        )
        chosen = drains[:engine_count]
        if len(chosen) < engine_count:
            return None
        longest_drain_s = chosen[-1][0]
        if longest_drain_s <= 0:
            # The prefill delays no request, so that a claim has no effect.
            return None
        if longest_drain_s <= latest_start_s:
            return ClaimChoice(
                tuple(engine for _, _, engine in chosen), latest_start_s
            )
    return None


def _prefill_left_s(
    needs: engine_routing.RequestNeeds, model: fleet_config.EngineCostModel
) -> float:
    """Returns the time in which the engines must drain and prefill.

    The first event has to be on time or, if that is no longer possible, early
    enough for the answer to end in time.
    """
    if needs.target_left_s > 0:
        return needs.target_left_s
    decode_s = engine_costs.decode_s(
        model, needs.output_tokens, 1, needs.prompt_tokens
    )
    return min(needs.abandon_left_s, needs.time_left_s - decode_s)


def _drain_s(
    state: engine_load.EngineState,
    prefill_part_s: float,
    model: fleet_config.EngineCostModel,
) -> float:
    """Returns the time until the runs that a prefill would delay have ended.

    A run is delayed if its `max_gap_s` is shorter than the prefill. Runs end
    after the prefills that are queued on the engine.
    """
    delayed_decode_s = [
        engine_costs.decode_s(
            model, run.output_tokens, len(state.runs), state.context_tokens
        )
        for run in state.runs.values()
        if 0 < run.max_gap_s < prefill_part_s
    ]
    return state.prefill_left_s + max(delayed_decode_s, default=0.0)
