"""How a generation ends, and what its caller gets.

Invariants: a request ends exactly once, by `complete`, `fail` or `drop`. The
outcome "not_run" is told only when every attempt was refused by its agent or
was never sent.
"""

from apricottrestle import (
    audit,
    entry_dispatch,
    entry_events,
    entry_tables,
    errors,
    messages,
    metrics,
)


def fail_request(
    t: entry_tables.Tables,
    row: entry_tables.RequestRow,
    now: float,
    *,
    status: int,
    code: str,
    message: str,
    step: str,
    retry_after_s: float | None = None,
) -> None:
    """Ends a request with an error."""
    outcome = current_outcome(row)
    if row.caller is not None:
        error = errors.RequestError(
            message,
            status=status,
            code=code,
            step=step,
            outcome=outcome,
            peer=row.agent_id or errors.LOCAL_PEER,
            retry_after_s=retry_after_s,
        )
        t.emit(entry_events.Fail(row.caller, error))
    end_request(t, row, outcome, now, cancel_reason=code)


def fail_at_deadline(
    t: entry_tables.Tables, row: entry_tables.RequestRow, now: float
) -> None:
    """Ends a request at its deadline."""
    fail_request(
        t,
        row,
        now,
        status=504,
        code="deadline_exceeded",
        message="the time limit is over",
        step="mid-stream" if row.tokens else "queue",
    )


def current_outcome(row: entry_tables.RequestRow) -> errors.Outcome:
    """Returns "not_run" only when no attempt can have run."""
    in_flight = row.state in ("sent", "running", "attaching")
    return "unknown" if row.maybe_ran or in_flight else "not_run"


def complete_request(
    t: entry_tables.Tables,
    row: entry_tables.RequestRow,
    msg: messages.Finished,
    now: float,
) -> None:
    """Ends a request whose answer is complete and checked."""
    if row.caller is not None:
        t.emit(
            entry_events.Complete(
                row.caller,
                msg.total_tokens,
                row.spec.prompt_tokens,
                msg.reused_tokens,
                msg.finish_reason,
                resume_event_id(row),
            )
        )
    end_request(t, row, "completed", now, cancel_reason="")


def end_request(
    t: entry_tables.Tables,
    row: entry_tables.RequestRow,
    outcome: errors.Outcome,
    now: float,
    *,
    cancel_reason: str,
) -> None:
    """Ends a request; `cancel_reason` is told to its agent unless it is ""."""
    agent_id = row.agent_id
    entry_dispatch.end_attempt(t, row, cancel_reason)
    row.agent_id = agent_id
    record_outcome(t, row, outcome, now)
    del t.requests[row.req_id]
    if row.caller is not None:
        t.callers.pop(row.caller, None)


def record_outcome(
    t: entry_tables.Tables,
    row: entry_tables.RequestRow,
    outcome: errors.Outcome,
    now: float,
) -> None:
    """Adds the audit row of a request and counts its outcome."""
    spec = row.spec
    priority = messages.PRIORITIES[spec.priority]
    metrics.REQUESTS.labels(priority, outcome).inc()
    wall_offset_s = t.identity.wall_offset_s
    t.audit.add(
        audit.AuditRow(
            req_id=row.req_id,
            attempt=max(1, row.attempt),
            team=spec.team,
            priority=priority,
            upstream=spec.model,
            version=row.version,
            config_rev=row.config_rev,
            peer=row.agent_id,
            start=wall_offset_s + row.admitted_at,
            end=wall_offset_s + now,
            outcome=outcome,
            tokens=len(row.tokens),
        )
    )


def resume_event_id(row: entry_tables.RequestRow) -> str:
    """Returns the id that resumes behind the last token received.

    Without an agent the place is held by "-", which no instance is called, so
    that the request is run anew.
    """
    return (
        f"{row.req_id}.{row.agent_id or '-'}."
        f"{len(row.tokens)}.{row.digest.hexdigest()}"
    )


def deliver_tokens(
    t: entry_tables.Tables, row: entry_tables.RequestRow, offset: int
) -> None:
    """Gives the caller all tokens from an offset on."""
    if row.caller is not None:
        t.emit(
            entry_events.DeliverTokens(
                row.caller, offset, row.tokens[offset:], resume_event_id(row)
            )
        )
