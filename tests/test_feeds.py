"""A host's copy of a feed: never back, and not emptied by an outage of the store."""

from random import Random

import trio

from lavendergap.coordination.feeds import FeedCopy
from lavendergap.entry.feeds import LAPSE_GRACE, FeedReader
from lavendergap.state.feeds import (
    FeedChange,
    FeedChanges,
    FeedEntry,
    FeedListing,
    HistoryGone,
    StoreLost,
)
from lavendergap.state.outcome import Reason, Step

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

    async def list_feed(self, feed):
        return await self._next("list")

    async def watch_feed(self, feed, *, after, wait_s):
        return await self._next(f"watch {after}")


async def read(script: Script, nursery: trio.Nursery):
    told: list[dict[str, bytes]] = []
    reader = FeedReader(
        feed="servers",
        source=script,
        use=lambda entries, revision: told.append(dict(entries)),
        random=Random(1),
    )
    nursery.start_soon(reader.run)
    return reader, told


class TestReading:
    async def test_a_lost_history_is_followed_by_a_listing(self, autojump_clock):
        script = Script(
            make_listing(1, a="1"), change(3, b="2"), HistoryGone(), make_listing(9)
        )
        async with trio.open_nursery() as nursery:
            reader, told = await read(script, nursery)
            await trio.sleep(1.0)
            assert script.asked == ["list", "watch 1", "watch 3", "list", "watch 9"]
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
            reader, told = await read(script, nursery)
            await trio.sleep(1.0)
            assert told == [{"a": b"1", "b": b"2"}]
            await trio.sleep(LAPSE_GRACE)
            assert told[-1] == {"a": b"1"}
            nursery.cancel_scope.cancel()

    async def test_a_store_that_is_away_is_not_asked_in_a_loop(self, autojump_clock):
        script = Script(*[LOST] * 100)
        async with trio.open_nursery() as nursery:
            await read(script, nursery)
            await trio.sleep(10.0)
            assert 8 <= len(script.asked) <= 20
            nursery.cancel_scope.cancel()
