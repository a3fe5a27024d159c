"""Tests the reading of evacuations from the platform's store."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec
import pytest

from apricottrestle.gateway import (
    evacuations,
    fleet_state,
    peer_messages,
    store,
)
from apricottrestle.platform import store_client
from apricottrestle_standins.platform import store_http
from tests import async_helpers, gateway_parts

TOPIC = "keyed.op"
EMPTY_CONFIG: dict[str, Any] = {"version": 1, "routes": [], "services": []}


def _with_client(
    body: Callable[
        [store_http.Store, store_client.StoreClient], Awaitable[None]
    ],
) -> None:
    async def main() -> None:
        topics = store_http.Store()
        with store_http.StoreServer(topics) as server:
            client = store_client.StoreClient(f"127.0.0.1:{server.port}")
            await body(topics, client)
            client.close()

    asyncio.run(main())


def _told(read: store.ConfigRead) -> dict[str, bool]:
    return {
        record.data_centre: record.evacuated
        for record in read.evacuation_records
    }


@pytest.mark.parametrize("page_items", [1, 2, 500])
def test_evacuations_behind_the_configuration_are_read(page_items: int) -> None:
    """Guards against evacuations that are on a later page than `config`."""

    async def body(
        topics: store_http.Store, client: store_client.StoreClient
    ) -> None:
        topics.page_items = page_items
        topics.put(TOPIC, "evacuate/dc-2", {})
        topics.put(TOPIC, "config", EMPTY_CONFIG)
        topics.put(TOPIC, "evacuate/dc-1", {})
        topics.put(TOPIC, "zz", {})
        read = await client.read_config()
        assert read.config is not None
        assert read.position == store.Position(1, 4)
        assert sorted(read.evacuation_records) == [
            evacuations.Record("dc-1", evacuations.Stamp(1, 2), True),
            evacuations.Record("dc-2", evacuations.Stamp(1, 0), True),
        ]

    _with_client(body)


def test_long_poll_returns_beginnings_and_ends() -> None:
    """Guards against an evacuation that only the first read finds."""

    async def body(
        topics: store_http.Store, client: store_client.StoreClient
    ) -> None:
        topics.put(TOPIC, "config", EMPTY_CONFIG)
        position = (await client.read_config()).position
        calls = topics.calls
        poll = asyncio.ensure_future(client.wait_for_config(position, 5.0))
        await asyncio.sleep(0.05)
        topics.put(TOPIC, "evacuate/dc-1", {})
        read = await poll
        assert _told(read) == {"dc-1": True}
        assert read.config is None
        topics.put(TOPIC, "evacuate/dc-1", None)
        topics.put(TOPIC, "evacuate/dc-2", {})
        read = await client.wait_for_config(read.position, 0.0)
        assert _told(read) == {"dc-1": False, "dc-2": True}
        assert read.evacuation_records[0].stamp == evacuations.Stamp(1, 2)
        assert read.position == store.Position(1, 4)
        assert topics.calls == calls + 2
        # The deleted record isn't listed any more.
        assert _told(await client.read_config()) == {"dc-2": True}

    _with_client(body)


@pytest.mark.parametrize(
    ("key", "told"),
    [
        ("evacuate/dc-1", {"dc-1": True}),
        ("evacuate/dc/1 x", {"dc/1 x": True}),
        ("evacuate/unknown", {"unknown": True}),
        ("evacuate/" + 200 * "x", {200 * "x": True}),
        ("evacuate/" + 201 * "x", {}),
        ("evacuate/", {}),
        ("evacuate", {}),
        ("Evacuate/dc-1", {}),
        ("x/evacuate/dc-1", {}),
        ("", {}),
    ],
)
def test_malformed_keys_are_passed_over(
    key: str, told: dict[str, bool]
) -> None:
    """Guards against a key that stops the reading of all others."""

    async def body(
        topics: store_http.Store, client: store_client.StoreClient
    ) -> None:
        start = (await client.read_config()).position
        topics.put(TOPIC, key, {})
        topics.put(TOPIC, "config", EMPTY_CONFIG)
        for read in (
            await client.read_config(),
            await client.wait_for_config(start, 0.0),
        ):
            assert read.config is not None
            assert _told(read) == told

    _with_client(body)


@pytest.mark.parametrize("value", [b"{}", b"null", b"\xff", b"{", b"[1]"])
def test_any_value_evacuates(value: bytes) -> None:
    """Guards against an evacuation that fails by what else was written."""

    async def body(
        topics: store_http.Store, client: store_client.StoreClient
    ) -> None:
        topics.topic(TOPIC).append("evacuate/dc-1", value)
        assert _told(await client.read_config()) == {"dc-1": True}
        start = store.Position(1, 0)
        read = await client.wait_for_config(start, 0.0)
        assert _told(read) == {"dc-1": True}

    _with_client(body)


def _state_of(
    steps: list[tuple[bool, tuple[int, int], list[evacuations.Record]]],
) -> fleet_state.FleetState:
    state = fleet_state.FleetState(lambda _change: None, 3.6)
    for whole, end, records in steps:
        state.read_evacuations(records, evacuations.Stamp(*end), whole=whole)
    return state


A5 = evacuations.Record("a", evacuations.Stamp(1, 5), True)


@pytest.mark.parametrize("order", ["evacuations first", "last", "between"])
@async_helpers.async_test
async def test_gateway_is_ready_once_it_knows_the_evacuations(
    order: str,
) -> None:
    """Guards against requests that go out before the evacuations are known."""
    state = fleet_state.FleetState(lambda _change: None, 3.6)
    calls: list[bool] = []
    state.watch_ready(lambda: calls.append(state.ready))

    def read() -> None:
        state.read_evacuations([], evacuations.Stamp(1, 1), whole=True)

    def adopt() -> None:
        state.adopt_config(gateway_parts.config(), "peer")

    def list_upstreams() -> None:
        state.apply_upstreams([], "peer")

    steps = {
        "evacuations first": [read, adopt, list_upstreams],
        "last": [adopt, list_upstreams, read],
        "between": [list_upstreams, read, adopt],
    }[order]
    for step in steps[:-1]:
        step()
        assert not state.ready
        assert calls == []
    steps[-1]()
    assert state.ready
    # It becomes ready only once.
    read()
    state.adopt_config(gateway_parts.config(2), "peer")
    assert calls == [True]


@async_helpers.async_test
async def test_changes_are_passed_on_with_their_source() -> None:
    """Guards against evacuations that are read but not told to peers."""
    state = _state_of([(True, (1, 4), [])])
    told: list[str] = []
    state.watch_evacuations(told.append)
    state.read_evacuations([A5], evacuations.Stamp(1, 6), whole=False)
    state.read_evacuations([A5], evacuations.Stamp(1, 6), whole=False)
    assert told == ["store"]
    later = _state_of([(True, (1, 8), [])])
    state.merge_evacuations(later.evacuations.report(0.0), "peer-1")
    assert told == ["store", "peer-1"]
    assert state.evacuations.evacuated == frozenset()


class _OldHeartbeat(msgspec.Struct, array_like=True, tag="beat", frozen=True):
    """The first fields of a heartbeat, as an earlier build decodes it."""

    sender: list[Any]
    started: list[Any] = []


@async_helpers.async_test
async def test_messages_of_earlier_builds_and_for_them_are_decoded() -> None:
    """Guards against gateways that don't hear each other in an upgrade."""
    sender = peer_messages.Sender("b", "addr", "i", 1, evacuation_digest=7)
    report = _state_of([(True, (1, 6), [A5])]).evacuations.report(0.0)
    beat = peer_messages.Heartbeat(sender, evacuation_report=report)
    frame = peer_messages.encode(beat)
    assert peer_messages.decode(frame) == beat
    assert msgspec.msgpack.decode(frame, type=_OldHeartbeat).sender[0] == "b"
    old = msgspec.msgpack.encode(
        ["welcome", ["b", "addr", "i", 1], None, [], [], []]
    )
    message = peer_messages.decode(old)
    assert isinstance(message, peer_messages.Welcome)
    assert message.evacuation_report is None
    assert message.sender.evacuation_digest is None
