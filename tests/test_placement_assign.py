"""Tests of placement: deterministic results and few reassignments."""

import random

import hypothesis
import pytest
from hypothesis import strategies as st

from apricottrestle import config_state, placement


def config(**shares: float) -> config_state.ConfigState:
    return config_state.ConfigState(
        models={
            name: config_state.ModelSpec(name, "1", share)
            for name, share in shares.items()
        }
    )


def agents(count: int) -> list[str]:
    return [f"agent-{number}" for number in range(count)]


@pytest.mark.parametrize(
    ("shares", "demand", "count", "expected"),
    [
        ({"a": 1.0, "b": 1.0}, {}, 14, {"a": 7, "b": 7}),
        ({"a": 3.0, "b": 1.0}, {}, 16, {"a": 12, "b": 4}),
        ({"a": 1.0, "b": 0.0}, {}, 5, {"a": 5}),
        ({"a": 99.0, "b": 1.0}, {}, 14, {"a": 13, "b": 1}),
        ({"a": 1.0, "b": 1.0, "c": 1.0}, {}, 2, {"a": 1, "b": 1, "c": 0}),
        ({"a": 1.0, "b": 1.0}, {"a": 300.0, "b": 100.0}, 16, {"a": 12, "b": 4}),
        ({}, {}, 3, {}),
    ],
)
def test_quotas_follow_share_and_demand(
    shares: dict[str, float],
    demand: dict[str, float],
    count: int,
    expected: dict[str, int],
) -> None:
    """Guards against a model with too few or too many engines."""
    assert placement.quotas(count, config(**shares), demand) == expected


@hypothesis.given(st.integers(0, 2**32), st.integers(1, 60))
def test_assignment_ignores_order_and_fills_quotas(
    seed: int, count: int
) -> None:
    """Guards against different results of processes with equal inputs."""
    rng = random.Random(seed)
    spec = config(**{f"m{i}": rng.uniform(0.1, 3) for i in range(5)})
    members = agents(count)
    first = placement.assign(members, spec, {})
    rng.shuffle(members)
    assert placement.assign(members + members[:1], spec, {}) == first
    assert set(first) == set(members)
    counts = {name: list(first.values()).count(name) for name in spec.models}
    assert counts == placement.quotas(count, spec, {})


@pytest.mark.parametrize("count", [14, 106, 423])
def test_removed_agent_reassigns_few_others(count: int) -> None:
    """Guards against reloading many engines when an agent joins or leaves."""
    spec = config(**{f"m{i}": 1.0 + i % 3 for i in range(6)})
    before = placement.assign(agents(count), spec, {})
    reassigned = []
    for removed in range(min(count, 20)):
        remaining = [a for a in agents(count) if a != f"agent-{removed}"]
        after = placement.assign(remaining, spec, {})
        reassigned.append(sum(after[a] != before[a] for a in remaining))
    assert max(reassigned) <= len(spec.models)


def test_small_change_of_demand_reassigns_no_agent() -> None:
    """Guards against model reloads when demand fluctuates by a few percent."""
    spec = config(a=1.0, b=1.0)
    before = placement.assign(agents(50), spec, {"a": 100.0, "b": 100.0})
    assert placement.assign(agents(50), spec, {"a": 103.0, "b": 99.0}) == before
