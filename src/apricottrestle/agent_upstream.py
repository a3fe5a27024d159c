"""Base class of the HTTP clients of an agent's upstream, an engine or service.

Invariant: libcurl sends a request that uses `disable_connection_reuse` at most
once.
"""

import abc
import asyncio
from collections.abc import Callable, Coroutine
from types import TracebackType
from typing import Any, Final, Self

import pycurl

from apricottrestle import agent_events, http_answers

CONNECT_TIMEOUT_S: Final = 1.0

EventSink = Callable[[agent_events.Event], None]


class UpstreamClient(abc.ABC):
    """Executes commands on the event loop.

    It is a context manager that owns the HTTP client and the running commands.
    """

    def __init__(self, url: str, emit: EventSink) -> None:
        """Creates the client; nothing is opened yet.

        Args:
            url: Base URL of the upstream.
            emit: Called with each event.
        """
        self._url = url.rstrip("/")
        self._emit = emit
        self._tasks: set[asyncio.Task[None]] = set()

    def __enter__(self) -> Self:
        """Opens the HTTP client; must run on the event loop."""
        self._client = new_http_client()
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Cancels all tasks and closes the HTTP client."""
        for task in self._tasks:
            task.cancel()
        self._client.close()

    async def wait_for_commands(self, timeout_s: float) -> None:
        """Waits until all running commands have ended, or for the timeout.

        Called before an exit, which would cancel them.
        """
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=timeout_s)

    def execute(self, cmd: agent_events.Command) -> bool:
        """Starts a command; returns False if it isn't for the upstream."""
        coroutine = self._make_coroutine(cmd)
        if coroutine is None:
            return False
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return True

    @abc.abstractmethod
    def _make_coroutine(
        self, cmd: agent_events.Command
    ) -> Coroutine[Any, Any, None] | None:
        """Returns the coroutine that executes a command.

        Returns None if the command isn't for this kind of upstream.
        """


def new_http_client() -> http_answers.StrictCurlClient:
    """Returns an HTTP client, in which no call waits for others."""
    return http_answers.StrictCurlClient(force_instance=True)


def disable_connection_reuse(curl: pycurl.Curl) -> None:
    """Gives a request a connection of its own, so that it is not sent twice.

    If a reused connection dies before the first byte of the response, libcurl
    repeats the request, although the server may have executed it.
    """
    curl.setopt(pycurl.FRESH_CONNECT, 1)
    curl.setopt(pycurl.FORBID_REUSE, 1)
