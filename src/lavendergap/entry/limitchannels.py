"""The messages about customers' limits on the channels to other hosts."""

from collections.abc import Awaitable, Callable
from enum import StrEnum

import trio

from .. import metrics
from ..coordination.limits.counts import Handover
from ..protocol.messages import (
    CountHandover,
    Frame,
    HandoverRequest,
    Message,
    PermitGrant,
    PermitRequest,
    PermitReturn,
)
from ..state.settings import Address
from ..transport.channel import Channel, LossReason, ReplyHandlers
from ..transport.dialer import Dialer, connect_tcp
from .fleet import Fleet

HANDOVER_TIMEOUT_S = 0.25
PORT_CHECK_TIMEOUT_S = 0.5
LOCAL_DELAY_S = 0.005
"""A wait that ends later than this after its time shows that this process was busy."""
LATE_S = 2.0
"""How long after its time a grant is still returned; by then it has expired."""


class PortState(StrEnum):
    """What a host's port for peers answers to a connection."""

    OPEN = "open"
    REFUSED = "refused"
    SILENT = "silent"


async def wait_at_most(event: trio.Event, *, until: float) -> None:
    """Wait for an event until a time, and longer if this process was late itself.

    A reply may then lie unread in a socket, and the requests of a busy host would be
    refused although their permits have arrived.
    """
    with trio.move_on_at(until):
        await event.wait()
    if not event.is_set() and trio.current_time() > until + LOCAL_DELAY_S:
        with trio.move_on_after(LOCAL_DELAY_S):
            await event.wait()


class _Ask:
    """One PermitRequest and its reply, `None` if it was lost."""

    def __init__(self, *, channel: Channel, customer: str) -> None:
        self.reply: PermitGrant | None = None
        self.done = trio.Event()
        self.is_late = False
        self._channel = channel
        self._customer = customer

    def note_reply(self, message: Message) -> None:
        if not isinstance(message, PermitGrant):
            self.done.set()
        elif not self.is_late:
            self.reply = message
            self.done.set()
        elif message.n:
            returned = PermitReturn(customer=self._customer, n=message.n)
            self._channel.send(Frame(id=0, message=returned))

    def note_loss(self, loss: LossReason) -> None:
        self.done.set()


class LimitChannels:
    """Asks other hosts for permits and handovers; None stands for no reply in time."""

    def __init__(
        self,
        *,
        fleet: Fleet,
        dialer: Dialer,
        nursery: trio.Nursery,
        connect: Callable[[Address], Awaitable[trio.abc.Stream]] = connect_tcp,
    ) -> None:
        self._fleet = fleet
        self._dialer = dialer
        self._nursery = nursery
        self._connect = connect
        self._late: list[tuple[float, Channel, int]] = []

    async def ask_permits(
        self, host: str, customer: str, n: int, *, limit: float
    ) -> PermitGrant | None:
        """Ask for permits; a grant that arrives after `limit` seconds is returned."""
        started = trio.current_time()
        channel: Channel | None = None
        with trio.move_on_at(started + limit):
            channel = await self._dial(host)
        if channel is None:
            return None
        ask = _Ask(channel=channel, customer=customer)
        handlers = ReplyHandlers(on_reply=ask.note_reply, on_loss=ask.note_loss)
        request = PermitRequest(customer=customer, n=n)
        request_id = channel.request(request, handlers)
        try:
            await wait_at_most(ask.done, until=started + limit)
        finally:
            if ask.done.is_set():
                channel.forget(request_id)
            else:
                ask.is_late = True
                forget_at = trio.current_time() + LATE_S
                self._late.append((forget_at, channel, request_id))
        if ask.reply is None:
            return None
        metrics.permit_seconds.observe(trio.current_time() - started)
        return ask.reply

    async def ask_handover(self, host: str, customer: str) -> CountHandover | None:
        """Ask a host to stop counting for a customer."""
        channel: Channel | None = None
        with trio.move_on_after(HANDOVER_TIMEOUT_S):
            channel = await self._dial(host)
        if channel is None:
            return None
        reply = await channel.ask(
            HandoverRequest(customer=customer), limit=HANDOVER_TIMEOUT_S
        )
        return reply if isinstance(reply, CountHandover) else None

    def send(self, host: str, message: Message) -> None:
        """Send a message that has no reply."""
        channel = self._dialer.get_open(host)
        if channel is not None:
            channel.send(Frame(id=0, message=message))
        else:
            self._nursery.start_soon(self._dial_and_send, host, message)

    async def _dial_and_send(self, host: str, message: Message) -> None:
        channel = await self._dial(host)
        if channel is not None:
            channel.send(Frame(id=0, message=message))

    async def _dial(self, host: str) -> Channel | None:
        address = self._fleet.get_address(host)
        if address is None:
            return None
        channel = await self._dialer.dial(host, address)
        if isinstance(channel, LossReason):
            self._fleet.avoid(host, now=trio.current_time())
            return None
        return channel

    async def has_host_ended(self, host: str) -> bool:
        """Return whether the port of a host refuses connections."""
        address = self._fleet.get_address(host)
        if address is None:
            return False
        return await self.check_port(address) is PortState.REFUSED

    async def check_port(self, address: Address) -> PortState:
        """Return what a port answers; it is refused if the process has ended.

        No other error shows this: a host beyond a partition may be unreachable.
        """
        try:
            with trio.move_on_after(PORT_CHECK_TIMEOUT_S):
                stream = await self._connect(address)
                await trio.aclose_forcefully(stream)
                return PortState.OPEN
        except OSError as error:
            if _is_refused(error):
                return PortState.REFUSED
        return PortState.SILENT

    def forget_late(self, *, now: float) -> None:
        """Stop waiting for grants that are too late to be returned."""
        late, self._late = self._late, []
        for forget_at, channel, request_id in late:
            if forget_at > now:
                self._late.append((forget_at, channel, request_id))
            else:
                channel.forget(request_id)


def _is_refused(error: BaseException | None) -> bool:
    """Return whether an attempt to connect was refused.

    Trio reports the errors of all attempts as a group, which is the cause of another
    OSError, also if the port has one address only.
    """
    match error:
        case ConnectionRefusedError():
            return True
        case BaseExceptionGroup(exceptions=errors):
            return all(map(_is_refused, errors))
        case _:
            return error is not None and _is_refused(error.__cause__)


def read_handover(message: CountHandover) -> Handover:
    """Return what a handover states, with the ages in seconds."""
    return Handover(
        tokens=message.tokens,
        was_counting=message.was_counting,
        rank=message.rank,
        is_sure=message.is_sure,
        gone=tuple((host, age_ms / 1_000) for host, age_ms in message.gone),
        n_hosts=message.n_hosts,
    )
