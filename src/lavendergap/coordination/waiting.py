"""Calls that wait for a slot, in the order in which they are served."""

from bisect import bisect_left, insort
from collections.abc import Iterator

from .admission import compute_rank
from .calls import Call
from .fairness import CustomerQueue, FairQueue
from .progress import Progress


class WaitingCalls:
    """Calls that wait for a slot: by priority, fair among customers, by deadline.

    With one priority, customer and deadline for all calls the order is first come,
    first served. A retry is sorted by the deadline of its call. Priority comes first so
    that under overload urgent calls are not refused in favour of those with a short
    deadline. See docs/design/queue-order.md for the alternatives.
    """

    __slots__ = ("_queues", "_priorities", "_deadlines")

    def __init__(self) -> None:
        self._queues: dict[int, FairQueue] = {}
        self._priorities: list[int] = []
        self._deadlines: list[tuple[float, int, Progress]] = []

    def __len__(self) -> int:
        return len(self._deadlines)

    def __iter__(self) -> Iterator[Progress]:
        """Yield the calls in order; the one yielded last may be removed meanwhile."""
        for priority in tuple(self._priorities):
            yield from self._queues[priority]

    def add(self, progress: Progress) -> None:
        """Add a call at its place."""
        call = progress.call
        queue = self._queues.get(call.priority)
        if queue is None:
            queue = self._queues[call.priority] = FairQueue()
            insort(self._priorities, call.priority)
        queue.add(progress)
        insort(self._deadlines, (call.deadline, call.call_id, progress))
        progress.is_waiting = True

    def take(self, progress: Progress) -> None:
        """Remove a waiting call that is served now."""
        self._remove(progress, is_served=True)

    def discard(self, progress: Progress) -> None:
        """Remove a waiting call that is not served."""
        self._remove(progress, is_served=False)

    def _remove(self, progress: Progress, *, is_served: bool) -> None:
        call = progress.call
        queue = self._queues[call.priority]
        queue.remove(progress, is_served=is_served)
        if not queue:
            del self._queues[call.priority]
            self._priorities.remove(call.priority)
        del self._deadlines[bisect_left(self._deadlines, (call.deadline, call.call_id))]
        progress.is_waiting = False

    def count_ahead(self, call: Call) -> int:
        """Count the waiting calls that would be served before a new one."""
        n_ahead = 0
        for priority in self._priorities:
            if priority > call.priority:
                break
            queue = self._queues[priority]
            is_own = priority == call.priority
            n_ahead += queue.count_ahead(call) if is_own else len(queue)
        return n_ahead

    def pop_expiring(self, *, now: float, needed: float) -> list[Progress]:
        """Remove and return the calls with at most `needed` seconds left."""
        late = []
        while self._deadlines and self._deadlines[0][0] - needed <= now:
            progress = self._deadlines[0][2]
            self.discard(progress)
            late.append(progress)
        return late

    @property
    def first_deadline(self) -> float | None:
        """The earliest deadline of the waiting calls, in seconds, or None."""
        return self._deadlines[0][0] if self._deadlines else None

    def find_replaceable(self, call: Call, *, is_full: bool) -> Progress | None:
        """Return the waiting call that a new one may replace, or None.

        It is one of the least urgent, of the customer with most waiting calls for its
        weight. If the queue is full, a call may also replace one of its own priority
        whose customer has more waiting than its own. Calls that may have run stay, and
        so do all if neither call has a customer.
        """
        for priority in reversed(self._priorities):
            if priority < call.priority or (priority == call.priority and not is_full):
                return None
            queue = self._queues[priority]
            min_load = 0.0
            if priority == call.priority:
                min_load = queue.measure_load_with(call)
            for each in queue.sort_by_load():
                if each.measure_load() <= min_load:
                    break
                if (call.customer or each.customer) and (last := _find_last(each)):
                    return last
        return None


def _find_last(queue: CustomerQueue) -> Progress | None:
    """Return the call of a customer that is refused first, or None.

    The rank of its request decides, as at admission, so that groups refuse calls of the
    same queries.
    """
    replaceable = (entry[2] for entry in queue.entries if entry[2].unknown is None)
    return max(
        replaceable, key=lambda each: compute_rank(each.call.request_id), default=None
    )
