"""Engines and plain upstreams in virtual time, and a gateway's way to them."""

import asyncio
import collections
import random
from collections.abc import Callable
from typing import Final, NamedTuple

from apricottrestle import errors
from apricottrestle.gateway import calls
from apricottrestle_standins.platform import engine_passes, ledger, workload

STALL_S: Final = 1.5
"""Time for which work that depends on a lost engine stalls."""

SILENCE_S: Final = 3.0
"""Time after which a connection to a dark machine ends."""

DRAIN_S: Final = 2.0
"""Time after its notice in which an upstream still gets new work."""

FREE_S: Final = 4.0
"""Time after a run's end in which its reserved memory must be free."""


class Exchange(NamedTuple):
    """A call as it reaches an upstream."""

    call: calls.UpstreamCall
    sink: calls.ResponseSink
    transfer: "VirtualTransfer"


class VirtualTransfer(calls.Transfer):
    """A call under way; delivers to the sink after the network's delay."""

    def __init__(
        self, sink: calls.ResponseSink, delay_s: float, request_id: str
    ) -> None:
        """Starts before anything has been sent."""
        self._sink = sink
        self._delay_s = delay_s
        self.request_id = request_id
        self.ended = False
        self.on_cancel: Callable[[], None] | None = None
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

    def head(self, status: int, *, not_run: bool = False) -> None:
        """Delivers a signed head."""
        head = calls.ResponseHead(
            status, (), self.request_id, not not_run, not_run, False, None
        )
        self._later(lambda: self._sink.on_head(head))

    def data(self, data: bytes) -> None:
        """Delivers a part of the body."""
        self._later(lambda: self._sink.on_data(data))

    def end(self, kind: calls.EndKind) -> None:
        """Delivers the end."""
        self._later(lambda: self._finish(kind))

    def _finish(self, kind: calls.EndKind) -> None:
        self.ended = True
        self._sink.on_end(kind, "")

    def _later(self, deliver: Callable[[], None]) -> None:
        # Timers of one moment may fire in any order, so each takes the first.
        self._in_flight.append(deliver)
        asyncio.get_running_loop().call_later(self._delay_s, self._arrive)

    def _arrive(self) -> None:
        deliver = self._in_flight.popleft()
        if not self.ended:
            deliver()


class Upstream:
    """An upstream with a state that faults change.

    Attributes:
        upstream_id: Its id.
        address: Its address.
        data_centre: Its data centre.
        state: "up", "gone" (connections are refused) or "dark" (silence).
        transfers: Calls under way, in order, so that a seed replays.
        draining_since: When its leaving was stored, or None.
        started_at_ms: Start of its process; grows with each.
    """

    def __init__(
        self,
        upstream_id: str,
        data_centre: str,
        book: ledger.Ledger,
        rng: random.Random,
    ) -> None:
        """Starts up and idle."""
        self.upstream_id = upstream_id
        self.address = upstream_id
        self.data_centre = data_centre
        self.state = "up"
        self.book = book
        self.rng = rng
        self.transfers: dict[VirtualTransfer, None] = {}
        self.draining_since: float | None = None
        self.started_at_ms = 1

    def arrive(self, exchange: Exchange, arrival: workload.Arrival) -> None:
        """Receives a call."""
        raise NotImplementedError

    def crash(self, *, dark: bool) -> None:
        """Loses all work; connections reset, or go silent when dark."""
        self.state = "dark" if dark else "gone"
        loop = asyncio.get_running_loop()
        for transfer in list(self.transfers):
            if dark:
                loop.call_later(SILENCE_S, transfer.end, "broken")
            else:
                transfer.end("broken")
        self.transfers.clear()

    def restart(self) -> None:
        """Comes back, knowing nothing of before."""
        self.state = "up"
        self.started_at_ms += 1


class PlainUpstream(Upstream):
    """A plain service's upstream: slots and a queue."""

    slots = 6
    queue = 24

    def __init__(
        self,
        upstream_id: str,
        data_centre: str,
        book: ledger.Ledger,
        rng: random.Random,
    ) -> None:
        """Starts idle."""
        super().__init__(upstream_id, data_centre, book, rng)
        self.lost_share = 0.0
        self._running = 0
        self._queue: list[tuple[Exchange, workload.Arrival]] = []

    def arrive(self, exchange: Exchange, arrival: workload.Arrival) -> None:
        """Runs, queues or rejects a call."""
        if self._running + len(self._queue) >= self.slots + self.queue:
            exchange.transfer.head(503, not_run=True)
            exchange.transfer.end("complete")
            return
        self.transfers[exchange.transfer] = None
        self._queue.append((exchange, arrival))
        self._next()

    def _next(self) -> None:
        loop = asyncio.get_running_loop()
        while self._queue and self._running < self.slots:
            exchange, arrival = self._queue.pop(0)
            if exchange.transfer.ended:
                continue
            self._running += 1
            self.book.runs.append(
                ledger.RunRecord(
                    exchange.call.req.request_id,
                    self.upstream_id,
                    loop.time(),
                    1,
                )
            )
            loop.call_later(arrival.work_s, self._done, exchange, arrival)

    def _done(self, exchange: Exchange, arrival: workload.Arrival) -> None:
        self._running -= 1
        transfer = exchange.transfer
        if transfer in self.transfers and not transfer.ended:
            self.transfers.pop(transfer, None)
            if self.rng.random() < self.lost_share:
                transfer.end("broken")
            else:
                fails = self.rng.random() < arrival.fail_share
                transfer.head(500 if fails else 200)
                transfer.data(b"answer")
                transfer.end("complete")
        self._next()

    def crash(self, *, dark: bool) -> None:
        """See Upstream.crash."""
        super().crash(dark=dark)
        self._queue.clear()


class EngineUpstream(Upstream):
    """A model engine; its passes run on the loop's clock."""

    def __init__(
        self,
        upstream_id: str,
        data_centre: str,
        book: ledger.Ledger,
        rng: random.Random,
        figures: engine_passes.EngineFigures,
    ) -> None:
        """Starts idle."""
        super().__init__(upstream_id, data_centre, book, rng)
        self.figures = figures
        self.passes = engine_passes.EnginePasses(figures)
        self.jobs: dict[str, tuple[engine_passes.Job, Exchange]] = {}
        self.helpers_of: dict[str, list[EngineUpstream]] = {}
        self.holds: dict[str, float] = {}
        self._timer: asyncio.TimerHandle | None = None

    def start(
        self,
        exchange: Exchange,
        arrival: workload.Arrival,
        helpers: list["EngineUpstream"],
        held_tokens: int,
    ) -> None:
        """Queues a stream, with engines that read parts of its prompt."""
        call = exchange.call
        first = int(call.resume_after or 0) + 1
        job = engine_passes.Job(
            call.req.request_id,
            arrival.tokens,
            first,
            max(arrival.events, first),
            1 + len(helpers),
            call.priority,
        )
        if held_tokens:
            job.own_tokens = max(arrival.tokens - held_tokens * len(helpers), 0)
            job.context_tokens = arrival.tokens // (1 + len(helpers))
        now_ms = self._now_ms()
        up = all(helper.state == "up" for helper in helpers)
        if not up or not self.passes.offer(job, now_ms):
            exchange.transfer.head(503, not_run=True)
            exchange.transfer.end("complete")
            return
        self.jobs[job.job_id] = (job, exchange)
        self.helpers_of[job.job_id] = helpers
        self.transfers[exchange.transfer] = None
        exchange.transfer.on_cancel = lambda: self._drop(job)
        for helper in helpers:
            helper.passes.help(job, now_ms)
            helper.kick()
        self.kick()

    def kick(self) -> None:
        """Sets the timer for the end of the pass under way."""
        if self._timer is not None:
            return
        ends_ms = self.passes.pass_ends_ms
        if ends_ms is not None and self.state == "up":
            loop = asyncio.get_running_loop()
            self._timer = loop.call_at(ends_ms / 1000, self._end_pass)

    def _end_pass(self) -> None:
        self._timer = None
        now_ms = self._now_ms()
        for emitted in self.passes.end_pass(now_ms):
            self._give(emitted)
        for home in self._homes():
            home.passes.wake(now_ms)
            home.kick()
        self.kick()

    def _homes(self) -> list["EngineUpstream"]:
        """Engines whose prompts this one may have read the last part of."""
        return self.peers

    peers: list["EngineUpstream"] = []

    def _give(self, emitted: engine_passes.Emitted) -> None:
        row = self.jobs.get(emitted.job.job_id)
        if row is None or row[0] is not emitted.job:
            return
        job, exchange = row
        transfer = exchange.transfer
        if emitted.event_id == int(exchange.call.resume_after or 0) + 1:
            self.book.runs.append(
                ledger.RunRecord(
                    job.job_id,
                    self.upstream_id,
                    asyncio.get_running_loop().time(),
                    emitted.event_id,
                )
            )
            transfer.head(200)
        transfer.data(f"id: {emitted.event_id}\ndata: x\n\n".encode())
        if emitted.last:
            transfer.end("complete")
            self._forget(job)

    def _drop(self, job: engine_passes.Job) -> None:
        self.passes.drop(job)
        for helper in self.helpers_of.get(job.job_id, []):
            helper.passes.drop(job)
        self._forget(job)

    def _forget(self, job: engine_passes.Job) -> None:
        row = self.jobs.get(job.job_id)
        if row is not None and row[0] is job:
            del self.jobs[job.job_id]
            self.helpers_of.pop(job.job_id, None)
            self.transfers.pop(row[1].transfer, None)

    def reserve(self, reservation: calls.Reservation) -> bool:
        """Sets memory aside for a time."""
        granted = self.passes.reserve(
            reservation.reservation_id, reservation.tokens
        )
        if granted:
            loop = asyncio.get_running_loop()
            ends = loop.time() + reservation.hold_s
            self.holds[reservation.reservation_id] = ends
            loop.call_at(ends, self._expire, reservation.reservation_id)
        return granted

    def release(self, reservation_id: str) -> None:
        """Frees memory."""
        self.passes.reservations.pop(reservation_id, None)
        self.holds.pop(reservation_id, None)

    def _expire(self, reservation_id: str) -> None:
        ends = self.holds.get(reservation_id)
        now = asyncio.get_running_loop().time()
        if ends is not None and ends <= now + 1e-6:
            self.release(reservation_id)

    def crash(self, *, dark: bool) -> None:
        """See Upstream.crash."""
        for other in self.peers:
            for job, exchange in list(other.jobs.values()):
                if self in other.helpers_of.get(job.job_id, []):
                    loop = asyncio.get_running_loop()
                    loop.call_later(STALL_S, exchange.transfer.end, "broken")
                    loop.call_later(STALL_S, other._drop, job)
        super().crash(dark=dark)
        self.passes = engine_passes.EnginePasses(self.figures)
        self.jobs.clear()
        self.holds.clear()
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _now_ms(self) -> float:
        return asyncio.get_running_loop().time() * 1000


class VirtualUpstreams(calls.UpstreamClient):
    """A gateway's way to all upstreams.

    Attributes:
        by_address: Upstreams by address.
        arrivals: The requests by the callers' attempt ids.
        closed: The gateway was killed: its connections are gone.
    """

    def __init__(
        self,
        by_address: dict[str, Upstream],
        arrivals: dict[str, workload.Arrival],
        data_centre: str,
        far_s: float,
    ) -> None:
        """Starts without calls."""
        self.by_address = by_address
        self.arrivals = arrivals
        self.closed = False
        self._data_centre = data_centre
        self._far_s = far_s
        self._open: dict[VirtualTransfer, None] = {}

    def _delay_s(self, upstream: Upstream) -> float:
        near = upstream.data_centre == self._data_centre
        return 0.0002 if near else self._far_s

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
            delay_s, self._deliver, Exchange(call, sink, transfer), upstream
        )
        return transfer

    def _deliver(self, exchange: Exchange, upstream: Upstream) -> None:
        transfer, call = exchange.transfer, exchange.call
        if transfer.ended or self.closed:
            return
        self._note_late_work(upstream)
        if upstream.state == "gone":
            transfer.end("not_sent")
            return
        if upstream.state == "dark":
            loop = asyncio.get_running_loop()
            loop.call_later(0.4, transfer.end, "not_sent")
            return
        arrival = self.arrivals[call.req.request_id]
        if not isinstance(upstream, EngineUpstream):
            upstream.arrive(exchange, arrival)
            return
        helpers = []
        held_tokens = 0
        for text in call.helpers:
            address, _, ticket = text.partition("/")
            helper = self.by_address[address]
            assert isinstance(helper, EngineUpstream)
            helpers.append(helper)
            if ticket:
                held_tokens = helper.passes.reservations.get(ticket, 0)
        upstream.start(exchange, arrival, helpers, held_tokens)

    def _note_late_work(self, upstream: Upstream) -> None:
        """Notes work for an upstream that said long ago that it leaves."""
        left_at = upstream.draining_since
        now = asyncio.get_running_loop().time()
        if left_at is not None and now > left_at + DRAIN_S:
            upstream.book.late_work.append((upstream.upstream_id, now))

    def kill(self) -> None:
        """Ends all connections of a gateway that was killed."""
        self.closed = True
        for transfer in list(self._open):
            if not transfer.ended:
                transfer.ended = True
                if transfer.on_cancel is not None:
                    transfer.on_cancel()

    async def reserve(self, reservation: calls.Reservation) -> bool:
        """See UpstreamClient.reserve."""
        engine = await self._order(reservation)
        return engine.reserve(reservation)

    async def release(self, reservation: calls.Reservation) -> None:
        """See UpstreamClient.release."""
        engine = await self._order(reservation)
        engine.release(reservation.reservation_id)

    async def _order(self, reservation: calls.Reservation) -> EngineUpstream:
        upstream = self.by_address[reservation.address]
        assert isinstance(upstream, EngineUpstream)
        await asyncio.sleep(2 * self._delay_s(upstream))
        if upstream.state != "up" or self.closed:
            raise errors.UpstreamError(
                "no answer", step="reserve", peer=reservation.upstream_id
            )
        return upstream
