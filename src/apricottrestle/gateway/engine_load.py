"""What runs on each engine, as far as this gateway and its peers know.

Invariant: an engine's row is the sum of the runs that name it; ending a run
leaves nothing behind.
"""

from collections.abc import Iterable
from typing import Final, NamedTuple

STALE_READ_S: Final = 0.02
"""Time left that is assumed for a read that takes longer than estimated."""


class Run(NamedTuple):
    """A request on an engine, and the engines that help to read its prompt.

    Attributes:
        run_id: Unique in the fleet.
        engine: Engine that writes the answer.
        helpers: Engines that read a part of the prompt.
        prompt_tokens: Tokens to read.
        output_tokens: Estimate of the tokens to write.
        part_s: Time of each engine's part of the read.
        held_tokens: Memory set aside on each helper; 0 when all of the
            prompt's memory is on the engine that writes.
        gap_s: Longest pause between events that is on time; 0 when any is.
        writing: Whether the first event has arrived.
    """

    run_id: str
    engine: str
    helpers: tuple[str, ...]
    prompt_tokens: int
    output_tokens: int
    part_s: float
    held_tokens: int
    gap_s: float
    writing: bool

    @property
    def own_tokens(self) -> int:
        """Memory that the run takes on the engine that writes."""
        total = self.prompt_tokens + self.output_tokens
        return max(total - self.held_tokens * len(self.helpers), 0)


class EngineRow:
    """Load of one engine.

    Attributes:
        runs: Runs that it writes, or will write, by id.
        helping: Runs that it reads a part of, by id.
    """

    __slots__ = ("_busy_until", "helping", "runs")

    def __init__(self) -> None:
        """Starts idle."""
        self.runs: dict[str, Run] = {}
        self.helping: dict[str, Run] = {}
        self._busy_until = 0.0

    @property
    def context_tokens(self) -> int:
        """Tokens of context of all runs that it writes."""
        return sum(
            run.prompt_tokens // (1 + len(run.helpers))
            if run.held_tokens
            else run.prompt_tokens
            for run in self.runs.values()
        )

    @property
    def kv_tokens(self) -> int:
        """Memory in use, in tokens."""
        return sum(run.own_tokens for run in self.runs.values()) + sum(
            run.held_tokens for run in self.helping.values()
        )

    @property
    def least_gap_s(self) -> float:
        """Shortest pause that its runs allow; infinite without runs."""
        return min(
            (run.gap_s for run in self.runs.values() if run.gap_s > 0),
            default=float("inf"),
        )

    def backlog_s(self, now: float) -> float:
        """Time until it has read all that it was given."""
        left = self._busy_until - now
        if left > 0:
            return left
        is_reading = any(not run.writing for run in self.runs.values()) or any(
            not run.writing for run in self.helping.values()
        )
        return STALE_READ_S if is_reading else 0.0

    def add_read(self, part_s: float, now: float) -> None:
        """Adds a read to the backlog."""
        self._busy_until = max(self._busy_until, now) + part_s

    def end_reads(self, now: float) -> None:
        """Corrects the backlog after a read has ended."""
        is_reading = any(not run.writing for run in self.runs.values()) or any(
            not run.writing for run in self.helping.values()
        )
        if not is_reading:
            self._busy_until = min(self._busy_until, now)


class EngineLoad:
    """Table of runs and of the load of each engine."""

    def __init__(self) -> None:
        """Starts empty."""
        self._runs: dict[str, Run] = {}
        self._rows: dict[str, EngineRow] = {}

    def row(self, engine: str) -> EngineRow:
        """Returns the row of an engine; an idle one if nothing is known."""
        row = self._rows.get(engine)
        if row is None:
            row = self._rows[engine] = EngineRow()
        return row

    def run(self, run_id: str) -> Run | None:
        """Returns a run, or None."""
        return self._runs.get(run_id)

    def start(self, run: Run, now: float, *, age_s: float = 0.0) -> None:
        """Adds a run that was started `age_s` ago."""
        if run.run_id in self._runs:
            return
        self._runs[run.run_id] = run
        row = self.row(run.engine)
        row.runs[run.run_id] = run
        rows = [row]
        for helper in run.helpers:
            helping = self.row(helper)
            helping.helping[run.run_id] = run
            rows.append(helping)
        if not run.writing:
            for each in rows:
                each.add_read(max(run.part_s - age_s, 0.0), now)

    def wrote(self, run_id: str, now: float) -> Run | None:
        """Notes the first event; returns the run if it was still reading."""
        run = self._runs.get(run_id)
        if run is None or run.writing:
            return None
        run = run._replace(writing=True)
        self._runs[run_id] = run
        self.row(run.engine).runs[run_id] = run
        self.row(run.engine).end_reads(now)
        for helper in run.helpers:
            self.row(helper).helping[run_id] = run
            self.row(helper).end_reads(now)
        return run

    def end(self, run_id: str, now: float) -> None:
        """Removes a run."""
        run = self._runs.pop(run_id, None)
        if run is None:
            return
        row = self.row(run.engine)
        row.runs.pop(run_id, None)
        row.end_reads(now)
        for helper in run.helpers:
            self.row(helper).helping.pop(run_id, None)
            self.row(helper).end_reads(now)

    def end_all(self, run_ids: Iterable[str], now: float) -> None:
        """Removes runs."""
        for run_id in list(run_ids):
            self.end(run_id, now)

    def forget_engine(self, engine: str) -> None:
        """Drops the row of an engine that is gone, if nothing runs there."""
        row = self._rows.get(engine)
        if row is not None and not row.runs and not row.helping:
            del self._rows[engine]
