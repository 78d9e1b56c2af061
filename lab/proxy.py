"""A loopback proxy that harms the connections which go through it."""

import socket
import struct
from collections.abc import Callable
from dataclasses import dataclass, field

import trio

RESET_ON_CLOSE = struct.pack("ii", 1, 0)
READ_SIZE = 65_536


@dataclass(kw_only=True)
class Proxy:
    """Passes TCP connections on to one port, and does to them what a fault says.

    `delay` is in seconds for each piece of data. While `is_cut` new connections are
    closed at once and nothing passes; `silence` makes the connections of the moment
    carry nothing any more, while new ones work.
    """

    target: int
    delay: float = 0.0
    is_cut: bool = False
    one_way: bool = False
    port: int = 0
    _silent: set[int] = field(default_factory=set)
    _streams: dict[int, Callable[[], None]] = field(default_factory=dict)
    _n: int = 0

    async def run(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve until cancelled."""
        [listener] = await trio.open_tcp_listeners(0, host="127.0.0.1")
        self.port = listener.socket.getsockname()[1]
        task_status.started()
        await trio.serve_listeners(self._serve, [listener])

    def silence(self) -> None:
        """Have all open connections carry nothing any more, without a sign."""
        self._silent.update(self._streams)

    def reset(self) -> None:
        """Reset all open connections."""
        for reset in list(self._streams.values()):
            reset()

    async def _serve(self, ours: trio.SocketStream) -> None:
        self._n += 1
        number = self._n
        try:
            async with ours:
                if self.is_cut:
                    return
                theirs = await trio.open_tcp_stream("127.0.0.1", self.target)
                async with theirs, trio.open_nursery() as nursery:
                    self._streams[number] = lambda: _reset(ours, nursery)
                    nursery.start_soon(self._pass, ours, theirs, number, False)
                    await self._pass(theirs, ours, number, True)
                    nursery.cancel_scope.cancel()
        except* (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            pass  # Either side may end at any time; that is what the proxy is for.
        finally:
            self._streams.pop(number, None)
            self._silent.discard(number)

    async def _pass(
        self,
        source: trio.SocketStream,
        sink: trio.SocketStream,
        number: int,
        is_answer: bool,
    ) -> None:
        while data := await source.receive_some(READ_SIZE):
            if self.delay:
                await trio.sleep(self.delay)
            if number in self._silent or self.is_cut:
                await trio.sleep_forever()
            if self.one_way and is_answer:
                await trio.sleep_forever()
            await sink.send_all(data)


def _reset(stream: trio.SocketStream, nursery: trio.Nursery) -> None:
    stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    nursery.cancel_scope.cancel()
