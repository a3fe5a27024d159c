"""Checks of HTTP answers that libcurl leaves to its users.

libcurl takes each status of three digits and more, and takes the end of a
connection for the end of an answer without a length, even while it is still
sending the request.
"""

import io
import re
from typing import Any, Final

import pycurl
from tornado import curl_httpclient, httputil

STATUS_LINE: Final = re.compile(rb"HTTP/1\.[01] (?!101)([1-5])[0-9]{2}[ \r\n]")
"""Status line of an answer, or of an informational one before it; its group is
the status's first digit. No call asks for another protocol with status 101."""

_BODILESS_STATUSES: Final = frozenset((204, 304))


def is_framed(status: int, headers: httputil.HTTPHeaders) -> bool:
    """Returns whether an answer's end doesn't depend on its connection's."""
    codings = headers.get("Transfer-Encoding")
    if status in _BODILESS_STATUSES:
        return True
    if codings is not None:
        return codings.rpartition(",")[2].strip().lower() == "chunked"
    return "Content-Length" in headers


class Upload:
    """The body of a request, while libcurl sends it."""

    def __init__(self, body: bytes) -> None:
        """Stores the body, which may be empty."""
        self._buffer = io.BytesIO(body)
        self._length = len(body)

    @property
    def is_sent(self) -> bool:
        """Whether libcurl has taken all of it."""
        return self._buffer.tell() >= self._length

    def attach(self, curl: Any) -> None:
        """Takes the place of tornado's buffer, whose position can't be seen."""
        curl.setopt(pycurl.READFUNCTION, self._buffer.read)
        curl.setopt(pycurl.SEEKFUNCTION, self._seek)

    def _seek(self, offset: int, origin: int) -> int:
        self._buffer.seek(offset, origin)
        return pycurl.SEEKFUNC_OK


class StrictCurlClient(curl_httpclient.CurlAsyncHTTPClient):
    """Tornado's curl client; fails a call whose status line is invalid."""

    def _curl_header_callback(  # type: ignore[override]
        self, headers: httputil.HTTPHeaders, header_callback: Any, line: bytes
    ) -> int | None:
        """Handles a line of a head.

        Returns -1 to make libcurl fail the call.
        """
        if line.startswith(b"HTTP/") and STATUS_LINE.match(line) is None:
            return -1
        super()._curl_header_callback(headers, header_callback, line)
        return None
