"""Accepts channels of peers, and closes what is none."""

from collections.abc import Callable

import trio

from .. import metrics
from ..protocol.messages import Frame, GoingAway, Hello
from .channel import Channel, Loss

HELLO_LIMIT = 2.0
# Far more than the fleet has hosts; beyond it somebody else is at the port.
MAX_ACCEPTED = 2_000


class Acceptor:
    """Accepts peers' channels and hands each request to `handle`."""

    def __init__(
        self,
        *,
        own: Hello,
        handle: Callable[[Channel, Frame], None],
        lose: Callable[[Channel], None],
    ) -> None:
        self._own = own
        self._handle = handle
        self._tell_lost = lose
        self._channels: set[Channel] = set()

    async def serve(self, listener: trio.SocketListener) -> None:
        """Accept channels until cancelled."""
        await trio.serve_listeners(self.serve_stream, [listener])

    async def serve_stream(self, stream: trio.abc.Stream) -> None:
        """Serve one accepted connection until it ends.

        Who has not said a valid Hello within `HELLO_LIMIT` seconds is no peer of
        ours, and would hold memory for nothing.
        """
        if len(self._channels) >= MAX_ACCEPTED:
            metrics.rejected_input.labels("peers", "too many channels").inc()
            await trio.aclose_forcefully(stream)
            return
        channel = Channel(
            stream=stream,
            own=self._own,
            handle=self._handle,
            lose=self._drop,
        )
        self._channels.add(channel)
        channel.send(Frame(id=0, message=self._own))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_close_unless_greeted, channel)
            await channel.run()
            nursery.cancel_scope.cancel()

    def _drop(self, channel: Channel, loss: Loss) -> None:
        self._channels.discard(channel)
        self._tell_lost(channel)

    def announce_leaving(self) -> None:
        """Tell every peer that this process is stopping."""
        for channel in self._channels:
            channel.send(Frame(id=0, message=GoingAway()))


async def _close_unless_greeted(channel: Channel) -> None:
    with trio.move_on_after(HELLO_LIMIT):
        await channel.greeted.wait()
        return
    metrics.rejected_input.labels("peers", "no hello").inc()
    channel.close(Loss.BAD_FRAME)
