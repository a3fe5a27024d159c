"""Splits a server-sent event stream into whole events.

Invariant: only whole events leave `feed`, byte for byte; a part of an event is
kept until the rest has come and is dropped with the splitter.
"""

import re
from typing import Final, NamedTuple

_END: Final = re.compile(rb"\r?\n\r?\n")
_ID: Final = re.compile(rb"(?:^|\n)id: ?([^\r\n]*)")

MAX_EVENT_BYTES: Final = 1024 * 1024
"""Bound of one event; above any event of an engine."""


class Event(NamedTuple):
    """A whole event.

    Attributes:
        data: Its bytes, with the empty line that ends it.
        event_id: Its id, or None.
    """

    data: bytes
    event_id: str | None


class EventSplitter:
    """Collects bytes and returns whole events."""

    def __init__(self) -> None:
        """Starts empty."""
        self._rest = b""

    @property
    def has_rest(self) -> bool:
        """Whether a part of an event is waiting for its end."""
        return bool(self._rest)

    def feed(self, data: bytes) -> list[Event]:
        """Returns the events that are whole now.

        Raises:
            ValueError: An event is longer than MAX_EVENT_BYTES.
        """
        self._rest += data
        events = []
        start = 0
        for match in _END.finditer(self._rest):
            raw = self._rest[start : match.end()]
            found = _ID.search(raw)
            event_id = found.group(1).decode("latin-1") if found else None
            events.append(Event(raw, event_id))
            start = match.end()
        self._rest = self._rest[start:]
        if len(self._rest) > MAX_EVENT_BYTES:
            raise ValueError("event too long")
        return events
