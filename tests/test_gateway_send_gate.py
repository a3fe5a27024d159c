"""Tests which upstreams may get requests, in tables."""

import math

import pytest

from apricottrestle.gateway import (
    cold_upstreams,
    evacuations,
    send_gate,
    upstream_limits,
    upstream_list,
    upstream_notices,
)
from tests import gateway_parts

UPSTREAMS = {"a1": "a", "a2": "a", "b1": "b", "c1": "c", "x1": ""}
"""Data centre of each upstream."""


class _Parts:
    """A gate with an upstream of each name, and the tables it reads."""

    def __init__(self, *evacuated: str) -> None:
        self.members = upstream_list.Membership(3.6)
        self.members.replace(
            [
                gateway_parts.entry(upstream_id, data_centre=data_centre)
                for upstream_id, data_centre in UPSTREAMS.items()
            ],
            0.0,
        )
        self.evacuated = evacuations.EvacuationTable()
        self._reads = 0
        self.evacuate(*evacuated)
        self.notices = upstream_notices.UpstreamNotices()
        self.gate = send_gate.SendGate(
            upstream_limits.UpstreamLimits("own"),
            self.notices,
            cold_upstreams.ColdUpstreams("own", 1.0, 0.0),
            self.members,
            self.evacuated,
            lambda _upstream_id: 0,
        )

    def evacuate(self, *names: str) -> None:
        """Evacuates exactly these data centres, by a later read."""
        self._reads += 1
        stamp = evacuations.Stamp(self._reads, 0)
        self.evacuated.apply_read(
            [evacuations.Record(name, stamp, True) for name in names],
            evacuations.Stamp(self._reads, 1),
            0.0,
            whole=True,
        )

    def entry(self, upstream_id: str) -> upstream_list.UpstreamEntry:
        entry = self.members.get(upstream_id)
        assert entry is not None
        return entry


def _ids(entries: list[upstream_list.UpstreamEntry]) -> set[str]:
    return {entry.upstream_id for entry in entries}


@pytest.mark.parametrize(
    ("evacuated", "left"),
    [
        ([], {"a1", "a2", "b1", "c1", "x1"}),
        (["a"], {"b1", "c1", "x1"}),
        (["a", "b"], {"c1", "x1"}),
        (["a", "b", "c"], {"x1"}),
        (["a", "b", "c", ""], set()),
        # Without upstreams, or unknown.
        (["d"], {"a1", "a2", "b1", "c1", "x1"}),
        (["A", "a ", "a1"], {"a1", "a2", "b1", "c1", "x1"}),
    ],
)
def test_upstreams_of_evacuated_data_centres_get_nothing(
    evacuated: list[str], left: set[str]
) -> None:
    """Guards against a way to an upstream that ignores the evacuation."""
    parts = _Parts(*evacuated)
    gate = parts.gate
    assert _ids(gate.usable("engines", None, 1.0)) == left
    assert _ids(gate.allowed("engines", None, 1.0)) == left
    assert {
        upstream_id
        for upstream_id in UPSTREAMS
        if gate.may_send(parts.entry(upstream_id), None, 1.0)
    } == left
    # Nothing to wait for: requests are refused at once.
    assert gate.wait_s("engines", None, 1.0) == 0.0
    assert gate.queue_wait_s("engines", None, 9, 1, 1.0) == 0.0
    expected = (
        send_gate.NO_UPSTREAM if left == {*UPSTREAMS} else (send_gate.EVACUATED)
    )
    assert gate.refusal_reason("engines", None) == expected
    assert gate.refusal_reason("plain", None) == send_gate.NO_UPSTREAM


def test_end_of_an_evacuation_is_in_force_at_once() -> None:
    """Guards against upstreams that stay out of use."""
    parts = _Parts("a")
    parts.evacuate("b")
    assert _ids(parts.gate.allowed("engines", None, 1.0)) == {
        "a1",
        "a2",
        "c1",
        "x1",
    }
    parts.evacuate()
    assert _ids(parts.gate.allowed("engines", None, 1.0)) == {*UPSTREAMS}


def test_notices_of_other_data_centres_still_count() -> None:
    """Guards against an evacuation that replaces other reasons."""
    parts = _Parts("a")
    parts.notices.observe("b1", 1, 0.0, leaves=True, wait_s=None)
    parts.notices.observe("c1", 1, 0.0, leaves=False, wait_s=5.0)
    assert _ids(parts.gate.usable("engines", None, 1.0)) == {"c1", "x1"}
    assert _ids(parts.gate.allowed("engines", None, 1.0)) == {"x1"}
    parts.evacuate("a", "")
    assert parts.gate.wait_s("engines", None, 1.0) == pytest.approx(4.0)
    assert not math.isinf(parts.gate.queue_wait_s("engines", None, 0, 1, 1.0))
