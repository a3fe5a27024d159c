"""Expected time to first token of a request at an agent.

The estimate is pure arithmetic over one row of the entry's table, so that the
router and the admission check agree on it.
"""

from typing import Final, NamedTuple

from apricottrestle import hashing, queueing, routing, upstream_table

SHARED_PREFILL_FACTOR: Final = 1.0
"""An engine that prefills in chunks divides its rate between the running
prefills, so a running long prefill delays a short one by about the short one's
own length and not by the whole of the long one's rest."""

MEMORY_WAIT_S: Final = 10.0
"""Wait for KV cache when the engine has too little free: about the time in
which running generations give back that much."""

MIN_RATE_TOKENS_PER_S: Final = 1.0


class ScoreSettings(NamedTuple):
    """Settings of the estimate. The flags exist for the ablation.

    Attributes:
        floors: Least share of the tokens per class, most urgent first.
        by_priority: Leave out queued tokens of less urgent classes.
        count_unreported: Add own submits that the report does not cover.
        cached_prefix: Subtract prompt tokens that the engine has cached.
        running_factor: Weight of running prefills beside the request's own
            tokens; their rest is the upper bound.
        prefill_progress: Share of the engine's rate at which reported prefill
            work is taken to shrink as the report ages; 0 to 1.
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
    """Returns prompt tokens of the request that the engine seems to hold."""
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
    """Returns the expected time to first token at an agent, in seconds."""
    report = row.report
    own = req.prompt_tokens
    if settings.cached_prefix and row.cached_blocks:
        own -= cached_tokens(row, req)
    rate = max(report.prefill_tokens_per_s, MIN_RATE_TOKENS_PER_S)
    drained = settings.prefill_progress * rate * max(now - row.report_time, 0.0)
    left = max(report.prefill_tokens_left - drained, 0.0)
    running = left
    if not is_long(req):
        running = min(left, settings.running_factor * own)
    queued = _queued_tokens(row, req.priority, settings)
    seconds = (queued + running + own) / rate
    if req.prompt_tokens + req.max_tokens > report.kv_tokens_free:
        seconds += MEMORY_WAIT_S
    return seconds


def _queued_tokens(
    row: upstream_table.UpstreamRow, priority: int, settings: ScoreSettings
) -> float:
    """Returns tokens that are queued ahead, own uncovered submits included."""
    ahead = [0.0] * len(settings.floors)
    for index, tokens in enumerate(row.report.queued_tokens[: len(ahead)]):
        ahead[index] += tokens
    if settings.count_unreported:
        for tokens, index in row.unreported_submits:
            ahead[index] += tokens
    if not settings.by_priority:
        return sum(ahead)
    same, higher = ahead[priority], sum(ahead[:priority])
    floor = settings.floors[priority]
    if floor > 0 and higher > 0:
        return min(same + higher, same / floor)
    return same + higher


def is_long(req: routing.RouteRequest) -> bool:
    """Tells whether the prompt counts as long."""
    return req.prompt_tokens > queueing.LONG_PROMPT_TOKENS
