"""Reading of the head of an HTTP/1.1 answer, line by line."""

import re
from typing import Final, Literal, NamedTuple

from tornado import httputil

from apricottrestle import errors

MAX_HEAD_BYTES: Final = 32 * 1024
"""Limit of a status line and its headers; far above any real head."""

MAX_LENGTH: Final = 2**63 - 1
"""Largest length of a body; libcurl ignores larger ones."""

MAX_SHOWN_BYTES: Final = 60
"""Number of invalid bytes that an error shows."""

Framing = Literal["none", "length", "chunks", "close"]
"""What ends a body.

none: there is none.
length: it has as many bytes as the head says.
chunks: the last of its chunks.
close: the end of the connection, whether or not the body is complete.
"""

_STATUS_LINE: Final = re.compile(rb"HTTP/1\.[01] (?!101)([1-5][0-9]{2})[ \r\n]")
"""Status line of an answer, or of an informational one before it. No call asks
for another protocol with status 101."""

_FIELD_LINE: Final = re.compile(
    rb"([!#$%&'*+.^_`|~0-9A-Za-z-]+):([\t -~\x80-\xff]*)\r?\n"
)

_BLANKS: Final = " \t"
_HEADER_LINE: Final = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+:|[ \t]")
"""Start of a header line, or of the continuation of one."""

_DECIMAL: Final = re.compile(r"[0-9]+")
_HTTP_OK: Final = 200
_HTTP_NO_CONTENT: Final = 204
_HTTP_NOT_MODIFIED: Final = 304


class Head(NamedTuple):
    """The head of an answer that isn't informational.

    Attributes:
        status: HTTP status.
        headers: Headers.
        framing: What ends the body.
        length: Length of the body in bytes, if its framing is a length.
    """

    status: int
    headers: httputil.HTTPHeaders
    framing: Framing
    length: int = 0


def broken(reason: str, found: bytes) -> errors.BrokenAnswerError:
    """Returns the error that shows the first invalid bytes of an answer."""
    return errors.BrokenAnswerError(
        f"{reason}: {found[:MAX_SHOWN_BYTES]!r}", step="read answer"
    )


def read_field(line: bytes, reason: str) -> tuple[str, str]:
    """Returns name and value of a header or trailer line.

    Args:
        line: The line with its end.
        reason: Message of the error.

    Raises:
        BrokenAnswerError: The line is no field.
    """
    match = _FIELD_LINE.fullmatch(line)
    if match is None:
        raise broken(reason, line)
    name, value = match[1].decode("ascii"), match[2].decode("latin-1")
    return name, value.strip(_BLANKS)


class HeadReader:
    """Reads the head of one answer, and the informational ones before it."""

    def __init__(self, method: str) -> None:
        """Creates a reader that expects a status line.

        Args:
            method: Method of the request.
        """
        self._method = method
        self._status = 0
        self._headers = httputil.HTTPHeaders()
        self._read_bytes = 0

    def feed(self, line: bytes) -> Head | None:
        """Reads a line with its end; returns the head after its last line.

        Raises:
            BrokenAnswerError: The line, or the head that it ends, is invalid.
        """
        self._read_bytes += len(line)
        if self._read_bytes > MAX_HEAD_BYTES:
            raise broken("head too long", line)
        if not self._status:
            self._read_status(line)
            return None
        if line.strip():
            self._read_header(line)
            return None
        if self._status < _HTTP_OK:
            # Another head follows an informational one.
            self._status = 0
            self._headers = httputil.HTTPHeaders()
            self._read_bytes = 0
            return None
        return self._make_head()

    def _read_status(self, line: bytes) -> None:
        match = _STATUS_LINE.match(line)
        if match is None:
            raise broken("invalid status line", line)
        self._status = int(match[1])

    def _read_header(self, line: bytes) -> None:
        if _HEADER_LINE.match(line) is None:
            raise broken("invalid header line", line)
        try:
            self._headers.parse_line(line.decode("latin-1"))
        except httputil.HTTPInputError as exc:
            raise broken(str(exc), line) from exc

    def _make_head(self) -> Head:
        codings = self._headers.get("Transfer-Encoding")
        length = self._headers.get("Content-Length")
        framing: Framing = "close"
        if self._method == "HEAD" or self._status in (
            _HTTP_NO_CONTENT,
            _HTTP_NOT_MODIFIED,
        ):
            framing = "none"
        elif codings is not None:
            if codings.rpartition(",")[2].strip().lower() == "chunked":
                framing = "chunks"
        elif length is not None and _DECIMAL.fullmatch(length):
            framing = "length"
        size = int(length) if length and framing == "length" else 0
        return Head(self._status, self._headers, framing, size)
