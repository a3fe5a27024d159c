"""Tests that KV cache reservations on engines end with their run."""

import asyncio

import pytest

from apricottrestle import errors
from apricottrestle.gateway import calls, memory_holds
from tests import async_helpers

FREE_S = 0.2


class _Engines(calls.UpstreamClient):
    """Engines that record their requests; some refuse or don't answer."""

    def __init__(self, refusing: set[str], silent: set[str]) -> None:
        self.requests: list[tuple[str, str]] = []
        self._refusing = refusing
        self._silent = silent

    def send(
        self, call: calls.UpstreamCall, sink: calls.ResponseSink
    ) -> calls.Transfer:
        raise NotImplementedError

    async def probe(
        self, upstream_id: str, address: str, started_at_ms: int
    ) -> calls.ProbeResult:
        raise NotImplementedError

    async def reserve(self, reservation: calls.Reservation) -> bool:
        self.requests.append(("reserve", reservation.upstream_id))
        await asyncio.sleep(0)
        if reservation.upstream_id in self._silent:
            raise errors.UpstreamError("no answer", step="reserve")
        return reservation.upstream_id not in self._refusing

    async def release(self, reservation: calls.Reservation) -> None:
        self.requests.append(("release", reservation.upstream_id))
        await asyncio.sleep(0)

    def count(self, request: str, upstream_id: str) -> int:
        return self.requests.count((request, upstream_id))


def _reservations(hold_s: float) -> list[calls.Reservation]:
    return [
        calls.Reservation(f"r-{name}", "127.0.0.1:1", name, 1000, hold_s)
        for name in ("a", "b")
    ]


@async_helpers.async_test
async def test_reservation_expires_soon_after_its_gateway_dies() -> None:
    """Guards against memory that stays reserved after a gateway is killed.

    A hold time as long as the caller's time limit caused a LEAK in the scenario
    ledena scale-1 --seed 505669893929: no process was left to release the
    reservation.
    """
    engines = _Engines(set(), set())
    holds = memory_holds.MemoryHolds(engines, FREE_S, 20.0)
    assert holds.hold_s < FREE_S
    assert await holds.acquire("run", _reservations(holds.hold_s))
    await async_helpers.wait_until(lambda: engines.count("reserve", "a") >= 4)
    holds.release("run")
    await holds.wait_released()
    renewed = engines.count("reserve", "a")
    assert engines.count("release", "a") == engines.count("release", "b") == 1
    await asyncio.sleep(FREE_S)
    assert engines.count("reserve", "a") == renewed


@pytest.mark.parametrize(
    ("refusing", "silent"), [({"b"}, set()), (set(), {"b"})]
)
@async_helpers.async_test
async def test_partially_granted_reservations_are_released(
    refusing: set[str], silent: set[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against unused memory on engines that granted a reservation."""
    monkeypatch.setattr(memory_holds, "LATE_RESERVE_MAX_S", 0.05)
    monkeypatch.setattr(memory_holds, "LATE_RELEASE_INTERVAL_S", 0.01)
    engines = _Engines(refusing, silent)
    holds = memory_holds.MemoryHolds(engines, FREE_S, 20.0)
    assert not await holds.acquire("run", _reservations(holds.hold_s))
    await holds.wait_released()
    assert engines.count("release", "a") >= 1
    assert engines.count("release", "b") >= 1


@async_helpers.async_test
async def test_unanswered_reserve_is_released_while_it_may_take_effect(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a reserve request that is executed after its release."""
    monkeypatch.setattr(memory_holds, "LATE_RESERVE_MAX_S", 0.1)
    monkeypatch.setattr(memory_holds, "LATE_RELEASE_INTERVAL_S", 0.02)
    engines = _Engines(set(), {"b"})
    holds = memory_holds.MemoryHolds(engines, FREE_S, 20.0)
    await holds.acquire("run", _reservations(holds.hold_s))
    await holds.wait_released()
    assert engines.count("release", "a") == 1
    assert engines.count("release", "b") >= 4


@async_helpers.async_test
async def test_release_during_acquire_leaves_no_reservation() -> None:
    """Guards against a leak if a run ends before the engines answer."""
    engines = _Engines(set(), set())
    holds = memory_holds.MemoryHolds(engines, FREE_S, 20.0)
    acquiring = asyncio.ensure_future(
        holds.acquire("run", _reservations(holds.hold_s))
    )
    await asyncio.sleep(0)
    holds.release("run")
    assert not await acquiring
    await holds.wait_released()
    last = {name: request for request, name in engines.requests}
    assert last == {"a": "release", "b": "release"}
