"""Decides which gateways read the store for the fleet.

The store charges and limits calls per fleet. Therefore two gateways wait for
configurations and one polls the upstream list; they share what they read with
the others. Each gateway derives its rank from the peers that it counts as
alive, without a consensus protocol: if two gateways both read, the only cost is
one extra call.

Pure functions.
"""

from collections.abc import Iterable
from typing import Final, NamedTuple

CONFIG_READERS: Final = 2
"""Gateways that wait for configurations: two, so that one may fail without
delaying a new version."""

LIST_POLL_S: Final = 0.5
"""Interval of polls of the upstream list: a quarter of the time within which
requests to a draining upstream must cease."""

LIST_POLL_RANK_DELAY_S: Final = 0.25
"""Time added to the interval for each gateway of a lower rank. It exceeds the
delay of a message between gateways, so that a shared read arrives in time."""

MAX_DELAYED_RANKS: Final = 3
"""Highest rank that adds to the interval. Bounds the interval in a large fleet
for a gateway that gets no shared reads."""


class Reader(NamedTuple):
    """A gateway that may read the store.

    Attributes:
        incarnation: Random id of its process; lower ids read first.
        reaches_store: Whether its last call to the store was answered.
    """

    incarnation: str
    reaches_store: bool


def rank(own: Reader, others: Iterable[Reader]) -> int:
    """Returns the number of gateways that should read rather than this one.

    Gateways that reach the store precede those that don't.
    """
    return sum(
        other.reaches_store
        and (not own.reaches_store or other.incarnation < own.incarnation)
        for other in others
    )


def is_config_reader(own_rank: int) -> bool:
    """Returns whether a gateway of this rank waits for configurations."""
    return own_rank < CONFIG_READERS


def list_max_age_s(own_rank: int) -> float:
    """Returns the age of the upstream list at which this rank polls it."""
    return LIST_POLL_S + LIST_POLL_RANK_DELAY_S * min(
        own_rank, MAX_DELAYED_RANKS
    )
