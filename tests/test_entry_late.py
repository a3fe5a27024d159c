"""Tests of late messages, restarted agents, paused entries and retries."""

from apricottrestle import entry_events, messages
from tests import test_entry_world as worlds

Frames = list[tuple[float, messages.Message]]


def test_late_failure_of_an_old_attempt_does_not_end_the_new_one() -> None:
    """A duplicated failure of attempt 1 must not end attempt 2."""
    world = worlds.World(engines=1)

    def duplicate_failures(msg: messages.Message) -> Frames:
        is_failure = isinstance(msg, messages.Failed)
        return [(0.0, msg), (0.4, msg)] if is_failure else [(0.0, msg)]

    world.frame_filter = duplicate_failures
    caller = world.entry.generate()
    world.run_until(lambda: len(caller.tokens) >= 4)
    world.agents["a0"].fail_streams()
    world.run_until(lambda: bool(caller.ends))
    worlds.check_complete_answer(caller)
    assert [attempt for _, attempt in world.starts()] == [1, 2]


def test_late_frame_of_an_old_incarnation_is_dropped() -> None:
    """A frame of a process before its restart must not end a new attempt."""
    world = worlds.World(engines=1)
    caller = world.entry.generate(max_tokens=100)
    world.run_until(lambda: len(caller.tokens) >= 4)
    agent = world.agents["a0"]
    old = messages.Received(
        "a0", agent.incarnation, 1, messages.Pong(1, agent.load_report()), b""
    )
    agent.restart()
    world.run_until(lambda: len(world.starts()) == 2)
    conn = next(iter(world.entry.conns))
    world.entry.post(entry_events.FrameReceived(conn, old))
    world.run_until(lambda: bool(caller.ends))
    worlds.check_complete_answer(caller, 100)
    assert len(world.starts()) == 2


def test_paused_entry_does_not_give_up_its_peers() -> None:
    """Silence during a pause of the entry must not be taken for a failure."""
    world = worlds.World(entries=1)
    caller = world.entry.generate(max_tokens=500)
    world.run(1.0)
    world.entry.frozen = True
    world.run(12.0)
    world.entry.frozen = False
    world.run_until(lambda: bool(caller.ends))
    worlds.check_complete_answer(caller, 500)
    assert len(world.starts()) == 1


def test_paused_entry_does_not_reattach_a_stream_resumed_elsewhere() -> None:
    """The stream must stay at the entry at which its caller has resumed."""
    world = worlds.World(entries=2)
    frozen, other = world.entries
    caller = frozen.generate(max_tokens=500)
    world.run(1.0)
    frozen.frozen = True
    caller.leave()
    resumed = other.resume(caller, max_tokens=500)
    world.run(6.0)
    sent = len(frozen.sent)
    frozen.frozen = False
    world.run_until(lambda: bool(resumed.ends))
    worlds.check_complete_answer(resumed, 500)
    kinds = {type(command.msg) for command in frozen.sent[sent:]}
    assert messages.Attach not in kinds


def test_planned_stop_of_many_streams_needs_no_retry_budget() -> None:
    """A planned stop must not end streams for lack of a retry budget."""
    world = worlds.World(engines=2)
    callers = [world.entry.generate(b"p%d" % i) for i in range(160)]
    world.run(0.2)
    leaving = world.agents["a0"]
    assert len(leaving.streams) >= 60
    leaving.draining = True
    leaving.hand_back_streams()
    world.run_until(lambda: all(caller.ends for caller in callers))
    for caller in callers:
        worlds.check_complete_answer(caller)


def test_gap_in_the_tokens_is_fetched() -> None:
    """Lost tokens must be requested again; the stream must not end or stall."""
    world = worlds.World()

    def drop_tokens_once(msg: messages.Message) -> Frames:
        is_lost = isinstance(msg, messages.Tokens) and msg.offset in (4, 10)
        if is_lost:
            world.frame_filter = lambda later: [(0.0, later)]
        return [] if is_lost else [(0.0, msg)]

    world.frame_filter = drop_tokens_once
    caller = world.entry.generate()
    world.run_until(lambda: bool(caller.ends), 3.0)
    worlds.check_complete_answer(caller)
    assert len(world.starts()) == 1
