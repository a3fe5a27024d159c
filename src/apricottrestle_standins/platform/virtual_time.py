"""An event loop whose clock jumps to the next timer instead of waiting."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

_T = TypeVar("_T")


class _JumpingSelector(selectors.DefaultSelector):
    """Advances the clock by the time that it is asked to wait."""

    loop: "VirtualTimeLoop"

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Returns what is ready now; never waits."""
        ready = super().select(0)
        if not ready:
            if timeout is None:
                raise RuntimeError("nothing is scheduled: the test would hang")
            self.loop.advance(timeout)
        return ready


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Runs callbacks and timers in virtual time, from 0 s on."""

    def __init__(self) -> None:
        """Starts at 0 s."""
        selector = _JumpingSelector()
        selector.loop = self
        self._virtual_s = 0.0
        super().__init__(selector)

    def time(self) -> float:
        """Returns the virtual time in seconds."""
        return self._virtual_s

    def advance(self, seconds: float) -> None:
        """Moves the clock forward."""
        self._virtual_s += max(seconds, 0.0)


def run(main: Coroutine[Any, Any, _T]) -> _T:
    """Runs a coroutine to its end in virtual time."""
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(main)
