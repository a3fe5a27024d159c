"""The entry's pure step: takes events, changes the tables, returns commands.

The same step runs in the daemon, the fault matrix, the state machine tests and
the benchmarks. It does no I/O and reads no clock.

Invariant: when a tick is due, the timers run before the events are handled.
After a pause of the process, requests past their deadline therefore end before
queued messages are handled.
"""

from collections.abc import Sequence

from apricottrestle import (
    entry_attempts,
    entry_calls,
    entry_config,
    entry_events,
    entry_groups,
    entry_peers,
    entry_requests,
    entry_streams,
    entry_tables,
    entry_timers,
    messages,
)


def step(
    tables: entry_tables.Tables,
    events: Sequence[entry_events.Event],
    now: float,
) -> list[entry_events.Command]:
    """Runs the timers if a tick is due, then handles the events in order.

    Args:
        tables: State of the entry, changed in place.
        events: What happened since the last step.
        now: Monotonic seconds; must not decrease between steps.

    Returns:
        Commands to execute in order.
    """
    if (
        tables.last_tick is None
        or now - tables.last_tick >= entry_tables.TICK_INTERVAL_S
    ):
        _tick(tables, now)
    for event in events:
        _handle_event(tables, event, now)
    commands, tables.commands = tables.commands, []
    return commands


def _tick(tables: entry_tables.Tables, now: float) -> None:
    paused = (
        tables.last_tick is not None
        and now - tables.last_tick >= entry_tables.PROCESS_PAUSE_S
    )
    tables.last_tick = now
    if paused:
        entry_peers.restart_silence_timers(tables, now)
        entry_timers.restart_silence_timers(tables, now)
    for agent_id in entry_peers.tick(tables, now):
        _on_peer_lost(tables, agent_id, now)
    entry_timers.tick(tables, now)
    entry_calls.tick(tables, now)


def _on_peer_lost(
    tables: entry_tables.Tables, agent_id: str, now: float
) -> None:
    entry_timers.on_peer_lost(tables, agent_id, now)
    entry_calls.on_peer_lost(tables, agent_id, now)


def _handle_event(
    tables: entry_tables.Tables, event: entry_events.Event, now: float
) -> None:
    match event:
        case entry_events.FrameReceived():
            _on_frame_received(tables, event, now)
        case entry_events.SendFailed():
            _on_send_failed(tables, event, now)
        case (
            entry_events.Generate()
            | entry_events.Call()
            | entry_events.IssueKey()
            | entry_events.CallerRead()
            | entry_events.CallerGone()
        ):
            _on_caller_event(tables, event, now)
        case _:
            _on_platform_event(tables, event, now)


def _on_caller_event(
    tables: entry_tables.Tables, event: entry_events.CallerEvent, now: float
) -> None:
    match event:
        case entry_events.Generate():
            entry_requests.accept_generation(tables, event, now)
        case entry_events.Call():
            entry_calls.accept_call(tables, event, now)
        case entry_events.IssueKey():
            entry_calls.accept_key_request(tables, event, now)
        case entry_events.CallerRead():
            entry_requests.on_caller_read(tables, event, now)
        case entry_events.CallerGone():
            _on_caller_gone(tables, event, now)


def _on_platform_event(
    tables: entry_tables.Tables, event: entry_events.PlatformEvent, now: float
) -> None:
    match event:
        case entry_events.InstancesChanged():
            entry_peers.apply_instances(tables, event.rows, now)
        case entry_events.ReleaseNotesRead():
            entry_config.apply_release_notes(tables, event.result)
        case entry_events.DrainRecordsRead():
            if entry_config.apply_drain_records(tables, event.records):
                _start_drain(tables, now)
        case entry_events.KeyResolved():
            entry_calls.on_key_resolved(tables, event, now)
        case entry_events.KeyBound():
            entry_calls.on_key_bound(tables, event, now)
        case entry_events.StartDrain():
            _start_drain(tables, now)


def _start_drain(tables: entry_tables.Tables, now: float) -> None:
    if tables.drain_started is None:
        tables.drain_started = now


def _on_caller_gone(
    tables: entry_tables.Tables, event: entry_events.CallerGone, now: float
) -> None:
    req_id = tables.callers.pop(event.caller, "")
    if req_id in tables.requests:
        entry_requests.on_caller_gone(tables, tables.requests[req_id], now)
    elif req_id in tables.calls:
        entry_calls.on_caller_gone(tables.calls[req_id])


def _on_frame_received(
    tables: entry_tables.Tables, event: entry_events.FrameReceived, now: float
) -> None:
    received = event.received
    peer, peer_change = entry_peers.on_frame(tables, event.conn, received, now)
    if peer is None:
        return
    if peer_change in ("new", "restarted"):
        entry_peers.remove_upstream(tables, peer.agent_id)
        entry_config.bind_drain(tables, peer)
    if peer_change == "restarted":
        _on_peer_lost(tables, peer.agent_id, now)
    entry_config.request_newer_config(tables, peer, received.config_rev, now)
    _on_message(tables, peer, received, now)
    if peer_change == "attach":
        entry_timers.reattach_streams(tables, peer.agent_id, now)
        entry_calls.resubmit_calls(tables, peer.agent_id, now)


def _on_message(
    tables: entry_tables.Tables,
    peer: entry_tables.PeerRow,
    received: messages.Received,
    now: float,
) -> None:
    msg = received.msg
    match msg:
        case messages.HelloReply() | messages.Pong():
            entry_peers.apply_report(tables, peer, msg.load, now)
        case messages.Draining():
            entry_peers.suspend_routing(tables, peer.agent_id)
        case messages.CacheSummary():
            entry_peers.apply_cache_summary(tables, peer, msg)
        case messages.ConfigRequest():
            entry_config.answer_config_request(tables, peer, msg)
        case messages.ConfigUpdate():
            tables.sync.apply_update(msg)
        case messages.KeyIssued():
            entry_calls.on_key_issued(tables, peer, msg, now)
        case messages.CallResult():
            entry_calls.on_call_result(tables, peer, received, msg, now)
        case messages.Reserved():
            _on_reserved(tables, peer, msg, now)
        case (
            messages.Accepted()
            | messages.Refused()
            | messages.Tokens()
            | messages.Finished()
            | messages.Failed()
            | messages.Moved()
            | messages.BodyCredit()
        ):
            entry_streams.on_message(tables, peer, msg, now)


def _on_reserved(
    tables: entry_tables.Tables,
    peer: entry_tables.PeerRow,
    msg: messages.Reserved,
    now: float,
) -> None:
    result, req_id = entry_groups.on_reserved(tables, peer.agent_id, msg, now)
    row = tables.requests.get(req_id)
    if row is None:
        return
    if result == "ready":
        entry_groups.submit_reserved(tables, row, now)
    elif result == "broken":
        entry_attempts.on_group_broken(tables, row, msg.reason, now)


def _on_send_failed(
    tables: entry_tables.Tables, event: entry_events.SendFailed, now: float
) -> None:
    """Retries a submission that was not sent, and so cannot have run."""
    agent_id = tables.conns.get(event.conn, "")
    msg = event.msg
    if isinstance(msg, messages.Submit):
        row = tables.requests.get(msg.req_id)
        if row is None or row.agent_id != agent_id:
            return
        if row.attempt == msg.attempt:
            entry_attempts.retry(tables, row, "unsent", now, is_failure=True)
    elif isinstance(msg, messages.CallSubmit):
        entry_calls.on_send_failed(tables, msg, agent_id, now)
