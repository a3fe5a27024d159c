"""Time of one routing decision by number of upstreams, on this machine."""

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

SIZES: Final = (50, 106, 212, 423, 846)
ROUNDS: Final = 7
DECISIONS: Final = 400


class Cost(NamedTuple):
    """Median times per decision at one size, in microseconds."""

    upstreams: int
    micros: float
    admission_micros: float


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


def measure(seed: int) -> list[Cost]:
    """Measures routing and admission at each size."""
    costs = []
    for size in SIZES:
        rng = random.Random(seed)
        table = make_table(size, seed)
        router = routing_expected.ExpectedFirstTokenRouter(rng)
        control = admission.AdmissionControl(rng)
        reqs = [make_request(rng) for _ in range(DECISIONS)]
        routed, checked = [], []
        for _ in range(ROUNDS):
            start = time.perf_counter()
            for req in reqs:
                router.choose(req, table, 1.0)
            middle = time.perf_counter()
            for req in reqs:
                control.check(req, table, 1.0)
            routed.append((middle - start) / DECISIONS * 1e6)
            checked.append((time.perf_counter() - middle) / DECISIONS * 1e6)
        costs.append(
            Cost(
                size,
                round(statistics.median(routed), 1),
                round(statistics.median(checked), 1),
            )
        )
    return costs
