"""Keeps the crashes that support a verdict in the platform's store.

A verdict has to outlive the gateways that found it: after all have failed, the
next ones would otherwise lose engines again until they have found it anew. One
gateway writes for the fleet, the first by `store_duty`; another one that takes
over may write the same records again, and so may each after the store has come
back from an older copy.
"""

import asyncio
import logging
from collections.abc import Callable
from typing import Final

from apricottrestle import errors, logs
from apricottrestle.gateway import (
    clock,
    crash_evidence,
    crash_guard,
    store,
)

MAX_SAVED_PER_VERDICT: Final = 10
"""Crashes saved for a verdict; their weight proves it also while other engines
crash, and if all of them count half."""

RETRY_S: Final = 0.5
"""Pause after a failed call."""

STORE_SOURCE: Final = "store"

_LOG: Final = logging.getLogger(__name__)


class CrashStore:
    """Tasks that read records at the start and write changed ones."""

    def __init__(
        self,
        fleet_store: store.FleetStore,
        guard: crash_guard.CrashGuard,
        is_writer: Callable[[], bool],
    ) -> None:
        """Creates the synchronisation without starting it.

        Args:
            fleet_store: The platform's store.
            guard: Holds the evidence.
            is_writer: Returns whether this gateway writes for the fleet.
        """
        self._store = fleet_store
        self._guard = guard
        self._is_writer = is_writer
        self._saved: dict[str, crash_evidence.CrashReport] = {}
        self._retry_at = 0.0
        self._load_count = 0
        self._load_task: asyncio.Task[None] | None = None
        self._write_task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Starts to read what earlier gateways have saved."""
        self._load_count += 1
        self._load_task = asyncio.ensure_future(self._load())

    def reload(self) -> None:
        """Reads again what is saved, since the store came back from a copy.

        What it lacks is then written again. A write that is under way may be
        among what was lost.
        """
        if self._load_task is not None:
            self._load_task.cancel()
            self.start()

    def stop(self) -> None:
        """Cancels all calls."""
        for task in (self._load_task, self._write_task):
            if task is not None:
                task.cancel()

    def tick(self) -> None:
        """Writes what has changed, if it is this gateway's turn."""
        is_busy = self._write_task is not None and not self._write_task.done()
        has_loaded = self._load_task is not None and self._load_task.done()
        if (
            is_busy
            or not has_loaded
            or clock.now() < self._retry_at
            or not (self._guard.evidence.verdicts or self._saved)
            or not self._is_writer()
        ):
            return
        unsaved, outdated = self._find_changes()
        if unsaved or outdated:
            self._write_task = asyncio.ensure_future(
                self._write(unsaved, outdated)
            )

    async def _load(self) -> None:
        """Reads all records, and retries while the store fails."""
        while True:
            try:
                reports = await self._store.read_crashes()
            except errors.PlatformError as exc:
                _log_failure("load", exc)
                await asyncio.sleep(RETRY_S)
                continue
            self._saved = {report.crash_id: report for report in reports}
            self._guard.merge(reports, STORE_SOURCE)
            return

    def _find_changes(
        self,
    ) -> tuple[list[crash_evidence.CrashReport], list[str]]:
        """Returns the records to write and the ids of those to delete."""
        wanted: dict[str, None] = {}
        for verdict in self._guard.evidence.verdicts:
            failed_trials = verdict.failed_trials
            by_preference = sorted(
                verdict.crash_ids,
                key=lambda name: (
                    name not in failed_trials,
                    name not in self._saved,
                ),
            )
            wanted.update(dict.fromkeys(by_preference[:MAX_SAVED_PER_VERDICT]))
        unsaved = [
            report
            for report in self._guard.evidence.reports(clock.now(), wanted)
            if self._saved.get(report.crash_id) != report._replace(age_s=0.0)
        ]
        outdated = [name for name in self._saved if name not in wanted]
        return unsaved, outdated

    async def _write(
        self,
        unsaved: list[crash_evidence.CrashReport],
        outdated: list[str],
    ) -> None:
        load_count = self._load_count
        try:
            for report in unsaved:
                saved = report._replace(age_s=0.0)
                await self._store.save_crash(saved)
                if self._load_count != load_count:
                    return
                self._saved[report.crash_id] = saved
            for crash_id in outdated:
                await self._store.delete_crash(crash_id)
                if self._load_count != load_count:
                    return
                del self._saved[crash_id]
        except errors.PlatformError as exc:
            self._retry_at = clock.now() + RETRY_S
            _log_failure("save", exc)
            return
        logs.decision(
            _LOG,
            "crashes saved",
            saved=[report.crash_id for report in unsaved],
            deleted=outdated,
        )


def _log_failure(step: str, exc: errors.PlatformError) -> None:
    logs.decision(
        _LOG, "crashes not saved", step=step, reason=str(exc), retry_s=RETRY_S
    )
