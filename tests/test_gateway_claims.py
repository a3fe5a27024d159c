"""Guards long prompts against starving while short ones fill every engine."""

import asyncio

import hypothesis
import pytest
from bench import fleet_days
from hypothesis import strategies

from apricottrestle.gateway import (
    engine_claims,
    engine_load,
    engine_routing,
    kind_shares,
)
from apricottrestle_standins.platform import (
    ledger,
    virtual_time,
    workload,
    world,
)
from tests import gateway_parts

MODEL = gateway_parts.ENGINE
LONG = engine_routing.Ask(154_000, 800, 6.0, 24.0, 15.0, 1.0)
HUGE = engine_routing.Ask(400_000, 800, 6.0, 24.0, 15.0, 1.0)
MIDDLE = engine_routing.Ask(45_000, 1_000, 1.0, 6.0, 10.0, 0.6)
SHORT = engine_routing.Ask(5_000, 1_600, 0.2, 2.0, 10.0, 0.25)


def _busy(writers: list[int]) -> list[engine_routing.Candidate]:
    """Returns engines with so many writers of short answers each."""
    load = engine_load.EngineLoad()
    for engine, count in enumerate(writers):
        for number in range(count):
            load.start(
                engine_load.Run(
                    f"{engine}-{number}", f"e{engine}", (), 5_000, 1_600, 0.03,
                    0, 0.25, 0.2, True,
                ),
                0.0,
            )  # fmt: skip
    return [
        engine_routing.Candidate(f"e{n}", load.row(f"e{n}"), 8, 0.0, n, 1.0)
        for n in range(len(writers))
    ]


@pytest.mark.parametrize(
    ("ask", "claimed", "expected"),
    [
        # Reads in time on one engine: the one with the fewest short writers.
        (LONG, (), ("e2",)),
        # Another request keeps that one.
        (LONG, ("e2",), ("e4",)),
        # Needs the memory and the time of several.
        (HUGE, (), ("e2", "e4", "e1", "e5")),
        # Most engines stay with the others.
        (HUGE, ("e0", "e3"), ()),
        (LONG, ("e0", "e1", "e3", "e5"), ()),
        # Claimed engines would run empty too late for these.
        (MIDDLE, (), ()),
        (SHORT, (), ()),
    ],
)
def test_claims_take_what_runs_empty_first(
    ask: engine_routing.Ask, claimed: tuple[str, ...], expected: tuple[str, ...]
) -> None:
    """Guards a long prompt's way to an engine, and the others' engines."""
    engines = _busy([8, 3, 1, 8, 2, 4, 8, 8, 8, 8, 8, 8])
    chosen = engine_claims.choose(ask, engines, claimed.__contains__, MODEL)
    assert chosen == expected


@hypothesis.given(
    strategies.lists(strategies.integers(0, 8), min_size=1, max_size=30),
    strategies.integers(1_000, 900_000),
)
def test_claims_leave_most_engines(writers: list[int], tokens: int) -> None:
    """Guards the urgent kinds against claims of any number of requests."""
    engines = _busy(writers)
    claims = engine_claims.EngineClaims()
    ask = LONG._replace(prompt_tokens=tokens)
    for number in range(10):
        chosen = engine_claims.choose(
            ask, engines, lambda name: claims.holder(name, 1.0) is not None,
            MODEL,
        )  # fmt: skip
        claims.add(engine_claims.Claim(str(number), chosen, 5.0), 1.0)
    held = [each for each in engines if claims.holder(each.engine, 1.0)]
    assert len(held) <= len(engines) * engine_claims.MAX_SHARE


def test_claims_end_by_themselves() -> None:
    """Guards engines against a gateway that dies or freezes with a claim."""
    claims = engine_claims.EngineClaims()
    claims.add(engine_claims.Claim("a", ("e0", "e1"), 5.0), 10.0)
    claims.add(engine_claims.Claim("b", ("e1", "e2"), 5.0), 11.0)
    holders = [claims.holder(engine, 12.0) for engine in ("e0", "e1", "e2")]
    assert holders == ["a", "a", "b"]
    claims.remove("b")
    assert claims.holder("e2", 12.0) is None
    assert claims.holder("e0", 15.0) is None


def test_share_of_a_kind_weighs_by_tokens_and_forgets() -> None:
    """Guards the longest prompts of a kind, and the return to normal."""
    shares = kind_shares.KindShares()
    assert not shares.starves("long")
    for at in range(20):
        shares.note("short", 5_000, float(at), on_time=True)
        shares.note("long", 60_000, float(at), on_time=True)
    assert not shares.starves("long")
    # Few requests, most of the kind's tokens.
    for at in range(20, 24):
        shares.note("long", 400_000, float(at), on_time=False)
    assert shares.starves("long")
    for at in range(24, 60):
        shares.note("long", 60_000, float(at), on_time=True)
    assert not shares.starves("long")


def test_late_start_leaves_time_to_write() -> None:
    """Guards engines against answers that the caller's time cuts off.

    At 2.5 times the load a long prompt began 13.7 s into its 15 s and was cut
    off in the middle, after it had kept engines from others.
    """
    engines = _busy([0, 0])
    late = LONG._replace(target_left_s=-7.0, prompt_tokens=100_000)
    read_s = 0.8
    enough = late._replace(time_left_s=read_s + 1.5, patience_left_s=10.0)
    short = late._replace(time_left_s=read_s + 0.5, patience_left_s=10.0)
    assert engine_routing.least_late(enough, engines, MODEL, 0.0) is not None
    assert engine_routing.least_late(short, engines, MODEL, 0.0) is None


def test_peers_keep_away_from_claimed_engines() -> None:
    """Guards a claim against gateways that don't know of it."""

    async def main() -> list[str | None]:
        fleet = world.World(workload.SITES["zimska-trgatev"], 0)
        await asyncio.sleep(world.START_S)
        first, *others = [row.parts for row in fleet.gateways.values()]

        async def told() -> list[str | None]:
            await asyncio.sleep(0.01)
            now = asyncio.get_running_loop().time()
            return [each.core.claims.holder("engine-0", now) for each in others]

        claim = engine_claims.Claim("claim-1", ("engine-0",), 5.0)
        first.peers.claim_added(claim)
        after_claim = await told()
        first.peers.claim_removed(claim.claim_id)
        after_release = await told()
        for address in list(fleet.gateways):
            fleet.kill_gateway(address)
        return after_claim + after_release

    holders = virtual_time.run(main())
    assert holders == ["claim-1"] * 3 + [None] * 3


@pytest.mark.parametrize("seed", range(1, 4))
def test_longest_kind_keeps_its_floor_far_beyond_capacity(seed: int) -> None:
    """Guards the load at 2.5 times the usual: urgent kinds fill all engines."""
    pattern = fleet_days.PATTERNS["2.5 of the load"]
    book = fleet_days.play("zimska-trgatev", pattern, seed)
    scores = ledger.scores(book)
    assert scores["long"].worth >= scores["all"].worth / 2
