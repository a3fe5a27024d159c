"""Measures how long a gateway process takes from its start until it is ready.

Starts the real program against the stand-ins of the platform, kills it and
starts it again. Prints the time and the processor time of each start, which
includes the interpreter, the imports and the first calls to the store.
"""

import argparse
import asyncio
import os
import pathlib
import random
import signal
import statistics
import sys
import tempfile
import time
from typing import Final, NamedTuple

from apricottrestle_standins.platform import soak, soak_callers

POLL_INTERVAL_S: Final = 0.002
START_TIMEOUT_S: Final = 20.0


class Start(NamedTuple):
    """The costs of one start.

    Attributes:
        ready_s: Time until the readiness check succeeded.
        processor_s: Processor time of the process until then.
    """

    ready_s: float
    processor_s: float


def _processor_s(pid: int) -> float:
    """Returns the processor time that a process has used."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2]
    user, system = fields.split()[11:13]
    return (int(user) + int(system)) / os.sysconf("SC_CLK_TCK")


async def measure(count: int) -> list[Start]:
    """Starts a gateway `count` times beside two others that keep running."""
    starts = []
    with tempfile.TemporaryDirectory() as directory:
        fleet = soak.Fleet(pathlib.Path(directory), random.Random(0))
        async with fleet.running():
            row = fleet.gateways[0]
            for _ in range(count):
                row.signal(signal.SIGKILL)
                await row.wait_exit(START_TIMEOUT_S)
                began_at = time.monotonic()
                row.start()
                async with asyncio.timeout(START_TIMEOUT_S):
                    while not await soak_callers.is_ready(row.ready_address):
                        await asyncio.sleep(POLL_INTERVAL_S)
                assert row.popen is not None
                starts.append(
                    Start(
                        time.monotonic() - began_at,
                        _processor_s(row.popen.pid),
                    )
                )
    return starts


def main() -> int:
    """Prints the costs of the starts."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--starts", type=int, default=10)
    starts = asyncio.run(measure(parser.parse_args().starts))
    for name, values in (
        ("ready", [start.ready_s for start in starts]),
        ("processor", [start.processor_s for start in starts]),
    ):
        print(
            f"{name}: median {statistics.median(values):.3f} s, "
            f"longest {max(values):.3f} s, {len(values)} starts"
        )
    return 0


if __name__ == "__main__":
    sys.exit(main())
