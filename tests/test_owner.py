"""The owner of a group, over real connections to stand-in backend servers."""

from contextlib import asynccontextmanager
from dataclasses import replace
from random import Random

import pytest
import trio
from trio.testing import MockClock

from lab.processes import find_free_ports
from lavendergap.coordination.calls import Call, FinishCall
from lavendergap.entry.batch import SubmittedCall
from lavendergap.entry.owner import Owner
from lavendergap.state.outcome import Answered, Outcome
from lavendergap.state.settings import Group, Settings, WaitForCoverage
from lavendergap.transport.backend import BackendClient
from standins.backend import BackendServer
from standins.faults import BackendFaults, change_faults
from tests.nodes import build_settings

N_SERVERS = 2
QUEUE_LIMIT = 4


@pytest.fixture
def clock():
    """A clock that jumps only after a real pause, as bytes go through the kernel."""
    return MockClock(autojump_threshold=0.01)


class Bench:
    """One group with its backend servers, and the owner that calls them."""

    def __init__(
        self, *, settings: Settings, servers: list[BackendServer], owner: Owner
    ) -> None:
        self.settings = settings
        self.servers = servers
        self.owner = owner

    def set_faults(self, place: int, **change: object) -> None:
        """Change the faults of one server."""
        server = self.servers[place]
        server.set_faults(change_faults(server.faults, change))

    async def call(self, *, limit: float = 0.5) -> Outcome:
        """Make one call to the group and return its outcome."""
        ended: list[FinishCall] = []
        done = trio.Event()

        def finish(end: FinishCall, versions: tuple[int, ...]) -> None:
            ended.append(end)
            done.set()

        call = self.make_call(limit=limit)
        self.owner.submit([SubmittedCall(call=call, finish=finish)])
        await done.wait()
        return ended[0].outcome

    def make_call(self, *, limit: float = 0.5) -> Call:
        """Return a call to the group, not made yet."""
        service = self.settings.services[0]
        return Call(
            call_id=self.owner.make_call_id(),
            request_id="r",
            service=service.name,
            group=service.groups[0].name,
            shard="s00",
            version=1,
            deadline=trio.current_time() + limit,
            body=b"{}",
            idempotent=True,
        )

    async def call_all(self, n_calls: int, *, every: float = 0.02) -> int:
        """Make calls one after the other; return how many were answered."""
        n_answered = 0
        for _ in range(n_calls):
            n_answered += isinstance(await self.call(), Answered)
            await trio.sleep(every)
        return n_answered


@asynccontextmanager
async def open_bench():
    ports = find_free_ports(N_SERVERS)
    settings = build_settings(n_hosts=1, n_groups=1, stragglers=WaitForCoverage())
    [group] = settings.services[0].groups
    servers = tuple(
        replace(server, address=replace(server.address, port=port))
        for server, port in zip(group.servers, ports, strict=True)
    )
    service = replace(
        settings.services[0], groups=(Group(name=group.name, servers=servers),)
    )
    settings = replace(settings, services=(service,))
    async with trio.open_nursery() as nursery:
        backends = [
            BackendServer(
                server=server, faults=BackendFaults(), queue_limit=QUEUE_LIMIT
            )
            for server in servers
        ]
        for backend in backends:
            await nursery.start(backend.run)
        owner = Owner(
            settings=settings, nursery=nursery, random=Random(5), attempt_prefix="t"
        )
        yield Bench(settings=settings, servers=backends, owner=owner)
        nursery.cancel_scope.cancel()


class TestDraining:
    @pytest.mark.parametrize("health", ["draining", "serving"])
    async def test_draining_server_gets_no_new_calls(self, health, clock):
        # A server drains, whatever its health endpoint reports. Its refusals count:
        # the other replica answers all calls, and it soon receives none.
        async with open_bench() as bench:
            assert await bench.call_all(20) == 20
            bench.set_faults(0, state="draining", health_says=health)
            assert await bench.call_all(150) == 150
            received = bench.servers[0].counts.received
            assert await bench.call_all(100) == 100
            assert bench.servers[0].counts.received - received <= 2

    async def test_server_that_returns_is_used_again(self, clock):
        # The drain was cancelled. Once its answers or its health report "serving", the
        # server gets its share of calls.
        async with open_bench() as bench:
            bench.set_faults(0, state="draining")
            await bench.call_all(50)
            bench.set_faults(0, state="serving")
            await trio.sleep(10.0)
            answered = bench.servers[0].counts.answered
            await bench.call_all(200)
            assert bench.servers[0].counts.answered - answered > 20


class TestSilence:
    async def test_silent_connections_cost_no_answer(self, clock):
        # A firewall drops the state of all open connections. A read on one of them is
        # answered over a new connection before its deadline.
        async with open_bench() as bench:
            assert await bench.call_all(20) == 20
            for place in range(N_SERVERS):
                bench.set_faults(place, silence=True)
            assert await bench.call_all(20) == 20


class TestSlots:
    async def test_a_burst_never_exceeds_slots_or_connections(self, clock):
        # Forty concurrent calls for two servers of two slots: the owner queues the
        # calls that would exceed the servers' slots.
        async with open_bench() as bench:
            async with trio.open_nursery() as nursery:
                for _ in range(40):
                    nursery.start_soon(bench.call)
            for backend in bench.servers:
                assert backend.counts.max_in_use <= 2
                assert backend.counts.max_queued == 0
                assert backend.counts.max_connections <= 4


class TestChangesBeforeAnAttemptRuns:
    async def test_removing_a_server_before_its_attempt_runs(self, clock):
        # New settings remove a server before the task of its attempt first runs. If
        # the task looked up its connections only then, it would end the process.
        async with open_bench() as bench:
            service = bench.settings.services[0]
            empty = replace(service, groups=(replace(service.groups[0], servers=()),))
            settings = replace(bench.settings, services=(empty,))
            ended: list[FinishCall] = []
            call = bench.make_call()
            submitted = SubmittedCall(
                call=call, finish=lambda end, versions: ended.append(end)
            )
            bench.owner.submit([submitted])
            bench.owner.replace(settings)
            while not ended:
                await trio.sleep(0.01)
            assert isinstance(ended[0].outcome, Answered)

    async def test_a_call_cancelled_in_the_same_turn_reaches_no_server(self, clock):
        # A call is cancelled before the task of its attempt first runs. The attempt
        # must be cancelled, too, or the server would run it for nobody.
        async with open_bench() as bench:
            await bench.call()
            n_before = sum(server.counts.received for server in bench.servers)
            call = bench.make_call()
            bench.owner.submit(
                [SubmittedCall(call=call, finish=lambda end, versions: None)]
            )
            bench.owner.cancel([call])
            await trio.sleep(0.2)
            assert sum(s.counts.received for s in bench.servers) == n_before


class TestUnexpectedExceptions:
    async def test_an_unexpected_exception_fails_one_attempt_only(self, clock):
        # An unexpected exception in one attempt must not end the process; the call is
        # answered by another server.
        async with open_bench() as bench:

            class FaultyClient(BackendClient):
                async def call(self, call, *, attempt, fresh):
                    if self.server.name.endswith("-a"):
                        raise ValueError("a fault of the program")
                    return await super().call(call, attempt=attempt, fresh=fresh)

            bench.owner._make_client = lambda server, idle_timeout_s: FaultyClient(
                server=server, idle_timeout_s=idle_timeout_s
            )
            assert await bench.call_all(10) == 10
