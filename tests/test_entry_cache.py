"""Tests of the entry's index of cached prefix blocks."""

import pytest

from apricottrestle import entry_peers, messages
from tests import test_entry_world as entry_world

_BLOCKS = (11, 12, 13)


def _full(seq: int, added: list[int]) -> messages.CacheSummary:
    return messages.CacheSummary(seq, True, added, [])


def _change(
    seq: int, added: list[int], removed: list[int]
) -> messages.CacheSummary:
    return messages.CacheSummary(seq, False, added, removed)


@pytest.mark.parametrize(
    ("summaries", "found"),
    [
        ([_full(1, [11, 12])], True),
        ([_full(1, []), _change(2, [11], [])], True),
        ([_full(1, [11]), _change(2, [], [11])], False),
        ([_full(1, [11]), _full(2, [99])], False),
        # A gap may hide a removal, so all blocks are removed.
        ([_full(1, [11]), _change(3, [12], [])], False),
        ([_change(1, [11], [])], False),
    ],
)
def test_summary_reaches_the_routing_index(
    summaries: list[messages.CacheSummary], found: bool
) -> None:
    """Guards against cache summaries that are not applied to the index.

    Routing would then never find an engine that has a prefix cached.
    """
    world = entry_world.World()
    t = world.entry.tables
    agent_id = next(iter(t.upstreams.rows))
    for summary in summaries:
        entry_peers.apply_cache_summary(t, t.peers[agent_id], summary)
    assert (
        t.upstreams.longest_prefix_holders(_BLOCKS, 2) == [agent_id]
    ) is found


def test_submitted_prefix_is_indexed_at_once() -> None:
    """Guards against spreading a shared prefix over several engines.

    Requests with the prefix would be routed to different engines until the
    first cache summary.
    """
    world = entry_world.World()
    world.entry.generate(blocks=_BLOCKS)
    t = world.entry.tables
    (row,) = [r for r in t.upstreams.rows.values() if r.outstanding]
    assert t.upstreams.longest_prefix_holders(_BLOCKS, 2) == [row.agent_id]
