"""Model engine on a given clock: batching, memory, leases, prefix cache.

Prefill is shared equally between the running prompts, as chunked prefill does;
decode runs at a fixed rate for each stream. Invariants: the blocks of all
allocations never exceed `kv_blocks`, and every block given or freed has a row
in the ledger.
"""

import math
from collections.abc import Callable, Sequence
from typing import Final, NamedTuple

import msgspec

from apricottrestle import hashing
from apricottrestle_standins import prefix_cache, tokens

_MAX_RUNS: Final = 100_000


class EngineSettings(
    msgspec.Struct, forbid_unknown_fields=True, kw_only=True, frozen=True
):
    """Size and speed of an engine; rates are low or high as a test needs.

    Attributes:
        prefill_tokens_per_s: Prompt tokens computed per second, all requests.
        decode_tokens_per_s: Tokens per second of each stream.
        kv_blocks: KV memory in blocks.
        block_tokens: Tokens in a block.
        max_running: Requests that run at the same time.
        cache_blocks: Prefix cache size in blocks of hashing.prefix_blocks.
        cache_lag_s: Delay before a cache event is visible.
        load_lag_s: Interval at which the load report is renewed.
        order_s: Time from an order to its effect.
        checks_fence: Refuses orders with a fence older than the last one.
        cancel_on_disconnect: Cancels a request whose caller disconnects.
        model: Model loaded at the start.
        version: Version loaded at the start.
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
    """Ledger row of one started request.

    Attributes:
        request_id: Id given by the agent.
        attempt: Attempt given by the agent, 0 when it gives none.
        priority: Priority given by the agent.
        prompt_tokens: Length of the prompt.
        forced_tokens: Length of the forced prefix.
        max_tokens: Tokens to produce in all, forced prefix included.
        started_s: Monotonic time of the start.
        produced: Tokens produced by this run.
        reused: Prompt tokens taken from the prefix cache or an import.
        end: "", "finished", "cancelled", "exported", "lapsed" or "failed".
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
    """Ledger row: `kind` is "allocate", "free" or "lapse"."""

    time_s: float
    kind: str
    allocation: str
    blocks: int


class Allocation(NamedTuple):
    """Blocks in use; `lease_end_s` is infinite without a lease."""

    id: str
    blocks: int
    request_id: str
    lease_end_s: float


class StartRequest(NamedTuple):
    """What a run needs; `group_tokens` is memory held on other engines."""

    request_id: str
    attempt: int
    priority: int
    prompt: Sequence[int]
    max_tokens: int
    forced_prefix: Sequence[int]
    lease_s: float
    group_tokens: int


class Request(msgspec.Struct):
    """A waiting or running request."""

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
        """Tokens so far, forced prefix included."""
        return self.run.forced_tokens + len(self.output)


class EngineError(Exception):
    """The engine refuses a call; `status` is the HTTP status."""

    def __init__(self, status: int, message: str) -> None:
        """Stores status and message."""
        super().__init__(message)
        self.status = status


class EngineCore:
    """The engine's state; all times are monotonic seconds from the caller."""

    def __init__(self, settings: EngineSettings, now: float) -> None:
        """Starts empty."""
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
        self.keep_finished = False
        self.produced_total = 0
        self._arrivals = 0
        self._last_s = now

    def blocks_for(self, token_count: int) -> int:
        """Returns the blocks that hold a number of tokens."""
        return math.ceil(max(token_count, 0) / self.settings.block_tokens)

    def free_blocks(self) -> int:
        """Returns the blocks without allocation."""
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
        """Allocates blocks; repeating an id with its size renews its lease.

        Raises:
            EngineError: Not enough memory, or the id is taken.
        """
        held = self.allocations.get(allocation_id)
        if held is not None and held.blocks != blocks:
            raise EngineError(409, f"allocation {allocation_id} exists")
        if held is None and blocks > self.free_blocks():
            raise EngineError(507, f"no memory for {blocks} blocks")
        self.allocations[allocation_id] = Allocation(
            allocation_id, blocks, request_id, now + lease_s
        )
        if held is None:
            self._log_allocation(now, "allocate", allocation_id, blocks)

    def renew(self, allocation_id: str, lease_s: float, now: float) -> None:
        """Sets a lease to end `lease_s` from now.

        Raises:
            EngineError: The allocation is unknown, for example lapsed.
        """
        held = self.allocations.get(allocation_id)
        if held is None:
            raise EngineError(404, f"no allocation {allocation_id}")
        self.allocations[allocation_id] = held._replace(
            lease_end_s=now + lease_s
        )

    def free(self, allocation_id: str, now: float, kind: str = "free") -> bool:
        """Frees an allocation; a request that uses it ends."""
        held = self.allocations.pop(allocation_id, None)
        if held is None:
            return False
        self._log_allocation(now, kind, allocation_id, held.blocks)
        if held.request_id in self.requests:
            end = "lapsed" if kind == "lapse" else "failed"
            self.end(held.request_id, end, now)
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
            wake: Called after new tokens, and at the end.
            now: Monotonic seconds.

        Raises:
            EngineError: The id runs already, or the request never fits.
        """
        if spec.request_id in self.requests:
            raise EngineError(409, f"request {spec.request_id} runs already")
        if self._own_blocks(spec) > self.settings.kv_blocks:
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
        self._arrivals += 1
        seed = tokens.prompt_seed(spec.prompt)
        req = Request(spec, run, self._arrivals, seed, wake)
        self.requests[spec.request_id] = req
        self.runs.append(run)
        del self.runs[:-_MAX_RUNS]
        return req

    def _own_blocks(self, spec: StartRequest) -> int:
        needed = len(spec.prompt) + spec.max_tokens - spec.group_tokens
        return self.blocks_for(needed)

    def end(self, request_id: str, end: str, now: float) -> bool:
        """Ends a request and frees its memory; False when it is unknown."""
        req = self.requests.pop(request_id, None)
        if req is None:
            return False
        req.run.end = end
        if not self.keep_finished:
            self.free(request_id, now)
        req.wake()
        return True

    def export(
        self, request_id: str, handle: str, lease_s: float, now: float
    ) -> int:
        """Ends a request but keeps its memory under a handle.

        Returns:
            The tokens whose keys and values are kept.

        Raises:
            EngineError: The request does not run.
        """
        req = self.requests.get(request_id)
        if req is None or not req.running or req.prefill_left > 0:
            raise EngineError(404, f"request {request_id} is not decoding")
        kept = req.run.prompt_tokens + req.position
        self.end(request_id, "exported", now)
        self.allocate(handle, self.blocks_for(kept), now, lease_s=lease_s)
        return kept

    def tick(self, now: float) -> None:
        """Advances all requests to `now`."""
        elapsed_s = max(now - self._last_s, 0.0) / self.slow_factor
        self._last_s = now
        self._expire(now)
        self._admit_waiting(now)
        self._prefill(elapsed_s, now)
        self._decode(elapsed_s, now)

    def _expire(self, now: float) -> None:
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
            if not self._admit(req, now):
                return
            running += 1

    def _admit(self, req: Request, now: float) -> bool:
        spec = req.spec
        import_id = f"import-{spec.request_id}"
        held = self.allocations.get(import_id)
        imported = self.imported_tokens.get(spec.request_id, 0) if held else 0
        available = self.free_blocks() + (held.blocks if held else 0)
        blocks = self._own_blocks(spec)
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

    def _prefill(self, elapsed_s: float, now: float) -> None:
        budget = self.settings.prefill_tokens_per_s * elapsed_s
        todo = [
            req
            for req in self.requests.values()
            if req.running and req.prefill_left > 0
        ]
        todo.sort(key=lambda req: req.prefill_left)
        for index, req in enumerate(todo):
            share = budget / (len(todo) - index)
            done = min(share, req.prefill_left)
            budget -= done
            req.prefill_left -= done
            if req.prefill_left <= 0:
                self.cache.add(hashing.prefix_blocks(req.spec.prompt), now)
                req.decode_credit = 1.0

    def _decode(self, elapsed_s: float, now: float) -> None:
        gained = self.settings.decode_tokens_per_s * elapsed_s
        for req in list(self.requests.values()):
            if not req.running or req.prefill_left > 0:
                continue
            if req.output:
                req.decode_credit += gained
            self._produce(req, now)

    def _produce(self, req: Request, now: float) -> None:
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
