"""Guards against a daemon that starts with invalid settings."""

import pathlib

import pytest

from apricottrestle import errors, settings

_ROOT = pathlib.Path(__file__).parent.parent / "examples"
_EXAMPLES = sorted(_ROOT.glob("*/[ae]*.toml"))
_ENTRY = _ROOT / "sweetbreeze" / "entry-maraval.toml"
_ENGINE = _ROOT / "sweetbreeze" / "agent-engine-maraval.toml"
_SERVICE = _ROOT / "sweetbreeze" / "agent-ledger-maraval.toml"


def test_every_data_centre_has_its_three_examples() -> None:
    assert len(_EXAMPLES) == 2 * 3 * 3


@pytest.mark.parametrize("path", _EXAMPLES, ids=lambda path: path.stem)
def test_an_example_is_valid(path: pathlib.Path) -> None:
    cfg = settings.load(str(path))
    assert path.stem in cfg.instance_id
    assert cfg.data_centres[0] == cfg.data_centre
    assert len(cfg.hmac_secret) >= 16


def test_the_addresses_of_a_fleet_are_distinct() -> None:
    for fleet in ("sweetbreeze", "zimska-trgatev"):
        found: list[str] = []
        for path in (_ROOT / fleet).glob("[ae]*.toml"):
            cfg = settings.load(str(path))
            found.append(cfg.ops)
            if isinstance(cfg, settings.EntrySettings):
                found.append(cfg.callers)
            else:
                found += [cfg.control, cfg.bulk]
        assert len(set(found)) == len(found)


def _problems(
    tmp_path: pathlib.Path, source: pathlib.Path, old: str, new: str
) -> list[str]:
    text = source.read_text()
    assert old in text
    path = tmp_path / "file.toml"
    path.write_text(text.replace(old, new))
    with pytest.raises(errors.SettingsError) as info:
        settings.load(str(path))
    for problem in info.value.problems:
        assert problem.startswith(f"{path}: ")
    return info.value.problems


@pytest.mark.parametrize(
    ("source", "old", "new", "problem"),
    [
        (_ENTRY, "grace_s = 30", "grace_s = -1", "grace_s: found -1, expected"),
        (_ENTRY, "grace_s = 30", "grace_s = true", "grace_s: found True"),
        (_ENTRY, "grace_s = 30", "grace_s = nan", "grace_s: found nan"),
        (_ENTRY, "grace_s = 30", "grace = 3", "grace: found 3, expected no su"),
        (
            _ENTRY,
            "max_requests = 20000",
            "grace_s = 3",
            "limits.grace_s: found 3, expected no such key; did you mean",
        ),
        (_ENTRY, "max_requests = 20000", "max_requests = 0", "at least 1"),
        (_ENTRY, "max_requests = 20000", "max_requests = 2.5", "found 2.5"),
        (_ENTRY, "[limits]", "[limit]", "limit.max_requests: found 20000"),
        (_ENTRY, '"entry-maraval-1"', '"a b"', "instance_id: found 'a b'"),
        (_ENTRY, '"entry-maraval-1"', "7", "instance_id: found 7, expected a"),
        (_ENTRY, "instance_id", "# ", "instance_id: found nothing"),
        (
            _ENTRY,
            '["maraval", "savannah", "promenade"]',
            '["savannah", "maraval"]',
            "expected its own data centre 'maraval' first",
        ),
        (
            _ENTRY,
            '["maraval", "savannah", "promenade"]',
            '["maraval", "savannah", "savannah"]',
            "each name once",
        ),
        (
            _ENTRY,
            '["maraval", "savannah", "promenade"]',
            '"maraval"',
            "data_centres: found 'maraval', expected a list",
        ),
        (_ENTRY, "127.0.0.1:22301", "localhost:22301", "'<numeric IP>:<port>'"),
        (_ENTRY, "127.0.0.1:22301", "127.0.0.1:0", "'<numeric IP>:<port>'"),
        (_ENTRY, "127.0.0.1:22301", "127.0.0.1", "'<numeric IP>:<port>'"),
        (_ENTRY, "127.0.0.1:22301", "127.0.0.1:22300", "another address than"),
        (_ENTRY, "http://127.0.0.1:22001", "https://x", "platform.log: found"),
        (_ENTRY, "http://127.0.0.1:22001", "http://log:1", "platform.log: fou"),
        (_ENTRY, "= 604800", "= 1", "log_retention_s: found 1, expected"),
        (_ENTRY, "log_retention_s", "# ", "log_retention_s: found nothing"),
        (_ENTRY, "hmac_secret", "# ", "fleet.hmac_secret: found nothing"),
        (_ENTRY, "[addresses]", "[addresses", "found no valid TOML"),
        (_ENGINE, '"engine"', '"motor"', "'engine' or 'service'"),
        (_ENGINE, "prefill_tokens_per_s", "# ", "more than 0 when kind is"),
        (_ENGINE, "slots = 16", 'service = "x"', "no service when kind is"),
        (_ENGINE, "slots = 16", "slots = '16'", "upstream.slots: found '16'"),
        (_SERVICE, "service = ", "# ", "a name when kind is 'service'"),
        (_SERVICE, "127.0.0.1:22322", "127.0.0.1:22321", "of addresses.bulk"),
    ],
)
def test_a_problem_names_file_key_found_and_expected(
    tmp_path: pathlib.Path,
    source: pathlib.Path,
    old: str,
    new: str,
    problem: str,
) -> None:
    problems = _problems(tmp_path, source, old, new)
    assert any(problem in line for line in problems), problems


def test_all_problems_are_reported_at_once(tmp_path: pathlib.Path) -> None:
    path = tmp_path / "file.toml"
    path.write_text('instance_id = 3\ncolour = "red"\n')
    with pytest.raises(errors.SettingsError) as info:
        settings.load_entry(str(path))
    keys = [line.split(": ")[1] for line in info.value.problems]
    assert keys == [
        "instance_id",
        "data_centre",
        "data_centres",
        "addresses.callers",
        "addresses.ops",
        "fleet.public_key",
        "fleet.secret_key",
        "fleet.hmac_secret",
        "platform.log",
        "platform.weights",
        "platform.instances",
        "platform.log_retention_s",
        "colour",
    ]


@pytest.mark.parametrize(
    ("key", "misspelt"),
    [
        ("secret_key", "secret_key"),
        ("hmac_secret", "hmac_secret"),
        ("hmac_secret", "hmac_sekret"),
    ],
)
def test_a_secret_is_never_quoted(
    tmp_path: pathlib.Path, key: str, misspelt: str
) -> None:
    problems = _problems(
        tmp_path, _ENTRY, f"{key} = ", f"{misspelt} = 'topsecret' # "
    )
    assert any("characters (hidden)" in line for line in problems)
    assert not any("topsecret" in line for line in problems)


def test_a_missing_file_is_a_problem_of_the_settings() -> None:
    with pytest.raises(errors.SettingsError, match="can't be read"):
        settings.load("/nonexistent/file.toml")
