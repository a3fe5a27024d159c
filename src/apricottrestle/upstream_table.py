"""An entry's table of agents: last report of each, and own dispatches since.

Invariant: `usable_rows` lists exactly the rows that can take new work, so that
a routing decision never scans rows of other models or of draining agents.
"""

import itertools
from collections.abc import Iterable, Sequence
from typing import Final

from apricottrestle import messages

MAX_CACHED_BLOCKS: Final = 400
MAX_HINTS: Final = 27_200
"""Cache hints kept per agent and in all, the newest. A hint takes 310 bytes in
row and index, and 8.4 MB is what connections and the idle process leave of the
64 MB that an entry may use."""


class UpstreamRow:
    """One agent as its entry knows it.

    Attributes:
        agent_id: Agent id.
        data_centre: Data centre of the agent.
        report: Last load report.
        report_time: Time at which it arrived, monotonic seconds.
        incarnation: Incarnation of the agent.
        outstanding: Own requests at this agent that have not ended.
        sent: Own submits so far on this connection.
        unreported_submits: Prompt tokens and priority class of own submits that
            the last report does not cover, oldest first.
        cached_blocks: Prefix blocks that the engine holds, as a hint, oldest
            first; changed only through the table, which indexes them.
        usable: False when draining, lost or excluded.
    """

    __slots__ = (
        "agent_id",
        "cached_blocks",
        "data_centre",
        "incarnation",
        "outstanding",
        "report",
        "report_time",
        "sent",
        "unreported_submits",
        "usable",
    )

    def __init__(
        self,
        agent_id: str,
        data_centre: str,
        incarnation: str,
        report: messages.LoadReport,
        now: float,
    ) -> None:
        """Creates a usable row from the agent's first report."""
        self.agent_id = agent_id
        self.data_centre = data_centre
        self.incarnation = incarnation
        self.report = report
        self.report_time = now
        self.outstanding = 0
        self.sent = 0
        self.unreported_submits: list[tuple[int, int]] = []
        self.cached_blocks: dict[int, None] = {}
        self.usable = not report.draining


class UpstreamTable:
    """All rows, with an index of the usable ones by model or service."""

    def __init__(self) -> None:
        """Starts empty."""
        self.rows: dict[str, UpstreamRow] = {}
        self._by_upstream: dict[str, list[UpstreamRow]] = {}
        self._holders: dict[int, dict[str, None]] = {}

    def usable_rows(self, upstream: str) -> list[UpstreamRow]:
        """Returns the usable rows of a model or service; do not change it."""
        return self._by_upstream.get(upstream, [])

    def add(self, row: UpstreamRow) -> None:
        """Adds a row, or replaces the one of an earlier incarnation."""
        self.remove(row.agent_id)
        self.rows[row.agent_id] = row
        self._index(row)

    def remove(self, agent_id: str) -> None:
        """Removes a row if it is there."""
        row = self.rows.get(agent_id)
        if row is not None:
            self.clear_cached_blocks(agent_id)
            self._unindex(row)
            del self.rows[agent_id]

    def apply_report(
        self, agent_id: str, report: messages.LoadReport, now: float
    ) -> None:
        """Replaces the report; own submits that it covers are forgotten."""
        row = self.rows[agent_id]
        moved = (
            report.upstream != row.report.upstream
            or report.draining == row.usable
        )
        if moved:
            self._unindex(row)
        row.report = report
        row.report_time = now
        row.usable = not report.draining
        uncovered = row.sent - report.received
        row.unreported_submits = (
            row.unreported_submits[-uncovered:] if uncovered > 0 else []
        )
        if moved:
            self._index(row)

    def set_usable(self, agent_id: str, usable: bool) -> None:
        """Takes an agent out of routing, or back into it."""
        row = self.rows[agent_id]
        if row.usable != usable:
            self._unindex(row)
            row.usable = usable
            self._index(row)

    def record_submit(
        self, agent_id: str, prompt_tokens: int, priority: int
    ) -> None:
        """Counts an own submit until a report covers it."""
        row = self.rows[agent_id]
        row.outstanding += 1
        row.sent += 1
        row.unreported_submits.append((prompt_tokens, priority))

    def record_end(self, agent_id: str) -> None:
        """Counts the end of an own request at the agent."""
        row = self.rows.get(agent_id)
        if row is not None and row.outstanding > 0:
            row.outstanding -= 1

    def add_cached_blocks(self, agent_id: str, blocks: Iterable[int]) -> None:
        """Notes prefix blocks that the engine holds; the oldest go first."""
        row = self.rows[agent_id]
        for block in blocks:
            row.cached_blocks.pop(block, None)
            row.cached_blocks[block] = None
            self._holders.setdefault(block, {})[agent_id] = None
        limit = min(MAX_CACHED_BLOCKS, MAX_HINTS // len(self.rows))
        excess = len(row.cached_blocks) - limit
        if excess > 0:
            oldest = list(itertools.islice(row.cached_blocks, excess))
            self.remove_cached_blocks(agent_id, oldest)

    def remove_cached_blocks(
        self, agent_id: str, blocks: Iterable[int]
    ) -> None:
        """Forgets prefix blocks that the engine no longer holds."""
        row = self.rows[agent_id]
        for block in blocks:
            row.cached_blocks.pop(block, None)
            holders = self._holders.get(block)
            if holders is not None:
                holders.pop(agent_id, None)
                if not holders:
                    del self._holders[block]

    def clear_cached_blocks(self, agent_id: str) -> None:
        """Forgets all prefix blocks of an agent, e.g. after a gap."""
        self.remove_cached_blocks(
            agent_id, list(self.rows[agent_id].cached_blocks)
        )

    def longest_prefix_holders(
        self, blocks: Sequence[int], limit: int
    ) -> list[str]:
        """Returns up to `limit` agents with the longest cached prefix.

        Args:
            blocks: Hashes of the prompt's first blocks.
            limit: Number of agents at most.
        """
        agents: list[str] = []
        low, high = 0, len(blocks)
        while low < high:
            middle = (low + high + 1) // 2
            if blocks[middle - 1] in self._holders:
                low = middle
            else:
                high = middle - 1
        if low and limit > 0:
            holders = self._holders[blocks[low - 1]]
            agents = list(itertools.islice(holders, limit))
        return agents

    def _index(self, row: UpstreamRow) -> None:
        if row.usable:
            self._by_upstream.setdefault(row.report.upstream, []).append(row)

    def _unindex(self, row: UpstreamRow) -> None:
        rows = self._by_upstream.get(row.report.upstream, [])
        if row in rows:
            rows.remove(row)
