"""Process of a gateway: sockets, signals and the planned stop."""

import asyncio
import contextlib
import logging
import random
import secrets
import signal
from collections.abc import Callable, Iterator
from typing import Any, Final, NamedTuple

from apricottrestle import logs, ops_http
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
    notice = _stop_notice(cfg)
    parts = assembly.Assembly(
        cfg, ports.store, ports.client(), rng, incarnation
    )
    server = ports.callers(cfg.callers, parts.core)

    def on_config(config: fleet_config.FleetConfig) -> None:
        server.set_idle_timeout(config.limits.idle_timeout_s)

    parts.core.state.watch_config(on_config)
    logs.decision(
        _LOG,
        "start",
        instance=cfg.instance_id,
        incarnation=incarnation,
        data_centre=cfg.data_centre,
    )
    with (
        parts,
        peer_link.PeerLink(cfg.peers, parts.peers.receive) as link,
        server,
        ports.ready(cfg.ready, lambda: parts.ready),
        _ops(cfg, parts),
    ):
        parts.start(link)
        await notice.wait()
        await _drain(cfg, parts, server)
    logs.decision(_LOG, "stop", instance=cfg.instance_id)


@contextlib.contextmanager
def _ops(
    cfg: settings.GatewaySettings, parts: assembly.Assembly
) -> Iterator[None]:
    """Serves health, readiness and metrics while the context is open."""
    with contextlib.ExitStack() as stack:
        for address in (cfg.ops, cfg.metrics):
            if address:
                stack.enter_context(
                    ops_http.OpsServer(
                        address, lambda: [] if parts.ready else ["not ready"]
                    )
                )
        yield


def _stop_notice(cfg: settings.GatewaySettings) -> asyncio.Event:
    """Returns an event that a signal to stop sets."""
    loop = asyncio.get_running_loop()
    notice = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, notice.set)
    loop.add_signal_handler(
        signal.SIGHUP,
        lambda: logs.decision(_LOG, "reload", instance=cfg.instance_id),
    )
    return notice


async def _drain(
    cfg: settings.GatewaySettings, parts: assembly.Assembly, server: Any
) -> None:
    """Ends what is under way within the grace period.

    Requests are served until the load balancer has noticed, then refused as
    not run; connections end with their next answer.
    """
    core = parts.core
    started = clock.now()
    logs.decision(
        _LOG, "stop requested", requests=len(core.active), grace_s=cfg.grace_s
    )
    parts.peers.stopping = True
    server.stopping = True
    await asyncio.sleep(ACCEPT_AFTER_STOP_S)
    core.stopping = True
    server.stop_listening()
    server.close_idle()
    last = started + cfg.grace_s - LAST_WRITES_S
    while core.active and clock.now() < last:
        await asyncio.sleep(STOP_CHECK_S)
        server.close_idle()
    await asyncio.sleep(LAST_WRITES_S / 2)
