"""Measures the costs of the control path at several sizes and extrapolates.

`python -m bench.capacity` prints one line per cost with the measured points and
the cost at the size that the system is designed for, and writes
bench/results/capacity.json. docs/CAPACITY.md explains the lines. The exit
status is 1 when a routing decision exceeds ROUTING_TARGET_US.
"""

import json
import pathlib
import random
import sys
import tracemalloc
from collections.abc import Callable
from typing import Final

from apricottrestle import (
    audit,
    config_state,
    config_sync,
    messages,
    release_fold,
    routing,
    routing_expected,
    upstream_table,
)
from bench import heartbeats, slopes

RESULTS: Final = pathlib.Path(__file__).parent / "results" / "capacity.json"

AGENTS_PER_DATA_CENTRE: Final = 423
CONNECTIONS: Final = 136
TEAMS: Final = 1_400
MODELS: Final = 17
NOTES_PER_HOUR: Final = 67_000 / 24
ROUTING_TARGET_US: Final = 100

_CONNECTION_COUNTS: Final = (16, 64, 128)
_TEAM_COUNTS: Final = (100, 400, 1_400)
_NOTE_COUNTS: Final = (100, 400, 1_600)
_AUDIT_ROW_COUNTS: Final = (64, 256, 1_024)
_AGENT_COUNTS: Final = (53, 106, 212, 423, 846)
_TOKEN_COUNTS: Final = (1, 8, 32)
_CACHED_BLOCK_COUNTS: Final = (50, 200, 400)


def make_config(teams: int) -> config_state.ConfigState:
    """Returns a configuration with MODELS models and `teams` teams."""
    models = [f"model-{index:02d}" for index in range(MODELS)]
    return config_state.ConfigState(
        revision=1,
        note_id="base",
        models={m: config_state.ModelSpec(m, "v1") for m in models},
        versions={f"{m}@v1": config_state.VersionSpec(m, "v1") for m in models},
        priorities={
            p: config_state.PrioritySpec(p, 0.1, 60.0)
            for p in messages.PRIORITIES
        },
        teams={
            f"team-{index:04d}": config_state.TeamSpec(
                f"team-{index:04d}",
                (f"{index:064x}",),
                1.0,
                messages.PRIORITIES,
            )
            for index in range(teams)
        },
    )


def make_note(revision: int) -> messages.NoteRecord:
    """Returns a release note based on `revision` that changes one team."""
    note_id = f"change-{revision + 1}"
    team = f"team-{revision % 100:04d}"
    text = (
        f'id = "{note_id}"\nbase = {revision}\n\n'
        f"[teams.changed.{team}]\n"
        f"weight = {1 + revision % 7}.0\n"
    )
    return messages.NoteRecord(revision + 1, note_id, text)


def _fit_cost(
    name: str,
    unit: str,
    sizes: tuple[int, ...],
    cost: Callable[[int], float],
) -> slopes.Slope:
    return slopes.fit_line(name, unit, {size: cost(size) for size in sizes})


def note_fold_cost(teams: int) -> float:
    """Returns the processor time in microseconds to fold one release note."""
    state = make_config(teams)
    record = make_note(1)
    if release_fold.fold_note(state, record).verdict != "accepted":
        raise RuntimeError("the release note under test was not accepted")
    return slopes.cpu_us(lambda: release_fold.fold_note(state, record), 200)


def config_update_bytes(notes: int) -> float:
    """Returns the bytes of a ConfigUpdate message with release notes."""
    records = [make_note(revision) for revision in range(1, notes + 1)]
    frames = messages.encode(
        messages.ConfigUpdate("", records),
        sender="entry-1",
        incarnation="0123456789abcdef",
        config_rev=notes,
    )
    return sum(map(len, frames))


def _encode_snapshot(teams: int) -> str:
    state = make_config(teams)
    return release_fold.encode_snapshot(release_fold.Snapshot(1, 1.0, state))


def snapshot_bytes(teams: int) -> float:
    """Returns the bytes of an encoded configuration snapshot."""
    return len(_encode_snapshot(teams).encode())


def snapshot_apply_cost(teams: int) -> float:
    """Returns the processor time in microseconds to apply a peer's snapshot."""
    update = messages.ConfigUpdate(_encode_snapshot(teams), [])

    def apply_snapshot() -> None:
        sync = config_sync.ConfigSync()
        if not sync.apply_update(update):
            raise RuntimeError("the snapshot was not applied")

    return slopes.cpu_us(apply_snapshot, 5)


def missed_notes_cost(notes: int) -> float:
    """Returns the processor time in microseconds to fold missed notes.

    This is what a process does after an outage of the log.
    """
    state = make_config(TEAMS)
    snapshot = release_fold.encode_snapshot(
        release_fold.Snapshot(1, 1.0, state)
    )
    records = [make_note(revision) for revision in range(1, notes + 1)]

    def catch_up() -> None:
        sync = config_sync.ConfigSync()
        sync.apply_update(messages.ConfigUpdate(snapshot, records))
        if sync.revision != notes + 1:
            raise RuntimeError(f"caught up to revision {sync.revision} only")

    return slopes.cpu_us(catch_up, 1)


def _make_audit_batch(rows: int) -> audit.AuditBatch:
    buffer = audit.AuditBuffer("entry-0001", "entry", "0123456789abcdef")
    for index in range(rows):
        buffer.add(
            audit.AuditRow(
                f"{index:024x}",
                1,
                "team-0042",
                "standard",
                "model-07",
                "2026-11",
                1_234_567,
                "agent-01-0123",
                1_790_000_000.123,
                1_790_000_004.567,
                "completed",
                360,
            )
        )
    batch = buffer.take_batch(rows)
    if batch is None or len(batch.rows) != rows:
        raise RuntimeError("the audit buffer did not return a full batch")
    return batch


def audit_record_bytes(rows: int) -> float:
    """Returns the bytes of an encoded audit record with `rows` rows."""
    return len(audit.encode(_make_audit_batch(rows)).encode())


def audit_encode_cost(rows: int) -> float:
    """Returns the processor time in microseconds to encode an audit record."""
    batch = _make_audit_batch(rows)
    return slopes.cpu_us(lambda: audit.encode(batch), 20)


def _make_table(agents: int) -> upstream_table.UpstreamTable:
    table = upstream_table.UpstreamTable()
    for index in range(agents):
        report = heartbeats.REPORT._replace(
            upstream=f"model-{index % MODELS:02d}",
            running=index % 48,
            prefill_tokens_left=index * 7_919 % 400_000,
        )
        table.add(
            upstream_table.UpstreamRow(
                f"agent-{index:04d}", "savannah", "i", report, 0.0
            )
        )
    return table


def routing_decision_cost(agents: int) -> float:
    """Returns the processor time in microseconds of one routing decision."""
    table = _make_table(agents)
    router = routing_expected.ExpectedFirstTokenRouter(random.Random(7))
    req = routing.RouteRequest(
        req_id="r",
        team="team-0042",
        priority=1,
        model="model-07",
        version="2026-11",
        adapter="",
        prompt_tokens=8_000,
        max_tokens=360,
        prefix_blocks=tuple(range(15)),
        remaining_s=60.0,
        excluded=frozenset(),
    )
    return slopes.cpu_us(lambda: router.choose(req, table, 1.0), 500)


def load_report_cost(agents: int) -> float:
    """Returns the processor time in microseconds to apply a load report.

    Includes decoding the message that carries it.
    """
    table = _make_table(agents)
    frames = messages.encode(
        messages.Pong(7, heartbeats.REPORT),
        sender="agent-0007",
        incarnation="i",
        config_rev=5,
    )

    def apply() -> None:
        received = messages.decode(list(frames), peer="agent-0007")
        if isinstance(received.msg, messages.Pong):
            table.apply_report("agent-0007", received.msg.load, 1.0)

    return slopes.cpu_us(apply, 2_000)


def tokens_message_cost(tokens: int) -> float:
    """Returns the processor time in microseconds of one Tokens message.

    Includes encoding and decoding.
    """
    msg = messages.Tokens("0123456789abcdef01234567", 1, 4_096, [7] * tokens)

    def encode_and_decode() -> None:
        frames = messages.encode(
            msg, sender="agent-0007", incarnation="i", config_rev=5
        )
        messages.decode(frames, peer="agent-0007")

    return slopes.cpu_us(encode_and_decode, 2_000)


def _allocated_kb(build: Callable[[], object]) -> float:
    """Returns the memory of the object that `build` returns, in kilobytes."""
    tracemalloc.start()
    built = build()
    current, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del built
    return current / 1024


def cached_blocks_kb(blocks_per_agent: int) -> float:
    """Returns the memory of the cached-block tables of CONNECTIONS agents."""

    def build() -> upstream_table.UpstreamTable:
        table = _make_table(CONNECTIONS)
        rng = random.Random(3)
        for agent_id in table.rows:
            blocks = [rng.getrandbits(64) for _ in range(blocks_per_agent)]
            table.add_cached_blocks(agent_id, blocks)
        return table

    return _allocated_kb(build)


def config_memory_kb(teams: int) -> float:
    """Returns the memory of a decoded configuration in kilobytes."""
    text = _encode_snapshot(teams)
    return _allocated_kb(lambda: release_fold.decode_snapshot(text))


def measure_all() -> list[tuple[slopes.Slope, float]]:
    """Measures all costs; returns each with the size to extrapolate it to."""
    heartbeat_costs = [
        heartbeats.measure_in_new_process(n) for n in _CONNECTION_COUNTS
    ]
    by_size = {cost.connections: cost for cost in heartbeat_costs}
    return [
        (
            slopes.fit_line(
                "entry: heartbeat cycle, connections",
                "us",
                {n: cost.cpu_us for n, cost in by_size.items()},
            ),
            CONNECTIONS,
        ),
        (
            slopes.fit_line(
                "entry: heartbeat bytes per cycle, connections",
                "B",
                {n: cost.wire_bytes for n, cost in by_size.items()},
            ),
            CONNECTIONS,
        ),
        (
            slopes.fit_line(
                "entry: memory of connections",
                "KB",
                {n: cost.memory_kb for n, cost in by_size.items()},
            ),
            CONNECTIONS,
        ),
        (
            _fit_cost(
                "entry: apply a report, agents",
                "us",
                _AGENT_COUNTS,
                load_report_cost,
            ),
            AGENTS_PER_DATA_CENTRE,
        ),
        (
            _fit_cost(
                "entry: routing decision, agents",
                "us",
                _AGENT_COUNTS,
                routing_decision_cost,
            ),
            AGENTS_PER_DATA_CENTRE,
        ),
        (
            _fit_cost(
                "both: Tokens message, tokens",
                "us",
                _TOKEN_COUNTS,
                tokens_message_cost,
            ),
            8,
        ),
        (
            _fit_cost(
                "both: fold a note, teams", "us", _TEAM_COUNTS, note_fold_cost
            ),
            TEAMS,
        ),
        (
            _fit_cost(
                "both: ConfigUpdate, notes",
                "B",
                _NOTE_COUNTS,
                config_update_bytes,
            ),
            1,
        ),
        (
            _fit_cost(
                "both: snapshot, teams", "B", _TEAM_COUNTS, snapshot_bytes
            ),
            TEAMS,
        ),
        (
            _fit_cost(
                "both: start from a peer, teams",
                "us",
                _TEAM_COUNTS,
                snapshot_apply_cost,
            ),
            TEAMS,
        ),
        (
            _fit_cost(
                "both: catch up, notes", "us", _NOTE_COUNTS, missed_notes_cost
            ),
            NOTES_PER_HOUR,
        ),
        (
            _fit_cost(
                "entry: cache hints, per agent",
                "KB",
                _CACHED_BLOCK_COUNTS,
                cached_blocks_kb,
            ),
            upstream_table.MAX_CACHED_BLOCKS,
        ),
        (
            _fit_cost(
                "both: configuration, teams",
                "KB",
                _TEAM_COUNTS,
                config_memory_kb,
            ),
            TEAMS,
        ),
        (
            _fit_cost(
                "both: audit record, rows",
                "B",
                _AUDIT_ROW_COUNTS,
                audit_record_bytes,
            ),
            243,
        ),
        (
            _fit_cost(
                "both: encode audit record, rows",
                "us",
                _AUDIT_ROW_COUNTS,
                audit_encode_cost,
            ),
            243,
        ),
    ]


def main() -> int:
    """Measures all costs, prints them and writes the results file."""
    lines = []
    for slope, size in measure_all():
        estimate = slope.extrapolate(size)
        points = ", ".join(
            f"{n}: {cost:.4g}"
            for n, cost in zip(slope.sizes, slope.costs, strict=True)
        )
        print(
            f"{slope.name}: {estimate:.4g} {slope.unit} at {size:g} [{points}]"
        )
        lines.append(slope._asdict() | {"size": size, "figure": estimate})
    RESULTS.parent.mkdir(exist_ok=True)
    RESULTS.write_text(json.dumps(lines, indent=1) + "\n")
    routing = [line for line in lines if "routing decision" in line["name"]]
    worst_us = max(cost for line in routing for cost in line["costs"])
    is_met = worst_us <= ROUTING_TARGET_US
    print(
        f"routing decision at most {ROUTING_TARGET_US} us: "
        + ("met" if is_met else "missed")
    )
    return 0 if is_met else 1


if __name__ == "__main__":
    sys.exit(main())
