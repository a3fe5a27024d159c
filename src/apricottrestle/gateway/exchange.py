"""The handling of one accepted request, until its response has ended.

An exchange sends the request to one upstream at a time and forwards the
response to the caller. After a failed attempt, `retry_policy` chooses the next
action.

Invariants: the caller gets exactly one complete response, error response or
closed connection. Each event is forwarded whole, in order and once. No upstream
call outlives its exchange.
"""

import asyncio
import logging
from typing import Final, Literal

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
)

MIN_ABANDON_S: Final = 2.0
ABANDON_TARGET_FACTOR: Final = 4.0
ABANDON_GAP_FACTOR: Final = 8.0
"""A caller abandons a stream when no event arrives for the longest of:
MIN_ABANDON_S, ABANDON_TARGET_FACTOR times the target time to the first event,
and ABANDON_GAP_FACTOR times the route's target gap between events."""

STALL_TIMEOUT_RATIO: Final = 0.4
"""Fraction of the caller's abandon timeout after which a silent stream is
moved, so that another engine can respond before the caller leaves."""

STALL_RECHECK_S: Final = 0.2
"""Interval at which a stalled attempt is checked again while the retry budget
is used up: its answer may still come, while a cancelled one fails."""

PLAIN_STALL_RATIO: Final = 0.4
"""Fraction of the time left after which a repeatable request to a plain service
is moved if its response isn't complete; leaves more time for the second attempt
than the first one had."""

PROBATION_STALL_RATIO: Final = 0.5
"""Fraction of the target time to the first event after which a request is moved
from an engine on probation, so that another engine can still be on time."""

PROBATION_STALL_MIN_S: Final = 0.05
"""Time by which the first event may exceed twice its estimate on an engine on
probation: about one scheduling pass."""

BEGINNING_EVENTS: Final = 3
"""Events by which an answer has got past its beginning. An engine that a prompt
crashes ends as it begins to write the answer."""

MAX_PLAIN_BODY_BYTES: Final = 16 * 1024 * 1024
"""Largest non-stream response; it is buffered until it is complete."""

_HTTP_OK: Final = 200
_HTTP_TOO_MANY_REQUESTS: Final = 429
_HTTP_SERVER_ERROR: Final = 500
_LOG: Final = logging.getLogger(__name__)


class Exchange(calls.ResponseSink):
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
        self._host = host
        self._responder = responder
        self._history = retry_policy.AttemptHistory(0, 0, False, False)
        self._attempt: exchange_host.Attempt | None = None
        self._transfer: calls.Transfer | None = None
        self._response_head: calls.ResponseHead | None = None
        self._error_response: tuple[calls.ResponseHead, bytes] | None = None
        self._event_splitter = event_stream.EventSplitter()
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._buffered_bytes = 0
        self._event_count = 0
        self._response_is_valid = False
        self._begun_type = ""
        self._has_new_connection = False
        self._first_event_at: float | None = None
        self._last_event_at = 0.0
        self._longest_gap_s = 0.0
        self._done = False
        self._loop = asyncio.get_running_loop()
        self._stall_timer: asyncio.TimerHandle | None = None

    @property
    def done(self) -> bool:
        """Whether the exchange has ended."""
        return self._done

    @property
    def is_stream(self) -> bool:
        """Whether the route returns an event stream."""
        return self.accepted.route.kind == "stream"

    @property
    def response_started(self) -> bool:
        """Whether part of a response has been forwarded to the caller."""
        return self._history.response_started

    @property
    def is_beginning(self) -> bool:
        """Whether the answer under way hasn't got past its beginning."""
        return self._event_count < BEGINNING_EVENTS

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
        self._deadline_timer: asyncio.TimerHandle | None = None
        if left_s < float("inf"):
            self._deadline_timer = self._loop.call_later(
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
        self._attempt = attempt
        self._response_head = None
        self._event_splitter = event_stream.EventSplitter()
        self._clear_body()
        self._response_is_valid = False
        # An answer to an earlier attempt at this upstream bears the same id.
        self._has_new_connection = (
            not self.accepted.route.repeatable
            or attempt.upstream_id in self.tried_upstreams
        )
        self.tried_upstreams.append(attempt.upstream_id)
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
            self._has_new_connection,
        )
        if self.is_stream:
            self._arm_first_event_timer(attempt)
        elif self.accepted.route.repeatable:
            self._arm_stall_timer(PLAIN_STALL_RATIO * self.time_left_s(now))
        self._transfer = self._host.start_call(self, call)

    def refuse(
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
        may_have_run = self._history.may_have_run or self._attempt is not None
        if status == accept.UNAVAILABLE and may_have_run:
            status, retry_after_s = 502, None
        self._responder.refuse(status, reason, retry_after_s)
        self._finish("refused" if status == 503 else "failed", reason)

    # Responses of upstreams.

    def on_head(self, head: calls.ResponseHead) -> None:
        """See ResponseSink.on_head."""
        if self._done or self._attempt is None:
            return
        self._response_head = head
        self._response_is_valid = self._is_valid_head(head)
        if not self._response_is_valid:
            self._cancel_invalid_response()
            return
        self._host.on_response_head(self._attempt, head)

    def _is_valid_head(self, head: calls.ResponseHead) -> bool:
        """Returns whether the response is for this request and authentic.

        A successful response must name the request, carry the upstream's
        signature and have an unencoded body. On a connection that has served
        other calls, each response must name the request.
        """
        if (
            head.request_id is not None
            and head.request_id != self.req.request_id
        ):
            self._log_dropped_response("answer of another request", head)
            return False
        if head.request_id is None and not self._has_new_connection:
            self._log_dropped_response("answer without an id", head)
            return False
        is_success = 200 <= head.status < 300
        if is_success and (
            not head.signed or head.encoded or head.request_id is None
        ):
            self._log_dropped_response("answer without a valid signature", head)
            return False
        if self._history.response_started and not self._may_follow_begun(head):
            self._log_dropped_response("answer doesn't continue a stream", head)
            return False
        return True

    def _may_follow_begun(self, head: calls.ResponseHead) -> bool:
        """Returns whether an answer may follow one that the caller has in part.

        It continues the stream, or fails so that another attempt may.
        """
        if head.status == _HTTP_OK:
            return head.media_type == self._begun_type
        return _is_failure(head)

    def _cancel_invalid_response(self) -> None:
        """Cancels an upstream call whose response must not be forwarded."""
        self._response_is_valid = False
        if self._transfer is not None:
            self._transfer.cancel()

    def on_data(self, data: bytes) -> None:
        """See ResponseSink.on_data."""
        head = self._response_head
        if self._done or head is None or not self._response_is_valid:
            return
        if self.is_stream and head.status == 200:
            self._on_stream_data(data, head)
            return
        self._body_bytes += len(data)
        if (
            self._body_bytes > MAX_PLAIN_BODY_BYTES
            or not self._host.buffer_bytes(len(data))
        ):
            self._log_dropped_response("body too long", head)
            self._cancel_invalid_response()
            return
        self._buffered_bytes += len(data)
        self._body.append(data)

    def _clear_body(self) -> None:
        """Drops the buffered body and frees its memory."""
        self._host.buffer_bytes(-self._buffered_bytes)
        self._body = []
        self._body_bytes = 0
        self._buffered_bytes = 0

    def _on_stream_data(self, data: bytes, head: calls.ResponseHead) -> None:
        try:
            events = self._event_splitter.feed(data)
        except ValueError as exc:
            self._log_dropped_response(str(exc), head)
            self._cancel_invalid_response()
            return
        chunks = []
        for event in events:
            sequence = _compare_event_ids(event.event_id, self.last_event_id)
            if sequence == "repeated":
                continue
            if sequence == "gap":
                self._log_dropped_response("event out of order", head)
                self._cancel_invalid_response()
                break
            chunks.append(event.data)
            if event.event_id is not None:
                self.last_event_id = event.event_id
        if chunks:
            self._forward_events(chunks, head)

    def _forward_events(
        self, chunks: list[bytes], head: calls.ResponseHead
    ) -> None:
        attempt = self._attempt
        assert attempt is not None
        now = clock.now()
        gap_s = now - self._last_event_at
        if not self._history.response_started:
            self._history = self._history._replace(response_started=True)
            self._begun_type = head.media_type
            self._responder.begin(head.status, head.headers)
            self._first_event_at = now
            metrics.FIRST_TOKEN_SECONDS.labels(
                str(self.accepted.priority)
            ).observe(now - self.req.arrived_at)
        else:
            self._longest_gap_s = max(self._longest_gap_s, gap_s)
        self._last_event_at = now
        gap_to_report_s = None
        if self._event_count == 0:
            self._host.on_first_event(self, attempt)
        elif len(chunks) == 1:
            gap_to_report_s = gap_s
        self._host.on_event(self, attempt, gap_to_report_s)
        was_beginning = self._event_count < BEGINNING_EVENTS
        self._event_count += len(chunks)
        if was_beginning and self._event_count >= BEGINNING_EVENTS:
            self._host.on_answer_begun(self)
        self._responder.write(b"".join(chunks))
        self._arm_event_timer()

    def on_end(self, end: calls.EndKind, detail: str) -> None:
        """See ResponseSink.on_end."""
        attempt, head = self._attempt, self._response_head
        if self._done or attempt is None:
            return
        self._cancel_stall_timer()
        self._transfer = None
        if self._may_be_cut(end, head):
            self._host.probe_upstream(
                attempt, lambda probed: self._on_probed(attempt, probed)
            )
            return
        self._end_attempt(attempt, end, detail)

    def _may_be_cut(
        self, end: calls.EndKind, head: calls.ResponseHead | None
    ) -> bool:
        """Returns whether a stream has ended where a crash may have cut it.

        A stream that ends inside an event is cut for certain, and so is one
        without an event, unless it was resumed after its last one.
        """
        if end != "complete" or head is None or head.framed:
            return False
        return (
            self.is_stream
            and self._attempt_result(end, head) is None
            and head.status == 200
        )

    def _on_probed(
        self, attempt: exchange_host.Attempt, probed: calls.ProbeResult
    ) -> None:
        """Ends an attempt whose engine was asked whether it is running."""
        if self._done or self._attempt is not attempt:
            return
        if probed == "ended":
            self._end_attempt(attempt, "broken", "upstream ended")
        else:
            self._end_attempt(attempt, "complete", f"upstream {probed}")

    def _end_attempt(
        self, attempt: exchange_host.Attempt, end: calls.EndKind, detail: str
    ) -> None:
        """Reports the end of an attempt, and chooses what follows."""
        head = self._response_head
        self._attempt = None
        result = self._attempt_result(end, head)
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
            events=self._event_count,
            after_s=round(clock.now() - attempt.started_at, 4),
            outcome=result.value if result else "served",
        )
        metrics.SENDS.labels(result.value if result else "served").inc()
        self._report_progress(attempt, end, result, head)
        self._event_count = 0
        fault = head.fault_address if head is not None else None
        self._host.on_attempt_ended(self, attempt, result, fault)
        if result is None:
            self._complete_response(head)
        else:
            self._on_failed_attempt(result, head)

    def _report_progress(
        self,
        attempt: exchange_host.Attempt,
        end: calls.EndKind,
        result: retry_policy.AttemptResult | None,
        head: calls.ResponseHead | None,
    ) -> None:
        """Reports what the end of an attempt tells of crashes."""
        is_beginning = self.is_beginning
        has_begun = head is not None and head.status == _HTTP_OK
        if result is None:
            # An answer without a length may be cut; the engine of a stream has
            # been asked whether it still runs.
            if head is not None and has_begun and head.framed and is_beginning:
                self._host.on_answer_begun(self)
            if (
                head is not None
                and has_begun
                and (head.framed or self.is_stream)
            ):
                self._host.on_answered(self)
        elif result is retry_policy.AttemptResult.LOST and end in (
            "broken",
            "complete",
        ):
            self._host.on_connection_lost(
                self,
                attempt,
                crash_evidence.Suspect(
                    crash_evidence.parts_of(self.req)
                    if is_beginning
                    else (crash_evidence.request_part(self.req),),
                    has_begun or not self.is_stream,
                    not is_beginning,
                ),
            )

    def _attempt_result(
        self, end: calls.EndKind, head: calls.ResponseHead | None
    ) -> retry_policy.AttemptResult | None:
        """Returns how the attempt failed, or None if it succeeded."""
        if end == "not_sent":
            return retry_policy.AttemptResult.NOT_SENT
        if end != "complete" or head is None or not self._response_is_valid:
            return retry_policy.AttemptResult.LOST
        if head.not_run:
            return retry_policy.AttemptResult.NOT_RUN
        if _is_failure(head):
            return retry_policy.AttemptResult.FAILED
        if self.is_stream and self._event_splitter.has_partial_event:
            return retry_policy.AttemptResult.LOST
        if self._ends_before_its_body(head):
            return retry_policy.AttemptResult.LOST
        return None

    def _ends_before_its_body(self, head: calls.ResponseHead) -> bool:
        """Returns whether nothing came after a head that names no length.

        A stream that is resumed after its last event has nothing to add.
        """
        if head.status != _HTTP_OK or head.framed:
            return False
        if self.is_stream:
            return not self._event_count and self.last_event_id is None
        return not self._body_bytes

    def _complete_response(self, head: calls.ResponseHead | None) -> None:
        assert head is not None
        if self.is_stream and head.status == 200:
            if not self._history.response_started:
                self._responder.begin(head.status, head.headers)
        else:
            self._write_response(head, b"".join(self._body))
        self._responder.finish()
        self._finish("served", str(head.status))

    def _write_response(self, head: calls.ResponseHead, body: bytes) -> None:
        self._responder.begin(head.status, head.headers, len(body))
        self._responder.write(body)

    def _on_failed_attempt(
        self,
        result: retry_policy.AttemptResult,
        head: calls.ResponseHead | None,
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
        if result is retry_policy.AttemptResult.FAILED and head is not None:
            self._error_response = (head, b"".join(self._body))
        self._history = history
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
                self._write_response(*self._error_response)
                self._responder.finish()
                self._finish("passed_on", str(self._error_response[0].status))
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
        elif self._attempt is None and not self._history.may_have_run:
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

    def _arm_event_timer(self) -> None:
        """Restarts the timer that detects a stream that has fallen silent."""
        gap_s = self.accepted.route.event_gap_target_s
        self._arm_stall_timer(
            STALL_TIMEOUT_RATIO * max(MIN_ABANDON_S, ABANDON_GAP_FACTOR * gap_s)
        )

    def _arm_stall_timer(self, timeout_s: float) -> None:
        self._cancel_stall_timer()
        self._stall_timer = self._loop.call_later(timeout_s, self._on_stall)

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
        """Cancels a stalled attempt if another one is allowed."""
        self._stall_timer = None
        transfer = self._transfer
        route = self.accepted.route
        may_retry = (
            route.repeatable and self._history.attempts + 1 < route.max_attempts
        )
        if self._done or transfer is None or not may_retry:
            return
        if self._host.has_retry(self):
            transfer.cancel()
        else:
            self._arm_stall_timer(STALL_RECHECK_S)

    def _finish(self, outcome: exchange_host.Outcome, detail: str) -> None:
        self._done = True
        self._cancel_stall_timer()
        if self._deadline_timer is not None:
            self._deadline_timer.cancel()
        transfer, self._transfer = self._transfer, None
        attempt, self._attempt = self._attempt, None
        if transfer is not None:
            transfer.cancel()
        if attempt is not None:
            self._host.on_attempt_ended(self, attempt, None, None)
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
        self._clear_body()
        self._host.on_exchange_ended(self, outcome)

    def _log_dropped_response(
        self, reason: str, head: calls.ResponseHead
    ) -> None:
        logs.decision(
            _LOG,
            "answer dropped",
            request_id=self.req.request_id,
            upstream=self._attempt.upstream_id if self._attempt else None,
            status=head.status,
            answered_id=head.request_id,
            reason=reason,
        )


def expected_output_tokens(size: calls.PromptSize) -> int:
    """Returns the estimated number of tokens that a request generates."""
    if size.expected_output_tokens is None:
        return size.max_output_tokens
    return min(size.expected_output_tokens, size.max_output_tokens)


def _is_failure(head: calls.ResponseHead) -> bool:
    """Returns whether a status or a header says that the request failed."""
    return (
        head.not_run
        or head.status >= _HTTP_SERVER_ERROR
        or head.status == _HTTP_TOO_MANY_REQUESTS
    )


def _elapsed_s(at: float | None, start: float) -> float | None:
    return None if at is None else round(at - start, 4)


def _compare_event_ids(
    event_id: str | None, last_id: str | None
) -> Literal["next", "repeated", "gap"]:
    """Classifies an event by its id, relative to the last forwarded event.

    Consecutive events have consecutive integer ids. An event without an
    integer id counts as the next event.
    """
    if event_id is None or last_id is None:
        return "next"
    try:
        step = int(event_id) - int(last_id)
    except ValueError:
        return "next"
    if step <= 0:
        return "repeated"
    return "next" if step == 1 else "gap"
