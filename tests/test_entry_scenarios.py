"""Steps and faults of the entry's fault matrix, for generations and calls.

`reach` advances a request to a step; `inject` applies a fault at the agent that
runs it, or at all agents.
"""

import itertools
from collections.abc import Callable
from typing import Any, Final

from apricottrestle import entry_events, messages
from tests import matrix_table
from tests import test_entry_fakes as fakes
from tests import test_entry_world as worlds

STEPS: Final = matrix_table.REQUEST_STEPS
FAULTS: Final = (
    "kill",
    "freeze and thaw",
    "silent connection",
    "message late",
    "message duplicated",
    "messages swapped",
    "answer lost after effect",
    "log down or slow",
    "instance list late or wrong",
    "cache events with gaps",
    "load reports late",
    "two faults at once",
)
FREEZE_S: Final = 6.0
"""Longer than the time after which a silent peer is considered lost."""

Frames = list[tuple[float, messages.Message]]
_REQUEST_MESSAGES = (
    messages.Accepted,
    messages.Tokens,
    messages.Finished,
    messages.Refused,
    messages.Failed,
    messages.Moved,
    messages.CallResult,
)


def _pass_through(msg: messages.Message) -> Frames:
    return [(0.0, msg)]


def _drop_messages(kind: type) -> worlds.FrameFilter:
    return lambda msg: [] if isinstance(msg, kind) else [(0.0, msg)]


def reach(world: worlds.World, step: str, **spec: Any) -> worlds.Caller | None:
    """Starts a generation and advances it to a step.

    Returns:
        The caller, or None for the steps before a request is accepted.
    """
    agents = list(world.agents.values())
    if step in ("accept", "admit"):
        return None
    if step == "queue":
        for agent in agents:
            agent.generation_paused = True
    if step == "dispatch":
        for agent in agents:
            agent.frozen = True
    if step == "start":
        world.frame_filter = _drop_messages(messages.Tokens)
    if step == "last token":
        world.frame_filter = _drop_messages(messages.Finished)
    caller = world.entry.generate(**spec)
    conditions: dict[str, Callable[[], bool]] = {
        "start": lambda: bool(world.starts()),
        "first token": lambda: bool(caller.tokens),
        "mid-stream": lambda: len(caller.tokens) >= 10,
        "last token": lambda: len(caller.tokens) == 20,
        "acknowledge": lambda: bool(caller.ends),
        "clean up": lambda: bool(caller.ends),
    }
    world.run_until(conditions.get(step, lambda: True))
    if step == "clean up":
        world.run(1.0)
    for agent in agents:
        agent.generation_paused = False
        if agent.frozen:
            agent.unfreeze()
    world.frame_filter = _pass_through
    return caller


def serving_agents(
    world: worlds.World, caller: worlds.Caller | None
) -> list[str]:
    """Returns the agent that runs the request, or would be the first to."""
    if caller is not None and caller.number in caller.entry.tables.callers:
        return [world.agent_of(caller).agent_id]
    return [min(world.agents)]


def inject(world: worlds.World, fault: str, agent_ids: list[str]) -> None:
    """Applies a fault at some agents; a freeze is also waited for and ended."""
    agents = [world.agents[agent_id] for agent_id in agent_ids]
    match fault:
        case "kill":
            for agent in agents:
                agent.alive = False
        case "freeze and thaw":
            freeze(world, agents)
        case "silent connection":
            for agent_id in agent_ids:
                world.silence(agent_id)
        case "instance list late or wrong":
            world.entry.post(entry_events.InstancesChanged(world.rows("gone")))
        case "log down or slow":
            world.log.down = True
        case "cache events with gaps":
            for agent in agents:
                send_cache_gaps(world, agent)
        case "two faults at once":
            world.silence(agent_ids[0])
            others = [a for name, a in world.agents.items() if name not in
                      agent_ids]  # fmt: skip
            for agent in others[:1] or agents[:1]:
                agent.alive = False
        case _:
            world.frame_filter = frame_filters(world)[fault]


def freeze(world: worlds.World, agents: list[fakes.FakeAgent]) -> None:
    for agent in agents:
        agent.frozen = True
    world.run(FREEZE_S)
    for agent in agents:
        agent.unfreeze()


def send_cache_gaps(world: worlds.World, agent: fakes.FakeAgent) -> None:
    conns = [
        c
        for c, conn_agent in world.entry.conns.items()
        if conn_agent == agent.agent_id
    ]
    name = world.entry.tables.identity.instance_id
    for seq, full in ((1, True), (3, False), (2, False)):
        summary = messages.CacheSummary(seq, full, [seq], [])
        agent.send((name, conns[0]), summary)


def frame_filters(world: worlds.World) -> dict[str, worlds.FrameFilter]:
    """Returns the frame filter of each fault that alters frames."""
    delays = itertools.cycle((0.3, 0.0, 0.15))
    lost = {"left": 1}

    def late(msg: messages.Message) -> Frames:
        return [(0.3 if isinstance(msg, _REQUEST_MESSAGES) else 0.0, msg)]

    def duplicated(msg: messages.Message) -> Frames:
        is_duplicated = isinstance(msg, _REQUEST_MESSAGES)
        return [(0.0, msg), (0.2, msg)] if is_duplicated else [(0.0, msg)]

    def swapped(msg: messages.Message) -> Frames:
        if not isinstance(msg, _REQUEST_MESSAGES):
            return [(0.0, msg)]
        send_forged_tokens(world, msg)
        return [(next(delays), msg)]

    def lose_one(msg: messages.Message) -> Frames:
        if lost["left"] and isinstance(msg, _REQUEST_MESSAGES):
            lost["left"] = 0
            return []
        return [(0.0, msg)]

    def slow_reports(msg: messages.Message) -> Frames:
        return [(0.8 if isinstance(msg, messages.Pong) else 0.0, msg)]

    return {
        "message late": late,
        "message duplicated": duplicated,
        "messages swapped": swapped,
        "answer lost after effect": lose_one,
        "load reports late": slow_reports,
    }


def send_forged_tokens(world: worlds.World, msg: messages.Message) -> None:
    """Sends wrong tokens of a request from the agents that don't run it."""
    if not isinstance(msg, messages.Tokens):
        return
    row = world.entry.tables.requests.get(msg.req_id)
    wrong = msg._replace(tokens=[7] * len(msg.tokens))
    for conn, agent_id in list(world.entry.conns.items()):
        if row is not None and agent_id != row.agent_id:
            agent = world.agents[agent_id]
            received = messages.Received(
                agent_id, agent.incarnation, 1, wrong, b""
            )
            world.delayed.append(
                (
                    world.now,
                    world.entry,
                    entry_events.FrameReceived(conn, received),
                )
            )


def test_steps_are_reached() -> None:
    """Guards the scenarios: `reach` must stop requests at the named step."""
    counts = {}
    for step in STEPS[2:]:
        world = worlds.World()
        caller = reach(world, step)
        assert caller is not None
        counts[step] = (len(world.starts()), len(caller.tokens))
    assert counts["queue"] == (0, 0)
    assert counts["dispatch"] == (0, 0)
    assert counts["start"] == (1, 0)
    assert counts["first token"] == (1, 2)
    assert counts["mid-stream"] == (1, 10)
    assert counts["last token"] == (1, 20)
    assert counts["acknowledge"] == counts["clean up"] == (1, 20)
