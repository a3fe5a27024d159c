"""Tells the table of cold upstreams what a gateway sees, and logs beliefs."""

import logging
import math
from typing import Final

from apricottrestle import logs, metrics
from apricottrestle.gateway import (
    calls,
    clock,
    cold_upstreams,
    exchange_host,
    fleet_config,
    fleet_state,
)

_LOG: Final = logging.getLogger(__name__)


class ColdRecords:
    """Passes on the list, answers and lost connections; logs what changes."""

    def __init__(
        self,
        table: cold_upstreams.ColdUpstreams,
        state: fleet_state.FleetState,
    ) -> None:
        """Creates the records, and watches the configuration and the list.

        Args:
            table: Table that is updated.
            state: Configuration and upstreams.
        """
        self._table = table
        self._members = state.members
        state.watch_config(self._on_config)
        state.watch_list(self._on_list)

    def _on_config(
        self, config: fleet_config.FleetConfig, _before: int, _source: str
    ) -> None:
        self._table.set_services(config.services)

    def _on_list(self) -> None:
        self._log(
            self._table.observe_list(self._members.entries(), clock.now())
        )

    def record_head(
        self, attempt: exchange_host.Attempt, head: calls.ResponseHead
    ) -> None:
        """Records what the head of an answer says."""
        if head.cold_s is not None:
            self.record_answer(
                attempt.upstream_id,
                attempt.process_started_at_ms,
                head.cold_s,
                attempt.started_at,
            )

    def record_answer(
        self,
        upstream_id: str,
        started_at_ms: int,
        cold_s: float,
        sent_at: float,
    ) -> None:
        """Records what an answer says; see ColdUpstreams.observe_response."""
        self._log(
            self._table.observe_response(
                upstream_id, started_at_ms, cold_s, sent_at, clock.now()
            )
        )

    def record_loss(self, upstream_id: str) -> None:
        """Records a call that an upstream didn't answer."""
        self._log(self._table.note_loss(upstream_id, clock.now()))

    def tick(self) -> None:
        """Notes the time, and which upstreams are no longer cold."""
        self._log(self._table.tick(clock.now()))

    def _log(self, changes: list[cold_upstreams.Change]) -> None:
        now = clock.now()
        for change in changes:
            logs.decision(
                _LOG,
                "upstream temperature",
                upstream=change.upstream_id,
                outcome="cold" if change.is_cold else "warm",
                source=change.source,
                left_s=round(change.left_s, 3)
                if math.isfinite(change.left_s)
                else None,
                share=self._table.share(change.upstream_id, now),
                window_s=cold_upstreams.WINDOW_S,
                gateways=self._table.fleet.count(now),
            )
        if changes:
            metrics.COLD_UPSTREAMS.set(len(self._table.cold()))
