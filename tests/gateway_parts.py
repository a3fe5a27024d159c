"""Sample requests, configurations and upstream entries for gateway tests."""

import time
from typing import Any

from apricottrestle.gateway import calls, fleet_config, upstream_list

ENGINE = fleet_config.EngineCostModel(
    slots=8,
    kv_tokens=315_000,
    step_s=0.85e-3,
    step_per_run_s=0.0085e-3,
    step_per_context_token_s=0.00285e-6,
    prefill_tokens_per_s=177_000.0,
    prefill_pair_s=0.184e-9,
    chunk_tokens=2048,
    steps_per_pass=51,
    hop_s=0.05e-3,
)
"""The example cost model of the platform's documentation."""

STREAM = fleet_config.Route(
    name="short",
    host="fleet.example",
    path_prefix="/short/",
    kind="stream",
    timeout_s=10.0,
    target_s=0.25,
    event_gap_target_s=0.25,
    priority=0,
    targets=(fleet_config.RouteTarget("engines", 1.0),),
    max_attempts=2,
    public=False,
    resumable=True,
)
SAFE = STREAM._replace(
    name="lookup",
    path_prefix="/lookup/",
    kind="safe",
    timeout_s=1.0,
    event_gap_target_s=0.0,
    targets=(fleet_config.RouteTarget("plain", 1.0),),
    resumable=False,
)
UNSAFE = SAFE._replace(
    name="order", path_prefix="/order/", kind="unsafe", max_attempts=1
)
MEMORY_FREE_S = 4.0
"""Time in which unused memory must be released, by the platform's
documentation."""

LIMITS = fleet_config.CallerLimits(16_384, 4 * 1024 * 1024, 3.0, 15.0)


def config(version: int = 1, **changes: Any) -> fleet_config.FleetConfig:
    """Returns a configuration with one route of each kind."""
    return fleet_config.FleetConfig(
        version,
        (STREAM, SAFE, UNSAFE),
        {
            "engines": fleet_config.Service("engines", 400, ENGINE),
            "plain": fleet_config.Service("plain", 100, None),
        },
        LIMITS,
        {"key-a": fleet_config.Team("team-a", None)},
    )._replace(**changes)


def entry(upstream_id: str, **changes: Any) -> upstream_list.UpstreamEntry:
    """Returns the upstream list entry of a ready engine."""
    return upstream_list.UpstreamEntry(
        upstream_id, "engines", "127.0.0.1:1", "dc-1", False, 8, 0.0, 1
    )._replace(**changes)


def request(path: str = "/short/x", **changes: Any) -> calls.CallerRequest:
    """Returns a request with a valid API key."""
    return calls.CallerRequest(
        "request-1",
        "POST",
        path,
        "fleet.example",
        (("Apricottrestle-Model", "m"),),
        b"prompt",
        "key-a",
        10.0,
        time.monotonic(),
        None,
        calls.PromptSize(5_000, 1_600, 1_600),
    )._replace(**changes)
