"""Current configuration and upstream membership of a gateway.

Invariant: the version of the current configuration never decreases, whatever
the source of an update. Of two with the same version, the one that was written
to the store later is current.
"""

import logging
from collections.abc import Callable, Iterable
from typing import Final

from apricottrestle import logs, metrics
from apricottrestle.gateway import accept, fleet_config, upstream_list

_LOG: Final = logging.getLogger(__name__)

OnUpstream = Callable[[upstream_list.Change], None]

OnConfig = Callable[[fleet_config.FleetConfig, int, str], None]
"""Called with a new configuration, the previous version, and its source."""

STORE_SOURCE: Final = "store"
"""Source name of data that this process read from the store itself."""


EXPIRY_SOURCE: Final = "expiry"
"""Source name of changes that come from the passing of time alone."""


class FleetState:
    """Current configuration and membership of the upstreams.

    Attributes:
        compiled: Current configuration, or None before the first one.
        members: Membership of the upstreams.
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
        self.has_upstream_list = False
        self._on_change = on_change
        self._on_config: list[OnConfig] = []
        self._on_ready: list[Callable[[], None]] = []
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
        return self.compiled is not None and self.has_upstream_list

    def watch_config(self, callback: OnConfig) -> None:
        """Registers a callback for each new configuration."""
        self._on_config.append(callback)

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
        if before < 0 and self.has_upstream_list:
            self._notify_ready()
        return True

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
            if self.compiled is not None:
                self._notify_ready()

    def _notify_ready(self) -> None:
        for callback in self._on_ready:
            callback()
