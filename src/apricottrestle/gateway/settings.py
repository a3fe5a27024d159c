"""Settings of a gateway."""

import types
from collections.abc import Mapping
from typing import NamedTuple

from apricottrestle import memory_account


class GatewaySettings(NamedTuple):
    """Settings of a gateway, provided by the platform it runs on.

    Attributes:
        instance_id: Id of this instance.
        data_centre: Data centre of this instance.
        callers: "ip:port" to listen on for callers.
        ready: "ip:port" to listen on for the readiness check.
        ops: "ip:port" to serve health and metrics to operators; empty to
            disable.
        metrics: "ip:port" to serve metrics to the platform; empty to disable.
        peers: "ip:port" to listen on for other gateways.
        seeds: Addresses of gateways to connect to besides those in the store.
        grace_s: Time from a stop signal to the end of the process.
        retry_share: Retries that each request adds to the fleet's retry budget.
        retry_window_s: Sliding window over which the budget is counted.
        retry_slack: Retries per window that the fleet's budget always allows.
        memory_free_s: Time within which engine memory that is reserved but no
            longer used must be released.
        reservation_max_s: Longest time for which an engine reserves memory.
        upstream_lease_s: Time without renewal after which the store removes the
            entry of an upstream.
        regions: Region of each data centre; needed only if the configuration
            names allowed regions.
        cold_overrun: Factor on the requests per second to a cold upstream up to
            which it doesn't crash.
        cold_slack: Requests per second that it takes on top.
        memory_mb: Memory of the machine, in MB.
        max_fds: Descriptors that the process may open.
    """

    instance_id: str
    data_centre: str
    callers: str
    ready: str
    ops: str
    metrics: str
    peers: str
    seeds: tuple[str, ...]
    grace_s: float
    retry_share: float
    retry_window_s: float
    retry_slack: float
    memory_free_s: float
    reservation_max_s: float
    upstream_lease_s: float = 3.6
    regions: Mapping[str, str] = types.MappingProxyType({})
    cold_overrun: float = 1.0
    cold_slack: float = 0.0
    memory_mb: float = memory_account.DEFAULT_MEMORY_MB
    max_fds: int = memory_account.DEFAULT_MAX_FDS
