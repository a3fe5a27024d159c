"""Compares decisions on the queue in virtual time, by load over capacity.

The load is the engine time that the requests of a second need, over that of all
engines. `make bench-fleet` prints the table of docs/measurements-platform.md.
"""

import argparse
import concurrent.futures
import contextlib
import logging
import random
import statistics
import sys
from collections.abc import Callable, Iterator, Sequence
from typing import Any, Final, NamedTuple
from unittest import mock

from apricottrestle.gateway import (
    engine_costs,
    engine_queue,
    fleet_config,
    shortage,
)
from apricottrestle_standins.platform import (
    ledger,
    virtual_time,
    workload,
    world,
)
from bench import fleet_days

LOADS: Final = (0.8, 1.0, 1.3, 2.0)
DAY_LENGTH_S: Final = 20.0
OUTPUT_TOKEN_SIZE: Final = 10
"""Prompt tokens that an output token counts as, in the size of a request."""

SAMPLE_LENGTH_S: Final = 600.0
"""Length of the sample of requests that gives the load of a site's rates."""

KINDS: Final = ("short", "middle", "long")
MAX_SIZE_WEIGHT: Final = 4.0
SIZE_CLASSES: Final = (("largest tenth", 0.9, 1.0), ("fifth below", 0.7, 0.9))

SPARE_SLOTS_BEFORE: Final = 2


@contextlib.contextmanager
def _order_before() -> Iterator[None]:
    """Decides as before `shortage.py`, by order, target and deadline."""

    def spare_slots(
        queue: engine_queue.EngineQueue, request: Any, _slots: int, now: float
    ) -> int:
        is_short = request.accepted.route.name in queue._short_kinds(now)
        return SPARE_SLOTS_BEFORE if is_short else 0

    with (
        mock.patch.object(
            engine_queue.EngineQueue,
            "_apply_shortage",
            lambda _queue, waiting, _now: waiting,
        ),
        mock.patch.object(
            engine_queue.EngineQueue, "_spare_slots", spare_slots
        ),
        mock.patch.object(
            shortage, "since_first_attempt_s", lambda *_limits: 0.0
        ),
    ):
        yield


VARIANTS: Final[
    dict[str, Callable[[], contextlib.AbstractContextManager[object]]]
] = {"order before": _order_before, "as shipped": contextlib.nullcontext}


class KindResult(NamedTuple):
    """Outcomes of a kind of request on one or more days.

    Attributes:
        on_time_value: Value of the responses on time over that of all requests.
        value: The same with late responses, at their lower value.
        served: Share of requests with a complete response.
        largest: Share among the largest tenth of the kind.
        large: Share among the fifth below it.
    """

    on_time_value: float
    value: float
    served: float
    largest: float
    large: float


class DayResult(NamedTuple):
    """Outcomes of one day.

    Attributes:
        kinds: Outcomes by kind.
        ran: Rejected attempts that ran.
        waits_s: Times from an attempt's sending to its rejection.
        served_by_team: Requests and complete responses of each team.
    """

    kinds: dict[str, KindResult]
    ran: int
    waits_s: list[float]
    served_by_team: dict[int, tuple[int, int]]


def engine_model(site: workload.Site) -> fleet_config.EngineCostModel:
    """Returns the cost model that a site's configuration publishes."""

    async def config() -> fleet_config.FleetConfig:
        return world.World(site, 0).config

    model = virtual_time.run(config()).services[workload.ENGINES].engine
    assert model is not None
    return model


def load_factor(site: workload.Site, load: float) -> float:
    """Returns the factor on a site's rates that gives a load over capacity."""
    model = engine_model(site)
    work_s = sum(
        engine_costs.engine_s(
            model, arrival.tokens, arrival.events * workload.EVENT_TOKENS
        )
        for arrival in workload.generate_arrivals(
            site, SAMPLE_LENGTH_S, random.Random(0)
        )
        if arrival.kind.tokens
    )
    return load * SAMPLE_LENGTH_S * site.engines / work_s


def _size(arrival: workload.Arrival) -> float:
    """Returns the size of a request relative to the mean of its kind."""
    kind = arrival.kind
    if not kind.tokens:
        return 1.0
    output = OUTPUT_TOKEN_SIZE * workload.EVENT_TOKENS
    return (arrival.tokens + output * arrival.events) / (
        kind.tokens + output * kind.events
    )


def _weight(arrival: workload.Arrival) -> float:
    size = _size(arrival)
    return min(0.3 + 0.7 * size, MAX_SIZE_WEIGHT)


def judge(day: ledger.Ledger) -> DayResult:
    """Returns the outcomes of a day."""
    outcomes: dict[str, list[tuple[workload.Arrival, str]]] = {}
    teams: dict[int, tuple[int, int]] = {}
    for attempts in day.requests:
        arrival, outcome = attempts[0].arrival, ledger.outcome(attempts)
        outcomes.setdefault(arrival.kind.name, []).append((arrival, outcome))
        if arrival.kind.tokens:
            requests, served = teams.get(arrival.team, (0, 0))
            teams[arrival.team] = (
                requests + 1,
                served + (outcome != "unserved"),
            )
    ran = {run.request_id for run in day.runs}
    rejected = [
        attempt
        for attempts in day.requests
        for attempt in attempts
        if attempt.status in ledger.NOT_RUN_STATUSES
    ]
    return DayResult(
        {name: _kind_result(rows) for name, rows in outcomes.items()},
        sum(attempt.request_id in ran for attempt in rejected),
        [
            attempt.ended_s - attempt.sent_s
            for attempt in rejected
            if attempt.ended_s is not None
        ],
        teams,
    )


def _kind_result(rows: list[tuple[workload.Arrival, str]]) -> KindResult:
    owed = sum(_weight(arrival) for arrival, _ in rows)
    on_time = sum(
        _weight(arrival) for arrival, outcome in rows if outcome == "on_time"
    )
    kind = rows[0][0].kind
    late = sum(
        _weight(arrival) for arrival, outcome in rows if outcome == "late"
    )
    by_size = sorted(rows, key=lambda row: _size(row[0]))
    classes = [
        _served(by_size[int(first * len(rows)) : int(last * len(rows))])
        for _, first, last in SIZE_CLASSES
    ]
    return KindResult(
        on_time / owed,
        (on_time + late * kind.late_worth / kind.worth) / owed,
        _served(rows),
        classes[0],
        classes[1],
    )


def _served(rows: Sequence[tuple[workload.Arrival, str]]) -> float:
    if not rows:
        return 1.0
    return sum(outcome != "unserved" for _, outcome in rows) / len(rows)


def _run_day(task: tuple[str, float, str, int, float]) -> DayResult:
    site_name, factor, variant, seed, length_s = task
    logging.disable(logging.CRITICAL)
    with VARIANTS[variant]():
        day = fleet_days.simulate_day(
            site_name,
            fleet_days.LoadPattern(factor),
            seed,
            length_s=length_s,
        )
    return judge(day)


def _print_rows(load: float, variant: str, days: list[DayResult]) -> None:
    waits_s = sorted(wait_s for day in days for wait_s in day.waits_s)
    p95_s = waits_s[int(0.95 * (len(waits_s) - 1))] if waits_s else 0.0
    ran = sum(day.ran for day in days)
    cells = []
    for name in KINDS:
        results = [day.kinds[name] for day in days if name in day.kinds]
        for field in KindResult._fields:
            cells.append(
                f"{statistics.mean(getattr(row, field) for row in results):.2f}"
            )
    print(
        f"| {load} | {variant} | " + " | ".join(cells) + f" | {ran} of "
        f"{len(waits_s)} | {p95_s:.2f} |",
        flush=True,
    )


def main() -> int:
    """Runs the command-line interface."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--site", default="zimska-trgatev")
    parser.add_argument("--variant", action="append", choices=VARIANTS)
    parser.add_argument("--load", action="append", type=float)
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--first", type=int, default=0)
    parser.add_argument("--length-s", type=float, default=DAY_LENGTH_S)
    parser.add_argument("--jobs", type=int, default=2)
    args = parser.parse_args()
    site = workload.SITES[args.site]
    fields = [f"{kind} {name}" for kind in KINDS for name in KindResult._fields]
    head = ["load", "queue", *fields, "rejected that ran", "p95 wait s"]
    print("| " + " | ".join(head).replace("_", " ") + " |")
    print("|" + "---|" * len(head))
    loads = args.load or LOADS
    tasks = [
        (load, variant, seed)
        for load in loads
        for variant in args.variant or list(VARIANTS)
        for seed in range(args.first, args.first + args.seeds)
    ]
    factors = {load: load_factor(site, load) for load in loads}
    with concurrent.futures.ProcessPoolExecutor(args.jobs) as pool:
        days = pool.map(
            _run_day,
            [
                (args.site, factors[load], variant, seed, args.length_s)
                for load, variant, seed in tasks
            ],
        )
        rows: list[DayResult] = []
        for (load, variant, _), day in zip(tasks, days, strict=True):
            rows.append(day)
            if len(rows) == args.seeds:
                _print_rows(load, variant, rows)
                rows = []
    return 0


if __name__ == "__main__":
    sys.exit(main())
