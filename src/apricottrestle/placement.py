"""Placement: the assignment of a model to each engine.

Every process computes the same assignment from the same configuration, agent
list and demand, so no leader is needed. The number of engines per model follows
from the configured share and the demand. The agents of a model are chosen by
rendezvous hashing with a limit per model, so few agents change their model when
one joins or leaves.

Invariant: the result doesn't depend on the order of the inputs, nor on
duplicates.
"""

import math
from collections.abc import Iterable, Mapping
from typing import Final

from apricottrestle import config_state, hashing

DEMAND_STEP_RATIO: Final = 0.25
"""Demand is rounded to powers of 1 plus this ratio, so that small fluctuations
don't reload engines."""

MIN_DEMAND_FRACTION: Final = 0.01
"""Minimum demand of a model, as a fraction of the total. A minimum as high as
the lowest demand above zero would divide the engines evenly between a single
busy model and all idle ones."""


def quotas(
    count: int,
    config: config_state.ConfigState,
    demand: Mapping[str, float],
) -> dict[str, int]:
    """Returns the number of engines per model.

    Each model gets one engine before any gets a second one. The others are
    divided in proportion to share times demand by the largest remainder method.

    Args:
        count: Number of engines.
        config: Configuration in force; models with share 0 get no engine.
        demand: Recent tokens per second per model, raised to at least
            MIN_DEMAND_FRACTION of the total. If empty, only shares count.
    """
    weights = _weights(config, demand)
    names = sorted(weights, key=lambda name: (-weights[name], name))
    result = dict.fromkeys(weights, 0)
    for name in names[:count]:
        result[name] = 1
    unassigned = count - sum(result.values())
    total = sum(weights.values())
    if unassigned <= 0 or total <= 0:
        return result
    exact_quotas = {name: count * weights[name] / total for name in names}
    while unassigned > 0:
        furthest_below_quota = max(
            names, key=lambda n: (exact_quotas[n] - result[n], n)
        )
        added = max(
            1,
            min(
                unassigned,
                math.floor(exact_quotas[furthest_below_quota])
                - result[furthest_below_quota],
            ),
        )
        result[furthest_below_quota] += added
        unassigned -= added
    return result


def assign(
    agents: Iterable[str],
    config: config_state.ConfigState,
    demand: Mapping[str, float],
) -> dict[str, str]:
    """Returns the model of each agent id; empty if no model gets an engine.

    Deferred acceptance: agents propose to models in descending order of
    rendezvous score, and a model keeps the agents with the highest scores, up
    to its quota. The stable matching is unique. An agent that leaves frees one
    place, which causes a short chain of reassignments.
    """
    agent_ids = sorted(set(agents))
    capacities = {
        model: quota
        for model, quota in quotas(len(agent_ids), config, demand).items()
        if quota > 0
    }
    if not capacities:
        return {}
    scores = {
        (agent, model): hashing.rendezvous_score(model, agent)
        for agent in agent_ids
        for model in capacities
    }
    return _stable_matching(agent_ids, capacities, scores)


def _stable_matching(
    agent_ids: list[str],
    capacities: dict[str, int],
    scores: dict[tuple[str, str], int],
) -> dict[str, str]:
    """Returns the model of each agent in the stable matching.

    Args:
        agent_ids: Agents to assign.
        capacities: Maximum number of agents per model.
        scores: Rendezvous score per agent and model.
    """
    preferences = {
        agent: sorted(
            capacities, key=lambda model: (scores[agent, model], model)
        )
        for agent in agent_ids
    }
    accepted: dict[str, list[tuple[int, str]]] = {
        model: [] for model in capacities
    }
    unmatched = list(reversed(agent_ids))
    while unmatched:
        agent = unmatched.pop()
        if not preferences[agent]:
            continue
        model = preferences[agent].pop()
        model_agents = accepted[model]
        model_agents.append((scores[agent, model], agent))
        if len(model_agents) > capacities[model]:
            lowest = min(model_agents)
            model_agents.remove(lowest)
            unmatched.append(lowest[1])
    return {
        agent: model
        for model, model_agents in accepted.items()
        for _, agent in model_agents
    }


def _weights(
    config: config_state.ConfigState, demand: Mapping[str, float]
) -> dict[str, float]:
    """Returns share times rounded demand of each model with a share."""
    demand_by_model = {name: demand.get(name, 0.0) for name in config.models}
    minimum = MIN_DEMAND_FRACTION * math.fsum(demand_by_model.values()) or 1.0
    return {
        name: spec.share * _round_to_step(max(demand_by_model[name], minimum))
        for name, spec in config.models.items()
        if spec.share > 0
    }


def _round_to_step(demand: float) -> float:
    """Rounds demand to the nearest power of 1 + DEMAND_STEP_RATIO."""
    scale = math.log(1 + DEMAND_STEP_RATIO)
    return math.exp(round(math.log(demand) / scale) * scale)
