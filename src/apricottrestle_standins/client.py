"""Caller of an entry's HTTP API: streams, resumes and checks every answer.

A stream that breaks off, or ends in `event: reconnect`, is resumed at the next
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
_RESUME_PAUSE_S: Final = 0.25
_MAX_BODY_BYTES: Final = 32 * 1024 * 1024
_DONE: Final = "[DONE]"


class SseEvent(NamedTuple):
    """One server-sent event; `name` is "" when the event names none."""

    id: str
    name: str
    data: str


class SseParser:
    """Splits the bytes of a response into server-sent events."""

    def __init__(self) -> None:
        """Starts with an empty buffer."""
        self._buffer = b""

    def feed(self, chunk: bytes) -> list[SseEvent]:
        """Returns the events that the chunk completes."""
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
    """What a caller got for one prompt.

    Attributes:
        prompt_tokens: Length of the prompt.
        priority: Priority class.
        started_s: Monotonic time of the first send.
        outcome: "ok", "refused" (proved not run), "error" or "wrong".
        code: Error code of the last answer, else "".
        status: HTTP status of the last answer, 0 for none.
        tokens: Tokens received over all resumes.
        first_token_s: Seconds to the first token; None without one.
        total_s: Seconds to the end.
        resumes: How often the stream was resumed.
        refusals: How often the prompt was refused and sent again.
        retry_after_s: Wait that the last refusal named, in seconds.
        last_event_id: Event id of the last event with one.
        detail: Text of the last error.
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
    """A prompt with the tokens that its answer must have."""

    ids: Sequence[int]
    max_tokens: int
    model: str
    priority: str = "standard"
    time_limit_s: float | None = None

    def expected(self) -> list[int]:
        """Returns the right answer."""
        return tokens.output_tokens(self.ids, 0, self.max_tokens)


class Caller:
    """Calls entries in turn with one team's key."""

    def __init__(self, urls: Sequence[str], key: str) -> None:
        """Stores the entries' base URLs, and the team's API key."""
        self._urls = list(urls)
        self._key = key
        self._next = 0
        self._client = tornado.simple_httpclient.SimpleAsyncHTTPClient(
            force_instance=True,
            max_clients=_MAX_CLIENTS,
            max_buffer_size=_MAX_BODY_BYTES,
        )

    def close(self) -> None:
        """Closes the connections."""
        self._client.close()

    def next_url(self) -> str:
        """Returns the base URL of the next entry in turn, the first first."""
        url = self._urls[self._next % len(self._urls)]
        self._next += 1
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
        """Makes one HTTP call; a call without an answer has status 599."""
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
            answer = tornado.httpclient.HTTPResponse(req, 599)
            answer.error = exc
            return answer

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
        """Sends a prompt as a stream and checks the answer token by token.

        Args:
            prompt: The prompt.
            resume: Resume at the next entry when the stream breaks off.
            retries: How often a refused prompt is sent again, each time after
                the wait that the refusal names.
            on_token: Called after each event with the answer so far.
            timeout_s: Time limit of each HTTP call in seconds.
            continue_from: Broken answer to the same prompt, to be resumed.
        """
        answer = CompletionResult(
            len(prompt.ids), prompt.priority, time.monotonic()
        )
        if continue_from is not None:
            answer.tokens = list(continue_from.tokens)
            answer.last_event_id = continue_from.last_event_id
        body = _body(prompt)
        while True:
            stream = _Stream(answer, on_token)
            await self._attempt(stream, prompt, body, timeout_s)
            if answer.outcome == "refused" and answer.refusals < retries:
                answer.refusals += 1
                await asyncio.sleep(answer.retry_after_s)
            elif resume and _can_resume(stream):
                answer.resumes += 1
                await asyncio.sleep(_RESUME_PAUSE_S)
            else:
                break
        answer.total_s = time.monotonic() - answer.started_s
        if answer.outcome == "ok" and answer.tokens != prompt.expected():
            answer.outcome = "wrong"
            answer.detail = _difference(answer.tokens, prompt.expected())
        return answer

    async def _attempt(
        self, stream: "_Stream", prompt: Prompt, body: bytes, timeout_s: float
    ) -> None:
        headers = {"X-Priority": prompt.priority}
        if prompt.time_limit_s is not None:
            headers["X-Time-Limit-Ms"] = str(int(prompt.time_limit_s * 1000))
        if stream.answer.last_event_id:
            headers["Last-Event-ID"] = stream.answer.last_event_id
        got = await self.call(
            "POST",
            "/v1/completions",
            body,
            headers=headers,
            on_chunk=stream.feed,
            timeout_s=timeout_s,
        )
        stream.close(got)


class _Stream:
    """Collects the events of one HTTP call into an answer."""

    def __init__(
        self,
        answer: CompletionResult,
        on_token: Callable[[CompletionResult], None] | None,
    ) -> None:
        self.answer = answer
        self.ended = False
        self.reconnect = False
        self.raw = b""
        self._parser = SseParser()
        self._on_token = on_token

    def feed(self, chunk: bytes) -> None:
        self.raw = (self.raw + chunk)[-65536:]
        for event in self._parser.feed(chunk):
            self._take(event)

    def _take(self, event: SseEvent) -> None:
        answer = self.answer
        if event.id:
            answer.last_event_id = event.id
        if event.name == "reconnect":
            self.reconnect = True
        elif event.name == "error":
            self._take_error(event.data)
        elif event.data == _DONE:
            answer.outcome = "ok"
            answer.code = answer.detail = ""
            self.ended = True
        elif event.data:
            self._take_tokens(event.data)

    def _take_tokens(self, data: str) -> None:
        new = event_tokens(data)
        if new and self.answer.first_token_s is None:
            elapsed_s = time.monotonic() - self.answer.started_s
            self.answer.first_token_s = elapsed_s
        self.answer.tokens.extend(new)
        if self._on_token is not None:
            self._on_token(self.answer)

    def _take_error(self, data: str) -> None:
        try:
            error = msgspec.json.decode(data)["error"]
        except (msgspec.DecodeError, KeyError, TypeError):
            error = {"message": data}
        self.answer.code = str(error.get("code", ""))
        self.answer.detail = str(error.get("message", ""))
        refused = error.get("outcome") == "not_run"
        self.answer.outcome = "refused" if refused else "error"
        self.ended = True

    def close(self, got: tornado.httpclient.HTTPResponse) -> None:
        self.answer.status = got.code
        self.answer.retry_after_s = float(got.headers.get("Retry-After", "1"))
        if self.ended:
            return
        if got.code not in (200, 599):
            self._take_error(self.raw.decode(errors="replace"))
        else:
            self.answer.detail = f"stream broke off: {got.error}"


def _can_resume(stream: _Stream) -> bool:
    answer = stream.answer
    if stream.ended or answer.resumes >= _MAX_RESUMES:
        return False
    return stream.reconnect or answer.status in (200, 599)


def event_tokens(data: str) -> list[int]:
    """Returns the token ids that one event of a completion carries."""
    choice: dict[str, Any] = msgspec.json.decode(data)["choices"][0]
    if "token_ids" in choice:
        return [int(token) for token in choice["token_ids"] or []]
    return [int(word) for word in choice["text"].split()]


def _body(prompt: Prompt) -> bytes:
    return msgspec.json.encode(
        {
            "model": prompt.model,
            "prompt": list(prompt.ids),
            "max_tokens": prompt.max_tokens,
            "stream": True,
        }
    )


def _difference(got: list[int], expected: list[int]) -> str:
    for index, (one, other) in enumerate(zip(got, expected, strict=False)):
        if one != other:
            return f"token {index} is {one}, expected {other}"
    return f"{len(got)} tokens, expected {len(expected)}"
