"""Simulates an inference engine: prefill, decode, KV memory, prefix cache.

An iteration takes a base time, a short time per decoding request, and the time
of one prefill chunk when there is prefill work. Progress is linear between two
events, so the simulation advances from event to event. A prefill chunk is
shared equally between all running prefills ("shared"), goes to the oldest
prefill ("serial"), or is shared between the prefills of the most urgent
priority ("priority").
"""

import collections
import heapq
from typing import Final, Literal, NamedTuple

from apricottrestle import hashing

CHUNK_TOKENS: Final = 1024
CHUNK_S: Final = 0.021
ITERATION_BASE_S: Final = 0.02
DECODE_S_PER_REQUEST: Final = 0.0001
SLOTS: Final = 64
KV_TOKENS: Final = 490_000
CACHE_BLOCKS: Final = 400
NOMINAL_TOKENS_PER_S: Final = CHUNK_TOKENS / (
    CHUNK_S + ITERATION_BASE_S + 15 * DECODE_S_PER_REQUEST
)
"""Prefill rate next to 15 decoding requests; the unit of capacity and load."""

IDLE_PREFILL_S_PER_TOKEN: Final = (CHUNK_S + ITERATION_BASE_S) / CHUNK_TOKENS
IDLE_DECODE_S_PER_TOKEN: Final = ITERATION_BASE_S + DECODE_S_PER_REQUEST

PrefillOrder = Literal["shared", "serial", "priority"]


class EngineEvent(NamedTuple):
    """Event of a request.

    Attributes:
        req_id: The request.
        is_end: True at the end of the request, False at its first token.
    """

    req_id: str
    is_end: bool


class _Prefill:
    __slots__ = ("output_tokens", "priority", "prompt_tokens", "tokens_left")

    def __init__(
        self, prompt_tokens: int, output_tokens: int, priority: int
    ) -> None:
        self.prompt_tokens = prompt_tokens
        self.tokens_left = float(prompt_tokens)
        self.output_tokens = output_tokens
        self.priority = priority


class Engine:
    """One engine; times are in seconds of simulated time."""

    def __init__(self, order: PrefillOrder) -> None:
        """Creates an idle engine with an empty prefix cache."""
        self.order = order
        self.prefills: dict[str, _Prefill] = {}
        self.decodes: dict[str, float] = {}
        self.kv: dict[str, int] = {}
        self.kv_used = 0
        self.cache: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )
        self.cache_changed = False
        self._decode_ends: list[tuple[float, str]] = []
        self._iterations = 0.0
        self._advanced_to = 0.0

    def start_prefill(
        self, req_id: str, tokens: int, output_tokens: int, priority: int
    ) -> None:
        """Starts the prefill of the tokens that are not cached."""
        self.prefills[req_id] = _Prefill(
            max(tokens, 1), output_tokens, priority
        )

    def allocate(self, owner: str, tokens: int) -> None:
        """Allocates KV cache tokens to an owner."""
        self.kv[owner] = tokens
        self.kv_used += tokens

    def release(self, owner: str) -> None:
        """Frees the KV cache tokens of an owner, if it has any."""
        self.kv_used -= self.kv.pop(owner, 0)

    def cancel(self, req_id: str) -> None:
        """Cancels a request and frees its memory."""
        self.prefills.pop(req_id, None)
        self.decodes.pop(req_id, None)
        self.release(req_id)

    def use_cache(self, blocks: tuple[int, ...]) -> int:
        """Caches the blocks; returns the tokens that were cached before."""
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

    def prefill_tokens_left(self) -> int:
        """Returns the prompt tokens that are not yet prefilled."""
        return int(sum(p.tokens_left for p in self.prefills.values()))

    def advance(self, now: float) -> list[EngineEvent]:
        """Advances to `now` and returns the events.

        `now` must not be later than `next_event_s()`.
        """
        elapsed_s = now - self._advanced_to
        self._advanced_to = now
        iteration_s = self._iteration_s()
        active = self._active_prefills()
        self._iterations += elapsed_s / iteration_s
        for prefill in active:
            prefill.tokens_left -= (
                elapsed_s / iteration_s * CHUNK_TOKENS / len(active)
            )
        events = []
        for req_id, prefill in list(self.prefills.items()):
            if prefill.tokens_left <= 1e-3:
                del self.prefills[req_id]
                end = self._iterations + prefill.output_tokens
                self.decodes[req_id] = end
                heapq.heappush(self._decode_ends, (end, req_id))
                events.append(EngineEvent(req_id, False))
        while (
            self._decode_ends
            and self._decode_ends[0][0] <= self._iterations + 1e-6
        ):
            end, req_id = heapq.heappop(self._decode_ends)
            if self.decodes.get(req_id) == end:
                del self.decodes[req_id]
                self.release(req_id)
                events.append(EngineEvent(req_id, True))
        return events

    def next_event_s(self) -> float | None:
        """Returns the time of the next event, or None when idle."""
        while (
            self._decode_ends
            and self.decodes.get(self._decode_ends[0][1]) is None
        ):
            heapq.heappop(self._decode_ends)
        iteration_s = self._iteration_s()
        active = self._active_prefills()
        iterations_left = [
            p.tokens_left * len(active) / CHUNK_TOKENS for p in active
        ]
        if self._decode_ends:
            iterations_left.append(self._decode_ends[0][0] - self._iterations)
        return (
            self._advanced_to + max(min(iterations_left), 0.0) * iteration_s
            if iterations_left
            else None
        )

    def _iteration_s(self) -> float:
        chunk_s = CHUNK_S if self.prefills else 0.0
        return (
            ITERATION_BASE_S
            + DECODE_S_PER_REQUEST * len(self.decodes)
            + chunk_s
        )

    def _active_prefills(self) -> list[_Prefill]:
        prefills = list(self.prefills.values())
        if self.order == "serial":
            return prefills[:1]
        if self.order == "priority" and prefills:
            most_urgent = min(prefill.priority for prefill in prefills)
            return [
                prefill
                for prefill in prefills
                if prefill.priority == most_urgent
            ]
        return prefills
