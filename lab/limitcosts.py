"""Measures what customers' limits cost: processor time, bytes and state.

Run it with `python -m lab.limitcosts`. Two hosts run in one process and exchange
permits over loopback, so the processor time of a request is that of both.
"""

import resource
import time
import tracemalloc
from collections.abc import Callable
from random import Random

import trio

from lavendergap.coordination.limits.counting import Counting
from lavendergap.coordination.limits.hosts import HostView
from lavendergap.coordination.limits.permits import Permits
from lavendergap.coordination.membership import Membership
from lavendergap.entry.counting import CountingService
from lavendergap.entry.fleet import Fleet
from lavendergap.entry.limitchannels import LimitChannels
from lavendergap.protocol.messages import (
    Frame,
    Hello,
    Message,
    PermitGrant,
    PermitRequest,
    PermitReturn,
)
from lavendergap.protocol.peer import encode_frame
from lavendergap.state.customers import Customer, CustomerTable, LimitBounds
from lavendergap.state.member import Member
from lavendergap.state.settings import Address, Control, Settings
from lavendergap.transport.acceptor import Acceptor
from lavendergap.transport.dialer import Dialer

BOUNDS = LimitBounds(window_s=5.0, overage=0.1, slack=20.0)
CUSTOMER = Customer(name="customer-0001", rate_per_s=1e6, burst=1e6)
N_HOSTS = (72, 195, 550)
N_CUSTOMERS = (78, 5_000)
N_ASKS = 2_000
N_DIALS = 200
IDLE_S = 4.0
N_DECISIONS = 2_000


def measure_decision(n_hosts: int, n_silent: int = 0, *, is_new: bool = False) -> float:
    """Return microseconds for one decision; `is_new`: after a change of members."""
    view = HostView(own="h0", window_s=5.0, now=0.0)
    members = {f"h{n}": 1 for n in range(n_hosts)}
    view.update(members, (), now=0.0)
    view.is_blind = False
    view.update(dict(list(members.items())[: n_hosts - n_silent]), (), now=20.0)
    counting = Counting(view=view, bounds=BOUNDS, random=Random(1))
    now = 40.0
    started = time.process_time()
    for _ in range(N_DECISIONS if not is_new else N_DECISIONS // 10):
        now += 0.001
        if is_new:
            view.note_live("h1", 1, now=now)
        counting.decide(CUSTOMER, 1, now=now)
        view.rank(CUSTOMER.name)
    n = N_DECISIONS if not is_new else N_DECISIONS // 10
    return (time.process_time() - started) / n * 1e6


def measure_state(build: Callable[[int], object]) -> float:
    """Return the bytes of one of the objects that `build` makes."""
    tracemalloc.start()
    kept = [build(n) for n in range(1_000)]
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return size / len(kept)


def measure_counts() -> float:
    """Return the bytes of one customer at its counting host, with a minute's use."""
    view = HostView(own="h0", window_s=5.0, now=0.0)
    view.is_blind = False
    counting = Counting(view=view, bounds=BOUNDS, random=Random(1))
    customers = [
        Customer(name=f"c{n}", rate_per_s=10.0, burst=10.0) for n in range(500)
    ]
    tracemalloc.start()
    for step in range(60):
        for customer in customers:
            counting.decide(customer, 1, now=20.0 + step)
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return size / len(customers)


def measure_prune(n_customers: int) -> float:
    """Return microseconds of a search for idle customers at a host that counts."""
    view = HostView(own="h0", window_s=5.0, now=0.0)
    counting = Counting(view=view, bounds=BOUNDS, random=Random(1))
    for n in range(n_customers):
        customer = Customer(name=f"c{n}", rate_per_s=10.0, burst=10.0)
        counting.decide(customer, 1, now=20.0)
    started = time.process_time()
    for _ in range(100):
        counting.prune(now=21.0)
    return (time.process_time() - started) / 100 * 1e6


class Hosts:
    """A host that asks and one that counts, joined by channels over loopback."""

    def __init__(self, nursery: trio.Nursery, port: int) -> None:
        self._nursery = nursery
        address = Address(ip="127.0.0.1", port=port)
        own = Member(name="b", data_centre="a", incarnation=1, peers=address)
        settings = Settings(
            deployment="d", version=0, platform=address, hosts=(), services=()
        )
        table = CustomerTable(customers={CUSTOMER.name: CUSTOMER}, names_by_digest={})
        self.fleet = Fleet(own_name="a", settings=settings)
        self.fleet.replace_live({"b": address})
        membership = Membership(own=own, control=Control(), random=Random(1))
        membership.joined = True
        self.counting = CountingService(
            own_name="b",
            membership=membership,
            channels=self.make_channels(),
            nursery=nursery,
            random=Random(1),
            get_customers=lambda: table,
            bounds=BOUNDS,
        )
        hello = Hello(deployment="d", host="b", incarnation=1)
        self.acceptor = Acceptor(
            own=hello, on_frame=self.counting.handle, on_loss=lambda channel: None
        )

    def make_channels(self) -> LimitChannels:
        """Return channels of the asking host, none of them open."""
        hello = Hello(deployment="d", host="a", incarnation=1)
        dialer = Dialer(own=hello, nursery=self._nursery)
        return LimitChannels(fleet=self.fleet, dialer=dialer, nursery=self._nursery)


async def measure_asks() -> tuple[float, float, float, float]:
    """Return microseconds of an ask, a dial and an idle channel, and its KiB."""
    async with trio.open_nursery() as nursery:
        [listener] = await trio.open_tcp_listeners(0, host="127.0.0.1")
        hosts = Hosts(nursery, listener.socket.getsockname()[1])
        nursery.start_soon(hosts.acceptor.serve, listener)
        channels = hosts.make_channels()
        await channels.ask_permits("b", CUSTOMER.name, 1, limit=1.0)
        ask = await _time(channels, N_ASKS)
        others = [hosts.make_channels() for _ in range(N_DIALS)]
        rss = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
        started = time.process_time()
        for each in others:
            await each.ask_permits("b", CUSTOMER.name, 1, limit=1.0)
        dial = (time.process_time() - started) / N_DIALS * 1e6
        await trio.sleep(1.0)
        rss = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss - rss
        started = time.process_time()
        await trio.sleep(IDLE_S)
        idle = (time.process_time() - started) / IDLE_S / (2 * N_DIALS) * 1e6
        nursery.cancel_scope.cancel()
    return ask, dial, idle, rss / (2 * N_DIALS)


async def _time(channels: LimitChannels, n: int) -> float:
    started = time.process_time()
    for _ in range(n):
        grant = await channels.ask_permits("b", CUSTOMER.name, 1, limit=1.0)
        assert grant is not None
    return (time.process_time() - started) / n * 1e6


def main() -> None:
    """Print the figures."""
    ask, dial, idle, size = trio.run(measure_asks)
    print(f"ask and reply, both hosts: {ask:.0f} us; with a dial: {dial:.0f} us")
    print(f"open channel without traffic, one end: {idle:.1f} us/s, {size:.0f} KiB")
    for n_hosts in N_HOSTS:
        calm, lost = measure_decision(n_hosts), measure_decision(n_hosts, n_hosts // 3)
        new = measure_decision(n_hosts, is_new=True)
        print(
            f"decision at {n_hosts} hosts: {calm:.0f} us, {lost:.0f} us with a third "
            f"lost silently, {new:.0f} us after each change of members"
        )
    for n in N_CUSTOMERS:
        print(f"search for idle ones of {n} customers: {measure_prune(n):.0f} us")
    messages: list[Message] = [
        PermitRequest(customer=CUSTOMER.name, n=1),
        PermitGrant(
            n=1, valid_ms=200, next_ms=0, retry_ms=0, is_counting=True, n_used=50
        ),
        PermitReturn(customer=CUSTOMER.name, n=1),
    ]
    for message in messages:
        size = len(encode_frame(Frame(id=1_000, message=message)))
        print(f"{type(message).__name__}: {size} bytes")
    print(f"state of a customer: counting {measure_counts():.0f} bytes")
    print(f"asking {measure_state(lambda n: Permits()):.0f} bytes")


if __name__ == "__main__":
    main()
