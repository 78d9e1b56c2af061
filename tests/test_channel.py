"""Channels between entry processes: silent channels, dials and invalid frames."""

from collections.abc import Awaitable, Callable
from functools import partial

import pytest
import trio
import trio.testing

from lavendergap.protocol.messages import (
    Answers,
    BadFrameError,
    Cancel,
    Fetch,
    Frame,
    Hello,
    Search,
    ShardAnswer,
    ShardRef,
)
from lavendergap.protocol.messages import Document as DocumentMessage
from lavendergap.protocol.peer import (
    LENGTH_PREFIX,
    MAX_FRAME_BYTES,
    decode_frame,
    encode_frame,
    read_length_prefix,
)
from lavendergap.state.outcome import Answered, NotRun, Reason, Step, Unknown
from lavendergap.state.settings import Address
from lavendergap.transport.acceptor import HELLO_TIMEOUT_S, Acceptor
from lavendergap.transport.channel import (
    IDLE_TIMEOUT_S,
    SILENCE_TIMEOUT_S,
    Channel,
    LossReason,
)
from lavendergap.transport.dialer import CONNECT_TIMEOUT_S, Dialer

ADDRESS = Address(ip="127.0.0.1", port=8101)
FETCH = Fetch(name="settings/demo", at_least=1)


def make_hello(host: str, **changes) -> Hello:
    values = {"deployment": "demo", "host": host, "incarnation": 1, **changes}
    return Hello(**values)


HELLO = encode_frame(Frame(id=0, message=make_hello("ptl-a-1")))


class Pair:
    """A dialer of one host and an acceptor of another, over a stream in memory."""

    def __init__(self, *, nursery: trio.Nursery, accepts_as: Hello) -> None:
        self.handled: list[Frame] = []
        self.lost: list[Channel] = []
        self.answers = True
        self.acceptor = Acceptor(
            own=accepts_as, on_frame=self._handle, on_loss=self.lost.append
        )
        self.dialer = Dialer(
            own=make_hello("ptl-a-1"), nursery=nursery, connect=self._connect
        )
        self.n_connects = 0
        self.is_silent = False
        self._nursery = nursery

    async def _connect(self, address: Address) -> trio.abc.Stream:
        self.n_connects += 1
        ours, theirs = trio.testing.memory_stream_pair()
        sending = theirs.send_stream
        sending.send_all_hook = self._hold_while_silent(sending.send_all_hook)
        self._nursery.start_soon(self.acceptor.serve_stream, theirs)
        return ours

    def _hold_while_silent(
        self, deliver: Callable[[], Awaitable[object]] | None
    ) -> Callable[[], Awaitable[object]]:
        async def hold() -> None:
            if self.is_silent:
                await trio.sleep_forever()
            assert deliver is not None
            await deliver()

        return hold

    def _handle(self, channel: Channel, frame: Frame) -> None:
        self.handled.append(frame)
        if self.answers:
            reply = DocumentMessage(name=FETCH.name, version=7, body=b"{}")
            channel.send(Frame(id=frame.id, message=reply))


class TestDialer:
    async def test_requests_share_one_channel(self, autojump_clock):
        async with trio.open_nursery() as nursery:
            pair = Pair(nursery=nursery, accepts_as=make_hello("ptl-b-1"))
            for _ in range(3):
                channel = await pair.dialer.dial("ptl-b-1", ADDRESS)
                assert isinstance(channel, Channel)
                reply = await channel.ask(FETCH, limit=1.0)
                assert isinstance(reply, DocumentMessage)
            assert pair.n_connects == 1
            nursery.cancel_scope.cancel()

    async def test_silent_channel_is_lost_and_a_fresh_one_works(self, autojump_clock):
        # A middlebox drops the connection's state. Requests have to fail within the
        # silence timeout, and later ones have to use a new connection.
        async with trio.open_nursery() as nursery:
            pair = Pair(nursery=nursery, accepts_as=make_hello("ptl-b-1"))
            channel = await pair.dialer.dial("ptl-b-1", ADDRESS)
            assert isinstance(channel, Channel)
            pair.is_silent = True
            started = trio.current_time()
            assert await channel.ask(FETCH, limit=60.0) is LossReason.SILENT
            assert trio.current_time() - started < 2 * SILENCE_TIMEOUT_S
            pair.is_silent = False
            channel = await pair.dialer.dial("ptl-b-1", ADDRESS)
            assert isinstance(channel, Channel)
            assert isinstance(await channel.ask(FETCH, limit=1.0), DocumentMessage)
            assert pair.n_connects == 2
            nursery.cancel_scope.cancel()

    async def test_slow_answer_is_not_taken_for_silence(self, autojump_clock):
        # The peer is slow to reply but answers pings. Closing the channel would lose
        # all requests on it.
        async with trio.open_nursery() as nursery:
            pair = Pair(nursery=nursery, accepts_as=make_hello("ptl-b-1"))
            pair.answers = False
            channel = await pair.dialer.dial("ptl-b-1", ADDRESS)
            assert isinstance(channel, Channel)
            assert (
                await channel.ask(FETCH, limit=10 * SILENCE_TIMEOUT_S)
                is LossReason.SILENT
            )
            assert channel.is_open
            nursery.cancel_scope.cancel()

    async def test_stall_of_this_process_is_not_taken_for_silence(self, autojump_clock):
        # After a stall of this process, timers have expired and data of peers is still
        # unread. Closing the channels would lose all requests on them.
        async with trio.open_nursery() as nursery:
            pair = Pair(nursery=nursery, accepts_as=make_hello("ptl-b-1"))
            channel = await pair.dialer.dial("ptl-b-1", ADDRESS)
            assert isinstance(channel, Channel)
            pair.answers = False
            nursery.start_soon(partial(channel.ask, FETCH, limit=60.0))
            await trio.sleep(0.01)
            autojump_clock.jump(2.0)
            await trio.sleep(1.0)
            assert channel.is_open
            nursery.cancel_scope.cancel()

    async def test_silence_is_detected_although_each_request_times_out_earlier(
        self, autojump_clock
    ):
        # If each request restarted the silence timeout, a silent channel on which all
        # requests time out earlier would never be closed.
        async with trio.open_nursery() as nursery:
            pair = Pair(nursery=nursery, accepts_as=make_hello("ptl-b-1"))
            channel = await pair.dialer.dial("ptl-b-1", ADDRESS)
            assert isinstance(channel, Channel)
            pair.is_silent = True
            for _ in range(10):
                await channel.ask(FETCH, limit=SILENCE_TIMEOUT_S / 4)
            assert not channel.is_open
            nursery.cancel_scope.cancel()

    async def test_concurrent_requests_share_one_dial_of_a_silent_host(
        self, autojump_clock
    ):
        # If ten queries dialled a silent host in turn, the last would wait for ten
        # timeouts.
        async with trio.open_nursery() as nursery:
            pair = Pair(nursery=nursery, accepts_as=make_hello("ptl-b-1"))
            pair.is_silent = True
            async with trio.open_nursery() as dials:
                for _ in range(10):
                    dials.start_soon(pair.dialer.dial, "ptl-b-1", ADDRESS)
            assert trio.current_time() <= 2 * CONNECT_TIMEOUT_S
            assert pair.n_connects == 1
            nursery.cancel_scope.cancel()

    async def test_dial_continues_when_one_of_its_waiters_is_cancelled(
        self, autojump_clock
    ):
        # Cancelling one request must not cancel the dial that others wait for.
        async with trio.open_nursery() as nursery:
            pair = Pair(nursery=nursery, accepts_as=make_hello("ptl-b-1"))
            pair.is_silent = True
            with trio.move_on_after(CONNECT_TIMEOUT_S / 2):
                await pair.dialer.dial("ptl-b-1", ADDRESS)
            pair.is_silent = False
            channel = await pair.dialer.dial("ptl-b-1", ADDRESS)
            assert channel is LossReason.SILENT  # The result of the first dial.
            channel = await pair.dialer.dial("ptl-b-1", ADDRESS)
            assert isinstance(channel, Channel)
            nursery.cancel_scope.cancel()

    async def test_idle_channels_are_closed_on_both_sides(self, autojump_clock):
        # The channel of a host that no longer exists must not stay open.
        async with trio.open_nursery() as nursery:
            pair = Pair(nursery=nursery, accepts_as=make_hello("ptl-b-1"))
            channel = await pair.dialer.dial("ptl-b-1", ADDRESS)
            assert isinstance(channel, Channel)
            await trio.sleep(IDLE_TIMEOUT_S + 1)
            assert not channel.is_open
            assert len(pair.lost) == 1
            nursery.cancel_scope.cancel()

    async def test_address_that_now_belongs_to_another_host_is_refused(
        self, autojump_clock
    ):
        # A request for one host must not be served by another that has its address: a
        # ticket's issuer is one process.
        async with trio.open_nursery() as nursery:
            pair = Pair(nursery=nursery, accepts_as=make_hello("ptl-b-9"))
            assert await pair.dialer.dial("ptl-b-1", ADDRESS) is LossReason.REFUSED
            nursery.cancel_scope.cancel()


class TestAcceptor:
    @pytest.mark.parametrize(
        "sent",
        [
            b"GET / HTTP/1.1\r\nHost: x\r\n\r\n",
            LENGTH_PREFIX.pack(MAX_FRAME_BYTES + 1),
            LENGTH_PREFIX.pack(16) + b"\xff" * 16,
            HELLO + LENGTH_PREFIX.pack(MAX_FRAME_BYTES + 1),
            HELLO + LENGTH_PREFIX.pack(16) + b"\xff" * 16,
            encode_frame(Frame(id=1, message=FETCH)),
            encode_frame(Frame(id=0, message=make_hello("x", format=99))),
            encode_frame(Frame(id=0, message=make_hello("x", deployment="other"))),
            b"",
        ],
        ids=[
            "http",
            "huge",
            "garbage",
            "huge later",
            "garbage later",
            "no hello",
            "format",
            "deployment",
            "nothing",
        ],
    )
    async def test_connection_that_is_not_from_a_peer_is_closed(
        self, sent, autojump_clock
    ):
        async with trio.open_nursery() as nursery:
            pair = Pair(nursery=nursery, accepts_as=make_hello("ptl-b-1"))
            ours, theirs = trio.testing.memory_stream_pair()
            nursery.start_soon(pair.acceptor.serve_stream, theirs)
            if sent:
                await ours.send_all(sent)
            with trio.fail_after(HELLO_TIMEOUT_S + 1):
                while await ours.receive_some(1_000):
                    pass
            assert pair.handled == []
            channel = await pair.dialer.dial("ptl-b-1", ADDRESS)
            assert isinstance(channel, Channel)
            nursery.cancel_scope.cancel()


class TestFrames:
    def test_truncated_and_flipped_frames_raise_nothing_else(self):
        # Any bytes are either decoded as a frame or raise `BadFrameError`.
        message = DocumentMessage(name="settings/demo", version=7, body=b"x" * 40)
        whole = encode_frame(Frame(id=3, message=message))[LENGTH_PREFIX.size :]
        for place in range(len(whole)):
            for data in (
                whole[:place],
                whole[:place] + b"\xff" + whole[place + 1 :],
                whole[:place] + bytes([whole[place] ^ 1]) + whole[place + 1 :],
            ):
                try:
                    decode_frame(data)
                except BadFrameError as error:
                    assert error.problem

    def test_round_trip_of_a_list(self):
        frame = Frame(id=9, message=Cancel(shards=("s00", "s01")))
        assert decode_frame(encode_frame(frame)[LENGTH_PREFIX.size :]) == frame


class TestPacked:
    SEARCH = Search(
        request_id="r",
        service="scheduler",
        version=7,
        left_ms=200,
        body=b"{}",
        shards=(ShardRef(shard="s00", group="g"),),
    )
    ANSWERS = Answers(
        answers=(
            ShardAnswer(shard="s00", server="a", outcome=Answered(body=b"1")),
            ShardAnswer(
                shard="s01",
                server="b",
                outcome=NotRun(
                    step=Step.QUEUE, peer="b", reason=Reason.SHED, retry_after_ms=9
                ),
                versions=(6, 7),
            ),
            ShardAnswer(
                shard="s02",
                server="c",
                outcome=Unknown(step=Step.SEND, peer="c", reason=Reason.DEADLINE),
            ),
        )
    )

    @pytest.mark.parametrize("message", [SEARCH, ANSWERS], ids=["search", "answers"])
    def test_round_trip(self, message):
        frame = Frame(id=4, message=message)
        data = encode_frame(frame)
        length, is_packed = read_length_prefix(data, 0)
        assert (length, is_packed) == (len(data) - LENGTH_PREFIX.size, True)
        assert decode_frame(data[LENGTH_PREFIX.size :], is_packed=True) == frame

    @pytest.mark.parametrize("message", [SEARCH, ANSWERS], ids=["search", "answers"])
    def test_garbled_bytes_raise_nothing_else(self, message):
        whole = encode_frame(Frame(id=4, message=message))[LENGTH_PREFIX.size :]
        for place in range(len(whole)):
            for data in (whole[:place], whole[:place] + b"\xc1" + whole[place + 1 :]):
                try:
                    decode_frame(data, is_packed=True)
                except BadFrameError as error:
                    assert error.problem
