"""Connections to agents: choice of peers, heartbeats and failure detection.

A silent peer is tried on a second connection before it is considered lost,
because a connection can stop carrying frames while the agent is healthy.

Invariant: only frames of a peer's open connections are handled. Frames of a
closed connection are dropped, so that they cannot mark a lost peer as up.
"""

from typing import Final

from apricottrestle import (
    entry_events,
    entry_tables,
    hashing,
    messages,
    platform_instances,
    upstream_table,
)

_SUBSET_CHECK_INTERVAL_S: Final = 2.0
_MAX_PAST_INCARNATIONS: Final = 8


def apply_instances(
    tables: entry_tables.Tables,
    rows: list[platform_instances.InstanceRow],
    now: float,
) -> None:
    """Stores changed rows of the instance list and updates the peer subset.

    A connected agent stays connected whatever its row says, since its own
    frames are newer than the list.
    """
    for row in rows:
        if row.role != "agent":
            continue
        tables.instances[row.instance_id] = row
        peer = tables.peers.get(row.instance_id)
        address_changed = (
            peer is not None and peer.instance.control != row.control
        )
        if peer is not None and address_changed and row.state == "live":
            if peer.state == "connecting":
                _reconnect(tables, peer, row, now)
            else:
                peer.instance = row
    connect_subset(tables, now)


def connect_subset(tables: entry_tables.Tables, now: float) -> None:
    """Connects to the agents of the entry's subset."""
    tables.subset_checked_at = now
    for agent_id in subset_agents(tables):
        if agent_id not in tables.peers:
            connect(tables, tables.instances[agent_id], now)


def subset_agents(tables: entry_tables.Tables) -> list[str]:
    """Returns the live agents that this entry should be connected to.

    These are all agents of a small fleet. Of a larger one they are a random
    subset by rendezvous hashing, because the instance list doesn't say which
    upstream an agent serves. The subset is large enough to contain several
    agents for each upstream, and grows while an upstream of the configuration
    has no usable agent.
    """
    live = [
        agent_id
        for agent_id, row in tables.instances.items()
        if row.state == "live"
        and row.data_centre in tables.identity.data_centres
    ]
    if len(live) <= entry_tables.MAX_FULL_MESH_AGENTS:
        return live
    state = tables.sync.state
    upstreams = [*state.models, *state.services]
    count = entry_tables.AGENTS_PER_UPSTREAM * max(1, len(upstreams))
    without_agent = [
        name for name in upstreams if not tables.upstreams.usable_rows(name)
    ]
    if without_agent:
        count = max(count, len(tables.peers)) + entry_tables.AGENTS_PER_UPSTREAM
    return hashing.rendezvous_top(tables.identity.instance_id, live, count)


def connect(
    tables: entry_tables.Tables, row: platform_instances.InstanceRow, now: float
) -> entry_tables.PeerRow:
    """Opens a connection to an agent and sends Hello."""
    peer = entry_tables.PeerRow(row, 0, now)
    tables.peers[row.instance_id] = peer
    peer.conn = _open_connection(tables, peer, now)
    return peer


def _open_connection(
    tables: entry_tables.Tables, peer: entry_tables.PeerRow, now: float
) -> int:
    conn = tables.next_conn
    tables.next_conn += 1
    tables.conns[conn] = peer.agent_id
    peer.opened_at = now
    row = peer.instance
    tables.emit(
        entry_events.Connect(conn, row.instance_id, row.control, row.bulk)
    )
    _send_hello(tables, conn)
    return conn


def _send_hello(tables: entry_tables.Tables, conn: int) -> None:
    hello = messages.Hello(tables.identity.data_centres[0])
    tables.emit(entry_events.Send(conn, hello))


def _close(tables: entry_tables.Tables, conn: int | None) -> None:
    if conn is not None and tables.conns.pop(conn, None) is not None:
        tables.emit(entry_events.Close(conn))


def _reconnect(
    tables: entry_tables.Tables,
    peer: entry_tables.PeerRow,
    row: platform_instances.InstanceRow,
    now: float,
) -> None:
    """Closes the peer's connections and opens a new one."""
    _close(tables, peer.conn)
    _close(tables, peer.second_conn)
    peer.second_conn = None
    peer.instance = row
    peer.state = "connecting"
    peer.incarnation = ""
    peer.conn = _open_connection(tables, peer, now)
    peer.last_ping_at = now
    peer.unanswered_since = now


def on_frame(
    tables: entry_tables.Tables,
    conn: int,
    received: messages.Received,
    now: float,
) -> tuple[entry_tables.PeerRow | None, str]:
    """Updates the state of a peer that sent a frame.

    Returns:
        The peer, or None when the frame must be dropped, and the change of the
        peer: "new" after the first frame from it, "restarted" when the frame
        is of another incarnation, "attach" when the second connection replaces
        the first, else "".
    """
    peer = tables.peers.get(tables.conns.get(conn, ""))
    if peer is None or received.sender != peer.agent_id:
        return None, ""
    if received.incarnation in peer.past_incarnations:
        return None, ""
    change = _select_connection(tables, peer, conn, received)
    if change == "drop":
        return None, ""
    peer.last_frame_at = now
    peer.unanswered_since = None
    peer.state = "up"
    if received.incarnation != peer.incarnation:
        change = "restarted" if peer.incarnation else "new"
        if peer.incarnation:
            peer.past_incarnations = [
                *peer.past_incarnations,
                peer.incarnation,
            ][-_MAX_PAST_INCARNATIONS:]
        peer.incarnation = received.incarnation
        peer.cache_seq = 0
        return peer, change
    return peer, change


def _select_connection(
    tables: entry_tables.Tables,
    peer: entry_tables.PeerRow,
    conn: int,
    received: messages.Received,
) -> str:
    """Keeps the connection that answered first and closes the other one.

    Returns:
        "attach" when the second connection replaces the first, "drop" when the
        frame must be dropped, else "".
    """
    if peer.second_conn is None:
        return "" if conn == peer.conn else "drop"
    if conn == peer.conn:
        _close(tables, peer.second_conn)
        peer.second_conn = None
        return ""
    if not isinstance(received.msg, messages.HelloReply):
        return "drop"
    _close(tables, peer.conn)
    peer.conn = conn
    peer.second_conn = None
    return "attach"


def apply_report(
    tables: entry_tables.Tables,
    peer: entry_tables.PeerRow,
    report: messages.LoadReport,
    now: float,
) -> None:
    """Stores a load report; the first of an incarnation adds a new row.

    A drain order is removed once the agent reports that it drains. Otherwise a
    Ping in transit would drain the process that restarts in its place.
    """
    if report.draining:
        tables.drains.pop(peer.agent_id, None)
    row = tables.upstreams.rows.get(peer.agent_id)
    if row is not None and row.incarnation == peer.incarnation:
        tables.upstreams.apply_report(peer.agent_id, report, now)
        return
    tables.upstreams.add(
        upstream_table.UpstreamRow(
            peer.agent_id,
            peer.instance.data_centre,
            peer.incarnation,
            report,
            now,
        )
    )


def apply_cache_summary(
    tables: entry_tables.Tables,
    peer: entry_tables.PeerRow,
    msg: messages.CacheSummary,
) -> None:
    """Updates the index of the prefix blocks that an engine has cached.

    A gap in the sequence numbers may hide a removal and clears the engine's
    blocks until the next full summary.
    """
    table = tables.upstreams
    if peer.agent_id not in table.rows:
        return
    consecutive = peer.cache_seq > 0 and msg.seq == peer.cache_seq + 1
    if msg.full or not consecutive:
        table.clear_cached_blocks(peer.agent_id)
        peer.cache_seq = 0
    if not msg.full and not consecutive:
        return
    peer.cache_seq = msg.seq
    table.remove_cached_blocks(peer.agent_id, msg.removed)
    table.add_cached_blocks(peer.agent_id, msg.added)


def remove_upstream(tables: entry_tables.Tables, agent_id: str) -> None:
    """Removes an agent from the routing table."""
    tables.upstreams.remove(agent_id)


def suspend_routing(tables: entry_tables.Tables, agent_id: str) -> None:
    """Excludes an agent from routing until its next load report."""
    if agent_id in tables.upstreams.rows:
        tables.upstreams.set_usable(agent_id, False)


def ping_now(tables: entry_tables.Tables, agent_id: str, now: float) -> None:
    """Pings an agent at once unless a ping is already unanswered."""
    peer = tables.peers.get(agent_id)
    if (
        peer is not None
        and peer.state == "up"
        and peer.unanswered_since is None
    ):
        _ping(tables, peer, now)


def _ping(
    tables: entry_tables.Tables, peer: entry_tables.PeerRow, now: float
) -> None:
    peer.ping_seq += 1
    peer.last_ping_at = now
    if peer.unanswered_since is None:
        peer.unanswered_since = now
    drain = bool(peer.incarnation) and (
        tables.drains.get(peer.agent_id) == peer.incarnation
    )
    tables.emit(
        entry_events.Send(peer.conn, messages.Ping(peer.ping_seq, drain))
    )


def tick(tables: entry_tables.Tables, now: float) -> list[str]:
    """Sends pings, opens second connections and reconnects to lost peers.

    Returns:
        The agents that were lost in this run.
    """
    lost = []
    for peer in list(tables.peers.values()):
        if peer.state == "connecting":
            _check_connecting(tables, peer, now)
        elif peer.state == "up":
            _check_connected(tables, peer, now)
        elif now - peer.opened_at >= entry_tables.PEER_SILENCE_TIMEOUT_S:
            lost.append(peer.agent_id)
            remove_upstream(tables, peer.agent_id)
            _reconnect(tables, peer, peer.instance, now)
    _refresh_reports(tables, now)
    if now - tables.subset_checked_at >= _SUBSET_CHECK_INTERVAL_S:
        connect_subset(tables, now)
    return lost


def _refresh_reports(tables: entry_tables.Tables, now: float) -> None:
    """Pings the agents whose upstreams requests wait for.

    A request may wait while engines change their model version. The report of
    the first ready engine would come up to PING_INTERVAL_S later with the
    regular pings alone.
    """
    if not tables.awaited_upstreams:
        return
    for row in tables.upstreams.rows.values():
        peer = tables.peers.get(row.agent_id)
        if peer is None or peer.state != "up":
            continue
        if now - peer.last_ping_at < entry_tables.REPORT_REFRESH_S:
            continue
        if row.report.upstream in tables.awaited_upstreams:
            _ping(tables, peer, now)
    tables.awaited_upstreams.clear()


def _check_connecting(
    tables: entry_tables.Tables, peer: entry_tables.PeerRow, now: float
) -> None:
    row = tables.instances.get(peer.agent_id, peer.instance)
    if row.state != "live" and not peer.pinned:
        _close(tables, peer.conn)
        del tables.peers[peer.agent_id]
    elif now - peer.opened_at >= entry_tables.RECONNECT_INTERVAL_S:
        _reconnect(tables, peer, row, now)
    elif now - peer.last_ping_at >= entry_tables.PING_INTERVAL_S:
        peer.last_ping_at = now
        _send_hello(tables, peer.conn)


def _ping_interval_s(tables: entry_tables.Tables) -> float:
    """Returns the interval between two pings of a peer.

    All peers are pinged in the same tick of an interval, so that one wake-up of
    the process handles many replies.
    """
    interval_s = len(tables.peers) / entry_tables.TARGET_PINGS_PER_S
    return min(
        max(interval_s, entry_tables.MIN_PING_INTERVAL_S),
        entry_tables.PING_INTERVAL_S,
    )


def _check_connected(
    tables: entry_tables.Tables, peer: entry_tables.PeerRow, now: float
) -> None:
    interval_s = _ping_interval_s(tables)
    if int(now / interval_s) > int(peer.last_ping_at / interval_s):
        _ping(tables, peer, now)
    silent = now - peer.last_frame_at >= entry_tables.PEER_SILENCE_TIMEOUT_S
    unanswered = (
        peer.unanswered_since is not None
        and now - peer.unanswered_since
        >= entry_tables.PEER_SILENCE_TIMEOUT_S - entry_tables.FRAME_OVERDUE_S
    )
    if silent and unanswered:
        peer.state = "suspect"
        peer.second_conn = _open_connection(tables, peer, now)
        suspend_routing(tables, peer.agent_id)


def restart_silence_timers(tables: entry_tables.Tables, now: float) -> None:
    """Restarts the silence timeouts of all peers after a process pause."""
    for peer in tables.peers.values():
        peer.last_frame_at = now
        peer.opened_at = now
        if peer.state == "up":
            peer.unanswered_since = None
            _ping(tables, peer, now)
