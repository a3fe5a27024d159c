"""Acceptance, queueing and start of generations.

Invariants: an attempt is accepted or refused in the step that receives its
submit; a refusal is final for the attempt, so that a late duplicate of the
submit cannot start it; runs are started only within the free memory and slots
of the engine.
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
"""Maximum total size of the prompt bodies held. It suffices for one body of
MAX_BODY_BYTES and some small ones."""

ENGINE_DOWN_FAILED_POLLS: Final = 3
"""After this many consecutive failed load polls, which are sent once a second,
the engine counts as down and new work is refused."""

_RUN_LEASE_MARGIN_S: Final = 5.0
_MIN_RETRY_MS: Final = 200

Commands = list[agent_events.Command]


def on_submit(
    tables: agent_tables.Tables,
    routing_id: bytes,
    received: messages.Received,
    msg: messages.Submit,
    now: float,
    out: Commands,
) -> None:
    """Accepts or refuses an attempt.

    A duplicate of an accepted attempt is accepted again, and one of an ended
    attempt gets its outcome again. A higher attempt replaces a lower one that
    has not ended.
    """
    peer = tables.peers[routing_id]
    peer.submits_received += 1
    existing_stream = tables.streams.get(msg.req_id)
    if (
        existing_stream is not None
        and msg.attempt <= existing_stream.msg.attempt
    ):
        if (
            msg.attempt == existing_stream.msg.attempt
            and received.sender == existing_stream.sender
        ):
            out.append(agent_events.Send(routing_id, _make_accepted(msg)))
        return
    ended = tables.ended_attempts.get(msg.req_id)
    if ended is not None and msg.attempt <= ended.attempt:
        out.append(agent_events.Send(routing_id, _repeat_outcome(msg, ended)))
        return
    if existing_stream is not None:
        agent_streams.end(tables, existing_stream, "superseded", now, out)
    deadline = now + tables.remaining_s(msg.remaining_ms, now)
    stream = agent_tables.Stream(
        msg, routing_id, received.sender, tables.config.revision, now, deadline
    )
    reason = _refusal_reason(tables, stream, received.body, now)
    if reason:
        _refuse_new(tables, stream, reason, now, out)
        return
    tables.streams[msg.req_id] = stream
    heapq.heappush(tables.deadlines, (deadline, msg.req_id))
    out.append(agent_events.Send(routing_id, _make_accepted(msg)))
    if msg.body_bytes > messages.INLINE_BODY_BYTES:
        tables.body_bytes += msg.body_bytes
        credit = messages.BodyCredit(
            msg.req_id, msg.attempt, BODY_WINDOW_CHUNKS
        )
        out.append(agent_events.Send(routing_id, credit))
        return
    stream.body = received.body
    tables.body_bytes += msg.body_bytes
    _enqueue(tables, stream, now)


def _make_accepted(msg: messages.Submit) -> messages.Accepted:
    return messages.Accepted(msg.req_id, msg.attempt, msg.group)


def _repeat_outcome(
    msg: messages.Submit, ended: agent_tables.EndedAttempt
) -> messages.Message:
    """Returns the outcome of an ended attempt for a duplicate of its submit.

    Refused states that the attempt was not run. A lower attempt than the ended
    one may have run, so it gets Failed.
    """
    if ended.ran or ended.attempt != msg.attempt:
        return messages.Failed(msg.req_id, msg.attempt, "already_ended")
    return messages.Refused(
        msg.req_id, msg.attempt, ended.reason, _MIN_RETRY_MS
    )


def _refuse_new(
    tables: agent_tables.Tables,
    stream: agent_tables.Stream,
    reason: str,
    now: float,
    out: Commands,
) -> None:
    msg = stream.msg
    tables.record_ended(msg.req_id, msg.attempt, ran=False, reason=reason)
    retry_ms = _MIN_RETRY_MS
    if reason == "no_time":
        wait_s = tables.queue.expected_wait_s(
            queue_item(tables, stream, now), engine_capacity(tables)
        )
        retry_ms = max(retry_ms, int(wait_s * 1000))
    refused = messages.Refused(msg.req_id, msg.attempt, reason, retry_ms)
    out.append(agent_events.Send(stream.routing_id, refused))
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
    stream: agent_tables.Stream,
    body: bytes,
    now: float,
) -> str:
    """Returns the reason for which the attempt is refused, or ""."""
    msg = stream.msg
    reason = _upstream_refusal(tables, msg)
    if reason:
        return reason
    if stream.deadline <= now:
        return "deadline"
    inline = msg.body_bytes <= messages.INLINE_BODY_BYTES
    if inline and len(body) != msg.body_bytes:
        return "body_mismatch"
    if msg.body_bytes > MAX_BODY_BYTES:
        return "too_large"
    bodies_full = tables.body_bytes + msg.body_bytes > MAX_HELD_BODY_BYTES
    if bodies_full or len(tables.queue) >= tables.params.max_queued:
        return "queue_full"
    if msg.group:
        return _group_refusal(tables, msg)
    if stream.kv_tokens > kv_tokens_total(tables):
        return "too_large"
    item = queue_item(tables, stream, now)
    capacity = engine_capacity(tables)
    start_at = now + tables.queue.expected_wait_s(item, capacity)
    in_time = tables.queue.can_meet_deadline(item, capacity, start_at)
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
    """Stores a chunk of a prompt, and queues the request once it is complete.

    Duplicates and chunks outside of the window are dropped.
    """
    stream = tables.streams.get(msg.req_id)
    if (
        stream is None
        or stream.msg.attempt != msg.attempt
        or stream.phase is not agent_tables.StreamPhase.BODY
        or not stream.next_chunk
        <= msg.chunk
        < stream.next_chunk + BODY_WINDOW_CHUNKS
    ):
        return
    if msg.chunk in stream.chunks:
        return
    stream.chunks[msg.chunk] = body
    stream.body_received += len(body)
    stream.last_chunk_at = now
    while stream.next_chunk in stream.chunks:
        stream.next_chunk += 1
    if stream.body_received < stream.msg.body_bytes:
        end_chunk = stream.next_chunk + BODY_WINDOW_CHUNKS
        credit = messages.BodyCredit(msg.req_id, msg.attempt, end_chunk)
        out.append(agent_events.Send(stream.routing_id, credit))
        return
    complete = stream.next_chunk == len(stream.chunks)
    if stream.body_received > stream.msg.body_bytes or not complete:
        agent_streams.refuse(tables, stream, "body_mismatch", now, out)
        return
    stream.body = b"".join(
        stream.chunks[index] for index in sorted(stream.chunks)
    )
    stream.chunks.clear()
    _enqueue(tables, stream, now)


def _enqueue(
    tables: agent_tables.Tables, stream: agent_tables.Stream, now: float
) -> None:
    stream.phase = agent_tables.StreamPhase.QUEUED
    if stream.msg.group:
        tables.queued_groups[stream.msg.req_id] = stream
    else:
        tables.queue.push(queue_item(tables, stream, now))


def queue_item(
    tables: agent_tables.Tables, stream: agent_tables.Stream, now: float
) -> queueing.QueueItem:
    """Returns a request in the form that the queue policy needs."""
    msg = stream.msg
    cached = cached_tokens(tables, msg.prefix_blocks)
    uncached = msg.prompt_tokens + len(msg.forced_prefix) - cached
    return queueing.QueueItem(
        msg.req_id,
        msg.team,
        msg.weight,
        msg.priority,
        max(uncached, 1),
        msg.max_tokens - len(msg.forced_prefix),
        stream.kv_tokens,
        now,
        stream.deadline,
    )


def cached_tokens(tables: agent_tables.Tables, blocks: list[int]) -> int:
    """Returns the prompt tokens that the engine's prefix cache probably holds.

    Args:
        tables: State of the agent.
        blocks: Hashes of the prompt's blocks, in order.
    """
    cached = 0
    for block in blocks:
        if block not in tables.cache.blocks:
            break
        cached += hashing.PREFIX_BLOCK_TOKENS
    return cached


def kv_tokens_total(tables: agent_tables.Tables) -> int:
    """Returns the engine's KV cache size in tokens."""
    load = tables.engine.load
    if load is None:
        return 0
    return load.kv_blocks_total * _block_tokens(tables)


def _block_tokens(tables: agent_tables.Tables) -> int:
    load = tables.engine.load
    reported = load.block_tokens if load is not None else 0
    return reported or tables.params.kv_block_tokens


def kv_tokens_free(tables: agent_tables.Tables) -> int:
    """Returns the KV cache that no run, lease or orphan holds, in tokens.

    It is computed from the agent's own tables, because all allocations go
    through the agent and the engine's load report lags behind.
    """
    block = _block_tokens(tables)
    used = tables.engine.orphan_blocks * block
    for req_id in tables.runs.values():
        stream = tables.streams[req_id]
        used += _round_up(stream.kv_tokens, block)
    for lease in tables.leases.values():
        used += _round_up(lease.tokens, block)
    return max(kv_tokens_total(tables) - used, 0)


def _round_up(tokens: int, block: int) -> int:
    return -(-tokens // block) * block


def prefill_tokens_left(tables: agent_tables.Tables) -> int:
    """Returns the prompt tokens of started requests that are not computed."""
    load = tables.engine.load
    reported = load.prefill_tokens_left if load is not None else 0
    return reported + sum(
        tokens for _, tokens in tables.engine.unreported_starts
    )


def engine_capacity(tables: agent_tables.Tables) -> queueing.Capacity:
    """Returns the total and free capacity of the engine."""
    prefills = [
        stream.msg.prompt_tokens
        for stream in map(tables.streams.__getitem__, tables.runs.values())
        if len(stream.tokens) == len(stream.msg.forced_prefix)
    ]
    long_prefills = sum(size > queueing.LONG_PROMPT_TOKENS for size in prefills)
    return queueing.Capacity(
        slots=tables.params.slots,
        slots_free=tables.params.slots - len(tables.runs),
        kv_tokens=kv_tokens_total(tables),
        kv_tokens_free=kv_tokens_free(tables),
        prefill_tokens_left=prefill_tokens_left(tables),
        prefill_tokens_per_s=tables.params.prefill_tokens_per_s,
        prefills=len(prefills),
        long_prefills=long_prefills,
    )


def start_ready(tables: agent_tables.Tables, now: float, out: Commands) -> None:
    """Starts queued groups, and the requests that the queue policy admits."""
    if tables.engine.failed_polls >= ENGINE_DOWN_FAILED_POLLS:
        return
    for stream in list(tables.queued_groups.values()):
        _start_group(tables, stream, now, out)
    while len(tables.queue):
        capacity = engine_capacity(tables)
        item = tables.queue.pop(capacity, now)
        if item is None:
            return
        stream = tables.streams[item.req_id]
        if tables.queue.can_meet_deadline(item, capacity, now):
            _start_run(tables, stream, item, now, out)
        else:
            # If started, it would use prefill time and memory and still miss
            # its deadline.
            agent_streams.refuse(tables, stream, "no_time", now, out)


def _start_group(
    tables: agent_tables.Tables,
    stream: agent_tables.Stream,
    now: float,
    out: Commands,
) -> None:
    if stream.msg.group[0].allocation not in tables.leases:
        agent_streams.refuse(tables, stream, "no_reservation", now, out)
        return
    _start_run(tables, stream, queue_item(tables, stream, now), now, out)


def _start_run(
    tables: agent_tables.Tables,
    stream: agent_tables.Stream,
    item: queueing.QueueItem,
    now: float,
    out: Commands,
) -> None:
    msg = stream.msg
    stream.phase = agent_tables.StreamPhase.RUNNING
    stream.last_progress_at = now
    tables.runs[stream.run_id] = msg.req_id
    tables.started_streams[msg.req_id] = stream
    tables.queued_groups.pop(msg.req_id, None)
    tables.engine.unreported_starts.append((now, item.prompt_tokens))
    lease_s = stream.deadline - now + _RUN_LEASE_MARGIN_S
    out.append(
        agent_events.StartRun(
            stream.run_id,
            stream.body,
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
    stream.body = b""
