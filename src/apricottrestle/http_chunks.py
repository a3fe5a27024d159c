"""Strict reading of the chunks of an HTTP/1.1 body.

Invariant: no byte of the framing becomes part of the body.
"""

import re
from typing import Final, Literal

from apricottrestle import http_head

MAX_LINE_BYTES: Final = 8 * 1024
"""Limit of a line of the framing, which may have an extension."""

_CRLF: Final = b"\r\n"

_SIZE_LINE: Final = re.compile(
    rb"([0-9A-Fa-f]{1,16})(?:[ \t]*;[\t -~\x80-\xff]*)?\r\n"
)
"""Size of a chunk, and extensions, which are ignored."""

_Part = Literal["size", "data", "data end", "trailer", "nothing"]
"""What comes next."""


class ChunkReader:
    """Reads one body in chunks.

    Attributes:
        has_surplus: Whether bytes have come behind the end of the body.
    """

    def __init__(self) -> None:
        """Creates a reader that expects the size of the first chunk."""
        self.has_surplus = False
        self._next: _Part = "size"
        self._left = 0
        self._line = b""
        self._trailer_bytes = 0

    @property
    def is_whole(self) -> bool:
        """Whether the last chunk and the trailers have been read."""
        return self._next == "nothing"

    def feed(self, data: bytes) -> bytes:
        """Reads the next bytes; returns those of the body.

        Bytes behind the end belong to no body and are left out.

        Raises:
            BrokenAnswerError: The bytes are no chunk or trailer.
        """
        parts = []
        at = 0
        while at < len(data) and self._next != "nothing":
            if self._next == "data":
                part = data[at : at + self._left]
                parts.append(part)
                at += len(part)
                self._left -= len(part)
                if not self._left:
                    self._next = "data end"
                continue
            end = data.find(b"\n", at) + 1 or len(data)
            self._line += data[at:end]
            at = end
            if len(self._line) > MAX_LINE_BYTES:
                raise http_head.broken("line of chunks too long", self._line)
            if self._line.endswith(b"\n"):
                line, self._line = self._line, b""
                self._read_line(line)
        self.has_surplus = at < len(data)
        return b"".join(parts)

    def _read_line(self, line: bytes) -> None:
        if self._next == "size":
            self._read_size(line)
        elif self._next == "data end":
            if line != _CRLF:
                raise http_head.broken("chunk larger than its size", line)
            self._next = "size"
        elif line == _CRLF:
            self._next = "nothing"
        else:
            self._read_trailer(line)

    def _read_size(self, line: bytes) -> None:
        match = _SIZE_LINE.fullmatch(line)
        if match is None:
            raise http_head.broken("invalid size of a chunk", line)
        self._left = int(match[1], 16)
        if self._left > http_head.MAX_LENGTH:
            raise http_head.broken("chunk too large", line)
        self._next = "data" if self._left else "trailer"

    def _read_trailer(self, line: bytes) -> None:
        """Checks a trailer; none has a meaning here."""
        self._trailer_bytes += len(line)
        if self._trailer_bytes > http_head.MAX_HEAD_BYTES:
            raise http_head.broken("trailers too long", line)
        http_head.read_field(line, "invalid trailer line")
