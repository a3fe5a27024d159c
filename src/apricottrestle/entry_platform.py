"""Access of the entry to the platform: its log and its instance list.

Periodic tasks read the log and the instance list, post what they read as events
for the step, and append audit rows and demand records to the log. When the
platform doesn't answer, the entry continues with the last state that it read.
"""

import asyncio
import contextlib
import logging
import random
import secrets
import time
from collections.abc import Awaitable, Callable
from typing import Final

from apricottrestle import (
    audit,
    call_keys,
    call_log,
    config_sync,
    demand,
    entry_bindings,
    entry_core,
    entry_events,
    entry_tables,
    errors,
    platform_instances,
    platform_log,
)

INSTANCES_POLL_INTERVAL_S: Final = 4.0
DRAINS_POLL_INTERVAL_S: Final = 2.0
"""Longer than the interval for release notes, since agents announce their drain
themselves, the instance list lags anyway, and each read costs the entry about
1.5 ms."""

REGISTER_INTERVAL_S: Final = 30.0
DRAIN_MAX_AGE_S: Final = 120.0
"""Older drain records are ignored: the process that they name has stopped, and
one that has its instance id now is a new one."""

_RESOLVE_RETRY_DELAY_S: Final = 0.5
_MAX_RESOLVE_ATTEMPTS: Final = 6
_AUDIT_CHECKS_PER_INTERVAL: Final = 5
"""Checks for a full batch of audit rows in one interval between appends. The
buffer is appended early when a check finds a full batch."""

_RNG: Final = random.Random()
_LOG: Final = logging.getLogger(__name__)


class PlatformLoops:
    """Periodic tasks and commands of an entry that use the platform."""

    def __init__(
        self,
        tables: entry_tables.Tables,
        log: platform_log.LogService,
        instances: platform_instances.InstanceList,
        row: platform_instances.InstanceRow,
        secret: bytes,
        post: Callable[[entry_events.Event], None],
    ) -> None:
        """Stores the clients; `start` starts the tasks.

        Args:
            tables: State of the step. The tasks read it and take the records to
                append from it.
            log: Log service.
            instances: Instance list.
            row: This entry's row of the instance list.
            secret: HMAC secret of issued keys.
            post: Queues an event for the step.
        """
        self._tables = tables
        self._log = log
        self._instances = instances
        self._row = row
        self._bindings = entry_bindings.Bindings(log, secret)
        self._post = post
        self._audit_checks = 0
        # Identifies this process in the demand stream, where the record numbers
        # of a restarted process start again.
        self._incarnation = secrets.token_hex(8)
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self) -> None:
        """Starts the periodic tasks."""
        self._spawn(
            self._run_periodically(
                config_sync.POLL_INTERVAL_S, self._read_release_notes
            )
        )
        self._spawn(self._read_drains())
        for data_centre in self._tables.identity.data_centres:
            self._spawn(self._read_instances(data_centre))
        self._spawn(self._run_periodically(REGISTER_INTERVAL_S, self._register))
        self._spawn(
            self._run_periodically(
                audit.ENTRY_FLUSH_INTERVAL_S / _AUDIT_CHECKS_PER_INTERVAL,
                self._check_audit_buffer,
            )
        )
        self._spawn(self._report_demand())

    async def stop(self) -> None:
        """Cancels all tasks and appends the last audit rows."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._tables.audit.close()
        try:
            await self._append_audit()
        except errors.PlatformError as exc:
            _LOG.warning(
                "audit rows lost: the append at shutdown failed",
                extra={"reason": str(exc)},
            )

    def execute(self, command: entry_core.PlatformCommand) -> None:
        """Starts a task that executes a command of the step."""
        match command:
            case entry_events.ResolveKey():
                self._spawn(self._resolve_key(command))
            case entry_events.FindBinding():
                self._spawn(self._find_binding(command))
            case entry_events.BindKey():
                self._spawn(self._bind_key(command))

    async def register_state(
        self, state: platform_instances.InstanceState
    ) -> None:
        """Sets this entry's state in the instance list; logs a failure."""
        self._row = self._row._replace(state=state)
        try:
            await self._instances.register(self._row)
        except errors.PlatformError as exc:
            _LOG.info("instance list update failed", extra={"reason": str(exc)})

    def _spawn(self, work: Awaitable[None]) -> None:
        task = asyncio.ensure_future(_log_exceptions(work))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _run_periodically(
        self, interval_s: float, work: Callable[[], Awaitable[None]]
    ) -> None:
        while True:
            try:
                await work()
            except errors.PlatformError as exc:
                _LOG.info(
                    "platform request failed; retrying",
                    extra={"reason": str(exc)},
                )
            await asyncio.sleep(interval_s)

    async def _register(self) -> None:
        await self._instances.register(self._row)

    async def _read_release_notes(self) -> None:
        sync = self._tables.sync
        while True:
            result = await self._log.read(
                platform_log.RELEASE_STREAM,
                sync.read_after,
                config_sync.MAX_READ_RECORDS,
            )
            self._post(entry_events.ReleaseNotesRead(result))
            if len(result.records) < config_sync.MAX_READ_RECORDS:
                break
        snapshot = sync.snapshot_due(time.time())
        if snapshot is not None:
            await self._log.append(platform_log.RELEASE_STREAM, *snapshot)

    async def _read_drains(self) -> None:
        after = 0

        async def read() -> None:
            nonlocal after
            result = await self._log.read(
                platform_log.DRAINS_STREAM,
                after,
                config_sync.MAX_READ_RECORDS,
            )
            if not result.records:
                return
            after = result.records[-1].offset
            min_time = time.time() - DRAIN_MAX_AGE_S
            recent = [
                record for record in result.records if record.time >= min_time
            ]
            if recent:
                self._post(entry_events.DrainRecordsRead(recent))

        await self._run_periodically(DRAINS_POLL_INTERVAL_S, read)

    async def _read_instances(self, data_centre: str) -> None:
        version = 0

        async def read() -> None:
            nonlocal version
            changes = await self._instances.read_changes(version, data_centre)
            version = changes.version
            if changes.rows:
                self._post(entry_events.InstancesChanged(changes.rows))

        await self._run_periodically(INSTANCES_POLL_INTERVAL_S, read)

    async def _check_audit_buffer(self) -> None:
        self._audit_checks += 1
        batch_full = len(self._tables.audit) >= audit.ENTRY_FLUSH_ROWS
        if batch_full or self._audit_checks % _AUDIT_CHECKS_PER_INTERVAL == 0:
            await self._append_audit()

    async def _append_audit(self) -> None:
        buffer = self._tables.audit
        while (batch := buffer.take_batch()) is not None:
            await audit.append(self._log, batch)
            buffer.confirm(batch.seq)

    async def _report_demand(self) -> None:
        while True:
            try:
                await self.append_demand(time.monotonic())
            except errors.PlatformError as exc:
                _LOG.info(
                    "demand record not appended; retrying",
                    extra={"reason": str(exc)},
                )
            await asyncio.sleep(
                demand.jittered_s(demand.REPORT_INTERVAL_S, _RNG)
            )

    async def append_demand(self, now: float) -> None:
        """Appends a record of the prompt tokens requested since the last one.

        Args:
            now: Monotonic time in seconds.

        Raises:
            PlatformError: The append failed; the next call repeats the record.
        """
        counter = self._tables.demand
        record = counter.next_record(
            self._row.instance_id, self._incarnation, now
        )
        if record is not None:
            stream = demand.stream_name(self._row.data_centre)
            await self._log.append(stream, *record)
            counter.confirm()

    async def _resolve_key(self, command: entry_events.ResolveKey) -> None:
        result = call_log.KeyOutcome("unknown", 0, "log_unavailable")
        for _ in range(_MAX_RESOLVE_ATTEMPTS):
            try:
                result = await resolve_key(self._log, command.key)
            except (errors.PlatformError, errors.ProtocolError) as exc:
                _LOG.info(
                    "reading the outcome of a key failed",
                    extra={"reason": str(exc)},
                )
            else:
                if result.reason != "no_record":
                    break
            await asyncio.sleep(_RESOLVE_RETRY_DELAY_S)
        self._post(
            entry_events.KeyResolved(
                command.req_id, result.outcome, result.status, result.reason
            )
        )

    async def _find_binding(self, command: entry_events.FindBinding) -> None:
        try:
            issued = await self._bindings.find(command.name)
        except errors.PlatformError:
            event = entry_events.KeyBound(command.req_id, "", True)
        else:
            event = entry_events.KeyBound(command.req_id, issued, False)
        self._post(event)

    async def _bind_key(self, command: entry_events.BindKey) -> None:
        try:
            issued = await self._bindings.bind(command.name, command.issued)
        except errors.PlatformError:
            event = entry_events.KeyBound(command.req_id, "", True)
        else:
            event = entry_events.KeyBound(command.req_id, issued, False)
        self._post(event)


async def _log_exceptions(work: Awaitable[None]) -> None:
    try:
        await work
    except asyncio.CancelledError:
        raise
    except Exception:
        _LOG.exception("platform task failed")


async def resolve_key(
    log: platform_log.LogService, key: call_keys.IssuedKey
) -> call_log.KeyOutcome:
    """Appends a refusal of a key and returns the outcome that the log proves.

    Raises:
        PlatformError: The log does not answer.
        ProtocolError: A record is malformed.
    """
    stream = call_log.stream_name(key.agent_id)
    name = call_log.key_id(key)
    refusal = call_log.CallEntry(call_log.EntryKind.REFUSAL, name)
    # If it is unknown whether the refusal was stored, the read below shows it.
    with contextlib.suppress(errors.AppendUnknownError):
        await log.append(stream, f"refusal/{name}", call_log.encode([refusal]))
    records: list[call_log.CallRecord] = []
    after, first = key.log_position, 0
    while True:
        result = await log.read(stream, after, config_sync.MAX_READ_RECORDS)
        first = max(first, result.first)
        records += [
            call_log.CallRecord(record.offset, record.data)
            for record in result.records
        ]
        # A short page isn't the end: the log may return fewer than the limit.
        if not result.records:
            return call_log.key_outcome(records, key, first)
        after = result.records[-1].offset
