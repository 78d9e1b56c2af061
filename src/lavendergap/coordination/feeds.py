"""One host's copy of a feed, and what it makes of entries that vanish."""

from collections.abc import Callable, Collection, Iterable, Mapping, Sequence

from xxhash import xxh3_64_intdigest

from ..state.feeds import FeedChange, FeedChanges, FeedEntry, FeedListing

N_BUCKETS = 64
"""Into how many buckets entries are dealt by name, for hosts to compare their copies.

Their hashes take some 600 bytes. Where one server of some hundred has changed, a
sixty-fourth of the entries is sent.
"""

# Returns what of an entry matters here; entries alike in that are as good as the same.
Summarize = Callable[[str, bytes], object]


def use_whole(name: str, body: bytes) -> object:
    """Return the whole entry: for feeds of which everything matters."""
    return body


class FeedCopy:
    """The entries of a feed at a revision; it never goes back to an older one.

    Servers keep their entries alive through the store. While the store is away they
    cannot, entries lapse that are no proof of anything, and a server that lives is
    back within `lapse_grace` seconds of the store's return. So for that long after a
    return, an entry that vanishes is kept: dropped at once, every server would be
    out of use after each outage, and all callers refused.

    >>> from lavendergap.state.feeds import FeedChange, FeedEntry
    >>> copy = FeedCopy(lapse_grace=2.2)
    >>> listing = FeedListing(revision=7, entries=(FeedEntry(name="a", body=b"1"),))
    >>> copy.take_listing(listing, now=10.0)
    True
    >>> copy.note_return(now=20.0)
    >>> gone = FeedChanges(revision=8, changes=(FeedChange(name="a", body=None),))
    >>> copy.take_changes(gone, now=20.5), copy.settle(now=21.0), dict(copy.entries)
    (False, False, {'a': b'1'})
    >>> copy.settle(now=22.2), dict(copy.entries)
    (True, {})
    """

    def __init__(self, *, lapse_grace: float, summarize: Summarize = use_whole) -> None:
        self.revision = 0
        self._lapse_grace = lapse_grace
        self._summarize = summarize
        self._hashes: dict[str, int] = {}
        self._buckets = [0] * N_BUCKETS
        self._combined = 0
        self._entries: dict[str, bytes] = {}
        self._returned_at = float("-inf")
        self._lapsed: dict[str, float] = {}

    @property
    def entries(self) -> Mapping[str, bytes]:
        """The entries in force, by name."""
        return self._entries

    @property
    def fingerprint(self) -> int:
        """A hash of what matters of all entries; kept lapsed ones are left out.

        Two copies with the same one say the same, at whatever revisions they were
        read: the store's revision moves with everything that is written to it.
        """
        return self._combined

    @property
    def bucket_hashes(self) -> tuple[int, ...]:
        """The fingerprint of each bucket by itself."""
        return tuple(self._buckets)

    def find_differing(self, hashes: Sequence[int]) -> frozenset[int]:
        """Return the buckets that differ from those of another copy."""
        pairs = enumerate(zip(self._buckets, hashes, strict=True))
        return frozenset(index for index, (own, other) in pairs if own != other)

    def select(self, buckets: Collection[int]) -> tuple[FeedEntry, ...]:
        """Return the entries of some buckets; kept lapsed ones are left out."""
        return tuple(
            FeedEntry(name=name, body=body)
            for name, body in self._entries.items()
            if name not in self._lapsed and get_bucket(name) in buckets
        )

    def foresee(self, changes: Iterable[FeedChange]) -> int:
        """Return the fingerprint that the copy would have with `changes`."""
        hashes = self._hashes
        fingerprint = self._combined
        for change in {change.name: change for change in changes}.values():
            fingerprint ^= hashes.get(change.name, 0)
            if change.body is not None:
                fingerprint ^= self._hash(change.name, change.body)
        return fingerprint

    def adopt(self, revision: int) -> None:
        """Go on from a newer revision at which the feed is known to be as it is here.

        Only on the proof of equal fingerprints, not on an empty watch's word.
        """
        self.revision = max(self.revision, revision)

    def note_return(self, *, now: float) -> None:
        """Note that the store answers again after it did not."""
        self._returned_at = now

    def take_listing(
        self,
        listing: FeedListing,
        *,
        now: float,
        buckets: Collection[int] | None = None,
    ) -> bool:
        """Take all entries at a revision; tell whether anything changed.

        With `buckets` the listing holds all entries of these, and the others stay.
        """
        if listing.revision < self.revision:
            return False
        self.revision = listing.revision
        listed = {entry.name: entry.body for entry in listing.entries}
        has_changed = False
        for name in list(self._entries):
            is_covered = buckets is None or get_bucket(name) in buckets
            if is_covered and name not in listed:
                has_changed |= self._remove(name, now)
        for name, body in listed.items():
            has_changed |= self._put(name, body)
        return has_changed

    def take_changes(self, changes: FeedChanges, *, now: float) -> bool:
        """Take what a watch told; tell whether anything changed.

        A watch without news does not move the revision. While the store drops its
        history, watches hear nothing although changes are made: taken at its word,
        such an answer would skip them for good, and a server that began to leave then
        would get work until its end. From the older revision the next watch either
        tells them or says that the history is gone.
        """
        if changes.revision < self.revision or not changes.changes:
            return False
        self.revision = changes.revision
        has_changed = False
        for change in changes.changes:
            if change.body is None:
                has_changed |= self._remove(change.name, now)
            else:
                has_changed |= self._put(change.name, change.body)
        return has_changed

    def settle(self, *, now: float) -> bool:
        """Drop the lapsed entries whose time is up; tell whether any was."""
        due = [name for name, until in self._lapsed.items() if until <= now]
        for name in due:
            del self._lapsed[name]
            self._entries.pop(name, None)
        return bool(due)

    def is_news(self, change: FeedChange) -> bool:
        """Tell whether a change makes a difference that matters.

        An entry that is back is one however it looks: others keep it for a while
        only, and would drop a living server for good.
        """
        return self.foresee((change,)) != self._combined

    @property
    def next_due(self) -> float | None:
        """The time at which `settle` has something to do, or None."""
        return min(self._lapsed.values(), default=None)

    def _put(self, name: str, body: bytes) -> bool:
        was_lapsing = self._lapsed.pop(name, None) is not None
        if self._entries.get(name) == body and not was_lapsing:
            return False
        self._note_hash(name, body)
        if self._entries.get(name) == body:
            return False
        self._entries[name] = body
        return True

    def _remove(self, name: str, now: float) -> bool:
        self._note_hash(name, None)
        until = self._returned_at + self._lapse_grace
        if now < until:
            self._lapsed.setdefault(name, until)
            return False
        self._lapsed.pop(name, None)
        return self._entries.pop(name, None) is not None

    def _hash(self, name: str, body: bytes) -> int:
        try:
            summary = self._summarize(name, body)
        except ValueError:
            summary = body
        return xxh3_64_intdigest(f"{name}\0{summary!r}".encode())

    def _note_hash(self, name: str, body: bytes | None) -> None:
        before = self._hashes.pop(name, 0)
        after = 0
        if body is not None:
            after = self._hashes[name] = self._hash(name, body)
        self._buckets[get_bucket(name)] ^= before ^ after
        self._combined ^= before ^ after


def get_bucket(name: str) -> int:
    """Return the bucket of the entry called `name`."""
    return xxh3_64_intdigest(name.encode()) % N_BUCKETS
