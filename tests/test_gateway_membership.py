"""Guards the list of upstreams: leaving, lapsing and returning ones."""

import hypothesis
import pytest
from hypothesis import strategies

from apricottrestle.gateway import upstream_list
from tests import gateway_parts

READY = gateway_parts.entry("up-1")
DRAINING = READY._replace(draining=True)
REBORN = READY._replace(started_at_ms=2)


def _known(now: float = 0.0) -> upstream_list.Membership:
    members = upstream_list.Membership()
    members.replace([READY], now)
    return members


def _ids(members: upstream_list.Membership) -> list[str]:
    return [entry.upstream_id for entry in members.usable("engines")]


@pytest.mark.parametrize(
    ("records", "usable"),
    [
        ([READY], ["up-1"]),
        ([DRAINING], []),
        ([DRAINING, READY], []),
        ([DRAINING, REBORN], ["up-1"]),
        ([None], []),
        ([None, READY], ["up-1"]),
        ([REBORN, READY._replace(draining=True)], ["up-1"]),
    ],
)
def test_records_decide_who_gets_work(
    records: list[upstream_list.UpstreamEntry | None], usable: list[str]
) -> None:
    """Guards against work for a leaving upstream, and against losing one."""
    members = _known()
    for record in records:
        members.apply([("up-1", record)], 0.1)
    assert _ids(members) == usable


def test_entries_that_lapse_in_an_outage_stay_for_the_grace_period() -> None:
    """Guards against losing all upstreams because the store was away."""
    members = _known()
    back = upstream_list.STORE_OUTAGE_MIN_S + 3.0
    members.apply([("up-1", None)], back)
    assert _ids(members) == ["up-1"]
    members.expire(back + upstream_list.LAPSED_GRACE_S - 0.01)
    assert _ids(members) == ["up-1"]
    members.expire(back + upstream_list.LAPSED_GRACE_S)
    assert _ids(members) == []


def test_lapsed_entry_that_returns_stays() -> None:
    """Guards against dropping an upstream that renewed its entry."""
    members = _known()
    back = upstream_list.STORE_OUTAGE_MIN_S + 3.0
    members.apply([("up-1", None), ("up-1", READY)], back)
    members.expire(back + 10.0)
    assert _ids(members) == ["up-1"]


def test_draining_entry_does_not_lapse_into_use() -> None:
    """Guards against new work for an upstream that drained in an outage."""
    members = _known()
    back = upstream_list.STORE_OUTAGE_MIN_S + 3.0
    members.apply([("up-1", DRAINING), ("up-1", None)], back)
    assert _ids(members) == []


def test_listing_after_lost_history_drops_what_is_missing() -> None:
    """Guards against an upstream whose removal was in the lost records."""
    members = _known()
    other = gateway_parts.entry("up-2")
    members.replace([other], 0.5)
    assert _ids(members) == ["up-2"]


def test_peers_list_fills_only_what_is_unknown() -> None:
    """Guards against a peer's old entry that replaces a newer one."""
    members = _known()
    members.apply([("up-1", DRAINING)], 0.1)
    members.merge_peer_entries([READY, gateway_parts.entry("up-2")])
    assert _ids(members) == ["up-2"]


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from(["ready", "drain", "reborn", "remove"]),
            strategies.floats(0.05, 3.0),
        ),
        max_size=30,
    )
)
def test_a_notice_to_leave_holds_until_the_next_start(
    steps: list[tuple[str, float]],
) -> None:
    """Guards against any order of records that brings a leaving one back."""
    members = _known()
    now = 0.0
    born = 1
    leaving = False
    for what, pause_s in steps:
        now += pause_s
        entry = READY._replace(started_at_ms=born)
        if what == "reborn":
            born += 1
            leaving = False
            members.apply([("up-1", READY._replace(started_at_ms=born))], now)
        elif what == "drain":
            leaving = True
            members.apply([("up-1", entry._replace(draining=True))], now)
        elif what == "ready" and not leaving:
            members.apply([("up-1", entry)], now)
        elif what == "remove":
            members.apply([("up-1", None)], now)
        members.expire(now)
        if leaving:
            assert _ids(members) == []
