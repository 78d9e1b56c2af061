"""Keeps this host's copy of the store's feeds up to date, from the store or a peer.

Two hosts, the holders, watch the store for all. Whoever has an answer of the store
announces to all others what changed, or that nothing did. A host without announcements
for a while asks the store itself, and announces its answer: so the feeds go on
when both holders are gone, and reach a host that the store turns away.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from random import Random
from typing import Protocol

import trio

from .. import metrics
from ..coordination.feeds import N_BUCKETS, FeedCopy, Summarize
from ..logs import Category, get_logger, log_decision
from ..protocol.messages import FeedNews, FeedState
from ..state.feeds import (
    FeedChange,
    FeedChanges,
    FeedEntry,
    FeedListing,
    FeedSource,
    HistoryGone,
    StoreLost,
)

logger = get_logger(Category.SETTINGS)


@dataclass(frozen=True, kw_only=True, slots=True)
class FeedPace:
    """How soon a feed's changes have to be known everywhere, in seconds.

    `watch_wait` is how long a holder's watch waits: how often it is announced that
    nothing has changed, and how long a connection gone silent hides what has. A host
    without news for `stale_after`, which is more, asks the store itself.
    """

    watch_wait: float
    stale_after: float


# Soon enough to act on a change within the 3 s that a leaving server goes on serving.
PROMPT = FeedPace(watch_wait=1.5, stale_after=2.1)
# Changes are announced as they come at any pace; this is for feeds of which a host
# may lack the last for some seconds, when its news were lost.
EASY = FeedPace(watch_wait=4.0, stale_after=5.6)
# Not all at once: the first one's answer saves the others theirs.
STALE_JITTER = 0.25
# The same for a host that has just started and watches for its data centre: longer,
# since one in each pays a call for it. The others look this often whether it is theirs
# to watch.
SETTLING_PAUSE = 0.4
# After news, a holder waits so long, in seconds, before it watches again: what
# changes together, as when servers are replaced, then shares one call of each holder.
GATHER_PAUSE = 0.15
# Between failed calls, in seconds: the first is often a lost connection, and the
# store bounds all hosts' calls together.
FIRST_RETRY = 0.1
LONGEST_RETRY = 1.0
# Servers are back in the store this long after its return, in seconds, if they live;
# the platform says two, and a heartbeat may be under way.
LAPSE_GRACE = 2.2

# The second holder announces so much later, in seconds, and only that there is
# something newer: who has it from the first one by then needs nothing more.
SECOND_DELAY = 0.3

UseEntries = Callable[[Mapping[str, bytes], int], None]


def _do_nothing() -> None:
    pass


class FeedPeers(Protocol):
    """What a feed's reader needs of the other hosts. Nothing here raises."""

    def get_holder_rank(self) -> int | None:
        """Return this host's place among the holders, 0 for the first, or None."""

    def is_settled(self) -> bool:
        """Tell whether this host has run for long enough to know the others."""

    def leads_place(self) -> bool:
        """Tell whether this host, as it does not know the others yet, watches for those
        of its data centre.
        """

    def is_near(self, host: str) -> bool:
        """Tell whether `host` is in the data centre of this one."""

    def announce(self, news: FeedNews) -> None:
        """Send news to all live hosts, or to those that this host watches for."""

    async def fetch(
        self, feed: str, host: str | None, *, hashes: tuple[int, ...] = ()
    ) -> FeedState | None:
        """Return a feed as `host` has it, or any live one; None without an answer.

        With `hashes`, those of this host's buckets, only what differs.
        """


class FeedReader:
    """One feed's copy; `use` gets the entries whenever they change."""

    def __init__(
        self,
        *,
        feed: str,
        source: FeedSource,
        peers: FeedPeers,
        use: UseEntries,
        summarize: Summarize,
        random: Random,
        nursery: trio.Nursery,
        pace: FeedPace = PROMPT,
    ) -> None:
        self.feed = feed
        self._pace = pace
        self.copy = FeedCopy(lapse_grace=LAPSE_GRACE, summarize=summarize)
        self.is_listed = False
        self._source = source
        self._peers = peers
        self._use = use
        self._random = random
        self._nursery = nursery
        self._n_failures = 0
        self._confirmed_at = trio.current_time()
        self._is_fetching = False

    async def run(self) -> None:
        """Read until cancelled."""
        self._nursery.start_soon(self._settle)
        # All hosts may start together: a copy that lags costs the store a tenth, and
        # the first news, or else a watch after some 2 s, show what it lacks. After a
        # history was lost it may be older than what the store still remembers.
        may_lag = True
        while True:
            await self._list(may_lag=may_lag)
            await self._follow()
            may_lag = False

    # From the store.

    async def _list(self, *, may_lag: bool) -> None:
        """List the feed, or take it of a peer while the store does not answer."""
        while True:
            match await self._source.list_feed(self.feed, may_lag=may_lag):
                case FeedListing() as listing:
                    self._note_answer()
                    before = self.copy.revision
                    has_changed = self._take_listing(listing, "store")
                    if not may_lag:
                        # The others fetch what the lost history kept from this host.
                        base = self.copy.revision if has_changed else before
                        self._announce(base=base, changes=())
                    return
                case StoreLost() as lost:
                    await self._note_loss(lost)
                    if not self.is_listed:
                        await self._fetch(None)
                    if self.is_listed and not self.is_stale:
                        return

    async def _follow(self) -> None:
        """Watch, or wait for announcements, until the history is gone."""
        while True:
            rank = self._peers.get_holder_rank()
            is_settling = not self._peers.is_settled()
            # When all hosts come back with the store, the servers register again one
            # by one, and nobody watches for all yet. Asking once each 2.1 s, hosts
            # had 25 to 60 of 78 servers for two seconds and refused a third of all;
            # each watching for itself, 195 hosts made 1,900 calls.
            is_leading = rank is None and is_settling and self._peers.leads_place()
            is_watching = rank is not None or is_leading
            if not is_watching and not self.is_stale:
                await self._wait_for_news(is_settling)
                continue
            base = self.copy.revision
            wait = self._pace.watch_wait if is_watching else 0.0
            match await self._source.watch_feed(self.feed, after=base, wait_s=wait):
                case FeedChanges() as changes:
                    self._note_answer()
                    news = self._pick_news(changes.changes)
                    if self.copy.take_changes(changes, now=trio.current_time()):
                        self._put_in_force("store")
                    if news and rank == 1:
                        await trio.sleep(SECOND_DELAY)
                        base, news = self.copy.revision, ()
                    self._announce(base=base, changes=news)
                    if changes.changes:
                        await trio.sleep(SETTLING_PAUSE if is_leading else GATHER_PAUSE)
                case HistoryGone():
                    self._note_answer()
                    log_decision(
                        logger,
                        "history gone",
                        request_id=None,
                        feed=self.feed,
                        revision=base,
                    )
                    return
                case StoreLost() as lost:
                    await self._note_loss(lost)

    async def _wait_for_news(self, is_settling: bool) -> None:
        """Wait until news are overdue, or this host may have to watch by itself."""
        until = self._confirmed_at + self._draw_patience()
        if is_settling:
            until = min(until, trio.current_time() + SETTLING_PAUSE)
        await trio.sleep_until(until)

    def _pick_news(self, changes: tuple[FeedChange, ...]) -> tuple[FeedChange, ...]:
        """Leave out what changes nothing that matters.

        Servers write how much longer they are slow with each heartbeat after their
        start, which would be some thousand announcements of nothing in a large fleet.
        """
        removed = {change.name for change in changes if change.body is None}
        return tuple(
            change
            for change in changes
            if change.name in removed or self.copy.is_news(change)
        )

    @property
    def is_stale(self) -> bool:
        """Whether nobody has confirmed the copy for longer than is usual."""
        return trio.current_time() - self._confirmed_at >= self._pace.stale_after

    def _draw_patience(self) -> float:
        jitter = STALE_JITTER * self._random.random()
        return self._pace.stale_after * (1.0 + jitter)

    def _announce(self, *, base: int, changes: tuple[FeedChange, ...]) -> None:
        self._peers.announce(
            FeedNews(
                feed=self.feed,
                base=base,
                revision=self.copy.revision,
                changes=changes,
                fingerprint=self.copy.fingerprint,
            )
        )

    def _note_answer(self) -> None:
        now = trio.current_time()
        if self._n_failures:
            log_decision(
                logger,
                "store regained",
                request_id=None,
                feed=self.feed,
                n_failures=self._n_failures,
                unconfirmed_s=round(min(now - self._confirmed_at, 1e6), 2),
            )
            self.copy.note_return(now=now)
        self._n_failures = 0
        self._confirmed_at = now

    async def _note_loss(self, lost: StoreLost) -> None:
        self._n_failures += 1
        metrics.store_losses.labels(self.feed, lost.reason.value).inc()
        if self._n_failures == 1:
            log_decision(
                logger,
                "store lost",
                request_id=None,
                feed=self.feed,
                step=lost.step.value,
                reason=lost.reason.value,
                revision=self.copy.revision,
            )
        pause = min(LONGEST_RETRY, FIRST_RETRY * 2.0 ** (self._n_failures - 1))
        pause = max(pause * self._random.uniform(0.7, 1.3), lost.retry_after_s)
        await trio.sleep(min(pause, LONGEST_RETRY * 1.3))

    # From peers.

    def receive(
        self, news: FeedNews, *, host: str, then: Callable[[], None] = _do_nothing
    ) -> None:
        """Take news of the store that another host had.

        `then` is called at once where news hold what has changed, and else once this
        copy holds it, or cannot be brought to: a relay passes news on then, so that
        its neighbours can ask it for what the news lack.
        """
        if self._take_news(news, host):
            then()
            return
        if news.changes or self._is_fetching:
            then()
            then = _do_nothing
        if not self._is_fetching:
            self._is_fetching = True
            self._nursery.start_soon(self._catch_up, news, host, then)

    def _take_news(self, news: FeedNews, host: str) -> bool:
        """Apply what news hold; return whether nothing of it is lacking now."""
        if not self.is_listed:
            return False
        now = trio.current_time()
        copy = self.copy
        if self.is_stale:
            # Nobody had an answer of the store for a while: what vanishes now may
            # have lapsed meanwhile.
            copy.note_return(now=now)
        is_older = news.revision < copy.revision
        changes = () if is_older else news.changes
        is_equal = copy.foresee(changes) == news.fingerprint
        if is_older and not is_equal:
            return True  # Its host lags behind this one, and confirms nothing.
        if is_equal or copy.revision >= news.base:
            announced = FeedChanges(revision=news.revision, changes=changes)
            if copy.take_changes(announced, now=now):
                self._put_in_force(host)
        if is_equal:
            # By revisions alone every host that had read the feed before or after
            # the holder would ask the store itself, again and again.
            copy.adopt(news.revision)
            self._confirmed_at = now
        return is_equal

    async def _catch_up(
        self, news: FeedNews, host: str, then: Callable[[], None]
    ) -> None:
        """Take what news did not hold: from their sender if it is near, which costs
        nothing, else from the store, and from a far sender last.

        Were it the store first, each change of the routes was a call of each host.
        """
        try:
            is_near = self._peers.is_near(host)
            if is_near:
                await self._fetch(host)
                if self._matches(news):
                    return
            if self.is_listed and await self._ask_store(news):
                return
            # Away, its history gone, or about to be: then it says that nothing has
            # changed, though the sender knows better.
            if not is_near:
                await self._fetch(host)
        finally:
            self._is_fetching = False
            then()

    async def _ask_store(self, news: FeedNews) -> bool:
        """Take what the store has newer; return whether it is what was announced."""
        base = self.copy.revision
        answer = await self._source.watch_feed(self.feed, after=base, wait_s=0.0)
        if not isinstance(answer, FeedChanges):
            return False
        self._confirmed_at = trio.current_time()
        if self.copy.take_changes(answer, now=self._confirmed_at):
            self._put_in_force("store")
        return self._matches(news)

    def _matches(self, news: FeedNews) -> bool:
        copy = self.copy
        return copy.revision > news.revision or copy.fingerprint == news.fingerprint

    async def _fetch(self, host: str | None) -> None:
        hashes = self.copy.bucket_hashes if self.is_listed else ()
        state = await self._peers.fetch(self.feed, host, hashes=hashes)
        if state is None or state.revision <= self.copy.revision:
            return
        if state.buckets is not None and not self.is_listed:
            return
        self._confirmed_at = trio.current_time()
        listing = FeedListing(revision=state.revision, entries=state.entries)
        self._take_listing(listing, host or "a peer", buckets=state.buckets)

    def describe(self, hashes: tuple[int, ...] = ()) -> FeedState:
        """Return the copy for a peer, or what differs from that of `hashes`.

        A peer that has nothing yet also gets the lapsed entries that are still kept:
        without them it would have no server for a while after an outage.
        """
        copy = self.copy
        if len(hashes) != N_BUCKETS:
            entries = tuple(
                FeedEntry(name=name, body=body) for name, body in copy.entries.items()
            )
            return FeedState(feed=self.feed, revision=copy.revision, entries=entries)
        buckets = copy.find_differing(hashes)
        return FeedState(
            feed=self.feed,
            revision=copy.revision,
            entries=copy.select(buckets),
            buckets=tuple(sorted(buckets)),
        )

    # In force.

    def _take_listing(
        self,
        listing: FeedListing,
        source: str,
        buckets: tuple[int, ...] | None = None,
    ) -> bool:
        now = trio.current_time()
        has_changed = self.copy.take_listing(listing, now=now, buckets=buckets)
        if has_changed or not self.is_listed:
            self.is_listed = True
            self._put_in_force(source)
        return has_changed

    async def _settle(self) -> None:
        while True:
            due = self.copy.next_due
            now = trio.current_time()
            if due is not None and due <= now:
                if self.copy.settle(now=now):
                    self._put_in_force("lapse")
                continue
            await trio.sleep(LAPSE_GRACE / 4 if due is None else due - now)

    def _put_in_force(self, source: str) -> None:
        log_decision(
            logger,
            "feed changed",
            request_id=None,
            feed=self.feed,
            revision=self.copy.revision,
            n_entries=len(self.copy.entries),
            source=source,
        )
        self._use(self.copy.entries, self.copy.revision)
