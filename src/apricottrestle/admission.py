"""Admission control at the entry: early refusal, and budgets for retries.

A request that cannot finish before its deadline is refused before it uses any
engine time. A team below its fair share is never refused for the backlog of
others: load reports give queued tokens per priority class but not per team, so
the entry can't tell how early the agent's fair queue would start the request.
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

USAGE_TIME_CONSTANT_S: Final = 30.0
"""Time constant of the decaying token counts per team."""

MIN_RETRY_AFTER_S: Final = 1.0
MAX_RETRY_AFTER_S: Final = 60.0
"""Limits of the time after which a refused caller is told to retry."""

RETRY_RATIO: Final = 0.1
"""Retries allowed per first attempt; limits the extra load of retries on a
failing fleet to 10%."""

MIN_RETRIES_PER_S: Final = 3.0
"""Retries per second allowed regardless of the number of requests, so that a
team or upstream with few requests can retry at all."""

RETRY_BURST: Final = 30.0
"""Capacity of a retry budget: ten seconds at MIN_RETRIES_PER_S."""


class AdmissionDecision(NamedTuple):
    """Result of the admission check.

    Attributes:
        admitted: Whether the request goes on to routing.
        reason: Stable code of the reason.
        retry_after_s: Seconds after which a retry may succeed; 0 if admitted.
        expected_s: Expected time to the last token at the best candidate.
    """

    admitted: bool
    reason: str
    retry_after_s: float
    expected_s: float


class _DecayingCount:
    """Exponentially decaying count of tokens."""

    __slots__ = ("time", "tokens")

    def __init__(self) -> None:
        self.tokens = 0.0
        self.time = 0.0

    def value(self, now: float) -> float:
        """Returns the count at `now`."""
        return self.tokens * math.exp((self.time - now) / USAGE_TIME_CONSTANT_S)

    def add(self, tokens: float, now: float) -> None:
        """Adds tokens that were requested at `now`."""
        self.tokens = self.value(now) + tokens
        self.time = now


class AdmissionControl:
    """Refuses requests that cannot finish before their deadline."""

    def __init__(
        self,
        rng: random.Random,
        score: routing_score.ScoreSettings | None = None,
        *,
        enabled: bool = True,
    ) -> None:
        """Initialises the check without recent usage.

        Args:
            rng: Random generator for the sample of agents.
            score: Settings of the time estimate; defaults if None.
            enabled: Whether requests can be refused as too late; False only
                in ablations of the benchmark.
        """
        self._rng = rng
        self._score = score or routing_score.ScoreSettings()
        self._enabled = enabled
        self._weights: Mapping[str, float] = {}
        self._team_usage: dict[tuple[int, str], _DecayingCount] = {}
        self._class_usage = [_DecayingCount() for _ in self._score.floors]

    def configure(
        self, floors: tuple[float, ...], weights: Mapping[str, float]
    ) -> None:
        """Replaces the floors of the classes and the weights of the teams."""
        self._score = self._score._replace(floors=floors)
        self._weights = weights

    def check(
        self,
        req: routing.RouteRequest,
        table: upstream_table.UpstreamTable,
        now: float,
    ) -> AdmissionDecision:
        """Decides whether to admit a request.

        Args:
            req: Request to check.
            table: Agents that the entry knows.
            now: Monotonic time in seconds.
        """
        rows = routing_expected.sample_serving(
            table, req, routing_expected.SAMPLED_CANDIDATES, self._rng
        )
        if not rows:
            return AdmissionDecision(
                False, "no_candidate", MIN_RETRY_AFTER_S, math.inf
            )
        output = min(req.max_tokens, queueing.EXPECTED_OUTPUT_TOKENS)
        expected_s = queueing.DECODE_S_PER_TOKEN * output + min(
            routing_score.expected_first_token_s(row, req, self._score, now)
            for row in rows
        )
        late_s = expected_s - req.remaining_s
        reason = "in_time" if late_s <= 0 else "below_share"
        if late_s <= 0 or not self._enabled or self._below_share(req, now):
            self._add_usage(req, now)
            return AdmissionDecision(True, reason, 0.0, expected_s)
        retry_after_s = min(max(late_s, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S)
        return AdmissionDecision(False, "too_late", retry_after_s, expected_s)

    def _weight(self, team: str) -> float:
        return self._weights.get(team, 1.0)

    def _below_share(self, req: routing.RouteRequest, now: float) -> bool:
        """Returns whether the team is below its share of recent tokens.

        The class is shared by weight between the teams with recently admitted
        requests in it. The only such team is never below its share.
        """
        total = self._class_usage[req.priority].value(now)
        usage = self._team_usage.get((req.priority, req.team))
        team_tokens = (usage.value(now) if usage else 0.0) + req.prompt_tokens
        weights = {req.team: self._weight(req.team)}
        for priority, team in self._team_usage:
            if priority == req.priority:
                weights[team] = self._weight(team)
        if len(weights) < 2:
            return False
        fair = weights[req.team] / sum(weights.values())
        return team_tokens < fair * total

    def _add_usage(self, req: routing.RouteRequest, now: float) -> None:
        """Adds the prompt tokens of an admitted request to its team's usage."""
        key = (req.priority, req.team)
        usage = self._team_usage.get(key)
        if usage is None:
            self._drop_idle_teams(now)
            usage = self._team_usage[key] = _DecayingCount()
        usage.add(req.prompt_tokens, now)
        self._class_usage[req.priority].add(req.prompt_tokens, now)

    def _drop_idle_teams(self, now: float) -> None:
        """Removes teams without recent usage, which bounds the table."""
        idle = [
            team_key
            for team_key, usage in self._team_usage.items()
            if usage.value(now) < 1
        ]
        for key in idle:
            del self._team_usage[key]


class _TokenBucket:
    """Token bucket in which a token permits one retry."""

    __slots__ = ("time", "tokens")

    def __init__(self, now: float) -> None:
        self.tokens = RETRY_BURST
        self.time = now

    def refill(self, now: float) -> None:
        """Adds the tokens gained at MIN_RETRIES_PER_S since the last call."""
        gained = max(now - self.time, 0.0) * MIN_RETRIES_PER_S
        self.tokens = min(self.tokens + gained, RETRY_BURST)
        self.time = max(now, self.time)


class RetryBudget:
    """Retry budgets per team and per upstream.

    A retry is charged to both budgets, so that neither a failing upstream nor
    the requests of one team can multiply the load.
    """

    def __init__(self) -> None:
        """Creates the budgets; each is full at its first use."""
        self._teams: dict[str, _TokenBucket] = {}
        self._upstreams: dict[str, _TokenBucket] = {}

    def deposit(self, team: str, upstream: str, now: float) -> None:
        """Adds RETRY_RATIO to both budgets for a first attempt."""
        for bucket in self._buckets(team, upstream, now):
            bucket.tokens = min(bucket.tokens + RETRY_RATIO, RETRY_BURST)

    def try_withdraw(self, team: str, upstream: str, now: float) -> bool:
        """Takes one retry out of both budgets; False if either is empty."""
        buckets = self._buckets(team, upstream, now)
        if min(bucket.tokens for bucket in buckets) < 1.0:
            return False
        for bucket in buckets:
            bucket.tokens -= 1.0
        return True

    def _buckets(
        self, team: str, upstream: str, now: float
    ) -> tuple[_TokenBucket, _TokenBucket]:
        buckets = (
            self._teams.setdefault(team, _TokenBucket(now)),
            self._upstreams.setdefault(upstream, _TokenBucket(now)),
        )
        for bucket in buckets:
            bucket.refill(now)
        return buckets
