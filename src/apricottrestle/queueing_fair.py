"""The shipped queue: priority classes with floors, and fair team shares.

Order of choice: class, then team, then item.

- The most urgent class goes first. A class that has received less than its
  floor of the tokens started while it was waiting goes before it.
- Within a class the team with the least tokens started per weight goes first
  (start-time fair queueing). A team that was idle gets no credit for it.
- A team with a backlog leaves some slots, memory and prefill places free.
  Requests of other teams and classes then start at once. The idea is from
  Chang, Garcia-Molina and Li, "2D BubbleUp: Managing Parallel Disks for Media
  Servers", which keeps free service slots in the near future for new arrivals.
- Within a team an item is due at its arrival plus a patience in proportion to
  its prompt, and the earliest due goes first. Short requests overtake long
  ones, and waiting long ones still come up.

Long prompts have a place of their own: at most `max_long_prefills` run at a
time, and short requests pass a long one that has to wait for it.

Invariant: an item is in exactly one team queue, and `queued_tokens` is the sum
over these items.
"""

import heapq
from typing import Final, NamedTuple

from apricottrestle import messages, queueing, queueing_rate, queueing_teams

CLASSES: Final = len(messages.PRIORITIES)

PATIENCE_S_PER_TOKEN: Final = 0.0005
"""Due time per prompt token, about ten times the prefill time of a token."""

FLOOR_BURST_TOKENS: Final = 8_192
"""A class uses its floor at once for items up to this size; for longer ones it
goes into debt, so that a 1M-token item doesn't wait until 1M tokens of credit
have gathered."""

BACKLOG_S: Final = 5.0
"""Queued work, in seconds of the engine's rate, that counts as a backlog."""

SMALL_KV_TOKENS: Final = 16_384
"""Items up to this size wait for memory only briefly, so nobody else may take
it meanwhile."""


class QueueSettings(NamedTuple):
    """Settings of the queue. The flags exist for the ablation in the bench.

    Attributes:
        floors: Least share of the started tokens per class, 0 to 1.
        by_priority: Serve classes in order of urgency.
        by_team: Share between teams by weight.
        short_first: Let short requests overtake long ones.
        max_prefills: Requests in prefill at a time.
        max_long_prefills: Long requests in prefill at a time.
        max_long_prefills_beside_backlog: The same for teams without a backlog
            while another team has one.
        backlog_items: Queued items of one team that count as a backlog, per
            class. Under steady load a queue rarely holds more than a few, and
            a single long prompt must not count as a backlog. Batch can wait,
            so it makes room earlier.
        backlog_prefills: Requests in prefill beside which a team with a backlog
            starts no more.
        headroom_slot_share: Share of the slots that a team with a backlog
            leaves free.
        headroom_kv_share: Share of the KV cache that it leaves free.
    """

    floors: tuple[float, ...] = (0.0, 0.1, 0.05)
    by_priority: bool = True
    by_team: bool = True
    short_first: bool = True
    max_prefills: int = 3
    max_long_prefills: int = 1
    max_long_prefills_beside_backlog: int = 2
    backlog_items: tuple[int, ...] = (8, 8, 4)
    backlog_prefills: int = 1
    headroom_slot_share: float = 12 / 64
    headroom_kv_share: float = 10 / 49


def cost_tokens(item: queueing.QueueItem) -> int:
    """Returns the tokens that an item is charged for."""
    return max(1, item.prompt_tokens + item.max_tokens)


def engine_priority(item: queueing.QueueItem) -> int:
    """Returns the priority to give an engine that schedules by priority.

    0 is the most urgent. Short requests of all classes go before long ones:
    the queue lets few of them run at a time, so they hardly delay a long one.
    """
    is_long = item.prompt_tokens > queueing.LONG_PROMPT_TOKENS
    return item.priority + (CLASSES if is_long else 0)


class PriorityFairQueue(queueing.RequestQueue):
    """Priority classes with floors, fair between teams, short ones first."""

    def __init__(self, settings: QueueSettings | None = None) -> None:
        """Starts empty."""
        self._settings = settings or QueueSettings()
        self._classes = [queueing_teams.ClassQueue() for _ in range(CLASSES)]
        self._items: dict[str, queueing.QueueItem] = {}
        self._seq = 0
        self._rate = queueing_rate.ObservedRate()
        self._flooded = 0

    def set_floors(self, floors: tuple[float, ...]) -> None:
        """Replaces the floors of the classes, 0 to 1 each, most urgent first.

        Raises:
            ValueError: Not one floor per class, or their sum is over 1.
        """
        if len(floors) != CLASSES or min(floors) < 0 or sum(floors) > 1:
            raise ValueError(
                f"floors {floors}: expected {CLASSES} shares of at least 0 "
                "with a sum of at most 1"
            )
        self._settings = self._settings._replace(floors=floors)

    def push(self, item: queueing.QueueItem) -> None:
        """Adds an item; one of the same request id is replaced."""
        self.remove(item.req_id)
        group = self._classes[self._class_of(item)]
        name = item.team if self._settings.by_team else ""
        team = group.teams.get(name)
        if team is None:
            team = group.teams[name] = queueing_teams.Team(
                max(item.weight, 1e-6)
            )
            team.served = max(group.served, group.debts.pop(name, 0.0))
        team.weight = max(item.weight, 1e-6)
        self._seq += 1
        patience = PATIENCE_S_PER_TOKEN if self._settings.short_first else 0.0
        due = item.enqueued + patience * item.prompt_tokens
        heap = team.long if self._is_long(item) else team.short
        heapq.heappush(heap, queueing_teams.Entry(due, self._seq, item))
        team.queued_tokens += item.prompt_tokens
        team.count += 1
        limit = self._settings.backlog_items[self._class_of(item)]
        self._flooded += team.count == limit
        group.queued_tokens += item.prompt_tokens
        self._items[item.req_id] = item

    def pop(
        self, capacity: queueing.Capacity, now: float
    ) -> queueing.QueueItem | None:
        """Removes and returns the item to start now, or None when none fits.

        An item that lacks memory and is due, or needs little, holds back its
        own and all less urgent classes; otherwise others would take the memory
        for ever.
        """
        self._rate.observe(capacity, now, backlog=bool(self._items))
        owed = self._owed()
        for index, is_owed in self._class_order(owed):
            item, blocked = self._pick(index, capacity, now, owed=is_owed)
            if item is not None:
                self._rate.started(item)
                self._charge(index, item)
                self.remove(item.req_id)
                return item
            if blocked:
                return None
        return None

    def remove(self, req_id: str) -> queueing.QueueItem | None:
        """Removes an item by request id; returns None when it isn't queued."""
        item = self._items.pop(req_id, None)
        if item is None:
            return None
        group = self._classes[self._class_of(item)]
        name = item.team if self._settings.by_team else ""
        team = group.teams[name]
        team.queued_tokens -= item.prompt_tokens
        limit = self._settings.backlog_items[self._class_of(item)]
        self._flooded -= team.count == limit
        team.count -= 1
        group.queued_tokens -= item.prompt_tokens
        self._trim(team.short)
        self._trim(team.long)
        if not team.short and not team.long:
            group.forget(name)
        if not group.teams:
            group.credit = min(group.credit, 0.0)
        return item

    def queued_tokens(self) -> list[int]:
        """Returns queued prompt tokens per priority class."""
        totals = [0] * CLASSES
        if self._settings.by_priority:
            return [group.queued_tokens for group in self._classes]
        for item in self._items.values():
            totals[item.priority] += item.prompt_tokens
        return totals

    def expected_wait_s(
        self, item: queueing.QueueItem, capacity: queueing.Capacity
    ) -> float:
        """Returns the time until the item would start if it were pushed now.

        Other teams of the class count only as far as their share lets them go
        ahead, and more urgent classes only as far as the floor of the item's
        class lets them.
        """
        index = self._class_of(item)
        rate = self.effective_tokens_per_s(capacity)
        own_class = self._fair_ahead(index, item)
        higher = sum(g.queued_tokens for g in self._classes[:index])
        running = capacity.prefill_tokens_left
        wait_s = (own_class + higher + running) / rate
        floor = self._settings.floors[index]
        if floor > 0 and higher:
            wait_s = min(wait_s, (own_class + running) / (rate * floor))
        return wait_s

    def effective_tokens_per_s(self, capacity: queueing.Capacity) -> float:
        """Returns the observed prefill rate under backlog, else the engine's.

        Only a queue of some seconds counts as a backlog; a single request that
        waits for its place says nothing about the engine's rate.
        """
        nominal = capacity.prefill_tokens_per_s
        queued = sum(group.queued_tokens for group in self._classes)
        if queued < nominal * BACKLOG_S:
            return nominal
        return self._rate.value(nominal)

    def __len__(self) -> int:
        """Returns the number of queued items."""
        return len(self._items)

    def _class_of(self, item: queueing.QueueItem) -> int:
        return item.priority if self._settings.by_priority else 0

    def _is_long(self, item: queueing.QueueItem) -> bool:
        return (
            self._settings.short_first
            and item.prompt_tokens > queueing.LONG_PROMPT_TOKENS
        )

    def _fair_ahead(self, index: int, item: queueing.QueueItem) -> float:
        """Returns tokens of the class that start before the item."""
        group = self._classes[index]
        if not self._settings.by_team:
            return group.queued_tokens
        own = group.teams.get(item.team)
        own_tokens = own.queued_tokens if own else 0
        per_weight = (own_tokens + item.prompt_tokens) / max(item.weight, 1e-6)
        ahead = float(own_tokens)
        for name, team in group.teams.items():
            if name != item.team:
                ahead += min(team.queued_tokens, per_weight * team.weight)
        return ahead

    def _owed(self) -> set[int]:
        """Returns the classes whose floor has not been met."""
        return {
            index
            for index, group in enumerate(self._classes)
            if group.teams and group.credit >= self._head_cost(index)
        }

    def _class_order(self, owed: set[int]) -> list[tuple[int, bool]]:
        """Returns classes with items: those owed their floor, then by rank."""
        waiting = [i for i in range(CLASSES) if self._classes[i].teams]
        rest = [(i, False) for i in waiting if i not in owed]
        return [(i, True) for i in sorted(owed)] + rest

    def _head_cost(self, index: int) -> int:
        """Returns the credit that the class needs before it goes first."""
        teams = self._classes[index].teams
        team = min(teams.values(), key=lambda t: t.served)
        heads = [h[0] for h in (team.short, team.long) if h]
        head = min(heads, key=lambda entry: (entry.due, entry.seq))
        return min(cost_tokens(head.item), FLOOR_BURST_TOKENS)

    def _pick(
        self, index: int, capacity: queueing.Capacity, now: float, *, owed: bool
    ) -> tuple[queueing.QueueItem | None, bool]:
        """Returns the item to start, and whether one has to wait for memory.

        A class that is owed its floor leaves no headroom, or others would keep
        it below the floor.
        """
        settings = self._settings
        teams = self._classes[index].teams.values()
        for team in sorted(teams, key=lambda t: t.served):
            flooded = team.count >= settings.backlog_items[index] and not owed
            limit = (
                settings.backlog_prefills if flooded else settings.max_prefills
            )
            reserve = (
                settings.headroom_slot_share * capacity.slots if flooded else 0
            )
            if capacity.slots_free <= reserve or capacity.prefills >= limit:
                continue
            guest = self._flooded > 0 and not flooded
            for entry in queueing_teams.heads(
                team, self._long_open(capacity, guest=guest)
            ):
                kv_free = capacity.kv_tokens_free
                kv_free -= self._kv_reserve(entry, capacity) if flooded else 0
                if entry.item.kv_tokens <= kv_free:
                    return entry.item, False
                small = entry.item.kv_tokens <= SMALL_KV_TOKENS
                if not flooded and (small or now >= entry.due):
                    return None, True
        return None, False

    def _kv_reserve(
        self, entry: queueing_teams.Entry, capacity: queueing.Capacity
    ) -> int:
        """Returns the memory that an item of a backlog has to leave free.

        An item that needs more than the engine has beside the headroom would
        never start, so it may use the headroom.
        """
        reserve = round(self._settings.headroom_kv_share * capacity.kv_tokens)
        fits_beside = entry.item.kv_tokens <= capacity.kv_tokens - reserve
        return reserve if fits_beside else 0

    def _long_open(self, capacity: queueing.Capacity, *, guest: bool) -> bool:
        """Tells whether a long request may start."""
        settings = self._settings
        limit = settings.max_long_prefills
        if guest:
            limit = max(limit, settings.max_long_prefills_beside_backlog)
        return capacity.long_prefills < limit

    def _charge(self, index: int, item: queueing.QueueItem) -> None:
        cost = cost_tokens(item)
        group = self._classes[index]
        name = item.team if self._settings.by_team else ""
        team = group.teams[name]
        group.served = max(group.served, team.served)
        team.served += cost / team.weight
        if any(higher.teams for higher in self._classes[:index]):
            group.credit -= cost
        else:
            group.credit = max(min(group.credit, 0.0), group.credit - cost)
        for other, floor in zip(
            self._classes, self._settings.floors, strict=True
        ):
            if other.teams:
                other.credit += cost * floor

    def _trim(self, heap: list[queueing_teams.Entry]) -> None:
        """Drops removed entries from the head of a heap."""
        while heap:
            item = heap[0].item
            if self._items.get(item.req_id) is item:
                return
            heapq.heappop(heap)
