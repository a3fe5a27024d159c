"""Guards against a reported verdict that differs from the fold of the log."""

import asyncio
from collections.abc import Callable

import pytest

from apricottrestle import errors, platform_log, release_publish
from tests import fake_log, notes

_STREAM = platform_log.RELEASE_STREAM
_NOTE = notes.share_note("n", 1)


def _log() -> fake_log.FakeLog:
    log = fake_log.FakeLog()
    log.store(_STREAM, "first", notes.FIRST_NOTE)
    return log


def _publish(
    log: fake_log.FakeLog,
    text: str = _NOTE,
    scheduled: list[tuple[float, Callable[[], None]]] | None = None,
) -> release_publish.PublishResult:
    time = fake_log.FakeTime()
    time.scheduled = scheduled or []
    return asyncio.run(
        release_publish.publish(log, text, clock=time.clock, sleep=time.sleep)
    )


@pytest.mark.parametrize("fault", [fake_log.STORED_LATE, fake_log.NOT_STORED])
def test_verdict_is_unknown_while_the_record_is_not_on_the_log(
    fault: str,
) -> None:
    log = _log()
    log.faults = [fault]
    result = _publish(log)
    assert (result.verdict, result.offset) == ("unknown", 0)
    log.store_late_appends()
    again = _publish(log)
    assert again.verdict == "accepted"
    assert len(log.streams[_STREAM]) == 2


def test_late_append_with_an_outdated_base_is_rejected() -> None:
    """The note is rejected before the log stores it.

    Another note was accepted on the same base, and the revision never returns
    to that base.
    """
    log = _log()
    log.faults = [fake_log.STORED_LATE]
    other = notes.share_note("other", 1)
    result = _publish(
        log,
        scheduled=[(1.0, lambda: discard(log.store(_STREAM, "other", other)))],
    )
    assert result.verdict == "rejected"
    log.store_late_appends()
    assert _publish(log).verdict == "rejected"


def discard(_: object) -> None:
    """Discards a result, so that a lambda returns None."""


@pytest.mark.parametrize("fault", ["down", fake_log.RATE_LIMITED])
def test_refused_append_raises_an_error_and_stores_nothing(fault: str) -> None:
    log = _log()
    log.down = fault == "down"
    log.faults = [fault]
    with pytest.raises(errors.PlatformError):
        _publish(log)
    assert len(log.streams[_STREAM]) == 1


@pytest.mark.parametrize(
    "text",
    [
        notes.share_note("n", 0),
        notes.share_note("n", 2),
        notes.FIRST_NOTE + "\n",
    ],
)
def test_note_that_would_be_rejected_is_not_appended(text: str) -> None:
    log = _log()
    assert _publish(log, text).verdict == "rejected"
    assert len(log.streams[_STREAM]) == 1


def test_publishing_twice_appends_once() -> None:
    log = _log()
    assert _publish(log) == _publish(log)
    assert len(log.streams[_STREAM]) == 2


def test_note_rejected_earlier_is_accepted_once_its_base_is_current() -> None:
    log = _log()
    early = notes.share_note("n", 3)
    log.store(_STREAM, "n", early)
    log.store(_STREAM, "next", notes.share_note("next", 1))
    assert _publish(log, early).verdict == "accepted"


def test_gap_without_a_snapshot_prevents_publishing() -> None:
    log = _log()
    log.store(_STREAM, "n", _NOTE)
    log.first_offset[_STREAM] = 2
    with pytest.raises(errors.PlatformError, match="retention"):
        _publish(log, notes.share_note("o", 2))


def test_failed_read_keeps_the_verdict_of_the_pages_before() -> None:
    """The read with the note succeeds and the next read fails."""
    log = _log()
    log.max_records_per_read = 1
    log.read_faults = [False, False, False, True]
    result = _publish(log, _NOTE)
    assert result == release_publish.PublishResult("accepted", 2, [])
