"""HTTP client of an engine: commands in, events out.

Invariants: every StartRun ends in exactly one RunDone or RunFailed; a command
whose answer is awaited by the step always gets an event, also when the engine
is silent.
"""

import urllib.parse
from collections.abc import Callable, Coroutine
from types import TracebackType
from typing import Any, Final, Self, TypeVar

import msgspec
import pycurl
from tornado import httpclient

from apricottrestle import agent_events, agent_upstream, errors, messages

POLL_TIMEOUT_S: Final = 1.5
CONTROL_TIMEOUT_S: Final = 3.0
ORDER_TIMEOUT_S: Final = 2.0
_MAX_CONTROLS: Final = 16
_JSON: Final = {"Content-Type": "application/json"}
_PEER: Final = "engine"
_FETCH_ERRORS: Final = (
    httpclient.HTTPError,
    OSError,
    ValueError,
    pycurl.error,
)

_T = TypeVar("_T")


class _StreamEvent(msgspec.Struct):
    """Any data line of a completion stream."""

    offset: int = 0
    tokens: list[int] = []
    reused: int = 0
    done: bool = False
    count: int = 0
    error: str = ""


class _Load(msgspec.Struct):
    running: int
    waiting: int
    prefill_tokens_left: int
    kv_blocks_total: int
    kv_blocks_free: int
    age_ms: int
    block_tokens: int = 0


class _Allocation(msgspec.Struct):
    id: str
    blocks: int
    request_id: str = ""


class _Config(msgspec.Struct):
    model: str = ""
    versions: list[str] = []
    adapters: list[str] = []
    role: str = ""


class _CacheEvent(msgspec.Struct):
    seq: int
    added: list[int]
    removed: list[int]


class _Cache(msgspec.Struct):
    next: int
    full: bool
    events: list[_CacheEvent]


class _Exported(msgspec.Struct):
    handle: str


class CompletionStreamParser:
    """Splits server-sent events into decoded data lines.

    Attributes:
        ended: True once the last event, `done` or an error, has arrived.
    """

    def __init__(self, run_id: str) -> None:
        """Starts before the first byte of a run's answer."""
        self._run_id = run_id
        self._rest = b""
        self.ended = False

    def feed(self, data: bytes) -> list[agent_events.Event]:
        """Returns the events of complete lines; after the end there are none.

        Raises:
            UpstreamError: A data line breaks the protocol.
        """
        *lines, self._rest = (self._rest + data).split(b"\n")
        events: list[agent_events.Event] = []
        for line in lines:
            value = line.strip().removeprefix(b"data:").strip()
            is_data = line.startswith(b"data:") and value != b"[DONE]"
            if is_data and not self.ended:
                events.append(self._decode(value))
        return events

    def _decode(self, value: bytes) -> agent_events.Event:
        got = _decode(value, _StreamEvent, "stream")
        if got.error:
            self.ended = True
            return agent_events.RunFailed(self._run_id, "upstream_failed")
        if got.done:
            self.ended = True
            return agent_events.RunDone(self._run_id, got.count)
        return agent_events.RunTokens(
            self._run_id, got.offset, got.tokens, got.reused
        )


class EngineClient(agent_upstream.UpstreamClient):
    """Runs engine commands; completions have an HTTP client of their own."""

    def __init__(self, url: str, slots: int, emit: agent_upstream.Emit) -> None:
        """Prepares the client; see UpstreamClient."""
        super().__init__(url, slots, emit)
        self._polling: set[type] = set()
        self._cancelled: set[str] = set()
        self._running: set[str] = set()

    def __enter__(self) -> Self:
        """Opens the HTTP clients; runs on the event loop."""
        self._controls = agent_upstream.new_client(_MAX_CONTROLS)
        return super().__enter__()

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Ends all tasks and closes the HTTP clients."""
        super().__exit__(exc_type, exc, traceback)
        self._controls.close()

    def _work(
        self, cmd: agent_events.Command
    ) -> Coroutine[Any, Any, None] | None:
        match cmd:
            case agent_events.StartRun():
                return self._run(cmd)
            case agent_events.CancelRun():
                return self._cancel(cmd.run_id)
            case agent_events.Allocate():
                return self._allocate(cmd)
            case agent_events.RenewAllocation():
                body = {"id": cmd.allocation, "lease_ms": cmd.lease_ms}
                return self._tell("POST", "/allocations/renew", body)
            case agent_events.FreeAllocation():
                return self._tell("DELETE", _allocation_path(cmd.allocation))
            case agent_events.ExportKv():
                return self._export(cmd)
            case agent_events.FreeExport():
                handle = urllib.parse.quote(cmd.handle, safe="")
                return self._tell("DELETE", f"/kv/export/{handle}")
            case agent_events.SendOrder():
                return self._order(cmd)
            case _:
                return self._poll(cmd)

    def _poll(
        self, cmd: agent_events.Command
    ) -> Coroutine[Any, Any, None] | None:
        match cmd:
            case agent_events.PollLoad():
                return self._once(cmd, self._load())
            case agent_events.PollAllocations():
                return self._once(cmd, self._allocations())
            case agent_events.PollConfig():
                return self._once(cmd, self._config())
            case agent_events.PollCache():
                return self._once(cmd, self._cache(cmd.after))
        return None

    async def _once(
        self,
        cmd: agent_events.Command,
        work: Coroutine[Any, Any, agent_events.Event],
    ) -> None:
        """Polls unless the last poll of the kind is still open."""
        kind = type(cmd)
        if kind in self._polling:
            work.close()
            return
        self._polling.add(kind)
        try:
            event = await work
        except errors.UpstreamError as exc:
            event = agent_events.EngineUnreachable(exc.message)
        finally:
            self._polling.discard(kind)
        # Only the load poll, which runs each second, counts failures.
        failed = isinstance(event, agent_events.EngineUnreachable)
        if not failed or kind is agent_events.PollLoad:
            self._emit(event)

    async def _load(self) -> agent_events.Event:
        got = _decode(await self._get("/load"), _Load, "load")
        return agent_events.EngineLoad(
            got.running,
            got.waiting,
            got.prefill_tokens_left,
            got.kv_blocks_total,
            got.kv_blocks_free,
            got.age_ms / 1000,
            got.block_tokens,
        )

    async def _allocations(self) -> agent_events.Event:
        body = await self._get("/allocations")
        rows = _decode(body, list[_Allocation], "allocations")
        return agent_events.AllocationList(
            [
                agent_events.AllocationRow(row.id, row.blocks, row.request_id)
                for row in rows
            ]
        )

    async def _config(self) -> agent_events.Event:
        got = _decode(await self._get("/config"), _Config, "confirm")
        return agent_events.EngineConfig(
            got.model, got.versions, got.adapters, got.role
        )

    async def _cache(self, after: int) -> agent_events.Event:
        body = await self._get(f"/cache_events?after={after}")
        got = _decode(body, _Cache, "cache")
        events = [
            agent_events.CacheEvent(row.seq, row.added, row.removed)
            for row in got.events
        ]
        return agent_events.CacheEvents(got.next, got.full, events)

    async def _run(self, cmd: agent_events.StartRun) -> None:
        """Runs a completion to its end and reports it exactly once."""
        stream = CompletionStreamParser(cmd.run_id)
        self._running.add(cmd.run_id)
        try:
            if cmd.kv is not None:
                await self._import(cmd, cmd.kv)
            if cmd.run_id not in self._cancelled:
                await self._stream(cmd, stream)
            reason = "upstream_cut"
        except errors.UpstreamError as exc:
            reason = exc.message
        finally:
            self._running.discard(cmd.run_id)
            self._cancelled.discard(cmd.run_id)
        if not stream.ended:
            self._emit(agent_events.RunFailed(cmd.run_id, reason))

    async def _stream(
        self, cmd: agent_events.StartRun, stream: CompletionStreamParser
    ) -> None:
        broken: list[errors.UpstreamError] = []

        def on_data(data: bytes) -> None:
            if broken:
                return
            try:
                events = stream.feed(data)
            except errors.UpstreamError as exc:
                broken.append(exc)
                return
            if cmd.run_id in self._cancelled:
                # The cancel may have overtaken the start of the run.
                self._cancelled.discard(cmd.run_id)
                self.execute(agent_events.CancelRun(cmd.run_id))
            for event in events:
                self._emit(event)

        timeout_s = cmd.lease_ms / 1000
        await self._fetch(
            "POST",
            "/v1/completions",
            _completion(cmd),
            timeout_s,
            on_data=on_data,
        )
        if broken:
            raise broken[0]

    async def _import(
        self, cmd: agent_events.StartRun, kv: messages.KvHandle
    ) -> None:
        """Imports the KV cache; without it the engine computes it anew."""
        body = {
            "url": kv.engine_url,
            "handle": kv.handle,
            "request_id": cmd.run_id,
        }
        await self._tell("POST", "/kv/import", body)

    async def _cancel(self, run_id: str) -> None:
        if run_id in self._running:
            self._cancelled.add(run_id)
        await self._tell("POST", "/cancel", {"request_id": run_id})

    async def _allocate(self, cmd: agent_events.Allocate) -> None:
        body = {
            "id": cmd.allocation,
            "tokens": cmd.tokens,
            "lease_ms": cmd.lease_ms,
        }
        granted, reason = True, ""
        try:
            await self._fetch("POST", "/allocations", body)
        except errors.UpstreamError as exc:
            granted, reason = False, exc.message
        self._emit(
            agent_events.AllocationAnswer(cmd.allocation, granted, reason)
        )

    async def _export(self, cmd: agent_events.ExportKv) -> None:
        body = {"request_id": cmd.run_id, "lease_ms": cmd.lease_ms}
        handle = ""
        try:
            answer = await self._fetch("POST", "/kv/export", body)
            handle = _decode(answer, _Exported, "drain").handle
        except errors.UpstreamError:
            pass
        self._emit(agent_events.KvExported(cmd.run_id, handle))

    async def _order(self, cmd: agent_events.SendOrder) -> None:
        status = 200
        try:
            await self._fetch("POST", "/orders", cmd._asdict(), ORDER_TIMEOUT_S)
        except errors.UpstreamError as exc:
            status = 409 if exc.message == "upstream_409" else 0
        self._emit(agent_events.OrderAnswer(cmd.fence, status))

    async def _tell(
        self, method: str, path: str, body: object | None = None
    ) -> None:
        """Sends a command whose loss reconciliation makes good."""
        try:
            await self._fetch(method, path, body)
        except errors.UpstreamError:
            return

    async def _get(self, path: str) -> bytes:
        return await self._fetch("GET", path, None, POLL_TIMEOUT_S)

    async def _fetch(
        self,
        method: str,
        path: str,
        body: object | None,
        timeout_s: float = CONTROL_TIMEOUT_S,
        *,
        on_data: Callable[[bytes], None] | None = None,
    ) -> bytes:
        fresh = agent_upstream.fresh_connection if body else None
        req = httpclient.HTTPRequest(
            self._url + path,
            method=method,
            body=msgspec.json.encode(body) if body is not None else None,
            headers=_JSON if body is not None else None,
            connect_timeout=agent_upstream.CONNECT_TIMEOUT_S,
            request_timeout=timeout_s,
            follow_redirects=False,
            streaming_callback=on_data,
            prepare_curl_callback=fresh,
        )
        client = self._controls if on_data is None else self._client
        try:
            answer = await client.fetch(req, raise_error=False)
        except _FETCH_ERRORS as exc:
            raise errors.UpstreamError(
                "upstream_unreachable", step="upstream", peer=_PEER
            ) from exc
        if not 200 <= answer.code < 300:
            raise errors.UpstreamError(
                f"upstream_{answer.code}", step="upstream", peer=_PEER
            )
        return answer.body


def _allocation_path(allocation: str) -> str:
    return f"/allocations/{urllib.parse.quote(allocation, safe='')}"


def _completion(cmd: agent_events.StartRun) -> dict[str, object]:
    try:
        prompt = msgspec.msgpack.decode(cmd.body, type=str | list[int])
    except msgspec.DecodeError as exc:
        raise errors.UpstreamError(
            "bad_prompt", step="start", peer=_PEER
        ) from exc
    return {
        "prompt": prompt,
        "max_tokens": cmd.max_tokens,
        "stream": True,
        "priority": cmd.priority,
        "request_id": cmd.run_id,
        "lease_ms": cmd.lease_ms,
        "forced_prefix": cmd.forced_prefix,
        "group": [
            {"url": member.engine_url, "allocation": member.allocation}
            for member in cmd.group
        ],
        "version": cmd.version,
        "adapter": cmd.adapter,
    }


def _decode(body: bytes, kind: type[_T], step: str) -> _T:
    try:
        return msgspec.json.decode(body, type=kind)
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        raise errors.UpstreamError(
            "upstream_protocol", step=step, peer=_PEER
        ) from exc
