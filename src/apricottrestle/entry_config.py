"""Configuration updates of an entry from the log and from peers, and drains.

Invariant: the configuration changes only through ConfigSync, whose revision
never decreases.
"""

import msgspec

from apricottrestle import entry_tables, messages, platform_log


class DrainRecord(msgspec.Struct):
    """Data of a record of the drain stream."""

    instance: str


def apply_release_notes(
    tables: entry_tables.Tables, result: platform_log.ReadResult
) -> None:
    """Applies records of the release stream to the configuration."""
    tables.sync.apply_records(result)


def request_newer_config(
    tables: entry_tables.Tables,
    peer: entry_tables.PeerRow,
    revision: int,
    now: float,
) -> None:
    """Requests the configuration from a peer with a newer revision."""
    interval_over = (
        now - peer.config_requested_at >= entry_tables.CONFIG_REQUEST_INTERVAL_S
    )
    if revision > tables.sync.revision and interval_over:
        peer.config_requested_at = now
        tables.send(peer.agent_id, messages.ConfigRequest(tables.sync.revision))


def answer_config_request(
    tables: entry_tables.Tables,
    peer: entry_tables.PeerRow,
    msg: messages.ConfigRequest,
) -> None:
    """Sends a peer the configuration changes that it requests."""
    tables.send(peer.agent_id, tables.sync.make_update(msg))


def apply_drain_records(
    tables: entry_tables.Tables, records: list[platform_log.LogRecord]
) -> bool:
    """Records the instances that an operator has ordered to drain.

    A drain order is for the current incarnation of the instance, so that the
    instance is not drained again after a restart.

    Returns:
        True when this entry itself must drain.
    """
    drain_self = False
    for record in records:
        try:
            drain = msgspec.json.decode(record.data, type=DrainRecord)
        except msgspec.DecodeError:
            continue
        drain_self = drain_self or drain.instance == tables.identity.instance_id
        peer = tables.peers.get(drain.instance)
        tables.drains[drain.instance] = peer.incarnation if peer else ""
    return drain_self


def bind_drain(tables: entry_tables.Tables, peer: entry_tables.PeerRow) -> None:
    """Binds a drain order of unknown incarnation to the one of a new peer."""
    if tables.drains.get(peer.agent_id) == "":
        tables.drains[peer.agent_id] = peer.incarnation
