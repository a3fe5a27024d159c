"""Heartbeats, load reports and cache summaries to entries.

Invariant: cache summaries are hints. Each has a sequence number, and a full
summary follows whenever the agent or an entry may have missed events.
"""

from typing import Final

from apricottrestle import (
    agent_events,
    agent_queue,
    agent_state,
    agent_tables,
    messages,
)

LOAD_POLL_INTERVAL_S: Final = 1.0
LOAD_TRANSIT_S: Final = 0.05
"""Time for a StartRun to reach the engine and for the load to come back."""

CACHE_POLL_INTERVAL_S: Final = 1.0
SUMMARY_INTERVAL_S: Final = 10.0
FULL_SUMMARY_INTERVAL_S: Final = 600.0
MAX_CACHED_BLOCKS: Final = 20_000
MAX_FULL_SUMMARY_BLOCKS: Final = 64
"""Maximum number of blocks in a full summary, which lists the newest blocks.

With 4,000 blocks (36 KB) every 120 s, 136 agents would send an entry over
40 KB/s, but an entry has 19 KB/s for all of its control traffic.
"""

MAX_SUMMARY_ADDED: Final = 16
MAX_SUMMARY_REMOVED: Final = 8
"""Maximum numbers of added and removed blocks in a summary that isn't full.

24 hashes of 9 bytes every 10 s from each of 136 agents take 4 KB/s of the
19 KB/s that an entry has for control traffic. An omitted block costs at most a
cache hit, and entries also record the prefixes that they send.
"""

PEER_IDLE_TIMEOUT_S: Final = 60.0

Commands = list[agent_events.Command]


def load_report(
    tables: agent_tables.Tables, peer: agent_tables.Peer, now: float
) -> messages.LoadReport:
    """Returns the load report for an entry."""
    params = tables.params
    config = tables.engine.config
    is_engine = params.kind == "engine"
    model = config.model if config is not None else ""
    queued = (
        tables.queue.queued_tokens()
        if is_engine
        else [0] * len(messages.PRIORITIES)
    )
    return messages.LoadReport(
        model if is_engine else params.service,
        params.kind,
        served_version(tables),
        list(config.adapters) if config is not None else [],
        tables.drain.active,
        queued,
        len(tables.runs) if is_engine else len(tables.live_calls),
        agent_queue.prefill_tokens_left(tables),
        agent_queue.kv_tokens_total(tables),
        agent_queue.kv_tokens_free(tables),
        tables.queue.effective_tokens_per_s(
            agent_queue.engine_capacity(tables)
        ),
        peer.submits_received,
    )


def served_version(tables: agent_tables.Tables) -> str:
    """Returns the version for new requests, or "" if none can be served.

    Entries route by the version, so an agent whose engine is down gets no work.
    """
    config = tables.engine.config
    down = tables.engine.failed_polls >= agent_queue.ENGINE_DOWN_FAILED_POLLS
    if config is None or not config.versions or down:
        return ""
    spec = tables.config.models.get(config.model)
    if spec is not None and spec.version in config.versions:
        return spec.version
    return config.versions[0]


def on_hello(
    tables: agent_tables.Tables, routing_id: bytes, now: float, out: Commands
) -> None:
    """Answers with the load, an ongoing drain and a full cache summary."""
    peer = tables.peers[routing_id]
    reply = messages.HelloReply(
        tables.params.agent_id,
        tables.params.data_centre,
        load_report(tables, peer, now),
    )
    out.append(agent_events.Send(routing_id, reply))
    if tables.drain.active:
        left_s = max(tables.drain.deadline - now, 0.0)
        draining = messages.Draining(int(left_s * 1000))
        out.append(agent_events.Send(routing_id, draining))
    if tables.cache.blocks:
        out.append(agent_events.Send(routing_id, _full_summary(tables)))


def on_ping(
    tables: agent_tables.Tables,
    routing_id: bytes,
    msg: messages.Ping,
    now: float,
    out: Commands,
) -> None:
    """Answers a heartbeat with the load report."""
    report = load_report(tables, tables.peers[routing_id], now)
    out.append(agent_events.Send(routing_id, messages.Pong(msg.seq, report)))


def on_engine_load(
    tables: agent_tables.Tables, event: agent_events.EngineLoad, now: float
) -> None:
    """Stores the engine's load.

    Runs started before the load was measured are part of it and no longer
    counted separately.
    """
    engine = tables.engine
    engine.load = event
    engine.load_received_at = now
    engine.failed_polls = 0
    measured_at = now - event.age_s - LOAD_TRANSIT_S
    engine.unreported_starts = [
        row for row in engine.unreported_starts if row[0] > measured_at
    ]


def on_cache_events(
    tables: agent_tables.Tables, response: agent_events.CacheEvents
) -> None:
    """Applies cache events; after a gap the next poll requests all blocks."""
    cache = tables.cache
    if response.full:
        _replace_blocks(cache, response)
        return
    for event in response.events:
        if event.seq <= cache.last_event_seq:
            continue
        if event.seq != cache.last_event_seq + 1:
            cache.last_event_seq = 0
            return
        _apply_event(cache, event)
        cache.last_event_seq = event.seq
    _evict_oldest(cache)


def _replace_blocks(
    cache: agent_state.CacheState, response: agent_events.CacheEvents
) -> None:
    blocks = [block for event in response.events for block in event.added]
    newest = dict.fromkeys(blocks[-MAX_CACHED_BLOCKS:])
    cache.full_summary_due = (
        cache.full_summary_due or newest.keys() != cache.blocks.keys()
    )
    cache.blocks = newest
    cache.last_event_seq = response.last_seq


def _apply_event(
    cache: agent_state.CacheState, event: agent_events.CacheEvent
) -> None:
    for block in event.removed:
        if block in cache.blocks:
            _remove_block(cache, block)
    for block in event.added:
        cache.blocks[block] = None
        cache.added_blocks[block] = None
        cache.removed_blocks.pop(block, None)


def _remove_block(cache: agent_state.CacheState, block: int) -> None:
    del cache.blocks[block]
    cache.added_blocks.pop(block, None)
    cache.removed_blocks[block] = None


def _evict_oldest(cache: agent_state.CacheState) -> None:
    while len(cache.blocks) > MAX_CACHED_BLOCKS:
        _remove_block(cache, next(iter(cache.blocks)))


def _full_summary(tables: agent_tables.Tables) -> messages.CacheSummary:
    newest = list(tables.cache.blocks)[-MAX_FULL_SUMMARY_BLOCKS:]
    return messages.CacheSummary(tables.cache.summary_seq, True, newest, [])


def tick(tables: agent_tables.Tables, now: float, out: Commands) -> None:
    """Polls the engine, sends summaries and removes idle connections."""
    if tables.params.kind == "engine":
        _poll(tables, now, out)
        _send_summary(tables, now, out)
    for routing_id, peer in list(tables.peers.items()):
        if now - peer.last_frame_at >= PEER_IDLE_TIMEOUT_S:
            del tables.peers[routing_id]
    for sender, last_seen in list(tables.entry_last_frame_at.items()):
        if now - last_seen >= PEER_IDLE_TIMEOUT_S:
            del tables.entry_last_frame_at[sender]


def _poll(tables: agent_tables.Tables, now: float, out: Commands) -> None:
    if now >= tables.engine.next_load_poll_at:
        tables.engine.next_load_poll_at = now + LOAD_POLL_INTERVAL_S
        out.append(agent_events.PollLoad())
    if now >= tables.cache.next_poll_at:
        tables.cache.next_poll_at = now + CACHE_POLL_INTERVAL_S
        out.append(agent_events.PollCache(tables.cache.last_event_seq))


def _send_summary(
    tables: agent_tables.Tables, now: float, out: Commands
) -> None:
    cache = tables.cache
    if now < cache.next_summary_at:
        return
    cache.next_summary_at = now + SUMMARY_INTERVAL_S
    full = cache.full_summary_due or now >= cache.next_full_summary_at
    if not full and not cache.added_blocks and not cache.removed_blocks:
        return
    cache.summary_seq += 1
    if full:
        cache.next_full_summary_at = now + FULL_SUMMARY_INTERVAL_S
        summary = _full_summary(tables)
    else:
        added = list(cache.added_blocks)[-MAX_SUMMARY_ADDED:]
        removed = list(cache.removed_blocks)[-MAX_SUMMARY_REMOVED:]
        summary = messages.CacheSummary(
            cache.summary_seq, False, added, removed
        )
    cache.full_summary_due = False
    cache.added_blocks.clear()
    cache.removed_blocks.clear()
    out.extend(
        agent_events.Send(peer, summary) for peer in tables.reachable_peers()
    )
