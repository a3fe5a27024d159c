"""Queues of the fair scheduler: one per priority class, split by team.

Teams share a class by start-time fair queueing: each team has a start tag, the
class has a virtual time, and the team with the smallest start tag goes first.
Both count started tokens divided by the team's weight.
"""

from typing import Final, NamedTuple

from apricottrestle import queueing

MAX_IDLE_TAGS: Final = 256
"""Number of start tags kept for idle teams before obsolete ones are dropped."""


class Entry(NamedTuple):
    """Heap entry; `item` is never compared, because `seq` is unique."""

    soft_deadline: float
    seq: int
    item: queueing.QueueItem


class TeamQueue:
    """Queued items of one team in one priority class.

    Attributes:
        weight: Weight of the team's fair share.
        start_tag: Tokens started for the team per weight.
        count: Number of queued items.
        queued_tokens: Prompt tokens of the queued items.
        short_items: Heap of items with a short prompt.
        long_items: Heap of items with a long prompt.
    """

    __slots__ = (
        "count",
        "long_items",
        "queued_tokens",
        "short_items",
        "start_tag",
        "weight",
    )

    def __init__(self, weight: float) -> None:
        """Creates an empty queue of a team with the given weight."""
        self.weight = weight
        self.start_tag = 0.0
        self.count = 0
        self.queued_tokens = 0
        self.short_items: list[Entry] = []
        self.long_items: list[Entry] = []


class ClassQueue:
    """Queue of one priority class.

    Attributes:
        teams: Queues of the teams that have items in the class.
        idle_start_tags: Start tags, above the virtual time, of teams without
            queued items.
        queued_tokens: Prompt tokens of the queued items of all teams.
        virtual_time: Largest start tag at which an item was started.
        floor_credit: Tokens that the class may start ahead of more urgent
            classes, so that it gets its floor.
    """

    __slots__ = (
        "floor_credit",
        "idle_start_tags",
        "queued_tokens",
        "teams",
        "virtual_time",
    )

    def __init__(self) -> None:
        """Creates a queue without teams."""
        self.teams: dict[str, TeamQueue] = {}
        self.idle_start_tags: dict[str, float] = {}
        self.queued_tokens = 0
        self.virtual_time = 0.0
        self.floor_credit = 0.0

    def remove_team(self, name: str) -> None:
        """Removes a team without items, but keeps a start tag in the future.

        Otherwise a team that queues one request at a time would be charged
        for none of its earlier requests and get more than its share.
        """
        start_tag = self.teams.pop(name).start_tag
        if start_tag > self.virtual_time:
            self.idle_start_tags[name] = start_tag
        if len(self.idle_start_tags) > MAX_IDLE_TAGS:
            self.idle_start_tags = {
                team: idle_tag
                for team, idle_tag in self.idle_start_tags.items()
                if idle_tag > self.virtual_time
            }


def startable_entries(team: TeamQueue, long_may_start: bool) -> list[Entry]:
    """Returns the team's next short and long entry, earliest deadline first.

    Args:
        team: Queue of the team.
        long_may_start: Whether to include the long entry.
    """
    entries = [team.short_items[0]] if team.short_items else []
    if team.long_items and long_may_start:
        entries.append(team.long_items[0])
    return sorted(entries, key=lambda entry: (entry.soft_deadline, entry.seq))
