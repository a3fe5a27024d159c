"""Decides which gateways stay in the load balancer's rotation while they stop.

Planned stops may overlap. If every gateway that is asked to stop left the
rotation at once, callers would find none until the first has started again.
Therefore the gateways that were asked last stay in rotation for a short time,
while too few others are in rotation. Each gateway decides by itself, from the
stop orders that the gateways tell each other.

Invariant: no gateway is in rotation READY_CHECK_AFTER_S after its stop signal.
The platform allows some, but counts them over the stops of a whole day, and no
gateway outlives those that it would have to count.

Pure functions.
"""

from collections.abc import Sequence
from typing import Final, NamedTuple

MIN_ROTATION_SHARE: Final = 0.25
"""Share of the fleet that stays in rotation at the beginning of its stops."""

READY_CHECK_AFTER_S: Final = 4.0
"""Time after a stop signal at which the platform counts a gateway that is still
in rotation."""

READINESS_INTERVAL_S: Final = 1.0
MAX_FAILED_CHECKS: Final = 2
"""Readiness checks of the load balancer, which takes a gateway out of rotation
after this many failed ones in a row."""

READINESS_SLACK_S: Final = 0.2
"""Delay of readiness checks at a busy gateway."""

MAX_STAY_S: Final = (
    READY_CHECK_AFTER_S
    - MAX_FAILED_CHECKS * READINESS_INTERVAL_S
    - READINESS_SLACK_S
)
"""Time after its stop signal until which a gateway may be ready."""

JOIN_S: Final = 1.2
"""Time after which a gateway that has become ready counts as in rotation: the
load balancer checks readiness once per second."""


class Member(NamedTuple):
    """A gateway, as far as its place in the rotation is concerned.

    Attributes:
        incarnation: Random id of its process.
        stop_order: Position in the sequence of stops; 0 if it isn't stopping.
        available: Whether it is in rotation, or may be although it is
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
