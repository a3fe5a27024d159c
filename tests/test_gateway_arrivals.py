"""Tests which requests a stopping gateway waits for while they arrive."""

import math
import random
from typing import Any, cast

import pytest

from apricottrestle.gateway import accept, calls, clock, gateway, settings
from apricottrestle_standins.platform import virtual_time
from tests import gateway_parts

GRACE_S = 7.6
ESTIMATE_S = 2.8
CFG = settings.GatewaySettings(
    "g-1", "dc-1", "", "", "", "", "", (), 8.0, 0.2, 10.0, 100.0, 4.0, 20.0
)


def _head(path: str, time_left_s: float | None) -> calls.RequestHead:
    return calls.RequestHead(
        "request-1", path, "fleet.example", "key-a", 100, time_left_s
    )


SHORT_LIMIT = _head("/lookup/x", 1.0)
LONG_LIMIT = _head("/short/x", 9.0)
NO_LIMIT = _head("/short/x", None)
NO_ROUTE = _head("/none/x", None)


@pytest.mark.parametrize(
    ("head", "silent_s", "since_stop_s", "leaves_to_peers", "refused"),
    [
        (LONG_LIMIT, 5.0, -math.inf, False, False),
        (LONG_LIMIT, 0.0, 0.0, False, False),
        (LONG_LIMIT, 0.9, 2.7, False, False),
        (None, 0.0, 2.7, False, False),
        (LONG_LIMIT, 1.0, 0.0, False, True),
        (None, 1.0, 0.0, False, True),
        (SHORT_LIMIT, 0.0, 2.7, True, True),
        (SHORT_LIMIT, 0.0, 2.9, False, False),
        (SHORT_LIMIT, 0.0, 6.5, False, False),
        (SHORT_LIMIT, 0.0, 6.7, False, True),
        (LONG_LIMIT, 0.0, 2.9, False, True),
        (NO_LIMIT, 0.0, 2.9, False, True),
        (NO_ROUTE, 0.0, 2.9, False, True),
        (None, 0.0, 2.9, False, True),
    ],
)
def test_stop_waits_only_for_requests_that_it_could_serve(
    head: calls.RequestHead | None,
    silent_s: float,
    since_stop_s: float,
    leaves_to_peers: bool,
    refused: bool,
) -> None:
    """Guards against stops that drop, or wait for, what still arrives."""

    async def main() -> calls.Refusal | None:
        core = gateway.Gateway(CFG, cast(Any, None), random.Random(1), "i-1")
        core.state.compiled = accept.compile_config(gateway_parts.config())
        if not math.isinf(since_stop_s):
            stopped_at = clock.now() - since_stop_s
            core.begin_stop(stopped_at + GRACE_S, stopped_at + ESTIMATE_S)
        core.stopping = leaves_to_peers
        return core.check_arrival(calls.Arrival(head, silent_s))

    refusal = virtual_time.run(main())
    assert (refusal is not None) == refused
    if refusal is not None:
        assert (refusal.status, refusal.reason) == (503, "stopping")
        assert refusal.retry_after_s is not None
