"""Chooses the engine that serves a model request, and its helper engines.

An engine works in scheduling passes: between the decode steps of its running
requests it prefills the prompts that are queued. A long prefill therefore
delays the events of every request decoding on that engine. The choice looks for
engines on which the request meets its target and no decoding request gets a gap
between events longer than its caller accepts. Among these it prefers engines
whose last slots it doesn't need, and at equal distance the one with the least
slack, which keeps other engines free for long prompts. A prompt too long for
one engine is split over the fewest engines that meet the target.

All functions are pure: the result depends on the arguments only.
"""

import math
from collections.abc import Callable, Sequence
from typing import Final, NamedTuple

from apricottrestle.gateway import engine_costs, engine_load, fleet_config

MAX_HELPERS: Final = 15
"""Maximum number of helper engines; the platform allows 16."""

GAP_MARGIN_S: Final = 0.05
"""Part of an accepted gap between events that is kept free for the network and
for errors of the estimate."""

TARGET_MARGIN_S: Final = 0.04
"""Part of the time to the first event that is kept free for the network and for
errors of the estimate."""

KV_USABLE_SHARE: Final = 0.97
"""Share of an engine's KV cache that requests are planned into; engines round
each allocation up to whole blocks."""

CONTESTED_SLOTS: Final = 2
"""Free slots up to which an engine is chosen only if no other has more. Other
gateways may take them before they hear of the choice, and a request beyond the
last slot waits for a whole answer of another one."""

MIN_PREFILL_PART_S: Final = 0.08
"""Minimum prefill time per engine when a prompt is split. For shorter parts,
the engines' scheduling passes and the network outweigh the gain."""


class RequestNeeds(NamedTuple):
    """What a request needs of an engine.

    Attributes:
        prompt_tokens: Number of prompt tokens to prefill.
        output_tokens: Estimated number of tokens to decode.
        target_left_s: Time left to a first event that is on time; negative
            when the request is already late.
        abandon_left_s: Time left until the caller disconnects if no first
            event has arrived.
        time_left_s: Time left until the answer must be complete.
        max_gap_s: Longest gap between events that is on time; 0 for no limit.
    """

    prompt_tokens: int
    output_tokens: int
    target_left_s: float
    abandon_left_s: float
    time_left_s: float
    max_gap_s: float


class Candidate(NamedTuple):
    """An engine that may be chosen.

    Attributes:
        engine: Upstream id of the engine.
        state: Requests on the engine and its simulated scheduling passes.
        slots: Number of requests that the engine runs concurrently.
        distance_s: One-way network delay to the engine.
        preference: Tie-breaker among equal engines. It differs between
            gateways, so that they don't choose the same idle engine at the
            same time.
        slowdown: Factor by which the engine is slower than its published cost
            model; 1 for nominal speed.
    """

    engine: str
    state: engine_load.EngineState
    slots: int
    distance_s: float
    preference: int
    slowdown: float


class Choice(NamedTuple):
    """The engines chosen for a request.

    Attributes:
        engine: Upstream id of the decoding engine.
        helpers: Upstream ids of the engines that prefill a part of the prompt.
        prefill_part_s: Prefill time of each engine's part of the prompt.
        reserved_tokens: KV cache tokens to reserve on each helper; 0 for none.
        first_event_s: Estimated time to the first event.
        on_time: Whether the first event and all gaps are expected on time.
    """

    engine: str
    helpers: tuple[str, ...]
    prefill_part_s: float
    reserved_tokens: int
    first_event_s: float
    on_time: bool


class _Capacity(NamedTuple):
    """Work that a candidate engine can accept now.

    Attributes:
        candidate: The engine.
        wait_s: Time until the current scheduling pass ends.
        next_pass_s: Duration of the next pass without the new prefill.
        slack_s: Longest prefill that makes no other request late.
        kv_free: Free KV cache, in tokens.
        slots_free: Number of free request slots.
    """

    candidate: Candidate
    wait_s: float
    next_pass_s: float
    slack_s: float
    kv_free: int
    slots_free: int


def _capacity(
    candidate: Candidate, model: fleet_config.EngineCostModel, now: float
) -> _Capacity:
    state = candidate.state
    slowdown = candidate.slowdown
    forecast = state.forecast(model, now, GAP_MARGIN_S, TARGET_MARGIN_S)
    return _Capacity(
        candidate,
        slowdown * forecast.wait_s,
        slowdown * forecast.next_pass_s,
        forecast.slack_s / slowdown,
        int(model.kv_tokens * KV_USABLE_SHARE) - state.kv_tokens,
        candidate.slots - len(state.runs),
    )


def choose(
    needs: RequestNeeds,
    candidates: Sequence[Candidate],
    model: fleet_config.EngineCostModel,
    now: float,
) -> Choice | None:
    """Returns the best engines that serve the request on time.

    Args:
        needs: What the request needs.
        candidates: Engines that may be used.
        model: Cost model of the engines.
        now: Monotonic time in seconds.

    Returns:
        The choice with the fewest helpers, or None if every choice would make
        this request or another one late.
    """
    capacities = [_capacity(candidate, model, now) for candidate in candidates]
    for helper_count in _helper_counts(needs, len(capacities), model):
        choice = _choose_with_helpers(
            needs, capacities, model, helper_count, _by_distance_and_slack
        )
        if choice is not None:
            return choice
    return None


def min_engines(
    needs: RequestNeeds, model: fleet_config.EngineCostModel
) -> int:
    """Returns the number of engines whose KV caches can hold the request."""
    total = needs.prompt_tokens + needs.output_tokens
    return math.ceil(total / (model.kv_tokens * KV_USABLE_SHARE))


def _reserved_tokens(
    needs: RequestNeeds, model: fleet_config.EngineCostModel, helper_count: int
) -> int:
    """Returns the KV cache tokens to reserve on each helper, 0 for none."""
    if min_engines(needs, model) <= 1:
        return 0
    total = needs.prompt_tokens + needs.output_tokens
    return math.ceil(total / (helper_count + 1))


def _choose_with_helpers(
    needs: RequestNeeds,
    capacities: Sequence[_Capacity],
    model: fleet_config.EngineCostModel,
    helper_count: int,
    sort_key: Callable[[_Capacity], tuple[float, ...]],
) -> Choice | None:
    """Returns the best choice with exactly `helper_count` helpers, or None."""
    prefill_part_s = engine_costs.prefill_part_s(
        model, needs.prompt_tokens, helper_count + 1
    )
    reserved = _reserved_tokens(needs, model, helper_count)
    total = needs.prompt_tokens + needs.output_tokens
    own_tokens = total - reserved * helper_count
    latest_first_event_s = needs.target_left_s - TARGET_MARGIN_S
    eligible = [
        capacity
        for capacity in capacities
        if capacity.slack_s >= prefill_part_s
        and capacity.kv_free >= reserved
        and _first_event_s(capacity, prefill_part_s) <= latest_first_event_s
    ]
    if len(eligible) < helper_count + 1:
        return None
    decoders = [
        capacity
        for capacity in eligible
        if capacity.slots_free > 0
        and capacity.kv_free >= own_tokens
        and _meets_max_gap(needs, capacity, model)
    ]
    if not decoders:
        return None
    decoder = min(decoders, key=sort_key)
    helpers = sorted(
        (capacity for capacity in eligible if capacity is not decoder),
        key=sort_key,
    )[:helper_count]
    first_event_s = max(
        _first_event_s(capacity, prefill_part_s)
        for capacity in [decoder, *helpers]
    )
    return Choice(
        decoder.candidate.engine,
        tuple(capacity.candidate.engine for capacity in helpers),
        prefill_part_s,
        reserved,
        first_event_s,
        True,
    )


def _meets_max_gap(
    needs: RequestNeeds,
    capacity: _Capacity,
    model: fleet_config.EngineCostModel,
) -> bool:
    """Whether the gaps between the request's own events are on time.

    The length of a decode pass on the engine, with the new request added to its
    batch, is the gap between two events.
    """
    if needs.max_gap_s <= 0:
        return True
    state = capacity.candidate.state
    pass_s = capacity.candidate.slowdown * engine_costs.decode_pass_s(
        model, len(state.runs) + 1, state.context_tokens + needs.prompt_tokens
    )
    return pass_s + GAP_MARGIN_S <= needs.max_gap_s


def _first_event_s(capacity: _Capacity, prefill_part_s: float) -> float:
    candidate = capacity.candidate
    return (
        capacity.wait_s
        + capacity.next_pass_s
        + candidate.slowdown * prefill_part_s
        + 2 * candidate.distance_s
    )


def _by_distance_and_slack(capacity: _Capacity) -> tuple[float, ...]:
    """Sort key: uncontested engines, the nearest, then the least slack.

    With the distance before the slack, gateways of different data centres
    rarely choose the same engine at the same time, before each has received the
    other's choice.
    """
    candidate = capacity.candidate
    return (
        max(CONTESTED_SLOTS + 1 - capacity.slots_free, 0),
        candidate.distance_s,
        capacity.slack_s,
        candidate.preference,
    )


def _by_wait_and_distance(capacity: _Capacity) -> tuple[float, ...]:
    """Sort key: the engine with the shortest wait first, then the nearest."""
    candidate = capacity.candidate
    wait_s = capacity.wait_s + capacity.next_pass_s
    return (wait_s, candidate.distance_s, candidate.preference)


def choose_earliest(
    needs: RequestNeeds,
    candidates: Sequence[Candidate],
    model: fleet_config.EngineCostModel,
    now: float,
    spare_slots: int = 0,
) -> Choice | None:
    """Returns the engines with the earliest first event for a late request.

    The request can't meet its target any more. It still must not make another
    request late, its first event must come before the caller disconnects, and
    its last event within the caller's time limit: a truncated answer is useless
    to the caller and takes capacity from other requests.

    Args:
        needs: What the request needs.
        candidates: Engines that may be used.
        model: Cost model of the engines.
        now: Monotonic time in seconds.
        spare_slots: Number of slots to leave free on each engine.

    Returns:
        The choice, or None if no engines meet these conditions.
    """
    capacities = [
        capacity._replace(slots_free=capacity.slots_free - spare_slots)
        for capacity in (
            _capacity(candidate, model, now) for candidate in candidates
        )
    ]
    decode_s = engine_costs.decode_s(
        model, needs.output_tokens, 1, needs.prompt_tokens
    )
    late = needs._replace(
        target_left_s=min(needs.abandon_left_s, needs.time_left_s - decode_s)
    )
    best: Choice | None = None
    for helper_count in _helper_counts(needs, len(capacities), model):
        choice = _choose_with_helpers(
            late, capacities, model, helper_count, _by_wait_and_distance
        )
        if choice is None:
            continue
        if best is None or choice.first_event_s < best.first_event_s:
            best = choice
    return best._replace(on_time=False) if best is not None else None


def _helper_counts(
    needs: RequestNeeds,
    engine_count: int,
    model: fleet_config.EngineCostModel,
) -> range:
    """Returns the numbers of helpers to consider, in ascending order.

    The lower bound is set by the KV cache that the request needs, the upper
    bound by the available engines and the minimum part of a split prefill.
    """
    single_engine_s = engine_costs.prefill_s(model, needs.prompt_tokens)
    min_helpers = min_engines(needs, model) - 1
    max_helpers = min(
        MAX_HELPERS,
        engine_count - 1,
        max(int(single_engine_s / MIN_PREFILL_PART_S), min_helpers),
    )
    return range(min_helpers, max_helpers + 1)


def min_prefill_s(
    needs: RequestNeeds,
    model: fleet_config.EngineCostModel,
    engine_count: int,
) -> float:
    """Returns the prefill time on idle engines with the most helpers."""
    helper_counts = _helper_counts(needs, engine_count, model)
    helper_count = helper_counts[-1] if helper_counts else 0
    return engine_costs.prefill_part_s(
        model, needs.prompt_tokens, helper_count + 1
    )


def min_service_s(
    needs: RequestNeeds,
    model: fleet_config.EngineCostModel,
    engine_count: int,
) -> float:
    """Returns the time to prefill and decode, if all engines were idle.

    Assumes the largest number of helpers; see min_prefill_s.
    """
    decode_s = engine_costs.decode_s(
        model, needs.output_tokens, 1, needs.prompt_tokens
    )
    return min_prefill_s(needs, model, engine_count) + decode_s
