"""Tests of decoding store records, upstream entries, headers and settings."""

import math
import pathlib
import struct
from typing import Any

import msgspec
import pytest
from tornado import httputil

from apricottrestle import errors, hashing, http_head
from apricottrestle.gateway import calls, fleet_config
from apricottrestle.platform import (
    caller_server,
    codec,
    names,
    settings_file,
    store_client,
    upstream_client,
)

CONFIG: dict[str, Any] = {
    "version": 7,
    "routes": [
        {
            "name": "r-1",
            "host": "a.example",
            "path_prefix": "/x/",
            "kind": "stream",
            "timeout_ms": 10000,
            "target_latency_ms": 250,
            "priority": 0,
            "split": [
                {"service": "s-1", "weight": 90},
                {"service": "s-2", "weight": 10},
            ],
            "max_attempts": 2,
            "public": False,
            "resumable": True,
            "gap_target_ms": 250,
            "a_new_field": 1,
        },
        {
            "name": "r-2",
            "host": "a.example",
            "path_prefix": "/y/",
            "kind": "keyed",
            "service": "s-2",
        },
    ],
    "services": [
        {
            "name": "s-1",
            "max_conns": 424,
            "engine": {
                "slots": 8,
                "kv_capacity": 315000,
                "stride": 51,
                "step_ms": 0.85,
                "per_seq_ms": 0.0085,
                "context_per_k": 0.00285,
                "read_per_s": 177000.0,
                "pairs_per_m": 0.184,
                "chunk": 2048,
                "hop_ms": 0.05,
                "delays": [
                    {"from": "dc-1", "target_version": "dc-2", "delay_ms": 4.9},
                    {"from": "dc-3", "target_version": "dc-1", "delay_ms": 1.4},
                    {"from": "dc-2", "target_version": "dc-3", "delay_ms": 7.0},
                ],
            },
        },
        {"name": "s-2"},
    ],
    "limits": {"idle_timeout_ms": 15000},
    "tenants": [{"name": "t-1", "api_keys": ["k-1", "k-2"], "priority": 1}],
}
ENTRY: dict[str, Any] = {
    "service": "s-1",
    "address": "10.0.0.9:8080",
    "zone": "dc-1",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "cold_left_ms": 500,
    "seq_no": 4,
    "born": 1700000000000,
}


def test_configuration_is_decoded_into_seconds_and_tokens() -> None:
    """Guards against wrong units: milliseconds, costs per 1k or 1M tokens."""
    got = codec.decode_config(msgspec.json.encode(CONFIG))
    first, second = got.routes
    assert (first.timeout_s, first.target_s, first.event_gap_target_s) == (
        10.0,
        0.25,
        0.25,
    )
    assert [part.service for part in first.targets] == ["s-1", "s-2"]
    assert second.targets[0].service == "s-2"
    # Requests of an unknown kind may run at most once.
    assert not second.repeatable
    model = got.services["s-1"].engine
    assert model is not None
    assert model.step_s == pytest.approx(0.85e-3)
    assert model.step_per_context_token_s == pytest.approx(2.85e-9)
    assert model.prefill_pair_s == pytest.approx(1.84e-10)
    assert got.services["s-2"].engine is None
    assert got.teams_by_key is not None
    assert got.teams_by_key["k-2"].name == "t-1"


@pytest.mark.parametrize(
    ("data_centre", "expected"),
    [
        ("dc-1", {"dc-2": 0.0049, "dc-3": 0.0014}),
        ("dc-2", {"dc-1": 0.0049, "dc-3": 0.007}),
        ("dc-9", {}),
    ],
)
def test_delays_hold_in_both_directions(
    data_centre: str, expected: dict[str, float]
) -> None:
    """Guards against late answers over links that are longer than assumed."""
    config = codec.decode_config(msgspec.json.encode(CONFIG))
    delays = fleet_config.delays_from(config.services, data_centre)
    assert delays == pytest.approx(expected)


@pytest.mark.parametrize(("tenants", "expected"), [(None, None), ([], {})])
def test_missing_teams_differ_from_an_empty_list(
    tenants: list[Any] | None, expected: dict[str, Any] | None
) -> None:
    """Guards against open access once the last API key is removed."""
    value = {key: CONFIG[key] for key in CONFIG if key != "tenants"}
    if tenants is not None:
        value["tenants"] = tenants
    got = codec.decode_config(msgspec.json.encode(value))
    assert got.teams_by_key == expected


@pytest.mark.parametrize(
    "changes",
    [
        {"address": "10.0.0.9"},
        {"address": "10.0.0.9:port"},
        {"address": 5},
        {"state": "asleep"},
        {"state": None},
        {"service": ""},
        {"slots": 0},
        {"slots": "8"},
        {"zone": 3},
        {"born": 1.5},
    ],
)
def test_invalid_upstream_entry_is_a_platform_error(
    changes: dict[str, Any],
) -> None:
    """Guards against routing to an upstream with an invalid entry."""
    assert codec.decode_upstream("up-1", msgspec.json.encode(ENTRY)).slots == 8
    with pytest.raises(errors.PlatformError):
        codec.decode_upstream("up-1", msgspec.json.encode(ENTRY | changes))


@pytest.mark.parametrize("value", [b"", b"\xff\xfe", b"[]", b'{"service":'])
def test_unreadable_values_are_platform_errors(value: bytes) -> None:
    """Guards against decoder exceptions that end the read loops."""
    with pytest.raises(errors.PlatformError):
        codec.decode_upstream("up-1", value)
    with pytest.raises(errors.PlatformError):
        codec.decode_config(value)


def _read(*records: bytes) -> bytes:
    return struct.pack(">QQ", len(records), 0) + b"".join(records)


def test_framed_records_are_decoded_unchanged() -> None:
    """Guards against misread keys, and a removal read as an empty value."""
    body = _read(
        store_client.encode_record("a", b"1"),
        store_client.encode_record("bé", b""),
        store_client.encode_record("c", b"\x00" * 300),
    )
    assert list(store_client.decode_records(body, 7)) == [
        store_client.KeyedRecord("a", b"1", 7),
        store_client.KeyedRecord("bé", None, 8),
        store_client.KeyedRecord("c", b"\x00" * 300, 9),
    ]


@pytest.mark.parametrize(
    "body",
    [
        _read(b"\x00\x00"),
        _read(b"\x00\x00\x00\x09\x01a"),
        _read(b"\x00\x00\x00\x00"),
    ],
)
def test_truncated_records_are_platform_errors(body: bytes) -> None:
    """Guards against a position that advances past a truncated response."""
    with pytest.raises(errors.PlatformError):
        list(store_client.decode_records(body, 0))


def test_caller_cannot_set_what_the_gateway_sets() -> None:
    """Guards against forwarding a caller's team, upstream, key or deadline."""
    headers = httputil.HTTPHeaders(
        {
            "Host": "a.example",
            "Connection": "keep-alive, x-hop",
            "X-Hop": "1",
            "X-Kept": "1",
            names.REQUEST_ID: "id-1",
            names.AUTHORIZATION: "bearer  k-1 ",
            names.TEAM: "forged",
            names.UPSTREAM_ID: "forged",
            names.HELPERS: "forged",
            names.PRIORITY: "0",
            names.DEADLINE_MS: "1500",
            names.TOKEN_USAGE: "1460,80",
            names.LAST_EVENT_ID: "12",
        }
    )
    start = httputil.RequestStartLine("POST", "/x/y?z", "HTTP/1.1")
    got = caller_server.decode_request(start, headers, b"", 5.0)
    passed = {name for name, _ in got.headers}
    assert passed == {"X-Kept", names.REQUEST_ID, names.TOKEN_USAGE}
    assert got.api_key == "k-1"
    assert got.time_left_s == 1.5
    assert got.resume_after == "12"
    assert got.size is not None
    assert got.size.prompt_tokens == 1460


@pytest.mark.parametrize("value", ["", "x", "1,", ",1", "1;2"])
def test_malformed_token_usage_is_ignored(value: str) -> None:
    """Guards against a request that fails because of a malformed header."""
    headers = httputil.HTTPHeaders({names.TOKEN_USAGE: value})
    start = httputil.RequestStartLine("POST", "/", "HTTP/1.1")
    assert caller_server.decode_request(start, headers, b"", 0.0).size is None


@pytest.mark.parametrize(
    ("value", "expected"),
    [
        ("1460,80", (1460, 80)),
        (" 1460 , 80", (1460, 80)),
        ("-5,80", (0, 80)),
        ("0" * 200 + "7,1", (7, 1)),
        ("999999999999,1", (10**12 - 1, 1)),
        ("1000000000000,1", (10**12, 1)),
        ("1" + "0" * 18 + ",1", (10**12, 1)),
        ("9" * 161 + ",1", (10**12, 1)),
        ("100," + "9" * 161, (100, 10**12)),
        ("9" * 9_000 + ",1", (10**12, 1)),
    ],
)
def test_numbers_of_tokens_are_bounded(
    value: str, expected: tuple[int, int]
) -> None:
    """Guards against numbers that no float can hold, in all later decisions.

    What fits no engine is told apart no further, as it is refused either way.
    """
    headers = httputil.HTTPHeaders(
        {names.TOKEN_USAGE: value, names.LENGTH_HINT: value.partition(",")[0]}
    )
    start = httputil.RequestStartLine("POST", "/", "HTTP/1.1")
    size = caller_server.decode_request(start, headers, b"", 0.0).size
    assert size is not None
    assert (size.prompt_tokens, size.max_output_tokens) == expected
    assert size.expected_output_tokens == expected[0]


@pytest.mark.parametrize(
    ("value", "expected"),
    [
        ("1500", 1.5),
        ("-1", 0.0),
        ("nan", None),
        ("-nan", None),
        ("inf", math.inf),
        ("9" * 400, math.inf),
        ("x", None),
    ],
)
def test_time_limits_are_numbers(value: str, expected: float | None) -> None:
    """Guards against a time limit that compares with no other."""
    headers = httputil.HTTPHeaders({names.DEADLINE_MS: value})
    start = httputil.RequestStartLine("POST", "/", "HTTP/1.1")
    got = caller_server.decode_request(start, headers, b"", 0.0)
    assert got.time_left_s == expected


SETTINGS = """
node = "front-1"
ip = "10.1.0.40"
zone = "dc-1"
internal_port_range = [7340, 7355]
seeds = ["10.1.0.40:8229", "10.2.0.29:8229"]
a_new_field = 1
[listen]
front = "10.1.0.40:8227"
ready = "10.1.0.40:8220"
control = "10.1.0.40:8229"
[bounds]
grace_s = 8
drain_ms = 2000
retry_budget = 0.2
budget_window_s = 10
budget_slack = 102
free_ms = 4000
hold_max_ms = 20000
[platform]
address = "10.200.1.7:8223"
"""


def test_settings_are_converted(tmp_path: pathlib.Path) -> None:
    """Guards against wrong addresses and units of the settings."""
    path = tmp_path / "settings.toml"
    path.write_text(SETTINGS)
    cfg, address = settings_file.load(str(path))
    assert address == "10.200.1.7:8223"
    assert cfg.peers == "10.1.0.40:7340"
    assert cfg.seeds == ("10.2.0.29:7340",)
    assert (cfg.grace_s, cfg.memory_free_s) == (8, 4.0)


@pytest.mark.parametrize(
    "text", ["", "node = ", SETTINGS.replace("grace_s = 8", "grace_s = 'x'")]
)
def test_invalid_settings_error_names_the_file(
    text: str, tmp_path: pathlib.Path
) -> None:
    """Guards against a start with partly read settings."""
    path = tmp_path / "settings.toml"
    path.write_text(text)
    with pytest.raises(errors.SettingsError) as caught:
        settings_file.load(str(path))
    assert str(path) in str(caught.value)


def test_missing_settings_error_names_the_variable(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a start without a settings file."""
    monkeypatch.delenv(names.SETTINGS_FILE_VARIABLE, raising=False)
    with pytest.raises(
        errors.SettingsError, match=names.SETTINGS_FILE_VARIABLE
    ):
        settings_file.load()


def test_bounds_of_cold_upstreams_are_read(tmp_path: pathlib.Path) -> None:
    """Guards against a bound that is ignored, or needed where it is absent."""
    path = tmp_path / "settings.toml"
    path.write_text(SETTINGS)
    cfg, _ = settings_file.load(str(path))
    assert (cfg.cold_overrun, cfg.cold_slack) == (1.0, 0.0)
    bounds = "[bounds]\ncold_overrun = 1.5\ncold_slack = 5"
    path.write_text(SETTINGS.replace("[bounds]", bounds))
    cfg, _ = settings_file.load(str(path))
    assert (cfg.cold_overrun, cfg.cold_slack) == (1.5, 5.0)
    for value in ("nan", "inf", "-1"):
        path.write_text(SETTINGS.replace("[bounds]", f"{bounds[:-1]}{value}"))
        with pytest.raises(errors.SettingsError):
            settings_file.load(str(path))


@pytest.mark.parametrize(
    ("fields", "start_s", "per_s"),
    [
        ({}, 0.0, 0.0),
        ({"cold_start_s": 3.0, "cold_per_s": 28.0}, 3.0, 28.0),
        ({"cold_start_s": 3, "cold_per_s": 0}, 3.0, 0.0),
        ({"cold_start_s": -1.0, "cold_per_s": -2.0}, 0.0, 0.0),
        ({"cold_start_s": 3.0, "cold_per_s": 1e300}, 3.0, codec.MAX_COLD_PER_S),
    ],
)
def test_rule_of_cold_upstreams_is_decoded(
    fields: dict[str, float], start_s: float, per_s: float
) -> None:
    """Guards against a configuration that odd values make unusable."""
    value = {**CONFIG, "services": [{"name": "s-2", **fields}]}
    service = codec.decode_config(msgspec.json.encode(value)).services["s-2"]
    assert (service.cold_start_s, service.cold_per_s) == (start_s, per_s)


@pytest.mark.parametrize(
    ("values", "cold_s"),
    [
        ([], None),
        (["1500"], 1.5),
        (["0"], 0.0),
        (["0.5"], 0.0005),
        (["200", "1500"], 1.5),
        (["-1"], None),
        (["nan"], None),
        (["inf"], None),
        (["1500", "soon"], None),
        (["999999999999"], codec.MAX_WARM_UP_MS / 1000),
    ],
)
def test_time_for_which_an_upstream_is_cold_is_read(
    values: list[str], cold_s: float | None
) -> None:
    """Guards against a wrong unit, and a malformed header that counts."""
    head = _decode_head(
        [
            "HTTP/1.1 200 OK\r\n",
            *(f"Apricottrestle-Cold-Ms: {value}\r\n" for value in values),
            "\r\n",
        ]
    )
    assert head is not None
    assert head.cold_s == cold_s


def test_changed_settings_are_returned_once(tmp_path: pathlib.Path) -> None:
    """Guards against missed, repeated or invalid reloads of the settings."""
    path = tmp_path / "settings.toml"
    path.write_text(SETTINGS)
    addresses: list[str] = []
    source = settings_file.SettingsSource(addresses.append, str(path))
    assert source.read() is not None
    assert source.read() is None
    path.write_text(SETTINGS.replace("10.200.1.7", "10.200.1.8"))
    cfg = source.read()
    assert cfg is not None
    path.write_text("node = ")
    for _ in range(2):
        with pytest.raises(errors.SettingsError):
            source.read()
    path.write_text(SETTINGS.replace("grace_s = 8", "grace_s = 9"))
    cfg = source.read()
    assert cfg is not None
    assert cfg.grace_s == 9
    assert addresses == [
        "10.200.1.7:8223",
        "10.200.1.8:8223",
        "10.200.1.7:8223",
    ]


@pytest.mark.parametrize(
    ("value", "parts"),
    [
        (None, ()),
        ("", ()),
        ("a1:40", ()),
        ("a1:40,b2:900,c3:80", ("a1", "b2")),
        (" a1:40 , b2 ,c3:80", ("a1", "b2")),
        ("a1:40,a1:40,c3:80", ("a1",)),
        (":40,,c3:80", ()),
        ("a1:40,", ("a1",)),
        (f"{'f' * 33}:1,c3:80", (hashing.text_digest("f" * 33),)),
        (
            ",".join(f"{n}:1" for n in range(500)),
            tuple(str(n) for n in range(caller_server.MAX_SHARED_PARTS)),
        ),
    ],
)
def test_shared_parts_of_a_prompt_are_decoded(
    value: str | None, parts: tuple[str, ...]
) -> None:
    """Guards against a request's own part, or endless ids, in shared state."""
    headers = httputil.HTTPHeaders({names.TOKEN_USAGE: "1460,80"})
    if value is not None:
        headers[names.PROMPT_PARTS] = value
    start = httputil.RequestStartLine("POST", "/x", "HTTP/1.1")
    got = caller_server.decode_request(start, headers, b"", 0.0)
    assert got.shared_parts == parts


def _decode_head(lines: list[str]) -> calls.ResponseHead | None:
    """Reads and decodes a head whose empty line may be missing."""
    reader = http_head.HeadReader("GET")
    if lines[-1].strip():
        lines = [*lines, "\r\n"]
    head = None
    for line in lines:
        head = reader.feed(line.encode("latin-1"))
    return upstream_client.decode_head(head) if head is not None else None


@pytest.mark.parametrize(
    ("header", "framed"),
    [
        ("Content-Length: 4\r\n", True),
        ("Transfer-Encoding: chunked\r\n", True),
        ("", False),
    ],
)
def test_response_head_says_whether_the_body_is_framed(
    header: str, framed: bool
) -> None:
    """Guards against taking the end of a connection for the end of a body."""
    head = _decode_head(
        ["HTTP/1.1 200 OK\r\n", *([header] if header else []), "\r\n"]
    )
    assert head is not None
    assert head.framed == framed


UNREADABLE = calls.NamedLimit(None)


@pytest.mark.parametrize(
    ("values", "limit"),
    [
        ([], None),
        (["4"], calls.NamedLimit(4.0)),
        ([" 1.25 "], calls.NamedLimit(1.25)),
        ([".5"], calls.NamedLimit(0.5)),
        (["0"], calls.NamedLimit(0.0)),
        (["3", "2.5"], calls.NamedLimit(2.5)),
        (["-1"], UNREADABLE),
        (["inf"], UNREADABLE),
        (["nan"], UNREADABLE),
        (["1e3"], UNREADABLE),
        (["1,5"], UNREADABLE),
        ([""], UNREADABLE),
        (["2", "many"], UNREADABLE),
        (["9" * 400], UNREADABLE),
    ],
)
def test_limit_that_an_upstream_names_is_decoded(
    values: list[str], limit: calls.NamedLimit | None
) -> None:
    """Guards against limits from values that are no decimal number."""
    head = _decode_head(
        [
            "HTTP/1.1 200 OK\r\n",
            *(f"Server-Limit: {value}\r\n" for value in values),
            "\r\n",
        ]
    )
    assert head is not None
    assert head.limit == limit
    assert len([n for n, _ in head.headers if n == "Server-Limit"]) == len(
        values
    )


@pytest.mark.parametrize(
    ("status", "lines", "leaving", "wait_s"),
    [
        (200, [], False, None),
        (200, ["Server-Leaving: 1"], True, None),
        (500, ["server-leaving:  1 "], True, None),
        (200, ["Server-Leaving: 0"], False, None),
        (200, ["Server-Leaving: yes"], False, None),
        (200, ["Server-Leaving: 1", "Server-Leaving: 0"], True, None),
        (503, ["Server-Leaving: 1", "Retry-After: 2"], True, 2.0),
        (503, ["Retry-After: 0.25"], False, 0.25),
        (503, ["Retry-After: 0"], False, 0.0),
        (503, ["Retry-After: 2", "Retry-After: 5"], False, 5.0),
        (503, ["Retry-After: -2"], False, None),
        (503, ["Retry-After: 2", "Retry-After: soon"], False, None),
        (503, ["Retry-After: Wed, 21 Oct 2026 07:28:00 GMT"], False, None),
        (503, ["Retry-After: 1e9"], False, None),
        (503, ["Retry-After: " + "9" * 500], False, None),
        (503, ["Retry-After: inf"], False, None),
        (429, ["Retry-After: 2"], False, None),
        (200, ["Retry-After: 2"], False, None),
    ],
)
def test_upstream_says_that_it_leaves_or_wants_nothing_for_a_time(
    status: int, lines: list[str], leaving: bool, wait_s: float | None
) -> None:
    """Guards against statements that are missed, or taken from odd values."""
    head = _decode_head(
        [f"HTTP/1.1 {status} X\r\n", *(f"{line}\r\n" for line in lines)]
    )
    assert head is not None
    assert (head.leaving, head.wait_s) == (leaving, wait_s)


def test_malformed_statement_is_logged_once(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against a log that an odd upstream fills with each answer."""
    for _ in range(3):
        _decode_head(["HTTP/1.1 200 OK\r\n", "Server-Leaving: perhaps\r\n"])
    assert len(caplog.records) == 1
