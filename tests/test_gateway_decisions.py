"""Tests request acceptance, the retry policy and the routing of plain calls."""

import random
from typing import Any

import hypothesis
import pytest
from hypothesis import strategies

from apricottrestle.gateway import (
    accept,
    calls,
    fleet_config,
    retry_budget,
    retry_policy,
    service_routing,
)
from tests import gateway_parts

Result = retry_policy.AttemptResult
NextAction = retry_policy.NextAction


@pytest.mark.parametrize(
    ("path", "key", "expected"),
    [
        ("/short/x", "key-a", "short"),
        ("/short/deep/er", "key-a", "short"),
        ("/short/special/x", "key-a", "special"),
        ("/short", "key-a", 404),
        ("/shorter/x", "key-a", 404),
        ("/none/x", "key-a", 404),
        ("/short/x", "key-b", 401),
        ("/short/x", None, 401),
        ("/open/x", None, "open"),
        ("/open/x", "key-b", "open"),
    ],
)
def test_route_and_key_decide(
    path: str, key: str | None, expected: str | int
) -> None:
    """Guards against a wrong route, and against wrong 401 and 404 answers."""
    base = gateway_parts.config()
    routes = (
        *base.routes,
        gateway_parts.STREAM._replace(
            name="special", path_prefix="/short/special/"
        ),
        gateway_parts.SAFE._replace(
            name="open", path_prefix="/open/", public=True
        ),
    )
    compiled = accept.compile_config(base._replace(routes=routes))
    got = accept.decide_request(
        gateway_parts.request(path, api_key=key), compiled, random.Random(1)
    )
    head = calls.RequestHead("request-1", path, "fleet.example", key, 0)
    refusal = accept.check_head(head, compiled)
    if isinstance(got, accept.Accepted):
        assert got.route.name == expected
        assert refusal is None
    else:
        assert got.status == expected
        assert refusal == got


@pytest.mark.parametrize(
    ("body_bytes", "status"),
    [
        (0, None),
        (gateway_parts.LIMITS.max_body_bytes, None),
        (gateway_parts.LIMITS.max_body_bytes + 1, 413),
    ],
)
def test_length_decides_before_the_body_is_read(
    body_bytes: int, status: int | None
) -> None:
    """Guards against reading a body that is refused for its length."""
    compiled = accept.compile_config(gateway_parts.config())
    refusal = accept.check_head(
        calls.RequestHead(
            "r", "/short/x", "fleet.example", "key-a", body_bytes
        ),
        compiled,
    )
    assert (refusal.status if refusal else None) == status


@pytest.mark.parametrize(
    ("route_s", "caller_s", "limit_s"),
    [
        (10.0, 5.0, 5.0),
        (10.0, None, 10.0),
        (0.0, 5.0, 5.0),
        (0.0, None, accept.MAX_TIME_LIMIT_S),
        (0.0, float("inf"), accept.MAX_TIME_LIMIT_S),
    ],
)
def test_each_request_has_a_time_limit(
    route_s: float, caller_s: float | None, limit_s: float
) -> None:
    """Guards against a request without a limit, which no upstream can be sent.

    Its connection would close without an answer.
    """
    base = gateway_parts.config()
    route = gateway_parts.STREAM._replace(timeout_s=route_s)
    compiled = accept.compile_config(base._replace(routes=(route,)))
    req = gateway_parts.request(time_left_s=caller_s)
    got = accept.decide_request(req, compiled, random.Random(1))
    assert isinstance(got, accept.Accepted)
    assert got.deadline - req.arrived_at == pytest.approx(limit_s)


@pytest.mark.parametrize("host", ["fleet.example", "FLEET.example:80"])
def test_host_is_compared_without_case_and_port(host: str) -> None:
    """Guards against a 404 for a host in upper case or with a port."""
    table = fleet_config.RouteTable(gateway_parts.config().routes)
    assert table.find(host, "/short/x") is not None
    assert table.find("other.example", "/short/x") is None


@pytest.mark.parametrize(
    ("path", "name"),
    [
        ("/a/b/c/x", "abc"),
        ("/a/b/c/", "abc"),
        ("/a/b/c", "ab"),
        ("/a/b/x/" + "y/" * 5_000, "ab"),
        ("/a/x", "a"),
        ("/a", "root"),
        ("//////" * 100, "root"),
        ("x/a/", None),
        ("", None),
    ],
)
def test_longest_prefix_of_a_path_is_found(path: str, name: str | None) -> None:
    """Guards against a shorter prefix, or none, where a longer one matches."""
    prefixes = {"root": "/", "a": "/a/", "ab": "/a/b/", "abc": "/a/b/c/"}
    table = fleet_config.RouteTable(
        tuple(
            gateway_parts.SAFE._replace(name=name, path_prefix=prefix)
            for name, prefix in prefixes.items()
        )
    )
    route = table.find("fleet.example", path)
    assert (route.name if route else None) == name


class _CountingPath(str):
    """A path that counts its parts that are looked up."""

    parts = 0

    def __getitem__(self, key: Any) -> str:
        _CountingPath.parts += 1
        return super().__getitem__(key)


def test_lookup_of_a_route_does_not_grow_with_the_path() -> None:
    """Guards against a path of slashes that holds up the event loop.

    One lookup of 15,800 slashes took 55 ms.
    """
    table = fleet_config.RouteTable(gateway_parts.config().routes)
    longest = max(
        len(route.path_prefix) for route in gateway_parts.config().routes
    )
    _CountingPath.parts = 0
    assert table.find("fleet.example", _CountingPath("/" * 15_800)) is None
    assert _CountingPath.parts <= longest


@pytest.mark.parametrize(
    ("time_left_s", "timeout_s", "limit_s"),
    [(2.0, 10.0, 2.0), (10.0, 3.0, 3.0), (None, 3.0, 3.0)],
)
def test_time_limit_is_the_shorter_of_caller_and_route(
    time_left_s: float | None, timeout_s: float, limit_s: float
) -> None:
    """Guards against an answer after the time limit of the caller or route."""
    base = gateway_parts.config()
    route = gateway_parts.STREAM._replace(timeout_s=timeout_s)
    req = gateway_parts.request(time_left_s=time_left_s)
    got = accept.decide_request(
        req,
        accept.compile_config(base._replace(routes=(route,))),
        random.Random(1),
    )
    assert isinstance(got, accept.Accepted)
    assert got.deadline == req.arrived_at + limit_s


def test_requests_are_split_by_target_weights() -> None:
    """Guards against a service that doesn't get its configured share."""
    base = gateway_parts.config()
    route = gateway_parts.SAFE._replace(
        targets=(
            fleet_config.RouteTarget("plain", 90.0),
            fleet_config.RouteTarget("engines", 10.0),
        )
    )
    compiled = accept.compile_config(base._replace(routes=(route,)))
    rng = random.Random(1)
    names = [
        got.service.name
        for _ in range(1000)
        if isinstance(
            got := accept.decide_request(
                gateway_parts.request("/lookup/x"), compiled, rng
            ),
            accept.Accepted,
        )
    ]
    assert 850 < names.count("plain") < 950


@pytest.mark.parametrize(
    ("route", "result", "sends", "expected"),
    [
        # A non-repeatable request that may have run isn't sent again.
        (gateway_parts.UNSAFE, Result.LOST, 1, NextAction.FAIL),
        (gateway_parts.UNSAFE, Result.FAILED, 1, NextAction.PASS_ON),
        (gateway_parts.UNSAFE, Result.NOT_RUN, 1, NextAction.REFUSE),
        (gateway_parts.UNSAFE, Result.NOT_SENT, 0, NextAction.SEND_AGAIN),
        # Repeatable requests are retried up to the maximum of attempts.
        (gateway_parts.SAFE, Result.LOST, 1, NextAction.SEND_AGAIN),
        (gateway_parts.SAFE, Result.FAILED, 1, NextAction.SEND_AGAIN),
        (gateway_parts.SAFE, Result.LOST, 2, NextAction.FAIL),
        (gateway_parts.SAFE, Result.FAILED, 2, NextAction.PASS_ON),
        (gateway_parts.STREAM, Result.LOST, 1, NextAction.SEND_AGAIN),
        (
            gateway_parts.STREAM._replace(resumable=False),
            Result.LOST,
            1,
            NextAction.FAIL,
        ),
        (
            gateway_parts.STREAM._replace(resumable=False),
            Result.NOT_RUN,
            1,
            NextAction.SEND_AGAIN,
        ),
    ],
)
def test_retry_decision_after_a_failed_send(
    route: fleet_config.Route, result: Result, sends: int, expected: NextAction
) -> None:
    """Guards against executing an unsafe request twice and false refusals."""
    history = retry_policy.AttemptHistory(
        sends,
        int(result is Result.NOT_SENT),
        result in (Result.LOST, Result.FAILED),
        False,
    )
    got = retry_policy.choose_action(
        result, history, route, time_left=True, has_budget=True
    )
    assert got is expected


@hypothesis.given(
    strategies.sampled_from(list(Result)),
    strategies.integers(0, 5),
    strategies.integers(0, 9),
    strategies.booleans(),
    strategies.booleans(),
    strategies.booleans(),
    strategies.booleans(),
)
# An unsafe request with attempts, time and budget left may have run.
@hypothesis.example(Result.LOST, 1, 0, False, False, True, True)
def test_retry_decisions_never_repeat_unsafe_requests(
    result: Result,
    sends: int,
    unreached: int,
    ran_before: bool,
    answered: bool,
    time_left: bool,
    has_budget: bool,
) -> None:
    """Guards against a second execution and a false "not executed" answer.

    An unsafe request is executed at most once, and a refusal is only allowed if
    no upstream can have executed the request.
    """
    may_have_run = ran_before or result in (Result.LOST, Result.FAILED)
    history = retry_policy.AttemptHistory(
        sends, unreached, may_have_run, answered
    )
    for route in (
        gateway_parts.UNSAFE,
        gateway_parts.UNSAFE._replace(max_attempts=3),
        gateway_parts.SAFE,
    ):
        got = retry_policy.choose_action(
            result, history, route, time_left=time_left, has_budget=has_budget
        )
        if got is NextAction.REFUSE:
            assert not may_have_run
        if got is NextAction.SEND_AGAIN:
            assert time_left
            assert result is Result.NOT_SENT or sends < route.max_attempts
            proved = result in (Result.NOT_SENT, Result.NOT_RUN)
            assert route.repeatable or proved


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.floats(0, 30), strategies.sampled_from(["req", "retry"])
        ),
        max_size=300,
    ),
    strategies.integers(1, 11),
)
def test_retries_stay_within_the_shared_budget(
    events: list[tuple[float, str]], gateways: int
) -> None:
    """Guards against retries that multiply the load of a failing service."""
    share, window_s, slack = 0.2, 10.0, 100.0
    budgets = [
        retry_budget.RetryBudget(share, window_s, slack)
        for _ in range(gateways)
    ]
    requests: list[float] = []
    granted: list[float] = []
    for number, (at, kind) in enumerate(sorted(events)):
        budget = budgets[number % gateways]
        if kind == "req":
            budget.count_request(at)
            requests.append(at)
        elif budget.consume_retry(gateways, at):
            granted.append(at)
    for at in granted:
        in_window = [each for each in granted if at - window_s < each <= at]
        requested = [each for each in requests if at - window_s < each <= at]
        assert len(in_window) <= share * len(requested) + slack


@pytest.mark.parametrize(
    ("changes", "reason"),
    [
        ({"outstanding": 12}, "a shorter queue"),
        ({"failure_rate": 0.5}, "fewer failures"),
        ({"distance_s": 0.05}, "the nearer one"),
    ],
)
def test_plain_calls_avoid_busy_failing_and_distant_upstreams(
    changes: dict[str, object], reason: str
) -> None:
    """Guards against calls to the upstream with the higher latency."""
    good = service_routing.Candidate("good", 1, 6, 0.0, 0.0)
    worse = good._replace(upstream_id="worse", **changes)  # type: ignore[arg-type]
    best = service_routing.choose([worse, good], random.Random(1))
    assert best is not None
    assert best.upstream_id == "good", reason
    assert service_routing.choose([], random.Random(1)) is None
