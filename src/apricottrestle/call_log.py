"""Records of non-idempotent calls on the log stream `calls/<agent id>`.

One log record holds a batch of entries, so that many calls share one append.
The order of records decides: the first entry of a key that is an intent or a
refusal settles whether its agent may run it. Entries name a key by its id,
which leaves out the authentication code, so a reader of the log can't use the
key.
"""

import enum
from collections.abc import Iterable, Sequence
from typing import Final, NamedTuple

import msgspec

from apricottrestle import call_keys, errors

STREAM_PREFIX: Final = "calls/"


class EntryKind(enum.StrEnum):
    """What an entry states about its key."""

    INTENT = "intent"
    REFUSAL = "refusal"
    COMPLETION = "completion"


class CallEntry(NamedTuple):
    """One statement about one key.

    Attributes:
        kind: Intent (the agent will run it), refusal (an entry forbids it) or
            completion (the service answered).
        key_id: See `key_id`.
        status: HTTP status of the service for a completion, else 0.
    """

    kind: EntryKind
    key_id: str
    status: int = 0


class CallRecord(NamedTuple):
    """A record of the stream: log offset and encoded entries."""

    offset: int
    data: str


class KeyOutcome(NamedTuple):
    """Outcome of a key as far as the log can tell.

    Attributes:
        outcome: "completed", "not_run" (proved) or "unknown".
        status: HTTP status of the service when completed, else 0.
        reason: Stable word for the evidence.
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
    """Returns the name of a key within its agent's stream."""
    return f"{key.incarnation}~{key.seq}"


def encode(entries: Sequence[CallEntry]) -> str:
    """Returns the data of one log record."""
    return _ENCODER.encode(entries).decode()


def decode(record: CallRecord) -> list[CallEntry]:
    """Returns the entries of a record.

    Raises:
        ProtocolError: The data is not a batch of entries.
    """
    try:
        return _DECODER.decode(record.data)
    except msgspec.DecodeError as exc:
        raise errors.ProtocolError(
            f"call record at offset {record.offset}: {exc}", step="call_log"
        ) from exc


def refused_seqs_before(
    records: Iterable[CallRecord], offset: int, incarnation: str
) -> set[int]:
    """Returns the sequence numbers that are refused below a log offset.

    Args:
        records: Records of the agent's stream.
        offset: Offset of the intents; later refusals don't count.
        incarnation: Refusals of other incarnations don't count.

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
    """Returns what the log proves about a key whose agent is gone.

    Append a refusal of the key before reading: without one, an intent may
    still follow, and the outcome is unknown.

    Args:
        records: All records after the key's log position, in offset order.
        key: The key.
        first_retained: Offset of the oldest record that the log still has.

    Raises:
        ProtocolError: A record is malformed.
    """
    if not key.logged:
        return KeyOutcome("unknown", 0, "unlogged_key")
    if first_retained > key.log_position + 1:
        return KeyOutcome("unknown", 0, "past_retention")
    wanted = key_id(key)
    started = False
    for record in sorted(records, key=lambda record: record.offset):
        for entry in decode(record):
            if entry.key_id != wanted:
                continue
            if entry.kind is EntryKind.REFUSAL and not started:
                return KeyOutcome("not_run", 0, "refusal_first")
            if entry.kind is EntryKind.INTENT:
                started = True
            if entry.kind is EntryKind.COMPLETION:
                return KeyOutcome("completed", entry.status, "completion")
    reason = "intent_first" if started else "no_record"
    return KeyOutcome("unknown", 0, reason)
