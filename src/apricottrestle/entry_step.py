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
    t: entry_tables.Tables,
    events: Sequence[entry_events.Event],
    now: float,
) -> list[entry_events.Command]:
    """Runs the timers if a tick is due, then handles the events in order.

    Args:
        t: State of the entry, changed in place.
        events: What happened since the last step.
        now: Monotonic seconds; must not decrease between steps.

    Returns:
        Commands to execute in order.
    """
    if t.last_tick is None or now - t.last_tick >= entry_tables.TICK_INTERVAL_S:
        _tick(t, now)
    for event in events:
        _handle_event(t, event, now)
    commands, t.commands = t.commands, []
    return commands


def _tick(t: entry_tables.Tables, now: float) -> None:
    paused = (
        t.last_tick is not None
        and now - t.last_tick >= entry_tables.PROCESS_PAUSE_S
    )
    t.last_tick = now
    if paused:
        entry_peers.restart_silence_timers(t, now)
        entry_timers.restart_silence_timers(t, now)
    for agent_id in entry_peers.tick(t, now):
        _on_peer_lost(t, agent_id, now)
    entry_timers.tick(t, now)
    entry_calls.tick(t, now)


def _on_peer_lost(t: entry_tables.Tables, agent_id: str, now: float) -> None:
    entry_timers.on_peer_lost(t, agent_id, now)
    entry_calls.on_peer_lost(t, agent_id, now)


def _handle_event(
    t: entry_tables.Tables, event: entry_events.Event, now: float
) -> None:
    match event:
        case entry_events.FrameReceived():
            _on_frame_received(t, event, now)
        case entry_events.SendFailed():
            _on_send_failed(t, event, now)
        case (
            entry_events.Generate()
            | entry_events.Call()
            | entry_events.IssueKey()
            | entry_events.CallerRead()
            | entry_events.CallerGone()
        ):
            _on_caller_event(t, event, now)
        case _:
            _on_platform_event(t, event, now)


def _on_caller_event(
    t: entry_tables.Tables, event: entry_events.CallerEvent, now: float
) -> None:
    match event:
        case entry_events.Generate():
            entry_requests.accept_generation(t, event, now)
        case entry_events.Call():
            entry_calls.accept_call(t, event, now)
        case entry_events.IssueKey():
            entry_calls.accept_key_request(t, event, now)
        case entry_events.CallerRead():
            entry_requests.on_caller_read(t, event, now)
        case entry_events.CallerGone():
            _on_caller_gone(t, event, now)


def _on_platform_event(
    t: entry_tables.Tables, event: entry_events.PlatformEvent, now: float
) -> None:
    match event:
        case entry_events.InstancesChanged():
            entry_peers.apply_instances(t, event.rows, now)
        case entry_events.ReleaseNotesRead():
            entry_config.apply_release_notes(t, event.result)
        case entry_events.DrainRecordsRead():
            if entry_config.apply_drain_records(t, event.records):
                _start_drain(t, now)
        case entry_events.KeyResolved():
            entry_calls.on_key_resolved(t, event, now)
        case entry_events.KeyBound():
            entry_calls.on_key_bound(t, event, now)
        case entry_events.StartDrain():
            _start_drain(t, now)


def _start_drain(t: entry_tables.Tables, now: float) -> None:
    if t.drain_started is None:
        t.drain_started = now


def _on_caller_gone(
    t: entry_tables.Tables, event: entry_events.CallerGone, now: float
) -> None:
    req_id = t.callers.pop(event.caller, "")
    if req_id in t.requests:
        entry_requests.on_caller_gone(t, t.requests[req_id], now)
    elif req_id in t.calls:
        entry_calls.on_caller_gone(t.calls[req_id])


def _on_frame_received(
    t: entry_tables.Tables, event: entry_events.FrameReceived, now: float
) -> None:
    received = event.received
    peer, peer_change = entry_peers.on_frame(t, event.conn, received, now)
    if peer is None:
        return
    if peer_change in ("new", "restarted"):
        entry_peers.remove_upstream(t, peer.agent_id)
        entry_config.bind_drain(t, peer)
    if peer_change == "restarted":
        _on_peer_lost(t, peer.agent_id, now)
    entry_config.request_newer_config(t, peer, received.config_rev, now)
    _on_message(t, peer, received, now)
    if peer_change == "attach":
        entry_timers.reattach_streams(t, peer.agent_id, now)
        entry_calls.resubmit_calls(t, peer.agent_id, now)


def _on_message(
    t: entry_tables.Tables,
    peer: entry_tables.PeerRow,
    received: messages.Received,
    now: float,
) -> None:
    msg = received.msg
    match msg:
        case messages.HelloReply() | messages.Pong():
            entry_peers.apply_report(t, peer, msg.load, now)
        case messages.Draining():
            entry_peers.suspend_routing(t, peer.agent_id)
        case messages.CacheSummary():
            entry_peers.apply_cache_summary(t, peer, msg)
        case messages.ConfigRequest():
            entry_config.answer_config_request(t, peer, msg)
        case messages.ConfigUpdate():
            t.sync.apply_update(msg)
        case messages.KeyIssued():
            entry_calls.on_key_issued(t, peer, msg, now)
        case messages.CallResult():
            entry_calls.on_call_result(t, peer, received, msg, now)
        case messages.Reserved():
            _on_reserved(t, peer, msg, now)
        case (
            messages.Accepted()
            | messages.Refused()
            | messages.Tokens()
            | messages.Finished()
            | messages.Failed()
            | messages.Moved()
            | messages.BodyCredit()
        ):
            entry_streams.on_message(t, peer, msg, now)


def _on_reserved(
    t: entry_tables.Tables,
    peer: entry_tables.PeerRow,
    msg: messages.Reserved,
    now: float,
) -> None:
    result, req_id = entry_groups.on_reserved(t, peer.agent_id, msg, now)
    row = t.requests.get(req_id)
    if row is None:
        return
    if result == "ready":
        entry_groups.submit_reserved(t, row, now)
    elif result == "broken":
        entry_attempts.on_group_broken(t, row, msg.reason, now)


def _on_send_failed(
    t: entry_tables.Tables, event: entry_events.SendFailed, now: float
) -> None:
    """Retries a submission that was not sent, and so cannot have run."""
    agent_id = t.conns.get(event.conn, "")
    msg = event.msg
    if isinstance(msg, messages.Submit):
        row = t.requests.get(msg.req_id)
        if row is None or row.agent_id != agent_id:
            return
        if row.attempt == msg.attempt:
            entry_attempts.retry(t, row, "unsent", now, is_failure=True)
    elif isinstance(msg, messages.CallSubmit):
        entry_calls.on_send_failed(t, msg, agent_id, now)
