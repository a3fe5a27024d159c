"""Matrix cells of the audit: G7 at each step of a request.

Runs the production steps of entries and agents. Guards against a run or an
answer that the audit neither records nor covers by a gap, and against a gap
that is listed although nothing was lost.
"""

import itertools
from collections.abc import Callable

import pytest

from apricottrestle import (
    agent_events,
    audit_export,
    entry_events,
    messages,
    platform_log,
)
from tests import audit_world, fake_log, matrix_table, notes
from tests import test_agent_world as agent_world

World = audit_world.World
ServedRequest = audit_world.ServedRequest
Cell = matrix_table.Cell

_LATE_S = 1.0
_FREEZE_S = 6.0


def _advance_to_step(world: World, served: ServedRequest, step: str) -> None:
    """Runs until a request has reached a step of matrix_table."""
    caller = served.caller
    agent = world.serving_agent(served)
    half = audit_world.MAX_TOKENS // 2
    reached: dict[str, Callable[[], bool]] = {
        "admit": lambda: True,
        "queue": lambda: served.req_id in agent.step_world.tables.streams,
        "dispatch": lambda: served.req_id in agent.step_world.tables.streams,
        "start": lambda: bool(agent.started_runs),
        "first token": lambda: bool(caller.tokens),
        "mid-stream": lambda: len(caller.tokens) >= half,
        "last token": lambda: (
            bool(agent.started_runs) and not agent.step_world.engine.runs
        ),
        "acknowledge": lambda: bool(caller.ends),
        "clean up": lambda: bool(caller.ends),
    }
    if step == "queue":
        params = agent.step_world.tables.params
        agent.step_world.tables.params = params._replace(slots=0)
    world.run_until(reached[step])
    if step == "dispatch":
        world.run(agent_world.TICK_S)
    if step == "clean up":
        world.run(1.0)
    agent.step_world.tables.params = agent.step_world.tables.params._replace(
        slots=64
    )


# Each fault function gets a world in which the request has reached the step. It
# returns the request that the caller makes in its place, if any.

Fault = Callable[[World, ServedRequest | None], ServedRequest | None]


def _holder(world: World, served: ServedRequest | None) -> audit_world.Agent:
    return world.serving_agent(served) if served else world.agent("a0")


def _kill_agent(world: World, served: ServedRequest | None) -> None:
    world.kill_agent(_holder(world, served))


def _kill_entry(
    world: World, served: ServedRequest | None
) -> ServedRequest | None:
    world.kill_entry()
    if served is None or served.caller.ends:
        return None
    return world.request(1, served.caller)


def _freeze_agent(world: World, served: ServedRequest | None) -> None:
    agent = _holder(world, served)
    agent.frozen = True
    world.run(_FREEZE_S)
    agent.frozen = False


def _freeze_entry(world: World, served: ServedRequest | None) -> None:
    world.entry.frozen = True
    world.run(_FREEZE_S)
    world.entry.frozen = False


def _silence(world: World, served: ServedRequest | None) -> None:
    world.silence(_holder(world, served).agent_id)


def _delay(world: World, served: ServedRequest | None) -> None:
    world.frame_filter = lambda msg: [(_LATE_S, msg)]


def _duplicate(world: World, served: ServedRequest | None) -> None:
    world.frame_filter = lambda msg: [(0.0, msg), (_LATE_S, msg)]


def _reorder(world: World, served: ServedRequest | None) -> None:
    delays = itertools.cycle((0.3, 0.0))
    world.frame_filter = lambda msg: [(next(delays), msg)]


def _lose_answers(world: World, served: ServedRequest | None) -> None:
    """Batches are appended twice because the answers of the log are lost."""
    world.audit_log.faults = [fake_log.ANSWER_LOST] * 3
    world.flush()
    world.audit_log.faults = [fake_log.ANSWER_LOST] * 3
    world.flush()


def _log_down(world: World, served: ServedRequest | None) -> None:
    world.audit_log.down = True
    world.flush()
    world.run(5.0)
    world.flush()


def _expire_log(world: World, served: ServedRequest | None) -> None:
    """All records on the log so far expire."""
    world.flush()
    stream = platform_log.AUDIT_STREAM
    count = len(world.audit_log.streams[stream])
    world.audit_log.first_offset[stream] = count + 1


def _wrong_list(world: World, served: ServedRequest | None) -> None:
    """The instance list reports the agent that serves the request as gone."""
    name = _holder(world, served).agent_id
    rows = [
        row._replace(state="gone")
        for row in world.rows()
        if row.instance_id == name
    ]
    world.entry.post(entry_events.InstancesChanged(rows))
    world.run(1.0)


def _cache_gap(world: World, served: ServedRequest | None) -> None:
    engine = _holder(world, served).step_world.engine
    engine.cache = agent_events.CacheEvents(500, False, [])


def _late_reports(world: World, served: ServedRequest | None) -> None:
    def frame_filter(
        msg: messages.Message,
    ) -> list[tuple[float, messages.Message]]:
        return [(_FREEZE_S if isinstance(msg, messages.Pong) else 0.0, msg)]

    world.frame_filter = frame_filter


def _publish_racing_notes(world: World, served: ServedRequest | None) -> None:
    """The entry reads two racing notes, of which the first is accepted."""
    sync = world.entry.tables.sync
    records = [
        platform_log.LogRecord(offset, 0.0, name, notes.share_note(name, 1))
        for offset, name in ((2, "a"), (3, "b"))
    ]
    sync.apply_records(platform_log.ReadResult(1, 4, records))
    assert sync.revision == 2


def _kill_both_with_log_down(
    world: World, served: ServedRequest | None
) -> ServedRequest | None:
    """The entry and the agent die while the log is down."""
    _log_down(world, served)
    _kill_agent(world, served)
    return _kill_entry(world, served)


_FAULTS: dict[str, tuple[Fault, ...]] = {
    "kill": (_kill_agent, _kill_entry),
    "freeze and thaw": (_freeze_agent, _freeze_entry),
    "silent connection": (_silence,),
    "message late": (_delay,),
    "message duplicated": (_duplicate,),
    "messages swapped": (_reorder,),
    "answer lost after effect": (_lose_answers,),
    "log down or slow": (_log_down,),
    "log records past retention": (_expire_log,),
    "instance list late or wrong": (_wrong_list,),
    "cache events with gaps": (_cache_gap,),
    "load reports late": (_late_reports,),
    "operators racing": (_publish_racing_notes,),
    "two faults at once": (_kill_both_with_log_down,),
}
_FAULTS_WITH_GAPS = {"kill", "log records past retention", "two faults at once"}
_FENCING_NOT_MODELLED = (
    "an engine that runs another version than its read-back showed is not"
    " modelled; the audit records the requested version"
)

_NO_EVACUATIONS = (
    "entries and agents read no evacuations; gateways write no audit records"
)

CELLS = tuple(
    Cell("G7", fault, step, "impossible", _NO_EVACUATIONS)
    if fault == "data centre evacuated"
    else Cell("G7", fault, step, "not proved", _FENCING_NOT_MODELLED)
    if fault == "fencing ignored"
    else Cell(
        "G7", fault, step, "proved", "test_audit_records_each_run_or_a_gap"
    )
    for fault in matrix_table.FAULTS
    for step in matrix_table.REQUEST_STEPS
)


@pytest.mark.parametrize(
    "cell",
    matrix_table.proved_params(CELLS, "test_audit_records_each_run_or_a_gap"),
)
def test_audit_records_each_run_or_a_gap(cell: Cell) -> None:
    for fault in _FAULTS[cell.fault]:
        world = World()
        if cell.step == "accept":
            fault(world, None)
            index = 1 if "e0" in world.killed else 0
            world.request(index)
        else:
            served = world.request()
            _advance_to_step(world, served, cell.step)
            fault(world, served)
        world.run(3.0)
        world.request(1)
        world.finish_and_stop()
        export = world.export()
        _check_runs(world, export)
        _check_answers(world, export)
        if cell.fault not in _FAULTS_WITH_GAPS:
            assert export.gaps == []
            assert {item.missing for item in export.requests} == {""}


def _writers_with_gaps(export: audit_export.Export) -> set[tuple[str, str]]:
    """Returns the writers for which the export lists a gap."""
    return {(gap.writer, gap.incarnation) for gap in export.gaps}


def _check_runs(world: World, export: audit_export.Export) -> None:
    """Every run that an engine started is recorded, or its writer has a gap."""
    rows = [
        (item.writer, item.incarnation, f"{item.row.req_id}.{item.row.attempt}")
        for joined in export.requests
        for item in joined.agents
    ]
    recorded = set(rows)
    assert len(recorded) == len(rows)
    writers_with_gaps = _writers_with_gaps(export)
    started = [
        run for name in world.agents for run in world.agent(name).started_runs
    ]
    assert started
    for run in started:
        has_gap = (run.writer, run.incarnation) in writers_with_gaps or (
            "",
            "",
        ) in writers_with_gaps
        assert run in recorded or has_gap, run
    for _, _, run_id in recorded:
        assert any(
            run_id == run.run_id for run in started
        ) or _is_recorded_as_not_run(export, run_id)


def _is_recorded_as_not_run(export: audit_export.Export, run_id: str) -> bool:
    return any(
        f"{item.row.req_id}.{item.row.attempt}" == run_id
        and item.row.outcome == "not_run"
        for joined in export.requests
        for item in joined.agents
    )


def _check_answers(world: World, export: audit_export.Export) -> None:
    """The entries' records match what callers received, or a gap is listed."""
    rows = {
        (item.writer, item.row.req_id): item.row
        for joined in export.requests
        for item in joined.entries
    }
    writers_with_gaps = _writers_with_gaps(export)
    for served in world.served:
        row = rows.get((served.entry, served.req_id))
        if row is None:
            has_gap = (served.entry, "i1") in writers_with_gaps or (
                "",
                "",
            ) in writers_with_gaps
            assert has_gap, served
            continue
        assert row.version == "v1"
        assert row.config_rev in (1, 2)
        if served.caller.complete:
            assert row.outcome == "completed"
            assert row.tokens == audit_world.MAX_TOKENS
        elif served.caller.error is not None:
            assert row.outcome == served.caller.error.outcome
