"""Tests which upstreams get requests, from their entries in the store."""

import hypothesis
import pytest
from hypothesis import strategies

from apricottrestle.gateway import upstream_list
from tests import gateway_parts

READY = gateway_parts.entry("up-1")
DRAINING = READY._replace(draining=True)
LEASE_S = 3.6
RESTARTED = READY._replace(started_at_ms=2)


def _known(now: float = 0.0) -> upstream_list.Membership:
    members = upstream_list.Membership(LEASE_S)
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
        ([DRAINING, RESTARTED], ["up-1"]),
        ([None], []),
        ([None, READY], ["up-1"]),
        ([RESTARTED, READY._replace(draining=True)], ["up-1"]),
    ],
)
def test_entries_decide_which_upstreams_are_usable(
    records: list[upstream_list.UpstreamEntry | None], usable: list[str]
) -> None:
    """Guards against requests to draining upstreams, and losing ready ones."""
    members = _known()
    for record in records:
        members.apply([("up-1", record)], 0.1)
    assert _ids(members) == usable


def test_entries_that_lapse_in_an_outage_stay_for_the_grace_period() -> None:
    """Guards against losing all upstreams when the store was down.

    Entries expire in an outage, as live upstreams can't renew them.
    """
    members = _known()
    recovered_at = upstream_list.STORE_OUTAGE_MIN_S + 3.0
    members.apply([("up-1", None)], recovered_at)
    assert _ids(members) == ["up-1"]
    members.expire(recovered_at + upstream_list.LAPSED_GRACE_S - 0.01)
    assert _ids(members) == ["up-1"]
    members.expire(recovered_at + upstream_list.LAPSED_GRACE_S)
    assert _ids(members) == []


def test_lapsed_entry_that_returns_stays() -> None:
    """Guards against dropping an upstream that renewed its lapsed entry."""
    members = _known()
    recovered_at = upstream_list.STORE_OUTAGE_MIN_S + 3.0
    members.apply([("up-1", None), ("up-1", READY)], recovered_at)
    members.expire(recovered_at + 10.0)
    assert _ids(members) == ["up-1"]


def test_draining_entry_does_not_lapse_into_use() -> None:
    """Guards against requests to an upstream that drained in an outage."""
    members = _known()
    recovered_at = upstream_list.STORE_OUTAGE_MIN_S + 3.0
    members.apply([("up-1", DRAINING), ("up-1", None)], recovered_at)
    assert _ids(members) == []


def test_listing_after_lost_history_drops_missing_upstreams() -> None:
    """Guards against keeping an upstream whose removal wasn't read."""
    members = _known()
    other = gateway_parts.entry("up-2")
    members.replace([other], 0.5)
    assert _ids(members) == ["up-2"]


def test_list_from_a_peer_does_not_replace_known_entries() -> None:
    """Guards against a peer's old entry that replaces a newer one."""
    members = _known()
    members.apply([("up-1", DRAINING)], 0.1)
    members.merge_peer_entries([READY, gateway_parts.entry("up-2")])
    assert _ids(members) == ["up-2"]


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from(["ready", "drain", "restart", "remove"]),
            strategies.floats(0.05, 3.0),
        ),
        max_size=30,
    )
)
def test_draining_upstream_stays_unused_until_it_restarts(
    steps: list[tuple[str, float]],
) -> None:
    """Guards against using a draining upstream after any order of records."""
    members = _known()
    now = 0.0
    start_ms = 1
    draining = False
    for step, pause_s in steps:
        now += pause_s
        entry = READY._replace(started_at_ms=start_ms)
        if step == "restart":
            start_ms += 1
            draining = False
            members.apply(
                [("up-1", READY._replace(started_at_ms=start_ms))], now
            )
        elif step == "drain":
            draining = True
            members.apply([("up-1", entry._replace(draining=True))], now)
        elif step == "ready" and not draining:
            members.apply([("up-1", entry)], now)
        elif step == "remove":
            members.apply([("up-1", None)], now)
        members.expire(now)
        if draining:
            assert _ids(members) == []


HELD_S = LEASE_S + upstream_list.HELD_BACK_MARGIN_S


@pytest.mark.parametrize(
    ("after_s", "records", "usable"),
    [
        pytest.param(HELD_S - 0.01, [], [], id="held back"),
        pytest.param(HELD_S + 0.01, [], ["up-1"], id="still listed"),
        pytest.param(0.1, [READY], ["up-1"], id="written again"),
        pytest.param(0.1, [DRAINING], [], id="drains again"),
        pytest.param(HELD_S, [None], [], id="removed again"),
        pytest.param(HELD_S, [DRAINING], [], id="drains, still listed"),
        pytest.param(0.1, [RESTARTED], ["up-1"], id="restarted"),
    ],
)
def test_upstream_that_left_is_held_back_after_a_return(
    after_s: float,
    records: list[upstream_list.UpstreamEntry | None],
    usable: list[str],
) -> None:
    """Guards against using an upstream that only a copy still lists."""
    members = _known()
    members.apply([("up-1", DRAINING)], 0.1)
    members.apply([("up-1", None)], 0.2)
    members.begin_history(0.3)
    members.replace([READY], 0.3, copied=True)
    assert _ids(members) == []
    members.apply([("up-1", record) for record in records], 0.4)
    members.expire(0.3 + after_s)
    assert _ids(members) == usable


@pytest.mark.parametrize(
    ("left_s_ago", "listed", "usable"),
    [
        (1.0, READY, []),
        (1.0, RESTARTED, ["up-1"]),
        (upstream_list.DEPARTED_KEPT_S, READY, ["up-1"]),
    ],
)
def test_departures_are_remembered_by_start_and_for_a_while(
    left_s_ago: float, listed: upstream_list.UpstreamEntry, usable: list[str]
) -> None:
    """Guards against holding back a new process, and against old memories."""
    members = _known()
    members.apply([("up-1", None)], 0.2)
    members.expire(0.2 + left_s_ago)
    members.replace([listed], 0.2 + left_s_ago, copied=True)
    assert _ids(members) == usable


def test_remembered_departures_are_bounded() -> None:
    """Guards against a table that grows with each upstream that ever left."""
    members = _known()
    for number in range(upstream_list.MAX_DEPARTED + 5):
        name = f"up-{number + 2}"
        members.apply([(name, gateway_parts.entry(name))], 0.1)
        members.apply([(name, None)], 0.1)
    listing = [
        gateway_parts.entry(f"up-{number + 2}")
        for number in (0, upstream_list.MAX_DEPARTED + 4)
    ]
    members.replace(listing, 0.2, copied=True)
    assert _ids(members) == ["up-2"]


def test_second_return_holds_back_for_longer() -> None:
    """Guards against a second copy that ends the wait after the first."""
    members = _known()
    members.apply([("up-1", None)], 0.2)
    members.replace([READY], 1.0, copied=True)
    members.replace([READY], 4.0, copied=True)
    members.expire(1.0 + HELD_S)
    assert _ids(members) == []
    members.expire(4.0 + HELD_S)
    assert _ids(members) == ["up-1"]


@pytest.mark.parametrize("state", ["listed", "differs", "missing", "new"])
def test_differences_lead_to_the_listing(state: str) -> None:
    """Guards against peers whose list differs from the reader's."""
    other = gateway_parts.entry("up-2")
    listing = {
        "listed": [READY],
        "differs": [DRAINING],
        "missing": [],
        "new": [READY, other],
    }[state]
    reader, peer = _known(), _known()
    changes = reader.differences(listing)
    assert bool(changes) is (state != "listed")
    reader.replace(listing, 0.5, copied=True)
    peer.apply(changes, 0.5, copied=True)
    assert reader.entries() == peer.entries()


EARLIER = READY._replace(address="127.0.0.1:2", started_at_ms=1)
KNOWN = READY._replace(started_at_ms=5)
"""The start that is known, and one whose clock has gone back."""


@pytest.mark.parametrize(
    ("records", "address", "usable"),
    [
        pytest.param([EARLIER], KNOWN.address, True, id="one record"),
        pytest.param(
            [EARLIER, EARLIER], EARLIER.address, True, id="two records"
        ),
        pytest.param(
            [EARLIER, KNOWN, EARLIER], KNOWN.address, True, id="in between"
        ),
        pytest.param(
            [EARLIER, KNOWN, EARLIER, EARLIER, KNOWN],
            KNOWN.address,
            True,
            id="believed, and then the known one again",
        ),
        pytest.param(
            [EARLIER, EARLIER._replace(draining=True)],
            None,
            False,
            id="leaves",
        ),
        pytest.param(
            [EARLIER, EARLIER, EARLIER._replace(draining=True), EARLIER],
            None,
            False,
            id="leaves, and a delayed record",
        ),
        pytest.param(
            [KNOWN._replace(draining=True), EARLIER],
            None,
            False,
            id="known one leaves, one record",
        ),
        pytest.param(
            [KNOWN._replace(draining=True), EARLIER, EARLIER],
            EARLIER.address,
            True,
            id="known one leaves, two records",
        ),
    ],
)
def test_start_with_an_earlier_clock_is_believed(
    records: list[upstream_list.UpstreamEntry],
    address: str | None,
    usable: bool,
) -> None:
    """Guards against an upstream that is taken for its own past for good."""
    members = upstream_list.Membership(LEASE_S)
    members.replace([KNOWN], 0.0)
    for number, record in enumerate(records):
        members.apply([("up-1", record)], 0.1 * number)
    assert bool(_ids(members)) == usable
    entry = members.get("up-1")
    assert (entry.address if entry else None) == address


@pytest.mark.parametrize("copied", [False, True])
def test_whole_list_settles_which_start_is_present(copied: bool) -> None:
    """Guards against an earlier start in a list that isn't a copy."""
    members = upstream_list.Membership(LEASE_S)
    members.replace([KNOWN], 0.0)
    changes = members.replace([EARLIER], 1.0, copied=copied)
    assert [change.restarted for change in changes] == [True] * (not copied)
    assert members.entries() == [KNOWN if copied else EARLIER]
