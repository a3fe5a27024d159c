"""The gateway core: accepts requests, queues them, routes them to upstreams.

A request for a plain service is routed or refused at once. A request for a
model engine waits in a queue until a scheduling pass places it.

Invariants: a request stays in the queue only while it can still meet its
deadline, and end before a shutdown does; each run and call is in the load
tables from its placement until it has ended.
"""

import asyncio
import collections
import logging
import math
import random
from collections.abc import Callable
from typing import Final

from apricottrestle import hashing, logs, memory_account, metrics
from apricottrestle.gateway import (
    accept,
    calls,
    clock,
    crash_evidence,
    crash_guard,
    engine_claims,
    engine_costs,
    engine_load,
    engine_pace,
    engine_probation,
    engine_routing,
    exchange,
    exchange_host,
    fleet_config,
    fleet_state,
    memory_holds,
    on_time_shares,
    retry_budget,
    retry_policy,
    send_gate,
    service_routing,
    settings,
    upstream_health,
    upstream_limits,
    upstream_list,
    upstream_notices,
)

SCHEDULING_INTERVAL_S: Final = 0.015
"""Interval between scheduling passes when no event triggers one; small
compared with the shortest target time to the first event, 250 ms."""

NOT_READY_RETRY_AFTER_S: Final = 0.3
"""Retry-After while configuration or upstream list are missing; about the time
of one store call and one connection to a peer."""

START_HOLD_S: Final = 0.25
"""Time after its start for which a gateway holds requests until it has a
configuration and an upstream list; several calls to the store. A refused caller
would come back later, and has one attempt less."""

MAX_HELD_REQUESTS: Final = 200
"""Requests that are held during the start; further ones are refused."""

STOPPING_RETRY_AFTER_S: Final = 2.5
"""Retry-After of a stopping gateway while no other gateway is in rotation: the
time in which another one finishes its requests and starts again."""

LEAVING_RETRY_AFTER_S: Final = 2.0
"""Retry-After of a stopping gateway while a caller that returned at once would
probably reach another stopping gateway; the time of two readiness checks, after
which the load balancer sends no connections to those."""

MAX_LEAVING_SHARE: Final = 0.25
"""Stopping gateways per gateway in rotation up to which a refused caller may
return at once."""

MAX_RETRY_AFTER_SHARE: Final = 0.3
"""Upper bound of Retry-After as a share of the caller's time left; callers
don't return after a third of it."""

STOPPING_SERVICE_FACTOR: Final = 1.5
"""Factor on the minimum service time of a request that a stopping gateway must
be able to serve: other requests in the same engine passes delay its events, and
callers' estimates of the answer's length are often too short."""

PLAIN_SERVICE_S: Final = 0.3
"""Time that a stopping gateway allows for a request to a plain service; several
times its usual duration."""

OVERLOAD_RETRY_AFTER_S: Final = 0.2
"""Retry-After when a service has no capacity or no upstream, or when a request
can no longer meet its deadline; a few calls of a plain service take as long."""

MAX_OUTSTANDING_PER_SLOT: Final = 3
"""Outstanding calls per slot at which a plain upstream counts as full; calls
queued beyond that would be late."""

MAX_PROBES: Final = 4
PROBE_PAUSE_S: Final = 0.1
"""Questions whether an upstream is running, until one is answered, and the
pause between them. The kernel of a killed process accepts connections until it
has closed all others, and then resets them."""

REMOTE_LATENCY_S: Final = 0.001
"""Assumed one-way network latency to another data centre."""

MIN_TIME_LEFT_RATIO: Final = 0.7
"""A waiting request is refused when its time left is below this fraction of
its estimated minimum service time. Below 1 because the estimate may be
pessimistic."""

MAX_FAILED_PLACEMENTS: Final = 3
"""Failed placements after which a scheduling pass skips the remaining requests
of a group; the late requests of a route are one group, its others another. If
every request were tried, the time spent on a queue would grow with the square
of its length."""

ON_TIME_RESERVED_SLOTS: Final = 2
"""Slots of each engine that late requests leave free for on-time requests of
the same route, while a placement of such a request has recently failed. A
quarter of an engine's slots; without it, under six times the usual number of
short requests, late requests take the slots of those that are on time."""

LONG_PREFILL_S: Final = 0.2
"""Prefill time per engine from which two requests that are placed on an engine
at the same time make each other late."""

STAGGER_STEP_S: Final = 0.004
"""Delay per gateway that goes first before a long prompt that has waited is
placed; twice the delay of a message. When an engine becomes free, all gateways
hear of it at once and would choose it together."""

MAX_LOGGED_PARTS: Final = 8
"""Parts of a prompt in the log line of an accepted request."""

LIMITED: Final = "limited"
"""Reason of the refusal of a request that limits keep from all upstreams."""

MISDIRECTED: Final = 421
"""HTTP status of an upstream that isn't the one the request is for."""

ARRIVAL_SILENCE_S: Final = 1.0
"""Silence after which a stopping gateway refuses a request that has arrived in
part. Callers send a request at once, and lost packets come again sooner."""

STOPPING: Final = "stopping"
"""Reason of the refusal of a request that a shutdown leaves no time for."""

BAD_PROMPT: Final = "crashes_engines"
"""Reason of the refusal of a prompt with parts that crash engines."""

BAD_PROMPT_RETRY_AFTER_S: Final = 3_600.0
"""Retry-After of such a refusal: no engine will run the prompt before someone
has looked into it."""

SLOT_RESERVATION_S: Final = 0.25
"""Time for which slots stay reserved after an on-time request could not be
placed; the shortest target time to the first event."""

_LOG: Final = logging.getLogger(__name__)


class RunListener:
    """Receives changes of this gateway's load, to report them to peers.

    The methods of this base class do nothing.
    """

    def run_started(self, run: engine_load.Run) -> None:
        """Called when a run has been added to the load tables."""

    def run_first_event(self, run_id: str) -> None:
        """Called when a run's first event has arrived."""

    def run_ended(self, run_id: str) -> None:
        """Called when a run has been removed from the load tables."""

    def calls_changed(self, upstream_id: str, count: int) -> None:
        """Called when the number of calls to a plain upstream has changed."""

    def claim_added(self, claim: engine_claims.Claim) -> None:
        """Called when a waiting request has claimed engines."""

    def claim_removed(self, claim_id: str) -> None:
        """Called when a claim has been removed."""

    def gateway_count(self) -> int:
        """Returns the number of live gateways, including this gateway."""
        return 1

    def placement_rank(self, engine: str) -> int:
        """Returns how many gateways go first at an engine that becomes free."""
        return 0

    def peers_in_rotation(self) -> int:
        """Returns the number of other gateways that callers can reach."""
        return 0

    def peers_leaving(self) -> int:
        """Returns the number of stopping peers that callers may still reach."""
        return 0

    def limits_changed(self, upstream_ids: list[str]) -> None:
        """Called when limits, or requests that count against them, changed."""

    def crashes_changed(self, crash_ids: list[str]) -> None:
        """Called when this gateway has learned more of crashes of engines."""


class Gateway(calls.RequestHandler, exchange_host.ExchangeHost):
    """Serves the requests of callers.

    Attributes:
        state: Configuration and upstreams.
        load: Runs of all gateways on the engines.
        slowdowns: Slowdown of each engine relative to its published cost model.
        claims: Claims of all gateways on engines.
        probation: Engines whose load isn't known for certain.
        crashes: Crashes of engines, and the prompts that cause them.
        limits: Limits that upstreams name.
        peer_calls: Calls of other gateways to plain upstreams, by the
            gateway's incarnation and the upstream's id.
        listener: Receives changes of this gateway's load.
        stopping: Whether new requests are refused because of a shutdown.
        serve_until: Monotonic time at which a shutdown ends all requests.
        estimate_until: Monotonic time until which a stopping gateway accepts
            requests by an estimate of their duration. Later ones, whose end it
            must not cut off, need a time limit that ends before the shutdown.
        active: Exchanges under way.
        account: Memory that is held for callers and upstreams.
    """

    def __init__(
        self,
        cfg: settings.GatewaySettings,
        client: calls.UpstreamClient,
        rng: random.Random,
        incarnation: str,
    ) -> None:
        """Creates a gateway without configuration and upstreams."""
        self.state = fleet_state.FleetState(
            self._on_upstream_change, cfg.upstream_lease_s
        )
        self.load = engine_load.EngineLoad()
        self.slowdowns = engine_pace.EngineSlowdowns()
        self.claims = engine_claims.EngineClaims()
        self.probation = engine_probation.EngineProbation()
        self.crashes = crash_guard.CrashGuard(client)
        self.crashes.on_changed = self._on_crashes_changed
        self.crashes.on_verdict = self._end_bad_prompts
        self.limits = upstream_limits.UpstreamLimits(incarnation)
        self.notices = upstream_notices.UpstreamNotices()
        self._send_gate = send_gate.SendGate(
            self.limits,
            self.notices,
            self.state.members,
            self._placement_rank,
        )
        self._on_time_shares = on_time_shares.OnTimeShares()
        self._slots_reserved_until: dict[str, float] = {}
        self._own_claims: dict[exchange.Exchange, str] = {}
        self.peer_calls: dict[str, collections.Counter[str]] = {}
        self.listener = RunListener()
        self.stopping = False
        self.serve_until = math.inf
        self.estimate_until = math.inf
        self.active: set[exchange.Exchange] = set()
        self._held: list[tuple[calls.CallerRequest, calls.Responder]] = []
        self._hold_until = -math.inf
        self._cfg = cfg
        self._client = client
        self._rng = rng
        self._health = upstream_health.UpstreamHealth()
        self._plain_calls: collections.Counter[str] = collections.Counter()
        self._retry_budgets: dict[str, retry_budget.RetryBudget] = {}
        self._waiting: list[exchange.Exchange] = []
        self._unplaced: set[exchange.Exchange] = set()
        self._recorded: set[exchange.Exchange] = set()
        self._staggered: dict[exchange.Exchange, asyncio.TimerHandle] = {}
        self._holds = memory_holds.MemoryHolds(
            client, cfg.memory_free_s, cfg.reservation_max_s
        )
        self._tasks: set[asyncio.Task[None]] = set()
        self._run_count = 0
        self.account = memory_account.MemoryAccount(
            memory_account.compute_limits(cfg.memory_mb, cfg.max_fds)
        )
        self._preferences: dict[str, int] = {}
        self._incarnation = incarnation
        self._scheduling_pass_requested = False

    def start(self) -> None:
        """Begins to hold requests until they can be routed."""
        now = clock.now()
        self._hold_until = now + START_HOLD_S
        self.probation.add_all(now)
        self.state.watch_ready(self._release_held)
        asyncio.get_running_loop().call_later(START_HOLD_S, self._release_held)

    def apply_settings(self, cfg: settings.GatewaySettings) -> None:
        """Applies new settings to future requests."""
        self._cfg = cfg
        self.account.limits = memory_account.compute_limits(
            cfg.memory_mb, cfg.max_fds
        )
        for budget in self._retry_budgets.values():
            budget.configure(
                cfg.retry_share, cfg.retry_window_s, cfg.retry_slack
            )
        self._holds.configure(cfg.memory_free_s, cfg.reservation_max_s)

    def begin_stop(self, serve_until: float, estimate_until: float) -> None:
        """Begins a shutdown; refuses waiting requests that it leaves no time.

        Args:
            serve_until: See the attribute.
            estimate_until: See the attribute.
        """
        self.serve_until = serve_until
        self.estimate_until = estimate_until
        self.run_scheduling_pass()

    def end_requests(self) -> None:
        """Ends all open requests at the end of a shutdown.

        Those without a response get an error response, which says whether they
        may have run.
        """
        for request in list(self.active):
            logs.decision(
                _LOG,
                "request outlasts the shutdown",
                request_id=request.req.request_id,
                waiting=request in self._waiting,
                response_started=request.response_started,
            )
            self.withdraw_request(request)
            try:
                request.end_with_error(
                    accept.UNAVAILABLE,
                    STOPPING,
                    self._stopping_retry_after_s(
                        max(request.time_left_s(clock.now()), 0.0)
                    ),
                )
            except Exception:
                # The others must get their answers in any case.
                _LOG.exception(
                    "request can't be answered",
                    extra={"request_id": request.req.request_id},
                )

    # Requests.

    def check_head(self, head: calls.RequestHead) -> calls.Refusal | None:
        """See RequestHandler.check_head."""
        compiled = self.state.compiled
        if compiled is None:
            return None
        refusal = accept.check_head(head, compiled)
        if refusal is not None:
            metrics.REFUSALS.labels(refusal.reason).inc()
            logs.decision(
                _LOG,
                "request refused",
                request_id=head.request_id,
                status=refusal.status,
                reason=refusal.reason,
                config_version=self.state.config_version,
                body_bytes=head.body_bytes,
            )
        return refusal

    def check_arrival(self, arrival: calls.Arrival) -> calls.Refusal | None:
        """See RequestHandler.check_arrival.

        A request that would be refused once it is complete is refused at once,
        and one whose caller has fallen silent too.
        """
        now = clock.now()
        head = arrival.head
        if math.isinf(self.serve_until):
            return None
        if (
            not self.stopping
            and arrival.silent_s < ARRIVAL_SILENCE_S
            and (
                now <= self.estimate_until
                or (
                    head is not None
                    and now + self._time_limit_s(head) <= self.serve_until
                )
            )
        ):
            return None
        refusal = accept.Refused(
            accept.UNAVAILABLE,
            STOPPING,
            self._stopping_retry_after_s(head.time_left_s if head else None),
        )
        metrics.REFUSALS.labels(refusal.reason).inc()
        logs.decision(
            _LOG,
            "request refused",
            request_id=head.request_id if head else None,
            status=refusal.status,
            reason=refusal.reason,
            arrived="head" if head else "part of the head",
            body_bytes=head.body_bytes if head else 0,
            silent_s=round(arrival.silent_s, 3),
            grace_left_s=round(self.serve_until - now, 3),
        )
        return refusal

    def _time_limit_s(self, head: calls.RequestHead) -> float:
        """Returns the time limit that a request gets when it is complete."""
        compiled = self.state.compiled
        route = compiled.routes.find(head.host, head.path) if compiled else None
        return accept.time_limit_s(route, head.time_left_s)

    def handle(
        self, req: calls.CallerRequest, responder: calls.Responder
    ) -> None:
        """See RequestHandler.handle."""
        if self._is_starting() and len(self._held) < MAX_HELD_REQUESTS:
            self._held.append((req, responder))
            logs.decision(
                _LOG,
                "request held",
                request_id=req.request_id,
                reason=self._missing_state(),
            )
            return
        decision = self._admit(req)
        if isinstance(decision, accept.Refused):
            responder.refuse(
                decision.status, decision.reason, decision.retry_after_s
            )
            metrics.REFUSALS.labels(decision.reason).inc()
            logs.decision(
                _LOG,
                "request refused",
                request_id=req.request_id,
                status=decision.status,
                reason=decision.reason,
                config_version=self.state.config_version,
                **self._describe_verdict(req),
            )
            return
        logs.decision(
            _LOG,
            "request accepted",
            request_id=req.request_id,
            route=decision.route.name,
            route_kind=decision.route.kind,
            service=decision.service.name,
            team=decision.team.name if decision.team else None,
            priority=decision.priority,
            config_version=decision.config_version,
            time_left_s=round(decision.deadline - req.arrived_at, 3),
            tokens=req.size.prompt_tokens if req.size else None,
            shared_parts=req.shared_parts[:MAX_LOGGED_PARTS],
            resume_after=req.resume_after,
        )
        now = clock.now()
        self._retry_budget(decision.service.name).count_request(now)
        request = exchange.Exchange(self, req, decision, responder)
        self.active.add(request)
        request.start()

    def _is_starting(self) -> bool:
        return (
            not self.state.ready
            and not self.stopping
            and clock.now() < self._hold_until
        )

    def _missing_state(self) -> str:
        if self.state.compiled is None:
            return "no_configuration"
        return "no_upstream_list"

    def _release_held(self) -> None:
        """Handles the held requests, whether or not they can be routed."""
        self._hold_until = -math.inf
        held, self._held = self._held, []
        for req, responder in held:
            if not responder.closed:
                self.handle(req, responder)

    def _admit(
        self, req: calls.CallerRequest
    ) -> accept.Accepted | accept.Refused:
        if self.stopping:
            return self._refuse_stopping(req)
        compiled = self.state.compiled
        if compiled is None or not self.state.has_upstream_list:
            return accept.Refused(
                accept.UNAVAILABLE,
                self._missing_state(),
                NOT_READY_RETRY_AFTER_S,
            )
        decision = accept.decide_request(req, compiled, self._rng)
        if isinstance(decision, accept.Accepted) and not self._fits_shutdown(
            req, decision
        ):
            return self._refuse_stopping(req)
        if isinstance(decision, accept.Accepted) and self._is_bad_prompt(req):
            return accept.Refused(
                accept.UNAVAILABLE, BAD_PROMPT, BAD_PROMPT_RETRY_AFTER_S
            )
        return decision

    def _placement_rank(self, upstream_id: str) -> int:
        return self.listener.placement_rank(upstream_id)

    def _on_crashes_changed(self, crash_ids: list[str]) -> None:
        self.listener.crashes_changed(crash_ids)

    def _is_bad_prompt(self, req: calls.CallerRequest) -> bool:
        """Returns whether a request crashes upstreams, or a part of it."""
        return self.crashes.verdict_on(req) is not None

    def _describe_verdict(self, req: calls.CallerRequest) -> dict[str, object]:
        """Returns the evidence against a prompt, for the log."""
        verdict = self.crashes.verdict_on(req)
        if verdict is None:
            return {}
        return crash_guard.describe(verdict, self.crashes.evidence, clock.now())

    def _end_bad_prompts(self) -> None:
        """Ends requests that would crash engines, before they do.

        Answers that have got past their beginning go on: they show that their
        prompts are sound.
        """
        for request in list(self.active):
            if not self._is_bad_prompt(request.req):
                continue
            if request in self._waiting:
                self._refuse_bad_prompt(request)
            elif request.is_beginning:
                request.end_with_error(accept.UNAVAILABLE, BAD_PROMPT, None)

    def _refuse_bad_prompt(self, request: exchange.Exchange) -> None:
        logs.decision(
            _LOG,
            "prompt stopped",
            request_id=request.req.request_id,
            **self._describe_verdict(request.req),
        )
        self._remove_waiting(request)
        self._record_placement(request, on_time=False)
        metrics.REFUSALS.labels(BAD_PROMPT).inc()
        request.end_with_error(
            accept.UNAVAILABLE, BAD_PROMPT, BAD_PROMPT_RETRY_AFTER_S
        )

    def _refuse_stopping(self, req: calls.CallerRequest) -> accept.Refused:
        """Refuses a request; it returns when another gateway can serve it."""
        return accept.Refused(
            accept.UNAVAILABLE,
            STOPPING,
            self._stopping_retry_after_s(req.time_left_s),
        )

    def _stopping_retry_after_s(self, time_left_s: float | None) -> float:
        """Returns the time in which another gateway can serve a caller."""
        peers = self.listener.peers_in_rotation()
        if peers > 0 and self.listener.peers_leaving() <= (
            MAX_LEAVING_SHARE * peers
        ):
            retry_after_s = 0.0
        elif peers > 0:
            retry_after_s = LEAVING_RETRY_AFTER_S
        else:
            retry_after_s = STOPPING_RETRY_AFTER_S
        if time_left_s is not None:
            retry_after_s = min(
                retry_after_s, MAX_RETRY_AFTER_SHARE * time_left_s
            )
        return retry_after_s

    def _refuse_outlasting(self, now: float) -> None:
        """Refuses waiting requests that a shutdown leaves no time for.

        The least time until a request is served includes the prompts that are
        ahead of it, spread over all engines of its service.
        """
        work_ahead_s: dict[str, float] = collections.defaultdict(float)
        for request in sorted(
            self._waiting, key=lambda request: _scheduling_order(request, now)
        ):
            service = request.accepted.service
            if service.engine is None:
                continue
            needs = request.engine_needs(now)
            engines = len(self._send_gate.usable(service.name, now))
            service_s = engine_routing.min_service_s(
                needs, service.engine, engines
            )
            if not request.response_started:
                service_s *= STOPPING_SERVICE_FACTOR
            wait_s = work_ahead_s[service.name] / max(engines, 1)
            if (
                now + needs.time_left_s > self.serve_until
                and now + wait_s + service_s > self.serve_until
            ):
                self._refuse_waiting(
                    request,
                    STOPPING,
                    self._stopping_retry_after_s(
                        max(request.time_left_s(now), 0.0)
                    ),
                )
            else:
                work_ahead_s[service.name] += engine_routing.min_prefill_s(
                    needs, service.engine, 1
                )

    def _fits_shutdown(
        self, req: calls.CallerRequest, accepted: accept.Accepted
    ) -> bool:
        """Returns whether a request can be served before a shutdown ends."""
        if math.isinf(self.serve_until):
            return True
        if clock.now() > self.estimate_until:
            return accepted.deadline <= self.serve_until
        model = accepted.service.engine
        service_s = PLAIN_SERVICE_S
        if model is not None and req.size is not None:
            service_s = STOPPING_SERVICE_FACTOR * engine_routing.min_service_s(
                engine_routing.RequestNeeds(
                    req.size.prompt_tokens,
                    max(exchange.expected_output_tokens(req.size), 1),
                    math.inf,
                    math.inf,
                    math.inf,
                    0.0,
                ),
                model,
                len(self._send_gate.usable(accepted.service.name, clock.now())),
            )
        return clock.now() + service_s <= self.serve_until

    def _retry_budget(self, service: str) -> retry_budget.RetryBudget:
        budget = self._retry_budgets.get(service)
        if budget is None:
            budget = self._retry_budgets[service] = retry_budget.RetryBudget(
                self._cfg.retry_share,
                self._cfg.retry_window_s,
                self._cfg.retry_slack,
            )
        return budget

    # Callbacks of the exchanges.

    def start_call(
        self, sink: calls.ResponseSink, call: calls.UpstreamCall
    ) -> calls.Transfer:
        """See ExchangeHost.start_call."""
        return self._client.send(call, sink)

    def place_request(self, request: exchange.Exchange) -> None:
        """See ExchangeHost.place_request."""
        if request.tried_upstreams and self._is_bad_prompt(request.req):
            request.end_with_error(
                accept.UNAVAILABLE, BAD_PROMPT, BAD_PROMPT_RETRY_AFTER_S
            )
            return
        if request.accepted.service.engine is None or request.req.size is None:
            self._place_plain_request(request)
            return
        self._waiting.append(request)
        if not self._refuse_limited(request, clock.now()):
            self.run_scheduling_pass()

    def withdraw_request(self, request: exchange.Exchange) -> None:
        """See ExchangeHost.withdraw_request."""
        if request in self._waiting:
            self._remove_waiting(request)

    def consume_retry(self, request: exchange.Exchange) -> bool:
        """See ExchangeHost.consume_retry."""
        return self._retry_budget(request.accepted.service.name).consume_retry(
            self.listener.gateway_count(), clock.now()
        )

    def has_retry(self, request: exchange.Exchange) -> bool:
        """See ExchangeHost.has_retry."""
        return self._retry_budget(request.accepted.service.name).has_retry(
            self.listener.gateway_count(), clock.now()
        )

    def retry_after_s(self, request: exchange.Exchange) -> float:
        """See ExchangeHost.retry_after_s."""
        return OVERLOAD_RETRY_AFTER_S

    def on_exchange_ended(
        self, request: exchange.Exchange, outcome: exchange_host.Outcome
    ) -> None:
        """See ExchangeHost.on_exchange_ended."""
        self.active.discard(request)
        metrics.REQUESTS.labels(str(request.accepted.priority), outcome).inc()
        if request in self._waiting:
            self._remove_waiting(request)
            self._record_placement(request, on_time=False)
        self._recorded.discard(request)

    def on_response_head(
        self, attempt: exchange_host.Attempt, head: calls.ResponseHead
    ) -> None:
        """See ExchangeHost.on_response_head."""
        if head.status == MISDIRECTED:
            # Another upstream answered at the address.
            return
        now = clock.now()
        if self.limits.observe(
            attempt.upstream_id,
            attempt.process_started_at_ms,
            head.limit,
            attempt.started_at,
            now,
        ):
            self.on_limit_changed(attempt.upstream_id, "response")
            self.listener.limits_changed([attempt.upstream_id])
        if self.notices.observe(
            attempt.upstream_id,
            attempt.process_started_at_ms,
            now,
            leaves=head.leaving,
            wait_s=head.wait_s,
        ):
            logs.decision(
                _LOG,
                "upstream notice",
                upstream=attempt.upstream_id,
                started_at_ms=attempt.process_started_at_ms,
                request_id=head.request_id,
                status=head.status,
                leaves=head.leaving,
                wait_s=head.wait_s,
                outcome="no requests",
            )

    def on_limit_changed(self, upstream_id: str, source: str) -> None:
        """Logs what is now believed of an upstream's limit."""
        limit = self.limits.limit(upstream_id)
        logs.decision(
            _LOG,
            "upstream limit",
            upstream=upstream_id,
            per_s=limit,
            source=source,
            outcome="none" if limit is None else "in force",
        )
        metrics.LIMITED_UPSTREAMS.set(len(self.limits.limited()))
        self._request_scheduling_pass()

    def on_first_event(
        self, request: exchange.Exchange, attempt: exchange_host.Attempt
    ) -> None:
        """See ExchangeHost.on_first_event."""
        self.slowdowns.clear_expected(attempt.upstream_id, attempt.run_id)
        if self.load.mark_decoding(attempt.run_id) is not None:
            self.listener.run_first_event(attempt.run_id)
            self._request_scheduling_pass()

    def on_event(
        self,
        request: exchange.Exchange,
        attempt: exchange_host.Attempt,
        gap_s: float | None,
    ) -> None:
        """See ExchangeHost.on_event."""
        model = request.accepted.service.engine
        if model is None:
            return
        now = clock.now()
        self._health.record_heard(attempt.upstream_id, now)
        self.probation.clear(attempt.upstream_id)
        state = self.load.state(attempt.upstream_id)
        if gap_s is not None and state.runs:
            pass_s = engine_costs.decode_pass_s(
                model, len(state.runs), state.context_tokens
            )
            self.slowdowns.record_gap(attempt.upstream_id, gap_s, pass_s, now)
        state.record_event(model, now, now)

    def on_stalled(
        self, request: exchange.Exchange, attempt: exchange_host.Attempt
    ) -> None:
        """See ExchangeHost.on_stalled."""
        now = clock.now()
        was_ejected = self._health.is_ejected(attempt.upstream_id, now)
        ejection_s = self._health.record_stall(
            attempt.upstream_id, attempt.started_at, now
        )
        if not was_ejected:
            logs.decision(
                _LOG,
                "upstream silent",
                request_id=request.req.request_id,
                upstream=attempt.upstream_id,
                aside_s=round(ejection_s, 3),
            )

    def on_answer_begun(self, request: exchange.Exchange) -> None:
        """See ExchangeHost.on_answer_begun."""
        self.crashes.answer_begun(request.req)

    def on_answered(self, request: exchange.Exchange) -> None:
        """See ExchangeHost.on_answered."""
        self.crashes.answered(request.req)

    def on_connection_lost(
        self,
        request: exchange.Exchange,
        attempt: exchange_host.Attempt,
        suspect: crash_evidence.Suspect,
    ) -> None:
        """See ExchangeHost.on_connection_lost."""
        self.crashes.connection_lost(
            attempt.upstream_id,
            attempt.address,
            attempt.process_started_at_ms,
            suspect,
        )

    def probe_upstream(
        self,
        attempt: exchange_host.Attempt,
        callback: Callable[[calls.ProbeResult], None],
    ) -> None:
        """See ExchangeHost.probe_upstream."""

        async def probe() -> None:
            result: calls.ProbeResult = "unknown"
            for number in range(MAX_PROBES):
                if number:
                    await asyncio.sleep(PROBE_PAUSE_S)
                result = await self._client.probe(
                    attempt.upstream_id,
                    attempt.address,
                    attempt.process_started_at_ms,
                )
                if result != "unknown":
                    break
            callback(result)

        task = asyncio.ensure_future(probe())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def on_attempt_ended(
        self,
        request: exchange.Exchange,
        attempt: exchange_host.Attempt,
        result: retry_policy.AttemptResult | None,
        fault_address: str | None,
    ) -> None:
        """See ExchangeHost.on_attempt_ended."""
        now = clock.now()
        self._record_health(request, attempt, result, fault_address, now)
        self.slowdowns.clear_expected(attempt.upstream_id, attempt.run_id)
        if self.load.get_run(attempt.run_id) is not None:
            self.load.remove_run(attempt.run_id)
            self.listener.run_ended(attempt.run_id)
            self._holds.release(attempt.run_id)
            self._request_scheduling_pass()
        elif self._plain_calls[attempt.upstream_id] > 0:
            self._plain_calls[attempt.upstream_id] -= 1
            self.listener.calls_changed(
                attempt.upstream_id, self._plain_calls[attempt.upstream_id]
            )

    def _record_health(
        self,
        request: exchange.Exchange,
        attempt: exchange_host.Attempt,
        result: retry_policy.AttemptResult | None,
        fault_address: str | None,
        now: float,
    ) -> None:
        if result is None:
            if request.done and not request.response_started:
                return
            self._health.record_success(attempt.upstream_id, now)
            return
        if result is retry_policy.AttemptResult.WITHDRAWN:
            return
        upstream_id = attempt.upstream_id
        if fault_address is not None and fault_address != attempt.address:
            upstream_id = (
                self._upstream_id_at(
                    request.accepted.service.name, fault_address
                )
                or upstream_id
            )
        lost = result in (
            retry_policy.AttemptResult.LOST,
            retry_policy.AttemptResult.NOT_SENT,
        )
        ejection_s = self._health.record_failure(upstream_id, now, lost=lost)
        logs.decision(
            _LOG,
            "upstream failed",
            request_id=request.req.request_id,
            upstream=upstream_id,
            result=result.value,
            failure_rate=round(self._health.failure_rate(upstream_id, now), 3),
            aside_s=ejection_s,
        )

    def _upstream_id_at(self, service: str, address: str) -> str | None:
        for entry in self.state.members.usable(service):
            if entry.address == address:
                return entry.upstream_id
        return None

    # Plain services.

    def _place_plain_request(self, request: exchange.Exchange) -> None:
        now = clock.now()
        service = request.accepted.service.name
        entries = self._usable_upstreams(service, request, now)
        candidates = [
            service_routing.Candidate(
                entry.upstream_id,
                self._outstanding_calls(entry.upstream_id),
                entry.slots,
                self._latency_s(entry),
                self._health.failure_rate(entry.upstream_id, now),
            )
            for entry in entries
        ]
        with_capacity = [
            candidate
            for candidate in candidates
            if candidate.outstanding
            < MAX_OUTSTANDING_PER_SLOT * candidate.slots
        ]
        best = service_routing.choose(with_capacity, self._rng)
        logs.decision(
            _LOG,
            "route",
            request_id=request.req.request_id,
            service=service,
            candidates=len(candidates),
            with_room=len(with_capacity),
            list_version=self.state.members.version,
            upstream=best.upstream_id if best else None,
            outstanding=best.outstanding if best else None,
        )
        if best is None:
            limit_wait_s = self._send_gate.wait_s(service, now)
            if candidates or limit_wait_s <= 0:
                reason = "full" if candidates else "no_upstream"
                retry_after_s = OVERLOAD_RETRY_AFTER_S
            else:
                reason, retry_after_s = LIMITED, limit_wait_s
            metrics.REFUSALS.labels(reason).inc()
            request.refuse(accept.UNAVAILABLE, reason, retry_after_s)
            return
        entry = next(
            entry for entry in entries if entry.upstream_id == best.upstream_id
        )
        self._plain_calls[entry.upstream_id] += 1
        self._count_sends([entry.upstream_id], now)
        self.listener.calls_changed(
            entry.upstream_id, self._plain_calls[entry.upstream_id]
        )
        attempt = exchange_host.Attempt(
            entry.upstream_id,
            entry.address,
            self._new_run_id(),
            now,
            0.0,
            False,
            entry.started_at_ms,
        )
        request.send_to(
            attempt, priority=min(request.accepted.priority, 9), helpers=()
        )

    def _outstanding_calls(self, upstream_id: str) -> int:
        return self._plain_calls[upstream_id] + sum(
            counts[upstream_id] for counts in self.peer_calls.values()
        )

    def _usable_upstreams(
        self, service: str, request: exchange.Exchange, now: float
    ) -> list[upstream_list.UpstreamEntry]:
        """Returns the upstreams of a service that may be chosen.

        Those whose limit is used up may not, and neither may one at which the
        request is, but has fallen silent. Prefers upstreams that the request
        has not tried and that are not ejected, then any that it has not tried,
        then all usable upstreams.
        """
        stalled = request.stalled_upstream
        usable = [
            entry
            for entry in self._send_gate.allowed(service, now)
            if entry.upstream_id != stalled
        ]
        for choice in (
            [
                entry
                for entry in usable
                if entry.upstream_id not in request.tried_upstreams
                and not self._health.is_ejected(entry.upstream_id, now)
            ],
            [
                entry
                for entry in usable
                if entry.upstream_id not in request.tried_upstreams
            ],
        ):
            if choice:
                return choice
        return usable

    def _count_sends(self, upstream_ids: list[str], now: float) -> None:
        """Counts a request against the limits of the upstreams it goes to."""
        limited = [
            upstream_id
            for upstream_id in upstream_ids
            if self.limits.record_send(upstream_id, now)
        ]
        if limited:
            self.listener.limits_changed(limited)

    def _refuse_limited(self, request: exchange.Exchange, now: float) -> bool:
        """Refuses a waiting request that limits keep in the queue too long."""
        service = request.accepted.service.name
        ahead = sum(
            other.accepted.service.name == service
            and other.waiting_since < request.waiting_since
            for other in self._waiting
        )
        wait_s = self._send_gate.queue_wait_s(
            service, ahead, self.listener.gateway_count(), now
        )
        needs = request.engine_needs(now)
        if wait_s <= max(min(needs.abandon_left_s, needs.time_left_s), 0.0):
            return False
        self._refuse_waiting(request, LIMITED, wait_s)
        return True

    def _latency_s(self, entry: upstream_list.UpstreamEntry) -> float:
        return (
            0.0
            if entry.data_centre == self._cfg.data_centre
            else REMOTE_LATENCY_S
        )

    def _preference(self, upstream_id: str) -> int:
        """Returns this gateway's tie-breaker among equal upstreams."""
        score = self._preferences.get(upstream_id)
        if score is None:
            score = self._preferences[upstream_id] = hashing.rendezvous_score(
                self._cfg.instance_id, upstream_id
            )
        return score

    def _new_run_id(self) -> str:
        self._run_count += 1
        return f"{self._incarnation}-{self._run_count}"

    # Engines.

    def _request_scheduling_pass(self) -> None:
        if not self._scheduling_pass_requested and self._waiting:
            self._scheduling_pass_requested = True
            asyncio.get_running_loop().call_soon(self.run_scheduling_pass)

    def run_scheduling_pass(self) -> None:
        """Places waiting requests on engines, in scheduling order.

        Requests that can no longer meet their deadline are refused.
        """
        self._scheduling_pass_requested = False
        now = clock.now()
        if not math.isinf(self.serve_until):
            self._refuse_outlasting(now)
        waiting = sorted(
            self._waiting, key=lambda request: _scheduling_order(request, now)
        )
        failures: collections.Counter[tuple[str, bool]] = collections.Counter()
        for request in waiting:
            if (
                request.done
                or request in self._staggered
                or request not in self._waiting
            ):
                continue
            group = (
                request.accepted.route.name,
                request.engine_needs(now).target_left_s <= 0,
            )
            if (
                failures[group] >= MAX_FAILED_PLACEMENTS
                and request not in self._own_claims
            ):
                continue
            self._place_engine_request(request, now)
            if request in self._waiting and request not in self._staggered:
                failures[group] += 1
        metrics.WAITING.set(len(self._waiting))

    def _stagger(self, request: exchange.Exchange, engine: str) -> None:
        """Places a request after those of the gateways that go first."""

        def place() -> None:
            del self._staggered[request]
            self._place_engine_request(request, clock.now(), staggered=True)

        self._staggered[request] = asyncio.get_running_loop().call_later(
            STAGGER_STEP_S * self.listener.placement_rank(engine), place
        )

    def _place_engine_request(
        self,
        request: exchange.Exchange,
        now: float,
        *,
        staggered: bool = False,
    ) -> None:
        """Places a request on an engine, refuses it or leaves it in the queue.

        Engines claimed by other requests are used only when little
        time is left until the target. A request that can no longer be on time
        goes to the engine with the earliest first event.
        """
        service = request.accepted.service
        model = service.engine
        assert model is not None
        if self._is_bad_prompt(request.req):
            self._refuse_bad_prompt(request)
            return
        needs = request.engine_needs(now)
        usable = self._engine_candidates(service, model, request, now)
        if not usable:
            if not self._send_gate.usable(service.name, now):
                self._refuse_waiting(request, "no_upstream")
            else:
                self._refuse_limited(request, now)
            return
        own_claim = self._own_claim(request, now)
        candidates = [
            candidate
            for candidate in usable
            if self.claims.claim_id_on(candidate.engine, now)
            in (None, own_claim)
        ]
        choice = self._choose_engines(needs, candidates, model, now)
        if (
            choice is None
            and len(candidates) < len(usable)
            and needs.target_left_s <= engine_claims.CLAIM_BYPASS_LEFT_S
        ):
            choice = engine_routing.choose(needs, usable, model, now)
        if choice is None:
            min_service_s = engine_routing.min_service_s(
                needs, model, len(usable)
            )
            if needs.time_left_s < MIN_TIME_LEFT_RATIO * min_service_s:
                self._refuse_waiting(request, "too_late")
                return
            min_prefill_s = engine_routing.min_prefill_s(
                needs, model, len(usable)
            )
            if needs.target_left_s <= min_prefill_s:
                self._record_placement(request, on_time=False)
                choice = engine_routing.choose_earliest(
                    needs,
                    candidates,
                    model,
                    now,
                    self._reserved_slots(request, now),
                )
            else:
                self._slots_reserved_until[request.accepted.route.name] = (
                    now + SLOT_RESERVATION_S
                )
        if choice is not None:
            if (
                request in self._unplaced
                and not staggered
                and choice.prefill_part_s >= LONG_PREFILL_S
            ):
                self._stagger(request, choice.engine)
                return
            self._start_run(request, choice, needs, len(candidates), now)
            return
        self._unplaced.add(request)
        if own_claim is None and self._on_time_shares.is_starved(
            request.accepted.route.name
        ):
            self._claim_engines(request, needs, usable, model, now)

    def _choose_engines(
        self,
        needs: engine_routing.RequestNeeds,
        candidates: list[engine_routing.Candidate],
        model: fleet_config.EngineCostModel,
        now: float,
    ) -> engine_routing.Choice | None:
        """Chooses engines that serve a request on time.

        A prompt is split over engines on probation or with a limit only if the
        others have no room for it.
        """
        choice = engine_routing.choose(needs, candidates, model, now)
        if choice is None or not choice.helpers:
            return choice
        preferred = candidates
        if self._depends_on_probation(choice, now):
            preferred = [
                candidate
                for candidate in preferred
                if not self.probation.contains(candidate.engine, now)
            ]
        if self._depends_on_limits(choice):
            preferred = [
                candidate
                for candidate in preferred
                if self.limits.limit(candidate.engine) is None
            ]
        if preferred is candidates:
            return choice
        return engine_routing.choose(needs, preferred, model, now) or choice

    def _depends_on_probation(
        self, choice: engine_routing.Choice, now: float
    ) -> bool:
        """Returns whether a split prompt would wait for an engine on probation.

        A prompt is complete when the slowest of its engines is.
        """
        return any(
            self.probation.contains(engine, now)
            for engine in (choice.engine, *choice.helpers)
        )

    def _depends_on_limits(self, choice: engine_routing.Choice) -> bool:
        """Returns whether a split prompt would use an engine with a limit.

        A helper gets more than one request for it: its memory is reserved,
        renewed and released.
        """
        return any(
            self.limits.limit(engine) is not None
            for engine in (choice.engine, *choice.helpers)
        )

    def _reserved_slots(self, request: exchange.Exchange, now: float) -> int:
        """Returns the slots per engine that a late request must leave free."""
        reserved_until = self._slots_reserved_until.get(
            request.accepted.route.name, now
        )
        return ON_TIME_RESERVED_SLOTS if now < reserved_until else 0

    def _claim_engines(
        self,
        request: exchange.Exchange,
        needs: engine_routing.RequestNeeds,
        usable: list[engine_routing.Candidate],
        model: fleet_config.EngineCostModel,
        now: float,
    ) -> None:
        """Claims engines for a request that could not be placed."""
        choice = engine_claims.choose_engines(
            needs,
            usable,
            lambda engine: self.claims.claim_id_on(engine, now) is not None,
            model,
        )
        if choice is None:
            return
        claim = engine_claims.Claim(
            self._new_run_id(), choice.engines, choice.ttl_s
        )
        self._own_claims[request] = claim.claim_id
        self.claims.add(claim, now)
        self.listener.claim_added(claim)
        logs.decision(
            _LOG,
            "engines claimed",
            request_id=request.req.request_id,
            claim=claim.claim_id,
            upstreams=choice.engines,
            ttl_s=round(choice.ttl_s, 4),
            candidates=len(usable),
            list_version=self.state.members.version,
            target_left_s=round(needs.target_left_s, 4),
        )

    def _own_claim(self, request: exchange.Exchange, now: float) -> str | None:
        """Returns the id of a request's claim, or None if it has expired."""
        claim_id = self._own_claims.get(request)
        if claim_id is not None and not self.claims.is_current(claim_id, now):
            del self._own_claims[request]
            return None
        return claim_id

    def _record_placement(
        self, request: exchange.Exchange, *, on_time: bool
    ) -> None:
        """Records once whether a request's first placement is on time.

        Called when the request is placed, when it can't be on time any more or
        when it ends without a placement.
        """
        if (
            request in self._recorded
            or request.tried_upstreams
            or request.req.size is None
        ):
            return
        self._recorded.add(request)
        self._on_time_shares.record(
            request.accepted.route.name,
            request.req.size.prompt_tokens,
            clock.now(),
            on_time=on_time,
        )

    def _remove_waiting(self, request: exchange.Exchange) -> None:
        self._waiting.remove(request)
        self._unplaced.discard(request)
        handle = self._staggered.pop(request, None)
        if handle is not None:
            handle.cancel()
        claim_id = self._own_claims.pop(request, None)
        if claim_id is not None:
            self.claims.remove(claim_id)
            self.listener.claim_removed(claim_id)

    def _refuse_waiting(
        self,
        request: exchange.Exchange,
        reason: str,
        retry_after_s: float = OVERLOAD_RETRY_AFTER_S,
    ) -> None:
        self._remove_waiting(request)
        self._record_placement(request, on_time=False)
        metrics.REFUSALS.labels(reason).inc()
        request.refuse(accept.UNAVAILABLE, reason, retry_after_s)

    def _engine_candidates(
        self,
        service: fleet_config.Service,
        model: fleet_config.EngineCostModel,
        request: exchange.Exchange,
        now: float,
    ) -> list[engine_routing.Candidate]:
        return [
            engine_routing.Candidate(
                entry.upstream_id,
                self.load.state(entry.upstream_id),
                engine_probation.SLOTS_ON_PROBATION
                if self.probation.contains(entry.upstream_id, now)
                else min(entry.slots, model.slots),
                self._latency_s(entry),
                self._preference(entry.upstream_id),
                self.slowdowns.slowdown(entry.upstream_id, now),
            )
            for entry in self._usable_upstreams(service.name, request, now)
        ]

    def _start_run(
        self,
        request: exchange.Exchange,
        choice: engine_routing.Choice,
        needs: engine_routing.RequestNeeds,
        candidates: int,
        now: float,
    ) -> None:
        self._remove_waiting(request)
        self._record_placement(request, on_time=choice.on_time)
        run = engine_load.Run(
            self._new_run_id(),
            choice.engine,
            choice.helpers,
            needs.prompt_tokens,
            needs.output_tokens,
            choice.prefill_part_s,
            choice.reserved_tokens,
            needs.max_gap_s,
            needs.target_left_s,
            False,
        )
        state = self.load.state(choice.engine)
        logs.decision(
            _LOG,
            "route",
            request_id=request.req.request_id,
            run=run.run_id,
            upstream=choice.engine,
            helpers=choice.helpers,
            candidates=candidates,
            list_version=self.state.members.version,
            running=len(state.runs),
            first_event_s=round(choice.first_event_s, 4),
            target_left_s=round(needs.target_left_s, 4),
            on_time=choice.on_time,
            on_probation=self.probation.contains(choice.engine, now),
            waited_s=round(now - request.waiting_since, 4),
        )
        metrics.WAIT_SECONDS.observe(now - request.waiting_since)
        self._count_sends([choice.engine, *choice.helpers], now)
        self.load.add_run(run, now)
        self.listener.run_started(run)
        if choice.reserved_tokens:
            task = asyncio.ensure_future(
                self._reserve_and_send(request, run, choice)
            )
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            return
        self._send_run(request, run, choice, ())

    def _send_run(
        self,
        request: exchange.Exchange,
        run: engine_load.Run,
        choice: engine_routing.Choice,
        reservation_ids: tuple[str, ...],
    ) -> None:
        members = self.state.members
        entry = members.get(run.engine)
        helpers = [members.get(helper) for helper in run.helpers]
        now = clock.now()
        if (
            not request.needs_upstream
            or entry is None
            or None in helpers
            # An upstream may have said so while memory was reserved.
            or not self._send_gate.may_send(entry, now)
        ):
            self._cancel_run(request, run)
            return
        addresses = [helper.address for helper in helpers if helper is not None]
        if reservation_ids:
            addresses = [
                f"{address}/{reservation_id}"
                for address, reservation_id in zip(
                    addresses, reservation_ids, strict=True
                )
            ]
        attempt = exchange_host.Attempt(
            run.engine,
            entry.address,
            run.run_id,
            now,
            choice.first_event_s,
            self.probation.contains(run.engine, now),
            entry.started_at_ms,
        )
        self.slowdowns.expect_first_event(
            run.engine, run.run_id, choice.first_event_s, now
        )
        request.send_to(
            attempt,
            priority=min(request.accepted.priority, 9),
            helpers=tuple(addresses),
        )

    async def _reserve_and_send(
        self,
        request: exchange.Exchange,
        run: engine_load.Run,
        choice: engine_routing.Choice,
    ) -> None:
        """Reserves memory on all helpers, then sends the request.

        If a reservation fails, the request is placed again.
        """
        reservations: list[calls.Reservation] = []
        for helper in run.helpers:
            entry = self.state.members.get(helper)
            if entry is None:
                self._cancel_run(request, run)
                return
            reservations.append(
                calls.Reservation(
                    f"{run.run_id}-{len(reservations)}",
                    entry.address,
                    helper,
                    run.reserved_tokens,
                    self._holds.hold_s,
                )
            )
        if await self._holds.acquire(run.run_id, reservations):
            reservation_ids = tuple(
                reservation.reservation_id for reservation in reservations
            )
            self._send_run(request, run, choice, reservation_ids)
        else:
            self._cancel_run(request, run)

    def _cancel_run(
        self, request: exchange.Exchange, run: engine_load.Run
    ) -> None:
        """Removes a run that was not sent, and places its request again."""
        self.load.remove_run(run.run_id)
        self.listener.run_ended(run.run_id)
        self._holds.release(run.run_id)
        if request.needs_upstream:
            self.place_request(request)

    # Upstreams.

    def _on_upstream_change(self, change: upstream_list.Change) -> None:
        if change.after == "gone" or change.restarted:
            self.crashes.upstream_ended(change.upstream_id)
            self.limits.forget([change.upstream_id])
            self._forget_notices(change)
            self._health.forget(change.upstream_id)
            self.slowdowns.forget(change.upstream_id)
            self._preferences.pop(change.upstream_id, None)
        self._request_scheduling_pass()

    def _forget_notices(self, change: upstream_list.Change) -> None:
        """Ends what an earlier start of an upstream has said of itself."""
        if not change.restarted:
            self.notices.upstream_gone(change.upstream_id)
        elif self.notices.upstream_restarted(change.upstream_id):
            logs.decision(
                _LOG,
                "upstream notice",
                upstream=change.upstream_id,
                outcome="ended by a restart",
            )

    def close(self) -> None:
        """Cancels pending reservations."""
        for task in self._tasks:
            task.cancel()
        self.crashes.close()
        self._holds.close()


def _scheduling_order(
    request: exchange.Exchange, now: float
) -> tuple[int, int, float]:
    """Returns the sort key of a waiting request.

    Requests that can still be on time come first, then those with a lower
    priority number, then those with less time left to their target.
    """
    needs = request.engine_needs(now)
    is_late = needs.target_left_s <= 0
    return (int(is_late), request.accepted.priority, needs.target_left_s)
