"""Tables of HTTP answers that are broken, and of odd ones that are sound.

For all clients of the product. Each form is the text of an answer with marks
for its body and the length of it.
"""

from typing import Final, NamedTuple


class Form(NamedTuple):
    """The form of an answer.

    Attributes:
        lines: Lines of the head that say where the body ends, each with its
            line end. `<n>` stands for the body's length, `<n+1>` for one byte
            more.
        body: What follows the head. `<body>` stands for the body, `<x>` for
            its length in hexadecimal, `<X>` in upper case, `<x+1>` and
            `<x-1>` for one byte more and less.
        start: Status line, and informational answers before it.
    """

    lines: bytes
    body: bytes = b"<body>"
    start: bytes = b"HTTP/1.1 200 OK\r\n"

    def write(self, fields: bytes, body: bytes) -> bytes:
        """Returns an answer of this form.

        Args:
            fields: Further lines of its head, each with its line end.
            body: Its body.
        """
        size = len(body)
        text = self.start + fields + self.lines + b"\r\n" + self.body
        for mark, value in (
            (b"<n>", b"%d" % size),
            (b"<n+1>", b"%d" % (size + 1)),
            (b"<x>", b"%x" % size),
            (b"<x+1>", b"%x" % (size + 1)),
            (b"<x-1>", b"%x" % (size - 1)),
            (b"<X>", b"%X" % size),
            (b"<body>", body),
        ):
            text = text.replace(mark, value)
        return text


LENGTH: Final = b"Content-Length: <n>\r\n"
CODING: Final = b"Transfer-Encoding: chunked\r\n"
CHUNKS: Final = b"<x>\r\n<body>\r\n0\r\n\r\n"
EARLY_HINTS: Final = b"HTTP/1.1 103 Early Hints\r\n"
OK: Final = b"HTTP/1.1 200 OK\r\n"


def _in_chunks(body: bytes) -> Form:
    return Form(CODING, body)


SIZES: Final = {
    "letter": _in_chunks(b"<x>x\r\n<body>\r\n0\r\n\r\n"),
    "blank": _in_chunks(b"<x> \r\n<body>\r\n0\r\n\r\n"),
    "blank and a letter": _in_chunks(b"<x> x\r\n<body>\r\n0\r\n\r\n"),
    "blank and a size": _in_chunks(b"<x> <x>\r\n<body>\r\n0\r\n\r\n"),
    "NUL": _in_chunks(b"<x>\x00\r\n<body>\r\n0\r\n\r\n"),
    "comma": _in_chunks(b"<x>,a\r\n<body>\r\n0\r\n\r\n"),
    "blank before": _in_chunks(b" <x>\r\n<body>\r\n0\r\n\r\n"),
    "prefix": _in_chunks(b"0x<x>\r\n<body>\r\n0\r\n\r\n"),
    "sign": _in_chunks(b"+<x>\r\n<body>\r\n0\r\n\r\n"),
    "negative": _in_chunks(b"-<x>\r\n<body>\r\n0\r\n\r\n"),
    "no size": _in_chunks(b"\r\n<body>\r\n0\r\n\r\n"),
    "only an extension": _in_chunks(b";a=b\r\n<body>\r\n0\r\n\r\n"),
    "17 digits": _in_chunks(b"10000000000000000\r\n<body>\r\n0\r\n\r\n"),
    "16 digits": _in_chunks(b"ffffffffffffffff\r\n<body>\r\n0\r\n\r\n"),
    "bare CR": _in_chunks(b"<x>\r<body>\r\n0\r\n\r\n"),
    "two CR": _in_chunks(b"<x>\r\r\n<body>\r\n0\r\n\r\n"),
    "bare LF": _in_chunks(b"<x>\n<body>\r\n0\r\n\r\n"),
    "control byte in an extension": _in_chunks(
        b"<x>;a=\x01\r\n<body>\r\n0\r\n\r\n"
    ),
    "CR in an extension": _in_chunks(b"<x>;a\rb\r\n<body>\r\n0\r\n\r\n"),
    "LF in an extension": _in_chunks(b"<x>;a\nb\r\n<body>\r\n0\r\n\r\n"),
    "one too large": _in_chunks(b"<x+1>\r\n<body>\r\n0\r\n\r\n"),
    "one too small": _in_chunks(b"<x-1>\r\n<body>\r\n0\r\n\r\n"),
    "no line end behind the data": _in_chunks(b"<x>\r\n<body>0\r\n\r\n"),
    "bare LF behind the data": _in_chunks(b"<x>\r\n<body>\n0\r\n\r\n"),
    "bare CR behind the data": _in_chunks(b"<x>\r\n<body>\r0\r\n\r\n"),
    "two CR behind the data": _in_chunks(b"<x>\r\n<body>\r\r\n0\r\n\r\n"),
    "text behind the data": _in_chunks(b"<x>\r\n<body>x\r\n0\r\n\r\n"),
    "last with a letter": _in_chunks(b"<x>\r\n<body>\r\n0x\r\n\r\n"),
    "last with a blank": _in_chunks(b"<x>\r\n<body>\r\n0 \r\n\r\n"),
    "last with NUL": _in_chunks(b"<x>\r\n<body>\r\n0\x00\r\n\r\n"),
    "last with two CR": _in_chunks(b"<x>\r\n<body>\r\n0\r\r\n\r\n"),
    "last with a bare LF": _in_chunks(b"<x>\r\n<body>\r\n0\n\r\n"),
    "no last": _in_chunks(b"<x>\r\n<body>\r\n"),
    "no end": _in_chunks(b"<x>\r\n<body>\r\n0\r\n"),
    "end with a bare LF": _in_chunks(b"<x>\r\n<body>\r\n0\r\n\n"),
    "end with two CR": _in_chunks(b"<x>\r\n<body>\r\n0\r\n\r\r\n"),
}
"""Chunks that are none."""

TRAILERS: Final = {
    name: _in_chunks(b"<x>\r\n<body>\r\n0\r\n" + line + b"\r\n\r\n")
    for name, line in (
        ("no colon", b"no field"),
        ("no name", b": a"),
        ("blank in the name", b"A b: c"),
        ("blank behind the name", b"A : b"),
        ("control byte in the name", b"A\x01: b"),
        ("NUL in the name", b"A\x00: b"),
        ("control byte in the value", b"A: \x02"),
        ("bare CR in the value", b"A: b\rc"),
        ("two CR", b"A: b\r"),
        ("only a CR", b"\r"),
        ("continued", b"A: b\r\n c"),
        ("first line continued", b" A: b"),
        ("blank", b" "),
        ("status line", b"HTTP/1.1 200 OK"),
        ("second without a colon", b"A: b\r\nno field"),
    )
}
"""Lines behind the last chunk that are no fields."""

BROKEN: Final = {
    f"{kind}: {name}": form
    for kind, forms in (
        ("chunk", SIZES),
        ("trailer", TRAILERS),
    )
    for name, form in forms.items()
}
"""Answers that must reach nobody as whole, by name."""

SOUND: Final = {
    "length": Form(LENGTH),
    "length with leading zeros": Form(b"Content-Length: 000<n>\r\n"),
    "length with 30 zeros": Form(b"Content-Length: " + b"0" * 30 + b"<n>\r\n"),
    "same length twice": Form(LENGTH + LENGTH),
    "same length with a zero": Form(LENGTH + b"Content-Length: 0<n>\r\n"),
    "blanks around the length": Form(b"Content-Length: \t <n> \t\r\n"),
    "no blank before the length": Form(b"Content-Length:<n>\r\n"),
    "lower case": Form(b"content-length: <n>\r\n"),
    "upper case": Form(b"CONTENT-LENGTH: <n>\r\n"),
    "no length": Form(b"Connection: close\r\n"),
    "chunks": _in_chunks(CHUNKS),
    "coding in upper case": Form(b"TRANSFER-ENCODING: CHUNKED\r\n", CHUNKS),
    "coding in mixed case": Form(b"Transfer-encoding: Chunked \r\n", CHUNKS),
    "coding behind a comma": Form(b"Transfer-Encoding: , chunked\r\n", CHUNKS),
    "size in upper case": _in_chunks(b"<X>\r\n<body>\r\n0\r\n\r\n"),
    "size with leading zeros": _in_chunks(b"000<x>\r\n<body>\r\n0000\r\n\r\n"),
    "extension": _in_chunks(b"<x>;a=b\r\n<body>\r\n0;c\r\n\r\n"),
    "extension behind a blank": _in_chunks(
        b'<x> ; a="b c"\r\n<body>\r\n0\r\n\r\n'
    ),
    "extension with bytes above 127": _in_chunks(
        b"<x>;a=\xe9\r\n<body>\r\n0\r\n\r\n"
    ),
    "trailer": _in_chunks(b"<x>\r\n<body>\r\n0\r\nA: b\r\nC:\r\n\r\n"),
    "no reason": Form(LENGTH, start=b"HTTP/1.1 200\r\n"),
    "empty reason": Form(LENGTH, start=b"HTTP/1.1 200 \r\n"),
    "reason with bytes above 127": Form(LENGTH, start=b"HTTP/1.1 200 \xe9\r\n"),
    "HTTP/1.0": Form(LENGTH, start=b"HTTP/1.0 200 OK\r\n"),
    "HTTP/1.0 without a length": Form(b"", start=b"HTTP/1.0 200 OK\r\n"),
    "value with bytes above 127": Form(b"A: \xe9\xff\r\n" + LENGTH),
    "value with a tab": Form(b"A: b\tc\r\n" + LENGTH),
    "empty value": Form(b"A:\r\n" + LENGTH),
    "odd name": Form(b"!#$%&'*+-.^_`|~9: a\r\n" + LENGTH),
    "informational": Form(
        LENGTH, start=EARLY_HINTS + b"A: b\r\n\r\nHTTP/1.1 100 \r\n\r\n" + OK
    ),
}
"""Answers that must pass, by name; those without a length end with a close."""
