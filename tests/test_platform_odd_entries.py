"""Tests records that another writer has left in the store."""

import asyncio
import json
import pathlib
import random
from typing import Any, Final

import hypothesis
import pytest
from hypothesis import strategies

from apricottrestle import errors
from apricottrestle.gateway import peer_messages, store, upstream_list
from apricottrestle.platform import codec
from apricottrestle_standins.platform import soak

NESTED: Final = b"[" * 100_000 + b"]" * 100_000
TOO_LARGE: Final = 10**30

ENTRY: Final[dict[str, Any]] = {
    "service": "engines",
    "address": "10.1.64.7:8080",
    "zone": "dc-1",
    "version": "v1",
    "state": "ready",
    "slots": 8,
    "cold_left_ms": 0,
    "seq_no": 4,
    "born": 1_700_000_000_000,
}


def _entry(**changes: Any) -> bytes:
    return json.dumps(ENTRY | changes).encode()


def _without(name: str) -> bytes:
    return json.dumps({k: v for k, v in ENTRY.items() if k != name}).encode()


ODD_ENTRIES: Final = {
    "nested": NESTED,
    "nested field": b'{"odd":%s,%s' % (NESTED, _entry()[1:]),
    "nested slots": b'{"slots":%s}' % NESTED,
    "not text": b"\xff\xfe{}",
    "endless slots": b'{"slots":%s,%s' % (b"9" * 100_000, _entry()[1:]),
    "slots too large": _entry(slots=TOO_LARGE),
    "slots of 2**63": _entry(slots=2**63),
    "no slots": _entry(slots=0),
    "fractional slots": _entry(slots=1.5),
    "start too large": _entry(born=TOO_LARGE),
    "start of 2**64": _entry(born=2**64),
    "start before 1970": _entry(born=-1),
    "endless warm-up": _entry(cold_left_ms=1e308),
    "warm-up out of range": _entry().replace(b": 0,", b": 1e999,"),
    "port 0": _entry(address="10.1.64.7:0"),
    "port 65536": _entry(address="10.1.64.7:65536"),
    "port 70000": _entry(address="10.1.64.7:70000"),
    "long port": _entry(address="10.1.64.7:" + "8" * 5_000),
    "port of another script": _entry(address="10.1.64.7:\u00b2"),
    "signed port": _entry(address="10.1.64.7:+80"),
    "no port": _entry(address="10.1.64.7"),
    "no host": _entry(address=":8080"),
    "path for a host": _entry(address="10.1.64.7/x:8080"),
    "user for a host": _entry(address="me@10.1.64.7:8080"),
    "line break in a host": _entry(address="10.1.64.7\r\nx:8080"),
    "long host": _entry(address="h" * 10_000 + ":8080"),
    "long service": _entry(service="s" * 100_000),
    "no service": _entry(service=""),
    "long zone": _entry(zone="z" * 100_000),
    "unknown state": _entry(state="asleep"),
    "version of another type": _entry(version=1),
    "number of another type": _entry(seq_no="4"),
    "list": b"[]",
    "nothing": b"null",
} | {f"without {name}": _without(name) for name in ENTRY if name != "born"}


@pytest.mark.parametrize("value", ODD_ENTRIES.values(), ids=ODD_ENTRIES)
def test_odd_entry_names_no_upstream(value: bytes) -> None:
    """Guards against an entry that ends the task which follows the list."""
    with pytest.raises(errors.PlatformError):
        codec.decode_upstream("i-1", value)


@pytest.mark.parametrize(
    "upstream_id", ["", "i 1", "i-1\r\nX: y", "\u00e9", "i" * 300]
)
def test_odd_id_names_no_upstream(upstream_id: str) -> None:
    """Guards against an id that can't be sent as a header."""
    with pytest.raises(errors.PlatformError):
        codec.decode_upstream(upstream_id, _entry())


def _update(
    entry: upstream_list.UpstreamEntry,
) -> peer_messages.UpstreamUpdate:
    return peer_messages.UpstreamUpdate(
        peer_messages.Sender("g", "a", "i", 1, False, True),
        store.Position(1, 1),
        store.Position(1, 2),
        [("i-1", entry)],
    )


def test_usual_entry_is_read() -> None:
    """Guards against checks that drop sound entries."""
    entry = codec.decode_upstream("i-7f3a91c2", _entry(seq_no=7, odd=[[]]))
    assert entry.address == "10.1.64.7:8080"
    message = _update(entry)
    assert peer_messages.decode(peer_messages.encode(message)) == message


CONFIG: Final = {
    "version": 3,
    "routes": [],
    "services": [{"name": "s"}],
}


@pytest.mark.parametrize(
    "value",
    [
        NESTED,
        b'{"odd":%s,%s' % (NESTED, json.dumps(CONFIG).encode()[1:]),
        json.dumps(CONFIG | {"version": TOO_LARGE}).encode(),
        json.dumps(CONFIG | {"version": -1}).encode(),
        json.dumps(CONFIG | {"limits": {"max_body_bytes": 2**64}}).encode(),
    ],
    ids=["nested", "nested field", "version", "negative version", "limit"],
)
def test_odd_configuration_is_rejected(value: bytes) -> None:
    """Guards against a configuration that ends the task which follows it."""
    with pytest.raises(errors.PlatformError):
        codec.decode_config(value)


@pytest.mark.parametrize(
    ("report", "started_at_ms"),
    [
        (b'{"born":7}', 7),
        (NESTED, None),
        (b'{"odd":%s,"born":7}' % NESTED, None),
        (b'{"born":%d}' % TOO_LARGE, None),
        (b'{"born":-1}', None),
        (b"\xff", None),
    ],
    ids=["sound", "nested", "nested field", "large", "negative", "not text"],
)
def test_odd_report_tells_no_start_time(
    report: bytes, started_at_ms: int | None
) -> None:
    """Guards against a report that ends the probe which reads it."""
    assert codec.decode_start_time_ms(report) == started_at_ms


@pytest.mark.parametrize("frame", [b"\x91" * 100_000 + b"\x90", b"\xc1", b""])
def test_odd_frame_is_a_protocol_error(frame: bytes) -> None:
    """Guards against a frame that ends the task which reads peers."""
    with pytest.raises(errors.ProtocolError):
        peer_messages.decode(frame)


_JSON = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.text(max_size=20),
    lambda inner: (
        strategies.lists(inner, max_size=4)
        | strategies.dictionaries(
            strategies.sampled_from([*ENTRY, "x"]), inner, max_size=4
        )
    ),
    max_leaves=12,
)


@hypothesis.given(
    strategies.dictionaries(strategies.sampled_from([*ENTRY, "x"]), _JSON)
)
def test_any_entry_is_read_or_rejected(changes: dict[str, Any]) -> None:
    """Guards against an entry that can't be handled or told to peers."""
    try:
        entry = codec.decode_upstream("i-1", _entry(**changes))
    except errors.PlatformError:
        return
    assert isinstance(entry, upstream_list.UpstreamEntry)
    assert peer_messages.decode(peer_messages.encode(_update(entry)))


@pytest.mark.process
def test_gateways_follow_the_list_after_odd_entries(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against gateways that stop following the list, or end."""

    async def main() -> soak.Fleet:
        fleet = soak.Fleet(tmp_path, random.Random(1))
        async with fleet.running():
            topic = fleet.store.topic("keyed.servers")
            for number, value in enumerate(ODD_ENTRIES.values()):
                topic.append(f"odd-{number}", value)
            fleet.store.notify()
            await asyncio.sleep(1.0)
            left_id = fleet.drain_last_upstream()
            await fleet.send_requests(2.0)
            await fleet.check_configuration()
            drained_s = asyncio.get_running_loop().time()
            await fleet.send_requests(2.0)
            for row in fleet.gateways:
                assert row.popen is not None
                assert row.popen.poll() is None
            late = [
                delivery
                for delivery in fleet.run_ledger.deliveries
                if delivery.upstream_id == left_id and delivery.at_s > drained_s
            ]
            assert late == []
        return fleet

    fleet = asyncio.run(main())
    assert fleet.problems == []
    assert any(
        attempt.complete
        for attempts in fleet.run_ledger.requests
        for attempt in attempts
    )
