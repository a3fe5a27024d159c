"""Simulated model engine: batching, KV memory, leases and prefix cache.

The caller provides the time. The prefill rate is shared equally between the
running prompts, as in chunked prefill; each stream decodes at a fixed rate.

Invariants: the blocks of all allocations never exceed `kv_blocks`, and every
allocation and release has a row in the ledger.
"""

import math
from collections.abc import Callable, Sequence
from typing import Final, NamedTuple

import msgspec

from apricottrestle import hashing
from apricottrestle_standins import prefix_cache, tokens

_MAX_LEDGER_RUNS: Final = 100_000


class EngineSettings(
    msgspec.Struct, forbid_unknown_fields=True, kw_only=True, frozen=True
):
    """Capacity and speed of a simulated engine.

    Attributes:
        prefill_tokens_per_s: Prefill rate, over all requests.
        decode_tokens_per_s: Tokens per second of a stream.
        kv_blocks: KV memory in blocks.
        block_tokens: Tokens in a block.
        max_running: Maximum number of requests that run at the same time.
        cache_blocks: Prefix cache size in blocks of hashing.prefix_blocks.
        cache_lag_s: Delay until a cache event is visible.
        load_lag_s: Interval at which the load report is updated.
        order_s: Delay until an order takes effect.
        checks_fence: Whether to refuse an order with an older fence than the
            last accepted one.
        cancel_on_disconnect: Whether to cancel a request whose caller
            disconnects.
        model: Model that is loaded initially.
        version: Version that is loaded initially.
    """

    prefill_tokens_per_s: float = 100_000.0
    decode_tokens_per_s: float = 200.0
    kv_blocks: int = 8192
    block_tokens: int = 16
    max_running: int = 64
    cache_blocks: int = 4096
    cache_lag_s: float = 0.2
    load_lag_s: float = 0.2
    order_s: float = 0.0
    checks_fence: bool = True
    cancel_on_disconnect: bool = True
    model: str = ""
    version: str = ""


class Run(msgspec.Struct):
    """Ledger row of a request.

    Attributes:
        request_id: Id assigned by the agent.
        attempt: Attempt number assigned by the agent, or 0.
        priority: Priority assigned by the agent; lower values run first.
        prompt_tokens: Length of the prompt.
        forced_tokens: Length of the forced prefix.
        max_tokens: Length of the output, forced prefix included.
        started_s: Monotonic time at which the request was received.
        produced: Number of tokens that this run produced.
        reused: Prompt tokens taken from the prefix cache or an import.
        end: "" until the end, then "finished", "cancelled", "exported",
            "lapsed" (its lease has expired) or "failed".
    """

    request_id: str
    attempt: int
    priority: int
    prompt_tokens: int
    forced_tokens: int
    max_tokens: int
    started_s: float
    produced: int = 0
    reused: int = 0
    end: str = ""


class AllocationEvent(msgspec.Struct):
    """Ledger row of a change of an allocation.

    `kind` is "allocate", "free" or "lapse" (the lease has expired).
    """

    time_s: float
    kind: str
    allocation: str
    blocks: int


class Allocation(NamedTuple):
    """Allocated blocks; `lease_end_s` is infinite without a lease."""

    id: str
    blocks: int
    request_id: str
    lease_end_s: float


class StartRequest(NamedTuple):
    """Parameters of a request.

    `group_tokens` is the part of its context that the group's allocations hold.
    """

    request_id: str
    attempt: int
    priority: int
    prompt: Sequence[int]
    max_tokens: int
    forced_prefix: Sequence[int]
    lease_s: float
    group_tokens: int


class Request(msgspec.Struct):
    """A waiting or running request.

    Attributes:
        spec: Parameters of the request.
        run: Ledger row of the request.
        arrival: Sequence number of its arrival.
        seed: Seed of the output.
        wake: Called after new tokens and at the end.
        prefill_left: Tokens that are still to be prefilled.
        running: Whether it has left the waiting queue.
        decode_credit: Tokens that may be produced, from the decode rate.
        output: Tokens produced so far.
    """

    spec: StartRequest
    run: Run
    arrival: int
    seed: int
    wake: Callable[[], None]
    prefill_left: float = 0.0
    running: bool = False
    decode_credit: float = 0.0
    output: list[int] = []

    @property
    def position(self) -> int:
        """Length of the output so far, forced prefix included."""
        return self.run.forced_tokens + len(self.output)


class EngineError(Exception):
    """The engine rejected a call; `status` is the HTTP status."""

    def __init__(self, status: int, message: str) -> None:
        """Initializes the error."""
        super().__init__(message)
        self.status = status


class EngineCore:
    """State of a simulated engine; times are monotonic seconds."""

    def __init__(self, settings: EngineSettings, now: float) -> None:
        """Creates an engine without requests or allocations."""
        self.settings = settings
        self.allocations: dict[str, Allocation] = {}
        self.requests: dict[str, Request] = {}
        self.cache = prefix_cache.PrefixCache(
            settings.cache_blocks, settings.cache_lag_s
        )
        self.runs: list[Run] = []
        self.allocation_events: list[AllocationEvent] = []
        self.imported_tokens: dict[str, int] = {}
        self.slow_factor = 1.0
        self.leak_allocations = False
        self.produced_total = 0
        self._arrival_count = 0
        self._last_tick_s = now

    def blocks_for(self, token_count: int) -> int:
        """Returns the number of blocks needed for a number of tokens."""
        return math.ceil(max(token_count, 0) / self.settings.block_tokens)

    def free_blocks(self) -> int:
        """Returns the number of blocks that are not allocated."""
        used = sum(row.blocks for row in self.allocations.values())
        return self.settings.kv_blocks - used

    def allocate(
        self,
        allocation_id: str,
        blocks: int,
        now: float,
        *,
        lease_s: float,
        request_id: str = "",
    ) -> None:
        """Allocates blocks; repeating an allocation renews its lease.

        Raises:
            EngineError: Not enough memory, or the id is in use with another
                size.
        """
        existing = self.allocations.get(allocation_id)
        if existing is not None and existing.blocks != blocks:
            raise EngineError(
                409, f"allocation {allocation_id} exists with another size"
            )
        if existing is None and blocks > self.free_blocks():
            raise EngineError(
                507, f"not enough free memory for {blocks} blocks"
            )
        self.allocations[allocation_id] = Allocation(
            allocation_id, blocks, request_id, now + lease_s
        )
        if existing is None:
            self._log_allocation(now, "allocate", allocation_id, blocks)

    def renew(self, allocation_id: str, lease_s: float, now: float) -> None:
        """Sets a lease to expire `lease_s` seconds from now.

        Raises:
            EngineError: The allocation does not exist, for example because
                its lease has expired.
        """
        existing = self.allocations.get(allocation_id)
        if existing is None:
            raise EngineError(404, f"no allocation {allocation_id}")
        self.allocations[allocation_id] = existing._replace(
            lease_end_s=now + lease_s
        )

    def free(self, allocation_id: str, now: float, kind: str = "free") -> bool:
        """Frees an allocation and ends the request that owns it.

        Returns:
            Whether the allocation existed.
        """
        existing = self.allocations.pop(allocation_id, None)
        if existing is None:
            return False
        self._log_allocation(now, kind, allocation_id, existing.blocks)
        if existing.request_id in self.requests:
            end = "lapsed" if kind == "lapse" else "failed"
            self.end(existing.request_id, end, now)
        return True

    def _log_allocation(
        self, now: float, kind: str, allocation_id: str, blocks: int
    ) -> None:
        self.allocation_events.append(
            AllocationEvent(now, kind, allocation_id, blocks)
        )

    def start(
        self, spec: StartRequest, wake: Callable[[], None], now: float
    ) -> Request:
        """Queues a request.

        Args:
            spec: The request.
            wake: Called after new tokens and at the end of the request.
            now: Monotonic seconds.

        Raises:
            EngineError: The id is in use, or the request exceeds the memory.
        """
        if spec.request_id in self.requests:
            raise EngineError(
                409, f"request {spec.request_id} is already running"
            )
        if self._blocks_needed(spec) > self.settings.kv_blocks:
            raise EngineError(413, "request is larger than the KV memory")
        run = Run(
            spec.request_id,
            spec.attempt,
            spec.priority,
            len(spec.prompt),
            len(spec.forced_prefix),
            spec.max_tokens,
            now,
        )
        self._arrival_count += 1
        seed = tokens.prompt_seed(spec.prompt)
        req = Request(spec, run, self._arrival_count, seed, wake)
        self.requests[spec.request_id] = req
        self.runs.append(run)
        del self.runs[:-_MAX_LEDGER_RUNS]
        return req

    def _blocks_needed(self, spec: StartRequest) -> int:
        needed = len(spec.prompt) + spec.max_tokens - spec.group_tokens
        return self.blocks_for(needed)

    def end(self, request_id: str, end: str, now: float) -> bool:
        """Ends a request and frees its memory; returns whether it existed."""
        req = self.requests.pop(request_id, None)
        if req is None:
            return False
        req.run.end = end
        if not self.leak_allocations:
            self.free(request_id, now)
        req.wake()
        return True

    def export(
        self, request_id: str, handle: str, lease_s: float, now: float
    ) -> int:
        """Ends a request but keeps its KV memory under a handle.

        Returns:
            The number of tokens in the kept memory.

        Raises:
            EngineError: The request is not decoding.
        """
        req = self.requests.get(request_id)
        if req is None or not req.running or req.prefill_left > 0:
            raise EngineError(404, f"request {request_id} is not decoding")
        kept_tokens = req.run.prompt_tokens + req.position
        self.end(request_id, "exported", now)
        self.allocate(
            handle, self.blocks_for(kept_tokens), now, lease_s=lease_s
        )
        return kept_tokens

    def tick(self, now: float) -> None:
        """Advances the simulation to `now`."""
        elapsed_s = max(now - self._last_tick_s, 0.0) / self.slow_factor
        self._last_tick_s = now
        self._expire_leases(now)
        self._admit_waiting(now)
        self._run_prefill(elapsed_s, now)
        self._run_decode(elapsed_s, now)

    def _expire_leases(self, now: float) -> None:
        lapsed = [
            row.id for row in self.allocations.values() if row.lease_end_s < now
        ]
        for allocation_id in lapsed:
            self.free(allocation_id, now, "lapse")

    def _admit_waiting(self, now: float) -> None:
        waiting = [req for req in self.requests.values() if not req.running]
        running = len(self.requests) - len(waiting)
        waiting.sort(key=lambda req: (req.spec.priority, req.arrival))
        for req in waiting:
            if running >= self.settings.max_running:
                return
            if not self._try_admit(req, now):
                return
            running += 1

    def _try_admit(self, req: Request, now: float) -> bool:
        spec = req.spec
        import_id = f"import-{spec.request_id}"
        existing = self.allocations.get(import_id)
        imported = (
            self.imported_tokens.get(spec.request_id, 0) if existing else 0
        )
        available = self.free_blocks() + (existing.blocks if existing else 0)
        blocks = self._blocks_needed(spec)
        if blocks > available:
            return False
        self.imported_tokens.pop(spec.request_id, None)
        self.free(import_id, now)
        self.allocate(
            spec.request_id,
            blocks,
            now,
            lease_s=spec.lease_s,
            request_id=spec.request_id,
        )
        context = len(spec.prompt) + len(spec.forced_prefix)
        cached = self.cache.match(hashing.prefix_blocks(spec.prompt))
        reused = max(cached * hashing.PREFIX_BLOCK_TOKENS, imported)
        req.run.reused = min(reused, context)
        req.prefill_left = float(max(context - reused, 1))
        req.running = True
        return True

    def _run_prefill(self, elapsed_s: float, now: float) -> None:
        budget = self.settings.prefill_tokens_per_s * elapsed_s
        prefilling = [
            req
            for req in self.requests.values()
            if req.running and req.prefill_left > 0
        ]
        prefilling.sort(key=lambda req: req.prefill_left)
        for index, req in enumerate(prefilling):
            share = budget / (len(prefilling) - index)
            done = min(share, req.prefill_left)
            budget -= done
            req.prefill_left -= done
            if req.prefill_left <= 0:
                self.cache.add(hashing.prefix_blocks(req.spec.prompt), now)
                req.decode_credit = 1.0

    def _run_decode(self, elapsed_s: float, now: float) -> None:
        new_credit = self.settings.decode_tokens_per_s * elapsed_s
        for req in list(self.requests.values()):
            if not req.running or req.prefill_left > 0:
                continue
            if req.output:
                req.decode_credit += new_credit
            self._emit_tokens(req, now)

    def _emit_tokens(self, req: Request, now: float) -> None:
        left = req.spec.max_tokens - req.position
        count = min(int(req.decode_credit), left)
        start = req.position
        req.output.extend(
            tokens.output_token(req.seed, index)
            for index in range(start, start + count)
        )
        req.decode_credit -= count
        req.run.produced += count
        self.produced_total += count
        if count == left:
            self.end(req.spec.request_id, "finished", now)
        elif count:
            req.wake()
