"""Tests of splitting an event stream into events."""

import re
from collections.abc import Iterator
from unittest import mock

import hypothesis
import pytest
from hypothesis import strategies

from apricottrestle.gateway import event_stream


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.one_of(strategies.none(), strategies.integers(0, 999)),
            strategies.text("abc: \t", max_size=8),
            strategies.sampled_from(["\n", "\r\n"]),
        ),
        max_size=8,
    ),
    strategies.randoms(use_true_random=False),
)
def test_events_are_returned_complete_and_unchanged(
    events: list[tuple[int | None, str, str]],
    rng: "hypothesis.strategies.DrawFn",
) -> None:
    """Guards against events cut, joined or changed at chunk boundaries."""
    encoded = [
        (
            (f"id: {event_id}{line_end}" if event_id is not None else "")
            + f"data:{text}{line_end}{line_end}"
        ).encode()
        for event_id, text, line_end in events
    ]
    stream = b"".join(encoded)
    splitter = event_stream.EventSplitter()
    received: list[event_stream.Event] = []
    position = 0
    while position < len(stream):
        size = rng.randint(1, 9)  # type: ignore[attr-defined]
        received += splitter.feed(stream[position : position + size])
        position += size
    assert b"".join(event.data for event in received) == stream
    assert not splitter.has_partial_event
    assert [event.event_id for event in received] == [
        str(event_id) if event_id is not None else None
        for event_id, _, _ in events
    ]


def test_incomplete_event_stays_buffered() -> None:
    """Guards against forwarding an incomplete event of a failed engine."""
    splitter = event_stream.EventSplitter()
    assert [
        event.event_id
        for event in splitter.feed(b"id: 1\ndata: a\n\nid: 2\nda")
    ] == ["1"]
    assert splitter.has_partial_event


def test_oversized_event_raises() -> None:
    """Guards against unbounded buffering of a single event."""
    splitter = event_stream.EventSplitter()
    with pytest.raises(ValueError, match="too long"):
        splitter.feed(b"x" * (event_stream.MAX_EVENT_BYTES + 1))


def test_event_in_single_bytes_costs_no_repeated_search() -> None:
    """Guards against time that grows with the square of an event's length."""
    searched = 0

    class _CountingPattern:
        def finditer(
            self, data: bytes, start: int
        ) -> Iterator[re.Match[bytes]]:
            nonlocal searched
            searched += len(data) - start
            return pattern.finditer(data, start)

    pattern = event_stream._EVENT_END
    event = b"id: 1\r\ndata: " + b"x" * 2_000 + b"\r\n\r\n"
    splitter = event_stream.EventSplitter()
    with mock.patch.object(event_stream, "_EVENT_END", _CountingPattern()):
        events = [
            each for byte in event for each in splitter.feed(bytes([byte]))
        ]
    assert [each.data for each in events] == [event]
    assert searched <= 10 * len(event)
