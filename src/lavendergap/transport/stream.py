"""A TCP stream for httpcore that sends each request in one piece and counts bytes.

httpcore's own stream sends head and body separately, each with its own timeout. Here
the client limits the time of the whole call, so that a request needs one system call
to send and one to receive (see docs/design/connections.md).
"""

import select
import socket
from typing import Any

import httpcore
import trio


async def open_stream(ip: str, port: int, *, max_received: int) -> "RequestStream":
    """Connect to an address; raises httpcore.ConnectError on failure."""
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

    `n_sent` counts the bytes that the kernel accepted since the last `begin`: while it
    is 0, the request cannot have run. An answer of more than `max_received` bytes
    raises httpcore.ReadError, since a faulty server must not exhaust the memory.
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
        """Reset the counts for the next request."""
        self.n_sent = 0
        self._n_received = 0

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Buffer the bytes; the first read after the request sends them."""
        self._unsent += buffer

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Send the buffered bytes and wait for data; empty if the server closed."""
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
        """Close at once, without waiting."""
        self.close()

    def close(self) -> None:
        """Close at once; the server sees this and cancels the request."""
        if self._socket.fileno() >= 0:
            trio.lowlevel.notify_closing(self._socket)
            self._socket.close()

    def get_extra_info(self, info: str) -> Any:
        """Return whether the socket has unread data or was closed by the server."""
        if info == "is_readable":
            return bool(self._poll.poll(0))
        return None
