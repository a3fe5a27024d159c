"""Hash functions whose results are the same in every process.

Rendezvous hashing, hashes of texts and prefix blocks, and digests of token
streams.
"""

import struct
from collections.abc import Iterable, Sequence
from typing import Final

import msgspec
import xxhash

PREFIX_BLOCK_TOKENS: Final = 512
"""Granularity of the prefix cache, in tokens."""

MAX_PREFIX_BLOCKS: Final = 64
"""Maximum number of blocks hashed for a prompt.

Shared prefixes are short, so the first blocks of a long prompt suffice.
"""


def text_digest(text: str) -> str:
    """Returns the 64-bit hash of a text as 16 hex digits."""
    return xxhash.xxh3_64_hexdigest(text.encode())


def object_digest(value: object) -> int:
    """Returns the 64-bit hash of a value that MessagePack can encode."""
    return xxhash.xxh3_64_intdigest(msgspec.msgpack.encode(value))


def content_digest(fields: Sequence[str | None], content: bytes) -> str:
    """Returns the 128-bit hash of short fields and a content, in hex."""
    digest = xxhash.xxh3_128(msgspec.msgpack.encode(fields))
    digest.update(content)
    return digest.hexdigest()


def rendezvous_score(key: str, member: str) -> int:
    """Returns the 64-bit rendezvous hash of a key and a member."""
    return xxhash.xxh3_64_intdigest(f"{key}\x00{member}".encode())


def rendezvous_top(key: str, members: Iterable[str], count: int) -> list[str]:
    """Returns the `count` members of highest score, the highest first."""
    ranked = sorted(
        members, key=lambda member: (-rendezvous_score(key, member), member)
    )
    return ranked[:count]


def token_ids(prompt: str | Sequence[int]) -> list[int]:
    """Returns a prompt's token ids; a string is split at whitespace."""
    if isinstance(prompt, str):
        return [
            xxhash.xxh32_intdigest(word.encode()) for word in prompt.split()
        ]
    return list(prompt)


def prefix_blocks(tokens: Sequence[int], *, salt: str = "") -> list[int]:
    """Returns chained 64-bit hashes of the prompt's full blocks.

    Args:
        tokens: Token ids, each below 2**64.
        salt: Model, version and adapter; blocks of different salts don't match.
    """
    blocks: list[int] = []
    previous = xxhash.xxh3_64_intdigest(salt.encode())
    block_count = min(len(tokens) // PREFIX_BLOCK_TOKENS, MAX_PREFIX_BLOCKS)
    for index in range(block_count):
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
    """Incremental digest of the token ids of a stream.

    Attributes:
        count: Number of tokens so far.
    """

    def __init__(self) -> None:
        """Creates the digest of an empty stream."""
        self._hash = xxhash.xxh3_64()
        self.count = 0

    def update(self, tokens: Sequence[int]) -> None:
        """Appends tokens (ids below 2**64) to the stream."""
        self._hash.update(struct.pack(f"<{len(tokens)}Q", *tokens))
        self.count += len(tokens)

    def hexdigest(self) -> str:
        """Returns the digest of all tokens so far as 16 hex digits."""
        return self._hash.hexdigest()
