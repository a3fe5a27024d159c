"""Strict reading of the answers to libcurl's calls.

libcurl accepts much that RFC 9112 calls invalid, so it only finds lines and
connections here. Heads and chunks are read by readers of the project; libcurl
passes chunks on as they came. It also takes the end of a connection for the end
of an answer without a length, even while it is still sending the request.

Invariant: a call succeeds only if its whole answer has been read, and a call
that fails leaves no connection behind.
"""

import functools
import io
from typing import Any, Final

import pycurl
from tornado import curl_httpclient, httpclient, httputil

from apricottrestle import errors, http_chunks, http_head

MAX_SPARE_HANDLES: Final = 64
"""Handles without a call that a client keeps for the next calls."""

_FAIL_HEADER: Final = -1
_FAIL_WRITE: Final = 0
"""Results of libcurl's callbacks that make it fail the call."""


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


class Answer:
    """The answer to one call, as far as libcurl has passed it on.

    Attributes:
        head: Its head, or None if that hasn't been read.
        error: Why it is broken, or None.
        is_paused: Whether the call's owner wants no more of the body for now.
        is_stopped: Whether libcurl was stopped behind the end of the answer.
    """

    def __init__(self, method: str, upload: Upload) -> None:
        """Creates an answer of which nothing has arrived.

        Args:
            method: Method of the request.
            upload: Body of the request.
        """
        self.head: http_head.Head | None = None
        self.error: errors.BrokenAnswerError | None = None
        self.is_paused = False
        self.is_stopped = False
        self._upload = upload
        self._head_reader = http_head.HeadReader(method)
        self._chunks = http_chunks.ChunkReader()
        self._body_bytes = 0

    def read_line(self, line: bytes) -> bool:
        """Reads a line of the head; returns False if the answer is broken."""
        try:
            if self.head is not None:
                raise http_head.broken("line behind the head", line)
            self.head = self._head_reader.feed(line)
        except errors.BrokenAnswerError as exc:
            self.error = exc
        return self.error is None

    def read_body(self, data: bytes) -> bytes | None:
        """Returns the part of the body that `data` holds.

        None if the answer is broken.
        """
        if self.head is not None and self.head.framing == "chunks":
            try:
                data = self._chunks.feed(data)
            except errors.BrokenAnswerError as exc:
                self.error = exc
                return None
        self._body_bytes += len(data)
        return data

    @property
    def has_surplus(self) -> bool:
        """Whether bytes have come behind an answer that is whole."""
        return self._chunks.has_surplus

    def find_cut(self) -> str:
        """Returns why an answer that has ended isn't whole; empty if it is."""
        head = self.head
        if self.error is not None:
            return self.error.message
        if head is None:
            return "no head"
        if head.framing == "chunks" and not self._chunks.is_whole:
            return "connection ended inside the chunks"
        if head.framing == "length" and self._body_bytes != head.length:
            return f"{self._body_bytes} of {head.length} bytes"
        if head.framing == "close" and not self._upload.is_sent:
            # libcurl also ends here after a reset that a write has seen.
            return "connection ended during the upload"
        return ""


class StrictCurlClient(curl_httpclient.CurlAsyncHTTPClient):
    """Tornado's curl client; fails each call whose answer isn't whole.

    It asks for no content coding, and decodes none. Without `max_clients`, each
    call begins at once: nobody decides again about one that waits here.
    """

    def initialize(  # type: ignore[override]
        self, max_clients: int | None = None, **kwargs: Any
    ) -> None:
        """Creates the client.

        Args:
            max_clients: Largest number of calls under way; further ones wait.
                None for no limit.
            **kwargs: See CurlAsyncHTTPClient.
        """
        super().initialize(max_clients=max_clients or 0, **kwargs)
        self._max_clients = max_clients

    @property
    def calls_under_way(self) -> int:
        """Number of calls that have begun and not ended."""
        return len(self._curls) - len(self._free_list)

    def cancel_waiting(self, req: httpclient.HTTPRequest) -> bool:
        """Cancels a call that hasn't begun; returns whether it was one."""
        for queued in self._requests:
            if is_same_request(queued[0], req):
                self._requests.remove(queued)
                queued[1](
                    httpclient.HTTPResponse(
                        request=req, code=599, error=_cancelled_error()
                    )
                )
                return True
        return False

    def cancel(self, req: httpclient.HTTPRequest) -> None:
        """Cancels a call; its fetch fails with E_ABORTED_BY_CALLBACK."""
        if self.cancel_waiting(req):
            return
        for curl in self._curls:
            info = getattr(curl, "info", None)
            if info is not None and is_same_request(info["request"], req):
                self._finish(curl, pycurl.E_ABORTED_BY_CALLBACK, "cancelled")
                self._process_queue()
                return

    def _process_queue(self) -> None:
        """Begins calls; those that have to wait do so in their order."""
        if self._max_clients is None:
            for _ in range(len(self._requests) - len(self._free_list)):
                curl = self._curl_create()
                self._curls.append(curl)
                self._free_list.append(curl)
        super()._process_queue()

    def _drop_spare_handles(self) -> None:
        while self._max_clients is None and (
            len(self._free_list) > MAX_SPARE_HANDLES
        ):
            curl = self._free_list.pop()
            self._curls.remove(curl)
            curl.close()

    def _curl_setup_request(
        self,
        curl: pycurl.Curl,
        request: httpclient.HTTPRequest,
        buffer: io.BytesIO,
        headers: httputil.HTTPHeaders,
    ) -> None:
        info: dict[str, Any] = curl.info  # type: ignore[attr-defined]
        upload = Upload(request.body or b"")
        answer = info["answer"] = Answer(request.method, upload)
        super()._curl_setup_request(curl, request, buffer, headers)
        if request.body is not None:
            upload.attach(curl)
        curl.setopt(pycurl.ENCODING, None)
        curl.setopt(pycurl.HTTP_TRANSFER_DECODING, 0)
        # Takes the place of tornado's callback, which runs after that of the
        # data when both arrive together.
        curl.setopt(
            pycurl.HEADERFUNCTION,
            functools.partial(_read_line, info, answer),
        )
        curl.setopt(
            pycurl.WRITEFUNCTION,
            functools.partial(self._read_body, info, answer, buffer),
        )

    def _read_body(
        self,
        info: dict[str, Any],
        answer: Answer,
        buffer: io.BytesIO,
        data: bytes,
    ) -> int:
        """Passes a part of the body on; a WRITEFUNCTION of libcurl."""
        stream = info["streaming_buffer"]
        if answer.is_paused:
            return int(pycurl.WRITEFUNC_PAUSE)
        if stream is not None and stream.size >= stream.max_buffer_size:
            # Passed again later, so that nothing of it may be read now.
            return int(stream.write(data))
        part = answer.read_body(data)
        if part is None:
            return _FAIL_WRITE
        if part and stream is not None and stream.write(part) != len(part):
            return _FAIL_WRITE
        if stream is None:
            if buffer.tell() + len(part) > self.max_body_size:
                info["body_too_large"] = True
                return _FAIL_WRITE
            buffer.write(part)
        if answer.has_surplus:
            # libcurl, which decodes no chunks, would keep the connection.
            answer.is_stopped = True
            return _FAIL_WRITE
        return len(data)

    def _finish(
        self,
        curl: pycurl.Curl,
        curl_error: int | None = None,
        curl_message: str | None = None,
    ) -> None:
        """Ends a call; see above."""
        answer: Answer = curl.info["answer"]  # type: ignore[attr-defined]
        if answer.error is not None:
            curl_error = pycurl.E_RECV_ERROR
            curl_message = answer.error.message
        elif curl_error == pycurl.E_WRITE_ERROR and answer.is_stopped:
            curl_error = curl_message = None
        elif not curl_error and (cut := answer.find_cut()):
            curl_error = pycurl.E_PARTIAL_FILE
            curl_message = cut
        super()._finish(curl, curl_error, curl_message)
        self._drop_spare_handles()


def is_same_request(candidate: object, req: httpclient.HTTPRequest) -> bool:
    """Returns whether a request held by tornado is `req` or its proxy."""
    return getattr(candidate, "request", candidate) is req


def _cancelled_error() -> curl_httpclient.CurlError:
    return curl_httpclient.CurlError(pycurl.E_ABORTED_BY_CALLBACK, "cancelled")


def _read_line(info: dict[str, Any], answer: Answer, line: bytes) -> int | None:
    """Reads a line of the head; a HEADERFUNCTION of libcurl."""
    if not answer.read_line(line):
        return _FAIL_HEADER
    if answer.head is not None:
        info["headers"] = answer.head.headers
    return None
