"""HTTP client of an agent's upstream: what engine and service have in common.

Invariant: libcurl sends a request that uses `fresh_connection` at most once.
"""

import abc
import asyncio
from collections.abc import Callable, Coroutine
from types import TracebackType
from typing import Any, Final, Self

import pycurl
from tornado import curl_httpclient

from apricottrestle import agent_events

CONNECT_TIMEOUT_S: Final = 1.0
_SPARE_CLIENTS: Final = 16

Emit = Callable[[agent_events.Event], None]


class UpstreamClient(abc.ABC):
    """Runs commands on the event loop. A context manager."""

    def __init__(self, url: str, slots: int, emit: Emit) -> None:
        """Prepares the client.

        Args:
            url: Base URL of the upstream.
            slots: Runs or calls at the same time.
            emit: Sink of events.
        """
        self._url = url.rstrip("/")
        self._slots = slots
        self._emit = emit
        self._tasks: set[asyncio.Task[None]] = set()

    def __enter__(self) -> Self:
        """Opens the HTTP client; runs on the event loop."""
        self._client = new_client(_max_clients(self._slots))
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Ends all tasks and closes the HTTP client."""
        for task in self._tasks:
            task.cancel()
        self._client.close()

    async def settle(self, timeout_s: float) -> None:
        """Waits for commands under way, so that an exit cuts none."""
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=timeout_s)

    def execute(self, cmd: agent_events.Command) -> bool:
        """Starts a command; returns False when it isn't for the upstream."""
        work = self._work(cmd)
        if work is None:
            return False
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return True

    @abc.abstractmethod
    def _work(
        self, cmd: agent_events.Command
    ) -> Coroutine[Any, Any, None] | None:
        """Returns the work of a command, or None when it isn't for this."""


def new_client(max_clients: int) -> curl_httpclient.CurlAsyncHTTPClient:
    """Returns an HTTP client with so many connections at most."""
    return curl_httpclient.CurlAsyncHTTPClient(
        force_instance=True, max_clients=max_clients
    )


def fresh_connection(curl: pycurl.Curl) -> None:
    """Keeps libcurl from sending a request twice.

    On a reused connection that dies before the first byte of the answer,
    libcurl repeats the request, although the server may have run it.
    """
    curl.setopt(pycurl.FRESH_CONNECT, 1)
    curl.setopt(pycurl.FORBID_REUSE, 1)


def _max_clients(slots: int) -> int:
    """Returns the connections for so many slots.

    A run or call that was given up may hold its connection for a while. Each
    connection has a curl handle of its own from the start, hence no more.
    """
    return 2 * slots + _SPARE_CLIENTS
