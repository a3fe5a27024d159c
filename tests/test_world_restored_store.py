"""Plays days on which the store comes back from an older copy.

What was written since the copy is lost, its offsets are given out again, and
the operator and the upstreams write again what they wrote, in any order.
"""

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from apricottrestle.gateway import crash_evidence, upstream_list
from apricottrestle_standins.platform import (
    virtual_store,
    virtual_time,
    workload,
    world,
)

SITE = workload.SITES["zimska-trgatev"]

CONFIG_IN_FORCE_S = 2.0
"""Time within which the platform requires a configuration to be in force."""

DRAIN_S = 2.0
"""Time within which requests to a draining upstream must cease."""

RETURN_S = 2.0
"""Time in which upstreams are listed again after the store's return."""

LIVENESS_S = 3.6
"""Time without renewal after which the entry of an upstream is removed."""

WRITTEN_AGAIN_S = 3.0
"""Time in which gateways must have written again what they keep in the store:
as long as gateways count as out of touch after a disturbance of the store."""


def _run(
    body: Callable[[world.World], Awaitable[None]],
    gateways: int = SITE.gateways,
) -> None:
    """Runs a check in a fleet whose gateways have connected to each other."""

    async def main() -> None:
        fleet = world.World(SITE._replace(gateways=gateways), 1)
        await asyncio.sleep(3.0)
        await body(fleet)
        for address in list(fleet.gateways):
            fleet.kill_gateway(address)

    virtual_time.run(main())


def _versions(fleet: world.World) -> set[int]:
    return {
        row.node.core.state.config_version for row in fleet.gateways.values()
    }


def _usable(row: world.Gateway) -> set[str]:
    return {
        entry.upstream_id
        for entry in row.node.core.state.members.usable(workload.ENGINES)
    }


def _turn_away(fleet: world.World, addresses: list[str], fault: str) -> None:
    for address in addresses:
        fleet.gateways[address].store.fault = fault


def _drain(fleet: world.World, number: int) -> str:
    engine = fleet.engines[number]
    fleet.log.append_upstream_change(
        engine.upstream_id, fleet.list_entry(engine, draining=True)
    )
    return engine.upstream_id


def _touch(fleet: world.World, number: int) -> None:
    """Writes the entry of an engine again, with another number of slots."""
    engine = fleet.engines[number]
    entry = fleet.list_entry(engine)
    fleet.log.append_upstream_change(
        engine.upstream_id, entry._replace(slots=entry.slots + 1)
    )


def _away(fleet: world.World, who: str) -> list[str]:
    """Returns the gateways that the store turns away after its return."""
    addresses = sorted(fleet.gateways)
    if who == "reader":
        return [
            row.address
            for row in fleet.gateways.values()
            if row.node.peers.rank(reaches_store=True) == 0
        ]
    return addresses if who == "all" else []


@pytest.mark.parametrize("gateways", [1, 2, SITE.gateways])
@pytest.mark.parametrize("who", ["none", "reader", "all"])
@pytest.mark.parametrize("lost_versions", [0, 1, 2, 3])
@pytest.mark.parametrize("outage_s", [0.0, 0.5, 2.0])
def test_version_at_an_offset_of_the_lost_history_is_in_force(
    outage_s: float, lost_versions: int, who: str, gateways: int
) -> None:
    """Guards against a version that is skipped because its offset was read.

    After the return the versions fill the lost offsets before a gateway reads.
    In a small fleet no gateway has an old position that includes them.
    """

    async def body(fleet: world.World) -> None:
        for _ in range(lost_versions):
            fleet.publish_next()
        await asyncio.sleep(0.5)
        away = _away(fleet, who)
        lost = await fleet.restore_store(0.7, outage_s)
        _turn_away(fleet, away, "refuse")
        assert len(lost.configs) == lost_versions
        for _ in range(max(lost_versions, 1)):
            fleet.publish_next()
        await asyncio.sleep(0.7)
        _turn_away(fleet, away, "")
        await asyncio.sleep(CONFIG_IN_FORCE_S)
        assert _versions(fleet) == {fleet.config.version}

    _run(body, gateways)


@pytest.mark.parametrize("who", ["none", "reader", "all"])
@pytest.mark.parametrize("outage_s", [0.0, 0.5, 2.0])
@pytest.mark.parametrize("lost_records", [1, 2, 5])
def test_draining_at_an_offset_of_the_lost_history_is_learned(
    lost_records: int, outage_s: float, who: str
) -> None:
    """Guards against a draining upstream that is used on and on.

    Its record has an offset that the gateways had read before the return.
    """

    async def body(fleet: world.World) -> None:
        for number in range(lost_records):
            _touch(fleet, number)
        await asyncio.sleep(1.0)
        away = _away(fleet, who)
        lost = await fleet.restore_store(1.2, outage_s)
        _turn_away(fleet, away, "refuse")
        assert len(lost.list_records) == lost_records
        draining = _drain(fleet, SITE.engines - 1)
        for record in lost.list_records:
            fleet.log.append_upstream_change(*record)
        await asyncio.sleep(0.7)
        _turn_away(fleet, away, "")
        await asyncio.sleep(DRAIN_S)
        for row in fleet.gateways.values():
            assert draining not in _usable(row)

    _run(body)


@pytest.mark.parametrize("rank", [0, 1, 3])
@pytest.mark.parametrize("lost_records", [1, 2, 5])
def test_gateway_without_the_store_learns_the_new_history(
    lost_records: int, rank: int
) -> None:
    """Guards against list changes of two histories that are pieced together.

    The store turns one gateway away for good; it depends on its peers.
    """

    async def body(fleet: world.World) -> None:
        for number in range(lost_records):
            _touch(fleet, number)
        await asyncio.sleep(1.0)
        row = sorted(
            fleet.gateways.values(),
            key=lambda row: row.node.peers.rank(reaches_store=True),
        )[rank]
        row.store.fault = "refuse"
        lost = await fleet.restore_store(1.2, 0.5)
        draining = _drain(fleet, SITE.engines - 1)
        for record in lost.list_records:
            fleet.log.append_upstream_change(*record)
        await asyncio.sleep(DRAIN_S)
        assert draining not in _usable(row)
        later = _drain(fleet, 0)
        await asyncio.sleep(DRAIN_S)
        assert not {draining, later} & _usable(row)

    _run(body)


@pytest.mark.parametrize("outage_s", [0.0, 0.5, 2.0])
@pytest.mark.parametrize("state", ["draining", "removed"])
def test_upstream_that_left_is_not_brought_back_by_the_copy(
    state: str, outage_s: float
) -> None:
    """Guards against requests to an upstream that left in the lost seconds.

    The copy lists it as ready until its departure is written again.
    """

    async def body(fleet: world.World) -> None:
        left = _drain(fleet, 0)
        if state == "removed":
            await asyncio.sleep(0.7)
            fleet.log.append_upstream_change(left, None)
        _touch(fleet, 1)
        await asyncio.sleep(1.0)
        await fleet.restore_store(2.0, outage_s)
        end_s = asyncio.get_running_loop().time() + LIVENESS_S - 0.2
        while asyncio.get_running_loop().time() < end_s:
            assert all(
                left not in _usable(row) for row in fleet.gateways.values()
            )
            await asyncio.sleep(0.1)

    _run(body)


def test_upstream_that_stays_listed_after_the_return_is_used() -> None:
    """Guards against an upstream that is kept out of use for good.

    Its entry expired and was renewed, both in the lost seconds. It renews its
    entry in the copy, which is no change.
    """

    async def body(fleet: world.World) -> None:
        engine = fleet.engines[0]
        fleet.log.append_upstream_change(engine.upstream_id, None)
        await asyncio.sleep(0.7)
        await fleet.restore_store(1.2, 2.0)
        await asyncio.sleep(LIVENESS_S + RETURN_S)
        for row in fleet.gateways.values():
            assert engine.upstream_id in _usable(row)

    _run(body)


@pytest.mark.parametrize("outage_s", [0.0, 0.3, 2.0])
def test_upstream_that_the_copy_lacks_stays_until_it_is_listed_again(
    outage_s: float,
) -> None:
    """Guards against losing an upstream that registered in the lost seconds.

    It stays in use while upstreams have time to register again, also after an
    outage that is too short for entries to expire.
    """

    async def body(fleet: world.World) -> None:
        engine = fleet.engines[0]
        fleet.log.append_upstream_change(engine.upstream_id, None)
        await asyncio.sleep(4.0)
        fleet.log.append_upstream_change(
            engine.upstream_id, fleet.list_entry(engine)
        )
        await asyncio.sleep(1.0)
        await fleet.restore_store(2.0, outage_s)
        end_s = asyncio.get_running_loop().time() + RETURN_S - 0.1
        while asyncio.get_running_loop().time() < end_s:
            for row in fleet.gateways.values():
                assert engine.upstream_id in _usable(row)
            await asyncio.sleep(0.1)
        fleet.log.append_upstream_change(
            engine.upstream_id, fleet.list_entry(engine)
        )
        await asyncio.sleep(4.0)
        for row in fleet.gateways.values():
            assert engine.upstream_id in _usable(row)

    _run(body)


def test_older_start_in_the_copy_does_not_replace_a_later_one() -> None:
    """Guards against an entry that names an earlier start of an upstream."""

    async def body(fleet: world.World) -> None:
        engine = fleet.engines[0]
        entry = fleet.list_entry(engine)
        restarted = entry._replace(started_at_ms=entry.started_at_ms + 1)
        fleet.log.append_upstream_change(engine.upstream_id, restarted)
        await asyncio.sleep(1.0)
        await fleet.restore_store(1.2, 0.5)
        await asyncio.sleep(1.5)
        for row in fleet.gateways.values():
            members = row.node.core.state.members
            assert members.get(engine.upstream_id) == restarted

    _run(body)


@pytest.mark.parametrize("lost_s", [1.0, 5.0])
def test_gateways_are_found_in_the_store_after_its_return(
    lost_s: float,
) -> None:
    """Guards against a gateway that starts and finds no peer in the store."""

    async def body(fleet: world.World) -> None:
        fleet.kill_gateway("gateway-0")
        fleet.start_gateway(0)
        await asyncio.sleep(0.5)
        await fleet.restore_store(lost_s, 0.5)
        await asyncio.sleep(WRITTEN_AGAIN_S)
        listed = {entry.incarnation for entry in fleet.log.gateways.values()}
        assert listed == {
            row.node.incarnation for row in fleet.gateways.values()
        }

    _run(body)


def _crash(number: int) -> crash_evidence.CrashReport:
    suspect = crash_evidence.Suspect(("bad", f"own-{number}"), True)
    return crash_evidence.CrashReport(f"crash-{number}", 0.0, (suspect,))


@pytest.mark.parametrize("gateways", [1, SITE.gateways])
@pytest.mark.parametrize("returns", [1, 3])
def test_verdict_on_a_prompt_outlives_a_return_and_all_gateways(
    returns: int, gateways: int
) -> None:
    """Guards against engines that crash again after all gateways restart.

    The crashes that prove a part of prompts to be bad were saved in the lost
    seconds.
    """

    async def body(fleet: world.World) -> None:
        row = fleet.gateways["gateway-0"]
        row.node.core.crashes.merge([_crash(n) for n in range(5)], "test")
        row.node.peers.crashes_changed([f"crash-{n}" for n in range(5)])
        await asyncio.sleep(1.0)
        saved = set(fleet.log.crashes)
        assert saved
        for _ in range(returns):
            await fleet.restore_store(2.0, 0.5)
            await asyncio.sleep(WRITTEN_AGAIN_S)
            assert set(fleet.log.crashes) == saved

    _run(body, gateways)


@pytest.mark.parametrize("who", ["none", "reader", "all"])
def test_version_written_again_with_other_contents_replaces_the_lost_one(
    who: str,
) -> None:
    """Guards against a lost version that stays in force in place of the new.

    The operator gives its number to other contents after the return.
    """

    async def body(fleet: world.World) -> None:
        fleet.publish_next()
        await asyncio.sleep(0.5)
        away = _away(fleet, who)
        await fleet.restore_store(0.7, 0.5)
        _turn_away(fleet, away, "refuse")
        changed = fleet.config._replace(routes=fleet.config.routes[:-1])
        fleet.log.publish(changed)
        await asyncio.sleep(0.7)
        _turn_away(fleet, away, "")
        await asyncio.sleep(CONFIG_IN_FORCE_S)
        for row in fleet.gateways.values():
            compiled = row.node.core.state.compiled
            assert compiled is not None
            assert compiled.config.routes == changed.routes

    _run(body)


@pytest.mark.parametrize("start", ["none", "one", "all but one"])
def test_newer_version_of_a_peer_wins_over_the_copy(start: str) -> None:
    """Guards against a version that comes back older with the copy.

    Gateways that start meanwhile read the copy, and have to learn from a peer.
    """

    async def body(fleet: world.World) -> None:
        fleet.publish_next()
        await asyncio.sleep(0.5)
        await fleet.restore_store(0.7, 0.5)
        count = {"none": 0, "one": 1, "all but one": SITE.gateways - 1}[start]
        for number in range(count):
            fleet.kill_gateway(f"gateway-{number}")
        for number in range(count):
            fleet.start_gateway(number)
        await asyncio.sleep(CONFIG_IN_FORCE_S)
        assert fleet.log.configs[-1].version == 1
        assert _versions(fleet) == {2}

    _run(body)


def test_several_returns_in_a_row_leave_the_newest_state() -> None:
    """Guards against state of a history between two returns."""

    async def body(fleet: world.World) -> None:
        expected: set[str] = set()
        for number in range(3):
            fleet.publish_next()
            expected.add(_drain(fleet, number))
            await asyncio.sleep(0.3)
            lost = await fleet.restore_store(0.6, 0.2)
            await asyncio.sleep(0.2)
            _write_again(fleet, lost)
        await asyncio.sleep(DRAIN_S)
        assert _versions(fleet) == {4}
        for row in fleet.gateways.values():
            assert not expected & _usable(row)
            assert len(_usable(row)) == SITE.engines - 3

    _run(body)


def _write_again(fleet: world.World, lost: virtual_store.Lost) -> None:
    for config in lost.configs:
        fleet.log.publish(config)
    newest: dict[str, upstream_list.UpstreamEntry | None] = dict(
        lost.list_records
    )
    for upstream_id, entry in newest.items():
        fleet.log.append_upstream_change(upstream_id, entry)
