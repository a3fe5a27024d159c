"""The parts of one gateway process, wired together.

Used by the daemon with sockets, and by experiments in virtual time without.
"""

import contextlib
import random
from types import TracebackType
from typing import Self

from apricottrestle.gateway import (
    calls,
    clock,
    gateway,
    peer_link,
    peer_sync,
    settings,
    store,
    store_sync,
)


class Assembly:
    """A gateway's core, its peers and its store. A context manager.

    Attributes:
        cfg: Settings in force.
        core: Serves requests.
        peers: Exchanges state with other gateways.
        sync: Follows the store.
    """

    def __init__(
        self,
        cfg: settings.GatewaySettings,
        fleet_store: store.FleetStore,
        client: calls.UpstreamClient,
        rng: random.Random,
        incarnation: str,
    ) -> None:
        """Wires the parts; nothing runs yet.

        Args:
            cfg: Settings.
            fleet_store: The platform's store.
            client: Sends requests to upstreams.
            rng: Source of random choices.
            incarnation: Id of this process, unique in the fleet.
        """
        self.cfg = cfg
        self._incarnation = incarnation
        self.core = gateway.Gateway(cfg, client, rng, incarnation)
        self.peers = peer_sync.PeerSync(cfg, self.core, incarnation)
        self.core.listener = self.peers
        self.sync = store_sync.StoreSync(
            fleet_store, self.core.state, self.peers, rng
        )
        self._stack = contextlib.ExitStack()

    @property
    def ready(self) -> bool:
        """Whether new connections are welcome."""
        return (
            self.core.state.compiled is not None
            and self.core.state.list_known
            and not self.core.stopping
            and not self.peers.stopping
        )

    def start(self, link: peer_link.Link) -> None:
        """Connects to peers and store; runs on the event loop."""
        self.peers.start(link, self.sync)
        self.sync.start(
            store.GatewayRow(
                self.cfg.instance_id, self.cfg.peers, self._incarnation
            ),
            self.peers.connect_rows,
        )
        self._stack.enter_context(
            clock.Ticker(
                gateway.SCHEDULING_INTERVAL_S, self.core.run_scheduling_pass
            )
        )
        self._stack.enter_context(
            clock.Ticker(peer_sync.TICK_S, self.peers.tick)
        )

    def apply(self, cfg: settings.GatewaySettings) -> None:
        """Takes over new settings, as far as a running process can.

        Budgets, grace period, hold times and seeds change at once; addresses
        that are bound stay until the next start.
        """
        self.cfg = cfg
        self.core.apply_settings(cfg)
        self.peers.connect(cfg.seeds)

    def __enter__(self) -> Self:
        """Returns itself; `start` starts the parts."""
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Ends everything under way."""
        self._stack.close()
        self.sync.stop()
        self.peers.stop()
        self.core.close()
