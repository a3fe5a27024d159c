"""Tests of load reports, cache summaries, memory counts and model changes."""

from typing import Final

import pytest

from apricottrestle import (
    agent_events,
    agent_queue,
    agent_reports,
    messages,
)
from tests import test_agent_world as worlds

Event = agent_events.CacheEvent
_ALL: Final = agent_events.CacheEvents(9, True, [Event(9, [1, 2, 3], [])])


def _summarised_blocks(world: worlds.World) -> set[int]:
    """Returns the blocks that an entry knows from its summaries."""
    blocks: set[int] = set()
    for msg in world.messages_of(messages.CacheSummary):
        blocks = set() if msg.full else blocks
        blocks = (blocks | set(msg.added)) - set(msg.removed)
    return blocks


@pytest.mark.parametrize(
    ("events", "expected", "after"),
    [
        ([Event(10, [4], [1])], {2, 3, 4}, 10),
        ([Event(10, [4], []), Event(12, [6], [])], {1, 2, 3, 4}, 0),
        ([Event(9, [7], [])], {1, 2, 3}, 9),
    ],
    ids=["next", "gap", "repeated"],
)
def test_summaries_follow_the_cache(
    events: list[agent_events.CacheEvent], expected: set[int], after: int
) -> None:
    """After a gap the agent polls from 0 again, which returns all blocks."""
    world = worlds.World().ready()
    world.engine.cache = _ALL
    world.run(agent_reports.SUMMARY_INTERVAL_S + 1)
    last = events[-1].seq
    world.engine.cache = agent_events.CacheEvents(last, False, events)
    world.run(agent_reports.SUMMARY_INTERVAL_S + 1)
    assert _summarised_blocks(world) == expected
    assert world.tables.cache.last_event_seq == after


def test_report_counts_submits_and_free_memory() -> None:
    world = worlds.World().ready()
    world.engine.tokens_per_tick = 0
    total = agent_queue.kv_tokens_total(world.tables)
    world.submit()
    world.submit("r2", model="x")
    world.frame(messages.Reserve("g1", 1600, 10_000))
    world.run(2.5)
    load = world.messages_of(messages.Pong)[-1].load
    assert (load.received, load.running) == (2, 1)
    assert load.kv_tokens_free == total - 144 - 1600
    assert world.messages_of(messages.Refused)[0].reason == "wrong_upstream"


def test_agent_of_an_unreachable_engine_reports_no_version() -> None:
    """Guards against entries that route to an agent that must refuse."""
    world = worlds.World().ready()
    world.unanswered_commands.add(agent_events.PollLoad)
    world.inbox += [agent_events.EnginePollFailed("reset")] * 3
    world.run(2.5)
    assert world.messages_of(messages.Pong)[-1].load.version == ""
    world.unanswered_commands.clear()
    world.run(4)
    assert world.messages_of(messages.Pong)[-1].load.version == "v1"


def test_work_is_queued_while_memory_is_reserved() -> None:
    """Guards against a start or a reservation of memory that isn't free."""
    world = worlds.World().ready()
    total = agent_queue.kv_tokens_total(world.tables)
    world.frame(messages.Reserve("g1", total - 64, 10_000))
    world.frame(messages.Reserve("g2", 128, 10_000))
    world.submit()
    world.run(2)
    assert world.engine.started == []
    assert world.messages_of(messages.Reserved)[0].reason == "no_memory"
    world.frame(messages.Release("g1"))
    world.until(lambda: world.messages_of(messages.Finished))


def test_model_changes_only_after_running_work_has_ended() -> None:
    world = worlds.World().ready()
    world.engine.tokens_per_tick = 1
    world.submit(max_tokens=120)
    world.until(lambda: world.tokens("r1"))
    models = dict(world.config.models)
    models["n"] = models["m"]._replace(name="n")
    versions = dict(world.config.versions)
    versions["n@v1"] = versions["m@v1"]._replace(model="n")
    world.config = world.config._replace(
        revision=8, models=models, versions=versions
    )
    world.inbox.append(agent_events.ConfigChanged(world.config, 0))
    world.inbox.append(agent_events.ModelAssigned("n"))
    world.run(2)
    world.submit("r2")
    world.until(lambda: world.messages_of(messages.Finished))
    assert world.engine.config.model == "m"
    assert world.messages_of(messages.Refused)[0].reason == "model_changing"
    world.until(lambda: world.engine.config.model == "n")
