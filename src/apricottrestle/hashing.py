"""Hashes that all processes compute alike: choice, prefix blocks, digests."""

import struct
from collections.abc import Iterable, Sequence
from typing import Final

import xxhash

PREFIX_BLOCK_TOKENS: Final = 512
"""Prefix cache granularity in tokens."""

MAX_PREFIX_BLOCKS: Final = 64
"""Shared prefixes are short, so longer prompts send their first blocks only."""


def rendezvous_score(key: str, member: str) -> int:
    """Returns the 64-bit weight of a member for a key; the highest wins."""
    return xxhash.xxh3_64_intdigest(f"{key}\x00{member}".encode())


def rendezvous_top(key: str, members: Iterable[str], count: int) -> list[str]:
    """Returns the `count` members of highest weight for the key, best first."""
    ranked = sorted(
        members, key=lambda member: (-rendezvous_score(key, member), member)
    )
    return ranked[:count]


def token_ids(prompt: str | Sequence[int]) -> list[int]:
    """Returns the token ids of a prompt; a string is split at white space."""
    if isinstance(prompt, str):
        return [
            xxhash.xxh32_intdigest(word.encode()) for word in prompt.split()
        ]
    return list(prompt)


def prefix_blocks(tokens: Sequence[int], *, salt: str = "") -> list[int]:
    """Returns chained 64-bit hashes of the prompt's full blocks.

    Args:
        tokens: Token ids, each below 2**64.
        salt: Model, version and adapter; blocks of different ones never match.
    """
    blocks: list[int] = []
    previous = xxhash.xxh3_64_intdigest(salt.encode())
    full = min(len(tokens) // PREFIX_BLOCK_TOKENS, MAX_PREFIX_BLOCKS)
    for index in range(full):
        start = index * PREFIX_BLOCK_TOKENS
        packed = struct.pack(
            f"<Q{PREFIX_BLOCK_TOKENS}Q",
            previous,
            *tokens[start : start + PREFIX_BLOCK_TOKENS],
        )
        previous = xxhash.xxh3_64_intdigest(packed)
        blocks.append(previous)
    return blocks


class StreamDigest:
    """Rolling digest over the token ids of a stream."""

    def __init__(self) -> None:
        """Starts with the digest of the empty stream."""
        self._hash = xxhash.xxh3_64()
        self.count = 0

    def update(self, tokens: Sequence[int]) -> None:
        """Adds tokens (ids below 2**64) at the end of the stream."""
        self._hash.update(struct.pack(f"<{len(tokens)}Q", *tokens))
        self.count += len(tokens)

    def hexdigest(self) -> str:
        """Returns the digest of all tokens so far, 16 hex digits."""
        return self._hash.hexdigest()
