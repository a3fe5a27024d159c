"""Tests the simulated load of engines and the choice of engines."""

import math

import hypothesis
import pytest
from hypothesis import strategies

from apricottrestle.gateway import (
    engine_costs,
    engine_load,
    engine_pace,
    engine_routing,
)
from tests import gateway_parts

MODEL = gateway_parts.ENGINE
SHORT = engine_routing.RequestNeeds(5_000, 1_600, 0.25, 2.0, 10.0, 0.25)
MIDDLE = engine_routing.RequestNeeds(45_000, 1_000, 1.5, 6.0, 10.0, 0.6)
LONG = engine_routing.RequestNeeds(154_000, 800, 6.0, 24.0, 15.0, 1.0)
HUGE = engine_routing.RequestNeeds(700_000, 800, 6.0, 24.0, 15.0, 1.0)


def _candidates(
    load: engine_load.EngineLoad, count: int
) -> list[engine_routing.Candidate]:
    return [
        engine_routing.Candidate(f"e{n}", load.state(f"e{n}"), 8, 0.0, n, 1.0)
        for n in range(count)
    ]


def _new_run(
    run_id: str,
    needs: engine_routing.RequestNeeds,
    choice: engine_routing.Choice,
) -> engine_load.Run:
    return engine_load.Run(
        run_id,
        choice.engine,
        choice.helpers,
        needs.prompt_tokens,
        needs.output_tokens,
        choice.prefill_part_s,
        choice.reserved_tokens,
        needs.max_gap_s,
        needs.target_left_s,
        False,
    )


def _decoding_run(run_id: str, engine: str) -> engine_load.Run:
    """Returns a run that decodes a short answer."""
    return engine_load.Run(
        run_id, engine, (), 5_000, 1_600, 0.03, 0, 0.25, 0.2, True
    )


def _choose_and_add(
    load: engine_load.EngineLoad,
    needs: engine_routing.RequestNeeds,
    engines: int,
    now: float,
    run_id: str,
) -> engine_routing.Choice | None:
    choice = engine_routing.choose(
        needs, _candidates(load, engines), MODEL, now
    )
    if choice is not None:
        load.add_run(_new_run(run_id, needs, choice), now)
    return choice


@pytest.mark.parametrize(
    ("tokens", "expected_s"),
    [(5_000, 0.0306), (45_000, 0.4405), (154_000, 3.052), (700_000, 49.03)],
)
def test_prefill_time_follows_the_published_cost_model(
    tokens: int, expected_s: float
) -> None:
    """Guards the prefill estimate that every choice is based on."""
    assert engine_costs.prefill_s(MODEL, tokens) == pytest.approx(
        expected_s, rel=0.01
    )


@pytest.mark.parametrize(
    ("tokens", "engines", "expected_s"),
    [(154_000, 1, 3.116), (154_000, 4, 0.779), (2_048, 1, 0.0128)],
)
def test_each_chunk_of_a_prompt_costs_a_step(
    tokens: int, engines: int, expected_s: float
) -> None:
    """Guards long prompts against an estimate that is a step short per chunk.

    An engine that reads a long prompt alone took up to 0.15 s longer than
    estimated, and prompts were placed with less than that to spare.
    """
    part_s = engine_costs.prefill_part_s(MODEL, tokens, engines)
    assert part_s == pytest.approx(expected_s, rel=0.005)


def test_short_prompts_fill_an_engine_before_using_another() -> None:
    """Guards against short prompts on all engines, which block long ones."""
    load = engine_load.EngineLoad()
    used = set()
    for number in range(5):
        choice = _choose_and_add(load, SHORT, 10, number * 0.3, f"r{number}")
        assert choice is not None
        load.mark_decoding(f"r{number}")
        used.add(choice.engine)
    assert len(used) == 1


def test_burst_of_short_prompts_is_spread_to_meet_its_target() -> None:
    """Guards against late first events in a burst on a single engine.

    Prefills in the same scheduling pass delay each other.
    """
    load = engine_load.EngineLoad()
    for number in range(20):
        choice = _choose_and_add(load, SHORT, 10, 0.0, f"r{number}")
        assert choice is not None
        assert choice.first_event_s <= SHORT.target_left_s
    for number in range(10):
        prefill_s = 0.0306 * len(load.state(f"e{number}").runs)
        assert prefill_s < SHORT.target_left_s


def test_long_prompt_avoids_engines_that_decode_short_answers() -> None:
    """Guards short answers against a gap as long as a prefill of seconds."""
    load = engine_load.EngineLoad()
    for number in range(6):
        _choose_and_add(load, SHORT, 4, number * 0.3, f"r{number}")
        load.mark_decoding(f"r{number}")
    busy = {f"e{n}" for n in range(4) if load.state(f"e{n}").runs}
    choice = engine_routing.choose(LONG, _candidates(load, 4), MODEL, 2.0)
    assert choice is not None
    assert not busy & {choice.engine, *choice.helpers}


def test_middle_prompt_is_split_when_no_engine_is_idle() -> None:
    """Guards against a refusal, or late events of the short answers."""
    load = engine_load.EngineLoad()
    for number in range(6):
        load.add_run(_decoding_run(f"r{number}", f"e{number}"), 0.0)
    choice = engine_routing.choose(MIDDLE, _candidates(load, 6), MODEL, 0.1)
    assert choice is not None
    assert choice.helpers
    steps_s = engine_costs.decode_pass_s(MODEL, 2, 50_000)
    assert choice.prefill_part_s + steps_s < 0.25


def test_prompt_larger_than_one_kv_cache_reserves_memory_on_helpers() -> None:
    """Guards the longest prompts against rejection by every engine."""
    load = engine_load.EngineLoad()
    choice = engine_routing.choose(
        HUGE._replace(target_left_s=15.0), _candidates(load, 14), MODEL, 0.0
    )
    assert choice is not None
    engines = 1 + len(choice.helpers)
    assert choice.reserved_tokens * len(choice.helpers) < HUGE.prompt_tokens
    own = HUGE.prompt_tokens - choice.reserved_tokens * len(choice.helpers)
    assert own <= MODEL.kv_tokens
    assert choice.reserved_tokens <= MODEL.kv_tokens
    assert engines >= 3


def test_no_engine_is_chosen_if_running_requests_become_late() -> None:
    """Guards the answers in progress when all engines are full."""
    load = engine_load.EngineLoad()
    for number in range(MODEL.slots):
        load.add_run(_decoding_run(f"r{number}", "e0"), 0.0)
    for needs in (SHORT, LONG):
        engines = _candidates(load, 1)
        assert engine_routing.choose(needs, engines, MODEL, 0.1) is None


@pytest.mark.parametrize(
    ("running", "distances_s", "expected"),
    [
        ((7, 4), (0.0, 0.0), 1),
        ((6, 5), (0.0, 0.0), 1),
        ((6, 4), (0.0, 0.0049), 1),
        ((7, 6), (0.0, 0.0049), 1),
        ((5, 2), (0.0, 0.0), 0),
        ((5, 2), (0.0, 0.0049), 0),
        ((7, 7), (0.0049, 0.0), 1),
    ],
    ids=[
        "last slot",
        "last but one",
        "last but one, near",
        "last, near",
        "enough slots: least slack",
        "enough slots: nearest",
        "all contested: nearest",
    ],
)
def test_last_slots_of_an_engine_are_avoided(
    running: tuple[int, int], distances_s: tuple[float, float], expected: int
) -> None:
    """Guards short prompts against a wait for the end of a whole answer.

    The load is a burst of short prompts at many gateways. Two of them that
    choose an engine's last slot within the delay of a message put one request
    too many there.
    """
    load = engine_load.EngineLoad()
    for engine, count in enumerate(running):
        for number in range(count):
            load.add_run(
                _decoding_run(f"r{engine}-{number}", f"e{engine}"), 0.0
            )
    engines = [
        candidate._replace(distance_s=distance_s)
        for candidate, distance_s in zip(
            _candidates(load, 2), distances_s, strict=True
        )
    ]
    choice = engine_routing.choose(SHORT, engines, MODEL, 0.1)
    assert choice is not None
    assert choice.engine == f"e{expected}"


def test_slow_engine_is_avoided() -> None:
    """Guards against choosing an engine five times slower than published."""
    load = engine_load.EngineLoad()
    slow, sound = _candidates(load, 2)
    choice = engine_routing.choose(
        MIDDLE, [slow._replace(slowdown=5.0), sound], MODEL, 0.0
    )
    assert choice is not None
    assert choice.engine == sound.engine


def test_events_correct_the_simulated_passes() -> None:
    """Guards against a simulation that drifts from the engine's passes."""
    load = engine_load.EngineLoad()
    _choose_and_add(load, SHORT, 1, 0.0, "r0")
    row = load.state("e0")
    load.mark_decoding("r0")
    row.record_event(MODEL, 0.05, 0.05)
    steps_s = engine_costs.decode_pass_s(MODEL, 1, SHORT.prompt_tokens)
    forecast = row.forecast(MODEL, 0.05 + steps_s / 2, 0.0, 0.0)
    assert forecast.wait_s == pytest.approx(steps_s / 2, abs=1e-3)
    early = 0.05 + 0.8 * steps_s
    row.record_event(MODEL, early, early)
    forecast = row.forecast(MODEL, early, 0.0, 0.0)
    assert forecast.wait_s == pytest.approx(steps_s, rel=0.05)


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from(["start", "wrote", "end", "event"]),
            strategies.integers(0, 12),
            strategies.sampled_from([SHORT, MIDDLE, LONG, HUGE]),
            strategies.floats(0.0, 2.0),
        ),
        max_size=60,
    )
)
def test_removed_runs_leave_no_load(
    steps: list[tuple[str, int, engine_routing.RequestNeeds, float]],
) -> None:
    """Guards against load that is never removed and infinite estimates."""
    load = engine_load.EngineLoad()
    now = 0.0
    for action, number, needs, delay_s in steps:
        now += delay_s
        run_id = f"r{number}"
        if action == "start" and load.get_run(run_id) is None:
            _choose_and_add(load, needs, 6, now, run_id)
        elif action == "wrote":
            load.mark_decoding(run_id)
        elif action == "end":
            load.remove_run(run_id)
        elif action == "event":
            load.state(f"e{number % 6}").record_event(MODEL, now, now)
        for engine in range(6):
            forecast = load.state(f"e{engine}").forecast(MODEL, now, 0.05, 0.04)
            assert 0 <= forecast.wait_s < math.inf
            assert 0 <= forecast.next_pass_s < math.inf
    for number in range(13):
        load.remove_run(f"r{number}")
    for engine in range(6):
        row = load.state(f"e{engine}")
        assert row.idle
        assert row.kv_tokens == row.context_tokens == 0
        later = row.forecast(MODEL, now + 60.0, 0.05, 0.04)
        assert later.wait_s == later.next_pass_s == 0
        assert later.slack_s == math.inf


def test_engines_of_the_same_data_centre_are_preferred() -> None:
    """Guards against gateways that choose the same engine simultaneously."""
    load = engine_load.EngineLoad()
    far, near = _candidates(load, 2)
    load.add_run(_decoding_run("r0", far.engine), 0.0)
    choice = engine_routing.choose(
        SHORT, [far._replace(distance_s=0.001), near], MODEL, 0.1
    )
    assert choice is not None
    assert choice.engine == near.engine


def test_late_request_takes_the_earliest_first_event() -> None:
    """Guards late requests against the engine with the longest prefill.

    The simulated burst of short requests (zimska-trgatev, seed 1) queued a late
    request for 4.7 s behind a long prefill; its caller disconnects after 2 s.
    """
    load = engine_load.EngineLoad()
    long_run = engine_load.Run(
        "r0", "e0", (), 200_000, 800, 4.7, 0, 1.0, 6.0, False
    )
    load.add_run(long_run, 0.0)
    for number in range(MODEL.slots - 1):
        load.add_run(_decoding_run(f"r1{number}", "e1"), 0.0)
    late = SHORT._replace(target_left_s=-0.1)
    choice = engine_routing.choose_earliest(
        late, _candidates(load, 2), MODEL, 0.1
    )
    assert choice is not None
    assert choice.engine == "e1"
    assert not choice.on_time
    only_long = _candidates(load, 1)
    assert engine_routing.choose_earliest(late, only_long, MODEL, 0.1) is None


@pytest.mark.parametrize(
    ("running", "spare", "expected"),
    [(7, 0, "e0"), (7, 1, None), (6, 1, "e0"), (6, 2, None), (5, 2, "e0")],
)
def test_late_request_leaves_slots_to_requests_on_time(
    running: int, spare: int, expected: str | None
) -> None:
    """Guards requests on time against late ones that occupy all slots.

    In a simulated overload by a single team, late requests took each slot as it
    became free, and the requests earned 0.34 of their total worth.
    """
    load = engine_load.EngineLoad()
    for number in range(running):
        load.add_run(_decoding_run(f"r{number}", "e0"), 0.0)
    late = SHORT._replace(target_left_s=-0.1)
    choice = engine_routing.choose_earliest(
        late, _candidates(load, 1), MODEL, 0.1, spare
    )
    assert (choice.engine if choice else None) == expected


def test_slow_engine_is_detected_and_tried_again() -> None:
    """Guards against requests for a slow engine and its permanent exclusion."""
    slowdowns = engine_pace.EngineSlowdowns()
    for number in range(6):
        slowdowns.record_gap("e0", 0.25, 0.05, number * 0.25)
        slowdowns.record_gap(
            "e1", 0.05 if number % 2 else 0.4, 0.05, number * 0.25
        )
    assert slowdowns.slowdown("e0", 1.3) > 4
    assert slowdowns.slowdown("e1", 1.3) == 1.0
    assert slowdowns.own_slowdowns(1.3) == {"e0": 5.0}
    assert slowdowns.slowdown("e0", 20.0) == 1.0
    for number in range(engine_pace.GAP_SAMPLES):
        slowdowns.record_gap("e0", 0.05, 0.05, 1.4 + number * 0.05)
    assert slowdowns.slowdown("e0", 1.6) == 1.0


def test_overdue_first_event_counts_as_a_slowdown() -> None:
    """Guards a burst against an engine that has just become slow."""
    slowdowns = engine_pace.EngineSlowdowns()
    slowdowns.expect_first_event("e0", "r0", 0.1, 0.0)
    assert slowdowns.slowdown("e0", 0.15) == 1.0
    assert slowdowns.slowdown("e0", 0.4) > engine_pace.NOISE_FACTOR
    slowdowns.clear_expected("e0", "r0")
    assert slowdowns.slowdown("e0", 0.5) == 1.0


def test_slowdowns_from_peers_are_not_sent_on() -> None:
    """Guards against gateways that keep each other's old observations alive."""
    slowdowns = engine_pace.EngineSlowdowns()
    slowdowns.merge_peer("e0", 5.0, 0.0)
    assert slowdowns.slowdown("e0", 0.1) > 4
    assert slowdowns.own_slowdowns(0.1) == {}
