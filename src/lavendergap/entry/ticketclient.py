"""Sends ticket messages to other hosts' processes, over verified channels."""

from enum import StrEnum

import trio

from ..protocol.messages import BadFrameError, Message, TicketReply, TicketRequest
from ..protocol.tickets import PING, Reply, decode_reply
from ..state.ticket import Peer
from ..transport.channel import Channel, LossReason
from ..transport.dialer import Dialer
from .fleet import Fleet

# A channel that received a byte this recently needs no ping before a request that may
# be sent only once. A ping costs one round trip; a request lost on a dead channel would
# end as "unknown".
TRUSTED_IDLE_S = 0.1
# Longer than a channel's own silence limit, which only runs while a reply is due.
VERIFY_LIMIT_S = 1.5
# Once over the open channel, once over its replacement.
MAX_TRIES = 2


class NoReply(StrEnum):
    """Why there is no reply from the process addressed."""

    LOST = "no answer"
    REPLACED = "a later process of that host answers"


class TicketClient:
    """Sends ticket messages to one incarnation of another host, within time limits.

    Limits are in seconds. A message of `ask` may arrive more than once, also if the
    result is `NoReply`, so it must be safe to repeat. `RunSender` sends requests that
    are not, over a channel from `open_verified`.
    """

    def __init__(
        self, *, own: Peer, fleet: Fleet, dialer: Dialer, nursery: trio.Nursery
    ) -> None:
        self._own = own
        self._fleet = fleet
        self._dialer = dialer
        self._nursery = nursery
        self._dials: dict[str, trio.Event] = {}
        self._verifying: set[Channel] = set()

    async def open_channel(self, host: str, *, limit: float) -> Channel | None:
        """Return an open channel to `host`, or None if there is none in time.

        All calls for the same host wait for one dial, so that a silent host delays
        each of them only once. The dial goes on after they have given up: cancelled,
        it would leave a half-open connection behind.
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

    async def open_verified(self, host: str, *, limit: float) -> Channel | None:
        """Return a channel that has just carried bytes both ways, or None.

        A firewall may have dropped the state of an idle connection. A request that
        may be sent only once would be lost on it and end as "unknown", so a ping is
        answered first.
        """
        give_up_at = trio.current_time() + limit
        channel = await self.open_channel(host, limit=limit)
        if channel is None:
            return None
        if channel.has_received_since(trio.current_time() - TRUSTED_IDLE_S):
            return channel
        left = give_up_at - trio.current_time()
        reply = await self._exchange(channel, TicketRequest(verb=PING, ticket=""), left)
        if isinstance(reply, LossReason) or not channel.is_open:
            return None
        return channel

    async def ask(
        self, peer: Peer, ask: TicketRequest, *, limit: float
    ) -> Reply | NoReply:
        """Send a message to one incarnation of a host and return its reply."""
        if peer.host == self._own.host:
            return NoReply.REPLACED
        give_up_at = trio.current_time() + limit
        for _ in range(MAX_TRIES):
            left = give_up_at - trio.current_time()
            channel = await self.open_channel(peer.host, limit=left)
            if channel is None or channel.peer is None:
                return NoReply.LOST
            if channel.peer.incarnation != peer.incarnation:
                is_later = channel.peer.incarnation > peer.incarnation
                return NoReply.REPLACED if is_later else NoReply.LOST
            left = give_up_at - trio.current_time()
            reply = await self._exchange(channel, ask, left)
            if isinstance(reply, TicketReply):
                return _decode(reply)
        return NoReply.LOST

    async def _exchange(
        self, channel: Channel, ask: TicketRequest, limit: float
    ) -> Message | LossReason:
        if limit <= 0 or not channel.is_open:
            return LossReason.SILENT
        reply = await channel.ask(ask, limit=limit)
        if (
            reply is LossReason.SILENT
            and channel.is_open
            and channel not in self._verifying
        ):
            # A channel checks for silence only while a reply is due. Messages with
            # shorter limits would keep using a dead channel; a ping with a longer
            # limit has it closed, and the next message opens a new one.
            self._verifying.add(channel)
            self._nursery.start_soon(self._verify, channel)
        return reply

    async def _verify(self, channel: Channel) -> None:
        try:
            await channel.ask(TicketRequest(verb=PING, ticket=""), limit=VERIFY_LIMIT_S)
        finally:
            self._verifying.discard(channel)


def _decode(reply: TicketReply) -> Reply | NoReply:
    try:
        return decode_reply(reply)
    except BadFrameError:
        return NoReply.LOST
