"""Platform clients of an agent: configuration, call log, permits and audit.

Invariant: a confirmation of the configuration is emitted only after a read of
the release stream that began after the confirmation was requested.
"""

import asyncio
import contextlib
import logging
import random
import time
from collections.abc import Callable, Coroutine
from types import TracebackType
from typing import Any, Final, Self

from apricottrestle import (
    agent_events,
    audit,
    call_log,
    config_state,
    config_sync,
    demand,
    errors,
    logs,
    messages,
    metrics,
    placement,
    platform_instances,
    platform_log,
    platform_weights,
    settings,
)

INSTANCES_POLL_INTERVAL_S: Final = 5.0
REGISTER_RETRY_S: Final = 2.0
WEIGHTS_RETRY_S: Final = 2.0
SHUTDOWN_TIMEOUT_S: Final = 3.0
_AUDIT_RETRY_S: Final = 5.0
_DEMAND_PAGE_RECORDS: Final = 250
"""Folding a page of this size blocks the event loop for about 10 ms."""

_LOG: Final = logging.getLogger(__name__)

EventSink = Callable[[agent_events.Event], None]


class AgentPlatform:
    """Platform clients of one agent. A context manager that owns them."""

    def __init__(
        self, cfg: settings.AgentSettings, incarnation: str, emit: EventSink
    ) -> None:
        """Creates the clients; nothing is opened yet.

        Args:
            cfg: Settings of the agent.
            incarnation: Incarnation of this process.
            emit: Called with each event.
        """
        self._cfg = cfg
        self._incarnation = incarnation
        self._emit = emit
        self._sync = config_sync.ConfigSync(cfg.platform.log_retention_s)
        self._audit = audit.AuditBuffer(
            cfg.instance_id, "agent", incarnation, cfg.audit_rows
        )
        self._log = platform_log.HttpLogService(cfg.platform.log)
        self._weights = platform_weights.HttpWeightStore(cfg.platform.weights)
        self._instances = platform_instances.HttpInstanceList(
            cfg.platform.instances
        )
        self._tasks: set[asyncio.Task[None]] = set()
        self._engines: set[str] = set()
        self._list_version = 0
        self._demand = demand.DemandFold()
        self._demand_read_attempted = False
        self._rng = random.Random()
        self._assignment_inputs: object = None
        self._state: platform_instances.InstanceState = "live"
        self._registered_state: platform_instances.InstanceState | None = None
        self._state_changed = asyncio.Event()

    def __enter__(self) -> Self:
        """Opens nothing, since the clients connect at first use."""
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Cancels all tasks and closes the clients."""
        for task in self._tasks:
            task.cancel()
        self._log.close()
        self._weights.close()
        self._instances.close()

    async def run(self) -> None:
        """Registers the agent, follows the platform and appends audit rows.

        Runs until cancelled; raises only on an unexpected error.
        """
        async with asyncio.TaskGroup() as group:
            group.create_task(self._follow_instances())
            group.create_task(self._append_audit_rows())
            if self._cfg.upstream.kind == "engine":
                group.create_task(self._follow_demand())

    def mark_leaving(self) -> None:
        """Registers the agent as leaving in the instance list."""
        self._state = "leaving"
        self._state_changed.set()

    async def shut_down(self) -> None:
        """Appends the last audit rows and registers the agent as gone."""
        self._audit.close()
        try:
            async with asyncio.timeout(SHUTDOWN_TIMEOUT_S):
                await self._flush_audit_rows()
                await self._instances.register(self._instance_row("gone"))
        except (TimeoutError, errors.PlatformError) as exc:
            _LOG.warning("last audit rows or deregistration failed: %s", exc)

    def config_update_after(self, after: int) -> messages.ConfigUpdate:
        """Returns the update for a peer whose revision is `after`."""
        return self._sync.make_update(messages.ConfigRequest(after))

    def add_audit_row(
        self, row: agent_events.WriteAuditRow, wall_offset_s: float
    ) -> None:
        """Adds an audit row.

        Args:
            row: Row with monotonic times.
            wall_offset_s: Unix time minus monotonic time, in seconds.
        """
        self._audit.add(
            audit.AuditRow(
                row.req_id,
                row.attempt,
                row.team,
                messages.PRIORITIES[row.priority],
                row.upstream,
                row.version,
                row.config_rev,
                row.peer,
                row.start + wall_offset_s,
                row.end + wall_offset_s,
                row.outcome,
                row.tokens,
            )
        )

    def execute(self, cmd: agent_events.Command) -> bool:
        """Starts a command; returns False if it isn't for the platform."""
        match cmd:
            case agent_events.ReadReleaseStream():
                self._start_task(self._catch_up(cmd.pause))
            case agent_events.FoldConfig():
                self._fold_update(cmd)
            case agent_events.AppendCalls():
                self._start_task(self._append_calls(cmd))
            case agent_events.ReadCalls():
                self._start_task(self._read_calls(cmd))
            case agent_events.RequestPermit():
                self._start_task(self._request_permit(cmd))
            case _:
                return False
        return True

    def _start_task(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _catch_up(self, pause: int) -> None:
        try:
            await config_sync.catch_up(self._log, self._sync)
        except errors.PlatformError as exc:
            _LOG.info("release stream could not be read: %s", exc)
            return
        complete = self._sync.ready and not self._sync.has_gap
        self._publish_config(pause if complete else 0)

    def _fold_update(self, cmd: agent_events.FoldConfig) -> None:
        self._sync.apply_update(cmd.update)
        complete = self._sync.revision >= cmd.peer_revision
        self._publish_config(cmd.confirmed_pause if complete else 0)

    def _publish_config(self, confirms: int) -> None:
        state = self._sync.state
        self._emit(agent_events.ConfigChanged(state, confirms))
        self._assign_model(state)

    def _assign_model(self, state: config_state.ConfigState) -> None:
        """Computes the model of this engine if an input has changed.

        Does nothing before the first read of the demand, so that a starting
        agent doesn't load a model chosen by shares alone and then replace it.
        """
        if self._cfg.upstream.kind != "engine" or not state.models:
            return
        if not self._demand_read_attempted:
            return
        shares = tuple(
            (name, spec.share) for name, spec in sorted(state.models.items())
        )
        demand = self._demand.in_force
        inputs = (shares, frozenset(self._engines), dict(demand))
        if inputs == self._assignment_inputs:
            return
        self._assignment_inputs = inputs
        agents = self._engines | {self._cfg.instance_id}
        model = placement.assign(agents, state, demand).get(
            self._cfg.instance_id
        )
        logs.decision(
            _LOG,
            "placement",
            model=model,
            engines=len(agents),
            models=len(shares),
            demand_offset=self._demand.position,
            revision=state.revision,
        )
        if model is not None:
            self._emit(agent_events.ModelAssigned(model))

    async def _follow_demand(self) -> None:
        """Reads the demand stream; keeps the last demand while reads fail."""
        while True:
            try:
                await self._read_demand()
            except errors.PlatformError as exc:
                _LOG.info("demand stream could not be read: %s", exc)
            self._demand_read_attempted = True
            self._assign_model(self._sync.state)
            await asyncio.sleep(
                demand.jittered_s(demand.READ_INTERVAL_S, self._rng)
            )

    async def _read_demand(self) -> None:
        stream = demand.stream_name(self._cfg.data_centre)
        fold = self._demand
        while True:
            page = await self._log.read(
                stream, fold.position, _DEMAND_PAGE_RECORDS
            )
            # Only an empty page is the end of the stream: the log may return
            # fewer records than requested.
            if not page.records:
                return
            dropped_before = fold.dropped
            fold.fold(page.records)
            metrics.DEMAND_RECORDS_DROPPED.inc(fold.dropped - dropped_before)

    async def _append_calls(self, cmd: agent_events.AppendCalls) -> None:
        stream = call_log.stream_name(self._cfg.instance_id)
        record_id = f"{self._incarnation}/{cmd.batch}"
        event: agent_events.Event
        try:
            offset = await self._log.append(stream, record_id, cmd.data)
            event = agent_events.CallsAppended(cmd.batch, offset)
        except errors.PlatformError:
            event = agent_events.CallLogFailed(cmd.batch)
        self._emit(event)

    async def _read_calls(self, cmd: agent_events.ReadCalls) -> None:
        stream = call_log.stream_name(self._cfg.instance_id)
        event: agent_events.Event
        try:
            page = await self._log.read(
                stream, cmd.after_offset, cmd.max_records
            )
            records = [
                call_log.CallRecord(row.offset, row.data)
                for row in page.records
            ]
            event = agent_events.CallsRead(
                cmd.batch, page.first, page.next_offset, records
            )
        except errors.PlatformError:
            event = agent_events.CallLogFailed(cmd.batch)
        self._emit(event)

    async def _request_permit(self, cmd: agent_events.RequestPermit) -> None:
        wait_s = 0.0
        try:
            await self._weights.request_permit(cmd.model, cmd.version)
        except errors.RateLimitedError as exc:
            wait_s = max(exc.retry_after_s, 0.1)
        except errors.PlatformError:
            wait_s = WEIGHTS_RETRY_S
        self._emit(agent_events.PermitAnswer(cmd.model, cmd.version, wait_s))

    async def _follow_instances(self) -> None:
        while True:
            try:
                await self._register()
                await self._read_instances()
            except errors.PlatformError as exc:
                _LOG.info("instance list not reachable: %s", exc)
            registered = self._registered_state == self._state
            pause_s = (
                INSTANCES_POLL_INTERVAL_S if registered else REGISTER_RETRY_S
            )
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._state_changed.wait(), pause_s)
            self._state_changed.clear()

    async def _register(self) -> None:
        state = self._state
        if self._registered_state != state:
            await self._instances.register(self._instance_row(state))
            self._registered_state = state

    async def _read_instances(self) -> None:
        """Reads the changes of the instance list and updates the engine set.

        An agent of a plain service registers no bulk address, because it
        accepts no prompts. The agents of engines are therefore the rows with a
        bulk address.
        """
        changes = await self._instances.read_changes(
            self._list_version, self._cfg.data_centre
        )
        self._list_version = changes.version
        for row in changes.rows:
            is_own = row.instance_id == self._cfg.instance_id
            if is_own and row != self._instance_row(self._state):
                # The list is wrong or outdated, so the agent registers again.
                self._registered_state = None
            is_engine = row.role == "agent" and bool(row.bulk)
            if is_engine and row.state == "live":
                self._engines.add(row.instance_id)
            else:
                self._engines.discard(row.instance_id)
        self._assign_model(self._sync.state)

    def _instance_row(
        self, state: platform_instances.InstanceState
    ) -> platform_instances.InstanceRow:
        cfg = self._cfg
        bulk = cfg.bulk if cfg.upstream.kind == "engine" else ""
        return platform_instances.InstanceRow(
            cfg.instance_id,
            "agent",
            cfg.data_centre,
            cfg.control,
            bulk,
            cfg.ops,
            state,
        )

    async def _append_audit_rows(self) -> None:
        """Appends audit rows at once and then at an interval.

        The first batch makes the writer known, so that the export can tell that
        rows are missing if this process dies within the first interval.
        """
        due = time.monotonic()
        while True:
            await asyncio.sleep(max(due - time.monotonic(), 0.0))
            try:
                await self._flush_audit_rows()
                due = time.monotonic() + audit.AGENT_FLUSH_INTERVAL_S
            except errors.PlatformError as exc:
                _LOG.info("audit rows not appended; will retry: %s", exc)
                due = time.monotonic() + _AUDIT_RETRY_S

    async def _flush_audit_rows(self) -> None:
        while True:
            batch = self._audit.take_batch()
            if batch is None:
                return
            await audit.append(self._log, batch)
            self._audit.confirm(batch.seq)
