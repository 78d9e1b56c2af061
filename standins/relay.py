"""A relay for TCP connections that can lose track of them, as a middlebox does."""

from dataclasses import dataclass
from typing import Literal

import trio

from lavendergap.state.settings import Address

from .http import open_listener

READ_SIZE = 65_536
Way = Literal["towards", "back", "both"]


@dataclass(kw_only=True, slots=True, eq=False)
class _Flow:
    """One direction of one connection; a silent one swallows what it is given."""

    source: trio.SocketStream
    sink: trio.SocketStream
    is_silent: bool = False

    async def run(self, scope: trio.CancelScope) -> None:
        """Carry bytes until either end closes, then end the whole connection."""
        try:
            while data := await self.source.receive_some(READ_SIZE):
                if not self.is_silent:
                    await self.sink.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        # The end of a silent connection stays unknown to the other side, too.
        if not self.is_silent:
            scope.cancel()


@dataclass(frozen=True, kw_only=True, slots=True, eq=False)
class _Connection:
    towards: _Flow
    back: _Flow

    def silence(self, way: Way) -> None:
        self.towards.is_silent |= way in ("towards", "both")
        self.back.is_silent |= way in ("back", "both")


class Relay:
    """Stands at `listen` and carries each connection on to `to`.

    During a cut nothing arrives, one way or both ways, on connections that are open
    or come meanwhile; both ends still believe in them. After the cut those stay
    silent for good and new ones work.
    """

    def __init__(self, *, listen: Address, to: Address) -> None:
        self.listen = listen
        self.to = to
        self._cut: Way | None = None
        self._connections: set[_Connection] = set()

    def cut(self, way: Way = "both") -> None:
        """Make open and coming connections silent; `towards` is the way to `to`."""
        self._cut = way
        for connection in self._connections:
            connection.silence(way)

    def restore(self) -> None:
        """Let new connections work again."""
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
            other = await trio.open_tcp_stream(self.to.ip, self.to.port)
        except OSError:
            return
        async with other:
            await self._carry(stream, other)

    async def _carry(self, stream: trio.SocketStream, other: trio.SocketStream) -> None:
        connection = _Connection(
            towards=_Flow(source=stream, sink=other),
            back=_Flow(source=other, sink=stream),
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
