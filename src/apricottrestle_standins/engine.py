"""Model engine stand-in over HTTP; see "Upstream protocol" in docs/design.md.

Where the protocol is open, this engine behaves as follows:

- `max_tokens` and `count` include the forced prefix, and the first offset of a
  stream is the length of the forced prefix.
- The allocation of a completion has the request id as its id.
- An allocation that was reserved for a group is freed by its owner or at the
  end of its lease, not at the end of the completion that uses it.
"""

import asyncio
import time
import uuid
from typing import Any, Final

import msgspec
import tornado.httpclient
import tornado.ioloop
import tornado.iostream

from apricottrestle import hashing
from apricottrestle_standins import (
    engine_bodies,
    engine_core,
    engine_state,
    prefix_cache,
    web,
)

_TICK_INTERVAL_MS: Final = 5
_GROUP_CHECK_INTERVAL_S: Final = 0.25
_CALL_TIMEOUT_S: Final = 2.0
_UNLIMITED_LEASE_S: Final = float("inf")
_MAX_PROMPT_TOKENS: Final = 1_100_000


class Engine(engine_state.EngineState):
    """An engine with its HTTP server and the timer that advances it."""

    def start(self, host: str, port: int) -> int:
        """Starts the HTTP server and the timer; returns the port."""
        self.server, bound = web.make_server(self, _ROUTES, host, port)
        self.url = f"http://{host}:{bound}"
        self._timer = tornado.ioloop.PeriodicCallback(
            self.tick, _TICK_INTERVAL_MS
        )
        self._timer.start()
        return bound

    def stop(self) -> None:
        """Stops the timer and closes the listening socket."""
        self._timer.stop()
        self.server.stop()


class _EngineHandler(web.JsonHandler):
    """Base class of the handlers, with typed access to the engine."""

    @property
    def engine(self) -> engine_state.EngineState:
        assert isinstance(self.standin, engine_state.EngineState)
        return self.standin

    @property
    def core(self) -> engine_core.EngineCore:
        return self.engine.core

    def fail_with(self, exc: engine_core.EngineError) -> None:
        self.fail(exc.status, str(exc))


def _lease_s(lease_ms: int) -> float:
    return lease_ms / 1000 if lease_ms > 0 else _UNLIMITED_LEASE_S


class CompletionHandler(_EngineHandler):
    """`POST /v1/completions`."""

    _req: engine_core.Request | None = None

    async def post(self) -> None:
        """Runs a completion; streams its tokens if `stream` is set."""
        body = self.read_json(engine_bodies.CompletionBody)
        changed = asyncio.Event()
        try:
            group_tokens = await self._group_tokens(body.group)
            req = self._start(body, group_tokens, changed)
        except engine_core.EngineError as exc:
            self.fail_with(exc)
            return
        self._req = req
        group_watcher = asyncio.ensure_future(self._watch_group(body))
        try:
            if body.stream:
                await self._stream_tokens(req, changed)
            else:
                await self._send_completion(req, changed)
        except tornado.iostream.StreamClosedError:
            self.on_connection_close()
        finally:
            group_watcher.cancel()

    def _start(
        self,
        body: engine_bodies.CompletionBody,
        group_tokens: int,
        changed: asyncio.Event,
    ) -> engine_core.Request:
        ids = hashing.token_ids(body.prompt)
        if not 0 < len(ids) <= _MAX_PROMPT_TOKENS:
            raise engine_core.EngineError(400, "prompt length is out of range")
        if not len(body.forced_prefix) < body.max_tokens:
            raise engine_core.EngineError(
                400, "max_tokens must exceed the length of the forced prefix"
            )
        spec = engine_core.StartRequest(
            body.request_id,
            body.attempt,
            body.priority,
            ids,
            body.max_tokens,
            body.forced_prefix,
            _lease_s(body.lease_ms),
            group_tokens,
        )
        return self.core.start(spec, changed.set, time.monotonic())

    async def _group_tokens(self, group: list[engine_bodies.GroupPart]) -> int:
        """Returns the tokens that the group's allocations hold in total.

        Raises:
            EngineError: An engine of the group has no such allocation or is
                not reachable.
        """
        total = 0
        for part in group:
            rows = await self._allocations_of(part.url)
            sizes = [row.tokens for row in rows if row.id == part.allocation]
            if not sizes:
                raise engine_core.EngineError(
                    409, f"{part.url} has no allocation {part.allocation}"
                )
            total += sizes[0]
        return total

    async def _allocations_of(
        self, url: str
    ) -> list[engine_bodies.AllocationRow]:
        if url == self.engine.url:
            return _allocation_rows(self.core)
        response = await _fetch(url + "/allocations")
        return msgspec.json.decode(
            response, type=list[engine_bodies.AllocationRow]
        )

    async def _watch_group(self, body: engine_bodies.CompletionBody) -> None:
        """Ends the request if an allocation of its group no longer exists."""
        while body.group:
            await asyncio.sleep(_GROUP_CHECK_INTERVAL_S)
            try:
                await self._group_tokens(body.group)
            except engine_core.EngineError:
                self.core.end(body.request_id, "failed", time.monotonic())
                return

    async def _stream_tokens(
        self, req: engine_core.Request, changed: asyncio.Event
    ) -> None:
        self.set_header("Content-Type", "text/event-stream")
        await self.flush()
        sent = 0
        limit = self.engine.engine_faults.cut_after_tokens
        while not (req.run.end and sent == len(req.output)):
            await changed.wait()
            changed.clear()
            while self.standin.faults.hang:
                await asyncio.sleep(0.02)
            new = req.output[sent:]
            if new:
                await self._send_event(_tokens_event(req, sent, new))
                sent += len(new)
            if limit and sent >= limit:
                self.cut()
                return
        if req.run.end != "finished":
            await self._send_event({"error": req.run.end})
        elif self._consume_response_loss():
            self.cut()
            return
        else:
            await self._send_event({"done": True, "count": req.position})
        self.finish()

    async def _send_event(self, value: dict[str, object]) -> None:
        self.write(b"data: " + msgspec.json.encode(value) + b"\n\n")
        await self.flush()

    async def _send_completion(
        self, req: engine_core.Request, changed: asyncio.Event
    ) -> None:
        while not req.run.end:
            await changed.wait()
            changed.clear()
        if req.run.end != "finished":
            self.fail(500, f"request ended: {req.run.end}")
            return
        self.reply(
            {
                "offset": req.run.forced_tokens,
                "tokens": req.output,
                "reused": req.run.reused,
                "count": req.position,
            }
        )

    def on_connection_close(self) -> None:
        """Cancels the request if `cancel_on_disconnect` is set."""
        req = self._req
        if req is None or req.run.end:
            return
        if self.engine.settings.cancel_on_disconnect:
            self.engine.cancel(req.spec.request_id, "disconnect")


def _tokens_event(
    req: engine_core.Request, sent: int, new: list[int]
) -> dict[str, object]:
    return {
        "offset": req.run.forced_tokens + sent,
        "tokens": new,
        "reused": req.run.reused,
    }


async def _fetch(url: str, **options: Any) -> bytes:
    """Calls another engine.

    Raises:
        EngineError: The other engine failed or is not reachable.
    """
    client = tornado.httpclient.AsyncHTTPClient()
    try:
        response = await client.fetch(
            url, request_timeout=_CALL_TIMEOUT_S, **options
        )
    except (OSError, tornado.httpclient.HTTPError) as exc:
        raise engine_core.EngineError(502, f"{url}: {exc}") from exc
    return response.body


class CancelHandler(_EngineHandler):
    """`POST /cancel`."""

    def post(self) -> None:
        """Cancels a request; an unknown request id is not an error."""
        body = self.read_json(engine_bodies.CancelBody)
        known = self.engine.cancel(body.request_id, "cancel")
        self.reply({"cancelled": known})


class LoadHandler(_EngineHandler):
    """`GET /load`."""

    def get(self) -> None:
        """Returns the load report."""
        self.reply(self.engine.load_report())


def _allocation_rows(
    core: engine_core.EngineCore,
) -> list[engine_bodies.AllocationRow]:
    return [
        engine_bodies.AllocationRow(
            row.id,
            row.blocks,
            row.request_id,
            row.blocks * core.settings.block_tokens,
        )
        for row in core.allocations.values()
    ]


class AllocationsHandler(_EngineHandler):
    """`GET /allocations` and `POST /allocations`."""

    def get(self) -> None:
        """Lists all allocations."""
        self.reply(_allocation_rows(self.core))

    def post(self) -> None:
        """Allocates memory with a lease."""
        body = self.read_json(engine_bodies.AllocateBody)
        blocks = self.core.blocks_for(body.tokens)
        now = time.monotonic()
        try:
            self.core.allocate(
                body.id, blocks, now, lease_s=_lease_s(body.lease_ms)
            )
        except engine_core.EngineError as exc:
            self.fail_with(exc)
            return
        self.reply(engine_bodies.AllocationRow(body.id, blocks, ""))


class RenewHandler(_EngineHandler):
    """`POST /allocations/renew`."""

    def post(self) -> None:
        """Renews a lease."""
        body = self.read_json(engine_bodies.RenewBody)
        try:
            self.core.renew(body.id, _lease_s(body.lease_ms), time.monotonic())
        except engine_core.EngineError as exc:
            self.fail_with(exc)
            return
        self.reply({"id": body.id})


class AllocationHandler(_EngineHandler):
    """`DELETE /allocations/<id>`."""

    def delete(self, allocation_id: str) -> None:
        """Frees an allocation."""
        if not self.core.free(allocation_id, time.monotonic()):
            self.fail(404, f"no allocation {allocation_id}")
            return
        self.reply({"id": allocation_id})


class ExportHandler(_EngineHandler):
    """`POST /kv/export`: ends a request and keeps its KV memory."""

    def post(self) -> None:
        """Returns the handle under which the memory is kept."""
        body = self.read_json(engine_bodies.ExportBody)
        handle = f"kv-{uuid.uuid4().hex}"
        try:
            kept = self.core.export(
                body.request_id,
                handle,
                _lease_s(body.lease_ms),
                time.monotonic(),
            )
        except engine_core.EngineError as exc:
            self.fail_with(exc)
            return
        self.engine.exports[handle] = kept
        self.reply({"handle": handle})


class ExportRowHandler(_EngineHandler):
    """`GET` and `DELETE /kv/export/<handle>`."""

    def get(self, handle: str) -> None:
        """Returns the size of an export, for the importing engine."""
        if handle not in self.core.allocations:
            self.fail(404, f"no export {handle}")
            return
        self.reply(engine_bodies.ExportRow(handle, self.engine.exports[handle]))

    def delete(self, handle: str) -> None:
        """Frees the memory of an export."""
        self.engine.exports.pop(handle, None)
        if not self.core.free(handle, time.monotonic()):
            self.fail(404, f"no export {handle}")
            return
        self.reply({"handle": handle})


class ImportHandler(_EngineHandler):
    """`POST /kv/import`: copies an export, then deletes it at its engine."""

    async def post(self) -> None:
        """Allocates memory for a request whose context is already computed."""
        body = self.read_json(engine_bodies.ImportBody)
        source = f"{body.url}/kv/export/{body.handle}"
        try:
            response = await _fetch(source)
            row = msgspec.json.decode(response, type=engine_bodies.ExportRow)
            self.core.allocate(
                f"import-{body.request_id}",
                self.core.blocks_for(row.tokens),
                time.monotonic(),
                lease_s=_lease_s(body.lease_ms),
            )
            self.core.imported_tokens[body.request_id] = row.tokens
            await _fetch(source, method="DELETE")
        except engine_core.EngineError as exc:
            self.fail_with(exc)
            return
        self.reply({"tokens": row.tokens})


class CacheHandler(_EngineHandler):
    """`GET /cache_events?after=N`.

    The response is a full snapshot if N is 0 or larger than the last event
    number, which means that N is from an earlier process.
    """

    def get(self) -> None:
        """Returns the events after N, or a snapshot as a single event."""
        after = self.int_argument("after", 0)
        cache = self.core.cache
        last, blocks = cache.snapshot()
        if not 0 < after <= last:
            event = prefix_cache.CacheEvent(last, blocks, [], 0.0)
            self.reply(engine_bodies.CacheResponse(last, True, [event]))
            return
        events = cache.events_after(after, time.monotonic())
        last = events[-1].seq if events else after
        self.reply(engine_bodies.CacheResponse(last, False, events))


class ConfigHandler(_EngineHandler):
    """`GET /config`."""

    def get(self) -> None:
        """Returns the last accepted order."""
        self.reply(self.engine.config)


class OrdersHandler(_EngineHandler):
    """`POST /orders`."""

    async def post(self) -> None:
        """Applies an order, after the delay that simulates loading a model."""
        body = self.read_json(engine_bodies.OrderBody)
        if self.engine.settings.order_s:
            await asyncio.sleep(self.engine.settings.order_s)
        if not self.engine.apply_order(body):
            self.fail(409, f"fence {body.fence} is older than the last order")
            return
        self.reply(self.engine.config)


class LedgerHandler(_EngineHandler):
    """`GET /ledger`."""

    def get(self) -> None:
        """Returns the record of everything that the engine did."""
        self.reply(self.engine.ledger())


_ROUTES: Final = [
    (r"/v1/completions", CompletionHandler),
    (r"/cancel", CancelHandler),
    (r"/load", LoadHandler),
    (r"/allocations", AllocationsHandler),
    (r"/allocations/renew", RenewHandler),
    (r"/allocations/([^/]+)", AllocationHandler),
    (r"/kv/export", ExportHandler),
    (r"/kv/export/([^/]+)", ExportRowHandler),
    (r"/kv/import", ImportHandler),
    (r"/cache_events", CacheHandler),
    (r"/config", ConfigHandler),
    (r"/orders", OrdersHandler),
    (r"/ledger", LedgerHandler),
]
