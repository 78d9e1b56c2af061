"""The second codec between hosts: what is sent is what arrives, whatever comes in."""

import contextlib
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lavendergap.protocol.messages import (
    Answers,
    BadFrameError,
    FeedFetch,
    FeedNews,
    FeedState,
    Frame,
    Greatest,
    Message,
    Search,
    ShardAnswer,
    ShardRef,
    Struck,
)
from lavendergap.protocol.packing import (
    MAX_INFLATED_BYTES,
    pack_news,
    pack_state,
    unpack,
)
from lavendergap.protocol.peer import (
    LENGTH,
    decode_frame,
    encode_frame,
    read_length,
)
from lavendergap.state.feeds import FeedChange, FeedEntry
from lavendergap.state.forwarding import ForwardedRequest
from lavendergap.state.outcome import Answered, NotRun, Reason, Step
from lavendergap.state.quarantine import Strike

GREATEST = Greatest(
    request=ForwardedRequest(
        method=b"GET",
        target=b"/a/b?c=%20",
        attempt=b"r1",
        headers=((b"host", b"a.example"),),
    ),
    n_wanted=50,
    goal_ms=83,
    max_attempts=2,
    priority=1,
    is_repeat=True,
)
MESSAGES: list[Message] = [
    Search(
        request_id="r1",
        service="route",
        version=7,
        left_ms=250,
        body=b"{}",
        shards=(ShardRef(shard="s1", group="s1"),),
        greatest=GREATEST,
    ),
    Answers(
        answers=(
            ShardAnswer(
                shard="s1",
                server="i-1",
                outcome=Answered(body=b"", headers=((b"x-proof", b"p"),)),
            ),
            ShardAnswer(
                shard="s2",
                server="",
                outcome=NotRun(step=Step.ROUTE, peer="s2", reason=Reason.NO_REPLICA),
            ),
        ),
        records=b"r" * 32,
    ),
    FeedNews(
        feed="servers",
        base=3,
        revision=5,
        changes=(
            FeedChange(name="i-1", body=b"{}"),
            FeedChange(name="i-2", body=None),
        ),
        fingerprint=2**64 - 1,
        passes_on=True,
    ),
    FeedNews(
        feed="routes",
        base=5,
        revision=5,
        changes=(FeedChange(name="main", body=b"r" * 100_000),),
        fingerprint=0,
        passes_on=True,
    ),
    Struck(
        strike=Strike(
            name="c.1", content="c", host="a-1", servers=("i-1", "i-2"), is_trial=True
        ),
        passes_on=True,
    ),
    FeedFetch(feed="routes"),
    FeedFetch(feed="servers", hashes=(0, 2**64 - 1)),
    FeedState(feed="servers", revision=5, entries=(), buckets=(3, 63)),
    FeedState(feed="routes", revision=5, entries=(FeedEntry(name="main", body=b"x"),)),
]


def make_servers(n_servers: int) -> FeedState:
    """Return the feed of so many servers; what differs is drawn at random."""
    dice = Random(1)
    entries = []
    for n in range(n_servers):
        address = f"10.4.{dice.randrange(256)}.{dice.randrange(256)}:8360"
        body = (
            f'{{"service":"dele{dice.randrange(100)}a","address":"{address}",'
            f'"zone":"ptl-a","version":"v1","slots":2,"state":"ready",'
            f'"warmup_left_ms":0,"born":{1_700_000_000_000 + n},"seq_no":{n}}}'
        )
        entries.append(
            FeedEntry(name=f"i-{dice.randbytes(5).hex()}", body=body.encode())
        )
    return FeedState(feed="servers", revision=5, entries=tuple(entries))


def pass_through(message: Message) -> Message:
    data = encode_frame(Frame(id=9, message=message))
    length, is_packed = read_length(data, 0)
    body = data[LENGTH.size :]
    assert (len(body), is_packed) == (length, True)
    frame = decode_frame(body, is_packed=True)
    assert frame.id == 9
    return frame.message


class TestRoundTrip:
    @pytest.mark.parametrize("message", MESSAGES, ids=lambda m: type(m).__name__)
    def test_what_is_sent_arrives(self, message):
        assert pass_through(message) == message


class TestGarbage:
    @given(st.binary(max_size=60))
    def test_any_bytes_are_a_message_or_a_bad_frame(self, body):
        with contextlib.suppress(BadFrameError):
            decode_frame(body, is_packed=True)

    @given(st.integers(0, len(MESSAGES) - 1), st.data())
    def test_a_torn_message_is_a_bad_frame(self, place, data):
        whole = encode_frame(Frame(id=1, message=MESSAGES[place]))[LENGTH.size :]
        cut = data.draw(st.integers(0, len(whole) - 1))
        with pytest.raises(BadFrameError):
            decode_frame(whole[:cut], is_packed=True)


class TestLongNews:
    # An operator's document of 100 KB is told to one host of each other data centre.
    # It must cross as some kilobytes, and a frame that swells to fill a weak host's
    # memory must be refused before it does.

    def make_news(self, body: bytes, *, passes_on: bool) -> FeedNews:
        return FeedNews(
            feed="routes",
            base=1,
            revision=2,
            changes=(FeedChange(name="main", body=body),),
            fingerprint=1,
            passes_on=passes_on,
        )

    def test_they_cross_packed(self):
        routes = [f'{{"name": "r{n}", "timeout_ms": 400}}' for n in range(3_000)]
        body = ",".join(routes).encode()
        assert len(body) > 100_000
        packed = pack_news(1, self.make_news(body, passes_on=True))
        assert len(packed) < len(body) / 8

    def test_neighbours_get_them_packed(self):
        """Guards against a relay whose link is full of copies for its neighbours."""
        body = b'{"name": "r1", "timeout_ms": 400},' * 3_000
        packed = pack_news(1, self.make_news(body, passes_on=False))
        assert len(packed) < len(body) / 8

    def test_a_whole_copy_is_packed(self):
        """Guards against the same of a host whose copy all neighbours ask for."""
        state = make_servers(405)
        plain = sum(len(entry.body) for entry in state.entries)
        packed = pack_state(1, state)
        assert len(packed) < plain / 4
        assert unpack(packed).message == state

    def test_a_frame_that_swells_is_refused(self):
        news = self.make_news(b"0" * (MAX_INFLATED_BYTES + 1), passes_on=True)
        with pytest.raises(BadFrameError):
            unpack(pack_news(1, news))
