"""Timers of generations, and recovery from lost peers and connections."""

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

_NO_UPSTREAM_RETRY_AFTER_S: Final = 1.0


def on_peer_lost(
    tables: entry_tables.Tables, agent_id: str, now: float
) -> None:
    """Retries the requests of a lost agent at other agents."""
    members = set(entry_groups.requests_with_member(tables, agent_id))
    for row in list(tables.requests.values()):
        if row.agent_id != agent_id and row.req_id not in members:
            continue
        if row.state == "reserving":
            entry_attempts.on_group_broken(tables, row, "peer_lost", now)
            continue
        row.maybe_ran = True
        cancel_reason = "group_broken" if row.agent_id != agent_id else ""
        entry_attempts.retry(
            tables,
            row,
            "peer_lost",
            now,
            is_failure=True,
            cancel_reason=cancel_reason,
        )


def reattach_streams(
    tables: entry_tables.Tables, agent_id: str, now: float
) -> None:
    """Attaches the streams of an agent again over its new connection."""
    for row in list(tables.requests.values()):
        if row.agent_id == agent_id and row.caller_gone_at is None:
            _reattach_stream(tables, row, now)


def _reattach_stream(
    tables: entry_tables.Tables, row: entry_tables.RequestRow, now: float
) -> None:
    if row.next_chunk < entry_dispatch.body_chunk_count(row):
        row.maybe_ran = True
        entry_attempts.retry(
            tables,
            row,
            "upload_cut",
            now,
            is_failure=False,
            cancel_reason="upload_cut",
        )
        return
    entry_dispatch.send_attach(tables, row, now)


def tick(tables: entry_tables.Tables, now: float) -> None:
    """Runs the timers of all generations."""
    for row in list(tables.requests.values()):
        _check_request(tables, row, now)
    for req_id in entry_groups.tick(tables, now):
        overdue_row = tables.requests.get(req_id)
        if overdue_row is not None:
            entry_attempts.on_group_broken(
                tables, overdue_row, "reserve_timeout", now
            )


def _check_request(
    tables: entry_tables.Tables, row: entry_tables.RequestRow, now: float
) -> None:
    if now >= row.deadline:
        entry_ending.fail_at_deadline(tables, row, now)
    elif row.caller_gone_at is not None:
        if now - row.caller_gone_at >= entry_tables.RESUME_WINDOW_S:
            entry_ending.end_request(
                tables,
                row,
                entry_ending.current_outcome(row),
                now,
                cancel_reason="caller_gone",
            )
    elif _drain_grace_over(tables, row, now):
        _hand_over_to_other_entry(tables, row, now)
    elif _caller_stalled(row, now):
        entry_ending.fail_request(
            tables,
            row,
            now,
            status=408,
            code="caller_stalled",
            message="the caller has not read for 30 s",
            step="mid-stream",
        )
    elif row.state == "waiting":
        _check_waiting(tables, row, now)
    elif row.state == "attaching":
        if now >= row.wait_deadline:
            entry_attempts.rerun_with_new_id(tables, row, now)
    elif row.state != "reserving":
        _check_silence(tables, row, now)


def _drain_grace_over(
    tables: entry_tables.Tables, row: entry_tables.RequestRow, now: float
) -> bool:
    started = tables.drain_started
    grace_over = (
        started is not None and now - started >= tables.identity.grace_s
    )
    return grace_over and row.spec.stream


def _hand_over_to_other_entry(
    tables: entry_tables.Tables, row: entry_tables.RequestRow, now: float
) -> None:
    """Tells the caller to resume at another entry; the attempt goes on."""
    if row.caller is not None:
        tables.emit(
            entry_events.Reconnect(
                row.caller, entry_ending.resume_event_id(row)
            )
        )
    tables.groups.pop(row.group_id, None)
    row.group_id = ""
    entry_ending.end_request(
        tables, row, entry_ending.current_outcome(row), now, cancel_reason=""
    )


def _caller_stalled(row: entry_tables.RequestRow, now: float) -> bool:
    unread = row.spec.stream and len(row.tokens) > row.flushed_tokens
    return (
        unread and now - row.flushed_at >= entry_tables.CALLER_STALL_TIMEOUT_S
    )


def _check_waiting(
    tables: entry_tables.Tables, row: entry_tables.RequestRow, now: float
) -> None:
    if now >= row.wait_deadline:
        entry_ending.fail_request(
            tables,
            row,
            now,
            status=503,
            code="no_upstream",
            message=f"no upstream serves {row.spec.model} {row.version}",
            step="dispatch",
            retry_after_s=_NO_UPSTREAM_RETRY_AFTER_S,
        )
    elif now >= row.retry_at:
        entry_attempts.start_attempt(tables, row, now)


def _check_silence(
    tables: entry_tables.Tables, row: entry_tables.RequestRow, now: float
) -> None:
    """Pings the peer of a silent stream, then attaches the stream again."""
    if row.finished is not None:
        if now - row.last_attach_at >= entry_tables.RETRY_DELAY_S:
            entry_dispatch.send_attach(tables, row, now)
        return
    silent_s = now - row.last_message_at
    if silent_s < entry_tables.FRAME_OVERDUE_S:
        return
    peer = tables.peers.get(row.agent_id)
    if (
        peer is not None
        and now - peer.last_frame_at >= entry_tables.FRAME_OVERDUE_S
    ):
        entry_peers.ping_now(tables, row.agent_id, now)
    since_attach_s = now - row.last_attach_at
    if min(silent_s, since_attach_s) >= entry_tables.RESYNC_INTERVAL_S:
        entry_dispatch.send_attach(tables, row, now)


def restart_silence_timers(tables: entry_tables.Tables, now: float) -> None:
    """Restarts the silence timers after a pause of this process.

    A caller that disconnected during the pause may have resumed at another
    entry. Its CallerGone event is handled before any stream is attached again,
    so that its stream is not taken back.
    """
    for row in tables.requests.values():
        row.last_message_at = now
        row.last_attach_at = now
        row.flushed_at = now
