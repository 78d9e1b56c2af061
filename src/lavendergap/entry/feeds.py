"""Keeps this host's copy of the store's feeds up to date."""

from collections.abc import Callable, Mapping
from random import Random

import trio

from .. import metrics
from ..coordination.feeds import FeedCopy
from ..logs import Category, get_logger, log_decision
from ..state.feeds import (
    FeedChanges,
    FeedListing,
    FeedSource,
    HistoryGone,
    StoreLost,
)

logger = get_logger(Category.SETTINGS)

# How long one watch waits, in seconds. A watch whose connection has gone silent is
# found out at its end; what it should have told has to be acted on within 3 s.
WATCH_WAIT = 2.0
# Between failed calls, in seconds: the first is often a lost connection, and the
# store bounds all hosts' calls together.
FIRST_RETRY = 0.1
LONGEST_RETRY = 1.0
# Servers are back in the store this long after its return, in seconds, if they live;
# the platform says two, and a heartbeat may be under way.
LAPSE_GRACE = 2.2

UseEntries = Callable[[Mapping[str, bytes], int], None]


class FeedReader:
    """Lists one feed, then watches it; `use` gets the entries whenever they change."""

    def __init__(
        self, *, feed: str, source: FeedSource, use: UseEntries, random: Random
    ) -> None:
        self.feed = feed
        self.copy = FeedCopy(lapse_grace=LAPSE_GRACE)
        self.is_listed = False
        self._source = source
        self._use = use
        self._random = random
        self._n_failures = 0
        self._heard_at = 0.0

    async def run(self) -> None:
        """Read until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._settle)
            while True:
                await self._list()
                await self._watch()

    async def _list(self) -> None:
        while True:
            match await self._source.list_feed(self.feed):
                case FeedListing() as listing:
                    self._note_answer()
                    now = trio.current_time()
                    has_changed = self.copy.take_listing(listing, now=now)
                    if has_changed or not self.is_listed:
                        self.is_listed = True
                        self._tell("listed")
                    return
                case StoreLost() as lost:
                    await self._note_loss(lost)

    async def _watch(self) -> None:
        """Watch until the store has forgotten what has changed since."""
        while True:
            result = await self._source.watch_feed(
                self.feed, after=self.copy.revision, wait_s=WATCH_WAIT
            )
            match result:
                case FeedChanges() as changes:
                    self._note_answer()
                    now = trio.current_time()
                    if self.copy.take_changes(changes, now=now):
                        self._tell("watched")
                case HistoryGone():
                    self._note_answer()
                    log_decision(
                        logger,
                        "history gone",
                        request_id=None,
                        feed=self.feed,
                        revision=self.copy.revision,
                    )
                    return
                case StoreLost() as lost:
                    await self._note_loss(lost)

    async def _settle(self) -> None:
        while True:
            due = self.copy.next_due
            now = trio.current_time()
            if due is not None and due <= now:
                if self.copy.settle(now=now):
                    self._tell("lapsed")
                continue
            await trio.sleep(LAPSE_GRACE / 4 if due is None else due - now)

    def _tell(self, source: str) -> None:
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

    def _note_answer(self) -> None:
        now = trio.current_time()
        if self._n_failures:
            log_decision(
                logger,
                "store regained",
                request_id=None,
                feed=self.feed,
                n_failures=self._n_failures,
                silent_s=round(now - self._heard_at, 2),
            )
            self.copy.note_return(now=now)
        self._n_failures = 0
        self._heard_at = now

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
