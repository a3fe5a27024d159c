"""Configuration of an entry: log, peers that are ahead or behind, drains.

Invariant: the state moves only through ConfigSync, which never goes back.
"""

import msgspec

from apricottrestle import entry_tables, messages, platform_log


class DrainRecord(msgspec.Struct):
    """Data of a record of the drain stream."""

    instance: str


def apply_release_notes(
    t: entry_tables.Tables, result: platform_log.ReadResult
) -> None:
    """Folds records of the release stream."""
    t.sync.apply_records(result)


def request_newer_config(
    t: entry_tables.Tables,
    peer: entry_tables.PeerRow,
    revision: int,
    now: float,
) -> None:
    """Asks a peer that is ahead for what it knows."""
    interval_over = (
        now - peer.config_requested_at >= entry_tables.CONFIG_REQUEST_INTERVAL_S
    )
    if revision > t.sync.revision and interval_over:
        peer.config_requested_at = now
        t.send(peer.agent_id, messages.ConfigRequest(t.sync.revision))


def answer_request(
    t: entry_tables.Tables,
    peer: entry_tables.PeerRow,
    msg: messages.ConfigRequest,
) -> None:
    """Sends a peer what it lacks."""
    t.send(peer.agent_id, t.sync.answer(msg))


def apply_drain_records(
    t: entry_tables.Tables, records: list[platform_log.LogRecord]
) -> bool:
    """Notes the instances that an operator wants drained.

    A drain holds for the incarnation that runs at that time; without this, a
    restarted instance would be drained again.

    Returns:
        True when this entry itself must drain.
    """
    drain_self = False
    for record in records:
        try:
            drain = msgspec.json.decode(record.data, type=DrainRecord)
        except msgspec.DecodeError:
            continue
        drain_self = drain_self or drain.instance == t.identity.instance_id
        peer = t.peers.get(drain.instance)
        t.drains[drain.instance] = peer.incarnation if peer else ""
    return drain_self


def bind_drain(t: entry_tables.Tables, peer: entry_tables.PeerRow) -> None:
    """Binds a drain to the incarnation that a peer showed first."""
    if t.drains.get(peer.agent_id) == "":
        t.drains[peer.agent_id] = peer.incarnation
