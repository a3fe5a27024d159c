"""HTTP client of the entries that checks every completion token by token.

A stream that is cut off or ends in `event: reconnect` is resumed at the next
entry with the same body and `Last-Event-ID`, as docs/design.md describes.
"""

import asyncio
import time
from collections.abc import Callable, Sequence
from typing import Any, Final, NamedTuple

import msgspec
import tornado.httpclient
import tornado.simple_httpclient

from apricottrestle_standins import tokens

_MAX_CLIENTS: Final = 2000
_MAX_RESUMES: Final = 8
_RESUME_DELAY_S: Final = 0.25
_MAX_BODY_BYTES: Final = 32 * 1024 * 1024
_DONE_MARKER: Final = "[DONE]"


class SseEvent(NamedTuple):
    """A server-sent event; `name` is "" for an event without an event field."""

    id: str
    name: str
    data: str


class SseParser:
    """Parses a response body into server-sent events."""

    def __init__(self) -> None:
        """Starts with an empty buffer."""
        self._buffer = b""

    def feed(self, chunk: bytes) -> list[SseEvent]:
        """Adds a chunk of the body; returns the events that it completes."""
        *complete, self._buffer = (self._buffer + chunk).split(b"\n\n")
        return [_parse_event(block.decode()) for block in complete if block]


def _parse_event(block: str) -> SseEvent:
    fields = {"id": "", "event": "", "data": ""}
    for line in block.split("\n"):
        name, _, value = line.partition(":")
        if name in fields:
            fields[name] += value.removeprefix(" ")
    return SseEvent(fields["id"], fields["event"], fields["data"])


class CompletionResult(msgspec.Struct):
    """The outcome of one prompt, over all retries and resumes.

    Attributes:
        prompt_tokens: Length of the prompt.
        priority: Priority class.
        started_s: Monotonic time of the first send.
        outcome: "ok", "refused" (known not to have run), "error", or "wrong"
            (complete, but with unexpected tokens).
        code: Error code of the last response, or "".
        status: HTTP status of the last response; 0 without a response.
        tokens: Tokens received, over all resumes.
        first_token_s: Seconds to the first token; None if none arrived.
        total_s: Seconds to the end of the last response.
        resumes: Number of times that the stream was resumed.
        refusals: Number of refusals after which the prompt was sent again.
        retry_after_s: Retry-After of the last refusal, in seconds.
        last_event_id: Id of the last event that had an id.
        detail: Message of the last error.
    """

    prompt_tokens: int
    priority: str
    started_s: float
    outcome: str = "error"
    code: str = ""
    status: int = 0
    tokens: list[int] = []
    first_token_s: float | None = None
    total_s: float = 0.0
    resumes: int = 0
    refusals: int = 0
    retry_after_s: float = 0.0
    last_event_id: str = ""
    detail: str = ""


class Prompt(NamedTuple):
    """A prompt and the parameters of its completion."""

    token_ids: Sequence[int]
    max_tokens: int
    model: str
    priority: str = "standard"
    time_limit_s: float | None = None

    def expected_tokens(self) -> list[int]:
        """Returns the correct output, which depends only on the prompt."""
        return tokens.output_tokens(self.token_ids, 0, self.max_tokens)


class Caller:
    """Calls entries round robin with one team's API key."""

    def __init__(self, urls: Sequence[str], key: str) -> None:
        """Initializes a caller.

        Args:
            urls: Base URLs of the entries.
            key: API key of the team.
        """
        self._urls = list(urls)
        self._key = key
        self._next_index = 0
        self._client = tornado.simple_httpclient.SimpleAsyncHTTPClient(
            force_instance=True,
            max_clients=_MAX_CLIENTS,
            max_buffer_size=_MAX_BODY_BYTES,
        )

    def close(self) -> None:
        """Closes the connections."""
        self._client.close()

    def next_url(self) -> str:
        """Returns the base URL of the next entry, round robin."""
        url = self._urls[self._next_index % len(self._urls)]
        self._next_index += 1
        return url

    async def call(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        *,
        headers: dict[str, str] | None = None,
        url: str = "",
        on_chunk: Callable[[bytes], None] | None = None,
        timeout_s: float = 60.0,
    ) -> tornado.httpclient.HTTPResponse:
        """Makes one HTTP call; returns status 599 if no response arrives."""
        req = tornado.httpclient.HTTPRequest(
            (url or self.next_url()) + path,
            method=method,
            body=body,
            allow_nonstandard_methods=True,
            headers={"Authorization": f"Bearer {self._key}"} | (headers or {}),
            streaming_callback=on_chunk,
            connect_timeout=2.0,
            request_timeout=timeout_s,
        )
        try:
            return await self._client.fetch(req, raise_error=False)
        except (tornado.httpclient.HTTPError, OSError) as exc:
            response = tornado.httpclient.HTTPResponse(req, 599)
            response.error = exc
            return response

    async def complete(
        self,
        prompt: Prompt,
        *,
        resume: bool = True,
        retries: int = 0,
        on_token: Callable[[CompletionResult], None] | None = None,
        timeout_s: float = 60.0,
        continue_from: CompletionResult | None = None,
    ) -> CompletionResult:
        """Requests a streamed completion and checks it token by token.

        Args:
            prompt: The prompt.
            resume: Whether to resume at the next entry after the stream was
                cut off.
            retries: Maximum number of retries of a refused prompt, each after
                the Retry-After of the refusal.
            on_token: Called after each event with the result so far.
            timeout_s: Timeout of each HTTP call, in seconds.
            continue_from: Incomplete result of the same prompt, to resume from.
        """
        result = CompletionResult(
            len(prompt.token_ids), prompt.priority, time.monotonic()
        )
        if continue_from is not None:
            result.tokens = list(continue_from.tokens)
            result.last_event_id = continue_from.last_event_id
        body = _request_body(prompt)
        while True:
            stream = _Stream(result, on_token)
            await self._attempt(stream, prompt, body, timeout_s)
            if result.outcome == "refused" and result.refusals < retries:
                result.refusals += 1
                await asyncio.sleep(result.retry_after_s)
            elif resume and _should_resume(stream):
                result.resumes += 1
                await asyncio.sleep(_RESUME_DELAY_S)
            else:
                break
        result.total_s = time.monotonic() - result.started_s
        if result.outcome == "ok" and result.tokens != prompt.expected_tokens():
            result.outcome = "wrong"
            result.detail = _describe_difference(
                result.tokens, prompt.expected_tokens()
            )
        return result

    async def _attempt(
        self, stream: "_Stream", prompt: Prompt, body: bytes, timeout_s: float
    ) -> None:
        headers = {"X-Priority": prompt.priority}
        if prompt.time_limit_s is not None:
            headers["X-Time-Limit-Ms"] = str(int(prompt.time_limit_s * 1000))
        if stream.result.last_event_id:
            headers["Last-Event-ID"] = stream.result.last_event_id
        response = await self.call(
            "POST",
            "/v1/completions",
            body,
            headers=headers,
            on_chunk=stream.feed,
            timeout_s=timeout_s,
        )
        stream.finish(response)


class _Stream:
    """Adds the events of one HTTP call to a completion result."""

    def __init__(
        self,
        result: CompletionResult,
        on_token: Callable[[CompletionResult], None] | None,
    ) -> None:
        self.result = result
        self.ended = False
        self.reconnect = False
        self.body_tail = b""
        self._parser = SseParser()
        self._on_token = on_token

    def feed(self, chunk: bytes) -> None:
        self.body_tail = (self.body_tail + chunk)[-65536:]
        for event in self._parser.feed(chunk):
            self._handle_event(event)

    def _handle_event(self, event: SseEvent) -> None:
        result = self.result
        if event.id:
            result.last_event_id = event.id
        if event.name == "reconnect":
            self.reconnect = True
        elif event.name == "error":
            self._set_error(event.data)
        elif event.data == _DONE_MARKER:
            result.outcome = "ok"
            result.code = result.detail = ""
            self.ended = True
        elif event.data:
            self._add_tokens(event.data)

    def _add_tokens(self, data: str) -> None:
        new = event_tokens(data)
        if new and self.result.first_token_s is None:
            elapsed_s = time.monotonic() - self.result.started_s
            self.result.first_token_s = elapsed_s
        self.result.tokens.extend(new)
        if self._on_token is not None:
            self._on_token(self.result)

    def _set_error(self, data: str) -> None:
        try:
            error = msgspec.json.decode(data)["error"]
        except (msgspec.DecodeError, KeyError, TypeError):
            error = {"message": data}
        self.result.code = str(error.get("code", ""))
        self.result.detail = str(error.get("message", ""))
        refused = error.get("outcome") == "not_run"
        self.result.outcome = "refused" if refused else "error"
        self.ended = True

    def finish(self, response: tornado.httpclient.HTTPResponse) -> None:
        self.result.status = response.code
        self.result.retry_after_s = float(
            response.headers.get("Retry-After", "1")
        )
        if self.ended:
            return
        if response.code not in (200, 599):
            self._set_error(self.body_tail.decode(errors="replace"))
        else:
            self.result.detail = f"stream was cut off: {response.error}"


def _should_resume(stream: _Stream) -> bool:
    result = stream.result
    if stream.ended or result.resumes >= _MAX_RESUMES:
        return False
    return stream.reconnect or result.status in (200, 599)


def event_tokens(data: str) -> list[int]:
    """Returns the token ids in the data of a completion event."""
    choice: dict[str, Any] = msgspec.json.decode(data)["choices"][0]
    if "token_ids" in choice:
        return [int(token) for token in choice["token_ids"] or []]
    return [int(word) for word in choice["text"].split()]


def _request_body(prompt: Prompt) -> bytes:
    return msgspec.json.encode(
        {
            "model": prompt.model,
            "prompt": list(prompt.token_ids),
            "max_tokens": prompt.max_tokens,
            "stream": True,
        }
    )


def _describe_difference(got: list[int], expected: list[int]) -> str:
    for index, (token, other) in enumerate(zip(got, expected, strict=False)):
        if token != other:
            return f"token {index} is {token}, expected {other}"
    return f"{len(got)} tokens, expected {len(expected)}"
