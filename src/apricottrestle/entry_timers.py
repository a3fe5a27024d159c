"""Timers of generations, and the loss of a peer or of its connection."""

from typing import Final

from apricottrestle import (
    entry_attempts,
    entry_dispatch,
    entry_ending,
    entry_events,
    entry_groups,
    entry_peers,
    entry_tables,
)

_DRAIN_RETRY_AFTER_S: Final = 1.0


def peer_lost(t: entry_tables.Tables, agent_id: str, now: float) -> None:
    """Continues elsewhere what ran at an agent that is gone."""
    members = set(entry_groups.of_agent(t, agent_id))
    for row in list(t.requests.values()):
        if row.agent_id != agent_id and row.req_id not in members:
            continue
        if row.state == "reserving":
            entry_attempts.group_broken(t, row, "peer_lost", now)
            continue
        row.maybe_ran = True
        cancel = "group_broken" if row.agent_id != agent_id else ""
        entry_attempts.retry(
            t, row, "peer_lost", now, counted=True, cancel=cancel
        )


def reattach(t: entry_tables.Tables, agent_id: str, now: float) -> None:
    """Attaches all streams of an agent on its new connection."""
    for row in list(t.requests.values()):
        if row.agent_id == agent_id and row.gone_at is None:
            _reattach(t, row, now)


def _reattach(
    t: entry_tables.Tables, row: entry_tables.RequestRow, now: float
) -> None:
    if row.next_chunk < entry_dispatch.chunk_count(row):
        row.maybe_ran = True
        entry_attempts.retry(
            t, row, "upload_cut", now, counted=False, cancel="upload_cut"
        )
        return
    entry_dispatch.attach(t, row, now)


def tick(t: entry_tables.Tables, now: float) -> None:
    """Runs the timers of all generations."""
    for row in list(t.requests.values()):
        _tick_row(t, row, now)
    for req_id in entry_groups.tick(t, now):
        late = t.requests.get(req_id)
        if late is not None:
            entry_attempts.group_broken(t, late, "reserve_timeout", now)


def _tick_row(
    t: entry_tables.Tables, row: entry_tables.RequestRow, now: float
) -> None:
    if now >= row.deadline:
        entry_ending.deadline(t, row, now)
    elif row.gone_at is not None:
        if now - row.gone_at >= entry_tables.RESUME_WINDOW_S:
            entry_ending.drop(
                t, row, entry_ending.outcome_now(row), now, cancel="caller_gone"
            )
    elif _drain_over(t, row, now):
        _hand_to_other_entry(t, row, now)
    elif _stalled(row, now):
        entry_ending.fail(
            t,
            row,
            now,
            status=408,
            code="caller_stalled",
            message="the caller has not read for 30 s",
            step="mid-stream",
        )
    elif row.state == "waiting":
        _tick_waiting(t, row, now)
    elif row.state == "attaching":
        if now >= row.wait_until:
            entry_attempts.run_anew(t, row, now)
    elif row.state != "reserving":
        _tick_silent(t, row, now)


def _drain_over(
    t: entry_tables.Tables, row: entry_tables.RequestRow, now: float
) -> bool:
    started = t.drain_started
    over = started is not None and now - started >= t.identity.grace_s
    return over and row.spec.stream


def _hand_to_other_entry(
    t: entry_tables.Tables, row: entry_tables.RequestRow, now: float
) -> None:
    """Tells the caller to resume at another entry; the agent keeps going."""
    if row.caller is not None:
        t.emit(entry_events.Reconnect(row.caller, entry_ending.event_id(row)))
    t.groups.pop(row.group_id, None)
    row.group_id = ""
    entry_ending.drop(t, row, entry_ending.outcome_now(row), now, cancel="")


def _stalled(row: entry_tables.RequestRow, now: float) -> bool:
    unread = row.spec.stream and len(row.tokens) > row.flushed
    return (
        unread and now - row.flushed_at >= entry_tables.CALLER_STALL_TIMEOUT_S
    )


def _tick_waiting(
    t: entry_tables.Tables, row: entry_tables.RequestRow, now: float
) -> None:
    if now >= row.wait_until:
        entry_ending.fail(
            t,
            row,
            now,
            status=503,
            code="no_upstream",
            message=f"no upstream serves {row.spec.model} {row.version}",
            step="dispatch",
            retry_after_s=_DRAIN_RETRY_AFTER_S,
        )
    elif now >= row.retry_at:
        entry_attempts.start(t, row, now)


def _tick_silent(
    t: entry_tables.Tables, row: entry_tables.RequestRow, now: float
) -> None:
    """Asks the peer for a sign of life, and the agent for the stream."""
    if row.finished is not None:
        if now - row.last_attach >= entry_tables.RETRY_DELAY_S:
            entry_dispatch.attach(t, row, now)
        return
    silent_s = now - row.last_heard
    if silent_s < entry_tables.FRAME_OVERDUE_S:
        return
    peer = t.peers.get(row.agent_id)
    if (
        peer is not None
        and now - peer.last_frame_at >= entry_tables.FRAME_OVERDUE_S
    ):
        entry_peers.ping_now(t, row.agent_id, now)
    since_attach_s = now - row.last_attach
    if min(silent_s, since_attach_s) >= entry_tables.RESYNC_INTERVAL_S:
        entry_dispatch.attach(t, row, now)


def excuse_silence(t: entry_tables.Tables, now: float) -> None:
    """Restarts the silence clocks after this process itself was stopped.

    A caller that left meanwhile has resumed elsewhere; the event of its leaving
    is handled before any stream is attached again.
    """
    for row in t.requests.values():
        row.last_heard = now
        row.last_attach = now
        row.flushed_at = now
