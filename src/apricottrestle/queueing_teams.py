"""Rows of the fair queue: items by team, teams by class."""

from typing import Final, NamedTuple

from apricottrestle import queueing

MAX_DEBTS: Final = 256
"""Idle teams remembered before those without a debt are dropped."""


class Entry(NamedTuple):
    """Heap entry; `item` is never compared, because `seq` is unique."""

    due: float
    seq: int
    item: queueing.QueueItem


class Team:
    """Items of one team in one class."""

    __slots__ = ("count", "long", "queued_tokens", "served", "short", "weight")

    def __init__(self, weight: float) -> None:
        """Starts without items; weight is the team's share weight."""
        self.weight = weight
        self.served = 0.0
        self.count = 0
        self.queued_tokens = 0
        self.short: list[Entry] = []
        self.long: list[Entry] = []


class ClassQueue:
    """Teams of one class, and the tokens that its floor still owes it."""

    __slots__ = ("credit", "debts", "queued_tokens", "served", "teams")

    def __init__(self) -> None:
        """Starts without teams."""
        self.teams: dict[str, Team] = {}
        self.debts: dict[str, float] = {}
        self.queued_tokens = 0
        self.served = 0.0
        self.credit = 0.0

    def forget(self, name: str) -> None:
        """Drops an idle team, but not what it received ahead of its share.

        Otherwise a team that queues one request at a time would never fall
        behind the others.
        """
        served = self.teams.pop(name).served
        if served > self.served:
            self.debts[name] = served
        if len(self.debts) > MAX_DEBTS:
            self.debts = {
                team: debt
                for team, debt in self.debts.items()
                if debt > self.served
            }


def heads(team: Team, long_open: bool) -> list[Entry]:
    """Returns the team's candidates to start, earliest due first."""
    entries = [team.short[0]] if team.short else []
    if team.long and long_open:
        entries.append(team.long[0])
    return sorted(entries, key=lambda entry: (entry.due, entry.seq))
