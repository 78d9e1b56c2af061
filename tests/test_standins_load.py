"""The load tool: the requests it sends, its checks of answers, and its counts."""

import copy
import json
from contextlib import asynccontextmanager
from typing import Any

import msgspec
import pytest
import trio
from trio.testing import MockClock

from lavendergap.state.settings import Address
from standins.answers import Outcome, SentRequest, check_booking, check_query
from standins.balancer import EntryPorts
from standins.client import Answer
from standins.http import Connection, HttpServer, Reply, Request, make_json_reply
from standins.load import (
    Bookings,
    ClosedLoop,
    OpenLoop,
    Plan,
    Queries,
    read_shares,
    run_load,
)
from standins.tally import Record, Summary

SENT = SentRequest(request_id="q1-0", service="scheduler", query="q1-0", length=16)


@pytest.fixture
def clock():
    """Jump only after a real pause, since data passes through kernel sockets."""
    return MockClock(autojump_threshold=0.005)


def make_result(sent: SentRequest, shard: str, version: int = 7) -> dict[str, Any]:
    return {
        "shard": shard,
        "version": version,
        "server": "scheduler-00-a",
        "query": sent.query,
        "length": sent.length,
    }


def make_answer(
    sent: SentRequest, n_shards: int = 4, n_missing: int = 1
) -> dict[str, Any]:
    shards = [f"s{i:02}" for i in range(n_shards)]
    answered, missing = shards[n_missing:], shards[:n_missing]
    cause = {"reason": "straggler", "step": "receive", "peer": "scheduler-00-a"}
    return {
        "request_id": sent.request_id,
        "outcome": "partly answered" if missing else "answered",
        "snapshot": {"service": sent.service, "version": 7},
        "coverage": {
            "asked": n_shards,
            "answered": len(answered),
            "share": len(answered) / n_shards,
            "missing": [{"shard": shard, **cause} for shard in missing],
        },
        "results": [{"shard": s, "result": make_result(sent, s)} for s in answered],
    }


def make_refusal(sent: SentRequest, outcome: str = "not run") -> dict[str, Any]:
    return {
        "request_id": sent.request_id,
        "outcome": outcome,
        "step": "admit",
        "peer": "ptl-a-1",
        "reason": "overloaded",
        "retry_after_ms": 200,
    }


def encode_answer(status: int, value: object, **headers: str) -> Answer:
    return Answer(status=status, headers=headers, body=msgspec.json.encode(value))


def replace_at(value: dict[str, Any], path: str, new: object) -> dict[str, Any]:
    """Return a copy of `value` with the item at a dotted path replaced."""
    changed = copy.deepcopy(value)
    *parents, last = [int(p) if p.isdecimal() else p for p in path.split(".")]
    container: Any = changed
    for parent in parents:
        container = container[parent]
    container[last] = new
    return changed


class TestChecks:
    @pytest.mark.parametrize(
        ("n_missing", "status", "outcome", "share"),
        [
            (0, 200, Outcome.ANSWERED, 1.0),
            (1, 200, Outcome.PARTLY, 0.75),
            (4, 504, Outcome.UNCOVERED, 0.0),
        ],
    )
    def test_correct_answer_counts_with_its_share(
        self, n_missing, status, outcome, share
    ):
        answer = encode_answer(status, make_answer(SENT, n_missing=n_missing))
        verdict = check_query(answer, SENT)
        assert (verdict.outcome, verdict.share) == (outcome, share)

    @pytest.mark.parametrize(
        ("path", "new"),
        [
            ("request_id", "q1-1"),
            ("outcome", "answered"),
            ("snapshot.service", "composer"),
            ("snapshot.version", 8),
            ("coverage.asked", 5),
            ("coverage.answered", 4),
            ("coverage.share", 0.8),
            ("coverage.missing", []),
            ("coverage.missing.0.shard", "s01"),
            ("results.0.shard", "s02"),
            ("results.0.result.query", "q1-1"),
            ("results.0.result.length", 15),
            ("results.0.result.version", 6),
            ("results.1", make_answer(SENT)["results"][0]),
            ("results", None),
        ],
    )
    def test_answer_with_one_wrong_field_is_wrong(self, path, new):
        answer = encode_answer(200, replace_at(make_answer(SENT), path, new))
        assert check_query(answer, SENT).outcome is Outcome.WRONG

    def test_share_is_summed_from_the_published_index(self):
        shards = [{"name": f"s{i:02}", "share": i / 6} for i in range(4)]
        index = {"snapshots": [{"version": 7, "shards": shards}]}
        shares = read_shares(msgspec.json.encode(index))
        answer = make_answer(SENT, n_missing=1)
        wrong = check_query(encode_answer(200, answer), SENT, shares)
        whole = replace_at(answer, "coverage.share", 1.0)
        right = check_query(encode_answer(200, whole), SENT, shares)
        never = check_query(encode_answer(200, whole), SENT, {8: shares[7]})
        assert [v.outcome for v in (wrong, right, never)] == [
            Outcome.WRONG,
            Outcome.PARTLY,
            Outcome.WRONG,
        ]

    @pytest.mark.parametrize(
        ("status", "outcome", "headers", "expected"),
        [
            (503, "not run", {"retry-after": "1"}, Outcome.NOT_RUN),
            (503, "not run", {}, Outcome.WRONG),
            (503, "unknown", {"retry-after": "1"}, Outcome.WRONG),
            (504, "unknown", {}, Outcome.UNKNOWN),
            (504, "not run", {}, Outcome.WRONG),
            (404, "not run", {}, Outcome.REJECTED),
        ],
    )
    def test_refusal_has_to_match_its_status(self, status, outcome, headers, expected):
        answer = encode_answer(status, make_refusal(SENT, outcome), **headers)
        assert check_query(answer, SENT).outcome is expected
        assert check_booking(answer, SENT).outcome is expected


class FakeEntry:
    """A fake entry host; `spoil` alters its answers, and `cuts` lists calls to cut."""

    def __init__(self) -> None:
        self.is_ready = True
        self.delay_s = 0.0
        self.cuts: list[str] = []
        self.spoil: Any = None
        self.refuses = False
        self.requests: list[Request] = []

    async def handle(self, request: Request, connection: Connection) -> Reply | None:
        if request.path == "/ready":
            return Reply(status=200 if self.is_ready else 503)
        self.requests.append(request)
        await trio.sleep(self.delay_s)
        if self.cuts and request.path.endswith(self.cuts[0]):
            self.cuts.pop(0)
            return None
        return self._answer(request)

    def _answer(self, request: Request) -> Reply:
        _, _, service, call = request.path.strip("/").split("/")
        name = request.headers["request-id"]
        query = json.loads(request.body)["query"]
        sent = SentRequest(
            request_id=name, service=service, query=query, length=len(request.body)
        )
        if self.refuses:
            headers = (("Retry-After", "1"),)
            return make_json_reply(make_refusal(sent), status=503, headers=headers)
        if call == "tickets":
            return make_json_reply({"ticket": f"t-{name}"}, status=201)
        if call == "requests":
            answer = {"request_id": name, "outcome": "answered"}
            return make_json_reply(answer | {"result": make_result(sent, "s00")})
        answer = make_answer(sent, n_missing=0)
        return make_json_reply(self.spoil(answer) if self.spoil else answer)


@asynccontextmanager
async def serve(n_entries: int = 1, *, n_refusing: int = 0):
    """Run entry hosts, and `n_refusing` more that are ready but refuse connections."""
    entries = [FakeEntry() for _ in range(n_entries + n_refusing)]
    ports = []
    async with trio.open_nursery() as nursery:
        for i, entry in enumerate(entries):
            server = HttpServer(ip="127.0.0.1", port=0, handle=entry.handle)
            port = await nursery.start(server.run)
            admin = Address(ip="127.0.0.1", port=port)
            callers = Address(ip="127.0.0.1", port=port if i < n_entries else 1)
            ports.append(EntryPorts(callers=callers, admin=admin))
        yield entries, tuple(ports)
        nursery.cancel_scope.cancel()


async def load(ports: tuple[EntryPorts, ...], **options: Any) -> Summary:
    plan: dict[str, Any] = {
        "entries": ports,
        "service": "scheduler",
        "arrivals": OpenLoop(rate=50.0),
        "work": Queries(),
        "n_requests": 20,
        "duration_s": 60.0,
    }
    observe = options.pop("observe", None)
    return await run_load(Plan(**(plan | options)), observe)


class TestQueries:
    async def test_load_is_spread_over_the_ready_hosts(self, clock):
        async with serve(3) as (entries, ports):
            entries[2].is_ready = False
            summary = await load(ports)
        assert (summary.sent, summary.answered) == (20, 20)
        assert [len(entry.requests) for entry in entries] == [10, 10, 0]
        assert (summary.mean_share, summary.min_share) == (1.0, 1.0)

    async def test_same_seed_sends_the_same_load(self, clock):
        async def measure(seed: int) -> list[Record]:
            records: list[Record] = []
            async with serve() as (_, ports):
                await load(ports, seed=seed, observe=records.append)
            return sorted(records, key=lambda record: record.due_s)

        first, again, other = [await measure(seed) for seed in (1, 1, 2)]
        assert [r.due_s for r in first] == [r.due_s for r in again]
        assert [r.due_s for r in first] != [r.due_s for r in other]
        assert [r.query for r in first[:2]] == ["q1-0", "q1-1"]

    async def test_query_is_tried_at_another_host_after_a_refused_connection(
        self, clock
    ):
        async with serve(1, n_refusing=1) as (_, ports):
            summary = await load(ports)
        assert (summary.answered, summary.refused, summary.retries) == (20, 0, 10)

    async def test_request_without_a_ready_host_is_refused(self, clock):
        async with serve() as (entries, ports):
            entries[0].is_ready = False
            summary = await load(ports)
        assert summary.refused == 20

    async def test_wrong_cut_and_lost_are_counted_separately(self, clock):
        async with serve() as (entries, ports):
            entries[0].spoil = lambda answer: replace_at(answer, "coverage.share", 0.5)
            wrong = await load(ports)
            entries[0].cuts = ["query"] * 20
            cut = await load(ports)
            entries[0].delay_s = 9.0
            lost = await load(ports)
        assert (wrong.wrong, cut.cut, lost.lost) == (20, 20, 20)
        assert "share is 0.5" in wrong.wrong_samples[0]

    async def test_latency_counts_from_the_due_time_and_gaps_are_measured(self, clock):
        async with serve() as (entries, ports):
            entries[0].delay_s = 0.5
            summary = await load(ports, n_requests=1_000, duration_s=2.0)
        assert summary.sent < 200
        assert summary.p50_ms == pytest.approx(500, abs=5)
        assert summary.worst_gap_ms == pytest.approx(520, abs=50)

    async def test_requests_over_the_bound_are_skipped_and_counted(self, clock):
        async with serve() as (entries, ports):
            entries[0].delay_s = 1.0
            summary = await load(ports, max_in_flight=3)
        assert summary.sent + summary.skipped == 20
        assert summary.skipped > 0
        assert summary.answered == summary.sent

    async def test_closed_loop_caller_waits_for_the_retry_time(self, clock):
        async with serve() as (entries, ports):
            entries[0].refuses = True
            summary = await load(
                ports, arrivals=ClosedLoop(n_callers=2), duration_s=0.9
            )
        assert summary.not_run == summary.sent == 10
        assert summary.reasons == {"not_run: admit: overloaded": 10}
        assert summary.refusal_max_ms < 100


class TestBookings:
    async def test_each_booking_has_a_ticket_of_its_own(self, clock):
        records: list[Record] = []
        async with serve(2) as (_, ports):
            summary = await load(ports, work=Bookings(), observe=records.append)
        assert summary.answered == 20
        assert {r.ticket for r in records} == {f"t-q1-{i}" for i in range(20)}

    async def test_cut_booking_is_sent_again_only_with_its_ticket(self, clock):
        async with serve() as (entries, ports):
            entries[0].cuts = ["tickets", "requests", "requests"]
            bookings = Bookings(n_retries=3)
            summary = await load(ports, work=bookings, n_requests=1)
            asked = [
                (request.path.rpartition("/")[2], request.headers.get("ticket"))
                for request in entries[0].requests
            ]
        assert (summary.answered, summary.retries) == (1, 3)
        assert asked == [("tickets", None)] * 2 + [("requests", "t-q1-0")] * 3

    async def test_without_retries_a_cut_is_final(self, clock):
        async with serve() as (entries, ports):
            entries[0].cuts = ["requests"]
            summary = await load(ports, work=Bookings(), n_requests=1)
        assert (summary.cut, summary.answered) == (1, 0)
