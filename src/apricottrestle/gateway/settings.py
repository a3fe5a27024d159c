"""Settings of a gateway process."""

from typing import NamedTuple


class GatewaySettings(NamedTuple):
    """Settings that a gateway gets from the platform it runs on.

    Attributes:
        instance_id: Id of this instance.
        data_centre: Its data centre.
        callers: "ip:port" for callers.
        ready: "ip:port" for the readiness check.
        ops: "ip:port" for operators: health and metrics; or empty.
        metrics: "ip:port" where the platform reads metrics.
        peers: "ip:port" of the socket for other gateways.
        seeds: Peer addresses to try while the store gives none.
        grace_s: Time between the notice of a stop and its end.
        retry_share: Retries that each request earns the whole fleet.
        retry_window_s: Time over which retries are counted.
        retry_slack: Retries per window that the whole fleet has besides.
        memory_free_s: Time within which engines' unused memory must be free.
        reservation_max_s: Longest time an engine sets memory aside.
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
