"""What a host reads of the platform's store: kinds of entries, listed and watched."""

from dataclasses import dataclass
from typing import Protocol

from .outcome import Reason, Step


@dataclass(frozen=True, kw_only=True, slots=True)
class FeedEntry:
    """One entry as the store holds it; only the adapter knows what is in `body`."""

    name: str
    body: bytes


@dataclass(frozen=True, kw_only=True, slots=True)
class FeedListing:
    """All entries of a feed at one revision of the store."""

    revision: int
    entries: tuple[FeedEntry, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class FeedChange:
    """An entry that was written, or removed where `body` is None."""

    name: str
    body: bytes | None


@dataclass(frozen=True, kw_only=True, slots=True)
class FeedChanges:
    """What has changed up to a revision; nothing where a watch ran out of time."""

    revision: int
    changes: tuple[FeedChange, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class HistoryGone:
    """The store no longer knows what changed since; the feed is listed anew."""


@dataclass(frozen=True, kw_only=True, slots=True)
class StoreLost:
    """No usable answer of the store; `retry_after_s` is its own word, or 0."""

    step: Step
    reason: Reason
    retry_after_s: float = 0.0


class FeedSource(Protocol):
    """The store's feeds, as the adapter reads them. Nothing here raises."""

    async def list_feed(self, feed: str, *, may_lag: bool) -> FeedListing | StoreLost:
        """Return all entries of a feed, with `may_lag` perhaps some seconds old.

        Such a read costs the store a tenth; a watch from its revision tells the rest.
        """

    async def watch_feed(
        self, feed: str, *, after: int, wait_s: float
    ) -> FeedChanges | HistoryGone | StoreLost:
        """Wait up to `wait_s` seconds for changes after a revision."""
