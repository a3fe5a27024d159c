"""Faults at the order and the read-back of an engine's configuration.

The engine of the agent's world keeps the ledger. A scenario brings revision 6,
which adds version v2, to an agent at revision 5; the test then waits for the
engine to run it, and lets it go on for a while.
"""

from collections.abc import Callable

from apricottrestle import agent_events, agent_orders, messages
from tests import test_agent_world as agent_world

World = agent_world.World

NEW_REVISION = 6
IN_FORCE_S = 5.0
NEW = agent_world.config(NEW_REVISION, ("v1", "v2"))
_OLD_ORDER = agent_events.SendOrder(5, "m", ["v1"], [], "mixed")


def world() -> World:
    """Returns an agent at revision 5 whose engine runs v1."""
    found = World().ready()
    assert found.tables.config.revision == 5
    assert not is_in_force(found)
    return found


def is_in_force(found: World) -> bool:
    """Tells whether the engine runs what revision 6 says."""
    return set(found.engine.config.versions) == {"v1", "v2"}


def announce(found: World) -> None:
    """An entry that is ahead pings; the agent asks, and is answered."""
    found.config = NEW
    found.frame(messages.Ping(9, False), rev=NEW_REVISION)
    found.until(lambda: found.messages_of(messages.ConfigRequest), 1.0)
    found.frame(messages.ConfigUpdate("", []), rev=NEW_REVISION)


def _ordered(found: World) -> None:
    announce(found)
    found.until(lambda: is_in_force(found), IN_FORCE_S)


# Order: the agent tells the engine.


def order_kill(found: World) -> World:
    """The agent dies with the order unsent; a new one takes over."""
    found.dropped_commands.add(agent_events.SendOrder)
    announce(found)
    found.run(1.0)
    new = World(incarnation="inc2", engine=found.engine, now=found.now)
    new.config = NEW
    return new.ready()


def order_freeze(found: World) -> World:
    """An agent that was paused sends nothing before it has caught up."""
    found.engine.ignores_fence = True
    found.freeze(10.0)
    found.engine.order(
        agent_events.SendOrder(6, "m", ["v1", "v2"], [], "mixed")
    )
    found.release_stream_down = True
    found.pinging_entries.clear()
    sent = len(found.engine.orders)
    found.run(10.0)
    assert len(found.engine.orders) == sent
    assert is_in_force(found)
    found.release_stream_down = False
    found.config = NEW
    found.pinging_entries[agent_world.ENTRY] = "entry-1"
    return found


def order_silent(found: World) -> World:
    found.dropped_commands.add(agent_events.SendOrder)
    announce(found)
    found.run(3.0)
    assert not is_in_force(found)
    found.dropped_commands.clear()
    return found


def order_late(found: World) -> World:
    """The answer to the order arrives after the read-back."""
    found.unanswered_commands.add(agent_events.SendOrder)
    _ordered(found)
    found.run(2.0)
    found.inbox.append(agent_events.OrderAnswer(NEW_REVISION, 200))
    found.unanswered_commands.clear()
    return found


def order_duplicated(found: World) -> World:
    _ordered(found)
    found.engine.order(found.engine.orders[-1])
    return found


def order_swapped(found: World) -> World:
    """An order of revision 5 reaches the engine after that of revision 6."""
    _ordered(found)
    (answer,) = found.engine.order(_OLD_ORDER)
    assert answer == agent_events.OrderAnswer(5, 409)
    assert is_in_force(found)
    found.inbox.append(answer)
    return found


def order_lost_answer(found: World) -> World:
    found.unanswered_commands.add(agent_events.SendOrder)
    announce(found)
    return found


def order_log_down(found: World) -> World:
    """The agent can't read the log; the entry's update is enough."""
    found.release_stream_down = True
    announce(found)
    return found


def order_fence_ignored(found: World) -> World:
    """The engine takes an old order; the read-back corrects it."""
    found.engine.ignores_fence = True
    _ordered(found)
    found.engine.order(_OLD_ORDER)
    assert not is_in_force(found)
    return found


def order_two(found: World) -> World:
    """Order and answer get lost, and the engine ignores fences."""
    found.dropped_commands.add(agent_events.SendOrder)
    announce(found)
    found.run(1.0)
    found.dropped_commands.clear()
    found.engine.ignores_fence = True
    found.until(lambda: is_in_force(found), 2 * IN_FORCE_S)
    found.engine.order(_OLD_ORDER)
    assert not is_in_force(found)
    return found


# Confirm: the engine's read-back agrees.


def confirm_kill(found: World) -> World:
    """The engine restarts without a configuration."""
    _ordered(found)
    found.inbox.extend(found.engine.crash())
    return _forget(found)


def confirm_freeze(found: World) -> World:
    _ordered(found)
    found.freeze(10.0)
    return found


def confirm_silent(found: World) -> World:
    found.dropped_commands.add(agent_events.PollConfig)
    announce(found)
    found.run(10.0)
    found.dropped_commands.clear()
    return found


def confirm_late(found: World) -> World:
    """A read-back from before the order arrives after it."""
    old = found.engine.config
    _ordered(found)
    found.inbox.append(old)
    return found


def confirm_duplicated(found: World) -> World:
    _ordered(found)
    orders = len(found.engine.orders)
    found.inbox += [found.engine.config, found.engine.config]
    found.run(2.0)
    assert len(found.engine.orders) == orders
    return found


def confirm_swapped(found: World) -> World:
    old = found.engine.config
    _ordered(found)
    found.inbox += [found.engine.config, old]
    return found


def confirm_lost_answer(found: World) -> World:
    found.unanswered_commands.add(agent_events.PollConfig)
    announce(found)
    found.run(6.0)
    found.unanswered_commands.clear()
    return found


def confirm_log_down(found: World) -> World:
    _ordered(found)
    found.release_stream_down = True
    return found


def confirm_fence_ignored(found: World) -> World:
    """The engine is changed behind the agent's back after it confirmed."""
    found.engine.ignores_fence = True
    _ordered(found)
    found.run(agent_orders.READ_BACK_INTERVAL_S)
    found.engine.order(_OLD_ORDER)
    return found


def confirm_two(found: World) -> World:
    """The engine restarts while the agent is frozen."""
    _ordered(found)
    found.freeze(10.0)
    return _forget(found)


def _forget(found: World) -> World:
    """The engine loses its configuration."""
    found.engine.fence = 0
    found.engine.config = agent_events.EngineConfig("", [], [], "")
    return found


Scenario = Callable[[World], World]
STEPS = ("order", "confirm")

SCENARIOS: dict[str, tuple[Scenario, Scenario]] = {
    "kill": (order_kill, confirm_kill),
    "freeze and thaw": (order_freeze, confirm_freeze),
    "silent connection": (order_silent, confirm_silent),
    "message late": (order_late, confirm_late),
    "message duplicated": (order_duplicated, confirm_duplicated),
    "messages swapped": (order_swapped, confirm_swapped),
    "answer lost after effect": (order_lost_answer, confirm_lost_answer),
    "log down or slow": (order_log_down, confirm_log_down),
    "fencing ignored": (order_fence_ignored, confirm_fence_ignored),
    "two faults at once": (order_two, confirm_two),
}
"""Scenarios by fault, in the order of STEPS."""
