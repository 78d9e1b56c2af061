"""One connection to a backend server, and the exchange that is under way on it."""

import socket
from collections.abc import Callable
from math import inf
from typing import Protocol

import trio

from ..coordination.calls import Call
from ..protocol.leaf import Reply
from ..state.outcome import NotRun, Reason, Step, Unknown
from .replies import ReplyReader, WrongAnswerError

READ_SIZE = 65_536

# How an exchange ended: with a whole answer, or what is known without one.
Result = Reply | NotRun | Unknown


class Exchange:
    """One request to one server, from its start until `end` is told the result.

    `end` is called once, never before `begin` of the client has returned.
    """

    __slots__ = ("call", "peer", "link", "reader", "n_sent", "opening", "_end")

    def __init__(
        self, *, call: Call, peer: str, end: Callable[["Exchange", Result], None]
    ) -> None:
        assert call.forward is not None
        self.call = call
        self.peer = peer
        self.link: Link | None = None
        self.reader = ReplyReader(has_no_body=call.forward.method == b"HEAD")
        self.n_sent = 0
        # Cancelled to give up a connection that is only being opened for it.
        self.opening: trio.CancelScope | None = None
        self._end: Callable[[Exchange, Result], None] | None = end

    def finish(self, result: Result) -> None:
        """Tell the result, unless one has been told already."""
        end, self._end = self._end, None
        if end is not None:
            end(self, result)

    def lose(self, reason: Reason) -> None:
        """Finish without a whole answer.

        Once a byte may have left nothing is known, even when the server closed an
        idle connection in that same moment.
        """
        if self.n_sent == 0 and reason is not Reason.CANCELLED:
            self.finish(NotRun(step=Step.SEND, peer=self.peer, reason=reason))
        else:
            self.finish(Unknown(step=Step.RECEIVE, peer=self.peer, reason=reason))

    def cancel(self) -> None:
        """Give up what nobody waits for; the server sees its connection close."""
        if self._end is None:
            return
        if self.opening is not None:
            self.opening.cancel()
        if self.link is not None:
            self.link.drop(Reason.CANCELLED)


class LinkOwner(Protocol):
    """Who opened a connection, and decides what becomes of it."""

    def take_back(self, link: "Link", exchange: Exchange) -> bool:
        """Take a whole answer; tell whether the connection may carry another one."""

    def note_silence(self, exchange: Exchange) -> None:
        """Act on a connection on which nothing came for too long."""

    def note_closed(self, link: "Link") -> None:
        """Act on a connection that is closed now."""


class Link:
    """An open connection with one task of its own, which reads until it closes.

    An answer takes this task one step. With a task for each request, its scopes and its
    checkpoints, an owner took 3.5 steps of the loop and 1.1 waits for input a call, and
    takes 1.5 and 0.75 (`python -m lab.callcost`). As the task also reads while nothing
    is asked, a server's close is seen when it comes, and not by the next request.
    """

    __slots__ = (
        "raw",
        "answered_at",
        "idle_limit",
        "is_closing",
        "_exchange",
        "_owner",
        "_patience",
        "_is_open",
        "_reason",
    )

    def __init__(
        self, *, raw: socket.socket, idle_limit: float, owner: LinkOwner
    ) -> None:
        self.raw = raw
        self.answered_at = trio.current_time()
        self.idle_limit = idle_limit
        # Whether the server has closed its side.
        self.is_closing = False
        self._exchange: Exchange | None = None
        self._owner = owner
        self._patience = trio.CancelScope()
        self._is_open = True
        self._reason = Reason.LOST_CONNECTION

    def send(self, exchange: Exchange, data: bytes, *, silent_at: float) -> bytes:
        """Begin an exchange; return what of `data` the kernel did not take.

        A send that fails has taken nothing, so that the request is known not to have
        left; the exchange then ends when this connection's task has seen that. If
        nothing has come at `silent_at`, the connection is taken for silent.
        """
        exchange.link = self
        self._exchange = exchange
        try:
            exchange.n_sent = self.raw.send(data)
        except BlockingIOError:
            pass
        except OSError:
            self.drop(Reason.LOST_CONNECTION)
            return b""
        if silent_at < inf:
            self._patience.deadline = silent_at
        return data[exchange.n_sent :]

    async def send_rest(self, exchange: Exchange, rest: bytes) -> None:
        """Send what was left of a long request, as the server takes it."""
        while rest and self._is_open and self._exchange is exchange:
            try:
                await trio.lowlevel.wait_writable(self.raw)
                n_sent = self.raw.send(rest)
            except BlockingIOError:
                continue
            except (OSError, trio.ClosedResourceError):
                self.drop(Reason.LOST_CONNECTION)
                return
            exchange.n_sent += n_sent
            rest = rest[n_sent:]

    def drop(self, reason: Reason) -> None:
        """Close at once; the exchange under way ends with `reason`, soon after."""
        if self._is_open:
            self._is_open = False
            self._reason = reason
            trio.lowlevel.notify_closing(self.raw)
            self.raw.close()
            self._owner.note_closed(self)

    async def read(self) -> None:
        """Read until the connection closes, and finish each exchange on it."""
        reason = Reason.LOST_CONNECTION
        try:
            with self._patience:
                while self._is_open:
                    await trio.lowlevel.wait_readable(self.raw)
                    if not self._take_input():
                        break
            if self._patience.cancelled_caught and self._exchange is not None:
                reason = Reason.SILENT_CONNECTION
                self._owner.note_silence(self._exchange)
        except trio.ClosedResourceError:
            pass  # Dropped, and the reason was noted then.
        except WrongAnswerError:
            reason = Reason.WRONG_ANSWER
        except BaseException:
            # This process stops: what was under way is not acted upon any more.
            self.drop(reason)
            raise
        self.drop(reason)
        exchange, self._exchange = self._exchange, None
        if exchange is not None:
            exchange.lose(self._reason)

    def _take_input(self) -> bool:
        """Take what has come; tell whether the connection is still of use."""
        try:
            data = self.raw.recv(READ_SIZE)
        except BlockingIOError:
            return True
        except OSError:
            return False
        exchange = self._exchange
        if exchange is None:
            # Bytes that belong to no request, or the server's close.
            return False
        reader = exchange.reader
        if data:
            reader.feed(data)
        else:
            self.is_closing = True
            if not reader.has_begun:
                return False
            reader.end()
        if not reader.is_whole:
            return True
        self._exchange = None
        if self._patience.deadline < inf:
            self._patience.deadline = inf
        is_of_use = self._owner.take_back(self, exchange)
        exchange.finish(reader.make_reply())
        return is_of_use


def has_input(link: Link) -> bool:
    """Tell whether bytes, or the server's close, wait on an idle connection."""
    try:
        link.raw.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return False
    except OSError:
        return True
    return True
