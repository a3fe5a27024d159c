"""Decides what becomes of waiting model requests while room is short.

A response within its target counts in full for its caller, a later one a tenth
to a third of it, and none nothing. While requests that could be on time find no
place, late ones therefore get no engine time that these could use, requests
that can't begin before their callers give up are refused at once, and a request
that has come back counts from its first attempt.

Invariant: the verdicts depend on the arguments only, so that gateways with the
same information reach the same ones.

Pure functions.
"""

from collections.abc import Mapping, Sequence
from typing import Final, Literal, NamedTuple

from apricottrestle import hashing

SHORTAGE_S: Final = 0.25
"""Time for which a kind of request is short of room after one of its requests
that could be on time found no place; the shortest target to a first event."""

MAX_RETRY_AFTER_SHARE: Final = 0.3
"""Upper bound of Retry-After as a share of the caller's time left; callers
don't return after a third of it."""

MIN_RETRY_AFTER_S: Final = 0.2
"""Lower bound of Retry-After, as far as the caller's time allows it: a pass of
an engine and the delay of a heartbeat, so that the answer may differ."""

RETURN_SPREAD: Final = 0.5
"""Part of Retry-After over which the returns of refused callers are spread, so
that those that were refused together don't meet again."""

REFUSAL_HOLD_S: Final = 0.1
"""Time for which a request has to be without a chance before it is refused: a
few scheduling passes and a heartbeat, so that a change of the load tables that
the next message takes back refuses nothing."""

BEGIN_MARGIN: Final = 1.5
"""Factor by which a request must begin later than its caller waits before it is
refused: other gateways may have less to do, so that this one gets more than its
share of the engines. Without it, 0.86 of the long prompts were served at a load
equal to the capacity, and 0.89 without such refusals."""

RETURNED_AFTER_S: Final = 1.5
"""Difference between a route's time limit and a caller's from which a request
counts as one that has come back. Callers give up after 2 s at the earliest, and
many first attempts have a limit that is up to 1 s below their route's."""

Action = Literal["place", "wait", "refuse"]


class Waiting(NamedTuple):
    """A waiting request.

    Attributes:
        request_id: Id of the caller's attempt.
        priority: Scheduling priority; 0 is the most urgent.
        kind: Name of its route.
        team: Team of its caller, or None.
        session: Last part of its prompt that others share, or None.
        tokens: Tokens of its prompt.
        target_left_s: Time left to a first event that is on time, counted from
            the caller's first attempt.
        begin_left_s: Time left to a first event that the caller waits for, and
            whose answer can end in time.
        time_left_s: Time left until its answer must have ended.
        engine_s: Engine seconds that it needs.
        service_s: Shortest time to its first event on idle engines.
        begun: Whether its caller has got a part of the answer. The rest is
            neither held back nor refused: the engine time of that part would be
            lost.
        hopeless_s: Time for which it has been without a chance; 0 if it has
            one, by the verdict before.
    """

    request_id: str
    priority: int
    kind: str
    team: str | None
    session: str | None
    tokens: int
    target_left_s: float
    begin_left_s: float
    time_left_s: float
    engine_s: float
    service_s: float
    begun: bool = False
    hopeless_s: float = 0.0


class Capacity(NamedTuple):
    """What the engines of a service can still do.

    Attributes:
        engines: Engines that may get requests.
        free_slots: Free slots of these engines.
        prefill_left_s: Queued prefill of all engines, in engine seconds.
        gateways: Gateways that share them.
        short_kinds: Kinds whose requests have recently found no place, with the
            time left of SHORTAGE_S.
    """

    engines: int
    free_slots: int
    prefill_left_s: float
    gateways: int
    short_kinds: Mapping[str, float]


class Verdict(NamedTuple):
    """What becomes of a waiting request in this pass.

    Attributes:
        request: The request.
        action: place: it may start if an engine has room. wait: it may not
            start now. refuse: it is refused now.
        ahead_s: Engine seconds of the waiting requests that go first.
        begins_in_s: Least time to its first event by this order.
        hopeless: Whether it is without a chance.
        retry_after_s: Retry-After of a refusal.
    """

    request: Waiting
    action: Action
    ahead_s: float
    begins_in_s: float
    hopeless: bool
    retry_after_s: float


def since_first_attempt_s(route_limit_s: float, time_limit_s: float) -> float:
    """Returns the time that passed before a caller sent this attempt.

    A caller's time limit goes on over its attempts. One that sets a shorter
    limit than its route can't be told from one that has come back; it counts as
    such, which matters only while there is too little room.

    Args:
        route_limit_s: Time limit of the route.
        time_limit_s: Time limit of the attempt.
    """
    passed_s = route_limit_s - time_limit_s
    return passed_s if passed_s >= RETURNED_AFTER_S else 0.0


def order_key(waiting: Waiting) -> tuple[bool, int, float, str]:
    """Returns the sort key of a request: the first is placed first.

    Requests that can still be on time come first, then those with a lower
    priority number, then those with less time left to their target.
    """
    return (
        waiting.target_left_s <= 0,
        waiting.priority,
        waiting.target_left_s,
        waiting.request_id,
    )


def may_start_late(kind: str, short_kinds: Mapping[str, float]) -> bool:
    """Returns whether a late request of a kind may start now.

    It counts a tenth to a third of one that is on time, and would take a slot
    and a part of the passes of an engine from those.
    """
    return kind not in short_kinds


def retry_after_s(waiting: Waiting, drain_s: float) -> float:
    """Returns the Retry-After of a refusal.

    The caller returns when the work ahead has drained, but in time for another
    attempt. Ids of attempts are random, so that a hash of them spreads callers.

    Args:
        waiting: The request.
        drain_s: Time in which the work ahead of it drains.
    """
    latest_s = MAX_RETRY_AFTER_SHARE * max(waiting.time_left_s, 0.0)
    wanted_s = min(max(drain_s, MIN_RETRY_AFTER_S), latest_s)
    share = hashing.rendezvous_score("retry", waiting.request_id) % 1024 / 1024
    return wanted_s * (1 - RETURN_SPREAD * share)


def decide(waiting: Sequence[Waiting], capacity: Capacity) -> list[Verdict]:
    """Returns the verdict on each waiting request of a service, in their order.

    The time to a first event counts the requests of this queue that go first,
    at this gateway's share of the engines, and not those that are still to
    come. A request is refused only if that is too late by far.

    Args:
        waiting: The requests of one service that wait at this gateway.
        capacity: What its engines can do.
    """
    share = max(capacity.engines, 1) / max(capacity.gateways, 1)
    queued_s = capacity.prefill_left_s / max(capacity.engines, 1)
    if capacity.free_slots > 0:
        queued_s = 0.0
    ahead_s = 0.0
    verdicts = []
    for request in sorted(waiting, key=order_key):
        drain_s = queued_s + ahead_s / share
        begins_in_s = drain_s + request.service_s
        hopeless = (
            not request.begun
            and begins_in_s > BEGIN_MARGIN * request.begin_left_s
        )
        action: Action = "place"
        if hopeless and request.hopeless_s >= REFUSAL_HOLD_S:
            action = "refuse"
        elif (
            request.target_left_s <= 0
            and not request.begun
            and not may_start_late(request.kind, capacity.short_kinds)
        ):
            action = "wait"
        verdicts.append(
            Verdict(
                request,
                action,
                ahead_s,
                begins_in_s,
                hopeless,
                retry_after_s(request, drain_s),
            )
        )
        if action != "refuse" and not hopeless:
            ahead_s += request.engine_s
    return verdicts
