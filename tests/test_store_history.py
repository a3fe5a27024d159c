"""Tests answers of the store from before and after its return from a copy."""

import asyncio
import random
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec
import pytest

from apricottrestle import errors
from apricottrestle.gateway import (
    fleet_config,
    fleet_state,
    store,
    store_history,
    store_sync,
    upstream_list,
)
from apricottrestle.platform import store_client
from apricottrestle_standins.platform import store_http, virtual_store
from tests import async_helpers, gateway_parts

TWO_NEW = ["new", "new"]


@pytest.mark.parametrize(
    ("answers", "kinds", "current"),
    [
        ([(1, -1), (1, 1)], ["new", "present"], 1),
        ([(1, -1), (2, 1), (2, 2)], ["new", "new", "present"], 2),
        # A call of before the return is answered after a call of after it.
        ([(1, -1), (2, 1), (1, 1), (2, 2)], [*TWO_NEW, "late", "present"], 2),
        # Two calls of the start, answered in the wrong order.
        ([(2, -1), (1, -1)], ["new", "late"], 2),
        # The store counts its histories anew.
        ([(5, -1), (1, 5), (1, 1)], ["new", "new", "present"], 1),
    ],
    ids=["same", "return", "late", "late at the start", "counted anew"],
)  # fmt: skip
def test_answers_are_told_apart_by_their_history(
    answers: list[tuple[int, int]], kinds: list[str], current: int
) -> None:
    """Guards against an answer of the lost history that is taken for new."""
    tracker = store_history.HistoryTracker()
    assert [tracker.note_answer(*answer) for answer in answers] == kinds
    assert tracker.current == current


@pytest.mark.parametrize(
    ("known", "told", "is_new", "current"),
    [(-1, 1, True, 1), (1, 1, False, 1), (1, 2, True, 2), (2, 1, False, 2)],
)
def test_peer_can_only_tell_of_later_histories(
    known: int, told: int, is_new: bool, current: int
) -> None:
    """Guards against a peer that was cut off and takes others back."""
    tracker = store_history.HistoryTracker()
    tracker.note_answer(known, -1)
    assert tracker.note_peer(told) is is_new
    assert tracker.current == current


class _Store:
    """A store over HTTP with a few entries, and a client of it."""

    def __init__(self) -> None:
        self.topics = store_http.Store()
        self.server = store_http.StoreServer(self.topics)

    def add_upstreams(self, count: int) -> None:
        for number in range(count):
            self.topics.put("keyed.servers", f"up-{number}", _value())


def _value() -> dict[str, Any]:
    return {
        "service": "engines",
        "address": "127.0.0.1:1",
        "zone": "dc-1",
        "version": "v1",
        "state": "ready",
        "slots": 8,
        "cold_left_ms": 0,
        "seq_no": 1,
        "born": 1,
    }


def _with_client(
    body: Callable[[_Store, store_client.StoreClient], Awaitable[None]],
) -> None:
    async def main() -> None:
        served = _Store()
        with served.server as server:
            client = store_client.StoreClient(f"127.0.0.1:{server.port}")
            await body(served, client)
            client.close()

    asyncio.run(main())


def test_pages_of_two_histories_are_not_one_listing() -> None:
    """Guards against a listing whose first page is of the lost history."""

    async def body(served: _Store, client: store_client.StoreClient) -> None:
        served.topics.page_items = 2
        served.add_upstreams(6)
        whole = await client.read_upstreams()
        assert len(whole.changes) == 6
        answers = 0

        def restore() -> None:
            nonlocal answers
            answers += 1
            if answers == 2:
                served.topics.restore(0.0)

        served.topics.before_answer = restore
        with pytest.raises(store.HistoryLostError):
            await client.read_upstreams()

    _with_client(body)


@pytest.mark.parametrize("written_again", [0, 1, 2, 4])
def test_read_from_a_position_of_the_lost_history_fails(
    written_again: int,
) -> None:
    """Guards against a read that goes on in the middle of another history."""

    async def body(served: _Store, client: store_client.StoreClient) -> None:
        served.add_upstreams(2)
        position = (await client.read_upstreams()).position
        served.topics.restore(60.0)
        served.add_upstreams(written_again)
        with pytest.raises(store.HistoryLostError):
            await client.read_upstream_changes(position)
        with pytest.raises((store.HistoryLostError, errors.PlatformError)):
            await client.wait_for_config(position, 0.0)
        listing = await client.read_upstreams()
        assert len(listing.changes) == written_again
        assert listing.position > position

    _with_client(body)


@pytest.mark.parametrize("number", ["", "x", "-1", "1.5", "1,2"])
def test_malformed_number_of_the_history_is_an_error(number: str) -> None:
    """Guards against positions whose history isn't known."""

    async def body(served: _Store, client: store_client.StoreClient) -> None:
        served.topics.history_text = number
        with pytest.raises(errors.PlatformError, match="history"):
            await client.read_upstreams()

    _with_client(body)


def test_store_without_numbered_histories_is_read() -> None:
    """Guards against a store that sends no number and can't be used."""

    async def body(served: _Store, client: store_client.StoreClient) -> None:
        served.topics.history_text = None
        served.add_upstreams(2)
        first = await client.read_upstreams()
        assert first.position == store.Position(0, 2)
        served.add_upstreams(1)
        later = await client.read_upstream_changes(first.position)
        assert later.position == store.Position(0, 3)

    _with_client(body)


class _Readers(store_sync.ReaderGroup):
    """A gateway alone; records what it would share."""

    def __init__(self) -> None:
        self.shared: list[tuple[store.Position, store.UpstreamsRead]] = []

    def rank(self, *, reaches_store: bool) -> int:
        return 0

    def share_upstreams(
        self, since: store.Position, upstreams_read: store.UpstreamsRead
    ) -> None:
        self.shared.append((since, upstreams_read))

    def store_reachability_changed(self) -> None:
        pass


UP_1 = gateway_parts.entry("up-1")
UP_2 = gateway_parts.entry("up-2")
P1_2 = store.Position(1, 2)
P1_3 = store.Position(1, 3)
P2_1 = store.Position(2, 1)
P2_2 = store.Position(2, 2)

_Change = tuple[str, upstream_list.UpstreamEntry | None]
_Update = tuple[store.Position, store.Position, list[_Change]]

DRAIN_2: list[_Change] = [("up-2", UP_2._replace(draining=True))]
ADD_2: list[_Change] = [("up-2", UP_2)]


@pytest.mark.parametrize(
    ("updates", "usable", "position"),
    [
        pytest.param(
            [(P1_2, P1_3, DRAIN_2)], ["up-1"], P1_3, id="next record"
        ),
        pytest.param(
            [(P1_2, P2_1, DRAIN_2)], ["up-1"], P2_1, id="difference"
        ),
        pytest.param(
            [(P1_3, P2_1, DRAIN_2)],
            ["up-1", "up-2"],
            P1_2,
            id="difference to another position",
        ),
        pytest.param(
            [(store.Position(2, 0), P2_2, DRAIN_2)],
            ["up-1", "up-2"],
            P1_2,
            id="records of another history",
        ),
        pytest.param(
            [(P1_2, P2_1, DRAIN_2), (P1_2, P1_3, ADD_2)],
            ["up-1"],
            P2_1,
            id="late record",
        ),
        pytest.param(
            [(P1_2, P2_1, DRAIN_2), (P1_2, P2_1, ADD_2)],
            ["up-1"],
            P2_1,
            id="difference twice",
        ),
        pytest.param(
            [(P1_2, P2_1, []), (P2_1, P2_2, DRAIN_2)],
            ["up-1"],
            P2_2,
            id="record after a difference",
        ),
    ],
)  # fmt: skip
def test_shared_changes_are_applied_within_one_history(
    updates: list[_Update], usable: list[str], position: store.Position
) -> None:
    """Guards against list changes of two histories that are mixed."""
    state = fleet_state.FleetState(lambda _change: None, 3.6)
    sync = store_sync.StoreSync(
        virtual_store.VirtualStore(virtual_store.SharedLog()),
        state,
        _Readers(),
        random.Random(1),
    )

    @async_helpers.async_test
    async def run() -> None:
        sync.apply_peer_list([UP_1, UP_2], P1_2, "peer")
        for since, end, changes in updates:
            sync.apply_shared_read(
                since, store.UpstreamsRead(changes, end), "peer"
            )

    run()
    assert [entry.upstream_id for entry in state.members.usable("engines")] == (
        usable
    )
    assert sync.list_position == position


@pytest.mark.parametrize(
    ("position", "applied"),
    [(P1_3, True), (P1_2, False), (store.Position(1, 1), False), (P2_1, True)],
)
def test_only_a_newer_list_of_a_peer_is_applied(
    position: store.Position, applied: bool
) -> None:
    """Guards against a peer's older list that undoes what was read since."""
    state = fleet_state.FleetState(lambda _change: None, 3.6)
    sync = store_sync.StoreSync(
        virtual_store.VirtualStore(virtual_store.SharedLog()),
        state,
        _Readers(),
        random.Random(1),
    )

    @async_helpers.async_test
    async def run() -> None:
        sync.apply_peer_list([UP_1], P1_2, "peer")
        sync.apply_peer_list([UP_1, UP_2], position, "peer")

    run()
    assert (state.members.get("up-2") is not None) is applied


def _config(version: int, routes: int) -> dict[str, Any]:
    return {
        "version": version,
        "routes": [
            {
                "name": f"route-{number}",
                "host": "fleet.example",
                "path_prefix": f"/{number}/",
                "kind": "safe",
                "timeout_ms": 1000,
                "target_latency_ms": 200,
                "service": "plain",
                "max_attempts": 1,
            }
            for number in range(routes)
        ],
        "services": [],
        "limits": {
            "max_header_bytes": 1000,
            "max_body_bytes": 1000,
            "header_timeout_ms": 1000,
            "idle_timeout_ms": 1000,
        },
    }


@pytest.mark.parametrize(
    ("written", "routes"),
    [
        pytest.param([_config(3, 1), _config(3, 2)], 2, id="written later"),
        pytest.param([_config(4, 1), _config(3, 2)], 1, id="higher version"),
        pytest.param([_config(3, 1), {"version": 4}], 1, id="malformed"),
    ],
)
def test_of_two_contents_of_a_version_the_later_one_is_read(
    written: list[dict[str, Any]], routes: int
) -> None:
    """Guards against contents that the operator has replaced."""

    async def body(served: _Store, client: store_client.StoreClient) -> None:
        start = (await client.read_config()).position
        for value in written:
            served.topics.put("keyed.op", "config", value)
        config = (await client.wait_for_config(start, 0.0)).config
        assert config is not None
        assert len(config.routes) == routes
        assert config.history == 1

    _with_client(body)


@pytest.mark.parametrize(
    ("before", "after", "adopted"),
    [
        ((2, 1, 5), (3, 1, 6), True),
        ((3, 1, 5), (2, 2, 3), False),
        ((3, 1, 5), (3, 2, 3), True),
        ((3, 2, 3), (3, 1, 5), False),
        ((3, 2, 3), (3, 2, 4), True),
        ((3, 2, 3), (3, 2, 3), False),
    ],
)
def test_later_place_in_the_store_decides_between_equal_versions(
    before: tuple[int, int, int], after: tuple[int, int, int], adopted: bool
) -> None:
    """Guards against older contents from the copy or from a peer."""
    state = fleet_state.FleetState(lambda _change: None, 3.6)
    base = gateway_parts.config()

    def config(stamp: tuple[int, int, int]) -> fleet_config.FleetConfig:
        version, history, offset = stamp
        return base._replace(version=version, history=history, offset=offset)

    assert state.adopt_config(config(before), "store")
    assert state.adopt_config(config(after), "peer") is adopted
    assert state.config_stamp == (after if adopted else before)


def test_positions_survive_the_encoding_of_messages() -> None:
    """Guards against positions that peers decode as something else."""
    frame = msgspec.msgpack.encode(P2_1)
    assert msgspec.msgpack.decode(frame, type=store.Position) == P2_1
