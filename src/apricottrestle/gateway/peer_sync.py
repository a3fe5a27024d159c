"""Keeps this gateway's tables in step with those of its peers.

Own runs are told to the peers as they start and end, so that each gateway sees
the load that the others put on engines. Configuration and upstream list travel
the same way to a gateway that can't reach the store.
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

TICK_S: Final = 0.1
"""Interval at which silence of peers is noticed: a quarter of a beat."""

GREET_S: Final = 0.05
"""Interval of hellos to a peer whose connection isn't made yet."""

ASK_S: Final = 0.3
"""Interval of hellos to peers that are ahead: below a beat, so that a version
that was missed is in force within the two seconds it may take."""

MAX_ASKED: Final = 3
"""Peers that a starting gateway asks for all they know at a time."""

_LOG: Final = logging.getLogger(__name__)


class PeerSync(gateway.RunListener, store_sync.Readers):
    """Exchanges beats, configuration and upstreams with the peers.

    Attributes:
        stopping: This gateway is leaving.
    """

    def __init__(
        self,
        cfg: settings.GatewaySettings,
        core: gateway.Gateway,
        incarnation: str,
    ) -> None:
        """Prepares the exchange."""
        self.stopping = False
        self._cfg = cfg
        self._core = core
        self._incarnation = incarnation
        self._peers = peers.PeerTable()
        self._peer_runs: dict[str, set[str]] = {}
        self._own: dict[str, tuple[engine_load.Run, float]] = {}
        self._started: list[tuple[engine_load.Run, float]] = []
        self._wrote: list[str] = []
        self._ended: list[str] = []
        self._calls: dict[str, int] = {}
        self._claimed: list[engine_claims.Claim] = []
        self._released: list[str] = []
        self._flush_due = False
        self._last_beat = 0.0
        self._link: peer_link.Link | None = None
        self._store_sync: store_sync.StoreSync | None = None
        self._asked = 0
        self._asked_at = 0.0
        self._greetings: set[asyncio.Task[None]] = set()
        core.state.watch_config(self._on_config)

    def start(self, link: peer_link.Link, sync: store_sync.StoreSync) -> None:
        """Connects to the seeds and begins to beat."""
        self._link = link
        self._store_sync = sync
        self.connect(self._cfg.seeds)

    def stop(self) -> None:
        """Ends the beats."""
        for task in self._greetings:
            task.cancel()

    def connect(self, addresses: Iterable[str]) -> None:
        """Connects to gateways by their addresses."""
        for address in addresses:
            self._connect(address)

    def connect_rows(self, rows: list[store.GatewayRow]) -> None:
        """Connects to gateways that the store knows."""
        for row in rows:
            self._connect(row.address)

    def gateway_count(self) -> int:
        """See RunListener.gateway_count."""
        return self._peers.count()

    # Shared calls to the store.

    def rank(self, *, reaches_store: bool) -> int:
        """See Readers.rank."""
        return store_duty.rank(
            store_duty.Reader(self._incarnation, reaches_store),
            [
                store_duty.Reader(peer.incarnation, peer.reaches_store)
                for peer in self._peers.alive()
            ],
        )

    def share_upstreams(self, since: int, read: store.UpstreamsRead) -> None:
        """See Readers.share_upstreams."""
        if self._link is not None:
            self._link.broadcast(
                peer_messages.UpstreamUpdate(
                    self._sender(), since, read.position, read.changes
                )
            )

    def contact_changed(self) -> None:
        """See Readers.contact_changed."""
        self._flush_soon()

    # Own changes.

    def run_started(self, run: engine_load.Run) -> None:
        """See RunListener.run_started."""
        entry = (run, clock.now())
        self._own[run.run_id] = entry
        self._started.append(entry)
        self._flush_soon()

    def run_first_event(self, run_id: str) -> None:
        """See RunListener.run_first_event."""
        entry = self._own.get(run_id)
        if entry is not None:
            self._own[run_id] = (entry[0]._replace(writing=True), entry[1])
            self._wrote.append(run_id)
            self._flush_soon()

    def run_ended(self, run_id: str) -> None:
        """See RunListener.run_ended."""
        if self._own.pop(run_id, None) is not None:
            self._ended.append(run_id)
            self._flush_soon()

    def claim_added(self, claim: engine_claims.Claim) -> None:
        """See RunListener.claim_added."""
        self._claimed.append(claim)
        self._flush_soon()

    def claim_removed(self, claim_id: str) -> None:
        """See RunListener.claim_removed."""
        self._released.append(claim_id)
        self._flush_soon()

    def calls_changed(self, upstream_id: str, count: int) -> None:
        """See RunListener.calls_changed."""
        self._calls[upstream_id] = count

    def _flush_soon(self) -> None:
        if not self._flush_due:
            self._flush_due = True
            asyncio.get_running_loop().call_soon(self._beat)

    def _beat(self) -> None:
        self._flush_due = False
        now = clock.now()
        self._last_beat = now
        if self._link is None:
            return
        self._link.broadcast(
            peer_messages.Beat(
                self._sender(),
                [
                    peer_messages.StartedRun(run, now - at)
                    for run, at in self._started
                ],
                self._wrote,
                self._ended,
                self._calls,
                self._core.paces.seen(now),
                self._claimed,
                self._released,
            )
        )
        self._claimed, self._released = [], []
        self._started, self._wrote, self._ended = [], [], []
        self._calls = {}

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
        """Notices peers that have gone, and beats when it is time."""
        now = clock.now()
        gone, given_up = self._peers.expire(now)
        for peer in gone:
            logs.decision(
                _LOG,
                "peer lost",
                peer=peer.instance_id,
                address=peer.address,
                silent_s=round(now - peer.heard_at, 3),
            )
            self._drop_runs(peer.incarnation)
        alive = self._peers.alive()
        metrics.PEERS.set(len(alive))
        if alive and not self._core.state.list_known:
            self._ask(alive[0].address, now)
        for address in given_up:
            if self._link is not None:
                self._link.disconnect(address)
        if now - self._last_beat >= peers.BEAT_S:
            self._beat()

    # Messages of peers.

    def receive(self, message: peer_messages.Message) -> None:
        """Takes over a message of a peer."""
        now = clock.now()
        sender = message.sender
        if sender.incarnation == self._incarnation:
            return
        self._heard(sender, now)
        match message:
            case peer_messages.Beat():
                self._on_beat(message, now)
            case peer_messages.Hello():
                self._welcome(sender, wants_lists=message.wants_lists)
            case peer_messages.Welcome():
                self._on_welcome(message, now)
            case peer_messages.ConfigUpdate():
                self._core.state.adopt(message.config, sender.instance_id)
            case peer_messages.UpstreamUpdate():
                self._on_upstreams(message)

    def _heard(self, sender: peer_messages.Sender, now: float) -> None:
        is_new, ended = self._peers.heard(
            sender.address,
            sender.instance_id,
            sender.incarnation,
            now,
            reaches_store=sender.reaches_store and not sender.stopping,
        )
        if ended is not None:
            self._drop_runs(ended)
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
                self._welcome(sender, wants_lists=False)
        if sender.config_version > self._core.state.config_version:
            self._ask(sender.address, now)

    def _on_upstreams(self, update: peer_messages.UpstreamUpdate) -> None:
        if self._store_sync is not None:
            self._store_sync.learn(
                update.since,
                store.UpstreamsRead(update.changes, update.position),
                update.sender.instance_id,
            )

    def _on_beat(self, beat: peer_messages.Beat, now: float) -> None:
        self._add_runs(beat.sender.incarnation, beat.started, now)
        runs = self._peer_runs.setdefault(beat.sender.incarnation, set())
        for run_id in beat.wrote:
            self._core.load.wrote(run_id)
        for run_id in beat.ended:
            runs.discard(run_id)
            self._core.load.end(run_id)
        for claim in beat.claimed:
            self._core.claims.add(claim, now)
        for claim_id in beat.released:
            self._core.claims.remove(claim_id)
        for engine, pace in beat.paces.items():
            self._core.paces.learn(engine, pace, now)
        if beat.calls:
            counts = self._core.peer_calls.setdefault(
                beat.sender.incarnation, collections.Counter()
            )
            counts.update(
                {key: beat.calls[key] - counts[key] for key in beat.calls}
            )
        if beat.ended or beat.wrote or beat.released:
            self._core.run_scheduling_pass()

    def _on_welcome(self, welcome: peer_messages.Welcome, now: float) -> None:
        source = welcome.sender.instance_id
        if welcome.config is not None:
            self._core.state.adopt(welcome.config, source)
        if not self._core.state.list_known and welcome.upstreams:
            self._core.state.list_known = True
            self._core.state.apply_upstreams(
                self._core.state.members.learn(welcome.upstreams), source
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
        for each in started:
            runs.add(each.run.run_id)
            self._core.load.start(each.run, now, age_s=each.age_s)

    def _drop_runs(self, incarnation: str) -> None:
        runs = self._peer_runs.pop(incarnation, set())
        self._core.load.end_all(runs)
        self._core.peer_calls.pop(incarnation, None)

    # Sending to single peers.

    def _connect(self, address: str) -> bool:
        """Connects and says hello; False when connected already."""
        if self._link is None or not self._link.connect(address):
            return False
        task = asyncio.ensure_future(self._greet(address))
        self._greetings.add(task)
        task.add_done_callback(self._greetings.discard)
        return True

    async def _greet(self, address: str) -> None:
        """Says hello until the connection takes it, or gives up."""
        tries = int(peers.FORGET_S / GREET_S)
        for _ in range(tries):
            if self._link is None:
                return
            if self._hello(address):
                return
            await asyncio.sleep(GREET_S)

    def _hello(self, address: str) -> bool:
        """Says hello; a gateway that knows nothing asks a few for all."""
        if self._link is None:
            return False
        wants = not self._core.state.list_known and self._asked < MAX_ASKED
        sent = self._link.send(
            address, peer_messages.Hello(self._sender(), wants)
        )
        self._asked += sent and wants
        return sent

    def _ask(self, address: str, now: float) -> None:
        """Asks a peer that is ahead, one at a time."""
        if now >= self._asked_at + ASK_S:
            self._asked_at = now
            self._asked = 0
            self._hello(address)

    def _welcome(
        self, sender: peer_messages.Sender, *, wants_lists: bool
    ) -> None:
        """Tells a peer the own runs, and what it lacks.

        Lists go only to a peer that asks: sent to everybody, they would grow
        with the square of the fleet when all start at a time.
        """
        if self._link is None:
            return
        now = clock.now()
        state = self._core.state
        lacks_config = wants_lists or sender.config_version >= 0
        is_behind = lacks_config and sender.config_version < (
            state.config_version
        )
        self._link.send(
            sender.address,
            peer_messages.Welcome(
                self._sender(),
                state.compiled.config if is_behind and state.compiled else None,
                state.members.entries() if wants_lists else [],
                [peer.address for peer in self._peers.alive()]
                if wants_lists
                else [],
                [
                    peer_messages.StartedRun(run, now - at)
                    for run, at in self._own.values()
                ],
            ),
        )

    def _on_config(
        self, config: fleet_config.FleetConfig, before: int, source: str
    ) -> None:
        """Gives the peers a new version at once, if it was read here.

        A process that starts reads what the others have already.
        """
        is_reader = source == fleet_state.STORE and before >= 0
        if is_reader and self._link is not None:
            self._link.broadcast(
                peer_messages.ConfigUpdate(self._sender(), config)
            )
