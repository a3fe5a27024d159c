"""The agent's side of the platform: configuration, call log, permits, audit.

Invariant: a confirmation of the configuration is emitted only after a read of
the release stream that began after it was asked for.
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

INSTANCES_POLL_S: Final = 5.0
REGISTER_RETRY_S: Final = 2.0
WEIGHTS_RETRY_S: Final = 2.0
FINISH_S: Final = 3.0
_AUDIT_RETRY_S: Final = 5.0
_DEMAND_LIMIT_RECORDS: Final = 250
"""Folding one page holds up the event loop for about 10 ms."""

_LOG: Final = logging.getLogger(__name__)

Emit = Callable[[agent_events.Event], None]


class AgentPlatform:
    """Platform clients of one agent. A context manager that owns them."""

    def __init__(
        self, cfg: settings.AgentSettings, incarnation: str, emit: Emit
    ) -> None:
        """Prepares the clients.

        Args:
            cfg: Settings of the agent.
            incarnation: Incarnation of this process.
            emit: Sink of events.
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
        self._demand_tried = False
        self._rng = random.Random()
        self._assigned_for: object = None
        self._state: platform_instances.InstanceState = "live"
        self._listed: platform_instances.InstanceState | None = None
        self._leaving = asyncio.Event()

    def __enter__(self) -> Self:
        """Opens nothing: the clients connect at first use."""
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Ends all tasks and closes the clients."""
        for task in self._tasks:
            task.cancel()
        self._log.close()
        self._weights.close()
        self._instances.close()

    async def run(self) -> None:
        """Registers, and keeps list, placement and audit going."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._register_and_follow())
            group.create_task(self._append_audit())
            if self._cfg.upstream.kind == "engine":
                group.create_task(self._follow_demand())

    def leave(self) -> None:
        """Has the instance list show the agent as leaving."""
        self._state = "leaving"
        self._leaving.set()

    async def finish(self) -> None:
        """Appends the last audit rows and leaves the instance list."""
        self._audit.close()
        try:
            async with asyncio.timeout(FINISH_S):
                await self._flush_audit()
                await self._instances.register(self._row("gone"))
        except (TimeoutError, errors.PlatformError) as exc:
            _LOG.warning("platform not told of the end: %s", exc)

    def answer(self, after: int) -> messages.ConfigUpdate:
        """Returns the release records that a peer lacks."""
        return self._sync.make_update(messages.ConfigRequest(after))

    def audit(self, row: agent_events.Audit, wall_offset_s: float) -> None:
        """Adds an audit row.

        Args:
            row: Row with monotonic times.
            wall_offset_s: Unix time minus monotonic time.
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
        """Starts a command; returns False when it isn't for the platform."""
        match cmd:
            case agent_events.CatchUp():
                self._start(self._catch_up(cmd.pause))
            case agent_events.FoldConfig():
                self._fold(cmd)
            case agent_events.AppendCalls():
                self._start(self._append_calls(cmd))
            case agent_events.ReadCalls():
                self._start(self._read_calls(cmd))
            case agent_events.RequestPermit():
                self._start(self._permit(cmd))
            case _:
                return False
        return True

    def _start(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _catch_up(self, pause: int) -> None:
        try:
            await config_sync.catch_up(self._log, self._sync)
        except errors.PlatformError as exc:
            _LOG.info("release stream not read: %s", exc)
            return
        known = self._sync.ready and not self._sync.has_gap
        self._changed(pause if known else 0)

    def _fold(self, cmd: agent_events.FoldConfig) -> None:
        self._sync.apply_update(cmd.update)
        complete = self._sync.revision >= cmd.revision
        self._changed(cmd.confirms if complete else 0)

    def _changed(self, confirms: int) -> None:
        state = self._sync.state
        self._emit(agent_events.ConfigChanged(state, confirms))
        self._assign(state)

    def _assign(self, state: config_state.ConfigState) -> None:
        """Computes the model of this engine when an input has changed.

        It waits for the first read of the demand, so that a starting agent
        doesn't load a model by shares alone and another one right after.
        """
        if self._cfg.upstream.kind != "engine" or not state.models:
            return
        if not self._demand_tried:
            return
        shares = tuple(
            (name, spec.share) for name, spec in sorted(state.models.items())
        )
        wanted = self._demand.in_force
        inputs = (shares, frozenset(self._engines), dict(wanted))
        if inputs == self._assigned_for:
            return
        self._assigned_for = inputs
        agents = self._engines | {self._cfg.instance_id}
        model = placement.assign(agents, state, wanted).get(
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
        """Reads the demand stream; the last demand holds while that fails."""
        while True:
            try:
                await self._read_demand()
            except errors.PlatformError as exc:
                _LOG.info("demand not read: %s", exc)
            self._demand_tried = True
            self._assign(self._sync.state)
            await asyncio.sleep(
                demand.jittered_s(demand.READ_INTERVAL_S, self._rng)
            )

    async def _read_demand(self) -> None:
        stream = demand.stream_name(self._cfg.data_centre)
        fold = self._demand
        while True:
            got = await self._log.read(
                stream, fold.position, _DEMAND_LIMIT_RECORDS
            )
            # A short page isn't the end: the log may limit its answers too.
            if not got.records:
                return
            dropped = fold.dropped
            fold.fold(got.records)
            metrics.DEMAND_RECORDS_DROPPED.inc(fold.dropped - dropped)

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
            got = await self._log.read(stream, cmd.after, cmd.limit)
            records = [
                call_log.CallRecord(row.offset, row.data) for row in got.records
            ]
            event = agent_events.CallsRead(
                cmd.batch, got.first, got.next_offset, records
            )
        except errors.PlatformError:
            event = agent_events.CallLogFailed(cmd.batch)
        self._emit(event)

    async def _permit(self, cmd: agent_events.RequestPermit) -> None:
        wait_s = 0.0
        try:
            await self._weights.request_permit(cmd.model, cmd.version)
        except errors.RateLimitedError as exc:
            wait_s = max(exc.retry_after_s, 0.1)
        except errors.PlatformError:
            wait_s = WEIGHTS_RETRY_S
        self._emit(agent_events.PermitAnswer(cmd.model, cmd.version, wait_s))

    async def _register_and_follow(self) -> None:
        while True:
            try:
                await self._register()
                await self._read_instances()
            except errors.PlatformError as exc:
                _LOG.info("instance list not reachable: %s", exc)
            registered = self._listed == self._state
            pause_s = INSTANCES_POLL_S if registered else REGISTER_RETRY_S
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._leaving.wait(), pause_s)
            self._leaving.clear()

    async def _register(self) -> None:
        state = self._state
        if self._listed != state:
            await self._instances.register(self._row(state))
            self._listed = state

    async def _read_instances(self) -> None:
        """Follows the engines of the data centre.

        An agent of a plain service lists no bulk address, since it takes no
        prompts; that tells the two kinds apart.
        """
        got = await self._instances.read_changes(
            self._list_version, self._cfg.data_centre
        )
        self._list_version = got.version
        for row in got.rows:
            is_own = row.instance_id == self._cfg.instance_id
            if is_own and row != self._row(self._state):
                # The list is wrong about this agent, or late.
                self._listed = None
            is_engine = row.role == "agent" and bool(row.bulk)
            if is_engine and row.state == "live":
                self._engines.add(row.instance_id)
            else:
                self._engines.discard(row.instance_id)
        self._assign(self._sync.state)

    def _row(
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

    async def _append_audit(self) -> None:
        """Appends a batch at once, then one each interval.

        The first one makes the writer known, so that the export can tell that
        rows are missing when this process dies within the interval.
        """
        due = time.monotonic()
        while True:
            await asyncio.sleep(max(due - time.monotonic(), 0.0))
            try:
                await self._flush_audit()
                due = time.monotonic() + audit.AGENT_FLUSH_INTERVAL_S
            except errors.PlatformError as exc:
                _LOG.info("audit rows wait: %s", exc)
                due = time.monotonic() + _AUDIT_RETRY_S

    async def _flush_audit(self) -> None:
        while True:
            batch = self._audit.take_batch()
            if batch is None:
                return
            await audit.append(self._log, batch)
            self._audit.confirm(batch.seq)
