"""The queue of model requests, and their placement on engines.

A request for a model engine waits here until a scheduling pass places it on an
engine, or refuses it. A pass runs when something has changed, and at short
intervals otherwise.

Invariants: a request stays in the queue only while it can still meet its
deadline, and end before a shutdown does; each run is in the load tables from
its placement until it has ended.
"""

import abc
import asyncio
import collections
import logging
import math
from typing import Final, NamedTuple

from apricottrestle import logs, metrics
from apricottrestle.gateway import (
    accept,
    calls,
    clock,
    engine_claims,
    engine_costs,
    engine_load,
    engine_pace,
    engine_probation,
    engine_routing,
    exchange,
    exchange_host,
    fleet_config,
    memory_holds,
    on_time_shares,
    run_listener,
    send_gate,
    settings,
    shortage,
    upstream_choice,
    upstream_list,
)

SCHEDULING_INTERVAL_S: Final = 0.015
"""Interval between scheduling passes when no event triggers one; small
compared with the shortest target time to the first event, 250 ms."""

STOPPING_SERVICE_FACTOR: Final = 1.5
"""Factor on the minimum service time of a request that a stopping gateway must
be able to serve: other requests in the same engine passes delay its events, and
callers' estimates of the answer's length are often too short."""

MIN_TIME_LEFT_RATIO: Final = 0.7
"""A waiting request is refused when its time left is below this fraction of
its estimated minimum service time. Below 1 because the estimate may be
pessimistic."""

MAX_FAILED_PLACEMENTS: Final = 3
"""Failed placements after which a scheduling pass skips the remaining requests
of a group; the late requests of a route are one group, its others another. If
every request were tried, the time spent on a queue would grow with the square
of its length."""

LONG_PREFILL_S: Final = 0.2
"""Prefill time per engine from which two requests that are placed on an engine
at the same time make each other late."""

STAGGER_STEP_S: Final = 0.004
"""Delay per gateway that goes first before a long prompt that has waited is
placed; twice the delay of a message. When an engine becomes free, all gateways
hear of it at once and would choose it together."""

OVERLOADED: Final = "overloaded"
"""Reason of the refusal of a request that can't begin before its caller gives
up, because of the work that goes first."""

NOT_PLACED: Final = "not_placed"
"""Reason of the refusal of a request whose placement has failed."""

_LOG: Final = logging.getLogger(__name__)


class Tables(NamedTuple):
    """What the queue reads of the fleet, and updates with its runs.

    Attributes:
        members: Upstreams of all services.
        load: Runs of all gateways on the engines.
        slowdowns: Slowdown of each engine.
        claims: Claims of all gateways on engines.
        probation: Engines whose load isn't known for certain.
        send_gate: The upstreams that may get requests, and when.
        choice: The upstreams that may be chosen for a request.
    """

    members: upstream_list.Membership
    load: engine_load.EngineLoad
    slowdowns: engine_pace.EngineSlowdowns
    claims: engine_claims.EngineClaims
    probation: engine_probation.EngineProbation
    send_gate: send_gate.SendGate
    choice: upstream_choice.UpstreamChoice


class Preview(NamedTuple):
    """What the queue would do with a new request.

    Attributes:
        usable: Engines that may get requests now.
        candidates: Those that no waiting request has claimed.
        choice: Engines that the request would be sent to, or None.
        refusal: Reason of its refusal, or empty.
    """

    usable: list[engine_routing.Candidate]
    candidates: list[engine_routing.Candidate]
    choice: engine_routing.Choice | None
    refusal: str


class QueueHost(abc.ABC):
    """What the queue asks of the gateway that it belongs to.

    Attributes:
        listener: Receives changes of this gateway's load.
        serve_until: Monotonic time at which a shutdown ends all requests.
    """

    listener: run_listener.RunListener
    serve_until: float

    @abc.abstractmethod
    def place_request(self, request: exchange.Exchange) -> None:
        """Places a request again whose run could not be sent."""

    @abc.abstractmethod
    def is_bad_prompt(self, req: calls.CallerRequest) -> bool:
        """Returns whether a request crashes upstreams, or a part of it."""

    @abc.abstractmethod
    def end_bad_prompt(self, request: exchange.Exchange) -> None:
        """Refuses a request that would crash engines."""

    @abc.abstractmethod
    def stopping_retry_after_s(self, time_left_s: float | None) -> float:
        """Returns the time in which another gateway can serve a caller."""

    @abc.abstractmethod
    def count_sends(self, upstream_ids: list[str], now: float) -> None:
        """Counts a request against the limits of the upstreams it goes to."""

    @abc.abstractmethod
    def count_reservation(self, upstream_id: str) -> None:
        """Counts a request that reserves or releases an engine's memory."""

    @abc.abstractmethod
    def reservation_lost(self, upstream_id: str) -> None:
        """Called when an engine didn't answer such a request."""

    @abc.abstractmethod
    def new_run_id(self) -> str:
        """Returns an id for a run or a claim, unique in the fleet."""


class EngineQueue:
    """The model requests that wait, and the runs that they become."""

    def __init__(
        self,
        host: QueueHost,
        tables: Tables,
        client: calls.UpstreamClient,
        cfg: settings.GatewaySettings,
    ) -> None:
        """Creates an empty queue.

        Args:
            host: The gateway.
            tables: What is known of the fleet.
            client: Sends memory reservations.
            cfg: Settings.
        """
        self._host = host
        self._tables = tables
        self._holds = memory_holds.MemoryHolds(
            client, cfg.memory_free_s, cfg.reservation_max_s
        )
        self._holds.on_send = host.count_reservation
        self._holds.on_unanswered = host.reservation_lost
        self._on_time_shares = on_time_shares.OnTimeShares()
        self._short_until: dict[str, float] = {}
        self._hopeless_since: dict[exchange.Exchange, float] = {}
        self._held_back: set[exchange.Exchange] = set()
        self._own_claims: dict[exchange.Exchange, str] = {}
        self._waiting: list[exchange.Exchange] = []
        self._unplaced: set[exchange.Exchange] = set()
        self._recorded: set[exchange.Exchange] = set()
        self._staggered: dict[exchange.Exchange, asyncio.TimerHandle] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._scheduling_pass_requested = False

    def __contains__(self, request: exchange.Exchange) -> bool:
        """Returns whether a request waits."""
        return request in self._waiting

    def configure(self, cfg: settings.GatewaySettings) -> None:
        """Applies new settings to later reservations."""
        self._holds.configure(cfg.memory_free_s, cfg.reservation_max_s)

    def add(self, request: exchange.Exchange) -> None:
        """Adds a request, and places it if that is possible at once."""
        self._waiting.append(request)
        if not self._refuse_limited(request, clock.now()):
            self.run_scheduling_pass()

    def withdraw(self, request: exchange.Exchange) -> None:
        """Removes a request if it waits."""
        if request in self._waiting:
            self._remove_waiting(request)

    def end_request(self, request: exchange.Exchange) -> None:
        """Drops all that is kept of a request that has ended."""
        if request in self._waiting:
            self._remove_waiting(request)
            self._record_placement(request, on_time=False)
        self._recorded.discard(request)

    def end_run(self, run_id: str) -> bool:
        """Removes a run that has ended; returns False if it is unknown."""
        if self._tables.load.get_run(run_id) is None:
            return False
        self._tables.load.remove_run(run_id)
        self._host.listener.run_ended(run_id)
        self._holds.release(run_id)
        self.request_scheduling_pass()
        return True

    def refuse_bad_prompt(self, request: exchange.Exchange) -> None:
        """Refuses a waiting request that would crash engines."""
        self._remove_waiting(request)
        self._record_placement(request, on_time=False)
        self._host.end_bad_prompt(request)

    def close(self) -> None:
        """Cancels pending reservations."""
        for task in self._tasks:
            task.cancel()
        self._holds.close()

    def request_scheduling_pass(self) -> None:
        """Runs a scheduling pass as soon as the event loop is free."""
        if not self._scheduling_pass_requested and self._waiting:
            self._scheduling_pass_requested = True
            asyncio.get_running_loop().call_soon(self.run_scheduling_pass)

    def run_scheduling_pass(self) -> None:
        """Places waiting requests on engines, in scheduling order.

        Requests that can no longer meet their deadline are refused.
        """
        self._scheduling_pass_requested = False
        now = clock.now()
        if not math.isinf(self._host.serve_until):
            self._refuse_outlasting(now)
        waiting = sorted(
            self._waiting, key=lambda request: _scheduling_order(request, now)
        )
        if self._short_kinds(now):
            waiting = self._apply_shortage(waiting, now)
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
                self._needs(request, now).target_left_s <= 0,
            )
            if (
                failures[group] >= MAX_FAILED_PLACEMENTS
                and request not in self._own_claims
            ):
                continue
            self._try_placing(request, now)
            if request in self._waiting and request not in self._staggered:
                failures[group] += 1
        metrics.WAITING.set(len(self._waiting))

    def _short_kinds(self, now: float) -> dict[str, float]:
        """Returns the routes that are short of room, with the time left."""
        return {
            route: until - now
            for route, until in self._short_until.items()
            if until > now
        }

    def _needs(
        self, request: exchange.Exchange, now: float
    ) -> engine_routing.RequestNeeds:
        """Returns what a request needs; in a shortage, as its caller counts.

        The target of a request that has come back began with its first attempt.
        """
        needs = request.engine_needs(now)
        route = request.accepted.route
        if (
            request.response_started
            or self._short_until.get(route.name, now) <= now
        ):
            return needs
        passed_s = shortage.since_first_attempt_s(
            route.timeout_s, request.accepted.deadline - request.req.arrived_at
        )
        return needs._replace(target_left_s=needs.target_left_s - passed_s)

    def _spare_slots(
        self, request: exchange.Exchange, slots: int, now: float
    ) -> int:
        """Returns the slots per engine that a late request leaves to others."""
        may_start = request.response_started or shortage.may_start_late(
            request.accepted.route.name, self._short_kinds(now)
        )
        return 0 if may_start else slots

    def _apply_shortage(
        self, waiting: list[exchange.Exchange], now: float
    ) -> list[exchange.Exchange]:
        """Refuses waiting requests that have no chance; orders the others.

        Services whose kinds have room keep the usual order.
        """
        short_kinds = self._short_kinds(now)
        by_service: dict[str, list[exchange.Exchange]] = {}
        for request in waiting:
            by_service.setdefault(request.accepted.service.name, []).append(
                request
            )
        ordered: list[exchange.Exchange] = []
        for requests in by_service.values():
            if not any(
                request.accepted.route.name in short_kinds
                for request in requests
            ):
                ordered += requests
                continue
            capacity = self._capacity(requests[0], now, short_kinds)
            rows = [
                self._describe(request, capacity.engines, now)
                for request in requests
            ]
            # Callers may use an id twice.
            request_of = {
                id(row): request
                for row, request in zip(rows, requests, strict=True)
            }
            for verdict in shortage.decide(rows, capacity):
                request = request_of[id(verdict.request)]
                if not self._follow(request, verdict, capacity, now):
                    ordered.append(request)
        return ordered

    def _follow(
        self,
        request: exchange.Exchange,
        verdict: shortage.Verdict,
        capacity: shortage.Capacity,
        now: float,
    ) -> bool:
        """Notes a verdict; returns whether it has refused the request."""
        if verdict.hopeless:
            self._hopeless_since.setdefault(request, now)
        else:
            self._hopeless_since.pop(request, None)
        is_new = verdict.action == "refuse" or (
            verdict.action == "wait" and request not in self._held_back
        )
        if verdict.action == "wait":
            self._held_back.add(request)
        if is_new:
            metrics.SHORTAGE_VERDICTS.labels(
                str(verdict.request.priority), verdict.action
            ).inc()
            logs.decision(
                _LOG,
                "shortage",
                request_id=request.req.request_id,
                outcome=verdict.action,
                priority=verdict.request.priority,
                route=verdict.request.kind,
                team=verdict.request.team,
                tokens=verdict.request.tokens,
                target_left_s=round(verdict.request.target_left_s, 3),
                begin_left_s=round(verdict.request.begin_left_s, 3),
                time_left_s=round(verdict.request.time_left_s, 3),
                engine_s=round(verdict.request.engine_s, 3),
                ahead_s=round(verdict.ahead_s, 3),
                begins_in_s=round(verdict.begins_in_s, 3),
                hopeless_s=round(verdict.request.hopeless_s, 3),
                retry_after_s=round(verdict.retry_after_s, 3),
                waiting=len(self._waiting),
                engines=capacity.engines,
                free_slots=capacity.free_slots,
                prefill_left_s=round(capacity.prefill_left_s, 3),
                gateways=capacity.gateways,
                short=sorted(capacity.short_kinds),
            )
        if verdict.action != "refuse" or request not in self._waiting:
            return False
        self._refuse_waiting(request, OVERLOADED, verdict.retry_after_s)
        return True

    def _capacity(
        self,
        request: exchange.Exchange,
        now: float,
        short_kinds: dict[str, float],
    ) -> shortage.Capacity:
        """Returns what the engines of a request's service can do."""
        service = request.accepted.service
        model = service.engine
        assert model is not None
        entries = self._tables.send_gate.usable(
            service.name, request.accepted.regions, now
        )
        states = [
            (entry, self._tables.load.state(entry.upstream_id))
            for entry in entries
        ]
        return shortage.Capacity(
            len(entries),
            sum(
                max(min(entry.slots, model.slots) - len(state.runs), 0)
                for entry, state in states
            ),
            sum(state.prefill_left_s for _, state in states),
            self._host.listener.gateway_count(),
            short_kinds,
        )

    def _describe(
        self, request: exchange.Exchange, engines: int, now: float
    ) -> shortage.Waiting:
        """Returns what the decision needs to know of a request."""
        needs = self._needs(request, now)
        model = request.accepted.service.engine
        assert model is not None
        decode_s = engine_costs.decode_s(
            model, needs.output_tokens, 1, needs.prompt_tokens
        )
        team = request.accepted.team
        parts = request.req.shared_parts
        return shortage.Waiting(
            request.req.request_id,
            request.accepted.priority,
            request.accepted.route.name,
            team.name if team else None,
            parts[-1] if parts else None,
            needs.prompt_tokens,
            needs.target_left_s,
            min(needs.abandon_left_s, needs.time_left_s - decode_s),
            needs.time_left_s,
            engine_costs.engine_s(
                model, needs.prompt_tokens, needs.output_tokens
            ),
            engine_routing.min_prefill_s(needs, model, engines),
            request.response_started,
            now - self._hopeless_since.get(request, now),
        )

    def _stagger(self, request: exchange.Exchange, engine: str) -> None:
        """Places a request after those of the gateways that go first."""

        def place() -> None:
            del self._staggered[request]
            self._try_placing(request, clock.now(), staggered=True)

        self._staggered[request] = asyncio.get_running_loop().call_later(
            STAGGER_STEP_S * self._host.listener.placement_rank(engine), place
        )

    def _try_placing(
        self,
        request: exchange.Exchange,
        now: float,
        *,
        staggered: bool = False,
    ) -> None:
        """Places a request, or refuses it if that fails for a fault of ours.

        A pass places the requests of all callers; an exception for one of them
        must not reach the others, in this pass and all later ones.
        """
        try:
            self._place_engine_request(request, now, staggered=staggered)
        except Exception:
            _LOG.exception(
                "request can't be placed",
                extra={"request_id": request.req.request_id},
            )
            if request in self._waiting:
                self._remove_waiting(request)
            request.refuse(accept.UNAVAILABLE, NOT_PLACED, None)

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
        if self._host.is_bad_prompt(request.req):
            self.refuse_bad_prompt(request)
            return
        needs = self._needs(request, now)
        usable = self._engine_candidates(service, model, request, now)
        if not usable:
            gate = self._tables.send_gate
            regions = request.accepted.regions
            if not gate.usable(service.name, regions, now):
                self._refuse_waiting(
                    request, gate.refusal_reason(service.name, regions)
                )
            else:
                self._refuse_limited(request, now)
            return
        own_claim = self._own_claim(request, now)
        candidates = [
            candidate
            for candidate in usable
            if self._tables.claims.claim_id_on(candidate.engine, now)
            in (None, own_claim)
        ]
        choice = self._choose_engines(needs, candidates, model, now)
        if (
            choice is None
            and len(candidates) < len(usable)
            and needs.target_left_s <= engine_claims.CLAIM_BYPASS_LEFT_S
        ):
            choice = self._if_helpers_take_it(
                engine_routing.choose(needs, usable, model, now), now
            )
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
                choice = self._if_helpers_take_it(
                    engine_routing.choose_earliest(
                        needs,
                        candidates,
                        model,
                        now,
                        self._spare_slots(request, model.slots, now),
                    ),
                    now,
                )
            else:
                self._short_until[request.accepted.route.name] = (
                    now + shortage.SHORTAGE_S
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

    def preview(
        self,
        request: exchange.Exchange,
        model: fleet_config.EngineCostModel,
        now: float,
    ) -> Preview:
        """Returns what would become of a new request; changes nothing."""
        service = request.accepted.service
        needs = request.engine_needs(now)
        usable = self._engine_candidates(service, model, request, now)
        candidates = [
            candidate
            for candidate in usable
            if self._tables.claims.claim_id_on(candidate.engine, now) is None
        ]
        choice = self._choose_engines(needs, candidates, model, now)
        refusal = ""
        regions = request.accepted.regions
        if not self._tables.send_gate.usable(service.name, regions, now):
            refusal = self._tables.send_gate.refusal_reason(
                service.name, regions
            )
        elif usable and choice is None:
            min_service_s = engine_routing.min_service_s(
                needs, model, len(usable)
            )
            if needs.time_left_s < MIN_TIME_LEFT_RATIO * min_service_s:
                refusal = "too_late"
        return Preview(usable, candidates, choice, refusal)

    def _choose_engines(
        self,
        needs: engine_routing.RequestNeeds,
        candidates: list[engine_routing.Candidate],
        model: fleet_config.EngineCostModel,
        now: float,
    ) -> engine_routing.Choice | None:
        """Chooses engines that serve a request on time.

        A prompt is split over engines on probation, cold or with a limit only
        if the others have no room for it.
        """
        choice = engine_routing.choose(needs, candidates, model, now)
        if choice is None or not choice.helpers:
            return choice
        preferred = candidates
        if self._depends_on_probation(choice, now):
            preferred = [
                candidate
                for candidate in preferred
                if not self._tables.probation.contains(candidate.engine, now)
            ]
        if self._depends_on_limits(choice, now):
            preferred = [
                candidate
                for candidate in preferred
                if not self._tables.send_gate.is_scarce(candidate.engine, now)
            ]
        if preferred is candidates:
            return choice
        return engine_routing.choose(
            needs, preferred, model, now
        ) or self._if_helpers_take_it(choice, now)

    def _if_helpers_take_it(
        self, choice: engine_routing.Choice | None, now: float
    ) -> engine_routing.Choice | None:
        """Returns a choice, or None if its helpers are too cold for it."""
        if choice is None or not all(
            self._tables.send_gate.may_help(engine, now)
            for engine in choice.helpers
        ):
            return None
        return choice

    def _depends_on_probation(
        self, choice: engine_routing.Choice, now: float
    ) -> bool:
        """Returns whether a split prompt would wait for an engine on probation.

        A prompt is complete when the slowest of its engines is.
        """
        return any(
            self._tables.probation.contains(engine, now)
            for engine in (choice.engine, *choice.helpers)
        )

    def _depends_on_limits(
        self, choice: engine_routing.Choice, now: float
    ) -> bool:
        """Returns whether a split prompt would use a cold or limited engine.

        A helper gets more than one request for it: its memory is reserved,
        renewed and released.
        """
        return any(
            self._tables.send_gate.is_scarce(engine, now)
            for engine in (choice.engine, *choice.helpers)
        )

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
            lambda engine: (
                self._tables.claims.claim_id_on(engine, now) is not None
            ),
            model,
        )
        if choice is None:
            return
        claim = engine_claims.Claim(
            self._host.new_run_id(), choice.engines, choice.ttl_s
        )
        self._own_claims[request] = claim.claim_id
        self._tables.claims.add(claim, now)
        self._host.listener.claim_added(claim)
        logs.decision(
            _LOG,
            "engines claimed",
            request_id=request.req.request_id,
            claim=claim.claim_id,
            upstreams=choice.engines,
            ttl_s=round(choice.ttl_s, 4),
            candidates=len(usable),
            list_version=self._tables.members.version,
            target_left_s=round(needs.target_left_s, 4),
        )

    def _own_claim(self, request: exchange.Exchange, now: float) -> str | None:
        """Returns the id of a request's claim, or None if it has expired."""
        claim_id = self._own_claims.get(request)
        if claim_id is not None and not self._tables.claims.is_current(
            claim_id, now
        ):
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
        self._hopeless_since.pop(request, None)
        self._held_back.discard(request)
        handle = self._staggered.pop(request, None)
        if handle is not None:
            handle.cancel()
        claim_id = self._own_claims.pop(request, None)
        if claim_id is not None:
            self._tables.claims.remove(claim_id)
            self._host.listener.claim_removed(claim_id)

    def _refuse_waiting(
        self,
        request: exchange.Exchange,
        reason: str,
        retry_after_s: float = accept.OVERLOAD_RETRY_AFTER_S,
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
                self._tables.load.state(entry.upstream_id),
                engine_probation.SLOTS_ON_PROBATION
                if self._tables.probation.contains(entry.upstream_id, now)
                else min(entry.slots, model.slots),
                self._tables.choice.latency_s(entry),
                self._tables.choice.preference(entry.upstream_id),
                self._tables.slowdowns.slowdown(entry.upstream_id, now),
            )
            for entry in self._tables.choice.usable(service.name, request, now)
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
            self._host.new_run_id(),
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
        state = self._tables.load.state(choice.engine)
        logs.decision(
            _LOG,
            "route",
            request_id=request.req.request_id,
            run=run.run_id,
            upstream=choice.engine,
            helpers=choice.helpers,
            candidates=candidates,
            excluded=self._tables.send_gate.excluded(
                request.accepted.service.name, request.accepted.regions
            ),
            list_version=self._tables.members.version,
            running=len(state.runs),
            first_event_s=round(choice.first_event_s, 4),
            target_left_s=round(needs.target_left_s, 4),
            on_time=choice.on_time,
            on_probation=self._tables.probation.contains(choice.engine, now),
            waited_s=round(now - request.waiting_since, 4),
        )
        metrics.WAIT_SECONDS.observe(now - request.waiting_since)
        self._host.count_sends([choice.engine, *choice.helpers], now)
        self._tables.load.add_run(run, now)
        self._host.listener.run_started(run)
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
        members = self._tables.members
        entry = members.get(run.engine)
        helpers = [members.get(helper) for helper in run.helpers]
        now = clock.now()
        if (
            not request.needs_upstream
            or entry is None
            # An upstream may have said so, or its data centre been evacuated,
            # while memory was reserved.
            or not self._tables.send_gate.may_send(
                entry, request.accepted.regions, now
            )
            or not all(
                helper is not None
                and self._tables.send_gate.may_send(
                    helper, request.accepted.regions, now
                )
                for helper in helpers
            )
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
            self._tables.probation.contains(run.engine, now),
            entry.started_at_ms,
        )
        self._tables.slowdowns.expect_first_event(
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
            entry = self._tables.members.get(helper)
            if entry is None or not self._tables.send_gate.is_open(
                entry, request.accepted.regions
            ):
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
        self._tables.load.remove_run(run.run_id)
        self._host.listener.run_ended(run.run_id)
        self._holds.release(run.run_id)
        if request.needs_upstream:
            self._host.place_request(request)

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
            engines = len(
                self._tables.send_gate.usable(
                    service.name, request.accepted.regions, now
                )
            )
            service_s = engine_routing.min_service_s(
                needs, service.engine, engines
            )
            if not request.response_started:
                service_s *= STOPPING_SERVICE_FACTOR
            wait_s = work_ahead_s[service.name] / max(engines, 1)
            if (
                now + needs.time_left_s > self._host.serve_until
                and now + wait_s + service_s > self._host.serve_until
            ):
                self._refuse_waiting(
                    request,
                    accept.STOPPING,
                    self._host.stopping_retry_after_s(
                        max(request.time_left_s(now), 0.0)
                    ),
                )
            else:
                work_ahead_s[service.name] += engine_routing.min_prefill_s(
                    needs, service.engine, 1
                )

    def _refuse_limited(self, request: exchange.Exchange, now: float) -> bool:
        """Refuses a waiting request that limits keep in the queue too long."""
        service = request.accepted.service.name
        ahead = sum(
            other.accepted.service.name == service
            and other.waiting_since < request.waiting_since
            for other in self._waiting
        )
        wait_s = self._tables.send_gate.queue_wait_s(
            service,
            request.accepted.regions,
            ahead,
            self._host.listener.gateway_count(),
            now,
        )
        needs = request.engine_needs(now)
        if wait_s <= max(min(needs.abandon_left_s, needs.time_left_s), 0.0):
            return False
        retry_after_s = self._tables.send_gate.retry_after_s(
            service,
            request.accepted.regions,
            wait_s,
            request.time_left_s(now),
            now,
        )
        self._refuse_waiting(request, accept.LIMITED, retry_after_s)
        return True


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
