"""The question where a gateway would send a request, and its answer.

Operators ask it with `apricottrestle explain`, see `cli_explain`.
"""

from typing import Final, Literal, TypedDict

import msgspec

PATH: Final = "/explain"
"""Path of the question at a gateway's ops address."""


class Query(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The properties of a request that decide where it goes.

    Attributes:
        host: Host header.
        path: Path.
        key: API key, or None.
        prompt_tokens: Length of the prompt; None for a request that is none to
            a model.
        output_tokens: Largest length of the answer.
    """

    host: str
    path: str
    key: str | None = None
    prompt_tokens: int | None = None
    output_tokens: int = 0


class UpstreamRow(TypedDict):
    """An upstream of the request's service.

    Attributes:
        upstream: Its id.
        data_centre: Its data centre.
        excluded: Why it can't be chosen now; empty if it can.
        wait_s: Time after which that may end, or None if it is not known.
        running: Requests that it serves, of all gateways.
        first_event_s: Expected time to the first event, if the request went
            there alone; None for a plain service, or if it would be late.
    """

    upstream: str
    data_centre: str
    excluded: str
    wait_s: float | None
    running: int
    first_event_s: float | None


class Explanation(TypedDict):
    """What would become of a request now.

    Attributes:
        outcome: Whether it would be sent, wait in the queue or be refused.
        reason: Why it would wait or be refused; empty otherwise.
        status: Status of the refusal; 0 otherwise.
        route: Name of its route; empty if there is none.
        service: Name of the service; empty if there is none.
        team: Name of its key's team; empty if there is none.
        priority: Its priority, or None.
        chosen: Upstream that it would be sent to; empty otherwise.
        helpers: Upstreams that would read parts of its prompt.
        wait_s: Expected time to the first event if it is sent, or until it is
            sent if it waits; None if it isn't known.
        on_time: Whether it is expected to meet its target.
        config_version: Version of the configuration.
        list_version: Version of the upstream list.
        upstreams: The upstreams of its service.
    """

    outcome: Literal["send", "wait", "refuse"]
    reason: str
    status: int
    route: str
    service: str
    team: str
    priority: int | None
    chosen: str
    helpers: list[str]
    wait_s: float | None
    on_time: bool
    config_version: int
    list_version: int
    upstreams: list[UpstreamRow]
