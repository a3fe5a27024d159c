"""Records of non-idempotent calls on the log stream `calls/<agent id>`.

One log record holds a batch of call entries, so that many calls share one
append. The order of the records is authoritative: if a key's first intent or
refusal is a refusal, its agent must not run the call. Call entries refer to a
key by its id, which lacks the authentication code, so a reader of the log can't
use the key.
"""

import enum
from collections.abc import Iterable, Sequence
from typing import Final, NamedTuple

import msgspec

from apricottrestle import call_keys, errors

STREAM_PREFIX: Final = "calls/"


class EntryKind(enum.StrEnum):
    """Kind of a call entry."""

    INTENT = "intent"
    REFUSAL = "refusal"
    COMPLETION = "completion"


class CallEntry(NamedTuple):
    """Entry of a log record about one key.

    Attributes:
        kind: Intent (the agent is about to run the call), refusal (an entry
            process forbids it) or completion (the service responded).
        key_id: Id of the key; see the function `key_id`.
        status: HTTP status of the service for a completion, else 0.
    """

    kind: EntryKind
    key_id: str
    status: int = 0


class CallRecord(NamedTuple):
    """Record of a call stream.

    Attributes:
        offset: Log offset.
        data: Encoded call entries.
    """

    offset: int
    data: str


class KeyOutcome(NamedTuple):
    """Outcome of a key's call as far as the log proves it.

    Attributes:
        outcome: "completed", "not_run" (never run) or "unknown".
        status: HTTP status of the service if completed, else 0.
        reason: Machine-readable reason for the outcome.
    """

    outcome: errors.Outcome
    status: int
    reason: str


_ENCODER: Final = msgspec.json.Encoder()
_DECODER: Final = msgspec.json.Decoder(list[CallEntry])


def stream_name(agent_id: str) -> str:
    """Returns the name of an agent's call stream."""
    return STREAM_PREFIX + agent_id


def key_id(key: call_keys.IssuedKey) -> str:
    """Returns the id of a key, unique within its agent's stream."""
    return f"{key.incarnation}~{key.seq}"


def encode(entries: Sequence[CallEntry]) -> str:
    """Encodes call entries as the data of one log record."""
    return _ENCODER.encode(entries).decode()


def decode(record: CallRecord) -> list[CallEntry]:
    """Decodes the call entries of a record.

    Raises:
        ProtocolError: The data is not a batch of call entries.
    """
    try:
        return _DECODER.decode(record.data)
    except msgspec.DecodeError as exc:
        raise errors.ProtocolError(
            f"malformed call record at offset {record.offset}: {exc}",
            step="call_log",
        ) from exc


def refused_seqs_before(
    records: Iterable[CallRecord], offset: int, incarnation: str
) -> set[int]:
    """Returns the sequence numbers of the keys refused below a log offset.

    Args:
        records: Records of the agent's stream.
        offset: Offset of the intents; later refusals are ignored.
        incarnation: Incarnation of the agent; refusals of the keys of other
            incarnations are ignored.

    Raises:
        ProtocolError: A record is malformed.
    """
    refused: set[int] = set()
    for record in records:
        if record.offset >= offset:
            continue
        for entry in decode(record):
            name, _, seq = entry.key_id.rpartition("~")
            if entry.kind is EntryKind.REFUSAL and name == incarnation:
                refused.add(int(seq))
    return refused


def key_outcome(
    records: Sequence[CallRecord],
    key: call_keys.IssuedKey,
    first_retained: int,
) -> KeyOutcome:
    """Returns the outcome that the log proves for a key of a lost agent.

    Append a refusal of the key before reading the records. Without a refusal
    the agent may still append an intent, and the outcome is unknown.

    Args:
        records: All records after the key's log position.
        key: The key.
        first_retained: Offset of the oldest record that the log retains.

    Raises:
        ProtocolError: A record is malformed.
    """
    if not key.logged:
        return KeyOutcome("unknown", 0, "unlogged_key")
    if first_retained > key.log_position + 1:
        return KeyOutcome("unknown", 0, "past_retention")
    wanted_id = key_id(key)
    started = False
    for record in sorted(records, key=lambda record: record.offset):
        for entry in decode(record):
            if entry.key_id != wanted_id:
                continue
            if entry.kind is EntryKind.REFUSAL and not started:
                return KeyOutcome("not_run", 0, "refusal_first")
            if entry.kind is EntryKind.INTENT:
                started = True
            if entry.kind is EntryKind.COMPLETION:
                return KeyOutcome("completed", entry.status, "completion")
    reason = "intent_first" if started else "no_record"
    return KeyOutcome("unknown", 0, reason)
