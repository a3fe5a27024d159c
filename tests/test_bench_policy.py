"""Guards the bench itself, and the targets of the design page in short runs."""

from typing import Any

import pytest
from bench import engine_model, fleet_model, run, scenarios, workload

from apricottrestle import queueing_fair

FLOORS = queueing_fair.QueueSettings().floors


def measures(scenario: scenarios.Scenario, seed: int = 1) -> dict[str, Any]:
    return run.measure(scenario, seed)


def test_same_seed_gives_the_same_measures() -> None:
    """Guards against figures that can't be reproduced."""
    scenario = scenarios.steady(scenarios.SHIPPED, 0.7, span_s=30.0)
    first = measures(scenario)
    assert measures(scenario) == first
    assert measures(scenario, seed=2) != first


@pytest.mark.parametrize(
    "scenario",
    [
        scenarios.down(scenarios.SHIPPED),
        scenarios.failing(scenarios.SHIPPED),
        scenarios.class_flood(scenarios.SHIPPED, 2, 2),
        scenarios.class_flood(scenarios.BASELINES[2], 0, 2),
    ],
)
def test_every_request_ends_once_and_gives_back_its_memory(
    scenario: scenarios.Scenario,
) -> None:
    """Guards the model: lost memory would pass for a slow policy."""
    fleet = scenario.fleet
    capacity = fleet.engines * engine_model.NOMINAL_TOKENS_PER_S
    table = workload.arrivals(
        3,
        load_tokens_per_s=0.7 * capacity,
        duration_s=scenario.duration_s,
        alone_s_per_token=engine_model.ALONE_S_PER_TOKEN,
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


def test_table_offers_the_wanted_load_and_lengths() -> None:
    """Guards the workload: load, and 1 prompt in 50 over 100k tokens."""
    table = workload.arrivals(
        1,
        load_tokens_per_s=300_000.0,
        duration_s=600.0,
        alone_s_per_token=4e-5,
    )
    tokens = [row.prompt_tokens for row in table]
    assert sum(tokens) == pytest.approx(300_000 * 600, rel=0.01)
    assert min(tokens) >= 1_000
    assert max(tokens) <= 1_000_000
    long = sum(count > 100_000 for count in tokens) / len(tokens)
    assert long == pytest.approx(0.02, rel=0.1)


@pytest.mark.parametrize("fleet", [0, 1])
def test_first_token_and_token_gap_at_70_percent(fleet: int) -> None:
    """Guards the target: first token in 0.73 s, 49 ms between tokens."""
    scenario = scenarios.steady(scenarios.SHIPPED, 0.7, fleet, span_s=80.0)
    short = measures(scenario)["lengths"]["up to 8k"]
    assert short["first_s"][1] <= 0.73
    assert short["token_gap_s"][1] <= 0.049
    assert short["ok"] == 1.0


@pytest.mark.parametrize("fleet", [0, 1])
def test_slowdown_at_80_percent(fleet: int) -> None:
    """Guards the target of 2 where the engine honours priorities.

    On engines that share equally the bench shows more than 2, so there only
    the comparison with least outstanding (a fifth) is a bound.
    """
    slowdown = [
        measures(scenarios.steady(policy, 0.8, fleet, span_s=80.0))["lengths"][
            "1k-4k"
        ]["first_slowdown"][1]
        for policy in (
            scenarios.ENGINES[0],
            scenarios.SHIPPED,
            scenarios.BASELINES[2],
        )
    ]
    assert slowdown[0] <= 2.0
    assert slowdown[1] <= slowdown[2] / 5


@pytest.mark.parametrize("fleet", [0, 1])
def test_floors_hold_in_a_flood_of_the_most_urgent_class(fleet: int) -> None:
    """Guards the target: each other class keeps its floor within 5%."""
    scenario = scenarios.class_flood(scenarios.SHIPPED, 0, 5, fleet)
    shares = measures(scenario)["token shares by class"]
    assert shares[1] >= 0.95 * FLOORS[1]
    assert shares[2] >= 0.95 * FLOORS[2]


def test_goodput_holds_in_a_flood_of_the_least_urgent_class() -> None:
    """Guards the target: at least 95% of the goodput at full load."""
    flood = measures(scenarios.class_flood(scenarios.SHIPPED, 2, 5))
    full = measures(scenarios.no_flood(scenarios.SHIPPED, 1.0))
    name = "goodput output tokens/s"
    assert flood[name] >= 0.95 * full[name]


def test_engine_shares_its_chunks_by_order() -> None:
    """Guards the fake: a short prefill beside a long one, by order."""
    firsts = {}
    orders: tuple[engine_model.PrefillOrder, ...] = (
        "shared",
        "serial",
        "priority",
    )
    for order in orders:
        engine = engine_model.Engine(order)
        engine.start("long", 100_000, 10, 3)
        engine.start("short", 1_024, 10, 0)
        while "short" in engine.prefills:
            step = engine.next_s()
            assert step is not None
            engine.advance(step)
            firsts[order] = step
    chunk = engine_model.CHUNK_S + engine_model.BASE_S
    assert firsts["shared"] == pytest.approx(2 * chunk)
    assert firsts["priority"] == pytest.approx(chunk)
    after_long = chunk + engine_model.DECODE_S
    assert firsts["serial"] == pytest.approx(
        100_000 / 1_024 * chunk + after_long
    )
