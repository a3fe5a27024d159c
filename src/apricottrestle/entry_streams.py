"""Messages of agents about generations.

A message is accepted only if its agent, incarnation and attempt are those of
the request's current attempt, and tokens only from the first missing offset on.
Late, duplicated and misdirected messages are dropped.

Invariant: an answer is reported as complete only if the count and digest of all
tokens match those that the agent sent.
"""

from apricottrestle import (
    entry_attempts,
    entry_dispatch,
    entry_ending,
    entry_groups,
    entry_peers,
    entry_tables,
    messages,
    metrics,
)

StreamMessage = (
    messages.Accepted
    | messages.Refused
    | messages.Tokens
    | messages.Finished
    | messages.Failed
    | messages.Moved
    | messages.BodyCredit
)


def on_message(
    tables: entry_tables.Tables,
    peer: entry_tables.PeerRow,
    msg: StreamMessage,
    now: float,
) -> None:
    """Handles a message about a generation."""
    row = tables.requests.get(msg.req_id)
    if row is None or not _is_current(row, peer, msg):
        if isinstance(msg, messages.Accepted | messages.Tokens):
            _cancel_stale_attempt(tables, peer, msg, row)
        return
    row.last_message_at = now
    row.attach_pending = False
    match msg:
        case messages.Accepted():
            _on_accepted(tables, row, peer, msg, now)
        case messages.Tokens():
            _on_tokens(tables, row, msg, now)
        case messages.Finished():
            row.finished = msg
            _complete_if_received(tables, row, now)
        case messages.Refused():
            _on_refused(tables, row, msg, now)
        case messages.Failed():
            row.maybe_ran = True
            entry_attempts.retry(tables, row, msg.reason, now, is_failure=True)
        case messages.Moved():
            row.maybe_ran = True
            row.kv = msg.kv
            entry_attempts.retry(tables, row, "moved", now, is_failure=False)
        case messages.BodyCredit():
            entry_dispatch.send_body_chunks(tables, row, msg.upto)


def _is_current(
    row: entry_tables.RequestRow,
    peer: entry_tables.PeerRow,
    msg: StreamMessage,
) -> bool:
    if row.agent_id != peer.agent_id:
        return False
    if row.state == "attaching":
        return isinstance(msg, messages.Accepted | messages.Failed)
    if row.incarnation != peer.incarnation:
        return False
    if isinstance(msg, messages.Failed) and msg.attempt == 0:
        return row.attach_pending
    return msg.attempt == row.attempt


def _cancel_stale_attempt(
    tables: entry_tables.Tables,
    peer: entry_tables.PeerRow,
    msg: messages.Accepted | messages.Tokens,
    row: entry_tables.RequestRow | None,
) -> None:
    """Cancels an attempt that runs although no request waits for it.

    A draining entry cancels nothing, since its callers resume their streams at
    another entry.
    """
    if tables.drain_started is not None:
        return
    not_older = row is not None and row.attempt <= msg.attempt
    if not_older and row is not None and row.agent_id == peer.agent_id:
        return
    tables.send(
        peer.agent_id, messages.Cancel(msg.req_id, msg.attempt, "stale")
    )


def _on_accepted(
    tables: entry_tables.Tables,
    row: entry_tables.RequestRow,
    peer: entry_tables.PeerRow,
    msg: messages.Accepted,
    now: float,
) -> None:
    if row.state == "attaching":
        row.attempt = msg.attempt
        row.incarnation = peer.incarnation
        row.wait_deadline = row.deadline
        upstream = tables.upstreams.rows.get(peer.agent_id)
        if upstream is not None:
            upstream.outstanding += 1
    row.state = "running"
    entry_groups.adopt_group(tables, row, msg.group, now)


def _on_refused(
    tables: entry_tables.Tables,
    row: entry_tables.RequestRow,
    msg: messages.Refused,
    now: float,
) -> None:
    """Retries after a refusal, which proves that the attempt did not run."""
    row.refusal_reason = msg.reason
    row.retry_after_ms = msg.retry_after_ms
    planned = msg.reason in entry_attempts.PLANNED_REFUSAL_REASONS
    if msg.reason == "draining":
        entry_peers.suspend_routing(tables, row.agent_id)
    entry_attempts.retry(tables, row, msg.reason, now, is_failure=not planned)


def _on_tokens(
    tables: entry_tables.Tables,
    row: entry_tables.RequestRow,
    msg: messages.Tokens,
    now: float,
) -> None:
    row.state = "running"
    row.maybe_ran = True
    received_count = len(row.tokens)
    if msg.offset > received_count:
        if now - row.last_attach_at >= entry_tables.RETRY_DELAY_S:
            entry_dispatch.send_attach(tables, row, now)
        return
    new_tokens = msg.tokens[received_count - msg.offset :]
    if not new_tokens:
        return
    if received_count + len(new_tokens) > row.spec.max_tokens:
        _fail_answer_mismatch(
            tables, row, "the agent sent more than max_tokens tokens", now
        )
        return
    if not _receive_tokens(tables, row, new_tokens, now):
        return
    if not row.spec.stream:
        entry_dispatch.extend_credit(tables, row)
    _complete_if_received(tables, row, now)


def _receive_tokens(
    tables: entry_tables.Tables,
    row: entry_tables.RequestRow,
    new_tokens: list[int],
    now: float,
) -> bool:
    """Stores tokens, verifies a resumed prefix and delivers what is new.

    Returns:
        False when the request has ended with an error.
    """
    if not row.tokens:
        priority = messages.PRIORITIES[row.spec.priority]
        seconds = now - row.admitted_at
        metrics.FIRST_TOKEN_SECONDS.labels(priority).observe(seconds)
    resume = row.prefix_to_check
    if resume is not None and len(row.tokens) < resume.offset:
        prefix = new_tokens[: resume.offset - len(row.tokens)]
        new_tokens = new_tokens[len(prefix) :]
        _append_tokens(row, prefix)
        if len(row.tokens) == resume.offset:
            row.prefix_to_check = None
            if row.digest.hexdigest() != resume.digest:
                _fail_answer_mismatch(
                    tables,
                    row,
                    "the rerun differs from the tokens already sent",
                    now,
                )
                return False
    if new_tokens:
        offset = len(row.tokens)
        if row.flushed_tokens == offset:
            row.flushed_at = now
        _append_tokens(row, new_tokens)
        entry_ending.deliver_tokens(tables, row, offset)
    return True


def _append_tokens(row: entry_tables.RequestRow, tokens: list[int]) -> None:
    row.tokens.extend(tokens)
    row.digest.update(tokens)


def _complete_if_received(
    tables: entry_tables.Tables, row: entry_tables.RequestRow, now: float
) -> None:
    msg = row.finished
    if msg is None:
        return
    if len(row.tokens) < msg.total_tokens:
        if now - row.last_attach_at >= entry_tables.RETRY_DELAY_S:
            entry_dispatch.send_attach(tables, row, now)
        return
    count_matches = len(row.tokens) == msg.total_tokens
    if not count_matches or row.digest.hexdigest() != msg.digest:
        _fail_answer_mismatch(
            tables,
            row,
            "the token count or digest differs from the agent's",
            now,
        )
    elif row.prefix_to_check is not None:
        _fail_answer_mismatch(
            tables, row, "the answer ends before the event id", now
        )
    else:
        entry_ending.complete_request(tables, row, msg, now)


def _fail_answer_mismatch(
    tables: entry_tables.Tables,
    row: entry_tables.RequestRow,
    message: str,
    now: float,
) -> None:
    entry_ending.fail_request(
        tables,
        row,
        now,
        status=502,
        code="answer_mismatch",
        message=message,
        step="last token",
    )
