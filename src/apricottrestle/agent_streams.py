"""Running streams: output buffer, credits, attach, end.

Invariants: a token leaves the agent only at its own offset of its own attempt;
a request ends at its deadline whatever the engine or the entry does; a request
that ends while the engine runs it is cancelled there.
"""

import heapq
from typing import Final

from apricottrestle import agent_events, agent_tables, messages

FLUSH_INTERVAL_S: Final = 0.02
MAX_CHUNK_TOKENS: Final = 2048
STALL_TIMEOUT_S: Final = 30.0
MAX_STALLED_TOKENS: Final = 4096
RETENTION_S: Final = 15.0
"""How long output is kept after its entry is gone or the stream finished."""

BODY_STALL_TIMEOUT_S: Final = 10.0
SCAN_INTERVAL_S: Final = 0.25
"""Deadlines come from a heap; the other limits need a scan of all rows, which
is too dear for each step of an agent with thousands of queued requests."""

ENGINE_SILENCE_TIMEOUT_S: Final = 10.0
"""A run without a token for so long, after its first one, is given up."""

Commands = list[agent_events.Command]
Phase = agent_tables.StreamPhase


def end(
    tables: agent_tables.Tables,
    row: agent_tables.Stream,
    reason: str,
    now: float,
    out: Commands,
    *,
    cancel: bool = True,
) -> None:
    """Removes a stream, and cancels its run unless the engine ended it."""
    msg = row.msg
    ran = row.phase in {Phase.RUNNING, Phase.DONE}
    if row.phase in {Phase.BODY, Phase.QUEUED}:
        tables.body_bytes -= msg.body_bytes
        tables.queue.remove(msg.req_id)
    tables.queued_groups.pop(msg.req_id, None)
    tables.started_streams.pop(msg.req_id, None)
    if tables.runs.pop(row.run_id, None) is not None and cancel:
        out.append(agent_events.CancelRun(row.run_id))
    del tables.streams[msg.req_id]
    tables.record_ended(msg.req_id, msg.attempt, ran=ran, reason=reason)
    if row.phase is not Phase.DONE:
        _write_audit_row(tables, row, "unknown" if ran else "not_run", now, out)


def fail(
    tables: agent_tables.Tables,
    row: agent_tables.Stream,
    reason: str,
    now: float,
    out: Commands,
    *,
    cancel: bool = True,
) -> None:
    """Ends a stream with Failed, or Refused if it provably did not run."""
    if row.phase in {Phase.BODY, Phase.QUEUED}:
        refuse(tables, row, reason, now, out)
        return
    failed = messages.Failed(row.msg.req_id, row.msg.attempt, reason)
    out.append(agent_events.Send(row.routing_id, failed))
    end(tables, row, reason, now, out, cancel=cancel)


def refuse(
    tables: agent_tables.Tables,
    row: agent_tables.Stream,
    reason: str,
    now: float,
    out: Commands,
) -> None:
    """Ends an accepted request that has not been started."""
    refused = messages.Refused(row.msg.req_id, row.msg.attempt, reason, 0)
    out.append(agent_events.Send(row.routing_id, refused))
    end(tables, row, reason, now, out)


def _write_audit_row(
    tables: agent_tables.Tables,
    row: agent_tables.Stream,
    outcome: str,
    now: float,
    out: Commands,
) -> None:
    msg = row.msg
    out.append(
        agent_events.WriteAuditRow(
            msg.req_id,
            msg.attempt,
            msg.team,
            msg.priority,
            msg.model,
            msg.version,
            row.config_rev,
            row.sender,
            row.accepted_at,
            now,
            outcome,
            len(row.tokens) - len(msg.forced_prefix),
        )
    )


def on_tokens(
    tables: agent_tables.Tables,
    event: agent_events.RunTokens,
    now: float,
    out: Commands,
) -> None:
    """Adds tokens at their offset; repeated ones are skipped."""
    row = _running(tables, event.run_id)
    if row is None:
        return
    skip = len(row.tokens) - event.offset
    if skip < 0:
        fail(tables, row, "upstream_gap", now, out)
        return
    new = event.tokens[skip:]
    if len(row.tokens) + len(new) > row.msg.max_tokens:
        fail(tables, row, "upstream_overrun", now, out)
        return
    row.tokens.extend(new)
    row.reused_tokens = max(row.reused_tokens, event.reused_tokens)
    row.last_progress_at = now


def _running(
    tables: agent_tables.Tables, run_id: str
) -> agent_tables.Stream | None:
    req_id = tables.runs.get(run_id)
    return None if req_id is None else tables.streams[req_id]


def on_done(
    tables: agent_tables.Tables,
    event: agent_events.RunFinished,
    now: float,
    out: Commands,
) -> None:
    """Completes a stream if the count matches the tokens received."""
    row = _running(tables, event.run_id)
    if row is None:
        return
    if event.total_tokens != len(row.tokens):
        fail(tables, row, "upstream_short", now, out, cancel=False)
        return
    del tables.runs[event.run_id]
    _write_audit_row(tables, row, "completed", now, out)
    row.phase = Phase.DONE


def on_failed(
    tables: agent_tables.Tables,
    event: agent_events.RunFailed,
    now: float,
    out: Commands,
) -> None:
    """Tells the entry that the run broke off.

    The run is cancelled too: a broken connection doesn't prove that the engine
    has stopped. An export ends the run on purpose; its own answer follows.
    """
    row = _running(tables, event.run_id)
    if row is not None and not row.exporting:
        fail(tables, row, event.reason, now, out)


def on_attach(
    tables: agent_tables.Tables,
    routing_id: bytes,
    got: messages.Received,
    msg: messages.Attach,
    now: float,
    out: Commands,
) -> None:
    """Gives a stream to the attaching entry.

    A stream that is unknown, of another team, or shorter than the offset is
    answered with Failed: Refused would state that it was not run.
    """
    row = tables.streams.get(msg.req_id)
    if (
        row is None
        or row.msg.team != msg.team
        or msg.offset > len(row.tokens)
        or tables.remaining_s(msg.remaining_ms, now) <= 0
    ):
        failed = messages.Failed(msg.req_id, 0, "unknown_stream")
        out.append(agent_events.Send(routing_id, failed))
        return
    row.routing_id = routing_id
    row.sender = got.sender
    row.sent_offset = msg.offset
    row.credit_offset = msg.offset + msg.credit_tokens
    row.stalled_since = None
    row.finished_sent = False
    row.retain_until = float("inf")
    accepted = messages.Accepted(msg.req_id, row.msg.attempt, row.msg.group)
    out.append(agent_events.Send(routing_id, accepted))


def on_credit(
    tables: agent_tables.Tables, got: messages.Received, msg: messages.Credit
) -> None:
    """Raises the offset up to which tokens may be sent."""
    row = _owned(tables, got, msg.req_id, msg.attempt)
    if row is not None and msg.upto > row.credit_offset:
        row.credit_offset = msg.upto
        row.stalled_since = None


def on_cancel(
    tables: agent_tables.Tables,
    got: messages.Received,
    msg: messages.Cancel,
    now: float,
    out: Commands,
) -> None:
    """Ends a stream of its owner; a cancel may overtake its submit."""
    known = tables.streams.get(msg.req_id)
    if known is None:
        ended = tables.ended_attempts.get(msg.req_id)
        if ended is None or ended.attempt < msg.attempt:
            tables.record_ended(
                msg.req_id, msg.attempt, ran=False, reason="cancelled"
            )
        return
    row = _owned(tables, got, msg.req_id, msg.attempt)
    if row is not None:
        end(tables, row, "cancelled", now, out)


def _owned(
    tables: agent_tables.Tables,
    got: messages.Received,
    req_id: str,
    attempt: int,
) -> agent_tables.Stream | None:
    """Returns the stream if the sender still owns this attempt.

    An entry that was frozen may still send for a stream that a second entry
    has attached to.
    """
    row = tables.streams.get(req_id)
    if row is None or row.msg.attempt != attempt or row.sender != got.sender:
        return None
    return row


def expire(tables: agent_tables.Tables, now: float, out: Commands) -> None:
    """Ends what is past its deadline, retention or owner."""
    while tables.deadlines and tables.deadlines[0][0] <= now:
        _, req_id = heapq.heappop(tables.deadlines)
        row = tables.streams.get(req_id)
        if row is not None and not row.finished_sent and _is_over(row, now):
            fail(tables, row, "deadline", now, out)
    if now < tables.next_scan_at:
        return
    tables.next_scan_at = now + SCAN_INTERVAL_S
    for row in list(tables.streams.values()):
        if row.finished_sent:
            if now >= row.retain_until:
                end(tables, row, "retention", now, out)
            continue
        reason = _expired(tables, row, now)
        if reason:
            fail(tables, row, reason, now, out)


def _is_over(row: agent_tables.Stream, now: float) -> bool:
    return now >= row.deadline


def _expired(
    tables: agent_tables.Tables, row: agent_tables.Stream, now: float
) -> str:
    """Returns why an unfinished stream ends now, or ""."""
    if _is_over(row, now):
        return "deadline"
    if (
        now - tables.entry_last_frame_at.get(row.sender, row.accepted_at)
        >= RETENTION_S
    ):
        return "entry_gone"
    if (
        row.phase is Phase.BODY
        and now - row.last_chunk_at >= BODY_STALL_TIMEOUT_S
    ):
        return "body_timeout"
    started = len(row.tokens) > len(row.msg.forced_prefix)
    silent = now - row.last_progress_at >= ENGINE_SILENCE_TIMEOUT_S
    if row.phase is Phase.RUNNING and started and silent:
        return "upstream_silent"
    return ""


def flush(tables: agent_tables.Tables, now: float, out: Commands) -> None:
    """Sends buffered tokens within the credits, then Finished."""
    for row in list(tables.started_streams.values()):
        peer = tables.peers.get(row.routing_id)
        if peer is None or peer.send_failed:
            continue
        _flush_tokens(row, now, out)
        if _stalled(row, now):
            fail(tables, row, "stalled", now, out)
        elif (
            row.phase is Phase.DONE
            and row.sent_offset == len(row.tokens)
            and not row.finished_sent
        ):
            _send_finished(row, now, out)


def _flush_tokens(row: agent_tables.Stream, now: float, out: Commands) -> None:
    upto = min(len(row.tokens), row.credit_offset)
    if row.sent_offset >= upto or now < row.next_flush_at:
        return
    while row.sent_offset < upto:
        stop = min(upto, row.sent_offset + MAX_CHUNK_TOKENS)
        tokens = messages.Tokens(
            row.msg.req_id,
            row.msg.attempt,
            row.sent_offset,
            row.tokens[row.sent_offset : stop].tolist(),
        )
        out.append(agent_events.Send(row.routing_id, tokens))
        row.sent_offset = stop
    row.next_flush_at = now + FLUSH_INTERVAL_S


def _stalled(row: agent_tables.Stream, now: float) -> bool:
    """Tells whether the entry has given no credit for too long."""
    if row.sent_offset < row.credit_offset or row.sent_offset == len(
        row.tokens
    ):
        row.stalled_since = None
        return False
    if row.stalled_since is None:
        row.stalled_since = now
        row.tokens_at_stall = len(row.tokens)
    held = len(row.tokens) - row.tokens_at_stall
    return (
        now - row.stalled_since >= STALL_TIMEOUT_S or held > MAX_STALLED_TOKENS
    )


def _send_finished(row: agent_tables.Stream, now: float, out: Commands) -> None:
    total = len(row.tokens)
    reason = "length" if total == row.msg.max_tokens else "stop"
    finished = messages.Finished(
        row.msg.req_id,
        row.msg.attempt,
        total,
        row.digest(),
        row.reused_tokens,
        reason,
    )
    out.append(agent_events.Send(row.routing_id, finished))
    row.finished_sent = True
    row.retain_until = now + RETENTION_S
