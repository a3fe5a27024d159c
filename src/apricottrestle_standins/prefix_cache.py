"""Prefix cache of the engine stand-in, and its late, incomplete event feed."""

from typing import Final

import msgspec

_KEPT_EVENTS: Final = 1024


class CacheEvent(msgspec.Struct):
    """Blocks that entered or left the cache; `visible_s` is monotonic."""

    seq: int
    added: list[int]
    removed: list[int]
    visible_s: float


class PrefixCache:
    """Least recently used block hashes, bounded."""

    def __init__(self, max_blocks: int, lag_s: float) -> None:
        """Starts empty; events become visible after `lag_s`."""
        self._max_blocks = max_blocks
        self.lag_s = lag_s
        self.gap_every = 0
        self._blocks: dict[int, None] = {}
        self._events: list[CacheEvent] = []
        self._seq = 0

    def match(self, blocks: list[int]) -> int:
        """Returns how many leading blocks are cached."""
        for index, block in enumerate(blocks):
            if block not in self._blocks:
                return index
        return len(blocks)

    def add(self, blocks: list[int], now: float) -> None:
        """Adds the blocks of a computed prompt and evicts the oldest."""
        added = [block for block in blocks if block not in self._blocks]
        for block in blocks:
            self._blocks.pop(block, None)
            self._blocks[block] = None
        excess = max(len(self._blocks) - self._max_blocks, 0)
        removed = list(self._blocks)[:excess]
        for block in removed:
            del self._blocks[block]
        if added or removed:
            self._publish(added, removed, now)

    def clear(self, now: float) -> None:
        """Empties the cache, as loading another model does."""
        removed = list(self._blocks)
        self._blocks.clear()
        if removed:
            self._publish([], removed, now)

    def _publish(
        self, added: list[int], removed: list[int], now: float
    ) -> None:
        self._seq += 1
        if self.gap_every and self._seq % self.gap_every == 0:
            return
        event = CacheEvent(self._seq, added, removed, now + self.lag_s)
        self._events.append(event)
        del self._events[:-_KEPT_EVENTS]

    def events_after(self, after: int, now: float) -> list[CacheEvent]:
        """Returns the visible events numbered above `after`, oldest first."""
        return [
            event
            for event in self._events
            if event.seq > after and event.visible_s <= now
        ]

    def snapshot(self) -> tuple[int, list[int]]:
        """Returns the last event number and all cached blocks."""
        return self._seq, list(self._blocks)
