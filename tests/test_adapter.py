"""The platform adapter: the manifest, entries in the store, and the store's client."""

import json
import math

import h11
import pytest
import trio
from hypothesis import given
from hypothesis import strategies as st

from adapter import entries, manifest
from adapter.store import ObjectStore
from adapter.tenants import MAX_PRIORITY
from adapter.translation import HEADER_NAMES, KINDS, PlatformAdapter
from lavendergap.entry.adapter import (
    HOSTS_FEED,
    ROUTES_FEED,
    SERVERS_FEED,
    STRIKES_FEED,
)
from lavendergap.state.customers import Customer
from lavendergap.state.feeds import (
    FeedChanges,
    FeedListing,
    HistoryExpired,
    StorePosition,
    StoreUnavailable,
)
from lavendergap.state.hostfile import parse_host_file
from lavendergap.state.outcome import Reason
from lavendergap.state.quarantine import Strike
from lavendergap.state.routes import GreatestOfAll, OneOf, WeightedGroup
from lavendergap.state.settings import Address
from standins import objectstore
from standins.http import HttpServer, make_json_reply

ROUTE = {
    "name": "r1",
    "host": "a.example",
    "path_prefix": "/a/",
    "type": "idempotent",
    "timeout_ms": 400,
    "slo_ms": 92,
    "priority": 1,
    "attempts": 2,
}


def read_manifest(**changes):
    body = {"version": 7, "routes": [ROUTE | changes], "services": [], "limits": {}}
    return manifest.read_routes(json.dumps(body).encode())


class TestManifest:
    def test_a_route_to_one_service(self):
        [route] = read_manifest(service="s1").routes
        assert route.target == OneOf(groups=(WeightedGroup(group="s1", weight=1.0),))
        assert (route.goal_ms, route.timeout_ms, route.max_attempts) == (92, 400, 2)
        assert route.idempotent

    def test_a_route_over_all_shards(self):
        [route] = read_manifest(gather=["s1", "s2"], top_k=50, min_coverage=0.89).routes
        assert route.target == GreatestOfAll(
            groups=("s1", "s2"), n_records=50, min_share=0.89
        )

    def test_a_split_route(self):
        split = [{"service": "s1", "weight": 3}, {"service": "s2", "weight": 1}]
        [route] = read_manifest(traffic_split=split).routes
        assert isinstance(route.target, OneOf)
        assert [each.weight for each in route.target.groups] == [3, 1]

    def test_a_service_without_a_warmup_rate_is_unlimited(self):
        services = [
            {"name": "s1", "warmup_s": 3.0, "warmup_per_s": 10.0},
            {"name": "s2", "warmup_s": 3.0, "warmup_per_s": 0.0},
            {"name": "s3"},
        ]
        body = {"version": 7, "routes": [], "services": services}
        routes = manifest.read_routes(json.dumps(body).encode())
        assert routes.cold_rates == {"s1": 10.0}

    def test_any_other_type_is_not_idempotent(self):
        assert (
            not read_manifest(service="s1", type="non_idempotent").routes[0].idempotent
        )
        assert (
            not read_manifest(service="s1", type="something new").routes[0].idempotent
        )

    @pytest.mark.parametrize("body", [b"", b"[]", b'{"version": "x"}', b"\xff"])
    def test_an_invalid_manifest_raises_value_error(self, body):
        with pytest.raises(ValueError):
            manifest.read_routes(body)

    @pytest.mark.parametrize("address", ["", "10.0.0.1", "10.0.0.1:x", 3])
    def test_a_server_with_an_invalid_address_is_refused(self, address):
        entry = {"service": "s", "address": address, "zone": "z", "slots": 2}
        with pytest.raises(ValueError):
            entries.read_server("i-1", json.dumps(entry | {"state": "ready"}).encode())

    def test_an_evacuation_is_named_by_its_data_centre(self):
        assert entries.read_evacuation("ptl-a", b"{}") == "ptl-a"
        assert entries.read_evacuation("ptl-a", b'{"new": 1}') == "ptl-a"

    @pytest.mark.parametrize("body", [b"", b'"ptl-a"', b"[]", b"null", b"\xff"])
    def test_an_invalid_evacuation_is_refused(self, body):
        with pytest.raises(ValueError):
            entries.read_evacuation("ptl-a", body)

    def test_a_draining_server(self):
        entry = {
            "service": "s",
            "address": "10.0.0.1:80",
            "zone": "ptl-a",
            "version": "v1",
            "slots": 2,
            "state": "draining",
            "warmup_left_ms": 0,
            "seq_no": 4,
        }
        server = entries.read_server("i-1", json.dumps(entry).encode())
        assert server.is_draining
        assert not server.is_cold
        assert (server.server_id, server.data_centre) == ("i-1", "ptl-a")

    def test_a_cold_server(self):
        entry = {
            "service": "s",
            "address": "10.0.0.1:80",
            "zone": "ptl-a",
            "version": "v1",
            "slots": 2,
            "state": "ready",
            "warmup_left_ms": 1.5,
            "seq_no": 4,
        }
        assert entries.read_server("i-1", json.dumps(entry).encode()).is_cold


def read_tenants(tenants):
    body = {"version": 7, "routes": [ROUTE], "tenants": tenants}
    return manifest.read_routes(json.dumps(body).encode()).customers


KEY = "marked-key-1"
OTHER = {"name": "c1", "api_keys": [KEY]}
JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text() | st.just(KEY),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=8,
)
FIELDS = dict.fromkeys(("priority", "rate_per_s", "burst"), JSON_VALUES)
FIELDS["name"] = st.text() | st.sampled_from(["c1", "c2"]) | JSON_VALUES
FIELDS["api_keys"] = st.lists(st.text() | st.just(KEY)) | JSON_VALUES
TENANTS = st.lists(st.fixed_dictionaries({}, optional=FIELDS))
INVALID = [
    *({"name": name} for name in ("c1", "", 3, None, "c2\r\nx: 1", "c\u00e9")),
    *({"name": name} for name in ("\ud800", " c2", "c" * 257)),
    *({"api_keys": [key]} for key in (KEY, "", f"{KEY}\n", f"{KEY}\u00e9", f"{KEY} ")),
    *({"api_keys": keys} for keys in (KEY, None, {KEY: 1}, [1])),
    *({"priority": priority} for priority in ("0", 1.5, None, KEY)),
    *({"rate_per_s": rate} for rate in (-1, KEY, True, math.nan, math.inf, 10**400)),
    *({"burst": burst} for burst in (-0.5, [KEY])),
]


class TestTenants:
    """The customers in the manifest."""

    def test_customers_are_found_by_their_keys(self):
        full = {"name": "c2", "api_keys": ["k2", "k3", "k2"], "new": 1}
        full |= {"priority": 3, "rate_per_s": 0.5, "burst": 4}
        table = read_tenants([OTHER, full])
        c2 = Customer(name="c2", priority=3, rate_per_s=0.5, burst=4.0)
        found = [table.find_by_key(k) for k in (KEY.encode(), b"k2", b"k3", b"k4")]
        assert found == [Customer(name="c1"), c2, c2, None]
        assert KEY not in repr(table)

    def test_no_tenants_and_none_differ(self):
        assert read_manifest().customers is None
        assert read_tenants([]).customers == {}

    def test_priorities_are_bounded_and_null_is_no_limit(self):
        for stated, bounded in ((2**62, MAX_PRIORITY), (-1, 0)):
            entry = {"priority": stated, "rate_per_s": None, "burst": None}
            [customer] = read_tenants([OTHER | entry]).customers.values()
            assert (customer.priority, customer.has_limit) == (bounded, False)

    def test_a_route_is_public_only_if_stated(self):
        assert not read_manifest().routes[0].is_public
        assert read_manifest(public=True).routes[0].is_public

    @pytest.mark.parametrize("entry", INVALID)
    def test_invalid_tenants_are_refused_without_quoting_a_key(self, entry):
        with pytest.raises(ValueError) as caught:
            read_tenants([OTHER, {"name": "c2"} | entry])
        assert KEY not in str(caught.value)

    @pytest.mark.parametrize("tenants", [None, {}, KEY, [KEY], [[]], [{}], 0])
    def test_anything_but_a_list_of_tenants_is_refused(self, tenants):
        with pytest.raises(ValueError) as caught:
            read_tenants(tenants)
        assert KEY not in str(caught.value)

    @given(TENANTS | JSON_VALUES)
    def test_any_value_gives_a_table_or_a_value_error(self, tenants):
        try:
            table = read_tenants(tenants)
        except ValueError as error:
            assert KEY not in str(error)
        else:
            for name in table.customers:
                # Raises an error if the name is not valid in a header.
                h11.Request(method="GET", target="/", headers=[("host", name)])


class TestHeaders:
    def test_names_are_in_lower_case_as_they_are_compared(self):
        for name in HEADER_NAMES.__slots__:
            value = getattr(HEADER_NAMES, name)
            assert value == value.lower()


@pytest.fixture
async def store():
    async with trio.open_nursery() as nursery:
        standin = objectstore.ObjectStore()
        port = await nursery.start(standin.make_server(ip="127.0.0.1", port=0).run)
        address = Address(ip="127.0.0.1", port=port)
        yield standin, ObjectStore(address=address, kinds=KINDS)
        nursery.cancel_scope.cancel()


def make_position(standin: objectstore.ObjectStore) -> StorePosition:
    return StorePosition(epoch=standin.epoch, revision=standin.revision)


class TestStore:
    async def test_a_listing_fetches_all_pages(self, store):
        standin, client = store
        for index in range(2 * objectstore.PAGE_ITEMS + 3):
            standin.put("servers", f"i-{index:03}", {"n": index})
        listing = await client.list_feed(SERVERS_FEED, may_be_stale=False)
        assert isinstance(listing, FeedListing)
        assert len(listing.entries) == 2 * objectstore.PAGE_ITEMS + 3
        assert listing.position == make_position(standin)

    async def test_a_watch_returns_changes_made_while_it_waits(self, store):
        standin, client = store
        base = standin.put("servers", "i-1", {"n": 1})
        async with trio.open_nursery() as nursery:
            results = []

            async def watch():
                results.append(
                    await client.watch_feed(
                        SERVERS_FEED, after=StorePosition(revision=base), wait_s=5.0
                    )
                )

            nursery.start_soon(watch)
            await trio.sleep(0.05)
            standin.remove("servers", "i-1")
        [changes] = results
        assert isinstance(changes, FeedChanges)
        assert [(c.name, c.body) for c in changes.changes] == [("i-1", None)]

    async def test_a_watch_without_changes_times_out(self, store):
        standin, client = store
        result = await client.watch_feed(
            SERVERS_FEED, after=make_position(standin), wait_s=0.05
        )
        assert result == FeedChanges(position=make_position(standin), changes=())

    async def test_a_watch_from_a_dropped_revision(self, store):
        standin, client = store
        base = standin.put("servers", "i-1", {"n": 1})
        standin.put("servers", "i-2", {"n": 1})
        standin.forget_history()
        result = await client.watch_feed(
            SERVERS_FEED, after=StorePosition(revision=base), wait_s=1.0
        )
        assert result == HistoryExpired()

    async def test_a_listing_states_how_often_the_store_was_restored(self, store):
        standin, client = store
        copy = standin.take_copy()
        for epoch in (1, 2):
            listing = await client.list_feed(SERVERS_FEED, may_be_stale=False)
            assert isinstance(listing, FeedListing)
            assert listing.position.epoch == epoch
            standin.restore(copy)

    async def test_a_watch_from_a_revision_lost_in_a_restore(self, store):
        standin, client = store
        copy = standin.take_copy()
        lost = standin.put("servers", "i-1", {"n": 1})
        standin.restore(copy)
        result = await client.watch_feed(
            SERVERS_FEED, after=StorePosition(revision=lost), wait_s=1.0
        )
        assert result == HistoryExpired()

    @pytest.mark.parametrize(
        "epoch", ["", "-1", "2.5", "²", "two", "9" * 19, "9" * 5_000]
    )
    async def test_a_malformed_epoch_makes_an_answer_unusable(self, epoch):
        async def handle(_request, _connection):
            return make_json_reply(
                {"items": [], "current_rev": 1}, headers=(("Store-Era", epoch),)
            )

        async with trio.open_nursery() as nursery:
            server = HttpServer(ip="127.0.0.1", port=0, handle=handle)
            address = Address(ip="127.0.0.1", port=await nursery.start(server.run))
            client = ObjectStore(address=address, kinds=KINDS)
            result = await client.list_feed(SERVERS_FEED, may_be_stale=False)
            nursery.cancel_scope.cancel()
        assert isinstance(result, StoreUnavailable)
        assert result.reason is Reason.WRONG_ANSWER

    async def test_a_busy_store_is_a_server_error(self, store):
        standin, client = store
        standin.mode = "busy"
        result = await client.list_feed(SERVERS_FEED, may_be_stale=False)
        assert isinstance(result, StoreUnavailable)
        assert result.reason is Reason.SERVER_ERROR

    async def test_a_watch_of_a_silent_store_times_out(self, store):
        standin, client = store
        standin.mode = "silent"
        with trio.fail_after(2.0):
            result = await client.watch_feed(
                SERVERS_FEED, after=StorePosition(revision=1), wait_s=0.1
            )
        assert isinstance(result, StoreUnavailable)

    async def test_registering_a_host_replaces_its_entry(self, store):
        standin, client = store
        host = parse_host_file(
            json.dumps(
                {
                    "name": "ptl-a-1",
                    "data_centre": "ptl-a",
                    "callers": "127.0.0.1:1",
                    "admin": "127.0.0.1:2",
                    "peer_ip": "127.0.0.1",
                    "peer_port": 3,
                    "store": str(client._client.address),
                    "bounds": {
                        "drain_ms": 1,
                        "stop_within_ms": 1,
                        "extra_call_share": 0.2,
                        "extra_call_slack": 5,
                        "extra_call_window_s": 10,
                    },
                }
            ),
            file="host.jsonc",
        )
        adapter = PlatformAdapter(host)
        for port in (3, 4):
            address = Address(ip="127.0.0.1", port=port)
            assert await adapter.register_host("ptl-a-1", address)
            listing = await adapter.feed_source.list_feed(
                HOSTS_FEED, may_be_stale=False
            )
            assert isinstance(listing, FeedListing)
            [entry] = listing.entries
            assert adapter.read_host(entry.body) == address

    async def test_strikes_are_written_listed_and_removed(self, store):
        _, client = store
        adapter = PlatformAdapter.__new__(PlatformAdapter)
        adapter.feed_source = client
        strike = Strike(
            name="c0.7", content="c0", host="a-1", servers=("i-1",), is_trial=True
        )
        for _ in range(2):  # A write is repeated if its answer is lost.
            assert await adapter.write_strike(strike)
        listing = await client.list_feed(STRIKES_FEED, may_be_stale=False)
        assert isinstance(listing, FeedListing)
        [entry] = listing.entries
        assert adapter.read_strike(entry.name, entry.body) == strike
        for _ in range(2):
            assert await adapter.remove_strike("c0.7")
        listing = await client.list_feed(STRIKES_FEED, may_be_stale=False)
        assert isinstance(listing, FeedListing)
        assert listing.entries == ()

    @pytest.mark.parametrize(
        "body",
        [
            b"",
            b'{"content": "", "host": "a", "servers": [], "trial": true}',
            b'{"content": "other", "host": "a", "servers": [], "trial": true}',
            b'{"content": "c0", "host": "a", "servers": [], "trial": "yes"}',
        ],
    )
    def test_an_invalid_strike_is_refused(self, body):
        with pytest.raises(ValueError):
            entries.read_strike("c0.7", body)

    async def test_the_newest_manifest_is_found(self, store):
        standin, client = store
        adapter = PlatformAdapter.__new__(PlatformAdapter)
        assert adapter.read_routes({}) is None
        standin.put("config", "main", {"version": 4, "routes": []})
        listing = await client.list_feed(ROUTES_FEED, may_be_stale=False)
        assert isinstance(listing, FeedListing)
        table = adapter.read_routes({e.name: e.body for e in listing.entries})
        assert table is not None
        assert table.version == 4
