"""Confirms crashes of upstreams and stops the requests that cause them.

A broken connection alone doesn't show that its upstream has crashed, so that is
asked, or its entry in the upstream list awaited. Confirmed crashes go
to the table of evidence and, through the callbacks, to the peers.

Invariant: a crash is recorded only if the process of the engine has ended.
"""

import asyncio
import logging
from collections.abc import Callable, Collection, Iterable
from typing import Final

from apricottrestle import logs, metrics
from apricottrestle.gateway import (
    calls,
    clock,
    crash_evidence,
    prompt_trials,
)

CONFIRM_TIMEOUT_S: Final = 10.0
"""Time for which broken requests wait for the upstream list to confirm that
their engine has ended, and are added to its crash; above the time after which
the entry of a silent upstream expires."""

MAX_PENDING: Final = 256
"""Engines with broken requests that are neither confirmed nor dropped."""

MAX_LOGGED_CRASHES: Final = 5
"""Crashes that the log line of a verdict names."""

_LOG: Final = logging.getLogger(__name__)


class _Pending:
    """Requests whose connection to a process of an upstream broke.

    Attributes:
        upstream_id: The upstream.
        suspects: The requests.
        since: Monotonic time of the first broken connection.
        confirmed_by: How the end of the process was confirmed, or empty.
    """

    __slots__ = ("confirmed_by", "since", "suspects", "upstream_id")

    def __init__(self, upstream_id: str, since: float) -> None:
        self.upstream_id = upstream_id
        self.suspects: set[crash_evidence.Suspect] = set()
        self.since = since
        self.confirmed_by = ""


class CrashGuard:
    """Collects the evidence of this gateway and of its peers.

    Attributes:
        evidence: Crashes and verdicts.
        on_changed: Called with the ids of crashes of which this gateway knows
            something that its peers don't.
        on_verdict: Called after a new verdict.
        placement_rank: Orders the live gateways, see prompt_trials.
    """

    def __init__(self, client: calls.UpstreamClient) -> None:
        """Creates a guard without evidence.

        Args:
            client: Asks engines whether they still run.
        """
        self.evidence = crash_evidence.CrashEvidence()
        self.on_changed: Callable[[list[str]], None] = lambda _crash_ids: None
        self.on_verdict: Callable[[], None] = lambda: None
        self.placement_rank: prompt_trials.PlacementRank = lambda _key: 0
        self._client = client
        self._trials = prompt_trials.PromptTrials()
        self._pending: dict[str, _Pending] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._known_verdicts: set[frozenset[str]] = set()

    def verdict_on(
        self, req: calls.CallerRequest
    ) -> crash_evidence.Verdict | None:
        """Returns the verdict that a request falls under, or None."""
        if not self.evidence.verdicts:
            return None
        return self.evidence.verdict_on(crash_evidence.parts_of(req))

    def is_refused(self, req: calls.CallerRequest) -> bool:
        """Returns whether a verdict speaks against sending a request.

        One that has begun as a trial may be sent once.
        """
        return any(
            not self._trials.is_running(verdict, req.request_id)
            for verdict in self._verdicts_on(req)
        )

    def begin_trial(self, req: calls.CallerRequest) -> bool:
        """Begins a trial of a refused request; returns whether it may be sent.

        All verdicts that it falls under must allow it.
        """
        now = clock.now()
        verdicts = self._verdicts_on(req)
        if not all(
            prompt_trials.is_own_turn(
                verdict,
                self.evidence.newest_age_s(verdict, now),
                self.placement_rank,
            )
            for verdict in verdicts
        ):
            return False
        may_send = self._trials.begin(verdicts, req.request_id, now)
        if may_send:
            logs.decision(
                _LOG,
                "prompt tried",
                request_id=req.request_id,
                **describe(verdicts[0], self.evidence, now),
            )
        return may_send

    def end_trial(self, req: calls.CallerRequest, *, was_sent: bool) -> bool:
        """Ends the trial of a request; returns whether it was one."""
        return self._trials.end(req.request_id, clock.now(), was_sent=was_sent)

    def _verdicts_on(
        self, req: calls.CallerRequest
    ) -> list[crash_evidence.Verdict]:
        if not self.evidence.verdicts:
            return []
        return self.evidence.verdicts_on(crash_evidence.parts_of(req))

    def answer_begun(self, req: calls.CallerRequest) -> None:
        """Records that an answer has got past its beginning."""
        self._record_sound(req.shared_parts)

    def answered(self, req: calls.CallerRequest) -> None:
        """Records that a request has been answered in full."""
        self._record_sound([crash_evidence.request_part(req)])

    def _record_sound(self, parts: Collection[str]) -> None:
        exonerated = self.evidence.record_sound(parts, clock.now())
        if exonerated:
            self._update_verdicts()
            self.on_changed(exonerated)

    def connection_lost(
        self,
        upstream_id: str,
        address: str,
        started_at_ms: int,
        suspect: crash_evidence.Suspect,
    ) -> None:
        """Records that the connection of an attempt to an upstream broke.

        Args:
            upstream_id: The upstream.
            address: Its address, as "ip:port".
            started_at_ms: Start time of its process, as listed.
            suspect: The request.
        """
        now = clock.now()
        crash_id = f"{upstream_id}/{started_at_ms}"
        pending = self._pending.get(crash_id)
        if pending is None:
            if len(self._pending) >= MAX_PENDING:
                self._pending.pop(next(iter(self._pending)))
            pending = self._pending[crash_id] = _Pending(upstream_id, now)
            task = asyncio.ensure_future(
                self._probe(crash_id, address, started_at_ms)
            )
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        pending.suspects.add(suspect)
        if pending.confirmed_by:
            self._report(crash_id, pending)

    def upstream_ended(self, upstream_id: str) -> None:
        """Confirms crashes of an engine that is gone or has restarted."""
        for crash_id, pending in list(self._pending.items()):
            if pending.upstream_id == upstream_id and not pending.confirmed_by:
                pending.confirmed_by = "upstream list"
                self._report(crash_id, pending)

    def merge(
        self, reports: Iterable[crash_evidence.CrashReport], source: str
    ) -> None:
        """Adds what another gateway or the store knows.

        Args:
            reports: Records of crashes.
            source: Where they come from, for the log.
        """
        now = clock.now()
        with_own_knowledge = []
        for report in reports:
            if not self.evidence.merge(report, now):
                continue
            merged = self.evidence.reports(now, [report.crash_id])
            logs.decision(
                _LOG,
                "crash reported",
                crash=report.crash_id,
                source=source,
                age_s=round(report.age_s, 3),
                suspects=len(report.suspects),
                verdicts=len(self.evidence.verdicts),
            )
            if any(set(own.sound) - set(report.sound) for own in merged):
                with_own_knowledge.append(report.crash_id)
        self._update_verdicts()
        if with_own_knowledge:
            self.on_changed(with_own_knowledge)

    def tick(self) -> None:
        """Drops what is too old."""
        now = clock.now()
        for crash_id, pending in list(self._pending.items()):
            if now > pending.since + CONFIRM_TIMEOUT_S:
                del self._pending[crash_id]
        self.evidence.expire(now)

    def close(self) -> None:
        """Cancels pending probes."""
        for task in self._tasks:
            task.cancel()

    async def _probe(
        self, crash_id: str, address: str, started_at_ms: int
    ) -> None:
        """Asks whether the process whose connections broke still runs."""
        pending = self._pending[crash_id]
        result = await self._client.probe(
            pending.upstream_id, address, started_at_ms
        )
        if self._pending.get(crash_id) is not pending or pending.confirmed_by:
            return
        logs.decision(
            _LOG,
            "upstream probed",
            upstream=pending.upstream_id,
            crash=crash_id,
            suspects=len(pending.suspects),
            after_s=round(clock.now() - pending.since, 4),
            outcome=result,
        )
        if result == "running":
            del self._pending[crash_id]
        elif result == "ended":
            pending.confirmed_by = "probe"
            self._report(crash_id, pending)

    def _report(self, crash_id: str, pending: _Pending) -> None:
        """Adds a confirmed crash to the evidence."""
        now = clock.now()
        report = crash_evidence.CrashReport(
            crash_id, now - pending.since, tuple(sorted(pending.suspects))
        )
        if not self.evidence.merge(report, now):
            return
        metrics.ENGINE_CRASHES.inc()
        logs.decision(
            _LOG,
            "engine crashed",
            upstream=pending.upstream_id,
            crash=crash_id,
            confirmed_by=pending.confirmed_by,
            age_s=round(report.age_s, 4),
            begun=[
                suspect.parts[:MAX_LOGGED_CRASHES]
                for suspect in report.suspects
                if suspect.begun
            ],
            suspects=len(report.suspects),
        )
        self._update_verdicts()
        self.on_changed([crash_id])

    def _update_verdicts(self) -> None:
        """Logs new and withdrawn verdicts."""
        now = clock.now()
        verdicts = {
            verdict.parts: verdict for verdict in self.evidence.verdicts
        }
        for parts in self._known_verdicts - verdicts.keys():
            self._trials.forget(parts)
            self._log_verdict(parts, None, now)
        new = verdicts.keys() - self._known_verdicts
        for parts in new:
            self._log_verdict(parts, verdicts[parts], now)
        self._known_verdicts = set(verdicts)
        metrics.BAD_PROMPT_PARTS.set(len(verdicts))
        if new:
            self.on_verdict()

    def _log_verdict(
        self,
        parts: Collection[str],
        verdict: crash_evidence.Verdict | None,
        now: float,
    ) -> None:
        details = describe(verdict, self.evidence, now) if verdict else {}
        logs.decision(
            _LOG,
            "prompt verdict",
            **({"parts": sorted(parts)} | details),
            outcome="refused from now on" if verdict else "withdrawn",
        )


def describe(
    verdict: crash_evidence.Verdict,
    evidence: crash_evidence.CrashEvidence,
    now: float,
) -> dict[str, object]:
    """Returns the fields of a log line about a verdict."""
    return {
        "parts": sorted(verdict.parts),
        "crashes": verdict.crash_ids[:MAX_LOGGED_CRASHES],
        "crash_count": len(verdict.crash_ids),
        "newest_crash_age_s": round(evidence.newest_age_s(verdict, now), 3),
        "weight": verdict.weight,
        "within_s": round(evidence.span_s(verdict), 3),
        "failed_trials": verdict.failed_trials,
    }
