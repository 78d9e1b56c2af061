"""A TCP channel between two entry processes, with heartbeats.

The dialling side sends requests, and the accepting side sends any number of replies
to each. Frames that several tasks send within one iteration of the event loop are
combined into one write.
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
    LENGTH_PREFIX,
    MAX_FRAME_BYTES,
    decode_frame,
    encode_frame,
    read_length_prefix,
)
from .periodic import get_periodic_checks

logger = logging.getLogger("lavendergap.connections")

HEARTBEAT_AFTER_S = 0.25
SILENCE_TIMEOUT_S = 0.75
# Both sides close a channel that is unused for this long, so that channels to hosts
# that no longer exist are closed as well.
IDLE_TIMEOUT_S = 120.0
READ_SIZE_BYTES = 65_536
MAX_UNSENT_BYTES = 32 * 1024 * 1024


class LossReason(StrEnum):
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
class ReplyHandlers:
    """Callbacks of a request: for each reply, and for the loss of its channel."""

    on_reply: Callable[[Message], None]
    on_loss: Callable[[LossReason], None]


class Channel:
    """One TCP connection between two entry processes.

    The accepting side gets each request's frame through `on_frame` and replies with
    `send`. The dialling side calls `request`, and `forget` once it expects no more
    replies. `on_loss` is called when the channel has ended.
    """

    def __init__(
        self,
        *,
        stream: trio.abc.Stream,
        own: Hello,
        on_frame: Callable[["Channel", Frame], None] | None = None,
        on_loss: Callable[["Channel", LossReason], None] | None = None,
    ) -> None:
        self.peer: Hello | None = None
        self.hello_received = trio.Event()
        self.is_open = True
        self.is_leaving = False
        self._stream = stream
        self._own = own
        self._on_frame = on_frame
        self._on_loss = on_loss
        self._reply_handlers: dict[int, ReplyHandlers] = {}
        self._last_id = 0
        self._received_at = 0.0
        # Since when a reply is due and no byte was received; None if no reply is due.
        # It stays set when the request is forgotten, so that a silent channel is
        # detected even if every request on it times out first.
        self._unanswered_since: float | None = None
        self._pinged_at: float | None = None
        self._unsent = bytearray()
        self._has_unsent = trio.Event()
        self._scope = trio.CancelScope()
        self._forced_loss: LossReason | None = None

    async def run(self) -> None:
        """Read and write until the channel ends, then report the loss."""
        metrics.peer_channels.inc()
        loss = LossReason.STOPPED
        self._received_at = trio.current_time()
        checks = get_periodic_checks(interval=HEARTBEAT_AFTER_S / 2)
        checks.add(self)
        try:
            with self._scope:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._write)
                    await self._read()
                    nursery.cancel_scope.cancel()
                    loss = LossReason.CLOSED
        except* BadFrameError as group:
            loss = LossReason.BAD_FRAME
            metrics.rejected_input.labels("peers", "bad frame").inc()
            logger.warning("bad frame from %s: %s", self._peer_name, group.exceptions)
        except* (trio.BrokenResourceError, trio.ClosedResourceError):
            loss = LossReason.RESET
        except* Exception as group:
            # A peer's message must not end the process and the requests of others.
            loss = LossReason.BAD_FRAME
            logger.error("cannot handle a frame of %s", self._peer_name, exc_info=group)
        finally:
            checks.discard(self)
            metrics.peer_channels.dec()
            await self._end(loss)

    @property
    def _peer_name(self) -> str:
        return self.peer.host if self.peer else "a peer that has not sent Hello"

    async def _end(self, loss: LossReason) -> None:
        loss = self._forced_loss or loss
        self.is_open = False
        self.hello_received.set()
        with trio.CancelScope(shield=True):
            await trio.aclose_forcefully(self._stream)
        metrics.channel_losses.labels(loss.value).inc()
        all_handlers, self._reply_handlers = self._reply_handlers, {}
        for handlers in all_handlers.values():
            handlers.on_loss(loss)
        if self._on_loss is not None:
            self._on_loss(self, loss)

    def close(self, loss: LossReason = LossReason.STOPPED) -> None:
        """End the channel at once; pending requests are lost with `loss`."""
        self.is_open = False
        self._forced_loss = loss
        self._scope.cancel()

    def send(self, frame: Frame) -> None:
        """Queue a frame for the next write; close if the peer does not read."""
        if not self.is_open:
            return
        self._unsent += encode_frame(frame)
        if len(self._unsent) > MAX_UNSENT_BYTES:
            # The queue of a peer that does not read would exhaust the memory.
            # Closing frees it, and the requests go to other hosts.
            self.close(LossReason.SLOW_READER)
        self._has_unsent.set()

    def request(self, message: Message, handlers: ReplyHandlers) -> int:
        """Send a request and return its id; `handlers` receives its replies or loss."""
        self._last_id += 1
        if self._unanswered_since is None:
            self._unanswered_since = trio.current_time()
        self._reply_handlers[self._last_id] = handlers
        self.send(Frame(id=self._last_id, message=message))
        return self._last_id

    def has_received_since(self, time: float) -> bool:
        """Return whether any byte arrived after `time`, on the event loop's clock."""
        return self._received_at > time

    def ping(self) -> None:
        """Send a Ping now rather than at the channel's next heartbeat."""
        if self._pinged_at is None:
            self._pinged_at = trio.current_time()
            self.send(Frame(id=0, message=Ping()))

    def forget(self, request_id: int) -> None:
        """Discard any further replies to this request."""
        self._reply_handlers.pop(request_id, None)

    async def ask(self, message: Message, *, limit: float) -> Message | LossReason:
        """Send a request and wait up to `limit` seconds for its only reply."""
        sender, receiver = trio.open_memory_channel[Message | LossReason](1)

        def put(result: Message | LossReason) -> None:
            # A second reply, or a loss after the reply, is ignored.
            with suppress(trio.WouldBlock, trio.BrokenResourceError):
                sender.send_nowait(result)

        request_id = self.request(message, ReplyHandlers(on_reply=put, on_loss=put))
        try:
            with trio.move_on_after(limit):
                return await receiver.receive()
        finally:
            self.forget(request_id)
        return LossReason.SILENT

    async def _write(self) -> None:
        while True:
            await self._has_unsent.wait()
            self._has_unsent = trio.Event()
            data, self._unsent = self._unsent, bytearray()
            await self._stream.send_all(data)

    def check(self, now: float) -> None:
        """Close the channel if it is silent or idle; called several times a second.

        A middlebox may drop a connection's state: both ends keep it open, and
        nothing arrives. If a pending request sees no byte for `HEARTBEAT_AFTER_S`,
        a Ping is sent. If that is not answered in time, the channel is closed, so
        that its requests can be retried over a new one before their deadlines.
        """
        if now - self._received_at > IDLE_TIMEOUT_S and not self._reply_handlers:
            self.close(LossReason.IDLE)
        elif self._pinged_at is not None:
            # Measured from the ping, not from the request: after a stall of this
            # process the request may be old although no ping was sent yet.
            if now - self._pinged_at > SILENCE_TIMEOUT_S - HEARTBEAT_AFTER_S:
                self.close(LossReason.SILENT)
        elif self._is_ping_due(now):
            self.ping()

    def _is_ping_due(self, now: float) -> bool:
        since = self._unanswered_since
        return since is not None and now - since > HEARTBEAT_AFTER_S

    async def _read(self) -> None:
        buffer = bytearray()
        while data := await self._stream.receive_some(READ_SIZE_BYTES):
            self._received_at = trio.current_time()
            self._pinged_at = None
            buffer += data
            self._process_frames(buffer)
            self._unanswered_since = self._received_at if self._reply_handlers else None

    def _process_frames(self, buffer: bytearray) -> None:
        start = 0
        while len(buffer) - start >= LENGTH_PREFIX.size:
            length, is_packed = read_length_prefix(buffer, start)
            if length > MAX_FRAME_BYTES:
                raise BadFrameError(
                    problem=f"a frame of {length} bytes, limit {MAX_FRAME_BYTES}"
                )
            end = start + LENGTH_PREFIX.size + length
            if len(buffer) < end:
                break
            body = bytes(buffer[start + LENGTH_PREFIX.size : end])
            self._process_frame(decode_frame(body, is_packed=is_packed))
            start = end
        del buffer[:start]

    def _process_frame(self, frame: Frame) -> None:
        match frame.message:
            case Hello() as hello:
                self._accept_hello(hello)
            case Ping():
                self.send(Frame(id=0, message=Pong()))
            case Pong():
                pass
            case GoingAway():
                self.is_leaving = True
            case message:
                self._deliver(frame, message)

    def _accept_hello(self, hello: Hello) -> None:
        if hello.format != FORMAT:
            raise BadFrameError(problem=f"format {hello.format}, ours is {FORMAT}")
        if hello.deployment != self._own.deployment:
            raise BadFrameError(
                problem=f"deployment {hello.deployment!r}, ours is "
                f"{self._own.deployment!r}"
            )
        self.peer = hello
        self.hello_received.set()

    def _deliver(self, frame: Frame, message: Message) -> None:
        if self.peer is None:
            raise BadFrameError(problem="a message before Hello")
        if self._on_frame is not None:
            self._on_frame(self, frame)
            return
        handlers = self._reply_handlers.get(frame.id)
        if handlers is None:
            metrics.dropped_answers.labels("late reply of a peer").inc()
        else:
            handlers.on_reply(message)
