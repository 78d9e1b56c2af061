"""Answers of faulty servers: fields with odd values, and bytes without end."""

# Values that a parser of numbers may accept, or fail at, in an unexpected way.
ODD_NUMBERS = (
    400 * "9",
    5_000 * "9",
    "-1",
    "+1",
    "1_0",
    "1e400",
    "nan",
    "-inf",
    "0x10",
    "1.5",
    "",
    "\xb2",
    "9223372036854775808",
)

_CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"

# By kind: what is sent first, in which {head} stands for the head of a valid answer
# without its length and {rest} for the rest of it, and what is then repeated.
_ENDLESS = {
    "status line": (b"HTTP/1.1 200 ", b"O"),
    "field name": (b"{head}", b"x"),
    "field value": (b"{head}X-Pad: ", b"x"),
    "fields": (b"{head}", b"X-Pad: 1\r\n"),
    "informational answers": (b"", b"HTTP/1.1 102 Processing\r\n\r\n"),
    "blank lines": (b"", b"\r\n"),
    "chunk size": (b"{head}" + _CHUNKED, b"0"),
    "chunk extension": (b"{head}" + _CHUNKED + b"1;", b"x"),
    "chunks": (b"{head}" + _CHUNKED, b"1\r\nx\r\n"),
    "trailer": (b"{head}" + _CHUNKED + b"1\r\nx\r\n0\r\nX-Pad: ", b"x"),
    "trailers": (b"{head}" + _CHUNKED + b"1\r\nx\r\n0\r\n", b"X-Pad: 1\r\n"),
    "body": (b"{head}\r\n", b"x"),
    "bytes after an answer": (b"{head}{rest}", b"x"),
    "no answer": (b"", b"\0"),
}
ENDLESS_KINDS = tuple(_ENDLESS)


def make_endless(
    kind: str, head: bytes, body: bytes, *, n_bytes: int
) -> tuple[bytes, bytes]:
    """Return the start of an endless answer, and a piece to repeat of `n_bytes`.

    `head` is the head of a valid answer with the line end of its last field.
    """
    start, repeated = _ENDLESS[kind]
    rest = b"Content-Length: %d\r\n\r\n%s" % (len(body), body)
    start = start.replace(b"{rest}", rest).replace(b"{head}", head)
    return start, repeated * max(1, n_bytes // len(repeated))
