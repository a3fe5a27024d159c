"""State machine test of the entry's step under faults in any order.

Results are compared with the ledgers of the fake agents. After each rule, the
tokens of each caller are a prefix of the expected answer, and no call has run
twice. At the end every request has ended and the tables are empty.
"""

import hypothesis
import msgspec
from hypothesis import stateful
from hypothesis import strategies as st

from apricottrestle import (
    call_keys,
    entry_bindings,
    entry_calls,
    entry_events,
)
from tests import test_entry_fakes as fakes
from tests import test_entry_scenarios as scenarios
from tests import test_entry_world as worlds

_LIMIT_S = 20.0
_MAX_TOKENS = 20
_AGENTS = st.sampled_from(["a0", "a1", "a2", "s0", "s1"])
_ENTRIES = st.sampled_from([0, 1])


class EntryMachine(stateful.RuleBasedStateMachine):
    """Two entries, three engines and two services under random faults."""

    def __init__(self) -> None:
        super().__init__()
        self.world = worlds.World(engines=3, services=2, entries=2)
        self.callers: list[worlds.Caller] = []
        self.disconnected: list[worlds.Caller] = []
        self.keys: list[str] = []

    @stateful.rule(entry=_ENTRIES, stream=st.booleans(), big=st.booleans())
    def generate(self, entry: int, stream: bool, big: bool) -> None:
        body = b"prompt %d" % len(self.callers)
        caller = self.world.entries[entry].generate(
            body,
            stream=stream,
            limit_s=_LIMIT_S,
            prompt_tokens=1500 if big else 10,
        )
        self.callers.append(caller)

    @stateful.rule(entry=_ENTRIES)
    def issue_key(self, entry: int) -> None:
        issuing_entry = self.world.entries[entry]
        caller = issuing_entry.open_caller(b"")
        issuing_entry.post(entry_events.IssueKey(caller.number, "svc", "t"))
        self.world.run(0.1)
        keys = [
            e.key for e in caller.ends if isinstance(e, entry_events.DeliverKey)
        ]
        self.keys += keys

    @stateful.rule(entry=_ENTRIES, pick=st.integers(0, 5), own=st.booleans())
    def call(self, entry: int, pick: int, own: bool) -> None:
        key = f"own-{pick}" if own or not self.keys else ""
        key = key or self.keys[pick % len(self.keys)]
        caller = self.world.entries[entry].call(key, limit_s=_LIMIT_S)
        self.callers.append(caller)

    @stateful.rule(pick=st.integers(0, 20), entry=_ENTRIES)
    def resume_elsewhere(self, pick: int, entry: int) -> None:
        running = [
            caller
            for caller in self.callers
            if caller.event_id and not caller.ends and not caller.key
        ]
        if not running:
            return
        old = running[pick % len(running)]
        old.leave()
        self.callers.remove(old)
        self.disconnected.append(old)
        resumed = self.world.entries[entry].resume(old, limit_s=_LIMIT_S)
        self.callers.append(resumed)

    @stateful.rule(name=_AGENTS)
    def kill(self, name: str) -> None:
        self.world.agents[name].alive = False

    @stateful.rule(name=_AGENTS)
    def restart(self, name: str) -> None:
        self.world.agents[name].restart()
        self.world.agents[name].frozen = False

    @stateful.rule(name=_AGENTS)
    def freeze(self, name: str) -> None:
        self.world.agents[name].frozen = True

    @stateful.rule(name=_AGENTS)
    def thaw(self, name: str) -> None:
        self.world.agents[name].unfreeze()

    @stateful.rule(name=_AGENTS)
    def silence(self, name: str) -> None:
        self.world.silence(name)

    @stateful.rule(name=_AGENTS)
    def engine_fails(self, name: str) -> None:
        if self.world.agents[name].alive:
            self.world.agents[name].fail_streams()

    @stateful.rule(name=_AGENTS)
    def planned_stop(self, name: str) -> None:
        agent = self.world.agents[name]
        if agent.alive and not agent.frozen:
            agent.draining = True
            agent.hand_back_streams()

    @stateful.rule(name=_AGENTS, on=st.booleans())
    def hold_answers(self, name: str, on: bool) -> None:
        self.world.agents[name].withhold_results = on

    @stateful.rule(
        fault=st.sampled_from(
            [
                "message late",
                "message duplicated",
                "messages swapped",
                "answer lost after effect",
                "load reports late",
            ]
        )
    )
    def disturb_frames(self, fault: str) -> None:
        self.world.frame_filter = scenarios.frame_filters(self.world)[fault]

    @stateful.rule(down=st.booleans())
    def log(self, down: bool) -> None:
        self.world.log.down = down

    @stateful.rule(seconds=st.sampled_from([0.1, 0.5, 2.0, 6.0]))
    def wait(self, seconds: float) -> None:
        self.world.run(seconds)

    @stateful.rule(entry=_ENTRIES, seconds=st.sampled_from([0.5, 3.0, 12.0]))
    def freeze_entry(self, entry: int, seconds: float) -> None:
        self.world.entries[entry].frozen = True
        self.world.run(seconds)
        self.world.entries[entry].frozen = False

    @stateful.invariant()
    def answers_are_correct(self) -> None:
        for caller in [*self.callers, *self.disconnected]:
            start = max(caller.offset, 0)
            expected = fakes.expected_tokens(caller.body, _MAX_TOKENS)[start:]
            assert caller.tokens == expected[: len(caller.tokens)]
            if caller.complete and not caller.key:
                assert caller.tokens == expected

    @stateful.invariant()
    def outcomes_match_the_ledgers(self) -> None:
        ran = self.world.ran()
        assert len(ran) == len(set(ran))
        starts = {req_id for req_id, _ in self.world.starts()}
        for caller in self.callers:
            assert len(caller.ends) <= 1
            if caller.error is not None and caller.error.outcome == "not_run":
                self.check_not_run(caller, ran)
                assert not caller.req_id or caller.req_id not in starts

    def check_not_run(self, caller: worlds.Caller, ran: list[str]) -> None:
        """Checks that a call reported as not run had not run by then.

        An issued key must not run later either. A key chosen by the caller may,
        since the caller may use it again.
        """
        if not caller.key.startswith("own-"):
            assert caller.key not in ran
        else:
            assert self.issued(caller.key) not in caller.ran_at_error

    def issued(self, key: str) -> str:
        """Returns the issued key that a caller's own key is bound to."""
        if not key.startswith("own-"):
            return key
        spec = entry_events.CallSpec(
            "t", 1, "svc", "POST", "/orders", (), b"x", key, False, 1.0
        )
        name = entry_calls.binding_name(spec)
        records = self.world.log.streams.get(
            entry_bindings.stream_name_of(name)
        )
        for record in records or []:
            if record.record_id == name:
                bound = msgspec.json.decode(
                    record.data, type=call_keys.IssuedKey
                )
                return call_keys.issue(bound, fakes.SECRET)
        return key

    def teardown(self) -> None:
        self.world.run(_LIMIT_S + 1.0)
        assert all(len(caller.ends) == 1 for caller in self.callers)
        self.answers_are_correct()
        self.outcomes_match_the_ledgers()
        self.world.run(scenarios.FREEZE_S + 10.0)
        for entry in self.world.entries:
            assert not entry.tables.requests
            assert not entry.tables.groups
            assert not entry.tables.calls
            assert not entry.tables.callers


TestEntryMachine = EntryMachine.TestCase
TestEntryMachine.settings = hypothesis.settings(stateful_step_count=30)
