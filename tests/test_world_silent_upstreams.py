"""Tests sound upstreams that fall silent for a second or so, in a simulation.

The pattern: upstreams stop sending, with their connections open, and then go on
with all their answers. Meanwhile others may have no room for second attempts.
"""

import asyncio
import random
from typing import NamedTuple

import pytest

from apricottrestle_standins.platform import (
    ledger,
    virtual_time,
    virtual_upstreams,
    workload,
    world,
)

SITE = workload.SITES["zimska-trgatev"]
TRAFFIC_S = 12.0
FIRST_AT_S = 3.0


class Silence(NamedTuple):
    """Silent upstreams.

    Attributes:
        share: Share of the upstreams that fall silent.
        silence_s: Time for which they are silent.
        full: Whether upstreams have no room for requests meanwhile.
        times: Number of silences, four seconds apart.
        load: Factor on the traffic.
    """

    share: float
    silence_s: float = 1.4
    full: bool = False
    times: int = 1
    load: float = 1.0


SILENCES = {
    "one": Silence(0.01),
    "a third": Silence(0.34),
    "a third, no room": Silence(0.34, full=True),
    "a third, no room, heavy load": Silence(0.34, full=True, load=2.0),
    "all": Silence(1.0),
    "all, shorter": Silence(1.0, 0.9),
    "all, no room": Silence(1.0, full=True),
    "all, twice, no room": Silence(1.0, full=True, times=2),
    "half, twice": Silence(0.5, times=2),
}


def _simulate(silence: Silence, seed: int) -> ledger.Ledger:
    async def main() -> ledger.Ledger:
        fleet = world.World(SITE, seed)

        async def fall_silent() -> None:
            loop = asyncio.get_running_loop()
            await asyncio.sleep(FIRST_AT_S)
            for _ in range(silence.times):
                groups: list[list[virtual_upstreams.Upstream]] = [
                    [*fleet.engines],
                    [*fleet.plain],
                ]
                for group in groups:
                    count = max(round(silence.share * len(group)), 1)
                    for upstream in group[:count]:
                        upstream.silent_until = loop.time() + silence.silence_s
                    for upstream in group:
                        upstream.is_full = silence.full
                await asyncio.sleep(silence.silence_s)
                for upstream in fleet.by_address.values():
                    upstream.is_full = False
                await asyncio.sleep(4.0 - silence.silence_s)

        arrivals = workload.generate_arrivals(
            SITE, TRAFFIC_S, random.Random(seed), load=silence.load
        )
        arrivals = [each._replace(error_rate=0.0) for each in arrivals]
        return await fleet.run_workload(arrivals, fall_silent())

    return virtual_time.run(main())


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("silence", SILENCES.values(), ids=SILENCES)
def test_silence_of_sound_upstreams_ends_no_answer(
    silence: Silence, seed: int
) -> None:
    """Guards against answers that are cut as their upstream was silent."""
    records = _simulate(silence, seed)
    assert ledger.find_violations(records) == []
    assert [
        f"{attempt.arrival.kind.name} {attempt.request_id}: {attempt.status}"
        for attempts in records.requests
        for attempt in attempts
        if attempt.broken or attempt.status in (500, 502)
    ] == []
