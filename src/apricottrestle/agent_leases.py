"""Leases on KV cache for groups and exports, and their reconciliation.

Invariants: each lease ends by this agent's clock alone; an allocation of the
engine that no lease or run of this agent owns is freed after a grace period,
whichever message was lost.
"""

from typing import Final

from apricottrestle import (
    agent_events,
    agent_queue,
    agent_streams,
    agent_tables,
    messages,
    metrics,
)

RECONCILE_INTERVAL_S: Final = 5.0
DRAIN_RECONCILE_INTERVAL_S: Final = 1.0
"""Interval between two reads of the engine's allocations during a drain. It is
shorter than RECONCILE_INTERVAL_S, so that the drain soon learns that the memory
of its runs has been freed."""

ORPHAN_GRACE_S: Final = 10.0
"""Time after which an allocation without owner is freed. It is longer than the
time from the start of a run until the engine lists its allocation."""

MAX_LEASE_MS: Final = 10_000
_MAX_ENDED_GROUPS: Final = 4_096

Commands = list[agent_events.Command]


def on_reserve(
    tables: agent_tables.Tables,
    routing_id: bytes,
    msg: messages.Reserve,
    now: float,
    out: Commands,
) -> None:
    """Allocates memory for a group, or refuses.

    A repeated Reserve gets the same answer as the first.
    """
    existing_allocation = tables.group_allocations.get(msg.group_id)
    if existing_allocation is not None:
        lease = tables.leases[existing_allocation]
        if lease.granted:
            _send_reserved(tables, routing_id, lease, out)
        elif routing_id not in lease.waiters:
            lease.waiters.append(routing_id)
        return
    lease_s = tables.remaining_s(min(msg.lease_ms, MAX_LEASE_MS), now)
    reason = _refusal_reason(tables, msg, lease_s)
    if reason:
        refuse_group(routing_id, msg.group_id, reason, out)
        return
    allocation = f"{tables.params.incarnation}-{tables.next_allocation_seq}"
    tables.next_allocation_seq += 1
    lease = agent_tables.Lease(
        allocation,
        agent_tables.LeaseKind.GROUP,
        msg.group_id,
        msg.tokens,
        now + lease_s,
    )
    lease.waiters.append(routing_id)
    lease.routing_id = routing_id
    tables.leases[allocation] = lease
    tables.group_allocations[msg.group_id] = allocation
    out.append(
        agent_events.Allocate(allocation, msg.tokens, int(lease_s * 1000))
    )


def _refusal_reason(
    tables: agent_tables.Tables, msg: messages.Reserve, lease_s: float
) -> str:
    if tables.drain.active:
        return "draining"
    if msg.group_id in tables.ended_groups:
        return "group_ended"
    if lease_s <= 0:
        return "lapsed"
    if tables.orders.switching_model:
        return "model_changing"
    if tables.engine.failed_polls >= agent_queue.ENGINE_DOWN_FAILED_POLLS:
        return "upstream_down"
    if msg.tokens > agent_queue.kv_tokens_free(tables):
        return "no_memory"
    return ""


def refuse_group(
    routing_id: bytes, group_id: str, reason: str, out: Commands
) -> None:
    """Sends a Reserved without allocation: the group has no memory here."""
    refused = messages.Reserved(group_id, "", "", reason)
    out.append(agent_events.Send(routing_id, refused))


def _send_reserved(
    tables: agent_tables.Tables,
    routing_id: bytes,
    lease: agent_tables.Lease,
    out: Commands,
) -> None:
    reserved = messages.Reserved(
        lease.owner, lease.allocation, tables.params.upstream_url, ""
    )
    out.append(agent_events.Send(routing_id, reserved))


def on_allocation(
    tables: agent_tables.Tables,
    event: agent_events.AllocationAnswer,
    now: float,
    out: Commands,
) -> None:
    """Answers the waiting entries with the engine's decision.

    An allocation that is granted after its lease has ended is freed. One that
    is not granted is freed too, since the engine may hold it if its answer was
    lost.
    """
    lease = tables.leases.get(event.allocation)
    if lease is None:
        if event.granted:
            out.append(agent_events.FreeAllocation(event.allocation))
        return
    if not event.granted:
        end(tables, lease, event.reason, now, out)
        return
    lease.granted = True
    for routing_id in lease.waiters:
        _send_reserved(tables, routing_id, lease, out)
    lease.waiters.clear()


def on_renew(
    tables: agent_tables.Tables,
    routing_id: bytes,
    msg: messages.Renew,
    now: float,
    out: Commands,
) -> None:
    """Extends a lease that has not lapsed."""
    allocation = tables.group_allocations.get(msg.group_id)
    if allocation is None:
        refuse_group(routing_id, msg.group_id, "lapsed", out)
        return
    lease = tables.leases[allocation]
    lease.routing_id = routing_id
    lease_s = tables.remaining_s(min(msg.lease_ms, MAX_LEASE_MS), now)
    if now + lease_s <= lease.deadline:
        return
    lease.deadline = now + lease_s
    out.append(agent_events.RenewAllocation(allocation, int(lease_s * 1000)))


def on_release(
    tables: agent_tables.Tables,
    msg: messages.Release,
    now: float,
    out: Commands,
) -> None:
    """Ends a reservation.

    The group is recorded as ended, because the release may arrive before its
    Reserve.
    """
    _record_ended_group(tables, msg.group_id)
    allocation = tables.group_allocations.get(msg.group_id)
    if allocation is not None:
        end(tables, tables.leases[allocation], "released", now, out)


def _record_ended_group(tables: agent_tables.Tables, group_id: str) -> None:
    tables.ended_groups[group_id] = None
    while len(tables.ended_groups) > _MAX_ENDED_GROUPS:
        tables.ended_groups.popitem(last=False)


def end(
    tables: agent_tables.Tables,
    lease: agent_tables.Lease,
    reason: str,
    now: float,
    out: Commands,
) -> None:
    """Ends a lease: frees its memory and fails the run that uses it."""
    del tables.leases[lease.allocation]
    if lease.kind is agent_tables.LeaseKind.EXPORT:
        out.append(agent_events.FreeExport(lease.allocation))
        return
    tables.group_allocations.pop(lease.owner, None)
    _record_ended_group(tables, lease.owner)
    out.append(agent_events.FreeAllocation(lease.allocation))
    for routing_id in lease.waiters:
        refuse_group(routing_id, lease.owner, reason, out)
    _end_group_run(tables, lease, now, out)


def _end_group_run(
    tables: agent_tables.Tables,
    lease: agent_tables.Lease,
    now: float,
    out: Commands,
) -> None:
    done = agent_tables.StreamPhase.DONE
    for stream in list(tables.streams.values()):
        group = stream.msg.group
        if (
            group
            and group[0].allocation == lease.allocation
            and stream.phase is not done
        ):
            agent_streams.fail(tables, stream, "group_lease_lapsed", now, out)


def expire(tables: agent_tables.Tables, now: float, out: Commands) -> None:
    """Ends the leases whose deadline has passed."""
    for lease in list(tables.leases.values()):
        if now >= lease.deadline:
            end(tables, lease, "lapsed", now, out)


def on_allocation_list(
    tables: agent_tables.Tables,
    event: agent_events.AllocationList,
    now: float,
    out: Commands,
) -> None:
    """Reconciles the engine's allocations with the leases and runs.

    Allocations without owner are freed after a grace period. A lease ends if
    its allocation is missing in two consecutive lists; a single list may be
    older than the allocation.
    """
    orphans_since: dict[str, float] = {}
    orphan_blocks = 0
    for row in event.rows:
        if row.allocation in tables.leases or row.request_id in tables.runs:
            continue
        orphan_blocks += row.blocks
        since = tables.engine.orphans_since.get(row.allocation, now)
        orphans_since[row.allocation] = since
        if now - since >= ORPHAN_GRACE_S:
            _free_orphan(row, out)
    tables.engine.orphans_since = orphans_since
    tables.engine.orphan_blocks = orphan_blocks
    listed = {row.allocation for row in event.rows}
    for lease in list(tables.leases.values()):
        if not lease.granted:
            continue
        lease.missing_lists = (
            0 if lease.allocation in listed else lease.missing_lists + 1
        )
        if lease.missing_lists >= 2:
            end(tables, lease, "lost", now, out)


def _free_orphan(row: agent_events.AllocationRow, out: Commands) -> None:
    metrics.ORPHANS_FREED.inc()
    if row.request_id:
        out.append(agent_events.CancelRun(row.request_id))
    out.append(agent_events.FreeAllocation(row.allocation))
    fields: dict[str, str | int | float] = {
        "allocation": row.allocation,
        "blocks": row.blocks,
    }
    out.append(agent_events.LogDecision("free_orphan", fields))


def poll_allocations(
    tables: agent_tables.Tables, now: float, out: Commands
) -> None:
    """Reads the engine's allocations at intervals."""
    if now >= tables.engine.next_allocation_poll_at:
        draining = tables.drain.active
        interval_s = (
            DRAIN_RECONCILE_INTERVAL_S if draining else RECONCILE_INTERVAL_S
        )
        tables.engine.next_allocation_poll_at = now + interval_s
        out.append(agent_events.PollAllocations())
