"""Customers' keys at gateway processes while versions, hosts and the store change."""

import json
from dataclasses import dataclass, field

import h11
import pytest
import trio

from lab.gateways import (
    HOST_HEADER,
    Answer,
    Gateway,
    Platform,
    ask,
    make_one_route,
    make_search_route,
    open_platform,
    read_answer,
)
from lavendergap.entry.feedpeers import STARTUP_TIME_S
from standins.http import Connection, Reply, Request
from standins.leafservers import Leaf
from standins.objectstore import ObjectStore

# A removed key has to be refused on all hosts within this time of the store's answer.
APPLY_LIMIT_S = 5.0
SHARDS = [f"shard{n}" for n in range(4)]
OLD, NEW = "key-that-leaked", "key-that-stays"
VERSION = 3


@dataclass(kw_only=True)
class RecordingLeaf(Leaf):
    """A server that records what it receives."""

    requests: list[Request] = field(default_factory=list)

    async def handle(self, request: Request, connection: Connection) -> Reply | None:
        self.requests.append(request)
        return await super().handle(request, connection)


class ScarceStore(ObjectStore):
    """A store that, while `is_scarce`, tells one host of one change of the routes.

    All other calls, and watches that began before, are refused.
    """

    is_scarce = False
    has_told = False

    async def handle(self, request: Request, connection: Connection) -> Reply:
        """Answer or refuse one call."""
        reply = await super().handle(request, connection)
        if not self.is_scarce:
            return reply
        is_change = b"api_keys" in reply.body and not self.has_told
        self.has_told |= is_change
        return reply if is_change else Reply(status=503)


def write_keys(platform: Platform, version: int, *keys: str) -> None:
    """Write a version with these keys of the customer c1."""
    routes = [make_one_route("/one/", "desk"), make_search_route("/all/", SHARDS)]
    routes += [make_one_route("/open/", "desk", public=True)]
    tenants = [{"name": "c1", "api_keys": keys}, {"name": "c2", "api_keys": []}]
    platform.write_routes(version, routes, tenants=tenants)


@pytest.fixture
async def platform(tmp_path):
    """Yield three hosts past their startup; the last is far from all servers."""
    async with open_platform(tmp_path, store=ScarceStore()) as platform:
        for service in (*SHARDS, "desk"):
            for zone in ("ptl-a", "ptl-b"):
                leaf = RecordingLeaf(service=service, zone=zone)
                await platform.nursery.start(leaf.run, platform.store)
                platform.leaves.append(leaf)
        write_keys(platform, VERSION, OLD, NEW)
        await platform.start("ptl-a", "ptl-b", "sea-a")
        await trio.sleep(STARTUP_TIME_S)
        for gateway in platform.gateways:
            page = await ask(gateway.ports[1], "/status")
            assert len(json.loads(page.body)["members"]) == len(platform.gateways)
        yield platform


class Caller:
    """A caller that keeps its connection open."""

    def __init__(self, *, port: int, key: str) -> None:
        self._port = port
        self._key = key
        self._stream: trio.SocketStream | None = None
        self._http = h11.Connection(h11.CLIENT)

    async def ask(self, path: str, attempt: str) -> Answer:
        if self._stream is None:
            self._stream = await trio.open_tcp_stream("127.0.0.1", self._port)
        else:
            self._http.start_next_cycle()
        headers = make_headers(attempt, self._key)
        request = h11.Request(method="GET", target=path, headers=headers)
        data = self._http.send(request) or b""
        await self._stream.send_all(data + (self._http.send(h11.EndOfMessage()) or b""))
        return await read_answer(self._stream, self._http)


def make_headers(attempt: str, key: str) -> list[tuple[str, str]]:
    return [
        ("Host", HOST_HEADER),
        ("Lavendergap-Attempt-Id", attempt),
        ("Lavendergap-Deadline-Ms", "900"),
        ("Lavendergap-Credential", key),
        ("Lavendergap-Tenant-Id", "c2"),
        ("Connection", "Lavendergap-Tenant-Id"),
    ]


async def wait_until_refused(callers: list[Caller]) -> None:
    with trio.fail_after(APPLY_LIMIT_S):
        for caller in callers:
            while (await caller.ask("/one/", "w")).status != 401:
                await trio.sleep(0.05)


async def count_served(gateway: Gateway, key: str) -> int:
    """Repeat a request until the limit has passed; return how many were served."""
    n_served = 0
    with trio.move_on_after(APPLY_LIMIT_S):
        while True:
            try:
                headers = make_headers("r", key)
                answer = await ask(gateway.ports[0], "/one/", headers=headers)
                n_served += answer.status == 200
            except OSError:
                pass  # The host has not opened its port yet.
            await trio.sleep(0.02)
    return n_served


class TestRemovedKey:
    async def test_it_is_refused_in_time_on_open_connections(self, platform):
        # Guards against hosts that look a key up once for each connection, or that
        # depend on the store for a removal.
        ports = [gateway.ports[0] for gateway in platform.gateways]
        olds = [Caller(port=port, key=OLD) for port in ports]
        news = [Caller(port=port, key=NEW) for port in ports]
        for caller in (*olds, *news):
            assert (await caller.ask("/one/", "a")).status == 200
        platform.store.is_scarce = True
        write_keys(platform, VERSION + 1, NEW)
        await wait_until_refused(olds)
        for caller in news:
            assert (await caller.ask("/one/", "b")).status == 200
        sources = []
        for gateway in platform.gateways:
            changes = gateway.read_events("feed changed")
            sources += [c["source"] for c in changes if c["feed"] == "routes"][-1:]
        assert sources.count("store") == 1

    async def test_hosts_that_restart_or_see_a_restored_store_do_not_serve_it(
        self, platform
    ):
        # Guards against a host that starts with, or goes back to, an older version.
        copy = platform.store.take_copy()
        restarting = platform.gateways[1]
        restarting.kill()
        write_keys(platform, VERSION + 1, NEW)
        restarting.start()
        assert await count_served(restarting, OLD) == 0
        ports = [gateway.ports[0] for gateway in platform.gateways]
        olds = [Caller(port=port, key=OLD) for port in ports]
        await wait_until_refused(olds)
        platform.store.restore(copy)
        for leaf in platform.leaves:
            leaf.register(platform.store, "ready")
        with trio.move_on_after(APPLY_LIMIT_S):
            while True:
                for caller in olds:
                    assert (await caller.ask("/one/", "c")).status == 401
                await trio.sleep(0.05)


class TestForwarding:
    async def test_servers_get_the_customer_and_nothing_shows_the_key(self, platform):
        desks = [leaf for leaf in platform.leaves if leaf.service == "desk"]
        desks[0].faults.refuses = True  # Some requests need a retry.
        for gateway in platform.gateways:
            for path in ("/one/", "/all/", "/open/"):
                for n in range(4):
                    headers = make_headers(f"{path}{n}", NEW)
                    answer = await ask(gateway.ports[0], path, headers=headers)
                    assert answer.status in ((200,) if path == "/all/" else (200, 503))
                    assert answer.get("lavendergap-missing-parts") in ("", "0")
            headers = make_headers("d", f"{OLD}, {NEW}")
            refused = await ask(gateway.ports[0], "/all/", headers=headers)
            assert (refused.status, NEW in str(refused)) == (401, False)
        assert any(g.read_events("retry") for g in platform.gateways)
        for leaf in platform.leaves:
            assert leaf.requests
            for request in leaf.requests:
                customer = request.headers.get("lavendergap-tenant-id")
                assert customer == (None if request.path == "/open/" else "c1")
                assert NEW not in repr(request)
        for gateway in platform.gateways:
            pages = [gateway.output_path.read_text()]
            for path in ("/metrics", "/status"):
                page = await ask(gateway.ports[1], path)
                pages.append(page.body.decode())
            assert "key refused" in pages[0]
            for key in (OLD, NEW, "key-that"):
                assert not any(key in page for page in pages)
