"""Which model each engine runs, computed alike by every agent.

Every process computes the same assignment from the same configuration, agent
list and demand, so no leader is needed. Quotas come from share and demand.
Agents are chosen by rendezvous hashing against capacity-limited models, so an
agent that comes or goes moves few others.

Invariant: the result depends on the inputs as sets, never on their order.
"""

import math
from collections.abc import Iterable, Mapping
from typing import Final

from apricottrestle import config_state, hashing

DEMAND_STEP: Final = 0.25
"""Demand counts in steps of a quarter (by ratio), so that small fluctuations
don't reload engines."""

LEAST_PART: Final = 0.01
"""A model that nobody asks for counts with this part of the demand. If it
counted as much as the least one asked for, a sole busy model would share the
engines evenly with all idle ones."""


def quotas(
    count: int,
    config: config_state.ConfigState,
    demand: Mapping[str, float],
) -> dict[str, int]:
    """Returns the number of engines per model.

    Each model gets one engine before any gets a second one; the rest goes by
    share times demand, by largest remainder.

    Args:
        count: Number of engines.
        config: Configuration in force; models with share 0 get none.
        demand: Recent tokens per second per model; a model counts with at
            least LEAST_PART of all. Empty, all count the same.
    """
    weights = _weights(config, demand)
    names = sorted(weights, key=lambda name: (-weights[name], name))
    result = dict.fromkeys(weights, 0)
    for name in names[:count]:
        result[name] = 1
    rest = count - sum(result.values())
    total = sum(weights.values())
    if rest <= 0 or total <= 0:
        return result
    ideal = {name: count * weights[name] / total for name in names}
    while rest > 0:
        neediest = max(names, key=lambda n: (ideal[n] - result[n], n))
        step = max(1, min(rest, math.floor(ideal[neediest]) - result[neediest]))
        result[neediest] += step
        rest -= step
    return result


def assign(
    agents: Iterable[str],
    config: config_state.ConfigState,
    demand: Mapping[str, float],
) -> dict[str, str]:
    """Returns the model of each agent id; empty without models.

    Agents propose to models in the order of their rendezvous scores, and a
    model keeps those that score highest at it up to its quota (deferred
    acceptance). The stable matching is unique, and an agent that leaves frees
    one place, which passes on through a short chain of moves.
    """
    members = sorted(set(agents))
    places = {
        model: quota
        for model, quota in quotas(len(members), config, demand).items()
        if quota > 0
    }
    if not places:
        return {}
    scores = {
        (agent, model): hashing.rendezvous_score(model, agent)
        for agent in members
        for model in places
    }
    return _match(members, places, scores)


def _match(
    members: list[str],
    places: dict[str, int],
    scores: dict[tuple[str, str], int],
) -> dict[str, str]:
    """Returns the stable matching of agents and model places."""
    wishes = {
        agent: sorted(places, key=lambda model: (scores[agent, model], model))
        for agent in members
    }
    held: dict[str, list[tuple[int, str]]] = {model: [] for model in places}
    free = list(reversed(members))
    while free:
        agent = free.pop()
        if not wishes[agent]:
            continue
        model = wishes[agent].pop()
        holders = held[model]
        holders.append((scores[agent, model], agent))
        if len(holders) > places[model]:
            lowest = min(holders)
            holders.remove(lowest)
            free.append(lowest[1])
    return {
        agent: model for model, holders in held.items() for _, agent in holders
    }


def _weights(
    config: config_state.ConfigState, demand: Mapping[str, float]
) -> dict[str, float]:
    """Returns share times stepped demand per model."""
    named = {name: demand.get(name, 0.0) for name in config.models}
    least = LEAST_PART * math.fsum(named.values()) or 1.0
    return {
        name: spec.share * _stepped(max(named[name], least))
        for name, spec in config.models.items()
        if spec.share > 0
    }


def _stepped(demand: float) -> float:
    """Rounds demand to a step of the geometric scale."""
    scale = math.log(1 + DEMAND_STEP)
    return math.exp(round(math.log(demand) / scale) * scale)
