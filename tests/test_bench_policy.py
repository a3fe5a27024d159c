"""Tests the policy benchmark and, in short runs, the design targets."""

from typing import Any

import pytest
from bench import engine_model, fleet_model, run, scenarios, workload

from apricottrestle import queueing_fair

FLOORS = queueing_fair.QueueSettings().floors


def measure(scenario: scenarios.Scenario, seed: int = 1) -> dict[str, Any]:
    return run.measure_scenario(scenario, seed)


def test_same_seed_gives_the_same_measures() -> None:
    """Fails when benchmark results can't be reproduced from their seed."""
    scenario = scenarios.steady(scenarios.SHIPPED, 0.7, span_s=30.0)
    first = measure(scenario)
    assert measure(scenario) == first
    assert measure(scenario, seed=2) != first


@pytest.mark.parametrize(
    "scenario",
    [
        scenarios.engine_down(scenarios.SHIPPED),
        scenarios.failing_engines(scenarios.SHIPPED),
        scenarios.class_flood(scenarios.SHIPPED, 2, 2),
        scenarios.class_flood(scenarios.BASELINES[2], 0, 2),
    ],
)
def test_every_request_ends_once_and_frees_its_memory(
    scenario: scenarios.Scenario,
) -> None:
    """Fails when the simulation leaks KV memory.

    A leak would look like a slow policy in the results.
    """
    fleet = scenario.fleet
    capacity = fleet.engines * engine_model.NOMINAL_TOKENS_PER_S
    table = workload.arrivals(
        3,
        load_tokens_per_s=0.7 * capacity,
        duration_s=scenario.duration_s,
        idle_prefill_s_per_token=engine_model.IDLE_PREFILL_S_PER_TOKEN,
        floods=scenario.floods,
        capacity_tokens_per_s=capacity,
    )
    simulation = fleet_model.Simulation(
        fleet, scenario.policy, 3, scenario.faults
    )
    outcomes = simulation.run(table)
    assert [o.arrival for o in outcomes] == table
    states = {o.state for o in outcomes}
    assert states <= {"ok", "refused", "late", "failed"}
    limits = [o.end_s - o.arrival.time_limit_s for o in outcomes]
    assert max(limits) <= 0.1
    assert [engine.kv_used for engine in simulation.engines()] == [0] * 14


def test_workload_has_the_requested_load_and_lengths() -> None:
    """Checks the offered load, and that 2% of prompts exceed 100k tokens."""
    table = workload.arrivals(
        1,
        load_tokens_per_s=300_000.0,
        duration_s=600.0,
        idle_prefill_s_per_token=4e-5,
    )
    tokens = [row.prompt_tokens for row in table]
    assert sum(tokens) == pytest.approx(300_000 * 600, rel=0.01)
    assert min(tokens) >= 1_000
    assert max(tokens) <= 1_000_000
    long = sum(count > 100_000 for count in tokens) / len(tokens)
    assert long == pytest.approx(0.02, rel=0.1)


@pytest.mark.parametrize("fleet", [0, 1])
def test_first_token_and_token_gap_at_70_percent(fleet: int) -> None:
    """Checks the targets: p95 of 0.73 s to first token, 49 ms token gap."""
    scenario = scenarios.steady(scenarios.SHIPPED, 0.7, fleet, span_s=80.0)
    short = measure(scenario)["lengths"]["up to 8k"]
    assert short["first_s"][1] <= 0.73
    assert short["token_gap_s"][1] <= 0.049
    assert short["ok"] == 1.0


@pytest.mark.parametrize("fleet", [0, 1])
def test_slowdown_at_80_percent(fleet: int) -> None:
    """Checks the target of 2 on engines that honour priorities.

    On engines that share prefill chunks equally the slowdown exceeds 2, so
    there the bound is a fifth of the slowdown with least outstanding routing.
    """
    slowdown = [
        measure(scenarios.steady(policy, 0.8, fleet, span_s=80.0))["lengths"][
            "1k-4k"
        ]["first_slowdown"][1]
        for policy in (
            scenarios.ENGINE_VARIANTS[0],
            scenarios.SHIPPED,
            scenarios.BASELINES[2],
        )
    ]
    assert slowdown[0] <= 2.0
    assert slowdown[1] <= slowdown[2] / 5


@pytest.mark.parametrize("fleet", [0, 1])
def test_floors_hold_in_a_flood_of_the_most_urgent_class(fleet: int) -> None:
    """Checks the target: each other class keeps 95% of its floor."""
    scenario = scenarios.class_flood(scenarios.SHIPPED, 0, 5, fleet)
    shares = measure(scenario)["token shares by class"]
    assert shares[1] >= 0.95 * FLOORS[1]
    assert shares[2] >= 0.95 * FLOORS[2]


def test_goodput_holds_in_a_flood_of_the_least_urgent_class() -> None:
    """Checks the target: at least 95% of the goodput at full load."""
    flood = measure(scenarios.class_flood(scenarios.SHIPPED, 2, 5))
    full = measure(scenarios.flood_reference(scenarios.SHIPPED, 1.0))
    name = "goodput output tokens/s"
    assert flood[name] >= 0.95 * full[name]


def test_engine_model_shares_chunks_by_prefill_order() -> None:
    """Checks a short prefill next to a long one for each prefill order."""
    first_token_s = {}
    orders: tuple[engine_model.PrefillOrder, ...] = (
        "shared",
        "serial",
        "priority",
    )
    for order in orders:
        engine = engine_model.Engine(order)
        engine.start_prefill("long", 100_000, 10, 3)
        engine.start_prefill("short", 1_024, 10, 0)
        while "short" in engine.prefills:
            event_s = engine.next_event_s()
            assert event_s is not None
            engine.advance(event_s)
            first_token_s[order] = event_s
    iteration_s = engine_model.CHUNK_S + engine_model.ITERATION_BASE_S
    assert first_token_s["shared"] == pytest.approx(2 * iteration_s)
    assert first_token_s["priority"] == pytest.approx(iteration_s)
    after_long = iteration_s + engine_model.DECODE_S_PER_REQUEST
    assert first_token_s["serial"] == pytest.approx(
        100_000 / 1_024 * iteration_s + after_long
    )
