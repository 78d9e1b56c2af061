"""Customers' limits on running hosts: what is sent, refused, returned and handed over.

The hosts run in one process over memory streams, on a virtual clock.
"""

import logging
from dataclasses import replace
from random import Random
from types import SimpleNamespace
from typing import Any

import pytest
import trio
import trio.testing

from lavendergap.coordination.membership import Membership
from lavendergap.entry.counting import CountingService
from lavendergap.entry.entrylimits import EntryLimits
from lavendergap.entry.fleet import Fleet
from lavendergap.entry.limitchannels import LimitChannels, wait_at_most
from lavendergap.entry.limits import NOT_COUNTED_RETRY_MS, LimitService
from lavendergap.protocol.answers import Refusal
from lavendergap.protocol.messages import Hello, PermitRequest, PermitReturn
from lavendergap.state.customers import Customer, CustomerTable, LimitBounds
from lavendergap.state.forwarding import ForwardedRequest
from lavendergap.state.gossip import Gossip
from lavendergap.state.member import DocumentsDigest, Member, MemberState
from lavendergap.state.outcome import NotRun, Reason, Step, Unknown
from lavendergap.state.routes import OneOf, Route
from lavendergap.state.settings import Address, Control, Settings
from lavendergap.transport.acceptor import Acceptor
from lavendergap.transport.dialer import Dialer
from lavendergap.transport.gateway import GatewayRequest

from .nodes import Network

CUSTOMER = Customer(name="c1", rate_per_s=10.0, burst=10.0)
OTHER = Customer(name="c2")
BOUNDS = LimitBounds(window_s=5.0, overage=0.1, slack=20.0)
STARTED_S = 40.0
"""After this time the bucket of a host that has started is full."""

ROUTE = Route(
    name="r1",
    host="a.example",
    prefix="/",
    target=OneOf(groups=()),
    idempotent=True,
    max_attempts=1,
    timeout_ms=1_000,
    goal_ms=100,
    priority=0,
)


class LimitHost:
    """One host with the parts that count limits."""

    def __init__(self, members, number, table, nursery, network) -> None:
        own = members[number]
        settings = Settings(
            deployment="d", version=0, platform=own.peers, hosts=(), services=()
        )
        hello = Hello(deployment="d", host=own.name, incarnation=1)
        self.name = own.name
        self.table = table
        self.frames: list[object] = []
        self.fleet = Fleet(own_name=own.name, settings=settings)
        self.fleet.replace_live({m.name: m.peers for m in members})
        self.membership = Membership(own=own, control=Control(), random=Random(1))
        self.membership.joined = True
        for member in members:
            self.receive_member(member)
        channels = LimitChannels(
            fleet=self.fleet,
            dialer=Dialer(own=hello, nursery=nursery, connect=network.connect),
            nursery=nursery,
            connect=network.connect,
        )
        self.counting = CountingService(
            own_name=own.name,
            membership=self.membership,
            channels=channels,
            nursery=nursery,
            random=Random(number),
            get_customers=lambda: self.table,
            bounds=BOUNDS,
        )
        self.limits = LimitService(
            counting=self.counting,
            fleet=self.fleet,
            channels=channels,
            nursery=nursery,
            random=Random(number),
        )
        self.acceptor = Acceptor(
            own=hello, on_frame=self._handle, on_loss=lambda channel: None
        )
        nursery.start_soon(self.limits.run)

    def _handle(self, channel, frame) -> None:
        self.frames.append(frame.message)
        self.counting.handle(channel, frame)

    def receive_member(self, member: Member) -> None:
        gossip = Gossip(source=member, documents=DocumentsDigest(), updates=())
        if member.name != self.membership.own.name:
            now = trio.current_time()
            self.membership.receive(gossip, sender=member.peers, now=now)

    async def request(self, customer=CUSTOMER, goal_s=0.1):
        """Ask to admit a request; return the refusal and the request."""
        now = trio.current_time()
        forward = ForwardedRequest(
            method=b"GET", target=b"/", attempt=b"r1", headers=()
        )
        request = GatewayRequest(
            forward=forward,
            body=b"",
            route=ROUTE,
            version=1,
            started=now,
            deadline=now + 1.0,
            goal=now + goal_s,
            customer=customer,
        )
        return await self.limits.admit(request), request


class LimitHosts:
    """Hosts in the order in which they count for `CUSTOMER`."""

    def __init__(self, nursery, *, n_hosts=4, customer=CUSTOMER) -> None:
        self.network = Network(nursery=nursery)
        table = CustomerTable(customers={customer.name: customer}, names_by_digest={})
        members = [
            Member(
                name=f"h{number}",
                data_centre="a",
                incarnation=1,
                peers=Address(ip="127.0.0.1", port=8_000 + number),
            )
            for number in range(n_hosts)
        ]
        hosts = []
        for number, member in enumerate(members):
            host = LimitHost(members, number, table, nursery, self.network)
            self.network.nodes[member.peers] = host  # type: ignore[assignment]
            hosts.append(host)
        self.members = {member.name: member for member in members}
        order = hosts[0].counting.view.sort(CUSTOMER.name, self.members)
        self.ranked = sorted(hosts, key=lambda host: order.index(host.name))


@pytest.fixture
async def hosts(nursery):
    built = LimitHosts(nursery)
    await trio.sleep(STARTED_S)
    return built


async def send_all(host, n):
    """Send `n` requests one after the other; return the refusals."""
    refusals = [(await host.request())[0] for _ in range(n)]
    return [refusal for refusal in refusals if refusal is not None]


class TestAdmission:
    async def test_the_counting_host_decides_without_waiting(
        self, hosts, autojump_clock
    ):
        first = hosts.ranked[0]
        with trio.testing.assert_no_checkpoints():
            coroutine = first.request()
            with pytest.raises(StopIteration) as stopped:
                coroutine.send(None)
        assert stopped.value.value[0] is None

    async def test_beyond_the_limit_a_429_names_the_counting_host(
        self, hosts, autojump_clock, caplog
    ):
        caplog.set_level(logging.INFO, logger="lavendergap")
        first, last = hosts.ranked[0], hosts.ranked[-1]
        refusals = await send_all(last, 30)
        assert len(refusals) == 20
        assert {(r.reason, r.peer) for r in refusals} == {
            (Reason.OVER_LIMIT, first.name)
        }
        assert len({r.retry_after_ms for r in refusals}) == 20
        assert sum("limit reached" in str(r.__dict__) for r in caplog.records) == 5

    async def test_refusals_cost_no_messages(self, hosts, autojump_clock):
        await send_all(hosts.ranked[-1], 12)
        n_frames = len(hosts.ranked[0].frames)
        await send_all(hosts.ranked[-1], 50)
        assert len(hosts.ranked[0].frames) == n_frames

    async def test_each_refusal_leaves_within_ten_milliseconds(
        self, hosts, autojump_clock
    ):
        """Guards against refusals that wait for more than one reply."""
        waits = []
        for number in range(200):
            started = trio.current_time()
            refusal, _ = await hosts.ranked[number % 4].request()
            if refusal is not None:
                assert refusal.reason is Reason.OVER_LIMIT
                waits.append(trio.current_time() - started)
            await trio.sleep(0.01)
        assert len(waits) > 100
        assert max(waits) <= 0.010

    async def test_requests_at_one_instant_share_messages(self, hosts, autojump_clock):
        async with trio.open_nursery() as nursery:
            for _ in range(10):
                nursery.start_soon(hosts.ranked[1].request)
        asked = [f for f in hosts.ranked[0].frames if isinstance(f, PermitRequest)]
        assert len(asked) <= 2

    async def test_a_customer_without_a_limit_leaves_no_trace(
        self, hosts, autojump_clock
    ):
        with trio.testing.assert_no_checkpoints():
            coroutine = hosts.ranked[1].request(OTHER)
            with pytest.raises(StopIteration):
                coroutine.send(None)
        assert [host.frames for host in hosts.ranked] == [[], [], [], []]

    async def test_a_request_that_did_not_run_is_refunded(self, hosts, autojump_clock):
        """Guards against customers that pay for the overload of backend servers."""
        for _ in range(30):
            refusal, request = await hosts.ranked[1].request()
            assert refusal is None
            hosts.ranked[1].limits.give_back(request)
            await trio.sleep(0.15)
        assert any(isinstance(f, PermitReturn) for f in hosts.ranked[0].frames)

    async def test_refunds_fit_into_a_bucket_that_was_full(self, hosts, autojump_clock):
        first = hosts.ranked[0]
        requests = [(await first.request())[1] for _ in range(4)]
        for request in requests:
            first.limits.give_back(request)
        [count] = first.counting.list_counts()
        assert count.tokens == CUSTOMER.burst
        for _ in range(40):
            # The reserve bounds what may be paid back in this way.
            first.limits.give_back((await first.request())[1])
        [count] = first.counting.list_counts()
        assert count.tokens == 0.0

    async def test_a_new_version_ends_local_refusals(self, hosts, autojump_clock):
        await send_all(hosts.ranked[1], 12)
        raised = Customer(name="c1", rate_per_s=1_000.0, burst=1_000.0)
        table = CustomerTable(customers={"c1": raised}, names_by_digest={})
        for host in hosts.ranked:
            host.table = table
        n_frames = len(hosts.ranked[0].frames)
        await hosts.ranked[1].request()
        assert len(hosts.ranked[0].frames) == n_frames + 1
        await trio.sleep(0.1)
        assert await send_all(hosts.ranked[1], 10) == []


class Entry(EntryLimits):
    """An entry host without others, which counts in full."""

    def __init__(self, nursery) -> None:
        own = Member(
            name="h0", data_centre="a", incarnation=1, peers=Address(ip="::", port=1)
        )
        membership = Membership(own=own, control=Control(), random=Random(1))
        membership.joined = True
        self.table = CustomerTable(customers={"c1": CUSTOMER}, names_by_digest={})
        settings = Settings(
            deployment="d", version=0, platform=own.peers, hosts=(), services=()
        )
        super().__init__(
            own_name=own.name,
            membership=membership,
            fleet=Fleet(own_name=own.name, settings=settings),
            dialer=Dialer(
                own=Hello(deployment="d", host=own.name, incarnation=1), nursery=nursery
            ),
            nursery=nursery,
            random=Random(1),
            get_customers=lambda: self.table,
            settings=settings,
        )
        nursery.start_soon(self.run)

    async def count_run(self, n, *, result, name="c1"):
        """Send `n` queries and `n` tickets, all ending alike; return how many ran."""
        n_ran = 0
        customer = CUSTOMER if name == "c1" else Customer(name=name)
        refusal = Refusal(request_id="r", outcome=result)

        async def run(*request):
            nonlocal n_ran
            n_ran += 1
            return refusal if request else result

        for _ in range(n):
            deadline = trio.current_time() + 0.1
            request: Any = SimpleNamespace(
                request_id="r", customer=customer, deadline=deadline
            )
            found = await self.search(request, run)
            assert isinstance(found, Refusal)
            outcomes = [found.outcome, await self.run_ticket(name, deadline, run)]
            for outcome in outcomes:
                if outcome != result:
                    assert isinstance(outcome, NotRun)
                    assert outcome.reason is Reason.OVER_LIMIT
                    assert outcome.retry_after_ms > 0
        return n_ran


class TestEntryHosts:
    @pytest.mark.parametrize(
        ("result", "name", "n_ran", "n_returned"),
        [
            (Unknown(step=Step.SEND, peer="s", reason=Reason.DEADLINE), "c1", 10, 0),
            (NotRun(step=Step.QUEUE, peer="s", reason=Reason.SHED), "c1", 10, 10),
            (Unknown(step=Step.SEND, peer="s", reason=Reason.DEADLINE), "c2", 60, 0),
        ],
    )
    async def test_queries_and_tickets_share_a_limit(
        self, result, name, n_ran, n_returned, nursery, autojump_clock, monkeypatch
    ):
        entry = Entry(nursery)
        returned: list[str] = []
        monkeypatch.setattr(
            entry.counting, "give_back", lambda name, n, now: returned.append(name)
        )
        await trio.sleep(STARTED_S)
        assert await entry.count_run(30, result=result, name=name) == n_ran
        assert len(returned) == n_returned

    async def test_times_follow_from_the_probes(self, nursery, autojump_clock):
        """Guards against two hosts that count while one is not known to be lost."""
        entry = Entry(nursery)
        settings = Settings(
            deployment="d",
            version=1,
            platform=Address(ip="::", port=1),
            hosts=(),
            services=(),
            control=Control(suspect_ms=1_000),
        )
        view = entry.counting.view
        assert [view.stall_s, view.settle_s] == pytest.approx([1.0, 11.35])
        entry.replace(replace(settings, limits=replace(BOUNDS, window_s=2.0)))
        assert [view.stall_s, view.settle_s] == pytest.approx([0.5, 5.35])


class TestFailures:
    async def test_a_killed_counting_host(self, hosts, autojump_clock):
        """Guards against requests below the limit that are refused for seconds."""
        hosts.network.refusing.add(hosts.ranked[0].name)
        refusals = []
        for _ in range(40):
            refusals += await send_all(hosts.ranked[2], 1)
            await trio.sleep(0.12)
        assert refusals == []
        [count] = hosts.ranked[1].counting.list_counts()
        assert count.is_counting

    async def test_a_silent_counting_host_costs_a_part_of_the_time(
        self, hosts, autojump_clock
    ):
        hosts.network.silent.add(hosts.ranked[0].name)
        started = trio.current_time()
        refusal, _ = await hosts.ranked[2].request(goal_s=0.058)
        assert refusal is None
        assert trio.current_time() - started <= 0.058 / 4
        [count] = hosts.ranked[1].counting.list_counts()
        assert not count.is_counting

    async def test_a_busy_asking_host_does_not_end(self, hosts, autojump_clock):
        """Guards against a negative time-out, which would end the process."""
        outcomes = []

        async def ask():
            outcomes.append((await hosts.ranked[2].request(goal_s=0.058))[0])

        async with trio.open_nursery() as nursery:
            nursery.start_soon(ask)
            for _ in range(3):
                await trio.lowlevel.checkpoint()
                autojump_clock.jump(0.04)
        [refusal] = outcomes
        assert refusal.reason is Reason.NOT_READY

    async def test_a_reply_left_unread_by_a_busy_host_counts(self, autojump_clock):
        event = trio.Event()

        async def read():
            await trio.lowlevel.checkpoint()
            autojump_clock.jump(1.0)
            await trio.lowlevel.checkpoint()
            event.set()

        async with trio.open_nursery() as nursery:
            nursery.start_soon(read)
            await wait_at_most(event, until=trio.current_time() + 0.5)
        assert event.is_set()

    async def test_no_host_reached_is_not_the_customers_fault(
        self, hosts, autojump_clock
    ):
        own = hosts.ranked[3]
        hosts.network.silent.update({"h0", "h1", "h2", "h3"} - {own.name})
        refusal, _ = await own.request()
        assert refusal is not None
        assert refusal.reason is Reason.NOT_READY
        assert refusal.retry_after_ms == NOT_COUNTED_RETRY_MS

    async def test_a_late_grant_is_returned(self, hosts, autojump_clock):
        first = hosts.ranked[0]
        await hosts.ranked[2].request()
        hosts.network.silent.add(first.name)
        await hosts.ranked[2].request()
        hosts.network.silent.clear()
        await trio.sleep(0.5)
        returned = [f for f in first.frames if isinstance(f, PermitReturn)]
        assert len(returned) == 1

    async def test_a_host_that_leaves_hands_its_tokens_over(
        self, hosts, autojump_clock
    ):
        first, second = hosts.ranked[:2]
        assert await send_all(first, 4) == []
        first.counting.leave()
        await trio.sleep(0.01)
        assert len(await send_all(second, 10)) == 4  # 6 of 10 tokens are left.
        leaving = hosts.members[first.name]
        leaving = Member(
            name=leaving.name,
            data_centre="a",
            incarnation=1,
            peers=leaving.peers,
            refutations=1,
            state=MemberState.LEAVING,
        )
        for host in hosts.ranked[1:]:
            host.receive_member(leaving)
        await trio.sleep(1.0)
        assert await send_all(hosts.ranked[3], 5) == []

    async def test_a_host_that_does_not_know_the_first_is_served(
        self, nursery, hosts, autojump_clock
    ):
        """Guards against refusals until gossip of a started host has reached all."""
        first, second, third = hosts.ranked[:3]
        for old, unknown in ((second, None), (third, first.name)):
            members = [m for n, m in hosts.members.items() if n != unknown]
            number = members.index(hosts.members[old.name])
            new = LimitHost(members, number, first.table, nursery, hosts.network)
            hosts.network.nodes[hosts.members[old.name].peers] = new
        third = new
        await trio.sleep(0.2)
        assert await send_all(third, 10) == []
        assert [c.n_used for c in first.counting.list_counts()] == [10]

    async def test_a_host_that_joins_takes_over_the_tokens(
        self, nursery, hosts, autojump_clock
    ):
        """Guards against a new first host that counts beside the old one."""
        first, second = hosts.ranked[:2]
        assert await send_all(second, 6) == []
        network = hosts.network
        members = list(hosts.members.values())
        number = members.index(hosts.members[first.name])
        again = LimitHost(members, number, first.table, nursery, network)
        network.nodes[hosts.members[first.name].peers] = again
        await trio.sleep(0.2)
        await again.request()
        await trio.sleep(0.1)
        await again.request()
        [count] = again.counting.list_counts()
        assert count.is_counting
        assert count.tokens <= 4.0
