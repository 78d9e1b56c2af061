"""The platform stand-in: versions, conditions, watches, rates and outages."""

from contextlib import asynccontextmanager
from typing import Any

import msgspec
import pytest
import trio
from trio.testing import MockClock

from lavendergap.state.tree import parse_settings
from standins.client import Client, LostConnectionError, connect
from standins.faults import PlatformFaults
from standins.http import HttpServer
from standins.platform import Platform

KEY = "/objects/settings/cedarlight"
SETTINGS = """{
  "deployment": "cedarlight", "platform": "127.0.0.1:7000",
  "data_centres": {"ptl-a": {"hosts": {"ptl-a-1": {
    "callers": "127.0.0.1:8001", "peers": "127.0.0.1:8101",
    "admin": "127.0.0.1:8201"}}}},
  "services": {"scheduler": {"idempotent": true, "groups": {
    "scheduler-00": {"servers": {"scheduler-00-a": {
      "address": "127.0.0.1:20000", "data_centre": "ptl-a"}}},
    "scheduler-01": {"servers": {"scheduler-01-a": {
      "address": "127.0.0.1:20001", "data_centre": "ptl-a"}}}}}}
}"""


@pytest.fixture
def clock():
    """Jump only after a real pause, since data passes through kernel sockets."""
    return MockClock(autojump_threshold=0.005)


class Caller:
    """Calls one platform stand-in; each call uses a new connection."""

    def __init__(self, *, port: int, control_port: int):
        self.port = port
        self.control_port = control_port

    async def connect(self) -> Client:
        return await connect("127.0.0.1", self.port)

    async def call(self, method: str, path: str, body: bytes = b"", **headers: str):
        names = {name.replace("_", "-"): value for name, value in headers.items()}
        client = await self.connect()
        try:
            return await client.request(method, path, headers=names, body=body)
        finally:
            await client.aclose()

    async def control(self, path: str, **change: Any) -> Any:
        client = await connect("127.0.0.1", self.control_port)
        method = "GET" if path == "/counts" else "POST"
        body = msgspec.json.encode(change)
        answer = await client.request(method, path, body=body)
        await client.aclose()
        assert answer.status == 200, answer.body
        return answer.json

    async def set_faults(self, **change: Any) -> None:
        await self.control("/faults", **change)

    async def create(self, path: str = KEY, body: bytes = b"{}"):
        return await self.call("PUT", path, body, If_None_Match="*")


@asynccontextmanager
async def serve(*, seeded: bool = False):
    platform = Platform(faults=PlatformFaults())
    if seeded:
        platform.seed(parse_settings(SETTINGS, file="test.jsonc"), SETTINGS)
    async with trio.open_nursery() as nursery:
        ports = []
        for handle in (platform.handle, platform.handle_control):
            server = HttpServer(ip="127.0.0.1", port=0, handle=handle)
            ports.append(await nursery.start(server.run))
        yield Caller(port=ports[0], control_port=ports[1])
        nursery.cancel_scope.cancel()


class TestVersions:
    async def test_one_counter_for_all_objects(self):
        async with serve() as caller:
            first = await caller.create()
            other = await caller.create("/objects/index/scheduler")
            second = await caller.call("PUT", KEY, b"2", If_Match='"1"')
            read = await caller.call("GET", KEY)
        etags = [answer.headers["etag"] for answer in (first, other, second)]
        assert etags == ['"1"', '"2"', '"3"']
        assert (read.body, read.headers["etag"]) == (b"2", '"3"')

    async def test_stale_condition_is_refused_with_the_current_version(self):
        async with serve() as caller:
            await caller.create()
            stale = await caller.call("PUT", KEY, b"2", If_Match='"9"')
            again = await caller.create()
            absent = await caller.call("PUT", "/objects/x", b"2", If_Match='"1"')
            read = await caller.call("GET", KEY)
        assert (stale.status, stale.headers["etag"]) == (412, '"1"')
        assert (again.status, again.headers["etag"]) == (412, '"1"')
        assert (absent.status, absent.headers.get("etag")) == (412, None)
        assert read.body == b"{}"

    @pytest.mark.parametrize(
        ("headers", "status"),
        [
            ({}, 428),
            ({"If_Match": "one"}, 400),
            ({"If_None_Match": '"1"'}, 400),
            ({"If_Match": '"1"', "If_None_Match": "*"}, 400),
        ],
    )
    async def test_write_needs_one_condition(self, headers, status):
        async with serve() as caller:
            answer = await caller.call("PUT", KEY, b"{}", **headers)
            assert answer.status == status
            assert (await caller.call("GET", KEY)).status == 404

    async def test_value_holds_at_most_a_megabyte(self):
        async with serve() as caller:
            assert (await caller.create(body=b"x" * 1_048_577)).status == 413
            assert (await caller.create(body=b"x" * 1_048_576)).status == 200


class TestWatches:
    async def test_watch_of_a_key_ends_with_the_write(self, clock):
        async with serve() as caller, trio.open_nursery() as nursery:
            await caller.create()
            answers = []

            async def watch(after: int, wait_ms: int) -> None:
                path = f"{KEY}?after={after}&wait_ms={wait_ms}"
                answers.append((after, await caller.call("GET", path)))

            await watch(0, 1_000)
            nursery.start_soon(watch, 1, 10_000)
            await watch(1, 1_000)
            await caller.create("/objects/other")
            await caller.call("PUT", KEY, b"new", If_Match='"1"')
        statuses = [(after, answer.status) for after, answer in answers]
        assert statuses == [(0, 200), (1, 304), (1, 200)]
        assert answers[2][1].body == b"new"

    async def test_watch_of_a_prefix_lists_the_changed_keys(self, clock):
        async with serve() as caller, trio.open_nursery() as nursery:
            await caller.create("/objects/index/a")
            await caller.create("/objects/other")
            whole = await caller.call("GET", "/objects?prefix=index/")
            answers = []

            async def watch() -> None:
                path = "/objects?prefix=index/&after=2&wait_ms=9000"
                answers.append(await caller.call("GET", path))

            nursery.start_soon(watch)
            await trio.sleep(1)
            assert (await caller.control("/counts"))["watches"] == 1
            await caller.create("/objects/index/b")
        assert whole.json == {
            "revision": 2,
            "objects": [{"key": "index/a", "version": 1}],
        }
        assert answers[0].json == {
            "revision": 3,
            "objects": [{"key": "index/b", "version": 3}],
        }

    async def test_watch_of_a_disconnected_client_is_removed(self, clock):
        async with serve() as caller:
            with trio.move_on_after(1):
                await caller.call("GET", f"{KEY}?after=0&wait_ms=60000")
            await trio.sleep(0.1)
            assert (await caller.control("/counts"))["watches"] == 0


class TestOutages:
    async def test_write_with_a_lost_reply_takes_effect(self):
        """After a lost reply, a client that repeats its write is refused because of
        its own first one."""
        async with serve() as caller:
            await caller.set_faults(lose_replies=1)
            with pytest.raises(LostConnectionError):
                await caller.create(body=b"mine")
            again = await caller.create(body=b"mine")
            read = await caller.call("GET", KEY)
        assert (again.status, again.headers["etag"]) == (412, '"1"')
        assert read.body == b"mine"

    async def test_lost_request_writes_nothing(self):
        async with serve() as caller:
            await caller.set_faults(lose_requests=1)
            with pytest.raises(LostConnectionError):
                await caller.create()
            assert (await caller.create()).status == 200

    async def test_down_ends_calls_and_waiting_watches(self, clock):
        async with serve() as caller, trio.open_nursery() as nursery:
            answers = []

            async def watch() -> None:
                path = f"{KEY}?after=0&wait_ms=60000"
                answers.append(await caller.call("GET", path))

            nursery.start_soon(watch)
            await trio.sleep(1)
            await caller.set_faults(down=True)
            answers.append(await caller.create())
            await caller.control("/faults/clear")
            answers.append(await caller.call("GET", KEY))
        assert [answer.status for answer in answers] == [503, 503, 404]

    async def test_silent_connection_is_not_answered_after_the_fault(self, clock):
        async with serve() as caller:
            client = await caller.connect()
            await caller.set_faults(silent=True)
            with trio.move_on_after(100) as scope:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(client.request, "GET", KEY)
                    await trio.sleep(50)
                    await caller.control("/faults/clear")
                    assert (await caller.call("GET", KEY)).status == 404
            assert scope.cancelled_caught
            assert (await caller.control("/counts"))["no reply"] == 1

    async def test_reads_and_watches_can_be_stale(self, clock):
        """Reads return the previous version while they are stale; a watch returns a
        write only after its lag."""
        async with serve() as caller:
            await caller.create(body=b"old")
            await trio.sleep(10)
            await caller.set_faults(stale_reads_ms=5_000, stale_watches_ms=3_000)
            await caller.call("PUT", KEY, b"new", If_Match='"1"')
            start = trio.current_time()
            read = await caller.call("GET", KEY)
            watch = await caller.call("GET", f"{KEY}?after=1&wait_ms=9000")
            waited = trio.current_time() - start
            await trio.sleep(5)
            later = await caller.call("GET", KEY)
        assert (read.body, watch.body, later.body) == (b"old", b"new", b"new")
        assert waited == pytest.approx(3.0, abs=0.01)

    async def test_reads_and_writes_have_separate_rates(self, clock):
        async with serve() as caller:
            await caller.set_faults(reads_per_s=3, writes_per_s=2)
            reads = [(await caller.call("GET", KEY)).status for _ in range(4)]
            writes = [(await caller.create()).status for _ in range(3)]
            await trio.sleep(1)
            assert (await caller.call("GET", KEY)).status == 200
        assert reads == [404, 404, 404, 429]
        assert writes == [200, 412, 429]

    @pytest.mark.parametrize(
        "change", [{"dwon": True}, {"delay_ms": -1}, {"down": "yes"}]
    )
    async def test_unknown_or_wrong_fault_is_refused(self, change):
        async with serve() as caller:
            with pytest.raises(AssertionError, match="dwon|delay_ms|down"):
                await caller.set_faults(**change)


class TestHosts:
    async def test_list_lags(self, clock):
        async with serve(seeded=True) as caller:
            first = (await caller.call("GET", "/hosts")).json["hosts"]
            await caller.control(
                "/hosts",
                **{
                    "ptl-a-1": {"state": "leaving"},
                    "ptl-a-2": {"peers": "127.0.0.1:8102"},
                },
            )
            soon = (await caller.call("GET", "/hosts")).json["hosts"]
            await trio.sleep(2.1)
            later = (await caller.call("GET", "/hosts")).json["hosts"]
        assert first == [
            {"name": "ptl-a-1", "peers": "127.0.0.1:8101", "state": "live"}
        ]
        assert soon == first
        assert [host["state"] for host in later] == ["leaving", "live"]


class TestSeeds:
    async def test_objects_are_created_from_the_settings_file(self):
        async with serve(seeded=True) as caller:
            settings = await caller.call("GET", KEY)
            index = await caller.call("GET", "/objects/index/scheduler")
        assert settings.json == {"text": SETTINGS, "edits": []}
        (snapshot,) = index.json["snapshots"]
        assert snapshot["version"] == 1
        assert snapshot["shards"][1] == {
            "name": "s01",
            "group": "scheduler-01",
            "share": 0.5,
        }
