"""Open-loop load generator that checks every completion.

Arrivals are a Poisson process with a fixed seed and independent of the
responses, so a slow fleet gets the same load. The exit code is 1 if a
completion was wrong or ended with an error.
"""

import argparse
import asyncio
import collections
import random
import sys
from collections.abc import Iterable, Sequence
from typing import Final, NamedTuple

from apricottrestle import messages
from apricottrestle_standins import client

_MAX_TOKEN_ID: Final = 50_000
_LENGTH_BUCKETS: Final = (4_000, 32_000, 100_000, 1_000_001)
_DEFAULT_LENGTHS: Final = "1000:60,4000:25,16000:12,120000:3"
_DEFAULT_PRIORITIES: Final = "urgent:20,standard:50,batch:30"


class Choice(NamedTuple):
    """A value and its weight."""

    value: str
    weight: float


def parse_choices(text: str) -> list[Choice]:
    """Parses "value:weight,..."; the weight defaults to 1.

    Raises:
        ValueError: A weight is not a positive number, or a value is empty.
    """
    choices = []
    for part in text.split(","):
        value, _, weight = part.strip().partition(":")
        choices.append(Choice(value, float(weight or 1)))
        if not value or choices[-1].weight <= 0:
            raise ValueError(f"invalid choice {part!r} in {text!r}")
    return choices


def pick(rng: random.Random, choices: Sequence[Choice]) -> str:
    """Returns a random value, chosen by weight."""
    weights = [choice.weight for choice in choices]
    return rng.choices([choice.value for choice in choices], weights)[0]


def make_prompt(
    rng: random.Random,
    length: int,
    *,
    model: str,
    priority: str,
    max_tokens: int,
) -> client.Prompt:
    """Returns a prompt of random token ids."""
    ids = rng.choices(range(_MAX_TOKEN_ID), k=length)
    return client.Prompt(ids, max_tokens, model, priority)


def quantile(values: Sequence[float], share: float) -> float:
    """Returns the quantile of the values at a share between 0 and 1."""
    ranked = sorted(values)
    return ranked[min(int(share * len(ranked)), len(ranked) - 1)]


def format_table(results: Iterable[client.CompletionResult]) -> str:
    """Formats first-token times and outcomes by prompt length and priority."""
    rows: dict[tuple[int, str], list[client.CompletionResult]] = (
        collections.defaultdict(list)
    )
    for result in results:
        upper = next(
            bound for bound in _LENGTH_BUCKETS if result.prompt_tokens < bound
        )
        rows[upper, result.priority].append(result)
    lines = [
        f"{'prompt':>8} {'class':<9} {'n':>5} {'p50 s':>7} {'p95 s':>7} "
        f"{'ok':>5} {'refused':>7} {'error':>5} {'wrong':>5} {'resumed':>7}"
    ]
    order = {name: rank for rank, name in enumerate(messages.PRIORITIES)}
    for upper, name in sorted(rows, key=lambda row: (row[0], order[row[1]])):
        lines.append(_format_row(upper, name, rows[upper, name]))
    return "\n".join(lines)


def _format_row(
    upper: int, name: str, results: list[client.CompletionResult]
) -> str:
    times = [
        result.first_token_s
        for result in results
        if result.first_token_s is not None
    ]
    median = f"{quantile(times, 0.5):7.3f}" if times else f"{'-':>7}"
    p95 = f"{quantile(times, 0.95):7.3f}" if times else f"{'-':>7}"
    bucket = f"<{upper // 1000}k"
    count = collections.Counter(result.outcome for result in results)
    resumed = sum(result.resumes > 0 for result in results)
    return (
        f"{bucket:>8} {name:<9} {len(results):>5} {median} {p95} "
        f"{count['ok']:>5} {count['refused']:>7} {count['error']:>5} "
        f"{count['wrong']:>5} {resumed:>7}"
    )


async def run(
    caller: client.Caller,
    prompts: Sequence[client.Prompt],
    rate: float,
    seed: int,
    retries: int = 0,
) -> list[client.CompletionResult]:
    """Sends prompts at a mean rate; returns the results of all.

    Args:
        caller: Client to send them with.
        prompts: Prompts, in the order of sending.
        rate: Mean number of prompts per second.
        seed: Seed of the intervals between prompts.
        retries: Maximum number of retries of a refused prompt.
    """
    rng = random.Random(seed)
    tasks = []
    for prompt in prompts:
        task = caller.complete(prompt, retries=retries)
        tasks.append(asyncio.ensure_future(task))
        await asyncio.sleep(rng.expovariate(rate))
    return list(await asyncio.gather(*tasks))


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(prog="apricottrestle_standins.load")
    parser.add_argument("--url", action="append", required=True)
    parser.add_argument("--key", required=True, help="API key of a team")
    parser.add_argument("--model", required=True)
    parser.add_argument("--rate", type=float, default=10.0)
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--max-tokens", type=int, default=32)
    parser.add_argument("--lengths", type=parse_choices)
    parser.add_argument("--classes", type=parse_choices)
    return parser


async def _main(args: argparse.Namespace) -> int:
    rng = random.Random(args.seed)
    lengths = args.lengths or parse_choices(_DEFAULT_LENGTHS)
    classes = args.classes or parse_choices(_DEFAULT_PRIORITIES)
    prompts = [
        make_prompt(
            rng,
            int(pick(rng, lengths)),
            model=args.model,
            priority=pick(rng, classes),
            max_tokens=args.max_tokens,
        )
        for _ in range(max(int(args.rate * args.seconds), 1))
    ]
    caller = client.Caller(args.url, args.key)
    try:
        results = await run(caller, prompts, args.rate, args.seed)
    finally:
        caller.close()
    print(format_table(results))
    for result in results:
        if result.outcome in ("wrong", "error"):
            print(f"{result.outcome}: {result.code} {result.detail}")
    failed = sum(result.outcome in ("wrong", "error") for result in results)
    return 1 if failed else 0


def main(argv: Sequence[str] | None = None) -> int:
    """Runs the load generator; returns the exit code."""
    return asyncio.run(_main(_parser().parse_args(argv)))


if __name__ == "__main__":
    sys.exit(main())
