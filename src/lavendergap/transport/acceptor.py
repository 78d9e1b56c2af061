"""Accepts channels from peers and closes all other connections."""

from collections.abc import Callable

import trio

from .. import metrics
from ..protocol.messages import Frame, GoingAway, Hello
from .channel import Channel, LossReason

HELLO_TIMEOUT_S = 2.0
# Far more than a fleet has hosts; further connections cannot be peers.
MAX_CHANNELS = 2_000


class Acceptor:
    """Accepts peers' channels and hands each request to `on_frame`."""

    def __init__(
        self,
        *,
        own: Hello,
        on_frame: Callable[[Channel, Frame], None],
        on_loss: Callable[[Channel], None],
    ) -> None:
        self._own = own
        self._on_frame = on_frame
        self._on_loss = on_loss
        self._channels: set[Channel] = set()

    async def serve(self, listener: trio.SocketListener) -> None:
        """Accept channels until cancelled."""
        await trio.serve_listeners(self.serve_stream, [listener])

    async def serve_stream(self, stream: trio.abc.Stream) -> None:
        """Serve one accepted connection until it ends.

        A connection without a valid Hello within `HELLO_TIMEOUT_S` seconds is not
        from a peer, and is closed to free its memory.
        """
        if len(self._channels) >= MAX_CHANNELS:
            metrics.rejected_input.labels("peers", "too many channels").inc()
            await trio.aclose_forcefully(stream)
            return
        channel = Channel(
            stream=stream,
            own=self._own,
            on_frame=self._on_frame,
            on_loss=self._drop,
        )
        self._channels.add(channel)
        channel.send(Frame(id=0, message=self._own))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_close_without_hello, channel)
            await channel.run()
            nursery.cancel_scope.cancel()

    def _drop(self, channel: Channel, loss: LossReason) -> None:
        self._channels.discard(channel)
        self._on_loss(channel)

    def send_going_away(self) -> None:
        """Send GoingAway to every peer, since this process is stopping."""
        for channel in self._channels:
            channel.send(Frame(id=0, message=GoingAway()))


async def _close_without_hello(channel: Channel) -> None:
    with trio.move_on_after(HELLO_TIMEOUT_S):
        await channel.hello_received.wait()
        return
    metrics.rejected_input.labels("peers", "no hello").inc()
    channel.close(LossReason.BAD_FRAME)
