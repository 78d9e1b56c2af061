"""Connections to one backend server that carry callers' requests unchanged.

They speak HTTP without httpcore: whether bytes came after an answer, and whether any
byte of a request left, decides what may be believed and repeated, and httpcore shows
neither.
"""

import socket
from dataclasses import dataclass

import trio

from .. import metrics
from ..coordination.calls import Call, ServerReport
from ..logs import Category, get_logger, log_decision
from ..protocol.forwarding import (
    HeaderNames,
    judge_forwarded,
    render_request,
)
from ..protocol.leaf import Reply, Verdict
from ..state.outcome import NotRun, Outcome, Reason, Step, Unknown
from ..state.settings import Server
from .replies import ReplyReader, WrongAnswerError

logger = get_logger(Category.CONNECTIONS)

READ_SIZE = 65_536
# What a new connection may take, in seconds. Most take a few milliseconds; a packet
# that is dropped at a full queue is sent again after a second, and by then another
# server has answered.
CONNECT_LIMIT = 0.25
# A request that must not run twice goes out only on a connection that carried an
# answer this recently, in seconds: one that the server has closed meanwhile would
# end the request as unknown.
TRUSTED_IDLE = 1.0
# A read on a connection that was idle for longer than the above gets this share of
# the time left; the rest is for another server, should the connection be silent.
UNPROVED_SHARE = 0.5
# The server closes idle connections at its own time; ours is shorter by this share,
# so that a request does not cross the close.
IDLE_SHARE = 0.7


@dataclass(slots=True, kw_only=True)
class ForwardConnection:
    """One open connection, and when it last carried a whole answer."""

    stream: trio.SocketStream
    raw: socket.socket
    answered_at: float
    idle_limit: float
    is_new: bool = True
    is_closed: bool = False
    n_sent: int = 0


class ForwardClient:
    """All connections of this process to one backend server.

    `call` never raises for what the server or the network does. `idle_limit` is how
    long, in seconds, an idle connection is kept; a server that names a shorter time
    in its answers gets that.
    """

    def __init__(
        self, *, server: Server, idle_limit: float, names: HeaderNames
    ) -> None:
        self.server = server
        self.n_open = 0
        self._idle_limit = idle_limit
        self._names = names
        self._idle: list[ForwardConnection] = []
        self._is_closed = False

    async def call(self, call: Call, *, attempt: bytes, fresh: bool) -> Verdict:
        """Make one attempt at `call`, within its deadline."""
        assert call.forward is not None
        now = trio.current_time()
        left = call.deadline - now
        if left <= 0:
            return self._refuse(Step.QUEUE, Reason.DEADLINE)
        connection = None if fresh else self._take_idle(call, now)
        if connection is None:
            opened = await self._open(min(CONNECT_LIMIT, left))
            if isinstance(opened, NotRun):
                return Verdict(outcome=opened, report=None)
            connection = opened
            left = call.deadline - trio.current_time()
            if left <= 0:
                # Opening it took what was left; nothing was sent, and the next call
                # finds the connection open.
                self._idle.append(connection)
                return self._refuse(Step.CONNECT, Reason.DEADLINE)
        limit = left
        if call.idempotent and now - connection.answered_at > TRUSTED_IDLE:
            limit = left * UNPROVED_SHARE
        result = await self._exchange(connection, call, left=left, limit=limit)
        if isinstance(result, Reply):
            return judge_forwarded(
                result,
                call.forward,
                names=self._names,
                server=self.server.name,
                is_part=bool(call.shard),
            )
        return Verdict(outcome=result, report=None)

    async def probe(self) -> ServerReport | None:
        """Tell nothing: answers and the registry say what a probe would.

        A probe costs a slot's time, and a health endpoint may lie either way.
        """
        return ServerReport(in_use=0, slots=0, queued=0, state="serving", versions=())

    async def close_idle(self, *, now: float) -> None:
        """Close the connections that have been idle for too long at `now`."""
        old = [c for c in self._idle if now - c.answered_at > c.idle_limit]
        self._idle = [c for c in self._idle if now - c.answered_at <= c.idle_limit]
        for connection in old:
            self._drop(connection)

    async def close(self) -> None:
        """Close every idle connection; those in use close as their calls end."""
        self._is_closed = True
        await self.close_idle(now=float("inf"))

    def _refuse(self, step: Step, reason: Reason) -> Verdict:
        outcome = NotRun(step=step, peer=self.server.name, reason=reason)
        return Verdict(outcome=outcome, report=None)

    def _take_idle(self, call: Call, now: float) -> ForwardConnection | None:
        while self._idle:
            connection = self._idle[-1]
            age = now - connection.answered_at
            if not call.idempotent and age > TRUSTED_IDLE:
                return None
            self._idle.pop()
            if age <= connection.idle_limit and not _has_input(connection):
                connection.is_new = False
                return connection
            self._drop(connection)
        return None

    async def _open(self, limit: float) -> ForwardConnection | NotRun:
        peer = self.server.name
        if self.n_open >= self.server.connections:
            return NotRun(step=Step.CONNECT, peer=peer, reason=Reason.OVERLOADED)
        self.n_open += 1
        metrics.backend_connections.inc()
        connected = None
        try:
            with trio.move_on_after(limit):
                connected = await _connect(self.server)
        except OSError as error:
            log_decision(
                logger,
                "connect failed",
                request_id=None,
                server=peer,
                error=str(error),
            )
        finally:
            if connected is None:
                self._count_closed()
        if connected is None:
            reason = Reason.REFUSED_CONNECTION
            return NotRun(step=Step.CONNECT, peer=peer, reason=reason)
        return ForwardConnection(
            stream=trio.SocketStream(trio.socket.from_stdlib_socket(connected)),
            raw=connected,
            answered_at=trio.current_time(),
            idle_limit=self._idle_limit,
        )

    async def _exchange(
        self, connection: ForwardConnection, call: Call, *, left: float, limit: float
    ) -> Reply | Outcome:
        """Send one request and read its whole answer."""
        peer = self.server.name
        is_reusable = False
        connection.n_sent = 0
        assert call.forward is not None
        reader = ReplyReader(has_no_body=call.forward.method == b"HEAD")
        try:
            with trio.move_on_after(limit):
                await self._send(connection, call, left)
                await _receive(connection, reader)
                reply = reader.make_reply()
                is_reusable = self._may_reuse(connection, reader, reply, call)
                return reply
            if connection.is_new or limit >= left:
                return Unknown(step=Step.RECEIVE, peer=peer, reason=Reason.DEADLINE)
            await self._distrust(call)
            reason = Reason.SILENT_CONNECTION
            return Unknown(step=Step.RECEIVE, peer=peer, reason=reason)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return self._judge_loss(connection, Reason.LOST_CONNECTION)
        except WrongAnswerError:
            return self._judge_loss(connection, Reason.WRONG_ANSWER)
        finally:
            if is_reusable:
                connection.answered_at = trio.current_time()
                self._idle.append(connection)
            else:
                self._drop(connection)

    async def _send(
        self, connection: ForwardConnection, call: Call, left: float
    ) -> None:
        request = call.forward
        assert request is not None
        data = render_request(
            request,
            names=self._names,
            server=self.server.name,
            left_ms=max(1, int(left * 1_000)),
            body=call.body,
        )
        # From here on the server may have the request, whatever becomes of the call.
        connection.n_sent = len(data)
        await connection.stream.send_all(data)

    def _may_reuse(
        self,
        connection: ForwardConnection,
        reader: ReplyReader,
        reply: Reply,
        call: Call,
    ) -> bool:
        """Tell whether the next answer on the connection will be the next request's.

        Bytes after a whole answer belong to no request, and an answer that names
        another request shows that the answers are off by one: so would be all that
        follow.
        """
        assert call.forward is not None
        if self._is_closed or connection.is_closed:
            return False
        if reader.is_followed or not reader.may_keep_alive:
            return False
        if reply.headers.get(self._names.attempt) != call.forward.attempt:
            return False
        connection.idle_limit = min(
            self._idle_limit, _read_keep_alive(reply.headers.get(b"keep-alive", b""))
        )
        return connection.idle_limit > 0

    def _judge_loss(self, connection: ForwardConnection, reason: Reason) -> Outcome:
        peer = self.server.name
        if connection.n_sent == 0:
            return NotRun(step=Step.SEND, peer=peer, reason=reason)
        return Unknown(step=Step.RECEIVE, peer=peer, reason=reason)

    async def _distrust(self, call: Call) -> None:
        """Close what was idle beside a connection that went silent."""
        log_decision(
            logger,
            "silent connection",
            request_id=call.request_id,
            server=self.server.name,
            n_idle_dropped=len(self._idle),
        )
        idle, self._idle = self._idle, []
        for connection in idle:
            self._drop(connection)

    def _drop(self, connection: ForwardConnection) -> None:
        """Close at once. The server sees it, and stops what it still ran."""
        trio.lowlevel.notify_closing(connection.raw)
        connection.raw.close()
        self._count_closed()

    def _count_closed(self) -> None:
        self.n_open -= 1
        metrics.backend_connections.dec()


async def _connect(server: Server) -> socket.socket:
    connecting = trio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        connecting.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        await connecting.connect((server.address.ip, server.address.port))
        connected = socket.socket(fileno=connecting.detach())
    except BaseException:
        connecting.close()
        raise
    connected.setblocking(False)
    return connected


def _has_input(connection: ForwardConnection) -> bool:
    """Tell whether bytes, or the server's close, wait on an idle connection."""
    try:
        connection.raw.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return False
    except OSError:
        return True
    return True


async def _receive(connection: ForwardConnection, reader: ReplyReader) -> None:
    while not reader.is_whole:
        data = await connection.stream.receive_some(READ_SIZE)
        if data:
            reader.feed(data)
            continue
        connection.is_closed = True
        if not reader.has_begun:
            raise trio.BrokenResourceError("closed before an answer")
        reader.end()


def _read_keep_alive(text: bytes) -> float:
    """Return how long an idle connection is good for, in seconds.

    >>> _read_keep_alive(b"timeout=10"), _read_keep_alive(b"")
    (7.0, inf)
    """
    for field in text.split(b","):
        name, _, value = field.partition(b"=")
        if name.strip().lower() == b"timeout" and value.strip().isdigit():
            return IDLE_SHARE * int(value)
    return float("inf")
