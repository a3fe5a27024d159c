"""Guards against invalid release notes that the parser accepts."""

import pathlib

import pytest

from apricottrestle import config_state, errors, release_fold, release_note
from tests import notes

_EXAMPLES = pathlib.Path(__file__).parent.parent / "examples"
_HEADER = 'id = "n"\nbase = 0\n'


def test_valid_note_parses_into_its_sections() -> None:
    note = release_note.parse(notes.FIRST_NOTE)
    assert (note.note_id, note.base) == ("first", 0)
    assert note.sections["versions"].added == {"m@v1": {}}
    assert note.sections["priorities"].added["urgent"]["floor"] == 0.5
    assert note.sections["teams"].added["orders"]["priorities"] == ("urgent",)


@pytest.mark.parametrize("fleet", ["zimska-trgatev", "sweetbreeze"])
def test_first_release_of_each_example_is_accepted(
    fleet: str,
) -> None:
    path = _EXAMPLES / fleet / "first-release.toml"
    note = release_note.parse(path.read_text())
    assert release_fold.check_note(config_state.EMPTY, note) == []
    assert len(note.sections["teams"].added) == 10


@pytest.mark.parametrize(
    ("text", "problem"),
    [
        ("a = [", "no valid TOML"),
        ("a = " + "9" * 5000, "no valid TOML"),
        ("a = " + "[" * 100_000, "no valid TOML"),
        ("# " + "x" * 600_000, "more than"),
        ('base = 0\n[models]\nwithdrawn = ["m"]', "id: found nothing"),
        ('id = "a:b"\nbase = 0\n[models]\nwithdrawn = ["m"]', "id: found 'a:b"),
        ('id = "n"\nbase = -1\n[models]\nwithdrawn = ["m"]', "base: found -1"),
        ('id = "n"\nbase = true\n[models]\nwithdrawn = ["m"]', "base: found T"),
        (_HEADER, "changes nothing"),
        (_HEADER + "[models]", "something that changes"),
        (_HEADER + "models = 3", "models: found 3, expected a table"),
        (_HEADER + "[modles.added.m]", "modles"),
        (_HEADER + "[models.add.m]", "models.add: "),
        (_HEADER + "[models.added.m]", "models.added.m.version: found nothing"),
        (_HEADER + '[models.added."m m"]\nversion = "v"', "expected a name"),
        (_HEADER + '[models.added."m@v"]\nversion = "v"', "expected a name"),
        (_HEADER + "[models.changed.m]\nshare = true", "share: found True"),
        (_HEADER + "[models.changed.m]\nshare = nan", "share: found nan"),
        (_HEADER + "[models.changed.m]\nshare = inf", "share: found inf"),
        (_HEADER + "[models.changed.m]\nshare = -1", "share: found -1"),
        (_HEADER + "[models.changed.m]\nshare = 1" + "0" * 400, "share: found"),
        (
            _HEADER + "[models.changed.m]\nmax_prompt_tokens = 1000001",
            "from 1 to 1000000",
        ),
        (_HEADER + "[models.changed.m]\nmax_prompt_tokens = 1.5", "found 1.5"),
        (_HEADER + "[models.changed.m]\nshares = 1", "m.shares: found 1"),
        (_HEADER + "[models.changed.m]", "a field that changes"),
        (_HEADER + "[models.changed]\nm = 1", "models.changed.m: found 1"),
        (_HEADER + '[models]\nwithdrawn = "m"', "a list of names"),
        (_HEADER + "[models]\nwithdrawn = [1]", "withdrawn: found 1"),
        (_HEADER + '[versions]\nadded = ["m"]', "'model@version'"),
        (_HEADER + "[versions.added.m]\nx = 1", "a list of names"),
        (_HEADER + '[versions]\nchanged = ["m@v"]', "added or withdrawn only"),
        (
            _HEADER + '[models]\nwithdrawn = ["m"]\n'
            "[models.changed.m]\nshare = 1",
            "each name once",
        ),
        (_HEADER + '[versions]\nadded = ["m@v", "m@v"]', "each name once"),
        (
            _HEADER + "[priorities.added.high]\nfloor = 0\ntime_limit_s = 1",
            "one of urgent, standard, batch",
        ),
        (_HEADER + "[priorities.changed.urgent]\nfloor = 1.1", "from 0 to 1"),
        (_HEADER + "[teams.changed.t]\nweight = 0", "weight: found 0"),
        (
            _HEADER + '[teams.changed.t]\npriorities = ["x"]',
            "priorities: found",
        ),
        (
            _HEADER + '[teams.changed.t]\nkey_digests = ["AB"]',
            "hex SHA-256 digests",
        ),
        (
            _HEADER + '[services.changed.s]\nnot_repeatable = ["/x"]',
            "METHOD /path-prefix",
        ),
    ],
)
def test_invalid_note_is_rejected_with_the_reason(
    text: str, problem: str
) -> None:
    with pytest.raises(errors.ReleaseError) as info:
        release_note.parse(text)
    assert any(problem in line for line in info.value.problems), (
        info.value.problems
    )


def test_all_problems_are_reported_at_once() -> None:
    with pytest.raises(errors.ReleaseError) as info:
        release_note.parse(
            'id = "?"\nbase = "x"\n[models.added.m]\nshare = "y"'
        )
    keys = [line.partition(":")[0] for line in info.value.problems]
    assert keys == [
        "base",
        "id",
        "models.added.m.share",
        "models.added.m.version",
    ]
