"""A host's copy of a feed: never back, and not emptied by an outage of the store."""

from random import Random

import pytest
import trio
import trio.testing
from hypothesis import given
from hypothesis import strategies as st

from lavendergap.coordination.feeds import N_BUCKETS, FeedCopy
from lavendergap.entry.feeds import LAPSE_GRACE_S, FeedReader
from lavendergap.protocol.messages import FeedNews, FeedState
from lavendergap.state.feeds import (
    FeedChange,
    FeedChanges,
    FeedEntry,
    FeedListing,
    HistoryGone,
    StoreLost,
)
from lavendergap.state.outcome import Reason, Step

LAGGING = "list, may lag"
LOST = StoreLost(step=Step.CONNECT, reason=Reason.REFUSED_CONNECTION)


def make_listing(revision: int, **entries: str) -> FeedListing:
    return FeedListing(
        revision=revision,
        entries=tuple(
            FeedEntry(name=name, body=body.encode()) for name, body in entries.items()
        ),
    )


def change(revision: int, **entries: str | None) -> FeedChanges:
    return FeedChanges(
        revision=revision,
        changes=tuple(
            FeedChange(name=name, body=None if body is None else body.encode())
            for name, body in entries.items()
        ),
    )


def summarize(name: str, body: bytes) -> bytes:
    """Leave out what a server says of its warm-up, behind the '#'."""
    return body.partition(b"#")[0]


def tell(base: int, changes: FeedChanges, **entries: str) -> FeedNews:
    """Return the news of a host whose copy has `entries` after `changes`."""
    copy = FeedCopy(lapse_grace=0.0, summarize=summarize)
    copy.take_listing(make_listing(changes.revision, **entries), now=0.0)
    return FeedNews(
        feed="servers",
        base=base,
        revision=changes.revision,
        changes=changes.changes,
        fingerprint=copy.fingerprint,
    )


class TestRevisions:
    def test_an_older_listing_changes_nothing(self):
        # A read that may lag comes after a newer one: what was accepted since must
        # not be taken back.
        copy = FeedCopy(lapse_grace=2.0)
        copy.take_listing(make_listing(9, a="new"), now=0.0)
        assert not copy.take_listing(make_listing(8, a="old"), now=0.0)
        assert not copy.take_changes(change(8, a="old"), now=0.0)
        assert copy.entries == {"a": b"new"}

    def test_a_listing_tells_of_entries_that_are_gone(self):
        copy = FeedCopy(lapse_grace=2.0)
        copy.take_listing(make_listing(1, a="1", b="2"), now=0.0)
        assert copy.take_listing(make_listing(2, b="2"), now=1.0)
        assert copy.entries == {"b": b"2"}

    def test_news_of_nothing_is_no_change(self):
        copy = FeedCopy(lapse_grace=2.0)
        copy.take_listing(make_listing(1, a="1"), now=0.0)
        assert not copy.take_changes(change(2, a="1"), now=0.0)
        assert copy.revision == 2

    def test_a_watch_that_heard_nothing_skips_nothing(self):
        # The store is about to drop its history: for a second watches hear nothing,
        # and a server begins to leave. The empty answer names a revision beyond that.
        # The next watch goes on from before it, and learns that the history is gone.
        copy = FeedCopy(lapse_grace=2.0)
        copy.take_listing(make_listing(1, a="ready"), now=0.0)
        assert not copy.take_changes(change(5), now=0.5)
        assert copy.revision == 1


class TestLapses:
    def test_entries_that_lapsed_in_an_outage_are_kept_until_they_can_be_back(self):
        # The store was down and all entries have lapsed. They vanish as it returns,
        # and those of living servers are back a second later. Nobody was refused
        # meanwhile; the one that stayed away is dropped.
        copy = FeedCopy(lapse_grace=2.0)
        copy.take_listing(make_listing(1, a="1", b="2"), now=0.0)
        copy.note_return(now=10.0)
        assert not copy.take_listing(make_listing(5), now=10.0)
        assert copy.next_due == 12.0
        assert not copy.take_changes(change(6, a="1"), now=11.0)
        assert not copy.settle(now=11.9)
        assert copy.settle(now=12.0)
        assert copy.entries == {"a": b"1"}

    def test_without_an_outage_what_vanishes_is_gone_at_once(self):
        copy = FeedCopy(lapse_grace=2.0)
        copy.take_listing(make_listing(1, a="1"), now=0.0)
        assert copy.take_changes(change(2, a=None), now=5.0)
        assert copy.entries == {}

    def test_long_after_an_outage_it_is_gone_at_once_too(self):
        copy = FeedCopy(lapse_grace=2.0)
        copy.take_listing(make_listing(1, a="1"), now=0.0)
        copy.note_return(now=10.0)
        assert copy.take_changes(change(2, a=None), now=12.5)


class Script:
    """A store that answers as a test says, then waits for ever."""

    def __init__(self, *answers):
        self.answers = list(answers)
        self.asked: list[str] = []

    async def _next(self, what: str):
        self.asked.append(what)
        if not self.answers:
            await trio.sleep_forever()
        return self.answers.pop(0)

    async def list_feed(self, feed, *, may_lag):
        return await self._next(LAGGING if may_lag else "list")

    async def watch_feed(self, feed, *, after, wait_s):
        return await self._next(f"watch {after}")


class Peers:
    """Other hosts, as one reader sees them; `others` hear what it tells."""

    def __init__(
        self,
        *,
        rank: int | None = 0,
        is_settling: bool = False,
        is_leading: bool = False,
        near: tuple[str, ...] = (),
    ) -> None:
        self.rank = rank
        self.is_settling = is_settling
        self.is_leading = is_leading
        self.near = near
        self.others: list[FeedReader] = []
        self.state: FeedState | None = None
        self.told: list[FeedNews] = []
        self.fetches: list[str | None] = []

    def get_holder_rank(self) -> int | None:
        return self.rank

    def is_past_startup(self) -> bool:
        return not self.is_settling

    def leads_data_centre(self) -> bool:
        return self.is_settling and self.is_leading

    def is_near(self, host: str) -> bool:
        return host in self.near

    def announce(self, news: FeedNews) -> None:
        self.told.append(news)
        for other in self.others:
            other.receive(news, host="advertiser")

    async def fetch(
        self, feed: str, host: str | None, *, hashes: tuple[int, ...] = ()
    ) -> FeedState | None:
        self.fetches.append(host)
        return self.state


def read(script, nursery: trio.Nursery, peers: Peers | None = None):
    told: list[dict[str, bytes]] = []
    reader = FeedReader(
        feed="servers",
        source=script,
        peers=peers or Peers(),
        on_change=lambda entries, revision: told.append(dict(entries)),
        summarize=summarize,
        random=Random(1),
        nursery=nursery,
    )
    nursery.start_soon(reader.run)
    return reader, told


class TestReading:
    async def test_a_lost_history_is_followed_by_a_listing(self, autojump_clock):
        script = Script(
            make_listing(1, a="1"), change(3, b="2"), HistoryGone(), make_listing(9)
        )
        async with trio.open_nursery() as nursery:
            _, told = read(script, nursery)
            await trio.sleep(1.0)
            assert script.asked == [LAGGING, "watch 1", "watch 3", "list", "watch 9"]
            assert told[-1] == {}
            nursery.cancel_scope.cancel()

    async def test_an_outage_empties_nothing(self, autojump_clock):
        # The store is away for two calls; on its return the watch tells that all
        # entries are gone, and a moment later that one is back.
        script = Script(
            make_listing(1, a="1", b="2"),
            LOST,
            LOST,
            change(4, a=None, b=None),
            change(5, a="1"),
        )
        async with trio.open_nursery() as nursery:
            _, told = read(script, nursery)
            await trio.sleep(1.0)
            assert told == [{"a": b"1", "b": b"2"}]
            await trio.sleep(LAPSE_GRACE_S)
            assert told[-1] == {"a": b"1"}
            nursery.cancel_scope.cancel()

    async def test_a_store_that_is_away_is_not_asked_in_a_loop(self, autojump_clock):
        script = Script(*[LOST] * 100)
        async with trio.open_nursery() as nursery:
            read(script, nursery)
            await trio.sleep(10.0)
            assert 8 <= len(script.asked) <= 20
            nursery.cancel_scope.cancel()


class TestPeers:
    async def test_who_hears_of_a_holder_asks_the_store_for_nothing(
        self, autojump_clock
    ):
        # One host watches; the other one lists once, and lives on what it is told:
        # changes, and the word that there are none.
        answers = [change(2, a="2"), *[change(2)] * 8]
        watching = Script(make_listing(1, a="1"), *answers)
        quiet = Script(make_listing(1, a="1"))
        async with trio.open_nursery() as nursery:
            receiver, told = read(quiet, nursery, Peers(rank=None))
            await trio.testing.wait_all_tasks_blocked()
            peers = Peers()
            peers.others.append(receiver)
            reader, _ = read(SlowScript(watching, 1.5), nursery, peers)
            await trio.sleep(10.0)
            assert quiet.asked == [LAGGING]
            assert told[-1] == {"a": b"2"}
            nursery.cancel_scope.cancel()

    async def test_without_news_a_host_asks_the_store_and_tells(self, autojump_clock):
        # Both holders are gone, or the store turns them away. A server begins to
        # leave at that moment; the others act on it within 3 s.
        script = Script(make_listing(1, a="1"), change(2, a="leaving"))
        async with trio.open_nursery() as nursery:
            peers = Peers(rank=None)
            _, told = read(script, nursery, peers)
            await trio.sleep(1.0)
            assert peers.told == []
            await trio.sleep(1.9)
            assert told[-1] == {"a": b"leaving"}
            assert [c.name for c in peers.told[-1].changes] == ["a"]
            nursery.cancel_scope.cancel()

    async def test_one_of_those_that_have_just_started_watches(self, autojump_clock):
        # The store is back, and with it all hosts; servers register again one by one,
        # and no host knows yet who watches for all. One of each data centre watches
        # and tells the others, which know each server as soon and ask for nothing.
        moving = [change(2, b="2"), change(3, c="3"), *[change(3)] * 9]
        watching = Script(make_listing(1, a="1"), *moving)
        quiet = Script(make_listing(1, a="1"))
        async with trio.open_nursery() as nursery:
            peers = Peers(rank=None, is_settling=True)
            receiver, told = read(quiet, nursery, peers)
            leader = Peers(rank=None, is_settling=True, is_leading=True)
            leader.others.append(receiver)
            read(SlowScript(watching, 0.2), nursery, leader)
            await trio.sleep(1.2)
            assert set(told[-1]) == {"a", "b", "c"}
            assert len(watching.asked) <= 4
            n_asked = len(watching.asked)
            leader.is_settling = peers.is_settling = False
            await trio.sleep(1.5)  # From here on both rely on the holders for a while.
            assert len(watching.asked) == n_asked
            assert quiet.asked == [LAGGING]
            nursery.cancel_scope.cancel()

    async def test_who_comes_to_lead_its_data_centre_watches(self, autojump_clock):
        # The host that led it until now is gone, or has a higher rank no more.
        script = Script(make_listing(1, a="1"), change(2, b="2"))
        async with trio.open_nursery() as nursery:
            peers = Peers(rank=None, is_settling=True)
            _, told = read(script, nursery, peers)
            await trio.sleep(0.5)
            assert script.asked == [LAGGING]
            peers.is_leading = True
            await trio.sleep(0.5)
            assert set(told[-1]) == {"a", "b"}
            nursery.cancel_scope.cancel()

    async def test_a_host_that_starts_and_hears_nothing_asks_itself(
        self, autojump_clock
    ):
        # Who leads its data centre does not know of it, or is frozen.
        script = Script(make_listing(1, a="1"), change(2, b="2"))
        async with trio.open_nursery() as nursery:
            _, told = read(script, nursery, Peers(rank=None, is_settling=True))
            await trio.sleep(2.9)
            assert set(told[-1]) == {"a", "b"}
            nursery.cancel_scope.cancel()

    async def test_a_gap_is_closed_by_the_teller_s_copy(self, autojump_clock):
        # News from revision 5 on come to a host that is at 1: what happened between
        # is not in them, and the store turns the host away. It takes the whole copy
        # of whoever told it.
        script = Script(make_listing(1, a="1"), LOST)
        async with trio.open_nursery() as nursery:
            peers = Peers(rank=None)
            peers.state = FeedState(
                feed="servers",
                revision=6,
                entries=(FeedEntry(name="b", body=b"6"),),
            )
            reader, told = read(script, nursery, peers)
            await trio.sleep(0.1)
            reader.receive(tell(5, change(6), b="6"), host="advertiser")
            await trio.sleep(0.1)
            assert peers.fetches == ["advertiser"]
            assert told[-1] == {"b": b"6"}
            nursery.cancel_scope.cancel()

    async def test_a_relay_passes_on_what_it_can_be_asked_for(self, autojump_clock):
        # Long news come to a relay without what changed. Passed on before it has that
        # itself, all its neighbours would ask it in vain, and then the store.
        script = Script(make_listing(1, a="1"), change(2, a="2"))
        passed_on = []
        async with trio.open_nursery() as nursery:
            reader, _ = read(script, nursery, Peers(rank=None))
            await trio.sleep(0.1)
            reader.receive(
                tell(2, change(2), a="2"),
                host="far",
                on_applied=lambda: passed_on.append(dict(reader.copy.entries)),
            )
            assert passed_on == []
            await trio.sleep(0.1)
            assert passed_on == [{"a": b"2"}]
            reader.receive(
                tell(2, change(3, a="3"), a="3"),
                host="far",
                on_applied=lambda: passed_on.append(dict(reader.copy.entries)),
            )
            assert passed_on[-1] == {"a": b"3"}
            nursery.cancel_scope.cancel()

    async def test_a_relay_that_lags_keeps_no_change_from_its_neighbours(
        self, autojump_clock
    ):
        # A relay lacks what was before the news, and the store turns it away. A server
        # begins to leave; its neighbours, who lack nothing, must not wait for it.
        script = Script(make_listing(1, a="1"), *[LOST] * 99)
        passed_on = []
        async with trio.open_nursery() as nursery:
            reader, _ = read(script, nursery, Peers(rank=None))
            await trio.sleep(0.1)
            reader.receive(
                tell(5, change(6, b="leaving"), a="2", b="leaving"),
                host="far",
                on_applied=lambda: passed_on.append("news"),
            )
            assert passed_on == ["news"]
            await trio.sleep(1.0)
            assert passed_on == ["news"]
            nursery.cancel_scope.cancel()

    async def test_what_changes_nothing_that_matters_is_not_told(self, autojump_clock):
        # A server writes with each heartbeat how much longer it is slow.
        script = Script(make_listing(1, a="1#3"), change(2, a="1#2"), change(3, a="2#"))
        async with trio.open_nursery() as nursery:
            peers = Peers()
            read(script, nursery, peers)
            await trio.sleep(1.0)
            assert [len(news.changes) for news in peers.told] == [0, 1]
            assert [news.revision for news in peers.told] == [2, 3]
            nursery.cancel_scope.cancel()

    async def test_an_entry_that_is_back_unchanged_is_told(self, autojump_clock):
        # All entries lapsed in an outage. The holder tells that they are gone, keeps
        # them for a while, and they are back as they were. Were that no news, all
        # other hosts would drop living servers for good and refuse every caller.
        script = Script(
            make_listing(1, a="1", b="1"),
            LOST,
            change(4, a=None),
            change(5, a="1"),
            change(7, b=None, a="1"),
            change(8, b="1"),
        )
        async with trio.open_nursery() as nursery:
            peers = Peers()
            receiver, told = read(
                Script(make_listing(1, a="1", b="1"), *[LOST] * 99),
                nursery,
                Peers(rank=None),
            )
            await trio.sleep(0.1)
            peers.others.append(receiver)
            read(script, nursery, peers)
            await trio.sleep(6.0)
            assert told[-1] == {"a": b"1", "b": b"1"}
            nursery.cancel_scope.cancel()

    async def test_the_second_holder_says_only_that_there_is_something_newer(
        self, autojump_clock
    ):
        script = Script(make_listing(1, a="1"), change(2, a="2"))
        async with trio.open_nursery() as nursery:
            peers = Peers(rank=1)
            read(script, nursery, peers)
            await trio.sleep(0.2)
            assert peers.told == []
            await trio.sleep(1.0)
            [news] = peers.told
            assert (news.base, news.revision, news.changes) == (2, 2, ())
            nursery.cancel_scope.cancel()

    async def test_a_host_that_starts_while_the_store_is_away(self, autojump_clock):
        script = Script(*[LOST] * 100)
        async with trio.open_nursery() as nursery:
            peers = Peers(rank=None)
            peers.state = FeedState(
                feed="servers", revision=6, entries=(FeedEntry(name="b", body=b"6"),)
            )
            reader, told = read(script, nursery, peers)
            await trio.sleep(0.5)
            assert reader.is_loaded
            assert told == [{"b": b"6"}]
            nursery.cancel_scope.cancel()

    async def test_news_that_lag_behind_change_and_confirm_nothing(
        self, autojump_clock
    ):
        script = Script(make_listing(9, a="9"), change(10))
        async with trio.open_nursery() as nursery:
            reader, told = read(script, nursery, Peers(rank=None))
            await trio.sleep(1.0)
            reader.receive(tell(7, change(8), a="8"), host="advertiser")
            await trio.sleep(1.9)
            assert script.asked[:2] == [LAGGING, "watch 9"]
            assert told == [{"a": b"9"}]
            nursery.cancel_scope.cancel()

    async def test_lapses_that_a_peer_tells_of_are_waited_out_too(self, autojump_clock):
        # Nobody reached the store for 5 s. The first news after it say that an entry
        # is gone; the server lives, and is back in the store a second later.
        script = Script(make_listing(1, a="1"), *[LOST] * 100)
        async with trio.open_nursery() as nursery:
            reader, told = read(script, nursery, Peers(rank=None))
            await trio.sleep(5.0)
            reader.receive(tell(1, change(4, a=None)), host="t")
            await trio.sleep(1.0)
            reader.receive(tell(4, change(5, a="1"), a="1"), host="t")
            await trio.sleep(3.0)
            assert told == [{"a": b"1"}]
            nursery.cancel_scope.cancel()


class TestNewsWithoutTheChange:
    """An operator's document is too long to cross to each host.

    Only that there is something newer is announced. Each change of long routes was a
    call of each of 195 hosts to the store.
    """

    async def receive(self, script: Script, peers: Peers, *, host: str):
        """Have a host at revision 1 hear of 2; return what it has in force then."""
        async with trio.open_nursery() as nursery:
            reader, told = read(script, nursery, peers)
            await trio.sleep(0.1)
            reader.receive(tell(2, change(2), a="2"), host=host)
            await trio.sleep(0.1)
            nursery.cancel_scope.cancel()
        return told[-1]

    async def test_told_from_afar_it_is_read_from_the_store(self, autojump_clock):
        script = Script(make_listing(1, a="1"), change(2, a="2"))
        peers = Peers(rank=None)
        assert await self.receive(script, peers, host="far") == {"a": b"2"}
        assert script.asked == [LAGGING, "watch 1"]
        assert peers.fetches == []

    async def test_what_a_neighbour_has_is_not_asked_of_the_store(self, autojump_clock):
        script = Script(make_listing(1, a="1"))
        peers = Peers(rank=None, near=("near",))
        peers.state = FeedState(
            feed="servers", revision=2, entries=make_listing(2, a="2").entries
        )
        assert await self.receive(script, peers, host="near") == {"a": b"2"}
        assert script.asked == [LAGGING]

    async def test_a_neighbour_that_lacks_it_too_leaves_the_store(self, autojump_clock):
        # Its copy is old, or it has been cut off meanwhile: the change is known from
        # the store all the same.
        script = Script(make_listing(1, a="1"), change(2, a="2"))
        peers = Peers(rank=None, near=("near",))
        assert await self.receive(script, peers, host="near") == {"a": b"2"}
        assert peers.fetches == ["near"]


class TestHostsThatReadAtOtherRevisions:
    """All hosts start together and register themselves between their readings.

    The store's revision moves with that, so each host has read the same servers at
    another revision. Told by revisions alone, those ahead of the holder took its word
    for old and asked the store themselves each 2 s, and those behind it asked at each
    of its words: 2,733 calls in 50 s by 77 hosts, where 2 hosts were to watch.
    """

    @pytest.mark.parametrize(("own", "holder"), [(9, 1), (1, 9)])
    async def test_neither_asks_for_anything(self, autojump_clock, own, holder):
        quiet = Script(make_listing(own, a="1"))
        async with trio.open_nursery() as nursery:
            receiver, told = read(quiet, nursery, Peers(rank=None))
            await trio.testing.wait_all_tasks_blocked()
            peers = Peers()
            peers.others.append(receiver)
            # What it says of its warm-up differs, and matters to nobody.
            watching = Script(make_listing(holder, a="1#2"), *[change(9)] * 8)
            read(SlowScript(watching, 1.5), nursery, peers)
            await trio.sleep(10.0)
            assert quiet.asked == [LAGGING]
            assert receiver.copy.revision == 9
            nursery.cancel_scope.cancel()

    async def test_changes_reach_both(self, autojump_clock):
        for revision in (1, 9):
            quiet = Script(make_listing(revision, a="1"))
            async with trio.open_nursery() as nursery:
                receiver, told = read(quiet, nursery, Peers(rank=None))
                await trio.sleep(0.1)
                news = tell(5, change(12, b="2"), a="1", b="2")
                receiver.receive(news, host="advertiser")
                await trio.sleep(0.1)
                assert told[-1] == {"a": b"1", "b": b"2"}
                assert quiet.asked == [LAGGING]
                nursery.cancel_scope.cancel()

    async def test_old_changes_take_nothing_back(self, autojump_clock):
        # The holder lags: what it tells as new, this host has seen replaced.
        quiet = Script(make_listing(9, a="new"), change(9))
        async with trio.open_nursery() as nursery:
            receiver, told = read(quiet, nursery, Peers(rank=None))
            await trio.sleep(0.1)
            receiver.receive(tell(1, change(5, a="old"), a="old"), host="advertiser")
            await trio.sleep(0.1)
            assert told == [{"a": b"new"}]
            nursery.cancel_scope.cancel()

    async def test_a_store_that_tells_nothing_is_not_taken_at_its_word(
        self, autojump_clock
    ):
        # The store is about to drop its history, and its watches hear nothing. A host
        # that has listed the feed knows that a server leaves, and says so; the others
        # ask the store, and are told of no change. They take the advertiser's copy.
        script = Script(make_listing(1, a="ready"), change(6))
        async with trio.open_nursery() as nursery:
            peers = Peers(rank=None)
            peers.state = FeedState(
                feed="servers", revision=6, entries=make_listing(6, a="leaving").entries
            )
            reader, told = read(script, nursery, peers)
            await trio.sleep(0.1)
            reader.receive(tell(5, change(6), a="leaving"), host="advertiser")
            await trio.sleep(0.1)
            assert peers.fetches == ["advertiser"]
            assert told[-1] == {"a": b"leaving"}
            nursery.cancel_scope.cancel()


class TestFingerprints:
    def test_it_depends_on_what_matters_and_not_on_the_way_there(self):
        one = FeedCopy(lapse_grace=2.0, summarize=summarize)
        one.take_listing(make_listing(1, a="1#9", b="2"), now=0.0)
        other = FeedCopy(lapse_grace=2.0, summarize=summarize)
        other.take_listing(make_listing(4, c="3", a="0"), now=0.0)
        other.take_changes(change(5, a="1#2", b="2", c=None), now=0.0)
        assert one.fingerprint == other.fingerprint
        assert one.foresee(change(6, a="1#7").changes) == other.fingerprint
        assert one.foresee(change(6, a="7").changes) != other.fingerprint

    def test_an_entry_kept_after_a_lapse_is_not_part_of_it(self):
        copy = FeedCopy(lapse_grace=2.0)
        copy.take_listing(make_listing(1, a="1", b="2"), now=0.0)
        before = copy.fingerprint
        copy.note_return(now=10.0)
        copy.take_changes(change(2, a=None), now=10.0)
        assert "a" in copy.entries
        assert copy.fingerprint != before
        assert copy.is_news(FeedChange(name="a", body=b"1"))
        copy.take_changes(change(3, a="1"), now=11.0)
        assert copy.fingerprint == before


class TestCopiesThatDiffer:
    def fill(self, n_servers: int, revision: int, **changed: str) -> FeedCopy:
        copy = FeedCopy(lapse_grace=2.0, summarize=summarize)
        entries = {f"i-{n}": "ready" for n in range(n_servers)} | changed
        copy.take_listing(make_listing(revision, **entries), now=0.0)
        return copy

    def send_difference(self, one: FeedCopy, other: FeedCopy) -> int:
        """Bring `other` to what `one` has; return how many entries that takes."""
        buckets = one.find_differing(other.bucket_hashes)
        entries = one.select(buckets)
        listing = FeedListing(revision=one.revision, entries=entries)
        other.take_listing(listing, now=1.0, buckets=buckets)
        return len(entries)

    def test_one_change_takes_a_small_part_of_the_entries(self):
        """Guards against hosts that fill a weak link with their neighbours' copies."""
        one = self.fill(675, 2, **{"i-3": "leaving", "i-new": "ready"})
        other = self.fill(675, 1)
        assert self.send_difference(one, other) < 675 / 16
        assert other.fingerprint == one.fingerprint
        assert dict(other.entries) == dict(one.entries)

    @given(st.data())
    def test_any_two_copies_become_one(self, data):
        names = st.sampled_from([f"i-{n}" for n in range(30)])
        bodies = st.sampled_from(["ready", "leaving"])
        one, other = (FeedCopy(lapse_grace=2.0, summarize=summarize) for _ in range(2))
        for revision, copy in ((7, one), (3, other)):
            entries = data.draw(st.dictionaries(names, bodies))
            copy.take_listing(make_listing(revision, **entries), now=0.0)
        self.send_difference(one, other)
        assert dict(other.entries) == dict(one.entries)
        assert other.bucket_hashes == one.bucket_hashes

    async def test_whoever_compares_no_or_other_buckets_gets_all(self):
        """Guards against releases side by side that compare unlike buckets."""
        async with trio.open_nursery() as nursery:
            reader, _ = read(Script(make_listing(2, a="1", b="2")), nursery)
            await trio.testing.wait_all_tasks_blocked()
            for hashes in ((), (1, 2)):
                state = reader.make_state(hashes)
                assert (state.buckets, len(state.entries)) == (None, 2)
            assert reader.make_state((0,) * N_BUCKETS).buckets is not None
            nursery.cancel_scope.cancel()

    def test_lapsed_entries_are_kept_by_each_host_for_itself(self):
        """Guards against copies that differ for as long as one of them keeps any."""
        one, other = self.fill(9, 1), self.fill(9, 1)
        one.note_return(now=10.0)
        one.take_changes(change(2, **{"i-3": None}), now=10.0)
        assert "i-3" in one.entries
        self.send_difference(one, other)
        assert "i-3" not in other.entries
        assert other.fingerprint == one.fingerprint


class SlowScript:
    """A script whose watches take a time, as a waiting watch does."""

    def __init__(self, script: Script, seconds: float) -> None:
        self._script = script
        self._seconds = seconds

    async def list_feed(self, feed, *, may_lag):
        return await self._script.list_feed(feed, may_lag=may_lag)

    async def watch_feed(self, feed, *, after, wait_s):
        await trio.sleep(self._seconds)
        return await self._script.watch_feed(feed, after=after, wait_s=wait_s)
