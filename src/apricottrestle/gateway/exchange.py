"""The handling of one accepted request, until its response has ended.

An exchange sends the request to an upstream and forwards the response to the
caller. After a failed attempt, `retry_policy` chooses the next action. An
attempt that has fallen silent stays open beside a second one: whichever
continues first serves the caller, and the other is cancelled. A stream that
hasn't begun is moved once a second engine has accepted it.

Invariants: the caller gets exactly one complete response, error response or
closed connection. Each event is forwarded whole, in order and once. No upstream
call outlives its exchange. A request that isn't repeatable is at one upstream
at a time.
"""

import asyncio
import logging
from typing import Final

from apricottrestle import logs, metrics
from apricottrestle.gateway import (
    accept,
    calls,
    clock,
    crash_evidence,
    engine_routing,
    event_stream,
    exchange_host,
    retry_policy,
    upstream_response,
)

MIN_ABANDON_S: Final = 2.0
ABANDON_TARGET_FACTOR: Final = 4.0
ABANDON_GAP_FACTOR: Final = 8.0
"""A caller abandons a stream when no event arrives for the longest of:
MIN_ABANDON_S, ABANDON_TARGET_FACTOR times the target time to the first event,
and ABANDON_GAP_FACTOR times the route's target gap between events."""

STALL_TIMEOUT_RATIO: Final = 0.4
"""Fraction of the caller's abandon timeout after which a silent stream gets a
second attempt, so that another engine can respond before the caller leaves."""

STALL_RECHECK_S: Final = 0.2
"""Interval at which a stalled attempt is checked again while the retry budget
is used up."""

PLAIN_STALL_RATIO: Final = 0.4
"""Fraction of the time left after which a repeatable request to a plain service
gets a second attempt if its response isn't complete; leaves more time for the
second attempt than the first one had."""

ACCEPTED_S: Final = 0.1
"""Time without a refusal after which a second engine counts as having accepted
a request; several round trips."""

PROBATION_STALL_RATIO: Final = 0.5
"""Fraction of the target time to the first event after which a request at an
engine on probation gets a second attempt, which can still be on time."""

PROBATION_STALL_MIN_S: Final = 0.05
"""Time by which the first event may exceed twice its estimate on an engine on
probation: about one scheduling pass."""

MAX_UNREAD_EVENT_BYTES: Final = 1024 * 1024
"""Bytes of a stream that may wait for its caller to read; thousands of events.
Beyond it the stream ends as incomplete, and the caller can resume it."""

_HTTP_OK: Final = 200
_LOG: Final = logging.getLogger(__name__)


class Exchange(upstream_response.ResponseOwner):
    """The state of one accepted request and its upstream attempts.

    Attributes:
        req: The caller's request.
        accepted: Route, service, priority and deadline of the request.
        last_event_id: Id of the last event forwarded to the caller, or of the
            event after which the caller resumes the stream.
        tried_upstreams: Ids of the upstreams of all attempts, in order.
        waiting_since: Monotonic time since which the request has waited for an
            upstream.
    """

    def __init__(
        self,
        host: exchange_host.ExchangeHost,
        req: calls.CallerRequest,
        accepted: accept.Accepted,
        responder: calls.Responder,
    ) -> None:
        """Creates an exchange; `start` begins its processing."""
        self.req = req
        self.accepted = accepted
        self.last_event_id = req.resume_after
        self.tried_upstreams: list[str] = []
        self.waiting_since = req.arrived_at
        self.account = host.account
        self._host = host
        self._responder = responder
        self._history = retry_policy.AttemptHistory(0, 0, False, False)
        self._current: upstream_response.UpstreamResponse | None = None
        self._stalled: upstream_response.UpstreamResponse | None = None
        self._error_response: upstream_response.UpstreamResponse | None = None
        self._first_event_at: float | None = None
        self._last_event_at = 0.0
        self._longest_gap_s = 0.0
        self._done = False
        self._stall_timer: clock.AnswerTimer | None = None

    @property
    def done(self) -> bool:
        """Whether the exchange has ended."""
        return self._done

    @property
    def response_started(self) -> bool:
        """Whether part of a response has been forwarded to the caller."""
        return self._history.response_started

    @property
    def is_beginning(self) -> bool:
        """Whether no answer under way has got past its beginning."""
        return all(response.is_beginning for response in self._open_responses())

    @property
    def needs_upstream(self) -> bool:
        """Whether the request is to be sent to an upstream, or again."""
        return not self._done and self._current is None

    @property
    def stalled_upstream(self) -> str | None:
        """Upstream of an open attempt that has fallen silent, or None."""
        if self._stalled is None:
            return None
        return self._stalled.attempt.upstream_id

    def _open_responses(self) -> list[upstream_response.UpstreamResponse]:
        return [
            response
            for response in (self._stalled, self._current)
            if response is not None
        ]

    def time_left_s(self, now: float) -> float:
        """Returns the time until the request's deadline."""
        return self.accepted.deadline - now

    def engine_needs(self, now: float) -> engine_routing.RequestNeeds:
        """Returns the request's token counts and time limits for routing."""
        size = self.req.size or calls.PromptSize(0, 0, None)
        route = self.accepted.route
        if self._history.response_started:
            # A resumed stream has to meet the target gap between events, not
            # the target time to the first event.
            target_left_s = self.waiting_since + route.event_gap_target_s - now
        else:
            target_left_s = self.req.arrived_at + route.target_s - now
        return engine_routing.RequestNeeds(
            size.prompt_tokens,
            max(expected_output_tokens(size), 1),
            target_left_s,
            self.waiting_since + self._abandon_timeout_s() - now,
            self.time_left_s(now),
            route.event_gap_target_s,
        )

    def start(self) -> None:
        """Starts the deadline timer and requests an upstream."""
        self._responder.on_close(self._on_caller_disconnected)
        left_s = self.time_left_s(clock.now())
        self._deadline_timer: clock.AnswerTimer | None = None
        if left_s < float("inf"):
            self._deadline_timer = clock.AnswerTimer(
                max(left_s, 0.0), self._on_deadline
            )
        self._host.place_request(self)

    def send_to(
        self,
        attempt: exchange_host.Attempt,
        *,
        priority: int,
        helpers: tuple[str, ...],
    ) -> None:
        """Sends the request to an upstream.

        Args:
            attempt: The upstream and the id of the attempt.
            priority: Priority in the upstream's queue, 0 to 9.
            helpers: Addresses of engines that prefill parts of the prompt.
        """
        if self._done:
            return
        now = clock.now()
        # An answer to an earlier attempt at this upstream bears the same id.
        has_new_connection = (
            not self.accepted.route.repeatable
            or attempt.upstream_id in self.tried_upstreams
        )
        self.tried_upstreams.append(attempt.upstream_id)
        response = self._current = upstream_response.UpstreamResponse(
            self, attempt, has_new_connection=has_new_connection
        )
        team = self.accepted.team
        call = calls.UpstreamCall(
            self.req,
            attempt.upstream_id,
            attempt.address,
            max(self.time_left_s(now), 0.001),
            team.name if team is not None else None,
            priority,
            helpers,
            self.last_event_id,
            has_new_connection,
        )
        if self._stalled is not None:
            self._arm_acceptance_timer(response)
        if self.is_stream:
            self._arm_first_event_timer(attempt)
        elif self.accepted.route.repeatable:
            self._arm_stall_timer(PLAIN_STALL_RATIO * self.time_left_s(now))
        response.transfer = self._host.start_call(response, call)

    def refuse(
        self, status: int, reason: str, retry_after_s: float | None
    ) -> None:
        """Ends the exchange, as no upstream can be found for it.

        While an attempt that has fallen silent is open, waits for that.
        """
        if self._done:
            return
        if self._stalled is not None and self._current is None:
            self._return_to_stalled(reason)
            return
        self.end_with_error(status, reason, retry_after_s)

    def end_with_error(
        self, status: int, reason: str, retry_after_s: float | None
    ) -> None:
        """Ends the exchange with an error response from the gateway.

        If part of a response has been forwarded, closes the connection
        instead. Status 503 promises that the request has not run, so it
        becomes 502 when an attempt may have run.
        """
        if self._done:
            return
        if self._history.response_started:
            self._responder.abort()
            self._finish("aborted", reason)
            return
        may_have_run = self._history.may_have_run or bool(
            self._open_responses()
        )
        if status == accept.UNAVAILABLE and may_have_run:
            status, retry_after_s = 502, None
        self._responder.refuse(status, reason, retry_after_s)
        self._finish("refused" if status == 503 else "failed", reason)

    def _return_to_stalled(self, reason: str) -> None:
        """Waits for a silent attempt again, as there is no other one."""
        stalled = self._stalled
        assert stalled is not None
        self._stalled, self._current = None, stalled
        logs.decision(
            _LOG,
            "send goes on",
            request_id=self.req.request_id,
            upstream=stalled.attempt.upstream_id,
            reason=reason,
            time_left_s=round(self.time_left_s(clock.now()), 3),
        )
        if self.is_stream:
            self._arm_event_timer()

    # Responses of upstreams.

    def on_response_head(
        self, response: upstream_response.UpstreamResponse
    ) -> None:
        """See ResponseOwner.on_response_head."""
        assert response.head is not None
        self._host.on_response_head(response.attempt, response.head)

    def on_response_events(
        self,
        response: upstream_response.UpstreamResponse,
        events: list[event_stream.Event],
    ) -> None:
        """See ResponseOwner.on_response_events."""
        head = response.head
        assert head is not None
        was_stalled = response is self._stalled
        self._settle_on(response)
        for event in events:
            if event.event_id is not None:
                self.last_event_id = event.event_id
        now = clock.now()
        gap_s = now - self._last_event_at
        if not self._history.response_started:
            self._history = self._history._replace(response_started=True)
            self.begun_type = head.media_type
            self._responder.begin(head.status, head.headers)
            self._first_event_at = now
            metrics.FIRST_TOKEN_SECONDS.labels(
                str(self.accepted.priority)
            ).observe(now - self.req.arrived_at)
        else:
            self._longest_gap_s = max(self._longest_gap_s, gap_s)
        self._last_event_at = now
        gap_to_report_s = None
        if response.event_count == 0:
            self._host.on_first_event(self, response.attempt)
        elif len(events) == 1 and not was_stalled:
            # A silence isn't the pace of an engine.
            gap_to_report_s = gap_s
        self._host.on_event(self, response.attempt, gap_to_report_s)
        was_beginning = response.is_beginning
        response.event_count += len(events)
        if was_beginning and not response.is_beginning:
            self._host.on_answer_begun(self)
        self._responder.write(b"".join(event.data for event in events))
        if self._responder.unread_bytes > MAX_UNREAD_EVENT_BYTES:
            self._responder.abort()
            self._finish("aborted", "caller_reads_slowly")
            return
        self._arm_event_timer()

    def _settle_on(self, response: upstream_response.UpstreamResponse) -> None:
        """Chooses the attempt that serves the caller; cancels the other one."""
        stalled, current = self._stalled, self._current
        if stalled is None:
            return
        self._stalled, self._current = None, response
        if response is stalled:
            loser, result = current, retry_policy.AttemptResult.WITHDRAWN
        else:
            loser, result = stalled, retry_policy.AttemptResult.STALLED
        logs.decision(
            _LOG,
            "second send settled",
            request_id=self.req.request_id,
            upstream=response.attempt.upstream_id,
            cancelled=loser.attempt.upstream_id if loser else None,
            after_s=round(clock.now() - response.attempt.started_at, 4),
            outcome="first goes on" if response is stalled else "moved",
        )
        if loser is None:
            self._host.withdraw_request(self)
            return
        self._history = self._history._replace(
            attempts=self._history.attempts + 1, may_have_run=True
        )
        loser.drop()
        metrics.SENDS.labels(result.value).inc()
        self._host.on_attempt_ended(self, loser.attempt, result, None)

    def on_response_end(
        self,
        response: upstream_response.UpstreamResponse,
        end: calls.EndKind,
        detail: str,
    ) -> None:
        """See ResponseOwner.on_response_end."""
        if response is self._current:
            self._cancel_stall_timer()
        if response.may_be_cut(end) and not self._may_drop(response, end):
            self._host.probe_upstream(
                response.attempt,
                lambda probed: self._on_probed(response, probed),
            )
            return
        self._end_attempt(response, end, detail)

    def _may_drop(
        self, response: upstream_response.UpstreamResponse, end: calls.EndKind
    ) -> bool:
        """Returns whether an error is followed by another attempt.

        Its body isn't passed on then, and a question would only delay that.
        """
        route = self.accepted.route
        return (
            response.result(end) is retry_policy.AttemptResult.FAILED
            and route.repeatable
            and self._history.attempts + 1 < route.max_attempts
            and self.time_left_s(clock.now()) > 0
            and self._host.has_retry(self)
        )

    def _on_probed(
        self,
        response: upstream_response.UpstreamResponse,
        probed: calls.ProbeResult,
    ) -> None:
        """Ends an attempt whose upstream was asked whether it is running.

        Only that shows that its answer is whole.
        """
        if response.ended:
            return
        self._end_attempt(
            response,
            "complete" if probed == "running" else "broken",
            f"upstream {probed}",
        )

    def _end_attempt(
        self,
        response: upstream_response.UpstreamResponse,
        end: calls.EndKind,
        detail: str,
    ) -> None:
        """Reports the end of an attempt, and chooses what follows."""
        attempt, head = response.attempt, response.head
        result = response.result(end)
        if result is None:
            self._settle_on(response)
        logs.decision(
            _LOG,
            "send ended",
            request_id=self.req.request_id,
            upstream=attempt.upstream_id,
            end=end,
            detail=detail,
            status=head.status if head else None,
            framed=head.framed if head else None,
            limit=head.limit.requests_per_s if head and head.limit else None,
            events=response.event_count,
            after_s=round(clock.now() - attempt.started_at, 4),
            outcome=result.value if result else "served",
        )
        metrics.SENDS.labels(result.value if result else "served").inc()
        self._report_progress(response, end, result)
        was_stalled = response is self._stalled
        if was_stalled:
            self._stalled = None
        else:
            self._current = None
        response.ended = True
        fault = head.fault_address if head is not None else None
        self._host.on_attempt_ended(self, attempt, result, fault)
        if result is None:
            self._complete_response(head, response.body)
            # Only now, as answers that wait for room would get it first.
            response.close()
            return
        self._record_failure(result, response)
        if was_stalled:
            # The second attempt goes on, or is still to be placed.
            return
        if self._stalled is not None:
            self._return_to_stalled(result.value)
        else:
            self._on_failed_attempt(result)

    def _report_progress(
        self,
        response: upstream_response.UpstreamResponse,
        end: calls.EndKind,
        result: retry_policy.AttemptResult | None,
    ) -> None:
        """Reports what the end of an attempt tells of crashes."""
        head, is_beginning = response.head, response.is_beginning
        has_begun = head is not None and head.status == _HTTP_OK
        if result is None:
            # An answer without a length may be cut; its upstream has been asked
            # whether it still runs.
            if head is not None and has_begun and head.framed and is_beginning:
                self._host.on_answer_begun(self)
            if has_begun:
                self._host.on_answered(self)
        elif result is retry_policy.AttemptResult.LOST and end in (
            "broken",
            "complete",
        ):
            self._host.on_connection_lost(
                self,
                response.attempt,
                crash_evidence.Suspect(
                    crash_evidence.parts_of(self.req)
                    if is_beginning
                    else (crash_evidence.request_part(self.req),),
                    has_begun or not self.is_stream,
                    not is_beginning,
                ),
            )

    def _complete_response(
        self, head: calls.ResponseHead | None, body: list[bytes]
    ) -> None:
        assert head is not None
        if self.is_stream and head.status == _HTTP_OK:
            if not self._history.response_started:
                self._responder.begin(head.status, head.headers)
        else:
            self._write_response(head, body)
        self._responder.finish()
        self._finish("served", str(head.status))

    def _write_response(
        self, head: calls.ResponseHead, body: list[bytes]
    ) -> None:
        self._responder.begin(
            head.status, head.headers, sum(len(part) for part in body)
        )
        for part in body:
            self._responder.write(part)

    def _record_failure(
        self,
        result: retry_policy.AttemptResult,
        response: upstream_response.UpstreamResponse,
    ) -> None:
        history = self._history
        if result is retry_policy.AttemptResult.NOT_SENT:
            history = history._replace(
                failed_connects=history.failed_connects + 1
            )
        else:
            history = history._replace(attempts=history.attempts + 1)
        if result in (
            retry_policy.AttemptResult.LOST,
            retry_policy.AttemptResult.FAILED,
        ):
            history = history._replace(may_have_run=True)
        if result is retry_policy.AttemptResult.FAILED:
            if self._error_response is not None:
                self._error_response.close()
            self._error_response = response
        else:
            response.close()
        self._history = history

    def _on_failed_attempt(self, result: retry_policy.AttemptResult) -> None:
        history = self._history
        now = clock.now()
        action_with_budget = retry_policy.choose_action(
            result,
            history,
            self.accepted.route,
            time_left=self.time_left_s(now) > 0,
            has_budget=True,
        )
        has_budget = True
        if (
            action_with_budget is retry_policy.NextAction.SEND_AGAIN
            and result is not retry_policy.AttemptResult.NOT_SENT
        ):
            has_budget = self._host.consume_retry(self)
        action = retry_policy.choose_action(
            result,
            history,
            self.accepted.route,
            time_left=self.time_left_s(now) > 0,
            has_budget=has_budget,
        )
        logs.decision(
            _LOG,
            "after failed send",
            request_id=self.req.request_id,
            result=result.value,
            sends=history.attempts,
            unreached=history.failed_connects,
            has_budget=has_budget,
            time_left_s=round(self.time_left_s(now), 3),
            outcome=action.value,
        )
        self._apply_action(action)

    def _apply_action(self, action: retry_policy.NextAction) -> None:
        match action:
            case retry_policy.NextAction.SEND_AGAIN:
                metrics.RETRIES.labels("failed_send").inc()
                self.waiting_since = clock.now()
                self._host.place_request(self)
            case retry_policy.NextAction.PASS_ON if (
                self._error_response is not None
            ):
                head = self._error_response.head
                assert head is not None
                self._write_response(head, self._error_response.body)
                self._responder.finish()
                self._finish("passed_on", str(head.status))
            case retry_policy.NextAction.REFUSE:
                self.refuse(
                    accept.UNAVAILABLE,
                    "not_run",
                    self._host.retry_after_s(self),
                )
            case retry_policy.NextAction.ABORT:
                self._responder.abort()
                self._finish("aborted", "upstream_lost")
            case _:
                self.refuse(502, "upstream_lost", None)

    # Disconnects and timeouts.

    def _on_caller_disconnected(self) -> None:
        if not self._done:
            self._finish("caller_left", "")

    def _on_deadline(self) -> None:
        if self._done:
            return
        if self._history.response_started:
            self._responder.abort()
        elif not self._open_responses() and not self._history.may_have_run:
            self._responder.refuse(accept.UNAVAILABLE, "no_time_left")
        else:
            self._responder.refuse(504, "timeout")
        self._finish("timeout", "")

    def _arm_first_event_timer(self, attempt: exchange_host.Attempt) -> None:
        """Starts the timer that detects an attempt without a first event."""
        timeout_s = max(
            STALL_TIMEOUT_RATIO * self._abandon_timeout_s(),
            2 * attempt.first_event_s,
        )
        if attempt.on_probation and not self._history.response_started:
            timeout_s = min(
                timeout_s,
                max(
                    PROBATION_STALL_RATIO * self.accepted.route.target_s,
                    2 * attempt.first_event_s + PROBATION_STALL_MIN_S,
                ),
            )
        self._arm_stall_timer(timeout_s)

    def _arm_acceptance_timer(
        self, second: upstream_response.UpstreamResponse
    ) -> None:
        """Moves a stream that hasn't begun once a second engine has it.

        The first engine has it in its queue, or still reads the prompt: it
        would go on with that beside the second one.
        """

        def settle() -> None:
            if (
                self._stalled is not None
                and self._current is second
                and not self._history.response_started
            ):
                self._settle_on(second)

        if self.is_stream and not self._history.response_started:
            asyncio.get_running_loop().call_later(ACCEPTED_S, settle)

    def _arm_event_timer(self) -> None:
        """Restarts the timer that detects a stream that has fallen silent."""
        gap_s = self.accepted.route.event_gap_target_s
        self._arm_stall_timer(
            STALL_TIMEOUT_RATIO * max(MIN_ABANDON_S, ABANDON_GAP_FACTOR * gap_s)
        )

    def _arm_stall_timer(self, timeout_s: float) -> None:
        self._cancel_stall_timer()
        self._stall_timer = clock.AnswerTimer(timeout_s, self._on_stall)

    def _abandon_timeout_s(self) -> float:
        """Returns the time without an event after which the caller leaves."""
        route = self.accepted.route
        return max(
            MIN_ABANDON_S,
            ABANDON_TARGET_FACTOR * route.target_s,
            ABANDON_GAP_FACTOR * route.event_gap_target_s,
        )

    def _cancel_stall_timer(self) -> None:
        if self._stall_timer is not None:
            self._stall_timer.cancel()
            self._stall_timer = None

    def _on_stall(self) -> None:
        """Looks for a second upstream beside an attempt that is silent."""
        self._stall_timer = None
        current = self._current
        route = self.accepted.route
        may_retry = (
            route.repeatable and self._history.attempts + 1 < route.max_attempts
        )
        if (
            self._done
            or current is None
            or current.transfer is None
            or self._stalled is not None
            or not may_retry
        ):
            return
        self._host.on_stalled(self, current.attempt)
        has_budget = self._host.consume_retry(self)
        now = clock.now()
        logs.decision(
            _LOG,
            "send stalled",
            request_id=self.req.request_id,
            upstream=current.attempt.upstream_id,
            events=current.event_count,
            after_s=round(now - current.attempt.started_at, 4),
            has_budget=has_budget,
            outcome="second send" if has_budget else "waits",
        )
        if not has_budget:
            self._arm_stall_timer(STALL_RECHECK_S)
            return
        metrics.RETRIES.labels("stalled_send").inc()
        self._stalled, self._current = current, None
        self.waiting_since = now
        self._host.place_request(self)

    def _finish(self, outcome: exchange_host.Outcome, detail: str) -> None:
        self._done = True
        self._cancel_stall_timer()
        if self._deadline_timer is not None:
            self._deadline_timer.cancel()
        if self._error_response is not None:
            self._error_response.close()
        # References in circles would keep the request until a collection.
        self._deadline_timer = self._error_response = None
        unfinished, stalled = self._open_responses(), self._stalled
        self._stalled = self._current = None
        for response in unfinished:
            response.drop()
            self._host.on_attempt_ended(
                self,
                response.attempt,
                retry_policy.AttemptResult.STALLED
                if response is stalled
                else None,
                None,
            )
        after_s = clock.now() - self.req.arrived_at
        metrics.ANSWER_SECONDS.labels(
            self.accepted.route.kind, outcome
        ).observe(after_s)
        logs.decision(
            _LOG,
            "request ended",
            request_id=self.req.request_id,
            route=self.accepted.route.name,
            outcome=outcome,
            detail=detail,
            upstreams=self.tried_upstreams,
            last_event_id=self.last_event_id,
            first_event_s=_elapsed_s(self._first_event_at, self.req.arrived_at),
            longest_gap_s=round(self._longest_gap_s, 4),
            after_s=round(after_s, 4),
        )
        self._host.on_exchange_ended(self, outcome)


def expected_output_tokens(size: calls.PromptSize) -> int:
    """Returns the estimated number of tokens that a request generates."""
    if size.expected_output_tokens is None:
        return size.max_output_tokens
    return min(size.expected_output_tokens, size.max_output_tokens)


def _elapsed_s(at: float | None, start: float) -> float | None:
    return None if at is None else round(at - start, 4)
