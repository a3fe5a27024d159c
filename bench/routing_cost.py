"""Measures routing and admission decisions by number of upstreams."""

import random
import statistics
import time
from typing import Final, NamedTuple

from apricottrestle import (
    admission,
    messages,
    routing,
    routing_expected,
    upstream_table,
)

UPSTREAM_COUNTS: Final = (50, 106, 212, 423, 846)
REPEATS: Final = 7
DECISIONS: Final = 400


class DecisionCost(NamedTuple):
    """Median times per decision in microseconds."""

    upstreams: int
    routing_us: float
    admission_us: float


def make_table(count: int, seed: int) -> upstream_table.UpstreamTable:
    """Returns a table of agents with random load and cached prefixes."""
    rng = random.Random(seed)
    table = upstream_table.UpstreamTable()
    for index in range(count):
        load = messages.LoadReport(
            "m",
            "engine",
            "1",
            [],
            False,
            [rng.randrange(20_000) for _ in messages.PRIORITIES],
            rng.randrange(40),
            rng.randrange(50_000),
            490_000,
            rng.randrange(490_000),
            24_000.0,
            0,
        )
        row = upstream_table.UpstreamRow(f"agent-{index}", "dc", "1", load, 0.0)
        row.unreported_submits = [(rng.randrange(5_000), rng.randrange(3))] * 3
        table.add(row)
        table.add_cached_blocks(f"agent-{index}", range(rng.randrange(64)))
    return table


def make_request(rng: random.Random) -> routing.RouteRequest:
    """Returns a request with a prefix of up to 64 blocks."""
    tokens = rng.randrange(1_000, 100_000)
    blocks = tuple(range(min(tokens // 512, 64)))
    return routing.RouteRequest(
        "r",
        "t",
        rng.randrange(3),
        "m",
        "1",
        "",
        tokens,
        200,
        blocks,
        60.0,
        frozenset(),
    )


def measure(seed: int) -> list[DecisionCost]:
    """Measures routing and admission for each number of upstreams."""
    costs = []
    for upstreams in UPSTREAM_COUNTS:
        rng = random.Random(seed)
        table = make_table(upstreams, seed)
        router = routing_expected.ExpectedFirstTokenRouter(rng)
        control = admission.AdmissionControl(rng)
        reqs = [make_request(rng) for _ in range(DECISIONS)]
        routing_times_us, admission_times_us = [], []
        for _ in range(REPEATS):
            start = time.perf_counter()
            for req in reqs:
                router.choose(req, table, 1.0)
            routed_at = time.perf_counter()
            for req in reqs:
                control.check(req, table, 1.0)
            routing_times_us.append((routed_at - start) / DECISIONS * 1e6)
            admission_times_us.append(
                (time.perf_counter() - routed_at) / DECISIONS * 1e6
            )
        costs.append(
            DecisionCost(
                upstreams,
                round(statistics.median(routing_times_us), 1),
                round(statistics.median(admission_times_us), 1),
            )
        )
    return costs
