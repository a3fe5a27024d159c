"""Keeps upstreams that are cold within the requests that they can take.

An upstream is cold for a while after a start, and may turn cold at any time.
Above a number of requests per second from all gateways together it crashes.
Each gateway therefore has a fixed share for each cold upstream, which depends
on the number of gateways that may be alive and on nothing that they would have
to agree on. A gateway that others don't hear keeps to it as well.

Where the share is below one request, only the gateways that come first in an
order of their own for each upstream send there. They can't take turns by time:
monotonic clocks have no common zero, wall clocks may step back, and a cold
upstream is warm again before a turn would be over.

What is believed comes from the upstream list, from headers of answers, from
starts seen while requests are served, and from lost connections, which a
restart that isn't listed yet may have caused. Every such statement makes an
upstream cold; only an answer to a request that was sent after the last one
makes it warm before its time.

Invariant: while every gateway knows that an upstream is cold, at most the
requests of the bound reach it in any second, also if a link delivers the
requests of MAX_LINK_DELAY_S at once, a process was frozen, or all gateways
start again.
"""

import collections
import math
from collections.abc import Iterable, Mapping
from typing import Final, NamedTuple

from apricottrestle import hashing
from apricottrestle.gateway import fleet_config, upstream_list

JUDGED_S: Final = 1.0
"""Time over which the bound holds, as specified by the platform."""

MAX_LINK_DELAY_S: Final = 2.0
"""Requests of this time may arrive at once; a connection whose data isn't
acknowledged for longer has failed."""

WINDOW_S: Final = JUDGED_S + MAX_LINK_DELAY_S
"""Window of a gateway's share. All that arrives in a second was sent in it."""

SPREAD_S: Final = 0.5
"""Time over which a share is spread, so that upstreams that turn cold together
fill evenly and not all at one moment."""

START_SHARE: Final = 0.25
"""Part of its share that a gateway uses in the first window after its start:
the process before it may have used up a whole share just before its end."""

RESERVED_SHARES: Final = 1
"""Shares that no gateway uses. They cover gateways that others don't know yet,
and requests that were sent before an upstream was known to be cold."""

ASSUMED_GATEWAYS: Final = 32
"""Gateways assumed by a gateway that has not read from the store or heard from
a peer how many there are; as many as the largest fleet has."""

COUNT_VALID_S: Final = 1.0
"""Time for which a count of the gateways is used: it is asked for each upstream
in each scheduling pass, and changes at once when one is heard or named."""

MAX_RANKS: Final = 4_096
"""Upstreams whose order of gateways is remembered."""

GATEWAY_KEPT_S: Final = 600.0
"""Time for which a gateway that was heard from or named counts as alive; longer
than repairs of a link or a restart of a machine take."""

FREEZE_S: Final = 0.5
"""Time without a call from which the process was frozen; five checks."""

DOUBTFUL_FREEZE_S: Final = 1.2
"""Time from which a freeze makes upstreams doubtful: an entry may be as late
without one, and a busy machine stops a process for shorter times often."""

WAKE_DOUBT_S: Final = 2.0
"""Time after a freeze in which every upstream may be cold: an entry is written
up to 1.2 s late and read within 0.5 s."""

LIST_STALE_S: Final = 3.0
"""Age of the upstream list from which every upstream may be cold; several reads
and an interval between two entries."""

DOUBT_WINDOW_S: Final = JUDGED_S
"""Window of a share while nothing says that an upstream is cold but the list is
old. An outage of the store may be long, and isn't assumed to coincide with a
slow link."""

LOSS_DOUBT_S: Final = 6.0
"""Time after a lost connection in which an upstream may have started again
without being listed: the longest ejection and the delay of an entry."""

ROW_KEPT_S: Final = 60.0
"""Time for which an upstream that is no longer listed is remembered, so that
its return in the same start doesn't count as a start."""

START: Final = "start"
LISTED: Final = "list"
HEADER: Final = "response"
LOSS: Final = "lost connection"
WAKE: Final = "resumed"
STALE: Final = "old list"
"""Sources of a belief, for the log."""

ALL: Final = "all"
"""Stands for the upstreams of all services that can be cold, in the log."""


class Change(NamedTuple):
    """An upstream that is now believed cold, or no longer.

    Attributes:
        upstream_id: The upstream, or ALL.
        is_cold: Whether it is believed cold.
        source: What the belief comes from; if it is warm, what it came from.
        left_s: Time for which it is believed cold; infinite if not known, 0 if
            it is warm.
    """

    upstream_id: str
    is_cold: bool
    source: str
    left_s: float


class _Rule(NamedTuple):
    """What a service says of its cold upstreams.

    Attributes:
        start_s: Time for which an upstream is cold after a start.
        bound: Requests that all gateways together may send in a second.
    """

    start_s: float
    bound: float


class _Row:
    """What is believed of an upstream, and the requests sent to it.

    Attributes:
        entry: Its entry that was read last.
        listed_at: Time at which it was last listed.
        until: Time until which it is believed cold.
        stated_at: Time of the latest statement.
        source: Where that came from.
        reported: Whether it was last reported as cold.
        sends: Times of the requests in the window, oldest first.
    """

    __slots__ = (
        "entry",
        "listed_at",
        "reported",
        "sends",
        "source",
        "stated_at",
        "until",
    )

    def __init__(self, entry: upstream_list.UpstreamEntry) -> None:
        self.entry = entry
        self.listed_at = -math.inf
        self.until = -math.inf
        self.stated_at = -math.inf
        self.source = ""
        self.reported = False
        self.sends: collections.deque[float] = collections.deque()

    def believe(self, until: float, now: float, source: str) -> None:
        """Makes it cold at least until a time."""
        self.stated_at = now
        if until > self.until:
            self.until = until
            self.source = source


class FleetSize:
    """The number of gateways that may be alive.

    It shrinks only after GATEWAY_KEPT_S, so that those that this gateway
    doesn't hear keep their share.
    """

    def __init__(self, instance_id: str) -> None:
        """Creates the size of a fleet of which nothing is known yet.

        Args:
            instance_id: Id of this gateway's instance.
        """
        self._own = instance_id
        self._listed: set[str] = set()
        self._kept_until: dict[str, float] = {}
        self._named: dict[str, tuple[int, float]] = {}
        self._has_read = False
        self._counted: frozenset[str] = frozenset()
        self._count = 0
        self._count_until = -math.inf
        self._ranks: dict[str, float] = {}

    def note_listed(self, instance_ids: Iterable[str], now: float) -> None:
        """Records the gateways that the store names."""
        self._keep(self._listed, now)
        self._listed = set(instance_ids)
        self._has_read = True
        self._count_until = -math.inf

    def note_heard(self, instance_id: str, named: int, now: float) -> None:
        """Records a message from a peer.

        Args:
            instance_id: The peer.
            named: Gateways that the peer knows; 0 if it has not read them.
            now: Monotonic time in seconds.
        """
        self._keep((instance_id,), now)
        if instance_id not in self._counted or named > self._count:
            self._count_until = -math.inf
        if named > 0:
            self._named[instance_id] = (named, now + GATEWAY_KEPT_S)
            if not self._has_read:
                self._count_until = -math.inf

    def _keep(self, instance_ids: Iterable[str], now: float) -> None:
        self._kept_until.update(
            dict.fromkeys(instance_ids, now + GATEWAY_KEPT_S)
        )

    def known(self) -> int:
        """Returns the gateways that this one knows at first hand.

        0 before it has read them. What peers name isn't passed on, since two
        gateways would keep up a number that no longer holds.
        """
        return len(self._ids()) if self._has_read else 0

    def count(self, now: float) -> int:
        """Returns the number of gateways that may be alive."""
        if now < self._count_until:
            return self._count
        self._forget(now)
        named = max((count for count, _ in self._named.values()), default=0)
        if not self._has_read and not named:
            named = ASSUMED_GATEWAYS
        ids = self._ids()
        count = max(len(ids), named)
        if (
            ids != self._counted
            or count != self._count
            or len(self._ranks) > MAX_RANKS
        ):
            self._ranks.clear()
        self._counted, self._count = ids, count
        self._count_until = now + COUNT_VALID_S
        return count

    def rank(self, upstream_id: str, now: float) -> float:
        """Returns the number of gateways that come first at an upstream.

        Gateways whose ids aren't known count by their probability.
        """
        unknown = self.count(now) - len(self._counted)
        rank = self._ranks.get(upstream_id)
        if rank is None:
            own = hashing.rendezvous_score(self._own, upstream_id)
            rank = self._ranks[upstream_id] = (
                sum(
                    hashing.rendezvous_score(each, upstream_id) < own
                    for each in self._counted
                )
                + unknown * own / 2**64
            )
        return rank

    def _ids(self) -> frozenset[str]:
        return frozenset((self._own, *self._listed, *self._kept_until))

    def _forget(self, now: float) -> None:
        self._kept_until = {
            name: until
            for name, until in self._kept_until.items()
            if now < until
        }
        self._named = {
            name: row for name, row in self._named.items() if now < row[1]
        }


class ColdUpstreams:
    """Table of the upstreams that are cold, and of this gateway's shares.

    Attributes:
        fleet: The gateways that share.
    """

    def __init__(self, instance_id: str, overrun: float, slack: float) -> None:
        """Creates a table without upstreams.

        Args:
            instance_id: Id of this gateway's instance.
            overrun: See `configure`.
            slack: See `configure`.
        """
        self.fleet = FleetSize(instance_id)
        self._rows: dict[str, _Row] = {}
        # Upstreams that are believed cold, or were last reported so.
        self._stated: set[str] = set()
        self._has_rules = False
        self._expire_at = -math.inf
        self._services: Mapping[str, fleet_config.Service] = {}
        self._has_list = False
        self._listed_at = math.inf
        self._started_at = -math.inf
        self._called_at: float | None = None
        self._doubt_until = -math.inf
        self._doubt = ""
        self.configure(overrun, slack)

    def configure(self, overrun: float, slack: float) -> None:
        """Sets the bound.

        Args:
            overrun: Factor on the rate of a service.
            slack: Requests per second on top.
        """
        self._overrun = overrun
        self._slack = slack

    def set_services(
        self, services: Mapping[str, fleet_config.Service]
    ) -> None:
        """Sets the services, which say what cold upstreams can take."""
        had_none = bool(self._services) and not self._has_rules
        self._services = services
        self._has_rules = any(map(self._rule, services))
        if self._has_rules and had_none:
            # The upstreams were not remembered; none of them has just started.
            self._has_list = False

    def start(self, now: float) -> None:
        """Begins the first window after the start of this process."""
        self._started_at = now
        self._called_at = now

    def _rule(self, service: str) -> _Rule | None:
        """Returns a service's rule; None if its upstreams are never cold."""
        found = self._services.get(service)
        if found is None or found.cold_start_s <= 0 or found.cold_per_s <= 0:
            return None
        return _Rule(
            found.cold_start_s, found.cold_per_s * self._overrun + self._slack
        )

    # What upstreams are believed to be.

    def observe_list(
        self, entries: Iterable[upstream_list.UpstreamEntry], now: float
    ) -> list[Change]:
        """Records the upstream list, each time it has been read.

        An upstream that wasn't in the list before has started, unless this is
        the first list.
        """
        self._note_call(now)
        self._listed_at = now
        if self._services and not self._has_rules:
            changes = self._changes(now)
            self._rows.clear()
            self._stated.clear()
            return changes
        for entry in entries:
            row = self._rows.get(entry.upstream_id)
            has_started = self._has_list
            if row is not None:
                has_started = entry.started_at_ms != row.entry.started_at_ms
                if entry is row.entry:
                    row.listed_at = now
                    continue
            if row is None or has_started:
                sends = row.sends if row is not None else None
                row = self._rows[entry.upstream_id] = _Row(entry)
                # Requests that were on their way to the start before may reach
                # this one.
                row.sends = sends or row.sends
            row.entry = entry
            row.listed_at = now
            rule = self._rule(entry.service)
            if rule is not None and has_started:
                self._believe(row, now + rule.start_s, now, START)
            if entry.warm_up_left_s > 0:
                # The configuration, which has the rule, may come later.
                self._believe(row, now + entry.warm_up_left_s, now, LISTED)
        self._has_list = True
        return self._changes(now)

    def observe_response(
        self,
        upstream_id: str,
        started_at_ms: int,
        cold_s: float | None,
        sent_at: float,
        now: float,
    ) -> list[Change]:
        """Records what an answer says.

        Args:
            upstream_id: The upstream.
            started_at_ms: Start time of its process, as listed when the request
                was sent.
            cold_s: Time for which it is still cold, or None if the answer
                doesn't say.
            sent_at: Monotonic time at which the request was sent.
            now: Monotonic time in seconds.
        """
        row = self._rows.get(upstream_id)
        if (
            cold_s is None
            or row is None
            or row.entry.started_at_ms != started_at_ms
        ):
            return []
        if sent_at >= row.stated_at:
            row.until = -math.inf
        if cold_s > 0:
            self._believe(row, now + cold_s, now, HEADER)
        return self._changes(now)

    def note_loss(self, upstream_id: str, now: float) -> list[Change]:
        """Records a call without an answer; the upstream may start again."""
        row = self._rows.get(upstream_id)
        if row is not None and self._rule(row.entry.service) is not None:
            self._believe(row, now + LOSS_DOUBT_S, now, LOSS)
        return self._changes(now)

    def tick(self, now: float) -> list[Change]:
        """Returns what has changed by the passing of time."""
        self._note_call(now)
        if now >= self._expire_at:
            self._expire_at = now + ROW_KEPT_S / 4
            for upstream_id, row in list(self._rows.items()):
                if now > row.listed_at + ROW_KEPT_S:
                    del self._rows[upstream_id]
                    self._stated.discard(upstream_id)
        return self._changes(now)

    def _believe(
        self, row: _Row, until: float, now: float, source: str
    ) -> None:
        row.believe(until, now, source)
        self._stated.add(row.entry.upstream_id)

    def _changes(self, now: float) -> list[Change]:
        changes = []
        for upstream_id in sorted(self._stated):
            row = self._rows[upstream_id]
            is_cold = (
                row.until > now and self._rule(row.entry.service) is not None
            )
            if is_cold != row.reported:
                row.reported = is_cold
                changes.append(
                    Change(
                        upstream_id,
                        is_cold,
                        row.source,
                        row.until - now if is_cold else 0.0,
                    )
                )
            if row.until <= now:
                self._stated.discard(upstream_id)
        doubt = self._doubt_source(now)
        if doubt != self._doubt:
            changes.append(
                Change(ALL, True, doubt, math.inf)
                if doubt
                else Change(ALL, False, self._doubt, 0.0)
            )
            self._doubt = doubt
        return changes

    def _doubt_source(self, now: float) -> str:
        """Returns why each upstream may be cold; empty without a reason."""
        if not self._has_rules:
            return ""
        if now < self._doubt_until:
            return WAKE
        return STALE if now > self._listed_at + LIST_STALE_S else ""

    def _note_call(self, now: float) -> None:
        """Lets time stand still for the shares while the process was frozen.

        Requests that were recorded just before may leave only now, and those
        of before the freeze may arrive only now.
        """
        called_at, self._called_at = self._called_at, now
        if called_at is None or now <= called_at + FREEZE_S:
            return
        frozen_s = now - called_at
        for row in self._rows.values():
            row.sends = collections.deque(at + frozen_s for at in row.sends)
        self._started_at += frozen_s
        if frozen_s > DOUBTFUL_FREEZE_S:
            self._doubt_until = now + WAKE_DOUBT_S

    def cold(self) -> list[str]:
        """Returns the upstreams that were last reported as cold."""
        return [name for name in self._stated if self._rows[name].reported]

    def is_cold(self, upstream_id: str, now: float) -> bool:
        """Returns whether requests to an upstream are limited."""
        return self.left_s(upstream_id, now) > 0

    def left_s(self, upstream_id: str, now: float) -> float:
        """Returns the time for which requests to an upstream are limited.

        Infinite while the list is old, as nothing says when that ends.
        """
        self._note_call(now)
        row = self._rows.get(upstream_id)
        if row is None or self._rule(row.entry.service) is None:
            return 0.0
        left_s = max(row.until, self._doubt_until) - now
        if now > self._listed_at + LIST_STALE_S:
            left_s = math.inf
        return max(left_s, 0.0)

    # Shares.

    def share(self, upstream_id: str, now: float) -> int:
        """Returns the requests that this gateway may send in each window."""
        row = self._rows.get(upstream_id)
        rule = self._rule(row.entry.service) if row is not None else None
        if rule is None:
            return 0
        gateways = (1 + START_SHARE) * self.fleet.count(now)
        share = int(rule.bound / (gateways + RESERVED_SHARES))
        if not share:
            bound = int(rule.bound)
            first = max(bound - RESERVED_SHARES, min(bound, 1))
            share = int(self.fleet.rank(upstream_id, now) < first)
        if now < self._started_at + WINDOW_S:
            share = int(share * START_SHARE)
        return share

    def record_send(self, upstream_id: str, now: float) -> None:
        """Counts a request of this gateway, also while an upstream is warm."""
        self._note_call(now)
        row = self._rows.get(upstream_id)
        if row is None or self._rule(row.entry.service) is None:
            return
        row.sends.append(now)
        while row.sends[0] <= now - WINDOW_S:
            row.sends.popleft()

    def wait_s(self, upstream_id: str, now: float) -> float:
        """Returns the time until an upstream may get a request; 0 for now."""
        left_s = self.left_s(upstream_id, now)
        if left_s <= 0:
            return 0.0
        row = self._rows[upstream_id]
        share, window_s = self.share(upstream_id, now), WINDOW_S
        if row.until <= now:
            # Nothing but a doubt that may last for long.
            share = max(share, 1)
            if now >= self._doubt_until:
                window_s = DOUBT_WINDOW_S
        if not share:
            return left_s
        if len(row.sends) < share:
            free_at = -math.inf
        else:
            free_at = row.sends[-share] + window_s
        if row.sends:
            free_at = max(free_at, row.sends[-1] + SPREAD_S / share)
        return min(max(free_at - now, 0.0), left_s)

    def per_s(self, upstream_id: str, now: float) -> float:
        """Returns the rate of this gateway's share of an upstream."""
        return self.share(upstream_id, now) / WINDOW_S
