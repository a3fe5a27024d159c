"""Guards the splitting of event streams."""

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
def test_events_leave_whole_and_unchanged(
    events: list[tuple[int | None, str, str]],
    rng: "hypothesis.strategies.DrawFn",
) -> None:
    """Guards against events that are cut, joined or changed by packet ends."""
    raw = [
        (
            (f"id: {number}{end}" if number is not None else "")
            + f"data:{text}{end}{end}"
        ).encode()
        for number, text, end in events
    ]
    whole = b"".join(raw)
    splitter = event_stream.EventSplitter()
    got: list[event_stream.Event] = []
    at = 0
    while at < len(whole):
        size = rng.randint(1, 9)  # type: ignore[attr-defined]
        got += splitter.feed(whole[at : at + size])
        at += size
    assert b"".join(event.data for event in got) == whole
    assert not splitter.has_rest
    assert [event.event_id for event in got] == [
        str(number) if number is not None else None for number, _, _ in events
    ]


def test_part_of_an_event_is_kept_back() -> None:
    """Guards against a torn event of an engine that died."""
    splitter = event_stream.EventSplitter()
    assert [
        e.event_id for e in splitter.feed(b"id: 1\ndata: a\n\nid: 2\nda")
    ] == ["1"]
    assert splitter.has_rest


def test_endless_event_is_refused() -> None:
    """Guards against an upstream that fills the memory with one event."""
    splitter = event_stream.EventSplitter()
    with pytest.raises(ValueError, match="too long"):
        splitter.feed(b"x" * (event_stream.MAX_EVENT_BYTES + 1))
