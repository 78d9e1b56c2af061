"""The callers' port: bad input is refused with a reason and stops nothing."""

import json
from dataclasses import replace
from typing import Any

import pytest
import trio
from prometheus_client import REGISTRY

from lab.processes import find_free_ports
from lavendergap.coordination.stopping import StopPlan
from lavendergap.entry.ports import serve_port
from lavendergap.protocol.answers import Refusal, SearchResult, ShardResult
from lavendergap.state.customers import Customer, CustomerTable, digest_key
from lavendergap.state.outcome import Coverage, NotRun, Reason, Step
from lavendergap.state.settings import Address, Settings, WaitForCoverage
from lavendergap.state.ticket import Peer, Ticket
from lavendergap.transport.callers import (
    CallerRequest,
    CallersApp,
    Handlers,
    IssuedTicket,
    RunResult,
)
from lavendergap.transport.web import BODY_TIMEOUT_S
from tests.nodes import build_settings

Message = dict[str, Any]
JSON = {"content-type": "application/json"}
QUERY = "/v1/services/scheduler/query"
TICKET = str(
    Ticket(
        service="ledger",
        issuer=Peer(host="h", incarnation=1),
        serial=1,
        witness=None,
        mac="0" * 16,
    )
)


class FakeDaemon:
    """Answers every query completely, unless set to refuse or to leave."""

    def __init__(self) -> None:
        self.settings: Settings = build_settings(
            n_hosts=1, n_groups=1, stragglers=WaitForCoverage()
        )
        self.is_refusing = False
        self.refusal_reason = Reason.OVERLOADED
        self.stop_plan: StopPlan | None = None
        self.not_ready_reason = ""
        self.customers: list[Customer] = []
        self.n_searches = 0
        self.n_cancelled = 0
        self.search_s = 0.0

    def note_customer(self, request: CallerRequest) -> None:
        if request.customer is not None:
            self.customers.append(request.customer)

    async def search(self, request: CallerRequest) -> SearchResult | Refusal:
        self.note_customer(request)
        self.n_searches += 1
        if self.is_refusing:
            outcome = NotRun(
                step=Step.ADMIT,
                peer="",
                reason=self.refusal_reason,
                retry_after_ms=1500,
            )
            return Refusal(request_id=request.request_id, outcome=outcome)
        try:
            await trio.sleep(self.search_s)
        except trio.Cancelled:
            self.n_cancelled += 1
            raise
        coverage = Coverage(n_asked=1, n_answered=1, share=1.0, missing=())
        return SearchResult(
            request_id=request.request_id,
            service="scheduler",
            version=1,
            coverage=coverage,
            results=(ShardResult(shard="s00", result=request.body),),
        )

    async def issue(self, request: CallerRequest) -> IssuedTicket:
        self.note_customer(request)
        return IssuedTicket(text="t")

    async def run(self, request: CallerRequest, ticket: str) -> RunResult:
        self.note_customer(request)
        return RunResult(request_id=request.request_id, result=b"1")

    async def look_up(self, request_id: str, ticket: str) -> RunResult:
        return RunResult(request_id=request_id, result=b"1")

    def build_app(self) -> CallersApp:
        return CallersApp(
            handlers=Handlers(
                get_settings=lambda: self.settings,
                search=self.search,
                issue=self.issue,
                run=self.run,
                look_up=self.look_up,
                get_stop_plan=lambda: self.stop_plan,
                get_startup_problem=lambda: self.not_ready_reason,
            )
        )


class Call:
    """One request to the application, without a server, and its answer."""

    def __init__(self, *, method: str = "POST", path: str = QUERY, **headers: str):
        self.scope = {
            "type": "http",
            "method": method,
            "path": path,
            "headers": [
                (name.replace("_", "-").encode(), value.encode())
                for name, value in headers.items()
            ],
        }
        self.status = 0
        self.headers: dict[bytes, bytes] = {}
        self.body = b""

    async def send_to(
        self, app: CallersApp, *parts: bytes, disconnect_after: float | None = None
    ) -> "Call":
        messages = [
            {"type": "http.request", "body": part, "more_body": place < len(parts) - 1}
            for place, part in enumerate(parts)
        ]

        async def receive() -> Message:
            if messages:
                return messages.pop(0)
            await trio.sleep(disconnect_after or float("inf"))
            return {"type": "http.disconnect"}

        async def send(message: Message) -> None:
            self.status = message.get("status", self.status)
            self.headers |= dict(message.get("headers", ()))
            self.body += message.get("body", b"")

        await app(self.scope, receive, send)
        return self


def count_rejected(problem: str) -> float:
    labels = {"port": "callers", "problem": problem}
    return REGISTRY.get_sample_value("lavendergap_rejected_input_total", labels) or 0.0


class TestBadInput:
    @pytest.mark.parametrize(
        ("call", "body", "status", "problem"),
        [
            (Call(), b'{"query": ', 400, "malformed body"),
            (Call(), b"\xff\xfe", 400, "malformed body"),
            (Call(), b"[" * 60_000, 400, "malformed body"),
            (Call(content_length="9999999"), b"{}", 413, "body too large"),
            (Call(), b'"' + b"x" * 70_000 + b'"', 413, "body too large"),
            (Call(content_type="text/html"), b"{}", 415, "wrong media type"),
            (Call(method="PUT"), b"{}", 405, "wrong method"),
            (Call(path="/nowhere"), b"{}", 404, "unknown path"),
            (
                Call(path="/v1/services/none/query"),
                b"{}",
                404,
                "unknown service",
            ),
            (Call(deadline_ms="0"), b"{}", 422, "impossible deadline"),
            (Call(deadline_ms="nan"), b"{}", 422, "impossible deadline"),
            (Call(deadline_ms="soon"), b"{}", 422, "impossible deadline"),
            (Call(deadline_ms="99999999"), b"{}", 422, "impossible deadline"),
            (
                Call(path="/v1/services/scheduler/requests", ticket="t"),
                b"{}",
                422,
                "not a booking",
            ),
            (
                Call(path="/v1/services/scheduler/requests"),
                b"{}",
                428,
                "no ticket",
            ),
            (
                Call(path="/v1/services/scheduler/requests", idempotency_key="k"),
                b"{}",
                422,
                "idempotency key",
            ),
        ],
    )
    async def test_bad_input_is_refused_and_counted(
        self, call, body, status, problem, autojump_clock
    ):
        daemon = FakeDaemon()
        before = count_rejected(problem)
        await call.send_to(daemon.build_app(), body)
        assert call.status == status
        assert json.loads(call.body)["error"]
        assert count_rejected(problem) == before + 1
        assert daemon.n_searches == 0

    async def test_slow_body_ends_in_time(self, autojump_clock):
        # A caller that stops in the middle of its body must not hold a connection
        # beyond the timeout.
        app = FakeDaemon().build_app()
        call = Call(**JSON)
        call.scope["headers"] = [(b"content-type", b"application/json")]
        started = trio.current_time()

        async def receive() -> Message:
            await trio.sleep(BODY_TIMEOUT_S * 0.6)
            return {"type": "http.request", "body": b"{", "more_body": True}

        async def send(message: Message) -> None:
            call.status = message.get("status", call.status)

        await app(call.scope, receive, send)
        assert call.status == 408
        assert trio.current_time() - started == BODY_TIMEOUT_S


class TestAnswers:
    async def test_refusal_has_a_retry_delay(self, autojump_clock):
        daemon = FakeDaemon()
        daemon.is_refusing = True
        daemon.refusal_reason = Reason.OVER_LIMIT
        call = await Call(request_id="r-1").send_to(daemon.build_app(), b"{}")
        assert call.status == 429
        daemon.refusal_reason = Reason.OVERLOADED
        call = await Call(request_id="r-1").send_to(daemon.build_app(), b"{}")
        assert call.status == 503
        assert call.headers[b"retry-after"] == b"2"
        body = json.loads(call.body)
        assert body["outcome"] == "not run"
        assert (body["request_id"], body["retry_after_ms"]) == ("r-1", 1500)

    async def test_host_without_settings_in_force_refuses_requests(
        self, autojump_clock
    ):
        # A host that has only its settings file must not serve requests by settings
        # that accepted edits may have replaced.
        daemon = FakeDaemon()
        daemon.not_ready_reason = "no settings from the platform or a peer yet"
        call = await Call().send_to(daemon.build_app(), b"{}")
        assert (call.status, daemon.n_searches) == (503, 0)
        assert json.loads(call.body)["reason"] == "not ready"

    async def test_disconnect_cancels_the_search(self, autojump_clock):
        # The search of a disconnected caller would hold slots of backend servers.
        daemon = FakeDaemon()
        daemon.search_s = 10.0
        await Call().send_to(daemon.build_app(), b"{}", disconnect_after=0.05)
        assert daemon.n_cancelled == 1

    async def test_leaving_host_has_connections_closed(self, autojump_clock):
        # The load balancer keeps connections open. It has to close them between two
        # requests, so that none is in transit when the port closes.
        daemon = FakeDaemon()
        daemon.stop_plan = make_plan(last_deadline=100.0)
        call = await Call().send_to(daemon.build_app(), b"{}")
        assert call.status == 200
        assert call.headers[b"connection"] == b"close"


class TestStopping:
    SERVICES = {"query": "scheduler", "tickets": "ledger", "requests": "ledger"}

    @pytest.mark.parametrize(
        ("what", "served", "refused", "outcome"),
        [
            ("query", 200, 503, "not run"),
            ("tickets", 201, 503, "not run"),
            ("requests", 200, 504, "unknown"),
        ],
    )
    async def test_a_request_that_cannot_end_in_time_is_refused_at_once(
        self, what, served, refused, outcome, autojump_clock
    ):
        # Guards against requests that are cut at the end of a planned stop. One with a
        # ticket may be a repeat of one that has run.
        daemon = FakeDaemon()
        [query] = daemon.settings.services
        ledger = replace(query, name="ledger", idempotent=False)
        daemon.settings = replace(daemon.settings, services=(query, ledger))
        daemon.stop_plan = make_plan(last_deadline=trio.current_time() + 1.0)
        path = f"/v1/services/{self.SERVICES[what]}/{what}"
        for deadline_ms, status in (("900", served), ("1100", refused)):
            call = Call(path=path, ticket="t", deadline_ms=deadline_ms)
            await call.send_to(daemon.build_app(), b"{}")
            assert call.status == status
            assert call.headers[b"connection"] == b"close"
        body = json.loads(call.body)
        assert (body["outcome"], body["reason"]) == (outcome, "stopping")

    async def test_a_request_that_is_given_up_is_answered(self, autojump_clock):
        # Guards against connections that end without an answer at the end of a stop.
        daemon = FakeDaemon()
        daemon.search_s = 10.0
        app = daemon.build_app()
        call = Call()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(call.send_to, app, b"{}")
            await trio.sleep(1.0)
            app.give_up()
        assert (call.status, daemon.n_cancelled) == (504, 1)
        assert json.loads(call.body)["outcome"] == "unknown"
        assert app.n_running == 0


def make_plan(*, last_deadline: float) -> StopPlan:
    return StopPlan(
        notice_ends_at=-1.0,
        last_deadline=last_deadline,
        gives_up_at=last_deadline + 1.0,
        ends_at=last_deadline + 2.0,
    )


@pytest.mark.parametrize("what", ["query", "tickets", "requests", "look up"])
class TestKeys:
    @staticmethod
    def make_daemon(*, public: bool = False) -> FakeDaemon:
        table = CustomerTable(
            customers={"acme": Customer(name="acme")},
            names_by_digest={digest_key(b"My-Key"): "acme"},
        )
        daemon = FakeDaemon()
        [query] = daemon.settings.services
        run = replace(query, name="ledger", idempotent=False, public=public)
        daemon.settings = replace(
            daemon.settings,
            services=(replace(query, public=public), run),
            customers=table,
        )
        return daemon

    @staticmethod
    async def ask(daemon: FakeDaemon, what: str, *keys: bytes) -> Call:
        service = "scheduler" if what == "query" else "ledger"
        call = Call(path=f"/v1/services/{service}/{what}")
        if what == "look up":
            call = Call(method="GET", path=f"/v1/tickets/{TICKET}")
        headers = [(b"customer-key", key) for key in keys]
        call.scope["headers"] = [(b"ticket", b"t"), (b"customer", b"x"), *headers]
        return await call.send_to(daemon.build_app(), b"{}")

    @pytest.mark.parametrize(
        ("keys", "is_valid"),
        [
            ((), False),
            ((b"",), False),
            ((b"My-Kez",), False),
            ((b"My-Key", b"Other"), False),
            ((b"My-Key" * 50,), False),
            ((b"My-Key",), True),
            ((b"My-Key, My-Key",), True),
        ],
    )
    async def test_requests_need_a_valid_key(
        self, what, keys, is_valid, autojump_clock, caplog
    ):
        caplog.set_level("INFO", logger="lavendergap")
        daemon = self.make_daemon()
        call = await self.ask(daemon, what, *keys)
        assert (call.status == 401) == (not is_valid)
        assert call.status in (200, 201, 401)
        assert [customer.name for customer in daemon.customers] == (
            ["acme"] if is_valid and what != "look up" else []
        )
        shown = b"%r%r" % (call.headers, call.body) + repr(caplog.records).encode()
        shown += b"".join(repr(record.msg).encode() for record in caplog.records)
        assert b"My-Ke" not in shown

    async def test_a_host_without_settings_does_not_answer_401(
        self, what, autojump_clock
    ):
        """Guards against a caller that drops a key which newer settings have."""
        daemon = self.make_daemon()
        daemon.not_ready_reason = "no settings from the platform or a peer yet"
        call = await self.ask(daemon, what, b"newer")
        # Guards against "not run" for a ticket that has run through another host.
        has_ticket = what in ("requests", "look up")
        assert call.status == (504 if has_ticket else 503)
        outcome = json.loads(call.body)["outcome"]
        assert outcome == ("unknown" if has_ticket else "not run")

    async def test_a_public_service_needs_no_key(self, what, autojump_clock):
        daemon = self.make_daemon(public=True)
        assert (await self.ask(daemon, what)).status in (200, 201)
        assert (await self.ask(daemon, what, b"unknown")).status in (200, 201)
        assert daemon.customers == []

    async def test_a_removed_key_is_refused_on_the_next_request(
        self, what, autojump_clock
    ):
        daemon = self.make_daemon()
        assert (await self.ask(daemon, what, b"My-Key")).status in (200, 201)
        empty = CustomerTable(customers={}, names_by_digest={})
        daemon.settings = replace(daemon.settings, customers=empty)
        assert (await self.ask(daemon, what, b"My-Key")).status == 401


class TestPort:
    @pytest.mark.parametrize(
        "garbage",
        [
            b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03" * 20,
            b"POST " + b"/" * 40_000 + b" HTTP/1.1\r\n\r\n",
            b"GET / HTTP/1.1\r\nX: " + b"y" * 40_000 + b"\r\n\r\n",
            b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: -5\r\n\r\n",
        ],
    )
    async def test_garbage_does_not_stop_the_port(self, garbage):
        # Input that is not HTTP, or too long, must not affect the next caller.
        daemon = FakeDaemon()
        [port] = find_free_ports(1)
        stop = trio.Event()
        with trio.fail_after(20):
            async with trio.open_nursery() as nursery:
                await nursery.start(serve, daemon.build_app(), port, stop)
                stream = await trio.open_tcp_stream("127.0.0.1", port)
                await stream.send_all(garbage)
                await stream.send_eof()
                await read_to_end(stream)
                assert b" 200 " in await post_query(port)
                stop.set()


async def serve(app, port, stop, task_status=trio.TASK_STATUS_IGNORED):
    address = Address(ip="127.0.0.1", port=port)
    await serve_port(app, address, stop=stop, drain_limit=1.0, task_status=task_status)


async def read_to_end(stream: trio.SocketStream) -> bytes:
    data = b""
    try:
        while part := await stream.receive_some(65_536):
            data += part
    except trio.BrokenResourceError:
        pass
    return data


async def post_query(port: int) -> bytes:
    stream = await trio.open_tcp_stream("127.0.0.1", port)
    await stream.send_all(
        b"POST " + QUERY.encode() + b" HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
        b"Content-Type: application/json\r\nContent-Length: 2\r\n\r\n{}"
    )
    return await read_to_end(stream)
