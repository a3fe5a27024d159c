"""Tests the simulated engine's memory, batching and output on a fake clock."""

import contextlib

import hypothesis
import pytest
from hypothesis import strategies as st

from apricottrestle_standins import engine_core, prefix_cache, tokens

_SETTINGS = engine_core.EngineSettings(
    prefill_tokens_per_s=1000.0,
    decode_tokens_per_s=100.0,
    kv_blocks=64,
    block_tokens=16,
    cache_lag_s=1.0,
)
_FOREVER_S = float("inf")


def _spec(
    request_id: str = "r1",
    *,
    prompt_tokens: int = 100,
    max_tokens: int = 10,
    forced: list[int] | None = None,
    priority: int = 1,
    lease_s: float = _FOREVER_S,
) -> engine_core.StartRequest:
    return engine_core.StartRequest(
        request_id,
        1,
        priority,
        range(prompt_tokens),
        max_tokens,
        forced or [],
        lease_s,
        0,
    )


def _run_until_end(core: engine_core.EngineCore, now: float = 0.0) -> float:
    while core.requests and now < 1000:
        now += 0.01
        core.tick(now)
    return now


def _start(
    core: engine_core.EngineCore, spec: engine_core.StartRequest
) -> engine_core.Request:
    return core.start(spec, lambda: None, 0.0)


@pytest.mark.parametrize("forced_count", [0, 1, 9])
def test_output_depends_on_prompt_and_position_only(forced_count: int) -> None:
    """Otherwise, the check of a resumed stream could miss lost tokens."""
    expected = tokens.output_tokens(range(100), 0, 10)
    core = engine_core.EngineCore(_SETTINGS, 0.0)
    req = _start(core, _spec(forced=expected[:forced_count]))
    _run_until_end(core)
    assert expected[:forced_count] + req.output == expected
    assert req.run.produced == 10 - forced_count


def test_rates_set_first_token_and_total_time() -> None:
    core = engine_core.EngineCore(_SETTINGS, 0.0)
    _start(core, _spec(prompt_tokens=500, max_tokens=51))
    assert _run_until_end(core) == pytest.approx(0.5 + 0.5, abs=0.05)


def test_short_prompt_is_not_held_up_by_a_long_one() -> None:
    core = engine_core.EngineCore(_SETTINGS, 0.0)
    _start(core, _spec("long", prompt_tokens=800, max_tokens=1))
    short = _start(core, _spec("short", prompt_tokens=50, max_tokens=1))
    core.tick(0.0)
    core.tick(0.1)
    assert short.run.end == "finished"


def test_waiting_requests_start_by_priority() -> None:
    core = engine_core.EngineCore(_SETTINGS, 0.0)
    _start(core, _spec("first", prompt_tokens=900))
    core.tick(0.0)
    batch = _start(core, _spec("batch", prompt_tokens=900, priority=2))
    urgent = _start(core, _spec("urgent", prompt_tokens=900, priority=0))
    while not core.requests["first"].run.end:
        core.tick(core._last_tick_s + 0.1)
        if "first" not in core.requests:
            break
    core.tick(core._last_tick_s)
    assert urgent.running
    assert not batch.running


def test_lapsed_lease_ends_the_request_and_frees_its_memory() -> None:
    core = engine_core.EngineCore(_SETTINGS, 0.0)
    req = _start(core, _spec(max_tokens=900, lease_s=1.0))
    core.tick(0.0)
    core.tick(0.9)
    assert req.run.end == ""
    core.tick(1.1)
    assert req.run.end == "lapsed"
    assert core.free_blocks() == 64


def test_renewal_extends_a_lease() -> None:
    core = engine_core.EngineCore(_SETTINGS, 0.0)
    core.allocate("g", 4, 0.0, lease_s=1.0)
    core.renew("g", 1.0, 0.5)
    core.tick(1.2)
    assert "g" in core.allocations
    core.tick(1.6)
    assert core.allocation_events[-1].kind == "lapse"


@pytest.mark.parametrize(
    ("blocks", "status"), [(65, 507), (0, None), (64, None)]
)
def test_memory_is_bounded(blocks: int, status: int | None) -> None:
    core = engine_core.EngineCore(_SETTINGS, 0.0)
    if status is None:
        core.allocate("a", blocks, 0.0, lease_s=1.0)
        assert core.free_blocks() == 64 - blocks
        return
    with pytest.raises(engine_core.EngineError) as caught:
        core.allocate("a", blocks, 0.0, lease_s=1.0)
    assert caught.value.status == status


def test_leaked_memory_is_kept_until_it_is_freed() -> None:
    core = engine_core.EngineCore(_SETTINGS, 0.0)
    core.leak_allocations = True
    _start(core, _spec())
    _run_until_end(core)
    assert list(core.allocations) == ["r1"]
    assert core.free("r1", 9.0)
    assert core.free_blocks() == 64


def test_second_run_of_a_prompt_reuses_its_full_blocks() -> None:
    core = engine_core.EngineCore(_SETTINGS, 0.0)
    _start(core, _spec("r1", prompt_tokens=600))
    now = _run_until_end(core)
    again = core.start(_spec("r2", prompt_tokens=600), lambda: None, now)
    _run_until_end(core, now)
    assert again.run.reused == 512


def test_cache_events_are_delayed_and_have_gaps() -> None:
    cache = prefix_cache.PrefixCache(2, lag_s=1.0)
    cache.gap_every = 2
    for block in (11, 12, 13):
        cache.add([block], 0.0)
    assert cache.events_after(0, 0.5) == []
    assert [event.seq for event in cache.events_after(0, 1.0)] == [1, 3]
    assert cache.snapshot() == (3, [12, 13])


_ACTIONS = st.one_of(
    st.tuples(st.just("start"), st.integers(0, 9), st.integers(1, 1200)),
    st.tuples(st.just("cancel"), st.integers(0, 9), st.just(0)),
    st.tuples(st.just("allocate"), st.integers(0, 9), st.integers(0, 700)),
    st.tuples(st.just("free"), st.integers(0, 9), st.just(0)),
    st.tuples(st.just("tick"), st.just(0), st.integers(0, 400)),
)


@hypothesis.given(st.lists(_ACTIONS, max_size=60))
def test_ledger_accounts_for_every_block(
    actions: list[tuple[str, int, int]],
) -> None:
    """An incomplete ledger would hide memory leaks of the product."""
    core = engine_core.EngineCore(_SETTINGS, 0.0)
    now = 0.0
    for kind, ident, size in actions:
        now += size / 100 if kind == "tick" else 0.0
        with contextlib.suppress(engine_core.EngineError):
            _apply_action(core, kind, ident, size, now)
        assert 0 <= core.free_blocks() <= 64
        balance = sum(
            event.blocks if event.kind == "allocate" else -event.blocks
            for event in core.allocation_events
        )
        assert balance == 64 - core.free_blocks()


def _apply_action(
    core: engine_core.EngineCore, kind: str, ident: int, size: int, now: float
) -> None:
    if kind == "start":
        spec = _spec(f"r{ident}", prompt_tokens=size, lease_s=5.0)
        core.start(spec, lambda: None, now)
    elif kind == "cancel":
        core.end(f"r{ident}", "cancelled", now)
    elif kind == "allocate":
        blocks = core.blocks_for(size)
        core.allocate(f"a{ident}", blocks, now, lease_s=3.0)
    elif kind == "free":
        core.free(f"a{ident}", now)
    else:
        core.tick(now)
