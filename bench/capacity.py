"""Measures what control costs at several sizes, and extrapolates.

`python -m bench.capacity` prints one line for each cost with its slope and the
figure at the size to design for, and writes bench/results/capacity.json.
docs/CAPACITY.md explains the lines.
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

_CONNECTION_SIZES: Final = (16, 64, 128)
_TEAM_SIZES: Final = (100, 400, 1_400)
_NOTE_SIZES: Final = (100, 400, 1_600)
_ROW_SIZES: Final = (64, 256, 1_024)
_AGENT_SIZES: Final = (53, 106, 212, 423, 846)
_TOKEN_SIZES: Final = (1, 8, 32)
_HINT_SIZES: Final = (50, 200, 400)


def config_with(teams: int) -> config_state.ConfigState:
    """Returns a configuration of MODELS models and some teams."""
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


def note(revision: int) -> messages.NoteRecord:
    """Returns a typical note that follows `revision`: one team changed."""
    note_id = f"change-{revision + 1}"
    team = f"team-{revision % 100:04d}"
    text = (
        f'id = "{note_id}"\nbase = {revision}\n\n'
        f"[teams.changed.{team}]\n"
        f"weight = {1 + revision % 7}.0\n"
    )
    return messages.NoteRecord(revision + 1, note_id, text)


def _fit(
    name: str,
    unit: str,
    sizes: tuple[int, ...],
    cost: Callable[[int], float],
) -> slopes.Slope:
    return slopes.fit(name, unit, {size: cost(size) for size in sizes})


def fold_cost(teams: int) -> float:
    """Processor microseconds to fold one note, by teams."""
    state = config_with(teams)
    record = note(1)
    if release_fold.fold_note(state, record).verdict != "accepted":
        raise RuntimeError("the typical note is not accepted")
    return slopes.cpu_us(lambda: release_fold.fold_note(state, record), 200)


def note_bytes(size: int) -> float:
    """Bytes of a ConfigUpdate frame that carries some notes."""
    records = [note(revision) for revision in range(1, size + 1)]
    frames = messages.encode(
        messages.ConfigUpdate("", records),
        sender="entry-1",
        incarnation="0123456789abcdef",
        config_rev=size,
    )
    return sum(map(len, frames))


def _snapshot(teams: int) -> str:
    state = config_with(teams)
    return release_fold.encode_snapshot(release_fold.Snapshot(1, 1.0, state))


def snapshot_bytes(teams: int) -> float:
    """Bytes of a snapshot, by teams."""
    return len(_snapshot(teams).encode())


def start_cost(teams: int) -> float:
    """Processor microseconds to take a peer's snapshot at start."""
    update = messages.ConfigUpdate(_snapshot(teams), [])

    def start() -> None:
        sync = config_sync.ConfigSync()
        if not sync.apply_update(update):
            raise RuntimeError("the snapshot was not taken")

    return slopes.cpu_us(start, 5)


def catch_up_cost(notes: int) -> float:
    """Processor microseconds to fold the notes missed in an outage."""
    state = config_with(TEAMS)
    snapshot = release_fold.encode_snapshot(
        release_fold.Snapshot(1, 1.0, state)
    )
    records = [note(revision) for revision in range(1, notes + 1)]

    def catch_up() -> None:
        sync = config_sync.ConfigSync()
        sync.apply_update(messages.ConfigUpdate(snapshot, records))
        if sync.revision != notes + 1:
            raise RuntimeError(f"caught up to {sync.revision} only")

    return slopes.cpu_us(catch_up, 1)


def _audit_batch(rows: int) -> audit.AuditBatch:
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
        raise RuntimeError("the audit buffer gave no full batch")
    return batch


def audit_bytes(rows: int) -> float:
    """Bytes of an audit record, by rows."""
    return len(audit.encode(_audit_batch(rows)).encode())


def audit_cost(rows: int) -> float:
    """Processor microseconds to encode an audit record, by rows."""
    batch = _audit_batch(rows)
    return slopes.cpu_us(lambda: audit.encode(batch), 20)


def _table_of(agents: int) -> upstream_table.UpstreamTable:
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


def routing_cost(agents: int) -> float:
    """Processor microseconds of one routing decision, by agents."""
    table = _table_of(agents)
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


def report_cost(agents: int) -> float:
    """Processor microseconds to decode and apply a report, by agents."""
    table = _table_of(agents)
    frames = messages.encode(
        messages.Pong(7, heartbeats.REPORT),
        sender="agent-0007",
        incarnation="i",
        config_rev=5,
    )

    def apply() -> None:
        got = messages.decode(list(frames), peer="agent-0007")
        if isinstance(got.msg, messages.Pong):
            table.apply_report("agent-0007", got.msg.load, 1.0)

    return slopes.cpu_us(apply, 2_000)


def token_cost(tokens: int) -> float:
    """Processor microseconds to encode and decode one Tokens message."""
    msg = messages.Tokens("0123456789abcdef01234567", 1, 4_096, [7] * tokens)

    def pass_on() -> None:
        frames = messages.encode(
            msg, sender="agent-0007", incarnation="i", config_rev=5
        )
        messages.decode(frames, peer="agent-0007")

    return slopes.cpu_us(pass_on, 2_000)


def _allocated_kb(build: Callable[[], object]) -> float:
    """Returns the memory that an object holds, in kilobytes."""
    tracemalloc.start()
    held = build()
    current, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del held
    return current / 1024


def hints_kb(hints: int) -> float:
    """Memory of the cache hints of CONNECTIONS agents, by hints of each."""

    def build() -> upstream_table.UpstreamTable:
        table = _table_of(CONNECTIONS)
        rng = random.Random(3)
        for agent_id in table.rows:
            blocks = [rng.getrandbits(64) for _ in range(hints)]
            table.add_cached_blocks(agent_id, blocks)
        return table

    return _allocated_kb(build)


def config_kb(teams: int) -> float:
    """Memory of the folded configuration, by teams."""
    text = _snapshot(teams)
    return _allocated_kb(lambda: release_fold.decode_snapshot(text))


def measure() -> list[tuple[slopes.Slope, float]]:
    """Returns each cost with the size to extrapolate it to."""
    beats = [heartbeats.measure_fresh(n) for n in _CONNECTION_SIZES]
    by_size = {beat.connections: beat for beat in beats}
    return [
        (
            slopes.fit(
                "entry: heartbeat cycle, connections",
                "us",
                {n: beat.cpu_us for n, beat in by_size.items()},
            ),
            CONNECTIONS,
        ),
        (
            slopes.fit(
                "entry: heartbeat bytes per cycle, connections",
                "B",
                {n: beat.wire_bytes for n, beat in by_size.items()},
            ),
            CONNECTIONS,
        ),
        (
            slopes.fit(
                "entry: memory of connections",
                "KB",
                {n: beat.memory_kb for n, beat in by_size.items()},
            ),
            CONNECTIONS,
        ),
        (
            _fit(
                "entry: apply a report, agents", "us", _AGENT_SIZES, report_cost
            ),
            AGENTS_PER_DATA_CENTRE,
        ),
        (
            _fit(
                "entry: routing decision, agents",
                "us",
                _AGENT_SIZES,
                routing_cost,
            ),
            AGENTS_PER_DATA_CENTRE,
        ),
        (
            _fit(
                "both: Tokens message, tokens", "us", _TOKEN_SIZES, token_cost
            ),
            8,
        ),
        (_fit("both: fold a note, teams", "us", _TEAM_SIZES, fold_cost), TEAMS),
        (_fit("both: ConfigUpdate, notes", "B", _NOTE_SIZES, note_bytes), 1),
        (
            _fit("both: snapshot, teams", "B", _TEAM_SIZES, snapshot_bytes),
            TEAMS,
        ),
        (
            _fit(
                "both: start from a peer, teams", "us", _TEAM_SIZES, start_cost
            ),
            TEAMS,
        ),
        (
            _fit("both: catch up, notes", "us", _NOTE_SIZES, catch_up_cost),
            NOTES_PER_HOUR,
        ),
        (
            _fit("entry: cache hints, per agent", "KB", _HINT_SIZES, hints_kb),
            upstream_table.MAX_CACHED_BLOCKS,
        ),
        (
            _fit("both: configuration, teams", "KB", _TEAM_SIZES, config_kb),
            TEAMS,
        ),
        (_fit("both: audit record, rows", "B", _ROW_SIZES, audit_bytes), 243),
        (
            _fit(
                "both: encode audit record, rows", "us", _ROW_SIZES, audit_cost
            ),
            243,
        ),
    ]


def main() -> int:
    """Measures, prints and writes the results."""
    lines = []
    for slope, size in measure():
        figure = slope.at(size)
        points = ", ".join(
            f"{n}: {cost:.4g}"
            for n, cost in zip(slope.sizes, slope.costs, strict=True)
        )
        print(f"{slope.name}: {figure:.4g} {slope.unit} at {size:g} [{points}]")
        lines.append(slope._asdict() | {"size": size, "figure": figure})
    RESULTS.parent.mkdir(exist_ok=True)
    RESULTS.write_text(json.dumps(lines, indent=1) + "\n")
    costs = [line for line in lines if "routing decision" in line["name"]]
    worst_us = max(cost for line in costs for cost in line["costs"])
    met = worst_us <= ROUTING_TARGET_US
    print(
        f"routing decision at most {ROUTING_TARGET_US} us: "
        + ("met" if met else "missed")
    )
    return 0 if met else 1


if __name__ == "__main__":
    sys.exit(main())
