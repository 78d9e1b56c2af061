"""A backend server that answers a long request before it has read the body."""

import os
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

import trio

from lavendergap.state.settings import Address, Server

# More than the kernel's buffers of a loopback connection take in, and a request that
# they take in whole.
UNSENT_BODY = b"x" * 12_000_000
BUFFERED_BODY = b"x" * 60_000


class EarlyServer:
    """Sends `reply` once it has the first request's head; reads on after `may_read`.

    Other requests get what `answer` returns for their heads. With `closes`, it closes
    right after the reply. `bodies` holds what came in place of each body, up to its
    length.
    """

    def __init__(
        self, reply: bytes, *, answer: Callable[[bytes], bytes], closes: bool = False
    ) -> None:
        self.reply = reply
        self.answer = answer
        self.closes = closes
        self.bodies: list[bytes] = []
        self.n_connections = 0
        self.may_read = trio.Event()

    async def serve(self, stream: trio.SocketStream) -> None:
        """Serve one connection."""
        self.n_connections += 1
        is_early = self.n_connections == 1
        data = bytearray()
        while True:
            while b"\r\n\r\n" not in data:
                more = await stream.receive_some(65_536)
                if not more:
                    return
                data += more
            head, _, rest = bytes(data).partition(b"\r\n\r\n")
            if is_early and self.closes:
                # In one step, so that the client finds both the answer and the reset.
                os.write(stream.socket.fileno(), self.reply)
                stream.socket.close()
                return
            if is_early:
                await stream.send_all(self.reply)
                await self.may_read.wait()
            body, is_whole = await _read_body(stream, rest, _read_length(head))
            if body:
                self.bodies.append(body)
            if not is_whole:
                return
            if not is_early:
                await stream.send_all(self.answer(head))
            is_early = False
            data = bytearray(rest[len(body) :])


async def _read_body(
    stream: trio.SocketStream, start: bytes, length: int
) -> tuple[bytes, bool]:
    body = bytearray(start)
    while len(body) < length:
        more = await stream.receive_some(65_536)
        if not more:
            return bytes(body), False
        body += more
    return bytes(body[:length]), True


def _read_length(head: bytes) -> int:
    for line in head.lower().split(b"\r\n"):
        name, _, value = line.partition(b":")
        if name == b"content-length":
            return int(value)
    return 0


@asynccontextmanager
async def open_server(
    serve: Callable[[trio.SocketStream], Awaitable[None]],
) -> AsyncIterator[tuple[Server, trio.Nursery]]:
    """Serve on a port of its own, in the nursery that is yielded, too."""
    async with trio.open_nursery() as nursery:
        [listener] = await trio.open_tcp_listeners(0, host="127.0.0.1")

        async def serve_and_close(stream: trio.SocketStream) -> None:
            async with stream:
                await serve(stream)

        nursery.start_soon(trio.serve_listeners, serve_and_close, [listener])
        port = listener.socket.getsockname()[1]
        server = Server(
            name="i-1",
            address=Address(ip="127.0.0.1", port=port),
            data_centre="ptl-a",
            slots=2,
            connections=2,
        )
        yield server, nursery
        nursery.cancel_scope.cancel()
