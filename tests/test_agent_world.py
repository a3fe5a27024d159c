"""Simulated upstreams and entries around the agent's step, on a fake clock."""

import random
from collections.abc import Callable
from typing import Any, NamedTuple

import msgspec

from apricottrestle import (
    agent_events,
    agent_step,
    agent_tables,
    call_log,
    config_state,
    messages,
    queueing_fair,
)
from tests import test_agent_fakes as fakes

TICK_S = 0.1
ENTRY = b"conn-1"
SECRET = b"fleet secret"
FakeEngine = fakes.FakeEngine


def config(
    revision: int = 5, versions: tuple[str, ...] = ("v1",)
) -> config_state.ConfigState:
    """Returns a configuration with one model and one plain service."""
    return config_state.ConfigState(
        revision=revision,
        models={"m": config_state.ModelSpec("m", versions[-1])},
        versions={f"m@{v}": config_state.VersionSpec("m", v) for v in versions},
        services={
            "roster": config_state.ServiceSpec("roster", ("POST /book",))
        },
    )


class Sent(NamedTuple):
    """A message that the agent sent."""

    time: float
    routing_id: bytes
    msg: messages.Message
    body: bytes


class World:
    """Runs the agent's step on a fake clock against fake upstreams.

    Attributes:
        now: Time of the fake clock.
        sent: Messages that the agent sent.
        commands: Commands of the last step.
        inbox: Events for the next step.
        dropped_commands: Kinds of commands that do not reach the fakes.
        unanswered_commands: Kinds of commands that take effect but whose answer
            is lost.
        duplicate_frames: Whether every frame arrives twice.
        reverse_frames: Whether the frames of a tick arrive in reverse order.
        exited: True once the agent has ended its process.
        release_stream_down: Whether reads of the release stream get no answer.
        pinging_entries: Entry ids by the routing ids that send pings.
    """

    def __init__(
        self,
        kind: str = "engine",
        *,
        seed: int = 1,
        incarnation: str = "inc1",
        engine: fakes.FakeEngine | None = None,
        log: fakes.FakeLog | None = None,
        service: fakes.FakeService | None = None,
        now: float = 1000.0,
    ) -> None:
        self.now = now
        is_engine = kind == "engine"
        params = agent_tables.Params(
            "agent-1",
            incarnation,
            "savannah",
            "engine" if is_engine else "service",
            "" if is_engine else "roster",
            "http://127.0.0.1:1",
            SECRET,
        )
        self.tables = agent_tables.Tables(
            params, queueing_fair.PriorityFairQueue(), random.Random(seed), now
        )
        self.engine = engine or fakes.FakeEngine()
        self.log = log or fakes.FakeLog()
        self.service = service or fakes.FakeService()
        self.config = config()
        self.sent: list[Sent] = []
        self.commands: list[agent_events.Command] = []
        self.inbox: list[agent_events.Event] = []
        self.dropped_commands: set[type] = set()
        self.unanswered_commands: set[type] = set()
        self.duplicate_frames = False
        self.reverse_frames = False
        self.exited = False
        self.release_stream_down = False
        self.pinging_entries: dict[bytes, str] = {}
        self._next_ping = 0.0

    def ready(self) -> "World":
        """Connects an entry and runs until the agent serves a model."""
        self.inbox.append(agent_events.ModelAssigned("m"))
        self.connect(ENTRY, "entry-1")
        self.run(1.0)
        self.sent.clear()
        return self

    def connect(self, routing_id: bytes, sender: str) -> None:
        """Connects an entry, which then sends a ping every 2 s."""
        self.pinging_entries[routing_id] = sender
        self.frame(messages.Hello("savannah"), routing_id=routing_id)

    def frame(
        self,
        msg: messages.Message,
        body: bytes = b"",
        *,
        routing_id: bytes = ENTRY,
        rev: int = 0,
        sender: str = "",
    ) -> None:
        """Puts a message into the agent's inbox."""
        name = sender or self.pinging_entries.get(routing_id, "entry-1")
        got = messages.Received(name, "i", rev, msg, body)
        self.inbox.append(agent_events.FrameReceived(routing_id, got))

    def submit(self, req_id: str = "r1", **changes: Any) -> None:
        """Puts a small request into the agent's inbox."""
        self.frame(submit(req_id, **changes), body_of(req_id))

    def tick(self) -> None:
        """Advances the clock by one tick and runs one step."""
        self.now += TICK_S
        if self.exited:
            # Frames and answers no longer reach the ended process.
            self.inbox = []
            return
        if self.now >= self._next_ping:
            self._next_ping = self.now + 2.0
            for routing_id in self.pinging_entries:
                self.frame(messages.Ping(1, False), routing_id=routing_id)
        events = [*self._take_inbox(), *self.engine.produce_events()]
        self.inbox = []
        self.commands = agent_step.step(self.tables, events, self.now)
        for cmd in self.commands:
            self._execute(cmd)

    def _take_inbox(self) -> list[agent_events.Event]:
        frame = agent_events.FrameReceived
        frames = [ev for ev in self.inbox if isinstance(ev, frame)]
        others = [ev for ev in self.inbox if not isinstance(ev, frame)]
        if self.duplicate_frames:
            frames = [ev for ev in frames for _ in range(2)]
        if self.reverse_frames:
            frames.reverse()
        return [*frames, *others]

    def run(self, seconds: float) -> None:
        """Runs the agent and its upstreams for a time."""
        for _ in range(round(seconds / TICK_S)):
            self.tick()

    def until(
        self, condition: Callable[[], object], limit_s: float = 60.0
    ) -> None:
        """Runs until a condition holds; fails when the limit has passed."""
        stop = self.now + limit_s
        while not condition():
            assert self.now < stop, "condition not reached"
            self.tick()

    def freeze(self, seconds: float) -> None:
        """Pauses the agent while its upstreams and the clock go on."""
        stop = self.now + seconds
        while self.now < stop - TICK_S:
            self.now += TICK_S
            self.inbox.extend(self.engine.produce_events())

    def _execute(self, cmd: agent_events.Command) -> None:
        if isinstance(cmd, agent_events.Send):
            self.sent.append(Sent(self.now, cmd.routing_id, cmd.msg, cmd.body))
            return
        if type(cmd) in self.dropped_commands:
            return
        if isinstance(cmd, agent_events.Exit):
            self.exited = True
        answers = self._answers(cmd)
        if type(cmd) not in self.unanswered_commands:
            self.inbox.extend(answers)

    def _answers(self, cmd: agent_events.Command) -> list[agent_events.Event]:
        engine = self.engine
        match cmd:
            case agent_events.StartRun():
                engine.start(cmd)
            case agent_events.CancelRun():
                engine.end(cmd.run_id)
            case agent_events.Allocate():
                return engine.allocate(cmd)
            case agent_events.FreeAllocation():
                engine.blocks.pop(cmd.allocation, None)
            case agent_events.FreeExport():
                engine.blocks.pop(cmd.handle, None)
            case agent_events.SendOrder():
                return engine.order(cmd)
            case agent_events.ExportKv():
                return self._export(cmd)
            case agent_events.RequestPermit():
                return [agent_events.PermitAnswer(cmd.model, cmd.version, 0)]
            case agent_events.CallService():
                return self.service.call(cmd)
            case _:
                return self._poll(cmd)
        return []

    def _poll(self, cmd: agent_events.Command) -> list[agent_events.Event]:
        match cmd:
            case agent_events.PollLoad():
                return [self.engine.load()]
            case agent_events.PollAllocations():
                return [self.engine.list_allocations()]
            case agent_events.PollConfig():
                return [self.engine.config]
            case agent_events.PollCache():
                return [self.engine.cache]
            case agent_events.ReadReleaseStream() if (
                not self.release_stream_down
            ):
                return [agent_events.ConfigChanged(self.config, cmd.pause)]
            case agent_events.FoldConfig():
                return [
                    agent_events.ConfigChanged(self.config, cmd.confirmed_pause)
                ]
            case agent_events.AppendCalls():
                return self._append(cmd)
            case agent_events.ReadCalls():
                return self._read(cmd)
        return []

    def _append(
        self, cmd: agent_events.AppendCalls
    ) -> list[agent_events.Event]:
        if self.log.down:
            return [agent_events.CallLogFailed(cmd.batch)]
        offset = self.log.append(cmd.data)
        if self.log.loses_answers:
            return [agent_events.CallLogFailed(cmd.batch)]
        return [agent_events.CallsAppended(cmd.batch, offset)]

    def _read(self, cmd: agent_events.ReadCalls) -> list[agent_events.Event]:
        if self.log.down:
            return [agent_events.CallLogFailed(cmd.batch)]
        records = [r for r in self.log.records if r.offset > cmd.after_offset]
        records = records[: cmd.max_records]
        end = records[-1].offset + 1 if records else None
        next_offset = end or self.log.first + len(self.log.records)
        return [
            agent_events.CallsRead(
                cmd.batch, self.log.first, next_offset, records
            )
        ]

    def _export(self, cmd: agent_events.ExportKv) -> list[agent_events.Event]:
        if not self.engine.can_export:
            return [agent_events.KvExported(cmd.run_id, "")]
        self.engine.end(cmd.run_id)
        handle = f"kv-{cmd.run_id}"
        self.engine.blocks[handle] = (7, "")
        return [agent_events.KvExported(cmd.run_id, handle)]

    def messages_of(
        self, kind: type, routing_id: bytes | None = None
    ) -> list[Any]:
        """Returns the messages of a kind that the agent sent."""
        return [
            row.msg
            for row in self.sent
            if isinstance(row.msg, kind)
            and routing_id in {None, row.routing_id}
        ]

    def tokens(self, req_id: str, routing_id: bytes | None = None) -> list[int]:
        """Returns the tokens sent for a request, in offset order."""
        answer: dict[int, int] = {}
        for msg in self.messages_of(messages.Tokens, routing_id):
            if msg.req_id == req_id:
                answer.update(enumerate(msg.tokens, msg.offset))
        return [answer[index] for index in sorted(answer)]


def submit(req_id: str = "r1", **changes: Any) -> messages.Submit:
    """Returns a submit of a small request."""
    msg = messages.Submit(
        req_id=req_id,
        attempt=1,
        team="t",
        weight=1.0,
        priority=1,
        model="m",
        version="v1",
        adapter="",
        prompt_tokens=100,
        max_tokens=40,
        remaining_ms=30_000,
        credit_tokens=10_000,
        prefix_blocks=[],
        forced_prefix=[],
        body_bytes=len(body_of(req_id)),
        group=[],
        kv=None,
    )
    return msg._replace(**changes)


def body_of(req_id: str) -> bytes:
    """Returns the prompt of a request, different for each id."""
    return msgspec.msgpack.encode(f"prompt of {req_id}")


def advance_request(world: World, step: str, **changes: Any) -> None:
    """Submits request r1 and runs until it has reached a step of the matrix.

    Args:
        world: World to run.
        step: Step of matrix_table.REQUEST_STEPS.
        changes: Fields of the submit that differ from the default.
    """

    def send(**more: Any) -> None:
        world.submit(**{**changes, **more})

    def until_tokens(count: int) -> None:
        world.until(lambda: len(world.tokens("r1")) >= count)

    match step:
        case "queue":
            world.tables.params = world.tables.params._replace(slots=0)
            send()
            world.tick()
            world.tables.params = world.tables.params._replace(slots=64)
        case "dispatch":
            # The engine has the run, but has not produced tokens.
            world.engine.frozen = True
            send()
            world.until(lambda: world.engine.started)
            world.engine.frozen = False
        case "start":
            world.engine.tokens_per_tick = 0
            send()
            world.run(1)
            world.engine.tokens_per_tick = 4
        case "first token" | "mid-stream":
            send()
            until_tokens(1 if step == "first token" else 20)
        case "last token":
            send(max_tokens=40, credit_tokens=39)
            until_tokens(39)
        case "acknowledge" | "clean up":
            send(max_tokens=40)
            world.until(lambda: world.messages_of(messages.Finished))
        case _:
            send()


def reserve(world: World, group_id: str) -> messages.Reserved:
    """Reserves memory for a group member."""
    world.frame(messages.Reserve(group_id, 1600, 10_000))
    world.until(lambda: world.messages_of(messages.Reserved))
    answer: messages.Reserved = world.messages_of(messages.Reserved)[-1]
    return answer


def issue_key(world: World) -> str:
    """Requests a key of the agent and returns it."""
    count = len(world.messages_of(messages.KeyIssued))
    world.frame(messages.KeyRequest("k", "roster", 1))
    world.until(lambda: len(world.messages_of(messages.KeyIssued)) > count)
    key: str = world.messages_of(messages.KeyIssued)[-1].keys[0]
    return key


def call(req_id: str, key: str, **changes: Any) -> messages.CallSubmit:
    """Returns a submit of a call that is not repeatable."""
    msg = messages.CallSubmit(
        req_id, key, "roster", "t", "POST", "/book/1", [], 5_000
    )
    return msg._replace(**changes)


def test_request_runs_to_the_end() -> None:
    world = World().ready()
    world.submit()
    world.until(lambda: world.messages_of(messages.Finished))
    want = fakes.expected_tokens(body_of("r1"), 40)
    assert world.tokens("r1") == want
    assert world.messages_of(messages.Finished)[0].total_tokens == 40
    world.run(20)
    assert world.engine.used_blocks() == 0
    assert world.tables.streams == {}


def test_call_runs_once_with_intent_and_completion() -> None:
    world = World("service").ready()
    world.frame(call("c1", issue_key(world)), b"x")
    world.until(lambda: world.messages_of(messages.CallResult))
    assert world.messages_of(messages.CallResult)[0].outcome == "completed"
    world.run(2)
    kinds = [
        entry.kind
        for record in world.log.records
        for entry in call_log.decode(record)
    ]
    assert kinds == [call_log.EntryKind.INTENT, call_log.EntryKind.COMPLETION]
    assert len(world.service.effects) == 1
