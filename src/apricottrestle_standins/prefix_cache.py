"""Prefix cache of the engine stand-in, with a delayed and lossy event feed."""

from typing import Final

import msgspec

_MAX_EVENTS: Final = 1024


class CacheEvent(msgspec.Struct):
    """Blocks added to or removed from the cache.

    `visible_s` is the monotonic time from which readers see the event.
    """

    seq: int
    added: list[int]
    removed: list[int]
    visible_s: float


class PrefixCache:
    """Bounded LRU cache of block hashes.

    Attributes:
        lag_s: Delay until an event is visible.
        gap_every: Every n-th event is dropped; 0 drops none.
    """

    def __init__(self, max_blocks: int, lag_s: float) -> None:
        """Creates an empty cache."""
        self._max_blocks = max_blocks
        self.lag_s = lag_s
        self.gap_every = 0
        self._blocks: dict[int, None] = {}
        self._events: list[CacheEvent] = []
        self._seq = 0

    def match(self, blocks: list[int]) -> int:
        """Returns the number of leading blocks that are cached."""
        for index, block in enumerate(blocks):
            if block not in self._blocks:
                return index
        return len(blocks)

    def add(self, blocks: list[int], now: float) -> None:
        """Adds the blocks of a prompt and evicts the least recently used."""
        added = [block for block in blocks if block not in self._blocks]
        for block in blocks:
            self._blocks.pop(block, None)
            self._blocks[block] = None
        excess = max(len(self._blocks) - self._max_blocks, 0)
        removed = list(self._blocks)[:excess]
        for block in removed:
            del self._blocks[block]
        if added or removed:
            self._append_event(added, removed, now)

    def clear(self, now: float) -> None:
        """Removes all blocks, as on loading another model."""
        removed = list(self._blocks)
        self._blocks.clear()
        if removed:
            self._append_event([], removed, now)

    def _append_event(
        self, added: list[int], removed: list[int], now: float
    ) -> None:
        self._seq += 1
        if self.gap_every and self._seq % self.gap_every == 0:
            return
        event = CacheEvent(self._seq, added, removed, now + self.lag_s)
        self._events.append(event)
        del self._events[:-_MAX_EVENTS]

    def events_after(self, after: int, now: float) -> list[CacheEvent]:
        """Returns the visible events with a number above `after`, in order."""
        return [
            event
            for event in self._events
            if event.seq > after and event.visible_s <= now
        ]

    def snapshot(self) -> tuple[int, list[int]]:
        """Returns the last event number and all cached blocks."""
        return self._seq, list(self._blocks)
