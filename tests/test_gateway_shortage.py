"""Tests of the decision on waiting requests, one table for each load."""

import itertools
import math
from typing import Any

import pytest

from apricottrestle.gateway import engine_costs, shortage
from tests import gateway_parts

SHORT_ROOM = {"short": 0.2, "middle": 0.2, "long": 0.2}
ENGINES = 12
GATEWAYS = 4
TARGETS_S = {"short": 0.25, "middle": 1.5, "long": 6.0}
PRIORITIES = {"short": 0, "middle": 1, "long": 2}
TOKENS = {"short": 5_000, "middle": 45_000, "long": 150_000}
OUTPUT_TOKENS = {"short": 1_600, "middle": 1_000, "long": 800}
GIVE_UP_S = {"short": 2.0, "middle": 6.0, "long": 15.0}
LIMITS_S = {"short": 10.0, "middle": 10.0, "long": 15.0}


def capacity(**changes: Any) -> shortage.Capacity:
    """Returns a fleet whose slots are all in use."""
    return shortage.Capacity(
        ENGINES, 0, 0.0, GATEWAYS, dict(SHORT_ROOM)
    )._replace(**changes)


def waiting(
    kind: str, number: int, *, waited_s: float = 0.0, **changes: Any
) -> shortage.Waiting:
    """Returns a request of a kind that has waited for some time."""
    tokens = changes.get("tokens", TOKENS[kind])
    model = gateway_parts.ENGINE
    prefill_s = engine_costs.prefill_s(model, tokens)
    return shortage.Waiting(
        f"{kind}-{number}",
        PRIORITIES[kind],
        kind,
        "team-a",
        None,
        tokens,
        TARGETS_S[kind] - waited_s,
        GIVE_UP_S[kind] - waited_s,
        LIMITS_S[kind] - waited_s,
        engine_costs.engine_s(model, tokens, OUTPUT_TOKENS[kind]),
        prefill_s / ENGINES,
    )._replace(**changes)


def check_bounds(
    verdicts: list[shortage.Verdict], asked: list[shortage.Waiting]
) -> None:
    """Checks what holds under every load."""
    assert sorted(verdict.request.request_id for verdict in verdicts) == sorted(
        request.request_id for request in asked
    )
    for verdict in verdicts:
        request = verdict.request
        assert verdict.retry_after_s >= 0
        assert verdict.retry_after_s <= (
            shortage.MAX_RETRY_AFTER_SHARE * max(request.time_left_s, 0.0)
        )
        if verdict.action == "refuse":
            # No request is refused that could begin in time.
            assert verdict.begins_in_s > request.begin_left_s
        if verdict.action == "wait":
            # Nothing that can be on time is held back.
            assert request.target_left_s <= 0
    for first, second in itertools.pairwise(verdicts):
        if first.request.target_left_s > 0 >= second.request.target_left_s:
            continue
        if (first.request.target_left_s > 0) == (
            second.request.target_left_s > 0
        ):
            assert first.request.priority <= second.request.priority


def settled(
    requests: list[shortage.Waiting], room: shortage.Capacity
) -> list[shortage.Verdict]:
    """Returns the verdicts after the time that a refusal needs."""
    hopeless = {
        verdict.request.request_id
        for verdict in shortage.decide(requests, room)
        if verdict.hopeless
    }
    return shortage.decide(
        [
            request._replace(hopeless_s=shortage.REFUSAL_HOLD_S)
            if request.request_id in hopeless
            else request
            for request in requests
        ],
        room,
    )


@pytest.mark.parametrize("kind", ["short", "middle", "long"])
def test_burst_of_one_kind(kind: str) -> None:
    """Load: a burst of short, of medium or of long prompts.

    Guards against a burst that waits in the queue until its callers give up.
    Those that the engines can begin in time stay, the others are refused.
    """
    requests = [waiting(kind, n) for n in range(400)]
    verdicts = settled(requests, capacity())
    refused = [each for each in verdicts if each.action == "refuse"]
    kept = [each for each in verdicts if each.action != "refuse"]
    work_s = sum(each.request.engine_s for each in kept)
    share = ENGINES / GATEWAYS
    assert kept
    assert refused
    limit_s = shortage.BEGIN_MARGIN * GIVE_UP_S[kind]
    assert work_s / share <= limit_s + 2 * requests[0].engine_s / share
    assert work_s / share >= 0.8 * limit_s
    assert sum(each.hopeless for each in kept) == 0


@pytest.mark.parametrize("kind", ["short", "middle", "long"])
def test_burst_leaves_higher_priorities_alone(kind: str) -> None:
    """Load: a burst of one kind beside the usual requests of the others.

    Guards against a burst that takes the place of more urgent requests.
    """
    burst = [waiting(kind, n) for n in range(300)]
    others = [
        waiting(other, 1_000 + n)
        for other in TARGETS_S
        if other != kind
        for n in range(3)
    ]
    verdicts = settled([*burst, *others], capacity())
    check_bounds(verdicts, [each.request for each in verdicts])
    for verdict in verdicts:
        if verdict.request.priority < PRIORITIES[kind]:
            assert verdict.action == "place"


def test_a_third_of_the_engines_gone() -> None:
    """Load: a third of the engines has gone, and their requests are back.

    Guards against a queue that keeps as much as before and begins it too late.
    """
    requests = [waiting("short", n) for n in range(60)]
    before = settled(requests, capacity())
    after = settled(requests, capacity(engines=2 * ENGINES // 3))
    kept_before = sum(each.action == "place" for each in before)
    kept_after = sum(each.action == "place" for each in after)
    assert kept_after < kept_before
    # A request's own work is not ahead of it.
    assert kept_after >= 2 * kept_before // 3 - 1


def test_all_return_cold() -> None:
    """Load: all engines return cold, empty, with every slot free.

    Guards against refusals because of work that the engines have lost.
    """
    requests = [waiting("short", n, waited_s=0.2) for n in range(20)]
    verdicts = settled(
        requests, capacity(free_slots=8 * ENGINES, prefill_left_s=500.0)
    )
    check_bounds(verdicts, requests)
    assert [each.action for each in verdicts] == ["place"] * 20


def test_flood_from_one_key() -> None:
    """Load: one key sends far more short requests than the engines can serve.

    Guards against late requests of the flood that take engine time from those
    of others that can be on time.
    """
    flood = [
        waiting("short", n, waited_s=0.3, team="flood") for n in range(200)
    ]
    others = [waiting("short", 500 + n, team="team-b") for n in range(5)]
    requests = [*flood, *others]
    verdicts = settled(requests, capacity())
    check_bounds(verdicts, requests)
    assert {each.request.team for each in verdicts[:5]} == {"team-b"}
    assert {each.action for each in verdicts[:5]} == {"place"}
    assert {each.action for each in verdicts[5:]} == {"wait", "refuse"}


def test_callers_that_repeat_at_once() -> None:
    """Load: callers that were refused come back without waiting.

    Guards against repeated requests that pass for new ones: their targets were
    missed in the first attempt, and a first attempt can still be on time.
    """
    passed_s = shortage.since_first_attempt_s(10.0, 7.9)
    repeated = [
        waiting("short", n)._replace(target_left_s=0.25 - passed_s)
        for n in range(50)
    ]
    first = [waiting("short", 100 + n) for n in range(3)]
    verdicts = settled([*repeated, *first], capacity())
    assert [each.request.request_id for each in verdicts[:3]] == [
        each.request_id for each in first
    ]
    assert shortage.since_first_attempt_s(10.0, 9.1) == 0.0
    assert shortage.since_first_attempt_s(10.0, math.inf) == 0.0


def test_returns_are_spread() -> None:
    """Load: callers that repeat, refused together by one pass.

    Guards against refused callers that all come back at one moment.
    """
    requests = [waiting("short", n, waited_s=1.9) for n in range(400)]
    refused = [
        each
        for each in settled(requests, capacity())
        if each.action == "refuse"
    ]
    times_s = [each.retry_after_s for each in refused]
    most_s = max(times_s)
    tenths = [
        sum(n * most_s / 10 <= at < (n + 1) * most_s / 10 for at in times_s)
        for n in range(5, 10)
    ]
    assert len(refused) > 300
    assert max(tenths) < 0.35 * len(refused)


def test_queue_that_resumes_after_a_freeze() -> None:
    """Load: a gateway was frozen, and finds its whole queue late.

    Guards against answers to callers that have given up, and against refusing
    those that still wait for theirs.
    """
    gone = [waiting("short", n, waited_s=2.5) for n in range(10)]
    late = [waiting("long", n, waited_s=8.0) for n in range(2)]
    on_time = [waiting("middle", n, waited_s=1.0) for n in range(2)]
    requests = [*gone, *late, *on_time]
    verdicts = settled(requests, capacity())
    check_bounds(verdicts, requests)
    by_kind = {
        kind: {each.action for each in verdicts if each.request.kind == kind}
        for kind in TARGETS_S
    }
    assert by_kind == {
        "middle": {"place"},
        "long": {"wait"},
        "short": {"refuse"},
    }


def test_refusal_needs_more_than_one_pass() -> None:
    """Guards against verdicts that change from pass to pass."""
    requests = [waiting("short", n) for n in range(400)]
    first = shortage.decide(requests, capacity())
    assert not any(each.action == "refuse" for each in first)
    again = shortage.decide([each.request for each in first], capacity())
    assert again == first
    settled_once = settled(requests, capacity())
    assert [each.request.request_id for each in settled_once] == [
        each.request.request_id for each in first
    ]


def test_equal_information_gives_equal_verdicts() -> None:
    """Guards against gateways that differ although they know the same."""
    requests = [
        waiting(kind, n, waited_s=0.1 * (n % 5))
        for kind in TARGETS_S
        for n in range(40)
    ]
    assert settled(requests, capacity()) == settled(requests[::-1], capacity())


def test_largest_requests_keep_their_turn() -> None:
    """Guards against an order that always puts large requests last.

    A caller with a large prompt waits no longer than one with a small prompt
    of the same kind that came at the same time.
    """
    requests = [
        waiting("long", n, waited_s=0.05 * n, tokens=tokens)
        for n, tokens in enumerate([40_000, 600_000, 60_000, 500_000])
    ]
    order = [each.request for each in shortage.decide(requests, capacity())]
    assert order == requests[::-1]


def test_late_requests_start_where_their_kind_has_room() -> None:
    """Guards against late requests that wait although there is room."""
    late = waiting("middle", 1, waited_s=2.0)
    room = capacity(short_kinds={"short": 0.2})
    assert [each.action for each in shortage.decide([late], room)] == ["place"]
    held = capacity(short_kinds={"middle": 0.2})
    assert [each.action for each in shortage.decide([late], held)] == ["wait"]


def test_begun_answers_go_on() -> None:
    """Guards against losing the part of an answer that a caller has."""
    requests = [
        waiting("short", n, waited_s=3.0, begun=n == 7) for n in range(20)
    ]
    actions = {
        each.request.request_id: each.action
        for each in settled(requests, capacity())
    }
    assert actions.pop("short-7") == "place"
    assert set(actions.values()) == {"refuse"}
