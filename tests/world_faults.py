"""Faults of simulated gateways that several tests inject beside their own.

Each function returns a coroutine for `World.run_workload`; times count from the
start of the traffic.
"""

import asyncio
import random

from apricottrestle_standins.platform import world


async def restart_each(
    fleet: world.World, start_s: float, pause_s: float
) -> None:
    """Kills each gateway once, one after the other."""
    await asyncio.sleep(start_s)
    for number in range(len(fleet.gateways)):
        fleet.kill_gateway(f"gateway-{number}")
        await asyncio.sleep(0.5)
        fleet.start_gateway(number)
        await asyncio.sleep(pause_s)


async def restart_all(
    fleet: world.World, start_s: float, down_s: float
) -> None:
    """Kills all gateways at once."""
    await asyncio.sleep(start_s)
    rows = list(fleet.gateways.values())
    for row in rows:
        fleet.kill_gateway(row.address)
    await asyncio.sleep(down_s)
    for row in rows:
        fleet.start_gateway(row.data_centre)


async def cut_one_off(
    fleet: world.World, start_s: float, duration_s: int
) -> None:
    """Partitions a gateway from the others."""
    address, *others = sorted(fleet.gateways)
    await asyncio.sleep(start_s)
    pairs = {frozenset((address, other)) for other in others}
    fleet.partitioned |= pairs
    for _ in range(duration_s):
        fleet.disturb(address)
        await asyncio.sleep(1.0)
    fleet.partitioned -= pairs
    fleet.disturb(address)


async def lose_and_repeat_frames(fleet: world.World) -> None:
    """Loses a third of the frames between gateways and repeats a third."""
    rng = random.Random(5)

    def delays_s() -> tuple[float, ...]:
        copies = rng.choice((0, 1, 2))
        return tuple(rng.uniform(0.001, 0.05) for _ in range(copies))

    fleet.frame_delays_s = delays_s
