"""A TCP stream for httpcore that sends each request in one piece and counts bytes.

httpcore's own stream sends head and body apart, each within a time limit of its own.
Here the client keeps the time of the whole call, so a request costs one system call
to send and one to receive (see docs/design/connections.md).
"""

import select
import socket
from typing import Any

import httpcore
import trio


async def open_stream(ip: str, port: int, *, max_received: int) -> "RequestStream":
    """Connect to an address; raises httpcore.ConnectError when that is refused."""
    try:
        with trio.socket.socket() as connecting:
            connecting.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            await connecting.connect((ip, port))
            connected = socket.socket(fileno=connecting.detach())
    except OSError as error:
        raise httpcore.ConnectError(str(error)) from error
    connected.setblocking(False)
    return RequestStream(connected=connected, max_received=max_received)


class RequestStream(httpcore.AsyncNetworkStream):
    """One connected socket.

    `n_sent` counts the bytes that the kernel took since the last `begin`: as long as
    it is 0 the request cannot have run. An answer of more than `max_received` bytes
    raises httpcore.ReadError, for a server gone wrong must not fill the memory.
    """

    def __init__(self, *, connected: socket.socket, max_received: int) -> None:
        self.n_sent = 0
        self._socket = connected
        self._max_received = max_received
        self._n_received = 0
        self._unsent = b""
        self._poll = select.poll()
        self._poll.register(connected, select.POLLIN)

    def begin(self) -> None:
        """Start counting anew, for the next request."""
        self.n_sent = 0
        self._n_received = 0

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Keep the bytes until the whole request is there, which the read shows."""
        self._unsent += buffer

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Send what is kept, then wait for bytes; empty when the server closed."""
        if self._unsent:
            await self._send()
        while True:
            await trio.lowlevel.wait_readable(self._socket)
            try:
                data = self._socket.recv(max_bytes)
            except BlockingIOError:
                continue
            except OSError as error:
                raise httpcore.ReadError(str(error)) from error
            self._n_received += len(data)
            if self._n_received > self._max_received:
                raise httpcore.ReadError("the answer is too large")
            return data

    async def _send(self) -> None:
        unsent = memoryview(self._unsent)
        self._unsent = b""
        while unsent:
            try:
                n_sent = self._socket.send(unsent)
            except BlockingIOError:
                await trio.lowlevel.wait_writable(self._socket)
                continue
            except OSError as error:
                raise httpcore.WriteError(str(error)) from error
            self.n_sent += n_sent
            unsent = unsent[n_sent:]

    async def aclose(self) -> None:
        """Close at once; nothing is waited for."""
        self.close()

    def close(self) -> None:
        """Close at once. The server sees it, and cancels what it still ran."""
        if self._socket.fileno() >= 0:
            trio.lowlevel.notify_closing(self._socket)
            self._socket.close()

    def get_extra_info(self, info: str) -> Any:
        """Tell httpcore whether bytes, or the server's close, wait to be read."""
        if info == "is_readable":
            return bool(self._poll.poll(0))
        return None
