"""Tests of early refusal and of the retry budgets."""

import random

import pytest

from apricottrestle import admission, messages, routing, upstream_table

RATE = 20_000.0


def table_with(
    queued: list[int], *, draining: bool = False
) -> upstream_table.UpstreamTable:
    table = upstream_table.UpstreamTable()
    for index in range(4):
        load = messages.LoadReport(
            "m",
            "engine",
            "1",
            [],
            draining,
            queued,
            0,
            0,
            10**6,
            10**6,
            RATE,
            0,
        )
        table.add(upstream_table.UpstreamRow(f"a{index}", "dc", "1", load, 0.0))
    return table


def request(
    team: str = "t", priority: int = 1, remaining_s: float = 30.0
) -> routing.RouteRequest:
    return routing.RouteRequest(
        "r",
        team,
        priority,
        "m",
        "1",
        "",
        2000,
        100,
        (),
        remaining_s,
        frozenset(),
    )


def new_control(*, enabled: bool = True) -> admission.AdmissionControl:
    return admission.AdmissionControl(random.Random(1), enabled=enabled)


@pytest.mark.parametrize(
    ("queued", "priority", "remaining_s", "admitted"),
    [
        ([0, 0, 0], 1, 10.0, True),
        ([0, 0, 0], 1, 1.0, False),
        ([0, 10**6, 0], 1, 30.0, False),
        ([0, 0, 10**7], 1, 30.0, True),
        ([0, 0, 10**7], 0, 30.0, True),
        ([10**6, 0, 0], 1, 30.0, True),
        ([10**6, 10**5, 0], 1, 30.0, False),
    ],
)
def test_request_that_cannot_finish_in_time_is_refused(
    queued: list[int], priority: int, remaining_s: float, admitted: bool
) -> None:
    """Guards against work cut off by its deadline, and false refusals."""
    req = request(priority=priority, remaining_s=remaining_s)
    decision = new_control().check(req, table_with(queued), 0.0)
    assert decision.admitted is admitted
    assert (decision.retry_after_s > 0) is not admitted


@pytest.mark.parametrize(
    ("queued", "expected"), [(700_000, 10.0), (620_000, 6.0), (10**8, 60.0)]
)
def test_retry_after_is_the_expected_lateness(
    queued: int, expected: float
) -> None:
    """Guards against refused callers that retry too early or too late."""
    decision = new_control().check(request(), table_with([0, queued, 0]), 0.0)
    assert decision.retry_after_s == pytest.approx(expected, abs=1.0)


@pytest.mark.parametrize("table", [table_with([0, 0, 0], draining=True)])
def test_no_candidate_is_refused(table: upstream_table.UpstreamTable) -> None:
    """Guards against admitting a request that no agent can run."""
    decision = new_control().check(request(), table, 0.0)
    assert (decision.admitted, decision.reason) == (False, "no_candidate")


def test_team_below_its_share_is_not_refused_for_backlog_of_others() -> None:
    """Guards against refusing a small team for a large team's backlog."""
    control = new_control()
    control.configure((0.0, 0.1, 0.05), {"large": 1.0, "small": 1.0})
    idle, full = table_with([0, 0, 0]), table_with([0, 10**6, 0])
    for _ in range(20):
        assert control.check(request("large"), idle, 0.0).admitted
    assert not control.check(request("large"), full, 1.0).admitted
    admitted = [
        control.check(request("small"), full, 1.0).admitted for _ in range(40)
    ]
    assert 10 <= sum(admitted) <= 21
    assert admitted[0]


def test_disabled_check_admits_everything() -> None:
    """Guards the ablation without early refusal in the benchmark."""
    control = new_control(enabled=False)
    assert control.check(request(), table_with([0, 10**9, 0]), 0.0).admitted


@pytest.mark.parametrize("rate_per_s", [1, 10, 200, 1000])
def test_retries_stay_within_the_budget(rate_per_s: int) -> None:
    """Guards against a retry storm.

    Retries are limited to 10% of the requests, with a minimum of 3 per second.
    """
    budget = admission.RetryBudget()
    spent = 0
    seconds = 60
    for step in range(rate_per_s * seconds):
        now = step / rate_per_s
        budget.deposit("t", "u", now)
        spent += sum(budget.try_withdraw("t", "u", now) for _ in range(2))
    allowed = 30 + seconds * (3 + 0.1 * rate_per_s)
    assert spent <= allowed
    assert spent >= min(0.9 * (allowed - 30), 2 * rate_per_s * seconds)


@pytest.mark.parametrize(
    ("other", "expected"),
    [(("t", "u2"), False), (("t2", "u"), False), (("t2", "u2"), True)],
)
def test_teams_and_upstreams_have_separate_budgets(
    other: tuple[str, str], expected: bool
) -> None:
    """Guards against an exhausted budget that stops retries of others."""
    budget = admission.RetryBudget()
    while budget.try_withdraw("t", "u", 0.0):
        pass
    assert budget.try_withdraw(*other, 0.0) is expected
    assert budget.try_withdraw(*other, 10.0)
