"""Measures what callers on kept connections get from one gateway process.

`--pause` lets them come back at about the idle time: of the requests that the
gateway had time to read, none may end without an answer, also beside changes of
the configuration. Without it they come back at once, and the rate and the times
of small requests are measured.
"""

import argparse
import asyncio
import pathlib
import random
import signal
import statistics
import tempfile
from typing import Final, NamedTuple

from apricottrestle_standins.platform import soak, soak_callers

WARM_UP_S: Final = 1.0


class Options(NamedTuple):
    """What a run does.

    Attributes:
        callers: Number of callers, each with a connection of its own.
        length_s: Duration in seconds.
        idle_s: Idle time of the configuration.
        pause: Whether callers come back at the idle time, not at once.
        config_s: Interval of the configurations; 0 for none.
        spare_routes: Routes that nobody uses.
        spare_teams: Teams without callers.
        disturb: Whether each configuration comes with a reload, and changes the
            idle time to twice as long and back.
    """

    callers: int
    length_s: float
    idle_s: float
    pause: bool
    config_s: float
    spare_routes: int
    spare_teams: int
    disturb: bool = False


class Result(NamedTuple):
    """What the callers got.

    Attributes:
        statuses: Number of answers by status.
        dropped: Log lines of each request whose connection ended without an
            answer and without a reset: the gateway had read it.
        crossed: Requests whose connection was reset: it was closed before the
            gateway had read them.
        seconds: Times until the answers, in seconds.
        length_s: Duration of the measurement.
    """

    statuses: dict[int, int]
    dropped: dict[str, list[str]]
    crossed: int
    seconds: list[float]
    length_s: float


class _Caller:
    """Sends requests on a kept connection, one at a time."""

    def __init__(self, address: str, name: str, options: Options) -> None:
        self._address = address
        self._name = name
        self._options = options
        self._rng = random.Random(name)
        self.statuses: dict[int, int] = {}
        self.dropped: list[str] = []
        self.crossed = 0
        self.seconds: list[float] = []

    async def run(self, warm_until: float, end_s: float) -> None:
        loop = asyncio.get_running_loop()
        number = 0
        streams = None
        while loop.time() < end_s:
            number += 1
            if streams is None:
                host, _, port = self._address.rpartition(":")
                streams = await asyncio.open_connection(host, int(port))
            elif self._options.pause:
                await asyncio.sleep(
                    self._options.idle_s
                    + self._rng.uniform(*soak_callers.RETURNS_S)
                )
            if soak_callers.has_ended(streams[1]):
                streams[1].close()
                streams = None
                continue
            sent_at = loop.time()
            status = await self._call(*streams, number)
            took_s = loop.time() - sent_at
            if sent_at >= warm_until:
                self._count(status, took_s, f"{self._name}-{number}")
            if status != 200:
                streams[1].close()
                streams = None
                await asyncio.sleep(0.05)
        if streams is not None:
            streams[1].close()

    async def _call(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        number: int,
    ) -> int | str:
        """Returns the status, or how the connection ended without one."""
        try:
            writer.write(
                f"GET /lookup/1 HTTP/1.1\r\nHost: fleet.example\r\n"
                f"Apricottrestle-Attempt-Id: {self._name}-{number}\r\n"
                "Authorization: Bearer key-1\r\n\r\n".encode()
            )
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            length = head.lower().partition("content-length: ")[2]
            await reader.readexactly(int(length.split("\r\n")[0]))
        except asyncio.IncompleteReadError:
            return "reset" if soak_callers.has_error(writer) else "ended"
        except OSError:
            return "reset"
        return int(head.split(" ")[1])

    def _count(self, status: int | str, took_s: float, req_id: str) -> None:
        if isinstance(status, int):
            self.statuses[status] = self.statuses.get(status, 0) + 1
            if status == 200:
                self.seconds.append(took_s)
            return
        if status == "ended":
            self.dropped.append(req_id)
        else:
            self.crossed += 1


async def measure(options: Options) -> Result:
    """Runs one gateway's callers, and returns what they got."""
    loop = asyncio.get_running_loop()
    with tempfile.TemporaryDirectory() as directory:
        fleet = soak.Fleet(pathlib.Path(directory), random.Random(0))
        fleet.idle_timeout_s = options.idle_s
        fleet.spare_routes = options.spare_routes
        fleet.spare_teams = options.spare_teams
        for upstream in fleet.upstreams:
            upstream.service_time_s = 0.0
        async with fleet.running():
            warm_until = loop.time() + WARM_UP_S
            end_s = warm_until + options.length_s
            callers = [
                _Caller(fleet.gateways[0].caller_address, f"c{number}", options)
                for number in range(options.callers)
            ]
            running = asyncio.gather(
                *(caller.run(warm_until, end_s) for caller in callers)
            )
            while options.config_s and loop.time() < end_s:
                if options.disturb:
                    fleet.idle_timeout_s = (
                        3 * options.idle_s - fleet.idle_timeout_s
                    )
                    fleet.gateways[0].signal(signal.SIGHUP)
                fleet.publish()
                await asyncio.sleep(options.config_s)
            await running
        lines = fleet.gateways[0].log.read_text().splitlines()
    statuses: dict[int, int] = {}
    for caller in callers:
        for status, count in caller.statuses.items():
            statuses[status] = statuses.get(status, 0) + count
    return Result(
        statuses,
        {
            req_id: [line for line in lines if f'"{req_id}"' in line]
            for caller in callers
            for req_id in caller.dropped
        },
        sum(caller.crossed for caller in callers),
        [each for caller in callers for each in caller.seconds],
        options.length_s,
    )


def main() -> int:
    """Prints the result of one run; returns 1 if a request was dropped."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--callers", type=int, default=200)
    parser.add_argument("--seconds", type=float, default=12.0)
    parser.add_argument("--idle", type=float, default=0.4)
    parser.add_argument("--pause", action="store_true")
    parser.add_argument("--config-every", type=float, default=0.0)
    parser.add_argument("--routes", type=int, default=0)
    parser.add_argument("--teams", type=int, default=0)
    parser.add_argument("--disturb", action="store_true")
    args = parser.parse_args()
    result = asyncio.run(
        measure(
            Options(
                args.callers,
                args.seconds,
                args.idle,
                args.pause,
                args.config_every,
                args.routes,
                args.teams,
                args.disturb,
            )
        )
    )
    print(
        f"answers {result.statuses}, dropped {len(result.dropped)},"
        f" crossed {result.crossed}"
    )
    for req_id, lines in result.dropped.items():
        print(req_id, *lines, sep="\n  ")
    if result.seconds:
        p99 = statistics.quantiles(result.seconds, n=100)[-1]
        print(
            f"{len(result.seconds) / result.length_s:.1f} requests/s,"
            f" median {statistics.median(result.seconds) * 1000:.2f} ms,"
            f" p99 {p99 * 1000:.2f} ms"
        )
    return 1 if result.dropped else 0


if __name__ == "__main__":
    raise SystemExit(main())
