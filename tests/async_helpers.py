"""Helpers for asyncio tests."""

import asyncio
import functools
from collections.abc import Callable, Coroutine
from typing import Any, Final, ParamSpec

_TIMEOUT_S: Final = 5.0
_POLL_S: Final = 0.005

_P = ParamSpec("_P")


def async_test(
    test: Callable[_P, Coroutine[Any, Any, None]],
) -> Callable[_P, None]:
    """Decorates a coroutine test function to run on its own event loop."""

    @functools.wraps(test)
    def run(*args: _P.args, **kwargs: _P.kwargs) -> None:
        asyncio.run(test(*args, **kwargs))

    return run


async def wait_until(
    condition: Callable[[], object], timeout_s: float = _TIMEOUT_S
) -> None:
    """Waits until a condition is true.

    Raises:
        TimeoutError: The condition isn't true after `timeout_s`.
    """
    async with asyncio.timeout(timeout_s):
        while not condition():
            await asyncio.sleep(_POLL_S)
