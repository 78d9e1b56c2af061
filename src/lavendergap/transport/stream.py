"""A TCP stream for httpcore that sends each request in one piece and counts bytes.

httpcore's own stream sends head and body separately, each with its own timeout. Here
the client limits the time of the whole call, so that a request needs one system call
to send and one to receive (see docs/design/connections.md).
"""

import select
import socket
from collections.abc import Awaitable, Callable
from typing import Any

import httpcore
import trio

from .answermemory import MIN_COUNTED_BYTES, get_answer_memory


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

    `n_bytes` counts the bytes of the request since the last `begin`, and `n_sent` those
    that the kernel accepted: while it is 0, the request cannot have run. Sending stops
    while there is input, since a server may answer before it has read a long request,
    and need not read the rest. An answer of more than `max_received` bytes raises
    httpcore.RemoteProtocolError, since a faulty server must not exhaust the memory.
    `n_received` counts the bytes of the answer.
    """

    def __init__(self, *, connected: socket.socket, max_received: int) -> None:
        self.n_bytes = 0
        self.n_sent = 0
        self._socket = connected
        self.n_received = 0
        self._max_received = max_received
        self._memory = get_answer_memory()
        self._problem = ""
        self._unsent = b""
        self._poll = select.poll()
        self._poll.register(connected, select.POLLIN)

    def begin(self) -> None:
        """Reset the counts for the next request."""
        self.n_bytes = 0
        self.n_sent = 0
        self.n_received = 0

    def end(self) -> None:
        """Release the memory that is counted for the answer."""
        self._memory.discard(self)

    def reject(self, problem: str) -> None:
        """Give up the answer that is being received; `read` raises the problem."""
        self._problem = problem
        self.close()

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Buffer the bytes; the first read after the request sends them."""
        self.n_bytes += len(buffer)
        self._unsent += buffer

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Send the buffered bytes and wait for data; empty if the server closed."""
        if self._unsent:
            await self._send()
        while True:
            self._raise_if_rejected()
            try:
                await trio.lowlevel.wait_readable(self._socket)
                data = self._socket.recv(max_bytes)
            except BlockingIOError:
                continue
            except (OSError, trio.ClosedResourceError) as error:
                self._raise_if_rejected()
                raise httpcore.ReadError(str(error)) from error
            if not data and self._unsent:
                raise httpcore.WriteError("closed before the request was sent")
            self.n_received += len(data)
            if self.n_received > self._max_received:
                raise httpcore.RemoteProtocolError("the answer is too large")
            if self.n_received > MIN_COUNTED_BYTES:
                self._memory.count(self, self.n_received)
            self._raise_if_rejected()
            return data

    def _raise_if_rejected(self) -> None:
        if self._problem:
            raise httpcore.RemoteProtocolError(self._problem)

    async def _send(self) -> None:
        """Send the buffered bytes, until done or until there is input."""
        while not self._send_now() and not self._has_input:
            async with trio.open_nursery() as nursery:
                for wait in (trio.lowlevel.wait_readable, trio.lowlevel.wait_writable):
                    nursery.start_soon(
                        _cancel_after, wait, self._socket, nursery.cancel_scope
                    )

    def _send_now(self) -> bool:
        """Send what the kernel accepts; return whether that was all."""
        unsent = memoryview(self._unsent)
        try:
            n_sent = self._socket.send(unsent)
        except BlockingIOError:
            return False
        except OSError as error:
            # The server may have answered before it closed the connection.
            if self._has_input:
                return False
            raise httpcore.WriteError(str(error)) from error
        self.n_sent += n_sent
        self._unsent = bytes(unsent[n_sent:])
        return not self._unsent

    @property
    def _has_input(self) -> bool:
        return bool(self._poll.poll(0))

    async def aclose(self) -> None:
        """Close at once, without waiting."""
        self.close()

    def close(self) -> None:
        """Close at once; the server sees this and cancels the request."""
        self.end()
        if self._socket.fileno() >= 0:
            trio.lowlevel.notify_closing(self._socket)
            self._socket.close()

    def get_extra_info(self, info: str) -> Any:
        """Return whether the socket has unread data or was closed by the server."""
        if info == "is_readable":
            return self._has_input
        return None


async def _cancel_after(
    wait: Callable[[socket.socket], Awaitable[None]],
    watched: socket.socket,
    scope: trio.CancelScope,
) -> None:
    await wait(watched)
    scope.cancel()
