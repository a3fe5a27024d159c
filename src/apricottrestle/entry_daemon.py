"""Entry process: connects the step to sockets, timers and the platform."""

import asyncio
import logging
import random
import secrets
import signal
import sys
import time
import weakref
from collections.abc import Callable
from typing import Final

from tornado import ioloop

from apricottrestle import (
    admission,
    audit,
    config_sync,
    entry_accept,
    entry_core,
    entry_events,
    entry_http,
    entry_platform,
    entry_server,
    entry_tables,
    logs,
    memory_account,
    messages,
    metrics,
    ops_http,
    platform_instances,
    platform_log,
    routing,
    routing_expected,
    settings,
    transport,
)

PEERS_WAIT_TIMEOUT_S: Final = 3.0
"""Time for the first read of the instance list and the agents' replies, after
which missing replies no longer keep the entry from being ready."""

_DRAIN_POLL_INTERVAL_S: Final = 0.1
_FINAL_WRITES_TIME_S: Final = 0.5
_LOG: Final = logging.getLogger(__name__)


def run(
    cfg: settings.EntrySettings,
    make_router: Callable[[random.Random], routing.Router] = (
        routing_expected.ExpectedFirstTokenRouter
    ),
) -> None:
    """Runs an entry until it has drained after SIGTERM or SIGINT.

    Args:
        cfg: Settings.
        make_router: Creates the routing policy from a random generator.
    """
    logs.configure(sys.stderr)
    asyncio.run(_run(cfg, make_router))


async def _run(
    cfg: settings.EntrySettings,
    make_router: Callable[[random.Random], routing.Router],
) -> None:
    incarnation = secrets.token_hex(8)
    tables = make_tables(cfg, incarnation, make_router)
    log = platform_log.HttpLogService(cfg.platform.log)
    instances = platform_instances.HttpInstanceList(cfg.platform.instances)
    identity = transport.Identity(cfg.instance_id, incarnation)
    with transport.EntryTransport(cfg.fleet_key, identity) as entry_transport:
        core = entry_core.StepRunner(tables, entry_transport)
        loops = entry_platform.PlatformLoops(
            tables,
            log,
            instances,
            _instance_row(cfg),
            cfg.hmac_secret,
            core.post,
        )
        core.platform_handler = loops.execute
        ctx = entry_http.ApiContext(
            core,
            entry_accept.TeamIndex(),
            cfg.max_requests,
            weakref.WeakSet(),
        )
        started_at = time.monotonic()
        ops = ops_http.OpsServer(
            cfg.ops,
            lambda: not_ready_reasons(tables, time.monotonic() - started_at),
        )
        limits = memory_account.compute_limits(cfg.memory_mb, cfg.max_fds)
        with entry_server.ApiServer(cfg.callers, ctx, limits) as api, ops:
            loops.start()
            await _serve_until_drained(core, api, loops)
        core.close()
    log.close()
    instances.close()


def make_tables(
    cfg: settings.EntrySettings,
    incarnation: str,
    make_router: Callable[[random.Random], routing.Router],
) -> entry_tables.Tables:
    """Returns empty tables for a new process."""
    rng = random.Random(secrets.randbits(128))
    identity = entry_tables.Identity(
        cfg.instance_id,
        cfg.data_centres,
        cfg.hmac_secret,
        cfg.grace_s,
        time.time() - time.monotonic(),
    )
    return entry_tables.Tables(
        identity,
        config_sync.ConfigSync(cfg.platform.log_retention_s, rng),
        make_router(rng),
        admission.AdmissionControl(rng),
        admission.RetryBudget(),
        audit.AuditBuffer(
            cfg.instance_id, "entry", incarnation, cfg.audit_rows
        ),
        rng,
    )


def not_ready_reasons(tables: entry_tables.Tables, age_s: float) -> list[str]:
    """Returns the reasons why the entry should get no requests, or [].

    Args:
        tables: State of the entry.
        age_s: Time since the start in seconds. Agents that have not replied
            no longer count after PEERS_WAIT_TIMEOUT_S.
    """
    reasons = []
    states = {peer.state for peer in tables.peers.values()}
    all_answered = bool(states) and "connecting" not in states
    if not all_answered and age_s < PEERS_WAIT_TIMEOUT_S:
        reasons.append("agents not known yet")
    if tables.drain_started is not None:
        reasons.append("draining")
    if not tables.sync.ready:
        reasons.append("configuration not known yet")
    return reasons


def _instance_row(
    cfg: settings.EntrySettings,
) -> platform_instances.InstanceRow:
    return platform_instances.InstanceRow(
        cfg.instance_id, "entry", cfg.data_centre, "", "", cfg.callers
    )


async def _serve_until_drained(
    core: entry_core.StepRunner,
    api: entry_server.ApiServer,
    loops: entry_platform.PlatformLoops,
) -> None:
    """Runs the step's timers until a drain has ended."""
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(
            signal_number, lambda: core.post(entry_events.StartDrain())
        )
    policy_updater = _PolicyUpdater(core.tables)

    def tick() -> None:
        core.post()
        policy_updater.update()

    ticks = ioloop.PeriodicCallback(tick, entry_tables.TICK_INTERVAL_S * 1000)
    ticks.start()
    tables = core.tables
    while tables.drain_started is None:
        await asyncio.sleep(_DRAIN_POLL_INTERVAL_S)
    _LOG.info("drain started", extra={"requests": len(tables.requests)})
    await loops.register_state("leaving")
    while tables.requests or tables.calls:
        api.close_idle()
        await asyncio.sleep(_DRAIN_POLL_INTERVAL_S)
    # Time for the handlers to write the last commands of the step.
    await asyncio.sleep(_FINAL_WRITES_TIME_S)
    api.close_idle()
    ticks.stop()
    await loops.stop()
    await loops.register_state("gone")
    _LOG.info("drain finished")


class _PolicyUpdater:
    """Passes changed priority floors and team weights to the policies.

    These are the floors for admission control and the router, and the weights
    for admission control.
    """

    def __init__(self, tables: entry_tables.Tables) -> None:
        self._tables = tables
        self._revision = -1

    def update(self) -> None:
        state = self._tables.sync.state
        if state.revision == self._revision:
            return
        self._revision = state.revision
        metrics.CONFIG_REVISION.set(state.revision)
        specs = [state.priorities.get(name) for name in messages.PRIORITIES]
        floors = tuple(spec.floor if spec else 0.0 for spec in specs)
        weights = {team.name: team.weight for team in state.teams.values()}
        self._tables.admission.configure(floors, weights)
        router = self._tables.router
        if isinstance(router, routing_expected.ExpectedFirstTokenRouter):
            router.set_floors(floors)
