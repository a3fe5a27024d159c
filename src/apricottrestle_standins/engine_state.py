"""State of the engine stand-in around its core: faults, orders, ledger."""

import os
import time
from collections.abc import Callable
from typing import Final

from apricottrestle_standins import engine_bodies, engine_core, web

_NEVER_S: Final = float("-inf")


class EngineFaults(web.CommonFaults):
    """Faults of the engine besides the common ones.

    Attributes:
        die_after_tokens: The process ends after so many more tokens; 0 is off.
        cut_after_tokens: Each stream is cut, and its request goes on, after so
            many tokens; 0 is off.
        slow_factor: Divides both rates.
        ignore_fences: Older orders are obeyed.
        load_lag_s: Overrides the load report's interval; 0 is off.
        cache_lag_s: Overrides the cache events' delay; 0 is off.
        cache_gap_every: Every n-th cache event is lost; 0 is off.
        leak_allocations: Memory of ended requests is not freed.
        forget_config: The configuration is reset at once, as after a restart.
    """

    die_after_tokens: int = 0
    cut_after_tokens: int = 0
    slow_factor: float = 1.0
    ignore_fences: bool = False
    load_lag_s: float = 0.0
    cache_lag_s: float = 0.0
    cache_gap_every: int = 0
    leak_allocations: bool = False
    forget_config: bool = False


def _end_process() -> None:
    os._exit(1)


class EngineState(web.Standin):
    """One engine: the core, its clock and what the handlers need."""

    def __init__(
        self,
        settings: engine_core.EngineSettings,
        die: Callable[[], None] = _end_process,
    ) -> None:
        """Starts an empty engine; `die` is called by the fault."""
        super().__init__(EngineFaults)
        self.core = engine_core.EngineCore(settings, time.monotonic())
        self.settings = settings
        self.url = ""
        self.config = self._first_config()
        self.orders: list[engine_bodies.OrderRow] = []
        self.cancels: list[engine_bodies.CancelRow] = []
        self.exports: dict[str, int] = {}
        self._die = die
        self._die_at: int | None = None
        self._load = engine_bodies.LoadRow()
        self._load_s = _NEVER_S

    def _first_config(self) -> engine_bodies.OrderBody:
        version = self.settings.version
        return engine_bodies.OrderBody(
            model=self.settings.model, versions=[version] if version else []
        )

    @property
    def engine_faults(self) -> EngineFaults:
        """The fault settings with the engine's own fields."""
        assert isinstance(self.faults, EngineFaults)
        return self.faults

    def on_faults(self) -> None:
        """Hands the settings over to the core."""
        faults = self.engine_faults
        self.core.slow_factor = faults.slow_factor
        self.core.keep_finished = faults.leak_allocations
        self.core.cache.gap_every = faults.cache_gap_every
        lag_s = faults.cache_lag_s or self.settings.cache_lag_s
        self.core.cache.lag_s = lag_s
        self._die_at = None
        if faults.die_after_tokens:
            made = self.core.produced_total
            self._die_at = made + faults.die_after_tokens
        if faults.forget_config:
            self.config = self._first_config()

    def tick(self) -> None:
        """Advances the core to the present, unless the engine hangs."""
        if self.faults.hang:
            return
        self.core.tick(time.monotonic())
        made = self.core.produced_total
        if self._die_at is not None and made >= self._die_at:
            self._die()

    def load(self) -> engine_bodies.LoadRow:
        """Returns the load report, as old as its lag allows."""
        now = time.monotonic()
        lag_s = self.engine_faults.load_lag_s or self.settings.load_lag_s
        if now - self._load_s >= lag_s:
            self._load = self._measure_load()
            self._load_s = now
        self._load.age_ms = int((now - self._load_s) * 1000)
        return self._load

    def _measure_load(self) -> engine_bodies.LoadRow:
        requests = self.core.requests.values()
        running = [req for req in requests if req.running]
        return engine_bodies.LoadRow(
            running=len(running),
            waiting=len(requests) - len(running),
            prefill_tokens_left=int(sum(r.prefill_left for r in running)),
            kv_blocks_total=self.settings.kv_blocks,
            kv_blocks_free=self.core.free_blocks(),
            block_tokens=self.settings.block_tokens,
            prefill_tokens_per_s=self.settings.prefill_tokens_per_s,
        )

    def cancel(self, request_id: str, reason: str) -> bool:
        """Ends a request and writes the ledger row."""
        now = time.monotonic()
        known = self.core.end(request_id, "cancelled", now)
        self.cancels.append(
            engine_bodies.CancelRow(now, request_id, reason, known)
        )
        return known

    def order(self, body: engine_bodies.OrderBody) -> bool:
        """Obeys an order, or refuses one that is older than the last."""
        checks = self.settings.checks_fence
        stale = body.fence < self.config.fence
        accepted = not stale or self.engine_faults.ignore_fences or not checks
        row = engine_bodies.OrderRow(
            time.monotonic(), body.fence, body.model, accepted
        )
        self.orders.append(row)
        if accepted:
            if body.model != self.config.model:
                self.core.cache.clear(time.monotonic())
            self.config = body
        return accepted

    def ledger(self) -> engine_bodies.Ledger:
        """Returns everything that the engine did."""
        total = self.settings.kv_blocks
        return engine_bodies.Ledger(
            time.monotonic(),
            self.core.runs,
            self.cancels,
            self.core.allocation_events,
            self.orders,
            total - self.core.free_blocks(),
            total,
        )
