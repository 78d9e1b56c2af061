"""Invalid entries in the store: they are skipped and hide no valid ones."""

import contextlib
import json
import logging
import string

import pytest
import trio
from hypothesis import given, settings
from hypothesis import strategies as st

from adapter import entries, pages
from adapter.store import ObjectStore
from adapter.translation import KINDS, PlatformAdapter
from lavendergap.coordination.feeds import FeedCopy
from lavendergap.coordination.starts import HOLD_S
from lavendergap.entry.activeconfig import ActiveConfig
from lavendergap.entry.adapter import SERVERS_FEED
from lavendergap.state.feeds import FeedChange, FeedChanges, FeedListing, StorePosition
from lavendergap.state.settings import Address
from standins import objectstore
from standins.http import HttpServer, Reply

ENTRY = {
    "service": "s",
    "address": "10.0.0.1:80",
    "zone": "ptl-a",
    "version": "v1",
    "slots": 2,
    "state": "ready",
    "warmup_left_ms": 0,
    "seq_no": 4,
}
DEEP = b"[" * 100_000 + b"]" * 100_000

WRONG_FIELDS = [
    {"service": ""},
    {"service": 7},
    {"slots": int(400 * "9")},
    {"seq_no": int(400 * "9")},
    {"born": int(400 * "9")},
    {"service": None},
    {"address": "10.0.0.1"},
    {"address": "10.0.0.1:65536"},
    {"address": "10.0.0.1:0"},
    {"address": "10.0.0.1:-1"},
    {"address": "10.0.0.1:" + "9" * 5_000},
    {"address": "10.0.0.1:\u0663"},
    {"address": "10.0.0.256:80"},
    {"address": "somewhere.example:80"},
    {"address": ["10.0.0.1", 80]},
    {"zone": 3},
    {"slots": "2"},
    {"slots": 0},
    {"slots": -2},
    {"slots": True},
    {"state": "sleeping"},
    {"state": "READY"},
    {"state": ""},
    {"state": None},
    {"seq_no": "x"},
    {"born": "1700000000000"},
    {"born": 1.5},
    {"born": None},
    {"born": True},
]


def encode(**changes) -> bytes:
    return json.dumps(ENTRY | changes).encode()


class TestServer:
    def test_an_entry_with_the_start_time_of_the_server(self):
        server = entries.read_server("i-1", encode(born=1_700_000_000_123))
        assert server.started_at_ms == 1_700_000_000_123
        assert server != entries.read_server("i-1", encode(born=1_700_000_000_124))

    def test_an_entry_without_a_start_time(self):
        assert entries.read_server("i-1", encode()).started_at_ms == 0

    def test_an_unknown_field_is_ignored(self):
        assert entries.read_server("i-1", encode(colour="red")).slots == 2

    @pytest.mark.parametrize("wrong", WRONG_FIELDS, ids=str)
    def test_a_field_with_an_invalid_value(self, wrong):
        with pytest.raises(ValueError):
            entries.read_server("i-1", encode(**wrong))

    @pytest.mark.parametrize("missing", sorted(ENTRY))
    def test_a_field_that_is_missing(self, missing):
        rest = {name: value for name, value in ENTRY.items() if name != missing}
        with pytest.raises(ValueError):
            entries.read_server("i-1", json.dumps(rest).encode())

    @pytest.mark.parametrize("body", [b"", b"\xff\xfe", b"null", b"[]", b"{", DEEP])
    def test_a_body_that_is_no_entry(self, body):
        with pytest.raises(ValueError):
            entries.read_server("i-1", body)

    def test_text_that_is_not_utf_8(self):
        with pytest.raises(ValueError):
            entries.read_server("i-1", encode(service="@").replace(b"@", b"\xff"))

    @given(st.binary(max_size=200))
    @settings(deadline=None)
    def test_any_bytes_are_an_entry_or_a_value_error(self, body):
        with contextlib.suppress(ValueError):
            entries.read_server("i-1", body)

    @given(
        st.dictionaries(
            st.sampled_from([*ENTRY, "born", "other"]),
            st.recursive(
                st.none()
                | st.booleans()
                | st.integers()
                | st.floats(allow_nan=False, allow_infinity=False)
                | st.text(max_size=20),
                lambda inner: st.lists(inner, max_size=3),
                max_leaves=5,
            ),
        )
    )
    @settings(deadline=None)
    def test_any_fields_are_an_entry_or_a_value_error(self, changes):
        body = json.dumps(ENTRY | changes).encode()
        try:
            server = entries.read_server("i-1", body)
        except ValueError:
            return
        assert server.slots >= 1
        assert 0 < server.address.port < 65_536
        assert isinstance(server.started_at_ms, int)


def make_active_config(**options) -> ActiveConfig:
    # Only the adapter's reading of servers is used here.
    adapter = PlatformAdapter.__new__(PlatformAdapter)
    return ActiveConfig(adapter=adapter, apply=lambda: None, **options)


class TestActiveConfig:
    def test_an_invalid_entry_is_skipped(self):
        config = make_active_config()
        config.use_servers(
            {"i-1": encode(), "i-2": encode(state="odd")}, StorePosition(revision=1)
        )
        assert [server.server_id for server in config.servers] == ["i-1"]

    def test_an_invalid_entry_is_logged_once_until_it_is_valid(self, caplog):
        # Guards against a log line on every host with each change of the registry.
        caplog.set_level(logging.INFO, logger="lavendergap")
        config = make_active_config()
        for revision in range(5):
            bodies = {"i-1": encode(seq_no=revision), "i-2": b"%d" % revision}
            config.use_servers(bodies, StorePosition(revision=revision))
        assert len(caplog.records) == 1
        config.use_servers({"i-2": encode()}, StorePosition(revision=6))
        config.use_servers({"i-2": b"x"}, StorePosition(revision=7))
        assert len(caplog.records) == 2

    def test_a_late_entry_of_an_earlier_start_is_ignored_for_a_while(self, caplog):
        # Guards against work that moves back to the address of an ended process.
        caplog.set_level(logging.INFO, logger="lavendergap")
        now = 0.0
        config = make_active_config(clock=lambda: now)
        for born, port in ((9, 2), (5, 1), (5, 1)):
            body = encode(born=born, address=f"127.0.0.1:{port}")
            config.use_servers({"i-1": body}, StorePosition(revision=1))
        assert [server.address.port for server in config.servers] == [2]
        assert len(caplog.records) == 1
        config.check_earlier_starts()
        assert [server.address.port for server in config.servers] == [2]
        now = HOLD_S
        config.check_earlier_starts()
        assert [server.address.port for server in config.servers] == [1]

    def test_changes_between_invalid_entries_are_irrelevant(self):
        config = make_active_config()
        copy = FeedCopy(lapse_grace_s=2.0, summarize=config.summarize_server)
        changes = tuple(FeedChange(name="i-2", body=b) for b in (b"\xff", b"{}", DEEP))
        assert copy.apply_changes(
            FeedChanges(position=StorePosition(revision=1), changes=changes[:1]),
            now=0.0,
        )
        assert not copy.alters_fingerprint(changes[1])
        assert not copy.alters_fingerprint(changes[2])
        assert copy.alters_fingerprint(FeedChange(name="i-2", body=encode()))

    def test_an_invalid_entry_replaces_a_valid_one(self):
        config = make_active_config()
        copy = FeedCopy(lapse_grace_s=2.0, summarize=config.summarize_server)
        good = FeedChange(name="i-1", body=encode())
        copy.apply_changes(
            FeedChanges(position=StorePosition(revision=1), changes=(good,)), now=0.0
        )
        wrong = FeedChange(name="i-1", body=encode(address="nowhere"))
        assert copy.alters_fingerprint(wrong)
        copy.apply_changes(
            FeedChanges(position=StorePosition(revision=2), changes=(wrong,)), now=1.0
        )
        config.use_servers(copy.entries, StorePosition(revision=2))
        assert config.servers == ()


def encode_object(name: str, spec: bytes) -> bytes:
    meta = json.dumps({"name": name, "revision": 3}).encode()
    return b'{"meta":%s,"spec":%s,"status":null}' % (meta, spec)


def encode_page(*items: bytes, has_more: bool = False) -> bytes:
    more = b"true" if has_more else b"false"
    body = b'{"items":[%s],"has_more":%s,"current_rev":9}'
    return body % (b",".join(items), more)


GARBAGE = [
    b"\xff\xfe\x00",
    b'"\xff"',
    b"}{",
    b"]}",
    b"{not json",
    b'"no end',
    b"",
    DEEP,
]


class TestPage:
    @pytest.mark.parametrize("spec", GARBAGE, ids=lambda spec: repr(spec[:9]))
    @pytest.mark.parametrize("place", [0, 1, 2])
    def test_an_unreadable_object_hides_no_other(self, spec, place):
        items = [
            encode_object("a", encode()),
            encode_object("b", encode()),
            encode_object("c", encode()),
        ]
        items[place] = encode_object("abc"[place], spec)
        found = pages.read_page(encode_page(*items))
        assert found.revision == 9
        config = make_active_config()
        config.use_servers(
            {e.name: e.body for e in found.entries}, StorePosition(revision=9)
        )
        used = {server.server_id for server in config.servers}
        assert used == {"a", "b", "c"} - {"abc"[place]}

    @pytest.mark.parametrize("spec", GARBAGE, ids=lambda spec: repr(spec[:9]))
    def test_a_page_with_only_an_unreadable_object_has_a_next_page(self, spec):
        found = pages.read_page(encode_page(encode_object("b", spec), has_more=True))
        assert [entry.name for entry in found.entries] == ["b"]
        assert found.has_more

    def test_an_object_without_a_name_is_skipped(self):
        items = (b"{}", b'{"meta":{"name":7}}', b"7", encode_object("c", encode()))
        found = pages.read_page(encode_page(*items))
        assert [entry.name for entry in found.entries] == ["c"]
        assert found.n_unreadable == 3

    def test_a_name_that_cannot_be_encoded_is_skipped(self):
        # Half of a surrogate pair is a valid string, but cannot be encoded for a peer.
        broken = rb'{"meta":{"name":"\ud800"},"spec":}{}'
        found = pages.read_page(encode_page(broken, encode_object("c", encode())))
        assert [entry.name for entry in found.entries] == ["c"]
        assert found.n_unreadable == 1

    def test_an_unreadable_event_hides_no_other(self):
        events = [
            b'{"deleted":false,"object":%s}' % encode_object("a", encode()),
            b'{"deleted":"perhaps","object":%s}' % encode_object("b", encode()),
            b'{"deleted":false,"object":{"meta":{}}}',
            b"[]",
            b'{"deleted":true,"object":%s}' % encode_object("c", b"null"),
        ]
        body = b'{"events":[%s],"current_rev":12}' % b",".join(events)
        result, n_unreadable = pages.read_events(body, epoch=2)
        assert result.position == StorePosition(epoch=2, revision=12)
        assert [(c.name, c.body is None) for c in result.changes] == [
            ("a", False),
            ("c", True),
        ]
        assert n_unreadable == 3

    @pytest.mark.parametrize("body", [b"", b"\xff", b"{}", b"[]", b'{"items":[]}'])
    def test_a_body_that_is_no_page_is_a_value_error(self, body):
        with pytest.raises(ValueError):
            pages.read_page(body)

    @given(
        st.lists(
            st.tuples(st.text(string.ascii_letters, min_size=1), st.binary()),
            max_size=6,
        )
    )
    @settings(deadline=None)
    def test_valid_objects_are_read_between_any_bytes(self, written):
        items = []
        for name, spec in written:
            items.append(encode_object(f"x-{name}", spec))
            items.append(encode_object(f"good-{len(items)}", encode()))
        try:
            found = pages.read_page(encode_page(*items))
        except ValueError:
            return
        names = {entry.name for entry in found.entries}
        n_quotes = b"".join(spec for _, spec in written).count(b'"')
        if n_quotes == 0:
            assert {f"good-{2 * i + 1}" for i in range(len(written))} <= names


class TestStore:
    async def test_a_listing_continues_after_a_page_with_an_unreadable_object(self):
        # The store returns pages of one object, and the first one is not JSON. Guards
        # against a listing that ends there and leaves the host without servers.
        asked = []

        async def handle(request, connection):
            asked.append(request.query)
            if "after=" in request.query:
                return Reply(
                    status=200,
                    headers=(),
                    body=encode_page(encode_object("b", encode())),
                )
            body = encode_page(encode_object("a", b"}{"), has_more=True)
            return Reply(status=200, headers=(), body=body)

        async with trio.open_nursery() as nursery:
            server = HttpServer(ip="127.0.0.1", port=0, handle=handle)
            port = await nursery.start(server.run)
            store = ObjectStore(address=Address(ip="127.0.0.1", port=port), kinds=KINDS)
            listing = await store.list_feed(SERVERS_FEED, may_be_stale=False)
            nursery.cancel_scope.cancel()
        assert isinstance(listing, FeedListing)
        assert [entry.name for entry in listing.entries] == ["a", "b"]
        assert len(asked) == 2

    async def test_invalid_entries_in_the_registry_beside_servers(self):
        standin = objectstore.ObjectStore()
        standin.put("servers", "i-1", ENTRY)
        nonsense: list[object] = [7, None, "\u0000", [], {"state": {}}]
        for place, wrong in enumerate(nonsense):
            standin.put("servers", f"i-0{place}", wrong)
        async with trio.open_nursery() as nursery:
            port = await nursery.start(standin.make_server(ip="127.0.0.1", port=0).run)
            store = ObjectStore(address=Address(ip="127.0.0.1", port=port), kinds=KINDS)
            listing = await store.list_feed(SERVERS_FEED, may_be_stale=False)
            nursery.cancel_scope.cancel()
        assert isinstance(listing, FeedListing)
        config = make_active_config()
        config.use_servers(
            {e.name: e.body for e in listing.entries}, StorePosition(revision=1)
        )
        assert [server.server_id for server in config.servers] == ["i-1"]
