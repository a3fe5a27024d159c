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


LENGTHS: Final = {
    "20 digits": Form(b"Content-Length: 99999999999999999999\r\n"),
    "19 digits": Form(b"Content-Length: 9223372036854775808\r\n"),
    "40 digits": Form(b"Content-Length: " + b"7" * 40 + b"\r\n"),
    "20 digits and a length": Form(
        b"Content-Length: 99999999999999999999\r\n" + LENGTH
    ),
    "letter": Form(b"Content-Length: <n>x\r\n"),
    "sign": Form(b"Content-Length: +<n>\r\n"),
    "negative": Form(b"Content-Length: -1\r\n"),
    "hexadecimal": Form(b"Content-Length: 0x<x>\r\n"),
    "fraction": Form(b"Content-Length: <n>.0\r\n"),
    "empty": Form(b"Content-Length:\r\n"),
    "empty and a length": Form(b"Content-Length: \r\n" + LENGTH),
    "blank inside": Form(b"Content-Length: <n> <n>\r\n"),
    "superscript": Form(b"Content-Length: <n>\xb2\r\n"),
    "control byte": Form(b"Content-Length: <n>\x0b\r\n"),
    "quoted": Form(b'Content-Length: "<n>"\r\n'),
    "two": Form(b"Content-Length: <n+1>\r\n" + LENGTH),
    "two in one line": Form(b"Content-Length: <n>, <n+1>\r\n"),
    "list without an end": Form(b"Content-Length: <n>,\r\n"),
}
"""Lengths that are none."""

CODINGS: Final = {
    "length, chunked": Form(LENGTH + CODING, CHUNKS),
    "chunked, length": Form(CODING + LENGTH, CHUNKS),
    "length, identity": Form(LENGTH + b"Transfer-Encoding: identity\r\n"),
    "none": Form(b"Transfer-Encoding:\r\n"),
    "only a comma": Form(b"Transfer-Encoding: ,\r\n", CHUNKS),
    "identity": Form(b"Transfer-Encoding: identity\r\n"),
    "gzip": Form(b"Transfer-Encoding: gzip\r\n"),
    "gzip, chunked": Form(b"Transfer-Encoding: gzip, chunked\r\n", CHUNKS),
    "identity, chunked": Form(
        b"Transfer-Encoding: identity, chunked\r\n", CHUNKS
    ),
    "chunked, identity": Form(
        b"Transfer-Encoding: chunked, identity\r\n", CHUNKS
    ),
    "chunked twice": Form(b"Transfer-Encoding: chunked, chunked\r\n", CHUNKS),
    "chunked in two lines": Form(CODING + CODING, CHUNKS),
    "chunked with a parameter": Form(
        b"Transfer-Encoding: chunked;a=b\r\n", CHUNKS
    ),
    "chunked with a letter": Form(b"Transfer-Encoding: chunkedx\r\n", CHUNKS),
    "quoted": Form(b'Transfer-Encoding: "chunked"\r\n', CHUNKS),
    "HTTP/1.0": Form(CODING, CHUNKS, b"HTTP/1.0 200 OK\r\n"),
    "204": Form(CODING, b"0\r\n\r\n", b"HTTP/1.1 204 X\r\n"),
    "informational": Form(b"", CHUNKS, EARLY_HINTS + CODING + b"\r\n" + OK),
    "informational with a length": Form(
        b"", b"<body>", EARLY_HINTS + LENGTH + b"\r\n" + OK
    ),
}
"""Heads that don't say in one way where the body ends."""

FIELDS: Final = {
    "bare CR": Form(b"\r\r\n" + LENGTH),
    "bare CR at the end": Form(LENGTH + b"\r\r\n"),
    "bare CR before a field": Form(b"\r" + LENGTH),
    "two bare CR": Form(b"\r\r\r\n" + LENGTH),
    "bare CR in a value": Form(b"A: b\rc\r\n" + LENGTH),
    "CR before the line end": Form(b"A: b\r\r\n" + LENGTH),
    "length as a continuation": Form(b"A: b\r\n Content-Length: <n+1>\r\n"),
    "length as a continuation of nothing": Form(
        b"A:\r\n\tcontent-length : <n+1>\r\n"
    ),
    "coding as a continuation": Form(
        LENGTH + b"A: b\r\n Transfer-Encoding: chunked\r\n", CHUNKS
    ),
    "blank and a bare CR": Form(LENGTH + b" \r\r\n"),
    "first line blank": Form(LENGTH, start=OK + b" \r\n"),
    "first line continued": Form(LENGTH, start=OK + b"\tA: b\r\n"),
    "no colon": Form(b"no field\r\n" + LENGTH),
    "no name": Form(b": a\r\n" + LENGTH),
    "blank in a name": Form(b"A b: c\r\n" + LENGTH),
    "blank behind a name": Form(b"A : b\r\n" + LENGTH),
    "blank behind the length": Form(b"Content-Length : <n>\r\n"),
    "tab behind a name": Form(b"A\t: b\r\n" + LENGTH),
    "NUL in a name": Form(b"A\x00b: c\r\n" + LENGTH),
    "control byte in a name": Form(b"A\x01b: c\r\n" + LENGTH),
    "byte above 127 in a name": Form(b"A\xe9: b\r\n" + LENGTH),
    "control byte in the length's name": Form(b"Content-\x7fLength: <n>\r\n"),
    "bracket in a name": Form(b"A(b): c\r\n" + LENGTH),
    "NUL in a value": Form(b"A: b\x00c\r\n" + LENGTH),
    "control byte in a value": Form(b"A: b\x01c\r\n" + LENGTH),
    "second status line": Form(OK + LENGTH),
    "informational without a colon": Form(
        LENGTH, start=EARLY_HINTS + b"no field\r\n\r\n" + OK
    ),
    "informational with a bare CR": Form(
        LENGTH, start=EARLY_HINTS + b"\r\r\n" + OK
    ),
}
"""Heads with a line that is no field."""

STATUS_LINES: Final = {
    start.decode("latin-1"): Form(LENGTH, start=start + b"\r\n")
    for start in (
        b"HTTP/1.1 000 X",
        b"HTTP/1.1 099 X",
        b"HTTP/1.1 600 X",
        b"HTTP/1.1 999 X",
        b"HTTP/1.1 20 X",
        b"HTTP/1.1 2000 X",
        b"HTTP/1.1 200X",
        b"HTTP/1.1 +200 X",
        b"HTTP/1.1  200 X",
        b"HTTP/1.1\t200 X",
        b"HTTP/1.1 200\tX",
        b"HTTP/1.1 200 a\x01b",
        b"HTTP/1.1 200 a\rb",
        b"HTTP/1.1 200 a\x00b",
        b"HTTP/1.2 200 X",
        b"HTTP/2 200 X",
        b"http/1.1 200 X",
        b" HTTP/1.1 200 X",
        b"\r\nHTTP/1.1 200 X",
    )
}
"""Status lines that are none."""

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
        ("length", LENGTHS),
        ("coding", CODINGS),
        ("field", FIELDS),
        ("status", STATUS_LINES),
        ("chunk", SIZES),
        ("trailer", TRAILERS),
    )
    for name, form in forms.items()
}
"""Answers that must reach nobody as whole, by name."""

CONTINUED: Final = {
    "length": Form(b"Content-Length:\r\n <n>\r\n"),
    "too large a length": Form(b"Content-Length:\r\n <n+1>\r\n"),
    "length of two lines": Form(b"Content-Length: <n>\r\n <n>\r\n"),
    "coding": Form(b"Transfer-Encoding:\r\n\tchunked\r\n", CHUNKS),
    "coding without chunks": Form(b"Transfer-Encoding:\r\n chunked\r\n"),
    "blank line": Form(b" \r\nContent-Length: <n+1>\r\n"),
    "blank line behind a field": Form(b"A: b\r\n \t\r\n" + LENGTH),
    "blank line at the end": Form(LENGTH + b" \r\n"),
    "blank line behind too large a length": Form(
        b"Content-Length: <n+1>\r\n \r\n"
    ),
    "value": Form(b"A: b\r\n c\r\n" + LENGTH),
}
"""Heads with continued lines, which may be refused or joined."""

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
