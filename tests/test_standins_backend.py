"""The backend stand-in: limits, refusals and each fault."""

import random
from contextlib import asynccontextmanager
from typing import Any

import msgspec
import pytest
import trio
from trio.testing import MockClock

from lavendergap.state.settings import Address, Server
from standins import client
from standins.backend import BackendServer, make_fleet
from standins.client import Client, LostConnectionError
from standins.faults import BackendFaults, change_faults
from standins.http import HttpServer

NAME = "scheduler-00-a"


@pytest.fixture
def clock():
    """Jump only after a real pause, since data passes through kernel sockets."""
    return MockClock(autojump_threshold=0.005)


class Bench:
    """One backend server with its control port, and methods to call both."""

    def __init__(self, *, server: BackendServer, control_port: int):
        self.server = server
        self.control_port = control_port

    async def connect(self) -> Client:
        return await client.connect("127.0.0.1", self.server.port)

    async def get(self, path: str) -> Any:
        return (await (await self.connect()).request("GET", path)).json

    async def control(self, method: str, path: str, value: object = None):
        caller = await client.connect("127.0.0.1", self.control_port)
        body = msgspec.json.encode(value)
        answer = await caller.request(method, path, body=body)
        await caller.aclose()
        return answer

    async def set_faults(self, **change: Any) -> None:
        answer = await self.control("POST", "/faults", {"scheduler-*": change})
        assert answer.status == 200, answer.body

    async def call(
        self,
        attempt: str,
        *,
        path: str = "/search",
        body: bytes = b"{}",
        over: Client | None = None,
        **call_headers: str,
    ):
        headers = {n.replace("_", "-"): v for n, v in call_headers.items()}
        headers["Attempt"] = attempt
        caller = over or await self.connect()
        return await caller.request("POST", path, headers=headers, body=body)

    async def call_all(self, n_calls: int) -> list[int]:
        """Send calls concurrently; return their statuses, 0 for a lost call."""
        statuses = [0] * n_calls

        async def send(i: int) -> None:
            try:
                statuses[i] = (await self.call(f"a{i}")).status
            except (LostConnectionError, OSError):
                statuses[i] = 0

        async with trio.open_nursery() as nursery:
            for i in range(n_calls):
                nursery.start_soon(send, i)
        return statuses


@asynccontextmanager
async def serve(*, slots: int = 2, connections: int = 25, **faults: Any):
    server = Server(
        name=NAME,
        address=Address(ip="127.0.0.1", port=0),
        data_centre="ptl-a",
        slots=slots,
        connections=connections,
    )
    given = change_faults(BackendFaults(), faults)
    fleet = make_fleet((server,), faults=given, queue_per_slot=1)
    async with trio.open_nursery() as nursery:
        (standin,) = fleet.servers
        await nursery.start(standin.run)
        control = HttpServer(ip="127.0.0.1", port=0, handle=fleet.handle)
        yield Bench(server=standin, control_port=await nursery.start(control.run))
        nursery.cancel_scope.cancel()


def expect_not_run(answer: client.Answer, status: int) -> None:
    assert (answer.status, answer.headers["outcome"]) == (status, "not-run")


class TestAnswer:
    async def test_answer_identifies_its_call(self):
        async with serve(index_versions=[6, 7]) as bench:
            answer = await bench.call(
                "a1", body=b'{"query": "bus"}', shard="s03", index_version="6"
            )
        assert answer.status == 200
        assert answer.json == {
            "shard": "s03",
            "version": 6,
            "server": NAME,
            "query": "bus",
            "length": 16,
        }
        assert answer.headers["attempt"] == "a1"
        assert answer.headers["shard"] == "s03"
        assert answer.headers["index-version"] == "6"
        assert answer.headers["index-versions"] == "6,7"
        assert answer.headers["load"] == "0/2/0"
        assert answer.headers["server-state"] == "serving"

    @pytest.mark.parametrize(
        ("headers", "status"),
        [
            ({"Deadline_Ms": "soon"}, 400),
            ({"Deadline_Ms": "nan"}, 400),
            ({"Deadline_Ms": "inf"}, 400),
            ({"Deadline_Ms": "-inf"}, 408),
            ({"Index_Version": "x"}, 400),
            ({"Index_Version": "-1"}, 409),
        ],
    )
    async def test_malformed_call_is_refused(self, headers, status):
        async with serve() as bench:
            assert (await bench.call("a1", **headers)).status == status
            assert (await bench.call("")).status == 400
            assert bench.server.counts.run == 0


class TestSlots:
    async def test_excess_is_queued_and_then_shed_as_not_run(self, clock):
        async with serve(service_ms=1_000) as bench:
            statuses = await bench.call_all(6)
            counts = bench.server.get_counts()
        assert sorted(statuses) == [200] * 4 + [503] * 2
        assert (counts["run"], counts["shed"], counts["max_in_use"]) == (4, 2, 2)

    async def test_deadline_that_passes_in_the_queue_is_not_run(self, clock):
        async with serve(service_ms=1_000, slots=1) as bench:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(bench.call, "a1")
                await trio.sleep(0.1)
                late = await bench.call("a2", deadline_ms="500")
            expect_not_run(late, 408)
            assert bench.server.counts.run == 1

    async def test_connections_over_the_limit_are_closed(self):
        async with serve(connections=2) as bench:
            first, second, third = [await bench.connect() for _ in range(3)]
            assert (await bench.call("a1", over=first)).status == 200
            with pytest.raises(LostConnectionError):
                await bench.call("a3", over=third)
            assert bench.server.counts.connections_refused == 1
            await second.aclose()
            await trio.testing.wait_all_tasks_blocked(0.01)
            assert (await bench.call("a4")).status == 200

    async def test_no_slot_is_lost_or_doubled_by_cancels_and_crashes(self, clock):
        """A slot assigned to a call just as the call ends was lost, so that the server
        shed more and more calls."""
        rng = random.Random(7)
        async with serve(service_ms=30, service_law="exponential") as bench:

            async def send(i: int) -> None:
                await trio.sleep(rng.random())
                left_ms = rng.choice((5, 40, 400))
                with trio.move_on_after(rng.choice((0.01, 0.05, 1.0))):
                    try:
                        await bench.call(f"a{i}", deadline_ms=str(left_ms))
                    except (LostConnectionError, OSError):
                        return

            async with trio.open_nursery() as nursery:
                for i in range(60):
                    nursery.start_soon(send, i)
                for pause_s in (0.3, 0.3):
                    await trio.sleep(pause_s)
                    await bench.set_faults(dead=True, restart_ms=20)
            await trio.sleep(1)
            counts = bench.server.get_counts()
            assert (counts["in_use"], counts["queued"]) == (0, 0)
            assert counts["max_in_use"] == 2
            assert await bench.call_all(2) == [200, 200]

    async def test_crash_with_a_queue_loses_no_slot(self, clock):
        """A crash ends the call in service, whose slot goes to a queued call that ends,
        too. The order of both is up to trio, so ten crashes are tried."""
        async with serve(service_ms=1_000, slots=1) as bench:
            for _ in range(10):
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(bench.call_all, 2)
                    await trio.sleep(0.5)
                    assert bench.server.get_counts()["queued"] == 1
                    await bench.set_faults(dead=True, restart_ms=20)
                await trio.sleep(0.1)
                assert bench.server.get_counts()["in_use"] == 0


class TestCancel:
    @pytest.mark.parametrize("closes", [False, True])
    async def test_cancel_frees_the_slot(self, closes, clock):
        async with serve(service_ms=60_000, slots=1) as bench:
            with trio.move_on_after(30):
                async with trio.open_nursery() as nursery:
                    caller = await bench.connect()
                    nursery.start_soon(call_and_ignore_loss, bench, caller)
                    await trio.sleep(1)
                    if closes:
                        await caller.aclose()
                    else:
                        answer = await bench.call("a1", path="/cancel")
                        assert answer.status == 204
            await trio.sleep(0.1)
            assert (await bench.get("/load"))["in_use"] == 0
            assert bench.server.counts.cancelled == 1

    async def test_cancelled_in_the_queue_is_not_run(self, clock):
        async with serve(service_ms=1_000, slots=1) as bench:
            answers = []

            async def send(attempt: str) -> None:
                answers.append(await bench.call(attempt))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(send, "a1")
                await trio.sleep(0.1)
                nursery.start_soon(send, "a2")
                await trio.sleep(0.1)
                await bench.call("a2", path="/cancel")
            expect_not_run(answers[0], 503)
            assert (answers[1].status, bench.server.counts.run) == (200, 1)

    async def test_server_without_cancel_runs_to_the_end(self, clock):
        async with serve(service_ms=1_000, cancels=False) as bench:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(bench.call, "a1")
                await trio.sleep(0.1)
                await bench.call("a1", path="/cancel")
            assert bench.server.counts.answered == 1


async def call_and_ignore_loss(bench: Bench, caller: Client) -> None:
    try:
        await bench.call("a1", over=caller)
    except (LostConnectionError, trio.ClosedResourceError):
        return


class TestRefusals:
    @pytest.mark.parametrize(
        ("faults", "status"),
        [
            ({"shed": True}, 503),
            ({"state": "draining"}, 503),
            ({"state": "starting"}, 503),
            ({"index_versions": [2, 3]}, 409),
            ({"shards": {"1": ["s01"]}}, 421),
        ],
    )
    async def test_refusal_is_marked_not_run(self, faults, status):
        async with serve(**faults) as bench:
            answer = await bench.call("a1", shard="s03", index_version="1")
            expect_not_run(answer, status)
            assert ("retry-after" in answer.headers) == (status == 503)
            assert bench.server.counts.run == 0

    async def test_draining_server_finishes_accepted_calls(self, clock):
        async with serve(service_ms=1_000, slots=1) as bench:
            async with trio.open_nursery() as nursery:
                statuses = []

                async def send() -> None:
                    statuses.extend(await bench.call_all(2))

                nursery.start_soon(send)
                await trio.sleep(0.1)
                await bench.set_faults(state="draining")
                expect_not_run(await bench.call("a9"), 503)
            assert statuses == [200, 200]


class TestStaleAndFalseReports:
    async def test_health_can_be_stale_or_false(self, clock):
        async with serve() as bench:
            await trio.sleep(10)
            await bench.set_faults(state="draining", health_lag_ms=3_000)
            first = await bench.get("/health")
            await trio.sleep(3)
            later = await bench.get("/health")
            await bench.set_faults(health_says="serving")
            false_health = await bench.get("/health")
        states = [health["state"] for health in (first, later, false_health)]
        assert states == ["serving", "draining", "serving"]

    async def test_load_can_be_stale_or_false(self, clock):
        async with serve(service_ms=1_000, load_lag_ms=5_000) as bench:
            await trio.sleep(10)
            first = await bench.get("/load")
            async with trio.open_nursery() as nursery:
                nursery.start_soon(bench.call, "a1")
                await trio.sleep(0.5)
                assert await bench.get("/load") == first
                await bench.set_faults(load_lag_ms=0)
                assert (await bench.get("/load"))["in_use"] == 1
                false_load = {"in_use": 0, "slots": 9, "queued": 0}
                await bench.set_faults(load_says=false_load)
                assert await bench.get("/load") == false_load

    async def test_index_versions_switch_after_a_delay(self, clock):
        async with serve(index_versions=[6, 7]) as bench:
            await bench.set_faults(next_index_versions=[7, 8], switch_after_ms=2_000)
            before = await bench.call("a1", index_version="6")
            await trio.sleep(2)
            expect_not_run(await bench.call("a2", index_version="6"), 409)
            after = await bench.call("a3")
        assert before.headers["index-versions"] == "6,7"
        assert after.headers["index-versions"] == "7,8"
        assert after.json["version"] == 8


class TestConnections:
    async def test_silence_affects_open_connections_only(self, clock):
        """A call over an old connection runs but is never answered; one over a new
        connection is answered at once."""
        async with serve() as bench:
            old = await bench.connect()
            assert (await bench.call("a1", over=old)).status == 200
            await bench.set_faults(silence=True)
            assert (await bench.call("a2")).status == 200
            with trio.move_on_after(1_000) as scope:
                await bench.call("a3", over=old)
            assert scope.cancelled_caught
            await bench.set_faults(silence=False)
            await old.aclose()
            await trio.sleep(0.1)
            assert (await bench.call("a4")).status == 200

    async def test_dead_server_refuses_connections_until_it_restarts(self, clock):
        async with serve(service_ms=1_000) as bench:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(expect_lost, bench)
                await trio.sleep(0.5)
                await bench.set_faults(dead=True)
            with pytest.raises(OSError):
                await bench.connect()
            await bench.set_faults(dead=False)
            await trio.sleep(0.1)
            assert (await bench.call("a2")).status == 200

    @pytest.mark.parametrize(("when", "n_run"), [("before run", 0), ("after run", 1)])
    async def test_crash_loses_the_answer_but_keeps_the_counts(
        self, when, n_run, clock
    ):
        async with serve(crash=when, restart_ms=500) as bench:
            with pytest.raises(LostConnectionError):
                await bench.call("a1", path="/run", ticket="t1")
            assert bench.server.counts.run == n_run
            await trio.sleep(1)
            answer = await bench.call("a2", path="/run", ticket="t1")
            runs = (await bench.control("GET", "/runs")).json[NAME]
            counts = (await bench.control("GET", "/counts")).json[NAME]
        assert answer.status == 200
        assert runs == {"t1": n_run + 1}
        assert counts["run_twice"] == n_run

    async def test_new_connection_and_cold_start_take_time(self, clock):
        async with serve(
            service_ms=100, cold_s=10, cold_factor=5, connect_ms=6_000
        ) as bench:
            start = trio.current_time()
            caller = await bench.connect()
            await bench.call("a1", over=caller)
            cold = trio.current_time() - start
            await trio.sleep(10)
            start = trio.current_time()
            await bench.call("a2", over=caller)
            warm = trio.current_time() - start
        assert cold == pytest.approx(6 + 0.1 * (1 + 4 * 0.4), abs=0.01)
        assert warm == pytest.approx(0.1, abs=0.01)


async def expect_lost(bench: Bench) -> None:
    with pytest.raises(LostConnectionError):
        await bench.call("a1")


class TestChangesOfFaults:
    async def test_another_change_does_not_silence_again(self, clock):
        """Setting another fault later also silenced connections opened in between,
        since the first fault was still set."""
        async with serve() as bench:
            await bench.set_faults(silence=True)
            later = await bench.connect()
            await bench.call("a1", over=later)
            await bench.set_faults(service_ms=1)
            with trio.fail_after(10):
                assert (await bench.call("a2", over=later)).status == 200

    async def test_another_change_does_not_move_the_switch(self, clock):
        """Changing another fault restarted the delay of a switch of index versions,
        and reverted a switch that had taken place."""
        async with serve() as bench:
            await bench.set_faults(next_index_versions=[2], switch_after_ms=2_000)
            await trio.sleep(1.5)
            await bench.set_faults(service_ms=1)
            await trio.sleep(1)
            first = await bench.get("/health")
            await bench.set_faults(service_ms=2)
            later = await bench.get("/health")
        assert first["index_versions"] == later["index_versions"] == [2]

    async def test_restart_can_be_set_for_a_dead_server(self, clock):
        async with serve(dead=True) as bench:
            await trio.sleep(1)
            await bench.set_faults(restart_ms=500)
            await trio.sleep(1)
            assert (await bench.get("/health"))["state"] == "serving"


class TestSpoiledAnswers:
    @pytest.mark.parametrize(
        ("fault", "header", "value"),
        [
            ("wrong_shard", "shard", "not-s03"),
            ("wrong_version", "index-version", "2"),
            ("wrong_attempt", "attempt", "not-a1"),
        ],
    )
    async def test_answer_has_a_wrong_header(self, fault, header, value):
        async with serve(**{fault: 1}) as bench:
            answer = await bench.call("a1", shard="s03", index_version="1")
        assert (answer.status, answer.headers[header]) == (200, value)

    async def test_crossed_answer_is_that_of_the_previous_call(self):
        async with serve(crossed=1) as bench:
            await bench.call("a1", body=b'{"query": "one"}')
            answer = await bench.call("a2", body=b'{"query": "two"}')
        assert answer.headers["attempt"] == "a1"
        assert answer.json["query"] == "one"

    async def test_duplicated_answer_is_read_by_the_next_call(self):
        """The second copy stays in the connection and is read as the answer to the
        next call on it."""
        async with serve(duplicated=1) as bench:
            caller = await bench.connect()
            first = await bench.call("a1", over=caller)
            second = await bench.call("a2", over=caller)
        assert (first.headers["attempt"], second.headers["attempt"]) == ("a1", "a1")

    async def test_truncated_answer_is_shorter_than_its_content_length(self):
        async with serve(truncated=1) as bench:
            with pytest.raises(LostConnectionError) as caught:
                await bench.call("a1")
        assert caught.value.has_answer_bytes

    @pytest.mark.parametrize(("runs", "n_run"), [(True, 1), (False, 0)])
    async def test_http_500_states_no_outcome(self, runs, n_run):
        async with serve(http_500=1, http_500_runs=runs) as bench:
            answer = await bench.call("a1", path="/run")
            assert (answer.status, answer.headers.get("outcome")) == (500, None)
            assert bench.server.counts.run == n_run

    async def test_stragglers_are_a_seeded_share(self, clock):
        async def measure(seed: int) -> list[float]:
            async with serve(
                service_ms=100, straggle_share=0.2, straggle_factor=20, seed=seed
            ) as bench:
                caller = await bench.connect()
                times = []
                for i in range(25):
                    start = trio.current_time()
                    await bench.call(f"a{i}", over=caller)
                    times.append(round(trio.current_time() - start, 1))
                return times

        first = await measure(1)
        assert set(first) == {0.1, 2.0}
        assert first == await measure(1)
        assert first != await measure(2)


class TestControl:
    async def test_faults_are_shown_and_cleared(self):
        async with serve(service_ms=3) as bench:
            await bench.set_faults(shed=True, service_ms=9)
            shown = (await bench.control("GET", "/faults")).json[NAME]
            await bench.control("POST", "/faults/clear")
            assert bench.server.faults == BackendFaults(service_ms=3)
        assert (shown["shed"], shown["service_ms"]) == (True, 9)

    @pytest.mark.parametrize(
        "faults",
        [
            {"composer-*": {"shed": True}},
            {"*": {"shedd": True}},
            {"*": {"shed": 1}},
            {"*": {"truncated": 1.5}},
            [],
        ],
    )
    async def test_bad_faults_change_nothing(self, faults):
        async with serve() as bench:
            answer = await bench.control("POST", "/faults", faults)
            assert answer.status == 400
            assert "error" in answer.json
            assert bench.server.faults == BackendFaults()

    async def test_queries_are_counted_on_demand(self):
        async with serve(remember_queries=True, shed=True) as bench:
            await bench.call("a1", body=b'{"query": "bus"}')
            seen = (await bench.control("GET", "/queries")).json
        assert seen == {NAME: {"bus": 1}}


class TestBadInput:
    @pytest.mark.parametrize(
        "body", [b"", b"\xff", b'{"query": "\xff"}', b"[1]", b'{"query": 1}']
    )
    async def test_body_without_a_query_is_answered_without_one(self, body):
        async with serve(remember_queries=True) as bench:
            answer = await bench.call("a1", body=body)
        assert answer.json["query"] is None
        assert answer.json["length"] == len(body)

    @pytest.mark.parametrize("body", [b"", b"{", b'{"*": {"seed": "\xff"}}'])
    async def test_control_port_refuses_what_is_not_json(self, body):
        async with serve() as bench:
            caller = await client.connect("127.0.0.1", bench.control_port)
            assert (await caller.request("POST", "/faults", body=body)).status == 400

    @pytest.mark.parametrize(
        "data",
        [
            b"garbage\r\n\r\n",
            b"POST /search HTTP/1.1\r\nHost: x\r\nAttempt: " + b"a" * 30_000,
            b"POST /search HTTP/1.1\r\nHost: x\r\nContent-Length: 9999999\r\n\r\n"
            + b"x" * 2_100_000,
        ],
    )
    async def test_server_keeps_serving_after_malformed_input(self, data):
        async with serve() as bench:
            stream = await trio.open_tcp_stream("127.0.0.1", bench.server.port)
            try:
                await stream.send_all(data)
                assert b" 4" in (await stream.receive_some(100))[:12]
            except trio.BrokenResourceError:
                pass
            assert (await bench.call("a1")).status == 200
