"""A TCP relay that can silently drop traffic, as a middlebox that lost its state."""

from dataclasses import dataclass
from typing import Literal

import trio

from lavendergap.state.settings import Address

from .http import open_listener

MAX_RECEIVE_BYTES = 65_536
Direction = Literal["towards", "back", "both"]


@dataclass(kw_only=True, slots=True, eq=False)
class _Flow:
    """One direction of one connection; a silent one drops what it receives."""

    source: trio.SocketStream
    sink: trio.SocketStream
    is_silent: bool = False

    async def run(self, scope: trio.CancelScope) -> None:
        """Copy bytes until either end closes, then end the connection by `scope`."""
        try:
            while data := await self.source.receive_some(MAX_RECEIVE_BYTES):
                if not self.is_silent:
                    await self.sink.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        # A silent connection does not propagate its close to the other side either.
        if not self.is_silent:
            scope.cancel()


@dataclass(frozen=True, kw_only=True, slots=True, eq=False)
class _Connection:
    towards: _Flow
    back: _Flow

    def silence(self, direction: Direction) -> None:
        self.towards.is_silent |= direction in ("towards", "both")
        self.back.is_silent |= direction in ("back", "both")


class Relay:
    """Accepts connections at `listen` and relays each to the address `upstream`.

    During a cut, data in the given direction is dropped on all connections, and their
    ends are not notified. Connections that were open during a cut stay silent after
    it; only new ones work.
    """

    def __init__(self, *, listen: Address, upstream: Address) -> None:
        self.listen = listen
        self.upstream = upstream
        self._cut: Direction | None = None
        self._connections: set[_Connection] = set()

    def cut(self, direction: Direction = "both") -> None:
        """Silence open and new connections; `towards` is the way to `upstream`."""
        self._cut = direction
        for connection in self._connections:
            connection.silence(direction)

    def restore(self) -> None:
        """End the cut for new connections."""
        self._cut = None

    async def run(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Accept connections until cancelled."""
        listener = await open_listener(self.listen.ip, self.listen.port)
        task_status.started()
        await trio.serve_listeners(self._serve, [listener])

    async def _serve(self, stream: trio.SocketStream) -> None:
        try:
            upstream = await trio.open_tcp_stream(self.upstream.ip, self.upstream.port)
        except OSError:
            return
        async with upstream:
            await self._relay(stream, upstream)

    async def _relay(
        self, stream: trio.SocketStream, upstream: trio.SocketStream
    ) -> None:
        connection = _Connection(
            towards=_Flow(source=stream, sink=upstream),
            back=_Flow(source=upstream, sink=stream),
        )
        if self._cut is not None:
            connection.silence(self._cut)
        self._connections.add(connection)
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(connection.towards.run, nursery.cancel_scope)
                nursery.start_soon(connection.back.run, nursery.cancel_scope)
        finally:
            self._connections.discard(connection)
