"""A TCP channel between two entry processes, which proves that it is alive.

The dialling side sends requests and the accepting side replies, any number of times
for each request. What several tasks send within one turn of the loop leaves in one
write.
"""

import logging
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from enum import StrEnum

import trio

from .. import metrics
from ..protocol.messages import (
    FORMAT,
    BadFrameError,
    Frame,
    GoingAway,
    Hello,
    Message,
    Ping,
    Pong,
)
from ..protocol.peer import (
    LENGTH,
    MAX_FRAME_BYTES,
    decode_frame,
    encode_frame,
    read_length,
)
from .rounds import get_rounds

logger = logging.getLogger("lavendergap.connections")

HEARTBEAT_AFTER = 0.25
SILENCE_LIMIT = 0.75
# A channel that nobody has used for this long is closed on both sides, one that a
# vanished host left behind among them.
IDLE_LIMIT = 120.0
READ_SIZE = 65_536
MAX_UNSENT_BYTES = 32 * 1024 * 1024


class Loss(StrEnum):
    """Why a channel ended."""

    CLOSED = "closed by the peer"
    RESET = "connection reset"
    SILENT = "silent"
    IDLE = "idle"
    BAD_FRAME = "bad frame"
    SLOW_READER = "peer does not read"
    STOPPED = "stopped here"
    REFUSED = "refused"


@dataclass(frozen=True, kw_only=True, slots=True)
class Exchange:
    """What to do with the replies to a request, and with the loss of its channel."""

    reply: Callable[[Message], None]
    lose: Callable[[Loss], None]


class Channel:
    """One TCP connection between two entry processes.

    `handle` is called on the accepting side with each request's frame; it answers
    with `send`. The dialling side calls `request`, and `forget` when it expects no
    more replies.
    """

    def __init__(
        self,
        *,
        stream: trio.abc.Stream,
        own: Hello,
        handle: Callable[["Channel", Frame], None] | None = None,
        lose: Callable[["Channel", Loss], None] | None = None,
    ) -> None:
        self.peer: Hello | None = None
        self.greeted = trio.Event()
        self.is_open = True
        self.is_leaving = False
        self._stream = stream
        self._own = own
        self._handle = handle
        self._lose = lose
        self._exchanges: dict[int, Exchange] = {}
        self._last_id = 0
        self._received_at = 0.0
        # The first request that no byte has followed yet. It outlives its request,
        # so that a silent channel is found although each who asks gives up early.
        self._unanswered_since: float | None = None
        self._pinged_at: float | None = None
        self._unsent = bytearray()
        self._has_unsent = trio.Event()
        self._scope = trio.CancelScope()
        self._forced_loss: Loss | None = None

    async def run(self) -> None:
        """Read and write until the channel ends, then tell all who wait."""
        metrics.peer_channels.inc()
        loss = Loss.STOPPED
        self._received_at = trio.current_time()
        rounds = get_rounds(interval=HEARTBEAT_AFTER / 2)
        rounds.add(self)
        try:
            with self._scope:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._write)
                    await self._read()
                    nursery.cancel_scope.cancel()
                    loss = Loss.CLOSED
        except* BadFrameError as group:
            loss = Loss.BAD_FRAME
            metrics.rejected_input.labels("peers", "bad frame").inc()
            logger.warning("bad frame from %s: %s", self._peer_name, group.exceptions)
        except* (trio.BrokenResourceError, trio.ClosedResourceError):
            loss = Loss.RESET
        finally:
            rounds.discard(self)
            metrics.peer_channels.dec()
            await self._end(loss)

    @property
    def _peer_name(self) -> str:
        return self.peer.host if self.peer else "a peer that has not said its name"

    async def _end(self, loss: Loss) -> None:
        loss = self._forced_loss or loss
        self.is_open = False
        self.greeted.set()
        with trio.CancelScope(shield=True):
            await trio.aclose_forcefully(self._stream)
        metrics.channel_losses.labels(loss.value).inc()
        exchanges, self._exchanges = self._exchanges, {}
        for exchange in exchanges.values():
            exchange.lose(loss)
        if self._lose is not None:
            self._lose(self, loss)

    def close(self, loss: Loss = Loss.STOPPED) -> None:
        """End the channel at once; requests that wait are told `loss`."""
        self.is_open = False
        self._forced_loss = loss
        self._scope.cancel()

    def send(self, frame: Frame) -> None:
        """Queue a frame for the next write; closes on a peer that does not read."""
        if not self.is_open:
            return
        self._unsent += encode_frame(frame)
        if len(self._unsent) > MAX_UNSENT_BYTES:
            # A peer that stopped reading would otherwise hold our memory until
            # we die of it; closing frees it and its requests go elsewhere.
            self.close(Loss.SLOW_READER)
        self._has_unsent.set()

    def request(self, message: Message, exchange: Exchange) -> int:
        """Send a request; its replies and its loss go to `exchange`."""
        self._last_id += 1
        if self._unanswered_since is None:
            self._unanswered_since = trio.current_time()
        self._exchanges[self._last_id] = exchange
        self.send(Frame(id=self._last_id, message=message))
        return self._last_id

    def has_received_since(self, time: float) -> bool:
        """Tell whether any byte has come since `time`, on the loop's clock."""
        return self._received_at > time

    def ping(self) -> None:
        """Ask for a sign of life before the channel's own heartbeat would."""
        if self._pinged_at is None:
            self._pinged_at = trio.current_time()
            self.send(Frame(id=0, message=Ping()))

    def forget(self, request_id: int) -> None:
        """Drop whatever still comes for this request."""
        self._exchanges.pop(request_id, None)

    async def ask(self, message: Message, *, limit: float) -> Message | Loss:
        """Send a request and wait up to `limit` seconds for its one reply."""
        sender, receiver = trio.open_memory_channel[Message | Loss](1)

        def put(result: Message | Loss) -> None:
            # A second reply, or the loss that follows a reply, changes nothing.
            with suppress(trio.WouldBlock, trio.BrokenResourceError):
                sender.send_nowait(result)

        request_id = self.request(message, Exchange(reply=put, lose=put))
        try:
            with trio.move_on_after(limit):
                return await receiver.receive()
        finally:
            self.forget(request_id)
        return Loss.SILENT

    async def _write(self) -> None:
        while True:
            await self._has_unsent.wait()
            self._has_unsent = trio.Event()
            data, self._unsent = self._unsent, bytearray()
            await self._stream.send_all(data)

    def check(self, now: float) -> None:
        """End the channel when it is silent or idle; called several times a second.

        Something between the ends may lose track of a connection: both ends believe
        in it and nothing arrives. While somebody waits for a reply, any byte proves
        the channel; without one for a while a Ping asks, and without an answer to
        that the channel ends, so that the requests on it are tried over a new one
        well within their deadlines.
        """
        if now - self._received_at > IDLE_LIMIT and not self._exchanges:
            self.close(Loss.IDLE)
        elif self._pinged_at is not None:
            # Always the ping's own time, never the request's: after a stall of this
            # process that is long past, and nothing was asked of the peer yet.
            if now - self._pinged_at > SILENCE_LIMIT - HEARTBEAT_AFTER:
                self.close(Loss.SILENT)
        elif self._is_quiet(now):
            self.ping()

    def _is_quiet(self, now: float) -> bool:
        since = self._unanswered_since
        return since is not None and now - since > HEARTBEAT_AFTER

    async def _read(self) -> None:
        buffer = bytearray()
        while data := await self._stream.receive_some(READ_SIZE):
            self._received_at = trio.current_time()
            self._pinged_at = None
            buffer += data
            self._take_frames(buffer)
            self._unanswered_since = self._received_at if self._exchanges else None

    def _take_frames(self, buffer: bytearray) -> None:
        start = 0
        while len(buffer) - start >= LENGTH.size:
            length, is_packed = read_length(buffer, start)
            if length > MAX_FRAME_BYTES:
                raise BadFrameError(problem=f"a frame of {length} bytes")
            end = start + LENGTH.size + length
            if len(buffer) < end:
                break
            body = bytes(buffer[start + LENGTH.size : end])
            self._take(decode_frame(body, is_packed=is_packed))
            start = end
        del buffer[:start]

    def _take(self, frame: Frame) -> None:
        match frame.message:
            case Hello() as hello:
                self._greet(hello)
            case Ping():
                self.send(Frame(id=0, message=Pong()))
            case Pong():
                pass
            case GoingAway():
                self.is_leaving = True
            case message:
                self._dispatch(frame, message)

    def _greet(self, hello: Hello) -> None:
        if hello.format != FORMAT:
            raise BadFrameError(problem=f"format {hello.format}, ours is {FORMAT}")
        if hello.deployment != self._own.deployment:
            raise BadFrameError(problem=f"deployment {hello.deployment!r}")
        self.peer = hello
        self.greeted.set()

    def _dispatch(self, frame: Frame, message: Message) -> None:
        if self.peer is None:
            raise BadFrameError(problem="a message before Hello")
        if self._handle is not None:
            self._handle(self, frame)
            return
        exchange = self._exchanges.get(frame.id)
        if exchange is None:
            metrics.dropped_answers.labels("late reply of a peer").inc()
        else:
            exchange.reply(message)
