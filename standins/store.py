"""The platform's objects: one counter of versions, watches, and a short past."""

from collections import deque
from dataclasses import dataclass

import trio

MAX_PAST = 256
MAX_PAST_BYTES = 8_000_000
MAX_OBJECTS = 10_000
MAX_BYTES = 256_000_000
ALWAYS = float("-inf")


@dataclass(frozen=True, kw_only=True, slots=True)
class Entry:
    """One version of an object and when it was written, in the loop's seconds."""

    key: str
    version: int
    value: bytes
    written_at: float


class StoreFullError(Exception):
    """The store holds as many objects or bytes as it may."""


class Store:
    """Objects with versions from one counter, readable as of an earlier moment.

    Reads and watches take the moment `at` as of which they see the store, so that
    a stand-in can serve stale reads and watches that lag.
    """

    def __init__(self) -> None:
        self._past: dict[str, deque[Entry]] = {}
        self._waiting: set[tuple[str, trio.CancelScope]] = set()
        self._revisions: deque[tuple[float, int]] = deque([(ALWAYS, 0)], maxlen=1_024)
        self._n_bytes = 0

    def put(self, key: str, value: bytes, now: float) -> Entry:
        """Write an object and wake the watches of its key or of a prefix of it."""
        is_new = key not in self._past
        if (is_new and len(self._past) >= MAX_OBJECTS) or self._n_bytes > MAX_BYTES:
            raise StoreFullError
        version = self._revisions[-1][1] + 1
        entry = Entry(key=key, version=version, value=value, written_at=now)
        past = self._past.setdefault(key, deque())
        past.append(entry)
        self._n_bytes += len(value)
        self._forget(past)
        self._revisions.append((now, version))
        for prefix, scope in self._waiting:
            if key.startswith(prefix):
                scope.cancel()
        return entry

    def _forget(self, past: deque[Entry]) -> None:
        n_bytes = sum(len(entry.value) for entry in past)
        while len(past) > 1 and (len(past) > MAX_PAST or n_bytes > MAX_PAST_BYTES):
            n_forgotten = len(past.popleft().value)
            n_bytes -= n_forgotten
            self._n_bytes -= n_forgotten

    def get(self, key: str, at: float) -> Entry | None:
        """Return the object as it was at a moment, or None before its first.

        Of an object written very often only the last versions are remembered, so
        that a read as of long ago may find none.
        """
        for entry in reversed(self._past.get(key, ())):
            if entry.written_at <= at:
                return entry
        return None

    def list_objects(self, prefix: str, at: float) -> list[Entry]:
        """Return the objects under `prefix` as they were at a moment."""
        keys = (key for key in self._past if key.startswith(prefix))
        entries = (self.get(key, at) for key in keys)
        return [entry for entry in entries if entry is not None]

    def get_revision(self, at: float) -> int:
        """Return the counter as it stood at a moment, 0 when that is forgotten."""
        for written_at, revision in reversed(self._revisions):
            if written_at <= at:
                return revision
        return 0

    def find_next_write(self, prefix: str, at: float) -> float | None:
        """Return when the first write after `at` under `prefix` took place, if any."""
        later = (
            entry.written_at
            for key, past in self._past.items()
            if key.startswith(prefix)
            for entry in past
            if entry.written_at > at
        )
        return min(later, default=None)

    def add_watch(self, prefix: str, scope: trio.CancelScope) -> None:
        """Cancel `scope` at the next write under `prefix`."""
        self._waiting.add((prefix, scope))

    def remove_watch(self, prefix: str, scope: trio.CancelScope) -> None:
        """Forget a watch."""
        self._waiting.discard((prefix, scope))

    def wake_watches(self) -> None:
        """Wake every watch, as when the platform's faults change."""
        for _, scope in self._waiting:
            scope.cancel()

    @property
    def n_watches(self) -> int:
        """How many watches wait now."""
        return len(self._waiting)
