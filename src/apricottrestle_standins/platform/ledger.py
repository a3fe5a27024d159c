"""Records of what upstreams ran and callers received, and checks of them.

The checks follow the rules in the platform's documentation. They use only what
upstreams and callers observe, never the state of the gateways.
"""

import itertools
from collections.abc import Callable
from typing import Literal, NamedTuple

from apricottrestle_standins.platform import workload


class RunRecord(NamedTuple):
    """A request that an upstream started to run.

    Attributes:
        request_id: Id of the caller's attempt.
        upstream_id: Id of the upstream.
        at_s: Time of the start.
        first_event: Id of the first event to produce; 1 for a plain service.
    """

    request_id: str
    upstream_id: str
    at_s: float
    first_event: int


class Delivery(NamedTuple):
    """A request that reached an upstream, whether or not it was run.

    Attributes:
        request_id: Id of the caller's attempt.
        upstream_id: Id of the upstream.
        at_s: Time of the arrival.
        started_at_ms: Start time of the upstream's process.
    """

    request_id: str
    upstream_id: str
    at_s: float
    started_at_ms: int


class Notice(NamedTuple):
    """What an upstream said of itself in an answer.

    Attributes:
        request_id: Id of the caller's attempt that it answered.
        upstream_id: Id of the upstream.
        at_s: Time of the answer.
        wait_s: Time for which it wants nothing from the gateway; None if it
            says that it leaves.
        started_at_ms: Start time of its process.
    """

    request_id: str
    upstream_id: str
    at_s: float
    wait_s: float | None
    started_at_ms: int


class Placement(NamedTuple):
    """Use of an upstream that a gateway has chosen.

    Attributes:
        gateway: Address of the gateway.
        upstream_id: Id of the upstream.
        data_centre: Its data centre.
        at_s: Time at which it reached the upstream.
        what: "request", "helper" of a prompt that another engine serves, or
            the first request of a "reservation".
        request_id: Id of the caller's attempt, or of the reservation.
    """

    gateway: str
    upstream_id: str
    data_centre: str
    at_s: float
    what: Literal["request", "helper", "reservation"]
    request_id: str


class Evacuation:
    """A time in which the store has the record of an evacuation.

    Attributes:
        data_centre: The data centre.
        written_s: Time at which the store acknowledged the record.
        ended_s: Time at which the record was deleted or lost.
    """

    def __init__(self, data_centre: str, written_s: float) -> None:
        """Starts an evacuation."""
        self.data_centre = data_centre
        self.written_s = written_s
        self.ended_s = float("inf")


class OutOfTouch(NamedTuple):
    """A time in which a gateway couldn't learn what is in the store.

    Attributes:
        gateway: Address of the gateway; empty for all of them.
        start_s: Start of the time.
        end_s: End of the time.
    """

    gateway: str
    start_s: float
    end_s: float


class StopCheck(NamedTuple):
    """A look at a gateway that still runs READY_CHECK_AFTER_S after its signal.

    Attributes:
        address: Address of the gateway.
        stopped_s: Time of the stop signal.
        counted: Whether the gateway was in rotation at the signal.
        is_ready: Whether the load balancer still has it in rotation.
    """

    address: str
    stopped_s: float
    counted: bool
    is_ready: bool


class LimitPeriod:
    """A time in which upstreams name a limit of requests per second.

    Attributes:
        per_s: The limit.
        upstream_ids: The upstreams.
        named_s: Time of the first response that named it, by upstream.
        ended_s: Time at which the upstreams stopped naming it.
    """

    def __init__(self, per_s: float, upstream_ids: list[str]) -> None:
        """Starts a period."""
        self.per_s = per_s
        self.upstream_ids = upstream_ids
        self.named_s: dict[str, float] = {}
        self.ended_s = float("inf")

    def note_named(self, upstream_id: str, now: float) -> None:
        """Records a response that names the limit."""
        self.named_s.setdefault(upstream_id, now)


COLD_JUDGED_S = 1.0
"""Time over which the requests to a cold upstream are counted."""


class ColdPeriod:
    """A time in which an upstream is cold.

    Attributes:
        upstream_id: The upstream.
        at_s: Start of the time.
        cold_s: Its length.
        arrivals: Requests that have reached the upstream in it.
        most: Most requests in any sliding second of it.
    """

    def __init__(self, upstream_id: str, at_s: float, cold_s: float) -> None:
        """Starts a period."""
        self.upstream_id = upstream_id
        self.at_s = at_s
        self.cold_s = cold_s
        self.arrivals = 0
        self.most = 0

    def note_arrival(self, in_second: int) -> None:
        """Records a request, and those of the second that it ends."""
        self.arrivals += 1
        self.most = max(self.most, in_second)


class Attempt:
    """An attempt of a caller at a request.

    Attributes:
        request_id: Id of the attempt.
        arrival: The request.
        sent_s: Time at which it was sent.
        resume_after: Id of the last event of earlier attempts, or 0.
        status: HTTP status of the response, or None without a response.
        refusal: Reason of a refusal, or empty.
        retry_after_s: Retry-After of a refusal, or None.
        event_ids: Ids of the received events, in order of arrival.
        event_times: Times at which they were received.
        complete: Whether the response is complete.
        broken: Whether the connection was closed before the end of the
            response.
        ended_s: Time at which the response ended or the caller disconnected.
        disconnected: Whether the caller disconnected before the end of the
            response.
        gateway: Address of the gateway that received it, or empty.
        dropped: Whether its connection ended without an answer and without a
            reset: the gateway had read what was sent.
    """

    def __init__(
        self, request_id: str, arrival: workload.Arrival, sent_s: float
    ) -> None:
        """Creates an attempt without a response."""
        self.request_id = request_id
        self.arrival = arrival
        self.sent_s = sent_s
        self.resume_after = 0
        self.status: int | None = None
        self.refusal = ""
        self.retry_after_s: float | None = None
        self.event_ids: list[int] = []
        self.event_times: list[float] = []
        self.complete = False
        self.broken = False
        self.ended_s: float | None = None
        self.disconnected = False
        self.gateway = ""
        self.dropped = False


class Ledger:
    """Records of a test run.

    Attributes:
        runs: Requests that upstreams started to run.
        deliveries: Requests that reached upstreams.
        prompt_crashes: Times at which a request crashed an upstream, by the
            part of its prompt or its body.
        limits: Periods in which upstreams named a limit, in order.
        disturbed: Gateways that were started, killed or cut off: address and
            time.
        requests: The attempts of each request.
        leaks: Reservations that were not released in time: upstream id and
            reservation id.
        late_dispatches: Requests sent to an upstream after its drain notice
            was in force: upstream id and time.
        overdue_stops: Gateways that exceeded their grace period.
        stops: Gateways that were asked to stop: address and time.
        stop_checks: Looks at gateways some time after their stop signal.
        notices: What upstreams said of themselves.
        placements: Uses of upstreams that gateways have chosen.
        evacuations: Evacuations of data centres.
        out_of_touch: Times in which gateways couldn't learn of evacuations.
        cold_periods: Times in which upstreams were cold.
    """

    def __init__(self) -> None:
        """Creates an empty ledger."""
        self.runs: list[RunRecord] = []
        self.deliveries: list[Delivery] = []
        self.prompt_crashes: dict[str, list[float]] = {}
        self.limits: list[LimitPeriod] = []
        self.disturbed: list[tuple[str, float]] = []
        self.requests: list[list[Attempt]] = []
        self.leaks: list[tuple[str, str]] = []
        self.late_dispatches: list[tuple[str, float]] = []
        self.overdue_stops: list[str] = []
        self.stops: list[tuple[str, float]] = []
        self.stop_checks: list[StopCheck] = []
        self.notices: list[Notice] = []
        self.placements: list[Placement] = []
        self.evacuations: list[Evacuation] = []
        self.out_of_touch: list[OutOfTouch] = []
        self.cold_periods: list[ColdPeriod] = []


NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))

TOLERATED_CRASHES = 5
"""Crashes by one part of a prompt after which the fleet must stop it."""

MAX_LATE_DELIVERIES = 3
"""Requests with a part that has crashed TOLERATED_CRASHES upstreams which may
still reach upstreams after the settle time."""

MIN_SOUND_SHARE = 0.5
MIN_SOUND_REQUESTS = 20
"""Requests without such a part must begin at least this often, as a share of
how often they do without a fault, if there are enough to tell."""


def find_violations(ledger: Ledger) -> list[str]:
    """Returns a line for each violation of a rule, tagged with the rule.

    The tags mean:

    - LEAK: A reservation was not released in time.
    - DRAIN: A draining upstream was sent a new request, or too many stopping
      gateways were ready.
    - GRACE: A gateway did not end within its grace period.
    - UNASKED: An upstream ran a request that no caller sent.
    - TWICE: A non-repeatable request ran more than once.
    - REFUSED: A request ran, although its response said that it didn't.
    - BUDGET: A request ran on more upstreams than its route allows.
    - MIXED: A caller received a success for a request that didn't run.
    - ORDER: Events were missing or out of order.
    """
    runs: dict[str, list[RunRecord]] = {}
    for run in ledger.runs:
        runs.setdefault(run.request_id, []).append(run)
    lines = [f"LEAK {engine} {name}" for engine, name in ledger.leaks]
    lines += [
        f"DRAIN {name} at {at:.2f} s" for name, at in ledger.late_dispatches
    ]
    lines += _check_late_ready(ledger.stop_checks)
    lines += [f"GRACE {address}" for address in ledger.overdue_stops]
    known = set()
    for attempts in ledger.requests:
        for attempt in attempts:
            known.add(attempt.request_id)
            lines += _check_attempt(attempt, runs.get(attempt.request_id, []))
        lines += _check_event_order(attempts)
    lines += [
        f"UNASKED {request_id}"
        for request_id in runs
        if request_id not in known
    ]
    return lines


def find_evacuation_violations(ledger: Ledger, evacuate_s: float) -> list[str]:
    """Returns uses of upstreams of evacuated data centres.

    The time in which a gateway was out of touch doesn't count. One that has
    started since must know the evacuation before its first request.

    Args:
        ledger: The records.
        evacuate_s: Time from the store's acknowledgement in which an evacuation
            must be in force.
    """
    return [
        f"EVACUATED {row.what} {row.request_id} from {row.gateway} reached "
        f"{row.upstream_id} in {row.data_centre} "
        f"{row.at_s - evacuation.written_s:.2f} s after the record"
        for row in ledger.placements
        for evacuation in ledger.evacuations
        if row.data_centre == evacuation.data_centre
        and evacuation.written_s + evacuate_s < row.at_s < evacuation.ended_s
        and _in_touch_s(ledger, row.gateway, evacuation.written_s, row.at_s)
        > evacuate_s
    ]


def _in_touch_s(
    ledger: Ledger, gateway: str, start_s: float, end_s: float
) -> float:
    """Returns the time in an interval in which a gateway was in touch."""
    in_touch_s, at_s = 0.0, start_s
    for row in sorted(ledger.out_of_touch, key=lambda row: row.start_s):
        if row.gateway in ("", gateway) and row.end_s > at_s:
            in_touch_s += max(min(row.start_s, end_s) - at_s, 0.0)
            at_s = row.end_s
    return in_touch_s + max(end_s - at_s, 0.0)


READY_CHECK_AFTER_S = 4.0
"""Time after a stop signal at which the gateways that are ready are counted."""

MAX_LATE_READY_SHARE = 0.25
"""Stopping gateways that may still be ready then, as a share of all that were
stopped in the run; a single one always may be."""


def _check_late_ready(checks: list[StopCheck]) -> list[str]:
    """Returns a line if too many gateways stayed ready after their signal.

    The platform counts over the whole run. Whether a gateway counts that had
    ended before the check is not documented; the stricter reading is checked.
    """
    late = [check for check in checks if check.is_ready]
    counted = sum(check.counted for check in checks)
    if len(late) < 2 or len(late) <= MAX_LATE_READY_SHARE * counted:
        return []
    return [
        f"DRAIN {len(late)} of {counted} gateways ready "
        f"{READY_CHECK_AFTER_S} s after their signal: "
        + ", ".join(f"{row.address} at {row.stopped_s:.2f} s" for row in late)
    ]


STOP_ACCEPT_S = 3.0
"""Time after a stop signal until which a request may be sent that is still cut
at the end of the grace period."""


LOSS_SLACK_S = 0.2
"""Time after which a request that isn't passed on counts as read."""


def find_cut_requests(ledger: Ledger, grace_s: float) -> list[str]:
    """Returns requests that a stopping gateway took late and then cut.

    A request that crossed the close of its connection, or found no listener,
    wasn't taken. One that ended at its deadline, or that a later process at the
    same address took, wasn't cut by the stop.
    """
    passed_on = {delivery.request_id for delivery in ledger.deliveries}
    return [
        f"LOST {attempt.arrival.kind.name} {attempt.request_id}: sent "
        f"{attempt.sent_s - stopped_s:.2f} s after the stop signal of {address}"
        for attempts in ledger.requests
        for attempt in attempts
        for address, stopped_s in ledger.stops
        if attempt.broken
        and attempt.gateway == address
        and STOP_ACCEPT_S < attempt.sent_s - stopped_s <= grace_s
        and not _reached_deadline(attempts, attempt)
        and not any(
            name == address and stopped_s < started_s <= attempt.sent_s
            for name, started_s in ledger.disturbed
        )
        and (
            attempt.request_id in passed_on
            or attempt.ended_s is None
            or attempt.ended_s - attempt.sent_s > LOSS_SLACK_S
        )
    ]


def _reached_deadline(attempts: list[Attempt], attempt: Attempt) -> bool:
    """Returns whether an attempt ended when its caller's time was over."""
    deadline_s = attempts[0].sent_s + attempt.arrival.kind.timeout_s
    return attempt.ended_s is not None and attempt.ended_s >= deadline_s


def find_unanswered_requests(ledger: Ledger, grace_s: float) -> list[str]:
    """Returns requests that a stop ended without an answer.

    No upstream has had them, and their callers were still waiting.
    """
    passed_on = {delivery.request_id for delivery in ledger.deliveries}
    return [
        f"LOST {attempt.arrival.kind.name} {attempt.request_id}: no answer "
        f"after {attempt.ended_s - attempt.sent_s:.2f} s, from {address}"
        for attempts in ledger.requests
        for attempt in attempts
        for address, stopped_s in ledger.stops
        if attempt.broken
        and attempt.gateway == address
        and attempt.request_id not in passed_on
        and attempt.ended_s is not None
        and stopped_s <= attempt.ended_s <= stopped_s + grace_s + 1.0
        and attempt.ended_s - attempt.sent_s > LOSS_SLACK_S
    ]


def find_dropped_requests(ledger: Ledger) -> list[str]:
    """Returns requests that a gateway has read and never answered.

    For runs in which no gateway is killed.
    """
    return [
        f"LOST {attempt.arrival.kind.name} {attempt.request_id}: read and not "
        f"answered, by {attempt.gateway}"
        for attempts in ledger.requests
        for attempt in attempts
        if attempt.dropped
    ]


ENDED_STATUSES = (500, 502)


def find_ended_answers(ledger: Ledger, grace_s: float) -> list[str]:
    """Returns requests that ended early although nothing failed.

    For runs in which upstreams and gateways are sound. Requests that a stopping
    gateway has are judged by the checks of stops.
    """
    passed_on = {delivery.request_id for delivery in ledger.deliveries}
    return [
        f"LOST {attempt.arrival.kind.name} {attempt.request_id}: status "
        f"{attempt.status}, broken {attempt.broken}, after "
        f"{attempt.ended_s - attempt.sent_s:.2f} s, from {attempt.gateway}"
        for attempts in ledger.requests
        for attempt in attempts
        if (attempt.broken or attempt.status in ENDED_STATUSES)
        and attempt.gateway
        and attempt.ended_s is not None
        and not _reached_deadline(attempts, attempt)
        and (
            attempt.request_id in passed_on
            or attempt.ended_s - attempt.sent_s > LOSS_SLACK_S
        )
        and not any(
            name == attempt.gateway
            and stopped_s <= attempt.ended_s <= stopped_s + grace_s + 1.0
            for name, stopped_s in ledger.stops
        )
    ]


NOTICE_DELAY_S = 0.5
"""Time after a refusal in which requests may still be on their way."""

MAX_AGAINST_WAIT = 2
"""Requests that may reach an upstream although it wants none."""


def find_notice_violations(
    ledger: Ledger, drain_s: float, settle_s: float = 0.0
) -> list[str]:
    """Returns requests that reached upstreams against their word.

    The tags mean:

    - DRAIN: A request that its caller sent later than `drain_s` after the
      gateway had been told that the upstream leaves.
    - BUDGET: More than MAX_AGAINST_WAIT requests reached an upstream while it
      wanted none from the gateway.

    A notice ends with the start that gave it, and a disturbance of the gateway
    after the notice excuses it.

    Args:
        ledger: What happened.
        drain_s: Time in which a gateway has to heed a notice.
        settle_s: Time before a notice within which a disturbance excuses too.
    """
    attempts = {
        attempt.request_id: attempt
        for attempts in ledger.requests
        for attempt in attempts
    }
    lines = []
    for notice in ledger.notices:
        told = attempts.get(notice.request_id)
        if told is None:
            continue
        disturbed_s = min(
            (
                at_s
                for address, at_s in ledger.disturbed
                if address == told.gateway and at_s > notice.at_s - settle_s
            ),
            default=float("inf"),
        )
        reached = [
            delivery
            for delivery in ledger.deliveries
            if delivery.upstream_id == notice.upstream_id
            and delivery.started_at_ms == notice.started_at_ms
            and notice.at_s < delivery.at_s < disturbed_s
            and attempts[delivery.request_id].gateway == told.gateway
        ]
        if notice.wait_s is None:
            lines += [
                f"DRAIN {notice.upstream_id}: {delivery.request_id} at "
                f"{delivery.at_s:.2f} s, told at {notice.at_s:.2f} s"
                for delivery in reached
                if attempts[delivery.request_id].sent_s > notice.at_s + drain_s
            ]
            continue
        against = [
            delivery
            for delivery in reached
            if notice.at_s + NOTICE_DELAY_S
            < delivery.at_s
            < notice.at_s + notice.wait_s
        ]
        if len(against) > MAX_AGAINST_WAIT:
            lines.append(
                f"BUDGET {notice.upstream_id}: {len(against)} requests between "
                f"{notice.at_s + NOTICE_DELAY_S:.2f} s and "
                f"{notice.at_s + notice.wait_s:.2f} s"
            )
    return lines


LIMIT_WINDOW_S = 4.0
LIMIT_FACTOR = 1.5
LIMIT_SLACK = 5
LIMIT_TOLD_S = 0.5
"""Upstreams may get, in each window, this factor of what a limit allows plus
the slack, from the time at which gateways have been told."""


def find_limit_violations(ledger: Ledger, settle_s: float) -> list[str]:
    """Returns the upstreams that got more requests than their limit allows.

    All gateways have to know the limit after LIMIT_TOLD_S, also those that got
    no response that names it.
    """
    gateways = {
        attempt.request_id: attempt.gateway
        for attempts in ledger.requests
        for attempt in attempts
    }
    lines = []
    for period in ledger.limits:
        allowed = LIMIT_FACTOR * LIMIT_WINDOW_S * period.per_s + LIMIT_SLACK
        for upstream_id, named_s in period.named_s.items():
            times = sorted(
                delivery.at_s
                for delivery in ledger.deliveries
                if delivery.upstream_id == upstream_id
                and named_s + LIMIT_TOLD_S < delivery.at_s < period.ended_s
                and _is_settled(
                    ledger,
                    gateways[delivery.request_id],
                    delivery.at_s,
                    settle_s,
                )
            )
            most = max(
                (
                    sum(at <= other <= at + LIMIT_WINDOW_S for other in times)
                    for at in times
                ),
                default=0,
            )
            if most > allowed:
                lines.append(
                    f"LIMIT {upstream_id}: {most} requests in "
                    f"{LIMIT_WINDOW_S:.0f} s at {period.per_s} a second"
                )
    return lines


def find_cold_violations(ledger: Ledger, bound: float) -> list[str]:
    """Returns the cold upstreams that got too many requests in a second."""
    return [
        f"COLD {period.upstream_id}: {period.most} requests in a second, from "
        f"{period.at_s:.2f} s for {period.cold_s:.2f} s"
        for period in ledger.cold_periods
        if period.most > bound
    ]


def find_prompt_violations(ledger: Ledger, settle_s: float) -> list[str]:
    """Returns violations of the rules on parts of prompts that crash engines.

    The tags mean:

    - BUDGET: Requests with such a part reached engines after it had crashed
      TOLERATED_CRASHES of them and the settle time was over.
    - LOST: Other requests with the same team or first part began less often.

    Args:
        ledger: What happened.
        settle_s: Time after a disturbance of a gateway in which it may still
            act on what it knew before.
    """
    lines = []
    began = {run.request_id for run in ledger.runs}
    attempts = {
        attempt.request_id: attempt
        for attempts in ledger.requests
        for attempt in attempts
    }
    known_parts = {
        part
        for attempt in attempts.values()
        for part in attempt.arrival.shared_parts
    }
    for part, crashes in ledger.prompt_crashes.items():
        if part not in known_parts:
            continue
        judged = sorted(crashes)[:TOLERATED_CRASHES][-1]
        late = [
            delivery
            for delivery in ledger.deliveries
            if delivery.at_s > judged + settle_s
            and part in attempts[delivery.request_id].arrival.shared_parts
            and _is_settled(
                ledger,
                attempts[delivery.request_id].gateway,
                delivery.at_s,
                settle_s,
            )
        ]
        if len(crashes) >= TOLERATED_CRASHES and (
            len(late) > MAX_LATE_DELIVERIES
        ):
            lines.append(
                f"BUDGET {part}: {len(late)} requests reached engines after "
                f"{judged + settle_s:.2f} s, {len(crashes)} crashes in all"
            )
        lines += _check_sound_requests(
            ledger, part, began, min(crashes), judged + 2 * settle_s, settle_s
        )
    return lines


TOLERATED_REQUEST_CRASHES = 3
"""Crashes by one request after which the fleet must stop it."""


def find_request_violations(ledger: Ledger, settle_s: float) -> list[str]:
    """Returns violations of the rule on requests that crash upstreams.

    Such a request comes again with the same body. The tag BUDGET means that it
    reached upstreams more than MAX_LATE_DELIVERIES times after it had crashed
    TOLERATED_REQUEST_CRASHES of them and the settle time was over.

    Args:
        ledger: What happened.
        settle_s: See find_prompt_violations.
    """
    lines = []
    attempts = {
        attempt.request_id: attempt
        for attempts in ledger.requests
        for attempt in attempts
    }
    for body, crashes in ledger.prompt_crashes.items():
        if len(crashes) < TOLERATED_REQUEST_CRASHES:
            continue
        judged = sorted(crashes)[TOLERATED_REQUEST_CRASHES - 1]
        late = [
            delivery
            for delivery in ledger.deliveries
            if delivery.at_s > judged + settle_s
            and attempts[delivery.request_id].arrival.body == body.encode()
            and _is_settled(
                ledger,
                attempts[delivery.request_id].gateway,
                delivery.at_s,
                settle_s,
            )
        ]
        if len(late) > MAX_LATE_DELIVERIES:
            lines.append(
                f"BUDGET {body}: {len(late)} times at upstreams after "
                f"{judged + settle_s:.2f} s, {len(crashes)} crashes in all"
            )
    return lines


def _is_settled(
    ledger: Ledger, gateway: str, at_s: float, settle_s: float
) -> bool:
    """Returns whether a gateway has been undisturbed for the settle time."""
    return not any(
        address == gateway and at_s - settle_s < disturbed_s <= at_s
        for address, disturbed_s in ledger.disturbed
    )


def _check_sound_requests(
    ledger: Ledger,
    part: str,
    began: set[str],
    first_crash_s: float,
    judged_s: float,
    settle_s: float,
) -> list[str]:
    first_attempts = [attempts[0] for attempts in ledger.requests if attempts]
    bad = [
        attempt
        for attempt in first_attempts
        if part in attempt.arrival.shared_parts
    ]
    names = {attempt.arrival.kind.name for attempt in bad}
    teams = {attempt.arrival.team for attempt in bad}
    first_parts = {attempt.arrival.shared_parts[0] for attempt in bad}
    all_bad = set(ledger.prompt_crashes)
    sound = [
        attempt
        for attempt in first_attempts
        if attempt.arrival.kind.name in names
        and not all_bad.intersection(attempt.arrival.shared_parts)
        and (
            attempt.arrival.team in teams
            or attempt.arrival.shared_parts[0] in first_parts
        )
        and _is_settled(ledger, attempt.gateway, attempt.sent_s, settle_s)
    ]
    last_bad_s = max(attempt.sent_s for attempt in bad)
    before = [attempt for attempt in sound if attempt.sent_s < first_crash_s]
    after = [
        attempt for attempt in sound if judged_s < attempt.sent_s < last_bad_s
    ]
    if min(len(before), len(after)) < MIN_SOUND_REQUESTS:
        return []
    usual = sum(attempt.request_id in began for attempt in before) / len(before)
    share = sum(attempt.request_id in began for attempt in after) / len(after)
    if share >= MIN_SOUND_SHARE * usual:
        return []
    return [
        f"LOST {part}: {share:.2f} of {len(after)} sound requests began, "
        f"{usual:.2f} of {len(before)} before the first crash"
    ]


def _check_attempt(attempt: Attempt, runs: list[RunRecord]) -> list[str]:
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
        and _last_received_event(attempt) != attempt.arrival.events
    ):
        lines.append(f"ORDER {name}: complete before its last event")
    return lines


def _last_received_event(attempt: Attempt) -> int:
    """Returns the last event received in this or an earlier attempt.

    If a connection is closed between the last event and the end of the
    response, the attempt that resumes it receives no event.
    """
    return attempt.event_ids[-1] if attempt.event_ids else attempt.resume_after


def _check_event_order(attempts: list[Attempt]) -> list[str]:
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
    """Outcomes of a group of requests.

    Attributes:
        requests: Number of requests.
        on_time: Number of responses within the latency targets.
        late: Number of complete responses that missed a target.
        unserved: Number of requests without a complete response.
        worth: Credit earned over credit owed, 0 to 1; the credit of a stream
            is weighted by its prompt length.
    """

    requests: int
    on_time: int
    late: int
    unserved: int
    worth: float


def scores(ledger: Ledger) -> dict[str, Score]:
    """Returns the score of each kind of request, and the total as "all"."""
    return _scores_by(ledger, lambda arrival: arrival.kind.name)


def team_scores(ledger: Ledger) -> dict[str, Score]:
    """Returns the score of each team, and the total as "all"."""
    return _scores_by(ledger, lambda arrival: f"team-{arrival.team}")


def _scores_by(
    ledger: Ledger, group: Callable[[workload.Arrival], str]
) -> dict[str, Score]:
    rows: dict[str, list[tuple[str, float, float]]] = {}
    for attempts in ledger.requests:
        arrival = attempts[0].arrival
        kind = arrival.kind
        result = outcome(attempts)
        weight = 1.0
        if kind.tokens:
            size = arrival.tokens / kind.tokens
            weight = min(0.3 + 0.7 * size, 4.0)
        earned = {"on_time": kind.worth, "late": kind.late_worth}
        row = (result, weight * earned.get(result, 0.0), weight * kind.worth)
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


def outcome(attempts: list[Attempt]) -> str:
    """Returns "on_time", "late" or "unserved" for a request."""
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
