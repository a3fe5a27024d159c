"""Simulation of an engine that works in passes, by the published formulas.

It is independent of the gateway's cost estimates. The caller provides the
time: the simulation states when the current pass ends, and which events the
pass produces. A request's prompt may be prefilled in equal parts on several
engines; the home engine decodes it.

Invariant: the KV memory in use is the sum of the running jobs' own tokens and
of the reservations.
"""

from typing import Final, NamedTuple

MAX_RESERVATIONS: Final = 64


class EngineParameters(NamedTuple):
    """Published parameters of an engine.

    Attributes:
        slots: Number of requests that the engine runs concurrently.
        queue: Capacity of its queue.
        kv_tokens: KV cache capacity in tokens.
        step_ms: Minimum duration of a decode step in milliseconds.
        per_seq_ms: Time added to a step by each decoding request.
        ms_per_k_context: Time added to a step by 1,000 context tokens.
        prefill_tokens_per_ms: Prefill rate, without attention.
        ms_per_m_pairs: Prefill time of attention, for a million pairs of a
            token and an earlier token.
        chunk_tokens: Maximum number of prompt tokens prefilled in a step.
        steps_per_pass: Number of steps of a pass with decoding requests.
        hop_ms: Time added to a step when a prompt is split over engines.
    """

    slots: int = 8
    queue: int = 32
    kv_tokens: int = 315_000
    step_ms: float = 0.85
    per_seq_ms: float = 0.0085
    ms_per_k_context: float = 0.00285
    prefill_tokens_per_ms: float = 177.0
    ms_per_m_pairs: float = 0.184
    chunk_tokens: int = 2048
    steps_per_pass: int = 51
    hop_ms: float = 0.05


class Job:
    """A request that runs on one or more engines.

    Attributes:
        job_id: Id of the request.
        prompt_tokens: Length of the prompt.
        next_event: Id of the next event.
        last_event: Id of the last event.
        parts: Number of engines that prefill, the home engine included.
        parts_left: Parts of the prompt that are not yet prefilled.
        priority: Priority; 0 is the most urgent.
        own_kv_tokens: KV memory in use on the home engine, in tokens.
        context_tokens: Context length that counts in each decode step.
        started: Whether the first event has been produced.
        done: Whether the last event has been produced, or the job removed.
    """

    def __init__(
        self,
        job_id: str,
        prompt_tokens: int,
        first_event: int,
        last_event: int,
        parts: int,
        priority: int,
    ) -> None:
        """Creates a job before its prefill."""
        self.job_id = job_id
        self.prompt_tokens = prompt_tokens
        self.next_event = first_event
        self.last_event = last_event
        self.parts = parts
        self.parts_left = parts
        self.priority = priority
        self.own_kv_tokens = prompt_tokens
        self.context_tokens = prompt_tokens
        self.started = False
        self.done = False


class _Part:
    __slots__ = ("in_pass_ms", "job", "left_ms")

    def __init__(self, job: Job, left_ms: float) -> None:
        self.job = job
        self.left_ms = left_ms
        self.in_pass_ms = 0.0


class Emitted(NamedTuple):
    """An event that a pass produced.

    Attributes:
        job: The job.
        event_id: Id of the event; the first event of a stream has id 1.
        last: Whether it is the last event of the stream.
    """

    job: Job
    event_id: int
    last: bool


class EnginePasses:
    """The simulated passes of an engine."""

    def __init__(
        self, parameters: EngineParameters, slowdown: float = 1.0
    ) -> None:
        """Creates an idle engine.

        Args:
            parameters: Published parameters.
            slowdown: Factor on the published duration of a pass.
        """
        self.parameters = parameters
        self.slowdown = slowdown
        self.reservations: dict[str, int] = {}
        self._queue: list[Job] = []
        self._running: list[Job] = []
        self._parts: list[_Part] = []
        self._pass_end_ms: float | None = None

    @property
    def busy(self) -> bool:
        """Whether a pass is running."""
        return self._pass_end_ms is not None

    @property
    def pass_end_ms(self) -> float | None:
        """Time at which the running pass ends; None if the engine is idle."""
        return self._pass_end_ms

    @property
    def kv_used(self) -> int:
        """KV memory in use, in tokens."""
        return sum(job.own_kv_tokens for job in self._running) + sum(
            self.reservations.values()
        )

    @property
    def helper_parts(self) -> int:
        """Number of prompt parts that it prefills for other engines."""
        own = {id(job) for job in self._running}
        return sum(id(part.job) not in own for part in self._parts)

    def prefill_ms(self, tokens: float) -> float:
        """Returns the time to prefill a prompt on an idle engine."""
        pairs = tokens * tokens / 2e6
        return tokens / self.parameters.prefill_tokens_per_ms + pairs * (
            self.parameters.ms_per_m_pairs
        )

    def enqueue(self, job: Job, now_ms: float) -> bool:
        """Queues a job with this engine as its home; False if it is full."""
        if len(self._queue) >= self.parameters.queue:
            return False
        if job.own_kv_tokens > self.parameters.kv_tokens:
            return False
        self._queue.append(job)
        self._queue.sort(key=lambda queued: queued.priority)
        self._start_pass_if_idle(now_ms)
        return True

    def add_helper_part(self, job: Job, now_ms: float) -> bool:
        """Adds a part of another engine's prompt; False if it has too many."""
        if self.helper_parts >= self.parameters.slots:
            return False
        # Parts of other engines' prompts precede the own prompts.
        self._parts.insert(self.helper_parts, self._make_part(job))
        self._start_pass_if_idle(now_ms)
        return True

    def reserve(self, reservation_id: str, tokens: int) -> bool:
        """Reserves KV memory; False if there isn't enough free."""
        if reservation_id in self.reservations:
            return True
        if len(self.reservations) >= MAX_RESERVATIONS:
            return False
        if self.kv_used + tokens > self.parameters.kv_tokens:
            return False
        self.reservations[reservation_id] = tokens
        return True

    def remove(self, job: Job) -> None:
        """Removes a job that was cancelled."""
        job.done = True
        self._queue = [other for other in self._queue if other is not job]
        self._running = [other for other in self._running if other is not job]
        self._parts = [part for part in self._parts if part.job is not job]

    def end_pass(self, now_ms: float) -> list[Emitted]:
        """Ends the running pass and starts the next one; returns its events."""
        decoding = self._decoding_jobs()
        emitted = [self._emit_event(job) for job in decoding]
        for part in list(self._parts):
            part.left_ms -= part.in_pass_ms
            if part.in_pass_ms <= 0 or part.left_ms > 1e-6:
                part.in_pass_ms = 0.0
                continue
            self._parts.remove(part)
            part.job.parts_left -= 1
            if part.job.parts_left == 0 and part.job in self._running:
                emitted.append(self._emit_event(part.job))
        self._running = [job for job in self._running if not job.done]
        self._pass_end_ms = None
        self._start_pass_if_idle(now_ms)
        return emitted

    def on_part_done(self, now_ms: float) -> None:
        """Starts a pass if another engine has prefilled the last part."""
        self._start_pass_if_idle(now_ms)

    def _emit_event(self, job: Job) -> Emitted:
        job.started = True
        event_id = job.next_event
        job.next_event += 1
        job.done = event_id >= job.last_event
        return Emitted(job, event_id, job.done)

    def _decoding_jobs(self) -> list[Job]:
        return [job for job in self._running if not job.parts_left]

    def _make_part(self, job: Job) -> _Part:
        return _Part(job, self.prefill_ms(job.prompt_tokens) / job.parts)

    def _start_pass_if_idle(self, now_ms: float) -> None:
        """Starts a pass if none is running and there is work."""
        if self._pass_end_ms is not None:
            return
        self._admit()
        if not self._running and not self._parts:
            return
        length_ms = self._plan_pass(self._decoding_jobs())
        self._pass_end_ms = now_ms + max(length_ms, 0.01) * self.slowdown

    def _admit(self) -> None:
        while self._queue and len(self._running) < self.parameters.slots:
            job = self._queue[0]
            if self.kv_used + job.own_kv_tokens > self.parameters.kv_tokens:
                return
            self._queue.pop(0)
            self._running.append(job)
            self._parts.append(self._make_part(job))

    def _plan_pass(self, decoding: list[Job]) -> float:
        parameters = self.parameters
        if not decoding:
            if not self._parts:
                return parameters.step_ms
            part = self._parts[0]
            prompt_ms = self.prefill_ms(part.job.prompt_tokens)
            tokens = part.job.prompt_tokens or 1
            share = min(parameters.chunk_tokens / tokens, 1.0) * prompt_ms
            part.in_pass_ms = min(part.left_ms, share)
            return part.in_pass_ms + parameters.step_ms
        context = sum(job.context_tokens for job in decoding) / 1000
        length_ms = parameters.steps_per_pass * (
            parameters.step_ms
            + len(decoding) * parameters.per_seq_ms
            + context * parameters.ms_per_k_context
        )
        budget_ms = self.prefill_ms(
            parameters.chunk_tokens * parameters.steps_per_pass
        )
        for part in self._parts:
            part.in_pass_ms = min(part.left_ms, budget_ms)
            budget_ms -= part.in_pass_ms
            length_ms += part.in_pass_ms
        return length_ms
