"""One host's copy of a feed, and its handling of entries that lapse."""

from collections.abc import Callable, Collection, Iterable, Mapping, Sequence

from xxhash import xxh3_64_intdigest

from ..state.feeds import (
    FeedChange,
    FeedChanges,
    FeedEntry,
    FeedListing,
    StorePosition,
)

N_BUCKETS = 64
"""Into how many buckets entries are hashed by name, to compare the copies of hosts.

With more buckets fewer entries are sent for a difference, but more bytes of hashes; 64
take some 600 bytes. If one entry has changed, a sixty-fourth of them is sent.
"""

# Returns the part of an entry that matters; entries equal in it count as equal.
Summarize = Callable[[str, bytes], object]


def summarize_whole(name: str, body: bytes) -> object:
    """Return the whole body, for feeds in which every change matters."""
    return body


class FeedCopy:
    """The entries of a feed at a position of the store, which never decreases.

    Servers renew their entries in the store. During an outage of the store they cannot,
    so the entries of live servers lapse; these servers register again within
    `lapse_grace_s` of the store's return. So an entry that vanishes within that
    time is kept until its end. Removed at once, all servers would be out of use after
    each outage, and all callers refused. Entries that a store has lost since it was
    restored from an older copy are kept for `restore_grace_s`, the same by default:
    their writers write them again.

    >>> def at(revision: int) -> StorePosition:
    ...     return StorePosition(epoch=1, revision=revision)
    >>> copy = FeedCopy(lapse_grace_s=2.2)
    >>> listing = FeedListing(
    ...     position=at(7), entries=(FeedEntry(name="a", body=b"1"),))
    >>> copy.apply_listing(listing, now=10.0)
    True
    >>> copy.record_store_return(now=20.0)
    >>> gone = FeedChanges(position=at(8), changes=(FeedChange(name="a", body=None),))
    >>> copy.apply_changes(gone, now=20.5), copy.drop_lapsed(now=21.0)
    (False, False)
    >>> dict(copy.entries)
    {'a': b'1'}
    >>> copy.drop_lapsed(now=22.2), dict(copy.entries)
    (True, {})
    """

    def __init__(
        self,
        *,
        lapse_grace_s: float,
        restore_grace_s: float | None = None,
        summarize: Summarize = summarize_whole,
    ) -> None:
        self.position = StorePosition()
        self._lapse_grace_s = lapse_grace_s
        self._restore_grace_s = (
            lapse_grace_s if restore_grace_s is None else restore_grace_s
        )
        self._summarize = summarize
        self._hashes: dict[str, int] = {}
        self._buckets = [0] * N_BUCKETS
        self._fingerprint = 0
        self._entries: dict[str, bytes] = {}
        self._store_returned_at = float("-inf")
        self._restored_until = float("-inf")
        self._lapse_ends: dict[str, float] = {}

    @property
    def entries(self) -> Mapping[str, bytes]:
        """The entries in force, by name."""
        return self._entries

    @property
    def fingerprint(self) -> int:
        """A hash of what matters of all entries, except lapsed ones still kept.

        Copies with equal fingerprints have equal content, even at different positions:
        any write to the store changes its revision.
        """
        return self._fingerprint

    @property
    def bucket_hashes(self) -> tuple[int, ...]:
        """The fingerprint of each bucket."""
        return tuple(self._buckets)

    def find_differing(self, hashes: Sequence[int]) -> frozenset[int]:
        """Return the buckets that differ from those of another copy."""
        pairs = enumerate(zip(self._buckets, hashes, strict=True))
        return frozenset(index for index, (own, other) in pairs if own != other)

    def select(self, buckets: Collection[int]) -> tuple[FeedEntry, ...]:
        """Return the entries of some buckets, except lapsed ones still kept."""
        return tuple(
            FeedEntry(name=name, body=body)
            for name, body in self._entries.items()
            if name not in self._lapse_ends and get_bucket(name) in buckets
        )

    def compute_fingerprint_with(self, changes: Iterable[FeedChange]) -> int:
        """Return the fingerprint that the copy would have after `changes`."""
        hashes = self._hashes
        fingerprint = self._fingerprint
        for change in {change.name: change for change in changes}.values():
            fingerprint ^= hashes.get(change.name, 0)
            if change.body is not None:
                fingerprint ^= self._hash(change.name, change.body)
        return fingerprint

    def advance(self, position: StorePosition) -> None:
        """Set a newer position at which the feed is known to equal this copy.

        Equal fingerprints show that; an empty reply to a watch does not.
        """
        self.position = max(self.position, position)

    def record_store_return(self, *, now: float) -> None:
        """Record the time at which the store answers again after an outage."""
        self._store_returned_at = now

    def record_no_outage(self, *, now: float) -> bool:
        """Drop what was kept for an outage that there was not; return whether any."""
        self._store_returned_at = float("-inf")
        if now >= self._restored_until:
            self._lapse_ends = dict.fromkeys(self._lapse_ends, now)
        return self.drop_lapsed(now=now)

    def apply_listing(
        self,
        listing: FeedListing,
        *,
        now: float,
        buckets: Collection[int] | None = None,
    ) -> bool:
        """Apply a listing of all entries; return whether the entries in force changed.

        A listing at an older position than the copy's is ignored. With `buckets` the
        listing covers only these, and the entries of others stay.
        """
        if listing.position < self.position:
            return False
        keep_until = self._store_returned_at + self._lapse_grace_s
        is_first = self.position == StorePosition()
        if listing.position.epoch != self.position.epoch and not is_first:
            keep_until = self._record_restore(now)
        self.position = listing.position
        listed = {entry.name: entry.body for entry in listing.entries}
        has_changed = False
        for name in list(self._entries):
            is_covered = buckets is None or get_bucket(name) in buckets
            if is_covered and name not in listed:
                has_changed |= self._remove(name, now, keep_until)
        for name, body in listed.items():
            has_changed |= self._put(name, body)
        return has_changed

    def _record_restore(self, now: float) -> float:
        """Return until when entries are kept that the store has lost.

        That holds anew for entries that had lapsed before: a second restore may lose
        what was registered again after the first.
        """
        self.record_store_return(now=now)
        keep_until = self._restored_until = now + self._restore_grace_s
        self._lapse_ends = dict.fromkeys(self._lapse_ends, keep_until)
        return keep_until

    def apply_changes(self, changes: FeedChanges, *, now: float) -> bool:
        """Apply the changes reported by a watch; return whether the entries changed.

        Changes of another epoch are ignored: they do not follow this copy.

        An empty reply does not advance the position. While the store compacts its
        history, watches may return empty replies although there were changes. Advancing
        would skip these for good, and a server that is leaving would get work until it
        ends. From the older position the next watch returns them or reports that the
        history is gone.
        """
        position = changes.position
        is_older = position < self.position or position.epoch != self.position.epoch
        if is_older or not changes.changes:
            return False
        self.position = position
        keep_until = self._store_returned_at + self._lapse_grace_s
        has_changed = False
        for change in changes.changes:
            if change.body is None:
                has_changed |= self._remove(change.name, now, keep_until)
            else:
                has_changed |= self._put(change.name, change.body)
        return has_changed

    def drop_lapsed(self, *, now: float) -> bool:
        """Drop the lapsed entries whose time has passed; return whether any was."""
        due = [name for name, until in self._lapse_ends.items() if until <= now]
        for name in due:
            del self._lapse_ends[name]
            self._entries.pop(name, None)
        return bool(due)

    def alters_fingerprint(self, change: FeedChange) -> bool:
        """Return whether a change alters the fingerprint.

        The return of a lapsed entry does, even if its body is the same: other hosts
        keep the entry for a while only, and would then drop a live server for good.
        """
        return self.compute_fingerprint_with((change,)) != self._fingerprint

    @property
    def n_lapsed(self) -> int:
        """The number of entries that the store no longer has and that are kept."""
        return len(self._lapse_ends)

    @property
    def next_lapse_at(self) -> float | None:
        """The time at which `drop_lapsed` has something to do, or None."""
        return min(self._lapse_ends.values(), default=None)

    def _put(self, name: str, body: bytes) -> bool:
        had_lapsed = self._lapse_ends.pop(name, None) is not None
        if self._entries.get(name) == body and not had_lapsed:
            return False
        self._update_hash(name, body)
        if self._entries.get(name) == body:
            return False
        self._entries[name] = body
        return True

    def _remove(self, name: str, now: float, keep_until: float) -> bool:
        self._update_hash(name, None)
        if now < keep_until:
            self._lapse_ends.setdefault(name, keep_until)
            return False
        self._lapse_ends.pop(name, None)
        return self._entries.pop(name, None) is not None

    def _hash(self, name: str, body: bytes) -> int:
        try:
            summary = self._summarize(name, body)
        except ValueError:
            summary = body
        return xxh3_64_intdigest(f"{name}\0{summary!r}".encode())

    def _update_hash(self, name: str, body: bytes | None) -> None:
        before = self._hashes.pop(name, 0)
        after = 0
        if body is not None:
            after = self._hashes[name] = self._hash(name, body)
        self._buckets[get_bucket(name)] ^= before ^ after
        self._fingerprint ^= before ^ after


def get_bucket(name: str) -> int:
    """Return the bucket of the entry called `name`."""
    return xxh3_64_intdigest(name.encode()) % N_BUCKETS
