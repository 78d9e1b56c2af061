"""A host's copy of a feed: it never reverts, and survives an outage of the store."""

import logging

import pytest
import trio
import trio.testing
from hypothesis import given
from hypothesis import strategies as st

from lavendergap.coordination.feeds import N_BUCKETS, FeedCopy
from lavendergap.entry.feeds import LAPSE_GRACE_S
from lavendergap.protocol.messages import FeedState
from lavendergap.state.feeds import (
    FeedChange,
    FeedEntry,
    FeedListing,
    HistoryExpired,
)
from tests.feedfakes import (
    LAGGING,
    LOST,
    FakePeers,
    FakeStore,
    SlowStore,
    at,
    change,
    make_listing,
    make_update,
    start_reader,
    summarize,
)


class TestRevisions:
    def test_an_older_listing_changes_nothing(self):
        # A read from a lagging replica after a newer one must not revert changes.
        copy = FeedCopy(lapse_grace_s=2.0)
        copy.apply_listing(make_listing(9, a="new"), now=0.0)
        assert not copy.apply_listing(make_listing(8, a="old"), now=0.0)
        assert not copy.apply_changes(change(8, a="old"), now=0.0)
        assert copy.entries == {"a": b"new"}

    def test_a_listing_removes_entries_that_are_gone(self):
        copy = FeedCopy(lapse_grace_s=2.0)
        copy.apply_listing(make_listing(1, a="1", b="2"), now=0.0)
        assert copy.apply_listing(make_listing(2, b="2"), now=1.0)
        assert copy.entries == {"b": b"2"}

    def test_an_unchanged_entry_is_no_change(self):
        copy = FeedCopy(lapse_grace_s=2.0)
        copy.apply_listing(make_listing(1, a="1"), now=0.0)
        assert not copy.apply_changes(change(2, a="1"), now=0.0)
        assert copy.position == at(2)

    def test_an_empty_watch_does_not_advance_the_revision(self):
        # Just before the store drops its history, watches miss a change but return its
        # revision. The next watch from the old one finds that the history is gone.
        copy = FeedCopy(lapse_grace_s=2.0)
        copy.apply_listing(make_listing(1, a="ready"), now=0.0)
        assert not copy.apply_changes(change(5), now=0.5)
        assert copy.position == at(1)


class TestLapses:
    def test_entries_that_lapsed_in_an_outage_are_kept_for_the_grace_period(self):
        # All entries lapse in an outage and vanish when the store returns; live servers
        # register again a second later. No server may be missing meanwhile.
        copy = FeedCopy(lapse_grace_s=2.0)
        copy.apply_listing(make_listing(1, a="1", b="2"), now=0.0)
        copy.record_store_return(now=10.0)
        assert not copy.apply_listing(make_listing(5), now=10.0)
        assert copy.next_lapse_at == 12.0
        assert not copy.apply_changes(change(6, a="1"), now=11.0)
        assert not copy.drop_lapsed(now=11.9)
        assert copy.drop_lapsed(now=12.0)
        assert copy.entries == {"a": b"1"}

    def test_without_an_outage_removed_entries_are_dropped_at_once(self):
        copy = FeedCopy(lapse_grace_s=2.0)
        copy.apply_listing(make_listing(1, a="1"), now=0.0)
        assert copy.apply_changes(change(2, a=None), now=5.0)
        assert copy.entries == {}

    def test_long_after_an_outage_removed_entries_are_dropped_at_once(self):
        copy = FeedCopy(lapse_grace_s=2.0)
        copy.apply_listing(make_listing(1, a="1"), now=0.0)
        copy.record_store_return(now=10.0)
        assert copy.apply_changes(change(2, a=None), now=12.5)


class TestReading:
    async def test_a_lost_history_is_followed_by_a_listing(self, autojump_clock):
        store = FakeStore(
            make_listing(1, a="1"), change(3, b="2"), HistoryExpired(), make_listing(9)
        )
        async with trio.open_nursery() as nursery:
            _, reported = start_reader(store, nursery)
            await trio.sleep(1.0)
            assert store.asked == [LAGGING, "watch 1", "watch 3", "list", "watch 9"]
            assert reported[-1] == {}
            nursery.cancel_scope.cancel()

    async def test_an_older_listing_is_logged_once(self, autojump_clock, caplog):
        caplog.set_level(logging.INFO, logger="lavendergap")
        answers = [HistoryExpired(), make_listing(2, a="1")] * 9
        store = FakeStore(make_listing(3, a="1"), *answers)
        async with trio.open_nursery() as nursery:
            start_reader(store, nursery)
            await trio.sleep(1.0)
            nursery.cancel_scope.cancel()
        lines = [record.msg for record in caplog.records]
        [ignored] = [line for line in lines if line["event"] == "feed listing ignored"]
        assert (ignored["revision"], ignored["listed_revision"]) == (3, 2)

    async def test_an_outage_removes_no_entries(self, autojump_clock):
        # After two failed calls the watch returns that all entries are gone, and a
        # moment later that one is back.
        store = FakeStore(
            make_listing(1, a="1", b="2"),
            LOST,
            LOST,
            change(4, a=None, b=None),
            change(5, a="1"),
        )
        async with trio.open_nursery() as nursery:
            _, reported = start_reader(store, nursery)
            await trio.sleep(1.0)
            assert reported == [{"a": b"1", "b": b"2"}]
            await trio.sleep(LAPSE_GRACE_S)
            assert reported[-1] == {"a": b"1"}
            nursery.cancel_scope.cancel()

    async def test_an_unavailable_store_is_asked_with_back_off(self, autojump_clock):
        store = FakeStore(*[LOST] * 100)
        async with trio.open_nursery() as nursery:
            start_reader(store, nursery)
            await trio.sleep(10.0)
            assert 8 <= len(store.asked) <= 20
            nursery.cancel_scope.cancel()


class TestPeers:
    async def test_a_host_that_gets_updates_does_not_ask_the_store(
        self, autojump_clock
    ):
        # One host watches. The other lists once and then relies on its announcements,
        # of changes and of none.
        answers = [change(2, a="2"), *[change(2)] * 8]
        watching = FakeStore(make_listing(1, a="1"), *answers)
        quiet = FakeStore(make_listing(1, a="1"))
        async with trio.open_nursery() as nursery:
            receiver, reported = start_reader(quiet, nursery, FakePeers(rank=None))
            await trio.testing.wait_all_tasks_blocked()
            peers = FakePeers()
            peers.others.append(receiver)
            reader, _ = start_reader(SlowStore(watching, 1.5), nursery, peers)
            await trio.sleep(10.0)
            assert quiet.asked == [LAGGING]
            assert reported[-1] == {"a": b"2"}
            nursery.cancel_scope.cancel()

    async def test_without_updates_a_host_asks_the_store_and_announces(
        self, autojump_clock
    ):
        # Both holders are gone or refused by the store while a server begins to leave;
        # the other hosts have to act on it within 3 s.
        store = FakeStore(make_listing(1, a="1"), change(2, a="leaving"))
        async with trio.open_nursery() as nursery:
            peers = FakePeers(rank=None)
            _, reported = start_reader(store, nursery, peers)
            await trio.sleep(1.0)
            assert peers.announced == []
            await trio.sleep(1.9)
            assert reported[-1] == {"a": b"leaving"}
            assert [c.name for c in peers.announced[-1].changes] == ["a"]
            nursery.cancel_scope.cancel()

    async def test_one_starting_host_of_a_data_centre_watches(self, autojump_clock):
        # All hosts restart with the store, without watch holders yet. One of each data
        # centre watches and announces the servers that register again.
        moving = [change(2, b="2"), change(3, c="3"), *[change(3)] * 9]
        watching = FakeStore(make_listing(1, a="1"), *moving)
        quiet = FakeStore(make_listing(1, a="1"))
        async with trio.open_nursery() as nursery:
            peers = FakePeers(rank=None, is_starting=True)
            receiver, reported = start_reader(quiet, nursery, peers)
            leader = FakePeers(rank=None, is_starting=True, is_leading=True)
            leader.others.append(receiver)
            start_reader(SlowStore(watching, 0.2), nursery, leader)
            await trio.sleep(1.2)
            assert set(reported[-1]) == {"a", "b", "c"}
            assert len(watching.asked) <= 4
            n_asked = len(watching.asked)
            leader.is_starting = peers.is_starting = False
            await trio.sleep(1.5)  # Both rely on the holders until their copy is stale.
            assert len(watching.asked) == n_asked
            assert quiet.asked == [LAGGING]
            nursery.cancel_scope.cancel()

    async def test_a_host_that_becomes_leader_of_its_data_centre_watches(
        self, autojump_clock
    ):
        # The previous leader is gone or no longer ranks first.
        store = FakeStore(make_listing(1, a="1"), change(2, b="2"))
        async with trio.open_nursery() as nursery:
            peers = FakePeers(rank=None, is_starting=True)
            _, reported = start_reader(store, nursery, peers)
            await trio.sleep(0.5)
            assert store.asked == [LAGGING]
            peers.is_leading = True
            await trio.sleep(0.5)
            assert set(reported[-1]) == {"a", "b"}
            nursery.cancel_scope.cancel()

    async def test_a_starting_host_without_updates_asks_the_store(self, autojump_clock):
        # The leader of its data centre is frozen or has not found this host yet.
        store = FakeStore(make_listing(1, a="1"), change(2, b="2"))
        async with trio.open_nursery() as nursery:
            _, reported = start_reader(
                store, nursery, FakePeers(rank=None, is_starting=True)
            )
            await trio.sleep(2.9)
            assert set(reported[-1]) == {"a", "b"}
            nursery.cancel_scope.cancel()

    async def test_a_gap_is_filled_from_the_sender_s_copy(self, autojump_clock):
        # An update from revision 5 reaches a host at 1 that the store refuses; it
        # fetches the sender's copy to get the changes in between.
        store = FakeStore(make_listing(1, a="1"), LOST)
        async with trio.open_nursery() as nursery:
            peers = FakePeers(rank=None)
            peers.state = FeedState(
                feed="servers",
                position=at(6),
                entries=(FeedEntry(name="b", body=b"6"),),
            )
            reader, reported = start_reader(store, nursery, peers)
            await trio.sleep(0.1)
            reader.receive(make_update(5, change(6), b="6"), host="advertiser")
            await trio.sleep(0.1)
            assert peers.fetches == ["advertiser"]
            assert reported[-1] == {"b": b"6"}
            nursery.cancel_scope.cancel()

    async def test_a_relay_forwards_an_update_once_it_has_the_changes(
        self, autojump_clock
    ):
        # A relay gets a large update without its changes. Forwarded before it has them,
        # all its neighbours would ask it in vain, and then the store.
        store = FakeStore(make_listing(1, a="1"), change(2, a="2"))
        forwarded = []
        async with trio.open_nursery() as nursery:
            reader, _ = start_reader(store, nursery, FakePeers(rank=None))
            await trio.sleep(0.1)
            reader.receive(
                make_update(2, change(2), a="2"),
                host="far",
                on_applied=lambda: forwarded.append(dict(reader.copy.entries)),
            )
            assert forwarded == []
            await trio.sleep(0.1)
            assert forwarded == [{"a": b"2"}]
            reader.receive(
                make_update(2, change(3, a="3"), a="3"),
                host="far",
                on_applied=lambda: forwarded.append(dict(reader.copy.entries)),
            )
            assert forwarded[-1] == {"a": b"3"}
            nursery.cancel_scope.cancel()

    async def test_a_lagging_relay_forwards_changes_at_once(self, autojump_clock):
        # A relay lacks earlier changes and the store refuses it. Its neighbours, which
        # lack nothing, must not wait for it when a server begins to leave.
        store = FakeStore(make_listing(1, a="1"), *[LOST] * 99)
        forwarded = []
        async with trio.open_nursery() as nursery:
            reader, _ = start_reader(store, nursery, FakePeers(rank=None))
            await trio.sleep(0.1)
            reader.receive(
                make_update(5, change(6, b="leaving"), a="2", b="leaving"),
                host="far",
                on_applied=lambda: forwarded.append("news"),
            )
            assert forwarded == ["news"]
            await trio.sleep(1.0)
            assert forwarded == ["news"]
            nursery.cancel_scope.cancel()

    async def test_irrelevant_changes_are_not_announced(self, autojump_clock):
        # A server that warms up writes its remaining time with each heartbeat.
        store = FakeStore(
            make_listing(1, a="1#3"), change(2, a="1#2"), change(3, a="2#")
        )
        async with trio.open_nursery() as nursery:
            peers = FakePeers()
            start_reader(store, nursery, peers)
            await trio.sleep(1.0)
            assert [len(update.changes) for update in peers.announced] == [0, 1]
            assert [update.position for update in peers.announced] == [at(2), at(3)]
            nursery.cancel_scope.cancel()

    async def test_an_entry_that_returns_unchanged_is_announced(self, autojump_clock):
        # Entries lapse in an outage and return unchanged. The holder kept them, but had
        # announced their removal: without another update, others drop live servers.
        store = FakeStore(
            make_listing(1, a="1", b="1"),
            LOST,
            change(4, a=None),
            change(5, a="1"),
            change(7, b=None, a="1"),
            change(8, b="1"),
        )
        async with trio.open_nursery() as nursery:
            peers = FakePeers()
            receiver, reported = start_reader(
                FakeStore(make_listing(1, a="1", b="1"), *[LOST] * 99),
                nursery,
                FakePeers(rank=None),
            )
            await trio.sleep(0.1)
            peers.others.append(receiver)
            start_reader(store, nursery, peers)
            await trio.sleep(6.0)
            assert reported[-1] == {"a": b"1", "b": b"1"}
            nursery.cancel_scope.cancel()

    async def test_the_second_holder_announces_only_the_revision(self, autojump_clock):
        store = FakeStore(make_listing(1, a="1"), change(2, a="2"))
        async with trio.open_nursery() as nursery:
            peers = FakePeers(rank=1)
            start_reader(store, nursery, peers)
            await trio.sleep(0.2)
            assert peers.announced == []
            await trio.sleep(1.0)
            [update] = peers.announced
            assert (update.base, update.position, update.changes) == (at(2), at(2), ())
            nursery.cancel_scope.cancel()

    async def test_a_host_that_starts_during_an_outage_copies_a_peer(
        self, autojump_clock
    ):
        store = FakeStore(*[LOST] * 100)
        async with trio.open_nursery() as nursery:
            peers = FakePeers(rank=None)
            peers.state = FeedState(
                feed="servers",
                position=at(6),
                entries=(FeedEntry(name="b", body=b"6"),),
            )
            reader, reported = start_reader(store, nursery, peers)
            await trio.sleep(0.5)
            assert reader.is_loaded
            assert reported == [{"b": b"6"}]
            nursery.cancel_scope.cancel()

    async def test_an_outdated_update_changes_and_confirms_nothing(
        self, autojump_clock
    ):
        store = FakeStore(make_listing(9, a="9"), change(10))
        async with trio.open_nursery() as nursery:
            reader, reported = start_reader(store, nursery, FakePeers(rank=None))
            await trio.sleep(1.0)
            reader.receive(make_update(7, change(8), a="8"), host="advertiser")
            await trio.sleep(1.9)
            assert store.asked[:2] == [LAGGING, "watch 9"]
            assert reported == [{"a": b"9"}]
            nursery.cancel_scope.cancel()

    async def test_lapses_in_a_peer_s_update_get_the_grace_period_too(
        self, autojump_clock
    ):
        # The first update after an outage removes an entry of a live server, which
        # registers again a second later.
        store = FakeStore(make_listing(1, a="1"), *[LOST] * 100)
        async with trio.open_nursery() as nursery:
            reader, reported = start_reader(store, nursery, FakePeers(rank=None))
            await trio.sleep(5.0)
            reader.receive(make_update(1, change(4, a=None)), host="t")
            await trio.sleep(1.0)
            reader.receive(make_update(4, change(5, a="1"), a="1"), host="t")
            await trio.sleep(3.0)
            assert reported == [{"a": b"1"}]
            nursery.cancel_scope.cancel()


class TestUpdatesWithoutChanges:
    """Guards against a call to the store by every host for each change of large routes.

    Large changes are announced by their revision only.
    """

    async def receive(self, store: FakeStore, peers: FakePeers, *, host: str):
        """Announce revision 2 to a host at revision 1; return its entries then."""
        async with trio.open_nursery() as nursery:
            reader, reported = start_reader(store, nursery, peers)
            await trio.sleep(0.1)
            reader.receive(make_update(2, change(2), a="2"), host=host)
            await trio.sleep(0.1)
            nursery.cancel_scope.cancel()
        return reported[-1]

    async def test_changes_from_a_far_sender_are_read_from_the_store(
        self, autojump_clock
    ):
        store = FakeStore(make_listing(1, a="1"), change(2, a="2"))
        peers = FakePeers(rank=None)
        assert await self.receive(store, peers, host="far") == {"a": b"2"}
        assert store.asked == [LAGGING, "watch 1"]
        assert peers.fetches == []

    async def test_changes_that_a_near_sender_has_are_not_read_from_the_store(
        self, autojump_clock
    ):
        store = FakeStore(make_listing(1, a="1"))
        peers = FakePeers(rank=None, near=("near",))
        peers.state = FeedState(
            feed="servers", position=at(2), entries=make_listing(2, a="2").entries
        )
        assert await self.receive(store, peers, host="near") == {"a": b"2"}
        assert store.asked == [LAGGING]

    async def test_the_store_is_asked_if_the_near_sender_lacks_the_change(
        self, autojump_clock
    ):
        # The sender's copy is outdated, or the sender has become unreachable.
        store = FakeStore(make_listing(1, a="1"), change(2, a="2"))
        peers = FakePeers(rank=None, near=("near",))
        assert await self.receive(store, peers, host="near") == {"a": b"2"}
        assert peers.fetches == ["near"]


class TestHostsAtDifferentRevisions:
    """Guards against needless calls to the store by hosts with equal copies.

    Hosts that start together read the same servers at different revisions.
    """

    @pytest.mark.parametrize(("own", "holder"), [(9, 1), (1, 9)])
    async def test_neither_asks_the_store_again(self, autojump_clock, own, holder):
        quiet = FakeStore(make_listing(own, a="1"))
        async with trio.open_nursery() as nursery:
            receiver, reported = start_reader(quiet, nursery, FakePeers(rank=None))
            await trio.testing.wait_all_tasks_blocked()
            peers = FakePeers()
            peers.others.append(receiver)
            # Only the warm-up time differs, which is irrelevant.
            watching = FakeStore(make_listing(holder, a="1#2"), *[change(9)] * 8)
            start_reader(SlowStore(watching, 1.5), nursery, peers)
            await trio.sleep(10.0)
            assert quiet.asked == [LAGGING]
            assert receiver.copy.position == at(9)
            nursery.cancel_scope.cancel()

    async def test_changes_reach_both(self, autojump_clock):
        for revision in (1, 9):
            quiet = FakeStore(make_listing(revision, a="1"))
            async with trio.open_nursery() as nursery:
                receiver, reported = start_reader(quiet, nursery, FakePeers(rank=None))
                await trio.sleep(0.1)
                update = make_update(5, change(12, b="2"), a="1", b="2")
                receiver.receive(update, host="advertiser")
                await trio.sleep(0.1)
                assert reported[-1] == {"a": b"1", "b": b"2"}
                assert quiet.asked == [LAGGING]
                nursery.cancel_scope.cancel()

    async def test_old_changes_revert_nothing(self, autojump_clock):
        # The holder lags: this host already has a later value than the announced one.
        quiet = FakeStore(make_listing(9, a="new"), change(9))
        async with trio.open_nursery() as nursery:
            receiver, reported = start_reader(quiet, nursery, FakePeers(rank=None))
            await trio.sleep(0.1)
            receiver.receive(
                make_update(1, change(5, a="old"), a="old"), host="advertiser"
            )
            await trio.sleep(0.1)
            assert reported == [{"a": b"new"}]
            nursery.cancel_scope.cancel()

    async def test_an_empty_answer_of_the_store_does_not_override_an_update(
        self, autojump_clock
    ):
        # Just before the store drops its history, its watches return no change though a
        # server is leaving. Hosts that ask it must then fetch the sender's copy.
        store = FakeStore(make_listing(1, a="ready"), change(6))
        async with trio.open_nursery() as nursery:
            peers = FakePeers(rank=None)
            peers.state = FeedState(
                feed="servers",
                position=at(6),
                entries=make_listing(6, a="leaving").entries,
            )
            reader, reported = start_reader(store, nursery, peers)
            await trio.sleep(0.1)
            reader.receive(make_update(5, change(6), a="leaving"), host="advertiser")
            await trio.sleep(0.1)
            assert peers.fetches == ["advertiser"]
            assert reported[-1] == {"a": b"leaving"}
            nursery.cancel_scope.cancel()


class TestFingerprints:
    def test_it_depends_on_relevant_content_and_not_on_history(self):
        one = FeedCopy(lapse_grace_s=2.0, summarize=summarize)
        one.apply_listing(make_listing(1, a="1#9", b="2"), now=0.0)
        other = FeedCopy(lapse_grace_s=2.0, summarize=summarize)
        other.apply_listing(make_listing(4, c="3", a="0"), now=0.0)
        other.apply_changes(change(5, a="1#2", b="2", c=None), now=0.0)
        assert one.fingerprint == other.fingerprint
        assert (
            one.compute_fingerprint_with(change(6, a="1#7").changes)
            == other.fingerprint
        )
        assert (
            one.compute_fingerprint_with(change(6, a="7").changes) != other.fingerprint
        )

    def test_an_entry_kept_after_a_lapse_is_not_part_of_it(self):
        copy = FeedCopy(lapse_grace_s=2.0)
        copy.apply_listing(make_listing(1, a="1", b="2"), now=0.0)
        before = copy.fingerprint
        copy.record_store_return(now=10.0)
        copy.apply_changes(change(2, a=None), now=10.0)
        assert "a" in copy.entries
        assert copy.fingerprint != before
        assert copy.alters_fingerprint(FeedChange(name="a", body=b"1"))
        copy.apply_changes(change(3, a="1"), now=11.0)
        assert copy.fingerprint == before


class TestCopiesThatDiffer:
    def fill(self, n_servers: int, revision: int, **changed: str) -> FeedCopy:
        copy = FeedCopy(lapse_grace_s=2.0, summarize=summarize)
        entries = {f"i-{n}": "ready" for n in range(n_servers)} | changed
        copy.apply_listing(make_listing(revision, **entries), now=0.0)
        return copy

    def send_difference(self, one: FeedCopy, other: FeedCopy) -> int:
        """Copy to `other` what differs in `one`; return the number of entries sent."""
        buckets = one.find_differing(other.bucket_hashes)
        entries = one.select(buckets)
        listing = FeedListing(position=one.position, entries=entries)
        other.apply_listing(listing, now=1.0, buckets=buckets)
        return len(entries)

    def test_one_change_takes_a_small_part_of_the_entries(self):
        """Guards against saturating a slow link with copies of whole feeds."""
        one = self.fill(675, 2, **{"i-3": "leaving", "i-new": "ready"})
        other = self.fill(675, 1)
        assert self.send_difference(one, other) < 675 / 16
        assert other.fingerprint == one.fingerprint
        assert dict(other.entries) == dict(one.entries)

    @given(st.data())
    def test_any_two_copies_become_equal(self, data):
        names = st.sampled_from([f"i-{n}" for n in range(30)])
        bodies = st.sampled_from(["ready", "leaving"])
        one, other = (
            FeedCopy(lapse_grace_s=2.0, summarize=summarize) for _ in range(2)
        )
        for revision, copy in ((7, one), (3, other)):
            entries = data.draw(st.dictionaries(names, bodies))
            copy.apply_listing(make_listing(revision, **entries), now=0.0)
        self.send_difference(one, other)
        assert dict(other.entries) == dict(one.entries)
        assert other.bucket_hashes == one.bucket_hashes

    async def test_a_peer_with_no_or_other_buckets_gets_all_entries(self):
        """Guards against comparing buckets of releases that divide them differently."""
        async with trio.open_nursery() as nursery:
            reader, _ = start_reader(FakeStore(make_listing(2, a="1", b="2")), nursery)
            await trio.testing.wait_all_tasks_blocked()
            for hashes in ((), (1, 2)):
                state = reader.make_state(hashes)
                assert (state.buckets, len(state.entries)) == (None, 2)
            assert reader.make_state((0,) * N_BUCKETS).buckets is not None
            nursery.cancel_scope.cancel()

    def test_kept_lapsed_entries_are_not_sent_to_peers(self):
        """Guards against copies that differ while one host keeps lapsed entries."""
        one, other = self.fill(9, 1), self.fill(9, 1)
        one.record_store_return(now=10.0)
        one.apply_changes(change(2, **{"i-3": None}), now=10.0)
        assert "i-3" in one.entries
        self.send_difference(one, other)
        assert "i-3" not in other.entries
        assert other.fingerprint == one.fingerprint
