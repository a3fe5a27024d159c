"""Tests the platform's rules under random faults, in a simulation.

The gateways run their real code in virtual time. `ledger` checks the rules
against the records of callers and upstreams. A seed determines the traffic and
the faults.
"""

import random

import pytest

from apricottrestle_standins.platform import (
    chaos,
    ledger,
    virtual_time,
    workload,
    world,
)

TRAFFIC_S = 14.0
SEEDS = range(12)


def play(site: str, seed: int, faults: int) -> ledger.Ledger:
    """Simulates traffic with a number of random faults."""

    async def main() -> ledger.Ledger:
        fleet = world.World(workload.SITES[site], seed)
        traffic = workload.generate_arrivals(
            workload.SITES[site], TRAFFIC_S, random.Random(seed)
        )
        rng = random.Random(seed + 1)
        drawn = chaos.generate_faults(rng, TRAFFIC_S, faults)
        return await fleet.run_workload(
            traffic, chaos.inject(fleet, drawn, rng)
        )

    return virtual_time.run(main())


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("site", ["zimska-trgatev", "sweetbreeze"])
def test_no_rule_breaks_under_faults(site: str, seed: int) -> None:
    """Guards the rules against crashes, network partitions and store faults."""
    records = play(site, seed, 1 + seed % 6)
    assert ledger.find_violations(records) == []
    assert len(records.requests) > 100


@pytest.mark.parametrize("kind", chaos.KINDS)
def test_each_fault_alone_breaks_no_rule(kind: str) -> None:
    """Guards the rules against each kind of fault."""

    async def main() -> ledger.Ledger:
        site = workload.SITES["zimska-trgatev"]
        fleet = world.World(site, 7)
        traffic = workload.generate_arrivals(site, TRAFFIC_S, random.Random(7))
        drawn = [chaos.Fault(5.0, kind, 4.0)]
        faults = chaos.inject(fleet, drawn, random.Random(7))
        return await fleet.run_workload(traffic, faults)

    records = virtual_time.run(main())
    assert ledger.find_violations(records) == []
    score = ledger.scores(records)["all"]
    # A single fault may fail some requests, but not most of them.
    assert score.worth > 0.6


def test_same_seed_gives_the_same_day() -> None:
    """Guards against a failure that its seed doesn't reproduce."""
    first, second = (play("sweetbreeze", 3, 4) for _ in range(2))
    assert first.runs == second.runs
