"""A fake store and fake peers of feed readers, for tests."""

from random import Random

import trio

from lavendergap.coordination.feeds import FeedCopy
from lavendergap.entry.feeds import FeedReader
from lavendergap.protocol.messages import FeedState, FeedUpdate
from lavendergap.state.feeds import (
    FeedChange,
    FeedChanges,
    FeedEntry,
    FeedListing,
    StorePosition,
    StoreUnavailable,
)
from lavendergap.state.outcome import Reason, Step

LAGGING = "list, may lag"
LOST = StoreUnavailable(step=Step.CONNECT, reason=Reason.REFUSED_CONNECTION)


def at(revision: int, *, epoch: int = 0) -> StorePosition:
    return StorePosition(epoch=epoch, revision=revision)


def make_listing(position: int | StorePosition, **entries: str) -> FeedListing:
    return FeedListing(
        position=at(position) if isinstance(position, int) else position,
        entries=tuple(
            FeedEntry(name=name, body=body.encode()) for name, body in entries.items()
        ),
    )


def change(position: int | StorePosition, **entries: str | None) -> FeedChanges:
    return FeedChanges(
        position=at(position) if isinstance(position, int) else position,
        changes=tuple(
            FeedChange(name=name, body=None if body is None else body.encode())
            for name, body in entries.items()
        ),
    )


def summarize(name: str, body: bytes) -> bytes:
    """Return a body without its warm-up time, which follows the '#'."""
    return body.partition(b"#")[0]


def make_update(base: int, changes: FeedChanges, **entries: str) -> FeedUpdate:
    """Return the update of a host whose copy has `entries` after `changes`."""
    copy = FeedCopy(lapse_grace_s=0.0, summarize=summarize)
    position = changes.position
    copy.apply_listing(make_listing(position, **entries), now=0.0)
    return FeedUpdate(
        feed="servers",
        base=at(base, epoch=position.epoch),
        position=position,
        changes=changes.changes,
        fingerprint=copy.fingerprint,
    )


class FakeStore:
    """A store that returns the given answers in turn, then waits for ever."""

    def __init__(self, *answers):
        self.answers = list(answers)
        self.asked: list[str] = []

    async def _next(self, what: str):
        self.asked.append(what)
        if not self.answers:
            await trio.sleep_forever()
        return self.answers.pop(0)

    async def list_feed(self, feed, *, may_be_stale):
        return await self._next(LAGGING if may_be_stale else "list")

    async def watch_feed(self, feed, *, after, wait_s):
        return await self._next(f"watch {after.revision}")


class FakePeers:
    """The other hosts of one reader; `others` receive what it announces."""

    def __init__(
        self,
        *,
        rank: int | None = 0,
        standby_rank: int | None = None,
        is_starting: bool = False,
        is_leading: bool = False,
        near: tuple[str, ...] = (),
    ) -> None:
        self.rank = rank
        self.standby_rank = standby_rank
        self.is_starting = is_starting
        self.is_leading = is_leading
        self.near = near
        self.others: list[FeedReader] = []
        self.state: FeedState | None = None
        self.announced: list[FeedUpdate] = []
        self.fetches: list[str | None] = []

    def get_holder_rank(self) -> int | None:
        return self.rank

    def get_standby_rank(self) -> int | None:
        return self.standby_rank

    def is_past_startup(self) -> bool:
        return not self.is_starting

    def leads_data_centre(self) -> bool:
        return self.is_starting and self.is_leading

    def is_near(self, host: str) -> bool:
        return host in self.near

    def announce(self, update: FeedUpdate) -> None:
        self.announced.append(update)
        for other in self.others:
            other.receive(update, host="advertiser")

    async def fetch(
        self, feed: str, host: str | None, *, hashes: tuple[int, ...] = ()
    ) -> FeedState | None:
        self.fetches.append(host)
        return self.state


def start_reader(store, nursery: trio.Nursery, peers: FakePeers | None = None):
    reported: list[dict[str, bytes]] = []
    reader = FeedReader(
        feed="servers",
        source=store,
        peers=peers or FakePeers(),
        on_change=lambda entries, position: reported.append(dict(entries)),
        summarize=summarize,
        random=Random(1),
        nursery=nursery,
    )
    nursery.start_soon(reader.run)
    return reader, reported


class SlowStore:
    """A store whose watches take some time, as a long poll does."""

    def __init__(self, store: FakeStore, seconds: float) -> None:
        self._store = store
        self._seconds = seconds

    async def list_feed(self, feed, *, may_be_stale):
        return await self._store.list_feed(feed, may_be_stale=may_be_stale)

    async def watch_feed(self, feed, *, after, wait_s):
        await trio.sleep(self._seconds)
        return await self._store.watch_feed(feed, after=after, wait_s=wait_s)
