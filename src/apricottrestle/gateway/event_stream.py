"""Splits a server-sent event stream into events.

Invariant: `feed` returns only complete events, byte for byte. An incomplete
event stays in the buffer until the rest of it arrives.
"""

import re
from typing import Final, NamedTuple

_EVENT_END: Final = re.compile(rb"\r?\n\r?\n")
_EVENT_ID: Final = re.compile(rb"(?:^|\n)id: ?([^\r\n]*)")

_CONTROL_BYTE: Final = re.compile(rb"[\x00-\x08\x0b\x0c\x0e-\x1f]")
"""Bytes that don't occur in the text of an event stream."""

_MAX_SEPARATOR_BYTES: Final = 4

MAX_EVENT_BYTES: Final = 256 * 1024
"""Size limit of an event; larger than any event that an engine sends."""


class Event(NamedTuple):
    """A complete event.

    Attributes:
        data: The bytes of the event, including the empty line that ends it.
        event_id: Value of its id field, or None.
    """

    data: bytes
    event_id: str | None


class EventSplitter:
    """Buffers the bytes of a stream and returns its complete events."""

    def __init__(self) -> None:
        """Creates a splitter with an empty buffer."""
        self._buffer = b""

    @property
    def partial_bytes(self) -> int:
        """Bytes of the incomplete event in the buffer."""
        return len(self._buffer)

    @property
    def has_partial_event(self) -> bool:
        """Whether the buffer holds an incomplete event."""
        return bool(self._buffer)

    def feed(self, data: bytes) -> list[Event]:
        """Adds bytes and returns the events that they complete.

        Raises:
            ValueError: The bytes can't belong to an event stream, or an
                incomplete event exceeds MAX_EVENT_BYTES.
        """
        if _CONTROL_BYTE.search(data):
            raise ValueError("control byte in an event stream")
        # The end of an event may have begun in the bytes that came before.
        searched = max(len(self._buffer) - _MAX_SEPARATOR_BYTES, 0)
        self._buffer += data
        events = []
        start = 0
        for match in _EVENT_END.finditer(self._buffer, searched):
            raw = self._buffer[start : match.end()]
            id_match = _EVENT_ID.search(raw)
            event_id = id_match.group(1).decode("latin-1") if id_match else None
            events.append(Event(raw, event_id))
            start = match.end()
        self._buffer = self._buffer[start:]
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise ValueError("event too long")
        return events
