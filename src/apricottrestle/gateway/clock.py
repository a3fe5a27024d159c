"""Time of the gateway: the event loop's monotonic clock, and periodic calls.

Nothing in the gateway reads the time of day, which may step; a loop with a
virtual clock runs all of it in virtual time.
"""

import asyncio
import logging
from collections.abc import Callable
from types import TracebackType
from typing import Final, Self

_LOG: Final = logging.getLogger(__name__)


def now() -> float:
    """Returns the running loop's monotonic time in seconds."""
    return asyncio.get_running_loop().time()


class Ticker:
    """Calls a function at intervals while its context is open.

    Unlike tornado's periodic callback it doesn't follow the time of day, which
    would delay the next call when the clock is set back.
    """

    def __init__(self, interval_s: float, function: Callable[[], None]) -> None:
        """Prepares the calls.

        Args:
            interval_s: Time between two calls in seconds.
            function: Called on the event loop. An error is logged and doesn't
                end the calls.
        """
        self._interval_s = interval_s
        self._function = function
        self._handle: asyncio.TimerHandle | None = None

    def __enter__(self) -> Self:
        """Starts the calls."""
        self._schedule()
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Ends the calls."""
        if self._handle is not None:
            self._handle.cancel()

    def _schedule(self) -> None:
        loop = asyncio.get_running_loop()
        self._handle = loop.call_later(self._interval_s, self._call)

    def _call(self) -> None:
        self._schedule()
        try:
            self._function()
        except Exception:
            _LOG.exception("periodic call failed")
