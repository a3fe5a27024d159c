"""Routing policies: selection of the agent that runs a request."""

import abc
import random
from typing import Final, NamedTuple

from apricottrestle import upstream_table


class RouteRequest(NamedTuple):
    """Properties of a request that a routing policy uses.

    Attributes:
        req_id: Request id.
        team: Team name.
        priority: Index into messages.PRIORITIES.
        model: Model name.
        version: Model version.
        adapter: Adapter name, or "" for the base model.
        prompt_tokens: Number of tokens in the prompt.
        max_tokens: Maximum number of tokens to generate.
        prefix_blocks: Hashes of the leading blocks of the prompt, in order.
        remaining_s: Time left until the deadline, in seconds.
        excluded: Ids of agents that must not be chosen, e.g. those of failed
            attempts.
    """

    req_id: str
    team: str
    priority: int
    model: str
    version: str
    adapter: str
    prompt_tokens: int
    max_tokens: int
    prefix_blocks: tuple[int, ...]
    remaining_s: float
    excluded: frozenset[str]


class ScoredCandidate(NamedTuple):
    """An agent with its expected time to first token in seconds."""

    agent_id: str
    first_token_s: float


class RouteDecision(NamedTuple):
    """Result of a routing decision; logged unchanged.

    Attributes:
        agent_id: Id of the chosen agent, or "" if no agent can serve the
            request.
        reason: Stable code of the policy, or "no_candidate".
        candidates: Agents that were compared, best first.
    """

    agent_id: str
    reason: str
    candidates: list[ScoredCandidate]


NO_CANDIDATE: Final = RouteDecision("", "no_candidate", [])


class Router(abc.ABC):
    """Interface of a routing policy; the caller passes the upstream table."""

    @abc.abstractmethod
    def choose(
        self,
        req: RouteRequest,
        table: upstream_table.UpstreamTable,
        now: float,
    ) -> RouteDecision:
        """Chooses an agent that serves the model, version and adapter.

        Args:
            req: Request to route.
            table: Agents that the entry knows.
            now: Monotonic time in seconds.
        """


def can_serve(row: upstream_table.UpstreamRow, req: RouteRequest) -> bool:
    """Returns whether the agent can run a request for its model.

    The agent must be usable, not excluded by the request, and have the
    requested version and adapter loaded. The model is not checked.
    """
    report = row.report
    return (
        row.usable
        and row.agent_id not in req.excluded
        and report.version == req.version
        and (not req.adapter or req.adapter in report.adapters)
    )


def _baseline_decision(
    row: upstream_table.UpstreamRow, reason: str
) -> RouteDecision:
    """Returns the decision of a baseline policy, which estimates no time."""
    return RouteDecision(
        row.agent_id, reason, [ScoredCandidate(row.agent_id, 0.0)]
    )


class LeastOutstandingRouter(Router):
    """Baseline: the agent with the fewest requests of this entry."""

    def __init__(self, rng: random.Random) -> None:
        """Stores the random generator that breaks ties."""
        self._rng = rng

    def choose(
        self,
        req: RouteRequest,
        table: upstream_table.UpstreamTable,
        now: float,
    ) -> RouteDecision:
        """Chooses an agent with the fewest outstanding requests."""
        del now
        rows = [
            row for row in table.usable_rows(req.model) if can_serve(row, req)
        ]
        if not rows:
            return NO_CANDIDATE
        best = min(rows, key=lambda row: (row.outstanding, self._rng.random()))
        return _baseline_decision(best, "least_outstanding")


class RandomRouter(Router):
    """Baseline: a random agent that can serve the request."""

    def __init__(self, rng: random.Random) -> None:
        """Stores the random generator."""
        self._rng = rng

    def choose(
        self,
        req: RouteRequest,
        table: upstream_table.UpstreamTable,
        now: float,
    ) -> RouteDecision:
        """Chooses uniformly among the agents that can serve the request."""
        del now
        rows = [
            row for row in table.usable_rows(req.model) if can_serve(row, req)
        ]
        if not rows:
            return NO_CANDIDATE
        return _baseline_decision(self._rng.choice(rows), "random")


class RoundRobinRouter(Router):
    """Baseline: the agents that can serve the request, in rotation."""

    def __init__(self) -> None:
        """Sets the counter of decisions to zero."""
        self._decisions = 0

    def choose(
        self,
        req: RouteRequest,
        table: upstream_table.UpstreamTable,
        now: float,
    ) -> RouteDecision:
        """Chooses the next agent of the rotation."""
        del now
        rows = [
            row for row in table.usable_rows(req.model) if can_serve(row, req)
        ]
        if not rows:
            return NO_CANDIDATE
        self._decisions += 1
        return _baseline_decision(
            rows[self._decisions % len(rows)], "round_robin"
        )
