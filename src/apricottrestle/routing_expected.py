"""The shipped router: least expected time to first token of a few candidates.

A decision looks at a bounded number of rows, whatever the size of the fleet.
"""

import random
from typing import Final, NamedTuple

from apricottrestle import routing, routing_score, upstream_table

SAMPLED_CANDIDATES: Final = 5
"""With reports that lag, fewer candidates than 8 keep entries apart better;
fewer than 5 miss idle engines (docs/measurements.md)."""

CACHED_CANDIDATES: Final = 2


class RouterSettings(NamedTuple):
    """Settings of the router. The flags exist for the ablation in the bench.

    Attributes:
        score: Settings of the estimate.
        sample_size: Rows sampled for a decision; 0 compares all rows.
        cached_candidates: Rows added that hold the longest cached prefix.
    """

    score: routing_score.ScoreSettings = routing_score.ScoreSettings()
    sample_size: int = SAMPLED_CANDIDATES
    cached_candidates: int = CACHED_CANDIDATES


class ExpectedFirstTokenRouter(routing.Router):
    """Chooses the agent with the least expected time to first token."""

    def __init__(
        self, rng: random.Random, settings: RouterSettings | None = None
    ) -> None:
        """Stores the source of samples and the settings."""
        self._rng = rng
        self._settings = settings or RouterSettings()

    def set_floors(self, floors: tuple[float, ...]) -> None:
        """Replaces the floors of the classes, most urgent first."""
        score = self._settings.score._replace(floors=floors)
        self._settings = self._settings._replace(score=score)

    def choose(
        self,
        req: routing.RouteRequest,
        table: upstream_table.UpstreamTable,
        now: float,
    ) -> routing.RouteDecision:
        """Chooses among sampled rows and those with a cached prefix."""
        scored = self._score(self._candidates(req, table), req, now)
        if not scored:
            return routing.NO_CANDIDATE
        return routing.RouteDecision(
            scored[0].agent_id, "expected_first_token", scored
        )

    def _score(
        self,
        rows: list[upstream_table.UpstreamRow],
        req: routing.RouteRequest,
        now: float,
    ) -> list[routing.ScoredCandidate]:
        """Returns the rows with their estimates, best first."""
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
    """Returns up to `count` random rows that serve the request; 0 for all.

    Only when none of the sampled rows serves it, all rows are looked at: that
    is the case while a new version or adapter is loaded on few engines.
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
