"""End of a generation, and delivery of tokens and result to its caller.

Invariants: a request ends exactly once, by `complete_request`, `fail_request`
or `end_request`. The outcome "not_run" is reported only when every attempt was
refused by its agent or was never sent.
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
    tables: entry_tables.Tables,
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
        tables.emit(entry_events.Fail(row.caller, error))
    end_request(tables, row, outcome, now, cancel_reason=code)


def fail_at_deadline(
    tables: entry_tables.Tables, row: entry_tables.RequestRow, now: float
) -> None:
    """Ends a request at its deadline."""
    fail_request(
        tables,
        row,
        now,
        status=504,
        code="deadline_exceeded",
        message="the time limit has expired",
        step="mid-stream" if row.tokens else "queue",
    )


def current_outcome(row: entry_tables.RequestRow) -> errors.Outcome:
    """Returns "not_run" only if no attempt can have run, else "unknown"."""
    in_flight = row.state in ("sent", "running", "attaching")
    return "unknown" if row.maybe_ran or in_flight else "not_run"


def complete_request(
    tables: entry_tables.Tables,
    row: entry_tables.RequestRow,
    msg: messages.Finished,
    now: float,
) -> None:
    """Ends a request whose answer is complete and verified."""
    if row.caller is not None:
        tables.emit(
            entry_events.Complete(
                row.caller,
                msg.total_tokens,
                row.spec.prompt_tokens,
                msg.reused_tokens,
                msg.finish_reason,
                resume_event_id(row),
            )
        )
    end_request(tables, row, "completed", now, cancel_reason="")


def end_request(
    tables: entry_tables.Tables,
    row: entry_tables.RequestRow,
    outcome: errors.Outcome,
    now: float,
    *,
    cancel_reason: str,
) -> None:
    """Removes a request and releases what it holds.

    Args:
        tables: Tables.
        row: Request.
        outcome: Outcome for the audit row.
        now: Time.
        cancel_reason: Reason to cancel the attempt at its agent, or "".
    """
    agent_id = row.agent_id
    entry_dispatch.end_attempt(tables, row, cancel_reason)
    row.agent_id = agent_id
    record_outcome(tables, row, outcome, now)
    del tables.requests[row.req_id]
    if row.caller is not None:
        tables.callers.pop(row.caller, None)


def record_outcome(
    tables: entry_tables.Tables,
    row: entry_tables.RequestRow,
    outcome: errors.Outcome,
    now: float,
) -> None:
    """Adds the audit row of a request and counts its outcome."""
    spec = row.spec
    priority = messages.PRIORITIES[spec.priority]
    metrics.REQUESTS.labels(priority, outcome).inc()
    wall_offset_s = tables.identity.wall_offset_s
    tables.audit.add(
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
    """Returns the event id that resumes after the last token received.

    Without an agent its field is "-", which is no instance's id, so that the
    resumed request is rerun.
    """
    return (
        f"{row.req_id}.{row.agent_id or '-'}."
        f"{len(row.tokens)}.{row.digest.hexdigest()}"
    )


def deliver_tokens(
    tables: entry_tables.Tables, row: entry_tables.RequestRow, offset: int
) -> None:
    """Sends the caller all tokens from an offset on."""
    if row.caller is not None:
        tables.emit(
            entry_events.DeliverTokens(
                row.caller, offset, row.tokens[offset:], resume_event_id(row)
            )
        )
