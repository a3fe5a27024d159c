"""Demand per model in a data centre, computed from the entries' records.

Each entry appends one record per minute to the demand stream of its data
centre. The result depends only on the records: their offsets, ids, append times
and content. Agents that have read the same records compute the same demand, so
no leader is needed.

Invariant: `DemandFold.in_force` changes only in `fold`, so the last demand
stays in force while the log is unavailable.
"""

import math
import random
from collections.abc import Iterable, Mapping
from typing import Annotated, Final, NamedTuple

import msgspec

from apricottrestle import platform_log

REPORT_INTERVAL_S: Final = 60.0
"""Mean time between two records of an entry."""

READ_INTERVAL_S: Final = 30.0
"""Mean time between two reads of the stream by an agent."""

JITTER_RATIO: Final = 0.1
"""Maximum deviation of an interval, as a fraction of it, so that entries and
agents that start together don't access the log at the same time."""

MIN_SPAN_S: Final = 1.0
"""Minimum time that a record covers. A rate over less time is unreliable, since
a single prompt may have 1M tokens."""

SMOOTHING_WEIGHT: Final = 0.1
"""Weight of a new record in the moving average of an entry's rate. It averages
over about ten minutes, so that a burst of one minute doesn't load models. The
first records of an entry are weighted equally."""

MAX_GAP_S: Final = REPORT_INTERVAL_S * (1 + JITTER_RATIO)
"""Maximum time between two records of a stream. A longer gap is an outage of
the log and counts as this long, so that no entry expires because of it."""

GRACE_S: Final = 3 * MAX_GAP_S + 2.0
"""Time after an entry's last record during which its rate counts fully. It
covers an outage of the log that begins just before the next record is due, and
the report interval after the outage."""

STALE_HALF_LIFE_S: Final = 60.0
"""Half-life of the rate of an entry without records, after GRACE_S."""

ENTRY_EXPIRY_S: Final = GRACE_S + 10 * STALE_HALF_LIFE_S
"""Time after its last record at which an entry is removed: less than a
thousandth of its rate still counts."""

MIN_CHANGE_INTERVAL_S: Final = 300.0
"""Minimum time between two changes of the demand in force. Loading a model
takes minutes at the weight store's rate limit, and a change during the loads
for the previous one wastes them."""

CHECK_INTERVAL_S: Final = REPORT_INTERVAL_S / 2
"""Minimum time between two comparisons of measured demand with that in force.
A comparison for each record would be most of the fold's cost, which an agent
pays at its start for all retained records."""

WARM_UP_S: Final = 600.0
"""Time before the first change in an epoch. That change isn't subject to
hysteresis, so it uses the mean of ten records of each entry."""

CHANGE_RATIO: Final = 1.5
"""Ratio by which a model's fraction of the demand must change before the demand
in force does. It is above the steps to which placement rounds demand, so a
change always affects engines."""

MIN_DEMAND_FRACTION: Final = 0.01
"""Fractions below this value are compared as this value, since a change between
tiny fractions affects no engine."""

EPOCH_S: Final = 6 * 3600.0
"""The fold discards its state, except the demand in force, at multiples of this
time on the log's clock. Otherwise an agent that starts after records have
expired could permanently differ from the others, since smoothing and hysteresis
depend on all earlier records."""

_MAX_TOKENS: Final = 10**15
_MAX_SPAN_S: Final = 30 * 86_400.0
_MAX_MODELS: Final = 1_000


class DemandRecord(NamedTuple):
    """Content of a record in the demand stream.

    Attributes:
        span_s: Time that the record covers, in seconds.
        tokens: Prompt tokens requested per model in that time.
    """

    span_s: Annotated[float, msgspec.Meta(gt=0, le=_MAX_SPAN_S)]
    tokens: Annotated[
        dict[str, Annotated[int, msgspec.Meta(ge=0, le=_MAX_TOKENS)]],
        msgspec.Meta(max_length=_MAX_MODELS),
    ]


class PendingRecord(NamedTuple):
    """A record that isn't known to be stored yet.

    Attributes:
        record_id: Id, `<entry>/<incarnation>/<sequence>`.
        data: JSON of a DemandRecord.
    """

    record_id: str
    data: str


_DECODER: Final = msgspec.json.Decoder(DemandRecord)


def jittered_s(interval_s: float, rng: random.Random) -> float:
    """Returns the interval, in seconds, changed by a random jitter."""
    return interval_s * rng.uniform(1 - JITTER_RATIO, 1 + JITTER_RATIO)


def stream_name(data_centre: str) -> str:
    """Returns the name of a data centre's demand stream."""
    return f"demand/{data_centre}"


class DemandCounter:
    """Counts the prompt tokens per model that callers request of an entry."""

    def __init__(self) -> None:
        """Initialises the counter without tokens."""
        self._tokens: dict[str, int] = {}
        self._span_start: float | None = None
        self._seq = 0
        self._pending: PendingRecord | None = None

    def add(self, model: str, tokens: int) -> None:
        """Counts a request, whether it is admitted or refused.

        Args:
            model: Model name.
            tokens: Prompt tokens.
        """
        self._tokens[model] = self._tokens.get(model, 0) + tokens

    def next_record(
        self, entry: str, incarnation: str, now: float
    ) -> PendingRecord | None:
        """Returns the record to append; the same one until it is confirmed.

        A record whose response was lost is sent again with the same id, so that
        the fold recognises the duplicate.

        Args:
            entry: Instance id of the entry.
            incarnation: Incarnation of the process.
            now: Monotonic time in seconds.

        Returns:
            The record. None at the first call, which starts the time span of
            the first record, and within MIN_SPAN_S of the last new record.
        """
        if self._pending is not None:
            return self._pending
        if self._span_start is None:
            self._span_start = now
        span_s = now - self._span_start
        if span_s < MIN_SPAN_S:
            return None
        record = DemandRecord(round(span_s, 3), self._tokens)
        self._tokens, self._span_start = {}, now
        self._seq += 1
        self._pending = PendingRecord(
            f"{entry}/{incarnation}/{self._seq}",
            msgspec.json.encode(record).decode(),
        )
        return self._pending

    def confirm(self) -> None:
        """Marks the record that `next_record` returned as stored."""
        self._pending = None


class _EntryState(NamedTuple):
    """State of an entry in the fold.

    Attributes:
        incarnation: Incarnation of the entry's process.
        seq: Sequence number of the last record.
        last_seen: Time of the last record, on the fold's clock.
        record_count: Number of records in the epoch.
        rates: Smoothed prompt tokens per second per model.
    """

    incarnation: str
    seq: int
    last_seen: float
    record_count: int
    rates: Mapping[str, float]


class DemandFold:
    """Fold of a demand stream into the demand that placement uses.

    Attributes:
        in_force: Prompt tokens per second per model that placement uses.
        position: Offset of the last record read.
        dropped: Number of malformed records.
    """

    def __init__(self) -> None:
        """Initialises the fold without demand."""
        self.in_force: Mapping[str, float] = {}
        self.position = 0
        self.dropped = 0
        self._entries: dict[str, _EntryState] = {}
        self._epoch = -1
        self._log_time = 0.0
        self._clock = 0.0
        self._last_change = 0.0
        self._last_check = 0.0
        self._warmed_up = False

    def fold(self, records: Iterable[platform_log.LogRecord]) -> None:
        """Applies records; skips those at or below `position`.

        Args:
            records: Records in the order of their offsets.
        """
        for record in records:
            if record.offset > self.position:
                self.position = record.offset
                self._apply_record(record)

    def _apply_record(self, record: platform_log.LogRecord) -> None:
        parsed = _parse(record)
        if parsed is None:
            self.dropped += 1
            return
        entry, incarnation, seq, content = parsed
        self._advance_clock(record.time)
        old = self._entries.get(entry)
        if old and old.incarnation == incarnation and seq <= old.seq:
            return
        count = old.record_count + 1 if old else 1
        weight = max(SMOOTHING_WEIGHT, 1 / count)
        rates = _smoothed_rates(old.rates if old else {}, content, weight)
        self._entries[entry] = _EntryState(
            incarnation, seq, self._clock, count, rates
        )
        self._update_in_force()

    def _advance_clock(self, time: float) -> None:
        """Advances the fold's clock to the append time of a record.

        The log's clock may go back; the fold's clock doesn't. At a new epoch
        the state is discarded, except the demand in force.

        Args:
            time: Append time of the record on the log's clock, in seconds.
        """
        epoch = int(time // EPOCH_S)
        if epoch > self._epoch:
            self._epoch = epoch
            self._entries.clear()
            self._log_time = time
            self._clock = self._last_change = self._last_check = 0.0
            self._warmed_up = False
        if time > self._log_time:
            self._clock += min(time - self._log_time, MAX_GAP_S)
            self._log_time = time

    def _update_in_force(self) -> None:
        """Replaces the demand in force if measured demand differs enough."""
        wait_s = MIN_CHANGE_INTERVAL_S if self._warmed_up else WARM_UP_S
        if self._clock - self._last_change < wait_s:
            return
        if self._clock - self._last_check < CHECK_INTERVAL_S:
            return
        self._last_check = self._clock
        total = self._total_rates()
        # The first change in an epoch must not depend on the previous epoch.
        if self._warmed_up:
            changed = changed_models(self.in_force, total)
            if not changed:
                return
            total = _merge_rates(self.in_force, total, changed)
        self.in_force = total
        self._last_change = self._clock
        self._warmed_up = True

    def _total_rates(self) -> dict[str, float]:
        """Returns the total rate per model; removes expired entries."""
        total: dict[str, float] = {}
        for name, entry in list(self._entries.items()):
            age_s = self._clock - entry.last_seen
            if age_s > ENTRY_EXPIRY_S:
                del self._entries[name]
                continue
            weight = 0.5 ** (max(age_s - GRACE_S, 0.0) / STALE_HALF_LIFE_S)
            for model, rate in entry.rates.items():
                total[model] = total.get(model, 0.0) + weight * rate
        return {model: rate for model, rate in total.items() if rate > 0}


def changed_models(
    old: Mapping[str, float], new: Mapping[str, float]
) -> set[str]:
    """Returns the models whose fraction of the demand changed by CHANGE_RATIO.

    Only fractions are compared, since placement divides a fixed number of
    engines. If no demand is measured, no model has changed; if no demand was in
    force, all measured models have.

    Args:
        old: Rate per model in force.
        new: Measured rate per model.
    """
    if not new or not old:
        return set(new)
    before, after = _fractions(old), _fractions(new)
    changed = set()
    for model in before.keys() | after.keys():
        old_fraction = max(before.get(model, 0.0), MIN_DEMAND_FRACTION)
        new_fraction = max(after.get(model, 0.0), MIN_DEMAND_FRACTION)
        if max(old_fraction, new_fraction) >= CHANGE_RATIO * min(
            old_fraction, new_fraction
        ):
            changed.add(model)
    return changed


def _merge_rates(
    old: Mapping[str, float], new: Mapping[str, float], changed: set[str]
) -> dict[str, float]:
    """Returns the rates with new fractions for the changed models only.

    Other models keep their old fraction, since small changes would reassign
    engines without benefit. The result is scaled to the new total rate.
    """
    before, after = (_fractions(rates) if rates else {} for rates in (old, new))
    merged = {
        model: (after if model in changed else before).get(model, 0.0)
        for model in sorted(before.keys() | after.keys())
    }
    total = math.fsum(merged.values())
    if total <= 0:
        # All demand in force moved to models that are each below
        # MIN_DEMAND_FRACTION.
        return dict(new)
    scale = math.fsum(new.values()) / total
    return {
        model: fraction * scale
        for model, fraction in merged.items()
        if fraction > 0
    }


def _fractions(rates: Mapping[str, float]) -> dict[str, float]:
    total = math.fsum(rates.values())
    return {model: rate / total for model, rate in rates.items()}


def _smoothed_rates(
    old: Mapping[str, float], content: DemandRecord, weight: float
) -> dict[str, float]:
    """Returns the updated moving averages of an entry's rates.

    The models are sorted by name, so the order is the same at all agents.
    """
    smoothed = {}
    for model in sorted(old.keys() | content.tokens.keys()):
        before = old.get(model, 0.0)
        new = content.tokens.get(model, 0) / content.span_s
        rate = before + weight * (new - before)
        # A withdrawn model is dropped when its rate is below about a token per
        # quarter of an hour.
        if rate > 1e-3:
            smoothed[model] = rate
    return smoothed


def _parse(
    record: platform_log.LogRecord,
) -> tuple[str, str, int, DemandRecord] | None:
    """Returns entry, incarnation, sequence number and content of a record.

    Returns None if the record is malformed.
    """
    id_parts = record.record_id.rsplit("/", 2)
    if (
        len(id_parts) != 3
        or not all(id_parts)
        or not math.isfinite(record.time)
    ):
        return None
    entry, incarnation, number = id_parts
    # isdecimal() accepts digits of other scripts, and int() rejects numbers of
    # several thousand digits.
    if not (number.isascii() and number.isdecimal()) or len(number) > 18:
        return None
    try:
        content = _DECODER.decode(record.data)
    except (msgspec.DecodeError, UnicodeError):
        return None
    return entry, incarnation, int(number), content
