"""Expected time to first token of a request at an agent.

The router and the admission check use the same estimate. It depends only on
the agent's row in the upstream table, the request and the time.
"""

from typing import Final, NamedTuple

from apricottrestle import hashing, queueing, routing, upstream_table

SHARED_PREFILL_FACTOR: Final = 1.0
"""Tokens of running prefills that delay a short prompt, per token of the short
prompt. An engine with chunked prefill shares its rate between the running
prefills, so a long prefill delays a short one by about the length of the short
one, not by all tokens that the long one has left."""

KV_CACHE_WAIT_S: Final = 10.0
"""Expected wait when the engine has too little free KV cache for the request:
about the time in which running requests finish and free that much."""

MIN_PREFILL_TOKENS_PER_S: Final = 1.0
"""Lower bound of a reported prefill rate; avoids a division by zero."""


class ScoreSettings(NamedTuple):
    """Settings of the estimate. The flags exist for ablations in the benchmark.

    Attributes:
        floors: Guaranteed minimum share of the tokens per priority class, 0 to
            1, most urgent class first.
        by_priority: Ignore queued tokens of less urgent classes.
        count_unreported: Add requests that this entry submitted and the last
            load report does not cover.
        cached_prefix: Subtract prompt tokens that the engine has cached.
        running_factor: For a short prompt, tokens of running prefills that
            count as work ahead, per token of the prompt; at most all that are
            left. For a long prompt, all that are left count.
        prefill_progress: Share of the engine's prefill rate, 0 to 1, at which
            the reported prefill work is assumed to decrease as the report
            ages.
    """

    floors: tuple[float, ...] = (0.0, 0.1, 0.05)
    by_priority: bool = True
    count_unreported: bool = True
    cached_prefix: bool = True
    running_factor: float = SHARED_PREFILL_FACTOR
    prefill_progress: float = 1.0


def cached_tokens(
    row: upstream_table.UpstreamRow, req: routing.RouteRequest
) -> int:
    """Returns the number of leading prompt tokens that the engine has cached.

    The number is an estimate, since the entry's record of cached blocks lags
    behind the engine.
    """
    count = 0
    for block in req.prefix_blocks:
        if block not in row.cached_blocks:
            break
        count += 1
    return min(count * hashing.PREFIX_BLOCK_TOKENS, req.prompt_tokens)


def expected_first_token_s(
    row: upstream_table.UpstreamRow,
    req: routing.RouteRequest,
    settings: ScoreSettings,
    now: float,
) -> float:
    """Returns the expected time to first token at an agent, in seconds.

    Args:
        row: The agent's row in the upstream table.
        req: Request to route.
        settings: Settings of the estimate.
        now: Monotonic time in seconds.
    """
    report = row.report
    uncached = req.prompt_tokens
    if settings.cached_prefix and row.cached_blocks:
        uncached -= cached_tokens(row, req)
    rate = max(report.prefill_tokens_per_s, MIN_PREFILL_TOKENS_PER_S)
    computed_tokens = (
        settings.prefill_progress * rate * max(now - row.report_time, 0.0)
    )
    tokens_left = max(report.prefill_tokens_left - computed_tokens, 0.0)
    running = tokens_left
    if not is_long_prompt(req):
        running = min(tokens_left, settings.running_factor * uncached)
    queued = _queued_ahead_tokens(row, req.priority, settings)
    seconds = (queued + running + uncached) / rate
    if req.prompt_tokens + req.max_tokens > report.kv_tokens_free:
        seconds += KV_CACHE_WAIT_S
    return seconds


def _queued_ahead_tokens(
    row: upstream_table.UpstreamRow, priority: int, settings: ScoreSettings
) -> float:
    """Returns the queued tokens that the engine starts before the request.

    A less urgent class gets at least its floor, so more urgent classes delay
    it by at most its own queue divided by the floor.
    """
    ahead = [0.0] * len(settings.floors)
    for index, tokens in enumerate(row.report.queued_tokens[: len(ahead)]):
        ahead[index] += tokens
    if settings.count_unreported:
        for tokens, index in row.unreported_submits:
            ahead[index] += tokens
    if not settings.by_priority:
        return sum(ahead)
    own_class_tokens, more_urgent_tokens = (
        ahead[priority],
        sum(ahead[:priority]),
    )
    floor = settings.floors[priority]
    if floor > 0 and more_urgent_tokens > 0:
        return min(
            own_class_tokens + more_urgent_tokens, own_class_tokens / floor
        )
    return own_class_tokens + more_urgent_tokens


def is_long_prompt(req: routing.RouteRequest) -> bool:
    """Returns whether the prompt is longer than LONG_PROMPT_TOKENS."""
    return req.prompt_tokens > queueing.LONG_PROMPT_TOKENS
