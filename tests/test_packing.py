"""The msgpack codec between hosts: round trips, malformed input and compression."""

import contextlib
from dataclasses import replace
from random import Random

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from lavendergap.protocol.messages import (
    Answers,
    BadFrameError,
    CountHandover,
    FeedFetch,
    FeedState,
    FeedUpdate,
    Frame,
    GreatestOptions,
    HandoverRequest,
    Message,
    PermitGrant,
    PermitRequest,
    PermitReturn,
    Search,
    ShardAnswer,
    ShardRef,
    StrikeReport,
)
from lavendergap.protocol.packing import (
    MAX_INFLATED_BYTES,
    pack_feed_update,
    pack_state,
    unpack,
)
from lavendergap.protocol.peer import (
    LENGTH_PREFIX,
    decode_frame,
    encode_frame,
    read_length_prefix,
)
from lavendergap.state.customers import Precedence
from lavendergap.state.feeds import FeedChange, FeedEntry, StoreContact, StorePosition
from lavendergap.state.forwarding import ForwardedRequest
from lavendergap.state.outcome import Answered, NotRun, Reason, Step
from lavendergap.state.quarantine import Strike

GREATEST = GreatestOptions(
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
        precedence=Precedence(customer="c1", weight=0.5, priority=2),
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
                n_servers=2,
            ),
        ),
        records=b"r" * 32,
    ),
    FeedUpdate(
        feed="servers",
        base=StorePosition(epoch=3, revision=3),
        position=StorePosition(epoch=3, revision=5),
        changes=(
            FeedChange(name="i-1", body=b"{}"),
            FeedChange(name="i-2", body=None),
        ),
        fingerprint=2**64 - 1,
        should_relay=True,
    ),
    FeedUpdate(
        feed="routes",
        base=StorePosition(epoch=3, revision=5),
        position=StorePosition(epoch=3, revision=5),
        changes=(FeedChange(name="main", body=b"r" * 100_000),),
        fingerprint=0,
        should_relay=True,
    ),
    StrikeReport(
        strike=Strike(
            name="c.1", content="c", host="a-1", servers=("i-1", "i-2"), is_trial=True
        ),
        should_relay=True,
    ),
    FeedFetch(feed="routes"),
    FeedFetch(feed="servers", hashes=(0, 2**64 - 1)),
    FeedState(
        feed="servers",
        position=StorePosition(epoch=3, revision=5),
        entries=(),
        buckets=(3, 63),
    ),
    FeedState(
        feed="routes",
        position=StorePosition(epoch=3, revision=5),
        entries=(FeedEntry(name="main", body=b"x"),),
    ),
    PermitRequest(customer="c1", n=3),
    PermitGrant(
        n=0, valid_ms=500, next_ms=70, retry_ms=210, is_counting=True, n_used=60
    ),
    PermitReturn(customer="c1", n=1),
    HandoverRequest(customer="c1"),
    CountHandover(
        customer="c1",
        tokens=2.5,
        was_counting=True,
        rank=1,
        is_sure=True,
        gone=(("a-1", 7_000_000),),
        n_hosts=72,
    ),
]


def make_servers(n_servers: int) -> FeedState:
    """Return a feed of `n_servers` entries with random ids, addresses and services."""
    rng = Random(1)
    entries = []
    for n in range(n_servers):
        address = f"10.4.{rng.randrange(256)}.{rng.randrange(256)}:8360"
        body = (
            f'{{"service":"dele{rng.randrange(100)}a","address":"{address}",'
            f'"zone":"ptl-a","version":"v1","slots":2,"state":"ready",'
            f'"warmup_left_ms":0,"born":{1_700_000_000_000 + n},"seq_no":{n}}}'
        )
        entries.append(
            FeedEntry(name=f"i-{rng.randbytes(5).hex()}", body=body.encode())
        )
    return FeedState(
        feed="servers",
        position=StorePosition(epoch=3, revision=5),
        entries=tuple(entries),
    )


def send_and_receive(message: Message) -> Message:
    data = encode_frame(Frame(id=9, message=message))
    length, is_packed = read_length_prefix(data, 0)
    body = data[LENGTH_PREFIX.size :]
    assert (len(body), is_packed) == (length, True)
    frame = decode_frame(body, is_packed=True)
    assert frame.id == 9
    return frame.message


class TestRoundTrip:
    @pytest.mark.parametrize("message", MESSAGES, ids=lambda m: type(m).__name__)
    def test_round_trip(self, message):
        assert send_and_receive(message) == message


class TestOtherReleases:
    """Guards against channels that close while hosts are upgraded one by one."""

    FEEDS = [m for m in MESSAGES if isinstance(m, FeedUpdate | FeedState)]

    @pytest.mark.parametrize("message", FEEDS, ids=lambda m: type(m).__name__)
    def test_a_message_without_an_epoch_is_of_epoch_0(self, message):
        body = encode_frame(Frame(id=1, message=message))[LENGTH_PREFIX.size :]
        fields = msgspec.msgpack.decode(body)
        n_later = 2 if isinstance(message, FeedUpdate) else 0
        body = msgspec.msgpack.encode(fields[: -1 - n_later])
        older = decode_frame(body, is_packed=True)
        assert isinstance(older.message, FeedUpdate | FeedState)
        assert older.message.position == replace(message.position, epoch=0)

    def test_an_update_without_the_sender_s_contact(self):
        [message, *_] = [m for m in self.FEEDS if isinstance(m, FeedUpdate)]
        body = encode_frame(Frame(id=1, message=message))[LENGTH_PREFIX.size :]
        fields = msgspec.msgpack.decode(body)
        older = decode_frame(msgspec.msgpack.encode(fields[:-2]), is_packed=True)
        assert older.message == replace(message, contact=StoreContact())

    @pytest.mark.parametrize("message", FEEDS, ids=lambda m: type(m).__name__)
    def test_fields_of_a_newer_release_are_skipped(self, message):
        body = encode_frame(Frame(id=1, message=message))[LENGTH_PREFIX.size :]
        fields = [*msgspec.msgpack.decode(body), "new"]
        newer = decode_frame(msgspec.msgpack.encode(fields), is_packed=True)
        assert newer.message == message


class TestMalformedInput:
    @given(st.binary(max_size=60))
    def test_arbitrary_bytes_raise_only_bad_frame_errors(self, body):
        with contextlib.suppress(BadFrameError):
            decode_frame(body, is_packed=True)

    @given(st.integers(0, len(MESSAGES) - 1), st.data())
    def test_a_truncated_message_is_a_bad_frame(self, place, data):
        whole = encode_frame(Frame(id=1, message=MESSAGES[place]))[LENGTH_PREFIX.size :]
        cut = data.draw(st.integers(0, len(whole) - 1))
        with pytest.raises(BadFrameError):
            decode_frame(whole[:cut], is_packed=True)


class TestNumbersOutOfRange:
    """Guards against a peer whose count would corrupt that of this host."""

    @pytest.mark.parametrize("tokens", [-1.0, 1e12, float("inf"), float("nan")])
    def test_tokens(self, tokens):
        handover = replace(MESSAGES[-1], tokens=tokens)
        with pytest.raises(BadFrameError):
            send_and_receive(handover)

    @pytest.mark.parametrize("n", [-1, 10_000_000])
    @pytest.mark.parametrize("kind", [PermitRequest, PermitReturn])
    def test_permits(self, kind, n):
        with pytest.raises(BadFrameError):
            send_and_receive(kind(customer="c1", n=n))


class TestCompression:
    # Guards against sending long documents uncompressed between data centres, and
    # against frames that exhaust a host's memory when they are decompressed.

    def make_update(self, body: bytes, *, should_relay: bool) -> FeedUpdate:
        return FeedUpdate(
            feed="routes",
            base=StorePosition(epoch=3, revision=1),
            position=StorePosition(epoch=3, revision=2),
            changes=(FeedChange(name="main", body=body),),
            fingerprint=1,
            should_relay=should_relay,
        )

    def test_a_long_document_is_compressed(self):
        routes = [f'{{"name": "r{n}", "timeout_ms": 400}}' for n in range(3_000)]
        body = ",".join(routes).encode()
        assert len(body) > 100_000
        packed = pack_feed_update(1, self.make_update(body, should_relay=True))
        assert len(packed) < len(body) / 8

    def test_a_relayed_document_is_compressed(self):
        """Guards against a relay that fills its link with copies for its neighbours."""
        body = b'{"name": "r1", "timeout_ms": 400},' * 3_000
        packed = pack_feed_update(1, self.make_update(body, should_relay=False))
        assert len(packed) < len(body) / 8

    def test_a_full_copy_of_a_feed_is_compressed(self):
        """Guards against a host that fills its link when neighbours fetch its copy."""
        state = make_servers(405)
        plain = sum(len(entry.body) for entry in state.entries)
        packed = pack_state(1, state)
        assert len(packed) < plain / 4
        assert unpack(packed).message == state

    def test_a_decompression_bomb_is_rejected(self):
        update = self.make_update(b"0" * (MAX_INFLATED_BYTES + 1), should_relay=True)
        with pytest.raises(BadFrameError):
            unpack(pack_feed_update(1, update))
