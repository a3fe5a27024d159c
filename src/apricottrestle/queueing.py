"""Order in which an agent starts its queued requests.

A queue holds only what scheduling needs; the agent keeps the requests. Times
are monotonic seconds given by the caller, so a queue also runs on a fake clock.
"""

import abc
import collections
from typing import Final, NamedTuple

from apricottrestle import messages

LONG_PROMPT_TOKENS: Final = 4_096
"""Prompts above this length count as long. Normally one of them is in prefill
at a time, so a short request shares the engine with at most one. A threshold
of 4k gave shorter waits than 8k, 16k or 32k (docs/measurements.md)."""

EXPECTED_OUTPUT_TOKENS: Final = 256
"""Upper bound of the output tokens that estimates expect of a request."""

DECODE_S_PER_TOKEN: Final = 0.049
"""Decode time per output token: the latency target between tokens."""

PREFILL_SLOWDOWN: Final = 2.0
"""Factor on the prefill time of a request that has the engine to itself: shared
with other requests, a prefill takes up to twice as long."""


class QueueItem(NamedTuple):
    """Properties of a queued request that scheduling uses.

    Attributes:
        req_id: Request id.
        team: Team name.
        weight: Weight of the team's fair share.
        priority: Index into messages.PRIORITIES.
        prompt_tokens: Prompt tokens that the engine has to compute.
        max_tokens: Maximum number of tokens to generate.
        kv_tokens: KV cache that the request needs, in tokens.
        enqueued: Time at which the request was queued.
        deadline: Time by which the request must have finished.
    """

    req_id: str
    team: str
    weight: float
    priority: int
    prompt_tokens: int
    max_tokens: int
    kv_tokens: int
    enqueued: float
    deadline: float


class Capacity(NamedTuple):
    """Load and free resources of the engine at one moment.

    Attributes:
        slots: Maximum number of requests that the engine runs at a time.
        slots_free: Number of slots without a running request.
        kv_tokens: Size of the engine's KV cache, in tokens.
        kv_tokens_free: KV cache not allocated, in tokens.
        prefill_tokens_left: Prompt tokens of running requests that are not
            computed yet.
        prefill_tokens_per_s: Nominal prefill rate of the engine.
        prefills: Running requests without a first token.
        long_prefills: Running requests without a first token whose prompt is
            longer than LONG_PROMPT_TOKENS.
    """

    slots: int
    slots_free: int
    kv_tokens: int
    kv_tokens_free: int
    prefill_tokens_left: int
    prefill_tokens_per_s: float
    prefills: int = 0
    long_prefills: int = 0


def expected_run_s(item: QueueItem, capacity: Capacity) -> float:
    """Returns the expected time from an item's start to its last token.

    At most EXPECTED_OUTPUT_TOKENS of output are counted, because callers set
    max_tokens far above the length of the output.
    """
    rate = max(capacity.prefill_tokens_per_s, 1.0)
    output = min(item.max_tokens, EXPECTED_OUTPUT_TOKENS)
    return (
        PREFILL_SLOWDOWN * item.prompt_tokens / rate
        + DECODE_S_PER_TOKEN * output
    )


class RequestQueue(abc.ABC):
    """Interface of the request queue of an agent."""

    @abc.abstractmethod
    def push(self, item: QueueItem) -> None:
        """Adds an item."""

    @abc.abstractmethod
    def pop(self, capacity: Capacity, now: float) -> QueueItem | None:
        """Removes and returns the item to start now; None if none can start."""

    @abc.abstractmethod
    def remove(self, req_id: str) -> QueueItem | None:
        """Removes and returns an item; None if the request isn't queued."""

    @abc.abstractmethod
    def queued_tokens(self) -> list[int]:
        """Returns the queued prompt tokens of each priority class."""

    @abc.abstractmethod
    def expected_wait_s(self, item: QueueItem, capacity: Capacity) -> float:
        """Returns the expected wait, in seconds, of an item pushed now."""

    def effective_tokens_per_s(self, capacity: Capacity) -> float:
        """Returns the prefill rate for load reports, in tokens per second.

        The default is the nominal rate of the engine. A queue that measures
        the engine's progress overrides it with a lower rate when memory or
        slots limit the throughput.
        """
        return capacity.prefill_tokens_per_s

    def can_meet_deadline(
        self, item: QueueItem, capacity: Capacity, now: float
    ) -> bool:
        """Returns whether an item started now can end before its deadline.

        The agent refuses a popped item that cannot, since starting it would
        waste prefill time and memory.
        """
        return now + expected_run_s(item, capacity) <= item.deadline

    @abc.abstractmethod
    def __len__(self) -> int:
        """Returns the number of queued items."""


class FifoQueue(RequestQueue):
    """Baseline: first in, first out, regardless of class and team."""

    def __init__(self) -> None:
        """Creates an empty queue."""
        self._items: collections.OrderedDict[str, QueueItem] = (
            collections.OrderedDict()
        )

    def push(self, item: QueueItem) -> None:
        """Adds an item at the end of the queue."""
        self._items[item.req_id] = item

    def pop(self, capacity: Capacity, now: float) -> QueueItem | None:
        """Removes and returns the first item if it fits; skips no item."""
        del now
        if not self._items or capacity.slots_free < 1:
            return None
        first = next(iter(self._items.values()))
        if first.kv_tokens > capacity.kv_tokens_free:
            return None
        return self._items.pop(first.req_id)

    def remove(self, req_id: str) -> QueueItem | None:
        """Removes and returns an item; None if the request isn't queued."""
        return self._items.pop(req_id, None)

    def queued_tokens(self) -> list[int]:
        """Returns the queued prompt tokens of each priority class."""
        totals = [0] * len(messages.PRIORITIES)
        for item in self._items.values():
            totals[item.priority] += item.prompt_tokens
        return totals

    def expected_wait_s(self, item: QueueItem, capacity: Capacity) -> float:
        """Returns the prefill time of all queued and running requests."""
        del item
        ahead = sum(self.queued_tokens()) + capacity.prefill_tokens_left
        return ahead / capacity.prefill_tokens_per_s

    def __len__(self) -> int:
        """Returns the number of queued items."""
        return len(self._items)
