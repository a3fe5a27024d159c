"""Records in the health table what attempts show of their upstreams."""

import logging
from collections.abc import Callable
from typing import TYPE_CHECKING, Final

from apricottrestle import logs
from apricottrestle.gateway import (
    exchange_host,
    retry_policy,
    upstream_health,
    upstream_list,
)

if TYPE_CHECKING:
    from apricottrestle.gateway import exchange

_LOG: Final = logging.getLogger(__name__)


class HealthRecords:
    """Attributes the results of attempts to upstreams, and logs failures."""

    def __init__(
        self,
        health: upstream_health.UpstreamHealth,
        members: upstream_list.Membership,
        on_lost: Callable[[str], None],
    ) -> None:
        """Creates the records.

        Args:
            health: Table that is updated.
            members: Upstreams of all services.
            on_lost: Called with the id of an upstream that didn't answer.
        """
        self._health = health
        self._on_lost = on_lost
        self._members = members

    def record_stall(
        self,
        request: "exchange.Exchange",
        attempt: exchange_host.Attempt,
        now: float,
    ) -> None:
        """Records that an attempt's upstream has been silent for too long."""
        was_ejected = self._health.is_ejected(attempt.upstream_id, now)
        ejection_s = self._health.record_stall(
            attempt.upstream_id, attempt.started_at, now
        )
        if not was_ejected:
            logs.decision(
                _LOG,
                "upstream silent",
                request_id=request.req.request_id,
                upstream=attempt.upstream_id,
                aside_s=round(ejection_s, 3),
            )

    def record_attempt(
        self,
        request: "exchange.Exchange",
        attempt: exchange_host.Attempt,
        result: retry_policy.AttemptResult | None,
        fault_address: str | None,
        now: float,
    ) -> None:
        """Records how an attempt has ended; see ExchangeHost.on_attempt_ended.

        Args:
            request: The exchange.
            attempt: The attempt.
            result: How the attempt failed, or None.
            fault_address: Address of the upstream that caused the failure.
            now: Monotonic time in seconds.
        """
        if result is None:
            if request.done and not request.response_started:
                return
            self._health.record_success(attempt.upstream_id, now)
            return
        if result is retry_policy.AttemptResult.WITHDRAWN:
            return
        upstream_id = attempt.upstream_id
        if fault_address is not None and fault_address != attempt.address:
            upstream_id = (
                self._upstream_id_at(
                    request.accepted.service.name, fault_address
                )
                or upstream_id
            )
        lost = result in (
            retry_policy.AttemptResult.LOST,
            retry_policy.AttemptResult.NOT_SENT,
        )
        ejection_s = self._health.record_failure(upstream_id, now, lost=lost)
        if lost:
            self._on_lost(upstream_id)
        logs.decision(
            _LOG,
            "upstream failed",
            request_id=request.req.request_id,
            upstream=upstream_id,
            result=result.value,
            failure_rate=round(self._health.failure_rate(upstream_id, now), 3),
            aside_s=ejection_s,
        )

    def _upstream_id_at(self, service: str, address: str) -> str | None:
        for entry in self._members.usable(service):
            if entry.address == address:
                return entry.upstream_id
        return None
