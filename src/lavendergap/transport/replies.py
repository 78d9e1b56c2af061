"""Parses an HTTP answer of a backend server from the bytes of its connection.

The parser is that of httptools, which is written in C: a host reads thousands of
answers a second, and h11's parser in Python takes eight times as long for 1 KB.
"""

from collections.abc import Mapping

import httptools

from ..protocol.backend import MIN_NON_SUCCESS_STATUS, Reply

# Larger than any valid answer; a faulty server must not exhaust the memory.
MAX_ANSWER_BYTES = 4 * 1024 * 1024
# Limits the head, with informational answers before it, the framing of chunks and the
# trailers. A faulty server may send any of them without end.
MAX_HEAD_BYTES = 64 * 1024
# Bytes on the connection for each byte of a body in the smallest chunks, with some room
# for extensions.
MAX_BYTES_PER_BODY_BYTE = 16
# Each chunk costs processor time; a body of more than these is not a usual one.
MAX_CHUNKS = 16_384
MIN_STATUS = 100
FIRST_FINAL_STATUS = 200  # lower ones are informational and precede the answer
CONTENT_LENGTH = b"content-length"
TRANSFER_ENCODING = b"transfer-encoding"
CHUNKED = b"chunked"


class WrongAnswerError(Exception):
    """The bytes of a connection are not a valid, complete answer."""


class ReplyReader:
    """Collects an answer; `is_whole` is whether it is complete.

    `has_trailing_data` is whether bytes arrived after it. They belong to no request, so
    that later answers on the connection can no longer be assigned to requests.

    A server may send its last answer again, at the point where this one is due. An
    answer with the header `copied`, that of the last one, is skipped; `has_skipped` is
    whether there was one.

    >>> reader = ReplyReader()
    >>> reader.feed(b"HTTP/1.1 200 OK\\r\\nContent-Length: 2\\r\\n\\r\\no")
    >>> reader.is_whole
    False
    >>> reader.feed(b"k")
    >>> reader.is_whole, reader.make_reply().body
    (True, b'ok')
    """

    __slots__ = (
        "is_whole",
        "has_trailing_data",
        "may_keep_alive",
        "copied",
        "has_skipped",
        "_parser",
        "_has_no_body",
        "_has_head",
        "_ends_with_connection",
        "_status",
        "_headers",
        "_body",
        "_n_bytes",
        "_n_body_bytes",
        "_n_chunks",
    )

    def __init__(self, *, has_no_body: bool = False) -> None:
        self.is_whole = False
        self.has_trailing_data = False
        self.may_keep_alive = False
        self.copied: tuple[bytes, bytes] | None = None
        self.has_skipped = False
        self._parser: httptools.HttpResponseParser | None
        self._parser = httptools.HttpResponseParser(self)
        self._has_no_body = has_no_body
        self._has_head = False
        self._ends_with_connection = False
        self._status = 0
        self._headers: dict[bytes, bytes] = {}
        self._body = bytearray()
        self._n_bytes = 0
        self._n_body_bytes = 0
        self._n_chunks = 0

    def feed(self, data: bytes) -> None:
        """Parse received bytes; raises `WrongAnswerError` if they are invalid."""
        if self.is_whole:
            self.has_trailing_data = True
            return
        self._n_bytes += len(data)
        assert self._parser is not None
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if not self.is_whole:
                # A callback's own error is the context of the parser's.
                problem = str(error.__context__ or error)
                raise WrongAnswerError(problem) from error
            self.has_trailing_data = True
        if not self.is_whole and self._n_bytes > (
            MAX_HEAD_BYTES + MAX_BYTES_PER_BODY_BYTE * self._n_body_bytes
        ):
            raise WrongAnswerError("the head, chunk framing or trailers are too long")

    def end(self) -> None:
        """Handle the end of the connection, which may complete the answer."""
        if not (self._has_head and self._ends_with_connection):
            raise WrongAnswerError("the connection ended before the answer")
        self.is_whole = True

    @property
    def has_begun(self) -> bool:
        """Whether any byte of an answer was received."""
        return self._n_bytes > 0

    @property
    def n_bytes(self) -> int:
        """The number of bytes received of the answer so far."""
        return self._n_bytes

    @property
    def is_success(self) -> bool:
        """Whether the answer, which must be complete, has a 2xx status."""
        return FIRST_FINAL_STATUS <= self._status < MIN_NON_SUCCESS_STATUS

    @property
    def headers(self) -> Mapping[bytes, bytes]:
        """The headers received so far, with names in lower case."""
        return self._headers

    def make_reply(self) -> Reply:
        """Return the answer, which must be complete."""
        return Reply(status=self._status, headers=self._headers, body=bytes(self._body))

    def discard(self) -> None:
        """Free what was received; the answer can no longer be read or made a reply.

        The parser and this object refer to each other, so that the memory of long
        answers would be freed only by the next collection of cycles.
        """
        self._parser = None
        self._headers = {}
        self._body = bytearray()

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Detect a message after the complete answer."""
        if self.is_whole:
            self.has_trailing_data = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header; ignore a trailer, which must not replace a header.

        The parser leaves white space at a value's end, which cannot be forwarded.
        """
        if not self._has_head:
            self._headers[name.lower()] = value.rstrip(b" \t")

    def on_headers_complete(self) -> None:
        """Determine how the end of the body is marked."""
        if self.is_whole:
            return
        assert self._parser is not None
        self._status = self._parser.get_status_code()
        if self._status < MIN_STATUS:
            raise WrongAnswerError(f"the status {self._status}")
        if self._status < FIRST_FINAL_STATUS:
            return
        self._has_head = True
        self.may_keep_alive = self._parser.should_keep_alive()
        encoding = self._headers.get(TRANSFER_ENCODING)
        if encoding is not None and encoding.strip().lower() != CHUNKED:
            raise WrongAnswerError("an unknown transfer encoding")
        has_length = CONTENT_LENGTH in self._headers
        self._ends_with_connection = encoding is None and not has_length
        if self._has_no_body:
            # The headers may announce a body, which is never sent.
            self.is_whole = True
            self.may_keep_alive = False

    def on_body(self, data: bytes) -> None:
        """Store a part of the body."""
        if self.is_whole:
            return
        # A list of the parts would take many times their length for small chunks.
        self._body += data
        self._n_body_bytes += len(data)
        self._n_chunks += 1
        if self._n_body_bytes > MAX_ANSWER_BYTES or self._n_chunks > MAX_CHUNKS:
            raise WrongAnswerError("the answer is too large")

    def on_message_complete(self) -> None:
        """Mark the answer as complete, unless it is an informational one or a copy."""
        if self._status < FIRST_FINAL_STATUS:
            self._headers = {}
        elif self._is_copy():
            self.has_skipped = True
            self._has_head = False
            self._headers = {}
            self._body = bytearray()
            self._n_bytes = self._n_body_bytes = 0
        else:
            self.is_whole = True

    def _is_copy(self) -> bool:
        if self.copied is None or self.has_skipped or self.is_whole:
            return False
        name, value = self.copied
        return self._headers.get(name) == value
