"""What follows a send that did not serve its request.

What may be repeated rests on the route's kind and on what is proved about the
send, and on nothing else. Pure.

Invariants: a request that isn't repeatable is sent again only when the last
send proved that it did not run. The refusal "not run" is given only when no
send can have run.
"""

import enum
from typing import NamedTuple

from apricottrestle.gateway import fleet_config


class AttemptResult(enum.Enum):
    """What is known about a send that did not serve the request."""

    NOT_SENT = "not_sent"
    """No byte reached the upstream."""

    NOT_RUN = "not_run"
    """The upstream states that it did not run the request."""

    FAILED = "failed"
    """The upstream answered with an error after it may have run it."""

    LOST = "lost"
    """No valid answer; it may have run."""


class NextAction(enum.Enum):
    """What to do with the request."""

    SEND_AGAIN = "send_again"
    """Choose another upstream."""

    PASS_ON = "pass_on"
    """Give the caller the upstream's error answer."""

    REFUSE = "refuse"
    """Tell the caller that it has not run."""

    FAIL = "fail"
    """End with an error that promises nothing."""

    ABORT = "abort"
    """Close the connection: a part of the answer is out."""


class AttemptHistory(NamedTuple):
    """What has happened to a request so far.

    Attributes:
        sends: Sends that reached an upstream, the last included.
        unreached: Sends of which no byte reached an upstream.
        may_have_run: Whether any send may have run.
        answered: Whether a part of an answer is out.
    """

    sends: int
    unreached: int
    may_have_run: bool
    answered: bool


MAX_UNREACHED = 4
"""Connections tried in vain for one request; each costs a round trip or the
connection timeout, and more would use up the caller's time."""


def choose_action(
    result: AttemptResult,
    history: AttemptHistory,
    route: fleet_config.Route,
    *,
    time_left: bool,
    has_budget: bool,
) -> NextAction:
    """Decides what follows a send.

    Args:
        result: What is known about the last send.
        history: All sends, the last included.
        route: The route.
        time_left: Whether another send could still be of use to the caller.
        has_budget: Whether the retry budget allows another send.
    """
    if time_left and _may_repeat(result, history, route, has_budget):
        return NextAction.SEND_AGAIN
    if history.answered:
        return NextAction.ABORT
    if result is AttemptResult.FAILED:
        return NextAction.PASS_ON
    if history.may_have_run:
        return NextAction.FAIL
    return NextAction.REFUSE


def _may_repeat(
    result: AttemptResult,
    history: AttemptHistory,
    route: fleet_config.Route,
    has_budget: bool,
) -> bool:
    if result is AttemptResult.NOT_SENT:
        # Nothing arrived, so neither the budget nor the attempts count it.
        return history.unreached <= MAX_UNREACHED
    if history.sends >= route.max_attempts or not has_budget:
        return False
    return route.repeatable or result is AttemptResult.NOT_RUN
