"""Guards against messages and processes of the past."""

from apricottrestle import entry_events, messages
from tests import test_entry_world as worlds

Frames = list[tuple[float, messages.Message]]


def test_late_failure_of_an_old_attempt_ends_no_new_one() -> None:
    """A duplicate of attempt 1's end must not end attempt 2."""
    world = worlds.World(engines=1)

    def twice(msg: messages.Message) -> Frames:
        again = isinstance(msg, messages.Failed)
        return [(0.0, msg), (0.4, msg)] if again else [(0.0, msg)]

    world.frame_filter = twice
    caller = world.entry.generate()
    world.run_until(lambda: len(caller.tokens) >= 4)
    world.agents["a0"].fail()
    world.run_until(lambda: bool(caller.ends))
    worlds.check_complete_answer(caller)
    assert [attempt for _, attempt in world.starts()] == [1, 2]


def test_late_frame_of_an_old_incarnation_is_dropped() -> None:
    """A frame of the process before must not end what runs at the new one."""
    world = worlds.World(engines=1)
    caller = world.entry.generate(max_tokens=100)
    world.run_until(lambda: len(caller.tokens) >= 4)
    agent = world.agents["a0"]
    old = messages.Received(
        "a0", agent.incarnation, 1, messages.Pong(1, agent.load()), b""
    )
    agent.restart()
    world.run_until(lambda: len(world.starts()) == 2)
    conn = next(iter(world.entry.conns))
    world.entry.post(entry_events.FrameReceived(conn, old))
    world.run_until(lambda: bool(caller.ends))
    worlds.check_complete_answer(caller, 100)
    assert len(world.starts()) == 2


def test_frozen_entry_does_not_blame_its_peers() -> None:
    """Silence while the entry itself was stopped proves nothing."""
    world = worlds.World(entries=1)
    caller = world.entry.generate(max_tokens=500)
    world.run(1.0)
    world.entry.frozen = True
    world.run(12.0)
    world.entry.frozen = False
    world.run_until(lambda: bool(caller.ends))
    worlds.check_complete_answer(caller, 500)
    assert len(world.starts()) == 1


def test_thawed_entry_takes_no_stream_back() -> None:
    """A stream whose caller has resumed elsewhere must stay there."""
    world = worlds.World(entries=2)
    frozen, other = world.entries
    caller = frozen.generate(max_tokens=500)
    world.run(1.0)
    frozen.frozen = True
    caller.leave()
    again = other.resume(caller, max_tokens=500)
    world.run(6.0)
    sent = len(frozen.sent)
    frozen.frozen = False
    world.run_until(lambda: bool(again.ends))
    worlds.check_complete_answer(again, 500)
    kinds = {type(command.msg) for command in frozen.sent[sent:]}
    assert messages.Attach not in kinds


def test_planned_stop_of_many_streams_needs_no_retry_budget() -> None:
    """A stop must not cut streams because the retry budget is used up."""
    world = worlds.World(engines=2)
    callers = [world.entry.generate(b"p%d" % i) for i in range(160)]
    world.run(0.2)
    leaving = world.agents["a0"]
    assert len(leaving.streams) >= 60
    leaving.draining = True
    leaving.move()
    world.run_until(lambda: all(caller.ends for caller in callers))
    for caller in callers:
        worlds.check_complete_answer(caller)


def test_gap_in_the_tokens_is_fetched() -> None:
    """Tokens lost on the way must be asked for, and neither end nor stall."""
    world = worlds.World()

    def lose(msg: messages.Message) -> Frames:
        lost = isinstance(msg, messages.Tokens) and msg.offset in (4, 10)
        if lost:
            world.frame_filter = lambda later: [(0.0, later)]
        return [] if lost else [(0.0, msg)]

    world.frame_filter = lose
    caller = world.entry.generate()
    world.run_until(lambda: bool(caller.ends), 3.0)
    worlds.check_complete_answer(caller)
    assert len(world.starts()) == 1
