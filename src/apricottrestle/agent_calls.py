"""Calls to a plain service: issued keys, at-most-once execution, results.

Invariants: the call of a key runs at most once, and only in the incarnation
that issued the key; a call answered `not_run` never runs later; a key that has
expired or was issued by another incarnation is answered `unknown` and its call
never runs.
"""

from typing import Final

from apricottrestle import (
    agent_events,
    agent_tables,
    call_keys,
    call_log,
    errors,
    messages,
    metrics,
)

MAX_KEYS_PER_REQUEST: Final = 64
KEY_RETENTION_S: Final = 600.0
"""Time after the last change for which a key and its result are kept."""

MAX_KEYS: Final = 20_000
MAX_ANSWER_BYTES: Final = 3 * 1024 * 1024
"""Maximum size of an answer's body, which is sent in one frame; it must be
below the frame limit of the transport."""

MAX_HELD_ANSWER_BYTES: Final = 8 * 1024 * 1024
KEY_EXPIRY_INTERVAL_S: Final = 5.0
LATE_ANSWER_TIMEOUT_S: Final = 30.0
"""Time after the deadline in which the answer of a call is still recorded."""

Commands = list[agent_events.Command]
State = agent_tables.CallState
_FINAL_STATES: Final = {State.COMPLETED, State.NOT_RUN, State.UNKNOWN}


def on_key_request(
    tables: agent_tables.Tables,
    routing_id: bytes,
    msg: messages.KeyRequest,
    now: float,
    out: Commands,
) -> None:
    """Issues keys, but none while draining or for another service."""
    amount = min(max(msg.amount, 0), MAX_KEYS_PER_REQUEST)
    if tables.drain.active or not _is_service(tables, msg.service):
        amount = 0
    keys = [_issue_key(tables, now) for _ in range(amount)]
    issued = messages.KeyIssued(msg.req_id, keys)
    out.append(agent_events.Send(routing_id, issued))


def _is_service(tables: agent_tables.Tables, service: str) -> bool:
    params = tables.params
    return params.kind == "service" and params.service == service


def _issue_key(tables: agent_tables.Tables, now: float) -> str:
    params = tables.params
    key = call_keys.IssuedKey(
        params.service,
        params.agent_id,
        params.incarnation,
        tables.next_key_seq,
        tables.call_log.position,
        tables.call_log.available,
    )
    tables.next_key_seq += 1
    text = call_keys.issue(key, params.secret)
    call = agent_tables.Call(
        call_log.key_id(key), key.seq, text, key.logged, now
    )
    tables.calls[call.call_id] = call
    tables.keys_by_seq[key.seq] = call
    return text


def on_submit(
    tables: agent_tables.Tables,
    routing_id: bytes,
    received: messages.Received,
    msg: messages.CallSubmit,
    now: float,
    out: Commands,
) -> None:
    """Queues a call, or sends the result of one that was submitted before.

    The result of a call in progress is sent when it is known.
    """
    tables.peers[routing_id].submits_received += 1
    if msg.key:
        call = _find_by_key(tables, msg.key, msg.req_id)
    else:
        call = _find_repeatable(tables, msg, now)
    if isinstance(call, messages.CallResult):
        out.append(agent_events.Send(routing_id, call))
        return
    if call.state is not State.ISSUED:
        _send_result_or_wait(call, routing_id, msg.req_id, out)
        return
    call.msg = msg
    call.sender = received.sender
    call.config_rev = tables.config.revision
    call.body = received.body
    call.submitted_at = call.changed_at = now
    call.deadline = now + tables.remaining_s(msg.remaining_ms, now)
    call.waiters.append((routing_id, msg.req_id))
    tables.live_calls[call.call_id] = call
    reason = _refusal_reason(tables, call, msg, now)
    if reason:
        set_final_state(tables, call, State.NOT_RUN, reason, now, out)
    elif call.logged:
        call.state = State.APPENDING
        tables.call_log.intent_seqs.append(call.seq)
    else:
        enqueue(tables, call, now)


def _find_by_key(
    tables: agent_tables.Tables, text: str, req_id: str
) -> agent_tables.Call | messages.CallResult:
    """Returns the call of a key, or the answer to send if there is none."""

    def result(outcome: str, reason: str) -> messages.CallResult:
        return messages.CallResult(req_id, text, outcome, 0, [], reason)

    params = tables.params
    try:
        key = call_keys.parse(text, params.secret)
    except errors.RequestError as exc:
        return result("not_run", exc.code)
    if key.service != params.service or key.agent_id != params.agent_id:
        return result("unknown", "wrong_agent")
    if key.incarnation != params.incarnation:
        return result("unknown", "incarnation_gone")
    return tables.keys_by_seq.get(key.seq) or result("unknown", "key_forgotten")


def _find_repeatable(
    tables: agent_tables.Tables, msg: messages.CallSubmit, now: float
) -> agent_tables.Call | messages.CallResult:
    """Returns the call of a submit without key, creating it if needed.

    A request id that was answered `not_run` gets the same answer again, so
    that a late duplicate doesn't run.
    """
    existing_call = tables.calls.get(msg.req_id)
    if existing_call is not None:
        return existing_call
    ended = tables.ended_attempts.get(msg.req_id)
    if ended is not None:
        return messages.CallResult(
            msg.req_id, "", "not_run", 0, [], ended.reason
        )
    call = agent_tables.Call(msg.req_id, 0, "", False, now)
    tables.calls[call.call_id] = call
    return call


def _refusal_reason(
    tables: agent_tables.Tables,
    call: agent_tables.Call,
    msg: messages.CallSubmit,
    now: float,
) -> str:
    """Returns the reason for which the call cannot run, or ""."""
    if tables.drain.active:
        return "draining"
    if not _is_service(tables, msg.service):
        return "wrong_upstream"
    if not call.key and _needs_key(tables, msg):
        return "key_required"
    if call.deadline <= now:
        return "deadline"
    if len(tables.call_queue) >= tables.params.max_queued:
        return "queue_full"
    return ""


def _needs_key(tables: agent_tables.Tables, msg: messages.CallSubmit) -> bool:
    spec = tables.config.services.get(msg.service)
    if spec is None:
        return False
    target = f"{msg.method} {msg.path}"
    return any(target.startswith(prefix) for prefix in spec.not_repeatable)


def _send_result_or_wait(
    call: agent_tables.Call, routing_id: bytes, req_id: str, out: Commands
) -> None:
    if call.state in _FINAL_STATES:
        out.append(result_message(call, routing_id, req_id))
    elif (routing_id, req_id) not in call.waiters:
        call.waiters.append((routing_id, req_id))


def result_message(
    call: agent_tables.Call, routing_id: bytes, req_id: str
) -> agent_events.Send:
    """Returns the message with the result of a call in a final state."""
    result = messages.CallResult(
        req_id,
        call.key,
        call.state.value,
        call.status,
        call.headers,
        call.reason,
    )
    body = call.body if call.state is State.COMPLETED else b""
    return agent_events.Send(routing_id, result, body)


def on_query(
    tables: agent_tables.Tables,
    routing_id: bytes,
    msg: messages.CallQuery,
    now: float,
    out: Commands,
) -> None:
    """Answers with the state of a key's call.

    An unused key becomes NOT_RUN: its submit may still arrive, and must not run
    after this answer.
    """
    call = _find_by_key(tables, msg.key, msg.req_id)
    if isinstance(call, messages.CallResult):
        out.append(agent_events.Send(routing_id, call))
        return
    if call.state is State.ISSUED:
        set_final_state(tables, call, State.NOT_RUN, "not_submitted", now, out)
    if call.state in _FINAL_STATES:
        out.append(result_message(call, routing_id, msg.req_id))
        return
    # The result is also sent on this connection, because that of the submit
    # may have been closed since.
    waiter = (routing_id, msg.req_id)
    if waiter not in call.waiters:
        call.waiters.append(waiter)
    running = messages.CallResult(msg.req_id, msg.key, "running", 0, [], "")
    out.append(agent_events.Send(routing_id, running))


def enqueue(
    tables: agent_tables.Tables, call: agent_tables.Call, now: float
) -> None:
    """Queues a call for a free slot of the service."""
    call.state = State.QUEUED
    call.changed_at = now
    tables.call_queue.append(call.call_id)


def start_ready(tables: agent_tables.Tables, now: float, out: Commands) -> None:
    """Starts queued calls while the service has free slots."""
    while tables.call_queue and tables.calls_running < tables.params.slots:
        call = tables.calls.get(tables.call_queue.popleft())
        if call is None or call.state is not State.QUEUED:
            continue
        _start_call(tables, call, now, out)


def _start_call(
    tables: agent_tables.Tables,
    call: agent_tables.Call,
    now: float,
    out: Commands,
) -> None:
    assert call.msg is not None
    call.state = State.RUNNING
    call.changed_at = now
    tables.calls_running += 1
    out.append(
        agent_events.CallService(
            call.call_id,
            call.msg.method,
            call.msg.path,
            call.msg.headers,
            call.body,
            call.deadline - now + LATE_ANSWER_TIMEOUT_S,
        )
    )
    call.body = b""


def on_answer(
    tables: agent_tables.Tables,
    event: agent_events.ServiceAnswer,
    now: float,
    out: Commands,
) -> None:
    """Completes a call, even if its caller was already answered `unknown`."""
    call = tables.calls.get(event.call_id)
    if call is None or not _awaits_answer(call):
        return
    call.status = event.status
    call.headers = event.headers
    too_large = len(event.body) > MAX_ANSWER_BYTES
    call.body = b"" if too_large else event.body
    reason = "answer_too_large" if too_large else ""
    tables.held_answer_bytes += len(call.body)
    if call.logged:
        entry = call_log.CallEntry(
            call_log.EntryKind.COMPLETION, call.call_id, event.status
        )
        tables.call_log.add_completion(entry, now)
    set_final_state(tables, call, State.COMPLETED, reason, now, out)


def is_under_way(call: agent_tables.Call, now: float) -> bool:
    """Tells whether a drain must wait for the call.

    It also waits for a late answer of a call past its deadline, so that the
    completion gets on the log.
    """
    if call.state in {State.APPENDING, State.QUEUED, State.RUNNING}:
        return True
    return _awaits_answer(call) and now < call.deadline + LATE_ANSWER_TIMEOUT_S


def _awaits_answer(call: agent_tables.Call) -> bool:
    late = call.state is State.UNKNOWN and call.reason == "deadline"
    return call.state is State.RUNNING or late


def on_failed(
    tables: agent_tables.Tables,
    event: agent_events.ServiceFailed,
    now: float,
    out: Commands,
) -> None:
    """Ends a call without answer; it is `not_run` only if nothing was sent."""
    call = tables.calls.get(event.call_id)
    if call is None or call.state is not State.RUNNING:
        return
    state = State.UNKNOWN if event.sent else State.NOT_RUN
    set_final_state(tables, call, state, event.reason, now, out)


def set_final_state(
    tables: agent_tables.Tables,
    call: agent_tables.Call,
    state: agent_tables.CallState,
    reason: str,
    now: float,
    out: Commands,
) -> None:
    """Moves a call to a final state and sends the result to all waiters."""
    was_pending = call.state not in _FINAL_STATES
    tables.live_calls.pop(call.call_id, None)
    if call.state is State.RUNNING:
        tables.calls_running -= 1
    if state is not State.COMPLETED:
        call.body = b""
    call.state = state
    call.reason = reason
    call.changed_at = now
    for routing_id, req_id in call.waiters:
        out.append(result_message(call, routing_id, req_id))
    call.waiters.clear()
    if call.msg is not None and was_pending:
        metrics.CALLS.labels(state.value).inc()
        _write_audit_row(call, call.msg, now, out)
    if not call.seq:
        _drop_repeatable(tables, call)


def _drop_repeatable(
    tables: agent_tables.Tables, call: agent_tables.Call
) -> None:
    tables.held_answer_bytes -= len(call.body)
    tables.calls.pop(call.call_id, None)
    if call.state is State.NOT_RUN:
        tables.record_ended(call.call_id, 0, ran=False, reason=call.reason)


def _write_audit_row(
    call: agent_tables.Call,
    msg: messages.CallSubmit,
    now: float,
    out: Commands,
) -> None:
    out.append(
        agent_events.WriteAuditRow(
            msg.req_id,
            1,
            msg.team,
            0,
            msg.service,
            "",
            call.config_rev,
            call.sender,
            call.submitted_at,
            now,
            call.state.value,
            0,
        )
    )


def expire(tables: agent_tables.Tables, now: float, out: Commands) -> None:
    """Ends calls past their deadline and removes expired keys.

    A running call isn't aborted: its caller is answered `unknown`, and the
    answer of the service is recorded when it arrives.
    """
    for call in list(tables.live_calls.values()):
        if now >= call.deadline:
            running = call.state is State.RUNNING
            state = State.UNKNOWN if running else State.NOT_RUN
            set_final_state(tables, call, state, "deadline", now, out)
    if now >= tables.next_key_expiry_at:
        tables.next_key_expiry_at = now + KEY_EXPIRY_INTERVAL_S
        for call in list(tables.keys_by_seq.values()):
            idle = call.call_id not in tables.live_calls
            if idle and now - call.changed_at >= KEY_RETENTION_S:
                _remove_key(tables, call)
    _remove_oldest_keys(tables)


def _remove_oldest_keys(tables: agent_tables.Tables) -> None:
    """Removes the oldest keys without a pending call beyond the limits."""
    if _within_bounds(tables):
        return
    for call in list(tables.keys_by_seq.values()):
        if call.call_id not in tables.live_calls:
            _remove_key(tables, call)
        if _within_bounds(tables):
            return


def _within_bounds(tables: agent_tables.Tables) -> bool:
    return (
        len(tables.keys_by_seq) <= MAX_KEYS
        and tables.held_answer_bytes <= MAX_HELD_ANSWER_BYTES
    )


def _remove_key(tables: agent_tables.Tables, call: agent_tables.Call) -> None:
    if call.state is State.COMPLETED:
        tables.held_answer_bytes -= len(call.body)
    tables.calls.pop(call.call_id, None)
    tables.keys_by_seq.pop(call.seq, None)
    tables.call_log.refused_seqs.discard(call.seq)
