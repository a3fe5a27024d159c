"""Chooses the upstreams of a service that may serve a request.

It combines what this gateway may send with what it has seen of each upstream
and with what the request has tried.
"""

from collections.abc import Mapping
from typing import TYPE_CHECKING, Final

from apricottrestle import hashing
from apricottrestle.gateway import (
    fleet_config,
    send_gate,
    settings,
    upstream_health,
    upstream_list,
)

if TYPE_CHECKING:
    from apricottrestle.gateway import exchange

REMOTE_LATENCY_S: Final = 0.001
"""Assumed one-way network latency to another data centre whose delay the
configuration doesn't publish."""


class UpstreamChoice:
    """The upstreams that may be chosen for a request, and their order."""

    def __init__(
        self,
        cfg: settings.GatewaySettings,
        gate: send_gate.SendGate,
        health: upstream_health.UpstreamHealth,
    ) -> None:
        """Creates a choice over the upstreams that the gate allows."""
        self._cfg = cfg
        self._send_gate = gate
        self._health = health
        self._preferences: dict[str, int] = {}
        self._delays: dict[str, float] = {}

    def configure(self, cfg: settings.GatewaySettings) -> None:
        """Applies new settings."""
        self._cfg = cfg

    def set_delays(self, services: Mapping[str, fleet_config.Service]) -> None:
        """Takes the network delays from a new configuration."""
        self._delays = fleet_config.delays_from(services, self._cfg.data_centre)

    def usable(
        self, service: str, request: "exchange.Exchange", now: float
    ) -> list[upstream_list.UpstreamEntry]:
        """Returns the upstreams of a service that may be chosen.

        Those whose limit is used up may not, and neither may one at which the
        request is, but has fallen silent. Prefers upstreams that the request
        has not tried and that are not ejected, then any that it has not tried,
        then all usable upstreams.
        """
        stalled = request.stalled_upstream
        usable = [
            entry
            for entry in self._send_gate.allowed(
                service, request.accepted.regions, now
            )
            if entry.upstream_id != stalled
        ]
        for choice in (
            [
                entry
                for entry in usable
                if entry.upstream_id not in request.tried_upstreams
                and not self._health.is_ejected(entry.upstream_id, now)
            ],
            [
                entry
                for entry in usable
                if entry.upstream_id not in request.tried_upstreams
            ],
        ):
            if choice:
                return choice
        return usable

    def latency_s(self, entry: upstream_list.UpstreamEntry) -> float:
        """Returns the one-way network latency to an upstream."""
        if entry.data_centre == self._cfg.data_centre:
            return 0.0
        return self._delays.get(entry.data_centre, REMOTE_LATENCY_S)

    def preference(self, upstream_id: str) -> int:
        """Returns this gateway's tie-breaker among equal upstreams."""
        score = self._preferences.get(upstream_id)
        if score is None:
            score = self._preferences[upstream_id] = hashing.rendezvous_score(
                self._cfg.instance_id, upstream_id
            )
        return score

    def forget(self, upstream_id: str) -> None:
        """Drops the tie-breaker of an upstream that is gone."""
        self._preferences.pop(upstream_id, None)
