"""The production queue: priority classes with floors, and fair team shares.

The next item is chosen by class, then by team, then by soft deadline:

- The most urgent class goes first, unless a less urgent one is below its
  floor: it has received less than its guaranteed minimum share of the tokens
  started while it had queued items.
- Within a class, the team with the fewest started tokens per weight goes first
  (start-time fair queueing). An idle team gains no credit.
- A team with a backlog leaves some slots, KV cache and prefill capacity free,
  so that requests of other teams and classes start at once. The idea is from
  Chang, Garcia-Molina and Li, "2D BubbleUp: Managing Parallel Disks for Media
  Servers", which keeps free service slots in the near future for new arrivals.
- Within a team, the item with the earliest soft deadline goes first. The soft
  deadline is the arrival time plus a slack proportional to the prompt length,
  so short requests overtake long ones without starving them.

Long prompts have a limit of their own: at most `max_long_prefills` are in
prefill at a time, and short requests overtake a long one that waits for this
limit.

Invariant: an item is in exactly one team queue, and `queued_tokens` is the sum
over these items.
"""

import heapq
from typing import Final, NamedTuple

from apricottrestle import messages, queueing, queueing_rate, queueing_teams

CLASS_COUNT: Final = len(messages.PRIORITIES)

SLACK_S_PER_TOKEN: Final = 0.0005
"""Slack of the soft deadline per prompt token, about ten times the prefill time
of a token."""

MAX_REQUIRED_CREDIT_TOKENS: Final = 8_192
"""Maximum floor credit that a class needs to precede more urgent classes. A
larger item makes the credit negative, so that a 1M-token item doesn't wait
until 1M tokens of credit have accumulated."""

RATE_BACKLOG_S: Final = 5.0
"""Queued prefill work, in seconds at the engine's nominal rate, from which on
the observed rate is reported instead."""

SMALL_KV_TOKENS: Final = 16_384
"""Items that need at most this much KV cache get it after a short wait, so no
other item of their class or of a less urgent one starts meanwhile."""


class QueueSettings(NamedTuple):
    """Settings of the queue. The flags exist for ablations in the benchmark.

    Attributes:
        floors: Guaranteed minimum share of the started tokens per priority
            class, 0 to 1, most urgent class first.
        by_priority: Serve priority classes in order of urgency.
        by_team: Share a class between teams by weight.
        short_first: Let short requests overtake long ones.
        max_prefills: Maximum number of requests in prefill at a time.
        max_long_prefills: Maximum number of long requests in prefill at a time.
        max_long_prefills_beside_backlog: Value of `max_long_prefills` for teams
            without a backlog while another team has one.
        backlog_items: Number of queued items of one team, per priority class,
            from which on the team has a backlog. Under steady load a queue
            rarely holds more than a few items, and a single long prompt must
            not count as a backlog. Batch requests can wait, so the number is
            lower for them.
        backlog_prefills: Value of `max_prefills` for a team with a backlog.
        headroom_slot_share: Share of the slots that a team with a backlog
            leaves free.
        headroom_kv_share: Share of the KV cache that a team with a backlog
            leaves free.
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
    """Returns the tokens that a team is charged for starting an item."""
    return max(1, item.prompt_tokens + item.max_tokens)


def engine_priority(item: queueing.QueueItem) -> int:
    """Returns the priority of a request for an engine's own scheduler.

    0 is the most urgent. Short requests of all classes precede long ones. The
    queue starts few requests at a time, so short ones hardly delay a long one.
    """
    is_long = item.prompt_tokens > queueing.LONG_PROMPT_TOKENS
    return item.priority + (CLASS_COUNT if is_long else 0)


class PriorityFairQueue(queueing.RequestQueue):
    """Queue with priority classes, floors, fair team shares, short items first.

    The module documentation describes the order.
    """

    def __init__(self, settings: QueueSettings | None = None) -> None:
        """Creates an empty queue; default settings if none are given."""
        self._settings = settings or QueueSettings()
        self._classes = [
            queueing_teams.ClassQueue() for _ in range(CLASS_COUNT)
        ]
        self._items: dict[str, queueing.QueueItem] = {}
        self._seq = 0
        self._rate = queueing_rate.ObservedRate()
        self._backlogged_teams = 0

    def set_floors(self, floors: tuple[float, ...]) -> None:
        """Replaces the floors of the priority classes, most urgent first.

        Raises:
            ValueError: The number of floors isn't the number of classes, a
                floor is negative, or their sum is above 1.
        """
        if len(floors) != CLASS_COUNT or min(floors) < 0 or sum(floors) > 1:
            raise ValueError(
                f"floors {floors}: expected {CLASS_COUNT} shares of at least 0 "
                "with a sum of at most 1"
            )
        self._settings = self._settings._replace(floors=floors)

    def push(self, item: queueing.QueueItem) -> None:
        """Adds an item; replaces a queued item with the same request id."""
        self.remove(item.req_id)
        class_queue = self._classes[self._class_of(item)]
        team_name = item.team if self._settings.by_team else ""
        team = class_queue.teams.get(team_name)
        if team is None:
            team = class_queue.teams[team_name] = queueing_teams.TeamQueue(
                max(item.weight, 1e-6)
            )
            team.start_tag = max(
                class_queue.virtual_time,
                class_queue.idle_start_tags.pop(team_name, 0.0),
            )
        team.weight = max(item.weight, 1e-6)
        self._seq += 1
        slack = SLACK_S_PER_TOKEN if self._settings.short_first else 0.0
        soft_deadline = item.enqueued + slack * item.prompt_tokens
        heap = team.long_items if self._is_long(item) else team.short_items
        heapq.heappush(
            heap, queueing_teams.Entry(soft_deadline, self._seq, item)
        )
        team.queued_tokens += item.prompt_tokens
        team.count += 1
        limit = self._settings.backlog_items[self._class_of(item)]
        self._backlogged_teams += team.count == limit
        class_queue.queued_tokens += item.prompt_tokens
        self._items[item.req_id] = item

    def pop(
        self, capacity: queueing.Capacity, now: float
    ) -> queueing.QueueItem | None:
        """Removes and returns the item to start now; None if none can start.

        An item that waits for KV cache blocks its own and all less urgent
        classes once it is past its soft deadline, or if it needs at most
        SMALL_KV_TOKENS. Otherwise items behind it could use up the memory
        whenever some is freed, and it might never start.
        """
        self._rate.observe(capacity, now, backlog=bool(self._items))
        below_floor = self._classes_below_floor()
        for index, is_below_floor in self._class_order(below_floor):
            item, blocked = self._select_item(
                index, capacity, now, below_floor=is_below_floor
            )
            if item is not None:
                self._rate.add_started(item)
                self._charge_team_and_class(index, item)
                self.remove(item.req_id)
                return item
            if blocked:
                return None
        return None

    def remove(self, req_id: str) -> queueing.QueueItem | None:
        """Removes and returns an item; None if the request isn't queued."""
        item = self._items.pop(req_id, None)
        if item is None:
            return None
        class_queue = self._classes[self._class_of(item)]
        team_name = item.team if self._settings.by_team else ""
        team = class_queue.teams[team_name]
        team.queued_tokens -= item.prompt_tokens
        limit = self._settings.backlog_items[self._class_of(item)]
        self._backlogged_teams -= team.count == limit
        team.count -= 1
        class_queue.queued_tokens -= item.prompt_tokens
        self._drop_removed_heads(team.short_items)
        self._drop_removed_heads(team.long_items)
        if not team.short_items and not team.long_items:
            class_queue.remove_team(team_name)
        if not class_queue.teams:
            class_queue.floor_credit = min(class_queue.floor_credit, 0.0)
        return item

    def queued_tokens(self) -> list[int]:
        """Returns the queued prompt tokens of each priority class."""
        totals = [0] * CLASS_COUNT
        if self._settings.by_priority:
            return [class_queue.queued_tokens for class_queue in self._classes]
        for item in self._items.values():
            totals[item.priority] += item.prompt_tokens
        return totals

    def expected_wait_s(
        self, item: queueing.QueueItem, capacity: queueing.Capacity
    ) -> float:
        """Returns the expected wait, in seconds, of an item pushed now.

        Items of other teams count only as far as fair sharing starts them
        first. More urgent classes count only as far as the floor of the item's
        class allows.
        """
        index = self._class_of(item)
        rate = self.effective_tokens_per_s(capacity)
        own_class = self._tokens_ahead(index, item)
        more_urgent_tokens = sum(
            urgent_class.queued_tokens for urgent_class in self._classes[:index]
        )
        running = capacity.prefill_tokens_left
        wait_s = (own_class + more_urgent_tokens + running) / rate
        floor = self._settings.floors[index]
        if floor > 0 and more_urgent_tokens:
            wait_s = min(wait_s, (own_class + running) / (rate * floor))
        return wait_s

    def effective_tokens_per_s(self, capacity: queueing.Capacity) -> float:
        """Returns the prefill rate: under backlog observed, else nominal.

        A backlog is at least RATE_BACKLOG_S of queued work: a single request
        that waits for a prefill slot says nothing about the engine's rate.
        """
        nominal = capacity.prefill_tokens_per_s
        queued = sum(class_queue.queued_tokens for class_queue in self._classes)
        if queued < nominal * RATE_BACKLOG_S:
            return nominal
        return self._rate.tokens_per_s(nominal)

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

    def _tokens_ahead(self, index: int, item: queueing.QueueItem) -> float:
        """Returns the queued tokens of the class that start before the item."""
        class_queue = self._classes[index]
        if not self._settings.by_team:
            return class_queue.queued_tokens
        own_team = class_queue.teams.get(item.team)
        own_tokens = own_team.queued_tokens if own_team else 0
        per_weight = (own_tokens + item.prompt_tokens) / max(item.weight, 1e-6)
        ahead = float(own_tokens)
        for name, team in class_queue.teams.items():
            if name != item.team:
                ahead += min(team.queued_tokens, per_weight * team.weight)
        return ahead

    def _classes_below_floor(self) -> set[int]:
        """Returns the classes with items that are below their floor."""
        return {
            index
            for index, class_queue in enumerate(self._classes)
            if class_queue.teams
            and class_queue.floor_credit >= self._required_credit(index)
        }

    def _class_order(self, below_floor: set[int]) -> list[tuple[int, bool]]:
        """Returns the classes with items in the order in which they are served.

        Classes below their floor come first. The flag of a class tells whether
        it is below its floor.
        """
        waiting = [
            index for index in range(CLASS_COUNT) if self._classes[index].teams
        ]
        others = [
            (index, False) for index in waiting if index not in below_floor
        ]
        return [(index, True) for index in sorted(below_floor)] + others

    def _required_credit(self, index: int) -> int:
        """Returns the floor credit at which the class goes first."""
        teams = self._classes[index].teams
        team = min(teams.values(), key=lambda t: t.start_tag)
        heads = [
            heap[0] for heap in (team.short_items, team.long_items) if heap
        ]
        head = min(heads, key=lambda entry: (entry.soft_deadline, entry.seq))
        return min(cost_tokens(head.item), MAX_REQUIRED_CREDIT_TOKENS)

    def _select_item(
        self,
        index: int,
        capacity: queueing.Capacity,
        now: float,
        *,
        below_floor: bool,
    ) -> tuple[queueing.QueueItem | None, bool]:
        """Selects the item of a class to start.

        A class below its floor leaves no headroom, or other classes would keep
        it below the floor.

        Returns:
            The item, or None, and whether an item that waits for KV cache
            blocks this class and less urgent ones.
        """
        settings = self._settings
        teams = self._classes[index].teams.values()
        for team in sorted(teams, key=lambda t: t.start_tag):
            leaves_headroom = (
                team.count >= settings.backlog_items[index] and not below_floor
            )
            limit = (
                settings.backlog_prefills
                if leaves_headroom
                else settings.max_prefills
            )
            reserve = (
                settings.headroom_slot_share * capacity.slots
                if leaves_headroom
                else 0
            )
            if capacity.slots_free <= reserve or capacity.prefills >= limit:
                continue
            beside_backlog = self._backlogged_teams > 0 and not leaves_headroom
            for entry in queueing_teams.startable_entries(
                team,
                self._long_may_start(capacity, beside_backlog=beside_backlog),
            ):
                kv_free = capacity.kv_tokens_free
                kv_free -= (
                    self._kv_reserve(entry, capacity) if leaves_headroom else 0
                )
                if entry.item.kv_tokens <= kv_free:
                    return entry.item, False
                needs_little_kv = entry.item.kv_tokens <= SMALL_KV_TOKENS
                if not leaves_headroom and (
                    needs_little_kv or now >= entry.soft_deadline
                ):
                    return None, True
        return None, False

    def _kv_reserve(
        self, entry: queueing_teams.Entry, capacity: queueing.Capacity
    ) -> int:
        """Returns the KV cache that an item of a backlog must leave free.

        An item that needs more than the whole KV cache less the headroom would
        never start, so it may use the headroom.
        """
        reserve = round(self._settings.headroom_kv_share * capacity.kv_tokens)
        fits_beside = entry.item.kv_tokens <= capacity.kv_tokens - reserve
        return reserve if fits_beside else 0

    def _long_may_start(
        self, capacity: queueing.Capacity, *, beside_backlog: bool
    ) -> bool:
        """Returns whether a long request may start."""
        settings = self._settings
        limit = settings.max_long_prefills
        if beside_backlog:
            limit = max(limit, settings.max_long_prefills_beside_backlog)
        return capacity.long_prefills < limit

    def _charge_team_and_class(
        self, index: int, item: queueing.QueueItem
    ) -> None:
        """Charges a started item to its team and class.

        The tokens are subtracted from the floor credit of the item's class,
        which falls below 0 only while a more urgent class has items. Then every
        class with items gains its floor, a share of the tokens, as credit.
        """
        cost = cost_tokens(item)
        class_queue = self._classes[index]
        team_name = item.team if self._settings.by_team else ""
        team = class_queue.teams[team_name]
        class_queue.virtual_time = max(class_queue.virtual_time, team.start_tag)
        team.start_tag += cost / team.weight
        if any(higher.teams for higher in self._classes[:index]):
            class_queue.floor_credit -= cost
        else:
            class_queue.floor_credit = max(
                min(class_queue.floor_credit, 0.0),
                class_queue.floor_credit - cost,
            )
        for other, floor in zip(
            self._classes, self._settings.floors, strict=True
        ):
            if other.teams:
                other.floor_credit += cost * floor

    def _drop_removed_heads(self, heap: list[queueing_teams.Entry]) -> None:
        """Removes entries of items no longer queued from the head of a heap."""
        while heap:
            item = heap[0].item
            if self._items.get(item.req_id) is item:
                return
            heapq.heappop(heap)
