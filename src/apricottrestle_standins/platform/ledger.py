"""What upstreams ran and what callers got; and the checks over both.

The checks are the platform's rules, written from its pages. They see the
sockets' side only, never the gateways' state.
"""

import itertools
from collections.abc import Callable
from typing import NamedTuple

from apricottrestle_standins.platform import workload


class RunRecord(NamedTuple):
    """A request that an upstream began to work on.

    Attributes:
        request_id: Id of the caller's attempt.
        upstream_id: The upstream.
        at_s: When it began.
        first_event: Id of the first event that it would write; 1 for plain.
    """

    request_id: str
    upstream_id: str
    at_s: float
    first_event: int


class Attempt:
    """One attempt of a caller.

    Attributes:
        request_id: Its id.
        arrival: The request.
        sent_s: When it was sent.
        status: Status of the answer, or None while there is none.
        retry_after_s: Given by a refusal, or None.
        event_ids: Ids of the events in order of arrival.
        event_times: When they came.
        complete: Whether the answer ended as complete.
        broken: Whether the connection ended before the answer.
        ended_s: When the answer ended, or the caller left.
        left: Whether the caller left.
    """

    def __init__(
        self, request_id: str, arrival: workload.Arrival, sent_s: float
    ) -> None:
        """Starts without an answer."""
        self.request_id = request_id
        self.arrival = arrival
        self.sent_s = sent_s
        self.resume_after = 0
        self.status: int | None = None
        self.retry_after_s: float | None = None
        self.event_ids: list[int] = []
        self.event_times: list[float] = []
        self.complete = False
        self.broken = False
        self.ended_s: float | None = None
        self.left = False


class Ledger:
    """Records of a day.

    Attributes:
        runs: What upstreams began to work on.
        requests: For each request of the day, its attempts.
        leaks: Memory that stayed set aside for too long: engine and id.
        late_work: Work for upstreams that had long been leaving: id and time.
    """

    def __init__(self) -> None:
        """Starts empty."""
        self.runs: list[RunRecord] = []
        self.requests: list[list[Attempt]] = []
        self.leaks: list[tuple[str, str]] = []
        self.late_work: list[tuple[str, float]] = []


NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))


def find_violations(ledger: Ledger) -> list[str]:
    """Returns a line for each broken rule, empty when all hold."""
    runs: dict[str, list[RunRecord]] = {}
    for run in ledger.runs:
        runs.setdefault(run.request_id, []).append(run)
    lines = [f"LEAK {engine} {name}" for engine, name in ledger.leaks]
    lines += [f"DRAIN {name} at {at:.2f} s" for name, at in ledger.late_work]
    known = set()
    for attempts in ledger.requests:
        for attempt in attempts:
            known.add(attempt.request_id)
            lines += _check(attempt, runs.get(attempt.request_id, []))
        lines += _check_order(attempts)
    lines += [
        f"UNASKED {request_id}"
        for request_id in runs
        if request_id not in known
    ]
    return lines


def _check(attempt: Attempt, runs: list[RunRecord]) -> list[str]:
    lines = []
    kind = attempt.arrival.kind
    name = f"{kind.name} {attempt.request_id}"
    if kind.route_kind == "unsafe":
        if len(runs) > 1:
            lines.append(f"TWICE {name}: {len(runs)} runs")
        if attempt.status in NOT_RUN_STATUSES and runs:
            lines.append(f"REFUSED {name}: {attempt.status}, but it ran")
    if len({run.upstream_id for run in runs}) > kind.max_attempts:
        lines.append(f"BUDGET {name}: on {len(runs)} upstreams")
    if attempt.complete and attempt.status == 200 and not runs:
        lines.append(f"MIXED {name}: success without a run")
    if (
        attempt.complete
        and attempt.status == 200
        and kind.route_kind == "stream"
        and _last_event(attempt) != attempt.arrival.events
    ):
        lines.append(f"ORDER {name}: complete before its last event")
    return lines


def _last_event(attempt: Attempt) -> int:
    """Returns the last event that the caller has, of this attempt or before.

    A connection that broke between the last event and the end of the answer
    leaves an attempt to resume that gets no event.
    """
    return attempt.event_ids[-1] if attempt.event_ids else attempt.resume_after


def _check_order(attempts: list[Attempt]) -> list[str]:
    lines = []
    for attempt in attempts:
        expected = attempt.resume_after
        for event_id in attempt.event_ids:
            expected += 1
            if event_id != expected:
                lines.append(
                    f"ORDER {attempt.request_id}: event {event_id} instead of "
                    f"{expected}"
                )
                break
    return lines


class Score(NamedTuple):
    """Credit of a kind of request.

    Attributes:
        asked: Requests.
        on_time: Answers on time.
        late: Late answers.
        unserved: Requests without an answer.
        worth: Credit earned over credit owed, 0 to 1; a stream's weighs by
            the size of its prompt.
    """

    asked: int
    on_time: int
    late: int
    unserved: int
    worth: float


def scores(ledger: Ledger) -> dict[str, Score]:
    """Returns the score of each kind, and of all under "all"."""
    return _scores_by(ledger, lambda arrival: arrival.kind.name)


def team_scores(ledger: Ledger) -> dict[str, Score]:
    """Returns the score of each team, and of all under "all"."""
    return _scores_by(ledger, lambda arrival: f"team-{arrival.team}")


def _scores_by(
    ledger: Ledger, group: Callable[[workload.Arrival], str]
) -> dict[str, Score]:
    rows: dict[str, list[tuple[str, float, float]]] = {}
    for attempts in ledger.requests:
        arrival = attempts[0].arrival
        kind = arrival.kind
        outcome = _outcome(attempts)
        weight = 1.0
        if kind.tokens:
            size = arrival.tokens / kind.tokens
            weight = min(0.3 + 0.7 * size, 4.0)
        earned = {"on_time": kind.worth, "late": kind.late_worth}
        row = (outcome, weight * earned.get(outcome, 0.0), weight * kind.worth)
        rows.setdefault(group(arrival), []).append(row)
        rows.setdefault("all", []).append(row)
    return {name: _score(row) for name, row in rows.items()}


def _score(rows: list[tuple[str, float, float]]) -> Score:
    outcomes = [outcome for outcome, _, _ in rows]
    owed = sum(row[2] for row in rows)
    return Score(
        len(rows),
        outcomes.count("on_time"),
        outcomes.count("late"),
        outcomes.count("unserved"),
        sum(row[1] for row in rows) / owed if owed else 0.0,
    )


def _outcome(attempts: list[Attempt]) -> str:
    kind = attempts[0].arrival.kind
    last = attempts[-1]
    if not last.complete or last.status != 200:
        return "unserved"
    start = attempts[0].sent_s
    if kind.route_kind != "stream":
        assert last.ended_s is not None
        return "on_time" if last.ended_s - start <= kind.target_s else "late"
    times = [at for attempt in attempts for at in attempt.event_times]
    if not times or times[0] - start > kind.target_s:
        return "late"
    gaps = [b - a for a, b in itertools.pairwise(times)]
    return "late" if gaps and max(gaps) > kind.gap_s else "on_time"
