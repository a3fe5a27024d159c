"""Messages of agents about generations.

A message counts only when agent, incarnation and attempt are those of the row's
current attempt; tokens count only from the first missing offset on. What is
late, duplicated or belongs elsewhere is dropped.

Invariant: an answer is complete only when count and digest of all tokens equal
those of the agent.
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


def receive(
    t: entry_tables.Tables,
    peer: entry_tables.PeerRow,
    msg: StreamMessage,
    now: float,
) -> None:
    """Handles a message about a generation."""
    row = t.requests.get(msg.req_id)
    if row is None or not _is_current(row, peer, msg):
        if isinstance(msg, messages.Accepted | messages.Tokens):
            _stop_stale(t, peer, msg, row)
        return
    row.last_heard = now
    row.attach_open = False
    match msg:
        case messages.Accepted():
            _on_accepted(t, row, peer, msg, now)
        case messages.Tokens():
            _on_tokens(t, row, msg, now)
        case messages.Finished():
            row.finished = msg
            _try_finish(t, row, now)
        case messages.Refused():
            _on_refused(t, row, msg, now)
        case messages.Failed():
            row.maybe_ran = True
            entry_attempts.retry(t, row, msg.reason, now, counted=True)
        case messages.Moved():
            row.maybe_ran = True
            row.kv = msg.kv
            entry_attempts.retry(t, row, "moved", now, counted=False)
        case messages.BodyCredit():
            entry_dispatch.send_chunks(t, row, msg.upto)


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
        return row.attach_open
    return msg.attempt == row.attempt


def _stop_stale(
    t: entry_tables.Tables,
    peer: entry_tables.PeerRow,
    msg: messages.Accepted | messages.Tokens,
    row: entry_tables.RequestRow | None,
) -> None:
    """Ends an attempt that runs although nobody waits for it any more.

    A draining entry leaves its streams running for the entry at which their
    callers resume.
    """
    if t.drain_started is not None:
        return
    newer = row is not None and row.attempt <= msg.attempt
    if newer and row is not None and row.agent_id == peer.agent_id:
        return
    t.send(peer.agent_id, messages.Cancel(msg.req_id, msg.attempt, "stale"))


def _on_accepted(
    t: entry_tables.Tables,
    row: entry_tables.RequestRow,
    peer: entry_tables.PeerRow,
    msg: messages.Accepted,
    now: float,
) -> None:
    if row.state == "attaching":
        row.attempt = msg.attempt
        row.incarnation = peer.incarnation
        row.wait_until = row.deadline
        upstream = t.upstreams.rows.get(peer.agent_id)
        if upstream is not None:
            upstream.outstanding += 1
    row.state = "running"
    entry_groups.adopt(t, row, msg.group, now)


def _on_refused(
    t: entry_tables.Tables,
    row: entry_tables.RequestRow,
    msg: messages.Refused,
    now: float,
) -> None:
    """A refusal proves that the attempt did not run."""
    row.refusal = msg.reason
    row.retry_after_ms = msg.retry_after_ms
    planned = msg.reason in entry_attempts.HANDOVER_REFUSALS
    if msg.reason == "draining":
        entry_peers.suspend(t, row.agent_id)
    entry_attempts.retry(t, row, msg.reason, now, counted=not planned)


def _on_tokens(
    t: entry_tables.Tables,
    row: entry_tables.RequestRow,
    msg: messages.Tokens,
    now: float,
) -> None:
    row.state = "running"
    row.maybe_ran = True
    have = len(row.tokens)
    if msg.offset > have:
        if now - row.last_attach >= entry_tables.RETRY_DELAY_S:
            entry_dispatch.attach(t, row, now)
        return
    fresh = msg.tokens[have - msg.offset :]
    if not fresh:
        return
    if have + len(fresh) > row.spec.max_tokens:
        _mismatch(t, row, "the agent sent more tokens than asked for", now)
        return
    if not _append(t, row, fresh, now):
        return
    if not row.spec.stream:
        entry_dispatch.extend_credit(t, row)
    _try_finish(t, row, now)


def _append(
    t: entry_tables.Tables,
    row: entry_tables.RequestRow,
    fresh: list[int],
    now: float,
) -> bool:
    """Adds tokens; checks the prefix that the caller has; delivers the rest.

    Returns:
        False when the request ended with an error.
    """
    if not row.tokens:
        priority = messages.PRIORITIES[row.spec.priority]
        seconds = now - row.admitted
        metrics.FIRST_TOKEN_SECONDS.labels(priority).observe(seconds)
    resume = row.resume
    if resume is not None and len(row.tokens) < resume.offset:
        known = fresh[: resume.offset - len(row.tokens)]
        fresh = fresh[len(known) :]
        _add(row, known)
        if len(row.tokens) == resume.offset:
            row.resume = None
            if row.digest.hexdigest() != resume.digest:
                _mismatch(t, row, "the tokens before the event id differ", now)
                return False
    if fresh:
        offset = len(row.tokens)
        if row.flushed == offset:
            row.flushed_at = now
        _add(row, fresh)
        entry_ending.deliver(t, row, offset)
    return True


def _add(row: entry_tables.RequestRow, tokens: list[int]) -> None:
    row.tokens.extend(tokens)
    row.digest.update(tokens)


def _try_finish(
    t: entry_tables.Tables, row: entry_tables.RequestRow, now: float
) -> None:
    msg = row.finished
    if msg is None:
        return
    if len(row.tokens) < msg.total_tokens:
        if now - row.last_attach >= entry_tables.RETRY_DELAY_S:
            entry_dispatch.attach(t, row, now)
        return
    whole = len(row.tokens) == msg.total_tokens
    if not whole or row.digest.hexdigest() != msg.digest:
        _mismatch(t, row, "count or digest of the answer differ", now)
    elif row.resume is not None:
        _mismatch(t, row, "the answer ends before the event id", now)
    else:
        entry_ending.complete(t, row, msg, now)


def _mismatch(
    t: entry_tables.Tables,
    row: entry_tables.RequestRow,
    message: str,
    now: float,
) -> None:
    entry_ending.fail(
        t,
        row,
        now,
        status=502,
        code="answer_mismatch",
        message=message,
        step="last token",
    )
