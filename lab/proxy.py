"""A TCP proxy on the loopback interface that injects connection faults."""

import socket
import struct
from collections.abc import Callable
from dataclasses import dataclass, field

import trio

RESET_ON_CLOSE = struct.pack("ii", 1, 0)
READ_SIZE_BYTES = 65_536


@dataclass(kw_only=True)
class Proxy:
    """Forwards TCP connections to the port `target`, with the faults that are set.

    `delay` is in seconds per chunk of data. While `is_cut`, new connections are closed
    at once and no data is forwarded. With `drops_answers` data from the target is not
    forwarded. `silence` stops the open connections, while new ones work.
    """

    target: int
    delay: float = 0.0
    is_cut: bool = False
    drops_answers: bool = False
    port: int = 0
    _silenced: set[int] = field(default_factory=set)
    _resets: dict[int, Callable[[], None]] = field(default_factory=dict)
    _n_connections: int = 0

    async def run(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve until cancelled; `port` is set once it has started."""
        [listener] = await trio.open_tcp_listeners(0, host="127.0.0.1")
        self.port = listener.socket.getsockname()[1]
        task_status.started()
        await trio.serve_listeners(self._serve, [listener])

    def silence(self) -> None:
        """Stop forwarding on all open connections, without closing them."""
        self._silenced.update(self._resets)

    def reset(self) -> None:
        """Reset all open connections."""
        for reset in list(self._resets.values()):
            reset()

    async def _serve(self, downstream: trio.SocketStream) -> None:
        self._n_connections += 1
        number = self._n_connections
        try:
            async with downstream:
                if self.is_cut:
                    return
                upstream = await trio.open_tcp_stream("127.0.0.1", self.target)
                async with upstream, trio.open_nursery() as nursery:
                    self._resets[number] = lambda: _reset(downstream, nursery)
                    nursery.start_soon(
                        self._forward, downstream, upstream, number, False
                    )
                    await self._forward(upstream, downstream, number, True)
                    nursery.cancel_scope.cancel()
        except* (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            pass  # Either side may close its connection at any time.
        finally:
            self._resets.pop(number, None)
            self._silenced.discard(number)

    async def _forward(
        self,
        source: trio.SocketStream,
        sink: trio.SocketStream,
        number: int,
        is_answer: bool,
    ) -> None:
        while data := await source.receive_some(READ_SIZE_BYTES):
            if self.delay:
                await trio.sleep(self.delay)
            if number in self._silenced or self.is_cut:
                await trio.sleep_forever()
            if self.drops_answers and is_answer:
                await trio.sleep_forever()
            await sink.send_all(data)


def _reset(stream: trio.SocketStream, nursery: trio.Nursery) -> None:
    stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    nursery.cancel_scope.cancel()
