"""Handler of completions, answered as one JSON body or as server-sent events.

The step is told that a caller has read tokens only when tornado has flushed
them to the caller's socket. A slow caller therefore stops the agent from
sending more once the credit of its stream is used up.
"""

import asyncio
import time
from typing import Final

from tornado import ioloop, iostream

from apricottrestle import (
    entry_accept,
    entry_core,
    entry_events,
    entry_http,
    entry_render,
)

WRITE_INTERVAL_S: Final = 0.02


class CompletionsHandler(entry_http.ApiHandler):
    """POST /v1/completions."""

    async def post(self) -> None:
        """Runs a generation and writes its tokens."""
        body = self.take_body()
        team = self.admit()
        spec = entry_accept.check_generation(
            self.state, team, self.request.headers, body
        )
        del body
        self._created = int(time.time())
        self._model = spec.model
        mailbox = self.open_mailbox()
        self._ctx.core.post(entry_events.Generate(mailbox.caller, spec))
        try:
            if spec.stream:
                await self._stream(mailbox)
            else:
                await self._answer_as_one_body(mailbox)
        except iostream.StreamClosedError:
            self._close_mailbox()

    async def _answer_as_one_body(self, mailbox: entry_core.Mailbox) -> None:
        tokens: list[int] = []
        while True:
            for command in await mailbox.get_all():
                match command:
                    case entry_events.DeliverTokens():
                        tokens += command.tokens
                    case entry_events.Complete():
                        self._write_completion(tokens, command)
                        return
                    case entry_events.Fail():
                        self.finish_with_error(command.error)
                        return

    def _write_completion(
        self, tokens: list[int], end: entry_events.Complete
    ) -> None:
        body = entry_render.completion_body(
            _request_id(end.event_id),
            self._created,
            self._model,
            tokens,
            end.finish_reason,
            entry_render.usage_body(
                end.prompt_tokens, end.total_tokens, end.reused_tokens
            ),
        )
        self.set_header("Content-Type", "application/json")
        self.write(entry_render.encode_json(body))

    async def _stream(self, mailbox: entry_core.Mailbox) -> None:
        """Writes server-sent events, at most one batch per WRITE_INTERVAL_S."""
        loop = ioloop.IOLoop.current()
        while True:
            commands = await mailbox.get_all()
            started = loop.time()
            if await self._write_events(mailbox, commands):
                return
            pause_s = WRITE_INTERVAL_S - (loop.time() - started)
            if pause_s > 0:
                await asyncio.sleep(pause_s)

    async def _write_events(
        self,
        mailbox: entry_core.Mailbox,
        commands: list[entry_events.CallerCommand],
    ) -> bool:
        """Writes a batch of events; returns True at the end of the response."""
        deliveries = [
            cmd
            for cmd in commands
            if isinstance(cmd, entry_events.DeliverTokens)
        ]
        last_command = commands[-1]
        headers_sent = self._headers_written
        nothing_sent = not deliveries and not headers_sent
        if isinstance(last_command, entry_events.Fail) and nothing_sent:
            self.finish_with_error(last_command.error)
            return True
        if isinstance(last_command, entry_events.CloseCaller):
            self._drop_connection()
            return True
        if not headers_sent:
            self.set_header("Content-Type", "text/event-stream")
            self.set_header("Cache-Control", "no-cache")
            self.set_header("X-Accel-Buffering", "no")
        if deliveries:
            self.write(self._token_event(deliveries))
        ended = self._write_final_event(last_command)
        await self.flush()
        if deliveries:
            newest = deliveries[-1]
            upto = newest.offset + len(newest.tokens)
            self._ctx.core.post(entry_events.CallerRead(mailbox.caller, upto))
        return ended

    def _token_event(
        self, deliveries: list[entry_events.DeliverTokens]
    ) -> bytes:
        tokens = [token for cmd in deliveries for token in cmd.tokens]
        newest = deliveries[-1]
        body = entry_render.completion_body(
            _request_id(newest.event_id),
            self._created,
            self._model,
            tokens,
            None,
        )
        return entry_render.sse_event(
            entry_render.encode_json(body), newest.event_id
        )

    def _write_final_event(self, command: entry_events.CallerCommand) -> bool:
        match command:
            case entry_events.Complete():
                self.write(self._final_event(command) + entry_render.SSE_DONE)
            case entry_events.Fail():
                data = entry_render.error_body(command.error)
                self.write(entry_render.sse_event(data, kind="error"))
            case entry_events.Reconnect():
                data = entry_render.encode_json(
                    {"last_event_id": command.event_id}
                )
                self.write(
                    entry_render.sse_event(data, command.event_id, "reconnect")
                )
            case _:
                return False
        return True

    def _final_event(self, end: entry_events.Complete) -> bytes:
        body = entry_render.completion_body(
            _request_id(end.event_id),
            self._created,
            self._model,
            [],
            end.finish_reason,
            entry_render.usage_body(
                end.prompt_tokens, end.total_tokens, end.reused_tokens
            ),
        )
        return entry_render.sse_event(
            entry_render.encode_json(body), end.event_id
        )

    def _drop_connection(self) -> None:
        """Closes the connection without a final event.

        The caller then can't mistake the partial response for a complete one.
        """
        conn = self.request.connection
        if conn is not None:
            stream = conn.detach()  # type: ignore[attr-defined]
            stream.close()
        self._finished = True


def _request_id(event_id: str) -> str:
    return event_id.partition(".")[0]
