"""Tests of how entries report demand and agents apply it."""

import asyncio
import contextlib
import itertools
from collections.abc import AsyncIterator, Callable
from typing import NamedTuple

import msgspec
import pytest

from apricottrestle import (
    agent_events,
    agent_platform,
    demand,
    entry_platform,
    errors,
    platform_instances,
    platform_log,
)
from apricottrestle_standins import (
    instance_list,
    log_service,
    weight_store,
)
from tests import fake_log, notes
from tests import test_agent_daemon as daemons
from tests import test_entry_world as worlds

_HOST = "127.0.0.1"
_STREAM = "demand/savannah"
_TWO_MODELS = """
id = "second"
base = 1
[models.changed.m]
share = 2
[models.added.n]
version = "v1"
share = 1
[versions]
added = ["n@v1"]
"""


def _loops(
    world: worlds.World, log: platform_log.LogService
) -> entry_platform.PlatformLoops:
    row = platform_instances.InstanceRow(
        "e0", "entry", "savannah", "", "", "", "live"
    )
    # The client connects at its first use, and these tests don't use it.
    instances = platform_instances.HttpInstanceList(f"http://{_HOST}:1")
    entry = world.entry
    return entry_platform.PlatformLoops(
        entry.tables, log, instances, row, b"secret", entry.post
    )


def _reported(log: fake_log.FakeLog) -> list[demand.DemandRecord]:
    return [
        msgspec.json.decode(rec.data, type=demand.DemandRecord)
        for rec in log.streams[_STREAM]
    ]


def test_entry_reports_admitted_and_refused_requests() -> None:
    """Guards against missing demand because requests were refused."""
    world, log = worlds.World(), fake_log.FakeLog()
    loops = _loops(world, log)
    asyncio.run(loops.append_demand(0.0))
    admitted = world.entry.generate(prompt_tokens=10)
    refused = world.entry.generate(prompt_tokens=7, limit_s=0.001)
    assert refused.error is not None
    assert refused.error.code == "too_late"
    assert admitted.error is None
    asyncio.run(loops.append_demand(60.0))
    asyncio.run(loops.append_demand(125.0))
    assert _reported(log) == [
        demand.DemandRecord(60.0, {"m": 17}),
        demand.DemandRecord(65.0, {}),
    ]
    ids = [rec.record_id.split("/") for rec in log.streams[_STREAM]]
    assert [(name, seq) for name, _, seq in ids] == [("e0", "1"), ("e0", "2")]
    assert ids[0][1] == ids[1][1]


def test_entry_counts_a_resumed_request_once() -> None:
    """Guards against counting a request again when its caller reconnects."""
    world, log = worlds.World(), fake_log.FakeLog()
    loops = _loops(world, log)
    asyncio.run(loops.append_demand(0.0))
    first = world.entry.generate(prompt_tokens=10)
    world.run_until(lambda: bool(first.event_id))
    first.leave()
    second = world.entry.resume(first, prompt_tokens=10)
    world.run_until(lambda: bool(second.ends))
    asyncio.run(loops.append_demand(60.0))
    assert _reported(log) == [demand.DemandRecord(60.0, {"m": 10})]


@pytest.mark.parametrize(
    ("fault", "stored"),
    [
        (fake_log.ANSWER_LOST, [60.0, 60.0, 120.0]),
        (fake_log.NOT_STORED, [60.0, 120.0]),
        (fake_log.RATE_LIMITED, [60.0, 120.0]),
    ],
)
def test_entry_keeps_a_record_until_it_is_stored(
    fault: str, stored: list[float]
) -> None:
    """Guards against lost or duplicate demand after a failed append."""
    world, log = worlds.World(), fake_log.FakeLog()
    loops = _loops(world, log)
    asyncio.run(loops.append_demand(0.0))
    world.entry.generate(prompt_tokens=10)
    log.faults = [fault]
    with pytest.raises(errors.PlatformError):
        asyncio.run(loops.append_demand(60.0))
    world.entry.generate(prompt_tokens=5)
    asyncio.run(loops.append_demand(120.0))
    asyncio.run(loops.append_demand(180.0))
    assert [row.span_s for row in _reported(log)] == stored
    assert [row.tokens for row in _reported(log)[-2:]] == [
        {"m": 10},
        {"m": 5},
    ]
    ids = [rec.record_id for rec in log.streams[_STREAM]]
    assert len(set(ids)) == 2


class _FollowedAgent(NamedTuple):
    log: log_service.Log
    events: list[agent_events.Event]

    def models(self) -> list[str]:
        """Returns the models assigned, without consecutive duplicates.

        An agent ignores a repeated assignment.
        """
        models = [
            event.model
            for event in self.events
            if isinstance(event, agent_events.ModelAssigned)
        ]
        return [model for model, _ in itertools.groupby(models)]

    def request(self, model: str, first_seq: int) -> None:
        """Appends 20 minutes of demand for one model."""
        start = 10 * demand.EPOCH_S + first_seq * demand.REPORT_INTERVAL_S
        for minute in range(20):
            body = log_service.AppendBody(
                f"e/i/{first_seq + minute}", f'[60.0,{{"{model}":60000}}]'
            )
            self.log.append(_STREAM, body, start + minute * 60.0)


@contextlib.asynccontextmanager
async def _follow(
    prepare: Callable[[_FollowedAgent], None],
) -> AsyncIterator[_FollowedAgent]:
    """Runs the platform client of the only agent against stand-ins."""
    log = log_service.Log(log_service.LogSettings())
    weights = weight_store.WeightStore(weight_store.WeightSettings())
    listed = instance_list.InstanceList(instance_list.InstanceSettings())
    urls = {
        "log": f"http://{_HOST}:{log.start(_HOST, 0)}",
        "weights": f"http://{_HOST}:{weights.start(_HOST, 0)}",
        "instances": f"http://{_HOST}:{listed.start(_HOST, 0)}",
    }
    urls["upstream"] = urls["weights"]
    for name, note in (("first", notes.FIRST_NOTE), ("second", _TWO_MODELS)):
        log.append("release", log_service.AppendBody(name, note), 1.0)
    followed = _FollowedAgent(log, [])
    prepare(followed)
    cfg = daemons._settings("engine", urls)
    platform = agent_platform.AgentPlatform(cfg, "i", followed.events.append)
    with platform:
        # The agent gets the configuration first. Then only the rule that
        # placement waits for the first read of demand prevents an assignment
        # by configured shares alone.
        platform.execute(agent_events.ReadReleaseStream(1))
        await daemons._until(lambda: followed.events)
        running = asyncio.create_task(platform.run())
        try:
            yield followed
        finally:
            running.cancel()
            for standin in (log, weights, listed):
                standin.stop()


@pytest.mark.parametrize(
    ("model", "expected"), [("", "m"), ("m", "m"), ("n", "n"), ('"', "m")]
)
def test_agent_loads_the_model_in_demand_at_its_start(
    model: str, expected: str
) -> None:
    """Guards against loading one model at the start and then another one.

    In the last case, all records are malformed.
    """

    def prepare(followed: _FollowedAgent) -> None:
        if model:
            followed.request(model, 1)

    async def run() -> None:
        async with _follow(prepare) as followed:
            await daemons._until(followed.models)
            await asyncio.sleep(0.3)
            assert followed.models() == [expected]

    asyncio.run(run())


def test_agent_keeps_its_model_while_the_log_is_down(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against an outage that resets placement to configured shares."""
    monkeypatch.setattr(demand, "READ_INTERVAL_S", 0.05)

    async def run() -> None:
        async with _follow(
            lambda followed: followed.request("n", 1)
        ) as followed:
            await daemons._until(followed.models)
            followed.log.faults = log_service.LogFaults(read_outage=True)
            followed.request("m", 21)
            await asyncio.sleep(0.5)
            assert followed.models() == ["n"]
            followed.log.faults = log_service.LogFaults()
            await daemons._until(lambda: len(followed.models()) > 1)
            assert followed.models() == ["n", "m"]

    asyncio.run(run())
