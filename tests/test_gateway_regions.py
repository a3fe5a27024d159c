"""Tests which regions a request may use, from the configuration on."""

import pathlib
from typing import Any

import msgspec
import pytest

from apricottrestle import errors
from apricottrestle.gateway import (
    cold_upstreams,
    evacuations,
    fleet_config,
    peer_messages,
    send_gate,
    upstream_limits,
    upstream_list,
    upstream_notices,
)
from apricottrestle.platform import codec, settings_file
from tests import gateway_parts

ROUTE: dict[str, Any] = {
    "host": "a.example",
    "path_prefix": "/x/",
    "kind": "safe",
    "service": "s",
}


def _decode(
    route: dict[str, Any], tenant: dict[str, Any]
) -> tuple[fleet_config.Route, fleet_config.Team]:
    config = codec.decode_config(
        msgspec.json.encode(
            {
                "version": 1,
                "routes": [ROUTE | route],
                "services": [],
                "tenants": [{"name": "t", "api_keys": ["k"]} | tenant],
            }
        )
    )
    assert config.teams_by_key is not None
    return config.routes[0], config.teams_by_key["k"]


def _named(regions: list[str] | None) -> dict[str, Any]:
    return {"allowed_regions": regions}


@pytest.mark.parametrize(
    ("route", "tenant", "regions"),
    [
        ({}, {}, None),
        (_named(None), _named(None), None),
        (_named([]), _named([]), None),
        (_named(["r1"]), {}, {"r1"}),
        ({}, _named(["r1", "r2"]), {"r1", "r2"}),
        (_named(["r1", "r2"]), _named([]), {"r1", "r2"}),
        (_named([]), _named(["r2"]), {"r2"}),
        (_named(["r1", "r2"]), _named(["r2", "r3"]), {"r2"}),
        # Both bind, and have none in common.
        (_named(["r1"]), _named(["r2"]), set()),
        (_named(["r1", "r1"]), {}, {"r1"}),
    ],
)
def test_regions_of_route_and_team_both_bind(
    route: dict[str, Any], tenant: dict[str, Any], regions: set[str] | None
) -> None:
    """Guards against a rule of the route or the team that is passed over."""
    allowed = fleet_config.allowed_regions(*_decode(route, tenant))
    assert allowed == regions


def test_request_without_a_team_keeps_to_its_route() -> None:
    """Guards against callers without a key that use all regions."""
    route, _ = _decode(_named(["r1"]), _named(["r2"]))
    assert fleet_config.allowed_regions(route, None) == frozenset({"r1"})


@pytest.mark.parametrize("regions", ["r1", [1], {"r1": 1}])
def test_malformed_regions_make_a_configuration_unusable(
    regions: object,
) -> None:
    """Guards against regions that aren't understood and count as all."""
    with pytest.raises(errors.PlatformError):
        _decode({"allowed_regions": regions}, {})


UPSTREAMS = {"a1": "a", "a2": "a", "b1": "b", "c1": "c", "x1": "unknown"}
"""Data centre of each upstream."""

REGIONS = {"a": "r1", "b": "r1", "c": "r2"}
"""Region of each data centre."""


@pytest.mark.parametrize(
    ("regions", "evacuated", "left", "reason"),
    [
        (None, "", {"a1", "a2", "b1", "c1", "x1"}, send_gate.NO_UPSTREAM),
        ({"r1"}, "", {"a1", "a2", "b1"}, send_gate.NO_UPSTREAM),
        ({"r2"}, "", {"c1"}, send_gate.NO_UPSTREAM),
        ({"r1", "r2"}, "", {"a1", "a2", "b1", "c1"}, send_gate.NO_UPSTREAM),
        ({"r3"}, "", set(), send_gate.OUTSIDE_REGIONS),
        ({"r3"}, "a", set(), send_gate.OUTSIDE_REGIONS),
        (set(), "", set(), send_gate.OUTSIDE_REGIONS),
        # Names of data centres aren't names of regions.
        ({"a", "unknown", ""}, "", set(), send_gate.OUTSIDE_REGIONS),
        # An evacuated home is no reason to leave the regions.
        ({"r1"}, "a", {"b1"}, send_gate.EVACUATED),
        ({"r1"}, "ab", set(), send_gate.EVACUATED),
        ({"r2"}, "ab", {"c1"}, send_gate.NO_UPSTREAM),
        ({"r2"}, "c", set(), send_gate.EVACUATED),
    ],
)
def test_upstreams_outside_the_regions_are_never_used(
    regions: set[str] | None, evacuated: str, left: set[str], reason: str
) -> None:
    """Guards against a way out of the regions that a request may use."""
    members = upstream_list.Membership(3.6)
    members.replace(
        [
            gateway_parts.entry(upstream_id, data_centre=data_centre)
            for upstream_id, data_centre in UPSTREAMS.items()
        ],
        0.0,
    )
    table = evacuations.EvacuationTable()
    table.apply_read(
        [
            evacuations.Record(name, evacuations.Stamp(1, 0), True)
            for name in evacuated
        ],
        evacuations.Stamp(1, 1),
        0.0,
        whole=True,
    )
    gate = send_gate.SendGate(
        upstream_limits.UpstreamLimits("own"),
        upstream_notices.UpstreamNotices(),
        cold_upstreams.ColdUpstreams("own", 1.0, 0.0),
        members,
        table,
        lambda _upstream_id: 0,
    )
    gate.configure(REGIONS)
    allowed = None if regions is None else frozenset(regions)
    for entries in (
        gate.usable("engines", allowed, 1.0),
        gate.allowed("engines", allowed, 1.0),
        [
            entry
            for entry in members.entries()
            if gate.may_send(entry, allowed, 1.0)
        ],
    ):
        assert {entry.upstream_id for entry in entries} == left
    assert gate.refusal_reason("engines", allowed) == reason
    assert gate.wait_s("engines", allowed, 1.0) == 0.0
    assert gate.queue_wait_s("engines", allowed, 5, 1, 1.0) == 0.0
    excluded = gate.excluded("engines", allowed)
    assert bool(excluded) is (len(left) < len(UPSTREAMS))


@pytest.mark.parametrize(
    ("text", "regions"),
    [("", {}), ('[zones]\na = "r1"\n"b-1" = "r2"\n', {"a": "r1", "b-1": "r2"})],
)
def test_regions_of_data_centres_are_read_from_the_settings(
    text: str, regions: dict[str, str], tmp_path: pathlib.Path
) -> None:
    """Guards against regions that the gateway doesn't know."""
    path = tmp_path / "node.toml"
    path.write_text(
        'node = "n"\nip = "127.0.0.1"\nzone = "a"\n'
        "internal_port_range = [1, 2]\n"
        "[listen]\n"
        "[bounds]\n"
        "grace_s = 8.0\ndrain_ms = 1\nretry_budget = 0.2\n"
        "budget_window_s = 10.0\nbudget_slack = 100\n"
        '[platform]\naddress = "127.0.0.1:1"\n' + text
    )
    cfg, _ = settings_file.load(str(path))
    assert cfg.regions == regions


_ROUTE_FIELDS_BEFORE = 12
_TEAM_FIELDS_BEFORE = 2


def _update(
    config: fleet_config.FleetConfig,
) -> tuple[peer_messages.ConfigUpdate, bytes]:
    sender = peer_messages.Sender("b", "addr", "i", config.version)
    message = peer_messages.ConfigUpdate(sender, config)
    return message, peer_messages.encode(message)


def test_configuration_without_regions_is_encoded_as_before() -> None:
    """Guards against earlier builds that can't decode a configuration."""
    message, frame = _update(gateway_parts.config(3))
    assert peer_messages.decode(frame) == message
    config = msgspec.msgpack.decode(frame)[2]
    assert {len(route) for route in config[1]} == {_ROUTE_FIELDS_BEFORE}
    assert {len(team) for team in config[4].values()} == {_TEAM_FIELDS_BEFORE}


@pytest.mark.parametrize("owner", ["route", "team"])
def test_regions_are_told_to_peers(owner: str) -> None:
    """Guards against regions that get lost between gateways."""
    config = gateway_parts.config(3)
    if owner == "route":
        config = config._replace(
            routes=(
                config.routes[0]._replace(allowed_regions=("r1",)),
                *config.routes[1:],
            )
        )
    else:
        config = config._replace(
            teams_by_key={"k": fleet_config.Team("t", None, ("r1",))}
        )
    message, frame = _update(config)
    assert peer_messages.decode(frame) == message
