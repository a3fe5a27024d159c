"""HTTP plumbing that the stand-ins share: typed JSON bodies, faults, serving.

Every stand-in has `POST /faults`, which replaces all fault settings at once (an
absent key is off), and `GET /faults`, which reads them back; `GET /held` counts
the requests that a fault holds back. Faults never apply to these paths and to
`/ledger`, so a test can always look at a broken stand-in.
"""

import asyncio
import signal
from collections.abc import Awaitable, Callable, Sequence
from typing import Any, Final, TypeVar

import msgspec
import tornado.httpserver
import tornado.netutil
import tornado.web

T = TypeVar("T")
MAX_BODY_BYTES: Final = 32 * 1024 * 1024
_HANG_POLL_S: Final = 0.02
_EXEMPT_PATHS: Final = ("/faults", "/held", "/ledger")

Routes = list[tuple[str, type[tornado.web.RequestHandler], dict[str, Any]]]


class CommonFaults(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Faults of every stand-in.

    Attributes:
        delay_s: Seconds before each request takes effect.
        hang: Requests are read but neither run nor answered.
        error_status: Requests answer with this status without effect; 0 is off.
        lose_path: Path prefix of the requests that lose their answer.
        lose_count: Number of next answers to lose after the effect.
    """

    delay_s: float = 0.0
    hang: bool = False
    error_status: int = 0
    lose_path: str = "/"
    lose_count: int = 0


class Standin:
    """State that the handlers of one stand-in share."""

    def __init__(self, fault_type: type[CommonFaults]) -> None:
        """Starts without faults."""
        self.fault_type = fault_type
        self.faults = fault_type()
        self.held = 0

    def on_faults(self) -> None:
        """Called after the fault settings were replaced."""


class BadInputError(tornado.web.HTTPError):
    """The request's body or query is not what the path takes."""


class JsonHandler(tornado.web.RequestHandler):
    """Handler with typed JSON bodies that applies the common faults."""

    def initialize(self, standin: Standin) -> None:
        """Stores the stand-in that the handler belongs to."""
        self.standin = standin

    async def prepare(self) -> None:
        """Applies the faults that come before the effect."""
        if self.request.path in _EXEMPT_PATHS:
            return
        self.standin.held += 1
        try:
            await self._hold()
        finally:
            self.standin.held -= 1
        status = self.standin.faults.error_status
        if status:
            self.fail(status, "error fault is on")

    async def _hold(self) -> None:
        while self.standin.faults.hang:
            await asyncio.sleep(_HANG_POLL_S)
        delay_s = self.standin.faults.delay_s
        if delay_s:
            await asyncio.sleep(delay_s)

    def read_json(self, kind: type[T]) -> T:
        """Returns the body checked against a type; answers 400 otherwise."""
        try:
            return msgspec.json.decode(self.request.body, type=kind)
        except (msgspec.DecodeError, UnicodeDecodeError) as exc:
            raise BadInputError(400, reason=f"bad body: {exc}") from exc

    def int_argument(self, name: str, default: int) -> int:
        """Returns an integer of the query; answers 400 otherwise."""
        text = self.get_query_argument(name, str(default))
        try:
            return int(text)
        except ValueError as exc:
            raise BadInputError(400, reason=f"{name} is no integer") from exc

    def reply(self, value: object, status: int = 200) -> None:
        """Answers with JSON, or cuts the connection if answers get lost."""
        if self._loses_answer():
            self.cut()
            return
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.finish(msgspec.json.encode(value))

    def fail(
        self, status: int, message: str, retry_after_s: float | None = None
    ) -> None:
        """Answers with an error and ends the request."""
        if retry_after_s is not None:
            self.set_header("Retry-After", f"{retry_after_s:.3f}")
        self.set_status(status)
        self.finish({"error": message})

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Answers an exception as JSON."""
        del kwargs
        self.finish({"error": self._reason, "status": status_code})

    def cut(self) -> None:
        """Closes the connection without an answer."""
        self.detach().close()

    def _loses_answer(self) -> bool:
        faults = self.standin.faults
        path = self.request.path
        if path in _EXEMPT_PATHS or not path.startswith(faults.lose_path):
            return False
        if faults.lose_count <= 0:
            return False
        faults.lose_count -= 1
        return True


class FaultsHandler(JsonHandler):
    """`POST /faults` replaces and `GET /faults` reads the fault settings."""

    def get(self) -> None:
        """Answers with the fault settings."""
        self.reply(self.standin.faults)

    def post(self) -> None:
        """Replaces all fault settings."""
        self.standin.faults = self.read_json(self.standin.fault_type)
        self.standin.on_faults()
        self.reply(self.standin.faults)


class HeldHandler(JsonHandler):
    """`GET /held`: how many requests a delay or hang holds back."""

    def get(self) -> None:
        """Answers with the number."""
        self.reply({"held": self.standin.held})


class TokenBucket:
    """Rate limit: `rate_per_s` on average, `burst` at once."""

    def __init__(self, rate_per_s: float, burst: float) -> None:
        """Starts full; a rate of 0 or less means no limit."""
        self._rate = rate_per_s
        self._burst = burst
        self._level = burst
        self._last_s = 0.0

    def take(self, now: float) -> float:
        """Takes one; returns 0.0, or the seconds until one is available."""
        if self._rate <= 0:
            return 0.0
        gained = (now - self._last_s) * self._rate
        self._level = min(self._burst, self._level + gained)
        self._last_s = now
        if self._level >= 1:
            self._level -= 1
            return 0.0
        return (1 - self._level) / self._rate


def make_server(
    standin: Standin,
    routes: Sequence[tuple[str, type[JsonHandler]]],
    host: str,
    port: int,
) -> tuple[tornado.httpserver.HTTPServer, int]:
    """Starts an HTTP server on the running event loop.

    Args:
        standin: Given to every handler.
        routes: Path patterns and handlers besides the common ones.
        host: Numeric address to listen on.
        port: Port, or 0 for any free one.

    Returns:
        The server, and the port it listens on.
    """
    arguments = {"standin": standin}
    handlers: list[tuple[str, type[JsonHandler]]] = [
        *routes,
        (r"/faults", FaultsHandler),
        (r"/held", HeldHandler),
    ]
    table: Routes = [(path, handler, arguments) for path, handler in handlers]
    app = tornado.web.Application(table, log_function=lambda handler: None)
    server = tornado.httpserver.HTTPServer(
        app, max_buffer_size=MAX_BODY_BYTES, max_body_size=MAX_BODY_BYTES
    )
    sockets = tornado.netutil.bind_sockets(port, host)
    server.add_sockets(sockets)
    return server, sockets[0].getsockname()[1]


async def run_until_signal(
    start: Callable[[], Awaitable[int]],
) -> None:
    """Starts a stand-in, prints its port and waits for SIGTERM or SIGINT."""
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, stopped.set)
    port = await start()
    print(f"listening on {port}", flush=True)
    await stopped.wait()
