"""Scenarios with a fault while an agent configures its engine.

Each scenario announces revision 6, which adds version v2, to an agent at
revision 5. The test then waits until the engine runs revision 6 and checks that
it keeps doing so.
"""

from collections.abc import Callable

from apricottrestle import agent_events, agent_orders, messages
from tests import test_agent_world as agent_world

World = agent_world.World

NEW_REVISION = 6
IN_FORCE_S = 5.0
NEW_CONFIG = agent_world.config(NEW_REVISION, ("v1", "v2"))
_OLD_ORDER = agent_events.SendOrder(5, "m", ["v1"], [], "mixed")


def make_world() -> World:
    """Returns an agent at revision 5 whose engine runs v1."""
    world = World().ready()
    assert world.tables.config.revision == 5
    assert not is_in_force(world)
    return world


def is_in_force(world: World) -> bool:
    """Returns whether the engine runs the versions of revision 6."""
    return set(world.engine.config.versions) == {"v1", "v2"}


def announce_revision(world: World) -> None:
    """Lets the agent learn of revision 6 from an entry's ping and update."""
    world.config = NEW_CONFIG
    world.frame(messages.Ping(9, False), rev=NEW_REVISION)
    world.until(lambda: world.messages_of(messages.ConfigRequest), 1.0)
    world.frame(messages.ConfigUpdate("", []), rev=NEW_REVISION)


def _apply_order(world: World) -> None:
    announce_revision(world)
    world.until(lambda: is_in_force(world), IN_FORCE_S)


# Order: the agent sends the configuration to the engine.


def order_kill(world: World) -> World:
    """The agent dies before it sends the order; a successor starts."""
    world.dropped_commands.add(agent_events.SendOrder)
    announce_revision(world)
    world.run(1.0)
    successor = World(incarnation="inc2", engine=world.engine, now=world.now)
    successor.config = NEW_CONFIG
    return successor.ready()


def order_freeze(world: World) -> World:
    """A paused agent must send no order before it has caught up."""
    world.engine.ignores_fence = True
    world.freeze(10.0)
    world.engine.order(
        agent_events.SendOrder(6, "m", ["v1", "v2"], [], "mixed")
    )
    world.release_stream_down = True
    world.pinging_entries.clear()
    sent = len(world.engine.orders)
    world.run(10.0)
    assert len(world.engine.orders) == sent
    assert is_in_force(world)
    world.release_stream_down = False
    world.config = NEW_CONFIG
    world.pinging_entries[agent_world.ENTRY] = "entry-1"
    return world


def order_silent(world: World) -> World:
    world.dropped_commands.add(agent_events.SendOrder)
    announce_revision(world)
    world.run(3.0)
    assert not is_in_force(world)
    world.dropped_commands.clear()
    return world


def order_late(world: World) -> World:
    """The answer to the order arrives after the read-back."""
    world.unanswered_commands.add(agent_events.SendOrder)
    _apply_order(world)
    world.run(2.0)
    world.inbox.append(agent_events.OrderAnswer(NEW_REVISION, 200))
    world.unanswered_commands.clear()
    return world


def order_duplicated(world: World) -> World:
    _apply_order(world)
    world.engine.order(world.engine.orders[-1])
    return world


def order_swapped(world: World) -> World:
    """An order of revision 5 reaches the engine after one of revision 6."""
    _apply_order(world)
    (answer,) = world.engine.order(_OLD_ORDER)
    assert answer == agent_events.OrderAnswer(5, 409)
    assert is_in_force(world)
    world.inbox.append(answer)
    return world


def order_lost_answer(world: World) -> World:
    world.unanswered_commands.add(agent_events.SendOrder)
    announce_revision(world)
    return world


def order_log_down(world: World) -> World:
    """The agent can't read the log and relies on the entry's update."""
    world.release_stream_down = True
    announce_revision(world)
    return world


def order_fence_ignored(world: World) -> World:
    """The engine applies an old order; the read-back must correct it."""
    world.engine.ignores_fence = True
    _apply_order(world)
    world.engine.order(_OLD_ORDER)
    assert not is_in_force(world)
    return world


def order_two(world: World) -> World:
    """The order is lost, and the engine applies an old one despite fencing."""
    world.dropped_commands.add(agent_events.SendOrder)
    announce_revision(world)
    world.run(1.0)
    world.dropped_commands.clear()
    world.engine.ignores_fence = True
    world.until(lambda: is_in_force(world), 2 * IN_FORCE_S)
    world.engine.order(_OLD_ORDER)
    assert not is_in_force(world)
    return world


# Confirm: the agent reads the configuration back from the engine.


def confirm_kill(world: World) -> World:
    """The engine restarts without a configuration."""
    _apply_order(world)
    world.inbox.extend(world.engine.crash())
    return _lose_engine_config(world)


def confirm_freeze(world: World) -> World:
    _apply_order(world)
    world.freeze(10.0)
    return world


def confirm_silent(world: World) -> World:
    world.dropped_commands.add(agent_events.PollConfig)
    announce_revision(world)
    world.run(10.0)
    world.dropped_commands.clear()
    return world


def confirm_late(world: World) -> World:
    """A read-back from before the order arrives after the order."""
    old = world.engine.config
    _apply_order(world)
    world.inbox.append(old)
    return world


def confirm_duplicated(world: World) -> World:
    _apply_order(world)
    orders = len(world.engine.orders)
    world.inbox += [world.engine.config, world.engine.config]
    world.run(2.0)
    assert len(world.engine.orders) == orders
    return world


def confirm_swapped(world: World) -> World:
    old = world.engine.config
    _apply_order(world)
    world.inbox += [world.engine.config, old]
    return world


def confirm_lost_answer(world: World) -> World:
    world.unanswered_commands.add(agent_events.PollConfig)
    announce_revision(world)
    world.run(6.0)
    world.unanswered_commands.clear()
    return world


def confirm_log_down(world: World) -> World:
    _apply_order(world)
    world.release_stream_down = True
    return world


def confirm_fence_ignored(world: World) -> World:
    """An old order changes the engine after the agent confirmed the new one."""
    world.engine.ignores_fence = True
    _apply_order(world)
    world.run(agent_orders.READ_BACK_INTERVAL_S)
    world.engine.order(_OLD_ORDER)
    return world


def confirm_two(world: World) -> World:
    """The engine restarts while the agent is frozen."""
    _apply_order(world)
    world.freeze(10.0)
    return _lose_engine_config(world)


def _lose_engine_config(world: World) -> World:
    """Clears the engine's configuration and fence, as a restart does."""
    world.engine.fence = 0
    world.engine.config = agent_events.EngineConfig("", [], [], "")
    return world


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
"""Scenario per step of STEPS, by fault."""
