"""The platform's store in virtual time, with faults."""

import asyncio
from typing import Final

from apricottrestle import errors
from apricottrestle.gateway import (
    crash_evidence,
    fleet_config,
    store,
    upstream_list,
)

RESPONSE_TIME_S: Final = 0.004
SILENCE_TIMEOUT_S: Final = 2.5


class SharedLog:
    """The records of the store, which all clients share.

    Attributes:
        configs: Versions of the configuration, in order.
        list_records: Changes of the upstream list, in order.
        first: Offset of the first retained list record.
        gateways: Entries of the gateways by instance id.
        crashes: Saved crashes of engines by their ids.
        calls: Number of calls, failed ones included.
    """

    def __init__(self) -> None:
        """Creates an empty store."""
        self.configs: list[fleet_config.FleetConfig] = []
        self.list_records: list[
            tuple[str, upstream_list.UpstreamEntry | None]
        ] = []
        self.first = 0
        self.gateways: dict[str, store.GatewayEntry] = {}
        self.crashes: dict[str, crash_evidence.CrashReport] = {}
        self.calls = 0
        self._changed = asyncio.Event()

    def publish(self, config: fleet_config.FleetConfig) -> None:
        """Appends a version of the configuration."""
        self.configs.append(config)
        self._changed.set()
        self._changed = asyncio.Event()

    def append_upstream_change(
        self, upstream_id: str, entry: upstream_list.UpstreamEntry | None
    ) -> None:
        """Appends a new entry of an upstream, or its removal."""
        self.list_records.append((upstream_id, entry))

    def compact(self) -> None:
        """Removes the history; the newest record of each key stays."""
        self.first = len(self.list_records)

    async def wait_for_config_change(self, wait_s: float) -> None:
        """Waits for a new configuration, for at most `wait_s`."""
        try:
            async with asyncio.timeout(wait_s):
                await self._changed.wait()
        except TimeoutError:
            return


class VirtualStore(store.FleetStore):
    """A gateway's client of the store.

    Attributes:
        fault: "refuse" (calls fail), "silent" (calls fail after a timeout),
            "slow", or "".
        slow_s: Response time with the fault "slow".
    """

    def __init__(self, log: SharedLog) -> None:
        """Creates a client without a fault."""
        self._log = log
        self.fault = ""
        self.slow_s = 0.3

    async def read_config(self) -> store.ConfigRead:
        """See FleetStore.read_config."""
        await self._simulate_response()
        configs = self._log.configs
        return store.ConfigRead(configs[-1] if configs else None, len(configs))

    async def wait_for_config(
        self, position: int, wait_s: float
    ) -> store.ConfigRead:
        """See FleetStore.wait_for_config."""
        await self._simulate_response()
        if position >= len(self._log.configs):
            await self._log.wait_for_config_change(wait_s)
        if self.fault:
            await self._simulate_response()
        configs = self._log.configs
        newest = configs[-1] if len(configs) > position else None
        return store.ConfigRead(newest, len(configs))

    async def read_upstreams(self) -> store.UpstreamsRead:
        """See FleetStore.read_upstreams."""
        await self._simulate_response()
        newest = dict(self._log.list_records)
        listed: list[tuple[str, upstream_list.UpstreamEntry | None]] = [
            (upstream_id, entry)
            for upstream_id, entry in newest.items()
            if entry is not None
        ]
        return store.UpstreamsRead(listed, len(self._log.list_records))

    async def read_upstream_changes(self, position: int) -> store.UpstreamsRead:
        """See FleetStore.read_upstream_changes."""
        await self._simulate_response()
        if position < self._log.first:
            raise store.HistoryLostError("410", step="read", peer="store")
        records = self._log.list_records[position:]
        return store.UpstreamsRead(records, position + len(records))

    async def announce(self, row: store.GatewayEntry) -> None:
        """See FleetStore.announce."""
        await self._simulate_response()
        self._log.gateways[row.instance_id] = row

    async def read_gateways(self) -> list[store.GatewayEntry]:
        """See FleetStore.read_gateways."""
        await self._simulate_response()
        return list(self._log.gateways.values())

    async def read_crashes(self) -> list[crash_evidence.CrashReport]:
        """See FleetStore.read_crashes."""
        await self._simulate_response()
        return list(self._log.crashes.values())

    async def save_crash(self, report: crash_evidence.CrashReport) -> None:
        """See FleetStore.save_crash."""
        await self._simulate_response()
        self._log.crashes[report.crash_id] = report

    async def delete_crash(self, crash_id: str) -> None:
        """See FleetStore.delete_crash."""
        await self._simulate_response()
        self._log.crashes.pop(crash_id, None)

    def close(self) -> None:
        """See FleetStore.close."""

    async def _simulate_response(self) -> None:
        self._log.calls += 1
        if self.fault == "silent":
            await asyncio.sleep(SILENCE_TIMEOUT_S)
        await asyncio.sleep(
            self.slow_s if self.fault == "slow" else RESPONSE_TIME_S
        )
        if self.fault in ("refuse", "silent"):
            raise errors.PlatformError("no response", step="read", peer="store")
