"""Configuration that results from folding the accepted release notes.

Invariant: a ConfigState is immutable; `revision` is the log offset of the last
accepted note, and a process replaces its state only by one with a higher
revision.
"""

from typing import NamedTuple


class ModelSpec(NamedTuple):
    """A model that the fleet serves.

    Attributes:
        name: Model name that callers use.
        version: Version that serves new requests.
        share: Weight of the model in the placement, which determines its share
            of the engines while no demand is known.
        max_prompt_tokens: Longest accepted prompt, in tokens.
    """

    name: str
    version: str
    share: float = 1.0
    max_prompt_tokens: int = 1_000_000


class VersionSpec(NamedTuple):
    """A version of a model; only listed versions may serve requests."""

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
        floor: Share of an engine's tokens that is guaranteed to the class when
            other classes overload the engine, 0 to 1.
        time_limit_s: Time limit of a request that specifies none.
    """

    name: str
    floor: float
    time_limit_s: float


class TeamSpec(NamedTuple):
    """A team of callers.

    Attributes:
        name: Team name.
        key_digests: Hex SHA-256 digests of the team's API keys.
        weight: Weight of the team when tokens are shared among teams.
        priorities: Priority classes that the team may use.
    """

    name: str
    key_digests: tuple[str, ...]
    weight: float
    priorities: tuple[str, ...]


class ServiceSpec(NamedTuple):
    """An HTTP service that isn't an inference engine.

    Attributes:
        name: Service name; callers reach it at /v1/services/<name>/<path>.
        not_repeatable: "METHOD /path-prefix" patterns of non-idempotent calls,
            which run at most once.
        time_limit_s: Time limit of a call that specifies none.
    """

    name: str
    not_repeatable: tuple[str, ...]
    time_limit_s: float = 30.0


class ConfigState(NamedTuple):
    """Configuration at one revision.

    Tables are keyed by name, that of versions by "model@version".

    Attributes:
        revision: Log offset of the last accepted note; 0 before the first.
        note_id: Id of the last accepted note.
        note_ids: Ids of recently accepted notes, to recognise retried appends.
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
