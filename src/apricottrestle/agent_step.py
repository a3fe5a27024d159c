"""The agent's step: events in, commands out, no I/O.

Invariant: within a step, deadlines, leases and retention expire before any
event is handled, so that an event handled after a pause finds lapsed what
lapsed during the pause.
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
"""Events may come at a far higher rate than deadlines need to be checked."""

Commands = list[agent_events.Command]


def step(
    tables: agent_tables.Tables,
    events: Sequence[agent_events.Event],
    now: float,
) -> list[agent_events.Command]:
    """Advances the agent to a point in time.

    Args:
        tables: State; changed in place.
        events: Events since the last step, in order of arrival.
        now: Monotonic seconds, not below that of the last step.

    Returns:
        Commands for the daemon, to be started in order.
    """
    out: Commands = []
    agent_orders.note_tick(tables, now)
    _expire(tables, now, out)
    for event in events:
        _EVENT_HANDLERS[type(event)](tables, event, now, out)
    _run_each_step(tables, now, out)
    return out


def _expire(tables: agent_tables.Tables, now: float, out: Commands) -> None:
    if now - tables.last_expiry_at < EXPIRY_INTERVAL_S:
        return
    tables.last_expiry_at = now
    agent_leases.expire(tables, now, out)
    agent_streams.expire(tables, now, out)
    agent_calls.expire(tables, now, out)


def _run_each_step(
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
    got = event.received
    tables.entry_last_frame_at[got.sender] = now
    if not event.routing_id:
        if isinstance(got.msg, messages.BodyChunk):
            agent_queue.on_body_chunk(tables, got.msg, got.body, now, out)
        return
    peer = tables.peers.get(event.routing_id)
    if peer is None:
        peer = agent_tables.Peer(got.sender, now)
        tables.peers[event.routing_id] = peer
    peer.last_frame_at = now
    peer.send_failed = False
    agent_orders.on_frame_revision(
        tables, event.routing_id, got.config_rev, now, out
    )
    handler = _FRAME_HANDLERS.get(type(got.msg))
    if handler is not None:
        handler(tables, event.routing_id, got, now, out)


def _on_hello(
    tables: agent_tables.Tables,
    routing_id: bytes,
    got: messages.Received,
    now: float,
    out: Commands,
) -> None:
    agent_reports.on_hello(tables, routing_id, now, out)


def _on_ping(
    tables: agent_tables.Tables,
    routing_id: bytes,
    got: messages.Received,
    now: float,
    out: Commands,
) -> None:
    msg = got.msg
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
    """Sends no more until a frame shows that the connection works.

    The row stays, because its count of submits goes with the connection.
    """
    peer = tables.peers.get(event.routing_id)
    if peer is not None:
        peer.send_failed = True


def _on_unreachable(
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

_T = TypeVar("_T")


def _checked_msg(kind: type[_T], got: messages.Received) -> _T:
    assert isinstance(got.msg, kind)
    return got.msg


_FRAME_HANDLERS: Final[dict[type, _FrameHandler]] = {
    messages.Hello: _on_hello,
    messages.Ping: _on_ping,
    messages.Submit: lambda t, peer, got, now, out: agent_queue.on_submit(
        t, peer, got, _checked_msg(messages.Submit, got), now, out
    ),
    messages.Attach: lambda t, peer, got, now, out: agent_streams.on_attach(
        t, peer, got, _checked_msg(messages.Attach, got), now, out
    ),
    messages.Cancel: lambda t, peer, got, now, out: agent_streams.on_cancel(
        t, got, _checked_msg(messages.Cancel, got), now, out
    ),
    messages.Credit: lambda t, peer, got, now, out: agent_streams.on_credit(
        t, got, _checked_msg(messages.Credit, got)
    ),
    messages.CallSubmit: lambda t, peer, got, now, out: agent_calls.on_submit(
        t, peer, got, _checked_msg(messages.CallSubmit, got), now, out
    ),
    messages.CallQuery: lambda t, peer, got, now, out: agent_calls.on_query(
        t, peer, _checked_msg(messages.CallQuery, got), now, out
    ),
    messages.KeyRequest: lambda t, peer, got, now, out: (
        agent_calls.on_key_request(
            t, peer, _checked_msg(messages.KeyRequest, got), now, out
        )
    ),
    messages.Reserve: lambda t, peer, got, now, out: agent_leases.on_reserve(
        t, peer, _checked_msg(messages.Reserve, got), now, out
    ),
    messages.Renew: lambda t, peer, got, now, out: agent_leases.on_renew(
        t, peer, _checked_msg(messages.Renew, got), now, out
    ),
    messages.Release: lambda t, peer, got, now, out: agent_leases.on_release(
        t, _checked_msg(messages.Release, got), now, out
    ),
    messages.ConfigRequest: lambda t, peer, got, now, out: out.append(
        agent_events.SendConfigUpdate(
            peer, _checked_msg(messages.ConfigRequest, got).after
        )
    ),
    messages.ConfigUpdate: lambda t, peer, got, now, out: (
        agent_orders.on_update(
            t, got, _checked_msg(messages.ConfigUpdate, got), out
        )
    ),
}


_EVENT_HANDLERS: Final[dict[type, _EventHandler]] = {
    agent_events.FrameReceived: _on_frame,
    agent_events.SendFailed: _on_send_failed,
    agent_events.RunTokens: agent_streams.on_tokens,
    agent_events.RunFinished: agent_streams.on_done,
    agent_events.RunFailed: agent_streams.on_failed,
    agent_events.EngineLoad: lambda t, ev, now, out: agent_reports.on_load(
        t, ev, now
    ),
    agent_events.EnginePollFailed: _on_unreachable,
    agent_events.AllocationAnswer: agent_leases.on_allocation,
    agent_events.AllocationList: agent_leases.on_allocation_list,
    agent_events.EngineConfig: agent_orders.on_read_back,
    agent_events.OrderAnswer: lambda t, ev, now, out: (
        agent_orders.on_order_answer(t, ev, now)
    ),
    agent_events.PermitAnswer: agent_orders.on_permit,
    agent_events.CacheEvents: lambda t, ev, now, out: agent_reports.on_cache(
        t, ev
    ),
    agent_events.KvExported: agent_drain.on_exported,
    agent_events.ServiceAnswer: agent_calls.on_answer,
    agent_events.ServiceFailed: agent_calls.on_failed,
    agent_events.CallsAppended: agent_call_log.on_appended,
    agent_events.CallsRead: agent_call_log.on_read,
    agent_events.CallLogFailed: agent_call_log.on_failed,
    agent_events.ConfigChanged: lambda t, ev, now, out: agent_orders.on_changed(
        t, ev, now
    ),
    agent_events.ModelAssigned: lambda t, ev, now, out: (
        agent_orders.on_assigned(t, ev, now)
    ),
    agent_events.DrainRequested: lambda t, ev, now, out: agent_drain.begin(
        t, now, out
    ),
}
