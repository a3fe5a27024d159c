"""Days of whole fleets in virtual time: load patterns, and what each part adds.

Runs the gateways' real code against the stand-ins of the users' platform. The
same seeds give the same figures. `make bench-fleet` prints the table of
docs/measurements.md; `--chaos` plays days with random faults instead and names
the seeds that broke a rule.
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
    engine_routing,
    gateway,
    peer_sync,
)
from apricottrestle_standins.platform import (
    chaos,
    ledger,
    virtual_time,
    workload,
    world,
)

LENGTH_S: Final = 20.0
SEEDS: Final = 4
MAX_FAULTS: Final = 8
HOT: Final = 7
"""A team that sends little on other days."""


class Pattern(NamedTuple):
    """A load.

    Attributes:
        load: Factor on all rates of the site.
        bursts: Times with more requests of a kind.
        slow_engines: Engines that are five times slower than published.
        repeats: Times that a caller repeats a refused or failed request.
        is_patient: Whether callers wait as long as a refusal tells them.
    """

    load: float = 1.0
    bursts: tuple[workload.Burst, ...] = ()
    slow_engines: int = 0
    repeats: int = world.CALLER_RETRIES
    is_patient: bool = True


PATTERNS: Final = {
    "0.7 of the load": Pattern(0.7),
    "the load": Pattern(),
    "1.5 of the load": Pattern(1.5),
    "2.5 of the load": Pattern(2.5),
    "burst of short": Pattern(bursts=(workload.Burst("short", 6.0, 4.0, 2.5),)),
    "burst of middle": Pattern(
        bursts=(workload.Burst("middle", 6.0, 4.0, 4.0),)
    ),
    "burst of long": Pattern(bursts=(workload.Burst("long", 4.0, 8.0, 2.6),)),
    "slow engines": Pattern(slow_engines=2),
    "hot team": Pattern(bursts=(workload.Burst("short", 4.0, 10.0, 6.0, HOT),)),
    "callers repeat at once": Pattern(2.5, repeats=6, is_patient=False),
}


def _no_sharing() -> contextlib.AbstractContextManager[object]:
    """Gateways that see only their own runs."""
    return mock.patch.object(
        peer_sync.PeerSync, "_add_runs", lambda *_args: None
    )


def _no_helpers() -> contextlib.AbstractContextManager[object]:
    """Each prompt is read by one engine unless its memory needs more."""
    return mock.patch.object(engine_routing, "MAX_HELPERS", 0)


def _no_order() -> contextlib.AbstractContextManager[object]:
    """Waiting requests in order of arrival."""
    return mock.patch.object(
        gateway,
        "_scheduling_order",
        lambda one, _now: (0, 0, one.req.arrived_at),
    )


def _least_loaded() -> contextlib.AbstractContextManager[object]:
    """The emptiest engine that fits, instead of the fullest."""
    return mock.patch.object(
        engine_routing,
        "_by_distance_and_slack",
        lambda room: (
            room.candidate.distance_s,
            -room.slots_free,
            room.candidate.preference,
        ),
    )


def _late_first_come() -> contextlib.AbstractContextManager[object]:
    """Late requests leave no slots to those that are on time."""
    return mock.patch.object(gateway, "ON_TIME_RESERVED_SLOTS", 0)


def _no_claims() -> contextlib.AbstractContextManager[object]:
    """No kind has a floor."""
    return mock.patch.object(engine_claims, "MAX_CLAIMED_SHARE", 0.0)


VARIANTS: Final[
    dict[str, Callable[[], contextlib.AbstractContextManager[object]]]
] = {
    "as shipped": contextlib.nullcontext,
    "runs not shared": _no_sharing,
    "no helpers": _no_helpers,
    "order of arrival": _no_order,
    "emptiest engine": _least_loaded,
    "late ones take all slots": _late_first_come,
    "no claims": _no_claims,
}


def play(
    site_name: str,
    pattern: Pattern,
    seed: int,
    faults: int = 0,
    length_s: float = LENGTH_S,
) -> ledger.Ledger:
    """Plays one day and returns its records."""

    async def main() -> ledger.Ledger:
        site = workload.SITES[site_name]
        fleet = world.World(site, seed)
        fleet.repeats = pattern.repeats
        fleet.is_patient = pattern.is_patient
        for engine in fleet.engines[: pattern.slow_engines]:
            engine.passes.pace = 5.0
        day = workload.draw(
            site,
            length_s,
            random.Random(seed),
            load=pattern.load,
            bursts=pattern.bursts,
        )
        rng = random.Random(seed + 1)
        drawn = chaos.draw(rng, length_s, faults)
        return await fleet.play(day, chaos.inject(fleet, drawn, rng))

    return virtual_time.run(main())


def _worth(task: tuple[str, str, str, int]) -> dict[str, float]:
    """Returns the worth of each kind on one day."""
    site, pattern, variant, seed = task
    logging.disable(logging.CRITICAL)
    with VARIANTS[variant]():
        book = play(site, PATTERNS[pattern], seed)
    return {name: row.worth for name, row in ledger.scores(book).items()}


def _table(sites: list[str], variants: list[str], seeds: int) -> None:
    kinds = ["all", "short", "middle", "long", "order", "lookup"]
    print("| site | pattern | variant | " + " | ".join(kinds) + " |")
    print("|" + "---|" * (3 + len(kinds)))
    with concurrent.futures.ProcessPoolExecutor() as pool:
        for site in sites:
            for variant in variants:
                for pattern in PATTERNS:
                    tasks = [
                        (site, pattern, variant, seed) for seed in range(seeds)
                    ]
                    days = list(pool.map(_worth, tasks))
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


def _chaos_day(task: tuple[str, int]) -> tuple[int, list[str], float]:
    """Plays a day with faults; returns seed, broken rules and worth."""
    site, seed = task
    logging.disable(logging.CRITICAL)
    count = random.Random(seed).randint(1, MAX_FAULTS)
    book = play(site, Pattern(), seed, count)
    return seed, ledger.broken_rules(book), ledger.scores(book)["all"].worth


def _chaos(sites: list[str], first: int, count: int) -> int:
    """Plays days with faults and returns the number of bad ones."""
    bad = 0
    with concurrent.futures.ProcessPoolExecutor() as pool:
        for site in sites:
            tasks = [(site, seed) for seed in range(first, first + count)]
            worths = []
            for seed, broken, worth in pool.map(_chaos_day, tasks):
                worths.append(worth)
                if broken:
                    bad += 1
                    print(f"{site} seed {seed}: {broken[:3]}")
            print(
                f"{site}: seeds {first} to {first + count - 1}, mean worth "
                f"{statistics.mean(worths):.3f}, least {min(worths):.3f}"
            )
    print(f"{bad} days with a broken rule")
    return bad


def main() -> int:
    """Runs the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--site", action="append", choices=workload.SITES)
    parser.add_argument("--variant", action="append", choices=VARIANTS)
    parser.add_argument("--seeds", type=int, default=SEEDS)
    parser.add_argument("--first", type=int, default=0)
    parser.add_argument("--chaos", action="store_true")
    args = parser.parse_args()
    sites = args.site or ["zimska-trgatev", "sweetbreeze"]
    if args.chaos:
        return min(_chaos(sites, args.first, args.seeds), 1)
    _table(sites, args.variant or list(VARIANTS), args.seeds)
    return 0


if __name__ == "__main__":
    sys.exit(main())
