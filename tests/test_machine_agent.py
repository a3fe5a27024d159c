"""State machine tests of the agent's step under faults in any order.

Results are compared with the ledgers of the fake upstreams. At the end the
tables are empty and the engine holds no memory.
"""

from typing import Any, Final

from hypothesis import settings
from hypothesis import stateful as st_machine
from hypothesis import strategies as st

from apricottrestle import agent_events, messages
from tests import test_agent_fakes as fakes
from tests import test_agent_world as worlds

_REQS: Final = st.sampled_from([f"r{index}" for index in range(6)])
_GROUPS: Final = st.sampled_from(["g1", "g2"])
_ATTEMPTS: Final = st.integers(1, 2)
_DROPPABLE: Final = (
    agent_events.CancelRun,
    agent_events.FreeAllocation,
    agent_events.RenewAllocation,
    agent_events.StartRun,
)
_REMAINING_MS: Final = 20_000


class _Agent(st_machine.RuleBasedStateMachine):
    """Rules for both kinds of upstream: time, pauses and disordered frames."""

    kind = "engine"

    def __init__(self) -> None:
        super().__init__()
        self.world = worlds.World(self.kind).ready()
        self.calls = 0

    @st_machine.rule(ticks=st.integers(1, 60))
    def run(self, ticks: int) -> None:
        for _ in range(ticks):
            self.world.tick()

    @st_machine.rule(seconds=st.integers(1, 40))
    def freeze(self, seconds: int) -> None:
        self.world.freeze(seconds)

    @st_machine.rule(duplicate=st.booleans(), reverse=st.booleans())
    def disorder_frames(self, duplicate: bool, reverse: bool) -> None:
        self.world.duplicate_frames, self.world.reverse_frames = (
            duplicate,
            reverse,
        )


class EngineAgent(_Agent):
    """Requests and groups end, free their memory and send the right tokens.

    No attempt starts twice or after it was refused.
    """

    @st_machine.rule(req_id=_REQS, attempt=_ATTEMPTS, credit=st.integers(0, 50))
    def submit(self, req_id: str, attempt: int, credit: int) -> None:
        self.world.submit(
            req_id,
            attempt=attempt,
            credit_tokens=credit,
            remaining_ms=_REMAINING_MS,
        )

    @st_machine.rule(req_id=_REQS, attempt=_ATTEMPTS)
    def cancel(self, req_id: str, attempt: int) -> None:
        self.world.frame(messages.Cancel(req_id, attempt, "test"))

    @st_machine.rule(req_id=_REQS, attempt=_ATTEMPTS)
    def credit(self, req_id: str, attempt: int) -> None:
        self.world.frame(messages.Credit(req_id, attempt, 50))

    @st_machine.rule(req_id=_REQS, offset=st.integers(0, 45))
    def attach(self, req_id: str, offset: int) -> None:
        self.world.frame(messages.Attach(req_id, "t", offset, 9_000, 50))

    @st_machine.rule(group=_GROUPS, tokens=st.integers(1, 40_000))
    def reserve(self, group: str, tokens: int) -> None:
        self.world.frame(messages.Reserve(group, tokens, 10_000))

    @st_machine.rule(group=_GROUPS, release=st.booleans())
    def renew_or_release(self, group: str, release: bool) -> None:
        msg = messages.Release(group) if release else messages.Renew(group, 9)
        self.world.frame(msg)

    @st_machine.rule(kinds=st.sets(st.sampled_from(_DROPPABLE)))
    def drop_commands(self, kinds: set[type]) -> None:
        self.world.dropped_commands = kinds

    @st_machine.rule()
    def kill_engine(self) -> None:
        self.world.inbox.extend(self.world.engine.crash())

    @st_machine.invariant()
    def attempts_start_once_and_never_after_a_refusal(self) -> None:
        started = self.world.engine.started
        assert len(started) == len(set(started))
        for msg in self.world.messages_of(messages.Refused):
            assert f"{msg.req_id}.{msg.attempt}" not in started

    @st_machine.invariant()
    def engine_memory_is_never_overcommitted(self) -> None:
        leases = self.world.tables.leases.values()
        assert sum(lease.tokens for lease in leases) <= 4096 * 16

    def teardown(self) -> None:
        world = self.world
        world.dropped_commands = set()
        world.run(90)
        assert world.tables.streams == {}
        assert world.tables.leases == {}
        assert world.tables.body_bytes == 0
        assert len(world.tables.queue) == 0
        assert world.engine.used_blocks() == 0
        for row in world.sent:
            if isinstance(row.msg, messages.Tokens):
                self._check_tokens(row.msg)

    def _check_tokens(self, msg: messages.Tokens) -> None:
        want = fakes.expected_tokens(worlds.body_of(msg.req_id), 40)
        assert msg.tokens == want[msg.offset : msg.offset + len(msg.tokens)]


class ServiceAgent(_Agent):
    """Calls with issued keys run at most once, and never after `not_run`."""

    kind = "service"
    keys = st_machine.Bundle("keys")

    @st_machine.rule(target=keys)
    def issue(self) -> Any:
        world = self.world
        world.frame(messages.KeyRequest(f"k{world.now}", "roster", 1))
        world.run(0.3)
        issued = world.messages_of(messages.KeyIssued)
        known = [key for msg in issued for key in msg.keys]
        return known[-1] if known else ""

    @st_machine.rule(key=keys, remaining_ms=st.integers(0, 6_000))
    def submit(self, key: str, remaining_ms: int) -> None:
        self.calls += 1
        req_id = f"c{self.calls}"
        self.world.frame(worlds.call(req_id, key, remaining_ms=remaining_ms))

    @st_machine.rule(key=keys)
    def query(self, key: str) -> None:
        self.world.frame(messages.CallQuery("q", key))

    @st_machine.rule(key=keys)
    def refuse_on_log(self, key: str) -> None:
        if key:
            _, _, _, incarnation, seq, *_ = key.split("~")
            self.world.log.append_refusal(f"{incarnation}~{seq}")

    @st_machine.rule(down=st.booleans(), lost=st.booleans())
    def set_log_faults(self, down: bool, lost: bool) -> None:
        self.world.log.down, self.world.log.loses_answers = down, lost

    @st_machine.rule()
    def trim_log(self) -> None:
        self.world.log.expire_records()

    @st_machine.rule(mode=st.sampled_from(["answer", "hold", "lose_answer"]))
    def set_service_mode(self, mode: str) -> None:
        self.world.service.mode = mode
        self.world.inbox.extend(self.world.service.held_answers)
        self.world.service.held_answers.clear()

    @st_machine.invariant()
    def calls_run_once_and_never_after_not_run(self) -> None:
        effects = self.world.service.effects
        assert len(effects) == len(set(effects))
        for msg in self.world.messages_of(messages.CallResult):
            fields = msg.key.split("~")
            if len(fields) > 4 and msg.outcome == "not_run":
                assert f"{fields[3]}~{fields[4]}" not in effects

    def teardown(self) -> None:
        self.world.log.down = False
        self.world.run(30)
        self.calls_run_once_and_never_after_not_run()


EngineAgent.TestCase.settings = settings(stateful_step_count=30)
ServiceAgent.TestCase.settings = settings(stateful_step_count=30)
TestEngineAgent = EngineAgent.TestCase
TestServiceAgent = ServiceAgent.TestCase
