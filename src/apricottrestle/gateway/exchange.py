"""One request of a caller, from its acceptance to the end of its answer.

An exchange sends the request to one upstream at a time, passes on what comes
back, and asks `retry_policy` what follows when a send doesn't serve it.

Invariants: the caller gets exactly one end (an answer, a refusal or a closed
connection). Events are passed on whole, in order and once. No call to an
upstream outlives the exchange.
"""

import asyncio
import logging
from typing import Final, Literal

from apricottrestle import logs, metrics
from apricottrestle.gateway import (
    accept,
    calls,
    clock,
    engine_routing,
    event_stream,
    exchange_host,
    retry_policy,
)

ABANDON_LEAST_S: Final = 2.0
ABANDON_TARGETS: Final = 4.0
ABANDON_GAPS: Final = 8.0
"""Callers leave a stream after the longest of: the least pause, so many times
the target of the first event, so many times the accepted pause."""

STALL_SHARE: Final = 0.4
"""Part of that time after which a silent engine is replaced, so that another
can still answer before the caller leaves."""

MAX_PLAIN_BODY_BYTES: Final = 16 * 1024 * 1024
"""Bound of a plain answer, which is passed on when it is whole."""

_LOG: Final = logging.getLogger(__name__)


class Exchange(calls.ResponseSink):
    """A request under way.

    Attributes:
        req: The caller's request.
        accepted: What was decided at its acceptance.
        last_event_id: Id of the last event that the caller has.
        tried: Upstreams that were tried.
        waiting_since: When it began to wait for an upstream.
    """

    def __init__(
        self,
        host: exchange_host.Host,
        req: calls.CallerRequest,
        accepted: accept.Accepted,
        responder: calls.Responder,
    ) -> None:
        """Prepares an exchange; `begin` starts it."""
        self.req = req
        self.accepted = accepted
        self.last_event_id = req.resume_after
        self.tried: list[str] = []
        self.waiting_since = req.arrived_at
        self._host = host
        self._responder = responder
        self._history = retry_policy.AttemptHistory(0, 0, False, False)
        self._sent: exchange_host.Sent | None = None
        self._transfer: calls.Transfer | None = None
        self._head: calls.ResponseHead | None = None
        self._error: tuple[calls.ResponseHead, bytes] | None = None
        self._splitter = event_stream.EventSplitter()
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._events = 0
        self._is_valid = False
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
        """Whether the answer is an event stream."""
        return self.accepted.route.kind == "stream"

    @property
    def answered(self) -> bool:
        """Whether a part of the answer is out."""
        return self._history.answered

    def time_left_s(self, now: float) -> float:
        """Time until the caller must have been answered."""
        return self.accepted.deadline - now

    def ask(self, now: float) -> engine_routing.Ask:
        """Returns what the request needs of an engine."""
        size = self.req.size or calls.PromptSize(0, 0, None)
        output = size.output_tokens
        if size.expected_output_tokens is not None:
            output = min(size.expected_output_tokens, output)
        route = self.accepted.route
        if self._history.answered:
            # The caller waits for the next event within the accepted pause.
            target_left_s = self.waiting_since + route.event_gap_target_s - now
        else:
            target_left_s = self.req.arrived_at + route.target_s - now
        return engine_routing.Ask(
            size.prompt_tokens,
            max(output, 1),
            target_left_s,
            self.waiting_since + self._patience_s() - now,
            self.time_left_s(now),
            route.event_gap_target_s,
        )

    def begin(self) -> None:
        """Starts the timer and looks for an upstream."""
        self._responder.on_close(self._on_caller_left)
        left_s = self.time_left_s(clock.now())
        self._end_timer: asyncio.TimerHandle | None = None
        if left_s < float("inf"):
            self._end_timer = self._loop.call_later(
                max(left_s, 0.0), self._on_time_up
            )
        self._host.place(self)

    def send(
        self,
        sent: exchange_host.Sent,
        *,
        priority: int,
        helpers: tuple[str, ...],
    ) -> None:
        """Sends the request to an upstream."""
        if self._done:
            return
        now = clock.now()
        self._sent = sent
        self._head = None
        self._splitter = event_stream.EventSplitter()
        self._body = []
        self._body_bytes = 0
        self._is_valid = False
        self.tried.append(sent.upstream_id)
        team = self.accepted.team
        call = calls.UpstreamCall(
            self.req,
            sent.upstream_id,
            sent.address,
            max(self.time_left_s(now), 0.001),
            team.name if team is not None else None,
            priority,
            helpers,
            self.last_event_id,
            not self.accepted.route.repeatable,
        )
        if self.is_stream:
            self._arm_stall_timer(sent.first_event_s)
        self._transfer = self._host.send(self, call)

    def refuse(
        self, status: int, reason: str, retry_after_s: float | None
    ) -> None:
        """Ends the exchange with an error answer of the gateway's own."""
        if self._done:
            return
        if self._history.answered:
            self._responder.abort()
            self._finish("aborted", reason)
            return
        if status == accept.UNAVAILABLE and self._history.may_have_run:
            status, retry_after_s = 502, None
        self._responder.refuse(status, reason, retry_after_s)
        self._finish("refused" if status == 503 else "failed", reason)

    # Answers of upstreams.

    def on_head(self, head: calls.ResponseHead) -> None:
        """See ResponseSink.on_head."""
        if self._done or self._sent is None:
            return
        self._head = head
        self._is_valid = self._check(head)
        if not self._is_valid:
            self._drop_answer()

    def _check(self, head: calls.ResponseHead) -> bool:
        """Whether an answer belongs to this request and is its upstream's."""
        if (
            head.request_id is not None
            and head.request_id != self.req.request_id
        ):
            self._log_answer("answer of another request", head)
            return False
        is_success = 200 <= head.status < 300
        if is_success and (
            not head.signed or head.encoded or head.request_id is None
        ):
            self._log_answer("answer without a valid signature", head)
            return False
        return True

    def _drop_answer(self) -> None:
        """Ends a call whose answer can't be passed on."""
        self._is_valid = False
        if self._transfer is not None:
            self._transfer.cancel()

    def on_data(self, data: bytes) -> None:
        """See ResponseSink.on_data."""
        head = self._head
        if self._done or head is None or not self._is_valid:
            return
        if self.is_stream and head.status == 200:
            self._on_stream_data(data, head)
            return
        self._body_bytes += len(data)
        if self._body_bytes <= MAX_PLAIN_BODY_BYTES:
            self._body.append(data)

    def _on_stream_data(self, data: bytes, head: calls.ResponseHead) -> None:
        try:
            events = self._splitter.feed(data)
        except ValueError as exc:
            self._log_answer(str(exc), head)
            self._drop_answer()
            return
        chunks = []
        for event in events:
            order = _order(event.event_id, self.last_event_id)
            if order == "repeated":
                continue
            if order == "gap":
                self._log_answer("event out of order", head)
                self._drop_answer()
                break
            chunks.append(event.data)
            if event.event_id is not None:
                self.last_event_id = event.event_id
        if chunks:
            self._pass_on_events(chunks, head)

    def _pass_on_events(
        self, chunks: list[bytes], head: calls.ResponseHead
    ) -> None:
        sent = self._sent
        assert sent is not None
        now = clock.now()
        gap_s = now - self._last_event_at
        if not self._history.answered:
            self._history = self._history._replace(answered=True)
            self._responder.begin(head.status, head.headers)
            self._first_event_at = now
            metrics.FIRST_TOKEN_SECONDS.labels(
                str(self.accepted.priority)
            ).observe(now - self.req.arrived_at)
        else:
            self._longest_gap_s = max(self._longest_gap_s, gap_s)
        self._last_event_at = now
        pause_s = None
        if self._events == 0:
            self._host.wrote(self, sent)
        elif len(chunks) == 1:
            pause_s = gap_s
        self._host.saw_event(self, sent, pause_s)
        self._events += len(chunks)
        self._responder.write(b"".join(chunks))
        self._arm_stall_timer(0.0)

    def on_end(self, end: calls.EndKind, detail: str) -> None:
        """See ResponseSink.on_end."""
        sent, head = self._sent, self._head
        if self._done or sent is None:
            return
        self._cancel_stall_timer()
        self._transfer = None
        self._sent = None
        result = self._result(end, head)
        logs.decision(
            _LOG,
            "send ended",
            request_id=self.req.request_id,
            upstream=sent.upstream_id,
            end=end,
            detail=detail,
            status=head.status if head else None,
            events=self._events,
            after_s=round(clock.now() - sent.started_at, 4),
            outcome=result.value if result else "served",
        )
        metrics.SENDS.labels(result.value if result else "served").inc()
        self._events = 0
        fault = head.fault_address if head is not None else None
        self._host.sent_ended(self, sent, result, fault)
        if result is None:
            self._serve(head)
        else:
            self._on_failed_send(result, head)

    def _result(
        self, end: calls.EndKind, head: calls.ResponseHead | None
    ) -> retry_policy.AttemptResult | None:
        """Returns what is known about a send, or None if it served."""
        if end == "not_sent":
            return retry_policy.AttemptResult.NOT_SENT
        if end != "complete" or head is None or not self._is_valid:
            return retry_policy.AttemptResult.LOST
        if head.not_run:
            return retry_policy.AttemptResult.NOT_RUN
        if head.status >= 500 or head.status == 429:
            return retry_policy.AttemptResult.FAILED
        if self._body_bytes > MAX_PLAIN_BODY_BYTES:
            return retry_policy.AttemptResult.LOST
        if self.is_stream and self._splitter.has_rest:
            return retry_policy.AttemptResult.LOST
        return None

    def _serve(self, head: calls.ResponseHead | None) -> None:
        assert head is not None
        if self.is_stream and head.status == 200:
            if not self._history.answered:
                self._responder.begin(head.status, head.headers)
        else:
            self._write_whole(head, b"".join(self._body))
        self._responder.finish()
        self._finish("served", str(head.status))

    def _write_whole(self, head: calls.ResponseHead, body: bytes) -> None:
        self._responder.begin(head.status, head.headers, len(body))
        self._responder.write(body)

    def _on_failed_send(
        self,
        result: retry_policy.AttemptResult,
        head: calls.ResponseHead | None,
    ) -> None:
        history = self._history
        if result is retry_policy.AttemptResult.NOT_SENT:
            history = history._replace(unreached=history.unreached + 1)
        else:
            history = history._replace(sends=history.sends + 1)
        if result in (
            retry_policy.AttemptResult.LOST,
            retry_policy.AttemptResult.FAILED,
        ):
            history = history._replace(may_have_run=True)
        if result is retry_policy.AttemptResult.FAILED and head is not None:
            self._error = (head, b"".join(self._body))
        self._history = history
        now = clock.now()
        could_repeat = retry_policy.choose_action(
            result,
            history,
            self.accepted.route,
            time_left=self.time_left_s(now) > 0,
            has_budget=True,
        )
        has_budget = True
        if (
            could_repeat is retry_policy.NextAction.SEND_AGAIN
            and result is not retry_policy.AttemptResult.NOT_SENT
        ):
            has_budget = self._host.take_retry(self)
        step = retry_policy.choose_action(
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
            sends=history.sends,
            unreached=history.unreached,
            has_budget=has_budget,
            time_left_s=round(self.time_left_s(now), 3),
            outcome=step.value,
        )
        self._take(step)

    def _take(self, step: retry_policy.NextAction) -> None:
        match step:
            case retry_policy.NextAction.SEND_AGAIN:
                metrics.RETRIES.labels("failed_send").inc()
                self.waiting_since = clock.now()
                self._host.place(self)
            case retry_policy.NextAction.PASS_ON if self._error is not None:
                self._write_whole(*self._error)
                self._responder.finish()
                self._finish("passed_on", str(self._error[0].status))
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

    # Ends from outside.

    def _on_caller_left(self) -> None:
        if not self._done:
            self._finish("caller_left", "")

    def _on_time_up(self) -> None:
        if self._done:
            return
        if self._history.answered:
            self._responder.abort()
        elif self._sent is None and not self._history.may_have_run:
            self._responder.refuse(accept.UNAVAILABLE, "no_time_left")
        else:
            self._responder.refuse(504, "timeout")
        self._finish("timeout", "")

    def _arm_stall_timer(self, first_event_s: float) -> None:
        """Starts the wait for the next event.

        Args:
            first_event_s: Expected time to the first event of a send, or 0
                when it has arrived.
        """
        self._cancel_stall_timer()
        if first_event_s > 0:
            pause_s = self._patience_s()
        else:
            gap_s = self.accepted.route.event_gap_target_s
            pause_s = max(ABANDON_LEAST_S, ABANDON_GAPS * gap_s)
        self._stall_timer = self._loop.call_later(
            max(STALL_SHARE * pause_s, 2 * first_event_s), self._on_stall
        )

    def _patience_s(self) -> float:
        """Time without an event after which the caller leaves."""
        route = self.accepted.route
        return max(
            ABANDON_LEAST_S,
            ABANDON_TARGETS * route.target_s,
            ABANDON_GAPS * route.event_gap_target_s,
        )

    def _cancel_stall_timer(self) -> None:
        if self._stall_timer is not None:
            self._stall_timer.cancel()
            self._stall_timer = None

    def _on_stall(self) -> None:
        """Moves a silent stream, unless it may not be sent again."""
        self._stall_timer = None
        transfer = self._transfer
        route = self.accepted.route
        may_move = (
            route.repeatable and self._history.sends + 1 < route.max_attempts
        )
        if self._done or transfer is None or not may_move:
            return
        transfer.cancel()

    def _finish(self, outcome: exchange_host.Outcome, detail: str) -> None:
        self._done = True
        self._cancel_stall_timer()
        if self._end_timer is not None:
            self._end_timer.cancel()
        transfer, self._transfer = self._transfer, None
        sent, self._sent = self._sent, None
        if transfer is not None:
            transfer.cancel()
        if sent is not None:
            self._host.sent_ended(self, sent, None, None)
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
            upstreams=self.tried,
            last_event_id=self.last_event_id,
            first_event_s=_since(self._first_event_at, self.req.arrived_at),
            longest_gap_s=round(self._longest_gap_s, 4),
            after_s=round(after_s, 4),
        )
        self._host.ended(self, outcome)

    def _log_answer(self, reason: str, head: calls.ResponseHead) -> None:
        logs.decision(
            _LOG,
            "answer dropped",
            request_id=self.req.request_id,
            upstream=self._sent.upstream_id if self._sent else None,
            status=head.status,
            answered_id=head.request_id,
            reason=reason,
        )


def _since(at: float | None, start: float) -> float | None:
    return None if at is None else round(at - start, 4)


def _order(
    event_id: str | None, last_id: str | None
) -> Literal["next", "repeated", "gap"]:
    """Compares an event's id with the last one; ids are increasing integers."""
    if event_id is None or last_id is None:
        return "next"
    try:
        step = int(event_id) - int(last_id)
    except ValueError:
        return "next"
    if step <= 0:
        return "repeated"
    return "next" if step == 1 else "gap"
