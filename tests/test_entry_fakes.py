"""Fake agents and an in-memory log for tests of the entry's step.

Each fake agent records what its upstream did: starts, calls and reservations.
Tests compare the responses to callers with these records, which are independent
of the code under test.
"""

import hashlib
from typing import Any

import xxhash

from apricottrestle import (
    call_keys,
    call_log,
    config_state,
    errors,
    hashing,
    messages,
    platform_log,
)

SECRET = b"s" * 16
DT_S = 0.05
TOKENS_PER_TICK = 2
CONFIG = config_state.ConfigState(
    revision=1,
    note_id="n1",
    models={"m": config_state.ModelSpec("m", "v1")},
    services={"svc": config_state.ServiceSpec("svc", ("POST /orders",))},
    teams={
        "t": config_state.TeamSpec(
            "t",
            (hashlib.sha256(b"key").hexdigest(),),
            1.0,
            ("urgent", "standard"),
        )
    },
)


def expected_token(body: bytes, index: int) -> int:
    """Returns token `index` of the only correct answer to a prompt."""
    return int(xxhash.xxh32_intdigest(body + index.to_bytes(4, "big")))


def expected_tokens(body: bytes, count: int) -> list[int]:
    return [expected_token(body, index) for index in range(count)]


class FakeLog(platform_log.LogService):
    """In-memory log with outages, lost append replies and retention."""

    def __init__(self) -> None:
        self.streams: dict[str, list[platform_log.LogRecord]] = {}
        self.first: dict[str, int] = {}
        self.down = False
        self.lose_append_replies = False

    async def append(self, stream: str, record_id: str, data: str) -> int:
        if self.down:
            raise errors.PlatformError("down", step="append", peer="log")
        offset = self.store_record(stream, record_id, data)
        if self.lose_append_replies:
            raise errors.AppendUnknownError("lost", step="append", peer="log")
        return offset

    async def read(
        self, stream: str, after: int, limit: int
    ) -> platform_log.ReadResult:
        if self.down:
            raise errors.PlatformError("down", step="read", peer="log")
        records = self.streams.get(stream, [])
        first = self.first.get(stream, 1)
        # Pages are shorter than requested, as a log may limit them.
        page = [r for r in records if r.offset > after and r.offset >= first]
        return platform_log.ReadResult(
            first, len(records) + 1, page[: min(limit, 2)]
        )

    def append_entry(self, stream: str, entry: call_log.CallEntry) -> None:
        self.store_record(stream, "put", call_log.encode([entry]))

    def store_record(self, stream: str, record_id: str, data: str) -> int:
        records = self.streams.setdefault(stream, [])
        offset = len(records) + 1
        records.append(platform_log.LogRecord(offset, 0.0, record_id, data))
        return offset


class Stream:
    """A generation at a fake agent."""

    def __init__(self, msg: messages.Submit, body: bytes, conn: Any) -> None:
        self.msg = msg
        self.body = body
        self.conn = conn
        self.tokens = list(msg.forced_prefix)
        self.sent = len(self.tokens)
        self.credit = msg.credit_tokens
        self.running = False
        self.finished = False


class FakeAgent:
    """A fake agent with its upstream and the records of what it did.

    Attributes:
        starts: (request id, attempt) for each start at the engine.
        ran: Key, or request id without a key, of each call that was run.
        reserved: Tokens reserved per group id, in order of reservation.
        refusal_reason: Reason to refuse submits and reservations, or "".
        generation_paused: True to generate no tokens.
        withhold_results: True to run calls without sending their results;
            queries are answered with "running".
        drop_results: True to lose the results of submits; queries are
            answered.
        log_available: False to issue keys for calls without log records.
        frozen: True to handle no message until `unfreeze`.
        reserve_requests: Group ids of all Reserve messages received.
    """

    def __init__(self, world: Any, agent_id: str, upstream: str) -> None:
        self.world = world
        self.agent_id = agent_id
        self.incarnation = f"{agent_id}-i1"
        self.upstream = upstream
        self.version = "v1" if upstream == "m" else ""
        self.kv_tokens = 1000
        self.alive = True
        self.tokens_per_tick = TOKENS_PER_TICK
        self.frozen = False
        self.draining = False
        self.refusal_reason = ""
        self.generation_paused = False
        self.withhold_results = False
        self.drop_results = False
        self.config_rev = 1
        self.streams: dict[str, Stream] = {}
        self.inbox: list[tuple[Any, messages.Message, bytes]] = []
        self.starts: list[tuple[str, int]] = []
        self.submits: list[tuple[str, int]] = []
        self.cancels: list[str] = []
        self.ran: list[str] = []
        self.results: dict[str, messages.CallResult] = {}
        self.reserved: dict[str, int] = {}
        self.released: set[str] = set()
        self.reserve_requests: list[str] = []
        self.pings: list[messages.Ping] = []
        self.next_seq = 1
        self.log_available = True
        self.config_requests: list[int] = []
        self.config_updates: list[messages.ConfigUpdate] = []

    def restart(self) -> None:
        number = int(self.incarnation.rpartition("i")[2]) + 1
        self.incarnation = f"{self.agent_id}-i{number}"
        self.streams.clear()
        self.results.clear()
        self.inbox.clear()
        self.alive = True
        self.draining = False

    def load_report(self) -> messages.LoadReport:
        return messages.LoadReport(
            self.upstream,
            "engine" if self.upstream == "m" else "service",
            self.version,
            [],
            self.draining,
            [0, 0, 0],
            len(self.streams),
            0,
            self.kv_tokens,
            self.kv_tokens,
            100_000.0,
            len(self.submits),
        )

    def send(self, conn: Any, msg: messages.Message, body: bytes = b"") -> None:
        self.world.to_entry(self, conn, msg, body)

    def receive(self, conn: Any, msg: messages.Message, body: bytes) -> None:
        if not self.alive:
            return
        if self.frozen:
            self.inbox.append((conn, msg, body))
            return
        handler = getattr(self, f"on_{type(msg).__name__.lower()}", None)
        if handler is not None:
            handler(conn, msg, body)

    def unfreeze(self) -> None:
        self.frozen = False
        inbox, self.inbox = self.inbox, []
        for conn, msg, body in inbox:
            self.receive(conn, msg, body)

    def on_hello(self, conn: Any, msg: messages.Hello, body: bytes) -> None:
        reply = messages.HelloReply(self.agent_id, "dc", self.load_report())
        self.send(conn, reply)

    def on_ping(self, conn: Any, msg: messages.Ping, body: bytes) -> None:
        self.pings.append(msg)
        if msg.drain:
            self.drain(conn)
        self.send(conn, messages.Pong(msg.seq, self.load_report()))

    def drain(self, conn: Any) -> None:
        if not self.draining:
            self.draining = True
            self.send(conn, messages.Draining(30_000))

    def on_submit(self, conn: Any, msg: messages.Submit, body: bytes) -> None:
        self.submits.append((msg.req_id, msg.attempt))
        reason = "draining" if self.draining else self.refusal_reason
        if reason:
            refused = messages.Refused(msg.req_id, msg.attempt, reason, 2000)
            self.send(conn, refused)
            return
        if msg.body_bytes > messages.INLINE_BODY_BYTES:
            self.send(conn, messages.BodyCredit(msg.req_id, msg.attempt, 2))
        self.streams[msg.req_id] = Stream(msg, body, conn)
        accepted = messages.Accepted(msg.req_id, msg.attempt, msg.group)
        self.send(conn, accepted)

    def on_bodychunk(
        self, conn: Any, msg: messages.BodyChunk, body: bytes
    ) -> None:
        stream = self.streams[msg.req_id]
        stream.body += body
        credit = messages.BodyCredit(msg.req_id, msg.attempt, msg.chunk + 3)
        self.send(stream.conn, credit)

    def on_attach(self, conn: Any, msg: messages.Attach, body: bytes) -> None:
        stream = self.streams.get(msg.req_id)
        if stream is None or msg.offset > len(stream.tokens):
            self.send(conn, messages.Failed(msg.req_id, 0, "unknown_stream"))
            return
        stream.conn = conn
        stream.sent = msg.offset
        stream.credit = msg.offset + msg.credit_tokens
        stream.finished = False
        accepted = messages.Accepted(
            msg.req_id, stream.msg.attempt, stream.msg.group
        )
        self.send(conn, accepted)

    def on_credit(self, conn: Any, msg: messages.Credit, body: bytes) -> None:
        stream = self.streams.get(msg.req_id)
        if stream is not None:
            stream.credit = max(stream.credit, msg.upto)

    def on_cancel(self, conn: Any, msg: messages.Cancel, body: bytes) -> None:
        self.cancels.append(msg.req_id)
        stream = self.streams.get(msg.req_id)
        if stream is not None and stream.msg.attempt == msg.attempt:
            del self.streams[msg.req_id]

    def on_reserve(self, conn: Any, msg: messages.Reserve, body: bytes) -> None:
        self.reserve_requests.append(msg.group_id)
        if msg.group_id in self.released:
            self.send(conn, messages.Reserved(msg.group_id, "", "", "ended"))
            return
        if self.refusal_reason or self.draining:
            reason = self.refusal_reason or "draining"
            self.send(conn, messages.Reserved(msg.group_id, "", "", reason))
            return
        self.reserved[msg.group_id] = msg.tokens
        name = f"alloc-{self.agent_id}"
        url = f"http://{self.agent_id}"
        self.send(conn, messages.Reserved(msg.group_id, name, url, ""))

    def on_renew(self, conn: Any, msg: messages.Renew, body: bytes) -> None:
        if msg.group_id not in self.reserved:
            self.send(conn, messages.Reserved(msg.group_id, "", "", "lapsed"))

    def on_release(self, conn: Any, msg: messages.Release, body: bytes) -> None:
        self.released.add(msg.group_id)
        self.reserved.pop(msg.group_id, None)

    def on_keyrequest(
        self, conn: Any, msg: messages.KeyRequest, body: bytes
    ) -> None:
        keys = [] if self.draining else [self.issue()]
        self.send(conn, messages.KeyIssued(msg.req_id, keys))

    def issue(self) -> str:
        stream = self.world.log.streams.get(f"calls/{self.agent_id}", [])
        key = call_keys.IssuedKey(
            self.upstream,
            self.agent_id,
            self.incarnation,
            self.next_seq,
            len(stream),
            self.log_available,
        )
        self.next_seq += 1
        return call_keys.issue(key, SECRET)

    def on_callsubmit(
        self, conn: Any, msg: messages.CallSubmit, body: bytes
    ) -> None:
        name = msg.key or msg.req_id
        if name not in self.results:
            self.results[name] = self.run_call(name, msg)
        if self.withhold_results or self.drop_results:
            return
        self.send(conn, self.results[name]._replace(req_id=msg.req_id), b"ok")

    def run_call(
        self, name: str, msg: messages.CallSubmit
    ) -> messages.CallResult:
        def result(outcome: str, reason: str) -> messages.CallResult:
            status = 200 if outcome == "completed" else 0
            return messages.CallResult(
                msg.req_id, msg.key, outcome, status, [], reason
            )

        if self.draining:
            return result("not_run", "draining")
        if not msg.key:
            self.ran.append(name)
            return result("completed", "")
        key = call_keys.parse(msg.key, SECRET)
        if key.incarnation != self.incarnation:
            return result("unknown", "incarnation_gone")
        if key.logged and not self.log_intent(key):
            return result("not_run", "refused_on_log")
        self.ran.append(name)
        return result("completed", "")

    def log_intent(self, key: call_keys.IssuedKey) -> bool:
        """Appends an intent; returns True if no refusal precedes it."""
        if self.world.log.down:
            return False
        log = self.world.log
        name = call_log.key_id(key)
        stream = f"calls/{self.agent_id}"
        log.append_entry(
            stream, call_log.CallEntry(call_log.EntryKind.INTENT, name)
        )
        records = [
            call_log.CallRecord(r.offset, r.data) for r in log.streams[stream]
        ]
        refused = call_log.refused_seqs_before(
            records, len(records), key.incarnation
        )
        return key.seq not in refused

    def on_callquery(
        self, conn: Any, msg: messages.CallQuery, body: bytes
    ) -> None:
        known = self.results.get(msg.key)
        if known is None:
            known = messages.CallResult(
                msg.req_id, msg.key, "not_run", 0, [], "not_submitted"
            )
            self.results[msg.key] = known
        if self.withhold_results:
            known = known._replace(outcome="running")
        self.send(conn, known._replace(req_id=msg.req_id), b"ok")

    def on_configrequest(
        self, conn: Any, msg: messages.ConfigRequest, body: bytes
    ) -> None:
        self.config_requests.append(msg.after)
        self.send(conn, self.world.update_for(msg.after))

    def on_configupdate(
        self, conn: Any, msg: messages.ConfigUpdate, body: bytes
    ) -> None:
        self.config_updates.append(msg)

    def tick(self) -> None:
        """Generates and sends a few tokens of each stream."""
        if not self.alive or self.frozen or self.generation_paused:
            return
        for stream in list(self.streams.values()):
            self._advance(stream)

    def _advance(self, stream: Stream) -> None:
        msg = stream.msg
        if len(stream.body) < msg.body_bytes:
            return
        if not stream.running:
            stream.running = True
            self.starts.append((msg.req_id, msg.attempt))
        upto = min(len(stream.tokens) + self.tokens_per_tick, msg.max_tokens)
        for index in range(len(stream.tokens), upto):
            stream.tokens.append(expected_token(stream.body, index))
        stop = min(len(stream.tokens), stream.credit)
        if stream.sent < stop:
            piece = stream.tokens[stream.sent : stop]
            self.send(
                stream.conn,
                messages.Tokens(msg.req_id, msg.attempt, stream.sent, piece),
            )
            stream.sent = stop
        if stream.sent == msg.max_tokens and not stream.finished:
            stream.finished = True
            self.send(stream.conn, self.finished(stream))

    def finished(self, stream: Stream) -> messages.Finished:
        digest = hashing.StreamDigest()
        digest.update(stream.tokens)
        return messages.Finished(
            stream.msg.req_id,
            stream.msg.attempt,
            len(stream.tokens),
            digest.hexdigest(),
            0,
            "length",
        )

    def fail_streams(self, reason: str = "engine_down") -> None:
        """Fails all running streams, as after a crash of the engine."""
        for stream in [s for s in self.streams.values() if s.running]:
            msg = stream.msg
            del self.streams[msg.req_id]
            self.send(
                stream.conn, messages.Failed(msg.req_id, msg.attempt, reason)
            )

    def hand_back_streams(self) -> None:
        """Returns all streams to the entry, as at the end of a drain."""
        for stream in list(self.streams.values()):
            msg = stream.msg
            del self.streams[msg.req_id]
            moved = messages.Moved(msg.req_id, msg.attempt, stream.sent, None)
            self.send(stream.conn, moved)
