"""The platform's store in virtual time, with faults.

Its history can be cut: the store then comes back from a copy some seconds old,
and gives the offsets of the lost records to new ones.
"""

import asyncio
from typing import Any, Final, NamedTuple

from apricottrestle import errors
from apricottrestle.gateway import (
    crash_evidence,
    evacuations,
    fleet_config,
    store,
    upstream_list,
)

RESPONSE_TIME_S: Final = 0.004
SILENCE_TIMEOUT_S: Final = 2.5


ListRecord = tuple[str, upstream_list.UpstreamEntry | None]

Evacuation = tuple[str, bool]
"""A data centre, and whether its evacuation begins or ends."""


class Lost(NamedTuple):
    """What others than gateways wrote and a return from a copy lost.

    Attributes:
        configs: Versions of the configuration, in order.
        list_records: Changes of the upstream list, in order.
        evacuations: Beginnings and ends of evacuations, in order.
    """

    configs: list[fleet_config.FleetConfig]
    list_records: list[ListRecord]
    evacuations: list[Evacuation]


class SharedLog:
    """The records of the store, which all clients share.

    Attributes:
        operator_records: Versions of the configuration and evacuations, in
            order.
        list_records: Changes of the upstream list, in order.
        first: Offset of the first retained list record.
        gateways: Entries of the gateways by instance id.
        crashes: Saved crashes of engines by their ids.
        calls: Number of calls, failed ones included.
        history: Number of the history; grows when records are lost.
        down: Whether all calls fail.
    """

    def __init__(self) -> None:
        """Creates an empty store."""
        self.down = False
        self.operator_records: list[fleet_config.FleetConfig | Evacuation] = []
        self.list_records: list[ListRecord] = []
        self.first = 0
        self.gateways: dict[str, store.GatewayEntry] = {}
        self.crashes: dict[str, crash_evidence.CrashReport] = {}
        self.calls = 0
        self.history = 1
        self._operator_times: list[float] = []
        self._list_times: list[float] = []
        # Time, table, key and value of what gateways wrote; None deletes.
        self._own_writes: list[tuple[float, dict[str, Any], str, Any]] = []
        self._changed = asyncio.Event()

    @property
    def configs(self) -> list[fleet_config.FleetConfig]:
        """Versions of the configuration, in order."""
        return _configs_in(self.operator_records)

    def publish(self, config: fleet_config.FleetConfig) -> None:
        """Appends a version of the configuration."""
        self._append_operator_record(config)

    def write_evacuation(self, data_centre: str, evacuated: bool) -> None:
        """Writes the record of an evacuation, or deletes it."""
        self._append_operator_record((data_centre, evacuated))

    def _append_operator_record(
        self, record: fleet_config.FleetConfig | Evacuation
    ) -> None:
        self.operator_records.append(record)
        self._operator_times.append(_now())
        self._notify()

    def append_upstream_change(
        self, upstream_id: str, entry: upstream_list.UpstreamEntry | None
    ) -> None:
        """Appends a new entry of an upstream, or its removal."""
        self.list_records.append((upstream_id, entry))
        self._list_times.append(_now())

    def write_own(self, table: dict[str, Any], key: str, value: Any) -> None:
        """Stores a value that a gateway writes; None deletes the key."""
        self._own_writes.append((_now(), table, key, value))
        self._apply_own(table, key, value)

    def restore(self, lost_s: float) -> Lost:
        """Comes back from a copy that is `lost_s` older, in a new history."""
        copied_at = _now() - lost_s
        self.history += 1
        written = _cut(self.operator_records, self._operator_times, copied_at)
        records = _cut(self.list_records, self._list_times, copied_at)
        self._own_writes = [
            write for write in self._own_writes if write[0] <= copied_at
        ]
        self.gateways.clear()
        self.crashes.clear()
        for _, table, key, value in self._own_writes:
            self._apply_own(table, key, value)
        self.first = min(self.first, len(self.list_records))
        self._notify()
        return Lost(_configs_in(written), records, _evacuations_in(written))

    def _apply_own(self, table: dict[str, Any], key: str, value: Any) -> None:
        if value is None:
            table.pop(key, None)
        else:
            table[key] = value

    def _notify(self) -> None:
        """Wakes up the long polls."""
        self._changed.set()
        self._changed = asyncio.Event()

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


def _now() -> float:
    return asyncio.get_running_loop().time()


def _configs_in(
    records: list[fleet_config.FleetConfig | Evacuation],
) -> list[fleet_config.FleetConfig]:
    return [
        record
        for record in records
        if isinstance(record, fleet_config.FleetConfig)
    ]


def _evacuations_in(
    records: list[fleet_config.FleetConfig | Evacuation],
) -> list[Evacuation]:
    return [
        record
        for record in records
        if not isinstance(record, fleet_config.FleetConfig)
    ]


def _cut(records: list[Any], times: list[float], copied_at: float) -> list[Any]:
    """Removes the records after a time, and returns them."""
    kept = sum(written_at <= copied_at for written_at in times)
    lost = records[kept:]
    del records[kept:], times[kept:]
    return lost


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
        listed: dict[str, evacuations.Record] = {}
        read = self._read_operator_records(0)
        for record in read.evacuation_records:
            listed.pop(record.data_centre, None)
            if record.evacuated:
                listed[record.data_centre] = record
        return read._replace(evacuation_records=tuple(listed.values()))

    async def wait_for_config(
        self, position: store.Position, wait_s: float
    ) -> store.ConfigRead:
        """See FleetStore.wait_for_config."""
        await self._simulate_response()
        history = self._log.history
        self._check_position(position, 0, len(self._log.operator_records))
        if position.offset >= len(self._log.operator_records):
            await self._log.wait_for_config_change(wait_s)
        if self._log.history != history:
            raise errors.PlatformError("reset", step="read", peer="store")
        if self.fault or self._log.down:
            await self._simulate_response()
        return self._read_operator_records(position.offset)

    def _read_operator_records(self, offset: int) -> store.ConfigRead:
        """Returns what the operator has written from an offset on."""
        newest = None
        evacuated = []
        records = self._log.operator_records
        for number in range(offset, len(records)):
            record = records[number]
            if isinstance(record, fleet_config.FleetConfig):
                newest = record._replace(
                    history=self._log.history, offset=number
                )
                continue
            evacuated.append(
                evacuations.Record(
                    record[0],
                    evacuations.Stamp(self._log.history, number),
                    record[1],
                )
            )
        return store.ConfigRead(
            newest, self._position(len(records)), tuple(evacuated)
        )

    async def read_upstreams(self) -> store.UpstreamsRead:
        """See FleetStore.read_upstreams."""
        await self._simulate_response()
        newest = dict(self._log.list_records)
        listed: list[tuple[str, upstream_list.UpstreamEntry | None]] = [
            (upstream_id, entry)
            for upstream_id, entry in newest.items()
            if entry is not None
        ]
        return store.UpstreamsRead(
            listed, self._position(len(self._log.list_records))
        )

    async def read_upstream_changes(
        self, position: store.Position
    ) -> store.UpstreamsRead:
        """See FleetStore.read_upstream_changes."""
        await self._simulate_response()
        self._check_position(
            position, self._log.first, len(self._log.list_records)
        )
        records = self._log.list_records[position.offset :]
        return store.UpstreamsRead(
            records, self._position(len(self._log.list_records))
        )

    async def announce(self, entry: store.GatewayEntry) -> int:
        """See FleetStore.announce."""
        await self._simulate_response()
        self._log.write_own(self._log.gateways, entry.instance_id, entry)
        return self._log.history

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
        self._log.write_own(self._log.crashes, report.crash_id, report)

    async def delete_crash(self, crash_id: str) -> None:
        """See FleetStore.delete_crash."""
        await self._simulate_response()
        self._log.write_own(self._log.crashes, crash_id, None)

    def close(self) -> None:
        """See FleetStore.close."""

    def _position(self, offset: int) -> store.Position:
        return store.Position(self._log.history, offset)

    def _check_position(
        self, position: store.Position, first: int, end: int
    ) -> None:
        """Fails a read from a position that the store doesn't have."""
        if (
            position.history != self._log.history
            or not first <= position.offset <= end
        ):
            raise store.HistoryLostError("410", step="read", peer="store")

    async def _simulate_response(self) -> None:
        self._log.calls += 1
        if self.fault == "silent":
            await asyncio.sleep(SILENCE_TIMEOUT_S)
        await asyncio.sleep(
            self.slow_s if self.fault == "slow" else RESPONSE_TIME_S
        )
        if self.fault in ("refuse", "silent") or self._log.down:
            raise errors.PlatformError("no response", step="read", peer="store")
