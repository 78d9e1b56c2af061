"""Timers of running calls."""

from collections.abc import Container
from heapq import heapify, heappop, heappush

from .replicas import NEVER

# Timers of finished calls stay in the heap until they are due. Beyond this many the
# heap is rebuilt, so that long deadlines do not use unbounded memory.
MAX_STALE_TIMERS = 256


class CallTimers:
    """A heap of due times in seconds, with the ids of their calls.

    A call may have several timers. Those of a finished call are dropped when they reach
    the top. `live` contains the ids of the unfinished calls.

    >>> timers = CallTimers()
    >>> timers.add(0.3, 1)
    >>> timers.add(0.2, 2)
    >>> timers.find_next(live={1})
    0.3
    """

    __slots__ = ("_heap",)

    def __init__(self) -> None:
        self._heap: list[tuple[float, int]] = []

    def __len__(self) -> int:
        return len(self._heap)

    def add(self, due: float, call_id: int) -> None:
        """Add a timer for a call."""
        heappush(self._heap, (due, call_id))

    def find_next(self, live: Container[int]) -> float:
        """Return the earliest due time of a live call, or `NEVER`."""
        heap = self._heap
        while heap and heap[0][1] not in live:
            heappop(heap)
        return heap[0][0] if heap else NEVER

    def pop_due(self, now: float) -> int | None:
        """Remove the earliest timer if it is due, and return its call."""
        if self._heap and self._heap[0][0] <= now:
            return heappop(self._heap)[1]
        return None

    def drop_stale(self, live: Container[int], n_live: int) -> None:
        """Rebuild the heap without finished calls once it has too many timers."""
        if len(self._heap) <= MAX_STALE_TIMERS + 2 * n_live:
            return
        first: dict[int, float] = {}
        for due, call_id in self._heap:
            if call_id in live:
                first[call_id] = min(due, first.get(call_id, NEVER))
        self._heap = [(due, call_id) for call_id, due in first.items()]
        heapify(self._heap)
