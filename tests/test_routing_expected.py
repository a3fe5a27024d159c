"""Tests of the choice of an agent and of the index of cached prefixes."""

import random

import hypothesis
import pytest
from bench import routing_cost
from hypothesis import strategies as st

from apricottrestle import (
    messages,
    routing,
    routing_expected,
    routing_score,
    upstream_table,
)

RATE = 20_000.0


def report(**changes: object) -> messages.LoadReport:
    load = messages.LoadReport(
        "m",
        "engine",
        "1",
        [],
        False,
        [0, 0, 0],
        0,
        0,
        490_000,
        490_000,
        RATE,
        0,
    )
    return load._replace(**changes)  # type: ignore[arg-type]


def table_of(*reports: messages.LoadReport) -> upstream_table.UpstreamTable:
    table = upstream_table.UpstreamTable()
    for index, load in enumerate(reports):
        table.add(upstream_table.UpstreamRow(f"a{index}", "dc", "1", load, 0.0))
    return table


def request(**changes: object) -> routing.RouteRequest:
    req = routing.RouteRequest(
        "r", "t", 1, "m", "1", "", 2000, 100, (), 60.0, frozenset()
    )
    return req._replace(**changes)  # type: ignore[arg-type]


def router(**settings: object) -> routing_expected.ExpectedFirstTokenRouter:
    changed = routing_expected.RouterSettings()._replace(**settings)  # type: ignore[arg-type]
    return routing_expected.ExpectedFirstTokenRouter(random.Random(1), changed)


@pytest.mark.parametrize(
    ("reports", "req", "expected"),
    [
        ([report(queued_tokens=[0, 9, 0]), report()], request(), "a1"),
        # Queued work of a less urgent class doesn't count.
        (
            [
                report(queued_tokens=[0, 0, 9000]),
                report(queued_tokens=[0, 9, 0]),
            ],
            request(),
            "a0",
        ),
        # A long prefill delays a long prompt by all its remaining tokens.
        (
            [
                report(prefill_tokens_left=300_000),
                report(queued_tokens=[0, 50_000, 0]),
            ],
            request(prompt_tokens=50_000),
            "a1",
        ),
        (
            [report(kv_tokens_free=1000), report(queued_tokens=[0, 9, 0])],
            request(),
            "a1",
        ),
        ([report(prefill_tokens_per_s=100.0), report()], request(), "a1"),
        (
            [report(version="2"), report(queued_tokens=[9, 0, 0])],
            request(),
            "a1",
        ),
        ([report(), report(adapters=["x"])], request(adapter="x"), "a1"),
        ([report(), report()], request(excluded=frozenset({"a0"})), "a1"),
        ([report(upstream="other"), report()], request(), "a1"),
        ([report(draining=True), report()], request(), "a1"),
    ],
)
def test_least_expected_first_token_wins(
    reports: list[messages.LoadReport],
    req: routing.RouteRequest,
    expected: str,
) -> None:
    """Guards against an agent where the request waits longer or can't run."""
    decision = router().choose(req, table_of(*reports), 0.0)
    assert decision.agent_id == expected
    assert decision.candidates[0].agent_id == expected


@pytest.mark.parametrize(
    "policy",
    [
        router(),
        routing.RandomRouter(random.Random(1)),
        routing.RoundRobinRouter(),
        routing.LeastOutstandingRouter(random.Random(1)),
    ],
)
def test_no_candidate_is_a_decision(policy: routing.Router) -> None:
    """Guards against an exception if no agent has the version loaded."""
    decision = policy.choose(request(version="9"), table_of(report()), 0.0)
    assert decision == routing.NO_CANDIDATE


def test_own_submits_count_until_a_report_covers_them() -> None:
    """Guards against a burst that goes to a single agent reported as idle."""
    table = table_of(*[report(queued_tokens=[0, n, 0]) for n in range(4)])
    chosen = []
    for _ in range(8):
        decision = router().choose(request(), table, 0.0)
        table.record_submit(decision.agent_id, 2000, 1)
        chosen.append(decision.agent_id)
    assert {chosen.count(f"a{n}") for n in range(4)} == {2}
    table.apply_report("a3", report(received=2), 1.0)
    assert router().choose(request(), table, 1.0).agent_id == "a3"


def test_reported_prefill_shrinks_with_the_age_of_the_report() -> None:
    """Guards against avoiding an agent long after it became idle."""
    table = table_of(report(prefill_tokens_left=40_000), report())
    settings = routing_score.ScoreSettings()
    req = request(prompt_tokens=40_000)
    row = table.rows["a0"]
    fresh = routing_score.expected_first_token_s(row, req, settings, 0.0)
    aged = routing_score.expected_first_token_s(row, req, settings, 1.0)
    old = routing_score.expected_first_token_s(row, req, settings, 100.0)
    assert (fresh, aged, old) == pytest.approx((4.0, 3.0, 2.0))


def test_floor_bounds_the_wait_of_a_lower_class() -> None:
    """Guards against refusing less urgent requests for an urgent backlog."""
    row = table_of(report(queued_tokens=[1_000_000, 2_000, 0])).rows["a0"]
    settings = routing_score.ScoreSettings(floors=(0.0, 0.1, 0.05))
    wait = routing_score.expected_first_token_s(row, request(), settings, 0.0)
    assert wait == pytest.approx((2_000 / 0.1 + 2_000) / RATE)


def test_cached_prefix_is_found_outside_the_sample() -> None:
    """Guards against missing a cached prefix at an agent not sampled."""
    table = table_of(*[report() for _ in range(200)])
    table.add_cached_blocks("a137", (11, 12, 13))
    req = request(prefix_blocks=(11, 12, 13, 14))
    assert router().choose(req, table, 0.0).agent_id == "a137"
    table.clear_cached_blocks("a137")
    chosen = router(sample_size=0).choose(req, table, 0.0)
    assert len({c.first_token_s for c in chosen.candidates}) == 1


@pytest.mark.parametrize(("count", "held"), [(14, 400), (136, 200)])
def test_cached_blocks_are_bounded_over_all_agents(
    count: int, held: int
) -> None:
    """Guards against exceeding the entry's 64 MB of memory.

    Without the total limit, cached blocks took over 100 MB by estimate.
    """
    table = routing_cost.make_table(count, seed=1)
    agent_id = next(iter(table.rows))
    table.add_cached_blocks(agent_id, range(1_000))
    assert list(table.rows[agent_id].cached_blocks)[-1] == 999
    assert len(table.rows[agent_id].cached_blocks) == held


@pytest.mark.parametrize("count", [14, 106, 423, 846])
def test_candidates_are_bounded(count: int) -> None:
    """Guards against a cost per decision that grows with the fleet."""
    table = routing_cost.make_table(count, seed=1)
    req = routing_cost.make_request(random.Random(1))
    decision = router().choose(req, table, 0.0)
    assert len(decision.candidates) <= 8


@hypothesis.given(st.integers(0, 2**32))
def test_cache_index_equals_the_rows(seed: int) -> None:
    """Guards against a stale index after blocks are added and removed."""
    rng = random.Random(seed)
    table = table_of(*[report() for _ in range(4)])
    for _ in range(60):
        agent_id = f"a{rng.randrange(4)}"
        blocks = [rng.randrange(12) for _ in range(3)]
        if agent_id not in table.rows:
            row = upstream_table.UpstreamRow(agent_id, "dc", "1", report(), 0.0)
            table.add(row)
        action = rng.choice(["add", "add", "remove", "clear", "leave"])
        if action == "add":
            table.add_cached_blocks(agent_id, blocks)
        elif action == "remove":
            table.remove_cached_blocks(agent_id, blocks)
        elif action == "clear":
            table.clear_cached_blocks(agent_id)
        else:
            table.remove(agent_id)
    for block in range(12):
        holders = {
            agent_id
            for agent_id, row in table.rows.items()
            if block in row.cached_blocks
        }
        assert set(table.longest_prefix_holders((block,), 9)) == holders


def test_cached_blocks_are_bounded_per_agent(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against unbounded memory; the oldest blocks are dropped first."""
    monkeypatch.setattr(upstream_table, "MAX_CACHED_BLOCKS", 5)
    table = table_of(report())
    table.add_cached_blocks("a0", range(8))
    table.add_cached_blocks("a0", [3, 9])
    assert list(table.rows["a0"].cached_blocks) == [5, 6, 7, 3, 9]
    assert table.longest_prefix_holders((4,), 1) == []
