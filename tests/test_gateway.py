"""The gateway's port for callers: invalid requests and the answer to each outcome."""

from contextlib import ExitStack
from dataclasses import dataclass, field
from random import Random
from typing import Any

import pytest
import trio

from lavendergap.coordination.routing import RouteIndex, draw_group
from lavendergap.protocol.forwarding import MergedRecords
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
from lavendergap.transport.gateway import (
    GatewayApp,
    GatewayHandlers,
    GatewayRequest,
    GatewayResult,
)
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
    is_leaving: bool = False
    seen: list[GatewayRequest] = field(default_factory=list)
    was_cancelled: bool = False
    done: list[str] = field(default_factory=list)

    async def _admit(self, request: GatewayRequest) -> NotRun | None:
        return None

    async def ask(
        self,
        path: bytes = b"/a/x",
        *,
        headers: dict[bytes, bytes] | None = None,
        body: bytes = b"",
        disconnect_after: float | None = None,
    ) -> tuple[int, dict[bytes, bytes], bytes]:
        app = GatewayApp(
            handlers=GatewayHandlers(
                get_routes=lambda: self.index,
                forward=self._forward,
                is_leaving=lambda: self.is_leaving,
                admit=self._admit,
                give_back=lambda request: None,
            ),
            names=NAMES,
            cores=1.0,
        )
        incoming = [{"type": "http.request", "body": body, "more_body": False}]
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
            "headers": list((HEADERS if headers is None else headers).items()),
        }
        await app(scope, receive, send)
        assert app.n_running == 0
        if not sent:
            return 0, {}, b""
        return sent[0]["status"], dict(sent[0]["headers"]), sent[1]["body"]

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
        bench = Bench(result=Answered(body=b"x"), is_leaving=True)
        _, headers, _ = await bench.ask()
        assert headers[b"connection"] == b"close"


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
