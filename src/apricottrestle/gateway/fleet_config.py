"""The configuration a gateway serves by: routes, services, teams and limits.

Invariant: values are immutable; a newer configuration replaces the whole value,
so a request that holds one sees a consistent set of routes and keys.
"""

from collections.abc import Mapping
from typing import Final, Literal, NamedTuple

RequestKind = Literal["safe", "unsafe", "stream"]

DEFAULT_SLOTS: Final = 4
"""Slots assumed for an upstream whose entry states none."""


class EngineCostModel(NamedTuple):
    """Published cost model of a model engine.

    Attributes:
        slots: Requests that run at a time.
        kv_tokens: KV cache capacity in tokens.
        step_s: Least time of one token step in seconds.
        step_per_run_s: Time added to a step by each running request.
        step_per_context_token_s: Time added by each token of context.
        prefill_tokens_per_s: Prefill rate.
        prefill_pair_s: Prefill time for each pair of a token and an earlier
            one.
        chunk_tokens: Most prompt tokens read in a step.
        steps_per_pass: Steps of one pass while a request is writing.
        hop_s: Time added to a step when the prompt is spread over engines.
    """

    slots: int
    kv_tokens: int
    step_s: float
    step_per_run_s: float
    step_per_context_token_s: float
    prefill_tokens_per_s: float
    prefill_pair_s: float
    chunk_tokens: int
    steps_per_pass: int
    hop_s: float


class Service(NamedTuple):
    """A service: upstreams that answer alike.

    Attributes:
        name: Name in routes and in the upstream list.
        max_connections: Connections an upstream accepts from all callers.
        engine: Cost model when the upstreams are model engines, else None.
    """

    name: str
    max_connections: int
    engine: EngineCostModel | None


class RouteTarget(NamedTuple):
    """A service that a route sends requests to, with its share."""

    service: str
    weight: float


class Route(NamedTuple):
    """Where requests of a host and path go, and what may be done with them.

    Attributes:
        name: Name of the route.
        host: Host that callers name.
        path_prefix: Prefix of the path; begins and ends with a slash.
        kind: What may be repeated.
        timeout_s: Longest time a caller is kept waiting.
        target_s: Time to the answer, or to a stream's first event, within
            which the answer is on time.
        event_gap_target_s: Longest pause between two events of a stream that
            is on time; 0 when none is stated.
        priority: Rank; 0 is the most urgent.
        targets: Services, with the share of each.
        max_attempts: Upstreams that one request may be sent to.
        public: Whether a request needs no key.
        resumable: Whether a stream may go on at another upstream.
    """

    name: str
    host: str
    path_prefix: str
    kind: RequestKind
    timeout_s: float
    target_s: float
    event_gap_target_s: float
    priority: int
    targets: tuple[RouteTarget, ...]
    max_attempts: int
    public: bool
    resumable: bool

    @property
    def repeatable(self) -> bool:
        """Whether a request that may have run may be sent again."""
        return self.kind == "safe" or (self.kind == "stream" and self.resumable)


class Team(NamedTuple):
    """A team that owns API keys.

    Attributes:
        name: Name that upstreams are told.
        priority: Rank that replaces the one of the route, or None.
    """

    name: str
    priority: int | None


class CallerLimits(NamedTuple):
    """Bounds on what callers may send.

    Attributes:
        max_header_bytes: Size of start line and headers.
        max_body_bytes: Size of a body.
        header_timeout_s: Time to send the headers.
        idle_timeout_s: Time that an open connection may stay idle.
    """

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


class FleetConfig(NamedTuple):
    """A version of the configuration.

    Attributes:
        version: Version; a higher one is newer.
        routes: All routes.
        services: Services by name.
        limits: Bounds on callers.
        teams_by_key: Team of each API key, or None when callers need no key.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    limits: CallerLimits
    teams_by_key: dict[str, Team] | None


class RouteTable:
    """Finds the route of a host and path by the longest prefix."""

    def __init__(self, routes: tuple[Route, ...]) -> None:
        """Indexes the routes by host and prefix."""
        self._by_host: dict[str, dict[str, Route]] = {}
        for route in routes:
            prefixes = self._by_host.setdefault(route.host.lower(), {})
            prefixes[route.path_prefix] = route

    def find(self, host: str, path: str) -> Route | None:
        """Returns the route, or None when none matches.

        Args:
            host: Host header, with or without a port.
            path: Path without a query.
        """
        prefixes = self._by_host.get(host.partition(":")[0].lower())
        if not prefixes:
            return None
        end = path.rfind("/")
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None


def find_team(
    teams_by_key: Mapping[str, Team] | None, route: Route, key: str | None
) -> tuple[bool, Team | None]:
    """Returns whether the caller may use the route, and its team if known.

    Args:
        teams_by_key: Teams by key, or None when callers need no key.
        route: The route.
        key: Key that the caller sent, or None.
    """
    if teams_by_key is None:
        return True, None
    team = teams_by_key.get(key) if key is not None else None
    return route.public or team is not None, team
