"""Gateway process: sockets, signals, settings reload and graceful shutdown."""

import asyncio
import contextlib
import logging
import random
import secrets
import signal
import types
from collections.abc import Callable, Iterator, Mapping
from typing import Any, Final, NamedTuple, Self

import msgspec

from apricottrestle import (
    errors,
    logs,
    memory_account,
    ops_http,
    route_query,
)
from apricottrestle.gateway import (
    assembly,
    calls,
    clock,
    fleet_config,
    graceful_stop,
    loop_watch,
    peer_link,
    settings,
    store,
)

SETTINGS_CHECK_INTERVAL_S: Final = 1.0
"""Interval of the check for changed settings, which may change without a
SIGHUP."""

_LOG: Final = logging.getLogger(__name__)


class PlatformAdapter(NamedTuple):
    """What a platform provides to run a gateway on it.

    Attributes:
        store: The platform's store.
        make_client: Returns the client for upstreams; called on the event
            loop.
        make_caller_server: Returns the HTTP server for callers, given its
            address, request handler and memory account.
        make_ready_server: Returns the HTTP server of the readiness check, given
            its address and a function that returns whether to answer ready.
        read_settings: Returns the settings if they have changed, else None;
            raises SettingsError if they can't be read.
    """

    store: store.FleetStore
    make_client: Callable[[], calls.UpstreamClient]
    make_caller_server: Callable[
        [str, calls.RequestHandler, memory_account.MemoryAccount], Any
    ]
    make_ready_server: Callable[[str, Callable[[], bool]], Any]
    read_settings: Callable[[], settings.GatewaySettings | None]


def run(cfg: settings.GatewaySettings, adapter: PlatformAdapter) -> None:
    """Runs a gateway until SIGTERM or SIGINT has stopped it gracefully."""
    asyncio.run(_run(cfg, adapter))


async def _run(cfg: settings.GatewaySettings, adapter: PlatformAdapter) -> None:
    incarnation = secrets.token_hex(4)
    rng = random.Random(secrets.randbits(128))
    node = assembly.GatewayNode(
        cfg, adapter.store, adapter.make_client(), rng, incarnation
    )
    server = adapter.make_caller_server(
        cfg.callers, node.core, node.core.account
    )

    def on_config(
        config: fleet_config.FleetConfig, _before: int, _source: str
    ) -> None:
        server.set_idle_timeout(config.limits.idle_timeout_s)
        server.set_head_timeout(config.limits.header_timeout_s)
        server.set_max_head_bytes(config.limits.max_header_bytes)

    node.core.state.watch_config(on_config)
    logs.decision(
        _LOG,
        "start",
        instance=cfg.instance_id,
        incarnation=incarnation,
        data_centre=cfg.data_centre,
    )
    with (
        _StopSignal() as stop_signal,
        node,
        peer_link.PeerLink(cfg.peers, node.peers.receive) as link,
        server,
        adapter.make_ready_server(cfg.ready, lambda: node.ready),
        _serve_ops(cfg, node),
        clock.Ticker(
            SETTINGS_CHECK_INTERVAL_S, lambda: _reload(node, adapter, "changed")
        ),
        clock.Ticker(memory_account.CHECK_INTERVAL_S, server.make_room),
        loop_watch.LoopWatch(),
    ):
        node.start(link)
        with _reload_on_signal(lambda: _reload(node, adapter, "signal")):
            signal_at = await stop_signal.wait()
            await graceful_stop.GracefulStop(
                node.core, node.peers, server, node.cfg.grace_s, signal_at
            ).run()
    logs.decision(_LOG, "stop", instance=cfg.instance_id)


@contextlib.contextmanager
def _serve_ops(
    cfg: settings.GatewaySettings, node: assembly.GatewayNode
) -> Iterator[None]:
    """Serves health, readiness and metrics while the context is open.

    Only operators may ask where requests would go: the answer names upstreams.
    """

    def explain(body: bytes) -> Mapping[str, object]:
        return node.core.explain(
            msgspec.json.decode(body, type=route_query.Query)
        )

    with contextlib.ExitStack() as stack:
        for address, queries in (
            (cfg.ops, {route_query.PATH: explain}),
            (cfg.metrics, {}),
        ):
            if address:
                stack.enter_context(
                    ops_http.OpsServer(
                        address,
                        lambda: [] if node.ready else ["not ready"],
                        queries,
                    )
                )
        yield


class _StopSignal:
    """Waits for SIGTERM or SIGINT; a context manager.

    The grace period counts from the signal. A handler of the event loop would
    run, and note the time, only when the loop is free. A signal that comes just
    before the loop begins to wait is handled when it wakes, which LoopWatch
    bounds. After the context has ended the signals are ignored, as the process
    is about to end.
    """

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._received = asyncio.Event()
        self._received_at: float | None = None

    def __enter__(self) -> Self:
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, self._on_signal)
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> None:
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, signal.SIG_IGN)

    def _on_signal(self, _number: int, _frame: object) -> None:
        if self._received_at is None:
            self._received_at = self._loop.time()
            self._loop.call_soon_threadsafe(self._received.set)

    async def wait(self) -> float:
        """Returns the monotonic time of the first signal, once it has come."""
        await self._received.wait()
        assert self._received_at is not None
        return self._received_at


@contextlib.contextmanager
def _reload_on_signal(reload: Callable[[], None]) -> Iterator[None]:
    """Calls a function at each SIGHUP, which is ignored afterwards.

    A handler of the event loop would be replaced by the signal's default action
    when the loop is closed, and a reload would end the process in its teardown.
    """
    loop = asyncio.get_running_loop()

    def on_signal(_number: int, _frame: object) -> None:
        loop.call_soon_threadsafe(reload)

    signal.signal(signal.SIGHUP, on_signal)
    try:
        yield
    finally:
        signal.signal(signal.SIGHUP, signal.SIG_IGN)


def _reload(
    node: assembly.GatewayNode, adapter: PlatformAdapter, reason: str
) -> None:
    """Applies changed settings; keeps those in force if the new are invalid."""
    try:
        cfg = adapter.read_settings()
    except errors.SettingsError as exc:
        logs.decision(
            _LOG, "reload", reason=reason, outcome="kept", problem=str(exc)
        )
        return
    if cfg is not None:
        node.apply(cfg)
    if cfg is not None or reason == "signal":
        logs.decision(
            _LOG,
            "reload",
            reason=reason,
            outcome="unchanged" if cfg is None else "applied",
        )
