"""Process of a gateway: wiring, timers, signals and the planned stop."""

import asyncio
import logging
import random
import secrets
import signal
import time
from collections.abc import Callable
from typing import Any, Final, NamedTuple

from tornado import ioloop

from apricottrestle import logs, ops_http
from apricottrestle.gateway import (
    calls,
    fleet_config,
    gateway,
    peer_link,
    peer_sync,
    settings,
    store,
    store_sync,
)

ACCEPT_AFTER_STOP_S: Final = 2.6
"""Time after the notice of a stop in which requests are still served: the load
balancer needs two checks, a second apart, to send no more connections."""

LAST_WRITES_S: Final = 0.4
"""Time at the end of the grace period that is kept for the last writes."""

STOP_CHECK_S: Final = 0.05

_LOG: Final = logging.getLogger(__name__)


class Ports(NamedTuple):
    """The adapter's side of a gateway.

    Attributes:
        store: The platform's store.
        client: Makes the client for upstreams; runs on the event loop.
        callers: Makes the server for callers.
        ready: Makes the server of the readiness check.
    """

    store: store.FleetStore
    client: Callable[[], calls.UpstreamClient]
    callers: Callable[[str, calls.RequestHandler], Any]
    ready: Callable[[str, Callable[[], bool]], Any]


def run(cfg: settings.GatewaySettings, ports: Ports) -> None:
    """Runs a gateway until it has drained after SIGTERM or SIGINT."""
    asyncio.run(_run(cfg, ports))


async def _run(cfg: settings.GatewaySettings, ports: Ports) -> None:
    incarnation = secrets.token_hex(4)
    rng = random.Random(secrets.randbits(128))
    core = gateway.Gateway(cfg, ports.client(), rng, incarnation)
    peers = peer_sync.PeerSync(cfg, core, incarnation)
    sync = store_sync.StoreSync(ports.store, core.state, peers, rng)
    core.listener = peers
    server = ports.callers(cfg.callers, core)

    def on_config(config: fleet_config.FleetConfig) -> None:
        server.set_idle_timeout(config.limits.idle_timeout_s)

    core.state.watch_config(on_config)

    def is_ready() -> bool:
        return (
            core.state.compiled is not None
            and core.state.list_known
            and not core.stopping
            and not peers.stopping
        )

    logs.decision(
        _LOG,
        "start",
        instance=cfg.instance_id,
        incarnation=incarnation,
        data_centre=cfg.data_centre,
    )
    with (
        peer_link.PeerLink(cfg.peers, peers.receive) as link,
        server,
        ports.ready(cfg.ready, is_ready),
    ):
        peers.start(link, sync)
        sync.start(
            store.GatewayRow(cfg.instance_id, cfg.peers, incarnation),
            peers.connect_rows,
        )
        ticks = ioloop.PeriodicCallback(core.pump, gateway.TICK_S * 1000)
        ticks.start()
        with _ops(cfg, is_ready):
            await _until_stopped(cfg, core, peers, server)
        ticks.stop()
        sync.stop()
        peers.stop()
        core.close()
    logs.decision(_LOG, "stop", instance=cfg.instance_id)


def _ops(
    cfg: settings.GatewaySettings, is_ready: Callable[[], bool]
) -> ops_http.OpsServer:
    return ops_http.OpsServer(
        cfg.ops, lambda: [] if is_ready() else ["not ready"]
    )


async def _until_stopped(
    cfg: settings.GatewaySettings,
    core: gateway.Gateway,
    peers: peer_sync.PeerSync,
    server: Any,
) -> None:
    """Waits for the notice of a stop, then ends what is under way."""
    loop = asyncio.get_running_loop()
    notice = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, notice.set)
    loop.add_signal_handler(signal.SIGHUP, _on_reload, cfg)
    await notice.wait()
    started = time.monotonic()
    logs.decision(
        _LOG, "stop requested", requests=len(core.active), grace_s=cfg.grace_s
    )
    peers.stopping = True
    server.stopping = True
    while time.monotonic() - started < ACCEPT_AFTER_STOP_S:
        await asyncio.sleep(STOP_CHECK_S)
    core.stopping = True
    server.stop_listening()
    server.close_idle()
    last = started + cfg.grace_s - LAST_WRITES_S
    while core.active and time.monotonic() < last:
        await asyncio.sleep(STOP_CHECK_S)
        server.close_idle()
    await asyncio.sleep(LAST_WRITES_S / 2)


def _on_reload(cfg: settings.GatewaySettings) -> None:
    logs.decision(_LOG, "reload", instance=cfg.instance_id)
