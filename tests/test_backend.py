"""Connections to a backend server: reuse, distrust, limits and proofs of not run."""

import socket
from contextlib import asynccontextmanager
from dataclasses import dataclass, field, replace
from random import Random

import httpcore
import pytest
import trio
from trio.testing import MockClock

from lavendergap.coordination.calls import Call, FinishCall, ServerReport
from lavendergap.entry.batch import Wanted
from lavendergap.entry.owner import Owner
from lavendergap.state.outcome import Answered, NotRun, Outcome, Reason, Step, Unknown
from lavendergap.state.settings import Address, Host, Server, Settings
from lavendergap.transport.backend import MAX_ANSWER_BYTES, BackendClient
from lavendergap.transport.stream import RequestStream

from .groups import make_group, make_service

ADDRESS = Address(ip="127.0.0.1", port=1)
CALL = Call(
    call_id=1,
    request_id="r-1",
    service="scheduler",
    group="scheduler-00",
    shard="s03",
    version=7,
    deadline=0.0,
    body=b'{"query": "bus"}',
    idempotent=True,
)
CLOSE = b""


@pytest.fixture
def clock():
    """Jump only after a real pause, since the bytes go through the kernel."""
    return MockClock(autojump_threshold=0.005)


@dataclass
class Request:
    """One request as the server saw it, and on which of its connections."""

    connection: int
    path: str
    headers: dict[str, str]


def answer(request: Request, *, body: bytes = b'{"hits": 3}', **changes: str) -> bytes:
    """Write the answer that belongs to a request, with some headers changed."""
    fields = {
        "Attempt": request.headers.get("attempt", ""),
        "Shard": request.headers.get("shard", ""),
        "Index-Version": request.headers.get("index-version", ""),
        "Index-Versions": "6,7",
        "Load": "1/2/0",
        "Content-Length": str(len(body)),
    }
    fields |= {name.replace("_", "-"): value for name, value in changes.items()}
    lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    return f"HTTP/1.1 200 OK\r\n{lines}\r\n".encode() + body


class FakeServer:
    """Answers as `reply` says: bytes are sent, CLOSE closes, None stays silent."""

    def __init__(self):
        self.reply = answer
        self.closes_after_reply = False
        self.delay = 0.0
        self.seen: list[Request] = []
        self.n_connections = 0
        self.n_open = 0
        self.max_open = 0
        self.has_closed = trio.Event()

    async def serve(self, stream: trio.SocketStream) -> None:
        self.n_connections += 1
        number = self.n_connections
        self.n_open += 1
        self.max_open = max(self.max_open, self.n_open)
        try:
            await self._serve(stream, number)
        finally:
            self.n_open -= 1
            await trio.aclose_forcefully(stream)
            self.has_closed.set()

    async def _serve(self, stream: trio.SocketStream, number: int) -> None:
        received = b""
        while data := await stream.receive_some(65_536):
            received += data
            head, end, body = received.partition(b"\r\n\r\n")
            request = read_head(number, head.decode())
            if not end or len(body) < int(request.headers.get("content-length", 0)):
                continue
            received = b""
            self.seen.append(request)
            await trio.sleep(self.delay)
            reply = self.reply(request)
            if reply == CLOSE:
                return
            if reply:
                await stream.send_all(reply)
            if self.closes_after_reply:
                return


def read_head(connection: int, head: str) -> Request:
    first, *lines = head.split("\r\n")
    pairs = [line.split(": ", 1) for line in lines if ": " in line]
    headers = {name.lower(): value for name, value in pairs}
    return Request(connection=connection, path=first.split()[1], headers=headers)


@dataclass
class Bench:
    """A fake server and this process's connections to it."""

    fake: FakeServer
    server: Server
    client: BackendClient
    n_calls: int = 0
    verdicts: list[Outcome] = field(default_factory=list)

    async def call(self, *, within: float = 2.0, fresh: bool = False, **changes):
        self.n_calls += 1
        attempt = f"a-{self.n_calls}".encode()
        deadline = trio.current_time() + within
        call = replace(CALL, deadline=deadline, **changes)
        verdict = await self.client.call(call, attempt=attempt, fresh=fresh)
        self.verdicts.append(verdict.outcome)
        return verdict.outcome

    async def call_at_once(self, n_calls: int) -> list[Outcome]:
        async with trio.open_nursery() as nursery:
            for _ in range(n_calls):
                nursery.start_soon(self.call)
        return self.verdicts[-n_calls:]


@asynccontextmanager
async def open_bench(*, connections: int = 25, idle_limit: float = 15.0):
    fake = FakeServer()
    async with trio.open_nursery() as nursery:
        [listener] = await trio.open_tcp_listeners(0, host="127.0.0.1")
        port = listener.socket.getsockname()[1]
        nursery.start_soon(trio.serve_listeners, fake.serve, [listener])
        server = Server(
            name="scheduler-00-a",
            address=Address(ip="127.0.0.1", port=port),
            data_centre="ptl-a",
            slots=2,
            connections=connections,
        )
        client = BackendClient(server=server, idle_limit=idle_limit)
        yield Bench(fake=fake, server=server, client=client)
        nursery.cancel_scope.cancel()


def unknown(reason: Reason, step: Step = Step.RECEIVE) -> Unknown:
    return Unknown(step=step, peer="scheduler-00-a", reason=reason)


def not_run(step: Step, reason: Reason) -> NotRun:
    return NotRun(step=step, peer="scheduler-00-a", reason=reason)


ANSWERED = Answered(body=b'{"hits": 3}')


class TestReuse:
    async def test_answered_connections_are_used_again(self):
        async with open_bench() as bench:
            assert [await bench.call() for _ in range(3)] == [ANSWERED] * 3
            assert bench.fake.n_connections == bench.client.n_open == 1

    async def test_a_connection_that_the_server_closed_is_not_used(self):
        """A server closes idle connections; a call on one of them would be lost.

        The close has arrived before the next call, so it can be seen: nothing is
        sent there, and the caller sees no failure at all.
        """
        async with open_bench() as bench:
            bench.fake.closes_after_reply = True
            await bench.call()
            await bench.fake.has_closed.wait()
            assert await bench.call() == ANSWERED
            assert bench.fake.n_connections == 2

    async def test_idle_connections_are_closed_in_time(self, clock):
        async with open_bench(idle_limit=3.0) as bench:
            await bench.call_at_once(2)
            await trio.sleep(4.0)
            await bench.client.close_idle(now=trio.current_time())
            assert bench.client.n_open == 0


class TestSilentConnection:
    @pytest.mark.parametrize(("idle", "expected"), [(2.0, 1.0), (0.5, 1.5)])
    async def test_the_call_ends_in_time_for_another_and_siblings_go(
        self, idle, expected, clock
    ):
        """Something between the ends lost track of all open connections.

        The next call is sent on one of them and nothing ever comes back. It ends at
        half its time, or at three quarters where the connection carried an answer
        within the last second, so that the rest is left for a fresh connection; and
        the idle sibling, which went through the same middle, is closed with it.
        """
        async with open_bench() as bench:
            await bench.call_at_once(2)
            await trio.sleep(idle)
            bench.fake.reply = lambda r: answer(r) if r.connection > 2 else None
            start = trio.current_time()
            assert await bench.call() == unknown(Reason.SILENT_CONNECTION)
            taken = trio.current_time() - start
            assert taken == pytest.approx(expected, abs=0.01)
            assert bench.client.n_open == 0
            assert await bench.call(fresh=True) == ANSWERED

    async def test_a_straggler_is_not_taken_for_silence(self, clock):
        """A server that answers all the time takes 0.6 of one call's time.

        Taken for a silent connection the call would be cut, asked once more, and all
        idle connections of a healthy server closed.
        """
        async with open_bench() as bench:
            await bench.call_at_once(2)
            bench.fake.delay = 1.2
            assert await bench.call() == ANSWERED
            assert bench.client.n_open == 2

    async def test_a_slow_server_gets_some_typical_calls_time(self, clock):
        """Each call takes 0.8 of its time, and connections rest between them.

        Half of the time would cut every one of them on a reused connection.
        """
        async with open_bench() as bench:
            bench.fake.delay = 1.6
            for _ in range(12):
                assert await bench.call(fresh=True) == ANSWERED
            await trio.sleep(5.0)
            assert await bench.call() == ANSWERED

    async def test_a_read_is_answered_in_time_all_the_same(self, clock):
        """The same, as the caller of a query sees it: a whole answer, in time.

        The owner retries over a fresh connection to the one server that there is.
        """
        async with open_bench() as bench, trio.open_nursery() as nursery:
            owner = make_owner(bench.server, nursery)
            assert await ask(owner) == ANSWERED
            held = bench.fake.n_connections
            bench.fake.reply = lambda r: answer(r) if r.connection > held else None
            assert await ask(owner) == ANSWERED
            nursery.cancel_scope.cancel()

    async def test_silence_on_a_fresh_connection_is_the_servers(self, clock):
        async with open_bench() as bench:
            bench.fake.reply = lambda r: None
            start = trio.current_time()
            assert await bench.call() == unknown(Reason.DEADLINE)
            assert trio.current_time() - start == pytest.approx(2.0, abs=0.01)


def make_owner(server: Server, nursery: trio.Nursery) -> Owner:
    group = replace(make_group(), servers=(server,))
    host = Host(
        name="h", data_centre="ptl-a", callers=ADDRESS, peers=ADDRESS, admin=ADDRESS
    )
    settings = Settings(
        deployment="cedarlight",
        version=1,
        platform=ADDRESS,
        hosts=(host,),
        services=(make_service(group),),
    )
    return Owner(
        settings=settings, nursery=nursery, random=Random(1), attempt_prefix="h-1"
    )


async def ask(owner: Owner):
    ends: list[FinishCall] = []
    is_done = trio.Event()

    def finish(end: FinishCall, versions: tuple[int, ...]) -> None:
        ends.append(end)
        is_done.set()

    deadline = trio.current_time() + 2.0
    call = replace(CALL, call_id=owner.make_call_id(), deadline=deadline)
    owner.submit([Wanted(call=call, finish=finish)])
    await is_done.wait()
    return ends[0].outcome


class TestAtMostOnce:
    async def test_only_a_recently_proved_connection_is_reused(self, clock):
        """A booking on a stale connection would end as unknown, perhaps run.

        Within a second of an answer the connection is reused; after a longer idle
        time the booking goes over a new one.
        """
        async with open_bench() as bench:
            for idle in (0.0, 0.5, 3.0):
                await trio.sleep(idle)
                assert await bench.call(idempotent=False) == ANSWERED
            assert [r.connection for r in bench.fake.seen] == [1, 1, 2]
            assert {r.path for r in bench.fake.seen} == {"/run"}

    async def test_a_lost_reply_is_unknown(self):
        """The server closes after it got the request, which it may have run."""
        async with open_bench() as bench:
            bench.fake.reply = lambda r: CLOSE
            outcome = await bench.call(idempotent=False)
            assert outcome == unknown(Reason.LOST_CONNECTION)

    async def test_a_refused_connection_is_not_run(self):
        async with open_bench() as bench:
            with socket.socket() as unused:
                unused.bind(("127.0.0.1", 0))
                port = unused.getsockname()[1]
                address = Address(ip="127.0.0.1", port=port)
                bench.client = BackendClient(
                    server=replace(bench.server, address=address), idle_limit=1.0
                )
                assert await bench.call(idempotent=False) == not_run(
                    Step.CONNECT, Reason.REFUSED_CONNECTION
                )
            assert bench.client.n_open == 0

    async def test_a_request_of_which_no_byte_left_is_not_run(self):
        """The head is refused by the library, before anything is sent."""
        async with open_bench() as bench:
            outcome = await bench.call(request_id="r\r\nevil", idempotent=False)
            assert outcome == not_run(Step.SEND, Reason.LOST_CONNECTION)
            assert bench.fake.seen == []


class TestWrongAnswer:
    """An answer that is not provably that of the call is never taken for it."""

    @pytest.mark.parametrize(
        "changes",
        [
            {"Attempt": "a-0"},
            {"Shard": "s04"},
            {"Index_Version": "8"},
            {"body": b'{"hits": 3'},
        ],
    )
    async def test_other_answers_are_dropped(self, changes):
        async with open_bench() as bench:
            bench.fake.reply = lambda r: answer(r, **changes)
            assert await bench.call() == unknown(Reason.WRONG_ANSWER, Step.CHECK)

    @pytest.mark.parametrize(
        "reply",
        [
            b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{}",
            b"HTTP/1.1 200 OK\r\nContent-Le",
            b"220 smtp.example ESMTP\r\n",
        ],
    )
    async def test_a_torn_answer_is_lost(self, reply):
        async with open_bench() as bench:
            bench.fake.reply = lambda r: reply
            bench.fake.closes_after_reply = True
            assert await bench.call() == unknown(Reason.LOST_CONNECTION)

    async def test_an_answer_without_end_is_cut(self):
        """A server gone wrong sends and sends; the process must not take it all."""
        async with open_bench() as bench:
            body = b'"' + b"x" * MAX_ANSWER_BYTES + b'"'
            bench.fake.reply = lambda r: answer(r, body=body)
            assert await bench.call() == unknown(Reason.LOST_CONNECTION)
            assert bench.client.n_open == 0

    async def test_crossed_answers_end_with_their_connection(self):
        """A server answers one request twice; each later answer is one behind.

        The second call gets the copy, whose attempt gives it away. Was the
        connection kept, the third would get the second's answer, and so on.
        """
        async with open_bench() as bench:
            bench.fake.reply = lambda r: answer(r) * (2 if r.connection == 1 else 1)
            assert await bench.call() == ANSWERED
            wrong = unknown(Reason.WRONG_ANSWER, Step.CHECK)
            assert await bench.call() == wrong
            assert await bench.call() == ANSWERED


class TestCancel:
    async def test_an_answer_abandoned_half_way_is_never_read_on(self):
        """A loser of a hedge is cancelled while its answer comes in.

        The rest of that answer would be read as the start of the next one. The
        connection is closed instead, which also tells the server to stop.
        """
        async with open_bench() as bench:
            bench.fake.reply = lambda r: answer(r)[:-4]
            async with trio.open_nursery() as nursery:
                nursery.start_soon(bench.call)
                while not bench.fake.seen:
                    await trio.sleep(0.001)
                await trio.sleep(0.01)
                nursery.cancel_scope.cancel()
            with trio.fail_after(5):
                await bench.fake.has_closed.wait()
            assert (bench.fake.n_open, bench.client.n_open) == (0, 0)
            bench.fake.reply = answer
            assert await bench.call() == ANSWERED
            assert [r.connection for r in bench.fake.seen] == [1, 2]


class TestLimit:
    async def test_connections_never_exceed_the_servers_limit(self):
        """Beyond its limit a server closes connections, some with a call on them."""
        async with open_bench(connections=2) as bench:
            outcomes = await bench.call_at_once(5)
            refused = not_run(Step.CONNECT, Reason.OVERLOADED)
            assert outcomes.count(ANSWERED) == 2
            assert outcomes.count(refused) == 3
            assert await bench.client.probe() is None
            assert bench.fake.max_open == bench.fake.n_connections == 2


class TestProbe:
    @pytest.mark.parametrize(
        ("body", "versions"),
        [
            (b'{"state": "draining", "index_versions": [6, 7]}', (6, 7)),
            (b'{"state": "asleep"}', None),
            (b'{"state": "serving", "index_versions": [-1]}', None),
            (b"<html>", None),
        ],
    )
    async def test_health_is_asked_over_a_fresh_connection(self, body, versions):
        async with open_bench() as bench:
            await bench.call()
            bench.fake.reply = lambda r: answer(r, body=body)
            report = await bench.client.probe()
            expected = versions and ServerReport(
                in_use=0, slots=0, queued=0, state="draining", versions=versions
            )
            assert report == expected
            assert [r.connection for r in bench.fake.seen] == [1, 2]
            assert bench.client.n_open == 1


class TestRequestStream:
    async def test_bytes_that_the_kernel_refused_have_not_left(self):
        """The peer is gone before the first byte: the proof that nothing has run."""
        own, peer = socket.socketpair()
        own.setblocking(False)
        stream = RequestStream(connected=own, max_received=100)
        peer.close()
        await stream.write(b"POST /run")
        with pytest.raises(httpcore.WriteError):
            await stream.read(100)
        assert stream.n_sent == 0
        stream.close()
