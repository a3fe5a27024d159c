"""Decides whether requests may go to upstreams that name a limit, and when.

It combines the table of limits with the upstream list; both are updated by
others.
"""

from collections.abc import Callable

from apricottrestle.gateway import upstream_limits, upstream_list


class LimitGate:
    """The limits of a service's upstreams, as routing sees them."""

    def __init__(
        self,
        limits: upstream_limits.UpstreamLimits,
        members: upstream_list.Membership,
        turn: Callable[[str], int],
    ) -> None:
        """Creates a gate.

        Args:
            limits: Limits of the upstreams.
            members: Upstreams of all services.
            turn: Returns the number of gateways that go first at an upstream.
        """
        self._limits = limits
        self._members = members
        self._turn = turn

    def allowed(
        self, service: str, now: float
    ) -> list[upstream_list.UpstreamEntry]:
        """Returns the usable upstreams of a service that may get a request."""
        return [
            entry
            for entry in self._members.usable(service)
            if self._limits.wait_s(entry.upstream_id, self._turn, now) <= 0
        ]

    def wait_s(self, service: str, now: float) -> float:
        """Returns the time until a limit of a service allows a request.

        0 if one is allowed now, or the service has no upstream.
        """
        return min(
            (
                self._limits.wait_s(entry.upstream_id, self._turn, now)
                for entry in self._members.usable(service)
            ),
            default=0.0,
        )

    def queue_wait_s(
        self, service: str, ahead: int, gateways: int, now: float
    ) -> float:
        """Returns the time for which limits keep a request in the queue.

        0 if an upstream of the service has no limit.

        Args:
            service: The service.
            ahead: Requests for the service that have waited longer here.
            gateways: Gateways that share the limits, evenly.
            now: Monotonic time in seconds.
        """
        per_s = 0.0
        for entry in self._members.usable(service):
            limit = self._limits.limit(entry.upstream_id)
            if limit is None:
                return 0.0
            per_s += limit
        own_per_s = max(per_s / gateways, upstream_limits.MIN_PER_S)
        return self.wait_s(service, now) + ahead / own_per_s
