"""Parser and validator of release notes.

A release note is a TOML text that changes the fleet's configuration.

Invariant: whether a note parses depends on its text alone, not on the state,
because every process of the fleet must get the same result.
"""

import re
import tomllib
from typing import Any, Final, Literal, NamedTuple, get_args

import msgspec

from apricottrestle import errors, messages

Section = Literal[
    "models", "adapters", "versions", "priorities", "teams", "services"
]
SECTIONS: Final[tuple[Section, ...]] = get_args(Section)

MAX_NOTE_BYTES: Final = 512 * 1024
MAX_PROMPT_TOKENS: Final = 1_000_000
MAX_TIME_LIMIT_S: Final = 86_400.0

_NOTE_ID: Final = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,99}")
_NAME: Final = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,99}")
_VERSION: Final = re.compile(f"{_NAME.pattern}@{_NAME.pattern}")
_KEY_DIGEST: Final = re.compile(r"[0-9a-f]{64}")
_ROUTE: Final = re.compile(r"[A-Z]+ /\S*")
_MAX_WEIGHT: Final = 1e6


class SectionNote(NamedTuple):
    """Changes to one section; fields are checked for type and range.

    Attributes:
        added: Fields of each new row, by row name; a version has no fields.
        changed: Fields that change in each row, by row name.
        withdrawn: Names of the rows to remove.
    """

    added: dict[str, dict[str, Any]]
    changed: dict[str, dict[str, Any]]
    withdrawn: tuple[str, ...]


class ReleaseNote(NamedTuple):
    """A release note.

    Attributes:
        note_id: Id chosen by the operator. A note with the id of an accepted
            note is ignored.
        base: Revision that the note changes.
        sections: Changes by section.
    """

    note_id: str
    base: int
    sections: dict[Section, SectionNote]


class _FieldRule(NamedTuple):
    """Constraints on the value of one field.

    Attributes:
        kind: Type that msgspec converts the value to.
        expected: Description of a valid value, for error messages.
        required: Whether an added row must have the field.
        low: Least value, or None without bounds.
        high: Greatest value, or None without bounds.
        pattern: Pattern of a string, or of each string of a list.
    """

    kind: Any
    expected: str
    required: bool = True
    low: float | None = None
    high: float | None = None
    pattern: re.Pattern[str] | None = None


_FIELDS: Final[dict[Section, dict[str, _FieldRule]]] = {
    "models": {
        "version": _FieldRule(str, "a version name", pattern=_NAME),
        "share": _FieldRule(
            float, "a number from 0 to 1e6", False, 0.0, _MAX_WEIGHT
        ),
        "max_prompt_tokens": _FieldRule(
            int,
            f"an integer from 1 to {MAX_PROMPT_TOKENS}",
            False,
            1,
            MAX_PROMPT_TOKENS,
        ),
    },
    "adapters": {"model": _FieldRule(str, "a model name", pattern=_NAME)},
    "versions": {},
    "priorities": {
        "floor": _FieldRule(float, "a number from 0 to 1", True, 0.0, 1.0),
        "time_limit_s": _FieldRule(
            float, "a number from 0.1 to 86400", True, 0.1, MAX_TIME_LIMIT_S
        ),
    },
    "teams": {
        "key_digests": _FieldRule(
            tuple[str, ...],
            "a list of hex SHA-256 digests",
            pattern=_KEY_DIGEST,
        ),
        "weight": _FieldRule(
            float, "a number from 0.001 to 1e6", True, 0.001, _MAX_WEIGHT
        ),
        "priorities": _FieldRule(
            tuple[str, ...],
            f"a list of names out of {', '.join(messages.PRIORITIES)}",
            pattern=re.compile("|".join(messages.PRIORITIES)),
        ),
    },
    "services": {
        "not_repeatable": _FieldRule(
            tuple[str, ...],
            "a list of 'METHOD /path-prefix'",
            False,
            pattern=_ROUTE,
        ),
        "time_limit_s": _FieldRule(
            float, "a number from 0.1 to 86400", False, 0.1, MAX_TIME_LIMIT_S
        ),
    },
}


def parse(text: str) -> ReleaseNote:
    """Parses and checks the text of a release note.

    Raises:
        ReleaseError: The note is not valid; lists all problems of the text.
    """
    if len(text.encode(errors="replace")) > MAX_NOTE_BYTES:
        raise errors.ReleaseError(
            [f"the note has more than {MAX_NOTE_BYTES} bytes"]
        )
    try:
        table = tomllib.loads(text)
    except (ValueError, RecursionError) as exc:
        raise errors.ReleaseError([f"no valid TOML: {exc}"]) from exc
    return _NoteParser().parse(table)


class _NoteParser:
    """Converts the TOML tables of one note and collects all problems."""

    def __init__(self) -> None:
        self._problems: list[str] = []

    def parse(self, table: dict[str, Any]) -> ReleaseNote:
        note_id, base = table.get("id"), table.get("base")
        if not isinstance(note_id, str) or not _NOTE_ID.fullmatch(note_id):
            self._add_problem("id", note_id, "letters, digits, '.', '_', '-'")
        if type(base) is not int or base < 0:
            self._add_problem(
                "base", base, "the revision that the note is based on"
            )
        for key in table.keys() - {"id", "base", *SECTIONS}:
            self._add_problem(key, table[key], f"one of {', '.join(SECTIONS)}")
        sections = {
            name: self._parse_section(name, table[name])
            for name in SECTIONS
            if name in table
        }
        if not sections:
            self._problems.append("the note changes nothing")
        if self._problems:
            raise errors.ReleaseError(sorted(self._problems))
        return ReleaseNote(str(note_id), int(base or 0), sections)

    def _add_problem(self, key: str, found: object, expected: str) -> None:
        shown = "nothing" if found is None else repr(found)[:80]
        self._problems.append(f"{key}: found {shown}, expected {expected}")

    def _parse_section(self, section: Section, table: Any) -> SectionNote:
        if not isinstance(table, dict):
            self._add_problem(section, table, "a table")
            return SectionNote({}, {}, ())
        for key in table.keys() - {"added", "changed", "withdrawn"}:
            self._add_problem(
                f"{section}.{key}", table[key], "added, changed or withdrawn"
            )
        if not any(table.values()):
            self._add_problem(section, table, "something that changes")
        note = SectionNote(
            self._parse_rows(section, "added", table.get("added", {})),
            self._parse_rows(section, "changed", table.get("changed", {})),
            self._parse_names(section, "withdrawn", table.get("withdrawn", [])),
        )
        self._check_distinct_names(section, note)
        return note

    def _check_distinct_names(
        self, section: Section, note: SectionNote
    ) -> None:
        names = [*note.added, *note.changed, *note.withdrawn]
        for name in sorted({name for name in names if names.count(name) > 1}):
            self._add_problem(section, name, "each name once in the section")

    def _parse_rows(
        self, section: Section, operation: str, rows: Any
    ) -> dict[str, dict[str, Any]]:
        if section == "versions":
            if operation == "changed" and rows:
                self._add_problem(
                    "versions.changed", rows, "added or withdrawn only"
                )
                return {}
            return {
                name: {} for name in self._parse_names(section, operation, rows)
            }
        if not isinstance(rows, dict):
            self._add_problem(
                f"{section}.{operation}", rows, "a table of tables"
            )
            return {}
        return {
            name: self._parse_row(section, operation, name, row)
            for name, row in rows.items()
        }

    def _parse_names(
        self, section: Section, operation: str, names: Any
    ) -> tuple[str, ...]:
        if section == "versions" and names == {}:
            return ()
        if not isinstance(names, list):
            self._add_problem(
                f"{section}.{operation}", names, "a list of names"
            )
            return ()
        for name in names:
            self._check_name(section, operation, name)
        texts = tuple(str(name) for name in names)
        if len(set(texts)) < len(texts):
            self._add_problem(f"{section}.{operation}", names, "each name once")
        return tuple(dict.fromkeys(texts))

    def _check_name(
        self, section: Section, operation: str, name: object
    ) -> None:
        pattern = _VERSION if section == "versions" else _NAME
        expected = "'model@version'" if section == "versions" else "a name"
        if section == "priorities":
            pattern = re.compile("|".join(messages.PRIORITIES))
            expected = f"one of {', '.join(messages.PRIORITIES)}"
        if not isinstance(name, str) or not pattern.fullmatch(name):
            self._add_problem(f"{section}.{operation}", name, expected)

    def _parse_row(
        self, section: Section, operation: str, name: str, row: Any
    ) -> dict[str, Any]:
        key = f"{section}.{operation}.{name}"
        self._check_name(section, operation, name)
        if not isinstance(row, dict):
            self._add_problem(key, row, "a table")
            return {}
        fields = _FIELDS[section]
        for field in row.keys() - fields.keys():
            self._add_problem(
                f"{key}.{field}", row[field], f"one of {', '.join(fields)}"
            )
        for field, rule in fields.items():
            if operation == "added" and rule.required and field not in row:
                self._add_problem(f"{key}.{field}", None, rule.expected)
        if operation == "changed" and not row:
            self._add_problem(key, row, "a field that changes")
        return {
            field: self._parse_value(
                f"{key}.{field}", row[field], fields[field]
            )
            for field in row.keys() & fields.keys()
        }

    def _parse_value(self, key: str, found: Any, rule: _FieldRule) -> Any:
        try:
            value = msgspec.convert(found, rule.kind)
        except (msgspec.ValidationError, OverflowError):
            self._add_problem(key, found, rule.expected)
            return found
        if not _satisfies(value, rule):
            self._add_problem(key, found, rule.expected)
        return value


def _satisfies(value: Any, rule: _FieldRule) -> bool:
    if rule.pattern is not None:
        texts = (value,) if isinstance(value, str) else value
        is_distinct = len(set(texts)) == len(texts)
        return is_distinct and all(
            rule.pattern.fullmatch(text) for text in texts
        )
    if rule.low is None or rule.high is None:
        return True
    return bool(rule.low <= value <= rule.high)
