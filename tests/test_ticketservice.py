"""At-most-once requests on three hosts, over channels that the tests can block."""

from contextlib import suppress
from dataclasses import replace
from types import SimpleNamespace

import pytest
import trio
from trio.testing import memory_stream_pair, memory_stream_pump

from lavendergap.coordination.calls import FinishCall
from lavendergap.coordination.documents import Documents
from lavendergap.coordination.issuer import Issuer
from lavendergap.coordination.witness import Witness
from lavendergap.entry.fleet import Fleet
from lavendergap.entry.owner import Owner
from lavendergap.entry.peers import PeerService
from lavendergap.entry.ticketservice import TicketService
from lavendergap.protocol.answers import Refusal
from lavendergap.protocol.messages import Frame, Hello
from lavendergap.state.customers import Customer
from lavendergap.state.outcome import Answered, NotRun, Reason, Step, Unknown
from lavendergap.state.settings import (
    Address,
    Control,
    Group,
    Host,
    Service,
    Settings,
    WaitForCoverage,
)
from lavendergap.state.ticket import Peer, Ticket, parse_ticket
from lavendergap.transport.callers import (
    CallerRequest,
    IssuedTicket,
    Pending,
    RunResult,
)
from lavendergap.transport.channel import Channel, LossReason
from lavendergap.transport.dialer import Dialer
from lavendergap.transport.web import BadRequestError

DONE = Answered(body=b'"booked"')
STOPPING = NotRun(step=Step.QUEUE, peer="ledger", reason=Reason.STOPPING)
HOSTS = ("a-1", "b-1", "b-2")
ADDRESS = Address(ip="127.0.0.1", port=1)


def make_settings(*services):
    return Settings(
        deployment="lab",
        version=1,
        platform=ADDRESS,
        hosts=tuple(
            Host(
                name=n, data_centre=n[0], callers=ADDRESS, peers=ADDRESS, admin=ADDRESS
            )
            for n in HOSTS
        ),
        services=services,
    )


LEDGER = Service(
    name="ledger",
    idempotent=False,
    groups=(Group(name="ledger-00", servers=()),),
    deadline_ms=280,
    stragglers=WaitForCoverage(),
    hedge_budget=0.0,
    hedge_after_quantile=0.95,
    retry_budget=0.0,
    queue_limit=64,
    max_body_bytes=65_536,
    weight=1.0,
)


class FixedFleet(Fleet):
    """A fleet that ranks the same owners for every group."""

    ranked = ("b-1", "b-2", "a-1")

    def rank(self, group):
        return self.ranked


class FakeOwner(Owner):
    """An owner that ends each call with `outcome` after `seconds` and counts them."""

    def __init__(self, nursery):
        self.outcome = DONE
        self.seconds = 0.0
        self.n_runs = 0
        self.calls = []
        self._nursery = nursery

    def make_call_id(self):
        return 1

    def cancel(self, calls):
        raise AssertionError("an at-most-once request is never cancelled")

    def submit(self, wanted):
        self.n_runs += 1
        self.calls += [each.call for each in wanted]
        for each in wanted:
            self._nursery.start_soon(self._end, each, self.outcome)

    async def _end(self, wanted, outcome):
        await trio.sleep(self.seconds)
        end = FinishCall(call=wanted.call, outcome=outcome, server="s", n_attempts=1)
        wanted.finish(end, ())


class FakeLimits:
    """Limits that are exceeded once `is_over` is set."""

    def __init__(self):
        self.is_over = False
        self.names = []

    async def run_ticket(self, name, deadline, run):
        self.names.append(name)
        if self.is_over:
            return NotRun(step=Step.ADMIT, peer="a-1", reason=Reason.OVER_LIMIT)
        return await run()


class Network(Dialer):
    """Dials hosts of this process over memory streams, with real channels.

    Streams to and from a host in `blocked` carry nothing, as if it were paused.
    """

    def __init__(self, *, own, nursery, nodes, pairs, blocked):
        super().__init__(own=own, nursery=nursery)
        self.nodes, self.pairs, self.blocked = nodes, pairs, blocked

    async def _open(self, host, address):
        node = self.nodes.get(host)
        if node is None:
            return LossReason.REFUSED
        ours, theirs = memory_stream_pair()
        self.pairs.append(({self._own.host, host}, ours, theirs))
        pump_unblocked(self.pairs, self.blocked)
        for stream, own, handle in (
            (theirs, node.hello, node.peers.handle),
            (ours, self._own, None),
        ):
            on_loss = (lambda c, loss: None) if handle else self._drop
            channel = Channel(stream=stream, own=own, on_frame=handle, on_loss=on_loss)
            node.channels.append(channel)
            channel.send(Frame(id=0, message=own))
            self._nursery.start_soon(channel.run)
        with trio.move_on_after(0.5):
            await channel.hello_received.wait()
        return self._check_peer(host, channel)


def pump_unblocked(pairs, blocked):
    for ends, *streams in pairs:
        for one, other in (streams, streams[::-1]):
            sender, receiver = one.send_stream, other.receive_stream

            async def pump(sender=sender, receiver=receiver):
                memory_stream_pump(sender, receiver)

            sender.send_all_hook = None if ends & blocked else pump
            if not ends & blocked:
                with suppress(trio.BrokenResourceError):
                    memory_stream_pump(sender, receiver)


class Hosts:
    """Three hosts in two data centres: issuer a-1, owner b-1 and witness b-2."""

    def __init__(self, nursery, clock):
        self.nursery = nursery
        self.clock = clock
        self.nodes, self.pairs, self.blocked = {}, [], set()
        self.start(*HOSTS)

    def start(self, *names, incarnation=1):
        for name in names:
            self.nodes[name] = self.build(name, incarnation)

    def build(self, name, incarnation):
        peer = Peer(host=name, incarnation=incarnation)
        hello = Hello(deployment="lab", host=name, incarnation=incarnation)
        settings = make_settings(LEDGER)
        fleet = FixedFleet(own_name=name, settings=settings)
        fleet.replace_live(dict.fromkeys(HOSTS, ADDRESS))
        owner = FakeOwner(self.nursery)
        issuer = Issuer(
            peer=peer, secret=b"k" * 32, max_tickets=99, ticket_lifetime_ms=60_000
        )
        tickets = TicketService(
            peer=peer,
            issuer=issuer,
            witness=Witness(peer=peer, max_tickets=99, ticket_lifetime_ms=60_000),
            settings=settings,
            fleet=fleet,
            owner=owner,
            dialer=Network(
                own=hello,
                nursery=self.nursery,
                nodes=self.nodes,
                pairs=self.pairs,
                blocked=self.blocked,
            ),
            nursery=self.nursery,
            limits=(limits := FakeLimits()),
        )
        peers = PeerService(
            owner=owner,
            documents=Documents(check=lambda name, body: None),
            nursery=self.nursery,
            answer_ticket=tickets.answer,
        )
        return SimpleNamespace(
            hello=hello,
            peers=peers,
            tickets=tickets,
            issuer=issuer,
            owner=owner,
            limits=limits,
            fleet=fleet,
            channels=[],
        )

    def kill(self, name):
        for channel in self.nodes.pop(name).channels:
            channel.close(LossReason.RESET)

    def pause(self, *names):
        self.blocked.update(names)
        pump_unblocked(self.pairs, self.blocked)

    def resume(self):
        self.blocked.clear()
        pump_unblocked(self.pairs, self.blocked)

    def request(self, seconds):
        now = trio.current_time()
        return CallerRequest(
            request_id="r",
            service=LEDGER,
            body=b"{}",
            started=now,
            deadline=now + seconds,
            customer=Customer(name="acme", priority=2, share_weight=0.5),
        )

    async def issue(self, name="a-1"):
        issued = await self.nodes[name].tickets.issue(self.request(1.0))
        assert isinstance(issued, IssuedTicket)
        return issued.text

    async def run(self, ticket, name="a-1", seconds=2.0):
        return await self.nodes[name].tickets.run(self.request(seconds), ticket)

    async def look_up(self, ticket, name):
        return await self.nodes[name].tickets.look_up("r", ticket)

    @property
    def n_runs(self):
        return sum(node.owner.n_runs for node in self.nodes.values())


@pytest.fixture
async def hosts(autojump_clock):
    async with trio.open_nursery() as nursery:
        yield Hosts(nursery, autojump_clock)
        nursery.cancel_scope.cancel()


def get_witness(text):
    ticket = parse_ticket(text)
    assert isinstance(ticket, Ticket) and ticket.witness is not None
    return ticket.witness


def is_not_run(answer, reason=None):
    match answer:
        case Refusal(outcome=NotRun() as outcome):
            return reason in (None, outcome.reason)
    return False


def is_unknown(answer):
    return isinstance(answer, Refusal) and isinstance(answer.outcome, Unknown)


class TestRepeats:
    async def test_any_host_passes_a_repeat_to_the_issuer(self, hosts, autojump_clock):
        ticket = await hosts.issue()
        # The host that is asked first names the customer; the issuer and the owner,
        # which are other hosts, have it from their messages.
        names = ("b-2", "a-1", "b-1")
        answers = [await hosts.run(ticket, name) for name in names]
        assert answers == [RunResult(request_id="r", result=b'"booked"')] * 3
        assert hosts.n_runs == 1
        [call] = hosts.nodes["b-1"].owner.calls
        assert (call.customer, call.weight, call.priority) == ("acme", 0.5, 2)

    async def test_repeats_during_the_run_share_its_answer(self, hosts, autojump_clock):
        hosts.nodes["b-1"].owner.seconds = 1.0
        ticket = await hosts.issue()
        answers = []

        async def run(name):
            answers.append(await hosts.run(ticket, name))

        async with trio.open_nursery() as nursery:
            for name in HOSTS:
                nursery.start_soon(run, name)
        assert [type(answer) for answer in answers] == [RunResult] * 3
        assert hosts.n_runs == 1

    async def test_a_refusal_over_the_limit_is_the_final_outcome(
        self, hosts, autojump_clock
    ):
        """Guards against "not run" for a repeat of a request that has run."""
        limits = hosts.nodes["a-1"].limits
        ticket, refused = await hosts.issue(), await hosts.issue()
        assert isinstance(await hosts.run(ticket, "b-1"), RunResult)
        limits.is_over = True
        for name in HOSTS:
            assert isinstance(await hosts.run(ticket, name), RunResult)
            assert is_not_run(await hosts.run(refused, name), Reason.OVER_LIMIT)
        limits.is_over = False
        assert is_not_run(await hosts.run(refused, "b-2"), Reason.OVER_LIMIT)
        assert (limits.names, hosts.n_runs) == (["acme"] * 2, 1)

    async def test_a_lookup_runs_nothing(self, hosts, autojump_clock):
        ticket = await hosts.issue()
        answer = await hosts.look_up(ticket, "b-1")
        assert answer == Pending(request_id="r", state="not begun")
        assert hosts.n_runs == 0

    async def test_a_forged_ticket_is_refused(self, hosts, autojump_clock):
        ticket = await hosts.issue()
        forged = ticket[:-1] + ("0" if ticket[-1] != "0" else "1")
        assert isinstance(await hosts.run(forged, "b-1"), BadRequestError)
        assert hosts.n_runs == 0


class TestLeavingCaller:
    async def test_a_started_run_ends_and_is_recorded(self, hosts, autojump_clock):
        """The run goes on after its caller has disconnected.

        Another host can look up its outcome.
        """
        hosts.nodes["b-1"].owner.seconds = 1.0
        ticket = await hosts.issue()
        with trio.move_on_after(0.5):
            await hosts.run(ticket)
        await trio.sleep(1.0)
        assert isinstance(await hosts.look_up(ticket, "b-2"), RunResult)
        hosts.kill("a-1")
        assert isinstance(await hosts.look_up(ticket, "b-2"), RunResult)

    async def test_a_caller_is_answered_by_its_deadline(self, hosts, autojump_clock):
        hosts.nodes["b-1"].owner.seconds = 9.0
        ticket = await hosts.issue()
        started = trio.current_time()
        assert is_unknown(await hosts.run(ticket, "b-1", seconds=0.5))
        assert trio.current_time() - started <= 0.75


class TestIssuer:
    async def test_a_paused_issuer_never_runs_a_voided_ticket(
        self, hosts, autojump_clock
    ):
        """A ticket is voided while its issuer is paused, and answered "not run".

        The witness must refuse the start when the issuer resumes the first request.
        """
        ticket = await hosts.issue()
        hosts.pause("a-1")
        first = []

        async def run_first():
            first.append(await hosts.run(ticket, "a-1", seconds=30.0))

        hosts.nursery.start_soon(run_first)
        assert is_not_run(await hosts.run(ticket, "b-1"), Reason.ISSUER_LOST)
        hosts.resume()
        while not first:
            await trio.sleep(0.1)
        assert is_not_run(first[0])
        assert hosts.n_runs == 0

    async def test_death_during_the_run_is_unknown(self, hosts, autojump_clock):
        hosts.nodes["b-1"].owner.seconds = 1.0
        ticket = await hosts.issue()
        hosts.nursery.start_soon(hosts.run, ticket)
        await trio.sleep(0.5)
        hosts.kill("a-1")
        assert is_unknown(await hosts.run(ticket, "b-1"))
        hosts.start("a-1", incarnation=2)
        assert is_unknown(await hosts.run(ticket, "a-1"))
        assert hosts.n_runs == 1

    async def test_a_lost_connection_is_not_a_lost_issuer(self, hosts, autojump_clock):
        """The connection to the issuer is reset during the run.

        The issuer is asked again over a new one, so that the outcome is known.
        """
        hosts.nodes["b-1"].owner.seconds = 1.0
        ticket = await hosts.issue()
        await hosts.look_up(ticket, "b-1")

        async def reset():
            await trio.sleep(0.5)
            for channel in hosts.nodes["a-1"].channels:
                if channel.peer.host == "b-1":
                    channel.close(LossReason.RESET)

        hosts.nursery.start_soon(reset)
        assert isinstance(await hosts.run(ticket, "b-1"), RunResult)

    async def test_a_silent_issuer_costs_no_more_than_the_deadline(
        self, hosts, autojump_clock
    ):
        """Ten callers retry at one host while their issuer is unreachable.

        They share one dial; in sequence, their dials would exceed the deadlines.
        """
        ticket = await hosts.issue()
        hosts.pause("a-1")
        took = []

        async def run():
            started = trio.current_time()
            await hosts.run(ticket, "b-1", seconds=0.3)
            took.append(trio.current_time() - started)

        async with trio.open_nursery() as nursery:
            for _ in range(10):
                nursery.start_soon(run)
        assert max(took) <= 0.3 + 0.25 + 0.25


class TestWitness:
    async def test_a_paused_witness_stops_the_start(self, hosts, autojump_clock):
        """The request is "not run" if its witness does not answer in time.

        It stays so when the witness later receives the record of the start.
        """
        ticket = await hosts.issue()
        hosts.pause(get_witness(ticket).host)
        assert is_not_run(await hosts.run(ticket), Reason.WITNESS_LOST)
        hosts.resume()
        await trio.sleep(5.0)
        answers = [await hosts.run(ticket, name) for name in HOSTS]
        assert all(is_not_run(answer, Reason.WITNESS_LOST) for answer in answers)
        assert hosts.n_runs == 0

    async def test_it_is_not_asked_after_the_deadline(self, hosts, autojump_clock):
        """A request whose deadline has passed is not started.

        A negative limit for the witness's reply must not raise an exception.
        """
        ticket = await hosts.issue()
        hosts.kill(get_witness(ticket).host)
        assert is_unknown(await hosts.run(ticket, seconds=-1.0))
        assert is_not_run(await hosts.run(ticket), Reason.WITNESS_LOST)
        assert hosts.n_runs == 0

    async def test_a_restarted_witness_is_opened_again(self, hosts, autojump_clock):
        """A ticket with a restarted witness is "not run", as its start is not recorded.

        The next ticket names the new process as its witness.
        """
        old = await hosts.issue()
        host = get_witness(old).host
        hosts.kill(host)
        hosts.start(host, incarnation=2)
        assert is_not_run(await hosts.run(old), Reason.WITNESS_LOST)
        new = await hosts.issue()
        assert get_witness(new) == Peer(host=host, incarnation=2)
        assert isinstance(await hosts.run(new), RunResult)

    async def test_a_restarted_witness_counts_as_lost(self, hosts, autojump_clock):
        """Without issuer and witness, the outcome is "unknown", with the reason."""
        ticket = await hosts.issue()
        hosts.kill("a-1")
        host = get_witness(ticket).host
        hosts.kill(host)
        hosts.start(host, incarnation=2)
        answer = await hosts.run(ticket, "b-1")
        assert is_unknown(answer)
        assert answer.outcome.reason is Reason.WITNESS_LOST

    async def test_outcomes_for_a_restarted_witness_are_dropped(
        self, hosts, autojump_clock
    ):
        """Outcomes for a witness that lost its records are not sent again forever."""
        hosts.nursery.start_soon(hosts.nodes["a-1"].tickets.resend_unconfirmed)
        ticket = await hosts.issue()
        host = get_witness(ticket).host
        hosts.nodes["b-1"].owner.seconds = 1.0
        hosts.nursery.start_soon(hosts.run, ticket)
        await trio.sleep(0.5)
        hosts.kill(host)
        hosts.start(host, incarnation=2)
        await trio.sleep(5.0)
        assert hosts.nodes["a-1"].issuer.get_unconfirmed(limit=9) == ()

    async def test_a_silent_channel_is_replaced(self, hosts, autojump_clock):
        """A dead channel to the witness is closed and replaced.

        Messages with short limits alone would keep using it for every ticket.
        """
        ticket = await hosts.issue()
        hosts.pause(get_witness(ticket).host)
        hosts.pairs.clear()
        hosts.blocked.clear()
        assert is_not_run(await hosts.run(ticket, seconds=0.3), Reason.WITNESS_LOST)
        await trio.sleep(2.0)
        again = await hosts.run(await hosts.issue(), seconds=0.3)
        assert isinstance(again, RunResult)

    async def test_a_stopping_witness_is_not_chosen(self, hosts, autojump_clock):
        host = get_witness(await hosts.issue()).host
        for channel in hosts.nodes[host].channels:
            channel.is_leaving = True
        assert get_witness(await hosts.issue()).host != host


class TestOwner:
    async def test_death_during_the_run_is_unknown_and_final(
        self, hosts, autojump_clock
    ):
        hosts.nodes["b-1"].owner.seconds = 1.0
        ticket = await hosts.issue()
        hosts.nursery.start_soon(hosts.run, ticket)
        await trio.sleep(0.5)
        n_runs = hosts.n_runs
        hosts.kill("b-1")
        await trio.sleep(0.1)
        assert is_unknown(await hosts.run(ticket))
        assert (n_runs, hosts.n_runs) == (1, 0)

    async def test_an_owner_that_refuses_is_followed_by_the_next(
        self, hosts, autojump_clock
    ):
        ticket = await hosts.issue()
        hosts.kill("b-1")
        assert isinstance(await hosts.run(ticket), RunResult)
        assert hosts.nodes["b-2"].owner.n_runs == 1

    async def test_a_stopping_owner_is_followed_by_the_next(
        self, hosts, autojump_clock
    ):
        """The next owner runs a request that was still queued at a stopping one."""
        hosts.nodes["b-1"].owner.outcome = STOPPING
        ticket = await hosts.issue()
        assert isinstance(await hosts.run(ticket), RunResult)

    async def test_a_silent_owner_is_found_before_the_request_is_sent(
        self, hosts, autojump_clock
    ):
        """An idle channel to the owner is dead; the next owner runs the request.

        Without a ping first, the request would be lost on it and end as "unknown".
        """
        await hosts.run(await hosts.issue())
        await trio.sleep(5.0)
        ticket = await hosts.issue()
        hosts.pause("b-1")
        assert isinstance(await hosts.run(ticket), RunResult)
        hosts.resume()
        await trio.sleep(5.0)
        assert hosts.n_runs == 2

    async def test_nothing_is_sent_after_the_deadline(self, hosts, autojump_clock):
        """The issuer is paused past the deadline before it sends the request.

        It must not send it then: its caller has been answered long before.
        """
        ticket = await hosts.issue()
        fleet = hosts.nodes["a-1"].fleet
        fleet.rank = lambda group: hosts.clock.jump(10.0) or fleet.ranked
        assert is_not_run(await hosts.run(ticket), Reason.DEADLINE)
        assert hosts.n_runs == 0


class TestStop:
    async def test_unstarted_tickets_are_void_at_once(self, hosts, autojump_clock):
        ticket = await hosts.issue()
        await hosts.nodes["a-1"].tickets.drain()
        assert is_not_run(await hosts.run(ticket, "b-1"), Reason.STOPPING)
        hosts.kill("a-1")
        assert is_not_run(await hosts.run(ticket, "b-1"), Reason.ISSUER_LOST)
        assert hosts.n_runs == 0

    async def test_a_run_that_begins_last_is_waited_for(self, hosts, autojump_clock):
        """A request that starts just before the issuer closes is waited for.

        Its outcome must reach the witness before the process ends.
        """
        hosts.nodes["b-1"].owner.seconds = 1.0
        ticket = await hosts.issue()
        hosts.nursery.start_soon(hosts.run, ticket, "b-1")
        await trio.sleep(0.5)
        await hosts.nodes["a-1"].tickets.drain()
        hosts.kill("a-1")
        assert isinstance(await hosts.look_up(ticket, "b-1"), RunResult)

    async def test_a_lost_witness_delays_the_drain_little(self, hosts, autojump_clock):
        """An unreachable witness of thirty outcomes must not delay a planned stop."""
        hosts.pause()
        tickets = [await hosts.issue() for _ in range(30)]
        hosts.pause(get_witness(tickets[0]).host)
        async with trio.open_nursery() as nursery:
            for ticket in tickets:
                nursery.start_soon(hosts.run, ticket)
        with trio.fail_after(4.0):
            await hosts.nodes["a-1"].tickets.drain()


class TestSettings:
    async def test_a_request_to_a_removed_service_is_not_run(
        self, hosts, autojump_clock
    ):
        ticket = await hosts.issue()
        hosts.nodes["a-1"].tickets.replace(make_settings())
        answer = await hosts.run(ticket, "b-1")
        assert is_not_run(answer, Reason.UNKNOWN_SERVICE)
        assert hosts.n_runs == 0

    async def test_limits_of_tickets_are_in_force_without_a_restart(
        self, hosts, autojump_clock
    ):
        """Changed limits apply to the next ticket.

        Read at the start only, an edit would be reported as applied without effect.
        """
        await hosts.issue()
        control = Control(max_tickets=1, ticket_lifetime_ms=60_000)
        tickets = hosts.nodes["a-1"].tickets
        settings = replace(make_settings(LEDGER), control=control)
        tickets.replace(settings)
        refused = await tickets.issue(hosts.request(1.0))
        assert is_not_run(refused, Reason.OVERLOADED)
        tickets.replace(replace(settings, control=Control(max_tickets=2)))
        assert isinstance(await tickets.issue(hosts.request(1.0)), IssuedTicket)
