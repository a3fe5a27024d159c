"""Acceptance, queue and start of generations.

Invariants: an attempt is accepted or refused at once; a refusal is final for
its attempt, so that a late duplicate of the submit can't run it after all; the
agent starts no more than the engine's memory and slots take.
"""

import heapq
from typing import Final

from apricottrestle import (
    agent_events,
    agent_streams,
    agent_tables,
    hashing,
    messages,
    queueing,
    queueing_fair,
)

BODY_WINDOW_CHUNKS: Final = 8
MAX_BODY_BYTES: Final = 16 * 1024 * 1024
MAX_HELD_BODY_BYTES: Final = 20 * 1024 * 1024
"""Bound of all prompt bodies held: one of the largest and some small ones."""

ENGINE_DOWN_FAILED_POLLS: Final = 3
"""Failed load polls in a row, one a second, after which work is refused."""

_RUN_LEASE_MARGIN_S: Final = 5.0
_MIN_RETRY_MS: Final = 200

Commands = list[agent_events.Command]


def on_submit(
    tables: agent_tables.Tables,
    routing_id: bytes,
    got: messages.Received,
    msg: messages.Submit,
    now: float,
    out: Commands,
) -> None:
    """Accepts or refuses an attempt."""
    peer = tables.peers[routing_id]
    peer.submits_received += 1
    known = tables.streams.get(msg.req_id)
    if known is not None and msg.attempt <= known.msg.attempt:
        if msg.attempt == known.msg.attempt and got.sender == known.sender:
            out.append(agent_events.Send(routing_id, _accepted(msg)))
        return
    ended = tables.ended_attempts.get(msg.req_id)
    if ended is not None and msg.attempt <= ended.attempt:
        out.append(agent_events.Send(routing_id, _repeat_outcome(msg, ended)))
        return
    if known is not None:
        agent_streams.end(tables, known, "superseded", now, out)
    deadline = now + tables.remaining_s(msg.remaining_ms, now)
    row = agent_tables.Stream(
        msg, routing_id, got.sender, tables.config.revision, now, deadline
    )
    reason = _refusal_reason(tables, row, got.body, now)
    if reason:
        _refuse_new(tables, row, reason, now, out)
        return
    tables.streams[msg.req_id] = row
    heapq.heappush(tables.deadlines, (deadline, msg.req_id))
    out.append(agent_events.Send(routing_id, _accepted(msg)))
    if msg.body_bytes > messages.INLINE_BODY_BYTES:
        tables.body_bytes += msg.body_bytes
        credit = messages.BodyCredit(
            msg.req_id, msg.attempt, BODY_WINDOW_CHUNKS
        )
        out.append(agent_events.Send(routing_id, credit))
        return
    row.body = got.body
    tables.body_bytes += msg.body_bytes
    _enqueue(tables, row, now)


def _accepted(msg: messages.Submit) -> messages.Accepted:
    return messages.Accepted(msg.req_id, msg.attempt, msg.group)


def _repeat_outcome(
    msg: messages.Submit, ended: agent_tables.EndedAttempt
) -> messages.Message:
    """Repeats the end of an attempt; only a proved one is called not run."""
    if ended.ran or ended.attempt != msg.attempt:
        return messages.Failed(msg.req_id, msg.attempt, "already_ended")
    return messages.Refused(
        msg.req_id, msg.attempt, ended.reason, _MIN_RETRY_MS
    )


def _refuse_new(
    tables: agent_tables.Tables,
    row: agent_tables.Stream,
    reason: str,
    now: float,
    out: Commands,
) -> None:
    msg = row.msg
    tables.record_ended(msg.req_id, msg.attempt, ran=False, reason=reason)
    retry_ms = _MIN_RETRY_MS
    if reason == "no_time":
        wait_s = tables.queue.expected_wait_s(
            queue_item(tables, row, now), engine_capacity(tables)
        )
        retry_ms = max(retry_ms, int(wait_s * 1000))
    refused = messages.Refused(msg.req_id, msg.attempt, reason, retry_ms)
    out.append(agent_events.Send(row.routing_id, refused))
    out.append(
        agent_events.LogDecision(
            "refuse",
            {
                "req_id": msg.req_id,
                "team": msg.team,
                "priority": msg.priority,
                "prompt_tokens": msg.prompt_tokens,
                "reason": reason,
            },
        )
    )


def _refusal_reason(
    tables: agent_tables.Tables,
    row: agent_tables.Stream,
    body: bytes,
    now: float,
) -> str:
    """Returns why the attempt can't be taken, or ""."""
    msg = row.msg
    reason = _upstream_refusal(tables, msg)
    if reason:
        return reason
    if row.deadline <= now:
        return "deadline"
    inline = msg.body_bytes <= messages.INLINE_BODY_BYTES
    if inline and len(body) != msg.body_bytes:
        return "body_mismatch"
    if msg.body_bytes > MAX_BODY_BYTES:
        return "too_large"
    full = tables.body_bytes + msg.body_bytes > MAX_HELD_BODY_BYTES
    if full or len(tables.queue) >= tables.params.max_queued:
        return "queue_full"
    if msg.group:
        return _group_refusal(tables, msg)
    if row.kv_tokens > kv_tokens_total(tables):
        return "too_large"
    item = queue_item(tables, row, now)
    found = engine_capacity(tables)
    start = now + tables.queue.expected_wait_s(item, found)
    in_time = tables.queue.can_meet_deadline(item, found, start)
    return "" if in_time else "no_time"


def _upstream_refusal(tables: agent_tables.Tables, msg: messages.Submit) -> str:
    engine = tables.engine
    if tables.drain.active:
        return "draining"
    if tables.params.kind != "engine":
        return "wrong_upstream"
    if engine.config is None or engine.load is None:
        return "not_ready"
    if not tables.catch_up.ever_confirmed:
        return "not_ready"
    if engine.failed_polls >= ENGINE_DOWN_FAILED_POLLS:
        return "upstream_down"
    if engine.config.model != msg.model:
        return "wrong_upstream"
    if tables.orders.switching_model:
        return "model_changing"
    served = f"{msg.model}@{msg.version}" in tables.config.versions
    if not served or msg.version not in engine.config.versions:
        return "version_not_served"
    if msg.adapter and msg.adapter not in engine.config.adapters:
        return "adapter_not_loaded"
    return ""


def _group_refusal(tables: agent_tables.Tables, msg: messages.Submit) -> str:
    leader = msg.group[0]
    lease = tables.leases.get(leader.allocation)
    if leader.agent_id != tables.params.agent_id:
        return "not_group_leader"
    if lease is None or not lease.granted:
        return "no_reservation"
    return ""


def on_body_chunk(
    tables: agent_tables.Tables,
    msg: messages.BodyChunk,
    body: bytes,
    now: float,
    out: Commands,
) -> None:
    """Takes a chunk of a prompt; duplicates and strays are dropped."""
    row = tables.streams.get(msg.req_id)
    if (
        row is None
        or row.msg.attempt != msg.attempt
        or row.phase is not agent_tables.StreamPhase.BODY
        or not row.next_chunk <= msg.chunk < row.next_chunk + BODY_WINDOW_CHUNKS
    ):
        return
    if msg.chunk in row.chunks:
        return
    row.chunks[msg.chunk] = body
    row.body_received += len(body)
    row.last_chunk_at = now
    while row.next_chunk in row.chunks:
        row.next_chunk += 1
    if row.body_received < row.msg.body_bytes:
        upto = row.next_chunk + BODY_WINDOW_CHUNKS
        credit = messages.BodyCredit(msg.req_id, msg.attempt, upto)
        out.append(agent_events.Send(row.routing_id, credit))
        return
    complete = row.next_chunk == len(row.chunks)
    if row.body_received > row.msg.body_bytes or not complete:
        agent_streams.refuse(tables, row, "body_mismatch", now, out)
        return
    row.body = b"".join(row.chunks[index] for index in sorted(row.chunks))
    row.chunks.clear()
    _enqueue(tables, row, now)


def _enqueue(
    tables: agent_tables.Tables, row: agent_tables.Stream, now: float
) -> None:
    row.phase = agent_tables.StreamPhase.QUEUED
    if row.msg.group:
        tables.queued_groups[row.msg.req_id] = row
    else:
        tables.queue.push(queue_item(tables, row, now))


def queue_item(
    tables: agent_tables.Tables, row: agent_tables.Stream, now: float
) -> queueing.QueueItem:
    """Returns the queue's view of a request."""
    msg = row.msg
    cached = cached_tokens(tables, msg.prefix_blocks)
    compute = msg.prompt_tokens + len(msg.forced_prefix) - cached
    return queueing.QueueItem(
        msg.req_id,
        msg.team,
        msg.weight,
        msg.priority,
        max(compute, 1),
        msg.max_tokens - len(msg.forced_prefix),
        row.kv_tokens,
        now,
        row.deadline,
    )


def cached_tokens(tables: agent_tables.Tables, blocks: list[int]) -> int:
    """Returns how many prompt tokens the engine's cache holds, as a hint."""
    held = 0
    for block in blocks:
        if block not in tables.cache.blocks:
            break
        held += hashing.PREFIX_BLOCK_TOKENS
    return held


def kv_tokens_total(tables: agent_tables.Tables) -> int:
    """Returns the engine's KV cache size in tokens."""
    load = tables.engine.load
    if load is None:
        return 0
    return load.kv_blocks_total * _block_tokens(tables)


def _block_tokens(tables: agent_tables.Tables) -> int:
    load = tables.engine.load
    told = load.block_tokens if load is not None else 0
    return told or tables.params.kv_block_tokens


def kv_tokens_free(tables: agent_tables.Tables) -> int:
    """Returns the KV cache that no run, lease or orphan holds, in tokens.

    The agent counts by itself, because the engine's report is late and the
    agent alone allocates.
    """
    block = _block_tokens(tables)
    used = tables.engine.orphan_blocks * block
    for req_id in tables.runs.values():
        row = tables.streams[req_id]
        used += _round_up(row.kv_tokens, block)
    for lease in tables.leases.values():
        used += _round_up(lease.tokens, block)
    return max(kv_tokens_total(tables) - used, 0)


def _round_up(tokens: int, block: int) -> int:
    return -(-tokens // block) * block


def prefill_tokens_left(tables: agent_tables.Tables) -> int:
    """Returns prompt tokens of started requests not yet computed."""
    load = tables.engine.load
    reported = load.prefill_tokens_left if load is not None else 0
    return reported + sum(
        tokens for _, tokens in tables.engine.unreported_starts
    )


def engine_capacity(tables: agent_tables.Tables) -> queueing.Capacity:
    """Returns what the engine can take."""
    prefills = [
        row.msg.prompt_tokens
        for row in map(tables.streams.__getitem__, tables.runs.values())
        if len(row.tokens) == len(row.msg.forced_prefix)
    ]
    long = sum(size > queueing.LONG_PROMPT_TOKENS for size in prefills)
    return queueing.Capacity(
        slots=tables.params.slots,
        slots_free=tables.params.slots - len(tables.runs),
        kv_tokens=kv_tokens_total(tables),
        kv_tokens_free=kv_tokens_free(tables),
        prefill_tokens_left=prefill_tokens_left(tables),
        prefill_tokens_per_s=tables.params.prefill_tokens_per_s,
        prefills=len(prefills),
        long_prefills=long,
    )


def start_ready(tables: agent_tables.Tables, now: float, out: Commands) -> None:
    """Starts what the queue policy lets start, and complete groups."""
    if tables.engine.failed_polls >= ENGINE_DOWN_FAILED_POLLS:
        return
    for row in list(tables.queued_groups.values()):
        _start_group(tables, row, now, out)
    while len(tables.queue):
        found = engine_capacity(tables)
        item = tables.queue.pop(found, now)
        if item is None:
            return
        row = tables.streams[item.req_id]
        if tables.queue.can_meet_deadline(item, found, now):
            _start(tables, row, item, now, out)
        else:
            # Starting it would cost prefill and memory for nothing.
            agent_streams.refuse(tables, row, "no_time", now, out)


def _start_group(
    tables: agent_tables.Tables,
    row: agent_tables.Stream,
    now: float,
    out: Commands,
) -> None:
    if row.msg.group[0].allocation not in tables.leases:
        agent_streams.refuse(tables, row, "no_reservation", now, out)
        return
    _start(tables, row, queue_item(tables, row, now), now, out)


def _start(
    tables: agent_tables.Tables,
    row: agent_tables.Stream,
    item: queueing.QueueItem,
    now: float,
    out: Commands,
) -> None:
    msg = row.msg
    row.phase = agent_tables.StreamPhase.RUNNING
    row.last_progress_at = now
    tables.runs[row.run_id] = msg.req_id
    tables.started_streams[msg.req_id] = row
    tables.queued_groups.pop(msg.req_id, None)
    tables.engine.unreported_starts.append((now, item.prompt_tokens))
    lease_s = row.deadline - now + _RUN_LEASE_MARGIN_S
    out.append(
        agent_events.StartRun(
            row.run_id,
            row.body,
            msg.max_tokens,
            queueing_fair.engine_priority(item),
            msg.adapter,
            msg.version,
            msg.forced_prefix,
            int(lease_s * 1000),
            msg.group,
            msg.kv,
        )
    )
    tables.body_bytes -= msg.body_bytes
    row.body = b""
