"""Tests the table of limits that upstreams name, without a fleet."""

import math
import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from apricottrestle.gateway import calls, upstream_limits

UP = "up-1"


def _first(_upstream_id: str) -> int:
    return 0


def _named(per_s: float | None) -> calls.NamedLimit:
    return calls.NamedLimit(per_s)


def _table(per_s: float, at: float = 0.0) -> upstream_limits.UpstreamLimits:
    table = upstream_limits.UpstreamLimits("own")
    table.observe(UP, 1, _named(per_s), at, at)
    return table


@pytest.mark.parametrize(
    ("per_s", "in_window", "window_s"),
    [
        (1.0, 4, 4.0),
        (1.1, 4, 4.0),
        (2.0, 8, 4.0),
        (0.5, 2, 4.0),
        (0.25, 1, 4.0),
        (0.3, 1, 4.0),
        (0.1, 1, 10.0),
        (0.0, 1, 20.0),
        (1e-12, 1, 20.0),
        (50.0, 200, 4.0),
    ],
)
def test_requests_in_each_window_follow_the_limit(
    per_s: float, in_window: int, window_s: float
) -> None:
    """Guards against bursts at the edge of a window, and against a stop.

    An upstream whose limit allows nothing gets a request at times, as only a
    response shows that the limit has ended.
    """
    table = _table(per_s)
    times = []
    now = 0.0
    while now < 5 * window_s:
        wait_s = table.wait_s(UP, _first, now)
        if wait_s <= 0:
            assert table.record_send(UP, now)
            times.append(now)
        now += min(max(wait_s, 0.001), 0.01)
    most = max(sum(at <= t < at + window_s for t in times) for at in times)
    assert most == in_window
    assert len(times) == 5 * in_window


@pytest.mark.parametrize(
    ("steps", "limit"),
    [
        ([(2.0, 0.0, 0.1)], 2.0),
        ([(2.0, 0.0, 0.1), (3.0, 0.0, 0.2)], 3.0),
        # A response without a limit to a request sent before the last one that
        # names it may have been overtaken.
        ([(2.0, 0.0, 0.1), (None, 0.05, 0.2)], 2.0),
        ([(2.0, 0.0, 0.1), (None, 0.15, 0.2)], None),
        ([(2.0, 0.0, 0.1), (2.0, 0.0, 0.3), (None, 0.2, 0.4)], 2.0),
        ([(2.0, 0.0, 0.1), (None, 0.15, 0.2), (1.0, 0.0, 0.3)], 1.0),
        ([(None, 0.0, 0.1)], None),
        ([(2.0, 0.0, 0.1), ("unreadable", 0.2, 0.3)], 2.0),
        ([("unreadable", 0.0, 0.1)], None),
    ],
)
def test_limit_follows_the_responses(
    steps: list[tuple[float | str | None, float, float]], limit: float | None
) -> None:
    """Guards against limits that late or unreadable responses end or change.

    A step is a response: its limit, the time of its request and its own time.
    """
    table = upstream_limits.UpstreamLimits("own")
    for value, sent_at, now in steps:
        named = None
        if value is not None:
            named = _named(value if isinstance(value, float) else None)
        table.observe(UP, 1, named, sent_at, now)
    assert table.limit(UP) == limit


def test_limit_ends_with_the_process_that_named_it() -> None:
    """Guards against a limit, or its end, that outlives a restart."""
    table = _table(1.0)
    table.observe(UP, 2, None, 0.5, 0.6)
    assert table.limit(UP) == 1.0
    table.observe(UP, 2, _named(3.0), 0.5, 0.7)
    assert table.limit(UP) == 3.0
    older = upstream_limits.LimitReport(UP, 1, 1.0, 0.0, math.inf, ())
    assert not table.merge("peer", older, 0.8)
    assert table.limit(UP) == 3.0
    table.forget([UP])
    assert table.limit(UP) is None


def _aged(
    report: upstream_limits.LimitReport, delay_s: float
) -> upstream_limits.LimitReport:
    """Returns a report as it is after the delay of its message."""
    return report._replace(
        named_age_s=report.named_age_s + delay_s,
        unnamed_age_s=report.unnamed_age_s + delay_s,
        sends=tuple(
            (number, age_s + delay_s) for number, age_s in report.sends
        ),
    )


def _exchange_all(
    tables: list[upstream_limits.UpstreamLimits], now: float
) -> None:
    """Tells each gateway twice what the others know."""
    for _ in range(2):
        for number, table in enumerate(tables):
            for report in table.reports(now):
                for other in tables:
                    if other is not table:
                        other.merge(f"gateway-{number}", report, now)


@given(seed=st.integers(0, 500), loss=st.floats(0.0, 0.6))
def test_gateways_agree_after_lost_late_and_double_messages(
    seed: int, loss: float
) -> None:
    """Guards against gateways that differ, or count a request twice."""
    rng = random.Random(seed)
    tables = [upstream_limits.UpstreamLimits(f"gateway-{n}") for n in range(3)]
    now = 0.0
    sent = 0
    last_named_at = -1.0
    in_flight: list[tuple[int, str, upstream_limits.LimitReport, float]] = []
    for _ in range(40):
        now += 0.05
        number = rng.randrange(3)
        action = rng.choice(("name", "clear", "send", "tell", "arrive"))
        if action == "name":
            tables[number].observe(UP, 1, _named(2.0), now, now)
            last_named_at = now
        elif action == "clear" and last_named_at > 0:
            tables[number].observe(UP, 1, None, now, now)
        elif action == "send":
            sent += tables[number].record_send(UP, now)
        elif action == "tell":
            in_flight += [
                (target, f"gateway-{number}", report, now)
                for report in tables[number].reports(now)
                for target in range(3)
                if target != number and rng.random() >= loss
            ] * rng.choice((1, 2))
        else:
            rng.shuffle(in_flight)
            for target, source, report, told_at in in_flight[:3]:
                tables[target].merge(source, _aged(report, now - told_at), now)
            del in_flight[:3]
    _exchange_all(tables, now)
    assert len({table.limit(UP) for table in tables}) == 1
    if tables[0].limit(UP) is not None:
        assert last_named_at > 0
        waits = {round(table.wait_s(UP, _first, now), 6) for table in tables}
        assert len(waits) == 1
        assert (waits == {0.0}) == (sent < 8)


def test_gateways_take_turns_at_a_free_place() -> None:
    """Guards against all gateways that send at the moment a window moves on."""
    tables = [_table(0.25), _table(0.25)]
    for table in tables:
        table.record_send(UP, 0.0)
    waits = [
        tables[0].wait_s(UP, lambda _: 0, 4.0),
        tables[1].wait_s(UP, lambda _: 3, 4.0),
    ]
    assert waits == [0.0, pytest.approx(3 * upstream_limits.TURN_S)]


def test_table_is_bounded() -> None:
    """Guards against memory that grows with requests, or with old upstreams."""
    table = _table(1000.0)
    for number in range(20_000):
        now = number * 0.01
        table.record_send(UP, now)
        if number % 500 == 0:
            assert len(table.reports(now)[0].sends) < 700
    table.expire(199.0)
    assert table.limit(UP) == 1000.0
    table.expire(upstream_limits.LIMIT_TTL_S + 1.0)
    assert table.limited() == []
