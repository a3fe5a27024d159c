"""The agent's pure step: takes events, changes the tables, returns commands.

It does no I/O and reads no clock.

Invariant: within a step, deadlines, leases and retention expire before any
event is handled. A late Renew, for example, cannot extend a lease that lapsed
while the process was paused.
"""

from collections.abc import Callable, Sequence
from typing import Any, Final, TypeVar

from apricottrestle import (
    agent_call_log,
    agent_calls,
    agent_drain,
    agent_events,
    agent_leases,
    agent_orders,
    agent_queue,
    agent_reports,
    agent_streams,
    agent_tables,
    messages,
)

EXPIRY_INTERVAL_S: Final = 0.05
"""Minimum time between two expiry checks; steps may run far more often."""

Commands = list[agent_events.Command]


def step(
    tables: agent_tables.Tables,
    events: Sequence[agent_events.Event],
    now: float,
) -> list[agent_events.Command]:
    """Expires what is due, handles the events and runs the periodic work.

    Args:
        tables: State of the agent, changed in place.
        events: Events since the last step, in order of arrival.
        now: Monotonic seconds; must not decrease between steps.

    Returns:
        Commands to start in order.
    """
    out: Commands = []
    agent_orders.detect_pause(tables, now)
    _expire(tables, now, out)
    for event in events:
        _EVENT_HANDLERS[type(event)](tables, event, now, out)
    _run_periodic_work(tables, now, out)
    return out


def _expire(tables: agent_tables.Tables, now: float, out: Commands) -> None:
    if now - tables.last_expiry_at < EXPIRY_INTERVAL_S:
        return
    tables.last_expiry_at = now
    agent_leases.expire(tables, now, out)
    agent_streams.expire(tables, now, out)
    agent_calls.expire(tables, now, out)


def _run_periodic_work(
    tables: agent_tables.Tables, now: float, out: Commands
) -> None:
    if tables.params.kind == "engine":
        agent_queue.start_ready(tables, now, out)
        agent_leases.poll_allocations(tables, now, out)
    else:
        agent_call_log.tick(tables, now, out)
        agent_calls.start_ready(tables, now, out)
    agent_streams.flush(tables, now, out)
    agent_orders.tick(tables, now, out)
    agent_reports.tick(tables, now, out)
    agent_drain.tick(tables, now, out)


def _on_frame(
    tables: agent_tables.Tables,
    event: agent_events.FrameReceived,
    now: float,
    out: Commands,
) -> None:
    received = event.received
    tables.entry_last_frame_at[received.sender] = now
    if not event.routing_id:
        if isinstance(received.msg, messages.BodyChunk):
            agent_queue.on_body_chunk(
                tables, received.msg, received.body, now, out
            )
        return
    peer = tables.peers.get(event.routing_id)
    if peer is None:
        peer = agent_tables.Peer(received.sender, now)
        tables.peers[event.routing_id] = peer
    peer.last_frame_at = now
    peer.send_failed = False
    agent_orders.on_frame_revision(
        tables, event.routing_id, received.config_rev, now, out
    )
    handler = _FRAME_HANDLERS.get(type(received.msg))
    if handler is not None:
        handler(tables, event.routing_id, received, now, out)


def _on_hello(
    tables: agent_tables.Tables,
    routing_id: bytes,
    received: messages.Received,
    now: float,
    out: Commands,
) -> None:
    agent_reports.on_hello(tables, routing_id, now, out)


def _on_ping(
    tables: agent_tables.Tables,
    routing_id: bytes,
    received: messages.Received,
    now: float,
    out: Commands,
) -> None:
    msg = received.msg
    assert isinstance(msg, messages.Ping)
    if msg.drain:
        agent_drain.begin(tables, now, out)
    agent_reports.on_ping(tables, routing_id, msg, now, out)


def _on_send_failed(
    tables: agent_tables.Tables,
    event: agent_events.SendFailed,
    now: float,
    out: Commands,
) -> None:
    """Stops sending on the connection until a frame arrives on it.

    The row is kept, because the count of submits belongs to the connection.
    """
    peer = tables.peers.get(event.routing_id)
    if peer is not None:
        peer.send_failed = True


def _on_poll_failed(
    tables: agent_tables.Tables,
    event: agent_events.EnginePollFailed,
    now: float,
    out: Commands,
) -> None:
    tables.engine.failed_polls += 1


_FrameHandler = Callable[
    [agent_tables.Tables, bytes, messages.Received, float, Commands], None
]
_EventHandler = Callable[[agent_tables.Tables, Any, float, Commands], None]

_MessageT = TypeVar("_MessageT")


def _checked_msg(
    kind: type[_MessageT], received: messages.Received
) -> _MessageT:
    assert isinstance(received.msg, kind)
    return received.msg


_FRAME_HANDLERS: Final[dict[type, _FrameHandler]] = {
    messages.Hello: _on_hello,
    messages.Ping: _on_ping,
    messages.Submit: lambda tables, routing_id, received, now, out: (
        agent_queue.on_submit(
            tables,
            routing_id,
            received,
            _checked_msg(messages.Submit, received),
            now,
            out,
        )
    ),
    messages.Attach: lambda tables, routing_id, received, now, out: (
        agent_streams.on_attach(
            tables,
            routing_id,
            received,
            _checked_msg(messages.Attach, received),
            now,
            out,
        )
    ),
    messages.Cancel: lambda tables, routing_id, received, now, out: (
        agent_streams.on_cancel(
            tables, received, _checked_msg(messages.Cancel, received), now, out
        )
    ),
    messages.Credit: lambda tables, routing_id, received, now, out: (
        agent_streams.on_credit(
            tables, received, _checked_msg(messages.Credit, received)
        )
    ),
    messages.CallSubmit: lambda tables, routing_id, received, now, out: (
        agent_calls.on_submit(
            tables,
            routing_id,
            received,
            _checked_msg(messages.CallSubmit, received),
            now,
            out,
        )
    ),
    messages.CallQuery: lambda tables, routing_id, received, now, out: (
        agent_calls.on_query(
            tables,
            routing_id,
            _checked_msg(messages.CallQuery, received),
            now,
            out,
        )
    ),
    messages.KeyRequest: lambda tables, routing_id, received, now, out: (
        agent_calls.on_key_request(
            tables,
            routing_id,
            _checked_msg(messages.KeyRequest, received),
            now,
            out,
        )
    ),
    messages.Reserve: lambda tables, routing_id, received, now, out: (
        agent_leases.on_reserve(
            tables,
            routing_id,
            _checked_msg(messages.Reserve, received),
            now,
            out,
        )
    ),
    messages.Renew: lambda tables, routing_id, received, now, out: (
        agent_leases.on_renew(
            tables, routing_id, _checked_msg(messages.Renew, received), now, out
        )
    ),
    messages.Release: lambda tables, routing_id, received, now, out: (
        agent_leases.on_release(
            tables, _checked_msg(messages.Release, received), now, out
        )
    ),
    messages.ConfigRequest: lambda tables, routing_id, received, now, out: (
        out.append(
            agent_events.SendConfigUpdate(
                routing_id, _checked_msg(messages.ConfigRequest, received).after
            )
        )
    ),
    messages.ConfigUpdate: lambda tables, routing_id, received, now, out: (
        agent_orders.on_config_update(
            tables, received, _checked_msg(messages.ConfigUpdate, received), out
        )
    ),
}


_EVENT_HANDLERS: Final[dict[type, _EventHandler]] = {
    agent_events.FrameReceived: _on_frame,
    agent_events.SendFailed: _on_send_failed,
    agent_events.RunTokens: agent_streams.on_tokens,
    agent_events.RunFinished: agent_streams.on_finished,
    agent_events.RunFailed: agent_streams.on_failed,
    agent_events.EngineLoad: lambda tables, event, now, out: (
        agent_reports.on_engine_load(tables, event, now)
    ),
    agent_events.EnginePollFailed: _on_poll_failed,
    agent_events.AllocationAnswer: agent_leases.on_allocation,
    agent_events.AllocationList: agent_leases.on_allocation_list,
    agent_events.EngineConfig: agent_orders.on_engine_config,
    agent_events.OrderAnswer: lambda tables, event, now, out: (
        agent_orders.on_order_answer(tables, event, now)
    ),
    agent_events.PermitAnswer: agent_orders.on_permit,
    agent_events.CacheEvents: lambda tables, event, now, out: (
        agent_reports.on_cache_events(tables, event)
    ),
    agent_events.KvExported: agent_drain.on_exported,
    agent_events.ServiceAnswer: agent_calls.on_answer,
    agent_events.ServiceFailed: agent_calls.on_failed,
    agent_events.CallsAppended: agent_call_log.on_appended,
    agent_events.CallsRead: agent_call_log.on_read,
    agent_events.CallLogFailed: agent_call_log.on_failed,
    agent_events.ConfigChanged: lambda tables, event, now, out: (
        agent_orders.on_config_changed(tables, event, now)
    ),
    agent_events.ModelAssigned: lambda tables, event, now, out: (
        agent_orders.on_model_assigned(tables, event, now)
    ),
    agent_events.DrainRequested: lambda tables, event, now, out: (
        agent_drain.begin(tables, now, out)
    ),
}
