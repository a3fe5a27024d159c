"""Tests of the questions whether an upstream is still running."""

import asyncio

import pytest

from apricottrestle.gateway import calls, exchange_host, gateway
from apricottrestle_standins.platform import virtual_time, workload, world


@pytest.mark.parametrize(
    ("answers", "result"),
    [
        (["running"], "running"),
        (["unknown", "ended"], "ended"),
        (["unknown", "unknown", "running"], "running"),
        (["unknown"] * gateway.MAX_PROBES, "unknown"),
    ],
)
def test_question_is_repeated_until_it_is_answered(
    answers: list[calls.ProbeResult],
    result: calls.ProbeResult,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against taking a reset of a killed process for no answer.

    Its kernel accepts the first question, before it closes the socket that
    listens.
    """
    left = list(answers)

    async def main() -> list[calls.ProbeResult]:
        fleet = world.World(workload.SITES["zimska-trgatev"], 1)
        row = fleet.gateways["gateway-0"]

        async def probe(*_args: object) -> calls.ProbeResult:
            return left.pop(0)

        monkeypatch.setattr(row.upstreams, "probe", probe)
        results: list[calls.ProbeResult] = []
        attempt = exchange_host.Attempt("e", "127.0.0.1:1", "r", 0.0, 0.1)
        row.node.core.probe_upstream(attempt, results.append)
        await asyncio.sleep(gateway.MAX_PROBES * gateway.PROBE_PAUSE_S + 0.1)
        fleet.kill_gateway("gateway-0")
        return results

    assert virtual_time.run(main()) == [result]
    assert left == []
