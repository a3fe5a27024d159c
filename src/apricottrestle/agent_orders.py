"""Configuration of the agent and orders to its engine.

Invariants: the configuration only moves to higher revisions; an agent that was
paused sends no order before a peer or the log, asked after the pause, has
confirmed its configuration; the engine's own read-back decides whether an
order is needed, so an engine that ignores fencing numbers is corrected.
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
CONFIRM_S: Final = 0.2
CHANGE_JITTER_S: Final = 0.3
ORDER_TIMEOUT_S: Final = 2.0
"""An order without an answer is repeated then, which is harmless. A lost order
must leave time for the second one within the 5 s in which a note is in force
everywhere."""

PERMIT_TIMEOUT_S: Final = 6.0
RETRY_S: Final = 1.0
PERMIT_JITTER_S: Final = 0.5

PAUSE_S: Final = 3.0
"""A tick gap over this counts as a pause; shorter than any lease."""

LATE_FRAMES_S: Final = 1.0
"""Frames handled so soon after a pause may date from before it."""

ALLOWANCE_GAP_S: Final = 0.5
CATCH_UP_RETRY_S: Final = 2.0
CONFIG_ASK_S: Final = 0.5
CATCH_UP_PEERS: Final = 3

Commands = list[agent_events.Command]


def detect_pause(tables: agent_tables.Tables, now: float) -> None:
    """Detects that the process was paused since the last tick."""
    state = tables.catch_up
    gap = now - state.last_tick
    state.last_tick = now
    if gap <= ALLOWANCE_GAP_S:
        return
    if state.allowance_until <= now:
        state.allowance = 0.0
    state.allowance += gap
    state.allowance_until = now + LATE_FRAMES_S
    # Entries could not be heard during the pause.
    for sender in tables.entries:
        tables.entries[sender] += gap
    for peer in tables.peers.values():
        peer.last_seen += gap
    if gap > PAUSE_S:
        state.restart(now + LATE_FRAMES_S)


def on_frame_revision(
    tables: agent_tables.Tables,
    routing_id: bytes,
    revision: int,
    now: float,
    out: Commands,
) -> None:
    """Asks a peer that is ahead for what is missing here."""
    peer = tables.peers[routing_id]
    behind = revision > tables.config.revision
    if not behind or now - peer.config_asked < CONFIG_ASK_S:
        return
    peer.config_asked = now
    ask = messages.ConfigRequest(tables.config.revision)
    out.append(agent_events.Send(routing_id, ask))


def on_config_update(
    tables: agent_tables.Tables,
    got: messages.Received,
    msg: messages.ConfigUpdate,
    out: Commands,
) -> None:
    """Has an update folded.

    It confirms the configuration only when it was asked for after the pause,
    of a peer that is not behind itself.
    """
    state = tables.catch_up
    asked = state.needed and state.asked
    ahead = got.config_rev >= max(tables.config.revision, 1)
    confirms = state.pause if asked and ahead else 0
    out.append(agent_events.FoldConfig(msg, got.config_rev, confirms))


def on_config_changed(
    tables: agent_tables.Tables,
    event: agent_events.ConfigChanged,
    now: float,
) -> None:
    """Takes a state of a higher revision, and a confirmation."""
    state = tables.catch_up
    if event.state.revision > tables.config.revision:
        tables.config = event.state
        metrics.CONFIG_REVISION.set(event.state.revision)
        _set_floors(tables)
        jitter_s = tables.rng.uniform(0, CHANGE_JITTER_S)
        tables.orders.next_read = min(tables.orders.next_read, now + jitter_s)
    if event.confirms == state.pause and state.needed:
        state.needed = False
        state.ever = True
        tables.orders.next_read = now


def _set_floors(tables: agent_tables.Tables) -> None:
    """Gives the queue policy the floors of the priority classes."""
    specs = tables.config.priorities
    if isinstance(tables.queue, queueing_fair.PriorityFairQueue) and specs:
        floors = tuple(
            specs[name].floor if name in specs else 0.0
            for name in messages.PRIORITIES
        )
        tables.queue.set_floors(floors)


def tick(tables: agent_tables.Tables, now: float, out: Commands) -> None:
    """Catches up after a pause, and reads the engine back."""
    state = tables.catch_up
    if state.needed and now >= state.ask_at:
        state.ask_at = now + CATCH_UP_RETRY_S
        state.asked = True
        out.append(agent_events.CatchUp(state.pause))
        ask = messages.ConfigRequest(tables.config.revision)
        for routing_id in list(tables.peers)[-CATCH_UP_PEERS:]:
            out.append(agent_events.Send(routing_id, ask))
    if tables.params.kind == "engine" and now >= tables.orders.next_read:
        tables.orders.next_read = now + READ_BACK_INTERVAL_S
        out.append(agent_events.PollConfig())


def on_engine_config(
    tables: agent_tables.Tables,
    event: agent_events.EngineConfig,
    now: float,
    out: Commands,
) -> None:
    """Compares the engine's configuration with the wanted one."""
    tables.engine.config = event
    correct(tables, now, out)


def wanted(
    tables: agent_tables.Tables,
) -> agent_events.SendOrder | None:
    """Returns the order for the assigned model; None without one.

    Withdrawn versions stay while requests of theirs run.
    """
    config = tables.config
    model = tables.orders.model
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


def correct(tables: agent_tables.Tables, now: float, out: Commands) -> None:
    """Orders the engine to the wanted configuration if it differs."""
    orders = tables.orders
    have = tables.engine.config
    want = wanted(tables)
    if tables.catch_up.needed or have is None or want is None:
        return
    orders.switching = have.model not in {"", want.model}
    if _matches(have, want):
        orders.permits.clear()
        return
    if now < orders.not_before or now - orders.sent_at < ORDER_TIMEOUT_S:
        return
    if orders.switching and _busy(tables):
        orders.next_read = min(orders.next_read, now + RETRY_S)
        return
    if not _permitted(tables, have, want, now, out):
        return
    orders.sent_at = now
    out.append(want)
    fields: dict[str, str | int | float] = {
        "fence": want.fence,
        "model": want.model,
        "versions": ",".join(want.versions),
    }
    out.append(agent_events.Log("order", fields))


def _matches(
    have: agent_events.EngineConfig, want: agent_events.SendOrder
) -> bool:
    return (
        have.model == want.model
        and set(have.versions) == set(want.versions)
        and set(have.adapters) == set(want.adapters)
    )


def _busy(tables: agent_tables.Tables) -> bool:
    """Tells whether work for the engine's present model is left."""
    done = agent_tables.Phase.DONE
    active = any(row.phase is not done for row in tables.streams.values())
    return active or bool(tables.leases)


def _permitted(
    tables: agent_tables.Tables,
    have: agent_events.EngineConfig,
    want: agent_events.SendOrder,
    now: float,
    out: Commands,
) -> bool:
    """Asks for the next permission needed; True when none is missing."""
    orders = tables.orders
    loaded = set(have.versions) if have.model == want.model else set()
    missing = [
        (want.model, version)
        for version in want.versions
        if version not in loaded and (want.model, version) not in orders.permits
    ]
    if not missing:
        return True
    if now >= orders.permit_at:
        orders.permit_at = now + PERMIT_TIMEOUT_S
        out.append(agent_events.RequestPermit(*missing[0]))
    return False


def on_permit(
    tables: agent_tables.Tables,
    event: agent_events.PermitAnswer,
    now: float,
    out: Commands,
) -> None:
    """Notes a permission, or waits as told with jitter."""
    orders = tables.orders
    if event.retry_after_s > 0:
        jitter_s = tables.rng.uniform(0, PERMIT_JITTER_S)
        orders.permit_at = now + event.retry_after_s + jitter_s
        orders.next_read = min(orders.next_read, orders.permit_at)
        return
    orders.permits.add((event.model, event.version))
    orders.permit_at = now
    correct(tables, now, out)


def on_order_answer(
    tables: agent_tables.Tables,
    event: agent_events.OrderAnswer,
    now: float,
) -> None:
    """Reads back soon; a refused fence means that this agent is behind."""
    orders = tables.orders
    if event.status == 409:
        tables.catch_up.restart(now)
    if event.status == 200:
        orders.next_read = min(orders.next_read, now + CONFIRM_S)
    else:
        orders.not_before = now + RETRY_S
        orders.next_read = min(orders.next_read, now + RETRY_S)
    orders.sent_at = now - ORDER_TIMEOUT_S


def on_model_assigned(
    tables: agent_tables.Tables, event: agent_events.ModelAssigned, now: float
) -> None:
    """Takes the placement's choice; the next read-back acts on it."""
    if event.model != tables.orders.model:
        tables.orders.model = event.model
        tables.orders.next_read = now
