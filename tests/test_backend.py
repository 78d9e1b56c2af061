"""Connections to a backend server: reuse, silent connections, limits and outcomes."""

import socket
from contextlib import asynccontextmanager
from dataclasses import dataclass, field, replace
from random import Random

import httpcore
import pytest
import trio
import trio.testing
from trio.testing import MockClock

from lavendergap.coordination.calls import Call, FinishCall, ServerReport
from lavendergap.entry.batch import SubmittedCall
from lavendergap.entry.owner import Owner
from lavendergap.protocol.backend import DEFAULT_RETRY_AFTER_MS
from lavendergap.state.outcome import Answered, NotRun, Outcome, Reason, Step, Unknown
from lavendergap.state.settings import Address, Host, Server, Settings
from lavendergap.transport.backend import MAX_ANSWER_BYTES, BackendClient
from lavendergap.transport.stream import RequestStream

from .earlyservers import BUFFERED_BODY, UNSENT_BODY, EarlyServer, open_server
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
    """A clock that jumps only after a real pause, since data passes the kernel."""
    return MockClock(autojump_threshold=0.005)


@dataclass
class Request:
    """A request that the server received, with the number of its connection."""

    connection: int
    path: str
    headers: dict[str, str]


def answer(request: Request, *, body: bytes = b'{"hits": 3}', **changes: str) -> bytes:
    """Return the valid answer to a request, with some headers changed."""
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
    """Sends what `reply` returns; CLOSE closes the connection, None sends nothing."""

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
    """A fake server and a client of it."""

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
async def open_bench(*, connections: int = 25, idle_timeout_s: float = 15.0):
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
        client = BackendClient(server=server, idle_timeout_s=idle_timeout_s)
        yield Bench(fake=fake, server=server, client=client)
        nursery.cancel_scope.cancel()


def unknown(reason: Reason, step: Step = Step.RECEIVE) -> Unknown:
    return Unknown(step=step, peer="scheduler-00-a", reason=reason)


def not_run(step: Step, reason: Reason) -> NotRun:
    return NotRun(step=step, peer="scheduler-00-a", reason=reason)


ANSWERED = Answered(body=b'{"hits": 3}')


class TestReuse:
    async def test_connections_are_reused_after_an_answer(self):
        async with open_bench() as bench:
            assert [await bench.call() for _ in range(3)] == [ANSWERED] * 3
            assert bench.fake.n_connections == bench.client.n_open == 1

    async def test_a_connection_that_the_server_closed_is_not_used(self):
        """A call on a connection that the server has closed would be lost."""
        async with open_bench() as bench:
            bench.fake.closes_after_reply = True
            await bench.call()
            await bench.fake.has_closed.wait()
            assert await bench.call() == ANSWERED
            assert bench.fake.n_connections == 2

    async def test_idle_connections_are_closed_in_time(self, clock):
        async with open_bench(idle_timeout_s=3.0) as bench:
            await bench.call_at_once(2)
            await trio.sleep(4.0)
            await bench.client.close_idle(now=trio.current_time())
            assert bench.client.n_open == 0


class TestSilentConnection:
    @pytest.mark.parametrize(("idle", "expected"), [(2.0, 1.0), (0.5, 1.5)])
    async def test_a_silent_connection_leaves_time_for_a_retry_and_idle_ones_close(
        self, idle, expected, clock
    ):
        """All open connections are silent, so that a call on one gets no answer.

        The call has to end early enough for a retry over a new connection.
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

    async def test_a_slow_answer_is_not_taken_for_silence(self, clock):
        """A slow call on a recently used connection must not be cut off.

        It would be retried, and all idle connections of a healthy server closed.
        """
        async with open_bench() as bench:
            await bench.call_at_once(2)
            bench.fake.delay = 1.2
            assert await bench.call() == ANSWERED
            assert bench.client.n_open == 2

    async def test_the_timeout_allows_for_the_mean_latency_of_a_slow_server(
        self, clock
    ):
        """Half of the time left would be too short for each call to a slow server."""
        async with open_bench() as bench:
            bench.fake.delay = 1.6
            for _ in range(12):
                assert await bench.call(fresh=True) == ANSWERED
            await trio.sleep(5.0)
            assert await bench.call() == ANSWERED

    async def test_a_read_is_retried_and_answered_in_time(self, clock):
        """After a silent connection, a retry over a new one answers the query."""
        async with open_bench() as bench, trio.open_nursery() as nursery:
            owner = make_owner(bench.server, nursery)
            assert await ask(owner) == ANSWERED
            held = bench.fake.n_connections
            bench.fake.reply = lambda r: answer(r) if r.connection > held else None
            assert await ask(owner) == ANSWERED
            nursery.cancel_scope.cancel()

    async def test_silence_on_a_new_connection_ends_at_the_deadline(self, clock):
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
    owner.submit([SubmittedCall(call=call, finish=finish)])
    await is_done.wait()
    return ends[0].outcome


class TestAtMostOnce:
    async def test_only_a_recently_used_connection_is_reused(self, clock):
        """On a stale connection the outcome of such a request would be unknown."""
        async with open_bench() as bench:
            for idle in (0.0, 0.5, 3.0):
                await trio.sleep(idle)
                assert await bench.call(idempotent=False) == ANSWERED
            assert [r.connection for r in bench.fake.seen] == [1, 1, 2]
            assert {r.path for r in bench.fake.seen} == {"/run"}

    async def test_a_lost_reply_is_unknown(self):
        """The server closes after the request, which it may have run."""
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
                    server=replace(bench.server, address=address), idle_timeout_s=1.0
                )
                assert await bench.call(idempotent=False) == not_run(
                    Step.CONNECT, Reason.REFUSED_CONNECTION
                )
            assert bench.client.n_open == 0

    async def test_an_unsent_request_is_not_run(self):
        """The HTTP library rejects the headers before anything is sent."""
        async with open_bench() as bench:
            outcome = await bench.call(request_id="r\r\nevil", idempotent=False)
            assert outcome == not_run(Step.SEND, Reason.LOST_CONNECTION)
            assert bench.fake.seen == []


class TestEarlyAnswers:
    @asynccontextmanager
    async def open(self, *, closes: bool = False):
        reply = b"HTTP/1.1 503 Full\r\nAttempt: a-1\r\nOutcome: not-run\r\n"
        reply += b"Content-Length: 0\r\n\r\n"

        def answer_head(head: bytes) -> bytes:
            return answer(read_head(0, head.decode()))

        early = EarlyServer(reply, answer=answer_head, closes=closes)
        async with open_server(early.serve) as (server, _):
            client = BackendClient(server=server, idle_timeout_s=15.0)
            yield early, Bench(fake=FakeServer(), server=server, client=client)

    @pytest.mark.parametrize("body", [UNSENT_BODY, BUFFERED_BODY], ids=["long", "sent"])
    async def test_an_early_rejection_is_read_at_once(self, body):
        # Guards against "unknown" at the deadline for a request that has not run, and
        # against another request's bytes where the rest of the body is due.
        async with self.open() as (early, bench):
            started = trio.current_time()
            outcome = await bench.call(body=body, idempotent=False)
            assert outcome == NotRun(
                step=Step.RECEIVE,
                peer="i-1",
                reason=Reason.SHED,
                retry_after_ms=DEFAULT_RETRY_AFTER_MS,
            )
            assert trio.current_time() - started < 1.0
            assert await bench.call(idempotent=False) == ANSWERED
            assert early.n_connections == 2
            early.may_read.set()
            await trio.testing.wait_all_tasks_blocked(0.05)
            assert set(early.bodies[-1]) == {ord("x")}

    async def test_an_early_rejection_is_read_although_the_server_resets(self):
        # Guards against "unknown" for a request that the server states it has not run.
        for _ in range(20):
            async with self.open(closes=True) as (_, bench):
                outcome = await bench.call(body=UNSENT_BODY, idempotent=False)
                assert isinstance(outcome, NotRun)


def refuse(attempt: str | None) -> bytes:
    name = f"Attempt: {attempt}\r\n" if attempt else ""
    head = f"HTTP/1.1 503 Full\r\n{name}Outcome: not-run\r\nContent-Length: 0\r\n\r\n"
    return head.encode()


class TestLateCopies:
    @pytest.mark.parametrize("is_named", [True, False], ids=["named", "nameless"])
    @pytest.mark.parametrize("comes_at_once", [True, False], ids=["at once", "late"])
    async def test_the_copy_of_a_refusal_proves_nothing_of_the_next_call(
        self, is_named, comes_at_once
    ):
        # Guards against "not run" for another caller's booking that runs: the server
        # sends a refusal again, at once or where the next answer is due.
        async with open_bench() as bench:
            copy = refuse("a-1" if is_named else None)
            first = copy if is_named else answer(Request(1, "", {"attempt": "a-1"}))
            second = answer(Request(1, "", {"attempt": "a-2"}))
            replies = [first, copy + second]
            if comes_at_once:
                replies = [first + copy, second]
            bench.fake.reply = lambda r: replies[len(bench.fake.seen) - 1]
            await bench.call(idempotent=False)
            outcome = await bench.call(idempotent=False)
            if comes_at_once:
                # Bytes after an answer close its connection before the next call.
                assert outcome == ANSWERED
            else:
                assert isinstance(outcome, Unknown)
            await trio.testing.wait_all_tasks_blocked(0.05)
            assert len(bench.fake.seen) == 2
            assert bench.client.n_open == comes_at_once


class TestWrongAnswer:
    """An answer that does not match the call must not be returned for it."""

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
    async def test_a_truncated_answer_is_lost(self, reply):
        async with open_bench() as bench:
            bench.fake.reply = lambda r: reply
            bench.fake.closes_after_reply = True
            assert await bench.call() == unknown(Reason.LOST_CONNECTION)

    async def test_an_endless_answer_is_cut_off(self):
        """An endless answer of a faulty server must not exhaust the memory."""
        async with open_bench() as bench:
            body = b'"' + b"x" * MAX_ANSWER_BYTES + b'"'
            bench.fake.reply = lambda r: answer(r, body=body)
            assert await bench.call() == unknown(Reason.LOST_CONNECTION)
            assert bench.client.n_open == 0

    async def test_crossed_answers_end_with_their_connection(self):
        """A server answers one request twice, so that later answers are off by one.

        If the connection were reused, each call would get the previous one's answer, or
        would be lost as its own answer is due later.
        """
        async with open_bench() as bench:
            bench.fake.reply = lambda r: answer(r) * (2 if r.connection == 1 else 1)
            assert await bench.call() == ANSWERED
            assert bench.client.n_open == 0
            assert await bench.call() == ANSWERED
            assert await bench.call() == ANSWERED
            assert bench.fake.n_connections == 2


class TestCancel:
    async def test_an_abandoned_answer_is_not_read_by_the_next_request(self):
        """A hedged call is cancelled while its answer is being received.

        The rest of that answer would be read as the start of the next one.
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
        """A server closes connections beyond its limit, including those in use."""
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
    async def test_health_is_queried_over_a_new_connection(self, body, versions):
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
    async def test_bytes_refused_by_the_kernel_are_not_counted_as_sent(self):
        """A request of which no byte was sent cannot have run."""
        own, peer = socket.socketpair()
        own.setblocking(False)
        stream = RequestStream(connected=own, max_received=100)
        peer.close()
        await stream.write(b"POST /run")
        with pytest.raises(httpcore.WriteError):
            await stream.read(100)
        assert stream.n_sent == 0
        stream.close()
