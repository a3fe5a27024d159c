"""JSON bodies and server-sent events of the caller API."""

from typing import Any, Final

import msgspec

from apricottrestle import errors

SSE_DONE: Final = b"data: [DONE]\n\n"
_ENCODER: Final = msgspec.json.Encoder()


def tokens_to_text(tokens: list[int]) -> str:
    """Returns token ids as text, since engines return ids and no text."""
    return "".join(f" {token}" for token in tokens)


def error_body(exc: errors.RequestError, issued_key: str = "") -> bytes:
    """Returns the JSON body of an error response."""
    body: dict[str, Any] = {
        "code": exc.code,
        "message": exc.message,
        "outcome": exc.outcome,
        "step": exc.step,
        "peer": exc.peer,
    }
    if issued_key:
        body["idempotency_key"] = issued_key
    return _ENCODER.encode({"error": body})


def completion_body(
    request_id: str,
    created: int,
    model: str,
    tokens: list[int],
    finish_reason: str | None,
    usage: dict[str, Any] | None = None,
) -> dict[str, Any]:
    """Returns a completion object in the OpenAI format.

    Args:
        request_id: Request id.
        created: Time of the request in Unix seconds.
        model: Model name.
        tokens: Token ids of the answer, or of one event of a stream.
        finish_reason: "stop" or "length" at the end of the answer, else None.
        usage: Token counts at the end of the answer, else None.
    """
    body: dict[str, Any] = {
        "id": f"cmpl-{request_id}",
        "object": "text_completion",
        "created": created,
        "model": model,
        "choices": [
            {
                "index": 0,
                "text": tokens_to_text(tokens),
                "token_ids": tokens,
                "logprobs": None,
                "finish_reason": finish_reason,
            }
        ],
    }
    if usage is not None:
        body["usage"] = usage
    return body


def usage_body(prompt: int, output: int, reused: int) -> dict[str, Any]:
    """Returns the token counts of a completion object."""
    return {
        "prompt_tokens": prompt,
        "completion_tokens": output,
        "total_tokens": prompt + output,
        "prompt_tokens_details": {"cached_tokens": reused},
    }


def encode_json(body: dict[str, Any]) -> bytes:
    """Returns a body encoded as JSON."""
    return _ENCODER.encode(body)


def sse_event(data: bytes, event_id: str = "", kind: str = "") -> bytes:
    """Returns a server-sent event; `data` must have no line breaks."""
    header_lines = b""
    if event_id:
        header_lines += f"id: {event_id}\n".encode()
    if kind:
        header_lines += f"event: {kind}\n".encode()
    return header_lines + b"data: " + data + b"\n\n"
