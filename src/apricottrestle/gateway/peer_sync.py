"""Replicates state between the gateways of the fleet.

Each gateway reports its own runs to its peers as they start and end, so that
every gateway knows the load of all gateways on the engines. A gateway that
can't reach the store gets the configuration and the upstream list from its
peers.
"""

import asyncio
import collections
import logging
import math
import random
from collections.abc import Callable, Iterable
from typing import Final

from apricottrestle import hashing, logs, metrics
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
    rotation,
    run_listener,
    settings,
    store,
    store_duty,
    store_sync,
    upstream_limits,
)

PEER_CHECK_INTERVAL_S: Final = 0.1
"""Interval of the check for peers that timed out and for a due heartbeat: a
quarter of the heartbeat interval."""

SEND_RETRY_MIN_S: Final = 0.02
SEND_RETRY_MAX_S: Final = 0.3
"""Pauses between attempts to send a hello or its answer while a connection to a
peer is being established double from the least, a few round trips, to the
longest: after all gateways have failed, each has hundreds of peers to reach."""

CATCH_UP_INTERVAL_S: Final = 0.3
"""Least time between two hellos that request newer state. It is shorter than
the heartbeat interval, so that a configuration version that was missed is in
force within the two seconds that the platform allows."""

STORE_FIRST_S: Final = 0.1
"""Time after the start in which only the store is asked for configuration and
upstream list; a few of its calls."""

CRASH_SYNC_S: Final = 0.3
"""Time for which a peer may know other crashes of engines before it is asked
for them: longer than the delay of a message."""

EVACUATION_SYNC_S: Final = 0.3
"""Time for which a peer may know other evacuations before it is asked for them:
longer than the delay of a message, and a small part of the time in which an
evacuation must be in force."""

LIMITS_INTERVAL_S: Final = 2.0
"""Interval at which all limits are sent, for peers that missed a change."""

RELAY_FANOUT: Final = 3
"""Peers to which a gateway sends a configuration itself; 300 gateways get it
over five relays."""

RELAY_TIME_S: Final = 0.2
"""Time in which a configuration that peers have reaches this gateway by relays;
after that the gateway asks for it."""

LIST_BEHIND_S: Final = 1.0
"""Time for which the upstream list of a gateway that can't reach the store may
be older than a peer's before it asks for that one: two intervals in which peers
send what they read."""

RELAY_CHECK_S: Final = 0.5
"""Time after which a gateway that didn't distribute a configuration sends it to
the peers that still lack it; they report their version in each heartbeat."""

_LOG: Final = logging.getLogger(__name__)


class PeerSync(run_listener.RunListener, store_sync.ReaderGroup):
    """Exchanges heartbeats, configuration and upstream list with the peers.

    Attributes:
        stop_order: Position of this gateway in the sequence of stops; 0 if it
            isn't shutting down.
    """

    def __init__(
        self,
        cfg: settings.GatewaySettings,
        core: gateway.Gateway,
        incarnation: str,
        rng: random.Random,
    ) -> None:
        """Creates the exchange without connections.

        Args:
            cfg: Settings.
            core: Gateway whose runs are reported and whose tables are updated.
            incarnation: Id of this process, unique in the fleet.
            rng: Chooses the peer that is asked for missing state.
        """
        self.stop_order = 0
        self._accept_until = math.inf
        self._fleet_size_at_stop = 1
        self._cfg = cfg
        self._core = core
        self._incarnation = incarnation
        self._rng = rng
        self._peers = peers.PeerTable()
        self._peer_runs: dict[str, set[str]] = {}
        self._own_runs: dict[str, tuple[engine_load.Run, float]] = {}
        self._started_runs: list[tuple[engine_load.Run, float]] = []
        self._first_events: list[str] = []
        self._ended_runs: list[str] = []
        self._changed_calls: dict[str, int] = {}
        self._new_claims: list[engine_claims.Claim] = []
        self._released_claims: list[str] = []
        self._changed_crashes: dict[str, None] = {}
        self._changed_limits: dict[str, None] = {}
        self._all_limits_sent_at = 0.0
        self._crashes_differ_since: dict[str, float] = {}
        self._evacuations_differ_since: dict[str, float] = {}
        self._sends_evacuations = False
        self._heartbeat_scheduled = False
        self._last_heartbeat_at = 0.0
        self._link: peer_link.Link | None = None
        self._store_sync: store_sync.StoreSync | None = None
        self._last_catch_up_at = 0.0
        self._behind_since: float | None = None
        self._list_behind_since: float | None = None
        self._started_at = 0.0
        self._send_tasks: set[asyncio.Task[None]] = set()
        core.state.watch_config(self._on_config)
        core.state.watch_evacuations(self._on_evacuations)
        core.state.watch_ready(self._schedule_heartbeat)

    def start(self, link: peer_link.Link, sync: store_sync.StoreSync) -> None:
        """Connects to the seed gateways and enables sending."""
        self._link = link
        self._store_sync = sync
        self._started_at = clock.now()
        self.connect(self._cfg.seeds)

    def stop(self) -> None:
        """Cancels the messages that are still being retried."""
        self._link = None
        for task in self._send_tasks:
            task.cancel()

    def connect(self, addresses: Iterable[str]) -> None:
        """Connects to gateways by their addresses."""
        for address in addresses:
            self._connect(address)

    def connect_gateways(self, entries: list[store.GatewayEntry]) -> None:
        """Connects to gateways that are registered in the store."""
        self._core.cold.fleet.note_listed(
            [entry.instance_id for entry in entries], clock.now()
        )
        for entry in entries:
            self._connect(entry.address)

    def gateway_count(self) -> int:
        """See RunListener.gateway_count."""
        return self._peers.count()

    def placement_rank(self, engine: str) -> int:
        """See RunListener.placement_rank.

        The order differs between engines, so that no gateway is always last.
        """
        own = hashing.rendezvous_score(self._incarnation, engine)
        return sum(
            hashing.rendezvous_score(peer.incarnation, engine) < own
            for peer in self._peers.alive()
        )

    # Planned stops.

    def begin_stop(self, accept_until: float) -> None:
        """Tells the peers that this gateway is shutting down.

        Args:
            accept_until: Monotonic time until which it may stay in rotation.
        """
        self._fleet_size_at_stop = self._peers.count()
        self._accept_until = accept_until
        self.stop_order = rotation.next_stop_order(self._rotation_members())
        self._schedule_heartbeat()

    @property
    def in_rotation(self) -> bool:
        """Whether this gateway should get new connections."""
        own = rotation.Member(self._incarnation, self.stop_order, self._ready())
        if not self.stop_order:
            return own.available
        return rotation.stays(
            own, self._rotation_members(), self._fleet_size_at_stop
        )

    def peers_in_rotation(self) -> int:
        """See RunListener.peers_in_rotation."""
        return sum(
            member.available and not member.stop_order
            for member in self._rotation_members()
        )

    def peers_leaving(self) -> int:
        """See RunListener.peers_leaving."""
        return sum(peer.stop_order > 0 for peer in self._peers.alive())

    def _ready(self) -> bool:
        return self._core.state.ready and clock.now() < self._accept_until

    def _rotation_members(self) -> list[rotation.Member]:
        now = clock.now()
        return [
            rotation.Member(
                peer.incarnation,
                peer.stop_order,
                peer.ready_since is not None
                and (
                    peer.stop_order > 0
                    or now >= peer.ready_since + rotation.JOIN_S
                ),
            )
            for peer in self._peers.alive()
        ]

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
        self, since: store.Position, upstreams_read: store.UpstreamsRead
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

    def limits_changed(self, upstream_ids: list[str]) -> None:
        """See RunListener.limits_changed."""
        self._changed_limits.update(dict.fromkeys(upstream_ids))
        self._schedule_heartbeat()

    def crashes_changed(self, crash_ids: list[str]) -> None:
        """See RunListener.crashes_changed."""
        self._changed_crashes.update(dict.fromkeys(crash_ids))
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
        sends_all_limits = now >= self._all_limits_sent_at + LIMITS_INTERVAL_S
        if sends_all_limits:
            self._all_limits_sent_at = now
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
                self._core.crashes.evidence.reports(now, self._changed_crashes),
                self._core.limits.reports(
                    now, None if sends_all_limits else self._changed_limits
                ),
                self._core.state.evacuations.report(now)
                if self._sends_evacuations
                else None,
            )
        )
        self._sends_evacuations = False
        self._changed_crashes, self._changed_limits = {}, {}
        self._new_claims, self._released_claims = [], []
        self._started_runs, self._first_events, self._ended_runs = [], [], []
        self._changed_calls = {}

    def _sender(self) -> peer_messages.Sender:
        return peer_messages.Sender(
            self._cfg.instance_id,
            self._cfg.peers,
            self._incarnation,
            self._core.state.config_version,
            self.stop_order > 0,
            self._store_sync is not None and self._store_sync.reaches_store,
            self._ready(),
            self.stop_order,
            self._core.crashes.evidence.digest,
            self._store_sync.list_position if self._store_sync else None,
            self._core.state.config_stamp.history,
            self._core.state.config_stamp.offset,
            self._core.state.evacuations.digest
            if self._core.state.evacuations.known
            else None,
            self._core.cold.fleet.known(),
        )

    def tick(self) -> None:
        """Drops peers that timed out, and sends a heartbeat if one is due."""
        now = clock.now()
        lost, forgotten = self._peers.expire(now)
        self._core.crashes.tick()
        self._core.limits.expire(now)
        self._core.cold_records.tick()
        for peer in lost:
            self._crashes_differ_since.pop(peer.address, None)
            self._evacuations_differ_since.pop(peer.address, None)
            logs.decision(
                _LOG,
                "peer lost",
                peer=peer.instance_id,
                address=peer.address,
                silent_s=round(now - peer.last_heard_at, 3),
            )
            self._core.probation.add(self._engines_of(peer.incarnation), now)
            self._drop_runs(peer.incarnation)
        metrics.PEERS.set(len(self._peers.alive()))
        self._request_missing_state(now)
        for address in forgotten:
            if self._link is not None:
                self._link.disconnect(address)
        if now - self._last_heartbeat_at >= peers.HEARTBEAT_INTERVAL_S:
            self._send_heartbeat()

    def _request_missing_state(self, now: float) -> None:
        """Asks a ready peer for what this gateway could not yet read itself.

        The store is given time to answer first, and the peer is chosen at
        random: the lists of a large fleet have hundreds of kilobytes, and after
        a mass restart the seeds would have to send them to every gateway.
        """
        if self._core.state.ready or now < self._started_at + STORE_FIRST_S:
            return
        ready_peers = [
            peer for peer in self._peers.alive() if peer.ready_since is not None
        ]
        if ready_peers:
            self._catch_up_from(
                self._rng.choice(ready_peers).address, now, wants_lists=True
            )

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
                self._answer_hello(sender, wants_lists=message.wants_lists)
            case peer_messages.Welcome():
                self._on_welcome(message, now)
            case peer_messages.ConfigUpdate():
                self._core.state.adopt_config(
                    message.config, sender.instance_id
                )
                self._relay_config(message.config, message.relay_to)
            case peer_messages.UpstreamUpdate():
                self._on_upstreams(message)
        self._request_unknown_crashes(sender, now)
        self._request_evacuations(sender, now)
        self._request_newer_list(sender, now)

    def _request_newer_list(
        self, sender: peer_messages.Sender, now: float
    ) -> None:
        """Asks for the upstream list of a peer that could read more of it.

        Guards a gateway that the store turns away against changes that were
        lost, or that follow a history which it doesn't know.
        """
        if self._store_sync is None or sender.list_position is None:
            return
        self._store_sync.note_peer_history(
            sender.list_position.history, sender.instance_id
        )
        own = self._store_sync.list_position
        if not self._core.state.has_upstream_list or (
            own is not None and own >= sender.list_position
        ):
            return
        if self._store_sync.reaches_store:
            self._list_behind_since = None
        elif self._list_behind_since is None:
            self._list_behind_since = now
        elif now >= self._list_behind_since + LIST_BEHIND_S:
            self._catch_up_from(sender.address, now, wants_lists=True)

    def _request_unknown_crashes(
        self, sender: peer_messages.Sender, now: float
    ) -> None:
        """Asks a peer that knows other crashes for all that it knows.

        It has a message that was lost, or knows them from before this process
        started or was cut off; it asks in turn for what it lacks.
        """
        if sender.crash_digest == self._core.crashes.evidence.digest:
            self._crashes_differ_since.pop(sender.address, None)
            return
        since = self._crashes_differ_since.setdefault(sender.address, now)
        if now >= since + CRASH_SYNC_S:
            self._crashes_differ_since[sender.address] = now
            self._send_hello(sender.address)

    def _request_evacuations(
        self, sender: peer_messages.Sender, now: float
    ) -> None:
        """Asks a peer that knows other evacuations for all that it knows.

        Guards against messages that were lost, and a gateway that the store
        turns away.
        """
        table = self._core.state.evacuations
        if sender.evacuation_digest is None or (
            table.known and sender.evacuation_digest == table.digest
        ):
            self._evacuations_differ_since.pop(sender.address, None)
            return
        since = self._evacuations_differ_since.setdefault(sender.address, now)
        if now >= since + EVACUATION_SYNC_S:
            self._evacuations_differ_since[sender.address] = now
            self._send_hello(sender.address)

    def _record_sender(self, sender: peer_messages.Sender, now: float) -> None:
        self._core.cold.fleet.note_heard(
            sender.instance_id, sender.known_gateways, now
        )
        is_new, ended_incarnation = self._peers.record_message(
            sender.address,
            sender.instance_id,
            sender.incarnation,
            now,
            reaches_store=sender.reaches_store and not sender.stopping,
            stop_order=sender.stop_order,
            config_stamp=sender.config_stamp,
            ready=sender.ready,
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
                self._answer_hello(sender, wants_lists=False)
        state = self._core.state
        if not state.ready or sender.config_stamp <= state.config_stamp:
            return
        if self._behind_since is None:
            self._behind_since = now
        if now >= self._behind_since + RELAY_TIME_S:
            newer = [
                peer.address
                for peer in self._peers.alive()
                if peer.config_stamp > state.config_stamp
            ]
            self._catch_up_from(self._rng.choice(newer), now, wants_lists=False)

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
            run = self._core.load.mark_decoding(run_id)
            if run is not None:
                self._core.probation.clear(run.engine)
        for run_id in heartbeat.ended:
            runs.discard(run_id)
            self._core.load.remove_run(run_id)
        for claim in heartbeat.claimed:
            self._core.claims.add(claim, now)
        for claim_id in heartbeat.released:
            self._core.claims.remove(claim_id)
        if heartbeat.crashes:
            self._core.crashes.merge(
                heartbeat.crashes, heartbeat.sender.instance_id
            )
        self._merge_limits(heartbeat.sender, heartbeat.limits, now)
        if heartbeat.evacuation_report is not None:
            self._core.state.merge_evacuations(
                heartbeat.evacuation_report, heartbeat.sender.instance_id
            )
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
        if welcome.evacuation_report is not None:
            self._core.state.merge_evacuations(
                welcome.evacuation_report, source
            )
        if welcome.config is not None:
            self._core.state.adopt_config(welcome.config, source)
        if not self._core.state.has_upstream_list and welcome.upstreams:
            self._core.state.apply_upstreams(
                self._core.state.members.merge_peer_entries(welcome.upstreams),
                source,
            )
        elif (
            self._store_sync is not None
            and welcome.upstreams
            and welcome.sender.list_position is not None
            and not self._store_sync.reaches_store
        ):
            self._store_sync.apply_peer_list(
                [
                    entry
                    for entry in welcome.upstreams
                    if entry.upstream_id not in welcome.lapsed
                ],
                welcome.sender.list_position,
                source,
            )
            self._list_behind_since = None
        for address in welcome.gateways:
            self._connect(address)
        if welcome.crashes:
            self._core.crashes.merge(welcome.crashes, source)
        self._merge_limits(welcome.sender, welcome.limits, now)
        self._drop_runs(welcome.sender.incarnation)
        self._add_runs(welcome.sender.incarnation, welcome.started, now)

    def _merge_limits(
        self,
        sender: peer_messages.Sender,
        reports: list[upstream_limits.LimitReport],
        now: float,
    ) -> None:
        for report in reports:
            if self._core.limits.merge(sender.incarnation, report, now):
                self._core.on_limit_changed(
                    report.upstream_id, sender.instance_id
                )

    def _add_runs(
        self,
        incarnation: str,
        started: list[peer_messages.StartedRun],
        now: float,
    ) -> None:
        runs = self._peer_runs.setdefault(incarnation, set())
        for started_run in started:
            runs.add(started_run.run.run_id)
            if started_run.run.decoding:
                self._core.probation.clear(started_run.run.engine)
            self._core.load.add_run(
                started_run.run, now, age_s=started_run.age_s
            )

    def _engines_of(self, incarnation: str) -> set[str]:
        """Returns the engines that run requests of a peer."""
        engines: set[str] = set()
        for run_id in self._peer_runs.get(incarnation, ()):
            run = self._core.load.get_run(run_id)
            if run is not None:
                engines.update((run.engine, *run.helpers))
        return engines

    def _drop_runs(self, incarnation: str) -> None:
        runs = self._peer_runs.pop(incarnation, set())
        self._core.load.remove_runs(runs)
        self._core.peer_calls.pop(incarnation, None)

    # Messages to single peers.

    def _connect(self, address: str) -> bool:
        """Connects and sends a hello; returns False if already connected."""
        if self._link is None or not self._link.connect(address):
            return False
        self._retry(lambda: self._send_hello(address))
        return True

    def _answer_hello(
        self, sender: peer_messages.Sender, *, wants_lists: bool
    ) -> None:
        """Sends this gateway's runs to a peer, as soon as it can be reached."""
        if self._link is None or self._send_welcome(
            sender, wants_lists=wants_lists
        ):
            return
        self._link.reconnect(sender.address)
        self._retry(lambda: self._send_welcome(sender, wants_lists=wants_lists))

    def _retry(self, send: Callable[[], bool]) -> None:
        """Sends a message, and retries while the connection refuses it."""
        task = asyncio.ensure_future(self._send_until_taken(send))
        self._send_tasks.add(task)
        task.add_done_callback(self._send_tasks.discard)

    async def _send_until_taken(self, send: Callable[[], bool]) -> None:
        """Retries with exponential backoff, for at most FORGET_AFTER_S."""
        gives_up_at = clock.now() + peers.FORGET_AFTER_S
        pause_s = SEND_RETRY_MIN_S
        while clock.now() < gives_up_at:
            if self._link is None or send():
                return
            await asyncio.sleep(pause_s)
            pause_s = min(2 * pause_s, SEND_RETRY_MAX_S)

    def _send_hello(self, address: str, *, wants_lists: bool = False) -> bool:
        """Sends a hello; returns False if the connection can't take it."""
        if self._link is None:
            return False
        return self._link.send(
            address, peer_messages.Hello(self._sender(), wants_lists)
        )

    def _catch_up_from(
        self, address: str, now: float, *, wants_lists: bool
    ) -> None:
        """Requests newer state from a peer, at most once per interval."""
        if now >= self._last_catch_up_at + CATCH_UP_INTERVAL_S:
            self._last_catch_up_at = now
            self._send_hello(address, wants_lists=wants_lists)

    def _send_welcome(
        self, sender: peer_messages.Sender, *, wants_lists: bool
    ) -> bool:
        """Sends this gateway's runs and the state that the peer lacks.

        Returns False if the message was dropped.

        The upstream list and the known gateways are sent only on request: if
        all gateways start at once and each sends them to every peer, the
        traffic grows with the square of the number of gateways.
        """
        if self._link is None:
            return False
        now = clock.now()
        state = self._core.state
        may_send_config = wants_lists or sender.config_version >= 0
        sends_config = may_send_config and sender.config_stamp < (
            state.config_stamp
        )
        return self._link.send(
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
                self._core.crashes.evidence.reports(now)
                if sender.crash_digest != self._core.crashes.evidence.digest
                else [],
                self._core.limits.reports(now),
                state.members.lapsed() if wants_lists else [],
                state.evacuations.report(now)
                if state.evacuations.known
                and sender.evacuation_digest != state.evacuations.digest
                else None,
            ),
        )

    def _on_config(
        self, config: fleet_config.FleetConfig, before: int, source: str
    ) -> None:
        """Distributes a new version that this gateway read from the store.

        The first version after a start isn't distributed: the peers have it. If
        several gateways have read it, the first by rank distributes it, and the
        others send it to those that still lack it after a while.
        """
        self._behind_since = None
        if source != fleet_state.STORE_SOURCE or before < 0:
            return
        if self.rank(reaches_store=True) == 0:
            self._relay_config(
                config, [peer.address for peer in self._peers.alive()]
            )
        else:
            asyncio.get_running_loop().call_later(
                RELAY_CHECK_S, self._relay_to_older, config
            )

    def _on_evacuations(self, source: str) -> None:
        """Sends evacuations that this gateway read from the store."""
        if source == fleet_state.STORE_SOURCE:
            self._sends_evacuations = True
            self._schedule_heartbeat()

    def _relay_to_older(self, config: fleet_config.FleetConfig) -> None:
        """Sends a configuration to the peers that report an older version."""
        self._relay_config(
            config,
            [
                peer.address
                for peer in self._peers.alive()
                if peer.config_stamp < config.stamp
            ],
        )

    def _relay_config(
        self, config: fleet_config.FleetConfig, addresses: list[str]
    ) -> None:
        """Sends a configuration to peers, most of them through other peers.

        A gateway that sent it to all would need seconds for a large fleet, as a
        configuration may have hundreds of kilobytes. A peer whose relay fails
        asks for the version, see `_record_sender`.
        """
        if self._link is None:
            return
        for group in _split(addresses, RELAY_FANOUT):
            self._link.send(
                group[0],
                peer_messages.ConfigUpdate(self._sender(), config, group[1:]),
            )


def _split(addresses: list[str], count: int) -> list[list[str]]:
    """Splits a list into at most `count` parts of about the same length."""
    parts = [addresses[number::count] for number in range(count)]
    return [part for part in parts if part]
