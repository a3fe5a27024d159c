"""State of the engine stand-in: the simulation, faults, orders and ledger."""

import os
import time
from collections.abc import Callable
from typing import Final

from apricottrestle_standins import engine_bodies, engine_core, web

_NEVER_S: Final = float("-inf")


class EngineFaults(web.CommonFaults):
    """Faults of the engine, in addition to the common ones.

    Attributes:
        die_after_tokens: Exit the process after this many more tokens; 0 is
            off.
        cut_after_tokens: Close the connection of each stream after this many
            tokens, while its request continues; 0 is off.
        slow_factor: Divisor of the prefill and decode rates.
        ignore_fences: Accept orders with an older fence.
        load_lag_s: Override of the load report's interval; 0 is off.
        cache_lag_s: Override of the cache events' delay; 0 is off.
        cache_gap_every: Drop every n-th cache event; 0 is off.
        leak_allocations: Do not free the memory of ended requests.
        forget_config: Reset the configuration at once, as a restart does.
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


def _exit_process() -> None:
    os._exit(1)


class EngineState(web.Standin):
    """An engine, as the HTTP handlers use it."""

    def __init__(
        self,
        settings: engine_core.EngineSettings,
        exit_process: Callable[[], None] = _exit_process,
    ) -> None:
        """Creates an idle engine.

        Args:
            settings: Capacity and speed.
            exit_process: Called by the fault `die_after_tokens`.
        """
        super().__init__(EngineFaults)
        self.core = engine_core.EngineCore(settings, time.monotonic())
        self.settings = settings
        self.url = ""
        self.config = self._initial_config()
        self.orders: list[engine_bodies.OrderRow] = []
        self.cancels: list[engine_bodies.CancelRow] = []
        self.exports: dict[str, int] = {}
        self._exit_process = exit_process
        self._exit_at_tokens: int | None = None
        self._load_report = engine_bodies.LoadRow()
        self._load_measured_s = _NEVER_S

    def _initial_config(self) -> engine_bodies.OrderBody:
        version = self.settings.version
        return engine_bodies.OrderBody(
            model=self.settings.model, versions=[version] if version else []
        )

    @property
    def engine_faults(self) -> EngineFaults:
        """The fault settings, with their own type."""
        assert isinstance(self.faults, EngineFaults)
        return self.faults

    def on_faults(self) -> None:
        """Applies the fault settings to the simulation."""
        faults = self.engine_faults
        self.core.slow_factor = faults.slow_factor
        self.core.leak_allocations = faults.leak_allocations
        self.core.cache.gap_every = faults.cache_gap_every
        lag_s = faults.cache_lag_s or self.settings.cache_lag_s
        self.core.cache.lag_s = lag_s
        self._exit_at_tokens = None
        if faults.die_after_tokens:
            produced = self.core.produced_total
            self._exit_at_tokens = produced + faults.die_after_tokens
        if faults.forget_config:
            self.config = self._initial_config()

    def tick(self) -> None:
        """Advances the simulation, unless the fault `hang` is on."""
        if self.faults.hang:
            return
        self.core.tick(time.monotonic())
        produced = self.core.produced_total
        if (
            self._exit_at_tokens is not None
            and produced >= self._exit_at_tokens
        ):
            self._exit_process()

    def load_report(self) -> engine_bodies.LoadRow:
        """Returns the load report, which is at most its lag old."""
        now = time.monotonic()
        lag_s = self.engine_faults.load_lag_s or self.settings.load_lag_s
        if now - self._load_measured_s >= lag_s:
            self._load_report = self._measure_load()
            self._load_measured_s = now
        self._load_report.age_ms = int((now - self._load_measured_s) * 1000)
        return self._load_report

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
        """Cancels a request and records it; returns whether it existed."""
        now = time.monotonic()
        known = self.core.end(request_id, "cancelled", now)
        self.cancels.append(
            engine_bodies.CancelRow(now, request_id, reason, known)
        )
        return known

    def apply_order(self, body: engine_bodies.OrderBody) -> bool:
        """Applies an order; returns False if its fence is too old."""
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
        """Returns the record of everything that the engine did."""
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
