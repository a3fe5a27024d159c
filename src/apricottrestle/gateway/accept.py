"""First decision about a request: route, team, service and time limit.

Pure: the decision depends on the request and one version of the configuration.
"""

import random
from typing import NamedTuple

from apricottrestle.gateway import calls, fleet_config

BAD_REQUEST = 400
UNAUTHORIZED = 401
NOT_FOUND = 404
TOO_LARGE = 413
UNAVAILABLE = 503


class Accepted(NamedTuple):
    """A request that may be served.

    Attributes:
        route: Its route.
        team: Team of its key, or None.
        service: Service that gets it.
        priority: Rank; 0 is the most urgent.
        deadline: Monotonic time at which its caller has been answered.
        config_version: Configuration that the decision rests on.
    """

    route: fleet_config.Route
    team: fleet_config.Team | None
    service: fleet_config.Service
    priority: int
    deadline: float
    config_version: int


class Refused(NamedTuple):
    """A request that ends at once and has not run.

    Attributes:
        status: HTTP status.
        reason: Stable word for logs and the caller.
        retry_after_s: When to come back, or None when that is of no use.
    """

    status: int
    reason: str
    retry_after_s: float | None = None


class CompiledConfig(NamedTuple):
    """A configuration with the index of its routes."""

    config: fleet_config.FleetConfig
    routes: fleet_config.RouteTable


def compile_config(config: fleet_config.FleetConfig) -> CompiledConfig:
    """Indexes the routes of a configuration."""
    return CompiledConfig(config, fleet_config.RouteTable(config.routes))


def decide_request(
    req: calls.CallerRequest, compiled: CompiledConfig, rng: random.Random
) -> Accepted | Refused:
    """Decides whether and where a request is served."""
    config = compiled.config
    route = compiled.routes.find(req.host, req.path)
    if route is None:
        return Refused(NOT_FOUND, "no_route")
    allowed, team = fleet_config.find_team(
        config.teams_by_key, route, req.api_key
    )
    if not allowed:
        return Refused(UNAUTHORIZED, "unknown_key")
    if len(req.body) > config.limits.max_body_bytes:
        return Refused(TOO_LARGE, "body_too_large")
    target = (
        rng.choices(
            route.targets, [max(part.weight, 0.0) for part in route.targets]
        )[0]
        if len(route.targets) > 1
        else route.targets[0]
    )
    service = config.services.get(target.service)
    if service is None:
        service = fleet_config.Service(target.service, 0, None)
    limit_s = route.timeout_s if route.timeout_s > 0 else float("inf")
    if req.time_left_s is not None:
        limit_s = min(limit_s, req.time_left_s)
    priority = route.priority
    if team is not None and team.priority is not None:
        priority = team.priority
    return Accepted(
        route, team, service, priority, req.arrived_at + limit_s, config.version
    )
