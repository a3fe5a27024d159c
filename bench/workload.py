"""Generates the requests of the policy benchmark from a seed.

49 in 50 prompt lengths are log-normal between 1k and 100k tokens, 1 in 50 is
Pareto between 100k and 1M. Inter-arrival times are exponential and then scaled,
so that the offered prompt tokens per second match the requested load exactly.
"""

import math
import random
from typing import Final, NamedTuple

from apricottrestle import hashing

MEDIAN_PROMPT_TOKENS: Final = 3_000
PROMPT_SIGMA: Final = 1.1
LONG_PROMPT_SHARE: Final = 0.02
LONG_PARETO_SHAPE: Final = 1.2
MAX_PROMPT_TOKENS: Final = 1_000_000
MEDIAN_OUTPUT_TOKENS: Final = 220
OUTPUT_SIGMA: Final = 0.9
PRIORITY_MIX: Final = (0.2, 0.5, 0.3)
TEAM_MIX: Final = (0.3, 0.2, 0.15) + (0.05,) * 7
PREFIX_FAMILIES: Final = 200
PREFIX_BLOCKS: Final = (2, 16)
PREFIX_SHARE: Final = 0.5
BASE_TIME_LIMIT_S: Final = (20.0, 40.0, 120.0)


class Fleet(NamedTuple):
    """Engines of a fleet and one-way network latencies in seconds.

    Attributes:
        name: Name in the results.
        engines: Number of engines.
        client_latency_s: Latency between caller and entry.
        agent_latency_s: Latency between entry and agent.
    """

    name: str
    engines: int
    client_latency_s: float
    agent_latency_s: float


FLEETS: Final = (
    Fleet("A", 14, 0.001, 0.001),
    Fleet("B", 18, 0.003, 0.0015),
)


class Flood(NamedTuple):
    """Extra load between two times, in units of the fleet's capacity.

    `team` and `priority` are None for the mix of the base load.
    """

    start_s: float
    end_s: float
    load: float
    priority: int | None = None
    team: str | None = None


class Arrival(NamedTuple):
    """One request; times in seconds, lengths in tokens."""

    req_id: str
    time_s: float
    team: str
    priority: int
    prompt_tokens: int
    output_tokens: int
    prefix_blocks: tuple[int, ...]
    time_limit_s: float


def arrivals(
    seed: int,
    *,
    load_tokens_per_s: float,
    duration_s: float,
    idle_prefill_s_per_token: float,
    floods: tuple[Flood, ...] = (),
    capacity_tokens_per_s: float = 0.0,
) -> list[Arrival]:
    """Returns the requests in order of their arrival time.

    Args:
        seed: Seed of the random number generators.
        load_tokens_per_s: Offered prompt tokens per second of the base load.
        duration_s: Time over which requests arrive.
        idle_prefill_s_per_token: Prefill time per token on an idle engine; the
            time limit of a request grows with it.
        floods: Load on top of the base load.
        capacity_tokens_per_s: Fleet capacity, the unit of the floods' load.
    """
    loads = [Flood(0.0, duration_s, 1.0)]
    rates = [load_tokens_per_s]
    for flood in floods:
        loads.append(flood)
        rates.append(flood.load * capacity_tokens_per_s)
    arrival_table: list[Arrival] = []
    for index, (load, rate) in enumerate(zip(loads, rates, strict=True)):
        rng = random.Random(f"{seed}/{index}")
        arrival_table += _flood_arrivals(
            rng, index, load, rate, idle_prefill_s_per_token
        )
    return sorted(arrival_table, key=lambda a: (a.time_s, a.req_id))


def _flood_arrivals(
    rng: random.Random,
    index: int,
    flood: Flood,
    rate: float,
    idle_prefill_s_per_token: float,
) -> list[Arrival]:
    """Returns the requests of one load, scaled to its token rate."""
    span_s = flood.end_s - flood.start_s
    rows: list[Arrival] = []
    offered_tokens, unscaled_s = 0, 0.0
    while offered_tokens < rate * span_s:
        unscaled_s += rng.expovariate(1.0)
        row = _make_arrival(
            rng,
            f"{index}-{len(rows)}",
            unscaled_s,
            flood,
            idle_prefill_s_per_token,
        )
        offered_tokens += row.prompt_tokens
        rows.append(row)
    return [
        row._replace(time_s=flood.start_s + row.time_s / unscaled_s * span_s)
        for row in rows
    ]


def _make_arrival(
    rng: random.Random,
    req_id: str,
    unscaled_s: float,
    flood: Flood,
    idle_prefill_s_per_token: float,
) -> Arrival:
    prompt_tokens = _prompt_tokens(rng)
    output_tokens = int(
        rng.lognormvariate(math.log(MEDIAN_OUTPUT_TOKENS), OUTPUT_SIGMA)
    )
    teams = range(len(TEAM_MIX))
    team = f"t{rng.choices(teams, TEAM_MIX)[0]}"
    priority = rng.choices(range(len(PRIORITY_MIX)), PRIORITY_MIX)[0]
    if flood.priority is not None:
        priority = flood.priority
    return Arrival(
        req_id,
        unscaled_s,
        flood.team or team,
        priority,
        prompt_tokens,
        min(max(output_tokens, 8), 2000),
        _prefix_blocks(rng, prompt_tokens),
        BASE_TIME_LIMIT_S[priority]
        + 3 * (idle_prefill_s_per_token * prompt_tokens + 0.02 * output_tokens),
    )


def _prompt_tokens(rng: random.Random) -> int:
    if rng.random() < LONG_PROMPT_SHARE:
        min_tail = (100_000 / MAX_PROMPT_TOKENS) ** LONG_PARETO_SHAPE
        tail = 1.0 - rng.random() * (1.0 - min_tail)
        return int(100_000 * tail ** (-1.0 / LONG_PARETO_SHAPE))
    tokens = rng.lognormvariate(math.log(MEDIAN_PROMPT_TOKENS), PROMPT_SIGMA)
    return int(min(max(tokens, 1000), 100_000))


def _prefix_blocks(rng: random.Random, prompt_tokens: int) -> tuple[int, ...]:
    """Returns the block hashes of a shared prefix, or an empty tuple."""
    if rng.random() > PREFIX_SHARE:
        return ()
    family = min(int(rng.expovariate(4 / PREFIX_FAMILIES)), PREFIX_FAMILIES - 1)
    low, high = PREFIX_BLOCKS
    count = low + family * 7 % (high - low)
    count = min(count, prompt_tokens // hashing.PREFIX_BLOCK_TOKENS)
    return tuple(family * 1000 + block for block in range(count))
