"""Events of callers of generations: accept, resume, read, disconnect."""

from apricottrestle import (
    entry_attempts,
    entry_dispatch,
    entry_ending,
    entry_events,
    entry_peers,
    entry_tables,
    errors,
    hashing,
    metrics,
)


def accept_generation(
    tables: entry_tables.Tables, event: entry_events.Generate, now: float
) -> None:
    """Accepts a new or resumed generation."""
    resume = event.spec.resume
    if resume is not None:
        existing = tables.requests.get(resume.req_id)
        if existing is not None and existing.spec.team == event.spec.team:
            reconnect_caller(tables, existing, event.caller, resume, now)
            return
    if tables.drain_started is not None:
        _refuse(tables, event.caller, "draining", "this entry is stopping", 1.0)
        return
    row = entry_tables.RequestRow(
        resume.req_id if resume else tables.new_req_id(),
        event.caller,
        event.spec,
        tables.sync.revision,
        now,
    )
    if resume is not None:
        tables.add_request(row)
        _attach_to_running_stream(tables, row, resume, now)
    elif _check_admission(tables, row, now):
        tables.add_request(row)
        tables.budget.deposit(row.spec.team, row.spec.model, now)
        row.wait_deadline = min(
            row.deadline, now + entry_tables.WAIT_FOR_UPSTREAM_S
        )
        entry_attempts.start_attempt(tables, row, now)


def _refuse(
    tables: entry_tables.Tables,
    caller: int,
    code: str,
    message: str,
    retry_after_s: float,
    status: int = 503,
) -> None:
    metrics.REFUSALS.labels(code).inc()
    error = errors.RequestError(
        message,
        status=status,
        code=code,
        step="admit",
        retry_after_s=retry_after_s,
    )
    tables.emit(entry_events.Fail(caller, error))


def _check_admission(
    tables: entry_tables.Tables, row: entry_tables.RequestRow, now: float
) -> bool:
    """Refuses a request that can't finish in time; returns whether it may run.

    A request without any candidate is admitted and waits for one, see
    `entry_attempts.start_attempt`.
    """
    tables.demand.add(row.spec.model, row.spec.prompt_tokens)
    req = entry_dispatch.build_route_request(row, now)
    decision = tables.admission.check(req, tables.upstreams, now)
    if decision.admitted or decision.reason == "no_candidate":
        return True
    if row.caller is not None:
        _refuse(
            tables,
            row.caller,
            decision.reason,
            "the request can't finish within its time limit",
            decision.retry_after_s,
            status=429,
        )
    entry_ending.record_outcome(tables, row, "not_run", now)
    return False


def reconnect_caller(
    tables: entry_tables.Tables,
    row: entry_tables.RequestRow,
    caller: int,
    resume: entry_events.ResumePoint,
    now: float,
) -> None:
    """Moves a running stream to the caller's new connection."""
    received_count = len(row.tokens)
    if received_count >= resume.offset:
        digest = hashing.StreamDigest()
        digest.update(row.tokens[: resume.offset])
        if digest.hexdigest() != resume.digest:
            _refuse_resume(tables, caller)
            return
    else:
        row.prefix_to_check = resume
    if row.caller is not None:
        tables.emit(entry_events.CloseCaller(row.caller))
        tables.callers.pop(row.caller, None)
    row.caller = caller
    row.caller_gone_at = None
    row.flushed_tokens = resume.offset
    row.flushed_at = now
    tables.callers[caller] = row.req_id
    if received_count > resume.offset:
        entry_ending.deliver_tokens(tables, row, resume.offset)
    entry_dispatch.extend_credit(tables, row)


def _refuse_resume(tables: entry_tables.Tables, caller: int) -> None:
    error = errors.RequestError(
        "the event id doesn't belong to this stream",
        status=409,
        code="resume_mismatch",
        step="accept",
        outcome="unknown",
    )
    tables.emit(entry_events.Fail(caller, error))


def _attach_to_running_stream(
    tables: entry_tables.Tables,
    row: entry_tables.RequestRow,
    resume: entry_events.ResumePoint,
    now: float,
) -> None:
    """Attaches to a stream that was started through another entry.

    The stream is fetched from its first token, so that count and digest of the
    whole answer can be verified here as well.
    """
    instance = tables.instances.get(resume.agent_id)
    if instance is None and resume.agent_id not in tables.peers:
        entry_attempts.rerun_with_new_id(tables, row, now)
        return
    if instance is not None and resume.agent_id not in tables.peers:
        entry_peers.connect(tables, instance, now)
    row.state = "attaching"
    row.agent_id = resume.agent_id
    row.maybe_ran = True
    row.wait_deadline = min(row.deadline, now + entry_tables.CONNECT_TIMEOUT_S)
    entry_dispatch.send_attach(tables, row, now)


def on_caller_read(
    tables: entry_tables.Tables, event: entry_events.CallerRead, now: float
) -> None:
    """Records the caller's progress and extends the credit of the agent."""
    row = tables.requests.get(tables.callers.get(event.caller, ""))
    if row is None or event.upto <= row.flushed_tokens:
        return
    row.flushed_tokens = event.upto
    row.flushed_at = now
    entry_dispatch.extend_credit(tables, row)


def on_caller_gone(
    tables: entry_tables.Tables, row: entry_tables.RequestRow, now: float
) -> None:
    """Keeps a stream for the resume window; ends other requests at once."""
    if row.caller is not None:
        tables.callers.pop(row.caller, None)
    row.caller = None
    row.caller_gone_at = now
    if not row.spec.stream:
        entry_ending.end_request(
            tables,
            row,
            entry_ending.current_outcome(row),
            now,
            cancel_reason="caller_gone",
        )
