"""The folded configuration: what the accepted release notes add up to.

Invariant: a ConfigState is immutable; `revision` is the log offset of the last
accepted note, and a process replaces its state only by one with a higher
revision.
"""

from typing import NamedTuple


class ModelSpec(NamedTuple):
    """A model in service.

    Attributes:
        name: Model name that callers use.
        version: Version that new requests get.
        share: Weight of the model in the placement; the share of engines before
            demand counts.
        max_prompt_tokens: Longest prompt that is accepted.
    """

    name: str
    version: str
    share: float = 1.0
    max_prompt_tokens: int = 1_000_000


class VersionSpec(NamedTuple):
    """A version of a model; listed while it may serve."""

    model: str
    version: str


class AdapterSpec(NamedTuple):
    """An adapter for a model."""

    name: str
    model: str


class PrioritySpec(NamedTuple):
    """Settings of a priority class.

    Attributes:
        name: One of messages.PRIORITIES.
        floor: Least share of an engine's tokens that the class keeps in a
            flood, 0 to 1.
        time_limit_s: Time limit of a request that names none.
    """

    name: str
    floor: float
    time_limit_s: float


class TeamSpec(NamedTuple):
    """A team of callers.

    Attributes:
        name: Team name.
        key_digests: Hex SHA-256 digests of the team's API keys.
        weight: Weight of the team's token share.
        priorities: Priority classes that the team may use.
    """

    name: str
    key_digests: tuple[str, ...]
    weight: float
    priorities: tuple[str, ...]


class ServiceSpec(NamedTuple):
    """A plain service.

    Attributes:
        name: Service name; callers reach it at /v1/services/<name>/<path>.
        not_repeatable: "METHOD /path-prefix" entries whose calls run at most
            once.
        time_limit_s: Time limit of a call that names none.
    """

    name: str
    not_repeatable: tuple[str, ...]
    time_limit_s: float = 30.0


class ConfigState(NamedTuple):
    """Configuration in force at one revision. Tables are keyed by name.

    Versions are keyed by "model@version". `note_ids` holds the ids of recently
    accepted notes, so that a retried append is recognised.
    """

    revision: int = 0
    note_id: str = ""
    models: dict[str, ModelSpec] = {}
    versions: dict[str, VersionSpec] = {}
    adapters: dict[str, AdapterSpec] = {}
    priorities: dict[str, PrioritySpec] = {}
    teams: dict[str, TeamSpec] = {}
    services: dict[str, ServiceSpec] = {}
    note_ids: tuple[str, ...] = ()


EMPTY = ConfigState()
