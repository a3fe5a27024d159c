"""What runs on each engine, as far as this gateway and its peers know.

An engine works in passes. A pass with writers gives each of them a stride of
steps, reads the prompts that were waiting when it began, and ends with an event
for each writer and for each prompt that was read. The table follows these
passes by the published cost model and corrects itself with each event seen.

Invariant: an engine's row is the sum of the runs that name it; ending a run
leaves nothing behind.
"""

import math
from collections.abc import Iterable
from typing import Final, NamedTuple

from apricottrestle.gateway import engine_costs, fleet_config

MAX_SIMULATED_PASSES: Final = 400
"""Passes that one look may follow; more means that nothing was seen for long,
and the row starts from the present."""

SAME_PASS_SHARE: Final = 0.3
"""Share of a pass within which events count as those of its beginning."""


class Run(NamedTuple):
    """A request on an engine, and the engines that help to read its prompt.

    Attributes:
        run_id: Unique in the fleet.
        engine: Engine that writes the answer.
        helpers: Engines that read a part of the prompt.
        prompt_tokens: Tokens to read.
        output_tokens: Estimate of the tokens to write.
        prefill_part_s: Time of each engine's part of the read.
        reserved_tokens: Memory set aside on each helper; 0 when all of the
            prompt's memory is on the engine that writes.
        max_gap_s: Longest pause between events that is on time; 0 when any is.
        target_left_s: Time left at the start to a first event that is on time.
        decoding: Whether the first event has arrived.
    """

    run_id: str
    engine: str
    helpers: tuple[str, ...]
    prompt_tokens: int
    output_tokens: int
    prefill_part_s: float
    reserved_tokens: int
    max_gap_s: float
    target_left_s: float
    decoding: bool

    @property
    def own_kv_tokens(self) -> int:
        """Memory that the run takes on the engine that writes."""
        total = self.prompt_tokens + self.output_tokens
        return max(total - self.reserved_tokens * len(self.helpers), 0)

    @property
    def step_context_tokens(self) -> int:
        """Tokens of context that a step on the engine that writes costs."""
        if self.reserved_tokens:
            return self.prompt_tokens // (1 + len(self.helpers))
        return self.prompt_tokens


class _Prefill:
    """A prompt, or a part of one, that an engine has still to read."""

    __slots__ = ("due_at", "in_pass_s", "left_s")

    def __init__(self, left_s: float, due_at: float) -> None:
        self.left_s = left_s
        self.due_at = due_at
        self.in_pass_s = 0.0


class Forecast(NamedTuple):
    """When a new read on an engine would be done, and what it may take.

    Attributes:
        wait_s: Time until the pass under way ends.
        next_pass_s: Time of the next pass without the new read.
        slack_s: Longest new read that makes nobody late.
    """

    wait_s: float
    next_pass_s: float
    slack_s: float


class EngineState:
    """Load of one engine.

    Attributes:
        runs: Runs that it writes, or will write, by id.
        helper_runs: Runs that it reads a part of, by id.
    """

    __slots__ = (
        "_pass_began",
        "_pass_ends",
        "_prefills",
        "helper_runs",
        "runs",
    )

    def __init__(self) -> None:
        """Starts idle."""
        self.runs: dict[str, Run] = {}
        self.helper_runs: dict[str, Run] = {}
        self._prefills: dict[str, _Prefill] = {}
        self._pass_began = -math.inf
        self._pass_ends = -math.inf

    @property
    def kv_tokens(self) -> int:
        """Memory in use, in tokens."""
        return sum(run.own_kv_tokens for run in self.runs.values()) + sum(
            run.reserved_tokens for run in self.helper_runs.values()
        )

    @property
    def context_tokens(self) -> int:
        """Tokens of context of all runs that it writes or will write."""
        return sum(run.step_context_tokens for run in self.runs.values())

    @property
    def idle(self) -> bool:
        """Whether nothing is known to be under way."""
        return not self.runs and not self.helper_runs

    def add_prefill(
        self, run_id: str, prefill_part_s: float, due_at: float, now: float
    ) -> None:
        """Adds a read; an idle engine begins with it at once."""
        if not self._prefills and not self._writers():
            self._pass_ends = now
        self._prefills[run_id] = _Prefill(prefill_part_s, due_at)

    def remove_prefill(self, run_id: str) -> None:
        """Removes a read that is done or given up."""
        self._prefills.pop(run_id, None)

    def record_event(
        self, model: fleet_config.EngineCostModel, at: float, now: float
    ) -> None:
        """Notes that a pass ended at `at`, as an event shows."""
        self.advance(model, now)
        length_s = self._pass_ends - self._pass_began
        if self._pass_ends <= now or not math.isfinite(length_s):
            return
        if at - self._pass_began <= SAME_PASS_SHARE * length_s:
            # Another event of the end that this pass began with.
            shift_s = at - self._pass_began
            self._pass_began += shift_s
            self._pass_ends += shift_s
            return
        self._pass_ends = at
        self.advance(model, now)

    def advance(self, model: fleet_config.EngineCostModel, now: float) -> None:
        """Follows the passes up to now."""
        for _ in range(MAX_SIMULATED_PASSES):
            if self._pass_ends > now:
                return
            self._end_pass()
            if not self._prefills and not self._writers():
                return
            if not math.isfinite(self._pass_ends):
                self._pass_ends = now
            self._begin_pass(model)
        self._pass_ends = now

    def _end_pass(self) -> None:
        for run_id, read in list(self._prefills.items()):
            read.left_s -= read.in_pass_s
            if read.in_pass_s > 0 and read.left_s <= 1e-9:
                del self._prefills[run_id]
            read.in_pass_s = 0.0

    def _begin_pass(self, model: fleet_config.EngineCostModel) -> None:
        self._pass_began = self._pass_ends
        writers = self._writers()
        length_s = self._steps_s(model, writers)
        if writers:
            room_s = pass_prefill_s(model)
            for read in self._prefills.values():
                read.in_pass_s = min(read.left_s, room_s)
                room_s -= read.in_pass_s
                length_s += read.in_pass_s
        else:
            # Without writers the pass is one step, so the first read is done
            # before the next begins.
            read = next(iter(self._prefills.values()))
            read.in_pass_s = read.left_s
            length_s += read.left_s
        self._pass_ends = self._pass_began + max(length_s, 1e-4)

    def _writers(self) -> list[Run]:
        return [
            run
            for run in self.runs.values()
            if run.run_id not in self._prefills
        ]

    def _steps_s(
        self, model: fleet_config.EngineCostModel, writers: list[Run]
    ) -> float:
        if not writers:
            return 0.0
        return engine_costs.decode_pass_s(
            model, len(writers), sum(run.step_context_tokens for run in writers)
        )

    def forecast(
        self,
        model: fleet_config.EngineCostModel,
        now: float,
        gap_margin_s: float,
        due_margin_s: float,
    ) -> Forecast:
        """Returns what a new read would find.

        Args:
            model: The engine's cost model.
            now: Monotonic time in seconds.
            gap_margin_s: Part of an accepted pause that is left.
            due_margin_s: Time to a due first event that is left.
        """
        self.advance(model, now)
        wait_s = max(self._pass_ends - now, 0.0)
        waiting = [
            read for read in self._prefills.values() if read.in_pass_s <= 0
        ]
        left_s = sum(
            read.left_s - read.in_pass_s for read in self._prefills.values()
        )
        next_s = left_s
        if self.runs:
            # All runs here will write in the next pass, or soon after.
            next_s += engine_costs.decode_pass_s(
                model, len(self.runs), self.context_tokens
            )
        slack_s = math.inf
        for run in self.runs.values():
            if run.max_gap_s > 0:
                margin_s = min(gap_margin_s, run.max_gap_s / 4)
                slack_s = min(slack_s, run.max_gap_s - margin_s - next_s)
        for read in waiting:
            if read.due_at > now:
                left = read.due_at - now - due_margin_s - wait_s - next_s
                if left + due_margin_s > 0:
                    slack_s = min(slack_s, left)
        return Forecast(wait_s, next_s, slack_s)


def pass_prefill_s(model: fleet_config.EngineCostModel) -> float:
    """Returns the time that reads may take in a pass with writers."""
    tokens = model.chunk_tokens * model.steps_per_pass
    return engine_costs.prefill_s(model, tokens)


class EngineLoad:
    """Table of runs and of the load of each engine."""

    def __init__(self) -> None:
        """Starts empty."""
        self._runs: dict[str, Run] = {}
        self._rows: dict[str, EngineState] = {}

    def state(self, engine: str) -> EngineState:
        """Returns the row of an engine; an idle one if nothing is known."""
        row = self._rows.get(engine)
        if row is None:
            row = self._rows[engine] = EngineState()
        return row

    def get_run(self, run_id: str) -> Run | None:
        """Returns a run, or None."""
        return self._runs.get(run_id)

    def add_run(self, run: Run, now: float, *, age_s: float = 0.0) -> None:
        """Adds a run that was started `age_s` ago."""
        if run.run_id in self._runs:
            return
        self._runs[run.run_id] = run
        due_at = now - age_s + run.target_left_s
        rows = [self.state(run.engine)]
        rows += [self.state(helper) for helper in run.helpers]
        if not run.decoding:
            for row in rows:
                row.add_prefill(
                    run.run_id, run.prefill_part_s, due_at, now - age_s
                )
        rows[0].runs[run.run_id] = run
        for row in rows[1:]:
            row.helper_runs[run.run_id] = run

    def mark_decoding(self, run_id: str) -> Run | None:
        """Notes the first event; returns the run if it was still reading."""
        run = self._runs.get(run_id)
        if run is None or run.decoding:
            return None
        run = run._replace(decoding=True)
        self._runs[run_id] = run
        row = self.state(run.engine)
        row.runs[run_id] = run
        row.remove_prefill(run_id)
        for helper in run.helpers:
            self.state(helper).helper_runs[run_id] = run
            self.state(helper).remove_prefill(run_id)
        return run

    def remove_run(self, run_id: str) -> None:
        """Removes a run."""
        run = self._runs.pop(run_id, None)
        if run is None:
            return
        row = self.state(run.engine)
        row.runs.pop(run_id, None)
        row.remove_prefill(run_id)
        for helper in run.helpers:
            self.state(helper).helper_runs.pop(run_id, None)
            self.state(helper).remove_prefill(run_id)

    def remove_runs(self, run_ids: Iterable[str]) -> None:
        """Removes runs."""
        for run_id in list(run_ids):
            self.remove_run(run_id)
