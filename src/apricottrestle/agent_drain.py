"""Drain: the planned stop of an agent.

A draining agent refuses new work, returns queued requests to their entries,
lets running requests finish, and moves those that outlast the grace period.

Invariant: a drain never ends a generation without sending Moved, and never
interrupts a call to a service.
"""

from typing import Final

from apricottrestle import (
    agent_calls,
    agent_events,
    agent_leases,
    agent_streams,
    agent_tables,
    messages,
)

EXPORT_TIMEOUT_S: Final = 2.0
"""Time for the answer to ExportKv; without one, the run is moved without its KV
cache."""

EXPORT_LEASE_MS: Final = 10_000
EXIT_DELAY_S: Final = 2.0
"""Time from the end of the last work to the exit. It suffices to send the
remaining frames and to list the engine's allocations once more."""

MAX_ORPHAN_WAIT_S: Final = 20.0
"""Maximum time after the grace period that the agent waits until the engine's
allocations without owner are freed. The agent frees them after
agent_leases.ORPHAN_GRACE_S, unless the engine doesn't answer."""

Commands = list[agent_events.Command]
Phase = agent_tables.StreamPhase


def begin(tables: agent_tables.Tables, now: float, out: Commands) -> None:
    """Starts the drain; repeated requests change nothing."""
    if tables.drain.active:
        return
    tables.drain.active = True
    grace_s = tables.params.grace_s
    tables.drain.deadline = now + grace_s
    draining = messages.Draining(int(grace_s * 1000))
    out.extend(
        agent_events.Send(peer, draining) for peer in tables.reachable_peers()
    )
    out.append(
        agent_events.LogDecision("drain", {"streams": len(tables.streams)})
    )
    for row in list(tables.streams.values()):
        if row.phase in {Phase.BODY, Phase.QUEUED}:
            _send_moved(tables, row, None, now, out)


def _send_moved(
    tables: agent_tables.Tables,
    row: agent_tables.Stream,
    kv: messages.KvHandle | None,
    now: float,
    out: Commands,
) -> None:
    moved = messages.Moved(row.msg.req_id, row.msg.attempt, row.sent_offset, kv)
    out.append(agent_events.Send(row.routing_id, moved))
    agent_streams.end(tables, row, "moved", now, out)


def on_exported(
    tables: agent_tables.Tables,
    event: agent_events.KvExported,
    now: float,
    out: Commands,
) -> None:
    """Moves a run with its exported KV cache; frees a late export."""
    req_id = tables.runs.get(event.run_id)
    row = tables.streams.get(req_id) if req_id is not None else None
    if row is None or not row.exporting:
        if event.handle:
            out.append(agent_events.FreeExport(event.handle))
        return
    if not event.handle:
        _send_moved(tables, row, None, now, out)
        return
    lease = agent_tables.Lease(
        event.handle,
        agent_tables.LeaseKind.EXPORT,
        event.run_id,
        len(row.tokens) + row.msg.prompt_tokens,
        now + EXPORT_LEASE_MS / 1000,
    )
    lease.granted = True
    tables.leases[event.handle] = lease
    kv = messages.KvHandle(tables.params.upstream_url, event.handle)
    _send_moved(tables, row, kv, now, out)


def tick(tables: agent_tables.Tables, now: float, out: Commands) -> None:
    """Ends remaining work near the end of the grace period.

    Exits when no work has been left for EXIT_DELAY_S.
    """
    if not tables.drain.active or tables.drain.exited:
        return
    if now >= tables.drain.deadline - EXPORT_TIMEOUT_S:
        _end_remaining_work(tables, now, out)
    if _has_remaining_work(tables, now):
        tables.drain.exit_at = float("inf")
        return
    if tables.drain.exit_at == float("inf"):
        tables.drain.exit_at = now + EXIT_DELAY_S
    if now >= tables.drain.exit_at:
        tables.drain.exited = True
        out.append(agent_events.Exit())


def _end_remaining_work(
    tables: agent_tables.Tables, now: float, out: Commands
) -> None:
    for row in list(tables.streams.values()):
        if row.phase is not Phase.RUNNING:
            continue
        if now >= tables.drain.deadline:
            _send_moved(tables, row, None, now, out)
        elif not row.exporting and not row.msg.group:
            row.exporting = True
            out.append(agent_events.ExportKv(row.run_id, EXPORT_LEASE_MS))
    for lease in list(tables.leases.values()):
        if lease.kind is agent_tables.LeaseKind.GROUP:
            _end_reservation(tables, lease, now, out)


def _end_reservation(
    tables: agent_tables.Tables,
    lease: agent_tables.Lease,
    now: float,
    out: Commands,
) -> None:
    """Sends the entry a refusal; ends the reservation at the drain's deadline.

    The refusal tells the entry early that its group loses this member.
    """
    if now >= tables.drain.deadline:
        agent_leases.end(tables, lease, "draining", now, out)
    elif lease.routing_id:
        agent_leases.refuse_group(
            lease.routing_id, lease.owner, "draining", out
        )
        lease.routing_id = b""


def _has_remaining_work(tables: agent_tables.Tables, now: float) -> bool:
    """Returns whether a stream, call, completion or allocation is pending."""
    streams = any(not row.finished_sent for row in tables.streams.values())
    calls = any(
        agent_calls.is_under_way(call, now) for call in tables.calls.values()
    )
    log = tables.call_log
    unlogged = bool(log.completions or log.batch_completions) and log.available
    orphans = (
        bool(tables.engine.orphans_since)
        and now < tables.drain.deadline + MAX_ORPHAN_WAIT_S
    )
    return streams or calls or unlogged or orphans or bool(tables.leases)
