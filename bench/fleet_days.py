"""Simulates whole fleets in virtual time, under load patterns and ablations.

Runs the production gateway code against stand-ins of the platform. A simulated
run is called a day; the same seed gives the same results. `make bench-fleet`
prints the table of docs/measurements.md. `--chaos` simulates days with random
faults instead and prints the seeds of days that broke a rule.
"""

import argparse
import concurrent.futures
import contextlib
import logging
import random
import statistics
import sys
from collections.abc import Callable
from typing import Final, NamedTuple
from unittest import mock

from apricottrestle.gateway import (
    engine_claims,
    engine_queue,
    engine_routing,
    peer_sync,
    shortage,
)
from apricottrestle_standins.platform import (
    chaos,
    ledger,
    virtual_time,
    workload,
    world,
)

DAY_LENGTH_S: Final = 20.0
SEEDS: Final = 4
MAX_FAULTS: Final = 8
HOT_TEAM: Final = 7
"""Team of the "hot team" burst, with little load in other patterns."""


class LoadPattern(NamedTuple):
    """Load of a simulated day and behaviour of callers and engines.

    Attributes:
        load: Factor on all request rates of the site.
        bursts: Intervals with more requests of one kind.
        slow_engines: Number of engines that are five times slower than their
            published cost model.
        max_retries: How often a caller retries a refused or failed request.
        honours_retry_after: Whether callers wait for the Retry-After time of
            a refusal.
    """

    load: float = 1.0
    bursts: tuple[workload.Burst, ...] = ()
    slow_engines: int = 0
    max_retries: int = world.DEFAULT_MAX_RETRIES
    honours_retry_after: bool = True


LOAD_PATTERNS: Final = {
    "0.7 of the load": LoadPattern(0.7),
    "the load": LoadPattern(),
    "1.5 of the load": LoadPattern(1.5),
    "2.5 of the load": LoadPattern(2.5),
    "burst of short": LoadPattern(
        bursts=(workload.Burst("short", 6.0, 4.0, 2.5),)
    ),
    "burst of middle": LoadPattern(
        bursts=(workload.Burst("middle", 6.0, 4.0, 4.0),)
    ),
    "burst of long": LoadPattern(
        bursts=(workload.Burst("long", 4.0, 8.0, 2.6),)
    ),
    "slow engines": LoadPattern(slow_engines=2),
    "hot team": LoadPattern(
        bursts=(workload.Burst("short", 4.0, 10.0, 6.0, HOT_TEAM),)
    ),
    "callers repeat at once": LoadPattern(
        2.5, max_retries=6, honours_retry_after=False
    ),
}


def _no_run_sharing() -> contextlib.AbstractContextManager[object]:
    """Turns off the exchange of runs between gateways."""
    return mock.patch.object(
        peer_sync.PeerSync, "_add_runs", lambda *_args: None
    )


def _no_helpers() -> contextlib.AbstractContextManager[object]:
    """Uses helper engines only where one engine has too little memory."""
    return mock.patch.object(engine_routing, "MAX_HELPERS", 0)


def _arrival_order() -> contextlib.AbstractContextManager[object]:
    """Schedules waiting requests in order of arrival."""
    return mock.patch.object(
        engine_queue,
        "_scheduling_order",
        lambda waiting, _now: (0, 0, waiting.req.arrived_at),
    )


def _emptiest_engine() -> contextlib.AbstractContextManager[object]:
    """Chooses the emptiest engine with room instead of the fullest."""
    return mock.patch.object(
        engine_routing,
        "_by_distance_and_slack",
        lambda room: (
            room.candidate.distance_s,
            -room.slots_free,
            room.candidate.preference,
        ),
    )


def _no_reserved_slots() -> contextlib.AbstractContextManager[object]:
    """Lets late requests start while those on time find no place."""
    return mock.patch.object(
        shortage, "may_start_late", lambda _kind, _short_kinds: True
    )


def _no_claims() -> contextlib.AbstractContextManager[object]:
    """Turns off claims, so that no request kind has a capacity floor."""
    return mock.patch.object(engine_claims, "MAX_CLAIMED_SHARE", 0.0)


VARIANTS: Final[
    dict[str, Callable[[], contextlib.AbstractContextManager[object]]]
] = {
    "as shipped": contextlib.nullcontext,
    "runs not shared": _no_run_sharing,
    "no helpers": _no_helpers,
    "order of arrival": _arrival_order,
    "emptiest engine": _emptiest_engine,
    "late ones take all slots": _no_reserved_slots,
    "no claims": _no_claims,
}


def simulate_day(
    site_name: str,
    pattern: LoadPattern,
    seed: int,
    faults: int = 0,
    length_s: float = DAY_LENGTH_S,
) -> ledger.Ledger:
    """Simulates one day and returns its ledger."""

    async def main() -> ledger.Ledger:
        site = workload.SITES[site_name]
        fleet = world.World(site, seed)
        fleet.max_retries = pattern.max_retries
        fleet.honours_retry_after = pattern.honours_retry_after
        for engine in fleet.engines[: pattern.slow_engines]:
            engine.passes.slowdown = 5.0
        day = workload.generate_arrivals(
            site,
            length_s,
            random.Random(seed),
            load=pattern.load,
            bursts=pattern.bursts,
        )
        rng = random.Random(seed + 1)
        drawn_faults = chaos.generate_faults(rng, length_s, faults)
        return await fleet.run_workload(
            day, chaos.inject(fleet, drawn_faults, rng)
        )

    return virtual_time.run(main())


def _worth_by_kind(task: tuple[str, str, str, int]) -> dict[str, float]:
    """Returns the worth of each request kind on one day."""
    site, pattern, variant, seed = task
    logging.disable(logging.CRITICAL)
    with VARIANTS[variant]():
        day_ledger = simulate_day(site, LOAD_PATTERNS[pattern], seed)
    return {name: row.worth for name, row in ledger.scores(day_ledger).items()}


def _print_table(sites: list[str], variants: list[str], seeds: int) -> None:
    kinds = ["all", "short", "middle", "long", "order", "lookup"]
    print("| site | pattern | variant | " + " | ".join(kinds) + " |")
    print("|" + "---|" * (3 + len(kinds)))
    with concurrent.futures.ProcessPoolExecutor() as pool:
        for site in sites:
            for variant in variants:
                for pattern in LOAD_PATTERNS:
                    tasks = [
                        (site, pattern, variant, seed) for seed in range(seeds)
                    ]
                    days = list(pool.map(_worth_by_kind, tasks))
                    means = [
                        statistics.mean(
                            # A short day may lack a rare kind.
                            [day[kind] for day in days if kind in day] or [1.0]
                        )
                        for kind in kinds
                    ]
                    cells = [f"{mean:.3f}" for mean in means]
                    row = [site, pattern, variant, *cells]
                    print("| " + " | ".join(row) + " |", flush=True)


def _run_chaos_day(task: tuple[str, int]) -> tuple[int, list[str], float]:
    """Simulates a day with faults; returns seed, broken rules and worth."""
    site, seed = task
    logging.disable(logging.CRITICAL)
    count = random.Random(seed).randint(1, MAX_FAULTS)
    day_ledger = simulate_day(site, LoadPattern(), seed, count)
    return (
        seed,
        ledger.find_violations(day_ledger),
        ledger.scores(day_ledger)["all"].worth,
    )


def _run_chaos_days(sites: list[str], first: int, count: int) -> int:
    """Simulates days with faults; returns how many of them broke a rule."""
    failed_days = 0
    with concurrent.futures.ProcessPoolExecutor() as pool:
        for site in sites:
            tasks = [(site, seed) for seed in range(first, first + count)]
            worths = []
            for seed, broken, worth in pool.map(_run_chaos_day, tasks):
                worths.append(worth)
                if broken:
                    failed_days += 1
                    print(f"{site} seed {seed}: {broken[:3]}")
            print(
                f"{site}: seeds {first} to {first + count - 1}, mean worth "
                f"{statistics.mean(worths):.3f}, least {min(worths):.3f}"
            )
    print(f"{failed_days} days with a broken rule")
    return failed_days


def main() -> int:
    """Runs the command-line interface."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--site", action="append", choices=workload.SITES)
    parser.add_argument("--variant", action="append", choices=VARIANTS)
    parser.add_argument("--seeds", type=int, default=SEEDS)
    parser.add_argument("--first", type=int, default=0)
    parser.add_argument("--chaos", action="store_true")
    args = parser.parse_args()
    sites = args.site or ["zimska-trgatev", "sweetbreeze"]
    if args.chaos:
        return min(_run_chaos_days(sites, args.first, args.seeds), 1)
    _print_table(sites, args.variant or list(VARIANTS), args.seeds)
    return 0


if __name__ == "__main__":
    sys.exit(main())
