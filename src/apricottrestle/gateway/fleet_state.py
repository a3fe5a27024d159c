"""Current configuration and upstream membership of a gateway.

Invariant: the version of the current configuration never decreases, whatever
the source of an update. Of two with the same version, the one that was written
to the store later is current.
"""

import logging
from collections.abc import Callable, Iterable
from typing import Final

from apricottrestle import logs, metrics
from apricottrestle.gateway import (
    accept,
    clock,
    evacuations,
    fleet_config,
    upstream_list,
)

_LOG: Final = logging.getLogger(__name__)

OnUpstream = Callable[[upstream_list.Change], None]

OnConfig = Callable[[fleet_config.FleetConfig, int, str], None]
"""Called with a new configuration, the previous version, and its source."""

OnEvacuations = Callable[[str], None]
"""Called after changes of the evacuations, with their source."""

STORE_SOURCE: Final = "store"
"""Source name of data that this process read from the store itself."""


EXPIRY_SOURCE: Final = "expiry"
"""Source name of changes that come from the passing of time alone."""


class FleetState:
    """Current configuration and membership of the upstreams.

    Attributes:
        compiled: Current configuration, or None before the first one.
        members: Membership of the upstreams.
        evacuations: Data centres that are evacuated.
        has_upstream_list: Whether an upstream list has been received from the
            store or a peer.
    """

    def __init__(self, on_change: OnUpstream, lease_s: float) -> None:
        """Creates a state without a configuration and upstreams.

        Args:
            on_change: Called for each change of an upstream's state.
            lease_s: Time without renewal after which the store removes the
                entry of an upstream.
        """
        self.compiled: accept.CompiledConfig | None = None
        self.members = upstream_list.Membership(lease_s)
        self.evacuations = evacuations.EvacuationTable()
        self.has_upstream_list = False
        self._on_change = on_change
        self._on_config: list[OnConfig] = []
        self._on_evacuations: list[OnEvacuations] = []
        self._on_ready: list[Callable[[], None]] = []
        self._was_ready = False
        self._on_list: list[Callable[[], None]] = []

    @property
    def config_version(self) -> int:
        """Version of the current configuration; -1 if there is none."""
        return self.compiled.config.version if self.compiled else -1

    @property
    def config_stamp(self) -> fleet_config.ConfigStamp:
        """Stamp of the current configuration."""
        if self.compiled is None:
            return fleet_config.NO_CONFIG
        return self.compiled.config.stamp

    @property
    def ready(self) -> bool:
        """Whether requests can be routed."""
        return (
            self.compiled is not None
            and self.has_upstream_list
            and self.evacuations.known
        )

    def watch_config(self, callback: OnConfig) -> None:
        """Registers a callback for each new configuration."""
        self._on_config.append(callback)

    def watch_evacuations(self, callback: OnEvacuations) -> None:
        """Registers a callback for each change of the evacuations."""
        self._on_evacuations.append(callback)

    def watch_list(self, callback: Callable[[], None]) -> None:
        """Registers a callback for each read of the upstream list."""
        self._on_list.append(callback)

    def watch_ready(self, callback: Callable[[], None]) -> None:
        """Registers a callback for the first moment at which it is ready."""
        self._on_ready.append(callback)

    def adopt_config(
        self, config: fleet_config.FleetConfig, source: str
    ) -> bool:
        """Makes a configuration current if it is newer than the current one.

        Returns:
            Whether the configuration became current.
        """
        before = self.config_version
        if config.stamp == self.config_stamp:
            return False
        is_newer = config.stamp > self.config_stamp
        logs.decision(
            _LOG,
            "configuration",
            version=config.version,
            before=before,
            written_at=config.stamp[1:],
            before_written_at=self.config_stamp[1:],
            source=source,
            outcome="adopted" if is_newer else "kept",
            routes=len(config.routes),
        )
        if not is_newer:
            return False
        self.compiled = accept.compile_config(config)
        metrics.CONFIG_REVISION.set(config.version)
        for callback in self._on_config:
            callback(config, before, source)
        self._notify_ready()
        return True

    def read_evacuations(
        self,
        records: Iterable[evacuations.Record],
        end: evacuations.Stamp,
        *,
        whole: bool,
    ) -> None:
        """Applies evacuations that this process read from the store.

        Args:
            records: What was read.
            end: History and offset of the next record to read.
            whole: Whether the whole topic was read, not only what was new.
        """
        self._apply_evacuations(
            self.evacuations.apply_read(records, end, clock.now(), whole=whole),
            STORE_SOURCE,
        )

    def merge_evacuations(
        self, report: evacuations.Report, source: str
    ) -> None:
        """Applies the evacuations that a peer knows."""
        self._apply_evacuations(
            self.evacuations.merge(report, clock.now()), source
        )

    def _apply_evacuations(
        self, changes: list[evacuations.Change], source: str
    ) -> None:
        """Logs changes of the evacuations and passes them on."""
        for change in changes:
            logs.decision(
                _LOG,
                "evacuation",
                data_centre=change.record.data_centre,
                written_at=change.record.stamp,
                before_written_at=change.before.stamp
                if change.before is not None
                else None,
                source=source,
                age_s=round(change.age_s, 3),
                upstreams=sum(
                    entry.data_centre == change.record.data_centre
                    for entry in self.members.entries()
                ),
                outcome=change.outcome,
            )
        metrics.EVACUATED_DATA_CENTRES.set(len(self.evacuations.evacuated))
        if any(change.outcome != "ignored" for change in changes):
            for callback in self._on_evacuations:
                callback(source)
        self._notify_ready()

    def apply_upstreams(
        self,
        changes: Iterable[upstream_list.Change],
        source: str,
    ) -> None:
        """Logs membership changes and passes them to the listener.

        The first list is logged as one line, since a line for each upstream
        would delay the start.
        """
        is_first = not self.has_upstream_list
        self.has_upstream_list = True
        for change in changes:
            if not is_first:
                logs.decision(
                    _LOG,
                    "upstream",
                    upstream=change.upstream_id,
                    before=change.before,
                    after=change.after,
                    restarted=change.restarted,
                    reason=change.reason,
                    source=source,
                    list_version=self.members.version,
                )
            self._on_change(change)
        if source != EXPIRY_SOURCE:
            for callback in self._on_list:
                callback()
        counts = self.members.counts()
        for state in ("ready", "draining", "lapsed"):
            metrics.UPSTREAMS.labels(state).set(counts.get(state, 0))
        if is_first:
            logs.decision(
                _LOG,
                "upstream list",
                source=source,
                list_version=self.members.version,
                states=counts,
                upstreams=sorted(
                    entry.upstream_id for entry in self.members.entries()
                ),
            )
            self._notify_ready()

    def _notify_ready(self) -> None:
        if self._was_ready or not self.ready:
            return
        self._was_ready = True
        for callback in self._on_ready:
            callback()
