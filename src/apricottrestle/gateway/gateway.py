"""The gateway's systems over its tables: accept, wait, choose, send, account.

Invariants: a request waits here only while it can still be served in its time;
each run and call is in the load tables from its send to its end.
"""

import asyncio
import collections
import logging
import random
from typing import Final

from apricottrestle import hashing, logs, metrics
from apricottrestle.gateway import (
    accept,
    calls,
    clock,
    engine_claims,
    engine_costs,
    engine_load,
    engine_pace,
    engine_routing,
    exchange,
    exchange_host,
    fleet_config,
    fleet_state,
    kind_shares,
    memory_holds,
    retry_budget,
    retry_policy,
    service_routing,
    settings,
    upstream_health,
    upstream_list,
)

SCHEDULING_INTERVAL_S: Final = 0.015
"""Interval at which waiting requests are looked at again when nothing else
happens: small against the shortest target, 250 ms."""

START_RETRY_AFTER_S: Final = 0.3
"""Retry-After while no configuration is known: about a store call and a
connection to a peer."""

FULL_RETRY_AFTER_S: Final = 0.2
"""Retry-After of a plain service whose upstreams are all full or gone: a few
of its calls."""

QUEUE_PER_SLOT: Final = 3
"""Calls per slot after which a plain upstream counts as full: those that it
queues would be late."""

FAR_S: Final = 0.001
"""One-way time to another data centre, when no measurement is known."""

REFUSE_FACTOR: Final = 0.7
"""Part of the estimated least service time that must be left for a request to
be tried; estimates may be pessimistic."""

MAX_MISSES: Final = 3
"""Waiting requests of a kind that find no place before the others of the kind
are left for the next look. With a look at each, the time that a queue takes
grows with the square of its length."""

ON_TIME_RESERVED_SLOTS: Final = 2
"""Slots of an engine that late requests leave to those of their kind which are
still on time, while these find no place: a quarter of an engine, by trials at
six times the short requests."""

CONTEST_S: Final = 0.25
"""Time for which a place that was missed counts: the shortest target."""

_LOG: Final = logging.getLogger(__name__)


class RunListener:
    """Learns of this gateway's runs and calls; the base does nothing."""

    def run_started(self, run: engine_load.Run) -> None:
        """A run was started."""

    def run_first_event(self, run_id: str) -> None:
        """A run's first event has arrived."""

    def run_ended(self, run_id: str) -> None:
        """A run has ended."""

    def calls_changed(self, upstream_id: str, count: int) -> None:
        """The number of calls to a plain upstream has changed."""

    def claim_added(self, claim: engine_claims.Claim) -> None:
        """A waiting request claims engines."""

    def claim_removed(self, claim_id: str) -> None:
        """A claim has ended."""

    def gateway_count(self) -> int:
        """Returns the gateways alive, this one included."""
        return 1


class Gateway(calls.RequestHandler, exchange_host.Host):
    """Serves callers' requests.

    Attributes:
        state: Configuration and upstreams.
        load: Runs on engines, of all gateways.
        paces: How much slower than published engines are.
        listener: Learns of own runs.
        stopping: New requests are refused.
        active: Requests under way.
    """

    def __init__(
        self,
        cfg: settings.GatewaySettings,
        client: calls.UpstreamClient,
        rng: random.Random,
        incarnation: str,
    ) -> None:
        """Starts without knowledge of the fleet."""
        self.state = fleet_state.FleetState(self._on_upstream)
        self.load = engine_load.EngineLoad()
        self.paces = engine_pace.EnginePaces()
        self.claims = engine_claims.EngineClaims()
        self._shares = kind_shares.KindShares()
        self._contested: dict[str, float] = {}
        self._own_claims: dict[exchange.Exchange, str] = {}
        self.peer_calls: dict[str, collections.Counter[str]] = {}
        self.listener = RunListener()
        self.stopping = False
        self.active: set[exchange.Exchange] = set()
        self._cfg = cfg
        self._client = client
        self._rng = rng
        self._health = upstream_health.UpstreamHealth()
        self._calls: collections.Counter[str] = collections.Counter()
        self._budgets: dict[str, retry_budget.RetryBudget] = {}
        self._waiting: list[exchange.Exchange] = []
        self._holds = memory_holds.MemoryHolds(
            client, cfg.memory_free_s, cfg.reservation_max_s
        )
        self._tasks: set[asyncio.Task[None]] = set()
        self._run_count = 0
        self._preferences: dict[str, int] = {}
        self._incarnation = incarnation
        self._scheduling_pass_requested = False

    def apply_settings(self, cfg: settings.GatewaySettings) -> None:
        """Takes over new settings for requests to come."""
        self._cfg = cfg
        for budget in self._budgets.values():
            budget.configure(
                cfg.retry_share, cfg.retry_window_s, cfg.retry_slack
            )
        self._holds.configure(cfg.memory_free_s, cfg.reservation_max_s)

    # Requests.

    def handle(
        self, req: calls.CallerRequest, responder: calls.Responder
    ) -> None:
        """See RequestHandler.handle."""
        decision = self._decide(req)
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
            resume_after=req.resume_after,
        )
        now = clock.now()
        self._budget(decision.service.name).count_request(now)
        one = exchange.Exchange(self, req, decision, responder)
        self.active.add(one)
        one.begin()

    def _decide(
        self, req: calls.CallerRequest
    ) -> accept.Accepted | accept.Refused:
        if self.stopping:
            return accept.Refused(accept.UNAVAILABLE, "stopping", 0.0)
        if self.state.compiled is None or not self.state.list_known:
            return accept.Refused(
                accept.UNAVAILABLE, "no_configuration", START_RETRY_AFTER_S
            )
        return accept.decide_request(req, self.state.compiled, self._rng)

    def _budget(self, service: str) -> retry_budget.RetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = retry_budget.RetryBudget(
                self._cfg.retry_share,
                self._cfg.retry_window_s,
                self._cfg.retry_slack,
            )
        return budget

    # Host of the exchanges.

    def send(
        self, one: exchange.Exchange, call: calls.UpstreamCall
    ) -> calls.Transfer:
        """See Host.send."""
        return self._client.send(call, one)

    def place(self, one: exchange.Exchange) -> None:
        """See Host.place."""
        if one.accepted.service.engine is None or one.req.size is None:
            self._place_call(one)
            return
        self._waiting.append(one)
        self.run_scheduling_pass()

    def take_retry(self, one: exchange.Exchange) -> bool:
        """See Host.take_retry."""
        return self._budget(one.accepted.service.name).consume_retry(
            self.listener.gateway_count(), clock.now()
        )

    def retry_after_s(self, one: exchange.Exchange) -> float:
        """See Host.retry_after_s."""
        return FULL_RETRY_AFTER_S

    def ended(
        self, one: exchange.Exchange, outcome: exchange_host.Outcome
    ) -> None:
        """See Host.ended."""
        self.active.discard(one)
        metrics.REQUESTS.labels(str(one.accepted.priority), outcome).inc()
        if one in self._waiting:
            self._stop_waiting(one)
            self._count(one, on_time=False)

    def wrote(self, one: exchange.Exchange, sent: exchange_host.Sent) -> None:
        """See Host.wrote."""
        self.paces.answered(sent.upstream_id, sent.run_id)
        if self.load.wrote(sent.run_id) is not None:
            self.listener.run_first_event(sent.run_id)
            self._request_scheduling_pass()

    def saw_event(
        self,
        one: exchange.Exchange,
        sent: exchange_host.Sent,
        pause_s: float | None,
    ) -> None:
        """See Host.saw_event."""
        model = one.accepted.service.engine
        if model is None:
            return
        now = clock.now()
        row = self.load.row(sent.upstream_id)
        if pause_s is not None and row.runs:
            pass_s = engine_costs.pass_s(
                model, len(row.runs), row.context_tokens
            )
            self.paces.paused(sent.upstream_id, pause_s, pass_s, now)
        row.saw_event(model, now, now)

    def sent_ended(
        self,
        one: exchange.Exchange,
        sent: exchange_host.Sent,
        result: retry_policy.AttemptResult | None,
        fault_address: str | None,
    ) -> None:
        """See Host.sent_ended."""
        now = clock.now()
        self._account_health(one, sent, result, fault_address, now)
        self.paces.answered(sent.upstream_id, sent.run_id)
        if self.load.run(sent.run_id) is not None:
            self.load.end(sent.run_id)
            self.listener.run_ended(sent.run_id)
            self._holds.free(sent.run_id)
            self._request_scheduling_pass()
        elif self._calls[sent.upstream_id] > 0:
            self._calls[sent.upstream_id] -= 1
            self.listener.calls_changed(
                sent.upstream_id, self._calls[sent.upstream_id]
            )

    def _account_health(
        self,
        one: exchange.Exchange,
        sent: exchange_host.Sent,
        result: retry_policy.AttemptResult | None,
        fault_address: str | None,
        now: float,
    ) -> None:
        if result is None:
            if one.done and not one.answered:
                return
            self._health.succeeded(sent.upstream_id, now)
            return
        upstream_id = sent.upstream_id
        if fault_address is not None and fault_address != sent.address:
            upstream_id = (
                self._id_at(one.accepted.service.name, fault_address)
                or upstream_id
            )
        lost = result in (
            retry_policy.AttemptResult.LOST,
            retry_policy.AttemptResult.NOT_SENT,
        )
        aside_s = self._health.failed(upstream_id, now, lost=lost)
        logs.decision(
            _LOG,
            "upstream failed",
            request_id=one.req.request_id,
            upstream=upstream_id,
            result=result.value,
            failure_rate=round(self._health.failure_rate(upstream_id, now), 3),
            aside_s=aside_s,
        )

    def _id_at(self, service: str, address: str) -> str | None:
        for entry in self.state.members.usable(service):
            if entry.address == address:
                return entry.upstream_id
        return None

    # Plain services.

    def _place_call(self, one: exchange.Exchange) -> None:
        now = clock.now()
        service = one.accepted.service.name
        entries = self._usable(service, one, now)
        candidates = [
            service_routing.Candidate(
                entry.upstream_id,
                self._outstanding(entry.upstream_id),
                entry.slots,
                self._distance_s(entry),
                self._health.failure_rate(entry.upstream_id, now),
            )
            for entry in entries
        ]
        room = [
            each
            for each in candidates
            if each.outstanding < QUEUE_PER_SLOT * each.slots
        ]
        best = service_routing.choose(room, self._rng)
        logs.decision(
            _LOG,
            "route",
            request_id=one.req.request_id,
            service=service,
            candidates=len(candidates),
            with_room=len(room),
            list_version=self.state.members.version,
            upstream=best.upstream_id if best else None,
            outstanding=best.outstanding if best else None,
        )
        if best is None:
            one.refuse(
                accept.UNAVAILABLE,
                "no_upstream" if not candidates else "full",
                FULL_RETRY_AFTER_S,
            )
            return
        entry = next(
            each for each in entries if each.upstream_id == best.upstream_id
        )
        self._calls[entry.upstream_id] += 1
        self.listener.calls_changed(
            entry.upstream_id, self._calls[entry.upstream_id]
        )
        sent = exchange_host.Sent(
            entry.upstream_id, entry.address, self._new_run_id(), now, 0.0
        )
        one.send(sent, priority=min(one.accepted.priority, 9), helpers=())

    def _outstanding(self, upstream_id: str) -> int:
        return self._calls[upstream_id] + sum(
            counts[upstream_id] for counts in self.peer_calls.values()
        )

    def _usable(
        self, service: str, one: exchange.Exchange, now: float
    ) -> list[upstream_list.UpstreamEntry]:
        """Returns upstreams to choose from: untried and sound ones if any."""
        usable = self.state.members.usable(service)
        for choice in (
            [
                entry
                for entry in usable
                if entry.upstream_id not in one.tried
                and not self._health.is_aside(entry.upstream_id, now)
            ],
            [entry for entry in usable if entry.upstream_id not in one.tried],
        ):
            if choice:
                return choice
        return usable

    def _distance_s(self, entry: upstream_list.UpstreamEntry) -> float:
        return 0.0 if entry.data_centre == self._cfg.data_centre else FAR_S

    def _preference(self, upstream_id: str) -> int:
        """Returns this gateway's order of otherwise equal upstreams."""
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
        """Places the waiting requests that fit now, most urgent first."""
        self._scheduling_pass_requested = False
        now = clock.now()
        waiting = sorted(
            self._waiting, key=lambda one: _scheduling_order(one, now)
        )
        misses: collections.Counter[tuple[str, bool]] = collections.Counter()
        for one in waiting:
            if one.done or one not in self._waiting:
                continue
            alike = (one.accepted.route.name, one.ask(now).target_left_s <= 0)
            if misses[alike] >= MAX_MISSES and one not in self._own_claims:
                continue
            self._place_engine_request(one, now)
            if one in self._waiting:
                misses[alike] += 1
        metrics.WAITING.set(len(self._waiting))

    def _place_engine_request(self, one: exchange.Exchange, now: float) -> None:
        service = one.accepted.service
        model = service.engine
        assert model is not None
        ask = one.ask(now)
        usable = self._engines(service, model, one, now)
        if not usable:
            self._refuse_waiting(one, "no_upstream")
            return
        own = self._own_claims.get(one)
        candidates = [
            each
            for each in usable
            if self.claims.holder(each.engine, now) in (None, own)
        ]
        choice = engine_routing.choose(ask, candidates, model, now)
        if (
            choice is None
            and len(candidates) < len(usable)
            and ask.target_left_s <= engine_claims.PRESSING_S
        ):
            choice = engine_routing.choose(ask, usable, model, now)
        if choice is None:
            least_s = engine_routing.shortest_service_s(ask, model, len(usable))
            if ask.time_left_s < REFUSE_FACTOR * least_s:
                self._refuse_waiting(one, "too_late")
                return
            read_s = engine_routing.soonest_read_s(ask, model, len(usable))
            if ask.target_left_s <= read_s:
                choice = engine_routing.least_late(
                    ask, candidates, model, now, self._spare_slots(one, now)
                )
            else:
                self._contested[one.accepted.route.name] = now + CONTEST_S
        if choice is not None:
            self._start(one, choice, ask, len(candidates), now)
        elif own is None and self._shares.starves(one.accepted.route.name):
            self._claim(one, ask, usable, model, now)

    def _spare_slots(self, one: exchange.Exchange, now: float) -> int:
        """Returns the slots that a late request leaves to others."""
        until = self._contested.get(one.accepted.route.name, now)
        return ON_TIME_RESERVED_SLOTS if now < until else 0

    def _claim(
        self,
        one: exchange.Exchange,
        ask: engine_routing.Ask,
        usable: list[engine_routing.Candidate],
        model: fleet_config.EngineModel,
        now: float,
    ) -> None:
        """Keeps engines free for a request that found no place."""
        engines = engine_claims.choose(
            ask,
            usable,
            lambda engine: self.claims.holder(engine, now) is not None,
            model,
        )
        if not engines:
            return
        left_s = min(ask.patience_left_s, ask.time_left_s)
        claim = engine_claims.Claim(self._new_run_id(), engines, left_s)
        self._own_claims[one] = claim.claim_id
        self.claims.add(claim, now)
        self.listener.claim_added(claim)
        logs.decision(
            _LOG,
            "engines claimed",
            request_id=one.req.request_id,
            claim=claim.claim_id,
            upstreams=engines,
            candidates=len(usable),
            list_version=self.state.members.version,
            target_left_s=round(ask.target_left_s, 4),
        )

    def _count(self, one: exchange.Exchange, *, on_time: bool) -> None:
        """Counts a request's first placement, or its end without one."""
        if not one.tried and one.req.size is not None:
            self._shares.note(
                one.accepted.route.name,
                one.req.size.prompt_tokens,
                clock.now(),
                on_time=on_time,
            )

    def _stop_waiting(self, one: exchange.Exchange) -> None:
        self._waiting.remove(one)
        claim_id = self._own_claims.pop(one, None)
        if claim_id is not None:
            self.claims.remove(claim_id)
            self.listener.claim_removed(claim_id)

    def _refuse_waiting(self, one: exchange.Exchange, reason: str) -> None:
        self._stop_waiting(one)
        self._count(one, on_time=False)
        metrics.REFUSALS.labels(reason).inc()
        one.refuse(accept.UNAVAILABLE, reason, FULL_RETRY_AFTER_S)

    def _engines(
        self,
        service: fleet_config.Service,
        model: fleet_config.EngineModel,
        one: exchange.Exchange,
        now: float,
    ) -> list[engine_routing.Candidate]:
        return [
            engine_routing.Candidate(
                entry.upstream_id,
                self.load.row(entry.upstream_id),
                min(entry.slots, model.slots),
                self._distance_s(entry),
                self._preference(entry.upstream_id),
                self.paces.pace(entry.upstream_id, now),
            )
            for entry in self._usable(service.name, one, now)
        ]

    def _start(
        self,
        one: exchange.Exchange,
        choice: engine_routing.Choice,
        ask: engine_routing.Ask,
        candidates: int,
        now: float,
    ) -> None:
        self._stop_waiting(one)
        self._count(one, on_time=choice.on_time)
        run = engine_load.Run(
            self._new_run_id(),
            choice.engine,
            choice.helpers,
            ask.prompt_tokens,
            ask.output_tokens,
            choice.part_s,
            choice.held_tokens,
            ask.gap_s,
            ask.target_left_s,
            False,
        )
        row = self.load.row(choice.engine)
        logs.decision(
            _LOG,
            "route",
            request_id=one.req.request_id,
            run=run.run_id,
            upstream=choice.engine,
            helpers=choice.helpers,
            candidates=candidates,
            list_version=self.state.members.version,
            running=len(row.runs),
            first_event_s=round(choice.first_event_s, 4),
            target_left_s=round(ask.target_left_s, 4),
            on_time=choice.on_time,
            waited_s=round(now - one.waiting_since, 4),
        )
        metrics.WAIT_SECONDS.observe(now - one.waiting_since)
        self.load.start(run, now)
        self.listener.run_started(run)
        if choice.held_tokens:
            task = asyncio.ensure_future(
                self._reserve_and_send(one, run, choice)
            )
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            return
        self._send_run(one, run, choice, ())

    def _send_run(
        self,
        one: exchange.Exchange,
        run: engine_load.Run,
        choice: engine_routing.Choice,
        reservations: tuple[str, ...],
    ) -> None:
        members = self.state.members
        entry = members.get(run.engine)
        helpers = [members.get(helper) for helper in run.helpers]
        now = clock.now()
        if one.done or entry is None or None in helpers:
            self._withdraw(one, run)
            return
        addresses = [each.address for each in helpers if each is not None]
        if reservations:
            addresses = [
                f"{address}/{ticket}"
                for address, ticket in zip(addresses, reservations, strict=True)
            ]
        sent = exchange_host.Sent(
            run.engine, entry.address, run.run_id, now, choice.first_event_s
        )
        self.paces.sent(run.engine, run.run_id, choice.first_event_s, now)
        one.send(
            sent,
            priority=min(one.accepted.priority, 9),
            helpers=tuple(addresses),
        )

    async def _reserve_and_send(
        self,
        one: exchange.Exchange,
        run: engine_load.Run,
        choice: engine_routing.Choice,
    ) -> None:
        """Sets memory aside on all helpers, then sends; else places anew."""
        wanted: list[calls.Reservation] = []
        for helper in run.helpers:
            entry = self.state.members.get(helper)
            if entry is None:
                self._withdraw(one, run)
                return
            wanted.append(
                calls.Reservation(
                    f"{run.run_id}-{len(wanted)}",
                    entry.address,
                    helper,
                    run.held_tokens,
                    self._holds.hold_s,
                )
            )
        if await self._holds.acquire(run.run_id, wanted):
            tickets = tuple(each.reservation_id for each in wanted)
            self._send_run(one, run, choice, tickets)
        else:
            self._withdraw(one, run)

    def _withdraw(self, one: exchange.Exchange, run: engine_load.Run) -> None:
        """Takes back a run that was not sent, and places the request anew."""
        self.load.end(run.run_id)
        self.listener.run_ended(run.run_id)
        self._holds.free(run.run_id)
        if not one.done:
            self.place(one)

    # Upstreams.

    def _on_upstream(self, change: upstream_list.Change) -> None:
        if change.after == "gone" or change.restarted:
            self._health.forget(change.upstream_id)
            self.paces.forget(change.upstream_id)
            self._preferences.pop(change.upstream_id, None)
        self._request_scheduling_pass()

    def close(self) -> None:
        """Cancels what is under way."""
        for task in self._tasks:
            task.cancel()
        self._holds.close()


def _scheduling_order(
    one: exchange.Exchange, now: float
) -> tuple[int, int, float]:
    """Orders waiting requests: those on time first, by rank, then by slack."""
    ask = one.ask(now)
    is_late = ask.target_left_s <= 0
    return (int(is_late), one.accepted.priority, ask.target_left_s)
