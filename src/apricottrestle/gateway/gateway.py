"""The gateway core: accepts requests, and asks others what becomes of them.

A request for a plain service is routed or refused at once. A request for a
model engine goes to the queue (`engine_queue.py`).

Invariant: each call to a plain service is in the load tables from its placement
until it has ended.
"""

import asyncio
import collections
import logging
import math
import random
from collections.abc import Callable
from typing import Final

from apricottrestle import logs, memory_account, metrics, route_query
from apricottrestle.gateway import (
    accept,
    calls,
    clock,
    cold_records,
    cold_upstreams,
    crash_evidence,
    crash_guard,
    engine_claims,
    engine_costs,
    engine_load,
    engine_pace,
    engine_probation,
    engine_queue,
    engine_routing,
    exchange,
    exchange_host,
    explanation,
    fleet_state,
    health_records,
    prompt_trials,
    retry_budget,
    retry_policy,
    run_listener,
    send_gate,
    service_routing,
    settings,
    upstream_choice,
    upstream_health,
    upstream_limits,
    upstream_list,
    upstream_notices,
)

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

PLAIN_SERVICE_S: Final = 0.3
"""Time that a stopping gateway allows for a request to a plain service; several
times its usual duration."""

MAX_PROBES: Final = 4
PROBE_PAUSE_S: Final = 0.1
"""Questions whether an upstream is running, until one is answered, and the
pause between them. The kernel of a killed process accepts connections until it
has closed all others, and then resets them."""


MAX_LOGGED_PARTS: Final = 8
"""Parts of a prompt in the log line of an accepted request."""

MISDIRECTED: Final = 421
"""HTTP status of an upstream that isn't the one the request is for."""

ARRIVAL_SILENCE_S: Final = 1.0
"""Silence after which a stopping gateway refuses a request that has arrived in
part. Callers send a request at once, and lost packets come again sooner."""

BAD_PROMPT: Final = "crashes_engines"
"""Reason of the refusal of a prompt with parts that crash engines."""

BAD_PROMPT_RETRY_AFTER_S: Final = 3_600.0
"""Retry-After of such a refusal: no engine will run the prompt before someone
has looked into it."""

OPEN_VERDICT_RETRY_AFTER_S: Final = 3.0
"""Retry-After while a trial may still show that the prompt is sound: the pause
before a trial and one turn."""

_LOG: Final = logging.getLogger(__name__)


class Gateway(
    calls.RequestHandler, exchange_host.ExchangeHost, engine_queue.QueueHost
):
    """Serves the requests of callers.

    Attributes:
        state: Configuration and upstreams.
        load: Runs of all gateways on the engines.
        slowdowns: Slowdown of each engine relative to its published cost model.
        claims: Claims of all gateways on engines.
        probation: Engines whose load isn't known for certain.
        crashes: Crashes of engines, and the prompts that cause them.
        limits: Limits that upstreams name.
        cold: Upstreams that are cold, and this gateway's shares of them.
        cold_records: Passes what this gateway sees to that table.
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
        self.state.watch_evacuations(self._on_evacuations)
        self.load = engine_load.EngineLoad()
        self.slowdowns = engine_pace.EngineSlowdowns()
        self.claims = engine_claims.EngineClaims()
        self.probation = engine_probation.EngineProbation()
        self.crashes = crash_guard.CrashGuard(client)
        self.crashes.on_changed = self._on_crashes_changed
        self.crashes.on_verdict = self._end_bad_prompts
        self.crashes.placement_rank = self._placement_rank
        self.limits = upstream_limits.UpstreamLimits(incarnation)
        self.notices = upstream_notices.UpstreamNotices()
        self.cold = cold_upstreams.ColdUpstreams(
            cfg.instance_id, cfg.cold_overrun, cfg.cold_slack
        )
        self.cold_records = cold_records.ColdRecords(self.cold, self.state)
        self._send_gate = send_gate.SendGate(
            self.limits,
            self.notices,
            self.cold,
            self.state.members,
            self.state.evacuations,
            self._placement_rank,
        )
        self._send_gate.configure(cfg.regions)
        self.peer_calls: dict[str, collections.Counter[str]] = {}
        self.listener = run_listener.RunListener()
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
        self._health_records = health_records.HealthRecords(
            self._health, self.state.members, self.cold_records.record_loss
        )
        self.state.watch_config(
            lambda config, _before, _source: self._choice.set_delays(
                config.services
            )
        )
        self._choice = upstream_choice.UpstreamChoice(
            cfg, self._send_gate, self._health
        )
        self._queue = engine_queue.EngineQueue(
            self,
            engine_queue.Tables(
                self.state.members,
                self.load,
                self.slowdowns,
                self.claims,
                self.probation,
                self._send_gate,
                self._choice,
            ),
            client,
            cfg,
        )
        self._plain_calls: collections.Counter[str] = collections.Counter()
        self._retry_budgets: dict[str, retry_budget.RetryBudget] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._run_count = 0
        self.account = memory_account.MemoryAccount(
            memory_account.compute_limits(cfg.memory_mb, cfg.max_fds)
        )
        self._incarnation = incarnation

    def start(self) -> None:
        """Begins to hold requests until they can be routed."""
        now = clock.now()
        self._hold_until = now + START_HOLD_S
        self.cold.start(now)
        self._client.on_cold = self.cold_records.record_answer
        self._client.on_transfers = self._on_transfers
        self.probation.add_all(now)
        self.state.watch_ready(self._release_held)
        asyncio.get_running_loop().call_later(START_HOLD_S, self._release_held)

    def _on_transfers(self, count: int) -> None:
        metrics.UPSTREAM_TRANSFERS.set(count)
        self.account.set_transfers(count)

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
        self._send_gate.configure(cfg.regions)
        self._choice.configure(cfg)
        self._queue.configure(cfg)
        self.cold.configure(cfg.cold_overrun, cfg.cold_slack)

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
                waiting=request in self._queue,
                response_started=request.response_started,
            )
            self.withdraw_request(request)
            try:
                request.end_with_error(
                    accept.UNAVAILABLE,
                    accept.STOPPING,
                    self.stopping_retry_after_s(
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
            accept.STOPPING,
            self.stopping_retry_after_s(head.time_left_s if head else None),
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
        if not self.state.has_upstream_list:
            return "no_upstream_list"
        return "no_evacuations"

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
        if compiled is None or not self.state.ready:
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
        if (
            isinstance(decision, accept.Accepted)
            and self.is_bad_prompt(req)
            and not self.crashes.begin_trial(req)
        ):
            return accept.Refused(
                accept.UNAVAILABLE,
                BAD_PROMPT,
                self._bad_prompt_retry_after_s(req),
            )
        return decision

    def _on_evacuations(self, _source: str) -> None:
        self._queue.request_scheduling_pass()

    def _placement_rank(self, upstream_id: str) -> int:
        return self.listener.placement_rank(upstream_id)

    def _on_crashes_changed(self, crash_ids: list[str]) -> None:
        self.listener.crashes_changed(crash_ids)

    def is_bad_prompt(self, req: calls.CallerRequest) -> bool:
        """See QueueHost.is_bad_prompt."""
        return self.crashes.is_refused(req)

    def _bad_prompt_retry_after_s(self, req: calls.CallerRequest) -> float:
        verdict = self.crashes.verdict_on(req)
        if verdict is not None and prompt_trials.is_open(verdict):
            return OPEN_VERDICT_RETRY_AFTER_S
        return BAD_PROMPT_RETRY_AFTER_S

    def _describe_verdict(self, req: calls.CallerRequest) -> dict[str, object]:
        """Returns the evidence against a prompt, for the log."""
        verdict = self.crashes.verdict_on(req)
        if verdict is None:
            return {}
        return crash_guard.describe(verdict, self.crashes.evidence, clock.now())

    def _end_bad_prompts(self) -> None:
        """Ends requests that would crash engines, before they do.

        Answers of which callers have a part go on: if they get past their
        beginning, they show that their prompts are sound.
        """
        for request in list(self.active):
            if not self.is_bad_prompt(request.req):
                continue
            if request in self._queue:
                self._queue.refuse_bad_prompt(request)
            elif not request.response_started:
                request.end_with_error(accept.UNAVAILABLE, BAD_PROMPT, None)

    def end_bad_prompt(self, request: exchange.Exchange) -> None:
        """See QueueHost.end_bad_prompt."""
        logs.decision(
            _LOG,
            "prompt stopped",
            request_id=request.req.request_id,
            **self._describe_verdict(request.req),
        )
        metrics.REFUSALS.labels(BAD_PROMPT).inc()
        request.end_with_error(
            accept.UNAVAILABLE,
            BAD_PROMPT,
            self._bad_prompt_retry_after_s(request.req),
        )

    def _refuse_stopping(self, req: calls.CallerRequest) -> accept.Refused:
        """Refuses a request; it returns when another gateway can serve it."""
        return accept.Refused(
            accept.UNAVAILABLE,
            accept.STOPPING,
            self.stopping_retry_after_s(req.time_left_s),
        )

    def stopping_retry_after_s(self, time_left_s: float | None) -> float:
        """See QueueHost.stopping_retry_after_s."""
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
            service_s = (
                engine_queue.STOPPING_SERVICE_FACTOR
                * engine_routing.min_service_s(
                    engine_routing.RequestNeeds(
                        req.size.prompt_tokens,
                        max(exchange.expected_output_tokens(req.size), 1),
                        math.inf,
                        math.inf,
                        math.inf,
                        0.0,
                    ),
                    model,
                    len(
                        self._send_gate.usable(
                            accepted.service.name,
                            accepted.regions,
                            clock.now(),
                        )
                    ),
                )
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
        # A trial, too, is sent to one upstream only.
        if request.tried_upstreams and self.crashes.verdict_on(request.req):
            request.refuse(
                accept.UNAVAILABLE,
                BAD_PROMPT,
                self._bad_prompt_retry_after_s(request.req),
            )
            return
        if request.accepted.service.engine is None or request.req.size is None:
            self._place_plain_request(request)
            return
        self._queue.add(request)

    def withdraw_request(self, request: exchange.Exchange) -> None:
        """See ExchangeHost.withdraw_request."""
        self._queue.withdraw(request)

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
        return accept.OVERLOAD_RETRY_AFTER_S

    def on_exchange_ended(
        self, request: exchange.Exchange, outcome: exchange_host.Outcome
    ) -> None:
        """See ExchangeHost.on_exchange_ended."""
        self.active.discard(request)
        self.crashes.end_trial(
            request.req, was_sent=bool(request.tried_upstreams)
        )
        metrics.REQUESTS.labels(str(request.accepted.priority), outcome).inc()
        self._queue.end_request(request)

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
        self.cold_records.record_head(attempt, head)

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
        self._queue.request_scheduling_pass()

    def on_first_event(
        self, request: exchange.Exchange, attempt: exchange_host.Attempt
    ) -> None:
        """See ExchangeHost.on_first_event."""
        self.slowdowns.clear_expected(attempt.upstream_id, attempt.run_id)
        if self.load.mark_decoding(attempt.run_id) is not None:
            self.listener.run_first_event(attempt.run_id)
            self._queue.request_scheduling_pass()

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
        self._health_records.record_stall(request, attempt, clock.now())

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
            suspect._replace(
                on_trial=self.crashes.end_trial(request.req, was_sent=True)
            ),
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
        self._health_records.record_attempt(
            request, attempt, result, fault_address, now
        )
        self.slowdowns.clear_expected(attempt.upstream_id, attempt.run_id)
        if self._queue.end_run(attempt.run_id):
            return
        if self._plain_calls[attempt.upstream_id] > 0:
            self._plain_calls[attempt.upstream_id] -= 1
            self.listener.calls_changed(
                attempt.upstream_id, self._plain_calls[attempt.upstream_id]
            )

    # Plain services.

    def _place_plain_request(self, request: exchange.Exchange) -> None:
        now = clock.now()
        service = request.accepted.service.name
        regions = request.accepted.regions
        candidates = self._plain_candidates(service, request, now)
        with_capacity = [
            candidate for candidate in candidates if not candidate.is_full
        ]
        best = service_routing.choose(with_capacity, self._rng)
        logs.decision(
            _LOG,
            "route",
            request_id=request.req.request_id,
            service=service,
            candidates=len(candidates),
            excluded=self._send_gate.excluded(service, regions),
            with_room=len(with_capacity),
            list_version=self.state.members.version,
            upstream=best.upstream_id if best else None,
            outstanding=best.outstanding if best else None,
        )
        if best is None:
            limit_wait_s = self._send_gate.wait_s(service, regions, now)
            if candidates or limit_wait_s <= 0:
                reason = (
                    "full"
                    if candidates
                    else self._send_gate.refusal_reason(service, regions)
                )
                retry_after_s = accept.OVERLOAD_RETRY_AFTER_S
            else:
                reason = accept.LIMITED
                retry_after_s = self._send_gate.retry_after_s(
                    service,
                    request.accepted.regions,
                    limit_wait_s,
                    request.time_left_s(now),
                    now,
                )
            metrics.REFUSALS.labels(reason).inc()
            request.refuse(accept.UNAVAILABLE, reason, retry_after_s)
            return
        entry = self.state.members.get(best.upstream_id)
        assert entry is not None
        self._plain_calls[entry.upstream_id] += 1
        self.count_sends([entry.upstream_id], now)
        self.listener.calls_changed(
            entry.upstream_id, self._plain_calls[entry.upstream_id]
        )
        attempt = exchange_host.Attempt(
            entry.upstream_id,
            entry.address,
            self.new_run_id(),
            now,
            0.0,
            False,
            entry.started_at_ms,
        )
        request.send_to(
            attempt, priority=min(request.accepted.priority, 9), helpers=()
        )

    def _plain_candidates(
        self, service: str, request: exchange.Exchange, now: float
    ) -> list[service_routing.Candidate]:
        return [
            service_routing.Candidate(
                entry.upstream_id,
                self._outstanding_calls(entry.upstream_id),
                entry.slots,
                self._choice.latency_s(entry),
                self._health.failure_rate(entry.upstream_id, now),
            )
            for entry in self._choice.usable(service, request, now)
        ]

    def explain(self, query: route_query.Query) -> route_query.Explanation:
        """Explains where a request would go now, without sending it.

        For a route with several targets, one of them is chosen by weight.
        """
        now = clock.now()
        req = explanation.make_request(query, now)
        decision = self._admit(req)
        return explanation.Explainer(
            self.state,
            self._send_gate,
            self._health,
            self._queue,
            self.load,
            self._plain_candidates,
        ).explain(
            exchange.Exchange(self, req, decision, explanation.NoResponder())
            if isinstance(decision, accept.Accepted)
            else None,
            decision if isinstance(decision, accept.Refused) else None,
            now,
        )

    def _outstanding_calls(self, upstream_id: str) -> int:
        return self._plain_calls[upstream_id] + sum(
            counts[upstream_id] for counts in self.peer_calls.values()
        )

    def count_sends(self, upstream_ids: list[str], now: float) -> None:
        """See QueueHost.count_sends."""
        for upstream_id in upstream_ids:
            self.cold.record_send(upstream_id, now)
        limited = [
            upstream_id
            for upstream_id in upstream_ids
            if self.limits.record_send(upstream_id, now)
        ]
        if limited:
            self.listener.limits_changed(limited)

    def count_reservation(self, upstream_id: str) -> None:
        """See QueueHost.count_reservation."""
        self.cold.record_send(upstream_id, clock.now())

    def reservation_lost(self, upstream_id: str) -> None:
        """See QueueHost.reservation_lost."""
        self.cold_records.record_loss(upstream_id)

    def new_run_id(self) -> str:
        """See QueueHost.new_run_id."""
        self._run_count += 1
        return f"{self._incarnation}-{self._run_count}"

    def run_scheduling_pass(self) -> None:
        """Places waiting model requests on engines; see EngineQueue."""
        self._queue.run_scheduling_pass()

    # Upstreams.

    def _on_upstream_change(self, change: upstream_list.Change) -> None:
        if change.after == "gone" or change.restarted:
            self.crashes.upstream_ended(change.upstream_id)
            self.limits.forget([change.upstream_id])
            self._forget_notices(change)
            self._health.forget(change.upstream_id)
            self.slowdowns.forget(change.upstream_id)
            self._choice.forget(change.upstream_id)
        self._queue.request_scheduling_pass()

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
        """Cancels pending questions and reservations."""
        for task in self._tasks:
            task.cancel()
        self.crashes.close()
        self._queue.close()
