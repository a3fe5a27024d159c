"""HTTP server code of the stand-ins: typed JSON bodies, faults, start-up.

Every stand-in has `POST /faults`, which replaces all fault settings (an absent
key is off), `GET /faults`, which returns them, and `GET /held`, which counts
the requests that a fault is delaying. Faults don't apply to these paths or to
`/ledger`, so tests can inspect a stand-in while a fault is on.
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
_HANG_POLL_INTERVAL_S: Final = 0.02
_EXEMPT_PATHS: Final = ("/faults", "/held", "/ledger")

Routes = list[tuple[str, type[tornado.web.RequestHandler], dict[str, Any]]]


class CommonFaults(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Faults of every stand-in.

    Attributes:
        delay_s: Delay in seconds before each request takes effect.
        hang: Read requests, but neither run nor answer them.
        error_status: Respond with this status, without effect; 0 is off.
        lose_path: Path prefix of the requests that `lose_count` applies to.
        lose_count: Number of requests that take effect, but whose connection
            is then closed without a response.
    """

    delay_s: float = 0.0
    hang: bool = False
    error_status: int = 0
    lose_path: str = "/"
    lose_count: int = 0


class Standin:
    """Base class of the stand-ins, shared by the handlers of a stand-in.

    Attributes:
        fault_type: Type of the fault settings.
        faults: Fault settings.
        held_requests: Number of requests that a fault is delaying.
    """

    def __init__(self, fault_type: type[CommonFaults]) -> None:
        """Creates a stand-in without faults."""
        self.fault_type = fault_type
        self.faults = fault_type()
        self.held_requests = 0

    def on_faults(self) -> None:
        """Called after the fault settings have been replaced."""


class BadInputError(tornado.web.HTTPError):
    """The body or query of a request is invalid."""


class JsonHandler(tornado.web.RequestHandler):
    """Handler with typed JSON bodies, which applies the common faults."""

    def initialize(self, standin: Standin) -> None:
        """Stores the stand-in that the handler serves."""
        self.standin = standin

    async def prepare(self) -> None:
        """Applies the faults that precede the effect of a request."""
        if self.request.path in _EXEMPT_PATHS:
            return
        self.standin.held_requests += 1
        try:
            await self._apply_delays()
        finally:
            self.standin.held_requests -= 1
        status = self.standin.faults.error_status
        if status:
            self.fail(status, "error fault is on")

    async def _apply_delays(self) -> None:
        while self.standin.faults.hang:
            await asyncio.sleep(_HANG_POLL_INTERVAL_S)
        delay_s = self.standin.faults.delay_s
        if delay_s:
            await asyncio.sleep(delay_s)

    def read_json(self, kind: type[T]) -> T:
        """Returns the decoded body; responds with 400 if it is invalid."""
        try:
            return msgspec.json.decode(self.request.body, type=kind)
        except (msgspec.DecodeError, UnicodeDecodeError) as exc:
            raise BadInputError(400, reason=f"invalid body: {exc}") from exc

    def int_argument(self, name: str, default: int) -> int:
        """Returns a query argument; responds with 400 if it is no integer."""
        text = self.get_query_argument(name, str(default))
        try:
            return int(text)
        except ValueError as exc:
            raise BadInputError(
                400, reason=f"{name} is not an integer"
            ) from exc

    def reply(self, value: object, status: int = 200) -> None:
        """Responds with JSON, unless a fault loses the response."""
        if self._consume_response_loss():
            self.cut()
            return
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.finish(msgspec.json.encode(value))

    def fail(
        self, status: int, message: str, retry_after_s: float | None = None
    ) -> None:
        """Responds with an error."""
        if retry_after_s is not None:
            self.set_header("Retry-After", f"{retry_after_s:.3f}")
        self.set_status(status)
        self.finish({"error": message})

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Responds to an exception with JSON."""
        del kwargs
        self.finish({"error": self._reason, "status": status_code})

    def cut(self) -> None:
        """Closes the connection without a response."""
        self.detach().close()

    def _consume_response_loss(self) -> bool:
        """Returns whether to lose the response, and counts it as lost."""
        faults = self.standin.faults
        path = self.request.path
        if path in _EXEMPT_PATHS or not path.startswith(faults.lose_path):
            return False
        if faults.lose_count <= 0:
            return False
        faults.lose_count -= 1
        return True


class FaultsHandler(JsonHandler):
    """`POST /faults` replaces and `GET /faults` returns the fault settings."""

    def get(self) -> None:
        """Returns the fault settings."""
        self.reply(self.standin.faults)

    def post(self) -> None:
        """Replaces all fault settings."""
        self.standin.faults = self.read_json(self.standin.fault_type)
        self.standin.on_faults()
        self.reply(self.standin.faults)


class HeldHandler(JsonHandler):
    """`GET /held`: the number of requests that a fault is delaying."""

    def get(self) -> None:
        """Returns the number."""
        self.reply({"held": self.standin.held_requests})


class TokenBucket:
    """Token bucket that limits a rate."""

    def __init__(self, rate_per_s: float, burst: float) -> None:
        """Creates a full bucket.

        Args:
            rate_per_s: Average rate; 0 or less is unlimited.
            burst: Capacity of the bucket.
        """
        self._rate = rate_per_s
        self._burst = burst
        self._level = burst
        self._last_s = 0.0

    def take(self, now: float) -> float:
        """Takes a token; returns 0.0, or the seconds until one is available."""
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
        standin: Stand-in that the handlers serve.
        routes: Path patterns and handlers, in addition to the common ones.
        host: Numeric address to listen on.
        port: Port, or 0 for any free port.

    Returns:
        The server and its port.
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
