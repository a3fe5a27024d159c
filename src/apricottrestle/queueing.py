"""Order in which an agent starts its queued requests.

A queue holds items only; the agent keeps the requests themselves. Times are
monotonic seconds given by the caller, so a queue runs on a fake clock too.
"""

import abc
import collections
from typing import Final, NamedTuple

from apricottrestle import messages

LONG_PROMPT_TOKENS: Final = 4_096
"""Prompts above this count as long: one at a time is in prefill, so a short
request shares the engine with one of them at most. 4k gave shorter waits than
8k, 16k or 32k (docs/measurements.md)."""


EXPECTED_OUTPUT_TOKENS: Final = 256
"""Output tokens that a request is expected to generate at most."""

DECODE_S: Final = 0.049
"""Time per output token: the latency target between tokens."""

PREFILL_SHARING: Final = 2.0
"""A prefill takes up to twice its time alone, because it shares the engine."""


class QueueItem(NamedTuple):
    """A queued request.

    Attributes:
        req_id: Request id.
        team: Team name.
        weight: Share weight of the team.
        priority: Index into messages.PRIORITIES.
        prompt_tokens: Prompt tokens that the engine has to compute.
        max_tokens: Tokens to generate at most.
        kv_tokens: KV cache that the request needs, in tokens.
        enqueued: Time of arrival.
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
    """What the engine can take at this moment.

    Attributes:
        slots: Requests that the engine runs at the same time.
        slots_free: Requests that may start.
        kv_tokens: KV cache of the engine, in tokens.
        kv_tokens_free: KV cache not allocated, in tokens.
        prefill_tokens_left: Prompt tokens of running requests not computed.
        prefill_tokens_per_s: Prefill rate of the engine.
        prefills: Running requests without a first token.
        long_prefills: Those of them with more than LONG_PROMPT_TOKENS.
    """

    slots: int
    slots_free: int
    kv_tokens: int
    kv_tokens_free: int
    prefill_tokens_left: int
    prefill_tokens_per_s: float
    prefills: int = 0
    long_prefills: int = 0


def finish_s(item: QueueItem, capacity: Capacity) -> float:
    """Returns the expected time from the start of an item to its end.

    The output counts with at most EXPECTED_OUTPUT_TOKENS, because callers set
    the limit of the output far above what they get.
    """
    rate = max(capacity.prefill_tokens_per_s, 1.0)
    output = min(item.max_tokens, EXPECTED_OUTPUT_TOKENS)
    return PREFILL_SHARING * item.prompt_tokens / rate + DECODE_S * output


class RequestQueue(abc.ABC):
    """Queue of one agent."""

    @abc.abstractmethod
    def push(self, item: QueueItem) -> None:
        """Adds an item."""

    @abc.abstractmethod
    def pop(self, capacity: Capacity, now: float) -> QueueItem | None:
        """Removes and returns the item to start now, or None when none fits."""

    @abc.abstractmethod
    def remove(self, req_id: str) -> QueueItem | None:
        """Removes an item by request id; returns None when it isn't queued."""

    @abc.abstractmethod
    def queued_tokens(self) -> list[int]:
        """Returns queued prompt tokens per priority class."""

    @abc.abstractmethod
    def expected_wait_s(self, item: QueueItem, capacity: Capacity) -> float:
        """Returns the time until the item would start if it were pushed now."""

    def effective_tokens_per_s(self, capacity: Capacity) -> float:
        """Returns the prefill rate to report: the engine's, or a lower one.

        Memory and slots can bind before prefill does; a queue that observes
        its engine knows the rate at which it really gets work done.
        """
        return capacity.prefill_tokens_per_s

    def can_meet_deadline(
        self, item: QueueItem, capacity: Capacity, now: float
    ) -> bool:
        """Tells whether an item that starts now can finish in its time.

        The agent refuses a popped item that cannot: starting it would cost
        prefill and memory for nothing.
        """
        return now + finish_s(item, capacity) <= item.deadline

    @abc.abstractmethod
    def __len__(self) -> int:
        """Returns the number of queued items."""


class FifoQueue(RequestQueue):
    """First in, first out, without classes or teams; the baseline."""

    def __init__(self) -> None:
        """Starts empty."""
        self._items: collections.OrderedDict[str, QueueItem] = (
            collections.OrderedDict()
        )

    def push(self, item: QueueItem) -> None:
        """Adds an item at the end."""
        self._items[item.req_id] = item

    def pop(self, capacity: Capacity, now: float) -> QueueItem | None:
        """Returns the first item if it fits; a later one never overtakes."""
        del now
        if not self._items or capacity.slots_free < 1:
            return None
        first = next(iter(self._items.values()))
        if first.kv_tokens > capacity.kv_tokens_free:
            return None
        return self._items.pop(first.req_id)

    def remove(self, req_id: str) -> QueueItem | None:
        """Removes an item by request id."""
        return self._items.pop(req_id, None)

    def queued_tokens(self) -> list[int]:
        """Returns queued prompt tokens per priority class."""
        totals = [0] * len(messages.PRIORITIES)
        for item in self._items.values():
            totals[item.priority] += item.prompt_tokens
        return totals

    def expected_wait_s(self, item: QueueItem, capacity: Capacity) -> float:
        """Returns the prefill time of all that is queued and running."""
        del item
        ahead = sum(self.queued_tokens()) + capacity.prefill_tokens_left
        return ahead / capacity.prefill_tokens_per_s

    def __len__(self) -> int:
        """Returns the number of queued items."""
        return len(self._items)
