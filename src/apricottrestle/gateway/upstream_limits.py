"""Keeps upstreams within the limits of requests per second that they name.

A limit holds for all gateways together. Each gateway reports its requests to
limited upstreams to its peers at once, and counts those of all gateways in a
sliding window. No share belongs to a gateway, so that none is lost with one or
lies idle. When an upstream may get its next request, gateways go in an order
that differs between upstreams, some milliseconds apart.

What gateways know of a limit is merged by the latest statement, so that
messages may be lost, late or come twice. Responses may overtake each other: a
limit ends only by a response without one to a request that was sent after the
last response that named it.

Invariant: while the gateways hear each other, an upstream gets at most the
requests of its limit in each window, but for those sent within the delay of a
message.
"""

import math
from collections.abc import Callable, Iterable
from typing import Final, NamedTuple

from apricottrestle.gateway import calls

WINDOW_S: Final = 4.0
"""Window in which requests are counted; the time over which the platform's
upstreams judge their limits."""

MIN_PER_S: Final = 0.05
"""Rate at which an upstream with a lower limit gets requests: only a response
shows that a limit has ended."""

TURN_S: Final = 0.01
"""Time between the turns of two gateways; above the delay of a message."""

MAX_TURNS: Final = 30
"""Turns that are told apart; the last gateways of a large fleet share one."""

ENDED_REPORT_S: Final = 5.0
"""Time for which peers are told that a limit has ended: several messages, some
of which may be lost."""

LIMIT_TTL_S: Final = 600.0
"""Time without a response after which a limit is forgotten."""


class LimitReport(NamedTuple):
    """What a gateway knows of an upstream's limit, and its own requests.

    Attributes:
        upstream_id: The upstream.
        started_at_ms: Start time of its process, as listed.
        per_s: The limit that was named last, in requests per second.
        named_age_s: Time since that response arrived.
        unnamed_age_s: Time since the latest request was sent whose response
            names no limit; infinite if there is none.
        sends: The sender's own requests in the window: number and age in
            seconds.
    """

    upstream_id: str
    started_at_ms: int
    per_s: float
    named_age_s: float
    unnamed_age_s: float
    sends: tuple[tuple[int, float], ...]


class _Limit:
    """An upstream that names a limit, or did.

    Attributes:
        started_at_ms: Start time of the upstream's process, as listed.
        per_s: The limit that was named last.
        named_at: Time at which it was named last.
        unnamed_at: Time at which the latest request was sent whose response
            names none.
        report_until: Time until which peers are told of a limit that ended.
        sends: Times of requests by the gateway's incarnation and number.
    """

    __slots__ = (
        "named_at",
        "per_s",
        "report_until",
        "sends",
        "started_at_ms",
        "unnamed_at",
    )

    def __init__(self, started_at_ms: int) -> None:
        self.started_at_ms = started_at_ms
        self.per_s = 0.0
        self.named_at = -math.inf
        self.unnamed_at = -math.inf
        self.report_until = -math.inf
        self.sends: dict[tuple[str, int], float] = {}

    @property
    def holds(self) -> bool:
        return self.named_at >= self.unnamed_at

    @property
    def window_s(self) -> float:
        return max(WINDOW_S, 1 / max(self.per_s, MIN_PER_S))

    @property
    def allowed(self) -> int:
        """Requests in each window."""
        # The product of a rate and its inverse may be just below 1.
        return max(int(max(self.per_s, MIN_PER_S) * self.window_s + 1e-9), 1)

    def drop_old_sends(self, now: float) -> None:
        oldest = now - self.window_s - TURN_S * MAX_TURNS
        if any(at < oldest for at in self.sends.values()):
            self.sends = {
                key: at for key, at in self.sends.items() if at >= oldest
            }


class UpstreamLimits:
    """Table of the upstreams that name a limit."""

    def __init__(self, incarnation: str) -> None:
        """Creates an empty table.

        Args:
            incarnation: Id of this process, unique in the fleet.
        """
        self._incarnation = incarnation
        self._limits: dict[str, _Limit] = {}
        self._send_count = 0

    def limit(self, upstream_id: str) -> float | None:
        """Returns the limit of an upstream in requests per second, or None."""
        limit = self._limits.get(upstream_id)
        return limit.per_s if limit is not None and limit.holds else None

    def limited(self) -> list[str]:
        """Returns the upstreams whose limit holds."""
        return [name for name, limit in self._limits.items() if limit.holds]

    def observe(
        self,
        upstream_id: str,
        started_at_ms: int,
        named: calls.NamedLimit | None,
        sent_at: float,
        now: float,
    ) -> bool:
        """Records what a response says of a limit.

        Args:
            upstream_id: The upstream.
            started_at_ms: Start time of its process, as listed.
            named: What the response names, or None.
            sent_at: Monotonic time at which the request was sent.
            now: Monotonic time in seconds.

        Returns:
            Whether the limit has changed, begun or ended.
        """
        if named is not None and named.requests_per_s is None:
            return False
        limit = self._limits.get(upstream_id)
        if limit is None or limit.started_at_ms < started_at_ms:
            if named is None:
                return False
            limit = self._limits[upstream_id] = _Limit(started_at_ms)
        before = self.limit(upstream_id)
        if named is None:
            limit.unnamed_at = max(limit.unnamed_at, sent_at)
        else:
            assert named.requests_per_s is not None
            limit.per_s = named.requests_per_s
            limit.named_at = now
        return self._note_change(upstream_id, before, now)

    def merge(self, incarnation: str, report: LimitReport, now: float) -> bool:
        """Adds what another gateway reports; returns whether a limit changed.

        Args:
            incarnation: Incarnation of the gateway.
            report: Its report.
            now: Monotonic time in seconds.
        """
        limit = self._limits.get(report.upstream_id)
        if limit is None or limit.started_at_ms < report.started_at_ms:
            limit = self._limits[report.upstream_id] = _Limit(
                report.started_at_ms
            )
        elif limit.started_at_ms > report.started_at_ms:
            return False
        before = self.limit(report.upstream_id)
        named_at = now - report.named_age_s
        if named_at > limit.named_at:
            limit.named_at = named_at
            limit.per_s = report.per_s
        limit.unnamed_at = max(limit.unnamed_at, now - report.unnamed_age_s)
        for number, age_s in report.sends:
            limit.sends.setdefault((incarnation, number), now - age_s)
        limit.drop_old_sends(now)
        if not limit.holds and report.named_age_s <= report.unnamed_age_s:
            # The peer doesn't know yet that the limit has ended.
            limit.report_until = now + ENDED_REPORT_S
        return self._note_change(report.upstream_id, before, now)

    def _note_change(
        self, upstream_id: str, before: float | None, now: float
    ) -> bool:
        limit = self._limits[upstream_id]
        if before is not None and not limit.holds:
            limit.report_until = now + ENDED_REPORT_S
        return self.limit(upstream_id) != before

    def record_send(self, upstream_id: str, now: float) -> bool:
        """Counts a request of this gateway; returns whether a limit holds."""
        limit = self._limits.get(upstream_id)
        if limit is None or not limit.holds:
            return False
        self._send_count += 1
        limit.sends[self._incarnation, self._send_count] = now
        return True

    def wait_s(
        self, upstream_id: str, turn: Callable[[str], int], now: float
    ) -> float:
        """Returns the time until an upstream may get a request; 0 for now.

        Args:
            upstream_id: The upstream.
            turn: Returns the number of gateways that go first at an upstream;
                called only if that decides.
            now: Monotonic time in seconds.
        """
        limit = self._limits.get(upstream_id)
        if limit is None or not limit.holds:
            return 0.0
        limit.drop_old_sends(now)
        if len(limit.sends) < limit.allowed:
            return 0.0
        first_in_window = sorted(limit.sends.values())[-limit.allowed]
        freed_at = first_in_window + limit.window_s
        if now < freed_at:
            return freed_at - now
        turn_at = freed_at + TURN_S * min(turn(upstream_id), MAX_TURNS)
        return max(turn_at - now, 0.0)

    def reports(
        self, now: float, upstream_ids: Iterable[str] | None = None
    ) -> list[LimitReport]:
        """Returns what the peers have to know, by default of all upstreams."""
        ids = self._limits if upstream_ids is None else upstream_ids
        for each in self._limits.values():
            each.drop_old_sends(now)
        return [
            LimitReport(
                upstream_id,
                limit.started_at_ms,
                limit.per_s,
                now - limit.named_at,
                now - limit.unnamed_at,
                tuple(
                    (number, now - at)
                    for (incarnation, number), at in limit.sends.items()
                    if incarnation == self._incarnation
                ),
            )
            for upstream_id in ids
            if (limit := self._limits.get(upstream_id)) is not None
            and (limit.holds or now < limit.report_until)
        ]

    def forget(self, upstream_ids: Iterable[str]) -> None:
        """Drops the limits of upstreams that are gone or have restarted."""
        for upstream_id in upstream_ids:
            self._limits.pop(upstream_id, None)

    def expire(self, now: float) -> None:
        """Drops limits of which nothing has been heard for long."""
        self.forget(
            [
                upstream_id
                for upstream_id, limit in self._limits.items()
                if now - max(limit.named_at, limit.unnamed_at) > LIMIT_TTL_S
            ]
        )
