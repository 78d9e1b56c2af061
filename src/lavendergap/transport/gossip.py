"""Exchanges a host's membership messages over UDP."""

import logging
from collections.abc import Callable, Iterable

import trio
from prometheus_client import CollectorRegistry, Counter, Gauge

from ..coordination.membership import Membership
from ..logs import log_decision
from ..protocol.gossip import (
    MAX_DATAGRAM_BYTES,
    GossipCodec,
    Refused,
    RefusedReason,
)
from ..state.gossip import Event, MemberChanged, Message, Send
from ..state.settings import Address

logger = logging.getLogger("lavendergap.membership")

# Minimum interval between log lines about datagrams of other deployments, which come
# several a second from a host with a wrong setting.
REFUSAL_LOG_INTERVAL_S = 60.0

Clock = Callable[[], float]


class GossipMetrics:
    """Metrics of the membership's datagrams and of member changes."""

    def __init__(self, *, registry: CollectorRegistry) -> None:
        self.datagrams = Counter(
            "lavendergap_gossip_datagrams",
            "Membership datagrams by direction and kind of message.",
            ["direction", "kind"],
            registry=registry,
        )
        self.bytes = Counter(
            "lavendergap_gossip_bytes",
            "Bytes of membership datagrams, without UDP and IP headers.",
            ["direction"],
            registry=registry,
        )
        self.refused = Counter(
            "lavendergap_gossip_refused",
            "Datagrams that were not understood or could not be sent, by reason.",
            ["direction", "reason"],
            registry=registry,
        )
        self.changes = Counter(
            "lavendergap_member_changes",
            "Changes of what this host believes of a member, by new state.",
            ["state"],
            registry=registry,
        )
        self.live = Gauge(
            "lavendergap_members_live",
            "Hosts to which this host believes that new work may go.",
            registry=registry,
        )


class GossipEndpoint:
    """A UDP socket with the codec of one deployment; drops invalid datagrams."""

    def __init__(
        self,
        *,
        socket: trio.socket.SocketType,
        codec: GossipCodec,
        metrics: GossipMetrics,
    ) -> None:
        self.metrics = metrics
        self._socket = socket
        self._codec = codec
        self._woken = trio.Event()
        self._refusal_logged_at = -REFUSAL_LOG_INTERVAL_S

    @property
    def address(self) -> Address:
        """The address that the socket is bound to."""
        ip, port = self._socket.getsockname()[:2]
        return Address(ip=ip, port=port)

    def close(self) -> None:
        """Close the socket."""
        self._socket.close()

    async def send(self, sends: Iterable[Send]) -> None:
        """Send messages; one that can't be sent is counted and dropped."""
        for send in sends:
            encoded = self._codec.encode(send.message)
            if isinstance(encoded, Refused):
                self.metrics.refused.labels("sent", encoded.reason.value).inc()
                continue
            try:
                await self._socket.sendto(encoded, (send.to.ip, send.to.port))
            except OSError as error:
                # A missing network route is a failure that probes detect, so the
                # loop must continue.
                reason = type(error).__name__
                self.metrics.refused.labels("sent", reason).inc()
                continue
            self._count("sent", send.message, encoded)

    async def receive(self) -> tuple[Message, Address]:
        """Wait for the next valid message and return it with its sender."""
        while True:
            try:
                data, sender = await self._socket.recvfrom(MAX_DATAGRAM_BYTES + 1)
            except OSError as error:
                # An ICMP error for an earlier send may be raised here.
                reason = type(error).__name__
                self.metrics.refused.labels("received", reason).inc()
                await trio.lowlevel.checkpoint()
                continue
            message = self._codec.decode(data)
            if isinstance(message, Refused):
                self.metrics.refused.labels("received", message.reason.value).inc()
                if message.reason is RefusedReason.OTHER_DEPLOYMENT:
                    self._log_other_deployment(sender[0])
                continue
            self._count("received", message, data)
            return message, Address(ip=sender[0], port=sender[1])

    def _log_other_deployment(self, sender: str) -> None:
        now = trio.current_time()
        if now >= self._refusal_logged_at + REFUSAL_LOG_INTERVAL_S:
            self._refusal_logged_at = now
            log_decision(
                logger, "host of another deployment", request_id=None, sender=sender
            )

    def wake(self) -> None:
        """Make the timer loop check its next deadline again."""
        self._woken.set()

    def rearm(self) -> None:
        """Ignore earlier calls of `wake`.

        The timer loop calls this before it determines which timers are due. If its
        own sends woke it, it would run without a pause and use a whole core.
        """
        self._woken = trio.Event()

    async def wait_until(self, deadline: float, clock: Clock) -> None:
        """Wait until `clock` reaches `deadline` or `wake` is called."""
        with trio.move_on_after(max(0.0, deadline - clock())):
            await self._woken.wait()

    def _count(self, direction: str, message: Message, data: bytes) -> None:
        self.metrics.datagrams.labels(direction, type(message).__name__).inc()
        self.metrics.bytes.labels(direction).inc(len(data))


async def open_gossip(
    address: Address, *, deployment: str, metrics: GossipMetrics
) -> GossipEndpoint:
    """Bind a UDP socket to a host's `peers` address."""
    family = trio.socket.AF_INET6 if ":" in address.ip else trio.socket.AF_INET
    socket = trio.socket.socket(family, trio.socket.SOCK_DGRAM)
    try:
        await socket.bind((address.ip, address.port))
    except OSError:
        socket.close()
        raise
    codec = GossipCodec(deployment=deployment)
    return GossipEndpoint(socket=socket, codec=codec, metrics=metrics)


async def run_gossip(
    membership: Membership,
    endpoint: GossipEndpoint,
    *,
    on_change: Callable[[Event], None],
    clock: Clock = trio.current_time,
) -> None:
    """Run `membership` over `endpoint` until cancelled.

    `on_change` is called with each event in order, from this function's tasks, and
    must not block. Other tasks that leave or announce have to pass the messages that
    the membership returns to `endpoint.send`.
    """
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_run_receiver, membership, endpoint, on_change, clock)
        nursery.start_soon(_run_timer, membership, endpoint, on_change, clock)


async def _run_receiver(
    membership: Membership,
    endpoint: GossipEndpoint,
    on_change: Callable[[Event], None],
    clock: Clock,
) -> None:
    while True:
        message, sender = await endpoint.receive()
        try:
            sends = membership.receive(message, sender=sender, now=clock())
        except Exception:
            # A datagram must not end the process and the requests of others.
            endpoint.metrics.refused.labels("received", "error").inc()
            logger.exception("cannot handle a datagram of %s", sender)
            continue
        _report(membership, endpoint.metrics, on_change)
        await endpoint.send(sends)
        endpoint.wake()


async def _run_timer(
    membership: Membership,
    endpoint: GossipEndpoint,
    on_change: Callable[[Event], None],
    clock: Clock,
) -> None:
    while True:
        endpoint.rearm()
        sends = membership.advance(now=clock())
        _report(membership, endpoint.metrics, on_change)
        await endpoint.send(sends)
        await endpoint.wait_until(membership.next_wake(), clock)


def _report(
    membership: Membership,
    metrics: GossipMetrics,
    on_change: Callable[[Event], None],
) -> None:
    for event in membership.take_events():
        if isinstance(event, MemberChanged):
            _log_change(event)
            metrics.changes.labels(event.member.state.value).inc()
            metrics.live.set(len(membership.live()))
        on_change(event)


def _log_change(event: MemberChanged) -> None:
    member = event.member
    logger.info(
        "member %s is %s (was %s), reported by %s",
        member.name,
        member.state.value,
        event.previous.state.value if event.previous else "unknown",
        event.reported_by,
        extra={
            "member": member.name,
            "state": member.state.value,
            "incarnation": member.incarnation,
            "refutations": member.refutations,
            "reported_by": event.reported_by,
        },
    )
