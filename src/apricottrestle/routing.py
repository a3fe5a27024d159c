"""Choice of the agent for a request, from the entry's upstream table."""

import abc
import random
from typing import Final, NamedTuple

from apricottrestle import upstream_table


class RouteRequest(NamedTuple):
    """What a router needs to know of a request.

    Attributes:
        req_id: Request id.
        team: Team name.
        priority: Index into messages.PRIORITIES.
        model: Model name.
        version: Model version.
        adapter: Adapter name or "".
        prompt_tokens: Prompt tokens.
        max_tokens: Tokens to generate at most.
        prefix_blocks: Hashes of the prompt's first blocks.
        remaining_s: Time left until the deadline.
        excluded: Agents not to use, e.g. those of failed attempts.
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
    """A candidate with its expected time to first token."""

    agent_id: str
    first_token_s: float


class RouteDecision(NamedTuple):
    """Outcome of a choice; goes into the log line as it is.

    Attributes:
        agent_id: Chosen agent, "" when there is none.
        reason: Stable word for the reason.
        candidates: Candidates that were compared, best first.
    """

    agent_id: str
    reason: str
    candidates: list[ScoredCandidate]


NO_CANDIDATE: Final = RouteDecision("", "no_candidate", [])


class Router(abc.ABC):
    """Routing policy. Holds no table of its own."""

    @abc.abstractmethod
    def choose(
        self,
        req: RouteRequest,
        table: upstream_table.UpstreamTable,
        now: float,
    ) -> RouteDecision:
        """Chooses an agent that serves the model, version and adapter."""


def can_serve(row: upstream_table.UpstreamRow, req: RouteRequest) -> bool:
    """Tells whether the agent can run the request at all."""
    report = row.report
    return (
        row.usable
        and row.agent_id not in req.excluded
        and report.version == req.version
        and (not req.adapter or req.adapter in report.adapters)
    )


def _chosen(row: upstream_table.UpstreamRow, reason: str) -> RouteDecision:
    """Returns the decision of a baseline, which computes no estimate."""
    return RouteDecision(
        row.agent_id, reason, [ScoredCandidate(row.agent_id, 0.0)]
    )


class LeastOutstandingRouter(Router):
    """Sends to the agent with the fewest own requests; a baseline."""

    def __init__(self, rng: random.Random) -> None:
        """Stores the source of tie breaks."""
        self._rng = rng

    def choose(
        self,
        req: RouteRequest,
        table: upstream_table.UpstreamTable,
        now: float,
    ) -> RouteDecision:
        """Chooses the least loaded agent by own outstanding requests."""
        del now
        rows = [r for r in table.usable_rows(req.model) if can_serve(r, req)]
        if not rows:
            return NO_CANDIDATE
        best = min(rows, key=lambda r: (r.outstanding, self._rng.random()))
        return _chosen(best, "least_outstanding")


class RandomRouter(Router):
    """Sends to any agent that serves the request; a baseline."""

    def __init__(self, rng: random.Random) -> None:
        """Stores the source of the choice."""
        self._rng = rng

    def choose(
        self,
        req: RouteRequest,
        table: upstream_table.UpstreamTable,
        now: float,
    ) -> RouteDecision:
        """Chooses an agent at random."""
        del now
        rows = [r for r in table.usable_rows(req.model) if can_serve(r, req)]
        if not rows:
            return NO_CANDIDATE
        return _chosen(self._rng.choice(rows), "random")


class RoundRobinRouter(Router):
    """Sends to the agents in turn; a baseline."""

    def __init__(self) -> None:
        """Starts with the first agent."""
        self._turn = 0

    def choose(
        self,
        req: RouteRequest,
        table: upstream_table.UpstreamTable,
        now: float,
    ) -> RouteDecision:
        """Chooses the next agent."""
        del now
        rows = [r for r in table.usable_rows(req.model) if can_serve(r, req)]
        if not rows:
            return NO_CANDIDATE
        self._turn += 1
        return _chosen(rows[self._turn % len(rows)], "round_robin")
