"""Simulates fleets whose upstreams leave or turn requests away, and say so.

Each pattern is played as shipped and with the statements unheeded. `make
bench-fleet` prints the table of docs/measurements-platform.md.
"""

import argparse
import asyncio
import concurrent.futures
import contextlib
import logging
import random
import statistics
import sys
from collections.abc import Awaitable, Callable
from typing import Final, NamedTuple
from unittest import mock

from apricottrestle.gateway import upstream_notices
from apricottrestle_standins.platform import (
    ledger,
    virtual_time,
    virtual_upstreams,
    workload,
    world,
)

DAY_LENGTH_S: Final = 20.0
LOAD: Final = 0.8
SEEDS: Final = 4
DRAIN_S: Final = 2.0
TURN_AWAY_S: Final = 2.0
ROLL_GAP_S: Final = 1.0
START_S: Final = 1.0


class Row(NamedTuple):
    """Outcome of a day.

    Attributes:
        served: Share of the requests that were answered in full.
        refused: Share whose last answer was a refusal.
        against: Requests that reached an upstream against its word.
    """

    served: float
    refused: float
    against: int


async def _turn_away(fleet: world.World) -> None:
    """A third of the upstreams after the other turns requests away."""
    loop = asyncio.get_running_loop()
    upstreams = list(fleet.by_address.values())
    for turn in range(int(DAY_LENGTH_S / TURN_AWAY_S)):
        for upstream in upstreams[turn % 3 :: 3]:
            upstream.refuses_until = loop.time() + TURN_AWAY_S
        await asyncio.sleep(TURN_AWAY_S)


async def _roll(fleet: world.World, *, says_so: bool) -> None:
    """All upstreams leave one after the other, and start again."""

    async def leave(upstream: virtual_upstreams.Upstream) -> None:
        upstream.is_leaving = says_so
        await asyncio.sleep(DRAIN_S)
        fleet.log.append_upstream_change(
            upstream.upstream_id, fleet.list_entry(upstream, draining=True)
        )
        await asyncio.sleep(DRAIN_S)
        upstream.crash(dark=False)
        await asyncio.sleep(START_S)
        upstream.restart()
        fleet.log.append_upstream_change(
            upstream.upstream_id, fleet.list_entry(upstream)
        )

    leaving = []
    for upstream in list(fleet.by_address.values()):
        leaving.append(asyncio.ensure_future(leave(upstream)))
        await asyncio.sleep(ROLL_GAP_S)
    await asyncio.gather(*leaving)


PATTERNS: Final[dict[str, Callable[[world.World], Awaitable[None]]]] = {
    "a third turns away": _turn_away,
    "roll, with the word": lambda fleet: _roll(fleet, says_so=True),
    "roll, without": lambda fleet: _roll(fleet, says_so=False),
}


def _count_against(records: ledger.Ledger) -> int:
    """Returns the requests that a gateway sent against a statement to it."""
    gateways = {
        attempt.request_id: (attempt.gateway, attempt.sent_s)
        for attempts in records.requests
        for attempt in attempts
    }
    told: dict[tuple[str, str, int], list[ledger.Notice]] = {}
    for notice in records.notices:
        gateway = gateways[notice.request_id][0]
        key = (gateway, notice.upstream_id, notice.started_at_ms)
        told.setdefault(key, []).append(notice)
    against = 0
    for delivery in records.deliveries:
        gateway, sent_s = gateways[delivery.request_id]
        key = (gateway, delivery.upstream_id, delivery.started_at_ms)
        against += any(
            sent_s > notice.at_s + DRAIN_S
            if notice.wait_s is None
            else notice.at_s + ledger.NOTICE_DELAY_S
            < delivery.at_s
            < notice.at_s + notice.wait_s
            for notice in told.get(key, [])
        )
    return against


def _unheeded(*_args: object) -> float:
    """Stands in for UpstreamNotices.wait_s: every upstream gets requests."""
    return 0.0


def _simulate(task: tuple[str, str, bool, int]) -> Row:
    site_name, pattern, heeds, seed = task
    logging.disable(logging.CRITICAL)

    async def main() -> ledger.Ledger:
        site = workload.SITES[site_name]
        fleet = world.World(site, seed)
        arrivals = workload.generate_arrivals(
            site, DAY_LENGTH_S, random.Random(seed), load=LOAD
        )
        return await fleet.run_workload(arrivals, PATTERNS[pattern](fleet))

    with contextlib.ExitStack() as stack:
        if not heeds:
            stack.enter_context(
                mock.patch.object(
                    upstream_notices.UpstreamNotices,
                    "wait_s",
                    _unheeded,
                )
            )
        records = virtual_time.run(main())
    count = len(records.requests)
    return Row(
        sum(row[-1].complete for row in records.requests) / count,
        sum(row[-1].status == 503 for row in records.requests) / count,
        _count_against(records),
    )


def main() -> int:
    """Runs the command-line interface."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=SEEDS)
    args = parser.parse_args()
    print("| site | pattern | statements | served | refused | against |")
    print("|---|---|---|---|---|---|")
    with concurrent.futures.ProcessPoolExecutor() as pool:
        for site in ("zimska-trgatev", "sweetbreeze"):
            for pattern in PATTERNS:
                for heeds in (False, True):
                    days = list(
                        pool.map(
                            _simulate,
                            [
                                (site, pattern, heeds, seed)
                                for seed in range(args.seeds)
                            ],
                        )
                    )
                    print(
                        f"| {site} | {pattern} | "
                        f"{'heeded' if heeds else 'unheeded'} | "
                        f"{statistics.mean(day.served for day in days):.4f} | "
                        f"{statistics.mean(day.refused for day in days):.4f} | "
                        f"{sum(day.against for day in days)} |",
                        flush=True,
                    )
    return 0


if __name__ == "__main__":
    sys.exit(main())
