"""The client of the platform: outcomes, timeouts, silent connections."""

from contextlib import asynccontextmanager

import pytest
import trio
from trio.testing import MockClock

from lavendergap.state.outcome import Reason, Step
from lavendergap.state.settings import Address
from lavendergap.transport import httpclient
from lavendergap.transport.platform import (
    Conflict,
    Found,
    HostList,
    ListedHost,
    Listing,
    Missing,
    NotModified,
    ObjectVersion,
    PlatformClient,
    Refused,
    Stored,
    Unavailable,
)
from standins.faults import PlatformFaults
from standins.http import Connection, HttpServer, Reply
from standins.platform import HostChange, Platform

KEY = "settings/small"


@pytest.fixture
def clock():
    """A clock that jumps only after a real pause, since data passes the kernel."""
    return MockClock(autojump_threshold=0.02)


@asynccontextmanager
async def serve(handle):
    """Serve `handle` and yield a client of it."""
    async with trio.open_nursery() as nursery:
        server = HttpServer(ip="127.0.0.1", port=0, handle=handle)
        port = await nursery.start(server.run)
        address = Address(ip="127.0.0.1", port=port)
        async with PlatformClient(address=address) as client:
            yield client
        nursery.cancel_scope.cancel()


@asynccontextmanager
async def serve_platform(**faults):
    platform = Platform(faults=PlatformFaults(**faults))
    async with serve(platform.handle) as client:
        yield platform, client


class TestOutcomes:
    async def test_objects_are_created_read_and_replaced(self):
        async with serve_platform() as (_, client):
            assert await client.get(KEY) == Missing(key=KEY)
            assert await client.put(KEY, b"one", base=None) == Stored(version=1)
            assert await client.put(KEY, b"two", base=1) == Stored(version=2)
            assert await client.get(KEY) == Found(key=KEY, version=2, value=b"two")
            listed = ObjectVersion(key=KEY, version=2)
            whole = Listing(revision=2, objects=(listed,))
            assert await client.list_objects("settings/") == whole

    async def test_a_stale_write_returns_the_current_version(self):
        async with serve_platform() as (_, client):
            assert await client.put(KEY, b"x", base=7) == Conflict(version=None)
            await client.put(KEY, b"one", base=None)
            assert await client.put(KEY, b"x", base=None) == Conflict(version=1)
            assert await client.put(KEY, b"x", base=7) == Conflict(version=1)

    async def test_watches_wait_for_a_change(self, clock):
        async with serve_platform() as (_, client), trio.open_nursery() as nursery:
            await client.put(KEY, b"one", base=None)
            assert await client.watch(KEY, after=1, wait_s=20.0) == NotModified()
            watch = client.watch_prefix("settings/", after=1, wait_s=20.0)
            assert await watch == NotModified()
            found = []

            async def wait() -> None:
                found.append(await client.watch(KEY, after=1, wait_s=20.0))

            nursery.start_soon(wait)
            await trio.sleep(10.0)
            await client.put(KEY, b"two", base=1)
            listing = await client.watch_prefix("settings/", after=1, wait_s=20.0)
        assert found == [Found(key=KEY, version=2, value=b"two")]
        assert isinstance(listing, Listing)
        assert listing.revision == 2

    async def test_hosts_are_listed(self):
        async with serve_platform(hosts_lag_ms=0.0) as (platform, client):
            change = HostChange(peers="127.0.0.1:8101", state="leaving")
            platform.hosts.change({"a": change}, trio.current_time())
            host = ListedHost(name="a", peers="127.0.0.1:8101", state="leaving")
            assert await client.list_hosts() == HostList(hosts=(host,))

    async def test_a_value_that_is_too_large_is_refused(self):
        async with serve_platform() as (_, client):
            refused = await client.put(KEY, b"x" * 1_100_000, base=None)
            assert isinstance(refused, Refused)
            assert refused.status == 413


class TestFailures:
    async def test_a_refused_connection(self):
        async with serve_platform() as (_, client):
            pass
        lost = await client.put(KEY, b"x", base=None)
        reason = Reason.REFUSED_CONNECTION
        assert lost == Unavailable(step=Step.CONNECT, reason=reason, sent=False)

    @pytest.mark.parametrize(
        ("faults", "reason", "sent"),
        [
            ({"down": True}, Reason.SERVER_ERROR, True),
            ({"writes_per_s": 0.0, "reads_per_s": 0.0}, Reason.OVERLOADED, False),
        ],
    )
    async def test_outages_and_rate_limits_have_a_retry_delay(
        self, faults, reason, sent
    ):
        async with serve_platform(**faults) as (_, client):
            wanted = Unavailable(
                step=Step.RECEIVE, reason=reason, sent=sent, retry_after_s=1.0
            )
            assert await client.get(KEY) == wanted
            assert await client.put(KEY, b"x", base=None) == wanted

    async def test_a_write_with_a_lost_reply_may_have_taken_effect(self):
        """The platform stores the value, but its reply is lost.

        The outcome has to be `sent`, so that the caller reads the object back.
        """
        async with serve_platform(lose_replies=1) as (_, client):
            lost = await client.put(KEY, b"x", base=None)
            reason = Reason.LOST_CONNECTION
            assert lost == Unavailable(step=Step.RECEIVE, reason=reason, sent=True)
            assert await client.get(KEY) == Found(key=KEY, version=1, value=b"x")

    async def test_a_call_to_a_slow_platform_times_out(self, clock):
        async with serve_platform(delay_ms=60_000.0) as (_, client):
            started = trio.current_time()
            lost = await client.get(KEY)
            taken = trio.current_time() - started
        assert isinstance(lost, Unavailable)
        assert lost.reason is Reason.SILENT_CONNECTION
        assert taken == pytest.approx(client.limit_s, abs=0.1)

    async def test_idle_connections_that_are_silent_are_replaced(self, clock):
        """A retry on another silent connection would fail although new ones work.

        A firewall that drops the state of connections makes all idle ones silent.
        """
        silent: set[Connection] = set()
        kept = set()

        async def handle(_request, connection):
            connection.is_silent = connection in silent
            kept.add(connection)
            while len(kept) < 2:
                await trio.sleep(0.001)
            return Reply(status=200, headers=(("ETag", '"1"'),))

        async with serve(handle) as client:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(client.get, KEY)
                nursery.start_soon(client.get, KEY)
            silent |= kept
            started = trio.current_time()
            assert isinstance(await client.get(KEY), Found)
            assert trio.current_time() - started < client.limit_s
        assert len(kept) == 3

    async def test_a_timeout_does_not_interrupt_a_watch(self, clock):
        """If a timeout closed the connections of watches, all would be repeated.

        That would add load just when the platform is slow.
        """
        release = trio.Event()
        found = []

        async def handle(request, _connection):
            await (release.wait() if request.query else trio.sleep_forever())
            return Reply(status=200, headers=(("ETag", '"2"'),))

        async with serve(handle) as client, trio.open_nursery() as nursery:

            async def wait() -> None:
                found.append(await client.watch(KEY, after=1, wait_s=60.0))

            nursery.start_soon(wait)
            assert isinstance(await client.get(KEY), Unavailable)
            release.set()
        assert found == [Found(key=KEY, version=2, value=b"")]

    @pytest.mark.parametrize(
        "reply",
        [
            Reply(status=200, body=b"{}"),
            Reply(status=200, body=b"{}", headers=(("ETag", 'W/"1"'),)),
            Reply(status=200, body=b"{}", headers=(("ETag", '"-1"'),)),
            Reply(
                status=200,
                body=b"{}" * 50,
                headers=(("ETag", '"1"'),),
                n_body_bytes_sent=3,
            ),
            Reply(status=200, body=b"x" * 2_000, headers=(("ETag", '"1"'),)),
        ],
        ids=["no version", "weak", "negative", "cut short", "too long"],
    )
    async def test_an_invalid_answer_is_unavailable(self, reply, monkeypatch):
        monkeypatch.setattr(httpclient, "MAX_ANSWER_BYTES", 1_000)

        async def handle(_request, _connection):
            return reply

        async with serve(handle) as client:
            for outcome in (
                await client.get(KEY),
                await client.put(KEY, b"x", base=1),
                await client.list_objects("settings/"),
            ):
                assert isinstance(outcome, Unavailable)
                assert outcome.sent
