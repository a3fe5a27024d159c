"""Admission: early refusal, and budgets for retries.

A request that cannot finish in its time is refused before it costs anything.
A team below its fair share is never refused because of the backlog of others:
the reports tell queued tokens by class only, while the agent, which shares
between teams, knows better.
"""

import math
import random
from collections.abc import Mapping
from typing import Final, NamedTuple

from apricottrestle import (
    queueing,
    routing,
    routing_expected,
    routing_score,
    upstream_table,
)

SHARE_WINDOW_S: Final = 30.0
"""Time constant of the decayed token counts per team."""

MIN_RETRY_AFTER_S: Final = 1.0
MAX_RETRY_AFTER_S: Final = 60.0

RETRY_SHARE: Final = 0.1
"""Retries that each first attempt earns; keeps a failing fleet from being
loaded with more than 10% on top."""

RETRY_MIN_PER_S: Final = 3.0
"""Retries per second that are allowed whatever the number of requests, so that
a rarely used team or upstream can retry at all."""

RETRY_BURST: Final = 30.0
"""Retries that can be saved up: ten seconds of the least rate."""


class AdmissionDecision(NamedTuple):
    """Outcome of the check.

    Attributes:
        admitted: Whether the request goes on to routing.
        reason: Stable word for the reason.
        retry_after_s: Seconds until a retry makes sense; 0 when admitted.
        expected_s: Estimated time to the last token at the best candidate.
    """

    admitted: bool
    reason: str
    retry_after_s: float
    expected_s: float


class _Share:
    """Decayed token count of a team."""

    __slots__ = ("time", "tokens")

    def __init__(self) -> None:
        self.tokens = 0.0
        self.time = 0.0

    def value(self, now: float) -> float:
        """Returns the count decayed to `now`."""
        return self.tokens * math.exp((self.time - now) / SHARE_WINDOW_S)

    def add(self, tokens: float, now: float) -> None:
        """Adds tokens at `now`."""
        self.tokens = self.value(now) + tokens
        self.time = now


class AdmissionControl:
    """Refuses early what cannot finish in its time."""

    def __init__(
        self,
        rng: random.Random,
        score: routing_score.ScoreSettings | None = None,
        *,
        enabled: bool = True,
    ) -> None:
        """Starts without history; `enabled` exists for the ablation."""
        self._rng = rng
        self._score = score or routing_score.ScoreSettings()
        self._enabled = enabled
        self._weights: Mapping[str, float] = {}
        self._shares: dict[tuple[int, str], _Share] = {}
        self._totals = [_Share() for _ in self._score.floors]

    def configure(
        self, floors: tuple[float, ...], weights: Mapping[str, float]
    ) -> None:
        """Replaces the floors per class and the share weights of the teams."""
        self._score = self._score._replace(floors=floors)
        self._weights = weights

    def check(
        self,
        req: routing.RouteRequest,
        table: upstream_table.UpstreamTable,
        now: float,
    ) -> AdmissionDecision:
        """Decides whether the request can finish in its time."""
        rows = routing_expected.sample_serving(
            table, req, routing_expected.SAMPLED_CANDIDATES, self._rng
        )
        if not rows:
            return AdmissionDecision(
                False, "no_candidate", MIN_RETRY_AFTER_S, math.inf
            )
        output = min(req.max_tokens, queueing.EXPECTED_OUTPUT_TOKENS)
        expected_s = queueing.DECODE_S * output + min(
            routing_score.expected_first_token_s(row, req, self._score, now)
            for row in rows
        )
        late_s = expected_s - req.remaining_s
        reason = "in_time" if late_s <= 0 else "below_share"
        if late_s <= 0 or not self._enabled or self._below_share(req, now):
            self._count(req, now)
            return AdmissionDecision(True, reason, 0.0, expected_s)
        retry_after_s = min(max(late_s, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S)
        return AdmissionDecision(False, "too_late", retry_after_s, expected_s)

    def _weight(self, team: str) -> float:
        return self._weights.get(team, 1.0)

    def _below_share(self, req: routing.RouteRequest, now: float) -> bool:
        """Tells whether the team got less than its share of recent tokens.

        The share is by weight among the teams that asked for tokens of the
        class recently. A team that is alone is never below its share.
        """
        total = self._totals[req.priority].value(now)
        share = self._shares.get((req.priority, req.team))
        own = (share.value(now) if share else 0.0) + req.prompt_tokens
        weights = {req.team: self._weight(req.team)}
        for priority, team in self._shares:
            if priority == req.priority:
                weights[team] = self._weight(team)
        if len(weights) < 2:
            return False
        fair = weights[req.team] / sum(weights.values())
        return own < fair * total

    def _count(self, req: routing.RouteRequest, now: float) -> None:
        key = (req.priority, req.team)
        share = self._shares.get(key)
        if share is None:
            self._drop_idle(now)
            share = self._shares[key] = _Share()
        share.add(req.prompt_tokens, now)
        self._totals[req.priority].add(req.prompt_tokens, now)

    def _drop_idle(self, now: float) -> None:
        """Drops teams without recent tokens, so that the table stays small."""
        idle = [k for k, share in self._shares.items() if share.value(now) < 1]
        for key in idle:
            del self._shares[key]


class _Bucket:
    """Token bucket of retries."""

    __slots__ = ("time", "tokens")

    def __init__(self, now: float) -> None:
        self.tokens = RETRY_BURST
        self.time = now

    def refill(self, now: float) -> None:
        """Adds what the least rate has given since the last call."""
        gained = max(now - self.time, 0.0) * RETRY_MIN_PER_S
        self.tokens = min(self.tokens + gained, RETRY_BURST)
        self.time = max(now, self.time)


class RetryBudget:
    """Budget of retries per team and per upstream.

    A retry needs both budgets, so that neither a failing upstream nor one
    team's requests can multiply the load.
    """

    def __init__(self) -> None:
        """Starts with full budgets."""
        self._teams: dict[str, _Bucket] = {}
        self._upstreams: dict[str, _Bucket] = {}

    def deposit(self, team: str, upstream: str, now: float) -> None:
        """Counts a first attempt."""
        for bucket in self._buckets(team, upstream, now):
            bucket.tokens = min(bucket.tokens + RETRY_SHARE, RETRY_BURST)

    def try_withdraw(self, team: str, upstream: str, now: float) -> bool:
        """Takes one retry out of both budgets; False when one is empty."""
        buckets = self._buckets(team, upstream, now)
        if min(bucket.tokens for bucket in buckets) < 1.0:
            return False
        for bucket in buckets:
            bucket.tokens -= 1.0
        return True

    def _buckets(
        self, team: str, upstream: str, now: float
    ) -> tuple[_Bucket, _Bucket]:
        pair = (
            self._teams.setdefault(team, _Bucket(now)),
            self._upstreams.setdefault(upstream, _Bucket(now)),
        )
        for bucket in pair:
            bucket.refill(now)
        return pair
