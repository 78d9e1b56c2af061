"""The gateway's port for callers: invalid requests and the answer to each outcome."""

from contextlib import ExitStack
from dataclasses import dataclass, field, replace
from random import Random
from typing import Any

import pytest
import trio
from hypothesis import example, given
from hypothesis import strategies as st

from lavendergap import logs, metrics
from lavendergap.coordination.routing import RouteIndex, draw_group
from lavendergap.coordination.stopping import StopPlan
from lavendergap.protocol.forwarding import MergedRecords
from lavendergap.protocol.keys import KeyProblem, find_customer
from lavendergap.state.customers import Customer, CustomerTable, digest_key
from lavendergap.state.outcome import (
    Answered,
    Coverage,
    MissingShard,
    NotRun,
    Reason,
    Step,
    Unknown,
)
from lavendergap.state.routes import (
    OneOf,
    RequestLimits,
    Route,
    RouteTable,
    WeightedGroup,
)
from lavendergap.transport.callerheaders import KeyReader
from lavendergap.transport.gateway import (
    GatewayApp,
    GatewayHandlers,
    GatewayRequest,
    GatewayResult,
)
from lavendergap.transport.web import BadRequestError
from tests.headers import NAMES

HEADERS = {b"host": b"a.example", b"x-attempt": b"r1", b"x-time-left": b"250"}


def make_route(name: str, prefix: str) -> Route:
    return Route(
        name=name,
        host="a.example",
        prefix=prefix,
        target=OneOf(groups=(WeightedGroup(group="g", weight=1.0),)),
        idempotent=True,
        max_attempts=2,
        timeout_ms=400,
        goal_ms=90,
        priority=1,
    )


TABLE = RouteTable(
    version=3,
    routes=(make_route("r1", "/a/"), make_route("r2", "/a/b/")),
    limits=RequestLimits(max_body_bytes=10),
)


@dataclass
class Bench:
    """The application with a fixed result, and a record of what it did."""

    result: GatewayResult | None = None
    index: RouteIndex | None = field(default_factory=lambda: RouteIndex(table=TABLE))
    stop_plan: StopPlan | None = None
    seen: list[GatewayRequest] = field(default_factory=list)
    was_cancelled: bool = False
    app: GatewayApp | None = None
    done: list[str] = field(default_factory=list)

    def get_index(self) -> RouteIndex | None:
        return self.index

    async def _admit(self, request: GatewayRequest) -> NotRun | None:
        return None

    async def ask(
        self,
        path: bytes = b"/a/x",
        *,
        headers: dict[bytes, bytes] | list[tuple[bytes, bytes]] | None = None,
        body: bytes = b"",
        is_whole: bool = True,
        disconnect_after: float | None = None,
    ) -> tuple[int, dict[bytes, bytes], bytes]:
        headers = HEADERS if headers is None else headers
        app = self.app = GatewayApp(
            handlers=GatewayHandlers(
                get_routes=lambda: self.get_index(),
                forward=self._forward,
                get_stop_plan=lambda: self.stop_plan,
                admit=self._admit,
                give_back=lambda request: None,
            ),
            names=NAMES,
            cores=1.0,
        )
        incoming = [{"type": "http.request", "body": body, "more_body": not is_whole}]
        sent: list[dict[str, Any]] = []

        async def receive() -> dict[str, Any]:
            if incoming:
                return incoming.pop(0)
            if disconnect_after is None:
                await trio.sleep_forever()
            else:
                await trio.sleep(disconnect_after)
            return {"type": "http.disconnect"}

        async def send(message: dict[str, Any]) -> None:
            sent.append(message)
            self.done.append(message["type"])

        scope = {
            "type": "http",
            "method": "GET",
            "raw_path": path,
            "path": path.decode(),
            "query_string": b"q=1",
            "headers": list(headers.items()) if isinstance(headers, dict) else headers,
        }
        await app(scope, receive, send)
        assert app.n_running == 0
        if not sent:
            return 0, {}, b""
        return sent[0]["status"], dict(sent[0]["headers"]), sent[1]["body"]

    async def give_up_after(self, seconds: float) -> None:
        await trio.sleep(seconds)
        assert self.app is not None
        self.app.give_up()

    async def _forward(
        self, request: GatewayRequest, after: ExitStack
    ) -> GatewayResult:
        self.seen.append(request)
        after.callback(self.done.append, "after")
        if self.result is None:
            try:
                await trio.sleep_forever()
            except trio.Cancelled:
                self.was_cancelled = True
                raise
        assert self.result is not None
        return self.result


def not_run(reason: Reason, after_ms: int = 0) -> NotRun:
    return NotRun(step=Step.QUEUE, peer="g", reason=reason, retry_after_ms=after_ms)


class TestRequests:
    async def test_the_longest_prefix_wins_and_the_deadline_is_the_nearer_one(self):
        bench = Bench(result=Answered(body=b"x"))
        await bench.ask(b"/a/b/c")
        [request] = bench.seen
        assert request.route.name == "r2"
        assert request.forward.target == b"/a/b/c?q=1"
        assert request.deadline - request.started == pytest.approx(0.25)
        await bench.ask(headers=HEADERS | {b"x-time-left": b"9000"})
        request = bench.seen[-1]
        assert request.deadline - request.started == pytest.approx(0.4)

    async def test_headers_of_one_connection_are_left_out(self):
        bench = Bench(result=Answered(body=b"x"))
        extra = {b"connection": b"x-hop", b"x-hop": b"1", b"accept": b"a"}
        await bench.ask(headers=HEADERS | extra)
        names = [name for name, _ in bench.seen[0].forward.headers]
        assert names == [b"host", b"x-attempt", b"x-time-left", b"accept"]

    @pytest.mark.parametrize(
        ("path", "headers", "body", "status"),
        [
            (b"/c/", HEADERS, b"", 404),
            (b"/a/", {b"host": b"b.example"}, b"", 404),
            (b"/a/", {b"host": b"a.example"}, b"", 400),
            (b"/a/", HEADERS | {b"x-time-left": b"soon"}, b"", 400),
            (b"/a/", HEADERS | {b"x-time-left": b"-1"}, b"", 400),
            (b"/a/", HEADERS, b"x" * 11, 413),
        ],
    )
    async def test_an_invalid_request_is_rejected(self, path, headers, body, status):
        bench = Bench(result=Answered(body=b"x"))
        assert (await bench.ask(path, headers=headers, body=body))[0] == status
        assert bench.seen == []

    async def test_a_host_name_may_have_a_port(self):
        bench = Bench(result=Answered(body=b"x"))
        headers = HEADERS | {b"host": b"A.example:8104"}
        assert (await bench.ask(headers=headers))[0] == 200

    async def test_without_routes_requests_are_refused_with_a_short_retry_delay(self):
        bench = Bench(index=None)
        status, headers, _ = await bench.ask()
        assert status == 503
        assert float(headers[b"retry-after"]) < 1.0

    async def test_a_disconnect_cancels_the_request(self, autojump_clock):
        bench = Bench()
        status, _, _ = await bench.ask(disconnect_after=0.1)
        assert status == 0
        assert bench.was_cancelled


def make_index(version: int, **keys: str) -> RouteIndex:
    """Return the routes with the customers of `keys`; those below /p/ are public."""
    table = CustomerTable(
        customers={name: Customer(name=name) for name in keys.values()},
        names_by_digest={digest_key(k.encode()): name for k, name in keys.items()},
    )
    public = replace(make_route("r3", "/p/"), is_public=True)
    routes = (*TABLE.routes, public)
    changed = replace(TABLE, version=version, routes=routes, customers=table)
    return RouteIndex(table=changed)


INDEX = make_index(4, key1="c1", key2="c2", other1="c1")
REFUSED = {
    "none": [[], [b""], [b" , "]],
    "unknown": [[b"key3"], [b"key"], [b"KEY1"], [b"Bearer key1"], [b"k" * 16_000]]
    + [[b"key1" + b"," * 253]],
    "several": [[b"key1", b"key2"], [b"key1,key2"], [b"key1, other1"]]
    + [[b"key3", b"key1"]],
}


class TestKeys:
    """Customers by the keys of their requests."""

    @pytest.mark.parametrize(
        ("values", "why"), [(v, why) for why, cases in REFUSED.items() for v in cases]
    )
    async def test_a_request_without_one_valid_key_is_refused(
        self, values, why, caplog
    ):
        caplog.set_level("DEBUG", logger="lavendergap")
        counter = metrics.refused_keys.labels(why)
        before = counter._value.get()
        bench = Bench(result=Answered(body=b"x"), index=INDEX)
        headers = [*HEADERS.items(), *((b"x-key", value) for value in values)]
        status, _, body = await bench.ask(headers=headers)
        assert (status, bench.seen) == (401, [])
        assert counter._value.get() == before + 1
        [line] = [logs.JsonFormatter().format(record) for record in caplog.records]
        assert f'"why":"{why}"' in line
        # A refused key may be a valid one with a typing error.
        shown = line + body.decode() + str(list(metrics.REGISTRY.collect()))
        for key in ("key1", "key2", "key3", "other1", "KEY1", "kkkk"):
            assert key not in shown

    @pytest.mark.parametrize(
        "values", [[b"key1"], [b" key1\t"], [b"key1", b"key1"], [b"key1, key1"]]
    )
    async def test_servers_get_the_customer_and_not_the_key(self, values, caplog):
        caplog.set_level("DEBUG", logger="lavendergap")
        bench = Bench(result=Answered(body=b"x"), index=INDEX)
        headers = [*HEADERS.items(), *((b"x-key", value) for value in values)]
        forged = {b"x-customer": b"c2", b"x_customer": b"c2"}
        forged |= {b"connection": b"x-customer, x-key"}
        headers += forged.items()
        assert (await bench.ask(headers=headers))[0] == 200
        [request] = bench.seen
        assert request.customer == Customer(name="c1")
        assert dict(request.forward.headers) == HEADERS | {b"x-customer": b"c1"}
        assert len(request.forward.headers) == len(HEADERS) + 1
        [line] = [logs.JsonFormatter().format(record) for record in caplog.records]
        assert '"customer":"c1"' in line
        assert "key1" not in line

    async def test_public_routes_and_manifests_without_customers_need_no_key(self):
        own = {b"x-key": b"key1", b"x-customer": b"c2"}
        for index, path, kept in (
            (INDEX, b"/p/", {}),
            (RouteIndex(table=TABLE), b"/a/", own),
        ):
            bench = Bench(result=Answered(body=b"x"), index=index)
            assert (await bench.ask(path, headers=HEADERS | own))[0] == 200
            [request] = bench.seen
            assert request.customer is None
            assert dict(request.forward.headers) == HEADERS | kept

    async def test_the_current_version_decides(self):
        bench = Bench(result=Answered(body=b"x"), index=INDEX)
        headers = HEADERS | {b"x-key": b"key1"}
        statuses = []
        for index in (INDEX, make_index(5, key2="c1"), make_index(6), INDEX, None):
            bench.index = index
            statuses.append((await bench.ask(headers=headers))[0])
        assert statuses == [200, 401, 401, 200, 503]
        bench.index = INDEX
        assert (await bench.ask(b"/c/", headers=headers))[0] == 404

    async def test_a_key_removed_while_the_body_arrives_is_refused(self, monkeypatch):
        bench = Bench(result=Answered(body=b"x"))
        indexes = iter([INDEX, make_index(5, key2="c1")])
        monkeypatch.setattr(bench, "get_index", lambda: next(indexes))
        assert (await bench.ask(headers=HEADERS | {b"x-key": b"key1"}))[0] == 401

    async def test_lines_on_refused_keys_are_bounded(self, caplog, autojump_clock):
        caplog.set_level("INFO", logger="lavendergap")
        keys = KeyReader(key=NAMES.key, request_id=NAMES.attempt)
        table = INDEX.table.customers
        assert table is not None
        for n_requests in (100, 1):
            for _ in range(n_requests):
                with pytest.raises(BadRequestError):
                    keys.read({"headers": []}, table, route="r1")
            await trio.sleep(1.0)
        numbers = [record.msg["n_dropped"] for record in caplog.records]
        assert numbers == [0, 0, 0, 0, 0, 95]

    @given(st.lists(st.binary(max_size=200) | st.sampled_from([b"key1", b"key2"])))
    @example([b"key1,key2"])
    def test_only_the_exact_key_is_valid(self, values):
        headers = [(b"x-key", value) for value in values]
        table = INDEX.table.customers
        assert table is not None
        found = find_customer(headers, name=b"x-key", table=table)
        sent = {part.strip() for value in values for part in value.split(b",")}
        if isinstance(found, KeyProblem):
            assert len(sent - {b""}) != 1 or not sent & {b"key1", b"key2", b"other1"}
        else:
            assert sent - {b""} == {b"key1" if found.name == "c1" else b"key2"}


class TestOutcomes:
    async def test_an_answer_is_returned_unchanged(self):
        headers = ((b"x-proof", b"p"), (b"content-type", b"t"))
        bench = Bench(result=Answered(body=b"whole", status=201, headers=headers))
        status, got, body = await bench.ask()
        assert (status, body) == (201, b"whole")
        assert got == {
            b"x-proof": b"p",
            b"content-type": b"t",
            b"content-length": b"5",
        }

    async def test_a_joined_answer_has_proofs_and_the_number_of_missing_parts(self):
        missing = MissingShard(
            shard="s2", reason=Reason.STRAGGLER, step=Step.RECEIVE, peer="s2"
        )
        joined = MergedRecords(
            records=b"r" * 16,
            proofs={"s1": ((b"x-proof", b"p1"),), "s3": ((b"x-proof", b"p3"),)},
            coverage=Coverage(n_asked=3, n_answered=2, share=0.67, missing=(missing,)),
        )
        status, headers, body = await Bench(result=joined).ask()
        assert (status, body) == (200, b"r" * 16)
        assert headers[b"x-proofs"] == b"p1, p3"
        assert headers[b"x-missing"] == b"1"

    async def test_not_run_has_a_retry_delay(self):
        bench = Bench(result=not_run(Reason.OVERLOADED, after_ms=250))
        status, headers, _ = await bench.ask()
        assert status == 503
        assert headers[b"retry-after"] == b"0.250"

    @pytest.mark.parametrize(
        ("reason", "status"),
        [
            (Reason.LOST_CONNECTION, 502),
            (Reason.SERVER_ERROR, 502),
            (Reason.DEADLINE, 504),
            (Reason.STRAGGLER, 504),
        ],
    )
    async def test_an_unknown_outcome_has_no_retry_delay(self, reason, status):
        outcome = Unknown(step=Step.RECEIVE, peer="i-1", reason=reason)
        got, headers, _ = await Bench(result=outcome).ask()
        assert got == status
        assert b"retry-after" not in headers

    async def test_answers_of_a_leaving_host_close_their_connections(self):
        bench = Bench(result=Answered(body=b"x"), stop_plan=make_plan(10.0))
        _, headers, _ = await bench.ask()
        assert headers[b"connection"] == b"close"


def make_plan(left: float, *, notice: float = 0.0) -> StopPlan:
    """Return a plan under which requests may take up to `left` seconds from now."""
    now = trio.current_time()
    return StopPlan(
        notice_ends_at=now + notice,
        last_deadline=now + left,
        gives_up_at=now + left + 0.1,
        ends_at=now + left + 0.2,
    )


class TestStopping:
    @pytest.mark.parametrize(
        ("stated_ms", "left", "status"),
        [
            (250, 0.2, 503),
            (250, 0.3, 200),
            (60_000, 0.3, 503),  # the route's timeout is 400 ms
            (60_000, 0.5, 200),
        ],
    )
    async def test_a_request_that_cannot_end_in_time_is_refused_at_once(
        self, stated_ms, left, status, autojump_clock
    ):
        # Guards against requests that are passed to servers and then cut.
        bench = Bench(result=Answered(body=b"x"), stop_plan=make_plan(left))
        stated = {**HEADERS, b"x-time-left": b"%d" % stated_ms}
        got, headers, _ = await bench.ask(headers=stated)
        assert (got, headers[b"connection"]) == (status, b"close")
        assert len(bench.seen) == (status == 200)
        assert (status == 200) or float(headers[b"retry-after"]) > 0

    async def test_until_the_balancer_has_noticed_all_are_served(self, autojump_clock):
        # What cannot end in time is given as long as this process has.
        plan = make_plan(0.1, notice=0.01)
        bench = Bench(result=Answered(body=b"x"), stop_plan=plan)
        assert (await bench.ask())[0] == 200
        assert bench.seen[0].deadline == plan.gives_up_at

    async def test_a_plan_that_is_closed_serves_nothing(self, autojump_clock):
        plan = make_plan(10.0, notice=10.0).close()
        bench = Bench(result=Answered(body=b"x"), stop_plan=plan)
        assert (await bench.ask())[0] == 503

    async def test_a_request_that_is_given_up_is_answered(self, autojump_clock):
        # Guards against connections that end without an answer at the end of a stop.
        bench = Bench()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(bench.give_up_after, 0.1)
            status, headers, body = await bench.ask()
        assert (status, bench.was_cancelled) == (502, True)
        assert b"stopping" in body
        assert bench.done == ["http.response.start", "http.response.body", "after"]

    async def test_a_body_that_is_not_in_by_the_end_is_refused(self, autojump_clock):
        bench = Bench(result=Answered(body=b"x"))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(bench.give_up_after, 0.1)
            status, _, _ = await bench.ask(is_whole=False)
        assert (status, bench.seen) == (503, [])


class TestOrder:
    # An answer may be delayed for stragglers until just before its goal. If calls were
    # cancelled and log lines written first, it would be late.

    JOINED = MergedRecords(
        records=b"",
        proofs={},
        coverage=Coverage(n_asked=0, n_answered=0, share=1.0, missing=()),
    )

    async def test_the_answer_is_sent_before_other_work(self):
        bench = Bench(result=self.JOINED)
        assert (await bench.ask())[0] == 200
        assert bench.done == ["http.response.start", "http.response.body", "after"]

    async def test_other_work_is_done_after_a_disconnect(self, autojump_clock):
        bench = Bench()
        await bench.ask(disconnect_after=0.1)
        assert bench.was_cancelled
        assert bench.done == ["after"]


class TestWeights:
    def test_groups_are_drawn_in_proportion(self):
        target = OneOf(
            groups=(
                WeightedGroup(group="a", weight=3.0),
                WeightedGroup(group="b", weight=1.0),
                WeightedGroup(group="c", weight=0.0),
            )
        )
        rng = Random(1)
        drawn = [draw_group(target, rng) for _ in range(4_000)]
        assert drawn.count("c") == 0
        assert 0.72 < drawn.count("a") / 4_000 < 0.78
