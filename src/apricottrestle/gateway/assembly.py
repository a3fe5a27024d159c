"""Creates and connects the components of one gateway.

The daemon runs a gateway on sockets; tests and simulations run it in virtual
time without any.
"""

import contextlib
import random
from types import TracebackType
from typing import Self

from apricottrestle.gateway import (
    calls,
    clock,
    crash_store,
    engine_queue,
    gateway,
    peer_link,
    peer_sync,
    settings,
    store,
    store_sync,
)


class GatewayNode:
    """A gateway with its peer and store synchronisation; a context manager.

    Attributes:
        cfg: Settings in force.
        incarnation: Id of this process, unique in the fleet.
        core: Serves requests.
        peers: Exchanges state with other gateways.
        store_sync: Keeps configuration and upstream list up to date.
        crash_store: Saves the crashes that prove prompts to be bad.
    """

    def __init__(
        self,
        cfg: settings.GatewaySettings,
        fleet_store: store.FleetStore,
        client: calls.UpstreamClient,
        rng: random.Random,
        incarnation: str,
    ) -> None:
        """Creates the components without starting them.

        Args:
            cfg: Settings.
            fleet_store: The platform's store.
            client: Sends requests to upstreams.
            rng: Random number generator of all components.
            incarnation: Id of this process, unique in the fleet.
        """
        self.cfg = cfg
        self.incarnation = incarnation
        self.core = gateway.Gateway(cfg, client, rng, incarnation)
        self.peers = peer_sync.PeerSync(cfg, self.core, incarnation, rng)
        self.core.listener = self.peers
        self.store_sync = store_sync.StoreSync(
            fleet_store, self.core.state, self.peers, rng
        )
        self.crash_store = crash_store.CrashStore(
            fleet_store,
            self.core.crashes,
            lambda: (
                self.store_sync.reaches_store
                and self.peers.rank(reaches_store=True) == 0
            ),
        )
        self.store_sync.watch_history(self.crash_store.reload)
        self._stack = contextlib.ExitStack()

    @property
    def ready(self) -> bool:
        """Whether the gateway should get new connections."""
        return self.peers.in_rotation and not self.core.stopping

    def start(self, link: peer_link.Link) -> None:
        """Starts all components; must run on the event loop.

        Args:
            link: Connections to the peers.
        """
        self.core.start()
        self.peers.start(link, self.store_sync)
        self.store_sync.start(
            store.GatewayEntry(
                self.cfg.instance_id, self.cfg.peers, self.incarnation
            ),
            self.peers.connect_gateways,
        )
        self.crash_store.start()
        self._stack.enter_context(
            clock.Ticker(
                engine_queue.SCHEDULING_INTERVAL_S,
                self.core.run_scheduling_pass,
            )
        )
        self._stack.enter_context(
            clock.Ticker(peer_sync.PEER_CHECK_INTERVAL_S, self.peers.tick)
        )
        self._stack.enter_context(
            clock.Ticker(peer_sync.PEER_CHECK_INTERVAL_S, self.crash_store.tick)
        )

    def apply(self, cfg: settings.GatewaySettings) -> None:
        """Applies new settings to the running gateway.

        The retry budget, the grace period, the times for engine memory and the
        seeds change at once. Bound addresses stay until the next start.
        """
        self.cfg = cfg
        self.core.apply_settings(cfg)
        self.peers.connect(cfg.seeds)

    def __enter__(self) -> Self:
        """Returns itself; `start` starts the components."""
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Stops all components and ends all open requests."""
        self._stack.close()
        self.store_sync.stop()
        self.crash_store.stop()
        self.peers.stop()
        self.core.close()
