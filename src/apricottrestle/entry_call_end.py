"""End of a call or key request, and the response to its caller."""

from apricottrestle import (
    audit,
    entry_events,
    entry_tables,
    errors,
    messages,
    metrics,
)

_RETRY_AFTER_S = 1.0


def complete_call(
    tables: entry_tables.Tables,
    row: entry_tables.CallRow,
    msg: messages.CallResult,
    body: bytes,
    now: float,
) -> None:
    """Ends a call with the response of the service."""
    if row.caller is not None:
        tables.emit(
            entry_events.ServiceAnswer(
                row.caller, msg.status, msg.headers, body
            )
        )
    _end_call(tables, row, "completed", now)


def fail_response_lost(
    tables: entry_tables.Tables,
    row: entry_tables.CallRow,
    status: int,
    now: float,
) -> None:
    """Reports that the call completed but its response is lost."""
    _emit_error(
        tables,
        row,
        409,
        "answer_lost",
        f"the call completed with status {status}; its response is lost",
        "completed",
    )
    _end_call(tables, row, "completed", now)


def deliver_key(
    tables: entry_tables.Tables, row: entry_tables.CallRow, now: float
) -> None:
    """Ends a key request with the issued key."""
    if row.caller is not None:
        tables.emit(entry_events.DeliverKey(row.caller, row.key_text))
    _end_call(tables, row, "completed", now)


def fail_binding_unavailable(
    tables: entry_tables.Tables, row: entry_tables.CallRow, now: float
) -> None:
    """Fails a call whose key could not be looked up or bound on the log.

    This attempt did not run. Its outcome is "unknown" nevertheless, because an
    earlier attempt with the caller's key may have run, which only the log could
    show. The error offers the issued key, which a caller that made no earlier
    attempt can use.
    """
    _emit_error(
        tables,
        row,
        503,
        "binding_unavailable",
        "the log is unavailable, so the idempotency key can't be bound; if no "
        "earlier attempt used it, retry with the key in idempotency_key",
        _current_outcome(row),
        issued_key=row.key_text,
    )
    _end_call(tables, row, _current_outcome(row), now)


def fail_no_upstream(
    tables: entry_tables.Tables, row: entry_tables.CallRow, now: float
) -> None:
    """Fails a call because no usable agent serves the service."""
    fail_call(
        tables,
        row,
        now,
        503,
        "no_upstream",
        f"no upstream serves {row.service}",
    )


def fail_at_deadline(
    tables: entry_tables.Tables, row: entry_tables.CallRow, now: float
) -> None:
    """Ends a call at its deadline."""
    if row.state == "sent" and row.key_text == "":
        row.maybe_ran = True
    fail_call(
        tables, row, now, 504, "deadline_exceeded", "the time limit has expired"
    )


def fail_call(
    tables: entry_tables.Tables,
    row: entry_tables.CallRow,
    now: float,
    status: int,
    code: str,
    message: str,
) -> None:
    """Ends a call with an error."""
    outcome = _current_outcome(row)
    _emit_error(tables, row, status, code, message, outcome)
    _end_call(tables, row, outcome, now)


def _current_outcome(row: entry_tables.CallRow) -> errors.Outcome:
    return "unknown" if row.maybe_ran else "not_run"


def _emit_error(
    tables: entry_tables.Tables,
    row: entry_tables.CallRow,
    status: int,
    code: str,
    message: str,
    outcome: errors.Outcome,
    issued_key: str = "",
) -> None:
    if row.caller is None:
        return
    error = errors.RequestError(
        message,
        status=status,
        code=code,
        step="start" if row.state == "sent" else "dispatch",
        outcome=outcome,
        peer=row.agent_id or errors.LOCAL_PEER,
        retry_after_s=_RETRY_AFTER_S if status == 503 else None,
    )
    tables.emit(entry_events.Fail(row.caller, error, issued_key))


def _end_call(
    tables: entry_tables.Tables,
    row: entry_tables.CallRow,
    outcome: errors.Outcome,
    now: float,
) -> None:
    if row.state == "sent":
        tables.upstreams.record_end(row.agent_id)
    del tables.calls[row.req_id]
    if row.caller is not None:
        tables.callers.pop(row.caller, None)
    if row.spec is None:
        return
    metrics.CALLS.labels(outcome).inc()
    wall_offset_s = tables.identity.wall_offset_s
    tables.audit.add(
        audit.AuditRow(
            req_id=row.req_id,
            attempt=max(1, row.attempt),
            team=row.team,
            priority=messages.PRIORITIES[row.spec.priority],
            upstream=row.service,
            version="",
            config_rev=row.config_rev,
            peer=row.agent_id,
            start=wall_offset_s + row.admitted_at,
            end=wall_offset_s + now,
            outcome=outcome,
            tokens=0,
        )
    )
