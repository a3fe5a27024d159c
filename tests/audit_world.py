"""World of the real entry and agent steps with audit buffers on a fake clock.

The expected content of the audit comes from the runs that the fake engines
recorded and from the callers, not from the code under test.
"""

import asyncio
from typing import Any, NamedTuple
from unittest import mock

from apricottrestle import (
    agent_events,
    audit,
    audit_export,
    entry_events,
    messages,
)
from tests import audit_rows, fake_log
from tests import test_agent_world as agent_world
from tests import test_entry_fakes as fakes
from tests import test_entry_world as entry_world

MAX_TOKENS = 40
_CONFIG = fakes.CONFIG._replace(
    versions=agent_world.config(1, ("v1",)).versions
)


class StartedRun(NamedTuple):
    """A run that an engine started, and the agent that submitted it."""

    writer: str
    incarnation: str
    run_id: str


class Agent(fakes.FakeAgent):
    """Fake agent that runs the real agent step.

    Attributes:
        step_world: World of the agent's step and its engine.
        audit: Buffer of the rows that are not on the log.
        started_runs: Runs that the engine started for all incarnations.
    """

    def __init__(self, world: Any, agent_id: str, upstream: str) -> None:
        super().__init__(world, agent_id, upstream)
        self.started_runs: list[StartedRun] = []
        self._number = 0
        self.start_incarnation(agent_world.FakeEngine())

    def start_incarnation(self, engine: agent_world.FakeEngine) -> None:
        """Starts a new incarnation of the agent for an engine."""
        self._number += 1
        self.incarnation = f"{self.agent_id}-i{self._number}"
        self.step_world = agent_world.World(
            incarnation=self.incarnation, engine=engine, now=self.world.now
        )
        params = self.step_world.tables.params
        self.step_world.tables.params = params._replace(agent_id=self.agent_id)
        self.step_world.config = _CONFIG
        self.step_world.inbox.append(agent_events.ModelAssigned("m"))
        self.audit = audit.AuditBuffer(self.agent_id, "agent", self.incarnation)
        self._seen = len(engine.started)
        self._conns: dict[bytes, Any] = {}

    def receive(self, conn: Any, msg: messages.Message, body: bytes) -> None:
        name, number = conn
        routing_id = f"{name}/{number}/{self.incarnation}".encode()
        self._conns[routing_id] = conn
        got = messages.Received(name, "i1", 1, msg, body)
        self.step_world.inbox.append(
            agent_events.FrameReceived(routing_id, got)
        )

    def tick(self) -> None:
        if self.step_world.now + agent_world.TICK_S > self.world.now:
            return
        if self.frozen:
            # The engine keeps running while the agent is frozen.
            self.step_world.now += agent_world.TICK_S
            self.step_world.inbox.extend(
                self.step_world.engine.produce_events()
            )
            return
        self.step_world.tick()
        for cmd in self.step_world.commands:
            if isinstance(cmd, agent_events.WriteAuditRow):
                self.audit.add(_row(cmd))
        for run_id in self.step_world.engine.started[self._seen :]:
            self.started_runs.append(
                StartedRun(self.agent_id, self.incarnation, run_id)
            )
        self._seen = len(self.step_world.engine.started)
        sent, self.step_world.sent = self.step_world.sent, []
        self.config_rev = self.step_world.tables.config.revision
        for item in sent:
            conn = self._conns.get(item.routing_id)
            if conn is not None:
                self.send(conn, item.msg, item.body)


def _row(cmd: agent_events.WriteAuditRow) -> audit.AuditRow:
    fields = cmd._asdict()
    fields["priority"] = messages.PRIORITIES[cmd.priority]
    return audit.AuditRow(**fields)


class ServedRequest(NamedTuple):
    """A request that a caller made at an entry."""

    entry: str
    req_id: str
    caller: entry_world.Caller


class World(entry_world.World):
    """Two entries, two agents, and the audit stream.

    Attributes:
        audit_log: Log with the audit stream.
        served: Requests that callers made.
        killed: Entries that were killed; they run no step and write no rows.
    """

    def __init__(self) -> None:
        with mock.patch.object(fakes, "FakeAgent", Agent):
            super().__init__(engines=2, entries=2)
        self.audit_log = fake_log.FakeLog()
        self.served: list[ServedRequest] = []
        self.killed: set[str] = set()
        for entry in self.entries:
            entry.tables.sync.state = _CONFIG
        self.run(2.0)
        self.flush()

    def agent(self, agent_id: str) -> Agent:
        found = self.agents[agent_id]
        assert isinstance(found, Agent)
        return found

    def request(
        self, index: int = 0, old: entry_world.Caller | None = None
    ) -> ServedRequest:
        """Makes a request at an entry, or resumes an earlier one there."""
        entry = self.entries[index]
        if old is not None and old.event_id:
            caller = entry.resume(old, max_tokens=MAX_TOKENS)
        else:
            caller = entry.generate(max_tokens=MAX_TOKENS)
        name = entry.tables.identity.instance_id
        req_id = entry.tables.callers.get(caller.number, "")
        served = ServedRequest(name, req_id, caller)
        self.served.append(served)
        return served

    def serving_agent(self, served: ServedRequest) -> Agent:
        """Returns the agent that runs a request, or one that ran it before."""
        row = self.entries[0].tables.requests.get(served.req_id)
        if row is not None and row.agent_id:
            return self.agent(row.agent_id)
        for name in self.agents:
            runs = self.agent(name).started_runs
            if any(run.run_id.startswith(served.req_id) for run in runs):
                return self.agent(name)
        return self.agent("a0")

    def kill_entry(self, index: int = 0) -> None:
        """Kills an entry, which loses its audit buffer."""
        entry = self.entries[index]
        entry.frozen = True
        entry.conns.clear()
        self.killed.add(entry.tables.identity.instance_id)

    def kill_agent(self, agent: Agent) -> None:
        """Kills an agent and appends the first batch of the new process."""
        agent.start_incarnation(agent.step_world.engine)
        self._flush(agent.audit)

    def flush(self, *, close: bool = False) -> None:
        """Appends the audit rows of all processes that weren't killed."""
        buffers = [self.agent(name).audit for name in self.agents]
        buffers += [
            entry.tables.audit
            for entry in self.entries
            if entry.tables.identity.instance_id not in self.killed
        ]
        for buffer in buffers:
            if close:
                buffer.close()
            self._flush(buffer)

    def _flush(self, buffer: audit.AuditBuffer) -> None:
        while (batch := buffer.take_batch()) is not None:
            if not audit_rows.append(self.audit_log, batch):
                break
            buffer.confirm(batch.seq)

    def finish_and_stop(self) -> None:
        """Ends all faults and requests, then stops all processes cleanly."""
        self.audit_log.down = False
        self.audit_log.faults.clear()
        self.frame_filter = lambda msg: [(0.0, msg)]
        for entry in self.entries:
            if entry.tables.identity.instance_id not in self.killed:
                entry.frozen = False
                entry.post(entry_events.InstancesChanged(self.rows()))
        for name in self.agents:
            self.agent(name).frozen = False
        unkilled = [
            item for item in self.served if item.entry not in self.killed
        ]
        self.run_until(
            lambda: all(item.caller.ends for item in unkilled), 120.0
        )
        self.run(20.0)
        self.flush(close=True)

    def export(self) -> audit_export.Export:
        selection = audit_export.Selection(0.0, 1e12)
        return asyncio.run(audit_export.export(self.audit_log, selection))
