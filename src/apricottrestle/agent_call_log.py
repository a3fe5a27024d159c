"""Group commit of intents and completions to the agent's call stream.

Invariant: a logged call is released to run only after its intent is on the log
and the stream up to the intent was read without a refusal of its key and
without a gap.
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
PROBE_S: Final = 5.0
RETRY_S: Final = 2.0
MAX_BATCH: Final = 256
READ_LIMIT: Final = 500

Commands = list[agent_events.Command]
Phase = agent_tables.LogPhase
State = agent_tables.CallState


def tick(tables: agent_tables.Tables, now: float, out: Commands) -> None:
    """Starts the next append or probe, and gives up a slow one."""
    if tables.params.kind != "service":
        return
    log = tables.call_log
    if log.phase is not Phase.IDLE:
        if now - log.started >= LOG_TIMEOUT_S:
            _fail(tables, now, out)
        return
    completions_due = bool(log.completions) and now >= log.next_completions
    if log.intents or (completions_due and log.up):
        _append(tables, now, out)
    elif now >= log.next_probe:
        log.batch += 1
        log.batch_seqs = []
        log.own_offset = None
        _read(tables, now, out)


def _append(tables: agent_tables.Tables, now: float, out: Commands) -> None:
    log = tables.call_log
    log.batch += 1
    log.batch_seqs = log.intents[:MAX_BATCH]
    del log.intents[:MAX_BATCH]
    log.batch_completions = log.completions[:MAX_BATCH]
    del log.completions[:MAX_BATCH]
    log.phase = Phase.APPENDING
    log.started = now
    entries = [
        call_log.CallEntry(
            call_log.EntryKind.INTENT, f"{tables.params.incarnation}~{seq}"
        )
        for seq in log.batch_seqs
    ]
    data = call_log.encode(entries + log.batch_completions)
    out.append(agent_events.AppendCalls(log.batch, data))


def _read(tables: agent_tables.Tables, now: float, out: Commands) -> None:
    log = tables.call_log
    log.phase = Phase.READING
    log.started = now
    out.append(agent_events.ReadCalls(log.batch, log.position, READ_LIMIT))


def on_appended(
    tables: agent_tables.Tables,
    event: agent_events.CallsAppended,
    now: float,
    out: Commands,
) -> None:
    """Reads the stream up to the own record, if it holds intents."""
    log = tables.call_log
    if event.batch != log.batch or log.phase is not Phase.APPENDING:
        return
    log.batch_completions = []
    if not log.batch_seqs:
        log.phase = Phase.IDLE
        return
    log.own_offset = event.offset
    _read(tables, now, out)


def on_read(
    tables: agent_tables.Tables,
    event: agent_events.CallsRead,
    now: float,
    out: Commands,
) -> None:
    """Notes refusals; releases the batch once its record has been read."""
    log = tables.call_log
    if event.batch != log.batch or log.phase is not Phase.READING:
        return
    if event.first > log.position + 1:
        _refuse_logged(tables, "log_gap", now, out)
    own = log.own_offset
    incarnation = tables.params.incarnation
    try:
        before = call_log.refused_seqs_before(
            event.records, own or event.next_offset, incarnation
        )
        after = call_log.refused_seqs_before(
            event.records, event.next_offset, incarnation
        )
    except errors.ProtocolError:
        # An unreadable record may be a refusal of any key.
        _refuse_logged(tables, "log_unreadable", now, out)
        before = after = set()
    log.refused |= before
    reached = event.next_offset - 1
    if own is not None and reached >= own:
        _release(tables, now, out)
    log.refused |= after
    log.position = max(log.position, reached)
    if len(event.records) >= READ_LIMIT:
        _read(tables, now, out)
        return
    if own is not None and reached < own:
        _fail(tables, now, out)
        return
    log.up = True
    log.phase = Phase.IDLE
    log.own_offset = None
    log.next_probe = now + PROBE_S


def _release(tables: agent_tables.Tables, now: float, out: Commands) -> None:
    log = tables.call_log
    for seq in log.batch_seqs:
        call = tables.keys.get(seq)
        if call is None or call.state is not State.APPENDING:
            continue
        if seq in log.refused:
            agent_calls.settle(
                tables, call, State.NOT_RUN, "refused_on_log", now, out
            )
        else:
            agent_calls.enqueue(tables, call, now)
    log.batch_seqs = []
    log.own_offset = None


def _refuse_logged(
    tables: agent_tables.Tables, reason: str, now: float, out: Commands
) -> None:
    """Settles all logged keys not yet run: a refusal may have been missed."""
    waiting = {State.ISSUED, State.APPENDING}
    for call in list(tables.keys.values()):
        if call.logged and call.state in waiting:
            agent_calls.settle(tables, call, State.NOT_RUN, reason, now, out)


def on_failed(
    tables: agent_tables.Tables,
    event: agent_events.CallLogFailed,
    now: float,
    out: Commands,
) -> None:
    """Gives up the batch that failed."""
    log = tables.call_log
    if event.batch == log.batch and log.phase is not Phase.IDLE:
        _fail(tables, now, out)


def _fail(tables: agent_tables.Tables, now: float, out: Commands) -> None:
    """Refuses the waiting calls; keys are unlogged until the log is back.

    An intent whose append has an unknown outcome may be on the log, but its
    key is settled here and never runs.
    """
    log = tables.call_log
    log.up = False
    log.phase = Phase.IDLE
    log.own_offset = None
    log.next_probe = now + RETRY_S
    log.completions = log.batch_completions + log.completions
    log.batch_completions = []
    waiting = log.batch_seqs + log.intents
    log.batch_seqs = []
    log.intents = []
    for seq in waiting:
        call = tables.keys.get(seq)
        if call is not None and call.state is State.APPENDING:
            agent_calls.settle(
                tables, call, State.NOT_RUN, "log_unavailable", now, out
            )
