"""Group commit of intents and completions to the agent's call stream.

Invariant: a call whose key is marked as logged is queued only after its intent
has been appended and the stream up to the intent has been read without a gap
and without a refusal of the key.
"""

from typing import Final

from apricottrestle import (
    agent_calls,
    agent_events,
    agent_tables,
    call_log,
    errors,
)

LOG_TIMEOUT_S: Final = 4.0
PROBE_INTERVAL_S: Final = 5.0
"""Interval of reads of the stream while nothing is appended."""

RETRY_DELAY_S: Final = 2.0
MAX_BATCH_ENTRIES: Final = 256
MAX_READ_RECORDS: Final = 500

Commands = list[agent_events.Command]
Phase = agent_tables.CallLogPhase
State = agent_tables.CallState


def tick(tables: agent_tables.Tables, now: float, out: Commands) -> None:
    """Starts the next append or read, or fails one that has timed out."""
    if tables.params.kind != "service":
        return
    log = tables.call_log
    if log.phase is not Phase.IDLE:
        if now - log.phase_started_at >= LOG_TIMEOUT_S:
            _fail_batch(tables, now, out)
        return
    completions_due = bool(log.completions) and now >= log.completions_due_at
    if log.intent_seqs or (completions_due and log.available):
        _start_append(tables, now, out)
    elif now >= log.next_probe_at:
        log.batch_number += 1
        log.batch_seqs = []
        log.batch_offset = None
        _start_read(tables, now, out)


def _start_append(
    tables: agent_tables.Tables, now: float, out: Commands
) -> None:
    log = tables.call_log
    log.batch_number += 1
    log.batch_seqs = log.intent_seqs[:MAX_BATCH_ENTRIES]
    del log.intent_seqs[:MAX_BATCH_ENTRIES]
    log.batch_completions = log.completions[:MAX_BATCH_ENTRIES]
    del log.completions[:MAX_BATCH_ENTRIES]
    log.phase = Phase.APPENDING
    log.phase_started_at = now
    entries = [
        call_log.CallEntry(
            call_log.EntryKind.INTENT, f"{tables.params.incarnation}~{seq}"
        )
        for seq in log.batch_seqs
    ]
    data = call_log.encode(entries + log.batch_completions)
    out.append(agent_events.AppendCalls(log.batch_number, data))


def _start_read(tables: agent_tables.Tables, now: float, out: Commands) -> None:
    log = tables.call_log
    log.phase = Phase.READING
    log.phase_started_at = now
    out.append(
        agent_events.ReadCalls(log.batch_number, log.position, MAX_READ_RECORDS)
    )


def on_appended(
    tables: agent_tables.Tables,
    event: agent_events.CallsAppended,
    now: float,
    out: Commands,
) -> None:
    """Reads the stream up to the appended record if it holds intents."""
    log = tables.call_log
    if event.batch != log.batch_number or log.phase is not Phase.APPENDING:
        return
    log.batch_completions = []
    if not log.batch_seqs:
        log.phase = Phase.IDLE
        return
    log.batch_offset = event.offset
    _start_read(tables, now, out)


def on_read(
    tables: agent_tables.Tables,
    event: agent_events.CallsRead,
    now: float,
    out: Commands,
) -> None:
    """Records refusals; queues the batch's calls once its record was read."""
    log = tables.call_log
    if event.batch != log.batch_number or log.phase is not Phase.READING:
        return
    if event.first_offset > log.position + 1:
        _refuse_logged_keys(tables, "log_gap", now, out)
    batch_offset = log.batch_offset
    incarnation = tables.params.incarnation
    try:
        refused_before_batch = call_log.refused_seqs_before(
            event.records, batch_offset or event.next_offset, incarnation
        )
        refused_seqs = call_log.refused_seqs_before(
            event.records, event.next_offset, incarnation
        )
    except errors.ProtocolError:
        # An unreadable record may hold a refusal of any key.
        _refuse_logged_keys(tables, "log_unreadable", now, out)
        refused_before_batch = refused_seqs = set()
    log.refused_seqs |= refused_before_batch
    last_offset = event.next_offset - 1
    if batch_offset is not None and last_offset >= batch_offset:
        _release_batch(tables, now, out)
    log.refused_seqs |= refused_seqs
    log.position = max(log.position, last_offset)
    if len(event.records) >= MAX_READ_RECORDS:
        _start_read(tables, now, out)
        return
    if batch_offset is not None and last_offset < batch_offset:
        _fail_batch(tables, now, out)
        return
    log.available = True
    log.phase = Phase.IDLE
    log.batch_offset = None
    log.next_probe_at = now + PROBE_INTERVAL_S


def _release_batch(
    tables: agent_tables.Tables, now: float, out: Commands
) -> None:
    log = tables.call_log
    for seq in log.batch_seqs:
        call = tables.keys_by_seq.get(seq)
        if call is None or call.state is not State.APPENDING:
            continue
        if seq in log.refused_seqs:
            agent_calls.set_final_state(
                tables, call, State.NOT_RUN, "refused_on_log", now, out
            )
        else:
            agent_calls.enqueue(tables, call, now)
    log.batch_seqs = []
    log.batch_offset = None


def _refuse_logged_keys(
    tables: agent_tables.Tables, reason: str, now: float, out: Commands
) -> None:
    """Moves the logged keys whose calls are not queued yet to NOT_RUN.

    It is called when a refusal of these keys may have been missed.
    """
    waiting = {State.ISSUED, State.APPENDING}
    for call in list(tables.keys_by_seq.values()):
        if call.logged and call.state in waiting:
            agent_calls.set_final_state(
                tables, call, State.NOT_RUN, reason, now, out
            )


def on_failed(
    tables: agent_tables.Tables,
    event: agent_events.CallLogFailed,
    now: float,
    out: Commands,
) -> None:
    """Fails the batch in progress."""
    log = tables.call_log
    if event.batch == log.batch_number and log.phase is not Phase.IDLE:
        _fail_batch(tables, now, out)


def _fail_batch(tables: agent_tables.Tables, now: float, out: Commands) -> None:
    """Ends the calls that wait for the log, and marks it as unavailable.

    An intent whose append has an unknown outcome may be on the log, but its
    call is NOT_RUN here and never runs.
    """
    log = tables.call_log
    log.available = False
    log.phase = Phase.IDLE
    log.batch_offset = None
    log.next_probe_at = now + RETRY_DELAY_S
    log.completions = log.batch_completions + log.completions
    log.batch_completions = []
    waiting = log.batch_seqs + log.intent_seqs
    log.batch_seqs = []
    log.intent_seqs = []
    for seq in waiting:
        call = tables.keys_by_seq.get(seq)
        if call is not None and call.state is State.APPENDING:
            agent_calls.set_final_state(
                tables, call, State.NOT_RUN, "log_unavailable", now, out
            )
