"""Fold of the release stream: a pure function of state and record.

Invariant: all processes that fold the same prefix of the stream hold equal
states, and the revision of a state never falls. A note is accepted exactly when
its base is the current revision and the result is consistent.
"""

from collections.abc import Mapping
from typing import Any, Final, Literal, NamedTuple, cast

import msgspec

from apricottrestle import config_state, errors, messages, release_note

SNAPSHOT_PREFIX: Final = "snapshot:"
"""Ids of snapshot records; a note id can't contain a colon."""

MAX_RECENT_NOTE_IDS: Final = 64
"""Ids kept to name a retry as such. A retry that comes later is rejected for
its old base, so the bound changes no outcome but the wording."""

UNKNOWN_TIME: Final = 0.0

Verdict = Literal["accepted", "rejected", "repeated"]

_ROWS: Final[Mapping[release_note.Section, Any]] = {
    "models": config_state.ModelSpec,
    "versions": config_state.VersionSpec,
    "adapters": config_state.AdapterSpec,
    "priorities": config_state.PrioritySpec,
    "teams": config_state.TeamSpec,
    "services": config_state.ServiceSpec,
}
_ROW_DEFAULTS: Final[Mapping[release_note.Section, dict[str, Any]]] = {
    "services": {"not_repeatable": ()},
}


class FoldResult(NamedTuple):
    """State after a note, and what became of the note."""

    state: config_state.ConfigState
    verdict: Verdict
    problems: list[str]


class Snapshot(NamedTuple):
    """A folded state.

    Attributes:
        position: Offset up to which the stream was folded.
        needed_since: Log time of the oldest record from which the writer can
            be rebuilt, Unix seconds; UNKNOWN_TIME makes a new snapshot due.
        state: The state there.
    """

    position: int
    needed_since: float
    state: config_state.ConfigState


def fold_note(
    state: config_state.ConfigState, record: messages.NoteRecord
) -> FoldResult:
    """Folds one note record into the state.

    Args:
        state: State before the record.
        record: Record of a note, not of a snapshot.

    Returns:
        The new state when accepted, otherwise the old one with the problems.
    """
    if record.note_id in state.note_ids:
        return FoldResult(state, "repeated", [])
    try:
        note = release_note.parse(record.data)
        if note.note_id != record.note_id:
            raise errors.ReleaseError(
                [f"the record's id {record.note_id!r} isn't the note's id"]
            )
        return FoldResult(_apply(state, note, record.offset), "accepted", [])
    except errors.ReleaseError as exc:
        return FoldResult(state, "rejected", exc.problems)


def check_note(
    state: config_state.ConfigState, note: release_note.ReleaseNote
) -> list[str]:
    """Returns why a note would be rejected in this state; empty when not."""
    try:
        _apply(state, note, state.revision + 1)
    except errors.ReleaseError as exc:
        return exc.problems
    return []


def _apply(
    state: config_state.ConfigState,
    note: release_note.ReleaseNote,
    revision: int,
) -> config_state.ConfigState:
    if note.base != state.revision:
        raise errors.ReleaseError(
            [
                f"base: found {note.base}, expected the current revision"
                f" {state.revision}"
            ],
            step="fold",
        )
    problems: list[str] = []
    tables = {
        section: _apply_section(state, section, part, problems)
        for section, part in note.sections.items()
    }
    merged = state._replace(
        revision=revision,
        note_id=note.note_id,
        note_ids=(*state.note_ids, note.note_id)[-MAX_RECENT_NOTE_IDS:],
        **cast(Any, tables),
    )
    if not problems:
        problems = _inconsistencies(merged, note.sections)
    if problems:
        raise errors.ReleaseError(problems, step="fold")
    return merged


def _apply_section(
    state: config_state.ConfigState,
    section: release_note.Section,
    part: release_note.SectionNote,
    problems: list[str],
) -> dict[str, Any]:
    rows: dict[str, Any] = dict(getattr(state, section))
    for name, fields in part.added.items():
        if name in rows:
            problems.append(f"{section}.added: {name!r} exists already")
            continue
        rows[name] = _new_row(section, name, fields)
    for name, fields in part.changed.items():
        if name not in rows:
            problems.append(f"{section}.changed: {name!r} doesn't exist")
            continue
        rows[name] = rows[name]._replace(**fields)
    for name in part.withdrawn:
        if rows.pop(name, None) is None:
            problems.append(f"{section}.withdrawn: {name!r} doesn't exist")
    return rows


def _new_row(
    section: release_note.Section, name: str, fields: dict[str, Any]
) -> Any:
    if section == "versions":
        model, _, version = name.partition("@")
        return config_state.VersionSpec(model, version)
    values = {**_ROW_DEFAULTS.get(section, {}), **fields}
    return _ROWS[section](name=name, **values)


def _inconsistencies(
    state: config_state.ConfigState,
    sections: Mapping[release_note.Section, release_note.SectionNote],
) -> list[str]:
    """Checks what a note touched; the rest is consistent."""
    problems: list[str] = []
    if sections.keys() & {"models", "versions", "adapters"}:
        problems += _model_problems(state)
    if "priorities" in sections:
        total = sum(row.floor for row in state.priorities.values())
        if total > 1 + 1e-9:
            problems.append(
                f"priorities: found floors of {total:g} in all, expected at"
                " most 1"
            )
    if "teams" in sections and _touches_keys(sections["teams"]):
        problems += _team_problems(state)
    return problems


def _touches_keys(teams: release_note.SectionNote) -> bool:
    """Tells whether a note may have given two teams the same key.

    Comparing the keys of 1,400 teams took most of the time of a fold, and few
    notes change keys.
    """
    changed = teams.changed.values()
    return bool(teams.added) or any("key_digests" in row for row in changed)


def _model_problems(state: config_state.ConfigState) -> list[str]:
    problems = []
    for model in state.models.values():
        if f"{model.name}@{model.version}" not in state.versions:
            problems.append(
                f"models: {model.name!r} names version {model.version!r}, which"
                " isn't among the versions"
            )
    for version in state.versions.values():
        if version.model not in state.models:
            problems.append(
                f"versions: '{version.model}@{version.version}' is of a model"
                " that isn't among the models"
            )
    for adapter in state.adapters.values():
        if adapter.model not in state.models:
            problems.append(
                f"adapters: {adapter.name!r} is for model {adapter.model!r},"
                " which isn't among the models"
            )
    return problems


def _team_problems(state: config_state.ConfigState) -> list[str]:
    problems = []
    owners: dict[str, str] = {}
    for team in state.teams.values():
        for digest in team.key_digests:
            owner = owners.setdefault(digest, team.name)
            if owner != team.name:
                problems.append(
                    f"teams: {owner!r} and {team.name!r} share a key"
                )
    return problems


def encode_snapshot(snapshot: Snapshot) -> str:
    """Returns the snapshot as JSON text."""
    return msgspec.json.encode(snapshot).decode()


def decode_snapshot(text: str) -> Snapshot:
    """Decodes and validates the text of a snapshot.

    Raises:
        ReleaseError: The text isn't a snapshot.
    """
    try:
        snapshot = msgspec.json.decode(text, type=Snapshot)
    except (msgspec.DecodeError, UnicodeError) as exc:
        raise errors.ReleaseError([f"malformed snapshot: {exc}"]) from exc
    if not 0 <= snapshot.state.revision <= snapshot.position:
        raise errors.ReleaseError(
            [
                f"snapshot of revision {snapshot.state.revision} at"
                f" {snapshot.position}"
            ]
        )
    return snapshot


def is_snapshot(record_id: str) -> bool:
    """Tells a snapshot record from a note by its id."""
    return record_id.startswith(SNAPSHOT_PREFIX)
