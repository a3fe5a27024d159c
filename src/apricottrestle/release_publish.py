"""Publishes a release note and finds out what became of it.

Invariant: "accepted" is reported only for a note that was read back from the
log and folded; "rejected" only when it can't be accepted any more. A lost
answer is resolved by reading; what reading can't show is "unknown".
"""

import asyncio
import time
from collections.abc import Awaitable, Callable
from typing import Final, Literal, NamedTuple

from apricottrestle import (
    config_sync,
    errors,
    platform_log,
    release_fold,
    release_note,
)

RESOLVE_TIMEOUT_S: Final = 10.0
"""Time spent on reading the log back after the append."""
_RETRY_S: Final = 0.5

Clock = Callable[[], float]
Sleep = Callable[[float], Awaitable[None]]


class PublishResult(NamedTuple):
    """What became of a note.

    Attributes:
        verdict: "accepted", "rejected" or "unknown".
        offset: Offset of the note's record, 0 when not known.
        problems: Why it was rejected or is unknown.
    """

    verdict: Literal["accepted", "rejected", "unknown"]
    offset: int
    problems: list[str]


async def publish(
    log: platform_log.LogService,
    text: str,
    *,
    clock: Clock = time.monotonic,
    sleep: Sleep = asyncio.sleep,
) -> PublishResult:
    """Appends a release note and reads back its verdict.

    Publishing the same text again is harmless: an accepted note is found by
    its id.

    Args:
        log: The log.
        text: TOML text of the note.
        clock: Monotonic seconds.
        sleep: Waits for a number of seconds.

    Raises:
        ReleaseError: The text is no release note; nothing was appended.
        PlatformError: Nothing was appended.
    """
    note = release_note.parse(text)
    sync = config_sync.ConfigSync()
    earlier = await config_sync.catch_up(log, sync)
    known = find_accepted(earlier, sync, note.note_id, text)
    if known is not None:
        return known
    require_complete(sync)
    problems = release_fold.check_note(sync.state, note)
    if problems:
        return PublishResult("rejected", 0, problems)
    try:
        offset = await log.append(
            platform_log.RELEASE_STREAM, note.note_id, text
        )
    except errors.AppendUnknownError:
        offset = 0
    return await _resolve(log, sync, note, text, offset, clock, sleep)


def find_accepted(
    applied: list[config_sync.FoldedNote],
    sync: config_sync.ConfigSync,
    note_id: str,
    text: str,
) -> PublishResult | None:
    """Looks for an accepted note of that id.

    Args:
        applied: Records read.
        sync: State after them.
        note_id: Id of the note.
        text: Text that the note should have.

    Returns:
        "accepted" for the same text, "rejected" when another note has the id,
        "unknown" when the text can't be compared, None when no accepted note
        is known to have it.
    """
    for item in applied:
        if item.record.note_id != note_id or item.verdict != "accepted":
            continue
        if item.record.data == text:
            return PublishResult("accepted", item.record.offset, [])
        return _id_taken(note_id, f"accepted at offset {item.record.offset}")
    if note_id in sync.state.note_ids:
        reason = (
            f"id: a note {note_id!r} was accepted, but its text is past the"
            " log's retention, so it can't be compared"
        )
        return PublishResult("unknown", 0, [reason])
    return None


def _id_taken(note_id: str, which: str) -> PublishResult:
    return PublishResult(
        "rejected",
        0,
        [f"id: found {note_id!r}, which belongs to another note, {which}"],
    )


def require_complete(sync: config_sync.ConfigSync) -> None:
    """Checks that the state rests on no hole in the stream.

    Raises:
        PlatformError: Records that matter are past retention.
    """
    if sync.has_gap:
        raise errors.PlatformError(
            "release records are past the log's retention and no snapshot"
            " record covers them",
            step="read",
            peer="log",
        )


async def _resolve(
    log: platform_log.LogService,
    sync: config_sync.ConfigSync,
    note: release_note.ReleaseNote,
    text: str,
    offset: int,
    clock: Clock,
    sleep: Sleep,
) -> PublishResult:
    deadline = clock() + RESOLVE_TIMEOUT_S
    applied: list[config_sync.FoldedNote] = []
    while True:
        try:
            await config_sync.catch_up(log, sync, applied)
            result = _verdict(applied, sync, note, text, offset)
            if result is not None:
                return result
        except errors.PlatformError:
            pass  # Reading is tried again until the time is over.
        if clock() >= deadline:
            return _unknown(offset)
        await sleep(_RETRY_S)


def _verdict(
    applied: list[config_sync.FoldedNote],
    sync: config_sync.ConfigSync,
    note: release_note.ReleaseNote,
    text: str,
    offset: int,
) -> PublishResult | None:
    known = find_accepted(applied, sync, note.note_id, text)
    if known is not None:
        return known
    for item in applied:
        same = item.record.note_id == note.note_id and item.record.data == text
        if same and (not offset or item.record.offset == offset):
            return PublishResult("rejected", item.record.offset, item.problems)
    if sync.revision != note.base:
        # Even if the append takes effect later, its base is no longer current.
        return PublishResult(
            "rejected",
            offset,
            [
                f"base: found {note.base}, but another note was accepted at"
                f" revision {sync.revision}"
            ],
        )
    return None


def _unknown(offset: int) -> PublishResult:
    if offset:
        reason = f"stored at offset {offset}, but it could not be read back"
    else:
        reason = "the log's answer was lost, and the note was not found yet"
    return PublishResult("unknown", offset, [reason])
