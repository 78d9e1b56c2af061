"""One host's copy of a feed, with its age, its log lines and its reports of changes."""

from collections.abc import Callable, Mapping

import trio

from .. import metrics
from ..coordination.feeds import N_BUCKETS, FeedCopy, Summarize
from ..coordination.outages import Change, OutageDetector
from ..logs import Category, get_logger, log_decision
from ..protocol.messages import FeedState, FeedUpdate
from ..state.feeds import FeedChanges, FeedEntry, FeedListing, StorePosition

logger = get_logger(Category.SETTINGS)

# Interval of checks for lapsed entries while there are none.
LAPSE_CHECK_INTERVAL_S = 0.5

OnChange = Callable[[Mapping[str, bytes], StorePosition], None]


class TrackedCopy:
    """A copy of a feed that is changed by the store and by peers.

    `on_change` is called with the entries and their position whenever they change.
    """

    def __init__(
        self,
        *,
        feed: str,
        on_change: OnChange,
        summarize: Summarize,
        lapse_grace_s: float,
        restore_grace_s: float,
    ) -> None:
        self.feed = feed
        self.copy = FeedCopy(
            lapse_grace_s=lapse_grace_s,
            restore_grace_s=restore_grace_s,
            summarize=summarize,
        )
        self.outages = OutageDetector()
        # Set and replaced when another host reports the end of an outage.
        self.store_returned = trio.Event()
        self.is_loaded = False
        self.confirmed_at = trio.current_time()
        self._on_change = on_change
        self._ignored_at: StorePosition | None = None

    @property
    def unconfirmed_s(self) -> float:
        """Seconds since the store or a peer last confirmed the copy."""
        return trio.current_time() - self.confirmed_at

    def confirm(self) -> None:
        """Record that the copy equals what the store or a peer has just sent."""
        self.confirmed_at = trio.current_time()

    def apply_listing(
        self,
        listing: FeedListing,
        source: str,
        buckets: tuple[int, ...] | None = None,
    ) -> bool:
        """Apply a listing unless the copy is newer; return whether it was applied."""
        before = self.copy.position
        if listing.position < before:
            self._log_ignored(listing, source)
            return False
        now = trio.current_time()
        has_changed = self.copy.apply_listing(listing, now=now, buckets=buckets)
        self.confirm()
        if self.copy.position.epoch != before.epoch:
            self.outages.forget_outage()
        self._log_restore(before, source)
        if has_changed or not self.is_loaded:
            self.is_loaded = True
            self._report_change(source)
        return True

    def apply_changes(self, changes: FeedChanges, source: str) -> None:
        """Apply changes that follow the copy's position."""
        n_kept = self.copy.n_lapsed
        if self.copy.apply_changes(changes, now=trio.current_time()):
            self._report_change(source)
        if self.copy.n_lapsed > n_kept:
            log_decision(
                logger,
                "entries kept",
                request_id=None,
                feed=self.feed,
                n_kept=self.copy.n_lapsed - n_kept,
                source=source,
            )

    def record_answer(self, began: float) -> None:
        """Record that the store has answered a call of this host."""
        now = trio.current_time()
        change = self.outages.record_answer(began=began, now=now)
        self._handle_outage(change, "store", now)

    def _handle_outage(self, change: Change, source: str, now: float) -> None:
        """Keep the entries that lapsed in an outage, or drop them if there was none."""
        match change:
            case Change.NONE:
                return
            case Change.OUTAGE:
                self.copy.record_store_return(now=self.outages.returned_at)
            case Change.REFUTED:
                if self.copy.record_no_outage(now=now):
                    self._report_change(source)
        log_decision(
            logger,
            f"store {change.value}",
            request_id=None,
            feed=self.feed,
            source=source,
            outage_s=format_age(self.outages.outage_s),
            has_failed=self.outages.has_failed,
        )

    def apply_update(self, update: FeedUpdate, host: str) -> bool:
        """Apply an update; return whether the copy needs nothing more from it."""
        copy = self.copy
        before = copy.position
        if not self.is_loaded:
            return False
        if update.position.epoch < before.epoch:
            return True  # The sender has not noticed yet that the store was restored.
        now = trio.current_time()
        change = self.outages.record_report(update.contact, now=now)
        self._handle_outage(change, host, now)
        if change is Change.OUTAGE:
            self.store_returned.set()
            self.store_returned = trio.Event()
        if update.position.epoch > before.epoch:
            # Entries that are missing may have been lost with the store's history.
            self.outages.forget_outage()
            copy.record_store_return(now=now)
        is_outdated = update.position < before
        changes = () if is_outdated else update.changes
        is_equal = copy.compute_fingerprint_with(changes) == update.fingerprint
        if is_outdated and not is_equal:
            return True  # The sender lags behind this host and confirms nothing.
        if is_equal:
            copy.advance(update.base)
        if copy.position >= update.base:
            announced = FeedChanges(position=update.position, changes=changes)
            self.apply_changes(announced, host)
        if is_equal:
            # Hosts that listed the feed at another position than the holder have the
            # same entries; comparing positions, they would keep asking the store.
            copy.advance(update.position)
            self.confirm()
        self._log_restore(before, host)
        return is_equal

    def make_state(self, hashes: tuple[int, ...] = ()) -> FeedState:
        """Return the copy for a peer, or only the buckets that differ from `hashes`.

        A peer that has no copy yet also gets the lapsed entries that are still kept;
        without them it would have no servers for a while after an outage.
        """
        copy = self.copy
        if len(hashes) != N_BUCKETS:
            entries = tuple(
                FeedEntry(name=name, body=body) for name, body in copy.entries.items()
            )
            return FeedState(feed=self.feed, position=copy.position, entries=entries)
        buckets = copy.find_differing(hashes)
        return FeedState(
            feed=self.feed,
            position=copy.position,
            entries=copy.select(buckets),
            buckets=tuple(sorted(buckets)),
        )

    async def drop_lapsed(self) -> None:
        """Drop lapsed entries when their time has passed, until cancelled."""
        while True:
            due = self.copy.next_lapse_at
            now = trio.current_time()
            if due is not None and due <= now:
                if self.copy.drop_lapsed(now=now):
                    self._report_change("lapse")
                continue
            await trio.sleep(LAPSE_CHECK_INTERVAL_S if due is None else due - now)

    def _log_ignored(self, listing: FeedListing, source: str) -> None:
        """Count a listing older than the copy; log the first at each position."""
        metrics.ignored_listings.labels(self.feed).inc()
        if self._ignored_at == self.copy.position:
            return
        self._ignored_at = self.copy.position
        log_decision(
            logger,
            "feed listing ignored",
            request_id=None,
            feed=self.feed,
            revision=self.copy.position.revision,
            epoch=self.copy.position.epoch,
            listed_revision=listing.position.revision,
            listed_epoch=listing.position.epoch,
            source=source,
            unconfirmed_s=format_age(self.unconfirmed_s),
        )

    def _log_restore(self, before: StorePosition, source: str) -> None:
        """Log if the copy now follows a restore of the store."""
        position = self.copy.position
        metrics.store_epoch.labels(self.feed).set(position.epoch)
        if position.epoch == before.epoch or before == StorePosition():
            return
        log_decision(
            logger,
            "store restored",
            request_id=None,
            feed=self.feed,
            before_epoch=before.epoch,
            before_revision=before.revision,
            epoch=position.epoch,
            revision=position.revision,
            n_kept=self.copy.n_lapsed,
            source=source,
        )

    def _report_change(self, source: str) -> None:
        log_decision(
            logger,
            "feed changed",
            request_id=None,
            feed=self.feed,
            revision=self.copy.position.revision,
            epoch=self.copy.position.epoch,
            n_entries=len(self.copy.entries),
            source=source,
        )
        self._on_change(self.copy.entries, self.copy.position)


def format_age(seconds: float) -> float:
    """Return an age for a log line, which JSON can express."""
    return round(min(seconds, 1e6), 2)
