"""Connections to one backend server that carry callers' requests unchanged.

They speak HTTP without httpcore: whether bytes came after an answer, and whether any
byte of a request left, decides what may be believed and repeated, and httpcore shows
neither.
"""

import socket
from collections.abc import Callable
from dataclasses import replace
from math import inf

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
from .link import Exchange, Link, Result, has_input

logger = get_logger(Category.CONNECTIONS)

# What a new connection may take, in seconds. Most take a few milliseconds; a packet
# that is dropped at a full queue is sent again after a second, and by then another
# server has answered.
CONNECT_LIMIT = 0.25
# How long a server that dropped a request may take to accept a connection, in seconds,
# before no more than the lost connection is held against it. One that lives accepts
# within a round trip, and the port of one that has ended refuses as fast.
LIFE_CHECK_LIMIT = 0.05
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

EndCall = Callable[[Verdict], None]


class ForwardClient:
    """All connections of this process to one backend server.

    `call` and `begin` never raise for what the server or the network does.
    `idle_limit` is how long, in seconds, an idle connection is kept; a server that
    names a shorter time in its answers gets that. The connections' tasks run in
    `nursery`.
    """

    def __init__(
        self,
        *,
        server: Server,
        idle_limit: float,
        names: HeaderNames,
        nursery: trio.Nursery,
    ) -> None:
        self.server = server
        self.n_open = 0
        self._idle_limit = idle_limit
        self._names = names
        self._nursery = nursery
        self._idle: list[Link] = []
        self._is_closed = False

    # Attempts.

    async def call(self, call: Call, *, attempt: bytes, fresh: bool) -> Verdict:
        """Make one attempt at `call`, within its deadline."""
        ended: list[Verdict] = []
        done = trio.Event()

        def end(verdict: Verdict) -> None:
            ended.append(verdict)
            done.set()

        exchange = self.begin(call, fresh=fresh, end=end)
        try:
            with trio.move_on_at(call.deadline):
                await done.wait()
        finally:
            if not ended:
                exchange.cancel()
        return ended[0] if ended else self._lose(Step.RECEIVE, Reason.DEADLINE)

    def begin(self, call: Call, *, fresh: bool, end: EndCall) -> Exchange:
        """Begin an attempt at `call`; `end` is told its verdict, after this returns.

        Whoever begins it cancels it at the call's deadline.
        """
        now = trio.current_time()
        exchange = Exchange(
            call=call,
            peer=self.server.name,
            end=lambda ended, result: self._end(ended.call, result, end),
        )
        if call.deadline <= now:
            self._refuse(exchange, Step.QUEUE, Reason.DEADLINE)
            return exchange
        link = None if fresh else self._take_idle(call, now)
        if link is not None:
            self._send(link, exchange, now)
        elif self._is_full:
            self._refuse(exchange, Step.CONNECT, Reason.OVERLOADED)
        else:
            self._count_opened()
            scope = exchange.opening = trio.CancelScope()
            self._nursery.start_soon(self._open, exchange, scope)
        return exchange

    async def probe(self) -> ServerReport | None:
        """Tell nothing: answers and the registry say what a probe would.

        A probe costs a slot's time, and a health endpoint may lie either way.
        """
        return ServerReport(in_use=0, slots=0, queued=0, state="serving", versions=())

    async def close_idle(self, *, now: float) -> None:
        """Close the connections that have been idle for too long at `now`."""
        old = [link for link in self._idle if now - link.answered_at > link.idle_limit]
        for link in old:
            link.drop(Reason.LOST_CONNECTION)

    async def close(self) -> None:
        """Close every idle connection; those in use close as their calls end."""
        self._is_closed = True
        await self.close_idle(now=float("inf"))

    # What an exchange came to.

    def _end(self, call: Call, result: Result, end: EndCall) -> None:
        match result:
            case Unknown(reason=Reason.LOST_CONNECTION) if not self._is_full:
                self._nursery.start_soon(self._end_lost, call, result, end)
            case _:
                end(self._judge(call, result))

    async def _end_lost(self, call: Call, lost: Unknown, end: EndCall) -> None:
        """End an attempt whose connection broke, with whether the server has ended.

        A connection may break anywhere on its way, and a server may drop one request
        and go on. One whose port refuses a new connection in that moment has ended.
        """
        outcome = lost
        connected = None
        self._count_opened()
        try:
            with trio.move_on_after(LIFE_CHECK_LIMIT):
                connected = await _connect(self.server)
        except ConnectionRefusedError:
            outcome = replace(lost, reason=Reason.SERVER_ENDED)
        except Exception as error:
            # As below: one of this program's own must not end the process.
            self._log_connect_failure(call, error)
        finally:
            if connected is None:
                self._count_closed()
        end(Verdict(outcome=outcome, report=None))
        if connected is not None:
            link = self._make_link(connected)
            self._keep(link)
            await link.read()

    def _judge(self, call: Call, result: Result) -> Verdict:
        """Return what a result proves; an error of this program costs it and no more.

        Raised further it would end the process, and with it every request of every
        caller that the host serves.
        """
        if not isinstance(result, Reply):
            return Verdict(outcome=result, report=None)
        assert call.forward is not None
        try:
            return judge_forwarded(
                result,
                call.forward,
                names=self._names,
                server=self.server.name,
                is_part=bool(call.shard),
            )
        except Exception:
            logger.exception("the answer of %s cannot be judged", self.server.name)
            return self._lose(Step.CHECK, Reason.SERVER_ERROR)

    def _refuse(self, exchange: Exchange, step: Step, reason: Reason) -> None:
        outcome = NotRun(step=step, peer=self.server.name, reason=reason)
        self._nursery.start_soon(_finish_soon, exchange, outcome)

    def _lose(self, step: Step, reason: Reason) -> Verdict:
        outcome: Outcome = Unknown(step=step, peer=self.server.name, reason=reason)
        return Verdict(outcome=outcome, report=None)

    # Connections.

    def _take_idle(self, call: Call, now: float) -> Link | None:
        while self._idle:
            link = self._idle[-1]
            age = now - link.answered_at
            if not call.idempotent and age > TRUSTED_IDLE:
                return None
            self._idle.pop()
            # Its task may not have had a turn yet to see that the server closed it.
            if age <= link.idle_limit and not has_input(link):
                return link
            link.drop(Reason.LOST_CONNECTION)
        return None

    async def _open(self, exchange: Exchange, scope: trio.CancelScope) -> None:
        """Open a connection for an exchange, and read on it until it closes."""
        link = await self._connect(exchange, scope)
        if link is not None:
            await link.read()

    async def _connect(
        self, exchange: Exchange, scope: trio.CancelScope
    ) -> Link | None:
        peer = self.server.name
        # By the clock and not by a time left: before this task's first turn the
        # deadline may have passed, and a negative time is an error to trio.
        until = min(trio.current_time() + CONNECT_LIMIT, exchange.call.deadline)
        connected = None
        try:
            with scope, trio.move_on_at(until):
                connected = await _connect(self.server)
        except Exception as error:
            # One of this program's own must not end the process either.
            self._log_connect_failure(exchange.call, error)
        finally:
            if connected is None:
                self._count_closed()
        if connected is None:
            if scope.cancel_called:
                exchange.lose(Reason.CANCELLED)
            else:
                reason = Reason.REFUSED_CONNECTION
                exchange.finish(NotRun(step=Step.CONNECT, peer=peer, reason=reason))
            return None
        link = self._make_link(connected)
        now = trio.current_time()
        if scope.cancel_called or exchange.call.deadline <= now:
            # Opening it took what was left; nothing was sent, and the next call
            # finds the connection open.
            self._keep(link)
            reason = Reason.CANCELLED if scope.cancel_called else Reason.DEADLINE
            exchange.finish(NotRun(step=Step.CONNECT, peer=peer, reason=reason))
        else:
            self._send(link, exchange, now)
        return link

    def _make_link(self, connected: socket.socket) -> Link:
        return Link(raw=connected, idle_limit=self._idle_limit, owner=self)

    def _log_connect_failure(self, call: Call, error: Exception) -> None:
        log_decision(
            logger,
            "connect failed",
            request_id=call.request_id,
            server=self.server.name,
            error=str(error),
        )

    def _keep(self, link: Link) -> None:
        """Keep a connection for the next request."""
        if self._is_closed:
            link.drop(Reason.LOST_CONNECTION)
        else:
            self._idle.append(link)

    def _send(self, link: Link, exchange: Exchange, now: float) -> None:
        call = exchange.call
        assert call.forward is not None
        left = call.deadline - now
        try:
            data = render_request(
                call.forward,
                names=self._names,
                server=self.server.name,
                left_ms=max(1, int(left * 1_000)),
                body=call.body,
            )
        except Exception:
            # As above. Nothing has left, and the connection is as good as before.
            logger.exception("a request to %s cannot be sent", self.server.name)
            self._keep(link)
            self._refuse(exchange, Step.SEND, Reason.SERVER_ERROR)
            return
        silent_at = inf
        if call.idempotent and now - link.answered_at > TRUSTED_IDLE:
            silent_at = now + left * UNPROVED_SHARE
        rest = link.send(exchange, data, silent_at=silent_at)
        if rest:
            self._nursery.start_soon(link.send_rest, exchange, rest)

    # What the connections tell.

    def note_silence(self, exchange: Exchange) -> None:
        """Close what was idle beside a connection that went silent.

        Its siblings went through the same middle.
        """
        log_decision(
            logger,
            "silent connection",
            request_id=exchange.call.request_id,
            server=self.server.name,
            n_idle_dropped=len(self._idle),
        )
        for sibling in list(self._idle):
            sibling.drop(Reason.SILENT_CONNECTION)

    def note_closed(self, link: Link) -> None:
        """Count a connection that is closed, and use it no more."""
        self._count_closed()
        if link in self._idle:
            self._idle.remove(link)

    def take_back(self, link: Link, exchange: Exchange) -> bool:
        """Keep a connection for the next request, if its answer will be that one's.

        Bytes after a whole answer belong to no request, and an answer that names
        another request shows that the answers are off by one: so would be all that
        follow.
        """
        reader = exchange.reader
        assert exchange.call.forward is not None
        if self._is_closed or link.is_closing:
            return False
        if reader.is_followed or not reader.may_keep_alive:
            return False
        headers = reader.headers
        if headers.get(self._names.attempt) != exchange.call.forward.attempt:
            return False
        link.idle_limit = min(
            self._idle_limit, _read_keep_alive(headers.get(b"keep-alive", b""))
        )
        if link.idle_limit <= 0:
            return False
        link.answered_at = trio.current_time()
        self._idle.append(link)
        return True

    @property
    def _is_full(self) -> bool:
        return self.n_open >= self.server.connections

    def _count_opened(self) -> None:
        self.n_open += 1
        metrics.backend_connections.inc()

    def _count_closed(self) -> None:
        self.n_open -= 1
        metrics.backend_connections.dec()


async def _finish_soon(exchange: Exchange, outcome: NotRun) -> None:
    exchange.finish(outcome)


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
