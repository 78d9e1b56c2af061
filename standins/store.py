"""The platform stand-in's objects, with versions, watches and a short history."""

from collections import deque
from dataclasses import dataclass

import trio

MAX_OBJECT_VERSIONS = 256
MAX_OBJECT_HISTORY_BYTES = 8_000_000
MAX_OBJECTS = 10_000
MAX_BYTES = 256_000_000
BEFORE_START = float("-inf")


@dataclass(frozen=True, kw_only=True, slots=True)
class Entry:
    """One version of an object; `written_at` is in seconds of trio's clock."""

    key: str
    version: int
    value: bytes
    written_at: float


class StoreFullError(Exception):
    """The store holds the maximum number of objects or bytes."""


class Store:
    """Objects with versions from one counter, readable as of an earlier time.

    Reads take the time `at` as of which they see the store, so that the stand-in can
    serve stale reads and lagging watches.
    """

    def __init__(self) -> None:
        self._past: dict[str, deque[Entry]] = {}
        self._watches: set[tuple[str, trio.CancelScope]] = set()
        self._revisions: deque[tuple[float, int]] = deque(
            [(BEFORE_START, 0)], maxlen=1_024
        )
        self._n_bytes = 0

    def put(self, key: str, value: bytes, now: float) -> Entry:
        """Write an object and wake the watches of its key or of a prefix of it.

        Raises StoreFullError.
        """
        is_new = key not in self._past
        if (is_new and len(self._past) >= MAX_OBJECTS) or self._n_bytes > MAX_BYTES:
            raise StoreFullError
        version = self._revisions[-1][1] + 1
        entry = Entry(key=key, version=version, value=value, written_at=now)
        history = self._past.setdefault(key, deque())
        history.append(entry)
        self._n_bytes += len(value)
        self._drop_old_versions(history)
        self._revisions.append((now, version))
        for prefix, scope in self._watches:
            if key.startswith(prefix):
                scope.cancel()
        return entry

    def _drop_old_versions(self, history: deque[Entry]) -> None:
        n_bytes = sum(len(entry.value) for entry in history)
        while len(history) > 1 and (
            len(history) > MAX_OBJECT_VERSIONS or n_bytes > MAX_OBJECT_HISTORY_BYTES
        ):
            n_dropped = len(history.popleft().value)
            n_bytes -= n_dropped
            self._n_bytes -= n_dropped

    def get(self, key: str, at: float) -> Entry | None:
        """Return the object as of a time, or None if no version is that old.

        Only the last versions of an object are kept, so a read far in the past may
        find none.
        """
        for entry in reversed(self._past.get(key, ())):
            if entry.written_at <= at:
                return entry
        return None

    def list_objects(self, prefix: str, at: float) -> list[Entry]:
        """Return the objects under `prefix` as of a time."""
        keys = (key for key in self._past if key.startswith(prefix))
        entries = (self.get(key, at) for key in keys)
        return [entry for entry in entries if entry is not None]

    def get_revision(self, at: float) -> int:
        """Return the version counter as of a time, 0 if it is no longer kept."""
        for written_at, revision in reversed(self._revisions):
            if written_at <= at:
                return revision
        return 0

    def find_next_write(self, prefix: str, at: float) -> float | None:
        """Return the time of the first write under `prefix` after `at`, or None."""
        later = (
            entry.written_at
            for key, history in self._past.items()
            if key.startswith(prefix)
            for entry in history
            if entry.written_at > at
        )
        return min(later, default=None)

    def add_watch(self, prefix: str, scope: trio.CancelScope) -> None:
        """Cancel `scope` at the next write under `prefix`."""
        self._watches.add((prefix, scope))

    def remove_watch(self, prefix: str, scope: trio.CancelScope) -> None:
        """Remove a watch."""
        self._watches.discard((prefix, scope))

    def wake_watches(self) -> None:
        """Wake every watch, for example when the platform's faults change."""
        for _, scope in self._watches:
            scope.cancel()

    @property
    def n_watches(self) -> int:
        """The number of waiting watches."""
        return len(self._watches)
