"""Measured demand per model, folded alike by every agent of a data centre.

Each entry appends one record a minute to the demand stream of its data centre.
The fold depends on the records alone: their offsets, ids, times of append and
content. Agents that have read the same records compute the same demand, so no
leader is needed.

Invariant: `DemandFold.in_force` changes only in `fold`, so the last demand
stays in force while the log is down.
"""

import math
import random
from collections.abc import Iterable, Mapping
from typing import Annotated, Final, NamedTuple

import msgspec

from apricottrestle import platform_log

REPORT_INTERVAL_S: Final = 60.0
READ_INTERVAL_S: Final = 30.0
JITTER: Final = 0.1
"""Part of an interval by which it varies, so that entries and agents that start
together don't reach the log together."""

MIN_SPAN_S: Final = 1.0
"""A rate over a shorter time says little: one prompt may have 1 M tokens."""

SMOOTHING: Final = 0.1
"""Weight of a new record in an entry's rate: ten minutes, so that a flood of
one minute doesn't load models. The first records of an entry count alike."""

MAX_GAP_S: Final = REPORT_INTERVAL_S * (1 + JITTER)
"""A longer time without any record is an outage of the log. It counts as this
long, so that no entry fades out for it."""

GRACE_S: Final = 3 * MAX_GAP_S + 2.0
"""An entry counts fully for this time after its last record: an outage that
begins just before its next record, and the interval after the outage."""

HALF_LIFE_S: Final = 60.0
"""The rate of an entry whose records stopped halves in this time."""

FORGET_S: Final = GRACE_S + 10 * HALF_LIFE_S
"""An entry is forgotten when less than a thousandth of its rate is left."""

HOLD_S: Final = 300.0
"""Least time between two changes: loading a model takes minutes at the weight
store's rate limit, and a change amid the loads of the last one wastes them."""

CHECK_S: Final = REPORT_INTERVAL_S / 2
"""Time between two comparisons of measured demand with that in force. One for
each record is most of the fold's cost, which an agent pays at its start for all
retained records."""

SETTLE_S: Final = 600.0
"""Time before the first decision of an epoch, which no hysteresis guards: the
mean of ten records of each entry."""

MOVE_RATIO: Final = 1.5
"""A model's part of the demand must change by this ratio. It is above the steps
in which placement counts demand, so a change always concerns engines."""

LEAST_PART: Final = 0.01
"""Parts below count as this one: a ratio of tiny parts concerns no engine."""

EPOCH_S: Final = 6 * 3600.0
"""The fold starts anew at multiples of this time by the log's clock. Without it
an agent that starts after records have expired could differ from the others
for ever, since smoothing and hysteresis depend on all earlier records."""

_MAX_TOKENS: Final = 10**15
_MAX_SPAN_S: Final = 30 * 86_400.0
_MAX_MODELS: Final = 1_000


class DemandRecord(NamedTuple):
    """Content of a record of the demand stream.

    Attributes:
        span_s: Time that the record covers, in seconds.
        tokens: Prompt tokens asked for per model in that time.
    """

    span_s: Annotated[float, msgspec.Meta(gt=0, le=_MAX_SPAN_S)]
    tokens: Annotated[
        dict[str, Annotated[int, msgspec.Meta(ge=0, le=_MAX_TOKENS)]],
        msgspec.Meta(max_length=_MAX_MODELS),
    ]


class Pending(NamedTuple):
    """A record to append.

    Attributes:
        record_id: Id, `<entry>/<incarnation>/<sequence>`.
        data: Content.
    """

    record_id: str
    data: str


_DECODER: Final = msgspec.json.Decoder(DemandRecord)


def jittered_s(interval_s: float, rng: random.Random) -> float:
    """Returns an interval with jitter, in seconds."""
    return interval_s * rng.uniform(1 - JITTER, 1 + JITTER)


def stream_name(data_centre: str) -> str:
    """Returns the name of a data centre's demand stream."""
    return f"demand/{data_centre}"


class DemandCounter:
    """Prompt tokens that one entry was asked for per model."""

    def __init__(self) -> None:
        """Starts with no tokens."""
        self._tokens: dict[str, int] = {}
        self._since: float | None = None
        self._seq = 0
        self._pending: Pending | None = None

    def add(self, model: str, tokens: int) -> None:
        """Counts a request, whether it is admitted or refused.

        Args:
            model: Model name.
            tokens: Prompt tokens.
        """
        self._tokens[model] = self._tokens.get(model, 0) + tokens

    def next_record(
        self, entry: str, incarnation: str, now: float
    ) -> Pending | None:
        """Returns the record to append; the same one until it is confirmed.

        A record whose answer was lost is sent again under its old id, so that
        the fold recognises it.

        Args:
            entry: Instance id of the entry.
            incarnation: Incarnation of the process.
            now: Monotonic time in seconds.

        Returns:
            The record, or None at the first call, which starts the time that
            the first record covers, and within MIN_SPAN_S of the last record.
        """
        if self._pending is not None:
            return self._pending
        if self._since is None:
            self._since = now
        span_s = now - self._since
        if span_s < MIN_SPAN_S:
            return None
        record = DemandRecord(round(span_s, 3), self._tokens)
        self._tokens, self._since = {}, now
        self._seq += 1
        self._pending = Pending(
            f"{entry}/{incarnation}/{self._seq}",
            msgspec.json.encode(record).decode(),
        )
        return self._pending

    def confirm(self) -> None:
        """Forgets the record that `next_record` returned: it is stored."""
        self._pending = None


class _Entry(NamedTuple):
    """What the fold knows of an entry; `seen` is a time of the fold's clock."""

    incarnation: str
    seq: int
    seen: float
    records: int
    rates: Mapping[str, float]


class DemandFold:
    """The fold of a demand stream.

    Attributes:
        in_force: Prompt tokens per second per model that placement uses.
        position: Offset of the last record read.
        dropped: Malformed records so far.
    """

    def __init__(self) -> None:
        """Starts without demand."""
        self.in_force: Mapping[str, float] = {}
        self.position = 0
        self.dropped = 0
        self._entries: dict[str, _Entry] = {}
        self._epoch = -1
        self._time = 0.0
        self._clock = 0.0
        self._changed = 0.0
        self._checked = 0.0
        self._settled = False

    def fold(self, records: Iterable[platform_log.LogRecord]) -> None:
        """Applies records in the order of their offsets."""
        for rec in records:
            if rec.offset > self.position:
                self.position = rec.offset
                self._apply(rec)

    def _apply(self, rec: platform_log.LogRecord) -> None:
        parsed = _parse(rec)
        if parsed is None:
            self.dropped += 1
            return
        entry, incarnation, seq, content = parsed
        self._advance(rec.time)
        old = self._entries.get(entry)
        if old and old.incarnation == incarnation and seq <= old.seq:
            return
        count = old.records + 1 if old else 1
        weight = max(SMOOTHING, 1 / count)
        rates = _smooth(old.rates if old else {}, content, weight)
        self._entries[entry] = _Entry(
            incarnation, seq, self._clock, count, rates
        )
        self._decide()

    def _advance(self, time: float) -> None:
        """Moves the fold's clock; the log's clock may step back."""
        epoch = int(time // EPOCH_S)
        if epoch > self._epoch:
            self._epoch = epoch
            self._entries.clear()
            self._time = time
            self._clock = self._changed = self._checked = 0.0
            self._settled = False
        if time > self._time:
            self._clock += min(time - self._time, MAX_GAP_S)
            self._time = time

    def _decide(self) -> None:
        wait_s = HOLD_S if self._settled else SETTLE_S
        if self._clock - self._changed < wait_s:
            return
        if self._clock - self._checked < CHECK_S:
            return
        self._checked = self._clock
        total = self._total()
        # The first decision of an epoch must not depend on the last epoch.
        if self._settled:
            moved = moved_models(self.in_force, total)
            if not moved:
                return
            total = _merged(self.in_force, total, moved)
        self.in_force = total
        self._changed = self._clock
        self._settled = True

    def _total(self) -> dict[str, float]:
        """Returns the rate per model over all entries, without old ones."""
        total: dict[str, float] = {}
        for name, entry in list(self._entries.items()):
            age_s = self._clock - entry.seen
            if age_s > FORGET_S:
                del self._entries[name]
                continue
            weight = 0.5 ** (max(age_s - GRACE_S, 0.0) / HALF_LIFE_S)
            for model, rate in entry.rates.items():
                total[model] = total.get(model, 0.0) + weight * rate
        return {model: rate for model, rate in total.items() if rate > 0}


def moved_models(
    old: Mapping[str, float], new: Mapping[str, float]
) -> set[str]:
    """Returns the models whose part of the demand changed by MOVE_RATIO.

    Only parts count, since placement divides a fixed number of engines. No
    demand at all is no reason for a change.

    Args:
        old: Rate per model in force.
        new: Rate per model measured.
    """
    if not new or not old:
        return set(new)
    before, after = _parts(old), _parts(new)
    moved = set()
    for model in before.keys() | after.keys():
        one = max(before.get(model, 0.0), LEAST_PART)
        other = max(after.get(model, 0.0), LEAST_PART)
        if max(one, other) >= MOVE_RATIO * min(one, other):
            moved.add(model)
    return moved


def _merged(
    old: Mapping[str, float], new: Mapping[str, float], moved: set[str]
) -> dict[str, float]:
    """Returns the new parts of models that moved, and the old parts of others.

    Small changes of the others would move engines for nothing. The result is
    scaled to the new rate of all models.
    """
    before, after = (_parts(rates) if rates else {} for rates in (old, new))
    merged = {
        model: (after if model in moved else before).get(model, 0.0)
        for model in sorted(before.keys() | after.keys())
    }
    total = math.fsum(merged.values())
    if total <= 0:
        # Many models below LEAST_PART took the place of all in force.
        return dict(new)
    scale = math.fsum(new.values()) / total
    return {model: part * scale for model, part in merged.items() if part > 0}


def _parts(rates: Mapping[str, float]) -> dict[str, float]:
    total = math.fsum(rates.values())
    return {model: rate / total for model, rate in rates.items()}


def _smooth(
    old: Mapping[str, float], content: DemandRecord, weight: float
) -> dict[str, float]:
    """Returns the smoothed rates of an entry, in a fixed order of models."""
    smoothed = {}
    for model in sorted(old.keys() | content.tokens.keys()):
        before = old.get(model, 0.0)
        new = content.tokens.get(model, 0) / content.span_s
        rate = before + weight * (new - before)
        # Under a token in a quarter of an hour: a withdrawn model is dropped.
        if rate > 1e-3:
            smoothed[model] = rate
    return smoothed


def _parse(
    rec: platform_log.LogRecord,
) -> tuple[str, str, int, DemandRecord] | None:
    """Returns entry, incarnation, sequence and content; None if malformed."""
    parts = rec.record_id.rsplit("/", 2)
    if len(parts) != 3 or not all(parts) or not math.isfinite(rec.time):
        return None
    entry, incarnation, number = parts
    # isdecimal alone accepts other scripts and numbers too long for int().
    if not (number.isascii() and number.isdecimal()) or len(number) > 18:
        return None
    try:
        content = _DECODER.decode(rec.data)
    except (msgspec.DecodeError, UnicodeError):
        return None
    return entry, incarnation, int(number), content
