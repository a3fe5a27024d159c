"""Explains where a request would go now, and why, without sending it."""

import random
from collections.abc import Callable

from apricottrestle import route_query
from apricottrestle.gateway import (
    accept,
    calls,
    engine_load,
    engine_queue,
    engine_routing,
    exchange,
    fleet_config,
    fleet_state,
    send_gate,
    service_routing,
    upstream_health,
    upstream_list,
)

PlainCandidates = Callable[
    [str, exchange.Exchange, float], list[service_routing.Candidate]
]


class NoResponder(calls.Responder):
    """Takes the place of a caller; a request that is explained has none."""

    def on_close(self, callback: Callable[[], None]) -> None:
        """See Responder.on_close."""

    def begin(
        self, status: int, headers: calls.Headers, length: int | None = None
    ) -> None:
        """See Responder.begin."""

    def write(self, data: bytes) -> None:
        """See Responder.write."""

    def finish(self) -> None:
        """See Responder.finish."""

    def refuse(
        self, status: int, message: str, retry_after_s: float | None = None
    ) -> None:
        """See Responder.refuse."""

    def abort(self) -> None:
        """See Responder.abort."""


def make_request(query: route_query.Query, now: float) -> calls.CallerRequest:
    """Returns a request with the properties of a query."""
    size = None
    if query.prompt_tokens is not None:
        size = calls.PromptSize(query.prompt_tokens, query.output_tokens, None)
    return calls.CallerRequest(
        "explained",
        "POST",
        query.path,
        query.host,
        (),
        b"",
        query.key,
        None,
        now,
        None,
        size,
    )


class Explainer:
    """Explains what a gateway would do with requests; changes nothing."""

    def __init__(
        self,
        state: fleet_state.FleetState,
        gate: send_gate.SendGate,
        health: upstream_health.UpstreamHealth,
        queue: engine_queue.EngineQueue,
        load: engine_load.EngineLoad,
        plain_candidates: PlainCandidates,
    ) -> None:
        """Creates an explainer.

        Args:
            state: Configuration and upstreams.
            gate: The upstreams that may get requests, and when.
            health: The upstreams that are set aside.
            queue: The queue of model requests.
            load: Runs on the engines.
            plain_candidates: Returns the candidates of a plain service.
        """
        self._state = state
        self._gate = gate
        self._health = health
        self._queue = queue
        self._load = load
        self._plain_candidates = plain_candidates

    def explain(
        self,
        request: exchange.Exchange | None,
        refused: accept.Refused | None,
        now: float,
    ) -> route_query.Explanation:
        """Explains a request that was accepted, or its refusal.

        Args:
            request: The request, not started; None if it is refused.
            refused: The refusal, or None.
            now: Monotonic time in seconds.
        """
        result = route_query.Explanation(
            outcome="refuse",
            reason=refused.reason if refused else "",
            status=refused.status if refused else 0,
            route="",
            service="",
            team="",
            priority=None,
            chosen="",
            helpers=[],
            wait_s=None,
            on_time=False,
            config_version=self._state.config_version,
            list_version=self._state.members.version,
            upstreams=[],
        )
        if request is None:
            return result
        accepted = request.accepted
        result["route"] = accepted.route.name
        result["service"] = accepted.service.name
        result["team"] = accepted.team.name if accepted.team else ""
        result["priority"] = accepted.priority
        if accepted.service.engine is None or request.req.size is None:
            self._explain_plain(request, result, now)
        else:
            self._explain_engines(request, accepted.service.engine, result, now)
        return result

    def _explain_plain(
        self,
        request: exchange.Exchange,
        result: route_query.Explanation,
        now: float,
    ) -> None:
        service = result["service"]
        candidates = {
            row.upstream_id: row
            for row in self._plain_candidates(service, request, now)
        }
        free = [row for row in candidates.values() if not row.is_full]
        best = service_routing.choose(free, random.Random())
        for entry in self._entries(service):
            row = self._row(entry, request, set(candidates), now)
            candidate = candidates.get(entry.upstream_id)
            if candidate is not None:
                row["running"] = candidate.outstanding
                row["excluded"] = "full" if candidate.is_full else ""
            result["upstreams"].append(row)
        if best is not None:
            result["outcome"], result["on_time"] = "send", True
            result["chosen"] = best.upstream_id
            result["wait_s"] = service_routing.expected_latency_s(best)
            return
        result["status"] = accept.UNAVAILABLE
        regions = request.accepted.regions
        result["wait_s"] = limit_wait_s = self._gate.wait_s(
            service, regions, now
        )
        if candidates:
            result["reason"] = "full"
        elif limit_wait_s > 0:
            result["reason"] = accept.LIMITED
        else:
            result["reason"] = self._gate.refusal_reason(service, regions)

    def _explain_engines(
        self,
        request: exchange.Exchange,
        model: fleet_config.EngineCostModel,
        result: route_query.Explanation,
        now: float,
    ) -> None:
        service = result["service"]
        preview = self._queue.preview(request, model, now)
        usable = {candidate.engine for candidate in preview.usable}
        candidates = {
            candidate.engine: candidate for candidate in preview.candidates
        }
        needs = request.engine_needs(now)
        for entry in self._entries(service):
            row = self._row(entry, request, usable, now)
            row["running"] = len(self._load.state(entry.upstream_id).runs)
            candidate = candidates.get(entry.upstream_id)
            if candidate is not None:
                alone = engine_routing.choose(needs, [candidate], model, now)
                if alone is None:
                    row["excluded"] = "would make a request late"
                else:
                    row["first_event_s"] = alone.first_event_s
            elif entry.upstream_id in usable:
                row["excluded"] = "claimed by a waiting request"
            result["upstreams"].append(row)
        choice = preview.choice
        if choice is not None:
            result["outcome"], result["on_time"] = "send", choice.on_time
            result["chosen"] = choice.engine
            result["helpers"] = list(choice.helpers)
            result["wait_s"] = choice.first_event_s
        elif preview.refusal:
            result["reason"] = preview.refusal
            result["status"] = accept.UNAVAILABLE
        else:
            result["outcome"] = "wait"
            result["reason"] = (
                "no engine serves it on time now"
                if usable
                else "limits or pauses of the upstreams"
            )
            if not usable:
                result["wait_s"] = self._gate.wait_s(
                    service, request.accepted.regions, now
                )

    def _entries(self, service: str) -> list[upstream_list.UpstreamEntry]:
        return sorted(
            entry
            for entry in self._state.members.entries()
            if entry.service == service
        )

    def _row(
        self,
        entry: upstream_list.UpstreamEntry,
        request: exchange.Exchange,
        chosen_from: set[str],
        now: float,
    ) -> route_query.UpstreamRow:
        """Returns a row; upstreams outside of `chosen_from` are excluded."""
        row = route_query.UpstreamRow(
            upstream=entry.upstream_id,
            data_centre=entry.data_centre,
            excluded="",
            wait_s=0.0,
            running=0,
            first_event_s=None,
        )
        if entry.upstream_id in chosen_from:
            return row
        regions = request.accepted.regions
        if entry not in self._state.members.usable(entry.service):
            row["excluded"] = "draining" if entry.draining else "lapsed"
            row["wait_s"] = None
        elif self._gate.is_evacuated(entry):
            row["excluded"], row["wait_s"] = "evacuated", None
        elif not self._gate.is_open(entry, regions):
            row["excluded"], row["wait_s"] = "outside the regions", None
        elif entry not in self._gate.usable(entry.service, regions, now):
            row["excluded"], row["wait_s"] = "leaves", None
        elif entry not in self._gate.allowed(entry.service, regions, now):
            row["excluded"] = "limit or pause"
            row["wait_s"] = self._gate.pause_s(entry, now)
        elif self._health.is_ejected(entry.upstream_id, now):
            row["excluded"], row["wait_s"] = "set aside after failures", None
        else:
            row["excluded"], row["wait_s"] = "not chosen for this route", None
        return row
