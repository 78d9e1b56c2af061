"""What other writers leave in the store: it names no server, and hides none."""

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
from lavendergap.entry.adapter import SERVERS_FEED
from lavendergap.entry.inforce import ActiveConfig
from lavendergap.state.feeds import FeedChange, FeedChanges, FeedListing
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
    def test_one_that_tells_when_it_started(self):
        server = entries.read_server("i-1", encode(born=1_700_000_000_123))
        assert server.started_at_ms == 1_700_000_000_123
        assert server != entries.read_server("i-1", encode(born=1_700_000_000_124))

    def test_one_of_an_older_deployment(self):
        assert entries.read_server("i-1", encode()).started_at_ms == 0

    def test_what_nobody_knows_yet_is_passed_over(self):
        assert entries.read_server("i-1", encode(colour="red")).slots == 2

    @pytest.mark.parametrize("wrong", WRONG_FIELDS, ids=str)
    def test_a_field_that_makes_no_sense(self, wrong):
        with pytest.raises(ValueError):
            entries.read_server("i-1", encode(**wrong))

    @pytest.mark.parametrize("missing", sorted(ENTRY))
    def test_a_field_that_is_missing(self, missing):
        rest = {name: value for name, value in ENTRY.items() if name != missing}
        with pytest.raises(ValueError):
            entries.read_server("i-1", json.dumps(rest).encode())

    @pytest.mark.parametrize("body", [b"", b"\xff\xfe", b"null", b"[]", b"{", DEEP])
    def test_bytes_that_are_no_entry(self, body):
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


def make_in_force() -> ActiveConfig:
    # Only its way of reading servers is asked of the adapter here.
    adapter = PlatformAdapter.__new__(PlatformAdapter)
    return ActiveConfig(adapter=adapter, apply=lambda: None)


class TestInForce:
    def test_an_unknown_entry_is_no_server_and_the_others_are(self):
        in_force = make_in_force()
        in_force.use_servers({"i-1": encode(), "i-2": encode(state="odd")}, 1)
        assert [server.server_id for server in in_force.servers] == ["i-1"]

    def test_it_is_told_once_until_it_can_be_read(self, caplog):
        # A line with each change of the registry would be a line a second for as long
        # as the entry is there, on every host.
        caplog.set_level(logging.INFO, logger="lavendergap")
        in_force = make_in_force()
        for revision in range(5):
            bodies = {"i-1": encode(seq_no=revision), "i-2": b"%d" % revision}
            in_force.use_servers(bodies, revision)
        assert len(caplog.records) == 1
        in_force.use_servers({"i-2": encode()}, 6)
        in_force.use_servers({"i-2": b"x"}, 7)
        assert len(caplog.records) == 2

    def test_nonsense_that_changes_is_no_news(self):
        in_force = make_in_force()
        copy = FeedCopy(lapse_grace=2.0, summarize=in_force.summarize_server)
        told = tuple(FeedChange(name="i-2", body=b) for b in (b"\xff", b"{}", DEEP))
        assert copy.take_changes(FeedChanges(revision=1, changes=told[:1]), now=0.0)
        assert not copy.is_news(told[1])
        assert not copy.is_news(told[2])
        assert copy.is_news(FeedChange(name="i-2", body=encode()))

    def test_nonsense_over_a_server_takes_it_out_of_use(self):
        in_force = make_in_force()
        copy = FeedCopy(lapse_grace=2.0, summarize=in_force.summarize_server)
        good = FeedChange(name="i-1", body=encode())
        copy.take_changes(FeedChanges(revision=1, changes=(good,)), now=0.0)
        wrong = FeedChange(name="i-1", body=encode(address="nowhere"))
        assert copy.is_news(wrong)
        copy.take_changes(FeedChanges(revision=2, changes=(wrong,)), now=1.0)
        in_force.use_servers(copy.entries, 2)
        assert in_force.servers == ()


def show(name: str, spec: bytes) -> bytes:
    meta = json.dumps({"name": name, "revision": 3}).encode()
    return b'{"meta":%s,"spec":%s,"status":null}' % (meta, spec)


def page(*items: bytes, has_more: bool = False) -> bytes:
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
    def test_bytes_that_cannot_be_read_hide_no_other_object(self, spec, place):
        items = [show("a", encode()), show("b", encode()), show("c", encode())]
        items[place] = show("abc"[place], spec)
        found = pages.read_page(page(*items))
        assert found.revision == 9
        in_force = make_in_force()
        in_force.use_servers({e.name: e.body for e in found.entries}, 9)
        used = {server.server_id for server in in_force.servers}
        assert used == {"a", "b", "c"} - {"abc"[place]}

    @pytest.mark.parametrize("spec", GARBAGE, ids=lambda spec: repr(spec[:9]))
    def test_the_next_page_follows_a_page_of_one_that_cannot_be_read(self, spec):
        found = pages.read_page(page(show("b", spec), has_more=True))
        assert [entry.name for entry in found.entries] == ["b"]
        assert found.has_more

    def test_an_object_without_a_name_is_left_out(self):
        items = (b"{}", b'{"meta":{"name":7}}', b"7", show("c", encode()))
        found = pages.read_page(page(*items))
        assert [entry.name for entry in found.entries] == ["c"]
        assert found.n_unreadable == 3

    def test_a_name_that_no_peer_could_be_told_is_left_out(self):
        # Half of a surrogate pair: a string here, and no bytes on any channel.
        broken = rb'{"meta":{"name":"\ud800"},"spec":}{}'
        found = pages.read_page(page(broken, show("c", encode())))
        assert [entry.name for entry in found.entries] == ["c"]
        assert found.n_unreadable == 1

    def test_an_event_that_cannot_be_read_hides_no_other(self):
        events = [
            b'{"deleted":false,"object":%s}' % show("a", encode()),
            b'{"deleted":"perhaps","object":%s}' % show("b", encode()),
            b'{"deleted":false,"object":{"meta":{}}}',
            b"[]",
            b'{"deleted":true,"object":%s}' % show("c", b"null"),
        ]
        body = b'{"events":[%s],"current_rev":12}' % b",".join(events)
        told, n_unreadable = pages.read_events(body)
        assert told.revision == 12
        assert [(c.name, c.body is None) for c in told.changes] == [
            ("a", False),
            ("c", True),
        ]
        assert n_unreadable == 3

    @pytest.mark.parametrize("body", [b"", b"\xff", b"{}", b"[]", b'{"items":[]}'])
    def test_what_is_no_page_is_a_value_error(self, body):
        with pytest.raises(ValueError):
            pages.read_page(body)

    @given(
        st.lists(
            st.tuples(st.text(string.ascii_letters, min_size=1), st.binary()),
            max_size=6,
        )
    )
    @settings(deadline=None)
    def test_good_objects_survive_any_bytes_between_them(self, written):
        items = []
        for name, spec in written:
            items.append(show(f"x-{name}", spec))
            items.append(show(f"good-{len(items)}", encode()))
        try:
            found = pages.read_page(page(*items))
        except ValueError:
            return
        names = {entry.name for entry in found.entries}
        n_quotes = b"".join(spec for _, spec in written).count(b'"')
        if n_quotes == 0:
            assert {f"good-{2 * i + 1}" for i in range(len(written))} <= names


class TestStore:
    async def test_a_listing_goes_on_behind_a_page_of_one_unreadable_object(self):
        # The store hands out pages of one; the first object's bytes are no JSON. A
        # listing that gave up there would leave the host without any server.
        asked = []

        async def handle(request, connection):
            asked.append(request.query)
            if "after=" in request.query:
                return Reply(status=200, headers=(), body=page(show("b", encode())))
            body = page(show("a", b"}{"), has_more=True)
            return Reply(status=200, headers=(), body=body)

        async with trio.open_nursery() as nursery:
            server = HttpServer(ip="127.0.0.1", port=0, handle=handle)
            port = await nursery.start(server.run)
            store = ObjectStore(address=Address(ip="127.0.0.1", port=port), kinds=KINDS)
            listing = await store.list_feed(SERVERS_FEED, may_lag=False)
            nursery.cancel_scope.cancel()
        assert isinstance(listing, FeedListing)
        assert [entry.name for entry in listing.entries] == ["a", "b"]
        assert len(asked) == 2

    async def test_nonsense_in_the_registry_beside_servers(self):
        standin = objectstore.ObjectStore()
        standin.put("servers", "i-1", ENTRY)
        nonsense: list[object] = [7, None, "\u0000", [], {"state": {}}]
        for place, wrong in enumerate(nonsense):
            standin.put("servers", f"i-0{place}", wrong)
        async with trio.open_nursery() as nursery:
            port = await nursery.start(standin.make_server(ip="127.0.0.1", port=0).run)
            store = ObjectStore(address=Address(ip="127.0.0.1", port=port), kinds=KINDS)
            listing = await store.list_feed(SERVERS_FEED, may_lag=False)
            nursery.cancel_scope.cancel()
        assert isinstance(listing, FeedListing)
        in_force = make_in_force()
        in_force.use_servers({e.name: e.body for e in listing.entries}, 1)
        assert [server.server_id for server in in_force.servers] == ["i-1"]
