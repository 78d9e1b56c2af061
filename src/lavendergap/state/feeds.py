"""The interface to the feeds of the platform's store: listing and watching."""

from dataclasses import dataclass
from typing import Protocol

from .outcome import Reason, Step


@dataclass(frozen=True, kw_only=True, slots=True, order=True)
class StorePosition:
    """A point in the store's history; later points compare greater.

    `epoch` counts how often the store was restored from an older copy, 0 if the store
    does not state it. A restored store issues the revisions after its copy again, so
    that revisions of different epochs must not be compared. Revision 0 comes before
    all content of an epoch.

    >>> StorePosition(epoch=1, revision=82) < StorePosition(epoch=2, revision=78)
    True
    """

    epoch: int = 0
    revision: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class FeedEntry:
    """One entry of the store; only the platform's adapter interprets `body`."""

    name: str
    body: bytes


@dataclass(frozen=True, kw_only=True, slots=True)
class FeedListing:
    """All entries of a feed at one position of the store."""

    position: StorePosition
    entries: tuple[FeedEntry, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class FeedChange:
    """An entry that was written, or removed where `body` is None."""

    name: str
    body: bytes | None


@dataclass(frozen=True, kw_only=True, slots=True)
class FeedChanges:
    """The changes up to a position; none if a watch timed out.

    They follow the position that was watched from only if both are of one epoch.
    """

    position: StorePosition
    changes: tuple[FeedChange, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class HistoryExpired:
    """The store no longer has the changes since that revision; list the feed again."""


@dataclass(frozen=True, kw_only=True, slots=True)
class StoreUnavailable:
    """The store gave no usable answer; `retry_after_s` is its Retry-After, or 0."""

    step: Step
    reason: Reason
    retry_after_s: float = 0.0


@dataclass(frozen=True, kw_only=True, slots=True)
class StoreContact:
    """What a host knows of the store from its own calls, right after an answer.

    The store has answered all its calls of the last `steady_s` seconds. Before that,
    its calls had failed since `failing_s` seconds before now; 0 if none had.
    """

    steady_s: float = 0.0
    failing_s: float = 0.0


class FeedSource(Protocol):
    """Reads the store's feeds. Its methods return errors and raise none."""

    async def list_feed(
        self, feed: str, *, may_be_stale: bool
    ) -> FeedListing | StoreUnavailable:
        """Return all entries of a feed.

        With `may_be_stale` they may be some seconds old. Such a read costs the
        store a tenth of another one; a watch from the returned position yields the
        later changes.
        """

    async def watch_feed(
        self, feed: str, *, after: StorePosition, wait_s: float
    ) -> FeedChanges | HistoryExpired | StoreUnavailable:
        """Wait up to `wait_s` seconds for changes after a position.

        The store may have been restored since; the caller compares the epochs.
        """
