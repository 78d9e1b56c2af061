"""Parsing of answers: complete, truncated, invalid, and with trailing data."""

import h11
import pytest
from hypothesis import given
from hypothesis import strategies as st

from lavendergap.transport.replies import (
    MAX_ANSWER_BYTES,
    MAX_HEAD_BYTES,
    ReplyReader,
    WrongAnswerError,
)

WHOLE = b"HTTP/1.1 200 OK\r\nX-Proof: p\r\nContent-Length: 5\r\n\r\nwhole"
CHUNKED = (
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"3\r\nwho\r\n2\r\nle\r\n0\r\n\r\n"
)
ENDLESS = b"HTTP/1.1 200 OK\r\nx-proof: p\r\n\r\nwhole"


COPY = b"HTTP/1.1 503 Full\r\nX-Attempt: r1\r\nContent-Length: 4\r\n\r\nfull"


def read(data: bytes) -> ReplyReader:
    reader = ReplyReader()
    reader.feed(data)
    return reader


def feed_in_pieces(reader: ReplyReader, data: bytes, cuts: list[int]) -> None:
    places = [0, *sorted(min(cut, len(data)) for cut in cuts), len(data)]
    for start, end in zip(places, places[1:], strict=False):
        assert not reader.is_whole or start == len(data)
        if start < end:
            reader.feed(data[start:end])
    assert reader.is_whole


class TestWhole:
    @pytest.mark.parametrize("data", [WHOLE, CHUNKED])
    @given(cuts=st.lists(st.integers(0, 100), max_size=5))
    def test_however_the_bytes_come(self, data, cuts):
        reader = ReplyReader()
        feed_in_pieces(reader, data, cuts)
        assert reader.may_keep_alive
        assert not reader.has_trailing_data
        reply = reader.make_reply()
        assert (reply.status, reply.body) == (200, b"whole")

    def test_an_answer_without_length_ends_with_its_connection(self):
        reader = read(ENDLESS)
        assert not reader.is_whole
        reader.end()
        assert reader.is_whole
        assert not reader.may_keep_alive
        assert reader.make_reply().body == b"whole"

    def test_an_informational_answer_is_skipped(self):
        reader = read(b"HTTP/1.1 100 Continue\r\nx-a: 1\r\n\r\n" + WHOLE)
        assert reader.is_whole
        assert b"x-a" not in reader.make_reply().headers

    @pytest.mark.parametrize("status", [b"204 No Content", b"304 Not Modified"])
    def test_statuses_without_a_body(self, status):
        reader = read(b"HTTP/1.1 " + status + b"\r\n\r\n")
        assert reader.is_whole

    def test_an_answer_to_head_has_no_body(self):
        reader = ReplyReader(has_no_body=True)
        reader.feed(b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\n")
        assert reader.is_whole
        assert reader.make_reply().body == b""
        assert not reader.may_keep_alive

    def test_connection_close_prevents_reuse(self):
        reader = read(WHOLE.replace(b"X-Proof: p", b"Connection: close"))
        assert reader.is_whole
        assert not reader.may_keep_alive


class TestTrailingData:
    """Data after a complete answer, such as a duplicate or a late answer.

    It must not be read as the answer to the next request on the connection.
    """

    @pytest.mark.parametrize(
        "extra", [WHOLE, b"H", b"garbage", b"\x00", b"HTTP/1.1 200 OK\r\n\r\n"]
    )
    def test_in_one_piece(self, extra):
        reader = read(WHOLE + extra)
        assert reader.is_whole
        assert reader.has_trailing_data
        assert reader.make_reply().body == b"whole"

    def test_in_the_next_piece(self):
        reader = read(WHOLE)
        reader.feed(b"\r\n")
        assert reader.has_trailing_data

    def test_after_a_chunked_one(self):
        assert read(CHUNKED + WHOLE).has_trailing_data


class TestCopies:
    """A copy of the last answer on the connection, before the one that is due."""

    @staticmethod
    def make_reader() -> ReplyReader:
        reader = ReplyReader()
        reader.copied = (b"x-attempt", b"r1")
        return reader

    @pytest.mark.parametrize("data", [WHOLE, CHUNKED])
    @given(cuts=st.lists(st.integers(0, 150), max_size=5))
    def test_the_answer_after_it_is_read(self, data, cuts):
        reader = self.make_reader()
        feed_in_pieces(reader, COPY + data, cuts)
        assert reader.has_skipped
        reply = reader.make_reply()
        assert (reply.status, reply.body) == (200, b"whole")
        assert b"x-attempt" not in reply.headers

    def test_only_one_is_skipped(self):
        # Guards against a server that sends copies without end.
        reader = self.make_reader()
        reader.feed(COPY + COPY)
        assert reader.is_whole
        assert reader.make_reply().status == 503

    def test_a_connection_that_ends_after_it_has_no_answer(self):
        reader = self.make_reader()
        reader.feed(COPY)
        assert not reader.is_whole
        assert not reader.has_begun


class TestInvalid:
    @pytest.mark.parametrize(
        "data",
        [
            b"\x16\x03\x01 no http",
            b"HTTP/1.1 2x0 OK\r\n\r\n",
            b"HTTP/1.1 200 OK\r\nno colon\r\n\r\n",
            b"HTTP/1.1 200 OK\r\ncontent-length: -1\r\n\r\n",
            b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\ncontent-length: 3\r\n\r\nab",
            b"HTTP/1.1 200 OK\r\ntransfer-encoding: gzip\r\n\r\nab",
            b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n",
            b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\ncontent-length: 2"
            b"\r\n\r\nab",
            b"HTTP/1.1 101 Switching Protocols\r\nupgrade: x\r\n"
            b"connection: upgrade\r\n\r\nab",
        ],
    )
    def test_bytes_that_are_no_answer(self, data):
        with pytest.raises(WrongAnswerError):
            read(data)

    @pytest.mark.parametrize("data", [WHOLE[:-1], CHUNKED[:-2], WHOLE[:30], b""])
    def test_an_answer_that_ends_early(self, data):
        reader = ReplyReader()
        if data:
            reader.feed(data)
        with pytest.raises(WrongAnswerError):
            reader.end()

    def test_a_head_without_end(self):
        reader = read(b"HTTP/1.1 200 OK\r\nx-a: ")
        with pytest.raises(WrongAnswerError):
            reader.feed(b"x" * MAX_HEAD_BYTES)

    def test_a_body_without_end(self):
        reader = read(ENDLESS)
        with pytest.raises(WrongAnswerError):
            for _ in range(MAX_ANSWER_BYTES // 65_536 + 1):
                reader.feed(b"x" * 65_536)

    @given(data=st.binary(max_size=200))
    def test_no_bytes_raise_anything_else(self, data):
        for start in (b"", b"HTTP/1.1 200 OK\r\n", WHOLE[:-5]):
            reader = ReplyReader()
            try:
                reader.feed(start + data)
                reader.end()
            except WrongAnswerError:
                pass


class TestAgainstAnotherParser:
    @given(
        status=st.sampled_from([200, 404, 500, 503]),
        body=st.binary(max_size=300),
        headers=st.dictionaries(
            st.from_regex(r"x-[a-z]{1,8}", fullmatch=True),
            st.from_regex(r"[!-~]{1,20}", fullmatch=True),
            max_size=4,
        ),
    )
    def test_what_h11_writes_is_read_alike(self, status, body, headers):
        writer = h11.Connection(h11.SERVER)
        writer.receive_data(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n")
        writer.next_event()
        writer.next_event()
        fields = [(name.encode(), value.encode()) for name, value in headers.items()]
        fields.append((b"content-length", b"%d" % len(body)))
        data = writer.send(h11.Response(status_code=status, headers=fields))
        data += writer.send(h11.Data(data=body)) + writer.send(h11.EndOfMessage())
        reply = read(data).make_reply()
        assert (reply.status, reply.body) == (status, body)
        assert reply.headers == dict(fields)
