"""Messages that start, feed and stop a generation at its agent."""

from collections.abc import Sequence
from typing import Final

from apricottrestle import (
    entry_events,
    entry_tables,
    messages,
    metrics,
    routing,
)

_MAX_LOGGED_CANDIDATES: Final = 4


def build_route_request(
    row: entry_tables.RequestRow, now: float
) -> routing.RouteRequest:
    """Returns the input of routing and admission control for a request."""
    spec = row.spec
    return routing.RouteRequest(
        req_id=row.req_id,
        team=spec.team,
        priority=spec.priority,
        model=spec.model,
        version=row.version,
        adapter=spec.adapter,
        prompt_tokens=spec.prompt_tokens,
        max_tokens=spec.max_tokens,
        prefix_blocks=spec.prefix_blocks,
        remaining_s=max(0.0, row.deadline - now),
        excluded=frozenset(row.excluded),
    )


def log_route_decision(
    tables: entry_tables.Tables,
    row: entry_tables.RequestRow,
    agents: Sequence[str],
    reason: str,
    candidates: Sequence[routing.ScoredCandidate] = (),
) -> None:
    """Emits the log line of a routing decision."""
    spec = row.spec
    tables.emit(
        entry_events.LogDecision(
            "route",
            {
                "req_id": row.req_id,
                "attempt": row.attempt,
                "team": spec.team,
                "priority": messages.PRIORITIES[spec.priority],
                "model": spec.model,
                "version": row.version,
                "prompt_tokens": spec.prompt_tokens,
                "agents": list(agents),
                "reason": reason,
                "candidates": [
                    f"{candidate.agent_id}={candidate.first_token_s:.3f}s"
                    for candidate in candidates[:_MAX_LOGGED_CANDIDATES]
                ],
            },
        )
    )


def submit_attempt(
    tables: entry_tables.Tables,
    row: entry_tables.RequestRow,
    agent_id: str,
    group: list[messages.GroupMember],
    now: float,
) -> None:
    """Sends the next attempt to an agent, the leader if there is a group."""
    spec = row.spec
    # The attempt of a group was counted when its reservation started.
    if not group:
        row.attempt += 1
    row.logged_wait_reason = ""
    row.agent_id = agent_id
    row.incarnation = tables.peers[agent_id].incarnation
    row.state = "sent"
    row.finished = None
    row.last_message_at = now
    row.last_attach_at = now - entry_tables.RESYNC_INTERVAL_S
    row.attach_pending = False
    row.next_chunk = 0
    row.credit = credit_limit(row)
    inline = len(spec.body) <= messages.INLINE_BODY_BYTES
    msg = messages.Submit(
        req_id=row.req_id,
        attempt=row.attempt,
        team=spec.team,
        weight=spec.weight,
        priority=spec.priority,
        model=spec.model,
        version=row.version,
        adapter=spec.adapter,
        prompt_tokens=spec.prompt_tokens,
        max_tokens=spec.max_tokens,
        remaining_ms=entry_tables.remaining_ms(row.deadline, now),
        credit_tokens=row.credit,
        prefix_blocks=list(spec.prefix_blocks),
        forced_prefix=list(row.tokens),
        body_bytes=len(spec.body),
        group=group,
        kv=row.kv,
    )
    row.kv = None
    tables.upstreams.record_submit(agent_id, spec.prompt_tokens, spec.priority)
    # The engine will cache this prefix; its cache summary arrives much later.
    tables.upstreams.add_cached_blocks(agent_id, spec.prefix_blocks)
    tables.send(agent_id, msg, spec.body if inline else b"")


def body_chunk_count(row: entry_tables.RequestRow) -> int:
    """Returns the number of body chunks; 0 when the body is sent inline."""
    size = messages.INLINE_BODY_BYTES
    length = len(row.spec.body)
    return -(-length // size) if length > size else 0


def send_body_chunks(
    tables: entry_tables.Tables, row: entry_tables.RequestRow, upto: int
) -> None:
    """Sends the body chunks numbered below `upto`."""
    body = row.spec.body
    size = messages.INLINE_BODY_BYTES
    count = body_chunk_count(row)
    conn = tables.peers[row.agent_id].conn
    while row.next_chunk < min(upto, count):
        start = row.next_chunk * size
        chunk = messages.BodyChunk(
            row.req_id, row.attempt, row.next_chunk, row.next_chunk + 1 == count
        )
        tables.emit(
            entry_events.SendBulk(conn, chunk, body[start : start + size])
        )
        row.next_chunk += 1


def send_attach(
    tables: entry_tables.Tables, row: entry_tables.RequestRow, now: float
) -> None:
    """Asks the agent for the stream from the first missing token on.

    The credit in an Attach is relative to its offset.
    """
    row.last_attach_at = now
    row.attach_pending = True
    row.credit = credit_limit(row)
    offset = len(row.tokens)
    msg = messages.Attach(
        row.req_id,
        row.spec.team,
        offset,
        entry_tables.remaining_ms(row.deadline, now),
        max(0, row.credit - offset),
    )
    tables.send(row.agent_id, msg)


def credit_limit(row: entry_tables.RequestRow) -> int:
    """Returns the offset up to which the agent may send.

    Only streams are limited by what their caller has read; other answers are
    collected whole in this process.
    """
    base = row.flushed_tokens if row.spec.stream else len(row.tokens)
    return base + entry_tables.CREDIT_WINDOW_TOKENS


def extend_credit(
    tables: entry_tables.Tables, row: entry_tables.RequestRow
) -> None:
    """Sends new credit once a quarter of the window has been used."""
    limit = credit_limit(row)
    if limit - row.credit < entry_tables.CREDIT_WINDOW_TOKENS // 4:
        return
    if not row.agent_id or row.finished is not None:
        return
    row.credit = limit
    tables.send(row.agent_id, messages.Credit(row.req_id, row.attempt, limit))


def end_attempt(
    tables: entry_tables.Tables,
    row: entry_tables.RequestRow,
    cancel_reason: str,
) -> None:
    """Ends the current attempt and releases what it holds.

    Args:
        tables: Tables.
        row: Request.
        cancel_reason: Reason to cancel the attempt at its agent; "" when the
            agent has ended it or is lost.
    """
    if row.agent_id:
        if cancel_reason:
            msg = messages.Cancel(row.req_id, row.attempt, cancel_reason)
            tables.send(row.agent_id, msg)
        if row.state != "attaching":
            tables.upstreams.record_end(row.agent_id)
    release_group(tables, row.group_id)
    row.group_id = ""
    row.agent_id = ""
    row.incarnation = ""
    row.finished = None


def release_group(tables: entry_tables.Tables, group_id: str) -> None:
    """Releases a group at all members that may hold memory for it."""
    group = tables.groups.pop(group_id, None)
    if group is None:
        return
    contacted = len(group.members) + 1
    for agent_id in group.agents[:contacted]:
        tables.send(agent_id, messages.Release(group_id))


def count_retry(reason: str) -> None:
    """Counts a retry by its reason."""
    metrics.RETRIES.labels(reason).inc()
