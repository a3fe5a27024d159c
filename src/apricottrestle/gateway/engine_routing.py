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

KV_MARGIN: Final = 0.97
"""Share of an engine's memory that is planned with; blocks are rounded up."""

MIN_PART_S: Final = 0.08
"""Least part of a read that is worth another engine: below it, the engines'
passes and the network outweigh the gain."""


class Ask(NamedTuple):
    """What a request needs.

    Attributes:
        prompt_tokens: Tokens to read.
        output_tokens: Estimate of the tokens to write.
        target_left_s: Time left to a first event that is on time; negative
            when it is already late.
        patience_left_s: Time left to a first event before the caller leaves.
        time_left_s: Time until the caller must have been answered.
        gap_s: Longest pause between events that is on time; 0 when any is.
    """

    prompt_tokens: int
    output_tokens: int
    target_left_s: float
    patience_left_s: float
    time_left_s: float
    gap_s: float


class Candidate(NamedTuple):
    """An engine that may be chosen.

    Attributes:
        engine: Its upstream id.
        row: Its load.
        slots: Requests it runs at a time.
        distance_s: Time to reach it, one way.
        preference: Order among equal engines; differs between gateways, so
            that they don't choose the same idle engine at a time.
        pace: Factor by which it is slower than nominal; 1 when it is not.
    """

    engine: str
    row: engine_load.EngineState
    slots: int
    distance_s: float
    preference: int
    pace: float


class Choice(NamedTuple):
    """Where a request goes.

    Attributes:
        engine: Engine that writes.
        helpers: Engines that read a part.
        part_s: Time of each engine's part.
        held_tokens: Memory to set aside on each helper; 0 for none.
        first_event_s: Estimated time to the first event.
        on_time: Whether first event and all pauses are expected on time.
    """

    engine: str
    helpers: tuple[str, ...]
    part_s: float
    held_tokens: int
    first_event_s: float
    on_time: bool


class _Room(NamedTuple):
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


def _room(
    candidate: Candidate, model: fleet_config.EngineCostModel, now: float
) -> _Room:
    row = candidate.row
    pace = candidate.pace
    forecast = row.forecast(model, now, GAP_MARGIN_S, TARGET_MARGIN_S)
    return _Room(
        candidate,
        pace * forecast.wait_s,
        pace * forecast.next_pass_s,
        forecast.slack_s / pace,
        int(model.kv_tokens * KV_MARGIN) - row.kv_tokens,
        candidate.slots - len(row.runs),
    )


def choose(
    ask: Ask,
    candidates: Sequence[Candidate],
    model: fleet_config.EngineCostModel,
    now: float,
) -> Choice | None:
    """Returns the best place that is on time and delays nobody, or None.

    Args:
        ask: The request.
        candidates: Engines that may be used.
        model: Their cost model.
        now: Monotonic time in seconds.
    """
    rooms = [_room(candidate, model, now) for candidate in candidates]
    for helpers in _helper_counts(ask, len(rooms), model):
        choice = _with_helpers(ask, rooms, model, helpers, _fullness)
        if choice is not None:
            return choice
    return None


def least_engines(ask: Ask, model: fleet_config.EngineCostModel) -> int:
    """Returns the engines that the prompt's memory needs."""
    total = ask.prompt_tokens + ask.output_tokens
    return math.ceil(total / (model.kv_tokens * KV_MARGIN))


def _held_tokens(
    ask: Ask, model: fleet_config.EngineCostModel, helpers: int
) -> int:
    """Returns the memory to set aside on each helper, 0 for none."""
    if least_engines(ask, model) <= 1:
        return 0
    total = ask.prompt_tokens + ask.output_tokens
    return math.ceil(total / (helpers + 1))


def _with_helpers(
    ask: Ask,
    rooms: Sequence[_Room],
    model: fleet_config.EngineCostModel,
    helpers: int,
    order: Callable[[_Room], tuple[float, float, int]],
) -> Choice | None:
    """Returns a choice with exactly so many helpers, or None."""
    part_s = engine_costs.prefill_part_s(model, ask.prompt_tokens, helpers + 1)
    held = _held_tokens(ask, model, helpers)
    total = ask.prompt_tokens + ask.output_tokens
    own_tokens = total - held * helpers
    latest_s = ask.target_left_s - TARGET_MARGIN_S
    fitting = [
        room
        for room in rooms
        if room.slack_s >= part_s
        and room.kv_free >= held
        and _first_event_s(room, part_s) <= latest_s
    ]
    if len(fitting) < helpers + 1:
        return None
    writers = [
        room
        for room in fitting
        if room.slots_free > 0
        and room.kv_free >= own_tokens
        and _gap_fits(ask, room, model)
    ]
    if not writers:
        return None
    writer = min(writers, key=order)
    readers = sorted(
        (room for room in fitting if room is not writer), key=order
    )[:helpers]
    first_s = max(_first_event_s(room, part_s) for room in [writer, *readers])
    return Choice(
        writer.candidate.engine,
        tuple(room.candidate.engine for room in readers),
        part_s,
        held,
        first_s,
        True,
    )


def _gap_fits(
    ask: Ask, room: _Room, model: fleet_config.EngineCostModel
) -> bool:
    """Whether the request's own pauses are on time beside the others."""
    if ask.gap_s <= 0:
        return True
    row = room.candidate.row
    pass_s = room.candidate.pace * engine_costs.decode_pass_s(
        model, len(row.runs) + 1, row.context_tokens + ask.prompt_tokens
    )
    return pass_s + GAP_MARGIN_S <= ask.gap_s


def _first_event_s(room: _Room, part_s: float) -> float:
    candidate = room.candidate
    return (
        room.wait_s
        + room.next_pass_s
        + candidate.pace * part_s
        + 2 * candidate.distance_s
    )


def _fullness(room: _Room) -> tuple[float, float, int]:
    """Orders engines: the nearest first, then the least slack.

    Gateways of different data centres then rarely choose the same engine at a
    time, before they have heard of each other's choice.
    """
    candidate = room.candidate
    return (candidate.distance_s, room.slack_s, candidate.preference)


def _soonness(room: _Room) -> tuple[float, float, int]:
    """Orders engines: the least wait first, then the nearest."""
    candidate = room.candidate
    wait_s = room.wait_s + room.next_pass_s
    return (wait_s, candidate.distance_s, candidate.preference)


def least_late(
    ask: Ask,
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
        ask: The request.
        candidates: Engines that may be used.
        model: Their cost model.
        now: Monotonic time in seconds.
        spare_slots: Slots of each engine that it leaves free.
    """
    rooms = [
        room._replace(slots_free=room.slots_free - spare_slots)
        for room in (_room(candidate, model, now) for candidate in candidates)
    ]
    write_s = engine_costs.decode_s(
        model, ask.output_tokens, 1, ask.prompt_tokens
    )
    late = ask._replace(
        target_left_s=min(ask.patience_left_s, ask.time_left_s - write_s)
    )
    best: Choice | None = None
    for helpers in _helper_counts(ask, len(rooms), model):
        choice = _with_helpers(late, rooms, model, helpers, _soonness)
        if choice is None:
            continue
        if best is None or choice.first_event_s < best.first_event_s:
            best = choice
    return best._replace(on_time=False) if best is not None else None


def _helper_counts(
    ask: Ask, engines: int, model: fleet_config.EngineCostModel
) -> range:
    """Returns the numbers of helpers that are worth a look."""
    whole_s = engine_costs.prefill_s(model, ask.prompt_tokens)
    least = least_engines(ask, model) - 1
    most = min(MAX_HELPERS, engines - 1, max(int(whole_s / MIN_PART_S), least))
    return range(least, most + 1)


def soonest_read_s(
    ask: Ask, model: fleet_config.EngineCostModel, engines: int
) -> float:
    """Returns the time to read a prompt on idle engines, all helper_runs."""
    helpers = _helper_counts(ask, engines, model)
    count = helpers[-1] if helpers else 0
    return engine_costs.prefill_part_s(model, ask.prompt_tokens, count + 1)


def shortest_service_s(
    ask: Ask, model: fleet_config.EngineCostModel, engines: int
) -> float:
    """Returns the time to serve a request on idle engines, all helper_runs."""
    write = engine_costs.decode_s(
        model, ask.output_tokens, 1, ask.prompt_tokens
    )
    return soonest_read_s(ask, model, engines) + write
