"""Decides whether this gateway may send requests to upstreams now, and when.

It combines the upstream list, the evacuated data centres, the regions that a
request may use, the limits that upstreams name, what they say of themselves and
the shares of cold ones; all are updated by others. Routing, the queue, the
choice of helpers and the Retry-After of refusals read it.
"""

import math
from collections.abc import Callable, Mapping
from typing import Final

from apricottrestle.gateway import (
    cold_upstreams,
    evacuations,
    fleet_config,
    upstream_limits,
    upstream_list,
    upstream_notices,
)

NO_UPSTREAM: Final = "no_upstream"
"""Reason of the refusal of a request whose service has no upstream."""

OUTSIDE_REGIONS: Final = "outside_regions"
"""Reason of the refusal of a request without an upstream in a region that it
may use."""

EVACUATED: Final = "evacuated"
"""Reason of the refusal of a request whose upstreams are all evacuated."""

HELPER_REQUESTS: Final = 3
"""Requests that an engine gets for its part of a split prompt: its memory is
reserved, renewed and released."""


MAX_COLD_RETRY_SHARE: Final = 0.3
"""Longest Retry-After while an upstream is cold, as a share of the caller's
time left. Another gateway may have its share left, and callers don't return
after a third of their time."""


class SendGate:
    """The upstreams of each service that may get requests, and when."""

    def __init__(
        self,
        limits: upstream_limits.UpstreamLimits,
        notices: upstream_notices.UpstreamNotices,
        cold: cold_upstreams.ColdUpstreams,
        members: upstream_list.Membership,
        evacuated: evacuations.EvacuationTable,
        turn: Callable[[str], int],
    ) -> None:
        """Creates a gate.

        Args:
            limits: Limits of the upstreams.
            notices: What upstreams say of themselves.
            cold: Shares of cold upstreams.
            members: Upstreams of all services.
            evacuated: Data centres that get no requests.
            turn: Returns the number of gateways that go first at an upstream.
        """
        self._limits = limits
        self._notices = notices
        self._cold = cold
        self._members = members
        self._evacuated = evacuated
        self._turn = turn
        self._regions: Mapping[str, str] = {}

    def configure(self, regions: Mapping[str, str]) -> None:
        """Sets the region of each data centre."""
        self._regions = regions

    def usable(
        self, service: str, regions: fleet_config.Regions, now: float
    ) -> list[upstream_list.UpstreamEntry]:
        """Returns the upstreams of a service that get requests, or will.

        Args:
            service: The service.
            regions: Regions whose upstreams may be used; None for all.
            now: Monotonic time in seconds.
        """
        return [
            entry
            for entry in self._members.usable(service)
            if self.is_open(entry, regions)
            and self._notice_wait_s(entry, now) < math.inf
        ]

    def allowed(
        self, service: str, regions: fleet_config.Regions, now: float
    ) -> list[upstream_list.UpstreamEntry]:
        """Returns the upstreams of a service that may get a request now."""
        return [
            entry
            for entry in self.usable(service, regions, now)
            if self._entry_wait_s(entry, now) <= 0
        ]

    def may_send(
        self,
        entry: upstream_list.UpstreamEntry,
        regions: fleet_config.Regions,
        now: float,
    ) -> bool:
        """Returns whether a request may still go to a chosen upstream."""
        return (
            self.is_open(entry, regions)
            and self._notice_wait_s(entry, now) <= 0
        )

    def is_open(
        self, entry: upstream_list.UpstreamEntry, regions: fleet_config.Regions
    ) -> bool:
        """Returns whether a request may use an upstream's data centre."""
        return not self.is_evacuated(entry) and self._is_in(entry, regions)

    def is_evacuated(self, entry: upstream_list.UpstreamEntry) -> bool:
        """Returns whether an upstream's data centre is evacuated."""
        return entry.data_centre in self._evacuated.evacuated

    def pause_s(self, entry: upstream_list.UpstreamEntry, now: float) -> float:
        """Returns the time for which an upstream gets no requests."""
        return self._entry_wait_s(entry, now)

    def refusal_reason(
        self, service: str, regions: fleet_config.Regions
    ) -> str:
        """Returns why a service has no usable upstream for a request."""
        entries = self._members.usable(service)
        inside = [entry for entry in entries if self._is_in(entry, regions)]
        if entries and not inside:
            return OUTSIDE_REGIONS
        if any(map(self.is_evacuated, inside)):
            return EVACUATED
        return NO_UPSTREAM

    def excluded(
        self, service: str, regions: fleet_config.Regions
    ) -> dict[str, int]:
        """Returns how many upstreams are left out, by reason, for the log."""
        if regions is None and not self._evacuated.evacuated:
            return {}
        entries = self._members.usable(service)
        counts = {
            EVACUATED: sum(map(self.is_evacuated, entries)),
            OUTSIDE_REGIONS: sum(
                not self._is_in(entry, regions) for entry in entries
            ),
        }
        return {reason: count for reason, count in counts.items() if count}

    def _is_in(
        self, entry: upstream_list.UpstreamEntry, regions: fleet_config.Regions
    ) -> bool:
        """Returns whether an upstream is in one of the regions.

        One in a data centre whose region isn't known is in none.
        """
        return regions is None or (
            self._regions.get(entry.data_centre) in regions
        )

    def is_scarce(self, upstream_id: str, now: float) -> bool:
        """Returns whether an upstream gets no more requests than needed."""
        return self._limits.limit(upstream_id) is not None or (
            self._cold.is_cold(upstream_id, now)
        )

    def may_help(self, upstream_id: str, now: float) -> bool:
        """Returns whether a cold engine may take a part of a split prompt.

        A helper gets more than one request for it: its memory is reserved,
        renewed and released.
        """
        return (
            not self._cold.is_cold(upstream_id, now)
            or self._cold.share(upstream_id, now) >= HELPER_REQUESTS
        )

    def wait_s(
        self, service: str, regions: fleet_config.Regions, now: float
    ) -> float:
        """Returns the time until an upstream of a service may get a request.

        0 if one may now, or the service has no usable upstream.
        """
        return min(
            (
                self._entry_wait_s(entry, now)
                for entry in self.usable(service, regions, now)
            ),
            default=0.0,
        )

    def retry_after_s(
        self,
        service: str,
        regions: fleet_config.Regions,
        wait_s: float,
        time_left_s: float,
        now: float,
    ) -> float:
        """Returns the Retry-After of a request that has to wait for too long.

        Args:
            service: The service.
            regions: Regions whose upstreams may be used; None for all.
            wait_s: Time for which this gateway can't send the request.
            time_left_s: Time left to the caller.
            now: Monotonic time in seconds.
        """
        if any(
            self._cold.is_cold(entry.upstream_id, now)
            for entry in self.usable(service, regions, now)
        ):
            return min(wait_s, MAX_COLD_RETRY_SHARE * max(time_left_s, 0.0))
        return wait_s

    def queue_wait_s(
        self,
        service: str,
        regions: fleet_config.Regions,
        ahead: int,
        gateways: int,
        now: float,
    ) -> float:
        """Returns the time for which upstreams keep a request in the queue.

        0 if one of the service may get requests at any rate, or there is none.

        Args:
            service: The service.
            regions: Regions whose upstreams may be used; None for all.
            ahead: Requests for the service that have waited longer here.
            gateways: Gateways that share the limits, evenly.
            now: Monotonic time in seconds.
        """
        entries = self.usable(service, regions, now)
        if not entries:
            return 0.0
        per_s = 0.0
        cold_per_s = 0.0
        unlimited_wait_s = math.inf
        for entry in entries:
            limit = self._limits.limit(entry.upstream_id)
            if limit is not None:
                per_s += limit
                continue
            cold_s = self._cold.left_s(entry.upstream_id, now)
            if cold_s > 0:
                cold_per_s += self._cold.per_s(entry.upstream_id, now)
            unlimited_wait_s = min(
                unlimited_wait_s, max(self._notice_wait_s(entry, now), cold_s)
            )
        if unlimited_wait_s <= 0:
            return 0.0
        own_per_s = max(
            per_s / gateways + cold_per_s, upstream_limits.MIN_PER_S
        )
        return min(
            unlimited_wait_s,
            self.wait_s(service, regions, now) + ahead / own_per_s,
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
            self._cold.wait_s(entry.upstream_id, now),
        )
