"""Guards what gateways know of the store, and who calls it."""

import asyncio
import random
from collections.abc import Awaitable, Callable

import hypothesis
import pytest
from hypothesis import strategies

from apricottrestle.gateway import store_duty
from apricottrestle_standins.platform import (
    virtual_time,
    workload,
    world,
)

SITE = workload.SITES["zimska-trgatev"]
MAX_BYTES_PER_PAIR = 10_000
"""Bytes between two gateways in their first five seconds: beats and runs, an
order below one configuration with its upstream list (60 kB at 300 routes)."""

CONFIG_S = 2.0
"""Time within which a configuration is in force, from the platform's pages."""


def _run(
    body: Callable[[world.World], Awaitable[None]], settle_s: float = 2.0
) -> None:
    """Runs a check in a fleet that has settled."""

    async def main() -> None:
        fleet = world.World(SITE, 1)
        await asyncio.sleep(settle_s)
        await body(fleet)
        for address in list(fleet.gateways):
            fleet.kill_gateway(address)

    virtual_time.run(main())


def _versions(fleet: world.World) -> set[int]:
    return {
        row.parts.core.state.config_version for row in fleet.gateways.values()
    }


def _usable(fleet: world.World) -> list[int]:
    return [
        len(row.parts.core.state.members.usable(workload.ENGINES))
        for row in fleet.gateways.values()
    ]


def _by_rank(fleet: world.World) -> list[world.Gateway]:
    """Gateways in the order in which they read the store."""
    return sorted(
        fleet.gateways.values(),
        key=lambda row: row.parts.peers.rank(reaches_store=True),
    )


def test_calls_do_not_grow_with_the_gateways() -> None:
    """Guards the store's price: calls of the fleet, not of each gateway."""

    async def calls_of(gateways: int) -> int:
        fleet = world.World(SITE._replace(gateways=gateways), 1)
        await asyncio.sleep(3.0)
        before = fleet.log.calls
        await asyncio.sleep(10.0)
        return fleet.log.calls - before

    few = virtual_time.run(calls_of(2))
    many = virtual_time.run(calls_of(12))
    assert many <= few * 1.3


@pytest.mark.parametrize(
    "trouble", ["none", "killed", "refused", "silent", "isolated"]
)
def test_configuration_is_in_force_in_time(trouble: str) -> None:
    """Guards against a version that waits for a reader that can't read."""

    async def body(fleet: world.World) -> None:
        readers = _by_rank(fleet)[: store_duty.CONFIG_READERS]
        if trouble == "killed":
            for row in readers:
                fleet.kill_gateway(row.address)
        elif trouble == "refused":
            for row in readers:
                row.store.trouble = "refuse"
        elif trouble == "silent":
            readers[0].store.trouble = "silent"
        elif trouble == "isolated":
            for row in readers:
                for other in fleet.gateways:
                    fleet.cut.add(frozenset((row.address, other)))
        fleet.publish_next()
        await asyncio.sleep(CONFIG_S)
        assert _versions(fleet) == {2}

    _run(body)


def test_refused_gateways_learn_from_their_peers() -> None:
    """Guards a gateway that the store turns away while others are served."""

    async def body(fleet: world.World) -> None:
        row = _by_rank(fleet)[0]
        row.store.trouble = "refuse"
        engine = fleet.engines[0]
        fleet.log.list_change(
            engine.upstream_id, fleet.entry(engine, draining=True)
        )
        await asyncio.sleep(1.5)
        assert set(_usable(fleet)) == {SITE.engines - 1}

    _run(body)


def test_lost_history_is_read_anew() -> None:
    """Guards against a leaving upstream whose record was forgotten."""

    async def body(fleet: world.World) -> None:
        engine = fleet.engines[0]
        fleet.log.list_change(engine.upstream_id, None)
        fleet.log.forget()
        fleet.publish_next()
        await asyncio.sleep(1.5)
        assert set(_usable(fleet)) == {SITE.engines - 1}
        await asyncio.sleep(0.5)
        assert _versions(fleet) == {2}

    _run(body)


def test_start_while_the_store_is_down() -> None:
    """Guards a new process: its peers give it all that it needs."""

    async def body(fleet: world.World) -> None:
        for row in fleet.gateways.values():
            row.store.trouble = "refuse"
        fleet.kill_gateway("gateway-3")
        row = fleet.start_gateway(3)
        row.store.trouble = "refuse"
        await asyncio.sleep(1.0)
        assert row.parts.ready
        assert set(_usable(fleet)) == {SITE.engines}

    _run(body)


def test_start_without_store_and_peers_is_not_ready() -> None:
    """Guards against a 404 or 401 by a process that knows no configuration."""

    async def main() -> None:
        fleet = world.World(SITE._replace(gateways=1), 1)
        row = fleet.gateways["gateway-0"]
        row.store.trouble = "silent"
        await asyncio.sleep(5.0)
        assert not row.parts.ready
        row.store.trouble = ""
        await asyncio.sleep(4.0)
        assert row.parts.ready

    virtual_time.run(main())


def test_lapsed_entries_keep_their_upstreams_in_use() -> None:
    """Guards against refusals because entries lapsed in an outage."""

    async def body(fleet: world.World) -> None:
        for row in fleet.gateways.values():
            row.store.trouble = "silent"
        await asyncio.sleep(0.5)
        for engine in fleet.engines:
            fleet.log.list_change(engine.upstream_id, None)
        await asyncio.sleep(5.0)
        for row in fleet.gateways.values():
            row.store.trouble = ""
        await asyncio.sleep(1.5)
        assert set(_usable(fleet)) == {SITE.engines}
        for engine in fleet.engines[1:]:
            fleet.log.list_change(engine.upstream_id, fleet.entry(engine))
        await asyncio.sleep(5.0)
        assert set(_usable(fleet)) == {SITE.engines - 1}

    _run(body)


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.text("abc", min_size=1), strategies.booleans()
        ),
        unique_by=lambda row: row[0],
        min_size=1,
        max_size=8,
    )
)
def test_ranks_are_a_permutation(rows: list[tuple[str, bool]]) -> None:
    """Guards against a fleet in which nobody reads the store."""
    readers = [store_duty.Reader(*row) for row in rows]
    random.Random(1).shuffle(readers)
    ranks = [
        store_duty.rank(reader, [other for other in readers if other != reader])
        for reader in readers
    ]
    reaching = [
        rank
        for rank, reader in zip(ranks, readers, strict=True)
        if reader.reaches_store
    ]
    assert sorted(reaching) == list(range(len(reaching)))
    assert min(ranks) == 0


def test_older_configuration_is_never_adopted() -> None:
    """Guards against going back, whatever a peer or the store says."""

    async def body(fleet: world.World) -> None:
        fleet.publish_next()
        await asyncio.sleep(1.0)
        for row in fleet.gateways.values():
            state = row.parts.core.state
            assert not state.adopt_config(fleet.log.configs[0], "peer")
            assert state.config_version == 2

    _run(body)


def test_start_of_a_large_fleet_sends_no_lists_around() -> None:
    """Guards a start of all gateways: bytes that grow with their square.

    Seen in the sweep on ledena-trgatev: at 300 machines it took 30 s until
    requests were served after all had been killed.
    """

    async def bytes_of(gateways: int) -> float:
        fleet = world.World(SITE._replace(gateways=gateways), 1)
        fleet.config = fleet.config._replace(
            version=2,
            routes=tuple(
                route._replace(path_prefix=f"{route.path_prefix}{n}/")
                for route in fleet.config.routes
                for n in range(60)
            ),
        )
        fleet.log.publish(fleet.config)
        await asyncio.sleep(5.0)
        return fleet.bytes_carried / (gateways * (gateways - 1))

    few = virtual_time.run(bytes_of(4))
    many = virtual_time.run(bytes_of(24))
    assert many < 1.5 * few
    assert many < MAX_BYTES_PER_PAIR
