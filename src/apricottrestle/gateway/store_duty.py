"""Which gateways read the store for the fleet.

The store's price and limits are those of the whole fleet, so two gateways wait
for configurations and one polls the upstream list; the others get what they
read. The duty follows from who is heard, without agreement: when two gateways
both read, nothing is lost but a call.

Pure functions.
"""

from collections.abc import Iterable
from typing import Final, NamedTuple

CONFIG_READERS: Final = 2
"""Gateways that wait for configurations: one may fail without delay."""

LIST_POLL_S: Final = 0.5
"""Interval of polls of the upstream list; a quarter of the time within which
an upstream that leaves may get no more work."""

LIST_STEP_S: Final = 0.25
"""Time added to the interval for each gateway that should poll before, above
the delay of a message between gateways."""

MAX_STEPS: Final = 3
"""Most steps, so that a large fleet still polls in time on its own."""


class Reader(NamedTuple):
    """A gateway that may read the store.

    Attributes:
        incarnation: Random id of its process; the order of duty.
        reaches_store: Whether its last call to the store was answered.
    """

    incarnation: str
    reaches_store: bool


def rank(own: Reader, others: Iterable[Reader]) -> int:
    """Returns the number of gateways that should read before this one."""
    return sum(
        other.reaches_store
        and (not own.reaches_store or other.incarnation < own.incarnation)
        for other in others
    )


def waits_for_config(own_rank: int) -> bool:
    """Whether a gateway of this rank waits for configurations itself."""
    return own_rank < CONFIG_READERS


def list_due_s(own_rank: int) -> float:
    """Returns the age of the upstream list at which to poll it."""
    return LIST_POLL_S + LIST_STEP_S * min(own_rank, MAX_STEPS)
