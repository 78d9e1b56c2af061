"""Keeps this host's copy of the store's feeds up to date, from the store or a peer.

Two hosts, the watch holders, watch the store for all hosts. A host that gets an answer
from the store announces to all others what has changed, or that nothing has. A host
that receives no announcements for a while asks the store itself and announces the
answer, so updates continue when both holders are down, and also reach hosts that the
store refuses.

A store restored from an older copy issues revisions again. Everything is therefore
compared by its position, and an answer that does not follow the copy's position is
followed by a listing, which replaces the copy.
"""

from collections.abc import Callable
from dataclasses import dataclass, replace
from random import Random
from typing import Protocol

import trio

from .. import metrics
from ..coordination.feeds import FeedCopy, Summarize
from ..logs import Category, get_logger, log_decision
from ..protocol.messages import FeedState, FeedUpdate
from ..state.feeds import (
    FeedChange,
    FeedChanges,
    FeedListing,
    FeedSource,
    HistoryExpired,
    StorePosition,
    StoreUnavailable,
)
from .feedcopy import OnChange, TrackedCopy, format_age

logger = get_logger(Category.SETTINGS)


@dataclass(frozen=True, kw_only=True, slots=True)
class FeedTiming:
    """How soon a feed's changes have to reach all hosts.

    `watch_wait_s` is the duration of a holder's long poll: how often it announces that
    nothing has changed, and for how long a silent connection can hide a change. A host
    without an update for `stale_after_s`, which is longer, asks the store itself; the
    first standby does so after `standby_after_s`.
    """

    watch_wait_s: float
    standby_after_s: float
    stale_after_s: float


# Fast enough to act on a change within the 3 s that a leaving server goes on serving.
FAST_TIMING = FeedTiming(watch_wait_s=1.5, standby_after_s=1.75, stale_after_s=2.1)
# Changes are announced at once with either timing. This one is for feeds where a host
# that missed an announcement may be some seconds behind.
RELAXED_TIMING = FeedTiming(watch_wait_s=4.0, standby_after_s=4.7, stale_after_s=5.6)
# The next standby asks this much later, if it has not received the answer to the first.
STANDBY_INTERVAL_S = 0.04
# Standbys ask this long before lapsed entries are dropped.
LAPSE_CHECK_S = 0.12
# Added to the delay, so that the first host to ask spares the others their calls.
STALE_JITTER_SHARE = 0.25
# After a change, a host that watches for its data centre during startup waits this long
# before it watches again. The other starting hosts check this often whether they are
# the one to watch.
STARTUP_PAUSE_S = 0.4
# After a change, a holder waits this long before it watches again, so that changes that
# come together, as when servers are replaced, take one call of each holder.
BATCHING_PAUSE_S = 0.15
# The first failure is often a lost connection; later ones back off, since the store
# limits the calls of all hosts together.
FIRST_RETRY_DELAY_S = 0.1
MAX_RETRY_DELAY_S = 1.0
# After an outage of the store, live servers register again within this time: two
# seconds by the platform's rules, and the delay of a heartbeat.
LAPSE_GRACE_S = 2.2

# Limit of the random delay before a host lists the feed to settle a difference. Where
# all hosts differ at once, most have caught up with a peer's copy by then.
SETTLE_DELAY_S = 0.5

# The second holder announces this much later, and without the changes: a host that has
# them from the first holder by then needs nothing more.
SECOND_HOLDER_DELAY_S = 0.3


def _do_nothing() -> None:
    pass


class FeedPeers(Protocol):
    """The operations on other hosts that a feed reader uses. None of them raises."""

    def get_holder_rank(self) -> int | None:
        """Return this host's rank among the watch holders, from 0, or None."""

    def get_standby_rank(self) -> int | None:
        """Return this host's rank among the standbys of the holders, or None."""

    def is_past_startup(self) -> bool:
        """Return whether this host has run long enough to have found the others."""

    def leads_data_centre(self) -> bool:
        """Return whether this host watches for its data centre during startup."""

    def is_near(self, host: str) -> bool:
        """Return whether `host` is in the data centre of this one."""

    def announce(self, update: FeedUpdate) -> None:
        """Send an update to all live hosts, or to those that this host watches for."""

    async def fetch(
        self, feed: str, host: str | None, *, hashes: tuple[int, ...] = ()
    ) -> FeedState | None:
        """Return the copy of `host`, or of any live host; None without an answer.

        With `hashes`, the hashes of this host's buckets, only buckets that differ.
        """


class FeedReader:
    """Keeps the copy of one feed.

    `on_change` is called with the entries and their position whenever they change.
    """

    def __init__(
        self,
        *,
        feed: str,
        source: FeedSource,
        peers: FeedPeers,
        on_change: OnChange,
        summarize: Summarize,
        random: Random,
        nursery: trio.Nursery,
        timing: FeedTiming = FAST_TIMING,
        lapse_grace_s: float = LAPSE_GRACE_S,
        restore_grace_s: float = LAPSE_GRACE_S,
    ) -> None:
        self.feed = feed
        self._timing = timing
        self._tracked = TrackedCopy(
            feed=feed,
            on_change=on_change,
            summarize=summarize,
            lapse_grace_s=lapse_grace_s,
            restore_grace_s=restore_grace_s,
        )
        self._source = source
        self._peers = peers
        self._random = random
        self._nursery = nursery
        self._n_failures = 0
        self._n_expired = 0
        self._is_catching_up = False

    @property
    def copy(self) -> FeedCopy:
        """This host's copy."""
        return self._tracked.copy

    @property
    def is_loaded(self) -> bool:
        """Whether the feed has been read from the store or a peer."""
        return self._tracked.is_loaded

    async def run(self) -> None:
        """Read until cancelled."""
        self._nursery.start_soon(self._tracked.drop_lapsed)
        # When all hosts start together, reading a lagging replica costs the store a
        # tenth of another read, and the next update or watch shows what is missing.
        # After the history is gone, a replica may be older than the store's remaining
        # history.
        may_be_stale = True
        while True:
            await self._list(may_be_stale=may_be_stale)
            await self._follow()
            may_be_stale = False

    # From the store.

    async def _list(self, *, may_be_stale: bool) -> None:
        """List the feed, or fetch it from a peer while the store does not answer."""
        while True:
            began = trio.current_time()
            match await self._source.list_feed(self.feed, may_be_stale=may_be_stale):
                case FeedListing() as listing:
                    self._record_contact(began)
                    if may_be_stale:
                        self._tracked.apply_listing(_drop_revision(listing), "store")
                    elif self._tracked.apply_listing(listing, "store"):
                        # The others fetch what this host missed with the history.
                        self._announce(base=self.copy.position, changes=())
                    return
                case StoreUnavailable() as lost:
                    await self._handle_loss(lost)
                    if not self.is_loaded:
                        await self._fetch(None)
                    if self.is_loaded and not self.is_stale:
                        return

    async def _follow(self) -> None:
        """Watch the feed, or wait for announcements, until its history is gone."""
        while True:
            rank = self._peers.get_holder_rank()
            is_starting = not self._peers.is_past_startup()
            # When all hosts restart with the store, servers register again one by one
            # before the watch holders are chosen. Waiting until the copy is stale left
            # hosts with 25 to 60 of 78 servers for two seconds, and a third of all
            # requests was refused; watches by each of 195 hosts made 1,900 calls. So
            # one host of each data centre watches.
            is_leading = (
                rank is None and is_starting and self._peers.leads_data_centre()
            )
            is_watching = rank is not None or is_leading
            if not is_watching and not self._is_overdue:
                await self._wait_for_update(is_starting)
                continue
            if not self._can_be_continued:
                return
            base = self.copy.position
            began = trio.current_time()
            wait = self._timing.watch_wait_s if is_watching else 0.0
            match await self._watch(base, wait):
                case FeedChanges() as changes if self._follows_copy(changes, base):
                    self._record_contact(began)
                    self._tracked.confirm()
                    self._n_expired = 0
                    relevant = self._select_relevant(changes.changes)
                    self._tracked.apply_changes(changes, "store")
                    if relevant and rank == 1:
                        await trio.sleep(SECOND_HOLDER_DELAY_S)
                        base, relevant = self.copy.position, ()
                    self._announce(base=base, changes=relevant)
                    if changes.changes:
                        await trio.sleep(
                            STARTUP_PAUSE_S if is_leading else BATCHING_PAUSE_S
                        )
                case FeedChanges() | HistoryExpired():
                    self._record_contact(began)
                    if self.copy.position != base:
                        continue  # An update has replaced the copy meanwhile.
                    await self._handle_expiry()
                    return
                case StoreUnavailable() as lost:
                    await self._handle_loss(lost)

    async def _watch(
        self, base: StorePosition, wait_s: float
    ) -> FeedChanges | HistoryExpired | StoreUnavailable | None:
        """Watch the feed; None if another host reports the end of an outage meanwhile.

        The store may have lost a watch that began before the outage.
        """
        answer: FeedChanges | HistoryExpired | StoreUnavailable | None = None
        returned = self._tracked.store_returned
        async with trio.open_nursery() as nursery:

            async def cancel_on_return() -> None:
                await returned.wait()
                nursery.cancel_scope.cancel()

            nursery.start_soon(cancel_on_return)
            answer = await self._source.watch_feed(self.feed, after=base, wait_s=wait_s)
            nursery.cancel_scope.cancel()
        return answer

    @property
    def _can_be_continued(self) -> bool:
        """Whether the copy's position is one to watch from, not only its epoch."""
        return self.copy.position.revision > 0 or self.copy.position.epoch == 0

    def _follows_copy(self, changes: FeedChanges, base: StorePosition) -> bool:
        """Return whether the answer to a watch from `base` continues the copy.

        The store, or an update of a peer that knows so, may show a restore meanwhile.
        """
        return changes.position.epoch == base.epoch == self.copy.position.epoch

    async def _handle_expiry(self) -> None:
        """Log that the copy cannot be continued; wait if that happens repeatedly.

        A store that forgets at once what it has listed would be called without a pause.
        """
        log_decision(
            logger,
            "feed history expired",
            request_id=None,
            feed=self.feed,
            revision=self.copy.position.revision,
            epoch=self.copy.position.epoch,
        )
        self._n_expired += 1
        if self._n_expired > 1:
            await trio.sleep(self._draw_pause(self._n_expired - 1))

    async def _wait_for_update(self, is_starting: bool) -> None:
        """Wait until an update is overdue, or this host may have to watch itself."""
        until = self._draw_ask_time()
        if is_starting:
            until = min(until, trio.current_time() + STARTUP_PAUSE_S)
        await trio.sleep_until(until)

    def _select_relevant(
        self, changes: tuple[FeedChange, ...]
    ) -> tuple[FeedChange, ...]:
        """Return the changes without those that change nothing in the summary.

        A server that warms up writes its remaining time with each heartbeat; in a large
        fleet these would be thousands of needless announcements.
        """
        removed = {change.name for change in changes if change.body is None}
        return tuple(
            change
            for change in changes
            if change.name in removed or self.copy.alters_fingerprint(change)
        )

    @property
    def is_stale(self) -> bool:
        """Whether the store or a peer last confirmed the copy too long ago."""
        return self._tracked.unconfirmed_s >= self._timing.stale_after_s

    @property
    def _is_overdue(self) -> bool:
        """Whether this host has to ask the store, as it gets no announcements."""
        return trio.current_time() >= self._ask_at

    @property
    def _ask_at(self) -> float:
        """When this host asks the store if it gets no announcement, at the earliest.

        The standbys ask first, one after the other, and announce the answer. They are
        soon enough that no outage goes unseen in which entries of live servers lapse,
        and ask again before lapsed entries are dropped.
        """
        confirmed_at = self._tracked.confirmed_at
        rank = self._peers.get_standby_rank()
        if rank is None:
            return confirmed_at + self._timing.stale_after_s
        ask_at = confirmed_at + self._timing.standby_after_s
        if self.copy.next_lapse_at is not None:
            check_at = self.copy.next_lapse_at - LAPSE_CHECK_S
            if confirmed_at < check_at:
                ask_at = min(ask_at, check_at)
        return ask_at + rank * STANDBY_INTERVAL_S

    def _draw_ask_time(self) -> float:
        ask_at = self._ask_at
        if self._peers.get_standby_rank() is None:
            jitter = STALE_JITTER_SHARE * self._random.random()
            ask_at += self._timing.stale_after_s * jitter
        return ask_at

    def _announce(
        self, *, base: StorePosition, changes: tuple[FeedChange, ...]
    ) -> None:
        self._peers.announce(
            FeedUpdate(
                feed=self.feed,
                base=base,
                position=self.copy.position,
                changes=changes,
                fingerprint=self.copy.fingerprint,
                contact=self._tracked.outages.make_report(now=trio.current_time()),
            )
        )

    def _record_contact(self, began: float) -> None:
        """Record that the store has answered, whatever its answer proves."""
        self._tracked.record_answer(began)
        if self._n_failures:
            log_decision(
                logger,
                "store available",
                request_id=None,
                feed=self.feed,
                n_failures=self._n_failures,
                unconfirmed_s=format_age(self._tracked.unconfirmed_s),
            )
        self._n_failures = 0

    async def _handle_loss(self, lost: StoreUnavailable) -> None:
        self._n_failures += 1
        self._tracked.outages.record_failure(now=trio.current_time())
        metrics.store_losses.labels(self.feed, lost.reason.value).inc()
        if self._n_failures == 1:
            log_decision(
                logger,
                "store unavailable",
                request_id=None,
                feed=self.feed,
                step=lost.step.value,
                reason=lost.reason.value,
                revision=self.copy.position.revision,
                epoch=self.copy.position.epoch,
            )
        pause = max(self._draw_pause(self._n_failures), lost.retry_after_s)
        with trio.move_on_after(min(pause, MAX_RETRY_DELAY_S * 1.3)):
            await self._tracked.store_returned.wait()

    def _draw_pause(self, n_failures: int) -> float:
        """Return an exponential delay before the next call, with jitter."""
        pause = FIRST_RETRY_DELAY_S * 2.0 ** min(n_failures - 1, 10)
        return min(MAX_RETRY_DELAY_S, pause) * self._random.uniform(0.7, 1.3)

    # From peers.

    def receive(
        self,
        update: FeedUpdate,
        *,
        host: str,
        on_applied: Callable[[], None] = _do_nothing,
    ) -> None:
        """Apply an update that another host has announced.

        `on_applied` is called at once when the update contains the changes since this
        copy, otherwise once this copy has them or the attempt to get them has failed. A
        relay forwards the update then, so that its neighbours can fetch from it what is
        missing.
        """
        if self._tracked.apply_update(update, host):
            on_applied()
            return
        if (update.changes and self._is_of_epoch(update)) or self._is_catching_up:
            on_applied()
            on_applied = _do_nothing
        if not self._is_catching_up:
            self._is_catching_up = True
            self._nursery.start_soon(self._catch_up, update, host, on_applied)

    async def _catch_up(
        self, update: FeedUpdate, host: str, on_applied: Callable[[], None]
    ) -> None:
        """Get what an update lacks: from a near sender, the store, then a far sender.

        A near sender comes first, as traffic within a data centre is free and each
        change of the routes would otherwise cost a call to the store by every host.
        After a restore of the store a far sender comes next: the copies differ in few
        entries, while all hosts would list a store that has just returned.
        """
        try:
            is_near = self._peers.is_near(host)
            if is_near:
                await self._fetch(host)
                if self._matches(update):
                    return
            can_watch = self._is_of_epoch(update) and self._can_be_continued
            if self.is_loaded and can_watch and await self._ask_store(update):
                return
            # This host has no copy yet, or the store is down, has dropped its history
            # or is about to: it may then report no change when there is one.
            if not is_near:
                await self._fetch(host)
            if self.is_loaded and not self._matches(update):
                await trio.sleep(self._random.uniform(0.0, SETTLE_DELAY_S))
                await self._fetch(host)
            if self.is_loaded and not self._matches(update):
                await self._settle_difference(update, host)
        finally:
            self._is_catching_up = False
            on_applied()

    async def _ask_store(self, update: FeedUpdate) -> bool:
        """Apply newer changes of the store; return whether they match the update."""
        base = self.copy.position
        began = trio.current_time()
        answer = await self._source.watch_feed(self.feed, after=base, wait_s=0.0)
        if not isinstance(answer, FeedChanges):
            return False
        self._tracked.record_answer(began)
        if not self._follows_copy(answer, base):
            return False
        self._tracked.confirm()
        self._tracked.apply_changes(answer, "store")
        return self._matches(update)

    async def _settle_difference(self, update: FeedUpdate, host: str) -> None:
        """List the feed, as neither this copy nor the sender's is known to be right.

        If the sender is wrong, it learns so from this host's announcement.
        """
        before = self.copy.position
        began = trio.current_time()
        match await self._source.list_feed(self.feed, may_be_stale=False):
            case FeedListing() as listing:
                self._tracked.record_answer(began)
                is_applied = self._tracked.apply_listing(listing, "store")
                outcome = "matches" if self._matches(update) else "differs"
                if is_applied and outcome == "differs":
                    self._announce(base=self.copy.position, changes=())
            case StoreUnavailable(reason=reason):
                metrics.store_losses.labels(self.feed, reason.value).inc()
                outcome = reason.value
        log_decision(
            logger,
            "feed copies differ",
            request_id=None,
            feed=self.feed,
            host=host,
            revision=before.revision,
            epoch=before.epoch,
            host_revision=update.position.revision,
            host_epoch=update.position.epoch,
            outcome=outcome,
        )

    def _is_of_epoch(self, update: FeedUpdate) -> bool:
        return update.position.epoch == self.copy.position.epoch

    def _matches(self, update: FeedUpdate) -> bool:
        copy = self.copy
        return copy.position > update.position or copy.fingerprint == update.fingerprint

    async def _fetch(self, host: str | None) -> None:
        hashes = self.copy.bucket_hashes if self.is_loaded else ()
        state = await self._peers.fetch(self.feed, host, hashes=hashes)
        if state is None or state.position <= self.copy.position:
            return
        if state.buckets is not None and not self.is_loaded:
            return
        listing = FeedListing(position=state.position, entries=state.entries)
        self._tracked.apply_listing(listing, host or "a peer", buckets=state.buckets)

    def make_state(self, hashes: tuple[int, ...] = ()) -> FeedState:
        """Return the copy for a peer, or only the buckets that differ from `hashes`."""
        return self._tracked.make_state(hashes)


def _drop_revision(listing: FeedListing) -> FeedListing:
    """Return a listing that may be outdated, without the revision that it states.

    It may show a store of before a restore, with the epoch of after it. Its revision
    would be too high, and the copy taken for newer than those of other hosts.
    """
    epoch = listing.position.epoch
    return replace(listing, position=StorePosition(epoch=epoch)) if epoch else listing
