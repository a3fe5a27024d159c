"""HTTP client of an engine: executes commands and emits events.

Invariants: every StartRun ends in exactly one RunFinished or RunFailed; every
command whose answer the step waits for ends in an event, even if the engine
never answers.
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
_JSON: Final = {"Content-Type": "application/json"}
_PEER: Final = "engine"
_FETCH_ERRORS: Final = (
    httpclient.HTTPError,
    OSError,
    ValueError,
    pycurl.error,
)

_T = TypeVar("_T")


class _DataLine(msgspec.Struct):
    """A data line of a completion stream; absent fields keep their default."""

    offset: int = 0
    tokens: list[int] = []
    reused: int = 0
    done: bool = False
    count: int = 0
    error: str = ""


class _LoadResponse(msgspec.Struct):
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


class _ConfigResponse(msgspec.Struct):
    model: str = ""
    versions: list[str] = []
    adapters: list[str] = []
    role: str = ""


class _CacheEvent(msgspec.Struct):
    seq: int
    added: list[int]
    removed: list[int]


class _CacheResponse(msgspec.Struct):
    next: int
    full: bool
    events: list[_CacheEvent]


class _ExportResponse(msgspec.Struct):
    handle: str


class CompletionStreamParser:
    """Parses the server-sent events of a completion.

    Attributes:
        ended: True once `done` or an error has been parsed.
    """

    def __init__(self, run_id: str) -> None:
        """Creates a parser for the response of run `run_id`."""
        self._run_id = run_id
        self._partial_line = b""
        self.ended = False

    def feed(self, data: bytes) -> list[agent_events.Event]:
        """Returns the events of the lines that `data` completes.

        Lines after `done` or an error are ignored.

        Raises:
            UpstreamError: A data line is malformed.
        """
        *lines, self._partial_line = (self._partial_line + data).split(b"\n")
        events: list[agent_events.Event] = []
        for line in lines:
            value = line.strip().removeprefix(b"data:").strip()
            is_data = line.startswith(b"data:") and value != b"[DONE]"
            if is_data and not self.ended:
                events.append(self._parse(value))
        return events

    def _parse(self, value: bytes) -> agent_events.Event:
        line = _decode(value, _DataLine, "stream")
        if line.error:
            self.ended = True
            return agent_events.RunFailed(self._run_id, "upstream_failed")
        if line.done:
            self.ended = True
            return agent_events.RunFinished(self._run_id, line.count)
        return agent_events.RunTokens(
            self._run_id, line.offset, line.tokens, line.reused
        )


class EngineClient(agent_upstream.UpstreamClient):
    """Executes engine commands.

    Completions have an HTTP client of their own, so that they never delay polls
    and control requests.
    """

    def __init__(self, url: str, emit: agent_upstream.EventSink) -> None:
        """Creates the client; see UpstreamClient."""
        super().__init__(url, emit)
        self._open_polls: set[type] = set()
        self._cancelled_ids: set[str] = set()
        self._running_ids: set[str] = set()

    def __enter__(self) -> Self:
        """Opens the HTTP clients; must run on the event loop."""
        self._control_client = agent_upstream.new_http_client()
        return super().__enter__()

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Cancels all tasks and closes the HTTP clients."""
        super().__exit__(exc_type, exc, traceback)
        self._control_client.close()

    def _make_coroutine(
        self, cmd: agent_events.Command
    ) -> Coroutine[Any, Any, None] | None:
        match cmd:
            case agent_events.StartRun():
                return self._run_completion(cmd)
            case agent_events.CancelRun():
                return self._cancel(cmd.run_id)
            case agent_events.Allocate():
                return self._allocate(cmd)
            case agent_events.RenewAllocation():
                body = {"id": cmd.allocation, "lease_ms": cmd.lease_ms}
                return self._send_best_effort(
                    "POST", "/allocations/renew", body
                )
            case agent_events.FreeAllocation():
                return self._send_best_effort(
                    "DELETE", _allocation_path(cmd.allocation)
                )
            case agent_events.ExportKv():
                return self._export_kv(cmd)
            case agent_events.FreeExport():
                handle = urllib.parse.quote(cmd.handle, safe="")
                return self._send_best_effort("DELETE", f"/kv/export/{handle}")
            case agent_events.SendOrder():
                return self._send_order(cmd)
            case _:
                return self._poll(cmd)

    def _poll(
        self, cmd: agent_events.Command
    ) -> Coroutine[Any, Any, None] | None:
        match cmd:
            case agent_events.PollLoad():
                return self._poll_exclusively(cmd, self._fetch_load())
            case agent_events.PollAllocations():
                return self._poll_exclusively(cmd, self._fetch_allocations())
            case agent_events.PollConfig():
                return self._poll_exclusively(cmd, self._fetch_config())
            case agent_events.PollCache():
                return self._poll_exclusively(
                    cmd, self._fetch_cache_events(cmd.after_seq)
                )
        return None

    async def _poll_exclusively(
        self,
        cmd: agent_events.Command,
        request: Coroutine[Any, Any, agent_events.Event],
    ) -> None:
        """Polls unless a poll of the same type is still under way."""
        poll_type = type(cmd)
        if poll_type in self._open_polls:
            request.close()
            return
        self._open_polls.add(poll_type)
        try:
            event = await request
        except errors.UpstreamError as exc:
            event = agent_events.EnginePollFailed(exc.message)
        finally:
            self._open_polls.discard(poll_type)
        # Only the load poll, which runs each second, reports failures, because
        # the step counts them.
        failed = isinstance(event, agent_events.EnginePollFailed)
        if not failed or poll_type is agent_events.PollLoad:
            self._emit(event)

    async def _fetch_load(self) -> agent_events.Event:
        load = _decode(await self._get("/load"), _LoadResponse, "load")
        return agent_events.EngineLoad(
            load.running,
            load.waiting,
            load.prefill_tokens_left,
            load.kv_blocks_total,
            load.kv_blocks_free,
            load.age_ms / 1000,
            load.block_tokens,
        )

    async def _fetch_allocations(self) -> agent_events.Event:
        body = await self._get("/allocations")
        rows = _decode(body, list[_Allocation], "allocations")
        return agent_events.AllocationList(
            [
                agent_events.AllocationRow(row.id, row.blocks, row.request_id)
                for row in rows
            ]
        )

    async def _fetch_config(self) -> agent_events.Event:
        config = _decode(await self._get("/config"), _ConfigResponse, "confirm")
        return agent_events.EngineConfig(
            config.model, config.versions, config.adapters, config.role
        )

    async def _fetch_cache_events(self, after: int) -> agent_events.Event:
        body = await self._get(f"/cache_events?after={after}")
        cache = _decode(body, _CacheResponse, "cache")
        events = [
            agent_events.CacheEvent(row.seq, row.added, row.removed)
            for row in cache.events
        ]
        return agent_events.CacheEvents(cache.next, cache.full, events)

    async def _run_completion(self, cmd: agent_events.StartRun) -> None:
        """Runs a completion and emits exactly one event for its end."""
        stream = CompletionStreamParser(cmd.run_id)
        self._running_ids.add(cmd.run_id)
        try:
            if cmd.kv is not None:
                await self._import_kv(cmd, cmd.kv)
            if cmd.run_id not in self._cancelled_ids:
                await self._stream_completion(cmd, stream)
            reason = "upstream_cut"
        except errors.UpstreamError as exc:
            reason = exc.message
        finally:
            self._running_ids.discard(cmd.run_id)
            self._cancelled_ids.discard(cmd.run_id)
        if not stream.ended:
            self._emit(agent_events.RunFailed(cmd.run_id, reason))

    async def _stream_completion(
        self, cmd: agent_events.StartRun, stream: CompletionStreamParser
    ) -> None:
        protocol_errors: list[errors.UpstreamError] = []

        def on_data(data: bytes) -> None:
            if protocol_errors:
                return
            try:
                events = stream.feed(data)
            except errors.UpstreamError as exc:
                protocol_errors.append(exc)
                return
            if cmd.run_id in self._cancelled_ids:
                # The engine may have received the cancel before the run; in
                # that case the cancel had no effect, so it is repeated.
                self._cancelled_ids.discard(cmd.run_id)
                self.execute(agent_events.CancelRun(cmd.run_id))
            for event in events:
                self._emit(event)

        timeout_s = cmd.lease_ms / 1000
        await self._fetch(
            "POST",
            "/v1/completions",
            _completion_body(cmd),
            timeout_s,
            on_data=on_data,
        )
        if protocol_errors:
            raise protocol_errors[0]

    async def _import_kv(
        self, cmd: agent_events.StartRun, kv: messages.KvHandle
    ) -> None:
        """Imports the KV cache; if that fails, the engine recomputes it."""
        body = {
            "url": kv.engine_url,
            "handle": kv.handle,
            "request_id": cmd.run_id,
        }
        await self._send_best_effort("POST", "/kv/import", body)

    async def _cancel(self, run_id: str) -> None:
        if run_id in self._running_ids:
            self._cancelled_ids.add(run_id)
        await self._send_best_effort("POST", "/cancel", {"request_id": run_id})

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

    async def _export_kv(self, cmd: agent_events.ExportKv) -> None:
        body = {"request_id": cmd.run_id, "lease_ms": cmd.lease_ms}
        handle = ""
        try:
            response = await self._fetch("POST", "/kv/export", body)
            handle = _decode(response, _ExportResponse, "drain").handle
        except errors.UpstreamError:
            pass
        self._emit(agent_events.KvExported(cmd.run_id, handle))

    async def _send_order(self, cmd: agent_events.SendOrder) -> None:
        status = 200
        try:
            await self._fetch("POST", "/orders", cmd._asdict(), ORDER_TIMEOUT_S)
        except errors.UpstreamError as exc:
            status = 409 if exc.message == "upstream_409" else 0
        self._emit(agent_events.OrderAnswer(cmd.fence, status))

    async def _send_best_effort(
        self, method: str, path: str, body: object | None = None
    ) -> None:
        """Sends a request and ignores a failure.

        Reconciliation with the engine's state makes up for a lost request.
        """
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
        req = httpclient.HTTPRequest(
            self._url + path,
            method=method,
            body=msgspec.json.encode(body) if body is not None else None,
            headers=_JSON if body is not None else None,
            connect_timeout=agent_upstream.CONNECT_TIMEOUT_S,
            request_timeout=timeout_s,
            follow_redirects=False,
            streaming_callback=on_data,
            # Nothing in a report names its poll: one that is left on a kept
            # connection would answer the next poll.
            prepare_curl_callback=agent_upstream.disable_connection_reuse,
        )
        client = self._control_client if on_data is None else self._client
        try:
            response = await client.fetch(req, raise_error=False)
        except _FETCH_ERRORS as exc:
            raise errors.UpstreamError(
                "upstream_unreachable", step="upstream", peer=_PEER
            ) from exc
        if not 200 <= response.code < 300:
            raise errors.UpstreamError(
                f"upstream_{response.code}", step="upstream", peer=_PEER
            )
        return response.body


def _allocation_path(allocation: str) -> str:
    return f"/allocations/{urllib.parse.quote(allocation, safe='')}"


def _completion_body(cmd: agent_events.StartRun) -> dict[str, object]:
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


def _decode(body: bytes, type_: type[_T], step: str) -> _T:
    try:
        return msgspec.json.decode(body, type=type_)
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        raise errors.UpstreamError(
            "upstream_protocol", step=step, peer=_PEER
        ) from exc
