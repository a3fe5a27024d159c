"""Finds the requests that crash upstreams, from the crashes themselves.

A request that crashes an upstream ends all that run there, and upstreams also
crash for other reasons. A crash is therefore evidence against each request
whose answer was about to begin, by its parts: the shared parts of its prompt,
and a part of its own, which is the same when the request comes again. A shared
part is sound once an answer to a prompt with it has got past its beginning, a
request once it has been answered in full. The verdicts explain the crashes by
as few parts as possible.

Records of crashes are merged by set union, so that messages between gateways
may arrive twice, late or in any order.

Invariants: a crash counts once, however many gateways report it. It doesn't
count against a part that was shown to be sound after it or shortly before it.
The table holds at most MAX_CRASHES records; those that support a verdict are
dropped last.
"""

import collections
import itertools
from collections.abc import Collection, Iterable
from typing import Final, NamedTuple

from apricottrestle import hashing
from apricottrestle.gateway import calls

MAX_CRASHES: Final = 256
"""Records kept; a large fleet loses a few engines in an hour."""

MAX_SUSPECTS: Final = 32
"""Requests recorded for a crash; upstreams run and queue fewer at a time."""

RECORD_TTL_S: Final = 3_600.0
"""Time for which a crash counts that supports no verdict."""

SOUND_BEFORE_S: Final = 5.0
"""Time before a crash within which an answer shows that a part is sound; also
covers several engines that fail together."""

MAX_SOUND_PARTS: Final = 4_096
"""Parts whose last sound answer is remembered, the most recent ones."""

BEGUN_WEIGHT: Final = 1.0
"""Weight of a crash against a request whose answer had just begun."""

NOT_BEGUN_WEIGHT: Final = 0.5
"""Weight of a crash against shared parts of a request without an answer: the
engine may have been about to write it, or still have had it in its queue. Also
against a request whose answer had got past its beginning."""

REQUEST_PREFIX: Final = "request:"
"""Start of the part that stands for a whole request. Parts that callers name
don't contain its last character."""

VERDICT_WEIGHT: Final = 3.0
"""Weight of the crashes that prove a part to be bad, if no others happen."""

MAX_VERDICT_WEIGHT: Final = 5.0
"""The same while many engines crash for other reasons."""

OTHER_CRASH_WEIGHT: Final = 0.1
"""Weight added to the proof by each crash nearby that the part doesn't
explain."""

NEARBY_S: Final = 30.0
"""Time around the crashes of a part in which other crashes count as nearby."""


def request_part(req: calls.CallerRequest) -> str:
    """Returns the part that is the same whenever a caller repeats a request."""
    return REQUEST_PREFIX + hashing.content_digest(
        (req.method, req.host, req.target, req.api_key), req.body
    )


def parts_of(req: calls.CallerRequest) -> tuple[str, ...]:
    """Returns all parts of a request, its own one last."""
    return (*req.shared_parts, request_part(req))


class Suspect(NamedTuple):
    """A request that an upstream ran when it crashed.

    Attributes:
        parts: Its parts; only its own one if its answer had got past its
            beginning.
        begun: Whether the crash may have come with the beginning of the answer:
            the head of a stream had arrived, or it was a plain call.
        past_beginning: Whether the answer had got past its beginning.
        on_trial: Whether it was sent in spite of a verdict, as a trial.
    """

    parts: tuple[str, ...]
    begun: bool
    past_beginning: bool = False
    on_trial: bool = False

    def weight(self, part: str) -> float:
        """Returns the weight of the crash against one of the parts."""
        if self.past_beginning:
            return NOT_BEGUN_WEIGHT
        # One request is unlikely to have been in a queue at each crash.
        if self.begun or part.startswith(REQUEST_PREFIX):
            return BEGUN_WEIGHT
        return NOT_BEGUN_WEIGHT


class CrashReport(NamedTuple):
    """What a gateway knows of a crash; the form in which it is exchanged.

    Attributes:
        crash_id: Id of the crash, the same at all gateways.
        age_s: Time since the crash in seconds.
        suspects: Requests that may have caused it.
        sound: Parts of their prompts that can't have caused it.
    """

    crash_id: str
    age_s: float
    suspects: tuple[Suspect, ...]
    sound: tuple[str, ...] = ()


class Verdict(NamedTuple):
    """Parts that together crash engines.

    Attributes:
        parts: A request with all of these parts is refused. More than one only
            if no crash and no sound answer tells them apart.
        crash_ids: Crashes that speak against the parts, oldest first.
        weight: Their weight.
        failed_trials: Those of the crashes that ended a trial of the parts.
    """

    parts: frozenset[str]
    crash_ids: tuple[str, ...]
    weight: float
    failed_trials: tuple[str, ...] = ()


class _Crash:
    """A crash in the table.

    `sound` only grows, and `suspects` up to MAX_SUSPECTS.
    """

    __slots__ = ("at", "crash_id", "sound", "suspects")

    def __init__(self, crash_id: str, at: float) -> None:
        self.crash_id = crash_id
        self.at = at
        self.suspects: set[Suspect] = set()
        self.sound: set[str] = set()

    def charges(self) -> dict[str, float]:
        """Returns the weight of the crash against each part."""
        weights: dict[str, float] = {}
        for suspect in self.suspects:
            for part in suspect.parts:
                if part not in self.sound:
                    weights[part] = max(
                        weights.get(part, 0.0), suspect.weight(part)
                    )
        return weights

    def state(self) -> tuple[str, list[Suspect], list[str]]:
        """Returns what must be equal at all gateways."""
        return self.crash_id, sorted(self.suspects), sorted(self.sound)


class CrashEvidence:
    """Table of the crashes of engines and the verdicts that they support.

    Attributes:
        verdicts: Current verdicts.
        digest: Hash of all records; equal at gateways that know the same.
    """

    def __init__(self) -> None:
        """Creates an empty table."""
        self.verdicts: list[Verdict] = []
        self.digest = 0
        self._crashes: dict[str, _Crash] = {}
        self._sound_at: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )
        self._charged_parts: set[str] = set()

    def merge(self, report: CrashReport, now: float) -> bool:
        """Adds what a gateway knows of a crash; returns whether it is new.

        Args:
            report: The report of this or another gateway.
            now: Monotonic time in seconds.
        """
        crash = self._crashes.get(report.crash_id)
        at = now - report.age_s
        if crash is None:
            if self._is_outdated(report, at):
                return False
            crash = self._crashes[report.crash_id] = _Crash(report.crash_id, at)
            is_new = True
        else:
            is_new = False
        before = crash.state()
        # Gateways that know the same choose the same. A failed trial must not
        # be forgotten; requests whose answer had just begun are the more likely
        # cause.
        crash.suspects = set(
            sorted(
                crash.suspects.union(report.suspects),
                key=lambda suspect: (
                    not suspect.on_trial,
                    suspect.past_beginning,
                    not suspect.begun,
                    suspect,
                ),
            )[:MAX_SUSPECTS]
        )
        known_parts = {
            part for suspect in crash.suspects for part in suspect.parts
        }
        crash.sound.update(known_parts.intersection(report.sound))
        crash.sound.update(
            part
            for part in known_parts
            if self._sound_at.get(part, -1e9) >= crash.at - SOUND_BEFORE_S
        )
        if not is_new and crash.state() == before:
            return False
        self._update(now)
        return True

    def record_sound(self, parts: Iterable[str], now: float) -> list[str]:
        """Records an answer that shows that parts don't crash upstreams.

        Returns:
            Ids of the crashes against which this exonerates a part.
        """
        exonerated = []
        for part in parts:
            self._sound_at[part] = now
            self._sound_at.move_to_end(part)
            if part not in self._charged_parts:
                continue
            for crash in self._crashes.values():
                if part in crash.charges():
                    crash.sound.add(part)
                    exonerated.append(crash.crash_id)
        while len(self._sound_at) > MAX_SOUND_PARTS:
            self._sound_at.popitem(last=False)
        if exonerated:
            self._update(now)
        return exonerated

    def verdict_on(self, parts: Collection[str]) -> Verdict | None:
        """Returns the first verdict that a prompt's parts fall under."""
        return next(iter(self.verdicts_on(parts)), None)

    def verdicts_on(self, parts: Collection[str]) -> list[Verdict]:
        """Returns all verdicts that a prompt's parts fall under."""
        return [
            verdict
            for verdict in self.verdicts
            if verdict.parts.issubset(parts)
        ]

    def reports(
        self, now: float, crash_ids: Iterable[str] | None = None
    ) -> list[CrashReport]:
        """Returns what this gateway knows of crashes, by default of all."""
        ids = self._crashes if crash_ids is None else crash_ids
        return [
            CrashReport(
                crash.crash_id,
                now - crash.at,
                tuple(sorted(crash.suspects)),
                tuple(sorted(crash.sound)),
            )
            for crash_id in ids
            if (crash := self._crashes.get(crash_id)) is not None
        ]

    def newest_age_s(self, verdict: Verdict, now: float) -> float:
        """Returns the time since the last crash that supports a verdict."""
        return now - max(
            self._crashes[crash_id].at for crash_id in verdict.crash_ids
        )

    def span_s(self, verdict: Verdict) -> float:
        """Returns the time between the first and the last of its crashes."""
        times = [self._crashes[crash_id].at for crash_id in verdict.crash_ids]
        return max(times) - min(times)

    def expire(self, now: float) -> None:
        """Drops old records that support no verdict."""
        supporting = self._supporting_ids()
        expired = [
            crash.crash_id
            for crash in self._crashes.values()
            if now - crash.at > RECORD_TTL_S
            and crash.crash_id not in supporting
        ]
        for crash_id in expired:
            del self._crashes[crash_id]
        if expired:
            self._update(now)

    def _is_outdated(self, report: CrashReport, at: float) -> bool:
        """Returns whether an unknown crash is too old to be added."""
        if len(self._crashes) < MAX_CRASHES:
            return False
        supporting = self._supporting_ids()
        return all(
            crash.at >= at or crash.crash_id in supporting
            for crash in self._crashes.values()
        )

    def _supporting_ids(self) -> set[str]:
        return set(
            itertools.chain.from_iterable(
                verdict.crash_ids for verdict in self.verdicts
            )
        )

    def _update(self, now: float) -> None:
        """Derives verdicts and digest from the records."""
        while len(self._crashes) > MAX_CRASHES:
            supporting = self._supporting_ids()
            oldest = min(
                self._crashes.values(),
                key=lambda crash: (crash.crash_id in supporting, crash.at),
            )
            del self._crashes[oldest.crash_id]
        charges = {
            crash.crash_id: crash.charges() for crash in self._crashes.values()
        }
        self._charged_parts = set(
            itertools.chain.from_iterable(charges.values())
        )
        self.verdicts = self._find_verdicts(charges)
        self.digest = hashing.object_digest(
            sorted(crash.state() for crash in self._crashes.values())
        )

    def _find_verdicts(
        self, charges: dict[str, dict[str, float]]
    ) -> list[Verdict]:
        """Explains the crashes by the parts that most of them have in common.

        A crash that a verdict explains is no evidence against other parts: the
        parts that a bad prompt shares with sound ones are in the same crashes.
        """
        verdicts: list[Verdict] = []
        unexplained = dict(charges)
        while True:
            crash_ids: dict[str, list[str]] = {}
            weights: dict[str, float] = {}
            for crash_id, by_part in unexplained.items():
                for part, weight in by_part.items():
                    weights[part] = weights.get(part, 0.0) + weight
                    crash_ids.setdefault(part, []).append(crash_id)
            if not weights or max(weights.values()) < VERDICT_WEIGHT:
                return verdicts
            most = max(weights.values())
            best = max(
                (
                    self._make_verdict(part, crash_ids[part], most)
                    for part, weight in weights.items()
                    if weight == most
                ),
                # The more parts, the fewer requests fall under the verdict.
                key=lambda verdict: (len(verdict.parts), sorted(verdict.parts)),
            )
            if most < self._required_weight(best.crash_ids):
                return verdicts
            verdicts.append(best)
            for crash_id in best.crash_ids:
                del unexplained[crash_id]

    def _make_verdict(
        self, part: str, crash_ids: list[str], weight: float
    ) -> Verdict:
        """Returns the verdict on a part and those that always accompany it."""
        accompanying: set[str] | None = None
        for crash_id in crash_ids:
            crash = self._crashes[crash_id]
            for suspect in crash.suspects:
                if part in suspect.parts:
                    parts = set(suspect.parts) - crash.sound
                    accompanying = (
                        parts if accompanying is None else accompanying & parts
                    )
        crash_ids.sort(
            key=lambda crash_id: (self._crashes[crash_id].at, crash_id)
        )
        failed_trials = [
            crash_id
            for crash_id in crash_ids
            if any(
                suspect.on_trial and part in suspect.parts
                for suspect in self._crashes[crash_id].suspects
            )
        ]
        return Verdict(
            frozenset(accompanying or (part,)),
            tuple(crash_ids),
            weight,
            tuple(failed_trials),
        )

    def _required_weight(self, crash_ids: Collection[str]) -> float:
        """Returns the weight that crashes need to prove what they share."""
        times = [self._crashes[crash_id].at for crash_id in crash_ids]
        begins, ends = min(times) - NEARBY_S, max(times) + NEARBY_S
        others = sum(
            begins <= crash.at <= ends and crash.crash_id not in crash_ids
            for crash in self._crashes.values()
        )
        return min(
            VERDICT_WEIGHT + OTHER_CRASH_WEIGHT * others, MAX_VERDICT_WEIGHT
        )
