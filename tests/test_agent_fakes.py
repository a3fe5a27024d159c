"""Fakes of engine, call log and service for the simulated agent.

Tests check what the fakes recorded. The fake engine never expires a lease by
itself, so that only the agent's own clock can free memory.
"""

from typing import Any

from apricottrestle import agent_events, call_log

BLOCK_TOKENS = 16


def expected_tokens(body: bytes, total: int) -> list[int]:
    """Returns the tokens that the fake engine generates for a prompt."""
    seed = sum(body)
    return [(seed * 31 + index * 7) % 50_000 for index in range(total)]


class FakeEngine:
    """Engine that records its memory and its runs."""

    def __init__(self) -> None:
        self.blocks: dict[str, tuple[int, str]] = {}
        self.runs: dict[str, list[Any]] = {}
        self.started: list[str] = []
        self.orders: list[agent_events.SendOrder] = []
        self.config = agent_events.EngineConfig("m", ["v1"], [], "mixed")
        self.total_blocks = 4096
        self.tokens_per_tick = 4
        self.frozen = False
        self.can_export = True
        self.ignores_fence = False
        self.fence = 0
        self.cache = agent_events.CacheEvents(0, True, [])

    def used_blocks(self) -> int:
        """Returns the blocks in use."""
        return sum(blocks for blocks, _ in self.blocks.values())

    def start(self, cmd: agent_events.StartRun) -> None:
        self.started.append(cmd.run_id)
        position = len(cmd.forced_prefix)
        self.blocks[cmd.run_id] = (cmd.max_tokens, cmd.run_id)
        self.runs[cmd.run_id] = [cmd, position]

    def end(self, run_id: str) -> None:
        self.runs.pop(run_id, None)
        self.blocks.pop(run_id, None)

    def crash(self) -> list[agent_events.Event]:
        """Loses all runs and memory, as at a restart; open streams fail."""
        failed: list[agent_events.Event] = [
            agent_events.RunFailed(run_id, "upstream_failed")
            for run_id in self.runs
        ]
        self.runs.clear()
        self.blocks.clear()
        return failed

    def produce_events(self) -> list[agent_events.Event]:
        events: list[agent_events.Event] = []
        if self.frozen:
            return events
        for run_id, run in list(self.runs.items()):
            cmd, position = run
            answer = expected_tokens(cmd.body, cmd.max_tokens)
            stop = min(position + self.tokens_per_tick, cmd.max_tokens)
            events.append(
                agent_events.RunTokens(
                    run_id, position, answer[position:stop], 0
                )
            )
            run[1] = stop
            if stop == cmd.max_tokens:
                events.append(agent_events.RunFinished(run_id, stop))
                self.end(run_id)
        return events

    def allocate(self, cmd: agent_events.Allocate) -> list[agent_events.Event]:
        blocks = -(-cmd.tokens // BLOCK_TOKENS)
        self.blocks[cmd.allocation] = (blocks, "")
        return [agent_events.AllocationAnswer(cmd.allocation, True, "")]

    def order(self, cmd: agent_events.SendOrder) -> list[agent_events.Event]:
        if cmd.fence < self.fence and not self.ignores_fence:
            return [agent_events.OrderAnswer(cmd.fence, 409)]
        self.orders.append(cmd)
        self.fence = max(self.fence, cmd.fence)
        self.config = agent_events.EngineConfig(
            cmd.model, cmd.versions, cmd.adapters, cmd.role
        )
        return [agent_events.OrderAnswer(cmd.fence, 200)]

    def load(self) -> agent_events.EngineLoad:
        free = self.total_blocks - self.used_blocks()
        return agent_events.EngineLoad(
            len(self.runs), 0, 0, self.total_blocks, free, 0.0
        )

    def list_allocations(self) -> agent_events.AllocationList:
        return agent_events.AllocationList(
            [
                agent_events.AllocationRow(name, blocks, req_id)
                for name, (blocks, req_id) in self.blocks.items()
            ]
        )


class FakeLog:
    """Append-only call stream."""

    def __init__(self) -> None:
        self.records: list[call_log.CallRecord] = []
        self.first = 1
        self.down = False
        self.loses_answers = False

    def append(self, data: str) -> int:
        offset = self.first + len(self.records)
        self.records.append(call_log.CallRecord(offset, data))
        return offset

    def append_refusal(self, key_id: str) -> None:
        entry = call_log.CallEntry(call_log.EntryKind.REFUSAL, key_id)
        self.append(call_log.encode([entry]))

    def expire_records(self) -> None:
        """Removes all records, as the end of their retention does."""
        self.first += len(self.records)
        self.records.clear()


class FakeService:
    """Plain service that records its side effects."""

    def __init__(self) -> None:
        self.effects: list[str] = []
        self.mode = "answer"
        self.held_answers: list[agent_events.Event] = []

    def call(self, cmd: agent_events.CallService) -> list[agent_events.Event]:
        if self.mode == "unreachable":
            return [agent_events.ServiceFailed(cmd.call_id, "refused", False)]
        self.effects.append(cmd.call_id)
        answer = agent_events.ServiceAnswer(cmd.call_id, 200, [], b"booked")
        if self.mode == "hold":
            self.held_answers.append(answer)
            return []
        if self.mode == "lose_answer":
            return [agent_events.ServiceFailed(cmd.call_id, "reset", True)]
        return [answer]
