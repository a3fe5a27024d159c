"""A light fake of an engine: prefill, decode, memory and prefix cache.

An iteration takes a base time, a little for each running generation, and the
time of one prefill chunk when there is prefill work. Between two events the
model is linear, so it is advanced from event to event. The chunk is shared
equally between the running prefills ("shared"), goes to the first one
("serial"), or to those of the most urgent class ("priority").
"""

import collections
import heapq
from typing import Final, Literal, NamedTuple

from apricottrestle import hashing

CHUNK_TOKENS: Final = 1024
CHUNK_S: Final = 0.021
BASE_S: Final = 0.02
DECODE_S: Final = 0.0001
SLOTS: Final = 64
KV_TOKENS: Final = 490_000
CACHE_BLOCKS: Final = 400
NOMINAL_TOKENS_PER_S: Final = CHUNK_TOKENS / (CHUNK_S + BASE_S + 15 * DECODE_S)
"""Prefill rate beside 15 generations; unit of capacity and load."""

ALONE_S_PER_TOKEN: Final = (CHUNK_S + BASE_S) / CHUNK_TOKENS
ALONE_DECODE_S: Final = BASE_S + DECODE_S

PrefillOrder = Literal["shared", "serial", "priority"]


class EngineEvent(NamedTuple):
    """A first token (`done` False) or the end of a request."""

    req_id: str
    done: bool


class _Prefill:
    __slots__ = ("left", "output", "priority", "size")

    def __init__(self, size: int, output: int, priority: int) -> None:
        self.size = size
        self.left = float(size)
        self.output = output
        self.priority = priority


class Engine:
    """One engine; all times in seconds on the bench's clock."""

    def __init__(self, order: PrefillOrder) -> None:
        """Starts idle and with an empty cache."""
        self.order = order
        self.prefills: dict[str, _Prefill] = {}
        self.decodes: dict[str, float] = {}
        self.kv: dict[str, int] = {}
        self.kv_used = 0
        self.cache: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )
        self.cache_changed = False
        self._ends: list[tuple[float, str]] = []
        self._iterations = 0.0
        self._time = 0.0

    def start(
        self, req_id: str, tokens: int, output: int, priority: int
    ) -> None:
        """Starts the prefill of uncached tokens."""
        self.prefills[req_id] = _Prefill(max(tokens, 1), output, priority)

    def allocate(self, owner: str, tokens: int) -> None:
        """Takes KV cache."""
        self.kv[owner] = tokens
        self.kv_used += tokens

    def release(self, owner: str) -> None:
        """Gives KV cache back, if the owner has any."""
        self.kv_used -= self.kv.pop(owner, 0)

    def cancel(self, req_id: str) -> None:
        """Ends a request early."""
        self.prefills.pop(req_id, None)
        self.decodes.pop(req_id, None)
        self.release(req_id)

    def use_cache(self, blocks: tuple[int, ...]) -> int:
        """Returns tokens found in the cache, and caches the blocks."""
        hits = 0
        while hits < len(blocks) and blocks[hits] in self.cache:
            hits += 1
        self.cache_changed |= hits < len(blocks)
        for block in blocks:
            self.cache[block] = None
            self.cache.move_to_end(block)
        while len(self.cache) > CACHE_BLOCKS:
            self.cache.popitem(last=False)
        return hits * hashing.PREFIX_BLOCK_TOKENS

    def tokens_left(self) -> int:
        """Returns prefill tokens not yet computed."""
        return int(sum(p.left for p in self.prefills.values()))

    def advance(self, now: float) -> list[EngineEvent]:
        """Moves to `now`, at most to the next event; returns what happened."""
        elapsed = now - self._time
        self._time = now
        step = self._step_s()
        active = self._active()
        self._iterations += elapsed / step
        for prefill in active:
            prefill.left -= elapsed / step * CHUNK_TOKENS / len(active)
        events = []
        for req_id, prefill in list(self.prefills.items()):
            if prefill.left <= 1e-3:
                del self.prefills[req_id]
                end = self._iterations + prefill.output
                self.decodes[req_id] = end
                heapq.heappush(self._ends, (end, req_id))
                events.append(EngineEvent(req_id, False))
        while self._ends and self._ends[0][0] <= self._iterations + 1e-6:
            end, req_id = heapq.heappop(self._ends)
            if self.decodes.get(req_id) == end:
                del self.decodes[req_id]
                self.release(req_id)
                events.append(EngineEvent(req_id, True))
        return events

    def next_s(self) -> float | None:
        """Returns the time of the next event, or None when idle."""
        while self._ends and self.decodes.get(self._ends[0][1]) is None:
            heapq.heappop(self._ends)
        step = self._step_s()
        active = self._active()
        waits = [p.left * len(active) / CHUNK_TOKENS for p in active]
        if self._ends:
            waits.append(self._ends[0][0] - self._iterations)
        return self._time + max(min(waits), 0.0) * step if waits else None

    def _step_s(self) -> float:
        chunk = CHUNK_S if self.prefills else 0.0
        return BASE_S + DECODE_S * len(self.decodes) + chunk

    def _active(self) -> list[_Prefill]:
        rows = list(self.prefills.values())
        if self.order == "serial":
            return rows[:1]
        if self.order == "priority" and rows:
            first = min(row.priority for row in rows)
            return [row for row in rows if row.priority == first]
        return rows
