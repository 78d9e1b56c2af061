"""Connections to one backend server that carry callers' requests unchanged.

This module implements HTTP without httpcore, which does not expose whether bytes
followed an answer or whether any byte of a request was sent. Both decide whether an
answer may be used and whether a request may be retried.
"""

import socket
from collections.abc import Callable
from dataclasses import replace
from functools import lru_cache
from math import inf

import trio

from .. import metrics
from ..coordination.calls import Call, ServerReport
from ..coordination.linelimit import LineLimit
from ..coordination.reuse import has_read_request
from ..logs import Category, get_logger, log_decision
from ..protocol.backend import Reply, Verdict
from ..protocol.forwarding import (
    HeaderNames,
    check_forwarded_reply,
    render_request,
)
from ..protocol.numbers import read_count
from ..state.outcome import NotRun, Outcome, Reason, Step, Unknown
from ..state.settings import Server
from .badfields import report_bad_field
from .earlyanswers import report_early_answer
from .serverconnection import Exchange, Result, ServerConnection, has_input

logger = get_logger(Category.CONNECTIONS)

# Shorter than TCP's retransmission of a dropped SYN after a second: by then another
# server can have answered.
CONNECT_TIMEOUT_S = 0.25
# After a lost connection, how long the server may take to accept another one. A running
# server accepts within a round trip, and the port of one that has ended refuses as
# fast. On a timeout, the attempt counts as a lost connection only.
LIVENESS_TIMEOUT_S = 0.05
# A request that must not run twice reuses only a connection that carried an answer
# this recently: if the server has closed it, the request's outcome is unknown.
MAX_TRUSTED_IDLE_S = 1.0
# A read on a connection that was idle for longer than MAX_TRUSTED_IDLE_S gets this
# share of the time left. If the connection is silent, the rest is for another server.
UNTRUSTED_TIMEOUT_SHARE = 0.5
# An idle connection is closed after this share of the server's keep-alive timeout, so
# that no request is sent while the server closes the connection.
KEEP_ALIVE_SHARE = 0.7
# Overloaded servers reject any number of requests.
REJECTION_LINES_PER_S = 20
# Servers of one kind state the same timeouts. A head, and so each text that is cached,
# has at most `MAX_HEAD_BYTES`.
MAX_CACHED_KEEP_ALIVES = 16
MAX_KEEP_ALIVE_S = 1_000_000_000

EndCall = Callable[[Verdict], None]

_rejection_lines = LineLimit(n_lines=REJECTION_LINES_PER_S)


class ForwardClient:
    """All connections of this process to one backend server.

    `call` and `begin` raise nothing for a failure of the server or the network.
    `idle_timeout_s` is how long an idle connection is kept, unless the server's
    answers state a shorter time. The connections' tasks run in `nursery`.
    """

    def __init__(
        self,
        *,
        server: Server,
        idle_timeout_s: float,
        names: HeaderNames,
        nursery: trio.Nursery,
    ) -> None:
        self.server = server
        self.n_open = 0
        self._idle_timeout_s = idle_timeout_s
        self._names = names
        self._nursery = nursery
        self._idle: list[ServerConnection] = []
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
        return ended[0] if ended else self._make_unknown(Step.RECEIVE, Reason.DEADLINE)

    def begin(self, call: Call, *, fresh: bool, end: EndCall) -> Exchange:
        """Begin an attempt at `call`; `end` gets its verdict after this returns.

        The code that begins an attempt has to cancel it at the call's deadline.
        """
        now = trio.current_time()
        exchange = Exchange(
            call=call,
            peer=self.server.name,
            end=lambda ended, result: self._end(ended, result, end),
        )
        if call.deadline <= now:
            self._finish_unsent(exchange, Step.QUEUE, Reason.DEADLINE)
            return exchange
        connection = None if fresh else self._take_idle(call, now)
        if connection is not None:
            self._send(connection, exchange, now)
        elif not self._make_room():
            self._finish_unsent(exchange, Step.CONNECT, Reason.OVERLOADED)
        else:
            self._count_opened()
            scope = exchange.opening = trio.CancelScope()
            self._nursery.start_soon(self._open, exchange, scope)
        return exchange

    async def probe(self) -> ServerReport | None:
        """Return a report without content; no health endpoint is queried.

        A probe would use time of a server slot, and a health endpoint may be wrong.
        Answers and the registry show whether the server is usable.
        """
        return ServerReport(in_use=0, slots=0, queued=0, state="serving", versions=())

    async def close_idle(self, *, now: float) -> None:
        """Close the connections that exceed the idle limit at `now`."""
        old = [
            connection
            for connection in self._idle
            if now - connection.answered_at > connection.idle_timeout_s
        ]
        for connection in old:
            connection.drop(Reason.LOST_CONNECTION)

    async def close(self) -> None:
        """Close every idle connection; those in use close when their calls end."""
        self._is_closed = True
        await self.close_idle(now=float("inf"))

    # Results of exchanges.

    def _end(self, exchange: Exchange, result: Result, end: EndCall) -> None:
        match result:
            case Unknown(reason=Reason.LOST_CONNECTION) if self._make_room():
                self._nursery.start_soon(
                    self._end_after_loss, exchange.call, result, end
                )
            case _:
                verdict = self._make_verdict(exchange, result)
                if isinstance(result, Reply) and isinstance(verdict.outcome, NotRun):
                    self._log_rejection(exchange, result.status)
                end(verdict)

    async def _end_after_loss(self, call: Call, lost: Unknown, end: EndCall) -> None:
        """Check if the server has ended after a lost connection; end the attempt.

        A connection can break anywhere on the network path, and a server can drop a
        request and keep running. A port that refuses a new connection at this moment
        shows that the server's process has ended.
        """
        outcome = lost
        connected = None
        self._count_opened()
        try:
            with trio.move_on_after(LIVENESS_TIMEOUT_S):
                connected = await _connect(self.server)
        except ConnectionRefusedError:
            outcome = replace(lost, reason=Reason.SERVER_ENDED)
        except Exception as error:
            # An unexpected error here must not end the process.
            self._log_connect_failure(call, error)
        finally:
            if connected is None:
                self._count_closed()
        connection = None
        if connected is not None:
            # Kept before the attempt ends, as the next one may need this connection.
            connection = self._make_connection(connected)
            self._keep(connection)
        end(Verdict(outcome=outcome, report=None))
        if connection is not None:
            await connection.read()

    def _make_verdict(self, exchange: Exchange, result: Result) -> Verdict:
        """Return the verdict on a result.

        An unexpected error loses this attempt only. If it were raised, it would end
        the process and every request on this host.
        """
        if not isinstance(result, Reply):
            return Verdict(outcome=result, report=None)
        call = exchange.call
        assert call.forward is not None
        try:
            verdict = check_forwarded_reply(
                result,
                call.forward,
                names=self._names,
                server=self.server.name,
                is_part=bool(call.shard),
                is_first=exchange.number == 1,
            )
        except Exception:
            logger.exception("cannot evaluate the answer of %s", self.server.name)
            return self._make_unknown(Step.CHECK, Reason.SERVER_ERROR)
        if verdict.report is None:
            load = result.headers.get(self._names.load)
            if load is not None:
                report_bad_field(self.server.name, self._names.load, load)
        return verdict

    def _finish_unsent(self, exchange: Exchange, step: Step, reason: Reason) -> None:
        outcome = NotRun(step=step, peer=self.server.name, reason=reason)
        self._nursery.start_soon(_finish_soon, exchange, outcome)

    def _make_unknown(self, step: Step, reason: Reason) -> Verdict:
        outcome: Outcome = Unknown(step=step, peer=self.server.name, reason=reason)
        return Verdict(outcome=outcome, report=None)

    # Connections.

    def _take_idle(self, call: Call, now: float) -> ServerConnection | None:
        """Return the connection that answered last, of those that may carry a call."""
        assert call.forward is not None
        attempt = call.forward.attempt
        for index in range(len(self._idle) - 1, -1, -1):
            connection = self._idle[index]
            if attempt in connection.failed_attempts:
                continue
            age = now - connection.answered_at
            if not call.idempotent and age > MAX_TRUSTED_IDLE_S:
                return None
            # The server may have closed it before its task could run again.
            if age <= connection.idle_timeout_s and not has_input(connection):
                return self._idle.pop(index)
            connection.drop(Reason.LOST_CONNECTION)
        return None

    async def _open(self, exchange: Exchange, scope: trio.CancelScope) -> None:
        """Open a connection for an exchange and read from it until it closes."""
        connection = await self._connect(exchange, scope)
        if connection is not None:
            await connection.read()

    async def _connect(
        self, exchange: Exchange, scope: trio.CancelScope
    ) -> ServerConnection | None:
        peer = self.server.name
        # An absolute time: the deadline may pass before this task first runs, and trio
        # raises ValueError for a negative timeout.
        until = min(trio.current_time() + CONNECT_TIMEOUT_S, exchange.call.deadline)
        connected = None
        try:
            with scope, trio.move_on_at(until):
                connected = await _connect(self.server)
        except Exception as error:
            # Mostly a refused connection; an unexpected error must not end the process.
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
        connection = self._make_connection(connected)
        now = trio.current_time()
        if scope.cancel_called or exchange.call.deadline <= now:
            # Connecting used up the time. Nothing was sent, and the connection is
            # kept for the next call.
            self._keep(connection)
            reason = Reason.CANCELLED if scope.cancel_called else Reason.DEADLINE
            exchange.finish(NotRun(step=Step.CONNECT, peer=peer, reason=reason))
        else:
            self._send(connection, exchange, now)
        return connection

    def _make_connection(self, connected: socket.socket) -> ServerConnection:
        return ServerConnection(
            raw=connected, idle_timeout_s=self._idle_timeout_s, owner=self
        )

    def _log_connect_failure(self, call: Call, error: Exception) -> None:
        log_decision(
            logger,
            "connect failed",
            request_id=call.request_id,
            server=self.server.name,
            error=str(error),
        )

    def _keep(self, connection: ServerConnection) -> None:
        """Keep a connection for the next request."""
        if self._is_closed:
            connection.drop(Reason.LOST_CONNECTION)
        else:
            self._idle.append(connection)

    def _send(
        self, connection: ServerConnection, exchange: Exchange, now: float
    ) -> None:
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
            # An unexpected error must not end the process. Nothing was sent, so the
            # connection can be reused.
            logger.exception("cannot render a request to %s", self.server.name)
            self._keep(connection)
            self._finish_unsent(exchange, Step.SEND, Reason.SERVER_ERROR)
            return
        attempt = call.forward.attempt
        if connection.last_attempt not in (b"", attempt):
            exchange.reader.copied = (self._names.attempt, connection.last_attempt)
        connection.last_attempt = attempt
        silence_deadline = inf
        if call.idempotent and now - connection.answered_at > MAX_TRUSTED_IDLE_S:
            silence_deadline = now + left * UNTRUSTED_TIMEOUT_SHARE
        rest = connection.send(
            exchange, data, now=now, silence_deadline=silence_deadline
        )
        if rest:
            self._nursery.start_soon(connection.send_rest, exchange, rest)

    # Callbacks of the connections.

    def on_silence(self, exchange: Exchange) -> None:
        """Close all idle connections after another connection was silent.

        They share its network path.
        """
        log_decision(
            logger,
            "silent connection",
            request_id=exchange.call.request_id,
            server=self.server.name,
            n_idle_dropped=len(self._idle),
        )
        for connection in list(self._idle):
            connection.drop(Reason.SILENT_CONNECTION)

    def on_closed(self, connection: ServerConnection) -> None:
        """Count a closed connection and remove it from the idle ones."""
        self._count_closed()
        if connection in self._idle:
            self._idle.remove(connection)

    def return_connection(
        self, connection: ServerConnection, exchange: Exchange
    ) -> bool:
        """Keep a connection for reuse if its answers match its requests.

        Bytes after a complete answer belong to no request, and an answer to another
        request means that the answers are off by one, as all later ones would be. After
        a request that is not sent or not read completely, the server would take the
        next request for the rest of it.
        """
        reader = exchange.reader
        assert exchange.call.forward is not None
        if reader.has_skipped:
            self._log_copy(exchange)
            return False
        if exchange.n_sent < exchange.n_bytes:
            report_early_answer(
                request_id=exchange.call.request_id,
                server=self.server.name,
                n_bytes=exchange.n_bytes,
                n_sent=exchange.n_sent,
            )
        if not has_read_request(
            n_bytes=exchange.n_bytes,
            n_sent=exchange.n_sent,
            is_success=reader.is_success,
        ):
            return False
        if self._is_closed or connection.is_closed_by_server:
            return False
        if reader.has_trailing_data or not reader.may_keep_alive:
            return False
        headers = reader.headers
        attempt = exchange.call.forward.attempt
        if headers.get(self._names.attempt) != attempt:
            return False
        if not reader.is_success or self._names.not_run in headers:
            deadline = exchange.call.deadline
            now = trio.current_time()
            if not connection.failed_attempts.add(attempt, deadline=deadline, now=now):
                return False
        idle_timeout_s = self._idle_timeout_s
        stated = headers.get(b"keep-alive")
        if stated is not None:
            try:
                idle_timeout_s = min(idle_timeout_s, _read_keep_alive(stated))
            except ValueError:
                report_bad_field(self.server.name, b"keep-alive", stated)
                return False
        connection.idle_timeout_s = idle_timeout_s
        if connection.idle_timeout_s <= 0:
            return False
        connection.answered_at = trio.current_time()
        self._idle.append(connection)
        return True

    def _log_rejection(self, exchange: Exchange, status: int) -> None:
        now = trio.current_time()
        n_dropped = _rejection_lines.admit(now=now)
        if n_dropped is None:
            return
        connection = exchange.connection
        log_decision(
            logger,
            "rejected",
            request_id=exchange.call.request_id,
            server=self.server.name,
            status=status,
            local_port=connection.local_port if connection else 0,
            number=exchange.number,
            after_ms=round((now - exchange.sent_at) * 1_000, 1),
            n_dropped=n_dropped,
        )

    def _log_copy(self, exchange: Exchange) -> None:
        metrics.dropped_answers.labels("copy of the last answer").inc()
        log_decision(
            logger,
            "copy skipped",
            request_id=exchange.call.request_id,
            server=self.server.name,
        )

    def _make_room(self) -> bool:
        """Return whether a connection may be opened, closing idle ones if needed.

        An idle connection that a call may not reuse must not keep it from the server.
        """
        while self.n_open >= self.server.connections and self._idle:
            self._idle[0].drop(Reason.LOST_CONNECTION)
        return self.n_open < self.server.connections

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


@lru_cache(maxsize=MAX_CACHED_KEEP_ALIVES)
def _read_keep_alive(text: bytes) -> float:
    """Return how long an idle connection may be reused, in seconds.

    Raises ValueError if the stated timeout is not a number of usual size.

    >>> _read_keep_alive(b"timeout=10"), _read_keep_alive(b"")
    (7.0, inf)
    """
    for field in text.split(b","):
        name, _, value = field.partition(b"=")
        if name.strip().lower() == b"timeout":
            return KEEP_ALIVE_SHARE * read_count(value, most=MAX_KEEP_ALIVE_S)
    return float("inf")
