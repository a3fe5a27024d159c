"""Configuration of the agent, and configuration orders to its engine.

Invariants: the revision of the configuration only increases. After a pause of
its process, an agent sends no order until a peer or the log, queried after the
pause, has confirmed the configuration. Whether an order is needed is decided by
the configuration that the engine itself reports, so that an engine that ignores
fencing numbers is corrected, too.
"""

from typing import Final

from apricottrestle import (
    agent_events,
    agent_tables,
    messages,
    metrics,
    queueing_fair,
)

READ_BACK_INTERVAL_S: Final = 5.0
ORDER_READ_BACK_DELAY_S: Final = 0.2
CONFIG_CHANGE_JITTER_S: Final = 0.3
ORDER_TIMEOUT_S: Final = 2.0
"""Time after which an order without an answer is sent again.

Receiving an order twice has no further effect on the engine. The time is short
because a release note must take effect everywhere within 5 s, even if the first
order is lost.
"""

PERMIT_TIMEOUT_S: Final = 6.0
ORDER_RETRY_S: Final = 1.0
PERMIT_JITTER_S: Final = 0.5

MAX_TICK_GAP_S: Final = 3.0
"""A longer gap between ticks counts as a pause of the process.

It is shorter than any lease.
"""

STALE_FRAMES_S: Final = 1.0
"""Frames handled within this time after a pause may have arrived before it."""

MIN_ALLOWANCE_GAP_S: Final = 0.5
"""A longer gap between ticks is deducted from the remaining time in frames."""

CATCH_UP_RETRY_INTERVAL_S: Final = 2.0
CONFIG_REQUEST_INTERVAL_S: Final = 0.5
MAX_CATCH_UP_PEERS: Final = 3

Commands = list[agent_events.Command]


def detect_pause(tables: agent_tables.Tables, now: float) -> None:
    """Detects that the process did not run for a while since the last tick.

    The gap is deducted from the remaining time in frames that may have arrived
    during it, and is not counted as silence of entries. If it is long enough to
    count as a pause, the configuration must be confirmed anew.
    """
    state = tables.catch_up
    gap = now - state.last_tick_at
    state.last_tick_at = now
    if gap <= MIN_ALLOWANCE_GAP_S:
        return
    if state.pause_allowance_until <= now:
        state.pause_allowance_s = 0.0
    state.pause_allowance_s += gap
    state.pause_allowance_until = now + STALE_FRAMES_S
    # The agent read no frames during the gap, so the gap must not count as
    # silence of the entries.
    for sender in tables.entry_last_frame_at:
        tables.entry_last_frame_at[sender] += gap
    for peer in tables.peers.values():
        peer.last_frame_at += gap
    if gap > MAX_TICK_GAP_S:
        state.restart(now + STALE_FRAMES_S)


def on_frame_revision(
    tables: agent_tables.Tables,
    routing_id: bytes,
    revision: int,
    now: float,
    out: Commands,
) -> None:
    """Requests the missing release records from a peer that is ahead."""
    peer = tables.peers[routing_id]
    behind = revision > tables.config.revision
    if not behind or now - peer.config_requested_at < CONFIG_REQUEST_INTERVAL_S:
        return
    peer.config_requested_at = now
    request = messages.ConfigRequest(tables.config.revision)
    out.append(agent_events.Send(routing_id, request))


def on_config_update(
    tables: agent_tables.Tables,
    received: messages.Received,
    msg: messages.ConfigUpdate,
    out: Commands,
) -> None:
    """Requests the fold of an update.

    The update confirms the configuration only if it was requested after the
    pause and its sender is not behind this agent.
    """
    state = tables.catch_up
    requested = state.needed and state.requested
    current = received.config_rev >= max(tables.config.revision, 1)
    confirms = state.pause_count if requested and current else 0
    out.append(agent_events.FoldConfig(msg, received.config_rev, confirms))


def on_config_changed(
    tables: agent_tables.Tables,
    event: agent_events.ConfigChanged,
    now: float,
) -> None:
    """Applies a state of a higher revision, and a confirmation."""
    state = tables.catch_up
    if event.state.revision > tables.config.revision:
        tables.config = event.state
        metrics.CONFIG_REVISION.set(event.state.revision)
        _set_floors(tables)
        jitter_s = tables.rng.uniform(0, CONFIG_CHANGE_JITTER_S)
        tables.orders.next_read_back_at = min(
            tables.orders.next_read_back_at, now + jitter_s
        )
    if event.confirmed_pause == state.pause_count and state.needed:
        state.needed = False
        state.ever_confirmed = True
        tables.orders.next_read_back_at = now


def _set_floors(tables: agent_tables.Tables) -> None:
    """Passes the floors of the priority classes to the queue policy."""
    specs = tables.config.priorities
    if isinstance(tables.queue, queueing_fair.PriorityFairQueue) and specs:
        floors = tuple(
            specs[name].floor if name in specs else 0.0
            for name in messages.PRIORITIES
        )
        tables.queue.set_floors(floors)


def tick(tables: agent_tables.Tables, now: float, out: Commands) -> None:
    """Requests release records after a pause; polls the engine's configuration.

    The records are requested from the log and from some peers, until one of
    them has confirmed the configuration.
    """
    state = tables.catch_up
    if state.needed and now >= state.next_request_at:
        state.next_request_at = now + CATCH_UP_RETRY_INTERVAL_S
        state.requested = True
        out.append(agent_events.ReadReleaseStream(state.pause_count))
        request = messages.ConfigRequest(tables.config.revision)
        for routing_id in list(tables.peers)[-MAX_CATCH_UP_PEERS:]:
            out.append(agent_events.Send(routing_id, request))
    if (
        tables.params.kind == "engine"
        and now >= tables.orders.next_read_back_at
    ):
        tables.orders.next_read_back_at = now + READ_BACK_INTERVAL_S
        out.append(agent_events.PollConfig())


def on_engine_config(
    tables: agent_tables.Tables,
    event: agent_events.EngineConfig,
    now: float,
    out: Commands,
) -> None:
    """Compares the engine's configuration with the desired one."""
    tables.engine.config = event
    reconcile(tables, now, out)


def desired_order(
    tables: agent_tables.Tables,
) -> agent_events.SendOrder | None:
    """Returns the order for the assigned model, or None if there is none.

    Withdrawn versions stay loaded while requests for them run.
    """
    config = tables.config
    model = tables.orders.assigned_model
    spec = config.models.get(model)
    if spec is None:
        return None
    versions = {
        row.version for row in config.versions.values() if row.model == model
    }
    versions |= {
        tables.streams[req_id].msg.version
        for req_id in tables.runs.values()
        if tables.streams[req_id].msg.model == model
    }
    adapters = sorted(
        row.name for row in config.adapters.values() if row.model == model
    )
    return agent_events.SendOrder(
        config.revision, model, sorted(versions), adapters, tables.params.role
    )


def reconcile(tables: agent_tables.Tables, now: float, out: Commands) -> None:
    """Sends the engine an order if its configuration isn't the desired one."""
    orders = tables.orders
    actual = tables.engine.config
    desired = desired_order(tables)
    if tables.catch_up.needed or actual is None or desired is None:
        return
    orders.switching_model = actual.model not in {"", desired.model}
    if _runs_desired_config(actual, desired):
        orders.granted_permits.clear()
        return
    if now < orders.next_order_at or now - orders.sent_at < ORDER_TIMEOUT_S:
        return
    if orders.switching_model and _has_active_work(tables):
        orders.next_read_back_at = min(
            orders.next_read_back_at, now + ORDER_RETRY_S
        )
        return
    if not _has_permits(tables, actual, desired, now, out):
        return
    orders.sent_at = now
    out.append(desired)
    fields: dict[str, str | int | float] = {
        "fence": desired.fence,
        "model": desired.model,
        "versions": ",".join(desired.versions),
    }
    out.append(agent_events.LogDecision("order", fields))


def _runs_desired_config(
    actual: agent_events.EngineConfig, desired: agent_events.SendOrder
) -> bool:
    return (
        actual.model == desired.model
        and set(actual.versions) == set(desired.versions)
        and set(actual.adapters) == set(desired.adapters)
    )


def _has_active_work(tables: agent_tables.Tables) -> bool:
    """Returns whether the engine's present model still has work."""
    done = agent_tables.StreamPhase.DONE
    active = any(row.phase is not done for row in tables.streams.values())
    return active or bool(tables.leases)


def _has_permits(
    tables: agent_tables.Tables,
    actual: agent_events.EngineConfig,
    desired: agent_events.SendOrder,
    now: float,
    out: Commands,
) -> bool:
    """Returns whether the agent may load all versions of an order.

    Requests the first missing permit from the weight store.
    """
    orders = tables.orders
    loaded = set(actual.versions) if actual.model == desired.model else set()
    missing = [
        (desired.model, version)
        for version in desired.versions
        if version not in loaded
        and (desired.model, version) not in orders.granted_permits
    ]
    if not missing:
        return True
    if now >= orders.next_permit_at:
        orders.next_permit_at = now + PERMIT_TIMEOUT_S
        out.append(agent_events.RequestPermit(*missing[0]))
    return False


def on_permit(
    tables: agent_tables.Tables,
    event: agent_events.PermitAnswer,
    now: float,
    out: Commands,
) -> None:
    """Records a permit, or schedules the next request with jitter."""
    orders = tables.orders
    if event.retry_after_s > 0:
        jitter_s = tables.rng.uniform(0, PERMIT_JITTER_S)
        orders.next_permit_at = now + event.retry_after_s + jitter_s
        orders.next_read_back_at = min(
            orders.next_read_back_at, orders.next_permit_at
        )
        return
    orders.granted_permits.add((event.model, event.version))
    orders.next_permit_at = now
    reconcile(tables, now, out)


def on_order_answer(
    tables: agent_tables.Tables,
    event: agent_events.OrderAnswer,
    now: float,
) -> None:
    """Schedules a read-back; a rejected fence starts a catch-up.

    The engine rejects a fence if it has seen a higher revision, so this agent
    is behind.
    """
    orders = tables.orders
    if event.status == 409:
        tables.catch_up.restart(now)
    if event.status == 200:
        orders.next_read_back_at = min(
            orders.next_read_back_at, now + ORDER_READ_BACK_DELAY_S
        )
    else:
        orders.next_order_at = now + ORDER_RETRY_S
        orders.next_read_back_at = min(
            orders.next_read_back_at, now + ORDER_RETRY_S
        )
    orders.sent_at = now - ORDER_TIMEOUT_S


def on_model_assigned(
    tables: agent_tables.Tables, event: agent_events.ModelAssigned, now: float
) -> None:
    """Applies the placement's choice, which the next read-back acts on."""
    if event.model != tables.orders.assigned_model:
        tables.orders.assigned_model = event.model
        tables.orders.next_read_back_at = now
