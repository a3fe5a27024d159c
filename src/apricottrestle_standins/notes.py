"""Release notes of the demo and of the process tests."""

import hashlib
import json
from typing import Final

MODEL: Final = "brajda"
SERVICE: Final = "ledger"
NON_REPEATABLE_PATH: Final = "/entries"
KEYS: Final = {"harvest": "key-of-harvest", "orders": "key-of-orders"}
"""API keys by team. The team `orders` may not use the priority batch."""

_PRIORITIES: Final = {
    "urgent": (0.3, 30.0),
    "standard": (0.2, 60.0),
    "batch": (0.1, 120.0),
}
_TEAM_PRIORITIES: Final = {
    "harvest": ["urgent", "standard", "batch"],
    "orders": ["urgent", "standard"],
}


def first_note() -> str:
    """Returns the note that adds a model, two teams and a service."""
    lines = [
        'id = "first"',
        "base = 0",
        "[models.added]",
        f'{MODEL} = {{version = "v1", share = 1.0}}',
        "[versions]",
        f'added = ["{MODEL}@v1"]',
        "[priorities.added]",
    ]
    for name, (floor, limit_s) in _PRIORITIES.items():
        lines.append(f"{name} = {{floor = {floor}, time_limit_s = {limit_s}}}")
    lines.append("[teams.added]")
    for team, key in KEYS.items():
        lines.append(f"{team} = {_team_entry(key, _TEAM_PRIORITIES[team])}")
    lines += [
        "[services.added]",
        f'{SERVICE} = {{not_repeatable = ["POST {NON_REPEATABLE_PATH}"], '
        "time_limit_s = 20.0}",
    ]
    return "\n".join(lines) + "\n"


def second_note(base: int) -> str:
    """Returns a note based on revision `base`: a model version and a team."""
    return "\n".join(
        [
            'id = "second"',
            f"base = {base}",
            "[models.changed]",
            f'{MODEL} = {{version = "v2"}}',
            "[versions]",
            f'added = ["{MODEL}@v2"]',
            "[teams.added]",
            f'"press" = {_team_entry("key-of-press", ["standard"])}',
            "",
        ]
    )


def _team_entry(key: str, priorities: list[str]) -> str:
    digest = hashlib.sha256(key.encode()).hexdigest()
    return (
        f'{{key_digests = ["{digest}"], weight = 1.0, '
        f"priorities = {json.dumps(priorities)}}}"
    )
