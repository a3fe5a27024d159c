"""Replicates state between the gateways of the fleet.

Each gateway reports its own runs to its peers as they start and end, so that
every gateway knows the load of all gateways on the engines. A gateway that
can't reach the store gets the configuration and the upstream list from its
peers.
"""

import asyncio
import collections
import logging
from collections.abc import Iterable
from typing import Final

from apricottrestle import logs, metrics
from apricottrestle.gateway import (
    clock,
    engine_claims,
    engine_load,
    fleet_config,
    fleet_state,
    gateway,
    peer_link,
    peer_messages,
    peers,
    settings,
    store,
    store_duty,
    store_sync,
)

PEER_CHECK_INTERVAL_S: Final = 0.1
"""Interval of the check for peers that timed out and for a due heartbeat: a
quarter of the heartbeat interval."""

HELLO_RETRY_S: Final = 0.05
"""Interval of attempts to send the first hello while a connection to a peer is
being established."""

CATCH_UP_INTERVAL_S: Final = 0.3
"""Least time between two hellos that request newer state. It is shorter than
the heartbeat interval, so that a configuration version that was missed is in
force within the two seconds that the platform allows."""

MAX_LIST_REQUESTS: Final = 3
"""Peers from which a starting gateway requests the upstream list and the known
gateways at the same time."""

_LOG: Final = logging.getLogger(__name__)


class PeerSync(gateway.RunListener, store_sync.ReaderGroup):
    """Exchanges heartbeats, configuration and upstream list with the peers.

    Attributes:
        stopping: Whether this gateway is shutting down.
    """

    def __init__(
        self,
        cfg: settings.GatewaySettings,
        core: gateway.Gateway,
        incarnation: str,
    ) -> None:
        """Creates the exchange without connections.

        Args:
            cfg: Settings.
            core: Gateway whose runs are reported and whose tables are updated.
            incarnation: Id of this process, unique in the fleet.
        """
        self.stopping = False
        self._cfg = cfg
        self._core = core
        self._incarnation = incarnation
        self._peers = peers.PeerTable()
        self._peer_runs: dict[str, set[str]] = {}
        self._own_runs: dict[str, tuple[engine_load.Run, float]] = {}
        self._started_runs: list[tuple[engine_load.Run, float]] = []
        self._first_events: list[str] = []
        self._ended_runs: list[str] = []
        self._changed_calls: dict[str, int] = {}
        self._new_claims: list[engine_claims.Claim] = []
        self._released_claims: list[str] = []
        self._heartbeat_scheduled = False
        self._last_heartbeat_at = 0.0
        self._link: peer_link.Link | None = None
        self._store_sync: store_sync.StoreSync | None = None
        self._list_requests = 0
        self._last_catch_up_at = 0.0
        self._hello_tasks: set[asyncio.Task[None]] = set()
        core.state.watch_config(self._on_config)

    def start(self, link: peer_link.Link, sync: store_sync.StoreSync) -> None:
        """Connects to the seed gateways and enables sending."""
        self._link = link
        self._store_sync = sync
        self.connect(self._cfg.seeds)

    def stop(self) -> None:
        """Cancels the hellos that are still being retried."""
        for task in self._hello_tasks:
            task.cancel()

    def connect(self, addresses: Iterable[str]) -> None:
        """Connects to gateways by their addresses."""
        for address in addresses:
            self._connect(address)

    def connect_gateways(self, entries: list[store.GatewayEntry]) -> None:
        """Connects to gateways that are registered in the store."""
        for entry in entries:
            self._connect(entry.address)

    def gateway_count(self) -> int:
        """See RunListener.gateway_count."""
        return self._peers.count()

    # Sharing of the calls to the store.

    def rank(self, *, reaches_store: bool) -> int:
        """See ReaderGroup.rank."""
        return store_duty.rank(
            store_duty.Reader(self._incarnation, reaches_store),
            [
                store_duty.Reader(peer.incarnation, peer.reaches_store)
                for peer in self._peers.alive()
            ],
        )

    def share_upstreams(
        self, since: int, upstreams_read: store.UpstreamsRead
    ) -> None:
        """See ReaderGroup.share_upstreams."""
        if self._link is not None:
            self._link.broadcast(
                peer_messages.UpstreamUpdate(
                    self._sender(),
                    since,
                    upstreams_read.position,
                    upstreams_read.changes,
                )
            )

    def store_reachability_changed(self) -> None:
        """See ReaderGroup.store_reachability_changed."""
        self._schedule_heartbeat()

    # Changes in this gateway.

    def run_started(self, run: engine_load.Run) -> None:
        """See RunListener.run_started."""
        entry = (run, clock.now())
        self._own_runs[run.run_id] = entry
        self._started_runs.append(entry)
        self._schedule_heartbeat()

    def run_first_event(self, run_id: str) -> None:
        """See RunListener.run_first_event."""
        entry = self._own_runs.get(run_id)
        if entry is not None:
            self._own_runs[run_id] = (
                entry[0]._replace(decoding=True),
                entry[1],
            )
            self._first_events.append(run_id)
            self._schedule_heartbeat()

    def run_ended(self, run_id: str) -> None:
        """See RunListener.run_ended."""
        if self._own_runs.pop(run_id, None) is not None:
            self._ended_runs.append(run_id)
            self._schedule_heartbeat()

    def claim_added(self, claim: engine_claims.Claim) -> None:
        """See RunListener.claim_added."""
        self._new_claims.append(claim)
        self._schedule_heartbeat()

    def claim_removed(self, claim_id: str) -> None:
        """See RunListener.claim_removed."""
        self._released_claims.append(claim_id)
        self._schedule_heartbeat()

    def calls_changed(self, upstream_id: str, count: int) -> None:
        """See RunListener.calls_changed."""
        self._changed_calls[upstream_id] = count

    def _schedule_heartbeat(self) -> None:
        if not self._heartbeat_scheduled:
            self._heartbeat_scheduled = True
            asyncio.get_running_loop().call_soon(self._send_heartbeat)

    def _send_heartbeat(self) -> None:
        self._heartbeat_scheduled = False
        now = clock.now()
        self._last_heartbeat_at = now
        if self._link is None:
            return
        self._link.broadcast(
            peer_messages.Heartbeat(
                self._sender(),
                [
                    peer_messages.StartedRun(run, now - started_at)
                    for run, started_at in self._started_runs
                ],
                self._first_events,
                self._ended_runs,
                self._changed_calls,
                self._core.slowdowns.own_slowdowns(now),
                self._new_claims,
                self._released_claims,
            )
        )
        self._new_claims, self._released_claims = [], []
        self._started_runs, self._first_events, self._ended_runs = [], [], []
        self._changed_calls = {}

    def _sender(self) -> peer_messages.Sender:
        return peer_messages.Sender(
            self._cfg.instance_id,
            self._cfg.peers,
            self._incarnation,
            self._core.state.config_version,
            self.stopping,
            self._store_sync is not None and self._store_sync.reaches_store,
        )

    def tick(self) -> None:
        """Drops peers that timed out, and sends a heartbeat if one is due."""
        now = clock.now()
        lost, forgotten = self._peers.expire(now)
        for peer in lost:
            logs.decision(
                _LOG,
                "peer lost",
                peer=peer.instance_id,
                address=peer.address,
                silent_s=round(now - peer.last_heard_at, 3),
            )
            self._drop_runs(peer.incarnation)
        alive = self._peers.alive()
        metrics.PEERS.set(len(alive))
        if alive and not self._core.state.has_upstream_list:
            self._catch_up_from(alive[0].address, now)
        for address in forgotten:
            if self._link is not None:
                self._link.disconnect(address)
        if now - self._last_heartbeat_at >= peers.HEARTBEAT_INTERVAL_S:
            self._send_heartbeat()

    # Messages from peers.

    def receive(self, message: peer_messages.Message) -> None:
        """Applies a message from a peer to this gateway's tables."""
        now = clock.now()
        sender = message.sender
        if sender.incarnation == self._incarnation:
            return
        self._record_sender(sender, now)
        match message:
            case peer_messages.Heartbeat():
                self._on_heartbeat(message, now)
            case peer_messages.Hello():
                self._send_welcome(sender, wants_lists=message.wants_lists)
            case peer_messages.Welcome():
                self._on_welcome(message, now)
            case peer_messages.ConfigUpdate():
                self._core.state.adopt_config(
                    message.config, sender.instance_id
                )
            case peer_messages.UpstreamUpdate():
                self._on_upstreams(message)

    def _record_sender(self, sender: peer_messages.Sender, now: float) -> None:
        is_new, ended_incarnation = self._peers.record_message(
            sender.address,
            sender.instance_id,
            sender.incarnation,
            now,
            reaches_store=sender.reaches_store and not sender.stopping,
        )
        if ended_incarnation is not None:
            self._drop_runs(ended_incarnation)
        if is_new:
            logs.decision(
                _LOG,
                "peer found",
                peer=sender.instance_id,
                address=sender.address,
                incarnation=sender.incarnation,
                config_version=sender.config_version,
            )
            if not self._connect(sender.address):
                self._send_welcome(sender, wants_lists=False)
        if sender.config_version > self._core.state.config_version:
            self._catch_up_from(sender.address, now)

    def _on_upstreams(self, update: peer_messages.UpstreamUpdate) -> None:
        if self._store_sync is not None:
            self._store_sync.apply_shared_read(
                update.since,
                store.UpstreamsRead(update.changes, update.position),
                update.sender.instance_id,
            )

    def _on_heartbeat(
        self, heartbeat: peer_messages.Heartbeat, now: float
    ) -> None:
        self._add_runs(heartbeat.sender.incarnation, heartbeat.started, now)
        runs = self._peer_runs.setdefault(heartbeat.sender.incarnation, set())
        for run_id in heartbeat.first_events:
            self._core.load.mark_decoding(run_id)
        for run_id in heartbeat.ended:
            runs.discard(run_id)
            self._core.load.remove_run(run_id)
        for claim in heartbeat.claimed:
            self._core.claims.add(claim, now)
        for claim_id in heartbeat.released:
            self._core.claims.remove(claim_id)
        for engine, slowdown in heartbeat.slowdowns.items():
            self._core.slowdowns.merge_peer(engine, slowdown, now)
        if heartbeat.calls:
            counts = self._core.peer_calls.setdefault(
                heartbeat.sender.incarnation, collections.Counter()
            )
            counts.update(
                {
                    key: heartbeat.calls[key] - counts[key]
                    for key in heartbeat.calls
                }
            )
        if heartbeat.ended or heartbeat.first_events or heartbeat.released:
            self._core.run_scheduling_pass()

    def _on_welcome(self, welcome: peer_messages.Welcome, now: float) -> None:
        source = welcome.sender.instance_id
        if welcome.config is not None:
            self._core.state.adopt_config(welcome.config, source)
        if not self._core.state.has_upstream_list and welcome.upstreams:
            self._core.state.has_upstream_list = True
            self._core.state.apply_upstreams(
                self._core.state.members.merge_peer_entries(welcome.upstreams),
                source,
            )
        for address in welcome.gateways:
            self._connect(address)
        self._drop_runs(welcome.sender.incarnation)
        self._add_runs(welcome.sender.incarnation, welcome.started, now)

    def _add_runs(
        self,
        incarnation: str,
        started: list[peer_messages.StartedRun],
        now: float,
    ) -> None:
        runs = self._peer_runs.setdefault(incarnation, set())
        for started_run in started:
            runs.add(started_run.run.run_id)
            self._core.load.add_run(
                started_run.run, now, age_s=started_run.age_s
            )

    def _drop_runs(self, incarnation: str) -> None:
        runs = self._peer_runs.pop(incarnation, set())
        self._core.load.remove_runs(runs)
        self._core.peer_calls.pop(incarnation, None)

    # Messages to single peers.

    def _connect(self, address: str) -> bool:
        """Connects and sends a hello; returns False if already connected."""
        if self._link is None or not self._link.connect(address):
            return False
        task = asyncio.ensure_future(self._retry_hello(address))
        self._hello_tasks.add(task)
        task.add_done_callback(self._hello_tasks.discard)
        return True

    async def _retry_hello(self, address: str) -> None:
        """Sends a hello, and retries while the connection refuses it.

        Gives up after FORGET_AFTER_S.
        """
        attempts = int(peers.FORGET_AFTER_S / HELLO_RETRY_S)
        for _ in range(attempts):
            if self._link is None:
                return
            if self._send_hello(address):
                return
            await asyncio.sleep(HELLO_RETRY_S)

    def _send_hello(self, address: str) -> bool:
        """Sends a hello; returns False if the connection can't take it.

        While this gateway has no upstream list, up to MAX_LIST_REQUESTS hellos
        request the lists.
        """
        if self._link is None:
            return False
        wants_lists = (
            not self._core.state.has_upstream_list
            and self._list_requests < MAX_LIST_REQUESTS
        )
        sent = self._link.send(
            address, peer_messages.Hello(self._sender(), wants_lists)
        )
        self._list_requests += sent and wants_lists
        return sent

    def _catch_up_from(self, address: str, now: float) -> None:
        """Requests newer state from a peer, at most once per interval."""
        if now >= self._last_catch_up_at + CATCH_UP_INTERVAL_S:
            self._last_catch_up_at = now
            self._list_requests = 0
            self._send_hello(address)

    def _send_welcome(
        self, sender: peer_messages.Sender, *, wants_lists: bool
    ) -> None:
        """Sends this gateway's runs and the state that the peer lacks.

        The upstream list and the known gateways are sent only on request: if
        all gateways start at once and each sends them to every peer, the
        traffic grows with the square of the number of gateways.
        """
        if self._link is None:
            return
        now = clock.now()
        state = self._core.state
        may_send_config = wants_lists or sender.config_version >= 0
        sends_config = may_send_config and sender.config_version < (
            state.config_version
        )
        self._link.send(
            sender.address,
            peer_messages.Welcome(
                self._sender(),
                state.compiled.config
                if sends_config and state.compiled
                else None,
                state.members.entries() if wants_lists else [],
                [peer.address for peer in self._peers.alive()]
                if wants_lists
                else [],
                [
                    peer_messages.StartedRun(run, now - started_at)
                    for run, started_at in self._own_runs.values()
                ],
            ),
        )

    def _on_config(
        self, config: fleet_config.FleetConfig, before: int, source: str
    ) -> None:
        """Broadcasts a new version that this gateway read from the store.

        The first version after a start isn't broadcast: the peers have it.
        """
        is_update_from_store = (
            source == fleet_state.STORE_SOURCE and before >= 0
        )
        if is_update_from_store and self._link is not None:
            self._link.broadcast(
                peer_messages.ConfigUpdate(self._sender(), config)
            )
