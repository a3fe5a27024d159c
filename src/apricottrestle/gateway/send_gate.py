"""Decides whether this gateway may send requests to upstreams now, and when.

It combines the upstream list, the evacuated data centres, the limits that
upstreams name and what they say of themselves; all are updated by others.
Routing, the queue, the choice of helpers and the Retry-After of refusals read
it.
"""

import math
from collections.abc import Callable
from typing import Final

from apricottrestle.gateway import (
    evacuations,
    upstream_limits,
    upstream_list,
    upstream_notices,
)

NO_UPSTREAM: Final = "no_upstream"
"""Reason of the refusal of a request whose service has no upstream."""

EVACUATED: Final = "evacuated"
"""Reason of the refusal of a request whose upstreams are all evacuated."""


class SendGate:
    """The upstreams of each service that may get requests, and when."""

    def __init__(
        self,
        limits: upstream_limits.UpstreamLimits,
        notices: upstream_notices.UpstreamNotices,
        members: upstream_list.Membership,
        evacuated: evacuations.EvacuationTable,
        turn: Callable[[str], int],
    ) -> None:
        """Creates a gate.

        Args:
            limits: Limits of the upstreams.
            notices: What upstreams say of themselves.
            members: Upstreams of all services.
            evacuated: Data centres that get no requests.
            turn: Returns the number of gateways that go first at an upstream.
        """
        self._limits = limits
        self._notices = notices
        self._members = members
        self._evacuated = evacuated
        self._turn = turn

    def usable(
        self, service: str, now: float
    ) -> list[upstream_list.UpstreamEntry]:
        """Returns the upstreams of a service that get requests, or will."""
        return [
            entry
            for entry in self._members.usable(service)
            if not self.is_evacuated(entry)
            and self._notice_wait_s(entry, now) < math.inf
        ]

    def allowed(
        self, service: str, now: float
    ) -> list[upstream_list.UpstreamEntry]:
        """Returns the upstreams of a service that may get a request now."""
        return [
            entry
            for entry in self.usable(service, now)
            if self._entry_wait_s(entry, now) <= 0
        ]

    def may_send(self, entry: upstream_list.UpstreamEntry, now: float) -> bool:
        """Returns whether a request may still go to a chosen upstream."""
        return (
            not self.is_evacuated(entry)
            and self._notice_wait_s(entry, now) <= 0
        )

    def is_evacuated(self, entry: upstream_list.UpstreamEntry) -> bool:
        """Returns whether an upstream's data centre is evacuated."""
        return entry.data_centre in self._evacuated.evacuated

    def pause_s(self, entry: upstream_list.UpstreamEntry, now: float) -> float:
        """Returns the time for which an upstream gets no requests."""
        return self._entry_wait_s(entry, now)

    def refusal_reason(self, service: str) -> str:
        """Returns why a service without usable upstreams has none."""
        if any(map(self.is_evacuated, self._members.usable(service))):
            return EVACUATED
        return NO_UPSTREAM

    def wait_s(self, service: str, now: float) -> float:
        """Returns the time until an upstream of a service may get a request.

        0 if one may now, or the service has no usable upstream.
        """
        return min(
            (
                self._entry_wait_s(entry, now)
                for entry in self.usable(service, now)
            ),
            default=0.0,
        )

    def queue_wait_s(
        self, service: str, ahead: int, gateways: int, now: float
    ) -> float:
        """Returns the time for which upstreams keep a request in the queue.

        0 if one of the service may get requests at any rate, or there is none.

        Args:
            service: The service.
            ahead: Requests for the service that have waited longer here.
            gateways: Gateways that share the limits, evenly.
            now: Monotonic time in seconds.
        """
        entries = self.usable(service, now)
        if not entries:
            return 0.0
        per_s = 0.0
        unlimited_wait_s = math.inf
        for entry in entries:
            limit = self._limits.limit(entry.upstream_id)
            if limit is None:
                unlimited_wait_s = min(
                    unlimited_wait_s, self._notice_wait_s(entry, now)
                )
            else:
                per_s += limit
        if unlimited_wait_s <= 0:
            return 0.0
        own_per_s = max(per_s / gateways, upstream_limits.MIN_PER_S)
        return min(
            unlimited_wait_s, self.wait_s(service, now) + ahead / own_per_s
        )

    def _notice_wait_s(
        self, entry: upstream_list.UpstreamEntry, now: float
    ) -> float:
        return self._notices.wait_s(entry.upstream_id, entry.started_at_ms, now)

    def _entry_wait_s(
        self, entry: upstream_list.UpstreamEntry, now: float
    ) -> float:
        return max(
            self._limits.wait_s(entry.upstream_id, self._turn, now),
            self._notice_wait_s(entry, now),
        )
