"""An event loop in virtual time: its clock skips to the next timer.

Simulated processes can be frozen: what runs in the context of a process, its
callbacks, timers and tasks, then waits until it is thawed.
"""

import asyncio
import contextvars
import selectors
from collections.abc import Callable, Coroutine
from typing import Any, Final, TypeVar, TypeVarTuple

_T = TypeVar("_T")
_Ts = TypeVarTuple("_Ts")

_PROCESS: Final[contextvars.ContextVar[str]] = contextvars.ContextVar(
    "process", default=""
)
"""Name of the simulated process that the running code belongs to."""


def process_context(name: str) -> contextvars.Context:
    """Returns a context whose code belongs to a simulated process."""
    context = contextvars.Context()
    context.run(_PROCESS.set, name)
    return context


def process_of(context: contextvars.Context) -> str:
    """Returns the name of the process that a context belongs to."""
    return context.get(_PROCESS, "")


def running_loop() -> "VirtualTimeLoop | None":
    """Returns the running loop if it is one in virtual time."""
    loop = asyncio.get_running_loop()
    return loop if isinstance(loop, VirtualTimeLoop) else None


def enter(
    context: contextvars.Context, function: Callable[..., object], *args: Any
) -> None:
    """Calls a function in a process's context, once it isn't frozen."""
    loop = running_loop()
    name = process_of(context)
    if loop is not None and loop.is_frozen(name):
        loop.call_soon(function, *args, context=context.copy())
    else:
        context.copy().run(function, *args)


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
        self._frozen: dict[str, list[Callable[[], None]]] = {}
        super().__init__(selector)

    def is_frozen(self, name: str) -> bool:
        """Returns whether a process is frozen."""
        return name in self._frozen

    def freeze(self, name: str) -> None:
        """Lets nothing run in the context of a process."""
        self._frozen.setdefault(name, [])

    def thaw(self, name: str) -> None:
        """Runs what has become due in the context of a process, in order."""
        for run_callback in self._frozen.pop(name, []):
            super().call_soon(run_callback, context=contextvars.Context())

    def call_soon(
        self,
        callback: Callable[[*_Ts], object],
        *args: *_Ts,
        context: contextvars.Context | None = None,
    ) -> asyncio.Handle:
        """Schedules a callback, which waits while its process is frozen."""
        due = _Due(self, callback, args, context)
        due.handle = super().call_soon(due, context=due.context)
        return due.handle

    def call_at(
        self,
        when: float,
        callback: Callable[[*_Ts], object],
        *args: *_Ts,
        context: contextvars.Context | None = None,
    ) -> asyncio.TimerHandle:
        """Schedules a timer, which waits while its process is frozen."""
        due = _Due(self, callback, args, context)
        handle = super().call_at(when, due, context=due.context)
        due.handle = handle
        return handle

    def hold(self, name: str, run_callback: Callable[[], None]) -> bool:
        """Keeps a callback if its process is frozen; returns whether it is."""
        held = self._frozen.get(name)
        if held is not None:
            held.append(run_callback)
        return held is not None

    def time(self) -> float:
        """Returns the virtual time in seconds."""
        return self._virtual_s

    def advance(self, seconds: float) -> None:
        """Advances the clock."""
        self._virtual_s += max(seconds, 0.0)


class _Due:
    """A callback that waits while its process is frozen.

    Attributes:
        context: Context in which it runs.
        handle: Handle by which it can be cancelled, also while it waits.
    """

    __slots__ = ("_args", "_callback", "_loop", "context", "handle")

    def __init__(
        self,
        loop: VirtualTimeLoop,
        callback: Callable[..., object],
        args: tuple[Any, ...],
        context: contextvars.Context | None,
    ) -> None:
        self._loop = loop
        self._callback = callback
        self._args = args
        self.context = context or contextvars.copy_context()
        self.handle: asyncio.Handle | None = None

    def __call__(self) -> None:
        if not self._loop.hold(process_of(self.context), self._thawed):
            self._callback(*self._args)

    def _thawed(self) -> None:
        if self.handle is None or not self.handle.cancelled():
            self.context.run(self)


def run(main: Coroutine[Any, Any, _T]) -> _T:
    """Runs a coroutine in virtual time and returns its result."""
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(main)
