"""Output of the simulated model: a pure function of prompt and position.

Token i depends only on the prompt and i, so a completion can be checked token
by token, whichever engines and attempts produced it.
"""

import struct
from collections.abc import Sequence

import xxhash

from apricottrestle import hashing


def prompt_seed(prompt: str | Sequence[int]) -> int:
    """Returns the 64-bit seed of a prompt's output."""
    ids = hashing.token_ids(prompt)
    return xxhash.xxh3_64_intdigest(struct.pack(f"<{len(ids)}Q", *ids))


def output_token(seed: int, index: int) -> int:
    """Returns the token at position `index` of a prompt's output."""
    return xxhash.xxh32_intdigest(struct.pack("<QQ", seed, index))


def output_tokens(
    prompt: str | Sequence[int], start: int, stop: int
) -> list[int]:
    """Returns the tokens `start` to `stop` (exclusive) of a prompt's output."""
    seed = prompt_seed(prompt)
    return [output_token(seed, index) for index in range(start, stop)]
