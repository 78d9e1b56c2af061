"""A connection to a backend server and the HTTP exchange in progress on it."""

import select
import socket
from collections.abc import Callable
from math import inf
from typing import Protocol

import trio

from ..coordination.calls import Call
from ..coordination.reuse import FailedAttempts
from ..logs import Category, get_logger
from ..protocol.backend import Reply
from ..state.outcome import NotRun, Reason, Step, Unknown
from .answermemory import MIN_COUNTED_BYTES, get_answer_memory
from .badfields import report_wrong_answer
from .inputwatcher import get_input_watcher
from .replies import ReplyReader, WrongAnswerError

logger = get_logger(Category.CONNECTIONS)

READ_SIZE_BYTES = 65_536

# How an exchange ended: a complete answer, or whether the request may have run.
Result = Reply | NotRun | Unknown


class Exchange:
    """One request to one server; `end` is called once with its result.

    `end` is never called before the client's `begin` has returned.
    """

    __slots__ = (
        "call",
        "peer",
        "connection",
        "reader",
        "n_bytes",
        "n_sent",
        "number",
        "sent_at",
        "opening",
        "_end",
    )

    def __init__(
        self, *, call: Call, peer: str, end: Callable[["Exchange", Result], None]
    ) -> None:
        assert call.forward is not None
        self.call = call
        self.peer = peer
        self.connection: ServerConnection | None = None
        self.reader = ReplyReader(has_no_body=call.forward.method == b"HEAD")
        # The length of the request, and how much of it the kernel has accepted.
        self.n_bytes = 0
        self.n_sent = 0
        # Which exchange it is on its connection, counted from 1.
        self.number = 0
        self.sent_at = 0.0
        # The scope in which a connection for this exchange is being opened.
        self.opening: trio.CancelScope | None = None
        self._end: Callable[[Exchange, Result], None] | None = end

    def finish(self, result: Result) -> None:
        """Report the result, unless one was reported already."""
        end, self._end = self._end, None
        if end is not None:
            end(self, result)

    def lose(self, reason: Reason) -> None:
        """Finish without a complete answer.

        Once a byte may have been sent, the request may have run, even if the server
        closed an idle connection at the same moment.
        """
        if self.n_sent == 0 and reason is not Reason.CANCELLED:
            self.finish(NotRun(step=Step.SEND, peer=self.peer, reason=reason))
        else:
            self.finish(Unknown(step=Step.RECEIVE, peer=self.peer, reason=reason))

    def cancel(self) -> None:
        """Cancel the exchange; the server sees its connection close."""
        if self._end is None:
            return
        if self.opening is not None:
            self.opening.cancel()
        if self.connection is not None:
            self.connection.drop(Reason.CANCELLED)


class ConnectionOwner(Protocol):
    """The client that opened a connection and decides on its reuse."""

    def return_connection(
        self, connection: "ServerConnection", exchange: Exchange
    ) -> bool:
        """Keep the connection after a complete answer, or return False to close it."""

    def on_silence(self, exchange: Exchange) -> None:
        """Handle a connection on which no complete answer arrived in time."""

    def on_closed(self, connection: "ServerConnection") -> None:
        """Handle a connection that was closed."""


class ServerConnection:
    """An open connection that is read until it closes, and the task that waits for it.

    The process's input watcher calls for each read, so that an answer costs no step of
    a task of its own (`python -m lab.callcost` counts them). It also reads while the
    connection is idle, so that a close by the server is detected before the next
    request.
    """

    __slots__ = (
        "raw",
        "poll",
        "local_port",
        "n_exchanges",
        "failed_attempts",
        "last_attempt",
        "answered_at",
        "idle_timeout_s",
        "is_closed_by_server",
        "_exchange",
        "_owner",
        "_silence_scope",
        "_is_open",
        "_close_reason",
        "_watcher",
        "_memory",
        "_closed",
    )

    def __init__(
        self, *, raw: socket.socket, idle_timeout_s: float, owner: ConnectionOwner
    ) -> None:
        self.raw = raw
        # Returns what the socket is ready for; reading ahead would raise an exception
        # for each idle connection without input.
        poll = select.poll()
        poll.register(raw, select.POLLIN)
        self.poll = poll.poll
        self.local_port: int = raw.getsockname()[1]
        self.n_exchanges = 0
        self.failed_attempts = FailedAttempts()
        self.last_attempt = b""
        self.answered_at = trio.current_time()
        self.idle_timeout_s = idle_timeout_s
        # Whether the server has closed its side.
        self.is_closed_by_server = False
        self._exchange: Exchange | None = None
        self._owner = owner
        self._silence_scope = trio.CancelScope()
        self._is_open = True
        self._close_reason = Reason.LOST_CONNECTION
        self._watcher = get_input_watcher()
        self._memory = get_answer_memory()
        self._closed = trio.Event()

    def send(
        self, exchange: Exchange, data: bytes, *, now: float, silence_deadline: float
    ) -> bytes:
        """Begin an exchange; return the part of `data` that is still to be sent.

        After a send that fails, no byte of the request was sent; this connection's
        task then ends the exchange. If the answer is not complete by
        `silence_deadline`, the connection is treated as silent.
        """
        exchange.connection = self
        exchange.n_bytes = len(data)
        exchange.sent_at = now
        self.n_exchanges += 1
        exchange.number = self.n_exchanges
        self._exchange = exchange
        try:
            exchange.n_sent = self.raw.send(data)
        except BlockingIOError:
            pass
        except OSError:
            self.drop(Reason.LOST_CONNECTION)
            return b""
        if silence_deadline < inf:
            self._silence_scope.deadline = silence_deadline
        return data[exchange.n_sent :]

    async def send_rest(self, exchange: Exchange, rest: bytes) -> None:
        """Send the rest of a long request as the socket becomes writable."""
        unsent = memoryview(rest)
        while unsent and self._is_open and self._exchange is exchange:
            try:
                await trio.lowlevel.wait_writable(self.raw)
                n_sent = self.raw.send(unsent)
            except BlockingIOError:
                continue
            except trio.ClosedResourceError:
                return
            except OSError:
                # The server may have answered before it closed the connection; the
                # input watcher then reads the answer.
                if not has_input(self):
                    self.drop(Reason.LOST_CONNECTION)
                return
            exchange.n_sent += n_sent
            unsent = unsent[n_sent:]

    def drop(self, reason: Reason) -> None:
        """Close at once; the exchange in progress then ends with `reason`."""
        if self._is_open:
            self._is_open = False
            self._close_reason = reason
            self._closed.set()
            self._watcher.discard(self.raw)
            self._memory.discard(self)
            trio.lowlevel.notify_closing(self.raw)
            self.raw.close()
            self._owner.on_closed(self)

    async def read(self) -> None:
        """Read until the connection closes and finish each exchange on it."""
        reason = Reason.LOST_CONNECTION
        if self._is_open:
            self._watcher.watch(self.raw, self._on_input)
        try:
            is_silent = await self._wait_until_closed()
            if is_silent and self._exchange is not None:
                reason = Reason.SILENT_CONNECTION
                self._owner.on_silence(self._exchange)
        except BaseException:
            # The process is stopping; the exchange in progress gets no result.
            self.drop(reason)
            raise
        self._end(reason)

    async def _wait_until_closed(self) -> bool:
        """Return whether the connection is still open because it was silent."""
        while True:
            with self._silence_scope:
                await self._closed.wait()
            if self._closed.is_set():
                return False
            if self._silence_scope.deadline < inf:
                return True
            # The answer was read in the turn of the event loop in which its time ended.
            self._silence_scope = trio.CancelScope()

    def _on_input(self) -> None:
        exchange = self._exchange
        try:
            if not self._receive():
                self._end(Reason.LOST_CONNECTION)
        except WrongAnswerError as error:
            self.reject(str(error))
        except Exception:
            # An unexpected error must not end the process and the requests of others.
            peer = exchange.peer if exchange is not None else ""
            logger.exception("cannot read the answer of %s", peer)
            self._end(Reason.WRONG_ANSWER)
            if exchange is not None:
                exchange.lose(Reason.WRONG_ANSWER)

    def reject(self, problem: str) -> None:
        """Close the connection; the answer in progress counts as a wrong one."""
        if self._exchange is not None:
            report_wrong_answer(self._exchange.peer, problem)
        self._end(Reason.WRONG_ANSWER)

    def _end(self, reason: Reason) -> None:
        """Close, if open, and finish the exchange in progress."""
        self.drop(reason)
        exchange, self._exchange = self._exchange, None
        if exchange is not None:
            exchange.reader.discard()
            exchange.lose(self._close_reason)

    def _receive(self) -> bool:
        """Process received bytes; return whether to keep reading."""
        try:
            data = self.raw.recv(READ_SIZE_BYTES)
        except BlockingIOError:
            return True
        except OSError:
            return False
        exchange = self._exchange
        if exchange is None:
            # Either bytes that belong to no request, or a close by the server.
            return False
        reader = exchange.reader
        if data:
            reader.feed(data)
        else:
            self.is_closed_by_server = True
            if not reader.has_begun:
                return False
            reader.end()
        if not reader.is_whole:
            if reader.n_bytes > MIN_COUNTED_BYTES:
                self._memory.count(self, reader.n_bytes)
            return self._is_open
        self._memory.discard(self)
        self._exchange = None
        if self._silence_scope.deadline < inf:
            self._silence_scope.deadline = inf
        is_kept = self._owner.return_connection(self, exchange)
        if not is_kept:
            # Closed before the result is reported, as the next attempt may need its
            # place among the server's connections.
            self.drop(Reason.LOST_CONNECTION)
        reply = reader.make_reply()
        reader.discard()
        exchange.finish(reply)
        return is_kept


def has_input(connection: ServerConnection) -> bool:
    """Return whether an idle connection has unread bytes or was closed."""
    return bool(connection.poll(0))
