"""Keeps what upstreams say of themselves in their answers to this gateway.

An upstream may say that it leaves, or that it wants no requests from this
gateway for a time. Both bind this gateway alone, whatever the store says
meanwhile, and belong to one start of the upstream: a record of an older start,
or of the same one, doesn't end them.

Invariant: a statement of an earlier start never holds for a later one.
"""

import math
from typing import Final, NamedTuple

MAX_UPSTREAMS: Final = 4_096
"""Upstreams whose statements are kept, the latest ones."""

UNKNOWN_START_MS: Final = 0
"""Start time of upstreams whose entries don't have one."""


class _Statements(NamedTuple):
    """What one start of an upstream has said.

    Attributes:
        started_at_ms: Start time of its process, as listed.
        leaves: Whether it leaves.
        until: Monotonic time until which it wants no requests.
    """

    started_at_ms: int
    leaves: bool
    until: float


class UpstreamNotices:
    """Table of the statements of upstreams."""

    def __init__(self) -> None:
        """Creates an empty table."""
        self._rows: dict[str, _Statements] = {}

    def observe(
        self,
        upstream_id: str,
        started_at_ms: int,
        now: float,
        *,
        leaves: bool,
        wait_s: float | None,
    ) -> bool:
        """Records what an answer says; returns whether it says more.

        Args:
            upstream_id: The upstream.
            started_at_ms: Start time of its process, as listed when the request
                was sent.
            now: Monotonic time in seconds.
            leaves: Whether the upstream leaves.
            wait_s: Time in seconds for which it wants no requests, or None. A
                shorter one doesn't end a longer one.
        """
        before = self._rows.get(upstream_id)
        if before is not None and before.started_at_ms > started_at_ms:
            return False
        if before is None or before.started_at_ms < started_at_ms:
            before = _Statements(started_at_ms, False, -math.inf)
        until = before.until if wait_s is None else now + wait_s
        row = _Statements(
            started_at_ms, before.leaves or leaves, max(before.until, until)
        )
        if row == before or (not row.leaves and row.until <= now):
            return False
        self._rows.pop(upstream_id, None)
        self._rows[upstream_id] = row
        if len(self._rows) > MAX_UPSTREAMS:
            del self._rows[next(iter(self._rows))]
        return True

    def wait_s(self, upstream_id: str, started_at_ms: int, now: float) -> float:
        """Returns the time until an upstream may get a request.

        0 if it may now, infinite if this start of it leaves.

        Args:
            upstream_id: The upstream.
            started_at_ms: Start time of its process, as listed now.
            now: Monotonic time in seconds.
        """
        row = self._rows.get(upstream_id)
        if row is None or row.started_at_ms < started_at_ms:
            return 0.0
        return math.inf if row.leaves else max(row.until - now, 0.0)

    def upstream_gone(self, upstream_id: str) -> None:
        """Ends the statements of an upstream that left and names no start."""
        row = self._rows.get(upstream_id)
        if row is not None and row.started_at_ms == UNKNOWN_START_MS:
            del self._rows[upstream_id]

    def upstream_restarted(self, upstream_id: str) -> bool:
        """Ends the statements of the earlier starts of an upstream.

        Returns:
            Whether there were any.
        """
        return self._rows.pop(upstream_id, None) is not None
