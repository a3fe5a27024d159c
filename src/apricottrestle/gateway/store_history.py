"""Tracks which history of the store is the present one.

The store numbers its histories and begins a new one when it comes back from an
older copy. Its responses may arrive out of order.

Invariant: the number grows, unless the store itself answers a call with a lower
one that began after the higher was known.
"""

from typing import Final, Literal

UNKNOWN: Final = -1
"""Number of the history before the first answer."""

Kind = Literal["present", "new", "late"]
"""An answer is of the present history, the first one of a new history, or one
of an earlier history that arrived late."""


class HistoryTracker:
    """The number of the present history.

    Attributes:
        current: Number of the present history; UNKNOWN before the first answer.
    """

    def __init__(self) -> None:
        """Creates a tracker that knows no history."""
        self.current = UNKNOWN

    def note_answer(self, answered: int, at_call: int) -> Kind:
        """Classifies an answer of the store.

        Args:
            answered: Number of the history in the answer.
            at_call: Value of `current` when the call began.
        """
        if answered == self.current:
            return "present"
        if answered < self.current and at_call < self.current:
            return "late"
        self.current = answered
        return "new"

    def note_peer(self, number: int) -> bool:
        """Records what a peer knows; returns whether it is a new history."""
        if number <= self.current:
            return False
        self.current = number
        return True
