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
    agent_orders.detect_pause(tables, now)
    _expire(tables, now, out)
    for event in events:
        _EVENTS[type(event)](tables, event, now, out)
    _run_systems(tables, now, out)
    return out


def _expire(tables: agent_tables.Tables, now: float, out: Commands) -> None:
    if now - tables.last_expiry < EXPIRY_INTERVAL_S:
        return
    tables.last_expiry = now
    agent_leases.expire(tables, now, out)
    agent_streams.expire(tables, now, out)
    agent_calls.expire(tables, now, out)


def _run_systems(
    tables: agent_tables.Tables, now: float, out: Commands
) -> None:
    if tables.params.kind == "engine":
        agent_queue.start_ready(tables, now, out)
        agent_leases.poll(tables, now, out)
    else:
        agent_call_log.tick(tables, now, out)
        agent_calls.start_ready(tables, now, out)
    agent_streams.flush(tables, now, out)
    agent_orders.tick(tables, now, out)
    agent_reports.tick(tables, now, out)
    agent_drain.tick(tables, now, out)


def _on_frame(
    tables: agent_tables.Tables,
    event: agent_events.FrameIn,
    now: float,
    out: Commands,
) -> None:
    got = event.got
    tables.entries[got.sender] = now
    if not event.routing_id:
        if isinstance(got.msg, messages.BodyChunk):
            agent_queue.on_body_chunk(tables, got.msg, got.body, now, out)
        return
    peer = tables.peers.get(event.routing_id)
    if peer is None:
        peer = agent_tables.Peer(got.sender, now)
        tables.peers[event.routing_id] = peer
    peer.last_seen = now
    peer.unsendable = False
    agent_orders.on_frame_revision(
        tables, event.routing_id, got.config_rev, now, out
    )
    handler = _FRAMES.get(type(got.msg))
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
        peer.unsendable = True


def _on_unreachable(
    tables: agent_tables.Tables,
    event: agent_events.EngineUnreachable,
    now: float,
    out: Commands,
) -> None:
    tables.engine.failures += 1


_FrameHandler = Callable[
    [agent_tables.Tables, bytes, messages.Received, float, Commands], None
]
_EventHandler = Callable[[agent_tables.Tables, Any, float, Commands], None]

_T = TypeVar("_T")


def _as(kind: type[_T], got: messages.Received) -> _T:
    assert isinstance(got.msg, kind)
    return got.msg


_FRAMES: Final[dict[type, _FrameHandler]] = {
    messages.Hello: _on_hello,
    messages.Ping: _on_ping,
    messages.Submit: lambda t, peer, got, now, out: agent_queue.on_submit(
        t, peer, got, _as(messages.Submit, got), now, out
    ),
    messages.Attach: lambda t, peer, got, now, out: agent_streams.on_attach(
        t, peer, got, _as(messages.Attach, got), now, out
    ),
    messages.Cancel: lambda t, peer, got, now, out: agent_streams.on_cancel(
        t, got, _as(messages.Cancel, got), now, out
    ),
    messages.Credit: lambda t, peer, got, now, out: agent_streams.on_credit(
        t, got, _as(messages.Credit, got)
    ),
    messages.CallSubmit: lambda t, peer, got, now, out: agent_calls.on_submit(
        t, peer, got, _as(messages.CallSubmit, got), now, out
    ),
    messages.CallQuery: lambda t, peer, got, now, out: agent_calls.on_query(
        t, peer, _as(messages.CallQuery, got), now, out
    ),
    messages.KeyRequest: lambda t, peer, got, now, out: (
        agent_calls.on_key_request(
            t, peer, _as(messages.KeyRequest, got), now, out
        )
    ),
    messages.Reserve: lambda t, peer, got, now, out: agent_leases.on_reserve(
        t, peer, _as(messages.Reserve, got), now, out
    ),
    messages.Renew: lambda t, peer, got, now, out: agent_leases.on_renew(
        t, peer, _as(messages.Renew, got), now, out
    ),
    messages.Release: lambda t, peer, got, now, out: agent_leases.on_release(
        t, _as(messages.Release, got), now, out
    ),
    messages.ConfigRequest: lambda t, peer, got, now, out: out.append(
        agent_events.AnswerConfig(peer, _as(messages.ConfigRequest, got).after)
    ),
    messages.ConfigUpdate: lambda t, peer, got, now, out: (
        agent_orders.on_config_update(
            t, got, _as(messages.ConfigUpdate, got), out
        )
    ),
}


_EVENTS: Final[dict[type, _EventHandler]] = {
    agent_events.FrameIn: _on_frame,
    agent_events.SendFailed: _on_send_failed,
    agent_events.RunTokens: agent_streams.on_tokens,
    agent_events.RunDone: agent_streams.on_done,
    agent_events.RunFailed: agent_streams.on_failed,
    agent_events.EngineLoad: lambda t, ev, now, out: (
        agent_reports.on_engine_load(t, ev, now)
    ),
    agent_events.EngineUnreachable: _on_unreachable,
    agent_events.AllocationAnswer: agent_leases.on_allocation,
    agent_events.AllocationList: agent_leases.on_list,
    agent_events.EngineConfig: agent_orders.on_engine_config,
    agent_events.OrderAnswer: lambda t, ev, now, out: (
        agent_orders.on_order_answer(t, ev, now)
    ),
    agent_events.PermitAnswer: agent_orders.on_permit,
    agent_events.CacheEvents: lambda t, ev, now, out: (
        agent_reports.on_cache_events(t, ev)
    ),
    agent_events.KvExported: agent_drain.on_exported,
    agent_events.ServiceAnswer: agent_calls.on_answer,
    agent_events.ServiceFailed: agent_calls.on_failed,
    agent_events.CallsAppended: agent_call_log.on_appended,
    agent_events.CallsRead: agent_call_log.on_read,
    agent_events.CallLogFailed: agent_call_log.on_failed,
    agent_events.ConfigChanged: lambda t, ev, now, out: (
        agent_orders.on_config_changed(t, ev, now)
    ),
    agent_events.ModelAssigned: lambda t, ev, now, out: (
        agent_orders.on_model_assigned(t, ev, now)
    ),
    agent_events.DrainRequested: lambda t, ev, now, out: agent_drain.begin(
        t, now, out
    ),
}
