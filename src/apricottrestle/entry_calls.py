"""Calls to plain services, and requests for issued idempotency keys.

A call with an idempotency key is sent only to the agent incarnation that issued
the key. When that incarnation is gone, the outcome of the call is determined
from the log. A key that the caller chose is first bound to an issued one.

Invariant: the outcome "not_run" of a call with a key is reported only when the
agent of the key says so, when the log holds a refusal of the key before any
intent, or when a read of the log shows that a key chosen by the caller is not
bound. A refused attempt alone is no proof, because an earlier attempt with the
same key may have run.
"""

import hashlib

from apricottrestle import (
    call_keys,
    entry_call_end,
    entry_events,
    entry_peers,
    entry_tables,
    errors,
    messages,
)


def accept_call(
    tables: entry_tables.Tables, event: entry_events.Call, now: float
) -> None:
    """Accepts a call and starts its first attempt or the lookup of its key."""
    spec = event.spec
    row = entry_tables.CallRow(
        tables.new_req_id(),
        event.caller,
        spec.service,
        spec.team,
        spec,
        spec.limit_s,
        tables.sync.revision,
        now,
    )
    tables.add_call(row)
    row.maybe_ran = bool(spec.key)
    if tables.drain_started is not None:
        entry_call_end.fail_call(
            tables, row, now, 503, "draining", "entry is stopping"
        )
    elif not spec.key:
        tables.budget.deposit(spec.team, spec.service, now)
        _route_repeatable(tables, row, now)
    elif call_keys.is_issued(spec.key):
        _start_with_key(tables, row, spec.key, now)
    else:
        row.binding_name = binding_name(spec)
        row.state = "binding"
        tables.emit(entry_events.FindBinding(row.req_id, row.binding_name))


def accept_key_request(
    tables: entry_tables.Tables, event: entry_events.IssueKey, now: float
) -> None:
    """Accepts a request for an issued key."""
    row = entry_tables.CallRow(
        tables.new_req_id(),
        event.caller,
        event.service,
        event.team,
        None,
        entry_tables.WAIT_FOR_UPSTREAM_S + entry_tables.KEY_REQUEST_TIMEOUT_S,
        tables.sync.revision,
        now,
    )
    tables.add_call(row)
    if tables.drain_started is not None:
        entry_call_end.fail_call(
            tables, row, now, 503, "draining", "entry is stopping"
        )
    else:
        _request_key(tables, row, now)


def binding_name(spec: entry_events.CallSpec) -> str:
    """Returns the name under which a key chosen by a caller is bound.

    It is a digest of team, service and key: two teams that choose the same key
    never share a call, and the log doesn't reveal the key.
    """
    joined = "\x00".join((spec.team, spec.service, spec.key))
    return hashlib.sha256(joined.encode()).hexdigest()


def _choose_agent(
    tables: entry_tables.Tables, row: entry_tables.CallRow, reason: str
) -> str:
    """Returns the usable agent with the fewest calls of this entry, or "".

    Logs the decision; while the call waits for an agent, only the first one.
    """
    candidates = [
        candidate
        for candidate in tables.upstreams.usable_rows(row.service)
        if candidate.agent_id not in row.excluded
    ]
    best = min(
        candidates,
        key=lambda candidate: (candidate.outstanding, tables.rng.random()),
        default=None,
    )
    agent_id = best.agent_id if best is not None else ""
    if not agent_id and row.logged_no_agent:
        return ""
    row.logged_no_agent = not agent_id
    tables.emit(
        entry_events.LogDecision(
            "route_call",
            {
                "req_id": row.req_id,
                "team": row.team,
                "service": row.service,
                "candidates": len(candidates),
                "agents": [agent_id] if agent_id else [],
                "reason": reason if agent_id else "no_candidate",
            },
        )
    )
    return agent_id


def _request_key(
    tables: entry_tables.Tables, row: entry_tables.CallRow, now: float
) -> None:
    row.state = "issuing"
    row.state_timeout_at = now + entry_tables.KEY_REQUEST_TIMEOUT_S / 2
    agent_id = _choose_agent(tables, row, "issue_key")
    wait_over = now >= row.admitted_at + entry_tables.WAIT_FOR_UPSTREAM_S
    if (
        not agent_id
        and wait_over
        and row.binding_name
        and not row.binding_failed
    ):
        # Another attempt may have bound the key since the first lookup.
        row.state = "binding"
        row.final_lookup = True
        tables.emit(entry_events.FindBinding(row.req_id, row.binding_name))
        return
    row.agent_id = agent_id
    if not agent_id:
        _wait_for_agent(tables, row, now)
        return
    row.excluded.add(agent_id)
    tables.send(agent_id, messages.KeyRequest(row.req_id, row.service, 1))


def _wait_for_agent(
    tables: entry_tables.Tables, row: entry_tables.CallRow, now: float
) -> None:
    """Schedules another choice of an agent, or fails after the wait limit."""
    if now >= row.admitted_at + entry_tables.WAIT_FOR_UPSTREAM_S:
        entry_call_end.fail_no_upstream(tables, row, now)
        return
    row.excluded.clear()
    row.state_timeout_at = now + entry_tables.RETRY_DELAY_S
    tables.awaited_upstreams.add(row.service)


def _route_repeatable(
    tables: entry_tables.Tables, row: entry_tables.CallRow, now: float
) -> None:
    agent_id = _choose_agent(tables, row, "least_outstanding")
    if not agent_id:
        row.state = "waiting"
        _wait_for_agent(tables, row, now)
        return
    _start_attempt(tables, row, agent_id, now)


def _start_attempt(
    tables: entry_tables.Tables,
    row: entry_tables.CallRow,
    agent_id: str,
    now: float,
) -> None:
    row.state = "sent"
    row.attempt += 1
    row.agent_id = agent_id
    row.incarnation = tables.peers[agent_id].incarnation
    row.state_timeout_at = now + entry_tables.RESYNC_INTERVAL_S
    if agent_id in tables.upstreams.rows:
        tables.upstreams.rows[agent_id].outstanding += 1
    _send_submit(tables, row, now)


def _send_submit(
    tables: entry_tables.Tables, row: entry_tables.CallRow, now: float
) -> None:
    assert row.spec is not None, "a key request is never submitted"
    spec = row.spec
    msg = messages.CallSubmit(
        row.req_id,
        row.key_text,
        spec.service,
        spec.team,
        spec.method,
        spec.path,
        list(spec.headers),
        entry_tables.remaining_ms(row.deadline, now),
    )
    tables.send(row.agent_id, msg, spec.body)


def _start_with_key(
    tables: entry_tables.Tables,
    row: entry_tables.CallRow,
    key_text: str,
    now: float,
) -> None:
    try:
        key = call_keys.parse(key_text, tables.identity.secret)
    except errors.RequestError as exc:
        row.maybe_ran = False
        entry_call_end.fail_call(
            tables, row, now, exc.status, exc.code, exc.message
        )
        return
    if key.service != row.service:
        row.maybe_ran = False
        entry_call_end.fail_call(
            tables,
            row,
            now,
            400,
            "invalid_idempotency_key",
            f"the key was issued for service {key.service}",
        )
        return
    row.key_text = key_text
    row.key = key
    row.agent_id = key.agent_id
    _submit_keyed(tables, row, now, may_wait=True)


def _submit_keyed(
    tables: entry_tables.Tables,
    row: entry_tables.CallRow,
    now: float,
    *,
    may_wait: bool,
) -> None:
    """Submits the call to the key's incarnation or resolves the key.

    While there is no connection, the call waits for one, even if the instance
    list doesn't have the agent: the list may be out of date, and resolving a
    key appends its refusal, after which the key can never run.

    Args:
        tables: Tables.
        row: Call with an issued key.
        now: Time.
        may_wait: Starts the wait for a connection; False when it has been
            started before.
    """
    assert row.key is not None, "the call has no issued key"
    agent_id = row.key.agent_id
    peer = tables.peers.get(agent_id)
    listed = tables.instances.get(agent_id)
    if peer is None and listed is not None:
        peer = entry_peers.connect(tables, listed, now)
        peer.pinned = True
    if peer is not None and peer.state == "up":
        if peer.incarnation == row.key.incarnation:
            row.maybe_ran = True
            _start_attempt(tables, row, agent_id, now)
        else:
            _resolve_key(tables, row, now)
    elif may_wait:
        row.state = "connecting"
        row.state_timeout_at = now + entry_tables.CONNECT_TIMEOUT_S


def _resolve_key(
    tables: entry_tables.Tables, row: entry_tables.CallRow, now: float
) -> None:
    assert row.key is not None, "the call has no issued key"
    if not row.key.logged:
        row.maybe_ran = True
        entry_call_end.fail_call(
            tables, row, now, 502, "agent_lost", "the agent of the key is gone"
        )
        return
    row.state = "resolving"
    row.state_timeout_at = now + entry_tables.RESOLVE_TIMEOUT_S
    tables.emit(entry_events.ResolveKey(row.req_id, row.key))


def on_key_resolved(
    tables: entry_tables.Tables, event: entry_events.KeyResolved, now: float
) -> None:
    """Ends the call with the outcome that the log proves."""
    row = tables.calls.get(event.req_id)
    if row is None or row.state != "resolving":
        return
    row.maybe_ran = event.outcome != "not_run"
    if event.outcome == "completed":
        entry_call_end.fail_response_lost(tables, row, event.status, now)
        return
    entry_call_end.fail_call(
        tables,
        row,
        now,
        503 if event.outcome == "not_run" else 502,
        "agent_lost",
        f"the agent of the key is gone; state on the log: {event.reason}",
    )


def on_key_bound(
    tables: entry_tables.Tables, event: entry_events.KeyBound, now: float
) -> None:
    """Continues with the bound key, or requests a key to bind."""
    row = tables.calls.get(event.req_id)
    if row is None or row.state != "binding":
        return
    if row.final_lookup and not event.issued:
        row.maybe_ran = event.failed
        entry_call_end.fail_no_upstream(tables, row, now)
    elif event.failed:
        row.binding_failed = True
        if row.key_text:
            entry_call_end.fail_binding_unavailable(tables, row, now)
        else:
            _request_key(tables, row, now)
    elif event.issued:
        _start_with_key(tables, row, event.issued, now)
    else:
        _request_key(tables, row, now)


def on_key_issued(
    tables: entry_tables.Tables,
    peer: entry_tables.PeerRow,
    msg: messages.KeyIssued,
    now: float,
) -> None:
    """Delivers the issued key, or binds the caller's key to it."""
    row = tables.calls.get(msg.req_id)
    if row is None or row.state != "issuing" or row.agent_id != peer.agent_id:
        return
    if not msg.keys:
        _request_key(tables, row, now)
        return
    row.key_text = msg.keys[0]
    if row.is_key_request:
        entry_call_end.deliver_key(tables, row, now)
    elif row.binding_failed:
        entry_call_end.fail_binding_unavailable(tables, row, now)
    else:
        row.state = "binding"
        tables.emit(
            entry_events.BindKey(row.req_id, row.binding_name, row.key_text)
        )


def on_call_result(
    tables: entry_tables.Tables,
    peer: entry_tables.PeerRow,
    received: messages.Received,
    msg: messages.CallResult,
    now: float,
) -> None:
    """Ends or retries a call according to its agent's result."""
    row = tables.calls.get(msg.req_id)
    if row is None or row.agent_id != peer.agent_id or msg.key != row.key_text:
        return
    if row.state not in ("sent", "resolving"):
        return
    if row.key is not None and received.incarnation != row.key.incarnation:
        return
    if msg.outcome == "running":
        return
    if msg.outcome == "completed":
        entry_call_end.complete_call(tables, row, msg, received.body, now)
    elif row.key is None:
        may_have_run = msg.outcome != "not_run"
        row.maybe_ran = row.maybe_ran or may_have_run
        _retry(tables, row, msg.reason, now)
    else:
        row.maybe_ran = msg.outcome != "not_run"
        entry_call_end.fail_call(
            tables,
            row,
            now,
            503 if msg.outcome == "not_run" else 502,
            msg.reason or "call_failed",
            f"the agent did not complete the call: {msg.reason}",
        )


def _retry(
    tables: entry_tables.Tables,
    row: entry_tables.CallRow,
    reason: str,
    now: float,
) -> None:
    """Retries a repeatable call at another agent if the limits allow it."""
    tables.upstreams.record_end(row.agent_id)
    row.excluded.add(row.agent_id)
    row.agent_id = ""
    is_planned = reason == "draining"
    row.failures += 0 if is_planned else 1
    allowed = row.failures < entry_tables.MAX_FAILED_ATTEMPTS and (
        is_planned or tables.budget.try_withdraw(row.team, row.service, now)
    )
    if allowed:
        _route_repeatable(tables, row, now)
        return
    entry_call_end.fail_call(
        tables,
        row,
        now,
        502 if row.maybe_ran else 503,
        "call_failed",
        f"the last attempt ended: {reason}",
    )


def on_send_failed(
    tables: entry_tables.Tables,
    msg: messages.CallSubmit,
    agent_id: str,
    now: float,
) -> None:
    """Handles a submit that the transport did not take."""
    row = tables.calls.get(msg.req_id)
    if row is None or row.agent_id != agent_id or row.state != "sent":
        return
    if row.key is None:
        _retry(tables, row, "unsent", now)
    else:
        _query_call(tables, row, now)


def on_peer_lost(
    tables: entry_tables.Tables, agent_id: str, now: float
) -> None:
    """Retries or resolves the calls of an agent that is lost or restarted."""
    for row in list(tables.calls.values()):
        if row.agent_id != agent_id:
            continue
        if row.state == "issuing":
            _request_key(tables, row, now)
        elif row.state == "sent" and row.key is None:
            row.maybe_ran = True
            _retry(tables, row, "peer_lost", now)
        elif row.state == "sent":
            tables.upstreams.record_end(agent_id)
            _resolve_key(tables, row, now)
        elif row.state == "connecting":
            _submit_keyed(tables, row, now, may_wait=False)


def resubmit_calls(
    tables: entry_tables.Tables, agent_id: str, now: float
) -> None:
    """Submits all calls of an agent again on a new connection.

    A submit with a known key or request id starts no second run: the agent
    joins it to the running call and sends the result on the new connection.
    """
    for row in tables.calls.values():
        if row.agent_id == agent_id and row.state == "sent":
            _send_submit(tables, row, now)


def _query_call(
    tables: entry_tables.Tables, row: entry_tables.CallRow, now: float
) -> None:
    row.state_timeout_at = now + entry_tables.RESYNC_INTERVAL_S
    tables.send(row.agent_id, messages.CallQuery(row.req_id, row.key_text))


def tick(tables: entry_tables.Tables, now: float) -> None:
    """Runs the timers of all calls."""
    for row in list(tables.calls.values()):
        if now >= row.deadline:
            entry_call_end.fail_at_deadline(tables, row, now)
        elif row.state == "connecting":
            _check_connecting(tables, row, now)
        elif now >= row.state_timeout_at:
            _on_state_timeout(tables, row, now)


def _check_connecting(
    tables: entry_tables.Tables, row: entry_tables.CallRow, now: float
) -> None:
    if now >= row.state_timeout_at:
        _resolve_key(tables, row, now)
    else:
        _submit_keyed(tables, row, now, may_wait=False)


def _on_state_timeout(
    tables: entry_tables.Tables, row: entry_tables.CallRow, now: float
) -> None:
    if row.state == "issuing":
        _request_key(tables, row, now)
    elif row.state == "waiting":
        _route_repeatable(tables, row, now)
    elif row.state == "sent" and row.key_text:
        _query_call(tables, row, now)
    elif row.state == "resolving":
        entry_call_end.fail_call(
            tables,
            row,
            now,
            502,
            "agent_lost",
            "the agent of the key is gone and the log did not answer in time",
        )


def on_caller_gone(row: entry_tables.CallRow) -> None:
    """Detaches the caller; the call continues and may still have its effect."""
    row.caller = None
