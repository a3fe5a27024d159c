"""An event loop in virtual time: its clock skips to the next timer."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

_T = TypeVar("_T")


class _VirtualTimeSelector(selectors.DefaultSelector):
    """Advances the loop's clock by the timeout instead of waiting."""

    loop: "VirtualTimeLoop"

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Returns the events that are ready, without waiting."""
        ready = super().select(0)
        if not ready:
            if timeout is None:
                raise RuntimeError(
                    "no timer is scheduled: the event loop would wait forever"
                )
            self.loop.advance(timeout)
        return ready


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Event loop that runs callbacks and timers in virtual time."""

    def __init__(self) -> None:
        """Creates a loop whose clock is at 0 s."""
        selector = _VirtualTimeSelector()
        selector.loop = self
        self._virtual_s = 0.0
        super().__init__(selector)

    def time(self) -> float:
        """Returns the virtual time in seconds."""
        return self._virtual_s

    def advance(self, seconds: float) -> None:
        """Advances the clock."""
        self._virtual_s += max(seconds, 0.0)


def run(main: Coroutine[Any, Any, _T]) -> _T:
    """Runs a coroutine in virtual time and returns its result."""
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(main)
