"""A TCP proxy on the loopback interface that injects connection faults."""

import os
import socket
import struct
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path

import trio

RESET_ON_CLOSE = struct.pack("ii", 1, 0)
READ_SIZE_BYTES = 65_536


@dataclass(kw_only=True)
class Proxy:
    """Forwards TCP connections to the port `target`, with the faults that are set.

    `delay` is in seconds per chunk of data. While `is_cut`, new connections are closed
    at once and no data is forwarded; `refuses` returns whether this is so for a client,
    by the port that it connects from. With `drops_answers` data from the target is not
    forwarded. `silence` stops the open connections, while new ones work.
    """

    target: int
    delay: float = 0.0
    is_cut: bool = False
    refuses: Callable[[int], bool] = lambda port: False
    drops_answers: bool = False
    port: int = 0
    _silenced: set[int] = field(default_factory=set)
    _resets: dict[int, Callable[[], None]] = field(default_factory=dict)

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

    def cut_off(self, refuses: Callable[[int], bool]) -> None:
        """Reset the open connections of clients, and refuse new ones of them."""
        self.refuses = refuses
        for port, reset in list(self._resets.items()):
            if refuses(port):
                reset()

    async def _serve(self, downstream: trio.SocketStream) -> None:
        port = downstream.socket.getpeername()[1]
        try:
            async with downstream:
                if self.is_cut or self.refuses(port):
                    return
                upstream = await trio.open_tcp_stream("127.0.0.1", self.target)
                async with upstream, trio.open_nursery() as nursery:
                    self._resets[port] = lambda: _reset(downstream, nursery)
                    nursery.start_soon(self._forward, downstream, upstream, port, False)
                    await self._forward(upstream, downstream, port, True)
                    nursery.cancel_scope.cancel()
        except* (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            pass  # Either side may close its connection at any time.
        finally:
            self._resets.pop(port, None)
            self._silenced.discard(port)

    async def _forward(
        self,
        source: trio.SocketStream,
        sink: trio.SocketStream,
        port: int,
        is_answer: bool,
    ) -> None:
        while data := await source.receive_some(READ_SIZE_BYTES):
            if self.delay:
                await trio.sleep(self.delay)
            if port in self._silenced or self.is_cut:
                await trio.sleep_forever()
            if self.drops_answers and is_answer:
                await trio.sleep_forever()
            await sink.send_all(data)


def list_ports(pid: int) -> set[int]:
    """Return the local ports of a process's TCP sockets; empty if it has ended."""
    sockets = set()
    try:
        for link in os.listdir(f"/proc/{pid}/fd"):
            with suppress(FileNotFoundError):  # It may be closed meanwhile.
                sockets.add(os.readlink(f"/proc/{pid}/fd/{link}"))
        lines = Path(f"/proc/{pid}/net/tcp").read_text().splitlines()[1:]
    except OSError:
        return set()
    rows = [line.split() for line in lines]
    return {
        int(row[1].partition(":")[2], 16)
        for row in rows
        if f"socket:[{row[9]}]" in sockets
    }


def _reset(stream: trio.SocketStream, nursery: trio.Nursery) -> None:
    stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    nursery.cancel_scope.cancel()
