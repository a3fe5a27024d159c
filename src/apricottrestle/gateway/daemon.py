"""Process of a gateway: sockets, signals and the planned stop."""

import asyncio
import contextlib
import logging
import random
import secrets
import signal
from collections.abc import Callable, Iterator
from typing import Any, Final, NamedTuple

from apricottrestle import errors, logs, ops_http
from apricottrestle.gateway import (
    assembly,
    calls,
    clock,
    fleet_config,
    peer_link,
    settings,
    store,
)

ACCEPT_AFTER_STOP_S: Final = 2.6
"""Time after the notice of a stop in which requests are still served: the load
balancer needs two checks, a second apart, to send no more connections."""

LAST_WRITES_S: Final = 0.4
"""Time at the end of the grace period that is kept for the last writes."""

STOP_CHECK_S: Final = 0.05

SETTINGS_CHECK_S: Final = 1.0
"""Interval at which the settings are compared: they may change without a
signal."""

_LOG: Final = logging.getLogger(__name__)


class PlatformAdapter(NamedTuple):
    """The adapter's side of a gateway.

    Attributes:
        store: The platform's store.
        make_client: Makes the client for upstreams; runs on the event loop.
        make_caller_server: Makes the server for callers.
        make_ready_server: Makes the server of the readiness check.
        read_settings: Returns the settings if they have changed, else None;
            raises SettingsError when they can't be read.
    """

    store: store.FleetStore
    make_client: Callable[[], calls.UpstreamClient]
    make_caller_server: Callable[[str, calls.RequestHandler], Any]
    make_ready_server: Callable[[str, Callable[[], bool]], Any]
    read_settings: Callable[[], settings.GatewaySettings | None]


def run(cfg: settings.GatewaySettings, adapter: PlatformAdapter) -> None:
    """Runs a gateway until it has drained after SIGTERM or SIGINT."""
    asyncio.run(_run(cfg, adapter))


async def _run(cfg: settings.GatewaySettings, adapter: PlatformAdapter) -> None:
    incarnation = secrets.token_hex(4)
    rng = random.Random(secrets.randbits(128))
    notice = _stop_notice()
    node = assembly.GatewayNode(
        cfg, adapter.store, adapter.make_client(), rng, incarnation
    )
    server = adapter.make_caller_server(cfg.callers, node.core)

    def on_config(
        config: fleet_config.FleetConfig, _before: int, _source: str
    ) -> None:
        server.set_idle_timeout(config.limits.idle_timeout_s)

    node.core.state.watch_config(on_config)
    logs.decision(
        _LOG,
        "start",
        instance=cfg.instance_id,
        incarnation=incarnation,
        data_centre=cfg.data_centre,
    )
    with (
        node,
        peer_link.PeerLink(cfg.peers, node.peers.receive) as link,
        server,
        adapter.make_ready_server(cfg.ready, lambda: node.ready),
        _ops(cfg, node),
        clock.Ticker(
            SETTINGS_CHECK_S, lambda: _reload(node, adapter, "changed")
        ),
    ):
        node.start(link)
        asyncio.get_running_loop().add_signal_handler(
            signal.SIGHUP, lambda: _reload(node, adapter, "signal")
        )
        await notice.wait()
        await _drain(node, server)
    logs.decision(_LOG, "stop", instance=cfg.instance_id)


@contextlib.contextmanager
def _ops(
    cfg: settings.GatewaySettings, node: assembly.GatewayNode
) -> Iterator[None]:
    """Serves health, readiness and metrics while the context is open."""
    with contextlib.ExitStack() as stack:
        for address in (cfg.ops, cfg.metrics):
            if address:
                stack.enter_context(
                    ops_http.OpsServer(
                        address, lambda: [] if node.ready else ["not ready"]
                    )
                )
        yield


def _stop_notice() -> asyncio.Event:
    """Returns an event that a signal to stop sets."""
    notice = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, notice.set)
    return notice


def _reload(
    node: assembly.GatewayNode, adapter: PlatformAdapter, reason: str
) -> None:
    """Takes over changed settings; bad ones change nothing."""
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


async def _drain(node: assembly.GatewayNode, server: Any) -> None:
    """Ends what is under way within the grace period.

    Requests are served until the load balancer has noticed, then refused as
    not run; connections end with their next answer.
    """
    core = node.core
    grace_s = node.cfg.grace_s
    started = clock.now()
    logs.decision(
        _LOG, "stop requested", requests=len(core.active), grace_s=grace_s
    )
    node.peers.stopping = True
    server.stopping = True
    await asyncio.sleep(ACCEPT_AFTER_STOP_S)
    core.stopping = True
    server.stop_listening()
    server.close_idle()
    last = started + grace_s - LAST_WRITES_S
    while core.active and clock.now() < last:
        await asyncio.sleep(STOP_CHECK_S)
        server.close_idle()
    await asyncio.sleep(LAST_WRITES_S / 2)
