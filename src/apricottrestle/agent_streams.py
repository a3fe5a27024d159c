"""Output of streams: buffering, credit-based flow control, attach and end.

Invariants: every token is sent with its attempt and its offset in the output; a
request ends at its deadline whatever the engine or the entry does; when a
request ends while the engine runs it, the run is cancelled there.
"""

import heapq
from typing import Final

from apricottrestle import agent_events, agent_tables, messages

FLUSH_INTERVAL_S: Final = 0.02
MAX_CHUNK_TOKENS: Final = 2048
STALL_TIMEOUT_S: Final = 30.0
MAX_STALLED_TOKENS: Final = 4096
"""A stream without credit fails after this time, or once this many tokens have
been generated since its credit ran out."""

RETENTION_S: Final = 15.0
"""Time for which a stream is kept after its end, or without a frame from its
entry, so that another entry can attach to it."""

BODY_STALL_TIMEOUT_S: Final = 10.0
SCAN_INTERVAL_S: Final = 0.25
"""Interval of the checks other than that of the deadlines, which are in a heap.
They scan all streams, which takes too long for each step of an agent with
thousands of queued requests."""

ENGINE_SILENCE_TIMEOUT_S: Final = 10.0
"""A run fails if no token follows its first one for this time."""

Commands = list[agent_events.Command]
Phase = agent_tables.StreamPhase


def end(
    tables: agent_tables.Tables,
    stream: agent_tables.Stream,
    reason: str,
    now: float,
    out: Commands,
    *,
    cancel: bool = True,
) -> None:
    """Removes a stream.

    Args:
        tables: State of the agent.
        stream: The stream.
        reason: Why it ends, kept for duplicates of its submit.
        now: Monotonic seconds.
        out: Commands of the step.
        cancel: Whether to cancel the run, if the engine has it.
    """
    msg = stream.msg
    ran = stream.phase in {Phase.RUNNING, Phase.DONE}
    if stream.phase in {Phase.BODY, Phase.QUEUED}:
        tables.body_bytes -= msg.body_bytes
        tables.queue.remove(msg.req_id)
    tables.queued_groups.pop(msg.req_id, None)
    tables.started_streams.pop(msg.req_id, None)
    if tables.runs.pop(stream.run_id, None) is not None and cancel:
        out.append(agent_events.CancelRun(stream.run_id))
    del tables.streams[msg.req_id]
    tables.record_ended(msg.req_id, msg.attempt, ran=ran, reason=reason)
    if stream.phase is not Phase.DONE:
        _write_audit_row(
            tables, stream, "unknown" if ran else "not_run", now, out
        )


def fail(
    tables: agent_tables.Tables,
    stream: agent_tables.Stream,
    reason: str,
    now: float,
    out: Commands,
    *,
    cancel: bool = True,
) -> None:
    """Ends a stream with Failed, or with Refused if it has not been started."""
    if stream.phase in {Phase.BODY, Phase.QUEUED}:
        refuse(tables, stream, reason, now, out)
        return
    failed = messages.Failed(stream.msg.req_id, stream.msg.attempt, reason)
    out.append(agent_events.Send(stream.routing_id, failed))
    end(tables, stream, reason, now, out, cancel=cancel)


def refuse(
    tables: agent_tables.Tables,
    stream: agent_tables.Stream,
    reason: str,
    now: float,
    out: Commands,
) -> None:
    """Ends an accepted request that has not been started."""
    refused = messages.Refused(stream.msg.req_id, stream.msg.attempt, reason, 0)
    out.append(agent_events.Send(stream.routing_id, refused))
    end(tables, stream, reason, now, out)


def _write_audit_row(
    tables: agent_tables.Tables,
    stream: agent_tables.Stream,
    outcome: str,
    now: float,
    out: Commands,
) -> None:
    msg = stream.msg
    out.append(
        agent_events.WriteAuditRow(
            msg.req_id,
            msg.attempt,
            msg.team,
            msg.priority,
            msg.model,
            msg.version,
            stream.config_rev,
            stream.sender,
            stream.accepted_at,
            now,
            outcome,
            len(stream.tokens) - len(msg.forced_prefix),
        )
    )


def on_tokens(
    tables: agent_tables.Tables,
    event: agent_events.RunTokens,
    now: float,
    out: Commands,
) -> None:
    """Appends tokens; those received before are skipped."""
    stream = _running_stream(tables, event.run_id)
    if stream is None:
        return
    skip = len(stream.tokens) - event.offset
    if skip < 0:
        fail(tables, stream, "upstream_gap", now, out)
        return
    new = event.tokens[skip:]
    if len(stream.tokens) + len(new) > stream.msg.max_tokens:
        fail(tables, stream, "upstream_overrun", now, out)
        return
    stream.tokens.extend(new)
    stream.reused_tokens = max(stream.reused_tokens, event.reused_tokens)
    stream.last_progress_at = now


def _running_stream(
    tables: agent_tables.Tables, run_id: str
) -> agent_tables.Stream | None:
    req_id = tables.runs.get(run_id)
    return None if req_id is None else tables.streams[req_id]


def on_finished(
    tables: agent_tables.Tables,
    event: agent_events.RunFinished,
    now: float,
    out: Commands,
) -> None:
    """Ends a run; its stream fails if tokens are missing."""
    stream = _running_stream(tables, event.run_id)
    if stream is None:
        return
    if event.total_tokens != len(stream.tokens):
        fail(tables, stream, "upstream_short", now, out, cancel=False)
        return
    del tables.runs[event.run_id]
    _write_audit_row(tables, stream, "completed", now, out)
    stream.phase = Phase.DONE


def on_failed(
    tables: agent_tables.Tables,
    event: agent_events.RunFailed,
    now: float,
    out: Commands,
) -> None:
    """Ends the stream of a failed run.

    The run is cancelled too, because the engine may go on after its connection
    broke. A run that is being exported is left alone: the export ends it, and
    KvExported follows.
    """
    stream = _running_stream(tables, event.run_id)
    if stream is not None and not stream.exporting:
        fail(tables, stream, event.reason, now, out)


def on_attach(
    tables: agent_tables.Tables,
    routing_id: bytes,
    received: messages.Received,
    msg: messages.Attach,
    now: float,
    out: Commands,
) -> None:
    """Makes the sender the owner of a stream and sends from its offset on.

    If the stream is unknown, belongs to another team or is shorter than the
    offset, the answer is Failed, since Refused would state that the request was
    not run.
    """
    stream = tables.streams.get(msg.req_id)
    if (
        stream is None
        or stream.msg.team != msg.team
        or msg.offset > len(stream.tokens)
        or tables.remaining_s(msg.remaining_ms, now) <= 0
    ):
        failed = messages.Failed(msg.req_id, 0, "unknown_stream")
        out.append(agent_events.Send(routing_id, failed))
        return
    stream.routing_id = routing_id
    stream.sender = received.sender
    stream.sent_offset = msg.offset
    stream.credit_offset = msg.offset + msg.credit_tokens
    stream.stalled_since = None
    stream.finished_sent = False
    stream.retain_until = float("inf")
    accepted = messages.Accepted(
        msg.req_id, stream.msg.attempt, stream.msg.group
    )
    out.append(agent_events.Send(routing_id, accepted))


def on_credit(
    tables: agent_tables.Tables,
    received: messages.Received,
    msg: messages.Credit,
) -> None:
    """Raises the offset below which tokens may be sent."""
    stream = _owned_stream(tables, received, msg.req_id, msg.attempt)
    if stream is not None and msg.upto > stream.credit_offset:
        stream.credit_offset = msg.upto
        stream.stalled_since = None


def on_cancel(
    tables: agent_tables.Tables,
    received: messages.Received,
    msg: messages.Cancel,
    now: float,
    out: Commands,
) -> None:
    """Ends a stream on request of its owner.

    If the cancel arrives before the submit, the attempt is recorded as ended,
    so that the submit is refused.
    """
    known = tables.streams.get(msg.req_id)
    if known is None:
        ended = tables.ended_attempts.get(msg.req_id)
        if ended is None or ended.attempt < msg.attempt:
            tables.record_ended(
                msg.req_id, msg.attempt, ran=False, reason="cancelled"
            )
        return
    stream = _owned_stream(tables, received, msg.req_id, msg.attempt)
    if stream is not None:
        end(tables, stream, "cancelled", now, out)


def _owned_stream(
    tables: agent_tables.Tables,
    received: messages.Received,
    req_id: str,
    attempt: int,
) -> agent_tables.Stream | None:
    """Returns the stream if the sender owns it and the attempt matches.

    An entry that was paused may still send frames for a stream that another
    entry has attached to meanwhile.
    """
    stream = tables.streams.get(req_id)
    if (
        stream is None
        or stream.msg.attempt != attempt
        or stream.sender != received.sender
    ):
        return None
    return stream


def expire(tables: agent_tables.Tables, now: float, out: Commands) -> None:
    """Ends streams past their deadline, retention or another limit."""
    while tables.deadlines and tables.deadlines[0][0] <= now:
        _, req_id = heapq.heappop(tables.deadlines)
        stream = tables.streams.get(req_id)
        if (
            stream is not None
            and not stream.finished_sent
            and _is_past_deadline(stream, now)
        ):
            fail(tables, stream, "deadline", now, out)
    if now < tables.next_scan_at:
        return
    tables.next_scan_at = now + SCAN_INTERVAL_S
    for stream in list(tables.streams.values()):
        if stream.finished_sent:
            if now >= stream.retain_until:
                end(tables, stream, "retention", now, out)
            continue
        reason = _expiry_reason(tables, stream, now)
        if reason:
            fail(tables, stream, reason, now, out)


def _is_past_deadline(stream: agent_tables.Stream, now: float) -> bool:
    return now >= stream.deadline


def _expiry_reason(
    tables: agent_tables.Tables, stream: agent_tables.Stream, now: float
) -> str:
    """Returns the reason for which an unfinished stream must end, or ""."""
    if _is_past_deadline(stream, now):
        return "deadline"
    if (
        now - tables.entry_last_frame_at.get(stream.sender, stream.accepted_at)
        >= RETENTION_S
    ):
        return "entry_gone"
    if (
        stream.phase is Phase.BODY
        and now - stream.last_chunk_at >= BODY_STALL_TIMEOUT_S
    ):
        return "body_timeout"
    started = len(stream.tokens) > len(stream.msg.forced_prefix)
    silent = now - stream.last_progress_at >= ENGINE_SILENCE_TIMEOUT_S
    if stream.phase is Phase.RUNNING and started and silent:
        return "upstream_silent"
    return ""


def flush(tables: agent_tables.Tables, now: float, out: Commands) -> None:
    """Sends buffered tokens within the credit, and Finished after the last."""
    for stream in list(tables.started_streams.values()):
        peer = tables.peers.get(stream.routing_id)
        if peer is None or peer.send_failed:
            continue
        _flush_tokens(stream, now, out)
        if _is_stalled(stream, now):
            fail(tables, stream, "stalled", now, out)
        elif (
            stream.phase is Phase.DONE
            and stream.sent_offset == len(stream.tokens)
            and not stream.finished_sent
        ):
            _send_finished(stream, now, out)


def _flush_tokens(
    stream: agent_tables.Stream, now: float, out: Commands
) -> None:
    end_offset = min(len(stream.tokens), stream.credit_offset)
    if stream.sent_offset >= end_offset or now < stream.next_flush_at:
        return
    while stream.sent_offset < end_offset:
        chunk_end = min(end_offset, stream.sent_offset + MAX_CHUNK_TOKENS)
        tokens = messages.Tokens(
            stream.msg.req_id,
            stream.msg.attempt,
            stream.sent_offset,
            stream.tokens[stream.sent_offset : chunk_end].tolist(),
        )
        out.append(agent_events.Send(stream.routing_id, tokens))
        stream.sent_offset = chunk_end
    stream.next_flush_at = now + FLUSH_INTERVAL_S


def _is_stalled(stream: agent_tables.Stream, now: float) -> bool:
    """Tells whether the stream has waited for credit for too long."""
    if stream.sent_offset < stream.credit_offset or stream.sent_offset == len(
        stream.tokens
    ):
        stream.stalled_since = None
        return False
    if stream.stalled_since is None:
        stream.stalled_since = now
        stream.tokens_at_stall = len(stream.tokens)
    tokens_since_stall = len(stream.tokens) - stream.tokens_at_stall
    return (
        now - stream.stalled_since >= STALL_TIMEOUT_S
        or tokens_since_stall > MAX_STALLED_TOKENS
    )


def _send_finished(
    stream: agent_tables.Stream, now: float, out: Commands
) -> None:
    total = len(stream.tokens)
    reason = "length" if total == stream.msg.max_tokens else "stop"
    finished = messages.Finished(
        stream.msg.req_id,
        stream.msg.attempt,
        total,
        stream.digest(),
        stream.reused_tokens,
        reason,
    )
    out.append(agent_events.Send(stream.routing_id, finished))
    stream.finished_sent = True
    stream.retain_until = now + RETENTION_S
