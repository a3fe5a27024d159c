"""Compares routing, queueing and admission with baselines and ablations.

`python -m bench.run [--quick] [--seed N]` prints tables and writes
bench/results/policy.json (the same for the same seed), policy_machine.json
(times that depend on the machine) and policy.png.
"""

import argparse
import concurrent.futures
import json
import math
import pathlib
import time
from collections.abc import Callable, Iterable
from typing import Any, Final, NamedTuple

from bench import (
    engine_model,
    fleet_model,
    report,
    routing_cost,
    scenarios,
    workload,
)

RESULTS: Final = pathlib.Path(__file__).parent / "results"
WORKER_PROCESSES: Final = 4
PROMPT_LENGTH_RANGES: Final = (
    ("1k-4k", 0, 4_096),
    ("4k-8k", 4_096, 8_000),
    ("8k-32k", 8_000, 32_768),
    ("32k-100k", 32_768, 100_000),
    ("100k-490k", 100_000, engine_model.KV_TOKENS),
    ("over 490k", engine_model.KV_TOKENS, 10**9),
    ("up to 8k", 0, 8_000),
)
SMALL_TEAMS: Final = ("t3", "t4", "t5", "t6", "t7", "t8", "t9")


class _RequestTimes(NamedTuple):
    """Times of a request, absolute and relative to an idle engine."""

    first_s: float
    first_slowdown: float
    whole_slowdown: float
    token_gap_s: float


def percentile(values: list[float], share: float) -> float:
    """Returns the nearest-rank percentile, or NaN without values."""
    if not values:
        return math.nan
    ranked = sorted(values)
    return ranked[max(math.ceil(share * len(ranked)) - 1, 0)]


def simulate(
    scenario: scenarios.Scenario, seed: int
) -> list[fleet_model.Outcome]:
    """Simulates a scenario and returns the outcome of each request."""
    fleet = scenario.fleet
    capacity = fleet.engines * engine_model.NOMINAL_TOKENS_PER_S
    table = workload.arrivals(
        seed,
        load_tokens_per_s=scenario.load * capacity,
        duration_s=scenario.duration_s,
        idle_prefill_s_per_token=engine_model.IDLE_PREFILL_S_PER_TOKEN,
        floods=scenario.floods,
        capacity_tokens_per_s=capacity,
    )
    simulation = fleet_model.Simulation(
        fleet, scenario.policy, seed, scenario.faults
    )
    return simulation.run(table)


def measure_scenario(scenario: scenarios.Scenario, seed: int) -> dict[str, Any]:
    """Simulates a scenario and returns its rounded results."""
    outcomes = simulate(scenario, seed)
    low, high = scenario.window_s
    in_window = [o for o in outcomes if low <= o.arrival.time_s < high]
    base_load = [o for o in in_window if o.arrival.req_id.startswith("0-")]
    standard = [o for o in base_load if o.arrival.priority == 1]
    small = [o for o in standard if o.arrival.team in SMALL_TEAMS]
    urgent = [o for o in base_load if o.arrival.priority == 0]
    result: dict[str, Any] = {
        "name": scenario.name,
        "policy": scenario.policy.name,
        "fleet": scenario.fleet.name,
        "load": scenario.load,
        "requests": len(outcomes),
        "lengths": {
            name: _group_stats(
                scenario,
                (o for o in base_load if a < o.arrival.prompt_tokens <= b),
            )
            for name, a, b in PROMPT_LENGTH_RANGES
        },
        "classes": [
            _group_stats(
                scenario, (o for o in base_load if o.arrival.priority == index)
            )
            for index in range(3)
        ],
        "urgent up to 8k": _group_stats(
            scenario, (o for o in urgent if o.arrival.prompt_tokens <= 8_000)
        ),
        "small teams": _group_stats(scenario, small),
        "small teams up to 8k": _group_stats(
            scenario, (o for o in small if o.arrival.prompt_tokens <= 8_000)
        ),
    }
    result |= _throughput(scenario, outcomes, in_window)
    rounded: dict[str, Any] = _round_for_json(result)
    return rounded


def _request_times(
    fleet: workload.Fleet, outcome: fleet_model.Outcome
) -> _RequestTimes | None:
    """Returns the times of a request, or None unless it completed."""
    if outcome.state != "ok":
        return None
    row = outcome.arrival
    idle_first_s = (
        2 * (fleet.client_latency_s + fleet.agent_latency_s)
        + row.prompt_tokens * engine_model.IDLE_PREFILL_S_PER_TOKEN
    )
    decode_s = row.output_tokens * engine_model.IDLE_DECODE_S_PER_TOKEN
    return _RequestTimes(
        outcome.first_s,
        outcome.first_s / idle_first_s,
        outcome.end_s / (idle_first_s + decode_s),
        (outcome.end_s - outcome.first_s) / row.output_tokens,
    )


def _group_stats(
    scenario: scenarios.Scenario, outcomes: Iterable[fleet_model.Outcome]
) -> dict[str, Any]:
    """Returns shares of end states and percentiles for a group of requests."""
    rows = list(outcomes)
    times = [t for t in (_request_times(scenario.fleet, o) for o in rows) if t]
    shares = {
        state: sum(o.state == state for o in rows) / max(len(rows), 1)
        for state in ("ok", "refused", "late", "failed")
    }
    measures: dict[str, Callable[[_RequestTimes], float]] = {
        "first_s": lambda t: t.first_s,
        "first_slowdown": lambda t: t.first_slowdown,
        "whole_slowdown": lambda t: t.whole_slowdown,
        "token_gap_s": lambda t: t.token_gap_s,
    }
    quantiles = {
        name: [
            percentile([get(t) for t in times], q) for q in (0.5, 0.95, 0.99)
        ]
        for name, get in measures.items()
    }
    return {"n": len(rows)} | shares | quantiles


def _throughput(
    scenario: scenarios.Scenario,
    outcomes: list[fleet_model.Outcome],
    in_window: list[fleet_model.Outcome],
) -> dict[str, Any]:
    """Returns goodput per engine, token shares, end states and attempts."""
    low, high = scenario.window_s
    engine_seconds = (high - low) * scenario.fleet.engines
    completed = [
        o
        for o in outcomes
        if o.state == "ok" and low <= o.arrival.time_s + o.end_s < high
    ]
    tokens = [
        sum(
            o.arrival.prompt_tokens + o.arrival.output_tokens
            for o in completed
            if o.arrival.priority == index
        )
        for index in range(3)
    ]
    return {
        "goodput prompt tokens/s": sum(
            o.arrival.prompt_tokens for o in completed
        )
        / engine_seconds,
        "goodput output tokens/s": sum(
            o.arrival.output_tokens for o in completed
        )
        / engine_seconds,
        "goodput requests/s": len(completed) / engine_seconds,
        "token shares by class": [t / max(sum(tokens), 1) for t in tokens],
        "refused": sum(o.state == "refused" for o in in_window)
        / max(len(in_window), 1),
        "late": sum(o.state == "late" for o in in_window)
        / max(len(in_window), 1),
        "failed": sum(o.state == "failed" for o in in_window)
        / max(len(in_window), 1),
        "attempts per request": sum(o.attempts for o in in_window)
        / max(sum(o.attempts > 0 for o in in_window), 1),
        "prefilled per prompt token": sum(o.prefilled_tokens for o in in_window)
        / max(
            sum(
                o.arrival.prompt_tokens for o in in_window if o.prefilled_tokens
            ),
            1,
        ),
    }


def _round_for_json(value: Any) -> Any:
    """Rounds all numbers and replaces NaN, which JSON lacks, by None."""
    if isinstance(value, dict):
        return {key: _round_for_json(item) for key, item in value.items()}
    if isinstance(value, list):
        return [_round_for_json(item) for item in value]
    if isinstance(value, float):
        return None if math.isnan(value) else round(value, 4)
    return value


def run_all(seed: int, *, quick: bool) -> list[dict[str, Any]]:
    """Runs all scenarios in worker processes; results are in fixed order."""
    selected = scenarios.all_scenarios(quick=quick)
    with concurrent.futures.ProcessPoolExecutor(WORKER_PROCESSES) as pool:
        futures = [
            pool.submit(measure_scenario, scenario, seed)
            for scenario in selected
        ]
        return [future.result() for future in futures]


def main() -> None:
    """Runs the benchmark and writes tables, JSON files and the plot."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--quick", action="store_true")
    args = parser.parse_args()
    started = time.perf_counter()
    rows = run_all(args.seed, quick=args.quick)
    costs = routing_cost.measure(args.seed)
    text = report.tables(rows, costs)
    print(text)
    name = "policy_quick" if args.quick else "policy"
    RESULTS.mkdir(exist_ok=True)
    _write(name, {"seed": args.seed, "runs": rows})
    report.plot(rows, RESULTS / f"{name}.png")
    elapsed_s = round(time.perf_counter() - started, 1)
    _write(
        f"{name}_machine",
        {
            "seconds": elapsed_s,
            "routing microseconds": {c.upstreams: c.routing_us for c in costs},
        },
    )
    print(f"{len(rows)} runs in {elapsed_s} s, results in {RESULTS.name}/")


def _write(name: str, data: dict[str, Any]) -> None:
    """Writes a JSON lines file: the settings, then one line per run."""
    path = RESULTS / f"{name}.json"
    runs = data.pop("runs", [])
    lines = [json.dumps(data, sort_keys=True)]
    lines += [json.dumps(run, sort_keys=True) for run in runs]
    path.write_text("\n".join(lines) + "\n")


if __name__ == "__main__":
    main()
