"""An entry's table of agents: last load report and requests submitted since.

Invariant: `usable_rows` lists exactly the rows that can take new requests, so
that a routing decision never scans rows of other models or draining agents.
"""

import itertools
from collections.abc import Iterable, Sequence
from typing import Final

from apricottrestle import messages

MAX_CACHED_BLOCKS: Final = 400
"""Maximum number of cached prefix blocks recorded per agent."""

MAX_TOTAL_CACHED_BLOCKS: Final = 27_200
"""Maximum number of cached prefix blocks recorded for all agents. A block takes
310 bytes in row and index, and of the 64 MB that an entry may use, connections
and the idle process leave 8.4 MB."""


class UpstreamRow:
    """State of one agent at the entry.

    Attributes:
        agent_id: Agent id.
        data_centre: Data centre of the agent.
        report: Last load report.
        report_time: Monotonic time at which the report arrived, in seconds.
        incarnation: Incarnation of the agent's process.
        outstanding: Number of this entry's requests at the agent that have not
            ended.
        sent: Number of requests that this entry submitted on the current
            connection.
        unreported_submits: Prompt tokens and priority class of the requests
            that this entry submitted and the last report does not cover, oldest
            first.
        cached_blocks: Hashes of prefix blocks that the engine probably has
            cached, oldest first. Changed only by the table, which indexes them.
        usable: False if the agent is draining, lost or taken out of routing.
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
        """Creates a row from the agent's first report.

        The row is usable unless the report says that the agent is draining.
        """
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
    """Rows of all agents, with indexes by model or service and by cached block.

    Attributes:
        rows: Rows by agent id.
    """

    def __init__(self) -> None:
        """Creates an empty table."""
        self.rows: dict[str, UpstreamRow] = {}
        self._by_upstream: dict[str, list[UpstreamRow]] = {}
        self._holders: dict[int, dict[str, None]] = {}

    def usable_rows(self, upstream: str) -> list[UpstreamRow]:
        """Returns the usable rows of a model or service.

        Callers must not change the list.
        """
        return self._by_upstream.get(upstream, [])

    def add(self, row: UpstreamRow) -> None:
        """Adds a row; replaces that of an earlier incarnation of the agent."""
        self.remove(row.agent_id)
        self.rows[row.agent_id] = row
        self._add_to_upstream_index(row)

    def remove(self, agent_id: str) -> None:
        """Removes the row of an agent, if any."""
        row = self.rows.get(agent_id)
        if row is not None:
            self.clear_cached_blocks(agent_id)
            self._remove_from_upstream_index(row)
            del self.rows[agent_id]

    def apply_report(
        self, agent_id: str, report: messages.LoadReport, now: float
    ) -> None:
        """Replaces an agent's report and drops submits that it covers."""
        row = self.rows[agent_id]
        index_changed = (
            report.upstream != row.report.upstream
            or report.draining == row.usable
        )
        if index_changed:
            self._remove_from_upstream_index(row)
        row.report = report
        row.report_time = now
        row.usable = not report.draining
        uncovered = row.sent - report.received
        row.unreported_submits = (
            row.unreported_submits[-uncovered:] if uncovered > 0 else []
        )
        if index_changed:
            self._add_to_upstream_index(row)

    def set_usable(self, agent_id: str, usable: bool) -> None:
        """Sets whether routing may choose an agent."""
        row = self.rows[agent_id]
        if row.usable != usable:
            self._remove_from_upstream_index(row)
            row.usable = usable
            self._add_to_upstream_index(row)

    def record_submit(
        self, agent_id: str, prompt_tokens: int, priority: int
    ) -> None:
        """Records that this entry submitted a request to the agent.

        The request counts as unreported until a load report covers it.
        """
        row = self.rows[agent_id]
        row.outstanding += 1
        row.sent += 1
        row.unreported_submits.append((prompt_tokens, priority))

    def record_end(self, agent_id: str) -> None:
        """Records the end of a request of this entry at the agent."""
        row = self.rows.get(agent_id)
        if row is not None and row.outstanding > 0:
            row.outstanding -= 1

    def add_cached_blocks(self, agent_id: str, blocks: Iterable[int]) -> None:
        """Records cached prefix blocks of an agent.

        Above the limits, the oldest blocks of the agent are dropped.
        """
        row = self.rows[agent_id]
        for block in blocks:
            row.cached_blocks.pop(block, None)
            row.cached_blocks[block] = None
            self._holders.setdefault(block, {})[agent_id] = None
        limit = min(
            MAX_CACHED_BLOCKS, MAX_TOTAL_CACHED_BLOCKS // len(self.rows)
        )
        excess = len(row.cached_blocks) - limit
        if excess > 0:
            oldest = list(itertools.islice(row.cached_blocks, excess))
            self.remove_cached_blocks(agent_id, oldest)

    def remove_cached_blocks(
        self, agent_id: str, blocks: Iterable[int]
    ) -> None:
        """Removes prefix blocks that the engine no longer has cached."""
        row = self.rows[agent_id]
        for block in blocks:
            row.cached_blocks.pop(block, None)
            holders = self._holders.get(block)
            if holders is not None:
                holders.pop(agent_id, None)
                if not holders:
                    del self._holders[block]

    def clear_cached_blocks(self, agent_id: str) -> None:
        """Removes all prefix blocks of an agent.

        Needed e.g. when cache summaries of the agent were lost.
        """
        self.remove_cached_blocks(
            agent_id, list(self.rows[agent_id].cached_blocks)
        )

    def longest_prefix_holders(
        self, blocks: Sequence[int], limit: int
    ) -> list[str]:
        """Returns the ids of agents with the longest cached prefix.

        Args:
            blocks: Hashes of the leading blocks of the prompt, in order.
            limit: Maximum number of agents.
        """
        agents: list[str] = []
        # Binary search for the last cached block. Block hashes are chained, so
        # the blocks before a cached one are usually cached too.
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

    def _add_to_upstream_index(self, row: UpstreamRow) -> None:
        if row.usable:
            self._by_upstream.setdefault(row.report.upstream, []).append(row)

    def _remove_from_upstream_index(self, row: UpstreamRow) -> None:
        rows = self._by_upstream.get(row.report.upstream, [])
        if row in rows:
            rows.remove(row)
