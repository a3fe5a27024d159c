"""Configuration of a gateway: routes, services, teams and limits.

Invariant: configurations are immutable. A newer one replaces the whole value,
so that a request with a reference to it uses consistent routes and keys.
"""

from collections.abc import Mapping
from typing import Final, Literal, NamedTuple

RequestKind = Literal["safe", "unsafe", "stream"]

Regions = frozenset[str] | None
"""Regions whose upstreams a request may use; None for all."""


class EngineCostModel(NamedTuple):
    """Published cost model of a model engine.

    Attributes:
        slots: Number of requests that an engine runs concurrently.
        kv_tokens: KV cache capacity in tokens.
        step_s: Minimum duration of a decode step in seconds.
        step_per_run_s: Time added to a step by each decoding request.
        step_per_context_token_s: Time added to a step by each context token.
        prefill_tokens_per_s: Prefill rate, without attention.
        prefill_pair_s: Prefill time of attention, for each pair of a token and
            an earlier token.
        chunk_tokens: Maximum number of prompt tokens prefilled in a step.
        steps_per_pass: Number of steps of a scheduling pass with decoding
            requests.
        hop_s: Time added to a step when a prompt is split over engines.
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


class LinkDelay(NamedTuple):
    """Network delay between two data centres.

    Attributes:
        data_centre: One of them.
        other: The other one.
        delay_s: One-way delay in seconds.
    """

    data_centre: str
    other: str
    delay_s: float


class Service(NamedTuple):
    """A group of interchangeable upstreams.

    Attributes:
        name: Name in routes and in the upstream list.
        max_connections: Number of connections that an upstream accepts from
            all of its callers.
        engine: Cost model if the upstreams are model engines, else None.
        delays: Published network delays between data centres.
        cold_start_s: Time for which an upstream is cold after a start.
        cold_per_s: Requests per second that a cold upstream gets from all of
            its callers. If this or the time is 0, no upstream is ever cold.
    """

    name: str
    max_connections: int
    engine: EngineCostModel | None
    delays: tuple[LinkDelay, ...] = ()
    cold_start_s: float = 0.0
    cold_per_s: float = 0.0


class RouteTarget(NamedTuple):
    """A service that a route sends requests to, with its relative weight."""

    service: str
    weight: float


class Route(NamedTuple):
    """Services and rules for the requests of a host and path prefix.

    Attributes:
        name: Name of the route.
        host: Host header of the requests.
        path_prefix: Path prefix; begins and ends with a slash.
        kind: Whether the request is safe to repeat, unsafe, or an event stream.
        timeout_s: Time limit of a request.
        target_s: Time to the answer, or to a stream's first event, that is on
            time.
        event_gap_target_s: Longest gap between two events of a stream that is
            on time; 0 for no target.
        priority: Priority; 0 is the most urgent.
        targets: Services with their weights.
        max_attempts: Maximum number of upstreams that a request is sent to.
        public: Whether a request needs no API key.
        resumable: Whether a stream may be resumed on another upstream.
        allowed_regions: Regions whose upstreams may be used; empty for all.
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
    allowed_regions: tuple[str, ...] = ()

    @property
    def repeatable(self) -> bool:
        """Whether a request that may have been executed may be sent again."""
        return self.kind == "safe" or (self.kind == "stream" and self.resumable)


class Team(NamedTuple):
    """A team that owns API keys.

    Attributes:
        name: Name that is sent to upstreams.
        priority: Priority that replaces that of the route, or None.
        allowed_regions: Regions whose upstreams may be used; empty for all.
    """

    name: str
    priority: int | None
    allowed_regions: tuple[str, ...] = ()


class CallerLimits(NamedTuple):
    """Limits on the requests and connections of callers.

    Attributes:
        max_header_bytes: Maximum size of the start line and headers.
        max_body_bytes: Maximum size of a body.
        header_timeout_s: Time limit for sending the headers.
        idle_timeout_s: Time limit of an idle connection.
    """

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


class ConfigStamp(NamedTuple):
    """Order of configurations; the greater one is newer.

    The operator may give the number of a lost version to other contents, so
    that the place in the store decides between two of the same number.

    Attributes:
        version: Version number.
        history: Number of the store's history in which it was read.
        offset: Offset of its record in that history.
    """

    version: int
    history: int
    offset: int


NO_CONFIG: Final = ConfigStamp(-1, 0, 0)
"""Stamp before the first configuration."""


class FleetConfig(NamedTuple):
    """A version of the configuration.

    Attributes:
        version: Version number; a higher number is newer.
        routes: All routes.
        services: Services by name.
        limits: Limits on callers.
        teams_by_key: Team of each API key, or None if callers need no key.
        history: Number of the store's history in which it was read.
        offset: Offset of its record in that history.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    limits: CallerLimits
    teams_by_key: dict[str, Team] | None
    history: int = 0
    offset: int = 0

    @property
    def stamp(self) -> ConfigStamp:
        """Its place in the order of configurations."""
        return ConfigStamp(self.version, self.history, self.offset)


def delays_from(
    services: Mapping[str, Service], data_centre: str
) -> dict[str, float]:
    """Returns the published one-way delays to other data centres, in seconds.

    Several services may publish the delay of the same link; the longest counts.
    """
    delays: dict[str, float] = {}
    for service in services.values():
        for link in service.delays:
            if data_centre not in (link.data_centre, link.other):
                continue
            other = (
                link.other
                if link.data_centre == data_centre
                else link.data_centre
            )
            delays[other] = max(link.delay_s, delays.get(other, 0.0))
    return delays


class RouteTable:
    """Finds the route of a host and path by the longest matching prefix."""

    def __init__(self, routes: tuple[Route, ...]) -> None:
        """Indexes the routes by host and prefix."""
        self._by_host: dict[str, dict[str, Route]] = {}
        self._longest = 0
        for route in routes:
            prefixes = self._by_host.setdefault(route.host.lower(), {})
            prefixes[route.path_prefix] = route
            self._longest = max(self._longest, len(route.path_prefix))

    def find(self, host: str, path: str) -> Route | None:
        """Returns the route, or None when none matches.

        Args:
            host: Host header, with or without a port.
            path: Path without a query.
        """
        prefixes = self._by_host.get(host.partition(":")[0].lower())
        if not prefixes:
            return None
        # Callers choose the path; one that is all slashes has thousands of
        # prefixes, but none of them is longer than the configured ones.
        end = path.rfind("/", 0, self._longest)
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None


def find_team(
    teams_by_key: Mapping[str, Team] | None, route: Route, key: str | None
) -> tuple[bool, Team | None]:
    """Returns whether a caller may use a route, and the caller's team if known.

    Args:
        teams_by_key: Teams by API key, or None if callers need no key.
        route: Route of the request.
        key: API key of the request, or None.
    """
    if teams_by_key is None:
        return True, None
    team = teams_by_key.get(key) if key is not None else None
    return route.public or team is not None, team


def allowed_regions(route: Route, team: Team | None) -> Regions:
    """Returns the regions whose upstreams a request may use.

    Where both the route and the team name regions, both bind.

    Args:
        route: Route of the request.
        team: Team of its API key, or None.
    """
    named = [
        frozenset(owner.allowed_regions)
        for owner in (route, team)
        if owner is not None and owner.allowed_regions
    ]
    return frozenset.intersection(*named) if named else None
