"""Opens one channel to each peer when it is first needed."""

import logging
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import trio

from ..protocol.messages import Frame, Hello
from ..state.settings import Address
from .channel import Channel, LossReason

logger = logging.getLogger("lavendergap.connections")

CONNECT_TIMEOUT_S = 0.5


async def connect_tcp(address: Address) -> trio.abc.Stream:
    """Open a TCP connection; raises OSError when it is refused."""
    return await trio.open_tcp_stream(address.ip, address.port)


@dataclass(kw_only=True, slots=True)
class Dial:
    """A dial in progress; `result` is valid once `done` is set."""

    done: trio.Event = field(default_factory=trio.Event)
    result: Channel | LossReason = LossReason.STOPPED


class Dialer:
    """Keeps at most one channel to each peer, opened when first needed."""

    def __init__(
        self,
        *,
        own: Hello,
        nursery: trio.Nursery,
        connect: Callable[[Address], Awaitable[trio.abc.Stream]] = connect_tcp,
    ) -> None:
        self._own = own
        self._nursery = nursery
        self._connect = connect
        self._channels: dict[str, Channel] = {}
        self._dials: dict[str, Dial] = {}

    def get_open(self, host: str) -> Channel | None:
        """Return the channel to `host` if it is open."""
        channel = self._channels.get(host)
        if channel is None or not channel.is_open:
            return None
        return channel

    async def dial(self, host: str, address: Address) -> Channel | LossReason:
        """Return a channel to `host`, opening one if there is none.

        Concurrent calls share one dial, which continues when one of them is
        cancelled. If each call dialled in turn, the last would wait for many
        timeouts of a silent host.
        """
        channel = self.get_open(host)
        if channel is not None:
            return channel
        dial = self._dials.get(host)
        if dial is None:
            dial = self._dials[host] = Dial()
            self._nursery.start_soon(self._run_dial, host, address, dial)
        await dial.done.wait()
        return dial.result

    async def _run_dial(self, host: str, address: Address, dial: "Dial") -> None:
        try:
            dial.result = await self._open(host, address)
        finally:
            del self._dials[host]
            dial.done.set()

    async def _open(self, host: str, address: Address) -> Channel | LossReason:
        try:
            with trio.fail_after(CONNECT_TIMEOUT_S):
                stream = await self._connect(address)
        except trio.TooSlowError:
            return LossReason.SILENT
        except OSError:
            return LossReason.REFUSED
        channel = Channel(stream=stream, own=self._own, on_loss=self._drop)
        channel.send(Frame(id=0, message=self._own))
        self._nursery.start_soon(channel.run)
        with trio.move_on_after(CONNECT_TIMEOUT_S):
            await channel.hello_received.wait()
        return self._check_peer(host, channel)

    def _check_peer(self, host: str, channel: Channel) -> Channel | LossReason:
        # The address may belong to another host by now. A request for one host must
        # not be served by another, so the name has to match.
        if channel.peer is None or channel.peer.host != host:
            channel.close(LossReason.REFUSED)
            return LossReason.REFUSED if channel.peer else LossReason.SILENT
        self._channels[host] = channel
        return channel

    def _drop(self, channel: Channel, loss: LossReason) -> None:
        for host, held in list(self._channels.items()):
            if held is channel:
                del self._channels[host]
                logger.info("channel to %s ended: %s", host, loss.value)
