"""DocumentKeeper on a virtual clock, with a fake platform and fake peers."""

from random import Random
from typing import cast

import pytest
import trio
from prometheus_client import REGISTRY

from lavendergap.coordination.documents import Documents, FetchDocument, Source
from lavendergap.coordination.watchers import WATCH_WAIT_S
from lavendergap.entry.documents import (
    DocumentKeeper,
    check_document,
    resolve_settings,
)
from lavendergap.entry.fleet import Fleet
from lavendergap.protocol.messages import Document
from lavendergap.protocol.objects import SettingsObject, encode_settings_object
from lavendergap.protocol.resolved import encode_settings
from lavendergap.state.member import Member, MemberState
from lavendergap.state.outcome import Reason, Step
from lavendergap.state.settings import Address, Settings
from lavendergap.state.snapshot import Published
from lavendergap.transport.channel import LossReason
from lavendergap.transport.dialer import Dialer
from lavendergap.transport.platform import (
    DEFAULT_LIMIT_S,
    Found,
    Listing,
    Missing,
    NotModified,
    ObjectVersion,
    PlatformClient,
    Unavailable,
)

KEY = "settings/demo"
INDEX = "index/scheduler"
OWN, SECOND, THIRD = "dc0-0", "dc1-0", "dc0-1"
HOSTS = {OWN: "dc0", SECOND: "dc1", THIRD: "dc0"}
PORTS = {name: 8100 + place for place, name in enumerate(HOSTS)}
# An edit has to be active on all hosts within this time, most of it left to gossip.
EDIT_LIMIT_S = 11.0
DOWN = Unavailable(step=Step.RECEIVE, reason=Reason.SERVER_ERROR, sent=True)
SILENT = Unavailable(step=Step.RECEIVE, reason=Reason.SILENT_CONNECTION, sent=True)
TEXT = """{"deployment": "demo", "platform": "127.0.0.1:7000", "deadline_ms": %s,
  "data_centres": {"dc0": {"hosts": {"dc0-0": {"callers": "127.0.0.1:8000",
    "peers": "127.0.0.1:8100", "admin": "127.0.0.1:8200"}}}},
  "services": {"scheduler": {"idempotent": true, "groups": {"scheduler-00":
    {"servers": {"a": {"address": "127.0.0.1:9000", "data_centre": "dc0"}}}}}}}"""


def make_value(version, deadline_ms=None):
    """Return the platform's object; its deadline identifies the version."""
    text = TEXT % (deadline_ms or 100 + version)
    return encode_settings_object(SettingsObject(text=text))


def make_body(version):
    """Return the document in the form that peers send."""
    return encode_settings(resolve_settings(make_value(version), KEY, version))


def make_index(version):
    return (
        b'{"snapshots": [{"version": %d, "shards": [{"name": "s00",'
        b' "group": "scheduler-00", "share": 1.0}]}]}' % version
    )


def make_member(name, state=MemberState.LIVE):
    return Member(
        name=name,
        data_centre=HOSTS[name],
        peers=Address(ip="127.0.0.1", port=PORTS[name]),
        incarnation=1,
        state=state,
    )


def count_unreadable(port):
    labels = {"port": port, "problem": "garbled document"}
    name = "lavendergap_rejected_input_total"
    return REGISTRY.get_sample_value(name, labels) or 0.0


class FakePlatform:
    """The object API; `reads` overrides what `get` returns for a key."""

    def __init__(self):
        self.objects = {}
        self.reads = {}
        self.is_down = False
        self.is_silent = False
        self.n_calls = 0
        self._written = trio.Event()

    def put(self, key, version, value):
        self.objects[key] = Found(key=key, version=version, value=value)
        self._written.set()
        self._written = trio.Event()

    def _list(self, prefix, after=0):
        entries = tuple(
            ObjectVersion(key=key, version=found.version)
            for key, found in self.objects.items()
            if key.startswith(prefix) and found.version > after
        )
        revision = max((each.version for each in self.objects.values()), default=0)
        return Listing(revision=revision, objects=entries)

    async def _begin(self):
        self.n_calls += 1
        await trio.lowlevel.checkpoint()
        return DOWN if self.is_down else None

    async def list_objects(self, prefix):
        return await self._begin() or self._list(prefix)

    async def get(self, key):
        found = self.reads.get(key) or self.objects.get(key)
        return await self._begin() or found or Missing(key=key)

    async def _wait(self, find, wait_s):
        if down := await self._begin():
            return down
        if self.is_silent:
            await trio.sleep(wait_s + DEFAULT_LIMIT_S)
            return SILENT
        with trio.move_on_after(wait_s):
            while not (result := find()):
                await self._written.wait()
            return result
        return NotModified()

    async def watch(self, key, *, after, wait_s):
        def find():
            found = self.reads.get(key) or self.objects.get(key)
            is_overridden = key in self.reads
            return found if found and (is_overridden or found.version > after) else None

        return await self._wait(find, wait_s)

    async def watch_prefix(self, prefix, *, after, wait_s):
        def find():
            listing = self._list(prefix, after)
            return listing if listing.objects else None

        return await self._wait(find, wait_s)


class FakePeer:
    """A channel to a peer that has `document`; without one, requests fail."""

    def __init__(self, document=None, delay=0.01):
        self.document = document
        self.delay = delay

    async def ask(self, message, *, limit):
        with trio.move_on_after(limit):
            await trio.sleep(self.delay)
            return self.document or LossReason.RESET
        return LossReason.SILENT


class FakeDialer:
    def __init__(self, peers):
        self.peers = peers

    async def dial(self, host, address):
        await trio.lowlevel.checkpoint()
        return self.peers.get(host, LossReason.REFUSED)


class Bench:
    """A keeper with its platform and peers; `used` are the activated settings."""

    def __init__(self, nursery, *, platform=None, members=(OWN,)):
        self.platform = platform or FakePlatform()
        self.nursery = nursery
        self.peers: dict[str, FakePeer] = {}
        self.members = tuple(make_member(name) for name in members)
        self.used: list[Settings] = []
        self.used_index: list[Published] = []
        settings = resolve_settings(make_value(0), KEY, 0)
        self.fleet = Fleet(own_name=OWN, settings=settings)
        self.fleet.replace_live({m.name: m.peers for m in map(make_member, HOSTS)})
        self.documents = Documents(check=check_document)
        self.keeper = DocumentKeeper(
            settings=settings,
            documents=self.documents,
            platform=cast(PlatformClient, self.platform),
            fleet=self.fleet,
            dialer=cast(Dialer, FakeDialer(self.peers)),
            nursery=nursery,
            random=Random(1),
            get_members=lambda: self.members,
            use_settings=self.used.append,
            use_index=self.used_index.append,
        )

    @property
    def versions(self):
        return [settings.version for settings in self.used]

    def run(self):
        self.nursery.start_soon(self.keeper.run)

    def advertise(self, host, version, name=KEY):
        """Deliver a datagram in which a peer advertises a version."""
        self.keeper.handle_advertisement(
            host, (FetchDocument(name=name, at_least=version),)
        )

    def offer(self, host, version, body=None):
        """Give a peer a version and advertise it."""
        body = body or make_body(version)
        self.peers[host] = FakePeer(Document(name=KEY, version=version, body=body))
        self.advertise(host, version)

    def change_members(self, *members):
        self.members = members
        self.keeper.handle_member_change()


@pytest.fixture
def bench(nursery):
    return Bench(nursery)


class TestNeverReverts:
    async def test_stale_reads_and_watches_revert_nothing(self, autojump_clock, bench):
        # Version 7 came from a peer, while the platform's replica still returns 6.
        # Guards against serving with settings that the operator has replaced.
        bench.offer(SECOND, 7)
        await trio.sleep(1.0)
        bench.platform.put(KEY, 6, make_value(6))
        bench.platform.reads[KEY] = Found(key=KEY, version=6, value=make_value(6))
        bench.run()
        await trio.sleep(600.0)
        assert bench.versions == [7]
        assert bench.keeper.describe().version == 7
        # A watch that returns at once without a change is not repeated in a busy loop.
        assert bench.platform.n_calls < 4 * 600

    async def test_an_older_document_of_a_peer_reverts_nothing(
        self, autojump_clock, bench
    ):
        bench.platform.put(KEY, 7, make_value(7))
        bench.run()
        await trio.sleep(1.0)
        bench.offer(SECOND, 6)
        await trio.sleep(5.0)
        assert bench.versions == [7]

    async def test_a_restarted_host_waits_for_an_advertised_version(
        self, autojump_clock, bench
    ):
        # The platform returns version 5 while a peer advertises 7. Ready with 5, the
        # host would serve with settings that are replaced on all other hosts.
        bench.platform.put(KEY, 5, make_value(5))
        slow = Document(name=KEY, version=7, body=make_body(7))
        bench.peers[SECOND] = FakePeer(slow, delay=1.0)
        bench.advertise(SECOND, 7)
        bench.run()
        await trio.sleep(0.9)
        assert bench.versions == [5]
        assert not bench.keeper.is_ready
        await trio.sleep(0.3)
        assert bench.versions == [5, 7]
        assert bench.keeper.is_ready


class TestPlatformDown:
    async def test_a_starting_host_gets_the_newest_version_from_peers(
        self, autojump_clock, bench
    ):
        # Guards against serving with an old file after a restart during an outage, and
        # against staying with a peer's version when the platform is back.
        bench.platform.is_down = True
        bench.run()
        await trio.sleep(60.0)
        assert not bench.keeper.is_ready
        assert bench.keeper.describe().source == Source.FILE
        bench.offer(SECOND, 7)
        await trio.sleep(1.0)
        active = bench.keeper.describe()
        assert (active.version, active.source) == (7, Source.PEER)
        assert bench.keeper.is_ready
        bench.platform.put(KEY, 8, make_value(8))
        bench.platform.is_down = False
        await trio.sleep(EDIT_LIMIT_S)
        active = bench.keeper.describe()
        assert (active.version, active.source) == (8, Source.PLATFORM)

    async def test_an_outage_between_the_listing_and_the_read_at_start(
        self, autojump_clock, bench
    ):
        # The platform lists version 7 and fails before it is read. Guards against a
        # host that becomes ready with its file.
        bench.platform.put(KEY, 7, make_value(7))
        bench.platform.reads[KEY] = DOWN
        bench.run()
        await trio.sleep(5.0)
        assert not bench.keeper.is_ready
        bench.platform.reads.clear()
        await trio.sleep(EDIT_LIMIT_S)
        assert bench.keeper.is_ready
        assert bench.versions == [7]

    async def test_an_outage_just_after_an_accepted_edit(self, autojump_clock, bench):
        # The platform accepts an edit, answers the watches and goes down before any
        # other call.
        bench.run()
        await trio.sleep(1.0)
        bench.platform.put(KEY, 7, make_value(7))
        bench.platform.is_down = True
        await trio.sleep(1.0)
        assert bench.versions == [7]

    @pytest.mark.parametrize("lag", [DOWN, Found(key=INDEX, version=6, value=b"{}")])
    async def test_an_index_whose_read_fails_is_read_later(
        self, autojump_clock, bench, lag
    ):
        # The read after a watch fails or comes from a lagging replica. Guards against a
        # watch that advances and never returns the unread object again.
        bench.platform.put(INDEX, 6, make_index(6))
        bench.run()
        await trio.sleep(1.0)
        bench.platform.reads[INDEX] = lag
        bench.platform.put(INDEX, 7, make_index(7))
        await trio.sleep(3.0)
        bench.platform.reads.clear()
        await trio.sleep(3.0)
        assert [each.object_version for each in bench.used_index] == [6, 7]


class TestRefused:
    async def test_an_invalid_text_is_reported(self, autojump_clock, bench):
        # An edit is invalid only for this release. The host keeps the old version,
        # reports the problem and its place, and activates the correction.
        bench.platform.put(KEY, 7, make_value(7))
        bench.run()
        await trio.sleep(1.0)
        bench.platform.put(KEY, 8, make_value(8, deadline_ms='"soon"'))
        await trio.sleep(1.0)
        active = bench.keeper.describe()
        assert active.version == 7
        assert "version 8" in active.problem
        assert "deadline_ms" in active.problem
        bench.platform.put(KEY, 9, make_value(9))
        await trio.sleep(1.0)
        assert bench.versions == [7, 9]
        assert bench.keeper.describe().problem is None

    @pytest.mark.parametrize(
        "garbage",
        [b"", b"\xff\x00", b"[]", b'{"error": "try later"}', make_value(8)[:-9]],
    )
    async def test_an_unreadable_settings_object_is_read_again(
        self, autojump_clock, bench, garbage
    ):
        # The platform's answer for a valid edit is truncated or foreign. Guards against
        # refusing that version for good, so that the edit never becomes active here.
        bench.platform.put(KEY, 7, make_value(7))
        bench.run()
        await trio.sleep(1.0)
        n_before = count_unreadable("platform")
        bench.platform.reads[KEY] = Found(key=KEY, version=8, value=garbage)
        bench.platform.put(KEY, 8, make_value(8))
        await trio.sleep(30.0)
        assert bench.versions == [7]
        assert "version 8" in bench.keeper.describe().problem
        # It is tried again, with back-off.
        assert 5 <= count_unreadable("platform") - n_before <= 60
        bench.platform.reads.clear()
        await trio.sleep(5.0)
        assert bench.versions == [7, 8]
        assert bench.keeper.describe().problem is None

    async def test_a_peer_has_a_readable_copy_of_an_unreadable_object(
        self, autojump_clock, bench
    ):
        bench.platform.put(KEY, 7, make_value(7))
        bench.run()
        await trio.sleep(1.0)
        bench.platform.reads[KEY] = Found(key=KEY, version=8, value=b"{")
        bench.platform.put(KEY, 8, make_value(8))
        await trio.sleep(1.0)
        bench.offer(SECOND, 8)
        await trio.sleep(1.0)
        active = bench.keeper.describe()
        assert (active.version, active.problem) == (8, None)

    async def test_an_unreadable_index_object_is_ignored(self, autojump_clock, bench):
        # Includes shares that do not add up: answers would state a wrong coverage.
        bench.platform.put(KEY, 1, make_value(1))
        bench.platform.put(INDEX, 6, make_index(6))
        bench.run()
        await trio.sleep(1.0)
        n_before = count_unreadable("platform")
        bad = make_index(7).replace(b"1.0", b"0.5")
        for version, value in ((7, bad), (8, make_index(8)[:40])):
            bench.platform.put(INDEX, version, value)
            await trio.sleep(5.0)
        assert count_unreadable("platform") - n_before >= 2
        assert [each.object_version for each in bench.used_index] == [6]
        bench.platform.put(INDEX, 9, make_index(9))
        await trio.sleep(2.0)
        assert [each.object_version for each in bench.used_index] == [6, 9]

    async def test_an_unreadable_index_does_not_delay_readiness(
        self, autojump_clock, bench
    ):
        bench.platform.put(INDEX, 6, b"{")
        bench.run()
        await trio.sleep(1.0)
        assert bench.keeper.is_ready

    @pytest.mark.parametrize(
        "body", [b"\x00other form", make_value(8), make_body(8)[1:]]
    )
    async def test_an_unreadable_copy_of_a_peer_is_read_from_the_platform(
        self, autojump_clock, nursery, body
    ):
        # During an upgrade newer hosts send a form unknown here. Guards against a host
        # that stops, asks again with each datagram, or does not read the platform.
        bench = Bench(nursery, members=())
        bench.platform.put(KEY, 7, make_value(7))
        bench.run()
        await trio.sleep(1.0)
        n_before = count_unreadable("peer")
        bench.platform.put(KEY, 8, make_value(8))
        for _ in range(80):
            bench.offer(SECOND, 8, body)
            bench.offer(THIRD, 8, body)
            await trio.sleep(0.1)
        assert count_unreadable("peer") - n_before == 1
        assert bench.versions == [7, 8]


class TestWatchHolder:
    async def test_the_next_host_takes_over_from_a_dead_holder(
        self, autojump_clock, nursery
    ):
        # The watch holder dies. Until another host takes over, no host sees an edit.
        bench = Bench(nursery)
        others = [make_member(name) for name in (SECOND, THIRD)]
        bench.change_members(*others)
        bench.run()
        await trio.sleep(1.0)
        n_before = bench.platform.n_calls
        await trio.sleep(5.0)
        assert bench.platform.n_calls == n_before
        bench.change_members(make_member(OWN), make_member(SECOND, MemberState.DEAD))
        await trio.sleep(0.5)
        bench.platform.put(KEY, 7, make_value(7))
        await trio.sleep(0.5)
        assert bench.versions == [7]

    async def test_silent_watches_are_repeated(self, autojump_clock, bench):
        # A middlebox has dropped the connections of all holders: their watches hang,
        # and none returns an edit that was just accepted.
        bench.platform.is_silent = True
        bench.run()
        await trio.sleep(1.0)
        bench.platform.put(KEY, 7, make_value(7))
        bench.platform.is_silent = False
        await trio.sleep(EDIT_LIMIT_S - 1.0)
        assert bench.versions == [7]

    async def test_a_former_holder_stops_watching(self, autojump_clock, bench):
        bench.run()
        await trio.sleep(1.0)
        bench.change_members(*[make_member(name) for name in (SECOND, THIRD)])
        await trio.sleep(WATCH_WAIT_S + 1.0)
        n_before = bench.platform.n_calls
        await trio.sleep(2 * WATCH_WAIT_S)
        # Its periodic read may take two calls in that time; watches would take four.
        assert bench.platform.n_calls <= n_before + 2

    async def test_other_hosts_read_edits_while_the_holders_are_partitioned(
        self, autojump_clock, nursery
    ):
        # Both holders are partitioned from the platform but remain holders, so that
        # only the other hosts' periodic reads find an edit.
        bench = Bench(nursery)
        bench.change_members(*[make_member(name) for name in (SECOND, THIRD)])
        bench.run()
        await trio.sleep(1.0)
        bench.platform.put(KEY, 7, make_value(7))
        await trio.sleep(30.0)
        assert bench.versions == [7]


class TestFetch:
    async def test_the_next_advertiser_is_asked_after_a_lost_channel(
        self, autojump_clock, bench
    ):
        # The first advertiser is killed and its channel resets. The second one has
        # advertised meanwhile and does not repeat its datagram for seconds.
        bench.peers[SECOND] = FakePeer(delay=1.0)
        bench.advertise(SECOND, 7)
        await trio.sleep(0.1)
        bench.offer(THIRD, 7)
        await trio.sleep(2.0)
        assert bench.versions == [7]

    async def test_an_advertiser_is_asked_again_after_a_lost_channel(
        self, autojump_clock, bench
    ):
        bench.advertise(SECOND, 7)
        await trio.sleep(1.0)
        assert bench.versions == []
        bench.offer(SECOND, 7)
        await trio.sleep(1.0)
        assert bench.versions == [7]

    async def test_a_newer_version_advertised_during_a_fetch(
        self, autojump_clock, bench
    ):
        document = Document(name=KEY, version=7, body=make_body(7))
        bench.peers[SECOND] = FakePeer(document, delay=1.0)
        bench.advertise(SECOND, 7)
        await trio.sleep(0.5)
        bench.offer(THIRD, 8)
        await trio.sleep(1.0)
        assert bench.versions == [7, 8]

    async def test_a_peer_without_the_advertised_version(self, autojump_clock, bench):
        none = Document(name=KEY, version=0, body=b"")
        other = Document(name=INDEX, version=9, body=make_index(9))
        bench.peers[SECOND] = FakePeer(none)
        bench.peers[THIRD] = FakePeer(other)
        bench.advertise(SECOND, 7)
        bench.advertise(THIRD, 7)
        await trio.sleep(1.0)
        assert bench.versions == []
        assert bench.used_index == []
