"""Tests which broken connections count as crashes of engines."""

import asyncio

import pytest

from apricottrestle import errors
from apricottrestle.gateway import (
    calls,
    crash_evidence,
    crash_guard,
    crash_store,
)
from apricottrestle_standins.platform import (
    virtual_store,
    virtual_time,
    virtual_upstreams,
    workload,
    world,
)
from tests import gateway_parts

BAD = crash_evidence.Suspect(("first", "bad"), True)


class _Client(virtual_upstreams.VirtualUpstreams):
    def __init__(self, result: calls.ProbeResult) -> None:
        super().__init__({}, {}, "", 0.0)
        self.probes = 0
        self._result = result

    async def probe(
        self, upstream_id: str, address: str, started_at_ms: int
    ) -> calls.ProbeResult:
        self.probes += 1
        await asyncio.sleep(0.002)
        return self._result


@pytest.mark.parametrize(
    ("result", "is_listed", "crashes"),
    [
        ("running", True, 0),
        ("running", False, 0),
        ("ended", True, 3),
        ("unknown", True, 0),
        ("unknown", False, 3),
    ],
)
def test_only_ended_engines_count_as_crashed(
    result: calls.ProbeResult, is_listed: bool, crashes: int
) -> None:
    """Guards against blaming prompts for lost answers, resets and cut links.

    An engine that can't be asked has crashed if its list entry is removed.
    """

    async def main() -> tuple[crash_guard.CrashGuard, _Client, list[str]]:
        client = _Client(result)
        guard = crash_guard.CrashGuard(client)
        told: list[str] = []
        guard.on_changed = told.extend
        for number in range(3):
            name = f"engine-{number}"
            guard.connection_lost(name, "x", 7, BAD)
            guard.connection_lost(name, "x", 7, BAD)
            await asyncio.sleep(1.0)
            if not is_listed:
                guard.upstream_ended(name)
            # Another request notices the end of the engine later.
            guard.connection_lost(
                name, "x", 7, crash_evidence.Suspect(("late",), False)
            )
            await asyncio.sleep(1.0)
        return guard, client, told

    guard, client, told = virtual_time.run(main())
    reports = guard.evidence.reports(0.0)
    assert len(reports) == crashes
    assert (guard.verdict_on(_request(*BAD.parts)) is not None) == (crashes > 2)
    assert set(told) == {report.crash_id for report in reports}
    assert client.probes == (3 if result != "running" else 6)
    for report in reports:
        assert len(report.suspects) == 2


def _request(*parts: str) -> calls.CallerRequest:
    return gateway_parts.request(shared_parts=parts)


def test_sound_part_of_a_reported_crash_is_told_to_peers() -> None:
    """Guards against peers that refuse a part known to be sound here."""
    guard = crash_guard.CrashGuard(_Client("ended"))
    told: list[str] = []
    guard.on_changed = told.extend

    async def main() -> None:
        guard.answer_begun(_request("first"))
        guard.merge(
            [crash_evidence.CrashReport("c1", 0.0, (BAD,))], "gateway-2"
        )

    virtual_time.run(main())
    assert told == ["c1"]
    assert guard.evidence.reports(0.0)[0].sound == ("first",)


class _FailingStore(virtual_store.VirtualStore):
    """Fails each call a number of times."""

    def __init__(self, log: virtual_store.SharedLog, failures: int) -> None:
        super().__init__(log)
        self.failures_left = failures

    async def _simulate_response(self) -> None:
        await asyncio.sleep(0.004)
        if self.failures_left:
            self.failures_left -= 1
            raise errors.PlatformError("503", step="save", peer="store")


@pytest.mark.parametrize("failures", [0, 3])
def test_crashes_of_a_verdict_are_saved_until_it_is_withdrawn(
    failures: int,
) -> None:
    """Guards against verdicts that end with the gateways that found them."""

    async def main() -> tuple[list[str], list[str]]:
        log = virtual_store.SharedLog()
        guard = crash_guard.CrashGuard(_Client("ended"))
        saver = crash_store.CrashStore(
            _FailingStore(log, failures), guard, lambda: True
        )
        saver.start()
        for number in range(crash_store.MAX_SAVED_PER_VERDICT + 5):
            guard.merge(
                [crash_evidence.CrashReport(f"c{number:02}", 0.0, (BAD,))],
                "gateway-2",
            )
        await _tick(saver)
        saved = sorted(log.crashes)
        guard.answer_begun(_request(*BAD.parts))
        await _tick(saver)
        saver.stop()
        return saved, sorted(log.crashes)

    async def _tick(saver: crash_store.CrashStore) -> None:
        for _ in range(60):
            saver.tick()
            await asyncio.sleep(0.1)

    saved, left = virtual_time.run(main())
    assert len(saved) == crash_store.MAX_SAVED_PER_VERDICT
    assert left == []


def test_crashes_by_trials_are_saved_before_others() -> None:
    """Guards against a verdict that a restart of all gateways opens again."""
    trials = {"c8", "c9"}

    async def main() -> list[crash_evidence.Verdict]:
        log = virtual_store.SharedLog()
        for is_first in (True, False):
            guard = crash_guard.CrashGuard(_Client("ended"))
            saver = crash_store.CrashStore(
                virtual_store.VirtualStore(log), guard, lambda: True
            )
            saver.start()
            for number in range(20 if is_first else 0):
                name = f"c{number}"
                suspect = BAD._replace(on_trial=name in trials)
                guard.merge(
                    [crash_evidence.CrashReport(name, 0.0, (suspect,))],
                    "gateway-2",
                )
            for _ in range(60):
                saver.tick()
                await asyncio.sleep(0.1)
            saver.stop()
        return guard.evidence.verdicts

    (verdict,) = virtual_time.run(main())
    assert len(verdict.crash_ids) == crash_store.MAX_SAVED_PER_VERDICT
    assert set(verdict.failed_trials) == trials


@pytest.mark.parametrize("outage", [False, True])
def test_verdict_survives_the_restart_of_all_gateways(outage: bool) -> None:
    """Guards against engines lost anew after a restart of the fleet.

    With an outage, the store fails until shortly before the restart.
    """
    site = workload.SITES["zimska-trgatev"]
    parts = ("first", "bad")

    async def main() -> list[bool]:
        fleet = world.World(site, 1)
        await asyncio.sleep(world.WARM_UP_S)
        for row in fleet.gateways.values():
            row.store.fault = "refuse" if outage else ""
        guard = fleet.gateways["gateway-1"].node.core.crashes
        for engine in fleet.engines[:3]:
            guard.connection_lost(engine.upstream_id, engine.address, 0, BAD)
        await asyncio.sleep(1.0)
        for row in fleet.gateways.values():
            row.store.fault = ""
        await asyncio.sleep(2.0)
        known = [
            row.node.core.crashes.verdict_on(_request(*parts)) is not None
            for row in fleet.gateways.values()
        ]
        for address in list(fleet.gateways):
            fleet.kill_gateway(address)
        await asyncio.sleep(0.5)
        for number in range(site.gateways):
            fleet.start_gateway(number)
        await asyncio.sleep(1.0)
        known += [
            row.node.core.crashes.verdict_on(_request(*parts)) is not None
            for row in fleet.gateways.values()
        ]
        for address in list(fleet.gateways):
            fleet.kill_gateway(address)
        return known

    assert virtual_time.run(main()) == [True] * (2 * site.gateways)
