"""Simulates a fleet with the production decision code and simulated engines.

Entries and agents are reduced to what the decisions need: an entry has its
upstream table with delayed load reports, admission control, a router and a
retry budget; an agent has its request queue. Everything runs on one event heap
with seeded random number generators.
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
DOWN_DETECTION_S: Final = 4.0
GROUP_RETRY_INTERVAL_S: Final = 1.0
GROUP_SIZES: Final = (3, 4, 5, 6)
MODEL: Final = "m"


class Policy(NamedTuple):
    """Settings of the decisions under test.

    Attributes:
        name: Name in the results.
        router: Routing algorithm.
        fifo: Whether agents queue in order of arrival instead of by priority
            and team.
        queue: Settings of the fair queue.
        route: Settings of the router of expected first-token times.
        admission: Whether requests that can't meet their deadline are refused.
        retry_budget: Whether a budget limits retries.
        report_interval_s: Interval of the agents' load reports.
        order: How engines share a prefill chunk.
    """

    name: str
    router: Literal["random", "round_robin", "least", "expected"] = "expected"
    fifo: bool = False
    queue: queueing_fair.QueueSettings = queueing_fair.QueueSettings()
    route: routing_expected.RouterSettings = routing_expected.RouterSettings()
    admission: bool = True
    retry_budget: bool = True
    report_interval_s: float = 0.15
    order: engine_model.PrefillOrder = "shared"


class Fault(NamedTuple):
    """An engine that fails requests between two times.

    A "down" engine fails its requests at once and answers nothing; a "failing"
    engine fails each request at the end of its prefill.
    """

    agent: int
    start_s: float
    end_s: float
    kind: Literal["down", "failing"]


class Outcome(NamedTuple):
    """Result of a request; times are in seconds after its arrival.

    Attributes:
        arrival: The request.
        state: "ok", "refused" (by admission control or a queue), "late" (ended
            at its deadline) or "failed".
        first_s: Time to first token, NaN without a first token.
        end_s: Time to the end.
        attempts: Number of submits to an agent.
        prefilled_tokens: Tokens prefilled in all attempts.
    """

    arrival: workload.Arrival
    state: str
    first_s: float
    end_s: float
    attempts: int
    prefilled_tokens: int


class _RequestState:
    """State of a request during the simulation."""

    def __init__(self, arrival: workload.Arrival, entry: "_Entry") -> None:
        self.arrival = arrival
        self.entry = entry
        self.agent: _Agent | None = None
        self.attempts = 0
        self.excluded: set[str] = set()
        self.group_members: list[_Agent] = []
        self.first_s = math.nan
        self.end_s = math.nan
        self.prefilled_tokens = 0
        self.state = ""

    @property
    def deadline(self) -> float:
        return self.arrival.time_s + self.arrival.time_limit_s


class _Entry:
    def __init__(self, index: int, seed: int, policy: Policy) -> None:
        rng = random.Random(f"{seed}/entry/{index}")
        self.index = index
        self.table = upstream_table.UpstreamTable()
        self.router = _make_router(policy, rng)
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
        self.requests: dict[str, _RequestState] = {}
        self.received = [0] * ENTRIES
        self.event_version = 0
        self.fault = ""

    def capacity(self) -> queueing.Capacity:
        prefills = self.engine.prefills
        running = len(prefills) + len(self.engine.decodes)
        return queueing.Capacity(
            slots=engine_model.SLOTS,
            slots_free=engine_model.SLOTS - running,
            kv_tokens=engine_model.KV_TOKENS,
            kv_tokens_free=engine_model.KV_TOKENS - self.engine.kv_used,
            prefill_tokens_left=self.engine.prefill_tokens_left(),
            prefill_tokens_per_s=engine_model.NOMINAL_TOKENS_PER_S,
            prefills=len(prefills),
            long_prefills=sum(
                p.prompt_tokens > queueing.LONG_PROMPT_TOKENS
                for p in prefills.values()
            ),
        )

    def load_report(self, received: int) -> messages.LoadReport:
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


def _make_router(policy: Policy, rng: random.Random) -> routing.Router:
    if policy.router == "random":
        return routing.RandomRouter(rng)
    if policy.router == "round_robin":
        return routing.RoundRobinRouter()
    if policy.router == "least":
        return routing.LeastOutstandingRouter(rng)
    return routing_expected.ExpectedFirstTokenRouter(rng, policy.route)


class Simulation:
    """One simulated run of a list of requests under one policy."""

    def __init__(
        self,
        fleet: workload.Fleet,
        policy: Policy,
        seed: int,
        faults: tuple[Fault, ...] = (),
    ) -> None:
        """Creates agents and entries and schedules load reports and faults.

        Every entry starts with a load report of every agent.
        """
        self._fleet = fleet
        self._policy = policy
        self._rng = random.Random(f"{seed}/fleet")
        self._events: list[tuple[float, int, Callable[..., None], Any]] = []
        self._seq = 0
        self._now = 0.0
        self._unfinished = 0
        self._agents = [_Agent(i, policy) for i in range(fleet.engines)]
        self._entries = [_Entry(i, seed, policy) for i in range(ENTRIES)]
        for agent in self._agents:
            for entry in self._entries:
                row = upstream_table.UpstreamRow(
                    agent.agent_id, "dc", "1", agent.load_report(0), 0.0
                )
                entry.table.add(row)
            first_report_s = self._rng.random() * policy.report_interval_s
            self._schedule(first_report_s, self._send_report, agent)
        for fault in faults:
            agent = self._agents[fault.agent]
            self._schedule(fault.start_s, self._set_fault, (agent, fault.kind))
            self._schedule(fault.end_s, self._set_fault, (agent, ""))

    def run(self, arrivals: list[workload.Arrival]) -> list[Outcome]:
        """Runs until every request has ended; returns one outcome each."""
        requests = [
            _RequestState(arrival, self._rng.choice(self._entries))
            for arrival in arrivals
        ]
        self._unfinished = len(requests)
        for request in requests:
            self._schedule(
                request.arrival.time_s + self._fleet.client_latency_s,
                self._on_arrival,
                request,
            )
        while self._unfinished:
            self._now, _, handler, argument = heapq.heappop(self._events)
            handler(argument)
        return [
            Outcome(
                request.arrival,
                request.state,
                request.first_s - request.arrival.time_s,
                request.end_s - request.arrival.time_s,
                request.attempts,
                request.prefilled_tokens,
            )
            for request in requests
        ]

    def engines(self) -> list[engine_model.Engine]:
        """Returns the engines, for checks of their memory after a run."""
        return [agent.engine for agent in self._agents]

    def _schedule(
        self, time_s: float, handler: Callable[..., None], argument: Any
    ) -> None:
        self._seq += 1
        heapq.heappush(self._events, (time_s, self._seq, handler, argument))

    def _end_request(self, request: _RequestState, state: str) -> None:
        if not request.state:
            request.state = state
            request.end_s = self._now + self._fleet.client_latency_s
            self._unfinished -= 1

    # Steps of an entry.

    def _route_request(self, request: _RequestState) -> routing.RouteRequest:
        arrival = request.arrival
        return routing.RouteRequest(
            arrival.req_id,
            arrival.team,
            arrival.priority,
            MODEL,
            "1",
            "",
            arrival.prompt_tokens,
            arrival.output_tokens,
            arrival.prefix_blocks,
            request.deadline - self._now,
            frozenset(request.excluded),
        )

    def _on_arrival(self, request: _RequestState) -> None:
        self._schedule(request.deadline, self._on_deadline, request)
        route_request = self._route_request(request)
        decision = request.entry.admission.check(
            route_request, request.entry.table, self._now
        )
        if decision.admitted:
            self._submit(request)
        else:
            self._end_request(request, "refused")

    def _submit(self, request: _RequestState) -> None:
        if request.state:
            return
        route_request = self._route_request(request)
        choice = request.entry.router.choose(
            route_request, request.entry.table, self._now
        )
        if not choice.agent_id:
            self._end_request(request, "failed")
            return
        agent = self._agents[int(choice.agent_id.split("-")[1])]
        tokens = request.arrival.prompt_tokens + request.arrival.output_tokens
        if tokens > engine_model.KV_TOKENS and not self._reserve_group(
            request, agent, tokens
        ):
            self._schedule(
                self._now + GROUP_RETRY_INTERVAL_S, self._submit, request
            )
            return
        request.attempts += 1
        if request.attempts == 1:
            request.entry.budget.deposit(
                request.arrival.team, agent.agent_id, self._now
            )
        request.entry.table.record_submit(
            agent.agent_id,
            request.arrival.prompt_tokens,
            request.arrival.priority,
        )
        request.agent = agent
        self._schedule(
            self._now + self._fleet.agent_latency_s,
            self._on_submit,
            (agent, request),
        )

    def _reserve_group(
        self, request: _RequestState, leader: _Agent, tokens: int
    ) -> bool:
        """Reserves the smallest group of engines that fits the request.

        Returns False without a reservation when no group has enough memory.
        """
        others = sorted(
            (a for a in self._agents if a is not leader and not a.fault),
            key=lambda a: a.engine.kv_used,
        )
        for size in GROUP_SIZES:
            member_tokens = -(-tokens // size)
            members = [leader, *others[: size - 1]]
            free_tokens = engine_model.KV_TOKENS - max(
                m.engine.kv_used for m in members
            )
            if member_tokens <= free_tokens:
                for member in members:
                    member.engine.allocate(
                        f"g{request.arrival.req_id}", member_tokens
                    )
                request.group_members = members
                return True
        return False

    def _retry_or_end(
        self, request: _RequestState, agent: _Agent, state: str
    ) -> None:
        """Retries on another agent if the retry budget allows it.

        Ends the request with `state` otherwise.
        """
        request.entry.table.record_end(agent.agent_id)
        self._release_group(request)
        request.excluded.add(agent.agent_id)
        may_retry = request.attempts < MAX_ATTEMPTS and (
            not self._policy.retry_budget
            or request.entry.budget.try_withdraw(
                request.arrival.team, agent.agent_id, self._now
            )
        )
        if may_retry:
            self._schedule(
                self._now + self._fleet.agent_latency_s, self._submit, request
            )
        else:
            self._end_request(request, state)

    def _release_group(self, request: _RequestState) -> None:
        for member in request.group_members:
            member.engine.release(f"g{request.arrival.req_id}")
            self._start_queued(member)
        request.group_members = []

    def _on_deadline(self, request: _RequestState) -> None:
        if request.state:
            return
        self._end_request(request, "late")
        agent = request.agent
        if agent is not None and request.arrival.req_id in agent.requests:
            self._advance_engine(agent)
            del agent.requests[request.arrival.req_id]
            agent.queue.remove(request.arrival.req_id)
            agent.engine.cancel(request.arrival.req_id)
            request.entry.table.record_end(agent.agent_id)
            self._start_queued(agent)
        self._release_group(request)

    # Steps of an agent.

    def _on_submit(self, argument: tuple[_Agent, _RequestState]) -> None:
        agent, request = argument
        arrival = request.arrival
        agent.received[request.entry.index] += 1
        if request.state:
            return
        if agent.fault == "down":
            self._retry_or_end(request, agent, "failed")
            return
        self._advance_engine(agent)
        cached_blocks = len(
            [b for b in arrival.prefix_blocks if b in agent.engine.cache]
        )
        tokens = max(arrival.prompt_tokens - cached_blocks * 512, 1)
        kv_tokens = (
            0
            if request.group_members
            else arrival.prompt_tokens + arrival.output_tokens
        )
        item = queueing.QueueItem(
            arrival.req_id,
            arrival.team,
            1.0,
            arrival.priority,
            tokens,
            arrival.output_tokens,
            kv_tokens,
            self._now,
            request.deadline,
        )
        capacity = agent.capacity()
        wait_s = agent.queue.expected_wait_s(item, capacity)
        if self._policy.admission and not agent.queue.can_meet_deadline(
            item, capacity, self._now + wait_s
        ):
            self._retry_or_end(request, agent, "refused")
        else:
            agent.requests[arrival.req_id] = request
            if request.group_members:
                self._start_request(agent, item)
            else:
                agent.queue.push(item)
        self._start_queued(agent)

    def _advance_engine(self, agent: _Agent) -> None:
        for event in agent.engine.advance(self._now):
            request = agent.requests[event.req_id]
            if event.is_end:
                del agent.requests[event.req_id]
                request.entry.table.record_end(agent.agent_id)
                self._end_request(request, "ok")
                self._release_group(request)
            elif agent.fault == "failing":
                self._fail_attempt(agent, request)
            elif math.isnan(request.first_s):
                delay = (
                    self._fleet.agent_latency_s + self._fleet.client_latency_s
                )
                request.first_s = self._now + delay

    def _fail_attempt(self, agent: _Agent, request: _RequestState) -> None:
        del agent.requests[request.arrival.req_id]
        agent.queue.remove(request.arrival.req_id)
        agent.engine.cancel(request.arrival.req_id)
        self._retry_or_end(request, agent, "failed")

    def _start_queued(self, agent: _Agent) -> None:
        """Starts queued requests that fit; schedules the next engine event."""
        self._advance_engine(agent)
        while agent.fault != "down":
            capacity = agent.capacity()
            item = agent.queue.pop(capacity, self._now)
            if item is None:
                break
            request = agent.requests[item.req_id]
            if self._policy.admission and not agent.queue.can_meet_deadline(
                item, capacity, self._now
            ):
                del agent.requests[item.req_id]
                request.entry.table.record_end(agent.agent_id)
                self._end_request(request, "refused")
                self._release_group(request)
                continue
            self._start_request(agent, item)
        agent.event_version += 1
        next_s = agent.engine.next_event_s()
        if next_s is not None:
            self._schedule(
                next_s, self._on_engine_event, (agent, agent.event_version)
            )

    def _start_request(self, agent: _Agent, item: queueing.QueueItem) -> None:
        """Starts the prefill of a request.

        A group skips the queue; its memory is allocated already.
        """
        request = agent.requests[item.req_id]
        cached_tokens = agent.engine.use_cache(request.arrival.prefix_blocks)
        tokens = max(request.arrival.prompt_tokens - cached_tokens, 1)
        request.prefilled_tokens += tokens
        if item.kv_tokens:
            agent.engine.allocate(item.req_id, item.kv_tokens)
        agent.engine.start_prefill(
            item.req_id,
            tokens,
            request.arrival.output_tokens,
            queueing_fair.engine_priority(item),
        )

    def _on_engine_event(self, argument: tuple[_Agent, int]) -> None:
        agent, version = argument
        if agent.event_version == version:
            self._start_queued(agent)

    def _set_fault(self, argument: tuple[_Agent, str]) -> None:
        agent, kind = argument
        self._advance_engine(agent)
        agent.fault = kind
        if kind == "down":
            agent.engine.cache.clear()
            agent.engine.cache_changed = True
            for request in list(agent.requests.values()):
                self._fail_attempt(agent, request)
            self._schedule(
                self._now + DOWN_DETECTION_S, self._set_usable, (agent, False)
            )
        else:
            self._set_usable((agent, True))
        self._start_queued(agent)

    def _set_usable(self, argument: tuple[_Agent, bool]) -> None:
        agent, usable = argument
        if usable or agent.fault == "down":
            for entry in self._entries:
                entry.table.set_usable(agent.agent_id, usable)

    def _send_report(self, agent: _Agent) -> None:
        self._schedule(
            self._now + self._policy.report_interval_s, self._send_report, agent
        )
        if agent.fault == "down":
            return
        self._advance_engine(agent)
        report = agent.load_report(0)
        received_counts = list(agent.received)
        blocks = None
        if agent.engine.cache_changed:
            agent.engine.cache_changed = False
            blocks = frozenset(agent.engine.cache)
        self._schedule(
            self._now + self._fleet.agent_latency_s,
            self._apply_report,
            (agent, report, received_counts, blocks),
        )
        if len(agent.queue):
            self._start_queued(agent)

    def _apply_report(
        self,
        argument: tuple[
            _Agent, messages.LoadReport, list[int], frozenset[int] | None
        ],
    ) -> None:
        agent, report, received_counts, blocks = argument
        for entry, received in zip(self._entries, received_counts, strict=True):
            table = entry.table
            row = table.rows[agent.agent_id]
            was_usable = row.usable
            table.apply_report(
                agent.agent_id, report._replace(received=received), self._now
            )
            if not was_usable and agent.fault:
                table.set_usable(agent.agent_id, False)
            if blocks is not None:
                known_blocks = row.cached_blocks.keys()
                table.remove_cached_blocks(
                    agent.agent_id, sorted(known_blocks - blocks)
                )
                table.add_cached_blocks(
                    agent.agent_id, sorted(blocks - known_blocks)
                )
