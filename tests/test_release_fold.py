"""Guards against processes that fold one stream into different states."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from apricottrestle import config_state, errors, messages, release_fold
from tests import notes

_FIRST = messages.NoteRecord(1, "first", notes.FIRST_NOTE)
_STATE = notes.fold_all([_FIRST])


def test_first_note_sets_the_whole_configuration() -> None:
    assert _STATE.revision == 1
    assert _STATE.models["m"] == config_state.ModelSpec("m", "v1")
    assert _STATE.versions["m@v1"] == config_state.VersionSpec("m", "v1")
    assert _STATE.services["ledger"].time_limit_s == 30.0


def test_change_keeps_fields_that_the_note_omits() -> None:
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
def test_rejected_note_leaves_the_state_unchanged(
    record_id: str, base: int, body: str, problem: str
) -> None:
    text = f'id = "n"\nbase = {base}\n{body}'
    record = messages.NoteRecord(9, record_id, text)
    result = release_fold.fold_note(_STATE, record)
    assert result.verdict == "rejected"
    assert result.state is _STATE
    assert any(problem in line for line in result.problems), result.problems


def test_one_note_replaces_a_version_in_use() -> None:
    text = (
        'id = "n"\nbase = 1\n[models.changed.m]\nversion = "v2"\n'
        '[versions]\nadded = ["m@v2"]\nwithdrawn = ["m@v1"]'
    )
    record = messages.NoteRecord(2, "n", text)
    result = release_fold.fold_note(_STATE, record)
    assert result.verdict == "accepted"
    assert set(result.state.versions) == {"m@v2"}


@pytest.mark.parametrize("base", [0, 1])
def test_note_with_an_accepted_id_is_not_applied_again(base: int) -> None:
    text = notes.FIRST_NOTE.replace("base = 0", f"base = {base}")
    record = messages.NoteRecord(2, "first", text)
    result = release_fold.fold_note(_STATE, record)
    assert (result.verdict, result.state) == ("repeated", _STATE)


def _records(
    bases_and_ids: list[tuple[int, int]],
) -> list[messages.NoteRecord]:
    return [_FIRST] + [
        messages.NoteRecord(
            offset, f"n{number}", notes.share_note(f"n{number}", base, offset)
        )
        for offset, (base, number) in enumerate(bases_and_ids, start=2)
    ]


@given(
    st.lists(st.tuples(st.integers(0, 12), st.integers(0, 9)), max_size=12),
    st.integers(0, 12),
)
def test_fold_from_a_snapshot_equals_the_whole_fold(
    bases_and_ids: list[tuple[int, int]], snapshot_at: int
) -> None:
    records = _records(bases_and_ids)
    prefix = notes.fold_all(records[:snapshot_at])
    text = release_fold.encode_snapshot(
        release_fold.Snapshot(snapshot_at, 5.0, prefix)
    )
    state = release_fold.decode_snapshot(text).state
    for record in records[snapshot_at:]:
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
def test_malformed_snapshot_raises_a_release_error(text: str) -> None:
    with pytest.raises(errors.ReleaseError):
        release_fold.decode_snapshot(text)
