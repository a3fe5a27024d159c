"""Accepts or refuses a request and chooses route, team, service and deadline.

The decision has no side effects; it depends on the request, one version of the
configuration and the random generator that picks a route's target.
"""

import random
from typing import Final, NamedTuple

from apricottrestle.gateway import calls, fleet_config

MAX_TIME_LIMIT_S: Final = 3_600.0
"""Time limit of a request if neither its route nor its caller sets one."""

BAD_REQUEST = 400
UNAUTHORIZED = 401
NOT_FOUND = 404
TOO_LARGE = 413
UNAVAILABLE = 503

OVERLOAD_RETRY_AFTER_S: Final = 0.2
"""Retry-After when a service has no capacity or no upstream, or when a request
can no longer meet its deadline; a few calls of a plain service take as long."""

LIMITED: Final = "limited"
"""Reason of the refusal of a request that limits keep from all upstreams."""

STOPPING: Final = "stopping"
"""Reason of the refusal of a request that a shutdown leaves no time for."""


class Accepted(NamedTuple):
    """An accepted request's route and limits.

    Attributes:
        route: Route that matches the request.
        team: Team of the API key, or None.
        service: Service that serves the request.
        priority: Scheduling priority; 0 is the most urgent.
        deadline: Monotonic time by which the response must have ended.
        config_version: Version of the configuration used for the decision.
        regions: Regions whose upstreams it may use; None for all.
    """

    route: fleet_config.Route
    team: fleet_config.Team | None
    service: fleet_config.Service
    priority: int
    deadline: float
    config_version: int
    regions: fleet_config.Regions = None


Refused = calls.Refusal


class CompiledConfig(NamedTuple):
    """A configuration with an index of its routes."""

    config: fleet_config.FleetConfig
    routes: fleet_config.RouteTable


def compile_config(config: fleet_config.FleetConfig) -> CompiledConfig:
    """Indexes the routes of a configuration."""
    return CompiledConfig(config, fleet_config.RouteTable(config.routes))


def check_head(
    head: calls.RequestHead, compiled: CompiledConfig
) -> Refused | None:
    """Returns the refusal of a request that needs none of its body."""
    return _check_head(
        head.host,
        head.path,
        head.api_key,
        head.body_bytes,
        compiled,
    )[0]


def _check_head(
    host: str,
    path: str,
    api_key: str | None,
    body_bytes: int,
    compiled: CompiledConfig,
) -> tuple[Refused | None, fleet_config.Route | None, fleet_config.Team | None]:
    """Returns the refusal of a request, or its route and team."""
    config = compiled.config
    route = compiled.routes.find(host, path)
    if route is None:
        return Refused(NOT_FOUND, "no_route"), None, None
    allowed, team = fleet_config.find_team(config.teams_by_key, route, api_key)
    if not allowed:
        return Refused(UNAUTHORIZED, "unknown_key"), None, None
    if body_bytes > config.limits.max_body_bytes:
        return Refused(TOO_LARGE, "body_too_large"), None, None
    return None, route, team


def time_limit_s(
    route: fleet_config.Route | None, caller_limit_s: float | None
) -> float:
    """Returns the time limit of a request.

    Args:
        route: Its route, or None if it has none.
        caller_limit_s: The caller's limit, or None if the caller set none.
    """
    limit_s = MAX_TIME_LIMIT_S
    if route is not None and route.timeout_s > 0:
        limit_s = route.timeout_s
    return limit_s if caller_limit_s is None else min(limit_s, caller_limit_s)


def decide_request(
    req: calls.CallerRequest, compiled: CompiledConfig, rng: random.Random
) -> Accepted | Refused:
    """Returns the route and limits of a request, or its refusal."""
    config = compiled.config
    refusal, route, team = _check_head(
        req.host, req.path, req.api_key, len(req.body), compiled
    )
    if route is None:
        assert refusal is not None
        return refusal
    target = (
        rng.choices(
            route.targets, [max(target.weight, 0.0) for target in route.targets]
        )[0]
        if len(route.targets) > 1
        else route.targets[0]
    )
    service = config.services.get(target.service)
    if service is None:
        service = fleet_config.Service(target.service, 0, None)
    limit_s = time_limit_s(route, req.time_left_s)
    priority = route.priority
    if team is not None and team.priority is not None:
        priority = team.priority
    return Accepted(
        route,
        team,
        service,
        priority,
        req.arrived_at + limit_s,
        config.version,
        fleet_config.allowed_regions(route, team),
    )
