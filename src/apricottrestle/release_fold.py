"""Folds the records of the release stream into the configuration state.

Folding is a pure function of the state and the next record.

Invariant: all processes that fold the same prefix of the stream hold equal
states, and the revision of a state never decreases. A note is accepted exactly
when its base is the current revision and the resulting state is consistent.
"""

from collections.abc import Mapping
from typing import Any, Final, Literal, NamedTuple, cast

import msgspec

from apricottrestle import config_state, errors, messages, release_note

SNAPSHOT_PREFIX: Final = "snapshot:"
"""Prefix of the record ids of snapshots. Note ids can't contain a colon."""

MAX_RECENT_NOTE_IDS: Final = 64
"""Number of accepted note ids kept to report a retried append as "repeated".
An older retry is rejected for its outdated base, so either way a retry is not
applied again."""

UNKNOWN_TIME: Final = 0.0
"""Value of `Snapshot.needed_since` when the time is not known."""

Verdict = Literal["accepted", "rejected", "repeated"]

_ROW_TYPES: Final[Mapping[release_note.Section, Any]] = {
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
    """Result of folding a note.

    Attributes:
        state: State after the note.
        verdict: "accepted", "rejected", or "repeated" for a note whose id was
            accepted before.
        problems: Why the note was rejected; empty otherwise.
    """

    state: config_state.ConfigState
    verdict: Verdict
    problems: list[str]


class Snapshot(NamedTuple):
    """The state folded up to a position of the release stream.

    Attributes:
        position: Offset up to which the stream was folded.
        needed_since: Log time of the oldest record that is needed to rebuild
            the state, Unix seconds; UNKNOWN_TIME makes a new snapshot due.
        state: State at `position`.
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
        The new state if the note was accepted, else the unchanged state.
    """
    if record.note_id in state.note_ids:
        return FoldResult(state, "repeated", [])
    try:
        note = release_note.parse(record.data)
        if note.note_id != record.note_id:
            raise errors.ReleaseError(
                [f"the record's id {record.note_id!r} isn't the note's id"]
            )
        return FoldResult(
            _apply_note(state, note, record.offset), "accepted", []
        )
    except errors.ReleaseError as exc:
        return FoldResult(state, "rejected", exc.problems)


def check_note(
    state: config_state.ConfigState, note: release_note.ReleaseNote
) -> list[str]:
    """Returns why the state would reject the note; empty if it wouldn't."""
    try:
        _apply_note(state, note, state.revision + 1)
    except errors.ReleaseError as exc:
        return exc.problems
    return []


def _apply_note(
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
        section: _apply_section(state, section, changes, problems)
        for section, changes in note.sections.items()
    }
    merged = state._replace(
        revision=revision,
        note_id=note.note_id,
        note_ids=(*state.note_ids, note.note_id)[-MAX_RECENT_NOTE_IDS:],
        **cast(Any, tables),
    )
    if not problems:
        problems = _consistency_problems(merged, note.sections)
    if problems:
        raise errors.ReleaseError(problems, step="fold")
    return merged


def _apply_section(
    state: config_state.ConfigState,
    section: release_note.Section,
    changes: release_note.SectionNote,
    problems: list[str],
) -> dict[str, Any]:
    rows: dict[str, Any] = dict(getattr(state, section))
    for name, fields in changes.added.items():
        if name in rows:
            problems.append(f"{section}.added: {name!r} exists already")
            continue
        rows[name] = _new_row(section, name, fields)
    for name, fields in changes.changed.items():
        if name not in rows:
            problems.append(f"{section}.changed: {name!r} doesn't exist")
            continue
        rows[name] = rows[name]._replace(**fields)
    for name in changes.withdrawn:
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
    return _ROW_TYPES[section](name=name, **values)


def _consistency_problems(
    state: config_state.ConfigState,
    sections: Mapping[release_note.Section, release_note.SectionNote],
) -> list[str]:
    """Returns the inconsistencies that the changed sections may have caused.

    Sections that the note leaves unchanged were checked before.
    """
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
    if "teams" in sections and _may_duplicate_keys(sections["teams"]):
        problems += _team_problems(state)
    return problems


def _may_duplicate_keys(teams: release_note.SectionNote) -> bool:
    """Returns whether the changes may give two teams the same key.

    Comparing the keys of 1,400 teams takes most of the time of a fold, and few
    notes change keys.
    """
    changed = teams.changed.values()
    return bool(teams.added) or any("key_digests" in row for row in changed)


def _model_problems(state: config_state.ConfigState) -> list[str]:
    problems = []
    for model in state.models.values():
        if f"{model.name}@{model.version}" not in state.versions:
            problems.append(
                f"models: {model.name!r} uses version {model.version!r}, which"
                " isn't among the versions"
            )
    for version in state.versions.values():
        if version.model not in state.models:
            problems.append(
                f"versions: the model of '{version.model}@{version.version}'"
                " isn't among the models"
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
                f"snapshot revision: found {snapshot.state.revision}, expected"
                f" 0 to the snapshot's position {snapshot.position}"
            ]
        )
    return snapshot


def is_snapshot(record_id: str) -> bool:
    """Returns whether a record id is that of a snapshot, not of a note."""
    return record_id.startswith(SNAPSHOT_PREFIX)
