"""Decides which gateways stay in the load balancer's rotation while they stop.

Planned stops may overlap. If every gateway that is asked to stop left the
rotation at once, callers would find none until the first has started again.
Therefore the gateways that were asked last stay in rotation, while they have
time left and too few others are in rotation. Each gateway decides by itself,
from the stop orders that the gateways tell each other.

Pure functions.
"""

from collections.abc import Sequence
from typing import Final, NamedTuple

MIN_ROTATION_SHARE: Final = 0.25
"""Share of the fleet that stays in rotation during stops. The platform allows
this share of the stopping gateways, or a single one, to be ready four seconds
after the signal."""

JOIN_S: Final = 1.2
"""Time after which a gateway that has become ready counts as in rotation: the
load balancer checks readiness once per second."""

UNHEARD_S: Final = 3.0
"""Time after its stop at which a gateway assumes that peers which it no longer
hears are in rotation. A gateway that is cut off from its peers thus leaves
before the platform counts those that are still ready."""


class Member(NamedTuple):
    """A gateway, as far as its place in the rotation is concerned.

    Attributes:
        incarnation: Random id of its process.
        stop_order: Position in the sequence of stops; 0 if it isn't stopping.
        available: Whether it is in rotation, or would be if it weren't
            stopping.
    """

    incarnation: str
    stop_order: int
    available: bool


def next_stop_order(others: Sequence[Member]) -> int:
    """Returns the stop order of a gateway that is asked to stop now.

    Stops that begin within the delay of a message may get the same order; the
    incarnation then decides between them.
    """
    return 1 + max((other.stop_order for other in others), default=0)


def min_in_rotation(fleet_size: int) -> int:
    """Returns the number of gateways that should stay in rotation."""
    return max(1, int(fleet_size * MIN_ROTATION_SHARE))


def stays(own: Member, others: Sequence[Member], fleet_size: int) -> bool:
    """Returns whether a stopping gateway stays in rotation.

    Args:
        own: The gateway that decides.
        others: The gateways that it hears.
        fleet_size: Number of gateways when it was asked to stop.
    """
    ahead = sum(
        other.available
        and (
            other.stop_order == 0
            or (other.stop_order, other.incarnation)
            > (own.stop_order, own.incarnation)
        )
        for other in others
    )
    return own.available and ahead < min_in_rotation(fleet_size)
