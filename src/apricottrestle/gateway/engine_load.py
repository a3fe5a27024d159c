"""Load of each engine, from the runs of this gateway and of its peers.

An engine works in scheduling passes. A pass with decoding requests performs a
fixed number of decode steps for all of them, prefills the prompts that were
queued when it began, and ends with an event for each decoding request and for
each prompt whose prefill is complete. The table simulates these passes by the
published cost model and corrects the simulation with each event received.

Invariant: an engine's state is the sum of the runs that name the engine;
removing a run removes all of its load.
"""

import math
from collections.abc import Iterable
from typing import Final, NamedTuple

from apricottrestle.gateway import engine_costs, fleet_config

MAX_SIMULATED_PASSES: Final = 400
"""Maximum number of passes that one call simulates. More are due only after a
long time without a call, and the simulation then continues from the current
time."""

SAME_PASS_SHARE: Final = 0.3
"""Share of a pass, from its start, within which an event is attributed to the
end of the previous pass."""


class Run(NamedTuple):
    """An attempt of a request on a decoding engine and its helper engines.

    Attributes:
        run_id: Id, unique in the fleet.
        engine: Upstream id of the decoding engine.
        helpers: Upstream ids of the engines that prefill a part of the prompt.
        prompt_tokens: Number of prompt tokens to prefill.
        output_tokens: Estimated number of tokens to decode.
        prefill_part_s: Prefill time of each engine's part of the prompt.
        reserved_tokens: KV cache tokens reserved on each helper; 0 when the
            decoding engine holds the KV cache of the whole prompt.
        max_gap_s: Longest gap between events that is on time; 0 for no limit.
        target_left_s: Time left to a first event that is on time, at the start
            of the run.
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
        """KV cache tokens that the run uses on the decoding engine."""
        total = self.prompt_tokens + self.output_tokens
        return max(total - self.reserved_tokens * len(self.helpers), 0)

    @property
    def step_context_tokens(self) -> int:
        """Context tokens that add to the step time of the decoding engine."""
        if self.reserved_tokens:
            return self.prompt_tokens // (1 + len(self.helpers))
        return self.prompt_tokens


class _Prefill:
    """Prefill of a prompt, or of a part of it, that an engine has to do.

    Attributes:
        left_s: Prefill time left at the start of the current pass.
        due_at: Monotonic time at which the first event is due.
        in_pass_s: Prefill time assigned to the current pass.
    """

    __slots__ = ("due_at", "in_pass_s", "left_s")

    def __init__(self, left_s: float, due_at: float) -> None:
        self.left_s = left_s
        self.due_at = due_at
        self.in_pass_s = 0.0


class Forecast(NamedTuple):
    """Start time and maximum duration of a new prefill on an engine.

    Attributes:
        wait_s: Time until the current pass ends.
        next_pass_s: Duration of the next pass without the new prefill.
        slack_s: Longest new prefill that makes no other request late.
    """

    wait_s: float
    next_pass_s: float
    slack_s: float


class EngineState:
    """Runs and simulated scheduling passes of one engine.

    Attributes:
        runs: Runs whose decoding engine this is, by id.
        helper_runs: Runs whose helper this engine is, by id.
    """

    __slots__ = (
        "_pass_began_at",
        "_pass_ends_at",
        "_prefills",
        "helper_runs",
        "runs",
    )

    def __init__(self) -> None:
        """Creates the state of an idle engine."""
        self.runs: dict[str, Run] = {}
        self.helper_runs: dict[str, Run] = {}
        self._prefills: dict[str, _Prefill] = {}
        self._pass_began_at = -math.inf
        self._pass_ends_at = -math.inf

    @property
    def kv_tokens(self) -> int:
        """KV cache in use, in tokens."""
        return sum(run.own_kv_tokens for run in self.runs.values()) + sum(
            run.reserved_tokens for run in self.helper_runs.values()
        )

    @property
    def context_tokens(self) -> int:
        """Context tokens of all runs whose decoding engine this is."""
        return sum(run.step_context_tokens for run in self.runs.values())

    @property
    def prefill_left_s(self) -> float:
        """Prefill time that was left at the start of the current pass."""
        return sum(prefill.left_s for prefill in self._prefills.values())

    @property
    def idle(self) -> bool:
        """Whether no run is known on the engine."""
        return not self.runs and not self.helper_runs

    def add_prefill(
        self, run_id: str, prefill_part_s: float, due_at: float, now: float
    ) -> None:
        """Queues a prefill; an idle engine starts it immediately."""
        if not self._prefills and not self._decoding_runs():
            self._pass_ends_at = now
        self._prefills[run_id] = _Prefill(prefill_part_s, due_at)

    def remove_prefill(self, run_id: str) -> None:
        """Removes a prefill that is complete or cancelled."""
        self._prefills.pop(run_id, None)

    def record_event(
        self, model: fleet_config.EngineCostModel, at: float, now: float
    ) -> None:
        """Aligns the simulated passes with an event received from the engine.

        Args:
            model: Cost model of the engine.
            at: Monotonic time of the event, at which a pass ended.
            now: Monotonic time in seconds.
        """
        self.advance(model, now)
        length_s = self._pass_ends_at - self._pass_began_at
        if self._pass_ends_at <= now or not math.isfinite(length_s):
            return
        if at - self._pass_began_at <= SAME_PASS_SHARE * length_s:
            # Another event from the end of the previous pass.
            shift_s = at - self._pass_began_at
            self._pass_began_at += shift_s
            self._pass_ends_at += shift_s
            return
        self._pass_ends_at = at
        self.advance(model, now)

    def advance(self, model: fleet_config.EngineCostModel, now: float) -> None:
        """Simulates the passes up to `now`."""
        for _ in range(MAX_SIMULATED_PASSES):
            if self._pass_ends_at > now:
                return
            self._end_pass()
            if not self._prefills and not self._decoding_runs():
                return
            if not math.isfinite(self._pass_ends_at):
                self._pass_ends_at = now
            self._begin_pass(model)
        self._pass_ends_at = now

    def _end_pass(self) -> None:
        for run_id, prefill in list(self._prefills.items()):
            prefill.left_s -= prefill.in_pass_s
            if prefill.in_pass_s > 0 and prefill.left_s <= 1e-9:
                del self._prefills[run_id]
            prefill.in_pass_s = 0.0

    def _begin_pass(self, model: fleet_config.EngineCostModel) -> None:
        self._pass_began_at = self._pass_ends_at
        decoding = self._decoding_runs()
        length_s = self._decode_pass_s(model, decoding)
        if decoding:
            budget_s = pass_prefill_s(model)
            for prefill in self._prefills.values():
                prefill.in_pass_s = min(prefill.left_s, budget_s)
                budget_s -= prefill.in_pass_s
                length_s += prefill.in_pass_s
        else:
            # Without decoding requests a pass is a single step, so each
            # prefill completes before the next one starts.
            prefill = next(iter(self._prefills.values()))
            prefill.in_pass_s = prefill.left_s
            length_s += prefill.left_s
        self._pass_ends_at = self._pass_began_at + max(length_s, 1e-4)

    def _decoding_runs(self) -> list[Run]:
        return [
            run
            for run in self.runs.values()
            if run.run_id not in self._prefills
        ]

    def _decode_pass_s(
        self, model: fleet_config.EngineCostModel, decoding: list[Run]
    ) -> float:
        if not decoding:
            return 0.0
        return engine_costs.decode_pass_s(
            model,
            len(decoding),
            sum(run.step_context_tokens for run in decoding),
        )

    def forecast(
        self,
        model: fleet_config.EngineCostModel,
        now: float,
        gap_margin_s: float,
        due_margin_s: float,
    ) -> Forecast:
        """Returns when a new prefill could start and how long it may take.

        Args:
            model: Cost model of the engine.
            now: Monotonic time in seconds.
            gap_margin_s: Part of an accepted gap that is kept free.
            due_margin_s: Part of the time to a first event that is kept free.
        """
        self.advance(model, now)
        wait_s = max(self._pass_ends_at - now, 0.0)
        queued_prefills = [
            prefill
            for prefill in self._prefills.values()
            if prefill.in_pass_s <= 0
        ]
        prefill_left_s = sum(
            prefill.left_s - prefill.in_pass_s
            for prefill in self._prefills.values()
        )
        next_pass_s = prefill_left_s
        if self.runs:
            # All runs of this engine decode in the next pass or soon after.
            next_pass_s += engine_costs.decode_pass_s(
                model, len(self.runs), self.context_tokens
            )
        slack_s = math.inf
        for run in self.runs.values():
            if run.max_gap_s > 0:
                margin_s = min(gap_margin_s, run.max_gap_s / 4)
                slack_s = min(slack_s, run.max_gap_s - margin_s - next_pass_s)
        for prefill in queued_prefills:
            if prefill.due_at > now:
                due_slack_s = (
                    prefill.due_at - now - due_margin_s - wait_s - next_pass_s
                )
                if due_slack_s + due_margin_s > 0:
                    slack_s = min(slack_s, due_slack_s)
        return Forecast(wait_s, next_pass_s, slack_s)


def pass_prefill_s(model: fleet_config.EngineCostModel) -> float:
    """Returns the prefill time budget of a pass with decoding requests."""
    tokens = model.chunk_tokens * model.steps_per_pass
    return engine_costs.prefill_s(model, tokens)


class EngineLoad:
    """Table of all runs and of the state of each engine."""

    def __init__(self) -> None:
        """Creates an empty table."""
        self._runs: dict[str, Run] = {}
        self._states: dict[str, EngineState] = {}

    def state(self, engine: str) -> EngineState:
        """Returns the state of an engine; idle if no run names it."""
        state = self._states.get(engine)
        if state is None:
            state = self._states[engine] = EngineState()
        return state

    def get_run(self, run_id: str) -> Run | None:
        """Returns a run by its id, or None if it is unknown."""
        return self._runs.get(run_id)

    def add_run(self, run: Run, now: float, *, age_s: float = 0.0) -> None:
        """Adds a run that started `age_s` seconds ago."""
        if run.run_id in self._runs:
            return
        self._runs[run.run_id] = run
        due_at = now - age_s + run.target_left_s
        states = [self.state(run.engine)]
        states += [self.state(helper) for helper in run.helpers]
        if not run.decoding:
            for state in states:
                state.add_prefill(
                    run.run_id, run.prefill_part_s, due_at, now - age_s
                )
        states[0].runs[run.run_id] = run
        for state in states[1:]:
            state.helper_runs[run.run_id] = run

    def mark_decoding(self, run_id: str) -> Run | None:
        """Marks a run's prefill complete, at its first event.

        Returns:
            The run, or None if it is unknown or was decoding already.
        """
        run = self._runs.get(run_id)
        if run is None or run.decoding:
            return None
        run = run._replace(decoding=True)
        self._runs[run_id] = run
        state = self.state(run.engine)
        state.runs[run_id] = run
        state.remove_prefill(run_id)
        for helper in run.helpers:
            self.state(helper).helper_runs[run_id] = run
            self.state(helper).remove_prefill(run_id)
        return run

    def remove_run(self, run_id: str) -> None:
        """Removes a run from all engines that it names."""
        run = self._runs.pop(run_id, None)
        if run is None:
            return
        state = self.state(run.engine)
        state.runs.pop(run_id, None)
        state.remove_prefill(run_id)
        for helper in run.helpers:
            self.state(helper).helper_runs.pop(run_id, None)
            self.state(helper).remove_prefill(run_id)

    def remove_runs(self, run_ids: Iterable[str]) -> None:
        """Removes several runs; see remove_run."""
        for run_id in list(run_ids):
            self.remove_run(run_id)
