"""Strict reading of the head of an HTTP/1.1 answer, line by line.

Invariant: a head that has been read says in exactly one way where the body
ends. What RFC 9112 leaves to the reader is refused: a length beside a transfer
coding, other codings than `chunked`, a coding in an answer of HTTP/1.0, and
a field of the framing that is the continuation of another field.

libcurl joins continued lines before it passes them on and before it reads them
itself, so that both sides see the same fields. Versions that pass them on as
they came are read strictly: a continuation is no field.
"""

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

_STATUS_LINE: Final = re.compile(
    rb"HTTP/1\.([01]) (?!101)([1-5][0-9]{2})(?: [\t -~\x80-\xff]*)?\r?\n"
)
"""Status line of an answer, or of an informational one before it. No call asks
for another protocol with status 101."""

_FIELD_LINE: Final = re.compile(
    rb"([!#$%&'*+.^_`|~0-9A-Za-z-]+):([\t -~\x80-\xff]*)\r?\n"
)

_HIDDEN_FRAMING: Final = re.compile(
    r"(?:Content-Length|Transfer-Encoding)[ \t]*:", re.IGNORECASE
)
"""A field of the framing inside the value of another one."""

_BLANKS: Final = " \t"
_LAST_LINES: Final = frozenset((b"\r\n", b"\n"))
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
        self._is_http_1_0 = False
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
        if line not in _LAST_LINES:
            name, value = read_field(line, "invalid header line")
            if _HIDDEN_FRAMING.search(value) is not None:
                raise broken("field of the framing inside another", line)
            self._headers.add(name, value)
            return None
        if self._status < _HTTP_OK:
            self._end_informational()
            return None
        return self._make_head()

    def _read_status(self, line: bytes) -> None:
        match = _STATUS_LINE.fullmatch(line)
        if match is None:
            raise broken("invalid status line", line)
        self._is_http_1_0 = match[1] == b"0"
        self._status = int(match[2])

    def _end_informational(self) -> None:
        """Expects another head after an informational one.

        libcurl would apply its length or coding to the next answer.
        """
        for name in ("Content-Length", "Transfer-Encoding"):
            if name in self._headers:
                raise broken(
                    f"{name} in an informational answer",
                    self._headers[name].encode("latin-1"),
                )
        self._status = 0
        self._headers = httputil.HTTPHeaders()
        self._read_bytes = 0

    def _make_head(self) -> Head:
        codings = self._headers.get_list("Transfer-Encoding")
        length = _read_length(self._headers.get_list("Content-Length"))
        framing: Framing = "close" if length is None else "length"
        if codings:
            self._check_codings(codings, length)
            framing = "chunks"
        if self._method == "HEAD" or self._status in (
            _HTTP_NO_CONTENT,
            _HTTP_NOT_MODIFIED,
        ):
            framing = "none"
        return Head(self._status, self._headers, framing, length or 0)

    def _check_codings(self, codings: list[str], length: int | None) -> None:
        """Checks that the only transfer coding is `chunked`.

        Raises:
            BrokenAnswerError: It isn't, or the answer can't have one.
        """
        found = ", ".join(codings)
        if length is not None:
            reason = "transfer coding beside a length"
        elif self._is_http_1_0:
            reason = "transfer coding in an answer of HTTP/1.0"
        elif self._status == _HTTP_NO_CONTENT:
            reason = "transfer coding in an answer without a body"
        elif _split_list(found) != ["chunked"]:
            reason = "transfer coding other than chunked"
        else:
            return
        raise broken(reason, found.encode("latin-1"))


def _read_length(values: list[str]) -> int | None:
    """Returns the length of a body, or None if the head has none.

    The same length several times is valid.

    Raises:
        BrokenAnswerError: It isn't a number, is too large, or there are two.
    """
    if not values:
        return None
    found = ", ".join(values)
    lengths = set()
    for text in found.split(","):
        digits = text.strip(_BLANKS)
        if _DECIMAL.fullmatch(digits) is None:
            raise broken("invalid length", found.encode("latin-1"))
        # int() refuses thousands of digits.
        lengths.add(digits.lstrip("0") or "0")
    length = lengths.pop()
    if lengths:
        raise broken("several lengths", found.encode("latin-1"))
    if len(length) > len(str(MAX_LENGTH)) or int(length) > MAX_LENGTH:
        raise broken("length too large", found.encode("latin-1"))
    return int(length)


def _split_list(text: str) -> list[str]:
    """Returns the elements of a list in lower case; empty ones don't count."""
    elements = [element.strip(_BLANKS).lower() for element in text.split(",")]
    return [element for element in elements if element]
