"""The interface through which changes of this gateway's load are reported."""

from apricottrestle.gateway import engine_claims, engine_load


class RunListener:
    """Receives changes of this gateway's load, to report them to peers.

    The methods of this base class do nothing.
    """

    def run_started(self, run: engine_load.Run) -> None:
        """Called when a run has been added to the load tables."""

    def run_first_event(self, run_id: str) -> None:
        """Called when a run's first event has arrived."""

    def run_ended(self, run_id: str) -> None:
        """Called when a run has been removed from the load tables."""

    def calls_changed(self, upstream_id: str, count: int) -> None:
        """Called when the number of calls to a plain upstream has changed."""

    def claim_added(self, claim: engine_claims.Claim) -> None:
        """Called when a waiting request has claimed engines."""

    def claim_removed(self, claim_id: str) -> None:
        """Called when a claim has been removed."""

    def gateway_count(self) -> int:
        """Returns the number of live gateways, including this gateway."""
        return 1

    def placement_rank(self, engine: str) -> int:
        """Returns how many gateways go first at an engine that becomes free."""
        return 0

    def peers_in_rotation(self) -> int:
        """Returns the number of other gateways that callers can reach."""
        return 0

    def peers_leaving(self) -> int:
        """Returns the number of stopping peers that callers may still reach."""
        return 0

    def limits_changed(self, upstream_ids: list[str]) -> None:
        """Called when limits, or requests that count against them, changed."""

    def crashes_changed(self, crash_ids: list[str]) -> None:
        """Called when this gateway has learned more of crashes of engines."""
