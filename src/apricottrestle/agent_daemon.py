"""The agent process: sockets, timers and clients around the pure step.

Invariant: all state that decisions depend on is in agent_tables. This module
only executes commands and turns the results of I/O into events.
"""

import asyncio
import contextlib
import logging
import random
import secrets
import signal
import sys
import time
from typing import Final

from apricottrestle import (
    agent_events,
    agent_platform,
    agent_queue,
    agent_step,
    agent_tables,
    agent_upstream,
    engine_client,
    logs,
    messages,
    metrics,
    ops_http,
    queueing_fair,
    service_client,
    settings,
    transport,
)

ACTIVE_TICK_INTERVAL_S: Final = 0.02
"""Equals the minimum interval between two token messages of a stream."""

IDLE_TICK_INTERVAL_S: Final = 0.1
EVENT_DELAY_S: Final = 0.002
"""Delay of a step after an event, so that events that arrive together share a
step."""

METRICS_INTERVAL_S: Final = 1.0
COMMANDS_TIMEOUT_S: Final = 2.0

_LOG: Final = logging.getLogger(__name__)


def run(cfg: settings.AgentSettings) -> None:
    """Runs an agent until its drain is complete.

    Args:
        cfg: Checked settings.

    Raises:
        OSError: The address of the ops server can't be bound.
        zmq.ZMQError: The control or the bulk address can't be bound.
    """
    logs.configure(sys.stderr)
    asyncio.run(_run(cfg))


async def _run(cfg: settings.AgentSettings) -> None:
    daemon = AgentDaemon(cfg)
    loop = asyncio.get_running_loop()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(
            signum, daemon.emit, agent_events.DrainRequested()
        )
    await daemon.serve()


def make_params(
    cfg: settings.AgentSettings, incarnation: str
) -> agent_tables.Params:
    """Returns the settings that the step needs."""
    return agent_tables.Params(
        cfg.instance_id,
        incarnation,
        cfg.data_centre,
        cfg.upstream.kind,
        cfg.upstream.service,
        cfg.upstream.url,
        cfg.hmac_secret,
        slots=cfg.upstream.slots,
        prefill_tokens_per_s=cfg.upstream.prefill_tokens_per_s or 1.0,
        grace_s=cfg.grace_s,
        max_queued=cfg.max_queued,
    )


def _upstream_client(
    upstream: settings.UpstreamSettings, emit: agent_upstream.EventSink
) -> agent_upstream.UpstreamClient:
    client_class = (
        engine_client.EngineClient
        if upstream.kind == "engine"
        else service_client.ServiceClient
    )
    return client_class(upstream.url, emit)


class AgentDaemon:
    """One agent on the running event loop.

    Attributes:
        tables: State of the step.
    """

    def __init__(self, cfg: settings.AgentSettings) -> None:
        """Creates the agent; nothing is opened yet."""
        self._cfg = cfg
        self._incarnation = secrets.token_hex(8)
        self._loop = asyncio.get_running_loop()
        self.tables = agent_tables.Tables(
            make_params(cfg, self._incarnation),
            queueing_fair.PriorityFairQueue(),
            random.Random(),
            self._loop.time(),
        )
        self._inbox: list[agent_events.Event] = []
        self._timer: asyncio.TimerHandle | None = None
        self._exit_requested = asyncio.Event()
        self._step_error: Exception | None = None
        self._is_leaving = False
        self._next_metrics = 0.0
        self._platform = agent_platform.AgentPlatform(
            cfg, self._incarnation, self.emit
        )
        self._transport = transport.AgentTransport(
            cfg.control,
            cfg.bulk,
            cfg.fleet_key,
            transport.Identity(cfg.instance_id, self._incarnation),
            self._on_frame,
        )
        self._upstream = _upstream_client(cfg.upstream, self.emit)

    def emit(self, event: agent_events.Event) -> None:
        """Queues an event for the next step and schedules it."""
        self._inbox.append(event)
        self._schedule(EVENT_DELAY_S)

    async def serve(self) -> None:
        """Serves until the drain is complete."""
        with contextlib.ExitStack() as stack:
            stack.enter_context(self._platform)
            stack.enter_context(self._upstream)
            ops = ops_http.OpsServer(self._cfg.ops, self.not_ready)
            stack.enter_context(ops)
            stack.enter_context(self._transport)
            platform_task = self._loop.create_task(self._platform.run())
            _LOG.info("agent started", extra={"incarnation": self._incarnation})
            self._run_step()
            drain_task = self._loop.create_task(self._exit_requested.wait())
            await asyncio.wait(
                {platform_task, drain_task}, return_when=asyncio.FIRST_COMPLETED
            )
            if platform_task.done():
                # The task ends only with an unexpected error, which must end
                # the agent.
                platform_task.result()
            if self._step_error is not None:
                raise self._step_error
            await self._upstream.wait_for_commands(COMMANDS_TIMEOUT_S)
            platform_task.cancel()
            await self._platform.shut_down()
            if self._timer is not None:
                self._timer.cancel()
        _LOG.info("agent stopped")

    def not_ready(self) -> list[str]:
        """Returns why the agent accepts no work; empty if it does."""
        tables = self.tables
        reasons = []
        if not tables.catch_up.ever_confirmed:
            reasons.append("configuration not known yet")
        if tables.drain.active:
            reasons.append("draining")
        if tables.params.kind == "engine":
            if tables.engine.config is None:
                reasons.append("engine not read yet")
            if (
                tables.engine.failed_polls
                >= agent_queue.ENGINE_DOWN_FAILED_POLLS
            ):
                reasons.append("engine not reachable")
        return reasons

    def _on_frame(self, routing_id: bytes, received: messages.Received) -> None:
        self.emit(agent_events.FrameReceived(routing_id, received))

    def _schedule(self, delay_s: float) -> None:
        due = self._loop.time() + delay_s
        if self._timer is not None:
            if self._timer.when() <= due:
                return
            self._timer.cancel()
        self._timer = self._loop.call_at(due, self._run_step)

    def _run_step(self) -> None:
        """Runs a step; an unexpected error is raised by `serve`."""
        self._timer = None
        try:
            self._step()
        except Exception as exc:
            self._step_error = exc
            self._exit_requested.set()

    def _step(self) -> None:
        events, self._inbox = self._inbox, []
        now = self._loop.time()
        for cmd in agent_step.step(self.tables, events, now):
            self._execute(cmd, now)
        if now >= self._next_metrics:
            self._next_metrics = now + METRICS_INTERVAL_S
            self._set_metrics()
        tables = self.tables
        if tables.drain.active and not self._is_leaving:
            self._is_leaving = True
            self._platform.mark_leaving()
        active = tables.streams or tables.call_queue or tables.calls_running
        self._schedule(
            ACTIVE_TICK_INTERVAL_S if active else IDLE_TICK_INTERVAL_S
        )

    def _execute(self, cmd: agent_events.Command, now: float) -> None:
        match cmd:
            case agent_events.Send():
                self._send(cmd)
            case agent_events.LogDecision():
                logs.decision(_LOG, cmd.kind, **cmd.fields)
            case agent_events.Exit():
                self._exit_requested.set()
            case agent_events.SendConfigUpdate():
                update = self._platform.config_update_after(cmd.after_revision)
                self._send(agent_events.Send(cmd.routing_id, update))
            case agent_events.WriteAuditRow():
                self._platform.add_audit_row(cmd, time.time() - now)
            case _:
                started = self._platform.execute(cmd) or self._upstream.execute(
                    cmd
                )
                assert started, f"no client executes {type(cmd).__name__}"

    def _send(self, cmd: agent_events.Send) -> None:
        revision = self.tables.config.revision
        if not self._transport.send(
            cmd.routing_id, cmd.msg, revision, cmd.body
        ):
            self.emit(agent_events.SendFailed(cmd.routing_id))

    def _set_metrics(self) -> None:
        tables = self.tables
        queued = tables.queue.queued_tokens()
        for name, tokens in zip(messages.PRIORITIES, queued, strict=True):
            metrics.QUEUED_TOKENS.labels(name).set(tokens)
        metrics.LEASES.set(len(tables.leases))
