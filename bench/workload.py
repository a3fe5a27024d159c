"""Seeded request tables for the bench.

Lengths: 49 in 50 prompts are log-normal between 1k and 100k tokens, 1 in 50 is
Pareto between 100k and 1M. Inter-arrival times are exponential and then
scaled, so that the offered prompt tokens are exactly the wanted load.
"""

import math
import random
from typing import Final, NamedTuple

from apricottrestle import hashing

MEDIAN_PROMPT_TOKENS: Final = 3_000
SIGMA: Final = 1.1
LONG_SHARE: Final = 0.02
LONG_TAIL: Final = 1.2
MAX_PROMPT_TOKENS: Final = 1_000_000
MEDIAN_OUTPUT_TOKENS: Final = 220
OUTPUT_SIGMA: Final = 0.9
CLASS_MIX: Final = (0.2, 0.5, 0.3)
TEAM_MIX: Final = (0.3, 0.2, 0.15) + (0.05,) * 7
PREFIX_FAMILIES: Final = 200
PREFIX_BLOCKS: Final = (2, 16)
PREFIX_SHARE: Final = 0.5
TIME_LIMIT_S: Final = (20.0, 40.0, 120.0)


class Fleet(NamedTuple):
    """A fleet: engines and one-way latencies in seconds."""

    name: str
    engines: int
    client_s: float
    agent_s: float


FLEETS: Final = (
    Fleet("A", 14, 0.001, 0.001),
    Fleet("B", 18, 0.003, 0.0015),
)


class Flood(NamedTuple):
    """Extra load between two times, in units of the fleet's capacity.

    `team` and `priority` are None for the usual mix.
    """

    start_s: float
    end_s: float
    load: float
    priority: int | None = None
    team: str | None = None


class Arrival(NamedTuple):
    """One request of the table; times in seconds, lengths in tokens."""

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
    alone_s_per_token: float,
    floods: tuple[Flood, ...] = (),
    capacity_tokens_per_s: float = 0.0,
) -> list[Arrival]:
    """Returns the requests in order of time.

    Args:
        seed: Seed of the table.
        load_tokens_per_s: Offered prompt tokens of the usual mix.
        duration_s: Time over which requests arrive.
        alone_s_per_token: Prefill time per token on an idle engine; time limits
            grow with it.
        floods: Extra load.
        capacity_tokens_per_s: Unit of the floods' load.
    """
    parts = [Flood(0.0, duration_s, 1.0)]
    rates = [load_tokens_per_s]
    for flood in floods:
        parts.append(flood)
        rates.append(flood.load * capacity_tokens_per_s)
    table: list[Arrival] = []
    for index, (part, rate) in enumerate(zip(parts, rates, strict=True)):
        rng = random.Random(f"{seed}/{index}")
        table += _part(rng, index, part, rate, alone_s_per_token)
    return sorted(table, key=lambda a: (a.time_s, a.req_id))


def _part(
    rng: random.Random, index: int, part: Flood, rate: float, alone: float
) -> list[Arrival]:
    """Returns the requests of one part, scaled to the wanted token rate."""
    span = part.end_s - part.start_s
    rows: list[Arrival] = []
    offered, clock = 0, 0.0
    while offered < rate * span:
        clock += rng.expovariate(1.0)
        row = _one(rng, f"{index}-{len(rows)}", clock, part, alone)
        offered += row.prompt_tokens
        rows.append(row)
    return [
        row._replace(time_s=part.start_s + row.time_s / clock * span)
        for row in rows
    ]


def _one(
    rng: random.Random, req_id: str, clock: float, part: Flood, alone: float
) -> Arrival:
    prompt = _prompt_tokens(rng)
    output = int(
        rng.lognormvariate(math.log(MEDIAN_OUTPUT_TOKENS), OUTPUT_SIGMA)
    )
    teams = range(len(TEAM_MIX))
    team = f"t{rng.choices(teams, TEAM_MIX)[0]}"
    priority = rng.choices(range(len(CLASS_MIX)), CLASS_MIX)[0]
    if part.priority is not None:
        priority = part.priority
    return Arrival(
        req_id,
        clock,
        part.team or team,
        priority,
        prompt,
        min(max(output, 8), 2000),
        _prefix(rng, prompt),
        TIME_LIMIT_S[priority] + 3 * (alone * prompt + 0.02 * output),
    )


def _prompt_tokens(rng: random.Random) -> int:
    if rng.random() < LONG_SHARE:
        least = (100_000 / MAX_PROMPT_TOKENS) ** LONG_TAIL
        part = 1.0 - rng.random() * (1.0 - least)
        return int(100_000 * part ** (-1.0 / LONG_TAIL))
    length = rng.lognormvariate(math.log(MEDIAN_PROMPT_TOKENS), SIGMA)
    return int(min(max(length, 1000), 100_000))


def _prefix(rng: random.Random, prompt: int) -> tuple[int, ...]:
    """Returns the block hashes of a shared prefix, or none."""
    if rng.random() > PREFIX_SHARE:
        return ()
    family = min(int(rng.expovariate(4 / PREFIX_FAMILIES)), PREFIX_FAMILIES - 1)
    low, high = PREFIX_BLOCKS
    count = low + family * 7 % (high - low)
    count = min(count, prompt // hashing.PREFIX_BLOCK_TOKENS)
    return tuple(family * 1000 + block for block in range(count))
