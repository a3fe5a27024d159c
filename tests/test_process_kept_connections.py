"""Tests callers that come back at about the idle time of their connections."""

import asyncio

import pytest
from bench import kept_connections

pytestmark = pytest.mark.process


@pytest.mark.parametrize(
    ("config_s", "disturb"),
    [(0.0, False), (0.25, False), (0.25, True)],
    ids=["calm", "configurations", "reloads and idle times"],
)
def test_requests_that_were_read_are_answered(
    config_s: float, disturb: bool
) -> None:
    """Guards against requests whose connection is closed as idle.

    The configurations are large, so that applying one holds up the event loop.
    """
    result = asyncio.run(
        kept_connections.measure(
            kept_connections.Options(
                callers=100,
                length_s=4.0,
                idle_s=0.4,
                pause=True,
                config_s=config_s,
                spare_routes=1500,
                spare_teams=1400,
                disturb=disturb,
            )
        )
    )
    assert result.dropped == {}
    assert result.statuses[200] > 0
