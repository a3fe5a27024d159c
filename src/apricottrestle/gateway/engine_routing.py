"""Chooses the engine for a model request, and engines that help to read.

A pass of an engine reads waiting prompts between the tokens of the requests it
writes, so a long read delays every writer there. The choice therefore looks for
engines on which the request is on time and delays no writer beyond the pause
its caller accepts. Among these it takes the fullest that fits, which keeps
other engines free for long prompts. A prompt too long for one engine is split
over the least number of engines that makes it fit.

Pure: the choice depends on the arguments only.
"""

import math
from collections.abc import Callable, Sequence
from typing import Final, NamedTuple

from apricottrestle.gateway import engine_costs, engine_load, fleet_config

MAX_HELPERS: Final = 15
"""Most engines that help; the platform allows sixteen."""

GAP_MARGIN_S: Final = 0.05
"""Part of an accepted pause that is left for the network and for error."""

TARGET_MARGIN_S: Final = 0.04
"""Time to the first event that is left for the network and for error."""

KV_USABLE_SHARE: Final = 0.97
"""Share of an engine's memory that is planned with; blocks are rounded up."""

MIN_PREFILL_PART_S: Final = 0.08
"""Least part of a read that is worth another engine: below it, the engines'
passes and the network outweigh the gain."""


class RequestNeeds(NamedTuple):
    """What a request needs.

    Attributes:
        prompt_tokens: Tokens to read.
        output_tokens: Estimate of the tokens to write.
        target_left_s: Time left to a first event that is on time; negative
            when it is already late.
        patience_left_s: Time left to a first event before the caller leaves.
        time_left_s: Time until the caller must have been answered.
        max_gap_s: Longest pause between events that is on time; 0 when any is.
    """

    prompt_tokens: int
    output_tokens: int
    target_left_s: float
    patience_left_s: float
    time_left_s: float
    max_gap_s: float


class Candidate(NamedTuple):
    """An engine that may be chosen.

    Attributes:
        engine: Its upstream id.
        state: Its load.
        slots: Requests it runs at a time.
        distance_s: Time to reach it, one way.
        preference: Order among equal engines; differs between gateways, so
            that they don't choose the same idle engine at a time.
        slowdown: Factor by which it is slower than nominal; 1 when it is not.
    """

    engine: str
    state: engine_load.EngineState
    slots: int
    distance_s: float
    preference: int
    slowdown: float


class Choice(NamedTuple):
    """Where a request goes.

    Attributes:
        engine: Engine that writes.
        helpers: Engines that read a part.
        prefill_part_s: Time of each engine's part.
        reserved_tokens: Memory to set aside on each helper; 0 for none.
        first_event_s: Estimated time to the first event.
        on_time: Whether first event and all pauses are expected on time.
    """

    engine: str
    helpers: tuple[str, ...]
    prefill_part_s: float
    reserved_tokens: int
    first_event_s: float
    on_time: bool


class _Capacity(NamedTuple):
    """What a candidate can take on now.

    Attributes:
        candidate: The engine.
        wait_s: Time until its pass under way ends.
        next_pass_s: Time of its next pass without the new read.
        slack_s: Longest read that makes nobody else late.
        kv_free: Memory that is free, in tokens.
        slots_free: Requests that it can take.
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
    row = candidate.state
    pace = candidate.slowdown
    forecast = row.forecast(model, now, GAP_MARGIN_S, TARGET_MARGIN_S)
    return _Capacity(
        candidate,
        pace * forecast.wait_s,
        pace * forecast.next_pass_s,
        forecast.slack_s / pace,
        int(model.kv_tokens * KV_USABLE_SHARE) - row.kv_tokens,
        candidate.slots - len(row.runs),
    )


def choose(
    needs: RequestNeeds,
    candidates: Sequence[Candidate],
    model: fleet_config.EngineCostModel,
    now: float,
) -> Choice | None:
    """Returns the best place that is on time and delays nobody, or None.

    Args:
        needs: The request.
        candidates: Engines that may be used.
        model: Their cost model.
        now: Monotonic time in seconds.
    """
    capacities = [_capacity(candidate, model, now) for candidate in candidates]
    for helpers in _helper_counts(needs, len(capacities), model):
        choice = _with_helpers(needs, capacities, model, helpers, _by_fullness)
        if choice is not None:
            return choice
    return None


def min_engines(
    needs: RequestNeeds, model: fleet_config.EngineCostModel
) -> int:
    """Returns the engines that the prompt's memory needs."""
    total = needs.prompt_tokens + needs.output_tokens
    return math.ceil(total / (model.kv_tokens * KV_USABLE_SHARE))


def _reserved_tokens(
    needs: RequestNeeds, model: fleet_config.EngineCostModel, helpers: int
) -> int:
    """Returns the memory to set aside on each helper, 0 for none."""
    if min_engines(needs, model) <= 1:
        return 0
    total = needs.prompt_tokens + needs.output_tokens
    return math.ceil(total / (helpers + 1))


def _with_helpers(
    needs: RequestNeeds,
    capacities: Sequence[_Capacity],
    model: fleet_config.EngineCostModel,
    helpers: int,
    order: Callable[[_Capacity], tuple[float, float, int]],
) -> Choice | None:
    """Returns a choice with exactly so many helpers, or None."""
    prefill_part_s = engine_costs.prefill_part_s(
        model, needs.prompt_tokens, helpers + 1
    )
    reserved = _reserved_tokens(needs, model, helpers)
    total = needs.prompt_tokens + needs.output_tokens
    own_tokens = total - reserved * helpers
    latest_s = needs.target_left_s - TARGET_MARGIN_S
    fitting = [
        capacity
        for capacity in capacities
        if capacity.slack_s >= prefill_part_s
        and capacity.kv_free >= reserved
        and _first_event_s(capacity, prefill_part_s) <= latest_s
    ]
    if len(fitting) < helpers + 1:
        return None
    writers = [
        capacity
        for capacity in fitting
        if capacity.slots_free > 0
        and capacity.kv_free >= own_tokens
        and _gap_fits(needs, capacity, model)
    ]
    if not writers:
        return None
    writer = min(writers, key=order)
    readers = sorted(
        (capacity for capacity in fitting if capacity is not writer), key=order
    )[:helpers]
    first_s = max(
        _first_event_s(capacity, prefill_part_s)
        for capacity in [writer, *readers]
    )
    return Choice(
        writer.candidate.engine,
        tuple(capacity.candidate.engine for capacity in readers),
        prefill_part_s,
        reserved,
        first_s,
        True,
    )


def _gap_fits(
    needs: RequestNeeds,
    capacity: _Capacity,
    model: fleet_config.EngineCostModel,
) -> bool:
    """Whether the request's own pauses are on time beside the others."""
    if needs.max_gap_s <= 0:
        return True
    row = capacity.candidate.state
    pass_s = capacity.candidate.slowdown * engine_costs.decode_pass_s(
        model, len(row.runs) + 1, row.context_tokens + needs.prompt_tokens
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


def _by_fullness(capacity: _Capacity) -> tuple[float, float, int]:
    """Orders engines: the nearest first, then the least slack.

    Gateways of different data centres then rarely choose the same engine at a
    time, before they have heard of each other's choice.
    """
    candidate = capacity.candidate
    return (candidate.distance_s, capacity.slack_s, candidate.preference)


def _by_wait(capacity: _Capacity) -> tuple[float, float, int]:
    """Orders engines: the least wait first, then the nearest."""
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
    """Returns the soonest place for a request that is late anyway, or None.

    It delays no writer elsewhere, its first event must come before the caller
    gives up, and its last one before the caller's time ends: an answer cut off
    earns nothing, and its engines are missed by others.

    Args:
        needs: The request.
        candidates: Engines that may be used.
        model: Their cost model.
        now: Monotonic time in seconds.
        spare_slots: Slots of each engine that it leaves free.
    """
    capacities = [
        capacity._replace(slots_free=capacity.slots_free - spare_slots)
        for capacity in (
            _capacity(candidate, model, now) for candidate in candidates
        )
    ]
    write_s = engine_costs.decode_s(
        model, needs.output_tokens, 1, needs.prompt_tokens
    )
    late = needs._replace(
        target_left_s=min(needs.patience_left_s, needs.time_left_s - write_s)
    )
    best: Choice | None = None
    for helpers in _helper_counts(needs, len(capacities), model):
        choice = _with_helpers(late, capacities, model, helpers, _by_wait)
        if choice is None:
            continue
        if best is None or choice.first_event_s < best.first_event_s:
            best = choice
    return best._replace(on_time=False) if best is not None else None


def _helper_counts(
    needs: RequestNeeds, engines: int, model: fleet_config.EngineCostModel
) -> range:
    """Returns the numbers of helpers that are worth a look."""
    whole_s = engine_costs.prefill_s(model, needs.prompt_tokens)
    least = min_engines(needs, model) - 1
    most = min(
        MAX_HELPERS, engines - 1, max(int(whole_s / MIN_PREFILL_PART_S), least)
    )
    return range(least, most + 1)


def min_prefill_s(
    needs: RequestNeeds, model: fleet_config.EngineCostModel, engines: int
) -> float:
    """Returns the time to read a prompt on idle engines, all helper_runs."""
    helpers = _helper_counts(needs, engines, model)
    count = helpers[-1] if helpers else 0
    return engine_costs.prefill_part_s(model, needs.prompt_tokens, count + 1)


def min_service_s(
    needs: RequestNeeds, model: fleet_config.EngineCostModel, engines: int
) -> float:
    """Returns the time to serve a request on idle engines, all helper_runs."""
    write = engine_costs.decode_s(
        model, needs.output_tokens, 1, needs.prompt_tokens
    )
    return min_prefill_s(needs, model, engines) + write
