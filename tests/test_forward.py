"""Connections that forward requests unchanged, to a server with scripted answers."""

import socket
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import replace

import pytest
import trio
import trio.testing

from lavendergap.coordination import reuse
from lavendergap.coordination.calls import Call
from lavendergap.protocol.backend import Verdict
from lavendergap.state.forwarding import ForwardedRequest
from lavendergap.state.outcome import Answered, NotRun, Reason, Unknown
from lavendergap.state.settings import Address, Server
from lavendergap.transport import forward
from lavendergap.transport.forward import ForwardClient
from tests.earlyservers import BUFFERED_BODY, UNSENT_BODY, EarlyServer, open_server
from tests.headers import NAMES

LIMIT = 2.0

Serve = Callable[[trio.SocketStream, bytes], Awaitable[None]]


def answer(attempt: bytes = b"r1", body: bytes = b"whole", extra: bytes = b"") -> bytes:
    head = b"HTTP/1.1 200 OK\r\nx-attempt: %s\r\nx-proof: p\r\n%s" % (attempt, extra)
    return head + b"content-length: %d\r\n\r\n" % len(body) + body


def make_call(attempt: bytes = b"r1", *, idempotent: bool = True, body=b"") -> Call:
    return Call(
        call_id=1,
        request_id=attempt.decode(),
        service="s",
        group="s",
        shard="s",
        version=0,
        deadline=trio.current_time() + LIMIT,
        body=body,
        idempotent=idempotent,
        forward=ForwardedRequest(
            method=b"POST" if body else b"GET",
            target=b"/a/b?c=%20d",
            attempt=attempt,
            headers=((b"host", b"a.example"), (b"x-attempt", attempt), (b"x-o", b"1")),
        ),
    )


class Bench:
    """A client of a server with scripted answers."""

    def __init__(
        self,
        *,
        client: ForwardClient,
        requests: list[bytes],
        listening: trio.CancelScope,
    ) -> None:
        self.client = client
        self.requests = requests
        self.listening = listening
        self.n_connections = 0

    async def call(self, call: Call | None = None, *, fresh: bool = False) -> Verdict:
        return await self.client.call(call or make_call(), attempt=b"", fresh=fresh)


@asynccontextmanager
async def open_bench(*script: bytes | None):
    """Yield the bench; None in the script closes the connection without an answer.

    "end" closes the port first, like the end of the server's process.
    """
    answers = list(script)
    requests: list[bytes] = []

    async def serve(stream: trio.SocketStream) -> None:
        bench.n_connections += 1
        while answers:
            data = b""
            while b"\r\n\r\n" not in data:
                more = await stream.receive_some(65_536)
                if not more:
                    return
                data += more
            requests.append(data)
            reply = answers.pop(0)
            if reply is None:
                return
            if reply == b"end":
                bench.listening.cancel()
                await trio.testing.wait_all_tasks_blocked()
                return
            if reply == b"silence":
                await trio.sleep_forever()
            await stream.send_all(reply)
            if b"content-length" not in reply:
                return

    async with trio.open_nursery() as nursery:
        [listener] = await trio.open_tcp_listeners(0, host="127.0.0.1")
        listening = trio.CancelScope()
        nursery.start_soon(_listen, listener, _closing(serve), nursery, listening)
        port = listener.socket.getsockname()[1]
        server = Server(
            name="i-1",
            address=Address(ip="127.0.0.1", port=port),
            data_centre="ptl-a",
            slots=2,
            connections=2,
        )
        client = ForwardClient(
            server=server, idle_timeout_s=10.0, names=NAMES, nursery=nursery
        )
        bench = Bench(client=client, requests=requests, listening=listening)
        yield bench
        await client.close()
        nursery.cancel_scope.cancel()


async def _listen(
    listener: trio.SocketListener,
    handle,
    nursery: trio.Nursery,
    listening: trio.CancelScope,
) -> None:
    with listening:
        async with listener:
            await trio.serve_listeners(handle, [listener], handler_nursery=nursery)


def _closing(serve):
    async def handle(stream: trio.SocketStream) -> None:
        async with stream:
            await serve(stream)

    return handle


class TestUnchanged:
    async def test_the_request_is_forwarded_unchanged(self):
        async with open_bench(answer()) as bench:
            verdict = await bench.call(make_call(body=b"{}"))
            assert isinstance(verdict.outcome, Answered)
            assert verdict.outcome.body == b"whole"
            [request] = bench.requests
            assert request.startswith(b"POST /a/b?c=%20d HTTP/1.1\r\n")
            assert request.endswith(b"\r\n\r\n{}")
            for line in (b"host: a.example", b"x-attempt: r1", b"x-o: 1"):
                assert line in request.lower()
            assert b"x-expected: i-1" in request.lower()

    async def test_connections_are_reused(self):
        async with open_bench(*[answer()] * 5) as bench:
            for _ in range(5):
                assert isinstance((await bench.call()).outcome, Answered)
            assert bench.n_connections == 1


class TestBytesThatBelongToNoRequest:
    async def test_a_duplicate_answer_is_not_used_for_the_next_request(self):
        # If a server sends its answer twice, the copy must not be read as the answer to
        # another caller's request.
        async with open_bench(answer() * 2, answer(b"r2", b"own")) as bench:
            await bench.call()
            verdict = await bench.call(make_call(b"r2"))
            assert isinstance(verdict.outcome, Answered)
            assert verdict.outcome.body == b"own"
            assert bench.n_connections == 2

    async def test_a_late_answer_to_another_request_is_rejected(self):
        async with open_bench(answer(b"r0"), answer(b"r2", b"own")) as bench:
            verdict = await bench.call()
            assert isinstance(verdict.outcome, Unknown)
            assert verdict.outcome.reason is Reason.WRONG_ANSWER
            assert isinstance((await bench.call(make_call(b"r2"))).outcome, Answered)
            assert bench.n_connections == 2

    async def test_an_answer_without_proof_is_rejected(self):
        plain = b"HTTP/1.1 200 OK\r\nx-attempt: r1\r\ncontent-length: 0\r\n\r\n"
        async with open_bench(plain) as bench:
            verdict = await bench.call()
            assert isinstance(verdict.outcome, Unknown)


@asynccontextmanager
async def open_client(serve):
    async with open_server(serve) as (server, nursery):
        yield ForwardClient(
            server=server, idle_timeout_s=10.0, names=NAMES, nursery=nursery
        )


@asynccontextmanager
async def open_early_bench(reply: bytes, *, closes: bool = False):
    def answer_head(head: bytes) -> bytes:
        return answer(head.partition(b"x-attempt: ")[2].split(b"\r\n")[0])

    early = EarlyServer(reply, answer=answer_head, closes=closes)
    async with open_client(early.serve) as client:
        yield early, client


def reject(status: int = 503, *, is_marked: bool = True, attempt: bytes = b"r1"):
    mark = b"x-not-run: 1\r\n" if is_marked else b""
    head = b"HTTP/1.1 %d No\r\nx-attempt: %s\r\n%s" % (status, attempt, mark)
    return head + b"content-length: 0\r\n\r\n"


async def call(client: ForwardClient, attempt: bytes, body: bytes, **changes) -> object:
    made = make_call(attempt, body=body, **changes)
    return (await client.call(made, attempt=b"", fresh=False)).outcome


class TestEarlyAnswers:
    @pytest.mark.parametrize(
        ("reply", "expected"),
        [
            pytest.param(reject(503), NotRun, id="503"),
            pytest.param(reject(429), NotRun, id="429"),
            pytest.param(reject(421), NotRun, id="421"),
            pytest.param(reject(500, is_marked=False), Unknown, id="500"),
            pytest.param(answer(), Answered, id="200"),
        ],
    )
    @pytest.mark.parametrize("body", [UNSENT_BODY, BUFFERED_BODY], ids=["long", "sent"])
    async def test_no_request_follows_one_that_the_server_may_not_have_read(
        self, reply, expected, body
    ):
        # Guards against another request's bytes where the rest of a body is due.
        async with open_early_bench(reply) as (early, client):
            outcome = await call(client, b"r1", body, idempotent=False)
            assert isinstance(outcome, expected)
            is_read = expected is Answered and body is BUFFERED_BODY
            if not is_read:
                outcome = await call(client, b"r2", body, idempotent=False)
                assert isinstance(outcome, Answered)
                assert early.n_connections == 2
            early.may_read.set()
            with trio.move_on_after(1.0):
                while len(early.bodies) < 1 + (not is_read):
                    await trio.sleep(0.01)
            assert all(set(received) == {ord("x")} for received in early.bodies)

    async def test_a_second_long_request_does_not_end_the_process(self):
        # Guards against two tasks that wait for one socket, for which trio raises.
        async with open_early_bench(reject()) as (early, client):
            for attempt in (b"r1", b"r2", b"r3"):
                await call(client, attempt, UNSENT_BODY, idempotent=False)

    async def test_an_early_rejection_is_read_although_the_server_resets(self):
        # Guards against "unknown" for a request that the server states it has not run.
        for _ in range(20):
            async with open_early_bench(reject(), closes=True) as (_, client):
                outcome = await call(client, b"r1", UNSENT_BODY, idempotent=False)
                assert isinstance(outcome, NotRun)

    async def test_the_next_attempt_may_use_the_place_of_the_closed_connection(self):
        # Guards against "overloaded" while the only connection is one to be closed.
        async with open_early_bench(reject()) as (_, client):
            client.server = replace(client.server, connections=1)
            ended: list[Verdict] = []

            def end(verdict: Verdict) -> None:
                ended.append(verdict)
                if len(ended) == 1:
                    client.begin(make_call(b"r2"), fresh=False, end=end)

            client.begin(make_call(body=UNSENT_BODY), fresh=False, end=end)
            with trio.fail_after(LIMIT):
                while len(ended) < 2:
                    await trio.sleep(0.01)
            assert [type(v.outcome) for v in ended] == [NotRun, Answered]

    async def test_rejections_of_short_requests_cost_no_connection(self):
        # Guards against a new connection for each rejection of an overloaded server.
        script = [reject(attempt=b"r%d" % n) for n in range(5)]
        async with open_bench(*script) as bench:
            for n in range(5):
                await bench.call(make_call(b"r%d" % n, body=b"{}"))
            assert bench.n_connections == 1


class CopyingServer:
    """Rejects the first request, and sends the rejection again at the next one."""

    def __init__(self, rejection: bytes) -> None:
        self.rejection = rejection
        self.runs: Counter[bytes] = Counter()
        self.n_connections = 0
        self.n_rejected = 0

    async def serve(self, stream: trio.SocketStream) -> None:
        self.n_connections += 1
        late = b""
        while data := await stream.receive_some(65_536):
            attempt = data.partition(b"x-attempt: ")[2].split(b"\r\n")[0]
            if not self.n_rejected:
                self.n_rejected += 1
                late = self.rejection
                await stream.send_all(late)
                continue
            self.runs[attempt] += 1
            await stream.send_all(late + answer(attempt))
            late = b""


class TestLateCopies:
    @asynccontextmanager
    async def open(self, rejection: bytes):
        copying = CopyingServer(rejection)
        async with open_client(copying.serve) as client:
            yield copying, client

    @pytest.mark.parametrize("idempotent", [False, True], ids=["once", "idempotent"])
    @pytest.mark.parametrize("status", [400, 421, 429, 503])
    async def test_the_copy_of_a_rejection_is_not_taken_for_the_next_answer(
        self, status, idempotent
    ):
        # Guards against "not run" for a request that the server runs: its attempts have
        # one id, so that on one connection the copy looks like the answer.
        async with self.open(reject(status)) as (copying, client):
            for expected in (NotRun, Answered):
                outcome = await call(client, b"r1", b"{}", idempotent=idempotent)
                assert isinstance(outcome, expected)
            assert copying.runs[b"r1"] == 1
            assert copying.n_connections == 2

    async def test_the_copy_of_a_failure_is_not_taken_for_the_next_answer(self):
        failure = reject(500, is_marked=False)
        async with self.open(failure) as (_, client):
            assert isinstance(await call(client, b"r1", b"{}"), Unknown)
            assert isinstance(await call(client, b"r1", b"{}"), Answered)

    @pytest.mark.parametrize("status", [200, 429, 500, 503])
    async def test_a_copy_does_not_cost_the_next_request_its_answer(self, status):
        # Guards against "unknown" for another caller's request that the server answers.
        copy = answer() if status == 200 else reject(status, is_marked=status != 500)
        async with self.open(copy) as (copying, client):
            await call(client, b"r1", b"{}", idempotent=False)
            for attempt in (b"r2", b"r3"):
                outcome = await call(client, attempt, b"{}", idempotent=False)
                assert isinstance(outcome, Answered)
            assert copying.runs == {b"r2": 1, b"r3": 1}
            assert copying.n_connections == 2

    async def test_a_copy_without_an_id_proves_nothing_on_a_used_connection(self):
        # Guards against "not run" for another caller's request that the server runs.
        nameless = reject(attempt=b"").replace(b"x-attempt: \r\n", b"")
        async with open_bench(answer(), nameless, nameless) as bench:
            assert isinstance((await bench.call()).outcome, Answered)
            outcome = (await bench.call(make_call(b"r2", idempotent=False))).outcome
            assert isinstance(outcome, Unknown)
            assert outcome.reason is Reason.WRONG_ANSWER
            outcome = (await bench.call(make_call(b"r3", idempotent=False))).outcome
            assert isinstance(outcome, NotRun)
            assert bench.n_connections == 2

    async def test_a_connection_with_many_rejections_is_replaced(self, monkeypatch):
        # Guards against a memory that grows while a server rejects requests.
        monkeypatch.setattr(reuse, "MAX_FAILED_ATTEMPTS", 3)
        async with open_bench(*[reject(attempt=b"r%d" % n) for n in range(8)]) as bench:
            for n in range(8):
                await bench.call(make_call(b"r%d" % n))
            assert bench.n_connections == 2

    @pytest.mark.parametrize("status", [408, 429])
    async def test_an_unmarked_status_is_not_passed_on_as_a_promise(self, status):
        # Guards against "not run" to callers without the server's own statement.
        async with open_bench(reject(status, is_marked=False)) as bench:
            single = replace(make_call(idempotent=False), shard="")
            assert isinstance((await bench.call(single)).outcome, Unknown)


class TestTornAnswers:
    async def test_a_truncated_answer_closes_its_connection(self):
        torn = answer(body=b"0123456789")[:-4]

        async with open_bench(torn, None) as bench:
            with trio.move_on_after(0.2):
                await bench.call()
            assert bench.client.n_open == 0

    async def test_an_answer_without_length_ends_with_its_connection(self):
        body = b"HTTP/1.1 200 OK\r\nx-attempt: r1\r\nx-proof: p\r\n\r\nall of it"
        async with open_bench(body) as bench:
            verdict = await bench.call()
            assert isinstance(verdict.outcome, Answered)
            assert verdict.outcome.body == b"all of it"
            assert bench.client.n_open == 0

    async def test_bytes_that_are_no_answer(self):
        async with open_bench(b"garbage content-length\r\n\r\n") as bench:
            verdict = await bench.call()
            assert isinstance(verdict.outcome, Unknown)
            assert bench.client.n_open == 0


class TestWhetherItRan:
    @pytest.mark.parametrize("status", [503, 429, 400])
    async def test_the_not_run_header_of_a_server_is_trusted(self, status):
        shed = b"HTTP/1.1 %d No\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n" % status
        async with open_bench(shed) as bench:
            assert isinstance((await bench.call()).outcome, NotRun)

    async def test_another_server_at_the_address_has_not_run_it(self):
        other = b"HTTP/1.1 421 No\r\nx-server: i-2\r\ncontent-length: 0\r\n\r\n"
        async with open_bench(other) as bench:
            outcome = (await bench.call()).outcome
            assert isinstance(outcome, NotRun)
            assert outcome.reason is Reason.NO_REPLICA

    async def test_a_failure_without_the_not_run_header_may_have_run(self):
        failed = b"HTTP/1.1 503 No\r\nx-attempt: r1\r\ncontent-length: 0\r\n\r\n"
        async with open_bench(failed) as bench:
            assert isinstance((await bench.call()).outcome, Unknown)

    async def test_a_connection_closed_after_the_request_may_have_run(self):
        async with open_bench(None) as bench:
            outcome = (await bench.call()).outcome
            assert isinstance(outcome, Unknown)
            assert outcome.reason is Reason.LOST_CONNECTION

    async def test_a_server_that_ended_is_distinguished_from_a_lost_connection(self):
        # A server that accepts no new connection has ended, possibly because of the
        # request; one that only closed the connection has not.
        async with open_bench(answer(), b"end") as bench:
            await bench.call()
            outcome = (await bench.call()).outcome
            assert isinstance(outcome, Unknown)
            assert outcome.reason is Reason.SERVER_ENDED
            assert bench.client.n_open == 0

    async def test_the_connection_of_the_liveness_check_is_reused(self):
        async with open_bench(None, answer()) as bench:
            assert isinstance((await bench.call()).outcome, Unknown)
            assert isinstance((await bench.call()).outcome, Answered)
            assert bench.n_connections == 2

    async def test_a_refused_connection_has_not_run(self, nursery):
        async with open_bench() as bench:
            server = bench.client.server
            closed = Server(
                name=server.name,
                address=Address(ip="127.0.0.1", port=1),
                data_centre="ptl-a",
                slots=2,
                connections=2,
            )
            client = ForwardClient(
                server=closed, idle_timeout_s=10.0, names=NAMES, nursery=nursery
            )
            verdict = await client.call(make_call(), attempt=b"", fresh=False)
            assert isinstance(verdict.outcome, NotRun)
            assert client.n_open == 0


class TestCancelling:
    async def test_an_abandoned_request_closes_its_connection(self):
        # After a cancelled request, its late answer must not be read as that of the
        # next one.
        async with open_bench(b"silence", answer(b"r2")) as bench:
            with trio.move_on_after(0.1):
                await bench.call()
            assert bench.client.n_open == 0
            assert isinstance((await bench.call(make_call(b"r2"))).outcome, Answered)

    async def test_a_closed_client_keeps_no_connection(self):
        async with open_bench(answer()) as bench:
            await bench.client.close()
            assert isinstance((await bench.call()).outcome, Answered)
            assert bench.client.n_open == 0


class TestIdleConnections:
    async def test_the_server_s_keep_alive_timeout_is_respected(self):
        short = answer(extra=b"keep-alive: timeout=0\r\n")
        async with open_bench(short, answer()) as bench:
            await bench.call()
            await bench.call()
            assert bench.n_connections == 2

    async def test_no_more_connections_than_allowed(self):
        async with (
            open_bench(b"silence", b"silence") as bench,
            trio.open_nursery() as nursery,
        ):
            nursery.start_soon(bench.call)
            nursery.start_soon(bench.call)
            await trio.sleep(0.1)
            outcome = (await bench.call()).outcome
            assert isinstance(outcome, NotRun)
            assert outcome.reason is Reason.OVERLOADED
            nursery.cancel_scope.cancel()

    @pytest.mark.parametrize("fresh", [True, False])
    async def test_idle_connections_make_room_for_a_new_one(
        self, fresh, autojump_clock
    ):
        # Guards against refusing a call because idle connections that it may not reuse
        # fill the limit: they are too old for a call that must not run twice, or an
        # earlier attempt lost its connection.
        async with open_bench(*[answer()] * 6) as bench:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(bench.call)
                nursery.start_soon(bench.call)
            await trio.sleep(0.0 if fresh else forward.MAX_TRUSTED_IDLE_S + 0.5)
            call = make_call(idempotent=fresh)
            assert isinstance((await bench.call(call, fresh=fresh)).outcome, Answered)
            assert (bench.n_connections, bench.client.n_open) == (3, 2)

    async def test_the_connection_of_the_liveness_check_is_left_to_the_next_call(self):
        # Guards against refusing a call because the check still holds a connection.
        async with open_bench(answer(), answer(), None, answer()) as bench:
            bench.client.server = replace(bench.client.server, connections=1)
            await bench.call()
            ended: list[Verdict] = []

            def end(verdict: Verdict) -> None:
                ended.append(verdict)
                if len(ended) == 1:
                    bench.client.begin(make_call(), fresh=False, end=end)

            await bench.call()
            bench.client.begin(make_call(), fresh=False, end=end)
            await trio.sleep(0.1)
            assert [type(v.outcome) for v in ended] == [Unknown, Answered]


class TestDeadlineWhileConnecting:
    async def test_deadline_passes_while_connecting(self, monkeypatch, autojump_clock):
        # A deadline that passes while connecting leaves a negative time, which must not
        # end the process.
        async with open_bench(answer(b"r2")) as bench:
            connect = forward._connect

            async def connect_slowly(server):
                connected = await connect(server)
                autojump_clock.jump(LIMIT + 0.001)
                return connected

            monkeypatch.setattr(forward, "_connect", connect_slowly)
            call = replace(make_call(), deadline=trio.current_time() + 0.2)
            outcome = (await bench.call(call)).outcome
            assert isinstance(outcome, NotRun)
            assert outcome.reason is Reason.DEADLINE
            assert bench.requests == []

    async def test_deadline_passes_before_connecting(self):
        # On a busy event loop the deadline may pass before the connecting task runs. A
        # negative timeout must not end the process.
        async with open_bench(answer()) as bench:
            ended: list[Verdict] = []
            call = replace(make_call(), deadline=trio.current_time() + 0.001)
            bench.client.begin(call, fresh=False, end=ended.append)
            time.sleep(0.005)
            await trio.sleep(0.05)
            [verdict] = ended
            assert isinstance(verdict.outcome, NotRun)
            assert bench.requests == []

    async def test_an_unexpected_error_loses_only_the_attempt(self, monkeypatch):
        async def fail(server):
            raise RuntimeError("a fault in this program")

        async with open_bench(answer()) as bench:
            monkeypatch.setattr(forward, "_connect", fail)
            outcome = (await bench.call()).outcome
            assert isinstance(outcome, NotRun)
            assert bench.client.n_open == 0


class StepCounter(trio.abc.Instrument):
    """Counts the steps of connections and of the watcher, and all new tasks."""

    def __init__(self) -> None:
        self.n_steps = 0
        self.n_watcher_steps = 0
        self.n_tasks = 0

    def task_spawned(self, task: trio.lowlevel.Task) -> None:
        self.n_tasks += 1

    def before_task_step(self, task: trio.lowlevel.Task) -> None:
        self.n_steps += "ForwardClient" in task.name
        self.n_watcher_steps += "InputWatcher" in task.name


class TestOneTaskPerConnection:
    async def test_a_close_is_detected_before_the_next_request(self):
        # A server closes idle connections. If that were detected only by the next
        # request, this request would be lost.
        async with open_bench(answer()) as bench:
            await bench.call()
            await trio.testing.wait_all_tasks_blocked(0.05)
            assert bench.client.n_open == 0

    async def test_an_attempt_takes_one_step(self):
        # Steps of the event loop are most of the cost of a call.
        async with open_bench(*[answer()] * 40) as bench:
            await bench.call()
            counter = StepCounter()
            trio.lowlevel.add_instrument(counter)
            ended: list[Verdict] = []
            for n_ended in range(1, 31):
                bench.client.begin(make_call(), fresh=False, end=ended.append)
                while len(ended) < n_ended:
                    await trio.sleep(0.001)
            trio.lowlevel.remove_instrument(counter)
            assert bench.n_connections == 1
            assert (counter.n_steps, counter.n_tasks) == (0, 0)
            assert counter.n_watcher_steps == 30

    async def test_answers_that_arrive_together_take_one_step(self):
        # A query's answers would each cost a step and a registration with the kernel.
        async with open_bench(*[answer()] * 6) as bench:
            ended: list[Verdict] = []
            for _ in range(2):
                bench.client.begin(make_call(), fresh=True, end=ended.append)
            while len(ended) < 2:
                await trio.sleep(0.001)
            counter = StepCounter()
            trio.lowlevel.add_instrument(counter)
            for _ in range(2):
                bench.client.begin(make_call(), fresh=False, end=ended.append)
            while len(ended) < 4:
                await trio.sleep(0.001)
            assert counter.n_watcher_steps == 1

    async def test_an_unexpected_error_is_logged_and_ends_its_connection(self, caplog):
        # Raised in a task of the process, it would cut the requests of all callers.
        def fail(verdict: Verdict) -> None:
            raise ArithmeticError

        async with open_bench(answer(), answer()) as bench:
            bench.client.begin(make_call(), fresh=False, end=fail)
            while not bench.client.n_open:
                await trio.sleep(0.001)
            while bench.client.n_open:
                await trio.sleep(0.001)
            assert "ArithmeticError" in caplog.text
            assert "cannot read the answer of i-1" in caplog.text
            assert isinstance((await bench.call()).outcome, Answered)

    async def test_a_request_that_could_not_be_sent_has_not_run(self):
        # No byte was sent, so that the request may be retried on another server.
        async with open_bench(answer(), answer()) as bench:
            await bench.call()
            [connection] = bench.client._idle
            connection.raw.shutdown(socket.SHUT_WR)
            verdict = await bench.call(make_call(idempotent=False))
            assert isinstance(verdict.outcome, NotRun)
            assert verdict.outcome.reason is Reason.LOST_CONNECTION
            assert bench.client.n_open == 0

    async def test_a_long_request_is_sent_in_parts(self):
        body = b"x" * 8_000_000
        async with open_bench(answer()) as bench:
            verdict = await bench.call(make_call(body=body))
            assert isinstance(verdict.outcome, Answered)

    async def test_an_idle_connection_that_is_silent(self, autojump_clock):
        # A middlebox has dropped the connection's state. The call has to end in time
        # for another server, and other idle connections must not be tried in turn.
        async with open_bench(answer(), b"silence") as bench:
            await bench.call()
            await trio.sleep(forward.MAX_TRUSTED_IDLE_S + 0.5)
            started = trio.current_time()
            outcome = (await bench.call()).outcome
            assert isinstance(outcome, Unknown)
            assert outcome.reason is Reason.SILENT_CONNECTION
            assert trio.current_time() - started < LIMIT * 0.6
            assert bench.client.n_open == 0

    async def test_a_cancelled_attempt_ends_once_and_frees_its_connection(self):
        async with open_bench(b"silence") as bench:
            ended: list[Verdict] = []
            exchange = bench.client.begin(make_call(), fresh=False, end=ended.append)
            await trio.sleep(0.05)
            exchange.cancel()
            exchange.cancel()
            await trio.sleep(0.05)
            [verdict] = ended
            assert isinstance(verdict.outcome, Unknown)
            assert verdict.outcome.reason is Reason.CANCELLED
            assert bench.client.n_open == 0

    async def test_an_attempt_that_is_cancelled_while_connecting(self):
        async with open_bench(answer()) as bench:
            ended: list[Verdict] = []
            exchange = bench.client.begin(make_call(), fresh=False, end=ended.append)
            exchange.cancel()
            await trio.sleep(0.05)
            assert len(ended) == 1
            assert bench.client.n_open == 0
            assert bench.requests == []

    async def test_an_attempt_that_is_cancelled_once_connected(self, monkeypatch):
        # The caller disconnects at the moment the connection opens. Nothing is sent,
        # and the next request uses the connection.
        connect = forward._connect
        async with open_bench(answer()) as bench:
            ended: list[Verdict] = []

            async def connect_and_cancel(server):
                connected = await connect(server)
                exchange.cancel()
                return connected

            monkeypatch.setattr(forward, "_connect", connect_and_cancel)
            exchange = bench.client.begin(make_call(), fresh=False, end=ended.append)
            await trio.sleep(0.05)
            assert len(ended) == 1
            assert bench.requests == []
            assert isinstance((await bench.call()).outcome, Answered)
            assert bench.n_connections == 1

    async def test_a_closed_client_does_not_keep_a_late_connection(self, monkeypatch):
        connect = forward._connect
        async with open_bench(answer()) as bench:

            async def connect_late(server):
                connected = await connect(server)
                await bench.client.close()
                time.sleep(0.15)
                return connected

            monkeypatch.setattr(forward, "_connect", connect_late)
            call = replace(make_call(), deadline=trio.current_time() + 0.1)
            await bench.call(call)
            await trio.sleep(0.05)
            assert bench.client.n_open == 0

    async def test_a_late_cancel_does_not_affect_the_next_request(self):
        async with open_bench(answer(), answer()) as bench:
            ended: list[Verdict] = []
            exchange = bench.client.begin(make_call(), fresh=False, end=ended.append)
            await trio.sleep(0.05)
            later = bench.client.begin(make_call(), fresh=False, end=ended.append)
            exchange.cancel()
            await trio.sleep(0.05)
            assert [type(v.outcome) for v in ended] == [Answered, Answered]
            assert later.connection is exchange.connection
