"""Tests from when on the bounds of a gateway's planned stop count."""

import asyncio
import os
import signal
import time
from collections.abc import Iterator
from typing import Any, cast

import pytest

from apricottrestle.gateway import clock, daemon, graceful_stop
from apricottrestle_standins.platform import virtual_time
from tests import async_helpers

HELD_UP_S = 0.3
GRACE_S = 8.0


@pytest.fixture(autouse=True)
def _restore_handlers() -> Iterator[None]:
    numbers = (signal.SIGTERM, signal.SIGINT)
    handlers = [signal.getsignal(number) for number in numbers]
    yield
    for number, handler in zip(numbers, handlers, strict=True):
        signal.signal(number, handler)


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT])
@async_helpers.async_test
async def test_time_of_a_signal_does_not_depend_on_the_event_loop(
    number: signal.Signals,
) -> None:
    """Guards against a stop that exceeds its grace by what it began late.

    The loop is busy when the signal comes, and again when it comes once more.
    """
    sent_at: list[float] = []

    def hold_up() -> None:
        for _ in range(2):
            sent_at.append(clock.now())
            os.kill(os.getpid(), number)
            time.sleep(HELD_UP_S)

    with daemon._StopSignal() as stop_signal:
        asyncio.get_running_loop().call_soon(hold_up)
        received_at = await stop_signal.wait()
        assert clock.now() >= sent_at[0] + 2 * HELD_UP_S
    assert 0.0 <= received_at - sent_at[0] < HELD_UP_S / 2
    os.kill(os.getpid(), number)


class _Peers:
    """A gateway without peers that leaves the rotation at once."""

    stop_order = 1
    in_rotation = False

    def begin_stop(self, until: float) -> None:
        pass

    def gateway_count(self) -> int:
        return 1

    def peers_in_rotation(self) -> int:
        return 0


class _Core:
    """A gateway with one request that ends only with the shutdown."""

    def __init__(self) -> None:
        self.active = {object()}
        self.stopping = False

    def begin_stop(self, serve_until: float, estimate_until: float) -> None:
        pass

    def end_requests(self) -> None:
        self.active.clear()


class _Listener(graceful_stop.Listener):
    arriving = 0
    open_responses = 0

    def stop_listening(self) -> None:
        pass

    def close_idle(self) -> None:
        pass

    def check_arrivals(self) -> None:
        pass


@pytest.mark.parametrize("delay_s", [0.0, 0.5, 3.0, 7.5])
def test_stop_ends_within_its_grace_period_however_late_it_begins(
    delay_s: float,
) -> None:
    """Guards against a process that is killed because its loop was busy."""

    async def main() -> float:
        signal_at = clock.now() - delay_s
        await graceful_stop.GracefulStop(
            cast(Any, _Core()),
            cast(Any, _Peers()),
            _Listener(),
            GRACE_S,
            signal_at,
        ).run()
        return clock.now() - signal_at

    assert virtual_time.run(main()) < GRACE_S
