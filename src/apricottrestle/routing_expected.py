"""The production router, which minimises the expected time to first token.

A decision compares a bounded number of agents, whatever the size of the fleet.
"""

import random
from typing import Final, NamedTuple

from apricottrestle import routing, routing_score, upstream_table

SAMPLED_CANDIDATES: Final = 5
"""Agents sampled for a decision. Load reports lag, so with 8 candidates several
entries choose the same agent more often; with fewer than 5, idle engines are
missed (docs/measurements.md)."""

CACHED_CANDIDATES: Final = 2
"""Agents with the longest cached prefix that are compared as well."""


class RouterSettings(NamedTuple):
    """Settings of the router, varied by ablations in the benchmark.

    Attributes:
        score: Settings of the estimate.
        sample_size: Agents sampled for a decision; 0 compares all agents.
        cached_candidates: Agents with the longest cached prefix that are added
            to the sample.
    """

    score: routing_score.ScoreSettings = routing_score.ScoreSettings()
    sample_size: int = SAMPLED_CANDIDATES
    cached_candidates: int = CACHED_CANDIDATES


class ExpectedFirstTokenRouter(routing.Router):
    """Chooses the agent with the least expected time to first token."""

    def __init__(
        self, rng: random.Random, settings: RouterSettings | None = None
    ) -> None:
        """Stores the random generator for samples and the settings."""
        self._rng = rng
        self._settings = settings or RouterSettings()

    def set_floors(self, floors: tuple[float, ...]) -> None:
        """Replaces the floors of the priority classes, most urgent first."""
        score = self._settings.score._replace(floors=floors)
        self._settings = self._settings._replace(score=score)

    def choose(
        self,
        req: routing.RouteRequest,
        table: upstream_table.UpstreamTable,
        now: float,
    ) -> routing.RouteDecision:
        """Chooses among a random sample and agents with a cached prefix."""
        scored = self._rank(self._candidates(req, table), req, now)
        if not scored:
            return routing.NO_CANDIDATE
        return routing.RouteDecision(
            scored[0].agent_id, "expected_first_token", scored
        )

    def _rank(
        self,
        rows: list[upstream_table.UpstreamRow],
        req: routing.RouteRequest,
        now: float,
    ) -> list[routing.ScoredCandidate]:
        """Returns the agents with their estimates, shortest time first."""
        estimate = routing_score.expected_first_token_s
        return sorted(
            (
                routing.ScoredCandidate(
                    row.agent_id, estimate(row, req, self._settings.score, now)
                )
                for row in rows
            ),
            key=lambda candidate: candidate.first_token_s,
        )

    def _candidates(
        self, req: routing.RouteRequest, table: upstream_table.UpstreamTable
    ) -> list[upstream_table.UpstreamRow]:
        settings = self._settings
        rows = sample_serving(table, req, settings.sample_size, self._rng)
        for agent_id in table.longest_prefix_holders(
            req.prefix_blocks, settings.cached_candidates
        ):
            row = table.rows[agent_id]
            if (
                row.report.upstream == req.model
                and routing.can_serve(row, req)
                and row not in rows
            ):
                rows.append(row)
        return rows


def sample_serving(
    table: upstream_table.UpstreamTable,
    req: routing.RouteRequest,
    count: int,
    rng: random.Random,
) -> list[upstream_table.UpstreamRow]:
    """Returns a random sample of the rows that can serve the request.

    All rows of the model are examined only if no sampled row can serve the
    request, which happens while few engines have loaded a new version or
    adapter.

    Args:
        table: Agents that the entry knows.
        req: Request to route.
        count: Maximum number of rows; 0 returns all, in random order.
        rng: Random generator.
    """
    rows = table.usable_rows(req.model)
    if 0 < count < len(rows):
        sample = [
            r for r in rng.sample(rows, count) if routing.can_serve(r, req)
        ]
        if sample:
            return sample
    serving = [row for row in rows if routing.can_serve(row, req)]
    if 0 < count < len(serving):
        return rng.sample(serving, count)
    rng.shuffle(serving)
    return serving
