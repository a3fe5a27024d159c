"""Validation of caller requests: API key, size, priority, model and body.

All functions are pure and raise RequestError with outcome "not_run". No error
message contains a prompt or a key.
"""

import hashlib
import posixpath
import re
import urllib.parse
from collections.abc import Mapping
from typing import Annotated, Final

import msgspec

from apricottrestle import (
    config_state,
    entry_events,
    errors,
    hashing,
    messages,
)

MAX_BODY_BYTES: Final = 16 * 1024 * 1024
MAX_HEADER_BYTES: Final = 64 * 1024
MAX_CALL_BODY_BYTES: Final = 3 * 1024 * 1024
"""A call's body is sent in one frame, which the transport limits to 4 MiB."""

MAX_PROMPT_TOKENS: Final = 1_000_000
MAX_OUTPUT_TOKENS: Final = 131_072
"""A resubmitted request carries the tokens generated so far in its envelope;
this many fit into a frame."""

MAX_KEY_CHARACTERS: Final = 512
MAX_TIME_LIMIT_MS: Final = 3_600_000
DEFAULT_TIME_LIMIT_S: Final = 120.0
_DEFAULT_MAX_TOKENS: Final = 256
_DEFAULT_PRIORITY: Final = "standard"

_EVENT_ID: Final = re.compile(
    r"([0-9a-f]{24})\.([A-Za-z0-9._-]{1,64})\.([0-9]{1,7})\.([0-9a-f]{16})"
)
_HEADERS_NOT_FORWARDED: Final = frozenset(
    {
        "authorization",
        "connection",
        "content-length",
        "expect",
        "host",
        "idempotency-key",
        "keep-alive",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "x-priority",
        "x-time-limit-ms",
    }
)
"""Hop-by-hop headers, and headers addressed to the entry itself."""

TokenId = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]
OutputTokens = Annotated[int, msgspec.Meta(ge=1, le=MAX_OUTPUT_TOKENS)]
Headers = Mapping[str, str]


class CompletionBody(msgspec.Struct):
    """Body of POST /v1/completions; other fields are ignored."""

    model: str
    prompt: str | list[TokenId]
    max_tokens: OutputTokens = _DEFAULT_MAX_TOKENS
    stream: bool = False
    adapter: str = ""


class KeyBody(msgspec.Struct):
    """Body of POST /v1/idempotency-keys."""

    service: str


_COMPLETION_DECODER: Final = msgspec.json.Decoder(CompletionBody)
_KEY_DECODER: Final = msgspec.json.Decoder(KeyBody)


class TeamIndex:
    """Index of teams by the digests of their API keys.

    It is rebuilt when the teams of the configuration change.
    """

    def __init__(self) -> None:
        """Creates an empty index."""
        self._teams: Mapping[str, config_state.TeamSpec] = {}
        self._by_digest: dict[str, config_state.TeamSpec] = {}

    def find(
        self, state: config_state.ConfigState, headers: Headers
    ) -> config_state.TeamSpec:
        """Returns the team whose API key is in the Authorization header.

        Raises:
            RequestError: The header is missing or the key is unknown (401).
        """
        if self._teams is not state.teams:
            self._teams = state.teams
            self._by_digest = {
                digest: team
                for team in state.teams.values()
                for digest in team.key_digests
            }
        scheme, _, key = headers.get("Authorization", "").partition(" ")
        digest = hashlib.sha256(key.strip().encode()).hexdigest()
        team = self._by_digest.get(digest)
        if scheme.lower() != "bearer" or team is None:
            raise _request_error(
                "send the team's key as 'Authorization: Bearer <key>'",
                401,
                "unauthorized",
            )
        return team


def _request_error(message: str, status: int, code: str) -> errors.RequestError:
    return errors.RequestError(message, status=status, code=code, step="accept")


def body_too_large_error(limit_bytes: int) -> errors.RequestError:
    """Returns the error for a body that is over the limit."""
    return _request_error(
        f"the body is over {limit_bytes} bytes", 413, "body_too_large"
    )


def check_priority(team: config_state.TeamSpec, headers: Headers) -> int:
    """Returns the index of the priority class in messages.PRIORITIES.

    Raises:
        RequestError: The class is unknown (400) or not allowed for the team
            (403).
    """
    name = headers.get("X-Priority", _DEFAULT_PRIORITY)
    if name not in messages.PRIORITIES:
        raise _request_error(
            f"X-Priority must be one of {', '.join(messages.PRIORITIES)}",
            400,
            "unknown_priority",
        )
    if name not in team.priorities:
        raise _request_error(
            f"team {team.name} may not use priority class {name}",
            403,
            "priority_forbidden",
        )
    return messages.PRIORITIES.index(name)


def check_time_limit_s(headers: Headers, default_s: float) -> float:
    """Returns the time limit of X-Time-Limit-Ms, or the default, in seconds.

    Raises:
        RequestError: X-Time-Limit-Ms is not a number in range (400).
    """
    text = headers.get("X-Time-Limit-Ms")
    if text is None:
        return default_s
    valid = text.isascii() and text.isdigit() and len(text) <= 9
    if not valid or not 1 <= int(text) <= MAX_TIME_LIMIT_MS:
        raise _request_error(
            f"X-Time-Limit-Ms must be an integer from 1 to {MAX_TIME_LIMIT_MS}",
            400,
            "invalid_time_limit",
        )
    return int(text) / 1000


def check_generation(
    state: config_state.ConfigState,
    team: config_state.TeamSpec,
    headers: Headers,
    body: bytes,
) -> entry_events.GenerationSpec:
    """Validates a completion request.

    Raises:
        RequestError: The request is invalid; tells the first problem found.
    """
    priority = check_priority(team, headers)
    resume = _parse_resume_point(headers)
    try:
        parsed = _COMPLETION_DECODER.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        raise _request_error(f"bad JSON body: {exc}", 400, "bad_body") from exc
    model = state.models.get(parsed.model)
    if model is None:
        raise _request_error("no such model", 404, "unknown_model")
    _check_adapter(state, parsed)
    count, first_tokens = _count_tokens(parsed.prompt)
    limit = min(model.max_prompt_tokens, MAX_PROMPT_TOKENS)
    if count == 0:
        raise _request_error("the prompt is empty", 400, "empty_prompt")
    if count > limit:
        raise _request_error(
            f"the prompt has {count} tokens; the limit is {limit}",
            413,
            "prompt_too_long",
        )
    spec = state.priorities.get(messages.PRIORITIES[priority])
    default_s = spec.time_limit_s if spec else DEFAULT_TIME_LIMIT_S
    return entry_events.GenerationSpec(
        team=team.name,
        weight=team.weight,
        priority=priority,
        model=model.name,
        version=model.version,
        adapter=parsed.adapter,
        body=msgspec.msgpack.encode(parsed.prompt),
        prompt_tokens=count,
        prefix_blocks=tuple(hashing.prefix_blocks(first_tokens)),
        max_tokens=parsed.max_tokens,
        limit_s=check_time_limit_s(headers, default_s),
        stream=parsed.stream,
        resume=resume if parsed.stream else None,
    )


def _check_adapter(
    state: config_state.ConfigState, parsed: CompletionBody
) -> None:
    if not parsed.adapter:
        return
    adapter = state.adapters.get(parsed.adapter)
    if adapter is None or adapter.model != parsed.model:
        raise _request_error(
            "no such adapter for this model", 404, "unknown_adapter"
        )


def _count_tokens(prompt: str | list[int]) -> tuple[int, list[int]]:
    """Returns the number of prompt tokens, and the ids of the first ones.

    The ids are those of the first MAX_PREFIX_BLOCKS blocks. The id of a word is
    its hash, and hashing a million words would block the event loop.
    """
    needed = hashing.PREFIX_BLOCK_TOKENS * hashing.MAX_PREFIX_BLOCKS
    if isinstance(prompt, str):
        words = prompt.split()
        return len(words), hashing.token_ids(" ".join(words[:needed]))
    return len(prompt), prompt[:needed]


def _parse_resume_point(headers: Headers) -> entry_events.ResumePoint | None:
    text = headers.get("Last-Event-ID", "")
    if not text:
        return None
    match = _EVENT_ID.fullmatch(text)
    if match is None:
        raise _request_error(
            "Last-Event-ID is not an event id of this API",
            400,
            "invalid_event_id",
        )
    req_id, agent_id, offset, digest = match.groups()
    return entry_events.ResumePoint(req_id, agent_id, int(offset), digest)


def check_key_request(state: config_state.ConfigState, body: bytes) -> str:
    """Validates a request for an issued key and returns its service.

    Raises:
        RequestError: The body is invalid (400) or the service unknown (404).
    """
    try:
        parsed = _KEY_DECODER.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        raise _request_error(f"bad JSON body: {exc}", 400, "bad_body") from exc
    if parsed.service not in state.services:
        raise _request_error("no such service", 404, "unknown_service")
    return parsed.service


def check_call(
    state: config_state.ConfigState,
    team: config_state.TeamSpec,
    service: str,
    method: str,
    path: str,
    headers: Headers,
    header_list: list[tuple[str, str]],
    body: bytes,
) -> entry_events.CallSpec:
    """Validates a call to a plain service.

    Args:
        state: Configuration.
        team: Team of the caller.
        service: Service name from the URL.
        method: HTTP method.
        path: Path and query after the service name, with a leading slash.
        headers: HTTP headers, looked up without regard to case.
        header_list: The same headers in the order received.
        body: HTTP body.

    Raises:
        RequestError: The call is invalid; tells the first problem found.
    """
    priority = check_priority(team, headers)
    spec = state.services.get(service)
    if spec is None:
        raise _request_error("no such service", 404, "unknown_service")
    if len(body) > MAX_CALL_BODY_BYTES:
        raise body_too_large_error(MAX_CALL_BODY_BYTES)
    key = headers.get("Idempotency-Key", "")
    if len(key) > MAX_KEY_CHARACTERS:
        raise _request_error(
            f"Idempotency-Key is over {MAX_KEY_CHARACTERS} characters",
            400,
            "invalid_idempotency_key",
        )
    repeatable = is_repeatable(spec, method, path)
    if not repeatable and not key:
        raise _request_error(
            "this call needs an Idempotency-Key; "
            "get one from POST /v1/idempotency-keys",
            400,
            "idempotency_key_required",
        )
    forwarded = tuple(
        (name, value)
        for name, value in header_list
        if name.lower() not in _HEADERS_NOT_FORWARDED
    )
    return entry_events.CallSpec(
        team=team.name,
        priority=priority,
        service=service,
        method=method,
        path=path,
        headers=forwarded,
        body=body,
        key=key,
        repeatable=repeatable,
        limit_s=check_time_limit_s(headers, spec.time_limit_s),
    )


def is_repeatable(
    spec: config_state.ServiceSpec, method: str, path: str
) -> bool:
    """Returns whether a call may run more than once.

    The rules are compared with the path as sent and with its decoded and
    normalised form, so that an equivalent spelling doesn't bypass a rule.
    """
    raw_path = path.partition("?")[0]
    decoded_path = re.sub("/+", "/", urllib.parse.unquote(raw_path))
    normalised_path = posixpath.normpath(decoded_path)
    for rule in spec.not_repeatable:
        rule_method, _, prefix = rule.partition(" ")
        if rule_method.upper() != method.upper():
            continue
        if any(
            spelling.startswith(prefix)
            for spelling in (raw_path, normalised_path, normalised_path + "/")
        ):
            return False
    return True
