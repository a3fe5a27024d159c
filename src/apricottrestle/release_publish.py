"""Publishes a release note and determines whether the fleet accepts it.

Invariant: "accepted" is reported only for a note that was read back from the
log and folded, "rejected" only if the note can't be accepted any more. If the
log's answer to the append is lost, the verdict is determined by reading the
log; if that doesn't determine it, the verdict is "unknown".
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
"""Time limit for reading the note back after the append."""
_READ_INTERVAL_S: Final = 0.5

Clock = Callable[[], float]
Sleep = Callable[[float], Awaitable[None]]


class PublishResult(NamedTuple):
    """Result of publishing a note.

    Attributes:
        verdict: "accepted", "rejected" or "unknown".
        offset: Offset of the note's record, 0 if not known.
        problems: Why the note was rejected or its verdict is unknown.
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
    """Appends a release note and reads the log to determine its verdict.

    Publishing the same text again is safe: a note that was accepted before is
    found by its id and not appended again.

    Args:
        log: Log service of the platform.
        text: TOML text of the note.
        clock: Returns monotonic time in seconds.
        sleep: Suspends the coroutine for a number of seconds.

    Raises:
        ReleaseError: The text is not a valid release note; nothing was
            appended.
        PlatformError: The log could not be read or refused the append; nothing
            was appended.
    """
    note = release_note.parse(text)
    sync = config_sync.ConfigSync()
    folded = await config_sync.catch_up(log, sync)
    earlier_result = find_accepted(folded, sync, note.note_id, text)
    if earlier_result is not None:
        return earlier_result
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
    return await _await_verdict(log, sync, note, text, offset, clock, sleep)


def find_accepted(
    folded: list[config_sync.FoldedNote],
    sync: config_sync.ConfigSync,
    note_id: str,
    text: str,
) -> PublishResult | None:
    """Returns the result of publishing a note whose id was accepted before.

    Args:
        folded: Note records read from the log.
        sync: Configuration after these records.
        note_id: Id of the note.
        text: Text of the note.

    Returns:
        "accepted" if the accepted note has the same text, "rejected" if it has
        another text, "unknown" if its text is past retention, None if no
        accepted note is known to have the id.
    """
    for item in folded:
        if item.record.note_id != note_id or item.verdict != "accepted":
            continue
        if item.record.data == text:
            return PublishResult("accepted", item.record.offset, [])
        return _id_conflict(note_id, f"accepted at offset {item.record.offset}")
    if note_id in sync.state.note_ids:
        reason = (
            f"id: a note {note_id!r} was accepted, but its text is past the"
            " log's retention, so it can't be compared"
        )
        return PublishResult("unknown", 0, [reason])
    return None


def _id_conflict(note_id: str, status: str) -> PublishResult:
    return PublishResult(
        "rejected",
        0,
        [f"id: found {note_id!r}, which belongs to another note, {status}"],
    )


def require_complete(sync: config_sync.ConfigSync) -> None:
    """Checks that the state includes every record of the release stream.

    Raises:
        PlatformError: Records that no snapshot covers are past retention.
    """
    if sync.has_gap:
        raise errors.PlatformError(
            "release records are past the log's retention and no snapshot"
            " record covers them",
            step="read",
            peer="log",
        )


async def _await_verdict(
    log: platform_log.LogService,
    sync: config_sync.ConfigSync,
    note: release_note.ReleaseNote,
    text: str,
    offset: int,
    clock: Clock,
    sleep: Sleep,
) -> PublishResult:
    deadline = clock() + RESOLVE_TIMEOUT_S
    folded: list[config_sync.FoldedNote] = []
    while True:
        try:
            await config_sync.catch_up(log, sync, folded)
            result = _result_from_log(folded, sync, note, text, offset)
            if result is not None:
                return result
        except errors.PlatformError:
            pass  # The read is retried until the deadline.
        if clock() >= deadline:
            return _unknown_result(offset)
        await sleep(_READ_INTERVAL_S)


def _result_from_log(
    folded: list[config_sync.FoldedNote],
    sync: config_sync.ConfigSync,
    note: release_note.ReleaseNote,
    text: str,
    offset: int,
) -> PublishResult | None:
    accepted = find_accepted(folded, sync, note.note_id, text)
    if accepted is not None:
        return accepted
    for item in folded:
        is_same_note = (
            item.record.note_id == note.note_id and item.record.data == text
        )
        if is_same_note and (not offset or item.record.offset == offset):
            return PublishResult("rejected", item.record.offset, item.problems)
    if sync.revision != note.base:
        # The note's base isn't the current revision, so the note is rejected
        # even if the log stores it later.
        return PublishResult(
            "rejected",
            offset,
            [
                f"base: found {note.base}, but another note was accepted at"
                f" revision {sync.revision}"
            ],
        )
    return None


def _unknown_result(offset: int) -> PublishResult:
    if offset:
        reason = f"stored at offset {offset}, but could not be read back"
    else:
        reason = "the log's answer was lost and the note is not on the log yet"
    return PublishResult("unknown", offset, [reason])
