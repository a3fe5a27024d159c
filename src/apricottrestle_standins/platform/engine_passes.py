"""Model of an engine that works in passes, by the published formulas.

Independent of the gateway's estimates. Time is given by the caller: the model
tells when its next pass ends, and what that pass brings.

Invariant: memory in use is the sum of the admitted jobs' and the reservations'.
"""

from typing import Final, NamedTuple

MAX_RESERVATIONS: Final = 64


class EngineFigures(NamedTuple):
    """Published figures of an engine; times in milliseconds as on the wire."""

    slots: int = 8
    queue: int = 32
    kv_tokens: int = 315_000
    step_ms: float = 0.85
    per_seq_ms: float = 0.0085
    context_per_k: float = 0.00285
    read_per_ms: float = 177.0
    pairs_per_m: float = 0.184
    chunk: int = 2048
    stride: int = 51
    hop_ms: float = 0.05


class Job:
    """A request on one or more engines.

    Attributes:
        job_id: Id.
        prompt_tokens: Tokens to read.
        next_event: Id of the next event.
        last_event: Id of the last event.
        next_event: Id of the next event.
        parts_left: Parts of the prompt not yet read.
        parts: Engines that read, the writing one included.
        priority: 0 is first.
        own_tokens: Memory that it takes on the engine that writes.
        context_tokens: Context that each of its steps costs.
        started: Whether its first event is out.
        done: Whether it has ended.
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
        """Starts before anything has been read."""
        self.job_id = job_id
        self.prompt_tokens = prompt_tokens
        self.next_event = first_event
        self.last_event = last_event
        self.parts = parts
        self.parts_left = parts
        self.priority = priority
        self.own_tokens = prompt_tokens
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
    """An event of a stream.

    Attributes:
        job: The job.
        event_id: Id of the event, from 1.
        last: Whether it ends the stream.
    """

    job: Job
    event_id: int
    last: bool


class EnginePasses:
    """One engine."""

    def __init__(self, figures: EngineFigures, slowdown: float = 1.0) -> None:
        """Starts idle.

        Args:
            figures: Published figures.
            slowdown: Factor by which the engine is slower than published.
        """
        self.figures = figures
        self.slowdown = slowdown
        self.reservations: dict[str, int] = {}
        self._queue: list[Job] = []
        self._running: list[Job] = []
        self._parts: list[_Part] = []
        self._pass_ends_ms: float | None = None

    @property
    def busy(self) -> bool:
        """Whether a pass is under way."""
        return self._pass_ends_ms is not None

    @property
    def pass_ends_ms(self) -> float | None:
        """When the pass under way ends; None when idle."""
        return self._pass_ends_ms

    @property
    def kv_used(self) -> int:
        """Memory in use, in tokens."""
        return sum(job.own_tokens for job in self._running) + sum(
            self.reservations.values()
        )

    @property
    def helping(self) -> int:
        """Jobs of other engines that it reads for."""
        own = {id(job) for job in self._running}
        return sum(id(part.job) not in own for part in self._parts)

    def read_ms(self, tokens: float) -> float:
        """Returns the time to read a prompt alone."""
        pairs = tokens * tokens / 2e6
        return tokens / self.figures.read_per_ms + pairs * (
            self.figures.pairs_per_m
        )

    def offer(self, job: Job, now_ms: float) -> bool:
        """Queues a job to be written here; False when the engine is full."""
        if len(self._queue) >= self.figures.queue:
            return False
        if job.own_tokens > self.figures.kv_tokens:
            return False
        self._queue.append(job)
        self._queue.sort(key=lambda each: each.priority)
        self._kick(now_ms)
        return True

    def help(self, job: Job, now_ms: float) -> bool:
        """Takes a part of a prompt; False when it helps too many."""
        if self.helping >= self.figures.slots:
            return False
        # Parts of other engines' prompts come before own reads.
        self._parts.insert(self.helping, self._part(job))
        self._kick(now_ms)
        return True

    def reserve(self, reservation_id: str, tokens: int) -> bool:
        """Sets memory aside; False when it isn't free."""
        if reservation_id in self.reservations:
            return True
        if len(self.reservations) >= MAX_RESERVATIONS:
            return False
        if self.kv_used + tokens > self.figures.kv_tokens:
            return False
        self.reservations[reservation_id] = tokens
        return True

    def drop(self, job: Job) -> None:
        """Removes a job whose caller has left, or that was cut off."""
        job.done = True
        self._queue = [each for each in self._queue if each is not job]
        self._running = [each for each in self._running if each is not job]
        self._parts = [each for each in self._parts if each.job is not job]

    def end_pass(self, now_ms: float) -> list[Emitted]:
        """Ends the pass that is due and begins the next; returns events."""
        writers = self._writers()
        emitted = [self._emit(job) for job in writers]
        for part in list(self._parts):
            part.left_ms -= part.in_pass_ms
            if part.in_pass_ms <= 0 or part.left_ms > 1e-6:
                part.in_pass_ms = 0.0
                continue
            self._parts.remove(part)
            part.job.parts_left -= 1
            if part.job.parts_left == 0 and part.job in self._running:
                emitted.append(self._emit(part.job))
        self._running = [job for job in self._running if not job.done]
        self._pass_ends_ms = None
        self._kick(now_ms)
        return emitted

    def wake(self, now_ms: float) -> None:
        """Begins a pass when a job's last part was read elsewhere."""
        self._kick(now_ms)

    def _emit(self, job: Job) -> Emitted:
        job.started = True
        event_id = job.next_event
        job.next_event += 1
        job.done = event_id >= job.last_event
        return Emitted(job, event_id, job.done)

    def _writers(self) -> list[Job]:
        return [job for job in self._running if not job.parts_left]

    def _part(self, job: Job) -> _Part:
        return _Part(job, self.read_ms(job.prompt_tokens) / job.parts)

    def _kick(self, now_ms: float) -> None:
        """Begins a pass if none is under way and there is work."""
        if self._pass_ends_ms is not None:
            return
        self._admit()
        if not self._running and not self._parts:
            return
        length = self._begin(self._writers())
        self._pass_ends_ms = now_ms + max(length, 0.01) * self.slowdown

    def _admit(self) -> None:
        while self._queue and len(self._running) < self.figures.slots:
            job = self._queue[0]
            if self.kv_used + job.own_tokens > self.figures.kv_tokens:
                return
            self._queue.pop(0)
            self._running.append(job)
            self._parts.append(self._part(job))

    def _begin(self, writers: list[Job]) -> float:
        figures = self.figures
        if not writers:
            if not self._parts:
                return figures.step_ms
            part = self._parts[0]
            whole = self.read_ms(part.job.prompt_tokens)
            tokens = part.job.prompt_tokens or 1
            share = min(figures.chunk / tokens, 1.0) * whole
            part.in_pass_ms = min(part.left_ms, share)
            return max(part.in_pass_ms, figures.step_ms)
        context = sum(job.context_tokens for job in writers) / 1000
        length = figures.stride * (
            figures.step_ms
            + len(writers) * figures.per_seq_ms
            + context * figures.context_per_k
        )
        room = self.read_ms(figures.chunk * figures.stride)
        for part in self._parts:
            part.in_pass_ms = min(part.left_ms, room)
            room -= part.in_pass_ms
            length += part.in_pass_ms
        return length
