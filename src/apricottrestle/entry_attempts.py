"""Attempts of a generation: start, retry and rerun.

Invariant: only failures consume the retry budgets of team and upstream and the
limit of failed attempts. Planned changes don't, since they must not end a
request.
"""

from typing import Final

from apricottrestle import (
    entry_dispatch,
    entry_ending,
    entry_groups,
    entry_tables,
    hashing,
)

PLANNED_REFUSAL_REASONS: Final = frozenset(
    {
        "draining",
        "wrong_upstream",
        "not_ready",
        "model_changing",
        "version_not_served",
        "adapter_not_loaded",
    }
)
"""Reasons of refusals caused by a planned change. They consume no retry budget,
since a planned change must not end a request."""


def start_attempt(
    tables: entry_tables.Tables, row: entry_tables.RequestRow, now: float
) -> None:
    """Routes and submits the next attempt, or waits if no agent can take it."""
    if not row.tokens:
        _update_version(tables, row)
    req = entry_dispatch.build_route_request(row, now)
    decision = tables.router.choose(req, tables.upstreams, now)
    agent_id = decision.agent_id
    if not agent_id:
        _wait_for_upstream(tables, row, decision.reason, now)
        return
    tokens = entry_groups.max_kv_tokens(row)
    if entry_groups.fits_one_engine(tables, agent_id, tokens):
        entry_dispatch.submit_attempt(tables, row, agent_id, [], now)
        entry_dispatch.log_route_decision(
            tables, row, [agent_id], decision.reason, decision.candidates
        )
        return
    _start_group_attempt(tables, row, tokens, now)


def _start_group_attempt(
    tables: entry_tables.Tables,
    row: entry_tables.RequestRow,
    tokens: int,
    now: float,
) -> None:
    req = entry_dispatch.build_route_request(row, now)
    agents = entry_groups.choose_members(tables, req, tokens)
    if not agents:
        _wait_for_upstream(tables, row, "too_large_for_group", now)
    elif len(agents) == 1:
        entry_dispatch.submit_attempt(tables, row, agents[0], [], now)
        entry_dispatch.log_route_decision(
            tables, row, agents, "only_one_large_enough"
        )
    else:
        entry_groups.start_reservation(tables, row, agents, now)
        entry_dispatch.log_route_decision(tables, row, agents, "group_reserve")


def _update_version(
    tables: entry_tables.Tables, row: entry_tables.RequestRow
) -> None:
    """Switches a request that has no token yet to the current model version."""
    model = tables.sync.state.models.get(row.spec.model)
    if model is not None:
        row.version = model.version


def _wait_for_upstream(
    tables: entry_tables.Tables,
    row: entry_tables.RequestRow,
    reason: str,
    now: float,
) -> None:
    """Waits for an upstream; logs the decision if its reason has changed."""
    if row.logged_wait_reason != reason:
        row.logged_wait_reason = reason
        entry_dispatch.log_route_decision(tables, row, [], reason)
    tables.awaited_upstreams.add(row.spec.model)
    _schedule_retry(row, now)


def _schedule_retry(row: entry_tables.RequestRow, now: float) -> None:
    row.state = "waiting"
    row.retry_at = now + entry_tables.RETRY_DELAY_S
    row.excluded.clear()


def retry(
    tables: entry_tables.Tables,
    row: entry_tables.RequestRow,
    reason: str,
    now: float,
    *,
    is_failure: bool,
    cancel_reason: str = "",
) -> None:
    """Ends the attempt and starts another one if the limits allow it.

    Args:
        tables: Tables.
        row: Request.
        reason: Why the attempt ended.
        now: Time.
        is_failure: False when a planned change ended the attempt, so that
            neither a retry budget nor the limit of failures applies.
        cancel_reason: Reason to cancel the attempt at its agent, or "".
    """
    if row.state == "attaching":
        rerun_with_new_id(tables, row, now)
        return
    was_accepted = row.state == "running"
    row.excluded.add(row.agent_id)
    entry_dispatch.end_attempt(tables, row, cancel_reason)
    row.state = "waiting"
    if now >= row.deadline:
        entry_ending.fail_at_deadline(tables, row, now)
        return
    if is_failure:
        row.failures += 1
    if row.failures >= entry_tables.MAX_FAILED_ATTEMPTS:
        fail_after_retries(tables, row, "attempts_exhausted", reason, now)
        return
    row.retries += 1
    if row.retries >= entry_tables.MAX_ATTEMPTS:
        fail_after_retries(tables, row, "attempts_exhausted", reason, now)
        return
    if is_failure and not tables.budget.try_withdraw(
        row.spec.team, row.spec.model, now
    ):
        fail_after_retries(tables, row, "retry_budget_exhausted", reason, now)
        return
    entry_dispatch.count_retry(reason)
    if row.maybe_ran:
        row.wait_deadline = row.deadline
    elif was_accepted:
        wait_s = entry_tables.WAIT_FOR_UPSTREAM_S
        row.wait_deadline = min(row.deadline, now + wait_s)
    start_attempt(tables, row, now)


def rerun_with_new_id(
    tables: entry_tables.Tables, row: entry_tables.RequestRow, now: float
) -> None:
    """Reruns a resumed request under a new request id.

    The old id may still be in use at an unreachable agent; with a new id no
    late message of that run can match. As tokens arrive, those that the caller
    already has are checked against the digest in its event id.
    """
    del tables.requests[row.req_id]
    row.req_id = tables.new_req_id()
    tables.add_request(row)
    entry_dispatch.end_attempt(tables, row, "")
    row.tokens = []
    row.digest = hashing.StreamDigest()
    row.attempt = 0
    row.wait_deadline = row.deadline
    start_attempt(tables, row, now)


def on_group_broken(
    tables: entry_tables.Tables,
    row: entry_tables.RequestRow,
    reason: str,
    now: float,
) -> None:
    """Retries after a member refused, fell silent or lost its lease.

    An incomplete group has not run anything, so its request waits for memory
    without a limit of attempts.
    """
    if row.state != "reserving":
        retry(
            tables,
            row,
            reason,
            now,
            is_failure=True,
            cancel_reason="group_broken",
        )
        return
    entry_dispatch.end_attempt(tables, row, "")
    row.wait_deadline = row.deadline
    _schedule_retry(row, now)
    row.retry_at += tables.rng.uniform(0.0, entry_tables.RETRY_DELAY_S)


def fail_after_retries(
    tables: entry_tables.Tables,
    row: entry_tables.RequestRow,
    code: str,
    reason: str,
    now: float,
) -> None:
    """Fails a request for which no further attempt is allowed."""
    if row.refusal_reason and not row.maybe_ran:
        retry_after_s = max(1.0, row.retry_after_ms / 1000)
        entry_ending.fail_request(
            tables,
            row,
            now,
            status=429,
            code="overloaded",
            message=f"all upstreams tried refused the request: {reason}",
            step="dispatch",
            retry_after_s=retry_after_s,
        )
        return
    entry_ending.fail_request(
        tables,
        row,
        now,
        status=502,
        code=code,
        message=f"the last attempt ended: {reason}",
        step="mid-stream" if row.tokens else "start",
    )
