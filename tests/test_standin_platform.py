"""Tests the platform stand-ins: offsets, rate limits, retention and lag."""

import pytest

from apricottrestle_standins import instance_list, log_service, web


def _log(**settings: object) -> log_service.Log:
    return log_service.Log(log_service.LogSettings(**settings))  # type: ignore[arg-type]


def _append(log: log_service.Log, stream: str, data: str, now: float) -> int:
    return log.append(stream, log_service.AppendBody(data, data), now)


@pytest.mark.parametrize(
    ("global_offsets", "expected"), [(True, [1, 2, 3]), (False, [1, 1, 2])]
)
def test_offsets_count_globally_or_per_stream(
    global_offsets: bool, expected: list[int]
) -> None:
    log = _log(global_offsets=global_offsets)
    offsets = [
        _append(log, stream, "x", 0.0)
        for stream in ("release", "audit", "audit")
    ]
    assert offsets == expected


def test_reads_continue_after_the_last_record() -> None:
    log = _log()
    for data in "abc":
        _append(log, "s", data, 0.0)
    page = log.read("s", 0, 2, 0.0)
    assert [row["data"] for row in page.records] == ["a", "b"]
    rest = log.read("s", page.next - 1, 2, 0.0)
    assert [row["data"] for row in rest.records] == ["c"]
    assert rest.next == 4


@pytest.mark.parametrize(
    ("settings", "now", "first", "kept"),
    [
        ({"retain_records": 2}, 0.0, 2, 2),
        ({"retain_s": 5.0}, 4.0, 1, 3),
        ({"retain_s": 5.0}, 6.0, 2, 2),
        ({}, 1e9, 1, 3),
    ],
)
def test_retention_moves_the_first_offset(
    settings: dict[str, object], now: float, first: int, kept: int
) -> None:
    log = _log(**settings)
    for at in (0.0, 3.0, 3.0):
        _append(log, "s", "x", at)
    page = log.read("s", 0, 10, now)
    assert (page.first, len(page.records)) == (first, kept)
    assert page.next == 4


def test_gaps_in_global_offsets_are_not_losses() -> None:
    """A reader must not report records of other streams as lost."""
    log = _log(global_offsets=True)
    _append(log, "other", "x", 0.0)
    _append(log, "s", "y", 0.0)
    page = log.read("s", 0, 10, 0.0)
    assert page.first == 1
    assert page.records[0]["offset"] == 2


def test_token_bucket_limits_the_rate() -> None:
    limit = web.TokenBucket(8.0, 2.0)
    assert [limit.take(100.0) for _ in range(3)] == [0.0, 0.0, 0.125]
    assert limit.take(100.125) == 0.0
    assert limit.take(100.1875) == 0.0625


def _row(
    ident: str, state: str = "live", data_centre: str = "radgona"
) -> instance_list.Row:
    return instance_list.Row(
        id=ident, role="agent", data_centre=data_centre, state=state
    )


def _instances(lag_s: float = 0.0) -> instance_list.InstanceList:
    return instance_list.InstanceList(
        instance_list.InstanceSettings(lag_s=lag_s)
    )


def test_instance_changes_are_visible_after_the_lag() -> None:
    rows = _instances(lag_s=2.0)
    rows.put(_row("a1"), 0.0)
    rows.put(_row("a1", "gone"), 1.0)
    assert rows.rows_after(0, "", 1.9).rows == []
    assert rows.rows_after(0, "", 2.0).rows[0].state == "live"
    answer = rows.rows_after(0, "", 3.0)
    assert (answer.version, answer.rows[0].state) == (2, "gone")
    assert rows.rows_after(2, "", 3.0).rows == []


def test_instances_are_filtered_by_data_centre() -> None:
    rows = _instances()
    rows.put(_row("a1"), 0.0)
    rows.put(_row("a2", data_centre="haloze"), 0.0)
    assert [r.id for r in rows.rows_after(0, "haloze", 0.0).rows] == ["a2"]


def test_wrong_rows_replace_correct_rows() -> None:
    rows = _instances()
    rows.put(_row("a1"), 0.0)
    rows.faults = instance_list.InstanceFaults(wrong_rows=[_row("a1", "gone")])
    assert [r.state for r in rows.rows_after(0, "", 0.0).rows] == ["gone"]
