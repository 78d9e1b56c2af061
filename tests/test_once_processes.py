"""Bookings through real processes that are killed or paused; servers count the runs."""

from collections import Counter
from functools import partial
from types import SimpleNamespace

import pytest
import trio

from lab.bookers import Booking, BookingResult, call
from lab.once import compare_with_runs
from lab.oncefaults import set_faults
from lab.processes import (
    DeploymentShape,
    ServiceShape,
    find_free_address,
    open_processes,
    write_deployment,
)
from standins.fleet import parse_address
from standins.relay import Relay

# Turns a hang into a failure; well above the duration of any test.
HANG_LIMIT = 30.0
# Faster than the defaults, to shorten the tests.
CONTROL = {
    "probe_interval_ms": 100,
    "probe_timeout_ms": 50,
    "suspect_ms": 1_500,
    "drain_ms": 4_000,
}
SHAPE = DeploymentShape(
    n_hosts=3,
    services=(ServiceShape(name="ledger", idempotent=False),),
    control=CONTROL,
)
ISSUER, WITNESS, OTHER = "dc0-0", "dc1-0", "dc0-1"


class Bench:
    """Three entry hosts, two backend servers and the platform, all as processes."""

    def __init__(self, processes, deployment):
        self.processes = processes
        self.deployment = deployment
        self.hosts = {host.name: host for host in deployment.hosts}
        self.entries = {}
        self.platform_control = find_free_address()
        self.backend_control = find_free_address()

    async def start(self):
        await self.processes.start_platform(
            self.deployment, control=self.platform_control
        )
        await self.processes.start_backend(
            self.deployment, only=["*"], control=self.backend_control
        )
        async with trio.open_nursery() as nursery:
            for name in self.hosts:
                nursery.start_soon(self.start_host, name)

    async def start_host(self, name):
        self.entries[name] = await self.processes.start_entry(
            self.deployment, host=name
        )

    async def kill(self, name):
        await self.entries[name].kill()

    async def issue(self, name=ISSUER):
        answer = await call(
            self.hosts[name].callers, "POST", "/v1/services/ledger/tickets", limit=9.0
        )
        assert answer is not None and answer.status == 201
        return answer.json["ticket"]

    async def book(self, ticket, name, deadline_ms=2_000):
        """Return the status of the answer; 0 when the connection breaks."""
        answer = await call(
            self.hosts[name].callers,
            "POST",
            "/v1/services/ledger/requests",
            headers={
                "Ticket": ticket,
                "Deadline-Ms": str(deadline_ms),
                "Content-Type": "application/json",
            },
            body=b'{"query": "compactor"}',
            limit=HANG_LIMIT,
        )
        return answer.status if answer is not None else 0

    async def wait_until_known(self, ticket, name):
        """Retry while the answer is "unknown"; it must then be 200.

        On a busy machine a host may not reach one that has just resumed in time.
        """
        while (status := await self.book(ticket, name)) == 504:
            await trio.sleep(0.1)
        assert status == 200

    async def look_up(self, ticket, name=OTHER):
        path = f"/v1/tickets/{ticket}"
        answer = await call(self.hosts[name].callers, "GET", path, limit=HANG_LIMIT)
        assert answer is not None
        return answer.json["outcome"]

    async def set_servers(self, **faults):
        await set_faults(self.backend_control, {"*": faults})

    async def count_runs(self):
        answer = await call(self.backend_control, "GET", "/counts", limit=HANG_LIMIT)
        assert answer is not None
        return sum(counts["run"] for counts in answer.json.values())

    async def start_booking(self, ticket, nursery):
        """Start a booking at the issuer; return once it runs at a backend server."""
        answers = SimpleNamespace(status=None)

        async def book():
            answers.status = await self.book(ticket, ISSUER, deadline_ms=9_000)

        nursery.start_soon(book)
        while await self.count_runs() == 0:
            await trio.sleep(0.02)
        return answers


@pytest.fixture
async def bench():
    with trio.fail_after(2 * HANG_LIMIT):
        async with open_processes() as processes:
            deployment = write_deployment(shape=SHAPE, directory=processes.directory)
            bench = Bench(processes, deployment)
            await bench.start()
            yield bench


class TestKilledIssuer:
    async def test_unused_tickets_are_not_run_and_used_ones_unknown(self, bench):
        """Guards against a wrong outcome of tickets whose issuer dies.

        The witness voids the unused ticket and has recorded the start of the used one.
        """
        unused, used = await bench.issue(), await bench.issue()
        await bench.set_servers(service_ms=1_000)
        async with trio.open_nursery() as nursery:
            first = await bench.start_booking(used, nursery)
            await bench.kill(ISSUER)
        assert first.status == 0
        assert await bench.book(unused, OTHER) == 503
        assert await bench.book(used, OTHER) == 504
        await bench.start_host(ISSUER)
        for name in bench.hosts:
            assert await bench.book(unused, name) == 503
            assert await bench.book(used, name) == 504
        assert await bench.count_runs() == 1


class TestPausedIssuer:
    async def test_a_retry_elsewhere_never_runs_a_second_time(self, bench):
        """Guards against a second run by a retry at another host during a run.

        It returns "unknown" until the issuer resumes and gets the server's answer.
        """
        await bench.set_servers(service_ms=500)
        ticket = await bench.issue()
        async with trio.open_nursery() as nursery:
            first = await bench.start_booking(ticket, nursery)
            bench.entries[ISSUER].pause()
            assert await bench.book(ticket, OTHER, deadline_ms=500) == 504
            bench.entries[ISSUER].resume()
        assert first.status == 200
        await bench.wait_until_known(ticket, OTHER)
        assert await bench.count_runs() == 1

    async def test_a_request_answered_not_run_never_runs(self, bench):
        """Guards against a run after "not run" by an issuer that was paused.

        A retry made the witness void the ticket, so it refuses the late start.
        """
        ticket = await bench.issue()
        bench.entries[ISSUER].pause()
        answers = []

        async def book():
            answers.append(await bench.book(ticket, ISSUER, deadline_ms=9_000))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(book)
            assert await bench.book(ticket, OTHER, deadline_ms=500) == 503
            bench.entries[ISSUER].resume()
        assert answers == [503]
        assert await bench.look_up(ticket) == "not run"
        assert await bench.count_runs() == 0


class TestPausedWitness:
    async def test_nothing_runs_without_a_record_of_the_witness(self, bench):
        """Guards against a run that the paused witness has not recorded."""
        ticket = await bench.issue()
        bench.entries[WITNESS].pause()
        assert await bench.book(ticket, ISSUER) == 503
        bench.entries[WITNESS].resume()
        for name in bench.hosts:
            assert await bench.book(ticket, name) == 503
        assert await bench.count_runs() == 0


class TestStoppedIssuer:
    async def test_no_booking_is_left_unknown(self, bench):
        # Guards against bookings that a stopping host goes on beginning, and cuts at
        # the end of its drain time: callers book one after the other until it is gone.
        await bench.set_servers(service_ms=300)
        tickets = [await bench.issue() for _ in range(64)]
        statuses = {}

        async def book(ticket, at):
            await trio.sleep_until(at)
            statuses[ticket] = await bench.book(ticket, ISSUER, deadline_ms=1_500)

        async with trio.open_nursery() as nursery:
            started = trio.current_time()
            nursery.start_soon(bench.entries[ISSUER].stop)
            for number, ticket in enumerate(tickets):
                nursery.start_soon(book, ticket, started + number / 10)
        assert Counter(statuses.values())[200] > 20
        for ticket, status in statuses.items():
            if status != 200:
                assert await bench.look_up(ticket) in ("not run", "answered")


class TestBackendServers:
    async def test_a_death_after_the_run_is_never_run_again(self, bench):
        """Guards against a retry after a server that died between run and answer."""
        ticket = await bench.issue()
        await bench.set_servers(crash="after run", restart_ms=100)
        assert await bench.book(ticket, ISSUER) == 504
        await bench.set_servers(crash="no")
        for name in bench.hosts:
            assert await bench.book(ticket, name) == 504
            assert await bench.look_up(ticket, name) == "unknown"
        assert await bench.count_runs() == 1


class TestPlatform:
    async def test_bookings_go_on_during_its_outage(self, bench):
        await set_faults(bench.platform_control, {"down": True})
        for name in bench.hosts:
            assert await bench.book(await bench.issue(name), OTHER) == 200
        assert await bench.count_runs() == len(bench.hosts)


class TestJudge:
    """The comparison that `make measure-once` reports."""

    def test_counts_broken_guarantees(self):
        def book(name, *request_ids, **fields):
            return Booking(name=name, started=0.0, request_ids=[*request_ids], **fields)

        bookings = [
            book("a", "a/0", result=BookingResult.ANSWERED, reported_answered=["a/0"]),
            book(
                "b",
                "b/0",
                "b/1",
                reported_not_run=["b/0"],
                result=BookingResult.UNKNOWN,
            ),
            book("c", "c/0", result=BookingResult.ANSWERED, reported_answered=["c/0"]),
            book("d", "d/0", result=BookingResult.NOT_RUN, reported_not_run=["d/0"]),
        ]
        verdict = compare_with_runs(bookings, Counter({"a/0": 1, "b/0": 1, "b/1": 1}))
        assert str(verdict) == (
            "run_twice=1 false_not_run=1 lost=1 unknown_share=0.2500"
        )


class TestRelay:
    """The middlebox of the measurement: connections go silent without a reset."""

    async def echo(self, stream):
        while data := await stream.receive_some(99):
            await stream.send_all(data)

    @pytest.mark.parametrize("way", ["towards", "back", "both"])
    async def test_a_cut_connection_stays_silent_and_new_ones_work(self, nursery, way):
        serve = partial(trio.serve_tcp, self.echo, 0, host="127.0.0.1")
        [listener] = await nursery.start(serve)
        to = parse_address(f"127.0.0.1:{listener.socket.getsockname()[1]}")
        relay = Relay(listen=parse_address(find_free_address()), upstream=to)
        await nursery.start(relay.run)

        async def exchange(stream):
            await stream.send_all(b"?")
            # On a slow machine an answer may be missed, but none is invented.
            with trio.move_on_after(0.2):
                return await stream.receive_some(1)
            return b""

        old = await trio.open_tcp_stream(relay.listen.ip, relay.listen.port)
        assert await exchange(old) == b"?"
        relay.cut(way)
        during = await trio.open_tcp_stream(relay.listen.ip, relay.listen.port)
        assert [await exchange(old), await exchange(during)] == [b"", b""]
        relay.restore()
        new = await trio.open_tcp_stream(relay.listen.ip, relay.listen.port)
        assert [await exchange(each) for each in (old, during, new)] == [b"", b"", b"?"]
