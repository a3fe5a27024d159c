"""Release notes: TOML text, parsed and checked without the state.

Invariant: whether a note parses depends on its text alone, because every
process of the fleet must come to the same result.
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
_DIGEST: Final = re.compile(r"[0-9a-f]{64}")
_ROUTE: Final = re.compile(r"[A-Z]+ /\S*")
_MAX_WEIGHT: Final = 1e6


class SectionNote(NamedTuple):
    """Part of a note about one section; fields are checked for type and range.

    Attributes:
        added: Fields by name; for versions each is empty.
        changed: Fields that change, by name.
        withdrawn: Names.
    """

    added: dict[str, dict[str, Any]]
    changed: dict[str, dict[str, Any]]
    withdrawn: tuple[str, ...]


class ReleaseNote(NamedTuple):
    """A release note.

    Attributes:
        note_id: Id chosen by the operator; a repeated id is ignored.
        base: Revision on which the note is based.
        sections: What changes, by section.
    """

    note_id: str
    base: int
    sections: dict[Section, SectionNote]


class _Field(NamedTuple):
    kind: Any
    expected: str
    required: bool = True
    low: float | None = None
    high: float | None = None
    pattern: re.Pattern[str] | None = None


_FIELDS: Final[dict[Section, dict[str, _Field]]] = {
    "models": {
        "version": _Field(str, "a version name", pattern=_NAME),
        "share": _Field(
            float, "a number from 0 to 1e6", False, 0.0, _MAX_WEIGHT
        ),
        "max_prompt_tokens": _Field(
            int,
            f"an integer from 1 to {MAX_PROMPT_TOKENS}",
            False,
            1,
            MAX_PROMPT_TOKENS,
        ),
    },
    "adapters": {"model": _Field(str, "a model name", pattern=_NAME)},
    "versions": {},
    "priorities": {
        "floor": _Field(float, "a number from 0 to 1", True, 0.0, 1.0),
        "time_limit_s": _Field(
            float, "a number from 0.1 to 86400", True, 0.1, MAX_TIME_LIMIT_S
        ),
    },
    "teams": {
        "key_digests": _Field(
            tuple[str, ...], "a list of hex SHA-256 digests", pattern=_DIGEST
        ),
        "weight": _Field(
            float, "a number from 0.001 to 1e6", True, 0.001, _MAX_WEIGHT
        ),
        "priorities": _Field(
            tuple[str, ...],
            f"a list of names out of {', '.join(messages.PRIORITIES)}",
            pattern=re.compile("|".join(messages.PRIORITIES)),
        ),
    },
    "services": {
        "not_repeatable": _Field(
            tuple[str, ...],
            "a list of 'METHOD /path-prefix'",
            False,
            pattern=_ROUTE,
        ),
        "time_limit_s": _Field(
            float, "a number from 0.1 to 86400", False, 0.1, MAX_TIME_LIMIT_S
        ),
    },
}


def parse(text: str) -> ReleaseNote:
    """Parses and checks the text of a release note.

    Raises:
        ReleaseError: With all problems of the text.
    """
    if len(text.encode(errors="replace")) > MAX_NOTE_BYTES:
        raise errors.ReleaseError([f"more than {MAX_NOTE_BYTES} bytes"])
    try:
        table = tomllib.loads(text)
    except (ValueError, RecursionError) as exc:
        raise errors.ReleaseError([f"no valid TOML: {exc}"]) from exc
    return _Checker().note(table)


class _Checker:
    """Checks the tables of one note and collects the problems."""

    def __init__(self) -> None:
        self._problems: list[str] = []

    def note(self, table: dict[str, Any]) -> ReleaseNote:
        note_id, base = table.get("id"), table.get("base")
        if not isinstance(note_id, str) or not _NOTE_ID.fullmatch(note_id):
            self._add("id", note_id, "letters, digits, '.', '_', '-'")
        if type(base) is not int or base < 0:
            self._add("base", base, "the revision that the note is based on")
        for key in table.keys() - {"id", "base", *SECTIONS}:
            self._add(key, table[key], f"one of {', '.join(SECTIONS)}")
        sections = {
            name: self._section(name, table[name])
            for name in SECTIONS
            if name in table
        }
        if not sections:
            self._problems.append("the note changes nothing")
        if self._problems:
            raise errors.ReleaseError(sorted(self._problems))
        return ReleaseNote(str(note_id), int(base or 0), sections)

    def _add(self, key: str, found: object, expected: str) -> None:
        shown = "nothing" if found is None else repr(found)[:80]
        self._problems.append(f"{key}: found {shown}, expected {expected}")

    def _section(self, section: Section, table: Any) -> SectionNote:
        if not isinstance(table, dict):
            self._add(section, table, "a table")
            return SectionNote({}, {}, ())
        for key in table.keys() - {"added", "changed", "withdrawn"}:
            self._add(
                f"{section}.{key}", table[key], "added, changed or withdrawn"
            )
        if not any(table.values()):
            self._add(section, table, "something that changes")
        note = SectionNote(
            self._rows(section, "added", table.get("added", {})),
            self._rows(section, "changed", table.get("changed", {})),
            self._names(section, "withdrawn", table.get("withdrawn", [])),
        )
        self._check_once(section, note)
        return note

    def _check_once(self, section: Section, note: SectionNote) -> None:
        names = [*note.added, *note.changed, *note.withdrawn]
        for name in sorted({name for name in names if names.count(name) > 1}):
            self._add(section, name, "each name once in the section")

    def _rows(
        self, section: Section, verb: str, rows: Any
    ) -> dict[str, dict[str, Any]]:
        if section == "versions":
            if verb == "changed" and rows:
                self._add("versions.changed", rows, "added or withdrawn only")
                return {}
            return {name: {} for name in self._names(section, verb, rows)}
        if not isinstance(rows, dict):
            self._add(f"{section}.{verb}", rows, "a table of tables")
            return {}
        return {
            name: self._row(section, verb, name, row)
            for name, row in rows.items()
        }

    def _names(
        self, section: Section, verb: str, names: Any
    ) -> tuple[str, ...]:
        if section == "versions" and names == {}:
            return ()
        if not isinstance(names, list):
            self._add(f"{section}.{verb}", names, "a list of names")
            return ()
        for name in names:
            self._check_name(section, verb, name)
        texts = tuple(str(name) for name in names)
        if len(set(texts)) < len(texts):
            self._add(f"{section}.{verb}", names, "each name once")
        return tuple(dict.fromkeys(texts))

    def _check_name(self, section: Section, verb: str, name: object) -> None:
        pattern = _VERSION if section == "versions" else _NAME
        expected = "'model@version'" if section == "versions" else "a name"
        if section == "priorities":
            pattern = re.compile("|".join(messages.PRIORITIES))
            expected = f"one of {', '.join(messages.PRIORITIES)}"
        if not isinstance(name, str) or not pattern.fullmatch(name):
            self._add(f"{section}.{verb}", name, expected)

    def _row(
        self, section: Section, verb: str, name: str, row: Any
    ) -> dict[str, Any]:
        key = f"{section}.{verb}.{name}"
        self._check_name(section, verb, name)
        if not isinstance(row, dict):
            self._add(key, row, "a table")
            return {}
        fields = _FIELDS[section]
        for field in row.keys() - fields.keys():
            self._add(
                f"{key}.{field}", row[field], f"one of {', '.join(fields)}"
            )
        for field, rule in fields.items():
            if verb == "added" and rule.required and field not in row:
                self._add(f"{key}.{field}", None, rule.expected)
        if verb == "changed" and not row:
            self._add(key, row, "a field that changes")
        return {
            field: self._value(f"{key}.{field}", row[field], fields[field])
            for field in row.keys() & fields.keys()
        }

    def _value(self, key: str, found: Any, rule: _Field) -> Any:
        try:
            value = msgspec.convert(found, rule.kind)
        except (msgspec.ValidationError, OverflowError):
            self._add(key, found, rule.expected)
            return found
        if not _fits(value, rule):
            self._add(key, found, rule.expected)
        return value


def _fits(value: Any, rule: _Field) -> bool:
    if rule.pattern is not None:
        texts = (value,) if isinstance(value, str) else value
        distinct = len(set(texts)) == len(texts)
        return distinct and all(rule.pattern.fullmatch(text) for text in texts)
    if rule.low is None or rule.high is None:
        return True
    return bool(rule.low <= value <= rule.high)
