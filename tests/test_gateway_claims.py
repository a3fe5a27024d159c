"""Tests of engine claims, which keep long prompts from starvation."""

import asyncio
import itertools
from unittest import mock

import hypothesis
import pytest
from bench import fleet_days
from hypothesis import strategies

from apricottrestle.gateway import (
    calls,
    engine_claims,
    engine_load,
    engine_routing,
    on_time_shares,
)
from apricottrestle_standins.platform import (
    ledger,
    virtual_time,
    virtual_upstreams,
    workload,
    world,
)
from tests import gateway_parts

MODEL = gateway_parts.ENGINE
LONG = engine_routing.RequestNeeds(154_000, 800, 6.0, 24.0, 15.0, 1.0)
HUGE = engine_routing.RequestNeeds(400_000, 800, 6.0, 24.0, 15.0, 1.0)
MIDDLE = engine_routing.RequestNeeds(45_000, 1_000, 1.0, 6.0, 10.0, 0.6)
SHORT = engine_routing.RequestNeeds(5_000, 1_600, 0.2, 2.0, 10.0, 0.25)


def _engines_with_decoding_runs(
    run_counts: list[int],
) -> list[engine_routing.Candidate]:
    """Returns engines, each with the given number of short decoding runs."""
    load = engine_load.EngineLoad()
    for engine, count in enumerate(run_counts):
        for number in range(count):
            load.add_run(
                engine_load.Run(
                    f"{engine}-{number}", f"e{engine}", (), 5_000, 1_600, 0.03,
                    0, 0.25, 0.2, True,
                ),
                0.0,
            )  # fmt: skip
    return [
        engine_routing.Candidate(f"e{n}", load.state(f"e{n}"), 8, 0.0, n, 1.0)
        for n in range(len(run_counts))
    ]


@pytest.mark.parametrize(
    ("ask", "claimed", "expected"),
    [
        # One engine is enough; the one with the fewest decoding runs is chosen.
        (LONG, (), ("e2",)),
        # The engine with the fewest decoding runs is already claimed.
        (LONG, ("e2",), ("e4",)),
        # The prompt needs the memory and prefill rate of several engines.
        (HUGE, (), ("e2", "e4", "e1", "e5")),
        # The limit on the share of claimed engines is reached.
        (HUGE, ("e0", "e3"), ()),
        (LONG, ("e0", "e1", "e3", "e5"), ()),
        # Claimed engines would be drained too late for these prompts.
        (MIDDLE, (), ()),
        (SHORT, (), ()),
    ],
)
def test_claims_choose_engines_that_drain_first(
    ask: engine_routing.RequestNeeds,
    claimed: tuple[str, ...],
    expected: tuple[str, ...],
) -> None:
    """Guards against claims of slowly draining or too many engines."""
    engines = _engines_with_decoding_runs([8, 3, 1, 8, 2, 4, 8, 8, 8, 8, 8, 8])
    chosen = engine_claims.choose_engines(
        ask, engines, claimed.__contains__, MODEL
    )
    assert (chosen.engines if chosen else ()) == expected


@hypothesis.given(
    strategies.lists(strategies.integers(0, 8), min_size=1, max_size=30),
    strategies.integers(1_000, 900_000),
)
def test_claims_leave_most_engines(run_counts: list[int], tokens: int) -> None:
    """Guards against claims that exceed their share of the engines."""
    engines = _engines_with_decoding_runs(run_counts)
    claims = engine_claims.EngineClaims()
    ask = LONG._replace(prompt_tokens=tokens)
    for number in range(10):
        chosen = engine_claims.choose_engines(
            ask,
            engines,
            lambda name: claims.claim_id_on(name, 1.0) is not None,
            MODEL,
        )
        if chosen is not None:
            claims.add(
                engine_claims.Claim(str(number), chosen.engines, 5.0), 1.0
            )
    held = [each for each in engines if claims.claim_id_on(each.engine, 1.0)]
    assert len(held) <= len(engines) * engine_claims.MAX_CLAIMED_SHARE


def test_claims_expire() -> None:
    """Guards against claims that outlive a crashed or frozen gateway."""
    claims = engine_claims.EngineClaims()
    claims.add(engine_claims.Claim("a", ("e0", "e1"), 5.0), 10.0)
    claims.add(engine_claims.Claim("b", ("e1", "e2"), 5.0), 11.0)
    holders = [
        claims.claim_id_on(engine, 12.0) for engine in ("e0", "e1", "e2")
    ]
    assert holders == ["a", "a", "b"]
    claims.remove("b")
    assert claims.claim_id_on("e2", 12.0) is None
    assert claims.claim_id_on("e0", 15.0) is None


def test_on_time_share_is_token_weighted_and_decays() -> None:
    """Guards against unnoticed starvation of a route's longest prompts."""
    shares = on_time_shares.OnTimeShares()
    assert not shares.is_starved("long")
    for second in range(20):
        shares.record("short", 5_000, float(second), on_time=True)
        shares.record("long", 60_000, float(second), on_time=True)
    assert not shares.is_starved("long")
    # Few requests that hold most of the route's tokens.
    for second in range(20, 24):
        shares.record("long", 400_000, float(second), on_time=False)
    assert shares.is_starved("long")
    for second in range(24, 60):
        shares.record("long", 60_000, float(second), on_time=True)
    assert not shares.is_starved("long")


def test_late_start_leaves_time_to_decode() -> None:
    """Guards against starting requests that can't finish by their deadline.

    At 2.5 times the usual load a long prompt started 13.7 s into its time limit
    of 15 s. It was cut off after it had occupied engines that other requests
    needed.
    """
    engines = _engines_with_decoding_runs([0, 0])
    late_needs = LONG._replace(target_left_s=-7.0, prompt_tokens=100_000)
    read_s = 0.8
    enough = late_needs._replace(time_left_s=read_s + 1.5, abandon_left_s=10.0)
    short = late_needs._replace(time_left_s=read_s + 0.5, abandon_left_s=10.0)
    assert (
        engine_routing.choose_earliest(enough, engines, MODEL, 0.0) is not None
    )
    assert engine_routing.choose_earliest(short, engines, MODEL, 0.0) is None


def test_peers_learn_of_claims_and_releases() -> None:
    """Guards against gateways that place requests on claimed engines."""

    async def main() -> list[str | None]:
        fleet = world.World(workload.SITES["zimska-trgatev"], 0)
        await asyncio.sleep(world.WARM_UP_S)
        first, *others = [row.node for row in fleet.gateways.values()]

        async def peer_holders() -> list[str | None]:
            await asyncio.sleep(0.01)
            now = asyncio.get_running_loop().time()
            return [
                each.core.claims.claim_id_on("engine-0", now) for each in others
            ]

        claim = engine_claims.Claim("claim-1", ("engine-0",), 5.0)
        first.peers.claim_added(claim)
        after_claim = await peer_holders()
        first.peers.claim_removed(claim.claim_id)
        after_release = await peer_holders()
        for address in list(fleet.gateways):
            fleet.kill_gateway(address)
        return after_claim + after_release

    holders = virtual_time.run(main())
    assert holders == ["claim-1"] * 3 + [None] * 3


def test_gateways_do_not_choose_the_same_free_engine_at_once() -> None:
    """Guards against long prompts that collide on an engine that became free.

    All gateways hear of the end of a run at the same time. Three of them placed
    a long prompt on the engine within the delay of a message, and two of the
    three answers did not end in time.
    """

    async def main() -> list[float]:
        site = workload.SITES["zimska-trgatev"]
        fleet = world.World(
            site._replace(gateways=3, data_centres=3, engines=1), 0
        )
        sent_at: list[float] = []
        send = virtual_upstreams.VirtualUpstreams.send

        def record_send(
            client: virtual_upstreams.VirtualUpstreams,
            call: calls.UpstreamCall,
            sink: calls.ResponseSink,
        ) -> calls.Transfer:
            sent_at.append(asyncio.get_running_loop().time())
            return send(client, call, sink)

        arrivals = [
            workload.Arrival(
                at_s, site.kinds[2], number % 3, 0, 150_000, 3, 0.0, 0.0
            )
            for number, at_s in enumerate((0.0, 0.5, 0.6, 0.7))
        ]
        with mock.patch.object(
            virtual_upstreams.VirtualUpstreams, "send", record_send
        ):
            records = await fleet.run_workload(arrivals)
        assert ledger.find_violations(records) == []
        return sent_at

    sent_at = virtual_time.run(main())
    assert len(sent_at) >= 3
    assert min(b - a for a, b in itertools.pairwise(sent_at)) > (
        2 * world.REMOTE_DELAY_S
    )


@pytest.mark.parametrize("seed", [1, 2, 3, 5, 9])
def test_long_prompts_are_not_starved_under_overload(seed: int) -> None:
    """Guards against starvation of long prompts at 2.5 times the usual load."""
    pattern = fleet_days.LOAD_PATTERNS["2.5 of the load"]
    observations = fleet_days.simulate_day("zimska-trgatev", pattern, seed)
    scores = ledger.scores(observations)
    assert scores["long"].worth >= scores["all"].worth / 2
