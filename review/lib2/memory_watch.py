"""What the platform does about memory: it ends processes that exceed it."""

import asyncio
from collections.abc import Sequence

import standins

CHECK_S = 0.05

MIN_MACHINES = 2
MIN_ENDS = 3
"""On a tenth of the machines, two at least, processes end three times."""


class MemoryWatch:
    """The watch over the memory of a gateway.

    Attributes:
        gateway: The gateway.
        ends: How often its process has exceeded the memory.
        peak_bytes: The most memory that it has had.
    """

    def __init__(
        self,
        gateway: standins.Gateway,
        seeds: list[str],
        record: standins.Record,
        collector_bytes_per_s: float = 0.0,
    ) -> None:
        """Prepares the watch; see Gateway.start for the last argument."""
        self.gateway = gateway
        self.ends = 0
        self.peak_bytes = 0
        self._seeds = seeds
        self._record = record
        self._collector_bytes_per_s = collector_bytes_per_s

    async def start(self) -> None:
        """Starts the process."""
        await self.gateway.start(self._seeds, self._collector_bytes_per_s)

    async def run(self) -> None:
        """Kills the process when it exceeds the memory, and starts it again."""
        limit = self.gateway.MEMORY_MB * 1024 * 1024
        while True:
            await asyncio.sleep(CHECK_S)
            resident = self.gateway.resident_bytes
            self.peak_bytes = max(self.peak_bytes, resident)
            if resident <= limit:
                continue
            self.ends += 1
            self._record.write(
                f"{self.gateway.name} has {resident / 1e6:.0f} MB:",
                f"ended for the {self.ends}. time",
            )
            await self.gateway.kill()
            await self.gateway.launch(self._seeds, self._collector_bytes_per_s)


def is_fault(watches: Sequence[MemoryWatch]) -> bool:
    """Returns whether processes have ended often enough to break Fault."""
    ended = sum(watch.ends >= MIN_ENDS for watch in watches)
    return ended >= MIN_MACHINES


async def run_until_fault(
    watches: Sequence[MemoryWatch],
    tasks: Sequence[asyncio.Task[None]],
    limit_s: float,
) -> None:
    """Waits until Fault is broken, or for a time.

    Args:
        watches: The watches over all machines.
        tasks: What else runs meanwhile; none of it may fail.
        limit_s: The time in seconds.
    """
    until = standins.now() + limit_s
    while standins.now() < until and not is_fault(watches):
        await asyncio.sleep(CHECK_S)
        for task in tasks:
            if task.done():
                task.result()
