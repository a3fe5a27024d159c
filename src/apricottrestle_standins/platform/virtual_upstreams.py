"""Engines and plain services in virtual time, and a gateway's client."""

import asyncio
import collections
import contextvars
import random
from collections.abc import Callable
from typing import Final, Literal, NamedTuple

from apricottrestle import errors
from apricottrestle.gateway import calls
from apricottrestle_standins.platform import (
    engine_passes,
    ledger,
    virtual_time,
    workload,
)

HELPER_LOSS_TIMEOUT_S: Final = 1.5
"""Time after which a request that has lost one of its engines is ended."""

SILENT_CONN_TIMEOUT_S: Final = 3.0
"""Time after which a connection to an unreachable machine is closed."""

DRAIN_NOTICE_S: Final = 2.0
"""Time after a drain notice in which new requests are still allowed."""

RELEASE_TIMEOUT_S: Final = 4.0
"""Time after the end of a run in which its reservations must be released."""


RESTART_S: Final = 3.0
"""Time after which an engine that a prompt has crashed is back."""


REFUSED: Final = 503

LATE_EVENT: Final = 5
"""Event of an answer at which an upstream crashes late."""


class PromptFault(NamedTuple):
    """Requests that crash each upstream that begins to answer them.

    Attributes:
        parts: Ids of parts of prompts.
        progress: What the caller's gateway still gets of the answer; "events"
            is all up to LATE_EVENT.
        bodies: Bodies of requests.
    """

    parts: frozenset[str] = frozenset()
    progress: Literal["nothing", "head", "half_event", "event", "events"] = (
        "head"
    )
    bodies: frozenset[bytes] = frozenset()

    def cause_in(self, req: calls.CallerRequest) -> str | None:
        """Returns the part or body of a request that crashes upstreams."""
        if req.body in self.bodies:
            return req.body.decode()
        return min(self.parts.intersection(req.shared_parts), default=None)


class IncomingCall(NamedTuple):
    """A call that an upstream receives."""

    call: calls.UpstreamCall
    sink: calls.ResponseSink
    transfer: "VirtualTransfer"


class VirtualTransfer(calls.Transfer):
    """A call in progress; delivers its response after the network delay.

    Attributes:
        request_id: Id of the request.
        ended: Whether the response or the call has ended.
        framed: Whether the end of the connection differs from the end of the
            response.
        unreachable: Whether the gateway's machine has lost power, which the
            upstream notices when it writes to the connection.
        on_cancel: Called when the upstream notices that the call has ended.
    """

    def __init__(
        self, sink: calls.ResponseSink, delay_s: float, request_id: str
    ) -> None:
        """Creates a transfer without a response."""
        self._sink = sink
        self._delay_s = delay_s
        self.request_id = request_id
        self.ended = False
        self.framed = True
        self.unreachable = False
        self.on_cancel: Callable[[], None] | None = None
        self._context = contextvars.copy_context()
        self._in_flight: collections.deque[Callable[[], None]] = (
            collections.deque()
        )

    def cancel(self) -> None:
        """See Transfer.cancel."""
        if self.ended:
            return
        self.ended = True
        loop = asyncio.get_running_loop()
        loop.call_soon(self._sink.on_end, "cancelled", "")
        if self.on_cancel is not None:
            loop.call_later(self._delay_s, self.on_cancel)

    def head(
        self,
        status: int,
        *,
        not_run: bool = False,
        framed: bool = True,
        limit: calls.NamedLimit | None = None,
        leaving: bool = False,
        wait_s: float | None = None,
    ) -> None:
        """Delivers the head of the response, with the upstream's signature."""
        head = calls.ResponseHead(
            status,
            (),
            self.request_id,
            not not_run,
            not_run,
            False,
            None,
            framed,
            limit,
            leaving,
            wait_s,
        )
        self.framed = framed
        self._deliver_later(lambda: self._sink.on_head(head))

    def data(self, data: bytes) -> None:
        """Delivers a part of the body."""
        self._deliver_later(lambda: self._sink.on_data(data))

    def end(self, kind: calls.EndKind) -> None:
        """Delivers the end of the transfer."""
        self._deliver_later(lambda: self._finish(kind))

    def _finish(self, kind: calls.EndKind) -> None:
        self.ended = True
        self._sink.on_end(kind, "")

    def _deliver_later(self, deliver: Callable[[], None]) -> None:
        # Timers with the same time may fire in any order; the queue keeps the
        # order of the deliveries.
        self._in_flight.append(deliver)
        asyncio.get_running_loop().call_later(self._delay_s, self._deliver_next)

    def _deliver_next(self) -> None:
        virtual_time.enter(self._context, self._deliver_now)

    def _deliver_now(self) -> None:
        deliver = self._in_flight.popleft()
        if not self.ended:
            deliver()


class Upstream:
    """An upstream that faults can crash.

    Attributes:
        upstream_id: Id in the upstream list.
        address: Address for calls.
        data_centre: Data centre.
        state: "up", "gone" (connections are refused) or "dark" (packets are
            dropped).
        run_ledger: Ledger to record runs in.
        rng: Source of random choices.
        transfers: Calls in progress; ordered, to be reproducible from a seed.
        draining_since: Time at which its drain notice was stored, or None.
        started_at_ms: Start time of its process, as listed; increases at each
            restart.
        limit: Limit that it names in its responses, or None.
        cut_event: What a crash sends of the next event of each answer without
            a length; empty if it cuts them between events.
        prompt_fault: Requests that crash the upstream, or None.
        on_prompt_crash: Called with the part or body that has crashed it.
        is_leaving: Whether it says in all responses that it leaves.
        refuses_until: Time until which it turns all requests away, and says so.
        silent_until: Time until which it sends nothing, and then goes on.
        is_full: Whether it turns all requests away, without a time to return.
        cold_rule: What it takes while it is cold, or None if it never is.
        cold_until: Time until which it is cold.
        on_cold_crash: Called when too many requests have crashed it.
    """

    cold_rule: workload.ColdRule | None = None
    cold_until = 0.0
    on_cold_crash: Callable[["Upstream"], None]

    silent_until = 0.0
    is_full = False
    cut_event = b"id: "
    is_leaving = False
    refuses_until = 0.0
    prompt_fault: PromptFault | None = None
    on_prompt_crash: Callable[["Upstream", str], None]

    def __init__(
        self,
        upstream_id: str,
        data_centre: str,
        run_ledger: ledger.Ledger,
        rng: random.Random,
    ) -> None:
        """Creates an idle upstream in the state "up"."""
        self.upstream_id = upstream_id
        self.address = upstream_id
        self.data_centre = data_centre
        self.state = "up"
        self.run_ledger = run_ledger
        self.rng = rng
        self.transfers: dict[VirtualTransfer, None] = {}
        self.draining_since: float | None = None
        self.started_at_ms = 1
        self.limit: calls.NamedLimit | None = None
        self._cold_arrivals: collections.deque[float] = collections.deque()
        self._cold_period = ledger.ColdPeriod(upstream_id, 0.0, 0.0)

    @property
    def cold_left_s(self) -> float:
        """Time for which it is still cold."""
        return max(self.cold_until - asyncio.get_running_loop().time(), 0.0)

    def turn_cold(self, cold_s: float) -> None:
        """Makes it cold for a while, without a start."""
        now = asyncio.get_running_loop().time()
        self.cold_until = now + cold_s
        self._cold_arrivals.clear()
        self._cold_period = ledger.ColdPeriod(self.upstream_id, now, cold_s)
        self.run_ledger.cold_periods.append(self._cold_period)

    def take_arrival(self) -> bool:
        """Counts a request; returns False if it crashes a cold upstream."""
        if self.cold_rule is None or self.state != "up":
            return True
        now = asyncio.get_running_loop().time()
        if now >= self.cold_until:
            return True
        self._cold_arrivals.append(now)
        while self._cold_arrivals[0] <= now - ledger.COLD_JUDGED_S:
            self._cold_arrivals.popleft()
        self._cold_period.note_arrival(len(self._cold_arrivals))
        if len(self._cold_arrivals) <= self.cold_rule.bound:
            return True
        self.on_cold_crash(self)
        return False

    def arrive(self, incoming: IncomingCall, arrival: workload.Arrival) -> None:
        """Receives a call."""
        raise NotImplementedError

    def respond(
        self,
        transfer: VirtualTransfer,
        status: int,
        *,
        not_run: bool = False,
        framed: bool = True,
    ) -> None:
        """Delivers the head of a response, with all that it says of itself."""
        now = asyncio.get_running_loop().time()
        refused_until = self.refuses_until if not_run else 0.0
        wait_s = None
        if self.is_leaving:
            self.run_ledger.notices.append(
                ledger.Notice(
                    transfer.request_id,
                    self.upstream_id,
                    now,
                    None,
                    self.started_at_ms,
                )
            )
        if status == REFUSED and refused_until > now:
            wait_s = refused_until - now
            self.run_ledger.notices.append(
                ledger.Notice(
                    transfer.request_id,
                    self.upstream_id,
                    now,
                    wait_s,
                    self.started_at_ms,
                )
            )
        if self.limit is not None:
            self.run_ledger.limits[-1].note_named(
                self.upstream_id, asyncio.get_running_loop().time()
            )
        transfer.head(
            status,
            not_run=not_run,
            framed=framed,
            limit=self.limit,
            leaving=self.is_leaving,
            wait_s=wait_s,
        )

    def reject(self, transfer: VirtualTransfer, status: int = REFUSED) -> None:
        """Rejects a request that doesn't run."""
        self.respond(transfer, status, not_run=True)
        transfer.end("complete")

    def crash(self, *, dark: bool) -> None:
        """Ends all work.

        Args:
            dark: Whether connections go silent; else they are reset.
        """
        self.state = "dark" if dark else "gone"
        loop = asyncio.get_running_loop()
        for transfer in list(self.transfers):
            if dark:
                loop.call_later(SILENT_CONN_TIMEOUT_S, transfer.end, "broken")
            elif transfer.framed:
                transfer.end("broken")
            else:
                transfer.data(self.cut_event)
                transfer.end("complete")
        self.transfers.clear()

    def restart(self) -> None:
        """Starts a new process, without the state of the previous one."""
        self.state = "up"
        self.silent_until = 0.0
        self.started_at_ms += 1
        self.is_leaving = False
        self.refuses_until = 0.0
        if self.cold_rule is not None:
            self.turn_cold(self.cold_rule.start_s)


class PlainUpstream(Upstream):
    """An upstream of a plain service, with slots and a bounded queue.

    Attributes:
        answer_loss_rate: Share of the requests that run, but whose connection
            is then closed without a response.
    """

    slots = 6
    queue = 24

    def __init__(
        self,
        upstream_id: str,
        data_centre: str,
        run_ledger: ledger.Ledger,
        rng: random.Random,
    ) -> None:
        """Creates an idle upstream."""
        super().__init__(upstream_id, data_centre, run_ledger, rng)
        self.answer_loss_rate = 0.0
        self._running = 0
        self._queue: list[tuple[IncomingCall, workload.Arrival]] = []

    def arrive(self, incoming: IncomingCall, arrival: workload.Arrival) -> None:
        """Runs, queues or rejects a call."""
        if self._running + len(self._queue) >= self.slots + self.queue:
            self.reject(incoming.transfer)
            return
        self.transfers[incoming.transfer] = None
        self._queue.append((incoming, arrival))
        self._start_queued()

    def _start_queued(self) -> None:
        loop = asyncio.get_running_loop()
        while self._queue and self._running < self.slots:
            incoming, arrival = self._queue.pop(0)
            if incoming.transfer.ended:
                continue
            self._running += 1
            self.run_ledger.runs.append(
                ledger.RunRecord(
                    incoming.call.req.request_id,
                    self.upstream_id,
                    loop.time(),
                    1,
                )
            )
            loop.call_later(
                arrival.work_s, self._finish_call, incoming, arrival
            )

    def _finish_call(
        self, incoming: IncomingCall, arrival: workload.Arrival
    ) -> None:
        loop = asyncio.get_running_loop()
        if loop.time() < self.silent_until:
            loop.call_at(
                self.silent_until, self._finish_call, incoming, arrival
            )
            return
        self._running -= 1
        transfer = incoming.transfer
        if transfer in self.transfers and not transfer.ended:
            cause = None
            if self.prompt_fault is not None:
                cause = self.prompt_fault.cause_in(incoming.call.req)
            if cause is not None:
                self.on_prompt_crash(self, cause)
                return
            self.transfers.pop(transfer, None)
            if self.rng.random() < self.answer_loss_rate:
                transfer.end("broken")
            else:
                is_error = self.rng.random() < arrival.error_rate
                self.respond(transfer, 500 if is_error else 200)
                transfer.data(b"answer")
                transfer.end("complete")
        self._start_queued()

    def crash(self, *, dark: bool) -> None:
        """See Upstream.crash."""
        super().crash(dark=dark)
        self._queue.clear()


class EngineUpstream(Upstream):
    """A model engine, whose passes are timers of the event loop.

    Attributes:
        peers: All engines; this one may prefill the last part of their prompts.
        jobs: Running and queued jobs by request id, with their calls.
        helpers_of: Helpers of each job.
        reservation_expiries: Expiry time of each reservation.
        frames_answers: Whether answers have a length or chunks.
    """

    frames_answers = True

    def __init__(
        self,
        upstream_id: str,
        data_centre: str,
        run_ledger: ledger.Ledger,
        rng: random.Random,
        parameters: engine_passes.EngineParameters,
    ) -> None:
        """Creates an idle upstream."""
        super().__init__(upstream_id, data_centre, run_ledger, rng)
        self.parameters = parameters
        self.passes = engine_passes.EnginePasses(parameters)
        self.jobs: dict[str, tuple[engine_passes.Job, IncomingCall]] = {}
        self.helpers_of: dict[str, list[EngineUpstream]] = {}
        self.reservation_expiries: dict[str, float] = {}
        self._timer: asyncio.TimerHandle | None = None

    def start(
        self,
        incoming: IncomingCall,
        arrival: workload.Arrival,
        helpers: list["EngineUpstream"],
        reserved_tokens: int,
    ) -> None:
        """Queues a stream; refuses it if the engine or a helper is unavailable.

        Args:
            incoming: The call.
            arrival: The request.
            helpers: Other engines that prefill a part of the prompt.
            reserved_tokens: KV memory reserved on each helper, in tokens.
        """
        call = incoming.call
        first = int(call.resume_after or 0) + 1
        if first > arrival.events:
            self._finish_resumed(incoming)
            return
        job = engine_passes.Job(
            call.req.request_id,
            arrival.tokens,
            first,
            arrival.events,
            1 + len(helpers),
            call.priority,
        )
        if reserved_tokens:
            job.own_kv_tokens = max(
                arrival.tokens - reserved_tokens * len(helpers), 0
            )
            job.context_tokens = arrival.tokens // (1 + len(helpers))
        now_ms = self._now_ms()
        helpers_up = all(helper.state == "up" for helper in helpers)
        if not helpers_up or not self.passes.enqueue(job, now_ms):
            self.reject(incoming.transfer)
            return
        self.jobs[job.job_id] = (job, incoming)
        self.helpers_of[job.job_id] = helpers
        self.transfers[incoming.transfer] = None
        incoming.transfer.on_cancel = lambda: self._cancel_job(job)
        for helper in helpers:
            helper.passes.add_helper_part(job, now_ms)
            helper.schedule_pass_end()
        self.schedule_pass_end()

    def _finish_resumed(self, incoming: IncomingCall) -> None:
        """Ends a stream that is resumed after its last event."""
        self._record_run(incoming)
        self.respond(incoming.transfer, 200, framed=self.frames_answers)
        incoming.transfer.end("complete")

    def _record_run(self, incoming: IncomingCall) -> None:
        self.run_ledger.runs.append(
            ledger.RunRecord(
                incoming.call.req.request_id,
                self.upstream_id,
                asyncio.get_running_loop().time(),
                int(incoming.call.resume_after or 0) + 1,
            )
        )

    def schedule_pass_end(self) -> None:
        """Starts the timer of the running pass, if there is none."""
        if self._timer is not None:
            return
        end_ms = self.passes.pass_end_ms
        if end_ms is not None and self.state == "up":
            loop = asyncio.get_running_loop()
            self._timer = loop.call_at(end_ms / 1000, self._end_pass)

    def _end_pass(self) -> None:
        loop = asyncio.get_running_loop()
        if loop.time() < self.silent_until:
            self._timer = loop.call_at(self.silent_until, self._end_pass)
            return
        self._timer = None
        now_ms = self._now_ms()
        for emitted in self.passes.end_pass(now_ms):
            self._deliver_event(emitted)
        for home in self._home_engines():
            home.passes.on_part_done(now_ms)
            home.schedule_pass_end()
        self.schedule_pass_end()

    def _home_engines(self) -> list["EngineUpstream"]:
        """Returns the engines that this one may prefill prompt parts for."""
        return self.peers

    peers: list["EngineUpstream"] = []

    def _deliver_event(self, emitted: engine_passes.Emitted) -> None:
        row = self.jobs.get(emitted.job.job_id)
        if row is None or row[0] is not emitted.job:
            return
        job, incoming = row
        transfer = incoming.transfer
        if transfer.unreachable:
            self._cancel_job(job)
            return
        number = emitted.event_id - int(incoming.call.resume_after or 0)
        if number == 1:
            self._record_run(incoming)
        if self._crash_by_prompt(incoming, number, emitted.event_id):
            return
        if number == 1:
            self.respond(transfer, 200, framed=self.frames_answers)
        transfer.data(_event(emitted.event_id))
        if emitted.last:
            transfer.end("complete")
            self._remove_job(job)

    def _crash_by_prompt(
        self, incoming: IncomingCall, number: int, event_id: int
    ) -> bool:
        """Crashes if the answer that begins is to a request that crashes it.

        Args:
            incoming: The call.
            number: Number of the event that is due, from 1.
            event_id: Its id.
        """
        fault = self.prompt_fault
        if fault is None:
            return False
        if number != (LATE_EVENT if fault.progress == "events" else 1):
            return False
        cause = fault.cause_in(incoming.call.req)
        if cause is None:
            return False
        transfer = incoming.transfer
        if fault.progress in ("head", "half_event", "event"):
            self.respond(transfer, 200, framed=self.frames_answers)
        if fault.progress == "half_event":
            transfer.data(_event(event_id)[:7])
        elif fault.progress == "event":
            transfer.data(_event(event_id))
        self.on_prompt_crash(self, cause)
        return True

    def _cancel_job(self, job: engine_passes.Job) -> None:
        self.passes.remove(job)
        for helper in self.helpers_of.get(job.job_id, []):
            helper.passes.remove(job)
        self._remove_job(job)

    def _remove_job(self, job: engine_passes.Job) -> None:
        row = self.jobs.get(job.job_id)
        if row is not None and row[0] is job:
            del self.jobs[job.job_id]
            self.helpers_of.pop(job.job_id, None)
            self.transfers.pop(row[1].transfer, None)

    def reserve(self, reservation: calls.Reservation) -> bool:
        """Reserves KV memory until the reservation expires."""
        granted = self.passes.reserve(
            reservation.reservation_id, reservation.tokens
        )
        if granted:
            loop = asyncio.get_running_loop()
            expires_at = loop.time() + reservation.hold_s
            self.reservation_expiries[reservation.reservation_id] = expires_at
            loop.call_at(
                expires_at, self._expire_reservation, reservation.reservation_id
            )
        return granted

    def release(self, reservation_id: str) -> None:
        """Releases a reservation."""
        self.passes.reservations.pop(reservation_id, None)
        self.reservation_expiries.pop(reservation_id, None)

    def _expire_reservation(self, reservation_id: str) -> None:
        expires_at = self.reservation_expiries.get(reservation_id)
        now = asyncio.get_running_loop().time()
        if expires_at is not None and expires_at <= now + 1e-6:
            self.release(reservation_id)

    def crash(self, *, dark: bool) -> None:
        """See Upstream.crash."""
        for other in self.peers:
            for job, incoming in list(other.jobs.values()):
                if self in other.helpers_of.get(job.job_id, []):
                    loop = asyncio.get_running_loop()
                    loop.call_later(
                        HELPER_LOSS_TIMEOUT_S, incoming.transfer.end, "broken"
                    )
                    loop.call_later(
                        HELPER_LOSS_TIMEOUT_S, other._cancel_job, job
                    )
        super().crash(dark=dark)
        self.passes = engine_passes.EnginePasses(self.parameters)
        self.jobs.clear()
        self.reservation_expiries.clear()
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _now_ms(self) -> float:
        return asyncio.get_running_loop().time() * 1000


def _event(event_id: int) -> bytes:
    return f"id: {event_id}\ndata: x\n\n".encode()


class VirtualUpstreams(calls.UpstreamClient):
    """A gateway's client of all upstreams.

    Attributes:
        by_address: Upstreams by address.
        arrivals: Requests by the attempt ids of the callers.
        closed: Whether the gateway was killed.
    """

    def __init__(
        self,
        by_address: dict[str, Upstream],
        arrivals: dict[str, workload.Arrival],
        data_centre: str,
        remote_delay_s: float,
        gateway: str = "",
    ) -> None:
        """Creates a client without calls."""
        self.by_address = by_address
        self.arrivals = arrivals
        self.closed = False
        self._data_centre = data_centre
        self._remote_delay_s = remote_delay_s
        self._gateway = gateway
        self._reservations: set[str] = set()
        self._open: dict[VirtualTransfer, None] = {}

    def _delay_s(self, upstream: Upstream) -> float:
        is_local = upstream.data_centre == self._data_centre
        return 0.0002 if is_local else self._remote_delay_s

    def send(
        self, call: calls.UpstreamCall, sink: calls.ResponseSink
    ) -> calls.Transfer:
        """See UpstreamClient.send."""
        upstream = self.by_address[call.address]
        delay_s = self._delay_s(upstream)
        transfer = VirtualTransfer(sink, delay_s, call.req.request_id)
        self._open[transfer] = None
        loop = asyncio.get_running_loop()
        loop.call_later(
            delay_s,
            self._deliver,
            IncomingCall(call, sink, transfer),
            upstream,
            context=contextvars.Context(),
        )
        return transfer

    def _deliver(self, incoming: IncomingCall, upstream: Upstream) -> None:
        transfer, call = incoming.transfer, incoming.call
        if transfer.ended or self.closed:
            return
        self._record_late_dispatch(upstream)
        if upstream.state == "gone":
            transfer.end("not_sent")
            return
        if upstream.state == "dark":
            loop = asyncio.get_running_loop()
            # Connecting to an unreachable machine times out.
            loop.call_later(0.4, transfer.end, "not_sent")
            return
        upstream.run_ledger.deliveries.append(
            ledger.Delivery(
                call.req.request_id,
                upstream.upstream_id,
                asyncio.get_running_loop().time(),
                upstream.started_at_ms,
            )
        )
        if call.upstream_id != upstream.upstream_id:
            upstream.reject(transfer, 421)
            return
        self._record_placement(upstream, "request", call.req.request_id)
        for text in call.helpers:
            self._record_placement(
                self.by_address[text.partition("/")[0]],
                "helper",
                call.req.request_id,
            )
        if not upstream.take_arrival():
            transfer.end("broken")
            return
        if (
            upstream.is_full
            or asyncio.get_running_loop().time() < upstream.refuses_until
        ):
            upstream.reject(transfer)
            return
        arrival = self.arrivals[call.req.request_id]
        if not isinstance(upstream, EngineUpstream):
            upstream.arrive(incoming, arrival)
            return
        helpers = []
        reserved_tokens = 0
        for text in call.helpers:
            address, _, reservation_id = text.partition("/")
            helper = self.by_address[address]
            assert isinstance(helper, EngineUpstream)
            helper.take_arrival()
            helpers.append(helper)
            if reservation_id:
                reserved_tokens = helper.passes.reservations.get(
                    reservation_id, 0
                )
        upstream.start(incoming, arrival, helpers, reserved_tokens)

    def _record_placement(
        self,
        upstream: Upstream,
        what: Literal["request", "helper", "reservation"],
        request_id: str,
    ) -> None:
        upstream.run_ledger.placements.append(
            ledger.Placement(
                self._gateway,
                upstream.upstream_id,
                upstream.data_centre,
                asyncio.get_running_loop().time(),
                what,
                request_id,
            )
        )

    def _record_late_dispatch(self, upstream: Upstream) -> None:
        """Records a request sent to an upstream that has been draining."""
        draining_since = upstream.draining_since
        now = asyncio.get_running_loop().time()
        if draining_since is not None and now > draining_since + DRAIN_NOTICE_S:
            upstream.run_ledger.late_dispatches.append(
                (upstream.upstream_id, now)
            )

    def kill(self) -> None:
        """Closes all connections of the gateway, which was killed."""
        self.closed = True
        for transfer in list(self._open):
            if not transfer.ended:
                transfer.ended = True
                if transfer.on_cancel is not None:
                    transfer.on_cancel()

    def power_off(self) -> None:
        """Leaves all connections of the gateway open, without an endpoint."""
        self.closed = True
        for transfer in list(self._open):
            if not transfer.ended:
                transfer.ended = True
                transfer.unreachable = True

    async def probe(
        self, upstream_id: str, address: str, started_at_ms: int
    ) -> calls.ProbeResult:
        """See UpstreamClient.probe."""
        upstream = self.by_address[address]
        sent_at = asyncio.get_running_loop().time()
        await asyncio.sleep(2 * self._delay_s(upstream))
        if upstream.state == "dark":
            return "unknown"
        is_running = (
            upstream.state == "up"
            and upstream.upstream_id == upstream_id
            and upstream.started_at_ms == started_at_ms
        )
        if is_running and upstream.cold_rule and self.on_cold is not None:
            self.on_cold(
                upstream_id, started_at_ms, upstream.cold_left_s, sent_at
            )
        return "running" if is_running else "ended"

    async def reserve(self, reservation: calls.Reservation) -> bool:
        """See UpstreamClient.reserve."""
        engine = await self._await_engine(reservation)
        if engine is None:
            return False
        if reservation.reservation_id not in self._reservations:
            # Later requests with the same id renew the reservation.
            self._reservations.add(reservation.reservation_id)
            self._record_placement(
                engine, "reservation", reservation.reservation_id
            )
        # The reservation expires also while the gateway is frozen.
        return contextvars.Context().run(engine.reserve, reservation)

    async def release(self, reservation: calls.Reservation) -> None:
        """See UpstreamClient.release."""
        engine = await self._await_engine(reservation)
        if engine is not None:
            engine.release(reservation.reservation_id)

    async def _await_engine(
        self, reservation: calls.Reservation
    ) -> EngineUpstream | None:
        """Returns the engine, or None if another one has its address."""
        upstream = self.by_address[reservation.address]
        assert isinstance(upstream, EngineUpstream)
        await asyncio.sleep(2 * self._delay_s(upstream))
        is_up = upstream.state == "up" and not self.closed
        if is_up and upstream.upstream_id != reservation.upstream_id:
            return None
        if not is_up or not upstream.take_arrival():
            raise errors.UpstreamError(
                "no response", step="reserve", peer=reservation.upstream_id
            )
        return upstream
