"""Asks other processes about tickets, over channels that are known to carry bytes."""

from enum import StrEnum

import trio

from ..protocol.messages import BadFrameError, Message, TicketAsk, TicketReply
from ..protocol.tickets import PING, Reply, decode_reply
from ..state.ticket import Peer
from ..transport.channel import Channel, Loss
from ..transport.dialer import Dialer
from .fleet import Fleet

# A channel that carried a byte this recently, in seconds, is trusted as it is. What
# is sent once only and lost on a channel becomes "unknown", and a question before it
# costs one round trip, ten times a second at most.
TRUSTED_IDLE = 0.1
# Longer than a channel's own limit of silence, which runs only while a reply is due.
PROOF_LIMIT = 1.5
# One over the channel that is open, one over its replacement.
MAX_TRIES = 2


class Unreached(StrEnum):
    """Why there is no reply of the process that was asked."""

    LOST = "no answer"
    REPLACED = "a later process of that host answers"


class TicketClient:
    """Reaches other processes, one life of a host at a time, within limits of time.

    Limits are in seconds. What is asked may reach the other process more than once,
    also when the answer is `Unreached`: all orders and questions about tickets may
    be repeated. What may not is sent by `runs`, over a channel of `reach_proved`.
    """

    def __init__(
        self, *, own: Peer, fleet: Fleet, dialer: Dialer, nursery: trio.Nursery
    ) -> None:
        self._own = own
        self._fleet = fleet
        self._dialer = dialer
        self._nursery = nursery
        self._dials: dict[str, trio.Event] = {}
        self._proofs: set[Channel] = set()

    async def reach(self, host: str, *, limit: float) -> Channel | None:
        """Return an open channel to `host`, or None when there is none in time.

        All who want the same host wait for one dial, which goes on when they give
        up: cut short, it would leave a half-made connection behind, and dialled one
        after the other, a silent host would cost each of them the time of all.
        """
        channel = self._dialer.get_open(host)
        if channel is not None:
            return channel
        dial = self._dials.get(host)
        if dial is None:
            dial = self._dials[host] = trio.Event()
            self._nursery.start_soon(self._dial, host, dial)
        with trio.move_on_after(max(0.0, limit)):
            await dial.wait()
        return self._dialer.get_open(host)

    async def _dial(self, host: str, ended: trio.Event) -> None:
        try:
            address = self._fleet.get_address(host)
            if address is not None:
                await self._dialer.dial(host, address)
        finally:
            del self._dials[host]
            ended.set()

    async def reach_proved(self, host: str, *, limit: float) -> Channel | None:
        """Return a channel that has just carried bytes both ways.

        Something between the ends may have lost track of an idle connection. What
        is sent once only would be lost on it, and become "unknown" although nothing
        ran; so the question goes first, and the request follows the answer.
        """
        give_up_at = trio.current_time() + limit
        channel = await self.reach(host, limit=limit)
        if channel is None:
            return None
        if channel.has_received_since(trio.current_time() - TRUSTED_IDLE):
            return channel
        left = give_up_at - trio.current_time()
        reply = await self._exchange(channel, TicketAsk(verb=PING, ticket=""), left)
        if isinstance(reply, Loss) or not channel.is_open:
            return None
        return channel

    async def ask(
        self, peer: Peer, ask: TicketAsk, *, limit: float
    ) -> Reply | Unreached:
        """Ask one life of a host; another life of it cannot answer for it."""
        if peer.host == self._own.host:
            return Unreached.REPLACED
        give_up_at = trio.current_time() + limit
        for _ in range(MAX_TRIES):
            left = give_up_at - trio.current_time()
            channel = await self.reach(peer.host, limit=left)
            if channel is None or channel.peer is None:
                return Unreached.LOST
            if channel.peer.incarnation != peer.incarnation:
                is_later = channel.peer.incarnation > peer.incarnation
                return Unreached.REPLACED if is_later else Unreached.LOST
            left = give_up_at - trio.current_time()
            reply = await self._exchange(channel, ask, left)
            if isinstance(reply, TicketReply):
                return _decode(reply)
        return Unreached.LOST

    async def _exchange(
        self, channel: Channel, ask: TicketAsk, limit: float
    ) -> Message | Loss:
        if limit <= 0 or not channel.is_open:
            return Loss.SILENT
        reply = await channel.ask(ask, limit=limit)
        if reply is Loss.SILENT and channel.is_open and channel not in self._proofs:
            # The channel judges its silence only while a reply is due. Questions
            # that give up sooner would meet the same silent channel for ever; a
            # longer one makes it judge, and the next question dials anew.
            self._proofs.add(channel)
            self._nursery.start_soon(self._prove, channel)
        return reply

    async def _prove(self, channel: Channel) -> None:
        try:
            await channel.ask(TicketAsk(verb=PING, ticket=""), limit=PROOF_LIMIT)
        finally:
            self._proofs.discard(channel)


def _decode(reply: TicketReply) -> Reply | Unreached:
    try:
        return decode_reply(reply)
    except BadFrameError:
        return Unreached.LOST
