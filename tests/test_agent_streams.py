"""Tests of output, flow control and ownership of streams at the agent (G3)."""

from typing import Any, Final

import pytest

from apricottrestle import agent_events, agent_streams, messages
from tests import test_agent_fakes as fakes
from tests import test_agent_world as worlds

_WANT: Final = fakes.expected_tokens(worlds.body_of("r1"), 40)
_SECOND_CONN: Final = b"conn-2"


def _started(**changes: Any) -> worlds.World:
    """Returns a world in which ten tokens of request r1 or more were sent."""
    world = worlds.World().ready()
    world.submit(**changes)
    world.until(lambda: len(world.tokens("r1")) >= 10)
    return world


def _attach(world: worlds.World, **changes: Any) -> None:
    msg = messages.Attach("r1", "t", 0, 20_000, 10_000)
    world.connect(_SECOND_CONN, "entry-2")
    world.frame(msg._replace(**changes), routing_id=_SECOND_CONN)


@pytest.mark.parametrize("offset", [0, 7, 10])
def test_attached_entry_gets_the_tokens_from_its_offset(offset: int) -> None:
    world = _started()
    _attach(world, offset=offset)
    world.until(lambda: world.messages_of(messages.Finished, _SECOND_CONN))
    assert world.tokens("r1", _SECOND_CONN) == _WANT[offset:]
    assert world.messages_of(messages.Accepted, _SECOND_CONN)


@pytest.mark.parametrize(
    "changes", [{"team": "other"}, {"offset": 4000}, {"req_id": "r9"}]
)
def test_attach_to_a_foreign_or_unknown_stream_fails(
    changes: dict[str, Any],
) -> None:
    world = _started()
    _attach(world, **changes)
    world.run(1)
    assert (
        world.messages_of(messages.Failed, _SECOND_CONN)[0].reason
        == "unknown_stream"
    )
    assert not world.messages_of(messages.Tokens, _SECOND_CONN)


def test_finished_stream_is_kept_for_an_attach() -> None:
    world = _started()
    world.until(lambda: world.messages_of(messages.Finished))
    world.run(10)
    _attach(world, offset=35)
    world.run(1)
    assert world.tokens("r1", _SECOND_CONN) == _WANT[35:]
    assert world.messages_of(messages.Finished, _SECOND_CONN)
    world.run(agent_streams.RETENTION_S + 1)
    assert not world.tables.streams


def test_former_owner_can_neither_cancel_nor_credit() -> None:
    """Late frames of a paused entry must not affect the new owner's stream."""
    world = _started(credit_tokens=12)
    _attach(world, offset=10, credit_tokens=5)
    world.run(1)
    world.frame(messages.Credit("r1", 1, 10_000))
    world.frame(messages.Cancel("r1", 1, "lost"))
    world.run(1)
    assert world.tokens("r1", _SECOND_CONN) == _WANT[10:15]
    assert "r1" in world.tables.streams


def test_tokens_stop_at_the_credit_until_the_stall_limit() -> None:
    world = _started(credit_tokens=12, remaining_ms=90_000)
    world.run(5)
    assert world.tokens("r1") == _WANT[:12]
    world.frame(messages.Credit("r1", 1, 20))
    world.run(5)
    assert world.tokens("r1") == _WANT[:20]
    world.run(agent_streams.STALL_TIMEOUT_S)
    assert world.messages_of(messages.Failed)[0].reason == "stalled"


@pytest.mark.parametrize(
    ("event", "reason"),
    [
        (agent_events.RunTokens("r1.1", 39, [1], 0), "upstream_gap"),
        (agent_events.RunTokens("r1.1", 0, [1] * 50, 0), "upstream_overrun"),
        (agent_events.RunFinished("r1.1", 40), "upstream_short"),
        (agent_events.RunFailed("r1.1", "upstream_cut"), "upstream_cut"),
    ],
)
def test_gap_overrun_or_cut_of_a_run_fails_its_stream(
    event: agent_events.Event, reason: str
) -> None:
    world = _started()
    world.inbox.append(event)
    world.run(10)
    assert world.messages_of(messages.Failed)[0].reason == reason
    assert not world.messages_of(messages.Finished)
    assert world.engine.used_blocks() == 0


@pytest.mark.parametrize(
    "event",
    [
        agent_events.RunTokens("r1.1", 3, _WANT[3:9], 0),
        agent_events.RunTokens("r1.2", 10, [1, 2], 0),
        agent_events.RunTokens("r2.1", 10, [1, 2], 0),
        agent_events.RunFinished("r1.2", 3),
        agent_events.RunFailed("r2.1", "upstream_cut"),
    ],
)
def test_repeated_tokens_and_events_of_other_runs_are_ignored(
    event: agent_events.Event,
) -> None:
    world = _started()
    world.inbox.append(event)
    world.until(lambda: world.messages_of(messages.Finished))
    assert world.tokens("r1") == _WANT


def test_higher_attempt_replaces_a_lower_one() -> None:
    world = _started()
    world.submit(attempt=2, forced_prefix=_WANT[:8])
    world.submit()
    world.until(lambda: world.messages_of(messages.Finished))
    assert world.engine.started == ["r1.1", "r1.2"]
    finished = world.messages_of(messages.Finished)[0]
    assert (finished.attempt, finished.total_tokens) == (2, 40)
    assert world.tokens("r1") == _WANT


def test_run_fails_when_its_engine_falls_silent() -> None:
    world = _started(remaining_ms=90_000)
    world.engine.frozen = True
    world.run(agent_streams.ENGINE_SILENCE_TIMEOUT_S + 1)
    assert world.messages_of(messages.Failed)[0].reason == "upstream_silent"
    assert world.engine.used_blocks() == 0


def test_refused_attempt_stays_refused() -> None:
    """A late duplicate of a submit must not run after its Refused was sent."""
    world = worlds.World().ready()
    for remaining_ms in (0, 20_000):
        world.submit(remaining_ms=remaining_ms)
        world.run(1)
    assert world.engine.started == []
    reasons = [msg.reason for msg in world.messages_of(messages.Refused)]
    assert reasons == ["deadline", "deadline"]


def test_cancel_before_its_submit_prevents_the_run() -> None:
    world = worlds.World().ready()
    world.frame(messages.Cancel("r1", 1, "gone"))
    world.submit()
    world.run(3)
    assert world.engine.started == []
    assert world.messages_of(messages.Refused)[0].reason == "cancelled"


def test_reordered_and_duplicate_chunks_give_the_whole_prompt() -> None:
    body = worlds.body_of("r1") + b"x" * (2 * messages.INLINE_BODY_BYTES)
    size = messages.INLINE_BODY_BYTES
    parts = [body[at : at + size] for at in range(0, len(body), size)]
    world = worlds.World().ready()
    world.frame(worlds.submit(body_bytes=len(body)))
    world.run(0.2)
    for index in (2, 1, 1, 0, 0):
        last = index == len(parts) - 1
        chunk = messages.BodyChunk("r1", 1, index, last)
        world.frame(chunk, parts[index], routing_id=b"", sender="entry-1")
    world.until(lambda: world.messages_of(messages.Finished))
    assert world.tokens("r1") == fakes.expected_tokens(body, 40)
    assert world.tables.body_bytes == 0


def test_body_that_stops_arriving_is_refused() -> None:
    world = worlds.World().ready()
    world.frame(worlds.submit(body_bytes=messages.INLINE_BODY_BYTES + 1))
    world.run(12)
    assert world.messages_of(messages.Refused)[0].reason == "body_timeout"
    assert world.tables.body_bytes == 0
