"""Plays a request table against the shipped decision code on fake engines.

Entries and agents are reduced to what the decisions need: the entry's table
with lagging reports, admission, routing and retry budget; the agent's queue.
Everything runs on one event heap and one seeded random number generator.
"""

import heapq
import math
import random
from collections.abc import Callable
from typing import Any, Final, Literal, NamedTuple

from apricottrestle import (
    admission,
    messages,
    queueing,
    queueing_fair,
    routing,
    routing_expected,
    upstream_table,
)
from bench import engine_model, workload

ENTRIES: Final = 4
MAX_ATTEMPTS: Final = 3
LOST_AFTER_S: Final = 4.0
GROUP_RETRY_S: Final = 1.0
GROUP_SIZES: Final = (3, 4, 5, 6)
MODEL: Final = "m"


class Policy(NamedTuple):
    """One set of decisions under test."""

    name: str
    router: Literal["random", "round_robin", "least", "expected"] = "expected"
    fifo: bool = False
    queue: queueing_fair.QueueSettings = queueing_fair.QueueSettings()
    route: routing_expected.RouterSettings = routing_expected.RouterSettings()
    admission: bool = True
    retry_budget: bool = True
    report_s: float = 0.15
    order: engine_model.PrefillOrder = "shared"


class Fault(NamedTuple):
    """An engine that fails requests between two times.

    A "down" engine fails all at once; a "failing" one fails each request at the
    end of its prefill.
    """

    agent: int
    start_s: float
    end_s: float
    kind: Literal["down", "failing"]


class Outcome(NamedTuple):
    """What became of a request. Times in seconds; NaN when it did not happen.

    `state` is "ok", "refused" (early), "late" (ended at its deadline) or
    "failed".
    """

    arrival: workload.Arrival
    state: str
    first_s: float
    end_s: float
    attempts: int
    prefilled: int


class _Job:
    """A request on its way."""

    def __init__(self, row: workload.Arrival, entry: "_Entry") -> None:
        self.row = row
        self.entry = entry
        self.agent: _Agent | None = None
        self.attempts = 0
        self.excluded: set[str] = set()
        self.members: list[_Agent] = []
        self.first_s = math.nan
        self.end_s = math.nan
        self.prefilled = 0
        self.state = ""

    @property
    def deadline(self) -> float:
        return self.row.time_s + self.row.time_limit_s


class _Entry:
    def __init__(self, index: int, seed: int, policy: Policy) -> None:
        rng = random.Random(f"{seed}/entry/{index}")
        self.index = index
        self.table = upstream_table.UpstreamTable()
        self.router = _router(policy, rng)
        self.admission = admission.AdmissionControl(
            rng, policy.route.score, enabled=policy.admission
        )
        self.budget = admission.RetryBudget()


class _Agent:
    def __init__(self, index: int, policy: Policy) -> None:
        self.agent_id = f"agent-{index}"
        self.engine = engine_model.Engine(policy.order)
        self.queue: queueing.RequestQueue = (
            queueing.FifoQueue()
            if policy.fifo
            else queueing_fair.PriorityFairQueue(policy.queue)
        )
        self.jobs: dict[str, _Job] = {}
        self.received = [0] * ENTRIES
        self.version = 0
        self.fault = ""

    def capacity(self) -> queueing.Capacity:
        prefills = self.engine.prefills
        running = len(prefills) + len(self.engine.decodes)
        return queueing.Capacity(
            slots=engine_model.SLOTS,
            slots_free=engine_model.SLOTS - running,
            kv_tokens=engine_model.KV_TOKENS,
            kv_tokens_free=engine_model.KV_TOKENS - self.engine.kv_used,
            prefill_tokens_left=self.engine.tokens_left(),
            prefill_tokens_per_s=engine_model.NOMINAL_TOKENS_PER_S,
            prefills=len(prefills),
            long_prefills=sum(
                p.size > queueing.LONG_PROMPT_TOKENS for p in prefills.values()
            ),
        )

    def report(self, received: int) -> messages.LoadReport:
        capacity = self.capacity()
        return messages.LoadReport(
            MODEL,
            "engine",
            "1",
            [],
            False,
            self.queue.queued_tokens(),
            engine_model.SLOTS - capacity.slots_free,
            capacity.prefill_tokens_left,
            engine_model.KV_TOKENS,
            capacity.kv_tokens_free,
            self.queue.effective_tokens_per_s(capacity),
            received,
        )


def _router(policy: Policy, rng: random.Random) -> routing.Router:
    if policy.router == "random":
        return routing.RandomRouter(rng)
    if policy.router == "round_robin":
        return routing.RoundRobinRouter()
    if policy.router == "least":
        return routing.LeastOutstandingRouter(rng)
    return routing_expected.ExpectedFirstTokenRouter(rng, policy.route)


class Simulation:
    """One run of a request table under one policy."""

    def __init__(
        self,
        fleet: workload.Fleet,
        policy: Policy,
        seed: int,
        faults: tuple[Fault, ...] = (),
    ) -> None:
        """Sets up agents, entries with first reports, and faults."""
        self._fleet = fleet
        self._policy = policy
        self._rng = random.Random(f"{seed}/fleet")
        self._events: list[tuple[float, int, Callable[..., None], Any]] = []
        self._seq = 0
        self._now = 0.0
        self._open = 0
        self._agents = [_Agent(i, policy) for i in range(fleet.engines)]
        self._entries = [_Entry(i, seed, policy) for i in range(ENTRIES)]
        for agent in self._agents:
            for entry in self._entries:
                row = upstream_table.UpstreamRow(
                    agent.agent_id, "dc", "1", agent.report(0), 0.0
                )
                entry.table.add(row)
            phase = self._rng.random() * policy.report_s
            self._at(phase, self._send_report, agent)
        for fault in faults:
            agent = self._agents[fault.agent]
            self._at(fault.start_s, self._set_fault, (agent, fault.kind))
            self._at(fault.end_s, self._set_fault, (agent, ""))

    def run(self, table: list[workload.Arrival]) -> list[Outcome]:
        """Plays the table to the end and returns one outcome per request."""
        jobs = [_Job(row, self._rng.choice(self._entries)) for row in table]
        self._open = len(jobs)
        for job in jobs:
            self._at(job.row.time_s + self._fleet.client_s, self._arrive, job)
        while self._open:
            self._now, _, function, argument = heapq.heappop(self._events)
            function(argument)
        return [
            Outcome(
                job.row,
                job.state,
                job.first_s - job.row.time_s,
                job.end_s - job.row.time_s,
                job.attempts,
                job.prefilled,
            )
            for job in jobs
        ]

    def engines(self) -> list[engine_model.Engine]:
        """Returns the engines, to check their memory after a run."""
        return [agent.engine for agent in self._agents]

    def _at(
        self, time_s: float, function: Callable[..., None], argument: Any
    ) -> None:
        self._seq += 1
        heapq.heappush(self._events, (time_s, self._seq, function, argument))

    def _end(self, job: _Job, state: str) -> None:
        if not job.state:
            job.state = state
            job.end_s = self._now + self._fleet.client_s
            self._open -= 1

    # Entry

    def _request(self, job: _Job) -> routing.RouteRequest:
        row = job.row
        return routing.RouteRequest(
            row.req_id,
            row.team,
            row.priority,
            MODEL,
            "1",
            "",
            row.prompt_tokens,
            row.output_tokens,
            row.prefix_blocks,
            job.deadline - self._now,
            frozenset(job.excluded),
        )

    def _arrive(self, job: _Job) -> None:
        self._at(job.deadline, self._expire, job)
        req = self._request(job)
        decision = job.entry.admission.check(req, job.entry.table, self._now)
        if decision.admitted:
            self._dispatch(job)
        else:
            self._end(job, "refused")

    def _dispatch(self, job: _Job) -> None:
        if job.state:
            return
        req = self._request(job)
        choice = job.entry.router.choose(req, job.entry.table, self._now)
        if not choice.agent_id:
            self._end(job, "failed")
            return
        agent = self._agents[int(choice.agent_id.split("-")[1])]
        tokens = job.row.prompt_tokens + job.row.output_tokens
        if tokens > engine_model.KV_TOKENS and not self._reserve(
            job, agent, tokens
        ):
            self._at(self._now + GROUP_RETRY_S, self._dispatch, job)
            return
        job.attempts += 1
        if job.attempts == 1:
            job.entry.budget.deposit(job.row.team, agent.agent_id, self._now)
        job.entry.table.record_submit(
            agent.agent_id, job.row.prompt_tokens, job.row.priority
        )
        job.agent = agent
        self._at(self._now + self._fleet.agent_s, self._receive, (agent, job))

    def _reserve(self, job: _Job, leader: _Agent, tokens: int) -> bool:
        """Reserves memory for a group, all or nothing."""
        others = sorted(
            (a for a in self._agents if a is not leader and not a.fault),
            key=lambda a: a.engine.kv_used,
        )
        for size in GROUP_SIZES:
            share = -(-tokens // size)
            members = [leader, *others[: size - 1]]
            free = engine_model.KV_TOKENS - max(
                m.engine.kv_used for m in members
            )
            if share <= free:
                for member in members:
                    member.engine.allocate(f"g{job.row.req_id}", share)
                job.members = members
                return True
        return False

    def _retry(self, job: _Job, agent: _Agent, state: str) -> None:
        """Tries elsewhere, within the budget, after a refusal or failure."""
        job.entry.table.record_end(agent.agent_id)
        self._free(job)
        job.excluded.add(agent.agent_id)
        allowed = job.attempts < MAX_ATTEMPTS and (
            not self._policy.retry_budget
            or job.entry.budget.try_withdraw(
                job.row.team, agent.agent_id, self._now
            )
        )
        if allowed:
            self._at(self._now + self._fleet.agent_s, self._dispatch, job)
        else:
            self._end(job, state)

    def _free(self, job: _Job) -> None:
        for member in job.members:
            member.engine.release(f"g{job.row.req_id}")
            self._wake(member)
        job.members = []

    def _expire(self, job: _Job) -> None:
        if job.state:
            return
        self._end(job, "late")
        agent = job.agent
        if agent is not None and job.row.req_id in agent.jobs:
            self._advance(agent)
            del agent.jobs[job.row.req_id]
            agent.queue.remove(job.row.req_id)
            agent.engine.cancel(job.row.req_id)
            job.entry.table.record_end(agent.agent_id)
            self._wake(agent)
        self._free(job)

    # Agent

    def _receive(self, argument: tuple[_Agent, _Job]) -> None:
        agent, job = argument
        row = job.row
        agent.received[job.entry.index] += 1
        if job.state:
            return
        if agent.fault == "down":
            self._retry(job, agent, "failed")
            return
        self._advance(agent)
        hits = len([b for b in row.prefix_blocks if b in agent.engine.cache])
        tokens = max(row.prompt_tokens - hits * 512, 1)
        kv = 0 if job.members else row.prompt_tokens + row.output_tokens
        item = queueing.QueueItem(
            row.req_id,
            row.team,
            1.0,
            row.priority,
            tokens,
            row.output_tokens,
            kv,
            self._now,
            job.deadline,
        )
        capacity = agent.capacity()
        wait_s = agent.queue.expected_wait_s(item, capacity)
        if self._policy.admission and not agent.queue.can_meet_deadline(
            item, capacity, self._now + wait_s
        ):
            self._retry(job, agent, "refused")
        else:
            agent.jobs[row.req_id] = job
            if job.members:
                self._start(agent, item)
            else:
                agent.queue.push(item)
        self._wake(agent)

    def _advance(self, agent: _Agent) -> None:
        for event in agent.engine.advance(self._now):
            job = agent.jobs[event.req_id]
            if event.done:
                del agent.jobs[event.req_id]
                job.entry.table.record_end(agent.agent_id)
                self._end(job, "ok")
                self._free(job)
            elif agent.fault == "failing":
                self._fail(agent, job)
            elif math.isnan(job.first_s):
                delay = self._fleet.agent_s + self._fleet.client_s
                job.first_s = self._now + delay

    def _fail(self, agent: _Agent, job: _Job) -> None:
        del agent.jobs[job.row.req_id]
        agent.queue.remove(job.row.req_id)
        agent.engine.cancel(job.row.req_id)
        self._retry(job, agent, "failed")

    def _wake(self, agent: _Agent) -> None:
        """Starts what fits and schedules the engine's next event."""
        self._advance(agent)
        while agent.fault != "down":
            capacity = agent.capacity()
            item = agent.queue.pop(capacity, self._now)
            if item is None:
                break
            job = agent.jobs[item.req_id]
            if self._policy.admission and not agent.queue.can_meet_deadline(
                item, capacity, self._now
            ):
                del agent.jobs[item.req_id]
                job.entry.table.record_end(agent.agent_id)
                self._end(job, "refused")
                self._free(job)
                continue
            self._start(agent, item)
        agent.version += 1
        next_s = agent.engine.next_s()
        if next_s is not None:
            self._at(next_s, self._tick, (agent, agent.version))

    def _start(self, agent: _Agent, item: queueing.QueueItem) -> None:
        """Starts an item; a group has its memory already and never queues."""
        job = agent.jobs[item.req_id]
        hits = agent.engine.use_cache(job.row.prefix_blocks)
        tokens = max(job.row.prompt_tokens - hits, 1)
        job.prefilled += tokens
        if item.kv_tokens:
            agent.engine.allocate(item.req_id, item.kv_tokens)
        agent.engine.start(
            item.req_id,
            tokens,
            job.row.output_tokens,
            queueing_fair.engine_priority(item),
        )

    def _tick(self, argument: tuple[_Agent, int]) -> None:
        agent, version = argument
        if agent.version == version:
            self._wake(agent)

    def _set_fault(self, argument: tuple[_Agent, str]) -> None:
        agent, kind = argument
        self._advance(agent)
        agent.fault = kind
        if kind == "down":
            agent.engine.cache.clear()
            agent.engine.cache_changed = True
            for job in list(agent.jobs.values()):
                self._fail(agent, job)
            self._at(self._now + LOST_AFTER_S, self._mark, (agent, False))
        else:
            self._mark((agent, True))
        self._wake(agent)

    def _mark(self, argument: tuple[_Agent, bool]) -> None:
        agent, usable = argument
        if usable or agent.fault == "down":
            for entry in self._entries:
                entry.table.set_usable(agent.agent_id, usable)

    def _send_report(self, agent: _Agent) -> None:
        self._at(self._now + self._policy.report_s, self._send_report, agent)
        if agent.fault == "down":
            return
        self._advance(agent)
        report = agent.report(0)
        counts = list(agent.received)
        blocks = None
        if agent.engine.cache_changed:
            agent.engine.cache_changed = False
            blocks = frozenset(agent.engine.cache)
        self._at(
            self._now + self._fleet.agent_s,
            self._apply_report,
            (agent, report, counts, blocks),
        )
        if len(agent.queue):
            self._wake(agent)

    def _apply_report(
        self,
        argument: tuple[
            _Agent, messages.LoadReport, list[int], frozenset[int] | None
        ],
    ) -> None:
        agent, report, counts, blocks = argument
        for entry, received in zip(self._entries, counts, strict=True):
            table = entry.table
            row = table.rows[agent.agent_id]
            usable = row.usable
            table.apply_report(
                agent.agent_id, report._replace(received=received), self._now
            )
            if not usable and agent.fault:
                table.set_usable(agent.agent_id, False)
            if blocks is not None:
                known = row.cached_blocks.keys()
                table.remove_cached_blocks(
                    agent.agent_id, sorted(known - blocks)
                )
                table.add_cached_blocks(agent.agent_id, sorted(blocks - known))
