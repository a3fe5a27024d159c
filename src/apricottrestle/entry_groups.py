"""Reservation of several engines for a prompt that is too large for one.

Members are reserved all or none, one after the other in ascending order of
agent id. Two groups that need the same engines therefore conflict at the first
common one, which rules out a deadlock.

Invariant: a group row exists as long as a member may hold memory on behalf of
this entry. A row is removed when the group is released or its stream is handed
over to another entry. If a Release is lost, the member's lease expires.
"""

from typing import Literal

from apricottrestle import (
    entry_dispatch,
    entry_peers,
    entry_tables,
    messages,
    routing,
    upstream_table,
)

ReservationResult = Literal["none", "ready", "broken"]


def max_kv_tokens(row: entry_tables.RequestRow) -> int:
    """Returns the maximum KV memory of the request, in tokens."""
    return row.spec.prompt_tokens + row.spec.max_tokens


def fits_one_engine(
    tables: entry_tables.Tables, agent_id: str, tokens: int
) -> bool:
    """Returns whether the KV memory of an engine can hold this many tokens.

    True if the engine's size is not known yet; its agent then decides.
    """
    total = tables.upstreams.rows[agent_id].report.kv_tokens_total
    return total == 0 or tokens <= total


def choose_members(
    tables: entry_tables.Tables, req: routing.RouteRequest, tokens: int
) -> list[str]:
    """Chooses the smallest group of engines that can hold this many tokens.

    Returns:
        Agent ids in ascending order; a single one if one engine can hold all
        tokens, an empty list if even the largest possible group cannot.
    """
    rows = [
        row
        for row in tables.upstreams.usable_rows(req.model)
        if routing.can_serve(row, req) and row.report.kv_tokens_total > 0
    ]
    rows.sort(
        key=lambda row: (-_free_kv_tokens(row), row.outstanding, row.agent_id)
    )
    for count in range(1, entry_tables.MAX_GROUP_MEMBERS + 1):
        tokens_per_member = -(-tokens // count)
        large_enough = [
            r for r in rows if r.report.kv_tokens_total >= tokens_per_member
        ]
        if len(large_enough) >= count:
            return sorted(row.agent_id for row in large_enough[:count])
    return []


def _free_kv_tokens(row: upstream_table.UpstreamRow) -> int:
    return row.report.kv_tokens_free


def start_reservation(
    tables: entry_tables.Tables,
    row: entry_tables.RequestRow,
    agents: list[str],
    now: float,
) -> None:
    """Starts to reserve the members in ascending order.

    Each reservation has a new attempt number and so a new group id: agents
    refuse a released group id, since a late Reserve for it may still arrive.
    """
    row.attempt += 1
    group_id = f"{row.req_id}.{row.attempt}"
    tokens_per_member = -(-max_kv_tokens(row) // len(agents))
    group = entry_tables.GroupRow(
        group_id, row.req_id, agents, tokens_per_member
    )
    group.renewed_at = now
    tables.groups[group_id] = group
    row.group_id = group_id
    row.state = "reserving"
    _reserve_next(tables, group, now)


def _reserve_next(
    tables: entry_tables.Tables, group: entry_tables.GroupRow, now: float
) -> None:
    agent_id = group.agents[len(group.members)]
    group.reserve_sent_at = now
    msg = messages.Reserve(
        group.group_id, group.tokens_per_member, entry_tables.GROUP_LEASE_MS
    )
    tables.send(agent_id, msg)


def on_reserved(
    tables: entry_tables.Tables,
    agent_id: str,
    msg: messages.Reserved,
    now: float,
) -> tuple[ReservationResult, str]:
    """Handles a member's answer to a Reserve or Renew.

    Returns:
        The result, and the request id of the group. The result is "ready" when
        all members are reserved, "broken" when the group must be released
        because a member refused or its lease expired, else "none".
    """
    group = tables.groups.get(msg.group_id)
    if group is None:
        if msg.allocation:
            tables.send(agent_id, messages.Release(msg.group_id))
        return "none", ""
    if agent_id not in group.agents:
        return "none", ""
    if not msg.allocation:
        return "broken", group.req_id
    index = len(group.members)
    if index >= len(group.agents) or group.agents[index] != agent_id:
        return "none", ""
    group.members.append(
        messages.GroupMember(agent_id, msg.engine_url, msg.allocation)
    )
    if index + 1 < len(group.agents):
        _reserve_next(tables, group, now)
        return "none", ""
    return "ready", group.req_id


def adopt_group(
    tables: entry_tables.Tables,
    row: entry_tables.RequestRow,
    members: list[messages.GroupMember],
    now: float,
) -> None:
    """Takes over the lease renewal of a group that another entry reserved."""
    if not members or row.group_id:
        return
    agents = [member.agent_id for member in members]
    group_id = f"{row.req_id}.{row.attempt}"
    group = entry_tables.GroupRow(group_id, row.req_id, agents, 0)
    group.members = list(members)
    tables.groups[group_id] = group
    for agent_id in agents:
        instance = tables.instances.get(agent_id)
        if instance is not None and agent_id not in tables.peers:
            entry_peers.connect(tables, instance, now)
    row.group_id = group_id
    _renew(tables, group, now)


def tick(tables: entry_tables.Tables, now: float) -> list[str]:
    """Renews the leases that are due.

    Returns:
        Request ids of groups in which a member has not answered in time.
    """
    overdue = []
    for group in tables.groups.values():
        incomplete = len(group.members) < len(group.agents)
        if (
            incomplete
            and now - group.reserve_sent_at >= entry_tables.RESERVE_TIMEOUT_S
        ):
            overdue.append(group.req_id)
        elif now - group.renewed_at >= entry_tables.LEASE_RENEW_INTERVAL_S:
            _renew(tables, group, now)
    return overdue


def _renew(
    tables: entry_tables.Tables, group: entry_tables.GroupRow, now: float
) -> None:
    group.renewed_at = now
    msg = messages.Renew(group.group_id, entry_tables.GROUP_LEASE_MS)
    for member in group.members:
        tables.send(member.agent_id, msg)


def requests_with_member(
    tables: entry_tables.Tables, agent_id: str
) -> list[str]:
    """Returns the request ids of groups that an agent is a member of."""
    return [
        group.req_id
        for group in tables.groups.values()
        if agent_id in group.agents
    ]


def submit_reserved(
    tables: entry_tables.Tables, row: entry_tables.RequestRow, now: float
) -> None:
    """Submits a request to its group's leader once all members are reserved."""
    group = tables.groups[row.group_id]
    leader = group.agents[0]
    entry_dispatch.log_route_decision(
        tables, row, group.agents, "group_reserved"
    )
    entry_dispatch.submit_attempt(tables, row, leader, list(group.members), now)
