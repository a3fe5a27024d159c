"""The response to one attempt of a request, as far as it has arrived.

Checks that the response belongs to the request and is authentic, splits a
stream into events and buffers any other body.

Invariant: an owner gets only whole events of a valid response, each one that
follows the last event that the caller has.
"""

import abc
import logging
from typing import Final, Literal

from apricottrestle import logs, memory_account, metrics
from apricottrestle.gateway import (
    accept,
    calls,
    clock,
    event_stream,
    exchange_host,
    retry_policy,
)

BEGINNING_EVENTS: Final = 3
"""Events by which an answer has got past its beginning. An engine that a prompt
crashes ends as it begins to write the answer."""

MAX_PLAIN_BODY_BYTES: Final = 16 * 1024 * 1024
"""Largest non-stream response; it is buffered until it is complete."""

JOINED_BYTES: Final = 4 * 1024
"""Length up to which parts of a body are joined: each costs 56 bytes beside its
content, and may have one byte only."""

COUNTED_EVENT_BYTES: Final = 16 * 1024
"""Length from which an event that hasn't ended is counted; nearly all events
are smaller."""

_HTTP_OK: Final = 200
_HTTP_TOO_MANY_REQUESTS: Final = 429
_HTTP_SERVER_ERROR: Final = 500
_LOG: Final = logging.getLogger(__name__)


class ResponseOwner(abc.ABC):
    """The exchange that a response belongs to.

    Attributes:
        req: The caller's request.
        accepted: Route, service, priority and deadline of the request.
        last_event_id: Id of the last event that the caller has, or None.
        begun_type: Media type of the response that the caller has in part.
        account: Counts the responses that are buffered.
    """

    req: calls.CallerRequest
    accepted: accept.Accepted
    last_event_id: str | None
    account: memory_account.MemoryAccount
    begun_type: str = ""

    @property
    @abc.abstractmethod
    def response_started(self) -> bool:
        """Whether part of a response has been forwarded to the caller."""

    @property
    def is_stream(self) -> bool:
        """Whether the route returns an event stream."""
        return self.accepted.route.kind == "stream"

    @abc.abstractmethod
    def on_response_head(self, response: "UpstreamResponse") -> None:
        """Called when a valid head has arrived."""

    @abc.abstractmethod
    def on_response_events(
        self, response: "UpstreamResponse", events: list[event_stream.Event]
    ) -> None:
        """Called with events that follow the last one that the caller has."""

    @abc.abstractmethod
    def on_response_end(
        self, response: "UpstreamResponse", end: calls.EndKind, detail: str
    ) -> None:
        """Called when the transfer has ended."""


class UpstreamResponse(calls.ResponseSink):
    """The response to one attempt.

    Attributes:
        attempt: The attempt.
        transfer: The upstream call, or None before its start and after its end.
        head: Status and headers, or None if they haven't arrived.
        event_count: Number of events that were forwarded to the caller.
        ended: Whether the attempt has ended.
    """

    def __init__(
        self,
        owner: ResponseOwner,
        attempt: exchange_host.Attempt,
        *,
        has_new_connection: bool,
    ) -> None:
        """Creates a response of which nothing has arrived.

        Args:
            owner: The exchange.
            attempt: The attempt.
            has_new_connection: Whether no other response can arrive on the
                connection.
        """
        self.attempt = attempt
        self.transfer: calls.Transfer | None = None
        self.head: calls.ResponseHead | None = None
        self.event_count = 0
        self.ended = False
        self._owner = owner
        self._has_new_connection = has_new_connection
        self._is_valid = False
        self._event_splitter = event_stream.EventSplitter()
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._holder = memory_account.Holder(self, is_connection=False)
        self._is_paused = False

    @property
    def body(self) -> list[bytes]:
        """The parts of the buffered body; joining them would copy it."""
        return self._body

    @property
    def is_beginning(self) -> bool:
        """Whether the answer hasn't got past its beginning."""
        return self.event_count < BEGINNING_EVENTS

    def cancel(self) -> None:
        """Cancels the upstream call; `on_response_end` follows."""
        if self.transfer is not None:
            self.transfer.cancel()

    def drop(self) -> None:
        """Ends the attempt without a further call of the owner."""
        self.ended = True
        transfer, self.transfer = self.transfer, None
        if transfer is not None:
            transfer.cancel()
        self._clear_body()

    def on_head(self, head: calls.ResponseHead) -> None:
        """See ResponseSink.on_head."""
        if self.ended:
            return
        self.head = head
        self._is_valid = self._is_valid_head(head)
        if not self._is_valid:
            self.cancel()
            return
        self._owner.on_response_head(self)
        if not self.ended and head.length and not self._owner.is_stream:
            # All at once: two answers that had half of their room each would
            # wait for each other.
            self._count(min(head.length, MAX_PLAIN_BODY_BYTES))

    def _is_valid_head(self, head: calls.ResponseHead) -> bool:
        """Returns whether the response is for this request and authentic.

        A successful response must name the request, carry the upstream's
        signature and have an unencoded body. On a connection that has served
        other calls, each response must name the request.
        """
        if (
            head.request_id is not None
            and head.request_id != self._owner.req.request_id
        ):
            self._log_dropped("answer of another request", head)
            return False
        if head.request_id is None and not self._has_new_connection:
            self._log_dropped("answer without an id", head)
            return False
        is_success = 200 <= head.status < 300
        if is_success and (
            not head.signed or head.encoded or head.request_id is None
        ):
            self._log_dropped("answer without a valid signature", head)
            return False
        if self._owner.response_started and not self._may_follow_begun(head):
            self._log_dropped("answer doesn't continue a stream", head)
            return False
        return True

    def _may_follow_begun(self, head: calls.ResponseHead) -> bool:
        """Returns whether an answer may follow one that the caller has in part.

        It continues the stream, or fails so that another attempt may.
        """
        if head.status == _HTTP_OK:
            return head.media_type == self._owner.begun_type
        return _is_failure(head)

    def _cancel_invalid(self) -> None:
        """Cancels an upstream call whose response must not be forwarded."""
        self._is_valid = False
        self.cancel()

    def on_data(self, data: bytes) -> None:
        """See ResponseSink.on_data."""
        head = self.head
        if self.ended or head is None or not self._is_valid:
            return
        if self._owner.is_stream and head.status == _HTTP_OK:
            self._on_stream_data(data, head)
            return
        self._body_bytes += len(data)
        if self._body_bytes > MAX_PLAIN_BODY_BYTES:
            self._log_dropped("body too long", head)
            self._cancel_invalid()
            return
        if self._body and len(self._body[-1]) + len(data) <= JOINED_BYTES:
            self._body[-1] += data
        else:
            self._body.append(data)
        self._count(self._body_bytes)

    def _count(self, total: int) -> None:
        """Counts the body's memory; the transfer waits while there is none.

        Args:
            total: Bytes of the body that are or will be held.
        """
        missing = total - self._holder.held_bytes
        if missing <= 0 or self._owner.account.grow_answer(
            self._holder, missing, self._on_room, clock.now()
        ):
            return
        if not self._is_paused and self.transfer is not None:
            self._is_paused = True
            logs.decision(
                _LOG,
                "answer waits for room",
                request_id=self._owner.req.request_id,
                upstream=self.attempt.upstream_id,
                body_bytes=total,
                account_bytes=self._owner.account.held_bytes,
            )
            metrics.ANSWERS_WAITED.inc()
            self.transfer.pause()

    def _count_partial_event(self, head: calls.ResponseHead) -> None:
        """Counts an event that hasn't ended, if it is large.

        Without room for it the answer ends as incomplete: what has been read is
        held already, so that a wait would free nothing.
        """
        total = self._event_splitter.partial_bytes
        if total <= COUNTED_EVENT_BYTES:
            total = 0
        account = self._owner.account
        if total > self._holder.held_bytes and not account.has_room(
            self._holder, total - self._holder.held_bytes, total
        ):
            self._log_dropped("no room for an unfinished event", head)
            self._event_splitter = event_stream.EventSplitter()
            self._cancel_invalid()
        elif total != self._holder.held_bytes:
            account.hold(self._holder, total, "complete", clock.now())

    def _on_room(self) -> None:
        """Goes on after a wait for room."""
        self._is_paused = False
        if self.transfer is not None:
            self.transfer.resume()

    def _clear_body(self) -> None:
        """Drops the buffered body and frees its memory."""
        self._owner.account.release(self._holder, clock.now())
        # A reference in a circle would keep the request until a collection.
        self._holder.owner = None
        self._body = []
        self._body_bytes = 0

    def _on_stream_data(self, data: bytes, head: calls.ResponseHead) -> None:
        try:
            events = self._event_splitter.feed(data)
        except ValueError as exc:
            self._log_dropped(str(exc), head)
            self._cancel_invalid()
            return
        self._count_partial_event(head)
        last_id = self._owner.last_event_id
        fresh = []
        for event in events:
            sequence = _compare_event_ids(event.event_id, last_id)
            if sequence == "repeated":
                continue
            if sequence == "gap":
                self._log_dropped("event out of order", head)
                self._cancel_invalid()
                break
            fresh.append(event)
            if event.event_id is not None:
                last_id = event.event_id
        if fresh:
            self._owner.on_response_events(self, fresh)

    def on_end(self, end: calls.EndKind, detail: str) -> None:
        """See ResponseSink.on_end."""
        if self.ended:
            return
        self.transfer = None
        self._owner.on_response_end(self, end, detail)

    def close(self) -> None:
        """Ends the attempt after its transfer, and frees its memory."""
        self.ended = True
        self._clear_body()

    def result(self, end: calls.EndKind) -> retry_policy.AttemptResult | None:
        """Returns how the attempt failed, or None if it succeeded."""
        head = self.head
        if end == "not_sent":
            return retry_policy.AttemptResult.NOT_SENT
        if end != "complete" or head is None or not self._is_valid:
            return retry_policy.AttemptResult.LOST
        if head.not_run:
            return retry_policy.AttemptResult.NOT_RUN
        if _is_failure(head):
            return retry_policy.AttemptResult.FAILED
        if self._owner.is_stream and self._event_splitter.has_partial_event:
            return retry_policy.AttemptResult.LOST
        if self._ends_before_its_body(head):
            return retry_policy.AttemptResult.LOST
        return None

    def may_be_cut(self, end: calls.EndKind) -> bool:
        """Returns whether an answer has ended where a crash may have cut it.

        An answer without a length ends with its connection, which the kernel of
        a killed process closes in the same way. A stream that ends inside an
        event is cut for certain, and so is one without an event, unless it was
        resumed after its last one.
        """
        head = self.head
        return (
            end == "complete"
            and head is not None
            and not head.framed
            and self.result(end) in (None, retry_policy.AttemptResult.FAILED)
        )

    def _ends_before_its_body(self, head: calls.ResponseHead) -> bool:
        """Returns whether nothing came after a head that names no length.

        A stream that is resumed after its last event has nothing to add.
        """
        if head.status != _HTTP_OK or head.framed:
            return False
        if self._owner.is_stream:
            return not self.event_count and self._owner.last_event_id is None
        return not self._body_bytes

    def _log_dropped(self, reason: str, head: calls.ResponseHead) -> None:
        logs.decision(
            _LOG,
            "answer dropped",
            request_id=self._owner.req.request_id,
            upstream=self.attempt.upstream_id,
            status=head.status,
            answered_id=head.request_id,
            reason=reason,
        )


def _is_failure(head: calls.ResponseHead) -> bool:
    """Returns whether a status or a header says that the request failed."""
    return (
        head.not_run
        or head.status >= _HTTP_SERVER_ERROR
        or head.status == _HTTP_TOO_MANY_REQUESTS
    )


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
