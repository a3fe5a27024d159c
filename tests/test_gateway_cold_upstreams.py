"""Tests the table of cold upstreams and the shares of gateways."""

import math
import random
from collections.abc import Callable
from typing import Final, NamedTuple

import pytest

from apricottrestle.gateway import (
    cold_upstreams,
    evacuations,
    fleet_config,
    send_gate,
    upstream_limits,
    upstream_list,
    upstream_notices,
)
from tests import gateway_parts

UP: Final = "up-1"
COLD_S: Final = 3.0
PER_S: Final = 28.0
OVERRUN: Final = 1.5
SLACK: Final = 5.0
BOUND: Final = PER_S * OVERRUN + SLACK
STEP_S: Final = 0.1
"""Interval of the calls that show that the process isn't frozen."""


def _services(
    cold_start_s: float = COLD_S, cold_per_s: float = PER_S
) -> dict[str, fleet_config.Service]:
    return {
        "engines": fleet_config.Service(
            "engines", 400, None, (), cold_start_s, cold_per_s
        )
    }


def _entry(
    upstream_id: str = UP, left_s: float = 0.0, started_at_ms: int = 1
) -> upstream_list.UpstreamEntry:
    return gateway_parts.entry(
        upstream_id, warm_up_left_s=left_s, started_at_ms=started_at_ms
    )


def _table(
    gateways: int = 10,
    *,
    number: int = 0,
    services: dict[str, fleet_config.Service] | None = None,
    entries: tuple[upstream_list.UpstreamEntry, ...] = (),
    slack: float = SLACK,
    started_at: float = -100.0,
) -> cold_upstreams.ColdUpstreams:
    """Returns the table of a gateway that knows its fleet, at the time 0."""
    table = cold_upstreams.ColdUpstreams(f"gateway-{number}", OVERRUN, slack)
    table.set_services(_services() if services is None else services)
    table.start(started_at)
    table.tick(started_at)
    table.fleet.note_listed([f"gateway-{n}" for n in range(gateways)], 0.0)
    now = started_at
    while now < 0.0:
        table.tick(now)
        now += STEP_S
    table.observe_list(entries or (_entry(),), 0.0)
    return table


def _send_all(
    table: cold_upstreams.ColdUpstreams,
    start_s: float,
    end_s: float,
    upstream_id: str = UP,
) -> list[float]:
    """Sends whenever the table allows it; returns the times."""
    times: list[float] = []
    now = start_s
    while now < end_s:
        # The list is read at least twice a second.
        table.observe_list([row.entry for row in table._rows.values()], now)
        while table.wait_s(upstream_id, now) <= 0 and len(times) < 10_000:
            table.record_send(upstream_id, now)
            times.append(now)
        now += 0.05
    return times


def _most_in(times: list[float], window_s: float) -> int:
    """Returns the most times in any window."""
    return max(
        (
            sum(at - 1e-9 <= other <= at + window_s for other in times)
            for at in times
        ),
        default=0,
    )


class Statement(NamedTuple):
    """What is heard of an upstream.

    Attributes:
        at_s: Time at which it is heard.
        kind: "list", "response", "loss" or "gone".
        left_s: Time for which the upstream says that it is cold.
        started_at_ms: Start that says so.
        sent_s: Time at which the request was sent that the response answers.
    """

    at_s: float
    kind: str
    left_s: float | None = 0.0
    started_at_ms: int = 1
    sent_s: float = 0.0


BELIEFS: Final = {
    # Guards against a cold upstream that is taken for warm.
    "listed": ([Statement(1.0, "list", 2.0)], 3.0),
    "response": ([Statement(1.0, "response", 2.0, 1, 0.9)], 3.0),
    "restart": ([Statement(1.0, "list", 0.0, 2)], 4.0),
    "restart_names_more": ([Statement(1.0, "list", 5.0, 2)], 6.0),
    "lost": ([Statement(1.0, "loss")], 1.0 + cold_upstreams.LOSS_DOUBT_S),
    # Guards against an entry of before that ends what is newer.
    "late_entry": (
        [
            Statement(1.0, "response", 2.0, 1, 0.9),
            Statement(1.2, "list", 0.0),
        ],
        3.0,
    ),
    # Guards against answers that overtake each other.
    "overtaken_response": (
        [
            Statement(1.0, "response", 2.0, 1, 0.9),
            Statement(1.1, "response", 0.0, 1, 0.8),
        ],
        3.0,
    ),
    "shorter_overtaken_response": (
        [
            Statement(1.0, "response", 2.0, 1, 0.9),
            Statement(1.1, "response", 0.1, 1, 0.8),
        ],
        3.0,
    ),
    # Guards against a belief that outlives the statement of its end.
    "newer_response_warm": (
        [
            Statement(1.0, "list", 2.0),
            Statement(1.3, "response", 0.0, 1, 1.1),
        ],
        1.3,
    ),
    "newer_response_shorter": (
        [
            Statement(1.0, "list", 2.0),
            Statement(1.3, "response", 0.5, 1, 1.1),
        ],
        1.8,
    ),
    # Guards against headers that say nothing being read as "warm".
    "response_without_header": (
        [
            Statement(1.0, "list", 2.0),
            Statement(1.3, "response", None, 1, 1.1),
        ],
        3.0,
    ),
    # Guards against statements of an earlier start about a later one.
    "response_of_earlier_start": (
        [
            Statement(1.0, "list", 0.0, 2),
            Statement(1.3, "response", 0.0, 1, 1.1),
        ],
        4.0,
    ),
    "start_replaces_longer": (
        [
            Statement(1.0, "list", 9.0),
            Statement(1.5, "list", 0.0, 2),
        ],
        4.5,
    ),
    # Guards against a return to the list that is taken for a start.
    "returns_in_same_start": (
        [Statement(1.0, "gone"), Statement(2.0, "list", 0.0)],
        0.0,
    ),
}


@pytest.mark.parametrize("name", BELIEFS)
def test_latest_statement_decides_until_when_an_upstream_is_cold(
    name: str,
) -> None:
    """Guards against the failures that are named in the table."""
    statements, until = BELIEFS[name]
    table = _table()
    now = 0.0
    for statement in statements:
        while now < statement.at_s - 1e-9:
            table.tick(now)
            now = min(now + STEP_S, statement.at_s)
        match statement.kind:
            case "list":
                assert statement.left_s is not None
                table.observe_list(
                    [_entry(UP, statement.left_s, statement.started_at_ms)], now
                )
            case "gone":
                table.observe_list([], now)
            case "loss":
                table.note_loss(UP, now)
            case _:
                table.observe_response(
                    UP,
                    statement.started_at_ms,
                    statement.left_s,
                    statement.sent_s,
                    now,
                )
    assert table.left_s(UP, now) == pytest.approx(max(until - now, 0.0))


def test_upstreams_of_the_first_list_have_not_just_started() -> None:
    """Guards against gateways that restart and take all upstreams for cold."""
    table = _table(entries=(_entry("a"), _entry("b", 1.0)))
    assert table.left_s("a", 0.0) == 0.0
    assert table.left_s("b", 0.0) == 1.0
    table.observe_list([_entry("a"), _entry("b"), _entry("c")], 0.4)
    assert table.left_s("c", 0.4) == COLD_S


def test_list_that_comes_before_the_configuration_counts() -> None:
    """Guards against gateways that start and take cold upstreams for warm."""
    table = _table(services={}, entries=(_entry(UP, 2.0),))
    assert table.left_s(UP, 0.1) == 0.0
    table.set_services(_services())
    assert table.left_s(UP, 0.1) == pytest.approx(1.9)


def test_rule_that_comes_later_finds_no_starts() -> None:
    """Guards against a configuration that makes all upstreams cold.

    Upstreams are not remembered while no service has a rule.
    """
    table = _table(services=_services(0.0, 0.0))
    table.observe_list([_entry(), _entry("b")], 0.1)
    table.set_services(_services())
    entries = [_entry(), _entry("b"), _entry("c", 2.0)]
    table.observe_list(entries, 0.2)
    assert table.left_s(UP, 0.2) == table.left_s("b", 0.2) == 0.0
    assert table.left_s("c", 0.2) == 2.0
    table.set_services(_services(0.0, 0.0))
    assert table.observe_list(entries, 0.3) == [
        cold_upstreams.Change("c", False, cold_upstreams.LISTED, 0.0)
    ]
    assert table.cold() == []


@pytest.mark.parametrize(("start_s", "per_s"), [(0.0, PER_S), (COLD_S, 0.0)])
def test_services_without_a_rule_are_never_limited(
    start_s: float, per_s: float
) -> None:
    """Guards against a change for services that can't be cold."""
    table = _table(
        services=_services(start_s, per_s), entries=(_entry(UP, 9.0),)
    )
    assert table.tick(0.1) == []
    assert table.note_loss(UP, 0.1) == []
    table.observe_list([_entry(UP, 9.0, 2)], 0.2)
    for _ in range(100):
        table.record_send(UP, 0.2)
    assert table.wait_s(UP, 0.2) == 0.0
    # Not even after a freeze, or while the list is old.
    assert table.wait_s(UP, 50.0) == 0.0
    assert table.tick(50.1) == []


@pytest.mark.parametrize("slack", [0.0, SLACK])
@pytest.mark.parametrize("gateways", [1, 2, 3, 4, 10, 31, 64, 300])
def test_gateways_together_stay_below_the_bound(
    gateways: int, slack: float
) -> None:
    """Guards against shares that add up to more than the bound.

    All gateways send as soon as they may. Their requests of MAX_LINK_DELAY_S
    may arrive at once, and the other ones in the second around that.
    """
    times = []
    for number in range(gateways):
        table = _table(
            gateways, number=number, entries=(_entry(UP, 60.0),), slack=slack
        )
        times += _send_all(table, 0.0, 12.0)
    assert _most_in(times, cold_upstreams.WINDOW_S - 1e-6) <= (
        PER_S * OVERRUN + slack
    )
    assert times


@pytest.mark.parametrize(
    ("per_s", "gateways"), [(1.0, 10), (4.0, 31), (4.0, 100), (0.2, 31)]
)
def test_shares_below_one_request_go_to_the_first_gateways(
    per_s: float, gateways: int
) -> None:
    """Guards against a share that is rounded up at every gateway, or to 0."""
    bound = per_s * OVERRUN + SLACK
    senders = set()
    for upstream in (f"up-{n}" for n in range(12)):
        times = []
        for number in range(gateways):
            table = _table(
                gateways,
                number=number,
                services=_services(COLD_S, per_s),
                entries=(_entry(upstream, 60.0),),
            )
            sent = _send_all(table, 0.0, 1.0, upstream)
            times += sent
            if sent:
                senders.add(number)
        assert bound / 2 < len(times) <= bound
    # The order differs between upstreams, so that no gateway is left out.
    assert len(senders) > min(gateways, 12) / 2


def test_share_grows_no_more_than_the_unknown_gateways_allow() -> None:
    """Guards against newcomers that the others don't know yet."""
    for known in range(1, 40):
        old = _table(known, entries=(_entry(UP, 60.0),)).share(UP, 0.0)
        new = _table(known + 1, entries=(_entry(UP, 60.0),)).share(UP, 0.0)
        assert known * old + new <= BOUND


def test_restarts_of_all_gateways_stay_below_the_bound() -> None:
    """Guards against a second share that a process takes after its start."""
    for gateways in range(1, 48):
        times = []
        for number in range(gateways):
            cold = (_entry(UP, 60.0),)
            before = _table(gateways, number=number, entries=cold)
            times += _send_all(before, 0.0, 1.0)
            after = _table(
                gateways, number=number, entries=cold, started_at=-0.05
            )
            times += [1.0 + at for at in _send_all(after, 0.0, 6.0)]
        assert _most_in(times, 1.0) <= BOUND


def test_requests_before_an_upstream_turns_cold_count() -> None:
    """Guards against a share on top of what is on its way already."""
    table = _table(entries=(_entry(),))
    for _ in range(30):
        table.record_send(UP, 0.05)
    table.observe_response(UP, 1, 20.0, 0.06, 0.1)
    assert _send_all(table, 0.1, 3.0) == []
    assert _send_all(table, 3.0, 4.5)


def test_freeze_does_not_renew_the_share() -> None:
    """Guards against a queue that a thawed process sends at once.

    The requests of before the freeze may leave with those after it.
    """
    table = _table(entries=(_entry(UP, 60.0),))
    share = table.share(UP, 0.0)
    assert len(_send_all(table, 0.0, 1.0)) == share
    assert _send_all(table, 11.0, 12.0) == []
    assert len(_send_all(table, 12.0, 14.5)) == share


def test_thawed_gateway_takes_all_upstreams_for_cold() -> None:
    """Guards against upstreams that turned cold while the process was frozen.

    The first list that it reads may be from before the freeze.
    """
    table = _table(entries=(_entry(),))
    share = table.share(UP, 0.0)
    table.tick(0.1)
    assert table.wait_s(UP, 0.1) == 0.0
    changes = table.tick(9.0)
    assert changes == [
        cold_upstreams.Change(
            cold_upstreams.ALL, True, cold_upstreams.WAKE, math.inf
        )
    ]
    assert len(_send_all(table, 9.0, 9.0 + 1.9)) == share
    now = 10.9
    while now < 11.1:
        table.observe_list([_entry()], now)
        now += STEP_S
    assert table.wait_s(UP, 11.1) == 0.0


def test_old_list_limits_all_upstreams() -> None:
    """Guards against an upstream that turns cold while the store is down."""
    table = _table(entries=(_entry(),))
    now = 0.0
    while now < cold_upstreams.LIST_STALE_S:
        assert table.wait_s(UP, now) == 0.0
        table.record_send(UP, now)
        table.tick(now)
        now += STEP_S
    times = []
    while now < 20.0:
        table.tick(now)
        while table.wait_s(UP, now) <= 0:
            table.record_send(UP, now)
            times.append(now)
        now += 0.05
    assert 10 <= 10 * _most_in(times, 0.99) <= BOUND
    assert len(times) > 30
    table.observe_list([_entry()], now)
    assert table.wait_s(UP, now) == 0.0


COUNTS: Final[dict[str, tuple[Callable[..., object], int]]] = {
    "nothing_known": (lambda fleet: None, cold_upstreams.ASSUMED_GATEWAYS),
    "store": (lambda fleet: fleet.note_listed(["a", "b"], 0.0), 3),
    "store_names_this": (lambda fleet: fleet.note_listed(["own"], 0.0), 1),
    "peer_names": (lambda fleet: fleet.note_heard("a", 7, 0.0), 7),
    "peer_does_not_know": (
        lambda fleet: fleet.note_heard("a", 0, 0.0),
        cold_upstreams.ASSUMED_GATEWAYS,
    ),
    "heard_beside_store": (
        lambda fleet: (
            fleet.note_listed(["a"], 0.0),
            fleet.note_heard("b", 0, 0.0),
        ),
        3,
    ),
    "store_forgets_one": (
        lambda fleet: (
            fleet.note_listed(["a", "b"], 0.0),
            fleet.note_listed(["a"], 1.0),
        ),
        3,
    ),
}


@pytest.mark.parametrize("name", COUNTS)
def test_gateways_that_may_be_alive(name: str) -> None:
    """Guards against a share that is too large for the gateways there are."""
    tell, count = COUNTS[name]
    fleet = cold_upstreams.FleetSize("own")
    tell(fleet)
    assert fleet.count(5.0) == count


def test_gateways_are_forgotten_after_a_long_time_only() -> None:
    """Guards against shares that grow while a gateway is cut off."""
    fleet = cold_upstreams.FleetSize("own")
    fleet.note_listed([], 0.0)
    fleet.note_heard("a", 5, 0.0)
    assert fleet.count(cold_upstreams.GATEWAY_KEPT_S - 1.0) == 5
    assert fleet.count(cold_upstreams.GATEWAY_KEPT_S + 1.0) == 1


def test_number_that_a_peer_names_is_not_passed_on() -> None:
    """Guards against two gateways that keep up each other's old number."""
    fleet = cold_upstreams.FleetSize("own")
    fleet.note_heard("a", 5, 0.0)
    assert fleet.known() == 0
    fleet.note_listed(["own"], 0.0)
    assert fleet.known() == 2


def test_random_statements_never_break_the_share() -> None:
    """Guards against orders of events that renew a share."""
    for seed in range(60):
        rng = random.Random(seed)
        gateways = rng.choice((1, 3, 10, 31))
        table = _table(gateways, entries=(_entry(UP, 60.0),))
        share = table.share(UP, 0.0)
        now = 0.0
        awake_s = 0.0
        times = []
        while now < 30.0:
            step_s = rng.choice((0.001, 0.02, 0.1, 0.1, 0.4, 3.0))
            now += step_s
            awake_s += step_s if step_s <= cold_upstreams.FREEZE_S else 0.0
            match rng.randrange(4):
                case 0:
                    table.observe_list([_entry(UP, 60.0)], now)
                case 1:
                    table.observe_response(UP, 1, 60.0, now - 0.1, now)
                case 2:
                    table.note_loss(UP, now)
                case _:
                    table.tick(now)
            while table.wait_s(UP, now) <= 0:
                table.record_send(UP, now)
                times.append(awake_s)
        assert 0 < _most_in(times, cold_upstreams.WINDOW_S - 1e-6) <= share


def _gate(
    table: cold_upstreams.ColdUpstreams,
    entries: list[upstream_list.UpstreamEntry],
) -> send_gate.SendGate:
    members = upstream_list.Membership(3.6)
    members.replace(entries, 0.0)
    return send_gate.SendGate(
        upstream_limits.UpstreamLimits("own"),
        upstream_notices.UpstreamNotices(),
        table,
        members,
        evacuations.EvacuationTable(),
        lambda _upstream_id: 0,
    )


def test_queue_waits_only_if_all_upstreams_are_cold() -> None:
    """Guards against refusals while a warm upstream takes requests."""
    entries = [_entry("a", 60.0), _entry("b")]
    gate = _gate(_table(entries=tuple(entries)), entries)
    assert gate.queue_wait_s("engines", None, 1_000, 10, 0.0) == 0.0


def test_queue_wait_follows_the_shares_and_ends_with_the_cold() -> None:
    """Guards against requests that wait for longer than they have."""
    entries = [_entry("a", 60.0), _entry("b", 60.0)]
    table = _table(entries=tuple(entries))
    gate = _gate(table, entries)
    rate = 2 * table.share("a", 0.0) / cold_upstreams.WINDOW_S
    assert gate.queue_wait_s("engines", None, 10, 10, 0.0) == pytest.approx(
        10 / rate
    )
    assert gate.queue_wait_s("engines", None, 10_000, 10, 0.0) == pytest.approx(
        60.0
    )


def test_refused_callers_return_while_other_gateways_have_a_share() -> None:
    """Guards against a Retry-After that no caller waits for."""
    entries = [_entry("a", 60.0)]
    gate = _gate(_table(entries=tuple(entries)), entries)
    assert gate.retry_after_s("engines", None, 20.0, 2.0, 0.0) == pytest.approx(
        0.6
    )
    assert gate.retry_after_s("engines", None, 0.1, 2.0, 0.0) == 0.1
    assert gate.retry_after_s("engines", None, 20.0, -1.0, 0.0) == 0.0
    warm = [_entry("a")]
    gate = _gate(_table(entries=tuple(warm)), warm)
    assert gate.retry_after_s("engines", None, 20.0, 2.0, 0.0) == 20.0


def test_short_freeze_is_no_reason_to_doubt_all_upstreams() -> None:
    """Guards against limits on warm upstreams of a busy machine."""
    table = _table(entries=(_entry(),))
    table.tick(0.0)
    assert table.tick(1.0) == []
    assert table.wait_s(UP, 1.0) == 0.0


def test_cold_engines_with_a_small_share_are_no_helpers() -> None:
    """Guards against reservations that exceed the share of a cold helper."""
    entries = [_entry("a", 60.0), _entry("b")]
    for gateways, may_help in ((10, True), (31, False)):
        gate = _gate(_table(gateways, entries=tuple(entries)), entries)
        assert gate.may_help("a", 0.0) is may_help
        assert gate.may_help("b", 0.0)
        assert gate.is_scarce("a", 0.0)
        assert not gate.is_scarce("b", 0.0)
