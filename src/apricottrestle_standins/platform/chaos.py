"""Random faults for a simulated fleet, reproducible from a seed."""

import asyncio
import random
from typing import Final, NamedTuple

from apricottrestle_standins.platform import virtual_upstreams, world

KINDS: Final = (
    "kill_gateway",
    "kill_all_gateways",
    "crash_engine",
    "dark_engine",
    "crash_plain",
    "lost_answers",
    "slow_engine",
    "store_refuses_some",
    "store_silent",
    "store_slow",
    "store_forgets",
    "store_restored",
    "entries_lapse",
    "new_config",
    "drain_upstream",
    "cut_gateways",
)


class Fault(NamedTuple):
    """A fault to inject.

    Attributes:
        at_s: Start, in seconds from the start of the traffic.
        kind: One of KINDS.
        duration_s: Duration in seconds.
    """

    at_s: float
    kind: str
    duration_s: float


def generate_faults(
    rng: random.Random, length_s: float, count: int
) -> list[Fault]:
    """Returns random faults in order of their start; they may overlap."""
    faults = [
        Fault(
            rng.uniform(0.5, length_s),
            rng.choice(KINDS),
            rng.uniform(0.5, 6.0),
        )
        for _ in range(count)
    ]
    return sorted(faults)


async def inject(
    fleet: world.World, faults: list[Fault], rng: random.Random
) -> None:
    """Injects faults at their start times and waits until all have ended."""
    loop = asyncio.get_running_loop()
    start = loop.time()
    running = []
    for fault in faults:
        await asyncio.sleep(max(start + fault.at_s - loop.time(), 0))
        method = getattr(_Injector(fleet, fault, rng), fault.kind)
        running.append(asyncio.ensure_future(method()))
    await asyncio.gather(*running)


class _Injector:
    """Injects one fault; each kind of fault is a method of its name."""

    def __init__(
        self, fleet: world.World, fault: Fault, rng: random.Random
    ) -> None:
        self._fleet = fleet
        self._duration_s = fault.duration_s
        self._rng = rng

    async def kill_gateway(self) -> None:
        if self._fleet.gateways:
            address = self._rng.choice(sorted(self._fleet.gateways))
            await self._restart([address])

    async def kill_all_gateways(self) -> None:
        await self._restart(sorted(self._fleet.gateways))

    async def _restart(self, addresses: list[str]) -> None:
        rows = [self._fleet.gateways[address] for address in addresses]
        for address in addresses:
            self._fleet.kill_gateway(address)
        await asyncio.sleep(min(self._duration_s, 1.5))
        for row in rows:
            if row.address not in self._fleet.gateways:
                self._fleet.start_gateway(row.data_centre)

    async def crash_engine(self) -> None:
        await self._crash(self._rng.choice(self._fleet.engines), dark=False)

    async def dark_engine(self) -> None:
        await self._crash(self._rng.choice(self._fleet.engines), dark=True)

    async def crash_plain(self) -> None:
        await self._crash(self._rng.choice(self._fleet.plain), dark=False)

    async def _crash(
        self, upstream: virtual_upstreams.Upstream, *, dark: bool
    ) -> None:
        """Crashes an upstream and restarts it.

        If it is down for longer than 3.6 s, its list entry expires.
        """
        if upstream.state != "up":
            return
        upstream.crash(dark=dark)
        await asyncio.sleep(self._duration_s)
        if self._duration_s > 3.6:
            self._fleet.log.append_upstream_change(upstream.upstream_id, None)
        upstream.restart()
        if upstream.draining_since is None:
            self._fleet.log.append_upstream_change(
                upstream.upstream_id, self._fleet.list_entry(upstream)
            )

    async def lost_answers(self) -> None:
        for upstream in self._fleet.plain:
            upstream.answer_loss_rate = 0.3
        await asyncio.sleep(self._duration_s)
        for upstream in self._fleet.plain:
            upstream.answer_loss_rate = 0.0

    async def slow_engine(self) -> None:
        engine = self._rng.choice(self._fleet.engines)
        engine.passes.slowdown = 5.0
        await asyncio.sleep(self._duration_s)
        engine.passes.slowdown = 1.0

    async def store_refuses_some(self) -> None:
        rows = sorted(self._fleet.gateways)
        await self._set_store_fault(rows[: max(len(rows) // 3, 1)], "refuse")

    async def store_silent(self) -> None:
        await self._set_store_fault(sorted(self._fleet.gateways), "silent")

    async def store_slow(self) -> None:
        await self._set_store_fault(sorted(self._fleet.gateways), "slow")

    async def _set_store_fault(self, addresses: list[str], fault: str) -> None:
        views = [
            self._fleet.gateways[address].store
            for address in addresses
            if address in self._fleet.gateways
        ]
        for view in views:
            view.fault = fault
        await asyncio.sleep(self._duration_s)
        for view in views:
            view.fault = ""

    async def store_forgets(self) -> None:
        self._fleet.log.compact()

    async def store_restored(self) -> None:
        """The store loses seconds; what is lost is written again, unordered."""
        if self._fleet.log.down:
            return
        lost = await self._fleet.restore_store(
            self._rng.uniform(0.5, 8.0), self._duration_s / 3
        )
        if lost.configs:
            self._fleet.log.publish(self._fleet.config)
        upstream_ids = sorted({record[0] for record in lost.list_records})
        self._rng.shuffle(upstream_ids)
        for upstream_id in upstream_ids:
            await asyncio.sleep(self._rng.uniform(0.0, 0.2))
            upstream = next(
                listed
                for listed in self._fleet.by_address.values()
                if listed.upstream_id == upstream_id
            )
            self._fleet.log.append_upstream_change(
                upstream_id,
                self._fleet.list_entry(
                    upstream, draining=upstream.draining_since is not None
                ),
            )

    async def entries_lapse(self) -> None:
        """Entries expire during a store outage and return after it."""
        outage = asyncio.ensure_future(
            self._set_store_fault(sorted(self._fleet.gateways), "refuse")
        )
        await asyncio.sleep(self._duration_s / 2)
        expiring = [
            upstream
            for upstream in self._fleet.by_address.values()
            if upstream.draining_since is None and upstream.state == "up"
        ]
        for upstream in expiring:
            self._fleet.log.append_upstream_change(upstream.upstream_id, None)
        await outage
        await asyncio.sleep(1.0)
        for upstream in expiring:
            if upstream.draining_since is None:
                self._fleet.log.append_upstream_change(
                    upstream.upstream_id, self._fleet.list_entry(upstream)
                )

    async def new_config(self) -> None:
        self._fleet.publish_next()

    async def drain_upstream(self) -> None:
        """Drains an upstream, removes it, and adds it again as a new process.

        Does nothing if it would leave no upstream, or during a store fault.
        """
        ready = [
            upstream
            for upstream in self._fleet.by_address.values()
            if upstream.draining_since is None and upstream.state == "up"
        ]
        if len(ready) < 2 or self._has_store_fault():
            return
        upstream = self._rng.choice(ready)
        upstream.draining_since = asyncio.get_running_loop().time()
        self._fleet.log.append_upstream_change(
            upstream.upstream_id,
            self._fleet.list_entry(upstream, draining=True),
        )
        await asyncio.sleep(2.0 + self._duration_s)
        self._fleet.log.append_upstream_change(upstream.upstream_id, None)
        upstream.draining_since = None
        upstream.started_at_ms += 1
        self._fleet.log.append_upstream_change(
            upstream.upstream_id, self._fleet.list_entry(upstream)
        )

    def _has_store_fault(self) -> bool:
        return self._fleet.log.down or any(
            row.store.fault for row in self._fleet.gateways.values()
        )

    async def cut_gateways(self) -> None:
        """Partitions two gateways from each other."""
        addresses = sorted(self._fleet.gateways)
        if len(addresses) < 2:
            return
        pair = frozenset(self._rng.sample(addresses, 2))
        self._fleet.partitioned.add(pair)
        await asyncio.sleep(self._duration_s)
        self._fleet.partitioned.discard(pair)
