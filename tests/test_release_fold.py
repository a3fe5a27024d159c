"""Guards against readers of one stream that come to different states."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from apricottrestle import config_state, errors, messages, release_fold
from tests import notes

_FIRST = messages.NoteRecord(1, "first", notes.FIRST_NOTE)
_STATE = notes.fold_all([_FIRST])


def test_the_first_note_is_in_force() -> None:
    assert _STATE.revision == 1
    assert _STATE.models["m"] == config_state.ModelSpec("m", "v1")
    assert _STATE.versions["m@v1"] == config_state.VersionSpec("m", "v1")
    assert _STATE.services["ledger"].time_limit_s == 30.0


def test_a_change_keeps_the_other_fields() -> None:
    record = messages.NoteRecord(5, "n", notes.share_note("n", 1, 7.0))
    result = release_fold.fold_note(_STATE, record)
    assert result.verdict == "accepted"
    assert result.state.revision == 5
    assert result.state.models["m"] == config_state.ModelSpec("m", "v1", 7.0)
    assert _STATE.models["m"].share == 1.0


@pytest.mark.parametrize(
    ("record_id", "base", "body", "problem"),
    [
        ("n", 0, "[models.changed.m]\nshare = 2", "expected the current"),
        ("n", 2, "[models.changed.m]\nshare = 2", "expected the current"),
        ("other", 1, "[models.changed.m]\nshare = 2", "isn't the note's id"),
        ("n", 1, "[models.changed.x]\nshare = 2", "'x' doesn't exist"),
        ("n", 1, '[models]\nwithdrawn = ["x"]', "'x' doesn't exist"),
        ("n", 1, '[models.added.m]\nversion = "v1"', "exists already"),
        ("n", 1, '[versions]\nadded = ["m@v1"]', "exists already"),
        ("n", 1, '[versions]\nwithdrawn = ["m@v1"]', "isn't among the vers"),
        ("n", 1, '[models.changed.m]\nversion = "v2"', "isn't among the vers"),
        ("n", 1, '[versions]\nadded = ["x@v1"]', "isn't among the models"),
        ("n", 1, '[models]\nwithdrawn = ["m"]', "isn't among the models"),
        ("n", 1, '[adapters.added.a]\nmodel = "x"', "isn't among the models"),
        (
            "n",
            1,
            "[priorities.added.batch]\nfloor = 0.6\ntime_limit_s = 9",
            "floors of 1.1",
        ),
        (
            "n",
            1,
            f'[teams.added.t]\nkey_digests = ["{"a" * 64}"]\nweight = 1\n'
            'priorities = ["batch"]',
            "share a key",
        ),
        ("n", 1, "nonsense", "no valid TOML"),
    ],
)
def test_a_note_that_does_not_fit_changes_nothing(
    record_id: str, base: int, body: str, problem: str
) -> None:
    text = f'id = "n"\nbase = {base}\n{body}'
    record = messages.NoteRecord(9, record_id, text)
    result = release_fold.fold_note(_STATE, record)
    assert result.verdict == "rejected"
    assert result.state is _STATE
    assert any(problem in line for line in result.problems), result.problems


def test_a_new_version_replaces_an_old_one_in_one_note() -> None:
    text = (
        'id = "n"\nbase = 1\n[models.changed.m]\nversion = "v2"\n'
        '[versions]\nadded = ["m@v2"]\nwithdrawn = ["m@v1"]'
    )
    record = messages.NoteRecord(2, "n", text)
    result = release_fold.fold_note(_STATE, record)
    assert result.verdict == "accepted"
    assert set(result.state.versions) == {"m@v2"}


@pytest.mark.parametrize("base", [0, 1])
def test_an_id_is_accepted_once(base: int) -> None:
    text = notes.FIRST_NOTE.replace("base = 0", f"base = {base}")
    record = messages.NoteRecord(2, "first", text)
    result = release_fold.fold_note(_STATE, record)
    assert (result.verdict, result.state) == ("repeated", _STATE)


def _records(bases: list[tuple[int, int]]) -> list[messages.NoteRecord]:
    return [_FIRST] + [
        messages.NoteRecord(
            offset, f"n{ident}", notes.share_note(f"n{ident}", base, offset)
        )
        for offset, (base, ident) in enumerate(bases, start=2)
    ]


@given(
    st.lists(st.tuples(st.integers(0, 12), st.integers(0, 9)), max_size=12),
    st.integers(0, 12),
)
def test_fold_over_a_snapshot_equals_the_fold(
    bases: list[tuple[int, int]], cut: int
) -> None:
    records = _records(bases)
    prefix = notes.fold_all(records[:cut])
    text = release_fold.encode_snapshot(release_fold.Snapshot(cut, 5.0, prefix))
    state = release_fold.decode_snapshot(text).state
    for record in records[cut:]:
        state = release_fold.fold_note(state, record).state
    assert state == notes.fold_all(records)


@pytest.mark.parametrize(
    "text",
    [
        "",
        "{}",
        "[1, 0.0, 3]",
        '[1, 0.0, [5, "n", {}, {}, {}, {}, {}, {}, []]]',
        '[1, 0.0, [-1, "n", {}, {}, {}, {}, {}, {}, []]]',
        '["1", 0.0, [1, "n", {}, {}, {}, {}, {}, {}, []]]',
        "\udce4",
    ],
)
def test_a_malformed_snapshot_is_refused(text: str) -> None:
    with pytest.raises(errors.ReleaseError):
        release_fold.decode_snapshot(text)
