"""Decides when a request is sent although a verdict speaks against it.

A verdict is drawn from crashes, and several engines may also crash at one
moment for a reason that is none of their requests. Since a verdict keeps off
every request that could refute it, some are sent nevertheless, one at a time,
as trials: an answer that shows the parts to be sound withdraws the verdict, and
the crash of a trial's engine supports it.

The gateways agree without a message: they take turns, whose order and times
follow from the verdict.

Invariant: a gateway sends one trial at a time for a verdict, and none after
MAX_FAILED_TRIALS crashes by trials.
"""

from collections.abc import Callable
from typing import Final, NamedTuple

from apricottrestle.gateway import crash_evidence

MAX_FAILED_TRIALS: Final = 2
"""Crashes by trials after which a verdict is final; with a trial that another
gateway sends at the same time, as many as the users allow."""

FIRST_PAUSE_S: Final = 1.0
"""Time without a crash after which the first trial may be sent: answers that
are under way may decide before it, and gateways learn of all crashes."""

NEXT_PAUSE_S: Final = 30.0
"""The same after a failed trial, and the pause between two trials of a gateway
that decided nothing. The failure of a rack or data centre is over by then."""

TURN_S: Final = 2.0
"""Time for which it is one gateway's turn."""

PlacementRank = Callable[[str], int]
"""Returns how many live gateways go before this one, by a key."""


class _Trial(NamedTuple):
    """A trial of this gateway.

    Attributes:
        parts: The parts of the verdict.
        request_id: The request.
    """

    parts: frozenset[str]
    request_id: str


def is_open(verdict: crash_evidence.Verdict) -> bool:
    """Returns whether trials may still refute a verdict."""
    return len(verdict.failed_trials) < MAX_FAILED_TRIALS


def is_own_turn(
    verdict: crash_evidence.Verdict, age_s: float, placement_rank: PlacementRank
) -> bool:
    """Returns whether this gateway may send a trial now.

    Args:
        verdict: The verdict.
        age_s: Time since the last crash that supports it, in seconds.
        placement_rank: Orders the live gateways.
    """
    pause_s = NEXT_PAUSE_S if verdict.failed_trials else FIRST_PAUSE_S
    if not is_open(verdict) or age_s < pause_s:
        return False
    turn = int((age_s - pause_s) / TURN_S)
    return placement_rank(f"{min(verdict.parts)}/{turn}") == 0


class PromptTrials:
    """The trials of this gateway."""

    def __init__(self) -> None:
        """Creates a table without trials."""
        self._running: set[_Trial] = set()
        self._sent_at: dict[frozenset[str], float] = {}

    def begin(
        self,
        verdicts: list[crash_evidence.Verdict],
        request_id: str,
        now: float,
    ) -> bool:
        """Begins a trial, unless one runs or this gateway has just had one.

        Args:
            verdicts: The verdicts that the request falls under.
            request_id: The request.
            now: Monotonic time in seconds.

        Returns:
            Whether the request may be sent.
        """
        running = {trial.parts for trial in self._running}
        for verdict in verdicts:
            sent_at = self._sent_at.get(verdict.parts)
            if verdict.parts in running or (
                sent_at is not None and now < sent_at + NEXT_PAUSE_S
            ):
                return False
        self._running.update(
            _Trial(verdict.parts, request_id) for verdict in verdicts
        )
        return True

    def is_running(
        self, verdict: crash_evidence.Verdict, request_id: str
    ) -> bool:
        """Returns whether a request is the trial of a verdict."""
        return _Trial(verdict.parts, request_id) in self._running

    def end(self, request_id: str, now: float, *, was_sent: bool) -> bool:
        """Ends the trial of a request; returns whether it was one.

        Args:
            request_id: The request.
            now: Monotonic time in seconds.
            was_sent: Whether it was sent to an upstream.
        """
        ended = {
            trial for trial in self._running if trial.request_id == request_id
        }
        self._running -= ended
        if was_sent:
            self._sent_at.update((trial.parts, now) for trial in ended)
        return bool(ended)

    def forget(self, parts: frozenset[str]) -> None:
        """Drops what is known of a verdict that was withdrawn."""
        self._sent_at.pop(parts, None)
